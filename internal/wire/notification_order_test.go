package wire

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// The next message of an ordering key is sent only after the platform has acknowledged the earlier
// one's notification.
func TestNextMessageWaitsForNotification(t *testing.T) {
	for name, status := range map[string]int{"given up by the policy engine": 500, "completed by the endpoint": 410} {
		t.Run(name, func(t *testing.T) {
			asked, answer := make(chan struct{}, 9), make(chan struct{})
			env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
				if r.Header.Get("X-Correlation-Id") == "a" {
					rw.WriteHeader(status)
				}
			})
			env.orderAllClasses()
			env.Lock()
			env.beforeNotificationAnswer = func() { asked <- struct{}{}; <-answer }
			env.Unlock()
			env.host.Do(func(h *Host) { h.stepsStopped = true }) // both arrive before the first step
			for _, id := range []string{"a", "b"} {
				if got := env.post(orderedRequest(id)); got != 202 {
					t.Fatalf("answered %d", got)
				}
			}
			env.host.Do(func(h *Host) { h.stepsStopped = false })
			<-asked
			waitFor(t, "the policy engine to send b", func() bool { n, _ := env.attempts("b"); return n == 1 })
			env.host.Do(func(h *Host) {
				if len(h.callsAwaitingNotification) != 1 {
					t.Errorf("%d calls wait for the notification", len(h.callsAwaitingNotification))
				}
			})
			env.Lock()
			if slices.Contains(env.calls, "b") {
				t.Error("b was called before a's notification was acknowledged")
			}
			env.Unlock()
			close(answer)
			env.waitUntil("the call of b", func() bool { return slices.Contains(env.calls, "b") })
			env.waitEmpty()
		})
	}
}

// A call that times out while it waits for a notification ends as unsent.
func TestWaitingCallEndsUnsent(t *testing.T) {
	h := newTestHost(t)
	h.pendingEvents = nil
	a, b := h.addMessage("a", 7, 1), h.addMessage("b", 7, 1)
	a.OrderingKey, b.OrderingKey = "s", "s"
	h.completeByNotification(a.Number, memory.Notification{})
	calls := h.planSend(0, time.Now(), policy.Send{ID: b.Number, Endpoint: "s-1", Timeout: time.Second},
		map[string]*call{}, nil)
	h.registerCall(calls[0])
	if len(h.callsAwaitingNotification) != 1 || len(h.uncommittedCalls) != 0 {
		t.Fatalf("%d calls waiting, %d started", len(h.callsAwaitingNotification), len(h.uncommittedCalls))
	}
	h.startUnblockedCalls(time.Second - 1)
	if len(h.callsAwaitingNotification) != 1 || len(h.pendingEvents) != 0 {
		t.Fatalf("before its timeout: %d calls waiting, %v", len(h.callsAwaitingNotification), h.pendingEvents)
	}
	h.startUnblockedCalls(time.Second)
	if e, ok := h.pendingEvents[0].(policy.AttemptEnded); len(h.callsAwaitingNotification) != 0 || len(h.calls) != 0 ||
		!ok || e.Outcome != policy.Unsent || b.InFlight != nil {
		t.Errorf("%d calls waiting, %d in flight, %+v", len(h.callsAwaitingNotification), len(h.calls), h.pendingEvents)
	}
}

// A recovered notification holds later messages of its ordering key, but no earlier ones and no
// other key's.
func TestRecoveredNotificationHoldsNext(t *testing.T) {
	h := newTestHost(t)
	before, a, b, other := h.addMessage("before", 7, 1), h.addMessage("a", 7, 1), h.addMessage("b", 7, 1),
		h.addMessage("other", 7, 1)
	before.OrderingKey, a.OrderingKey, b.OrderingKey, other.OrderingKey = "s", "s", "s", "t"
	h.table.MarkUndelivered(a, memory.Notification{})
	h.restore(false)
	if !h.blockedByNotification(b) || h.blockedByNotification(before) || h.blockedByNotification(other) {
		t.Error("the wrong messages wait")
	}
	h.complete(a)
	if h.blockedByNotification(b) || len(h.unansweredNotifications) > 0 {
		t.Error("it waits for an acknowledged notification")
	}
}

// A waiting call joins no batch and counts towards the concurrency limit.
func TestWaitingCallJoinsNoBatch(t *testing.T) {
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
	if calls = h.planSend(0, time.Now(), policy.Send{ID: b.Number, Endpoint: "s-1", Timeout: time.Second}, open,
		nil); len(calls) > 0 || len(h.pendingEvents) != 1 {
		t.Errorf("%d calls over the concurrency limit, %v", len(calls), h.pendingEvents)
	}
}
