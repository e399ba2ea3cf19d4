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
func (p *destSite) warmShare(now time.Duration, k *Kind) float64 {
	if now >= p.warmUpEnd {
		return 1
	}
	return k.ColdStartShare + (1-k.ColdStartShare)*float64(now-p.warmUpStart)/float64(p.warmUpEnd-p.warmUpStart)
}

// recordSiteWork books work that has come to what is cold in a zone, which falls over if it is too much.
func (w *simulation) recordSiteWork(e *endpoint, weight float64) {
	p := e.site
	if p == nil || p.overloaded || p.activeOutages > 0 || w.now >= p.warmUpEnd {
		return
	}
	can := 0.0
	for _, o := range p.endpoints {
		can += float64(o.spec.Workers) * o.spec.Speed / e.dest.meanWork
	}
	can *= p.warmShare(w.now, e.dest.kind)
	if w.exceedsOverload(&p.recentWork, weight, can) {
		p.overloaded = true
		w.result.Fallen++
		for _, o := range p.endpoints {
			w.takeDown(o, crashed, 1<<62)
		}
	}
}

// exceedsOverload books work in what came over the last while, and tells whether that is more than what can do so much a second survives cold.
func (w *simulation) exceedsOverload(budget *[]workArrival, weight, can float64) bool {
	keep, all := 0, weight
	for keep < len(*budget) && (*budget)[keep].at <= w.now-w.scenario.OverloadTime {
		keep++
	}
	for _, a := range (*budget)[keep:] {
		all += a.weight
	}
	*budget = append((*budget)[keep:], workArrival{w.now, weight})
	return all > w.scenario.OverloadFactor*can*w.scenario.OverloadTime.Seconds()+3
}

// beginOutage and regains count the troubles of what is in a zone.
func (p *destSite) beginOutage() { p.activeOutages++ }

func (w *simulation) endSiteOutage(d *dest, p *destSite) {
	if p.activeOutages--; p.activeOutages == 0 {
		p.warmUpStart, p.warmUpEnd, p.recentWork = w.now, w.now+d.kind.WarmUpTime, nil
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
	all := 0.0
	for _, e := range d.endpoints {
		if e.health == up && !e.removed {
			can := float64(e.spec.Workers) * e.spec.Speed / d.meanWork
			if e.site != nil {
				can *= e.site.warmShare(now, d.kind)
			}
			all += can
		}
	}
	return all * d.warmShare(now)
}

// warmShare is the share of its capacity that a destination has. Separate routes are cold each by itself.
func (d *dest) warmShare(now time.Duration) float64 {
	if now >= d.warmUpEnd || d.kind.SeparateRoutes {
		return 1
	}
	return d.kind.ColdStartShare + (1-d.kind.ColdStartShare)*float64(now-d.warmUpStart)/float64(d.warmUpEnd-d.warmUpStart)
}

// drawRetryAfter is what a refusal tells, at least so long; 0: nothing.
func (d *dest) drawRetryAfter(least time.Duration) time.Duration {
	if d.rng.Float64() >= d.kind.RetryAfterShare {
		return 0
	}
	return max(least, scaleDuration(d.kind.RetryAfter, 0.7+0.6*d.rng.Float64()))
}

// callArrived is a call whose last byte has come to its endpoint.
func (w *simulation) callArrived(c *call) {
	e, d, now := c.endpoint, c.endpoint.dest, w.now
	if c.abandoned {
		return // given up on the way
	}
	if e.health == unresponsive {
		return // nobody hears of it until its time is up
	}
	if e.health == crashed || e.incarnation != c.endpointIncarnation || e.removed {
		w.sendAnswer(c, policy.ConnectionLost, 0)
		return
	}
	w.recordWork(d, c.relay, 1+d.kind.ItemCost*float64(len(c.items)-1))
	if w.recordSiteWork(e, 1+d.kind.ItemCost*float64(len(c.items)-1)); e.health == crashed {
		w.sendAnswer(c, policy.ConnectionLost, 0)
		return
	}
	c.limitReport = e.limiter.report(now, d.rng)
	switch {
	case e.health == rejecting:
		w.rejectCall(c, e.healthyAt-now)
	case e.errorShare > 0 && d.rng.Float64() < e.errorShare:
		w.scheduleAfter(scaleDuration(20*time.Millisecond, 0.5+d.rng.Float64()), func() { w.sendAnswer(c, policy.Errored, 0) })
	case !e.limiter.admit(now):
		w.rejectCall(c, e.limiter.retryAfter(now))
	case e.busyWorkers >= e.spec.Workers && len(e.queue) >= e.spec.QueueSize:
		w.rejectCall(c, 0)
	case e.busyWorkers < e.spec.Workers:
		w.startServing(c)
	default:
		e.queue = append(e.queue, c)
	}
}

func (w *simulation) rejectCall(c *call, least time.Duration) {
	w.result.RefusedCalls++
	w.result.Dests[c.endpoint.dest.number].Refused++
	w.sendAnswer(c, policy.Rejected, c.endpoint.dest.drawRetryAfter(least))
}

// recordWork books work that has come to a cold destination, which falls over if it is too much.
func (w *simulation) recordWork(d *dest, relay *relay, weight float64) {
	if w.now >= d.warmUpEnd || d.overloaded || d.activeOutages > 0 {
		return
	}
	can := d.capacity(w.now)
	w.log(rules.Event{Kind: rules.WorkArrived, Relay: relay.number, Dest: d.number, Weight: weight, Capacity: can})
	if w.exceedsOverload(&d.recentWork, weight, can) {
		d.overloaded = true
		w.result.Fallen++
		for _, e := range d.endpoints {
			w.takeDown(e, crashed, 1<<62)
		}
	}
}

// startServing begins a call; it ends when its work is done, later if the endpoint stands still meanwhile.
func (w *simulation) startServing(c *call) {
	e, d := c.endpoint, c.endpoint.dest
	e.busyWorkers++
	e.serving = append(e.serving, c)
	work := 0.0
	for i := range c.items {
		it := &c.items[i]
		noise := newRand(w.scenario.Seed, "noise", uint64(it.message.request.number), uint64(it.message.request.attempts))
		it.workSeconds = it.message.request.workSeconds * drawFactor(noise, it.message.request.class.Noise, false)
		if i == 0 {
			work += it.workSeconds
		} else {
			work += it.workSeconds * d.kind.ItemCost
		}
	}
	took := seconds(work / (e.spec.Speed * e.speedFactor * d.warmShare(w.now)))
	if e.site != nil {
		took = scaleDuration(took, 1/e.site.warmShare(w.now, d.kind))
	}
	if w.now < e.pausedUntil {
		took += e.pausedUntil - w.now
	}
	life := e.incarnation
	c.workSeconds = work
	w.scheduleAfter(took, func() { w.finishServing(c, life) })
}

func (w *simulation) finishServing(c *call, life int) {
	e := c.endpoint
	if e.incarnation != life {
		return // the process that did it is gone
	}
	if w.now < e.pausedUntil { // a pause has come in between
		w.schedule(e.pausedUntil+time.Millisecond, func() { w.finishServing(c, life) })
		return
	}
	e.busyWorkers--
	e.serving = slices.DeleteFunc(e.serving, func(o *call) bool { return o == c })
	w.serveQueue(e)
	for i := range c.items {
		w.recordRun(c.items[i].message)
	}
	w.result.Work += c.workSeconds
	switch {
	case e.dest.rng.Float64() < e.answerLoss:
		w.sendAnswer(c, policy.ConnectionLost, 0)
	case e.dest.rng.Float64() < e.dest.kind.ErrorRate:
		w.sendAnswer(c, policy.Errored, 0)
	default:
		w.sendAnswer(c, policy.Delivered, 0)
	}
}

// serveQueue takes calls from the queue while workers are free.
func (w *simulation) serveQueue(e *endpoint) {
	for e.busyWorkers < e.spec.Workers && len(e.queue) > 0 && e.health != crashed && e.health != unresponsive {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if !(c.abandoned && e.dest.kind.CancelsQueued) {
			w.startServing(c)
		}
	}
}

// takeDown takes an endpoint out of service.
func (w *simulation) takeDown(e *endpoint, h health, until time.Duration) {
	if e.removed {
		return
	}
	e.health, e.healthyAt = h, until
	if h == rejecting {
		return // what it has it ends
	}
	all := append(e.queue, e.serving...)
	e.queue, e.serving, e.busyWorkers, e.openConns = nil, nil, 0, 0
	e.incarnation++
	for _, c := range all {
		if h == crashed {
			w.sendAnswer(c, policy.ConnectionLost, 0) // a machine that vanished says nothing
		}
	}
}

// restore ends an outage of an endpoint.
func (w *simulation) restore(e *endpoint) {
	if e.dest.overloaded || e.removed || e.site != nil && e.site.overloaded {
		return
	}
	if e.health == unresponsive || e.health == crashed {
		e.incarnation++ // connections of before are reset
	}
	e.health = up
	w.serveQueue(e)
}

// beginOutage and heal count the troubles of a destination that make it come back cold.
func (w *simulation) beginOutage(d *dest) {
	if d.activeOutages++; d.activeOutages == 1 {
		clear(d.failureSeenBy)
	}
}

func (w *simulation) endOutage(d *dest) {
	if d.activeOutages--; d.activeOutages > 0 || d.overloaded {
		return
	}
	d.warmUpStart, d.warmUpEnd, d.recentWork = w.now, w.now+d.kind.WarmUpTime, nil
	w.log(rules.Event{Kind: rules.DestWarm, Dest: d.number}) // what an earlier return left
	w.log(rules.Event{Kind: rules.DestRecovered, Dest: d.number})
	for _, r := range w.relays {
		if d.failureSeenBy[r.number] {
			w.log(rules.Event{Kind: rules.FailureSeen, Relay: r.number, Dest: d.number})
		}
	}
	end := d.warmUpEnd
	w.schedule(end, func() {
		if d.warmUpEnd == end && d.activeOutages == 0 {
			w.log(rules.Event{Kind: rules.DestWarm, Dest: d.number})
		}
	})
}
