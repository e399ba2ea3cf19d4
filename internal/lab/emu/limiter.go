package emu

import (
	"math/rand/v2"
	"time"

	"oatfold/policy"
)

// maxReportError is the largest deviation of a reported limit from the real one, as a share of it.
const maxReportError = 0.05

// limiter limits the calls to a destination, or to one of its separate routes.
type limiter struct {
	kind        *Kind
	nominalRate float64       // calls per second
	rateShare   float64       // share of nominalRate that is in force
	tokens      float64       // of a rate limit
	filledAt    time.Duration // when tokens was last updated
	windowStart time.Duration // start of the current window of a window limit
	windowCalls float64       // calls counted in that window
}

// newLimiter returns a limiter of nominalRate calls per second whose first window starts at
// windowStart.
func newLimiter(kind *Kind, nominalRate float64, windowStart time.Duration) *limiter {
	return &limiter{kind: kind, nominalRate: nominalRate, rateShare: 1, tokens: nominalRate / 2, windowStart: windowStart}
}

// rate returns the calls per second that are in force.
func (l *limiter) rate() float64 { return l.nominalRate * l.rateShare }

// bucketSize returns the size of the token bucket: half a second of calls, but at least one call.
func (l *limiter) bucketSize() float64 { return max(1, l.rate()/2) }

// windowCapacity returns the number of calls that a window admits.
func (l *limiter) windowCapacity() float64 { return l.rate() * l.kind.Window.Seconds() }

// advance updates the bucket or the window to now.
func (l *limiter) advance(now time.Duration) {
	switch l.kind.Limit {
	case RateLimit:
		l.tokens = min(l.bucketSize(), l.tokens+l.rate()*(now-l.filledAt).Seconds())
		l.filledAt = now
	case WindowLimit:
		if elapsed := now - l.windowStart; elapsed >= l.kind.Window {
			l.windowStart, l.windowCalls = now-elapsed%l.kind.Window, 0
		}
	}
}

// admit counts a call and reports whether the limit admits it.
func (l *limiter) admit(now time.Duration) bool {
	l.advance(now)
	switch l.kind.Limit {
	case RateLimit:
		if l.tokens >= 1 {
			l.tokens--
			return true
		}
		if l.kind.CountsRejected {
			l.tokens = max(0, l.tokens-1)
		}
		return false
	case WindowLimit:
		admitted := l.windowCalls+1 <= l.windowCapacity()
		if admitted || l.kind.CountsRejected {
			l.windowCalls++
		}
		return admitted
	}
	return true
}

// retryAfter returns the time after which a rejected call would be admitted.
func (l *limiter) retryAfter(now time.Duration) time.Duration {
	switch l.kind.Limit {
	case RateLimit:
		return seconds(max(0, 1-l.tokens) / l.rate())
	case WindowLimit:
		return l.windowStart + l.kind.Window - now
	}
	return 0
}

// report returns the limit report that answers carry now; nil if the kind sends none. The reported
// limit deviates by up to maxReportError.
func (l *limiter) report(now time.Duration, rng *rand.Rand) *policy.LimitReport {
	if !l.kind.ReportsLimit {
		return nil
	}
	l.advance(now)
	switch l.kind.Limit {
	case RateLimit:
		return &policy.LimitReport{Remaining: l.tokens / l.bucketSize(), Limit: perturb(l.rate(), rng)}
	case WindowLimit:
		return &policy.LimitReport{Remaining: max(0, 1-l.windowCalls/max(1, l.windowCapacity())),
			Limit: perturb(l.rate(), rng)}
	}
	return &policy.LimitReport{Remaining: 1}
}

// perturb draws a number that deviates from value by up to maxReportError.
func perturb(value float64, rng *rand.Rand) float64 {
	return value * (1 + maxReportError*(2*rng.Float64()-1))
}
