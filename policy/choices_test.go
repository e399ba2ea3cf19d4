package policy

import (
	"slices"
	"testing"
	"time"
)

// manyEndpoints is a relay with a destination of four endpoints, and six slots.
func manyEndpoints(t *testing.T) *Relay {
	t.Helper()
	r := fleetRelay(t)
	var list []Endpoint
	for _, a := range []string{"a", "b", "c", "d"} {
		list = append(list, Endpoint{Address: a, Destination: 1, Kind: "k"})
	}
	r.Step(time.Millisecond, []Event{EndpointListUpdate{Kind: ListSnapshot, Entries: list}})
	return r
}

func to(acts []Action) (sent, closed []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			sent = append(sent, a.Endpoint)
		case CloseIdle:
			closed = append(closed, a.Endpoint)
		}
	}
	return sent, closed
}

// Calls keep to the subset while it is well, go beyond it where it is sick or each of it has calls enough, and an empty one means any.
func TestSubset(t *testing.T) {
	r := manyEndpoints(t)
	r.Step(2*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: []string{"c", "d"}}})
	var all []string
	at := 10 * time.Millisecond
	for id := uint32(1); id <= 4; id++ { // four calls at once: two and two
		sent, _ := to(r.Step(at, []Event{arriving(id)}))
		all, at = append(all, sent...), at+time.Millisecond
	}
	if slices.Sort(all); !slices.Equal(all, []string{"c", "c", "d", "d"}) {
		t.Fatalf("calls to %v", all)
	}
	r = manyEndpoints(t)
	r.Step(2*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: []string{"c", "d"}}})
	for _, l := range r.dests[1].lines {
		for _, ep := range l.eps {
			if !ep.far {
				ep.fails, ep.lastFail = 3, 2*time.Millisecond
			}
		}
	}
	if sent, _ := to(r.Step(10*time.Millisecond, []Event{arriving(1)})); len(sent) != 1 || sent[0] == "c" || sent[0] == "d" {
		t.Errorf("all of the subset are sick, and the call goes to %v", sent)
	}
	r.Step(11*time.Millisecond, []Event{Subset{Destination: 1}, Subset{Destination: 99, Endpoints: []string{"a"}}})
	for _, ep := range r.dests[1].lines[0].eps {
		if ep.far {
			t.Errorf("%s is beyond no subset", ep.Address)
		}
	}
}

// What a change drops is closed when it is idle: at once, or as the call on it ends.
func TestDroppedWhenIdle(t *testing.T) {
	r := manyEndpoints(t)
	sent, _ := to(r.Step(10*time.Millisecond, []Event{arriving(1)}))
	at := sent[0]
	rest := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(a string) bool { return a == at })
	if _, closed := to(r.Step(20*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: rest[:2]}})); len(closed) > 0 {
		t.Fatalf("%v closed under a call", closed)
	}
	ended := AttemptEnded{ID: 1, Endpoint: at, Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
	if _, closed := to(r.Step(60*time.Millisecond, []Event{ended})); !slices.Equal(closed, []string{at}) {
		t.Errorf("as the call ended %v were closed", closed)
	}
	sent, _ = to(r.Step(200*time.Millisecond, []Event{arriving(2)}))
	ended = AttemptEnded{ID: 2, Endpoint: sent[0], Outcome: Delivered, Duration: 50 * time.Millisecond, Final: true}
	if _, closed := to(r.Step(260*time.Millisecond, []Event{ended})); len(closed) > 0 {
		t.Fatalf("%v of the subset closed", closed)
	}
	if _, closed := to(r.Step(270*time.Millisecond, []Event{Subset{Destination: 1, Endpoints: []string{at, rest[2]}}})); !slices.Equal(closed, sent) {
		t.Errorf("idle and dropped: %v closed, not %v", closed, sent)
	}
}

// Who does not hold the turn does not try what is out while its news are fresh, and goes on by itself when they are old. Who has just got through is not held back.
func TestOthersTry(t *testing.T) {
	news := FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 2, Calls: 9, OthersProbe: true}}}
	for _, through := range []bool{false, true} {
		for after, want := range map[time.Duration]int{100 * time.Millisecond: 0, newsLife + 50*time.Millisecond: 1} {
			r := fleetRelay(t)
			l := r.dests[1].lines[0]
			r.Step(time.Second, []Event{news})
			if r.become(l, healthy); through {
				l.lastOK, want = time.Second+after-newsSpan, 1
			} else if l.lastOK = -time.Minute; after < newsLife {
				r.enterOut(l)
				l.claimed = 0
			}
			if n := sends(r.Step(time.Second+after, []Event{arriving(1)})); n != want {
				t.Errorf("through %v, %v after the news: %d calls, want %d", through, after, n, want)
			}
		}
	}
}

// A wait that others were told is kept where nobody gets through, never shortens an own one, does not end for all at once, and what comes back is cold.
func TestWaitOfOthers(t *testing.T) {
	ends := map[Time]bool{}
	for seed := range int64(8) {
		r := fleetRelay(t)
		r.rng.Seed(seed)
		l := r.dests[1].lines[0]
		wait := func(at, w time.Duration) {
			r.Step(at, []Event{FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Calls: 1, RetryAfter: w}}}})
		}
		r.Step(500*time.Millisecond, []Event{FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Accepted: 1, Calls: 1, RetryAfter: time.Minute}}}})
		if l.waitTil > 0 {
			t.Error("a wait binds all while others get through")
		}
		wait(time.Second, 2*time.Second)
		til := l.waitTil
		if ends[til] = true; til < 3*time.Second || til > 10*time.Second || l.state != out {
			t.Fatalf("2 s from 1 s on end at %v", til)
		}
		wait(1600*time.Millisecond, 1400*time.Millisecond)
		wait(1700*time.Millisecond, 0)
		if l.waitTil != til {
			t.Errorf("told again, it ends at %v instead of %v", l.waitTil, til)
		}
		if sends(r.Step(2900*time.Millisecond, []Event{arriving(1)})) != 0 || sends(r.Step(til+time.Millisecond, []Event{arriving(2)})) != 1 {
			t.Error("a call within the wait, or none behind it")
		}
	}
	if len(ends) < 6 {
		t.Errorf("%d ends of eight waits", len(ends))
	}
}

// One voice alone makes no outage; where voices are not counted it does.
func TestOneVoice(t *testing.T) {
	for voices, want := range map[int]lineState{0: out, 1: healthy, 2: out} {
		r := fleetRelay(t)
		r.Step(3*time.Second, []Event{FleetUpdate{Routes: []RouteStats{{Destination: 1, Demand: 1, Failed: 9, Calls: 40, Reporters: voices}}}})
		if s := r.dests[1].lines[0].state; s != want {
			t.Errorf("%d voices: state %v", voices, s)
		}
	}
}
