package wire

import (
	"slices"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file keeps messages of an ordering key in order after one that is completed by a
// notification. The policy engine sends the next message at once, but the earlier one is complete
// only when the platform has acknowledged its notification.

// unansweredNotifications holds the numbers of messages with an unacknowledged notification, by
// ordering key.
type unansweredNotifications map[string]map[uint32]struct{}

// trackNotification records that m has an unacknowledged notification.
func (h *Host) trackNotification(m *memory.Message) {
	if m.OrderingKey == "" {
		return
	}
	if h.unansweredNotifications[m.OrderingKey] == nil {
		h.unansweredNotifications[m.OrderingKey] = map[uint32]struct{}{}
	}
	h.unansweredNotifications[m.OrderingKey][m.Number] = struct{}{}
}

// untrackNotification records that m is complete.
func (h *Host) untrackNotification(m *memory.Message) {
	waiting := h.unansweredNotifications[m.OrderingKey]
	if delete(waiting, m.Number); len(waiting) == 0 {
		delete(h.unansweredNotifications, m.OrderingKey)
	}
}

// blockedByNotification reports whether an earlier message of m's ordering key has an
// unacknowledged notification.
func (h *Host) blockedByNotification(m *memory.Message) bool {
	for num := range h.unansweredNotifications[m.OrderingKey] {
		if num < m.Number {
			return true
		}
	}
	return false
}

// awaitsNotification reports whether a call has to wait for a notification's acknowledgement.
func (h *Host) awaitsNotification(cl *call) bool {
	return slices.ContainsFunc(cl.items, func(it callItem) bool {
		m := h.table.Get(it.num)
		return m != nil && h.blockedByNotification(m)
	})
}

// anyAwaitsNotification reports whether one of calls goes to ep and has to wait.
func (h *Host) anyAwaitsNotification(calls []*call, ep *endpoint) bool {
	return slices.ContainsFunc(calls, func(cl *call) bool { return cl.endpoint == ep && h.awaitsNotification(cl) })
}

// startUnblockedCalls starts the calls that need not wait any more, and ends those that have timed
// out as unsent.
func (h *Host) startUnblockedCalls(now policy.Time) {
	waiting := h.callsAwaitingNotification
	h.callsAwaitingNotification = nil
	for _, cl := range waiting {
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

// endUnsentCall ends a call that was not made and is not in the journal.
func (h *Host) endUnsentCall(cl *call) {
	cl.unrecorded = true
	h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent})})
}

// earliestWaitingCallDeadline returns the first deadline of a waiting call, or at if that is
// earlier.
func (h *Host) earliestWaitingCallDeadline(at policy.Time) policy.Time {
	for _, cl := range h.callsAwaitingNotification {
		at = min(at, cl.startedAt+cl.timeout)
	}
	return at
}
