package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// startUpgrade starts the next process and waits for its yes.
func startUpgrade(rel *Relay) *Proc {
	next := rel.Start()
	if !next.Healthy(6 * time.Second) {
		cannotRun(errNotReady)
	}
	rel.rig.Log("%s says yes", next.Name)
	return next
}

// leave waits until a process that got SIGTERM has ended, 3.7 s at most.
func leave(r *Rig, old *Proc, termAt time.Time) {
	select {
	case <-old.Exited:
		r.Log("%s has left: %v", old.Name, old.Err)
	case <-time.After(time.Until(termAt.Add(3700 * time.Millisecond))):
		old.Signal(syscall.SIGKILL)
		<-old.Exited
		r.Log("%s killed after 3.7 s", old.Name)
	}
}

// drainInUpgrade has operators drain a relay by the operators' address that they know, while its
// process hands over to the next one.
func drainInUpgrade(r *Rig) {
	partner := r.NewPartner("s-1", func([]Call) time.Duration { return 150 * time.Millisecond })
	platform := r.NewPlatform([]Endpoint{{"s-1", partner.Addr, "broker", "in_service", 1}})
	rel := r.NewRelay("n0", config(platform.Addr, 3, settings(2, 0, 16, 347)))
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	pool := &Pool{rig: r, addr: rel.Addr}
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 3 { // clients that keep their connections, three messages a second each
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				case <-time.After(330 * time.Millisecond):
				}
				pool.HandIn("order-relay", "", 1, 10*time.Second, []byte(strings.Repeat("x", 212)))
			}
		})
	}
	time.Sleep(time.Second)
	if c, err := Dial(rel.Addr); err == nil { // a client that rests until the relay ends its connection
		s, _ := c.HandIn(r, NewID(), "order-relay", "", 1, 10*time.Second, []byte("x"))
		r.Log("a client rests after %s", s.ID)
		defer c.sock.Close()
	}
	old := p
	var termAt time.Time
	if r.trouble {
		p = startUpgrade(rel)
		termAt = time.Now()
		r.Log("SIGTERM to %s", old.Name)
		old.Signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
	}
	status := call("PUT", "http://"+old.Admin+"/healthcheck/fail")
	drainAt := time.Now()
	r.Log("PUT /healthcheck/fail at %s: %d", old.Name, status)
	if r.trouble {
		leave(r, old, termAt)
		r.Log("its log: %s", old.Tail("handing over"))
	}
	time.Sleep(time.Until(drainAt.Add(200 * time.Millisecond)))
	close(stop) // the front stops new connections 0.2 s after a no; here the clients rest in any case
	wg.Wait()
	var resting *Conn
	if c, err := Dial(rel.Addr); err == nil {
		s, open := c.HandIn(r, NewID(), "order-relay", "", 1, 2*time.Second, []byte("x"))
		r.Log("another client rests after %s: its connection is open: %v", s.ID, open)
		if open {
			resting = c
			defer c.sock.Close()
		}
	}
	yes, no := 0, 0
	for t := 4 * time.Second; t < 9*time.Second; t += 100 * time.Millisecond {
		time.Sleep(time.Until(drainAt.Add(t)))
		code := get("http://" + rel.Addr + "/ready")
		r.Log("GET /ready %.1f s after the call: %d", t.Seconds(), code)
		if code == 200 {
			yes++
		} else {
			no++
		}
	}
	if status/100 == 2 && yes > 0 {
		r.Broken("the drain was answered %d; from 4 s after the call on GET /ready said yes %d times, no %d times", status,
			yes, no)
	}
	if resting != nil {
		resting.sock.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := resting.r.ReadByte()
		r.Log("the resting client's connection now: %v", err)
	}
	r.Log("sent %d, taken on %d, %.1f s in all", len(pool.Sent), len(pool.Taken()), time.Since(began).Seconds())
}

// reloadInUpgrade gives a relay a new configuration while its next process stands by. What it takes on
// afterwards must still end.
func reloadInUpgrade(r *Rig) {
	service := func([]Call) time.Duration { return 150 * time.Millisecond }
	first, second := r.NewPartner("s-1", service), r.NewPartner("s-2", service)
	list := []Endpoint{{"s-1", first.Addr, "broker", "in_service", 1}}
	before, after := r.NewPlatform(list), r.NewPlatform(list)
	c := config(before.Addr, 3, settings(2, 0, 16, 347))
	rel := r.NewRelay("n0", c)
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	pool := &Pool{rig: r, addr: rel.Addr}
	handIn := func(n int) {
		for range n {
			pool.HandIn("order-relay", "", 1, 5*time.Second, []byte(strings.Repeat("x", 212)))
			time.Sleep(100 * time.Millisecond)
		}
	}
	handIn(5)
	old := p
	if r.trouble {
		p = startUpgrade(rel)
	}
	c["discovery"] = after.Addr
	rel.WriteConfig(c)
	r.Log("a new configuration moves discovery from %s to %s: SIGHUP to %s", before.Addr, after.Addr, old.Name)
	old.Signal(syscall.SIGHUP)
	hangupAt := time.Now()
	for after.Asked() == 0 && time.Since(hangupAt) < 2*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	r.Log("discovery was asked at the new address %d times", after.Asked())
	if after.Asked() == 0 {
		cannotRun(errNotReloaded)
	}
	if r.trouble {
		termAt := time.Now()
		r.Log("SIGTERM to %s", old.Name)
		old.Signal(syscall.SIGTERM)
		leave(r, old, termAt)
	}
	time.Sleep(time.Until(hangupAt.Add(4500 * time.Millisecond)))
	r.Log("nobody is at the old address any more")
	before.Close()
	// An endpoint is replaced: the new address of discovery tells it.
	after.SetList([]Endpoint{{"s-1", first.Addr, "broker", "terminating", 1}, {"s-2", second.Addr, "broker", "in_service", 1}})
	r.Log("discovery tells that s-1 drains and s-2 serves")
	time.Sleep(3 * time.Second)
	after.SetList([]Endpoint{{"s-2", second.Addr, "broker", "in_service", 1}})
	time.Sleep(3 * time.Second)
	r.Log("s-1 ends")
	first.Close()
	handIn(20)
	time.Sleep(7 * time.Second)
	lost, taken := 0, pool.Taken()
	for _, s := range taken {
		_, d1 := first.Delivered(s.ID)
		_, d2 := second.Delivered(s.ID)
		_, e1 := before.Ended(s.ID)
		_, e2 := after.Ended(s.ID)
		if !d1 && !d2 && !e1 && !e2 {
			lost++
			r.Log("neither delivered nor ended, %.3f s after its time was up: %s",
				time.Since(s.At.Add(s.Left)).Seconds(), s.ID)
		}
	}
	r.Log("sent %d, taken on %d, lost %d", len(pool.Sent), len(taken), lost)
	if lost > 0 {
		r.Broken("%d of %d messages that were taken on were neither delivered nor ended by a notice", lost, len(taken))
	}
}
