package choice

import (
	"math/bits"
	"slices"
)

const (
	// spare is the part of the places, one in so many, that may stand empty: so many relays that are down move nobody.
	spare = 32
	// tries bounds how long one looks for a place by chance before it takes the next.
	tries = 4096
)

// Places says where each member of a fleet stands: each that lives has a place of its own, and nearly all places from 0 on are taken.
type Places struct {
	at   []int32 // by member's number; -1: it does not live
	live int
}

// AssignPlaces gives each member that lives a place. Who lives and has a number below the cut stands there. The others take the places of those that
// do not live, in an order and by draws of their own, which don't depend on who else lives: a change moves one or two, and who they push out.
// The work grows with the fleet; it is for changes of the fleet, not for messages.
func AssignPlaces(live []bool, seed uint64) *Places {
	p := &Places{at: make([]int32, len(live))}
	for _, l := range live {
		if l {
			p.live++
		}
	}
	cut := min(len(live), p.live+p.live/spare)
	taken := make([]bool, cut)
	var over []int
	for n, l := range live {
		switch {
		case !l:
			p.at[n] = -1
		case n < cut:
			p.at[n], taken[n] = int32(n), true
		default:
			over = append(over, n)
		}
	}
	slices.SortFunc(over, func(a, b int) int {
		if x, y := mix(seed, uint64(a)), mix(seed, uint64(b)); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a - b
	})
	mask := 1<<bits.Len(uint(len(live))) - 1
	for _, n := range over {
		at := -1
		for try := 0; try < tries && at < 0; try++ {
			if x := int(mix(seed, uint64(n), uint64(try))) & mask; x < cut && !taken[x] {
				at = x
			}
		}
		if at < 0 {
			at = slices.Index(taken, false) // as many are free as are looking
		}
		p.at[n], taken[at] = int32(at), true
	}
	return p
}

// Of is the place of a member; -1: it does not live.
func (p *Places) Of(n int) int {
	if n < 0 || n >= len(p.at) {
		return -1
	}
	return int(p.at[n])
}

// LiveCount is how many live.
func (p *Places) LiveCount() int { return p.live }
