// Package decide makes the decisions of the client library: what follows from the end of an
// attempt, which relay gets the next one, and when a new connection may be opened. It does no I/O,
// reads no clock and starts no goroutine: times are arguments, and callers synchronise access to
// each value.
package decide

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Effect says what happens if a message is delivered twice.
type Effect int

// The effects of delivering a message twice. The zero value is the most cautious one.
const (
	Unsafe Effect = iota // must never take effect twice
	Keyed                // partners drop a repeat within the window by its idempotency key
	Safe                 // may take effect any number of times
)

var effectNames = [...]string{"unsafe", "keyed", "safe"}

// String returns the name of the effect.
func (e Effect) String() string { return effectNames[e] }

// MarshalText returns the name of the effect.
func (e Effect) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText parses the name of an effect.
func (e *Effect) UnmarshalText(b []byte) error {
	for i, name := range effectNames {
		if name == string(b) {
			*e = Effect(i)
			return nil
		}
	}
	return fmt.Errorf("effect %q is none of safe, keyed, unsafe", b)
}

// Stage is how far an attempt came.
type Stage int

// The stages of an attempt.
const (
	NotConnected Stage = iota // no byte was sent
	WrittenPart               // the last byte was not sent: no relay accepts a partial request
	WrittenWhole              // the last byte was sent and no answer was read: it may have been accepted
	Answered                  // the relay's status was read
)

// String returns the name of the stage.
func (s Stage) String() string {
	return [...]string{"not connected", "written in part", "written whole", "answered"}[s]
}

// Outcome is the final result of a message for the caller of the library.
type Outcome int

// The outcomes of a message.
const (
	Taken     Outcome = iota + 1 // a relay accepted it and is responsible for it
	Refused                      // every allowed attempt was rejected: it was not accepted
	Failed                       // it was not accepted, and a retry would not help
	GivenUp                      // the time left is shorter than the required wait
	Uncertain                    // it may have been accepted, and must not be retried
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "taken", "refused", "failed", "given_up", "uncertain"}[o]
}

// Marks of a retry: the values of X-Repeat.
const (
	MarkNone    = ""
	MarkRefused = "1"     // after a rejection
	MarkLost    = "again" // after an attempt without an answer
)

// End is the result of one attempt.
type End struct {
	Stage  Stage
	Status int           // HTTP status; only with Answered
	Wait   time.Duration // after a rejection: Retry-After, or the client's own; see Waiting
	Told   bool          // Wait comes from Retry-After
}

// Waiting returns e with a wait of the client's own if e is a rejection without Retry-After: 100 to
// 200 ms, doubled with each earlier rejection of the message. jitter is in [0,1).
func (e End) Waiting(earlier int, jitter float64) End {
	if e.isRefusal() && !e.Told {
		e.Wait = time.Duration((1 + jitter) * float64(100*time.Millisecond<<min(earlier, 8)))
	}
	return e
}

// addJitter adds up to a tenth of wait, at most 250 ms and at most half of what is left after it.
// It prevents clients that were sent the same Retry-After from retrying all at once.
func addJitter(wait, left time.Duration, jitter float64) time.Duration {
	extra := time.Duration(jitter * float64(min(wait/10, 250*time.Millisecond)))
	return wait + min(extra, max(0, (left-wait)/2))
}

// isRefusal reports whether the answer is a rejection, after which a retry is harmless.
func (e End) isRefusal() bool { return e.Stage == Answered && (e.Status == 429 || e.Status == 503) }

// Rules bound the retries of a message.
type Rules struct {
	Refusals int  // retries after rejections; MaxRefusals at most
	Repeats  int  // retries after lost answers, over all relays
	Strict   bool // Keyed: retry only if the time stated by the first attempt ends within the window as well
}

// MaxRefusals is the maximum number of retries after rejections.
const MaxRefusals = 2

// Course is the state of one message while it is sent. One goroutine owns it.
type Course struct {
	rules    Rules
	effect   Effect
	window   time.Duration
	deadline time.Time

	HandIns         int             // attempts that sent at least one byte
	Waits           []time.Duration // after rejections: Retry-After, or the client's own
	Mark            string          // of the next attempt
	Avoid           int             // relay that the next attempt should avoid if there is another; -1: none
	refusals        int             // retries after rejections so far
	repeats         int             // retries after lost answers so far
	mayHaveRunSince time.Time       // start of the first attempt that may have been accepted; zero: none
	firstExpiry     time.Time       // end of the time that this attempt stated
	startedAt       time.Time       // of the attempt in flight
	statedTimeLeft  time.Duration   // by the attempt in flight
}

// NewCourse returns the state of a message that may be delivered until deadline.
func NewCourse(r Rules, e Effect, window time.Duration, deadline time.Time) *Course {
	return &Course{rules: r, effect: e, window: window, deadline: deadline, Avoid: -1}
}

// Deadline returns the latest time of delivery.
func (c *Course) Deadline() time.Time { return c.deadline }

// Risky reports whether an earlier attempt may have been accepted.
func (c *Course) Risky() bool { return !c.mayHaveRunSince.IsZero() }

// Left returns the time left that an attempt at now may state. For a keyed message with a lost
// answer it ends with the window, so that no partner receives a repeat that it no longer drops.
func (c *Course) Left(now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if c.Risky() && c.effect == Keyed {
		left = min(left, c.mayHaveRunSince.Add(c.window).Sub(now))
	}
	return left
}

// Begin records the start of an attempt and returns the time left that it states, in whole
// milliseconds.
func (c *Course) Begin(now time.Time) time.Duration {
	c.startedAt, c.statedTimeLeft = now, c.Left(now).Truncate(time.Millisecond)
	return c.statedTimeLeft
}

// Verdict is what follows from the end of an attempt.
type Verdict struct {
	Over      bool      // no further attempt
	Outcome   Outcome   // if Over
	NotBefore time.Time // earliest time of the next attempt, at any relay; zero: at once
}

// Ended records the end of an attempt at relay and decides what follows. jitter in [0,1) spreads
// waits.
func (c *Course) Ended(now time.Time, relay int, end End, jitter float64) Verdict {
	if end.Stage > NotConnected {
		c.HandIns++
	}
	c.Avoid = relay
	switch {
	case end.Stage == NotConnected:
		return Verdict{} // nothing was sent: the mark stays
	case end.Stage == WrittenPart:
		c.Mark = MarkLost
		return c.afterLostAnswer(now)
	case end.Stage == WrittenWhole:
		if c.Mark = MarkLost; !c.Risky() {
			c.mayHaveRunSince, c.firstExpiry = c.startedAt, c.startedAt.Add(c.statedTimeLeft)
		}
		return c.afterLostAnswer(now)
	case end.Status == 202 || end.Status == 200:
		return Verdict{Over: true, Outcome: Taken}
	case end.isRefusal():
		return c.afterRefusal(now, end, jitter)
	}
	return c.End(Failed)
}

// End returns the final verdict with outcome o. It becomes Uncertain if an earlier attempt may have
// been accepted.
func (c *Course) End(o Outcome) Verdict {
	if c.Risky() && o != Taken {
		o = Uncertain
	}
	return Verdict{Over: true, Outcome: o}
}

// afterLostAnswer decides what follows an attempt without an answer.
func (c *Course) afterLostAnswer(now time.Time) Verdict {
	if c.Risky() {
		switch {
		case c.effect == Unsafe:
			return c.End(Uncertain)
		case c.effect == Keyed && c.rules.Strict && c.firstExpiry.After(c.mayHaveRunSince.Add(c.window)):
			return c.End(Uncertain) // the first attempt may still run after the partner has forgotten the retry
		}
	}
	if c.repeats >= c.rules.Repeats {
		return c.End(Failed)
	}
	c.repeats++
	if c.Left(now) < time.Millisecond {
		return c.End(GivenUp)
	}
	return Verdict{}
}

// afterRefusal decides what follows 429 or 503.
func (c *Course) afterRefusal(now time.Time, e End, jitter float64) Verdict {
	c.Waits = append(c.Waits, e.Wait)
	if c.refusals >= min(c.rules.Refusals, MaxRefusals) {
		return c.End(Refused)
	}
	c.refusals++
	c.Mark = MarkRefused
	if c.Left(now) < time.Millisecond {
		return c.End(GivenUp)
	}
	if e.Status == 503 {
		// The relay is out of memory or disk space, which says nothing about other relays. Fleet
		// keeps the wait for that relay; another may accept the message at once.
		return Verdict{}
	}
	// 429 comes from the destination's limit, which all relays share: the wait applies at every
	// relay.
	left := c.Left(now)
	if left <= e.Wait {
		return c.End(GivenUp)
	}
	return Verdict{NotBefore: now.Add(addJitter(e.Wait, left, jitter))}
}

// MaxTold is the longest Retry-After that is honoured; longer ones are cut to it.
const MaxTold = 24 * time.Hour

// RetryAfter parses a Retry-After field: seconds, with or without a fraction. told is false for a
// value that is empty, negative or not a plain decimal number, including what strconv.ParseFloat
// would accept (Inf, NaN, 0x1p3). Large values yield MaxTold.
func RetryAfter(s string) (wait time.Duration, told bool) {
	for i := 0; i < len(s); i++ {
		if (s[i] < '0' || s[i] > '9') && s[i] != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if v >= MaxTold.Seconds() || math.IsInf(v, 1) {
		return MaxTold, true
	}
	if err != nil {
		return 0, false
	}
	return time.Duration(v * float64(time.Second)), true
}
