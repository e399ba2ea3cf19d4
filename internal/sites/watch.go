package sites

import (
	"math/rand/v2"
	"reflect"
	"time"

	"oatfold/policy"
)

// Time is a moment on the caller's monotonic clock.
type Time = policy.Time

// State is the state of a site as one relay sees it.
type State int

// The states of a site.
const (
	Healthy   State = iota
	Degraded        // parts of it fail, or it is unreachable from this relay only
	Lost            // no calls succeed
	Returning       // it answers again, and its load grows step by step
)

func (s State) String() string { return [...]string{"whole", "thin", "lost", "returning"}[s] }

// Detection of losses, return of load and limits of spilled load.
const (
	bucketWidth          = 500 * time.Millisecond
	bucketCount          = 4 // number of buckets in which calls are counted
	lossFailures         = 3 // failed calls in a row after which a site may be lost; one if other relays see the same
	lossDelay            = 500 * time.Millisecond
	lossDelayRelaysAlive = 2 * time.Second // the same while its relays are alive, which speaks against a loss
	fleetStatsLifetime   = 2 * time.Second // how long fleet statistics stay valid
	degradedFailures     = 4               // recent failures that make a site degraded, if not fewer than accepted calls
	degradedDelay        = time.Second     // of evidence, until a healthy site is degraded
	clearDelay           = 3 * time.Second // without evidence, until a degraded site is healthy again

	initialFraction    = 0.1                    // of a returning site's load
	minFraction        = 0.02                   // lower bound of the load fraction of a returning site
	unsafeCallFraction = 0.5                    // minimum for calls that must not be repeated
	fleetProbeInterval = 500 * time.Millisecond // mean time between probes of a lost site by the whole fleet
	initialHoldDown    = time.Second            // until a failed return is probed again; doubles
	maxHoldDown        = 8 * time.Second
	maxRampSlowdown    = 2 // factor on the plan's ramp for a site that failed while returning
	stableRamps        = 2 // ramps in which a site stays healthy until failed returns are forgotten

	spillCutRejected     = 0.1                    // rejected fraction of a site's calls above which the rate is cut
	spillCutFactor       = 0.9                    // of the accepted rate, after a cut
	spillGrowth          = 1.05                   // factor per second, while few calls are rejected
	spillGrowRejected    = 0.03                   // rejected fraction below which the rate grows
	spillMinCalls        = 5                      // fewer recent calls never cut the rate
	imbalanceFactor      = 1.15                   // factor on an equal share of headroom, since demands differ; a relay that sees rejections lowers its own
	minReporters         = 2                      // relays that have to report the same; one may be wrong or malicious
	startupPeriod        = 10 * time.Second       // after its start, in which a relay accepts others' reports of a loss
	recoveryReportPeriod = 15 * time.Second       // for how long a relay reports that a site has recovered
	minSpillRate         = 0.2                    // calls per second, enough to keep observing a site
	baselineTime         = 20 * time.Second       // time constant of the moving average baselineRate
	deathDetectionTime   = 8 * time.Second        // after a loss, until dead relays are known to be dead
	burstTime            = 500 * time.Millisecond // of calls that may be sent at once; longer than a tick

	probeDueCost  = -10  // of an endpoint at a lost site that is due for a probe: nothing else would choose it
	returningCost = -0.1 // of an endpoint at a returning site that has not had its share of calls
	tierCost      = 0.02 // per tier of distance, in units of the endpoint's concurrency limit
)

// CallOutcome is the outcome of a call to a site's endpoint.
type CallOutcome int

// The outcomes of a call.
const (
	Accepted   CallOutcome = iota // the endpoint processed it, successfully or not
	Rejected                      // the endpoint refused it as overloaded
	Failed                        // connection refused or reset: the host is up
	NoResponse                    // no connection or no response in time
)

// Change is a change of a site's state.
type Change struct {
	Zone         string
	From, To     State
	Why          string
	reportedOnly bool // from other relays' reports: this relay saw nothing of the loss
}

// PolicyUpdate returns the change as the policy engine receives it.
func (c Change) PolicyUpdate(w *Watch) policy.SitesUpdate {
	update := policy.SitesUpdate{Plan: w}
	switch {
	case c.To == Returning && c.From == Lost:
		update.ReturnedZone = c.Zone
	case c.reportedOnly:
		update.ColdZone = c.Zone
	}
	return update
}

// Status is the state of a site as operators see it.
type Status struct {
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Since            Time    `json:"-"`
	Why              string  `json:"why"`
	LoadFraction     float64 `json:"level"` // part of its load that it receives
	ManuallyOut      bool    `json:"out_by_hand,omitempty"`
	MaybePartitioned bool    `json:"cut_perhaps,omitempty"` // the only evidence of a loss is missing responses
	Relays           int     `json:"relays"`
	RelaysAlive      int     `json:"relays_alive"`
	CallsAccepted    int     `json:"calls_taken"` // from this relay, in the last two seconds
	CallsRejected    int     `json:"calls_refused"`
	CallsFailed      int     `json:"calls_failed"`
	FailedReturns    int     `json:"failed_returns,omitempty"`
	MaxSpillRate     float64 `json:"spill_most,omitempty"` // calls per second from this relay; 0: no limit
	Tier             int     `json:"tier"`                 // 0: this relay's site; -1: not in its tiers
	Endpoints        int     `json:"endpoints"`
}

// counts is a number of calls by outcome. failed includes noResponse.
type counts struct{ accepted, rejected, failed, noResponse int }

func (c *counts) add(o counts) {
	c.accepted, c.rejected, c.failed, c.noResponse =
		c.accepted+o.accepted, c.rejected+o.rejected, c.failed+o.failed, c.noResponse+o.noResponse
}

// site is the state of a zone as one relay sees it.
type site struct {
	name string
	tier int

	state            State
	since            Time
	why              string
	manuallyOut      bool
	maybePartitioned bool

	recent            [bucketCount]counts
	failureRun        int // failures in a row
	silentRun         int // of those, calls without response
	failureRunAt      Time
	acceptedAt        Time      // the latest accepted call; negative: none yet
	othersAcceptedAt  Time      // other relays' latest accepted call; negative: none
	othersFailedAt    Time      // and their latest failures
	lossReporters     int       // relays that currently report it as lost
	reportedFractions []float64 // load fractions reported by relays that it answers
	degradedSince     Time      // start of the evidence that it is degraded; negative: none
	clearSince        Time
	relays            int
	relaysAlive       int
	endpoints         int

	loadFraction, provenFraction float64
	failedReturns                int
	returned                     bool
	lossAnnounced                bool // to the policy engine, from other relays' reports
	holdDownUntil                Time
	callCredit                   float64
	probeTokens                  float64
	nextProbeAt                  Time
	ownDemand, spareCapacity     float64 // calls per second from the plan; both 0: the plan has no rates
	baselineRate                 float64 // calls per second from here that it accepted while no site was lost
	maxRate                      float64 // calls per second from here while a site is lost; 0: no limit
	tokens                       float64
}

// Watch is one relay's view of all sites. It is not safe for concurrent use.
type Watch struct {
	plan            *Plan
	homeZone        string
	rng             *rand.Rand
	sites           []*site
	byZone          map[string]*site
	endpoints       map[string]endpointPlace // by address
	endpointsByZone map[int]map[string]int   // by destination: number of endpoints per zone
	lastTick        Time
	bucketStart     Time
	liveRelays      int // relays that are alive, this one included
	lostSites       int // sites that are lost or returning
	startedAt       Time
	started         bool
	changes         []Change
}

// endpointPlace is the destination and zone of an endpoint.
type endpointPlace struct {
	dest int
	zone string
}

// NewWatch returns a relay's view of the plan's sites. home is the relay's own zone.
func NewWatch(plan *Plan, home string, seed int64) *Watch {
	w := &Watch{
		plan: plan, homeZone: home, rng: rand.New(rand.NewPCG(uint64(seed), 0x517e)), byZone: map[string]*site{},
		endpoints: map[string]endpointPlace{}, endpointsByZone: map[int]map[string]int{}, liveRelays: 1,
	}
	for _, s := range plan.Sites {
		newSite := &site{
			name: s.Zone, tier: -1, loadFraction: 1, provenFraction: initialFraction, acceptedAt: -1,
			othersAcceptedAt: -1, othersFailedAt: -1, degradedSince: -1, why: "nothing speaks against it",
		}
		w.sites, w.byZone[s.Zone] = append(w.sites, newSite), newSite
	}
	for _, s := range w.sites {
		s.ownDemand = plan.ownDemand(s.name)
	}
	if s, ok := w.byZone[home]; ok {
		s.tier, s.spareCapacity = 0, plan.maxSpillFraction(home)*plan.headroom(home)
	}
	for _, s := range plan.Sites {
		if s.Zone != home {
			continue
		}
		for i, t := range s.Tiers {
			for _, z := range t.Zones {
				if other := w.byZone[z]; other != nil && other.tier < 0 {
					other.tier, other.spareCapacity = i+1, t.SpillFraction*plan.headroom(z)
				}
			}
		}
	}
	return w
}

// HasPlan reports whether the watch uses this plan and home zone.
func (w *Watch) HasPlan(plan *Plan, home string) bool {
	return plan != nil && home == w.homeZone && reflect.DeepEqual(plan, w.plan)
}

// ApplyEndpointList applies an update of the endpoint list.
func (w *Watch) ApplyEndpointList(update policy.EndpointListUpdate) {
	if update.Kind == policy.ListUnavailable {
		return
	}
	if update.Kind != policy.ListChanges {
		clear(w.endpoints)
		clear(w.endpointsByZone)
		for _, s := range w.sites {
			s.endpoints = 0
		}
	}
	drop := func(address string) {
		if place, ok := w.endpoints[address]; ok {
			delete(w.endpoints, address)
			if w.endpointsByZone[place.dest][place.zone]--; w.endpointsByZone[place.dest][place.zone] == 0 {
				delete(w.endpointsByZone[place.dest], place.zone)
			}
			if s := w.byZone[place.zone]; s != nil {
				s.endpoints--
			}
		}
	}
	for _, e := range update.Entries {
		drop(e.Address)
		if e.State != policy.Listed {
			continue
		}
		w.endpoints[e.Address] = endpointPlace{e.Destination, e.Zone}
		if w.endpointsByZone[e.Destination] == nil {
			w.endpointsByZone[e.Destination] = map[string]int{}
		}
		w.endpointsByZone[e.Destination][e.Zone]++
		if s := w.byZone[e.Zone]; s != nil {
			s.endpoints++
		}
	}
}

// SetRelayCounts sets how many relays a zone has and how many of them are considered alive, this
// one excluded.
func (w *Watch) SetRelayCounts(zone string, relays, alive int) {
	if s := w.byZone[zone]; s != nil {
		if s.state == Lost && s.relaysAlive == 0 && alive > 0 { // its relays are back, so its endpoints may be too
			s.nextProbeAt = min(s.nextProbeAt, w.lastTick+time.Duration(w.rng.Int64N(int64(4*fleetProbeInterval))))
		}
		s.relays, s.relaysAlive = relays, alive
	}
	w.liveRelays = 1
	for _, s := range w.sites {
		w.liveRelays += s.relaysAlive
	}
}

// ApplyFleetStats applies the fleet's mean call statistics. Those of a destination with endpoints
// in a single zone are evidence for that zone.
func (w *Watch) ApplyFleetStats(now Time, stats []policy.RouteStats) {
	for _, route := range stats {
		if len(w.endpointsByZone[route.Destination]) != 1 {
			continue
		}
		for zone := range w.endpointsByZone[route.Destination] {
			if s := w.byZone[zone]; s == nil {
				continue
			} else if route.Accepted > 0 {
				s.othersAcceptedAt = now
			} else if route.Failed > 0 && route.Reporters != 1 {
				s.othersFailedAt = now
			}
		}
	}
}

// SetPeerReports sets what other relays report of a zone from their own calls: how many consider it
// lost, and which load fractions the others give it.
func (w *Watch) SetPeerReports(zone string, lossReporters int, fractions []float64) {
	if s := w.byZone[zone]; s != nil {
		s.lossReporters, s.reportedFractions = lossReporters, fractions
	}
}

// OwnReport returns this relay's report of a zone from its own calls: a load fraction, 0 if the
// zone is lost. ok is false if there is nothing to report.
func (w *Watch) OwnReport(zone string) (fraction float64, ok bool) {
	s := w.byZone[zone]
	switch {
	case s == nil || s.manuallyOut:
		return 0, false
	case s.state == Lost:
		return 0, s.failureRun > 0
	case s.state == Returning:
		return s.loadFraction, s.acceptedAt >= s.since && s.failureRun == 0
	case s.state == Healthy && s.returned && w.lastTick-s.since < recoveryReportPeriod:
		return 1, true
	}
	return 0, false
}

// RecordCall records the outcome of a call, started at startedAt, to the endpoint at an address.
// Calls to unknown endpoints are ignored.
func (w *Watch) RecordCall(now, startedAt Time, address string, outcome CallOutcome) {
	place, ok := w.endpoints[address]
	s := w.byZone[place.zone]
	if !ok || s == nil || outcome != Accepted && s.state == Returning && startedAt < s.since {
		return // failures of calls from before the return say nothing about it
	}
	w.recordOutcome(now, s, outcome)
}

func (w *Watch) recordOutcome(now Time, s *site, outcome CallOutcome) {
	c := &s.recent[0]
	switch outcome {
	case Rejected: // the endpoint is up but overloaded: evidence for neither state
		c.rejected++
		return
	case Accepted:
		c.accepted++
		s.failureRun, s.silentRun, s.acceptedAt = 0, 0, now
		if s.state == Lost && !s.manuallyOut && now >= s.holdDownUntil {
			s.loadFraction = max(minFraction, min(initialFraction, s.provenFraction))
			w.setState(now, s, Returning, "a call was taken there")
		}
		return
	case NoResponse:
		c.noResponse++
		s.silentRun++
	}
	c.failed++
	if s.failureRun++; s.failureRun == 1 {
		s.failureRunAt = now
	}
}

// Changes returns the changes since the previous call.
func (w *Watch) Changes() (all []Change) {
	all, w.changes = w.changes, nil
	return all
}

// Tick reevaluates all sites. It has to be called a few times per second.
func (w *Watch) Tick(now Time) {
	if !w.started {
		w.started, w.startedAt, w.lastTick = true, now, now
	}
	elapsed := now - w.lastTick
	w.lastTick = now
	shift := now-w.bucketStart >= bucketWidth
	if shift {
		w.bucketStart = now
	}
	for _, s := range w.sites {
		w.evaluate(now, elapsed, s)
		if shift {
			copy(s.recent[1:], s.recent[:])
			s.recent[0] = counts{}
		}
	}
}

// SetManuallyOut takes a site out of service, or lets its load return by the ramp. It returns false
// if the plan has no such site.
func (w *Watch) SetManuallyOut(now Time, zone string, out bool) bool {
	s := w.byZone[zone]
	switch {
	case s == nil:
		return false
	case out && !s.manuallyOut:
		s.manuallyOut = true
		w.setState(now, s, Lost, "taken out by hand")
	case !out && s.manuallyOut:
		s.manuallyOut, s.holdDownUntil, s.failureRun, s.silentRun = false, 0, 0, 0
		s.loadFraction = initialFraction
		if s.endpoints == 0 {
			w.setState(now, s, Healthy, "brought back by hand")
		} else {
			w.setState(now, s, Returning, "brought back by hand")
		}
	}
	return true
}

// Statuses returns the status of all sites, in the plan's order.
func (w *Watch) Statuses() (all []Status) {
	for _, s := range w.sites {
		recent := s.recentCounts()
		all = append(all, Status{
			Zone: s.name, State: s.state.String(), Since: s.since, Why: s.why, LoadFraction: s.loadFraction,
			ManuallyOut: s.manuallyOut, MaybePartitioned: s.maybePartitioned,
			Relays: s.relays, RelaysAlive: s.relaysAlive, CallsAccepted: recent.accepted,
			CallsRejected: recent.rejected, CallsFailed: recent.failed, FailedReturns: s.failedReturns,
			MaxSpillRate: s.maxRate, Tier: s.tier, Endpoints: s.endpoints,
		})
	}
	return all
}

// State returns the state of a zone; a zone without a site is healthy.
func (w *Watch) State(zone string) State {
	if s := w.byZone[zone]; s != nil {
		return s.state
	}
	return Healthy
}

// LoadFraction returns the part of its load that a zone receives.
func (w *Watch) LoadFraction(zone string) float64 {
	if s := w.byZone[zone]; s != nil {
		return s.loadFraction
	}
	return 1
}
