// Package emu is a discrete-event simulator of clients, relays and destinations. It runs drawn
// scenarios with injected faults in virtual time, with a policy engine in each relay.
//
//	result, err := emu.Run(scenario, emu.Options{})
//
// The same scenario with the same seed gives the same result to the byte. A run uses one goroutine;
// several runs may go on concurrently.
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

// Options are settings of a run that are not part of the scenario.
type Options struct {
	NewPolicy PolicyFactory     // nil: DefaultPolicy
	Log       func(rules.Event) // receives each event that the rules are checked against; may be nil
	MaxEvents int               // of the simulation; a run that needs more is stopped with an error in its result; 0: 2e9
}

// simulation is the state of one run.
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
	reportKeys       peers.ReportKeys // shared by all relays
	endpointCount    int
	lastMessageID    uint32
	lastCallID       uint64
	openRequests     int // requests that are not completed
	arrivalRand      *rand.Rand
	clientRand       *rand.Rand
	networkRand      *rand.Rand
	gossipRand       *rand.Rand
	cumulativeShares []float64    // of the traffic, by index in trafficDests
	trafficDests     []int        // numbers of destinations that have traffic
	rateMultiple     float64      // product of the active bursts of all traffic
	discoveryOutages int          // active ones
	network          networkState // faults of the network between relays and others
	delayedUpdates   []func()     // endpoint list updates that wait for discovery
}

// request is a message as its client sees it.
type request struct {
	number      int
	class       *Class
	classIndex  int
	dest        *dest
	zone        int // of the relays that it is submitted to; -1: any
	submittedAt time.Duration
	deadline    time.Duration
	workSeconds float64 // at speed 1
	refusals    int     // by relays, so far
	attempts    int     // sent to endpoints
	runs        int     // times that it took effect
	completed   bool
}

// Run runs a scenario to its end. It returns an error if the scenario is invalid.
func Run(scenario *Scenario, options Options) (*Result, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	sim := &simulation{
		scenario:     scenario,
		options:      options,
		newPolicy:    options.NewPolicy,
		byAddress:    map[string]*endpoint{},
		rateMultiple: 1,
		arrivalRand:  newRand(scenario.Seed, "arrivals"),
		clientRand:   newRand(scenario.Seed, "clients"),
		networkRand:  newRand(scenario.Seed, "net"),
		gossipRand:   newRand(scenario.Seed, "notes"),
	}
	if sim.newPolicy == nil {
		sim.newPolicy = DefaultPolicy
	}
	if sim.options.MaxEvents == 0 {
		sim.options.MaxEvents = 2e9
	}
	sim.result = newResult(scenario)
	sim.checker = rules.New(rules.Config{
		AnswerSlack:        scenario.AnswerSlack,
		DrainGrace:         scenario.DrainGrace,
		OverloadFactor:     scenario.OverloadFactor,
		OverloadTime:       scenario.OverloadTime,
		MaxConcurrentCalls: scenario.MaxConcurrentCalls,
		MaxAttempts:        scenario.MaxAttempts,
	})
	sim.build()
	for i := range scenario.Faults {
		sim.scheduleFault(&scenario.Faults[i])
	}
	sim.scheduleArrival()
	end := scenario.Length + scenario.Tail
	for sim.now <= end && (sim.openRequests > 0 || sim.now < scenario.Length) {
		if sim.processed >= sim.options.MaxEvents {
			sim.recordError(fmt.Sprintf("%v: stopped after %d events", sim.now, sim.processed))
			break
		}
		if !sim.engine.runNext() {
			break
		}
	}
	if sim.now > end {
		sim.recordError(fmt.Sprintf("%d messages were not completed %v after the last submission", sim.openRequests,
			scenario.Tail))
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

// gossipFleetSize returns the number of relays that exchange gossip.
func (sim *simulation) gossipFleetSize() int {
	if !sim.scenario.Gossip && !sim.scenario.Membership {
		return 0
	}
	return sim.scenario.Relays
}

// log passes an event to the rule checker and to Options.Log.
func (sim *simulation) log(e rules.Event) {
	e.At = sim.now
	sim.checker.Check(e)
	if sim.options.Log != nil {
		sim.options.Log(e)
	}
}

// maxRecordedErrors bounds Result.Faults.
const maxRecordedErrors = 100

// recordError adds an error of the policy, the scenario or the simulator to the result.
func (sim *simulation) recordError(text string) {
	if len(sim.result.Faults) < maxRecordedErrors {
		sim.result.Faults = append(sim.result.Faults, text)
	}
}

// drawDelay draws the delay of one transmission.
func (sim *simulation) drawDelay(mean time.Duration) time.Duration {
	return scaleDuration(mean, 1+sim.scenario.Jitter*(2*sim.networkRand.Float64()-1))
}

// build creates all destinations and starts all relays.
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
		d := &dest{
			number:        i,
			spec:          spec,
			kind:          &sim.scenario.Kinds[spec.Kind],
			rng:           newRand(sim.scenario.Seed, "dest", uint64(i)),
			meanWork:      mean,
			failureSeenBy: map[int]bool{},
		}
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

// addEndpoint creates an endpoint of d with an address of its own.
func (sim *simulation) addEndpoint(d *dest, spec Endpoint) *endpoint {
	sim.endpointCount++
	e := &endpoint{
		number:      sim.endpointCount,
		dest:        d,
		zone:        cmp.Or(spec.Zone, d.spec.Zone),
		address:     fmt.Sprintf("10.%d.%d.%d:80", sim.endpointCount>>16, sim.endpointCount>>8&255, sim.endpointCount&255),
		spec:        spec,
		speedFactor: 1,
	}
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
		e.limiter = newLimiter(d.kind, d.spec.Limit/float64(len(d.spec.Endpoints)),
			-scaleDuration(d.kind.Window, d.rng.Float64()))
		e.site = &destSite{endpoints: []*endpoint{e}}
	}
	if d.kind.SeparateRoutes {
		sim.reportKeys.Add(e.address, d.number)
	}
	d.endpoints = append(d.endpoints, e)
	sim.byAddress[e.address] = e
	return e
}

// arrivalRate returns the messages per second that are submitted at a time, without the bursts of
// single destinations.
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

// scheduleArrival draws the time of the next arrival, which schedules the one after it.
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
		// Some arrivals are clumps and others are skipped, so that clumps make up ClumpShare of all
		// messages and the mean rate stays the same.
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

// nominalCapacity returns the messages per second that a healthy destination accepts.
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

// pickDest draws a destination by its share of the traffic.
func (sim *simulation) pickDest() *dest {
	x := sim.arrivalRand.Float64() * sim.cumulativeShares[len(sim.cumulativeShares)-1]
	i, _ := slices.BinarySearch(sim.cumulativeShares, x)
	return sim.dests[sim.trafficDests[min(i, len(sim.trafficDests)-1)]]
}

// pickRelay is the load balancer: it draws a relay that it considers up. A relay that has died is
// considered up for BalancerDetectionDelay. While all relays are down it returns any.
func (sim *simulation) pickRelay(req *request) *relay {
	first := sim.clientRand.IntN(len(sim.relays))
	for i := 0; req.zone >= 0 && i < len(sim.relays); i++ { // prefer the request's zone
		r := sim.relays[(first+i)%len(sim.relays)]
		if sim.scenario.ZoneOf(r.number) == req.zone &&
			(r.policy != nil || sim.now-r.diedAt < sim.scenario.BalancerDetectionDelay) {
			return r
		}
	}
	if extra := sim.scenario.HotRelayFactor - 1; extra > 0 &&
		sim.clientRand.Float64() < extra/(extra+float64(len(sim.relays))) {
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

// submitNew creates a request for d and submits it.
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
	req := &request{
		zone:        zone,
		number:      sim.result.Requests,
		class:       class,
		classIndex:  classIndex,
		dest:        d,
		submittedAt: sim.now,
		deadline:    sim.now + class.Deadline,
		workSeconds: class.Work.Seconds() * drawFactor(sim.arrivalRand, class.CV, class.Exponential),
	}
	sim.result.Requests++
	sim.openRequests++
	sim.result.recordRequest(sim, req)
	sim.submit(req)
}

// submitTimeout is how long a client waits for a relay to accept a message.
const submitTimeout = 400 * time.Millisecond

// submit sends a request to a relay that the load balancer considers up.
func (sim *simulation) submit(req *request) {
	if sim.now >= req.deadline {
		sim.complete(req, completedReturned)
		return
	}
	r := sim.pickRelay(req)
	sim.scheduleAfter(sim.drawDelay(sim.scenario.ClientDelay), func() {
		if r.policy == nil { // not detected yet, or all relays are down
			sim.result.Unreached++
			sim.scheduleAfter(scaleDuration(sim.scenario.ResubmitDelay, 0.8+0.4*sim.clientRand.Float64()),
				func() { sim.submit(req) })
			return
		}
		if sim.now < r.stalledUntil { // the client times out and retries; what the relay has not read is lost
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
		sim.log(rules.Event{
			Kind:         rules.Accepted,
			Relay:        r.number,
			Msg:          msg.id,
			Dest:         req.dest.number,
			Effect:       effect,
			RepeatWindow: req.class.RepeatWindow,
			Deadline:     req.deadline,
		})
		sim.reportKeys.EachKey(req.dest.number, r.gossiper.RecordArrival)
		r.enqueue(policy.Submitted{ID: msg.id, Class: req.class.Name, Destination: req.dest.number,
			TimeLeft: req.deadline - sim.now})
		incarnation := r.incarnation
		sim.schedule(req.deadline+sim.scenario.AnswerSlack+sim.scenario.Tick, func() {
			if msg.completed || r.incarnation != incarnation || r.policy == nil {
				return
			}
			msg.completed = true
			delete(r.pending, msg.id)
			sim.complete(req, completedLost)
			r.enqueue(policy.Withdrawn{ID: msg.id})
			if req.deadline < r.stalledUntil { // a stalled relay can't answer in time, whatever its policy
				sim.log(rules.Event{Kind: rules.Withdrawn, Relay: r.number, Msg: msg.id})
				return
			}
			sim.result.Overdue++
		})
	})
}

// retryOrReturn schedules a client's retry after a refusal. Without retries left the request is
// returned.
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

// completion is how a request ended.
type completion int

const (
	completedDelivered completion = iota
	completedReturned             // not accepted or refused, without retries or time left
	completedFailed               // by the relay
	completedLost                 // without an answer in time
)

// complete records how a request ended. Only the first call counts.
func (sim *simulation) complete(req *request, outcome completion) {
	if req.completed {
		return
	}
	req.completed = true
	sim.openRequests--
	sim.result.recordCompletion(sim, req, outcome)
}

// recordRun records that a message took effect at its destination.
func (sim *simulation) recordRun(msg *message) {
	req := msg.request
	if req.runs++; req.runs == 1 {
		return
	}
	if req.class.Effect == policy.Unsafe {
		sim.result.Doubles++
	}
}

// affected returns the endpoints that a fault affects and the destinations that these belong to.
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

// scheduleFault schedules the beginning and the end of a fault.
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
	// Destinations whose endpoints are all affected recover cold.
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
	case Partition, SitePartition, GossipReceiveLoss, GossipSendLoss, DestinationPartition, GossipLoss, GossipDelay,
		GossipDuplication:
		sim.scheduleNetworkFault(fault)
	default:
		for _, n := range fault.Relays {
			sim.scheduleRelayFault(sim.relays[n], fault)
		}
	}
}

// distinctLimiters returns the limiters of endpoints, each once.
func distinctLimiters(endpoints []*endpoint) (distinct []*limiter) {
	for _, e := range endpoints {
		if !slices.Contains(distinct, e.limiter) {
			distinct = append(distinct, e.limiter)
		}
	}
	return distinct
}

// coversDest reports whether endpoints contains all endpoints of d.
func coversDest(d *dest, endpoints []*endpoint) bool {
	for _, e := range d.endpoints {
		if !slices.Contains(endpoints, e) {
			return false
		}
	}
	return true
}

// scheduleRelayFault schedules a crash, stop or stall of one relay.
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

// scheduleExtraArrivals schedules additional messages for one destination from a random source of
// their own.
func (sim *simulation) scheduleExtraArrivals(d *dest, from, to time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	rng := newRand(sim.scenario.Seed, "burst", uint64(d.number), uint64(from))
	for at := from + seconds(rng.ExpFloat64()/rate); at < min(to, sim.scenario.Length); at += seconds(
		rng.ExpFloat64() / rate) {
		sim.schedule(at, func() { sim.submitNew(d) })
	}
}

// drainEndpoint announces that an endpoint drains, later that it is removed, and lists a
// replacement.
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

// announce sends an update of the endpoint list to all relays, to each after a delay of its own. An
// update that is due while discovery is down is sent when it is up.
func (sim *simulation) announce(e *endpoint, state policy.EndpointState, delay time.Duration) {
	for _, r := range sim.relays {
		incarnation := r.incarnation
		apply := func() {
			if r.incarnation != incarnation || r.policy == nil {
				return // a restarted relay has read the list
			}
			if state != policy.Listed {
				sim.log(rules.Event{Kind: rules.EndpointLeaving, Relay: r.number, Endpoint: e.number})
			}
			r.applyEndpointList(policy.EndpointListUpdate{Kind: policy.ListChanges,
				Entries: []policy.Endpoint{r.listEntry(e, state)}})
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
