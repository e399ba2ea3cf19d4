package choice

import (
	"cmp"
	"math"
	"slices"
)

const (
	goldenRatio      = 0x9E3779B97F4A7C15 // fraction of 2^64; its multiples are evenly distributed for any count
	tiledRounds      = 14                 // rounds of the ring in which arcs lie end to end
	stepsPerDoubling = 4                  // steps of the stepped ring size between two powers of two
)

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Address string
	Zone    string
}

// Ring is the endpoints of one destination in an order on which all relays agree. Zones alternate
// in proportion to their size, so that each arc covers each zone with enough endpoints.
type Ring struct {
	endpoints   []Endpoint
	steppedSize int // number of endpoints, rounded up so that small changes keep it
}

// NewRing orders endpoints. Duplicate addresses count once.
func NewRing(eps []Endpoint, seed uint64) *Ring {
	type keyed struct {
		Endpoint
		hash uint64
		key  float64
	}
	all := make([]keyed, len(eps))
	for i, e := range eps {
		all[i] = keyed{e, mix(seed, hashText(e.Address)), 0}
	}
	slices.SortFunc(all, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Address, b.Address))
	})
	all = slices.CompactFunc(all, func(a, b keyed) bool { return a.Address == b.Address })
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].Zone == all[from].Zone {
			to++
		}
		shift := float64(mix(seed, hashText(all[from].Zone))>>11) / (1 << 53)
		for i := from; i < to; i++ {
			all[i].key = (float64(i-from) + shift) / float64(to-from)
		}
		from = to
	}
	slices.SortStableFunc(all, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	r := &Ring{endpoints: make([]Endpoint, len(all))}
	for i := range all {
		r.endpoints[i] = all[i].Endpoint
	}
	r.steppedSize = int(math.Ceil(
		math.Exp2(math.Ceil(stepsPerDoubling*math.Log2(float64(max(1, len(all))))-1e-9)/stepsPerDoubling) - 1e-9))
	return r
}

// hashText is the FNV-1a hash of a text.
func hashText(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// Len returns the number of endpoints.
func (r *Ring) Len() int { return len(r.endpoints) }

// arcStart returns the start of the arc of a place. The first arcs lie end to end, alternating on
// both sides of the origin, for several rounds: each endpoint is in the same number of them, or
// one more, and an added or removed endpoint shifts an arc by the number of rounds before it at
// most. Further arcs start at evenly distributed points and shift by one at most.
func (r *Ring) arcStart(place, k int) int {
	size := len(r.endpoints)
	tiled := (tiledRounds*r.steppedSize + k - 1) / k
	if place >= tiled {
		return scaled(uint64(place-tiled+1)*goldenRatio, size)
	}
	at := place / 2
	if place%2 == 1 {
		at = -at - 1
	}
	return (at*k%size + size) % size
}

// Subset returns the k endpoints that the relay at a place keeps connections to, starting with
// its first choice; all endpoints if there are no more than k. It is never empty for a ring with
// endpoints. Calling other endpoints when these are down or busy is up to the policy engine.
func (r *Ring) Subset(place, k int) []Endpoint {
	size := len(r.endpoints)
	if size == 0 || place < 0 || k >= size {
		return slices.Clone(r.endpoints)
	}
	start, out := r.arcStart(place, k), make([]Endpoint, k)
	for i := range out {
		out[i] = r.endpoints[(start+i)%size]
	}
	return out
}
