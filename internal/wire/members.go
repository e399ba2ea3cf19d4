package wire

import (
	"log/slog"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

const (
	membersViewInterval = members.Period / 3 // between published views, after a change
	membersViewMaxAge   = 5 * members.Period // and without one
)

// joinFleet sets up the gossip state of a relay that has a gossip socket.
func (h *Host) joinFleet(among Among) {
	h.among = among
	h.pool = peers.New(among.Me, len(h.notes.peers), h.seed)
	if among.Members {
		// The configured seed alone may be shared by two processes: the second would count as an
		// old incarnation of the first.
		h.pool.EnableMembership(among.Zone, h.seed^h.start.UnixNano())
	}
	h.pool.EnableChoices(among.Choices)
}

// sendGossip queues messages on the gossip socket.
func (h *Host) sendGossip(messages []members.Datagram) {
	for _, message := range messages {
		h.notes.enqueue(message)
	}
}

// updateMembersView publishes a view of the members when it is due, and logs the changes in it. A
// change is logged only after its view is published, so that whoever reads the log finds it there.
func (h *Host) updateMembersView(now policy.Time) {
	list := h.pool.Members()
	if list == nil || !h.membersViewDue(list, now) {
		return
	}
	h.publishMembersView(list.View(now))
	h.viewAt = now
	for _, change := range list.Changes() {
		h.logMemberChange(change)
	}
}

// membersViewDue reports whether another view is due.
func (h *Host) membersViewDue(list *members.List, now policy.Time) bool {
	shown := h.view.Load()
	if shown == nil {
		return true
	}
	if shown.Version == list.Version() {
		return now >= h.viewAt+membersViewMaxAge
	}
	return now >= h.viewAt+membersViewInterval
}

// publishMembersView replaces the published view, and warns if this relay may be cut off or if
// another process uses its number.
func (h *Host) publishMembersView(view *members.View) {
	previous := h.view.Swap(view)
	if previous != nil && previous.Isolated == view.Isolated && previous.DuplicateNumber == view.DuplicateNumber {
		return
	}
	if view.Isolated {
		h.log.Warn("no gossip received from other relays: this one may be cut off")
	}
	if view.DuplicateNumber {
		h.log.Error("another process speaks under this relay's number", "number", h.among.Me)
	}
}

// logMemberChange logs the new state of a member.
func (h *Host) logMemberChange(change members.Change) {
	level := slog.LevelInfo
	if change.To == members.Suspect || change.From == members.Suspect && change.To == members.Alive {
		level = slog.LevelDebug // a suspicion may pass
	}
	h.log.Log(h.watching, level, "member", "number", change.Number,
		"state", change.To.String(), "was", change.From.String(),
		"incarnation", change.Incarnation, "why", change.Reason)
}

// Members returns the latest view of the fleet; nil if members are not tracked. It may be called on
// any goroutine and does not block.
func (h *Host) Members() *members.View { return h.view.Load() }

// SetLeaving tells the fleet that this relay leaves or is drained, or that it is back.
func (h *Host) SetLeaving(leaving bool) {
	h.Do(func(h *Host) {
		if leaving {
			h.pool.Leave(h.now())
		} else {
			h.pool.CancelLeave(h.now())
		}
	})
}
