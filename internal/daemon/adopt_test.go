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

// journalState is what a process that is gone has left of the charge "m" in its room, and who was taking that room over.
type journalState struct {
	successor           string // "-": nobody
	attempts            int
	delivered           bool // delivered
	notificationPending bool // handed back, and the platform has yet to hear of it
	empty               bool // it knows nothing of the charge
}

// newCharge returns the charge "m" after so many calls, none of which has run.
func newCharge(num uint32, steps int) *memory.Message {
	return &memory.Message{Number: num, ID: "m", Class: "fee", Dest: 1, Body: []byte("x"), Deadline: time.Now().Add(time.Hour), Attempts: steps}
}

// write writes a room as its process left it, with its lock fallen.
func (a journalState) write(t *testing.T, dir, name string) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	folder, err := processdir.Open(dir, log)
	if err != nil {
		t.Fatal(err)
	}
	room, err := folder.OpenOwn(name == "")
	if err != nil || room.Name != name {
		t.Fatalf("room %q, want %q: %v", room.Name, name, err)
	}
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(room.Path), Budget: 1 << 20, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	m := newCharge(7, a.attempts)
	if a.notificationPending {
		m.Notification = &memory.Notification{Returned: true}
	}
	if !a.empty {
		kept.AppendTransferred(table, m)
	}
	if a.delivered {
		table.Remove(m)
		kept.AppendCompleted(m, false)
	}
	if _, err := kept.Commit(); err != nil {
		t.Fatal(err)
	}
	if a.successor != "-" {
		if err := room.Claim(&processdir.Dir{Name: a.successor}); err != nil {
			t.Fatal(err)
		}
	}
	kept.Close()
	folder.Release(room, false)
}

// readMessage tells what a room's journal still holds of "m".
func readMessage(t *testing.T, dir string) *memory.Message {
	t.Helper()
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	return table.ByID("m")
}

// Several rooms fall together, since each successor died before it had booked off what it took over. Whatever their names, the latest account
// counts: what one of them has ended does not run once more.
func TestSeveralProcessDirsAdoptedTogether(t *testing.T) {
	for _, c := range []struct {
		name string
		left []journalState // of the state folder, life-1, life-2
		held int            // messages that the successor goes on with, notices among them
		want int            // calls that it knows of
	}{
		{"delivered by the successor", []journalState{{successor: "life-1"}, {successor: "-", delivered: true}}, 0, 0},
		{"delivered by the process before", []journalState{{successor: "-", delivered: true}, {successor: ""}}, 0, 0},
		{"called by the successor", []journalState{{successor: "life-1"}, {successor: "-", attempts: 1}}, 1, 1},
		{"handed back by the successor", []journalState{{successor: "life-1"}, {successor: "-", notificationPending: true}}, 1, 0},
		{"delivered by the successor's successor", []journalState{{successor: "life-1"}, {successor: "life-2"}, {successor: "-", delivered: true}}, 0, 0},
		{"booked off by the successor's successor", []journalState{{successor: "life-1"}, {successor: "life-2", attempts: 2}, {successor: "-", empty: true}}, 1, 2},
		{"tried by nobody", []journalState{{successor: "life-1"}, {successor: "-", empty: true}}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for n, a := range c.left {
				name := ""
				if n > 0 {
					name = fmt.Sprint("life-", n)
				}
				a.write(t, dir, name)
			}
			h := startSuccessor(t, dir)
			_, fallen, err := h.stateDir.Others(h.dir)
			if err != nil || len(fallen) != len(c.left) {
				t.Fatal(fallen, err)
			}
			all, live := h.openJournals(fallen), 0
			for _, i := range all { // a host that sends already takes the first account that it is told
				live += len(i.table.All())
			}
			if live != c.held {
				t.Errorf("%d accounts are told, want %d", live, c.held)
			}
			h.adoptAll(all)
			if held, _ := h.host.Load(); held != c.held {
				t.Errorf("%d held, want %d", held, c.held)
			}
			if left, fallen, err := h.stateDir.Others(h.dir); err != nil || len(left)+len(fallen) > 0 {
				t.Errorf("rooms stay: %v, %v, %v", left, fallen, err)
			}
			if c.held > 0 {
				if steps := recordedAttempts(t, h); steps != c.want {
					t.Errorf("%d calls are known, want %d", steps, c.want)
				}
			}
		})
	}
}

// recordedAttempts asks for the calls of "m" that the successor knows of, as it would tell the process after it.
func recordedAttempts(t *testing.T, h *successor) (steps int) {
	t.Helper()
	h.host.Do(func(*wire.Host) {}) // what was adopted is in the journal
	m := readMessage(t, h.dir.Path)
	if m == nil {
		t.Fatal("it is not in the successor's journal")
	}
	return m.Attempts
}

// A room whose messages went on in one that can't be read is left alone.
func TestDirIsKeptWhenSuccessorIsUnreadable(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "life-1"}.write(t, dir, "")
	h := startSuccessor(t, dir)
	h.stateDir.Release(h.dir, false) // the room "life-1" falls
	fallen := []*processdir.Dir{{Name: "", Path: dir}, {Name: "life-1", Path: h.dir.Path + "/gone"}}
	if err := fallen[0].Claim(fallen[1]); err == nil {
		t.Fatal("a room that is not locked takes a word")
	}
	if all := h.openJournals(fallen); len(all) > 0 {
		t.Errorf("%d rooms are read", len(all))
	}
}

// A process that has to leave while it takes a room over books off what it has taken. Forced: its host stands still between the part that it
// adopts and the write to the journal, until the process was told to leave.
func TestStopWhileAdoptingADir(t *testing.T) {
	dir := t.TempDir()
	journalState{successor: "-"}.write(t, dir, "")
	h := startSuccessor(t, dir)
	ctx, leave := context.WithCancel(context.Background())
	h.ctx = ctx
	_, fallen, err := h.stateDir.Others(h.dir)
	if err != nil || len(fallen) != 1 {
		t.Fatal(fallen, err)
	}
	all := h.openJournals(fallen)
	queued := func(n int) {
		t.Helper()
		for bound := time.Now().Add(10 * time.Second); len(h.host.Events()) < n; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(bound) {
				t.Fatalf("%d of %d events came", len(h.host.Events()), n)
			}
		}
	}
	stop := func() (stopped, goOn chan struct{}) {
		stopped, goOn = make(chan struct{}), make(chan struct{})
		go h.host.Do(func(*wire.Host) { close(stopped); <-goOn })
		return stopped, goOn
	}
	before, adopts := stop()
	<-before
	done := make(chan error, 1)
	go func() { done <- h.adopt(all[0]) }()
	queued(1)
	behind, writes := stop()
	queued(2)
	close(adopts)
	<-behind
	write := sync.OnceFunc(func() { close(writes) })
	defer write()
	leave()
	queued(1) // it asks whether the journal takes records
	write()
	<-done
	all[0].journal.Close()
	if held, _ := h.host.Load(); held != 1 {
		t.Fatalf("%d held", held)
	}
	if m := readMessage(t, dir); m != nil {
		t.Errorf("its room still says of it that it was never tried: %+v", m)
	}
}

// A gift that a process ended, and had not booked when it died, does not run once more.
func TestTransferOfCompletedMessage(t *testing.T) {
	for what, c := range map[string]struct {
		journalState
		held int
	}{"delivered": {journalState{successor: "-", delivered: true}, 0}, "handed back": {journalState{successor: "-", notificationPending: true}, 1}} {
		t.Run(what, func(t *testing.T) {
			dir := t.TempDir()
			c.write(t, dir, "")
			h := startSuccessor(t, dir)
			news := handover.Update{}
			if err := h.stateDir.WriteTransfer(journal.EncodeTransfer([]*memory.Message{newCharge(7, 0)}, news.Encode(), clock.Scale{})); err != nil {
				t.Fatal(err)
			}
			h.takeOver()
			if held, _ := h.host.Load(); held != c.held {
				t.Errorf("%d held, want %d", held, c.held)
			}
			if m := readMessage(t, h.dir.Path); m != nil && m.Notification == nil {
				t.Errorf("it is still to be run: %+v", m)
			}
			if given := h.stateDir.Transfers(); len(given) > 0 {
				t.Errorf("%v stay in the spool", given)
			}
		})
	}
}
