package wire

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"oatfold/internal/figures"
	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file is about what clients hand in: a message is taken on in the journal, its client is answered, and it ends once: delivered, or by an
// outcome notification that the platform has taken.

// turn is the place of a message among those of its subject, from when it is taken on until the module is told.
type turn struct {
	msg        *memory.Message
	over, told bool // its client has been answered, or could not be
}

// inTurn books how the answer to a hand-in went, and tells the module of all whose turn it is. Guards against one that overtakes another of
// its subject between its client's answer and the module, on goroutines of two connections.
func (h *Host) inTurn(m *memory.Message, told bool) {
	queue, ours := h.turns[m.OrderingKey], &turn{msg: m}
	for _, t := range queue {
		if t.msg == m {
			ours = t
		}
	}
	if ours.over, ours.told = true, told; !slices.Contains(queue, ours) {
		h.answered(m, told)
		return
	}
	for len(queue) > 0 && queue[0].over {
		h.answered(queue[0].msg, queue[0].told)
		queue = queue[1:]
	}
	if h.turns[m.OrderingKey] = queue; len(queue) == 0 {
		delete(h.turns, m.OrderingKey)
	}
}

// answered goes on with a message whose client has been answered, or could not be.
func (h *Host) answered(m *memory.Message, told bool) {
	if h.table.Get(m.Number) != m {
		return // it was not written, or is over
	}
	// Guards against losing what was handed in again meanwhile, and answered as taken.
	if told || m.Resubmitted {
		m.Unanswered = false
		h.onward(m, false)
		return
	}
	h.end(m, true) // the client never heard of it, and may hand it in again
	h.table.ForgetCompleted(m.ID)
}

// heldReply is what a hand-in is answered with, and the message that it is about; nil where it is about none that is held.
type heldReply struct {
	to  chan<- verdict
	v   verdict
	msg *memory.Message
}

// handIn takes a message on. Its client hears of it when the turn is in the journal.
func (h *Host) handIn(e handIn) (*memory.Message, verdict) {
	_, elsewhere := h.elsewhere[e.msg.ID]
	if m := h.table.ByID(e.msg.ID); m != nil || elsewhere || h.sequence.OwedElsewhere(e.msg.ID) || h.table.RecentlyCompleted(e.msg.ID) {
		if m != nil {
			m.Resubmitted = true
		}
		return m, verdict{known: true} // the same hand-in once more: it is taken already
	}
	// Guards against holding what no endpoint can ever take. Until discovery has told its list, a destination that is
	// not among the known ones may still come.
	if _, named := h.kinds[e.msg.Dest]; !named && h.listed {
		return nil, verdict{nowhere: true}
	} else if !named && len(h.kinds) > 0 {
		return nil, h.refuse()
	}
	if h.table.PendingCount() < h.set.MaxPending {
		e.msg.Number, e.msg.Unanswered = h.table.NextNumber(), true
		if h.journal.AppendAccepted(h.table, e.msg, e.msg.Effect == policy.Safe) == nil { // a full budget or disk is counted below, like a full hold
			if s := e.msg.OrderingKey; s != "" {
				h.turns[s] = append(h.turns[s], &turn{msg: e.msg})
			}
			return e.msg, verdict{taken: true}
		}
	}
	return nil, h.refuse()
}

// commit writes the turn's records, then answers its hand-ins and makes its calls. Where the disk does not take them, no
// message was taken on and no call goes out.
func (h *Host) commit() {
	wall := time.Now()
	for _, cl := range h.begun {
		msgs := make([]*memory.Message, len(cl.items))
		for i := range cl.items {
			msgs[i] = h.table.Get(cl.items[i].num)
		}
		h.journal.AppendAttempt(wall, msgs)
	}
	err, outErr := h.journal.Commit()
	if err != nil {
		for _, r := range h.replies {
			if r.v.taken {
				h.table.Remove(r.msg)
				h.table.ForgetCompleted(r.msg.ID)
				h.inTurn(r.msg, false)
			}
		}
	}
	if err == nil {
		err = h.announce()
	}
	for _, r := range h.replies {
		r.to <- h.settled(r, err != nil)
	}
	calls := h.begun
	h.replies, h.begun = h.replies[:0], nil
	for _, cl := range calls {
		if outErr != nil {
			cl.unrecorded = true
			h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent}), err: outErr})
			continue
		}
		h.dispatch(cl)
	}
	if len(h.adopted) > 0 && !h.journal.HasUnwritten() {
		for _, done := range h.adopted {
			close(done)
		}
		h.adopted = nil
	}
}

// settled is the answer to a hand-in behind the turn's write. failed: some of the turn were not taken on after all, which the table tells.
func (h *Host) settled(r heldReply, failed bool) verdict {
	gone := r.msg != nil && h.table.Get(r.msg.Number) != r.msg
	switch {
	case failed && gone:
		// Guards against answering the same hand-in once more as taken while it is not.
		return h.refuse()
	case r.v.taken && !gone:
		h.logTaken(r.msg)
		h.journal.LimitBodyMemory(h.table, r.msg)
	}
	return r.v
}

// logTaken names a message that this process owes from now on, so that one can be followed by its id through every process that held it.
func (h *Host) logTaken(m *memory.Message) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("taken on", "message", m.ID, "dest", m.Dest, "class", m.Class, "subject", m.OrderingKey, "left", time.Until(m.Deadline))
	}
}

// refuse turns a hand-in away for now.
func (h *Host) refuse() verdict {
	h.refused++
	v := verdict{}
	if h.set.SendRetryAfter {
		v.retry = h.set.MaxRetryAfter
	}
	return v
}

// over books that nothing more is owed for m.
func (h *Host) over(m *memory.Message) { h.end(m, false) }

// end does so; anew says that its id may be taken on again.
func (h *Host) end(m *memory.Message, anew bool) {
	if h.table.Get(m.Number) == m {
		h.table.Remove(m)
		h.journal.AppendCompleted(m, anew)
		h.noticeAnswered(m)
	}
}

// finish ends m by a notice. It is owed until the platform has taken it, also after a restart.
func (h *Host) finish(num uint32, n memory.Notification) {
	m := h.table.Get(num)
	if m == nil || m.Notification != nil {
		return
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("ended by notice", "message", m.ID, "dest", m.Dest, "class", m.Class, "steps", m.Attempts, "left", time.Until(m.Deadline),
			"handed_back", n.Returned, "advice", n.RetryAfter)
	}
	if n.Returned {
		h.figures.Ended(m.Class, figures.HandedBack)
	} else {
		h.figures.Ended(m.Class, figures.GivenUp)
	}
	h.table.MarkUndelivered(m, n)
	h.journal.AppendUndelivered(m)
	h.owe(m)
}

func (h *Host) owe(m *memory.Message) {
	h.awaitNotice(m)
	h.unsent = append(h.unsent, pendingNotification{m.Number, m.ID, *m.Notification})
}

// flushNotices passes on the notices that may go out.
func (h *Host) flushNotices() {
	wait, wall := h.journal.HasUnwritten(), time.Now()
	var kept []pendingNotification
	for i, n := range h.unsent {
		if wait && h.mayGoOn(n.num, wall) {
			kept = append(kept, n)
			continue
		}
		select {
		case h.notices <- n:
		default:
			h.unsent = append(kept, h.unsent[i:]...)
			return
		}
	}
	h.unsent = kept
}

// mayGoOn tells whether another life would forward a message that is ended here, were this one killed before the end is in the journal.
// Guards against a message that is handed back, handed in elsewhere, and then forwarded from here as well.
func (h *Host) mayGoOn(num uint32, wall time.Time) bool {
	m := h.table.Get(num)
	return m != nil && m.Deadline.Sub(wall) > endBefore
}
