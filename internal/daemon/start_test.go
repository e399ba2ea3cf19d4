package daemon

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"oatfold/internal/daemon/config"
	"oatfold/internal/handover/processdir"
)

// Guards against a folder over its limit where a process starts in the place of a killed successor:
// it took room before it knew what the process that still leaves keeps.
func TestStartBesideLeavingProcessTakesNoRoom(t *testing.T) {
	dir, log := t.TempDir(), slog.New(slog.DiscardHandler)
	open := func(active bool) (*processdir.StateDir, *processdir.Dir) {
		stateDir, err := processdir.Open(dir, log)
		if err != nil {
			t.Fatal(err)
		}
		own, err := stateDir.OpenOwn(active)
		if err != nil {
			t.Fatal(err)
		}
		return stateDir, own
	}
	leaving, leavingDir := open(true)
	if err := os.WriteFile(filepath.Join(leavingDir.Path, "1.seg"), make([]byte, 100<<10), 0o600); err != nil {
		t.Fatal(err)
	}
	defer leaving.Release(leavingDir, false)
	r := &relay{log: log}
	r.stateDir, r.dir = open(false)
	defer r.stateDir.Release(r.dir, false)
	r.current.Store(&config.Config{DiskBytes: 3_000_000})
	besideOthers := r.leftByOthers()
	opened, err := r.openJournal(besideOthers)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.journal.Close()
	if _, err := os.Stat(filepath.Join(r.dir.Path, "reserve")); !besideOthers || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("beside others: %t, reserve file: %v", besideOthers, err)
	}
	if budget := opened.journal.SpaceUse().Budget; budget != opened.journal.CommittedBytes() {
		t.Errorf("a budget of %d bytes, it has %d", budget, opened.journal.CommittedBytes())
	}
}
