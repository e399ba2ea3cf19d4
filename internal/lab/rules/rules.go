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

func (b Violation) String() string {
	return fmt.Sprintf("%v: %s: relay %d, message %d: %s", b.At, b.Rule, b.Relay, b.Msg, b.Why)
}

// Checker reads a log. It is not safe for concurrent use.
type Checker struct {
	set        Config
	Violations []Violation
	Counts     map[Name]int
	msgs       map[uint32]*message
	calls      map[uint64]*call
	relays     map[int]*relay
	dests      map[int]*dest
	last       time.Duration
}

type message struct {
	relay, dest, sent int
	effect            Effect
	window, until     time.Duration
	live              int
	over, risk        bool
	riskAt            time.Duration
	sentAt            map[int]time.Duration // of attempts that are out
}

type call struct {
	relay, dest, left int
}

type relay struct {
	out     map[int]int // calls by destination
	calls   int
	waits   map[place]wait
	leaving map[int]time.Duration
}

// place is what a told wait is about: a destination, or one of its separate routes.
type place struct{ dest, route int }

func (e Event) place() place { return place{e.Dest, e.Route} }

type wait struct{ told, until time.Duration }

type dest struct {
	cold    bool
	learned map[int]bool
	loads   []load
}

type load struct {
	at      time.Duration
	weight  float64
	learned bool
}

// most is how many breaks are kept in words; all are counted.
const most = 100

// New returns a checker for one log.
func New(set Config) *Checker {
	return &Checker{set: set, Counts: map[Name]int{}, msgs: map[uint32]*message{}, calls: map[uint64]*call{}, relays: map[int]*relay{}, dests: map[int]*dest{}}
}

func (c *Checker) breaks(r Name, e Event, format string, args ...any) {
	c.Counts[r]++
	if len(c.Violations) < most {
		c.Violations = append(c.Violations, Violation{r, e.At, e.Relay, e.Msg, fmt.Sprintf(format, args...)})
	}
}

// PendingCount tells how many messages have had no end yet.
func (c *Checker) PendingCount() (n int) {
	for _, m := range c.msgs {
		if !m.over {
			n++
		}
	}
	return n
}

func (c *Checker) relay(n int) *relay {
	r := c.relays[n]
	if r == nil {
		r = &relay{out: map[int]int{}, waits: map[place]wait{}, leaving: map[int]time.Duration{}}
		c.relays[n] = r
	}
	return r
}

func (c *Checker) dest(n int) *dest {
	d := c.dests[n]
	if d == nil {
		d = &dest{learned: map[int]bool{}}
		c.dests[n] = d
	}
	return d
}

// Check takes the next line in. Lines come in order of time.
func (c *Checker) Check(e Event) {
	if e.At < c.last {
		c.breaks(Answer, e, "the log goes back in time, from %v", c.last)
	}
	c.last = max(c.last, e.At)
	switch e.Kind {
	case Accepted:
		if c.msgs[e.Msg] != nil {
			c.breaks(Answer, e, "taken on twice")
			return
		}
		c.msgs[e.Msg] = &message{relay: e.Relay, dest: e.Dest, effect: e.Effect, window: e.RepeatWindow, until: e.Deadline, sentAt: map[int]time.Duration{}}
	case Sent:
		c.sent(e)
	case AttemptEnded:
		c.ended(e)
	case Returned, Failed, Withdrawn:
		c.final(e)
	case RelayDied:
		c.died(e)
	case EndpointLeaving:
		if r := c.relay(e.Relay); r.leaving[e.Endpoint] == 0 {
			r.leaving[e.Endpoint] = e.At + 1 // an endpoint told of at nought has been told of too
		}
	case DestRecovered:
		c.dest(e.Dest).cold = true
	case FailureSeen:
		c.dest(e.Dest).learned[e.Relay] = true
	case DestWarm:
		*c.dest(e.Dest) = dest{learned: map[int]bool{}}
	case WorkArrived:
		c.reached(e)
	case LogEnded:
		for id, m := range c.msgs {
			if !m.over {
				e.Msg, e.Relay = id, m.relay
				c.breaks(Answer, e, "never ended")
			}
		}
	}
}

func (c *Checker) sent(e Event) {
	m, r := c.msgs[e.Msg], c.relay(e.Relay)
	switch {
	case m == nil || m.relay != e.Relay:
		c.breaks(Answer, e, "sent, but not held")
		return
	case m.over:
		c.breaks(Answer, e, "sent after its end")
	case m.live > 0:
		c.breaks(Repeat, e, "two live attempts")
	case m.risk && m.effect == Unsafe:
		c.breaks(Repeat, e, "sent again, and may have run")
	case m.risk && m.effect == Keyed && e.At > m.riskAt+m.window+c.set.ClockSlack:
		c.breaks(Repeat, e, "sent again %v after it may have run, window %v", e.At-m.riskAt, m.window)
	}
	if e.Dest != m.dest {
		c.breaks(Bounds, e, "for destination %d, sent to one of %d", m.dest, e.Dest)
	}
	if m.sent++; m.sent > c.set.MaxAttempts {
		c.breaks(Bounds, e, "attempt %d of %d", m.sent, c.set.MaxAttempts)
	}
	if w, ok := r.waits[e.place()]; ok && e.At < w.until-c.set.ClockSlack && e.At >= w.told+c.set.RetryAfterGrace {
		c.breaks(RetryAfter, e, "sent %v before the end of a told wait", w.until-e.At)
	}
	if at := r.leaving[e.Endpoint]; at > 0 && e.At > at-1+c.set.DrainGrace {
		c.breaks(Drain, e, "sent to endpoint %d, told to be going %v ago", e.Endpoint, e.At-at+1)
	}
	m.live++
	m.sentAt[e.Attempt] = e.At
	if e.Call == 0 {
		return
	}
	out := c.calls[e.Call]
	if out == nil {
		out = &call{relay: e.Relay, dest: e.Dest}
		c.calls[e.Call] = out
		r.calls++
		if r.out[e.Dest]++; r.calls > c.set.MaxConcurrentCalls {
			c.breaks(Bounds, e, "%d calls out, %d slots", r.calls, c.set.MaxConcurrentCalls)
		}
		if most := max(1, c.set.MaxConcurrentCalls*3/4); r.out[e.Dest] > most {
			c.breaks(ConcurrencyShare, e, "%d calls out to destination %d, three quarters of the slots are %d", r.out[e.Dest], e.Dest, most)
		}
	}
	out.left++
}

func (c *Checker) ended(e Event) {
	m := c.msgs[e.Msg]
	if m == nil {
		c.breaks(Answer, e, "an attempt ended, but the message is not held")
		return
	}
	at, out := m.sentAt[e.Attempt]
	if !out {
		c.breaks(Answer, e, "attempt %d ended twice or was never out", e.Attempt)
		return
	}
	delete(m.sentAt, e.Attempt)
	m.live--
	r := c.relay(e.Relay)
	if k := c.calls[e.Call]; k != nil {
		if k.left--; k.left == 0 {
			delete(c.calls, e.Call)
			r.calls--
			r.out[k.dest]--
		}
	}
	if e.RetryAfter > 0 {
		w, ok := r.waits[e.place()]
		if !ok || e.At >= w.until { // a wait told while one runs makes it longer, and excuses nothing
			w.told = e.At
		}
		w.until = max(w.until, e.At+e.RetryAfter)
		r.waits[e.place()] = w
	}
	if !e.NotRun && (!m.risk || at < m.riskAt) {
		m.risk, m.riskAt = true, at
	}
	if e.Delivered {
		m.over = true
	}
	c.forget(e.Msg, m)
}

func (c *Checker) final(e Event) {
	m := c.msgs[e.Msg]
	switch {
	case m == nil || m.over:
		if e.Kind != Withdrawn {
			c.breaks(Answer, e, "a final answer to what is over or not held")
		}
		return
	case e.Kind == Withdrawn:
	case e.At > m.until+c.set.AnswerSlack+c.set.ClockSlack:
		c.breaks(Answer, e, "ended %v too late", e.At-m.until)
	case e.Kind == Returned && m.effect == Unsafe && (m.risk || m.live > 0):
		c.breaks(Repeat, e, "handed back, and may have run")
	}
	m.over = true
	c.forget(e.Msg, m)
}

func (c *Checker) forget(id uint32, m *message) {
	if m.over && m.live == 0 {
		delete(c.msgs, id)
	}
}

// died forgets a relay with all that it held.
func (c *Checker) died(e Event) {
	for id, m := range c.msgs {
		if m.relay == e.Relay {
			delete(c.msgs, id)
		}
	}
	for id, k := range c.calls {
		if k.relay == e.Relay {
			delete(c.calls, id)
		}
	}
	delete(c.relays, e.Relay)
	for _, d := range c.dests {
		delete(d.learned, e.Relay)
	}
}

// fallSlack is how much over the budget of a cold destination is still chance, in messages.
const fallSlack = 3

func (c *Checker) reached(e Event) {
	d := c.dest(e.Dest)
	if !d.cold {
		return
	}
	keep := 0
	for keep < len(d.loads) && d.loads[keep].at <= e.At-c.set.OverloadTime {
		keep++
	}
	d.loads = append(d.loads[keep:], load{e.At, e.Weight, d.learned[e.Relay]})
	all, learned := 0.0, 0.0
	for _, l := range d.loads {
		if all += l.weight; l.learned {
			learned += l.weight
		}
	}
	if all > c.set.OverloadFactor*e.Capacity*c.set.OverloadTime.Seconds()+fallSlack {
		if learned >= all*2/3 {
			c.breaks(RecoveryOverload, e, "destination %d was sent %.1f within %v at a capacity of %.2f/s, %.1f by those that saw it fail", e.Dest, all, c.set.OverloadTime, e.Capacity, learned)
		}
		d.loads = d.loads[:0] // one fall, one break
	}
}
