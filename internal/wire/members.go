package wire

import (
	"log/slog"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

const (
	membersViewInterval = members.Period / 3 // between two views that operators see, where something has changed
	membersViewMaxAge   = 5 * members.Period // and where nothing has
)

// joinFleet makes the pool anew for a relay that has its notes' socket.
func (h *Host) joinFleet(among FleetIdentity) {
	h.identity = among
	h.gossiper = peers.New(among.Number, len(h.gossipSocket.peers), h.seed)
	if among.MembershipEnabled {
		// Guards against a configuration that gives two processes one seed: the second would be taken for the first one's old notes.
		h.gossiper.EnableMembership(among.Zone, h.seed^h.startedAt.UnixNano())
	}
	h.gossiper.EnableChoices(among.Choices)
}

// sendGossip hands notes over to the socket.
func (h *Host) sendGossip(out []members.Datagram) {
	for _, o := range out {
		h.gossipSocket.enqueue(o)
	}
}

// updateMembersView makes a view for those who ask, now and then, and logs the changes that it shows. Whoever reads of a change in the log and then
// asks has to find it in the answer, so no change is logged before its view is there.
func (h *Host) updateMembersView(now policy.Time) {
	list := h.gossiper.Members()
	if list == nil || !h.membersViewDue(list, now) {
		return
	}
	h.publishMembersView(list.View(now))
	h.membersViewAt = now
	for _, c := range list.Changes() {
		h.logMemberChange(c)
	}
}

// membersViewDue tells whether it is time for another view of the members.
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

// publishMembersView puts a view in place of the last one, and warns where this relay has begun to doubt itself.
func (h *Host) publishMembersView(v *members.View) {
	was := h.membersView.Swap(v)
	if was != nil && was.Isolated == v.Isolated && was.DuplicateNumber == v.DuplicateNumber {
		return
	}
	if v.Isolated {
		h.log.Warn("no other relay is heard: this one may be cut off")
	}
	if v.DuplicateNumber {
		h.log.Error("another process speaks under this relay's number", "number", h.identity.Number)
	}
}

// logMemberChange logs what a member is taken for from now on.
func (h *Host) logMemberChange(c members.Change) {
	level := slog.LevelInfo
	if c.To == members.Suspect || c.From == members.Suspect && c.To == members.Alive {
		level = slog.LevelDebug // a doubt that may pass
	}
	h.log.Log(h.watchCtx, level, "member", "number", c.Number, "state", c.To.String(), "was", c.From.String(), "incarnation", c.Incarnation, "why", c.Reason)
}

// Members is the latest view of the fleet; nil: who lives is not asked. Anyone may call it: it waits for nothing.
func (h *Host) Members() *members.View { return h.membersView.Load() }

// SetLeaving tells the fleet that this relay ends, or is empty; or that it is back.
func (h *Host) SetLeaving(on bool) {
	h.Do(func(h *Host) {
		if on {
			h.gossiper.Leave(h.now())
		} else {
			h.gossiper.CancelLeave(h.now())
		}
	})
}
