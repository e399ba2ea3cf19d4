// Package rehearse simulates the loss of a site in virtual time, from the rates in an operator's
// plan and with relays that follow the plan or ignore it. Unlike the forecast, which works with
// rates alone, it covers queues, timeouts, retries and the site's return. A run belongs to one
// goroutine; runs may be parallel.
package rehearse

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"oatfold/internal/choice"
	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
	"oatfold/internal/sites"
	"oatfold/policy"
)

// Case is a variant of a site's loss and return.
type Case string

// The cases.
const (
	Plain             Case = "plain"     // the site loses its relays and endpoints, and returns cold
	FailsInRamp       Case = "again"     // it fails again while its traffic ramps up
	SecondSiteFails   Case = "second"    // a second site fails meanwhile
	RelaysOnly        Case = "relays"    // its relays fail, its endpoints stay
	EndpointsOnly     Case = "endpoints" // its endpoints fail, its relays stay
	Partitioned       Case = "cut"       // it is partitioned and serves its own clients
	HalfWithoutGossip Case = "half"      // half of the other relays receive no gossip
	RelaysPaused      Case = "paused"    // all other relays are paused for 5 s
	StaleEndpointList Case = "stale"     // the endpoint list is not updated, so it still lists the lost endpoints
	BurstOnReturn     Case = "burst"     // it returns during a burst of messages
)

// Cases returns all cases.
func Cases() []Case {
	return []Case{Plain, FailsInRamp, SecondSiteFails, RelaysOnly, EndpointsOnly, Partitioned,
		HalfWithoutGossip, RelaysPaused, StaleEndpointList, BurstOnReturn}
}

// Config configures a rehearsal.
type Config struct {
	Plan           *sites.Plan
	LostZone       string
	Case           Case
	RelaysPerSite  int
	Seed           uint64
	UsePlan        bool          // relays follow the plan
	LoadFactor     float64       // multiple of the plan's demand; 0: 1
	Permanent      bool          // the site does not return, so that the service settles
	LossAt         time.Duration // 0: defaultLossAt
	OutageDuration time.Duration // 0: defaultOutage
	Length         time.Duration // 0: defaultLength
}

// Outcome is the result of a rehearsal.
type Outcome struct {
	Result          *emu.Result
	CallsToLostSite int     // calls to the lost site while it was down
	PeakOverload    float64 // most calls that a live zone got in any two seconds, relative to its capacity
	// from the site's return until all live relays see it as healthy; negative: not by the end
	RecoveredAfter  time.Duration
	DeliveredShares map[string]float64 // delivered share of each class, from the loss on if it is permanent
}

const (
	defaultLossAt, defaultOutage, defaultLength = 12 * time.Second, 14 * time.Second, 80 * time.Second
	messageWork                                 = 50 * time.Millisecond // per message
	maxEndpointRate                             = 25.0                  // messages per second
	// concurrency limit relative to the calls in flight
	concurrencyHeadroom = 2.2
	pendingSeconds      = 8.0 // pending messages, in seconds of traffic
	overloadWindow      = 2 * time.Second
)

// knownClasses are the classes of the deployment. Other classes are safe to repeat and have the
// settings of price-alert.
var knownClasses = []policy.Class{
	{Name: "price-alert", Effect: policy.Safe, TargetLatency: 1500 * time.Millisecond,
		Deadline: 6 * time.Second, Value: 1},
	{Name: "order-relay", Effect: policy.Keyed, RepeatWindow: 5 * time.Second, TargetLatency: 3 * time.Second,
		Deadline: 20 * time.Second, Value: 2, LateValue: 0.3},
	{Name: "fee-charge", Effect: policy.Unsafe, TargetLatency: 2500 * time.Millisecond,
		Deadline: 20 * time.Second, Value: 5, LateValue: 0.3},
}

// NewScenario builds the scenario. Zones get the laboratory's names, in the plan's order.
func NewScenario(config Config) (*emu.Scenario, error) {
	plan, zoneIndex := withLabZoneNames(config.Plan)
	lost, known := zoneIndex[config.LostZone]
	if !known {
		return nil, fmt.Errorf("%q is not a site of the file; its sites are %s", config.LostZone,
			strings.Join(config.Plan.Zones(), ", "))
	}
	if config.Case == "" {
		config.Case = Plain
	}
	if !slices.Contains(Cases(), config.Case) {
		return nil, fmt.Errorf("unknown case %q; the cases are %v", config.Case, Cases())
	}
	if len(plan.Destinations) == 0 {
		return nil, fmt.Errorf("the file has no destination: there is nothing to rehearse")
	}
	lossAt, outage, length := orElse(config.LossAt, defaultLossAt),
		orElse(config.OutageDuration, defaultOutage), orElse(config.Length, defaultLength)
	zones := len(plan.Sites)
	scenario := &emu.Scenario{Name: fmt.Sprintf("%s of %s", config.Case, config.LostZone), Seed: config.Seed,
		Length: length, Tail: 30 * time.Second, Tick: 10 * time.Millisecond,
		Relays: max(1, config.RelaysPerSite) * zones, Zones: zones, MaxAttempts: 6, RTT: 20 * time.Millisecond,
		ClientDelay: time.Millisecond, Jitter: 0.2, HandshakeRTTs: 2, IdleTimeout: 15 * time.Second,
		ConnectTimeout: time.Second, AnswerSlack: 300 * time.Millisecond, ClientRetries: 2,
		ClientBackoff: time.Second, RetryAfterCompliance: 0.8, MaxRetryAfter: 5 * time.Second,
		ResubmitDelay: time.Second, BalancerDetectionDelay: time.Second,
		DiscoveryDelay: 2 * time.Second, DiscoverySpread: 300 * time.Millisecond, WarmUpTime: 10 * time.Second,
		ColdStartShare: 0.2, OverloadFactor: 2, OverloadTime: 3 * time.Second, DrainGrace: time.Second,
		Gossip: true, Membership: true, GossipLoss: 0.02,
		Choices: choice.Options{DemandShares: true, Signals: true},
		Penalties: emu.Penalties{WastedWork: 0.042, Handshake: 0.04, LateFailure: 0.02, RejectedCall: 0.05,
			Gossip: 0.01},
		Kinds: []emu.Kind{{Name: "partner", MaxBatch: 1, Limit: emu.NoLimit, ColdStartShare: 0.2,
			WarmUpTime: 10 * time.Second, CancelsQueued: true}}}
	if config.UsePlan {
		scenario.Sites = plan
	}
	if config.Permanent {
		scenario.TallyFrom = lossAt + 4*time.Second
		outage = length + scenario.Tail
	}
	if err := addTraffic(scenario, plan, orElse(config.LoadFactor, 1)); err != nil {
		return nil, err
	}
	var lostRelays []int
	for n := range scenario.Relays {
		if scenario.ZoneOf(n) == lost {
			lostRelays = append(lostRelays, n)
		}
	}
	zone := zoneName(lost)
	addLoss := func(at, duration time.Duration, relays []int, zone string) {
		if relays != nil {
			scenario.Faults = append(scenario.Faults,
				emu.Fault{Kind: emu.RelayCrash, At: at, Duration: duration, Relays: relays})
		}
		if zone != "" {
			scenario.Faults = append(scenario.Faults,
				emu.Fault{Kind: emu.Crash, At: at, Duration: duration, Zone: zone})
		}
	}
	switch config.Case {
	case RelaysOnly:
		addLoss(lossAt, outage, lostRelays, "")
	case EndpointsOnly:
		addLoss(lossAt, outage, nil, zone)
	case Partitioned:
		scenario.Faults = append(scenario.Faults,
			emu.Fault{Kind: emu.SitePartition, At: lossAt, Duration: outage, Zone: zone})
	case HalfWithoutGossip: // every second other relay gets no gossip, and has to go by its own calls
		addLoss(lossAt, outage, lostRelays, zone)
		var withoutGossip []int
		for n := range scenario.Relays {
			if scenario.ZoneOf(n) != lost && n/zones%2 == 0 {
				withoutGossip = append(withoutGossip, n)
			}
		}
		scenario.Faults = append(scenario.Faults,
			emu.Fault{Kind: emu.GossipReceiveLoss, At: lossAt - 2*time.Second, Duration: outage + 4*time.Second,
				Relays: withoutGossip})
	default:
		addLoss(lossAt, outage, lostRelays, zone)
	}
	switch config.Case {
	case FailsInRamp:
		addLoss(lossAt+outage+5*time.Second, 4*time.Second, nil, zone)
	case SecondSiteFails:
		next := (lost + 1) % zones
		var others []int
		for n := range scenario.Relays {
			if scenario.ZoneOf(n) == next {
				others = append(others, n)
			}
		}
		addLoss(lossAt+5*time.Second, 7*time.Second, others, zoneName(next))
	case RelaysPaused:
		var all []int
		for n := range scenario.Relays {
			if scenario.ZoneOf(n) != lost {
				all = append(all, n)
			}
		}
		scenario.Faults = append(scenario.Faults,
			emu.Fault{Kind: emu.RelayStall, At: lossAt + 4*time.Second, Duration: 5 * time.Second, Relays: all})
	case StaleEndpointList:
		scenario.Faults = append(scenario.Faults,
			emu.Fault{Kind: emu.DiscoveryOutage, At: lossAt - time.Second, Duration: outage + 5*time.Second})
	case BurstOnReturn:
		scenario.Faults = append(scenario.Faults,
			emu.Fault{Kind: emu.Burst, At: lossAt + outage - 3*time.Second, Duration: 7 * time.Second,
				Intensity: 1.8})
	}
	return scenario, scenario.Check()
}

// orElse returns v, or the fallback if v is the zero value.
func orElse[T comparable](v, fallback T) T {
	var none T
	if v == none {
		return fallback
	}
	return v
}

// zoneName returns the laboratory's name of the zone with the given index.
func zoneName(n int) string { return fmt.Sprintf("zone-%d", 1+n) }

// withLabZoneNames returns the plan with the laboratory's zone names, and the index of each zone by
// its name in the plan.
func withLabZoneNames(plan *sites.Plan) (*sites.Plan, map[string]int) {
	zoneIndex := map[string]int{}
	for i, site := range plan.Sites {
		zoneIndex[site.Zone] = i
	}
	labName := func(z string) string { return zoneName(zoneIndex[z]) }
	renamed := &sites.Plan{RefuseFirst: plan.RefuseFirst, Ramp: plan.Ramp}
	for _, site := range plan.Sites {
		renamedSite := sites.Site{Zone: labName(site.Zone)}
		for _, tier := range site.Tiers {
			renamedTier := sites.Tier{SpillFraction: tier.SpillFraction}
			for _, z := range tier.Zones {
				renamedTier.Zones = append(renamedTier.Zones, labName(z))
			}
			renamedSite.Tiers = append(renamedSite.Tiers, renamedTier)
		}
		renamed.Sites = append(renamed.Sites, renamedSite)
	}
	for _, dest := range plan.Destinations {
		renamedDest := sites.Destination{Number: dest.Number, Capacity: map[string]float64{},
			Demand: map[string]map[string]float64{}}
		for z, rate := range dest.Capacity {
			renamedDest.Capacity[labName(z)] = rate
		}
		for z, demand := range dest.Demand {
			renamedDest.Demand[labName(z)] = demand
		}
		renamed.Destinations = append(renamed.Destinations, renamedDest)
	}
	return renamed, zoneIndex
}

// addTraffic adds classes, destinations and the rate of messages. Destinations are numbered from
// zero, in the plan's order.
func addTraffic(scenario *emu.Scenario, plan *sites.Plan, load float64) error {
	classes := map[string]int{}
	classNumber := func(name string) int {
		if n, ok := classes[name]; ok {
			return n
		}
		c := policy.Class{Name: name, Effect: policy.Safe, TargetLatency: 1500 * time.Millisecond,
			Deadline: 6 * time.Second, Value: 1}
		for _, known := range knownClasses {
			if known.Name == name {
				c = known
			}
		}
		classes[name] = len(scenario.Classes)
		scenario.Classes = append(scenario.Classes,
			emu.Class{Class: c, Share: 1, Work: messageWork, CV: 0.3, Noise: 0.1})
		return classes[name]
	}
	totalRate := 0.0
	for i, dest := range plan.Destinations {
		labDest := emu.Dest{}
		for zone, site := range plan.Sites {
			capacity := dest.Capacity[site.Zone]
			if capacity > 0 {
				n := int(math.Ceil(capacity / maxEndpointRate))
				load := capacity * messageWork.Seconds() / float64(n)
				workers := int(math.Ceil(load))
				for range n {
					labDest.Endpoints = append(labDest.Endpoints,
						emu.Endpoint{Workers: workers, Speed: load / float64(workers),
							QueueSize: max(2, int(capacity/float64(n)/4)), Zone: site.Zone})
				}
			}
			var classNames []string
			for class := range dest.Demand[site.Zone] {
				classNames = append(classNames, class)
			}
			slices.Sort(classNames)
			for _, class := range classNames {
				if rate := dest.Demand[site.Zone][class]; rate > 0 {
					labDest.Mix = append(labDest.Mix,
						emu.TrafficShare{Class: classNumber(class), Zone: zone, Share: rate})
					labDest.Share += rate
				}
			}
		}
		if len(labDest.Endpoints) == 0 {
			return fmt.Errorf("destinations[%d]: no zone has capacity for it", i)
		}
		totalRate += labDest.Share
		scenario.Dests = append(scenario.Dests, labDest)
	}
	if totalRate <= 0 {
		return fmt.Errorf("the file has no demand of clients")
	}
	scenario.Rate = totalRate * load
	callsInFlight := scenario.Rate * (messageWork + scenario.RTT).Seconds() / float64(scenario.Relays)
	scenario.MaxConcurrentCalls, scenario.MaxPending =
		max(6, int(math.Ceil(2*concurrencyHeadroom*callsInFlight))),
		max(40, int(pendingSeconds*scenario.Rate/float64(scenario.Relays)))
	return nil
}

// Run runs the scenario and measures the effect of the site's loss.
func Run(config Config) (*Outcome, error) {
	scenario, err := NewScenario(config)
	if err != nil {
		return nil, err
	}
	plan, zoneIndex := withLabZoneNames(config.Plan)
	lost := zoneName(zoneIndex[config.LostZone])
	zoneOf, capacity := map[int]string{}, map[string]float64{}
	n := 0
	for _, dest := range scenario.Dests {
		for _, endpoint := range dest.Endpoints {
			n++
			zoneOf[n] = endpoint.Zone
		}
	}
	for _, dest := range plan.Destinations {
		for z, rate := range dest.Capacity {
			capacity[z] += rate
		}
	}
	lossAt, outage := orElse(config.LossAt, defaultLossAt), orElse(config.OutageDuration, defaultOutage)
	if config.Permanent {
		outage = scenario.Length
	}
	down := func(zone string, now time.Duration) bool { // whether the endpoints of the zone are down
		for _, fault := range scenario.Faults {
			if fault.Kind == emu.Crash && fault.Zone == zone && now >= fault.At && now < fault.At+fault.Duration {
				return true
			}
		}
		return false
	}
	outcome := &Outcome{DeliveredShares: map[string]float64{}, RecoveredAfter: -1}
	recent, lastCall := map[string][]time.Duration{}, uint64(0)
	result, err := emu.Run(scenario, emu.Options{Log: func(e rules.Event) {
		if e.Kind != rules.Sent || e.Call == 0 || e.Call == lastCall {
			return
		}
		lastCall = e.Call
		zone := zoneOf[e.Endpoint]
		if down(zone, e.At) {
			if zone == lost {
				outcome.CallsToLostSite++
			}
			return
		}
		if zone == lost || e.At < lossAt {
			return
		}
		times := recent[zone]
		for len(times) > 0 && times[0] <= e.At-overloadWindow {
			times = times[1:]
		}
		recent[zone] = append(times, e.At)
		outcome.PeakOverload = max(outcome.PeakOverload,
			float64(len(times)+1)/(capacity[zone]*overloadWindow.Seconds()))
	}})
	if err != nil {
		return nil, err
	}
	outcome.Result = result
	for _, class := range result.ByClass {
		if class.Requests > 0 {
			outcome.DeliveredShares[class.Name] = float64(class.Delivered) / float64(class.Requests)
		}
	}
	states, recoveredAfter := map[int]string{}, time.Duration(-1)
	for _, change := range result.Sites {
		if change.Zone != lost {
			continue
		}
		if states[change.By] = change.To; change.At < lossAt+outage {
			continue
		}
		allHealthy := true
		for _, state := range states {
			allHealthy = allHealthy && state == sites.Healthy.String()
		}
		if recoveredAfter = -1; allHealthy {
			recoveredAfter = change.At - lossAt - outage
		}
	}
	outcome.RecoveredAfter = recoveredAfter
	return outcome, nil
}

// Comparison compares the served share of a class in the forecast and in the rehearsal of a
// permanent loss.
type Comparison struct {
	Class                string  `json:"class"`
	Forecast             float64 `json:"plan"`
	Rehearsal            float64 `json:"rehearsal"`
	WithinTolerance      bool    `json:"within"`
	ForecastRejectedRate float64 `json:"plan_refused_a_second"`
	RehearsalUndelivered float64 `json:"rehearsal_not_delivered"` // messages
}

// Tolerance is the largest difference of served shares that counts as agreement.
const Tolerance = 0.05

// CompareWithForecast rehearses the permanent loss of the site and compares it with the plan's
// forecast, for each class.
func CompareWithForecast(config Config) ([]Comparison, *Outcome, error) {
	forecast, err := config.Plan.ForecastLoss(config.LostZone)
	if err != nil {
		return nil, nil, err
	}
	config.Permanent, config.Case = true, Plain
	outcome, err := Run(config)
	if err != nil {
		return nil, nil, err
	}
	var comparisons []Comparison
	for _, class := range forecast.After {
		delivered, ok := outcome.DeliveredShares[class.Class]
		if !ok {
			continue
		}
		undelivered := 0
		for _, tally := range outcome.Result.ByClass {
			if tally.Name == class.Class {
				undelivered = tally.Requests - tally.Delivered
			}
		}
		comparisons = append(comparisons,
			Comparison{class.Class, class.ServedFraction(), delivered,
				math.Abs(class.ServedFraction()-delivered) <= Tolerance, class.Refused, float64(undelivered)})
	}
	return comparisons, outcome, nil
}
