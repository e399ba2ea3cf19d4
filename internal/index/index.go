// Package index holds the structures by which a step costs by what happens in it, not by what there is: a heap whose entries can
// be taken out again, and a list in order of use. It decides nothing. Nothing in it is safe for concurrent use.
package index

import "time"

// Heap finds what is due first. The zero value is empty.
type Heap[T any] struct {
	all []*Entry[T]
	seq uint64
}

// Entry is a value's place in a heap. Those of one time come in the order in which they were put in.
type Entry[T any] struct {
	Value T
	at    time.Duration
	seq   uint64
	place int // in the heap, from 1; 0: it is out
}

// At is when the value is due.
func (e *Entry[T]) At() time.Duration { return e.at }

func (e *Entry[T]) before(o *Entry[T]) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Len is how many values are in it.
func (h *Heap[T]) Len() int { return len(h.all) }

// Push puts a value in, due at that time.
func (h *Heap[T]) Push(at time.Duration, v T) *Entry[T] {
	h.seq++
	e := &Entry[T]{Value: v, at: at, seq: h.seq, place: len(h.all) + 1}
	h.all = append(h.all, e)
	h.up(len(h.all) - 1)
	return e
}

// First is what is due first, nil if nothing is in it.
func (h *Heap[T]) First() *Entry[T] {
	if len(h.all) == 0 {
		return nil
	}
	return h.all[0]
}

// Remove takes an entry out; one that is out, or nil, stays so.
func (h *Heap[T]) Remove(e *Entry[T]) {
	if e == nil || e.place == 0 {
		return
	}
	i, last := e.place-1, len(h.all)-1
	h.swap(i, last)
	h.all[last], e.place = nil, 0
	h.all = h.all[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].place, h.all[j].place = i+1, j+1
}

func (h *Heap[T]) up(i int) {
	for i > 0 && h.all[i].before(h.all[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *Heap[T]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.all); c++ {
			if h.all[c].before(h.all[least]) {
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

// List holds values in the order in which they were put in. The zero value is empty.
type List[T any] struct {
	first, last *Node[T]
	n           int
}

// Node is a value's place in a list.
type Node[T any] struct {
	Value      T
	prev, next *Node[T]
	in         bool
}

// Len is how many values are in it.
func (l *List[T]) Len() int { return l.n }

// First is what was put in first of those that are in it, nil if nothing is.
func (l *List[T]) First() *Node[T] { return l.first }

// Push puts a value in as the last.
func (l *List[T]) Push(v T) *Node[T] {
	e := &Node[T]{Value: v, prev: l.last, in: true}
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.n++
	return e
}

// Remove takes a node out; one that is out, or nil, stays so.
func (l *List[T]) Remove(e *Node[T]) {
	if e == nil || !e.in {
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
	e.prev, e.next, e.in = nil, nil, false
	l.n--
}
