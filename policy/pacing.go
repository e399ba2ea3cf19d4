package policy

import (
	"cmp"
	"math"
	"time"
)

// This file paces the calls of each route: its interval, by rejections, health and the fleet's
// allowance, and what outcomes tell of its health and its rate.

// callShare returns this relay's calls per second for the route: its fair share, or its demand if
// higher, since most of many relays have no demand. With hundreds of relays a fair share is less
// than one call before a message's deadline; the demands of all add up to what the route can
// expect.
func (r *Relay) callShare(rt *route) float64 {
	return max(r.fairShare(rt), rt.dest.demand/float64(len(rt.dest.routes)*max(1, rt.dest.kind.MaxBatch)))
}

// fairShare returns an equal share of the route's rate limit, in calls per second.
func (r *Relay) fairShare(rt *route) float64 {
	relays := float64(r.cfg.Relays)
	return cmp.Or(rt.rate/relays, rt.servedRate, 1/(defaultCallInterval.Seconds()*relays))
}

// attemptInterval returns an interval that allows a few attempts within the target latency. With
// hundreds of relays the interval that all of them keep together is longer than any client waits,
// though few have messages for the route.
func (r *Relay) attemptInterval(rt *route) time.Duration {
	return min(seconds(1/r.callShare(rt)), r.firstInterval*time.Duration(max(1, rt.dest.kind.MaxBatch)))
}

// fairInterval returns the interval at which all relays together keep the rate limit, if it is
// reported and either allows a call within the target latency or is exceeded by demand, or if
// rejected calls count against it. Otherwise rejections may just mean a full queue, and
// attemptInterval applies.
func (r *Relay) fairInterval(rt *route) time.Duration {
	fair, busy := seconds(1/r.fairShare(rt)),
		rt.dest.demand > max(r.fairShare(rt), outageRun/rateWindow.Seconds())
	if rt.rateReported && (fair <= r.minTarget || busy) || r.rejectionsCount(rt) {
		return fair
	}
	return r.attemptInterval(rt)
}

// rejectionsCount reports whether rejected calls seem to count against the route's rate limit: many
// were rejected in a row, or at its kind hardly any call soon after a rejection is accepted.
func (r *Relay) rejectionsCount(rt *route) bool {
	return r.now < rt.rejectionsCountUntil || r.retryAccepted[rt.dest.kind] < lowShare
}

// coldInterval returns the interval of a route that is down or ramping, by its mean warmth since
// the last call: by the current one, the intervals of many relays would end together. That would
// be more calls than their rates add up to.
func (r *Relay) coldInterval(rt *route) time.Duration {
	warm := max(r.cfg.ColdStartShare, 0.05)
	if rt.health == ramping {
		warm = min(1, warm+(1-warm)*rt.meanRampTime(r.now)/float64(max(r.cfg.WarmUpTime, 1)))
	}
	if rt.fleet.Allowance > 0 {
		return seconds(1 / (rt.fleet.Allowance * warm * coldFleetFactor)) // demand may be higher
	}
	return seconds(1 / (r.callShare(rt) * warm * max(1, coldOverloadShare*r.cfg.OverloadFactor)))
}

// pacingInterval returns the interval by rejections, health and the fleet's allowance.
func (r *Relay) pacingInterval(rt *route) time.Duration {
	interval := rt.interval
	if rt.fleet.Allowance > 0 && r.fleetIsFresh(rt) {
		interval = max(interval, seconds(1/rt.fleet.Allowance))
	}
	switch {
	case rt.health != healthy:
		interval = max(interval, r.coldInterval(rt))
	case r.unresponsive(rt):
		interval = max(interval, r.attemptInterval(rt))
	}
	return interval
}

// unresponsive reports whether an answer is overdue and none has come since. A destination that
// hangs would hold calls for seconds before the first timeout shows it.
func (r *Relay) unresponsive(rt *route) bool {
	return len(rt.calls) > 0 && rt.lastSuccess < rt.calls[0].sentAt &&
		r.now-rt.calls[0].sentAt > r.overdueAfter(rt)
}

// overdueAfter returns how long after a call its answer is overdue.
func (r *Relay) overdueAfter(rt *route) time.Duration {
	if rt.latency == 0 {
		return r.cfg.Classes[0].TargetLatency
	}
	// The minimum outlasts a short pause of either side.
	return max(overdueLatencies*max(rt.recentLatency, rt.latency), minOverdueTicks*r.cfg.Tick)
}

// assess applies a call's outcome to the health of its route and endpoint.
func (r *Relay) assess(c *call, e AttemptEnded) {
	rt, ep := c.endpoint.route, c.endpoint
	r.learnRate(rt)
	rt.applyReport(e.Report)
	if accepted := r.retryAccepted[rt.dest.kind]; c.afterRejection && e.Outcome == Delivered {
		r.retryAccepted[rt.dest.kind] += (1 - accepted) * sampleWeight
	} else if c.afterRejection && e.Outcome == Rejected &&
		e.Report != nil && e.Report.Remaining < spentLimitShare {
		r.retryAccepted[rt.dest.kind] -= accepted * sampleWeight
	}
	if r.staleConn(c, e.Outcome == TimedOut || e.Outcome == ConnectionLost) {
		return // the loss says nothing about the route
	}
	switch e.Outcome {
	case Delivered:
		r.recordSuccess(rt, ep, e.Duration)
	case Rejected:
		rt.rejectedAt = r.now
		rt.wasAtLimit, ep.tieBreak = true, newConnCost*(2+r.rng.Float64()) // prefer another endpoint
		r.lengthenInterval(rt, c, Rejected)
	case Errored, TimedOut, ConnectFailed, ConnectionLost, RequestIncomplete:
		r.recordFailure(rt, c, e.Outcome)
	}
	r.updateHealth(rt)
}

// applyReport averages reported limits, which are inexact and take precedence over a listed rate.
func (rt *route) applyReport(report *LimitReport) {
	if report == nil || !(report.Limit > 0) || math.IsInf(report.Limit, 1) {
		return
	}
	if !rt.rateReported {
		rt.rate, rt.rateReported = report.Limit, true
	}
	rt.rate += (report.Limit - rt.rate) * latencyWeight
}

func (r *Relay) recordSuccess(rt *route, ep *endpoint, duration time.Duration) {
	rt.served, rt.dest.minValue = rt.served+1, rt.dest.minValue*intervalDecay
	if ep.connFailedAt > 0 && r.now-ep.connFailedAt < r.cfg.Classes[0].TargetLatency {
		ep.connFailedAt = 0
		r.quickRecovery[rt.dest.kind] += (1 - r.quickRecovery[rt.dest.kind]) * sampleWeight
	}
	rt.unsuccessful, rt.failed, rt.lastSuccess, ep.failures, rt.mayHaveRun = 0, 0, r.now, 0, false
	ep.tieBreak = min(ep.tieBreak, newConnCost*r.rng.Float64())
	rt.failureShare -= rt.failureShare * failureWeight
	if rt.interval = scale(rt.interval, intervalDecay); rt.rateReported || !r.rejectionsCount(rt) {
		rt.interval = min(rt.interval, r.fairInterval(rt))
	}
	if rt.interval < r.cfg.Tick {
		rt.interval = 0
	}
	if rt.health != down {
		rt.healthyInterval = rt.interval
	}
	if rt.latency == 0 {
		rt.latency, rt.recentLatency = duration, duration
	}
	rt.recentLatency += scale(duration-rt.recentLatency, 2*latencyWeight)
	rt.latency += scale(duration-rt.latency, latencyWeight/4)
	if ep.connLimit > 0 {
		ep.connLimit += 0.05
	}
}

// lengthenInterval lengthens the interval once for all calls that were in flight together: first
// to allow a few attempts, then by intervalGrowth up to coldInterval, at once if a connection got
// no answer. Errors and lost answers count from the third in a row. Where rejected calls count
// against the limit, the bound is the longest deadline, since just above the limit nothing is
// accepted. The first step keeps attempts from being used up within a moment. Without the last,
// hundreds of relays would try a silent destination until it returns, cold.
func (r *Relay) lengthenInterval(rt *route, c *call, o Outcome) {
	if rt.unsuccessful++; rt.unsuccessful == 1 {
		rt.runStart = r.now
	}
	neverRan := o == Rejected || o == ConnectFailed
	if o == Rejected && rt.failed == 0 && rt.unsuccessful >= limitRejectionRun {
		rt.rejectionsCountUntil = r.now + rateWindow
	}
	if c.sentAt < rt.lengthenedAt || !neverRan && rt.unsuccessful < outageRun {
		return
	}
	rt.lengthenedAt = r.now
	fair := r.fairInterval(rt)
	if o == Rejected && r.fleetIsFresh(rt) && rt.health == healthy {
		rt.interval = max(rt.interval, min(r.firstInterval, fair)) // the fleet's allowance does the rest
		return
	}
	unreachable := o == ConnectFailed &&
		(r.quickRecovery[rt.dest.kind] < lowShare || r.now-c.sentAt >= r.quickFailure)
	if rt.interval == 0 && !unreachable {
		if rt.interval = fair; !r.rejectionsCount(rt) {
			rt.interval = min(max(seconds(1/(r.fairShare(rt)*float64(r.cfg.Relays))), r.firstInterval), fair)
		}
		return
	}
	fair = max(fair, r.coldInterval(rt))
	switch {
	case unreachable:
		rt.interval = fair
	case o == Rejected && r.rejectionsCount(rt):
		rt.interval = min(2*rt.interval, r.maxDeadline)
	default:
		rt.interval = min(intervalGrowth*rt.interval, max(fair, rt.interval))
	}
}

func (r *Relay) recordFailure(rt *route, c *call, o Outcome) {
	ep := c.endpoint
	ep.failures, ep.lastFailure = ep.failures+1, r.now
	if o == ConnectFailed && ep.calls == 0 && r.now-c.sentAt < r.quickFailure { // refused, not unanswered
		if ep.connFailedAt > 0 {
			r.quickRecovery[rt.dest.kind] -= r.quickRecovery[rt.dest.kind] * sampleWeight
		}
		ep.connFailedAt, r.connRefused[rt.dest.kind] = r.now, r.now
	}
	if o == TimedOut && (rt.lastSuccess >= c.sentAt || r.now-c.sentAt < rt.latency) {
		return // the message was slow to process, or its timeout was short: the route may be healthy
	}
	if o == ConnectFailed && ep.calls > 0 && rt.lastSuccess >= c.sentAt {
		// The endpoint accepts no more connections: limit calls to those that got through.
		ep.connLimit = max(1, float64(ep.calls))
		return
	}
	r.lengthenInterval(rt, c, o)
	if rt.countFailure(o); o != Errored {
		rt.rampStart = r.now // a route that fails while ramping is cold again
	}
	rt.failureShare += (1 - rt.failureShare) * failureWeight
}

// updateHealth moves the route between healthy, down and ramping.
func (r *Relay) updateHealth(rt *route) {
	lasting := rt.unsuccessful >= outageRun && rt.failed > 0 && r.now-rt.runStart >= r.cfg.OverloadTime ||
		rt.unsuccessful >= outageRun && r.now-rt.runStart >= 2*r.cfg.OverloadTime
	switch {
	case rt.health == healthy && (lasting || rt.failureShare > outageShare):
		r.markDown(rt)
	case rt.health == down && rt.unsuccessful == 0:
		rt.rampStart = r.now
		r.setHealth(rt, ramping)
		// coldInterval limits the ramp: probe pacing and failures would keep to one endpoint.
		if !r.rejectionsCount(rt) {
			rt.interval = min(rt.interval, rt.healthyInterval)
		}
		for _, ep := range rt.endpoints {
			ep.failures = 0
		}
	case rt.health == ramping && (rt.failed >= outageRun || rt.failed > 0 && rt.failureShare > outageShare):
		r.setHealth(rt, down)
	case rt.health == ramping && r.now-rt.rampStart > r.cfg.WarmUpTime:
		rt.failureShare = 0
		r.setHealth(rt, healthy)
		r.logf("destination %d: healthy again after its warm-up", rt.dest.id)
	}
}

func (r *Relay) markDown(rt *route) {
	r.setHealth(rt, down)
	r.logf("destination %d: marked down after %d calls without success", rt.dest.id, rt.unsuccessful)
}

// learnRate measures the calls that the route serves, for destinations whose rate limit is unknown.
func (r *Relay) learnRate(rt *route) {
	span := r.now - rt.spanStart
	if span < measureSpan {
		return
	}
	rate := float64(rt.served) / span.Seconds()
	if rate > rt.servedRate {
		rt.servedRate = rate
	} else if rt.wasAtLimit && rt.health == healthy && rate > 0 {
		rt.servedRate += (rate - rt.servedRate) / 4
	}
	rt.served, rt.wasAtLimit, rt.spanStart = 0, false, r.now
}

// expectedRate returns the messages per second that d may accept; 0: unlimited or unknown.
func (r *Relay) expectedRate(d *destination) float64 {
	var sum float64
	d.freeAt = math.MaxInt64
	for _, rt := range d.routes {
		d.freeAt = min(d.freeAt, r.freeAt(rt))
		switch {
		case rt.health == healthy && rt.failed == 0 && r.pacingInterval(rt) > 0:
			sum += 1 / r.pacingInterval(rt).Seconds()
		case rt.health == healthy && rt.failed == 0 && (rt.slow() || r.unresponsive(rt)):
			sum += float64(r.callLimit(rt)) / max(rt.recentLatency, rt.latency, r.cfg.Tick).Seconds()
		default:
			return 0
		}
	}
	return sum * float64(max(1, d.kind.MaxBatch))
}

// freeAt returns when pacing and any Retry-After allow the route's next call.
func (r *Relay) freeAt(rt *route) Time {
	if rt.lastCall == 0 {
		return rt.blockedUntil
	}
	interval, from := r.pacingInterval(rt), max(rt.blockedUntil, rt.notBefore)
	if !r.usesTimeSlots(rt, interval) {
		return max(from, rt.lastCall+scale(interval, rt.jitter))
	}
	slotWidth := r.cfg.TimeSlots.SlotWidth(interval)
	// A time slot that has just begun may still be used.
	from = max(from, rt.lastCall+scale(interval, 0.9), r.now-max(slotWidth, 2*r.cfg.Tick))
	return r.cfg.TimeSlots.NextSlot(from+r.cfg.ClockOffset, slotWidth, rt.hash) - r.cfg.ClockOffset
}

// usesTimeSlots reports whether this relay calls the route in its own time slots: where rejected
// calls count against a limit, calls that come close together get one another rejected. A relay
// with little demand would leave most of its slots unused, and keep messages waiting.
func (r *Relay) usesTimeSlots(rt *route, interval time.Duration) bool {
	use := interval.Seconds() * rt.dest.demand / float64(len(rt.dest.routes))
	return r.rejectionsCount(rt) && rt.health != ramping && interval >= r.firstInterval/4 && use >= minSlotUse
}
