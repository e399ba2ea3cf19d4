// Package members tracks which relays of a fleet are alive, with the SWIM protocol and the
// Lifeguard extensions. Each relay pings one other relay per protocol period, asks three more to
// ping on its behalf (ping-req) when no ack arrives, and piggybacks what it knows of others on
// the gossip that is sent anyway. A suspect that learns of the suspicion refutes it under a
// higher incarnation; one that does not is declared dead. What a message proves about its own
// sender takes precedence over what others report.
//
// The package opens no socket, reads no clock and starts no goroutine: time is an argument,
// datagrams are arguments and results. A List is not safe for concurrent use. The cost of a call
// does not depend on the size of the fleet, except for View and for the work that follows a
// change. Membership never affects messages or calls by itself; a relay that receives nothing
// counts all members as possible callers.
package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a moment on the caller's monotonic clock, counted from any fixed start.
type Time = time.Duration

// Period is the protocol period: the mean time between two pings of a relay. Other bounds are
// multiples of it.
const Period = 600 * time.Millisecond

// MaxPiggybackBytes limits the membership section of a gossip message that is sent anyway.
const MaxPiggybackBytes = 64

// MaxMembers limits the size of a fleet.
const MaxMembers = 1 << 14

// Protocol parameters; docs/design/membership.md describes them.
const (
	indirectProbeAfter      = Period / 3  // without an ack: ping-req is sent
	probeTimeout            = Period      // a probe has failed
	indirectProbers         = 3           // receivers of a ping-req
	minSuspicionPeriods     = 4           // shortest suspicion in a small fleet, in periods
	suspicionPeriodsPerHop  = 1.5         // added for each hop that an update takes through the fleet
	maxSuspicionFactor      = 3           // longest suspicion (a single accuser), as a multiple of the shortest
	fullConfirmation        = 3           // accusers at which a suspicion is shortest
	lossSuspicionFactor     = 3           // suspicions lengthen by this multiple of the loss rate
	maxFalseSilence         = 0.002       // probability that lost datagrams look like a silent member
	minProbeAttempts        = 2           // unanswered pings in a row before a suspicion, at least
	maxProbeAttempts        = 16          // and at most
	suspicionInterval       = 2 * Period  // between two suspicions that a relay starts
	lossWeight              = 0.1         // of the latest probe in the moving average of the loss rate
	announcementCopies      = 2           // gossip messages that carry the presence of a member
	updateCopies            = 12          // gossip messages that carry an update; more under loss
	isolatedAfter           = 3 * Period  // without receiving anything
	isolatedQuietTime       = 10 * Period // an isolated relay suspects nobody for this long
	isolatedSuspicionFactor = 4           // suspicions of an isolated relay last N times as long
	syncWindow              = 3 * Period  // a new relay asks for the state of the fleet for this long at most
	pauseThreshold          = 2 * Period  // a longer gap between two calls means that the process was paused
	quietAfterPause         = 3 * Period  // no suspicions for this long after a pause
	recentReceiptWindow     = 2 * Period  // after a message from a member, reports alone do not make it a suspect
	repliesPerPeriod        = 8           // plus one for each eight members, up to four times as many
	maxReceivedPerPeriod    = 24          // gossip messages read from one member
	goneContactRounds       = 4           // while few members are gone, one of them is contacted every N rounds
	maxIncarnationLeap      = 4096        // by which a report may exceed the known incarnation
	maxIncarnation          = 1 << 28
	maxOwnProbes            = 3                // probes in flight, without checks
	maxProbesForChecks      = 8                // probes in flight up to which suspects of other relays are checked
	maxProbes               = 32               // probes in flight up to which ping-req is served
	deadCallerTime          = 15 * time.Second // a dead member may still be calling: it is counted for this long
	leftCallerTime          = 5 * time.Second  // the same for a member that left
	massFailureDivisor      = 4                // more than one in N dead at once is a partition or an outage
	duplicateThreshold      = 3                // signs of a second process within duplicateWindow that prove one
	duplicateWindow         = 20 * Period
	maxReorder              = 2048 // sequence numbers behind the latest, of some twenty a second; no network delays a datagram for longer
)

// zoneFailureDivisor bounds the outage of a zone: a member that has been dead for long counts as
// gone only while at most one in N members of its zone, plus one, are dead or suspect.
const zoneFailureDivisor = 12

// NoZone is the zone of a member that has announced none.
const NoZone = 31

// State is the state of a member.
type State uint8

// The states. At the same incarnation a higher state overrides a lower one.
const (
	Alive   State = iota
	Suspect       // did not ack; may still refute
	Dead          // confirmed dead, or unreachable from here
	Left          // announced its departure
)

// String returns the name of the state in logs, metrics and the admin API.
func (s State) String() string { return [...]string{"alive", "suspect", "away", "left"}[s&3] }

// Config holds the parameters of a List.
type Config struct {
	Self, FleetSize int
	Zone            int // index of the zone; NoZone if unknown
	Seed            int64
}

// Datagram is a gossip message to be sent to one relay.
type Datagram struct {
	To      int
	Payload []byte
}

// Change is a change in the state of a member.
type Change struct {
	Number      int
	From, To    State
	Incarnation uint32
	Reason      string
}

// Counts holds counters since the start.
type Counts struct {
	// Pings sent in rounds, those without an ack in time, suspicions started by this relay, and
	// refutations of suspicions against it.
	Probes, ProbeTimeouts, Suspicions, Refutations int
	Rejected                                       int // gossip messages
}

// member is what this relay knows of another.
type member struct {
	state           State
	zone            uint8
	suspectedHere   bool   // this relay's own probes failed
	checked         bool   // this relay has pinged it since the suspicion began
	firstHand       bool   // the state rests on this relay's own probes
	runKnown        bool   // runID and seq are known
	runID           uint8  // identifies a process under this number
	seq             uint16 // of the latest message received
	incarnation     uint32 // 0: nothing is known of the member yet
	copiesLeft      int8   // copies of the update still to be sent
	updateSerial    uint8  // identifies the latest update
	claimedState    State  // Left if others report that it left
	since           Time
	lastReceivedAt  Time  // latest message received directly; -1: none
	signOfLifeAt    Time  // latest message that proves life, though under an outdated incarnation
	suspectedAt     Time  // start of the suspicion
	informedAt      Time  // when it was last sent the state it is in
	accusers        []int // members that suspect it at first hand
	reason          string
	received        int // messages read since receivedSince
	receivedSince   Time
	runChanges      int // process changes seen since runChangesSince
	runChangesSince Time
}

// probe is a ping in flight.
type probe struct {
	target         int
	nonce          uint8
	timeouts       int // unanswered attempts
	sentAt         Time
	indirect       bool  // ping-req was sent
	check          bool  // verifies a suspicion of other relays
	requester      int   // member that sent the ping-req; -1: own probe
	requesterNonce uint8 // nonce of the ping-req
}

// List is one relay's view of its fleet.
type List struct {
	config              Config
	rng                 *rand.Rand
	now                 Time
	started             bool
	members             []member
	incarnation         uint32
	runID               uint8
	seq                 uint16
	nonce               uint8
	leaving             bool
	synced              bool // another relay has sent the state of the fleet
	probeOrder          []int
	probeIndex          int
	probes              []probe
	suspects            []int                      // numbers, unordered
	live                []int                      // alive or suspect, without this relay
	gone                []int                      // dead or left
	indexOf             []int                      // position of each member in live or gone
	updates             [queueCount][]queuedUpdate // queues of members whose state is to be sent, next first
	changes             []Change
	version             uint64
	counts              Counts
	lossRate            float64
	recentTimeouts      uint8 // of the last eight probed members, a bit for each first ping without an ack
	suspicionAt         Time
	rounds              int
	lastReceivedAt      Time
	quietUntil          Time
	repliesLeft         int // replies allowed in the period that began at repliesSince
	repliesSince        Time
	incarnationRaisedAt Time
	isolatedRaiseAt     Time
	duplicateSightings  int // messages that prove another process under this number
	duplicateSeenAt     Time
	startedAt           Time
	callers             int // latest result of countCallers
	callersAt           Time
	callersCountedAt    Time
}

// New returns a List in which all members are alive. A configuration out of bounds yields a fleet
// of one member.
func New(config Config) *List {
	if config.FleetSize < 1 || config.FleetSize > MaxMembers || config.Self < 0 || config.Self >= config.FleetSize {
		config.Self, config.FleetSize = 0, 1
	}
	if config.Zone < 0 || config.Zone > NoZone {
		config.Zone = NoZone
	}
	rng := rand.New(rand.NewPCG(uint64(config.Seed), 0x3e3b))
	l := &List{
		config:              config,
		rng:                 rng,
		incarnation:         1,
		runID:               uint8(rng.Uint32()),
		seq:                 uint16(rng.Uint32()),
		nonce:               uint8(rng.Uint32()),
		members:             make([]member, config.FleetSize),
		indexOf:             make([]int, config.FleetSize),
		callers:             config.FleetSize,
		version:             1,
		incarnationRaisedAt: -Period,
		isolatedRaiseAt:     -Period,
		suspicionAt:         -suspicionInterval,
		repliesSince:        -Period,
	}
	for i := range l.members {
		l.members[i] = member{
			zone: NoZone, lastReceivedAt: -1, informedAt: -pauseThreshold, reason: "no message received yet",
		}
		if i != config.Self {
			l.indexOf[i] = len(l.live)
			l.live = append(l.live, i)
			l.probeOrder = append(l.probeOrder, i)
		}
	}
	l.members[config.Self] = member{zone: uint8(config.Zone), incarnation: 1, runKnown: true, reason: "this relay"}
	l.shuffleProbeOrder()
	return l
}

func (l *List) shuffleProbeOrder() {
	l.rng.Shuffle(len(l.probeOrder), func(i, j int) {
		l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i]
	})
}

// advance sets the clock. After a pause of the process all acks are overdue, so probes are
// dropped and suspicions extended instead of suspecting the whole fleet.
func (l *List) advance(now Time) {
	if !l.started {
		l.started, l.now, l.lastReceivedAt, l.callersAt, l.startedAt = true, now, now, now, now
		for i := range l.members {
			l.members[i].since = now
		}
		return
	}
	gap := now - l.now
	if gap <= 0 {
		return // the clock never goes back
	}
	l.now = now
	l.synced = l.synced || now-l.startedAt > syncWindow
	if gap > pauseThreshold {
		l.probes = l.probes[:0]
		for _, n := range l.suspects {
			l.members[n].suspectedAt += gap
		}
		l.quietUntil, l.lastReceivedAt = now+quietAfterPause, now
		l.raiseIncarnation(l.incarnation) // this relay may have been suspected meanwhile
	}
}

// raiseIncarnation sets this relay's incarnation to the one after the given or the current one,
// whichever is higher.
func (l *List) raiseIncarnation(incarnation uint32) {
	if l.incarnation = max(l.incarnation, min(incarnation, maxIncarnation-1)) + 1; l.incarnation > maxIncarnation {
		l.incarnation = maxIncarnation
	}
	l.incarnationRaisedAt = l.now
	l.members[l.config.Self].incarnation = l.incarnation
}

// RaiseAbove sets this relay's incarnation above that of an earlier process under its number. Run
// IDs alone do not tell two processes apart: one pair in 256 draws the same.
func (l *List) RaiseAbove(incarnation uint32) {
	if incarnation >= l.incarnation {
		l.raiseIncarnation(incarnation)
		l.version++
	}
}

// Isolated reports whether this relay has received nothing for so long that its own network may be
// at fault.
func (l *List) Isolated() bool { return len(l.members) > 1 && l.now-l.lastReceivedAt > isolatedAfter }

// DuplicateNumber reports whether another process sends under this relay's number.
func (l *List) DuplicateNumber() bool {
	return l.duplicateSightings >= duplicateThreshold && l.now-l.duplicateSeenAt < duplicateWindow
}

// Counts returns the counters.
func (l *List) Counts() Counts { return l.counts }

// Incarnation returns this relay's incarnation.
func (l *List) Incarnation() uint32 { return l.incarnation }

// State returns the state of a member.
func (l *List) State(n int) State { return l.members[n].state }

// Changes returns the changes of state since the last call.
func (l *List) Changes() []Change {
	c := l.changes
	l.changes = nil
	return c
}

// Version increases with each change that View shows.
func (l *List) Version() uint64 { return l.version }

// setState changes the state of a member and disseminates it.
func (l *List) setState(number int, state State, firstHand bool, reason string) {
	m := &l.members[number]
	previous := m.state
	if previous != state {
		l.changes = append(l.changes, Change{number, previous, state, m.incarnation, reason})
		m.since = l.now
		if (previous >= Dead) != (state >= Dead) {
			l.moveMember(number, state >= Dead)
		}
		if state == Suspect {
			m.suspectedAt, m.accusers, m.checked = l.now, m.accusers[:0], false
			l.suspects = append(l.suspects, number)
		} else if previous == Suspect {
			i := slices.Index(l.suspects, number)
			l.suspects[i] = l.suspects[len(l.suspects)-1]
			l.suspects = l.suspects[:len(l.suspects)-1]
		}
	}
	if m.state, m.firstHand, m.reason = state, firstHand, reason; state == Alive {
		if m.suspectedHere && previous == Suspect {
			l.recordLoss() // the suspicion was false: acks were lost
		}
		m.claimedState, m.accusers, m.suspectedHere = Alive, m.accusers[:0], false
	}
	l.version++
	l.disseminate(number)
}

// moveMember moves a member from live to gone or back.
func (l *List) moveMember(number int, gone bool) {
	from, to := &l.gone, &l.live
	if gone {
		from, to = &l.live, &l.gone
	}
	i, last := l.indexOf[number], (*from)[len(*from)-1]
	(*from)[i], l.indexOf[last] = last, i
	*from = (*from)[:len(*from)-1]
	l.indexOf[number] = len(*to)
	*to = append(*to, number)
}

// probing reports whether one of this relay's own probes of a member is in flight; with checksOnly,
// only a check counts.
func (l *List) probing(number int, checksOnly bool) bool {
	return slices.ContainsFunc(l.probes, func(p probe) bool {
		return p.target == number && p.requester < 0 && (p.check || !checksOnly)
	})
}

// ownProbes counts this relay's own probes in flight, without checks.
func (l *List) ownProbes() (count int) {
	for _, p := range l.probes {
		if p.requester < 0 && !p.check {
			count++
		}
	}
	return count
}

// nextProbeTarget returns the next member to probe, false if there is none. It walks through the
// fleet in random order, reshuffled after each pass, so that each member is probed once per pass.
func (l *List) nextProbeTarget() (int, bool) {
	for range min(len(l.probeOrder), 64) {
		if l.probeIndex >= len(l.probeOrder) {
			l.probeIndex = 0
			l.shuffleProbeOrder()
		}
		n := l.probeOrder[l.probeIndex]
		l.probeIndex++
		if l.members[n].state < Dead && !l.probing(n, false) {
			return n, true
		}
	}
	return 0, false
}

// NextTick returns when Tick is due.
func (l *List) NextTick() Time {
	next := l.now + Period
	for _, p := range l.probes {
		if !p.indirect && !p.check && p.requester < 0 {
			next = min(next, p.sentAt+indirectProbeAfter)
		}
		next = min(next, p.sentAt+probeTimeout)
	}
	if len(l.suspects) > 0 {
		next = min(next, l.now+Period/4)
	}
	return max(next, l.now+Period/60)
}

// Tick does what is due: it sends ping-req, repeats pings, handles probe timeouts and ends
// suspicions. It returns the datagrams to be sent.
func (l *List) Tick(now Time) (out []Datagram) {
	l.advance(now)
	remaining := l.probes[:0]
	for _, p := range l.probes {
		switch {
		case l.now >= p.sentAt+probeTimeout && p.requester >= 0:
			continue
		case l.now >= p.sentAt+probeTimeout:
			if p.timeouts++; p.timeouts == 1 && !p.check {
				l.recentTimeouts |= 1
			}
			if p.check && p.timeouts >= l.requiredTimeouts() {
				l.recordAccuser(&l.members[p.target], l.config.Self)
				continue
			}
			if p.timeouts >= l.requiredTimeouts() && l.now-l.suspicionAt >= suspicionInterval {
				if l.suspectSilent(p.target) {
					l.suspicionAt = l.now
				}
				continue
			}
			l.nonce++
			p.nonce, p.sentAt, p.indirect = l.nonce, l.now, false
			out = append(out, Datagram{
				p.target, l.encodeSection(p.target, section{flags: flagPing, nonce: p.nonce}, MaxPiggybackBytes),
			})
		case p.requester < 0 && !p.indirect && !p.check && l.now >= p.sentAt+indirectProbeAfter:
			p.indirect = true
			l.counts.ProbeTimeouts++
			for _, n := range l.indirectProbersFor(p.target) {
				out = append(out, Datagram{n, l.encodeSection(n, section{
					flags: flagPing | flagIndirect, nonce: p.nonce, subject: p.target,
				}, MaxDatagramBytes/2)})
			}
		}
		remaining = append(remaining, p)
	}
	l.probes = remaining
	if l.Isolated() && l.now-l.isolatedRaiseAt >= 2*Period {
		// An isolated relay learns of no suspicion against it, so it refutes unasked.
		l.isolatedRaiseAt = l.now
		l.raiseIncarnation(l.incarnation)
	}
	for i := len(l.suspects) - 1; i >= 0; i-- {
		n := l.suspects[i]
		m := &l.members[n]
		timeout := l.suspicionTimeout(m)
		if l.now < l.quietUntil || l.now-m.suspectedAt < timeout/2 {
			continue
		}
		// An update that clears the suspect may not have arrived here, so this relay pings the
		// suspect itself before it declares it dead.
		if !m.checked && len(l.probes) < maxProbesForChecks {
			if m.checked = true; !l.probing(n, false) {
				l.nonce++
				l.probes = append(l.probes, probe{
					target: n, nonce: l.nonce, sentAt: l.now, requester: -1, check: true,
				})
				out = append(out, Datagram{
					n, l.encodeSection(n, section{flags: flagPing, nonce: l.nonce}, MaxPiggybackBytes),
				})
			}
			continue
		} else if l.now-m.suspectedAt < timeout || l.probing(n, true) {
			continue
		}
		switch {
		case m.claimedState == Left:
			l.setState(n, Left, false, "reported to have left, and no message since")
		case l.Isolated():
			l.setState(n, Dead, false, "no messages from any relay: this relay may be isolated")
		default:
			l.setState(n, Dead, true,
				m.reason+fmt.Sprintf("; no refutation within %.1f s", (l.now-m.suspectedAt).Seconds()))
		}
	}
	return out
}

// indirectProbersFor draws members that may reach a member that this relay does not.
func (l *List) indirectProbersFor(number int) (probers []int) {
	for draws := 0; len(probers) < min(indirectProbers, len(l.live)-1) && draws < 8*indirectProbers; draws++ {
		if candidate := l.live[l.rng.IntN(len(l.live))]; candidate != number && !slices.Contains(probers, candidate) {
			probers = append(probers, candidate)
		}
	}
	return probers
}

// Leave marks this relay as leaving, because it shuts down or has drained. All later sections
// announce it.
func (l *List) Leave(now Time) {
	l.advance(now)
	l.leaving = true
	l.members[l.config.Self].state = Left
	l.version++
}

// CancelLeave revokes Leave.
func (l *List) CancelLeave(now Time) {
	l.advance(now)
	if l.leaving {
		l.leaving = false
		l.members[l.config.Self].state = Alive
		l.raiseIncarnation(l.incarnation)
		l.version++
	}
}
