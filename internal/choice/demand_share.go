package choice

import (
	"math"
	"time"
)

const (
	demandWindow  = 6 * time.Second // time constant of the moving average of a relay's demand
	minShare      = 0.25            // of the fair share: a relay without demand is ready for its first messages
	maxShare      = 4               // as a multiple of the fair share
	negligibleSum = 0.01            // messages below which a destination is forgotten
)

// DemandShares computes one relay's share of the rate of each destination, in proportion to the
// messages that arrive at it.
type DemandShares struct {
	demands   map[int]*demand
	startedAt Time // start of the first counted span
	started   bool
}

// demand is the exponentially weighted number of messages for one destination.
type demand struct {
	sum float64
	at  Time
}

// NewDemandShares returns DemandShares without any demand.
func NewDemandShares() *DemandShares { return &DemandShares{demands: map[int]*demand{}} }

// Record adds the arrivals by destination in a span that ends now.
func (s *DemandShares) Record(now Time, span time.Duration, counts map[int]int) {
	if span <= 0 {
		return
	}
	if !s.started {
		s.started, s.startedAt = true, now-span
	}
	for d, n := range counts {
		if s.demands[d] == nil && n > 0 {
			s.demands[d] = &demand{at: now - span}
		}
	}
	for d, o := range s.demands {
		o.sum, o.at = o.sum*math.Exp(-(now-o.at).Seconds()/demandWindow.Seconds())+float64(counts[d]), now
		if o.sum < negligibleSum {
			delete(s.demands, d)
		}
	}
}

// Demand returns the messages per second that arrive here for a destination.
func (s *DemandShares) Demand(dest int) float64 {
	o := s.demands[dest]
	if o == nil {
		return 0
	}
	// Corrects for a relay that has counted for less than the window.
	return o.sum / (demandWindow.Seconds() * (1 - math.Exp(-(o.at-s.startedAt).Seconds()/demandWindow.Seconds())))
}

// Share returns this relay's share as a multiple of the fair share; mean is the mean demand over
// all relays. The shares of all relays add up to the fair shares or less: bounds take from the
// largest and give to the smallest.
func (s *DemandShares) Share(dest int, mean float64) float64 {
	if !(mean > 0) {
		return 1
	}
	return max(minShare, min(maxShare, minShare+(1-minShare)*s.Demand(dest)/mean))
}
