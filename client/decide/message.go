// Package decide holds every decision of the client library: what becomes of a message after a hand-in, which relay
// gets the next one, and when a new connection may be opened. It does no I/O, reads no clock and starts no goroutine:
// times come in as arguments, and the caller guards each value by a lock of its own.
package decide

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Effect says what it does to hand a message in twice.
type Effect int

// The effects of a repeat. The zero value is the cautious one.
const (
	Unsafe Effect = iota // must never take effect twice
	Keyed                // a repeat within the window is dropped by its idempotency key
	Safe                 // may be repeated freely
)

var effectNames = [...]string{"unsafe", "keyed", "safe"}

func (e Effect) String() string { return effectNames[e] }

// MarshalText writes the effect as String does.
func (e Effect) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText reads what String writes.
func (e *Effect) UnmarshalText(b []byte) error {
	for i, name := range effectNames {
		if name == string(b) {
			*e = Effect(i)
			return nil
		}
	}
	return fmt.Errorf("effect %q is none of safe, keyed, unsafe", b)
}

// Stage is how far a hand-in came.
type Stage int

// The stages of a hand-in.
const (
	NotConnected Stage = iota // no byte went out
	WrittenPart               // the last byte did not go out: no relay takes on half a request
	WrittenWhole              // the last byte went out and no answer could be read: it may have been taken on
	Answered                  // the relay's status was read
)

func (s Stage) String() string {
	return [...]string{"not connected", "written in part", "written whole", "answered"}[s]
}

// Outcome is how a message ended for the one who hands it in.
type Outcome int

// The outcomes of a message.
const (
	Taken     Outcome = iota + 1 // a relay owes it its end
	Refused                      // by all hand-ins that the rules allow; it was not taken on
	Failed                       // it was not taken on, and no further hand-in would help
	GivenUp                      // the time that is left is shorter than what has to be waited for
	Uncertain                    // it may have been taken on, and may not be handed in again
)

func (o Outcome) String() string {
	return [...]string{"none", "taken", "refused", "failed", "given_up", "uncertain"}[o]
}

// Marks of a repeated hand-in, as X-Repeat carries them.
const (
	MarkNone    = ""
	MarkRefused = "1"     // after a refusal
	MarkLost    = "again" // after a relay that died or did not answer
)

// End is how one hand-in ended.
type End struct {
	Stage  Stage
	Status int           // Answered only
	Wait   time.Duration // that a refusal told, or our own; see Waiting
	Told   bool          // Wait was told
}

// Waiting returns the end of a hand-in with a wait of our own if it is a refusal that told none: 100 to 200 ms,
// doubled with each of the message's earlier ones. Jitter in [0,1) spreads it.
func (e End) Waiting(earlier int, jitter float64) End {
	if e.isRefusal() && !e.Told {
		e.Wait = time.Duration((1 + jitter) * float64(100*time.Millisecond<<min(earlier, 8)))
	}
	return e
}

// addJitter adds up to a tenth to a wait, a quarter of a second at most, within what is left. Guards against all
// that were told one wait coming back at once.
func addJitter(wait, left time.Duration, jitter float64) time.Duration {
	extra := time.Duration(jitter * float64(min(wait/10, 250*time.Millisecond)))
	return wait + min(extra, max(0, (left-wait)/2))
}

// isRefusal tells whether the answer says that handing in again is harmless.
func (e End) isRefusal() bool { return e.Stage == Answered && (e.Status == 429 || e.Status == 503) }

// Rules bound the further hand-ins of a message.
type Rules struct {
	Refusals int  // further hand-ins after refusals; 2 at most are allowed to a client
	Repeats  int  // further hand-ins after lost answers, over all relays
	Strict   bool // Keyed: repeat only if the first hand-in's stated time ends within the window as well
}

// MaxRefusals is how many further hand-ins a client may make after refusals.
const MaxRefusals = 2

// Course is what is known of one message while it is handed in. One goroutine owns it.
type Course struct {
	rules    Rules
	effect   Effect
	window   time.Duration
	deadline time.Time

	HandIns         int             // of which at least one byte went out
	Waits           []time.Duration // told by refusals, or our own where none was told
	Mark            string          // of the next hand-in
	Avoid           int             // relay that the next hand-in should not go to if another is there; -1: none
	refusals        int
	repeats         int
	mayHaveRunSince time.Time     // when the first hand-in began that may have been taken on; zero: none may
	firstExpiry     time.Time     // when the time stated by that hand-in is up
	startedAt       time.Time     // of the hand-in that is out
	statedTimeLeft  time.Duration // by it
}

// NewCourse returns the course of a message that may be delivered until deadline.
func NewCourse(r Rules, e Effect, window time.Duration, deadline time.Time) *Course {
	return &Course{rules: r, effect: e, window: window, deadline: deadline, Avoid: -1}
}

// Deadline is until when the message may be delivered.
func (c *Course) Deadline() time.Time { return c.deadline }

// Risky tells whether an earlier hand-in may have been taken on.
func (c *Course) Risky() bool { return !c.mayHaveRunSince.IsZero() }

// Left is the time that a hand-in at now may state. After a lost answer of a keyed message it ends with the window.
// Guards against a repeat that a partner gets when it no longer drops it.
func (c *Course) Left(now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if c.Risky() && c.effect == Keyed {
		left = min(left, c.mayHaveRunSince.Add(c.window).Sub(now))
	}
	return left
}

// Begin books a hand-in that goes out now and returns the time that it states, in whole milliseconds.
func (c *Course) Begin(now time.Time) time.Duration {
	c.startedAt, c.statedTimeLeft = now, c.Left(now).Truncate(time.Millisecond)
	return c.statedTimeLeft
}

// Verdict is what follows from the end of a hand-in.
type Verdict struct {
	Over      bool
	Outcome   Outcome
	NotBefore time.Time // of the next hand-in, at any relay; zero: at once
}

// Ended books the end of the hand-in at that relay, and says what follows. Jitter in [0,1) spreads waits.
func (c *Course) Ended(now time.Time, relay int, e End, jitter float64) Verdict {
	if e.Stage > NotConnected {
		c.HandIns++
	}
	c.Avoid = relay
	switch {
	case e.Stage == NotConnected:
		return Verdict{} // nothing went out: its mark stays as it is
	case e.Stage == WrittenPart:
		c.Mark = MarkLost
		return c.afterLostAnswer(now)
	case e.Stage == WrittenWhole:
		if c.Mark = MarkLost; !c.Risky() {
			c.mayHaveRunSince, c.firstExpiry = c.startedAt, c.startedAt.Add(c.statedTimeLeft)
		}
		return c.afterLostAnswer(now)
	case e.Status == 202 || e.Status == 200:
		return Verdict{Over: true, Outcome: Taken}
	case e.isRefusal():
		return c.afterRefusal(now, e, jitter)
	}
	return c.End(Failed)
}

// End is the outcome of a message for which nothing more is tried. Guards against calling refused or failed what an
// earlier hand-in may have left with a relay.
func (c *Course) End(o Outcome) Verdict {
	if c.Risky() && o != Taken {
		o = Uncertain
	}
	return Verdict{Over: true, Outcome: o}
}

// afterLostAnswer decides after a hand-in without an answer.
func (c *Course) afterLostAnswer(now time.Time) Verdict {
	if c.Risky() {
		switch {
		case c.effect == Unsafe:
			return c.End(Uncertain)
		case c.effect == Keyed && c.rules.Strict && c.firstExpiry.After(c.mayHaveRunSince.Add(c.window)):
			return c.End(Uncertain) // the first may yet run when the partner has forgotten the second
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

// afterRefusal decides after 429 or 503.
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
		// The relay has no room: its hold or its disk is full, which says nothing of other relays. Fleet keeps the
		// wait for that relay; another may take the message at once.
		return Verdict{}
	}
	// 429 is the destination's limit, which all relays share: the wait binds the message wherever it goes.
	left := c.Left(now)
	if left <= e.Wait {
		return c.End(GivenUp)
	}
	return Verdict{NotBefore: now.Add(addJitter(e.Wait, left, jitter))}
}

// MaxTold is the longest wait that is kept as told; anything above it counts as it.
const MaxTold = 24 * time.Hour

// RetryAfter reads the field of that name: seconds, whole or decimal. What is negative, empty or no plain number was
// not told. Guards against figures that overflow, and against words that a float parser would take (Inf, NaN, 0x1p3).
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
