package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
)

// journalState is what a process that no longer runs has left of the charge "m" in its directory,
// and which process was taking the directory over.
type journalState struct {
	successor           string // "-": none
	attempts            int
	delivered           bool
	notificationPending bool // returned to the client, and the platform not notified yet
	empty               bool // contains nothing of the charge
}

// newCharge returns the charge "m" after that many attempts, none of which was executed.
func newCharge(number uint32, attempts int) *memory.Message {
	return &memory.Message{Number: number, ID: "m", Class: "fee", Dest: 1, Body: []byte("x"),
		Deadline: time.Now().Add(time.Hour), Attempts: attempts}
}

// write writes a directory as its process left it, unlocked.
func (a journalState) write(t *testing.T, dir, name string) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	stateDir, err := processdir.Open(dir, log)
	if err != nil {
		t.Fatal(err)
	}
	processDir, err := stateDir.OpenOwn(name == "")
	if err != nil || processDir.Name != name {
		t.Fatalf("directory %q, want %q: %v", processDir.Name, name, err)
	}
	messageJournal, table, err := journal.Open(journal.Config{FS: journal.Dir(processDir.Path), Budget: 1 << 20, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	m := newCharge(7, a.attempts)
	if a.notificationPending {
		m.Notification = &memory.Notification{Returned: true}
	}
	if !a.empty {
		messageJournal.AppendTransferred(table, m)
	}
	if a.delivered {
		table.Remove(m)
		messageJournal.AppendCompleted(m, false)
	}
	if _, err := messageJournal.Commit(); err != nil {
		t.Fatal(err)
	}
	if a.successor != "-" {
		if err := processDir.Claim(&processdir.Dir{Name: a.successor}); err != nil {
			t.Fatal(err)
		}
	}
	messageJournal.Close()
	stateDir.Release(processDir, false)
}

// readMessage returns what the journal of a directory contains of "m".
func readMessage(t *testing.T, dir string) *memory.Message {
	t.Helper()
	messageJournal, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer messageJournal.Close()
	return table.ByID("m")
}

// Several directories are abandoned at once because each successor died before it had removed what
// it adopted. The latest state of a message counts, independent of the directories' names: a
// completed message is not sent again.
func TestSeveralProcessDirsAdoptedTogether(t *testing.T) {
	for _, c := range []struct {
		name     string
		states   []journalState // of the state folder, life-1, life-2
		pending  int            // messages that the successor continues with, notifications included
		attempts int            // attempts that it knows of
	}{
		{"delivered by the successor", []journalState{{successor: "life-1"}, {successor: "-", delivered: true}}, 0, 0},
		{"delivered by the previous process", []journalState{{successor: "-", delivered: true}, {successor: ""}}, 0, 0},
		{"attempted by the successor", []journalState{{successor: "life-1"}, {successor: "-", attempts: 1}}, 1, 1},
		{"returned by the successor", []journalState{
			{successor: "life-1"}, {successor: "-", notificationPending: true}}, 1, 0},
		{"delivered by the successor's successor", []journalState{
			{successor: "life-1"}, {successor: "life-2"}, {successor: "-", delivered: true}}, 0, 0},
		{"removed by the successor's successor", []journalState{
			{successor: "life-1"}, {successor: "life-2", attempts: 2}, {successor: "-", empty: true}}, 1, 2},
		{"never attempted", []journalState{{successor: "life-1"}, {successor: "-", empty: true}}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for n, state := range c.states {
				name := ""
				if n > 0 {
					name = fmt.Sprint("life-", n)
				}
				state.write(t, dir, name)
			}
			h := startSuccessor(t, dir)
			_, abandoned, err := h.stateDir.Others(h.dir)
			if err != nil || len(abandoned) != len(c.states) {
				t.Fatal(abandoned, err)
			}
			journals, pending := h.openJournals(abandoned), 0
			for _, j := range journals { // a host that already sends uses the first state that it receives
				pending += len(j.table.All())
			}
			if pending != c.pending {
				t.Errorf("%d message states are left, want %d", pending, c.pending)
			}
			h.adoptAll(journals)
			if pending, _ := h.host.Load(); pending != c.pending {
				t.Errorf("%d pending, want %d", pending, c.pending)
			}
			if running, abandoned, err := h.stateDir.Others(h.dir); err != nil || len(running)+len(abandoned) > 0 {
				t.Errorf("directories left: %v, %v, %v", running, abandoned, err)
			}
			if c.pending > 0 {
				if attempts := recordedAttempts(t, h); attempts != c.attempts {
					t.Errorf("%d attempts are known, want %d", attempts, c.attempts)
				}
			}
		})
	}
}

// recordedAttempts returns the attempts of "m" that are recorded in the successor's journal.
func recordedAttempts(t *testing.T, h *successor) (attempts int) {
	t.Helper()
	h.host.Do(func(*wire.Host) {}) // waits until what was adopted is in the journal
	m := readMessage(t, h.dir.Path)
	if m == nil {
		t.Fatal("the message is not in the successor's journal")
	}
	return m.Attempts
}

// A directory is left alone if some of its messages moved to one that can't be read.
func TestDirIsKeptWhenSuccessorIsUnreadable(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "life-1"}.write(t, dir, "")
	h := startSuccessor(t, dir)
	h.stateDir.Release(h.dir, false) // abandons the directory "life-1"
	abandoned := []*processdir.Dir{{Name: "", Path: dir}, {Name: "life-1", Path: h.dir.Path + "/gone"}}
	if err := abandoned[0].Claim(abandoned[1]); err == nil {
		t.Fatal("a directory that is not locked was claimed")
	}
	if journals := h.openJournals(abandoned); len(journals) > 0 {
		t.Errorf("%d directories were read", len(journals))
	}
}

// A process that has to stop while it adopts a directory removes from it what it has adopted. The
// host is blocked between adopting a batch and writing the journal until the process is told to
// stop.
func TestStopWhileAdoptingADir(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	h := startSuccessor(t, dir)
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	_, abandoned, err := h.stateDir.Others(h.dir)
	if err != nil || len(abandoned) != 1 {
		t.Fatal(abandoned, err)
	}
	journals := h.openJournals(abandoned)
	waitForEvents := func(n int) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); len(h.host.Events()) < n; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d of %d events arrived", len(h.host.Events()), n)
			}
		}
	}
	blockHost := func() (stopped, resume chan struct{}) {
		stopped, resume = make(chan struct{}), make(chan struct{})
		go h.host.Do(func(*wire.Host) { close(stopped); <-resume })
		return stopped, resume
	}
	stoppedBefore, resumeAdopt := blockHost()
	<-stoppedBefore
	done := make(chan error, 1)
	go func() { done <- h.adopt(journals[0]) }()
	waitForEvents(1)
	stoppedAfter, resumeWrite := blockHost()
	waitForEvents(2)
	close(resumeAdopt)
	<-stoppedAfter
	allowWrite := sync.OnceFunc(func() { close(resumeWrite) })
	defer allowWrite()
	cancel()
	waitForEvents(1) // asks whether the journal can be written
	allowWrite()
	<-done
	journals[0].journal.Close()
	if pending, _ := h.host.Load(); pending != 1 {
		t.Fatalf("%d pending", pending)
	}
	if m := readMessage(t, dir); m != nil {
		t.Errorf("its directory still says that it was never attempted: %+v", m)
	}
}

// A transferred message that a process completed, but had not removed when it died, is not sent
// again.
func TestTransferOfCompletedMessage(t *testing.T) {
	for name, c := range map[string]struct {
		journalState
		pending int
	}{
		"delivered":              {journalState{successor: "-", delivered: true}, 0},
		"returned to the client": {journalState{successor: "-", notificationPending: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			c.write(t, dir, "")
			h := startSuccessor(t, dir)
			update := handover.Update{}
			if err := h.stateDir.WriteTransfer(journal.EncodeTransfer(
				[]*memory.Message{newCharge(7, 0)}, update.Encode(), clock.Scale{})); err != nil {
				t.Fatal(err)
			}
			h.takeOver()
			if pending, _ := h.host.Load(); pending != c.pending {
				t.Errorf("%d pending, want %d", pending, c.pending)
			}
			if m := readMessage(t, h.dir.Path); m != nil && m.Notification == nil {
				t.Errorf("it would be sent again: %+v", m)
			}
			if transfers := h.stateDir.Transfers(); len(transfers) > 0 {
				t.Errorf("%v left in the spool", transfers)
			}
		})
	}
}
