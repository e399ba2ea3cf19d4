package choice

import (
	"math/bits"
	"slices"
	"strings"

	"oatfold/policy"
)

// leastPer is how many relays shall be on each endpoint at least, or each keeps all.
const leastPer = 3

// SubsetTracker keeps the subsets of one relay: it is told of lists and of who lives, and tells what has changed. It belongs to whoever calls it.
type SubsetTracker struct {
	k, me int
	seed  uint64
	place int // -1: not known, and then no subset is kept
	live  int // about as many live, the same for nearly as many
	dests map[int]*kept
	due   map[int]bool
}

type kept struct {
	eps  map[string]string // zones by address
	ring *Ring             // nil: to be made anew
	mine []Endpoint        // nil: all
}

// Seed is what all relays draw from. It is the same everywhere: who has other numbers has other answers.
const Seed = 0x6f61_7466_6f6c_64

// NewSubsetTracker returns a keeper of subsets of k endpoints for member me; 0: of none.
func NewSubsetTracker(me, k int) *SubsetTracker {
	return &SubsetTracker{k: k, me: me, seed: Seed, place: -1, dests: map[int]*kept{}, due: map[int]bool{}}
}

// UpdateEndpoints takes list news in.
func (c *SubsetTracker) UpdateEndpoints(news policy.EndpointListUpdate) {
	if c.k == 0 || news.Kind == policy.ListUnavailable {
		return
	}
	named := map[string]bool{}
	for _, e := range news.Entries {
		d := c.dests[e.Destination]
		if d == nil {
			d = &kept{eps: map[string]string{}}
			c.dests[e.Destination] = d
		}
		zone, had := d.eps[e.Address]
		if listed := e.State == policy.Listed; listed && !(had && zone == e.Zone) {
			d.eps[e.Address], d.ring, c.due[e.Destination] = e.Zone, nil, true
		} else if !listed && had {
			delete(d.eps, e.Address)
			d.ring, c.due[e.Destination] = nil, true
		}
		if e.State == policy.Listed {
			named[e.Address] = true
		}
	}
	if news.Kind == policy.ListChanges {
		return
	}
	for id, d := range c.dests {
		for a := range d.eps {
			if !named[a] {
				delete(d.eps, a)
				d.ring, c.due[id] = nil, true
			}
		}
	}
}

// UpdatePlaces takes in who lives.
func (c *SubsetTracker) UpdatePlaces(p *Places) {
	place, live := -1, 0
	if p != nil && p.live > 1 {
		place, live = p.Of(c.me), 1<<(bits.Len(uint(p.live))-1)
	}
	if place != c.place || live != c.live {
		c.place, c.live = place, live
		for id := range c.dests {
			c.due[id] = true
		}
	}
}

// of is how many endpoints of a ring are kept: more than asked for where there are so few relays that some endpoint would have hardly any. Risk: what
// an endpoint that no relay keeps can do is lost.
func (c *SubsetTracker) of(r *Ring) int {
	return max(c.k, (leastPer*r.steps+c.live-1)/c.live)
}

// ResendAll has all subsets told anew.
func (c *SubsetTracker) ResendAll() {
	for id, d := range c.dests {
		d.mine, c.due[id] = nil, true
	}
}

// Place is where this relay stands; -1: not known.
func (c *SubsetTracker) Place() int { return c.place }

// ChangedSubsets tells what has changed since it was last asked, in order of destinations. It costs as much as has changed.
func (c *SubsetTracker) ChangedSubsets() (out []policy.Subset) {
	if c.k == 0 || len(c.due) == 0 {
		return nil
	}
	for id := range c.due {
		d := c.dests[id]
		var mine []Endpoint
		if c.place >= 0 && len(d.eps) > c.k {
			if d.ring == nil {
				var all []Endpoint
				for a, z := range d.eps {
					all = append(all, Endpoint{a, z})
				}
				d.ring = NewRing(all, c.seed^mix(uint64(id)))
			}
			if k := c.of(d.ring); k < len(d.eps) {
				mine = d.ring.Subset(c.place, k)
			}
		}
		slices.SortFunc(mine, func(a, b Endpoint) int { return strings.Compare(a.Address, b.Address) })
		if !slices.Equal(mine, d.mine) {
			d.mine = mine
			s := policy.Subset{Destination: id}
			for _, e := range mine {
				s.Endpoints = append(s.Endpoints, e.Address)
			}
			out = append(out, s)
		}
		if len(d.eps) == 0 {
			delete(c.dests, id)
		}
	}
	clear(c.due)
	slices.SortFunc(out, func(a, b policy.Subset) int { return a.Destination - b.Destination })
	return out
}

// Subset is what is kept of a destination; nil: all.
func (c *SubsetTracker) Subset(dest int) (mine []Endpoint, of int) {
	if d := c.dests[dest]; d != nil {
		return d.mine, len(d.eps)
	}
	return nil, 0
}

// EachSubset calls f for every destination of which not all endpoints are kept, until it says no.
func (c *SubsetTracker) EachSubset(f func(dest int, mine []Endpoint, of int) bool) {
	for id, d := range c.dests {
		if d.mine != nil && !f(id, d.mine, len(d.eps)) {
			return
		}
	}
}
