package wire

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/metrics"
	"oatfold/policy"
)

// This file takes a message from submission to completion: it is recorded in the journal, its
// client is answered, and it is completed once, by delivery or by an outcome notification that the
// platform has acknowledged.

// queueEntry is a message in its ordering key's queue, from acceptance until the policy engine
// receives it.
type queueEntry struct {
	message             *memory.Message
	answered, delivered bool // answered: the response was written or failed; delivered: it was written
}

// clientAnsweredInOrder records the outcome of a response and passes on the messages at the head of
// their queue. The responses of two connections may finish in either order, but messages of one
// ordering key reach the policy engine in order of acceptance.
func (h *Host) clientAnsweredInOrder(m *memory.Message, delivered bool) {
	queue, entry := h.orderedQueues[m.OrderingKey], &queueEntry{message: m}
	for _, queued := range queue {
		if queued.message == m {
			entry = queued
		}
	}
	if entry.answered, entry.delivered = true, delivered; !slices.Contains(queue, entry) {
		h.clientAnswered(m, delivered)
		return
	}
	for len(queue) > 0 && queue[0].answered {
		h.clientAnswered(queue[0].message, queue[0].delivered)
		queue = queue[1:]
	}
	if h.orderedQueues[m.OrderingKey] = queue; len(queue) == 0 {
		delete(h.orderedQueues, m.OrderingKey)
	}
}

// clientAnswered continues a message whose response was written, or could not be.
func (h *Host) clientAnswered(m *memory.Message, delivered bool) {
	if h.table.Get(m.Number) != m {
		return // it was not recorded, or is complete
	}
	// A duplicate may have been answered as accepted meanwhile.
	if delivered || m.Resubmitted {
		m.Unanswered = false
		h.passToPolicy(m, false)
		return
	}
	h.remove(m, true) // the client got no response and may submit it again
	h.table.ForgetCompleted(m.ID)
}

// pendingReply is the reply to a submitted message; message is nil if it was not accepted.
type pendingReply struct {
	to      chan<- submitResult
	result  submitResult
	message *memory.Message
}

// pendingLimit returns how many messages this process may hold: in an upgrade those of all
// processes count.
func (h *Host) pendingLimit() int {
	if h.leavingProcess != nil {
		return h.leavingProcess.pending
	}
	return h.settings.MaxPending - h.pendingElsewhere
}

// submit accepts or rejects a message. Its client is answered once the iteration's records are in
// the journal.
func (h *Host) submit(e submitRequest) (*memory.Message, submitResult) {
	_, owned := h.ownedElsewhere[e.message.ID]
	if m := h.table.ByID(e.message.ID); m != nil || owned || h.sequencer.PendingElsewhere(e.message.ID) ||
		h.table.RecentlyCompleted(e.message.ID) {
		if m != nil {
			m.Resubmitted = true
		}
		return m, submitResult{duplicate: true} // it was accepted before
	}
	// Rejects messages for a destination without endpoints. Until discovery has sent its list, an
	// unlisted destination may still appear, and the client is to retry.
	if _, listed := h.destKinds[e.message.Dest]; !listed && h.listReceived {
		return nil, submitResult{unknownDest: true}
	} else if !listed && len(h.destKinds) > 0 {
		return nil, h.reject()
	}
	if h.table.PendingCount() < h.pendingLimit() {
		e.message.Number, e.message.Unanswered = h.table.NextNumber(), true
		// A full journal is counted as a rejection below.
		if h.journal.AppendAccepted(h.table, e.message, e.message.Effect == policy.Safe) == nil {
			if s := e.message.OrderingKey; s != "" {
				h.orderedQueues[s] = append(h.orderedQueues[s], &queueEntry{message: e.message})
			}
			return e.message, submitResult{accepted: true}
		}
	}
	return nil, h.reject()
}

// commit writes the iteration's records, then answers its requests and dispatches its calls. If the
// write fails, no message is accepted and no call is made.
func (h *Host) commit() {
	wall := time.Now()
	for _, cl := range h.uncommittedCalls {
		msgs := make([]*memory.Message, len(cl.items))
		for i := range cl.items {
			msgs[i] = h.table.Get(cl.items[i].num)
		}
		h.journal.AppendAttempt(wall, msgs)
	}
	err, attemptErr := h.journal.Commit()
	if err != nil {
		for _, r := range h.uncommittedReplies {
			if r.result.accepted {
				h.table.Remove(r.message)
				h.table.ForgetCompleted(r.message.ID)
				h.clientAnsweredInOrder(r.message, false)
			}
		}
	}
	if err == nil {
		err = h.announceOrdered()
	}
	for _, r := range h.uncommittedReplies {
		r.to <- h.committedResult(r, err != nil)
	}
	calls := h.uncommittedCalls
	h.uncommittedReplies, h.uncommittedCalls = h.uncommittedReplies[:0], nil
	for _, cl := range calls {
		if attemptErr != nil {
			cl.unrecorded = true
			h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent}),
				err: attemptErr})
			continue
		}
		h.dispatch(cl)
	}
	if len(h.uncommittedTransfers) > 0 && !h.journal.HasUnwritten() {
		for _, done := range h.uncommittedTransfers {
			close(done)
		}
		h.uncommittedTransfers = nil
	}
}

// committedResult returns the reply after the iteration's write. failed says that some messages
// were not accepted after all; those are no longer in the table.
func (h *Host) committedResult(r pendingReply, failed bool) submitResult {
	removed := r.message != nil && h.table.Get(r.message.Number) != r.message
	switch {
	case failed && removed:
		// A duplicate of a message that was not accepted must not be answered as accepted.
		return h.reject()
	case r.result.accepted && !removed:
		h.logAccepted(r.message)
		h.journal.LimitBodyMemory(h.table, r.message)
	}
	return r.result
}

// logAccepted logs an accepted message, so that it can be followed by id through every process that
// had it.
func (h *Host) logAccepted(m *memory.Message) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("accepted a message", "message", m.ID, "dest", m.Dest, "class", m.Class,
			"subject", m.OrderingKey, "left", time.Until(m.Deadline))
	}
}

// reject counts a rejected request and returns its reply.
func (h *Host) reject() submitResult {
	h.rejectedCount++
	result := submitResult{}
	if h.settings.SendRetryAfter {
		result.retryAfter = h.settings.MaxRetryAfter
	}
	return result
}

// complete records that m needs no further work.
func (h *Host) complete(m *memory.Message) { h.remove(m, false) }

// remove takes m out of the table and the journal. reusable allows its id to be accepted again.
func (h *Host) remove(m *memory.Message, reusable bool) {
	if h.table.Get(m.Number) == m {
		h.table.Remove(m)
		h.journal.AppendCompleted(m, reusable)
		h.untrackNotification(m)
	}
}

// completeByNotification completes a message by an outcome notification, which is owed until the
// platform acknowledges it, also after a restart.
func (h *Host) completeByNotification(num uint32, n memory.Notification) {
	m := h.table.Get(num)
	if m == nil || m.Notification != nil {
		return
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("completing a message by notification", "message", m.ID, "dest", m.Dest, "class", m.Class,
			"steps", m.Attempts, "left", time.Until(m.Deadline), "handed_back", n.Returned, "advice", n.RetryAfter)
	}
	if n.Returned {
		h.metrics.CountCompleted(m.Class, metrics.Returned)
	} else {
		h.metrics.CountCompleted(m.Class, metrics.GivenUp)
	}
	h.table.MarkUndelivered(m, n)
	h.journal.AppendUndelivered(m)
	h.queueNotification(m)
}

// queueNotification queues the notification of m until flushNotifications may pass it on.
func (h *Host) queueNotification(m *memory.Message) {
	h.trackNotification(m)
	h.waitingNotifications = append(h.waitingNotifications, pendingNotification{m.Number, m.ID, *m.Notification})
}

// flushNotifications passes the notifications that may be sent to the notifier.
func (h *Host) flushNotifications() {
	unwritten, wall := h.journal.HasUnwritten(), time.Now()
	var delayed []pendingNotification
	for i, n := range h.waitingNotifications {
		if unwritten && h.couldStillBeSent(n.num, wall) {
			delayed = append(delayed, n)
			continue
		}
		select {
		case h.notifications <- n:
		default:
			h.waitingNotifications = append(delayed, h.waitingNotifications[i:]...)
			return
		}
	}
	h.waitingNotifications = delayed
}

// couldStillBeSent reports whether, after a crash, the next process would send a message whose
// completion is not in the journal yet. Its notification has to wait: the client may submit the
// message elsewhere as soon as it has the notification.
func (h *Host) couldStillBeSent(num uint32, wall time.Time) bool {
	m := h.table.Get(num)
	return m != nil && m.Deadline.Sub(wall) > deadlineMargin
}
