package wire

import (
	"slices"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file keeps the order of a subject behind a message that a notice ends: the module lets the next one go as it ends the one before, and
// that is over only once the platform has answered.

// unansweredNotifications are messages that are ended by a notice which the platform has not answered yet: their numbers, by subject.
type unansweredNotifications map[string]map[uint32]struct{}

// trackNotification books that m is over only once the platform has answered its notice.
func (h *Host) trackNotification(m *memory.Message) {
	if m.OrderingKey == "" {
		return
	}
	if h.unansweredNotifications[m.OrderingKey] == nil {
		h.unansweredNotifications[m.OrderingKey] = map[uint32]struct{}{}
	}
	h.unansweredNotifications[m.OrderingKey][m.Number] = struct{}{}
}

// untrackNotification books that m is over.
func (h *Host) untrackNotification(m *memory.Message) {
	waiting := h.unansweredNotifications[m.OrderingKey]
	if delete(waiting, m.Number); len(waiting) == 0 {
		delete(h.unansweredNotifications, m.OrderingKey)
	}
}

// blockedByNotification tells whether an earlier message of the subject of m is ended by a notice that the platform has not answered yet.
func (h *Host) blockedByNotification(m *memory.Message) bool {
	for num := range h.unansweredNotifications[m.OrderingKey] {
		if num < m.Number {
			return true
		}
	}
	return false
}

// awaitsNotification tells whether a call has to wait for the answer to a notice.
func (h *Host) awaitsNotification(cl *call) bool {
	return slices.ContainsFunc(cl.items, func(it callItem) bool {
		m := h.table.Get(it.num)
		return m != nil && h.blockedByNotification(m)
	})
}

// anyAwaitsNotification tells whether one of these calls goes to ep and has to wait.
func (h *Host) anyAwaitsNotification(calls []*call, ep *endpoint) bool {
	return slices.ContainsFunc(calls, func(cl *call) bool { return cl.endpoint == ep && h.awaitsNotification(cl) })
}

// startUnblockedCalls makes the calls that wait for no notice any more. One whose time is up has not been sent.
func (h *Host) startUnblockedCalls(now policy.Time) {
	parked := h.callsAwaitingNotification
	h.callsAwaitingNotification = nil
	for _, cl := range parked {
		switch {
		case !h.awaitsNotification(cl):
			h.uncommittedCalls = append(h.uncommittedCalls, cl)
		case now >= cl.startedAt+cl.timeout:
			h.endUnsentCall(cl)
		default:
			h.callsAwaitingNotification = append(h.callsAwaitingNotification, cl)
		}
	}
}

// endUnsentCall ends a call that was not made: it is in no journal.
func (h *Host) endUnsentCall(cl *call) {
	cl.unrecorded = true
	h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent})})
}

// earliestWaitingCallDeadline is when the first call's time is up that waits for a notice; at where that is later.
func (h *Host) earliestWaitingCallDeadline(at policy.Time) policy.Time {
	for _, cl := range h.callsAwaitingNotification {
		at = min(at, cl.startedAt+cl.timeout)
	}
	return at
}
