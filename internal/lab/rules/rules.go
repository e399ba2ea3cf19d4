// Package rules checks what relays did against the rules of the protocol: it reads a log of events in order of time and tells
// each break once. It knows nothing of how relays decide, nor of the emulator: whatever writes such a log can be checked.
//
// A Checker keeps only what is still open: messages that are over and have no attempt out are forgotten.
package rules

import (
	"fmt"
	"time"
)

// Name is the name of a rule.
type Name string

// The rules.
const (
	Answer           Name = "answer"    // one final answer, in time, and no attempt after it
	Repeat           Name = "repeat"    // no repeat and no refusal that the class forbids; one live attempt
	Drain            Name = "drain"     // nothing new to an endpoint that is told to be going
	RecoveryOverload Name = "fail-back" // no returning destination pushed over by those who saw it fail
	RetryAfter       Name = "wait"      // told waits are heeded
	Bounds           Name = "place"     // only endpoints of the message's destination, only as many calls and attempts as allowed
	ConcurrencyShare Name = "share"     // calls to one destination keep within three quarters of the slots
)

// Names are all of them.
var Names = []Name{Answer, Repeat, Drain, RecoveryOverload, RetryAfter, Bounds, ConcurrencyShare}

// Effect says what a repeat does.
type Effect int

// The effects, as classes of message have them.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Config holds the figures of the rules.
type Config struct {
	AnswerSlack        time.Duration
	DrainGrace         time.Duration
	OverloadFactor     float64
	OverloadTime       time.Duration
	MaxConcurrentCalls int
	MaxAttempts        int
	RetryAfterGrace    time.Duration // from when a wait was told: what was under way passes
	ClockSlack         time.Duration // of each limit in time, where clocks and networks are real
}

// Kind is the kind of an event.
type Kind int

// The kinds of event, and the fields that they have beside At.
const (
	Accepted        Kind = iota // Relay, Msg, Dest, Effect, Window, Until: a relay has taken a message on
	Sent                        // Relay, Msg, Attempt, Call (0: it can't go out), Dest (of the endpoint), Endpoint, Route
	AttemptEnded                // Relay, Msg, Attempt, Dest, Route, Proved, OK, Wait: how an attempt ended, as its relay learned it
	Returned                    // Relay, Msg: final answer
	Failed                      // Relay, Msg: final answer
	Withdrawn                   // Relay, Msg: nothing more is owed, by no doing of the relay
	RelayDied                   // Relay: the process is gone with all that it held
	EndpointLeaving             // Relay, Endpoint: the relay was told that it drains or is gone
	DestRecovered               // Dest: an outage is over, and the destination cold
	DestWarm                    // Dest: it has all of its capacity again
	FailureSeen                 // Relay, Dest: the relay saw a call fail or be refused there while an outage lasted
	WorkArrived                 // Relay, Dest, Weight, Capacity: work reached a cold destination, whose capacity is so many a second now
	LogEnded                    // the log's end
)

// Event is one line of the log. IDs of messages, calls and endpoints are never used twice.
type Event struct {
	At           time.Duration
	Kind         Kind
	Relay        int
	Msg          uint32
	Attempt      int
	Call         uint64
	Dest         int
	Endpoint     int
	Route        int // of a separate route that told waits are about; 0: they are about the destination
	Effect       Effect
	RepeatWindow time.Duration
	Deadline     time.Duration
	RetryAfter   time.Duration
	NotRun       bool // the attempt never ran
	Delivered    bool // it was delivered: the message is over
	Weight       float64
	Capacity     float64
}

// Violation is a broken rule.
type Violation struct {
	Rule  Name
	At    time.Duration
	Relay int
	Msg   uint32
	Why   string
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: relay %d, message %d: %s", v.At, v.Rule, v.Relay, v.Msg, v.Why)
}

// Checker reads a log. It is not safe for concurrent use.
type Checker struct {
	config     Config
	Violations []Violation
	Counts     map[Name]int
	messages   map[uint32]*message
	calls      map[uint64]*call
	relays     map[int]*relay
	dests      map[int]*dest
	lastAt     time.Duration
}

type message struct {
	relay, dest, attempts  int
	effect                 Effect
	repeatWindow, deadline time.Duration
	liveAttempts           int
	completed, mayHaveRun  bool
	mayHaveRunSince        time.Duration
	sentAt                 map[int]time.Duration // of attempts that are out
}

type call struct {
	relay, dest, openItems int
}

type relay struct {
	callsByDest map[int]int // calls by destination
	calls       int
	retryAfters map[target]retryAfterPeriod
	leaving     map[int]time.Duration
}

// target is what a told wait is about: a destination, or one of its separate routes.
type target struct{ dest, route int }

func (e Event) target() target { return target{e.Dest, e.Route} }

type retryAfterPeriod struct{ receivedAt, until time.Duration }

type dest struct {
	cold          bool
	failureSeenBy map[int]bool
	recentLoads   []load
}

type load struct {
	at          time.Duration
	weight      float64
	seenFailure bool
}

// maxViolations is how many breaks are kept in words; all are counted.
const maxViolations = 100

// New returns a checker for one log.
func New(config Config) *Checker {
	return &Checker{config: config, Counts: map[Name]int{}, messages: map[uint32]*message{}, calls: map[uint64]*call{}, relays: map[int]*relay{}, dests: map[int]*dest{}}
}

func (c *Checker) violation(rule Name, e Event, format string, args ...any) {
	c.Counts[rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, e.At, e.Relay, e.Msg, fmt.Sprintf(format, args...)})
	}
}

// PendingCount tells how many messages have had no end yet.
func (c *Checker) PendingCount() (n int) {
	for _, msg := range c.messages {
		if !msg.completed {
			n++
		}
	}
	return n
}

func (c *Checker) relay(number int) *relay {
	r := c.relays[number]
	if r == nil {
		r = &relay{callsByDest: map[int]int{}, retryAfters: map[target]retryAfterPeriod{}, leaving: map[int]time.Duration{}}
		c.relays[number] = r
	}
	return r
}

func (c *Checker) dest(number int) *dest {
	known := c.dests[number]
	if known == nil {
		known = &dest{failureSeenBy: map[int]bool{}}
		c.dests[number] = known
	}
	return known
}

// Check takes the next line in. Lines come in order of time.
func (c *Checker) Check(e Event) {
	if e.At < c.lastAt {
		c.violation(Answer, e, "the log goes back in time, from %v", c.lastAt)
	}
	c.lastAt = max(c.lastAt, e.At)
	switch e.Kind {
	case Accepted:
		if c.messages[e.Msg] != nil {
			c.violation(Answer, e, "taken on twice")
			return
		}
		c.messages[e.Msg] = &message{relay: e.Relay, dest: e.Dest, effect: e.Effect, repeatWindow: e.RepeatWindow, deadline: e.Deadline, sentAt: map[int]time.Duration{}}
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
			r.leaving[e.Endpoint] = e.At + 1 // an endpoint told of at nought has been told of too
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
				c.violation(Answer, e, "never ended")
			}
		}
	}
}

func (c *Checker) checkSent(e Event) {
	msg, r := c.messages[e.Msg], c.relay(e.Relay)
	switch {
	case msg == nil || msg.relay != e.Relay:
		c.violation(Answer, e, "sent, but not held")
		return
	case msg.completed:
		c.violation(Answer, e, "sent after its end")
	case msg.liveAttempts > 0:
		c.violation(Repeat, e, "two live attempts")
	case msg.mayHaveRun && msg.effect == Unsafe:
		c.violation(Repeat, e, "sent again, and may have run")
	case msg.mayHaveRun && msg.effect == Keyed && e.At > msg.mayHaveRunSince+msg.repeatWindow+c.config.ClockSlack:
		c.violation(Repeat, e, "sent again %v after it may have run, window %v", e.At-msg.mayHaveRunSince, msg.repeatWindow)
	}
	if e.Dest != msg.dest {
		c.violation(Bounds, e, "for destination %d, sent to one of %d", msg.dest, e.Dest)
	}
	if msg.attempts++; msg.attempts > c.config.MaxAttempts {
		c.violation(Bounds, e, "attempt %d of %d", msg.attempts, c.config.MaxAttempts)
	}
	if period, ok := r.retryAfters[e.target()]; ok && e.At < period.until-c.config.ClockSlack && e.At >= period.receivedAt+c.config.RetryAfterGrace {
		c.violation(RetryAfter, e, "sent %v before the end of a told wait", period.until-e.At)
	}
	if at := r.leaving[e.Endpoint]; at > 0 && e.At > at-1+c.config.DrainGrace {
		c.violation(Drain, e, "sent to endpoint %d, told to be going %v ago", e.Endpoint, e.At-at+1)
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
			c.violation(Bounds, e, "%d calls out, %d slots", r.calls, c.config.MaxConcurrentCalls)
		}
		if maxToDest := max(1, c.config.MaxConcurrentCalls*3/4); r.callsByDest[e.Dest] > maxToDest {
			c.violation(ConcurrencyShare, e, "%d calls out to destination %d, three quarters of the slots are %d", r.callsByDest[e.Dest], e.Dest, maxToDest)
		}
	}
	openCall.openItems++
}

func (c *Checker) checkEnded(e Event) {
	msg := c.messages[e.Msg]
	if msg == nil {
		c.violation(Answer, e, "an attempt ended, but the message is not held")
		return
	}
	at, found := msg.sentAt[e.Attempt]
	if !found {
		c.violation(Answer, e, "attempt %d ended twice or was never out", e.Attempt)
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
		if !ok || e.At >= period.until { // a wait told while one runs makes it longer, and excuses nothing
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

func (c *Checker) checkFinal(e Event) {
	msg := c.messages[e.Msg]
	switch {
	case msg == nil || msg.completed:
		if e.Kind != Withdrawn {
			c.violation(Answer, e, "a final answer to what is over or not held")
		}
		return
	case e.Kind == Withdrawn:
	case e.At > msg.deadline+c.config.AnswerSlack+c.config.ClockSlack:
		c.violation(Answer, e, "ended %v too late", e.At-msg.deadline)
	case e.Kind == Returned && msg.effect == Unsafe && (msg.mayHaveRun || msg.liveAttempts > 0):
		c.violation(Repeat, e, "handed back, and may have run")
	}
	msg.completed = true
	c.forgetCompleted(e.Msg, msg)
}

func (c *Checker) forgetCompleted(id uint32, msg *message) {
	if msg.completed && msg.liveAttempts == 0 {
		delete(c.messages, id)
	}
}

// forgetRelay forgets a relay with all that it held.
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

// overloadSlack is how much over the budget of a cold destination is still chance, in messages.
const overloadSlack = 3

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
			c.violation(RecoveryOverload, e, "destination %d was sent %.1f within %v at a capacity of %.2f/s, %.1f by those that saw it fail", e.Dest, total, c.config.OverloadTime, e.Capacity, fromInformed)
		}
		d.recentLoads = d.recentLoads[:0] // one fall, one break
	}
}
