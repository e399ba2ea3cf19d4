package peers

import (
	"bytes"
	"testing"
	"time"

	"oatfold/policy"
)

const s = time.Second

// fleet is as many pools, each told of the others.
func fleet(n int) (all []*Gossiper) {
	for i := range n {
		all = append(all, New(i, n, int64(i)+1))
	}
	return all
}

// Notes say what was booked, to as many others as are told, never to the sender, never before their time, and spread over the turn.
func TestTells(t *testing.T) {
	firsts := map[time.Duration]bool{}
	for _, p := range fleet(80) {
		firsts[p.NextTick().Truncate(turn/20)] = true
		if note, to := p.Report(p.NextTick() - 1); note != nil || to != nil {
			t.Fatal("told before its time")
		}
		p.RecordArrival(3)
		p.RecordArrival(3)
		p.RecordCall(3, Accepted)
		p.RecordCall(7, Rejected)
		p.RecordCall(9, Failed)
		at := p.NextTick()
		note, to := p.Report(at)
		seen := map[int]bool{p.me: true}
		for _, n := range to {
			if seen[n] || n < 0 || n >= 80 {
				t.Fatalf("relay %d tells %v", p.me, to)
			}
			seen[n] = true
		}
		_, _, a, err := decode(note)
		if err != nil || len(to) != fan || a.counts[3] != (DestinationCounts{Arrived: 2, Accepted: 1}) || a.counts[7] != (DestinationCounts{Rejected: 1}) || a.counts[9] != (DestinationCounts{Failed: 1}) {
			t.Fatalf("%v, %v: %+v", to, err, a)
		}
		if gap := p.NextTick() - at; gap < turn/2 || gap > turn*3/2 {
			t.Fatalf("next after %v", gap)
		}
	}
	if len(firsts) < 15 {
		t.Errorf("80 first notes fall on %d of 20 parts of a turn", len(firsts))
	}
}

// A note is as long as the platform takes at most, however much there is to tell; what is left out is not told wrongly.
func TestNoteFits(t *testing.T) {
	p := New(0, 80, 1)
	for d := range 500 {
		for range 300 {
			p.RecordArrival(d)
		}
		p.RecordCall(d, Failed)
	}
	note, _ := p.Report(p.NextTick())
	_, _, a, err := decode(note)
	if len(note) > MaxDatagramBytes || len(note) < MaxDatagramBytes-20 || err != nil || len(a.counts) < 30 {
		t.Fatalf("%d bytes, %d destinations, %v", len(note), len(a.counts), err)
	}
	for d, c := range a.counts {
		if c != (DestinationCounts{Arrived: 300, Failed: 1}) {
			t.Fatalf("destination %d: %+v", d, c)
		}
	}
}

// Lost, late, repeated, reordered, foreign, cut, long and senseless notes change nothing; a sender that starts anew is heard.
func TestHeard(t *testing.T) {
	all := fleet(9)
	p, from := all[0], all[1]
	from.RecordCall(4, Rejected)
	first, _ := from.Report(from.NextTick())
	from.RecordCall(4, Rejected)
	second, _ := from.Report(from.NextTick())
	again := New(1, 9, 77)
	again.RecordCall(4, Rejected)
	anew, _ := again.Report(again.NextTick())
	entries := func() int { return len(p.all) }
	for _, c := range []struct {
		name string
		from int
		note []byte
		take bool
	}{
		{"newer first", 1, second, true}, {"repeated", 1, second, false}, {"reordered", 1, first, false}, {"another life", 1, anew, true},
		{"its own", 0, second, false}, {"from nobody", 9, second, false}, {"from minus one", -1, second, false},
		{"empty", 2, nil, false}, {"another version", 2, append([]byte{9}, second[1:]...), false},
		{"cut", 2, second[:len(second)-1], false}, {"257 bytes", 2, append(bytes.Clone(second), make([]byte, 257-len(second))...), false},
		{"twice the same", 2, append(bytes.Clone(second), second[5:]...), false},
		{"a lie", 2, append(bytes.Clone(second[:5]), 4, 0xff, 0xff, 0x7f, 0, 0), false},
		{"of a minute", 2, append([]byte{version, 1, 0, 1, 255}, second[5:]...), false},
	} {
		was := entries()
		if err := p.ReceiveCounts(s, c.from, c.note); (err == nil) != c.take || (entries() > was) != c.take {
			t.Errorf("%s: %v, %d entries after %d", c.name, err, entries(), was)
		}
	}
}

// Numbers that do not fit together, and fleets that see enough by themselves, tell and hear nothing; nor does what is remembered grow.
func TestNoFleet(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {0, 1}, {0, MinFleetSize - 1}, {-1, 80}, {80, 80}, {3, -5}, {0, 1 << 40}} {
		p := New(c[0], c[1], 1)
		p.RecordArrival(1)
		if note, to := p.Report(time.Hour); p.Active() || note != nil || to != nil || p.ReceiveCounts(0, 2, []byte{1}) == nil || p.FleetAverages(time.Hour, time.Time{}) != nil {
			t.Errorf("relay %d of %d is active", c[0], c[1])
		}
	}
	all := fleet(200)
	for now := time.Duration(0); now < 30*s; now += 100 * time.Millisecond {
		for _, p := range all[:20] {
			p.RecordArrival(1)
			note, _ := p.Report(now)
			if note != nil {
				all[199].ReceiveCounts(now, p.me, note)
			}
		}
	}
	if n := len(all[199].all); n > 120 {
		t.Errorf("%d accounts kept", n)
	}
}

// News are the mean of the relays heard of, whatever their number; too few tell nothing, old ones are forgotten.
func TestNews(t *testing.T) {
	all := fleet(80)
	p := all[0]
	for _, o := range all[1:40] {
		for range 4 {
			o.RecordArrival(2)
		}
		o.RecordCall(2, Accepted)
		o.RecordCall(2, Rejected)
		o.since = 0
		o.next = 2 * s
		note, _ := o.Report(2 * s)
		if o.me == 2 && p.FleetAverages(2*s, time.Time{}) != nil {
			t.Fatal("news of one relay")
		}
		if err := p.ReceiveCounts(2*s, o.me, note); err != nil {
			t.Fatal(err)
		}
	}
	news := p.FleetAverages(2*s, time.Time{})
	if len(news) != 1 || news[0].Demand != 2 || news[0].Accepted != 0.5 || news[0].Rejected != 0.5 || news[0].Calls != 78 {
		t.Fatalf("%+v", news)
	}
	if news := p.FleetAverages(2*s+memory+1, time.Time{}); news != nil {
		t.Fatalf("old news: %+v", news)
	}
}

// The law: no bound where nothing is refused, one cut for what is refused, none before it shows, slow raises where refusals began, none in an outage, and
// no bound any more where plenty is left.
func TestPace(t *testing.T) {
	p := &pace{}
	now := time.Duration(0)
	look := func(taken, refused, failed, wanted, others float64, calls int) float64 {
		now += settle / 2
		return p.follow(now, policy.RouteStats{Accepted: taken, Rejected: refused, Failed: failed, Demand: wanted, Calls: calls}, others, 1, true)
	}
	if look(1, 0, 0, 1, 0, 50) != 0 || look(1, 0, 0, 1, 0.3, 50) != 0 {
		t.Fatal("bound without refusals, or by what one other tells")
	}
	if look(0, 1, 0, 1, 0, 1) != 0 {
		t.Fatal("cut on a single call")
	}
	now = 10 * s
	cut := look(0.7, 0.3, 0, 1, 0, 50)
	if cut < 0.69 || cut > 0.71 {
		t.Fatalf("cut to %v", cut)
	}
	if v := look(0.4, 0.3, 0, 1, 0, 50); v != cut {
		t.Fatalf("cut again before the first shows: %v", v)
	}
	now += settle
	if v := look(0, 0, 2, 1, 0, 50); v != cut {
		t.Fatalf("an outage moved it to %v", v)
	}
	quick := look(0.7, 0, 0, 1, 0, 50)
	if quick <= cut*1.1 {
		t.Fatalf("raised to %v", quick)
	}
	for p.allow < nearEdge*p.edge {
		look(p.allow, 0, 0, 1, 0, 50)
	}
	if was := p.allow; look(was, 0, 0, 1, 0, 50) > was*1.05 {
		t.Fatal("hurries to where refusals began")
	}
	if was := p.allow; look(0.1*was, 0, 0, 1, 0, 50) != was {
		t.Fatal("raised what is not used")
	}
	if look(0.2, 0, 0, 0.2, 0, 50) == 0 {
		t.Fatal("forgot a bound while a destination may still be cold")
	}
	now += kept
	if look(0.2, 0, 0, 0.2, 0, 50) != 0 {
		t.Fatal("bound with plenty left")
	}
	fresh := &pace{}
	if v := fresh.follow(now, policy.RouteStats{Accepted: 0.5, Rejected: 0.4, Demand: 1, Calls: 2}, 0.25, 1, true); v != 0.25 {
		t.Fatalf("one that starts anew takes %v", v)
	}
	// In an outage, or as it ends, nothing is refused: who starts then takes what several others tell, who has been there for long does not.
	young, old := &pace{}, &pace{}
	for _, u := range []policy.RouteStats{{Failed: 3, Demand: 1, Calls: 9}, {Accepted: 1, Demand: 1, Calls: 9}} {
		if v := old.follow(now, u, 0.25, tellers, false); v != 0 {
			t.Fatalf("%+v: one that has been there allows itself %v", u, v)
		}
		if v := (&pace{}).follow(now, u, 0.25, tellers-1, true); v != 0 {
			t.Fatalf("%+v: bound to %v by what two tell", u, v)
		}
		if v := young.follow(now, u, 0.25, tellers, true); v != 0.25 {
			t.Fatalf("%+v: one that starts takes %v", u, v)
		}
	}
	deep := &pace{}
	if v := deep.follow(now, policy.RouteStats{Rejected: 4, Demand: 1, Calls: 300}, 0, 0, false); v < 2*0.99 || v > 2.01 {
		t.Fatalf("all refused: %v of 4", v)
	}
}

// Risk: news tell of calls made some looks ago. Where an allowance was raised meanwhile, refusals began at what it was then; taken
// for what it is now, it is raised as far again, past the limit, as soon as refusals are over.
func TestRefusalsBeganSomeLooksAgo(t *testing.T) {
	p := &pace{allow: 0.2, edge: 5}
	now := 10 * s
	var allowed []float64
	for range 6 {
		allowed = append(allowed, p.allow)
		now += turn
		p.follow(now, policy.RouteStats{Accepted: p.allow, Demand: 1, Calls: 50}, 0, 0, false)
	}
	if p.allow < 2*allowed[0] {
		t.Fatalf("raised from %v to %v only", allowed[0], p.allow)
	}
	began := allowed[len(allowed)-seenLate+1] // the one that tells of refusals and two looks before it
	now += turn
	p.follow(now, policy.RouteStats{Accepted: 0.1, Rejected: 0.2, Demand: 1, Calls: 50}, 0, 0, false)
	if p.edge != began {
		t.Errorf("refusals are taken to begin at %v, want %v; allowed were %v", p.edge, began, allowed)
	}
	anew := &pace{}
	if anew.follow(now, policy.RouteStats{Accepted: 0.5, Rejected: 0.5, Demand: 1, Calls: 50}, 0, 0, false); anew.edge != 1 {
		t.Errorf("with no allowance before, refusals begin at the calls that are made, not at %v", anew.edge)
	}
}

// Notes that name ever new destinations fill no memory: what is kept of them is bounded, and forgotten.
func TestSenselessDestinations(t *testing.T) {
	all := fleet(80)
	p, dest := all[0], 0
	for i := range 60 {
		now := time.Duration(i+1) * 100 * time.Millisecond
		for _, o := range all[1:5] {
			o.mine, o.next = map[int]DestinationCounts{}, now
			for range 40 {
				dest++
				o.RecordCall(dest, Rejected)
			}
			if note, _ := o.Report(now); p.ReceiveCounts(now, o.me, note) != nil {
				t.Fatal("a note is not taken")
			}
		}
		p.FleetAverages(now, time.Time{})
	}
	if n := len(p.paces); n == 0 || n > mostPaces {
		t.Fatalf("%d allowances kept of %d destinations", n, dest)
	}
	now := 10 * time.Minute
	for _, o := range all[1:5] {
		o.mine, o.next = map[int]DestinationCounts{1: {Accepted: 1}}, now
		note, _ := o.Report(now)
		p.ReceiveCounts(now, o.me, note)
	}
	if p.FleetAverages(now, time.Time{}); len(p.paces) != 1 {
		t.Fatalf("%d allowances kept of one destination", len(p.paces))
	}
}
