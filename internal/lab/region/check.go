package region

import (
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// Cover tells by how many zones partitions are served.
type Cover struct {
	Partitions int
	NoZone     int // partitions that no relay serves
	OneZone    int // that relays of one zone only serve
}

// Covered counts, by what the relays themselves hold for theirs, in how many zones
// each partition is served by a relay that is up.
func (w *Simulation) Covered() Cover {
	zones := make([]uint64, w.Config.Partitions) // a bit for each zone
	for i, r := range w.Relays {
		if !r.Up || r.Follower.Current() == nil {
			continue
		}
		for _, s := range r.Follower.Current().Assignments {
			if !slices.Contains(s.Replicas, r.Number) {
				continue
			}
			zones[s.Partition] |= 1 << w.Places[i].Zone
		}
	}
	c := Cover{Partitions: len(zones)}
	for _, z := range zones {
		switch {
		case z == 0:
			c.NoZone++
		case z&(z-1) == 0:
			c.OneZone++
		}
	}
	return c
}

// Outdated returns the relays that are up and hold something else than the map says.
func (w *Simulation) Outdated(m *assignment.Map) (outdated []int) {
	concerned := m.ByRelay()
	for i, r := range w.Relays {
		if r.Up && !r.holds(m, concerned[i]) {
			outdated = append(outdated, i)
		}
	}
	return outdated
}

// holds tells whether the relay's slice is that of a map of which the given
// partitions concern it.
func (r *Relay) holds(m *assignment.Map, concerned []assignment.Partition) bool {
	current := r.Follower.Current()
	if current == nil || len(current.Assignments) != len(concerned) {
		return false
	}
	for i, s := range current.Assignments {
		if s.Partition != concerned[i] || !slices.Equal(s.Replicas, m.Replicas(s.Partition)) || !slices.Equal(s.Previous, m.Previous(s.Partition)) {
			return false
		}
	}
	return true
}

// concerns returns the relays whose part differs in two maps.
func concerns(a, b *assignment.Map, relays int) (differ []int) {
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

// change is a map that concerns a relay, and is not in force there yet.
type change struct {
	relay   int
	version assignment.Version
	since   time.Duration
}

// ChangeDelays plays for a while and returns, for each map that is published
// meanwhile and each relay that is up and whose part it changes, how long it took
// until that relay went by it, or by a later one. What is not in force at the end
// counts with the time that has passed. It looks every so often, and calls look
// each time.
func (w *Simulation) ChangeDelays(span, every time.Duration, look func()) (delays []time.Duration) {
	var open []change
	shown := w.Published()
	for end := w.Now + span; w.Now < end; {
		w.Run(w.Now + every)
		look()
		for latest := w.Published(); shown.Version != latest.Version; {
			next, found := w.History[shown.Version.Number+1]
			if !found {
				next = latest // a number that was never published
			}
			for _, i := range concerns(shown, next, len(w.Relays)) {
				open = append(open, change{i, next.Version, w.Now})
			}
			shown = next
		}
		open = slices.DeleteFunc(open, func(c change) bool {
			r := w.Relays[c.relay]
			if r.Up && r.Follower.LatestVersion().Compare(c.version) >= 0 {
				delays = append(delays, w.Now-c.since)
				return true
			}
			return !r.Up
		})
	}
	for _, c := range open {
		delays = append(delays, w.Now-c.since)
	}
	return delays
}
