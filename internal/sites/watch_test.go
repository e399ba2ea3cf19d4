package sites

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/policy"
)

const s = time.Second

// watched is a relay of b that knows two endpoints of destination 1 in each of a, b and c, and one of destination 2 in a alone.
func watched() *Watch {
	plan := &Plan{Ramp: 10 * s, RefuseFirst: []string{"alert", "order", "charge"}, Sites: []Site{
		{Zone: "a", Tiers: []Tier{{[]string{"b"}, 0.8}, {[]string{"c"}, 0.5}}}, {Zone: "b", Tiers: []Tier{{[]string{"a", "c"}, 0.8}}}, {Zone: "c", Tiers: []Tier{{[]string{"a"}, 0.8}}}}}
	w := NewWatch(plan, "b", 1)
	var list []policy.Endpoint
	for i, z := range []string{"a", "b", "c", "a", "b", "c"} {
		list = append(list, policy.Endpoint{Address: fmt.Sprint(z, i), Destination: 1, Zone: z})
	}
	w.ApplyEndpointList(policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: append(list, policy.Endpoint{Address: "a9", Destination: 2, Zone: "a"})})
	for _, z := range []string{"a", "b", "c"} {
		w.SetRelayCounts(z, 4, 4)
	}
	w.Tick(0)
	return w
}

// run moves on by so long, with a call each half second to the given endpoint.
func run(w *Watch, now *Time, span time.Duration, address string, how CallOutcome) {
	for end := *now + span; *now < end; {
		*now += 250 * time.Millisecond
		if address != "" && *now%(500*time.Millisecond) == 0 {
			w.RecordCall(*now, *now-100*time.Millisecond, address, how)
		}
		w.Tick(*now)
	}
}

// What evidence makes of a site.
func TestStates(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *Watch, now *Time)
		want State
		why  string
		cut  bool
	}{
		{"nothing", func(w *Watch, now *Time) { run(w, now, 10*s, "", Accepted) }, Healthy, "nothing", false},
		{"all is taken", func(w *Watch, now *Time) { run(w, now, 10*s, "a0", Accepted) }, Healthy, "nothing", false},
		{"two fail", func(w *Watch, now *Time) { run(w, now, 1*s, "a0", Failed); run(w, now, 5*s, "", Failed) }, Healthy, "", false},
		{"its endpoints fail, its relays live", func(w *Watch, now *Time) { run(w, now, 4*s, "a0", Failed) }, Lost, "4 of 4 relays live", false},
		{"not at once, since they live", func(w *Watch, now *Time) { run(w, now, 1500*time.Millisecond, "a0", Failed) }, Healthy, "", false},
		{"with its relays, sooner", func(w *Watch, now *Time) {
			w.SetRelayCounts("a", 4, 0)
			run(w, now, 1750*time.Millisecond, "a0", Failed)
		}, Lost, "4 of 4 relays are away", false},
		{"only silence", func(w *Watch, now *Time) { w.SetRelayCounts("a", 4, 0); run(w, now, 4*s, "a0", NoResponse) }, Lost, "", true},
		{"full is not lost", func(w *Watch, now *Time) { run(w, now, 10*s, "a0", Rejected) }, Healthy, "", false},
		{"others say so", func(w *Watch, now *Time) { w.SetPeerReports("a", voices, nil); run(w, now, 3*s, "a0", Failed) }, Lost, "as others see", false},
		{"one voice is not enough", func(w *Watch, now *Time) {
			w.SetPeerReports("a", 1, nil)
			run(w, now, 1*s, "a0", Failed)
			run(w, now, 8*s, "", Failed)
		}, Healthy, "", false},
		{"half of the calls fail", func(w *Watch, now *Time) {
			for range 20 {
				run(w, now, 500*time.Millisecond, "a0", Failed)
				w.RecordCall(*now, *now, "a3", Accepted)
				w.RecordCall(*now, *now, "a0", Failed)
				w.RecordCall(*now, *now, "a0", Failed)
			}
		}, Degraded, "calls failed", false},
		{"its relays are away, its endpoints answer", func(w *Watch, now *Time) { w.SetRelayCounts("a", 4, 1); run(w, now, 5*s, "a0", Accepted) }, Degraded, "3 of 4 relays are away", false},
		{"others get through all the time", func(w *Watch, now *Time) {
			for range 12 {
				run(w, now, 500*time.Millisecond, "a0", Failed)
				w.ApplyFleetStats(*now+3*s, []policy.RouteStats{{Destination: 2, Accepted: 1}}) // news of what comes after this relay's first failure
			}
		}, Degraded, "cut off from here alone", false},
	} {
		w, now := watched(), Time(0)
		c.do(w, &now)
		st := w.Statuses()[0]
		if w.State("a") != c.want || !strings.Contains(st.Why, c.why) || st.MaybePartitioned != c.cut || w.State("b") != Healthy || w.State("nowhere") != Healthy {
			t.Errorf("%s: %+v", c.name, st)
		}
	}
}

// A zone that has relays only goes by these.
func TestZoneWithoutEndpoints(t *testing.T) {
	w := watched()
	for i := range 6 {
		w.ApplyEndpointList(policy.EndpointListUpdate{Entries: []policy.Endpoint{{Address: fmt.Sprint("c", i), Zone: "c", State: policy.Removed}}})
	}
	if n := w.Statuses()[2].Endpoints; n != 0 {
		t.Fatalf("%d endpoints left", n)
	}
	w.SetRelayCounts("c", 4, 0)
	if w.Tick(s); w.State("c") != Lost {
		t.Error("all of its relays are away")
	}
	w.SetRelayCounts("c", 4, 1)
	if w.Tick(2 * s); w.State("c") != Healthy {
		t.Error("a relay is back")
	}
}

func lose(w *Watch, now *Time) {
	w.SetRelayCounts("a", 4, 0)
	run(w, now, 3*s, "a0", Failed)
}

// The return: by steps while calls are taken, not below what is proved, lower and slower after a fresh failure, and never longer than bounded for one that serves.
func TestReturn(t *testing.T) {
	w, now := watched(), Time(0)
	lose(w, &now)
	if w.State("a") != Lost || w.LoadFraction("a") != 0 || !w.SiteLost() {
		t.Fatal("not lost")
	}
	w.RecordCall(now, now, "a0", Accepted)
	if w.State("a") != Returning || w.LoadFraction("a") != firstLevel {
		t.Fatalf("%v at %v", w.State("a"), w.LoadFraction("a"))
	}
	if got := w.Changes(); len(got) != 3 || got[2].PolicyUpdate(w).ReturnedZone != "a" || got[1].PolicyUpdate(w).ReturnedZone != "" {
		t.Errorf("changes %+v", got)
	}
	run(w, &now, 5*s, "a0", Accepted)
	half := w.LoadFraction("a")
	if half < 0.5 || half > 0.7 {
		t.Errorf("level %v after half of the ramp", half)
	}
	w.RecordCall(now, w.Statuses()[0].Since-s, "a0", Failed) // it began before the return
	w.RecordCall(now, w.Statuses()[0].Since-s, "a0", Failed)
	if run(w, &now, 250*time.Millisecond, "", Accepted); w.LoadFraction("a") < half {
		t.Error("what began before the return counts against it")
	}
	for range 3 {
		w.RecordCall(now, now, "a0", Failed)
	}
	w.RecordCall(now, now, "a3", Accepted)
	run(w, &now, 250*time.Millisecond, "", Accepted)
	if l := w.LoadFraction("a"); w.State("a") != Returning || l > half*0.6 || l < half*0.4 {
		t.Errorf("after a fresh failure %v at %v, %v before", w.State("a"), l, half)
	}
	run(w, &now, 5*s, "a0", Accepted)
	if l := w.LoadFraction("a"); l > half*0.6+5.0/20+0.05 {
		t.Errorf("no slower the second time: %v", l)
	}
	lose(w, &now)
	if w.State("a") != Lost {
		t.Fatal("dark in its ramp, and not lost")
	}
	if w.RecordCall(now, now, "a0", Accepted); w.State("a") == Returning && now < w.by["a"].holdTil {
		t.Error("tried again at once")
	}
	// However often it flapped: one that answers all is whole within the hold and the slowest ramp.
	for range 9 {
		run(w, &now, 9*s, "a0", Accepted)
		lose(w, &now)
	}
	w.SetRelayCounts("a", 4, 4)
	run(w, &now, holdMost+slowest*10*s+2*s, "a0", Accepted)
	if w.State("a") != Healthy || w.LoadFraction("a") != 1 || w.SiteLost() {
		t.Errorf("%+v", w.Statuses()[0])
	}
}

// A returning site has its part of the calls, by how many endpoints of a destination are there; charges wait until half of it is proved. What is there alone is bound by its own ramp.
func TestPartOfCalls(t *testing.T) {
	w, now := watched(), Time(0)
	lose(w, &now)
	if w.Allows(1, "a", true) || !w.Allows(2, "a", true) || !w.Allows(1, "b", true) || w.EndpointCost("b") != 0 || w.EndpointCost("c") <= 0 {
		t.Error("lost: who may go where")
	}
	w.RecordCall(now, now, "a0", Accepted)
	w.by["a"].level = 0.3
	there := 0
	for range 1000 {
		zone := "b"
		if w.Allows(1, "a", false) {
			zone = "a"
			there++
		}
		if w.Allows(1, "a", true) {
			t.Fatal("a charge goes to what is not proved")
		}
		w.CallSent(1, zone)
	}
	if there < 95 || there > 105 { // a third of the endpoints, at 0.3
		t.Errorf("%d of 1000 calls", there)
	}
	w.by["a"].level, w.by["a"].credit = 0.6, 1
	if !w.Allows(1, "a", true) {
		t.Error("no charge goes to what is proved")
	}
}

// The whole fleet tries a lost site at one rate, whatever its size, and never with charges.
func TestTries(t *testing.T) {
	for _, each := range []int{1, 27, 100} {
		tries := 0
		for n := range 2 * each {
			plan := watched().plan
			w := NewWatch(plan, "b", int64(n))
			w.ApplyEndpointList(policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: []policy.Endpoint{{Address: "a0", Destination: 1, Zone: "a"}, {Address: "b0", Destination: 1, Zone: "b"}}})
			w.SetRelayCounts("a", each, 0)
			w.SetRelayCounts("b", each-1, each-1)
			w.SetRelayCounts("c", each, each)
			w.SetManuallyOut(0, "a", true)
			w.by["a"].out = false // lost, and not by hand
			now := Time(0)
			for now < 300*s {
				now += 250 * time.Millisecond
				if w.Tick(now); w.Allows(1, "a", false) {
					if w.Allows(1, "a", true) || w.EndpointCost("a") != dueCost {
						t.Fatal("a charge, or not the first choice")
					}
					w.CallSent(1, "a")
					w.RecordCall(now, now, "a0", Failed)
					tries++
				}
			}
		}
		if tries < 400 || tries > 800 { // two a second
			t.Errorf("%d relays: %d tries in 300 s", 2*each, tries)
		}
	}
}

// Spill and own calls together stay within what the plan leaves to a site, over all relays, and fall where it refuses.
func TestSpillIsBounded(t *testing.T) {
	p := watched().plan
	p.Destinations = []Destination{{1, map[string]float64{"a": 100, "b": 100, "c": 100}, map[string]map[string]float64{"a": {"alert": 60}, "b": {"alert": 60}, "c": {"alert": 80}}}}
	sum := map[string]float64{}
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
		w.Tick(10 * s)
		for _, st := range w.Statuses() {
			sum[st.Zone] += st.MaxSpillRate
		}
		if first == nil {
			first = w
		}
	}
	if b, c := sum["b"], sum["c"]; sum["a"] != 0 || b < 60 || b > uneven*100 || c < 80 || c > uneven*100 {
		t.Errorf("%v may go there from all", sum)
	}
	was := first.Statuses()[2].MaxSpillRate
	now := 10 * s
	for range 40 {
		now += 250 * time.Millisecond
		first.recent("c", counts{taken: 1, refused: 2})
		first.Tick(now)
	}
	if is := first.Statuses()[2].MaxSpillRate; is >= was || is <= 0 {
		t.Errorf("%v before refusals, %v after", was, is)
	}
	sent := 0
	for range 200 { // a burst meets the bound
		if first.Allows(1, "c", false) {
			first.CallSent(1, "c")
			sent++
		}
	}
	if sent > 4 {
		t.Errorf("%d calls at once", sent)
	}
}

// recent books calls without their endpoint.
func (w *Watch) recent(zone string, c counts) { w.by[zone].recent[0].add(c) }

// A plan that is read again as it was is no other plan.
func TestKeeps(t *testing.T) {
	w, same := watched(), watched().plan
	if !w.HasPlan(same, "b") || w.HasPlan(same, "a") || w.HasPlan(nil, "b") {
		t.Error("the same plan is another, or another the same")
	}
	if same.Ramp++; w.HasPlan(same, "b") {
		t.Error("another ramp is the same plan")
	}
}

// Out by hand: nothing goes there, nothing is tried, and it comes back by the ramp.
func TestByHand(t *testing.T) {
	w, now := watched(), Time(0)
	if w.SetManuallyOut(now, "z", true) || !w.SetManuallyOut(now, "a", true) || !w.Statuses()[0].ManuallyOut {
		t.Fatal("not taken out")
	}
	run(w, &now, 30*s, "a0", Accepted) // calls that are out end well
	if w.State("a") != Lost || w.Allows(1, "a", false) || w.Allows(2, "a", false) {
		t.Error("it is in again")
	}
	if _, says := w.OwnReport("a"); says {
		t.Error("others are told of what one operator did at one relay")
	}
	w.SetManuallyOut(now, "a", false)
	if w.State("a") != Returning || w.LoadFraction("a") != firstLevel {
		t.Errorf("%v at %v", w.State("a"), w.LoadFraction("a"))
	}
}

// Order of refusal, attempts and words.
func TestWhileLost(t *testing.T) {
	w, now := watched(), Time(0)
	if w.ShedPriority("alert") != 0 || w.MaxAttempts(1, 6) != 6 || w.SiteLost() {
		t.Error("nothing is lost")
	}
	lose(w, &now)
	if !(w.ShedPriority("unnamed") > w.ShedPriority("alert") && w.ShedPriority("alert") > w.ShedPriority("order") && w.ShedPriority("order") > w.ShedPriority("charge") && w.ShedPriority("charge") == 0) || w.MaxAttempts(1, 6) != 3 || w.MaxAttempts(1, 1) != 1 || w.MaxAttempts(2, 6) != 6 {
		t.Error("order or attempts")
	}
	if l, ok := w.OwnReport("a"); !ok || l != 0 {
		t.Errorf("says %v, %v", l, ok)
	}
	if _, ok := w.OwnReport("b"); ok {
		t.Error("says something of what is whole")
	}
	// Others get through: it is given what they give it, and they may be followed without a call of its own.
	w.SetPeerReports("a", 0, []float64{0.2})
	if run(w, &now, s, "", Accepted); w.State("a") != Lost {
		t.Error("one voice is enough")
	}
	w.SetPeerReports("a", 0, []float64{0.2, 0.4, 0.9})
	if run(w, &now, s, "", Accepted); w.State("a") != Returning || w.LoadFraction("a") < 0.4 || w.LoadFraction("a") > 0.6 {
		t.Errorf("%+v", w.Statuses()[0])
	}
	if _, ok := w.OwnReport("a"); ok {
		t.Error("passes on what it has not seen itself")
	}
	// A relay that has just started hears that it was lost: what is there alone is cold to it.
	young := watched()
	young.SetPeerReports("a", voices, nil)
	young.Tick(s)
	if c := young.Changes(); len(c) != 1 || c[0].PolicyUpdate(young).ColdZone != "a" || young.State("a") != Healthy {
		t.Errorf("%+v", c)
	}
}

// Whatever happens: levels are parts, only known steps are made, an endpoint of a site that is not lost is never shut out for good, and what serves is whole again in bounded time.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := watched(), Time(0)
		was := map[string]State{}
		may := map[[2]State]bool{{Healthy, Degraded}: true, {Healthy, Lost}: true, {Degraded, Healthy}: true, {Degraded, Lost}: true, {Lost, Returning}: true, {Returning, Lost}: true, {Returning, Healthy}: true, {Returning, Returning}: true,
			{Healthy, Healthy}: true, {Lost, Lost}: true} // others' word, and an operator's
		look := func() {
			for _, c := range w.Changes() {
				if c.From != was[c.Zone] || !may[[2]State{c.From, c.To}] {
					t.Fatalf("%v -> %v, it was %v", c.From, c.To, was[c.Zone])
				}
				was[c.Zone] = c.To
			}
			lossy := false
			for _, st := range w.Statuses() {
				if st.LoadFraction < 0 || st.LoadFraction > 1 || st.MaxSpillRate < 0 {
					t.Fatalf("%+v", st)
				}
				lossy = lossy || st.State == "lost" || st.State == "returning"
				if st.ManuallyOut && w.Allows(1, st.Zone, false) {
					t.Fatal("out, and open")
				}
			}
			if lossy != w.SiteLost() {
				t.Fatalf("lossy %v: %+v", w.SiteLost(), w.Statuses())
			}
			if !lossy && !(w.Allows(1, "a", true) && w.Allows(1, "b", true) && w.MaxAttempts(1, 6) == 6) {
				t.Fatal("nothing is lost, and something is shut")
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			z := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				run(w, &now, time.Duration(rapid.IntRange(1, 16).Draw(t, "quarters"))*250*time.Millisecond, z+map[string]string{"a": "0", "b": "1", "c": "2"}[z], CallOutcome(rapid.IntRange(0, 3).Draw(t, "end")))
			case 3:
				w.SetRelayCounts(z, 4, rapid.IntRange(0, 4).Draw(t, "alive"))
			case 4:
				w.SetPeerReports(z, rapid.IntRange(0, 3).Draw(t, "lost"), []float64{0.5, 0.9, 1}[:rapid.IntRange(0, 3).Draw(t, "levels")])
			case 5:
				w.SetManuallyOut(now, z, rapid.Bool().Draw(t, "out"))
			case 6:
				w.ApplyFleetStats(now, []policy.RouteStats{{Destination: 2, Accepted: float64(rapid.IntRange(0, 1).Draw(t, "taken")), Failed: 1, Reporters: 2}})
			}
			look()
		}
		for _, z := range []string{"a", "b", "c"} {
			w.SetManuallyOut(now, z, false)
			w.SetRelayCounts(z, 4, 4)
			w.SetPeerReports(z, 0, nil)
		}
		for range int((holdMost + slowest*10*s + 8*s) / (500 * time.Millisecond)) {
			for _, a := range []string{"a0", "b1", "c2"} {
				w.RecordCall(now, now, a, Accepted)
			}
			run(w, &now, 500*time.Millisecond, "", Accepted)
		}
		look()
		for _, st := range w.Statuses() {
			if st.State != "whole" {
				t.Fatalf("serves all, and is %+v", st)
			}
		}
	})
}
