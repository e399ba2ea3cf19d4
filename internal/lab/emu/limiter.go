package emu

import (
	"math/rand/v2"
	"time"

	"oatfold/policy"
)

// reportError is the most by which a reported limit differs from the real one, as a share of it.
const reportError = 0.05

// limiter is a limit of calls at work: that of a destination, or that of one route where routes are separate.
type limiter struct {
	kind     *Kind
	usual    float64       // calls a second
	lowered  float64       // share of usual that is in force; 1: all of it
	tokens   float64       // of a rate limit, which is a token bucket
	filledAt time.Duration // when tokens was last brought up to date
	window   time.Duration // where the present window of a window limit began
	count    float64       // calls counted in that window
}

// newLimiter returns a limit of usual calls a second whose windows begin at window.
func newLimiter(kind *Kind, usual float64, window time.Duration) *limiter {
	return &limiter{kind: kind, usual: usual, lowered: 1, tokens: usual / 2, window: window}
}

// rate is the calls a second that are in force.
func (l *limiter) rate() float64 { return l.usual * l.lowered }

// burst is the size of the token bucket: half a second of the limit, one call at least.
func (l *limiter) burst() float64 { return max(1, l.rate()/2) }

// room is the number of calls that a window takes.
func (l *limiter) room() float64 { return l.rate() * l.kind.Window.Seconds() }

// advance brings the bucket or the window up to now.
func (l *limiter) advance(now time.Duration) {
	switch l.kind.Limit {
	case RateLimit:
		l.tokens = min(l.burst(), l.tokens+l.rate()*(now-l.filledAt).Seconds())
		l.filledAt = now
	case WindowLimit:
		if past := now - l.window; past >= l.kind.Window {
			l.window, l.count = now-past%l.kind.Window, 0
		}
	}
}

// admits tells whether the limit takes one more call, and counts it.
func (l *limiter) admits(now time.Duration) bool {
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
		taken := l.count+1 <= l.room()
		if taken || l.kind.CountsRejected {
			l.count++
		}
		return taken
	}
	return true
}

// opens is in how long a refused call would find room.
func (l *limiter) opens(now time.Duration) time.Duration {
	switch l.kind.Limit {
	case RateLimit:
		return seconds(max(0, 1-l.tokens) / l.rate())
	case WindowLimit:
		return l.window + l.kind.Window - now
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
		return &policy.LimitReport{Remaining: l.tokens / l.burst(), Limit: inexact(l.rate(), rng)}
	case WindowLimit:
		return &policy.LimitReport{Remaining: max(0, 1-l.count/max(1, l.room())), Limit: inexact(l.rate(), rng)}
	}
	return &policy.LimitReport{Remaining: 1}
}

// inexact draws a figure within reportError of v.
func inexact(v float64, rng *rand.Rand) float64 { return v * (1 + reportError*(2*rng.Float64()-1)) }
