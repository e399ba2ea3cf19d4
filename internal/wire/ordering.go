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

// This file keeps the order of a subject while another process of this relay still owes messages of it.

// BeginTransferScan says that all that other processes have given by now is about to be adopted. From the first look on, messages of ordered
// classes wait for the looks, until Adopt is told that no other process is left.
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

// EndTransferScan says that it is adopted.
func (h *Host) EndTransferScan() { h.Do(func(h *Host) { h.sequencer.EndScan() }) }

// passToPolicy passes m on to the module, or holds it back while another process may owe one of its subject that was handed in earlier.
// looked: another process gave it.
func (h *Host) passToPolicy(m *memory.Message, looked bool) {
	until := h.now() + time.Until(m.Deadline) - deadlineMargin
	if !h.sequencer.Hold(sequenceEntry(m), until, looked) {
		h.arrivals = append(h.arrivals, m)
	}
}

func sequenceEntry(m *memory.Message) sequence.Message {
	return sequence.Message{ID: m.ID, OrderingKey: m.OrderingKey, Number: m.Number}
}

// releaseHeld passes on what was held back and need not be any more.
func (h *Host) releaseHeld(nums []uint32) {
	for _, num := range nums {
		if m := h.table.Get(num); m != nil && m.Notification == nil {
			h.arrivals = append(h.arrivals, m)
		}
	}
}

// expireHeld ends messages whose time is up while they are held back: the module has not heard of them.
func (h *Host) expireHeld(now policy.Time) {
	for _, num := range h.sequencer.Expired(now) {
		if m := h.table.Get(num); m != nil {
			h.completeByNotification(num, h.failureNotification(limits.Refuse, m))
		}
	}
}

// remainingOrdered lists the messages of ordered classes that this process still owes beside those that it gives now, in the order of hand-in.
func (h *Host) remainingOrdered(given []*memory.Message) (list []sequence.Message) {
	gives := make(map[uint32]struct{}, len(given))
	for _, m := range given {
		gives[m.Number] = struct{}{}
	}
	for _, m := range h.table.All() {
		if _, now := gives[m.Number]; !now && m.OrderingKey != "" {
			list = append(list, sequenceEntry(m))
		}
	}
	slices.SortFunc(list, func(a, b sequence.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	return list
}

// announceOrdered tells the successor of messages of ordered classes that this process has just taken on, before their clients hear of it. Guards against
// the next one of a subject, which its client hands in at the successor as soon as it has the answer here.
func (h *Host) announceOrdered() error {
	if h.sendToSuccessor == nil || !slices.ContainsFunc(h.uncommittedReplies, acceptedOrdered) {
		return nil
	}
	err := h.transferPending(h.sendToSuccessor, &handover.Update{}, 0)
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

// acceptedOrdered tells whether a hand-in was taken on in an ordered class.
func acceptedOrdered(r pendingReply) bool { return r.result.accepted && r.message.OrderingKey != "" }

// earliestHeldDeadline is when the first message's time is up that is held back; at where that is later.
func (h *Host) earliestHeldDeadline(at policy.Time) policy.Time {
	if due, some := h.sequencer.NextDeadline(); some {
		return min(at, due)
	}
	return at
}
