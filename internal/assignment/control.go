package assignment

import (
	"slices"
	"time"
)

const (
	// planInterval is how often the publisher checks whether the map has to change.
	planInterval = 500 * time.Millisecond
	// reportInterval is how often a control node reports to the publisher which relays have
	// contacted it. It is short enough that each relay is in a report at least once per
	// unreachableAfter.
	reportInterval = time.Second
	// settleAfter is how long a partition does not change again: by then all pending messages of
	// its previous replicas are delivered or expired.
	settleAfter = removedAfter
)

// ContactReport tells the publisher which relays have contacted another control node since its last
// report, and which of those are leaving: one bit per relay.
type ContactReport struct{ Relays, Leaving []uint64 }

func (ContactReport) message() {}

// ControlNode is a control node of a region: it takes part in publishing maps, and answers relays.
// It is not safe for concurrent use.
type ControlNode struct {
	register   *Register
	directory  *Directory
	config     MapConfig
	locations  []Member
	health     *RelayHealth // nil unless this node publishes
	members    []Member
	contacts   ContactReport   // since the last report
	changedAt  []time.Duration // by partition; set while this node publishes
	nextPlan   time.Duration
	nextReport time.Duration
}

// NewControlNode returns a control node with its part of the register. The member at index i of
// locations is the zone and rack of relay i.
func NewControlNode(register *Register, config MapConfig, locations []Member, key Key) *ControlNode {
	c := &ControlNode{
		register: register, directory: NewDirectory(key), config: config, locations: locations,
		contacts: newContactReport(len(locations)),
	}
	c.directory.Update(register.Published())
	return c
}

// Register returns the node's part of the register. Its PersistentState has to be on disk before
// the messages that Tick and Receive return are sent.
func (c *ControlNode) Register() *Register { return c.register }

// Answer answers a relay's request, as Directory.Answer does, and records the contact.
func (c *ControlNode) Answer(now time.Duration, request SliceRequest) ([]byte, error) {
	if int(request.Relay) < len(c.locations) {
		c.contacts.record(request)
		c.recordContact(now, request.Relay, request.Leaving)
	}
	return c.directory.Answer(request)
}

// recordContact records a relay's contact, if this node publishes.
func (c *ControlNode) recordContact(now time.Duration, r Relay, leaving bool) {
	switch {
	case c.health == nil:
	case leaving:
		c.health.RecordLeaving(r, now)
	default:
		c.health.RecordContact(r, now)
	}
}

const wordBits = 64

func newContactReport(relays int) ContactReport {
	words := (relays + wordBits - 1) / wordBits
	return ContactReport{make([]uint64, words), make([]uint64, words)}
}

// record sets the bits of the relay that sent a request.
func (report ContactReport) record(request SliceRequest) {
	word, bit := request.Relay/wordBits, uint64(1)<<(request.Relay%wordBits)
	report.Relays[word] |= bit
	if report.Leaving[word] &^= bit; request.Leaving {
		report.Leaving[word] |= bit
	}
}

// Receive handles a message of another control node and returns the messages to send.
func (c *ControlNode) Receive(now time.Duration, from int, m Message) []Envelope {
	if report, ok := m.(ContactReport); ok {
		c.handleReport(now, report)
		return nil
	}
	out := c.register.Receive(now, from, m)
	c.directory.Update(c.register.Published())
	return out
}

// handleReport records which relays have contacted another node. A report without bits for leaving
// relays counts as none leaving.
func (c *ControlNode) handleReport(now time.Duration, report ContactReport) {
	for i, word := range report.Relays {
		for bit := range wordBits {
			r := i*wordBits + bit
			if word>>bit&1 != 0 && r < len(c.locations) {
				c.recordContact(now, Relay(r), i < len(report.Leaving) && report.Leaving[i]>>bit&1 != 0)
			}
		}
	}
}

// Tick advances the time and returns the messages to send.
func (c *ControlNode) Tick(now time.Duration) []Envelope {
	out := c.register.Tick(now)
	if c.register.Publishing() {
		out = append(out, c.plan(now)...)
	} else if c.register.Publisher() != c.register.self {
		c.health = nil
		out = append(out, c.report(now)...)
	}
	c.directory.Update(c.register.Published())
	return out
}

// report tells the publisher which relays have contacted this node.
func (c *ControlNode) report(now time.Duration) []Envelope {
	to := c.register.Publisher()
	if to < 0 || now < c.nextReport {
		return nil
	}
	c.nextReport = now + reportInterval
	report := c.contacts
	c.contacts = newContactReport(len(c.locations))
	return []Envelope{{to, report}}
}

// plan proposes a new map if one is needed.
func (c *ControlNode) plan(now time.Duration) []Envelope {
	if now < c.nextPlan {
		return nil
	}
	c.nextPlan = now + planInterval
	latest := c.register.LatestAccepted()
	if c.health == nil {
		c.startPlanning(now, latest)
		if latest == nil { // the first map waits until all running relays have made contact
			c.nextPlan = now + unreachableAfter
			return nil
		}
	}
	members := c.health.Members(now)
	newlySettled := latest != nil && c.hasNewlySettled(now, latest)
	if !newlySettled && c.members != nil && slices.Equal(members, c.members) {
		return nil
	}
	next, err := Plan(c.config, latest, members, func(p Partition) bool { return now >= c.changedAt[p]+settleAfter })
	if err != nil {
		return nil // too few relays serve: the last map stays in use
	}
	c.members = members
	if latest != nil && next.same(latest) {
		return nil
	}
	for p := range c.changedAt {
		if latest != nil && !slices.Equal(next.Replicas(Partition(p)), latest.Replicas(Partition(p))) {
			c.changedAt[p] = now
		}
	}
	out, _ := c.register.Propose(now, next)
	return out
}

// startPlanning initializes planning on a new publisher. It doesn't know when unsettled partitions
// changed, so it counts from now.
func (c *ControlNode) startPlanning(now time.Duration, latest *Map) {
	c.health, c.members = NewRelayHealth(c.locations, latest, now), nil
	c.changedAt = make([]time.Duration, c.config.Partitions)
	for p := range c.changedAt {
		c.changedAt[p] = -settleAfter
		if latest != nil && !latest.Settled(Partition(p)) {
			c.changedAt[p] = now
		}
	}
}

// hasNewlySettled reports whether a change that the map still shows has settled.
func (c *ControlNode) hasNewlySettled(now time.Duration, latest *Map) bool {
	for p, at := range c.changedAt {
		if now >= at+settleAfter && !latest.Settled(Partition(p)) {
			return true
		}
	}
	return false
}
