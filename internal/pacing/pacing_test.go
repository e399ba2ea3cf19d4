package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSchedules draws a number of relays and returns the schedule of each.
func drawSchedules(t *rapid.T) (schedules []Schedule) {
	relays := rapid.IntRange(2, 320).Draw(t, "senders")
	for i := range relays {
		schedules = append(schedules, New(i, relays))
	}
	return schedules
}

// Relays with the same slot width never share a slot, and slots are equally spaced.
func TestSlotsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedules := drawSchedules(t)
		width := schedules[0].SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<61).Draw(t, "after"))
		seen := map[time.Duration]bool{}
		for _, s := range schedules {
			at := s.NextSlot(after, width, shift)
			if at < after || at >= after+width*time.Duration(s.slots) || at%width != 0 || seen[at] {
				t.Fatalf("%+v has a slot at %v, requested one after %v", s, at, after)
			}
			seen[at] = true
			if again := s.NextSlot(at+1, width, shift); again != at+width*time.Duration(s.slots) {
				t.Fatalf("the slot after %v is at %v", at, again)
			}
		}
	})
}

// A relay that calls less often stays within its own slots.
func TestWiderSlotsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedules := drawSchedules(t)
		s := rapid.SampledFrom(schedules).Draw(t, "sender")
		width := s.SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		wider := width * time.Duration(rapid.SampledFrom([]int{2, 3, 4, 6, 8}).Draw(t, "times"))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "after"))
		at := s.NextSlot(after, wider, shift)
		if s.NextSlot(at, width, shift) != at {
			t.Fatalf("%v is a slot of width %v but not of width %v", at, wider, width)
		}
	})
}

// A slot is never narrower than the interval requires, and less than twice as wide.
func TestSlotWidth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom(drawSchedules(t)).Draw(t, "sender")
		interval := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "interval"))
		width := s.SlotWidth(interval)
		minWidth := interval / time.Duration(s.slots)
		if width < minWidth || width > baseSlotWidth && width >= 2*minWidth {
			t.Fatalf("width %v for %v among %d", width, interval, s.slots)
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
	if width := s.SlotWidth(1<<63 - 1); width > maxInterval {
		t.Errorf("width %v", width)
	}
	if at := s.NextSlot(9, 0, 0); at != 9 {
		t.Errorf("a width of 0 has a slot at %v", at)
	}
}
