package peers

import (
	"testing"
	"time"

	"oatfold/internal/choice"
	"oatfold/policy"
)

// gossiperWithChoices returns relay 0 of ten, with all members alive and all choices shared.
func gossiperWithChoices(t *testing.T) *Gossiper {
	t.Helper()
	g := fleetWithMembership(10)[0]
	g.EnableChoices(choice.Options{SubsetSize: 2, TimeSlots: true, DemandShares: true, Signals: true})
	return g
}

// receiveCounts delivers a report of another relay about destination 7.
func receiveCounts(t *testing.T, g *Gossiper, from int, now time.Duration, c DestinationCounts) {
	t.Helper()
	payload := encodeReport(1, uint16(now/time.Millisecond),
		report{span: time.Second, counts: map[int]DestinationCounts{7: c}}, MaxDatagramBytes)
	if err := g.ReceiveCounts(now, from, payload); err != nil {
		t.Fatal(err)
	}
}

// averageOf7 returns the fleet average of destination 7.
func averageOf7(g *Gossiper, now time.Duration) (u policy.RouteStats) {
	for _, u = range g.FleetAverages(now, time.UnixMilli(now.Milliseconds())) {
		if u.Destination == 7 {
			return u
		}
	}
	return policy.RouteStats{}
}

// Retry-After times are sent in a form of their own, count down, need a second relay to be
// believed in full, and leave the old form in use where there are none.
func TestRetryAfterIsShared(t *testing.T) {
	g := gossiperWithChoices(t)
	g.RecordRetryAfter(0, 7, 200*time.Millisecond) // too short to be shared
	g.RecordArrival(7)
	if payload, _ := g.Report(g.nextRound); payload[0] != formCounts {
		t.Errorf("form %d without a Retry-After", payload[0])
	}
	now := g.nextRound
	g.RecordRetryAfter(now-time.Second, 7, 4*time.Second)
	g.RecordArrival(7)
	payload, _ := g.Report(now)
	_, _, r, err := decodeReport(payload)
	if err != nil || payload[0] != formRetryAfter ||
		r.counts[7].RetryAfter.Round(100*time.Millisecond) != 3*time.Second {
		t.Fatalf("form %d, %+v, %v", payload[0], r.counts, err)
	}
	q := gossiperWithChoices(t)
	for from, wait := range []time.Duration{0, 3 * time.Second, time.Hour, 0, 0, 0} {
		if from > 0 {
			receiveCounts(t, q, from, time.Second,
				DestinationCounts{Arrived: 1, RetryAfter: min(wait, 900*time.Second)})
		}
	}
	if u := averageOf7(q, 1500*time.Millisecond); u.RetryAfter != 2500*time.Millisecond {
		t.Errorf("two relays reported 3 s half a second ago: %v", u.RetryAfter)
	}
	if u := averageOf7(q, 1500*time.Millisecond); u.RetryAfter > 2500*time.Millisecond {
		t.Errorf("Retry-After grows: %v", u.RetryAfter)
	}
	// A relay's own Retry-After does not enter its average.
	q.RecordRetryAfter(time.Second, 7, 9*time.Second)
	q.Report(1600 * time.Millisecond)
	if u := averageOf7(q, 1600*time.Millisecond); u.RetryAfter != 2400*time.Millisecond {
		t.Errorf("own Retry-After in the average: %v", u.RetryAfter)
	}
}

// A failure is repeated in reports while it is the latest result here, for a limited time, and
// until other relays get through.
func TestFailuresAreRepeated(t *testing.T) {
	reportedFailures := func(g *Gossiper) int {
		g.RecordArrival(9)
		payload, _ := g.Report(g.nextRound)
		_, _, r, err := decodeReport(payload)
		if err != nil {
			t.Fatal(err)
		}
		return r.counts[7].Failed
	}
	withFailures := func() *Gossiper {
		g := gossiperWithChoices(t)
		g.RecordCall(7, Failed)
		g.RecordCall(7, Failed)
		if n := reportedFailures(g); n != 2 {
			t.Fatalf("%d of 2 failures reported", n)
		}
		return g
	}
	g := withFailures()
	for range 8 {
		if n := reportedFailures(g); n != 1 {
			t.Fatalf("repeated as %d failures", n)
		}
	}
	if g.nextRound += failureRepeatTime; reportedFailures(g) != 0 {
		t.Error("repeated without end")
	}
	g = withFailures()
	g.RecordCall(7, Accepted)
	for range 2 {
		if reportedFailures(g) != 0 {
			t.Error("repeated after an accepted call")
		}
	}
	g = withFailures()
	for from := 1; from < 6; from++ {
		receiveCounts(t, g, from, g.nextRound, DestinationCounts{Arrived: 1, Accepted: min(1, from/5)})
	}
	if averageOf7(g, g.nextRound); reportedFailures(g) != 0 {
		t.Error("repeated although other relays get through")
	}
	g = withFailures()
	if g.choices.options.Signals = false; reportedFailures(g) != 0 {
		t.Error("repeated though signals are not shared")
	}
}

// A relay that reports thousands of failed calls does not outweigh nine whose calls are accepted.
func TestExaggeratingReporterCountsOnce(t *testing.T) {
	for _, signals := range []bool{false, true} {
		g := gossiperWithChoices(t)
		g.choices.options.Signals = signals
		for from := 1; from < 10; from++ {
			c := DestinationCounts{Arrived: 2, Accepted: 2}
			if from == 9 {
				c = DestinationCounts{Failed: 9999}
			}
			receiveCounts(t, g, from, time.Second, c)
		}
		u := averageOf7(g, time.Second)
		if drowned := u.Failed > u.Accepted; drowned == signals || signals && u.Reporters != 1 {
			t.Errorf("signals %v: %+v", signals, u)
		}
	}
}

// A relay with little demand has a small share, but announces the full rate.
func TestShareFollowsDemand(t *testing.T) {
	g := gossiperWithChoices(t)
	for from := 1; from < 10; from++ {
		receiveCounts(t, g, from, time.Second, DestinationCounts{Arrived: 9, Accepted: 4, Rejected: 4, Allowed: 2})
	}
	u := averageOf7(g, time.Second)
	if own := g.allowances[7].rate; own <= 0 || u.Allowance != own*0.25 {
		t.Errorf("allowed %.2f, rate %.2f", u.Allowance, own)
	}
}

// Subsets follow endpoints and members, and are sent again on request. Time slots apply once
// places are known.
func TestSubsetsAndTimeSlots(t *testing.T) {
	g := gossiperWithChoices(t)
	var list []policy.Endpoint
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, policy.Endpoint{Address: a, Destination: 7})
	}
	g.UpdateEndpoints(policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: list})
	s := g.ChangedSubsets(time.Second)
	if len(s) != 1 || s[0].Destination != 7 || len(s[0].Endpoints) != 3 || len(g.ChangedSubsets(2*time.Second)) > 0 {
		t.Fatalf("%+v", s)
	}
	g.ResendSubsets()
	if again := g.ChangedSubsets(2 * time.Second); len(again) != 1 || again[0].Endpoints[0] != s[0].Endpoints[0] {
		t.Errorf("sent again: %+v", again)
	}
	if place, live := g.Place(); place != 0 || live != 10 {
		t.Errorf("place %d of %d", place, live)
	}
	held := 0
	for e := range 60 {
		now := time.Second + time.Duration(e)*choice.SlotDuration
		for from := 1; from < 6; from++ {
			// Two relays report failures.
			receiveCounts(t, g, from, now, DestinationCounts{Arrived: 9, Failed: from / 4})
		}
		if !averageOf7(g, now).OthersProbe {
			held++
		}
	}
	if held < 3 || held > 30 {
		t.Errorf("one of ten relays holds a slot of two in %d of 60 slots", held)
	}
	// One accepted call ends the outage; a single reporter does not start one.
	now := 200 * time.Second
	receiveCounts(t, g, 1, now, DestinationCounts{Arrived: 9, Accepted: 1})
	for from := 2; from < 6; from++ {
		receiveCounts(t, g, from, now, DestinationCounts{Arrived: 9, Failed: from / 5})
	}
	if u := averageOf7(g, now); u.OthersProbe {
		t.Error("down although a call was accepted")
	}
	for e := range 20 {
		now += 2 * reportLifetime
		for from := 1; from < 6; from++ {
			receiveCounts(t, g, from, now, DestinationCounts{Arrived: 9, Failed: from / 5})
		}
		if u := averageOf7(g, now); u.OthersProbe {
			t.Errorf("a single reporter started an outage in round %d", e)
		}
	}
	if n := len(g.DestinationStatuses()); n != 1 {
		t.Errorf("status of %d destinations", n)
	}
	// Without membership nothing is shared.
	q := New(0, 10, 1)
	if q.EnableChoices(choice.Options{SubsetSize: 2, TimeSlots: true}); q.Choices().Any() ||
		q.ChangedSubsets(time.Second) != nil {
		t.Error("choices without membership")
	}
}

// Site reports go to a few others in a message of bounded size. They expire, the latest of each
// relay replaces earlier ones, and malformed ones are rejected.
func TestSiteReports(t *testing.T) {
	all := fleetWithMembership(10)
	g, q := all[0], all[1]
	payloads := func(g *Gossiper, now time.Duration) (all [][]byte) {
		for _, o := range g.siteDatagrams() {
			if o.Payload[0] == formSites && o.To != g.self {
				all = append(all, o.Payload)
			}
		}
		return all
	}
	if n := len(payloads(g, 0)); n != 0 {
		t.Fatalf("%d messages without reports", n)
	}
	g.SetSiteReports([]SiteReport{{Zone: 2, LoadFraction: 0}, {Zone: 1, LoadFraction: 0.25}})
	first, second := payloads(g, 0), payloads(g, time.Second)
	if len(first) == 0 || len(first) > siteFanout || len(first[0]) > MaxDatagramBytes {
		t.Fatalf("%d messages", len(first))
	}
	received := func(now time.Duration) (all []SiteReport) {
		q.EachSiteReport(now, func(w SiteReport) { all = append(all, w) })
		return all
	}
	if _, err := q.Receive(time.Second, 0, second[0]); err != nil || len(received(time.Second)) != 2 ||
		received(time.Second)[1].LoadFraction != 0.25 || received(time.Second)[0] != (SiteReport{2, 0}) {
		t.Fatalf("received %v, %v", received(time.Second), err)
	}
	for name, payload := range map[string][]byte{
		"late":  first[0],
		"twice": second[0],
		"half":  second[0][:5],
		"short": second[0][:3],
		"over":  {formSites, 1, 9, 9, 1, 201},
		"long":  make([]byte, 200),
	} {
		if name == "long" {
			payload[0] = formSites
		}
		if _, err := q.Receive(2*time.Second, 0, payload); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := q.Receive(2*time.Second, 99, second[0]); err == nil {
		t.Error("accepted from outside the fleet")
	}
	if n := len(received(time.Second + siteReportLifetime)); n != 2 {
		t.Errorf("%d reports within their lifetime", n)
	}
	if n := len(received(2*time.Second + siteReportLifetime)); n != 0 || len(q.sites.received) != 0 {
		t.Errorf("%d reports after their lifetime", n)
	}
}
