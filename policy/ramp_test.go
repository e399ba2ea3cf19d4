package policy

import (
	"testing"
	"time"
)

// Calls of many relays to a ramping route add up to the ramp's rate, wherever in its interval each
// relay was at the start of the ramp.
func TestRampOfManyRelaysAddsUp(t *testing.T) {
	const relays = 400
	h := newHarness(t, func(s *Settings) { s.Relays = relays })
	r := h.relay
	base := r.destinations[4].routes[0]
	base.health, base.rampStart = ramping, r.now
	rampAt, first := r.now, r.coldInterval(base)
	var routes []*route
	for i := range relays {
		rt := *base
		rt.lastCall, rt.jitter = rampAt-first*time.Duration(i)/relays, 1
		routes = append(routes, &rt)
	}
	sent, due := 0, 0.0
	const step = 10 * time.Millisecond
	for ; r.now < rampAt+r.cfg.WarmUpTime; r.now += step {
		warm := r.cfg.ColdStartShare + (1-r.cfg.ColdStartShare)*float64(r.now-rampAt)/float64(r.cfg.WarmUpTime)
		due += relays * step.Seconds() / first.Seconds() * warm / r.cfg.ColdStartShare
		for _, rt := range routes {
			if r.now >= rt.lastCall+r.coldInterval(rt) {
				sent++
				rt.lastCall = r.now
			}
		}
		if over := float64(sent) - 1.1*due; over > 10 {
			t.Fatalf("%v after the start of the ramp, %d calls were sent, want %.0f", r.now-rampAt, sent, due)
		}
	}
	if float64(sent) < 0.9*due {
		t.Errorf("%d calls were sent in the ramp, want %.0f", sent, due)
	}
}

// A timeout before the route's usual latency is no failure of the route; a later one is.
func TestEarlyTimeoutIsNoFailure(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		runs int
	}{{60 * time.Millisecond, 0}, {99 * time.Millisecond, 0}, {100 * time.Millisecond, 5}, {time.Second, 5}} {
		h := newHarness(t, nil)
		rt := h.relay.destinations[4].routes[0]
		rt.latency, rt.recentLatency, rt.lastSuccess = 100*time.Millisecond, 100*time.Millisecond, h.relay.now
		for range 5 {
			h.relay.now += time.Second
			lost := &call{endpoint: rt.endpoints[0], sentAt: h.relay.now}
			h.relay.now += c.took
			h.relay.recordFailure(rt, lost, TimedOut)
		}
		if rt.failed != c.runs || (rt.interval > 0) != (c.runs > 0) {
			t.Errorf("timeouts after %v: %d failures in a row, interval %v", c.took, rt.failed, rt.interval)
		}
	}
}

// A timeout of a message that was about to expire is no failure of the route. One with a short
// repeat window is, since its attempt gets the whole time left.
func TestTimeoutOfExpiringMessageIsNoFailure(t *testing.T) {
	const usual = 900 * time.Millisecond
	for _, c := range []struct {
		name  string
		class string
		left  time.Duration
		runs  int
	}{{"nearly out of time", "safe", 800 * time.Millisecond, 0}, {"with time", "safe", 0, 1},
		{"cut by its window", "keyed", 0, 1}} {
		h := newHarness(t, func(s *Settings) {
			for i := range s.Classes {
				if s.Classes[i].Effect == Keyed {
					s.Classes[i].RepeatWindow = time.Second
				}
			}
		})
		rt := h.relay.destinations[4].routes[0]
		rt.latency, rt.recentLatency = usual, usual
		m := h.submission(c.class, 4, "")
		if c.left > 0 {
			m.TimeLeft = c.left
		}
		acts := h.step(m)
		h.expectSent(acts, 1)
		h.after(min(acts[0].(Send).Timeout, 20*time.Second), attemptEnd(1, 0, TimedOut))
		if rt.failed != c.runs {
			t.Errorf("%s: %d failures in a row, want %d", c.name, rt.failed, c.runs)
		}
	}
}

// A paced call goes to a message that has time for the usual answer. Without pacing, every message
// gets an attempt.
func TestPacedCallsGoToMessagesWithTime(t *testing.T) {
	for _, paced := range []bool{false, true} {
		h := newHarness(t, nil)
		rt := h.relay.destinations[4].routes[0]
		rt.latency, rt.recentLatency = 200*time.Millisecond, 200*time.Millisecond
		expiring := h.submission("safe", 4, "")
		expiring.TimeLeft = 150 * time.Millisecond
		if paced {
			rt.interval, rt.lastCall, rt.jitter = 300*time.Millisecond, h.relay.now-time.Second, 1
			h.expectSent(h.step(expiring, h.submission("safe", 4, "")), 2)
		} else {
			h.expectSent(h.step(expiring), 1)
		}
	}
}
