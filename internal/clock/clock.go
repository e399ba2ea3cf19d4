// Package clock tells spans of real time apart from dates. Spans go by the monotonic clock, which nobody steps. Dates are for
// what outlives a process; they are counted on a Scale that goes by the monotonic clock too, so that a span between two of them is
// real time however the machine's wall clock was stepped meanwhile. It holds no state but the process's start.
package clock

import (
	"encoding/json"
	"errors"
	"time"
)

var start = time.Now()

// SinceStart is real time since the process started, for moments that are kept as a number. It never goes back.
func SinceStart() time.Duration { return time.Since(start) }

// Anchor says which date belongs to a moment of a machine's monotonic clock.
type Anchor struct {
	BootID      string `json:"boot"`    // of the machine; empty: not known
	MonotonicUs int64  `json:"mono_us"` // monotonic clock, in microseconds
	DateUs      int64  `json:"date_us"` // date at that moment, in microseconds since 1970
}

// Encode writes a mark, to be read by Decode.
func (m Anchor) Encode() []byte {
	b, _ := json.Marshal(m) // it holds nothing that can't be written
	return append(b, '\n')
}

var errNoMark = errors.New("clock: no mark")

// Decode reads a mark. An error says that b is none.
func Decode(b []byte) (Anchor, error) {
	var m Anchor
	if err := json.Unmarshal(b, &m); err != nil {
		return Anchor{}, err
	}
	if m.BootID == "" || m.MonotonicUs < 0 {
		return Anchor{}, errNoMark
	}
	return m, nil
}

// Scale turns moments of this process into dates, and back. The zero Scale is the wall clock.
type Scale struct {
	at   time.Time // a moment of this process
	date int64     // its date, in microseconds
}

// NewScale returns the scale on which t has that date, in microseconds. t was read from this process's clock.
func NewScale(t time.Time, date int64) Scale { return Scale{t, date} }

// Continue returns the scale of a mark that an earlier process has left, if it is of this run of the machine; else one that begins
// with the wall clock at now. Now is what the clocks say at the moment at. It tells whether the earlier scale goes on.
func Continue(kept, now Anchor, at time.Time) (s Scale, goesOn bool) {
	// Guards against a monotonic clock that began anew, under the same name or none.
	if kept.BootID == "" || kept.BootID != now.BootID || kept.MonotonicUs > now.MonotonicUs {
		return Scale{at, now.DateUs}, false
	}
	return Scale{at, kept.DateUs + now.MonotonicUs - kept.MonotonicUs}, true
}

// Date is the date of t, in microseconds; 0 for the zero time.
func (s Scale) Date(t time.Time) int64 {
	switch {
	case t.IsZero():
		return 0
	case s.at.IsZero():
		return t.UnixMicro()
	}
	return s.date + t.Sub(s.at).Microseconds()
}

// Time is the moment of a date; spans from and to it are real time. 0 is the zero time.
func (s Scale) Time(date int64) time.Time {
	switch {
	case date == 0:
		return time.Time{}
	case s.at.IsZero():
		return time.UnixMicro(date)
	}
	return s.at.Add(time.Duration(date-s.date) * time.Microsecond)
}
