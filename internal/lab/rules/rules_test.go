package rules

import (
	"slices"
	"testing"
	"time"
)

const s = time.Second

var config = Config{AnswerSlack: 20 * time.Millisecond, DrainGrace: s, FallMultiple: 2, FallFor: 3 * s, Slots: 4, MaxAttempts: 3}

// good is a log in which every rule is touched and kept. Mutations of it break one rule each.
func good() []Event {
	log := []Event{
		{Kind: Taken, Msg: 1, Dest: 1, Effect: Unsafe, Until: 20 * s},
		{Kind: Taken, Msg: 2, Dest: 1, Effect: Keyed, Window: 5 * s, Until: 20 * s},
		{Kind: Taken, Msg: 3, Dest: 2, Effect: Safe, Until: 6 * s},
		{At: 1 * s, Kind: Sent, Msg: 1, Call: 1, Dest: 1, Endpoint: 11},
		{At: 1 * s, Kind: Sent, Msg: 2, Call: 2, Dest: 1, Endpoint: 11},
		{At: 1 * s, Kind: Sent, Msg: 3, Call: 3, Dest: 2, Endpoint: 21},
		{At: 2 * s, Kind: Ended, Msg: 1, Call: 1, Dest: 1, Proved: true, Wait: 500 * time.Millisecond},
		{At: 2 * s, Kind: Ended, Msg: 2, Call: 2, Dest: 1},
		{At: 2 * s, Kind: Ended, Msg: 3, Call: 3, Dest: 2, Proved: true},
		{At: 2 * s, Kind: Leaving, Endpoint: 11},
		{At: 2600 * time.Millisecond, Kind: Sent, Msg: 1, Attempt: 1, Call: 4, Dest: 1, Endpoint: 11},
		{At: 2600 * time.Millisecond, Kind: Sent, Msg: 2, Attempt: 1, Call: 5, Dest: 1, Endpoint: 12},
		{At: 3 * s, Kind: Ended, Msg: 1, Attempt: 1, Call: 4, Dest: 1, OK: true},
		{At: 3 * s, Kind: Ended, Msg: 2, Attempt: 1, Call: 5, Dest: 1, OK: true},
		{At: 3 * s, Kind: Refused, Msg: 3},
		{At: 4 * s, Kind: Back, Dest: 2},
		{At: 4 * s, Kind: Learned, Dest: 2},
	}
	for i := range 11 { // 11 within 3 s at a capacity of 1.5 a second: the budget is 9, and a slack of 3
		log = append(log, Event{At: 4*s + time.Duration(i)*100*time.Millisecond, Kind: Reached, Dest: 2, Weight: 1, Capacity: 1.5})
	}
	return append(log, Event{At: 8 * s, Kind: Warm, Dest: 2}, Event{At: 9 * s, Kind: Finished})
}

func run(set Config, log []Event) *Checker {
	c := New(set)
	for _, e := range log {
		c.Event(e)
	}
	return c
}

// Each mutation of the good log breaks the rule that it is listed under, and only that one.
func TestMutations(t *testing.T) {
	if c := run(config, good()); len(c.Breaks) > 0 || c.Open() != 0 {
		t.Fatalf("the good log: %v", c.Breaks)
	}
	find := func(log []Event, k Kind, msg uint32, n int) int {
		for i, e := range log {
			if e.Kind == k && e.Msg == msg {
				if n--; n < 0 {
					return i
				}
			}
		}
		t.Fatalf("no such line: %v %v", k, msg)
		return 0
	}
	insert := func(log []Event, before int, e ...Event) []Event { return slices.Insert(log, before, e...) }
	for name, m := range map[string]struct {
		rule Name
		do   func([]Event) []Event
	}{
		"no end":           {Answer, func(l []Event) []Event { i := find(l, Refused, 3, 0); return slices.Delete(l, i, i+1) }},
		"end too late":     {Answer, func(l []Event) []Event { l[find(l, Taken, 3, 0)].Until = 2 * s; return l }},
		"two ends":         {Answer, func(l []Event) []Event { i := find(l, Refused, 3, 0); return insert(l, i, l[i]) }},
		"end of another's": {Answer, func(l []Event) []Event { l[find(l, Refused, 3, 0)].Msg = 9; return l[:len(l)-1] }},
		"sent after end": {Answer, func(l []Event) []Event {
			i := find(l, Sent, 1, 1)
			return insert(l, i, Event{At: l[i].At, Kind: Failed, Msg: 1})
		}},
		"taken twice":  {Answer, func(l []Event) []Event { return insert(l, 1, l[0]) }},
		"ended twice":  {Answer, func(l []Event) []Event { i := find(l, Ended, 3, 0); return insert(l, i, l[i]) }},
		"back in time": {Answer, func(l []Event) []Event { l[find(l, Refused, 3, 0)].At = s; return l }},
		"two live": {Repeat, func(l []Event) []Event {
			i := find(l, Ended, 3, 0)
			e := l[find(l, Sent, 3, 0)]
			e.Attempt, e.At, e.Call = 1, 2*s, 9
			o := l[i]
			o.Attempt, o.Call = 1, 9
			return insert(l, i, e, o)
		}},
		"charge again": {Repeat, func(l []Event) []Event { l[find(l, Ended, 1, 0)].Proved = false; return l }},
		"charge back": {Repeat, func(l []Event) []Event {
			i := find(l, Ended, 1, 1)
			l[i].OK = false
			return insert(l, i+1, Event{At: 3 * s, Kind: Refused, Msg: 1})
		}},
		"charge back, live": {Repeat, func(l []Event) []Event {
			i := find(l, Ended, 1, 1)
			return insert(l, i, Event{At: 3 * s, Kind: Refused, Msg: 1})
		}},
		"past its window": {Repeat, func(l []Event) []Event { l[find(l, Taken, 2, 0)].Window = s; return l }},
		"drained": {Drain, func(l []Event) []Event {
			l[find(l, Leaving, 0, 0)].At = 0
			i := find(l, Leaving, 0, 0)
			e := l[i]
			return insert(slices.Delete(l, i, i+1), 3, e)
		}},
		"told wait":   {Wait, func(l []Event) []Event { l[find(l, Ended, 1, 0)].Wait = s; return l }},
		"wrong place": {Place, func(l []Event) []Event { l[find(l, Sent, 3, 0)].Dest = 1; return l }},
		"pushed over": {FailBack, func(l []Event) []Event { i := find(l, Warm, 0, 0); e := l[i-1]; return insert(l, i, e, e) }},
	} {
		c := run(config, m.do(good()))
		if c.Counts[m.rule] == 0 || len(c.Counts) != 1 {
			t.Errorf("%s: %v, want only %s: %v", name, c.Counts, m.rule, c.Breaks)
		}
	}
	// Rules whose bound is in the figures.
	for name, set := range map[Name]func(*Config){Place: func(c *Config) { c.MaxAttempts = 1 }, Share: func(c *Config) { c.Slots = 3; c.MaxAttempts = 9 }} {
		set2 := config
		set(&set2)
		log := good()
		if name == Share { // a third call to destination 1, of the three slots
			log = insert(log, 6, Event{At: s, Kind: Taken, Msg: 4, Dest: 1, Until: 9 * s}, Event{At: s, Kind: Sent, Msg: 4, Call: 8, Dest: 1, Endpoint: 11},
				Event{At: s, Kind: Ended, Msg: 4, Call: 8, Dest: 1, OK: true})
			log[5] = Event{At: s, Kind: Sent, Msg: 3, Call: 0, Dest: 2, Endpoint: 21} // its slot stays free
		}
		if c := run(set2, log); c.Counts[name] == 0 {
			t.Errorf("%s: %v", name, c.Counts)
		}
	}
	// Not by those who saw nothing: it falls over, and nobody broke a rule.
	log := good()
	i := find(log, Warm, 0, 0)
	log = slices.Delete(insert(log, i, log[i-1], log[i-1]), find(log, Learned, 0, 0), find(log, Learned, 0, 0)+1)
	if c := run(config, log); len(c.Breaks) > 0 {
		t.Errorf("by strangers: %v", c.Breaks)
	}
}

// A relay that dies takes what it held along; nothing of that life counts against the next.
func TestDeath(t *testing.T) {
	log := good()[:9]
	log = append(log, Event{At: 2 * s, Kind: Died}, Event{At: 2 * s, Kind: Taken, Msg: 5, Dest: 1, Until: 9 * s},
		Event{At: 2 * s, Kind: Sent, Msg: 5, Call: 9, Dest: 1, Endpoint: 11}, Event{At: 3 * s, Kind: Ended, Msg: 5, Call: 9, Dest: 1, OK: true}, Event{At: 9 * s, Kind: Finished})
	if c := run(config, log); len(c.Breaks) > 0 {
		t.Error(c.Breaks)
	}
}
