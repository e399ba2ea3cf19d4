package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// killCase: a relay is killed and started again while large orders and charges wait for a partner
// that is silent.
func killCase(p *play) (bool, error) {
	const (
		silentFrom, silentFor = 3 * time.Second, 16 * time.Second
		killAt, length        = 17 * time.Second, 24 * time.Second
		partners              = 6
	)
	l := newLedger()
	begin := time.Now()
	var list []instance
	for i := range partners {
		serve := service(usual)
		if i == 0 {
			serve = func(ids []string) (time.Duration, int, time.Duration) {
				if at := time.Since(begin); p.trouble && at >= silentFrom && at < silentFrom+silentFor {
					return 0, 0, 0
				}
				return usual(ids)
			}
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
	r, err := newRelay(p.root, p.dir, "n0", plat.addr, list, settings())
	if err != nil {
		return false, err
	}
	first, err := p.start(r, false)
	if err != nil {
		return false, err
	}
	c := &clients{addr: r.listen, rec: p.rec}
	defer c.close()
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
			if c.handIn(m) == 202 {
				l.taken(m.id)
			}
		}()
	}
	begin = time.Now()
	var killedAt, readyAt time.Time
	restarted := make(chan error, 1)
	go func() {
		if !p.trouble {
			restarted <- nil
			return
		}
		time.Sleep(time.Until(begin.Add(killAt)))
		killedAt = time.Now()
		first.kill()
		p.rec.add("SIGKILL to the relay")
		time.Sleep(600 * time.Millisecond)
		_, err := p.start(r, false)
		readyAt = time.Now()
		p.rec.add("the relay is ready again")
		restarted <- err
	}()
	for next := time.Now(); time.Since(begin) < length; {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / 40))
		dest := 0
		if rand.Float64() > 0.28 {
			dest = 1 + rand.IntN(partners-1)
		}
		switch x := rand.Float64(); {
		case x < 0.43:
			send(dest, "price-alert", 6*time.Second, 212)
		case x < 0.81:
			send(dest, "order-relay", 20*time.Second, 64<<10)
		default:
			send(dest, "fee-charge", 20*time.Second, 64<<10)
		}
	}
	wg.Wait()
	if err := <-restarted; err != nil {
		return false, err
	}
	for until := time.Now().Add(25 * time.Second); l.open() > 0 && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	// Of those that the restart found untried, with half of their time left: how many ended early
	// with no call?
	var found, given, foundOnce, givenOnce, taken int
	for _, e := range l.all() {
		if e.takenAt.IsZero() {
			continue
		}
		taken++
		upAt := e.sentAt.Add(e.m.left)
		if !p.trouble || e.takenAt.After(killedAt) || !e.endedAt.IsZero() && e.endedAt.Before(killedAt) ||
			!e.firstRun.IsZero() && e.firstRun.Before(killedAt) || upAt.Sub(readyAt) < e.m.left/2 {
			continue
		}
		early := e.calls == 0 && e.end != "delivered" && !e.endedAt.IsZero() && e.endedAt.Sub(e.sentAt) < e.m.left*7/10
		found++
		if early {
			given++
		}
		if e.m.class != "price-alert" {
			foundOnce++
			if early {
				givenOnce++
			}
		}
		p.rec.add("found untried: %s %s ended %s after %v, calls %d, early with no call %t", e.m.id, e.m.class, e.end,
			e.endedAt.Sub(e.sentAt).Round(time.Millisecond), e.calls, early)
	}
	p.rec.say("%d messages taken on; the restart found %d untried with half of their time left, %d of them were given up early with no call",
		taken, found, given)
	p.rec.say("of those that may not simply be repeated: %d found, %d given up early with no call", foundOnce, givenOnce)
	return given*2 > found || givenOnce*2 > foundOnce, nil
}
