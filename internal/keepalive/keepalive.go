// Package keepalive judges for how long an unused connection may be trusted to carry another call. Something on the way, such as a
// firewall, may drop idle connections without either side seeing it: what is sent on one then is lost, and may have been
// processed. The package learns from the calls that were lost; it does no I/O and reads no clock, and a Trust is owned by one
// goroutine.
package keepalive

import (
	"math"
	"time"
)

const (
	lossWeight = 0.3              // weight of the latest call in the share of calls lost
	lossShare  = 0.5              // share of calls lost on idle connections that tells of them
	doubling   = 20 * time.Second // in which the limit doubles again after a cut
)

// IdleLimiter is for how long unused connections are taken to live. Most has to be set before its first use.
type IdleLimiter struct {
	Max time.Duration // after which they are closed in any case

	limit     time.Duration // as of cutAt; 0: never cut
	cutAt     time.Duration
	lostIdle  float64 // share of calls lost, of late, on connections that had been unused
	lostFresh float64 // and on others
}

// Limit is how long a connection may be unused at time now and still carry a call, from 0 to Most.
func (t *IdleLimiter) Limit(now time.Duration) time.Duration {
	if t.limit == 0 {
		return t.Max
	}
	grown := float64(t.limit) * math.Exp2((now-t.cutAt).Seconds()/doubling.Seconds())
	return time.Duration(min(grown, float64(t.Max)))
}

// RecordCall takes in the end of a call on a connection that had been unused for idle; 0 if it was new or busy. It tells whether a loss
// is explained by its connection. Where most calls on idle connections are lost, and others are not, the limit is cut to
// half of idle.
func (t *IdleLimiter) RecordCall(now, idle time.Duration, lost bool) (explained bool) {
	share := 0.0
	if lost {
		share = 1
	}
	if idle == 0 {
		t.lostFresh += (share - t.lostFresh) * lossWeight
		return false
	}
	t.lostIdle += (share - t.lostIdle) * lossWeight
	known := t.Limit(now) < t.Max/2
	if lost && t.lostIdle > lossShare && t.lostIdle > 2*t.lostFresh {
		t.limit, t.cutAt, t.lostIdle = max(1, min(t.Limit(now), idle/2)), now, 0
		known = true
	}
	return known && lost
}
