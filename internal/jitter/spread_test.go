package jitter

import (
	"testing"
	"time"
)

// Tries that failed together come apart, grow to the bound and start over; the same seed draws the same.
func TestBackoff(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range int64(80) {
		b, twin := NewBackoff(time.Second, 8*time.Second, seed), NewBackoff(time.Second, 8*time.Second, seed)
		for i := range 6 {
			usual := min(time.Second<<i, 8*time.Second)
			d := b.NextDelay()
			if d < usual/2 || d > usual*3/2 {
				t.Fatalf("seed %d, pause %d: %v", seed, i, d)
			}
			if d != twin.NextDelay() {
				t.Fatal("one seed, two draws")
			}
			seen[d.Truncate(10*time.Millisecond)] = true
		}
		b.Reset()
		if d := b.NextDelay(); d > 3*time.Second/2 {
			t.Fatalf("after it worked: %v", d)
		}
	}
	if len(seen) < 250 {
		t.Errorf("480 pauses fall on %d moments", len(seen))
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
		t.Errorf("%d of 1000 in the first half", early)
	}
	if Within(0, 1) != 0 || Within(-1, 1) != 0 {
		t.Error("an empty span has moments")
	}
}
