package emu_test

import (
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
	"oatfold/policy"
)

// limitedDay is a day of one destination with a limit of ten calls a second, which is asked for twice as many.
func limitedDay(kind emu.Kind, routes int) *emu.Scenario {
	kind.Name, kind.MaxBatch, kind.ColdStartShare, kind.WarmUpTime = "limited", max(1, kind.MaxBatch), 0.25, 9*time.Second
	day := &emu.Scenario{Name: "limited", Seed: 4, Length: 20 * time.Second, Tail: 20 * time.Second, Tick: 5 * time.Millisecond, Relays: 2, MaxConcurrentCalls: 20, MaxPending: 200, MaxAttempts: 8,
		Rate: 20 * float64(kind.MaxBatch), RTT: 30 * time.Millisecond, ClientDelay: time.Millisecond, IdleTimeout: 15 * time.Second, ConnectTimeout: time.Second, ClientBackoff: time.Second,
		AnswerSlack: 20 * time.Millisecond, MaxRetryAfter: time.Second, ColdStartShare: 0.2, WarmUpTime: 10 * time.Second, OverloadFactor: 2, OverloadTime: 3 * time.Second}
	day.Classes = []emu.Class{{Class: policy.Class{Name: "notice", TargetLatency: 3 * time.Second, Deadline: 10 * time.Second, Value: 1, LateValue: 0.5}, Share: 1, Work: 100 * time.Millisecond}}
	day.Kinds = []emu.Kind{kind}
	dest := emu.Dest{Share: 1, Limit: 10, Zone: "zone-1"}
	for range routes {
		dest.Endpoints = append(dest.Endpoints, emu.Endpoint{Workers: 20, Speed: 1, QueueSize: 20})
	}
	day.Dests = []emu.Dest{dest}
	return day
}

// heard is a module that keeps a record of what its relay hears of its attempts.
type heard struct {
	emu.PolicyEngine
	ends *[]policy.AttemptEnded
}

func (h heard) Step(now time.Duration, events []policy.Event) []policy.Action {
	for _, e := range events {
		if end, ok := e.(policy.AttemptEnded); ok {
			*h.ends = append(*h.ends, end)
		}
	}
	return h.PolicyEngine.Step(now, events)
}

// endsOf plays a day and returns the ends of all attempts.
func endsOf(t *testing.T, day *emu.Scenario) (ends []policy.AttemptEnded, res *emu.Result) {
	t.Helper()
	res = play(t, day, emu.Options{NewPolicy: func(set policy.Settings, seed int64) (emu.PolicyEngine, error) {
		m, err := emu.DefaultPolicy(set, seed)
		return heard{m, &ends}, err
	}})
	if !res.Passed() {
		t.Fatal(res.Breaks, res.Faults)
	}
	return ends, res
}

// Answers of a kind that reports carry what is left of the limit, refusals among them; those of other kinds carry nothing.
func TestReports(t *testing.T) {
	for _, reports := range []bool{false, true} {
		ends, _ := endsOf(t, limitedDay(emu.Kind{Limit: emu.RateLimit, ReportsLimit: reports}, 1))
		refused := 0
		for _, e := range ends {
			if (e.Report != nil) != reports {
				t.Fatalf("reports %t: an attempt ended as %v with report %v", reports, e.Outcome, e.Report)
			}
			if e.Outcome == policy.Rejected {
				refused++
				if reports && e.Report.Remaining > 0.2 {
					t.Errorf("refused with %g of the limit left", e.Report.Remaining)
				}
			}
		}
		if refused == 0 {
			t.Errorf("reports %t: nothing was refused", reports)
		}
	}
}

// A call is counted once, whatever its batch: the destination takes its limit in calls, times the messages of each.
func TestLimitCountsCalls(t *testing.T) {
	const batch = 10
	_, res := endsOf(t, limitedDay(emu.Kind{Limit: emu.WindowLimit, Window: time.Second, MaxBatch: batch}, 1))
	if taken := res.Calls - res.RefusedCalls; res.Delivered < 5*taken || taken > 10*30 {
		t.Errorf("%d messages in %d calls that were taken", res.Delivered, taken)
	}
}

// Separate routes have an even part of the limit each: one that is lowered leaves the other as it was.
func TestSeparateRoutes(t *testing.T) {
	taken := func(lowered bool) (per map[string]int) {
		day := limitedDay(emu.Kind{Limit: emu.RateLimit, SeparateRoutes: true}, 2)
		if lowered {
			day.Faults = []emu.Fault{{Kind: emu.LowerLimit, At: time.Second, Duration: time.Minute, Intensity: 0.2, Endpoints: [][2]int{{0, 1}}}}
		}
		ends, _ := endsOf(t, day)
		per = map[string]int{}
		for _, e := range ends {
			if e.Outcome == policy.Delivered {
				per[e.Endpoint]++
			}
		}
		return per
	}
	usual, less := taken(false), taken(true)
	if len(usual) != 2 {
		t.Fatalf("deliveries by route: %v", usual)
	}
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	if less[second] > usual[second]/2 || less[first] < usual[first]*8/10 {
		t.Errorf("deliveries by route: %v, and with the second lowered %v", usual, less)
	}
}

// A separate route that is shut comes back cold by itself; the others go on.
func TestSeparateRouteOutage(t *testing.T) {
	day := limitedDay(emu.Kind{Limit: emu.RateLimit, SeparateRoutes: true}, 2)
	day.Faults = []emu.Fault{{Kind: emu.Crash, At: 5 * time.Second, Duration: 5 * time.Second, Endpoints: [][2]int{{0, 0}}}}
	ends, res := endsOf(t, day)
	failed := map[string]int{}
	for _, e := range ends {
		if e.Outcome == policy.ConnectFailed || e.Outcome == policy.ConnectionLost {
			failed[e.Endpoint]++
		}
	}
	if failed["10.0.0.1:80"] == 0 || failed["10.0.0.2:80"] > 0 || res.Fallen > 0 {
		t.Errorf("calls lost by route: %v; %d fell over", failed, res.Fallen)
	}
}

// A told wait is about the route that told it: the checker breaks nothing while others are sent to, and does where that one is.
func TestWaitOfRoute(t *testing.T) {
	log := func(route int) int {
		c := rules.New(rules.Config{MaxConcurrentCalls: 10, MaxAttempts: 8})
		for id := range uint32(2) {
			c.Check(rules.Event{Kind: rules.Accepted, Msg: id, Deadline: time.Minute})
		}
		c.Check(rules.Event{At: 1, Kind: rules.Sent, Msg: 0, Call: 1, Route: 1})
		c.Check(rules.Event{At: 2, Kind: rules.AttemptEnded, Msg: 0, Call: 1, Route: 1, NotRun: true, RetryAfter: time.Second})
		c.Check(rules.Event{At: 3, Kind: rules.Sent, Msg: 1, Call: 2, Route: route})
		return c.Counts[rules.RetryAfter]
	}
	if same, other := log(1), log(2); same != 1 || other != 0 {
		t.Errorf("%d breaks at the route that told the wait, %d at another", same, other)
	}
}
