package wire

import (
	"slices"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file keeps the order of a subject behind a message that a notice ends: the module lets the next one go as it ends the one before, and
// that is over only once the platform has answered.

// awaitedNotices are messages that are ended by a notice which the platform has not answered yet: their numbers, by subject.
type awaitedNotices map[string]map[uint32]struct{}

// awaitNotice books that m is over only once the platform has answered its notice.
func (h *Host) awaitNotice(m *memory.Message) {
	if m.OrderingKey == "" {
		return
	}
	if h.awaited[m.OrderingKey] == nil {
		h.awaited[m.OrderingKey] = map[uint32]struct{}{}
	}
	h.awaited[m.OrderingKey][m.Number] = struct{}{}
}

// noticeAnswered books that m is over.
func (h *Host) noticeAnswered(m *memory.Message) {
	waiting := h.awaited[m.OrderingKey]
	if delete(waiting, m.Number); len(waiting) == 0 {
		delete(h.awaited, m.OrderingKey)
	}
}

// behindNotice tells whether an earlier message of the subject of m is ended by a notice that the platform has not answered yet.
func (h *Host) behindNotice(m *memory.Message) bool {
	for num := range h.awaited[m.OrderingKey] {
		if num < m.Number {
			return true
		}
	}
	return false
}

// parks tells whether a call has to wait for the answer to a notice.
func (h *Host) parks(cl *call) bool {
	return slices.ContainsFunc(cl.items, func(it callItem) bool {
		m := h.table.Get(it.num)
		return m != nil && h.behindNotice(m)
	})
}

// parksOne tells whether one of these calls goes to ep and has to wait.
func (h *Host) parksOne(calls []*call, ep *endpoint) bool {
	return slices.ContainsFunc(calls, func(cl *call) bool { return cl.endpoint == ep && h.parks(cl) })
}

// unpark makes the calls that wait for no notice any more. One whose time is up has not been sent.
func (h *Host) unpark(now policy.Time) {
	parked := h.parked
	h.parked = nil
	for _, cl := range parked {
		switch {
		case !h.parks(cl):
			h.begun = append(h.begun, cl)
		case now >= cl.startedAt+cl.timeout:
			h.endParked(cl)
		default:
			h.parked = append(h.parked, cl)
		}
	}
}

// endParked ends a call that was not made: it is in no journal.
func (h *Host) endParked(cl *call) {
	cl.unrecorded = true
	h.handleCallResult(callResult{call: cl, results: uniformResults(cl, itemResult{outcome: policy.Unsent})})
}

// parkedUntil is when the first call's time is up that waits for a notice; at where that is later.
func (h *Host) parkedUntil(at policy.Time) policy.Time {
	for _, cl := range h.parked {
		at = min(at, cl.startedAt+cl.timeout)
	}
	return at
}
