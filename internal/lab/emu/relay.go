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

// PolicyEngine decides what a relay does. Production relays use policy.Relay.
type PolicyEngine interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
}

// PolicyFactory creates the policy engine of one incarnation of a relay.
type PolicyFactory func(settings policy.Settings, seed int64) (PolicyEngine, error)

// DefaultPolicy creates the policy engine of production relays.
func DefaultPolicy(settings policy.Settings, seed int64) (PolicyEngine, error) {
	return policy.New(settings, seed)
}

// relay is the state of a relay.
type relay struct {
	sim              *simulation
	number           int
	incarnation      int
	diedAt           time.Duration
	policy           PolicyEngine   // nil: the relay is down
	inbox            []policy.Event // of the next step
	stepDue          bool           // the next step is scheduled
	stalledUntil     time.Duration
	pending          map[uint32]*message // by ID
	inFlight         int                 // calls
	timerID          uint64              // of the last timer that the policy set
	idleConns        map[*endpoint][]*conn
	leavingEndpoints map[int]policy.EndpointState
	reportedCallers  int // relays that may be calling, as last reported to the policy
	gossiper         *peers.Gossiper
	siteWatch        *sites.Watch // nil: no plan for sites
}

// conn is a connection from a relay to an endpoint.
type conn struct {
	incarnation int // of the endpoint
	lastUsed    time.Duration
}

// message is a request that a relay has accepted.
type message struct {
	id          uint32
	request     *request
	relay       *relay
	incarnation int
	completed   bool
	attempts    int
	inFlight    *callItem // the current attempt; nil: none
	mayHaveRun  bool
}

// callItem is an attempt: one message of a call.
type callItem struct {
	message     *message
	attempt     int
	timeout     time.Duration
	ended       bool
	workSeconds float64
}

// call is a call from a relay to an endpoint.
type call struct {
	id                  uint64
	relay               *relay
	relayIncarnation    int
	endpoint            *endpoint
	items               []callItem
	openItems           int // that have not ended
	sentAt              time.Duration
	conn                *conn
	endpointIncarnation int  // when the connection was opened
	abandoned           bool // the relay has closed the connection after a timeout
	answered            bool
	workSeconds         float64
	limitReport         *policy.LimitReport // when the call reached its endpoint
}

// reportFor returns the limit report that the relay receives with an outcome; nil without an
// answer.
func (c *call) reportFor(outcome policy.Outcome) *policy.LimitReport {
	switch outcome {
	case policy.Delivered, policy.Errored, policy.Rejected:
		return c.limitReport
	}
	return nil
}

// start starts an incarnation of a relay.
func (r *relay) start() {
	r.incarnation++
	settings := r.sim.scenario.Settings()
	settings.TimeSlots = pacing.New(r.number, r.sim.scenario.Relays)
	policyEngine, err := r.sim.newPolicy(settings,
		int64(newRand(r.sim.scenario.Seed, "module", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
	if err != nil {
		r.sim.recordError(fmt.Sprintf("relay %d: creating the policy engine: %v", r.number, err))
		return
	}
	r.policy, r.pending, r.inFlight, r.idleConns, r.inbox, r.stepDue = policyEngine, map[uint32]*message{}, 0,
		map[*endpoint][]*conn{}, nil, false
	r.leavingEndpoints = map[int]policy.EndpointState{}
	r.gossiper = peers.New(r.number, r.sim.gossipFleetSize(),
		int64(newRand(r.sim.scenario.Seed, "notes", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
	if r.reportedCallers = 0; r.sim.scenario.Membership {
		r.gossiper.EnableMembership(r.sim.scenario.ZoneOf(r.number),
			int64(newRand(r.sim.scenario.Seed, "members", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
		r.sim.result.Members = append(r.sim.result.Members, MemberChange{At: r.sim.now, By: r.number, Number: r.number,
			To: "started"})
	}
	r.gossiper.EnableChoices(r.sim.scenario.Choices)
	if r.gossiper.Active() {
		r.scheduleGossip(r.sim.now + r.gossiper.NextTick())
	}
	if r.siteWatch = nil; r.sim.scenario.Sites != nil {
		r.siteWatch = sites.NewWatch(r.sim.scenario.Sites, zoneName(r.sim.scenario.ZoneOf(r.number)),
			int64(newRand(r.sim.scenario.Seed, "sites", uint64(r.number), uint64(r.incarnation)).Uint64()>>1))
		r.enqueue(policy.SitesUpdate{Plan: r.siteWatch})
		r.scheduleSiteCheck(r.sim.now +
			time.Duration(newRand(r.sim.scenario.Seed, "look", uint64(r.number)).Int64N(int64(siteCheckInterval))))
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

// applyEndpointList passes an update of the endpoint list to the policy, the gossiper and the site
// watch.
func (r *relay) applyEndpointList(update policy.EndpointListUpdate) {
	r.gossiper.UpdateEndpoints(update)
	if r.siteWatch != nil {
		r.siteWatch.ApplyEndpointList(update)
	}
	r.enqueue(update)
}

// wallClock returns a relay's wall clock, which is up to two seconds off.
func (sim *simulation) wallClock(relay int) time.Time {
	skew := scaleDuration(4*time.Second, newRand(sim.scenario.Seed, "clock", uint64(relay)).Float64()) - 2*time.Second
	return time.UnixMilli(1_000_000_000_000).Add(sim.now + skew)
}

// listEntry returns the entry of an endpoint in the endpoint list.
func (r *relay) listEntry(e *endpoint, state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{
		Address:     e.address,
		Destination: e.dest.number,
		Kind:        e.dest.kind.Name,
		Zone:        e.zone,
		State:       state,
		Rate:        1,
	}
}

// scheduleGossip schedules the next tick of the gossiper, which schedules the one after it.
func (r *relay) scheduleGossip(at time.Duration) {
	sim, incarnation := r.sim, r.incarnation
	sim.schedule(max(at, sim.now), func() {
		if r.incarnation != incarnation || r.policy == nil {
			return
		}
		if sim.now < r.stalledUntil {
			r.scheduleGossip(r.stalledUntil)
			return
		}
		datagrams, roundEnded := r.gossiper.Tick(sim.now)
		r.sendGossip(datagrams)
		r.recordMemberChanges()
		if roundEnded {
			update := policy.FleetUpdate{Routes: r.gossiper.FleetAverages(sim.now, sim.wallClock(r.number)),
				Relays: r.gossiper.PossibleCallers(sim.now)}
			sim.reportKeys.ResolveEndpoints(update.Routes)
			if r.siteWatch != nil {
				r.siteWatch.ApplyFleetStats(sim.now, update.Routes)
			}
			if len(update.Routes) > 0 || update.Relays != r.reportedCallers {
				r.reportedCallers = update.Relays
				r.enqueue(update)
			}
			for _, s := range r.gossiper.ChangedSubsets(sim.now) {
				r.enqueue(s)
			}
		}
		r.scheduleGossip(r.gossiper.NextTick())
	})
}

// siteCheckInterval is the time between two updates of the site watch.
const siteCheckInterval = 250 * time.Millisecond

// scheduleSiteCheck schedules an update of the site watch, which schedules the next one.
func (r *relay) scheduleSiteCheck(at time.Duration) {
	sim, incarnation := r.sim, r.incarnation
	sim.schedule(max(at, sim.now), func() {
		if r.incarnation != incarnation || r.policy == nil {
			return
		}
		if sim.now >= r.stalledUntil {
			if memberList := r.gossiper.Members(); memberList != nil {
				relays, alive := map[string]int{}, map[string]int{}
				for _, other := range sim.relays {
					if other != r {
						zone := zoneName(sim.scenario.ZoneOf(other.number))
						if relays[zone]++; memberList.State(other.number) < members.Dead {
							alive[zone]++
						}
					}
				}
				for z, n := range relays {
					r.siteWatch.SetRelayCounts(z, n, alive[z])
				}
			}
			r.exchangeSiteReports()
			r.siteWatch.Tick(sim.now)
			if changes := r.siteWatch.Changes(); len(changes) > 0 {
				for _, c := range changes {
					sim.result.Sites = append(sim.result.Sites,
						SiteChange{sim.now, r.number, c.Zone, c.From.String(), c.To.String(), c.Why})
					r.enqueue(c.PolicyUpdate(r.siteWatch))
				}
			}
		}
		r.scheduleSiteCheck(max(sim.now+siteCheckInterval, r.stalledUntil))
	})
}

// exchangeSiteReports passes the site reports of other relays to the site watch and publishes its
// own.
func (r *relay) exchangeSiteReports() {
	type zoneReports struct {
		lost   int
		levels []float64
	}
	reports := make([]zoneReports, max(1, r.sim.scenario.Zones))
	r.gossiper.EachSiteReport(r.sim.now, func(report peers.SiteReport) {
		if report.Zone >= len(reports) {
			return
		} else if report.LoadFraction == 0 {
			reports[report.Zone].lost++
		} else {
			reports[report.Zone].levels = append(reports[report.Zone].levels, report.LoadFraction)
		}
	})
	var own []peers.SiteReport
	for z, s := range reports {
		r.siteWatch.SetPeerReports(zoneName(z), s.lost, s.levels)
		if level, ok := r.siteWatch.OwnReport(zoneName(z)); ok {
			own = append(own, peers.SiteReport{Zone: z, LoadFraction: level})
		}
	}
	r.gossiper.SetSiteReports(own)
}

// zoneName returns the name of a zone of relays, counted from 0.
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", 1+zone) }

// stop ends an incarnation. Clients submit its pending messages again, but unsafe ones that may
// have run fail.
func (r *relay) stop() {
	if r.policy == nil {
		return
	}
	sim := r.sim
	sim.log(rules.Event{Kind: rules.RelayDied, Relay: r.number})
	r.policy, r.diedAt = nil, sim.now
	for id := uint32(0); len(r.pending) > 0 && id <= sim.lastMessageID; id++ { // in order of IDs, to be deterministic
		msg := r.pending[id]
		if msg == nil {
			continue
		}
		delete(r.pending, id)
		msg.completed = true
		if msg.inFlight != nil {
			msg.mayHaveRun = true
		}
		if !msg.mayHaveRun || msg.request.class.Effect != policy.Unsafe {
			sim.scheduleAfter(scaleDuration(sim.scenario.ResubmitDelay, 0.8+0.4*sim.clientRand.Float64()),
				func() { sim.submit(msg.request) })
		} else {
			sim.complete(msg.request, completedFailed)
		}
	}
	for _, d := range sim.dests {
		delete(d.failureSeenBy, r.number)
		for _, e := range d.endpoints {
			e.openConns -= len(r.idleConns[e])
		}
	}
}

// enqueue adds an event to the relay's next step and schedules that step.
func (r *relay) enqueue(event policy.Event) {
	r.inbox = append(r.inbox, event)
	if r.stepDue {
		return
	}
	r.stepDue = true
	incarnation := r.incarnation
	tick := r.sim.scenario.Tick
	at := max((r.sim.now+tick-1)/tick*tick, r.stalledUntil)
	r.sim.schedule(at, func() {
		if r.incarnation == incarnation && r.policy != nil {
			r.step()
		}
	})
}

// step passes the queued events to the policy and carries out its actions. A policy that panics
// crashes its relay for a second, and the panic is recorded.
func (r *relay) step() {
	events := r.inbox
	r.inbox, r.stepDue = nil, false
	actions, ok := r.runPolicy(events)
	if !ok {
		r.stop()
		incarnation := r.incarnation
		r.sim.scheduleAfter(time.Second, func() {
			if r.incarnation == incarnation && r.policy == nil {
				r.start()
			}
		})
		return
	}
	r.sim.result.Steps++
	var openCalls []*call // of this step; further messages may be added to them
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			openCalls = r.planSend(a, openCalls)
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
			timerID, incarnation := r.timerID, r.incarnation
			r.sim.scheduleAfter(max(a.Delay, r.sim.scenario.Tick), func() {
				if r.timerID == timerID && r.incarnation == incarnation && r.policy != nil {
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
	for _, c := range openCalls {
		r.sim.sendCall(c)
	}
}

// withdrawnIn reports whether these events withdraw a message. A final answer of the same step is
// dropped, as production relays drop answers to messages that are not pending any more; one of a
// later step violates a rule.
func withdrawnIn(events []policy.Event, id uint32) bool {
	return slices.Contains(events, policy.Event(policy.Withdrawn{ID: id}))
}

// runPolicy runs a step of the policy; ok is false if it panicked.
func (r *relay) runPolicy(events []policy.Event) (actions []policy.Action, ok bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			r.sim.recordError(fmt.Sprintf("%v: the policy of relay %d panics: %v", r.sim.now, r.number, recovered))
			actions, ok = nil, false
		}
	}()
	return r.policy.Step(r.sim.now, events), true
}

// planSend adds a message to an open call of the step or to a new one. A message that may not be
// sent ends at once as policy.Unsent.
func (r *relay) planSend(send policy.Send, openCalls []*call) []*call {
	sim, msg, e := r.sim, r.pending[send.ID], r.sim.byAddress[send.Endpoint]
	if msg == nil || e == nil {
		sim.recordError(fmt.Sprintf("%v: relay %d sends message %d to %q, but the message or the endpoint is unknown",
			sim.now, r.number, send.ID, send.Endpoint))
		return openCalls
	}
	msg.attempts++
	item := callItem{message: msg, attempt: msg.attempts - 1, timeout: send.Timeout}
	if item.timeout <= 0 || sim.now+item.timeout > msg.request.deadline {
		item.timeout = msg.request.deadline - sim.now
	}
	var c *call
	for _, other := range openCalls {
		if other.endpoint == e && len(other.items) < e.dest.kind.MaxBatch {
			c = other
		}
	}
	newCall := c == nil
	if newCall {
		sim.lastCallID++
		c = &call{id: sim.lastCallID, relay: r, relayIncarnation: r.incarnation, endpoint: e, sentAt: sim.now}
	}
	unsendable := newCall && r.inFlight >= sim.scenario.MaxConcurrentCalls || msg.completed || msg.inFlight != nil ||
		msg.attempts > sim.scenario.MaxAttempts
	event := rules.Event{
		Kind:     rules.Sent,
		Relay:    r.number,
		Msg:      msg.id,
		Attempt:  item.attempt,
		Call:     c.id,
		Dest:     e.dest.number,
		Endpoint: e.number,
		Route:    e.routeNumber(),
	}
	if unsendable {
		event.Call = 0 // there is no call
	}
	if sim.log(event); unsendable {
		sim.attemptEnded(c, &item, policy.Unsent, 0)
		return openCalls
	}
	if newCall {
		r.inFlight++
		openCalls = append(openCalls, c)
	}
	c.items = append(c.items, item)
	c.openItems++
	msg.request.attempts++
	return openCalls
}

// sendCall sends a call over an idle connection or a new one.
func (sim *simulation) sendCall(c *call) {
	r, e := c.relay, c.endpoint
	sim.result.Calls++
	if e.dest.activeOutages > 0 || e.dest.overloaded {
		sim.result.Probes++
	}
	sim.result.Dests[e.dest.number].Calls++
	for i := range c.items {
		item := &c.items[i]
		item.message.inFlight = item
		sim.scheduleAfter(item.timeout, func() {
			if !item.ended {
				if c.abandoned = true; r.siteWatch != nil && r.incarnation == c.relayIncarnation && r.policy != nil {
					r.siteWatch.RecordCall(sim.now, c.sentAt, e.address, sites.NoResponse)
				}
				sim.attemptEnded(c, item, policy.TimedOut, 0)
			}
		})
	}
	delay := sim.drawDelay(sim.scenario.RTT / 2)
	for n := len(r.idleConns[e]); n > 0; n = len(r.idleConns[e]) {
		idle := r.idleConns[e][n-1]
		r.idleConns[e] = r.idleConns[e][:n-1]
		if sim.now-idle.lastUsed >= sim.scenario.IdleTimeout ||
			idle.incarnation != e.incarnation && e.health != unresponsive {
			if idle.incarnation == e.incarnation {
				e.openConns--
			}
			continue // closed
		}
		c.conn, c.endpointIncarnation = idle, idle.incarnation
		if sim.reaches(r, e) { // else it times out
			sim.scheduleAfter(delay, func() { sim.callArrived(c) })
		}
		return
	}
	sim.result.Connections++
	c.endpointIncarnation = e.incarnation
	atConnLimit := e.spec.MaxConns > 0 && e.openConns >= e.spec.MaxConns
	switch {
	case e.removed || e.health == crashed || atConnLimit:
		sim.scheduleAfter(2*delay, func() { sim.completeCall(c, policy.ConnectFailed, 0) })
	case e.health == unresponsive || !sim.reaches(r, e):
		sim.scheduleAfter(sim.scenario.ConnectTimeout, func() { sim.completeCall(c, policy.ConnectFailed, 0) })
	default:
		e.openConns++
		c.conn = &conn{incarnation: e.incarnation}
		sim.scheduleAfter(delay+scaleDuration(sim.scenario.RTT, sim.scenario.HandshakeRTTs), func() { sim.callArrived(c) })
	}
}

// sendAnswer sends an endpoint's answer to a call. Only the first answer counts.
func (sim *simulation) sendAnswer(c *call, outcome policy.Outcome, retryAfter time.Duration) {
	if c.answered {
		return
	}
	c.answered = true
	sentAt := sim.now
	sim.scheduleAfter(sim.drawDelay(sim.scenario.RTT/2), func() {
		if !sim.reaches(c.relay, c.endpoint) {
			return // lost; the call may have run
		}
		if retryAfter > 0 { // it counts from when it was sent
			retryAfter = max(retryAfter-(sim.now-sentAt), time.Millisecond)
		}
		sim.completeCall(c, outcome, retryAfter)
	})
}

// completeCall ends all open attempts of a call and returns its connection to the idle ones.
func (sim *simulation) completeCall(c *call, outcome policy.Outcome, retryAfter time.Duration) {
	r, e := c.relay, c.endpoint
	c.answered = true
	if r.incarnation == c.relayIncarnation && r.policy != nil {
		reportKey := sim.reportKeys.Key(e.address, e.dest.number)
		r.gossiper.RecordRetryAfter(sim.now, reportKey, retryAfter)
		if r.siteWatch != nil {
			siteResult := siteOutcome(outcome)
			if outcome == policy.ConnectFailed && sim.now-c.sentAt >= sim.scenario.ConnectTimeout {
				siteResult = sites.NoResponse
			}
			r.siteWatch.RecordCall(sim.now, c.sentAt, e.address, siteResult)
		}
		switch outcome {
		case policy.Delivered, policy.Errored:
			r.gossiper.RecordCall(reportKey, peers.Accepted)
		case policy.Rejected:
			r.gossiper.RecordCall(reportKey, peers.Rejected)
		default:
			r.gossiper.RecordCall(reportKey, peers.Failed)
		}
	}
	if used := c.conn; used != nil && !c.abandoned && r.incarnation == c.relayIncarnation && r.policy != nil &&
		outcome != policy.ConnectionLost && outcome != policy.ConnectFailed {
		used.lastUsed = sim.now
		r.idleConns[e] = append(r.idleConns[e], used)
	} else if used != nil && used.incarnation == e.incarnation {
		e.openConns--
	}
	c.conn = nil
	for i := range c.items {
		if item := &c.items[i]; !item.ended {
			sim.attemptEnded(c, item, outcome, retryAfter)
		}
	}
}

// siteOutcome converts the outcome of a call for the site watch.
func siteOutcome(outcome policy.Outcome) sites.CallOutcome {
	switch outcome {
	case policy.Delivered, policy.Errored:
		return sites.Accepted
	case policy.Rejected:
		return sites.Rejected
	case policy.TimedOut:
		return sites.NoResponse
	}
	return sites.Failed
}

// attemptEnded records how an attempt ended and reports it to the relay.
func (sim *simulation) attemptEnded(c *call, item *callItem, outcome policy.Outcome, retryAfter time.Duration) {
	r, msg, e := c.relay, item.message, c.endpoint
	item.ended = true
	if r.incarnation != c.relayIncarnation || r.policy == nil {
		return
	}
	if outcome != policy.Unsent {
		if c.openItems--; c.openItems == 0 {
			r.inFlight--
			if c.abandoned && c.conn != nil && c.conn.incarnation == e.incarnation {
				e.openConns--
				c.conn = nil
			}
		}
	}
	if msg.inFlight == item {
		msg.inFlight = nil
	}
	notRun := outcome == policy.Rejected || outcome == policy.ConnectFailed || outcome == policy.RequestIncomplete ||
		outcome == policy.Unsent
	if !notRun {
		msg.mayHaveRun = true
	}
	delivered := outcome == policy.Delivered
	if delivered && !msg.completed {
		msg.completed = true
		sim.result.Relays[r.number].Served += msg.request.class.valueAfter(sim.now - msg.request.submittedAt)
		delete(r.pending, msg.id)
		sim.complete(msg.request, completedDelivered)
	}
	if !delivered && outcome != policy.Unsent && (e.dest.activeOutages > 0 || e.dest.overloaded) {
		e.dest.failureSeenBy[r.number] = true
	}
	sim.log(rules.Event{
		Kind:       rules.AttemptEnded,
		Relay:      r.number,
		Msg:        msg.id,
		Attempt:    item.attempt,
		Call:       c.id,
		Dest:       e.dest.number,
		NotRun:     notRun,
		Delivered:  delivered,
		RetryAfter: retryAfter,
		Route:      e.routeNumber(),
	})
	r.enqueue(policy.AttemptEnded{
		ID:         msg.id,
		Attempt:    item.attempt,
		Endpoint:   e.address,
		Outcome:    outcome,
		Duration:   sim.now - c.sentAt,
		Final:      msg.completed,
		RetryAfter: retryAfter,
		Report:     c.reportFor(outcome),
	})
}

// finalAnswer handles a relay's final answer to a message.
func (r *relay) finalAnswer(id uint32, kind rules.Kind, retryAfter time.Duration) {
	sim, msg := r.sim, r.pending[id]
	sim.log(rules.Event{Kind: kind, Relay: r.number, Msg: id})
	if msg == nil || msg.completed {
		return
	}
	msg.completed = true
	delete(r.pending, id)
	if kind == rules.Failed {
		sim.complete(msg.request, completedFailed)
		return
	}
	sim.result.Refusals++
	sim.retryOrReturn(msg.request, retryAfter)
}
