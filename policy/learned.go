package policy

import "time"

// Learned is what a relay knows of a line, for the process that takes its place. Times are ages, since the two have clocks of
// their own.
type Learned struct {
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
}

// Learned returns what this relay knows of its lines. Lines without a call yet are left out.
func (r *Relay) Learned(now Time) (all []Learned) {
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
			all = append(all, Learned{Endpoint: l.eps[0].Address, Gap: l.gap, CalmGap: l.calmGap, Claimed: age(l.claimed), Refused: age(l.refusedAt),
				Wait: max(0, l.waitTil-now), State: int(l.state), Ramp: age(l.rampAt), Run: l.run, HardRun: l.hardRun, RunAt: age(l.runAt),
				LastOK: age(l.lastOK), Bad: l.bad, Latency: l.latency, Recent: l.recent, Rate: l.rate, Told: l.told, OwnRate: l.ownRate,
				Demand: d.demand, LastFresh: age(d.lastIn)})
		}
	}
	return all
}

// Learn takes over what the process before knew. It comes before the first step, with the list as Step has had it or as given here.
func (r *Relay) Learn(now Time, list []Endpoint, known []Learned) {
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
	for _, k := range known {
		ep := r.eps[k.Endpoint]
		if ep == nil || k.State < int(healthy) || k.State > int(ramping) {
			continue
		}
		l := ep.line
		l.gap, l.calmGap, l.claimed, l.refusedAt, l.waitTil = k.Gap, k.CalmGap, at(k.Claimed), at(k.Refused), max(l.waitTil, r.now+k.Wait)
		l.rampAt, l.run, l.hardRun, l.runAt, l.lastOK, l.bad = at(k.Ramp), k.Run, k.HardRun, at(k.RunAt), at(k.LastOK), k.Bad
		l.latency, l.recent, l.rate, l.told, l.ownRate, l.spanAt = k.Latency, k.Recent, k.Rate, k.Told, k.OwnRate, r.now
		l.dest.demand, l.dest.lastIn = k.Demand, at(k.LastFresh)
		r.become(l, lineState(k.State))
	}
}

// Wait holds all messages from the endpoint's line for as long: the process before was told so.
func (r *Relay) Wait(now Time, endpoint string, left time.Duration) {
	if ep := r.eps[endpoint]; ep != nil {
		ep.line.waitTil = max(ep.line.waitTil, now+left)
	}
}
