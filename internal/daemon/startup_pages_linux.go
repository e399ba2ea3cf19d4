package daemon

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// releaseStartupPages releases pages of the program file that only the start needed: code and
// read-only data, which the kernel reads from the file again when they are used. The kernel maps
// them in clusters around each page that is touched, so after the start nearly all of the program
// is resident.
func releaseStartupPages() {
	exe, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return
	}
	maps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return
	}
	defer maps.Close()
	var from, to uintptr // bounds of the current mapping, if it is one of the program file
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		f := strings.Fields(lines.Text())
		switch {
		case len(f) >= 5 && strings.Contains(f[0], "-"):
			from, to = 0, 0
			if len(f) == 6 && f[5] == exe && (f[1] == "r-xp" || f[1] == "r--p") {
				fmt.Sscanf(f[0], "%x-%x", &from, &to)
			}
		case len(f) >= 2 && f[0] == "Anonymous:" && f[1] == "0" && to > 0:
			// Only mappings without written pages: pages that the linker has written would be lost.
			syscall.Syscall(syscall.SYS_MADVISE, from, to-from, syscall.MADV_DONTNEED)
		}
	}
}
