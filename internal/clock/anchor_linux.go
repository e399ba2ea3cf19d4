package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now reads both clocks. It returns the anchor and the time at which it was read. The anchor's boot
// is empty if it or the monotonic clock can't be read.
func Now() (Anchor, time.Time) {
	boot, err := os.ReadFile(bootIDFile)
	var mono unix.Timespec
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono)
	}
	at := time.Now()
	a := Anchor{DateUs: at.UnixMicro()}
	if err == nil {
		a.BootID, a.MonotonicUs = strings.TrimSpace(string(boot)), mono.Nano()/1000
	}
	return a, at
}
