package emu

import (
	"strings"
	"testing"
	"time"

	"oatfold/internal/lab/rules"
)

// A contradiction between the simulation's own counts and the rule checker is recorded as an error.
func TestContradictingCounts(t *testing.T) {
	for want, corrupt := range map[string]func(*Result, *rules.Checker){
		"":                           func(*Result, *rules.Checker) {},
		"without an answer":          func(r *Result, _ *rules.Checker) { r.Overdue = 1 },
		"answer in time":             func(_ *Result, c *rules.Checker) { c.Counts[rules.Answer] = 1 },
		"ran twice":                  func(r *Result, _ *rules.Checker) { r.Doubles = 1 },
		"recovery rule was violated": func(_ *Result, c *rules.Checker) { c.Counts[rules.RecoveryOverload] = 1 },
	} {
		scenario := &Scenario{Length: time.Second}
		result, checker := newResult(scenario), rules.New(rules.Config{})
		corrupt(result, checker)
		result.finish(&simulation{scenario: scenario, checker: checker})
		if got := strings.Join(result.Faults, "; "); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("%q: faults %q", want, got)
		}
	}
}
