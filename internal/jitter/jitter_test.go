package jitter

import (
	"testing"
	"time"
)

// Simultaneous failures are spread, delays grow to the limit and reset, and a seed always draws the
// same delays.
func TestBackoff(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range int64(80) {
		b, twin := NewBackoff(time.Second, 8*time.Second, seed), NewBackoff(time.Second, 8*time.Second, seed)
		for i := range 6 {
			base := min(time.Second<<i, 8*time.Second)
			d := b.NextDelay()
			if d < base/2 || d > base*3/2 {
				t.Fatalf("seed %d, delay %d: %v", seed, i, d)
			}
			if d != twin.NextDelay() {
				t.Fatal("one seed drew different delays")
			}
			seen[d.Truncate(10*time.Millisecond)] = true
		}
		b.Reset()
		if d := b.NextDelay(); d > 3*time.Second/2 {
			t.Fatalf("after a reset: %v", d)
		}
	}
	if len(seen) < 250 {
		t.Errorf("480 delays have only %d different values", len(seen))
	}
}

func TestWithin(t *testing.T) {
	var early int
	for seed := range int64(1000) {
		d := Within(time.Second, seed)
		if d < 0 || d >= time.Second || d != Within(time.Second, seed) {
			t.Fatal(d)
		}
		if d < 500*time.Millisecond {
			early++
		}
	}
	if early < 420 || early > 580 {
		t.Errorf("%d of 1000 are in the first half", early)
	}
	if Within(0, 1) != 0 || Within(-1, 1) != 0 {
		t.Error("an empty span has a delay")
	}
}
