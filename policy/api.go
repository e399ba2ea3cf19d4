package policy

import (
	"time"

	"oatfold/internal/pacing"
)

// Time is a moment on the caller's monotonic clock, counted from any fixed start.
type Time = time.Duration

// Settings is what a relay is told when it starts. It never changes afterwards.
type Settings struct {
	Relays               int             // relays that share the destinations, this one counted
	TimeSlots            pacing.Schedule // this relay's among them; the zero value: it keeps none
	ClockOffset          time.Duration   // what the clock that all relays share shows at Time 0
	MaxConcurrentCalls   int             // calls this relay may have out at once
	NoGossip             bool            // relays may not tell one another anything
	MaxDestinationShare  float64         // most of them that one destination may hold; 0: three quarters
	MaxPending           int             // messages it may hold, sent or not
	MaxAttempts          int             // attempts for one message, unused ones counted
	MustSubscribe        bool            // endpoint news comes only to those that subscribe
	MaxSubscribeInterval time.Duration   // an unsubscribed relay has to ask at least this often
	SendRetryAfter       bool            // clients hear Refuse.RetryAfter
	MaxRetryAfter        time.Duration   // the longest advice that a client observes
	Tick                 time.Duration   // shortest time between two steps
	IdleConnTimeout      time.Duration   // connections unused for this long close by themselves
	RatesListed          bool            // Endpoint.Rate holds the destination's calls a second
	ColdStartShare       float64         // share of its capacity that a returning destination has at once
	WarmUpTime           time.Duration   // and all of it after this
	OverloadFactor       float64         // more than this multiple of its present capacity ...
	OverloadTime         time.Duration   // ... for this long knocks a cold destination over
	KeyQuietTime         time.Duration   // rest of an ordered key after an attempt that may still run
	ExponentialDecay     bool            // worth halves with each further aim; else it falls evenly to the deadline
	OverQuotaValue       float64         // worth of a message past its tenant's share
	Classes              []Class
	Tenants              []Tenant
	Kinds                []Kind
	Zones                []Zone
}

// Effect says what repeating a message does.
type Effect int

// The effects of a repeat.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // a repeat is dropped by some endpoints for a while
	Unsafe               // must never run twice
)

// Class is a class of message.
type Class struct {
	Name          string
	Effect        Effect
	ZoneOnly      bool          // Keyed: only endpoints of one zone drop repeats of each other
	RepeatWindow  time.Duration // Keyed: for how long repeats are dropped
	Ordered       bool          // messages with one key go one at a time
	TargetLatency time.Duration // full worth until then
	Deadline      time.Duration // no worth after it
	Value         float64
	LateValue     float64 // share of the worth left at the deadline
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // messages a second over all relays within its share
}

// Kind is a kind of destination.
type Kind struct {
	Name           string
	MaxBatch       int  // messages in one call at most
	SeparateRoutes bool // each endpoint has its own limit, pace and outages
}

// Zone is a place endpoints are in.
type Zone struct {
	Name string
	Fee  float64 // cost of a message on a separate route there, in worth
}

// EndpointState is what the list says of an endpoint. It tells nothing of health.
type EndpointState int

// The states of a listed endpoint.
const (
	Listed EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Address     string
	Destination int
	Kind        string
	Zone        string
	State       EndpointState
	Rate        float64 // see Settings.RatesListed
}

// Event is something that a relay learns: one of the types below.
type Event interface{ event() }

// Submitted hands a message to the relay, which now owes it one final answer.
type Submitted struct {
	ID          uint32
	Class       string
	Tenant      string
	Key         string // ordered classes: what the message is about
	Destination int
	TimeLeft    time.Duration // how long it may still be delivered

	// Of a message that an earlier life of this relay left behind:
	Attempts     int           // attempts made
	MayHaveRun   bool          // one of them may have run
	UncertainAge time.Duration // time since the first such attempt was sent
	Recovered    bool          // that life took it on
	Terms        Class         // Effect, Window and ZoneOnly that it was taken on under; Safe: none of its own
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Delivered         Outcome = iota
	Errored                   // the destination answered with an error; it may have run
	Rejected                  // turned away unseen; it never ran
	TimedOut                  // no answer in time; it may have run
	ConnectFailed             // no connection; it never ran
	ConnectionLost            // the connection broke; it may have run
	Cancelled                 // called off; it may have run
	Unsent                    // never sent
	RequestIncomplete         // a new connection ended before all of the call was written; it never ran
)

// AttemptEnded reports the end of an attempt. Each Send gets exactly one.
type AttemptEnded struct {
	ID         uint32
	Attempt    int // counted from 0
	Endpoint   string
	Outcome    Outcome
	Duration   time.Duration
	Final      bool          // the message has had its final answer
	RetryAfter time.Duration // Rejected: wait told by the destination
	Report     *LimitReport  // what the destination told of its limit, nil if nothing
}

// LimitReport is what an answer tells of a destination's limit, some time old and not exact.
type LimitReport struct {
	Remaining float64 // share of the limit that is left
	Limit     float64 // calls a second from all senders; 0 if there is no limit
}

// FleetUpdate tells what the relays of the fleet see. It may be late, or never come.
type FleetUpdate struct {
	Routes []RouteStats
	Relays int // relays that may be calling, in place of Settings.Senders; 0: not told
}

// RouteStats is what a relay of the fleet sees of a destination in the mean, each second.
type RouteStats struct {
	Destination int
	Endpoint    string  // a separate route that the rest is about; empty: the destination
	Demand      float64 // messages that come in
	Accepted    float64 // calls that the destination takes
	Rejected    float64 // calls that it turns away
	Failed      float64 // calls that do not come through, or whose answer is lost
	Calls       int     // calls that the figures come from
	Allowance   float64 // calls that this relay may make; 0: any

	OthersProbe bool          // it is out, and it is for others to try it
	Reporters   int           // relays that saw calls fail; 0: not counted
	RetryAfter  time.Duration // that others were told to keep, and still have to
}

// Subset tells which endpoints of a destination this relay keeps connections to. Others are for when
// these are sick or full.
type Subset struct {
	Destination int
	Endpoints   []string // none: all
}

// SitesUpdate says what holds for sites from now on, by the operator's plan; nil: there is none.
type SitesUpdate struct {
	Plan         SitePlan
	ReturnedZone string // the zone answers again: what failed at its endpoints is forgotten; empty: none
	ColdZone     string // the zone was lost, and this relay saw nothing of it; empty: none
}

// SitePlan is asked which sites calls may go to, and what is refused first, while a site is lost or returns. It
// answers at once, and belongs to the goroutine that the module does.
type SitePlan interface {
	Allows(dest int, zone string, unsafe bool) bool // a call for dest may go to the zone's endpoints now
	CallSent(dest int, zone string)                 // one went there
	EndpointCost(zone string) float64               // of an endpoint there beside others, in parts of the slots
	ShedPriority(class string) float64              // the class is refused before those of a smaller figure
	MaxAttempts(dest, most int) int                 // that a message for dest may have, of so many
	SiteLost() bool                                 // a site is lost: those refused come again apart
}

// Withdrawn says that nothing more is owed for a message.
type Withdrawn struct{ ID uint32 }

// Stopping says that the process ends soon: no attempt begins any more that may not be repeated, since one
// that is cut off may have run.
type Stopping struct{}

// TimerFired answers a WakeAfter.
type TimerFired struct{}

// ListUpdateKind is the kind of a piece of news about the endpoint list.
type ListUpdateKind int

// The kinds of list news.
const (
	ListChanges     ListUpdateKind = iota // changed entries only
	ListSnapshot                          // everything; what is missing is gone
	ListRestored                          // the list as this relay last held it, perhaps stale
	ListUnavailable                       // a subscription failed or broke; keep the old list
)

// EndpointListUpdate is news of the endpoint list.
type EndpointListUpdate struct {
	Kind    ListUpdateKind
	Entries []Endpoint
}

func (Submitted) event()          {}
func (AttemptEnded) event()       {}
func (Withdrawn) event()          {}
func (TimerFired) event()         {}
func (Stopping) event()           {}
func (EndpointListUpdate) event() {}
func (FleetUpdate) event()        {}
func (Subset) event()             {}
func (SitesUpdate) event()        {}

// Action is something that a relay wants done: one of the types below.
type Action interface{ action() }

// Send starts an attempt. Sends of one step to one endpoint share a call, up to the kind's batch.
type Send struct {
	ID       uint32
	Endpoint string
	Timeout  time.Duration
}

// Refuse ends a message undelivered; its client may safely come again.
type Refuse struct {
	ID         uint32
	RetryAfter time.Duration // 0: no advice
}

// Fail ends a message; whether it took effect is not told.
type Fail struct{ ID uint32 }

// SetTimer asks for a Woke after the given time. Only the latest one needs to be kept.
type SetTimer struct{ Delay time.Duration }

// Subscribe asks for the changes of the endpoint list from now on.
type Subscribe struct{}

// CloseIdle closes the connections to an endpoint that carry no call.
type CloseIdle struct{ Endpoint string }

// LogLine is a line for the relay's log.
type LogLine struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (CloseIdle) action() {}
func (LogLine) action()   {}
