package wire

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// An adopted message is run once, by its most recent copy. Inherited calls, Retry-After times and
// known ids are respected.
func TestAdoptOnce(t *testing.T) {
	var firstCallAt time.Time
	var env *testEnv
	env = startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		env.Lock()
		if firstCallAt.IsZero() {
			firstCallAt = time.Now()
		}
		env.Unlock()
		answerOK(rw, r, body)
	})
	env.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	until := time.Now().Add(200 * time.Millisecond)
	msg := func(class, id string, attempts int, mayHaveRunSince time.Time) *memory.Message {
		return &memory.Message{Number: 77, ID: id, Class: class, IdempotencyKey: "k", Dest: 7, Body: []byte("b"),
			Deadline: time.Now().Add(4 * time.Second), Attempts: attempts, MayHaveRunSince: mayHaveRunSince}
	}
	inherited := []policy.InheritedCall{{Endpoint: "s-1"}, {Endpoint: "s-1"}, {Endpoint: "s-1"}}
	<-env.host.Adopt(Transfer{CompletedIDs: []string{"over"}})
	<-env.host.Adopt(Transfer{Messages: []*memory.Message{msg("alert", "a", 0, time.Time{}),
		msg("fee", "f", 0, time.Time{}), msg("alert", "over", 0, time.Time{})},
		Update: &handover.Update{InFlightCalls: inherited, OwnedIDs: []string{"there"},
			RetryAfters: []handover.RetryAfter{{Endpoint: "s-1", Dest: 7, Until: until}}}})
	<-env.host.Adopt(Transfer{Messages: []*memory.Message{msg("fee", "f", 1, time.Now()),
		msg("alert", "a", 0, time.Time{})}})
	if got := env.post(requestText("alert", "there", "", "b", 4000)); got != 202 {
		t.Errorf("a message that the other process keeps was answered %d", got)
	}
	env.host.Do(func(h *Host) {
		if len(h.inheritedCalls) != 3 || h.table.PendingCount() != 2 {
			t.Errorf("%v inherited, %d pending", h.inheritedCalls, h.table.PendingCount())
		}
	})
	// A newer endpoint list of the other process is taken over, an older one is not.
	for _, c := range []struct {
		generation int64
		state      policy.EndpointState
		want       policy.EndpointState
	}{{0, policy.Draining, policy.Listed}, {9, policy.Draining, policy.Draining}, {10, policy.Listed, policy.Listed}} {
		<-env.host.Adopt(Transfer{Update: &handover.Update{InFlightCalls: inherited[:1],
			EndpointList: &handover.EndpointList{Generation: c.generation, Endpoints: []handover.ListedEndpoint{
				{Endpoint: policy.Endpoint{Address: "s-1", Destination: 7, Kind: "broker", Zone: "z", State: c.state},
					HostPort: env.endpoint.Listener.Addr().String()}}}}})
		env.host.Do(func(h *Host) {
			if got := policy.EndpointState(h.endpoints["s-1"].state.Load()); got != c.want {
				t.Errorf("list of generation %d: state %v, want %v", c.generation, got, c.want)
			}
		})
	}
	env.host.Activate()
	env.waitUntil("the notification", func() bool { return len(env.notifications) > 0 })
	env.waitEmpty()
	env.Lock()
	if !slices.Equal(env.calls, []string{"a"}) || firstCallAt.Before(until) {
		t.Errorf("called %v, %v before the Retry-After passed", env.calls, until.Sub(firstCallAt))
	}
	env.Unlock()
	<-env.host.Adopt(Transfer{LastProcess: true})
	env.host.Do(func(h *Host) {
		if len(h.inheritedCalls) > 0 || len(h.ownedElsewhere) > 0 {
			t.Errorf("last process: %v inherited, %v owned elsewhere", h.inheritedCalls, h.ownedElsewhere)
		}
	})
}

// A message completed elsewhere before the policy engine received it does not count towards the
// limits.
func TestAdoptedAndCompletedElsewhere(t *testing.T) {
	env := startEnv(t, answerOK)
	env.host.Do(func(h *Host) { h.standby, h.stepsStopped = true, true })
	var all []*memory.Message
	var ids []string
	limit := env.host.settings.MaxConcurrentCalls * env.host.kindSettings["broker"].MaxBatch
	for n := range uint32(limit) {
		m := &memory.Message{Number: 70 + n, ID: fmt.Sprint("over-", n), Class: "alert", Dest: 7, Body: []byte("b"),
			Deadline: time.Now().Add(time.Minute)}
		all, ids = append(all, m), append(ids, m.ID)
	}
	<-env.host.Adopt(Transfer{Messages: all})
	<-env.host.Adopt(Transfer{CompletedIDs: ids})
	<-env.host.Adopt(Transfer{LastProcess: true})
	env.host.Activate()
	if got := env.post(requestText("alert", "a", "", "b", 4000)); got != 202 {
		t.Fatalf("answered %d", got)
	}
	env.waitUntil("the call", func() bool { return len(env.calls) > 0 })
	env.waitEmpty()
	env.Lock()
	defer env.Unlock()
	if !slices.Equal(env.calls, []string{"a"}) {
		t.Errorf("called %v", env.calls)
	}
}

// A process that hands over transfers what is not in flight, then what it accepts later and what
// its calls leave unfinished, and makes no further attempt.
func TestTransfersAllPending(t *testing.T) {
	release := make(chan struct{})
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; rw.WriteHeader(500) })
	var mu sync.Mutex
	var transferred []*memory.Message
	var updates []*handover.Update
	send := func(b []byte) error {
		msgs, text, err := journal.DecodeTransfer(b, clock.Scale{})
		if err != nil {
			return err
		}
		n, err := handover.Decode(text)
		mu.Lock()
		defer mu.Unlock()
		transferred, updates = append(transferred, msgs...), append(updates, n)
		return err
	}
	env.post(requestText("order", "out", "Idempotency-Key: k\r\n", "b", 9000))
	env.waitUntil("the call", func() bool { return len(env.calls) == 1 })
	env.host.Do(func(h *Host) {
		h.endpoints["s-1"].backoff.extend(time.Minute)
		h.relay.ApplyRetryAfter(h.now(), "s-1", time.Minute)
	})
	env.post(requestText("alert", "held", "", "b", 4000))
	waitFor(t, "the host to learn that its client was answered", func() (answered bool) {
		env.host.Do(func(h *Host) { m := h.table.ByID("held"); answered = m != nil && !m.Unanswered })
		return answered
	})
	if err := env.handOver(send, true, 1<<20); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	if n := updates[0]; len(transferred) != 1 || transferred[0].ID != "held" || len(n.InFlightCalls) != 1 ||
		!slices.Equal(n.OwnedIDs, []string{"out"}) || !*n.Drained ||
		len(n.RetryAfters) != 1 || len(n.EndpointList.Endpoints) != 1 || n.EndpointList.Generation != 1 {
		t.Errorf("first file: %v, %+v", transferred, n)
	}
	mu.Unlock()
	if got := env.post(requestText("fee", "more", "", "b", 9000)); got != 202 {
		t.Errorf("submitted after the handover: answered %d", got)
	}
	close(release)
	full := LeavingUse{Disk: share.DiskUse{Limit: testDiskLimit, Spooled: testDiskLimit}, ClientConns: testClientConns}
	env.host.TransferRemaining(full, true)
	mu.Lock()
	if len(transferred) != 1 {
		t.Errorf("transferred without capacity: %v", transferred)
	}
	mu.Unlock()
	waitFor(t, "the other messages", func() bool {
		env.transferRemaining()
		mu.Lock()
		defer mu.Unlock()
		return len(transferred) == 3 && len(updates[len(updates)-1].InFlightCalls) == 0
	})
	env.waitEmpty()
	mu.Lock()
	defer mu.Unlock()
	if i := slices.IndexFunc(transferred, func(m *memory.Message) bool { return m.ID == "out" }); i < 0 ||
		transferred[i].Attempts != 1 || transferred[i].MayHaveRunSince.IsZero() {
		t.Errorf("unfinished after its call: %+v", transferred)
	}
	if env.Lock(); len(env.calls) != 1 || len(env.notifications) > 0 {
		t.Errorf("calls %v, notifications %v", env.calls, env.notifications)
	}
	env.Unlock()
}

// The next process inherits what was learned of a route: its pacing interval, outage and
// Retry-After.
func TestInheritedPolicyState(t *testing.T) {
	set := testSettings()
	old, _ := policy.New(set, 1)
	list := []policy.Endpoint{{Address: "e", Destination: 7, Kind: "small"}}
	old.Step(time.Second, []policy.Event{policy.EndpointListUpdate{Kind: policy.ListSnapshot, Entries: list},
		policy.Submitted{ID: 1, Class: "order", Destination: 7, TimeLeft: 20 * time.Second}})
	old.Step(2*time.Second, []policy.Event{policy.AttemptEnded{ID: 1, Endpoint: "e", Outcome: policy.Rejected,
		RetryAfter: 2 * time.Second}})
	state := old.ExportState(2500 * time.Millisecond)
	if l := state.Routes; len(l) != 1 || l[0].RetryAfter < 1500*time.Millisecond ||
		l[0].SinceCall != 1500*time.Millisecond {
		t.Fatalf("%+v", state)
	}
	next, _ := policy.New(set, 2)
	next.ImportState(time.Hour, list, state)
	actions := next.Step(time.Hour, []policy.Event{policy.Submitted{ID: 1, Class: "order", Destination: 7,
		TimeLeft: 20 * time.Second}})
	if slices.ContainsFunc(actions, func(a policy.Action) bool { _, sent := a.(policy.Send); return sent }) {
		t.Errorf("sent before the Retry-After passed: %v", actions)
	}
	actions = next.Step(time.Hour+5*time.Second, []policy.Event{policy.TimerFired{}})
	if !slices.ContainsFunc(actions, func(a policy.Action) bool { _, sent := a.(policy.Send); return sent }) {
		t.Errorf("not sent after the Retry-After: %v", actions)
	}
}

// The previous process's calls in flight count towards the concurrency limits until they end, and
// its rate is inherited, so that adopted messages are not returned for lack of one.
func TestInheritedCallsCountTowardsLimits(t *testing.T) {
	set := testSettings() // four concurrent calls, three for a destination
	r, _ := policy.New(set, 1)
	list := []policy.Endpoint{{Address: "e", Destination: 7, Kind: "small"},
		{Address: "f", Destination: 8, Kind: "small"}}
	r.ImportState(time.Second, list, policy.LearnedState{CompletionRate: 20, Shortage: time.Second})
	if got := r.ExportState(time.Second); got.CompletionRate != 20 || got.Shortage != time.Second {
		t.Errorf("%+v", got)
	}
	sends := func(now time.Duration, inherited []policy.InheritedCall, events ...policy.Event) (to []string) {
		r.SetInheritedCalls(now, inherited)
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
		t.Errorf("with three inherited calls: %v", to)
	}
	if to := sends(3*time.Second, three[:2], policy.TimerFired{}); !slices.Equal(to, []string{"e"}) {
		t.Errorf("with two inherited calls: %v", to)
	}
	if to := sends(4*time.Second, nil, policy.TimerFired{}); !slices.Equal(to, []string{"f"}) {
		t.Errorf("with no inherited calls: %v", to)
	}
}

// A message that was in flight during a handover without capacity is transferred once; a file that
// names a message twice cannot be read.
func TestInFlightMessageIsTransferredOnce(t *testing.T) {
	release := make(chan struct{})
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; rw.WriteHeader(500) })
	ids := map[string]int{}
	send := func(b []byte) error {
		msgs, _, err := journal.DecodeTransfer(b, clock.Scale{})
		for _, m := range msgs {
			ids[m.ID]++ // on the host's goroutine
		}
		return err
	}
	var before uint32 // precedes the number of the message in flight
	env.host.Do(func(h *Host) { before = h.table.NextNumber() })
	env.post(requestText("order", "out", "Idempotency-Key: k\r\n", "b", 9000))
	env.waitUntil("the call", func() bool { return len(env.calls) == 1 })
	env.host.Do(func(h *Host) {
		h.journal.AppendTransferred(h.table, &memory.Message{Number: before, ID: "held", Class: "alert", Dest: 7,
			Body: []byte("b"), Deadline: time.Now().Add(time.Minute)})
	})
	if err := env.handOver(send, false, 0); err != nil {
		t.Fatal(err)
	}
	close(release)
	waitFor(t, "the call's end", func() (ended bool) {
		env.host.Do(func(h *Host) { ended = len(h.calls) == 0 })
		return ended
	})
	env.transferRemaining()
	env.waitEmpty()
	env.host.Do(func(*Host) {
		if len(ids) != 2 || ids["out"] != 1 || ids["held"] != 1 {
			t.Errorf("transferred %v", ids)
		}
	})
}

// Guards against a folder over its limit after SIGHUP: a reload gave the journal the whole limit,
// of which other files and other processes take their part.
func TestReloadKeepsJournalShare(t *testing.T) {
	env := startEnv(t, answerOK)
	env.host.SetJournalBudget(1 << 20)
	settings := env.host.settings
	if err := env.host.Reload(HostConfig{Settings: settings, ConnectTimeout: time.Second, MaxIdleConns: 8},
		env.platform.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	env.host.Do(func(h *Host) {
		if budget := h.journal.SpaceUse().Budget; budget != 1<<20 {
			t.Errorf("the journal may use %d bytes, want %d", budget, 1<<20)
		}
	})
}

// Guards against a data race that the race detector reports: a process that hands over marks the
// messages of its calls while their connections write the requests.
func TestHandOverWhileRequestIsWritten(t *testing.T) {
	env := startEnv(t, answerOK)
	cl := &call{endpoint: &endpoint{id: "s-1"}, items: []callItem{{id: "a", tooLate: true}, {id: "b", body: []byte("body")}}}
	env.host.Do(func(h *Host) { h.calls[cl] = struct{}{} })
	var writing sync.WaitGroup
	writing.Go(func() {
		for range 100 {
			if request := string(appendRequest(nil, cl, time.Second)); !strings.Contains(request, "X-Correlation-Id: b\r\n") {
				t.Errorf("request %q", request)
			}
		}
	})
	if err := env.handOver(func([]byte) error { return nil }, false, 0); err != nil {
		t.Fatal(err)
	}
	writing.Wait()
	env.host.Do(func(h *Host) { delete(h.calls, cl) })
}

// Guards against a new process that holds as many messages as the relay may while the one before
// still holds some.
func TestSuccessorLeavesPendingToPredecessor(t *testing.T) {
	env := startEnv(t, answerOK)
	env.block()
	limit := testSettings().MaxPending
	env.host.SetPendingElsewhere(limit - 2)
	for n, want := range []int{202, 202, 503} {
		if got := env.post(requestText("fee", fmt.Sprint("m", n), "", "b", 19000)); got != want {
			t.Errorf("message %d was answered %d, want %d", n, got, want)
		}
	}
	env.host.SetPendingElsewhere(0)
	if got := env.post(requestText("fee", "later", "", "b", 19000)); got != 202 {
		t.Errorf("answered %d after the process before has left", got)
	}
}
