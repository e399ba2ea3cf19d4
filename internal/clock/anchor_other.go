//go:build !linux

package clock

import "time"

// Now reads the wall clock. The boot of the monotonic clock is unknown on this system.
func Now() (Anchor, time.Time) {
	at := time.Now()
	return Anchor{DateUs: at.UnixMicro()}, at
}
