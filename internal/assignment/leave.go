package assignment

import "time"

// A planned leave: a relay's requests say that it wants to leave. Its replicas are reassigned while
// it still serves, and it stops once it has none (Follower.Released) and its handovers are done.

// leaveState is a relay's request to leave.
type leaveState struct {
	requestedAt time.Duration // the latest request
	granted     bool
	grantedAt   time.Duration
}

// noLeave is outdated at all times.
var noLeave = leaveState{requestedAt: -time.Hour}

// active reports whether the relay wants to leave at now. Requests go to any control node, so a
// report of an earlier contact may arrive after the one that asks to leave; a relay that cancels
// its leave is believed after unreachableAfter.
func (l leaveState) active(now time.Duration) bool { return now-l.requestedAt < unreachableAfter }

// RecordLeaving records that a relay was in contact at a time and wants to leave. Unknown relays
// are ignored.
func (h *RelayHealth) RecordLeaving(r Relay, at time.Duration) {
	if int(r) < len(h.leaves) {
		h.leaves[r].requestedAt = max(h.leaves[r].requestedAt, at)
		h.RecordContact(r, at)
	}
}

// grantLeaves marks live relays that want to leave as leaving. Per zone, at most one in
// outageDivisor relays, and at least one, starts to leave in each removedAfter; the others continue
// to serve. Emptying a zone at once would move half of all replicas and overload the other zones.
func (h *RelayHealth) grantLeaves(now time.Duration, members []Member, size zoneCounts) {
	var granted zoneCounts
	for i, m := range members {
		if l := h.leaves[i]; l.granted && now-l.grantedAt < removedAfter {
			granted[m.Zone]++
		}
	}
	for i := range members {
		m, l := &members[i], &h.leaves[i]
		if m.State != Live || !l.active(now) {
			continue
		}
		if !l.granted && granted[m.Zone] < max(1, size[m.Zone]/outageDivisor) {
			granted[m.Zone]++
			l.granted, l.grantedAt = true, now
		}
		if l.granted {
			m.State = Leaving
		}
	}
}
