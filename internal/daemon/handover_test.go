package daemon

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/daemon/config"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
	"oatfold/policy"
)

// startSuccessor returns a process that takes over what is in the state folder, as one that has
// just received the leader lock.
func startSuccessor(t *testing.T, dir string) *successor {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	stateDir, err := processdir.Open(dir, log)
	if err != nil {
		t.Fatal(err)
	}
	processDir, err := stateDir.OpenOwn(false)
	if err != nil {
		t.Fatal(err)
	}
	messageJournal, table, err := journal.Open(journal.Config{FS: journal.Dir(processDir.Path), Budget: 1 << 20, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	host, err := wire.NewHost(wire.HostConfig{Settings: policy.Settings{
		Relays: 1, MaxConcurrentCalls: 1, MaxPending: 9, MaxAttempts: 1, Tick: 1,
		Classes: []policy.Class{{Name: "fee", Effect: policy.Unsafe, Ordered: true, TargetLatency: 1,
			Deadline: 1 << 40, Value: 1}}},
		Table: table, Journal: messageJournal, Standby: true, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { host.Run(stop); close(done) }()
	t.Cleanup(func() { close(stop); <-done; messageJournal.Close(); stateDir.Release(processDir, false) })
	r := &relay{stateDir: stateDir, dir: processDir, host: host, log: log, orders: newOrders()}
	r.current.Store(&config.Config{DiskBytes: 1 << 20})
	return newSuccessor(context.Background(), r)
}

// The latest update of each process stays in the spool, without its messages, until no process is
// leaving: a successor that is restarted meanwhile has to know what is still pending at the other
// process.
func TestLatestUpdateStaysInSpool(t *testing.T) {
	dir := t.TempDir()
	old, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	processDir, err := old.TryLock("")
	if err != nil || processDir == nil {
		t.Fatal(processDir, err)
	}
	transfer := func(pendingID string, messages ...*memory.Message) {
		t.Helper()
		update := handover.Update{PendingOrdered: []sequence.Message{{ID: pendingID, OrderingKey: "s", Number: 1}}}
		if err := old.WriteTransfer(journal.EncodeTransfer(messages, update.Encode(), clock.Scale{})); err != nil {
			t.Fatal(err)
		}
	}
	spoolContent := func() (pending []string, messages int) {
		t.Helper()
		for _, name := range old.Transfers() {
			raw, err := old.ReadTransfer(name)
			if err != nil {
				t.Fatal(err)
			}
			transferred, text, err := journal.DecodeTransfer(raw, clock.Scale{})
			if err != nil {
				t.Fatal(err)
			}
			update, err := handover.Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range update.PendingOrdered {
				pending = append(pending, m.ID)
			}
			messages += len(transferred)
		}
		return pending, messages
	}
	h := startSuccessor(t, dir)
	transfer("a", &memory.Message{Number: 2, ID: "m", Class: "fee", Body: []byte("x")})
	for range 2 { // the second time it has been adopted already
		h.adoptTransfers(true)
		if pending, messages := spoolContent(); len(pending) != 1 || pending[0] != "a" || messages != 0 {
			t.Fatalf("%v and %d messages left, want only a", pending, messages)
		}
	}
	transfer("b")
	h.adoptTransfers(true)
	if pending, _ := spoolContent(); len(pending) != 1 || pending[0] != "b" {
		t.Fatalf("%v left, want only b", pending)
	}
	if pending, _ := h.host.Load(); pending != 1 {
		t.Errorf("%d pending", pending)
	}
	old.Release(processDir, false)
	if h.takeOver() {
		t.Error("a process is still reported as leaving")
	}
	if pending, _ := spoolContent(); len(pending) > 0 {
		t.Errorf("%v left at the end", pending)
	}
}

// Files and directories that can't be read for a moment are read again and adopted.
func TestAdoptionRetriesUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	old, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	message := &memory.Message{Number: 3, ID: "given", Class: "fee", Dest: 1, Body: []byte("x"),
		Deadline: time.Now().Add(time.Hour)}
	if err := old.WriteTransfer(journal.EncodeTransfer(
		[]*memory.Message{message}, (&handover.Update{}).Encode(), clock.Scale{})); err != nil {
		t.Fatal(err)
	}
	segments, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	transfers, _ := filepath.Glob(filepath.Join(dir, "spool", "*.give"))
	h := startSuccessor(t, dir)
	for _, path := range append(segments, transfers...) {
		if err := os.Rename(path, path+".away"); err != nil {
			t.Fatal(err)
		}
		if err := os.Symlink("/proc/self/mem", path); err != nil { // reading it fails with EIO
			t.Fatal(err)
		}
	}
	var repair sync.WaitGroup
	repair.Go(func() {
		for _, path := range append(segments, transfers...) { // repaired one by one
			time.Sleep(30 * time.Millisecond)
			if err := os.Rename(path+".away", path); err != nil {
				t.Error(err)
			}
		}
	})
	h.takeOver()
	repair.Wait()
	if pending, _ := h.host.Load(); pending != 2 || len(h.unreadable) > 0 {
		t.Errorf("%d of 2 messages adopted, files left: %v", pending, h.unreadable)
	}
}
