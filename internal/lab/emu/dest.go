package emu

import (
	"math/rand/v2"
	"slices"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/policy"
)

// health is what an endpoint's machine does.
type health int

const (
	up health = iota
	crashed
	unresponsive
	rejecting
)

// dest is a destination at work.
type dest struct {
	number        int
	spec          *Dest
	kind          *Kind
	endpoints     []*endpoint
	rng           *rand.Rand
	meanWork      float64       // seconds of a usual message at speed 1
	limiter       *limiter      // of all its endpoints together; nil where each has its own
	warmUpStart   time.Duration // when it came back; cold until coldEnd
	warmUpEnd     time.Duration
	activeOutages int // troubles that it is in now
	recentWork    []workArrival
	overloaded    bool
	failureSeenBy map[int]bool // relays that saw a failure in the present outage
	sites         map[string]*destSite
}

// destSite is what a destination has in one zone, where its endpoints lie in several: it is lost and comes back cold by itself.
type destSite struct {
	endpoints              []*endpoint
	warmUpStart, warmUpEnd time.Duration
	recentWork             []workArrival
	activeOutages          int
	overloaded             bool
}

// warmShare is the share of its capacity that what is in a zone has.
func (site *destSite) warmShare(now time.Duration, k *Kind) float64 {
	if now >= site.warmUpEnd {
		return 1
	}
	return k.ColdStartShare + (1-k.ColdStartShare)*float64(now-site.warmUpStart)/float64(site.warmUpEnd-site.warmUpStart)
}

// recordSiteWork books work that has come to what is cold in a zone, which falls over if it is too much.
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

// exceedsOverload books work in what came over the last while, and tells whether that is more than what can do so much a second survives cold.
func (sim *simulation) exceedsOverload(recent *[]workArrival, weight, capacity float64) bool {
	first, total := 0, weight
	for first < len(*recent) && (*recent)[first].at <= sim.now-sim.scenario.OverloadTime {
		first++
	}
	for _, a := range (*recent)[first:] {
		total += a.weight
	}
	*recent = append((*recent)[first:], workArrival{sim.now, weight})
	return total > sim.scenario.OverloadFactor*capacity*sim.scenario.OverloadTime.Seconds()+3
}

// beginOutage and regains count the troubles of what is in a zone.
func (site *destSite) beginOutage() { site.activeOutages++ }

func (sim *simulation) endSiteOutage(d *dest, site *destSite) {
	if site.activeOutages--; site.activeOutages == 0 {
		site.warmUpStart, site.warmUpEnd, site.recentWork = sim.now, sim.now+d.kind.WarmUpTime, nil
	}
}

type workArrival struct {
	at     time.Duration
	weight float64
}

// endpoint is one of a destination's endpoints at work.
type endpoint struct {
	number      int
	dest        *dest
	site        *destSite // what is lost and comes back cold with it; nil: its whole destination does
	limiter     *limiter  // its own where routes are separate, else its destination's
	zone        string
	address     string
	spec        Endpoint
	health      health
	healthyAt   time.Duration // when it opens again, if it is shut
	errorShare  float64       // share of calls that fail at once
	speedFactor float64
	answerLoss  float64 // share of answers that are lost
	pausedUntil time.Duration
	busyWorkers int
	queue       []*call
	serving     []*call // in order of their start
	openConns   int
	removed     bool
	incarnation int // restarts: connections of an earlier life are dead
	draining    bool
}

// routeNumber is the endpoint's number where it is a route by itself, which told waits are about; 0: they are about the destination.
func (e *endpoint) routeNumber() int {
	if e.dest.kind.SeparateRoutes {
		return e.number
	}
	return 0
}

// capacity is what its endpoints can do now, in calls of one message a second; the limit lies below it.
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

// warmShare is the share of its capacity that a destination has. Separate routes are cold each by itself.
func (d *dest) warmShare(now time.Duration) float64 {
	if now >= d.warmUpEnd || d.kind.SeparateRoutes {
		return 1
	}
	return d.kind.ColdStartShare + (1-d.kind.ColdStartShare)*float64(now-d.warmUpStart)/float64(d.warmUpEnd-d.warmUpStart)
}

// drawRetryAfter is what a refusal tells, at least so long; 0: nothing.
func (d *dest) drawRetryAfter(minimum time.Duration) time.Duration {
	if d.rng.Float64() >= d.kind.RetryAfterShare {
		return 0
	}
	return max(minimum, scaleDuration(d.kind.RetryAfter, 0.7+0.6*d.rng.Float64()))
}

// callArrived is a call whose last byte has come to its endpoint.
func (sim *simulation) callArrived(c *call) {
	e, d, now := c.endpoint, c.endpoint.dest, sim.now
	if c.abandoned {
		return // given up on the way
	}
	if e.health == unresponsive {
		return // nobody hears of it until its time is up
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
		sim.scheduleAfter(scaleDuration(20*time.Millisecond, 0.5+d.rng.Float64()), func() { sim.sendAnswer(c, policy.Errored, 0) })
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

func (sim *simulation) rejectCall(c *call, minimum time.Duration) {
	sim.result.RefusedCalls++
	sim.result.Dests[c.endpoint.dest.number].Refused++
	sim.sendAnswer(c, policy.Rejected, c.endpoint.dest.drawRetryAfter(minimum))
}

// recordWork books work that has come to a cold destination, which falls over if it is too much.
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

// startServing begins a call; it ends when its work is done, later if the endpoint stands still meanwhile.
func (sim *simulation) startServing(c *call) {
	e, d := c.endpoint, c.endpoint.dest
	e.busyWorkers++
	e.serving = append(e.serving, c)
	work := 0.0
	for i := range c.items {
		item := &c.items[i]
		noise := newRand(sim.scenario.Seed, "noise", uint64(item.message.request.number), uint64(item.message.request.attempts))
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

func (sim *simulation) finishServing(c *call, incarnation int) {
	e := c.endpoint
	if e.incarnation != incarnation {
		return // the process that did it is gone
	}
	if sim.now < e.pausedUntil { // a pause has come in between
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

// serveQueue takes calls from the queue while workers are free.
func (sim *simulation) serveQueue(e *endpoint) {
	for e.busyWorkers < e.spec.Workers && len(e.queue) > 0 && e.health != crashed && e.health != unresponsive {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if !(c.abandoned && e.dest.kind.CancelsQueued) {
			sim.startServing(c)
		}
	}
}

// takeDown takes an endpoint out of service.
func (sim *simulation) takeDown(e *endpoint, h health, until time.Duration) {
	if e.removed {
		return
	}
	e.health, e.healthyAt = h, until
	if h == rejecting {
		return // what it has it ends
	}
	dropped := append(e.queue, e.serving...)
	e.queue, e.serving, e.busyWorkers, e.openConns = nil, nil, 0, 0
	e.incarnation++
	for _, c := range dropped {
		if h == crashed {
			sim.sendAnswer(c, policy.ConnectionLost, 0) // a machine that vanished says nothing
		}
	}
}

// restore ends an outage of an endpoint.
func (sim *simulation) restore(e *endpoint) {
	if e.dest.overloaded || e.removed || e.site != nil && e.site.overloaded {
		return
	}
	if e.health == unresponsive || e.health == crashed {
		e.incarnation++ // connections of before are reset
	}
	e.health = up
	sim.serveQueue(e)
}

// beginOutage and heal count the troubles of a destination that make it come back cold.
func (sim *simulation) beginOutage(d *dest) {
	if d.activeOutages++; d.activeOutages == 1 {
		clear(d.failureSeenBy)
	}
}

func (sim *simulation) endOutage(d *dest) {
	if d.activeOutages--; d.activeOutages > 0 || d.overloaded {
		return
	}
	d.warmUpStart, d.warmUpEnd, d.recentWork = sim.now, sim.now+d.kind.WarmUpTime, nil
	sim.log(rules.Event{Kind: rules.DestWarm, Dest: d.number}) // what an earlier return left
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
