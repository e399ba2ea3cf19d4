// Package jitter keeps many relays from acting at the same time: each draws its own delays from its
// own seed. It does no I/O and reads no clock, and never shortens a Retry-After time.
package jitter

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with jitter. It is not safe for concurrent use.
type Backoff struct {
	minDelay, maxDelay time.Duration
	nextDelay          time.Duration
	rng                *rand.Rand
}

// NewBackoff returns a backoff whose delay starts at minDelay and doubles up to maxDelay. The seed
// has to differ between relays.
func NewBackoff(minDelay, maxDelay time.Duration, seed int64) *Backoff {
	return &Backoff{
		minDelay: minDelay, maxDelay: max(minDelay, maxDelay), nextDelay: minDelay,
		rng: rand.New(rand.NewPCG(uint64(seed), 0x5eed)),
	}
}

// NextDelay returns how long to wait after a failure before the next attempt: between half and one
// and a half times the current delay, which then doubles.
func (b *Backoff) NextDelay() time.Duration {
	d := b.nextDelay
	b.nextDelay = min(2*b.nextDelay, b.maxDelay)
	return d/2 + time.Duration(b.rng.Int64N(int64(d)+1))
}

// Reset returns to minDelay after a success.
func (b *Backoff) Reset() { b.nextDelay = b.minDelay }

// Within draws a delay below span, the same for the same seed.
func Within(span time.Duration, seed int64) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(rand.New(rand.NewPCG(uint64(seed), 0xf125)).Int64N(int64(span)))
}
