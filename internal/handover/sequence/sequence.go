// Package sequence keeps the messages of one ordering key in the order of submission while two
// processes of one relay overlap. The leaving process reports which messages are still pending
// there; its successor holds back later messages of the same ordering key. The package does no I/O
// and reads no clock. A Sequencer is owned by one goroutine.
package sequence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oatfold/internal/index"
)

// Message identifies a message and its place in the order.
type Message struct {
	ID          string `json:"id"`
	OrderingKey string `json:"subject"`
	Number      uint32 `json:"num"` // grows in the order of submission over all processes of the relay
}

// Sequencer holds back messages of the successor until earlier ones of the same ordering key have
// completed or been transferred. The zero value holds nothing back: Hold returns false.
type Sequencer struct {
	active           bool
	pending          map[string]map[string]Message    // by predecessor, then by id
	pendingPositions map[string]map[position]struct{} // the same by ordering key
	held             map[string][]*heldMessage        // by ordering key, in the order of submission
	changedKeys      map[string]struct{}              // ordering keys with messages that may have become ready
	unscanned        []*heldMessage                   // held messages that wait for a scan, the first held first
	scansBegun       uint64                           // scans of what predecessors have transferred
	deadlines        index.Heap[*heldMessage]
}

// position is the place of a pending message in its ordering key's queue. Two predecessors may
// report the same message.
type position struct {
	predecessor string
	number      uint32
}

// heldMessage is a message that is held back.
type heldMessage struct {
	Message
	scan     uint64 // released only after a later scan has ended
	scanned  bool
	deadline *index.Entry[*heldMessage]
}

// BeginScan records that everything transferred so far is about to be read. Messages are held back
// from the first scan on.
func (s *Sequencer) BeginScan() {
	if !s.active {
		*s = Sequencer{active: true, pending: map[string]map[string]Message{},
			pendingPositions: map[string]map[position]struct{}{}, held: map[string][]*heldMessage{},
			changedKeys: map[string]struct{}{}}
	}
	s.scansBegun++
}

// EndScan records that everything that was there when the last scan began has been adopted.
// Messages that were held before that scan need no other one: all that a predecessor accepted
// before them is known.
func (s *Sequencer) EndScan() {
	for len(s.unscanned) > 0 && s.unscanned[0].scan < s.scansBegun {
		s.unscanned[0].scanned = true
		s.changedKeys[s.unscanned[0].OrderingKey] = struct{}{}
		s.unscanned = s.unscanned[1:]
	}
}

// SetPending replaces the list of messages that are pending at a predecessor. A message that is no
// longer listed has completed or been transferred.
func (s *Sequencer) SetPending(predecessor string, messages []Message) {
	if !s.active {
		return
	}
	previous := s.pending[predecessor]
	current := make(map[string]Message, len(messages))
	for _, m := range messages {
		current[m.ID] = m
		if _, known := previous[m.ID]; !known {
			s.addPending(predecessor, m)
		}
	}
	s.pending[predecessor] = current
	for id, m := range previous {
		if _, stays := current[id]; !stays {
			s.removePending(predecessor, m)
		}
	}
}

func (s *Sequencer) addPending(predecessor string, m Message) {
	if s.pendingPositions[m.OrderingKey] == nil {
		s.pendingPositions[m.OrderingKey] = map[position]struct{}{}
	}
	s.pendingPositions[m.OrderingKey][position{predecessor, m.Number}] = struct{}{}
}

func (s *Sequencer) removePending(predecessor string, m Message) {
	positions := s.pendingPositions[m.OrderingKey]
	if delete(positions, position{predecessor, m.Number}); len(positions) == 0 {
		delete(s.pendingPositions, m.OrderingKey)
	}
	s.changedKeys[m.OrderingKey] = struct{}{}
}

// PendingElsewhere reports whether the message with that id is pending at a predecessor.
func (s *Sequencer) PendingElsewhere(id string) bool {
	for _, pending := range s.pending {
		if _, there := pending[id]; there {
			return true
		}
	}
	return false
}

// MarkArrived records that a message that was pending at a predecessor has been transferred.
func (s *Sequencer) MarkArrived(id string) {
	for predecessor, pending := range s.pending {
		if m, there := pending[id]; there {
			delete(pending, id)
			s.removePending(predecessor, m)
		}
	}
}

// Hold holds m back, at most until its deadline, and reports whether it does. A message that was
// transferred counts as scanned: what its predecessor accepted before it is known.
func (s *Sequencer) Hold(m Message, deadline time.Duration, scanned bool) bool {
	if !s.active || m.OrderingKey == "" {
		return false
	}
	entry := &heldMessage{Message: m, scan: s.scansBegun, scanned: scanned}
	entry.deadline = s.deadlines.Push(deadline, entry)
	queue := s.held[m.OrderingKey]
	insertAt, _ := slices.BinarySearchFunc(queue, m.Number, func(h *heldMessage, num uint32) int {
		return cmp.Compare(h.Number, num)
	})
	s.held[m.OrderingKey] = slices.Insert(queue, insertAt, entry)
	if scanned {
		s.changedKeys[m.OrderingKey] = struct{}{}
	} else {
		s.unscanned = append(s.unscanned, entry)
	}
	return true
}

// Ready releases the messages that need no longer be held back and returns their numbers, those of
// one ordering key in the order of submission.
func (s *Sequencer) Ready() (numbers []uint32) {
	for _, key := range slices.Sorted(maps.Keys(s.changedKeys)) {
		queue, first := s.held[key], s.firstPending(key)
		for len(queue) > 0 && queue[0].scanned && uint64(queue[0].Number) < first {
			s.deadlines.Remove(queue[0].deadline)
			numbers, queue = append(numbers, queue[0].Number), queue[1:]
		}
		s.setHeld(key, queue)
	}
	clear(s.changedKeys)
	return numbers
}

// Expired releases the messages whose deadline has passed and returns their numbers.
func (s *Sequencer) Expired(now time.Duration) (numbers []uint32) {
	for e := s.deadlines.First(); e != nil && now >= e.At(); e = s.deadlines.First() {
		s.deadlines.Remove(e)
		entry := e.Value
		s.setHeld(entry.OrderingKey, slices.DeleteFunc(s.held[entry.OrderingKey], func(h *heldMessage) bool {
			return h == entry
		}))
		s.changedKeys[entry.OrderingKey] = struct{}{}
		numbers = append(numbers, entry.Number)
	}
	return numbers
}

// NextDeadline returns the earliest deadline of a held message; false if none is held.
func (s *Sequencer) NextDeadline() (at time.Duration, ok bool) {
	if e := s.deadlines.First(); e != nil {
		return e.At(), true
	}
	return 0, false
}

// DropHeld forgets all held messages. The lists of pending messages stay.
func (s *Sequencer) DropHeld() {
	clear(s.held)
	s.unscanned, s.deadlines = nil, index.Heap[*heldMessage]{}
}

// Finish records that no predecessor is left, and returns the numbers of all messages that are
// still held, in the order of submission.
func (s *Sequencer) Finish() (numbers []uint32) {
	for _, queue := range s.held {
		for _, entry := range queue {
			numbers = append(numbers, entry.Number)
		}
	}
	slices.Sort(numbers)
	*s = Sequencer{}
	return numbers
}

// firstPending returns the lowest number of the ordering key that is pending at a predecessor; a
// number above all others if none is.
func (s *Sequencer) firstPending(key string) uint64 {
	first := uint64(1) << 32
	for p := range s.pendingPositions[key] {
		first = min(first, uint64(p.number))
	}
	return first
}

func (s *Sequencer) setHeld(key string, queue []*heldMessage) {
	if s.held[key] = queue; len(queue) == 0 {
		delete(s.held, key)
	}
}
