package wire

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
)

// orderAllClasses puts all classes of a world in order by subject, each message in a call of its own.
func (w *testEnv) orderAllClasses() {
	s := testSettings()
	s.Kinds[0].MaxBatch = 1
	for i := range s.Classes {
		s.Classes[i].Ordered = true
	}
	w.host.Do(func(h *Host) {
		if err := h.relay.Reconfigure(s); err != nil {
			w.t.Error(err)
		}
		h.settings = s
		h.indexSettings(s)
	})
	w.server.Configure(&s, 100)
}

// orderedRequest is a hand-in of the class "fee", which may not be repeated, about the subject s.
func orderedRequest(id string) string {
	return strings.Replace(requestText("fee", id, "", "x", 20_000), "/fee", "/fee?subject=s", 1)
}

// attempts is how many route steps of a message have begun, and whether it is held at all.
func (w *testEnv) attempts(id string) (n int, there bool) {
	w.host.Do(func(h *Host) {
		if m := h.table.ByID(id); m != nil {
			n, there = m.Attempts, true
		}
	})
	return n, there
}

// waitSettled waits until the host has done all that follows from what it has heard: a message of no subject, handed in now, has been delivered.
func (w *testEnv) waitSettled(id string) {
	w.t.Helper()
	if got := w.post(requestText("alert", id, "", "x", 4000)); got != 202 {
		w.t.Fatalf("%s was answered %d", id, got)
	}
	w.waitUntil("the call of "+id, func() bool { return slices.Contains(w.calls, id) })
}

// overlap is two processes of one relay, and the spool between them.
type overlap struct {
	t        *testing.T
	old, new *testEnv

	mu    sync.Mutex
	spool [][]byte
	calls []string // of subject s, over both processes, in order
}

// startOverlap starts two hosts whose endpoints answer alike. The new one stands by.
func startOverlap(t *testing.T, answer func(rw http.ResponseWriter, id string)) *overlap {
	o := &overlap{t: t}
	endpoint := func(rw http.ResponseWriter, r *http.Request, body string) {
		id := r.Header.Get("X-Correlation-Id")
		// Guards against the watch of a world that is over, whose agent's port is this endpoint's now.
		if id != "" && !strings.HasPrefix(id, "mark") {
			o.mu.Lock()
			o.calls = append(o.calls, id)
			o.mu.Unlock()
		}
		answer(rw, id)
	}
	o.old, o.new = startEnv(t, endpoint), startEnv(t, endpoint)
	o.old.orderAllClasses()
	o.new.orderAllClasses()
	o.new.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	return o
}

func (o *overlap) transfer(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spool = append(o.spool, b)
	return nil
}

// scanTransfers has the new process take in all that the old one has given by now.
func (o *overlap) scanTransfers() {
	o.t.Helper()
	o.new.host.BeginTransferScan()
	o.mu.Lock()
	files := o.spool
	o.spool = nil
	o.mu.Unlock()
	for _, raw := range files {
		msgs, text, err := journal.DecodeTransfer(raw, clock.Scale{})
		if err != nil {
			o.t.Fatal(err)
		}
		news, err := handover.Decode(text)
		if err != nil {
			o.t.Fatal(err)
		}
		<-o.new.host.Adopt(Transfer{Sender: "old", Messages: msgs, Update: news})
	}
	o.new.host.EndTransferScan()
}

// handOver has the old process leave and the new one begin.
func (o *overlap) handOver() {
	o.t.Helper()
	if err := o.old.host.HandOver(o.transfer, false, 1<<20); err != nil {
		o.t.Fatal(err)
	}
	o.scanTransfers()
	o.new.host.Activate()
}

// submit hands a message in at w. The host may hear later than the client that it was answered.
func (o *overlap) submit(w *testEnv, id string) {
	o.t.Helper()
	if got := w.post(orderedRequest(id)); got != 202 {
		o.t.Fatalf("%s was answered %d", id, got)
	}
}

// waitAnswered waits until the host of w has heard that the client of that message was answered.
func (o *overlap) waitAnswered(w *testEnv, id string) {
	o.t.Helper()
	waitFor(o.t, id+" to be told", func() (told bool) {
		w.host.Do(func(h *Host) { m := h.table.ByID(id); told = m != nil && !m.Unanswered })
		return told
	})
}

// expectHeld fails if a message has left the new process's hold: it waits for one that the old process owes.
func (o *overlap) expectHeld(mark string, ids ...string) {
	o.t.Helper()
	o.new.waitSettled(mark)
	for _, id := range ids {
		if n, there := o.new.attempts(id); n != 0 || !there {
			o.t.Fatalf("%s: %d route steps, held %v, while the old process still owes an earlier one", id, n, there)
		}
	}
}

func (o *overlap) expectCalls(want ...string) {
	o.t.Helper()
	waitFor(o.t, "the calls", func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.calls) >= len(want) })
	o.new.waitEmpty()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Equal(o.calls, want) {
		o.t.Errorf("called %v, want %v", o.calls, want)
	}
}

// What follows a message whose call the old process still has out waits at the new one until it is over, whether it was given or handed in there. What the
// call leaves undone goes first.
func TestSuccessorWaitsForCallsOfItsPredecessor(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		want   []string
	}{"delivered": {200, []string{"a", "b", "c"}}, "undone": {503, []string{"a", "a", "b", "c"}}} {
		t.Run(name, func(t *testing.T) {
			held, first := make(chan struct{}), true
			release := sync.OnceFunc(func() { close(held) })
			var mu sync.Mutex
			o := startOverlap(t, func(rw http.ResponseWriter, id string) {
				mu.Lock()
				out := id == "a" && first
				first = first && !out
				mu.Unlock()
				if out {
					<-held
					rw.WriteHeader(c.status)
				}
			})
			t.Cleanup(release)
			o.submit(o.old, "a")
			o.old.waitUntil("its call", func() bool { return len(o.old.calls) == 1 })
			o.submit(o.old, "b")
			o.waitAnswered(o.old, "b")
			o.handOver()
			o.submit(o.new, "c")
			o.waitAnswered(o.new, "c")
			o.scanTransfers()
			o.expectHeld("mark1", "b", "c")
			release()
			waitFor(t, "the old process to be empty", func() bool {
				o.old.host.TransferRemaining(1 << 20)
				held, out := o.old.host.Load()
				return held+out == 0
			})
			o.old.host.TransferRemaining(1 << 20)
			o.scanTransfers()
			o.expectCalls(c.want...)
		})
	}
}

// The old process takes a message on after it has given all, and its client hands the next one in at the new process: that one waits for a look at what was
// given, and then for the first one.
func TestSuccessorLooksBeforeItGoesOn(t *testing.T) {
	o := startOverlap(t, func(http.ResponseWriter, string) {})
	o.handOver()
	o.submit(o.new, "a")
	o.submit(o.old, "b")
	o.submit(o.new, "c")
	o.waitAnswered(o.new, "a")
	o.waitAnswered(o.new, "c")
	o.expectHeld("mark1", "a", "c") // no look since
	o.scanTransfers()
	o.new.waitUntil("the call of a", func() bool { return slices.Contains(o.new.calls, "a") })
	o.expectHeld("mark2", "c") // b is announced, and not here
	o.waitAnswered(o.old, "b")
	o.old.host.TransferRemaining(1 << 20)
	o.scanTransfers()
	o.expectCalls("a", "b", "c")
}

// Numbers of messages grow in the order of hand-in over both processes, so that a restart finds that order in the journal, whichever came here first.
func TestNumbersKeepTheOrderOfHandIn(t *testing.T) {
	o := startOverlap(t, func(http.ResponseWriter, string) {})
	o.new.host.Do(func(h *Host) {
		h.endpoints["s-1"].backoff.extend(time.Minute)
		h.relay.ApplyRetryAfter(h.now(), "s-1", time.Minute)
	})
	o.old.host.Do(func(h *Host) {
		h.endpoints["s-1"].backoff.extend(time.Minute)
		h.relay.ApplyRetryAfter(h.now(), "s-1", time.Minute)
	})
	o.submit(o.old, "a")
	o.waitAnswered(o.old, "a")
	o.handOver()
	for i, id := range []string{"b", "c", "d", "e"} {
		o.submit([]*testEnv{o.new, o.old}[i%2], id)
	}
	o.waitAnswered(o.old, "c")
	o.waitAnswered(o.old, "e")
	o.old.host.TransferRemaining(1 << 20)
	o.scanTransfers()
	var got []string
	o.new.host.Do(func(h *Host) {
		var all []*memory.Message
		for _, m := range h.table.All() {
			all = append(all, m)
		}
		slices.SortFunc(all, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
		for _, m := range all {
			got = append(got, m.ID)
		}
	})
	if want := []string{"a", "b", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("in the order of their numbers: %v, want %v", got, want)
	}
}

// overlapInCall starts two processes of which the old one has the call of message a out, until the test ends.
func overlapInCall(t *testing.T) *overlap {
	t.Helper()
	release := make(chan struct{})
	o := startOverlap(t, func(rw http.ResponseWriter, id string) {
		if id == "a" {
			<-release
		}
	})
	t.Cleanup(func() { close(release) })
	o.submit(o.old, "a")
	o.old.waitUntil("its call", func() bool { return len(o.old.calls) == 1 })
	return o
}

// A message of which the process before still owes an earlier one ends in its own time, as one that never ran.
func TestHeldBackEndsInTime(t *testing.T) {
	o := overlapInCall(t)
	o.handOver()
	soon := strings.Replace(requestText("fee", "b", "", "x", 60), "/fee", "/fee?subject=s", 1)
	if got := o.new.post(soon); got != 202 {
		t.Fatalf("answered %d", got)
	}
	o.new.waitUntil("its notice", func() bool { return len(o.new.notifications) == 1 })
	o.new.Lock()
	defer o.new.Unlock()
	if n := o.new.notifications[0]; !strings.Contains(n, `"b"`) || !strings.Contains(n, "handed_back") || slices.Contains(o.new.calls, "b") {
		t.Errorf("ended by %s, calls %v", n, o.new.calls)
	}
}

// When no process is left that could owe anything, all that was held back goes on in the order of hand-in.
func TestNobodyLeftReleases(t *testing.T) {
	o := overlapInCall(t)
	o.submit(o.old, "b")
	o.waitAnswered(o.old, "b")
	o.handOver()
	o.submit(o.new, "c")
	o.waitAnswered(o.new, "c")
	o.scanTransfers()
	o.expectHeld("mark1", "b", "c")
	<-o.new.host.Adopt(Transfer{LastProcess: true})
	o.expectCalls("a", "b", "c")
}

// What could not be told to the successor is not taken on: its client may hand the next one in there.
func TestNotAnnouncedIsNotTakenOn(t *testing.T) {
	o := startOverlap(t, func(http.ResponseWriter, string) {})
	o.handOver()
	o.old.host.Do(func(h *Host) { h.sendToSuccessor = func([]byte) error { return journal.ErrUnavailable } })
	if got := o.old.post(orderedRequest("a")); got != 503 && got != 429 {
		t.Errorf("answered %d", got)
	}
	if _, there := o.old.attempts("a"); there {
		t.Error("it is held all the same")
	}
}
