package wire

import (
	"slices"
	"strings"
	"time"

	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// Transfer is what another process of this relay transferred or left behind: a spool file, or part
// of a process directory.
type Transfer struct {
	Sender       string // the transferring process; empty: read from its directory
	Messages     []*memory.Message
	CompletedIDs []string         // ids of completed messages
	Update       *handover.Update // nil: none
	LastProcess  bool             // no other process is left
}

// Adopt takes over a transfer. The returned channel is closed once all of it is in the journal.
func (h *Host) Adopt(transfer Transfer) <-chan struct{} {
	done := make(chan struct{})
	h.Do(func(h *Host) {
		if transfer.Update != nil && transfer.Update.Numbering != nil {
			numbers := *transfer.Update.Numbering
			numbers.Odd = true
			h.table.UseSharedNumbering(numbers)
		}
		for _, m := range transfer.Messages {
			h.adopt(m)
		}
		for _, id := range transfer.CompletedIDs {
			h.removeCompleted(id)
			h.table.MarkCompleted(id)
		}
		if transfer.Update != nil {
			h.sequencer.SetPending(transfer.Sender, transfer.Update.PendingOrdered)
			h.applyHandoverUpdate(transfer.Update)
		}
		if transfer.LastProcess {
			h.ownedElsewhere = nil
			h.releaseHeld(h.sequencer.Finish())
			h.table.StopSharedNumbering()
			h.setInheritedCalls(nil)
		}
		h.uncommittedTransfers = append(h.uncommittedTransfers, done)
	})
	return done
}

// adopt takes over one message. It may come twice, if a process died between transferring it and
// recording that; its id then identifies it.
func (h *Host) adopt(m *memory.Message) {
	delete(h.ownedElsewhere, m.ID)
	h.sequencer.MarkArrived(m.ID)
	num := m.Number // a kept number preserves the order of acceptance, also after a restart
	if existing := h.table.ByID(m.ID); existing != nil {
		if existing.InFlight != nil || !m.Supersedes(existing) {
			return
		}
		// The other copy is more recent and replaces this one.
		h.remove(existing, true)
		h.table.ForgetCompleted(m.ID)
		h.pendingEvents = append(h.pendingEvents, policy.Withdrawn{ID: existing.Number})
		num = h.table.NextNumber()
	} else if h.table.RecentlyCompleted(m.ID) {
		return
	} else if !h.table.CanKeepNumber(num) {
		num = h.table.NextNumber()
	}
	m.Number, m.InFlight, m.Unanswered = num, nil, false
	h.journal.AppendTransferred(h.table, m)
	h.resume(m, time.Now())
}

// removeCompleted removes the message of a completed id, unless its call is in flight. A process
// that received the message may have completed it and died before the transfer was recorded at its
// source.
func (h *Host) removeCompleted(id string) {
	m := h.table.ByID(id)
	if m == nil || m.InFlight != nil || m.Notification != nil || m.Unanswered {
		return
	}
	h.remove(m, false)
	h.pendingEvents = append(h.pendingEvents, policy.Withdrawn{ID: m.Number})
}

// KnownIDs returns the ids of all pending messages and of the completed ones that are remembered.
func (h *Host) KnownIDs() (ids []string) {
	h.Do(func(h *Host) {
		ids = h.table.CompletedIDs()
		for _, m := range h.table.All() {
			ids = append(ids, m.ID)
		}
	})
	return ids
}

// JournalWritable reports whether the last write to the journal succeeded.
func (h *Host) JournalWritable() (writable bool) {
	h.Do(func(h *Host) { writable = !h.journal.Unavailable() })
	return writable
}

// applyHandoverUpdate takes over the previous process's state other than messages.
func (h *Host) applyHandoverUpdate(update *handover.Update) {
	if l := update.EndpointList; l != nil && l.Generation > h.listGeneration {
		list := memory.EndpointList{Generation: l.Generation, Complete: true}
		for _, m := range l.Endpoints {
			list.Entries = append(list.Entries, memory.EndpointEntry{Endpoint: m.Endpoint, HostPort: m.HostPort})
		}
		h.listReceived = true
		h.applyEndpointList(list, policy.ListSnapshot)
	}
	if update.LearnedState != nil {
		h.inheritedState = *update.LearnedState
	}
	for _, id := range update.OwnedIDs {
		if h.table.ByID(id) == nil && !h.table.RecentlyCompleted(id) {
			if h.ownedElsewhere == nil {
				h.ownedElsewhere = map[string]struct{}{}
			}
			h.ownedElsewhere[id] = struct{}{}
		}
	}
	h.inheritedDrain = h.inheritedDrain || update.Drained
	h.raiseIncarnationAbove(update.Incarnation)
	h.applyBackoffs(update.RetryAfters)
	if h.standby {
		// Activate reports them to the policy engine.
		h.untransferredRetryAfters = append(h.untransferredRetryAfters, update.RetryAfters...)
	}
	h.setInheritedCalls(update.InFlightCalls)
}

// dateAfter returns the time after a duration from now, on the scale shared with the next process.
func (h *Host) dateAfter(left time.Duration) time.Time {
	return time.UnixMicro(h.dateScale.Date(time.Now().Add(left)))
}

// applyBackoffs applies the Retry-After times that the previous process received.
func (h *Host) applyBackoffs(retryAfters []handover.RetryAfter) {
	for _, w := range retryAfters {
		left := min(time.Until(h.dateScale.Time(w.Until.UnixMicro())), maxRetryAfterMs*time.Millisecond)
		if left <= 0 {
			continue
		}
		destBackoff := h.destBackoffs[w.Dest]
		if ep := h.endpoints[w.Endpoint]; ep != nil {
			destBackoff = ep.backoff
		} else if destBackoff == nil {
			destBackoff = &backoff{}
			h.destBackoffs[w.Dest] = destBackoff
		}
		destBackoff.extend(left)
		h.relay.ApplyRetryAfter(h.now(), w.Endpoint, left)
	}
}

// setInheritedCalls records the calls that the previous process has in flight.
func (h *Host) setInheritedCalls(calls []policy.InheritedCall) {
	h.inheritedCalls = calls
	h.relay.SetInheritedCalls(h.now(), calls)
	h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
}

// Activate starts the policy steps of a standby host. It reports whether the operators had drained
// the relay.
func (h *Host) Activate() (drained bool) {
	h.Do(func(h *Host) {
		var list []policy.Endpoint
		for _, ep := range h.endpoints {
			list = append(list, policy.Endpoint{Address: ep.id, Destination: ep.dest,
				Kind: h.destKinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate})
		}
		slices.SortFunc(list, func(a, b policy.Endpoint) int { return strings.Compare(a.Address, b.Address) })
		if h.awaitListUntil = 0; !h.listReceived {
			h.awaitListUntil = h.now() + endpointListTimeout
		}
		h.relay.ImportState(h.now(), list, h.inheritedState)
		h.relay.SetInheritedCalls(h.now(), h.inheritedCalls)
		h.standby, h.stepsStopped, drained = false, false, h.inheritedDrain
		h.applyBackoffs(h.untransferredRetryAfters)
		h.inheritedState, h.untransferredRetryAfters = policy.LearnedState{}, nil
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
	return drained
}

// HandOver stops the policy steps and transfers this process's state and all messages that are not
// in flight to the next process. Files hold bodies of up to capacity bytes; TransferRemaining sends
// the rest. If the first file cannot be written, nothing changes.
func (h *Host) HandOver(send func([]byte) error, drained bool, capacity int64) (err error) {
	h.Do(func(h *Host) {
		waiting := h.callsAwaitingNotification
		h.callsAwaitingNotification = nil
		for _, cl := range waiting {
			h.endUnsentCall(cl) // its messages are transferred
		}
		state, numbers := h.relay.ExportState(h.now()), h.table.NewSharedNumbering()
		update := &handover.Update{Drained: drained, LearnedState: &state, Incarnation: h.incarnation(),
			EndpointList: &handover.EndpointList{Generation: h.listGeneration},
			Numbering:    &numbers}
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
		if err = h.transferPending(send, update, capacity); err != nil {
			h.untransferredRetryAfters, h.untransferred = nil, nil
			return
		}
		h.sendToSuccessor, h.stepsStopped, h.arrivals, h.pendingEvents = send, true, nil, nil
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
// that calls left unfinished.
func (h *Host) TransferRemaining(capacity int64) {
	h.Do(func(h *Host) {
		if h.sendToSuccessor != nil {
			h.transferPending(h.sendToSuccessor, &handover.Update{}, capacity)
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
		size := int64(m.BodySize() + transferOverheadBytes)
		if size > capacity {
			rest = append(rest, m)
			continue
		}
		capacity -= size
		msgs = append(msgs, m)
	}
	return msgs, rest
}

// transferPending writes a file for the next process with the messages that fit into capacity
// bytes, if there is anything to report. The limit keeps the messages, which are still in this
// process's directory as well, within the disk budget.
func (h *Host) transferPending(send func([]byte) error, update *handover.Update, capacity int64) error {
	msgs, rest := h.selectTransfer(capacity)
	owed := h.remainingOrdered(msgs)
	if len(msgs) == 0 && len(h.untransferredRetryAfters) == 0 && len(h.calls) == h.reportedInFlight &&
		slices.Equal(owed, h.reportedOwed) {
		return nil
	}
	update.RetryAfters, update.PendingOrdered = h.untransferredRetryAfters, owed
	for cl := range h.calls {
		update.InFlightCalls = append(update.InFlightCalls,
			policy.InheritedCall{Endpoint: cl.endpoint.id, Age: h.now() - cl.startedAt})
	}
	if err := send(journal.EncodeTransfer(msgs, update.Encode(), h.dateScale)); err != nil {
		h.log.Error("transfer to the next process failed; messages stay in the process directory",
			"messages", len(msgs), "err", err)
		return err
	}
	h.untransferredRetryAfters, h.reportedInFlight, h.reportedOwed, h.untransferred = nil, len(h.calls), owed, rest
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

// SetJournalShare sets the journal's disk budget, of total bytes shared with others' usage: all of
// the rest if alone, else a part of it.
func (h *Host) SetJournalShare(total, others int64, alone bool) {
	h.Do(func(h *Host) {
		if alone {
			h.journal.SetBudget(total - others)
		} else {
			h.journal.SetBudget(handover.JournalBudget(total, h.journal.UsedBytes(), others))
		}
	})
}

// StartGossip starts the gossip with other relays.
func (h *Host) StartGossip(socket *GossipSocket, identity FleetIdentity) {
	h.Do(func(h *Host) {
		h.gossipSocket = socket
		h.joinFleet(identity)
		go socket.receiveLoop(h.events)
		go socket.sendLoop()
	})
}

// SetMaxIdleConns limits the idle connections to endpoints, and closes those above the limit.
func (h *Host) SetMaxIdleConns(limit int) {
	h.Do(func(h *Host) {
		h.maxIdleConns = limit
		h.limitIdleConns()
	})
}
