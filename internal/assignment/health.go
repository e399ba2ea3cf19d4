package assignment

import "time"

const (
	awayAfter = 10 * PollInterval
	// goneAfter is how long a relay is away before its replicas are given to
	// others: a restart is over by then, and moves nothing.
	goneAfter = time.Minute
	// A zone of which more than one relay in lostShare is away is lost or cut off
	// as a whole: its replicas stay, the other zones serve meanwhile.
	lostShare = 8
)

// perZone is a count for each zone.
type perZone [1 << 8]int

// RelayHealth follows which relays of a region ask for their slices. It is not safe for
// concurrent use.
type RelayHealth struct {
	places  []Member // zone and rack of each relay; their states are not used
	heardAt []time.Duration
	gone    []bool
	heard   []bool // of, since it was made
	leaving []leaving
	lostAt  [1 << 8]time.Duration // by zone: when it was lost as a whole last
}

// NewRelayHealth makes one for relays at the given places. Those that serve in the
// latest map count as heard at now, the others as gone until they are heard.
func NewRelayHealth(places []Member, latest *Map, now time.Duration) *RelayHealth {
	h := &RelayHealth{places: places, heardAt: make([]time.Duration, len(places)), gone: make([]bool, len(places)),
		heard: make([]bool, len(places)), leaving: make([]leaving, len(places))}
	for i := range h.heardAt {
		h.heardAt[i], h.gone[i], h.leaving[i] = now, true, notLeaving
	}
	if latest != nil {
		for _, r := range latest.replicas {
			if int(r) < len(h.gone) {
				h.gone[r] = false
			}
		}
	}
	return h
}

// RecordContact books that a relay was heard of at a time. Numbers of no relay are ignored.
func (h *RelayHealth) RecordContact(r Relay, at time.Duration) {
	if int(r) >= len(h.heardAt) || at < h.heardAt[r] {
		return
	}
	h.heardAt[r], h.gone[r], h.heard[r] = at, false, true
	if !h.leaving[r].at(at) {
		h.leaving[r] = notLeaving
	}
}

// Members returns what each relay is taken for at now.
func (h *RelayHealth) Members(now time.Duration) []Member {
	members := make([]Member, len(h.places))
	var size, away perZone
	for i, place := range h.places {
		members[i] = Member{State: Live, Zone: place.Zone, Rack: place.Rack}
		switch {
		case h.gone[i]:
			members[i].State = Removed
			continue
		case now-h.heardAt[i] >= awayAfter:
			members[i].State = Unreachable
			away[place.Zone]++
		}
		size[place.Zone]++
	}
	for zone := range h.lostAt {
		if away[zone] > 1 && away[zone]*lostShare > size[zone] {
			h.lostAt[zone] = now
		}
	}
	for i := range members {
		// Risk: the last ones of a zone that returns are taken for gone, for they are away longest.
		since := max(h.heardAt[i], h.lostAt[members[i].Zone])
		if members[i].State == Unreachable && now-since >= goneAfter {
			members[i].State, h.gone[i] = Removed, true
		}
	}
	for i := range members {
		// Risk: a publisher that has just begun gives partitions to relays that leave.
		if members[i].State == Live && !h.heard[i] {
			members[i].State = Unreachable
		}
	}
	h.leave(now, members, size)
	return members
}
