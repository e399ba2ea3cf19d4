package peers

import (
	"math"
	"time"

	"oatfold/internal/choice"
	"oatfold/policy"
)

// lookAgain is how often who lives is looked at for places: those who die keep theirs for much longer.
const lookAgain = 3 * time.Second

const (
	seenBy  = 2                       // relays that have to see calls fail, where none is taken, before only a few try
	toldFor = 12 * time.Second        // for how long a failure is told again
	downFor = 5 * choice.SlotDuration // after which it ends where nobody saw any call
)

// sharing is what a pool keeps for choices that relays share.
type sharing struct {
	set    choice.Options
	slices *choice.DemandShares
	keeper *choice.SubsetTracker
	live   []bool
	lookAt time.Duration
	places *choice.Places
	waits  map[int]time.Duration // ends of waits that this relay was told, by destination
	failed map[int]time.Duration // destinations that this relay last saw fail, and when
	down   map[int]time.Duration // destinations that nobody gets through to, and when calls were last seen to fail
	shown  map[int]DestinationStatus
}

// DestinationStatus is what was last made of a destination's news, for staff.
type DestinationStatus struct {
	At                    time.Duration
	LiveRelays            int
	SlotHolders           int  // of its turn; 0: turns are not shared
	HoldsSlot             bool // this relay is one
	Down                  bool // nobody gets through: only holders try
	Allowed               float64
	DemandShare           float64 // this relay's, in parts of an even one; 0: slices are not shared
	Reporters             int
	RetryAfter            time.Duration
	OwnDemand, MeanDemand float64 // messages a second that come in for it
}

// EnableChoices has the pool share choices. Without membership there is nothing that they could follow from.
func (p *Gossiper) EnableChoices(set choice.Options) {
	if p.list == nil {
		set = choice.Options{}
	}
	p.sharing = sharing{set: set, slices: choice.NewDemandShares(), keeper: choice.NewSubsetTracker(p.me, set.SubsetSize), waits: map[int]time.Duration{}, failed: map[int]time.Duration{}, down: map[int]time.Duration{}, shown: map[int]DestinationStatus{}}
}

// Choices is which choices are shared.
func (p *Gossiper) Choices() choice.Options { return p.sharing.set }

// UpdateEndpoints takes list news in, for subsets.
func (p *Gossiper) UpdateEndpoints(news policy.EndpointListUpdate) {
	if p.sharing.set.SubsetSize > 0 {
		p.sharing.keeper.UpdateEndpoints(news)
	}
}

// RecordRetryAfter books a wait that a destination told this relay.
func (p *Gossiper) RecordRetryAfter(now time.Duration, dest int, wait time.Duration) {
	if p.sharing.set.Signals && wait >= choice.MinRetryAfter && (p.sharing.waits[dest] > 0 || len(p.sharing.waits) < mostPaces) {
		p.sharing.waits[dest] = max(p.sharing.waits[dest], now+min(wait, choice.MaxRetryAfter))
	}
}

// ChangedSubsets are the subsets that have changed since it was last asked.
func (p *Gossiper) ChangedSubsets(now time.Duration) []policy.Subset {
	s := &p.sharing
	if !s.set.Any() {
		return nil
	}
	if s.live == nil || now-s.lookAt >= lookAgain {
		live := p.list.PlacementEligible(now)
		if s.lookAt = now; s.places == nil || !same(live, s.live) {
			s.places = choice.AssignPlaces(live, choice.Seed)
			s.keeper.UpdatePlaces(s.places)
		}
		s.live = live
	}
	return s.keeper.ChangedSubsets()
}

// ResendSubsets has all subsets told anew: whoever knew them is gone.
func (p *Gossiper) ResendSubsets() {
	if p.sharing.keeper != nil {
		p.sharing.keeper.ResendAll()
	}
}

func same(a, b []bool) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// booked takes what came in here in the span that ends now, and adds the waits that still run to what is told.
func (p *Gossiper) booked(now, span time.Duration) {
	s := &p.sharing
	if s.set.DemandShares {
		wanted := map[int]int{}
		for d, c := range p.mine {
			wanted[d] = c.Arrived
		}
		s.slices.Record(now, span, wanted)
	}
	if s.set.Signals {
		s.tellFailures(now, p.mine)
	}
	for d, til := range s.waits {
		if left := til - now; left >= waitUnit {
			c := p.mine[d]
			c.RetryAfter = left
			p.mine[d] = c
		} else {
			delete(s.waits, d)
		}
	}
}

// tellFailures adds to what is told that a destination failed here, if that was the last that became of a call to it. Risk: in a large fleet the outage is seen by many, but each makes hardly a call
// then; who hears only of the calls of the last seconds hears of none, and sends as to a warm destination when it returns.
func (s *sharing) tellFailures(now time.Duration, mine map[int]DestinationCounts) {
	for d, c := range mine {
		if c.Accepted > 0 {
			delete(s.failed, d)
		} else if c.Failed > 0 && (s.failed[d] > 0 || len(s.failed) < mostPaces) {
			s.failed[d] = now
		}
	}
	for d, at := range s.failed {
		if c := mine[d]; now-at > toldFor {
			delete(s.failed, d)
		} else if c.Failed == 0 {
			c.Failed = 1
			mine[d] = c
		}
	}
}

// said is what one relay said of one destination, all its accounts together.
type said struct {
	from              int
	c                 DestinationCounts
	allowed, allowing float64 // sum of logarithms
	wait              time.Duration
}

func add(all []said, a account, c DestinationCounts, now time.Duration) []said {
	at := -1
	for i := range all {
		if all[i].from == a.from {
			at = i
		}
	}
	if at < 0 {
		all, at = append(all, said{from: a.from}), len(all)
	}
	s := &all[at]
	s.c = DestinationCounts{Arrived: s.c.Arrived + c.Arrived, Accepted: s.c.Accepted + c.Accepted, Rejected: s.c.Rejected + c.Rejected, Failed: s.c.Failed + c.Failed}
	if c.Allowed > 0 {
		s.allowed, s.allowing = s.allowed+math.Log(c.Allowed), s.allowing+1
	}
	s.wait = max(s.wait, c.RetryAfter-(now-a.at))
	return all
}

// usual is what the usual relay sees of a destination.
func (p *Gossiper) usual(now time.Duration, dest int, all []said, spans float64) policy.RouteStats {
	var h choice.CombinedReports
	if p.sharing.set.Signals || p.sharing.set.TimeSlots {
		voices := make([]choice.Report, len(all))
		for i, s := range all {
			voices[i] = choice.Report{Calls: s.c.Accepted + s.c.Rejected + s.c.Failed, Failed: s.c.Failed}
			if s.from != p.me {
				voices[i].RetryAfter = max(0, s.wait)
			}
		}
		h = choice.CombineReports(voices)
	}
	failing := h.FailingReporters
	if !p.sharing.set.Signals {
		h = choice.CombinedReports{}
	}
	var wanted, taken, refused, failed float64
	for i, s := range all {
		w := 1.0
		if h.Weights != nil {
			w = h.Weights[i]
		}
		wanted += float64(s.c.Arrived)
		taken, refused, failed = taken+w*float64(s.c.Accepted), refused+w*float64(s.c.Rejected), failed+w*float64(s.c.Failed)
	}
	if taken > 0 {
		delete(p.sharing.failed, dest)
	}
	if p.sharing.set.TimeSlots {
		if taken > 0 {
			delete(p.sharing.down, dest)
		} else if _, known := p.sharing.down[dest]; failing >= seenBy || known && failing > 0 {
			p.sharing.down[dest] = now
		}
	}
	return policy.RouteStats{Destination: dest, Demand: wanted / spans, Accepted: taken / spans, Rejected: refused / spans, Failed: failed / spans,
		Calls: int(math.Round(taken + refused + failed)), Reporters: h.FailingReporters, RetryAfter: h.RetryAfter}
}

// choose makes out of what the usual relay sees what falls to this one.
func (p *Gossiper) choose(now time.Duration, wall time.Time, u *policy.RouteStats, relays int) {
	s := &p.sharing
	if !s.set.Any() {
		return
	}
	show := DestinationStatus{At: now, Allowed: u.Allowance, Reporters: u.Reporters, RetryAfter: u.RetryAfter, MeanDemand: u.Demand}
	if s.set.DemandShares {
		show.OwnDemand, show.DemandShare = s.slices.Demand(u.Destination), s.slices.Share(u.Destination, u.Demand)
		u.Allowance *= show.DemandShare
	}
	if s.set.TimeSlots && s.live != nil {
		show.LiveRelays = s.places.LiveCount()
		show.SlotHolders = choice.SlotHolders(show.LiveRelays, u.Demand)
		show.HoldsSlot = choice.HoldsSlot(p.me, s.live, uint64(u.Destination), choice.SlotAt(wall), show.SlotHolders)
		at, down := s.down[u.Destination]
		if down && now-at > downFor {
			delete(s.down, u.Destination) // nobody has tried: each may
			down = false
		}
		show.Down = down
		u.OthersProbe = down && !show.HoldsSlot
	}
	if _, had := s.shown[u.Destination]; had || len(s.shown) < mostPaces {
		s.shown[u.Destination] = show
	}
}

// Place is where this relay stands among those that live, and how many do; -1: not known.
func (p *Gossiper) Place() (place, live int) {
	if p.sharing.places == nil {
		return -1, 0
	}
	return p.sharing.places.Of(p.me), p.sharing.places.LiveCount()
}

// EachSubset calls f for the subset of each destination of which not all endpoints are kept, until it says no.
func (p *Gossiper) EachSubset(f func(dest int, mine []choice.Endpoint, of int) bool) {
	if p.sharing.keeper != nil {
		p.sharing.keeper.EachSubset(f)
	}
}

// DestinationStatuses is what was last made of each destination's news.
func (p *Gossiper) DestinationStatuses() map[int]DestinationStatus { return p.sharing.shown }
