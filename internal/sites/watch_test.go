package sites

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/policy"
)

const second = time.Second

// newTestWatch returns the watch of a relay in b that knows two endpoints of destination 1 in each
// of a, b and c, and one of destination 2 in a only.
func newTestWatch() *Watch {
	plan := &Plan{Ramp: 10 * second, RefuseFirst: []string{"alert", "order", "charge"}, Sites: []Site{
		{Zone: "a", Tiers: []Tier{{[]string{"b"}, 0.8}, {[]string{"c"}, 0.5}}},
		{Zone: "b", Tiers: []Tier{{[]string{"a", "c"}, 0.8}}},
		{Zone: "c", Tiers: []Tier{{[]string{"a"}, 0.8}}},
	}}
	w := NewWatch(plan, "b", 1)
	var list []policy.Endpoint
	for i, z := range []string{"a", "b", "c", "a", "b", "c"} {
		list = append(list, policy.Endpoint{Address: fmt.Sprint(z, i), Destination: 1, Zone: z})
	}
	w.ApplyEndpointList(policy.EndpointListUpdate{
		Kind:    policy.ListSnapshot,
		Entries: append(list, policy.Endpoint{Address: "a9", Destination: 2, Zone: "a"}),
	})
	for _, z := range []string{"a", "b", "c"} {
		w.SetRelayCounts(z, 4, 4)
	}
	w.Tick(0)
	return w
}

// advance advances the time by span, with a call to the given endpoint every 500 ms.
func advance(w *Watch, now *Time, span time.Duration, address string, how CallOutcome) {
	for end := *now + span; *now < end; {
		*now += 250 * time.Millisecond
		if address != "" && *now%(500*time.Millisecond) == 0 {
			w.RecordCall(*now, *now-100*time.Millisecond, address, how)
		}
		w.Tick(*now)
	}
}

// Evidence determines a site's state.
func TestStates(t *testing.T) {
	for _, c := range []struct {
		name             string
		do               func(w *Watch, now *Time)
		want             State
		why              string
		maybePartitioned bool
	}{
		{"nothing", func(w *Watch, now *Time) {
			advance(w, now, 10*second, "", Accepted)
		}, Healthy, "nothing", false},
		{"all accepted", func(w *Watch, now *Time) {
			advance(w, now, 10*second, "a0", Accepted)
		}, Healthy, "nothing", false},
		{"two fail", func(w *Watch, now *Time) {
			advance(w, now, 1*second, "a0", Failed)
			advance(w, now, 5*second, "", Failed)
		}, Healthy, "", false},
		{"its endpoints fail, its relays are alive", func(w *Watch, now *Time) {
			advance(w, now, 4*second, "a0", Failed)
		}, Lost, "4 of 4 relays live", false},
		{"not at once, since its relays are alive", func(w *Watch, now *Time) {
			advance(w, now, 1500*time.Millisecond, "a0", Failed)
		}, Healthy, "", false},
		{"endpoints and relays fail: sooner", func(w *Watch, now *Time) {
			w.SetRelayCounts("a", 4, 0)
			advance(w, now, 1750*time.Millisecond, "a0", Failed)
		}, Lost, "4 of 4 relays are away", false},
		{"no responses", func(w *Watch, now *Time) {
			w.SetRelayCounts("a", 4, 0)
			advance(w, now, 4*second, "a0", NoResponse)
		}, Lost, "", true},
		{"overloaded is not lost", func(w *Watch, now *Time) {
			advance(w, now, 10*second, "a0", Rejected)
		}, Healthy, "", false},
		{"other relays report it", func(w *Watch, now *Time) {
			w.SetPeerReports("a", minReporters, nil)
			advance(w, now, 3*second, "a0", Failed)
		}, Lost, "as others see", false},
		{"one reporter is not enough", func(w *Watch, now *Time) {
			w.SetPeerReports("a", 1, nil)
			advance(w, now, 1*second, "a0", Failed)
			advance(w, now, 8*second, "", Failed)
		}, Healthy, "", false},
		{"half of the calls fail", func(w *Watch, now *Time) {
			for range 20 {
				advance(w, now, 500*time.Millisecond, "a0", Failed)
				w.RecordCall(*now, *now, "a3", Accepted)
				w.RecordCall(*now, *now, "a0", Failed)
				w.RecordCall(*now, *now, "a0", Failed)
			}
		}, Degraded, "calls failed", false},
		{"its relays are dead, its endpoints answer", func(w *Watch, now *Time) {
			w.SetRelayCounts("a", 4, 1)
			advance(w, now, 5*second, "a0", Accepted)
		}, Degraded, "3 of 4 relays are away", false},
		{"calls of other relays are accepted", func(w *Watch, now *Time) {
			for range 12 {
				advance(w, now, 500*time.Millisecond, "a0", Failed)
				// Later than this relay's first failure.
				w.ApplyFleetStats(*now+3*second, []policy.RouteStats{{Destination: 2, Accepted: 1}})
			}
		}, Degraded, "cut off from here alone", false},
	} {
		w, now := newTestWatch(), Time(0)
		c.do(w, &now)
		st := w.Statuses()[0]
		if w.State("a") != c.want || !strings.Contains(st.Why, c.why) || st.MaybePartitioned != c.maybePartitioned ||
			w.State("b") != Healthy || w.State("nowhere") != Healthy {
			t.Errorf("%s: %+v", c.name, st)
		}
	}
}

// A zone that only has relays is lost if they are dead.
func TestZoneWithoutEndpoints(t *testing.T) {
	w := newTestWatch()
	for i := range 6 {
		w.ApplyEndpointList(policy.EndpointListUpdate{
			Entries: []policy.Endpoint{{Address: fmt.Sprint("c", i), Zone: "c", State: policy.Removed}},
		})
	}
	if n := w.Statuses()[2].Endpoints; n != 0 {
		t.Fatalf("%d endpoints left", n)
	}
	w.SetRelayCounts("c", 4, 0)
	if w.Tick(second); w.State("c") != Lost {
		t.Error("not lost though all of its relays are dead")
	}
	w.SetRelayCounts("c", 4, 1)
	if w.Tick(2 * second); w.State("c") != Healthy {
		t.Error("still lost though a relay is back")
	}
}

func loseSiteA(w *Watch, now *Time) {
	w.SetRelayCounts("a", 4, 0)
	advance(w, now, 3*second, "a0", Failed)
}

// A returning site's load grows while calls are accepted, falls to the proven fraction after a new
// failure and then grows more slowly, and reaches its full load in bounded time.
func TestReturn(t *testing.T) {
	w, now := newTestWatch(), Time(0)
	loseSiteA(w, &now)
	if w.State("a") != Lost || w.LoadFraction("a") != 0 || !w.SiteLost() {
		t.Fatal("not lost")
	}
	w.RecordCall(now, now, "a0", Accepted)
	if w.State("a") != Returning || w.LoadFraction("a") != initialFraction {
		t.Fatalf("%v at %v", w.State("a"), w.LoadFraction("a"))
	}
	if got := w.Changes(); len(got) != 3 ||
		got[2].PolicyUpdate(w).ReturnedZone != "a" || got[1].PolicyUpdate(w).ReturnedZone != "" {
		t.Errorf("changes %+v", got)
	}
	advance(w, &now, 5*second, "a0", Accepted)
	beforeFailure := w.LoadFraction("a")
	if beforeFailure < 0.5 || beforeFailure > 0.7 {
		t.Errorf("load fraction %v after half of the ramp", beforeFailure)
	}
	w.RecordCall(now, w.Statuses()[0].Since-second, "a0", Failed) // started before the return
	w.RecordCall(now, w.Statuses()[0].Since-second, "a0", Failed)
	if advance(w, &now, 250*time.Millisecond, "", Accepted); w.LoadFraction("a") < beforeFailure {
		t.Error("calls from before the return count against it")
	}
	for range 3 {
		w.RecordCall(now, now, "a0", Failed)
	}
	w.RecordCall(now, now, "a3", Accepted)
	advance(w, &now, 250*time.Millisecond, "", Accepted)
	if l := w.LoadFraction("a"); w.State("a") != Returning || l > beforeFailure*0.6 || l < beforeFailure*0.4 {
		t.Errorf("after a new failure %v at %v, %v before", w.State("a"), l, beforeFailure)
	}
	advance(w, &now, 5*second, "a0", Accepted)
	if l := w.LoadFraction("a"); l > beforeFailure*0.6+5.0/20+0.05 {
		t.Errorf("not slower the second time: %v", l)
	}
	loseSiteA(w, &now)
	if w.State("a") != Lost {
		t.Fatal("no calls succeed while it returns, but it is not lost")
	}
	if w.RecordCall(now, now, "a0", Accepted); w.State("a") == Returning && now < w.byZone["a"].holdDownUntil {
		t.Error("probed again at once")
	}
	// However often its return failed, a site that accepts all calls is healthy after the hold-down
	// and the slowest ramp.
	for range 9 {
		advance(w, &now, 9*second, "a0", Accepted)
		loseSiteA(w, &now)
	}
	w.SetRelayCounts("a", 4, 4)
	advance(w, &now, maxHoldDown+maxRampSlowdown*10*second+2*second, "a0", Accepted)
	if w.State("a") != Healthy || w.LoadFraction("a") != 1 || w.SiteLost() {
		t.Errorf("%+v", w.Statuses()[0])
	}
}

// A returning site gets its share of calls by its endpoints of a destination; calls that must not
// be repeated wait until half of its load is proven.
func TestReturningSiteShare(t *testing.T) {
	w, now := newTestWatch(), Time(0)
	loseSiteA(w, &now)
	if w.Allows(1, "a", true) || !w.Allows(2, "a", true) || !w.Allows(1, "b", true) ||
		w.EndpointCost("b") != 0 || w.EndpointCost("c") <= 0 {
		t.Error("a is lost: wrong zones are allowed or preferred")
	}
	w.RecordCall(now, now, "a0", Accepted)
	w.byZone["a"].loadFraction = 0.3
	callsToA := 0
	for range 1000 {
		zone := "b"
		if w.Allows(1, "a", false) {
			zone = "a"
			callsToA++
		}
		if w.Allows(1, "a", true) {
			t.Fatal("a call that must not be repeated goes to a site with an unproven load fraction")
		}
		w.CallSent(1, zone)
	}
	if callsToA < 95 || callsToA > 105 { // a third of the endpoints, at a fraction of 0.3
		t.Errorf("%d of 1000 calls", callsToA)
	}
	w.byZone["a"].loadFraction, w.byZone["a"].callCredit = 0.6, 1
	if !w.Allows(1, "a", true) {
		t.Error("a call that must not be repeated is not allowed above the proven fraction")
	}
}

// The whole fleet probes a lost site at one rate, independent of its size, and never with calls
// that must not be repeated.
func TestFleetProbeRate(t *testing.T) {
	for _, relaysPerSite := range []int{1, 27, 100} {
		probes := 0
		for n := range 2 * relaysPerSite {
			plan := newTestWatch().plan
			w := NewWatch(plan, "b", int64(n))
			w.ApplyEndpointList(policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: []policy.Endpoint{
				{Address: "a0", Destination: 1, Zone: "a"},
				{Address: "b0", Destination: 1, Zone: "b"},
			}})
			w.SetRelayCounts("a", relaysPerSite, 0)
			w.SetRelayCounts("b", relaysPerSite-1, relaysPerSite-1)
			w.SetRelayCounts("c", relaysPerSite, relaysPerSite)
			w.SetManuallyOut(0, "a", true)
			w.byZone["a"].manuallyOut = false // lost, but not taken out manually
			now := Time(0)
			for now < 300*second {
				now += 250 * time.Millisecond
				if w.Tick(now); w.Allows(1, "a", false) {
					if w.Allows(1, "a", true) || w.EndpointCost("a") != probeDueCost {
						t.Fatal("the probe must not be repeated, or the endpoint is not preferred")
					}
					w.CallSent(1, "a")
					w.RecordCall(now, now, "a0", Failed)
					probes++
				}
			}
		}
		if probes < 400 || probes > 800 { // two per second
			t.Errorf("%d relays: %d probes in 300 s", 2*relaysPerSite, probes)
		}
	}
}

// Spilled and own calls of all relays together stay within the plan's capacity, and fall when the
// site rejects calls.
func TestSpillIsBounded(t *testing.T) {
	p := newTestWatch().plan
	p.Destinations = []Destination{{
		1, map[string]float64{"a": 100, "b": 100, "c": 100},
		map[string]map[string]float64{"a": {"alert": 60}, "b": {"alert": 60}, "c": {"alert": 80}},
	}}
	rates := map[string]float64{}
	var first *Watch
	for _, home := range []string{"b", "b", "b", "b", "c", "c", "c", "c"} {
		w := NewWatch(p, home, 1)
		for _, z := range []string{"a", "b", "c"} {
			n := 4
			if z == home {
				n = 3
			}
			if z == "a" {
				w.SetRelayCounts(z, n, 0)
			} else {
				w.SetRelayCounts(z, n, n)
			}
		}
		w.SetManuallyOut(0, "a", true)
		w.Tick(0)
		w.Tick(10 * second)
		for _, st := range w.Statuses() {
			rates[st.Zone] += st.MaxSpillRate
		}
		if first == nil {
			first = w
		}
	}
	if b, c := rates["b"], rates["c"]; rates["a"] != 0 || b < 60 || b > imbalanceFactor*100 ||
		c < 80 || c > imbalanceFactor*100 {
		t.Errorf("%v calls per second are allowed in total", rates)
	}
	before := first.Statuses()[2].MaxSpillRate
	now := 10 * second
	for range 40 {
		now += 250 * time.Millisecond
		first.addRecent("c", counts{accepted: 1, rejected: 2})
		first.Tick(now)
	}
	if after := first.Statuses()[2].MaxSpillRate; after >= before || after <= 0 {
		t.Errorf("%v before rejections, %v after", before, after)
	}
	sent := 0
	for range 200 { // a burst is limited too
		if first.Allows(1, "c", false) {
			first.CallSent(1, "c")
			sent++
		}
	}
	if sent > 4 {
		t.Errorf("%d calls at once", sent)
	}
}

// addRecent records calls without their endpoint.
func (w *Watch) addRecent(zone string, c counts) { w.byZone[zone].recent[0].add(c) }

// Reloading an unchanged plan keeps the watch.
func TestHasPlan(t *testing.T) {
	w, same := newTestWatch(), newTestWatch().plan
	if !w.HasPlan(same, "b") || w.HasPlan(same, "a") || w.HasPlan(nil, "b") {
		t.Error("HasPlan is wrong for the same plan, another home zone or no plan")
	}
	if same.Ramp++; w.HasPlan(same, "b") {
		t.Error("a plan with another ramp is taken for the same")
	}
}

// A site that is taken out manually gets no calls or probes, and returns by the ramp.
func TestManuallyOut(t *testing.T) {
	w, now := newTestWatch(), Time(0)
	if w.SetManuallyOut(now, "z", true) || !w.SetManuallyOut(now, "a", true) || !w.Statuses()[0].ManuallyOut {
		t.Fatal("not taken out")
	}
	advance(w, &now, 30*second, "a0", Accepted) // calls in flight succeed
	if w.State("a") != Lost || w.Allows(1, "a", false) || w.Allows(2, "a", false) {
		t.Error("the site is back in service")
	}
	if _, ok := w.OwnReport("a"); ok {
		t.Error("one operator's action on one relay is reported to the others")
	}
	w.SetManuallyOut(now, "a", false)
	if w.State("a") != Returning || w.LoadFraction("a") != initialFraction {
		t.Errorf("%v at %v", w.State("a"), w.LoadFraction("a"))
	}
}

// Order of shedding, number of attempts and reports.
func TestPriorityAttemptsAndReports(t *testing.T) {
	w, now := newTestWatch(), Time(0)
	if w.ShedPriority("alert") != 0 || w.MaxAttempts(1, 6) != 6 || w.SiteLost() {
		t.Error("values differ from normal though no site is lost")
	}
	loseSiteA(w, &now)
	if !(w.ShedPriority("unnamed") > w.ShedPriority("alert") &&
		w.ShedPriority("alert") > w.ShedPriority("order") &&
		w.ShedPriority("order") > w.ShedPriority("charge") && w.ShedPriority("charge") == 0) ||
		w.MaxAttempts(1, 6) != 3 || w.MaxAttempts(1, 1) != 1 || w.MaxAttempts(2, 6) != 6 {
		t.Error("wrong shed priority or number of attempts")
	}
	if l, ok := w.OwnReport("a"); !ok || l != 0 {
		t.Errorf("reports %v, %v", l, ok)
	}
	if _, ok := w.OwnReport("b"); ok {
		t.Error("reports on a healthy site")
	}
	// Calls of other relays succeed: this one uses their load fraction, without a call of its own.
	w.SetPeerReports("a", 0, []float64{0.2})
	if advance(w, &now, second, "", Accepted); w.State("a") != Lost {
		t.Error("one reporter is enough")
	}
	w.SetPeerReports("a", 0, []float64{0.2, 0.4, 0.9})
	if advance(w, &now, second, "", Accepted); w.State("a") != Returning ||
		w.LoadFraction("a") < 0.4 || w.LoadFraction("a") > 0.6 {
		t.Errorf("%+v", w.Statuses()[0])
	}
	if _, ok := w.OwnReport("a"); ok {
		t.Error("reports what it has not observed itself")
	}
	// A relay that has just started learns of a loss from others, and treats endpoints there as
	// cold.
	started := newTestWatch()
	started.SetPeerReports("a", minReporters, nil)
	started.Tick(second)
	if c := started.Changes(); len(c) != 1 || c[0].PolicyUpdate(started).ColdZone != "a" ||
		started.State("a") != Healthy {
		t.Errorf("%+v", c)
	}
}

// For any course of events: load fractions are valid, only known state changes happen, endpoints
// are open if no site is lost, and a site that accepts all calls is healthy in bounded time.
func TestWatchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := newTestWatch(), Time(0)
		lastState := map[string]State{}
		possible := map[[2]State]bool{
			{Healthy, Degraded}: true, {Healthy, Lost}: true, {Degraded, Healthy}: true, {Degraded, Lost}: true,
			{Lost, Returning}: true, {Returning, Lost}: true, {Returning, Healthy}: true, {Returning, Returning}: true,
			{Healthy, Healthy}: true, {Lost, Lost}: true} // from other relays' reports, and by operators
		check := func() {
			for _, c := range w.Changes() {
				if c.From != lastState[c.Zone] || !possible[[2]State{c.From, c.To}] {
					t.Fatalf("%v -> %v, it was %v", c.From, c.To, lastState[c.Zone])
				}
				lastState[c.Zone] = c.To
			}
			siteLost := false
			for _, st := range w.Statuses() {
				if st.LoadFraction < 0 || st.LoadFraction > 1 || st.MaxSpillRate < 0 {
					t.Fatalf("%+v", st)
				}
				siteLost = siteLost || st.State == "lost" || st.State == "returning"
				if st.ManuallyOut && w.Allows(1, st.Zone, false) {
					t.Fatal("taken out, but allowed")
				}
			}
			if siteLost != w.SiteLost() {
				t.Fatalf("site lost %v: %+v", w.SiteLost(), w.Statuses())
			}
			if !siteLost && !(w.Allows(1, "a", true) && w.Allows(1, "b", true) && w.MaxAttempts(1, 6) == 6) {
				t.Fatal("no site is lost, but something is restricted")
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			z := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				advance(w, &now, time.Duration(rapid.IntRange(1, 16).Draw(t, "quarters"))*250*time.Millisecond,
					z+map[string]string{"a": "0", "b": "1", "c": "2"}[z],
					CallOutcome(rapid.IntRange(0, 3).Draw(t, "end")))
			case 3:
				w.SetRelayCounts(z, 4, rapid.IntRange(0, 4).Draw(t, "alive"))
			case 4:
				w.SetPeerReports(z, rapid.IntRange(0, 3).Draw(t, "lost"),
					[]float64{0.5, 0.9, 1}[:rapid.IntRange(0, 3).Draw(t, "levels")])
			case 5:
				w.SetManuallyOut(now, z, rapid.Bool().Draw(t, "out"))
			case 6:
				w.ApplyFleetStats(now, []policy.RouteStats{{
					Destination: 2, Accepted: float64(rapid.IntRange(0, 1).Draw(t, "taken")), Failed: 1, Reporters: 2,
				}})
			}
			check()
		}
		for _, z := range []string{"a", "b", "c"} {
			w.SetManuallyOut(now, z, false)
			w.SetRelayCounts(z, 4, 4)
			w.SetPeerReports(z, 0, nil)
		}
		for range int((maxHoldDown + maxRampSlowdown*10*second + 8*second) / (500 * time.Millisecond)) {
			for _, a := range []string{"a0", "b1", "c2"} {
				w.RecordCall(now, now, a, Accepted)
			}
			advance(w, &now, 500*time.Millisecond, "", Accepted)
		}
		check()
		for _, st := range w.Statuses() {
			if st.State != "whole" {
				t.Fatalf("accepts all calls, but is %+v", st)
			}
		}
	})
}
