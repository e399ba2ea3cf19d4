package wire

import (
	"slices"

	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file hands this process's messages and state over to the next process. The other side is in
// handover.go.

// Handover is what a process needs to hand over to the next one.
type Handover struct {
	Send       func([]byte) error // writes a file for the next process
	ProcessDir string             // name of this process's directory
	Use        LeavingUse
	Drained    bool // operators have drained the relay
}

// LeavingUse is what a leaving process uses of the relay's limits.
type LeavingUse struct {
	Disk        share.DiskUse // the host adds what its journal needs
	ClientConns int           // client connections that it keeps
}

// HandOver stops the policy steps and transfers this process's state and all messages that are not
// in flight to the next process, as far as its share of the disk has room; TransferRemaining sends
// the rest. If the first file cannot be written, nothing changes.
func (h *Host) HandOver(handOver Handover) (err error) {
	h.Do(func(h *Host) {
		waiting := h.callsAwaitingNotification
		h.callsAwaitingNotification = nil
		for _, cl := range waiting {
			h.endUnsentCall(cl) // its messages are transferred
		}
		state, numbers := h.relay.ExportState(h.now()), h.table.NewSharedNumbering()
		update := &handover.Update{Drained: &handOver.Drained, LearnedState: &state, Incarnation: h.incarnation(),
			EndpointList: &handover.EndpointList{Generation: h.listGeneration},
			Numbering:    &numbers, SitesOut: h.sitesOut()}
		for _, ep := range h.endpoints {
			update.EndpointList.Endpoints = append(update.EndpointList.Endpoints,
				handover.ListedEndpoint{HostPort: ep.addr,
					Endpoint: policy.Endpoint{Address: ep.id, Destination: ep.dest, Kind: h.destKinds[ep.dest],
						Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate}})
			if ep.backoff.active() {
				h.untransferredRetryAfters = append(h.untransferredRetryAfters,
					handover.RetryAfter{Endpoint: ep.id, Dest: ep.dest, Until: h.dateAfter(ep.backoff.remaining())})
			}
		}
		h.untransferred = nil
		for _, m := range h.table.All() {
			if transferable(m) {
				h.untransferred = append(h.untransferred, m)
			} else if m.Notification == nil {
				// It is transferred once that is possible. A file that names it twice could not be
				// read.
				update.OwnedIDs = append(update.OwnedIDs, m.ID)
			}
		}
		slices.SortFunc(h.untransferred, func(a, b *memory.Message) int {
			return int(int64(a.Number) - int64(b.Number))
		})
		h.reportedInFlight = -1
		budget := h.journal.SpaceUse().Budget
		leaving := newLeaving(handOver, h.journal, share.KeepPending(h.pendingLimit(), h.table.PendingCount()))
		if err = h.transferPending(leaving, update, share.MaxTransferBytes); err != nil {
			h.untransferredRetryAfters, h.untransferred = nil, nil
			h.journal.SetShare(budget)
			return
		}
		h.leavingProcess, h.stepsStopped, h.arrivals, h.pendingEvents = leaving, true, nil, nil
		h.watchAllDeadlines()
		h.sequencer = sequence.Sequencer{}
		h.table.UseSharedNumbering(numbers)
		for cl := range h.calls {
			for i := range cl.items {
				cl.items[i].reported, cl.items[i].resubmit = true, true // unfinished messages are transferred
			}
		}
		for _, ep := range h.endpoints {
			h.closeIdleConns(ep)
		}
	})
	return err
}

// TransferRemaining transfers what is left: what did not fit, messages accepted since, and those
// that calls left unfinished. It lowers this process's share of the limits to what it uses by now,
// and writes a file only if mayWrite is set.
func (h *Host) TransferRemaining(use LeavingUse, mayWrite bool) {
	h.Do(func(h *Host) {
		if h.leavingProcess == nil {
			return
		}
		h.leavingProcess.update(use, h.table.PendingCount())
		if mayWrite {
			h.transferPending(h.leavingProcess, &handover.Update{}, share.MaxTransferBytes)
		}
	})
}

// transferable reports whether m can be transferred: it is neither in flight nor completed by a
// notification, its client was answered, and its body is in memory.
func transferable(m *memory.Message) bool {
	return m.InFlight == nil && m.Notification == nil && !m.Unanswered && m.SpilledBytes == 0 &&
		(!m.MemoryOnly || m.Body != nil)
}

// transferOverheadBytes bounds the size of a transferred message without its body.
const transferOverheadBytes = 700

// selectTransfer returns the messages that fit into capacity bytes, and those that stay. A message
// that does not fit holds up no other: the next process keeps the order of each ordering key, since
// it is told what stays here.
func (h *Host) selectTransfer(capacity int64) (msgs, rest []*memory.Message) {
	for i, m := range h.untransferred {
		if capacity < transferOverheadBytes {
			return msgs, append(rest, h.untransferred[i:]...) // nothing else fits
		}
		if h.table.Get(m.Number) != m || !transferable(m) {
			continue
		}
		size := int64(m.BodySize()+transferOverheadBytes) + h.journal.MessageReserve(len(m.ID))
		if size > capacity {
			rest = append(rest, m)
			continue
		}
		capacity -= size
		msgs = append(msgs, m)
	}
	return msgs, rest
}

// transferPending writes a file for the next process with the messages that fit into capacity bytes
// and its share of the disk, if there is anything to report. The messages stay in this process's
// directory as well until compaction removes them.
func (h *Host) transferPending(leaving *leavingProcess, update *handover.Update, capacity int64) error {
	update.RetryAfters = h.untransferredRetryAfters
	for cl := range h.calls {
		update.InFlightCalls = append(update.InFlightCalls,
			policy.InheritedCall{Endpoint: cl.endpoint.id, Age: h.now() - cl.startedAt})
	}
	var msgs, rest []*memory.Message
	if len(h.untransferred) > 0 || update.LearnedState != nil {
		update.PendingOrdered = h.remainingOrdered(nil)
		msgs, rest = h.selectTransfer(min(capacity, leaving.messageCapacity(leaving.fitUpdate(update))))
	}
	update.PendingOrdered = h.remainingOrdered(msgs)
	if len(msgs) == 0 && len(h.untransferredRetryAfters) == 0 && len(h.calls) == h.reportedInFlight &&
		slices.Equal(update.PendingOrdered, h.reportedOwed) && !leaving.hasShareToTell() {
		return nil
	}
	if err := leaving.send(msgs, update, h.dateScale); err != nil {
		h.log.Error("transfer to the next process failed; messages stay in the process directory",
			"messages", len(msgs), "err", err)
		return err
	}
	h.untransferredRetryAfters, h.reportedInFlight, h.reportedOwed = nil, len(h.calls), update.PendingOrdered
	h.untransferred = rest
	for _, m := range msgs {
		// The message is not complete, so its id must not count as that of a completed one.
		h.remove(m, true)
		h.table.ForgetCompleted(m.ID)
	}
	return nil
}

// Remaining counts the messages of a stopping process, its calls in flight, and the messages that
// only its directory can pass on.
func (h *Host) Remaining() (pending, inFlight, untransferable int) {
	h.Do(func(h *Host) {
		for _, m := range h.table.All() {
			if m.Notification == nil && m.InFlight == nil && !m.Unanswered && !transferable(m) {
				untransferable++
			}
		}
		pending, inFlight = len(h.table.All()), len(h.calls)
	})
	return pending, inFlight, untransferable
}
