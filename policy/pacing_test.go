package policy

import (
	"slices"
	"testing"
	"time"

	"oatfold/internal/pacing"
)

// pacedRelay returns the relay with the given number of six. Its destination has separate routes
// that accept batches.
func pacedRelay(t *testing.T, number int) *Relay {
	t.Helper()
	s := Settings{Relays: 6, TimeSlots: pacing.New(number, 6), ClockOffset: 1000 * time.Hour, MaxConcurrentCalls: 8,
		MaxPending: 80, MaxAttempts: 200, Tick: time.Millisecond, IdleConnTimeout: 15 * time.Second,
		ColdStartShare: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2, OverloadTime: 3 * time.Second,
		MaxRetryAfter: 3 * time.Second,
		Classes: []Class{
			{Name: "log", TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 1, LateValue: 0.5}},
		Kinds: []Kind{{Name: "host", MaxBatch: 20, SeparateRoutes: true}}}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{EndpointListUpdate{Kind: ListSnapshot, Entries: []Endpoint{
		{Address: "a", Destination: 1, Kind: "host"}, {Address: "b", Destination: 1, Kind: "host"}}}})
	return r
}

func logSubmission(id uint32, left time.Duration) Event {
	return Submitted{ID: id, Class: "log", Destination: 1, TimeLeft: left}
}

// rejectCalls rejects calls on the route one after another.
func rejectCalls(r *Relay, rt *route, times int) {
	for range times {
		r.now += 30 * time.Second
		r.assess(&call{endpoint: rt.endpoints[0], sentAt: r.now}, AttemptEnded{Outcome: Rejected})
		r.now += time.Second
	}
}

// After a run of rejections, the interval grows beyond the bound by demand up to the longest
// deadline, since all relays together would stay above the limit otherwise. One success shortens it
// by no more than the decay.
func TestRejectionRunIsNotBoundedByDemand(t *testing.T) {
	r := pacedRelay(t, 0)
	rt := r.destinations[1].routes[0]
	rt.dest.demand, rt.health = 50, healthy
	rejectCalls(r, rt, limitRejectionRun-1)
	if rt.interval > r.maxDeadline/4 || r.rejectionsCount(rt) {
		t.Fatalf("interval %v after %d rejections", rt.interval, limitRejectionRun-1)
	}
	rejectCalls(r, rt, 12)
	if rt.interval != r.maxDeadline {
		t.Fatalf("interval %v while every call is rejected", rt.interval)
	}
	r.recordSuccess(rt, rt.endpoints[0], 50*time.Millisecond)
	if want := scale(r.maxDeadline, intervalDecay); rt.interval != want {
		t.Errorf("interval %v after one success, want %v", rt.interval, want)
	}
	r.now += rateWindow + time.Second
	if r.recordSuccess(rt, rt.endpoints[0], 50*time.Millisecond); rt.interval > r.maxDeadline/4 {
		t.Errorf("interval %v long after the last rejection", rt.interval)
	}
}

// Failures and occasional rejections don't make rejected calls count against the limit.
func TestFailuresAreNoLimit(t *testing.T) {
	r := pacedRelay(t, 0)
	failing, mixed := r.destinations[1].routes[0], r.destinations[1].routes[1]
	r.recordFailure(failing, &call{endpoint: failing.endpoints[0], sentAt: r.now}, ConnectionLost)
	if rejectCalls(r, failing, 2*limitRejectionRun); r.rejectionsCount(failing) {
		t.Error("rejected calls count on a failing route")
	}
	for range 3 {
		rejectCalls(r, mixed, limitRejectionRun-1)
		r.recordSuccess(mixed, mixed.endpoints[0], 50*time.Millisecond)
	}
	if r.rejectionsCount(mixed) {
		t.Error("rejected calls count on a route that accepts one call in five")
	}
}

// Relays use different time slots, no earlier than the interval allows, so that their calls don't
// get one another rejected. A relay with little demand doesn't wait for its slot.
func TestRelaysUseTheirTimeSlots(t *testing.T) {
	const interval = 1200 * time.Millisecond
	free := map[Time]int{}
	var slotWidth time.Duration
	for number := range 6 {
		r := pacedRelay(t, number)
		r.now = time.Minute
		rt := r.destinations[1].routes[0]
		rt.interval, rt.rejectionsCountUntil, rt.dest.demand = interval, r.now+time.Minute, 10
		rt.lastCall = r.now - interval/2 - time.Duration(number)*time.Millisecond
		slotWidth = r.cfg.TimeSlots.SlotWidth(interval)
		at := r.freeAt(rt)
		if at < rt.lastCall+scale(interval, 0.9) || at > rt.lastCall+3*interval {
			t.Fatalf("relay %d called at %v and may call again at %v", number, rt.lastCall, at)
		}
		for other, whose := range free {
			if distance := max(at, other) - min(at, other); distance%slotWidth != 0 || distance == 0 {
				t.Errorf("relays %d and %d may call %v apart", number, whose, distance)
			}
		}
		free[at] = number
		rt.dest.demand = 0.1
		if got, want := r.freeAt(rt), rt.lastCall+scale(interval, rt.jitter); got != want {
			t.Errorf("with little demand relay %d may call at %v, want %v", number, got, want)
		}
	}
}

// After a restart, messages with less time left than an unknown destination may need share a call,
// as it may accept few.
func TestRecoveredMessagesShareACall(t *testing.T) {
	r := pacedRelay(t, 0)
	var events []Event
	for id := range uint32(12) {
		events = append(events, logSubmission(id+1, 2*time.Second+time.Duration(id)*100*time.Millisecond))
	}
	endpoints := map[string]bool{}
	for _, a := range r.Step(time.Second, events) {
		if s, ok := a.(Send); ok {
			endpoints[s.Endpoint] = true
		}
	}
	if len(endpoints) != 1 {
		t.Errorf("twelve messages sent in %d calls, want 1", len(endpoints))
	}
}

// Demand is counted in messages, the share in calls of up to MaxBatch messages.
func TestShareIsInCalls(t *testing.T) {
	r := pacedRelay(t, 0)
	rt := r.destinations[1].routes[0]
	rt.dest.demand = 400 // for two routes with batches of twenty
	if got := r.callShare(rt); got != 10 {
		t.Errorf("share is %v calls per second, want 10", got)
	}
}

// A fleet update about a separate route applies to it alone; one about a destination doesn't apply
// to separate routes.
func TestFleetUpdateOfOneRoute(t *testing.T) {
	for name, c := range map[string]struct {
		stats RouteStats
		want  []time.Duration
	}{
		"route": {RouteStats{Destination: 1 << 24, Endpoint: "b", Allowance: 0.1},
			[]time.Duration{0, 10 * time.Second}},
		"destination": {RouteStats{Destination: 1, Allowance: 0.1}, []time.Duration{0, 0}},
		"removed route": {RouteStats{Destination: 1 << 24, Endpoint: "gone", Allowance: 0.1},
			[]time.Duration{0, 0}},
		"another destination": {RouteStats{Destination: 7, Allowance: 0.1}, []time.Duration{0, 0}},
	} {
		r := pacedRelay(t, 0)
		r.Step(time.Second, []Event{FleetUpdate{Routes: []RouteStats{c.stats}}})
		for i, want := range c.want {
			if got := r.pacingInterval(r.destinations[1].routes[i]); got != want {
				t.Errorf("%s: interval of route %d is %v, want %v", name, i, got, want)
			}
		}
	}
}

// What is known of a rate limit is transferred to the next process.
func TestLimitIsTransferred(t *testing.T) {
	old, next := pacedRelay(t, 0), pacedRelay(t, 0)
	rt := old.destinations[1].routes[0]
	rt.lastCall = time.Second
	rejectCalls(old, rt, 2*limitRejectionRun)
	next.ImportState(time.Second, nil, old.ExportState(old.now))
	if m := next.destinations[1].routes[0]; !next.rejectionsCount(m) || m.interval != rt.interval {
		t.Errorf("rejections count: %v; interval %v, want %v", next.rejectionsCount(m), m.interval, rt.interval)
	}
}

// The next message of an ordering key is not sent in the step that completes the previous one: it
// would wait for the outcome notification while in flight.
func TestNextOfAKeyWaitsForNotification(t *testing.T) {
	h := newHarness(t, nil)
	first := h.submission("unsafe", 1, "k")
	second := h.submission("unsafe", 1, "k")
	if n := len(actionsOf[Send](h.step(first, second))); n != 1 {
		t.Fatalf("%d messages sent first, want 1", n)
	}
	acts := h.after(900*ms, attemptEnd(first.ID, 0, Errored))
	if len(actionsOf[Fail](acts)) != 1 {
		t.Fatalf("the first message is not failed: %+v", acts)
	}
	if n := len(actionsOf[Send](acts)); n != 0 {
		t.Errorf("%d messages of the key sent in the step that completes one", n)
	}
	for range 40 {
		if acts = h.after(50 * ms); len(actionsOf[Send](acts)) > 0 {
			return
		}
	}
	t.Error("the second message is never sent")
}

// A message that is about to expire doesn't prevent a batch: it is sent alone only if fewer than
// two others wait.
func TestExpiringMessageDoesNotPreventBatch(t *testing.T) {
	const soon, later = 100 * time.Millisecond, 10 * time.Second
	for name, c := range map[string]struct {
		left []time.Duration
		want []uint32 // IDs in the first call
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
			r := pacedRelay(t, 0)
			for _, rt := range r.destinations[1].routes {
				rt.latency, rt.recentLatency = 50*time.Millisecond, 50*time.Millisecond
				rt.interval = time.Minute
			}
			r.destinations[1].routes[1].blockedUntil = time.Hour // the other route
			var events []Event
			for i, left := range c.left {
				events = append(events, logSubmission(uint32(i+1), left))
			}
			var sent []uint32
			for _, a := range r.Step(time.Second, events) {
				if s, ok := a.(Send); ok {
					sent = append(sent, s.ID)
				}
			}
			if !slices.Equal(sent, c.want) {
				t.Errorf("the call contains %v, want %v", sent, c.want)
			}
		})
	}
}
