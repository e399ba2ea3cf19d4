package sequence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const farDeadline = time.Hour

func TestNothingIsHeldWithoutPredecessor(t *testing.T) {
	var s Sequencer
	if s.Hold(Message{"a", "s", 1}, farDeadline, false) {
		t.Error("held although there is no predecessor")
	}
	if s.BeginScan(); s.Hold(Message{"a", "", 1}, farDeadline, false) {
		t.Error("held although it has no ordering key")
	}
}

// Only a scan that began after the message was held shows what predecessors accepted before it.
func TestOnlyLaterScanReleases(t *testing.T) {
	var s Sequencer
	s.BeginScan()
	s.Hold(Message{"a", "s", 1}, farDeadline, false)
	if s.EndScan(); len(s.Ready()) > 0 {
		t.Error("released by a scan that began before")
	}
	s.BeginScan()
	s.Hold(Message{"b", "s", 2}, farDeadline, false)
	s.Hold(Message{"c", "s", 0}, farDeadline, true) // transferred: goes first and needs no scan
	if s.EndScan(); !slices.Equal(s.Ready(), []uint32{0, 1}) {
		t.Error("wrong messages were released")
	}
}

func TestPendingElsewhere(t *testing.T) {
	var s Sequencer
	s.BeginScan()
	s.SetPending("old", []Message{{"a", "s", 1}, {"d", "s", 4}, {"x", "other", 9}})
	for _, m := range []Message{{"c", "s", 3}, {"b", "s", 2}, {"e", "s", 5}} {
		s.Hold(m, farDeadline, true)
	}
	step := func(name string, do func(), want ...uint32) {
		t.Helper()
		do()
		if got := s.Ready(); !slices.Equal(got, want) {
			t.Errorf("%s: released %v, want %v", name, got, want)
		}
	}
	step("owed", func() {})
	step("reported again", func() { s.SetPending("old", []Message{{"a", "s", 1}, {"d", "s", 4}}) })
	step("reported by another predecessor", func() { s.SetPending("older", []Message{{"a", "s", 1}}) })
	step("completed at one predecessor", func() { s.SetPending("old", []Message{{"d", "s", 4}}) })
	if !s.PendingElsewhere("a") || s.PendingElsewhere("x") {
		t.Error("pending messages of predecessors are not known")
	}
	step("here", func() { s.MarkArrived("a"); s.Hold(Message{"a", "s", 1}, farDeadline, true) }, 1, 2, 3)
	step("over", func() { s.SetPending("old", nil) }, 5)
}

func TestExpired(t *testing.T) {
	var s Sequencer
	s.BeginScan()
	s.SetPending("old", []Message{{"a", "s", 1}})
	s.Hold(Message{"b", "s", 2}, time.Second, true)
	s.Hold(Message{"c", "s", 3}, time.Minute, true)
	if at, some := s.NextDeadline(); !some || at != time.Second {
		t.Errorf("next at %v, %v", at, some)
	}
	if got := s.Expired(time.Second - 1); len(got) > 0 {
		t.Errorf("%v expired before their deadline", got)
	}
	if got := s.Expired(time.Second); !slices.Equal(got, []uint32{2}) {
		t.Errorf("%v expired at their deadline", got)
	}
	if got := s.Finish(); !slices.Equal(got, []uint32{3}) {
		t.Errorf("%v released at the end", got)
	}
	if _, some := s.NextDeadline(); some || s.Hold(Message{"d", "s", 4}, farDeadline, false) {
		t.Error("held after Finish")
	}
}

// Whatever the sequence of events, each held message is released, expires or is returned by Finish
// exactly once, and never before a pending message of its ordering key that was submitted earlier.
func TestOrderInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sequencer
		s.BeginScan()
		pending, held, released := map[uint32]Message{}, map[uint32]Message{}, map[uint32]bool{}
		release := func(how string, numbers []uint32) {
			for _, num := range numbers {
				if _, there := held[num]; !there || released[num] {
					t.Fatalf("%s: %d is not held", how, num)
				}
				released[num] = true
			}
		}
		for num := range uint32(rapid.IntRange(1, 60).Draw(t, "steps")) {
			m := Message{fmt.Sprint("m", num), string(rune('p' + rapid.IntRange(0, 2).Draw(t, "subject"))), num}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				pending[num] = m
			case 1, 2:
				if s.Hold(m, time.Duration(num+20), rapid.Bool().Draw(t, "looked")) {
					held[num] = m
				}
			case 3:
				s.EndScan()
				s.BeginScan()
			case 4:
				for n, o := range pending {
					if delete(pending, n); rapid.Bool().Draw(t, "given") {
						s.MarkArrived(o.ID)
						s.Hold(o, farDeadline, true)
						held[n] = o
					}
					break
				}
			case 5:
				release("expired", s.Expired(time.Duration(num)))
			}
			var messages []Message
			for _, o := range pending {
				messages = append(messages, o)
			}
			s.SetPending("old", messages)
			ready := s.Ready()
			for _, n := range ready {
				for _, o := range pending {
					if o.OrderingKey == held[n].OrderingKey && o.Number < n {
						t.Fatalf("%d released while %d is pending", n, o.Number)
					}
				}
				for h, m := range held {
					if m.OrderingKey == held[n].OrderingKey && h < n && !released[h] && !slices.Contains(ready, h) {
						t.Fatalf("%d released before %d", n, h)
					}
				}
			}
			release("ready", ready)
		}
		release("end", s.Finish())
		if len(released) != len(held) {
			t.Fatalf("%d of %d were released", len(released), len(held))
		}
	})
}
