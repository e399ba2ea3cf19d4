package emu

import (
	"fmt"
	"slices"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/internal/pacing"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/internal/sites"
	"oatfold/policy"
)

// PolicyEngine is what the emulator drives; policy.Relay in service.
type PolicyEngine interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
}

// PolicyFactory makes the module of one life of a relay.
type PolicyFactory func(set policy.Settings, seed int64) (PolicyEngine, error)

// DefaultPolicy is the module that relays have in service.
func DefaultPolicy(set policy.Settings, seed int64) (PolicyEngine, error) {
	return policy.New(set, seed)
}

// relay is one relay at work.
type relay struct {
	w       *world
	no      int
	life    int
	diedAt  time.Duration
	mod     PolicyEngine // nil: it is down
	inbox   []policy.Event
	due     bool // a step is on its way
	stalled time.Duration
	held    map[uint32]*message
	out     int // calls
	wake    uint64
	idle    map[*endpoint][]*conn
	told    map[int]policy.EndpointState // endpoints that it heard are going
	sharing int                          // relays that may be calling, as the module was told
	pool    *peers.Gossiper              // what it tells others and hears of them
	watch   *sites.Watch                 // nil: no plan for sites
}

// conn is a connection from a relay to an endpoint.
type conn struct {
	life   int // of the endpoint
	usedAt time.Duration
}

// message is a request in the hands of one relay.
type message struct {
	id      uint32
	req     *request
	relay   *relay
	life    int
	over    bool
	tries   int
	item    *item // the attempt that is out
	mayHave bool
}

// item is one message of a call.
type item struct {
	m       *message
	attempt int
	timeout time.Duration
	done    bool
	work    float64
}

// call is one call that is out.
type call struct {
	id       uint64
	relay    *relay
	rlife    int
	ep       *endpoint
	items    []item
	left     int
	sentAt   time.Duration
	conn     *conn
	life     int // of the endpoint as the connection was made
	closed   bool
	answered bool
	work     float64
	report   *policy.LimitReport // of the limit, as the call came to it
}

// tells is what an attempt's end tells of the limit: an answer carries the report, silence and a broken connection none.
func (c *call) tells(out policy.Outcome) *policy.LimitReport {
	switch out {
	case policy.Delivered, policy.Errored, policy.Rejected:
		return c.report
	}
	return nil
}

// boot starts a life of a relay.
func (r *relay) boot() {
	r.life++
	set := r.w.day.Settings()
	set.TimeSlots = pacing.New(r.no, r.w.day.Relays)
	mod, err := r.w.make(set, int64(chance(r.w.day.Seed, "module", uint64(r.no), uint64(r.life)).Uint64()>>1))
	if err != nil {
		r.w.fault(fmt.Sprintf("relay %d does not start: %v", r.no, err))
		return
	}
	r.mod, r.held, r.out, r.idle, r.inbox, r.due = mod, map[uint32]*message{}, 0, map[*endpoint][]*conn{}, nil, false
	r.told = map[int]policy.EndpointState{}
	r.pool = peers.New(r.no, r.w.fleet(), int64(chance(r.w.day.Seed, "notes", uint64(r.no), uint64(r.life)).Uint64()>>1))
	if r.sharing = 0; r.w.day.Membership {
		r.pool.EnableMembership(r.w.day.ZoneOf(r.no), int64(chance(r.w.day.Seed, "members", uint64(r.no), uint64(r.life)).Uint64()>>1))
		r.w.res.Members = append(r.w.res.Members, MemberChange{At: r.w.now, By: r.no, Number: r.no, To: "started"})
	}
	r.pool.EnableChoices(r.w.day.Choices)
	if r.pool.Active() {
		r.tellAt(r.w.now + r.pool.NextTick())
	}
	if r.watch = nil; r.w.day.Sites != nil {
		r.watch = sites.NewWatch(r.w.day.Sites, zoneName(r.w.day.ZoneOf(r.no)), int64(chance(r.w.day.Seed, "sites", uint64(r.no), uint64(r.life)).Uint64()>>1))
		r.hear(policy.SitesUpdate{Plan: r.watch})
		r.lookAt(r.w.now + time.Duration(chance(r.w.day.Seed, "look", uint64(r.no)).Int64N(int64(lookTurn))))
	}
	var list []policy.Endpoint
	for _, d := range r.w.dests {
		for _, e := range d.eps {
			if !e.draining && !e.gone {
				list = append(list, r.entry(e, policy.Listed))
			}
		}
	}
	r.listed(policy.EndpointListUpdate{Kind: policy.ListRestored, Entries: list})
}

// listed gives list news to the module, and to whoever keeps the subsets.
func (r *relay) listed(news policy.EndpointListUpdate) {
	r.pool.UpdateEndpoints(news)
	if r.watch != nil {
		r.watch.ApplyEndpointList(news)
	}
	r.hear(news)
}

// wallOf is the time of day as a relay's clock has it: up to two seconds off.
func (w *world) wallOf(relay int) time.Time {
	skew := part(4*time.Second, chance(w.day.Seed, "clock", uint64(relay)).Float64()) - 2*time.Second
	return time.UnixMilli(1_000_000_000_000).Add(w.now + skew)
}

func (r *relay) entry(e *endpoint, state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{Address: e.address, Destination: e.dest.no, Kind: e.dest.kind.Name, Zone: e.zone, State: state, Rate: 1}
}

// tellAt lets a relay tell others what it saw, again and again while it lives.
func (r *relay) tellAt(at time.Duration) {
	w, life := r.w, r.life
	w.at(max(at, w.now), func() {
		if r.life != life || r.mod == nil {
			return
		}
		if w.now < r.stalled {
			r.tellAt(r.stalled)
			return
		}
		out, turned := r.pool.Tick(w.now)
		r.carry(out)
		r.changed()
		if turned {
			news := policy.FleetUpdate{Routes: r.pool.FleetAverages(w.now, w.wallOf(r.no)), Relays: r.pool.PossibleCallers(w.now)}
			w.targets.ResolveEndpoints(news.Routes)
			if r.watch != nil {
				r.watch.ApplyFleetStats(w.now, news.Routes)
			}
			if len(news.Routes) > 0 || news.Relays != r.sharing {
				r.sharing = news.Relays
				r.hear(news)
			}
			for _, s := range r.pool.ChangedSubsets(w.now) {
				r.hear(s)
			}
		}
		r.tellAt(r.pool.NextTick())
	})
}

// lookTurn is between two looks at sites.
const lookTurn = 250 * time.Millisecond

// lookAt lets a relay look at its sites, again and again while it lives.
func (r *relay) lookAt(at time.Duration) {
	w, life := r.w, r.life
	w.at(max(at, w.now), func() {
		if r.life != life || r.mod == nil {
			return
		}
		if w.now >= r.stalled {
			if list := r.pool.Members(); list != nil {
				relays, alive := map[string]int{}, map[string]int{}
				for _, o := range w.relays {
					if o != r {
						z := zoneName(w.day.ZoneOf(o.no))
						if relays[z]++; list.State(o.no) < members.Dead {
							alive[z]++
						}
					}
				}
				for z, n := range relays {
					r.watch.SetRelayCounts(z, n, alive[z])
				}
			}
			r.words()
			r.watch.Tick(w.now)
			if changes := r.watch.Changes(); len(changes) > 0 {
				for _, c := range changes {
					w.res.Sites = append(w.res.Sites, SiteChange{w.now, r.no, c.Zone, c.From.String(), c.To.String(), c.Why})
					r.hear(c.PolicyUpdate(r.watch))
				}
			}
		}
		r.lookAt(max(w.now+lookTurn, r.stalled))
	})
}

// words takes what others say of sites, and has this relay say what it sees.
func (r *relay) words() {
	type said struct {
		lost   int
		levels []float64
	}
	all := make([]said, max(1, r.w.day.Zones))
	r.pool.EachSiteReport(r.w.now, func(one peers.SiteReport) {
		if one.Zone >= len(all) {
			return
		} else if one.LoadFraction == 0 {
			all[one.Zone].lost++
		} else {
			all[one.Zone].levels = append(all[one.Zone].levels, one.LoadFraction)
		}
	})
	var mine []peers.SiteReport
	for z, s := range all {
		r.watch.SetPeerReports(zoneName(z), s.lost, s.levels)
		if level, ok := r.watch.OwnReport(zoneName(z)); ok {
			mine = append(mine, peers.SiteReport{Zone: z, LoadFraction: level})
		}
	}
	r.pool.SetSiteReports(mine)
}

// zoneName is the name of a zone of relays.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", 1+zone) }

// die ends a life: what it held comes again to another relay, unless it may have run and may not be repeated.
func (r *relay) die() {
	if r.mod == nil {
		return
	}
	w := r.w
	w.log(rules.Event{Kind: rules.RelayDied, Relay: r.no})
	r.mod, r.diedAt = nil, w.now
	for id := uint32(0); len(r.held) > 0 && id <= w.lastID; id++ { // in order of their numbers, for the same result each time
		m := r.held[id]
		if m == nil {
			continue
		}
		delete(r.held, id)
		m.over = true
		if m.item != nil {
			m.mayHave = true
		}
		if !m.mayHave || m.req.class.Effect != policy.Unsafe {
			w.after(part(w.day.ResubmitDelay, 0.8+0.4*w.clients.Float64()), func() { w.handIn(m.req) })
		} else {
			w.end(m.req, endFailed)
		}
	}
	for _, d := range w.dests {
		delete(d.failed, r.no)
		for _, e := range d.eps {
			e.conns -= len(r.idle[e])
		}
	}
}

// hear puts an event into a relay's next step.
func (r *relay) hear(ev policy.Event) {
	r.inbox = append(r.inbox, ev)
	if r.due {
		return
	}
	r.due = true
	life := r.life
	tick := r.w.day.Tick
	at := max((r.w.now+tick-1)/tick*tick, r.stalled)
	r.w.at(at, func() {
		if r.life == life && r.mod != nil {
			r.step()
		}
	})
}

// step lets the module decide. A module that panics ends the life of its relay, as it would in service, and is counted.
func (r *relay) step() {
	events := r.inbox
	r.inbox, r.due = nil, false
	acts, ok := r.decide(events)
	if !ok {
		r.die()
		life := r.life
		r.w.after(time.Second, func() {
			if r.life == life && r.mod == nil {
				r.boot()
			}
		})
		return
	}
	r.w.res.Steps++
	var open []*call // of this step, to which further sends may join
	for _, a := range acts {
		switch a := a.(type) {
		case policy.Send:
			open = r.send(a, open)
		case policy.Refuse:
			if !withdrawn(events, a.ID) {
				r.final(a.ID, rules.Returned, a.RetryAfter)
			}
		case policy.Fail:
			if !withdrawn(events, a.ID) {
				r.final(a.ID, rules.Failed, 0)
			}
		case policy.SetTimer:
			r.wake++
			wake, life := r.wake, r.life
			r.w.after(max(a.Delay, r.w.day.Tick), func() {
				if r.wake == wake && r.life == life && r.mod != nil {
					r.hear(policy.TimerFired{})
				}
			})
		case policy.CloseIdle:
			if e := r.w.byAddress[a.Endpoint]; e != nil {
				for range r.idle[e] {
					e.conns--
				}
				delete(r.idle, e)
			}
		case policy.LogLine:
			r.w.res.Notes++
		}
	}
	for _, c := range open {
		r.w.start(c)
	}
}

// withdrawn tells whether the step that takes these events hears only now that a message is over. Its answer to it crosses that news, and is
// dropped, as the host in service drops an answer to what it does not hold any more. One that comes a step later breaks the rule.
func withdrawn(events []policy.Event, id uint32) bool {
	return slices.Contains(events, policy.Event(policy.Withdrawn{ID: id}))
}

func (r *relay) decide(events []policy.Event) (acts []policy.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.w.fault(fmt.Sprintf("%v: the module of relay %d panics: %v", r.w.now, r.no, p))
			acts, ok = nil, false
		}
	}()
	return r.mod.Step(r.w.now, events), true
}

// send takes one Send of a step up: into a call that is open, into a new one, or back at once if it can't go out.
func (r *relay) send(a policy.Send, open []*call) []*call {
	w, m, e := r.w, r.held[a.ID], r.w.byAddress[a.Endpoint]
	if m == nil || e == nil {
		w.fault(fmt.Sprintf("%v: relay %d sends message %d to %q, which it does not have", w.now, r.no, a.ID, a.Endpoint))
		return open
	}
	m.tries++
	it := item{m: m, attempt: m.tries - 1, timeout: a.Timeout}
	if it.timeout <= 0 || w.now+it.timeout > m.req.deadline {
		it.timeout = m.req.deadline - w.now
	}
	var c *call
	for _, o := range open {
		if o.ep == e && len(o.items) < e.dest.kind.MaxBatch {
			c = o
		}
	}
	fresh := c == nil
	if fresh {
		w.callNo++
		c = &call{id: w.callNo, relay: r, rlife: r.life, ep: e, sentAt: w.now}
	}
	moot := fresh && r.out >= w.day.MaxConcurrentCalls || m.over || m.item != nil || m.tries > w.day.MaxAttempts
	line := rules.Event{Kind: rules.Sent, Relay: r.no, Msg: m.id, Attempt: it.attempt, Call: c.id, Dest: e.dest.no, Endpoint: e.no, Route: e.route()}
	if moot {
		line.Call = 0 // no call: nothing is out
	}
	if w.log(line); moot {
		w.ended(c, &it, policy.Unsent, 0)
		return open
	}
	if fresh {
		r.out++
		open = append(open, c)
	}
	c.items = append(c.items, it)
	c.left++
	m.req.sends++
	return open
}

// start sends a call off: over a connection that is idle, or over a new one.
func (w *world) start(c *call) {
	r, e := c.relay, c.ep
	w.res.Calls++
	if e.dest.sick > 0 || e.dest.fallen {
		w.res.Probes++
	}
	w.res.Dests[e.dest.no].Calls++
	for i := range c.items {
		it := &c.items[i]
		it.m.item = it
		w.after(it.timeout, func() {
			if !it.done {
				if c.closed = true; r.watch != nil && r.life == c.rlife && r.mod != nil {
					r.watch.RecordCall(w.now, c.sentAt, e.address, sites.NoResponse)
				}
				w.ended(c, it, policy.TimedOut, 0)
			}
		})
	}
	way := w.way(w.day.RTT / 2)
	for n := len(r.idle[e]); n > 0; n = len(r.idle[e]) {
		k := r.idle[e][n-1]
		r.idle[e] = r.idle[e][:n-1]
		if w.now-k.usedAt >= w.day.IdleTimeout || k.life != e.lives && e.health != vanished {
			if k.life == e.lives {
				e.conns--
			}
			continue // it shows as closed
		}
		c.conn, c.life = k, k.life
		if w.reaches(r, e) { // else it is not answered
			w.after(way, func() { w.arrive(c) })
		}
		return
	}
	w.res.Connections++
	c.life = e.lives
	full := e.spec.MaxConns > 0 && e.conns >= e.spec.MaxConns
	switch {
	case e.gone || e.health == crashed || full:
		w.after(2*way, func() { w.answerNow(c, policy.ConnectFailed, 0) })
	case e.health == vanished || !w.reaches(r, e):
		w.after(w.day.ConnectTimeout, func() { w.answerNow(c, policy.ConnectFailed, 0) })
	default:
		e.conns++
		c.conn = &conn{life: e.lives}
		w.after(way+part(w.day.RTT, w.day.HandshakeRTTs), func() { w.arrive(c) })
	}
}

// answer is what an endpoint has to say of a call; it takes its way back.
func (w *world) answer(c *call, out policy.Outcome, wait time.Duration) {
	if c.answered {
		return
	}
	c.answered = true
	sent := w.now
	w.after(w.way(w.day.RTT/2), func() {
		if !w.reaches(c.relay, c.ep) {
			return // it has run, and its relay hears nothing of it
		}
		if wait > 0 { // it runs from when it was told
			wait = max(wait-(w.now-sent), time.Millisecond)
		}
		w.answerNow(c, out, wait)
	})
}

// answerNow ends what is still out of a call.
func (w *world) answerNow(c *call, out policy.Outcome, wait time.Duration) {
	r, e := c.relay, c.ep
	c.answered = true
	if r.life == c.rlife && r.mod != nil {
		target := w.targets.Key(e.address, e.dest.no)
		r.pool.RecordRetryAfter(w.now, target, wait)
		if r.watch != nil {
			how := siteEnd(out)
			if out == policy.ConnectFailed && w.now-c.sentAt >= w.day.ConnectTimeout {
				how = sites.NoResponse
			}
			r.watch.RecordCall(w.now, c.sentAt, e.address, how)
		}
		switch out {
		case policy.Delivered, policy.Errored:
			r.pool.RecordCall(target, peers.Accepted)
		case policy.Rejected:
			r.pool.RecordCall(target, peers.Rejected)
		default:
			r.pool.RecordCall(target, peers.Failed)
		}
	}
	if k := c.conn; k != nil && !c.closed && r.life == c.rlife && r.mod != nil && out != policy.ConnectionLost && out != policy.ConnectFailed {
		k.usedAt = w.now
		r.idle[e] = append(r.idle[e], k)
	} else if k != nil && k.life == e.lives {
		e.conns--
	}
	c.conn = nil
	for i := range c.items {
		if it := &c.items[i]; !it.done {
			w.ended(c, it, out, wait)
		}
	}
}

// siteEnd is what the end of a call says of the site of its endpoint.
func siteEnd(out policy.Outcome) sites.CallOutcome {
	switch out {
	case policy.Delivered, policy.Errored:
		return sites.Accepted
	case policy.Rejected:
		return sites.Rejected
	case policy.TimedOut:
		return sites.NoResponse
	}
	return sites.Failed
}

// ended tells a relay how an attempt ended.
func (w *world) ended(c *call, it *item, out policy.Outcome, wait time.Duration) {
	r, m, e := c.relay, it.m, c.ep
	it.done = true
	if r.life != c.rlife || r.mod == nil {
		return
	}
	if out != policy.Unsent {
		if c.left--; c.left == 0 {
			r.out--
			if c.closed && c.conn != nil && c.conn.life == e.lives {
				e.conns--
				c.conn = nil
			}
		}
	}
	if m.item == it {
		m.item = nil
	}
	proved := out == policy.Rejected || out == policy.ConnectFailed || out == policy.RequestIncomplete || out == policy.Unsent
	if !proved {
		m.mayHave = true
	}
	ok := out == policy.Delivered
	if ok && !m.over {
		m.over = true
		w.res.Relays[r.no].Served += m.req.class.worth(w.now - m.req.at)
		delete(r.held, m.id)
		w.end(m.req, endDelivered)
	}
	if !ok && out != policy.Unsent && (e.dest.sick > 0 || e.dest.fallen) {
		e.dest.failed[r.no] = true
	}
	w.log(rules.Event{Kind: rules.AttemptEnded, Relay: r.no, Msg: m.id, Attempt: it.attempt, Call: c.id, Dest: e.dest.no, NotRun: proved, Delivered: ok, RetryAfter: wait, Route: e.route()})
	r.hear(policy.AttemptEnded{ID: m.id, Attempt: it.attempt, Endpoint: e.address, Outcome: out, Duration: w.now - c.sentAt, Final: m.over, RetryAfter: wait, Report: c.tells(out)})
}

// final is a relay's last word on a message.
func (r *relay) final(id uint32, kind rules.Kind, advice time.Duration) {
	w, m := r.w, r.held[id]
	w.log(rules.Event{Kind: kind, Relay: r.no, Msg: id})
	if m == nil || m.over {
		return
	}
	m.over = true
	delete(r.held, id)
	if kind == rules.Failed {
		w.end(m.req, endFailed)
		return
	}
	w.res.Refusals++
	w.again(m.req, advice)
}
