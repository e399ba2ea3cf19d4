package clock

import (
	"testing"
	"time"
)

// A date that one process wrote is the same moment to the next one, whatever the wall clock says by then: it was stepped by an hour,
// either way, while the first ran or between the two.
func TestDatesOutliveStepsOfTheWallClock(t *testing.T) {
	const hour = int64(time.Hour / time.Microsecond)
	for _, step := range []int64{-hour, 0, hour} {
		first := Anchor{BootID: "b", MonotonicUs: 5_000_000, DateUs: 1_700_000_000_000_000}
		at := time.Now()
		writes, _ := Continue(Anchor{}, first, at)
		date := writes.Date(at.Add(12 * time.Second))
		later := Anchor{BootID: "b", MonotonicUs: first.MonotonicUs + 2_000_000, DateUs: first.DateUs + 2_000_000 + step}
		reads, goesOn := Continue(first, later, at)
		if left := reads.Time(date).Sub(at); !goesOn || left != 10*time.Second {
			t.Errorf("stepped by %d us: %v left, goes on %v; want 10s of 12s, 2s later", step, left, goesOn)
		}
	}
}

// A mark of another run of the machine, of a clock that is behind, or none at all: dates go by the wall clock as it is.
func TestMarkOfAnotherRun(t *testing.T) {
	now, at := Anchor{BootID: "b", MonotonicUs: 7, DateUs: 1_700_000_000_000_000}, time.Now()
	for _, kept := range []Anchor{{}, {BootID: "a", MonotonicUs: 1, DateUs: 1}, {BootID: "b", MonotonicUs: 8, DateUs: 1}} {
		s, goesOn := Continue(kept, now, at)
		if goesOn || s.Date(at) != now.DateUs || !s.Time(now.DateUs).Equal(at) {
			t.Errorf("%+v goes on", kept)
		}
	}
	for _, b := range []string{"", "{}", `{"boot":"b","mono_us":-1}`, "\x00"} {
		if m, err := Decode([]byte(b)); err == nil {
			t.Errorf("%q is read as %+v", b, m)
		}
	}
	if m, err := Decode(now.Encode()); err != nil || m != now {
		t.Errorf("%+v, %v", m, err)
	}
}

// The zero scale is the wall clock, and no date is the zero time.
func TestZeroScale(t *testing.T) {
	at := time.UnixMicro(1_700_000_000_000_000)
	var s Scale
	if s.Date(at) != at.UnixMicro() || !s.Time(at.UnixMicro()).Equal(at) || s.Date(time.Time{}) != 0 || !s.Time(0).IsZero() {
		t.Error("the zero scale is not the wall clock")
	}
	if s = NewScale(time.Now(), 5); s.Date(time.Time{}) != 0 || !s.Time(0).IsZero() {
		t.Error("no date became one")
	}
}

// The machine's clocks are read, and run on.
func TestNow(t *testing.T) {
	a, _ := Now()
	b, at := Now()
	if b.MonotonicUs < a.MonotonicUs || b.BootID != a.BootID || NewScale(at, b.DateUs).Date(at) != b.DateUs || SinceStart() <= 0 {
		t.Errorf("%+v, then %+v", a, b)
	}
}
