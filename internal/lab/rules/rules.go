// Package rules checks the behavior of relays against the rules of the protocol. A Checker reads a
// log of events in order of time and reports each violation once. It depends neither on the policy
// nor on the simulator that writes the log.
//
// A Checker keeps only open state: completed messages without an attempt in flight are forgotten.
package rules

import (
	"fmt"
	"time"
)

// Name is the name of a rule.
type Name string

// Names of the rules.
const (
	Answer           Name = "answer"    // one final answer, in time, and no attempt after it
	Repeat           Name = "repeat"    // no repeat or return that the class forbids; one attempt at a time
	Drain            Name = "drain"     // no call to an endpoint that is known to be leaving
	RecoveryOverload Name = "fail-back" // no overload of a recovering destination by relays that saw it fail
	RetryAfter       Name = "wait"      // no call before the end of a Retry-After
	Bounds           Name = "place"     // only endpoints of the message's destination; limits of calls and attempts
	ConcurrencyShare Name = "share"     // calls to one destination use at most three quarters of the concurrency limit
)

// Names lists all rules.
var Names = []Name{Answer, Repeat, Drain, RecoveryOverload, RetryAfter, Bounds, ConcurrencyShare}

// Effect says what a repeated message does.
type Effect int

// Effects, as in policy.Class.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing within the repeat window
	Unsafe               // takes effect again
)

// Config holds the limits of the rules.
type Config struct {
	AnswerSlack        time.Duration
	DrainGrace         time.Duration
	OverloadFactor     float64
	OverloadTime       time.Duration
	MaxConcurrentCalls int
	MaxAttempts        int
	RetryAfterGrace    time.Duration // after receipt of a Retry-After, during which calls pass
	ClockSlack         time.Duration // tolerance of each time limit, where clocks and networks are real
}

// Kind is the kind of an event.
type Kind int

// Kinds of events, and the fields that they use besides At.
const (
	Accepted        Kind = iota // Relay, Msg, Dest, Effect, RepeatWindow, Deadline: a relay has accepted a message
	Sent                        // Relay, Msg, Attempt, Call (0: not sent after all), Dest, Endpoint, Route
	AttemptEnded                // Relay, Msg, Attempt, Call, Dest, Route, NotRun, Delivered, RetryAfter
	Returned                    // Relay, Msg: final answer
	Failed                      // Relay, Msg: final answer
	Withdrawn                   // Relay, Msg: no answer is due any more, for reasons outside the relay
	RelayDied                   // Relay: the process and its pending messages are gone
	EndpointLeaving             // Relay, Endpoint: the relay learned that it drains or is removed
	DestRecovered               // Dest: an outage has ended; the destination is cold
	DestWarm                    // Dest: it has its full capacity
	FailureSeen                 // Relay, Dest: the relay saw a call fail or be rejected during an outage
	WorkArrived                 // Relay, Dest, Weight, Capacity: work reached a cold destination
	LogEnded                    // end of the log
)

// Event is an entry of the log. IDs of messages, calls and endpoints are never reused.
type Event struct {
	At           time.Duration
	Kind         Kind
	Relay        int
	Msg          uint32
	Attempt      int
	Call         uint64
	Dest         int
	Endpoint     int
	Route        int // that a RetryAfter applies to; 0: the whole destination
	Effect       Effect
	RepeatWindow time.Duration
	Deadline     time.Duration
	RetryAfter   time.Duration
	NotRun       bool // the attempt never ran
	Delivered    bool // the message is completed
	Weight       float64
	Capacity     float64
}

// Violation is a violation of a rule.
type Violation struct {
	Rule  Name
	At    time.Duration
	Relay int
	Msg   uint32
	Why   string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: relay %d, message %d: %s", v.At, v.Rule, v.Relay, v.Msg, v.Why)
}

// Checker checks one log. It is not safe for concurrent use.
type Checker struct {
	config     Config
	Violations []Violation  // the first ones
	Counts     map[Name]int // of all violations
	messages   map[uint32]*message
	calls      map[uint64]*call
	relays     map[int]*relay
	dests      map[int]*dest
	lastAt     time.Duration
}

// message is an accepted message.
type message struct {
	relay, dest, attempts  int
	effect                 Effect
	repeatWindow, deadline time.Duration
	liveAttempts           int
	completed, mayHaveRun  bool
	mayHaveRunSince        time.Duration
	sentAt                 map[int]time.Duration // by attempt in flight
}

// call is a call in flight.
type call struct {
	relay, dest, openItems int
}

// relay is the state of a relay process.
type relay struct {
	callsByDest map[int]int // in flight
	calls       int
	retryAfters map[target]retryAfterPeriod
	leaving     map[int]time.Duration
}

// target is what a Retry-After applies to: a destination, or one of its separate routes.
type target struct{ dest, route int }

// target returns the target of the event's destination and route.
func (e Event) target() target { return target{e.Dest, e.Route} }

// retryAfterPeriod is the time during which a target must not be called.
type retryAfterPeriod struct{ receivedAt, until time.Duration }

// dest is the state of a destination.
type dest struct {
	cold          bool
	failureSeenBy map[int]bool
	recentLoads   []load
}

// load is work that reached a cold destination.
type load struct {
	at          time.Duration
	weight      float64
	seenFailure bool
}

// maxViolations is the number of violations that are kept; all are counted.
const maxViolations = 100

// New returns a checker for one log.
func New(config Config) *Checker {
	return &Checker{
		config:   config,
		Counts:   map[Name]int{},
		messages: map[uint32]*message{},
		calls:    map[uint64]*call{},
		relays:   map[int]*relay{},
		dests:    map[int]*dest{},
	}
}

// violation counts a violation of a rule by e.
func (c *Checker) violation(rule Name, e Event, format string, args ...any) {
	c.Counts[rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, e.At, e.Relay, e.Msg, fmt.Sprintf(format, args...)})
	}
}

// PendingCount returns the number of messages that are not completed.
func (c *Checker) PendingCount() (n int) {
	for _, msg := range c.messages {
		if !msg.completed {
			n++
		}
	}
	return n
}

// relay returns the state of a relay, which is created on first use.
func (c *Checker) relay(number int) *relay {
	r := c.relays[number]
	if r == nil {
		r = &relay{callsByDest: map[int]int{}, retryAfters: map[target]retryAfterPeriod{}, leaving: map[int]time.Duration{}}
		c.relays[number] = r
	}
	return r
}

// dest returns the state of a destination, which is created on first use.
func (c *Checker) dest(number int) *dest {
	known := c.dests[number]
	if known == nil {
		known = &dest{failureSeenBy: map[int]bool{}}
		c.dests[number] = known
	}
	return known
}

// Check processes the next event. Events come in order of time.
func (c *Checker) Check(e Event) {
	if e.At < c.lastAt {
		c.violation(Answer, e, "the log goes back in time, from %v", c.lastAt)
	}
	c.lastAt = max(c.lastAt, e.At)
	switch e.Kind {
	case Accepted:
		if c.messages[e.Msg] != nil {
			c.violation(Answer, e, "accepted twice")
			return
		}
		c.messages[e.Msg] = &message{
			relay:        e.Relay,
			dest:         e.Dest,
			effect:       e.Effect,
			repeatWindow: e.RepeatWindow,
			deadline:     e.Deadline,
			sentAt:       map[int]time.Duration{},
		}
	case Sent:
		c.checkSent(e)
	case AttemptEnded:
		c.checkEnded(e)
	case Returned, Failed, Withdrawn:
		c.checkFinal(e)
	case RelayDied:
		c.forgetRelay(e)
	case EndpointLeaving:
		if r := c.relay(e.Relay); r.leaving[e.Endpoint] == 0 {
			r.leaving[e.Endpoint] = e.At + 1 // 0 means that it is not leaving
		}
	case DestRecovered:
		c.dest(e.Dest).cold = true
	case FailureSeen:
		c.dest(e.Dest).failureSeenBy[e.Relay] = true
	case DestWarm:
		*c.dest(e.Dest) = dest{failureSeenBy: map[int]bool{}}
	case WorkArrived:
		c.checkWork(e)
	case LogEnded:
		for id, msg := range c.messages {
			if !msg.completed {
				e.Msg, e.Relay = id, msg.relay
				c.violation(Answer, e, "never completed")
			}
		}
	}
}

// checkSent checks an attempt that is sent.
func (c *Checker) checkSent(e Event) {
	msg, r := c.messages[e.Msg], c.relay(e.Relay)
	switch {
	case msg == nil || msg.relay != e.Relay:
		c.violation(Answer, e, "sent, but not pending")
		return
	case msg.completed:
		c.violation(Answer, e, "sent after its completion")
	case msg.liveAttempts > 0:
		c.violation(Repeat, e, "two attempts in flight")
	case msg.mayHaveRun && msg.effect == Unsafe:
		c.violation(Repeat, e, "sent again, but may have run")
	case msg.mayHaveRun && msg.effect == Keyed && e.At > msg.mayHaveRunSince+msg.repeatWindow+c.config.ClockSlack:
		c.violation(Repeat, e, "sent again %v after it may have run, window %v", e.At-msg.mayHaveRunSince, msg.repeatWindow)
	}
	if e.Dest != msg.dest {
		c.violation(Bounds, e, "for destination %d, sent to an endpoint of %d", msg.dest, e.Dest)
	}
	if msg.attempts++; msg.attempts > c.config.MaxAttempts {
		c.violation(Bounds, e, "attempt %d of %d", msg.attempts, c.config.MaxAttempts)
	}
	if period, ok := r.retryAfters[e.target()]; ok && e.At < period.until-c.config.ClockSlack &&
		e.At >= period.receivedAt+c.config.RetryAfterGrace {
		c.violation(RetryAfter, e, "sent %v before the end of a Retry-After", period.until-e.At)
	}
	if at := r.leaving[e.Endpoint]; at > 0 && e.At > at-1+c.config.DrainGrace {
		c.violation(Drain, e, "sent to endpoint %d, known to be leaving for %v", e.Endpoint, e.At-at+1)
	}
	msg.liveAttempts++
	msg.sentAt[e.Attempt] = e.At
	if e.Call == 0 {
		return
	}
	openCall := c.calls[e.Call]
	if openCall == nil {
		openCall = &call{relay: e.Relay, dest: e.Dest}
		c.calls[e.Call] = openCall
		r.calls++
		if r.callsByDest[e.Dest]++; r.calls > c.config.MaxConcurrentCalls {
			c.violation(Bounds, e, "%d calls in flight, %d allowed", r.calls, c.config.MaxConcurrentCalls)
		}
		if maxToDest := max(1, c.config.MaxConcurrentCalls*3/4); r.callsByDest[e.Dest] > maxToDest {
			c.violation(ConcurrencyShare, e,
				"%d calls in flight to destination %d, three quarters of the concurrency limit are %d",
				r.callsByDest[e.Dest], e.Dest, maxToDest)
		}
	}
	openCall.openItems++
}

// checkEnded checks the end of an attempt.
func (c *Checker) checkEnded(e Event) {
	msg := c.messages[e.Msg]
	if msg == nil {
		c.violation(Answer, e, "an attempt ended, but the message is not pending")
		return
	}
	at, found := msg.sentAt[e.Attempt]
	if !found {
		c.violation(Answer, e, "attempt %d ended twice or was never sent", e.Attempt)
		return
	}
	delete(msg.sentAt, e.Attempt)
	msg.liveAttempts--
	r := c.relay(e.Relay)
	if openCall := c.calls[e.Call]; openCall != nil {
		if openCall.openItems--; openCall.openItems == 0 {
			delete(c.calls, e.Call)
			r.calls--
			r.callsByDest[openCall.dest]--
		}
	}
	if e.RetryAfter > 0 {
		period, ok := r.retryAfters[e.target()]
		if !ok || e.At >= period.until { // one received during a period extends it without new grace
			period.receivedAt = e.At
		}
		period.until = max(period.until, e.At+e.RetryAfter)
		r.retryAfters[e.target()] = period
	}
	if !e.NotRun && (!msg.mayHaveRun || at < msg.mayHaveRunSince) {
		msg.mayHaveRun, msg.mayHaveRunSince = true, at
	}
	if e.Delivered {
		msg.completed = true
	}
	c.forgetCompleted(e.Msg, msg)
}

// checkFinal checks a final answer.
func (c *Checker) checkFinal(e Event) {
	msg := c.messages[e.Msg]
	switch {
	case msg == nil || msg.completed:
		if e.Kind != Withdrawn {
			c.violation(Answer, e, "a final answer to a message that is completed or not pending")
		}
		return
	case e.Kind == Withdrawn:
	case e.At > msg.deadline+c.config.AnswerSlack+c.config.ClockSlack:
		c.violation(Answer, e, "completed %v too late", e.At-msg.deadline)
	case e.Kind == Returned && msg.effect == Unsafe && (msg.mayHaveRun || msg.liveAttempts > 0):
		c.violation(Repeat, e, "returned, but may have run")
	}
	msg.completed = true
	c.forgetCompleted(e.Msg, msg)
}

// forgetCompleted drops a message that is completed and has no attempt in flight.
func (c *Checker) forgetCompleted(id uint32, msg *message) {
	if msg.completed && msg.liveAttempts == 0 {
		delete(c.messages, id)
	}
}

// forgetRelay drops the state of a relay process.
func (c *Checker) forgetRelay(e Event) {
	for id, msg := range c.messages {
		if msg.relay == e.Relay {
			delete(c.messages, id)
		}
	}
	for id, openCall := range c.calls {
		if openCall.relay == e.Relay {
			delete(c.calls, id)
		}
	}
	delete(c.relays, e.Relay)
	for _, d := range c.dests {
		delete(d.failureSeenBy, e.Relay)
	}
}

// overloadSlack is the number of messages above the overload limit that are attributed to chance.
const overloadSlack = 3

// checkWork checks work that reached a cold destination. The rule is violated if the destination is
// overloaded and two thirds of the work came from relays that saw it fail.
func (c *Checker) checkWork(e Event) {
	d := c.dest(e.Dest)
	if !d.cold {
		return
	}
	first := 0
	for first < len(d.recentLoads) && d.recentLoads[first].at <= e.At-c.config.OverloadTime {
		first++
	}
	d.recentLoads = append(d.recentLoads[first:], load{e.At, e.Weight, d.failureSeenBy[e.Relay]})
	total, fromInformed := 0.0, 0.0
	for _, work := range d.recentLoads {
		if total += work.weight; work.seenFailure {
			fromInformed += work.weight
		}
	}
	if total > c.config.OverloadFactor*e.Capacity*c.config.OverloadTime.Seconds()+overloadSlack {
		if fromInformed >= total*2/3 {
			c.violation(RecoveryOverload, e,
				"destination %d received %.1f within %v at a capacity of %.2f/s, %.1f from relays that saw it fail",
				e.Dest, total, c.config.OverloadTime, e.Capacity, fromInformed)
		}
		d.recentLoads = d.recentLoads[:0] // report an overload once
	}
}
