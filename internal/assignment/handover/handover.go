// Package handover passes a partition from its former replicas to its present ones
// while messages for it are held, ordered and under way.
//
// The messages of a key are sent by one replica, its owner. After a change of
// replicas a key may have another owner, which sends none of the key's messages
// until the former one has released the partition: it takes on no more of them and
// has none left. A replica that is new sends nothing at all before all former ones
// have adopted the change, so that the shares of a destination's rate that the
// replicas use never add up to more than the whole. What a former replica was told
// to wait for comes with its messages.
//
// The package does no I/O and reads no clock: times are arguments. A Handover is
// owned by one goroutine.
package handover

import (
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// resendEvery is how often what is not acknowledged is told again.
const resendEvery = 200 * time.Millisecond

// RetryAfter is a destination that may not be sent to until a time has passed.
type RetryAfter struct {
	Destination uint64
	Remaining   time.Duration // when the message was sent
}

// Message tells another replica how far this one is with a handover.
type Message struct {
	ChangeID     uint64   // which one; those of others are ignored
	Adopted      bool     // the sender goes by the present replicas
	Released     bool     // and holds nothing of keys that it owns no more
	Acknowledged Progress // of the receiver, to the sender
	Reply        bool     // it answers a message, and asks for no answer
	RetryAfters  []RetryAfter
}

// Progress is what a replica knows of how far another one is.
type Progress struct{ Adopted, Released bool }

// Envelope is a message to another replica.
type Envelope struct {
	To      assignment.Relay
	Message Message
}

// Handover is one replica's part in a partition's latest change. A replica makes
// one as it adopts the change, once that is on its disk: else a restart would have
// it go by the former replicas again.
type Handover struct {
	self     assignment.Relay
	former   []assignment.Relay
	present  []assignment.Relay
	change   uint64
	held     map[uint64]int // messages of keys that have another owner now, by key
	unkeyed  int            // messages without a key, at one that leaves
	peers    map[assignment.Relay]*peer
	nextTell time.Duration
	tellAnew bool
}

// peer is how far another replica is.
type peer struct {
	Progress
	knows Progress // what it has acknowledged of this one
	gone  bool
}

// New makes the part of relay self in the change of a partition that concerns it.
// Held are the keys of the messages that it holds for the partition, one entry for
// each message; unkeyed is how many it holds that keep no order.
func New(self assignment.Relay, s assignment.PartitionAssignment, held []uint64, unkeyed int) *Handover {
	h := &Handover{self: self, former: s.Previous, present: s.Replicas, change: changeOf(s), held: map[uint64]int{}, peers: map[assignment.Relay]*peer{}}
	for _, r := range slices.Concat(s.Previous, s.Replicas) {
		if r != self && h.peers[r] == nil {
			h.peers[r] = &peer{}
		}
	}
	for _, key := range held {
		if Owner(s.Replicas, key) != self {
			h.held[key]++
		}
	}
	if !slices.Contains(h.present, self) {
		h.unkeyed = unkeyed
	}
	return h
}

// Owner returns which of the replicas, at least one, sends the messages of a key.
func Owner(replicas []assignment.Relay, key uint64) (owner assignment.Relay) {
	var best uint64
	for i, r := range replicas {
		if rank := assignment.Mix(key ^ assignment.Mix(uint64(r))); i == 0 || rank > best {
			owner, best = r, rank
		}
	}
	return owner
}

// changeOf names a change, alike for all.
func changeOf(s assignment.PartitionAssignment) uint64 {
	name := uint64(s.Partition)
	for _, r := range s.Previous {
		name = assignment.Mix(name ^ uint64(r))
	}
	name = assignment.Mix(name + 1)
	for _, r := range s.Replicas {
		name = assignment.Mix(name ^ uint64(r))
	}
	return name
}

// MayAccept tells whether this replica takes on a message of a key. If not, it says
// so, and owner is the one that does.
func (h *Handover) MayAccept(key uint64) (ok bool, owner assignment.Relay) {
	owner = Owner(h.present, key)
	return owner == h.self, owner
}

// MaySend tells whether a message of a key that this replica holds may be sent now.
// A message that was taken on before the change may always be.
func (h *Handover) MaySend(key uint64) bool {
	before := Owner(h.former, key)
	if before == h.self {
		return true
	}
	return h.joined() && h.peerReleased(before)
}

// MaySendUnkeyed tells the same of messages that keep no order.
func (h *Handover) MaySendUnkeyed() bool { return slices.Contains(h.former, h.self) || h.joined() }

// RateShare is the share of a destination's rate that this replica may use now, 0 to 1.
func (h *Handover) RateShare() float64 {
	switch {
	case h.released() && !slices.Contains(h.present, h.self):
		return 0 // it has nothing left, and others may know
	case h.Done():
		return 1 / float64(len(h.present))
	case h.MaySendUnkeyed():
		return 1 / float64(len(h.peers)+1)
	}
	return 0
}

// CompletedKeyed tells that a message of a key, which this replica held as it adopted the
// change, is over.
func (h *Handover) CompletedKeyed(key uint64) {
	if h.held[key] > 1 {
		h.held[key]--
		return
	}
	if _, found := h.held[key]; found {
		delete(h.held, key)
		h.tellAnew = h.released()
	}
}

// CompletedUnkeyed tells the same of a message that keeps no order.
func (h *Handover) CompletedUnkeyed() {
	if h.unkeyed > 0 {
		h.unkeyed--
		h.tellAnew = h.released()
	}
}

// MarkRemoved tells that a replica will not come back, and that all that it held is over
// or out of time. Only the control machines may say so.
func (h *Handover) MarkRemoved(r assignment.Relay) {
	if p := h.peers[r]; p != nil {
		p.gone = true
	}
}

// Done tells whether all former replicas have released the partition, this one
// among them.
func (h *Handover) Done() bool {
	for _, r := range h.former {
		if !h.peerReleased(r) {
			return false
		}
	}
	return true
}

// released tells whether this replica holds nothing that others own now.
func (h *Handover) released() bool { return len(h.held) == 0 && h.unkeyed == 0 }

func (h *Handover) peerReleased(r assignment.Relay) bool {
	if r == h.self {
		return h.released()
	}
	p := h.peers[r]
	return p.Released || p.gone
}

// joined tells whether all former replicas go by the present ones.
func (h *Handover) joined() bool {
	for _, r := range h.former {
		if p := h.peers[r]; p != nil && !p.Adopted && !p.gone {
			return false
		}
	}
	return true
}

// Tick returns what to tell at now, with the waits that this replica has been told.
func (h *Handover) Tick(now time.Duration, waits []RetryAfter) (out []Envelope) {
	if now < h.nextTell && !h.tellAnew {
		return nil
	}
	h.nextTell, h.tellAnew = now+resendEvery, false
	for _, r := range h.order() {
		if p := h.peers[r]; !p.gone && (!p.knows.Adopted || h.released() && !p.knows.Released) {
			out = append(out, h.tell(r, false, waits))
		}
	}
	return out
}

// order lists the other replicas, alike each time.
func (h *Handover) order() (others []assignment.Relay) {
	for r := range h.peers {
		others = append(others, r)
	}
	slices.Sort(others)
	return others
}

// tell says to another replica how far this one is.
func (h *Handover) tell(r assignment.Relay, reply bool, waits []RetryAfter) Envelope {
	m := Message{ChangeID: h.change, Adopted: true, Released: h.released(), Acknowledged: h.peers[r].Progress, Reply: reply, RetryAfters: waits}
	return Envelope{r, m}
}

// Receive takes in a message of another replica. It returns the answer, if one is
// due, and whether the message is of this change; if it is, its waits bind this
// replica too.
func (h *Handover) Receive(from assignment.Relay, m Message, waits []RetryAfter) (answer []Envelope, mine bool) {
	p := h.peers[from]
	if p == nil || m.ChangeID != h.change {
		return nil, false
	}
	p.Adopted, p.Released = p.Adopted || m.Adopted, p.Released || m.Released
	p.knows = Progress{p.knows.Adopted || m.Acknowledged.Adopted, p.knows.Released || m.Acknowledged.Released}
	if m.Reply {
		return nil, true
	}
	return []Envelope{h.tell(from, true, waits)}, true
}
