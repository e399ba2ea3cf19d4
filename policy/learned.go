package policy

import "time"

// LearnedState is what a relay has learned about its routes, for the next process of this relay.
// Moments are given as ages, since the two processes have different clocks; QuickRecovery and
// RetryAccepted are shares from 0 to 1.
type LearnedState struct {
	Routes         []RouteState       `json:"lines,omitempty"`
	CompletionRate float64            `json:"pace"`            // attempts completed per second
	Shortage       time.Duration      `json:"short"`           // how long all calls have been in use recently
	QuickRecovery  map[string]float64 `json:"soon,omitempty"`  // by kind: failed connections soon followed by success
	RetryAccepted  map[string]float64 `json:"again,omitempty"` // by kind: accepted calls soon after a rejection
}

// InheritedCall is a call that the previous process still has in flight. It counts against the
// concurrency limits.
type InheritedCall struct {
	Endpoint string        `json:"endpoint"`
	Age      time.Duration `json:"age"`
}

// RouteState is what a relay has learned about one route. A negative Since field means never.
type RouteState struct {
	Endpoint           string        `json:"endpoint"` // the route's first endpoint
	Interval           time.Duration `json:"gap"`      // pacing interval
	HealthyInterval    time.Duration `json:"calm"`     // pacing interval at the last success outside an outage
	SinceCall          time.Duration `json:"claimed"`
	SinceRejection     time.Duration `json:"refused"`
	RetryAfter         time.Duration `json:"wait"`  // time left
	Health             int           `json:"state"` // 0: healthy, 1: down, 2: ramping
	SinceRampStart     time.Duration `json:"ramp"`
	UnsuccessfulRun    int           `json:"run"`  // calls in a row without success
	FailureRun         int           `json:"hard"` // failures among them
	SinceRunStart      time.Duration `json:"runAt"`
	SinceSuccess       time.Duration `json:"ok"`
	FailureShare       float64       `json:"bad"` // of recent calls
	UsualLatency       time.Duration `json:"latency"`
	RecentLatency      time.Duration `json:"recent"`
	Rate               float64       `json:"rate"`   // calls per second from all relays; 0: unknown
	RateReported       bool          `json:"told"`   // Rate comes from a LimitReport
	ServedRate         float64       `json:"own"`    // calls per second served to this relay
	Demand             float64       `json:"demand"` // messages per second for the destination
	SinceArrival       time.Duration `json:"in"`
	RejectionsCountFor time.Duration `json:"counts,omitempty"` // time left; see Relay.rejectionsCount
}

// ExportState returns what this relay has learned. Routes without a call or Retry-After are left
// out.
func (r *Relay) ExportState(now Time) LearnedState {
	all := LearnedState{CompletionRate: r.completionRate, Shortage: r.shortage,
		QuickRecovery: map[string]float64{}, RetryAccepted: map[string]float64{}}
	for name, k := range r.kinds {
		all.QuickRecovery[name], all.RetryAccepted[name] = r.quickRecovery[k], r.retryAccepted[k]
	}
	age := func(at Time) time.Duration {
		if at == 0 {
			return -1
		}
		return max(0, now-at)
	}
	for _, d := range r.destinations {
		for _, rt := range d.routes {
			if len(rt.endpoints) == 0 || rt.lastCall == 0 && rt.blockedUntil <= now {
				continue
			}
			all.Routes = append(all.Routes, RouteState{
				Endpoint:           rt.endpoints[0].Address,
				Interval:           rt.interval,
				HealthyInterval:    rt.healthyInterval,
				SinceCall:          age(rt.lastCall),
				SinceRejection:     age(rt.rejectedAt),
				RetryAfter:         max(0, rt.blockedUntil-now),
				Health:             int(rt.health),
				SinceRampStart:     age(rt.rampStart),
				UnsuccessfulRun:    rt.unsuccessful,
				FailureRun:         rt.failed,
				SinceRunStart:      age(rt.runStart),
				SinceSuccess:       age(rt.lastSuccess),
				FailureShare:       rt.failureShare,
				UsualLatency:       rt.latency,
				RecentLatency:      rt.recentLatency,
				Rate:               rt.rate,
				RateReported:       rt.rateReported,
				ServedRate:         rt.servedRate,
				Demand:             d.demand,
				SinceArrival:       age(d.lastArrival),
				RejectionsCountFor: max(0, rt.rejectionsCountUntil-now),
			})
		}
	}
	return all
}

// ImportState takes over what the previous process had learned. Call it before the first Step, with
// the endpoint list unless Step has received it.
func (r *Relay) ImportState(now Time, list []Endpoint, known LearnedState) {
	r.now = max(now, r.now)
	if len(list) > 0 {
		r.updateList(EndpointListUpdate{Kind: ListRestored, Entries: list})
	}
	// A moment before this process's clock began must be neither 0, which means never, nor in the
	// future.
	at := func(age time.Duration) Time {
		if age < 0 {
			return 0
		}
		return max(1, r.now-age)
	}
	// With a completion rate of 0, the queue would seem endless and most recovered messages would
	// be refused.
	r.completionRate, r.shortage = known.CompletionRate, known.Shortage
	for name, k := range r.kinds {
		if v, ok := known.QuickRecovery[name]; ok {
			r.quickRecovery[k] = v
		}
		if v, ok := known.RetryAccepted[name]; ok {
			r.retryAccepted[k] = v
		}
	}
	for _, k := range known.Routes {
		ep := r.endpoints[k.Endpoint]
		if ep == nil || k.Health < int(healthy) || k.Health > int(ramping) {
			continue
		}
		rt := ep.route
		rt.interval, rt.healthyInterval, rt.lastCall, rt.rejectedAt, rt.blockedUntil =
			k.Interval, k.HealthyInterval, at(k.SinceCall), at(k.SinceRejection),
			max(rt.blockedUntil, r.now+k.RetryAfter)
		rt.rampStart, rt.unsuccessful, rt.failed, rt.runStart, rt.lastSuccess, rt.failureShare =
			at(k.SinceRampStart), k.UnsuccessfulRun, k.FailureRun, at(k.SinceRunStart), at(k.SinceSuccess),
			k.FailureShare
		rt.latency, rt.recentLatency, rt.rate, rt.rateReported, rt.servedRate, rt.spanStart =
			k.UsualLatency, k.RecentLatency, k.Rate, k.RateReported, k.ServedRate, r.now
		rt.dest.demand, rt.dest.lastArrival, rt.rejectionsCountUntil =
			k.Demand, at(k.SinceArrival), r.now+k.RejectionsCountFor
		r.setHealth(rt, routeHealth(k.Health))
	}
}

// ApplyRetryAfter blocks the endpoint's route for a Retry-After that the previous process received.
func (r *Relay) ApplyRetryAfter(now Time, endpoint string, left time.Duration) {
	if ep := r.endpoints[endpoint]; ep != nil {
		ep.route.blockedUntil = max(ep.route.blockedUntil, now+left)
	}
}

// SetInheritedCalls replaces the calls that the previous process still has in flight. Concurrency
// limits cover the calls of both processes.
func (r *Relay) SetInheritedCalls(now Time, calls []InheritedCall) {
	r.now = max(now, r.now)
	for _, c := range r.inherited {
		r.calls--
		c.endpoint.calls--
		c.endpoint.dest.calls--
		c.endpoint.route.calls, r.inFlight = without(c.endpoint.route.calls, c), without(r.inFlight, c)
	}
	r.inherited = r.inherited[:0]
	for _, inherited := range calls {
		ep := r.endpoints[inherited.Endpoint]
		if ep == nil {
			continue
		}
		c := &call{endpoint: ep, sentAt: r.now - inherited.Age, unfinished: 1, assessed: true}
		r.calls++
		ep.calls++
		ep.dest.calls++
		ep.route.calls, r.inFlight, r.inherited =
			append(ep.route.calls, c), append(r.inFlight, c), append(r.inherited, c)
	}
}
