package policy

import (
	"testing"
	"time"
)

// fleetRelay returns one of eighty relays, with one destination.
func fleetRelay(t *testing.T) *Relay {
	t.Helper()
	s := Settings{Relays: 80, MaxConcurrentCalls: 6, MaxPending: 80, MaxAttempts: 6, Tick: time.Millisecond,
		IdleConnTimeout: 15 * time.Second, ColdStartShare: 0.2,
		WarmUpTime: 11 * time.Second, OverloadFactor: 2, OverloadTime: 3 * time.Second, MaxRetryAfter: 3 * time.Second,
		Classes: []Class{{Name: "alert", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second, Value: 1}},
		Kinds:   []Kind{{Name: "k", MaxBatch: 1}}}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{
		EndpointListUpdate{Kind: ListSnapshot, Entries: []Endpoint{{Address: "a", Destination: 1, Kind: "k"}}}})
	return r
}

func countSends(acts []Action) (n int) {
	for _, a := range acts {
		if _, ok := a.(Send); ok {
			n++
		}
	}
	return n
}

func alertSubmission(id uint32) Event {
	return Submitted{ID: id, Class: "alert", Destination: 1, TimeLeft: 6 * time.Second}
}

func deliveredOutcome(id uint32) Event {
	return AttemptEnded{ID: id, Endpoint: "a", Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
}

// A fresh allowance paces the calls of a relay that saw no rejection itself. A stale one doesn't,
// and none speeds it up.
func TestFleetAllowancePacesCalls(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes []RouteStats
		after  time.Duration // since the first call
		want   int           // calls after the first
	}{
		{"no update", nil, 200 * time.Millisecond, 1},
		{"two per second, at once", []RouteStats{
			{Destination: 1, Demand: 3, Accepted: 2, Rejected: 1, Calls: 40, Allowance: 2}}, 200 * time.Millisecond, 0},
		{"two per second, later", []RouteStats{
			{Destination: 1, Demand: 3, Accepted: 2, Rejected: 1, Calls: 40, Allowance: 2}}, 600 * time.Millisecond, 1},
		{"unlimited", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Calls: 40}}, 200 * time.Millisecond, 1},
		{"unknown destination", []RouteStats{{Destination: 9, Allowance: 0.01}}, 200 * time.Millisecond, 1},
		{"stale", []RouteStats{{Destination: 1, Demand: 3, Accepted: 2, Calls: 40, Allowance: 0.1}},
			4500 * time.Millisecond, 1},
	} {
		r := fleetRelay(t)
		if countSends(r.Step(time.Second, []Event{alertSubmission(1)})) != 1 {
			t.Fatal("no first call")
		}
		r.Step(1050*time.Millisecond, []Event{deliveredOutcome(1), FleetUpdate{Routes: c.routes}})
		if n := countSends(r.Step(time.Second+c.after, []Event{alertSubmission(2)})); n != c.want {
			t.Errorf("%s: %d calls, want %d", c.name, n, c.want)
		}
	}
}

// A relay that saw one failure accepts the fleet's report of an outage unless other relays get
// through. When they get through again, it ramps up, starting with a call at a random time.
func TestFleetReportsOutage(t *testing.T) {
	outage := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 5}}}
	partial := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 0.1, Failed: 2, Calls: 5}}}
	fail := func(update FleetUpdate) *Relay {
		r := fleetRelay(t)
		r.Step(2*time.Second, []Event{alertSubmission(1)})
		r.Step(2050*time.Millisecond,
			[]Event{AttemptEnded{ID: 1, Endpoint: "a", Outcome: ConnectFailed, Duration: 50 * time.Millisecond}})
		r.Step(2100*time.Millisecond, []Event{update})
		return r
	}
	if rt := fail(partial).destinations[1].routes[0]; rt.health != healthy {
		t.Error("down while other relays get through")
	}
	r := fail(outage)
	rt := r.destinations[1].routes[0]
	if rt.health != down {
		t.Fatal("not down after the fleet reported an outage")
	}
	r.Step(4*time.Second, []Event{partial})
	if rt.health != ramping || r.freeAt(rt) <= r.now {
		t.Errorf("health %d, next call in %v", rt.health, r.freeAt(rt)-r.now)
	}
	unaffected := fleetRelay(t)
	unaffected.Step(2*time.Second, []Event{outage})
	if unaffected.destinations[1].routes[0].health != healthy {
		t.Error("down after few calls, without an own failure")
	}
}

// A relay without calls restarts its ramp when the fleet reports another outage during the ramp.
func TestFleetReportsOutageDuringRamp(t *testing.T) {
	outage := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: minFleetCalls}}}
	partial := FleetUpdate{
		Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 0.1, Failed: 2, Calls: minFleetCalls}}}
	r := fleetRelay(t)
	rt := r.destinations[1].routes[0]
	r.Step(4*time.Second, []Event{outage})
	r.Step(5*time.Second, []Event{partial})
	if rt.health != ramping || rt.rampStart != 5*time.Second {
		t.Fatalf("health %d, ramp start %v", rt.health, rt.rampStart)
	}
	r.Step(7*time.Second, []Event{partial})
	if rt.health != ramping || rt.rampStart != 5*time.Second {
		t.Errorf("while other relays get through: health %d, ramp start %v", rt.health, rt.rampStart)
	}
	r.Step(9*time.Second, []Event{outage})
	if rt.health != down {
		t.Errorf("while no relay gets through: health %d", rt.health)
	}
	r.Step(11*time.Second, []Event{partial})
	if rt.health != ramping || rt.rampStart != 11*time.Second {
		t.Errorf("after the recovery: health %d, ramp start %v", rt.health, rt.rampStart)
	}
}

// With few calls, an outage needs three reporters, or two if this relay's own calls never
// succeeded.
func TestReportersOfFewCalls(t *testing.T) {
	for _, c := range []struct {
		served    bool
		reporters int
		want      routeHealth
	}{{true, 3, down}, {true, 2, healthy}, {false, 2, down}, {false, 1, healthy}, {false, 0, healthy}} {
		r := fleetRelay(t)
		if c.served {
			r.Step(time.Second, []Event{alertSubmission(1)})
			r.Step(1050*time.Millisecond, []Event{deliveredOutcome(1)})
		}
		r.Step(4*time.Second, []Event{FleetUpdate{
			Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 3, Reporters: c.reporters}}}})
		if rt := r.destinations[1].routes[0]; rt.health != c.want {
			t.Errorf("%+v: health %d", c, rt.health)
		}
	}
}

// The fair share of a rate limit follows the fleet's number of relays; new settings hold until the
// next update.
func TestRelayCountFollowsFleet(t *testing.T) {
	r := fleetRelay(t)
	r.destinations[1].routes[0].rate = 80
	share := func() float64 { return r.fairShare(r.destinations[1].routes[0]) }
	for i, c := range []struct {
		update FleetUpdate
		want   float64
	}{{FleetUpdate{}, 1}, {FleetUpdate{Relays: 40}, 2}, {FleetUpdate{}, 2}, {FleetUpdate{Relays: 80}, 1},
		{FleetUpdate{Relays: 20}, 4}} {
		r.Step(time.Duration(i)*time.Second, []Event{c.update})
		if got := share(); got != c.want {
			t.Errorf("%+v: %v calls per second, want %v", c.update, got, c.want)
		}
	}
	set := r.cfg
	set.Relays = 80
	if err := r.Reconfigure(set); err != nil || share() != 1 {
		t.Errorf("error %v, %v calls per second, want 1", err, share())
	}
}

// A failure restarts the ramp, as the route would be overloaded if it counted as warm on its
// return. An error answer doesn't.
func TestFailureRestartsRamp(t *testing.T) {
	const since = 4 * time.Second // since the start of the ramp
	for outcome, want := range map[Outcome]time.Duration{ConnectFailed: 0, TimedOut: 0, ConnectionLost: 0,
		Errored: since, Delivered: since, Rejected: since} {
		r := fleetRelay(t)
		r.Step(time.Second, []Event{alertSubmission(1)})
		rt := r.destinations[1].routes[0]
		r.setHealth(rt, ramping)
		now := time.Second + since
		rt.rampStart = now - since
		r.Step(now, []Event{AttemptEnded{ID: 1, Endpoint: "a", Outcome: outcome, Duration: 50 * time.Millisecond,
			Final: outcome == Delivered}})
		if got := now - rt.rampStart; got != want {
			t.Errorf("outcome %d: ramping for %v, want %v", outcome, got, want)
		}
	}
}
