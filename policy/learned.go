package policy

import "time"

// LearnedState is what a relay knows beside its messages, for the process that takes its place. Times are ages, since the two have clocks of
// their own.
type LearnedState struct {
	Routes         []RouteState       `json:"lines,omitempty"`
	CompletionRate float64            `json:"pace"`
	Shortage       time.Duration      `json:"short"`
	QuickRecovery  map[string]float64 `json:"soon,omitempty"` // by kind, as Again
	RetryAccepted  map[string]float64 `json:"again,omitempty"`
}

// InheritedCall is a call that the process before still has out: it holds a slot, and a place at its destination.
type InheritedCall struct {
	Endpoint string        `json:"endpoint"`
	Age      time.Duration `json:"age"`
}

// RouteState is what it knows of one line.
type RouteState struct {
	Endpoint           string        `json:"endpoint"` // the line's first one
	Interval           time.Duration `json:"gap"`
	HealthyInterval    time.Duration `json:"calm"`
	SinceCall          time.Duration `json:"claimed"` // ago; below 0: never
	SinceRejection     time.Duration `json:"refused"`
	RetryAfter         time.Duration `json:"wait"` // left
	Health             int           `json:"state"`
	SinceRampStart     time.Duration `json:"ramp"`
	UnsuccessfulRun    int           `json:"run"`
	FailureRun         int           `json:"hard"`
	SinceRunStart      time.Duration `json:"runAt"`
	SinceSuccess       time.Duration `json:"ok"`
	FailureShare       float64       `json:"bad"`
	UsualLatency       time.Duration `json:"latency"`
	RecentLatency      time.Duration `json:"recent"`
	Rate               float64       `json:"rate"`
	RateReported       bool          `json:"told"`
	ServedRate         float64       `json:"own"`
	Demand             float64       `json:"demand"`
	SinceArrival       time.Duration `json:"in"`
	RejectionsCountFor time.Duration `json:"counts,omitempty"` // left of the time for which refused calls are taken to use up the limit
}

// ExportState returns what this relay knows. Lines without a call yet are left out.
func (r *Relay) ExportState(now Time) LearnedState {
	all := LearnedState{CompletionRate: r.pace, Shortage: r.short, QuickRecovery: map[string]float64{}, RetryAccepted: map[string]float64{}}
	for name, k := range r.kinds {
		all.QuickRecovery[name], all.RetryAccepted[name] = r.soon[k], r.again[k]
	}
	age := func(at Time) time.Duration {
		if at == 0 {
			return -1
		}
		return max(0, now-at)
	}
	for _, d := range r.dests {
		for _, l := range d.lines {
			if len(l.eps) == 0 || l.claimed == 0 && l.waitTil <= now {
				continue
			}
			all.Routes = append(all.Routes, RouteState{Endpoint: l.eps[0].Address, Interval: l.gap, HealthyInterval: l.calmGap, SinceCall: age(l.claimed), SinceRejection: age(l.refusedAt),
				RetryAfter: max(0, l.waitTil-now), Health: int(l.state), SinceRampStart: age(l.rampAt), UnsuccessfulRun: l.run, FailureRun: l.hardRun, SinceRunStart: age(l.runAt),
				SinceSuccess: age(l.lastOK), FailureShare: l.bad, UsualLatency: l.latency, RecentLatency: l.recent, Rate: l.rate, RateReported: l.told, ServedRate: l.ownRate,
				Demand: d.demand, SinceArrival: age(d.lastIn), RejectionsCountFor: max(0, l.countsTil-now)})
		}
	}
	return all
}

// ImportState takes over what the process before knew. It comes before the first step, with the list as Step has had it or as given here.
func (r *Relay) ImportState(now Time, list []Endpoint, known LearnedState) {
	r.now = max(now, r.now)
	if len(list) > 0 {
		r.listNews(EndpointListUpdate{Kind: ListRestored, Entries: list})
	}
	// Risk: a moment before this process's clock began reads as never, or as one to come.
	at := func(age time.Duration) Time {
		if age < 0 {
			return 0
		}
		return max(1, r.now-age)
	}
	// Risk: a pace that begins at nought is taken for a queue that lasts for ever, and most of what was taken over is handed back.
	r.pace, r.short = known.CompletionRate, known.Shortage
	for name, k := range r.kinds {
		if v, told := known.QuickRecovery[name]; told {
			r.soon[k] = v
		}
		if v, told := known.RetryAccepted[name]; told {
			r.again[k] = v
		}
	}
	for _, k := range known.Routes {
		ep := r.eps[k.Endpoint]
		if ep == nil || k.Health < int(healthy) || k.Health > int(ramping) {
			continue
		}
		l := ep.line
		l.gap, l.calmGap, l.claimed, l.refusedAt, l.waitTil = k.Interval, k.HealthyInterval, at(k.SinceCall), at(k.SinceRejection), max(l.waitTil, r.now+k.RetryAfter)
		l.rampAt, l.run, l.hardRun, l.runAt, l.lastOK, l.bad = at(k.SinceRampStart), k.UnsuccessfulRun, k.FailureRun, at(k.SinceRunStart), at(k.SinceSuccess), k.FailureShare
		l.latency, l.recent, l.rate, l.told, l.ownRate, l.spanAt = k.UsualLatency, k.RecentLatency, k.Rate, k.RateReported, k.ServedRate, r.now
		l.dest.demand, l.dest.lastIn, l.countsTil = k.Demand, at(k.SinceArrival), r.now+k.RejectionsCountFor
		r.become(l, lineState(k.Health))
	}
}

// ApplyRetryAfter holds all messages from the endpoint's line for as long: the process before was told so.
func (r *Relay) ApplyRetryAfter(now Time, endpoint string, left time.Duration) {
	if ep := r.eps[endpoint]; ep != nil {
		ep.line.waitTil = max(ep.line.waitTil, now+left)
	}
}

// SetInheritedCalls books the calls that the process before still has out, in place of those booked last: slots, and the share of a destination, hold
// over both.
func (r *Relay) SetInheritedCalls(now Time, calls []InheritedCall) {
	r.now = max(now, r.now)
	for _, c := range r.lent {
		r.calls--
		c.ep.calls--
		c.ep.dest.calls--
		c.ep.line.calls, r.out = without(c.ep.line.calls, c), without(r.out, c)
	}
	r.lent = r.lent[:0]
	for _, lent := range calls {
		ep := r.eps[lent.Endpoint]
		if ep == nil {
			continue
		}
		c := &call{ep: ep, sentAt: r.now - lent.Age, left: 1, judged: true}
		r.calls++
		ep.calls++
		ep.dest.calls++
		ep.line.calls, r.out, r.lent = append(ep.line.calls, c), append(r.out, c), append(r.lent, c)
	}
}
