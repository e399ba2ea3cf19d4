package choice

import (
	"math/bits"
	"slices"
	"strings"

	"oatfold/policy"
)

// minRelaysPerEndpoint is the number of relays that each endpoint should be in the subset of, at
// least.
const minRelaysPerEndpoint = 3

// SubsetTracker maintains the subsets of one relay from endpoint lists and places, and reports
// changes. It is not safe for concurrent use.
type SubsetTracker struct {
	size, self   int
	seed         uint64
	place        int // -1: unknown, no subsets
	steppedLive  int // live members, rounded down to a power of two
	destinations map[int]*destinationSubset
	pending      map[int]bool // destinations to be recomputed
}

// destinationSubset is the subset for one destination.
type destinationSubset struct {
	zones  map[string]string // by address
	ring   *Ring             // nil: to be rebuilt
	subset []Endpoint        // nil: all endpoints
}

// Seed is the seed of all hashes. It has to be the same at all relays.
const Seed = 0x6f61_7466_6f6c_64

// NewSubsetTracker returns a tracker of subsets of the given size for member self; 0 disables
// subsets.
func NewSubsetTracker(self, size int) *SubsetTracker {
	return &SubsetTracker{
		size:         size,
		self:         self,
		seed:         Seed,
		place:        -1,
		destinations: map[int]*destinationSubset{},
		pending:      map[int]bool{},
	}
}

// UpdateEndpoints applies an update of the endpoint list.
func (t *SubsetTracker) UpdateEndpoints(update policy.EndpointListUpdate) {
	if t.size == 0 || update.Kind == policy.ListUnavailable {
		return
	}
	listedNow := map[string]bool{}
	for _, e := range update.Entries {
		d := t.destinations[e.Destination]
		if d == nil {
			d = &destinationSubset{zones: map[string]string{}}
			t.destinations[e.Destination] = d
		}
		zone, known := d.zones[e.Address]
		if listed := e.State == policy.Listed; listed && !(known && zone == e.Zone) {
			d.zones[e.Address], d.ring, t.pending[e.Destination] = e.Zone, nil, true
		} else if !listed && known {
			delete(d.zones, e.Address)
			d.ring, t.pending[e.Destination] = nil, true
		}
		if e.State == policy.Listed {
			listedNow[e.Address] = true
		}
	}
	if update.Kind == policy.ListChanges {
		return
	}
	for dest, d := range t.destinations {
		for a := range d.zones {
			if !listedNow[a] {
				delete(d.zones, a)
				d.ring, t.pending[dest] = nil, true
			}
		}
	}
}

// UpdatePlaces applies new places of the live members.
func (t *SubsetTracker) UpdatePlaces(p *Places) {
	place, live := -1, 0
	if p != nil && p.live > 1 {
		place, live = p.Of(t.self), 1<<(bits.Len(uint(p.live))-1)
	}
	if place != t.place || live != t.steppedLive {
		t.place, t.steppedLive = place, live
		for dest := range t.destinations {
			t.pending[dest] = true
		}
	}
}

// sizeFor returns the subset size for a ring: larger than configured in small fleets, so that no
// endpoint is without relays, which would waste its capacity.
func (t *SubsetTracker) sizeFor(r *Ring) int {
	return max(t.size, (minRelaysPerEndpoint*r.steppedSize+t.steppedLive-1)/t.steppedLive)
}

// ResendAll makes ChangedSubsets return all subsets again.
func (t *SubsetTracker) ResendAll() {
	for dest, d := range t.destinations {
		d.subset, t.pending[dest] = nil, true
	}
}

// Place returns this relay's place; -1 if unknown.
func (t *SubsetTracker) Place() int { return t.place }

// ChangedSubsets returns the subsets that have changed since the last call, ordered by
// destination. Its cost grows with the number of changed destinations.
func (t *SubsetTracker) ChangedSubsets() (out []policy.Subset) {
	if t.size == 0 || len(t.pending) == 0 {
		return nil
	}
	for dest := range t.pending {
		d := t.destinations[dest]
		var subset []Endpoint
		if t.place >= 0 && len(d.zones) > t.size {
			if d.ring == nil {
				var all []Endpoint
				for a, z := range d.zones {
					all = append(all, Endpoint{a, z})
				}
				d.ring = NewRing(all, t.seed^mix(uint64(dest)))
			}
			if k := t.sizeFor(d.ring); k < len(d.zones) {
				subset = d.ring.Subset(t.place, k)
			}
		}
		slices.SortFunc(subset, func(a, b Endpoint) int { return strings.Compare(a.Address, b.Address) })
		if !slices.Equal(subset, d.subset) {
			d.subset = subset
			s := policy.Subset{Destination: dest}
			for _, e := range subset {
				s.Endpoints = append(s.Endpoints, e.Address)
			}
			out = append(out, s)
		}
		if len(d.zones) == 0 {
			delete(t.destinations, dest)
		}
	}
	clear(t.pending)
	slices.SortFunc(out, func(a, b policy.Subset) int { return a.Destination - b.Destination })
	return out
}

// Subset returns the subset for a destination, nil for all endpoints, and the number of its
// endpoints.
func (t *SubsetTracker) Subset(dest int) (subset []Endpoint, total int) {
	if d := t.destinations[dest]; d != nil {
		return d.subset, len(d.zones)
	}
	return nil, 0
}

// EachSubset calls f for each destination with a subset, until f returns false.
func (t *SubsetTracker) EachSubset(f func(dest int, subset []Endpoint, total int) bool) {
	for dest, d := range t.destinations {
		if d.subset != nil && !f(dest, d.subset, len(d.zones)) {
			return
		}
	}
}
