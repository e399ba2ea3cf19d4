package processdir

import (
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"oatfold/internal/clock"
)

var discardLog = slog.New(slog.DiscardHandler)

// startProcess is what one process of a relay has open; locks are of the open files, so that two of them in one test are as apart as two processes.
func startProcess(t *testing.T, dir string) (*StateDir, *Dir, bool) {
	t.Helper()
	f, err := Open(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	active, err := f.TryLeaderLock()
	if err != nil {
		t.Fatal(err)
	}
	r, err := f.OpenOwn(active)
	if err != nil {
		t.Fatal(err)
	}
	if active {
		if err := f.SetCurrent(r); err != nil {
			t.Fatal(err)
		}
	}
	return f, r, active
}

func exitProcess(f *StateDir, r *Dir) { f.leaderLock.Close(); r.lockFile.Close() }

func writeTestFile(t *testing.T, r *Dir, name string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(r.Path, name), make([]byte, 600), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOneLeaderLockAndOneDirPerProcess(t *testing.T) {
	dir := t.TempDir()
	a, roomA, active := startProcess(t, dir)
	if !active || roomA.Path != dir {
		t.Fatalf("first: %v, %+v", active, roomA)
	}
	writeTestFile(t, roomA, "000000000001.seg")
	b, roomB, active := startProcess(t, dir)
	c, roomC, third := startProcess(t, dir)
	if active || third || roomB.Path == dir || roomC.Path == roomB.Path {
		t.Fatalf("beside it: %v %v, %+v, %+v", active, third, roomB, roomC)
	}
	roomB.SetStatus(StatusReady)
	held, fallen, err := a.Others(roomA)
	if err != nil || len(held) != 2 || len(fallen) > 0 || a.Status(roomB.Name) != StatusReady || a.Status(roomC.Name) != "" {
		t.Fatalf("%v, %v, %v", held, fallen, err)
	}
	if used := b.UsedBytes(roomB); used < 1024 {
		t.Errorf("%d bytes of others", used)
	}
	exitProcess(a, roomA)
	exitProcess(c, roomC)
	if err := b.WaitLeaderLock(); err != nil {
		t.Fatal(err)
	}
	b.SetCurrent(roomB)
	held, fallen, err = b.Others(roomB)
	if err != nil || len(held) > 0 || len(fallen) != 2 || fallen[0].Path != dir {
		t.Fatalf("after the others died: %v, %v, %v", held, fallen, err)
	}
	for _, r := range fallen {
		if err := b.Remove(r); err != nil {
			t.Fatal(err)
		}
	}
	writeTestFile(t, roomB, "000000000001.seg")
	exitProcess(b, roomB)
	d, roomD, active := startProcess(t, dir)
	if !active || roomD.Path != roomB.Path {
		t.Errorf("the next start goes on in %+v", roomD)
	}
	if held, fallen, _ := d.Others(roomD); len(held)+len(fallen) > 0 {
		t.Errorf("rooms left: %v, %v", held, fallen)
	}
	// The folder itself is empty: it is the next one's room.
	if _, roomE, active := startProcess(t, dir); active || roomE.Path != dir {
		t.Errorf("beside it: %v, %+v", active, roomE)
	}
}

// A state folder without a baton, as an earlier version leaves it, is the first room as it stands.
func TestStateFolderOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "000000000007.seg"), []byte("x"), 0o600)
	if _, r, active := startProcess(t, dir); !active || r.Path != dir {
		t.Errorf("%v, %+v", active, r)
	}
}

// A file of the spool is there whole or not at all, in order, until it is done.
func TestSpool(t *testing.T) {
	f, _, _ := startProcess(t, t.TempDir())
	for _, s := range []string{"one", "two", "three"} {
		if err := f.WriteTransfer([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	os.WriteFile(filepath.Join(f.path(spoolName), "half"+tmpExt), []byte("x"), 0o600)
	var got []string
	for _, name := range f.Transfers() {
		b, err := f.ReadTransfer(name)
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, string(b)); len(got) < 3 {
			f.RemoveTransfer(name)
		}
	}
	f.RemovePartialTransfers()
	entries, _ := os.ReadDir(f.path(spoolName))
	if !slices.Equal(got, []string{"one", "two", "three"}) || len(f.Transfers()) != 1 || len(entries) != 1 {
		t.Errorf("%v, left %v, %v", got, f.Transfers(), entries)
	}
}

// The wall clock was an hour ahead, or behind, when the first process of a relay began, and was set right since: what that process dated is the
// same moment to the next one. A mark that can't be read, or that the folder does not take, refuses no start.
func TestDatesGoOnInTheNextProcess(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		dir := t.TempDir()
		mark, at := clock.Now()
		mark.Date += step.Microseconds()
		if err := os.WriteFile(filepath.Join(dir, "clock"), mark.Encode(), 0o600); err != nil {
			t.Fatal(err)
		}
		date := clock.At(at, mark.Date).Date(at.Add(time.Minute)) // that the first one wrote
		f, err := Open(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if off := f.TimeScale().Time(date).Sub(at.Add(time.Minute)); off.Abs() > time.Second {
			t.Errorf("stepped by %v: the date is off by %v", step, off)
		}
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "clock"), 0o700); err != nil { // neither read nor written
		t.Fatal(err)
	}
	f, err := Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if now := time.Now(); f.TimeScale().Time(now.UnixMicro()).Sub(now).Abs() > time.Minute {
		t.Error("without a mark dates do not go by the wall clock")
	}
}
