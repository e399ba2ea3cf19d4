package policy

import (
	"slices"
	"testing"
	"time"

	"oatfold/internal/pacing"
)

// limited starts a relay, the given one of six, with a destination whose routes are separate and take several messages in a call.
func limited(t *testing.T, number int) *Relay {
	t.Helper()
	s := Settings{Relays: 6, TimeSlots: pacing.New(number, 6), ClockOffset: 1000 * time.Hour, MaxConcurrentCalls: 8, MaxPending: 80, MaxAttempts: 200,
		Tick: time.Millisecond, IdleConnTimeout: 15 * time.Second, ColdStartShare: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2,
		OverloadTime: 3 * time.Second, MaxRetryAfter: 3 * time.Second,
		Classes: []Class{{Name: "log", TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 1, LateValue: 0.5}},
		Kinds:   []Kind{{Name: "host", MaxBatch: 20, SeparateRoutes: true}}}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{EndpointListUpdate{Kind: ListSnapshot, Entries: []Endpoint{
		{Address: "a", Destination: 1, Kind: "host"}, {Address: "b", Destination: 1, Kind: "host"}}}})
	return r
}

func logged(id uint32, left time.Duration) Event {
	return Submitted{ID: id, Class: "log", Destination: 1, TimeLeft: left}
}

// refuse has the line's calls refused, one after the other.
func refuse(r *Relay, l *line, times int) {
	for range times {
		r.now += 30 * time.Second
		r.judge(&call{ep: l.eps[0], sentAt: r.now}, AttemptEnded{Outcome: Rejected})
		r.now += time.Second
	}
}

// Risk: an interval bounded by what is offered keeps all senders together above the limit, so that nothing gets through. Where
// refusals in a row tell that refused calls use up a limit, it grows beyond, up to the longest deadline, and one success takes
// a twentieth of it back, no more.
func TestRefusalsInARowHaveNoBoundByDemand(t *testing.T) {
	r := limited(t, 0)
	l := r.dests[1].lines[0]
	l.dest.demand, l.state = 50, healthy
	refuse(r, l, spentRun-1)
	if l.gap > r.patience/4 || r.counts(l) {
		t.Fatalf("slot %v after %d refusals", l.gap, spentRun-1)
	}
	refuse(r, l, 12)
	if l.gap != r.patience {
		t.Fatalf("slot %v, though nothing gets through", l.gap)
	}
	r.success(l, l.eps[0], 50*time.Millisecond)
	if want := part(r.patience, cutPerSuccess); l.gap != want {
		t.Errorf("slot %v after one success, want %v", l.gap, want)
	}
	r.now += rateMemory + time.Second
	if r.success(l, l.eps[0], 50*time.Millisecond); l.gap > r.patience/4 {
		t.Errorf("slot %v once refusals are long past", l.gap)
	}
}

// Risk: a line whose calls fail, or that is refused now and then, is taken for one whose refused calls count.
func TestFailuresTellNothingOfALimit(t *testing.T) {
	r := limited(t, 0)
	failing, mixed := r.dests[1].lines[0], r.dests[1].lines[1]
	r.failed(failing, &call{ep: failing.eps[0], sentAt: r.now}, ConnectionLost)
	if refuse(r, failing, 2*spentRun); r.counts(failing) {
		t.Error("a line that fails is taken for one whose refused calls count")
	}
	for range 3 {
		refuse(r, mixed, spentRun-1)
		r.success(mixed, mixed.eps[0], 50*time.Millisecond)
	}
	if r.counts(mixed) {
		t.Error("a line that takes one call of five is, too")
	}
}

// Risk: calls of several senders that come together at a limit refuse one another. In turns none comes within a turn's
// width of another's, and none sooner than the interval; a sender with little to send does not wait for its turn.
func TestSendersTakeTurns(t *testing.T) {
	const slot = 1200 * time.Millisecond
	free := map[Time]int{}
	var step time.Duration
	for number := range 6 {
		r := limited(t, number)
		r.now = time.Minute
		l := r.dests[1].lines[0]
		l.gap, l.countsTil, l.dest.demand = slot, r.now+time.Minute, 10
		l.claimed = r.now - slot/2 - time.Duration(number)*time.Millisecond
		step = r.set.TimeSlots.SlotWidth(slot)
		at := r.freeAt(l)
		if at < l.claimed+part(slot, 0.9) || at > l.claimed+3*slot {
			t.Fatalf("sender %d called at %v and may again at %v", number, l.claimed, at)
		}
		for other, whose := range free {
			if apart := max(at, other) - min(at, other); apart%step != 0 || apart == 0 {
				t.Errorf("senders %d and %d may call %v apart", number, whose, apart)
			}
		}
		free[at] = number
		l.dest.demand = 0.1
		if got, want := r.freeAt(l), l.claimed+part(slot, l.jitter); got != want {
			t.Errorf("with little to send sender %d may call at %v, want %v", number, got, want)
		}
	}
}

// Risk: after a restart, messages with less time left than an unknown destination may need go one by one, and each takes a
// call of the few that the destination allows.
func TestOldMessagesShareACallAfterARestart(t *testing.T) {
	r := limited(t, 0)
	var events []Event
	for id := range uint32(12) {
		events = append(events, logged(id+1, 2*time.Second+time.Duration(id)*100*time.Millisecond))
	}
	endpoints := map[string]bool{}
	for _, a := range r.Step(time.Second, events) {
		if s, ok := a.(Send); ok {
			endpoints[s.Endpoint] = true
		}
	}
	if len(endpoints) != 1 {
		t.Errorf("twelve messages go out in %d calls", len(endpoints))
	}
}

// Risk: what comes in is counted in messages; where one call takes many, that is far more than the calls it asks for.
func TestShareIsInCalls(t *testing.T) {
	r := limited(t, 0)
	l := r.dests[1].lines[0]
	l.dest.demand = 400 // for two routes, twenty in a call
	if got := r.share(l); got != 10 {
		t.Errorf("share %v calls a second", got)
	}
}

// News of a separate route are about it alone, and news of a destination are not about its separate routes.
func TestNewsOfOneRoute(t *testing.T) {
	for name, c := range map[string]struct {
		news RouteStats
		want []time.Duration
	}{
		"of a route":             {RouteStats{Destination: 1 << 24, Endpoint: "b", Allowance: 0.1}, []time.Duration{0, 10 * time.Second}},
		"of the destination":     {RouteStats{Destination: 1, Allowance: 0.1}, []time.Duration{0, 0}},
		"of a route that left":   {RouteStats{Destination: 1 << 24, Endpoint: "gone", Allowance: 0.1}, []time.Duration{0, 0}},
		"of another destination": {RouteStats{Destination: 7, Allowance: 0.1}, []time.Duration{0, 0}},
	} {
		r := limited(t, 0)
		r.Step(time.Second, []Event{FleetUpdate{Routes: []RouteStats{c.news}}})
		for i, want := range c.want {
			if got := r.slot(r.dests[1].lines[i]); got != want {
				t.Errorf("%s: slot of route %d is %v, want %v", name, i, got, want)
			}
		}
	}
}

// What is known of a limit goes to the process that takes this one's place.
func TestLimitIsPassedOn(t *testing.T) {
	old, young := limited(t, 0), limited(t, 0)
	l := old.dests[1].lines[0]
	l.claimed = time.Second
	refuse(old, l, 2*spentRun)
	young.ImportState(time.Second, nil, old.ExportState(old.now))
	if m := young.dests[1].lines[0]; !young.counts(m) || m.gap != l.gap {
		t.Errorf("counts %v, slot %v of %v", young.counts(m), m.gap, l.gap)
	}
}

// Risk: the next message of a key, sent in the step that ends the one before, waits for the platform's answer in a call of its own.
func TestNextOfAKeyRestsBehindANotice(t *testing.T) {
	b := start(t, nil)
	first := b.msg("unsafe", 1, "k")
	second := b.msg("unsafe", 1, "k")
	if n := len(pick[Send](b.step(first, second))); n != 1 {
		t.Fatalf("%d sent at first", n)
	}
	acts := b.after(900*ms, end(first.ID, 0, Errored))
	if len(pick[Fail](acts)) != 1 {
		t.Fatalf("the first does not end: %+v", acts)
	}
	if n := len(pick[Send](acts)); n != 0 {
		t.Errorf("%d messages of the key go out in the step that ends one", n)
	}
	for range 40 {
		if acts = b.after(50 * ms); len(pick[Send](acts)) > 0 {
			return
		}
	}
	t.Error("the second never goes out")
}

// Risk: of calls that a destination limits, each carries the one message that came first and is nearly out of time, while others
// that could share a call wait, until they are nearly out of time as well.
func TestNearlyOutOfTimeKeepsNobodyOut(t *testing.T) {
	const soon, later = 100 * time.Millisecond, 10 * time.Second
	for name, c := range map[string]struct {
		left []time.Duration
		want []uint32 // in the first call
	}{
		"alone":                    {[]time.Duration{soon}, []uint32{1}},
		"before one other":         {[]time.Duration{soon, later}, []uint32{1}},
		"before several":           {[]time.Duration{soon, later, later, later}, []uint32{2, 3, 4}},
		"two of them":              {[]time.Duration{soon, soon, later, later}, []uint32{3, 4}},
		"between others":           {[]time.Duration{later, soon, later, later}, []uint32{1, 3, 4}},
		"all of them":              {[]time.Duration{soon, soon, soon}, []uint32{1}},
		"nobody":                   {[]time.Duration{later, later, later}, []uint32{1, 2, 3}},
		"time for one more answer": {[]time.Duration{3 * soon, later, later}, []uint32{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			r := limited(t, 0)
			for _, l := range r.dests[1].lines {
				l.latency, l.recent = 50*time.Millisecond, 50*time.Millisecond
				l.gap = time.Minute
			}
			r.dests[1].lines[1].waitTil = time.Hour // the other route
			var events []Event
			for i, left := range c.left {
				events = append(events, logged(uint32(i+1), left))
			}
			var sent []uint32
			for _, a := range r.Step(time.Second, events) {
				if s, ok := a.(Send); ok {
					sent = append(sent, s.ID)
				}
			}
			if !slices.Equal(sent, c.want) {
				t.Errorf("the call holds %v, want %v", sent, c.want)
			}
		})
	}
}
