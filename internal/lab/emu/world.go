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

// world is a day being played.
type world struct {
	engine
	day       *Scenario
	set       Options
	make      PolicyFactory
	res       *Result
	check     *rules.Checker
	relays    []*relay
	dests     []*dest
	byAddress map[string]*endpoint
	targets   peers.ReportKeys // the same at all relays
	endpoints int
	lastID    uint32
	callNo    uint64
	open      int // requests that have not ended
	arrivals  *rand.Rand
	clients   *rand.Rand
	net       *rand.Rand
	notes     *rand.Rand
	cum       []float64
	cumOf     []int
	burst     float64
	newsOut   int
	between   ways     // of notes
	late      []func() // news that wait for the end of an outage of discovery
}

// request is a message as its client sees it.
type request struct {
	no       int
	class    *Class
	classNo  int
	dest     *dest
	zone     int // of the relays that it comes to; -1: any
	at       time.Duration
	deadline time.Duration
	work     float64 // seconds at speed 1
	tries    int     // refusals so far
	sends    int
	ran      int
	over     bool
}

// Run plays a day to its end.
func Run(day *Scenario, set Options) (*Result, error) {
	if err := day.Check(); err != nil {
		return nil, err
	}
	w := &world{day: day, set: set, make: set.NewPolicy, byAddress: map[string]*endpoint{}, burst: 1,
		arrivals: chance(day.Seed, "arrivals"), clients: chance(day.Seed, "clients"), net: chance(day.Seed, "net"), notes: chance(day.Seed, "notes")}
	if w.make == nil {
		w.make = DefaultPolicy
	}
	if w.set.MaxEvents == 0 {
		w.set.MaxEvents = 2e9
	}
	w.res = newResult(day)
	w.check = rules.New(rules.Config{AnswerSlack: day.AnswerSlack, DrainGrace: day.DrainGrace, OverloadFactor: day.OverloadFactor, OverloadTime: day.OverloadTime,
		MaxConcurrentCalls: day.MaxConcurrentCalls, MaxAttempts: day.MaxAttempts})
	w.build()
	for i := range day.Faults {
		w.trouble(&day.Faults[i])
	}
	w.nextArrival()
	end := day.Length + day.Tail
	for w.now <= end && (w.open > 0 || w.now < day.Length) {
		if w.done >= w.set.MaxEvents {
			w.fault(fmt.Sprintf("%v: cut after %d events", w.now, w.done))
			break
		}
		if !w.engine.next() {
			break
		}
	}
	if w.now > end {
		w.fault(fmt.Sprintf("%d messages had no end %v after the last came in", w.open, day.Tail))
	}
	for by := w.now + day.SettleTime; w.now < by && !w.agreed(); {
		if !w.engine.next() {
			break
		}
	}
	w.res.Agreed = w.agreed()
	for _, r := range w.relays {
		if r.mod == nil {
			w.res.Down = append(w.res.Down, r.no)
		}
	}
	w.log(rules.Event{Kind: rules.LogEnded})
	w.res.finish(w)
	return w.res, nil
}

// fleet is how many relays are told of one another.
func (w *world) fleet() int {
	if !w.day.Gossip && !w.day.Membership {
		return 0
	}
	return w.day.Relays
}

func (w *world) log(e rules.Event) {
	e.At = w.now
	w.check.Check(e)
	if w.set.Log != nil {
		w.set.Log(e)
	}
}

func (w *world) fault(text string) {
	if len(w.res.Faults) < 100 {
		w.res.Faults = append(w.res.Faults, text)
	}
}

// way is one way through the network.
func (w *world) way(mean time.Duration) time.Duration {
	return part(mean, 1+w.day.Jitter*(2*w.net.Float64()-1))
}

func (w *world) build() {
	mean, share := 0.0, 0.0
	for _, c := range w.day.Classes {
		mean += c.Work.Seconds() * c.Share
		share += c.Share
	}
	mean /= share
	total := 0.0
	for i := range w.day.Dests {
		spec := &w.day.Dests[i]
		d := &dest{no: i, spec: spec, kind: &w.day.Kinds[spec.Kind], rng: chance(w.day.Seed, "dest", uint64(i)), work: mean, failed: map[int]bool{}}
		if first := -part(d.kind.Window, d.rng.Float64()); !d.kind.SeparateRoutes {
			d.limit = newLimiter(d.kind, spec.Limit, first)
		}
		for _, e := range spec.Endpoints {
			w.endpoint(d, e)
		}
		w.dests = append(w.dests, d)
		total += spec.Share
		if spec.Share > 0 {
			w.cum, w.cumOf = append(w.cum, total), append(w.cumOf, i)
		}
	}
	for n := range w.day.Relays {
		r := &relay{w: w, no: n}
		w.relays = append(w.relays, r)
		r.boot()
	}
}

func (w *world) endpoint(d *dest, spec Endpoint) *endpoint {
	w.endpoints++
	e := &endpoint{no: w.endpoints, dest: d, zone: cmp.Or(spec.Zone, d.spec.Zone), address: fmt.Sprintf("10.%d.%d.%d:80", w.endpoints>>16, w.endpoints>>8&255, w.endpoints&255), spec: spec, slow: 1}
	if spec.Zone != "" && !d.kind.SeparateRoutes {
		if d.parts == nil {
			d.parts = map[string]*siteOf{}
		}
		if d.parts[spec.Zone] == nil {
			d.parts[spec.Zone] = &siteOf{}
		}
		e.part = d.parts[spec.Zone]
		e.part.eps = append(e.part.eps, e)
	}
	if e.limit = d.limit; d.kind.SeparateRoutes {
		e.limit = newLimiter(d.kind, d.spec.Limit/float64(len(d.spec.Endpoints)), -part(d.kind.Window, d.rng.Float64()))
		e.part = &siteOf{eps: []*endpoint{e}}
	}
	if d.kind.SeparateRoutes {
		w.targets.Add(e.address, d.no)
	}
	d.eps = append(d.eps, e)
	w.byAddress[e.address] = e
	return e
}

// --- clients ---

// rate is how many messages a second come in now, for all but single destinations' bursts.
func (w *world) rate(at time.Duration) float64 {
	v, shape := 1.0, w.day.Shape
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
	return w.day.Rate * v * w.burst
}

// nextArrival draws when the next message comes in, one after the other.
func (w *world) nextArrival() {
	rate := w.rate(w.now)
	if rate <= 0 {
		if at := w.now + 100*time.Millisecond; at < w.day.Length {
			w.at(at, w.nextArrival)
		}
		return
	}
	at := w.now + seconds(w.arrivals.ExpFloat64()/rate)
	if at >= w.day.Length {
		return
	}
	w.at(at, func() {
		d := w.pick()
		clump := 1
		// A clump is as many messages as the destination takes in ClumpFor; it comes as often as its share of all messages asks for, and
		// there are fewer comings, so that the messages stay as many as Rate says.
		if share := w.day.ClumpShare; share > 0 {
			size := max(2, math.Floor(d.capacity0()*w.day.ClumpDuration.Seconds()))
			chance := share / ((1-share)*size + share)
			switch x := w.arrivals.Float64() * (1 + chance*(size-1)); {
			case x >= 1:
				clump = 0
			case x < chance:
				clump = int(size)
			}
		}
		for range clump {
			w.request(d)
		}
		w.nextArrival()
	})
}

// capacity0 is what a destination takes a second in good health.
func (d *dest) capacity0() float64 {
	all := 0.0
	for _, e := range d.spec.Endpoints {
		all += float64(e.Workers) * e.Speed / d.work
	}
	if d.kind.Limit != NoLimit {
		all = min(all, d.spec.Limit)
	}
	return all
}

func (w *world) pick() *dest {
	x := w.arrivals.Float64() * w.cum[len(w.cum)-1]
	i, _ := slices.BinarySearch(w.cum, x)
	return w.dests[w.cumOf[min(i, len(w.cumOf)-1)]]
}

// front deals messages to the relays that it takes for live: a dead one for as long as it has not noticed, and any while all are down.
func (w *world) front(q *request) *relay {
	n := w.clients.IntN(len(w.relays))
	for i := 0; q.zone >= 0 && i < len(w.relays); i++ { // its own zone's, while any of them lives
		r := w.relays[(n+i)%len(w.relays)]
		if w.day.ZoneOf(r.no) == q.zone && (r.mod != nil || w.now-r.diedAt < w.day.BalancerDetectionDelay) {
			return r
		}
	}
	if more := w.day.HotRelayFactor - 1; more > 0 && w.clients.Float64() < more/(more+float64(len(w.relays))) {
		n = 0
	}
	for i := range w.relays {
		r := w.relays[(n+i)%len(w.relays)]
		if r.mod != nil || w.now-r.diedAt < w.day.BalancerDetectionDelay {
			return r
		}
	}
	return w.relays[n]
}

// request makes a message for d and hands it in.
func (w *world) request(d *dest) {
	x, no := w.arrivals.Float64(), 0
	for i, c := range w.day.Classes {
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
		x = w.arrivals.Float64() * all
		for _, m := range mix {
			if no, zone = m.Class, m.Zone; x < m.Share {
				break
			}
			x -= m.Share
		}
	}
	c := &w.day.Classes[no]
	q := &request{zone: zone, no: w.res.Requests, class: c, classNo: no, dest: d, at: w.now, deadline: w.now + c.Deadline, work: c.Work.Seconds() * spread(w.arrivals, c.CV, c.Exponential)}
	w.res.Requests++
	w.open++
	w.res.asked(w, q)
	w.handIn(q)
}

// patience is how long a client waits for a relay's answer to a hand-in.
const patience = 400 * time.Millisecond

// handIn gives a request to a relay that the front takes for live.
func (w *world) handIn(q *request) {
	if w.now >= q.deadline {
		w.end(q, endRefused)
		return
	}
	r := w.front(q)
	w.after(w.way(w.day.ClientDelay), func() {
		if r.mod == nil { // the front has not noticed, or all are down
			w.res.Unreached++
			w.after(part(w.day.ResubmitDelay, 0.8+0.4*w.clients.Float64()), func() { w.handIn(q) })
			return
		}
		if w.now < r.stalled { // nobody answers: the client hands it in again, and what lies in the relay's sockets counts for nothing
			w.after(min(patience, r.stalled-w.now), func() { w.handIn(q) })
			return
		}
		if len(r.held) >= w.day.MaxPending {
			w.res.TurnedAway++
			w.again(q, 0)
			return
		}
		w.lastID++
		m := &message{id: w.lastID, req: q, relay: r, life: r.life}
		r.held[m.id] = m
		w.res.HandIns++
		w.res.Relays[r.no].Asked += q.class.Value
		effect := rules.Effect(q.class.Effect)
		w.log(rules.Event{Kind: rules.Accepted, Relay: r.no, Msg: m.id, Dest: q.dest.no, Effect: effect, RepeatWindow: q.class.RepeatWindow, Deadline: q.deadline})
		w.targets.EachKey(q.dest.no, r.pool.RecordArrival)
		r.hear(policy.Submitted{ID: m.id, Class: q.class.Name, Destination: q.dest.no, TimeLeft: q.deadline - w.now})
		life := r.life
		w.at(q.deadline+w.day.AnswerSlack+w.day.Tick, func() {
			if m.over || r.life != life || r.mod == nil {
				return
			}
			m.over = true
			delete(r.held, m.id)
			w.end(q, endLost)
			r.hear(policy.Withdrawn{ID: m.id})
			if q.deadline < r.stalled { // it stood still when it should have answered: no decision could
				w.log(rules.Event{Kind: rules.Withdrawn, Relay: r.no, Msg: m.id})
				return
			}
			w.res.Overdue++
		})
	})
}

// again lets a client come again after a refusal, as often as it does.
func (w *world) again(q *request, advice time.Duration) {
	if q.tries++; q.tries > w.day.ClientRetries {
		w.end(q, endRefused)
		return
	}
	wait := part(w.day.ClientBackoff<<(q.tries-1), 0.5+w.clients.Float64())
	if w.clients.Float64() < w.day.RetryAfterCompliance && advice > 0 {
		wait = max(wait, min(advice, w.day.MaxRetryAfter))
	}
	w.after(wait, func() { w.handIn(q) })
}

type end int

const (
	endDelivered end = iota
	endRefused
	endFailed
	endLost
)

// end is a request's end. The first counts.
func (w *world) end(q *request, how end) {
	if q.over {
		return
	}
	q.over = true
	w.open--
	w.res.ended(w, q, how)
}

// ran books that a message took effect at its destination.
func (w *world) ran(m *message) {
	q := m.req
	if q.ran++; q.ran == 1 {
		return
	}
	if q.class.Effect == policy.Unsafe {
		w.res.Doubles++
	}
}

// --- troubles ---

// hit are the endpoints that a trouble is about, and the destinations that it takes whole or in part.
func (w *world) hit(t *Fault) (eps []*endpoint, dests []*dest) {
	add := func(d *dest, e *endpoint) {
		if !slices.Contains(eps, e) {
			eps = append(eps, e)
		}
		if !slices.Contains(dests, d) {
			dests = append(dests, d)
		}
	}
	for _, n := range t.Dests {
		for _, e := range w.dests[n].eps {
			add(w.dests[n], e)
		}
	}
	for _, p := range t.Endpoints {
		add(w.dests[p[0]], w.dests[p[0]].eps[p[1]])
	}
	if t.Zone != "" {
		for _, d := range w.dests {
			for _, e := range d.eps {
				if e.zone == t.Zone {
					add(d, e)
				}
			}
		}
	}
	return eps, dests
}

// trouble sets a trouble's beginning and end.
func (w *world) trouble(t *Fault) {
	eps, dests := w.hit(t)
	end := t.At + t.Duration
	begins := func(do func(*endpoint)) {
		w.at(t.At, func() {
			for _, e := range eps {
				do(e)
			}
		})
	}
	ends := func(do func(*endpoint)) {
		w.at(end, func() {
			for _, e := range eps {
				do(e)
			}
		})
	}
	// An outage takes destinations whose endpoints are all hit; they come back cold.
	outage := func(h health) {
		for _, d := range dests {
			if whole(d, eps) {
				w.at(t.At, func() { w.sicken(d) })
			}
		}
		begins(func(e *endpoint) { w.down(e, h, end) })
		ends(w.restore)
		for _, d := range dests {
			if p := d.parts[t.Zone]; p != nil && t.Zone != "" {
				w.at(t.At, p.loses)
				w.at(end, func() { w.regains(d, p) })
			}
		}
		for _, e := range eps {
			if e.dest.kind.SeparateRoutes {
				w.at(t.At, e.part.loses)
				w.at(end, func() { w.regains(e.dest, e.part) })
			}
		}
		for _, d := range dests {
			if whole(d, eps) {
				w.at(end, func() { w.heal(d) })
			}
		}
	}
	switch t.Kind {
	case Crash:
		outage(crashed)
	case Blackhole:
		outage(vanished)
	case RejectAll:
		outage(shut)
	case FastErrors:
		ill := slices.DeleteFunc(dests, func(d *dest) bool { return t.Intensity <= 0.5 || !whole(d, eps) })
		for _, d := range ill {
			w.at(t.At, func() { w.sicken(d) })
		}
		begins(func(e *endpoint) { e.errs = t.Intensity })
		ends(func(e *endpoint) { e.errs = 0 })
		for _, d := range ill {
			w.at(end, func() { w.heal(d) })
		}
	case AnswerLoss:
		begins(func(e *endpoint) { e.lost = t.Intensity })
		ends(func(e *endpoint) { e.lost = 0 })
	case LowerLimit:
		for _, l := range limiters(eps) {
			w.at(t.At, func() { l.lowered *= t.Intensity })
			w.at(end, func() { l.lowered /= t.Intensity })
		}
	case Slow:
		begins(func(e *endpoint) { e.slow = t.Intensity })
		ends(func(e *endpoint) { e.slow = 1 })
	case Pauses:
		for at := t.At; at < end; at += t.Period {
			w.at(at, func() {
				for _, e := range eps {
					e.paused = w.now + seconds(t.Intensity)
				}
			})
		}
	case Burst:
		if len(dests) == 0 {
			w.at(t.At, func() { w.burst *= t.Intensity })
			w.at(end, func() { w.burst /= t.Intensity })
			return
		}
		total := w.cum[len(w.cum)-1]
		for _, d := range dests {
			w.more(d, t.At, end, w.day.Rate*d.spec.Share/total*(t.Intensity-1))
		}
	case Drain:
		w.at(t.At, func() {
			for _, e := range eps {
				w.drain(e, t.Duration)
			}
		})
	case DiscoveryOutage:
		w.at(t.At, func() { w.newsOut++ })
		w.at(end, func() {
			if w.newsOut--; w.newsOut == 0 {
				late := w.late
				w.late = nil
				for _, f := range late {
					f()
				}
			}
		})
	case Partition, SitePartition, GossipReceiveLoss, GossipSendLoss, DestinationPartition, GossipLoss, GossipDelay, GossipDuplication:
		w.noteTrouble(t)
	default:
		for _, n := range t.Relays {
			w.relayTrouble(w.relays[n], t)
		}
	}
}

// limiters are the limits that endpoints are under, each once.
func limiters(eps []*endpoint) (all []*limiter) {
	for _, e := range eps {
		if !slices.Contains(all, e.limit) {
			all = append(all, e.limit)
		}
	}
	return all
}

func whole(d *dest, eps []*endpoint) bool {
	for _, e := range d.eps {
		if !slices.Contains(eps, e) {
			return false
		}
	}
	return true
}

func (w *world) relayTrouble(r *relay, t *Fault) {
	switch t.Kind {
	case RelayCrash, RelayStop:
		w.at(t.At, func() {
			if t.Kind == RelayStop && r.mod != nil {
				r.pool.Leave(w.now)
				out, _ := r.pool.Tick(w.now)
				r.carry(out)
			}
			r.die()
		})
		w.at(t.At+t.Duration, func() {
			if r.mod == nil {
				r.boot()
			}
		})
	case RelayStall:
		w.at(t.At, func() { r.stalled = t.At + t.Duration })
	}
}

// more lets further messages for one destination come, from a source of their own.
func (w *world) more(d *dest, from, to time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	rng := chance(w.day.Seed, "burst", uint64(d.no), uint64(from))
	for at := from + seconds(rng.ExpFloat64()/rate); at < min(to, w.day.Length); at += seconds(rng.ExpFloat64() / rate) {
		w.at(at, func() { w.request(d) })
	}
}

// drain announces that an endpoint goes and that another comes in its place.
func (w *world) drain(e *endpoint, after time.Duration) {
	e.draining = true
	w.tell(e, policy.Draining, w.day.DiscoveryDelay)
	w.after(after, func() {
		e.gone = true
		w.tell(e, policy.Removed, w.day.DiscoveryDelay)
	})
	fresh := w.endpoint(e.dest, e.spec)
	w.tell(fresh, policy.Listed, w.day.DiscoveryDelay/3)
}

// tell is news of the list, late and not everywhere at once; while discovery is down it waits for its end.
func (w *world) tell(e *endpoint, state policy.EndpointState, late time.Duration) {
	for _, r := range w.relays {
		life := r.life
		hear := func() {
			if r.life != life || r.mod == nil {
				return // a new life has read the list
			}
			if state != policy.Listed {
				w.log(rules.Event{Kind: rules.EndpointLeaving, Relay: r.no, Endpoint: e.no})
			}
			r.listed(policy.EndpointListUpdate{Kind: policy.ListChanges, Entries: []policy.Endpoint{r.entry(e, state)}})
		}
		w.after(late+part(w.day.DiscoverySpread, w.net.Float64()), func() {
			if w.newsOut > 0 {
				w.late = append(w.late, hear)
			} else {
				hear()
			}
		})
	}
}
