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

// Transfer is what another process of this relay left or gave: a file of the spool, or a part of a room.
type Transfer struct {
	Sender       string // the process that gave it; empty: a room
	Messages     []*memory.Message
	CompletedIDs []string         // ids of messages that are over
	Update       *handover.Update // nil: none
	LastProcess  bool             // no other process is left
}

// Adopt takes over what was passed. What it returns is closed once all of it is in the journal.
func (h *Host) Adopt(p Transfer) <-chan struct{} {
	done := make(chan struct{})
	h.Do(func(h *Host) {
		if p.Update != nil && p.Update.Numbering != nil {
			numbers := *p.Update.Numbering
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
			h.sequencer.SetPending(p.Sender, p.Update.PendingOrdered)
			h.applyHandoverUpdate(p.Update)
		}
		if p.LastProcess {
			h.ownedElsewhere = nil
			h.releaseHeld(h.sequencer.Finish())
			h.table.StopSharedNumbering()
			h.setInheritedCalls(nil)
		}
		h.uncommittedTransfers = append(h.uncommittedTransfers, done)
	})
	return done
}

// adopt takes one message over, as it stands. Guards against a process that died between giving a message and booking that it had: the same
// message then comes twice, and is known by its id.
func (h *Host) adopt(m *memory.Message) {
	delete(h.ownedElsewhere, m.ID)
	h.sequencer.MarkArrived(m.ID)
	num := m.Number // where the message keeps it, it keeps its place in the order of hand-in, here and after a restart
	if have := h.table.ByID(m.ID); have != nil {
		if have.InFlight != nil || !m.Supersedes(have) {
			return
		}
		// The other account knows more: it takes the place of this one.
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

// removeCompleted ends the message of that id, which is over, unless its call is out. Guards against a message that was given to a process that ran it
// and died before it had booked the gift: it is still there for the next one.
func (h *Host) removeCompleted(id string) {
	m := h.table.ByID(id)
	if m == nil || m.InFlight != nil || m.Notification != nil || m.Unanswered {
		return
	}
	h.remove(m, false)
	h.pendingEvents = append(h.pendingEvents, policy.Withdrawn{ID: m.Number})
}

// JournalWritable tells whether the journal took what was written to it last.
func (h *Host) JournalWritable() (takes bool) {
	h.Do(func(h *Host) { takes = !h.journal.Unavailable() })
	return takes
}

// applyHandoverUpdate takes over what the process before knows beside messages.
func (h *Host) applyHandoverUpdate(n *handover.Update) {
	if l := n.EndpointList; l != nil && l.Generation > h.listGeneration {
		pc := memory.EndpointList{Generation: l.Generation, Complete: true}
		for _, m := range l.Endpoints {
			pc.Entries = append(pc.Entries, memory.EndpointEntry{Endpoint: m.Endpoint, HostPort: m.HostPort})
		}
		h.listReceived = true
		h.applyEndpointList(pc, policy.ListSnapshot)
	}
	if n.LearnedState != nil {
		h.inheritedState = *n.LearnedState
	}
	for _, id := range n.OwnedIDs {
		if h.table.ByID(id) == nil && !h.table.RecentlyCompleted(id) {
			if h.ownedElsewhere == nil {
				h.ownedElsewhere = map[string]struct{}{}
			}
			h.ownedElsewhere[id] = struct{}{}
		}
	}
	h.inheritedDrain = h.inheritedDrain || n.Drained
	h.applyBackoffs(n.RetryAfters)
	if h.standby {
		h.untransferredWaits = append(h.untransferredWaits, n.RetryAfters...) // the module has yet to hear of them
	}
	h.setInheritedCalls(n.InFlightCalls)
}

// dateAfter is the date in so much time from now, for the process that takes this one's place.
func (h *Host) dateAfter(left time.Duration) time.Time {
	return time.UnixMicro(h.dateScale.Date(time.Now().Add(left)))
}

// applyBackoffs heeds waits that the process before was told.
func (h *Host) applyBackoffs(waits []handover.RetryAfter) {
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

// setInheritedCalls books the calls that the process before still has out.
func (h *Host) setInheritedCalls(out []policy.InheritedCall) {
	h.inheritedCalls = out
	h.relay.SetInheritedCalls(h.now(), out)
	h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
}

// Activate begins the steps of a host that stood by, and tells whether the relay was drained by its operators.
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

// HandOver ends the steps and gives what is not out, with what this process knows, to the one that takes its place. Files hold bodies of up to room
// bytes; the rest goes with Give. Where the first file cannot be given, all stays as it was.
func (h *Host) HandOver(give func([]byte) error, drained bool, room int64) (err error) {
	h.Do(func(h *Host) {
		parked := h.callsAwaitingNotification
		h.callsAwaitingNotification = nil
		for _, cl := range parked {
			h.endUnsentCall(cl) // its messages are given
		}
		learned, numbers := h.relay.ExportState(h.now()), h.table.NewSharedNumbering()
		news := &handover.Update{Drained: drained, LearnedState: &learned, EndpointList: &handover.EndpointList{Generation: h.listGeneration}, Numbering: &numbers}
		for _, ep := range h.endpoints {
			news.EndpointList.Endpoints = append(news.EndpointList.Endpoints, handover.ListedEndpoint{HostPort: ep.addr, Endpoint: policy.Endpoint{Address: ep.id, Destination: ep.dest,
				Kind: h.destKinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate}})
			if ep.backoff.active() {
				h.untransferredWaits = append(h.untransferredWaits, handover.RetryAfter{Endpoint: ep.id, Dest: ep.dest, Until: h.dateAfter(ep.backoff.remaining())})
			}
		}
		h.untransferred = nil
		for _, m := range h.table.All() {
			if transferable(m) {
				h.untransferred = append(h.untransferred, m)
			} else if m.Notification == nil {
				// Guards against giving it twice in one file, which nobody could read: it comes by itself once it may be given.
				news.OwnedIDs = append(news.OwnedIDs, m.ID)
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
				cl.items[i].reported, cl.items[i].resubmit = true, true // what they leave undone is given
			}
		}
		for _, ep := range h.endpoints {
			h.closeIdleConns(ep)
		}
	})
	return err
}

// TransferRemaining goes on with what is left by now: what did not fit, what was still taken on, what calls have left undone.
func (h *Host) TransferRemaining(room int64) {
	h.Do(func(h *Host) {
		if h.sendToSuccessor != nil {
			h.transferPending(h.sendToSuccessor, &handover.Update{}, room)
		}
	})
}

// transferable tells whether m can be given: nothing of it is under way, and its body is at hand.
func transferable(m *memory.Message) bool {
	return m.InFlight == nil && m.Notification == nil && !m.Unanswered && m.SpilledBytes == 0 && (!m.MemoryOnly || m.Body != nil)
}

// transferOverheadBytes is what a message takes of a file beside its body, as a bound.
const transferOverheadBytes = 700

// transferPending gives what is left, as far as it fits, if there is anything to tell. Guards against a folder that holds all of it twice, in the room and in the spool, and goes
// over its limit.
func (h *Host) transferPending(to func([]byte) error, news *handover.Update, room int64) error {
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
	news.RetryAfters, news.PendingOrdered = h.untransferredWaits, owes
	for cl := range h.calls {
		news.InFlightCalls = append(news.InFlightCalls, policy.InheritedCall{Endpoint: cl.endpoint.id, Age: h.now() - cl.startedAt})
	}
	if err := to(journal.EncodeTransfer(msgs, news.Encode(), h.dateScale)); err != nil {
		h.log.Error("not given to the process that takes over: it stays in the room", "messages", len(msgs), "err", err)
		return err
	}
	h.untransferredWaits, h.reportedInFlight, h.reportedOwed, h.untransferred = nil, len(h.calls), owes, rest
	for _, m := range msgs {
		// Its id is not kept as over: it is not.
		h.remove(m, true)
		h.table.ForgetCompleted(m.ID)
	}
	return nil
}

// Remaining counts what a process that leaves still owes something for, its calls out, and the messages that can only be taken over with
// its room.
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

// SetJournalShare sets what the journal may take of the disk, of which others take so much: all of the rest, or while another process
// writes as well, a part of it.
func (h *Host) SetJournalShare(all, others int64, alone bool) {
	h.Do(func(h *Host) {
		if alone {
			h.journal.SetBudget(all - others)
		} else {
			h.journal.SetBudget(handover.JournalBudget(all, h.journal.UsedBytes(), others))
		}
	})
}

// StartGossip has the host tell other relays what it sees, from now on.
func (h *Host) StartGossip(notes *GossipSocket, among FleetIdentity) {
	h.Do(func(h *Host) {
		h.gossipSocket = notes
		h.joinFleet(among)
		go notes.receiveLoop(h.events)
		go notes.sendLoop()
	})
}

// SetMaxIdleConns sets how many connections to endpoints may stand idle.
func (h *Host) SetMaxIdleConns(most int) { h.Do(func(h *Host) { h.maxIdleConns = most }) }
