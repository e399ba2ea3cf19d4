package assignment

import "time"

// A planned leave: a relay says with its questions that it wants to go. Its
// replicas are given to others while it still serves, and it goes once it has
// none (Follower.Released) and its handovers are done.

// leaving is a relay's wish to leave.
type leaving struct {
	saidAt    time.Duration // last
	granted   bool
	grantedAt time.Duration
}

// notLeaving was said long before all times.
var notLeaving = leaving{saidAt: -time.Hour}

// at tells whether the relay leaves at a time. Risk: questions go to any control
// machine, so a report of one that was asked before the relay made up its mind
// comes later; a relay that has changed its mind is believed after awayAfter.
func (l leaving) at(now time.Duration) bool { return now-l.saidAt < awayAfter }

// RecordLeaving books that a relay was heard of at a time and said that it leaves.
// Numbers of no relay are ignored.
func (h *RelayHealth) RecordLeaving(r Relay, at time.Duration) {
	if int(r) < len(h.leaving) {
		h.leaving[r].saidAt = max(h.leaving[r].saidAt, at)
		h.RecordContact(r, at)
	}
}

// leave takes relays that want to leave, and are live, for leaving. Of a zone, one
// relay in lostShare at most begins to in each goneAfter, one at least; the others
// go on as before. Risk: a zone that is emptied at once moves half of all
// replicas, and the other zones have to carry them.
func (h *RelayHealth) leave(now time.Duration, members []Member, size perZone) {
	var begun perZone
	for i, m := range members {
		if l := h.leaving[i]; l.granted && now-l.grantedAt < goneAfter {
			begun[m.Zone]++
		}
	}
	for i := range members {
		m, l := &members[i], &h.leaving[i]
		if m.State != Live || !l.at(now) {
			continue
		}
		if !l.granted && begun[m.Zone] < max(1, size[m.Zone]/lostShare) {
			begun[m.Zone]++
			l.granted, l.grantedAt = true, now
		}
		if l.granted {
			m.State = Leaving
		}
	}
}
