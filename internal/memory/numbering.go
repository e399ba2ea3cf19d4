package memory

import (
	"time"

	"golang.org/x/sys/unix"
)

// SharedNumbering is how two processes of one relay draw numbers of messages while both take them on: from the machine's clock, so that numbers grow in
// the order of hand-in over both. One draws even numbers, the other odd ones.
type SharedNumbering struct {
	Base      uint32        `json:"base"`  // above all numbers drawn before; even
	StartedAt time.Duration `json:"began"` // when numbers were drawn from here on, on the machine's clock
	Odd       bool          `json:"-"`     // the successor draws odd numbers

	now func() time.Duration // nil: the machine's clock
}

// A number stands for numberUnit, which is less than what lies between two hand-ins of one subject: the answer to the first one, on its way to the
// client. Numbers follow the clock for numberSpan: nobody takes messages on beside another process for longer. It bounds what one
// upgrade takes of 32 bits.
const (
	numberUnit = 10 * time.Microsecond
	numberSpan = 10 * time.Second
)

// machineClock is the time since the machine started. All its processes read one clock, which nobody sets.
func machineClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // numbers grow by the table's count alone
	}
	return time.Duration(t.Nano())
}

// draw returns the number for this moment, at least least.
func (n *SharedNumbering) draw(least uint32) uint32 {
	now := machineClock
	if n.now != nil {
		now = n.now
	}
	since := min(max(0, now()-n.StartedAt), numberSpan)
	num := max(least, n.Base+2*uint32(since/numberUnit))
	if odd := num%2 == 1; odd != n.Odd {
		num++
	}
	return num
}

// NewSharedNumbering returns the numbering under which a successor takes messages on beside this process. It changes nothing yet.
func (t *Table) NewSharedNumbering() SharedNumbering {
	return SharedNumbering{Base: (t.last + 2) &^ 1, StartedAt: machineClock()}
}

// UseSharedNumbering makes t draw its numbers by n from now on, unless it draws them by a later numbering already.
func (t *Table) UseSharedNumbering(n SharedNumbering) {
	if t.both != nil && t.both.Base >= n.Base {
		return
	}
	t.last = max(t.last, n.Base)
	t.both = &n
}

// StopSharedNumbering makes t draw its numbers by its own count again.
func (t *Table) StopSharedNumbering() { t.both = nil }

// CanKeepNumber tells whether a message of the other process may keep its number here: no message of t has it or had it.
func (t *Table) CanKeepNumber(num uint32) bool {
	if t.both == nil || num == 0 || t.byNum[num] != nil {
		return false
	}
	return num < t.both.Base || (num%2 == 1) != t.both.Odd
}
