package assignment

import (
	"slices"
	"time"
)

const (
	// planEvery is how often the publisher looks whether the map has to change.
	planEvery = 500 * time.Millisecond
	// reportEvery is how often a control machine tells the publisher which relays
	// have asked it: every relay is in some report at least once in awayAfter.
	reportEvery = time.Second
	// settleAfter is how long a partition does not change again: all that its former
	// replicas held has been delivered by then, or is out of time.
	settleAfter = goneAfter
)

// ContactReport tells the publisher which relays have asked another control machine since
// its last report: a bit for each relay, and which of them said that they leave.
type ContactReport struct{ Relays, Leaving []uint64 }

func (ContactReport) message() {}

// ControlNode is a control machine of a region: it takes part in publishing maps, and
// answers relays. It is not safe for concurrent use.
type ControlNode struct {
	register  *Register
	directory *Directory
	shape     MapConfig
	places    []Member
	health    *RelayHealth // while it publishes
	states    []Member
	heard     ContactReport   // since the last report
	changedAt []time.Duration // by partition, while it publishes
	planAt    time.Duration
	reportAt  time.Duration
}

// NewControlNode makes a control machine from its part of the register. The member at
// index i of places is the zone and rack of relay i.
func NewControlNode(register *Register, shape MapConfig, places []Member, key Key) *ControlNode {
	c := &ControlNode{register: register, directory: NewDirectory(key), shape: shape, places: places, heard: newHeard(len(places))}
	c.directory.Update(register.Published())
	return c
}

// Register returns its part of the register, whose Durable has to be on disk
// before what Tick and Receive return is sent.
func (c *ControlNode) Register() *Register { return c.register }

// Answer answers a relay, as Directory.Answer does.
func (c *ControlNode) Answer(now time.Duration, a SliceRequest) ([]byte, error) {
	if int(a.Relay) < len(c.places) {
		c.heard.book(a)
		c.tellHealth(now, a.Relay, a.Leaving)
	}
	return c.directory.Answer(a)
}

// tellHealth books that a relay was heard of, where this machine publishes.
func (c *ControlNode) tellHealth(now time.Duration, r Relay, leaves bool) {
	switch {
	case c.health == nil:
	case leaves:
		c.health.RecordLeaving(r, now)
	default:
		c.health.RecordContact(r, now)
	}
}

const wordBits = 64

func newHeard(relays int) ContactReport {
	words := (relays + wordBits - 1) / wordBits
	return ContactReport{make([]uint64, words), make([]uint64, words)}
}

// book takes in a question of a relay that has a bit.
func (h ContactReport) book(a SliceRequest) {
	word, bit := a.Relay/wordBits, uint64(1)<<(a.Relay%wordBits)
	h.Relays[word] |= bit
	if h.Leaving[word] &^= bit; a.Leaving {
		h.Leaving[word] |= bit
	}
}

// Receive takes in a message of another control machine and returns what to send.
func (c *ControlNode) Receive(now time.Duration, from int, m Message) []Envelope {
	if report, ok := m.(ContactReport); ok {
		c.reported(now, report)
		return nil
	}
	out := c.register.Receive(now, from, m)
	c.directory.Update(c.register.Published())
	return out
}

// reported takes in which relays another machine has heard of. A report of a
// machine that knows nothing of leaves has no bits for them.
func (c *ControlNode) reported(now time.Duration, report ContactReport) {
	for i, word := range report.Relays {
		for bit := range wordBits {
			r := i*wordBits + bit
			if word>>bit&1 != 0 && r < len(c.places) {
				c.tellHealth(now, Relay(r), i < len(report.Leaving) && report.Leaving[i]>>bit&1 != 0)
			}
		}
	}
}

// Tick takes the time and returns what to send.
func (c *ControlNode) Tick(now time.Duration) []Envelope {
	out := c.register.Tick(now)
	if c.register.Publishing() {
		out = append(out, c.plan(now)...)
	} else if c.register.Publisher() != c.register.me {
		c.health = nil
		out = append(out, c.report(now)...)
	}
	c.directory.Update(c.register.Published())
	return out
}

// report tells the publisher who has asked.
func (c *ControlNode) report(now time.Duration) []Envelope {
	to := c.register.Publisher()
	if to < 0 || now < c.reportAt {
		return nil
	}
	c.reportAt = now + reportEvery
	report := c.heard
	c.heard = newHeard(len(c.places))
	return []Envelope{{to, report}}
}

// plan proposes another map where that has to change.
func (c *ControlNode) plan(now time.Duration) []Envelope {
	if now < c.planAt {
		return nil
	}
	c.planAt = now + planEvery
	latest := c.register.LatestAccepted()
	if c.health == nil {
		c.begin(now, latest)
		if latest == nil { // Risk: the first map without those that have not asked yet
			c.planAt = now + awayAfter
			return nil
		}
	}
	members := c.health.Members(now)
	settling := latest != nil && c.settling(now, latest)
	if !settling && c.states != nil && slices.Equal(members, c.states) {
		return nil
	}
	next, err := Plan(c.shape, latest, members, func(p Partition) bool { return now >= c.changedAt[p]+settleAfter })
	if err != nil {
		return nil // too few serve: the last map stays in force
	}
	c.states = members
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

// begin takes up planning: this machine has just become the publisher. When what
// is not settled has changed it does not know, so it counts from now.
func (c *ControlNode) begin(now time.Duration, latest *Map) {
	c.health, c.states = NewRelayHealth(c.places, latest, now), nil
	c.changedAt = make([]time.Duration, c.shape.Partitions)
	for p := range c.changedAt {
		c.changedAt[p] = -settleAfter
		if latest != nil && !latest.Settled(Partition(p)) {
			c.changedAt[p] = now
		}
	}
}

// settling tells whether a change that the map shows has got settled.
func (c *ControlNode) settling(now time.Duration, latest *Map) bool {
	for p, at := range c.changedAt {
		if now >= at+settleAfter && !latest.Settled(Partition(p)) {
			return true
		}
	}
	return false
}
