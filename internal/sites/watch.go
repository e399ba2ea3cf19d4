package sites

import (
	"math/rand/v2"
	"reflect"
	"time"

	"oatfold/policy"
)

// Time is a moment on the caller's monotonic clock.
type Time = policy.Time

// State is what a site is taken for.
type State int

// The states of a site.
const (
	Healthy   State = iota
	Degraded        // a part of it serves, or it is cut off from here alone
	Lost            // nothing gets through
	Returning       // it answers again, and is given its load by steps
)

func (s State) String() string { return [...]string{"whole", "thin", "lost", "returning"}[s] }

// How evidence becomes a state, and how a site returns.
const (
	bucket    = 500 * time.Millisecond
	buckets   = 4 // that calls are counted over
	darkCalls = 3 // calls failed in a row, none taken, that make a site dark; one where others see the same
	darkFor   = 500 * time.Millisecond
	darkAlone = 2 * time.Second // the same where its relays live: they are evidence against
	newsFor   = 2 * time.Second // what others see counts for so long
	thinCalls = 4
	thinFor   = time.Second
	clearFor  = 3 * time.Second // without evidence, until a thin site is whole again

	firstLevel = 0.1 // part of its load that a site is given first
	leastLevel = 0.02
	chargeFrom = 0.5                    // part from which on messages go there that must not run twice
	probeTurn  = 500 * time.Millisecond // between two calls of the whole fleet that try a lost site
	holdFirst  = time.Second            // before a site that failed in its ramp is tried again; doubled with each
	holdMost   = 8 * time.Second
	slowest    = 2 // times the plan's ramp, at most, for a site that flaps
	calmFor    = 2 // ramps for which it has to be whole until its flaps are forgotten

	spillCut   = 0.1  // refused part of what spills to a site that lowers it
	spillKeep  = 0.9  // of what was taken, from then on
	spillRaise = 1.05 // a second, while hardly anything is refused
	spillLoose = 0.03
	spillCalls = 5
	uneven     = 1.15             // times an even part of the headroom, since no relay's clients want just that; who sees refusals lowers its own
	voices     = 2                // relays whose word counts; one alone may be wrong, or lie
	youngFor   = 10 * time.Second // a relay that has just started takes others' word for a site
	wholeSaid  = 15 * time.Second // for how long it is said that a site is whole again
	leastSpill = 0.2              // calls a second, so that what a site takes goes on being seen
	usualOver  = 20 * time.Second
	believed   = 8 * time.Second        // after a loss its relays that died are known as such
	burst      = 500 * time.Millisecond // of calls that may go at once within a rate; more than a turn

	dueCost  = -10  // of an endpoint at a lost site that is to be tried now: it failed, and nothing else would go there
	backCost = -0.1 // of one at a returning site that has not had its part
	tierCost = 0.02 // of an endpoint one tier farther away, in parts of the slots
)

// CallOutcome is how a call to a site's endpoint ended.
type CallOutcome int

// The ends of a call.
const (
	Accepted   CallOutcome = iota // whatever became of it then
	Rejected                      // turned away
	Failed                        // refused or reset: somebody's machine is there
	NoResponse                    // no connection, or no answer, in its time
)

// Change is a site that is taken for something else from now on.
type Change struct {
	Zone     string
	From, To State
	Why      string
	said     bool // others say so: this relay saw nothing of the loss
}

// PolicyUpdate is what the module is told of a change.
func (c Change) PolicyUpdate(w *Watch) policy.SitesUpdate {
	news := policy.SitesUpdate{Plan: w}
	switch {
	case c.To == Returning && c.From == Lost:
		news.ReturnedZone = c.Zone
	case c.said:
		news.ColdZone = c.Zone
	}
	return news
}

// Status is what is made of a site, for staff.
type Status struct {
	Zone             string  `json:"zone"`
	State            string  `json:"state"`
	Since            Time    `json:"-"`
	Why              string  `json:"why"`
	LoadFraction     float64 `json:"level"` // part of its load that it is given
	ManuallyOut      bool    `json:"out_by_hand,omitempty"`
	MaybePartitioned bool    `json:"cut_perhaps,omitempty"` // nothing but silence speaks for a loss
	Relays           int     `json:"relays"`
	RelaysAlive      int     `json:"relays_alive"`
	CallsAccepted    int     `json:"calls_taken"` // here, in the last two seconds
	CallsRejected    int     `json:"calls_refused"`
	CallsFailed      int     `json:"calls_failed"`
	FailedReturns    int     `json:"failed_returns,omitempty"`
	MaxSpillRate     float64 `json:"spill_most,omitempty"` // calls a second that may spill there from this relay; 0: any number
	Tier             int     `json:"tier"`                 // from this relay's own site: 0 its own; -1: none of the plan
	Endpoints        int     `json:"endpoints"`
}

type counts struct{ taken, refused, failed, silent int }

func (c *counts) add(o counts) {
	c.taken, c.refused, c.failed, c.silent = c.taken+o.taken, c.refused+o.refused, c.failed+o.failed, c.silent+o.silent
}

// site is what one relay knows of a zone.
type site struct {
	name string
	tier int

	state State
	since Time
	why   string
	out   bool
	cut   bool

	recent   [buckets]counts
	run      int // failures in a row
	silent   int // silent ones among them
	runAt    Time
	tookAt   Time      // the last call taken here; below 0: none yet
	othersOK Time      // others were last heard to get through; below 0: never
	othersNo Time      // and not to
	lostSaid int       // relays that say now that it is lost
	levels   []float64 // and what those give it to which it answers
	thinAt   Time      // since when there is evidence that it is thin; below 0: none
	clearAt  Time
	relays   int
	alive    int
	eps      int

	level, proved float64
	flaps         int
	returned      bool
	told          bool // that it was lost, by others
	holdTil       Time
	credit        float64
	probes        float64
	probeAt       Time
	own, spare    float64 // what its clients want and what others' may have, as the file has it; both 0: it names nothing
	usual         float64 // calls a second from here that it took while no site was lost
	rate          float64 // calls a second that may go there from here while one is; 0: any
	tokens        float64
}

// Watch is one relay's view of all sites. It belongs to whoever calls it.
type Watch struct {
	plan    *Plan
	home    string
	rng     *rand.Rand
	sites   []*site
	by      map[string]*site
	at      map[string]place       // endpoints, by address
	dests   map[int]map[string]int // number of endpoints of each zone
	turned  Time
	bucket  Time
	live    int // relays
	lost    int // sites that are lost or return
	began   Time
	started bool
	changes []Change
}

type place struct {
	dest int
	zone string
}

// NewWatch returns a relay's watch. home is its own zone.
func NewWatch(plan *Plan, home string, seed int64) *Watch {
	w := &Watch{plan: plan, home: home, rng: rand.New(rand.NewPCG(uint64(seed), 0x517e)), by: map[string]*site{}, at: map[string]place{}, dests: map[int]map[string]int{}, live: 1}
	for _, s := range plan.Sites {
		one := &site{name: s.Zone, tier: -1, level: 1, proved: firstLevel, tookAt: -1, othersOK: -1, othersNo: -1, thinAt: -1, why: "nothing speaks against it"}
		w.sites, w.by[s.Zone] = append(w.sites, one), one
	}
	for _, s := range w.sites {
		s.own = plan.own(s.name)
	}
	if s, ok := w.by[home]; ok {
		s.tier, s.spare = 0, plan.most(home)*plan.headroom(home)
	}
	for _, s := range plan.Sites {
		if s.Zone != home {
			continue
		}
		for i, t := range s.Tiers {
			for _, z := range t.Zones {
				if o := w.by[z]; o != nil && o.tier < 0 {
					o.tier, o.spare = i+1, t.SpillFraction*plan.headroom(z)
				}
			}
		}
	}
	return w
}

// HasPlan tells whether this is the plan that the watch goes by.
func (w *Watch) HasPlan(plan *Plan, home string) bool {
	return plan != nil && home == w.home && reflect.DeepEqual(plan, w.plan)
}

// ApplyEndpointList takes news of the pool config.
func (w *Watch) ApplyEndpointList(news policy.EndpointListUpdate) {
	if news.Kind == policy.ListUnavailable {
		return
	}
	if news.Kind != policy.ListChanges {
		clear(w.at)
		clear(w.dests)
		for _, s := range w.sites {
			s.eps = 0
		}
	}
	drop := func(address string) {
		if p, ok := w.at[address]; ok {
			delete(w.at, address)
			if w.dests[p.dest][p.zone]--; w.dests[p.dest][p.zone] == 0 {
				delete(w.dests[p.dest], p.zone)
			}
			if s := w.by[p.zone]; s != nil {
				s.eps--
			}
		}
	}
	for _, e := range news.Entries {
		drop(e.Address)
		if e.State != policy.Listed {
			continue
		}
		w.at[e.Address] = place{e.Destination, e.Zone}
		if w.dests[e.Destination] == nil {
			w.dests[e.Destination] = map[string]int{}
		}
		w.dests[e.Destination][e.Zone]++
		if s := w.by[e.Zone]; s != nil {
			s.eps++
		}
	}
}

// SetRelayCounts takes how many relays of a zone there are and how many are held for alive, this one not counted.
func (w *Watch) SetRelayCounts(zone string, relays, alive int) {
	if s := w.by[zone]; s != nil {
		if s.state == Lost && s.alive == 0 && alive > 0 { // its relays are back: its endpoints may be
			s.probeAt = min(s.probeAt, w.turned+time.Duration(w.rng.Int64N(int64(4*probeTurn))))
		}
		s.relays, s.alive = relays, alive
	}
	w.live = 1
	for _, s := range w.sites {
		w.live += s.alive
	}
}

// ApplyFleetStats takes what the relays of the fleet see in the mean. What a destination with endpoints in one zone only tells is evidence of that zone.
func (w *Watch) ApplyFleetStats(now Time, usual []policy.RouteStats) {
	for _, u := range usual {
		if len(w.dests[u.Destination]) != 1 {
			continue
		}
		for zone := range w.dests[u.Destination] {
			if s := w.by[zone]; s == nil {
				continue
			} else if u.Accepted > 0 {
				s.othersOK = now
			} else if u.Failed > 0 && u.Reporters != 1 {
				s.othersNo = now
			}
		}
	}
}

// SetPeerReports takes what other relays say of a zone by calls of their own: how many that it is lost, and what part of its load the others give it.
func (w *Watch) SetPeerReports(zone string, lost int, levels []float64) {
	if s := w.by[zone]; s != nil {
		s.lostSaid, s.levels = lost, levels
	}
}

// OwnReport is what this relay says of a zone, by its own calls: a level, 0 where nothing gets through. ok is false where it has nothing to say.
func (w *Watch) OwnReport(zone string) (level float64, ok bool) {
	s := w.by[zone]
	switch {
	case s == nil || s.out:
		return 0, false
	case s.state == Lost:
		return 0, s.run > 0
	case s.state == Returning:
		return s.level, s.tookAt >= s.since && s.run == 0
	case s.state == Healthy && s.returned && w.turned-s.since < wholeSaid:
		return 1, true
	}
	return 0, false
}

// RecordCall takes the end of a call to an endpoint, which began at began.
func (w *Watch) RecordCall(now, began Time, address string, how CallOutcome) {
	p, ok := w.at[address]
	s := w.by[p.zone]
	if !ok || s == nil || how != Accepted && s.state == Returning && began < s.since {
		return // what failed before it answered again tells nothing of its return
	}
	w.ended(now, s, how)
}

func (w *Watch) ended(now Time, s *site, how CallOutcome) {
	c := &s.recent[0]
	switch how {
	case Rejected: // somebody is there, and full: it proves neither
		c.refused++
		return
	case Accepted:
		c.taken++
		s.run, s.silent, s.tookAt = 0, 0, now
		if s.state == Lost && !s.out && now >= s.holdTil {
			s.level = max(leastLevel, min(firstLevel, s.proved))
			w.become(now, s, Returning, "a call was taken there")
		}
		return
	case NoResponse:
		c.silent++
		s.silent++
	}
	c.failed++
	if s.run++; s.run == 1 {
		s.runAt = now
	}
}

// Changes are the changes since it was last asked.
func (w *Watch) Changes() (all []Change) {
	all, w.changes = w.changes, nil
	return all
}

// Tick looks at all sites. It comes a few times a second.
func (w *Watch) Tick(now Time) {
	if !w.started {
		w.started, w.began, w.turned = true, now, now
	}
	span := now - w.turned
	w.turned = now
	shift := now-w.bucket >= bucket
	if shift {
		w.bucket = now
	}
	for _, s := range w.sites {
		w.look(now, span, s)
		if shift {
			copy(s.recent[1:], s.recent[:])
			s.recent[0] = counts{}
		}
	}
}

// SetManuallyOut takes a site out, or lets it come back by the ramp. It is false where the plan has no such site.
func (w *Watch) SetManuallyOut(now Time, zone string, out bool) bool {
	s := w.by[zone]
	switch {
	case s == nil:
		return false
	case out && !s.out:
		s.out = true
		w.become(now, s, Lost, "taken out by hand")
	case !out && s.out:
		s.out, s.holdTil, s.run, s.silent = false, 0, 0, 0
		s.level = firstLevel
		if s.eps == 0 {
			w.become(now, s, Healthy, "brought back by hand")
		} else {
			w.become(now, s, Returning, "brought back by hand")
		}
	}
	return true
}

// Statuses are what is made of all sites, in the plan's order.
func (w *Watch) Statuses() (all []Status) {
	for _, s := range w.sites {
		c := s.sum()
		all = append(all, Status{Zone: s.name, State: s.state.String(), Since: s.since, Why: s.why, LoadFraction: s.level, ManuallyOut: s.out, MaybePartitioned: s.cut, Relays: s.relays, RelaysAlive: s.alive,
			CallsAccepted: c.taken, CallsRejected: c.refused, CallsFailed: c.failed, FailedReturns: s.flaps, MaxSpillRate: s.rate, Tier: s.tier, Endpoints: s.eps})
	}
	return all
}

// State is what a zone is taken for; a zone without a site is whole.
func (w *Watch) State(zone string) State {
	if s := w.by[zone]; s != nil {
		return s.state
	}
	return Healthy
}

// LoadFraction is the part of its load that a site is given.
func (w *Watch) LoadFraction(zone string) float64 {
	if s := w.by[zone]; s != nil {
		return s.level
	}
	return 1
}

// --- what the module asks: policy.Reach ---
