package main

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// upgradeFleet replaces the process of each relay of a small fleet again and again, as operators do
// for a new version, under light load. No process may crash. Without the disruption the same
// processes serve.
func upgradeFleet(r *Rig) {
	relays := min(96, max(32, 8*runtime.NumCPU())) // busy cores, as where relays share them
	const length = 50 * time.Second
	partner := r.NewPartner("s-1", func([]Call) time.Duration { return 40 * time.Millisecond })
	platform := r.NewPlatform([]Endpoint{{"s-1", partner.Addr, "broker", "in_service", 1}})
	var addrs []string
	for range relays {
		addrs = append(addrs, FreeAddr())
	}
	var fleet []*Relay
	var procs []*Proc
	for i := range relays {
		c := config(platform.Addr, 3, settings(relays, i, 8, 60))
		c["seed"] = "8c1f30d27a5be96" + fmt.Sprintf("%02x", i)
		c["peer_listen"], c["peers"] = addrs[i], addrs
		rel := r.NewRelay(fmt.Sprintf("n%d", i), c)
		fleet = append(fleet, rel)
		procs = append(procs, rel.Start())
	}
	for _, rel := range fleet {
		if !rel.WaitReady(20 * time.Second) {
			cannotRun(errNotReady)
		}
	}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	var sent, taken, unanswered, upgrades atomic.Int64
	for _, rel := range fleet {
		for range 2 {
			wg.Go(func() { // a client with one connection at a time
				var c *Conn
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(150 * time.Millisecond)
					if c == nil {
						var err error
						if c, err = Dial(rel.Addr); err != nil {
							c = nil
							continue
						}
					}
					class := []string{"price-alert", "order-relay", "fee-charge"}[n%3]
					s, open := c.HandIn(r, NewID(), class, "", 1, 5*time.Second, []byte(strings.Repeat("x", 212)))
					sent.Add(1)
					if s.Status == 202 {
						taken.Add(1)
					} else if s.Status == 0 {
						unanswered.Add(1)
					}
					if !open {
						c = nil
					} else if n%8 == 7 { // connections do not last for ever
						c.sock.Close()
						c = nil
					}
				}
			})
		}
	}
	for i, rel := range fleet {
		wg.Go(func() {
			old := procs[i]
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Now().Before(end) {
				if !r.trouble {
					time.Sleep(50 * time.Millisecond)
					if old.Ended() {
						r.Broken("%s ended by itself: %v", old.Name, old.Err)
						return
					}
					continue
				}
				next := rel.Start()
				if !next.Healthy(6 * time.Second) {
					r.Log("%s did not say yes within 6 s: the upgrade is called off", next.Name)
					next.Signal(syscall.SIGKILL)
					<-next.Exited
					continue
				}
				old.Signal(syscall.SIGTERM)
				select {
				case <-old.Exited:
				case <-time.After(3700 * time.Millisecond):
					old.Signal(syscall.SIGKILL)
					<-old.Exited
					r.Log("%s did not leave within 3.7 s: killed", old.Name)
					old.Err = nil
				}
				upgrades.Add(1)
				r.Log("upgrade: %s left, %s serves", old.Name, next.Name)
				if old.Err != nil {
					r.Broken("%s crashed while it handed over: %v\n          | %s", old.Name, old.Err,
						old.Tail("panic"))
				}
				if next.Ended() {
					r.Broken("%s crashed: %v\n          | %s", next.Name, next.Err, next.Tail("panic"))
					return
				}
				old = next
			}
		})
	}
	wg.Wait()
	r.Log("upgrades %d, sent %d, taken on %d, without an answer %d", upgrades.Load(), sent.Load(), taken.Load(),
		unanswered.Load())
}
