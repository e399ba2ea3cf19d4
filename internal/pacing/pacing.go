// Package pacing gives each of several senders that share a rate limit turns of its own, by time-division multiplexing (TDMA) on a
// clock that all of them read. Senders need to tell one another nothing for it: that each knows its own number, how many there
// are, and the time, is enough. While all use the same interval, no two calls come closer to one another than the interval
// divided by the number of turns. Clocks that differ, senders that use other intervals and numbers that are wrong cost only this
// evenness.
//
// The package does no I/O, reads no clock and keeps no state. All functions take constant or logarithmic time.
package pacing

import "time"

// unit is the width of a turn at the shortest interval.
const unit = time.Millisecond

// longest bounds intervals: no steps beyond it are needed.
const longest = 24 * time.Hour

// Schedule is the turns of one sender. The zero value has none.
type Schedule struct {
	sender, turns int64
}

// New returns the schedule of the sender with that number, counted from 0, of so many. A number that is not among them, or a
// single sender, has no turns to keep: see Schedule.Shared.
func New(sender, senders int) Schedule {
	if sender < 0 || sender >= senders || senders < 2 {
		return Schedule{}
	}
	// Steps are products of 2 and 3. Where the number of turns has neither factor, each sender's turns at a longer step are
	// among its turns at any shorter step that divides it, so that one who calls less often never moves into another's turns.
	turns := int64(senders)
	for turns%2 == 0 || turns%3 == 0 {
		turns++
	}
	return Schedule{int64(sender), turns}
}

// HasSlots tells whether there are turns to keep.
func (s Schedule) HasSlots() bool { return s.turns > 0 }

// SlotWidth returns the width of a turn for senders that call once in interval or less often: all of them find the same one for
// intervals that are alike. Steps are 1, 2, 3, 4, 6, 8, 12 ... ms. A sender's own turns come Step times the number of turns apart.
func (s Schedule) SlotWidth(interval time.Duration) time.Duration {
	want := min(interval, longest) / time.Duration(max(1, s.turns))
	step := unit
	for step < want {
		if step/2*3 >= want && step >= 2*unit {
			return step / 2 * 3
		}
		step *= 2
	}
	return step
}

// NextSlot returns the beginning of the sender's first turn of that width at or after the given time, which counts from a moment that
// all senders share. shift moves the turns of all senders alike: with another shift for each limit, a sender's turns at several
// limits do not fall together. Without turns to keep, after is returned.
func (s Schedule) NextSlot(after time.Duration, step time.Duration, shift uint64) time.Duration {
	if !s.HasSlots() || step < unit {
		return after
	}
	width := int64(step / unit)
	own := (s.sender + int64(shift%uint64(s.turns))) % s.turns
	// A turn begins at each multiple m of the step; it is this sender's where m*width leaves the remainder own.
	wanted := own * inverse(width%s.turns, s.turns) % s.turns
	m := int64((after + step - 1) / step)
	m += ((wanted-m)%s.turns + s.turns) % s.turns
	return time.Duration(m) * step
}

// inverse is the multiplicative inverse of a modulo n, which have no common factor.
func inverse(a, n int64) int64 {
	x, next, r, rest := int64(0), int64(1), n, a
	for rest != 0 {
		q := r / rest
		x, next = next, x-q*next
		r, rest = rest, r-q*rest
	}
	return (x%n + n) % n
}
