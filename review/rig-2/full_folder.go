package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// folderBytes returns what the files of a state folder take, each in whole 512 bytes.
func folderBytes(dir string) (total int64, files string) {
	filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			n := (info.Size() + 511) / 512 * 512
			total += n
			rel, _ := filepath.Rel(dir, path)
			files += fmt.Sprintf(" %s:%d", rel, n)
		}
		return nil
	})
	return total, files
}

// upgradeFullFolder upgrades a relay whose folder is full of messages with long bodies.
func upgradeFullFolder(r *Rig) {
	const limit = 3_000_000
	endpoints := 39
	if n, err := strconv.Atoi(os.Getenv("ENDPOINTS")); err == nil {
		endpoints = n
	}
	dests := max(1, endpoints*2/3)
	service := func(c []Call) time.Duration {
		if len(c) > 0 && len(c[0].Body) > 1000 {
			return 500 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	var list []Endpoint
	for i := range endpoints {
		p := r.NewPartner(fmt.Sprintf("s-%08x", i), service)
		kind := []string{"broker", "small-partner"}[i%dests%2]
		list = append(list, Endpoint{p.ID, p.Addr, kind, "in_service", i % dests})
	}
	platform := r.NewPlatform(list)
	rel := r.NewRelay("n0", config(platform.Addr, 3, settings(2, 0, 16, 347)))
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	var most atomic.Int64
	var mostFiles atomic.Value
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
	for i := range dests * 2 {
		time.Sleep(3 * time.Millisecond)
		wg.Go(func() { pool.HandIn("price-alert", "", i%dests, 6*time.Second, []byte("small")) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	body := bytes.Repeat([]byte("0123456789abcdef"), 60<<10/16)
	burst := func(length time.Duration) {
		began := time.Now()
		for n := 0; time.Since(began) < length; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / 110)))
			wg.Go(func() { pool.HandIn("price-alert", "", n%dests, 6*time.Second, body) })
		}
	}
	burst(2 * time.Second)
	r.Log("most bytes in the folder before the upgrade: %d; %v", most.Load(), mostFiles.Load())
	if r.trouble {
		next := startUpgrade(rel)
		termAt := time.Now()
		old := p
		r.Log("SIGTERM to %s", old.Name)
		old.Signal(syscall.SIGTERM)
		p = next
		burst(2 * time.Second)
		leave(r, old, termAt)
	} else {
		burst(2 * time.Second)
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	stop.Store(true)
	sampling.Wait()
	r.Log("most bytes in the folder: %d; %v", most.Load(), mostFiles.Load())
	if most.Load() > limit {
		r.Broken("%d bytes were in the folder, over limits.disk_mb 3", most.Load())
	}
	counts := map[int]int{}
	for _, s := range pool.Sent {
		counts[s.Status]++
	}
	r.Log("sent %d, by answer %v", len(pool.Sent), counts)
}
