package command

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// subsetMethod is a method to assign endpoints to relays.
type subsetMethod struct {
	name   string
	assign func(p *subsetProblem) []map[string]bool
}

// alternativeMethods are subset methods that relays do not use, for comparison.
var alternativeMethods = []subsetMethod{{"drawn", randomSubsets}, {"rounds", shuffledRoundSubsets},
	{"ring of positions", ringSubsets}, {"rendezvous, bounded", boundedRendezvousSubsets}}

// hashPair returns a pseudo-random number for a relay and an endpoint.
func hashPair(seed uint64, relay int, endpoint string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, seed, relay, endpoint)
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// rankedEndpoints returns the endpoints in a pseudo-random order of preference for a relay.
func (p *subsetProblem) rankedEndpoints(relay int) []string {
	type rankedEndpoint struct {
		name string
		hash uint64
	}
	scored := make([]rankedEndpoint, len(p.endpoints))
	for i, e := range p.endpoints {
		scored[i] = rankedEndpoint{e.Address, hashPair(p.seed, relay, e.Address)}
	}
	slices.SortFunc(scored, func(a, b rankedEndpoint) int { return cmp.Compare(a.hash, b.hash) })
	names := make([]string, len(scored))
	for i := range scored {
		names[i] = scored[i].name
	}
	return names
}

// assignLive calls take for each live relay, with its rank among them, and returns the endpoints as
// sets.
func (p *subsetProblem) assignLive(take func(relay, rank, live int) []string) []map[string]bool {
	assigned, rank, live := make([]map[string]bool, len(p.live)), 0, 0
	for _, alive := range p.live {
		if alive {
			live++
		}
	}
	for n, alive := range p.live {
		if !alive {
			continue
		}
		assigned[n] = map[string]bool{}
		for _, e := range take(n, rank, live) {
			assigned[n][e] = true
		}
		rank++
	}
	return assigned
}

// randomSubsets lets each relay choose its endpoints independently.
func randomSubsets(p *subsetProblem) []map[string]bool {
	return p.assignLive(func(relay, _, _ int) []string {
		return p.rankedEndpoints(relay)[:min(p.size, len(p.endpoints))]
	})
}

// shuffledRoundSubsets shuffles the endpoints for each round of relays and splits them among the
// round.
func shuffledRoundSubsets(p *subsetProblem) []map[string]bool {
	size := min(p.size, len(p.endpoints))
	round, shuffled := -1, []string(nil)
	return p.assignLive(func(_, rank, _ int) []string {
		relaysPerRound := len(p.endpoints) / size
		if rank/relaysPerRound != round {
			round, shuffled = rank/relaysPerRound, p.rankedEndpoints(-1-rank/relaysPerRound)
		}
		return shuffled[rank%relaysPerRound*size:][:size]
	})
}

// ringSubsets spaces relays and endpoints evenly on a ring; a relay takes the endpoints that follow
// it.
func ringSubsets(p *subsetProblem) []map[string]bool {
	order := p.rankedEndpoints(-1)
	return p.assignLive(func(_, rank, live int) (out []string) {
		for i := range min(p.size, len(order)) {
			out = append(out, order[(rank*len(order)/live+i)%len(order)])
		}
		return out
	})
}

// boundedRendezvousSubsets lets each relay, in order of numbers, take its preferred endpoints that
// are not full.
func boundedRendezvousSubsets(p *subsetProblem) []map[string]bool {
	assigned, live := map[string]int{}, 0
	for _, alive := range p.live {
		if alive {
			live++
		}
	}
	maxPerEndpoint := int(1.1*float64(live*p.size)/float64(len(p.endpoints))) + 1
	return p.assignLive(func(relay, _, _ int) (out []string) {
		for _, e := range p.rankedEndpoints(relay) {
			if len(out) < p.size && assigned[e] < maxPerEndpoint {
				assigned[e]++
				out = append(out, e)
			}
		}
		return out
	})
}
