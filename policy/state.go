package policy

// This file holds the relay's state: types and helpers, but no decisions.

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

// message is a message that this relay owes an answer or has an attempt in flight for.
type message struct {
	id                          uint32
	class                       *Class
	tenant                      *tenant
	key                         *orderingKey
	dest                        *destination
	arrived, targetAt, deadline Time // targetAt: when its target latency ends
	attempts                    int
	call                        *call  // the attempt in flight
	sentAt                      Time   // when the latest attempt was sent
	answered                    bool   // it needs no answer any more
	overQuota                   bool   // its tenant was over its quota
	recovered                   bool   // accepted by an earlier process
	mayHaveRun                  bool   // some attempt may have run
	uncertainSince              Time   // when the first such attempt was sent
	uncertainZone               string // zone that it was sent to
}

// call is a call in flight; the messages of a batch share one.
type call struct {
	endpoint       *endpoint
	sentAt         Time
	unfinished     int           // messages whose attempt has not ended
	assessed       bool          // its outcome was applied to the health of its route
	afterRejection bool          // sent soon after a rejection
	idleFor        time.Duration // how long its connection was unused; 0: new, or shared with other calls
}

// orderingKey is the queue of an ordering key, in order of arrival.
type orderingKey struct {
	queue      []*message
	quietUntil Time
	quietFor   *message // message whose attempt may still run
}

// quietAtLeastUntil delays the key's messages until that time. A nil key has none.
func (k *orderingKey) quietAtLeastUntil(until Time) {
	if k != nil {
		k.quietUntil = max(k.quietUntil, until)
	}
}

// tenant is a tenant with the token bucket of its quota.
type tenant struct {
	Tenant
	tokens  float64 // messages that it may submit now within its quota
	updated Time    // when tokens were last added
}

// endpoint is an entry of the endpoint list with the state of its calls and connections.
type endpoint struct {
	connFailedAt Time // when it last refused a connection; 0: never, or it soon accepted one
	Endpoint
	dest                  *destination
	route                 *route
	skipped               bool    // gets no regular traffic
	calls, failures       int     // calls in flight, and failures in a row
	lastFailure, lastUsed Time    // lastUsed: when a call last began or ended; 0: no open connection
	tieBreak              float64 // this relay's own order among equal endpoints
	connLimit             float64 // calls at once that it seems to accept connections for; 0: unknown
	outsideSubset         bool    // this relay keeps no connections to it
}

// routeHealth is the assumed health of a route.
type routeHealth int

const (
	healthy routeHealth = iota
	down                // only probe traffic
	ramping             // recovered, but cold
)

// route is what calls are paced for: a destination, or one endpoint of it where routes are
// separate.
type route struct {
	dest                     *destination
	hash                     uint64 // equal at all relays
	endpoints                []*endpoint
	calls                    []*call
	interval                 time.Duration // pacing interval
	healthyInterval          time.Duration // pacing interval at the last success outside an outage
	lastCall, lengthenedAt   Time
	rejectionsCountUntil     Time // until then, rejected calls are assumed to count against the rate limit
	rejectedAt               Time
	jitter                   float64 // factor on the next pacing interval
	blockedUntil             Time    // end of a Retry-After
	notBefore                Time    // no call before it, whatever the interval
	health                   routeHealth
	rampStart                Time
	unsuccessful, failed     int  // calls in a row without success, and failures among them
	mayHaveRun               bool // one of those failures may have run
	runStart, lastSuccess    Time // runStart: when that run began
	failureShare             float64
	latency, recentLatency   time.Duration // latency: the usual one
	served                   int
	rate                     float64 // calls per second from all relays, as reported or listed; 0: unknown
	rateReported, wasAtLimit bool    // rateReported: by an answer
	spanStart                Time
	servedRate               float64    // calls per second served to this relay
	fleet                    RouteStats // latest fleet update
	fleetAt                  Time       // 0: never
}

// destination is a destination with its routes and the messages that wait for it.
type destination struct {
	demand        float64 // messages per second that arrive for it here, averaged over rateWindow
	lastArrival   Time
	id            int
	kind          *Kind
	routes        []*route
	blockedUntil  Time            // end of a Retry-After of endpoints that have all left
	blockedRoutes map[string]Time // the same for separate routes, by address
	calls         int             // in flight
	queued        int             // messages waiting, as of countedStep
	countedStep   int
	expectedRate  float64 // messages per second that it is expected to accept; 0: unlimited
	freeAt        Time    // earliest time of the next call
	minValue      float64 // value that a message needs to wait here, from those recently rejected
}

// Relay is the policy engine of one relay. It is not safe for concurrent use.
type Relay struct {
	cfg                              Settings
	rng                              *rand.Rand
	now, timerAt                     Time
	started                          bool
	stopping                         bool
	classes                          map[string]*Class
	tenants                          map[string]*tenant
	kinds                            map[string]*Kind
	fees                             map[string]float64
	messages                         map[uint32]*message
	pending                          []*message // in order of arrival
	keys                             map[string]*orderingKey
	destinations                     map[int]*destination
	endpoints                        map[string]*endpoint
	calls                            int
	quota, arrivalRate               float64 // messages per second: of all tenants, and arriving here
	lastArrival, subscribeAt         Time    // subscribeAt: next attempt to subscribe; -1: none is due
	subscribeFailures, attemptsEnded int
	lastShed, spanStart              Time
	completionRate                   float64               // attempts that end per second
	retryAccepted                    map[*Kind]float64     // share of calls soon after a rejection that were accepted
	quickRecovery                    map[*Kind]float64     // share of failed connections soon followed by a success
	connRefused                      map[*Kind]Time        // when an endpoint of the kind last refused a connection
	freed                            []*endpoint           // endpoints whose calls ended in this step
	reuse                            keepalive.IdleLimiter // limits the reuse of idle connections
	shortage                         time.Duration         // how long all calls have been in use recently
	minTarget                        time.Duration         // of all classes
	maxDeadline                      time.Duration         // of all classes
	firstInterval                    time.Duration         // allows a few attempts within the shortest target latency
	quickFailure                     time.Duration         // a connection that fails sooner was refused, not unanswered
	inFlight                         []*call
	inherited                        []*call // calls in flight of the previous process
	skipped                          int     // endpoints that get no regular traffic
	steps                            int
	actions                          []Action
	sitePlan                         SitePlan
}

// slotHash returns a number that assigns time slots to a route. It is the same at all relays.
func slotHash(d *destination, entry Endpoint) uint64 {
	h := fnv.New64a()
	if d.kind.SeparateRoutes {
		io.WriteString(h, entry.Address)
	} else {
		fmt.Fprint(h, d.id)
	}
	return h.Sum64()
}

// without removes x from list, which it modifies.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return x == y })
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *Relay) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Relay) logf(format string, args ...any) { r.emit(LogLine{fmt.Sprintf(format, args...)}) }

// SkippedEndpoints returns the number of listed endpoints without regular traffic: they drain, or
// their route is down.
func (r *Relay) SkippedEndpoints() int { return r.skipped }

// updateSkipped records whether ep gets regular traffic.
func (r *Relay) updateSkipped(ep *endpoint) {
	if skipped := ep.State == Draining || ep.State == Listed && ep.route.health == down; skipped != ep.skipped {
		if ep.skipped = skipped; skipped {
			r.skipped++
		} else {
			r.skipped--
		}
	}
}

// countFailure records one more failed call in a row.
func (rt *route) countFailure(o Outcome) {
	rt.failed++
	rt.mayHaveRun = rt.mayHaveRun || o != ConnectFailed && o != RequestIncomplete
}

// meanRampTime returns how long the route had ramped, averaged over the time since its last call;
// time before the ramp counts as 0.
func (rt *route) meanRampTime(now Time) float64 {
	ramped, before := float64(now-rt.rampStart), float64(max(0, rt.lastCall-rt.rampStart))
	if now <= rt.lastCall {
		return ramped
	}
	return (ramped*ramped - before*before) / 2 / float64(now-rt.lastCall)
}

// slow reports whether recent answers took several times the usual latency.
func (rt *route) slow() bool { return rt.recentLatency > slowLatencies*rt.latency }

// hasWarmConn reports whether ep seems to have an open connection.
func (r *Relay) hasWarmConn(ep *endpoint) bool {
	return ep.lastUsed > 0 && (r.cfg.IdleConnTimeout == 0 || r.now-ep.lastUsed < r.cfg.IdleConnTimeout)
}

// setHealth sets the health of rt, and with it which endpoints are skipped.
func (r *Relay) setHealth(rt *route, s routeHealth) {
	rt.health = s
	for _, ep := range rt.endpoints {
		r.updateSkipped(ep)
	}
}

// addArrival returns the arrival rate over rateWindow after one more arrival.
func (r *Relay) addArrival(rate float64, last Time) float64 {
	w := rateWindow.Seconds()
	return rate*max(0, 1-(r.now-last).Seconds()/w) + 1/w
}

// valueShareAt returns the share of its value that m has at the given time.
func (r *Relay) valueShareAt(m *message, at Time) float64 {
	c := m.class
	late := float64(at - m.targetAt)
	switch {
	case late <= 0:
		return 1
	case at >= m.deadline:
		return 0
	case r.cfg.ExponentialDecay:
		return max(c.LateValue, math.Exp2(-late/float64(c.TargetLatency)))
	}
	return 1 - (1-c.LateValue)*late/float64(c.Deadline-c.TargetLatency)
}

// owedAttempt reports whether m was accepted by an earlier process and has had no attempt yet.
func (m *message) owedAttempt() bool { return m.recovered && m.attempts == 0 }

// underTerms returns c for a message that was accepted under other terms. Where c would loosen a
// rule for it, the earlier terms stay.
func (c *Class) underTerms(was Class) *Class {
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

// dropUnlisted deletes the tenants that the settings no longer list.
func dropUnlisted(known map[string]*tenant, listed []Tenant) {
	for name := range known {
		if !slices.ContainsFunc(listed, func(t Tenant) bool { return t.Name == name }) {
			delete(known, name)
		}
	}
}

// routeOf returns the route that the statistics are about; nil: unknown.
func (r *Relay) routeOf(u RouteStats) *route {
	if ep := r.endpoints[u.Endpoint]; ep != nil && ep.dest.kind.SeparateRoutes {
		return ep.route
	}
	if d := r.destinations[u.Destination]; u.Endpoint == "" && d != nil &&
		len(d.routes) == 1 && !d.kind.SeparateRoutes {
		return d.routes[0]
	}
	return nil
}

// destination returns the destination with that id and creates it if needed.
func (r *Relay) destination(id int) *destination {
	d := r.destinations[id]
	if d == nil {
		d = &destination{id: id, kind: &Kind{MaxBatch: 1}}
		r.destinations[id] = d
	}
	return d
}

// removeFromRoute removes ep from its route, and the route with its last endpoint. A Retry-After
// outlives the endpoints: it holds for their replacements, or for a separate route that returns.
func (ep *endpoint) removeFromRoute(now Time) {
	if ep.route.endpoints = without(ep.route.endpoints, ep); len(ep.route.endpoints) > 0 {
		return
	}
	d := ep.dest
	if d.routes = without(d.routes, ep.route); !d.kind.SeparateRoutes {
		d.blockedUntil = ep.route.blockedUntil
		return
	}
	maps.DeleteFunc(d.blockedRoutes, func(_ string, until Time) bool { return until <= now })
	if ep.route.blockedUntil > now {
		if d.blockedRoutes == nil {
			d.blockedRoutes = map[string]Time{}
		}
		d.blockedRoutes[ep.Address] = ep.route.blockedUntil
	}
}

// forget removes m from the relay and from the queue of its ordering key.
func (r *Relay) forget(m *message) {
	delete(r.messages, m.id)
	if m.key != nil {
		m.key.queue = without(m.key.queue, m)
	}
}

// setSubset records which endpoints of a destination this relay keeps connections to. Connections
// to others are closed when idle.
func (r *Relay) setSubset(e Subset) {
	d := r.destinations[e.Destination]
	if d == nil {
		return
	}
	named := map[string]bool{}
	for _, address := range e.Endpoints {
		named[address] = true
	}
	for _, rt := range d.routes {
		for _, ep := range rt.endpoints {
			ep.outsideSubset = len(named) > 0 && !named[ep.Address]
			if ep.outsideSubset && ep.calls == 0 && ep.lastUsed > 0 {
				r.emit(CloseIdle{ep.Address})
				ep.lastUsed = 0
			}
		}
	}
}

// updateSites replaces the plan for sites; without one, every endpoint is allowed. It forgets the
// failures of a zone that answers again, and starts the routes of a cold zone on a ramp.
func (r *Relay) updateSites(e SitesUpdate) {
	if r.sitePlan = e.Plan; r.sitePlan == nil {
		r.sitePlan = noSitePlan{}
	}
	for _, ep := range r.endpoints {
		if e.ReturnedZone != "" && ep.Zone == e.ReturnedZone {
			ep.failures = 0
		}
		elsewhere := func(o *endpoint) bool { return o.Zone != e.ColdZone }
		if rt := ep.route; e.ColdZone != "" && rt.health == healthy && !slices.ContainsFunc(rt.endpoints, elsewhere) {
			rt.rampStart = r.now
			r.setHealth(rt, ramping)
		}
	}
}

// noSitePlan allows everything.
type noSitePlan struct{}

func (noSitePlan) Allows(int, string, bool) bool { return true }
func (noSitePlan) CallSent(int, string)          {}
func (noSitePlan) EndpointCost(string) float64   { return 0 }
func (noSitePlan) ShedPriority(string) float64   { return 0 }
func (noSitePlan) MaxAttempts(_, most int) int   { return most }
func (noSitePlan) SiteLost() bool                { return false }

// zoneAllowed reports whether repeats of m are dropped in the zone of ep, or m needs no such zone.
func zoneAllowed(m *message, ep *endpoint) bool {
	return !m.mayHaveRun || !m.class.ZoneOnly || ep.Zone == m.uncertainZone
}

// maySendTo reports whether m may go to ep now, by its zone and by the plan for sites.
func (r *Relay) maySendTo(m *message, ep *endpoint) bool {
	return zoneAllowed(m, ep) && r.sitePlan.Allows(m.dest.id, ep.Zone, m.class.Effect == Unsafe)
}

// spreadRetryAfter adds up to a third to a Retry-After for clients while a site is lost. The result
// stays within MaxRetryAfter.
func (r *Relay) spreadRetryAfter(after time.Duration) time.Duration {
	if !r.sitePlan.SiteLost() {
		return after
	}
	return scale(min(after, scale(r.cfg.MaxRetryAfter, 0.75)), 1+r.rng.Float64()/3)
}

// raiseMinValue records that m could not be sent in time: others need a higher value to wait for
// the destination. A message over its tenant's quota counts only if always is set.
func (d *destination) raiseMinValue(m *message, always bool) {
	if always || !m.overQuota {
		d.minValue += max(0, m.class.Value-d.minValue) * sampleWeight
	}
}
