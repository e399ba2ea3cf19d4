//go:build !linux

package clock

import "time"

// Now reads the wall clock. It returns the anchor and the time at which it was read. The anchor's
// boot is empty on this system.
func Now() (Anchor, time.Time) {
	at := time.Now()
	return Anchor{DateUs: at.UnixMicro()}, at
}
