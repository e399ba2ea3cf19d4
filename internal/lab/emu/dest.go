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
	vanished
	shut
)

// dest is a destination at work.
type dest struct {
	no      int
	spec    *Dest
	kind    *Kind
	eps     []*endpoint
	rng     *rand.Rand
	work    float64       // seconds of a usual message at speed 1
	limit   *limiter      // of all its endpoints together; nil where each has its own
	coldAt  time.Duration // when it came back; cold until coldEnd
	coldEnd time.Duration
	sick    int // troubles that it is in now
	budget  []arrival
	fallen  bool
	failed  map[int]bool // relays that saw a failure in the present outage
	parts   map[string]*siteOf
}

// siteOf is what a destination has in one zone, where its endpoints lie in several: it is lost and comes back cold by itself.
type siteOf struct {
	eps             []*endpoint
	coldAt, coldEnd time.Duration
	budget          []arrival
	sick            int
	fallen          bool
}

// warmth is the share of its capacity that what is in a zone has.
func (p *siteOf) warmth(now time.Duration, k *Kind) float64 {
	if now >= p.coldEnd {
		return 1
	}
	return k.ColdStartShare + (1-k.ColdStartShare)*float64(now-p.coldAt)/float64(p.coldEnd-p.coldAt)
}

// reachedSite books work that has come to what is cold in a zone, which falls over if it is too much.
func (w *world) reachedSite(e *endpoint, weight float64) {
	p := e.part
	if p == nil || p.fallen || p.sick > 0 || w.now >= p.coldEnd {
		return
	}
	can := 0.0
	for _, o := range p.eps {
		can += float64(o.spec.Workers) * o.spec.Speed / e.dest.work
	}
	can *= p.warmth(w.now, e.dest.kind)
	if w.tooMuch(&p.budget, weight, can) {
		p.fallen = true
		w.res.Fallen++
		for _, o := range p.eps {
			w.down(o, crashed, 1<<62)
		}
	}
}

// tooMuch books work in what came over the last while, and tells whether that is more than what can do so much a second survives cold.
func (w *world) tooMuch(budget *[]arrival, weight, can float64) bool {
	keep, all := 0, weight
	for keep < len(*budget) && (*budget)[keep].at <= w.now-w.day.OverloadTime {
		keep++
	}
	for _, a := range (*budget)[keep:] {
		all += a.weight
	}
	*budget = append((*budget)[keep:], arrival{w.now, weight})
	return all > w.day.OverloadFactor*can*w.day.OverloadTime.Seconds()+3
}

// loses and regains count the troubles of what is in a zone.
func (p *siteOf) loses() { p.sick++ }

func (w *world) regains(d *dest, p *siteOf) {
	if p.sick--; p.sick == 0 {
		p.coldAt, p.coldEnd, p.budget = w.now, w.now+d.kind.WarmUpTime, nil
	}
}

type arrival struct {
	at     time.Duration
	weight float64
}

// endpoint is one of a destination's endpoints at work.
type endpoint struct {
	no       int
	dest     *dest
	part     *siteOf  // what is lost and comes back cold with it; nil: its whole destination does
	limit    *limiter // its own where routes are separate, else its destination's
	zone     string
	address  string
	spec     Endpoint
	health   health
	until    time.Duration // when it opens again, if it is shut
	errs     float64       // share of calls that fail at once
	slow     float64
	lost     float64 // share of answers that are lost
	paused   time.Duration
	busy     int
	queue    []*call
	serving  []*call // in order of their start
	conns    int
	gone     bool
	lives    int // restarts: connections of an earlier life are dead
	draining bool
}

// route is the endpoint's number where it is a route by itself, which told waits are about; 0: they are about the destination.
func (e *endpoint) route() int {
	if e.dest.kind.SeparateRoutes {
		return e.no
	}
	return 0
}

// capacity is what its endpoints can do now, in calls of one message a second; the limit lies below it.
func (d *dest) capacity(now time.Duration) float64 {
	all := 0.0
	for _, e := range d.eps {
		if e.health == up && !e.gone {
			can := float64(e.spec.Workers) * e.spec.Speed / d.work
			if e.part != nil {
				can *= e.part.warmth(now, d.kind)
			}
			all += can
		}
	}
	return all * d.warm(now)
}

// warm is the share of its capacity that a destination has. Separate routes are cold each by itself.
func (d *dest) warm(now time.Duration) float64 {
	if now >= d.coldEnd || d.kind.SeparateRoutes {
		return 1
	}
	return d.kind.ColdStartShare + (1-d.kind.ColdStartShare)*float64(now-d.coldAt)/float64(d.coldEnd-d.coldAt)
}

// wait is what a refusal tells, at least so long; 0: nothing.
func (d *dest) wait(least time.Duration) time.Duration {
	if d.rng.Float64() >= d.kind.RetryAfterShare {
		return 0
	}
	return max(least, part(d.kind.RetryAfter, 0.7+0.6*d.rng.Float64()))
}

// arrive is a call whose last byte has come to its endpoint.
func (w *world) arrive(c *call) {
	e, d, now := c.ep, c.ep.dest, w.now
	if c.closed {
		return // given up on the way
	}
	if e.health == vanished {
		return // nobody hears of it until its time is up
	}
	if e.health == crashed || e.lives != c.life || e.gone {
		w.answer(c, policy.ConnectionLost, 0)
		return
	}
	w.reached(d, c.relay, 1+d.kind.ItemCost*float64(len(c.items)-1))
	if w.reachedSite(e, 1+d.kind.ItemCost*float64(len(c.items)-1)); e.health == crashed {
		w.answer(c, policy.ConnectionLost, 0)
		return
	}
	c.report = e.limit.report(now, d.rng)
	switch {
	case e.health == shut:
		w.refuse(c, e.until-now)
	case e.errs > 0 && d.rng.Float64() < e.errs:
		w.after(part(20*time.Millisecond, 0.5+d.rng.Float64()), func() { w.answer(c, policy.Errored, 0) })
	case !e.limit.admits(now):
		w.refuse(c, e.limit.opens(now))
	case e.busy >= e.spec.Workers && len(e.queue) >= e.spec.QueueSize:
		w.refuse(c, 0)
	case e.busy < e.spec.Workers:
		w.serve(c)
	default:
		e.queue = append(e.queue, c)
	}
}

func (w *world) refuse(c *call, least time.Duration) {
	w.res.RefusedCalls++
	w.res.Dests[c.ep.dest.no].Refused++
	w.answer(c, policy.Rejected, c.ep.dest.wait(least))
}

// reached books work that has come to a cold destination, which falls over if it is too much.
func (w *world) reached(d *dest, relay *relay, weight float64) {
	if w.now >= d.coldEnd || d.fallen || d.sick > 0 {
		return
	}
	can := d.capacity(w.now)
	w.log(rules.Event{Kind: rules.WorkArrived, Relay: relay.no, Dest: d.no, Weight: weight, Capacity: can})
	if w.tooMuch(&d.budget, weight, can) {
		d.fallen = true
		w.res.Fallen++
		for _, e := range d.eps {
			w.down(e, crashed, 1<<62)
		}
	}
}

// serve begins a call; it ends when its work is done, later if the endpoint stands still meanwhile.
func (w *world) serve(c *call) {
	e, d := c.ep, c.ep.dest
	e.busy++
	e.serving = append(e.serving, c)
	work := 0.0
	for i := range c.items {
		it := &c.items[i]
		noise := chance(w.day.Seed, "noise", uint64(it.m.req.no), uint64(it.m.req.sends))
		it.work = it.m.req.work * spread(noise, it.m.req.class.Noise, false)
		if i == 0 {
			work += it.work
		} else {
			work += it.work * d.kind.ItemCost
		}
	}
	took := seconds(work / (e.spec.Speed * e.slow * d.warm(w.now)))
	if e.part != nil {
		took = part(took, 1/e.part.warmth(w.now, d.kind))
	}
	if w.now < e.paused {
		took += e.paused - w.now
	}
	life := e.lives
	c.work = work
	w.after(took, func() { w.served(c, life) })
}

func (w *world) served(c *call, life int) {
	e := c.ep
	if e.lives != life {
		return // the process that did it is gone
	}
	if w.now < e.paused { // a pause has come in between
		w.at(e.paused+time.Millisecond, func() { w.served(c, life) })
		return
	}
	e.busy--
	e.serving = slices.DeleteFunc(e.serving, func(o *call) bool { return o == c })
	w.begin(e)
	for i := range c.items {
		w.ran(c.items[i].m)
	}
	w.res.Work += c.work
	switch {
	case e.dest.rng.Float64() < e.lost:
		w.answer(c, policy.ConnectionLost, 0)
	case e.dest.rng.Float64() < e.dest.kind.ErrorRate:
		w.answer(c, policy.Errored, 0)
	default:
		w.answer(c, policy.Delivered, 0)
	}
}

// begin takes calls from the queue while workers are free.
func (w *world) begin(e *endpoint) {
	for e.busy < e.spec.Workers && len(e.queue) > 0 && e.health != crashed && e.health != vanished {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if !(c.closed && e.dest.kind.CancelsQueued) {
			w.serve(c)
		}
	}
}

// down takes an endpoint out of service.
func (w *world) down(e *endpoint, h health, until time.Duration) {
	if e.gone {
		return
	}
	e.health, e.until = h, until
	if h == shut {
		return // what it has it ends
	}
	all := append(e.queue, e.serving...)
	e.queue, e.serving, e.busy, e.conns = nil, nil, 0, 0
	e.lives++
	for _, c := range all {
		if h == crashed {
			w.answer(c, policy.ConnectionLost, 0) // a machine that vanished says nothing
		}
	}
}

// restore ends an outage of an endpoint.
func (w *world) restore(e *endpoint) {
	if e.dest.fallen || e.gone || e.part != nil && e.part.fallen {
		return
	}
	if e.health == vanished || e.health == crashed {
		e.lives++ // connections of before are reset
	}
	e.health = up
	w.begin(e)
}

// sicken and heal count the troubles of a destination that make it come back cold.
func (w *world) sicken(d *dest) {
	if d.sick++; d.sick == 1 {
		clear(d.failed)
	}
}

func (w *world) heal(d *dest) {
	if d.sick--; d.sick > 0 || d.fallen {
		return
	}
	d.coldAt, d.coldEnd, d.budget = w.now, w.now+d.kind.WarmUpTime, nil
	w.log(rules.Event{Kind: rules.DestWarm, Dest: d.no}) // what an earlier return left
	w.log(rules.Event{Kind: rules.DestRecovered, Dest: d.no})
	for _, r := range w.relays {
		if d.failed[r.no] {
			w.log(rules.Event{Kind: rules.FailureSeen, Relay: r.no, Dest: d.no})
		}
	}
	end := d.coldEnd
	w.at(end, func() {
		if d.coldEnd == end && d.sick == 0 {
			w.log(rules.Event{Kind: rules.DestWarm, Dest: d.no})
		}
	})
}
