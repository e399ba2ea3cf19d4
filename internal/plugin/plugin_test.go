package plugin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"oatfold/internal/plugin/limits"
	"oatfold/internal/testdouble/wasm"
	"oatfold/plugin/abi"
)

var discardLog = slog.New(slog.DiscardHandler)

func testSpec(t testing.TB, code []byte, hooks ...abi.Hook) Spec {
	t.Helper()
	path := filepath.Join(t.TempDir(), "m.wasm")
	if err := os.WriteFile(path, code, 0o600); err != nil {
		t.Fatal(err)
	}
	return Spec{Name: "m", Path: path, Hooks: hooks,
		OnFailure: map[string]limits.FailureAction{"price-alert": limits.Pass, "order-relay": limits.Refuse,
			"fee-charge": limits.Fail},
		Breaker: limits.BreakerConfig{FailureThreshold: 3, OpenTime: time.Minute, MaxOpenTime: time.Hour,
			RequiredTrials: 2},
		Budget: Budget{Wall: time.Second, CPU: 20 * time.Millisecond, MemoryPages: 8, MaxOutputBytes: 72 << 10,
			Instances: 1, InstanceTimeout: time.Millisecond, LoadTimeout: 10 * time.Second}}
}

func loadPlugin(t testing.TB, s Spec) *Plugin {
	t.Helper()
	p, err := Load(context.Background(), s, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func testMessage(class string) *Message {
	return &Message{Class: class, ID: "id", Key: "key", Dest: 7, TimeLeft: time.Second, Body: []byte("a body")}
}

var allHooks = []abi.Hook{abi.OnHandIn, abi.ShapeRequest, abi.ReadAnswer}

// Each fault at each hook fails the call and changes nothing. The plug-in is disabled after three
// failures, tried once after the pause, and disabled again.
func TestFaults(t *testing.T) {
	for _, h := range allHooks {
		for name, m := range wasm.FaultyPlugins(h.String()) {
			p := loadPlugin(t, testSpec(t, m.Bytes(), h))
			now := time.Unix(1000, 0)
			p.now = func() time.Time { return now }
			input := p.encodeMessage(testMessage("fee-charge"), []byte("a body"), 0)
			for n := range 3 {
				out, err := p.Call(h, input)
				if err == nil || errors.Is(err, ErrDisabled) || out.Body != nil || out.Headers != nil ||
					out.Outcome != -1 || out.Verdict != abi.Take {
					t.Errorf("%s, %s, call %d: %+v, %v", h, name, n, out, err)
				}
				if name == "loops" && !errors.Is(err, ErrTimeBudget) {
					t.Errorf("%s, %s: %v", h, name, err)
				}
			}
			if _, err := p.Call(h, input); !errors.Is(err, ErrDisabled) || !p.Disabled() {
				t.Errorf("%s, %s: not disabled: %v", h, name, err)
			}
			now = now.Add(time.Minute)
			if _, err := p.Call(h, input); err == nil || errors.Is(err, ErrDisabled) {
				t.Errorf("%s, %s: no trial after the pause: %v", h, name, err)
			}
			if _, err := p.Call(h, input); !errors.Is(err, ErrDisabled) {
				t.Errorf("%s, %s: still enabled after a failed trial: %v", h, name, err)
			}
			if c := p.Counts(); c.Calls[h] != 6 || c.Failures[h] != 6 {
				t.Errorf("%s, %s: counts %+v", h, name, c)
			}
		}
	}
}

// A module that can't be loaded is named in the error, and the failure rules apply to its messages.
func TestBrokenModules(t *testing.T) {
	for name, code := range wasm.UnloadableModules("shape_request") {
		s := testSpec(t, code, abi.ShapeRequest)
		if name == "loops at start" {
			s.Budget.LoadTimeout = 100 * time.Millisecond
		}
		set, err := LoadSet(context.Background(), []Spec{s}, discardLog)
		if err == nil || !strings.Contains(err.Error(), "plug-in m") {
			t.Errorf("%s: %v", name, err)
		}
		for class, want := range s.OnFailure {
			body, _, failed := set.ShapeRequest(testMessage(class))
			if want == limits.Pass {
				if failed != nil || string(body) != "a body" {
					t.Errorf("%s, %s: %v", name, class, failed)
				}
			} else if failed == nil || failed.Action != want || !errors.Is(failed, ErrNotLoaded) {
				t.Errorf("%s, %s: %v", name, class, failed)
			}
		}
		set.Release()
	}
}

// A plug-in that loops is stopped by its CPU budget, or by its wall time budget.
func TestCPUBudget(t *testing.T) {
	s := testSpec(t, wasm.WithCode("shape_request", wasm.InfiniteLoop()).Bytes(), abi.ShapeRequest)
	s.Budget.Wall = time.Hour
	p := loadPlugin(t, s)
	_, err := p.Call(abi.ShapeRequest, p.encodeMessage(testMessage("fee-charge"), nil, 0))
	if !errors.Is(err, ErrTimeBudget) || !strings.Contains(err.Error(), "CPU") {
		t.Error(err)
	}
	if c := p.Counts(); c.CPU < s.Budget.CPU {
		t.Errorf("%v of CPU time counted", c.CPU)
	}
	s.Budget = Budget{Wall: 20 * time.Millisecond, CPU: time.Hour, MemoryPages: 8, MaxOutputBytes: 100, Instances: 1,
		InstanceTimeout: time.Millisecond, LoadTimeout: time.Second}
	p = loadPlugin(t, s)
	if _, err := p.Call(abi.ShapeRequest, p.encodeMessage(testMessage("fee-charge"), nil, 0)); !errors.Is(err,
		ErrTimeBudget) || !strings.Contains(err.Error(), "wall") {
		t.Error(err)
	}
}

// Calls without a free instance are rejected, which does not disable the plug-in.
func TestOverload(t *testing.T) {
	p := loadPlugin(t, testSpec(t, wasm.Noop().Bytes(), abi.ShapeRequest))
	input := p.encodeMessage(testMessage("fee-charge"), nil, 0)
	taken := <-p.instances
	for range 10 {
		if _, err := p.Call(abi.ShapeRequest, input); !errors.Is(err, ErrBusy) {
			t.Fatal(err)
		}
	}
	p.instances <- taken
	if _, err := p.Call(abi.ShapeRequest, input); err != nil || p.Disabled() {
		t.Errorf("%v, disabled %v", err, p.Disabled())
	}
}

// Ten plug-ins that allocate as much memory as they can stay within their limits, and other
// plug-ins keep working.
func TestMemoryLimit(t *testing.T) {
	var specs []Spec
	for n := range 10 {
		s := testSpec(t, wasm.WithCode("shape_request", wasm.GrowUntilTrap()).Bytes(), abi.ShapeRequest)
		s.Name, s.Budget.MemoryPages, s.Budget.Instances, s.Classes = fmt.Sprint("m", n), 16, 2, []string{"fee-charge"}
		specs = append(specs, s)
	}
	good := testSpec(t, wasm.Returning("shape_request", abi.Append(nil, abi.Body, "shaped")).Bytes(), abi.ShapeRequest)
	good.Classes = []string{"price-alert"}
	set, err := LoadSet(context.Background(), append(specs, good), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer set.Release()
	var all sync.WaitGroup
	for n := range 20 {
		all.Go(func() {
			p := set.plugins[n%10]
			i := <-p.instances
			if i == nil {
				var err error
				if i, err = p.instantiate(context.Background()); err != nil {
					t.Error(err)
					return
				}
			}
			m := i.module.Memory()
			if _, _, err := p.runOn(i, abi.ShapeRequest,
				p.encodeMessage(testMessage("fee-charge"), nil, 0)); err == nil {
				t.Error("the call did not fail")
			}
			if size := m.Size(); size > 16*PageSize {
				t.Errorf("%d bytes", size)
			}
			p.instances <- nil
		})
	}
	for range 20 {
		if body, _, failed := set.ShapeRequest(testMessage("price-alert")); failed != nil || string(body) != "shaped" {
			t.Errorf("%q, %v", body, failed)
		}
	}
	all.Wait()
}

// Notes reach the later hooks; plug-ins are called in order, and only for messages that they match.
func TestChain(t *testing.T) {
	note := testSpec(t, wasm.Returning("on_handin", abi.Append(nil, abi.Note, "a=b")).Bytes(), abi.OnHandIn)
	one := testSpec(t, wasm.Returning("shape_request",
		abi.Append(abi.Append(nil, abi.Header, "X-A: 1"), abi.Body, "one")).Bytes(), abi.ShapeRequest)
	two := testSpec(t, wasm.Returning("shape_request", abi.Append(nil, abi.Header, "X-A: 2")).Bytes(), abi.ShapeRequest)
	other := testSpec(t, wasm.Returning("shape_request", abi.Append(nil, abi.Body, "other")).Bytes(), abi.ShapeRequest)
	other.Dests = []int{8}
	late := testSpec(t, wasm.Returning("read_answer",
		abi.AppendNumber(abi.AppendNumber(nil, abi.Outcome, abi.MayHave), abi.WaitMs, 500)).Bytes(), abi.ReadAnswer)
	set, err := LoadSet(context.Background(), []Spec{note, one, other, two, late}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer set.Release()
	m := testMessage("order-relay")
	a := set.OnHandIn(m)
	if a.Verdict != abi.Take || string(a.Notes) != string(abi.Append(nil, abi.Note, "a=b")) {
		t.Errorf("%+v", a)
	}
	body, headers, failed := set.ShapeRequest(m)
	if failed != nil || string(body) != "one" || fmt.Sprint(headers) != "[[X-A 1] [X-A 2]]" {
		t.Errorf("%q, %v, %v", body, headers, failed)
	}
	for was, want := range map[int]int{abi.Delivered: abi.MayHave, abi.NeverRan: abi.MayHave,
		abi.MayHave: abi.MayHave} {
		if o, w := set.ReadAnswer(m, Answer{Status: 200, Outcome: was, Wait: 300 * time.Millisecond}); o != want ||
			w != 500*time.Millisecond {
			t.Errorf("%d became %d, wait %v", was, o, w)
		}
	}
}

// A replaced set stays usable until its last user releases it.
func TestReplacedWhileUsed(t *testing.T) {
	h := &Holder{}
	if h.Acquire() != nil {
		t.Fatal("an empty holder returned a set")
	}
	loadBody := func(body string) *Set {
		one := testSpec(t, wasm.Returning("shape_request", abi.Append(nil, abi.Body, body)).Bytes(), abi.ShapeRequest)
		one.Budget.Instances, one.Budget.InstanceTimeout = 8, time.Minute
		s, err := LoadSet(context.Background(), []Spec{one}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	shapedBody := func(s *Set) string { body, _, _ := s.ShapeRequest(testMessage("fee-charge")); return string(body) }
	h.Replace(loadBody("old"))
	old := h.Acquire()
	h.Replace(loadBody("new"))
	now := h.Acquire()
	if shapedBody(old) != "old" || shapedBody(now) != "new" {
		t.Errorf("%q, %q", shapedBody(old), shapedBody(now))
	}
	now.Release()
	if old.Release(); old.refs.Load() != 0 || now.refs.Load() != 1 {
		t.Errorf("old used %d times, new %d", old.refs.Load(), now.refs.Load())
	}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 50 {
				if s := h.Acquire(); s != nil {
					if got := shapedBody(s); got == "" {
						t.Error("a closed set was returned")
					}
					s.Release()
				}
			}
		})
	}
	for n := range 5 {
		h.Replace(loadBody(fmt.Sprint(n)))
	}
	all.Wait()
	h.Replace(nil)
}

// BenchmarkShape measures shape_request: without a plug-in, with one that changes nothing, with one
// that sets a body.
func BenchmarkShape(b *testing.B) {
	for name, m := range map[string]*wasm.Module{"none": nil, "noop": ptr(wasm.Noop()),
		"rewrite": ptr(wasm.Returning("shape_request",
			abi.Append(abi.Append(nil, abi.Body, strings.Repeat("x", 212)), abi.Header, "X-Form: 2")))} {
		b.Run(name, func(b *testing.B) {
			h := &Holder{}
			if m != nil {
				set, err := LoadSet(context.Background(), []Spec{testSpec(b, m.Bytes(), abi.ShapeRequest)}, discardLog)
				if err != nil {
					b.Fatal(err)
				}
				h.Replace(set)
				defer h.Replace(nil)
			}
			msg := testMessage("fee-charge")
			msg.Body = make([]byte, 212)
			b.ReportAllocs()
			for b.Loop() {
				if s := h.Acquire(); s != nil {
					if _, _, failed := s.ShapeRequest(msg); failed != nil {
						b.Fatal(failed)
					}
					s.Release()
				}
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }
