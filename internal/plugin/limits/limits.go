// Package limits decides what a plug-in may do: whether it may be called (a circuit breaker), what
// its output may change, and what happens to a message if a call fails. It does no I/O and reads no
// clock; callers synchronise access to its values.
package limits

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"oatfold/plugin/abi"
)

// MaxBodyBytes bounds a body, as for any body that the relay forwards.
const MaxBodyBytes = 64 << 10

// Bounds of the other parts of an output.
const (
	maxHeaders     = 16
	maxHeaderBytes = 4 << 10
	maxNotesBytes  = 1 << 10
	maxReasonBytes = 256
	maxWait        = 10 * time.Minute
)

// ErrOutput says that an output exceeds a bound or would change what no plug-in may change.
var ErrOutput = errors.New("output not allowed")

// outputError returns an error that wraps ErrOutput.
func outputError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrOutput, fmt.Sprintf(format, args...))
}

// Output is the checked output of a hook.
type Output struct {
	Verdict int           // on_handin
	Notes   []byte        // on_handin: encoded note fields for the later hooks
	Body    []byte        // shape_request; nil: no change
	Headers [][2]string   // shape_request: name and value
	Outcome int           // read_answer; -1: no change
	Wait    time.Duration // read_answer: a longer Retry-After; on_handin: Retry-After of a rejection
	Reason  string        // for the log
}

// CheckOutput decodes and checks the output of a hook. If any part is not allowed, it returns an
// error that wraps ErrOutput and no part of the output.
func CheckOutput(h abi.Hook, raw []byte) (Output, error) {
	o := Output{Outcome: -1}
	headerBytes, seen := 0, map[abi.Field]bool{}
	err := abi.Each(raw, func(f abi.Field, v []byte) error {
		if seen[f] && f != abi.Header && f != abi.Note {
			return outputError("duplicate field %d", f)
		}
		seen[f] = true
		readNumber := func(least, most int64) (int64, error) {
			n, err := abi.Number(v)
			if err != nil || n < least || n > most {
				return 0, outputError("field %d is not a number from %d to %d", f, least, most)
			}
			return n, nil
		}
		switch {
		case f == abi.Reason:
			o.Reason = printable(v)
		case f == abi.Verdict && h == abi.OnHandIn:
			n, err := readNumber(abi.Take, abi.Reject)
			o.Verdict = int(n)
			return err
		case f == abi.Note && h == abi.OnHandIn:
			name, _, ok := strings.Cut(string(v), "=")
			if !ok || !isToken(name) {
				return outputError("note %q is not NAME=VALUE", printable(v))
			}
			if o.Notes = abi.Append(o.Notes, abi.Note, v); len(o.Notes) > maxNotesBytes {
				return outputError("more than %d bytes of notes", maxNotesBytes)
			}
		case f == abi.Body && h == abi.ShapeRequest:
			if len(v) > MaxBodyBytes {
				return outputError("body has %d bytes, more than %d", len(v), MaxBodyBytes)
			}
			o.Body = append([]byte{}, v...)
		case f == abi.Header && h == abi.ShapeRequest:
			name, value, err := parseHeader(v)
			if headerBytes += len(v); err != nil {
				return err
			} else if len(o.Headers) == maxHeaders || headerBytes > maxHeaderBytes {
				return outputError("more than %d headers or %d bytes of them", maxHeaders, maxHeaderBytes)
			}
			o.Headers = append(o.Headers, [2]string{name, value})
		case f == abi.Outcome && h == abi.ReadAnswer:
			n, err := readNumber(abi.Delivered, abi.MayHave)
			o.Outcome = int(n)
			return err
		case f == abi.WaitMs && h != abi.ShapeRequest:
			n, err := readNumber(0, math.MaxInt64)
			o.Wait = time.Duration(min(n, maxWait.Milliseconds())) * time.Millisecond
			return err
		default:
			// No plug-in may change ids, keys, destinations, times or attempts.
			return outputError("field %d is not an output of %s", f, h)
		}
		return nil
	})
	if errors.Is(err, abi.ErrCut) {
		err = outputError("%v", err)
	}
	if err != nil {
		return Output{Outcome: -1}, err
	}
	return o, nil
}

// printable returns the first maxReasonBytes of a plug-in's text with control characters replaced,
// for the log.
func printable(v []byte) string {
	v = v[:min(len(v), maxReasonBytes)]
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == '\uFFFD' {
			return '?'
		}
		return r
	}, string(v))
}

// reservedHeaders are the headers that only the relay sets, in lower case: framing, the connection,
// and those that identify the message.
var reservedHeaders = map[string]bool{
	"host": true, "content-length": true, "transfer-encoding": true, "connection": true, "keep-alive": true,
	"te": true, "trailer": true, "upgrade": true, "expect": true,
	"x-correlation-id": true, "idempotency-key": true, "x-time-left-ms": true, "envelope": true, "x-repeat": true,
}

// parseHeader parses NAME: VALUE. It rejects control characters, since a line end would start
// another header or request.
func parseHeader(v []byte) (name, value string, err error) {
	name, value, ok := strings.Cut(string(v), ":")
	lower := strings.ToLower(name)
	switch {
	case !ok || !isToken(name):
		return "", "", outputError("header %q is not NAME: VALUE", printable(v))
	case reservedHeaders[lower] || strings.HasPrefix(lower, "proxy-"):
		return "", "", outputError("header %s is reserved for the relay", name)
	}
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return "", "", outputError("header %s contains a control character", name)
		}
	}
	return name, strings.Trim(value, " \t"), nil
}

// isToken reports whether s is a token as HTTP defines it.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// MergeOutcome returns the outcome of an attempt after a plug-in asked for another one. A plug-in
// can only make it more cautious:
//
//	before         may become
//	delivered      may have run
//	never ran      may have run
//	may have run   nothing else
//
// After "never ran" a charge is sent again, and after "delivered" the message is complete, so a
// plug-in can produce neither. Other requests are ignored.
func MergeOutcome(before, asked int) int {
	if asked == abi.MayHave {
		return abi.MayHave
	}
	return before
}

// MergeWait returns the Retry-After that applies after a plug-in asked for another one: it can only
// become longer.
func MergeWait(current, asked time.Duration) time.Duration { return max(current, min(asked, maxWait)) }

// FailureAction says what happens to a message if the call of a plug-in fails.
type FailureAction int

// The failure actions.
const (
	Refuse FailureAction = iota // return it to the client: it did not run, and the client may retry
	Fail                        // give it up
	Pass                        // process it without the plug-in
)

// String returns the name of the action.
func (a FailureAction) String() string { return [...]string{"refuse", "fail", "pass"}[a] }

// BreakerConfig configures the circuit breaker of a plug-in.
type BreakerConfig struct {
	FailureThreshold int           // consecutive failures that open the breaker
	OpenTime         time.Duration // until the first trial call; doubled by each failed trial
	MaxOpenTime      time.Duration // bounds the doubled OpenTime
	RequiredTrials   int           // consecutive successful trials, one at a time, that close the breaker
}

// Breaker is the circuit breaker of a plug-in. After consecutive failures it opens and rejects all
// calls. After a pause it is half-open and allows one trial call at a time.
type Breaker struct {
	config          BreakerConfig
	failures        int
	succeededTrials int // since the breaker is half-open
	openTime        time.Duration
	openUntil       time.Time // set while the breaker is open or half-open
	trialInFlight   bool
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) *Breaker { return &Breaker{config: config} }

// Permit identifies an allowed call: true for a trial.
type Permit bool

// Allow reports whether a call may be made now. Each allowed call is followed by one Record or
// Cancel with its permit.
func (b *Breaker) Allow(now time.Time) (trial Permit, ok bool) {
	if b.openUntil.IsZero() {
		return false, true
	}
	if now.Before(b.openUntil) || b.trialInFlight {
		return false, false
	}
	b.trialInFlight = true
	return true, true
}

// Transition is the change of state that a call caused.
type Transition int

// The transitions.
const (
	Unchanged Transition = iota
	Opened               // the breaker opened
	Closed               // the breaker closed
)

// Record records the result of a call. Calls that were allowed before the breaker opened change
// nothing.
func (b *Breaker) Record(now time.Time, trial Permit, ok bool) Transition {
	switch {
	case !bool(trial) && !b.openUntil.IsZero():
		return Unchanged
	case !bool(trial) && ok:
		b.failures = 0
		return Unchanged
	case !bool(trial):
		if b.failures++; b.failures < b.config.FailureThreshold {
			return Unchanged
		}
		b.openTime = b.config.OpenTime
	case !ok:
		b.trialInFlight, b.openTime = false, min(2*b.openTime, b.config.MaxOpenTime)
	default:
		b.trialInFlight = false
		if b.succeededTrials++; b.succeededTrials < b.config.RequiredTrials {
			return Unchanged
		}
		b.openUntil, b.failures = time.Time{}, 0
		return Closed
	}
	b.openUntil, b.succeededTrials = now.Add(b.openTime), 0
	return Opened
}

// Cancel records that an allowed call was not made.
func (b *Breaker) Cancel(trial Permit) {
	if trial {
		b.trialInFlight = false
	}
}

// IsOpen reports whether the breaker is open or half-open.
func (b *Breaker) IsOpen() bool { return !b.openUntil.IsZero() }
