// Package clock separates durations from dates. Durations use the monotonic clock, which is never
// stepped. Dates are for values that outlive a process. They are on a Scale that follows the
// monotonic clock too, so that the difference of two dates is real time even if the wall clock was
// stepped in between. The package's only state is the start time of the process.
package clock

import (
	"encoding/json"
	"errors"
	"time"
)

var processStart = time.Now()

// SinceStart returns the time since the process started. It never decreases.
func SinceStart() time.Duration { return time.Since(processStart) }

// Anchor relates a time of a machine's monotonic clock to a date.
type Anchor struct {
	BootID      string `json:"boot"`    // boot of the machine; empty: unknown
	MonotonicUs int64  `json:"mono_us"` // monotonic clock, in microseconds
	DateUs      int64  `json:"date_us"` // date at that time, in microseconds since 1970
}

// Encode returns the anchor as JSON, for Decode.
func (m Anchor) Encode() []byte {
	b, _ := json.Marshal(m) // its fields can always be encoded
	return append(b, '\n')
}

var errInvalidAnchor = errors.New("clock: invalid anchor")

// Decode parses an anchor that Encode returned.
func Decode(b []byte) (Anchor, error) {
	var m Anchor
	if err := json.Unmarshal(b, &m); err != nil {
		return Anchor{}, err
	}
	if m.BootID == "" || m.MonotonicUs < 0 {
		return Anchor{}, errInvalidAnchor
	}
	return m, nil
}

// Scale converts times of this process to dates and back. The zero Scale is the wall clock.
type Scale struct {
	origin   time.Time // a time of this process
	originUs int64     // its date, in microseconds since 1970
}

// NewScale returns the scale on which t, read from this process's clock, has a date in microseconds
// since 1970.
func NewScale(t time.Time, dateUs int64) Scale { return Scale{t, dateUs} }

// Continue returns the scale of an anchor that a previous process has stored, if it is of the same
// boot; else a new one that starts with the wall clock. now is the anchor read at the time at.
// continued reports which.
func Continue(previous, now Anchor, at time.Time) (s Scale, continued bool) {
	// The boot is unknown or another one, or the monotonic clock went back.
	if previous.BootID == "" || previous.BootID != now.BootID || previous.MonotonicUs > now.MonotonicUs {
		return Scale{at, now.DateUs}, false
	}
	return Scale{at, previous.DateUs + now.MonotonicUs - previous.MonotonicUs}, true
}

// Date returns the date of t in microseconds since 1970; 0 for the zero time.
func (s Scale) Date(t time.Time) int64 {
	switch {
	case t.IsZero():
		return 0
	case s.origin.IsZero():
		return t.UnixMicro()
	}
	return s.originUs + t.Sub(s.origin).Microseconds()
}

// Time returns the time of a date in microseconds since 1970. Differences to it are real time. It
// is the zero time for 0.
func (s Scale) Time(dateUs int64) time.Time {
	switch {
	case dateUs == 0:
		return time.Time{}
	case s.origin.IsZero():
		return time.UnixMicro(dateUs)
	}
	return s.origin.Add(time.Duration(dateUs-s.originUs) * time.Microsecond)
}
