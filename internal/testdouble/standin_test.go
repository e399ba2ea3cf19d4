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
	"testing"
	"time"
)

// clock is moved by hand.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.at }

func (c *clock) move(d time.Duration) { c.mu.Lock(); c.at = c.at.Add(d); c.mu.Unlock() }

func startWorld(t *testing.T, set Config) *Environment {
	t.Helper()
	w, err := NewEnvironment(set)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// call makes one call and returns the status, or 0 where the connection broke.
func call(p *Partner, name, key string) int {
	req, _ := http.NewRequest("POST", "http://"+p.ends[0].addr+"/hook", strings.NewReader(name))
	req.Header.Set("X-Correlation-Id", "id-"+name)
	if key != "" {
		req.Header["idempotency-key"] = []string{key} // in this form the library does not send it again by itself
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// The ledger counts what took effect: repeats of keyed classes within their window are dropped, others are not.
func TestLedger(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	w := startWorld(t, Config{Partners: []PartnerConfig{{Dest: 7, Now: c.now}}})
	p := w.Partners[7]
	for _, name := range []string{"order-relay/1", "order-relay/1", "fee-charge/1", "fee-charge/1", "price-alert/1"} {
		if got := call(p, name, "key-"+name); got != 200 {
			t.Fatalf("%s: %d", name, got)
		}
	}
	c.move(6 * time.Second)
	call(p, "order-relay/1", "key-order-relay/1") // the window is over
	if n := w.EffectLog.CountByName(); n["order-relay/1"] != 2 || n["fee-charge/1"] != 2 || n["price-alert/1"] != 1 {
		t.Errorf("%v", n)
	}
	if d := w.EffectLog.Duplicates("fee-charge"); len(d) != 1 || !strings.Contains(d[0], "2 times") {
		t.Errorf("doubles %v", d)
	}
}

// A partner keeps its rate, tells waits, counts calls that come before one is over, and falls if it is pushed while cold.
func TestPartnerLimits(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	w := startWorld(t, Config{Partners: []PartnerConfig{{Dest: 7, Rate: 10, Burst: 2, RetryAfter: time.Second, Now: c.now,
		ColdRateShare: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2}}})
	p := w.Partners[7]
	got := []int{call(p, "a", ""), call(p, "b", ""), call(p, "c", "")}
	if !slices.Equal(got, []int{200, 200, 429}) || p.RejectedCalls() != 1 || p.EarlyCalls() != 0 {
		t.Fatalf("%v, rejected %d, early %d", got, p.RejectedCalls(), p.EarlyCalls())
	}
	c.move(500 * time.Millisecond)
	if call(p, "d", ""); p.EarlyCalls() != 1 {
		t.Errorf("early %d", p.EarlyCalls())
	}
	p.SetMode(InternalError, 1)
	if got := call(p, "e", ""); got != 500 {
		t.Errorf("broken: %d", got)
	}
	p.SetMode(Healthy, 0)
	for i := range 4 { // 2 a second is what it can take, and some 4 what it stands
		c.move(50 * time.Millisecond)
		if call(p, fmt.Sprint("f", i), ""); p.Collapsed() {
			t.Fatalf("it fell at call %d", i)
		}
	}
	go call(p, "one too many", "")
	if err := w.WaitUntil("the partner to fall", p.Collapsed); err != nil {
		t.Error(err)
	}
}

// Modes: resets before and after the effect, refusal of connections and the way back, and silence that ends.
func TestPartnerModes(t *testing.T) {
	w := startWorld(t, Config{Partners: []PartnerConfig{{Dest: 7}}})
	p := w.Partners[7]
	for m, want := range map[Mode]int{ResetBeforeRun: 0, ResetAfterRun: 0, Unavailable: 503, Healthy: 200} {
		if err := p.SetMode(m, 1); err != nil {
			t.Fatal(err)
		}
		if got := call(p, fmt.Sprint("m", int(m)), ""); got != want {
			t.Errorf("mode %d: %d", m, got)
		}
	}
	if n := w.EffectLog.CountByName(); n["m3"] != 1 || n["m2"] != 0 || len(n) != 2 {
		t.Errorf("%v", n)
	}
	p.SetMode(RefusingConnections, 1)
	if got := call(p, "r", ""); got != 0 {
		t.Errorf("refusing: %d", got)
	}
	p.SetMode(Unresponsive, 1)
	done := make(chan int)
	go func() { done <- call(p, "s", "") }()
	p.SetMode(Healthy, 0)
	if got := <-done; got != 0 && got != 200 {
		t.Errorf("silent: %d", got)
	}
}

// Discovery tells the list and wakes watches; notices are kept, and what is none is refused.
func TestPlatform(t *testing.T) {
	w := startWorld(t, Config{Partners: []PartnerConfig{{Dest: 7, Endpoints: 2}}})
	type list struct {
		Generation int
		Reset      bool
		Instances  []instance
	}
	get := func(query string) (l list) {
		res, err := http.Get("http://" + w.Platform.Addr + "/v1/endpoints" + query)
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
	got := make(chan list)
	go func() { got <- get("?from=1&hold_ms=60000") }()
	w.Platform.SetLifecycle(w.Partners[7].EndpointIDs()[1], "terminating")
	if l := <-got; l.Generation != 2 || l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "terminating" {
		t.Errorf("%+v", l)
	}
	for body, want := range map[string]int{`{"message":"m","outcome":"given_up"}` + "\n": 204, `{"message":"m","outcome":"lost"}` + "\n": 400, "x\n": 400} {
		res, err := http.Post("http://"+w.Platform.Addr+"/v1/notices", "", bytes.NewReader([]byte(body)))
		if err != nil || res.StatusCode != want {
			t.Errorf("%s: %v, %v", body, res, err)
		}
		res.Body.Close()
	}
	if n := w.Platform.Notifications(); len(n) != 1 || n["m"].Outcome != "given_up" {
		t.Errorf("%v", n)
	}
}
