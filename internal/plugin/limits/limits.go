// Package limits decides what a plug-in may do: whether it is called now, what its output may change, what becomes of a
// message that it fails. It does no I/O and reads no clock; callers guard its values by a lock of their own.
package limits

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"oatfold/plugin/abi"
)

// MaxBodyBytes is how long a body may be, like any body that the relay passes on.
const MaxBodyBytes = 64 << 10

// Bounds of an output beside its body.
const (
	maxHeaders     = 16
	maxHeaderBytes = 4 << 10
	maxNotesBytes  = 1 << 10
	maxReasonBytes = 256
	maxWait        = 10 * time.Minute
)

// ErrOutput is the cause of an output that breaks a bound or wants to change what no plug-in may.
var ErrOutput = errors.New("output not allowed")

func outputError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrOutput, fmt.Sprintf(format, args...))
}

// Output is what a plug-in's output may change.
type Output struct {
	Verdict int           // on_handin
	Notes   []byte        // on_handin: note fields as they came, for later hooks
	Body    []byte        // shape_request; nil: as it was
	Headers [][2]string   // shape_request
	Outcome int           // read_answer; -1: as it was
	Wait    time.Duration // read_answer: a longer one; on_handin: with Refuse
	Reason  string
}

// CheckOutput reads the output of a hook. What is not allowed makes all of it void.
func CheckOutput(h abi.Hook, raw []byte) (Output, error) {
	o := Output{Outcome: -1}
	headerBytes, seen := 0, map[abi.Field]bool{}
	err := abi.Each(raw, func(f abi.Field, v []byte) error {
		if seen[f] && f != abi.Header && f != abi.Note {
			return outputError("field %d comes twice", f)
		}
		seen[f] = true
		readNumber := func(least, most int64) (int64, error) {
			n, err := abi.Number(v)
			if err != nil || n < least || n > most {
				return 0, outputError("field %d is no number from %d to %d", f, least, most)
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
				return outputError("notes of more than %d bytes", maxNotesBytes)
			}
		case f == abi.Body && h == abi.ShapeRequest:
			if len(v) > MaxBodyBytes {
				return outputError("body of %d bytes, over %d", len(v), MaxBodyBytes)
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
			// Guards against ids, keys, destinations, times or attempts that a plug-in would change.
			return outputError("field %d is none of %s", f, h)
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

// printable makes text of a plug-in fit for a line of the log.
func printable(v []byte) string {
	v = v[:min(len(v), maxReasonBytes)]
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == '\uFFFD' {
			return '?'
		}
		return r
	}, string(v))
}

// The headers that are the relay's own: framing, the connection, and what identifies the message.
var reservedHeaders = map[string]bool{"host": true, "content-length": true, "transfer-encoding": true, "connection": true, "keep-alive": true,
	"te": true, "trailer": true, "upgrade": true, "expect": true, "x-correlation-id": true, "idempotency-key": true, "x-time-left-ms": true,
	"envelope": true, "x-repeat": true}

// parseHeader reads NAME: VALUE. Guards against line ends that would start a header, or a request, of their own.
func parseHeader(v []byte) (name, value string, err error) {
	name, value, ok := strings.Cut(string(v), ":")
	lower := strings.ToLower(name)
	switch {
	case !ok || !isToken(name):
		return "", "", outputError("header %q is not NAME: VALUE", printable(v))
	case reservedHeaders[lower] || strings.HasPrefix(lower, "proxy-"):
		return "", "", outputError("header %s is the relay's own", name)
	}
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return "", "", outputError("header %s holds a control character", name)
		}
	}
	return name, strings.Trim(value, " \t"), nil
}

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// MergeOutcome is the outcome of a route step after a plug-in read its answer. It moves in the cautious direction only:
//
//	was          may become
//	delivered    may have run
//	never ran    may have run
//	may have run nothing else
//
// Never ran is the only outcome after which a charge goes out again, and delivered the only one after which nothing is
// owed: neither can be won from a plug-in. Asked for anything else, it stays as it was.
func MergeOutcome(before, asked int) int {
	if asked == abi.MayHave {
		return abi.MayHave
	}
	return before
}

// MergeWait is the wait that binds after a plug-in read an answer: a told one may be longer, never shorter.
func MergeWait(told, asked time.Duration) time.Duration { return max(told, min(asked, maxWait)) }

// FailureAction says what becomes of a message that a plug-in failed.
type FailureAction int

// What may become of it.
const (
	Refuse FailureAction = iota // it is handed back: it never ran, and may come again
	Fail                        // it is given up for good
	Pass                        // it goes on as if there were no plug-in
)

func (t FailureAction) String() string { return [...]string{"refuse", "fail", "pass"}[t] }

// BreakerConfig sets when a plug-in that fails is taken out, and how it comes back.
type BreakerConfig struct {
	FailureThreshold int           // in a row after which it is out
	OpenTime         time.Duration // until it is tried again; doubled each time it fails its trial
	MaxOpenTime      time.Duration
	RequiredTrials   int // calls in a row that must succeed, one at a time, until it is back
}

// Breaker is what is known of a plug-in from its calls.
type Breaker struct {
	config          BreakerConfig
	failures        int
	succeededTrials int // that succeeded since it is on trial
	openTime        time.Duration
	openUntil       time.Time // it is out or on trial if this is set
	trialInFlight   bool      // a call of the trial is out
}

// NewBreaker returns the health of a plug-in that has not been called.
func NewBreaker(p BreakerConfig) *Breaker { return &Breaker{config: p} }

// Permit is what an admitted call was: an ordinary one or one of a trial.
type Permit bool

// Allow says whether a call may be made now. Each that is admitted gets one Done with its ticket.
func (h *Breaker) Allow(now time.Time) (trial Permit, ok bool) {
	if h.openUntil.IsZero() {
		return false, true
	}
	if now.Before(h.openUntil) || h.trialInFlight {
		return false, false
	}
	h.trialInFlight = true
	return true, true
}

// Transition is what a call's end changed.
type Transition int

// The changes.
const (
	Unchanged Transition = iota
	Opened               // it is out from now on
	Closed               // it serves again
)

// Record books the end of a call. An ordinary one from before the plug-in was taken out changes nothing.
func (h *Breaker) Record(now time.Time, trial Permit, ok bool) Transition {
	switch {
	case !bool(trial) && !h.openUntil.IsZero():
		return Unchanged
	case !bool(trial) && ok:
		h.failures = 0
		return Unchanged
	case !bool(trial):
		if h.failures++; h.failures < h.config.FailureThreshold {
			return Unchanged
		}
		h.openTime = h.config.OpenTime
	case !ok:
		h.trialInFlight, h.openTime = false, min(2*h.openTime, h.config.MaxOpenTime)
	default:
		h.trialInFlight = false
		if h.succeededTrials++; h.succeededTrials < h.config.RequiredTrials {
			return Unchanged
		}
		h.openUntil, h.failures = time.Time{}, 0
		return Closed
	}
	h.openUntil, h.succeededTrials = now.Add(h.openTime), 0
	return Opened
}

// Cancel books that an admitted call was not made.
func (h *Breaker) Cancel(trial Permit) {
	if trial {
		h.trialInFlight = false
	}
}

// IsOpen tells whether the plug-in is out or on trial.
func (h *Breaker) IsOpen() bool { return !h.openUntil.IsZero() }
