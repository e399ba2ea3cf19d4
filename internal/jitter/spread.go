// Package spread keeps what many relays do alike from falling together: each draws its own moments from its own seed. It
// opens no socket and reads no clock; it never shortens a wait that somebody told.
package jitter

import (
	"math/rand/v2"
	"time"
)

// Backoff is the pauses between tries of something that fails. It belongs to one goroutine.
type Backoff struct {
	least, most time.Duration
	next        time.Duration
	rng         *rand.Rand
}

// NewBackoff starts at least and doubles up to most. The seed tells relays apart.
func NewBackoff(least, most time.Duration, seed int64) *Backoff {
	return &Backoff{least: least, most: max(least, most), next: least, rng: rand.New(rand.NewPCG(uint64(seed), 0x5eed))}
}

// NextDelay returns how long to wait before the next try: between half of the present pause and one and a half times it, so
// that tries which failed together come apart.
func (b *Backoff) NextDelay() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.most)
	return d/2 + time.Duration(b.rng.Int64N(int64(d)+1))
}

// Reset starts over: the next failure waits the least.
func (b *Backoff) Reset() { b.next = b.least }

// Within draws one moment of a span, the same for the same seed.
func Within(span time.Duration, seed int64) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(rand.New(rand.NewPCG(uint64(seed), 0xf125)).Int64N(int64(span)))
}
