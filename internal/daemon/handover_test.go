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

// startSuccessor returns a process that takes over what is in folder, as one that has just got the baton.
func startSuccessor(t *testing.T, dir string) *successor {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	folder, err := processdir.Open(dir, log)
	if err != nil {
		t.Fatal(err)
	}
	room, err := folder.OpenOwn(false)
	if err != nil {
		t.Fatal(err)
	}
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(room.Path), Budget: 1 << 20, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	host, err := wire.NewHost(wire.HostConfig{Settings: policy.Settings{Relays: 1, MaxConcurrentCalls: 1, MaxPending: 9, MaxAttempts: 1, Tick: 1,
		Classes: []policy.Class{{Name: "fee", Effect: policy.Unsafe, Ordered: true, TargetLatency: 1, Deadline: 1 << 40, Value: 1}}},
		Table: table, Journal: kept, Standby: true, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { host.Run(stop); close(done) }()
	t.Cleanup(func() { close(stop); <-done; kept.Close(); folder.Release(room, false) })
	r := &relay{stateDir: folder, dir: room, host: host, log: log, config: &config.Config{DiskBytes: 1 << 20}}
	return &successor{r, context.Background(), map[string]bool{}, map[string]string{}}
}

// The latest news of each process stay in the spool, without the messages, until nobody leaves: a process that starts anew in the middle has to know
// what the other one still owes.
func TestLatestNewsStay(t *testing.T) {
	dir := t.TempDir()
	old, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	room, err := old.TryLock("")
	if err != nil || room == nil {
		t.Fatal(room, err)
	}
	gives := func(owes string, msgs ...*memory.Message) {
		t.Helper()
		news := handover.Update{PendingOrdered: []sequence.Message{{ID: owes, OrderingKey: "s", Number: 1}}}
		if err := old.WriteTransfer(journal.EncodeTransfer(msgs, news.Encode(), clock.Scale{})); err != nil {
			t.Fatal(err)
		}
	}
	kept := func() (owes []string, msgs int) {
		t.Helper()
		for _, name := range old.Transfers() {
			raw, err := old.ReadTransfer(name)
			if err != nil {
				t.Fatal(err)
			}
			given, text, err := journal.DecodeTransfer(raw, clock.Scale{})
			if err != nil {
				t.Fatal(err)
			}
			news, err := handover.Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range news.PendingOrdered {
				owes = append(owes, m.ID)
			}
			msgs += len(given)
		}
		return owes, msgs
	}
	h := startSuccessor(t, dir)
	gives("a", &memory.Message{Number: 2, ID: "m", Class: "fee", Body: []byte("x")})
	for range 2 { // the second time it is known
		h.adoptTransfers(true)
		if owes, msgs := kept(); len(owes) != 1 || owes[0] != "a" || msgs != 0 {
			t.Fatalf("%v and %d messages stay, want a alone", owes, msgs)
		}
	}
	gives("b")
	h.adoptTransfers(true)
	if owes, _ := kept(); len(owes) != 1 || owes[0] != "b" {
		t.Fatalf("%v stay, want b alone", owes)
	}
	if held, _ := h.host.Load(); held != 1 {
		t.Errorf("%d held", held)
	}
	old.Release(room, false)
	if h.takeOver() {
		t.Error("somebody is said to leave")
	}
	if owes, _ := kept(); len(owes) > 0 {
		t.Errorf("%v stay at the end", owes)
	}
}

// Found by reading: a given file, or a room, that could not be read for a moment was left for good, and what it held was lost for this life.
func TestTakingOverOutlastsAMomentOfTrouble(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	old, err := processdir.Open(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	other := &memory.Message{Number: 3, ID: "given", Class: "fee", Dest: 1, Body: []byte("x"), Deadline: time.Now().Add(time.Hour)}
	if err := old.WriteTransfer(journal.EncodeTransfer([]*memory.Message{other}, (&handover.Update{}).Encode(), clock.Scale{})); err != nil {
		t.Fatal(err)
	}
	segments, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	given, _ := filepath.Glob(filepath.Join(dir, "spool", "*.give"))
	h := startSuccessor(t, dir)
	for _, path := range append(segments, given...) {
		if err := os.Rename(path, path+".away"); err != nil {
			t.Fatal(err)
		}
		if err := os.Symlink("/proc/self/mem", path); err != nil { // reading it fails with EIO
			t.Fatal(err)
		}
	}
	var tried sync.WaitGroup
	tried.Go(func() {
		for _, path := range append(segments, given...) { // well again, in one step
			time.Sleep(30 * time.Millisecond)
			if err := os.Rename(path+".away", path); err != nil {
				t.Error(err)
			}
		}
	})
	h.takeOver()
	tried.Wait()
	if held, _ := h.host.Load(); held != 2 || len(h.unreadable) > 0 {
		t.Errorf("%d of 2 messages are taken over, files left: %v", held, h.unreadable)
	}
}
