package wire

import (
	"slices"
	"time"

	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/memory"
	"oatfold/internal/plugin/limits"
	"oatfold/policy"
)

// This file keeps messages of an ordering key in order while another process of this relay still
// has to complete earlier ones.

// BeginTransferScan announces that everything transferred so far is about to be adopted. From the
// first scan on, messages of ordered classes wait for scans until Adopt receives LastProcess.
func (h *Host) BeginTransferScan() {
	h.Do(func(h *Host) {
		h.sequencer.BeginScan()
		arrivals := h.arrivals
		h.arrivals = nil
		for _, m := range arrivals {
			h.passToPolicy(m, false)
		}
	})
}

// EndTransferScan announces that the scan's transfers are adopted.
func (h *Host) EndTransferScan() { h.Do(func(h *Host) { h.sequencer.EndScan() }) }

// passToPolicy passes m to the policy engine, or holds it while another process may owe an earlier
// message of its ordering key. transferred: m came from another process.
func (h *Host) passToPolicy(m *memory.Message, transferred bool) {
	until := h.now() + time.Until(m.Deadline) - deadlineMargin
	if !h.sequencer.Hold(sequenceEntry(m), until, transferred) {
		h.queueArrival(m)
	}
}

// sequenceEntry returns what the sequencer needs to know of m.
func sequenceEntry(m *memory.Message) sequence.Message {
	return sequence.Message{ID: m.ID, OrderingKey: m.OrderingKey, Number: m.Number}
}

// releaseHeld passes messages that need not be held any more to the policy engine.
func (h *Host) releaseHeld(nums []uint32) {
	for _, num := range nums {
		if m := h.table.Get(num); m != nil && m.Notification == nil {
			h.queueArrival(m)
		}
	}
}

// expireHeld completes held messages at their deadline; the policy engine has not received them.
func (h *Host) expireHeld(now policy.Time) {
	for _, num := range h.sequencer.Expired(now) {
		if m := h.table.Get(num); m != nil {
			h.completeByNotification(num, h.failureNotification(limits.Refuse, m))
		}
	}
}

// remainingOrdered lists the messages with an ordering key that this process still has to complete,
// without those in transferred, in order of acceptance.
func (h *Host) remainingOrdered(transferred []*memory.Message) (list []sequence.Message) {
	excluded := make(map[uint32]struct{}, len(transferred))
	for _, m := range transferred {
		excluded[m.Number] = struct{}{}
	}
	for _, m := range h.table.All() {
		if _, skip := excluded[m.Number]; !skip && m.OrderingKey != "" {
			list = append(list, sequenceEntry(m))
		}
	}
	slices.SortFunc(list, func(a, b sequence.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	return list
}

// announceOrdered reports accepted messages of ordered classes to the next process before their
// clients are answered, since a client may submit the next message of the ordering key there as
// soon as it has the response.
func (h *Host) announceOrdered() error {
	if h.leavingProcess == nil || !slices.ContainsFunc(h.uncommittedReplies, acceptedOrdered) {
		return nil
	}
	err := h.transferPending(h.leavingProcess, &handover.Update{}, 0)
	if err == nil {
		return nil
	}
	for _, r := range h.uncommittedReplies {
		if acceptedOrdered(r) {
			h.remove(r.message, true)
			h.table.ForgetCompleted(r.message.ID)
			h.clientAnsweredInOrder(r.message, false)
		}
	}
	return err
}

// acceptedOrdered reports whether r accepts a message of an ordered class.
func acceptedOrdered(r pendingReply) bool { return r.result.accepted && r.message.OrderingKey != "" }

// earliestHeldDeadline returns the first deadline of a held message, or at if that is earlier.
func (h *Host) earliestHeldDeadline(at policy.Time) policy.Time {
	if due, ok := h.sequencer.NextDeadline(); ok {
		return min(at, due)
	}
	return at
}
