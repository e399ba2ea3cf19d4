package peers

import (
	"fmt"
	"testing"
	"time"

	"oatfold/policy"
)

// Route keys are the same at all relays, distinct from destination numbers, and short enough that
// many fit into a message.
func TestRouteKey(t *testing.T) {
	seen := map[int]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i*7919)
		key := RouteKey(id)
		if key != RouteKey(id) || key < routeBase || key >= 2*routeBase {
			t.Fatalf("%s has the key %d", id, key)
		}
		if was := seen[key]; was != "" {
			t.Fatalf("%s and %s share the key %d", id, was, key)
		}
		seen[key] = id
	}
	g := New(0, 80, 1)
	for id := range 30 {
		g.RecordCall(RouteKey(fmt.Sprintf("s-%08x", id)), Rejected)
	}
	payload, _ := g.Report(g.NextTick())
	if _, _, r, err := decodeReport(payload); err != nil || len(r.counts) != 30 {
		t.Fatalf("%d of 30 routes reported in %d bytes, %v", len(r.counts), len(payload), err)
	}
}

// At a limit of a few calls per second no single round has enough calls: they add up since the
// last change of the rate.
func TestFewCallsAreAddedUp(t *testing.T) {
	a, now := &allowance{}, time.Duration(0)
	update := func(accepted, rejected int) float64 {
		now += settleTime
		a.recordCalls(now-settleTime/2, DestinationCounts{Accepted: accepted, Rejected: rejected})
		span := settleTime.Seconds()
		return a.update(now, policy.RouteStats{
			Accepted: float64(accepted) / span,
			Rejected: float64(rejected) / span,
			Demand:   4,
			Calls:    accepted + rejected,
		}, 0, 0, false)
	}
	for range 2 {
		if update(1, 1) != 0 {
			t.Fatal("reduced after four calls")
		}
	}
	reduced := update(1, 1)
	if reduced == 0 {
		t.Fatal("not reduced though three of six calls were rejected")
	}
	for range 2 {
		if update(1, 0) != reduced {
			t.Fatal("raised after two calls")
		}
	}
	if update(1, 0) <= reduced {
		t.Fatal("not raised after three accepted calls")
	}
	a.recordCalls(a.reducedAt-1, DestinationCounts{Rejected: 50})
	if a.rejected != 0 {
		t.Fatal("calls made before a reduction count against the new rate")
	}
}
