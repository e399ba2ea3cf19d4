package wire

import (
	"sync/atomic"
	"time"

	"oatfold/internal/clock"
	"oatfold/policy"
)

// This file is about when nothing may be written to an endpoint.

// backoff is what the connections of a destination share: until when it must not be sent to. That is kept on the monotonic clock: a wait
// is a span, and a step of the wall clock would open the gate or keep it shut.
type backoff struct{ until atomic.Int64 } // as clock.Since

// extend closes the gate for at least d from now on.
func (g *backoff) extend(d time.Duration) {
	for end := int64(clock.SinceStart() + d); ; {
		was := g.until.Load()
		if was >= end || g.until.CompareAndSwap(was, end) {
			return
		}
	}
}

// remaining is for how long the gate stays closed; negative once it is open.
func (g *backoff) remaining() time.Duration {
	return time.Duration(g.until.Load()) - clock.SinceStart()
}

func (g *backoff) active() bool { return g.remaining() > 0 }

// endpoint is where a member of the pool config is reached. The state is read by its connections.
type endpoint struct {
	id, addr string
	dest     int
	zone     string
	rate     float64
	state    atomic.Int32 // policy.EndpointState
	backoff  *backoff
	idle     []*endpointConn // last used last
}

// blocked tells whether nothing may be written to the endpoint now: a wait was told, or it is drained or gone.
func (ep *endpoint) blocked() bool {
	return ep.backoff.active() || policy.EndpointState(ep.state.Load()) != policy.Listed
}
