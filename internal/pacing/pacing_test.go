package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSchedules draws a number of relays and returns the schedule of each.
func drawSchedules(t *rapid.T) (all []Schedule) {
	senders := rapid.IntRange(2, 320).Draw(t, "senders")
	for i := range senders {
		all = append(all, New(i, senders))
	}
	return all
}

// Relays with the same slot width never share a slot, and slots are equally spaced.
func TestSlotsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSchedules(t)
		step := all[0].SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<61).Draw(t, "after"))
		seen := map[time.Duration]bool{}
		for _, s := range all {
			at := s.NextSlot(after, step, shift)
			if at < after || at >= after+step*time.Duration(s.slots) || at%step != 0 || seen[at] {
				t.Fatalf("%+v has a slot at %v, requested one after %v", s, at, after)
			}
			seen[at] = true
			if again := s.NextSlot(at+1, step, shift); again != at+step*time.Duration(s.slots) {
				t.Fatalf("the slot after %v is at %v", at, again)
			}
		}
	})
}

// A relay that calls less often stays within its own slots.
func TestWiderSlotsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSchedules(t)
		s := rapid.SampledFrom(all).Draw(t, "sender")
		step := s.SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		longer := step * time.Duration(rapid.SampledFrom([]int{2, 3, 4, 6, 8}).Draw(t, "times"))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "after"))
		at := s.NextSlot(after, longer, shift)
		if s.NextSlot(at, step, shift) != at {
			t.Fatalf("%v is a slot of width %v but not of width %v", at, longer, step)
		}
	})
}

// A slot is never narrower than the interval requires, and less than twice as wide.
func TestSlotWidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom(drawSchedules(t)).Draw(t, "sender")
		interval := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "interval"))
		step := s.SlotWidth(interval)
		want := interval / time.Duration(s.slots)
		if step < want || step > baseSlotWidth && step >= 2*want {
			t.Fatalf("width %v for %v among %d", step, interval, s.slots)
		}
	})
}

// Invalid indexes have no slots, and extreme intervals and widths are handled.
func TestNoSlots(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {0, 1}, {-1, 5}, {5, 5}, {1, -3}} {
		if s := New(c[0], c[1]); s.HasSlots() || s.NextSlot(17, baseSlotWidth, 3) != 17 {
			t.Errorf("relay %d of %d has slots", c[0], c[1])
		}
	}
	s := New(1, 6)
	if step := s.SlotWidth(1<<63 - 1); step > maxInterval {
		t.Errorf("width %v", step)
	}
	if at := s.NextSlot(9, 0, 0); at != 9 {
		t.Errorf("a width of 0 has a slot at %v", at)
	}
}
