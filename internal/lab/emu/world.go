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
func Run(day *Scenario, set Options) (*Result, error) {
	if err := day.Check(); err != nil {
		return nil, err
	}
	w := &simulation{scenario: day, options: set, newPolicy: set.NewPolicy, byAddress: map[string]*endpoint{}, rateMultiple: 1,
		arrivalRand: newRand(day.Seed, "arrivals"), clientRand: newRand(day.Seed, "clients"), networkRand: newRand(day.Seed, "net"), gossipRand: newRand(day.Seed, "notes")}
	if w.newPolicy == nil {
		w.newPolicy = DefaultPolicy
	}
	if w.options.MaxEvents == 0 {
		w.options.MaxEvents = 2e9
	}
	w.result = newResult(day)
	w.checker = rules.New(rules.Config{AnswerSlack: day.AnswerSlack, DrainGrace: day.DrainGrace, OverloadFactor: day.OverloadFactor, OverloadTime: day.OverloadTime,
		MaxConcurrentCalls: day.MaxConcurrentCalls, MaxAttempts: day.MaxAttempts})
	w.build()
	for i := range day.Faults {
		w.scheduleFault(&day.Faults[i])
	}
	w.scheduleArrival()
	end := day.Length + day.Tail
	for w.now <= end && (w.openRequests > 0 || w.now < day.Length) {
		if w.processed >= w.options.MaxEvents {
			w.recordError(fmt.Sprintf("%v: cut after %d events", w.now, w.processed))
			break
		}
		if !w.engine.runNext() {
			break
		}
	}
	if w.now > end {
		w.recordError(fmt.Sprintf("%d messages had no end %v after the last came in", w.openRequests, day.Tail))
	}
	for by := w.now + day.SettleTime; w.now < by && !w.membersAgree(); {
		if !w.engine.runNext() {
			break
		}
	}
	w.result.Agreed = w.membersAgree()
	for _, r := range w.relays {
		if r.policy == nil {
			w.result.Down = append(w.result.Down, r.number)
		}
	}
	w.log(rules.Event{Kind: rules.LogEnded})
	w.result.finish(w)
	return w.result, nil
}

// gossipFleetSize is how many relays are told of one another.
func (w *simulation) gossipFleetSize() int {
	if !w.scenario.Gossip && !w.scenario.Membership {
		return 0
	}
	return w.scenario.Relays
}

func (w *simulation) log(e rules.Event) {
	e.At = w.now
	w.checker.Check(e)
	if w.options.Log != nil {
		w.options.Log(e)
	}
}

func (w *simulation) recordError(text string) {
	if len(w.result.Faults) < 100 {
		w.result.Faults = append(w.result.Faults, text)
	}
}

// drawDelay is one way through the network.
func (w *simulation) drawDelay(mean time.Duration) time.Duration {
	return scaleDuration(mean, 1+w.scenario.Jitter*(2*w.networkRand.Float64()-1))
}

func (w *simulation) build() {
	mean, share := 0.0, 0.0
	for _, c := range w.scenario.Classes {
		mean += c.Work.Seconds() * c.Share
		share += c.Share
	}
	mean /= share
	total := 0.0
	for i := range w.scenario.Dests {
		spec := &w.scenario.Dests[i]
		d := &dest{number: i, spec: spec, kind: &w.scenario.Kinds[spec.Kind], rng: newRand(w.scenario.Seed, "dest", uint64(i)), meanWork: mean, failureSeenBy: map[int]bool{}}
		if first := -scaleDuration(d.kind.Window, d.rng.Float64()); !d.kind.SeparateRoutes {
			d.limiter = newLimiter(d.kind, spec.Limit, first)
		}
		for _, e := range spec.Endpoints {
			w.addEndpoint(d, e)
		}
		w.dests = append(w.dests, d)
		total += spec.Share
		if spec.Share > 0 {
			w.cumulativeShares, w.trafficDests = append(w.cumulativeShares, total), append(w.trafficDests, i)
		}
	}
	for n := range w.scenario.Relays {
		r := &relay{sim: w, number: n}
		w.relays = append(w.relays, r)
		r.start()
	}
}

func (w *simulation) addEndpoint(d *dest, spec Endpoint) *endpoint {
	w.endpointCount++
	e := &endpoint{number: w.endpointCount, dest: d, zone: cmp.Or(spec.Zone, d.spec.Zone), address: fmt.Sprintf("10.%d.%d.%d:80", w.endpointCount>>16, w.endpointCount>>8&255, w.endpointCount&255), spec: spec, speedFactor: 1}
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
		w.reportKeys.Add(e.address, d.number)
	}
	d.endpoints = append(d.endpoints, e)
	w.byAddress[e.address] = e
	return e
}

// --- clients ---

// arrivalRate is how many messages a second come in now, for all but single destinations' bursts.
func (w *simulation) arrivalRate(at time.Duration) float64 {
	v, shape := 1.0, w.scenario.Shape
	if n := len(shape); n > 0 {
		i, _ := slices.BinarySearchFunc(shape, at, func(p LoadPoint, at time.Duration) int { return int(p.At - at) })
		switch {
		case i == 0:
			v = shape[0].Multiple
		case i == n:
			v = shape[n-1].Multiple
		default:
			a, b := shape[i-1], shape[i]
			v = a.Multiple + (b.Multiple-a.Multiple)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	return w.scenario.Rate * v * w.rateMultiple
}

// scheduleArrival draws when the next message comes in, one after the other.
func (w *simulation) scheduleArrival() {
	rate := w.arrivalRate(w.now)
	if rate <= 0 {
		if at := w.now + 100*time.Millisecond; at < w.scenario.Length {
			w.schedule(at, w.scheduleArrival)
		}
		return
	}
	at := w.now + seconds(w.arrivalRand.ExpFloat64()/rate)
	if at >= w.scenario.Length {
		return
	}
	w.schedule(at, func() {
		d := w.pickDest()
		clump := 1
		// A clump is as many messages as the destination takes in ClumpFor; it comes as often as its share of all messages asks for, and
		// there are fewer comings, so that the messages stay as many as Rate says.
		if share := w.scenario.ClumpShare; share > 0 {
			size := max(2, math.Floor(d.nominalCapacity()*w.scenario.ClumpDuration.Seconds()))
			chance := share / ((1-share)*size + share)
			switch x := w.arrivalRand.Float64() * (1 + chance*(size-1)); {
			case x >= 1:
				clump = 0
			case x < chance:
				clump = int(size)
			}
		}
		for range clump {
			w.submitNew(d)
		}
		w.scheduleArrival()
	})
}

// nominalCapacity is what a destination takes a second in good health.
func (d *dest) nominalCapacity() float64 {
	all := 0.0
	for _, e := range d.spec.Endpoints {
		all += float64(e.Workers) * e.Speed / d.meanWork
	}
	if d.kind.Limit != NoLimit {
		all = min(all, d.spec.Limit)
	}
	return all
}

func (w *simulation) pickDest() *dest {
	x := w.arrivalRand.Float64() * w.cumulativeShares[len(w.cumulativeShares)-1]
	i, _ := slices.BinarySearch(w.cumulativeShares, x)
	return w.dests[w.trafficDests[min(i, len(w.trafficDests)-1)]]
}

// pickRelay deals messages to the relays that it takes for live: a dead one for as long as it has not noticed, and any while all are down.
func (w *simulation) pickRelay(q *request) *relay {
	n := w.clientRand.IntN(len(w.relays))
	for i := 0; q.zone >= 0 && i < len(w.relays); i++ { // its own zone's, while any of them lives
		r := w.relays[(n+i)%len(w.relays)]
		if w.scenario.ZoneOf(r.number) == q.zone && (r.policy != nil || w.now-r.diedAt < w.scenario.BalancerDetectionDelay) {
			return r
		}
	}
	if more := w.scenario.HotRelayFactor - 1; more > 0 && w.clientRand.Float64() < more/(more+float64(len(w.relays))) {
		n = 0
	}
	for i := range w.relays {
		r := w.relays[(n+i)%len(w.relays)]
		if r.policy != nil || w.now-r.diedAt < w.scenario.BalancerDetectionDelay {
			return r
		}
	}
	return w.relays[n]
}

// submitNew makes a message for d and hands it in.
func (w *simulation) submitNew(d *dest) {
	x, no := w.arrivalRand.Float64(), 0
	for i, c := range w.scenario.Classes {
		if no = i; x < c.Share {
			break
		}
		x -= c.Share
	}
	zone := -1
	if mix := d.spec.Mix; len(mix) > 0 {
		all := 0.0
		for _, m := range mix {
			all += m.Share
		}
		x = w.arrivalRand.Float64() * all
		for _, m := range mix {
			if no, zone = m.Class, m.Zone; x < m.Share {
				break
			}
			x -= m.Share
		}
	}
	c := &w.scenario.Classes[no]
	q := &request{zone: zone, number: w.result.Requests, class: c, classIndex: no, dest: d, submittedAt: w.now, deadline: w.now + c.Deadline, workSeconds: c.Work.Seconds() * drawFactor(w.arrivalRand, c.CV, c.Exponential)}
	w.result.Requests++
	w.openRequests++
	w.result.recordRequest(w, q)
	w.submit(q)
}

// submitTimeout is how long a client waits for a relay's answer to a hand-in.
const submitTimeout = 400 * time.Millisecond

// submit gives a request to a relay that the front takes for live.
func (w *simulation) submit(q *request) {
	if w.now >= q.deadline {
		w.complete(q, completedReturned)
		return
	}
	r := w.pickRelay(q)
	w.scheduleAfter(w.drawDelay(w.scenario.ClientDelay), func() {
		if r.policy == nil { // the front has not noticed, or all are down
			w.result.Unreached++
			w.scheduleAfter(scaleDuration(w.scenario.ResubmitDelay, 0.8+0.4*w.clientRand.Float64()), func() { w.submit(q) })
			return
		}
		if w.now < r.stalledUntil { // nobody answers: the client hands it in again, and what lies in the relay's sockets counts for nothing
			w.scheduleAfter(min(submitTimeout, r.stalledUntil-w.now), func() { w.submit(q) })
			return
		}
		if len(r.pending) >= w.scenario.MaxPending {
			w.result.TurnedAway++
			w.retryOrReturn(q, 0)
			return
		}
		w.lastMessageID++
		m := &message{id: w.lastMessageID, request: q, relay: r, incarnation: r.incarnation}
		r.pending[m.id] = m
		w.result.HandIns++
		w.result.Relays[r.number].Asked += q.class.Value
		effect := rules.Effect(q.class.Effect)
		w.log(rules.Event{Kind: rules.Accepted, Relay: r.number, Msg: m.id, Dest: q.dest.number, Effect: effect, RepeatWindow: q.class.RepeatWindow, Deadline: q.deadline})
		w.reportKeys.EachKey(q.dest.number, r.gossiper.RecordArrival)
		r.enqueue(policy.Submitted{ID: m.id, Class: q.class.Name, Destination: q.dest.number, TimeLeft: q.deadline - w.now})
		life := r.incarnation
		w.schedule(q.deadline+w.scenario.AnswerSlack+w.scenario.Tick, func() {
			if m.completed || r.incarnation != life || r.policy == nil {
				return
			}
			m.completed = true
			delete(r.pending, m.id)
			w.complete(q, completedLost)
			r.enqueue(policy.Withdrawn{ID: m.id})
			if q.deadline < r.stalledUntil { // it stood still when it should have answered: no decision could
				w.log(rules.Event{Kind: rules.Withdrawn, Relay: r.number, Msg: m.id})
				return
			}
			w.result.Overdue++
		})
	})
}

// retryOrReturn lets a client come again after a refusal, as often as it does.
func (w *simulation) retryOrReturn(q *request, advice time.Duration) {
	if q.refusals++; q.refusals > w.scenario.ClientRetries {
		w.complete(q, completedReturned)
		return
	}
	wait := scaleDuration(w.scenario.ClientBackoff<<(q.refusals-1), 0.5+w.clientRand.Float64())
	if w.clientRand.Float64() < w.scenario.RetryAfterCompliance && advice > 0 {
		wait = max(wait, min(advice, w.scenario.MaxRetryAfter))
	}
	w.scheduleAfter(wait, func() { w.submit(q) })
}

type completion int

const (
	completedDelivered completion = iota
	completedReturned
	completedFailed
	completedLost
)

// complete is a request's end. The first counts.
func (w *simulation) complete(q *request, how completion) {
	if q.completed {
		return
	}
	q.completed = true
	w.openRequests--
	w.result.recordCompletion(w, q, how)
}

// recordRun books that a message took effect at its destination.
func (w *simulation) recordRun(m *message) {
	q := m.request
	if q.runs++; q.runs == 1 {
		return
	}
	if q.class.Effect == policy.Unsafe {
		w.result.Doubles++
	}
}

// --- troubles ---

// affected are the endpoints that a trouble is about, and the destinations that it takes whole or in part.
func (w *simulation) affected(t *Fault) (eps []*endpoint, dests []*dest) {
	add := func(d *dest, e *endpoint) {
		if !slices.Contains(eps, e) {
			eps = append(eps, e)
		}
		if !slices.Contains(dests, d) {
			dests = append(dests, d)
		}
	}
	for _, n := range t.Dests {
		for _, e := range w.dests[n].endpoints {
			add(w.dests[n], e)
		}
	}
	for _, p := range t.Endpoints {
		add(w.dests[p[0]], w.dests[p[0]].endpoints[p[1]])
	}
	if t.Zone != "" {
		for _, d := range w.dests {
			for _, e := range d.endpoints {
				if e.zone == t.Zone {
					add(d, e)
				}
			}
		}
	}
	return eps, dests
}

// scheduleFault sets a trouble's beginning and end.
func (w *simulation) scheduleFault(t *Fault) {
	eps, dests := w.affected(t)
	end := t.At + t.Duration
	begins := func(do func(*endpoint)) {
		w.schedule(t.At, func() {
			for _, e := range eps {
				do(e)
			}
		})
	}
	ends := func(do func(*endpoint)) {
		w.schedule(end, func() {
			for _, e := range eps {
				do(e)
			}
		})
	}
	// An outage takes destinations whose endpoints are all hit; they come back cold.
	outage := func(h health) {
		for _, d := range dests {
			if coversDest(d, eps) {
				w.schedule(t.At, func() { w.beginOutage(d) })
			}
		}
		begins(func(e *endpoint) { w.takeDown(e, h, end) })
		ends(w.restore)
		for _, d := range dests {
			if p := d.sites[t.Zone]; p != nil && t.Zone != "" {
				w.schedule(t.At, p.beginOutage)
				w.schedule(end, func() { w.endSiteOutage(d, p) })
			}
		}
		for _, e := range eps {
			if e.dest.kind.SeparateRoutes {
				w.schedule(t.At, e.site.beginOutage)
				w.schedule(end, func() { w.endSiteOutage(e.dest, e.site) })
			}
		}
		for _, d := range dests {
			if coversDest(d, eps) {
				w.schedule(end, func() { w.endOutage(d) })
			}
		}
	}
	switch t.Kind {
	case Crash:
		outage(crashed)
	case Blackhole:
		outage(unresponsive)
	case RejectAll:
		outage(rejecting)
	case FastErrors:
		ill := slices.DeleteFunc(dests, func(d *dest) bool { return t.Intensity <= 0.5 || !coversDest(d, eps) })
		for _, d := range ill {
			w.schedule(t.At, func() { w.beginOutage(d) })
		}
		begins(func(e *endpoint) { e.errorShare = t.Intensity })
		ends(func(e *endpoint) { e.errorShare = 0 })
		for _, d := range ill {
			w.schedule(end, func() { w.endOutage(d) })
		}
	case AnswerLoss:
		begins(func(e *endpoint) { e.answerLoss = t.Intensity })
		ends(func(e *endpoint) { e.answerLoss = 0 })
	case LowerLimit:
		for _, l := range distinctLimiters(eps) {
			w.schedule(t.At, func() { l.rateShare *= t.Intensity })
			w.schedule(end, func() { l.rateShare /= t.Intensity })
		}
	case Slow:
		begins(func(e *endpoint) { e.speedFactor = t.Intensity })
		ends(func(e *endpoint) { e.speedFactor = 1 })
	case Pauses:
		for at := t.At; at < end; at += t.Period {
			w.schedule(at, func() {
				for _, e := range eps {
					e.pausedUntil = w.now + seconds(t.Intensity)
				}
			})
		}
	case Burst:
		if len(dests) == 0 {
			w.schedule(t.At, func() { w.rateMultiple *= t.Intensity })
			w.schedule(end, func() { w.rateMultiple /= t.Intensity })
			return
		}
		total := w.cumulativeShares[len(w.cumulativeShares)-1]
		for _, d := range dests {
			w.scheduleExtraArrivals(d, t.At, end, w.scenario.Rate*d.spec.Share/total*(t.Intensity-1))
		}
	case Drain:
		w.schedule(t.At, func() {
			for _, e := range eps {
				w.drainEndpoint(e, t.Duration)
			}
		})
	case DiscoveryOutage:
		w.schedule(t.At, func() { w.discoveryOutages++ })
		w.schedule(end, func() {
			if w.discoveryOutages--; w.discoveryOutages == 0 {
				late := w.delayedUpdates
				w.delayedUpdates = nil
				for _, f := range late {
					f()
				}
			}
		})
	case Partition, SitePartition, GossipReceiveLoss, GossipSendLoss, DestinationPartition, GossipLoss, GossipDelay, GossipDuplication:
		w.scheduleNetworkFault(t)
	default:
		for _, n := range t.Relays {
			w.scheduleRelayFault(w.relays[n], t)
		}
	}
}

// distinctLimiters are the limits that endpoints are under, each once.
func distinctLimiters(eps []*endpoint) (all []*limiter) {
	for _, e := range eps {
		if !slices.Contains(all, e.limiter) {
			all = append(all, e.limiter)
		}
	}
	return all
}

func coversDest(d *dest, eps []*endpoint) bool {
	for _, e := range d.endpoints {
		if !slices.Contains(eps, e) {
			return false
		}
	}
	return true
}

func (w *simulation) scheduleRelayFault(r *relay, t *Fault) {
	switch t.Kind {
	case RelayCrash, RelayStop:
		w.schedule(t.At, func() {
			if t.Kind == RelayStop && r.policy != nil {
				r.gossiper.Leave(w.now)
				out, _ := r.gossiper.Tick(w.now)
				r.sendGossip(out)
			}
			r.stop()
		})
		w.schedule(t.At+t.Duration, func() {
			if r.policy == nil {
				r.start()
			}
		})
	case RelayStall:
		w.schedule(t.At, func() { r.stalledUntil = t.At + t.Duration })
	}
}

// scheduleExtraArrivals lets further messages for one destination come, from a source of their own.
func (w *simulation) scheduleExtraArrivals(d *dest, from, to time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	rng := newRand(w.scenario.Seed, "burst", uint64(d.number), uint64(from))
	for at := from + seconds(rng.ExpFloat64()/rate); at < min(to, w.scenario.Length); at += seconds(rng.ExpFloat64() / rate) {
		w.schedule(at, func() { w.submitNew(d) })
	}
}

// drainEndpoint announces that an endpoint goes and that another comes in its place.
func (w *simulation) drainEndpoint(e *endpoint, after time.Duration) {
	e.draining = true
	w.announce(e, policy.Draining, w.scenario.DiscoveryDelay)
	w.scheduleAfter(after, func() {
		e.removed = true
		w.announce(e, policy.Removed, w.scenario.DiscoveryDelay)
	})
	fresh := w.addEndpoint(e.dest, e.spec)
	w.announce(fresh, policy.Listed, w.scenario.DiscoveryDelay/3)
}

// announce is news of the list, late and not everywhere at once; while discovery is down it waits for its end.
func (w *simulation) announce(e *endpoint, state policy.EndpointState, late time.Duration) {
	for _, r := range w.relays {
		life := r.incarnation
		hear := func() {
			if r.incarnation != life || r.policy == nil {
				return // a new life has read the list
			}
			if state != policy.Listed {
				w.log(rules.Event{Kind: rules.EndpointLeaving, Relay: r.number, Endpoint: e.number})
			}
			r.applyEndpointList(policy.EndpointListUpdate{Kind: policy.ListChanges, Entries: []policy.Endpoint{r.listEntry(e, state)}})
		}
		w.scheduleAfter(late+scaleDuration(w.scenario.DiscoverySpread, w.networkRand.Float64()), func() {
			if w.discoveryOutages > 0 {
				w.delayedUpdates = append(w.delayedUpdates, hear)
			} else {
				hear()
			}
		})
	}
}
