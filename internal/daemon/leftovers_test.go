package daemon

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against an adopted directory whose files can't be removed for a moment and then take part
// of the disk limit until the next start.
func TestAdoptedFilesAreRemovedLater(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	stuck := filepath.Join(dir, "0.tmp") // a directory that is not empty can't be removed
	if err := os.MkdirAll(filepath.Join(stuck, "file"), 0o700); err != nil {
		t.Fatal(err)
	}
	h := startSuccessor(t, dir)
	h.takeOver()
	used := h.stateDir.UsedBytes(h.dir)
	if pending, _ := h.host.Load(); pending != 1 || len(h.leftovers) != 1 {
		t.Fatalf("%d pending, %d left to remove", pending, len(h.leftovers))
	}
	if h.removeLeftovers() {
		t.Error("removed what can't be removed")
	}
	if err := os.Remove(filepath.Join(stuck, "file")); err != nil {
		t.Fatal(err)
	}
	if !h.removeLeftovers() {
		t.Error("not removed")
	}
	if now := h.stateDir.UsedBytes(h.dir); now >= used {
		t.Errorf("%d bytes are used by others, %d before", now, used)
	}
	if pending, _ := h.host.Load(); pending != 1 {
		t.Errorf("%d pending", pending)
	}
	if running, abandoned, err := h.stateDir.Others(h.dir); len(running)+len(abandoned) > 0 || err != nil {
		t.Errorf("%v running, %d abandoned, %v", running, len(abandoned), err)
	}
}
