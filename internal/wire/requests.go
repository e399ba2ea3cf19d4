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

// This file is about what clients hand in: a message is taken on in the journal, its client is answered, and it ends once: delivered, or by an
// outcome notification that the platform has taken.

// queueEntry is the place of a message among those of its subject, from when it is taken on until the module is told.
type queueEntry struct {
	message             *memory.Message
	answered, delivered bool // its client has been answered, or could not be
}

// clientAnsweredInOrder books how the answer to a hand-in went, and tells the module of all whose turn it is. Guards against one that overtakes another of
// its subject between its client's answer and the module, on goroutines of two connections.
func (h *Host) clientAnsweredInOrder(m *memory.Message, told bool) {
	queue, ours := h.orderedQueues[m.OrderingKey], &queueEntry{message: m}
	for _, t := range queue {
		if t.message == m {
			ours = t
		}
	}
	if ours.answered, ours.delivered = true, told; !slices.Contains(queue, ours) {
		h.clientAnswered(m, told)
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

// clientAnswered goes on with a message whose client has been answered, or could not be.
func (h *Host) clientAnswered(m *memory.Message, told bool) {
	if h.table.Get(m.Number) != m {
		return // it was not written, or is over
	}
	// Guards against losing what was handed in again meanwhile, and answered as taken.
	if told || m.Resubmitted {
		m.Unanswered = false
		h.passToPolicy(m, false)
		return
	}
	h.remove(m, true) // the client never heard of it, and may hand it in again
	h.table.ForgetCompleted(m.ID)
}

// pendingReply is what a hand-in is answered with, and the message that it is about; nil where it is about none that is held.
type pendingReply struct {
	to      chan<- submitResult
	result  submitResult
	message *memory.Message
}

// submit takes a message on. Its client hears of it when the turn is in the journal.
func (h *Host) submit(e submitRequest) (*memory.Message, submitResult) {
	_, elsewhere := h.ownedElsewhere[e.message.ID]
	if m := h.table.ByID(e.message.ID); m != nil || elsewhere || h.sequencer.PendingElsewhere(e.message.ID) || h.table.RecentlyCompleted(e.message.ID) {
		if m != nil {
			m.Resubmitted = true
		}
		return m, submitResult{duplicate: true} // the same hand-in once more: it is taken already
	}
	// Guards against holding what no endpoint can ever take. Until discovery has told its list, a destination that is
	// not among the known ones may still come.
	if _, named := h.destKinds[e.message.Dest]; !named && h.listReceived {
		return nil, submitResult{unknownDest: true}
	} else if !named && len(h.destKinds) > 0 {
		return nil, h.reject()
	}
	if h.table.PendingCount() < h.settings.MaxPending {
		e.message.Number, e.message.Unanswered = h.table.NextNumber(), true
		if h.journal.AppendAccepted(h.table, e.message, e.message.Effect == policy.Safe) == nil { // a full budget or disk is counted below, like a full hold
			if s := e.message.OrderingKey; s != "" {
				h.orderedQueues[s] = append(h.orderedQueues[s], &queueEntry{message: e.message})
			}
			return e.message, submitResult{accepted: true}
		}
	}
	return nil, h.reject()
}

// commit writes the turn's records, then answers its hand-ins and makes its calls. Where the disk does not take them, no
// message was taken on and no call goes out.
func (h *Host) commit() {
	wall := time.Now()
	for _, cl := range h.uncommittedCalls {
		msgs := make([]*memory.Message, len(cl.items))
		for i := range cl.items {
			msgs[i] = h.table.Get(cl.items[i].num)
		}
		h.journal.AppendAttempt(wall, msgs)
	}
	err, outErr := h.journal.Commit()
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
		if outErr != nil {
			cl.unrecorded = true
			h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent}), err: outErr})
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

// committedResult is the answer to a hand-in behind the turn's write. failed: some of the turn were not taken on after all, which the table tells.
func (h *Host) committedResult(r pendingReply, failed bool) submitResult {
	gone := r.message != nil && h.table.Get(r.message.Number) != r.message
	switch {
	case failed && gone:
		// Guards against answering the same hand-in once more as taken while it is not.
		return h.reject()
	case r.result.accepted && !gone:
		h.logAccepted(r.message)
		h.journal.LimitBodyMemory(h.table, r.message)
	}
	return r.result
}

// logAccepted names a message that this process owes from now on, so that one can be followed by its id through every process that held it.
func (h *Host) logAccepted(m *memory.Message) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("taken on", "message", m.ID, "dest", m.Dest, "class", m.Class, "subject", m.OrderingKey, "left", time.Until(m.Deadline))
	}
}

// reject turns a hand-in away for now.
func (h *Host) reject() submitResult {
	h.rejectedCount++
	v := submitResult{}
	if h.settings.SendRetryAfter {
		v.retryAfter = h.settings.MaxRetryAfter
	}
	return v
}

// complete books that nothing more is owed for m.
func (h *Host) complete(m *memory.Message) { h.remove(m, false) }

// remove does so; anew says that its id may be taken on again.
func (h *Host) remove(m *memory.Message, anew bool) {
	if h.table.Get(m.Number) == m {
		h.table.Remove(m)
		h.journal.AppendCompleted(m, anew)
		h.untrackNotification(m)
	}
}

// completeByNotification ends m by a notice. It is owed until the platform has taken it, also after a restart.
func (h *Host) completeByNotification(num uint32, n memory.Notification) {
	m := h.table.Get(num)
	if m == nil || m.Notification != nil {
		return
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("ended by notice", "message", m.ID, "dest", m.Dest, "class", m.Class, "steps", m.Attempts, "left", time.Until(m.Deadline),
			"handed_back", n.Returned, "advice", n.RetryAfter)
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

func (h *Host) queueNotification(m *memory.Message) {
	h.trackNotification(m)
	h.unqueuedNotifications = append(h.unqueuedNotifications, pendingNotification{m.Number, m.ID, *m.Notification})
}

// flushNotifications passes on the notices that may go out.
func (h *Host) flushNotifications() {
	wait, wall := h.journal.HasUnwritten(), time.Now()
	var kept []pendingNotification
	for i, n := range h.unqueuedNotifications {
		if wait && h.couldStillBeSent(n.num, wall) {
			kept = append(kept, n)
			continue
		}
		select {
		case h.notifications <- n:
		default:
			h.unqueuedNotifications = append(kept, h.unqueuedNotifications[i:]...)
			return
		}
	}
	h.unqueuedNotifications = kept
}

// couldStillBeSent tells whether another life would forward a message that is ended here, were this one killed before the end is in the journal.
// Guards against a message that is handed back, handed in elsewhere, and then forwarded from here as well.
func (h *Host) couldStillBeSent(num uint32, wall time.Time) bool {
	m := h.table.Get(num)
	return m != nil && m.Deadline.Sub(wall) > deadlineMargin
}
