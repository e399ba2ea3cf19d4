package client_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oatfold/client"
	"oatfold/internal/testdouble"
)

// relayBinary is the path of the relay program, built once.
var relayBinary string

func TestMain(m *testing.M) { os.Exit(testdouble.RunTests(m, &relayBinary)) }

// startEnv starts the test doubles around the relays. At the end of the test it checks that no
// goroutine is left.
func startEnv(t testing.TB, config testdouble.Config) *testdouble.Environment {
	t.Helper()
	if config.Partners == nil {
		config.Partners = []testdouble.PartnerConfig{{Dest: 7}}
	}
	before := goleak.IgnoreCurrent()
	w, err := testdouble.NewEnvironment(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.Close()
		err := goleak.Find(before)
		for n := 0; err != nil && n < 20; n++ { // closing takes time on a slow machine
			err = goleak.Find(before)
		}
		if err != nil {
			t.Error(err)
		}
	})
	return w
}

func startRelay(t testing.TB, w *testdouble.Environment) *testdouble.Relay {
	t.Helper()
	r, err := w.StartRelay(relayBinary)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func startProxy(t testing.TB, w *testdouble.Environment, backend string,
	script func(n int, path string) testdouble.Fault) *testdouble.FaultProxy {
	t.Helper()
	g, err := w.StartFaultProxy(backend, script)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// recorder counts the events of a client.
type recorder struct {
	env            *testdouble.Environment
	mu             sync.Mutex
	requests       int
	connectedAt    []time.Time // attempts to connect
	failedConnects int         // of connectedAt
}

func (s *recorder) HandIn(client.Attempt, time.Duration) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	s.env.Notify()
}

func (s *recorder) Done(client.Result) {}

func (s *recorder) Connection(_ string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connectedAt = append(s.connectedAt, time.Now()); err != nil {
		s.failedConnects++
	}
}

func newClient(t testing.TB, config client.Config) *client.Client {
	t.Helper()
	c, err := client.New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func waitUntil(t testing.TB, w *testdouble.Environment, what string, cond func() bool) {
	t.Helper()
	if err := w.WaitUntil(what, cond); err != nil {
		t.Fatal(err)
	}
}

var effectByClass = map[string]client.Effect{"price-alert": client.Safe, "order-relay": client.Keyed,
	"fee-charge": client.Unsafe}

func newMessage(class string, n int, timeLeft time.Duration) client.Message {
	return client.Message{Class: class, Dest: 7, Effect: effectByClass[class], TimeLeft: timeLeft,
		Body: fmt.Appendf(nil, "%s/%d\nsome body", class, n)}
}

func expectResult(t testing.TB, what string, result client.Result, err error, outcome client.Outcome, attempts int) {
	t.Helper()
	if result.Outcome != outcome || result.HandIns != attempts || (err == nil) != (outcome == client.Taken) {
		t.Errorf("%s: %v after %d attempts (%v), want %v after %d: %+v", what, result.Outcome, result.HandIns, err,
			outcome, attempts, result.Attempts)
	}
}

// faultFirst applies f to the first n requests and passes the others on.
func faultFirst(n int, f testdouble.Fault) func(int, string) testdouble.Fault {
	return func(i int, _ string) testdouble.Fault {
		if i < n {
			return f
		}
		return testdouble.Fault{}
	}
}

func answerFault(status int, retryAfter string) testdouble.Fault {
	f := testdouble.Fault{Kind: testdouble.Respond, Status: status, Header: http.Header{}}
	if retryAfter != "" {
		f.Header.Set("Retry-After", retryAfter)
	}
	return f
}

// A relay with a full disk rejects an alert with a Retry-After longer than its time left: the
// client gives up at once.
func TestWaitLongerThanTimeLeft(t *testing.T) {
	w := startEnv(t, testdouble.Config{DiskMB: 0.23})
	r := startRelay(t, w)
	w.Partners[7].SetMode(testdouble.Unresponsive, 1)
	c := newClient(t, client.Config{Relays: []string{r.Addr}})
	large := func(class string, n int, left time.Duration) client.Message {
		m := newMessage(class, n, left)
		m.Body = append(m.Body, make([]byte, 60<<10)...)
		return m
	}
	for n := range 2 { // there is space for two large bodies
		res, err := c.Send(context.Background(), large("order-relay", 1+n, 15*time.Second))
		expectResult(t, "with disk space", res, err, client.Taken, 1)
	}
	res, err := c.Send(context.Background(), large("price-alert", 3, 1500*time.Millisecond))
	expectResult(t, "without disk space", res, err, client.GivenUp, 1)
	var e *client.Error
	if !errors.Is(err, client.ErrGivenUp) || !errors.As(err, &e) || e.Status != 503 ||
		e.Wait < 1500*time.Millisecond || e.Stage != client.Answered {
		t.Errorf("error %#v", err)
	}
	// Retry-After applies to later messages as well: nothing is sent.
	res, err = c.Send(context.Background(), newMessage("fee-charge", 4, 1500*time.Millisecond))
	expectResult(t, "during the wait", res, err, client.GivenUp, 0)
}

// Retries after rejections carry the right wait, mark, key and time left, and there are two at
// most.
func TestRefusals(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	g := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(503, "0.05") })
	c := newClient(t, client.Config{Relays: []string{g.Addr}})
	res, err := c.Send(context.Background(), newMessage("fee-charge", 1, 5*time.Second))
	expectResult(t, "always rejected", res, err, client.Refused, 3)
	seen := g.Requests()
	if len(seen) != 3 || len(res.Waits) != 3 || !errors.Is(err, client.ErrRefused) {
		t.Fatalf("%d requests, waits %v, %v", len(seen), res.Waits, err)
	}
	for i, s := range seen {
		if mark := []string{"", "1", "1"}[i]; s.RepeatMark != mark || s.Key == "" || s.Key != seen[0].Key ||
			i > 0 && s.ID == seen[i-1].ID {
			t.Errorf("request %d: %+v", i, s)
		}
		if i > 0 && (s.At.Sub(seen[i-1].At) < 50*time.Millisecond ||
			s.TimeLeft >= seen[i-1].TimeLeft && len(s.TimeLeft) == len(seen[i-1].TimeLeft)) {
			t.Errorf("request %d came %v after the last and states %s ms after %s", i, s.At.Sub(seen[i-1].At),
				s.TimeLeft, seen[i-1].TimeLeft)
		}
	}
	fullRelay := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(503, "60") })
	acceptingRelay := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(202, "") })
	c = newClient(t, client.Config{Relays: []string{fullRelay.Addr, acceptingRelay.Addr}})
	for n := range 20 {
		res, err := c.Send(context.Background(), newMessage("fee-charge", n, 5*time.Second))
		if expectResult(t, "another relay accepts", res, err, client.Taken, res.HandIns); res.HandIns > 2 {
			t.Errorf("%d attempts", res.HandIns)
		}
	}
	if n := len(fullRelay.Requests()); n > 1 {
		t.Errorf("the relay that sent Retry-After received %d requests", n)
	}
	limited := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(429, "60") })
	other := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(429, "60") })
	c = newClient(t, client.Config{Relays: []string{limited.Addr, other.Addr}})
	res, err = c.Send(context.Background(), newMessage("order-relay", 1, 5*time.Second))
	expectResult(t, "a destination's limit applies at every relay", res, err, client.GivenUp, 1)
	res, err = c.Send(context.Background(), newMessage("order-relay", 2, 5*time.Second))
	expectResult(t, "a destination's limit applies to the next message", res, err, client.GivenUp, 0)
}

// An invalid Retry-After is ignored; one longer than the time left ends the message.
func TestInvalidRetryAfter(t *testing.T) {
	for after, o := range map[string]client.Outcome{
		"-1": client.Taken, "NaN": client.Taken, "Inf": client.Taken, "soon": client.Taken, "": client.Taken,
		"0x1p9": client.Taken, "1e9": client.Taken, "0": client.Taken, ".05": client.Taken,
		"9999999999999999999999": client.GivenUp, "86400": client.GivenUp,
		"Tue, 01 Dec 2099 00:00:00 GMT": client.Taken} {
		w := startEnv(t, testdouble.Config{})
		g := startProxy(t, w, "", func(n int, _ string) testdouble.Fault {
			if n == 0 {
				return answerFault(503, after)
			}
			return answerFault(202, "")
		})
		c := newClient(t, client.Config{Relays: []string{g.Addr}})
		res, err := c.Send(context.Background(), newMessage("fee-charge", 1, 2*time.Second))
		wantAttempts := 2
		if o == client.GivenUp {
			wantAttempts = 1
		}
		expectResult(t, "Retry-After: "+after, res, err, o, wantAttempts)
	}
}

// The relay accepted the message and its answer is lost: keyed and safe messages are retried, a
// charge is not.
func TestAnswerLost(t *testing.T) {
	for class, o := range map[string]client.Outcome{"price-alert": client.Taken, "order-relay": client.Taken,
		"fee-charge": client.Uncertain} {
		t.Run(class, func(t *testing.T) {
			w := startEnv(t, testdouble.Config{})
			g := startProxy(t, w, startRelay(t, w).Addr, faultFirst(1, testdouble.Fault{Kind: testdouble.DropResponse}))
			c := newClient(t, client.Config{Relays: []string{g.Addr}})
			res, err := c.Send(context.Background(), newMessage(class, 1, 5*time.Second))
			wantAttempts := 2
			if o == client.Uncertain {
				wantAttempts = 1
			}
			expectResult(t, class, res, err, o, wantAttempts)
			seen := g.Requests()
			if len(seen) != wantAttempts ||
				wantAttempts == 2 && (seen[1].RepeatMark != "again" || seen[1].Key != seen[0].Key ||
					seen[1].ID == seen[0].ID) {
				t.Fatalf("on the wire: %+v", seen)
			}
			waitUntil(t, w, "all effects", func() bool { return len(w.EffectLog.Entries()) == wantAttempts })
			if n := w.EffectLog.CountByName()[class+"/1"]; n != 1 && class != "price-alert" {
				t.Errorf("took effect %d times", n)
			}
		})
	}
}

// A keyed message is not retried after its window, and no retry states a time past it.
func TestKeyedWindow(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	g := startProxy(t, w, "", func(n int, _ string) testdouble.Fault {
		if n == 0 {
			return testdouble.Fault{Kind: testdouble.IgnoreRequest}
		}
		return answerFault(202, "")
	})
	m := newMessage("order-relay", 1, 15*time.Second)
	m.Window = 3 * time.Second
	c := newClient(t, client.Config{Relays: []string{g.Addr}, AnswerTimeout: 50 * time.Millisecond})
	res, err := c.Send(context.Background(), m)
	expectResult(t, "within the window", res, err, client.Taken, 2)
	if s := res.Attempts[1].Stated; s > m.Window {
		t.Errorf("the retry states %v, past the window", s)
	}
	m.Window = 40 * time.Millisecond
	g2 := startProxy(t, w, "", func(int, string) testdouble.Fault {
		return testdouble.Fault{Kind: testdouble.IgnoreRequest}
	})
	c = newClient(t, client.Config{Relays: []string{g2.Addr}, AnswerTimeout: 50 * time.Millisecond})
	res, err = c.Send(context.Background(), m)
	expectResult(t, "past the window", res, err, client.Uncertain, 1)
	m.Window = 3 * time.Second
	c = newClient(t, client.Config{Relays: []string{g2.Addr}, AnswerTimeout: 50 * time.Millisecond, Strict: true})
	res, err = c.Send(context.Background(), m)
	expectResult(t, "strict", res, err, client.Uncertain, 1)
}

// A 202 after the timeout is ignored and does not answer a later request.
func TestLateAnswer(t *testing.T) {
	for class, o := range map[string]client.Outcome{"price-alert": client.Taken, "fee-charge": client.Uncertain} {
		t.Run(class, func(t *testing.T) { // each environment ends before the next begins
			w := startEnv(t, testdouble.Config{})
			g := startProxy(t, w, startRelay(t, w).Addr, faultFirst(1, testdouble.Fault{Kind: testdouble.HoldResponse}))
			c := newClient(t, client.Config{Relays: []string{g.Addr}, AnswerTimeout: 100 * time.Millisecond})
			res, err := c.Send(context.Background(), newMessage(class, 1, 5*time.Second))
			wantAttempts := 2
			if o == client.Uncertain {
				wantAttempts = 1
			}
			expectResult(t, class, res, err, o, wantAttempts)
			g.ReleaseResponses()
			res, err = c.Send(context.Background(), newMessage(class, 2, 5*time.Second))
			expectResult(t, class+" after the late answer", res, err, client.Taken, 1)
			waitUntil(t, w, "the first to run", func() bool { return w.EffectLog.CountByName()[class+"/1"] >= 1 })
			if d := w.EffectLog.Duplicates("fee-charge"); d != nil {
				t.Error("doubles:", d)
			}
		})
	}
}

// A client avoids a relay that accepts connections and never answers; without another relay the
// message is uncertain.
func TestUnresponsiveRelay(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	unresponsive := startProxy(t, w, "", func(int, string) testdouble.Fault {
		return testdouble.Fault{Kind: testdouble.IgnoreRequest}
	})
	accepting := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(202, "") })
	c := newClient(t, client.Config{Relays: []string{unresponsive.Addr}, AnswerTimeout: 50 * time.Millisecond})
	res, err := c.Send(context.Background(), newMessage("price-alert", 1, 1500*time.Millisecond))
	if res.Outcome != client.Uncertain || res.HandIns != len(unresponsive.Requests()) || res.HandIns > 3 ||
		!errors.Is(err, client.ErrUncertain) {
		t.Errorf("%+v, %v; on the wire %d", res, err, len(unresponsive.Requests()))
	}
	c = newClient(t, client.Config{Relays: []string{unresponsive.Addr, accepting.Addr},
		AnswerTimeout: 50 * time.Millisecond})
	before := len(unresponsive.Requests())
	for n := range 20 {
		res, err := c.Send(context.Background(), newMessage("price-alert", n, 5*time.Second))
		expectResult(t, "with another relay", res, err, client.Taken, res.HandIns)
	}
	if n := len(unresponsive.Requests()) - before; n > 2 {
		t.Errorf("the unresponsive relay received %d messages", n)
	}
}

// The connection is closed during the request: no layer below the library resends it, even on a
// reused connection and with a key.
func TestNoUncountedResend(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	g := startProxy(t, w, "", func(n int, _ string) testdouble.Fault {
		if n%2 == 1 {
			return testdouble.Fault{Kind: testdouble.ResetConnection}
		}
		return answerFault(202, "")
	})
	c := newClient(t, client.Config{Relays: []string{g.Addr}})
	wantAttempts := 0
	for n := range 6 {
		m := newMessage("fee-charge", n, 5*time.Second)
		m.Key = fmt.Sprint("key-", n)
		res, err := c.Send(context.Background(), m)
		if wantAttempts += res.HandIns; res.HandIns > 1 && res.Outcome == client.Uncertain ||
			err == nil && res.Outcome != client.Taken {
			t.Errorf("%+v, %v", res, err)
		}
	}
	if n := len(g.Requests()); n != wantAttempts {
		t.Errorf("%d requests on the wire, %d attempts counted", n, wantAttempts)
	}
}

// Every relay is down: nothing is sent, and the message fails before its deadline.
func TestEveryRelayDown(t *testing.T) {
	a, _ := testdouble.ReserveAddr()
	b, err := testdouble.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	c := newClient(t, client.Config{Relays: []string{a, b}})
	res, err := c.Send(context.Background(), newMessage("fee-charge", 1, 400*time.Millisecond))
	expectResult(t, "down", res, err, client.Failed, 0)
	if !errors.Is(err, client.ErrNotConnected) || !errors.Is(err, client.ErrFailed) ||
		!errors.Is(err, syscall.ECONNREFUSED) || len(res.Attempts) == 0 {
		t.Errorf("%v, %+v", err, res)
	}
}

// A relay receives SIGTERM while clients send over reused connections: the other relay takes over,
// and no message is lost or delivered twice.
func TestPlannedStop(t *testing.T) {
	w := startEnv(t, testdouble.Config{FleetSize: 2, MaxPending: 2000}) // one relay may have all messages pending
	first, second := startRelay(t, w), startRelay(t, w)
	c := newClient(t, client.Config{Relays: []string{first.Addr, second.Addr}})
	var all sync.WaitGroup
	send := func(from, to int) {
		for n := from; n < to; n++ {
			res, err := c.Send(context.Background(), newMessage("fee-charge", n, 15*time.Second))
			expectResult(t, "while a relay stops", res, err, client.Taken, 1)
		}
	}
	stopped := make(chan error)
	var once sync.Once
	for i := range 8 {
		all.Go(func() {
			send(1000*i, 1000*i+20)
			once.Do(func() { go func() { stopped <- first.Stop() }() })
			send(1000*i+20, 1000*i+120)
		})
	}
	all.Wait()
	if err := <-stopped; err != nil {
		t.Fatalf("exit: %v", err)
	}
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "all to run", func() bool { return len(w.EffectLog.CountByName()) == 8*120 })
	if d := w.EffectLog.Duplicates("fee-charge"); d != nil {
		t.Error("doubles:", d)
	}
}

// A cancelled context ends Send at each stage with the true outcome and leaves no goroutine behind.
func TestCancelled(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	down, _ := testdouble.ReserveAddr()
	unresponsive := startProxy(t, w, "", func(int, string) testdouble.Fault {
		return testdouble.Fault{Kind: testdouble.IgnoreRequest}
	})
	limited := startProxy(t, w, "", func(int, string) testdouble.Fault { return answerFault(429, "10") })
	var observer *recorder
	completed := func(n int) bool { observer.mu.Lock(); defer observer.mu.Unlock(); return observer.requests == n }
	for _, s := range []struct {
		at      string
		relay   string
		started func() bool
		outcome client.Outcome
		handIns int
	}{
		{"before", unresponsive.Addr, nil, client.Failed, 0},
		{"connecting", down, func() bool { return true }, client.Failed, 0},
		{"waiting for the answer", unresponsive.Addr, func() bool { return len(unresponsive.Requests()) == 1 },
			client.Uncertain, 1},
		{"waiting after a rejection", limited.Addr, func() bool { return len(limited.Requests()) == 1 && completed(1) },
			client.Failed, 1},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		observer = &recorder{env: w}
		c := newClient(t, client.Config{Relays: []string{s.relay}, Observer: observer, AnswerTimeout: 30 * time.Second})
		if s.started == nil {
			cancel()
		}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			res, err := c.Send(ctx, newMessage("fee-charge", 1, 20*time.Second))
			expectResult(t, s.at, res, err, s.outcome, s.handIns)
			if !errors.Is(err, context.Canceled) {
				t.Errorf("%s: %v", s.at, err)
			}
		}()
		if s.started != nil {
			waitUntil(t, w, s.at, s.started)
			cancel()
		}
		<-finished
	}
}

// HandIn bounds the messages in flight; after Close nothing is accepted.
func TestHandInBackpressure(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	g := startProxy(t, w, startRelay(t, w).Addr,
		func(int, string) testdouble.Fault { return testdouble.Fault{Kind: testdouble.HoldResponse} })
	c := newClient(t, client.Config{Relays: []string{g.Addr}, MaxInFlight: 3, AnswerTimeout: 30 * time.Second})
	results := make(chan client.Result, 10)
	done := func(r client.Result, err error) { results <- r }
	for n := range 3 {
		if err := c.TryHandIn(context.Background(), newMessage("fee-charge", n, 15*time.Second), done); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.TryHandIn(context.Background(), newMessage("fee-charge", 3, 15*time.Second),
		done); !errors.Is(err, client.ErrFull) {
		t.Errorf("a fourth: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.HandIn(ctx, newMessage("fee-charge", 3, 15*time.Second), done); !errors.Is(err, context.Canceled) {
		t.Errorf("a fourth that blocks: %v", err)
	}
	waitUntil(t, w, "all answered by the relay", func() bool {
		n := 0
		for _, s := range g.Requests() {
			if s.Status == 202 {
				n++
			}
		}
		return n == 3
	})
	if err := c.Flush(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Flush while three are in flight: %v", err)
	}
	g.ReleaseResponses()
	if err := c.Flush(context.Background()); err != nil {
		t.Error(err)
	}
	for range 3 {
		if r := <-results; r.Outcome != client.Taken {
			t.Errorf("%+v", r)
		}
	}
	c.Close()
	if err := c.TryHandIn(context.Background(), newMessage("fee-charge", 9, time.Second),
		done); !errors.Is(err, client.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	if res, err := c.Send(context.Background(), newMessage("fee-charge", 9, time.Second)); !errors.Is(err,
		client.ErrClosed) || res.HandIns != 0 {
		t.Errorf("after Close: %+v, %v", res, err)
	}
}

// Invalid messages are never sent.
func TestInvalidMessages(t *testing.T) {
	w := startEnv(t, testdouble.Config{})
	g := startProxy(t, w, "", nil)
	c := newClient(t, client.Config{Relays: []string{g.Addr}})
	for what, m := range map[string]client.Message{
		"no class":            {Dest: 7, TimeLeft: time.Second},
		"class with line end": {Class: "fee\r\nX: y", Dest: 7, TimeLeft: time.Second},
		"class with slash":    {Class: "fee/charge", Dest: 7, TimeLeft: time.Second},
		"dest":                {Class: "fee-charge", Dest: -1, TimeLeft: time.Second},
		"key":                 {Class: "fee-charge", Dest: 7, Key: "a\nb", TimeLeft: time.Second},
		"body":                {Class: "fee-charge", Dest: 7, TimeLeft: time.Second, Body: make([]byte, 64<<10+1)},
		"no time":             {Class: "fee-charge", Dest: 7},
	} {
		if res, err := c.Send(context.Background(), m); !errors.Is(err, client.ErrMessage) || res.HandIns != 0 {
			t.Errorf("%s: %+v, %v", what, res, err)
		}
	}
	if n := len(g.ConnectionTimes()); n != 0 {
		t.Errorf("%d connections", n)
	}
}

// Relays are killed repeatedly while messages of all classes are sent. Each message has one true
// result, no charge runs twice, and there are at most two retries after rejections.
func TestSoakWithKills(t *testing.T) {
	const messages, workers = 1800, 12
	w := startEnv(t, testdouble.Config{Seed: 5, FleetSize: 2, MaxPending: 300,
		Partners: []testdouble.PartnerConfig{{Dest: 7, Kind: "broker", ServiceTime: 5 * time.Millisecond}}})
	relays := []*testdouble.Relay{startRelay(t, w), startRelay(t, w)}
	c := newClient(t, client.Config{Relays: []string{relays[0].Addr, relays[1].Addr}, Spread: 100 * time.Millisecond})
	classes := []string{"price-alert", "order-relay", "fee-charge"}
	results := make([]client.Result, messages)
	kills := make(chan struct{}, messages)
	var all, killer sync.WaitGroup
	killer.Go(func() { // every 300th message kills and restarts a relay
		random := rand.New(rand.NewPCG(5, 0))
		for range kills {
			r := relays[random.IntN(2)]
			r.Kill()
			if err := r.Start(); err != nil {
				t.Error(err)
			}
		}
	})
	for worker := range workers {
		all.Go(func() {
			for n := worker; n < messages; n += workers {
				if n%300 == 150 {
					kills <- struct{}{}
				}
				results[n], _ = c.Send(context.Background(),
					newMessage(classes[n%3], n, []time.Duration{5, 18, 18}[n%3]*time.Second))
			}
		})
	}
	all.Wait()
	close(kills)
	killer.Wait()
	completed := func(n int) bool {
		r := results[n]
		if w.EffectLog.CountByName()[fmt.Sprintf("%s/%d", classes[n%3], n)] > 0 {
			return true
		}
		_, notified := w.Platform.Notifications()[r.ID]
		return notified
	}
	counts := map[client.Outcome]int{}
	for n, r := range results {
		counts[r.Outcome]++
		afterRefusal, afterLoss := 0, 0
		for _, a := range r.Attempts {
			if a.Mark == "1" && a.Stage > client.NotConnected {
				afterRefusal++
			} else if a.Mark == "again" && a.Stage > client.NotConnected {
				afterLoss++
			}
		}
		if afterRefusal > 2 ||
			classes[n%3] == "fee-charge" && afterLoss > 0 && r.Attempts[0].Stage == client.WrittenWhole {
			t.Errorf("%d: %+v", n, r)
		}
	}
	waitUntil(t, w, "all accepted messages to complete", func() bool {
		for n, r := range results {
			if r.Outcome == client.Taken && !completed(n) {
				return false
			}
		}
		return true
	})
	effects := w.EffectLog.CountByName()
	for n, r := range results {
		name := fmt.Sprintf("%s/%d", classes[n%3], n)
		if notAccepted := r.Outcome != client.Taken && r.Outcome != client.Uncertain; r.Outcome == 0 ||
			notAccepted && effects[name] > 0 {
			t.Errorf("%s took effect %d times: %+v", name, effects[name], r)
		}
	}
	if d := append(w.EffectLog.Duplicates("fee-charge"), w.EffectLog.Duplicates("order-relay")...); d != nil {
		t.Error("doubles:", d)
	}
	t.Logf("%v", counts)
}
