package wire

import (
	"time"

	"oatfold/internal/index"
	"oatfold/internal/memory"
	"oatfold/internal/plugin/limits"
	"oatfold/policy"
)

// This file completes messages whose deadline passes while this process makes no policy steps: while
// it hands over or stops, and while a restarted policy engine waits for a Retry-After. At other times
// the policy engine keeps the deadlines.

// unsteppedDeadlines are the deadlines of messages that the policy engine does not have.
type unsteppedDeadlines struct {
	due     index.Heap[*memory.Message]
	entries map[uint32]*index.Entry[*memory.Message] // by message number
}

// watch replaces the deadline of m.
func (d *unsteppedDeadlines) watch(m *memory.Message, at policy.Time) {
	d.forget(m)
	if d.entries == nil {
		d.entries = map[uint32]*index.Entry[*memory.Message]{}
	}
	d.entries[m.Number] = d.due.Push(at, m)
}

// forget ends the watch of m, if there is one.
func (d *unsteppedDeadlines) forget(m *memory.Message) {
	d.due.Remove(d.entries[m.Number])
	delete(d.entries, m.Number)
}

// queueArrival passes m to the next policy step.
func (h *Host) queueArrival(m *memory.Message) {
	h.arrivals = append(h.arrivals, m)
	if h.stepsHalted(h.now()) {
		h.watchDeadline(m, time.Now())
	}
}

// stepsHalted reports whether no policy step is made at present, so that none completes messages.
// A process that stands by has no messages of its own to complete.
func (h *Host) stepsHalted(now policy.Time) bool {
	return h.stepsStopped && !h.standby || now < h.stepsBlockedUntil
}

// watchAllDeadlines watches the deadlines of all messages that are still to be completed.
func (h *Host) watchAllDeadlines() {
	wall := time.Now()
	for _, m := range h.table.All() {
		if m.Notification == nil && !m.Unanswered {
			h.watchDeadline(m, wall)
		}
	}
}

// watchDeadline completes m at its deadline, unless it is complete, transferred or passed to the
// policy engine by then.
func (h *Host) watchDeadline(m *memory.Message, wall time.Time) {
	left := m.Deadline.Sub(wall)
	if m.InFlight == nil {
		left -= deadlineMargin // else its call may still report the result
	}
	h.unstepped.watch(m, h.now()+left)
}

// expireUnstepped completes the messages whose deadline has passed without policy steps. One with a
// call in flight may have run.
func (h *Host) expireUnstepped(now policy.Time) {
	for e := h.unstepped.due.First(); e != nil && now >= e.At(); e = h.unstepped.due.First() {
		m := e.Value
		h.unstepped.forget(m)
		if h.table.Get(m.Number) != m || m.Unanswered {
			continue
		}
		action := limits.Refuse
		if m.InFlight != nil && h.strictestEffect(m) != policy.Safe {
			action = limits.Fail
		}
		h.completeByNotification(m.Number, h.failureNotification(action, m))
	}
}
