//go:build !linux

package clock

import "time"

// Now reads the wall clock: elsewhere nothing says which run of the machine a monotonic clock is of.
func Now() (Mark, time.Time) {
	at := time.Now()
	return Mark{Date: at.UnixMicro()}, at
}
