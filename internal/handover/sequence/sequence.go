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
	active   bool
	owed     map[string]map[string]Message // by predecessor, then by id: what it still owes
	first    map[string]map[place]struct{} // by subject: the same
	waiting  map[string][]*held            // by subject, in the order of hand-in
	changed  map[string]struct{}           // subjects of which something may go on
	unlooked []*held                       // that wait for a look, the first held first
	began    uint64                        // looks at what predecessors gave
	expiries index.Heap[*held]
}

// place is where an owed message stands among those of its subject. Two predecessors may name the same one.
type place struct {
	predecessor string
	num         uint32
}

// held is a message that is held back.
type held struct {
	Message
	look   uint64 // it goes on once a later look has ended
	looked bool
	expiry *index.Entry[*held]
}

// BeginScan books that all that predecessors have given by now is about to be read. From the first look on messages are held back.
func (s *Sequencer) BeginScan() {
	if !s.active {
		*s = Sequencer{active: true, owed: map[string]map[string]Message{}, first: map[string]map[place]struct{}{}, waiting: map[string][]*held{}, changed: map[string]struct{}{}}
	}
	s.began++
}

// EndScan books that what was there as the last look began has been taken in. A message that was held before then needs no further look: whatever a
// predecessor had taken on before it is known.
func (s *Sequencer) EndScan() {
	for len(s.unlooked) > 0 && s.unlooked[0].look < s.began {
		s.unlooked[0].looked = true
		s.changed[s.unlooked[0].OrderingKey] = struct{}{}
		s.unlooked = s.unlooked[1:]
	}
}

// SetPending replaces what one predecessor is known to owe. What it named before and does not name now is over, or has been given.
func (s *Sequencer) SetPending(predecessor string, list []Message) {
	if !s.active {
		return
	}
	before := s.owed[predecessor]
	now := make(map[string]Message, len(list))
	for _, m := range list {
		now[m.ID] = m
		if _, known := before[m.ID]; !known {
			s.block(predecessor, m)
		}
	}
	s.owed[predecessor] = now
	for id, m := range before {
		if _, still := now[id]; !still {
			s.unblock(predecessor, m)
		}
	}
}

func (s *Sequencer) block(predecessor string, m Message) {
	if s.first[m.OrderingKey] == nil {
		s.first[m.OrderingKey] = map[place]struct{}{}
	}
	s.first[m.OrderingKey][place{predecessor, m.Number}] = struct{}{}
}

func (s *Sequencer) unblock(predecessor string, m Message) {
	places := s.first[m.OrderingKey]
	if delete(places, place{predecessor, m.Number}); len(places) == 0 {
		delete(s.first, m.OrderingKey)
	}
	s.changed[m.OrderingKey] = struct{}{}
}

// PendingElsewhere tells whether a predecessor owes the message of that id.
func (s *Sequencer) PendingElsewhere(id string) bool {
	for _, list := range s.owed {
		if _, there := list[id]; there {
			return true
		}
	}
	return false
}

// MarkArrived books that a message that a predecessor owed is here now.
func (s *Sequencer) MarkArrived(id string) {
	for predecessor, list := range s.owed {
		if m, there := list[id]; there {
			delete(list, id)
			s.unblock(predecessor, m)
		}
	}
}

// Hold holds m back, until the time at the latest, and tells whether it does. A message that a predecessor gave is looked for already: what
// that one had taken on before is known.
func (s *Sequencer) Hold(m Message, until time.Duration, looked bool) bool {
	if !s.active || m.OrderingKey == "" {
		return false
	}
	w := &held{Message: m, look: s.began, looked: looked}
	w.expiry = s.expiries.Push(until, w)
	queue := s.waiting[m.OrderingKey]
	at, _ := slices.BinarySearchFunc(queue, m.Number, func(h *held, num uint32) int { return cmp.Compare(h.Number, num) })
	s.waiting[m.OrderingKey] = slices.Insert(queue, at, w)
	if looked {
		s.changed[m.OrderingKey] = struct{}{}
	} else {
		s.unlooked = append(s.unlooked, w)
	}
	return true
}

// Ready returns the numbers of messages that may go on, those of one subject in the order of hand-in, and holds them no longer.
func (s *Sequencer) Ready() (nums []uint32) {
	for _, subject := range slices.Sorted(maps.Keys(s.changed)) {
		queue, first := s.waiting[subject], s.firstOwed(subject)
		for len(queue) > 0 && queue[0].looked && uint64(queue[0].Number) < first {
			s.expiries.Remove(queue[0].expiry)
			nums, queue = append(nums, queue[0].Number), queue[1:]
		}
		s.keep(subject, queue)
	}
	clear(s.changed)
	return nums
}

// Expired returns the numbers of messages whose time is up, and holds them no longer.
func (s *Sequencer) Expired(now time.Duration) (nums []uint32) {
	for e := s.expiries.First(); e != nil && now >= e.At(); e = s.expiries.First() {
		s.expiries.Remove(e)
		w := e.Value
		s.keep(w.OrderingKey, slices.DeleteFunc(s.waiting[w.OrderingKey], func(h *held) bool { return h == w }))
		s.changed[w.OrderingKey] = struct{}{}
		nums = append(nums, w.Number)
	}
	return nums
}

// NextDeadline is when the next message's time is up; false if none is held.
func (s *Sequencer) NextDeadline() (at time.Duration, some bool) {
	if e := s.expiries.First(); e != nil {
		return e.At(), true
	}
	return 0, false
}

// DropHeld holds nothing back any more; what predecessors owe stays known.
func (s *Sequencer) DropHeld() {
	clear(s.waiting)
	s.unlooked, s.expiries = nil, index.Heap[*held]{}
}

// Finish books that no predecessor is left, and returns the numbers of all that is still held, in the order of hand-in.
func (s *Sequencer) Finish() (nums []uint32) {
	for _, queue := range s.waiting {
		for _, w := range queue {
			nums = append(nums, w.Number)
		}
	}
	slices.Sort(nums)
	*s = Sequencer{}
	return nums
}

// firstOwed is the lowest number of the subject that a predecessor owes; above all numbers if it owes none.
func (s *Sequencer) firstOwed(subject string) uint64 {
	first := uint64(1) << 32
	for p := range s.first[subject] {
		first = min(first, uint64(p.num))
	}
	return first
}

func (s *Sequencer) keep(subject string, queue []*held) {
	if s.waiting[subject] = queue; len(queue) == 0 {
		delete(s.waiting, subject)
	}
}
