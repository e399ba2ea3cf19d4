package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// crowdThenStop stops a relay in order while a crowd of clients connects and sits idle. The process must
// stay within its descriptors, and requests that it has read must be answered.
func crowdThenStop(r *Rig) {
	const sockets, memoryMB, crowd = 512, 96, 2000
	partner := r.NewPartner("s-1", func([]Call) time.Duration { return 150 * time.Millisecond })
	platform := r.NewPlatform([]Endpoint{{"s-1", partner.Addr, "broker", "in_service", 1}})
	c := config(platform.Addr, 3, settings(2, 0, 16, 347))
	c["limits"] = object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}
	rel := r.NewRelay("n0", c)
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	var stop, noMore atomic.Bool
	var most, mostBefore, mostKB, mostKBBefore atomic.Int64
	var sampling sync.WaitGroup
	pid := p.cmd.Process.Pid
	sampling.Go(func() {
		for !stop.Load() && !p.Ended() {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if n := int64(len(entries)); n > most.Load() {
				most.Store(n)
				r.Log("descriptors: %d", n)
			}
			if kb := anonKB(pid); kb > mostKB.Load() {
				mostKB.Store(kb)
				r.Log("memory: %d kB", kb)
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	half := strings.Repeat("x", 60<<10)
	var wg sync.WaitGroup
	var connected, refused atomic.Int64
	for n := range crowd { // each stops in the middle of a body, and connects again once it is closed
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			for !stop.Load() && !noMore.Load() {
				sock, err := net.DialTimeout("tcp", rel.Addr, time.Second)
				if err != nil {
					refused.Add(1)
					return
				}
				connected.Add(1)
				sock.SetDeadline(time.Now().Add(20 * time.Second))
				fmt.Fprintf(sock, "POST /order-relay HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: crowd\r\n"+
					"Content-Length: 65536\r\nEnvelope: dest=1\r\n\r\n%s", half)
				sock.Read(make([]byte, 1))
				sock.Close()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	pool := &Pool{rig: r, addr: rel.Addr}
	var sent sync.WaitGroup
	sent.Go(func() {
		for n := 0; !stop.Load(); n++ {
			time.Sleep(50 * time.Millisecond)
			class := []string{"price-alert", "order-relay", "fee-charge"}[n%3]
			pool.HandIn(class, "", 1, 5*time.Second, []byte(strings.Repeat("x", 212)))
		}
	})
	time.Sleep(8 * time.Second)
	mostBefore.Store(most.Load())
	mostKBBefore.Store(mostKB.Load())
	r.Log("before: %d descriptors of %d, %d kB of %d MB", mostBefore.Load(), sockets, mostKB.Load(), memoryMB)
	if r.trouble {
		at := time.Now()
		r.Log("SIGTERM")
		p.Signal(syscall.SIGTERM)
		// New connections keep coming for 0.2 to 0.4 s.
		time.AfterFunc(300*time.Millisecond, func() { noMore.Store(true) })
		leave(r, p, at)
	} else {
		time.Sleep(4 * time.Second)
	}
	stop.Store(true)
	sampling.Wait()
	r.Log("connections %d, refused %d; most descriptors %d, before %d; most memory %d kB, before %d kB", connected.Load(),
		refused.Load(), most.Load(), mostBefore.Load(), mostKB.Load(), mostKBBefore.Load())
	if mostKB.Load() > memoryMB<<10 {
		r.Broken("the process held %d kB of memory of its own, limits.memory_mb is %d", mostKB.Load(), memoryMB)
	}
	if most.Load() > sockets {
		r.Broken("the process held %d descriptors, limits.sockets is %d", most.Load(), sockets)
	}
}

// anonKB returns the memory of a process that belongs to it alone, in kB: without the program's text.
func anonKB(pid int) (kb int64) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(v, &kb)
		}
	}
	return kb
}
