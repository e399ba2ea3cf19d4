package wire

import (
	"sync/atomic"
	"time"

	"oatfold/internal/clock"
	"oatfold/policy"
)

// This file decides when nothing may be written to an endpoint.

// backoff is the time until which a destination, or an endpoint with a separate route, must not be
// called. All its connections share it. It uses the monotonic clock, so that a step of the wall
// clock neither ends nor extends it.
type backoff struct{ until atomic.Int64 } // in nanoseconds, as of clock.SinceStart

// extend makes the backoff last for at least d from now.
func (b *backoff) extend(d time.Duration) {
	for until := int64(clock.SinceStart() + d); ; {
		current := b.until.Load()
		if current >= until || b.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// remaining returns how long the backoff still lasts; negative once it has ended.
func (b *backoff) remaining() time.Duration {
	return time.Duration(b.until.Load()) - clock.SinceStart()
}

// active reports whether the backoff still lasts.
func (b *backoff) active() bool { return b.remaining() > 0 }

// endpoint is an entry of the endpoint list. Its connections read the state.
type endpoint struct {
	id, addr string
	dest     int
	zone     string
	rate     float64
	state    atomic.Int32 // policy.EndpointState
	backoff  *backoff
	traits   answerTraits
	idle     []*endpointConn // least recently used first
}

// blocked reports whether nothing may be written to the endpoint now: it is backing off, draining
// or removed.
func (ep *endpoint) blocked() bool {
	return ep.backoff.active() || policy.EndpointState(ep.state.Load()) != policy.Listed
}
