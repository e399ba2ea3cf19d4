package peers

import (
	"testing"
	"time"

	"oatfold/internal/peers/members"
)

// joined is a fleet whose relays ask who lives as well.
func joined(n int) (all []*Gossiper) {
	all = fleet(n)
	for i, p := range all {
		p.EnableMembership(i%3, int64(i)+1)
	}
	return all
}

// A turn's notes carry counts and membership together, no longer than a note may be, however much there is to tell; both are understood. A relay that asks nobody
// who lives takes no such note, and one that does takes the older form.
func TestTurn(t *testing.T) {
	for _, dests := range []int{1, 500} {
		all := joined(20)
		p := all[0]
		for d := range dests {
			for range 300 {
				p.RecordArrival(d)
			}
		}
		out, turned := p.Tick(p.next)
		if !turned || len(out) < fan {
			t.Fatalf("%d notes, turned %v", len(out), turned)
		}
		for _, o := range out {
			if len(o.Payload) > MaxDatagramBytes || o.Payload[0] != both {
				t.Fatalf("a note of %d bytes, form %d", len(o.Payload), o.Payload[0])
			}
			other := all[o.To]
			if _, err := other.Receive(time.Second, 0, o.Payload); err != nil {
				t.Fatal(err)
			}
			if len(other.all) != 1 || len(other.all[0].counts) != min(dests, len(other.all[0].counts)) || other.all[0].counts[0].Arrived != 300 {
				t.Fatalf("heard %+v", other.all)
			}
			if other.Members().View(time.Second).Members[0].Incarnation != 1 {
				t.Fatal("the sender is not known")
			}
			if _, err := other.Receive(time.Second, 0, o.Payload); err == nil {
				t.Fatal("heard the same note twice")
			}
			for cut := range o.Payload {
				joined(20)[1].Receive(time.Second, 0, o.Payload[:cut]) // any length is borne
			}
			if _, err := fleet(20)[o.To].Receive(time.Second, 0, o.Payload); err == nil {
				t.Fatal("taken by one that asks nobody")
			}
		}
	}
	plain, p := fleet(20)[1], joined(20)[0]
	plain.RecordArrival(3)
	note, _ := plain.Report(plain.NextTick())
	if _, err := p.Receive(time.Second, 1, note); err != nil || len(p.all) != 1 {
		t.Fatalf("the older form: %v", err)
	}
	if _, err := p.Receive(time.Second, 1, nil); err == nil {
		t.Fatal("an empty note is taken")
	}
}

// A relay with nothing to tell says that it lives, to a few; a small fleet that asks who lives tells no counts at all.
func TestQuietTurn(t *testing.T) {
	for _, n := range []int{3, 20} {
		p := joined(n)[0]
		if n == 3 {
			p.RecordArrival(1)
		}
		out, turned := p.Tick(p.next)
		if !turned || len(out) != min(n-1, quietFan) {
			t.Fatalf("%d relays: %d notes", n, len(out))
		}
		for _, o := range out {
			if o.Payload[0] != bare || len(o.Payload) > 40 {
				t.Errorf("%d relays: form %d, %d bytes", n, o.Payload[0], len(o.Payload))
			}
		}
		if p.FleetAverages(time.Second, time.Time{}) != nil {
			t.Error("news out of nothing")
		}
	}
}

// The counts of one that is away say nothing any more of what the usual relay sees, and no counts go to it.
func TestAwayIsNotCounted(t *testing.T) {
	all := joined(10)
	p := all[0]
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
	if s := p.Members().State(9); s != members.Dead {
		t.Fatalf("the dead one is %v", s)
	}
	p.keep(account{from: 9, at: now, span: time.Second, counts: map[int]DestinationCounts{77: {Arrived: 1000}}})
	for _, u := range p.FleetAverages(now, time.Time{}) {
		if u.Destination == 77 {
			t.Error("the dead one's counts are in the news")
		}
	}
	p.RecordArrival(1)
	for range 40 {
		now = p.next
		p.RecordArrival(1)
		out, _ := p.Tick(now)
		for _, o := range out {
			if o.To == 9 && o.Payload[0] != bare {
				t.Error("counts go to one that does not hear")
			}
		}
	}
}
