// Package rehearse plays the loss of a site in virtual time from the figures of an operator's plan, with relays that act on it or without: what a forecast works out from rates, with
// queues, time-outs, messages that come again, and a return. A day belongs to one goroutine; days may be played side by side.
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

// Case is what happens beside, or in place of, a site's loss and return.
type Case string

// The cases.
const (
	Plain             Case = "plain"     // the site goes with its relays and endpoints, and comes back cold
	FailsInRamp       Case = "again"     // it fails again in its ramp
	SecondSiteFails   Case = "second"    // a second site fails while it is lost
	RelaysOnly        Case = "relays"    // its relays go, its endpoints live
	EndpointsOnly     Case = "endpoints" // the reverse
	Partitioned       Case = "cut"       // it is cut off, lives, and serves its own clients
	HalfWithoutGossip Case = "half"      // half of the other relays don't reach its endpoints
	RelaysPaused      Case = "paused"    // all relays stand still for 5 s while it is lost
	StaleEndpointList Case = "stale"     // news of the list wait, so that its endpoints still stand there
	BurstOnReturn     Case = "burst"     // it returns at the top of a burst
)

// Cases are all of them.
func Cases() []Case {
	return []Case{Plain, FailsInRamp, SecondSiteFails, RelaysOnly, EndpointsOnly, Partitioned, HalfWithoutGossip, RelaysPaused, StaleEndpointList, BurstOnReturn}
}

// Config is what is rehearsed.
type Config struct {
	Plan           *sites.Plan
	LostZone       string
	Case           Case
	RelaysPerSite  int // of each site
	Seed           uint64
	UsePlan        bool          // relays act on the plan
	LoadFactor     float64       // times what the plan says is wanted; 0: once
	Permanent      bool          // it does not come back: what is served settles
	LossAt         time.Duration // when it goes; 0: 12 s
	OutageDuration time.Duration // for how long; 0: 14 s
	Length         time.Duration // 0: 80 s
}

// Outcome is what came of it.
type Outcome struct {
	Result          *emu.Result
	CallsToLostSite int                // calls at the lost site while it is
	PeakOverload    float64            // most of what a zone that lives was sent in any two seconds, in parts of what it takes
	RecoveredAfter  time.Duration      // from its return until all relays that live take it for whole again; below 0: not by the day's end
	DeliveredShares map[string]float64 // delivered part of each class, from the loss on where it stays lost
}

const (
	usualAt, usualGone, usualLength = 12 * time.Second, 14 * time.Second, 80 * time.Second
	work                            = 50 * time.Millisecond // of a message
	each                            = 25.0                  // messages a second that an endpoint takes, at most
	slotsRoom                       = 2.2                   // slots over what all messages keep busy
	holdFor                         = 8.0                   // s of messages
	overloadIn                      = 2 * time.Second
)

// usual are classes whose names the plan shares with the deployment; others are safe to repeat, and as urgent as an alert.
var usual = []policy.Class{
	{Name: "price-alert", Effect: policy.Safe, TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second, Value: 1},
	{Name: "order-relay", Effect: policy.Keyed, RepeatWindow: 5 * time.Second, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 2, LateValue: 0.3},
	{Name: "fee-charge", Effect: policy.Unsafe, TargetLatency: 2500 * time.Millisecond, Deadline: 20 * time.Second, Value: 5, LateValue: 0.3},
}

// NewScenario builds the day. Zones have the laboratory's names, in the plan's order.
func NewScenario(set Config) (*emu.Scenario, error) {
	p, names := renamed(set.Plan)
	lost, known := names[set.LostZone]
	if !known {
		return nil, fmt.Errorf("%q is no site of the file; there are %s", set.LostZone, strings.Join(set.Plan.Zones(), ", "))
	}
	if set.Case == "" {
		set.Case = Plain
	}
	if !slices.Contains(Cases(), set.Case) {
		return nil, fmt.Errorf("case %q is not known; there are %v", set.Case, Cases())
	}
	if len(p.Destinations) == 0 {
		return nil, fmt.Errorf("the file names no destination: there is nothing to rehearse")
	}
	at, gone, length := orElse(set.LossAt, usualAt), orElse(set.OutageDuration, usualGone), orElse(set.Length, usualLength)
	zones := len(p.Sites)
	d := &emu.Scenario{Name: fmt.Sprintf("%s of %s", set.Case, set.LostZone), Seed: set.Seed, Length: length, Tail: 30 * time.Second, Tick: 10 * time.Millisecond,
		Relays: max(1, set.RelaysPerSite) * zones, Zones: zones, MaxAttempts: 6, RTT: 20 * time.Millisecond, ClientDelay: time.Millisecond, Jitter: 0.2, HandshakeRTTs: 2, IdleTimeout: 15 * time.Second,
		ConnectTimeout: time.Second, AnswerSlack: 300 * time.Millisecond, ClientRetries: 2, ClientBackoff: time.Second, RetryAfterCompliance: 0.8, MaxRetryAfter: 5 * time.Second, ResubmitDelay: time.Second, BalancerDetectionDelay: time.Second,
		DiscoveryDelay: 2 * time.Second, DiscoverySpread: 300 * time.Millisecond, WarmUpTime: 10 * time.Second, ColdStartShare: 0.2, OverloadFactor: 2, OverloadTime: 3 * time.Second, DrainGrace: time.Second,
		Gossip: true, Membership: true, GossipLoss: 0.02, Choices: choice.Options{DemandShares: true, Signals: true}, Penalties: emu.Penalties{WastedWork: 0.042, Handshake: 0.04, LateFailure: 0.02, RejectedCall: 0.05, Gossip: 0.01},
		Kinds: []emu.Kind{{Name: "partner", MaxBatch: 1, Limit: emu.NoLimit, ColdStartShare: 0.2, WarmUpTime: 10 * time.Second, CancelsQueued: true}}}
	if set.UsePlan {
		d.Sites = p
	}
	if set.Permanent {
		d.TallyFrom = at + 4*time.Second
		gone = length + d.Tail
	}
	if err := traffic(d, p, orElse(set.LoadFactor, 1)); err != nil {
		return nil, err
	}
	var of []int
	for n := range d.Relays {
		if d.ZoneOf(n) == lost {
			of = append(of, n)
		}
	}
	zone := zoneName(lost)
	goes := func(at, long time.Duration, relays []int, zone string) {
		if relays != nil {
			d.Faults = append(d.Faults, emu.Fault{Kind: emu.RelayCrash, At: at, Duration: long, Relays: relays})
		}
		if zone != "" {
			d.Faults = append(d.Faults, emu.Fault{Kind: emu.Crash, At: at, Duration: long, Zone: zone})
		}
	}
	switch set.Case {
	case RelaysOnly:
		goes(at, gone, of, "")
	case EndpointsOnly:
		goes(at, gone, nil, zone)
	case Partitioned:
		d.Faults = append(d.Faults, emu.Fault{Kind: emu.SitePartition, At: at, Duration: gone, Zone: zone})
	case HalfWithoutGossip: // those of every second other relay, by a cut of their own ways to all endpoints but for their zone: they go by what others see
		goes(at, gone, of, zone)
		var deaf []int
		for n := range d.Relays {
			if d.ZoneOf(n) != lost && n/zones%2 == 0 {
				deaf = append(deaf, n)
			}
		}
		d.Faults = append(d.Faults, emu.Fault{Kind: emu.GossipReceiveLoss, At: at - 2*time.Second, Duration: gone + 4*time.Second, Relays: deaf})
	default:
		goes(at, gone, of, zone)
	}
	switch set.Case {
	case FailsInRamp:
		goes(at+gone+5*time.Second, 4*time.Second, nil, zone)
	case SecondSiteFails:
		next := (lost + 1) % zones
		var others []int
		for n := range d.Relays {
			if d.ZoneOf(n) == next {
				others = append(others, n)
			}
		}
		goes(at+5*time.Second, 7*time.Second, others, zoneName(next))
	case RelaysPaused:
		var all []int
		for n := range d.Relays {
			if d.ZoneOf(n) != lost {
				all = append(all, n)
			}
		}
		d.Faults = append(d.Faults, emu.Fault{Kind: emu.RelayStall, At: at + 4*time.Second, Duration: 5 * time.Second, Relays: all})
	case StaleEndpointList:
		d.Faults = append(d.Faults, emu.Fault{Kind: emu.DiscoveryOutage, At: at - time.Second, Duration: gone + 5*time.Second})
	case BurstOnReturn:
		d.Faults = append(d.Faults, emu.Fault{Kind: emu.Burst, At: at + gone - 3*time.Second, Duration: 7 * time.Second, Intensity: 1.8})
	}
	return d, d.Check()
}

func orElse[T comparable](v, fallback T) T {
	var none T
	if v == none {
		return fallback
	}
	return v
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", 1+n) }

// renamed is the plan with the laboratory's names for zones.
func renamed(p *sites.Plan) (*sites.Plan, map[string]int) {
	names := map[string]int{}
	for i, s := range p.Sites {
		names[s.Zone] = i
	}
	of := func(z string) string { return zoneName(names[z]) }
	out := &sites.Plan{RefuseFirst: p.RefuseFirst, Ramp: p.Ramp}
	for _, s := range p.Sites {
		one := sites.Site{Zone: of(s.Zone)}
		for _, t := range s.Tiers {
			tier := sites.Tier{SpillFraction: t.SpillFraction}
			for _, z := range t.Zones {
				tier.Zones = append(tier.Zones, of(z))
			}
			one.Tiers = append(one.Tiers, tier)
		}
		out.Sites = append(out.Sites, one)
	}
	for _, d := range p.Destinations {
		one := sites.Destination{Number: d.Number, Capacity: map[string]float64{}, Demand: map[string]map[string]float64{}}
		for z, n := range d.Capacity {
			one.Capacity[of(z)] = n
		}
		for z, by := range d.Demand {
			one.Demand[of(z)] = by
		}
		out.Destinations = append(out.Destinations, one)
	}
	return out, names
}

// traffic sets classes, destinations and what comes in. The laboratory's destinations are numbered from nought, in the plan's order.
func traffic(d *emu.Scenario, p *sites.Plan, load float64) error {
	classes := map[string]int{}
	class := func(name string) int {
		if n, ok := classes[name]; ok {
			return n
		}
		c := policy.Class{Name: name, Effect: policy.Safe, TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second, Value: 1}
		for _, u := range usual {
			if u.Name == name {
				c = u
			}
		}
		classes[name] = len(d.Classes)
		d.Classes = append(d.Classes, emu.Class{Class: c, Share: 1, Work: work, CV: 0.3, Noise: 0.1})
		return classes[name]
	}
	all := 0.0
	for i, dest := range p.Destinations {
		one := emu.Dest{}
		for z, s := range p.Sites {
			takes := dest.Capacity[s.Zone]
			if takes > 0 {
				n := int(math.Ceil(takes / each))
				need := takes * work.Seconds() / float64(n)
				workers := int(math.Ceil(need))
				for range n {
					one.Endpoints = append(one.Endpoints, emu.Endpoint{Workers: workers, Speed: need / float64(workers), QueueSize: max(2, int(takes/float64(n)/4)), Zone: s.Zone})
				}
			}
			var names []string
			for c := range dest.Demand[s.Zone] {
				names = append(names, c)
			}
			slices.Sort(names)
			for _, c := range names {
				if rate := dest.Demand[s.Zone][c]; rate > 0 {
					one.Mix = append(one.Mix, emu.TrafficShare{Class: class(c), Zone: z, Share: rate})
					one.Share += rate
				}
			}
		}
		if len(one.Endpoints) == 0 {
			return fmt.Errorf("destinations[%d]: no zone takes anything for it", i)
		}
		all += one.Share
		d.Dests = append(d.Dests, one)
	}
	if all <= 0 {
		return fmt.Errorf("the file says nowhere what clients want")
	}
	d.Rate = all * load
	busy := d.Rate * (work + d.RTT).Seconds() / float64(d.Relays)
	d.MaxConcurrentCalls, d.MaxPending = max(6, int(math.Ceil(2*slotsRoom*busy))), max(40, int(holdFor*d.Rate/float64(d.Relays)))
	return nil
}

// Run plays a day and looks at what the site's loss did.
func Run(set Config) (*Outcome, error) {
	d, err := NewScenario(set)
	if err != nil {
		return nil, err
	}
	p, names := renamed(set.Plan)
	lost := zoneName(names[set.LostZone])
	zoneOf, takes := map[int]string{}, map[string]float64{}
	n := 0
	for _, dest := range d.Dests {
		for _, e := range dest.Endpoints {
			n++
			zoneOf[n] = e.Zone
		}
	}
	for _, dest := range p.Destinations {
		for z, t := range dest.Capacity {
			takes[z] += t
		}
	}
	at, gone := orElse(set.LossAt, usualAt), orElse(set.OutageDuration, usualGone)
	if set.Permanent {
		gone = d.Length
	}
	down := func(zone string, now time.Duration) bool { // endpoints of the zone are gone then
		for _, t := range d.Faults {
			if t.Kind == emu.Crash && t.Zone == zone && now >= t.At && now < t.At+t.Duration {
				return true
			}
		}
		return false
	}
	out := &Outcome{DeliveredShares: map[string]float64{}, RecoveredAfter: -1}
	recent, last := map[string][]time.Duration{}, uint64(0)
	res, err := emu.Run(d, emu.Options{Log: func(e rules.Event) {
		if e.Kind != rules.Sent || e.Call == 0 || e.Call == last {
			return
		}
		last = e.Call
		zone := zoneOf[e.Endpoint]
		if down(zone, e.At) {
			if zone == lost {
				out.CallsToLostSite++
			}
			return
		}
		if zone == lost || e.At < at {
			return
		}
		r := recent[zone]
		for len(r) > 0 && r[0] <= e.At-overloadIn {
			r = r[1:]
		}
		recent[zone] = append(r, e.At)
		out.PeakOverload = max(out.PeakOverload, float64(len(r)+1)/(takes[zone]*overloadIn.Seconds()))
	}})
	if err != nil {
		return nil, err
	}
	out.Result = res
	for _, c := range res.ByClass {
		if c.Requests > 0 {
			out.DeliveredShares[c.Name] = float64(c.Delivered) / float64(c.Requests)
		}
	}
	states, whole := map[int]string{}, time.Duration(-1)
	for _, c := range res.Sites {
		if c.Zone != lost {
			continue
		}
		if states[c.By] = c.To; c.At < at+gone {
			continue
		}
		all := true
		for _, s := range states {
			all = all && s == sites.Healthy.String()
		}
		if whole = -1; all {
			whole = c.At - at - gone
		}
	}
	out.RecoveredAfter = whole
	return out, nil
}

// Comparison holds a rehearsal of a loss that stays against the forecast: for each class, the served part in both.
type Comparison struct {
	Class                string  `json:"class"`
	Forecast             float64 `json:"plan"`
	Rehearsal            float64 `json:"rehearsal"`
	WithinTolerance      bool    `json:"within"`
	ForecastRejectedRate float64 `json:"plan_refused_a_second"`
	RehearsalUndelivered float64 `json:"rehearsal_not_delivered"` // messages
}

// Tolerance is how far plan and rehearsal may differ.
const Tolerance = 0.05

// CompareWithForecast compares a rehearsal with the plan's forecast.
func CompareWithForecast(set Config) ([]Comparison, *Outcome, error) {
	f, err := set.Plan.ForecastLoss(set.LostZone)
	if err != nil {
		return nil, nil, err
	}
	set.Permanent, set.Case = true, Plain
	out, err := Run(set)
	if err != nil {
		return nil, nil, err
	}
	var all []Comparison
	for _, s := range f.After {
		got, ok := out.DeliveredShares[s.Class]
		if !ok {
			continue
		}
		missed := 0
		for _, c := range out.Result.ByClass {
			if c.Name == s.Class {
				missed = c.Requests - c.Delivered
			}
		}
		all = append(all, Comparison{s.Class, s.ServedFraction(), got, math.Abs(s.ServedFraction()-got) <= Tolerance, s.Refused, float64(missed)})
	}
	return all, out, nil
}
