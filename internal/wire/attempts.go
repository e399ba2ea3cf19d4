package wire

import (
	"context"
	"encoding/base64"
	"log/slog"
	"time"

	"oatfold/internal/figures"
	"oatfold/internal/memory"
	"oatfold/internal/plugin/limits"
	"oatfold/policy"
)

// This file turns what the module decides to send into calls, and their ends into what the module is told.

// send adds a message to the call that the step makes to its endpoint, up to the kind's batch. What can't be
// sent ends as unsent, with the next step.
func (h *Host) send(now policy.Time, wall time.Time, a policy.Send, open map[string]*call, calls []*call) []*call {
	m, ep := h.table.Get(a.ID), h.endpoints[a.Endpoint]
	if m == nil {
		return calls
	}
	if ep == nil || ep.dest != m.Dest || m.InFlight != nil || m.Notification != nil {
		// Guards against a call to an endpoint of another destination or a second copy, whatever the module says.
		h.log.Error("send not made", "message", m.ID, "endpoint", a.Endpoint)
		h.pending = append(h.pending, policy.Ended{ID: m.Number, Attempt: m.Attempts, Endpoint: a.Endpoint, Outcome: policy.Unsent})
		m.Attempts++
		return calls
	}
	cl, apart := open[a.Endpoint], h.behindNotice(m)
	tooLong := cl != nil && len(cl.items) < h.kindOf[h.kinds[m.Dest]].Batch && cl.size+itemSize(m.ID, m.IdempotencyKey, m.BodySize()) > maxBody
	if tooLong || apart || cl == nil && h.parksOne(calls, ep) {
		// Guards against a batch whose body is longer than any body may be, or all of which waits for one message's notice: it takes a
		// slot of its own, if there is one.
		if cl = nil; len(h.calls)+len(h.lent)+len(calls) >= h.set.Slots {
			h.pending = append(h.pending, policy.Ended{ID: m.Number, Attempt: m.Attempts, Endpoint: a.Endpoint, Outcome: policy.Unsent})
			m.Attempts++
			return calls
		}
	}
	if cl == nil || len(cl.items) >= max(1, h.kindOf[h.kinds[m.Dest]].Batch) {
		cl = &call{ep: ep, kind: h.kinds[m.Dest], began: now}
		if calls = append(calls, cl); !apart {
			open[a.Endpoint] = cl
		}
	}
	m.InFlight = &memory.Attempt{Number: m.Attempts, StartedAt: wall}
	m.Attempts++
	// Guards against a message whose time is up while a more patient one keeps the call out, however short its own
	// time-out was.
	it := item{num: m.Number, step: m.InFlight.Number, id: m.ID, key: m.IdempotencyKey, class: m.Class, notes: m.PluginNotes, body: m.Body, load: h.loader(m), until: now + m.Deadline.Sub(wall), by: h.goesBy(m)}
	// A batch lasts as long as its most patient message: to end one earlier would leave a live call behind it.
	if cl.timeout = max(cl.timeout, a.Timeout); h.effect(m) == policy.Unsafe {
		cl.careful = lookFor
	}
	cl.items, cl.size = append(cl.items, it), cl.size+itemSize(m.ID, m.IdempotencyKey, m.BodySize())
	return calls
}

// goesBy is when m may be written at the latest. Guards against a repeat that the module sent within the partner's window, and that was dialled until after it: the partner would
// run it a second time.
func (h *Host) goesBy(m *memory.Message) time.Time {
	if w := h.window(m); w > 0 && !m.MayHaveRunSince.IsZero() {
		return earlier(m.Deadline, m.MayHaveRunSince.Add(w))
	}
	return m.Deadline
}

// effect is the stricter one of what m was taken on under and what its class has now.
func (h *Host) effect(m *memory.Message) policy.Effect {
	return max(m.Effect, h.classes[m.Class].Effect)
}

// window is for how long a partner can be counted on to drop repeats of m; 0: no such bound.
func (h *Host) window(m *memory.Message) time.Duration {
	was, now := m.RepeatWindow, h.classes[m.Class].Window
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

// loader reads the body of m again on the goroutine of its route step; nil where it is in memory.
func (h *Host) loader(m *memory.Message) func() ([]byte, error) {
	if m.SpilledBytes == 0 {
		return nil
	}
	return h.journal.BodyLoader(m)
}

// itemSize bounds what a message with a body of so many bytes adds to a batch's body.
func itemSize(id, key string, body int) int {
	return base64.StdEncoding.EncodedLen(body) + 6*(len(id)+len(key)) + len(`{"id":"","key":"","body":""},[]`)
}

// expiry is an item that may have to end while its call goes on.
type expiry struct {
	item  *item
	ep    *endpoint
	began policy.Time
}

// begin books the call, which is made once it is in the journal.
func (h *Host) begin(cl *call) {
	for i := range cl.items {
		if it := &cl.items[i]; it.until >= cl.began+cl.timeout-h.set.Tick {
			// Guards against telling the module of a free slot while the connection still holds it: where the
			// call itself lasts no longer, its end will tell.
			continue
		} else if it.until > 0 {
			it.expiry = h.expiries.Push(it.until, expiry{it, cl.ep, cl.began})
		}
	}
	h.calls[cl] = struct{}{}
	if h.parks(cl) {
		h.parked = append(h.parked, cl)
		return
	}
	h.begun = append(h.begun, cl)
}

// dispatch gives a call that is recorded to a connection.
func (h *Host) dispatch(cl *call) {
	// Guards against a call that outlasts its messages by what the journal took: its time runs from the module's step.
	cl.deadline = h.start.Add(cl.began + cl.timeout)
	c := h.pick(cl.ep)
	if c == nil {
		c = &routeConn{ep: cl.ep, calls: make(chan *call, 1), dialTimeout: h.dialTimeout, listening: &h.listening, leaving: &h.leaving, plugins: h.plugins, figures: h.figures}
		go c.run(h.events)
	}
	c.calls <- cl
}

// callEnded tells the module how each message of a call ended.
func (h *Host) callEnded(e callEnded) {
	now := h.now()
	delete(h.calls, e.call)
	h.shared(e)
	h.siteEnded(e, now)
	h.waitTold(e.call.ep, e.wait)
	if !h.reports {
		e.report = nil // Guards against figures where the settings have none
	}
	if e.conn != nil && e.keep {
		e.conn.usedAt = time.Now()
		if e.conn.ep.gone() || h.giving != nil {
			close(e.conn.calls)
		} else {
			e.conn.ep.idle = append(e.conn.ep.idle, e.conn)
			e.conn.place = h.idle.Push(e.conn)
			h.spare()
		}
	}
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("route step", "endpoint", e.call.ep.id, "dest", e.call.ep.dest, "messages", e.call.ids(),
			"after", now-e.call.began, "wait", e.wait, "ends", e.ends, "out", len(h.calls), "held", h.table.PendingCount(), "err", e.err)
	}
	for i := range e.call.items {
		h.expiries.Remove(e.call.items[i].expiry)
		h.itemEnded(&e.call.items[i], e, e.ends[i], now)
	}
}

func (h *Host) itemEnded(it *item, e callEnded, r end, now policy.Time) {
	m := h.table.Get(it.num)
	if m != nil && m.InFlight != nil && m.InFlight.Number == it.step {
		began := m.InFlight.StartedAt
		m.InFlight = nil
		switch r.outcome {
		case policy.Delivered:
		case policy.Rejected, policy.ConnectFailed, policy.CutShort, policy.Unsent:
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
			h.figures.Ended(m.Class, figures.Delivered)
			h.over(m)
		} else if r.over {
			// Guards against a client that went away as its 202 was written: the endpoint says that the message is over, and the
			// platform may still count it as taken on. A notice of what is over does no harm.
			h.finish(m.Number, memory.Notification{})
		} else if r.then != nil {
			h.finish(m.Number, h.failedBy(r.then.Then, m))
		}
	}
	if it.anew && m != nil && m.Notification == nil && h.table.Get(it.num) != nil {
		h.arrivals = append(h.arrivals, m)
	}
	if it.ended {
		return
	}
	it.ended = true
	h.pending = append(h.pending, policy.Ended{ID: it.num, Attempt: it.step, Endpoint: e.call.ep.id,
		Outcome: r.outcome, Took: now - e.call.began, Final: r.outcome == policy.Delivered || r.over || r.then != nil,
		Wait: e.wait, Report: e.report})
}

// failedBy is the notice of a message that a plug-in failed before it went out. Guards against handing back, as if it
// had never run, what an earlier step may have run: its client would hand it in again.
func (h *Host) failedBy(t limits.Then, m *memory.Message) memory.Notification {
	n := memory.Notification{Returned: t == limits.Refuse && (m.MayHaveRunSince.IsZero() || h.effect(m) == policy.Safe)}
	if n.Returned && h.set.RetryAdvice {
		n.RetryAfter = h.set.MaxRetryAdvice
	}
	return n
}

// expire ends messages whose own time is up while others keep their call out. The call goes on, without them if it is not written yet
// (call.inTime); should it still deliver, that does no harm. Guards against a notice that comes too late.
func (h *Host) expire(now policy.Time) {
	for e := h.expiries.First(); e != nil && now >= e.At(); e = h.expiries.First() {
		h.expiries.Remove(e)
		if it := e.Value.item; !it.ended {
			it.ended = true
			h.pending = append(h.pending, policy.Ended{ID: it.num, Attempt: it.step, Endpoint: e.Value.ep.id,
				Outcome: policy.TimedOut, Took: now - e.Value.began})
		}
	}
}
