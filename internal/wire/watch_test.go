package wire

import (
	"slices"
	"testing"
	"time"
)

// rateLimitedDiscovery is a discovery that serves so many questions a second; what it turns away uses its time up as well.
type rateLimitedDiscovery struct {
	rate, room, tokens float64
	at                 time.Duration
}

func (o *rateLimitedDiscovery) serves(now time.Duration) bool {
	o.tokens, o.at = min(o.room, o.tokens+o.rate*(now-o.at).Seconds()), now
	ok := o.tokens >= 1
	o.tokens = max(0, o.tokens-1)
	return ok
}

// simulateFirstPolls plays the first questions of a fleet whose relays all start at once, and returns how many were served by the given time.
func simulateFirstPolls(fleet int, by time.Duration, asked bool) (served, turnedAway int) {
	type relay struct {
		w    listWatcher
		next time.Duration
	}
	var all []*relay
	for n := range fleet {
		r := &relay{w: listWatcher{fleetSize: fleet, polled: asked, seed: int64(n)*7919 + 1}}
		r.next = r.w.firstDelay()
		all = append(all, r)
	}
	d := &rateLimitedDiscovery{rate: 10, room: 10, tokens: 10}
	for len(all) > 0 {
		slices.SortFunc(all, func(a, b *relay) int { return int(a.next - b.next) })
		r := all[0]
		if r.next > by {
			break
		}
		if d.serves(r.next) {
			served, all = served+1, all[1:]
		} else {
			turnedAway++
			r.next += r.w.failureBackoff.NextDelay()
		}
	}
	return served, turnedAway
}

// A fleet that starts at once hears of the list within the time that discovery needs for it, whatever its size; without turns the questions
// that are turned away would keep it shut.
func TestListQuestionsTakeTurns(t *testing.T) {
	for _, fleet := range []int{1, 3, 80, 200} {
		by := time.Duration(fleet)*pollTimePerRelay*5/2 + time.Second
		if served, away := simulateFirstPolls(fleet, by, true); served < fleet*95/100 || away > 2*fleet {
			t.Errorf("%d relays: %d served within %v, %d turned away", fleet, served, by, away)
		}
	}
	if served, _ := simulateFirstPolls(80, 20*time.Second, false); served > 40 {
		t.Errorf("without turns %d of 80 are served: the model shows no trouble", served)
	}
}

// A fleet told nothing of its size, or something senseless, asks all the same, and a fleet that is pushed to asks at once.
func TestFirstQuestion(t *testing.T) {
	for _, fleet := range []int{-1, 0, 1} {
		w := listWatcher{fleetSize: fleet, polled: true}
		if d := w.firstDelay(); d != 0 {
			t.Errorf("fleet of %d: %v", fleet, d)
		}
	}
	if w := (listWatcher{fleetSize: 80}); w.firstDelay() != 0 {
		t.Error("a pushed list waits")
	}
	if w := (listWatcher{fleetSize: 1 << 40, polled: true}); w.firstDelay() > maxFirstPollDelay || w.failureBackoff.NextDelay() > 3*maxFirstPollDelay {
		t.Error("a huge fleet waits longer than any relay may")
	}
}

// updateDeadline is how long after discovery has a change, and can be reached, it counts as told.
const updateDeadline = 6 * time.Second

// Whatever failed before, a question that hangs for all of its time as discovery comes back, fails and is followed by the longest pause leaves
// time for the next one to be answered. Where lists are asked for, that holds for fleets that discovery can serve.
func TestPausesLeaveTimeForNews(t *testing.T) {
	const answered = 500 * time.Millisecond // that the next question may take
	for _, asked := range []bool{false, true} {
		for _, fleet := range []int{0, 1, 3, 8, 300, 1000} {
			if asked && time.Duration(fleet)*pollTimePerRelay > maxPollBackoff {
				continue
			}
			w := listWatcher{fleetSize: fleet, polled: asked, seed: int64(fleet)}
			w.firstDelay()
			var longest time.Duration
			for range 1000 {
				longest = max(longest, w.failureBackoff.NextDelay(), w.silenceBackoff.NextDelay())
			}
			hangs := max(watchHold+watchAnswerMargin, agentDialTimeout)
			if hangs+longest+answered > updateDeadline {
				t.Errorf("fleet of %d, asked %v: a pause of %v behind a question of %v", fleet, asked, longest, hangs)
			}
		}
	}
}
