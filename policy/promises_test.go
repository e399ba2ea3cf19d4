package policy

import (
	"fmt"
	"testing"
)

// What is wanted soon is served beside patient messages, however long these have queued: each that finds the queue too long sets a price
// for waiting there. Guards against a class that gets nothing (brussels-midi, calm day: 0.35 of its worth where others get 0.62).
func TestPatientOnesDoNotFillTheQueue(t *testing.T) {
	for alone, least := range map[bool]int{true: 100, false: 70} { // where others tell of the destination, the price is lower
		t.Run(fmt.Sprintf("alone %t", alone), func(t *testing.T) { patientBesideSoon(t, alone, least) })
	}
}

func patientBesideSoon(t *testing.T, alone bool, least int) {
	b := start(t, func(s *Settings) {
		s.Tenants, s.MaxPending, s.ExponentialDecay, s.NoGossip = nil, 1000, true, alone
		s.Classes = []Class{
			{Name: "patient", Effect: Safe, TargetLatency: 4 * sec, Deadline: 12 * sec, Value: 1, LateValue: 0.4},
			{Name: "soon", Effect: Safe, TargetLatency: 800 * ms, Deadline: 6 * sec, Value: 2, LateValue: 0.1},
		}
	})
	served := map[string]int{}
	class := map[uint32]string{}
	var out []Send
	for turn := range 600 { // a minute; the destination takes one in 200 ms and is asked for three times as much
		var events []Event
		for _, s := range out {
			events = append(events, end(s.ID, 0, Delivered))
			served[class[s.ID]]++
		}
		name := "patient"
		if turn%4 == 0 {
			name = "soon"
		}
		for range 1 + turn%2 {
			m := b.msg(name, 4, "")
			m.Tenant, m.TimeLeft = "", map[string]Time{"patient": 12 * sec, "soon": 6 * sec}[name]
			class[m.ID] = name
			events = append(events, m)
		}
		b.r.dests[4].lines[0].gap = 200 * ms // as refusals have made it, whatever successes take off
		out = pick[Send](b.after(100*ms, events...))
	}
	if all := served["soon"] + served["patient"]; all < 250 || served["soon"] < least {
		t.Errorf("of 600 slots of half a turn: soon %d, patient %d", served["soon"], served["patient"])
	}
}

// A destination that is asked for three times what it takes is sent what is still worth most of it: messages that keep half of their worth up to
// the deadline make room before it. Guards against a queue in which each one is delivered as late as can be.
func TestOverloadDeliversBeforeTheDeadline(t *testing.T) {
	const deadline = 12 * sec
	b := start(t, func(s *Settings) {
		s.Tenants, s.MaxPending = nil, 1000
		s.Classes = []Class{{Name: "notice", Effect: Safe, TargetLatency: 2 * sec, Deadline: deadline, Value: 1, LateValue: 0.5}}
	})
	var out []Send
	came := map[uint32]Time{}
	var age Time
	served := 0
	for turn := range 600 { // a minute; the destination takes one in 200 ms
		var events []Event
		for _, s := range out {
			events = append(events, end(s.ID, 0, Delivered))
			if turn > 200 { // the queue has grown as long as it gets
				age, served = age+b.now-came[s.ID], served+1
			}
		}
		for range 1 + turn%2 {
			m := b.msg("notice", 4, "")
			m.Tenant, m.TimeLeft = "", deadline
			came[m.ID] = b.now
			events = append(events, m)
		}
		b.r.dests[4].lines[0].gap = 200 * ms // as refusals have made it, whatever successes take off
		out = pick[Send](b.after(100*ms, events...))
	}
	if served < 150 {
		t.Fatalf("%d delivered in 40 s, five a second are due", served)
	}
	if mean := age / Time(served); mean > deadline*3/4 {
		t.Errorf("delivered after %v in the mean, of %v that there are", mean, deadline)
	}
}

// The price for waiting turns away what lateness never would. A class that loses more of its worth by its deadline is left to the bound on lateness,
// unless relays are alone.
func TestPriceIsForWhatLatenessNeverTurnsAway(t *testing.T) {
	for _, c := range []struct {
		late  float64 // worth that is left at the deadline
		alone bool
		want  int // of ten that wait, those that are turned away
	}{{0.5, false, 10}, {0.31, false, 10}, {worthWhile, false, 0}, {0, false, 0}, {0, true, 10}} {
		b := start(t, func(s *Settings) {
			s.Tenants, s.NoGossip = nil, c.alone
			s.Classes = []Class{{Name: "notice", Effect: Safe, TargetLatency: 2 * sec, Deadline: 12 * sec, Value: 1, LateValue: c.late}}
		})
		d := b.r.dest(4)
		d.price = 2 // more than anything here is worth
		d.lines[0].gap, d.lines[0].claimed = 100*ms, b.now
		var events []Event
		for range 10 {
			m := b.msg("notice", 4, "")
			m.Tenant, m.TimeLeft = "", 12*sec
			events = append(events, m)
		}
		if got := len(pick[Refuse](b.after(b.r.set.Tick, events...))); got != c.want {
			t.Errorf("%g left at the deadline, alone %t: %d turned away, want %d", c.late, c.alone, got, c.want)
		}
	}
}

// What an earlier life took on and never tried is not handed back for its lateness: it goes out in its turn. What has come in since is.
func TestTakenOnMeansTried(t *testing.T) {
	for _, kept := range []bool{false, true} {
		b := start(t, func(s *Settings) { s.Tenants = nil })
		b.r.dests[4].lines[0].gap, b.r.dests[4].lines[0].claimed = sec, b.now
		var events []Event
		for range 10 {
			m := b.msg("safe", 4, "")
			m.Tenant, m.TimeLeft, m.Recovered = "", 6*sec, kept
			events = append(events, m)
		}
		gone := pick[Refuse](b.after(b.r.set.Tick, events...))
		if kept && len(gone) > 0 {
			t.Errorf("%d of ten that a restart found are given up", len(gone))
		} else if !kept && len(gone) == 0 {
			t.Errorf("of ten that come in at once for a slot of a second none gives way: the test shows nothing")
		}
	}
}

// A full hold takes its room from what has come in since, not from what a restart found untried.
func TestHoldSparesWhatARestartFound(t *testing.T) {
	b := start(t, func(s *Settings) { s.Tenants, s.MaxPending, s.MaxConcurrentCalls = nil, 10, 1 })
	b.r.dests[4].lines[0].waitTil = b.now + 3*sec
	var events []Event
	for i := range 10 {
		m := b.msg("safe", 4, "")
		if m.Tenant, m.Recovered = "", i < 5; m.Recovered {
			m.TimeLeft = 9 * sec // so that it is worth least
		}
		events = append(events, m)
	}
	gone := pick[Refuse](b.after(b.r.set.Tick, events...))
	if len(gone) == 0 {
		t.Error("a full hold makes no room")
	}
	for _, r := range gone {
		if r.ID <= 5 {
			t.Errorf("%d, which a restart found, gives way", r.ID)
		}
	}
}

// A message keeps the terms that it was taken on under, wherever new ones would loosen a rule; and new ones that are stricter bind it.
func TestTermsOutlastAReload(t *testing.T) {
	for _, c := range []struct {
		name           string
		was, now       Class
		age            Time
		repeat, refuse bool // after a lost answer: it may go again; it may be handed back
	}{
		{"charge to alert", Class{Effect: Unsafe}, Class{Effect: Safe}, 0, false, false},
		{"charge to order", Class{Effect: Unsafe}, Class{Effect: Keyed, RepeatWindow: 20 * sec}, 0, false, false},
		{"alert to charge", Class{Effect: Safe}, Class{Effect: Unsafe}, 0, false, false},
		{"order to alert, in its window", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Safe}, 0, true, false},
		{"order to alert, later", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Safe}, 5 * sec, false, false},
		{"longer window", Class{Effect: Keyed, RepeatWindow: 4 * sec}, Class{Effect: Keyed, RepeatWindow: 9 * sec}, 5 * sec, false, false},
		{"shorter window", Class{Effect: Keyed, RepeatWindow: 9 * sec}, Class{Effect: Keyed, RepeatWindow: 4 * sec}, 5 * sec, false, false},
		{"as it was", Class{Effect: Keyed, RepeatWindow: 9 * sec}, Class{Effect: Keyed, RepeatWindow: 9 * sec}, 5 * sec, true, false},
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
		check := func(how string, b *bench, id uint32) {
			m := b.r.msgs[id]
			if m == nil {
				t.Fatalf("%s, %s: not held", c.name, how)
			}
			if got := b.r.mayRepeat(m); got != c.repeat {
				t.Errorf("%s, %s: may go again: %v", c.name, how, got)
			}
			if got := m.mayRefuse(); got != c.refuse {
				t.Errorf("%s, %s: may be handed back: %v", c.name, how, got)
			}
		}
		// The reload comes while it is held, and its answer was lost some time ago.
		b := start(t, func(s *Settings) { *s = set(c.was) })
		m := b.msg("x", 4, "")
		m.Tenant = ""
		b.after(b.r.set.Tick, m)
		held := b.r.msgs[m.ID]
		held.mayHave, held.firstRisk, held.call = true, b.r.now-c.age, nil
		if err := b.r.Reconfigure(set(c.now)); err != nil {
			t.Fatal(err)
		}
		check("reloaded", b, m.ID)
		// The same over a restart.
		b = start(t, func(s *Settings) { *s = set(c.now) })
		b.r.dests[4].lines[0].waitTil = b.now + sec
		m = b.msg("x", 4, "")
		m.Tenant, m.Terms = "", c.was
		b.r.now += b.r.set.Tick
		b.r.arrive(m)
		again := b.r.msgs[m.ID]
		again.mayHave, again.firstRisk = true, b.r.now-c.age
		check("restarted", b, m.ID)
	}
}

// What a destination told outlives its endpoints: they may all leave the list and come back, or others in their place.
func TestWaitOutlivesTheEndpoints(t *testing.T) {
	b := start(t, nil)
	m := b.msg("safe", 4, "")
	b.sent(b.after(5*ms, m), m.ID)
	b.after(100*ms, AttemptEnded{ID: m.ID, Outcome: Rejected, Duration: 100 * ms, RetryAfter: 2 * sec})
	b.after(5*ms, EndpointListUpdate{Entries: []Endpoint{{Address: "q1", Destination: 4, Kind: "plain", Zone: "z1", State: Removed}}})
	b.after(5*ms, EndpointListUpdate{Entries: []Endpoint{{Address: "q2", Destination: 4, Kind: "plain", Zone: "z1", Rate: 10}}})
	for range 19 {
		b.sent(b.after(100 * ms))
	}
	for range 60 {
		if acts := b.after(100 * ms); len(pick[Send](acts)) > 0 {
			b.sent(acts, m.ID)
			return
		}
	}
	t.Error("it never goes")
}

// A tenant that the settings don't name has nobody's share, and one that a reload took out has none any more.
func TestUnknownTenantsTakeNoShare(t *testing.T) {
	b := start(t, nil)
	for _, name := range []string{"a", "c", ""} {
		if got := b.r.overShare(b.r.tenants[name]); got != (name != "a") {
			t.Errorf("tenant %q is past its share: %v", name, got)
		}
	}
	s := testSettings()
	s.Tenants = s.Tenants[1:]
	if err := b.r.Reconfigure(s); err != nil {
		t.Fatal(err)
	}
	if !b.r.overShare(b.r.tenants["a"]) {
		t.Error("a tenant that was taken out has a share")
	}
	s.Tenants = nil
	b.r.Reconfigure(s)
	if b.r.overShare(b.r.tenants["a"]) {
		t.Error("where no tenant is named all are alike")
	}
}

// Where routes are apart, what one told binds it alone, also if it leaves the list and comes back.
func TestWaitOutlivesARoute(t *testing.T) {
	b := start(t, nil)
	m := b.msg("safe", 3, "")
	first := b.sent(b.after(5*ms, m), m.ID)[0].Endpoint
	other := b.sent(b.after(5*ms, AttemptEnded{ID: m.ID, Endpoint: first, Outcome: Rejected, Duration: 5 * ms, RetryAfter: 5 * sec}), m.ID)[0].Endpoint
	told := b.now
	b.after(5*ms, end(m.ID, 1, Delivered))
	for _, address := range []string{first, other} {
		b.after(5*ms, EndpointListUpdate{Entries: []Endpoint{{Address: address, Destination: 3, Kind: "routes", State: Removed}}})
	}
	b.after(5*ms, EndpointListUpdate{Entries: []Endpoint{{Address: first, Destination: 3, Kind: "routes", Zone: "z1", Rate: 10}}})
	m = b.msg("safe", 3, "")
	b.sent(b.after(5*ms, m))
	for b.now < told+12*sec {
		if acts := b.after(100 * ms); len(pick[Send](acts)) > 0 {
			if b.now < told+5*sec {
				t.Errorf("%s is called %v behind its wait of 5 s", first, b.now-told)
			}
			return
		}
	}
	t.Error("it never goes")
}

// A key that rests after an attempt that may still run goes on resting while a flood of other keys comes and goes, and is forgotten behind its rest.
func TestKeyRestsThroughAFlood(t *testing.T) {
	b := start(t, func(s *Settings) { s.KeyQuietTime, s.Tenants, s.MaxPending = 6*sec, nil, 1000 })
	first, second := b.msg("unsafe", 4, "rests"), b.msg("unsafe", 4, "rests")
	first.Tenant, second.Tenant = "", ""
	b.sent(b.after(5*ms, first), first.ID)
	lost := b.now
	b.after(5*ms, AttemptEnded{ID: first.ID, Outcome: ConnectionLost, Duration: 5 * ms})
	come := false
	for b.now < lost+10*sec {
		var events []Event
		if !come && b.now > lost+5*sec { // nothing of the key is held until then
			come, events = true, append(events, second)
		}
		for range 5 {
			m := b.msg("unsafe", 1, fmt.Sprint("k", b.id))
			m.Tenant, m.TimeLeft = "", 300*ms
			events = append(events, m)
		}
		for _, s := range pick[Send](b.after(100*ms, events...)) {
			if s.ID == second.ID {
				if b.now < lost+6*sec {
					t.Errorf("its key rests for 6 s, and it goes after %v", b.now-lost)
				}
				b.after(5*ms, end(second.ID, 0, Delivered))
				b.after(3 * sec)
				b.after(3 * sec)
				if n := len(b.r.keys); b.r.keys["rests"] != nil || n > 5 { // those of the last turn are out
					t.Errorf("%d keys are kept", n)
				}
				return
			}
			b.step(end(s.ID, 0, Delivered))
		}
	}
	t.Error("it never goes")
}
