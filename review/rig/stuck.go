package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// handIn is one hand-in and its answer.
type handIn struct {
	id     string
	at     time.Time
	status int
}

// stuckCase: a calm time at a deployment of three relays, in which all bodies are large.
func stuckCase(p *play) (bool, error) {
	const (
		relays, partners, perSecond = 3, 8, 61
		length                      = 100 * time.Second
	)
	size := 212 // as in the protocol page's example
	if p.trouble {
		size = 64 << 10
	}
	l := newLedger()
	var list []instance
	for i := range partners {
		pt, err := newPartner(p.rec, fmt.Sprintf("e%d", i), usual, l)
		if err != nil {
			return false, err
		}
		defer pt.close()
		kind := "small-partner"
		if i < 3 {
			kind = "broker"
		}
		list = append(list, instance{ID: fmt.Sprintf("s-%08x", i), HostPort: pt.addr, Zone: "porto-dc1", Kind: kind, Cell: i,
			Lifecycle: "in_service", Weight: 1})
	}
	var fleet [relays]clients
	for i := range fleet {
		plat, err := newPlatform(p.rec, list)
		if err != nil {
			return false, err
		}
		defer plat.close()
		plat.onNotice = func(n notice) { l.ended(n.Message, n.Outcome) }
		set := settings()
		set["fleetSize"], set["me"] = relays, i
		r, err := newRelay(p.root, p.dir, fmt.Sprintf("n%d", i), plat.addr, list, set)
		if err != nil {
			return false, err
		}
		if _, err := p.start(r, false); err != nil {
			return false, err
		}
		fleet[i].addr, fleet[i].rec = r.listen, p.rec
		defer fleet[i].close()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var handIns [relays][]handIn
	send := func(relay int) {
		defer wg.Done()
		m := &message{id: fmt.Sprintf("%016x", rand.Uint64()), class: "price-alert", dest: rand.IntN(partners), left: 6 * time.Second,
			body: make([]byte, size)}
		if x := rand.Float64(); x >= 0.50 {
			m.class, m.left, m.key = "order-relay", 20*time.Second, fmt.Sprintf("%032x", rand.Uint64())
			if x >= 0.84 {
				m.class = "fee-charge"
			}
		}
		l.sent(m)
		status := fleet[relay].handIn(m)
		if status == 202 {
			l.taken(m.id)
		}
		mu.Lock()
		defer mu.Unlock()
		handIns[relay] = append(handIns[relay], handIn{m.id, time.Now(), status})
	}
	begin := time.Now()
	for next := begin; time.Since(begin) < length; {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		wg.Add(1)
		go send(rand.IntN(relays))
	}
	wg.Wait()
	broken := false
	byID := map[string]entry{}
	for _, e := range l.all() {
		byID[e.m.id] = e
	}
	for i := range fleet {
		broken = judgeSpans(p, i, begin, handIns[i], byID) || broken
	}
	return broken, nil
}

// judgeSpans reports whether the relay refused all that it got for 4 s on end, 15 hand-ins or more,
// with no call in between.
func judgeSpans(p *play, relay int, begin time.Time, handIns []handIn, byID map[string]entry) bool {
	slices.SortFunc(handIns, func(a, b handIn) int { return a.at.Compare(b.at) })
	var calls []time.Time // first calls of what this relay took on
	taken := 0
	for _, h := range handIns {
		if e := byID[h.id]; h.status == 202 {
			if taken++; !e.firstRun.IsZero() {
				calls = append(calls, e.firstRun)
			}
		}
	}
	refused, most := 0, 0
	var from, mostFrom, mostTo time.Time
	for _, h := range handIns {
		if h.status != 429 && h.status != 503 {
			refused = 0
			continue
		}
		if refused > 0 && slices.ContainsFunc(calls, func(at time.Time) bool { return at.After(from) && at.Before(h.at) }) {
			refused = 0
		}
		if refused++; refused == 1 {
			from = h.at
		}
		if h.at.Sub(from) >= 4*time.Second && refused >= 15 && refused > most {
			most, mostFrom, mostTo = refused, from, h.at
		}
	}
	if most == 0 {
		p.rec.say("relay %d: %d handed in, %d taken on; never refused all for 4 s", relay, len(handIns), taken)
		return false
	}
	held := 0 // taken on before that span and ended in it or later
	for _, h := range handIns {
		if e := byID[h.id]; h.status == 202 && (e.endedAt.IsZero() || e.endedAt.After(mostFrom.Add(time.Second))) && h.at.Before(mostFrom) {
			held++
		}
	}
	p.rec.say("relay %d: %d handed in, %d taken on; refused all %d from %.1f s to %.1f s, with no call; %d were held 1 s into that span",
		relay, len(handIns), taken, most, mostFrom.Sub(begin).Seconds(), mostTo.Sub(begin).Seconds(), held)
	return true
}
