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

// orderAllClasses makes all classes ordered, with one message per call.
func (env *testEnv) orderAllClasses() {
	s := testSettings()
	s.Kinds[0].MaxBatch = 1
	for i := range s.Classes {
		s.Classes[i].Ordered = true
	}
	env.host.Do(func(h *Host) {
		if err := h.relay.Reconfigure(s); err != nil {
			env.t.Error(err)
		}
		h.settings = s
		h.indexSettings(s)
	})
	env.server.Configure(&s, 100)
}

// orderedRequest is a request of the class "fee", which may not run twice, with the ordering key
// "s".
func orderedRequest(id string) string {
	return strings.Replace(requestText("fee", id, "", "x", 20_000), "/fee", "/fee?subject=s", 1)
}

// attempts returns the number of attempts begun for a message, and whether it is pending.
func (env *testEnv) attempts(id string) (n int, pending bool) {
	env.host.Do(func(h *Host) {
		if m := h.table.ByID(id); m != nil {
			n, pending = m.Attempts, true
		}
	})
	return n, pending
}

// waitSettled waits until the host has handled all earlier events: an unordered message submitted
// now has been delivered.
func (env *testEnv) waitSettled(id string) {
	env.t.Helper()
	if got := env.post(requestText("alert", id, "", "x", 4000)); got != 202 {
		env.t.Fatalf("%s was answered %d", id, got)
	}
	env.waitUntil("the call of "+id, func() bool { return slices.Contains(env.calls, id) })
}

// overlap is two processes of one relay and the spool between them.
type overlap struct {
	t        *testing.T
	old, new *testEnv

	mu    sync.Mutex
	spool [][]byte
	calls []string // with ordering key s, of both processes, in order
}

// startOverlap starts two hosts whose endpoints give the same answers. The new one is on standby.
func startOverlap(t *testing.T, answer func(rw http.ResponseWriter, id string)) *overlap {
	o := &overlap{t: t}
	endpoint := func(rw http.ResponseWriter, r *http.Request, body string) {
		id := r.Header.Get("X-Correlation-Id")
		// Ignores discovery polls of an earlier test whose platform had this port.
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

// scanTransfers has the new process adopt all that the old one has transferred.
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
		update, err := handover.Decode(text)
		if err != nil {
			o.t.Fatal(err)
		}
		<-o.new.host.Adopt(Transfer{Sender: "old", Messages: msgs, Update: update})
	}
	o.new.host.EndTransferScan()
}

// handOver hands over from the old process to the new one.
func (o *overlap) handOver() {
	o.t.Helper()
	if err := o.old.handOver(o.transfer, false, 1<<20); err != nil {
		o.t.Fatal(err)
	}
	o.scanTransfers()
	o.new.host.Activate()
}

// submit posts a message to env. The host may learn later than the client that it was answered.
func (o *overlap) submit(env *testEnv, id string) {
	o.t.Helper()
	if got := env.post(orderedRequest(id)); got != 202 {
		o.t.Fatalf("%s was answered %d", id, got)
	}
}

// waitAnswered waits until the host of env knows that the message's client was answered.
func (o *overlap) waitAnswered(env *testEnv, id string) {
	o.t.Helper()
	waitFor(o.t, id+" to be answered", func() (answered bool) {
		env.host.Do(func(h *Host) { m := h.table.ByID(id); answered = m != nil && !m.Unanswered })
		return answered
	})
}

// expectHeld fails if the new process does not hold the messages while the old one owes an earlier
// one.
func (o *overlap) expectHeld(mark string, ids ...string) {
	o.t.Helper()
	o.new.waitSettled(mark)
	for _, id := range ids {
		if n, pending := o.new.attempts(id); n != 0 || !pending {
			o.t.Fatalf("%s: %d attempts, pending %v, while the old process still owes an earlier one", id, n, pending)
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

// Messages that follow one whose call the old process has in flight wait at the new one until that
// call ends, whether transferred or submitted there. If it fails, its message is sent first.
func TestNextProcessWaitsForInheritedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		want   []string
	}{"delivered": {200, []string{"a", "b", "c"}}, "undone": {503, []string{"a", "a", "b", "c"}}} {
		t.Run(name, func(t *testing.T) {
			blocked, first := make(chan struct{}), true
			release := sync.OnceFunc(func() { close(blocked) })
			var mu sync.Mutex
			o := startOverlap(t, func(rw http.ResponseWriter, id string) {
				mu.Lock()
				blocks := id == "a" && first
				first = first && !blocks
				mu.Unlock()
				if blocks {
					<-blocked
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
				o.old.transferRemaining()
				pending, inFlight := o.old.host.Load()
				return pending+inFlight == 0
			})
			o.old.transferRemaining()
			o.scanTransfers()
			o.expectCalls(c.want...)
		})
	}
}

// A message that the old process accepts after the handover goes before one submitted later at the
// new process, which waits for a scan.
func TestNextProcessScansBeforeSending(t *testing.T) {
	o := startOverlap(t, func(http.ResponseWriter, string) {})
	o.handOver()
	o.submit(o.new, "a")
	o.submit(o.old, "b")
	o.submit(o.new, "c")
	o.waitAnswered(o.new, "a")
	o.waitAnswered(o.new, "c")
	o.expectHeld("mark1", "a", "c") // no scan since
	o.scanTransfers()
	o.new.waitUntil("the call of a", func() bool { return slices.Contains(o.new.calls, "a") })
	o.expectHeld("mark2", "c") // b is announced, but not transferred
	o.waitAnswered(o.old, "b")
	o.old.transferRemaining()
	o.scanTransfers()
	o.expectCalls("a", "b", "c")
}

// Message numbers grow in order of acceptance over both processes, so that a restart recovers that
// order from the journal.
func TestNumbersKeepAcceptanceOrder(t *testing.T) {
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
	o.old.transferRemaining()
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
		t.Errorf("by number: %v, want %v", got, want)
	}
}

// overlapInCall starts two processes; the old one has the call of message a in flight until the
// test ends.
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

// A held message is returned to the client at its own deadline, as never sent.
func TestHeldMessageExpires(t *testing.T) {
	o := overlapInCall(t)
	o.handOver()
	soon := strings.Replace(requestText("fee", "b", "", "x", 60), "/fee", "/fee?subject=s", 1)
	if got := o.new.post(soon); got != 202 {
		t.Fatalf("answered %d", got)
	}
	o.new.waitUntil("its notification", func() bool { return len(o.new.notifications) == 1 })
	o.new.Lock()
	defer o.new.Unlock()
	if n := o.new.notifications[0]; !strings.Contains(n, `"b"`) || !strings.Contains(n, "handed_back") ||
		slices.Contains(o.new.calls, "b") {
		t.Errorf("completed by %s, calls %v", n, o.new.calls)
	}
}

// When no other process is left, held messages are released in order of acceptance.
func TestLastProcessReleasesHeld(t *testing.T) {
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

// A message that could not be announced to the next process is not accepted.
func TestUnannouncedMessageRejected(t *testing.T) {
	o := startOverlap(t, func(http.ResponseWriter, string) {})
	o.handOver()
	o.old.host.Do(func(h *Host) {
		h.leavingProcess.write = func([]byte) error { return journal.ErrUnavailable }
	})
	if got := o.old.post(orderedRequest("a")); got != 503 && got != 429 {
		t.Errorf("answered %d", got)
	}
	if _, pending := o.old.attempts("a"); pending {
		t.Error("it is pending nevertheless")
	}
}
