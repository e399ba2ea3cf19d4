package assignment

import (
	"slices"
	"testing"
	"time"
)

// leave lists the relays whose replicas are given to others while they serve.
func leave(members []Member) (relays []Relay) {
	for i, m := range members {
		if m.State == Leaving {
			relays = append(relays, Relay(i))
		}
	}
	return relays
}

// hearAll books that all relays have asked, those listed saying that they leave.
func hearAll(h *RelayHealth, now time.Duration, wish ...Relay) {
	for i := range h.places {
		if r := Relay(i); slices.Contains(wish, r) {
			h.RecordLeaving(r, now)
		} else {
			h.RecordContact(r, now)
		}
	}
}

// A relay that leaves is given up at once, and one that changes its mind gets replicas again.
func TestLeaveAndStayAfterAll(t *testing.T) {
	h := NewRelayHealth(places(40, 2), nil, 0)
	hearAll(h, 0)
	hearAll(h, time.Second, 6)
	if got := leave(h.Members(time.Second)); !slices.Equal(got, []Relay{6}) {
		t.Fatalf("given up: %v", got)
	}
	// A machine that was asked before tells later.
	h.RecordContact(6, 2*time.Second)
	if got := leave(h.Members(2 * time.Second)); !slices.Equal(got, []Relay{6}) {
		t.Errorf("behind an older report: %v", got)
	}
	h.RecordLeaving(6, 1500*time.Millisecond) // and another one tells of the leave
	for now := 2 * time.Second; now < 1500*time.Millisecond+awayAfter; now += time.Second {
		hearAll(h, now)
		if got := leave(h.Members(now)); !slices.Equal(got, []Relay{6}) {
			t.Errorf("at %v: %v", now, got)
		}
	}
	hearAll(h, 1500*time.Millisecond+awayAfter)
	if got := leave(h.Members(1500*time.Millisecond + awayAfter)); len(got) > 0 {
		t.Errorf("stays after all: %v", got)
	}
	h.RecordLeaving(40, time.Minute) // no relay's number
}

// Of a zone an eighth leaves at a time, and the next ones a minute later; a zone of few relays empties one by one.
func TestLeavesOfAZone(t *testing.T) {
	for _, c := range []struct{ relays, first, second int }{{64, 4, 8}, {8, 1, 2}} {
		at := places(c.relays, 2)
		var zone []Relay
		for i, m := range at {
			if m.Zone == 1 {
				zone = append(zone, Relay(i))
			}
		}
		h := NewRelayHealth(at, nil, 0)
		hearAll(h, 0)
		var most int
		for now := time.Second; now < goneAfter; now += time.Second {
			hearAll(h, now, zone...)
			most = max(most, len(leave(h.Members(now))))
		}
		if most != c.first {
			t.Errorf("%d of %d relays of a zone leave in the first minute, want %d", most, len(zone), c.first)
		}
		for now := goneAfter; now < 2*goneAfter; now += time.Second {
			hearAll(h, now, zone...)
			most = max(most, len(leave(h.Members(now))))
		}
		if most != c.second {
			t.Errorf("%d of %d in two minutes, want %d", most, len(zone), c.second)
		}
	}
}

// One that was away already when it was to leave is taken for lost, not for leaving.
func TestAwayIsNotLeaving(t *testing.T) {
	h := NewRelayHealth(places(40, 2), nil, 0)
	hearAll(h, 0)
	h.RecordLeaving(6, time.Second)
	for i := range 40 {
		if i != 6 {
			h.RecordContact(Relay(i), 30*time.Second)
		}
	}
	if m := h.Members(30 * time.Second); m[6].State != Unreachable {
		t.Errorf("state %v", m[6].State)
	}
}

// What one control machine is asked reaches the publisher with its next report, a leave and its end.
func TestLeaveIsReported(t *testing.T) {
	const publisher, other = 0, 1
	at := places(40, 2)
	controls := make([]*ControlNode, 2)
	for i := range controls {
		r, err := NewRegister(i, len(controls), testKey, 1, PersistentState{})
		if err != nil {
			t.Fatal(err)
		}
		controls[i] = NewControlNode(r, small, at, testKey)
	}
	controls[publisher].health = NewRelayHealth(at, nil, 0)
	controls[other].register.publisher = publisher
	for step, wish := range []bool{true, false, true} {
		now := time.Duration(step+1) * 10 * time.Second
		for r := range Relay(len(at)) {
			controls[other].Answer(now, SliceRequest{Relay: r, Leaving: r == 7})
			controls[other].Answer(now, SliceRequest{Relay: r, Leaving: r == 7 && wish}) // the last question counts
		}
		reports := controls[other].report(now)
		if len(reports) != 1 || reports[0].To != publisher {
			t.Fatalf("reports %v", reports)
		}
		controls[publisher].Receive(now, other, reports[0].Message)
		want := []Relay(nil)
		if wish {
			want = []Relay{7}
		}
		if got := leave(controls[publisher].health.Members(now)); !slices.Equal(got, want) {
			t.Errorf("step %d: given up %v, want %v", step, got, want)
		}
	}
	// A report of a machine that knows of no leaves tells who was heard.
	controls[publisher].Receive(time.Minute, other, ContactReport{Relays: []uint64{1 << 7}})
	if got := controls[publisher].health.heardAt[7]; got != time.Minute {
		t.Errorf("heard at %v", got)
	}
}

// A relay that leaves may go once it has no replicas, and not before it has said so.
func TestReleased(t *testing.T) {
	at := places(40, 2)
	first := mustPlan(t, small, nil, at)
	f := NewFollower(1, 3, testKey)
	if f.SetLeaving(true); f.Released() {
		t.Error("it goes before it knows what it serves")
	}
	if _, err := f.HandleAnswer(0, first.Slice(3).Encode(testKey)); err != nil || f.Released() {
		t.Errorf("it goes with replicas: %v", err)
	}
	if ask, due := f.Poll(time.Second); !due || !ask.Leaving {
		t.Errorf("it asks %+v", ask)
	}
	at[3].State = Leaving
	next := mustPlan(t, small, first, at)
	next.Version = Version{first.Version.Term, first.Version.Number + 1}
	if _, err := f.HandleAnswer(time.Second, next.Slice(3).Encode(testKey)); err != nil || !f.Released() {
		t.Errorf("it stays without replicas: %v", err)
	}
	if f.SetLeaving(false); f.Released() {
		t.Error("it goes though it was not to")
	}
}

// oneMoves checks that each partition has all replicas of the map before but one at most.
func oneMoves(t *testing.T, before, next *Map) {
	t.Helper()
	for p := range Partition(small.Partitions) {
		kept := 0
		for _, r := range before.Replicas(p) {
			if next.Serves(r, p) {
				kept++
			}
		}
		if kept < small.Replicas-1 {
			t.Fatalf("partition %d kept %d of %v: %v", p, kept, before.Replicas(p), next.Replicas(p))
		}
	}
}

// Of the replicas of a partition that leave, one is given to another relay with each map; where nobody else is there, they stay.
func TestOneReplicaLeavesWithAMap(t *testing.T) {
	at := places(40, 2)
	m := mustPlan(t, small, nil, at)
	both := m.Replicas(0)[:2]
	for _, r := range both {
		at[r].State = Leaving
	}
	for range both {
		next := mustPlan(t, small, m, at)
		oneMoves(t, m, next)
		m = next
	}
	for p := range Partition(small.Partitions) {
		if m.Serves(both[0], p) || m.Serves(both[1], p) {
			t.Errorf("partition %d still has %v", p, m.Replicas(p))
		}
	}
	few := places(small.Replicas, 2)
	for i := range few {
		few[i].State = Leaving
	}
	if _, err := Plan(small, nil, few, nil); err != nil {
		t.Errorf("all that are there leave: %v", err)
	}
}

// A publisher that has just begun gives nothing more to relays that it has not heard of yet, and takes nothing from them.
func TestNewPublisherWaitsForWord(t *testing.T) {
	at := places(40, 2)
	latest := mustPlan(t, small, nil, at)
	h := NewRelayHealth(at, latest, 0)
	for r := range Relay(20) {
		h.RecordContact(r, time.Second)
	}
	for i, m := range h.Members(time.Second) {
		if want := map[bool]State{true: Live, false: Unreachable}[i < 20]; m.State != want {
			t.Errorf("relay %d is %v, want %v", i, m.State, want)
		}
	}
}

// Relays that come back take one replica of a partition at a time from others.
func TestBalanceTakesOneReplicaOfAPartition(t *testing.T) {
	at := places(40, 2)
	for i := range 16 {
		at[i].State = Removed
	}
	m := mustPlan(t, small, nil, at)
	for i := range 16 {
		at[i].State = Live
	}
	next := mustPlan(t, small, m, at)
	if next.CountMoved(m) == 0 {
		t.Fatal("nothing moves to those that came back")
	}
	oneMoves(t, m, next)
}
