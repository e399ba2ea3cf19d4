// Package handover moves a partition from its previous replicas to its current ones while messages
// for it are pending, ordered and in flight.
//
// The messages of a key are sent by one replica, its owner. After a change of replicas a key may
// have another owner, which sends none of the key's messages until the previous one has released
// the partition: it accepts no more of them and has none pending. A new replica sends nothing at
// all before all previous ones have adopted the change, so that the shares of a destination's rate
// that the replicas use never add up to more than one. The Retry-After times that a previous
// replica knows are sent with its messages.
//
// The package does no I/O and reads no clock: times are arguments. A Handover is owned by one
// goroutine.
package handover

import (
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// resendInterval is how often unacknowledged progress is sent again.
const resendInterval = 200 * time.Millisecond

// RetryAfter is a destination that must not be called before a time.
type RetryAfter struct {
	Destination uint64
	Remaining   time.Duration // when the message was sent
}

// Message tells another replica how far this one is with a handover.
type Message struct {
	ChangeID     uint64   // messages of other changes are ignored
	Adopted      bool     // the sender uses the current replicas
	Released     bool     // and has no pending messages of keys that it no longer owns
	Acknowledged Progress // the receiver's progress as the sender knows it
	Reply        bool     // this is an answer, and must not be answered
	RetryAfters  []RetryAfter
}

// Progress is how far a replica is with a handover.
type Progress struct{ Adopted, Released bool }

// Envelope is a message addressed to another replica.
type Envelope struct {
	To      assignment.Relay
	Message Message
}

// Handover is one replica's part in a partition's latest change. A replica creates one when it
// adopts the change, after writing that to disk: else it would use the previous replicas again
// after a restart.
type Handover struct {
	self           assignment.Relay
	previous       []assignment.Relay
	current        []assignment.Relay
	changeID       uint64
	pendingKeyed   map[uint64]int // messages by key, of keys that now have another owner
	pendingUnkeyed int            // messages without a key, on a relay that is no longer a replica
	peers          map[assignment.Relay]*peer
	nextSend       time.Duration
	sendNow        bool
}

// peer is the state of another replica.
type peer struct {
	Progress
	acknowledged Progress // this replica's progress as the peer knows it
	removed      bool
}

// New returns relay self's part in the change of a partition that concerns it. pendingKeys are the
// keys of its pending messages for the partition, one entry per message; pendingUnkeyed counts
// those without an ordering key.
func New(
	self assignment.Relay, change assignment.PartitionAssignment, pendingKeys []uint64, pendingUnkeyed int,
) *Handover {
	h := &Handover{
		self: self, previous: change.Previous, current: change.Replicas, changeID: changeIDOf(change),
		pendingKeyed: map[uint64]int{}, peers: map[assignment.Relay]*peer{},
	}
	for _, r := range slices.Concat(change.Previous, change.Replicas) {
		if r != self && h.peers[r] == nil {
			h.peers[r] = &peer{}
		}
	}
	for _, key := range pendingKeys {
		if Owner(change.Replicas, key) != self {
			h.pendingKeyed[key]++
		}
	}
	if !slices.Contains(h.current, self) {
		h.pendingUnkeyed = pendingUnkeyed
	}
	return h
}

// Owner returns the one of at least one replicas that sends the messages of a key.
func Owner(replicas []assignment.Relay, key uint64) (owner assignment.Relay) {
	var best uint64
	for i, r := range replicas {
		if rank := assignment.Mix(key ^ assignment.Mix(uint64(r))); i == 0 || rank > best {
			owner, best = r, rank
		}
	}
	return owner
}

// changeIDOf returns an identifier of a change, the same on all replicas.
func changeIDOf(change assignment.PartitionAssignment) uint64 {
	id := uint64(change.Partition)
	for _, r := range change.Previous {
		id = assignment.Mix(id ^ uint64(r))
	}
	id = assignment.Mix(id + 1)
	for _, r := range change.Replicas {
		id = assignment.Mix(id ^ uint64(r))
	}
	return id
}

// MayAccept reports whether this replica accepts a message of a key, and returns the key's owner.
func (h *Handover) MayAccept(key uint64) (ok bool, owner assignment.Relay) {
	owner = Owner(h.current, key)
	return owner == h.self, owner
}

// MaySend reports whether a pending message of a key may be sent now. A message that was accepted
// before the change always may.
func (h *Handover) MaySend(key uint64) bool {
	previousOwner := Owner(h.previous, key)
	if previousOwner == h.self {
		return true
	}
	return h.allAdopted() && h.peerReleased(previousOwner)
}

// MaySendUnkeyed is MaySend for messages without an ordering key.
func (h *Handover) MaySendUnkeyed() bool {
	return slices.Contains(h.previous, h.self) || h.allAdopted()
}

// RateShare returns the share of a destination's rate that this replica may use now, 0 to 1.
func (h *Handover) RateShare() float64 {
	switch {
	case h.released() && !slices.Contains(h.current, h.self):
		return 0 // nothing is pending, and others may know
	case h.Done():
		return 1 / float64(len(h.current))
	case h.MaySendUnkeyed():
		return 1 / float64(len(h.peers)+1)
	}
	return 0
}

// CompletedKeyed records that a message of a key, pending when this replica adopted the change, has
// completed.
func (h *Handover) CompletedKeyed(key uint64) {
	if h.pendingKeyed[key] > 1 {
		h.pendingKeyed[key]--
		return
	}
	if _, found := h.pendingKeyed[key]; found {
		delete(h.pendingKeyed, key)
		h.sendNow = h.released()
	}
}

// CompletedUnkeyed is CompletedKeyed for messages without an ordering key.
func (h *Handover) CompletedUnkeyed() {
	if h.pendingUnkeyed > 0 {
		h.pendingUnkeyed--
		h.sendNow = h.released()
	}
}

// MarkRemoved records that a replica will not return, and that all of its pending messages have
// completed or expired. Only the control nodes may decide that.
func (h *Handover) MarkRemoved(r assignment.Relay) {
	if p := h.peers[r]; p != nil {
		p.removed = true
	}
}

// Done reports whether all previous replicas, this one included, have released the partition.
func (h *Handover) Done() bool {
	for _, r := range h.previous {
		if !h.peerReleased(r) {
			return false
		}
	}
	return true
}

// released reports whether this replica has no pending messages that others own now.
func (h *Handover) released() bool { return len(h.pendingKeyed) == 0 && h.pendingUnkeyed == 0 }

func (h *Handover) peerReleased(r assignment.Relay) bool {
	if r == h.self {
		return h.released()
	}
	p := h.peers[r]
	return p.Released || p.removed
}

// allAdopted reports whether all previous replicas use the current ones.
func (h *Handover) allAdopted() bool {
	for _, r := range h.previous {
		if p := h.peers[r]; p != nil && !p.Adopted && !p.removed {
			return false
		}
	}
	return true
}

// Tick returns the messages to send at now. retryAfters are those that this replica knows.
func (h *Handover) Tick(now time.Duration, retryAfters []RetryAfter) (out []Envelope) {
	if now < h.nextSend && !h.sendNow {
		return nil
	}
	h.nextSend, h.sendNow = now+resendInterval, false
	for _, r := range h.sortedPeers() {
		if p := h.peers[r]; !p.removed && (!p.acknowledged.Adopted || h.released() && !p.acknowledged.Released) {
			out = append(out, h.envelopeTo(r, false, retryAfters))
		}
	}
	return out
}

// sortedPeers returns the other replicas in a fixed order.
func (h *Handover) sortedPeers() (others []assignment.Relay) {
	for r := range h.peers {
		others = append(others, r)
	}
	slices.Sort(others)
	return others
}

// envelopeTo returns a message that tells another replica how far this one is.
func (h *Handover) envelopeTo(r assignment.Relay, reply bool, retryAfters []RetryAfter) Envelope {
	m := Message{
		ChangeID: h.changeID, Adopted: true, Released: h.released(), Acknowledged: h.peers[r].Progress,
		Reply: reply, RetryAfters: retryAfters,
	}
	return Envelope{r, m}
}

// Receive handles a message of another replica. It returns the answer, if one is due, and whether
// the message is of this change; if so, its RetryAfters apply to this replica too.
func (h *Handover) Receive(
	from assignment.Relay, m Message, retryAfters []RetryAfter,
) (answer []Envelope, sameChange bool) {
	p := h.peers[from]
	if p == nil || m.ChangeID != h.changeID {
		return nil, false
	}
	p.Adopted, p.Released = p.Adopted || m.Adopted, p.Released || m.Released
	p.acknowledged = Progress{
		p.acknowledged.Adopted || m.Acknowledged.Adopted,
		p.acknowledged.Released || m.Acknowledged.Released,
	}
	if m.Reply {
		return nil, true
	}
	return []Envelope{h.envelopeTo(from, true, retryAfters)}, true
}
