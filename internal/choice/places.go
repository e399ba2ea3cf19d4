package choice

import (
	"math/bits"
	"slices"
)

const (
	// spareDivisor bounds the unused places to one in N. That many relays may be down without
	// moving others.
	spareDivisor = 32
	// maxDraws limits the random draws for a place before the first free one is taken.
	maxDraws = 4096
)

// Places assigns each live member of a fleet a place of its own. Nearly all places from 0 on are
// taken.
type Places struct {
	at   []int32 // by member; -1: not live
	live int
}

// AssignPlaces assigns places to the live members. Those with a number below the number of places
// get the place of their number. The others get the places of members that are not live, in an
// order and by draws that do not depend on who else is live, so a change moves only one or two
// members and those that they displace. The work is linear in the size of the fleet.
func AssignPlaces(live []bool, seed uint64) *Places {
	p := &Places{at: make([]int32, len(live))}
	for _, l := range live {
		if l {
			p.live++
		}
	}
	placeCount := min(len(live), p.live+p.live/spareDivisor)
	taken := make([]bool, placeCount)
	var displaced []int
	for n, l := range live {
		switch {
		case !l:
			p.at[n] = -1
		case n < placeCount:
			p.at[n], taken[n] = int32(n), true
		default:
			displaced = append(displaced, n)
		}
	}
	slices.SortFunc(displaced, func(a, b int) int {
		if x, y := mix(seed, uint64(a)), mix(seed, uint64(b)); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a - b
	})
	mask := 1<<bits.Len(uint(len(live))) - 1
	for _, n := range displaced {
		at := -1
		for draw := 0; draw < maxDraws && at < 0; draw++ {
			if x := int(mix(seed, uint64(n), uint64(draw))) & mask; x < placeCount && !taken[x] {
				at = x
			}
		}
		if at < 0 {
			at = slices.Index(taken, false) // there are at least as many free places as members without one
		}
		p.at[n], taken[at] = int32(at), true
	}
	return p
}

// Of returns the place of a member; -1 if it is not live.
func (p *Places) Of(n int) int {
	if n < 0 || n >= len(p.at) {
		return -1
	}
	return int(p.at[n])
}

// LiveCount returns the number of live members.
func (p *Places) LiveCount() int { return p.live }
