package assignment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of the control machines' register.
const (
	heartbeatEvery = 200 * time.Millisecond
	electionAfter  = 5 * heartbeatEvery // without a heartbeat, before a draw of as much again
)

// MaxControlNodes is how many control machines a region may have.
const MaxControlNodes = 64

// Message is what control machines tell one another.
type Message interface{ message() }

// Prepare asks for the promise to accept nothing of earlier terms.
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

// Rejected answers Prepare, Accept or Heartbeat of a term that is over.
type Rejected struct{ PromisedTerm uint64 }

// Heartbeat tells that the publisher of a term works, and what is published.
type Heartbeat struct {
	Term      uint64
	Published Version
}

// FetchPublished answers Heartbeat where the published map is not known.
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

// Envelope is a message to a control machine.
type Envelope struct {
	To      int
	Message Message
}

// PersistentState is what a control machine must have on disk before it sends the
// envelopes of the call that changed it.
type PersistentState struct {
	PromisedTerm uint64 // term
	AcceptedMap  []byte // accepted last, published or not
	PublishedMap []byte // the latest that is known to be
}

// Register is one control machine's part in a value that all of a region share:
// the latest map. It is Paxos with a distinguished proposer: the publisher has the
// promises of a majority for its term, and publishes a map once a majority has
// accepted it. A machine without them publishes nothing, so two publishers at once
// never publish maps that contradict each other. It is not safe for concurrent use.
type Register struct {
	me, controls int
	key          Key
	rng          *rand.Rand
	disk         PersistentState
	accepted     *Map
	published    *Map

	role      role
	publisher int    // the machine that was heard as such last, -1: none
	term      uint64 // of the election or publication under way here
	electAt   time.Duration
	beatAt    time.Duration
	promises  map[int]Promise
	proposal  *Map // under way
	encoded   []byte
	proposed  time.Duration
	approvals map[int]bool
}

type role uint8

const (
	waiting role = iota // hears a publisher, or waits for one
	electing
	publishing
)

// NewRegister makes the part of control machine me of so many, 1 to 64, from what
// it had on disk.
func NewRegister(me, controls int, key Key, seed int64, disk PersistentState) (*Register, error) {
	if controls < 1 || controls > MaxControlNodes || me < 0 || me >= controls {
		return nil, fmt.Errorf("%w: control machine %d of %d", ErrOutOfRange, me, controls)
	}
	r := &Register{me: me, controls: controls, key: key, disk: disk, publisher: -1, rng: rand.New(rand.NewPCG(uint64(seed), uint64(me)))}
	var err error
	if disk.AcceptedMap != nil {
		if r.accepted, err = DecodeMap(disk.AcceptedMap, key); err != nil {
			return nil, fmt.Errorf("accepted map: %w", err)
		}
	}
	if disk.PublishedMap != nil {
		if r.published, err = DecodeMap(disk.PublishedMap, key); err != nil {
			return nil, fmt.Errorf("published map: %w", err)
		}
	}
	return r, nil
}

// PersistentState returns what has to be on disk now.
func (r *Register) PersistentState() PersistentState { return r.disk }

// Published returns the latest map that is known to be published, nil before the
// first.
func (r *Register) Published() *Map { return r.published }

// Publishing tells whether this machine may propose the next map.
func (r *Register) Publishing() bool { return r.role == publishing && r.proposal == nil }

// Publisher returns the machine that publishes as far as this one knows; -1 before
// it has heard of one.
func (r *Register) Publisher() int { return r.publisher }

// LatestAccepted returns the map that the next one has to be planned from, nil before the
// first. It is only of use to the machine that is publishing.
func (r *Register) LatestAccepted() *Map { return r.accepted }

// Tick takes the time and returns what to send.
func (r *Register) Tick(now time.Duration) []Envelope {
	if r.electAt == 0 {
		r.await(now)
	}
	switch {
	case r.role == publishing && now >= r.beatAt:
		return r.beat(now)
	case r.role != publishing && now >= r.electAt:
		return r.elect(now)
	}
	return nil
}

// await puts off the election: a publisher has been heard.
func (r *Register) await(now time.Duration) {
	r.electAt = now + electionAfter + time.Duration(r.rng.Int64N(int64(electionAfter)))
}

// elect begins a term of this machine's own.
func (r *Register) elect(now time.Duration) []Envelope {
	r.await(now)
	r.role, r.proposal, r.promises = electing, nil, map[int]Promise{}
	r.term = r.nextTerm()
	r.disk.PromisedTerm = r.term
	out := r.all(Prepare{r.term})
	return append(out, r.promised(now, r.me, Promise{r.term, r.disk.AcceptedMap})...)
}

// nextTerm is above all that were heard of, and differs from those of others.
func (r *Register) nextTerm() uint64 {
	return (r.disk.PromisedTerm/MaxControlNodes+1)*MaxControlNodes + uint64(r.me)
}

// all addresses a message to all others.
func (r *Register) all(m Message) (out []Envelope) {
	for to := range r.controls {
		if to != r.me {
			out = append(out, Envelope{to, m})
		}
	}
	return out
}

func (r *Register) majority(n int) bool { return 2*n > r.controls }

// beat tells that this machine publishes, and asks again for what is not answered.
func (r *Register) beat(now time.Duration) []Envelope {
	r.beatAt = now + heartbeatEvery
	beat := Heartbeat{Term: r.term}
	if r.published != nil {
		beat.Published = r.published.Version
	}
	out := r.all(beat)
	if r.proposal == nil || now < r.proposed+heartbeatEvery {
		return out
	}
	r.proposed = now
	for to := range r.controls {
		if to != r.me && !r.approvals[to] {
			out = append(out, Envelope{to, Accept{r.term, r.encoded}})
		}
	}
	return out
}

// Propose begins to publish a map, whose version it sets. It is a no-op where
// Publishing is false, and returns false then.
func (r *Register) Propose(now time.Duration, m *Map) (out []Envelope, ok bool) {
	if !r.Publishing() {
		return nil, false
	}
	next := *m
	next.Version = Version{Term: r.term, Number: 1}
	if r.accepted != nil {
		next.Version.Number = r.accepted.Version.Number + 1
	}
	r.proposal, r.encoded, r.proposed, r.approvals = &next, next.Encode(r.key), now, map[int]bool{}
	r.accept(r.term, &next, r.encoded)
	out = r.all(Accept{r.term, r.encoded})
	return append(out, r.approved(now, r.me, Accepted{r.term, next.Version.Number})...), true
}

func (r *Register) accept(term uint64, m *Map, encoded []byte) {
	r.accepted, r.disk.AcceptedMap, r.disk.PromisedTerm = m, encoded, term
}

// Receive takes in a message of another control machine and returns what to send.
func (r *Register) Receive(now time.Duration, from int, m Message) []Envelope {
	switch m := m.(type) {
	case Prepare:
		return r.prepare(now, from, m)
	case Promise:
		return r.promised(now, from, m)
	case Accept:
		return r.acceptable(now, from, m)
	case Accepted:
		return r.approved(now, from, m)
	case Heartbeat:
		return r.heartbeat(now, from, m)
	case FetchPublished:
		if r.role == publishing && m.Term == r.term && r.published != nil {
			return []Envelope{{from, Published{r.term, r.disk.PublishedMap}}}
		}
	case Published:
		r.publish(m.Map)
	case Rejected:
		r.refused(now, m)
	}
	return nil
}

// over tells whether a term is over here; if it is not, it is the one from now on.
func (r *Register) over(now time.Duration, term uint64) bool {
	if term < r.disk.PromisedTerm {
		return true
	}
	if term > r.disk.PromisedTerm {
		r.disk.PromisedTerm, r.role, r.proposal = term, waiting, nil
	}
	r.await(now)
	return false
}

func (r *Register) prepare(now time.Duration, from int, m Prepare) []Envelope {
	if r.over(now, m.Term) {
		return []Envelope{{from, Rejected{r.disk.PromisedTerm}}}
	}
	return []Envelope{{from, Promise{m.Term, r.disk.AcceptedMap}}}
}

// promised counts promises; with a majority's this machine is the publisher, and
// goes on from the latest map that any of them had accepted.
func (r *Register) promised(now time.Duration, from int, m Promise) []Envelope {
	if r.role != electing || m.Term != r.term {
		return nil
	}
	r.promises[from] = m
	if !r.majority(len(r.promises)) {
		return nil
	}
	r.role, r.publisher = publishing, r.me
	for _, p := range r.promises {
		r.recover(p)
	}
	out := r.beat(now)
	if r.accepted == nil || r.published != nil && r.accepted.Version == r.published.Version {
		return out
	}
	// It may have been published, by a machine of which nobody heard since. It is
	// proposed anew, so that it is known to be.
	again, _ := r.Propose(now, r.accepted)
	return append(out, again...)
}

// recover takes over a map that another machine has accepted, if it is later than
// the one that is known here. A map's version names the term in which it was
// proposed, so that the latest is the one that may have been published.
func (r *Register) recover(p Promise) {
	if p.Map == nil {
		return
	}
	m, err := DecodeMap(p.Map, r.key)
	if err != nil {
		return // as if that machine had none: a majority of the others has what is published
	}
	if r.accepted == nil || m.Version.Compare(r.accepted.Version) > 0 {
		r.accepted, r.disk.AcceptedMap = m, p.Map
	}
}

func (r *Register) acceptable(now time.Duration, from int, m Accept) []Envelope {
	if r.over(now, m.Term) {
		return []Envelope{{from, Rejected{r.disk.PromisedTerm}}}
	}
	next, err := DecodeMap(m.Map, r.key)
	if err != nil || next.Version.Term != m.Term || r.accepted != nil && next.Version.Compare(r.accepted.Version) < 0 {
		return nil // torn, forged, or late: the publisher asks again or has gone on
	}
	r.accept(m.Term, next, m.Map)
	return []Envelope{{from, Accepted{m.Term, next.Version.Number}}}
}

// approved counts who accepted the proposal; with a majority it is published.
func (r *Register) approved(now time.Duration, from int, m Accepted) []Envelope {
	if r.role != publishing || r.proposal == nil || m.Term != r.term || m.Number != r.proposal.Version.Number {
		return nil
	}
	r.approvals[from] = true
	if !r.majority(len(r.approvals)) {
		return nil
	}
	r.published, r.disk.PublishedMap, r.proposal = r.proposal, r.encoded, nil
	r.beatAt = now + heartbeatEvery
	return r.all(Published{r.term, r.encoded})
}

// publish takes over a map that is published, if it is later than the one known.
func (r *Register) publish(encoded []byte) {
	m, err := DecodeMap(encoded, r.key)
	if err == nil && (r.published == nil || m.Version.Compare(r.published.Version) > 0) {
		r.published, r.disk.PublishedMap = m, encoded
	}
}

func (r *Register) heartbeat(now time.Duration, from int, m Heartbeat) []Envelope {
	if r.over(now, m.Term) {
		return []Envelope{{from, Rejected{r.disk.PromisedTerm}}}
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

// refused ends this machine's term: another one's is later.
func (r *Register) refused(now time.Duration, m Rejected) {
	if m.PromisedTerm > r.disk.PromisedTerm {
		r.disk.PromisedTerm, r.role, r.proposal = m.PromisedTerm, waiting, nil
		r.await(now)
	}
}
