package limits

import (
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/plugin/abi"
)

// A fixed seed makes each run draw the same values; -rapid.seed=N draws others.
func init() { flag.Set("rapid.seed", "20261201") }

func text(f abi.Field, v string) []byte { return abi.Append(nil, f, v) }

func number(f abi.Field, v int64) []byte { return abi.AppendNumber(nil, f, v) }

func join(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// CheckOutput accepts the fields of each hook within their bounds and nothing else.
func TestCheck(t *testing.T) {
	const h, s, r = abi.OnHandIn, abi.ShapeRequest, abi.ReadAnswer
	for _, c := range []struct {
		what string
		hook abi.Hook
		raw  []byte
		ok   bool
	}{
		{"nothing", s, nil, true},
		{"verdict", h, number(abi.Verdict, abi.Reject), true},
		{"invalid verdict", h, number(abi.Verdict, 3), false},
		{"verdict in another hook", s, number(abi.Verdict, abi.Take), false},
		{"short number", h, text(abi.Verdict, "1"), false},
		{"note", h, text(abi.Note, "a=b"), true},
		{"notes", h, join(text(abi.Note, "a=b"), text(abi.Note, "c=")), true},
		{"note without a name", h, text(abi.Note, "=b"), false},
		{"long notes", h, text(abi.Note, "a="+strings.Repeat("x", maxNotesBytes)), false},
		{"body", s, text(abi.Body, strings.Repeat("x", MaxBodyBytes)), true},
		{"empty body", s, text(abi.Body, ""), true},
		{"long body", s, text(abi.Body, strings.Repeat("x", MaxBodyBytes+1)), false},
		{"two bodies", s, join(text(abi.Body, "a"), text(abi.Body, "b")), false},
		{"body in on_handin", h, text(abi.Body, "x"), false},
		{"header", s, text(abi.Header, "X-Form: 2"), true},
		{"header without a name", s, text(abi.Header, ": 2"), false},
		{"name with a blank", s, text(abi.Header, "X Form: 2"), false},
		{"CR LF", s, text(abi.Header, "X-Form: 2\r\nHost: x"), false},
		{"LF", s, text(abi.Header, "X-Form: 2\nx"), false},
		{"NUL", s, text(abi.Header, "X-Form: \x00"), false},
		{"length", s, text(abi.Header, "content-LENGTH: 2"), false},
		{"framing", s, text(abi.Header, "Transfer-Encoding: chunked"), false},
		{"id", s, text(abi.Header, "x-correlation-id: 2"), false},
		{"time", s, text(abi.Header, "X-Time-Left-Ms: 2"), false},
		{"proxy", s, text(abi.Header, "Proxy-Connection: close"), false},
		{"many headers", s, []byte(strings.Repeat(string(text(abi.Header, "a: b")), maxHeaders+1)), false},
		{"long header", s, text(abi.Header, "a: "+strings.Repeat("x", maxHeaderBytes)), false},
		{"outcome", r, number(abi.Outcome, abi.MayHave), true},
		{"invalid outcome", r, number(abi.Outcome, 7), false},
		{"wait", r, number(abi.WaitMs, 1<<60), true},
		{"negative wait", r, number(abi.WaitMs, -1), false},
		{"key", s, text(abi.Key, "k"), false},
		{"destination", s, number(abi.Dest, 1), false},
		{"attempt", r, number(abi.Attempt, 1), false},
		{"cut short", s, text(abi.Body, "x")[:5], false},
		{"stray byte", s, []byte{9}, false},
	} {
		o, err := CheckOutput(c.hook, c.raw)
		if (err == nil) != c.ok ||
			err != nil && (!errors.Is(err, ErrOutput) || o.Body != nil || o.Headers != nil || o.Outcome != -1) {
			t.Errorf("%s: %+v, %v", c.what, o, err)
		}
	}
	if o, _ := CheckOutput(r, number(abi.WaitMs, 1<<60)); o.Wait != maxWait {
		t.Errorf("an excessive wait: %v", o.Wait)
	}
	if o, _ := CheckOutput(r, text(abi.Reason, "a\r\nlevel=ERROR\x1b[0m")); strings.ContainsAny(o.Reason, "\r\n\x1b") {
		t.Errorf("control characters in a reason: %q", o.Reason)
	}
}

// Whatever plug-ins ask for, an outcome only becomes more cautious and a wait never gets shorter.
func TestMergeIsCautious(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was := rapid.IntRange(abi.Delivered, abi.MayHave).Draw(t, "was")
		is := was
		for range rapid.IntRange(1, 5).Draw(t, "plug-ins") {
			before := is
			is = MergeOutcome(is, rapid.IntRange(-1, 3).Draw(t, "asked"))
			if is != before && is != abi.MayHave || before == abi.MayHave && is != before {
				t.Fatalf("%d became %d", before, is)
			}
		}
		current, asked := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "told")),
			time.Duration(rapid.Int64Range(-1e12, 1<<62).Draw(t, "asked wait"))
		if w := MergeWait(current, asked); w < current || w > max(current, maxWait) {
			t.Fatalf("%v became %v", current, w)
		}
	})
}

// The breaker behaves like a model: it opens after consecutive failures, allows one trial at a time
// after the pause, doubles the pause with each failed trial, closes after enough successful ones,
// and ignores earlier calls.
func TestBreaker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := BreakerConfig{FailureThreshold: rapid.IntRange(1, 4).Draw(t, "failures"),
			OpenTime: 100 * time.Millisecond, MaxOpenTime: 300 * time.Millisecond,
			RequiredTrials: rapid.IntRange(1, 3).Draw(t, "trials")}
		breaker, now := NewBreaker(p), time.Unix(1000, 0)
		failures, succeeded, openTime, openUntil, isOpen, trialInFlight := 0, 0, time.Duration(0), time.Time{}, false,
			false
		var admitted []Permit
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			if len(admitted) == 0 || rapid.Bool().Draw(t, "call") {
				ticket, ok := breaker.Allow(now)
				want := !isOpen || !now.Before(openUntil) && !trialInFlight
				if ok != want || ok && bool(ticket) != isOpen {
					t.Fatalf("allowed %v with permit %v; open %v until %v, trial %v", ok, ticket, isOpen,
						openUntil.Sub(now), trialInFlight)
				}
				if ok {
					admitted = append(admitted, ticket)
					trialInFlight = trialInFlight || bool(ticket)
				}
				continue
			}
			i := rapid.IntRange(0, len(admitted)-1).Draw(t, "which")
			ticket := admitted[i]
			admitted = append(admitted[:i], admitted[i+1:]...)
			if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 {
				if breaker.Cancel(ticket); ticket {
					trialInFlight = false
				}
				continue
			}
			ok, want := rapid.Bool().Draw(t, "ok"), Unchanged
			switch {
			case !bool(ticket) && isOpen:
			case !bool(ticket) && ok:
				failures = 0
			case !bool(ticket):
				if failures++; failures == p.FailureThreshold {
					want, isOpen, succeeded, openTime = Opened, true, 0, p.OpenTime
					openUntil = now.Add(openTime)
				}
			case ok:
				trialInFlight = false
				if succeeded++; succeeded == p.RequiredTrials {
					want, isOpen, failures = Closed, false, 0
				}
			default:
				trialInFlight, succeeded, openTime, want = false, 0, min(2*openTime, p.MaxOpenTime), Opened
				openUntil = now.Add(openTime)
			}
			if got := breaker.Record(now, ticket, ok); got != want || breaker.IsOpen() != isOpen {
				t.Fatalf("transition %v, want %v; open %v, want %v", got, want, breaker.IsOpen(), isOpen)
			}
		}
	})
}
