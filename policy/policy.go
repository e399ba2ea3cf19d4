// Package policy decides how a relay delivers messages to destinations that it doesn't control. It
// performs no I/O and reads no clock. Settings, events and actions are in api.go, the relay's state
// is in state.go. pacing.go decides how fast each route is called, and this file the rest.
package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Parameters that are neither set nor learned.
const (
	defaultCallInterval = 50 * time.Millisecond // of all relays, for a destination of unknown rate
	intervalGrowth      = 4                     // factor on the pacing interval per rejection or failure
	intervalDecay       = 0.95                  // factor on the pacing interval per success
	outageRun           = 3                     // unsuccessful calls in a row that make an outage
	outageShare         = 0.5                   // failing share of recent calls that makes an outage
	unspentLimitShare   = 0.75                  // remaining share above which a limit rejects nothing
	failureWeight       = 0.08                  // weight of the latest call in the failing share
	sampleWeight        = 0.3                   // weight of the latest call in the other shares
	limitRejectionRun   = 5                     // rejections in a row after which they count against a limit
	minSlotUse          = 0.5                   // messages per time slot from which a relay uses its slots
	spentLimitShare     = 0.02                  // remaining share below which a limit is used up
	notificationTime    = 50 * time.Millisecond // usual duration of an outcome notification
	lowShare            = 0.2                   // share of quick recoveries or accepted retries that is low
	latencyWeight       = 0.15                  // weight of the latest answer in the usual latency
	overdueLatencies    = 4                     // an answer is overdue after this many usual latencies
	minOverdueTicks     = 20                    // and after this many ticks
	coldOverloadShare   = 0.75                  // share of the overload factor that a cold route is sent
	slowLatencies       = 3                     // answers after this many usual latencies are slow
	attemptWindowShare  = 0.6                   // share of the repeat window for one attempt
	repeatWindowShare   = 0.95                  // share of the repeat window in which repeats are sent
	pendingFillShare    = 0.9                   // share of MaxPending above which messages are shed
	minValueShare       = 0.3                   // share of its value on arrival that a message must keep
	measureSpan         = 2 * time.Second       // span over which completed and served calls are counted
	rateSpans           = 4                     // spans over which the completion rate is averaged
	rateWindow          = 20 * time.Second      // over which demand and shortage are averaged
	newConnCost         = 0.01                  // cost of a new connection, as a share of all calls
	coldFleetFactor     = 1.3                   // factor on the fleet's allowance for a cold route
	fleetLifetime       = 4 * time.Second       // how long a fleet update holds
	fleetSpan           = 6 * time.Second / 5   // time that a fleet update covers: a reduction shows after it
	minFleetCalls       = 6                     // calls that a fleet update needs to show an outage
	sweepInterval       = 50 * time.Millisecond // longest time between steps while messages wait
)

// New returns a relay without endpoints. seed seeds its random numbers.
func New(s Settings, seed int64) (*Relay, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Relay{rng: rand.New(rand.NewSource(seed)), classes: map[string]*Class{},
		tenants: map[string]*tenant{}, kinds: map[string]*Kind{}, fees: map[string]float64{},
		messages: map[uint32]*message{}, keys: map[string]*orderingKey{},
		destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, sitePlan: noSitePlan{},
		connRefused: map[*Kind]Time{}, quickRecovery: map[*Kind]float64{}, retryAccepted: map[*Kind]float64{}}
	r.configure(s)
	return r, nil
}

// Reconfigure replaces the settings. After an error the previous settings remain in force.
func (r *Relay) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	r.configure(s)
	return nil
}

func (r *Relay) configure(s Settings) {
	r.cfg, r.minTarget, r.quota = s, s.Classes[0].TargetLatency, 0
	r.reuse.Max = s.IdleConnTimeout
	for _, c := range s.Classes {
		r.classes[c.Name] = &c
		r.minTarget, r.maxDeadline = min(r.minTarget, c.TargetLatency), max(r.maxDeadline, c.Deadline)
	}
	for _, m := range r.pending {
		m.class = r.classes[m.class.Name].underTerms(*m.class)
	}
	r.quickFailure, r.firstInterval = r.minTarget/time.Duration(s.MaxAttempts),
		r.minTarget/time.Duration(min(s.MaxAttempts, outageRun))
	for _, t := range s.Tenants {
		if r.tenants[t.Name] == nil {
			r.tenants[t.Name] = &tenant{tokens: math.Inf(1)}
		}
		r.tenants[t.Name].Tenant = t
		r.quota += t.Quota
	}
	clear(r.fees)
	dropUnlisted(r.tenants, s.Tenants)
	for _, k := range s.Kinds {
		if r.kinds[k.Name] == nil {
			kind := &Kind{}
			r.kinds[k.Name], r.quickRecovery[kind], r.retryAccepted[kind] = kind, outageShare, lowShare
		}
		*r.kinds[k.Name] = k
	}
	for _, z := range s.Zones {
		r.fees[z.Name] = z.Fee
	}
}

// Step processes the events and returns the actions to take at time now. A time before that of the
// previous step is taken as that time.
func (r *Relay) Step(now Time, events []Event) []Action {
	r.now, r.actions, r.steps = max(now, r.now), nil, r.steps+1
	if r.timerAt <= r.now {
		r.timerAt = 0
	}
	if !r.started {
		r.started, r.lastArrival, r.subscribeAt, r.lastShed, r.spanStart = true, r.now, r.now, r.now, r.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Submitted:
			r.submit(e)
		case AttemptEnded:
			r.attemptEnded(e)
		case Withdrawn:
			if m := r.messages[e.ID]; m != nil {
				r.complete(m)
			}
		case TimerFired:
			r.timerAt = 0 // the timer may have fired slightly early
		case Stopping:
			r.stopping = true
		case EndpointListUpdate:
			r.updateList(e)
		case FleetUpdate:
			r.updateFleet(e)
		case Subset:
			r.setSubset(e)
		case SitesUpdate:
			r.updateSites(e)
		}
	}
	if r.cfg.MustSubscribe && r.subscribeAt >= 0 && r.now >= r.subscribeAt {
		r.emit(Subscribe{})
		r.subscribeAt = -1
	}
	if span := r.now - r.spanStart; span >= measureSpan {
		r.completionRate, r.attemptsEnded, r.spanStart =
			r.completionRate+(float64(r.attemptsEnded)/span.Seconds()-r.completionRate)/rateSpans, 0, r.now
		maps.DeleteFunc(r.keys, func(_ string, k *orderingKey) bool {
			return len(k.queue) == 0 && k.quietUntil <= r.now
		})
	}
	r.shed()
	r.limitPending()
	r.dispatch()
	r.closeFreed()
	r.pending = slices.DeleteFunc(r.pending, func(m *message) bool { return m.answered && m.call == nil })
	r.setTimer()
	return r.actions
}

func (r *Relay) updateList(e EndpointListUpdate) {
	if e.Kind == ListUnavailable {
		// Exponential backoff with jitter, so that relays don't subscribe in step.
		base := max(r.cfg.MaxSubscribeInterval/16, 4*r.cfg.Tick)
		wait := min(base<<min(r.subscribeFailures, 4), max(r.cfg.MaxSubscribeInterval/2, base))
		r.subscribeFailures++
		r.subscribeAt = r.now + wait/2 + time.Duration(r.rng.Int63n(int64(wait/2)+1))
		return
	}
	if e.Kind != ListRestored {
		r.subscribeFailures = 0
	}
	if e.Kind != ListChanges {
		named := map[string]bool{}
		for _, entry := range e.Entries {
			named[entry.Address] = true
		}
		for address, ep := range r.endpoints {
			if !named[address] {
				ep.State = Removed
				r.updateSkipped(ep)
			}
		}
	}
	for _, entry := range e.Entries {
		r.updateEntry(entry)
	}
	for address, ep := range r.endpoints {
		if ep.State == Removed && ep.calls == 0 {
			delete(r.endpoints, address)
			ep.removeFromRoute(r.now)
		}
	}
}

func (r *Relay) updateEntry(entry Endpoint) {
	ep := r.endpoints[entry.Address]
	if ep == nil || ep.dest.id != entry.Destination {
		if ep != nil {
			ep.State = Removed
			r.updateSkipped(ep)
			ep.removeFromRoute(r.now)
		}
		if entry.State == Removed {
			return
		}
		d := r.destination(entry.Destination)
		// A random order among equal endpoints keeps relays from preferring the first listed.
		ep = &endpoint{dest: d, tieBreak: newConnCost * r.rng.Float64()}
		r.endpoints[entry.Address] = ep
		if k := r.kinds[entry.Kind]; k != nil {
			d.kind = k
		}
		if len(d.routes) == 0 || d.kind.SeparateRoutes {
			d.routes = append(d.routes, &route{dest: d, jitter: 1, spanStart: r.now, hash: slotHash(d, entry),
				blockedUntil: max(d.blockedUntil, d.blockedRoutes[entry.Address])})
		}
		ep.route = d.routes[len(d.routes)-1]
		ep.route.endpoints = append(ep.route.endpoints, ep)
	}
	ep.Endpoint = entry
	r.updateSkipped(ep)
	if r.cfg.RatesListed && entry.Rate > 0 && !ep.route.rateReported {
		ep.route.rate = entry.Rate
	}
}

func (r *Relay) submit(e Submitted) {
	c := r.classes[e.Class]
	if c == nil || r.messages[e.ID] != nil {
		return
	}
	d := r.destination(e.Destination)
	d.demand, d.lastArrival = r.addArrival(d.demand, d.lastArrival), r.now
	m := &message{id: e.ID, class: c.underTerms(e.Terms), dest: d, tenant: r.tenants[e.Tenant],
		recovered: e.Recovered, arrived: r.now, deadline: r.now + e.TimeLeft,
		targetAt: r.now + e.TimeLeft - c.Deadline + c.TargetLatency, attempts: e.Attempts,
		mayHaveRun: e.MayHaveRun, uncertainSince: r.now - e.UncertainAge}
	r.messages[m.id], r.pending = m, append(r.pending, m)
	if c.Ordered && e.Key != "" {
		k := r.keys[e.Key]
		if k == nil {
			k = &orderingKey{}
			r.keys[e.Key] = k
		}
		k.queue = append(k.queue, m)
		m.key = k
	}
	m.overQuota = r.takeQuota(m.tenant)
}

// takeQuota records an arrival and reports whether its tenant is over its quota: over its share of
// this relay's arrival rate or, if larger, of its fair part of the total quota.
func (r *Relay) takeQuota(t *tenant) bool {
	r.arrivalRate, r.lastArrival = r.addArrival(r.arrivalRate, r.lastArrival), r.now
	if t == nil {
		return len(r.tenants) > 0 // an unknown tenant has no quota
	}
	rate := max(r.quota/float64(r.cfg.Relays), r.arrivalRate) * t.Share
	t.tokens, t.updated = min(4*rate+4, t.tokens+rate*(r.now-t.updated).Seconds()), r.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// complete records that m needs no answer any more; it is forgotten when no attempt is in flight.
func (r *Relay) complete(m *message) {
	m.answered = true
	if m.call == nil {
		r.forget(m)
	}
}

// mayRefuse reports whether the client may safely retry: no attempt is in flight, and the message
// didn't run or is safe to repeat. A retry at another relay would ignore a keyed message's window.
// There it could be held, and run twice.
func (m *message) mayRefuse() bool {
	return m.call == nil && (!m.mayHaveRun || m.class.Effect == Safe)
}

// mayAttempt reports whether another attempt is allowed now.
func (r *Relay) mayAttempt(m *message) bool {
	if m.call != nil || m.answered || m.attempts >= r.sitePlan.MaxAttempts(m.dest.id, r.cfg.MaxAttempts) {
		return false
	}
	if !m.mayHaveRun || m.class.Effect == Safe {
		return true
	}
	return m.class.Effect == Keyed && r.now-m.uncertainSince < scale(m.class.RepeatWindow, repeatWindowShare)
}

// answer completes m: refused if its client may retry, else failed.
func (r *Relay) answer(m *message, retryAfter time.Duration) {
	if m.mayRefuse() {
		if !r.cfg.SendRetryAfter {
			retryAfter = 0
		}
		r.emit(Refuse{m.id, max(0, min(r.spreadRetryAfter(retryAfter), r.cfg.MaxRetryAfter))})
		if m.tenant != nil && !m.overQuota {
			m.tenant.tokens++ // its retry doesn't use the quota again
		}
	} else {
		r.emit(Fail{m.id})
	}
	m.key.quietAtLeastUntil(r.now + notificationTime)
	r.complete(m)
}

func (r *Relay) attemptEnded(e AttemptEnded) {
	m := r.messages[e.ID]
	if m == nil || m.call == nil || e.Attempt != m.attempts-1 {
		return
	}
	c := m.call
	m.call, r.attemptsEnded = nil, r.attemptsEnded+1
	if c.unfinished--; c.unfinished == 0 {
		r.calls--
		c.endpoint.calls--
		c.endpoint.lastUsed, r.freed = r.now, append(r.freed, c.endpoint)
		c.endpoint.dest.calls--
		c.endpoint.route.calls, r.inFlight = without(c.endpoint.route.calls, c), without(r.inFlight, c)
	}
	switch e.Outcome {
	case Errored, TimedOut, ConnectionLost, Cancelled:
		if !m.mayHaveRun {
			m.mayHaveRun, m.uncertainSince, m.uncertainZone = true, m.sentAt, c.endpoint.Zone
		}
		if e.Outcome != Errored && m.key != nil {
			m.key.quietUntil, m.key.quietFor = max(m.key.quietUntil, r.now+r.cfg.KeyQuietTime), m
		}
	}
	r.blockAfter(c, e)
	if !c.assessed && e.Outcome != Unsent {
		c.assessed = true
		r.assess(c, e)
	}
	switch {
	case e.Final || m.answered:
		r.complete(m)
	case !r.mayAttempt(m):
		r.answer(m, r.cfg.MaxRetryAfter)
	}
}

// blockAfter blocks the route for a Retry-After, and longer where the rejection shows an outage: a
// Retry-After longer than a rate limit needs or without a limit, or a second rejection in a row
// with most of the limit left. As a destination recovers cold, these blocks end spread out. A
// first rejection may come with a stale report: it blocks for the warm-up time at most. A
// destination that is shut rejects like one at its limit, and all that it rejected would otherwise
// return together as it opens.
func (r *Relay) blockAfter(c *call, e AttemptEnded) {
	rt, report := c.endpoint.route, e.Report
	unspent := e.Outcome == Rejected && report != nil &&
		(report.Remaining > unspentLimitShare || report.Limit == 0 && e.RetryAfter > 0)
	if e.RetryAfter <= 0 && !unspent {
		return
	}
	outage := e.RetryAfter > r.cfg.OverloadTime ||
		unspent && (report.Limit == 0 || rt.unsuccessful > 0 && c.sentAt >= rt.runStart)
	// Spreading keeps the messages rejected in one limit period from using up the next one at once.
	end, spread := r.now+e.RetryAfter, min(e.RetryAfter, seconds(1/r.fairShare(rt)))
	switch {
	case outage:
		spread = r.coldInterval(rt) / 2
	case unspent:
		spread = min(r.coldInterval(rt)/2, r.cfg.WarmUpTime)
	}
	r.block(rt, end, spread, outage)
}

// block blocks the route until end and a random part of spread; outage marks it as down.
func (r *Relay) block(rt *route, end Time, spread time.Duration, outage bool) {
	if end > rt.blockedUntil {
		rt.blockedUntil = end + scale(spread, r.rng.Float64())
	}
	if outage && rt.health != down {
		r.markDown(rt)
	}
}

// updateFleet takes in what all relays see of each route, since one relay may see few calls.
func (r *Relay) updateFleet(e FleetUpdate) {
	r.cfg.Relays = cmp.Or(e.Relays, r.cfg.Relays)
	for _, stats := range e.Routes {
		rt, all := r.routeOf(stats), stats.Accepted+stats.Rejected+stats.Failed
		if rt == nil {
			continue
		}
		rt.fleet, rt.fleetAt = stats, r.now
		if stats.RetryAfter > 0 && stats.Accepted == 0 { // no relay gets through, so it applies to all
			r.block(rt, r.now+stats.RetryAfter, r.coldInterval(rt)/2, true)
		}
		switch {
		case rt.health == down && stats.Accepted > 0:
			rt.unsuccessful = 0 // it recovered
			r.updateHealth(rt)
			// All relays learn it at once: spread their first calls over one interval.
			rt.lastCall, rt.jitter = r.now-scale(r.pacingInterval(rt), r.rng.Float64()), 1
		case rt.health != down && stats.Accepted == 0 && stats.Reporters != 1 &&
			stats.Failed > outageShare*all && r.now-rt.lastSuccess > fleetSpan &&
			(stats.Calls >= minFleetCalls || rt.failed > 0 && stats.Calls > 1 ||
				stats.Reporters > 2 || rt.lastSuccess == 0 && stats.Reporters > 1):
			// A relay that didn't see the outage would overload the cold route on its return.
			r.markDown(rt)
			rt.unsuccessful, rt.runStart = outageRun, r.now
		}
	}
}

// fleetIsFresh reports whether the latest fleet update about the route still holds.
func (r *Relay) fleetIsFresh(rt *route) bool {
	return rt.fleetAt > 0 && r.now-rt.fleetAt < fleetLifetime
}

// shed completes messages that are about to expire or have no attempts left, and refuses those that
// will lose too much of the value they had on arrival, over-quota ones first. In a shortage of
// calls, assumed to last half as long again, it also refuses those worth less than the delay that
// they cause for others. A message shed for lateness raises the minimum value for waiting at its
// destination, and successes lower it: messages that are never late enough would fill a lasting
// queue. With gossip, only classes that lateness never sheds have that minimum, and none under a
// plan for sites. Recovered messages get an attempt while they have time.
func (r *Relay) shed() {
	span := r.now - r.lastShed
	if r.lastShed = r.now; r.calls < r.cfg.MaxConcurrentCalls {
		span = -span
	} else {
		span = min(span, sweepInterval) // a step that came late doesn't prove a shortage
	}
	r.shortage = min(max(0, r.shortage+span), rateWindow)
	all := 0
	for _, m := range r.pending {
		if m.answered || m.call != nil {
			continue
		}
		if m.deadline-r.now <= 2*r.cfg.Tick || !r.mayAttempt(m) {
			m.dest.raiseMinValue(m, false)
			r.answer(m, r.cfg.MaxRetryAfter)
			continue
		}
		d := m.dest
		if d.countedStep != r.steps {
			d.countedStep, d.queued, d.expectedRate = r.steps, 0, r.expectedRate(d)
		}
		d.queued++
		all++
		var wait time.Duration
		if d.expectedRate > 0 { // the first message waits for the pacing interval only
			wait = max(0, d.freeAt-r.now) + seconds(float64(d.queued-1)/d.expectedRate)
		}
		bound := min(minValueShare*max(1, r.sitePlan.ShedPriority(m.class.Name)), 1-minValueShare)
		if r.shortage > 0 && r.completionRate > 0 {
			wait = max(wait, seconds(float64(all)/r.completionRate))
			bound = max(bound, (1-r.valueShareAt(m, m.targetAt+time.Second))*r.shortage.Seconds()/2)
		}
		value := r.valueShareAt(m, r.now+wait) / max(r.valueShareAt(m, m.arrived), 1e-9)
		if m.overQuota && wait > m.class.TargetLatency {
			value *= r.cfg.OverQuotaValue
		}
		late := value < min(bound, 1)
		minApplies := r.cfg.NoGossip || r.sitePlan == noSitePlan{} && m.class.LateValue > minValueShare
		low := minApplies && wait > 0 && m.class.Value*value < d.minValue
		if (late || low) && m.mayRefuse() && !m.owedAttempt() {
			if late || r.cfg.NoGossip {
				d.raiseMinValue(m, r.cfg.NoGossip)
			}
			r.answer(m, wait)
			d.queued--
			all--
		}
	}
}

// limitPending sheds messages before MaxPending is reached: by the plan for sites, over-quota ones
// first, then from the longest queue, then those of the lowest value. A full relay would reject
// messages for healthy destinations.
func (r *Relay) limitPending() {
	unanswered := 0
	for _, m := range r.pending {
		if !m.answered {
			unanswered++
		}
	}
	limit := max(1, int(float64(r.cfg.MaxPending)*pendingFillShare))
	for ; unanswered > limit; unanswered-- {
		var victim *message
		var best, least float64
		for _, m := range r.pending {
			if m.answered || m.call != nil || !m.mayRefuse() || m.owedAttempt() {
				continue
			}
			rank := float64(m.dest.queued) + r.sitePlan.ShedPriority(m.class.Name)*float64(2*r.cfg.MaxPending)
			value := m.class.Value * r.valueShareAt(m, r.now)
			if m.overQuota {
				rank += float64(r.cfg.MaxPending)
			}
			if victim == nil || rank > best || rank == best && value <= least {
				victim, best, least = m, rank, value
			}
		}
		if victim == nil {
			return
		}
		victim.dest.queued--
		r.answer(victim, r.cfg.MaxRetryAfter)
	}
}

// dispatch sends what may be sent now, in order of arrival over all destinations.
func (r *Relay) dispatch() {
	for i, m := range r.pending {
		if r.calls >= r.cfg.MaxConcurrentCalls {
			return
		}
		if !r.eligible(m) {
			continue
		}
		if ep := r.chooseEndpoint(m); ep != nil {
			batch, until := r.fillBatch(m, ep, r.pending[i+1:])
			r.send(ep, batch, until)
		}
	}
}

// eligible reports whether m may have an attempt now, whatever the state of its destination.
func (r *Relay) eligible(m *message) bool {
	if !r.mayAttempt(m) || r.stopping && m.class.Effect == Unsafe {
		return false
	}
	k := m.key
	return k == nil || k.queue[0] == m && (k.quietUntil <= r.now || k.quietFor == m)
}

// fillBatch adds waiting messages to m's call, up to the kind's MaxBatch, and returns when it must
// end. None may expire before the answer is due, since ending a call loses all its answers. If m
// would, others go without it: a paced call isn't spent on one message that is about to expire.
func (r *Relay) fillBatch(m *message, ep *endpoint, rest []*message) ([]*message, Time) {
	due := r.now + r.overdueAfter(ep.route)
	if ep.route.latency == 0 {
		due = r.now + r.firstInterval
	}
	batch, until := []*message{m}, m.deadline
	for _, o := range rest {
		if len(batch) >= m.dest.kind.MaxBatch {
			break
		}
		if o.dest != m.dest || o.deadline < due ||
			!r.eligible(o) || !r.maySendTo(o, ep) || !r.maySendOver(o, ep.route) {
			continue
		}
		if until < due {
			batch, until = nil, o.deadline
		}
		batch, until = append(batch, o), min(until, o.deadline)
	}
	if len(batch) < 2 {
		return []*message{m}, m.deadline
	}
	return batch, until
}

// staleConn reports whether a call was lost because its connection had been idle for too long.
func (r *Relay) staleConn(c *call, lost bool) bool { return r.reuse.RecordCall(r.now, c.idleFor, lost) }

// closeFreed closes freed connections outside the subset, or of a kind that recently refused one.
// Hundreds of relays that each keep an idle connection would fill an endpoint's connection table.
func (r *Relay) closeFreed() {
	for _, ep := range r.freed {
		at := r.connRefused[ep.dest.kind]
		if ep.calls == 0 && ep.lastUsed > 0 && (at > 0 && r.now-at < rateWindow || ep.outsideSubset) {
			r.emit(CloseIdle{ep.Address})
			ep.lastUsed = 0
		}
	}
	r.freed = r.freed[:0]
}

// maySendOver keeps unsafe messages from probing a route that may run them without an answer,
// until it has had no call for a while, which is short if no failed call may have run. Where no
// other messages come, nobody else would find out that the route is back.
func (r *Relay) maySendOver(m *message, rt *route) bool {
	probeAfter := r.cfg.OverloadTime
	if rt.mayHaveRun {
		probeAfter = rateWindow
	}
	return m.class.Effect != Unsafe || rt.health != down && !r.unresponsive(rt) || rt.failed == 0 ||
		r.now-rt.lastCall > probeAfter
}

// callLimit returns how many calls the route may have in flight: by default three quarters of all,
// half while it fails or is slow, a quarter in a shortage.
func (r *Relay) callLimit(rt *route) int {
	switch {
	case rt.health == down:
		return 1
	case rt.health == ramping || rt.failed > 0 || rt.slow() || r.unresponsive(rt):
		if r.shortage > 0 {
			return max(1, r.cfg.MaxConcurrentCalls/4)
		}
		return max(1, r.cfg.MaxConcurrentCalls/2)
	}
	if share := r.cfg.MaxDestinationShare; share > 0 {
		return max(1, int(float64(r.cfg.MaxConcurrentCalls)*share))
	}
	return max(1, r.cfg.MaxConcurrentCalls*3/4)
}

// unhealthy reports whether calls on the route are likely to stay in flight for long.
func (r *Relay) unhealthy(rt *route) bool {
	return rt.health == down || rt.failed > 0 || r.unresponsive(rt)
}

// unhealthyAtLimit reports whether unhealthy routes, this one among them, use half of all calls.
// With three or four concurrent calls, one to each of a few silent destinations would leave none
// for the others.
func (r *Relay) unhealthyAtLimit(rt *route) bool {
	if !r.unhealthy(rt) {
		return false
	}
	n := 0
	for _, c := range r.inFlight {
		if r.unhealthy(c.endpoint.route) {
			n++
		}
	}
	return n >= max(1, r.cfg.MaxConcurrentCalls/2)
}

// acceptsCall reports whether this relay may make a call on the route now.
func (r *Relay) acceptsCall(rt *route) bool {
	othersProbe := rt.fleet.OthersProbe && r.fleetIsFresh(rt) && r.now-rt.lastSuccess > fleetSpan
	return !othersProbe && r.now >= r.freeAt(rt) && len(rt.calls) < r.callLimit(rt) && !r.unhealthyAtLimit(rt)
}

// chooseEndpoint returns the endpoint for m, or nil if none may have a call now. A paced call isn't
// spent on a message that will expire before the usual answer.
func (r *Relay) chooseEndpoint(m *message) *endpoint {
	if m.dest.calls >= max(1, r.cfg.MaxConcurrentCalls*3/4) {
		return nil
	}
	var best *endpoint
	var bestCost float64
	for _, rt := range m.dest.routes {
		if !r.acceptsCall(rt) || !r.maySendOver(m, rt) || rt.interval > 0 && m.deadline-r.now < rt.latency {
			continue
		}
		for _, ep := range rt.endpoints {
			if ep.State != Listed || !r.maySendTo(m, ep) ||
				ep.connLimit > 0 && float64(ep.calls) >= ep.connLimit {
				continue
			}
			if cost := r.endpointCost(ep); best == nil || cost < bestCost {
				best, bestCost = ep, cost
			}
		}
	}
	return best
}

// endpointCost returns the cost of one more call to ep, as a share of all concurrent calls.
func (r *Relay) endpointCost(ep *endpoint) float64 {
	cost := float64(ep.calls) / float64(r.cfg.MaxConcurrentCalls)
	if ep.failures > 1 && r.now-ep.lastFailure < 2*time.Second<<min(ep.failures, 4) {
		cost += float64(min(ep.failures, 9))
	}
	if ep.dest.kind.SeparateRoutes {
		cost += 10 * r.fees[ep.Zone]
	}
	if ep.outsideSubset { // as much as two more calls, for when the subset is unhealthy or at its limits
		cost += 2/float64(r.cfg.MaxConcurrentCalls) + 3*newConnCost
	}
	if ep.calls == 0 && !(r.hasWarmConn(ep) && r.now-ep.lastUsed < r.reuse.Limit(r.now)) {
		cost += newConnCost
	}
	return cost + ep.tieBreak + r.sitePlan.EndpointCost(ep.Zone)
}

func (r *Relay) send(ep *endpoint, batch []*message, until Time) {
	rt := ep.route
	c := &call{endpoint: ep, sentAt: r.now, unfinished: len(batch),
		afterRejection: rt.unsuccessful > 0 && r.now-rt.rejectedAt < r.minTarget}
	rt.calls, r.inFlight = append(rt.calls, c), append(r.inFlight, c)
	rt.lastCall, rt.jitter = r.now, 0.95+0.1*r.rng.Float64()
	if len(batch) < rt.dest.kind.MaxBatch {
		rt.notBefore = r.now + 1 // another Send in this step would share the call
	}
	if idle := r.now - ep.lastUsed; ep.calls == 0 && r.hasWarmConn(ep) {
		if limit := r.reuse.Limit(r.now); idle < limit &&
			(idle < limit/2 || batch[0].class.Effect != Unsafe) {
			c.idleFor = idle
		} else {
			r.emit(CloseIdle{ep.Address})
		}
	}
	r.sitePlan.CallSent(ep.dest.id, ep.Zone)
	r.calls++
	ep.calls++
	ep.dest.calls++
	ep.lastUsed = r.now
	for _, m := range batch {
		m.call, m.sentAt = c, r.now
		m.attempts++
		r.emit(Send{m.id, ep.Address, min(until-r.now, r.attemptTimeout(m, rt))})
	}
}

// attemptTimeout returns how long an attempt may take. A repeatable message keeps time in its
// repeat window for another one. One that a timeout would lose waits until its deadline, or, while
// half of all calls are in use, as long as all but unusually slow messages take. A lost answer
// would otherwise hold a call for the client's whole patience.
func (r *Relay) attemptTimeout(m *message, rt *route) time.Duration {
	left, overdue := m.deadline-r.now, r.overdueAfter(rt)
	switch {
	case r.shortage > measureSpan:
		overdue -= overdue / 3 // lost answers may be using up all calls
	case r.calls < r.cfg.MaxConcurrentCalls/2:
		overdue += overdue / 2 // lets slow messages complete in one attempt
	}
	timeout, repeatable := overdue, m.class.Effect != Unsafe
	if m.mayHaveRun { // it may be slow to process
		timeout *= 2
	}
	if m.class.Effect == Keyed {
		since := time.Duration(0)
		if m.mayHaveRun {
			since = r.now - m.uncertainSince
		}
		timeout = min(timeout, scale(m.class.RepeatWindow, attemptWindowShare))
		repeatable = overdue <= scale(m.class.RepeatWindow, attemptWindowShare) &&
			since+timeout <= scale(m.class.RepeatWindow, repeatWindowShare)
	}
	switch {
	case repeatable:
		return min(left, timeout)
	case r.calls >= r.cfg.MaxConcurrentCalls/2:
		return min(left, max(m.class.TargetLatency-r.shortage, 2*overdue))
	}
	return left
}

// setTimer asks for the next step: when pacing, a Retry-After, a quiet time or a deadline ends.
func (r *Relay) setTimer() {
	at := Time(math.MaxInt64)
	if r.cfg.MustSubscribe && r.subscribeAt >= 0 {
		at = r.subscribeAt
	}
	for _, m := range r.pending {
		if m.answered || m.call != nil {
			continue
		}
		at = min(at, m.deadline-2*r.cfg.Tick, r.now+sweepInterval)
		for _, rt := range m.dest.routes {
			if free := r.freeAt(rt); free > r.now {
				at = min(at, free)
			}
		}
		if m.key != nil && m.key.quietUntil > r.now {
			at = min(at, m.key.quietUntil)
		}
	}
	if at == math.MaxInt64 {
		return
	}
	at = max(at, r.now+r.cfg.Tick)
	if r.timerAt == 0 || at < r.timerAt {
		r.timerAt = at
		r.emit(SetTimer{at - r.now})
	}
}
