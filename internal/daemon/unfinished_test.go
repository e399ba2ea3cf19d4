package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/drain"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
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
	if pending, _ := h.host.Load(); pending != 1 || len(h.steps) != 1 {
		t.Fatalf("%d pending, %d left to remove", pending, len(h.steps))
	}
	if h.runSteps() {
		t.Error("removed what can't be removed")
	}
	if err := os.Remove(filepath.Join(stuck, "file")); err != nil {
		t.Fatal(err)
	}
	if !h.runSteps() {
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

// replaceByDirectory makes a file unreadable, and returns a function that restores it.
func replaceByDirectory(t *testing.T, path string) (restore func()) {
	t.Helper()
	if err := os.Rename(path, path+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path, 0o700); err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".away", path); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against the messages of a process directory that can't be read at the takeover, which got
// no end before the next start. The directory is adopted as soon as it can be read.
func TestUnreadableDirIsAdoptedLater(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	segments, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	restore := replaceByDirectory(t, segments[0])
	h := startSuccessor(t, dir)
	h.takeOver()
	h.adoptLater() // still unreadable
	if pending, _ := h.host.Load(); pending != 0 || !h.unadopted.remains() {
		t.Fatalf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
	restore()
	h.finish()
	if pending, _ := h.host.Load(); pending != 1 || h.unadopted.remains() {
		t.Errorf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
}

// A message that was adopted from another copy and completed is not adopted from a directory that
// becomes readable later, also if its id is forgotten by then.
func TestLateAdoptionDoesNotRepeat(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "life-1"}.write(t, dir, "")
	segments, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	restore := replaceByDirectory(t, segments[0])
	journalState{successor: "-", delivered: true}.write(t, dir, "life-1")
	h := startSuccessor(t, dir)
	h.takeOver()
	for n := range 2 * memory.MaxCompletedIDs {
		<-h.host.Adopt(wire.Transfer{CompletedIDs: []string{fmt.Sprint("later-", n)}})
	}
	if slices.Contains(h.host.KnownIDs(), "m") || !h.unadopted.remains() {
		t.Fatalf("ids %v, to be adopted later: %t", h.host.KnownIDs()[:3], h.unadopted.remains())
	}
	restore()
	h.finish()
	if pending, _ := h.host.Load(); pending != 0 || h.unadopted.remains() {
		t.Errorf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
}

// Guards against a relay without gossip for all its life, since the socket could not be opened at
// one moment.
func TestGossipIsOpenedLater(t *testing.T) {
	taken, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	h := startSuccessor(t, t.TempDir())
	h.configuration().PeerListenAddr = taken.LocalAddr().String()
	h.configuration().PeerAddrs = []string{h.configuration().PeerListenAddr, "127.0.0.1:9"}
	h.joinFleet(h.configuration())
	if h.gossip != nil || h.runSteps() {
		t.Fatal("opened an address that is taken")
	}
	taken.Close()
	if !h.runSteps() || h.gossip == nil {
		t.Fatal("not opened, though the address is free")
	}
	h.gossip.Close()
}

// Guards against a relay that starts drained, or not drained, against the operators' last word,
// since that could not be written at one moment.
func TestDrainIsSavedLater(t *testing.T) {
	dir := t.TempDir()
	h := startSuccessor(t, dir)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	server := wire.NewServer(ln, &h.configuration().Settings, 1, h.host.Events(), h.log)
	server.HandleDrainEvent(drain.HealthFail)
	h.server.Store(server)
	mark := filepath.Join(dir, "drained")
	if err := os.Mkdir(mark, 0o700); err != nil { // the mark can't be written
		t.Fatal(err)
	}
	saved := make(chan struct{})
	go func() { h.saveDrain(context.Background()); close(saved) }()
	select {
	case <-saved:
		t.Fatal("saved where nothing can be written")
	case <-time.After(3 * retryInterval):
	}
	if err := os.Remove(mark); err != nil {
		t.Fatal(err)
	}
	<-saved
	if info, err := os.Stat(mark); err != nil || !info.Mode().IsRegular() {
		t.Error("not saved: ", err)
	}
}

// Guards against the messages of a process directory behind one that can't be listed at the
// takeover, which got no end before the next start.
func TestUnlistedDirIsAdoptedLater(t *testing.T) {
	dir := t.TempDir()
	blocked := filepath.Join(dir, "life-0", "lock") // listed first; a directory can't be locked
	if err := os.MkdirAll(blocked, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "life-1"), 0o700); err != nil {
		t.Fatal(err)
	}
	source := t.TempDir()
	journalState{successor: "-"}.write(t, source, "")
	segments, _ := filepath.Glob(filepath.Join(source, "*.seg"))
	if err := os.Rename(segments[0], filepath.Join(dir, "life-1", filepath.Base(segments[0]))); err != nil {
		t.Fatal(err)
	}
	h := startSuccessor(t, dir)
	h.takeOver()
	h.adoptLater() // still not listed
	if pending, _ := h.host.Load(); pending != 0 || !h.unadopted.remains() {
		t.Fatalf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	h.finish()
	if pending, _ := h.host.Load(); pending != 1 || h.unadopted.remains() {
		t.Errorf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
}

// hideTransfer writes a transfer that can't be read until the returned function is called.
func hideTransfer(t *testing.T, dir string, messages []*memory.Message, update *handover.Update) (restore func()) {
	t.Helper()
	old, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := old.WriteTransfer(journal.EncodeTransfer(messages, update.Encode(), clock.Scale{})); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "spool", old.Transfers()[0])
	if err := os.Rename(path, path+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/proc/self/mem", path); err != nil { // reading it fails with EIO
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := os.Rename(path+".away", path); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against the messages of a transfer that can't be read for longer than the takeover
// retries, which got no end before the next start.
func TestUnreadTransferIsAdoptedLater(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	restore := hideTransfer(t, dir, []*memory.Message{newCharge(3, 0)}, &handover.Update{})
	h := startSuccessor(t, dir)
	h.takeOver()
	if pending, _ := h.host.Load(); pending != 0 || !h.unadopted.remains() {
		t.Fatalf("%d pending, to be adopted later: %t", pending, h.unadopted.remains())
	}
	restore()
	h.finish()
	if pending, _ := h.host.Load(); pending != 1 || h.unadopted.remains() || len(h.stateDir.Transfers()) > 0 {
		t.Errorf("%d pending, to be adopted later: %t, transfers %v", pending, h.unadopted.remains(), h.stateDir.Transfers())
	}
}

// Guards against an order that a transfer undoes which could be read only after it: the process
// before was drained, and this one was told since that the relay serves.
func TestLateTransferUndoesNoOrder(t *testing.T) {
	t.Parallel()
	dir, drained := t.TempDir(), true
	restore := hideTransfer(t, dir, nil, &handover.Update{Drained: &drained})
	h := startSuccessor(t, dir)
	h.takeOver()
	restore()
	h.finish()
	if h.unadopted.remains() || h.stateDir.Drained() || h.inheritedDrain != nil {
		t.Errorf("to be adopted later: %t, recorded as drained: %t", h.unadopted.remains(), h.stateDir.Drained())
	}
}
