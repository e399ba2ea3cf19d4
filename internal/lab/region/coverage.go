package region

import (
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// Coverage counts in how many zones partitions are served.
type Coverage struct {
	Partitions int
	NoZone     int // partitions that no relay serves
	OneZone    int // partitions served by relays of one zone only
}

// Coverage counts in how many zones each partition is served, by the slices that the running relays
// hold.
func (sim *Simulation) Coverage() Coverage {
	zones := make([]uint64, sim.Config.Partitions) // bit sets of zones
	for i, r := range sim.Relays {
		if !r.Up || r.Follower.Current() == nil {
			continue
		}
		for _, assigned := range r.Follower.Current().Assignments {
			if !slices.Contains(assigned.Replicas, r.Number) {
				continue
			}
			zones[assigned.Partition] |= 1 << sim.Members[i].Zone
		}
	}
	coverage := Coverage{Partitions: len(zones)}
	for _, zoneSet := range zones {
		switch {
		case zoneSet == 0:
			coverage.NoZone++
		case zoneSet&(zoneSet-1) == 0:
			coverage.OneZone++
		}
	}
	return coverage
}

// Outdated returns the running relays whose slice differs from the map.
func (sim *Simulation) Outdated(m *assignment.Map) (outdated []int) {
	partitionsOf := m.ByRelay()
	for i, r := range sim.Relays {
		if r.Up && !r.matches(m, partitionsOf[i]) {
			outdated = append(outdated, i)
		}
	}
	return outdated
}

// matches reports whether the relay's slice equals its part of the map, given the partitions that
// concern it.
func (r *Relay) matches(m *assignment.Map, concerned []assignment.Partition) bool {
	current := r.Follower.Current()
	if current == nil || len(current.Assignments) != len(concerned) {
		return false
	}
	for i, assigned := range current.Assignments {
		if assigned.Partition != concerned[i] ||
			!slices.Equal(assigned.Replicas, m.Replicas(assigned.Partition)) ||
			!slices.Equal(assigned.Previous, m.Previous(assigned.Partition)) {
			return false
		}
	}
	return true
}

// changedRelays returns the relays whose part differs between two maps.
func changedRelays(a, b *assignment.Map, relays int) (differ []int) {
	inA, inB := a.ByRelay(), b.ByRelay()
	for i := range relays {
		same := slices.EqualFunc(inA[i], inB[i], func(p, q assignment.Partition) bool {
			return p == q && slices.Equal(a.Replicas(p), b.Replicas(q)) && slices.Equal(a.Previous(p), b.Previous(q))
		})
		if !same {
			differ = append(differ, i)
		}
	}
	return differ
}

// pendingChange is a map that changes a relay's part and is not in force there yet.
type pendingChange struct {
	relay   int
	version assignment.Version
	since   time.Duration
}

// ChangeDelays runs for the given duration. For each map published meanwhile and each running relay
// whose part it changes, it returns the time until that map or a later one was in force there. A
// change that is not in force at the end counts with the time passed so far. It checks at each
// interval, and calls sample each time.
func (sim *Simulation) ChangeDelays(duration, interval time.Duration, sample func()) (delays []time.Duration) {
	var pending []pendingChange
	previous := sim.Published()
	for end := sim.Now + duration; sim.Now < end; {
		sim.Run(sim.Now + interval)
		sample()
		for latest := sim.Published(); previous.Version != latest.Version; {
			next, found := sim.History[previous.Version.Number+1]
			if !found {
				next = latest // that number was never published
			}
			for _, i := range changedRelays(previous, next, len(sim.Relays)) {
				pending = append(pending, pendingChange{i, next.Version, sim.Now})
			}
			previous = next
		}
		pending = slices.DeleteFunc(pending, func(c pendingChange) bool {
			r := sim.Relays[c.relay]
			if r.Up && r.Follower.LatestVersion().Compare(c.version) >= 0 {
				delays = append(delays, sim.Now-c.since)
				return true
			}
			return !r.Up
		})
	}
	for _, c := range pending {
		delays = append(delays, sim.Now-c.since)
	}
	return delays
}
