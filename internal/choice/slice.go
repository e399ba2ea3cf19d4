package choice

import (
	"math"
	"time"
)

const (
	sliceSpan  = 6 * time.Second // over which a relay's own demand is averaged
	leastSlice = 0.25            // of an even one: one with nothing to send is ready for what comes
	mostSlice  = 4               // times an even one
	forgetSum  = 0.01            // messages of which so little is left are nothing
)

// DemandShares are the parts of what each destination takes that fall to one relay: in proportion to what comes in here for it.
type DemandShares struct {
	own   map[int]*demand
	since Time // when this relay began to count
	begun bool
}

type demand struct {
	sum float64 // messages, the older the less
	at  Time
}

// NewDemandShares returns slices of a relay that knows nothing of its demand.
func NewDemandShares() *DemandShares { return &DemandShares{own: map[int]*demand{}} }

// Record books what came in for destinations in a span that ended now.
func (s *DemandShares) Record(now Time, span time.Duration, counts map[int]int) {
	if span <= 0 {
		return
	}
	if !s.begun {
		s.begun, s.since = true, now-span
	}
	for d, n := range counts {
		if s.own[d] == nil && n > 0 {
			s.own[d] = &demand{at: now - span}
		}
	}
	for d, o := range s.own {
		o.sum, o.at = o.sum*math.Exp(-(now-o.at).Seconds()/sliceSpan.Seconds())+float64(counts[d]), now
		if o.sum < forgetSum {
			delete(s.own, d)
		}
	}
}

// Demand is the messages a second that come in here for a destination.
func (s *DemandShares) Demand(dest int) float64 {
	o := s.own[dest]
	if o == nil {
		return 0
	}
	// Risk: a relay that is young has counted for less than the span, and would take its part for smaller than it is.
	return o.sum / (sliceSpan.Seconds() * (1 - math.Exp(-(o.at-s.since).Seconds()/sliceSpan.Seconds())))
}

// Share is this relay's slice in parts of an even one. mean is what comes in at the usual relay. Over all relays slices come to as much as even ones: the
// bounds take from the largest and give to the smallest, which leave most of it.
func (s *DemandShares) Share(dest int, mean float64) float64 {
	if !(mean > 0) {
		return 1
	}
	return max(leastSlice, min(mostSlice, leastSlice+(1-leastSlice)*s.Demand(dest)/mean))
}
