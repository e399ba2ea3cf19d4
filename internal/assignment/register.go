package assignment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of heartbeats and elections.
const (
	heartbeatInterval = 200 * time.Millisecond
	electionTimeout   = 5 * heartbeatInterval // without a heartbeat, plus a random delay of up to the same
)

// MaxControlNodes is the largest number of control nodes in a region.
const MaxControlNodes = 64

// Message is sent between control nodes.
type Message interface{ message() }

// Prepare asks for a promise to accept nothing of earlier terms.
type Prepare struct{ Term uint64 }

// Promise answers Prepare with the map that was accepted last, nil if none.
type Promise struct {
	Term uint64
	Map  []byte
}

// Accept asks to accept a map in a term.
type Accept struct {
	Term uint64
	Map  []byte
}

// Accepted answers Accept.
type Accepted struct {
	Term   uint64
	Number uint64 // of the map
}

// Rejected answers a Prepare, Accept or Heartbeat of an outdated term.
type Rejected struct{ PromisedTerm uint64 }

// Heartbeat announces that the publisher of a term is running, and what is published.
type Heartbeat struct {
	Term      uint64
	Published Version
}

// FetchPublished answers a Heartbeat that announces an unknown published map.
type FetchPublished struct{ Term uint64 }

// Published carries the published map.
type Published struct {
	Term uint64
	Map  []byte
}

func (Prepare) message()        {}
func (Promise) message()        {}
func (Accept) message()         {}
func (Accepted) message()       {}
func (Rejected) message()       {}
func (Heartbeat) message()      {}
func (FetchPublished) message() {}
func (Published) message()      {}

// Envelope is a message addressed to a control node.
type Envelope struct {
	To      int
	Message Message
}

// PersistentState is what a control node must write to disk before it sends the envelopes of the
// call that changed it.
type PersistentState struct {
	PromisedTerm uint64 // the highest term seen; earlier ones are rejected
	AcceptedMap  []byte // accepted last, published or not
	PublishedMap []byte // the latest that is known to be published
}

// Register is one control node's part in a replicated register that holds the region's latest map.
// It is Paxos with a distinguished proposer: the publisher has the promises of a majority for its
// term, and publishes a map once a majority has accepted it. A node without them publishes nothing,
// so two concurrent publishers never publish conflicting maps. It is not safe for concurrent use.
type Register struct {
	self, nodes int
	key         Key
	rng         *rand.Rand
	state       PersistentState
	accepted    *Map
	published   *Map

	role          role
	publisher     int    // the last known publisher, -1: none
	term          uint64 // of the latest election or publication by this node
	electionAt    time.Duration
	heartbeatAt   time.Duration
	promises      map[int]Promise
	proposal      *Map // in progress
	proposalBytes []byte
	proposedAt    time.Duration
	acceptances   map[int]bool
}

type role uint8

const (
	following role = iota // follows a publisher, or waits for one
	electing
	publishing
)

// NewRegister returns the register of control node self out of nodes, 1 to MaxControlNodes, with
// the state that it had on disk.
func NewRegister(self, nodes int, key Key, seed int64, state PersistentState) (*Register, error) {
	if nodes < 1 || nodes > MaxControlNodes || self < 0 || self >= nodes {
		return nil, fmt.Errorf("%w: control node %d of %d", ErrOutOfRange, self, nodes)
	}
	r := &Register{
		self: self, nodes: nodes, key: key, state: state, publisher: -1,
		rng: rand.New(rand.NewPCG(uint64(seed), uint64(self))),
	}
	var err error
	if state.AcceptedMap != nil {
		if r.accepted, err = DecodeMap(state.AcceptedMap, key); err != nil {
			return nil, fmt.Errorf("accepted map: %w", err)
		}
	}
	if state.PublishedMap != nil {
		if r.published, err = DecodeMap(state.PublishedMap, key); err != nil {
			return nil, fmt.Errorf("published map: %w", err)
		}
	}
	return r, nil
}

// PersistentState returns the state to write to disk.
func (r *Register) PersistentState() PersistentState { return r.state }

// Published returns the latest map that is known to be published, nil before the first.
func (r *Register) Published() *Map { return r.published }

// Publishing reports whether this node may propose the next map.
func (r *Register) Publishing() bool { return r.role == publishing && r.proposal == nil }

// Publisher returns the last known publisher, -1 if there is none yet.
func (r *Register) Publisher() int { return r.publisher }

// LatestAccepted returns the map from which the next one has to be planned, nil before the first.
// It is only meaningful on the publisher.
func (r *Register) LatestAccepted() *Map { return r.accepted }

// Tick advances the time and returns the messages to send.
func (r *Register) Tick(now time.Duration) []Envelope {
	if r.electionAt == 0 {
		r.resetElectionTimer(now)
	}
	switch {
	case r.role == publishing && now >= r.heartbeatAt:
		return r.sendHeartbeat(now)
	case r.role != publishing && now >= r.electionAt:
		return r.startElection(now)
	}
	return nil
}

// resetElectionTimer postpones the next election, since a publisher is running.
func (r *Register) resetElectionTimer(now time.Duration) {
	r.electionAt = now + electionTimeout + time.Duration(r.rng.Int64N(int64(electionTimeout)))
}

// startElection starts a new term with this node as its candidate.
func (r *Register) startElection(now time.Duration) []Envelope {
	r.resetElectionTimer(now)
	r.role, r.proposal, r.promises = electing, nil, map[int]Promise{}
	r.term = r.nextTerm()
	r.state.PromisedTerm = r.term
	out := r.broadcast(Prepare{r.term})
	return append(out, r.handlePromise(now, r.self, Promise{r.term, r.state.AcceptedMap})...)
}

// nextTerm returns a term above all known ones that no other node uses.
func (r *Register) nextTerm() uint64 {
	return (r.state.PromisedTerm/MaxControlNodes+1)*MaxControlNodes + uint64(r.self)
}

// broadcast addresses a message to all other nodes.
func (r *Register) broadcast(m Message) (out []Envelope) {
	for to := range r.nodes {
		if to != r.self {
			out = append(out, Envelope{to, m})
		}
	}
	return out
}

func (r *Register) isMajority(n int) bool { return 2*n > r.nodes }

// sendHeartbeat announces that this node publishes, and repeats an unanswered proposal.
func (r *Register) sendHeartbeat(now time.Duration) []Envelope {
	r.heartbeatAt = now + heartbeatInterval
	heartbeat := Heartbeat{Term: r.term}
	if r.published != nil {
		heartbeat.Published = r.published.Version
	}
	out := r.broadcast(heartbeat)
	if r.proposal == nil || now < r.proposedAt+heartbeatInterval {
		return out
	}
	r.proposedAt = now
	for to := range r.nodes {
		if to != r.self && !r.acceptances[to] {
			out = append(out, Envelope{to, Accept{r.term, r.proposalBytes}})
		}
	}
	return out
}

// Propose starts to publish a map, whose version it sets. It does nothing and returns false if
// Publishing is false.
func (r *Register) Propose(now time.Duration, m *Map) (out []Envelope, ok bool) {
	if !r.Publishing() {
		return nil, false
	}
	next := *m
	next.Version = Version{Term: r.term, Number: 1}
	if r.accepted != nil {
		next.Version.Number = r.accepted.Version.Number + 1
	}
	r.proposal, r.proposalBytes, r.proposedAt, r.acceptances = &next, next.Encode(r.key), now, map[int]bool{}
	r.storeAccepted(r.term, &next, r.proposalBytes)
	out = r.broadcast(Accept{r.term, r.proposalBytes})
	return append(out, r.handleAccepted(now, r.self, Accepted{r.term, next.Version.Number})...), true
}

func (r *Register) storeAccepted(term uint64, m *Map, encoded []byte) {
	r.accepted, r.state.AcceptedMap, r.state.PromisedTerm = m, encoded, term
}

// Receive handles a message of another control node and returns the messages to send.
func (r *Register) Receive(now time.Duration, from int, m Message) []Envelope {
	switch m := m.(type) {
	case Prepare:
		return r.handlePrepare(now, from, m)
	case Promise:
		return r.handlePromise(now, from, m)
	case Accept:
		return r.handleAccept(now, from, m)
	case Accepted:
		return r.handleAccepted(now, from, m)
	case Heartbeat:
		return r.handleHeartbeat(now, from, m)
	case FetchPublished:
		if r.role == publishing && m.Term == r.term && r.published != nil {
			return []Envelope{{from, Published{r.term, r.state.PublishedMap}}}
		}
	case Published:
		r.learnPublished(m.Map)
	case Rejected:
		r.handleRejected(now, m)
	}
	return nil
}

// isStaleTerm reports whether a term is outdated. If not, this node adopts it and postpones its
// election.
func (r *Register) isStaleTerm(now time.Duration, term uint64) bool {
	if term < r.state.PromisedTerm {
		return true
	}
	if term > r.state.PromisedTerm {
		r.state.PromisedTerm, r.role, r.proposal = term, following, nil
	}
	r.resetElectionTimer(now)
	return false
}

func (r *Register) handlePrepare(now time.Duration, from int, m Prepare) []Envelope {
	if r.isStaleTerm(now, m.Term) {
		return []Envelope{{from, Rejected{r.state.PromisedTerm}}}
	}
	return []Envelope{{from, Promise{m.Term, r.state.AcceptedMap}}}
}

// handlePromise counts promises. With a majority this node becomes the publisher and continues from
// the latest map that any of them has accepted.
func (r *Register) handlePromise(now time.Duration, from int, m Promise) []Envelope {
	if r.role != electing || m.Term != r.term {
		return nil
	}
	r.promises[from] = m
	if !r.isMajority(len(r.promises)) {
		return nil
	}
	r.role, r.publisher = publishing, r.self
	for _, p := range r.promises {
		r.adoptAccepted(p)
	}
	out := r.sendHeartbeat(now)
	if r.accepted == nil || r.published != nil && r.accepted.Version == r.published.Version {
		return out
	}
	// That map may have been published by a node that is down now. Proposing it again makes sure
	// that it is known to be.
	proposals, _ := r.Propose(now, r.accepted)
	return append(out, proposals...)
}

// adoptAccepted adopts a map that another node has accepted, if it is later than the known one. A
// map's version contains the term in which it was proposed, so the latest is the one that may have
// been published.
func (r *Register) adoptAccepted(p Promise) {
	if p.Map == nil {
		return
	}
	m, err := DecodeMap(p.Map, r.key)
	if err != nil {
		return // treated as if the node had none: a majority of the others has what is published
	}
	if r.accepted == nil || m.Version.Compare(r.accepted.Version) > 0 {
		r.accepted, r.state.AcceptedMap = m, p.Map
	}
}

func (r *Register) handleAccept(now time.Duration, from int, m Accept) []Envelope {
	if r.isStaleTerm(now, m.Term) {
		return []Envelope{{from, Rejected{r.state.PromisedTerm}}}
	}
	next, err := DecodeMap(m.Map, r.key)
	if err != nil || next.Version.Term != m.Term || r.accepted != nil && next.Version.Compare(r.accepted.Version) < 0 {
		return nil // truncated, forged or late: the publisher repeats its request or has moved on
	}
	r.storeAccepted(m.Term, next, m.Map)
	return []Envelope{{from, Accepted{m.Term, next.Version.Number}}}
}

// handleAccepted counts the nodes that accepted the proposal. With a majority it is published.
func (r *Register) handleAccepted(now time.Duration, from int, m Accepted) []Envelope {
	if r.role != publishing || r.proposal == nil || m.Term != r.term || m.Number != r.proposal.Version.Number {
		return nil
	}
	r.acceptances[from] = true
	if !r.isMajority(len(r.acceptances)) {
		return nil
	}
	r.published, r.state.PublishedMap, r.proposal = r.proposal, r.proposalBytes, nil
	r.heartbeatAt = now + heartbeatInterval
	return r.broadcast(Published{r.term, r.proposalBytes})
}

// learnPublished adopts a published map, if it is later than the known one.
func (r *Register) learnPublished(encoded []byte) {
	m, err := DecodeMap(encoded, r.key)
	if err == nil && (r.published == nil || m.Version.Compare(r.published.Version) > 0) {
		r.published, r.state.PublishedMap = m, encoded
	}
}

func (r *Register) handleHeartbeat(now time.Duration, from int, m Heartbeat) []Envelope {
	if r.isStaleTerm(now, m.Term) {
		return []Envelope{{from, Rejected{r.state.PromisedTerm}}}
	}
	r.publisher = from
	known := Version{}
	if r.published != nil {
		known = r.published.Version
	}
	if known.Compare(m.Published) < 0 {
		return []Envelope{{from, FetchPublished{m.Term}}}
	}
	return nil
}

// handleRejected ends this node's term, since another node has a later one.
func (r *Register) handleRejected(now time.Duration, m Rejected) {
	if m.PromisedTerm > r.state.PromisedTerm {
		r.state.PromisedTerm, r.role, r.proposal = m.PromisedTerm, following, nil
		r.resetElectionTimer(now)
	}
}
