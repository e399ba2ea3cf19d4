package peers

import (
	"math"
	"time"

	"oatfold/internal/choice"
	"oatfold/policy"
)

// placesInterval is the time between two updates of places. Dead members keep theirs for much
// longer.
const placesInterval = 3 * time.Second

const (
	minFailureReporters = 2                       // relays that report failures of a destination that is down
	failureRepeatTime   = 12 * time.Second        // a failure is repeated in reports for this long
	downTimeout         = 5 * choice.SlotDuration // without any reported call, after which the destination counts as up
)

// choiceState holds the state of the shared choices.
type choiceState struct {
	options         choice.Options
	demand          *choice.DemandShares
	subsets         *choice.SubsetTracker
	live            []bool
	placesAt        time.Duration
	places          *choice.Places
	retryAfterUntil map[int]time.Duration // end of the Retry-After that this relay received, by destination
	failedAt        map[int]time.Duration // latest failure at this relay, by destination
	downSeenAt      map[int]time.Duration // latest reported failure, by destination that is down
	statuses        map[int]DestinationStatus
}

// DestinationStatus is the latest evaluation of a destination, for operators.
type DestinationStatus struct {
	At                    time.Duration
	LiveRelays            int
	SlotHolders           int           // relays that hold its time slot; 0: time slots are not shared
	HoldsSlot             bool          // this relay is one of them
	Down                  bool          // no relay gets through; only slot holders call it
	Allowed               float64       // calls per second of the fair share; 0: no bound
	DemandShare           float64       // this relay's, as a multiple of the fair share; 0: shares do not follow demand
	Reporters             int           // relays that report failures
	RetryAfter            time.Duration // combined from the reports of other relays
	OwnDemand, MeanDemand float64       // messages per second
}

// EnableChoices sets which choices the relays share. None are shared without membership.
func (g *Gossiper) EnableChoices(options choice.Options) {
	if g.members == nil {
		options = choice.Options{}
	}
	g.choices = choiceState{
		options:         options,
		demand:          choice.NewDemandShares(),
		subsets:         choice.NewSubsetTracker(g.self, options.SubsetSize),
		retryAfterUntil: map[int]time.Duration{},
		failedAt:        map[int]time.Duration{},
		downSeenAt:      map[int]time.Duration{},
		statuses:        map[int]DestinationStatus{},
	}
}

// Choices returns which choices are shared.
func (g *Gossiper) Choices() choice.Options { return g.choices.options }

// UpdateEndpoints applies an update of the endpoint list to the subsets.
func (g *Gossiper) UpdateEndpoints(update policy.EndpointListUpdate) {
	if g.choices.options.SubsetSize > 0 {
		g.choices.subsets.UpdateEndpoints(update)
	}
}

// RecordRetryAfter records a Retry-After that a destination sent to this relay.
func (g *Gossiper) RecordRetryAfter(now time.Duration, dest int, wait time.Duration) {
	if g.choices.options.Signals && wait >= choice.MinRetryAfter &&
		(g.choices.retryAfterUntil[dest] > 0 || len(g.choices.retryAfterUntil) < maxAllowances) {
		g.choices.retryAfterUntil[dest] = max(g.choices.retryAfterUntil[dest], now+min(wait, choice.MaxRetryAfter))
	}
}

// ChangedSubsets returns the subsets that have changed since the last call.
func (g *Gossiper) ChangedSubsets(now time.Duration) []policy.Subset {
	s := &g.choices
	if !s.options.Any() {
		return nil
	}
	if s.live == nil || now-s.placesAt >= placesInterval {
		live := g.members.PlacementEligible(now)
		if s.placesAt = now; s.places == nil || !sameMembers(live, s.live) {
			s.places = choice.AssignPlaces(live, choice.Seed)
			s.subsets.UpdatePlaces(s.places)
		}
		s.live = live
	}
	return s.subsets.ChangedSubsets()
}

// ResendSubsets makes ChangedSubsets return all subsets again, for a new receiver.
func (g *Gossiper) ResendSubsets() {
	if g.choices.subsets != nil {
		g.choices.subsets.ResendAll()
	}
}

func sameMembers(a, b []bool) bool {
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

// prepareReport records the demand of the time span that ends now and adds current Retry-After
// times and repeated failures to the report.
func (g *Gossiper) prepareReport(now, span time.Duration) {
	s := &g.choices
	if s.options.DemandShares {
		arrivals := map[int]int{}
		for dest, c := range g.ownCounts {
			arrivals[dest] = c.Arrived
		}
		s.demand.Record(now, span, arrivals)
	}
	if s.options.Signals {
		s.repeatFailures(now, g.ownCounts)
	}
	for dest, until := range s.retryAfterUntil {
		if remaining := until - now; remaining >= retryAfterUnit {
			c := g.ownCounts[dest]
			c.RetryAfter = remaining
			g.ownCounts[dest] = c
		} else {
			delete(s.retryAfterUntil, dest)
		}
	}
}

// repeatFailures adds a failure to the counts of each destination whose latest call from here
// failed. In an outage each relay of a large fleet calls so rarely that recent calls alone would
// not reveal it, and messages would be sent as if the destination were up.
func (s *choiceState) repeatFailures(now time.Duration, counts map[int]DestinationCounts) {
	for dest, c := range counts {
		if c.Accepted > 0 {
			delete(s.failedAt, dest)
		} else if c.Failed > 0 && (s.failedAt[dest] > 0 || len(s.failedAt) < maxAllowances) {
			s.failedAt[dest] = now
		}
	}
	for dest, at := range s.failedAt {
		if c := counts[dest]; now-at > failureRepeatTime {
			delete(s.failedAt, dest)
		} else if c.Failed == 0 {
			c.Failed = 1
			counts[dest] = c
		}
	}
}

// destinationSummary combines the reports of one relay about one destination.
type destinationSummary struct {
	from                          int
	counts                        DestinationCounts
	logAllowedSum, allowedReports float64 // sum of logarithms
	retryAfter                    time.Duration
}

// addToSummaries adds the counts of a report to the summary of its sender.
func addToSummaries(
	summaries []destinationSummary, r report, c DestinationCounts, now time.Duration,
) []destinationSummary {
	index := -1
	for i := range summaries {
		if summaries[i].from == r.from {
			index = i
		}
	}
	if index < 0 {
		summaries, index = append(summaries, destinationSummary{from: r.from}), len(summaries)
	}
	s := &summaries[index]
	s.counts = DestinationCounts{
		Arrived:  s.counts.Arrived + c.Arrived,
		Accepted: s.counts.Accepted + c.Accepted,
		Rejected: s.counts.Rejected + c.Rejected,
		Failed:   s.counts.Failed + c.Failed,
	}
	if c.Allowed > 0 {
		s.logAllowedSum, s.allowedReports = s.logAllowedSum+math.Log(c.Allowed), s.allowedReports+1
	}
	s.retryAfter = max(s.retryAfter, c.RetryAfter-(now-r.at))
	return summaries
}

// average returns the mean over all relays for one destination.
func (g *Gossiper) average(
	now time.Duration, dest int, summaries []destinationSummary, spans float64,
) policy.RouteStats {
	var combined choice.CombinedReports
	if g.choices.options.Signals || g.choices.options.TimeSlots {
		reports := make([]choice.Report, len(summaries))
		for i, s := range summaries {
			reports[i] = choice.Report{
				Calls:  s.counts.Accepted + s.counts.Rejected + s.counts.Failed,
				Failed: s.counts.Failed,
			}
			if s.from != g.self {
				reports[i].RetryAfter = max(0, s.retryAfter)
			}
		}
		combined = choice.CombineReports(reports)
	}
	failingReporters := combined.FailingReporters
	if !g.choices.options.Signals {
		combined = choice.CombinedReports{}
	}
	var arrived, accepted, rejected, failed float64
	for i, s := range summaries {
		weight := 1.0
		if combined.Weights != nil {
			weight = combined.Weights[i]
		}
		arrived += float64(s.counts.Arrived)
		accepted, rejected, failed = accepted+weight*float64(s.counts.Accepted),
			rejected+weight*float64(s.counts.Rejected), failed+weight*float64(s.counts.Failed)
	}
	if accepted > 0 {
		delete(g.choices.failedAt, dest)
	}
	if g.choices.options.TimeSlots {
		if accepted > 0 {
			delete(g.choices.downSeenAt, dest)
		} else if _, known := g.choices.downSeenAt[dest]; failingReporters >= minFailureReporters ||
			known && failingReporters > 0 {
			g.choices.downSeenAt[dest] = now
		}
	}
	return policy.RouteStats{
		Destination: dest,
		Demand:      arrived / spans,
		Accepted:    accepted / spans,
		Rejected:    rejected / spans,
		Failed:      failed / spans,
		Calls:       int(math.Round(accepted + rejected + failed)),
		Reporters:   combined.FailingReporters,
		RetryAfter:  combined.RetryAfter,
	}
}

// applyChoices derives this relay's part from the average of a destination.
func (g *Gossiper) applyChoices(now time.Duration, wall time.Time, u *policy.RouteStats, relays int) {
	s := &g.choices
	if !s.options.Any() {
		return
	}
	status := DestinationStatus{
		At:         now,
		Allowed:    u.Allowance,
		Reporters:  u.Reporters,
		RetryAfter: u.RetryAfter,
		MeanDemand: u.Demand,
	}
	if s.options.DemandShares {
		status.OwnDemand, status.DemandShare = s.demand.Demand(u.Destination), s.demand.Share(u.Destination, u.Demand)
		u.Allowance *= status.DemandShare
	}
	if s.options.TimeSlots && s.live != nil {
		status.LiveRelays = s.places.LiveCount()
		status.SlotHolders = choice.SlotHolders(status.LiveRelays, u.Demand)
		status.HoldsSlot = choice.HoldsSlot(
			g.self, s.live, uint64(u.Destination), choice.SlotAt(wall), status.SlotHolders)
		at, down := s.downSeenAt[u.Destination]
		if down && now-at > downTimeout {
			delete(s.downSeenAt, u.Destination) // nobody has called it: any relay may
			down = false
		}
		status.Down = down
		u.OthersProbe = down && !status.HoldsSlot
	}
	if _, known := s.statuses[u.Destination]; known || len(s.statuses) < maxAllowances {
		s.statuses[u.Destination] = status
	}
}

// Place returns this relay's place among the live relays and their number; -1 if unknown.
func (g *Gossiper) Place() (place, live int) {
	if g.choices.places == nil {
		return -1, 0
	}
	return g.choices.places.Of(g.self), g.choices.places.LiveCount()
}

// EachSubset calls f for each destination that this relay keeps only a subset of endpoints of,
// until f returns false.
func (g *Gossiper) EachSubset(f func(dest int, subset []choice.Endpoint, total int) bool) {
	if g.choices.subsets != nil {
		g.choices.subsets.EachSubset(f)
	}
}

// DestinationStatuses returns the latest evaluation of each destination.
func (g *Gossiper) DestinationStatuses() map[int]DestinationStatus { return g.choices.statuses }
