// Package keepalive estimates for how long an idle connection may still carry another call. A
// middlebox such as a firewall may drop idle connections without either side noticing: a call sent
// on one is lost, and may have been processed. The package learns from lost calls. It does no I/O
// and reads no clock, and its types are not safe for concurrent use.
package keepalive

import (
	"math"
	"time"
)

const (
	lossWeight        = 0.3              // of the latest call in the loss rates
	lossThreshold     = 0.5              // loss rate on idle connections above which the limit is cut
	limitDoublingTime = 20 * time.Second // of the limit after a cut
)

// IdleLimiter limits how long connections may be idle and still be used. Max has to be set before
// its first use.
type IdleLimiter struct {
	Max time.Duration // upper bound of the limit

	limit         time.Duration // as of cutAt; 0: never cut
	cutAt         time.Duration
	idleLossRate  float64 // moving average of calls lost on connections that had been idle
	freshLossRate float64 // and on others
}

// Limit returns how long a connection may have been idle at now and still carry a call, from 0 to
// Max.
func (l *IdleLimiter) Limit(now time.Duration) time.Duration {
	if l.limit == 0 {
		return l.Max
	}
	grown := float64(l.limit) * math.Exp2((now-l.cutAt).Seconds()/limitDoublingTime.Seconds())
	return time.Duration(min(grown, float64(l.Max)))
}

// RecordCall records a call on a connection that had been idle for some time; 0 if it was new or
// busy. It reports whether a loss is explained by the idle time. If most calls on idle connections
// are lost, and others are not, the limit is cut to half of idle.
func (l *IdleLimiter) RecordCall(now, idle time.Duration, lost bool) (explained bool) {
	loss := 0.0
	if lost {
		loss = 1
	}
	if idle == 0 {
		l.freshLossRate += (loss - l.freshLossRate) * lossWeight
		return false
	}
	l.idleLossRate += (loss - l.idleLossRate) * lossWeight
	explains := l.Limit(now) < l.Max/2
	if lost && l.idleLossRate > lossThreshold && l.idleLossRate > 2*l.freshLossRate {
		l.limit, l.cutAt, l.idleLossRate = max(1, min(l.Limit(now), idle/2)), now, 0
		explains = true
	}
	return explains && lost
}
