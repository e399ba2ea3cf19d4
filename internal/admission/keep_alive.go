// Package admission decides how long idle client connections are kept open. It does no I/O and
// reads no clock, and its types are not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// Idle timeouts of client connections.
const (
	LongIdleTimeout  = 6 * time.Second
	ShortIdleTimeout = 500 * time.Millisecond // while clients don't reuse their connections
	idleDivisor      = 8                      // one in this many connections may always be idle for LongIdleTimeout

	decayTime = time.Second // time constant of the request counts
)

// KeepAlive sets the idle timeout of client connections. It prevents clients that open a connection
// per message, and leave the old ones open, from using up all connections.
type KeepAlive struct {
	firstRequests, laterRequests float64 // decaying counts of first and later requests on connections
	updatedAt                    time.Duration
}

// RecordRequest counts a request at now, on any monotonic clock. first says that it is the first
// one on its connection.
func (k *KeepAlive) RecordRequest(first bool, now time.Duration) {
	decay := math.Exp(-float64(now-k.updatedAt) / float64(decayTime))
	k.firstRequests, k.laterRequests, k.updatedAt = k.firstRequests*decay, k.laterRequests*decay, now
	if first {
		k.firstRequests++
	} else {
		k.laterRequests++
	}
}

// IdleTimeout returns the timeout of a connection that has just become idle: the long one, unless
// many connections are idle already and most requests still come on new ones.
func (k *KeepAlive) IdleTimeout(idle, maxConns int) time.Duration {
	if idle*idleDivisor > maxConns && k.firstRequests > k.laterRequests {
		return ShortIdleTimeout
	}
	return LongIdleTimeout
}
