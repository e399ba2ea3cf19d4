package wire

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// A process that takes over runs each message once by the more careful account of it, knows what the other one keeps, and heeds slots, waits and
// the drain that it was told of.
func TestAdoptsOnceAndHeeds(t *testing.T) {
	var first time.Time
	var w *testEnv
	w = startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		w.Lock()
		if first.IsZero() {
			first = time.Now()
		}
		w.Unlock()
		answerOK(rw, r, body)
	})
	w.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	until := time.Now().Add(200 * time.Millisecond)
	msg := func(class, id string, steps int, risk time.Time) *memory.Message {
		return &memory.Message{Number: 77, ID: id, Class: class, IdempotencyKey: "k", Dest: 7, Body: []byte("b"), Deadline: time.Now().Add(4 * time.Second), Attempts: steps, MayHaveRunSince: risk}
	}
	lent := []policy.InheritedCall{{Endpoint: "s-1"}, {Endpoint: "s-1"}, {Endpoint: "s-1"}}
	<-w.host.Adopt(Transfer{CompletedIDs: []string{"over"}})
	<-w.host.Adopt(Transfer{Messages: []*memory.Message{msg("alert", "a", 0, time.Time{}), msg("fee", "f", 0, time.Time{}), msg("alert", "over", 0, time.Time{})},
		Update: &handover.Update{InFlightCalls: lent, OwnedIDs: []string{"there"}, Drained: true, RetryAfters: []handover.RetryAfter{{Endpoint: "s-1", Dest: 7, Until: until}}}})
	<-w.host.Adopt(Transfer{Messages: []*memory.Message{msg("fee", "f", 1, time.Now()), msg("alert", "a", 0, time.Time{})}})
	if got := w.post(requestText("alert", "there", "", "b", 4000)); got != 202 {
		t.Errorf("what the other process keeps was answered %d", got)
	}
	w.host.Do(func(h *Host) {
		if len(h.inheritedCalls) != 3 || h.table.PendingCount() != 2 {
			t.Errorf("%v lent, %d held", h.inheritedCalls, h.table.PendingCount())
		}
	})
	// A change of the list that reached the other process only is taken over; one that is older than what this one has is not.
	for _, c := range []struct {
		generation int64
		state      policy.EndpointState
		want       policy.EndpointState
	}{{0, policy.Draining, policy.Listed}, {9, policy.Draining, policy.Draining}, {10, policy.Listed, policy.Listed}} {
		<-w.host.Adopt(Transfer{Update: &handover.Update{InFlightCalls: lent[:1], EndpointList: &handover.EndpointList{Generation: c.generation, Endpoints: []handover.ListedEndpoint{
			{Endpoint: policy.Endpoint{Address: "s-1", Destination: 7, Kind: "broker", Zone: "z", State: c.state}, HostPort: w.endpoint.Listener.Addr().String()}}}}})
		w.host.Do(func(h *Host) {
			if got := policy.EndpointState(h.endpoints["s-1"].state.Load()); got != c.want {
				t.Errorf("list of generation %d: state %v, want %v", c.generation, got, c.want)
			}
		})
	}
	if !w.host.Activate() {
		t.Error("the drain was not passed on")
	}
	w.waitUntil("the notice", func() bool { return len(w.notifications) > 0 })
	w.waitEmpty()
	w.Lock()
	if !slices.Equal(w.calls, []string{"a"}) || first.Before(until) {
		t.Errorf("called %v, %v before the wait was over", w.calls, until.Sub(first))
	}
	w.Unlock()
	<-w.host.Adopt(Transfer{LastProcess: true})
	w.host.Do(func(h *Host) {
		if len(h.inheritedCalls) > 0 || len(h.ownedElsewhere) > 0 {
			t.Errorf("alone: %v lent, %v elsewhere", h.inheritedCalls, h.ownedElsewhere)
		}
	})
}

// What is over elsewhere before the module heard of it takes no slot from what comes later.
func TestAdoptedAndOverElsewhere(t *testing.T) {
	w := startEnv(t, answerOK)
	w.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	var all []*memory.Message
	var ids []string
	most := w.host.settings.MaxConcurrentCalls * w.host.kindSettings["broker"].MaxBatch
	for n := range uint32(most) {
		m := &memory.Message{Number: 70 + n, ID: fmt.Sprint("over-", n), Class: "alert", Dest: 7, Body: []byte("b"), Deadline: time.Now().Add(time.Minute)}
		all, ids = append(all, m), append(ids, m.ID)
	}
	<-w.host.Adopt(Transfer{Messages: all})
	<-w.host.Adopt(Transfer{CompletedIDs: ids})
	<-w.host.Adopt(Transfer{LastProcess: true})
	w.host.Activate()
	if got := w.post(requestText("alert", "a", "", "b", 4000)); got != 202 {
		t.Fatalf("answered %d", got)
	}
	w.waitUntil("the call", func() bool { return len(w.calls) > 0 })
	w.waitEmpty()
	w.Lock()
	defer w.Unlock()
	if !slices.Equal(w.calls, []string{"a"}) {
		t.Errorf("called %v", w.calls)
	}
}

// A process that hands over gives what is not out, then what it still takes on and what its calls leave undone, and makes no further step.
func TestGivesAllThatIsLeft(t *testing.T) {
	release := make(chan struct{})
	w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; rw.WriteHeader(500) })
	var mu sync.Mutex
	var given []*memory.Message
	var news []*handover.Update
	give := func(b []byte) error {
		msgs, text, err := journal.DecodeTransfer(b, clock.Scale{})
		if err != nil {
			return err
		}
		n, err := handover.Decode(text)
		mu.Lock()
		defer mu.Unlock()
		given, news = append(given, msgs...), append(news, n)
		return err
	}
	w.post(requestText("order", "out", "Idempotency-Key: k\r\n", "b", 9000))
	w.waitUntil("the call", func() bool { return len(w.calls) == 1 })
	w.host.Do(func(h *Host) {
		h.endpoints["s-1"].backoff.extend(time.Minute)
		h.relay.ApplyRetryAfter(h.now(), "s-1", time.Minute)
	})
	w.post(requestText("alert", "held", "", "b", 4000))
	waitFor(t, "the host to hear that its client was told", func() (told bool) {
		w.host.Do(func(h *Host) { m := h.table.ByID("held"); told = m != nil && !m.Unanswered })
		return told
	})
	if err := w.host.HandOver(give, true, 1<<20); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	if n := news[0]; len(given) != 1 || given[0].ID != "held" || len(n.InFlightCalls) != 1 || !slices.Equal(n.OwnedIDs, []string{"out"}) || !n.Drained ||
		len(n.RetryAfters) != 1 || len(n.EndpointList.Endpoints) != 1 || n.EndpointList.Generation != 1 {
		t.Errorf("first: %v, %+v", given, n)
	}
	mu.Unlock()
	if got := w.post(requestText("fee", "more", "", "b", 9000)); got != 202 {
		t.Errorf("still taken on: %d", got)
	}
	close(release)
	w.host.TransferRemaining(transferOverheadBytes) // no room for its body: it waits
	mu.Lock()
	if len(given) != 1 {
		t.Errorf("given into no room: %v", given)
	}
	mu.Unlock()
	waitFor(t, "the rest", func() bool {
		w.host.TransferRemaining(1 << 20)
		mu.Lock()
		defer mu.Unlock()
		return len(given) == 3 && len(news[len(news)-1].InFlightCalls) == 0
	})
	w.waitEmpty()
	mu.Lock()
	defer mu.Unlock()
	if i := slices.IndexFunc(given, func(m *memory.Message) bool { return m.ID == "out" }); i < 0 || given[i].Attempts != 1 || given[i].MayHaveRunSince.IsZero() {
		t.Errorf("what its call left undone: %+v", given)
	}
	if w.Lock(); len(w.calls) != 1 || len(w.notifications) > 0 {
		t.Errorf("calls %v, notices %v", w.calls, w.notifications)
	}
	w.Unlock()
}

// What a relay has learned of a line is known to the next one, by age: its slot, its outage, its wait.
func TestLearnedPassesOn(t *testing.T) {
	set := testSettings()
	old, _ := policy.New(set, 1)
	list := []policy.Endpoint{{Address: "e", Destination: 7, Kind: "small"}}
	old.Step(time.Second, []policy.Event{policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: list}, policy.Submitted{ID: 1, Class: "order", Destination: 7, TimeLeft: 20 * time.Second}})
	old.Step(2*time.Second, []policy.Event{policy.AttemptEnded{ID: 1, Endpoint: "e", Outcome: policy.Rejected, RetryAfter: 2 * time.Second}})
	learned := old.ExportState(2500 * time.Millisecond)
	if l := learned.Routes; len(l) != 1 || l[0].RetryAfter < 1500*time.Millisecond || l[0].SinceCall != 1500*time.Millisecond {
		t.Fatalf("%+v", learned)
	}
	next, _ := policy.New(set, 2)
	next.ImportState(time.Hour, list, learned)
	acts := next.Step(time.Hour, []policy.Event{policy.Submitted{ID: 1, Class: "order", Destination: 7, TimeLeft: 20 * time.Second}})
	if slices.ContainsFunc(acts, func(a policy.Action) bool { _, sent := a.(policy.Send); return sent }) {
		t.Errorf("sent while the wait ran: %v", acts)
	}
	acts = next.Step(time.Hour+5*time.Second, []policy.Event{policy.TimerFired{}})
	if !slices.ContainsFunc(acts, func(a policy.Action) bool { _, sent := a.(policy.Send); return sent }) {
		t.Errorf("not sent after it: %v", acts)
	}
}

// Calls that the process before has out hold slots and their destination's share, until it is told that they ended; its pace goes on, so that what was
// taken over is not handed back for want of one.
func TestLentCallsHoldSlots(t *testing.T) {
	set := testSettings() // four slots, three for a destination
	r, _ := policy.New(set, 1)
	list := []policy.Endpoint{{Address: "e", Destination: 7, Kind: "small"}, {Address: "f", Destination: 8, Kind: "small"}}
	r.ImportState(time.Second, list, policy.LearnedState{CompletionRate: 20, Shortage: time.Second})
	if got := r.ExportState(time.Second); got.CompletionRate != 20 || got.Shortage != time.Second {
		t.Errorf("%+v", got)
	}
	sends := func(now time.Duration, lent []policy.InheritedCall, events ...policy.Event) (to []string) {
		r.SetInheritedCalls(now, lent)
		for _, a := range r.Step(now, events) {
			if s, ok := a.(policy.Send); ok {
				to = append(to, s.Endpoint)
			}
		}
		return to
	}
	msg := func(id uint32, dest int) policy.Event {
		return policy.Submitted{ID: id, Class: "order", Destination: dest, TimeLeft: 20 * time.Second}
	}
	three := []policy.InheritedCall{{Endpoint: "e"}, {Endpoint: "e"}, {Endpoint: "e"}, {Endpoint: "gone"}}
	if to := sends(2*time.Second, three, msg(1, 7), msg(2, 8), msg(3, 8)); !slices.Equal(to, []string{"f"}) {
		t.Errorf("with three lent: %v", to)
	}
	if to := sends(3*time.Second, three[:2], policy.TimerFired{}); !slices.Equal(to, []string{"e"}) {
		t.Errorf("with two lent: %v", to)
	}
	if to := sends(4*time.Second, nil, policy.TimerFired{}); !slices.Equal(to, []string{"f"}) {
		t.Errorf("with none: %v", to)
	}
}

// Where the first file has no room, what is out then and ends meanwhile is given once: a file that names a message twice can't be read.
func TestGivenOnceWhereRoomIsShort(t *testing.T) {
	release := make(chan struct{})
	w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; rw.WriteHeader(500) })
	ids := map[string]int{}
	give := func(b []byte) error {
		msgs, _, err := journal.DecodeTransfer(b, clock.Scale{})
		for _, m := range msgs {
			ids[m.ID]++ // on the host's goroutine
		}
		return err
	}
	var before uint32 // a number ahead of the message whose call is out
	w.host.Do(func(h *Host) { before = h.table.NextNumber() })
	w.post(requestText("order", "out", "Idempotency-Key: k\r\n", "b", 9000))
	w.waitUntil("the call", func() bool { return len(w.calls) == 1 })
	w.host.Do(func(h *Host) {
		h.journal.AppendTransferred(h.table, &memory.Message{Number: before, ID: "held", Class: "alert", Dest: 7, Body: []byte("b"), Deadline: time.Now().Add(time.Minute)})
	})
	if err := w.host.HandOver(give, false, 0); err != nil {
		t.Fatal(err)
	}
	close(release)
	waitFor(t, "the call's end", func() (ended bool) { w.host.Do(func(h *Host) { ended = len(h.calls) == 0 }); return ended })
	w.host.TransferRemaining(1 << 20)
	w.waitEmpty()
	w.host.Do(func(*Host) {
		if len(ids) != 2 || ids["out"] != 1 || ids["held"] != 1 {
			t.Errorf("given %v", ids)
		}
	})
}
