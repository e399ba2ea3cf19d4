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
		t.Error("held where no process is beside this one")
	}
	if s.BeginScan(); s.Hold(Message{"a", "", 1}, farDeadline, false) {
		t.Error("held though it is of no subject")
	}
}

// Only a look that began since tells what others had taken on before.
func TestOnlyLaterScanReleases(t *testing.T) {
	var s Sequencer
	s.BeginScan()
	s.Hold(Message{"a", "s", 1}, farDeadline, false)
	if s.EndScan(); len(s.Ready()) > 0 {
		t.Error("goes on after a look that began before")
	}
	s.BeginScan()
	s.Hold(Message{"b", "s", 2}, farDeadline, false)
	s.Hold(Message{"c", "s", 0}, farDeadline, true) // given: it goes first, and needs no look
	if s.EndScan(); !slices.Equal(s.Ready(), []uint32{0, 1}) {
		t.Error("the wrong ones go on")
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
			t.Errorf("%s: %v go on, want %v", name, got, want)
		}
	}
	step("owed", func() {})
	step("named again", func() { s.SetPending("old", []Message{{"a", "s", 1}, {"d", "s", 4}}) })
	step("by another as well", func() { s.SetPending("older", []Message{{"a", "s", 1}}) })
	step("over at one", func() { s.SetPending("old", []Message{{"d", "s", 4}}) })
	if !s.PendingElsewhere("a") || s.PendingElsewhere("x") {
		t.Error("what is owed is not known")
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
		t.Errorf("%v before their time", got)
	}
	if got := s.Expired(time.Second); !slices.Equal(got, []uint32{2}) {
		t.Errorf("%v at their time", got)
	}
	if got := s.Finish(); !slices.Equal(got, []uint32{3}) {
		t.Errorf("%v at the end", got)
	}
	if _, some := s.NextDeadline(); some || s.Hold(Message{"d", "s", 4}, farDeadline, false) {
		t.Error("held after the end")
	}
}

// Whatever comes in whatever order: each held message goes on, expires or is released at the end exactly once, none before one of its subject that is owed
// and was handed in earlier.
func TestOrderInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sequencer
		s.BeginScan()
		owed, held, out := map[uint32]Message{}, map[uint32]Message{}, map[uint32]bool{}
		leave := func(how string, nums []uint32) {
			for _, num := range nums {
				if _, there := held[num]; !there || out[num] {
					t.Fatalf("%s: %d is not held", how, num)
				}
				out[num] = true
			}
		}
		for num := range uint32(rapid.IntRange(1, 60).Draw(t, "steps")) {
			m := Message{fmt.Sprint("m", num), string(rune('p' + rapid.IntRange(0, 2).Draw(t, "subject"))), num}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				owed[num] = m
			case 1, 2:
				if s.Hold(m, time.Duration(num+20), rapid.Bool().Draw(t, "looked")) {
					held[num] = m
				}
			case 3:
				s.EndScan()
				s.BeginScan()
			case 4:
				for n, o := range owed {
					if delete(owed, n); rapid.Bool().Draw(t, "given") {
						s.MarkArrived(o.ID)
						s.Hold(o, farDeadline, true)
						held[n] = o
					}
					break
				}
			case 5:
				leave("expired", s.Expired(time.Duration(num)))
			}
			var list []Message
			for _, o := range owed {
				list = append(list, o)
			}
			s.SetPending("old", list)
			ready := s.Ready()
			for _, n := range ready {
				for _, o := range owed {
					if o.OrderingKey == held[n].OrderingKey && o.Number < n {
						t.Fatalf("%d goes on while %d is owed", n, o.Number)
					}
				}
				for h, m := range held {
					if m.OrderingKey == held[n].OrderingKey && h < n && !out[h] && !slices.Contains(ready, h) {
						t.Fatalf("%d goes on before %d", n, h)
					}
				}
			}
			leave("ready", ready)
		}
		leave("end", s.Finish())
		if len(out) != len(held) {
			t.Fatalf("%d of %d have gone on", len(out), len(held))
		}
	})
}
