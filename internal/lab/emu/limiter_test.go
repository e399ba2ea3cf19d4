package emu

import (
	"math"
	"testing"
	"time"
)

// countAdmitted counts the calls that a limit takes of so many a second, evenly spaced, over a minute.
func countAdmitted(l *limiter, callsPerSecond float64) (admitted int) {
	calls := int(60 * callsPerSecond)
	for i := range calls {
		if l.admit(seconds(float64(i) / callsPerSecond)) {
			admitted++
		}
	}
	return admitted
}

// A rate limit takes its rate whatever it is asked for; where refused calls count, it takes next to nothing of twice its rate.
func TestRateLimit(t *testing.T) {
	const rate = 10
	for _, c := range []struct {
		counted   bool
		calls     float64
		low, high int
	}{{false, 8, 480, 480}, {false, 20, 595, 610}, {true, 8, 480, 480}, {true, 9.9, 593, 594}, {true, 20, 1, 20}} {
		limit := newLimiter(&Kind{Limit: RateLimit, CountsRejected: c.counted}, rate, 0)
		if admitted := countAdmitted(limit, c.calls); admitted < c.low || admitted > c.high {
			t.Errorf("counted %t, %g calls a second: %d taken, want %d to %d", c.counted, c.calls, admitted, c.low, c.high)
		}
	}
}

// A window limit takes as many calls as fit into each window, and refused ones are forgotten with their window.
func TestWindowLimit(t *testing.T) {
	for _, counted := range []bool{false, true} {
		limit := newLimiter(&Kind{Limit: WindowLimit, Window: 1500 * time.Millisecond, CountsRejected: counted}, 10, -time.Second)
		if admitted := countAdmitted(limit, 40); admitted < 600 || admitted > 630 {
			t.Errorf("counted %t: %d taken, want 15 in each of 40 windows", counted, admitted)
		}
	}
}

// A lowered limit holds for as long as it is lowered, for rate and window alike.
func TestLoweredLimit(t *testing.T) {
	for _, kind := range []LimitKind{RateLimit, WindowLimit} {
		limit := newLimiter(&Kind{Limit: kind, Window: time.Second}, 10, 0)
		limit.rateShare = 0.3
		if admitted := countAdmitted(limit, 10); admitted < 178 || admitted > 186 {
			t.Errorf("limit %d: %d taken, want 180", kind, admitted)
		}
	}
}

// Reports tell what is left, and a limit that is a little off; kinds without reports tell nothing.
func TestLimitReports(t *testing.T) {
	rng := newRand(1, "report")
	for _, kind := range []LimitKind{RateLimit, WindowLimit} {
		limit := newLimiter(&Kind{Limit: kind, Window: time.Second, ReportsLimit: true}, 10, 0)
		full := limit.report(0, rng).Remaining
		for limit.admit(0) {
		}
		spent := limit.report(0, rng)
		if full != 1 || spent.Remaining > 0.1 {
			t.Errorf("limit %d: %g left at first, %g once it is spent", kind, full, spent.Remaining)
		}
		if deviation := math.Abs(spent.Limit/10 - 1); deviation > maxReportError || deviation == 0 {
			t.Errorf("limit %d: told to be %g, is 10", kind, spent.Limit)
		}
		limit.rateShare = 0.5
		if reported := limit.report(0, rng).Limit; math.Abs(reported/5-1) > maxReportError {
			t.Errorf("limit %d: told to be %g, is 5", kind, reported)
		}
	}
	if limit := newLimiter(&Kind{Limit: RateLimit}, 10, 0); limit.report(0, rng) != nil {
		t.Error("a kind without reports tells of its limit")
	}
}
