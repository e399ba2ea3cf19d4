package emu_test

import (
	"encoding/json"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
	"oatfold/internal/lab/site"
	"oatfold/policy"
)

const lab = "../../../lab"

func day(t testing.TB, script string, seed uint64) *emu.Scenario {
	t.Helper()
	s, err := site.ReadScript(filepath.Join(lab, "days", script+site.FileExt))
	if err != nil {
		t.Fatal(err)
	}
	d, err := s.DrawScenario(nil, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func play(t testing.TB, d *emu.Scenario, set emu.Options) *emu.Result {
	t.Helper()
	res, err := emu.Run(d, set)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Every day of the library keeps all rules under the module in service, and shows its trouble: none serves what a calm day serves but
// those that are named.
func TestLibrary(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(lab, "days", "*"+site.FileExt))
	if err != nil || len(files) < 25 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), site.FileExt)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := day(t, name, 3)
			res := play(t, d, emu.Options{})
			if !res.Passed() {
				t.Errorf("%v %v", res.Breaks, res.Faults)
			}
			if n := res.Delivered + res.GivenUp + res.HandedBack + res.Lost; n != res.Requests || n == 0 {
				t.Errorf("%d ends of %d messages", n, res.Requests)
			}
			d.Faults = nil
			if calm := play(t, d, emu.Options{}); len(day(t, name, 3).Faults) > 0 && res.G == calm.G {
				t.Error("its trouble changes nothing")
			}
		})
	}
}

// One seed, one result, to the byte; another seed, another one.
func TestSameBytes(t *testing.T) {
	text := func(seed uint64) string {
		raw, err := json.Marshal(play(t, day(t, "two-at-once", seed), emu.Options{}))
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	if a, b := text(5), text(5); a != b {
		t.Error("two runs differ")
	}
	if text(5) == text(6) {
		t.Error("two seeds do not differ")
	}
}

// broken is a module that does something wrong after its first so many steps.
type broken struct {
	emu.PolicyEngine
	steps int
	do    func(acts []policy.Action) []policy.Action
}

func (b *broken) Step(now time.Duration, events []policy.Event) []policy.Action {
	acts := b.PolicyEngine.Step(now, events)
	if b.steps--; b.steps < 0 {
		return b.do(acts)
	}
	return acts
}

func spoilt(do func([]policy.Action) []policy.Action) emu.PolicyFactory {
	return func(set policy.Settings, seed int64) (emu.PolicyEngine, error) {
		m, err := emu.DefaultPolicy(set, seed)
		return &broken{m, 300, do}, err
	}
}

// answersWithdrawn fails each message that is withdrawn: in the step that hears of it, or one step later.
type answersWithdrawn struct {
	emu.PolicyEngine
	later    bool
	answered int
	owed     []policy.Action
}

func (m *answersWithdrawn) Step(now time.Duration, events []policy.Event) []policy.Action {
	acts := append(m.PolicyEngine.Step(now, events), m.owed...)
	m.owed = nil
	for _, e := range events {
		w, ok := e.(policy.Withdrawn)
		if !ok {
			continue
		}
		m.answered++
		if fail := policy.Fail(w); m.later {
			m.owed = append(m.owed, fail)
		} else {
			acts = append(acts, fail)
		}
	}
	return acts
}

// A relay that stood still hears in one step that a call timed out and that its message is over: its answer crosses the second, and breaks no
// rule. An answer in a later step does.
func TestAnswerCrossesAWithdrawal(t *testing.T) {
	for _, later := range []bool{false, true} {
		d := day(t, "frozen-relay", 3)
		d.Faults = []emu.Fault{{Kind: emu.RelayStall, At: 6 * time.Second, Duration: 15 * time.Second, Relays: []int{0}}}
		answered := 0
		var modules []*answersWithdrawn
		res := play(t, d, emu.Options{NewPolicy: func(set policy.Settings, seed int64) (emu.PolicyEngine, error) {
			m, err := emu.DefaultPolicy(set, seed)
			modules = append(modules, &answersWithdrawn{PolicyEngine: m, later: later})
			return modules[len(modules)-1], err
		}})
		for _, m := range modules {
			answered += m.answered
		}
		if answered == 0 {
			t.Fatal("no message was withdrawn")
		}
		if broke := len(res.Breaks) > 0; broke != later {
			t.Errorf("one step later %t: %d answers, %v", later, answered, res.Breaks)
		}
	}
}

// Modules that break a rule are found out, each by its rule.
func TestFindsBrokenModules(t *testing.T) {
	for name, c := range map[string]struct {
		rule rules.Name
		do   func([]policy.Action) []policy.Action
	}{
		"forgets a message": {rules.Answer, func(acts []policy.Action) (out []policy.Action) {
			for _, a := range acts {
				if s, ok := a.(policy.Send); !ok || s.ID%50 != 0 {
					out = append(out, a)
				}
			}
			return out
		}},
		"ends twice": {rules.Answer, func(acts []policy.Action) []policy.Action {
			for _, a := range acts {
				if s, ok := a.(policy.Send); ok {
					return append(acts, policy.Fail{ID: s.ID}, policy.Fail{ID: s.ID})
				}
			}
			return acts
		}},
		"sends twice": {rules.Repeat, func(acts []policy.Action) []policy.Action {
			for _, a := range acts {
				if s, ok := a.(policy.Send); ok {
					return append(acts, s)
				}
			}
			return acts
		}},
	} {
		res := play(t, day(t, "calm", 1), emu.Options{NewPolicy: spoilt(c.do)})
		if res.Broken[c.rule] == 0 {
			t.Errorf("%s: %v", name, res.Broken)
		}
	}
}

// A module that panics ends the life of its relay, is named, and ends neither the day nor another relay.
func TestPanic(t *testing.T) {
	res := play(t, day(t, "calm", 1), emu.Options{NewPolicy: spoilt(func([]policy.Action) []policy.Action { panic("spoilt") })})
	if res.Passed() || !strings.Contains(res.Faults[0], "panics: spoilt") {
		t.Errorf("faults %v", res.Faults)
	}
	if res.Delivered == 0 || res.Delivered+res.GivenUp+res.HandedBack+res.Lost != res.Requests {
		t.Errorf("%d delivered of %d", res.Delivered, res.Requests)
	}
}

// A day that runs out of events or of time says so and counts as no good one.
func TestRunsOut(t *testing.T) {
	if res := play(t, day(t, "calm", 1), emu.Options{MaxEvents: 1000}); len(res.Faults) != 1 || !strings.Contains(res.Faults[0], "cut after 1000 events") {
		t.Errorf("events: %v", res.Faults)
	}
	d := day(t, "cold-return", 1)
	d.Tail = 0
	if res := play(t, d, emu.Options{}); len(res.Faults) == 0 || !strings.Contains(res.Faults[0], "had no end") {
		t.Errorf("time: %v", res.Faults)
	}
}

// A figure that makes no day is named by its key.
func TestNamesTheKey(t *testing.T) {
	for key, spoil := range map[string]func(*emu.Scenario){
		"rate": func(d *emu.Scenario) { d.Rate = math.NaN() },
		"tick": func(d *emu.Scenario) { d.Tick = 0 },
		"dests: ": func(d *emu.Scenario) {
			for i := range d.Dests {
				d.Dests[i].Share = 0
			}
		},
		"dests[0].endpoints[0].sp": func(d *emu.Scenario) { d.Dests[0].Endpoints[0].Speed = 0 },
		"classes[1].aim":           func(d *emu.Scenario) { d.Classes[1].TargetLatency = d.Classes[1].Deadline * 2 },
		"troubles[0].kind":         func(d *emu.Scenario) { d.Faults = []emu.Fault{{Kind: "flood", Dests: []int{0}}} },
		"troubles[0].parts":        func(d *emu.Scenario) { d.Faults = []emu.Fault{{Kind: emu.Crash, Endpoints: [][2]int{{0, 99}}}} },
		"troubles[0].relays":       func(d *emu.Scenario) { d.Faults = []emu.Fault{{Kind: emu.RelayStall, Relays: []int{99}}} },
	} {
		d := day(t, "calm", 1)
		spoil(d)
		if _, err := emu.Run(d, emu.Options{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// BenchmarkDay is a busy day of the library.
func BenchmarkDay(b *testing.B) {
	d := day(b, "two-at-once", 1)
	b.ReportAllocs()
	for b.Loop() {
		play(b, d, emu.Options{})
	}
	b.ReportMetric(d.Length.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "x-real-time")
}

// A dead relay is dealt messages until the front notices, and none after.
func TestFrontNotices(t *testing.T) {
	d := day(t, "lost-relay", 2)
	unreached := map[time.Duration]int{}
	for _, notice := range []time.Duration{0, 3 * time.Second, time.Hour} {
		d.BalancerDetectionDelay = notice
		res := play(t, d, emu.Options{})
		if unreached[notice] = res.Unreached; !res.Passed() {
			t.Error(res.Breaks, res.Faults)
		}
	}
	// What was on its way as the relay died finds it dead also where that is noticed at once.
	if at := unreached; at[0] > 2 || at[3*time.Second] < 20 || at[time.Hour] <= at[3*time.Second] {
		t.Errorf("hand-ins that found a dead relay, by the time that the front took: %v", unreached)
	}
}
