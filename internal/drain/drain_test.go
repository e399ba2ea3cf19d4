package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func machineAfter(events ...any) (*Machine, time.Duration) {
	m, now := &Machine{}, time.Duration(0)
	for _, e := range events {
		switch e := e.(type) {
		case time.Duration:
			now += e
		case Event:
			m.Handle(e, now)
		}
	}
	return m, now
}

func TestViews(t *testing.T) {
	serving := View{Ready: true, Serving: true}
	for name, c := range map[string]struct {
		events []any
		want   View
	}{
		"not started": {nil, View{}},
		"serving":     {[]any{Started}, serving},
		"drained":     {[]any{Started, HealthFail}, View{Serving: true, CloseAfterResponse: true}},
		"drained past the grace": {
			[]any{Started, HealthFail, IdleGrace},
			View{Serving: true, CloseAfterResponse: true, CloseIdle: true},
		},
		"drained twice": {
			[]any{Started, HealthFail, IdleGrace - ms, HealthFail, ms},
			View{Serving: true, CloseAfterResponse: true, CloseIdle: true},
		},
		"ok during the drain":       {[]any{Started, HealthFail, 500 * ms, HealthOK}, serving},
		"drained before it started": {[]any{HealthFail, Started}, View{Serving: true, CloseAfterResponse: true}},
		"stop":                      {[]any{Started, Stop}, View{Stopping: true}},
		"stop, closed": {
			[]any{Started, Stop, StopAcceptGrace},
			View{Stopping: true, CloseAfterResponse: true, CloseIdle: true, StopAccepting: true},
		},
		"drain, then stop": {
			[]any{Started, HealthFail, IdleGrace, Stop},
			View{Stopping: true, CloseAfterResponse: true, CloseIdle: true},
		},
		"ok does not cancel a stop": {[]any{Started, Stop, HealthOK}, View{Stopping: true}},
		"handed over":               {[]any{Started, HandOver}, View{Ready: true, CloseAfterResponse: true}},
		"drained, then handed over": {
			[]any{Started, HealthFail, IdleGrace, HandOver},
			View{CloseAfterResponse: true, CloseIdle: true},
		},
		"stop, then handed over": {
			[]any{Started, Stop, HandOver, StopAcceptGrace},
			View{Stopping: true, CloseAfterResponse: true, CloseIdle: true, StopAccepting: true},
		},
	} {
		if m, now := machineAfter(c.events...); m.View(now) != c.want {
			t.Errorf("%s: %+v, want %+v", name, m.View(now), c.want)
		}
	}
}

// The view does not change before NextChange says so, and stops changing after a few steps.
func TestNextChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := &Machine{}, time.Duration(0)
		for _, e := range rapid.SliceOfN(rapid.IntRange(0, 4), 1, 8).Draw(t, "events") {
			m.Handle(Event(e), now)
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * ms
		}
		for steps := 0; ; steps++ {
			d := m.NextChange(now)
			if d == 0 {
				d = time.Hour
				if v := m.View(now); v != m.View(now+d) {
					t.Fatalf("%+v changes to %+v, but NextChange is 0", v, m.View(now+d))
				}
				return
			}
			if v := m.View(now); v != m.View(now+d-1) || steps > 5 {
				t.Fatalf("%+v changes before %v, or never stops changing", v, d)
			}
			now += d
		}
	})
}
