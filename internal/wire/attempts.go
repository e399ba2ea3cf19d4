package wire

import (
	"context"
	"encoding/base64"
	"log/slog"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin/limits"
	"oatfold/policy"
)

// This file turns what the module decides to send into calls, and their ends into what the module is told.

// planSend adds a message to the call that the step makes to its endpoint, up to the kind's batch. What can't be
// sent ends as unsent, with the next step.
func (h *Host) planSend(now policy.Time, wall time.Time, a policy.Send, open map[string]*call, calls []*call) []*call {
	m, ep := h.table.Get(a.ID), h.endpoints[a.Endpoint]
	if m == nil {
		return calls
	}
	if ep == nil || ep.dest != m.Dest || m.InFlight != nil || m.Notification != nil {
		// Guards against a call to an endpoint of another destination or a second copy, whatever the module says.
		h.log.Error("send not made", "message", m.ID, "endpoint", a.Endpoint)
		h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{ID: m.Number, Attempt: m.Attempts, Endpoint: a.Endpoint, Outcome: policy.Unsent})
		m.Attempts++
		return calls
	}
	cl, apart := open[a.Endpoint], h.blockedByNotification(m)
	tooLong := cl != nil && len(cl.items) < h.kindSettings[h.destKinds[m.Dest]].MaxBatch && cl.batchSize+maxItemSize(m.ID, m.IdempotencyKey, m.BodySize()) > maxBody
	if tooLong || apart || cl == nil && h.anyAwaitsNotification(calls, ep) {
		// Guards against a batch whose body is longer than any body may be, or all of which waits for one message's notice: it takes a
		// slot of its own, if there is one.
		if cl = nil; len(h.calls)+len(h.inheritedCalls)+len(calls) >= h.settings.MaxConcurrentCalls {
			h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{ID: m.Number, Attempt: m.Attempts, Endpoint: a.Endpoint, Outcome: policy.Unsent})
			m.Attempts++
			return calls
		}
	}
	if cl == nil || len(cl.items) >= max(1, h.kindSettings[h.destKinds[m.Dest]].MaxBatch) {
		cl = &call{endpoint: ep, kind: h.destKinds[m.Dest], startedAt: now}
		if calls = append(calls, cl); !apart {
			open[a.Endpoint] = cl
		}
	}
	m.InFlight = &memory.Attempt{Number: m.Attempts, StartedAt: wall}
	m.Attempts++
	// Guards against a message whose time is up while a more patient one keeps the call out, however short its own
	// time-out was.
	it := callItem{num: m.Number, attempt: m.InFlight.Number, id: m.ID, key: m.IdempotencyKey, class: m.Class, pluginNotes: m.PluginNotes, body: m.Body, loadBody: h.bodyLoader(m), expiresAt: now + m.Deadline.Sub(wall), writeBy: h.writeDeadline(m)}
	// A batch lasts as long as its most patient message: to end one earlier would leave a live call behind it.
	if cl.timeout = max(cl.timeout, a.Timeout); h.strictestEffect(m) == policy.Unsafe {
		cl.lastByteDelay = lastByteDelay
	}
	cl.items, cl.batchSize = append(cl.items, it), cl.batchSize+maxItemSize(m.ID, m.IdempotencyKey, m.BodySize())
	return calls
}

// writeDeadline is when m may be written at the latest. Guards against a repeat that the module sent within the partner's window, and that was dialled until after it: the partner would
// run it a second time.
func (h *Host) writeDeadline(m *memory.Message) time.Time {
	if w := h.repeatWindow(m); w > 0 && !m.MayHaveRunSince.IsZero() {
		return earlier(m.Deadline, m.MayHaveRunSince.Add(w))
	}
	return m.Deadline
}

// strictestEffect is the stricter one of what m was taken on under and what its class has now.
func (h *Host) strictestEffect(m *memory.Message) policy.Effect {
	return max(m.Effect, h.classes[m.Class].Effect)
}

// repeatWindow is for how long a partner can be counted on to drop repeats of m; 0: no such bound.
func (h *Host) repeatWindow(m *memory.Message) time.Duration {
	was, now := m.RepeatWindow, h.classes[m.Class].RepeatWindow
	switch {
	case m.Effect != policy.Keyed && h.classes[m.Class].Effect != policy.Keyed:
		return 0
	case m.Effect != policy.Keyed:
		return now
	case h.classes[m.Class].Effect != policy.Keyed:
		return was
	}
	return min(was, now)
}

// bodyLoader reads the body of m again on the goroutine of its route step; nil where it is in memory.
func (h *Host) bodyLoader(m *memory.Message) func() ([]byte, error) {
	if m.SpilledBytes == 0 {
		return nil
	}
	return h.journal.BodyLoader(m)
}

// maxItemSize bounds what a message with a body of so many bytes adds to a batch's body.
func maxItemSize(id, key string, body int) int {
	return base64.StdEncoding.EncodedLen(body) + 6*(len(id)+len(key)) + len(`{"id":"","key":"","body":""},[]`)
}

// itemExpiry is an item that may have to end while its call goes on.
type itemExpiry struct {
	item      *callItem
	endpoint  *endpoint
	startedAt policy.Time
}

// registerCall books the call, which is made once it is in the journal.
func (h *Host) registerCall(cl *call) {
	for i := range cl.items {
		if it := &cl.items[i]; it.expiresAt >= cl.startedAt+cl.timeout-h.settings.Tick {
			// Guards against telling the module of a free slot while the connection still holds it: where the
			// call itself lasts no longer, its end will tell.
			continue
		} else if it.expiresAt > 0 {
			it.expiry = h.expiries.Push(it.expiresAt, itemExpiry{it, cl.endpoint, cl.startedAt})
		}
	}
	h.calls[cl] = struct{}{}
	if h.awaitsNotification(cl) {
		h.callsAwaitingNotification = append(h.callsAwaitingNotification, cl)
		return
	}
	h.uncommittedCalls = append(h.uncommittedCalls, cl)
}

// dispatch gives a call that is recorded to a connection.
func (h *Host) dispatch(cl *call) {
	// Guards against a call that outlasts its messages by what the journal took: its time runs from the module's step.
	cl.deadline = h.startedAt.Add(cl.startedAt + cl.timeout)
	c := h.takeIdleConn(cl.endpoint)
	if c == nil {
		c = &endpointConn{endpoint: cl.endpoint, calls: make(chan *call, 1), dialTimeout: h.dialTimeout, lateListeners: &h.lateListeners, shutdown: &h.shutdownStage, plugins: h.plugins, metrics: h.metrics}
		go c.run(h.events)
	}
	c.calls <- cl
}

// handleCallResult tells the module how each message of a call ended.
func (h *Host) handleCallResult(e callResult) {
	now := h.now()
	delete(h.calls, e.call)
	h.reportCallToFleet(e)
	h.recordSiteResult(e, now)
	h.applyRetryAfter(e.call.endpoint, e.retryAfter)
	if !h.loadReports {
		e.report = nil // Guards against figures where the settings have none
	}
	if e.conn != nil && e.reusable {
		e.conn.lastUsed = time.Now()
		if e.conn.endpoint.removed() || h.sendToSuccessor != nil {
			close(e.conn.calls)
		} else {
			e.conn.endpoint.idle = append(e.conn.endpoint.idle, e.conn)
			e.conn.idleNode = h.idleConns.Push(e.conn)
			h.limitIdleConns()
		}
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("route step", "endpoint", e.call.endpoint.id, "dest", e.call.endpoint.dest, "messages", e.call.ids(),
			"after", now-e.call.startedAt, "wait", e.retryAfter, "ends", e.results, "out", len(h.calls), "held", h.table.PendingCount(), "err", e.err)
	}
	for i := range e.call.items {
		h.expiries.Remove(e.call.items[i].expiry)
		h.handleItemResult(&e.call.items[i], e, e.results[i], now)
	}
}

func (h *Host) handleItemResult(it *callItem, e callResult, r itemResult, now policy.Time) {
	m := h.table.Get(it.num)
	if m != nil && m.InFlight != nil && m.InFlight.Number == it.attempt {
		began := m.InFlight.StartedAt
		m.InFlight = nil
		switch r.outcome {
		case policy.Delivered:
		case policy.Rejected, policy.ConnectFailed, policy.RequestIncomplete, policy.Unsent:
			// Guards against a proof for a step that is not in the journal: it would count for the one before.
			if !e.call.unrecorded {
				h.journal.AppendNotRun(m)
			}
		default:
			if m.MayHaveRunSince.IsZero() {
				m.MayHaveRunSince = began
			}
		}
		if r.outcome == policy.Delivered && m.Notification == nil {
			h.metrics.CountCompleted(m.Class, metrics.Delivered)
			h.complete(m)
		} else if r.final {
			// Guards against a client that went away as its 202 was written: the endpoint says that the message is over, and the
			// platform may still count it as taken on. A notice of what is over does no harm.
			h.completeByNotification(m.Number, memory.Notification{})
		} else if r.pluginFailure != nil {
			h.completeByNotification(m.Number, h.failureNotification(r.pluginFailure.FailureAction, m))
		}
	}
	if it.resubmit && m != nil && m.Notification == nil && h.table.Get(it.num) != nil {
		h.arrivals = append(h.arrivals, m)
	}
	if it.reported {
		return
	}
	it.reported = true
	h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{ID: it.num, Attempt: it.attempt, Endpoint: e.call.endpoint.id,
		Outcome: r.outcome, Duration: now - e.call.startedAt, Final: r.outcome == policy.Delivered || r.final || r.pluginFailure != nil,
		RetryAfter: e.retryAfter, Report: e.report})
}

// failureNotification is the notice of a message that a plug-in failed before it went out. Guards against handing back, as if it
// had never run, what an earlier step may have run: its client would hand it in again.
func (h *Host) failureNotification(t limits.FailureAction, m *memory.Message) memory.Notification {
	n := memory.Notification{Returned: t == limits.Refuse && (m.MayHaveRunSince.IsZero() || h.strictestEffect(m) == policy.Safe)}
	if n.Returned && h.settings.SendRetryAfter {
		n.RetryAfter = h.settings.MaxRetryAfter
	}
	return n
}

// expireItems ends messages whose own time is up while others keep their call out. The call goes on, without them if it is not written yet
// (call.inTime); should it still deliver, that does no harm. Guards against a notice that comes too late.
func (h *Host) expireItems(now policy.Time) {
	for e := h.expiries.First(); e != nil && now >= e.At(); e = h.expiries.First() {
		h.expiries.Remove(e)
		if it := e.Value.item; !it.reported {
			it.reported = true
			h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{ID: it.num, Attempt: it.attempt, Endpoint: e.Value.endpoint.id,
				Outcome: policy.TimedOut, Duration: now - e.Value.startedAt})
		}
	}
}
