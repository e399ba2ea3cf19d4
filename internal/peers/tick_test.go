package peers

import (
	"testing"
	"time"

	"oatfold/internal/peers/members"
)

// fleetWithMembership returns the gossipers of a fleet with membership enabled.
func fleetWithMembership(n int) (all []*Gossiper) {
	all = fleet(n)
	for i, g := range all {
		g.EnableMembership(i%3, int64(i)+1)
	}
	return all
}

// Messages of a round carry counts and membership together, within the size limit, and receivers
// handle both. A relay without membership rejects them; one with membership accepts counts alone.
func TestTick(t *testing.T) {
	for _, dests := range []int{1, 500} {
		all := fleetWithMembership(20)
		g := all[0]
		for d := range dests {
			for range 300 {
				g.RecordArrival(d)
			}
		}
		out, newRound := g.Tick(g.nextRound)
		if !newRound || len(out) < fanout {
			t.Fatalf("%d messages, new round %v", len(out), newRound)
		}
		for _, o := range out {
			if len(o.Payload) > MaxDatagramBytes || o.Payload[0] != formCombined {
				t.Fatalf("a message of %d bytes, form %d", len(o.Payload), o.Payload[0])
			}
			other := all[o.To]
			if _, err := other.Receive(time.Second, 0, o.Payload); err != nil {
				t.Fatal(err)
			}
			if len(other.reports) != 1 ||
				len(other.reports[0].counts) != min(dests, len(other.reports[0].counts)) ||
				other.reports[0].counts[0].Arrived != 300 {
				t.Fatalf("received %+v", other.reports)
			}
			if other.Members().View(time.Second).Members[0].Incarnation != 1 {
				t.Fatal("the sender is unknown")
			}
			if _, err := other.Receive(time.Second, 0, o.Payload); err == nil {
				t.Fatal("accepted the same message twice")
			}
			for cut := range o.Payload {
				fleetWithMembership(20)[1].Receive(time.Second, 0, o.Payload[:cut]) // must not panic
			}
			if _, err := fleet(20)[o.To].Receive(time.Second, 0, o.Payload); err == nil {
				t.Fatal("accepted by a relay without membership")
			}
		}
	}
	plain, g := fleet(20)[1], fleetWithMembership(20)[0]
	plain.RecordArrival(3)
	payload, _ := plain.Report(plain.NextTick())
	if _, err := g.Receive(time.Second, 1, payload); err != nil || len(g.reports) != 1 {
		t.Fatalf("counts alone: %v", err)
	}
	if _, err := g.Receive(time.Second, 1, nil); err == nil {
		t.Fatal("an empty message is accepted")
	}
}

// A relay without counts sends its membership section to a few others; a small fleet sends no
// counts at all.
func TestQuietRound(t *testing.T) {
	for _, n := range []int{3, 20} {
		g := fleetWithMembership(n)[0]
		if n == 3 {
			g.RecordArrival(1)
		}
		out, newRound := g.Tick(g.nextRound)
		if !newRound || len(out) != min(n-1, quietFanout) {
			t.Fatalf("%d relays: %d messages", n, len(out))
		}
		for _, o := range out {
			if o.Payload[0] != formMembership || len(o.Payload) > 40 {
				t.Errorf("%d relays: form %d, %d bytes", n, o.Payload[0], len(o.Payload))
			}
		}
		if g.FleetAverages(time.Second, time.Time{}) != nil {
			t.Error("averages without reports")
		}
	}
}

// The counts of a dead member do not enter the averages, and no counts are sent to it.
func TestDeadMemberIsNotCounted(t *testing.T) {
	all := fleetWithMembership(10)
	g := all[0]
	now := time.Duration(0)
	for now < 60*members.Period {
		now += members.Period / 10
		for i, q := range all {
			if i == 9 && now > 20*members.Period || now < q.NextTick() {
				continue
			}
			q.RecordArrival(1)
			out, _ := q.Tick(now)
			for len(out) > 0 {
				o := out[0]
				out = out[1:]
				if o.To == 9 && now > 20*members.Period {
					continue
				}
				more, _ := all[o.To].Receive(now, i, o.Payload)
				for _, m := range more {
					if m.To != 9 || now <= 20*members.Period {
						all[m.To].Receive(now, o.To, m.Payload)
					}
				}
			}
		}
	}
	if s := g.Members().State(9); s != members.Dead {
		t.Fatalf("the dead member is %v", s)
	}
	g.addReport(report{from: 9, at: now, span: time.Second, counts: map[int]DestinationCounts{77: {Arrived: 1000}}})
	for _, u := range g.FleetAverages(now, time.Time{}) {
		if u.Destination == 77 {
			t.Error("the counts of the dead member are in the averages")
		}
	}
	g.RecordArrival(1)
	for range 40 {
		now = g.nextRound
		g.RecordArrival(1)
		out, _ := g.Tick(now)
		for _, o := range out {
			if o.To == 9 && o.Payload[0] != formMembership {
				t.Error("counts are sent to a dead member")
			}
		}
	}
}
