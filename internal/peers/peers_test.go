package peers

import (
	"bytes"
	"testing"
	"time"

	"oatfold/policy"
)

const s = time.Second

// fleet returns the gossipers of a fleet.
func fleet(n int) (all []*Gossiper) {
	for i := range n {
		all = append(all, New(i, n, int64(i)+1))
	}
	return all
}

// Reports contain what was recorded, go to distinct other relays, are not sent early, and are
// spread over the round interval.
func TestReport(t *testing.T) {
	firsts := map[time.Duration]bool{}
	for _, g := range fleet(80) {
		firsts[g.NextTick().Truncate(roundInterval/20)] = true
		if payload, to := g.Report(g.NextTick() - 1); payload != nil || to != nil {
			t.Fatal("reported early")
		}
		g.RecordArrival(3)
		g.RecordArrival(3)
		g.RecordCall(3, Accepted)
		g.RecordCall(7, Rejected)
		g.RecordCall(9, Failed)
		at := g.NextTick()
		payload, to := g.Report(at)
		seen := map[int]bool{g.self: true}
		for _, n := range to {
			if seen[n] || n < 0 || n >= 80 {
				t.Fatalf("relay %d reports to %v", g.self, to)
			}
			seen[n] = true
		}
		_, _, r, err := decodeReport(payload)
		if err != nil || len(to) != fanout || r.counts[3] != (DestinationCounts{Arrived: 2, Accepted: 1}) ||
			r.counts[7] != (DestinationCounts{Rejected: 1}) || r.counts[9] != (DestinationCounts{Failed: 1}) {
			t.Fatalf("%v, %v: %+v", to, err, r)
		}
		if gap := g.NextTick() - at; gap < roundInterval/2 || gap > roundInterval*3/2 {
			t.Fatalf("next after %v", gap)
		}
	}
	if len(firsts) < 15 {
		t.Errorf("80 first reports fall into %d of 20 parts of a round", len(firsts))
	}
}

// A report stays within the size limit; what it leaves out does not corrupt the rest.
func TestReportFitsDatagram(t *testing.T) {
	g := New(0, 80, 1)
	for d := range 500 {
		for range 300 {
			g.RecordArrival(d)
		}
		g.RecordCall(d, Failed)
	}
	payload, _ := g.Report(g.NextTick())
	_, _, r, err := decodeReport(payload)
	if len(payload) > MaxDatagramBytes || len(payload) < MaxDatagramBytes-20 || err != nil || len(r.counts) < 30 {
		t.Fatalf("%d bytes, %d destinations, %v", len(payload), len(r.counts), err)
	}
	for d, c := range r.counts {
		if c != (DestinationCounts{Arrived: 300, Failed: 1}) {
			t.Fatalf("destination %d: %+v", d, c)
		}
	}
}

// Outdated, duplicate, foreign, truncated, oversized and malformed reports change nothing; a
// restarted sender is accepted.
func TestReceiveCounts(t *testing.T) {
	all := fleet(9)
	g, from := all[0], all[1]
	from.RecordCall(4, Rejected)
	first, _ := from.Report(from.NextTick())
	from.RecordCall(4, Rejected)
	second, _ := from.Report(from.NextTick())
	restarted := New(1, 9, 77)
	restarted.RecordCall(4, Rejected)
	fresh, _ := restarted.Report(restarted.NextTick())
	entries := func() int { return len(g.reports) }
	for _, c := range []struct {
		name    string
		from    int
		payload []byte
		accept  bool
	}{
		{"newer first", 1, second, true}, {"repeated", 1, second, false},
		{"reordered", 1, first, false}, {"another run", 1, fresh, true},
		{"own number", 0, second, false}, {"unknown sender", 9, second, false}, {"negative sender", -1, second, false},
		{"empty", 2, nil, false}, {"another version", 2, append([]byte{9}, second[1:]...), false},
		{"cut", 2, second[:len(second)-1], false},
		{"257 bytes", 2, append(bytes.Clone(second), make([]byte, 257-len(second))...), false},
		{"duplicate destination", 2, append(bytes.Clone(second), second[5:]...), false},
		{"count out of bounds", 2, append(bytes.Clone(second[:5]), 4, 0xff, 0xff, 0x7f, 0, 0), false},
		{"time span too long", 2, append([]byte{formCounts, 1, 0, 1, 255}, second[5:]...), false},
	} {
		before := entries()
		if err := g.ReceiveCounts(s, c.from, c.payload); (err == nil) != c.accept || (entries() > before) != c.accept {
			t.Errorf("%s: %v, %d entries after %d", c.name, err, entries(), before)
		}
	}
}

// Relays with invalid numbers and small fleets send and receive nothing; stored reports are
// bounded.
func TestNoFleet(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {0, 1}, {0, MinFleetSize - 1}, {-1, 80}, {80, 80}, {3, -5}, {0, 1 << 40}} {
		g := New(c[0], c[1], 1)
		g.RecordArrival(1)
		if payload, to := g.Report(time.Hour); g.Active() || payload != nil || to != nil ||
			g.ReceiveCounts(0, 2, []byte{1}) == nil || g.FleetAverages(time.Hour, time.Time{}) != nil {
			t.Errorf("relay %d of %d is active", c[0], c[1])
		}
	}
	all := fleet(200)
	for now := time.Duration(0); now < 30*s; now += 100 * time.Millisecond {
		for _, g := range all[:20] {
			g.RecordArrival(1)
			payload, _ := g.Report(now)
			if payload != nil {
				all[199].ReceiveCounts(now, g.self, payload)
			}
		}
	}
	if n := len(all[199].reports); n > 120 {
		t.Errorf("%d reports stored", n)
	}
}

// Averages are the mean over the relays with reports, whatever their number; too few give none,
// and old reports expire.
func TestFleetAverages(t *testing.T) {
	all := fleet(80)
	g := all[0]
	for _, o := range all[1:40] {
		for range 4 {
			o.RecordArrival(2)
		}
		o.RecordCall(2, Accepted)
		o.RecordCall(2, Rejected)
		o.ownSince = 0
		o.nextRound = 2 * s
		payload, _ := o.Report(2 * s)
		if o.self == 2 && g.FleetAverages(2*s, time.Time{}) != nil {
			t.Fatal("averages with one reporter")
		}
		if err := g.ReceiveCounts(2*s, o.self, payload); err != nil {
			t.Fatal(err)
		}
	}
	averages := g.FleetAverages(2*s, time.Time{})
	if len(averages) != 1 || averages[0].Demand != 2 || averages[0].Accepted != 0.5 ||
		averages[0].Rejected != 0.5 || averages[0].Calls != 78 {
		t.Fatalf("%+v", averages)
	}
	if averages := g.FleetAverages(2*s+reportLifetime+1, time.Time{}); averages != nil {
		t.Fatalf("expired reports in averages: %+v", averages)
	}
}

// Checks the control rules: no bound without rejections, one proportional reduction until its
// effect is visible, slow raises near the limit, no change in an outage, and no bound when demand
// is far below it.
func TestAllowance(t *testing.T) {
	a := &allowance{}
	now := time.Duration(0)
	update := func(accepted, rejected, failed, demand, others float64, calls int) float64 {
		now += settleTime / 2
		return a.update(now, policy.RouteStats{
			Accepted: accepted, Rejected: rejected, Failed: failed, Demand: demand, Calls: calls,
		}, others, 1, true)
	}
	if update(1, 0, 0, 1, 0, 50) != 0 || update(1, 0, 0, 1, 0.3, 50) != 0 {
		t.Fatal("bound without rejections, or by one other relay")
	}
	if update(0, 1, 0, 1, 0, 1) != 0 {
		t.Fatal("reduced after a single call")
	}
	now = 10 * s
	reduced := update(0.7, 0.3, 0, 1, 0, 50)
	if reduced < 0.69 || reduced > 0.71 {
		t.Fatalf("reduced to %v", reduced)
	}
	if v := update(0.4, 0.3, 0, 1, 0, 50); v != reduced {
		t.Fatalf("reduced again before the first took effect: %v", v)
	}
	now += settleTime
	if v := update(0, 0, 2, 1, 0, 50); v != reduced {
		t.Fatalf("an outage changed the rate to %v", v)
	}
	raised := update(0.7, 0, 0, 1, 0, 50)
	if raised <= reduced*1.1 {
		t.Fatalf("raised to %v", raised)
	}
	for a.rate < nearLimitShare*a.limitEstimate {
		update(a.rate, 0, 0, 1, 0, 50)
	}
	if was := a.rate; update(was, 0, 0, 1, 0, 50) > was*1.05 {
		t.Fatal("raised fast near the limit")
	}
	if was := a.rate; update(0.1*was, 0, 0, 1, 0, 50) != was {
		t.Fatal("raised a rate that is not used")
	}
	if update(0.2, 0, 0, 0.2, 0, 50) == 0 {
		t.Fatal("dropped a bound shortly after a reduction")
	}
	now += minBoundTime
	if update(0.2, 0, 0, 0.2, 0, 50) != 0 {
		t.Fatal("bound though demand is far below it")
	}
	fresh := &allowance{}
	if v := fresh.update(now, policy.RouteStats{
		Accepted: 0.5, Rejected: 0.4, Demand: 1, Calls: 2,
	}, 0.25, 1, true); v != 0.25 {
		t.Fatalf("a new relay starts with %v", v)
	}
	// During an outage and as it ends nothing is rejected: a new relay adopts what several others
	// announce, an older one does not.
	newcomer, settled := &allowance{}, &allowance{}
	for _, u := range []policy.RouteStats{{Failed: 3, Demand: 1, Calls: 9}, {Accepted: 1, Demand: 1, Calls: 9}} {
		if v := settled.update(now, u, 0.25, minAnnouncers, false); v != 0 {
			t.Fatalf("%+v: an older relay is bound to %v", u, v)
		}
		if v := (&allowance{}).update(now, u, 0.25, minAnnouncers-1, true); v != 0 {
			t.Fatalf("%+v: bound to %v by two announcers", u, v)
		}
		if v := newcomer.update(now, u, 0.25, minAnnouncers, true); v != 0.25 {
			t.Fatalf("%+v: a new relay starts with %v", u, v)
		}
	}
	deep := &allowance{}
	if v := deep.update(now, policy.RouteStats{
		Rejected: 4, Demand: 1, Calls: 300,
	}, 0, 0, false); v < 2*0.99 || v > 2.01 {
		t.Fatalf("all rejected: rate %v of 4", v)
	}
}

// Averages cover calls made some rounds ago. The limit estimate has to use the rate of that time,
// or the rate is raised past the limit again once rejections end.
func TestLimitEstimateUsesEarlierRate(t *testing.T) {
	a := &allowance{rate: 0.2, limitEstimate: 5}
	now := 10 * s
	var allowed []float64
	for range 6 {
		allowed = append(allowed, a.rate)
		now += roundInterval
		a.update(now, policy.RouteStats{Accepted: a.rate, Demand: 1, Calls: 50}, 0, 0, false)
	}
	if a.rate < 2*allowed[0] {
		t.Fatalf("raised from %v to %v only", allowed[0], a.rate)
	}
	earlier := allowed[len(allowed)-feedbackRounds+1] // the averages with rejections and the two rounds before
	now += roundInterval
	a.update(now, policy.RouteStats{Accepted: 0.1, Rejected: 0.2, Demand: 1, Calls: 50}, 0, 0, false)
	if a.limitEstimate != earlier {
		t.Errorf("limit estimate %v, want %v; past rates %v", a.limitEstimate, earlier, allowed)
	}
	fresh := &allowance{}
	if fresh.update(now, policy.RouteStats{
		Accepted: 0.5, Rejected: 0.5, Demand: 1, Calls: 50,
	}, 0, 0, false); fresh.limitEstimate != 1 {
		t.Errorf("without an earlier rate the limit estimate is the call rate, not %v", fresh.limitEstimate)
	}
}

// Reports that name ever new destinations take bounded memory, which is freed.
func TestUnknownDestinationsAreBounded(t *testing.T) {
	all := fleet(80)
	g, dest := all[0], 0
	for i := range 60 {
		now := time.Duration(i+1) * 100 * time.Millisecond
		for _, o := range all[1:5] {
			o.ownCounts, o.nextRound = map[int]DestinationCounts{}, now
			for range 40 {
				dest++
				o.RecordCall(dest, Rejected)
			}
			if payload, _ := o.Report(now); g.ReceiveCounts(now, o.self, payload) != nil {
				t.Fatal("a report is rejected")
			}
		}
		g.FleetAverages(now, time.Time{})
	}
	if n := len(g.allowances); n == 0 || n > maxAllowances {
		t.Fatalf("%d allowances stored for %d destinations", n, dest)
	}
	now := 10 * time.Minute
	for _, o := range all[1:5] {
		o.ownCounts, o.nextRound = map[int]DestinationCounts{1: {Accepted: 1}}, now
		payload, _ := o.Report(now)
		g.ReceiveCounts(now, o.self, payload)
	}
	if g.FleetAverages(now, time.Time{}); len(g.allowances) != 1 {
		t.Fatalf("%d allowances stored for one destination", len(g.allowances))
	}
}
