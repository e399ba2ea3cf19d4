package wire

import (
	"log/slog"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

const (
	membersViewInterval = members.Period / 3 // between published views, after a change
	membersViewMaxAge   = 5 * members.Period // between published views, without a change
)

// joinFleet sets up the gossip state of a relay that has a gossip socket.
func (h *Host) joinFleet(identity FleetIdentity) {
	h.identity = identity
	h.gossiper = peers.New(identity.Number, len(h.gossipSocket.peers), h.seed)
	if identity.MembershipEnabled {
		// The configured seed alone may be shared by two processes: the second would count as an
		// old incarnation of the first.
		h.gossiper.EnableMembership(identity.Zone, h.seed^h.startedAt.UnixNano())
		h.raiseIncarnationAbove(h.inheritedIncarnation)
	}
	h.gossiper.EnableChoices(identity.Choices)
	if h.leaving {
		h.gossiper.Leave(h.now())
	}
}

// incarnation returns this relay's incarnation in the fleet; 0 if members are not tracked.
func (h *Host) incarnation() uint32 {
	if list := h.gossiper.Members(); list != nil {
		return list.Incarnation()
	}
	return 0
}

// raiseIncarnationAbove raises this relay's incarnation above that of the previous process, at once
// or when it joins the fleet.
func (h *Host) raiseIncarnationAbove(previous uint32) {
	h.inheritedIncarnation = max(h.inheritedIncarnation, previous)
	if list := h.gossiper.Members(); list != nil {
		list.RaiseAbove(h.inheritedIncarnation)
	}
}

// sendGossip queues messages on the gossip socket.
func (h *Host) sendGossip(messages []members.Datagram) {
	for _, message := range messages {
		h.gossipSocket.enqueue(message)
	}
}

// updateMembersView publishes a view of the members when it is due, and logs the changes in it. A
// change is logged only after its view is published, so that whoever reads the log finds it there.
func (h *Host) updateMembersView(now policy.Time) {
	list := h.gossiper.Members()
	if list == nil || !h.membersViewDue(list, now) {
		return
	}
	h.publishMembersView(list.View(now))
	h.membersViewAt = now
	for _, change := range list.Changes() {
		h.logMemberChange(change)
	}
}

// membersViewDue reports whether another view is due.
func (h *Host) membersViewDue(list *members.List, now policy.Time) bool {
	shown := h.membersView.Load()
	if shown == nil {
		return true
	}
	if shown.Version == list.Version() {
		return now >= h.membersViewAt+membersViewMaxAge
	}
	return now >= h.membersViewAt+membersViewInterval
}

// publishMembersView replaces the published view, and warns if this relay may be cut off or if
// another process uses its number.
func (h *Host) publishMembersView(view *members.View) {
	previous := h.membersView.Swap(view)
	if previous != nil && previous.Isolated == view.Isolated && previous.DuplicateNumber == view.DuplicateNumber {
		return
	}
	if view.Isolated {
		h.log.Warn("no gossip received from other relays: this one may be cut off")
	}
	if view.DuplicateNumber {
		h.log.Error("another process speaks under this relay's number", "number", h.identity.Number)
	}
}

// logMemberChange logs the new state of a member.
func (h *Host) logMemberChange(change members.Change) {
	level := slog.LevelInfo
	if change.To == members.Suspect || change.From == members.Suspect && change.To == members.Alive {
		level = slog.LevelDebug // a suspicion may pass
	}
	h.log.Log(h.watchCtx, level, "member", "number", change.Number,
		"state", change.To.String(), "was", change.From.String(),
		"incarnation", change.Incarnation, "why", change.Reason)
}

// Members returns the latest view of the fleet; nil if members are not tracked. It may be called on
// any goroutine and does not block.
func (h *Host) Members() *members.View { return h.membersView.Load() }

// SetLeaving tells the fleet that this relay leaves or is drained, or that it is back.
func (h *Host) SetLeaving(leaving bool) {
	h.Do(func(h *Host) {
		if h.leaving = leaving; leaving {
			h.gossiper.Leave(h.now())
		} else {
			h.gossiper.CancelLeave(h.now())
		}
	})
}
