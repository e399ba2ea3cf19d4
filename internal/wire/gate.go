package wire

import (
	"sync/atomic"
	"time"

	"oatfold/internal/clock"
	"oatfold/policy"
)

// This file is about when nothing may be written to an endpoint.

// gate is what the connections of a destination share: until when it must not be sent to. That is kept on the monotonic clock: a wait
// is a span, and a step of the wall clock would open the gate or keep it shut.
type gate struct{ until atomic.Int64 } // as clock.Since

// hold closes the gate for at least d from now on.
func (g *gate) hold(d time.Duration) {
	for end := int64(clock.Since() + d); ; {
		was := g.until.Load()
		if was >= end || g.until.CompareAndSwap(was, end) {
			return
		}
	}
}

// left is for how long the gate stays closed; negative once it is open.
func (g *gate) left() time.Duration { return time.Duration(g.until.Load()) - clock.Since() }

func (g *gate) closed() bool { return g.left() > 0 }

// endpoint is where a member of the pool config is reached. The state is read by its connections.
type endpoint struct {
	id, addr string
	dest     int
	zone     string
	rate     float64
	state    atomic.Int32 // policy.EndpointState
	gate     *gate
	idle     []*routeConn // last used last
}

// shut tells whether nothing may be written to the endpoint now: a wait was told, or it is drained or gone.
func (ep *endpoint) shut() bool {
	return ep.gate.closed() || policy.EndpointState(ep.state.Load()) != policy.Listed
}
