package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/testdouble"
)

// bin is the real relay, built when it is first needed.
var bin = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "relay")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

func world(t *testing.T, set testdouble.Config) (*testdouble.Environment, *testdouble.Relay) {
	t.Helper()
	program, err := bin()
	if err != nil {
		t.Fatal(err)
	}
	w, err := testdouble.NewEnvironment(set)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	r, err := w.StartRelay(program)
	if err != nil {
		t.Fatal(err)
	}
	return w, r
}

// load is clients that hand in all classes, until they are told to stop.
type load struct {
	w    *testdouble.Environment
	all  sync.WaitGroup
	stop atomic.Bool

	mu      sync.Mutex
	results map[string]client.Result // by the message's name
}

func start(t *testing.T, w *testdouble.Environment, addr string) *load {
	l := &load{w: w, results: map[string]client.Result{}}
	for lane := range 6 {
		c, err := client.New(client.Config{Relays: []string{addr}, Spread: 10 * time.Millisecond, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		l.all.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				class := testdouble.DefaultClasses[(lane+n)%3].Name
				name := fmt.Sprintf("%s/%d-%d", class, lane, n)
				res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 1 + (lane+n)%2, TimeLeft: 5900 * time.Millisecond, Body: []byte(name + "\n")})
				l.mu.Lock()
				l.results[name] = res
				l.mu.Unlock()
				time.Sleep(2 * time.Millisecond) // more would only fill the hold
			}
		})
	}
	return l
}

// end stops the clients, waits until all that was taken on has ended, and checks that each did so once.
func (l *load) end(t *testing.T, log func() string) map[client.Outcome]int {
	t.Helper()
	l.stop.Store(true)
	l.all.Wait()
	did := map[string]int{}
	if err := l.w.WaitUntil("all that was taken on to end", func() bool {
		did = l.w.EffectLog.CountByName()
		told := l.w.Platform.Notifications()
		for name, res := range l.results {
			if _, ended := told[res.ID]; res.Outcome == client.Taken && did[name] == 0 && !ended {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, log())
	}
	if doubles := l.w.EffectLog.Duplicates("fee-charge"); len(doubles) > 0 {
		t.Errorf("charges ran twice: %v", doubles)
	}
	counts := map[client.Outcome]int{}
	for name, res := range l.results {
		if counts[res.Outcome]++; did[name] > 0 && res.Outcome == client.Refused {
			t.Errorf("%s was refused and ran: %+v", name, res)
		}
	}
	return counts
}

var partners = []testdouble.PartnerConfig{{Dest: 1, ServiceTime: 5 * time.Millisecond}, {Dest: 2, Kind: "broker", ServiceTime: 40 * time.Millisecond}}

// Upgrades in a row under load: the old process exits with 0 once the new one serves, nobody is turned away unheard, each message ends
// once, no charge runs twice; a drain goes on in the new process.
func TestUpgradeUnderLoad(t *testing.T) {
	w, r := world(t, testdouble.Config{Partners: partners})
	l := start(t, w, r.Addr)
	const upgrades = 4
	for range upgrades {
		next, err := r.StartNextProcess()
		if err == nil {
			err = next.AwaitLog("standing by")
		}
		if err != nil {
			t.Fatal(err)
		}
		if status, _, err := next.CallAdmin("GET", "/healthcheck"); status != 200 {
			t.Fatalf("standing by: %d, %v", status, err)
		}
		if err := r.Stop(); err != nil {
			t.Fatalf("old process: %v\n%s", err, r.LogTail())
		}
		if r.CountLogLines("handed over") != 1 {
			t.Fatalf("not handed over\n%s", r.LogTail())
		}
		if r = next; r.AwaitLog("all is taken over") != nil {
			t.Fatal(r.LogTail())
		}
	}
	counts := l.end(t, r.LogTail)
	if counts[client.Taken] < 100 || counts[client.Taken] < len(l.results) {
		t.Errorf("%v\n%s", counts, r.LogTail())
	}
	t.Logf("%d upgrades: %v", upgrades, counts)

	if status, _, err := r.CallAdmin("PUT", "/healthcheck/fail"); status != 200 {
		t.Fatalf("drain: %d, %v", status, err)
	}
	next, err := r.StartNextProcess()
	if err == nil {
		err = next.AwaitLog("standing by")
	}
	if err != nil || r.Stop() != nil || next.AwaitLog("all is taken over") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	for _, want := range []int{503, 200} {
		if got := ready(next.Addr); got != want {
			t.Errorf("GET /ready: %d, want %d", got, want)
		}
		next.CallAdmin("PUT", "/healthcheck/ok")
	}
	if err := next.Stop(); err != nil || next.CountLogLines("handed over") != 0 {
		t.Errorf("planned stop with nobody beside: %v", err)
	}
	entries, _ := os.ReadDir(r.StateDir)
	lives := slices.DeleteFunc(entries, func(e os.DirEntry) bool { return !strings.HasPrefix(e.Name(), "life-") })
	if len(lives) > 1 {
		t.Errorf("rooms that nobody needs stay: %v", lives)
	}
}

func ready(addr string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute)) // a bound for a hang
	fmt.Fprint(c, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	var status int
	fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

// Either process is killed at drawn moments of an upgrade: what was told 202 ends, no charge runs twice, and somebody serves again.
func TestUpgradeKilledAtAnyMoment(t *testing.T) {
	w, r := world(t, testdouble.Config{Partners: partners})
	l := start(t, w, r.Addr)
	random := rand.New(rand.NewPCG(20, 26))
	soon := func() { time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond) }
	for round := range 10 {
		next, err := r.StartNextProcess()
		if err != nil {
			t.Fatal(err)
		}
		kind := round % 5
		if kind > 0 {
			if err := next.AwaitLog("standing by"); err != nil {
				t.Fatal(err)
			}
		}
		switch kind {
		case 0: // the new one before its yes: the old one serves on
			soon()
			next.Kill()
			next = r
		case 1: // the new one after its yes
			next.Kill()
			next = r
		case 2: // the old one as it leaves
			r.Signal(syscall.SIGTERM)
			soon()
			r.Kill()
			err = next.AwaitLog("msg=ready")
		case 3: // the new one as it takes over
			r.Signal(syscall.SIGTERM)
			soon()
			next.Kill()
			if e := r.Wait(); e != nil {
				t.Errorf("old process: %v\n%s", e, r.LogTail())
			}
			err = next.Start()
		case 4: // the old one without a word
			r.Kill()
			err = next.AwaitLog("msg=ready")
		}
		if err != nil {
			t.Fatalf("round %d: %v\n%s", round, err, next.LogTail())
		}
		if r = next; ready(r.Addr) != 200 {
			t.Fatalf("round %d: nobody serves\n%s", round, r.LogTail())
		}
	}
	counts := l.end(t, r.LogTail)
	if counts[client.Taken] < 100 {
		t.Errorf("%v\n%s", counts, r.LogTail())
	}
	t.Logf("%v", counts)
}

// handIn hands a charge about a subject in, under that id, on a connection of its own, and returns the status.
func handIn(addr, id, subject string) (status int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute)) // a bound for a hang
	fmt.Fprintf(c, "POST /fee-charge?subject=%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 19000\r\nEnvelope: dest=1\r\n"+
		"Content-Length: 13\r\nConnection: close\r\n\r\nfee-charge/%s", subject, id, id)
	fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

// A successor that is killed while it holds messages back behind a call of the old process, and starts again, still holds them back, and those of a subject
// go in the order of hand-in over all three.
func TestOrderOutlastsAKilledSuccessor(t *testing.T) {
	classes := slices.Clone(testdouble.DefaultClasses)
	classes[2].Ordered = true
	var mu sync.Mutex
	var calls []string
	came, held := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	set := testdouble.Config{Classes: classes, Partners: []testdouble.PartnerConfig{{Dest: 1, OnCall: func(c testdouble.Call) {
		if c.Completed {
			return
		}
		mu.Lock()
		calls = append(calls, c.IDs...)
		mu.Unlock()
		select {
		case came <- struct{}{}:
		default:
		}
		if c.IDs[0] == "id-a" {
			<-held
		}
	}}}}
	w, old := world(t, set)
	t.Cleanup(release)
	called := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(calls, id)
	}
	await := func(id string, log func() string) {
		t.Helper()
		for !called(id) {
			select {
			case <-came:
			case <-time.After(time.Minute): // a bound for a hang
				t.Fatalf("no call of %s\n%s", id, log())
			}
		}
	}
	take := func(id, subject string) {
		t.Helper()
		if status := handIn(old.Addr, id, subject); status != 202 {
			t.Fatalf("%s was answered %d", id, status)
		}
	}
	take("id-a", "s")
	await("id-a", old.LogTail)
	take("id-b", "s")
	next, err := old.StartNextProcess()
	if err == nil {
		err = next.AwaitLog("standing by")
	}
	if err == nil {
		err = old.Signal(syscall.SIGTERM)
	}
	if err == nil {
		err = next.AwaitLog("msg=ready")
	}
	if err != nil {
		t.Fatal(err)
	}
	take("id-c", "s")
	next.Kill()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	take("id-d", "s")
	for _, id := range []string{"mark-1", "mark-2"} { // what may go out has gone when the second one goes
		take(id, id)
		await(id, next.LogTail)
	}
	mu.Lock()
	if _, over := w.Platform.Notifications()["id-a"]; !over && len(calls) != 3 {
		t.Errorf("called %v while the first one is out", calls)
	}
	mu.Unlock()
	release()
	await("id-d", next.LogTail)
	mu.Lock()
	defer mu.Unlock()
	if got := slices.DeleteFunc(calls, func(id string) bool { return strings.HasPrefix(id, "mark") }); !slices.Equal(got, []string{"id-a", "id-b", "id-c", "id-d"}) {
		t.Errorf("called %v", got)
	}
}

// The figures against the ledger: refusals of a full hold, batches, resets, partners that fail and that say nothing, notices, and messages of an earlier life.
func TestFiguresMatchTheLedger(t *testing.T) {
	var tried atomic.Int64
	watch := func(c testdouble.Call) {
		if !c.Completed {
			tried.Add(int64(len(c.IDs)))
		}
	}
	w, r := world(t, testdouble.Config{MaxPending: 30, MaxConcurrentCalls: 8, Partners: []testdouble.PartnerConfig{{Dest: 1, ServiceTime: time.Millisecond, OnCall: watch},
		{Dest: 2, Kind: "broker", ServiceTime: 20 * time.Millisecond, OnCall: watch}, {Dest: 3, OnCall: watch}}})
	w.Partners[1].SetMode(testdouble.InternalError, 0.2)
	w.Partners[3].SetMode(testdouble.RefusingConnections, 1)
	if all, err := r.Metrics(); err != nil || all[`passed{category="fee-charge"}`] != 0 || len(all) != 13 {
		t.Fatalf("at the start: %v, %v", all, err)
	}
	refused, handedIn := map[string]int{}, 0
	send := func(n int) {
		var lanes sync.WaitGroup
		var mu sync.Mutex
		for lane := range 8 {
			lanes.Go(func() {
				c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
				if err != nil {
					t.Error(err)
					return
				}
				for i := lane; i < n; i += 8 {
					class := testdouble.DefaultClasses[i%3].Name
					res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 1 + i%3, TimeLeft: 1500 * time.Millisecond, Body: fmt.Appendf(nil, "%s/%d-%d\n", class, n, i)})
					mu.Lock()
					if handedIn++; res.Outcome == client.Refused {
						refused[class]++
						c.Close() // a told wait binds what comes after it
						c, _ = client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
					}
					mu.Unlock()
				}
				c.Close()
			})
		}
		lanes.Wait()
	}
	check := func(what string, ended, refused, tried int, before map[string]int) {
		t.Helper()
		all, err := r.Metrics()
		if err != nil {
			t.Fatal(err)
		}
		sum := map[string]int{}
		for name, n := range all {
			figure, _, _ := strings.Cut(name, "{")
			sum[figure] += n
		}
		did := map[string]int{}
		for _, e := range w.EffectLog.Entries() {
			did[strings.Split(e.Name, "/")[0]]++
		}
		for _, c := range testdouble.DefaultClasses {
			if got, want := all[fmt.Sprintf("passed{category=%q}", c.Name)], did[c.Name]-before[c.Name]; got != want {
				t.Errorf("%s: %d passed of %s, the ledger has %d", what, got, c.Name, want)
			}
		}
		if sum["passed"]+sum["dropped"]+sum["bad_gateway"] != ended+refused || sum["in_progress"] != 0 || sum["known_endpoints"] != 3 || sum["upstream_tries"] != tried {
			t.Errorf("%s: %v; %d ended, %d refused, %d tried\n%s", what, sum, ended, refused, tried, r.LogTail())
		}
	}
	settled := func(ended int) {
		t.Helper()
		if err := w.WaitUntil("all to end", func() bool {
			all, err := r.Metrics()
			return err == nil && all["in_progress"] == 0 && w.EffectLog.Len()+len(w.Platform.Notifications()) >= ended
		}); err != nil {
			t.Fatal(err)
		}
	}
	send(200)
	total := func() (n int) {
		for _, v := range refused {
			n += v
		}
		return n
	}
	settled(handedIn - total())
	check("first life", handedIn-total(), total(), int(tried.Load()), map[string]int{})
	if total() == 0 || len(w.Platform.Notifications()) == 0 {
		t.Errorf("%d refused, %d notices: nothing was tested", total(), len(w.Platform.Notifications()))
	}

	// What an earlier life left is counted by the one that ends it.
	w.Partners[1].SetMode(testdouble.RefusingConnections, 1)
	w.Partners[2].SetMode(testdouble.RefusingConnections, 1)
	wasIn, wasRefused := handedIn, total()
	before := map[string]int{}
	for _, e := range w.EffectLog.Entries() {
		before[strings.Split(e.Name, "/")[0]]++
	}
	send(15)
	left := handedIn - wasIn - (total() - wasRefused)
	r.Kill()
	triedBefore := int(tried.Load())
	w.Partners[2].SetMode(testdouble.Healthy, 1)
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	settled(wasIn - wasRefused + left)
	if left == 0 {
		t.Error("nothing was left")
	}
	check("second life", left, 0, int(tried.Load())-triedBefore, before)
}

// Addresses that are taken end the start with one line that names the key, and the state folder of whoever serves there is not touched.
func TestStartRefusedWhereAddressesAreTaken(t *testing.T) {
	w, r := world(t, testdouble.Config{Partners: partners})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // as an earlier version listens
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	taken := ln.Addr().String()
	for key, set := range map[string]func(*testdouble.Relay){"admin (ROUTER_ADMIN)": func(n *testdouble.Relay) { n.AdminAddr = taken }, "listen:": func(n *testdouble.Relay) { n.Addr = taken }} {
		n, err := w.NewRelay()
		if err != nil {
			t.Fatal(err)
		}
		set(n)
		if err := n.WriteConfig(); err != nil {
			t.Fatal(err)
		}
		err = n.Start()
		if text := n.LogTail(); err == nil || strings.Count(text, "\n") > 0 || !strings.Contains(text, key) {
			t.Errorf("%s: %v: %q", key, err, text)
		}
		if entries, _ := os.ReadDir(n.StateDir); len(entries) > 0 {
			t.Errorf("%s: the folder holds %v", key, entries)
		}
	}
	if ready(r.Addr) != 200 {
		t.Error("the relay that serves was disturbed")
	}
}

// A third process stands by as the second does; whoever is left takes over, each time.
func TestThirdProcessStandsBy(t *testing.T) {
	w, r := world(t, testdouble.Config{Partners: partners})
	l := start(t, w, r.Addr)
	procs := []*testdouble.Relay{r}
	for range 2 {
		n, err := r.StartNextProcess()
		if err == nil {
			err = n.AwaitLog("standing by")
		}
		if err != nil {
			t.Fatal(err)
		}
		procs = append(procs, n)
	}
	if err := r.Stop(); err != nil || r.CountLogLines("handed over") != 1 {
		t.Fatalf("%v\n%s", err, r.LogTail())
	}
	if err := w.WaitUntil("a successor", func() bool { return procs[1].CountLogLines("msg=ready")+procs[2].CountLogLines("msg=ready") == 1 }); err != nil {
		t.Fatal(err)
	}
	first, second := procs[1], procs[2]
	if second.CountLogLines("msg=ready") == 1 {
		first, second = second, first
	}
	first.Kill()
	if err := second.AwaitLog("msg=ready"); err != nil {
		t.Fatal(err)
	}
	if counts := l.end(t, second.LogTail); counts[client.Taken] < 20 {
		t.Errorf("%v", counts)
	}
	if err := second.Stop(); err != nil {
		t.Error(err)
	}
}

// An upgrade while the folder is full, with all that is held in it: nothing is lost, nothing new is promised that can't be kept, the budget holds over both.
func TestUpgradeWithAFullFolder(t *testing.T) {
	for name, leave := range map[string]func(*testdouble.Relay) error{"told": (*testdouble.Relay).Stop, "killed": func(r *testdouble.Relay) error { r.Kill(); return nil }} {
		t.Run(name, func(t *testing.T) { upgradeFull(t, leave) })
	}
}

func upgradeFull(t *testing.T, leave func(*testdouble.Relay) error) {
	const budget = 300_000
	// A destination that refused connections is tried again some 11 s later, on a busy machine 17 s: messages outlast that.
	classes := slices.Clone(testdouble.DefaultClasses)
	for i := range classes {
		classes[i].Deadline = time.Minute
	}
	w, r := world(t, testdouble.Config{DiskMB: budget / 1e6, MaxPending: 400, Classes: classes, Partners: []testdouble.PartnerConfig{{Dest: 7}}})
	w.Partners[7].SetMode(testdouble.RefusingConnections, 1)
	taken := map[string]client.Result{}
	refused := false
	for n := 0; !refused; n++ {
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		class := []string{"fee-charge", "order-relay"}[n%2] // no charge is the first into a destination that was out
		name := fmt.Sprint(class, "/", n)
		res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 7, TimeLeft: 59 * time.Second, Body: fmt.Appendf(nil, "%s\n%02000d", name, 0)})
		if c.Close(); res.Outcome == client.Taken {
			taken[name] = res
		}
		refused = res.Outcome == client.Refused
	}
	size := func() (n int64) {
		filepath.WalkDir(r.StateDir, func(_ string, e os.DirEntry, _ error) error {
			if info, err := e.Info(); err == nil && !e.IsDir() {
				n += (info.Size() + 511) / 512 * 512
			}
			return nil
		})
		return n
	}
	next, err := r.StartNextProcess()
	if err == nil {
		err = next.AwaitLog("standing by")
	}
	if n := size(); n > budget {
		t.Errorf("beside one that stands by the folder holds %d bytes", n)
	}
	if err != nil || leave(r) != nil || next.AwaitLog("msg=ready") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if n := size(); n > budget {
		t.Errorf("after the hand-over the folder holds %d bytes", n)
	}
	w.Partners[7].SetMode(testdouble.Healthy, 1)
	if err := w.WaitUntil("all to end", func() bool {
		did, told := w.EffectLog.CountByName(), w.Platform.Notifications()
		for name, res := range taken {
			if did[name] == 0 && told[res.ID].Outcome == "" {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if d := w.EffectLog.Duplicates("fee-charge"); len(d) > 0 || len(taken) < 10 || w.EffectLog.Len() < len(taken)/2 {
		t.Errorf("%d taken, %d ran, doubles %v\n%s", len(taken), w.EffectLog.Len(), d, next.LogTail())
	}
	if n := size(); n > budget {
		t.Errorf("at the end the folder holds %d bytes", n)
	}
	t.Logf("%d held over the upgrade, %d ran, folder %d bytes after it", len(taken), w.EffectLog.Len(), size())
}

// A drain outlasts a reload, and a planned stop during a drain ends with 0; told twice it is one drain.
func TestDrainThenReloadThenStop(t *testing.T) {
	_, r := world(t, testdouble.Config{Partners: partners})
	for range 2 {
		if status, _, err := r.CallAdmin("PUT", "/healthcheck/fail"); status != 200 {
			t.Fatalf("%d, %v", status, err)
		}
	}
	r.Signal(syscall.SIGHUP)
	if err := r.AwaitLog("msg=reloaded"); err != nil {
		t.Fatal(err)
	}
	health, _, _ := r.CallAdmin("GET", "/healthcheck")
	if got := ready(r.Addr); got != 503 || health != 200 {
		t.Errorf("drained and reloaded: GET /ready %d, health %d", got, health)
	}
	if err := r.Stop(); err != nil || r.CountLogLines("msg=stopped") != 1 {
		t.Errorf("%v\n%s", err, r.LogTail())
	}
}

// A drain outlasts a crash, and a planned stop ends it; ok ends it too.
func TestDrainOutlastsACrash(t *testing.T) {
	_, r := world(t, testdouble.Config{Partners: partners})
	call := func(path string) {
		t.Helper()
		if status, _, err := r.CallAdmin("PUT", path); status != 200 {
			t.Fatalf("%d, %v", status, err)
		}
	}
	marked := func(want bool) {
		t.Helper()
		for n := 0; n < 2000; n++ { // the mark follows the answer
			if _, err := os.Stat(filepath.Join(r.StateDir, "drained")); (err == nil) == want {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Fatalf("marked as drained: not %v", want)
	}
	start := func() {
		t.Helper()
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	call("/healthcheck/fail")
	marked(true)
	r.Kill()
	start()
	if got := ready(r.Addr); got != 503 {
		t.Errorf("drained and killed: GET /ready %d", got)
	}
	call("/healthcheck/ok")
	marked(false)
	r.Kill()
	start()
	if got := ready(r.Addr); got != 200 {
		t.Errorf("back at work and killed: GET /ready %d", got)
	}
	call("/healthcheck/fail")
	marked(true)
	if err := r.Stop(); err != nil {
		t.Fatal(err)
	}
	marked(false)
	start()
	if got := ready(r.Addr); got != 200 {
		t.Errorf("drained and stopped as planned: GET /ready %d", got)
	}
}
