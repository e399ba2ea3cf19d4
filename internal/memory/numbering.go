package memory

import (
	"time"

	"golang.org/x/sys/unix"
)

// SharedNumbering lets two processes of one relay assign message numbers at the same time. Numbers
// follow the monotonic clock of the machine, so that they increase in the order of acceptance
// across both. One process assigns even numbers, the other odd ones.
type SharedNumbering struct {
	Base      uint32        `json:"base"`  // larger than all numbers assigned before; even
	StartedAt time.Duration `json:"began"` // monotonic time at which sharing began
	Odd       bool          `json:"-"`     // set in the successor

	now func() time.Duration // nil: monotonicClock
}

// Numbers advance by two per numberInterval. The interval is shorter than the time between two
// requests with the same ordering key, since the second one follows the answer to the first.
// Numbers follow the clock for maxSharingTime, the longest that two processes accept messages side
// by side, which bounds how many of the 32-bit numbers one upgrade uses.
const (
	numberInterval = 10 * time.Microsecond
	maxSharingTime = 10 * time.Second
)

// monotonicClock returns the time since the machine started. All its processes read the same clock,
// which is never set.
func monotonicClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // numbers then increase by the table's own count
	}
	return time.Duration(t.Nano())
}

// next returns the number for the current time, at least minimum.
func (n *SharedNumbering) next(minimum uint32) uint32 {
	now := monotonicClock
	if n.now != nil {
		now = n.now
	}
	elapsed := min(max(0, now()-n.StartedAt), maxSharingTime)
	number := max(minimum, n.Base+2*uint32(elapsed/numberInterval))
	if odd := number%2 == 1; odd != n.Odd {
		number++
	}
	return number
}

// NewSharedNumbering returns a numbering for this process and a successor that accepts messages
// beside it. It does not put it in force.
func (t *Table) NewSharedNumbering() SharedNumbering {
	return SharedNumbering{Base: (t.lastNumber + 2) &^ 1, StartedAt: monotonicClock()}
}

// UseSharedNumbering makes t assign numbers by n, unless it already uses a later numbering.
func (t *Table) UseSharedNumbering(n SharedNumbering) {
	if t.shared != nil && t.shared.Base >= n.Base {
		return
	}
	t.lastNumber = max(t.lastNumber, n.Base)
	t.shared = &n
}

// StopSharedNumbering makes t assign consecutive numbers again.
func (t *Table) StopSharedNumbering() { t.shared = nil }

// CanKeepNumber reports whether a message from the other process can keep its number here: no
// message of t has had it.
func (t *Table) CanKeepNumber(number uint32) bool {
	if t.shared == nil || number == 0 || t.byNumber[number] != nil {
		return false
	}
	return number < t.shared.Base || (number%2 == 1) != t.shared.Odd
}
