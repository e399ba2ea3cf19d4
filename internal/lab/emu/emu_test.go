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

func drawScenario(t testing.TB, script string, seed uint64) *emu.Scenario {
	t.Helper()
	parsed, err := site.ReadScript(filepath.Join(lab, "days", script+site.FileExt))
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := parsed.DrawScenario(nil, seed)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func run(t testing.TB, scenario *emu.Scenario, options emu.Options) *emu.Result {
	t.Helper()
	result, err := emu.Run(scenario, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The production policy violates no rule in any scenario of the library, all messages complete, and
// the faults of each scenario have an effect.
func TestLibraryScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(lab, "days", "*"+site.FileExt))
	if err != nil || len(files) < 25 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), site.FileExt)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario := drawScenario(t, name, 3)
			result := run(t, scenario, emu.Options{})
			if !result.Passed() {
				t.Errorf("violations %v, errors %v", result.Breaks, result.Faults)
			}
			if completions := result.Delivered + result.GivenUp + result.HandedBack + result.Lost; completions !=
				result.Requests || completions == 0 {
				t.Errorf("%d of %d messages completed", completions, result.Requests)
			}
			scenario.Faults = nil
			if calm := run(t, scenario, emu.Options{}); len(drawScenario(t, name, 3).Faults) > 0 && result.G == calm.G {
				t.Error("the faults have no effect")
			}
		})
	}
}

// The same seed gives the same result to the byte, another seed a different one.
func TestDeterministic(t *testing.T) {
	encoded := func(seed uint64) string {
		raw, err := json.Marshal(run(t, drawScenario(t, "two-at-once", seed), emu.Options{}))
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	if a, b := encoded(5), encoded(5); a != b {
		t.Error("two runs with the same seed differ")
	}
	if encoded(5) == encoded(6) {
		t.Error("two seeds give the same result")
	}
}

// faultyPolicy corrupts the actions of a policy after some correct steps.
type faultyPolicy struct {
	emu.PolicyEngine
	correctSteps int
	corrupt      func(acts []policy.Action) []policy.Action
}

func (p *faultyPolicy) Step(now time.Duration, events []policy.Event) []policy.Action {
	actions := p.PolicyEngine.Step(now, events)
	if p.correctSteps--; p.correctSteps < 0 {
		return p.corrupt(actions)
	}
	return actions
}

// faultyFactory creates production policies whose actions are corrupted after 300 steps.
func faultyFactory(corrupt func([]policy.Action) []policy.Action) emu.PolicyFactory {
	return func(settings policy.Settings, seed int64) (emu.PolicyEngine, error) {
		engine, err := emu.DefaultPolicy(settings, seed)
		return &faultyPolicy{engine, 300, corrupt}, err
	}
}

// withdrawalAnswerer answers each withdrawn message with a failure, in the same step or one step
// later.
type withdrawalAnswerer struct {
	emu.PolicyEngine
	delayed  bool
	answered int
	deferred []policy.Action
}

func (a *withdrawalAnswerer) Step(now time.Duration, events []policy.Event) []policy.Action {
	actions := append(a.PolicyEngine.Step(now, events), a.deferred...)
	a.deferred = nil
	for _, e := range events {
		withdrawn, ok := e.(policy.Withdrawn)
		if !ok {
			continue
		}
		a.answered++
		if answer := policy.Fail(withdrawn); a.delayed {
			a.deferred = append(a.deferred, answer)
		} else {
			actions = append(actions, answer)
		}
	}
	return actions
}

// A final answer in the step that withdraws the message violates no rule: after a stall, a timeout
// and the withdrawal may arrive together. An answer in a later step does.
func TestAnswerCrossingWithdrawal(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		scenario := drawScenario(t, "frozen-relay", 3)
		scenario.Faults = []emu.Fault{{Kind: emu.RelayStall, At: 6 * time.Second, Duration: 15 * time.Second,
			Relays: []int{0}}}
		answered := 0
		var policies []*withdrawalAnswerer
		result := run(t, scenario, emu.Options{NewPolicy: func(
			settings policy.Settings, seed int64,
		) (emu.PolicyEngine, error) {
			engine, err := emu.DefaultPolicy(settings, seed)
			policies = append(policies, &withdrawalAnswerer{PolicyEngine: engine, delayed: delayed})
			return policies[len(policies)-1], err
		}})
		for _, p := range policies {
			answered += p.answered
		}
		if answered == 0 {
			t.Fatal("no message was withdrawn")
		}
		if violated := len(result.Breaks) > 0; violated != delayed {
			t.Errorf("one step later %t: %d answers, violations %v", delayed, answered, result.Breaks)
		}
	}
}

// Policies that violate a rule are detected by that rule.
func TestDetectsFaultyPolicies(t *testing.T) {
	for name, c := range map[string]struct {
		rule    rules.Name
		corrupt func([]policy.Action) []policy.Action
	}{
		"forgets a message": {rules.Answer, func(acts []policy.Action) (out []policy.Action) {
			for _, a := range acts {
				if s, ok := a.(policy.Send); !ok || s.ID%50 != 0 {
					out = append(out, a)
				}
			}
			return out
		}},
		"answers twice": {rules.Answer, func(acts []policy.Action) []policy.Action {
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
		result := run(t, drawScenario(t, "calm", 1), emu.Options{NewPolicy: faultyFactory(c.corrupt)})
		if result.Broken[c.rule] == 0 {
			t.Errorf("%s: violations %v", name, result.Broken)
		}
	}
}

// A policy that panics crashes its relay and is reported; the run and the other relays go on.
func TestPolicyPanic(t *testing.T) {
	result := run(t, drawScenario(t, "calm", 1),
		emu.Options{NewPolicy: faultyFactory(func([]policy.Action) []policy.Action { panic("corrupted") })})
	if result.Passed() || !strings.Contains(result.Faults[0], "panics: corrupted") {
		t.Errorf("errors %v", result.Faults)
	}
	if result.Delivered == 0 || result.Delivered+result.GivenUp+result.HandedBack+result.Lost != result.Requests {
		t.Errorf("%d of %d messages delivered, or not all completed", result.Delivered, result.Requests)
	}
}

// A run that exceeds its events or its time reports an error.
func TestStopsAtLimits(t *testing.T) {
	if result := run(t, drawScenario(t, "calm", 1), emu.Options{MaxEvents: 1000}); len(result.Faults) != 1 ||
		!strings.Contains(result.Faults[0], "stopped after 1000 events") {
		t.Errorf("events: %v", result.Faults)
	}
	scenario := drawScenario(t, "cold-return", 1)
	scenario.Tail = 0
	if result := run(t, scenario, emu.Options{}); len(result.Faults) == 0 ||
		!strings.Contains(result.Faults[0], "were not completed") {
		t.Errorf("time: %v", result.Faults)
	}
}

// The error for an invalid setting names its key.
func TestInvalidSettingNamesKey(t *testing.T) {
	for key, corrupt := range map[string]func(*emu.Scenario){
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
		"troubles[0].parts": func(d *emu.Scenario) {
			d.Faults = []emu.Fault{{Kind: emu.Crash, Endpoints: [][2]int{{0, 99}}}}
		},
		"troubles[0].relays": func(d *emu.Scenario) {
			d.Faults = []emu.Fault{{Kind: emu.RelayStall, Relays: []int{99}}}
		},
	} {
		scenario := drawScenario(t, "calm", 1)
		corrupt(scenario)
		if _, err := emu.Run(scenario, emu.Options{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// BenchmarkScenario runs a busy scenario of the library.
func BenchmarkScenario(b *testing.B) {
	scenario := drawScenario(b, "two-at-once", 1)
	b.ReportAllocs()
	for b.Loop() {
		run(b, scenario, emu.Options{})
	}
	b.ReportMetric(scenario.Length.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "x-real-time")
}

// A dead relay gets messages until the load balancer detects its failure, and none after that.
func TestBalancerDetectsDeadRelay(t *testing.T) {
	scenario := drawScenario(t, "lost-relay", 2)
	unreached := map[time.Duration]int{}
	for _, delay := range []time.Duration{0, 3 * time.Second, time.Hour} {
		scenario.BalancerDetectionDelay = delay
		result := run(t, scenario, emu.Options{})
		if unreached[delay] = result.Unreached; !result.Passed() {
			t.Error(result.Breaks, result.Faults)
		}
	}
	// Messages on their way when the relay dies reach it dead even with immediate detection.
	if at := unreached; at[0] > 2 || at[3*time.Second] < 20 || at[time.Hour] <= at[3*time.Second] {
		t.Errorf("submissions to a dead relay, by detection delay: %v", unreached)
	}
}
