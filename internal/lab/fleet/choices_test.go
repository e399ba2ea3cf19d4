package fleet

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/site"
	"oatfold/internal/testdouble"
)

// checkChoices finds a place that two relays have, an endpoint that too many share, and a subset of
// the wrong size.
func TestCheckChoices(t *testing.T) {
	problemsAfter := func(spoil func(all []*Choices)) string {
		var all []*Choices
		for n := range 6 {
			c := &Choices{Self: n, Place: n, Live: 6}
			c.Subsets = append(c.Subsets, struct {
				Destination int
				Of          int
				Endpoints   []string
			}{1, 6, []string{fmt.Sprint(n), fmt.Sprint((n + 1) % 6)}})
			all = append(all, c)
		}
		spoil(all)
		return strings.Join(checkChoices(all, map[int]int{1: 6, 2: 2}, 2), "; ")
	}
	for want, spoil := range map[string]func(all []*Choices){
		"":                          func([]*Choices) {},
		"has place 3":               func(all []*Choices) { all[4].Place = 3 },
		"of 5; 6 relays are up":     func(all []*Choices) { all[2].Live = 5 },
		"keeps 1 of 6":              func(all []*Choices) { all[0].Subsets[0].Endpoints = []string{"0"} },
		"subsets of 0 destinations": func(all []*Choices) { all[1].Subsets = nil },
		"0 to 6 relays on an endpoi": func(all []*Choices) {
			for _, c := range all {
				c.Subsets[0].Endpoints = []string{"4", "5"}
			}
		},
	} {
		if got := problemsAfter(spoil); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("%q: %q", want, got)
		}
	}
}

// Of eight relays one holds the time slot for probing an unavailable partner, and it is stopped as
// the partner recovers. The others must probe in its place and deliver while it is stopped, and no
// charge may run twice.
func TestProbingRelayStopped(t *testing.T) {
	t.Parallel()
	env, _, relays, _ := startRelaysWithChoices(t, 8, 8, "turns,signals")
	r := run{relays: relays}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.waitUntil(ctx, "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
	var clients []*client.Client // one for each relay: a client stays with a relay while it answers well
	for _, relay := range relays {
		c, err := client.New(
			client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
	}
	done := make(chan struct{})
	go func() { // some are charges, which may not run twice
		defer close(done)
		ticker := time.NewTicker(12 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; n < 6000; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			message := client.Message{Class: "price-alert", Dest: 1, Effect: client.Safe,
				TimeLeft: 5 * time.Second, Body: []byte(fmt.Sprintf("price-alert/%d\n", n))}
			if n%5 == 0 {
				message.Class, message.Effect, message.TimeLeft, message.Body = "fee-charge", client.Unsafe,
					15*time.Second, []byte(fmt.Sprintf("fee-charge/%d\n", n))
			}
			// a relay full of pending messages may reject it; the next is sent anyway
			clients[n%len(clients)].TryHandIn(ctx, message, func(client.Result, error) {})
		}
	}()
	defer func() { cancel(); <-done }()
	if err := env.WaitUntil("the first messages to be delivered",
		func() bool { return env.EffectLog.Len() > 50 }); err != nil {
		t.Fatal(err)
	}
	if err := env.Partners[1].SetMode(testdouble.RefusingConnections, 1); err != nil {
		t.Fatal(err)
	}
	holder := -1
	if err := r.waitUntil(ctx, "a relay to see the partner as down and to hold its probing slot", func() bool {
		for n := range relays {
			if choices, err := r.fetchChoices(n); err == nil {
				for _, dest := range choices.Destinations {
					if dest.Destination == 1 && dest.Down && dest.Holds && dest.Holders < len(relays) {
						holder = n
						return true
					}
				}
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	if err := relays[holder].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	deliveredBefore := env.EffectLog.Len()
	if err := env.Partners[1].SetMode(testdouble.Healthy, 1); err != nil {
		t.Fatal(err)
	}
	err := env.WaitUntil("the other relays to deliver in place of the stopped one",
		func() bool { return env.EffectLog.Len() >= deliveredBefore+100 })
	if resumeErr := relays[holder].Signal(syscall.SIGCONT); err != nil || resumeErr != nil {
		t.Fatal(err, resumeErr)
	}
	if err := env.WaitUntil("all relays to deliver",
		func() bool { return env.EffectLog.Len() >= deliveredBefore+200 }); err != nil {
		t.Fatal(err)
	}
	if twice := env.EffectLog.Duplicates("fee-charge"); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

// Twelve relays that share all choices face uneven load: one relay gets ten times the mean, one
// partner has a single endpoint, and a rate-limited partner lowers its limit to a tenth for 9 s.
// All rules hold, the relays agree in the end, and the partner rejects few calls.
func TestHotRelayAndLoweredLimit(t *testing.T) {
	t.Parallel()
	base, err := site.ReadSite("../../../lab/choices-fleet.textproto")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := base.DrawScenario(3)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Name, scenario.HotRelayFactor, scenario.Length = "busy-and-lowered", 10, 36*time.Second
	scenario.Dests[2].Endpoints = scenario.Dests[2].Endpoints[:1]
	scenario.Kinds = append(scenario.Kinds, scenario.Kinds[scenario.Dests[1].Kind])
	scenario.Dests[1].Kind, scenario.Dests[1].Limit = len(scenario.Kinds)-1, 60
	// The partner sends no Retry-After: a relay applies one to itself alone, while the partner
	// counts the calls of all relays.
	limited := &scenario.Kinds[len(scenario.Kinds)-1]
	limited.Limit, limited.MaxBatch, limited.RetryAfter = emu.RateLimit, 1, 0
	scenario.Faults = []emu.Fault{
		{Kind: emu.LowerLimit, At: 14 * time.Second, Duration: 9 * time.Second, Intensity: 0.1, Dests: []int{1}}}
	if err := Playable(scenario); err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), Config{Scenario: scenario, Seed: 3, RelayBinary: bin})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Verdict.Good() || result.Taken != result.Offered {
		t.Errorf("%+v, %d of %d accepted", result.Verdict, result.Taken, result.Offered)
	}
	if result.Refused == 0 || result.Refused > result.Offered/4 {
		t.Errorf("%d calls rejected for %d messages", result.Refused, result.Offered)
	}
}

// Twelve relays connect to three of eight endpoints each, and six endpoints of one partner fail for
// a while, so that whole subsets are down. Calls must go beyond the subsets, and all relays share
// endpoints evenly in the end.
func TestSubsetDown(t *testing.T) {
	t.Parallel()
	base, err := site.ReadSite("../../../lab/choices-fleet.textproto")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := base.DrawScenario(4)
	if err != nil {
		t.Fatal(err)
	}
	down := emu.Fault{Kind: emu.Crash, At: 14 * time.Second, Duration: 16 * time.Second}
	for e := range 6 {
		down.Endpoints = append(down.Endpoints, [2]int{0, e})
	}
	scenario.Name, scenario.Length, scenario.Faults = "subset-down", 32*time.Second, []emu.Fault{down}
	if err := Playable(scenario); err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), Config{Scenario: scenario, Seed: 4, RelayBinary: bin})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Verdict.Good() || result.Taken != result.Offered || result.Ran < result.Taken*19/20 {
		t.Errorf("%+v, %d of %d accepted, %d ran", result.Verdict, result.Taken, result.Offered, result.Ran)
	}
	scenario.Faults[0].Kind = emu.RejectAll
	if Playable(scenario) == nil {
		t.Error("no error for single endpoints that reject all calls, which processes can't play")
	}
}
