// Package sequence keeps messages of one subject in the order of their hand-in while two processes of one relay overlap. The process that
// leaves tells which messages it still owes; its successor holds back those of the same subject that were handed in later. The package does
// no I/O and reads no clock. One goroutine owns a Sequencer.
package sequence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oatfold/internal/index"
)

// Message is what the order needs to know of a message.
type Message struct {
	ID          string `json:"id"`
	OrderingKey string `json:"subject"`
	Number      uint32 `json:"num"` // over all processes of the relay, numbers grow in the order of hand-in
}

// Sequencer holds messages of the successor back until those before them are over, or are here as well. The zero value holds nothing:
// Hold then tells that there is nothing to wait for.
type Sequencer struct {
	active           bool
	pending          map[string]map[string]Message    // by predecessor, then by id: what it still owes
	pendingPositions map[string]map[position]struct{} // by subject: the same
	held             map[string][]*heldMessage        // by subject, in the order of hand-in
	changedKeys      map[string]struct{}              // subjects of which something may go on
	unscanned        []*heldMessage                   // that wait for a look, the first held first
	scansBegun       uint64                           // looks at what predecessors gave
	deadlines        index.Heap[*heldMessage]
}

// position is where an owed message stands among those of its subject. Two predecessors may name the same one.
type position struct {
	predecessor string
	number      uint32
}

// heldMessage is a message that is held back.
type heldMessage struct {
	Message
	scan     uint64 // it goes on once a later look has ended
	scanned  bool
	deadline *index.Entry[*heldMessage]
}

// BeginScan books that all that predecessors have given by now is about to be read. From the first look on messages are held back.
func (s *Sequencer) BeginScan() {
	if !s.active {
		*s = Sequencer{active: true, pending: map[string]map[string]Message{}, pendingPositions: map[string]map[position]struct{}{}, held: map[string][]*heldMessage{}, changedKeys: map[string]struct{}{}}
	}
	s.scansBegun++
}

// EndScan books that what was there as the last look began has been taken in. A message that was held before then needs no further look: whatever a
// predecessor had taken on before it is known.
func (s *Sequencer) EndScan() {
	for len(s.unscanned) > 0 && s.unscanned[0].scan < s.scansBegun {
		s.unscanned[0].scanned = true
		s.changedKeys[s.unscanned[0].OrderingKey] = struct{}{}
		s.unscanned = s.unscanned[1:]
	}
}

// SetPending replaces what one predecessor is known to owe. What it named before and does not name now is over, or has been given.
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

// PendingElsewhere tells whether a predecessor owes the message of that id.
func (s *Sequencer) PendingElsewhere(id string) bool {
	for _, pending := range s.pending {
		if _, there := pending[id]; there {
			return true
		}
	}
	return false
}

// MarkArrived books that a message that a predecessor owed is here now.
func (s *Sequencer) MarkArrived(id string) {
	for predecessor, pending := range s.pending {
		if m, there := pending[id]; there {
			delete(pending, id)
			s.removePending(predecessor, m)
		}
	}
}

// Hold holds m back, until the time at the latest, and tells whether it does. A message that a predecessor gave is looked for already: what
// that one had taken on before is known.
func (s *Sequencer) Hold(m Message, deadline time.Duration, scanned bool) bool {
	if !s.active || m.OrderingKey == "" {
		return false
	}
	entry := &heldMessage{Message: m, scan: s.scansBegun, scanned: scanned}
	entry.deadline = s.deadlines.Push(deadline, entry)
	queue := s.held[m.OrderingKey]
	index, _ := slices.BinarySearchFunc(queue, m.Number, func(h *heldMessage, num uint32) int { return cmp.Compare(h.Number, num) })
	s.held[m.OrderingKey] = slices.Insert(queue, index, entry)
	if scanned {
		s.changedKeys[m.OrderingKey] = struct{}{}
	} else {
		s.unscanned = append(s.unscanned, entry)
	}
	return true
}

// Ready returns the numbers of messages that may go on, those of one subject in the order of hand-in, and holds them no longer.
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

// Expired returns the numbers of messages whose time is up, and holds them no longer.
func (s *Sequencer) Expired(now time.Duration) (numbers []uint32) {
	for e := s.deadlines.First(); e != nil && now >= e.At(); e = s.deadlines.First() {
		s.deadlines.Remove(e)
		entry := e.Value
		s.setHeld(entry.OrderingKey, slices.DeleteFunc(s.held[entry.OrderingKey], func(h *heldMessage) bool { return h == entry }))
		s.changedKeys[entry.OrderingKey] = struct{}{}
		numbers = append(numbers, entry.Number)
	}
	return numbers
}

// NextDeadline is when the next message's time is up; false if none is held.
func (s *Sequencer) NextDeadline() (at time.Duration, ok bool) {
	if e := s.deadlines.First(); e != nil {
		return e.At(), true
	}
	return 0, false
}

// DropHeld holds nothing back any more; what predecessors owe stays known.
func (s *Sequencer) DropHeld() {
	clear(s.held)
	s.unscanned, s.deadlines = nil, index.Heap[*heldMessage]{}
}

// Finish books that no predecessor is left, and returns the numbers of all that is still held, in the order of hand-in.
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

// firstPending is the lowest number of the subject that a predecessor owes; above all numbers if it owes none.
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
