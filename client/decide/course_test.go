package decide

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same values; -rapid.seed=N draws others.
func init() { flag.Set("rapid.seed", "20261201") }

var epoch = time.Unix(1_000_000, 0)

// The table in the package documentation of client.
func TestVerdictByStageAndEffect(t *testing.T) {
	const retry = Outcome(0)
	rules := Rules{Refusals: 2, Repeats: 2}
	for _, c := range []struct {
		what               string
		end                End
		safe, keyed, never Outcome
		mark               string
	}{
		{"no byte sent", End{}, retry, retry, retry, MarkNone},
		{"sent in part", End{Stage: WrittenPart}, retry, retry, retry, MarkLost},
		{"no answer", End{Stage: WrittenWhole}, retry, retry, Uncertain, MarkLost},
		{"202", End{Stage: Answered, Status: 202}, Taken, Taken, Taken, MarkNone},
		{"200", End{Stage: Answered, Status: 200}, Taken, Taken, Taken, MarkNone},
		{"429", End{Stage: Answered, Status: 429}, retry, retry, retry, MarkRefused},
		{"503", End{Stage: Answered, Status: 503}, retry, retry, retry, MarkRefused},
		{"400", End{Stage: Answered, Status: 400}, Failed, Failed, Failed, MarkNone},
		{"500", End{Stage: Answered, Status: 500}, Failed, Failed, Failed, MarkNone},
	} {
		for effect, want := range map[Effect]Outcome{Safe: c.safe, Keyed: c.keyed, Unsafe: c.never} {
			m := NewCourse(rules, effect, 5*time.Second, epoch.Add(4*time.Second))
			m.Begin(epoch)
			v := m.Ended(epoch.Add(time.Millisecond), 0, c.end.Waiting(0, 0.5), 0.5)
			if v.Outcome != want || v.Over != (want != retry) || !v.Over && m.Mark != c.mark {
				t.Errorf("%s, %v: %+v, mark %q", c.what, effect, v, m.Mark)
			}
			if notBefore := v.NotBefore; (c.end.Status == 429) != !notBefore.IsZero() {
				t.Errorf("%s, %v: not before %v", c.what, effect, notBefore)
			}
		}
	}
}

// Random sequences of attempt results keep the invariants of a Course.
func TestCourseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effect := rapid.SampledFrom([]Effect{Safe, Keyed, Unsafe}).Draw(t, "effect")
		rules := Rules{
			Refusals: rapid.IntRange(0, 5).Draw(t, "refusals"), Repeats: rapid.IntRange(0, 3).Draw(t, "repeats"),
			Strict: rapid.Bool().Draw(t, "strict")}
		window := time.Duration(rapid.IntRange(1, 8000).Draw(t, "window")) * time.Millisecond
		deadline := epoch.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "left")) * time.Millisecond)
		c := NewCourse(rules, effect, window, deadline)
		now, refused, lost, requests := epoch, 0, 0, 0
		mayHaveRunSince, firstExpiry := time.Time{}, time.Time{}
		for step := 0; ; step++ {
			if step > 200 {
				t.Fatal("no verdict after 200 attempts")
			}
			timeLeft := c.Left(now)
			if timeLeft < time.Millisecond {
				if o := c.End(GivenUp).Outcome; (o == Uncertain) != !mayHaveRunSince.IsZero() {
					t.Fatalf("out of time: %v, may have run since %v", o, mayHaveRunSince)
				}
				return
			}
			if !mayHaveRunSince.IsZero() && effect == Unsafe {
				t.Fatal("an unsafe message is retried after a lost answer")
			}
			stated := c.Begin(now)
			if end := now.Add(stated); end.After(deadline) ||
				effect == Keyed && !mayHaveRunSince.IsZero() && end.After(mayHaveRunSince.Add(window)) {
				t.Fatalf("states %v at %v", stated, now.Sub(epoch))
			}
			if rules.Strict && effect == Keyed && !mayHaveRunSince.IsZero() &&
				firstExpiry.After(mayHaveRunSince.Add(window)) {
				t.Fatal("a strict retry although the first attempt may run after the window")
			}
			began := now
			e := End{Stage: Stage(rapid.IntRange(0, 3).Draw(t, "stage"))}
			if e.Stage == Answered {
				e.Status = rapid.SampledFrom([]int{429, 503, 503, 429, 400, 202}).Draw(t, "status")
				if e.Told = rapid.Bool().Draw(t, "told"); e.Told {
					e.Wait = time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond)
			jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
			e = e.Waiting(refused, jitter)
			v := c.Ended(now, 0, e, jitter)
			if e.Stage > NotConnected {
				requests++
			}
			if e.Stage == WrittenWhole && mayHaveRunSince.IsZero() {
				mayHaveRunSince, firstExpiry = began, began.Add(stated)
			}
			if e.isRefusal() {
				refused++
			} else if e.Stage == WrittenPart || e.Stage == WrittenWhole {
				lost++
			}
			if c.HandIns != requests || refused > 1+min(rules.Refusals, MaxRefusals) || lost > 1+rules.Repeats {
				t.Fatalf("%d attempts, want %d; %d rejected, %d lost", c.HandIns, requests, refused, lost)
			}
			if v.Over {
				if taken := v.Outcome == Taken; taken != (e.Status == 202) ||
					!taken && (v.Outcome == Uncertain) != !mayHaveRunSince.IsZero() {
					t.Fatalf("%v after %+v, may have run since %v", v.Outcome, e, mayHaveRunSince)
				}
				return
			}
			if !v.NotBefore.IsZero() {
				if v.NotBefore.Sub(now) < e.Wait || !v.NotBefore.Before(deadline) {
					t.Fatalf("waits %v, Retry-After was %v", v.NotBefore.Sub(now), e.Wait)
				}
				now = v.NotBefore
			}
		}
	})
}

func TestRetryAfter(t *testing.T) {
	for s, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "99999999999999999999": MaxTold,
		"": -1, "-1": -1, "+1": -1, "1e3": -1, "NaN": -1, "Inf": -1, "0x10": -1, "1.2.3": -1, ".": -1, " 1": -1,
		"1,5": -1,
	} {
		got, told := RetryAfter(s)
		if told != (want >= 0) || told && got != want {
			t.Errorf("%q: %v, %v", s, got, told)
		}
	}
}
