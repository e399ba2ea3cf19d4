package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// upgradeRestBurst upgrades a relay with many messages; clients whose connections rest send on them
// meanwhile. What both processes keep must stay within the disk limit.
func upgradeRestBurst(r *Rig) {
	const limit = 3_000_000
	const dests = 8
	var list []Endpoint
	for d := 1; d <= dests; d++ {
		p := r.NewPartner(fmt.Sprintf("s-%d", d), func([]Call) time.Duration { return 340 * time.Millisecond })
		list = append(list, Endpoint{p.ID, p.Addr, "small-partner", "in_service", d})
	}
	platform := r.NewPlatform(list)
	rel := r.NewRelay("n0", config(platform.Addr, 3, settings(2, 0, 16, 347)))
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	var most atomic.Int64
	var mostFiles atomic.Value
	mostFiles.Store("")
	var stop atomic.Bool
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for !stop.Load() {
			if n, files := folderBytes(rel.State); n > most.Load() {
				most.Store(n)
				mostFiles.Store(fmt.Sprintf("%.3f%s", time.Since(r.began).Seconds(), files))
			}
			time.Sleep(500 * time.Microsecond)
		}
	})
	pool := &Pool{rig: r, addr: rel.Addr}
	var wg sync.WaitGroup
	short, long := bytes.Repeat([]byte("0123456789abcdef"), 8<<10/16), bytes.Repeat([]byte("0123456789abcdef"), 60<<10/16)
	var resting []*Conn
	var mu sync.Mutex
	for n := range 36 {
		wg.Go(func() {
			if c, err := Dial(rel.Addr); err == nil {
				if _, open := c.HandIn(r, NewID(), "price-alert", "", 1+n%dests, 6*time.Second, []byte("x")); open {
					mu.Lock()
					resting = append(resting, c)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	r.Log("%d clients rest", len(resting))
	for n := range 330 {
		time.Sleep(time.Second / 110) // 1.8 times the usual load, for 3 s
		wg.Go(func() { pool.HandIn("order-relay", "", 1+n%dests, 20*time.Second, short) })
	}
	wg.Wait()
	sendOnResting := func() { // at the same rate
		for i, c := range resting {
			time.Sleep(time.Second / 110)
			wg.Go(func() { c.HandIn(r, NewID(), "price-alert", "", 1+i%dests, 6*time.Second, long) })
		}
		wg.Wait()
	}
	n, files := folderBytes(rel.State)
	r.Log("before the upgrade: %d bytes now, %d at most;%s", n, most.Load(), files)
	if r.trouble {
		next := startUpgrade(rel)
		termAt := time.Now()
		r.Log("SIGTERM to %s", p.Name)
		p.Signal(syscall.SIGTERM)
		time.Sleep(600 * time.Millisecond)
		n, files = folderBytes(rel.State)
		r.Log("600 ms later: %d bytes;%s", n, files)
		sendOnResting()
		leave(r, p, termAt)
		p = next
	} else {
		sendOnResting()
	}
	time.Sleep(8 * time.Second)
	stop.Store(true)
	sampling.Wait()
	r.Log("most bytes in the folder: %d; %v", most.Load(), mostFiles.Load())
	if most.Load() > limit {
		r.Broken("%d bytes were in the folder, over limits.disk_mb 3", most.Load())
	}
}
