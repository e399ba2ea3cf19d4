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

// This file turns the sends of the policy engine into calls, and reports their results to it.

// planSend adds a message to the call that this step makes to its endpoint, up to the batch limit
// of the partner type. A message that cannot be sent is reported as unsent with the next step.
func (h *Host) planSend(now policy.Time, wall time.Time, send policy.Send, openCalls map[string]*call,
	calls []*call) []*call {
	m, ep := h.table.Get(send.ID), h.endpoints[send.Endpoint]
	if m == nil {
		return calls
	}
	if ep == nil || ep.dest != m.Dest || m.InFlight != nil || m.Notification != nil {
		// Never call an endpoint of another destination or send a second copy, whatever the policy
		// engine says.
		h.log.Error("policy engine requested an impossible send", "message", m.ID, "endpoint", send.Endpoint)
		h.pendingEvents = append(h.pendingEvents,
			policy.AttemptEnded{ID: m.Number, Attempt: m.Attempts, Endpoint: send.Endpoint, Outcome: policy.Unsent})
		m.Attempts++
		return calls
	}
	cl, separate := openCalls[send.Endpoint], h.blockedByNotification(m)
	tooLong := cl != nil && len(cl.items) < h.kindSettings[h.destKinds[m.Dest]].MaxBatch &&
		cl.batchSize+maxItemSize(m.ID, m.IdempotencyKey, m.BodySize()) > maxBody
	if tooLong || separate || cl == nil && h.anyAwaitsNotification(calls, ep) {
		// Start another call, within the concurrency limit, if the batch body would be too long or
		// if the whole batch would have to wait for one message's notification.
		if cl = nil; len(h.calls)+len(h.inheritedCalls)+len(calls) >= h.settings.MaxConcurrentCalls {
			h.pendingEvents = append(h.pendingEvents,
				policy.AttemptEnded{ID: m.Number, Attempt: m.Attempts, Endpoint: send.Endpoint, Outcome: policy.Unsent})
			m.Attempts++
			return calls
		}
	}
	if cl == nil || len(cl.items) >= max(1, h.kindSettings[h.destKinds[m.Dest]].MaxBatch) {
		cl = &call{endpoint: ep, kind: h.destKinds[m.Dest], startedAt: now}
		if calls = append(calls, cl); !separate {
			openCalls[send.Endpoint] = cl
		}
	}
	m.InFlight = &memory.Attempt{Number: m.Attempts, StartedAt: wall}
	m.Attempts++
	// expiresAt times the item out even if an item with a longer timeout keeps the call open.
	it := callItem{
		num:         m.Number,
		attempt:     m.InFlight.Number,
		id:          m.ID,
		key:         m.IdempotencyKey,
		class:       m.Class,
		pluginNotes: m.PluginNotes,
		body:        m.Body,
		loadBody:    h.bodyLoader(m),
		expiresAt:   now + m.Deadline.Sub(wall),
		writeBy:     h.writeDeadline(m),
	}
	// A batch lasts as long as its longest timeout. Ending it earlier would cut off a call that may
	// still deliver.
	cl.timeout, cl.effect = max(cl.timeout, send.Timeout), max(cl.effect, h.strictestEffect(m))
	if cl.effect == policy.Unsafe {
		cl.lastByteDelay = lastByteDelay
	}
	cl.items, cl.batchSize = append(cl.items, it), cl.batchSize+maxItemSize(m.ID, m.IdempotencyKey, m.BodySize())
	return calls
}

// writeDeadline returns the latest time to write m. A repeat that is dialed until after the
// partner's repeat window would run a second time.
func (h *Host) writeDeadline(m *memory.Message) time.Time {
	if w := h.repeatWindow(m); w > 0 && !m.MayHaveRunSince.IsZero() {
		return earlier(m.Deadline, m.MayHaveRunSince.Add(w))
	}
	return m.Deadline
}

// strictestEffect returns the stricter of the effect that m was accepted with and that of its class
// now.
func (h *Host) strictestEffect(m *memory.Message) policy.Effect {
	return max(m.Effect, h.classes[m.Class].Effect)
}

// repeatWindow returns how long the partner drops repeats of m; 0: without limit.
func (h *Host) repeatWindow(m *memory.Message) time.Duration {
	accepted, current := m.RepeatWindow, h.classes[m.Class].RepeatWindow
	switch {
	case m.Effect != policy.Keyed && h.classes[m.Class].Effect != policy.Keyed:
		return 0
	case m.Effect != policy.Keyed:
		return current
	case h.classes[m.Class].Effect != policy.Keyed:
		return accepted
	}
	return min(accepted, current)
}

// bodyLoader returns a function that reads the body of m from the journal, for the goroutine of the
// connection; nil if the body is in memory.
func (h *Host) bodyLoader(m *memory.Message) func() ([]byte, error) {
	if m.SpilledBytes == 0 {
		return nil
	}
	return h.journal.BodyLoader(m)
}

// maxItemSize returns an upper bound, in bytes, of what a message with a body of that length adds
// to a batch body.
func maxItemSize(id, key string, body int) int {
	return base64.StdEncoding.EncodedLen(body) + 6*(len(id)+len(key)) + len(`{"id":"","key":"","body":""},[]`)
}

// itemExpiry is an item that may time out before its call.
type itemExpiry struct {
	item      *callItem
	endpoint  *endpoint
	startedAt policy.Time
}

// registerCall registers a call, which is made once it is recorded in the journal.
func (h *Host) registerCall(cl *call) {
	for i := range cl.items {
		if it := &cl.items[i]; it.expiresAt >= cl.startedAt+cl.timeout-h.settings.Tick {
			// The call ends soon enough and reports the result. Reporting the item earlier would
			// free a place in the concurrency limit that the connection still uses.
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

// dispatch hands a recorded call to a connection.
func (h *Host) dispatch(cl *call) {
	// The timeout counts from the step, not from the end of the journal write.
	cl.deadline = h.startedAt.Add(cl.startedAt + cl.timeout)
	c := h.takeIdleConn(cl.endpoint)
	if c == nil {
		c = &endpointConn{
			endpoint:      cl.endpoint,
			calls:         make(chan *call, 1),
			dialTimeout:   h.dialTimeout,
			lateListeners: &h.lateListeners,
			shutdown:      &h.shutdownStage,
			plugins:       h.plugins,
			metrics:       h.metrics,
		}
		go c.run(h.events)
	}
	c.calls <- cl
}

// handleCallResult reports the result of each message of a call to the policy engine.
func (h *Host) handleCallResult(result callResult) {
	now := h.now()
	delete(h.calls, result.call)
	h.reportCallToFleet(result)
	h.recordSiteResult(result, now)
	h.applyRetryAfter(result.call.endpoint, result.retryAfter)
	if !h.loadReports {
		result.report = nil // the settings describe no load reports
	}
	if result.conn != nil && result.reusable {
		result.conn.lastUsed = time.Now()
		if result.conn.endpoint.removed() || h.leavingProcess != nil {
			close(result.conn.calls)
		} else {
			result.conn.endpoint.idle = append(result.conn.endpoint.idle, result.conn)
			result.conn.idleNode = h.idleConns.Push(result.conn)
			h.limitIdleConns()
		}
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("attempt completed", "endpoint", result.call.endpoint.id, "dest", result.call.endpoint.dest,
			"messages", result.call.ids(), "after", now-result.call.startedAt, "wait", result.retryAfter,
			"ends", result.results, "out", len(h.calls), "held", h.table.PendingCount(),
			"unbound", result.unboundAnswers, "err", result.err)
	}
	for i := range result.call.items {
		h.expiries.Remove(result.call.items[i].expiry)
		h.handleItemResult(&result.call.items[i], result, result.results[i], now)
	}
}

// handleItemResult updates the message of one item and reports the result to the policy engine.
func (h *Host) handleItemResult(it *callItem, result callResult, r itemResult, now policy.Time) {
	m := h.table.Get(it.num)
	if m != nil && m.InFlight != nil && m.InFlight.Number == it.attempt {
		startedAt := m.InFlight.StartedAt
		m.InFlight = nil
		switch r.outcome {
		case policy.Delivered:
		case policy.Rejected, policy.ConnectFailed, policy.RequestIncomplete, policy.Unsent:
			// An unrecorded attempt needs no record that it never ran: that would apply to the
			// attempt before.
			if !result.call.unrecorded {
				h.journal.AppendNotRun(m)
			}
		default:
			if m.MayHaveRunSince.IsZero() {
				m.MayHaveRunSince = startedAt
			}
		}
		if r.outcome == policy.Delivered && m.Notification == nil {
			h.metrics.CountCompleted(m.Class, metrics.Delivered)
			h.complete(m)
		} else if r.final {
			// The endpoint says that the message is completed. Its client may have left before it
			// read the 202, so that the platform still counts the message as accepted. A
			// superfluous notification does no harm.
			h.completeByNotification(m.Number, memory.Notification{})
		} else if r.pluginFailure != nil {
			h.completeByNotification(m.Number, h.failureNotification(r.pluginFailure.FailureAction, m))
		}
	}
	if it.resubmit && m != nil && m.Notification == nil && h.table.Get(it.num) != nil {
		h.queueArrival(m)
	}
	if it.reported {
		return
	}
	it.reported = true
	h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{
		ID:         it.num,
		Attempt:    it.attempt,
		Endpoint:   result.call.endpoint.id,
		Outcome:    r.outcome,
		Duration:   now - result.call.startedAt,
		Final:      r.outcome == policy.Delivered || r.final || r.pluginFailure != nil,
		RetryAfter: result.retryAfter,
		Report:     result.report,
	})
}

// failureNotification returns the notification for a message that failed before it was sent. The
// message is returned to the client only if no earlier attempt may have run, or if it is safe to
// repeat.
func (h *Host) failureNotification(then limits.FailureAction, m *memory.Message) memory.Notification {
	notification := memory.Notification{
		Returned: then == limits.Refuse && (m.MayHaveRunSince.IsZero() || h.strictestEffect(m) == policy.Safe),
	}
	if notification.Returned && h.settings.SendRetryAfter {
		notification.RetryAfter = h.settings.MaxRetryAfter
	}
	return notification
}

// expireItems times out messages whose own time is up while others keep their call open. The call
// goes on, without them if it is not written yet (see excludeExpired). A late delivery does no
// harm.
func (h *Host) expireItems(now policy.Time) {
	for entry := h.expiries.First(); entry != nil && now >= entry.At(); entry = h.expiries.First() {
		h.expiries.Remove(entry)
		if it := entry.Value.item; !it.reported {
			it.reported = true
			h.pendingEvents = append(h.pendingEvents, policy.AttemptEnded{
				ID:       it.num,
				Attempt:  it.attempt,
				Endpoint: entry.Value.endpoint.id,
				Outcome:  policy.TimedOut,
				Duration: now - entry.Value.startedAt,
			})
		}
	}
}
