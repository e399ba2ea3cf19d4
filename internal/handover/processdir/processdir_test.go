package processdir

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oatfold/internal/clock"
)

var discardLog = slog.New(slog.DiscardHandler)

// startProcess opens what one process of a relay has open. Locks belong to open files, so two of
// them in one test behave like two processes.
func startProcess(t *testing.T, dir string) (*StateDir, *Dir, bool) {
	t.Helper()
	s, err := Open(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	active, err := s.TryLeaderLock()
	if err != nil {
		t.Fatal(err)
	}
	d, err := s.OpenOwn(active)
	if err != nil {
		t.Fatal(err)
	}
	if active {
		if err := s.SetCurrent(d); err != nil {
			t.Fatal(err)
		}
	}
	return s, d, active
}

// exitProcess releases the locks of a process, as its exit does.
func exitProcess(s *StateDir, d *Dir) { s.leaderLock.Close(); d.lockFile.Close() }

func writeTestFile(t *testing.T, d *Dir, name string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(d.Path, name), make([]byte, 600), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOneLeaderLockAndOneDirPerProcess(t *testing.T) {
	dir := t.TempDir()
	a, dirA, active := startProcess(t, dir)
	if !active || dirA.Path != dir {
		t.Fatalf("first: %v, %+v", active, dirA)
	}
	writeTestFile(t, dirA, "000000000001.seg")
	b, dirB, active := startProcess(t, dir)
	c, dirC, third := startProcess(t, dir)
	if active || third || dirB.Path == dir || dirC.Path == dirB.Path {
		t.Fatalf("standby processes: %v %v, %+v, %+v", active, third, dirB, dirC)
	}
	dirB.SetStatus(StatusReady)
	running, abandoned, err := a.Others(dirA)
	if err != nil || len(running) != 2 || len(abandoned) > 0 || a.Status(dirB.Name) != StatusReady ||
		a.Status(dirC.Name) != "" {
		t.Fatalf("%v, %v, %v", running, abandoned, err)
	}
	if used := b.UsedBytes(dirB); used < 1024 {
		t.Errorf("other directories use %d bytes", used)
	}
	exitProcess(a, dirA)
	exitProcess(c, dirC)
	if err := b.WaitLeaderLock(); err != nil {
		t.Fatal(err)
	}
	b.SetCurrent(dirB)
	running, abandoned, err = b.Others(dirB)
	if err != nil || len(running) > 0 || len(abandoned) != 2 || abandoned[0].Path != dir {
		t.Fatalf("after the others exited: %v, %v, %v", running, abandoned, err)
	}
	for _, r := range abandoned {
		if err := b.Remove(r); err != nil {
			t.Fatal(err)
		}
	}
	writeTestFile(t, dirB, "000000000001.seg")
	exitProcess(b, dirB)
	d, dirD, active := startProcess(t, dir)
	if !active || dirD.Path != dirB.Path {
		t.Errorf("the next start continues in %+v", dirD)
	}
	if running, abandoned, _ := d.Others(dirD); len(running)+len(abandoned) > 0 {
		t.Errorf("directories left: %v, %v", running, abandoned)
	}
	// The state folder itself is empty: the next process uses it.
	if _, dirE, active := startProcess(t, dir); active || dirE.Path != dir {
		t.Errorf("standby process: %v, %+v", active, dirE)
	}
}

// A state folder without a leader lock, as earlier versions leave it, is used as the first process
// directory.
func TestStateFolderOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "000000000007.seg"), []byte("x"), 0o600)
	if _, d, active := startProcess(t, dir); !active || d.Path != dir {
		t.Errorf("%v, %+v", active, d)
	}
}

// Files of the spool are complete, and listed in order until they are removed.
func TestSpool(t *testing.T) {
	stateDir, _, _ := startProcess(t, t.TempDir())
	for _, s := range []string{"one", "two", "three"} {
		if err := stateDir.WriteTransfer([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	os.WriteFile(filepath.Join(stateDir.path(spoolName), "half"+tmpExt), []byte("x"), 0o600)
	var got []string
	for _, name := range stateDir.Transfers() {
		b, err := stateDir.ReadTransfer(name)
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, string(b)); len(got) < 3 {
			stateDir.RemoveTransfer(name)
		}
	}
	stateDir.RemovePartialTransfers()
	entries, _ := os.ReadDir(stateDir.path(spoolName))
	if !slices.Equal(got, []string{"one", "two", "three"}) || len(stateDir.Transfers()) != 1 || len(entries) != 1 {
		t.Errorf("%v, left %v, %v", got, stateDir.Transfers(), entries)
	}
}

// The wall clock was an hour off when the first process of a relay started, and has been corrected
// since: dates that it wrote still mean the same moment to the next process. A clock mark that
// can't be read or written does not prevent the start.
func TestDatesStayValidInNextProcess(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		dir := t.TempDir()
		mark, at := clock.Now()
		mark.DateUs += step.Microseconds()
		if err := os.WriteFile(filepath.Join(dir, "clock"), mark.Encode(), 0o600); err != nil {
			t.Fatal(err)
		}
		date := clock.NewScale(at, mark.DateUs).Date(at.Add(time.Minute)) // written by the first process
		s, err := Open(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if off := s.TimeScale().Time(date).Sub(at.Add(time.Minute)); off.Abs() > time.Second {
			t.Errorf("stepped by %v: the date is off by %v", step, off)
		}
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "clock"), 0o700); err != nil { // can be neither read nor written as a file
		t.Fatal(err)
	}
	s, err := Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if now := time.Now(); s.TimeScale().Time(now.UnixMicro()).Sub(now).Abs() > time.Minute {
		t.Error("without a clock mark, dates do not follow the wall clock")
	}
}

// Guards against a hand-over that waits for files of other processes, which its successor may leave
// alone for good.
func TestOwnTransfersCountsOnlyOwnFiles(t *testing.T) {
	s, dir, _ := startProcess(t, t.TempDir())
	defer exitProcess(s, dir)
	if err := s.WriteTransfer([]byte("own")); err != nil {
		t.Fatal(err)
	}
	foreign := filepath.Join(s.dir, spoolName, "00000000000000000001-1-000001"+transferExt)
	if err := os.WriteFile(foreign, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if own, all := s.OwnTransfers(), len(s.Transfers()); own != 1 || all != 2 {
		t.Errorf("%d own of %d files", own, all)
	}
}

// Guards against deadlines that a step of the wall clock moves at every later start, since the
// clock mark could not be written at the first one.
func TestClockMarkIsWrittenLater(t *testing.T) {
	dir := t.TempDir()
	blocked := filepath.Join(dir, clockMarkName+tmpExt)
	if err := os.MkdirAll(filepath.Join(blocked, "file"), 0o700); err != nil {
		t.Fatal(err)
	}
	first, err := Open(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if first.ClockMarkSaved() || first.SaveClockMark() == nil {
		t.Fatal("written where nothing can be")
	}
	if err := os.RemoveAll(blocked); err != nil {
		t.Fatal(err)
	}
	if err := first.SaveClockMark(); err != nil || !first.ClockMarkSaved() {
		t.Fatal("not written: ", err)
	}
	mark, err := os.ReadFile(filepath.Join(dir, clockMarkName))
	if err != nil {
		t.Fatal(err)
	}
	next, err := Open(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	// A process that does not continue the scale writes a mark of its own.
	if kept, err := os.ReadFile(filepath.Join(dir, clockMarkName)); err != nil || string(kept) != string(mark) {
		t.Errorf("the next process did not continue the scale: mark %q, was %q, %v", kept, mark, err)
	}
	if !next.ClockMarkSaved() {
		t.Error("the next process has no mark")
	}
}

// The mark of reloads grows with each one, whichever process sets it, and survives them.
func TestReloadMark(t *testing.T) {
	dir := t.TempDir()
	var processes []*StateDir
	for range 2 {
		stateDir, err := Open(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		processes = append(processes, stateDir)
	}
	if mark, err := processes[0].ReloadMark(); mark != 0 || err != nil {
		t.Errorf("mark %d, %v before any reload", mark, err)
	}
	const each = 50
	var marking sync.WaitGroup
	var mu sync.Mutex
	seen := map[int64]int{}
	for _, process := range processes {
		marking.Go(func() {
			for range each {
				mark, err := process.MarkReload()
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				seen[mark]++
				mu.Unlock()
			}
		})
	}
	marking.Wait()
	if mark, err := processes[1].ReloadMark(); mark != 2*each || err != nil || len(seen) != 2*each {
		t.Errorf("mark %d of %d, %d different ones, %v", mark, 2*each, len(seen), err)
	}
}

// Guards against a reload that other processes are not told of: a listing of the folder missed the
// file of the mark, which was renamed meanwhile, so that the count began anew.
func TestReloadMarkNeverFalls(t *testing.T) {
	dir := t.TempDir()
	const markers, each = 2, 300
	const otherFiles = 500 // so that a listing takes several system calls
	for n := range otherFiles {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("other-%d", n)), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	open := func() *StateDir {
		stateDir, err := Open(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return stateDir
	}
	var marking, reading sync.WaitGroup
	marked := make(chan struct{})
	reader := open()
	reading.Go(func() {
		for last := int64(0); ; {
			mark, err := reader.ReloadMark()
			if err != nil && !errors.Is(err, errMarkBusy) || err == nil && mark < last {
				t.Errorf("mark %d after %d, %v", mark, last, err)
			}
			last = max(last, mark)
			select {
			case <-marked:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	for range markers {
		process := open()
		marking.Go(func() {
			for count := 0; count < each; {
				_, err := process.MarkReload()
				if err == nil {
					count++
				} else if !errors.Is(err, errMarkBusy) { // as callers do, it tries again
					t.Error(err)
					return
				}
			}
		})
	}
	marking.Wait()
	close(marked)
	reading.Wait()
	if mark, err := reader.ReloadMark(); mark != markers*each || err != nil {
		t.Errorf("mark %d of %d, %v", mark, markers*each, err)
	}
}

// A process that stopped while it held the mark keeps another one for a moment only.
func TestReloadMarkIsBounded(t *testing.T) {
	dir := t.TempDir()
	stateDir, err := Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	unlock, err := stateDir.lockReloadMark(unix.LOCK_EX)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stateDir.MarkReload(); !errors.Is(err, errMarkBusy) {
		t.Errorf("marked beside another process: %v", err)
	}
	if _, err := stateDir.ReloadMark(); !errors.Is(err, errMarkBusy) {
		t.Errorf("read beside another process: %v", err)
	}
	unlock()
	if mark, err := stateDir.MarkReload(); mark != 1 || err != nil {
		t.Errorf("mark %d, %v", mark, err)
	}
}
