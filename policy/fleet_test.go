package policy

import (
	"testing"
	"time"
)

// fleetRelay is one of eighty relays, with a destination that has served it at times.
func fleetRelay(t *testing.T) *Relay {
	t.Helper()
	s := Settings{Relays: 80, MaxConcurrentCalls: 6, MaxPending: 80, MaxAttempts: 6, Tick: time.Millisecond, IdleConnTimeout: 15 * time.Second, ColdStartShare: 0.2,
		WarmUpTime: 11 * time.Second, OverloadFactor: 2, OverloadTime: 3 * time.Second, MaxRetryAfter: 3 * time.Second,
		Classes: []Class{{Name: "alert", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second, Value: 1}}, Kinds: []Kind{{Name: "k", MaxBatch: 1}}}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{EndpointListUpdate{Kind: ListSnapshot, Entries: []Endpoint{{Address: "a", Destination: 1, Kind: "k"}}}})
	return r
}

func sends(acts []Action) (n int) {
	for _, a := range acts {
		if _, ok := a.(Send); ok {
			n++
		}
	}
	return n
}

func arriving(id uint32) Event {
	return Submitted{ID: id, Class: "alert", Destination: 1, TimeLeft: 6 * time.Second}
}

func delivered(id uint32) Event {
	return AttemptEnded{ID: id, Endpoint: "a", Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
}

// What the fleet allows spaces the calls of a relay that saw no refusal itself; old news do not, and none speeds a relay up.
func TestNewsSpaceCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		news  []RouteStats
		after time.Duration // from the first call on, and from the news
		want  int           // further calls
	}{
		{"no news", nil, 200 * time.Millisecond, 1},
		{"allowed two a second, at once", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Rejected: 1, Calls: 40, Allowance: 2}}, 200 * time.Millisecond, 0},
		{"allowed two a second, later", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Rejected: 1, Calls: 40, Allowance: 2}}, 600 * time.Millisecond, 1},
		{"any number", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Calls: 40}}, 200 * time.Millisecond, 1},
		{"of a destination that nobody named", []RouteStats{{Destination: 9, Allowance: 0.01}}, 200 * time.Millisecond, 1},
		{"old", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Calls: 40, Allowance: 0.1}}, 4500 * time.Millisecond, 1},
	} {
		r := fleetRelay(t)
		if sends(r.Step(time.Second, []Event{arriving(1)})) != 1 {
			t.Fatal("no first call")
		}
		r.Step(1050*time.Millisecond, []Event{delivered(1), FleetUpdate{Routes: c.news}})
		if n := sends(r.Step(time.Second+c.after, []Event{arriving(2)})); n != c.want {
			t.Errorf("%s: %d calls, want %d", c.name, n, c.want)
		}
	}
}

// A relay that saw one failure takes the fleet's word for an outage, and does not while others get through; when others get through again it
// begins its ramp with a call at a moment of its own.
func TestNewsOfOutage(t *testing.T) {
	down := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 5}}}
	some := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 0.1, Failed: 2, Calls: 5}}}
	fails := func(news FleetUpdate) *Relay {
		r := fleetRelay(t)
		r.Step(2*time.Second, []Event{arriving(1)})
		r.Step(2050*time.Millisecond, []Event{AttemptEnded{ID: 1, Endpoint: "a", Outcome: ConnectFailed, Duration: 50 * time.Millisecond}})
		r.Step(2100*time.Millisecond, []Event{news})
		return r
	}
	if l := fails(some).dests[1].lines[0]; l.state != healthy {
		t.Error("out while others get through")
	}
	r := fails(down)
	l := r.dests[1].lines[0]
	if l.state != out {
		t.Fatal("does not take the fleet's word")
	}
	r.Step(4*time.Second, []Event{some})
	if l.state != ramping || r.freeAt(l) <= r.now {
		t.Errorf("state %d, free in %v", l.state, r.freeAt(l)-r.now)
	}
	alone := fleetRelay(t)
	alone.Step(2*time.Second, []Event{down})
	if alone.dests[1].lines[0].state != healthy {
		t.Error("out on few calls, without a failure of its own")
	}
}

// Risk: a destination fails again while it is ramped up. A relay that makes no call meanwhile hears of it, and begins its ramp anew.
func TestNewsOfAnotherOutageInTheRamp(t *testing.T) {
	down := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: newsCalls}}}
	some := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 0.1, Failed: 2, Calls: newsCalls}}}
	r := fleetRelay(t)
	l := r.dests[1].lines[0]
	r.Step(4*time.Second, []Event{down})
	r.Step(5*time.Second, []Event{some})
	if l.state != ramping || l.rampAt != 5*time.Second {
		t.Fatalf("state %d, ramp begun at %v", l.state, l.rampAt)
	}
	r.Step(7*time.Second, []Event{some})
	if l.state != ramping || l.rampAt != 5*time.Second {
		t.Errorf("others get through, and state %d, ramp begun at %v", l.state, l.rampAt)
	}
	r.Step(9*time.Second, []Event{down})
	if l.state != out {
		t.Errorf("nobody gets through, and state %d", l.state)
	}
	r.Step(11*time.Second, []Event{some})
	if l.state != ramping || l.rampAt != 11*time.Second {
		t.Errorf("back, state %d, ramp begun at %v", l.state, l.rampAt)
	}
}

// Where few calls are made at all, an outage is believed that three relays saw, or two where this one never got through; one alone is not, nor two against own calls.
func TestVoicesOfFewCalls(t *testing.T) {
	for _, c := range []struct {
		served bool
		voices int
		want   lineState
	}{{true, 3, out}, {true, 2, healthy}, {false, 2, out}, {false, 1, healthy}, {false, 0, healthy}} {
		r := fleetRelay(t)
		if c.served {
			r.Step(time.Second, []Event{arriving(1)})
			r.Step(1050*time.Millisecond, []Event{delivered(1)})
		}
		r.Step(4*time.Second, []Event{FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 3, Reporters: c.voices}}}})
		if l := r.dests[1].lines[0]; l.state != c.want {
			t.Errorf("%+v: state %d", c, l.state)
		}
	}
}

// The part of a told limit that falls to a relay follows how many may be calling; news of nothing change nothing, and settings that come anew stand until the next.
func TestSendersFollowTheFleet(t *testing.T) {
	r := fleetRelay(t)
	r.dests[1].lines[0].rate = 80
	part := func() float64 { return r.even(r.dests[1].lines[0]) }
	for i, c := range []struct {
		news FleetUpdate
		want float64
	}{{FleetUpdate{}, 1}, {FleetUpdate{Relays: 40}, 2}, {FleetUpdate{}, 2}, {FleetUpdate{Relays: 80}, 1}, {FleetUpdate{Relays: 20}, 4}} {
		r.Step(time.Duration(i)*time.Second, []Event{c.news})
		if got := part(); got != c.want {
			t.Errorf("%+v: %v a second, want %v", c.news, got, c.want)
		}
	}
	set := r.set
	set.Relays = 80
	if err := r.Reconfigure(set); err != nil || part() != 1 {
		t.Errorf("%v, %v a second", err, part())
	}
}

// A line that fails while it ramps up begins its ramp anew, however few calls there were; an error that the partner answers with does not take it
// back. Guards against relays with few calls that saw it back before it failed again, and take it for warm as it returns.
func TestFailureBeginsTheRampAnew(t *testing.T) {
	const since = 4 * time.Second // that the line has been ramping
	for outcome, want := range map[Outcome]time.Duration{ConnectFailed: 0, TimedOut: 0, ConnectionLost: 0, Errored: since, Delivered: since, Rejected: since} {
		r := fleetRelay(t)
		r.Step(time.Second, []Event{arriving(1)})
		l := r.dests[1].lines[0]
		r.become(l, ramping)
		now := time.Second + since
		l.rampAt = now - since
		r.Step(now, []Event{AttemptEnded{ID: 1, Endpoint: "a", Outcome: outcome, Duration: 50 * time.Millisecond, Final: outcome == Delivered}})
		if got := now - l.rampAt; got != want {
			t.Errorf("outcome %d: the ramp has gone on for %v, want %v", outcome, got, want)
		}
	}
}
