package daemon

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oatfold/internal/handover/processdir"
)

// failWrites has writes of this process to an open file fail with ENOSPC, and returns a function that
// ends that. The file keeps its locks.
func failWrites(t *testing.T, path string) (restore func()) {
	t.Helper()
	fds, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip("no device that is always full")
	}
	defer full.Close()
	saved := map[int]int{} // by descriptor, a duplicate of it
	for _, link := range fds {
		if target, err := os.Readlink(link); err != nil || target != path {
			continue
		}
		fd, err := strconv.Atoi(filepath.Base(link))
		if err != nil {
			t.Fatal(err)
		}
		if saved[fd], err = unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err != nil {
			t.Fatal(err)
		}
		if err := unix.Dup3(int(full.Fd()), fd, unix.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
	}
	if len(saved) == 0 {
		t.Fatal("the file is not open: ", path)
	}
	return func() {
		t.Helper()
		for fd, original := range saved {
			if err := unix.Dup3(original, fd, unix.O_CLOEXEC); err != nil {
				t.Fatal(err)
			}
			unix.Close(original)
		}
	}
}

// standByResult is what standBy returned.
type standByResult struct {
	leads bool
	err   error
}

// startStandby runs standBy and passes on its result.
func startStandby(h *successor) <-chan standByResult {
	ended := make(chan standByResult, 1)
	go func() {
		leads, err := h.standBy(context.Background())
		ended <- standByResult{leads, err}
	}()
	return ended
}

// Guards against a standby process that ends since its status can't be written for a moment: nobody
// takes over then.
func TestStandbyRetriesStatus(t *testing.T) {
	dir := t.TempDir()
	h := startSuccessor(t, dir)
	restore := failWrites(t, filepath.Join(dir, "lock"))
	leader, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if leads, err := leader.TryLeaderLock(); !leads {
		t.Fatal("the leader lock is taken: ", err)
	}
	ended := startStandby(h)
	select {
	case r := <-ended:
		t.Fatalf("the standby process ended: %v, %v", r.leads, r.err)
	case <-time.After(4 * retryInterval):
	}
	restore()
	for end := time.Now().Add(10 * time.Second); h.stateDir.Status("") != processdir.StatusReady; {
		if time.Now().After(end) {
			t.Fatalf("status %q", h.stateDir.Status(""))
		}
		time.Sleep(retryInterval)
	}
	if err := leader.ReleaseLeaderLock(); err != nil {
		t.Fatal(err)
	}
	if r := <-ended; !r.leads || r.err != nil {
		t.Errorf("leads %v, %v", r.leads, r.err)
	}
}

// Guards against a successor that holds the leader lock and ends, with nobody left to serve, since
// its directory can't be recorded as the current one for a moment.
func TestSuccessorRecordsCurrentDirLater(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	h := startSuccessor(t, dir)
	restore := failWrites(t, filepath.Join(dir, "baton"))
	if r := <-startStandby(h); !r.leads || r.err != nil {
		t.Fatalf("leads %v, %v", r.leads, r.err)
	}
	if !h.currentUnrecorded {
		t.Fatal("recorded in a folder that can't be written")
	}
	h.keepStep("current directory", func() error { return h.stateDir.SetCurrent(h.dir) })
	if h.runSteps() {
		t.Error("recorded in a folder that can't be written")
	}
	restore()
	if !h.runSteps() {
		t.Error("the current directory is still not recorded")
	}
	if b, err := os.ReadFile(filepath.Join(dir, "baton")); err != nil || strings.TrimSpace(string(b)) != h.dir.Name {
		t.Errorf("current directory %q, want %q, %v", b, h.dir.Name, err)
	}
}
