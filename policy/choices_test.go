package policy

import (
	"slices"
	"testing"
	"time"
)

// fourEndpointRelay returns a relay with six concurrent calls and a destination with four
// endpoints.
func fourEndpointRelay(t *testing.T) *Relay {
	t.Helper()
	r := fleetRelay(t)
	var list []Endpoint
	for _, a := range []string{"a", "b", "c", "d"} {
		list = append(list, Endpoint{Address: a, Destination: 1, Kind: "k"})
	}
	r.Step(time.Millisecond, []Event{EndpointListUpdate{Kind: ListSnapshot, Entries: list}})
	return r
}

func endpointsOf(acts []Action) (sent, closed []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			sent = append(sent, a.Endpoint)
		case CloseIdle:
			closed = append(closed, a.Endpoint)
		}
	}
	return sent, closed
}

// Calls go to the subset while it is healthy, and beyond it when it is unhealthy or busy. An empty
// subset means all.
func TestSubset(t *testing.T) {
	r := fourEndpointRelay(t)
	r.Step(2*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: []string{"c", "d"}}})
	var all []string
	at := 10 * time.Millisecond
	for id := uint32(1); id <= 4; id++ { // four concurrent calls
		sent, _ := endpointsOf(r.Step(at, []Event{alertSubmission(id)}))
		all, at = append(all, sent...), at+time.Millisecond
	}
	if slices.Sort(all); !slices.Equal(all, []string{"c", "c", "d", "d"}) {
		t.Fatalf("calls to %v, want two each to c and d", all)
	}
	r = fourEndpointRelay(t)
	r.Step(2*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: []string{"c", "d"}}})
	for _, rt := range r.destinations[1].routes {
		for _, ep := range rt.endpoints {
			if !ep.outsideSubset {
				ep.failures, ep.lastFailure = 3, 2*time.Millisecond
			}
		}
	}
	if sent, _ := endpointsOf(r.Step(10*time.Millisecond,
		[]Event{alertSubmission(1)})); len(sent) != 1 || sent[0] == "c" || sent[0] == "d" {
		t.Errorf("the whole subset is unhealthy, and the call goes to %v", sent)
	}
	r.Step(11*time.Millisecond, []Event{Subset{Destination: 1}, Subset{Destination: 99, Endpoints: []string{"a"}}})
	for _, ep := range r.destinations[1].routes[0].endpoints {
		if ep.outsideSubset {
			t.Errorf("%s is outside an empty subset", ep.Address)
		}
	}
}

// Connections to endpoints that leave the subset are closed at once if idle, else when their call
// ends.
func TestIdleConnectionsOutsideSubsetAreClosed(t *testing.T) {
	r := fourEndpointRelay(t)
	sent, _ := endpointsOf(r.Step(10*time.Millisecond, []Event{alertSubmission(1)}))
	at := sent[0]
	others := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(a string) bool { return a == at })
	if _, closed := endpointsOf(r.Step(20*time.Millisecond,
		[]Event{Subset{Destination: 1, Endpoints: others[:2]}})); len(closed) > 0 {
		t.Fatalf("connections to %v closed during a call", closed)
	}
	ended := AttemptEnded{ID: 1, Endpoint: at, Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
	if _, closed := endpointsOf(r.Step(60*time.Millisecond, []Event{ended})); !slices.Equal(closed, []string{at}) {
		t.Errorf("when the call ended, connections to %v were closed", closed)
	}
	sent, _ = endpointsOf(r.Step(200*time.Millisecond, []Event{alertSubmission(2)}))
	ended = AttemptEnded{ID: 2, Endpoint: sent[0], Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
	if _, closed := endpointsOf(r.Step(260*time.Millisecond, []Event{ended})); len(closed) > 0 {
		t.Fatalf("connections to %v closed, which are in the subset", closed)
	}
	if _, closed := endpointsOf(r.Step(270*time.Millisecond,
		[]Event{Subset{Destination: 1, Endpoints: []string{at, others[2]}}})); !slices.Equal(closed, sent) {
		t.Errorf("idle and outside the subset: connections to %v closed, want %v", closed, sent)
	}
}

// A route that is down is left to the relays that probe it while the fleet update is fresh, unless
// this relay's own calls just succeeded.
func TestOtherRelaysProbe(t *testing.T) {
	update := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 9, OthersProbe: true}}}
	for _, succeeded := range []bool{false, true} {
		for after, want := range map[time.Duration]int{
			100 * time.Millisecond: 0, fleetLifetime + 50*time.Millisecond: 1} {
			r := fleetRelay(t)
			rt := r.destinations[1].routes[0]
			r.Step(time.Second, []Event{update})
			if r.setHealth(rt, healthy); succeeded {
				rt.lastSuccess, want = time.Second+after-fleetSpan, 1
			} else if rt.lastSuccess = -time.Minute; after < fleetLifetime {
				r.markDown(rt)
				rt.lastCall = 0
			}
			if n := countSends(r.Step(time.Second+after, []Event{alertSubmission(1)})); n != want {
				t.Errorf("own success %v, %v after the fleet update: %d calls, want %d", succeeded, after, n, want)
			}
		}
	}
}

// A Retry-After that other relays received applies while no relay gets through. It doesn't shorten
// an own one, its end is spread over the relays, and the route is cold afterwards.
func TestRetryAfterReportedByFleet(t *testing.T) {
	ends := map[Time]bool{}
	for seed := range int64(8) {
		r := fleetRelay(t)
		r.rng.Seed(seed)
		rt := r.destinations[1].routes[0]
		wait := func(at, w time.Duration) {
			r.Step(at, []Event{FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Calls: 1, RetryAfter: w}}}})
		}
		r.Step(500*time.Millisecond, []Event{FleetUpdate{
			Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 1, Calls: 1, RetryAfter: time.Minute}}}})
		if rt.blockedUntil > 0 {
			t.Error("Retry-After applied while other relays get through")
		}
		wait(time.Second, 2*time.Second)
		until := rt.blockedUntil
		if ends[until] = true; until < 3*time.Second || until > 10*time.Second || rt.health != down {
			t.Fatalf("Retry-After of 2 s at 1 s ends at %v", until)
		}
		wait(1600*time.Millisecond, 1400*time.Millisecond)
		wait(1700*time.Millisecond, 0)
		if rt.blockedUntil != until {
			t.Errorf("after a second report it ends at %v, want %v", rt.blockedUntil, until)
		}
		if countSends(r.Step(2900*time.Millisecond, []Event{alertSubmission(1)})) != 0 ||
			countSends(r.Step(until+time.Millisecond, []Event{alertSubmission(2)})) != 1 {
			t.Error("a call before the end of the Retry-After, or none after it")
		}
	}
	if len(ends) < 6 {
		t.Errorf("%d different ends for eight relays", len(ends))
	}
}

// One reporter alone makes no outage, unless reporters are not counted.
func TestOneReporterIsNoOutage(t *testing.T) {
	for reporters, want := range map[int]routeHealth{0: down, 1: healthy, 2: down} {
		r := fleetRelay(t)
		r.Step(3*time.Second, []Event{
			FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 9, Calls: 40, Reporters: reporters}}}})
		if s := r.destinations[1].routes[0].health; s != want {
			t.Errorf("%d reporters: health %v", reporters, s)
		}
	}
}
