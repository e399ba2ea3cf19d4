package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A search for faults: relays under drawn disruptions, no case by itself.

var stressPeers []string

type stressPartner struct {
	id, addr string
	dest     int
	mode     atomic.Int32 // 0 healthy 1 silent 2 503 3 429 wait 4 reset after 5 reset before 6 error 500 7 slow
	s        *stressRelay
	ln       net.Listener
}

type seenCall struct {
	at, end time.Time
	ran     bool // it may have run
	status  int
	spoilt  bool
	partner string
}

type stressRelay struct {
	rig      *Rig
	name     string
	rnd      *rand.Rand
	platform *Platform
	partners []*stressPartner
	mu       sync.Mutex
	calls    map[string][]*seenCall
	bodies   map[string][]byte // by id, when handed in
	dests    map[string]int
	pool     *Pool
	excuse   []([2]time.Time)
	events   []string
}

func (s *stressRelay) event(f string, a ...any) { s.rig.Log(s.name+" "+f, a...) }

func (p *stressPartner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	now := time.Now()
	type item struct{ ID, Key, Body string }
	var ids []string
	check := func(id, key string, b []byte) {
		ids = append(ids, id)
		p.s.mu.Lock()
		want, ok := p.s.bodies[id]
		dest := p.s.dests[id]
		p.s.mu.Unlock()
		if !ok || !bytes.Equal(want, b) || key != "k"+id || dest != p.dest {
			p.s.rig.Broken("%s: foreign message %s at %s (known %v, dest %d, %d bytes, key %s)", p.s.name, id, p.id, ok, dest, len(b), key)
		}
	}
	batch := req.URL.Path == "/hook/batch"
	if batch {
		var items []item
		if json.Unmarshal(body, &items) != nil || len(items) == 0 {
			p.s.rig.Broken("%s: unreadable batch", p.s.name)
			w.WriteHeader(400)
			return
		}
		for _, it := range items {
			b, _ := base64.StdEncoding.DecodeString(it.Body)
			check(it.ID, it.Key, b)
		}
	} else {
		check(req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key"), body)
	}
	mode := p.mode.Load()
	states := make([]string, len(ids))
	for i := range ids {
		states[i] = "ok"
		if mode == 8 {
			states[i] = []string{"ok", "later", "error", "ok"}[rand.Intn(4)]
		}
	}
	calls := make([]*seenCall, len(ids))
	p.s.mu.Lock()
	for i, id := range ids {
		for _, c := range p.s.calls[id] {
			if c.end.IsZero() {
				defer p.s.rig.Log("%s: overlap of %s with earlier call at %s", p.s.name, id, c.partner)
			}
		}
		calls[i] = &seenCall{at: now, ran: mode != 2 && mode != 3 && mode != 13 && !(batch && states[i] == "later"), partner: p.id, spoilt: mode >= 9 && mode <= 12}
		p.s.calls[id] = append(p.s.calls[id], calls[i])
	}
	p.s.mu.Unlock()
	p.s.rig.Log("%s call at %s mode %d: %v", p.s.name, p.id, mode, ids)
	finish := func(status int) {
		p.s.mu.Lock()
		for _, c := range calls {
			if c.end.IsZero() {
				c.end, c.status = time.Now(), status
			}
		}
		p.s.mu.Unlock()
	}
	defer finish(0)
	d := time.Duration(20+rand.Intn(60)) * time.Millisecond
	if mode == 7 {
		d = time.Duration(300+rand.Intn(900)) * time.Millisecond
	}
	switch mode {
	case 1:
		<-req.Context().Done()
		return
	case 4, 5:
		if mode == 4 {
			time.Sleep(d)
		}
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	case 9, 10, 11, 12:
		time.Sleep(d)
		text := map[int32]string{9: "HTTP/1.1 5", 10: "HTTP/1.1 500 Oops\r\nContent-Length: 100\r\n\r\nabc",
			11: "\x00\x01garbage\r\n\r\n", 12: "HTTP/1.1 500 Oops\r\nX: " + string(bytes.Repeat([]byte("y"), 9000))}[mode]
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.Write([]byte(text))
			if rand.Intn(2) == 0 {
				time.Sleep(800 * time.Millisecond)
			}
			c.Close()
		}
		return
	case 13:
		w.Header().Set("Slots-Taken", "1")
		w.WriteHeader(503)
		finish(503)
		return
	case 2:
		w.WriteHeader(503)
		finish(503)
		return
	case 3:
		w.Header().Set("Wait-Ms", "400")
		w.WriteHeader(429)
		finish(429)
		return
	case 6:
		time.Sleep(d)
		w.WriteHeader(500)
		finish(500)
		return
	}
	select {
	case <-time.After(d):
	case <-req.Context().Done():
	}
	if req.Context().Err() != nil {
		return
	}
	if batch {
		var out []object
		for i, id := range ids {
			out = append(out, object{"id": id, "state": states[i]})
		}
		b, _ := json.Marshal(out)
		w.Write(b)
		p.s.mu.Lock()
		for i, c := range calls {
			c.end, c.status = time.Now(), map[string]int{"ok": 200, "later": 503, "error": 500}[states[i]]
		}
		p.s.mu.Unlock()
	} else {
		w.Write([]byte("ok " + strconv.Itoa(rand.Intn(1<<30))))
	}
	finish(200)
}

func (s *stressRelay) addPartner(id string, dest int) *stressPartner {
	p := &stressPartner{id: id, dest: dest, s: s}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	p.addr, p.ln = ln.Addr().String(), ln
	go (&http.Server{Handler: p}).Serve(ln)
	s.partners = append(s.partners, p)
	return p
}

func stress(r *Rig) {
	seed := rand.Int63()
	if v, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		seed = v
	}
	n, _ := strconv.Atoi(os.Getenv("RELAYS"))
	if n == 0 {
		n = 12
	}
	bodyMax, _ := strconv.Atoi(os.Getenv("BODY"))
	if bodyMax == 0 {
		bodyMax = 2000
	}
	if os.Getenv("FLEET") != "" {
		for range n {
			stressPeers = append(stressPeers, FreeAddr())
		}
	}
	length := 70 * time.Second
	r.Log("seed %d", seed)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { stressOne(r, fmt.Sprintf("n%d", i), rand.New(rand.NewSource(seed+int64(i))), length, bodyMax) })
	}
	wg.Wait()
}

func dirBytes(dir string) (total int64) {
	filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			total += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return total
}

func stressOne(r *Rig, name string, rnd *rand.Rand, length time.Duration, bodyMax int) {
	s := &stressRelay{rig: r, name: name, rnd: rnd, calls: map[string][]*seenCall{}, bodies: map[string][]byte{}, dests: map[string]int{}}
	var list []Endpoint
	for d := 1; d <= 5; d++ {
		for e := 0; e <= d%2; e++ {
			p := s.addPartner(fmt.Sprintf("s-%d-%d", d, e), d)
			kind := "small-partner"
			if d <= 2 {
				kind = "broker"
			}
			list = append(list, Endpoint{p.id, p.addr, kind, "in_service", d})
		}
	}
	s.platform = r.NewPlatform(list)
	ordered := os.Getenv("ORDERED") != ""
	makeConfig := func() object {
		set := settings(2, 0, 6, 150)
		if ordered {
			for _, g := range set["grades"].([]object) {
				g["inTurn"] = true
			}
			set["guarantees"].(object)["keyQuietUs"] = 100_000
		}
		c := config(s.platform.Addr, 3, set)
		if len(stressPeers) > 0 {
			i, _ := strconv.Atoi(name[1:])
			set["me"], set["fleetSize"] = i, len(stressPeers)
			c["peer_listen"], c["peers"] = stressPeers[i], stressPeers
		}
		return c
	}
	c := makeConfig()
	rel := r.NewRelay(name, c)
	p := rel.Start()
	if !rel.WaitReady(20 * time.Second) {
		cannotRun(errNotReady)
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	var maxUsed atomic.Int64
	wg.Go(func() {
		for !stop.Load() {
			u := dirBytes(rel.State)
			if u > maxUsed.Load() {
				maxUsed.Store(u)
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	s.pool = &Pool{rig: r, addr: rel.Addr}
	begin := time.Now()
	for range 6 {
		seed := rnd.Int63()
		wg.Go(func() {
			rr := rand.New(rand.NewSource(seed))
			for time.Since(begin) < length-23*time.Second {
				time.Sleep(time.Duration(rr.Intn(160)) * time.Millisecond)
				class := []string{"price-alert", "order-relay", "fee-charge"}[rr.Intn(3)]
				left := time.Duration(500+rr.Intn(6000)) * time.Millisecond
				if class != "price-alert" && rr.Intn(2) == 0 {
					left = time.Duration(500+rr.Intn(19500)) * time.Millisecond
				} else if left > 6*time.Second {
					left = 6 * time.Second
				}
				body := make([]byte, rr.Intn(bodyMax))
				rr.Read(body)
				s.handIn(class, 1+rr.Intn(5), left, body)
			}
		})
	}
	for i := range s.partners {
		sp := s.partners[i]
		seed := rnd.Int63()
		wg.Go(func() {
			rr := rand.New(rand.NewSource(seed))
			for !stop.Load() {
				time.Sleep(time.Duration(500+rr.Intn(5000)) * time.Millisecond)
				if rr.Intn(2) == 0 {
					sp.mode.Store(int32(rr.Intn(14)))
				} else {
					sp.mode.Store(0)
				}
			}
		})
	}
	wg.Go(func() { // the list changes
		rr := rand.New(rand.NewSource(int64(len(name)) + rand.Int63n(1<<40)))
		n := 0
		for !stop.Load() {
			time.Sleep(time.Duration(1000+rr.Intn(4000)) * time.Millisecond)
			next := append([]Endpoint(nil), list...)
			i := rr.Intn(len(next))
			switch rr.Intn(3) {
			case 0:
				next[i].State = "terminating"
			case 1:
				next = append(next[:i], next[i+1:]...)
			case 2:
				n++
				old := next[i]
				s.mu.Lock()
				p := &stressPartner{id: fmt.Sprintf("%s-new%d", old.ID, n), dest: old.Cell, s: s}
				s.mu.Unlock()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				cannotRun(err)
				p.addr = ln.Addr().String()
				go (&http.Server{Handler: p}).Serve(ln)
				next[i].ID, next[i].Addr = p.id, p.addr
				if rr.Intn(2) == 0 {
					next[i].ID = old.ID
				}
			}
			s.platform.SetList(next)
			if rr.Intn(2) == 0 {
				time.Sleep(time.Duration(rr.Intn(300)) * time.Millisecond)
				s.platform.SetList(list)
			}
		}
	})
	excuse := func(from time.Time) {
		s.mu.Lock()
		s.excuse = append(s.excuse, [2]time.Time{from, time.Now().Add(1500 * time.Millisecond)})
		s.mu.Unlock()
	}
	endOf := func(q *Proc, how string, mayKill bool) {
		if q.Err != nil && !mayKill {
			r.Broken("%s crashed (%s): %v\n | %s", q.Name, how, q.Err, q.Tail("panic"))
		}
	}
	for time.Since(begin) < length-20*time.Second {
		time.Sleep(time.Duration(300+rnd.Intn(3000)) * time.Millisecond)
		if p.Ended() {
			r.Broken("%s ended by itself: %v\n | %s", p.Name, p.Err, p.Tail("panic"))
			return
		}
		at := time.Now()
		kinds := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
		if v := os.Getenv("KINDS"); v != "" {
			kinds = nil
			for _, c := range v {
				kinds = append(kinds, int(c-'0'))
			}
		}
		switch k := kinds[rnd.Intn(len(kinds))]; k {
		case 0, 1: // killed
			s.event("SIGKILL")
			p.Signal(syscall.SIGKILL)
			<-p.Exited
			time.Sleep(600 * time.Millisecond)
			p = rel.Start()
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 2: // planned restart
			s.event("SIGTERM")
			p.Signal(syscall.SIGTERM)
			select {
			case <-p.Exited:
				endOf(p, "SIGTERM", false)
			case <-time.After(3700 * time.Millisecond):
				p.Signal(syscall.SIGKILL)
				<-p.Exited
			}
			time.Sleep(600 * time.Millisecond)
			p = rel.Start()
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 3, 4, 5, 6: // upgrade; 4: the old one is killed meanwhile, 5: the new one, 6: both
			s.event("upgrade kind %d", k)
			next := rel.Start()
			if !next.Healthy(6 * time.Second) {
				r.Broken("%s did not say yes within 6 s", next.Name)
				next.Signal(syscall.SIGKILL)
				<-next.Exited
				continue
			}
			time.Sleep(time.Duration(rnd.Intn(300)) * time.Millisecond)
			at = time.Now()
			p.Signal(syscall.SIGTERM)
			wait := time.Duration(rnd.Intn(rnd.Intn(1500)+1)) * time.Millisecond
			oldKilled := false
			if k != 3 {
				select {
				case <-p.Exited:
				case <-time.After(wait):
				}
			}
			switch k {
			case 4:
				oldKilled = true
				p.Signal(syscall.SIGKILL)
				s.event("old killed after %v", wait)
			case 5, 6:
				next.Signal(syscall.SIGKILL)
				<-next.Exited
				s.event("new killed after %v", wait)
				if k == 6 {
					time.Sleep(time.Duration(rnd.Intn(100)) * time.Millisecond)
					oldKilled = true
					p.Signal(syscall.SIGKILL)
					s.event("old killed")
				}
				time.Sleep(600 * time.Millisecond)
				next = rel.Start()
			}
			select {
			case <-p.Exited:
			case <-time.After(3700*time.Millisecond - time.Since(at)):
				oldKilled = true
				p.Signal(syscall.SIGKILL)
				<-p.Exited
			}
			endOf(p, "upgrade", oldKilled)
			p = next
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 9: // upgrades in quick succession
			s.event("upgrade chain")
			var leaving sync.WaitGroup
			n := 2 + rnd.Intn(3)
			for range n {
				next := rel.Start()
				if !next.Healthy(6 * time.Second) {
					r.Broken("%s did not say yes within 6 s\n | %s", next.Name, next.Tail(""))
					next.Signal(syscall.SIGKILL)
					<-next.Exited
					break
				}
				time.Sleep(time.Duration(rnd.Intn(rnd.Intn(700)+1)) * time.Millisecond)
				old := p
				old.Signal(syscall.SIGTERM)
				leaving.Go(func() {
					select {
					case <-old.Exited:
						endOf(old, "chain", false)
					case <-time.After(3700 * time.Millisecond):
						old.Signal(syscall.SIGKILL)
						<-old.Exited
					}
				})
				p = next
				if !rel.WaitReady(30 * time.Second) {
					r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
					return
				}
			}
			leaving.Wait()
			excuse(at)
		case 10: // killed while another stands by
			s.event("killed beside a standby")
			next := rel.Start()
			if !next.Healthy(6 * time.Second) {
				r.Broken("%s did not say yes within 6 s\n | %s", next.Name, next.Tail(""))
				return
			}
			time.Sleep(time.Duration(rnd.Intn(100)) * time.Millisecond)
			p.Signal(syscall.SIGKILL)
			<-p.Exited
			p = next
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 12: // both are told to end during a handover
			s.event("both get SIGTERM")
			next := rel.Start()
			if !next.Healthy(6 * time.Second) {
				r.Broken("%s did not say yes within 6 s\n | %s", next.Name, next.Tail(""))
				return
			}
			p.Signal(syscall.SIGTERM)
			termAt := time.Now()
			time.Sleep(time.Duration(rnd.Intn(rnd.Intn(900)+1)) * time.Millisecond)
			next.Signal(syscall.SIGTERM)
			for i, q := range []*Proc{p, next} {
				killed := false
				select {
				case <-q.Exited:
				case <-time.After(time.Until(termAt.Add(time.Duration(3700+900*i) * time.Millisecond))):
					killed = true
					q.Signal(syscall.SIGKILL)
					<-q.Exited
				}
				endOf(q, "both", killed)
			}
			time.Sleep(600 * time.Millisecond)
			p = rel.Start()
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 11: // both are held up during a handover
			s.event("upgrade with hold-ups")
			next := rel.Start()
			if !next.Healthy(6 * time.Second) {
				r.Broken("%s did not say yes within 6 s\n | %s", next.Name, next.Tail(""))
				return
			}
			p.Signal(syscall.SIGTERM)
			at := time.Now()
			for range 6 {
				time.Sleep(time.Duration(rnd.Intn(20)) * time.Millisecond)
				q := []*Proc{p, next}[rnd.Intn(2)]
				q.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rnd.Intn(140)) * time.Millisecond)
				q.Signal(syscall.SIGCONT)
			}
			killed := false
			select {
			case <-p.Exited:
			case <-time.After(3900*time.Millisecond - time.Since(at)):
				killed = true
				p.Signal(syscall.SIGKILL)
				<-p.Exited
			}
			endOf(p, "hold-ups", killed)
			p = next
			if !rel.WaitReady(30 * time.Second) {
				r.Broken("%s not ready within 30 s, ended %v: %v\n | %s", p.Name, p.Ended(), p.Err, p.Tail(""))
				return
			}
			excuse(at)
		case 7: // held up
			p.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rnd.Intn(140)) * time.Millisecond)
			p.Signal(syscall.SIGCONT)
		case 8:
			s.event("SIGHUP")
			c := makeConfig()
			c["name"], c["listen"] = name, rel.Addr
			set := c["settings"].(object)
			if rnd.Intn(2) == 0 {
				set["familyInfo"].(object)["callSlots"] = 3 + rnd.Intn(8)
			}
			if rnd.Intn(2) == 0 {
				set["familyInfo"].(object)["batchByKind"] = []int{1 + rnd.Intn(5), 1 + rnd.Intn(3)}
			}
			if rnd.Intn(2) == 0 {
				set["familyInfo"].(object)["separateRoutes"] = []bool{rnd.Intn(2) == 0, rnd.Intn(2) == 0}
			}
			rel.WriteConfig(c)
			p.Signal(syscall.SIGHUP)
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(begin.Add(length)))
	stop.Store(true)
	wg.Wait()
	s.check()
	r.Log("%s most bytes in the folder: %d", name, maxUsed.Load())
	if maxUsed.Load() > 3_000_000 {
		r.Broken("%s: %d bytes in the folder, over 3 MB", name, maxUsed.Load())
	}
	if p.Ended() {
		r.Broken("%s ended by itself: %v\n | %s", p.Name, p.Err, p.Tail("panic"))
	}
}

func (s *stressRelay) handIn(class string, dest int, left time.Duration, body []byte) {
	id := NewID()
	s.mu.Lock()
	s.bodies[id], s.dests[id] = body, dest
	s.mu.Unlock()
	query := ""
	if os.Getenv("ORDERED") != "" {
		query = fmt.Sprintf("?subject=q%d", dest*10+len(body)%3)
	}
	s.pool.HandInAs(id, class, query, dest, left, body)
}

func (s *stressRelay) check() {
	counts := map[string]int{}
	for _, m := range s.pool.Sent {
		s.mu.Lock()
		calls := s.calls[m.ID]
		s.mu.Unlock()
		taken := m.Status == 202 || m.Status == 200
		counts[fmt.Sprint(m.Status)]++
		n, ended := s.platform.Ended(m.ID)
		var delivered, firstRan time.Time
		ran := 0
		for i, c := range calls {
			if c.ran {
				if ran == 0 {
					firstRan = c.at
				}
				if m.Class == "fee-charge" && ran > 0 {
					s.rig.Broken("%s: fee-charge %s called again after a call that may have run", s.name, m.ID)
				}
				if i > 0 && m.Class == "order-relay" && ran > 0 && c.at.Sub(firstRan) > 5050*time.Millisecond {
					s.rig.Broken("%s: order %s repeated after its window: %v", s.name, m.ID, c.at.Sub(firstRan))
				}
				ran++
			}
			if c.status == 200 && delivered.IsZero() {
				delivered = c.end
			}
			if i > 0 && calls[i-1].end.Sub(c.at) > 50*time.Millisecond && !calls[i-1].spoilt {
				s.rig.Broken("%s: two calls with %s at once: %v", s.name, m.ID, calls[i-1].end.Sub(c.at))
			}
		}
		if ended && n.Outcome == "handed_back" && ran > 0 && m.Class != "price-alert" {
			for _, c := range calls {
				if c.ran && c.at.Before(n.At.Add(-50*time.Millisecond)) {
					s.rig.Broken("%s: %s %s handed back though a call may have run", s.name, m.Class, m.ID)
					break
				}
			}
		}
		for _, c := range calls {
			if ended && c.at.After(n.At.Add(100*time.Millisecond)) {
				s.rig.Broken("%s: %s %s called %v after its notice %s", s.name, m.Class, m.ID, c.at.Sub(n.At), n.Outcome)
			}
			if !delivered.IsZero() && c.at.After(delivered.Add(200*time.Millisecond)) && m.Class == "fee-charge" {
				s.rig.Broken("%s: %s called after its delivery", s.name, m.ID)
			}
		}
		if !taken {
			if m.Status == 0 {
				s.rig.Log("%s: no answer %s: %s", s.name, m.ID, m.How)
				counts["none"]++
			}
			continue
		}
		due := m.At.Add(m.Left + 350*time.Millisecond)
		s.mu.Lock()
		for _, e := range s.excuse {
			if due.After(e[0]) && due.Before(e[1]) {
				due = e[1]
			}
		}
		s.mu.Unlock()
		if delivered.IsZero() && !ended {
			s.rig.Broken("%s: %s %s lost", s.name, m.Class, m.ID)
		} else if ended && delivered.IsZero() && n.At.After(due) {
			s.rig.Broken("%s: %s %s ended %v late", s.name, m.Class, m.ID, n.At.Sub(due))
		}
		if ended {
			counts[n.Outcome]++
		}
		if !delivered.IsZero() {
			counts["delivered"]++
		}
	}
	s.rig.Log("%s: %v", s.name, counts)
	fmt.Println(s.name, counts)
}
