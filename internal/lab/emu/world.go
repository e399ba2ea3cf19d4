// Package emu plays days in virtual time: clients, relays, destinations and what goes wrong with them, with the decision
// module that is in service, or another one, in each relay. It is a model written from the protocol's public pages; nothing in it
// waits, and one day with one seed gives the same result to the byte.
//
//	res, err := emu.Play(day, emu.Options{})
//
// A day is played on one goroutine; days may be played side by side.
package emu

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/internal/peers"
	"oatfold/policy"
)

// Options are what is not part of a day.
type Options struct {
	NewPolicy PolicyFactory     // nil: Service
	Log       func(rules.Event) // told of every line of the rules' log
	MaxEvents int               // the most that may happen; 0: 2e9. A day that needs more is cut and says so
}

// simulation is a day being played.
type simulation struct {
	engine
	scenario         *Scenario
	options          Options
	newPolicy        PolicyFactory
	result           *Result
	checker          *rules.Checker
	relays           []*relay
	dests            []*dest
	byAddress        map[string]*endpoint
	reportKeys       peers.ReportKeys // the same at all relays
	endpointCount    int
	lastMessageID    uint32
	lastCallID       uint64
	openRequests     int // requests that have not ended
	arrivalRand      *rand.Rand
	clientRand       *rand.Rand
	networkRand      *rand.Rand
	gossipRand       *rand.Rand
	cumulativeShares []float64
	trafficDests     []int
	rateMultiple     float64
	discoveryOutages int
	network          networkState // of notes
	delayedUpdates   []func()     // news that wait for the end of an outage of discovery
}

// request is a message as its client sees it.
type request struct {
	number      int
	class       *Class
	classIndex  int
	dest        *dest
	zone        int // of the relays that it comes to; -1: any
	submittedAt time.Duration
	deadline    time.Duration
	workSeconds float64 // seconds at speed 1
	refusals    int     // refusals so far
	attempts    int
	runs        int
	completed   bool
}

// Run plays a day to its end.
func Run(scenario *Scenario, options Options) (*Result, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	sim := &simulation{scenario: scenario, options: options, newPolicy: options.NewPolicy, byAddress: map[string]*endpoint{}, rateMultiple: 1,
		arrivalRand: newRand(scenario.Seed, "arrivals"), clientRand: newRand(scenario.Seed, "clients"), networkRand: newRand(scenario.Seed, "net"), gossipRand: newRand(scenario.Seed, "notes")}
	if sim.newPolicy == nil {
		sim.newPolicy = DefaultPolicy
	}
	if sim.options.MaxEvents == 0 {
		sim.options.MaxEvents = 2e9
	}
	sim.result = newResult(scenario)
	sim.checker = rules.New(rules.Config{AnswerSlack: scenario.AnswerSlack, DrainGrace: scenario.DrainGrace, OverloadFactor: scenario.OverloadFactor, OverloadTime: scenario.OverloadTime,
		MaxConcurrentCalls: scenario.MaxConcurrentCalls, MaxAttempts: scenario.MaxAttempts})
	sim.build()
	for i := range scenario.Faults {
		sim.scheduleFault(&scenario.Faults[i])
	}
	sim.scheduleArrival()
	end := scenario.Length + scenario.Tail
	for sim.now <= end && (sim.openRequests > 0 || sim.now < scenario.Length) {
		if sim.processed >= sim.options.MaxEvents {
			sim.recordError(fmt.Sprintf("%v: cut after %d events", sim.now, sim.processed))
			break
		}
		if !sim.engine.runNext() {
			break
		}
	}
	if sim.now > end {
		sim.recordError(fmt.Sprintf("%d messages had no end %v after the last came in", sim.openRequests, scenario.Tail))
	}
	for settleUntil := sim.now + scenario.SettleTime; sim.now < settleUntil && !sim.membersAgree(); {
		if !sim.engine.runNext() {
			break
		}
	}
	sim.result.Agreed = sim.membersAgree()
	for _, r := range sim.relays {
		if r.policy == nil {
			sim.result.Down = append(sim.result.Down, r.number)
		}
	}
	sim.log(rules.Event{Kind: rules.LogEnded})
	sim.result.finish(sim)
	return sim.result, nil
}

// gossipFleetSize is how many relays are told of one another.
func (sim *simulation) gossipFleetSize() int {
	if !sim.scenario.Gossip && !sim.scenario.Membership {
		return 0
	}
	return sim.scenario.Relays
}

func (sim *simulation) log(e rules.Event) {
	e.At = sim.now
	sim.checker.Check(e)
	if sim.options.Log != nil {
		sim.options.Log(e)
	}
}

func (sim *simulation) recordError(text string) {
	if len(sim.result.Faults) < 100 {
		sim.result.Faults = append(sim.result.Faults, text)
	}
}

// drawDelay is one way through the network.
func (sim *simulation) drawDelay(mean time.Duration) time.Duration {
	return scaleDuration(mean, 1+sim.scenario.Jitter*(2*sim.networkRand.Float64()-1))
}

func (sim *simulation) build() {
	mean, share := 0.0, 0.0
	for _, c := range sim.scenario.Classes {
		mean += c.Work.Seconds() * c.Share
		share += c.Share
	}
	mean /= share
	total := 0.0
	for i := range sim.scenario.Dests {
		spec := &sim.scenario.Dests[i]
		d := &dest{number: i, spec: spec, kind: &sim.scenario.Kinds[spec.Kind], rng: newRand(sim.scenario.Seed, "dest", uint64(i)), meanWork: mean, failureSeenBy: map[int]bool{}}
		if first := -scaleDuration(d.kind.Window, d.rng.Float64()); !d.kind.SeparateRoutes {
			d.limiter = newLimiter(d.kind, spec.Limit, first)
		}
		for _, e := range spec.Endpoints {
			sim.addEndpoint(d, e)
		}
		sim.dests = append(sim.dests, d)
		total += spec.Share
		if spec.Share > 0 {
			sim.cumulativeShares, sim.trafficDests = append(sim.cumulativeShares, total), append(sim.trafficDests, i)
		}
	}
	for n := range sim.scenario.Relays {
		r := &relay{sim: sim, number: n}
		sim.relays = append(sim.relays, r)
		r.start()
	}
}

func (sim *simulation) addEndpoint(d *dest, spec Endpoint) *endpoint {
	sim.endpointCount++
	e := &endpoint{number: sim.endpointCount, dest: d, zone: cmp.Or(spec.Zone, d.spec.Zone), address: fmt.Sprintf("10.%d.%d.%d:80", sim.endpointCount>>16, sim.endpointCount>>8&255, sim.endpointCount&255), spec: spec, speedFactor: 1}
	if spec.Zone != "" && !d.kind.SeparateRoutes {
		if d.sites == nil {
			d.sites = map[string]*destSite{}
		}
		if d.sites[spec.Zone] == nil {
			d.sites[spec.Zone] = &destSite{}
		}
		e.site = d.sites[spec.Zone]
		e.site.endpoints = append(e.site.endpoints, e)
	}
	if e.limiter = d.limiter; d.kind.SeparateRoutes {
		e.limiter = newLimiter(d.kind, d.spec.Limit/float64(len(d.spec.Endpoints)), -scaleDuration(d.kind.Window, d.rng.Float64()))
		e.site = &destSite{endpoints: []*endpoint{e}}
	}
	if d.kind.SeparateRoutes {
		sim.reportKeys.Add(e.address, d.number)
	}
	d.endpoints = append(d.endpoints, e)
	sim.byAddress[e.address] = e
	return e
}

// --- clients ---

// arrivalRate is how many messages a second come in now, for all but single destinations' bursts.
func (sim *simulation) arrivalRate(at time.Duration) float64 {
	multiple, shape := 1.0, sim.scenario.Shape
	if n := len(shape); n > 0 {
		i, _ := slices.BinarySearchFunc(shape, at, func(p LoadPoint, at time.Duration) int { return int(p.At - at) })
		switch {
		case i == 0:
			multiple = shape[0].Multiple
		case i == n:
			multiple = shape[n-1].Multiple
		default:
			a, b := shape[i-1], shape[i]
			multiple = a.Multiple + (b.Multiple-a.Multiple)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	return sim.scenario.Rate * multiple * sim.rateMultiple
}

// scheduleArrival draws when the next message comes in, one after the other.
func (sim *simulation) scheduleArrival() {
	rate := sim.arrivalRate(sim.now)
	if rate <= 0 {
		if at := sim.now + 100*time.Millisecond; at < sim.scenario.Length {
			sim.schedule(at, sim.scheduleArrival)
		}
		return
	}
	at := sim.now + seconds(sim.arrivalRand.ExpFloat64()/rate)
	if at >= sim.scenario.Length {
		return
	}
	sim.schedule(at, func() {
		d := sim.pickDest()
		clumpSize := 1
		// A clump is as many messages as the destination takes in ClumpFor; it comes as often as its share of all messages asks for, and
		// there are fewer comings, so that the messages stay as many as Rate says.
		if share := sim.scenario.ClumpShare; share > 0 {
			size := max(2, math.Floor(d.nominalCapacity()*sim.scenario.ClumpDuration.Seconds()))
			probability := share / ((1-share)*size + share)
			switch x := sim.arrivalRand.Float64() * (1 + probability*(size-1)); {
			case x >= 1:
				clumpSize = 0
			case x < probability:
				clumpSize = int(size)
			}
		}
		for range clumpSize {
			sim.submitNew(d)
		}
		sim.scheduleArrival()
	})
}

// nominalCapacity is what a destination takes a second in good health.
func (d *dest) nominalCapacity() float64 {
	total := 0.0
	for _, e := range d.spec.Endpoints {
		total += float64(e.Workers) * e.Speed / d.meanWork
	}
	if d.kind.Limit != NoLimit {
		total = min(total, d.spec.Limit)
	}
	return total
}

func (sim *simulation) pickDest() *dest {
	x := sim.arrivalRand.Float64() * sim.cumulativeShares[len(sim.cumulativeShares)-1]
	i, _ := slices.BinarySearch(sim.cumulativeShares, x)
	return sim.dests[sim.trafficDests[min(i, len(sim.trafficDests)-1)]]
}

// pickRelay deals messages to the relays that it takes for live: a dead one for as long as it has not noticed, and any while all are down.
func (sim *simulation) pickRelay(req *request) *relay {
	first := sim.clientRand.IntN(len(sim.relays))
	for i := 0; req.zone >= 0 && i < len(sim.relays); i++ { // its own zone's, while any of them lives
		r := sim.relays[(first+i)%len(sim.relays)]
		if sim.scenario.ZoneOf(r.number) == req.zone && (r.policy != nil || sim.now-r.diedAt < sim.scenario.BalancerDetectionDelay) {
			return r
		}
	}
	if extra := sim.scenario.HotRelayFactor - 1; extra > 0 && sim.clientRand.Float64() < extra/(extra+float64(len(sim.relays))) {
		first = 0
	}
	for i := range sim.relays {
		r := sim.relays[(first+i)%len(sim.relays)]
		if r.policy != nil || sim.now-r.diedAt < sim.scenario.BalancerDetectionDelay {
			return r
		}
	}
	return sim.relays[first]
}

// submitNew makes a message for d and hands it in.
func (sim *simulation) submitNew(d *dest) {
	draw, classIndex := sim.arrivalRand.Float64(), 0
	for i, c := range sim.scenario.Classes {
		if classIndex = i; draw < c.Share {
			break
		}
		draw -= c.Share
	}
	zone := -1
	if mix := d.spec.Mix; len(mix) > 0 {
		total := 0.0
		for _, m := range mix {
			total += m.Share
		}
		draw = sim.arrivalRand.Float64() * total
		for _, m := range mix {
			if classIndex, zone = m.Class, m.Zone; draw < m.Share {
				break
			}
			draw -= m.Share
		}
	}
	class := &sim.scenario.Classes[classIndex]
	req := &request{zone: zone, number: sim.result.Requests, class: class, classIndex: classIndex, dest: d, submittedAt: sim.now, deadline: sim.now + class.Deadline, workSeconds: class.Work.Seconds() * drawFactor(sim.arrivalRand, class.CV, class.Exponential)}
	sim.result.Requests++
	sim.openRequests++
	sim.result.recordRequest(sim, req)
	sim.submit(req)
}

// submitTimeout is how long a client waits for a relay's answer to a hand-in.
const submitTimeout = 400 * time.Millisecond

// submit gives a request to a relay that the front takes for live.
func (sim *simulation) submit(req *request) {
	if sim.now >= req.deadline {
		sim.complete(req, completedReturned)
		return
	}
	r := sim.pickRelay(req)
	sim.scheduleAfter(sim.drawDelay(sim.scenario.ClientDelay), func() {
		if r.policy == nil { // the front has not noticed, or all are down
			sim.result.Unreached++
			sim.scheduleAfter(scaleDuration(sim.scenario.ResubmitDelay, 0.8+0.4*sim.clientRand.Float64()), func() { sim.submit(req) })
			return
		}
		if sim.now < r.stalledUntil { // nobody answers: the client hands it in again, and what lies in the relay's sockets counts for nothing
			sim.scheduleAfter(min(submitTimeout, r.stalledUntil-sim.now), func() { sim.submit(req) })
			return
		}
		if len(r.pending) >= sim.scenario.MaxPending {
			sim.result.TurnedAway++
			sim.retryOrReturn(req, 0)
			return
		}
		sim.lastMessageID++
		msg := &message{id: sim.lastMessageID, request: req, relay: r, incarnation: r.incarnation}
		r.pending[msg.id] = msg
		sim.result.HandIns++
		sim.result.Relays[r.number].Asked += req.class.Value
		effect := rules.Effect(req.class.Effect)
		sim.log(rules.Event{Kind: rules.Accepted, Relay: r.number, Msg: msg.id, Dest: req.dest.number, Effect: effect, RepeatWindow: req.class.RepeatWindow, Deadline: req.deadline})
		sim.reportKeys.EachKey(req.dest.number, r.gossiper.RecordArrival)
		r.enqueue(policy.Submitted{ID: msg.id, Class: req.class.Name, Destination: req.dest.number, TimeLeft: req.deadline - sim.now})
		incarnation := r.incarnation
		sim.schedule(req.deadline+sim.scenario.AnswerSlack+sim.scenario.Tick, func() {
			if msg.completed || r.incarnation != incarnation || r.policy == nil {
				return
			}
			msg.completed = true
			delete(r.pending, msg.id)
			sim.complete(req, completedLost)
			r.enqueue(policy.Withdrawn{ID: msg.id})
			if req.deadline < r.stalledUntil { // it stood still when it should have answered: no decision could
				sim.log(rules.Event{Kind: rules.Withdrawn, Relay: r.number, Msg: msg.id})
				return
			}
			sim.result.Overdue++
		})
	})
}

// retryOrReturn lets a client come again after a refusal, as often as it does.
func (sim *simulation) retryOrReturn(req *request, retryAfter time.Duration) {
	if req.refusals++; req.refusals > sim.scenario.ClientRetries {
		sim.complete(req, completedReturned)
		return
	}
	delay := scaleDuration(sim.scenario.ClientBackoff<<(req.refusals-1), 0.5+sim.clientRand.Float64())
	if sim.clientRand.Float64() < sim.scenario.RetryAfterCompliance && retryAfter > 0 {
		delay = max(delay, min(retryAfter, sim.scenario.MaxRetryAfter))
	}
	sim.scheduleAfter(delay, func() { sim.submit(req) })
}

type completion int

const (
	completedDelivered completion = iota
	completedReturned
	completedFailed
	completedLost
)

// complete is a request's end. The first counts.
func (sim *simulation) complete(req *request, outcome completion) {
	if req.completed {
		return
	}
	req.completed = true
	sim.openRequests--
	sim.result.recordCompletion(sim, req, outcome)
}

// recordRun books that a message took effect at its destination.
func (sim *simulation) recordRun(msg *message) {
	req := msg.request
	if req.runs++; req.runs == 1 {
		return
	}
	if req.class.Effect == policy.Unsafe {
		sim.result.Doubles++
	}
}

// --- troubles ---

// affected are the endpoints that a trouble is about, and the destinations that it takes whole or in part.
func (sim *simulation) affected(fault *Fault) (endpoints []*endpoint, dests []*dest) {
	add := func(d *dest, e *endpoint) {
		if !slices.Contains(endpoints, e) {
			endpoints = append(endpoints, e)
		}
		if !slices.Contains(dests, d) {
			dests = append(dests, d)
		}
	}
	for _, n := range fault.Dests {
		for _, e := range sim.dests[n].endpoints {
			add(sim.dests[n], e)
		}
	}
	for _, p := range fault.Endpoints {
		add(sim.dests[p[0]], sim.dests[p[0]].endpoints[p[1]])
	}
	if fault.Zone != "" {
		for _, d := range sim.dests {
			for _, e := range d.endpoints {
				if e.zone == fault.Zone {
					add(d, e)
				}
			}
		}
	}
	return endpoints, dests
}

// scheduleFault sets a trouble's beginning and end.
func (sim *simulation) scheduleFault(fault *Fault) {
	endpoints, dests := sim.affected(fault)
	end := fault.At + fault.Duration
	begins := func(do func(*endpoint)) {
		sim.schedule(fault.At, func() {
			for _, e := range endpoints {
				do(e)
			}
		})
	}
	ends := func(do func(*endpoint)) {
		sim.schedule(end, func() {
			for _, e := range endpoints {
				do(e)
			}
		})
	}
	// An outage takes destinations whose endpoints are all hit; they come back cold.
	outage := func(h health) {
		for _, d := range dests {
			if coversDest(d, endpoints) {
				sim.schedule(fault.At, func() { sim.beginOutage(d) })
			}
		}
		begins(func(e *endpoint) { sim.takeDown(e, h, end) })
		ends(sim.restore)
		for _, d := range dests {
			if site := d.sites[fault.Zone]; site != nil && fault.Zone != "" {
				sim.schedule(fault.At, site.beginOutage)
				sim.schedule(end, func() { sim.endSiteOutage(d, site) })
			}
		}
		for _, e := range endpoints {
			if e.dest.kind.SeparateRoutes {
				sim.schedule(fault.At, e.site.beginOutage)
				sim.schedule(end, func() { sim.endSiteOutage(e.dest, e.site) })
			}
		}
		for _, d := range dests {
			if coversDest(d, endpoints) {
				sim.schedule(end, func() { sim.endOutage(d) })
			}
		}
	}
	switch fault.Kind {
	case Crash:
		outage(crashed)
	case Blackhole:
		outage(unresponsive)
	case RejectAll:
		outage(rejecting)
	case FastErrors:
		failing := slices.DeleteFunc(dests, func(d *dest) bool { return fault.Intensity <= 0.5 || !coversDest(d, endpoints) })
		for _, d := range failing {
			sim.schedule(fault.At, func() { sim.beginOutage(d) })
		}
		begins(func(e *endpoint) { e.errorShare = fault.Intensity })
		ends(func(e *endpoint) { e.errorShare = 0 })
		for _, d := range failing {
			sim.schedule(end, func() { sim.endOutage(d) })
		}
	case AnswerLoss:
		begins(func(e *endpoint) { e.answerLoss = fault.Intensity })
		ends(func(e *endpoint) { e.answerLoss = 0 })
	case LowerLimit:
		for _, l := range distinctLimiters(endpoints) {
			sim.schedule(fault.At, func() { l.rateShare *= fault.Intensity })
			sim.schedule(end, func() { l.rateShare /= fault.Intensity })
		}
	case Slow:
		begins(func(e *endpoint) { e.speedFactor = fault.Intensity })
		ends(func(e *endpoint) { e.speedFactor = 1 })
	case Pauses:
		for at := fault.At; at < end; at += fault.Period {
			sim.schedule(at, func() {
				for _, e := range endpoints {
					e.pausedUntil = sim.now + seconds(fault.Intensity)
				}
			})
		}
	case Burst:
		if len(dests) == 0 {
			sim.schedule(fault.At, func() { sim.rateMultiple *= fault.Intensity })
			sim.schedule(end, func() { sim.rateMultiple /= fault.Intensity })
			return
		}
		total := sim.cumulativeShares[len(sim.cumulativeShares)-1]
		for _, d := range dests {
			sim.scheduleExtraArrivals(d, fault.At, end, sim.scenario.Rate*d.spec.Share/total*(fault.Intensity-1))
		}
	case Drain:
		sim.schedule(fault.At, func() {
			for _, e := range endpoints {
				sim.drainEndpoint(e, fault.Duration)
			}
		})
	case DiscoveryOutage:
		sim.schedule(fault.At, func() { sim.discoveryOutages++ })
		sim.schedule(end, func() {
			if sim.discoveryOutages--; sim.discoveryOutages == 0 {
				updates := sim.delayedUpdates
				sim.delayedUpdates = nil
				for _, apply := range updates {
					apply()
				}
			}
		})
	case Partition, SitePartition, GossipReceiveLoss, GossipSendLoss, DestinationPartition, GossipLoss, GossipDelay, GossipDuplication:
		sim.scheduleNetworkFault(fault)
	default:
		for _, n := range fault.Relays {
			sim.scheduleRelayFault(sim.relays[n], fault)
		}
	}
}

// distinctLimiters are the limits that endpoints are under, each once.
func distinctLimiters(endpoints []*endpoint) (distinct []*limiter) {
	for _, e := range endpoints {
		if !slices.Contains(distinct, e.limiter) {
			distinct = append(distinct, e.limiter)
		}
	}
	return distinct
}

func coversDest(d *dest, endpoints []*endpoint) bool {
	for _, e := range d.endpoints {
		if !slices.Contains(endpoints, e) {
			return false
		}
	}
	return true
}

func (sim *simulation) scheduleRelayFault(r *relay, fault *Fault) {
	switch fault.Kind {
	case RelayCrash, RelayStop:
		sim.schedule(fault.At, func() {
			if fault.Kind == RelayStop && r.policy != nil {
				r.gossiper.Leave(sim.now)
				datagrams, _ := r.gossiper.Tick(sim.now)
				r.sendGossip(datagrams)
			}
			r.stop()
		})
		sim.schedule(fault.At+fault.Duration, func() {
			if r.policy == nil {
				r.start()
			}
		})
	case RelayStall:
		sim.schedule(fault.At, func() { r.stalledUntil = fault.At + fault.Duration })
	}
}

// scheduleExtraArrivals lets further messages for one destination come, from a source of their own.
func (sim *simulation) scheduleExtraArrivals(d *dest, from, to time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	rng := newRand(sim.scenario.Seed, "burst", uint64(d.number), uint64(from))
	for at := from + seconds(rng.ExpFloat64()/rate); at < min(to, sim.scenario.Length); at += seconds(rng.ExpFloat64() / rate) {
		sim.schedule(at, func() { sim.submitNew(d) })
	}
}

// drainEndpoint announces that an endpoint goes and that another comes in its place.
func (sim *simulation) drainEndpoint(e *endpoint, removalDelay time.Duration) {
	e.draining = true
	sim.announce(e, policy.Draining, sim.scenario.DiscoveryDelay)
	sim.scheduleAfter(removalDelay, func() {
		e.removed = true
		sim.announce(e, policy.Removed, sim.scenario.DiscoveryDelay)
	})
	replacement := sim.addEndpoint(e.dest, e.spec)
	sim.announce(replacement, policy.Listed, sim.scenario.DiscoveryDelay/3)
}

// announce is news of the list, late and not everywhere at once; while discovery is down it waits for its end.
func (sim *simulation) announce(e *endpoint, state policy.EndpointState, delay time.Duration) {
	for _, r := range sim.relays {
		incarnation := r.incarnation
		apply := func() {
			if r.incarnation != incarnation || r.policy == nil {
				return // a new life has read the list
			}
			if state != policy.Listed {
				sim.log(rules.Event{Kind: rules.EndpointLeaving, Relay: r.number, Endpoint: e.number})
			}
			r.applyEndpointList(policy.EndpointListUpdate{Kind: policy.ListChanges, Entries: []policy.Endpoint{r.listEntry(e, state)}})
		}
		sim.scheduleAfter(delay+scaleDuration(sim.scenario.DiscoverySpread, sim.networkRand.Float64()), func() {
			if sim.discoveryOutages > 0 {
				sim.delayedUpdates = append(sim.delayedUpdates, apply)
			} else {
				apply()
			}
		})
	}
}
