package emu

import (
	"math/rand/v2"
	"time"

	"oatfold/policy"
)

// maxReportError is the most by which a reported limit differs from the real one, as a share of it.
const maxReportError = 0.05

// limiter is a limit of calls at work: that of a destination, or that of one route where routes are separate.
type limiter struct {
	kind        *Kind
	nominalRate float64       // calls a second
	rateShare   float64       // share of usual that is in force; 1: all of it
	tokens      float64       // of a rate limit, which is a token bucket
	filledAt    time.Duration // when tokens was last brought up to date
	windowStart time.Duration // where the present window of a window limit began
	windowCalls float64       // calls counted in that window
}

// newLimiter returns a limit of usual calls a second whose windows begin at window.
func newLimiter(kind *Kind, nominalRate float64, windowStart time.Duration) *limiter {
	return &limiter{kind: kind, nominalRate: nominalRate, rateShare: 1, tokens: nominalRate / 2, windowStart: windowStart}
}

// rate is the calls a second that are in force.
func (l *limiter) rate() float64 { return l.nominalRate * l.rateShare }

// bucketSize is the size of the token bucket: half a second of the limit, one call at least.
func (l *limiter) bucketSize() float64 { return max(1, l.rate()/2) }

// windowCapacity is the number of calls that a window takes.
func (l *limiter) windowCapacity() float64 { return l.rate() * l.kind.Window.Seconds() }

// advance brings the bucket or the window up to now.
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

// admit tells whether the limit takes one more call, and counts it.
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

// retryAfter is in how long a refused call would find room.
func (l *limiter) retryAfter(now time.Duration) time.Duration {
	switch l.kind.Limit {
	case RateLimit:
		return seconds(max(0, 1-l.tokens) / l.rate())
	case WindowLimit:
		return l.windowStart + l.kind.Window - now
	}
	return 0
}

// report is what an answer tells of the limit now; nil where the kind tells nothing. The limit is off by up to reportError.
func (l *limiter) report(now time.Duration, rng *rand.Rand) *policy.LimitReport {
	if !l.kind.ReportsLimit {
		return nil
	}
	l.advance(now)
	switch l.kind.Limit {
	case RateLimit:
		return &policy.LimitReport{Remaining: l.tokens / l.bucketSize(), Limit: perturb(l.rate(), rng)}
	case WindowLimit:
		return &policy.LimitReport{Remaining: max(0, 1-l.windowCalls/max(1, l.windowCapacity())), Limit: perturb(l.rate(), rng)}
	}
	return &policy.LimitReport{Remaining: 1}
}

// perturb draws a figure within reportError of v.
func perturb(value float64, rng *rand.Rand) float64 {
	return value * (1 + maxReportError*(2*rng.Float64()-1))
}
