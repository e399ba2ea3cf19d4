package emu

import (
	"math"
	"testing"
	"time"
)

// countAdmitted returns how many of evenly spaced calls a limit admits in a minute.
func countAdmitted(l *limiter, callsPerSecond float64) (admitted int) {
	calls := int(60 * callsPerSecond)
	for i := range calls {
		if l.admit(seconds(float64(i) / callsPerSecond)) {
			admitted++
		}
	}
	return admitted
}

// A rate limit admits its rate at any load. If rejected calls count, it admits almost nothing at
// twice its rate.
func TestRateLimit(t *testing.T) {
	const rate = 10
	for _, c := range []struct {
		counted   bool
		calls     float64
		low, high int
	}{{false, 8, 480, 480}, {false, 20, 595, 610}, {true, 8, 480, 480}, {true, 9.9, 593, 594}, {true, 20, 1, 20}} {
		limit := newLimiter(&Kind{Limit: RateLimit, CountsRejected: c.counted}, rate, 0)
		if admitted := countAdmitted(limit, c.calls); admitted < c.low || admitted > c.high {
			t.Errorf("counted %t, %g calls per second: %d admitted, want %d to %d", c.counted, c.calls, admitted, c.low, c.high)
		}
	}
}

// A window limit admits a fixed number of calls in each window; rejected ones count in theirs only.
func TestWindowLimit(t *testing.T) {
	for _, counted := range []bool{false, true} {
		limit := newLimiter(&Kind{Limit: WindowLimit, Window: 1500 * time.Millisecond, CountsRejected: counted}, 10,
			-time.Second)
		if admitted := countAdmitted(limit, 40); admitted < 600 || admitted > 630 {
			t.Errorf("counted %t: %d admitted, want 15 in each of 40 windows", counted, admitted)
		}
	}
}

// A lowered limit applies to rate and window limits.
func TestLoweredLimit(t *testing.T) {
	for _, kind := range []LimitKind{RateLimit, WindowLimit} {
		limit := newLimiter(&Kind{Limit: kind, Window: time.Second}, 10, 0)
		limit.rateShare = 0.3
		if admitted := countAdmitted(limit, 10); admitted < 178 || admitted > 186 {
			t.Errorf("limit %d: %d admitted, want 180", kind, admitted)
		}
	}
}

// Reports carry what is left and an inexact limit; kinds without reports send none.
func TestLimitReports(t *testing.T) {
	rng := newRand(1, "report")
	for _, kind := range []LimitKind{RateLimit, WindowLimit} {
		limit := newLimiter(&Kind{Limit: kind, Window: time.Second, ReportsLimit: true}, 10, 0)
		full := limit.report(0, rng).Remaining
		for limit.admit(0) {
		}
		spent := limit.report(0, rng)
		if full != 1 || spent.Remaining > 0.1 {
			t.Errorf("limit %d: %g left at first, %g once it is used up", kind, full, spent.Remaining)
		}
		if deviation := math.Abs(spent.Limit/10 - 1); deviation > maxReportError || deviation == 0 {
			t.Errorf("limit %d: reported as %g, is 10", kind, spent.Limit)
		}
		limit.rateShare = 0.5
		if reported := limit.report(0, rng).Limit; math.Abs(reported/5-1) > maxReportError {
			t.Errorf("limit %d: reported as %g, is 5", kind, reported)
		}
	}
	if limit := newLimiter(&Kind{Limit: RateLimit}, 10, 0); limit.report(0, rng) != nil {
		t.Error("a kind without reports reports its limit")
	}
}
