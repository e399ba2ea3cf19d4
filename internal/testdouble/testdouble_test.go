package testdouble

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// manualClock is a clock that the test advances.
type manualClock struct {
	mu sync.Mutex
	at time.Time
}

func (c *manualClock) now() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.at }

func (c *manualClock) advance(d time.Duration) { c.mu.Lock(); c.at = c.at.Add(d); c.mu.Unlock() }

// startEnvironment starts an environment that is closed when the test ends.
func startEnvironment(t *testing.T, config Config) *Environment {
	t.Helper()
	env, err := NewEnvironment(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	return env
}

// postMessage makes one call and returns the status, or 0 if the connection broke.
func postMessage(p *Partner, name, key string) int {
	req, _ := http.NewRequest("POST", "http://"+p.endpoints[0].addr+"/hook", strings.NewReader(name))
	req.Header.Set("X-Correlation-Id", "id-"+name)
	if key != "" {
		// net/http would retry a request whose Idempotency-Key has the canonical spelling.
		req.Header["idempotency-key"] = []string{key}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// The effect log deduplicates repeats of keyed classes within their window, and no others.
func TestEffectLog(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	env := startEnvironment(t, Config{Partners: []PartnerConfig{{Dest: 7, Now: clock.now}}})
	p := env.Partners[7]
	for _, name := range []string{"order-relay/1", "order-relay/1", "fee-charge/1", "fee-charge/1", "price-alert/1"} {
		if got := postMessage(p, name, "key-"+name); got != 200 {
			t.Fatalf("%s: %d", name, got)
		}
	}
	clock.advance(6 * time.Second)
	postMessage(p, "order-relay/1", "key-order-relay/1") // the repeat window has passed
	if n := env.EffectLog.CountByName(); n["order-relay/1"] != 2 || n["fee-charge/1"] != 2 || n["price-alert/1"] != 1 {
		t.Errorf("%v", n)
	}
	if d := env.EffectLog.Duplicates("fee-charge"); len(d) != 1 || !strings.Contains(d[0], "2 times") {
		t.Errorf("duplicates %v", d)
	}
}

// A partner keeps its rate limit, sends Retry-After, counts calls that don't respect it, and
// collapses under overload during warm-up.
func TestPartnerLimits(t *testing.T) {
	clock := &manualClock{at: time.Unix(1000, 0)}
	env := startEnvironment(t, Config{Partners: []PartnerConfig{{Dest: 7, Rate: 10, Burst: 2,
		RetryAfter: time.Second, Now: clock.now, ColdRateShare: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2}}})
	p := env.Partners[7]
	got := []int{postMessage(p, "a", ""), postMessage(p, "b", ""), postMessage(p, "c", "")}
	if !slices.Equal(got, []int{200, 200, 429}) || p.RejectedCalls() != 1 || p.EarlyCalls() != 0 {
		t.Fatalf("%v, rejected %d, early %d", got, p.RejectedCalls(), p.EarlyCalls())
	}
	clock.advance(500 * time.Millisecond)
	if postMessage(p, "d", ""); p.EarlyCalls() != 1 {
		t.Errorf("early %d", p.EarlyCalls())
	}
	p.SetMode(InternalError, 1)
	if got := postMessage(p, "e", ""); got != 500 {
		t.Errorf("internal error: %d", got)
	}
	p.SetMode(Healthy, 0)
	for i := range 4 { // the current rate is 2 per second; it collapses above about 4
		clock.advance(50 * time.Millisecond)
		if postMessage(p, fmt.Sprint("f", i), ""); p.Collapsed() {
			t.Fatalf("it collapsed at call %d", i)
		}
	}
	go postMessage(p, "one too many", "")
	if err := env.WaitUntil("the partner to collapse", p.Collapsed); err != nil {
		t.Error(err)
	}
}

// Resets before and after a run differ in effect, and a partner recovers from RefusingConnections
// and Unresponsive.
func TestPartnerModes(t *testing.T) {
	env := startEnvironment(t, Config{Partners: []PartnerConfig{{Dest: 7}}})
	p := env.Partners[7]
	for m, want := range map[Mode]int{ResetBeforeRun: 0, ResetAfterRun: 0, Unavailable: 503, Healthy: 200} {
		if err := p.SetMode(m, 1); err != nil {
			t.Fatal(err)
		}
		if got := postMessage(p, fmt.Sprint("m", int(m)), ""); got != want {
			t.Errorf("mode %d: %d", m, got)
		}
	}
	if n := env.EffectLog.CountByName(); n["m3"] != 1 || n["m2"] != 0 || len(n) != 2 {
		t.Errorf("%v", n)
	}
	p.SetMode(RefusingConnections, 1)
	if got := postMessage(p, "r", ""); got != 0 {
		t.Errorf("refusing connections: %d", got)
	}
	p.SetMode(Unresponsive, 1)
	done := make(chan int)
	go func() { done <- postMessage(p, "s", "") }()
	p.SetMode(Healthy, 0)
	if got := <-done; got != 0 && got != 200 {
		t.Errorf("unresponsive: %d", got)
	}
}

// Discovery serves the list and wakes long polls; valid notifications are kept and invalid ones
// rejected.
func TestPlatform(t *testing.T) {
	env := startEnvironment(t, Config{Partners: []PartnerConfig{{Dest: 7, Endpoints: 2}}})
	type endpointList struct {
		Generation int
		Reset      bool
		Instances  []instance
	}
	get := func(query string) (l endpointList) {
		res, err := http.Get("http://" + env.Platform.Addr + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	if l := get(""); l.Generation != 1 || !l.Reset || len(l.Instances) != 2 {
		t.Fatalf("%+v", l)
	}
	got := make(chan endpointList)
	go func() { got <- get("?from=1&hold_ms=60000") }()
	env.Platform.SetLifecycle(env.Partners[7].EndpointIDs()[1], "terminating")
	if l := <-got; l.Generation != 2 || l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "terminating" {
		t.Errorf("%+v", l)
	}
	for body, want := range map[string]int{
		`{"message":"m","outcome":"given_up"}` + "\n": 204, `{"message":"m","outcome":"lost"}` + "\n": 400, "x\n": 400,
	} {
		res, err := http.Post("http://"+env.Platform.Addr+"/v1/notices", "", bytes.NewReader([]byte(body)))
		if err != nil || res.StatusCode != want {
			t.Errorf("%s: %v, %v", body, res, err)
		}
		res.Body.Close()
	}
	if n := env.Platform.Notifications(); len(n) != 1 || n["m"].Outcome != "given_up" {
		t.Errorf("%v", n)
	}
}

// Guards against a relay that finds its address in use: a process that was started by another test
// at the same time still had the listener that reserved it.
func TestNoAddressIsReservedDuringStart(t *testing.T) {
	syscall.ForkLock.Lock() // as the start of a process does
	reserved := make(chan error, 1)
	go func() {
		_, err := ReserveAddr()
		reserved <- err
	}()
	select {
	case <-reserved:
		t.Error("reserved while a process is started")
		syscall.ForkLock.Unlock()
		return
	case <-time.After(50 * time.Millisecond):
	}
	syscall.ForkLock.Unlock()
	if err := <-reserved; err != nil {
		t.Error(err)
	}
}
