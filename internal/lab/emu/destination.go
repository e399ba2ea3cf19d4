package emu

import (
	"math/rand/v2"
	"slices"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/policy"
)

// health is the state of an endpoint.
type health int

const (
	up           health = iota
	crashed             // refuses connections
	unresponsive        // answers nothing
	rejecting           // rejects all calls
)

// dest is the state of a destination.
type dest struct {
	number        int
	spec          *Dest
	kind          *Kind
	endpoints     []*endpoint
	rng           *rand.Rand
	meanWork      float64       // mean seconds per message at speed 1
	limiter       *limiter      // of all endpoints together; nil with separate routes
	warmUpStart   time.Duration // end of the last outage
	warmUpEnd     time.Duration
	activeOutages int
	recentWork    []workArrival        // within OverloadTime, while cold
	overloaded    bool                 // crashed for good by too much work while cold
	failureSeenBy map[int]bool         // relays that saw a failure in the present outage
	sites         map[string]*destSite // by zone, where endpoints name theirs
}

// destSite is the part of a destination that fails and recovers separately: its endpoints in one
// zone, or one separate route.
type destSite struct {
	endpoints              []*endpoint
	warmUpStart, warmUpEnd time.Duration
	recentWork             []workArrival
	activeOutages          int
	overloaded             bool
}

// warmShare returns the available share of the site's capacity.
func (site *destSite) warmShare(now time.Duration, k *Kind) float64 {
	if now >= site.warmUpEnd {
		return 1
	}
	return k.ColdStartShare + (1-k.ColdStartShare)*float64(now-site.warmUpStart)/float64(site.warmUpEnd-site.warmUpStart)
}

// recordSiteWork records work that arrived at a cold site and crashes the site if it is overloaded.
func (sim *simulation) recordSiteWork(e *endpoint, weight float64) {
	site := e.site
	if site == nil || site.overloaded || site.activeOutages > 0 || sim.now >= site.warmUpEnd {
		return
	}
	capacity := 0.0
	for _, other := range site.endpoints {
		capacity += float64(other.spec.Workers) * other.spec.Speed / e.dest.meanWork
	}
	capacity *= site.warmShare(sim.now, e.dest.kind)
	if sim.exceedsOverload(&site.recentWork, weight, capacity) {
		site.overloaded = true
		sim.result.Fallen++
		for _, other := range site.endpoints {
			sim.takeDown(other, crashed, 1<<62)
		}
	}
}

// overloadSlack is the number of messages above the overload limit that are attributed to chance.
const overloadSlack = 3

// exceedsOverload records work and reports whether the work of the last OverloadTime crashes a cold
// server with this capacity per second.
func (sim *simulation) exceedsOverload(recent *[]workArrival, weight, capacity float64) bool {
	first, total := 0, weight
	for first < len(*recent) && (*recent)[first].at <= sim.now-sim.scenario.OverloadTime {
		first++
	}
	for _, a := range (*recent)[first:] {
		total += a.weight
	}
	*recent = append((*recent)[first:], workArrival{sim.now, weight})
	return total > sim.scenario.OverloadFactor*capacity*sim.scenario.OverloadTime.Seconds()+overloadSlack
}

// beginOutage counts an outage of the site.
func (site *destSite) beginOutage() { site.activeOutages++ }

// endSiteOutage ends an outage; after the last one the site is cold.
func (sim *simulation) endSiteOutage(d *dest, site *destSite) {
	if site.activeOutages--; site.activeOutages == 0 {
		site.warmUpStart, site.warmUpEnd, site.recentWork = sim.now, sim.now+d.kind.WarmUpTime, nil
	}
}

// workArrival is work that arrived at a cold server, in messages.
type workArrival struct {
	at     time.Duration
	weight float64
}

// endpoint is the state of an endpoint.
type endpoint struct {
	number      int
	dest        *dest
	site        *destSite // that it fails and recovers with; nil: the whole destination
	limiter     *limiter  // its own with separate routes, else that of the destination
	zone        string
	address     string
	spec        Endpoint
	health      health
	healthyAt   time.Duration // end of the outage
	errorShare  float64       // share of calls that fail at once
	speedFactor float64
	answerLoss  float64 // share of answers that are lost
	pausedUntil time.Duration
	busyWorkers int
	queue       []*call
	serving     []*call // in order of their start
	openConns   int
	removed     bool
	incarnation int // connections of an earlier incarnation are dead
	draining    bool
}

// routeNumber returns the route that a Retry-After applies to: the endpoint's number with separate
// routes, else 0 for the destination.
func (e *endpoint) routeNumber() int {
	if e.dest.kind.SeparateRoutes {
		return e.number
	}
	return 0
}

// capacity returns the single-message calls per second that the destination's endpoints can serve
// now, regardless of its limit.
func (d *dest) capacity(now time.Duration) float64 {
	total := 0.0
	for _, e := range d.endpoints {
		if e.health == up && !e.removed {
			capacity := float64(e.spec.Workers) * e.spec.Speed / d.meanWork
			if e.site != nil {
				capacity *= e.site.warmShare(now, d.kind)
			}
			total += capacity
		}
	}
	return total * d.warmShare(now)
}

// warmShare returns the available share of the destination's capacity. Separate routes warm up
// separately, so that it is 1 for them.
func (d *dest) warmShare(now time.Duration) float64 {
	if now >= d.warmUpEnd || d.kind.SeparateRoutes {
		return 1
	}
	return d.kind.ColdStartShare + (1-d.kind.ColdStartShare)*float64(now-d.warmUpStart)/float64(d.warmUpEnd-d.warmUpStart)
}

// drawRetryAfter draws the Retry-After of a rejection, at least minimum; 0: none.
func (d *dest) drawRetryAfter(minimum time.Duration) time.Duration {
	if d.rng.Float64() >= d.kind.RetryAfterShare {
		return 0
	}
	return max(minimum, scaleDuration(d.kind.RetryAfter, 0.7+0.6*d.rng.Float64()))
}

// callArrived handles a call whose last byte has reached its endpoint.
func (sim *simulation) callArrived(c *call) {
	e, d, now := c.endpoint, c.endpoint.dest, sim.now
	if c.abandoned {
		return // timed out on the way
	}
	if e.health == unresponsive {
		return // its relay waits for the timeout
	}
	if e.health == crashed || e.incarnation != c.endpointIncarnation || e.removed {
		sim.sendAnswer(c, policy.ConnectionLost, 0)
		return
	}
	sim.recordWork(d, c.relay, 1+d.kind.ItemCost*float64(len(c.items)-1))
	if sim.recordSiteWork(e, 1+d.kind.ItemCost*float64(len(c.items)-1)); e.health == crashed {
		sim.sendAnswer(c, policy.ConnectionLost, 0)
		return
	}
	c.limitReport = e.limiter.report(now, d.rng)
	switch {
	case e.health == rejecting:
		sim.rejectCall(c, e.healthyAt-now)
	case e.errorShare > 0 && d.rng.Float64() < e.errorShare:
		sim.scheduleAfter(scaleDuration(20*time.Millisecond, 0.5+d.rng.Float64()),
			func() { sim.sendAnswer(c, policy.Errored, 0) })
	case !e.limiter.admit(now):
		sim.rejectCall(c, e.limiter.retryAfter(now))
	case e.busyWorkers >= e.spec.Workers && len(e.queue) >= e.spec.QueueSize:
		sim.rejectCall(c, 0)
	case e.busyWorkers < e.spec.Workers:
		sim.startServing(c)
	default:
		e.queue = append(e.queue, c)
	}
}

// rejectCall answers a call with a rejection whose Retry-After, if any, is at least minimum.
func (sim *simulation) rejectCall(c *call, minimum time.Duration) {
	sim.result.RefusedCalls++
	sim.result.Dests[c.endpoint.dest.number].Refused++
	sim.sendAnswer(c, policy.Rejected, c.endpoint.dest.drawRetryAfter(minimum))
}

// recordWork records work that arrived at a cold destination and crashes it if it is overloaded.
func (sim *simulation) recordWork(d *dest, relay *relay, weight float64) {
	if sim.now >= d.warmUpEnd || d.overloaded || d.activeOutages > 0 {
		return
	}
	capacity := d.capacity(sim.now)
	sim.log(rules.Event{Kind: rules.WorkArrived, Relay: relay.number, Dest: d.number, Weight: weight, Capacity: capacity})
	if sim.exceedsOverload(&d.recentWork, weight, capacity) {
		d.overloaded = true
		sim.result.Fallen++
		for _, e := range d.endpoints {
			sim.takeDown(e, crashed, 1<<62)
		}
	}
}

// startServing starts a call on a free worker; it ends when its work is done, or later if the
// endpoint is paused meanwhile.
func (sim *simulation) startServing(c *call) {
	e, d := c.endpoint, c.endpoint.dest
	e.busyWorkers++
	e.serving = append(e.serving, c)
	work := 0.0
	for i := range c.items {
		item := &c.items[i]
		noise := newRand(sim.scenario.Seed, "noise", uint64(item.message.request.number),
			uint64(item.message.request.attempts))
		item.workSeconds = item.message.request.workSeconds * drawFactor(noise, item.message.request.class.Noise, false)
		if i == 0 {
			work += item.workSeconds
		} else {
			work += item.workSeconds * d.kind.ItemCost
		}
	}
	duration := seconds(work / (e.spec.Speed * e.speedFactor * d.warmShare(sim.now)))
	if e.site != nil {
		duration = scaleDuration(duration, 1/e.site.warmShare(sim.now, d.kind))
	}
	if sim.now < e.pausedUntil {
		duration += e.pausedUntil - sim.now
	}
	incarnation := e.incarnation
	c.workSeconds = work
	sim.scheduleAfter(duration, func() { sim.finishServing(c, incarnation) })
}

// finishServing ends a call, starts queued ones and answers it.
func (sim *simulation) finishServing(c *call, incarnation int) {
	e := c.endpoint
	if e.incarnation != incarnation {
		return // the server process has crashed meanwhile
	}
	if sim.now < e.pausedUntil { // a pause began meanwhile
		sim.schedule(e.pausedUntil+time.Millisecond, func() { sim.finishServing(c, incarnation) })
		return
	}
	e.busyWorkers--
	e.serving = slices.DeleteFunc(e.serving, func(o *call) bool { return o == c })
	sim.serveQueue(e)
	for i := range c.items {
		sim.recordRun(c.items[i].message)
	}
	sim.result.Work += c.workSeconds
	switch {
	case e.dest.rng.Float64() < e.answerLoss:
		sim.sendAnswer(c, policy.ConnectionLost, 0)
	case e.dest.rng.Float64() < e.dest.kind.ErrorRate:
		sim.sendAnswer(c, policy.Errored, 0)
	default:
		sim.sendAnswer(c, policy.Delivered, 0)
	}
}

// serveQueue starts queued calls while workers are free.
func (sim *simulation) serveQueue(e *endpoint) {
	for e.busyWorkers < e.spec.Workers && len(e.queue) > 0 && e.health != crashed && e.health != unresponsive {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if !(c.abandoned && e.dest.kind.CancelsQueued) {
			sim.startServing(c)
		}
	}
}

// takeDown takes an endpoint out of service. All but rejecting endpoints drop their calls.
func (sim *simulation) takeDown(e *endpoint, h health, until time.Duration) {
	if e.removed {
		return
	}
	e.health, e.healthyAt = h, until
	if h == rejecting {
		return // calls that it has are served
	}
	dropped := append(e.queue, e.serving...)
	e.queue, e.serving, e.busyWorkers, e.openConns = nil, nil, 0, 0
	e.incarnation++
	for _, c := range dropped {
		if h == crashed {
			sim.sendAnswer(c, policy.ConnectionLost, 0) // others answer nothing
		}
	}
}

// restore ends an outage of an endpoint, unless its site or destination was overloaded.
func (sim *simulation) restore(e *endpoint) {
	if e.dest.overloaded || e.removed || e.site != nil && e.site.overloaded {
		return
	}
	if e.health == unresponsive || e.health == crashed {
		e.incarnation++ // resets earlier connections
	}
	e.health = up
	sim.serveQueue(e)
}

// beginOutage counts an outage of a whole destination.
func (sim *simulation) beginOutage(d *dest) {
	if d.activeOutages++; d.activeOutages == 1 {
		clear(d.failureSeenBy)
	}
}

// endOutage ends an outage; after the last one the destination is cold.
func (sim *simulation) endOutage(d *dest) {
	if d.activeOutages--; d.activeOutages > 0 || d.overloaded {
		return
	}
	d.warmUpStart, d.warmUpEnd, d.recentWork = sim.now, sim.now+d.kind.WarmUpTime, nil
	sim.log(rules.Event{Kind: rules.DestWarm, Dest: d.number}) // ends the state of an earlier recovery
	sim.log(rules.Event{Kind: rules.DestRecovered, Dest: d.number})
	for _, r := range sim.relays {
		if d.failureSeenBy[r.number] {
			sim.log(rules.Event{Kind: rules.FailureSeen, Relay: r.number, Dest: d.number})
		}
	}
	end := d.warmUpEnd
	sim.schedule(end, func() {
		if d.warmUpEnd == end && d.activeOutages == 0 {
			sim.log(rules.Event{Kind: rules.DestWarm, Dest: d.number})
		}
	})
}
