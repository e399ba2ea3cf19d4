package assignment

import "time"

const (
	unreachableAfter = 10 * PollInterval
	// removedAfter is how long a relay is unreachable before its replicas are reassigned. It is
	// longer than a restart, which thus moves nothing.
	removedAfter = time.Minute
	// A zone is in an outage if more than one in outageDivisor of its relays is unreachable: its
	// replicas stay, and the other zones serve meanwhile.
	outageDivisor = 8
)

// zoneCounts holds a count per zone.
type zoneCounts [1 << 8]int

// RelayHealth tracks which relays of a region request their slices. It is not safe for concurrent
// use.
type RelayHealth struct {
	locations   []Member // zone and rack of each relay; their states are not used
	lastContact []time.Duration
	removed     []bool
	contacted   []bool // since it was created
	leaves      []leaveState
	outageAt    [1 << 8]time.Duration // by zone: end of the latest outage, or now during one
}

// NewRelayHealth returns the health of relays at the given locations. Those that serve in the
// latest map count as contacted at now, the others as removed until their first contact.
func NewRelayHealth(locations []Member, latest *Map, now time.Duration) *RelayHealth {
	h := &RelayHealth{
		locations: locations, lastContact: make([]time.Duration, len(locations)),
		removed: make([]bool, len(locations)), contacted: make([]bool, len(locations)),
		leaves: make([]leaveState, len(locations)),
	}
	for i := range h.lastContact {
		h.lastContact[i], h.removed[i], h.leaves[i] = now, true, noLeave
	}
	if latest != nil {
		for _, r := range latest.replicas {
			if int(r) < len(h.removed) {
				h.removed[r] = false
			}
		}
	}
	return h
}

// RecordContact records that a relay was in contact at a time. Unknown relays are ignored.
func (h *RelayHealth) RecordContact(r Relay, at time.Duration) {
	if int(r) >= len(h.lastContact) || at < h.lastContact[r] {
		return
	}
	h.lastContact[r], h.removed[r], h.contacted[r] = at, false, true
	if !h.leaves[r].active(at) {
		h.leaves[r] = noLeave
	}
}

// Members returns the state of each relay at now.
func (h *RelayHealth) Members(now time.Duration) []Member {
	members := make([]Member, len(h.locations))
	var size, unreachable zoneCounts
	for i, location := range h.locations {
		members[i] = Member{State: Live, Zone: location.Zone, Rack: location.Rack}
		switch {
		case h.removed[i]:
			members[i].State = Removed
			continue
		case now-h.lastContact[i] >= unreachableAfter:
			members[i].State = Unreachable
			unreachable[location.Zone]++
		}
		size[location.Zone]++
	}
	for zone := range h.outageAt {
		if unreachable[zone] > 1 && unreachable[zone]*outageDivisor > size[zone] {
			h.outageAt[zone] = now
		}
	}
	for i := range members {
		// Counts from the end of an outage: else the last relays to return would be removed.
		since := max(h.lastContact[i], h.outageAt[members[i].Zone])
		if members[i].State == Unreachable && now-since >= removedAfter {
			members[i].State, h.removed[i] = Removed, true
		}
	}
	for i := range members {
		// A new publisher doesn't know yet which relays are leaving, and must not assign them more.
		if members[i].State == Live && !h.contacted[i] {
			members[i].State = Unreachable
		}
	}
	h.grantLeaves(now, members, size)
	return members
}
