package policy

import (
	"time"

	"oatfold/internal/pacing"
)

// Time is a moment on the caller's monotonic clock, counted from any fixed start.
type Time = time.Duration

// Settings configures a relay's policy. New and Relay.Reconfigure check them.
type Settings struct {
	Relays               int             // relays that share the destinations, including this one
	TimeSlots            pacing.Schedule // this relay's time slots; the zero value has none
	ClockOffset          time.Duration   // reading, at Time 0, of the clock that all relays share
	MaxConcurrentCalls   int             // calls in flight from this relay at once
	NoGossip             bool            // relays exchange no gossip
	MaxDestinationShare  float64         // share of MaxConcurrentCalls for one destination; 0: three quarters
	MaxPending           int             // accepted messages that have not completed
	MaxAttempts          int             // attempts for one message, including those that were never sent
	MustSubscribe        bool            // endpoint list updates come only to subscribers
	MaxSubscribeInterval time.Duration   // longest time between two attempts to subscribe
	SendRetryAfter       bool            // clients receive Refuse.RetryAfter
	MaxRetryAfter        time.Duration   // longest Retry-After that a client observes
	Tick                 time.Duration   // shortest time between two steps
	IdleConnTimeout      time.Duration   // connections unused for this long close by themselves
	RatesListed          bool            // Endpoint.Rate holds the destination's rate limit
	ColdStartShare       float64         // share of its capacity that a recovered destination has at once
	WarmUpTime           time.Duration   // time until a recovered destination has its whole capacity
	OverloadFactor       float64         // a cold destination fails at this multiple of its capacity ...
	OverloadTime         time.Duration   // ... when the load lasts this long
	KeyQuietTime         time.Duration   // pause of an ordering key after an attempt that may still run
	ExponentialDecay     bool            // value halves per TargetLatency of delay; else it falls linearly
	OverQuotaValue       float64         // factor on the value of a message over its tenant's quota
	Classes              []Class
	Tenants              []Tenant
	Kinds                []Kind
	Zones                []Zone
}

// Effect says what repeating a message does.
type Effect int

// The effects of a repeat.
const (
	Safe   Effect = iota // idempotent
	Keyed                // some endpoints drop a repeat with the same idempotency key for a limited time
	Unsafe               // must not run twice
)

// Class is a class of messages.
type Class struct {
	Name          string
	Effect        Effect
	ZoneOnly      bool          // Keyed: repeats are dropped only among the endpoints of one zone
	RepeatWindow  time.Duration // Keyed: how long repeats are dropped
	Ordered       bool          // messages with the same ordering key are sent one at a time
	TargetLatency time.Duration // a message delivered within it keeps its full value
	Deadline      time.Duration // a message delivered after it has no value
	Value         float64
	LateValue     float64 // share of the value left at the deadline
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64 // of the service
	Quota float64 // messages per second over all relays within its share
}

// Kind is a partner type: what destinations of one sort have in common.
type Kind struct {
	Name           string
	MaxBatch       int  // messages in one call
	SeparateRoutes bool // each endpoint has its own rate limit and health
}

// Zone is a failure domain that holds endpoints.
type Zone struct {
	Name string
	Fee  float64 // cost of a message to an endpoint there, in units of value; separate routes only
}

// EndpointState is the state of an endpoint in the endpoint list. It says nothing about health.
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
	Rate        float64 // calls per second from all relays; see Settings.RatesListed
}

// Event is an input of Relay.Step: one of the types below.
type Event interface{ event() }

// Submitted submits a message to the relay, which then gives it exactly one final answer.
type Submitted struct {
	ID          uint32
	Class       string
	Tenant      string
	Key         string // ordering key; used by ordered classes
	Destination int
	TimeLeft    time.Duration // until the deadline

	// Of a message that was recovered from an earlier process:
	Attempts     int           // attempts made
	MayHaveRun   bool          // an attempt may have run
	UncertainAge time.Duration // time since the first attempt that may have run was sent
	Recovered    bool          // the earlier process had accepted it
	Terms        Class         // Effect, RepeatWindow and ZoneOnly at acceptance; zero: none
}

// Outcome is the result of an attempt.
type Outcome int

// The outcomes of an attempt.
const (
	Delivered         Outcome = iota
	Errored                   // the destination answered with an error; it may have run
	Rejected                  // the destination rejected it; it did not run
	TimedOut                  // no answer in time; it may have run
	ConnectFailed             // no connection; it did not run
	ConnectionLost            // the connection was lost; it may have run
	Cancelled                 // cancelled by the relay; it may have run
	Unsent                    // never sent
	RequestIncomplete         // a new connection was lost while the request was written; it did not run
)

// AttemptEnded reports the result of an attempt. Each Send gets exactly one.
type AttemptEnded struct {
	ID         uint32
	Attempt    int // counted from 0
	Endpoint   string
	Outcome    Outcome
	Duration   time.Duration
	Final      bool          // the message has its final answer
	RetryAfter time.Duration // Rejected: Retry-After of the destination
	Report     *LimitReport  // what the answer says of the rate limit; nil: nothing
}

// LimitReport is what an answer says of a destination's rate limit. It may be slightly stale and
// inexact.
type LimitReport struct {
	Remaining float64 // share of the limit that is left
	Limit     float64 // calls per second from all relays; 0: no limit
}

// FleetUpdate reports what the relays of the fleet see. It may be late or missing.
type FleetUpdate struct {
	Routes []RouteStats
	Relays int // relays that may be calling, in place of Settings.Relays; 0: not known
}

// RouteStats is a route's average traffic per second, as the relays of the fleet see it.
type RouteStats struct {
	Destination int
	Endpoint    string  // set for a separate route; empty: the whole destination
	Demand      float64 // messages submitted
	Accepted    float64 // calls accepted
	Rejected    float64 // calls rejected
	Failed      float64 // calls that failed or whose answer was lost
	Calls       int     // number of calls that the averages are based on
	Allowance   float64 // calls that this relay may make; 0: unlimited

	OthersProbe bool          // the route is down and other relays probe it
	Reporters   int           // relays that saw calls fail; 0: not counted
	RetryAfter  time.Duration // remaining Retry-After that other relays received
}

// Subset names the endpoints of a destination that this relay keeps connections to. It uses others
// when these are unhealthy or at their limits.
type Subset struct {
	Destination int
	Endpoints   []string // empty: all
}

// SitesUpdate replaces the plan for sites.
type SitesUpdate struct {
	Plan         SitePlan // nil: none
	ReturnedZone string   // zone that answers again: failures of its endpoints are forgotten; empty: none
	ColdZone     string   // zone whose loss this relay did not see: its routes start cold; empty: none
}

// SitePlan answers what the operator's plan for sites allows while a site is lost or returning. Its
// methods don't block; they are called on the goroutine that calls Relay.Step.
type SitePlan interface {
	Allows(dest int, zone string, unsafe bool) bool // a call for dest may go to the zone's endpoints now
	CallSent(dest int, zone string)                 // records a call
	EndpointCost(zone string) float64               // added to an endpoint's cost, as a share of all calls
	ShedPriority(class string) float64              // classes with a higher priority are shed first
	MaxAttempts(dest, most int) int                 // limit for a message to dest, at most most
	SiteLost() bool                                 // a site is lost: retries of clients are spread
}

// Withdrawn says that a message needs no answer any more.
type Withdrawn struct{ ID uint32 }

// Stopping says that the process ends soon. Unsafe messages get no further attempts: one that is
// cut off may have run.
type Stopping struct{}

// TimerFired answers a SetTimer.
type TimerFired struct{}

// ListUpdateKind is the kind of an endpoint list update.
type ListUpdateKind int

// The kinds of endpoint list updates.
const (
	ListChanges     ListUpdateKind = iota // changed entries only
	ListSnapshot                          // the complete list
	ListRestored                          // the complete list as this relay last stored it; may be stale
	ListUnavailable                       // a subscription failed; the previous list stays in use
)

// EndpointListUpdate reports a change of the endpoint list.
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

// Action is an output of Relay.Step: one of the types below.
type Action interface{ action() }

// Send starts an attempt. Sends of one step to one endpoint share a call, up to the kind's
// MaxBatch.
type Send struct {
	ID       uint32
	Endpoint string
	Timeout  time.Duration
}

// Refuse completes a message undelivered. It did not run or is safe to repeat, so its client may
// retry.
type Refuse struct {
	ID         uint32
	RetryAfter time.Duration // 0: none
}

// Fail completes a message whose effect is unknown or that may not be retried.
type Fail struct{ ID uint32 }

// SetTimer asks for a TimerFired after the delay. It replaces the previous timer.
type SetTimer struct{ Delay time.Duration }

// Subscribe asks for updates of the endpoint list.
type Subscribe struct{}

// CloseIdle closes the connections to an endpoint that carry no call.
type CloseIdle struct{ Endpoint string }

// LogLine is a message for the relay's log.
type LogLine struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (CloseIdle) action() {}
func (LogLine) action()   {}
