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

// buildRelay builds the relay when it is first needed and returns the path of the program.
var buildRelay = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "relay")
	if err != nil {
		return "", err
	}
	return testdouble.BuildRelay(dir)
})

func startWorld(t *testing.T, set testdouble.Config) (*testdouble.Environment, *testdouble.Relay) {
	t.Helper()
	program, err := buildRelay()
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

// clientLoad is a set of clients that submit messages of all classes until they are stopped.
type clientLoad struct {
	w       *testdouble.Environment
	clients sync.WaitGroup
	stop    atomic.Bool

	mu      sync.Mutex
	results map[string]client.Result // by name of the message
}

// startLoad starts six clients of the relay at addr.
func startLoad(t *testing.T, w *testdouble.Environment, addr string) *clientLoad {
	l := &clientLoad{w: w, results: map[string]client.Result{}}
	for first := range 6 {
		c, err := client.New(client.Config{Relays: []string{addr}, Spread: 10 * time.Millisecond, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		l.clients.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				class := testdouble.DefaultClasses[(first+n)%3].Name
				name := fmt.Sprintf("%s/%d-%d", class, first, n)
				res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 1 + (first+n)%2,
					TimeLeft: 5900 * time.Millisecond, Body: []byte(name + "\n")})
				l.mu.Lock()
				l.results[name] = res
				l.mu.Unlock()
				time.Sleep(2 * time.Millisecond) // a higher rate would only fill the relay
			}
		})
	}
	return l
}

// finish stops the clients, waits until all accepted messages have completed, and checks that each
// did so once.
func (l *clientLoad) finish(t *testing.T, log func() string) map[client.Outcome]int {
	t.Helper()
	l.stop.Store(true)
	l.clients.Wait()
	effects := map[string]int{}
	if err := l.w.WaitUntil("all accepted messages to complete", func() bool {
		effects = l.w.EffectLog.CountByName()
		notified := l.w.Platform.Notifications()
		for name, res := range l.results {
			if _, completed := notified[res.ID]; res.Outcome == client.Taken && effects[name] == 0 && !completed {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, log())
	}
	if duplicates := l.w.EffectLog.Duplicates("fee-charge"); len(duplicates) > 0 {
		t.Errorf("charges were executed twice: %v", duplicates)
	}
	counts := map[client.Outcome]int{}
	for name, res := range l.results {
		if counts[res.Outcome]++; effects[name] > 0 && res.Outcome == client.Refused {
			t.Errorf("%s was rejected and executed: %+v", name, res)
		}
	}
	return counts
}

var partners = []testdouble.PartnerConfig{
	{Dest: 1, ServiceTime: 5 * time.Millisecond},
	{Dest: 2, Kind: "broker", ServiceTime: 40 * time.Millisecond},
}

// Several upgrades under load: the old process exits with 0 once the new one serves, no message is
// rejected, each completes once, no charge is executed twice, and a drain continues in the new
// process.
func TestUpgradeUnderLoad(t *testing.T) {
	w, r := startWorld(t, testdouble.Config{Partners: partners})
	l := startLoad(t, w, r.Addr)
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
	counts := l.finish(t, r.LogTail)
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
		if got := readyStatus(next.Addr); got != want {
			t.Errorf("GET /ready: %d, want %d", got, want)
		}
		next.CallAdmin("PUT", "/healthcheck/ok")
	}
	if err := next.Stop(); err != nil || next.CountLogLines("handed over") != 0 {
		t.Errorf("planned stop without a standby: %v", err)
	}
	entries, _ := os.ReadDir(r.StateDir)
	runDirs := slices.DeleteFunc(entries, func(e os.DirEntry) bool { return !strings.HasPrefix(e.Name(), "life-") })
	if len(runDirs) > 1 {
		t.Errorf("unused process directories left: %v", runDirs)
	}
}

// readyStatus returns the status of GET /ready, 0 if there is none.
func readyStatus(addr string) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute)) // bounds the wait if the test fails
	fmt.Fprint(c, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	var status int
	fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

// Either process is killed at random moments of an upgrade: messages answered with 202 complete, no
// charge is executed twice, and one process serves afterwards.
func TestUpgradeKilledAtAnyMoment(t *testing.T) {
	w, r := startWorld(t, testdouble.Config{Partners: partners})
	l := startLoad(t, w, r.Addr)
	random := rand.New(rand.NewPCG(20, 26))
	randomDelay := func() { time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond) }
	for round := range 10 {
		next, err := r.StartNextProcess()
		if err != nil {
			t.Fatal(err)
		}
		scenario := round % 5
		if scenario > 0 {
			if err := next.AwaitLog("standing by"); err != nil {
				t.Fatal(err)
			}
		}
		switch scenario {
		case 0: // the new one before it stands by: the old one continues
			randomDelay()
			next.Kill()
			next = r
		case 1: // the new one while it stands by
			next.Kill()
			next = r
		case 2: // the old one while it leaves
			r.Signal(syscall.SIGTERM)
			randomDelay()
			r.Kill()
			err = next.AwaitLog("msg=ready")
		case 3: // the new one while it takes over
			r.Signal(syscall.SIGTERM)
			randomDelay()
			next.Kill()
			if e := r.Wait(); e != nil {
				t.Errorf("old process: %v\n%s", e, r.LogTail())
			}
			err = next.Start()
		case 4: // the old one, which has received no signal before
			r.Kill()
			err = next.AwaitLog("msg=ready")
		}
		if err != nil {
			t.Fatalf("round %d: %v\n%s", round, err, next.LogTail())
		}
		if r = next; readyStatus(r.Addr) != 200 {
			t.Fatalf("round %d: no process serves\n%s", round, r.LogTail())
		}
	}
	counts := l.finish(t, r.LogTail)
	if counts[client.Taken] < 100 {
		t.Errorf("%v\n%s", counts, r.LogTail())
	}
	t.Logf("%v", counts)
}

// submitCharge submits a charge with that id and ordering key on a connection of its own, and
// returns the status.
func submitCharge(addr, id, key string) (status int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute)) // bounds the wait if the test fails
	fmt.Fprintf(c, "POST /fee-charge?subject=%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 19000\r\nEnvelope: dest=1\r\n"+
		"Content-Length: 13\r\nConnection: close\r\n\r\nfee-charge/%s", key, id, id)
	fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

// A successor holds back messages behind a call of the old process, is killed and starts again: it
// still holds them back, and the messages of an ordering key are sent in the order of submission
// across all three processes.
func TestOrderSurvivesKilledSuccessor(t *testing.T) {
	classes := slices.Clone(testdouble.DefaultClasses)
	classes[2].Ordered = true
	var mu sync.Mutex
	var calls []string
	callStarted, releaseFirstCall := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(releaseFirstCall) })
	set := testdouble.Config{Classes: classes, Partners: []testdouble.PartnerConfig{{Dest: 1, OnCall: func(c testdouble.Call) {
		if c.Completed {
			return
		}
		mu.Lock()
		calls = append(calls, c.IDs...)
		mu.Unlock()
		select {
		case callStarted <- struct{}{}:
		default:
		}
		if c.IDs[0] == "id-a" {
			<-releaseFirstCall
		}
	}}}}
	w, old := startWorld(t, set)
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
			case <-callStarted:
			case <-time.After(time.Minute): // bounds the wait if the test fails
				t.Fatalf("no call of %s\n%s", id, log())
			}
		}
	}
	submit := func(id, key string) {
		t.Helper()
		if status := submitCharge(old.Addr, id, key); status != 202 {
			t.Fatalf("%s was answered %d", id, status)
		}
	}
	submit("id-a", "s")
	await("id-a", old.LogTail)
	submit("id-b", "s")
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
	submit("id-c", "s")
	next.Kill()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	submit("id-d", "s")
	// The old process closes its listener once no connection has come for 20 ms, and a mark may
	// come in that very moment. Its client then gets no answer and sends it again, here under
	// another id.
	var unanswered []string
	for _, id := range []string{"mark-1", "mark-2"} { // once the second one is sent, everything that may be sent was
		if status := submitCharge(old.Addr, id, id); status == 0 && len(unanswered) == 0 {
			unanswered = append(unanswered, id)
			id += "-again"
			submit(id, id)
		} else if status != 202 {
			t.Fatalf("%s was answered %d", id, status)
		}
		await(id, next.LogTail)
	}
	mu.Lock()
	if _, completed := w.Platform.Notifications()["id-a"]; !completed && len(calls) != 3 {
		t.Errorf("called %v while the first one is in flight", calls)
	}
	mu.Unlock()
	release()
	await("id-d", next.LogTail)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range unanswered {
		if slices.Contains(calls, id) {
			t.Errorf("%s was read and sent, but not answered", id)
		}
	}
	if got := slices.DeleteFunc(calls, func(id string) bool {
		return strings.HasPrefix(id, "mark")
	}); !slices.Equal(got, []string{"id-a", "id-b", "id-c", "id-d"}) {
		t.Errorf("called %v", got)
	}
}

// Compares the metrics with the effect log: rejections when the relay is full, batches, resets,
// partners that fail or do not answer, notifications, and messages of an earlier run.
func TestMetricsMatchEffectLog(t *testing.T) {
	var attempts atomic.Int64
	watch := func(c testdouble.Call) {
		if !c.Completed {
			attempts.Add(int64(len(c.IDs)))
		}
	}
	w, r := startWorld(t, testdouble.Config{MaxPending: 30, MaxConcurrentCalls: 8, Partners: []testdouble.PartnerConfig{
		{Dest: 1, ServiceTime: time.Millisecond, OnCall: watch},
		{Dest: 2, Kind: "broker", ServiceTime: 20 * time.Millisecond, OnCall: watch}, {Dest: 3, OnCall: watch}}})
	w.Partners[1].SetMode(testdouble.InternalError, 0.2)
	w.Partners[3].SetMode(testdouble.RefusingConnections, 1)
	if all, err := r.Metrics(); err != nil || all[`passed{category="fee-charge"}`] != 0 || len(all) != 13 {
		t.Fatalf("at the start: %v, %v", all, err)
	}
	rejected, submitted := map[string]int{}, 0
	send := func(n int) {
		var clients sync.WaitGroup
		var mu sync.Mutex
		for first := range 8 {
			clients.Go(func() {
				c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
				if err != nil {
					t.Error(err)
					return
				}
				for i := first; i < n; i += 8 {
					class := testdouble.DefaultClasses[i%3].Name
					res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 1 + i%3,
						TimeLeft: 1500 * time.Millisecond, Body: fmt.Appendf(nil, "%s/%d-%d\n", class, n, i)})
					mu.Lock()
					if submitted++; res.Outcome == client.Refused {
						rejected[class]++
						c.Close() // a Retry-After binds later messages of the client
						c, _ = client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
					}
					mu.Unlock()
				}
				c.Close()
			})
		}
		clients.Wait()
	}
	check := func(what string, completed, rejected, attempts int, before map[string]int) {
		t.Helper()
		all, err := r.Metrics()
		if err != nil {
			t.Fatal(err)
		}
		sum := map[string]int{}
		for name, n := range all {
			metric, _, _ := strings.Cut(name, "{")
			sum[metric] += n
		}
		effects := messagesRun(w)
		for _, c := range testdouble.DefaultClasses {
			if got, want := all[fmt.Sprintf("passed{category=%q}", c.Name)], effects[c.Name]-before[c.Name]; got != want {
				t.Errorf("%s: %d passed of %s, the effect log has %d", what, got, c.Name, want)
			}
		}
		if sum["passed"]+sum["dropped"]+sum["bad_gateway"] != completed+rejected || sum["in_progress"] != 0 ||
			sum["known_endpoints"] != 3 || sum["upstream_tries"] != attempts {
			t.Errorf("%s: %v; %d completed, %d rejected, %d attempts\n%s",
				what, sum, completed, rejected, attempts, r.LogTail())
		}
	}
	waitCompleted := func(completed int) {
		t.Helper()
		if err := w.WaitUntil("all to complete", func() bool {
			all, err := r.Metrics()
			return err == nil && all["in_progress"] == 0 && w.EffectLog.Len()+len(w.Platform.Notifications()) >= completed
		}); err != nil {
			t.Fatal(err)
		}
	}
	send(200)
	total := func() (n int) {
		for _, v := range rejected {
			n += v
		}
		return n
	}
	waitCompleted(submitted - total())
	check("first run", submitted-total(), total(), int(attempts.Load()), map[string]int{})
	if total() == 0 || len(w.Platform.Notifications()) == 0 {
		t.Errorf("%d rejected, %d notifications: nothing was tested", total(), len(w.Platform.Notifications()))
	}

	// Messages of an earlier run are counted by the run that completes them.
	w.Partners[1].SetMode(testdouble.RefusingConnections, 1)
	w.Partners[2].SetMode(testdouble.RefusingConnections, 1)
	submittedBefore, rejectedBefore := submitted, total()
	before := messagesRun(w)
	send(15)
	remaining := submitted - submittedBefore - (total() - rejectedBefore)
	r.Kill()
	attemptsBefore := int(attempts.Load())
	w.Partners[2].SetMode(testdouble.Healthy, 1)
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	waitCompleted(submittedBefore - rejectedBefore + remaining)
	if remaining == 0 {
		t.Error("no messages were left")
	}
	check("second run", remaining, 0, int(attempts.Load())-attemptsBefore, before)
	for _, class := range []string{"order-relay", "fee-charge"} {
		if duplicates := w.EffectLog.Duplicates(class); len(duplicates) > 0 {
			t.Errorf("took effect more than once: %v", duplicates)
		}
	}
}

// messagesRun counts the messages that took effect, by class. A repeat of an attempt whose answer
// was late is no further message.
func messagesRun(w *testdouble.Environment) map[string]int {
	counts := map[string]int{}
	for name := range w.EffectLog.CountByName() {
		class, _, _ := strings.Cut(name, "/")
		counts[class]++
	}
	return counts
}

// A start with an address that is in use fails with one line that names the key, and does not touch
// the state folder of the process that serves there.
func TestStartFailsOnUsedAddress(t *testing.T) {
	w, r := startWorld(t, testdouble.Config{Partners: partners})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the way earlier versions listen
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	usedAddr := ln.Addr().String()
	for key, set := range map[string]func(*testdouble.Relay){
		"admin (ROUTER_ADMIN)": func(n *testdouble.Relay) { n.AdminAddr = usedAddr },
		"listen:":              func(n *testdouble.Relay) { n.Addr = usedAddr },
	} {
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
			t.Errorf("%s: the folder contains %v", key, entries)
		}
	}
	if readyStatus(r.Addr) != 200 {
		t.Error("the relay that serves was affected")
	}
}

// A third process stands by like the second; one of those that are left takes over each time.
func TestThirdProcessStandsBy(t *testing.T) {
	w, r := startWorld(t, testdouble.Config{Partners: partners})
	l := startLoad(t, w, r.Addr)
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
	if err := w.WaitUntil("a successor", func() bool {
		return procs[1].CountLogLines("msg=ready")+procs[2].CountLogLines("msg=ready") == 1
	}); err != nil {
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
	if counts := l.finish(t, second.LogTail); counts[client.Taken] < 20 {
		t.Errorf("%v", counts)
	}
	if err := second.Stop(); err != nil {
		t.Error(err)
	}
}

// An upgrade while the state folder is full: no message is lost, none is accepted that can't be
// stored, and both processes together stay within the disk limit.
func TestUpgradeWithFullFolder(t *testing.T) {
	for name, stopRelay := range map[string]func(*testdouble.Relay) error{
		"told":   (*testdouble.Relay).Stop,
		"killed": func(r *testdouble.Relay) error { r.Kill(); return nil },
	} {
		t.Run(name, func(t *testing.T) { testUpgradeWithFullFolder(t, stopRelay) })
	}
}

func testUpgradeWithFullFolder(t *testing.T, stopRelay func(*testdouble.Relay) error) {
	const budget = 300_000
	// A destination that refused connections is retried up to 17 s later on a busy machine.
	classes := slices.Clone(testdouble.DefaultClasses)
	for i := range classes {
		classes[i].Deadline = time.Minute
	}
	w, r := startWorld(t, testdouble.Config{DiskMB: budget / 1e6, MaxPending: 400, Classes: classes,
		Partners: []testdouble.PartnerConfig{{Dest: 7}}})
	w.Partners[7].SetMode(testdouble.RefusingConnections, 1)
	accepted := map[string]client.Result{}
	rejected := false
	for n := 0; !rejected; n++ {
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		class := []string{"fee-charge", "order-relay"}[n%2] // a charge never probes a destination that was down
		name := fmt.Sprint(class, "/", n)
		res, _ := c.Send(context.Background(), client.Message{Class: class, Dest: 7, TimeLeft: 59 * time.Second,
			Body: fmt.Appendf(nil, "%s\n%02000d", name, 0)})
		if c.Close(); res.Outcome == client.Taken {
			accepted[name] = res
		}
		rejected = res.Outcome == client.Refused
	}
	size := func() int64 { return folderBytes(r.StateDir) }
	next, err := r.StartNextProcess()
	if err == nil {
		err = next.AwaitLog("standing by")
	}
	if n := size(); n > budget {
		t.Errorf("with a standby process the folder contains %d bytes", n)
	}
	if err != nil || stopRelay(r) != nil || next.AwaitLog("msg=ready") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if n := size(); n > budget {
		t.Errorf("after the handover the folder contains %d bytes", n)
	}
	w.Partners[7].SetMode(testdouble.Healthy, 1)
	if err := w.WaitUntil("all to complete", func() bool {
		effects, notified := w.EffectLog.CountByName(), w.Platform.Notifications()
		for name, res := range accepted {
			if effects[name] == 0 && notified[res.ID].Outcome == "" {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if duplicates := w.EffectLog.Duplicates("fee-charge"); len(duplicates) > 0 || len(accepted) < 10 ||
		w.EffectLog.Len() < len(accepted)/2 {
		t.Errorf("%d accepted, %d executed, duplicates %v\n%s", len(accepted), w.EffectLog.Len(), duplicates, next.LogTail())
	}
	if n := size(); n > budget {
		t.Errorf("at the end the folder contains %d bytes", n)
	}
	t.Logf("%d pending during the upgrade, %d executed, folder %d bytes after it",
		len(accepted), w.EffectLog.Len(), size())
}

// A drain survives a reload, and a planned stop during a drain exits with 0. A second drain request
// has no further effect.
func TestDrainSurvivesReload(t *testing.T) {
	_, r := startWorld(t, testdouble.Config{Partners: partners})
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
	if got := readyStatus(r.Addr); got != 503 || health != 200 {
		t.Errorf("drained and reloaded: GET /ready %d, health %d", got, health)
	}
	if err := r.Stop(); err != nil || r.CountLogLines("msg=stopped") != 1 {
		t.Errorf("%v\n%s", err, r.LogTail())
	}
}

// A drain survives a crash; a planned stop or an ok ends it.
func TestDrainSurvivesCrash(t *testing.T) {
	_, r := startWorld(t, testdouble.Config{Partners: partners})
	call := func(path string) {
		t.Helper()
		if status, _, err := r.CallAdmin("PUT", path); status != 200 {
			t.Fatalf("%d, %v", status, err)
		}
	}
	start := func() {
		t.Helper()
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	call("/healthcheck/fail")
	awaitDrainMark(t, r, true)
	r.Kill()
	start()
	if got := readyStatus(r.Addr); got != 503 {
		t.Errorf("drained and killed: GET /ready %d", got)
	}
	call("/healthcheck/ok")
	awaitDrainMark(t, r, false)
	r.Kill()
	start()
	if got := readyStatus(r.Addr); got != 200 {
		t.Errorf("drain ended and killed: GET /ready %d", got)
	}
	call("/healthcheck/fail")
	awaitDrainMark(t, r, true)
	if err := r.Stop(); err != nil {
		t.Fatal(err)
	}
	awaitDrainMark(t, r, false)
	start()
	if got := readyStatus(r.Addr); got != 200 {
		t.Errorf("drained and stopped as planned: GET /ready %d", got)
	}
}

// awaitDrainMark waits until the state folder says, or no longer says, that the relay is drained:
// that is recorded after the reply.
func awaitDrainMark(t *testing.T, r *testdouble.Relay, want bool) {
	t.Helper()
	for range 2000 {
		if _, err := os.Stat(filepath.Join(r.StateDir, "drained")); (err == nil) == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("recorded as drained: not %v", want)
}
