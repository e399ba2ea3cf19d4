package rules

import (
	"slices"
	"testing"
	"time"
)

const s = time.Second

var config = Config{
	AnswerSlack:        20 * time.Millisecond,
	DrainGrace:         s,
	OverloadFactor:     2,
	OverloadTime:       3 * s,
	MaxConcurrentCalls: 4,
	MaxAttempts:        3,
}

// validLog returns a log that exercises every rule and violates none.
func validLog() []Event {
	log := []Event{
		{Kind: Accepted, Msg: 1, Dest: 1, Effect: Unsafe, Deadline: 20 * s},
		{Kind: Accepted, Msg: 2, Dest: 1, Effect: Keyed, RepeatWindow: 5 * s, Deadline: 20 * s},
		{Kind: Accepted, Msg: 3, Dest: 2, Effect: Safe, Deadline: 6 * s},
		{At: 1 * s, Kind: Sent, Msg: 1, Call: 1, Dest: 1, Endpoint: 11},
		{At: 1 * s, Kind: Sent, Msg: 2, Call: 2, Dest: 1, Endpoint: 11},
		{At: 1 * s, Kind: Sent, Msg: 3, Call: 3, Dest: 2, Endpoint: 21},
		{At: 2 * s, Kind: AttemptEnded, Msg: 1, Call: 1, Dest: 1, NotRun: true, RetryAfter: 500 * time.Millisecond},
		{At: 2 * s, Kind: AttemptEnded, Msg: 2, Call: 2, Dest: 1},
		{At: 2 * s, Kind: AttemptEnded, Msg: 3, Call: 3, Dest: 2, NotRun: true},
		{At: 2 * s, Kind: EndpointLeaving, Endpoint: 11},
		{At: 2600 * time.Millisecond, Kind: Sent, Msg: 1, Attempt: 1, Call: 4, Dest: 1, Endpoint: 11},
		{At: 2600 * time.Millisecond, Kind: Sent, Msg: 2, Attempt: 1, Call: 5, Dest: 1, Endpoint: 12},
		{At: 3 * s, Kind: AttemptEnded, Msg: 1, Attempt: 1, Call: 4, Dest: 1, Delivered: true},
		{At: 3 * s, Kind: AttemptEnded, Msg: 2, Attempt: 1, Call: 5, Dest: 1, Delivered: true},
		{At: 3 * s, Kind: Returned, Msg: 3},
		{At: 4 * s, Kind: DestRecovered, Dest: 2},
		{At: 4 * s, Kind: FailureSeen, Dest: 2},
	}
	for i := range 11 { // 11 within 3 s at a capacity of 1.5 per second: the limit is 9, plus a slack of 3
		log = append(log, Event{At: 4*s + time.Duration(i)*100*time.Millisecond, Kind: WorkArrived, Dest: 2, Weight: 1,
			Capacity: 1.5})
	}
	return append(log, Event{At: 8 * s, Kind: DestWarm, Dest: 2}, Event{At: 9 * s, Kind: LogEnded})
}

func check(config Config, log []Event) *Checker {
	c := New(config)
	for _, e := range log {
		c.Check(e)
	}
	return c
}

// Each mutation of the valid log violates the rule that it is listed with, and only that one.
func TestMutations(t *testing.T) {
	if c := check(config, validLog()); len(c.Violations) > 0 || c.PendingCount() != 0 {
		t.Fatalf("the valid log: %v", c.Violations)
	}
	find := func(log []Event, k Kind, msg uint32, n int) int {
		for i, e := range log {
			if e.Kind == k && e.Msg == msg {
				if n--; n < 0 {
					return i
				}
			}
		}
		t.Fatalf("no such event: %v %v", k, msg)
		return 0
	}
	insert := func(log []Event, before int, e ...Event) []Event { return slices.Insert(log, before, e...) }
	for name, mutation := range map[string]struct {
		rule   Name
		mutate func([]Event) []Event
	}{
		"no final answer": {Answer, func(l []Event) []Event {
			i := find(l, Returned, 3, 0)
			return slices.Delete(l, i, i+1)
		}},
		"final answer too late": {Answer, func(l []Event) []Event {
			l[find(l, Accepted, 3, 0)].Deadline = 2 * s
			return l
		}},
		"two final answers": {Answer, func(l []Event) []Event {
			i := find(l, Returned, 3, 0)
			return insert(l, i, l[i])
		}},
		"final answer to an unknown message": {Answer, func(l []Event) []Event {
			l[find(l, Returned, 3, 0)].Msg = 9
			return l[:len(l)-1]
		}},
		"sent after the final answer": {Answer, func(l []Event) []Event {
			i := find(l, Sent, 1, 1)
			return insert(l, i, Event{At: l[i].At, Kind: Failed, Msg: 1})
		}},
		"accepted twice": {Answer, func(l []Event) []Event { return insert(l, 1, l[0]) }},
		"ended twice":    {Answer, func(l []Event) []Event { i := find(l, AttemptEnded, 3, 0); return insert(l, i, l[i]) }},
		"back in time":   {Answer, func(l []Event) []Event { l[find(l, Returned, 3, 0)].At = s; return l }},
		"two attempts in flight": {Repeat, func(l []Event) []Event {
			i := find(l, AttemptEnded, 3, 0)
			e := l[find(l, Sent, 3, 0)]
			e.Attempt, e.At, e.Call = 1, 2*s, 9
			o := l[i]
			o.Attempt, o.Call = 1, 9
			return insert(l, i, e, o)
		}},
		"unsafe message sent again": {Repeat, func(l []Event) []Event {
			l[find(l, AttemptEnded, 1, 0)].NotRun = false
			return l
		}},
		"unsafe message returned": {Repeat, func(l []Event) []Event {
			i := find(l, AttemptEnded, 1, 1)
			l[i].Delivered = false
			return insert(l, i+1, Event{At: 3 * s, Kind: Returned, Msg: 1})
		}},
		"unsafe message returned in flight": {Repeat, func(l []Event) []Event {
			i := find(l, AttemptEnded, 1, 1)
			return insert(l, i, Event{At: 3 * s, Kind: Returned, Msg: 1})
		}},
		"repeated after its window": {Repeat, func(l []Event) []Event {
			l[find(l, Accepted, 2, 0)].RepeatWindow = s
			return l
		}},
		"sent to a drained endpoint": {Drain, func(l []Event) []Event {
			l[find(l, EndpointLeaving, 0, 0)].At = 0
			i := find(l, EndpointLeaving, 0, 0)
			e := l[i]
			return insert(slices.Delete(l, i, i+1), 3, e)
		}},
		"sent during Retry-After": {RetryAfter, func(l []Event) []Event {
			l[find(l, AttemptEnded, 1, 0)].RetryAfter = s
			return l
		}},
		"wrong destination": {Bounds, func(l []Event) []Event { l[find(l, Sent, 3, 0)].Dest = 1; return l }},
		"recovering destination overloaded": {RecoveryOverload, func(l []Event) []Event {
			i := find(l, DestWarm, 0, 0)
			e := l[i-1]
			return insert(l, i, e, e)
		}},
	} {
		checker := check(config, mutation.mutate(validLog()))
		if checker.Counts[mutation.rule] == 0 || len(checker.Counts) != 1 {
			t.Errorf("%s: %v, want only %s: %v", name, checker.Counts, mutation.rule, checker.Violations)
		}
	}
	// Rules with a limit in the configuration.
	for name, change := range map[Name]func(*Config){Bounds: func(c *Config) { c.MaxAttempts = 1 },
		ConcurrencyShare: func(c *Config) { c.MaxConcurrentCalls = 3; c.MaxAttempts = 9 }} {
		changed := config
		change(&changed)
		log := validLog()
		if name == ConcurrencyShare { // a third call to destination 1, with three allowed in total
			log = insert(log, 6, Event{At: s, Kind: Accepted, Msg: 4, Dest: 1, Deadline: 9 * s},
				Event{At: s, Kind: Sent, Msg: 4, Call: 8, Dest: 1, Endpoint: 11},
				Event{At: s, Kind: AttemptEnded, Msg: 4, Call: 8, Dest: 1, Delivered: true})
			log[5] = Event{At: s, Kind: Sent, Msg: 3, Call: 0, Dest: 2, Endpoint: 21} // makes no call
		}
		if c := check(changed, log); c.Counts[name] == 0 {
			t.Errorf("%s: %v", name, c.Counts)
		}
	}
	// An overload by relays that did not see the failure violates no rule.
	log := validLog()
	i := find(log, DestWarm, 0, 0)
	log = slices.Delete(insert(log, i, log[i-1], log[i-1]), find(log, FailureSeen, 0, 0), find(log, FailureSeen, 0, 0)+1)
	if c := check(config, log); len(c.Violations) > 0 {
		t.Errorf("by relays without knowledge of the failure: %v", c.Violations)
	}
}

// The state of a relay that dies does not count against its next incarnation.
func TestRelayDied(t *testing.T) {
	log := validLog()[:9]
	log = append(
		log,
		Event{At: 2 * s, Kind: RelayDied},
		Event{At: 2 * s, Kind: Accepted, Msg: 5, Dest: 1, Deadline: 9 * s},
		Event{At: 2 * s, Kind: Sent, Msg: 5, Call: 9, Dest: 1, Endpoint: 11},
		Event{At: 3 * s, Kind: AttemptEnded, Msg: 5, Call: 9, Dest: 1, Delivered: true},
		Event{At: 9 * s, Kind: LogEnded},
	)
	if c := check(config, log); len(c.Violations) > 0 {
		t.Error(c.Violations)
	}
}
