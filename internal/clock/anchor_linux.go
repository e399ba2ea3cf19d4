package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now reads both clocks. It returns the anchor and the time for which it is valid.
func Now() (Anchor, time.Time) {
	boot, err := os.ReadFile(bootIDFile)
	var mono unix.Timespec
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono)
	}
	at := time.Now()
	m := Anchor{DateUs: at.UnixMicro()}
	if err == nil {
		m.BootID, m.MonotonicUs = strings.TrimSpace(string(boot)), mono.Nano()/1000
	}
	return m, at
}
