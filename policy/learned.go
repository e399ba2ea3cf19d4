package policy

import "time"

// Learned is what a relay knows beside its messages, for the process that takes its place. Times are ages, since the two have clocks of
// their own.
type Learned struct {
	Lines []Line             `json:"lines,omitempty"`
	Pace  float64            `json:"pace"`
	Short time.Duration      `json:"short"`
	Soon  map[string]float64 `json:"soon,omitempty"` // by kind, as Again
	Again map[string]float64 `json:"again,omitempty"`
}

// Lent is a call that the process before still has out: it holds a slot, and a place at its destination.
type Lent struct {
	Endpoint string        `json:"endpoint"`
	Age      time.Duration `json:"age"`
}

// Line is what it knows of one line.
type Line struct {
	Endpoint  string        `json:"endpoint"` // the line's first one
	Gap       time.Duration `json:"gap"`
	CalmGap   time.Duration `json:"calm"`
	Claimed   time.Duration `json:"claimed"` // ago; below 0: never
	Refused   time.Duration `json:"refused"`
	Wait      time.Duration `json:"wait"` // left
	State     int           `json:"state"`
	Ramp      time.Duration `json:"ramp"`
	Run       int           `json:"run"`
	HardRun   int           `json:"hard"`
	RunAt     time.Duration `json:"runAt"`
	LastOK    time.Duration `json:"ok"`
	Bad       float64       `json:"bad"`
	Latency   time.Duration `json:"latency"`
	Recent    time.Duration `json:"recent"`
	Rate      float64       `json:"rate"`
	Told      bool          `json:"told"`
	OwnRate   float64       `json:"own"`
	Demand    float64       `json:"demand"`
	LastFresh time.Duration `json:"in"`
	Counts    time.Duration `json:"counts,omitempty"` // left of the time for which refused calls are taken to use up the limit
}

// Learned returns what this relay knows. Lines without a call yet are left out.
func (r *Relay) Learned(now Time) Learned {
	all := Learned{Pace: r.pace, Short: r.short, Soon: map[string]float64{}, Again: map[string]float64{}}
	for name, k := range r.kinds {
		all.Soon[name], all.Again[name] = r.soon[k], r.again[k]
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
			all.Lines = append(all.Lines, Line{Endpoint: l.eps[0].Address, Gap: l.gap, CalmGap: l.calmGap, Claimed: age(l.claimed), Refused: age(l.refusedAt),
				Wait: max(0, l.waitTil-now), State: int(l.state), Ramp: age(l.rampAt), Run: l.run, HardRun: l.hardRun, RunAt: age(l.runAt),
				LastOK: age(l.lastOK), Bad: l.bad, Latency: l.latency, Recent: l.recent, Rate: l.rate, Told: l.told, OwnRate: l.ownRate,
				Demand: d.demand, LastFresh: age(d.lastIn), Counts: max(0, l.countsTil-now)})
		}
	}
	return all
}

// Learn takes over what the process before knew. It comes before the first step, with the list as Step has had it or as given here.
func (r *Relay) Learn(now Time, list []Endpoint, known Learned) {
	r.now = max(now, r.now)
	if len(list) > 0 {
		r.listNews(ListNews{Kind: ListRestored, Entries: list})
	}
	// Risk: a moment before this process's clock began reads as never, or as one to come.
	at := func(age time.Duration) Time {
		if age < 0 {
			return 0
		}
		return max(1, r.now-age)
	}
	// Risk: a pace that begins at nought is taken for a queue that lasts for ever, and most of what was taken over is handed back.
	r.pace, r.short = known.Pace, known.Short
	for name, k := range r.kinds {
		if v, told := known.Soon[name]; told {
			r.soon[k] = v
		}
		if v, told := known.Again[name]; told {
			r.again[k] = v
		}
	}
	for _, k := range known.Lines {
		ep := r.eps[k.Endpoint]
		if ep == nil || k.State < int(healthy) || k.State > int(ramping) {
			continue
		}
		l := ep.line
		l.gap, l.calmGap, l.claimed, l.refusedAt, l.waitTil = k.Gap, k.CalmGap, at(k.Claimed), at(k.Refused), max(l.waitTil, r.now+k.Wait)
		l.rampAt, l.run, l.hardRun, l.runAt, l.lastOK, l.bad = at(k.Ramp), k.Run, k.HardRun, at(k.RunAt), at(k.LastOK), k.Bad
		l.latency, l.recent, l.rate, l.told, l.ownRate, l.spanAt = k.Latency, k.Recent, k.Rate, k.Told, k.OwnRate, r.now
		l.dest.demand, l.dest.lastIn, l.countsTil = k.Demand, at(k.LastFresh), r.now+k.Counts
		r.become(l, lineState(k.State))
	}
}

// Wait holds all messages from the endpoint's line for as long: the process before was told so.
func (r *Relay) Wait(now Time, endpoint string, left time.Duration) {
	if ep := r.eps[endpoint]; ep != nil {
		ep.line.waitTil = max(ep.line.waitTil, now+left)
	}
}

// Lend books the calls that the process before still has out, in place of those booked last: slots, and the share of a destination, hold
// over both.
func (r *Relay) Lend(now Time, calls []Lent) {
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
