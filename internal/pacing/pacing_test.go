package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSchedules draws a fleet and returns the schedule of each of its senders.
func drawSchedules(t *rapid.T) (all []Schedule) {
	senders := rapid.IntRange(2, 320).Draw(t, "senders")
	for i := range senders {
		all = append(all, New(i, senders))
	}
	return all
}

// Senders with the same step never have a turn in common, and turns come at equal distances.
func TestTurnsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSchedules(t)
		step := all[0].SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<61).Draw(t, "after"))
		seen := map[time.Duration]bool{}
		for _, s := range all {
			at := s.NextSlot(after, step, shift)
			if at < after || at >= after+step*time.Duration(s.turns) || at%step != 0 || seen[at] {
				t.Fatalf("%+v has a turn at %v, asked for one after %v", s, at, after)
			}
			seen[at] = true
			if again := s.NextSlot(at+1, step, shift); again != at+step*time.Duration(s.turns) {
				t.Fatalf("the turn after %v is at %v", at, again)
			}
		}
	})
}

// One that calls less often stays within its own turns.
func TestLongerStepsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSchedules(t)
		s := rapid.SampledFrom(all).Draw(t, "sender")
		step := s.SlotWidth(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "interval")))
		longer := step * time.Duration(rapid.SampledFrom([]int{2, 3, 4, 6, 8}).Draw(t, "times"))
		shift := rapid.Uint64().Draw(t, "shift")
		after := time.Duration(rapid.Int64Range(0, 1<<60).Draw(t, "after"))
		at := s.NextSlot(after, longer, shift)
		if s.NextSlot(at, step, shift) != at {
			t.Fatalf("%v is a turn of step %v and none of step %v", at, longer, step)
		}
	})
}

// A step is never shorter than the interval asks for, and less than twice as long.
func TestStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.SampledFrom(drawSchedules(t)).Draw(t, "sender")
		interval := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "interval"))
		step := s.SlotWidth(interval)
		want := interval / time.Duration(s.turns)
		if step < want || step > unit && step >= 2*want {
			t.Fatalf("step %v for %v among %d", step, interval, s.turns)
		}
	})
}

// Numbers that do not fit together have no turns, and intervals without sense end.
func TestNoTurns(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {0, 1}, {-1, 5}, {5, 5}, {1, -3}} {
		if s := New(c[0], c[1]); s.HasSlots() || s.NextSlot(17, unit, 3) != 17 {
			t.Errorf("sender %d of %d has turns", c[0], c[1])
		}
	}
	s := New(1, 6)
	if step := s.SlotWidth(1<<63 - 1); step > longest {
		t.Errorf("step %v", step)
	}
	if at := s.NextSlot(9, 0, 0); at != 9 {
		t.Errorf("a step of 0 has a turn at %v", at)
	}
}
