package emu_test

import (
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
	"oatfold/policy"
)

// limitedScenario returns a scenario of one destination with a limit of ten calls per second at
// twice that load.
func limitedScenario(kind emu.Kind, routes int) *emu.Scenario {
	kind.Name, kind.MaxBatch, kind.ColdStartShare, kind.WarmUpTime = "limited", max(1, kind.MaxBatch), 0.25, 9*time.Second
	scenario := &emu.Scenario{
		Name:               "limited",
		Seed:               4,
		Length:             20 * time.Second,
		Tail:               20 * time.Second,
		Tick:               5 * time.Millisecond,
		Relays:             2,
		MaxConcurrentCalls: 20,
		MaxPending:         200,
		MaxAttempts:        8,
		Rate:               20 * float64(kind.MaxBatch),
		RTT:                30 * time.Millisecond,
		ClientDelay:        time.Millisecond,
		IdleTimeout:        15 * time.Second,
		ConnectTimeout:     time.Second,
		ClientBackoff:      time.Second,
		AnswerSlack:        20 * time.Millisecond,
		MaxRetryAfter:      time.Second,
		ColdStartShare:     0.2,
		WarmUpTime:         10 * time.Second,
		OverloadFactor:     2,
		OverloadTime:       3 * time.Second,
	}
	scenario.Classes = []emu.Class{{Class: policy.Class{Name: "notice", TargetLatency: 3 * time.Second,
		Deadline: 10 * time.Second, Value: 1, LateValue: 0.5}, Share: 1, Work: 100 * time.Millisecond}}
	scenario.Kinds = []emu.Kind{kind}
	dest := emu.Dest{Share: 1, Limit: 10, Zone: "zone-1"}
	for range routes {
		dest.Endpoints = append(dest.Endpoints, emu.Endpoint{Workers: 20, Speed: 1, QueueSize: 20})
	}
	scenario.Dests = []emu.Dest{dest}
	return scenario
}

// attemptRecorder is a policy that records the results of its relay's attempts.
type attemptRecorder struct {
	emu.PolicyEngine
	ends *[]policy.AttemptEnded
}

func (r attemptRecorder) Step(now time.Duration, events []policy.Event) []policy.Action {
	for _, e := range events {
		if end, ok := e.(policy.AttemptEnded); ok {
			*r.ends = append(*r.ends, end)
		}
	}
	return r.PolicyEngine.Step(now, events)
}

// runAndRecord runs a scenario and returns the results of all attempts.
func runAndRecord(t *testing.T, scenario *emu.Scenario) (ends []policy.AttemptEnded, result *emu.Result) {
	t.Helper()
	result = run(t, scenario, emu.Options{NewPolicy: func(settings policy.Settings, seed int64) (emu.PolicyEngine, error) {
		engine, err := emu.DefaultPolicy(settings, seed)
		return attemptRecorder{engine, &ends}, err
	}})
	if !result.Passed() {
		t.Fatal(result.Breaks, result.Faults)
	}
	return ends, result
}

// Answers of a kind that reports its limit carry what is left of it, rejections included; those of
// other kinds carry no report.
func TestLimitReportsOnAnswers(t *testing.T) {
	for _, reports := range []bool{false, true} {
		ends, _ := runAndRecord(t, limitedScenario(emu.Kind{Limit: emu.RateLimit, ReportsLimit: reports}, 1))
		rejected := 0
		for _, e := range ends {
			if (e.Report != nil) != reports {
				t.Fatalf("reports %t: an attempt ended as %v with report %v", reports, e.Outcome, e.Report)
			}
			if e.Outcome == policy.Rejected {
				rejected++
				if reports && e.Report.Remaining > 0.2 {
					t.Errorf("rejected with %g of the limit left", e.Report.Remaining)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("reports %t: nothing was rejected", reports)
		}
	}
}

// A call counts once against the limit, however many messages it carries.
func TestLimitCountsCalls(t *testing.T) {
	const batch = 10
	_, result := runAndRecord(t,
		limitedScenario(emu.Kind{Limit: emu.WindowLimit, Window: time.Second, MaxBatch: batch}, 1))
	if accepted := result.Calls - result.RefusedCalls; result.Delivered < 5*accepted || accepted > 10*30 {
		t.Errorf("%d messages delivered in %d accepted calls", result.Delivered, accepted)
	}
}

// Separate routes have equal parts of the limit: lowering one does not affect the other.
func TestSeparateRoutes(t *testing.T) {
	deliveriesByRoute := func(lowered bool) (byRoute map[string]int) {
		scenario := limitedScenario(emu.Kind{Limit: emu.RateLimit, SeparateRoutes: true}, 2)
		if lowered {
			scenario.Faults = []emu.Fault{{Kind: emu.LowerLimit, At: time.Second, Duration: time.Minute, Intensity: 0.2,
				Endpoints: [][2]int{{0, 1}}}}
		}
		ends, _ := runAndRecord(t, scenario)
		byRoute = map[string]int{}
		for _, e := range ends {
			if e.Outcome == policy.Delivered {
				byRoute[e.Endpoint]++
			}
		}
		return byRoute
	}
	usual, lowered := deliveriesByRoute(false), deliveriesByRoute(true)
	if len(usual) != 2 {
		t.Fatalf("deliveries by route: %v", usual)
	}
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	if lowered[second] > usual[second]/2 || lowered[first] < usual[first]*8/10 {
		t.Errorf("deliveries by route: %v, and with the second lowered %v", usual, lowered)
	}
}

// An outage of a separate route does not affect the others.
func TestSeparateRouteOutage(t *testing.T) {
	scenario := limitedScenario(emu.Kind{Limit: emu.RateLimit, SeparateRoutes: true}, 2)
	scenario.Faults = []emu.Fault{{Kind: emu.Crash, At: 5 * time.Second, Duration: 5 * time.Second,
		Endpoints: [][2]int{{0, 0}}}}
	ends, result := runAndRecord(t, scenario)
	failed := map[string]int{}
	for _, e := range ends {
		if e.Outcome == policy.ConnectFailed || e.Outcome == policy.ConnectionLost {
			failed[e.Endpoint]++
		}
	}
	if failed["10.0.0.1:80"] == 0 || failed["10.0.0.2:80"] > 0 || result.Fallen > 0 {
		t.Errorf("calls lost by route: %v; %d overloads", failed, result.Fallen)
	}
}

// A Retry-After applies to the route that sent it: calls to that route violate the rule, calls to
// others don't.
func TestRetryAfterOfRoute(t *testing.T) {
	violations := func(route int) int {
		checker := rules.New(rules.Config{MaxConcurrentCalls: 10, MaxAttempts: 8})
		for id := range uint32(2) {
			checker.Check(rules.Event{Kind: rules.Accepted, Msg: id, Deadline: time.Minute})
		}
		checker.Check(rules.Event{At: 1, Kind: rules.Sent, Msg: 0, Call: 1, Route: 1})
		checker.Check(rules.Event{
			At:         2,
			Kind:       rules.AttemptEnded,
			Msg:        0,
			Call:       1,
			Route:      1,
			NotRun:     true,
			RetryAfter: time.Second,
		})
		checker.Check(rules.Event{At: 3, Kind: rules.Sent, Msg: 1, Call: 2, Route: route})
		return checker.Counts[rules.RetryAfter]
	}
	if same, other := violations(1), violations(2); same != 1 || other != 0 {
		t.Errorf("%d violations at the route that sent the Retry-After, %d at another", same, other)
	}
}
