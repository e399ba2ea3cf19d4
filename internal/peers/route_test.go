package peers

import (
	"fmt"
	"testing"
	"time"

	"oatfold/policy"
)

// Numbers of routes are alike at all relays, unlike those of destinations, and short enough for a note.
func TestRouteKey(t *testing.T) {
	seen := map[int]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i*7919)
		key := RouteKey(id)
		if key != RouteKey(id) || key < routeBase || key >= 2*routeBase {
			t.Fatalf("%s has the number %d", id, key)
		}
		if was := seen[key]; was != "" {
			t.Fatalf("%s and %s share the number %d", id, was, key)
		}
		seen[key] = id
	}
	p := New(0, 80, 1)
	for id := range 30 {
		p.RecordCall(RouteKey(fmt.Sprintf("s-%08x", id)), Rejected)
	}
	note, _ := p.Report(p.NextTick())
	if _, _, a, err := decode(note); err != nil || len(a.counts) != 30 {
		t.Fatalf("%d of 30 routes told in %d bytes, %v", len(a.counts), len(note), err)
	}
}

// Where a limit is a few calls a second, no news alone hold enough calls to judge by: they are added up since the last change.
func TestFewCallsAreAddedUp(t *testing.T) {
	p, now := &pace{}, time.Duration(0)
	look := func(taken, refused int) float64 {
		now += settle
		p.book(now-settle/2, DestinationCounts{Accepted: taken, Rejected: refused})
		span := settle.Seconds()
		return p.follow(now, policy.RouteStats{Accepted: float64(taken) / span, Rejected: float64(refused) / span, Demand: 4, Calls: taken + refused}, 0, 0, false)
	}
	for range 2 {
		if look(1, 1) != 0 {
			t.Fatal("cut on four calls")
		}
	}
	cut := look(1, 1)
	if cut == 0 {
		t.Fatal("not cut though three of six calls were refused")
	}
	for range 2 {
		if look(1, 0) != cut {
			t.Fatal("raised on two calls")
		}
	}
	if look(1, 0) <= cut {
		t.Fatal("not raised after three calls that were taken")
	}
	p.book(p.cutAt-1, DestinationCounts{Rejected: 50})
	if p.refused != 0 {
		t.Fatal("calls made before a cut count against what it allows")
	}
}
