package daemon

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// releaseStartupPages lets go of the program's own pages that only its start needed: code and read-only data, which come back from
// the file when they are used again. The kernel maps them in clusters round each page that is touched, so that after the
// start nearly all of a program with many sub-commands is resident.
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
	var from, to uintptr // of the mapping that the lines are about, if it is one of ours
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		f := strings.Fields(lines.Text())
		switch {
		case len(f) >= 5 && strings.Contains(f[0], "-"):
			from, to = 0, 0
			if len(f) == 6 && f[5] == exe && (f[1] == "r-xp" || f[1] == "r--p") {
				fmt.Sscanf(f[0], "%x-%x", &from, &to)
			}
		case len(f) >= 2 && f[0] == "Anonymous:" && f[1] == "0" && to > 0:
			// Guards against pages of ours that were written, as the linker does before it seals them: they would be lost.
			syscall.Syscall(syscall.SYS_MADVISE, from, to-from, syscall.MADV_DONTNEED)
		}
	}
}
