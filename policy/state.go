package policy

// What a relay keeps in memory: types and plain helpers, no decision.

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"

	"oatfold/internal/keepalive"
)

// message is a message that this relay owes an answer for, or has an attempt out for.
type message struct {
	id                       uint32
	class                    *Class
	tenant                   *tenant
	key                      *key
	dest                     *destination
	arrived, aimAt, deadline Time
	tries                    int
	call                     *call // the attempt that is out
	sentAt                   Time
	answered                 bool
	extra                    bool // past its tenant's share
	kept                     bool // a process before this one took it on
	mayHave                  bool // some attempt may have run
	firstRisk                Time // when the first such attempt was sent
	riskZone                 string
}

// call is one call that is out; a batch shares one.
type call struct {
	ep     *endpoint
	sentAt Time
	left   int
	judged bool
	again  bool          // sent soon after a refusal
	idle   time.Duration // how long its connection had been unused; 0: it is new, or carries other calls
}

// key is the queue of an ordered key, in order of arrival.
type key struct {
	queue   []*message
	quiet   Time
	quietBy *message
}

// rest keeps the key's messages until that time. No key has nothing to keep.
func (k *key) rest(til Time) {
	if k != nil {
		k.quiet = max(k.quiet, til)
	}
}

type tenant struct {
	Tenant
	tokens  float64
	updated Time
}

type endpoint struct {
	noConnAt Time // when a connection to it last failed
	Endpoint
	dest               *destination
	line               *line
	skipped            bool    // it gets no usual work
	calls, fails       int     // calls out, and failed in a row
	lastFail, lastUsed Time    // lastUsed: when a call last began or ended
	whim               float64 // this relay's own order among endpoints that are alike
	connCap            float64 // calls at once that it seems to take connections for; 0: not known
	far                bool    // not one of those that this relay keeps connections to
}

// lineState is what a line is taken for.
type lineState int

const (
	healthy lineState = iota
	out               // an outage: trickle
	ramping           // back, and cold
)

// line is what has one slot: a destination, or a route of one where routes are apart.
type line struct {
	dest             *destination
	hash             uint64 // of what it is named by, alike at all relays
	eps              []*endpoint
	calls            []*call
	gap              time.Duration // the slot's length
	calmGap          time.Duration // and as of the last success outside an outage
	claimed, grownAt Time
	countsTil        Time // until then, refused calls are taken to use up its limit
	refusedAt        Time
	jitter           float64
	waitTil          Time // end of a told wait
	nextAt           Time // no call goes before, whatever the slot
	state            lineState
	rampAt           Time
	run, hardRun     int  // calls in a row without a success, and failures among them
	swallows         bool // one of those failures may have run
	runAt, lastOK    Time // when that run began, and the last success
	bad              float64
	latency, recent  time.Duration // usual, and of late
	served           int
	rate             float64 // calls a second that it takes from all senders, as told or listed; 0 if neither
	told, pressed    bool    // told: by an answer
	spanAt           Time
	ownRate          float64    // calls a second that it has served this relay
	usual            RouteStats // what the fleet sees of it
	heardAt          Time       // when that was heard; 0: never
}

type destination struct {
	demand  float64 // messages a second that come in for it here, averaged over rateMemory
	lastIn  Time
	id      int
	kind    *Kind
	lines   []*line
	waitTil Time            // told to endpoints that have all left
	routes  map[string]Time // the same of routes apart, by address
	calls   int
	queue   int // messages waiting, as of step counted
	counted int
	pace    float64 // messages a second that it can be expected to take; 0: any
	freeAt  Time    // when its first slot ends
	price   float64 // worth that a message has to fetch to wait there, from what was turned away of late
}

// Relay makes the decisions of one relay. It is not safe for concurrent use.
type Relay struct {
	set             Settings
	rng             *rand.Rand
	now, wakeAt     Time
	booted          bool
	stopping        bool
	classes         map[string]*Class
	tenants         map[string]*tenant
	kinds           map[string]*Kind
	fees            map[string]float64
	msgs            map[uint32]*message
	held            []*message // in order of arrival
	keys            map[string]*key
	dests           map[int]*destination
	eps             map[string]*endpoint
	calls           int
	quota, arriving float64 // messages a second: of all tenants, and coming in here
	lastIn, askAt   Time
	askTries, done  int
	shedAt, paceAt  Time
	pace            float64               // messages a second that attempts have ended for
	again           map[*Kind]float64     // share of calls soon after a refusal that were taken
	soon            map[*Kind]float64     // share of failed connections after which the endpoint answered within the aim
	noConn          map[*Kind]Time        // when one of its endpoints last took no connection
	spare           []*endpoint           // whose calls have ended in this step
	idle            keepalive.IdleLimiter // in connections that were unused for a while
	short           time.Duration         // for how long call slots have been short, of late
	aim             time.Duration         // the shortest aim
	patience        time.Duration         // the longest deadline
	turn            time.Duration         // the first slot: a few attempts fit into the shortest aim
	atOnce          time.Duration         // a connection that fails within it was refused, not left unanswered
	out             []*call               // the calls that are out
	lent            []*call               // of these, the ones of the process before
	skipped         int                   // endpoints that get no usual work
	steps           int
	acts            []Action
	reach           SitePlan
}

// hash is a number for a line that all relays make alike.
func hash(d *destination, en Endpoint) uint64 {
	h := fnv.New64a()
	if d.kind.SeparateRoutes {
		io.WriteString(h, en.Address)
	} else {
		fmt.Fprint(h, d.id)
	}
	return h.Sum64()
}

func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return x == y })
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *Relay) do(a Action) { r.acts = append(r.acts, a) }

func (r *Relay) note(format string, args ...any) { r.do(LogLine{fmt.Sprintf(format, args...)}) }

// SkippedEndpoints counts the listed endpoints that get no usual work: they drain, or their line is out.
func (r *Relay) SkippedEndpoints() int { return r.skipped }

// reckon books whether ep is one of them.
func (r *Relay) reckon(ep *endpoint) {
	if skipped := ep.State == Draining || ep.State == Listed && ep.line.state == out; skipped != ep.skipped {
		if ep.skipped = skipped; skipped {
			r.skipped++
		} else {
			r.skipped--
		}
	}
}

// countFailure books one more failed call in a row.
func (l *line) countFailure(o Outcome) {
	l.hardRun++
	l.swallows = l.swallows || o != ConnectFailed && o != RequestIncomplete
}

// meanRamp is for how long the line had ramped, in the mean of all moments since its last call; before its ramp that counts as nought.
func (l *line) meanRamp(now Time) float64 {
	ramped, before := float64(now-l.rampAt), float64(max(0, l.claimed-l.rampAt))
	if now <= l.claimed {
		return ramped
	}
	return (ramped*ramped - before*before) / 2 / float64(now-l.claimed)
}

func (l *line) slow() bool { return l.recent > slowLatencies*l.latency }

// warm tells whether ep seems to have an open connection.
func (r *Relay) warm(ep *endpoint) bool {
	return ep.lastUsed > 0 && (r.set.IdleConnTimeout == 0 || r.now-ep.lastUsed < r.set.IdleConnTimeout)
}

// become moves the line to another state.
func (r *Relay) become(l *line, s lineState) {
	l.state = s
	for _, ep := range l.eps {
		r.reckon(ep)
	}
}

// average books one arrival in a rate over rateMemory.
func (r *Relay) average(rate float64, last Time) float64 {
	w := rateMemory.Seconds()
	return rate*max(0, 1-(r.now-last).Seconds()/w) + 1/w
}

// worthAt is the share of its worth that m has left at the given time.
func (r *Relay) worthAt(m *message, at Time) float64 {
	c := m.class
	late := float64(at - m.aimAt)
	switch {
	case late <= 0:
		return 1
	case at >= m.deadline:
		return 0
	case r.set.ExponentialDecay:
		return max(c.LateValue, math.Exp2(-late/float64(c.TargetLatency)))
	}
	return 1 - (1-c.LateValue)*late/float64(c.Deadline-c.TargetLatency)
}

// owedTry tells whether m was taken on by an earlier process and has not been tried yet.
func (m *message) owedTry() bool { return m.kept && m.tries == 0 }

// under is c for a message that was taken on under other terms: wherever c would loosen a rule for it, those stay.
func (c *Class) under(was Class) *Class {
	now := *c
	if now.Effect = max(c.Effect, was.Effect); now.Effect == Keyed && was.Effect == Keyed {
		now.ZoneOnly = was.ZoneOnly || c.ZoneOnly
		if now.RepeatWindow = was.RepeatWindow; c.Effect == Keyed {
			now.RepeatWindow = min(c.RepeatWindow, was.RepeatWindow)
		}
	}
	if now == *c {
		return c
	}
	return &now
}

// unlisted forgets the tenants that settings don't name any more.
func unlisted(known map[string]*tenant, listed []Tenant) {
	for name := range known {
		if !slices.ContainsFunc(listed, func(t Tenant) bool { return t.Name == name }) {
			delete(known, name)
		}
	}
}

// lineOf is the line that news tell of; nil: none that this relay knows.
func (r *Relay) lineOf(u RouteStats) *line {
	if ep := r.eps[u.Endpoint]; ep != nil && ep.dest.kind.SeparateRoutes {
		return ep.line
	}
	if d := r.dests[u.Destination]; u.Endpoint == "" && d != nil && len(d.lines) == 1 && !d.kind.SeparateRoutes {
		return d.lines[0]
	}
	return nil
}

func (r *Relay) dest(id int) *destination {
	d := r.dests[id]
	if d == nil {
		d = &destination{id: id, kind: &Kind{MaxBatch: 1}}
		r.dests[id] = d
	}
	return d
}

// leave takes ep out of its line, which goes with its last endpoint. What a destination told binds those that come in
// its place; where routes are apart, what one told binds it alone, if it comes back.
func (ep *endpoint) leave(now Time) {
	if ep.line.eps = without(ep.line.eps, ep); len(ep.line.eps) > 0 {
		return
	}
	d := ep.dest
	if d.lines = without(d.lines, ep.line); !d.kind.SeparateRoutes {
		d.waitTil = ep.line.waitTil
		return
	}
	maps.DeleteFunc(d.routes, func(_ string, til Time) bool { return til <= now })
	if ep.line.waitTil > now {
		if d.routes == nil {
			d.routes = map[string]Time{}
		}
		d.routes[ep.Address] = ep.line.waitTil
	}
}

// release forgets m.
func (r *Relay) release(m *message) {
	delete(r.msgs, m.id)
	if m.key != nil {
		m.key.queue = without(m.key.queue, m)
	}
}

// keepTo books which endpoints of a destination this relay keeps connections to. Idle connections to others are closed, and those that carry
// calls as soon as they carry none.
func (r *Relay) keepTo(e Subset) {
	d := r.dests[e.Destination]
	if d == nil {
		return
	}
	named := map[string]bool{}
	for _, address := range e.Endpoints {
		named[address] = true
	}
	for _, l := range d.lines {
		for _, ep := range l.eps {
			ep.far = len(named) > 0 && !named[ep.Address]
			if ep.far && ep.calls == 0 && ep.lastUsed > 0 {
				r.do(CloseIdle{ep.Address})
				ep.lastUsed = 0
			}
		}
	}
}

// sites takes what holds for sites; without a plan all is open.
func (r *Relay) sites(e SitesUpdate) {
	if r.reach = e.Plan; r.reach == nil {
		r.reach = anywhere{}
	}
	for _, ep := range r.eps {
		if e.ReturnedZone != "" && ep.Zone == e.ReturnedZone {
			ep.fails = 0
		}
		elsewhere := func(o *endpoint) bool { return o.Zone != e.ColdZone }
		if l := ep.line; e.ColdZone != "" && l.state == healthy && !slices.ContainsFunc(l.eps, elsewhere) {
			l.rampAt = r.now
			r.become(l, ramping)
		}
	}
}

// anywhere is the reach of a relay without a plan for sites.
type anywhere struct{}

func (anywhere) Allows(int, string, bool) bool { return true }
func (anywhere) CallSent(int, string)          {}
func (anywhere) EndpointCost(string) float64   { return 0 }
func (anywhere) ShedPriority(string) float64   { return 0 }
func (anywhere) MaxAttempts(_, most int) int   { return most }
func (anywhere) SiteLost() bool                { return false }

// allowed tells whether m may go to ep as far as its group is concerned.
func allowed(m *message, ep *endpoint) bool {
	return !m.mayHave || !m.class.ZoneOnly || ep.Zone == m.riskZone
}

// open tells whether m may go to ep now, by its group and by the plan for sites.
func (r *Relay) open(m *message, ep *endpoint) bool {
	return allowed(m, ep) && r.reach.Allows(m.dest.id, ep.Zone, m.class.Effect == Unsafe)
}

// apart draws advice when to come again over a third of it, or of the longest that is observed, while a site is lost.
func (r *Relay) apart(advice time.Duration) time.Duration {
	if !r.reach.SiteLost() {
		return advice
	}
	return part(min(advice, part(r.set.MaxRetryAfter, 0.75)), 1+r.rng.Float64()/3)
}

// turnedAway books that the destination could not be sent a message in time: what waits for it has to be worth more. A message past its
// tenant's share counts where any says so.
func (d *destination) turnedAway(m *message, any bool) {
	if any || !m.extra {
		d.price += max(0, m.class.Value-d.price) * lossWeight
	}
}
