package wire

import (
	"slices"
	"strings"
	"time"

	"oatfold/internal/handover"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
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
	h.takeSitesOut(update.SitesOut)
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

// Activate starts the policy steps of a standby host.
func (h *Host) Activate() {
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
		h.standby, h.stepsStopped = false, false
		h.applyBackoffs(h.untransferredRetryAfters)
		h.inheritedState, h.untransferredRetryAfters = policy.LearnedState{}, nil
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
}

// SetJournalBudget sets the journal's disk budget, in bytes.
func (h *Host) SetJournalBudget(budget int64) {
	h.Do(func(h *Host) {
		h.journal.SetBudget(budget)
		h.journal.EnableReserve()
	})
}

// SetJournalShare sets the journal's disk budget in bytes while another process needs the rest, and
// returns what the journal has and reserves.
func (h *Host) SetJournalShare(budget int64) (committed int64) {
	h.Do(func(h *Host) {
		h.journal.SetShare(budget)
		h.journal.EnableReserve()
		committed = h.journal.CommittedBytes()
	})
	return committed
}

// SetPendingElsewhere sets how many messages processes before this one may still hold, which this
// one may not.
func (h *Host) SetPendingElsewhere(count int) {
	h.Do(func(h *Host) { h.pendingElsewhere = count })
}

// SetBodyMemory sets the bytes that bodies of pending messages may use in memory; 0: no limit.
func (h *Host) SetBodyMemory(bytes int64) {
	h.Do(func(h *Host) { h.journal.SetMaxBodyBytes(bytes) })
}

// SetUntoldJournalShare sets the journal's share beside a leaving process that does not tell its
// own. others is what all other files take, of limit bytes.
func (h *Host) SetUntoldJournalShare(limit, others int64) {
	h.Do(func(h *Host) {
		h.journal.SetShare(share.UntoldDisk(limit, h.journal.UsedBytes(), others))
		h.journal.EnableReserve()
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
