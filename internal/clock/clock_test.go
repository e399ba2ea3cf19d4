package clock

import (
	"testing"
	"time"
)

// A date written by one process is the same moment to the next one, even if the wall clock was
// stepped by an hour in between.
func TestDatesSurviveWallClockSteps(t *testing.T) {
	const hour = int64(time.Hour / time.Microsecond)
	for _, step := range []int64{-hour, 0, hour} {
		first := Anchor{BootID: "b", MonotonicUs: 5_000_000, DateUs: 1_700_000_000_000_000}
		at := time.Now()
		writer, _ := Continue(Anchor{}, first, at)
		date := writer.Date(at.Add(12 * time.Second))
		later := Anchor{
			BootID: "b", MonotonicUs: first.MonotonicUs + 2_000_000, DateUs: first.DateUs + 2_000_000 + step,
		}
		reader, continued := Continue(first, later, at)
		if remaining := reader.Time(date).Sub(at); !continued || remaining != 10*time.Second {
			t.Errorf("stepped by %d us: %v left, continued %v; want 10s of 12s, 2s later", step, remaining, continued)
		}
	}
}

// An anchor of another boot, with a later monotonic time, or empty starts a new scale from the wall
// clock.
func TestAnchorOfAnotherBoot(t *testing.T) {
	now, at := Anchor{BootID: "b", MonotonicUs: 7, DateUs: 1_700_000_000_000_000}, time.Now()
	for _, previous := range []Anchor{
		{}, {BootID: "a", MonotonicUs: 1, DateUs: 1}, {BootID: "b", MonotonicUs: 8, DateUs: 1},
	} {
		s, goesOn := Continue(previous, now, at)
		if goesOn || s.Date(at) != now.DateUs || !s.Time(now.DateUs).Equal(at) {
			t.Errorf("%+v continues", previous)
		}
	}
	for _, b := range []string{"", "{}", `{"boot":"b","mono_us":-1}`, "\x00"} {
		if m, err := Decode([]byte(b)); err == nil {
			t.Errorf("%q is decoded as %+v", b, m)
		}
	}
	if m, err := Decode(now.Encode()); err != nil || m != now {
		t.Errorf("%+v, %v", m, err)
	}
}

// The zero scale is the wall clock, and date 0 is the zero time.
func TestZeroScale(t *testing.T) {
	at := time.UnixMicro(1_700_000_000_000_000)
	var s Scale
	if s.Date(at) != at.UnixMicro() || !s.Time(at.UnixMicro()).Equal(at) ||
		s.Date(time.Time{}) != 0 || !s.Time(0).IsZero() {
		t.Error("the zero scale is not the wall clock")
	}
	if s = NewScale(time.Now(), 5); s.Date(time.Time{}) != 0 || !s.Time(0).IsZero() {
		t.Error("date 0 is not the zero time")
	}
}

// Now reads clocks that advance.
func TestNow(t *testing.T) {
	a, _ := Now()
	b, at := Now()
	if b.MonotonicUs < a.MonotonicUs || b.BootID != a.BootID ||
		NewScale(at, b.DateUs).Date(at) != b.DateUs || SinceStart() <= 0 {
		t.Errorf("%+v, then %+v", a, b)
	}
}
