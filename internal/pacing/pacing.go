// Package pacing gives each of several relays that share a rate limit its own time slots, by
// time-division multiplexing (TDMA) on a shared clock. The relays need no communication: each has
// to know only its own index, their number and the time. While all use the same interval, no two
// calls are closer together than the interval divided by the number of slots. Clock skew, different
// intervals and wrong indexes only make the calls less evenly spaced.
//
// The package does no I/O, reads no clock and keeps no state. All functions take constant or
// logarithmic time.
package pacing

import "time"

// baseSlotWidth is the width of a slot at the shortest interval.
const baseSlotWidth = time.Millisecond

// maxInterval limits the interval that determines the slot width.
const maxInterval = 24 * time.Hour

// Schedule is the time slots of one relay. The zero value has none.
type Schedule struct {
	index, slots int64
}

// New returns the schedule of the relay with an index, counted from 0, among a number of relays. It
// has no slots for an index out of range or a single relay: see Schedule.HasSlots.
func New(index, relays int) Schedule {
	if index < 0 || index >= relays || relays < 2 {
		return Schedule{}
	}
	// Widths are products of 2 and 3. If the number of slots has neither factor, each relay's slots
	// at a larger width are among its slots at any smaller width that divides it, so that a relay
	// that calls less often never uses another's slots.
	slots := int64(relays)
	for slots%2 == 0 || slots%3 == 0 {
		slots++
	}
	return Schedule{int64(index), slots}
}

// HasSlots reports whether the schedule has slots.
func (s Schedule) HasSlots() bool { return s.slots > 0 }

// SlotWidth returns the slot width for relays that call once per interval or less often. It is one
// of 1, 2, 3, 4, 6, 8, 12 ... ms, so that similar intervals have the same one. A relay's own slots
// are SlotWidth times the number of slots apart.
func (s Schedule) SlotWidth(interval time.Duration) time.Duration {
	minWidth := min(interval, maxInterval) / time.Duration(max(1, s.slots))
	width := baseSlotWidth
	for width < minWidth {
		if width/2*3 >= minWidth && width >= 2*baseSlotWidth {
			return width / 2 * 3
		}
		width *= 2
	}
	return width
}

// NextSlot returns the start of the relay's first slot of that width at or after the given time,
// which counts from an origin that all relays share. shift moves the slots of all relays: with a
// different shift per rate limit, a relay's slots at several limits don't coincide. Without slots,
// after is returned.
func (s Schedule) NextSlot(after time.Duration, width time.Duration, shift uint64) time.Duration {
	if !s.HasSlots() || width < baseSlotWidth {
		return after
	}
	units := int64(width / baseSlotWidth)
	own := (s.index + int64(shift%uint64(s.slots))) % s.slots
	// A slot starts at each multiple m of the width; it is this relay's if m*units leaves the
	// remainder own.
	residue := own * modularInverse(units%s.slots, s.slots) % s.slots
	m := int64((after + width - 1) / width)
	m += ((residue-m)%s.slots + s.slots) % s.slots
	return time.Duration(m) * width
}

// modularInverse returns the multiplicative inverse of a modulo n. They must be coprime.
func modularInverse(a, n int64) int64 {
	x, next, r, rest := int64(0), int64(1), n, a
	for rest != 0 {
		q := r / rest
		x, next = next, x-q*next
		r, rest = rest, r-q*rest
	}
	return (x%n + n) % n
}
