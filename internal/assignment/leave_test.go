package assignment

import (
	"slices"
	"testing"
	"time"
)

// leavingRelays returns the relays whose state is Leaving.
func leavingRelays(members []Member) (relays []Relay) {
	for i, m := range members {
		if m.State == Leaving {
			relays = append(relays, Relay(i))
		}
	}
	return relays
}

// contactAll records contact of all relays, of those listed with a request to leave.
func contactAll(h *RelayHealth, now time.Duration, leaving ...Relay) {
	for i := range h.locations {
		if r := Relay(i); slices.Contains(leaving, r) {
			h.RecordLeaving(r, now)
		} else {
			h.RecordContact(r, now)
		}
	}
}

// A relay that leaves is marked at once, and one that cancels gets replicas again.
func TestLeaveAndCancel(t *testing.T) {
	h := NewRelayHealth(rackLayout(40, 2), nil, 0)
	contactAll(h, 0)
	contactAll(h, time.Second, 6)
	if got := leavingRelays(h.Members(time.Second)); !slices.Equal(got, []Relay{6}) {
		t.Fatalf("leaving: %v", got)
	}
	// another node reports an earlier contact later
	h.RecordContact(6, 2*time.Second)
	if got := leavingRelays(h.Members(2 * time.Second)); !slices.Equal(got, []Relay{6}) {
		t.Errorf("after an older report: %v", got)
	}
	h.RecordLeaving(6, 1500*time.Millisecond) // another node reports the leave
	for now := 2 * time.Second; now < 1500*time.Millisecond+unreachableAfter; now += time.Second {
		contactAll(h, now)
		if got := leavingRelays(h.Members(now)); !slices.Equal(got, []Relay{6}) {
			t.Errorf("at %v: %v", now, got)
		}
	}
	contactAll(h, 1500*time.Millisecond+unreachableAfter)
	if got := leavingRelays(h.Members(1500*time.Millisecond + unreachableAfter)); len(got) > 0 {
		t.Errorf("after canceling: %v", got)
	}
	h.RecordLeaving(40, time.Minute) // not a relay
}

// An eighth of a zone leaves per minute; in a zone of few relays, one by one.
func TestLeaveLimitPerZone(t *testing.T) {
	for _, c := range []struct{ relays, first, second int }{{64, 4, 8}, {8, 1, 2}} {
		members := rackLayout(c.relays, 2)
		var zone []Relay
		for i, m := range members {
			if m.Zone == 1 {
				zone = append(zone, Relay(i))
			}
		}
		h := NewRelayHealth(members, nil, 0)
		contactAll(h, 0)
		var most int
		for now := time.Second; now < removedAfter; now += time.Second {
			contactAll(h, now, zone...)
			most = max(most, len(leavingRelays(h.Members(now))))
		}
		if most != c.first {
			t.Errorf("%d of %d relays of a zone leave in the first minute, want %d", most, len(zone), c.first)
		}
		for now := removedAfter; now < 2*removedAfter; now += time.Second {
			contactAll(h, now, zone...)
			most = max(most, len(leavingRelays(h.Members(now))))
		}
		if most != c.second {
			t.Errorf("%d of %d in two minutes, want %d", most, len(zone), c.second)
		}
	}
}

// A relay that is unreachable when it wants to leave is not marked as leaving.
func TestUnreachableIsNotLeaving(t *testing.T) {
	h := NewRelayHealth(rackLayout(40, 2), nil, 0)
	contactAll(h, 0)
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

// A contact with one control node reaches the publisher with the next report, including a leave and
// its end.
func TestLeaveIsReported(t *testing.T) {
	const publisher, other = 0, 1
	members := rackLayout(40, 2)
	controls := make([]*ControlNode, 2)
	for i := range controls {
		r, err := NewRegister(i, len(controls), regionKey, 1, PersistentState{})
		if err != nil {
			t.Fatal(err)
		}
		controls[i] = NewControlNode(r, smallConfig, members, regionKey)
	}
	controls[publisher].health = NewRelayHealth(members, nil, 0)
	controls[other].register.publisher = publisher
	for step, wantsLeave := range []bool{true, false, true} {
		now := time.Duration(step+1) * 10 * time.Second
		for r := range Relay(len(members)) {
			controls[other].Answer(now, SliceRequest{Relay: r, Leaving: r == 7})
			// The last request counts.
			controls[other].Answer(now, SliceRequest{Relay: r, Leaving: r == 7 && wantsLeave})
		}
		reports := controls[other].report(now)
		if len(reports) != 1 || reports[0].To != publisher {
			t.Fatalf("reports %v", reports)
		}
		controls[publisher].Receive(now, other, reports[0].Message)
		want := []Relay(nil)
		if wantsLeave {
			want = []Relay{7}
		}
		if got := leavingRelays(controls[publisher].health.Members(now)); !slices.Equal(got, want) {
			t.Errorf("step %d: leaving %v, want %v", step, got, want)
		}
	}
	// A report without leaving bits still records contacts.
	controls[publisher].Receive(time.Minute, other, ContactReport{Relays: []uint64{1 << 7}})
	if got := controls[publisher].health.lastContact[7]; got != time.Minute {
		t.Errorf("contact at %v", got)
	}
}

// A relay that leaves is released once it has no replicas, and only if it asked to leave.
func TestReleased(t *testing.T) {
	members := rackLayout(40, 2)
	first := mustPlan(t, smallConfig, nil, members)
	f := NewFollower(1, 3, regionKey)
	if f.SetLeaving(true); f.Released() {
		t.Error("released before it has a slice")
	}
	if _, err := f.HandleAnswer(0, first.Slice(3).Encode(regionKey)); err != nil || f.Released() {
		t.Errorf("released with replicas: %v", err)
	}
	if ask, due := f.Poll(time.Second); !due || !ask.Leaving {
		t.Errorf("it requests %+v", ask)
	}
	members[3].State = Leaving
	next := mustPlan(t, smallConfig, first, members)
	next.Version = Version{first.Version.Term, first.Version.Number + 1}
	if _, err := f.HandleAnswer(time.Second, next.Slice(3).Encode(regionKey)); err != nil || !f.Released() {
		t.Errorf("not released without replicas: %v", err)
	}
	if f.SetLeaving(false); f.Released() {
		t.Error("released after canceling")
	}
}

// checkOneReplicaMoved checks that each partition keeps all but at most one of its replicas.
func checkOneReplicaMoved(t *testing.T, before, next *Map) {
	t.Helper()
	for p := range Partition(smallConfig.Partitions) {
		kept := 0
		for _, r := range before.Replicas(p) {
			if next.Serves(r, p) {
				kept++
			}
		}
		if kept < smallConfig.Replicas-1 {
			t.Fatalf("partition %d kept %d of %v: %v", p, kept, before.Replicas(p), next.Replicas(p))
		}
	}
}

// Of a partition's leaving replicas, one is reassigned per map; they stay if there are no other
// relays.
func TestOneReplicaLeavesPerMap(t *testing.T) {
	members := rackLayout(40, 2)
	m := mustPlan(t, smallConfig, nil, members)
	leaving := m.Replicas(0)[:2]
	for _, r := range leaving {
		members[r].State = Leaving
	}
	for range leaving {
		next := mustPlan(t, smallConfig, m, members)
		checkOneReplicaMoved(t, m, next)
		m = next
	}
	for p := range Partition(smallConfig.Partitions) {
		if m.Serves(leaving[0], p) || m.Serves(leaving[1], p) {
			t.Errorf("partition %d still has %v", p, m.Replicas(p))
		}
	}
	minimal := rackLayout(smallConfig.Replicas, 2)
	for i := range minimal {
		minimal[i].State = Leaving
	}
	if _, err := Plan(smallConfig, nil, minimal, nil); err != nil {
		t.Errorf("all relays are leaving: %v", err)
	}
}

// A new publisher assigns nothing more to relays that have not made contact yet, and takes nothing
// from them.
func TestNewPublisherWaitsForContact(t *testing.T) {
	members := rackLayout(40, 2)
	latest := mustPlan(t, smallConfig, nil, members)
	h := NewRelayHealth(members, latest, 0)
	for r := range Relay(20) {
		h.RecordContact(r, time.Second)
	}
	for i, m := range h.Members(time.Second) {
		if want := map[bool]State{true: Live, false: Unreachable}[i < 20]; m.State != want {
			t.Errorf("relay %d is %v, want %v", i, m.State, want)
		}
	}
}

// Returning relays take over one replica per partition at a time.
func TestBalanceMovesOneReplicaPerPartition(t *testing.T) {
	members := rackLayout(40, 2)
	for i := range 16 {
		members[i].State = Removed
	}
	m := mustPlan(t, smallConfig, nil, members)
	for i := range 16 {
		members[i].State = Live
	}
	next := mustPlan(t, smallConfig, m, members)
	if next.CountMoved(m) == 0 {
		t.Fatal("no replicas move to relays that returned")
	}
	checkOneReplicaMoved(t, m, next)
}
