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
	sim              *simulation
	number           int
	incarnation      int
	diedAt           time.Duration
	policy           PolicyEngine // nil: it is down
	inbox            []policy.Event
	stepDue          bool // a step is on its way
	stalledUntil     time.Duration
	pending          map[uint32]*message
	inFlight         int // calls
	timerID          uint64
	idleConns        map[*endpoint][]*conn
	leavingEndpoints map[int]policy.EndpointState // endpoints that it heard are going
	reportedCallers  int                          // relays that may be calling, as the module was told
	gossiper         *peers.Gossiper              // what it tells others and hears of them
	siteWatch        *sites.Watch                 // nil: no plan for sites
}

// conn is a connection from a relay to an endpoint.
type conn struct {
	incarnation int // of the endpoint
	lastUsed    time.Duration
}

// message is a request in the hands of one relay.
type message struct {
	id          uint32
	request     *request
	relay       *relay
	incarnation int
	completed   bool
	attempts    int
	inFlight    *callItem // the attempt that is out
	mayHaveRun  bool
}

// callItem is one message of a call.
type callItem struct {
	message     *message
	attempt     int
	timeout     time.Duration
	ended       bool
	workSeconds float64
}

// call is one call that is out.
type call struct {
	id                  uint64
	relay               *relay
	relayIncarnation    int
	endpoint            *endpoint
	items               []callItem
	openItems           int
	sentAt              time.Duration
	conn                *conn
	endpointIncarnation int // of the endpoint as the connection was made
	abandoned           bool
	answered            bool
	workSeconds         float64
	limitReport         *policy.LimitReport // of the limit, as the call came to it
}

// reportFor is what an attempt's end tells of the limit: an answer carries the report, silence and a broken connection none.
func (c *call) reportFor(out policy.Outcome) *policy.LimitReport {
	switch out {
	case policy.Delivered, policy.Errored, policy.Rejected:
		return c.limitReport
	}
	return nil
}

// start starts a life of a relay.
func (r *relay) start() {
	r.incarnation++
	set := r.sim.scenario.Settings()
	set.TimeSlots = pacing.New(r.number, r.sim.scenario.Relays)
	mod, err := r.sim.newPolicy(set, int64(newRand(r.sim.scenario.Seed, "module", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
	if err != nil {
		r.sim.recordError(fmt.Sprintf("relay %d does not start: %v", r.number, err))
		return
	}
	r.policy, r.pending, r.inFlight, r.idleConns, r.inbox, r.stepDue = mod, map[uint32]*message{}, 0, map[*endpoint][]*conn{}, nil, false
	r.leavingEndpoints = map[int]policy.EndpointState{}
	r.gossiper = peers.New(r.number, r.sim.gossipFleetSize(), int64(newRand(r.sim.scenario.Seed, "notes", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
	if r.reportedCallers = 0; r.sim.scenario.Membership {
		r.gossiper.EnableMembership(r.sim.scenario.ZoneOf(r.number), int64(newRand(r.sim.scenario.Seed, "members", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
		r.sim.result.Members = append(r.sim.result.Members, MemberChange{At: r.sim.now, By: r.number, Number: r.number, To: "started"})
	}
	r.gossiper.EnableChoices(r.sim.scenario.Choices)
	if r.gossiper.Active() {
		r.scheduleGossip(r.sim.now + r.gossiper.NextTick())
	}
	if r.siteWatch = nil; r.sim.scenario.Sites != nil {
		r.siteWatch = sites.NewWatch(r.sim.scenario.Sites, zoneName(r.sim.scenario.ZoneOf(r.number)), int64(newRand(r.sim.scenario.Seed, "sites", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
		r.enqueue(policy.SitesUpdate{Plan: r.siteWatch})
		r.scheduleSiteCheck(r.sim.now + time.Duration(newRand(r.sim.scenario.Seed, "look", uint64(r.number)).Int64N(int64(siteCheckInterval))))
	}
	var list []policy.Endpoint
	for _, d := range r.sim.dests {
		for _, e := range d.endpoints {
			if !e.draining && !e.removed {
				list = append(list, r.listEntry(e, policy.Listed))
			}
		}
	}
	r.applyEndpointList(policy.EndpointListUpdate{Kind: policy.ListRestored, Entries: list})
}

// applyEndpointList gives list news to the module, and to whoever keeps the subsets.
func (r *relay) applyEndpointList(news policy.EndpointListUpdate) {
	r.gossiper.UpdateEndpoints(news)
	if r.siteWatch != nil {
		r.siteWatch.ApplyEndpointList(news)
	}
	r.enqueue(news)
}

// wallClock is the time of day as a relay's clock has it: up to two seconds off.
func (w *simulation) wallClock(relay int) time.Time {
	skew := scaleDuration(4*time.Second, newRand(w.scenario.Seed, "clock", uint64(relay)).Float64()) - 2*time.Second
	return time.UnixMilli(1_000_000_000_000).Add(w.now + skew)
}

func (r *relay) listEntry(e *endpoint, state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{Address: e.address, Destination: e.dest.number, Kind: e.dest.kind.Name, Zone: e.zone, State: state, Rate: 1}
}

// scheduleGossip lets a relay tell others what it saw, again and again while it lives.
func (r *relay) scheduleGossip(at time.Duration) {
	w, life := r.sim, r.incarnation
	w.schedule(max(at, w.now), func() {
		if r.incarnation != life || r.policy == nil {
			return
		}
		if w.now < r.stalledUntil {
			r.scheduleGossip(r.stalledUntil)
			return
		}
		out, turned := r.gossiper.Tick(w.now)
		r.sendGossip(out)
		r.recordMemberChanges()
		if turned {
			news := policy.FleetUpdate{Routes: r.gossiper.FleetAverages(w.now, w.wallClock(r.number)), Relays: r.gossiper.PossibleCallers(w.now)}
			w.reportKeys.ResolveEndpoints(news.Routes)
			if r.siteWatch != nil {
				r.siteWatch.ApplyFleetStats(w.now, news.Routes)
			}
			if len(news.Routes) > 0 || news.Relays != r.reportedCallers {
				r.reportedCallers = news.Relays
				r.enqueue(news)
			}
			for _, s := range r.gossiper.ChangedSubsets(w.now) {
				r.enqueue(s)
			}
		}
		r.scheduleGossip(r.gossiper.NextTick())
	})
}

// siteCheckInterval is between two looks at sites.
const siteCheckInterval = 250 * time.Millisecond

// scheduleSiteCheck lets a relay look at its sites, again and again while it lives.
func (r *relay) scheduleSiteCheck(at time.Duration) {
	w, life := r.sim, r.incarnation
	w.schedule(max(at, w.now), func() {
		if r.incarnation != life || r.policy == nil {
			return
		}
		if w.now >= r.stalledUntil {
			if list := r.gossiper.Members(); list != nil {
				relays, alive := map[string]int{}, map[string]int{}
				for _, o := range w.relays {
					if o != r {
						z := zoneName(w.scenario.ZoneOf(o.number))
						if relays[z]++; list.State(o.number) < members.Dead {
							alive[z]++
						}
					}
				}
				for z, n := range relays {
					r.siteWatch.SetRelayCounts(z, n, alive[z])
				}
			}
			r.exchangeSiteReports()
			r.siteWatch.Tick(w.now)
			if changes := r.siteWatch.Changes(); len(changes) > 0 {
				for _, c := range changes {
					w.result.Sites = append(w.result.Sites, SiteChange{w.now, r.number, c.Zone, c.From.String(), c.To.String(), c.Why})
					r.enqueue(c.PolicyUpdate(r.siteWatch))
				}
			}
		}
		r.scheduleSiteCheck(max(w.now+siteCheckInterval, r.stalledUntil))
	})
}

// exchangeSiteReports takes what others say of sites, and has this relay say what it sees.
func (r *relay) exchangeSiteReports() {
	type said struct {
		lost   int
		levels []float64
	}
	all := make([]said, max(1, r.sim.scenario.Zones))
	r.gossiper.EachSiteReport(r.sim.now, func(one peers.SiteReport) {
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
		r.siteWatch.SetPeerReports(zoneName(z), s.lost, s.levels)
		if level, ok := r.siteWatch.OwnReport(zoneName(z)); ok {
			mine = append(mine, peers.SiteReport{Zone: z, LoadFraction: level})
		}
	}
	r.gossiper.SetSiteReports(mine)
}

// zoneName is the name of a zone of relays.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", 1+zone) }

// stop ends a life: what it held comes again to another relay, unless it may have run and may not be repeated.
func (r *relay) stop() {
	if r.policy == nil {
		return
	}
	w := r.sim
	w.log(rules.Event{Kind: rules.RelayDied, Relay: r.number})
	r.policy, r.diedAt = nil, w.now
	for id := uint32(0); len(r.pending) > 0 && id <= w.lastMessageID; id++ { // in order of their numbers, for the same result each time
		m := r.pending[id]
		if m == nil {
			continue
		}
		delete(r.pending, id)
		m.completed = true
		if m.inFlight != nil {
			m.mayHaveRun = true
		}
		if !m.mayHaveRun || m.request.class.Effect != policy.Unsafe {
			w.scheduleAfter(scaleDuration(w.scenario.ResubmitDelay, 0.8+0.4*w.clientRand.Float64()), func() { w.submit(m.request) })
		} else {
			w.complete(m.request, completedFailed)
		}
	}
	for _, d := range w.dests {
		delete(d.failureSeenBy, r.number)
		for _, e := range d.endpoints {
			e.openConns -= len(r.idleConns[e])
		}
	}
}

// enqueue puts an event into a relay's next step.
func (r *relay) enqueue(ev policy.Event) {
	r.inbox = append(r.inbox, ev)
	if r.stepDue {
		return
	}
	r.stepDue = true
	life := r.incarnation
	tick := r.sim.scenario.Tick
	at := max((r.sim.now+tick-1)/tick*tick, r.stalledUntil)
	r.sim.schedule(at, func() {
		if r.incarnation == life && r.policy != nil {
			r.step()
		}
	})
}

// step lets the module decide. A module that panics ends the life of its relay, as it would in service, and is counted.
func (r *relay) step() {
	events := r.inbox
	r.inbox, r.stepDue = nil, false
	acts, ok := r.runPolicy(events)
	if !ok {
		r.stop()
		life := r.incarnation
		r.sim.scheduleAfter(time.Second, func() {
			if r.incarnation == life && r.policy == nil {
				r.start()
			}
		})
		return
	}
	r.sim.result.Steps++
	var open []*call // of this step, to which further sends may join
	for _, a := range acts {
		switch a := a.(type) {
		case policy.Send:
			open = r.planSend(a, open)
		case policy.Refuse:
			if !withdrawnIn(events, a.ID) {
				r.finalAnswer(a.ID, rules.Returned, a.RetryAfter)
			}
		case policy.Fail:
			if !withdrawnIn(events, a.ID) {
				r.finalAnswer(a.ID, rules.Failed, 0)
			}
		case policy.SetTimer:
			r.timerID++
			wake, life := r.timerID, r.incarnation
			r.sim.scheduleAfter(max(a.Delay, r.sim.scenario.Tick), func() {
				if r.timerID == wake && r.incarnation == life && r.policy != nil {
					r.enqueue(policy.TimerFired{})
				}
			})
		case policy.CloseIdle:
			if e := r.sim.byAddress[a.Endpoint]; e != nil {
				for range r.idleConns[e] {
					e.openConns--
				}
				delete(r.idleConns, e)
			}
		case policy.LogLine:
			r.sim.result.Notes++
		}
	}
	for _, c := range open {
		r.sim.sendCall(c)
	}
}

// withdrawnIn tells whether the step that takes these events hears only now that a message is over. Its answer to it crosses that news, and is
// dropped, as the host in service drops an answer to what it does not hold any more. One that comes a step later breaks the rule.
func withdrawnIn(events []policy.Event, id uint32) bool {
	return slices.Contains(events, policy.Event(policy.Withdrawn{ID: id}))
}

func (r *relay) runPolicy(events []policy.Event) (acts []policy.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.sim.recordError(fmt.Sprintf("%v: the module of relay %d panics: %v", r.sim.now, r.number, p))
			acts, ok = nil, false
		}
	}()
	return r.policy.Step(r.sim.now, events), true
}

// planSend takes one Send of a step up: into a call that is open, into a new one, or back at once if it can't go out.
func (r *relay) planSend(a policy.Send, open []*call) []*call {
	w, m, e := r.sim, r.pending[a.ID], r.sim.byAddress[a.Endpoint]
	if m == nil || e == nil {
		w.recordError(fmt.Sprintf("%v: relay %d sends message %d to %q, which it does not have", w.now, r.number, a.ID, a.Endpoint))
		return open
	}
	m.attempts++
	it := callItem{message: m, attempt: m.attempts - 1, timeout: a.Timeout}
	if it.timeout <= 0 || w.now+it.timeout > m.request.deadline {
		it.timeout = m.request.deadline - w.now
	}
	var c *call
	for _, o := range open {
		if o.endpoint == e && len(o.items) < e.dest.kind.MaxBatch {
			c = o
		}
	}
	fresh := c == nil
	if fresh {
		w.lastCallID++
		c = &call{id: w.lastCallID, relay: r, relayIncarnation: r.incarnation, endpoint: e, sentAt: w.now}
	}
	moot := fresh && r.inFlight >= w.scenario.MaxConcurrentCalls || m.completed || m.inFlight != nil || m.attempts > w.scenario.MaxAttempts
	line := rules.Event{Kind: rules.Sent, Relay: r.number, Msg: m.id, Attempt: it.attempt, Call: c.id, Dest: e.dest.number, Endpoint: e.number, Route: e.routeNumber()}
	if moot {
		line.Call = 0 // no call: nothing is out
	}
	if w.log(line); moot {
		w.attemptEnded(c, &it, policy.Unsent, 0)
		return open
	}
	if fresh {
		r.inFlight++
		open = append(open, c)
	}
	c.items = append(c.items, it)
	c.openItems++
	m.request.attempts++
	return open
}

// sendCall sends a call off: over a connection that is idle, or over a new one.
func (w *simulation) sendCall(c *call) {
	r, e := c.relay, c.endpoint
	w.result.Calls++
	if e.dest.activeOutages > 0 || e.dest.overloaded {
		w.result.Probes++
	}
	w.result.Dests[e.dest.number].Calls++
	for i := range c.items {
		it := &c.items[i]
		it.message.inFlight = it
		w.scheduleAfter(it.timeout, func() {
			if !it.ended {
				if c.abandoned = true; r.siteWatch != nil && r.incarnation == c.relayIncarnation && r.policy != nil {
					r.siteWatch.RecordCall(w.now, c.sentAt, e.address, sites.NoResponse)
				}
				w.attemptEnded(c, it, policy.TimedOut, 0)
			}
		})
	}
	way := w.drawDelay(w.scenario.RTT / 2)
	for n := len(r.idleConns[e]); n > 0; n = len(r.idleConns[e]) {
		k := r.idleConns[e][n-1]
		r.idleConns[e] = r.idleConns[e][:n-1]
		if w.now-k.lastUsed >= w.scenario.IdleTimeout || k.incarnation != e.incarnation && e.health != unresponsive {
			if k.incarnation == e.incarnation {
				e.openConns--
			}
			continue // it shows as closed
		}
		c.conn, c.endpointIncarnation = k, k.incarnation
		if w.reaches(r, e) { // else it is not answered
			w.scheduleAfter(way, func() { w.callArrived(c) })
		}
		return
	}
	w.result.Connections++
	c.endpointIncarnation = e.incarnation
	full := e.spec.MaxConns > 0 && e.openConns >= e.spec.MaxConns
	switch {
	case e.removed || e.health == crashed || full:
		w.scheduleAfter(2*way, func() { w.completeCall(c, policy.ConnectFailed, 0) })
	case e.health == unresponsive || !w.reaches(r, e):
		w.scheduleAfter(w.scenario.ConnectTimeout, func() { w.completeCall(c, policy.ConnectFailed, 0) })
	default:
		e.openConns++
		c.conn = &conn{incarnation: e.incarnation}
		w.scheduleAfter(way+scaleDuration(w.scenario.RTT, w.scenario.HandshakeRTTs), func() { w.callArrived(c) })
	}
}

// sendAnswer is what an endpoint has to say of a call; it takes its way back.
func (w *simulation) sendAnswer(c *call, out policy.Outcome, wait time.Duration) {
	if c.answered {
		return
	}
	c.answered = true
	sent := w.now
	w.scheduleAfter(w.drawDelay(w.scenario.RTT/2), func() {
		if !w.reaches(c.relay, c.endpoint) {
			return // it has run, and its relay hears nothing of it
		}
		if wait > 0 { // it runs from when it was told
			wait = max(wait-(w.now-sent), time.Millisecond)
		}
		w.completeCall(c, out, wait)
	})
}

// completeCall ends what is still out of a call.
func (w *simulation) completeCall(c *call, out policy.Outcome, wait time.Duration) {
	r, e := c.relay, c.endpoint
	c.answered = true
	if r.incarnation == c.relayIncarnation && r.policy != nil {
		target := w.reportKeys.Key(e.address, e.dest.number)
		r.gossiper.RecordRetryAfter(w.now, target, wait)
		if r.siteWatch != nil {
			how := siteOutcome(out)
			if out == policy.ConnectFailed && w.now-c.sentAt >= w.scenario.ConnectTimeout {
				how = sites.NoResponse
			}
			r.siteWatch.RecordCall(w.now, c.sentAt, e.address, how)
		}
		switch out {
		case policy.Delivered, policy.Errored:
			r.gossiper.RecordCall(target, peers.Accepted)
		case policy.Rejected:
			r.gossiper.RecordCall(target, peers.Rejected)
		default:
			r.gossiper.RecordCall(target, peers.Failed)
		}
	}
	if k := c.conn; k != nil && !c.abandoned && r.incarnation == c.relayIncarnation && r.policy != nil && out != policy.ConnectionLost && out != policy.ConnectFailed {
		k.lastUsed = w.now
		r.idleConns[e] = append(r.idleConns[e], k)
	} else if k != nil && k.incarnation == e.incarnation {
		e.openConns--
	}
	c.conn = nil
	for i := range c.items {
		if it := &c.items[i]; !it.ended {
			w.attemptEnded(c, it, out, wait)
		}
	}
}

// siteOutcome is what the end of a call says of the site of its endpoint.
func siteOutcome(out policy.Outcome) sites.CallOutcome {
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

// attemptEnded tells a relay how an attempt ended.
func (w *simulation) attemptEnded(c *call, it *callItem, out policy.Outcome, wait time.Duration) {
	r, m, e := c.relay, it.message, c.endpoint
	it.ended = true
	if r.incarnation != c.relayIncarnation || r.policy == nil {
		return
	}
	if out != policy.Unsent {
		if c.openItems--; c.openItems == 0 {
			r.inFlight--
			if c.abandoned && c.conn != nil && c.conn.incarnation == e.incarnation {
				e.openConns--
				c.conn = nil
			}
		}
	}
	if m.inFlight == it {
		m.inFlight = nil
	}
	proved := out == policy.Rejected || out == policy.ConnectFailed || out == policy.RequestIncomplete || out == policy.Unsent
	if !proved {
		m.mayHaveRun = true
	}
	ok := out == policy.Delivered
	if ok && !m.completed {
		m.completed = true
		w.result.Relays[r.number].Served += m.request.class.valueAfter(w.now - m.request.submittedAt)
		delete(r.pending, m.id)
		w.complete(m.request, completedDelivered)
	}
	if !ok && out != policy.Unsent && (e.dest.activeOutages > 0 || e.dest.overloaded) {
		e.dest.failureSeenBy[r.number] = true
	}
	w.log(rules.Event{Kind: rules.AttemptEnded, Relay: r.number, Msg: m.id, Attempt: it.attempt, Call: c.id, Dest: e.dest.number, NotRun: proved, Delivered: ok, RetryAfter: wait, Route: e.routeNumber()})
	r.enqueue(policy.AttemptEnded{ID: m.id, Attempt: it.attempt, Endpoint: e.address, Outcome: out, Duration: w.now - c.sentAt, Final: m.completed, RetryAfter: wait, Report: c.reportFor(out)})
}

// finalAnswer is a relay's last word on a message.
func (r *relay) finalAnswer(id uint32, kind rules.Kind, advice time.Duration) {
	w, m := r.sim, r.pending[id]
	w.log(rules.Event{Kind: kind, Relay: r.number, Msg: id})
	if m == nil || m.completed {
		return
	}
	m.completed = true
	delete(r.pending, id)
	if kind == rules.Failed {
		w.complete(m.request, completedFailed)
		return
	}
	w.result.Refusals++
	w.retryOrReturn(m.request, advice)
}
