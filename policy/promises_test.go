package policy

import (
	"fmt"
	"testing"
)

// Messages with a short deadline are delivered beside many with a long one: each message that is
// shed for lateness raises the minimum value for waiting.
func TestLongDeadlinesDoNotFillTheQueue(t *testing.T) {
	for noGossip, least := range map[bool]int{true: 100, false: 70} { // with gossip, the minimum value is lower
		t.Run(fmt.Sprintf("no gossip %t", noGossip), func(t *testing.T) { testPatientBesideSoon(t, noGossip, least) })
	}
}

func testPatientBesideSoon(t *testing.T, noGossip bool, least int) {
	h := newHarness(t, func(s *Settings) {
		s.Tenants, s.MaxPending, s.ExponentialDecay, s.NoGossip = nil, 1000, true, noGossip
		s.Classes = []Class{
			{Name: "patient", Effect: Safe, TargetLatency: 4 * sec, Deadline: 12 * sec, Value: 1, LateValue: 0.4},
			{Name: "soon", Effect: Safe, TargetLatency: 800 * ms, Deadline: 6 * sec, Value: 2, LateValue: 0.1},
		}
	})
	served := map[string]int{}
	class := map[uint32]string{}
	var inFlight []Send
	for step := range 600 { // a minute at three times the rate of 5 per second
		var events []Event
		for _, s := range inFlight {
			events = append(events, attemptEnd(s.ID, 0, Delivered))
			served[class[s.ID]]++
		}
		name := "patient"
		if step%4 == 0 {
			name = "soon"
		}
		for range 1 + step%2 {
			m := h.submission(name, 4, "")
			m.Tenant, m.TimeLeft = "", map[string]Time{"patient": 12 * sec, "soon": 6 * sec}[name]
			class[m.ID] = name
			events = append(events, m)
		}
		h.relay.destinations[4].routes[0].interval = 200 * ms // as after rejections, whatever successes decay it to
		inFlight = actionsOf[Send](h.after(100*ms, events...))
	}
	if all := served["soon"] + served["patient"]; all < 250 || served["soon"] < least {
		t.Errorf("delivered in 600 steps: soon %d, patient %d", served["soon"], served["patient"])
	}
}

// An overloaded destination gets messages that still have most of their value. If these lose only
// half of it by the deadline, the queue must not grow until all are delivered at the deadline.
func TestOverloadDeliversBeforeTheDeadline(t *testing.T) {
	const deadline = 12 * sec
	h := newHarness(t, func(s *Settings) {
		s.Tenants, s.MaxPending = nil, 1000
		s.Classes = []Class{
			{Name: "notice", Effect: Safe, TargetLatency: 2 * sec, Deadline: deadline, Value: 1, LateValue: 0.5}}
	})
	var inFlight []Send
	arrivedAt := map[uint32]Time{}
	var age Time
	served := 0
	for step := range 600 { // a minute; the destination accepts 5 per second
		var events []Event
		for _, s := range inFlight {
			events = append(events, attemptEnd(s.ID, 0, Delivered))
			if step > 200 { // the queue has reached its length
				age, served = age+h.now-arrivedAt[s.ID], served+1
			}
		}
		for range 1 + step%2 {
			m := h.submission("notice", 4, "")
			m.Tenant, m.TimeLeft = "", deadline
			arrivedAt[m.ID] = h.now
			events = append(events, m)
		}
		h.relay.destinations[4].routes[0].interval = 200 * ms // as after rejections, whatever successes decay it to
		inFlight = actionsOf[Send](h.after(100*ms, events...))
	}
	if served < 150 {
		t.Fatalf("%d delivered in 40 s, expected about five per second", served)
	}
	if mean := age / Time(served); mean > deadline*3/4 {
		t.Errorf("delivered after %v on average, deadline %v", mean, deadline)
	}
}

// The minimum value sheds what lateness never would. Without gossip it applies to all classes.
func TestMinimumValueAppliesWhereLatenessDoesNot(t *testing.T) {
	for _, c := range []struct {
		late     float64 // share of the value left at the deadline
		noGossip bool
		want     int // messages refused of ten
	}{{0.5, false, 10}, {0.31, false, 10}, {minValueShare, false, 0}, {0, false, 0}, {0, true, 10}} {
		h := newHarness(t, func(s *Settings) {
			s.Tenants, s.NoGossip = nil, c.noGossip
			s.Classes = []Class{
				{Name: "notice", Effect: Safe, TargetLatency: 2 * sec, Deadline: 12 * sec, Value: 1, LateValue: c.late}}
		})
		d := h.relay.destination(4)
		d.minValue = 2 // more than any message here
		d.routes[0].interval, d.routes[0].lastCall = 100*ms, h.now
		var events []Event
		for range 10 {
			m := h.submission("notice", 4, "")
			m.Tenant, m.TimeLeft = "", 12*sec
			events = append(events, m)
		}
		if got := len(actionsOf[Refuse](h.after(h.relay.cfg.Tick, events...))); got != c.want {
			t.Errorf("late value %g, no gossip %t: %d refused, want %d", c.late, c.noGossip, got, c.want)
		}
	}
}

// Recovered messages without an attempt are not shed for lateness; new messages are.
func TestRecoveredMessagesAreAttempted(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		h := newHarness(t, func(s *Settings) { s.Tenants = nil })
		h.relay.destinations[4].routes[0].interval, h.relay.destinations[4].routes[0].lastCall = sec, h.now
		var events []Event
		for range 10 {
			m := h.submission("safe", 4, "")
			m.Tenant, m.TimeLeft, m.Recovered = "", 6*sec, recovered
			events = append(events, m)
		}
		refused := actionsOf[Refuse](h.after(h.relay.cfg.Tick, events...))
		if recovered && len(refused) > 0 {
			t.Errorf("%d of ten recovered messages are refused", len(refused))
		} else if !recovered && len(refused) == 0 {
			t.Errorf("none of ten new messages is refused at one per second: the test shows nothing")
		}
	}
}

// At the pending limit, new messages are shed, not recovered ones without an attempt.
func TestPendingLimitSparesRecoveredMessages(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Tenants, s.MaxPending, s.MaxConcurrentCalls = nil, 10, 1 })
	h.relay.destinations[4].routes[0].blockedUntil = h.now + 3*sec
	var events []Event
	for i := range 10 {
		m := h.submission("safe", 4, "")
		if m.Tenant, m.Recovered = "", i < 5; m.Recovered {
			m.TimeLeft = 9 * sec // so that its value is lowest
		}
		events = append(events, m)
	}
	refused := actionsOf[Refuse](h.after(h.relay.cfg.Tick, events...))
	if len(refused) == 0 {
		t.Error("nothing is shed at the pending limit")
	}
	for _, r := range refused {
		if r.ID <= 5 {
			t.Errorf("recovered message %d is shed", r.ID)
		}
	}
}

// A message keeps the terms that it was accepted under where new ones would loosen a rule; stricter
// ones apply.
func TestTermsOutliveAReload(t *testing.T) {
	for _, c := range []struct {
		name           string
		was, now       Class
		age            Time
		repeat, refuse bool // after a lost answer: it may be repeated; it may be refused
	}{
		{"charge to alert", Class{Effect: Unsafe}, Class{Effect: Safe}, 0, false, false},
		{"charge to order", Class{Effect: Unsafe}, Class{Effect: Keyed, RepeatWindow: 20 * sec}, 0, false, false},
		{"alert to charge", Class{Effect: Safe}, Class{Effect: Unsafe}, 0, false, false},
		{"order to alert, in its window", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Safe},
			0, true, false},
		{"order to alert, later", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Safe},
			5 * sec, false, false},
		{"longer window", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Keyed, RepeatWindow: 9 * sec},
			5 * sec, false, false},
		{"shorter window", Class{Effect: Keyed, RepeatWindow: 9 * sec}, Class{Effect: Keyed, RepeatWindow: 4 * sec},
			5 * sec, false, false},
		{"as it was", Class{Effect: Keyed, RepeatWindow: 9 * sec}, Class{Effect: Keyed, RepeatWindow: 9 * sec},
			5 * sec, true, false},
	} {
		class := func(k Class) Class {
			k.Name, k.TargetLatency, k.Deadline, k.Value = "x", 2*sec, 12*sec, 1
			return k
		}
		set := func(k Class) Settings {
			s := testSettings()
			s.Tenants, s.Classes = nil, []Class{class(k)}
			return s
		}
		check := func(how string, h *harness, id uint32) {
			m := h.relay.messages[id]
			if m == nil {
				t.Fatalf("%s, %s: not pending", c.name, how)
			}
			if got := h.relay.mayAttempt(m); got != c.repeat {
				t.Errorf("%s, %s: may be repeated: %v", c.name, how, got)
			}
			if got := m.mayRefuse(); got != c.refuse {
				t.Errorf("%s, %s: may be refused: %v", c.name, how, got)
			}
		}
		// The settings are reloaded while the message is pending after a lost answer.
		h := newHarness(t, func(s *Settings) { *s = set(c.was) })
		m := h.submission("x", 4, "")
		m.Tenant = ""
		h.after(h.relay.cfg.Tick, m)
		pending := h.relay.messages[m.ID]
		pending.mayHaveRun, pending.uncertainSince, pending.call = true, h.relay.now-c.age, nil
		if err := h.relay.Reconfigure(set(c.now)); err != nil {
			t.Fatal(err)
		}
		check("reloaded", h, m.ID)
		// The same after a restart.
		h = newHarness(t, func(s *Settings) { *s = set(c.now) })
		h.relay.destinations[4].routes[0].blockedUntil = h.now + sec
		m = h.submission("x", 4, "")
		m.Tenant, m.Terms = "", c.was
		h.relay.now += h.relay.cfg.Tick
		h.relay.submit(m)
		recovered := h.relay.messages[m.ID]
		recovered.mayHaveRun, recovered.uncertainSince = true, h.relay.now-c.age
		check("restarted", h, m.ID)
	}
}

// A Retry-After outlives the endpoints of its destination: they may leave and return, or be
// replaced.
func TestRetryAfterOutlivesEndpoints(t *testing.T) {
	h := newHarness(t, nil)
	m := h.submission("safe", 4, "")
	h.expectSent(h.after(5*ms, m), m.ID)
	h.after(100*ms, AttemptEnded{ID: m.ID, Outcome: Rejected, Duration: 100 * ms, RetryAfter: 2 * sec})
	h.after(5*ms, EndpointListUpdate{
		Entries: []Endpoint{{Address: "q1", Destination: 4, Kind: "plain", Zone: "z1", State: Removed}}})
	h.after(5*ms,
		EndpointListUpdate{Entries: []Endpoint{{Address: "q2", Destination: 4, Kind: "plain", Zone: "z1", Rate: 10}}})
	for range 19 {
		h.expectSent(h.after(100 * ms))
	}
	for range 60 {
		if acts := h.after(100 * ms); len(actionsOf[Send](acts)) > 0 {
			h.expectSent(acts, m.ID)
			return
		}
	}
	t.Error("the message is never sent")
}

// A tenant that the settings don't list, or no longer list, has no quota.
func TestUnknownTenantsHaveNoQuota(t *testing.T) {
	h := newHarness(t, nil)
	for _, name := range []string{"a", "c", ""} {
		if got := h.relay.takeQuota(h.relay.tenants[name]); got != (name != "a") {
			t.Errorf("tenant %q over its quota: %v", name, got)
		}
	}
	s := testSettings()
	s.Tenants = s.Tenants[1:]
	if err := h.relay.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
	if !h.relay.takeQuota(h.relay.tenants["a"]) {
		t.Error("a removed tenant has a quota")
	}
	s.Tenants = nil
	h.relay.Reconfigure(s)
	if h.relay.takeQuota(h.relay.tenants["a"]) {
		t.Error("over quota though no tenants are listed")
	}
}

// A Retry-After of a separate route applies to it alone, also after it leaves the list and returns.
func TestRetryAfterOutlivesARoute(t *testing.T) {
	h := newHarness(t, nil)
	m := h.submission("safe", 3, "")
	first := h.expectSent(h.after(5*ms, m), m.ID)[0].Endpoint
	other := h.expectSent(h.after(5*ms, AttemptEnded{ID: m.ID, Endpoint: first, Outcome: Rejected, Duration: 5 * ms,
		RetryAfter: 5 * sec}), m.ID)[0].Endpoint
	receivedAt := h.now
	h.after(5*ms, attemptEnd(m.ID, 1, Delivered))
	for _, address := range []string{first, other} {
		h.after(5*ms,
			EndpointListUpdate{Entries: []Endpoint{{Address: address, Destination: 3, Kind: "routes", State: Removed}}})
	}
	h.after(5*ms,
		EndpointListUpdate{Entries: []Endpoint{{Address: first, Destination: 3, Kind: "routes", Zone: "z1", Rate: 10}}})
	m = h.submission("safe", 3, "")
	h.expectSent(h.after(5*ms, m))
	for h.now < receivedAt+12*sec {
		if acts := h.after(100 * ms); len(actionsOf[Send](acts)) > 0 {
			if h.now < receivedAt+5*sec {
				t.Errorf("%s is called %v after a Retry-After of 5 s", first, h.now-receivedAt)
			}
			return
		}
	}
	t.Error("the message is never sent")
}

// A key that is quiet after an attempt that may still run stays quiet while many other keys come
// and go, and is forgotten afterwards.
func TestKeyStaysQuietUnderLoad(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.KeyQuietTime, s.Tenants, s.MaxPending = 6*sec, nil, 1000 })
	first, second := h.submission("unsafe", 4, "rests"), h.submission("unsafe", 4, "rests")
	first.Tenant, second.Tenant = "", ""
	h.expectSent(h.after(5*ms, first), first.ID)
	lost := h.now
	h.after(5*ms, AttemptEnded{ID: first.ID, Outcome: ConnectionLost, Duration: 5 * ms})
	submitted := false
	for h.now < lost+10*sec {
		var events []Event
		if !submitted && h.now > lost+5*sec { // no message of the key is pending until then
			submitted, events = true, append(events, second)
		}
		for range 5 {
			m := h.submission("unsafe", 1, fmt.Sprint("k", h.id))
			m.Tenant, m.TimeLeft = "", 300*ms
			events = append(events, m)
		}
		for _, s := range actionsOf[Send](h.after(100*ms, events...)) {
			if s.ID == second.ID {
				if h.now < lost+6*sec {
					t.Errorf("sent after %v, in the key's quiet time of 6 s", h.now-lost)
				}
				h.after(5*ms, attemptEnd(second.ID, 0, Delivered))
				h.after(3 * sec)
				h.after(3 * sec)
				// The messages of the last step are in flight.
				if n := len(h.relay.keys); h.relay.keys["rests"] != nil || n > 5 {
					t.Errorf("%d keys are still known", n)
				}
				return
			}
			h.step(attemptEnd(s.ID, 0, Delivered))
		}
	}
	t.Error("the second message is never sent")
}
