// Package index provides a heap with removable entries and a linked list in insertion order. They
// find what is due or oldest without a scan of all values. They are not safe for concurrent use.
package index

import "time"

// Heap is a priority queue by due time. The zero value is empty.
type Heap[T any] struct {
	entries []*Entry[T]
	seq     uint64
}

// Entry is a value in a heap. Entries with the same time are ordered by insertion.
type Entry[T any] struct {
	Value    T
	at       time.Duration
	seq      uint64
	position int // index in the heap plus 1; 0: removed
}

// At returns when the value is due.
func (e *Entry[T]) At() time.Duration { return e.at }

func (e *Entry[T]) before(o *Entry[T]) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Len returns the number of entries.
func (h *Heap[T]) Len() int { return len(h.entries) }

// Push inserts a value that is due at a time.
func (h *Heap[T]) Push(at time.Duration, v T) *Entry[T] {
	h.seq++
	e := &Entry[T]{Value: v, at: at, seq: h.seq, position: len(h.entries) + 1}
	h.entries = append(h.entries, e)
	h.siftUp(len(h.entries) - 1)
	return e
}

// First returns the entry that is due first, nil if the heap is empty.
func (h *Heap[T]) First() *Entry[T] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// Remove removes an entry. It does nothing if the entry is nil or already removed.
func (h *Heap[T]) Remove(e *Entry[T]) {
	if e == nil || e.position == 0 {
		return
	}
	i, last := e.position-1, len(h.entries)-1
	h.swap(i, last)
	h.entries[last], e.position = nil, 0
	h.entries = h.entries[:last]
	if i < last {
		h.siftDown(i)
		h.siftUp(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].position, h.entries[j].position = i+1, j+1
}

func (h *Heap[T]) siftUp(i int) {
	for i > 0 && h.entries[i].before(h.entries[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *Heap[T]) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.entries); c++ {
			if h.entries[c].before(h.entries[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// List is a linked list in insertion order. The zero value is empty.
type List[T any] struct {
	first, last *Node[T]
	length      int
}

// Node is a value in a list.
type Node[T any] struct {
	Value      T
	prev, next *Node[T]
	linked     bool
}

// Len returns the number of nodes.
func (l *List[T]) Len() int { return l.length }

// First returns the oldest node, nil if the list is empty.
func (l *List[T]) First() *Node[T] { return l.first }

// Push appends a value.
func (l *List[T]) Push(v T) *Node[T] {
	e := &Node[T]{Value: v, prev: l.last, linked: true}
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.length++
	return e
}

// Remove removes a node. It does nothing if the node is nil or already removed.
func (l *List[T]) Remove(e *Node[T]) {
	if e == nil || !e.linked {
		return
	}
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.last = e.prev
	}
	e.prev, e.next, e.linked = nil, nil, false
	l.length--
}
