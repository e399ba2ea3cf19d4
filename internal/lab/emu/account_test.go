package emu

import (
	"strings"
	"testing"
	"time"

	"oatfold/internal/lab/rules"
)

// Where the world's own account and the checker of the log disagree, the day says that the laboratory is at fault.
func TestAccountsDisagree(t *testing.T) {
	for want, spoil := range map[string]func(*Result, *rules.Checker){
		"":                     func(*Result, *rules.Checker) {},
		"without an answer":    func(r *Result, _ *rules.Checker) { r.Overdue = 1 },
		"answer in time":       func(_ *Result, c *rules.Checker) { c.Counts[rules.Answer] = 1 },
		"ran twice":            func(r *Result, _ *rules.Checker) { r.Doubles = 1 },
		"rule on returns was ": func(_ *Result, c *rules.Checker) { c.Counts[rules.RecoveryOverload] = 1 },
	} {
		day := &Scenario{Length: time.Second}
		r, check := newResult(day), rules.New(rules.Config{})
		spoil(r, check)
		r.finish(&simulation{scenario: day, checker: check})
		if got := strings.Join(r.Faults, "; "); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("%q: faults %q", want, got)
		}
	}
}
