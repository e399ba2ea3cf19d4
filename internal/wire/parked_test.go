package wire

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// A message is over once the platform has answered its notice: only then does the next one of its subject go out.
func TestNextWaitsForTheNotice(t *testing.T) {
	for name, status := range map[string]int{"given up by the module": 500, "over by the endpoint's word": 410} {
		t.Run(name, func(t *testing.T) {
			asked, answer := make(chan struct{}, 9), make(chan struct{})
			w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
				if r.Header.Get("X-Correlation-Id") == "a" {
					rw.WriteHeader(status)
				}
			})
			w.orderAllClasses()
			w.Lock()
			w.beforeNotificationAnswer = func() { asked <- struct{}{}; <-answer }
			w.Unlock()
			w.host.Do(func(h *Host) { h.stepsStopped = true }) // both are there before the first step
			for _, id := range []string{"a", "b"} {
				if got := w.post(orderedRequest(id)); got != 202 {
					t.Fatalf("answered %d", got)
				}
			}
			w.host.Do(func(h *Host) { h.stepsStopped = false })
			<-asked
			waitFor(t, "the module to let b go", func() bool { n, _ := w.attempts("b"); return n == 1 })
			w.host.Do(func(h *Host) {
				if len(h.callsAwaitingNotification) != 1 {
					t.Errorf("%d calls wait for the notice", len(h.callsAwaitingNotification))
				}
			})
			w.Lock()
			if slices.Contains(w.calls, "b") {
				t.Error("b was called while the notice of a was not answered")
			}
			w.Unlock()
			close(answer)
			w.waitUntil("the call of b", func() bool { return slices.Contains(w.calls, "b") })
			w.waitEmpty()
		})
	}
}

// A call whose time is up while it waits for a notice has not been sent.
func TestParkedCallEndsUnsent(t *testing.T) {
	h := newTestHost(t)
	h.pendingEvents = nil
	a, b := h.addMessage("a", 7, 1), h.addMessage("b", 7, 1)
	a.OrderingKey, b.OrderingKey = "s", "s"
	h.completeByNotification(a.Number, memory.Notification{})
	calls := h.planSend(0, time.Now(), policy.Send{ID: b.Number, Endpoint: "s-1", Timeout: time.Second}, map[string]*call{}, nil)
	h.registerCall(calls[0])
	if len(h.callsAwaitingNotification) != 1 || len(h.uncommittedCalls) != 0 {
		t.Fatalf("%d parked, %d begun", len(h.callsAwaitingNotification), len(h.uncommittedCalls))
	}
	h.startUnblockedCalls(time.Second - 1)
	if len(h.callsAwaitingNotification) != 1 || len(h.pendingEvents) != 0 {
		t.Fatalf("before its time: %d parked, %v", len(h.callsAwaitingNotification), h.pendingEvents)
	}
	h.startUnblockedCalls(time.Second)
	if e, ok := h.pendingEvents[0].(policy.AttemptEnded); len(h.callsAwaitingNotification) != 0 || len(h.calls) != 0 || !ok || e.Outcome != policy.Unsent || b.InFlight != nil {
		t.Errorf("%d parked, %d out, %+v", len(h.callsAwaitingNotification), len(h.calls), h.pendingEvents)
	}
}

// A notice that an earlier life owed holds the next message of its subject as well, and none of another or before it.
func TestRestoredNoticeHoldsTheNext(t *testing.T) {
	h := newTestHost(t)
	before, a, b, other := h.addMessage("before", 7, 1), h.addMessage("a", 7, 1), h.addMessage("b", 7, 1), h.addMessage("other", 7, 1)
	before.OrderingKey, a.OrderingKey, b.OrderingKey, other.OrderingKey = "s", "s", "s", "t"
	h.table.MarkUndelivered(a, memory.Notification{})
	h.restore(false)
	if !h.blockedByNotification(b) || h.blockedByNotification(before) || h.blockedByNotification(other) {
		t.Error("the wrong ones wait")
	}
	h.complete(a)
	if h.blockedByNotification(b) || len(h.unansweredNotifications) > 0 {
		t.Error("it waits for a notice that was answered")
	}
}

// What waits for a notice takes no batch with it, and no slot that is not there.
func TestParkedCallStandsApart(t *testing.T) {
	h := newTestHost(t)
	h.pendingEvents = nil
	a, b := h.addMessage("a", 7, 1), h.addMessage("b", 7, 1)
	a.OrderingKey, b.OrderingKey = "s", "s"
	h.completeByNotification(a.Number, memory.Notification{})
	open := map[string]*call{}
	var calls []*call
	for _, m := range []*memory.Message{h.addMessage("c", 7, 1), b, h.addMessage("d", 7, 1)} {
		calls = h.planSend(0, time.Now(), policy.Send{ID: m.Number, Endpoint: "s-1", Timeout: time.Second}, open, calls)
	}
	if len(calls) != 2 || len(calls[0].items) != 2 || calls[1].items[0].id != "b" {
		t.Errorf("%d calls", len(calls))
	}
	for len(h.calls) < h.settings.MaxConcurrentCalls {
		h.calls[&call{endpoint: calls[0].endpoint}] = struct{}{}
	}
	b.InFlight = nil
	if calls = h.planSend(0, time.Now(), policy.Send{ID: b.Number, Endpoint: "s-1", Timeout: time.Second}, open, nil); len(calls) > 0 || len(h.pendingEvents) != 1 {
		t.Errorf("%d calls without a slot, %v", len(calls), h.pendingEvents)
	}
}
