// Package policy decides how a relay hands messages on to destinations that nobody here controls.
// The types, events and actions that it speaks in are in api.go, what it keeps in memory is in state.go;
// every decision is in this file.
package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Open values of the design. Everything else is derived from the settings or learned.
const (
	defaultSpacing = 50 * time.Millisecond // spacing of a destination that neither is listed nor has served
	growth         = 4                     // a further refusal or failure lengthens the slot so many times
	cutPerSuccess  = 0.95                  // a success cuts the slot by a twentieth
	outageRun      = 3                     // calls failed in a row that make an outage
	outageShare    = 0.5                   // failing share of recent calls that makes one
	unspentShare   = 0.75                  // a limit of which so much is left was not what refused a call
	shareWeight    = 0.08                  // weight of the latest call in that share
	lossWeight     = 0.3                   // weight of the latest call in the share lost on idle ones
	spentRun       = 5                     // refusals in a row by which refused calls use up a limit
	usedTurns      = 0.5                   // messages for each turn of its own that a sender has to have
	spentShare     = 0.02                  // a limit of which only so much is left is spent
	noticeTime     = 50 * time.Millisecond // until a notice is answered, and its message is over, as a rule
	downShare      = 0.2                   // failed connections answered soon: fewer tell of outages
	latencyWeight  = 0.15                  // weight of the latest answer in the usual latency
	doubtLatencies = 4                     // an answer this many usual latencies late raises doubt
	leastOverdue   = 20                    // ticks
	coldBoost      = 0.75                  // part of the told overload factor that a cold line is sent
	slowLatencies  = 3                     // answers this many times the usual latency are slow
	windowPart     = 0.6                   // part of a keyed window that an attempt may use up
	sendMargin     = 0.95                  // part of a keyed window in which a repeat is still sent
	holdPart       = 0.9                   // part of the hold that may fill before some give way
	worthWhile     = 0.3                   // part of its worth on arrival that a message must keep
	learnSpan      = 2 * time.Second       // span over which served calls are counted
	paceSpans      = 4                     // such spans over which the pace of all calls is averaged
	rateMemory     = 20 * time.Second      // over which a relay averages its own traffic and shortage
	unusedCost     = 0.01                  // of a call to an endpoint without connections, in calls out
	coldNews       = 1.3                   // times what the news allow a cold line, as far as it is warm
	newsLife       = 4 * time.Second       // for how long the fleet's news are good for
	newsSpan       = 6 * time.Second / 5   // over which they look back: a cut shows after it
	newsCalls      = 6                     // calls that tell something
	sweepEvery     = 50 * time.Millisecond // how often a relay that holds messages looks at them
)

// New returns a relay that knows nothing yet. seed feeds its random numbers.
func New(s Settings, seed int64) (*Relay, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Relay{rng: rand.New(rand.NewSource(seed)), classes: map[string]*Class{},
		tenants: map[string]*tenant{}, kinds: map[string]*Kind{}, fees: map[string]float64{},
		msgs: map[uint32]*message{}, keys: map[string]*key{}, dests: map[int]*destination{},
		eps:   map[string]*endpoint{},
		reach: anywhere{}, noConn: map[*Kind]Time{}, soon: map[*Kind]float64{}, again: map[*Kind]float64{}}
	r.configure(s)
	return r, nil
}

// Reconfigure puts new settings in force; what is held, out and learned stays.
func (r *Relay) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	r.configure(s)
	return nil
}

// configure takes settings over: destinations keep their kinds, and messages what they were taken on under.
func (r *Relay) configure(s Settings) {
	r.set, r.aim, r.quota = s, s.Classes[0].TargetLatency, 0
	r.idle.Max = s.IdleConnTimeout
	for _, c := range s.Classes {
		r.classes[c.Name] = &c
		r.aim, r.patience = min(r.aim, c.TargetLatency), max(r.patience, c.Deadline)
	}
	for _, m := range r.held {
		m.class = r.classes[m.class.Name].under(*m.class)
	}
	r.atOnce, r.turn = r.aim/time.Duration(s.MaxAttempts), r.aim/time.Duration(min(s.MaxAttempts, outageRun))
	for _, t := range s.Tenants {
		if r.tenants[t.Name] == nil {
			r.tenants[t.Name] = &tenant{tokens: math.Inf(1)}
		}
		r.tenants[t.Name].Tenant = t
		r.quota += t.Quota
	}
	clear(r.fees)
	unlisted(r.tenants, s.Tenants)
	for _, k := range s.Kinds {
		if r.kinds[k.Name] == nil {
			kind := &Kind{}
			r.kinds[k.Name], r.soon[kind], r.again[kind] = kind, outageShare, downShare
		}
		*r.kinds[k.Name] = k
	}
	for _, z := range s.Zones {
		r.fees[z.Name] = z.Fee
	}
}

// Step takes what has happened by now and returns what to do. All events are taken in first.
func (r *Relay) Step(now Time, events []Event) []Action {
	r.now, r.acts, r.steps = max(now, r.now), nil, r.steps+1
	if r.wakeAt <= r.now {
		r.wakeAt = 0
	}
	if !r.booted {
		r.booted, r.lastIn, r.askAt, r.shedAt, r.paceAt = true, r.now, r.now, r.now, r.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Submitted:
			r.arrive(e)
		case AttemptEnded:
			r.ended(e)
		case Withdrawn:
			if m := r.msgs[e.ID]; m != nil {
				r.finish(m)
			}
		case TimerFired:
			r.wakeAt = 0 // Risk: a timer that fires a little early would be the last one
		case Stopping:
			r.stopping = true
		case EndpointListUpdate:
			r.listNews(e)
		case FleetUpdate:
			r.fleetNews(e)
		case Subset:
			r.keepTo(e)
		case SitesUpdate:
			r.sites(e)
		}
	}
	if r.set.MustSubscribe && r.askAt >= 0 && r.now >= r.askAt {
		r.do(Subscribe{})
		r.askAt = -1
	}
	if span := r.now - r.paceAt; span >= learnSpan {
		r.pace, r.done, r.paceAt = r.pace+(float64(r.done)/span.Seconds()-r.pace)/paceSpans, 0, r.now
		maps.DeleteFunc(r.keys, func(_ string, k *key) bool { return len(k.queue) == 0 && k.quiet <= r.now })
	}
	r.shed()
	r.makeRoom()
	r.dispatch()
	r.closeSpare()
	r.held = slices.DeleteFunc(r.held, func(m *message) bool { return m.answered && m.call == nil })
	r.wake()
	return r.acts
}

// --- the endpoint list ---

func (r *Relay) listNews(e EndpointListUpdate) {
	if e.Kind == ListUnavailable {
		// Risk: a list out of reach, asked for by all relays at once. Backoff doubles, with jitter.
		base := max(r.set.MaxSubscribeInterval/16, 4*r.set.Tick)
		wait := min(base<<min(r.askTries, 4), max(r.set.MaxSubscribeInterval/2, base))
		r.askTries++
		r.askAt = r.now + wait/2 + time.Duration(r.rng.Int63n(int64(wait/2)+1))
		return
	}
	if e.Kind != ListRestored {
		r.askTries = 0
	}
	if e.Kind != ListChanges {
		named := map[string]bool{}
		for _, en := range e.Entries {
			named[en.Address] = true
		}
		for address, ep := range r.eps {
			if !named[address] {
				ep.State = Removed
				r.reckon(ep)
			}
		}
	}
	for _, en := range e.Entries {
		r.listEntry(en)
	}
	for address, ep := range r.eps {
		if ep.State == Removed && ep.calls == 0 {
			delete(r.eps, address)
			ep.leave(r.now)
		}
	}
}

func (r *Relay) listEntry(en Endpoint) {
	ep := r.eps[en.Address]
	if ep == nil || ep.dest.id != en.Destination {
		if ep != nil {
			ep.State = Removed
			r.reckon(ep)
			ep.leave(r.now)
		}
		if en.State == Removed {
			return
		}
		d := r.dest(en.Destination)
		// Risk: all relays send to the same endpoint of a destination because the list names it first.
		ep = &endpoint{dest: d, whim: unusedCost * r.rng.Float64()}
		r.eps[en.Address] = ep
		if k := r.kinds[en.Kind]; k != nil {
			d.kind = k
		}
		if len(d.lines) == 0 || d.kind.SeparateRoutes {
			d.lines = append(d.lines, &line{dest: d, jitter: 1, spanAt: r.now, hash: hash(d, en),
				waitTil: max(d.waitTil, d.routes[en.Address])})
		}
		ep.line = d.lines[len(d.lines)-1]
		ep.line.eps = append(ep.line.eps, ep)
	}
	ep.Endpoint = en
	r.reckon(ep)
	if r.set.RatesListed && en.Rate > 0 && !ep.line.told {
		ep.line.rate = en.Rate
	}
}

// --- messages come and go ---

func (r *Relay) arrive(e Submitted) {
	c := r.classes[e.Class]
	if c == nil || r.msgs[e.ID] != nil {
		return
	}
	d := r.dest(e.Destination)
	d.demand, d.lastIn = r.average(d.demand, d.lastIn), r.now
	m := &message{id: e.ID, class: c.under(e.Terms), dest: d, tenant: r.tenants[e.Tenant], kept: e.Recovered,
		arrived: r.now, deadline: r.now + e.TimeLeft, aimAt: r.now + e.TimeLeft - c.Deadline + c.TargetLatency,
		tries: e.Attempts, mayHave: e.MayHaveRun, firstRisk: r.now - e.UncertainAge}
	r.msgs[m.id], r.held = m, append(r.held, m)
	if c.Ordered && e.Key != "" {
		k := r.keys[e.Key]
		if k == nil {
			k = &key{}
			r.keys[e.Key] = k
		}
		k.queue = append(k.queue, m)
		m.key = k
	}
	m.extra = r.overShare(m.tenant)
}

// overShare books an arrival and tells whether its tenant is past its share. A relay sees only its own
// part of the traffic, so the share is taken of the larger of its own usual rate and an even part of all.
func (r *Relay) overShare(t *tenant) bool {
	r.arriving, r.lastIn = r.average(r.arriving, r.lastIn), r.now
	if t == nil {
		return len(r.tenants) > 0 // nobody's share
	}
	rate := max(r.quota/float64(r.set.Relays), r.arriving) * t.Share
	t.tokens, t.updated = min(4*rate+4, t.tokens+rate*(r.now-t.updated).Seconds()), r.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// finish books that nothing more is owed for m; it stays known while an attempt is out.
func (r *Relay) finish(m *message) {
	m.answered = true
	if m.call == nil {
		r.release(m)
	}
}

// mayRefuse tells whether the client may be told that trying again does no harm. Risk: a keyed message that
// may have run comes again to a relay that knows nothing of its window, is held there, and runs twice.
func (m *message) mayRefuse() bool {
	return m.call == nil && (!m.mayHave || m.class.Effect == Safe)
}

// mayRepeat tells whether another attempt is allowed now.
func (r *Relay) mayRepeat(m *message) bool {
	if m.call != nil || m.answered || m.tries >= r.reach.MaxAttempts(m.dest.id, r.set.MaxAttempts) {
		return false
	}
	if !m.mayHave || m.class.Effect == Safe {
		return true
	}
	return m.class.Effect == Keyed && r.now-m.firstRisk < part(m.class.RepeatWindow, sendMargin)
}

// answer ends m now: refused where that is allowed, else failed.
func (r *Relay) answer(m *message, advice time.Duration) {
	if m.mayRefuse() {
		if !r.set.SendRetryAfter {
			advice = 0
		}
		r.do(Refuse{m.id, max(0, min(r.apart(advice), r.set.MaxRetryAfter))})
		if m.tenant != nil && !m.extra {
			m.tenant.tokens++ // it may come again, and is no second message of its tenant
		}
	} else {
		r.do(Fail{m.id})
	}
	m.key.rest(r.now + noticeTime)
	r.finish(m)
}

func (r *Relay) ended(e AttemptEnded) {
	m := r.msgs[e.ID]
	if m == nil || m.call == nil || e.Attempt != m.tries-1 {
		return
	}
	c := m.call
	m.call, r.done = nil, r.done+1
	if c.left--; c.left == 0 {
		r.calls--
		c.ep.calls--
		c.ep.lastUsed, r.spare = r.now, append(r.spare, c.ep)
		c.ep.dest.calls--
		c.ep.line.calls, r.out = without(c.ep.line.calls, c), without(r.out, c)
	}
	switch e.Outcome {
	case Errored, TimedOut, ConnectionLost, Cancelled:
		if !m.mayHave {
			m.mayHave, m.firstRisk, m.riskZone = true, m.sentAt, c.ep.Zone
		}
		if e.Outcome != Errored && m.key != nil {
			m.key.quiet, m.key.quietBy = max(m.key.quiet, r.now+r.set.KeyQuietTime), m
		}
	}
	r.hold(c, e)
	if !c.judged && e.Outcome != Unsent {
		c.judged = true
		r.judge(c, e)
	}
	switch {
	case e.Final || m.answered:
		r.finish(m)
	case !r.mayRepeat(m):
		r.answer(m, r.set.MaxRetryAfter)
	}
}

// hold keeps all messages from the line until a told wait ends, and longer where the refusal tells of an
// outage: the wait is longer than a limit would need, a second call in a row is refused though most of the
// limit is left, or a wait is told where there is no limit. Risk: a destination that is shut refuses like one
// at its limit, and all that it refused come back as it opens, cold; so each comes at a time of its own. A
// report may be old: the first such refusal, perhaps of a clump, is held for a part of the cold time at most.
func (r *Relay) hold(c *call, e AttemptEnded) {
	l, rep := c.ep.line, e.Report
	unspent := e.Outcome == Rejected && rep != nil &&
		(rep.Remaining > unspentShare || rep.Limit == 0 && e.RetryAfter > 0)
	if e.RetryAfter <= 0 && !unspent {
		return
	}
	shut := e.RetryAfter > r.set.OverloadTime || unspent && (rep.Limit == 0 || l.run > 0 && c.sentAt >= l.runAt)
	// Risk: all that a full span told come back as the next begins, fill the queue, and what that refuses
	// uses up the span; so each comes up to a fair slot later, or as long again as it was told.
	end, spread := r.now+e.RetryAfter, min(e.RetryAfter, seconds(1/r.even(l)))
	switch {
	case shut:
		spread = r.coldGap(l) / 2
	case unspent:
		spread = min(r.coldGap(l)/2, r.set.WarmUpTime)
	}
	r.wait(l, end, spread, shut)
}

// wait keeps all messages from the line until end and a draw of spread; one that is shut comes back cold.
func (r *Relay) wait(l *line, end Time, spread time.Duration, shut bool) {
	if end > l.waitTil {
		l.waitTil = end + part(spread, r.rng.Float64())
	}
	if shut && l.state != out {
		r.enterOut(l)
	}
}

// --- health and the slot ---

// fleetNews takes what all relays see for each line. Risk: where traffic is thin, a relay learns of a limit
// that all together keep shut, or of an outage, only when the day is over.
func (r *Relay) fleetNews(e FleetUpdate) {
	r.set.Relays = cmp.Or(e.Relays, r.set.Relays)
	for _, u := range e.Routes {
		l, all := r.lineOf(u), u.Accepted+u.Rejected+u.Failed
		if l == nil {
			continue
		}
		l.usual, l.heardAt = u, r.now
		if u.RetryAfter > 0 && u.Accepted == 0 { // nobody gets through: it binds all of them
			r.wait(l, r.now+u.RetryAfter, r.coldGap(l)/2, true)
		}
		switch {
		case l.state == out && u.Accepted > 0:
			l.run = 0 // others get through: it is back
			r.stateOf(l)
			// Risk: all hear of it at once, each with a slot free: first calls are spread over one.
			l.claimed, l.jitter = r.now-part(r.slot(l), r.rng.Float64()), 1
		case l.state != out && u.Accepted == 0 && u.Reporters != 1 && u.Failed > outageShare*all &&
			r.now-l.lastOK > newsSpan && (u.Calls >= newsCalls || l.hardRun > 0 && u.Calls > 1 ||
			u.Reporters > 2 || l.lastOK == 0 && u.Reporters > 1):
			// Risk: relays that did not see the outage send as if it were warm when it returns.
			r.enterOut(l)
			l.run, l.runAt = outageRun, r.now
		}
	}
}

// informed tells whether the fleet's news of the line are fresh.
func (r *Relay) informed(l *line) bool { return l.heardAt > 0 && r.now-l.heardAt < newsLife }

// share is the calls a second of the line that fall to this relay: an even part, or what comes in here for it
// if that is more. Risk: with hundreds of senders an even part is less than one call in a client's patience,
// while most of them have nothing to send; what comes in at all of them adds up to what the line can expect.
func (r *Relay) share(l *line) float64 {
	return max(r.even(l), l.dest.demand/float64(len(l.dest.lines)*max(1, l.dest.kind.MaxBatch)))
}

func (r *Relay) even(l *line) float64 {
	senders := float64(r.set.Relays)
	return cmp.Or(l.rate/senders, l.ownRate, 1/(defaultSpacing.Seconds()*senders))
}

// turnGap is a slot in which a message can still use a few attempts within its aim. Risk: with hundreds of
// senders spacing times senders is longer than any client waits, though few of them have work for the line.
func (r *Relay) turnGap(l *line) time.Duration {
	return min(seconds(1/r.share(l)), r.turn*time.Duration(max(1, l.dest.kind.MaxBatch)))
}

// fairGap is the slot at which all senders together keep the spacing: spacing times senders, where answers
// tell the limit and a message gets its turn within its aim that way or more than a fair share comes in here,
// or where refused calls use up the limit; else a turn. Risk: untold, a refusal may be of a full queue only.
func (r *Relay) fairGap(l *line) time.Duration {
	gap, hot := seconds(1/r.even(l)), l.dest.demand > max(r.even(l), outageRun/rateMemory.Seconds())
	if l.told && (gap <= r.aim || hot) || r.counts(l) {
		return gap
	}
	return r.turnGap(l)
}

// counts tells whether refused calls seem to use up the line's limit: of late so many in a row were refused
// that it would have taken one, or at its kind hardly a call that came soon after a refusal was taken.
func (r *Relay) counts(l *line) bool {
	return r.now < l.countsTil || r.again[l.dest.kind] < downShare
}

// coldGap is the slot for a line that is out, or ramping: by its mean warmth since the last call. Risk: by
// that of now, slots of many senders with a call each end together: more than their rates add up to.
func (r *Relay) coldGap(l *line) time.Duration {
	warm := max(r.set.ColdStartShare, 0.05)
	if l.state == ramping {
		warm = min(1, warm+(1-warm)*l.meanRamp(r.now)/float64(max(r.set.WarmUpTime, 1)))
	}
	if l.usual.Allowance > 0 {
		return seconds(1 / (l.usual.Allowance * warm * coldNews)) // not by demand: that may be more
	}
	return seconds(1 / (r.share(l) * warm * max(1, coldBoost*r.set.OverloadFactor)))
}

// slot is the line's slot length now: grown by refusals, longer while it is out, in doubt or cold.
func (r *Relay) slot(l *line) time.Duration {
	g := l.gap
	if l.usual.Allowance > 0 && r.informed(l) {
		g = max(g, seconds(1/l.usual.Allowance))
	}
	switch {
	case l.state != healthy:
		g = max(g, r.coldGap(l))
	case r.doubt(l):
		g = max(g, r.turnGap(l))
	}
	return g
}

// doubt tells whether answers are overdue and none has come since. Risk: slots held by a destination
// that hangs or went silent, seconds before the first time-out shows it.
func (r *Relay) doubt(l *line) bool {
	return len(l.calls) > 0 && l.lastOK < l.calls[0].sentAt && r.now-l.calls[0].sentAt > r.overdue(l)
}

func (r *Relay) overdue(l *line) time.Duration {
	if l.latency == 0 {
		return r.set.Classes[0].TargetLatency
	}
	// Risk: a destination that answers within a moment gets time-outs that a pause of either side outlasts.
	return max(doubtLatencies*max(l.recent, l.latency), leastOverdue*r.set.Tick)
}

// judge takes a call's outcome into the health of its line and endpoint.
func (r *Relay) judge(c *call, e AttemptEnded) {
	l, ep := c.ep.line, c.ep
	r.learn(l)
	l.heed(e.Report)
	if again := r.again[l.dest.kind]; c.again && e.Outcome == Delivered {
		r.again[l.dest.kind] += (1 - again) * lossWeight
	} else if c.again && e.Outcome == Rejected && e.Report != nil && e.Report.Remaining < spentShare {
		r.again[l.dest.kind] -= again * lossWeight
	}
	if r.stale(c, e.Outcome == TimedOut || e.Outcome == ConnectionLost) {
		return // the connection was stale, the line may be well
	}
	switch e.Outcome {
	case Delivered:
		r.success(l, ep, e.Duration)
	case Rejected:
		l.refusedAt = r.now
		l.pressed, ep.whim = true, unusedCost*(2+r.rng.Float64()) // another endpoint may have room
		r.grow(l, c, Rejected)
	case Errored, TimedOut, ConnectFailed, ConnectionLost, RequestIncomplete:
		r.failed(l, c, e.Outcome)
	}
	r.stateOf(l)
}

// heed takes the limit that an answer tells of for the line's rate: fresher than a list, and all there is
// where none lists it. Each figure is a little wrong, so the latest only moves it.
func (l *line) heed(rep *LimitReport) {
	if rep == nil || !(rep.Limit > 0) || math.IsInf(rep.Limit, 1) {
		return
	}
	if !l.told {
		l.rate, l.told = rep.Limit, true
	}
	l.rate += (rep.Limit - l.rate) * latencyWeight
}

func (r *Relay) success(l *line, ep *endpoint, took time.Duration) {
	l.served, l.dest.price = l.served+1, l.dest.price*cutPerSuccess
	if ep.noConnAt > 0 && r.now-ep.noConnAt < r.set.Classes[0].TargetLatency {
		ep.noConnAt = 0
		r.soon[l.dest.kind] += (1 - r.soon[l.dest.kind]) * lossWeight
	}
	l.run, l.hardRun, l.lastOK, ep.fails, l.swallows = 0, 0, r.now, 0, false
	ep.whim = min(ep.whim, unusedCost*r.rng.Float64())
	l.bad -= l.bad * shareWeight
	if l.gap = part(l.gap, cutPerSuccess); l.told || !r.counts(l) {
		l.gap = min(l.gap, r.fairGap(l))
	}
	if l.gap < r.set.Tick {
		l.gap = 0
	}
	if l.state != out {
		l.calmGap = l.gap
	}
	if l.latency == 0 {
		l.latency, l.recent = took, took
	}
	l.recent += part(took-l.recent, 2*latencyWeight)
	l.latency += part(took-l.latency, latencyWeight/4)
	if ep.connCap > 0 {
		ep.connCap += 0.05
	}
}

// grow lengthens the slot: to the spacing, then fourfold up to the trickle of an outage while nothing is
// taken, once for all calls that were out together. Errors and lost answers do so from the third in a row on.
// Risk: attempts used up within a moment, so the first refusal sets it to a turn where spacing times senders
// allows. Risk: refused calls use up the limit, and a destination asked just above it takes nothing at all.
// Risk: hundreds try a silent destination until it returns, cold; one connection without any answer will do.
func (r *Relay) grow(l *line, c *call, o Outcome) {
	if l.run++; l.run == 1 {
		l.runAt = r.now
	}
	never := o == Rejected || o == ConnectFailed
	if o == Rejected && l.hardRun == 0 && l.run >= spentRun {
		l.countsTil = r.now + rateMemory
	}
	if c.sentAt < l.grownAt || !never && l.run < outageRun {
		return
	}
	l.grownAt = r.now
	fair := r.fairGap(l)
	if o == Rejected && r.informed(l) && l.state == healthy {
		l.gap = max(l.gap, min(r.turn, fair)) // the fleet's news tell the rest
		return
	}
	down := o == ConnectFailed && (r.soon[l.dest.kind] < downShare || r.now-c.sentAt >= r.atOnce)
	if l.gap == 0 && !down { //first
		if l.gap = fair; !r.counts(l) {
			l.gap = min(max(seconds(1/(r.even(l)*float64(r.set.Relays))), r.turn), fair)
		}
		return
	}
	fair = max(fair, r.coldGap(l))
	switch {
	case down:
		l.gap = fair
	case o == Rejected && r.counts(l):
		// Risk: a bound by what is offered keeps all senders above the limit, and nothing gets through.
		l.gap = min(2*l.gap, r.patience)
	default:
		l.gap = min(growth*l.gap, max(fair, l.gap))
	}
}

func (r *Relay) failed(l *line, c *call, o Outcome) {
	ep := c.ep
	ep.fails, ep.lastFail = ep.fails+1, r.now
	if o == ConnectFailed && ep.calls == 0 && r.now-c.sentAt < r.atOnce { // not for want of any answer
		if ep.noConnAt > 0 {
			r.soon[l.dest.kind] -= r.soon[l.dest.kind] * lossWeight
		}
		ep.noConnAt, r.noConn[l.dest.kind] = r.now, r.now
	}
	if o == TimedOut && (l.lastOK >= c.sentAt || r.now-c.sentAt < l.latency) {
		return // others were answered meanwhile, or it was too early: it was heavy, or out of time
	}
	if o == ConnectFailed && ep.calls > 0 && l.lastOK >= c.sentAt {
		// Risk: the endpoint's connection table is full. Keep to the calls that got through.
		ep.connCap = max(1, float64(ep.calls))
		return
	}
	r.grow(l, c, o)
	if l.countFailure(o); o != Errored {
		l.rampAt = r.now // Risk: who saw it back before it failed again takes it for warm
	}
	l.bad += (1 - l.bad) * shareWeight
}

// stateOf moves the line between healthy, out and ramping.
func (r *Relay) stateOf(l *line) {
	lasting := l.run >= outageRun && l.hardRun > 0 && r.now-l.runAt >= r.set.OverloadTime ||
		l.run >= outageRun && r.now-l.runAt >= 2*r.set.OverloadTime
	switch {
	case l.state == healthy && (lasting || l.bad > outageShare):
		r.enterOut(l)
	case l.state == out && l.run == 0:
		l.rampAt = r.now
		r.become(l, ramping)
		// Risk: an outage takes all endpoints, and its failures keep the work on the one that answered first,
		// with the long slot of the trickle: coldGap alone bounds what a line that is back is sent.
		if !r.counts(l) {
			l.gap = min(l.gap, l.calmGap)
		}
		for _, ep := range l.eps {
			ep.fails = 0
		}
	case l.state == ramping && (l.hardRun >= outageRun || l.hardRun > 0 && l.bad > outageShare):
		r.become(l, out)
	case l.state == ramping && r.now-l.rampAt > r.set.WarmUpTime:
		l.bad = 0
		r.become(l, healthy)
		r.note("destination %d: warm again", l.dest.id)
	}
}

func (r *Relay) enterOut(l *line) {
	r.become(l, out)
	r.note("destination %d: taken for out after %d calls without success", l.dest.id, l.run)
}

// learn counts what the line serves, for destinations whose rate is not listed.
func (r *Relay) learn(l *line) {
	span := r.now - l.spanAt
	if span < learnSpan {
		return
	}
	rate := float64(l.served) / span.Seconds()
	if rate > l.ownRate {
		l.ownRate = rate
	} else if l.pressed && l.state == healthy && rate > 0 {
		l.ownRate += (rate - l.ownRate) / 4
	}
	l.served, l.pressed, l.spanAt = 0, false, r.now
}

// --- giving up ---

// rate is the messages a second that d can be expected to take from here, from freeAt on; 0: any, or unknown.
func (r *Relay) rate(d *destination) float64 {
	var sum float64
	d.freeAt = math.MaxInt64
	for _, l := range d.lines {
		d.freeAt = min(d.freeAt, r.freeAt(l))
		switch {
		case l.state == healthy && l.hardRun == 0 && r.slot(l) > 0:
			sum += 1 / r.slot(l).Seconds()
		case l.state == healthy && l.hardRun == 0 && (l.slow() || r.doubt(l)):
			sum += float64(r.cap(l)) / max(l.recent, l.latency, r.set.Tick).Seconds()
		default:
			return 0
		}
	}
	return sum * float64(max(1, d.kind.MaxBatch))
}

// freeAt is when the line's slot and any told wait end.
func (r *Relay) freeAt(l *line) Time {
	if l.claimed == 0 {
		return l.waitTil
	}
	slot, from := r.slot(l), max(l.waitTil, l.nextAt)
	if !r.takesTurns(l, slot) {
		return max(from, l.claimed+part(slot, l.jitter))
	}
	step := r.set.TimeSlots.SlotWidth(slot)
	from = max(from, l.claimed+part(slot, 0.9), r.now-max(step, 2*r.set.Tick)) // one just begun will do
	return r.set.TimeSlots.NextSlot(from+r.set.ClockOffset, step, l.hash) - r.set.ClockOffset
}

// takesTurns tells whether this sender calls the line in turns of its own. Risk: where refused calls use up a
// limit, those of many senders that come close together refuse one another, however few they are. One with
// little to send would leave most of its turns unused, and wait for them.
func (r *Relay) takesTurns(l *line, slot time.Duration) bool {
	inTurn := slot.Seconds() * l.dest.demand / float64(len(l.dest.lines))
	return r.counts(l) && l.state != ramping && slot >= r.turn/4 && inTurn >= usedTurns
}

// shed ends messages whose time is nearly up or that may not be tried again, and refuses at once what would
// come too late: the queue is bounded by the worth its messages would have left when they are delivered.
// Tenants past their share give way first. Risk: clients of little patience look as if they came late, so
// only what is lost here counts. Risk: a burst's backlog that never drains. Where call slots are short, every
// late message delays all others for as long as that lasts, taken to last half as long again; then one
// gives way once its worth is under what that delay costs. Risk: messages that are never late enough fill a
// queue that lasts, and all are as late as can be. So each one turned away for its lateness sets a price for
// waiting there, in worth; successes lower it. Risk: a price that raises itself. Where relays hear of one
// another only lateness counts, and only classes that the bound never turns away have a price; a plan for
// sites has its own order. What a restart found untried is tried while it has time.
func (r *Relay) shed() {
	span := r.now - r.shedAt
	if r.shedAt = r.now; r.calls < r.set.MaxConcurrentCalls {
		span = -span
	} else {
		span = min(span, sweepEvery) // a relay that stood still itself was not short of slots
	}
	r.short = min(max(0, r.short+span), rateMemory)
	all := 0
	for _, m := range r.held {
		if m.answered || m.call != nil {
			continue
		}
		if m.deadline-r.now <= 2*r.set.Tick || !r.mayRepeat(m) {
			m.dest.turnedAway(m, false)
			r.answer(m, r.set.MaxRetryAfter)
			continue
		}
		d := m.dest
		if d.counted != r.steps {
			d.counted, d.queue, d.pace = r.steps, 0, r.rate(d)
		}
		d.queue++
		all++
		var wait time.Duration
		if d.pace > 0 { // the first waits for the slot's end only
			wait = max(0, d.freeAt-r.now) + seconds(float64(d.queue-1)/d.pace)
		}
		bound := min(worthWhile*max(1, r.reach.ShedPriority(m.class.Name)), 1-worthWhile)
		if r.short > 0 && r.pace > 0 {
			wait = max(wait, seconds(float64(all)/r.pace))
			bound = max(bound, (1-r.worthAt(m, m.aimAt+time.Second))*r.short.Seconds()/2)
		}
		worth := r.worthAt(m, r.now+wait) / max(r.worthAt(m, m.arrived), 1e-9)
		if m.extra && wait > m.class.TargetLatency {
			worth *= r.set.OverQuotaValue
		}
		late := worth < min(bound, 1)
		priced := r.set.NoGossip || r.reach == anywhere{} && m.class.LateValue > worthWhile
		low := priced && wait > 0 && m.class.Value*worth < d.price
		if (late || low) && m.mayRefuse() && !m.owedTry() {
			if late || r.set.NoGossip {
				d.turnedAway(m, r.set.NoGossip)
			}
			r.answer(m, wait)
			d.queue--
			all--
		}
	}
}

// makeRoom keeps the hold from filling: of the longest queue, and of tenants past their share first, that
// message gives way which is worth least now. Risk: a full hold turns away messages for healthy destinations.
func (r *Relay) makeRoom() {
	open := 0
	for _, m := range r.held {
		if !m.answered {
			open++
		}
	}
	limit := max(1, int(float64(r.set.MaxPending)*holdPart)) // a hold of one is not always full
	for ; open > limit; open-- {
		var victim *message
		var best, least float64
		for _, m := range r.held {
			if m.answered || m.call != nil || !m.mayRefuse() || m.owedTry() {
				continue
			}
			score := float64(m.dest.queue) + r.reach.ShedPriority(m.class.Name)*float64(2*r.set.MaxPending)
			worth := m.class.Value * r.worthAt(m, r.now)
			if m.extra {
				score += float64(r.set.MaxPending)
			}
			if victim == nil || score > best || score == best && worth <= least {
				victim, best, least = m, score, worth
			}
		}
		if victim == nil {
			return
		}
		victim.dest.queue--
		r.answer(victim, r.set.MaxRetryAfter)
	}
}

// --- sending ---

// dispatch sends what may go, longest waiting first over all destinations.
func (r *Relay) dispatch() {
	for i, m := range r.held {
		if r.calls >= r.set.MaxConcurrentCalls {
			return
		}
		if !r.eligible(m) {
			continue
		}
		if ep := r.choose(m); ep != nil {
			batch, until := r.fill(m, ep, r.held[i+1:])
			r.send(ep, batch, until)
		}
	}
}

func (r *Relay) eligible(m *message) bool {
	if !r.mayRepeat(m) || r.stopping && m.class.Effect == Unsafe {
		return false
	}
	k := m.key
	return k == nil || k.queue[0] == m && (k.quiet <= r.now || k.quietBy == m)
}

// fill takes further waiting messages into the call, up to the kind's batch, and tells until when it may
// last. Risk: a message that is ended while its call runs on takes the others' answer with it. So none may
// run out of time before its call is due, a while that is shorter where the destination is not known yet.
// Risk: limited calls that each carry one message which is nearly out of time; one that would keep others
// out of its call gives way to a call of several.
func (r *Relay) fill(m *message, ep *endpoint, rest []*message) ([]*message, Time) {
	due := r.now + r.overdue(ep.line)
	if ep.line.latency == 0 {
		due = r.now + r.turn
	}
	batch, until := []*message{m}, m.deadline
	for _, o := range rest {
		if len(batch) >= m.dest.kind.MaxBatch {
			break
		}
		if o.dest != m.dest || o.deadline < due || !r.eligible(o) || !r.open(o, ep) || !r.suits(o, ep.line) {
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

// stale tells whether a call's loss is explained by its connection, which had been unused for long.
func (r *Relay) stale(c *call, lost bool) bool { return r.idle.RecordCall(r.now, c.idle, lost) }

// closeSpare gives connections back as soon as they carry no call, where an endpoint of the kind took none of
// late. Risk: hundreds of relays that each keep an idle connection fill an endpoint's table.
func (r *Relay) closeSpare() {
	for _, ep := range r.spare {
		at := r.noConn[ep.dest.kind]
		if ep.calls == 0 && ep.lastUsed > 0 && (at > 0 && r.now-at < rateMemory || ep.far) {
			r.do(CloseIdle{ep.Address})
			ep.lastUsed = 0
		}
	}
	r.spare = r.spare[:0]
}

// suits keeps unsafe messages from being the trickle into a line that may swallow them. Risk: where no others
// come for it, nobody finds out that it is back; after a while without any call one of them goes, soon where
// none of the calls that failed may have run.
func (r *Relay) suits(m *message, l *line) bool {
	untried := r.set.OverloadTime
	if l.swallows {
		untried = rateMemory
	}
	return m.class.Effect != Unsafe || l.state != out && !r.doubt(l) || l.hardRun == 0 ||
		r.now-l.claimed > untried
}

// cap is the line's in-flight share: three quarters of the slots, half while it fails or slows, a quarter
// while slots are short besides.
func (r *Relay) cap(l *line) int {
	switch {
	case l.state == out:
		return 1
	case l.state == ramping || l.hardRun > 0 || l.slow() || r.doubt(l):
		// Risk: two destinations that slow take all slots, and each message for the others is late.
		if r.short > 0 {
			return max(1, r.set.MaxConcurrentCalls/4)
		}
		return max(1, r.set.MaxConcurrentCalls/2)
	}
	if share := r.set.MaxDestinationShare; share > 0 {
		return max(1, int(float64(r.set.MaxConcurrentCalls)*share))
	}
	return max(1, r.set.MaxConcurrentCalls*3/4)
}

// sick tells whether calls to l are likely to hold their slots for long.
func (r *Relay) sick(l *line) bool { return l.state == out || l.hardRun > 0 || r.doubt(l) }

// crowdedOut tells whether l is sick and all sick lines together hold half of the slots. Risk: with three or
// four slots, one call each to a few destinations that answer nothing leaves none for the others.
func (r *Relay) crowdedOut(l *line) bool {
	if !r.sick(l) {
		return false
	}
	n := 0
	for _, c := range r.out {
		if r.sick(c.ep.line) {
			n++
		}
	}
	return n >= max(1, r.set.MaxConcurrentCalls/2)
}

// free tells whether the line takes a call now. Where it is out and others try it, their news come first.
func (r *Relay) free(l *line) bool {
	others := l.usual.OthersProbe && r.informed(l) && r.now-l.lastOK > newsSpan
	return !others && r.now >= r.freeAt(l) && len(l.calls) < r.cap(l) && !r.crowdedOut(l)
}

// choose picks m's endpoint, or none if no slot is free. Scarce calls go to none that is nearly out of time.
func (r *Relay) choose(m *message) *endpoint {
	if m.dest.calls >= max(1, r.set.MaxConcurrentCalls*3/4) {
		return nil
	}
	var best *endpoint
	var bestCost float64
	for _, l := range m.dest.lines {
		if !r.free(l) || !r.suits(m, l) || l.gap > 0 && m.deadline-r.now < l.latency {
			continue
		}
		for _, ep := range l.eps {
			if ep.State != Listed || !r.open(m, ep) || ep.connCap > 0 && float64(ep.calls) >= ep.connCap {
				continue
			}
			if cost := r.cost(ep); best == nil || cost < bestCost {
				best, bestCost = ep, cost
			}
		}
	}
	return best
}

func (r *Relay) cost(ep *endpoint) float64 {
	cost := float64(ep.calls) / float64(r.set.MaxConcurrentCalls)
	if ep.fails > 1 && r.now-ep.lastFail < 2*time.Second<<min(ep.fails, 4) {
		cost += float64(min(ep.fails, 9))
	}
	if ep.dest.kind.SeparateRoutes {
		cost += 10 * r.fees[ep.Zone]
	}
	if ep.far { // Risk: a subset that is sick or full; one beyond it costs as much as two more calls here
		cost += 2/float64(r.set.MaxConcurrentCalls) + 3*unusedCost
	}
	if ep.calls == 0 && !(r.warm(ep) && r.now-ep.lastUsed < r.idle.Limit(r.now)) {
		cost += unusedCost
	}
	return cost + ep.whim + r.reach.EndpointCost(ep.Zone)
}

func (r *Relay) send(ep *endpoint, batch []*message, until Time) {
	l := ep.line
	c := &call{ep: ep, sentAt: r.now, left: len(batch), again: l.run > 0 && r.now-l.refusedAt < r.aim}
	l.calls, r.out = append(l.calls, c), append(r.out, c)
	l.claimed, l.jitter = r.now, 0.95+0.1*r.rng.Float64()
	if len(batch) < l.dest.kind.MaxBatch {
		l.nextAt = r.now + 1 // what else goes there in this step would join the call
	}
	if idle := r.now - ep.lastUsed; ep.calls == 0 && r.warm(ep) {
		if limit := r.idle.Limit(r.now); idle < limit && (idle < limit/2 || batch[0].class.Effect != Unsafe) {
			c.idle = idle
		} else {
			r.do(CloseIdle{ep.Address})
		}
	}
	r.reach.CallSent(ep.dest.id, ep.Zone)
	r.calls++
	ep.calls++
	ep.dest.calls++
	ep.lastUsed = r.now
	for _, m := range batch {
		m.call, m.sentAt = c, r.now
		m.tries++
		r.do(Send{m.id, ep.Address, min(until-r.now, r.timeout(m, l))})
	}
}

// timeout is how long an attempt may take. A repeatable message leaves room inside its window for
// another; one that would be lost by a time-out waits as long as its client does.
// Risk: a lost answer holds a slot for the client's whole patience. While slots are scarce the last attempt
// waits only for what all but heavy messages need, the less the longer all slots have been taken.
func (r *Relay) timeout(m *message, l *line) time.Duration {
	left, overdue := m.deadline-r.now, r.overdue(l)
	switch {
	case r.short > learnSpan:
		overdue -= overdue / 3 // lost answers hold all slots (i8980d3)
	case r.calls < r.set.MaxConcurrentCalls/2:
		overdue += overdue / 2 // slots are plenty: spare heavy messages a second run
	}
	t, repeatable := overdue, m.class.Effect != Unsafe
	if m.mayHave { // it may be heavy
		t *= 2
	}
	if m.class.Effect == Keyed {
		since := time.Duration(0)
		if m.mayHave {
			since = r.now - m.firstRisk
		}
		t = min(t, part(m.class.RepeatWindow, windowPart))
		repeatable = overdue <= part(m.class.RepeatWindow, windowPart) &&
			since+t <= part(m.class.RepeatWindow, sendMargin)
	}
	switch {
	case repeatable:
		return min(left, t)
	case r.calls >= r.set.MaxConcurrentCalls/2:
		return min(left, max(m.class.TargetLatency-r.short, 2*overdue))
	}
	return left
}

// --- housekeeping ---

// wake asks for the next step: when a slot, a wait, a quiet time or a deadline ends.
func (r *Relay) wake() {
	at := Time(math.MaxInt64)
	if r.set.MustSubscribe && r.askAt >= 0 {
		at = r.askAt
	}
	for _, m := range r.held {
		if m.answered || m.call != nil {
			continue
		}
		at = min(at, m.deadline-2*r.set.Tick, r.now+sweepEvery)
		for _, l := range m.dest.lines {
			if free := r.freeAt(l); free > r.now {
				at = min(at, free)
			}
		}
		if m.key != nil && m.key.quiet > r.now {
			at = min(at, m.key.quiet)
		}
	}
	if at == math.MaxInt64 {
		return
	}
	at = max(at, r.now+r.set.Tick)
	if r.wakeAt == 0 || at < r.wakeAt {
		r.wakeAt = at
		r.do(SetTimer{at - r.now})
	}
}
