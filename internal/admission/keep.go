// Package admission decides which connections of clients may stay. It does no I/O and reads no clock; whoever holds its state keeps it from concurrent
// use.
package admission

import (
	"math"
	"time"
)

// How long a connection may stand idle.
const (
	LongIdleTimeout  = 6 * time.Second
	ShortIdleTimeout = 500 * time.Millisecond // where clients don't come back to those that they have
	spare            = 8                      // one part in so many of the connections may stand idle for long in any case

	memory = time.Second // over which requests are counted
)

// KeepAlive decides for how long a connection that was answered may stay. Risk: clients that open a connection for each message, and leave the old
// ones open, come to the most that they may hold; from then on half of what they would hand in reaches nobody, and nothing shows here but idle connections.
type KeepAlive struct {
	first, again float64 // requests of late: first ones on their connections, and further ones
	at           time.Duration
}

// RecordRequest books a request at now, on any clock that does not go back.
func (k *KeepAlive) RecordRequest(first bool, now time.Duration) {
	left := math.Exp(-float64(now-k.at) / float64(memory))
	k.first, k.again, k.at = k.first*left, k.again*left, now
	if first {
		k.first++
	} else {
		k.again++
	}
}

// IdleTimeout tells how long the next one may stay, of so many that are idle and the most there may be: long, unless many stand idle already and requests come
// on new ones all the same.
func (k *KeepAlive) IdleTimeout(idle, most int) time.Duration {
	if idle*spare > most && k.first > k.again {
		return ShortIdleTimeout
	}
	return LongIdleTimeout
}
