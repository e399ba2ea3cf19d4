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

// Transfer is what another process of this relay left or transferred: a spool file, or part of a
// process directory.
type Transfer struct {
	Sender       string // the transferring process; empty: read from its directory
	Messages     []*memory.Message
	CompletedIDs []string       // ids of completed messages
	Update       *handover.News // nil: none
	LastProcess  bool           // no other process is left
}

// Adopt takes over a transfer. The returned channel is closed once all of it is in the journal.
func (h *Host) Adopt(p Transfer) <-chan struct{} {
	done := make(chan struct{})
	h.Do(func(h *Host) {
		if p.Update != nil && p.Update.Numbers != nil {
			numbers := *p.Update.Numbers
			numbers.Odd = true
			h.table.UseSharedNumbering(numbers)
		}
		for _, m := range p.Messages {
			h.adopt(m)
		}
		for _, id := range p.CompletedIDs {
			h.removeCompleted(id)
			h.table.MarkCompleted(id)
		}
		if p.Update != nil {
			h.sequencer.Owes(p.Sender, p.Update.Owes)
			h.applyHandoverUpdate(p.Update)
		}
		if p.LastProcess {
			h.ownedElsewhere = nil
			h.releaseHeld(h.sequencer.End())
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
	h.sequencer.Arrived(m.ID)
	num := m.Number // a kept number preserves the order of acceptance, also after a restart
	if have := h.table.ByID(m.ID); have != nil {
		if have.InFlight != nil || !m.Supersedes(have) {
			return
		}
		// The other copy is more recent and replaces this one.
		h.remove(have, true)
		h.table.ForgetCompleted(m.ID)
		h.pendingEvents = append(h.pendingEvents, policy.Withdrawn{ID: have.Number})
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

// JournalWritable reports whether the last write to the journal succeeded.
func (h *Host) JournalWritable() (takes bool) {
	h.Do(func(h *Host) { takes = !h.journal.Unavailable() })
	return takes
}

// applyHandoverUpdate takes over the previous process's state other than messages.
func (h *Host) applyHandoverUpdate(n *handover.News) {
	if l := n.List; l != nil && l.Generation > h.listGeneration {
		pc := memory.EndpointList{Generation: l.Generation, Complete: true}
		for _, m := range l.Members {
			pc.Entries = append(pc.Entries, memory.EndpointEntry{Endpoint: m.Endpoint, HostPort: m.HostPort})
		}
		h.listReceived = true
		h.applyEndpointList(pc, policy.ListSnapshot)
	}
	if n.Learned != nil {
		h.inheritedState = *n.Learned
	}
	for _, id := range n.Known {
		if h.table.ByID(id) == nil && !h.table.RecentlyCompleted(id) {
			if h.ownedElsewhere == nil {
				h.ownedElsewhere = map[string]struct{}{}
			}
			h.ownedElsewhere[id] = struct{}{}
		}
	}
	h.inheritedDrain = h.inheritedDrain || n.Drained
	h.applyBackoffs(n.Waits)
	if h.standby {
		h.untransferredWaits = append(h.untransferredWaits, n.Waits...) // Activate reports them to the policy engine
	}
	h.setInheritedCalls(n.Out)
}

// dateAfter returns the time after a duration from now, on the scale shared with the next process.
func (h *Host) dateAfter(left time.Duration) time.Time {
	return time.UnixMicro(h.dateScale.Date(time.Now().Add(left)))
}

// applyBackoffs applies the Retry-After times that the previous process received.
func (h *Host) applyBackoffs(waits []handover.Wait) {
	for _, w := range waits {
		left := min(time.Until(h.dateScale.Time(w.Until.UnixMicro())), maxRetryAfterMs*time.Millisecond)
		if left <= 0 {
			continue
		}
		g := h.destBackoffs[w.Dest]
		if ep := h.endpoints[w.Endpoint]; ep != nil {
			g = ep.backoff
		} else if g == nil {
			g = &backoff{}
			h.destBackoffs[w.Dest] = g
		}
		g.extend(left)
		h.relay.ApplyRetryAfter(h.now(), w.Endpoint, left)
	}
}

// setInheritedCalls records the calls that the previous process has in flight.
func (h *Host) setInheritedCalls(out []policy.InheritedCall) {
	h.inheritedCalls = out
	h.relay.SetInheritedCalls(h.now(), out)
	h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
}

// Activate starts the policy steps of a standby host. It reports whether the operators had drained
// the relay.
func (h *Host) Activate() (drained bool) {
	h.Do(func(h *Host) {
		var list []policy.Endpoint
		for _, ep := range h.endpoints {
			list = append(list, policy.Endpoint{Address: ep.id, Destination: ep.dest, Kind: h.destKinds[ep.dest], Zone: ep.zone,
				State: policy.EndpointState(ep.state.Load()), Rate: ep.rate})
		}
		slices.SortFunc(list, func(a, b policy.Endpoint) int { return strings.Compare(a.Address, b.Address) })
		if h.awaitListUntil = 0; !h.listReceived {
			h.awaitListUntil = h.now() + endpointListTimeout
		}
		h.relay.ImportState(h.now(), list, h.inheritedState)
		h.relay.SetInheritedCalls(h.now(), h.inheritedCalls)
		h.standby, h.stepsStopped, drained = false, false, h.inheritedDrain
		h.applyBackoffs(h.untransferredWaits)
		h.inheritedState, h.untransferredWaits = policy.LearnedState{}, nil
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
	return drained
}

// HandOver stops the policy steps and transfers this process's state and all messages that are not
// in flight to the next process. Files hold bodies of up to capacity bytes; TransferRemaining sends
// the rest. If the first file cannot be written, nothing changes.
func (h *Host) HandOver(give func([]byte) error, drained bool, room int64) (err error) {
	h.Do(func(h *Host) {
		parked := h.callsAwaitingNotification
		h.callsAwaitingNotification = nil
		for _, cl := range parked {
			h.endUnsentCall(cl) // its messages are transferred
		}
		learned, numbers := h.relay.ExportState(h.now()), h.table.NewSharedNumbering()
		news := &handover.News{Drained: drained, Learned: &learned, List: &handover.List{Generation: h.listGeneration}, Numbers: &numbers}
		for _, ep := range h.endpoints {
			news.List.Members = append(news.List.Members, handover.Member{HostPort: ep.addr, Endpoint: policy.Endpoint{Address: ep.id, Destination: ep.dest,
				Kind: h.destKinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate}})
			if ep.backoff.active() {
				h.untransferredWaits = append(h.untransferredWaits, handover.Wait{Endpoint: ep.id, Dest: ep.dest, Until: h.dateAfter(ep.backoff.remaining())})
			}
		}
		h.untransferred = nil
		for _, m := range h.table.All() {
			if transferable(m) {
				h.untransferred = append(h.untransferred, m)
			} else if m.Notification == nil {
				// It is transferred once that is possible. A file that names it twice could not be
				// read.
				news.Known = append(news.Known, m.ID)
			}
		}
		slices.SortFunc(h.untransferred, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
		h.reportedInFlight = -1
		if err = h.transferPending(give, news, room); err != nil {
			h.untransferredWaits, h.untransferred = nil, nil
			return
		}
		h.sendToSuccessor, h.stepsStopped, h.arrivals, h.pendingEvents = give, true, nil, nil
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
func (h *Host) TransferRemaining(room int64) {
	h.Do(func(h *Host) {
		if h.sendToSuccessor != nil {
			h.transferPending(h.sendToSuccessor, &handover.News{}, room)
		}
	})
}

// transferable reports whether m can be transferred: it is not in flight, and its body is in
// memory.
func transferable(m *memory.Message) bool {
	return m.InFlight == nil && m.Notification == nil && !m.Unanswered && m.SpilledBytes == 0 && (!m.MemoryOnly || m.Body != nil)
}

// transferOverheadBytes bounds the size of a transferred message without its body.
const transferOverheadBytes = 700

// transferPending writes a file for the next process with the messages that fit into capacity
// bytes, if there is anything to report. The limit keeps the messages, which are still in this
// process's directory as well, within the disk budget.
func (h *Host) transferPending(to func([]byte) error, news *handover.News, room int64) error {
	var msgs, rest []*memory.Message
	for i, m := range h.untransferred {
		if h.table.Get(m.Number) != m || !transferable(m) {
			continue
		}
		if room -= int64(m.BodySize() + transferOverheadBytes); room < 0 {
			rest = h.untransferred[i:]
			break
		}
		msgs = append(msgs, m)
	}
	owes := h.remainingOrdered(msgs)
	if len(msgs) == 0 && len(h.untransferredWaits) == 0 && len(h.calls) == h.reportedInFlight && slices.Equal(owes, h.reportedOwed) {
		return nil
	}
	news.Waits, news.Owes = h.untransferredWaits, owes
	for cl := range h.calls {
		news.Out = append(news.Out, policy.InheritedCall{Endpoint: cl.endpoint.id, Age: h.now() - cl.startedAt})
	}
	if err := to(journal.EncodeTransfer(msgs, news.Encode(), h.dateScale)); err != nil {
		h.log.Error("transfer to the next process failed; messages stay in the process directory", "messages", len(msgs), "err", err)
		return err
	}
	h.untransferredWaits, h.reportedInFlight, h.reportedOwed, h.untransferred = nil, len(h.calls), owes, rest
	for _, m := range msgs {
		// The message is not complete, so its id is not kept as such.
		h.remove(m, true)
		h.table.ForgetCompleted(m.ID)
	}
	return nil
}

// Remaining counts the messages of a stopping process, its calls in flight, and the messages that
// only its directory can pass on.
func (h *Host) Remaining() (held, out, behind int) {
	h.Do(func(h *Host) {
		for _, m := range h.table.All() {
			if m.Notification == nil && m.InFlight == nil && !m.Unanswered && !transferable(m) {
				behind++
			}
		}
		held, out = len(h.table.All()), len(h.calls)
	})
	return held, out, behind
}

// SetJournalShare sets the journal's disk budget, of total bytes shared with others' usage: all of
// the rest if alone, else a part of it.
func (h *Host) SetJournalShare(all, others int64, alone bool) {
	h.Do(func(h *Host) {
		if alone {
			h.journal.SetBudget(all - others)
		} else {
			h.journal.SetBudget(handover.Budget(all, h.journal.UsedBytes(), others))
		}
	})
}

// StartGossip starts the gossip with other relays.
func (h *Host) StartGossip(notes *GossipSocket, among FleetIdentity) {
	h.Do(func(h *Host) {
		h.gossipSocket = notes
		h.joinFleet(among)
		go notes.receiveLoop(h.events)
		go notes.sendLoop()
	})
}

// SetMaxIdleConns limits the idle connections to endpoints.
func (h *Host) SetMaxIdleConns(most int) { h.Do(func(h *Host) { h.maxIdleConns = most }) }
