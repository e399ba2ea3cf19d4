package main

import (
	"bytes"
	"sync"
	"syscall"
	"time"
)

// burstThenKill hands in a burst of messages with long bodies, kills the relay and starts it again.
// What it had taken on and not tried must outlive the process.
func burstThenKill(r *Rig) { burstThen(r, false) }

// burstThenUpgrade is burstThenKill with an upgrade in place of the kill: nothing dies.
func burstThenUpgrade(r *Rig) { burstThen(r, true) }

func burstThen(r *Rig, upgrade bool) {
	const dests = 8
	var partners []*Partner
	var list []Endpoint
	for d := 1; d <= dests; d++ {
		p := r.NewPartner("s-"+string(rune('0'+d)), func([]Call) time.Duration { return 340 * time.Millisecond })
		partners = append(partners, p)
		list = append(list, Endpoint{p.ID, p.Addr, "small-partner", "in_service", d})
	}
	platform := r.NewPlatform(list)
	rel := r.NewRelay("n0", config(platform.Addr, 3, settings(2, 0, 16, 347)))
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	pool := &Pool{rig: r, addr: rel.Addr}
	body := bytes.Repeat([]byte("0123456789abcdef"), 60<<10/16)
	var wg sync.WaitGroup
	began := time.Now()
	// 110 messages a second for 3 s: 1.8 times the load that these settings are made for.
	for n := 0; time.Since(began) < 3*time.Second; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / 110)))
		class := "order-relay"
		if n%3 == 0 {
			class = "fee-charge"
		}
		wg.Go(func() { pool.HandIn(class, "", 1+n%dests, 20*time.Second, body) })
	}
	wg.Wait()
	if r.trouble {
		var killed time.Time
		if upgrade {
			next := startUpgrade(rel)
			termAt := time.Now()
			r.Log("SIGTERM to %s", p.Name)
			p.Signal(syscall.SIGTERM)
			leave(r, p, termAt)
			killed = time.Now()
			p = next
		} else {
			r.Log("SIGKILL")
			p.Signal(syscall.SIGKILL)
			<-p.Exited
			killed = time.Now()
			time.Sleep(600 * time.Millisecond)
			p = rel.Start()
		}
		if !rel.WaitReady(20 * time.Second) {
			cannotRun(errNotReady)
		}
		r.Log("ready again")
		tried := func(id string, before time.Time) bool {
			for _, q := range partners {
				for _, c := range q.CallsOf(id) {
					if c.At.Before(before) {
						return true
					}
				}
			}
			return false
		}
		restart := time.Now()
		var untried []Sent
		for _, s := range pool.Taken() {
			_, ended := platform.Ended(s.ID)
			if n, _ := platform.Ended(s.ID); ended && n.At.Before(killed) {
				continue
			}
			if !tried(s.ID, killed) && s.At.Add(s.Left).Sub(restart) >= s.Left/2 {
				untried = append(untried, s)
			}
		}
		time.Sleep(time.Until(began.Add(20 * time.Second)))
		all, early, unsafe, unsafeEarly := len(untried), 0, 0, 0
		for _, s := range untried {
			n, ended := platform.Ended(s.ID)
			isEarly := ended && n.At.Before(s.At.Add(s.Left*7/10)) && !tried(s.ID, n.At)
			if isEarly {
				early++
			}
			if s.Class == "fee-charge" {
				unsafe++
				if isEarly {
					unsafeEarly++
				}
			}
		}
		r.Log("found untried %d, ended early with no call %d; of fee-charge %d, %d", all, early, unsafe, unsafeEarly)
		if 2*early > all {
			r.Broken("%d of %d messages that the restart found untried, with half of their time left, were ended early with no call",
				early, all)
		}
		if 2*unsafeEarly > unsafe {
			r.Broken("%d of %d such messages that must not be repeated", unsafeEarly, unsafe)
		}
	}
	time.Sleep(time.Until(began.Add(24 * time.Second)))
	lost, taken := 0, pool.Taken()
	for _, s := range taken {
		delivered := false
		for _, q := range partners {
			if _, ok := q.Delivered(s.ID); ok {
				delivered = true
			}
		}
		if _, ended := platform.Ended(s.ID); !delivered && !ended {
			lost++
			r.Log("neither delivered nor ended: %s", s.ID)
		}
	}
	ends := map[string]int{}
	for _, s := range taken {
		if n, ok := platform.Ended(s.ID); ok {
			ends[n.Outcome]++
		}
	}
	r.Log("sent %d, taken on %d, notices %v, lost %d", len(pool.Sent), len(taken), ends, lost)
	if lost > 0 {
		r.Broken("%d messages were neither delivered nor ended", lost)
	}
}
