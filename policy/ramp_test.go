package policy

import (
	"testing"
	"time"
)

// What many senders with one call each send to a line that ramps is what their rates add up to, wherever in its slot each of them was as
// the ramp began: a slot that shortens while they wait for it lets no more of them go.
func TestManySendersRampByTheSumOfTheirRates(t *testing.T) {
	const senders = 400
	b := start(t, func(s *Settings) { s.Relays = senders })
	r := b.r
	base := r.dests[4].lines[0]
	base.state, base.rampAt = ramping, r.now
	rampAt, first := r.now, r.coldGap(base)
	var lines []*line
	for i := range senders {
		l := *base
		l.claimed, l.jitter = rampAt-first*time.Duration(i)/senders, 1
		lines = append(lines, &l)
	}
	sent, due := 0, 0.0
	const step = 10 * time.Millisecond
	for ; r.now < rampAt+r.set.WarmUpTime; r.now += step {
		warm := r.set.ColdStartShare + (1-r.set.ColdStartShare)*float64(r.now-rampAt)/float64(r.set.WarmUpTime)
		due += senders * step.Seconds() / first.Seconds() * warm / r.set.ColdStartShare
		for _, l := range lines {
			if r.now >= l.claimed+r.coldGap(l) {
				sent++
				l.claimed = r.now
			}
		}
		if over := float64(sent) - 1.1*due; over > 10 {
			t.Fatalf("%v into the ramp %d calls were sent, the rates add up to %.0f", r.now-rampAt, sent, due)
		}
	}
	if float64(sent) < 0.9*due {
		t.Errorf("%d calls were sent in the ramp, the rates add up to %.0f", sent, due)
	}
}

// A call that was given up before its line's usual latency tells nothing of the line: its message was nearly out of time. One that had
// that long tells of it.
func TestEarlyTimeOutTellsNothingOfTheLine(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		runs int
	}{{60 * time.Millisecond, 0}, {99 * time.Millisecond, 0}, {100 * time.Millisecond, 5}, {time.Second, 5}} {
		b := start(t, nil)
		l := b.r.dests[4].lines[0]
		l.latency, l.recent, l.lastOK = 100*time.Millisecond, 100*time.Millisecond, b.r.now
		for range 5 {
			b.r.now += time.Second
			out := &call{ep: l.eps[0], sentAt: b.r.now}
			b.r.now += c.took
			b.r.failed(l, out, TimedOut)
		}
		if l.hardRun != c.runs || (l.gap > 0) != (c.runs > 0) {
			t.Errorf("time-outs after %v: %d in a row, slot %v", c.took, l.hardRun, l.gap)
		}
	}
}

// A time-out of a message that had less time left than its line's usual latency tells nothing of the line. One that a keyed window could cut as short
// might hide a slow destination that hangs: it tells of it, since such a call is given its message's whole time (Relay.timeout).
func TestTimeOutForWantOfTimeTellsNothingOfTheLine(t *testing.T) {
	const usual = 900 * time.Millisecond
	for _, c := range []struct {
		name  string
		class string
		left  time.Duration
		runs  int
	}{{"nearly out of time", "safe", 800 * time.Millisecond, 0}, {"with time", "safe", 0, 1}, {"cut by its window", "keyed", 0, 1}} {
		b := start(t, func(s *Settings) {
			for i := range s.Classes {
				if s.Classes[i].Effect == Keyed {
					s.Classes[i].RepeatWindow = time.Second
				}
			}
		})
		l := b.r.dests[4].lines[0]
		l.latency, l.recent = usual, usual
		m := b.msg(c.class, 4, "")
		if c.left > 0 {
			m.TimeLeft = c.left
		}
		acts := b.step(m)
		b.sent(acts, 1)
		b.after(min(acts[0].(Send).Timeout, 20*time.Second), end(1, 0, TimedOut))
		if l.hardRun != c.runs {
			t.Errorf("%s: %d failures in a row, want %d", c.name, l.hardRun, c.runs)
		}
	}
}

// Where calls are scarce, none goes to a message that has less time left than an answer usually takes: the next one goes. Where they are not,
// it is tried.
func TestScarceCallsGoToMessagesWithTime(t *testing.T) {
	for _, limited := range []bool{false, true} {
		b := start(t, nil)
		l := b.r.dests[4].lines[0]
		l.latency, l.recent = 200*time.Millisecond, 200*time.Millisecond
		short := b.msg("safe", 4, "")
		short.TimeLeft = 150 * time.Millisecond
		if limited {
			l.gap, l.claimed, l.jitter = 300*time.Millisecond, b.r.now-time.Second, 1
			b.sent(b.step(short, b.msg("safe", 4, "")), 2)
		} else {
			b.sent(b.step(short), 1)
		}
	}
}
