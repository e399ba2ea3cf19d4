package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// limited answers as a partner with a plain rate does: one call each interval, and above that it
// turns calls away and tells how long to wait.
func limited(interval, lasts time.Duration) service {
	var mu sync.Mutex
	var free time.Time
	return func([]string) (time.Duration, int, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if now.Before(free) {
			return time.Millisecond, 429, max(free.Sub(now), 250*time.Millisecond)
		}
		free = now.Add(interval)
		return lasts, 200, 0
	}
}

// usual answers as a partner without a limit does.
func usual([]string) (time.Duration, int, time.Duration) {
	return time.Duration(130+rand.IntN(100)) * time.Millisecond, 200, 0
}

// upgradeCase: a relay is upgraded while orders of the largest size wait for a partner's limit.
func upgradeCase(p *play) (bool, error) {
	l := newLedger()
	var list []instance
	const partners = 6
	for i := range partners {
		serve := service(usual)
		if i == 0 {
			serve = limited(500*time.Millisecond, 200*time.Millisecond)
		}
		pt, err := newPartner(p.rec, fmt.Sprintf("e%d", i), serve, l)
		if err != nil {
			return false, err
		}
		defer pt.close()
		kind := "small-partner"
		if i < 2 {
			kind = "broker"
		}
		list = append(list, instance{ID: fmt.Sprintf("s-%08x", i), HostPort: pt.addr, Zone: "porto-dc1", Kind: kind, Cell: i,
			Lifecycle: "in_service", Weight: 1})
	}
	plat, err := newPlatform(p.rec, list)
	if err != nil {
		return false, err
	}
	defer plat.close()
	plat.onNotice = func(n notice) { l.ended(n.Message, n.Outcome) }
	set := settings()
	set["grades"] = []object{
		grade("price-alert", "safe", 1, 0, 1_000_000, 2_000_000, 5_000_000),
		grade("order-relay", "keyed", 2, 0.3, 3_000_000, 12_000_000, 5_000_000),
		grade("fee-charge", "unsafe", 5, 0.3, 2_500_000, 12_000_000, 5_000_000),
	}
	r, err := newRelay(p.root, p.dir, "n0", plat.addr, list, set)
	if err != nil {
		return false, err
	}
	old, err := p.start(r, false)
	if err != nil {
		return false, err
	}
	// Two dozen services hand in, each over connections of its own.
	var services [24]clients
	for i := range services {
		services[i].addr, services[i].rec = r.listen, p.rec
		defer services[i].close()
	}
	var wg sync.WaitGroup
	send := func(dest int, class string, left time.Duration, size int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := &message{id: fmt.Sprintf("%016x", rand.Uint64()), class: class, dest: dest, left: left, body: make([]byte, size)}
			if class != "price-alert" {
				m.key = fmt.Sprintf("%032x", rand.Uint64())
			}
			l.sent(m)
			if services[rand.IntN(len(services))].handIn(m) == 202 {
				l.taken(m.id)
			}
		}()
	}
	begin := time.Now()
	const upgradeAt, length = 8 * time.Second, 18 * time.Second
	var termAt time.Time
	upgraded := make(chan error, 1)
	if p.trouble {
		go func() {
			time.Sleep(time.Until(begin.Add(upgradeAt - time.Second)))
			if _, err := p.start(r, true); err != nil {
				upgraded <- err
				return
			}
			time.Sleep(time.Until(begin.Add(upgradeAt)))
			termAt = time.Now()
			p.rec.add("SIGTERM to the old process")
			old.signal(syscall.SIGTERM)
			select {
			case <-old.exited:
			case <-time.After(3700 * time.Millisecond):
				old.kill()
			}
			p.rec.add("the old process has ended")
			upgraded <- nil
		}()
	} else {
		upgraded <- nil
	}
	clump := begin.Add(upgradeAt - 3*time.Second)
	for next := time.Now(); time.Since(begin) < length; {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / 30))
		switch x := rand.Float64(); {
		case x < 0.05:
			send(0, "price-alert", 2*time.Second, 212)
		case x < 0.45:
			send(1+rand.IntN(partners-1), "price-alert", 2*time.Second, 212)
		case x < 0.83:
			send(1+rand.IntN(partners-1), "order-relay", 12*time.Second, 2000)
		default:
			send(1+rand.IntN(partners-1), "fee-charge", 12*time.Second, 212)
		}
		if time.Now().After(clump) {
			clump = begin.Add(time.Hour)
			for range 6 {
				send(0, "order-relay", 12*time.Second, 64<<10)
			}
		}
	}
	wg.Wait()
	if err := <-upgraded; err != nil {
		return false, err
	}
	for until := time.Now().Add(25 * time.Second); l.open() > 0 && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	return judgeEnds(p, l, termAt), nil
}

// judgeEnds reports whether a message that was taken on had no end in time. From SIGTERM until 1.5 s
// after the relay is ready again no notice is overdue; ready is taken to be 0.5 s after SIGTERM.
func judgeEnds(p *play, l *ledger, termAt time.Time) bool {
	all := l.all()
	slices.SortFunc(all, func(a, b entry) int { return a.sentAt.Compare(b.sentAt) })
	taken, lost := 0, 0
	for _, e := range all {
		if e.takenAt.IsZero() {
			continue
		}
		taken++
		due := e.sentAt.Add(e.m.left + 350*time.Millisecond)
		if excused := termAt.Add(2 * time.Second); !termAt.IsZero() && due.After(termAt) && due.Before(excused) {
			due = excused
		}
		if e.endedAt.IsZero() || e.endedAt.After(due) {
			lost++
			late := "never"
			if !e.endedAt.IsZero() {
				late = fmt.Sprintf("%s %.0f ms after its time was up", e.end,
					e.endedAt.Sub(e.sentAt.Add(e.m.left)).Seconds()*1000)
			}
			p.rec.say("LOST %s class=%s dest=%d left=%v calls=%d, sent %.0f ms from SIGTERM: ended %s", e.m.id, e.m.class, e.m.dest,
				e.m.left, e.calls, e.sentAt.Sub(termAt).Seconds()*1000, late)
		}
	}
	p.rec.say("%d messages handed in, %d taken on, %d lost", len(all), taken, lost)
	return lost > 0
}
