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
func TestJudgeChoices(t *testing.T) {
	made := func(spoil func(all []*Choices)) string {
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
		if got := made(spoil); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("%q: %q", want, got)
		}
	}
}

// Of eight relays one holds the time slot for probing an unavailable partner, and it is stopped as
// the partner recovers. The others must probe in its place and deliver while it is stopped, and no
// charge may run twice.
func TestHolderStopped(t *testing.T) {
	t.Parallel()
	w, _, relays, _ := seated(t, 8, 8, "turns,signals")
	r := run{relays: relays}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.waitUntil(ctx, "all relays to know one another", r.membersAgree); err != nil {
		t.Fatalf("%v: %s", err, r.memberDisagreement())
	}
	var to []*client.Client // one for each relay: a client stays with a relay while it answers well
	for _, relay := range relays {
		c, err := client.New(client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		to = append(to, c)
	}
	done := make(chan struct{})
	go func() { // some are charges, which may not run twice
		defer close(done)
		turn := time.NewTicker(12 * time.Millisecond)
		defer turn.Stop()
		for n := 0; n < 6000; n++ {
			select {
			case <-ctx.Done():
				return
			case <-turn.C:
			}
			m := client.Message{Class: "price-alert", Dest: 1, Effect: client.Safe, TimeLeft: 5 * time.Second, Body: []byte(fmt.Sprintf("price-alert/%d\n", n))}
			if n%5 == 0 {
				m.Class, m.Effect, m.TimeLeft, m.Body = "fee-charge", client.Unsafe, 15*time.Second, []byte(fmt.Sprintf("fee-charge/%d\n", n))
			}
			to[n%len(to)].TryHandIn(ctx, m, func(client.Result, error) {}) // a relay full of pending messages may reject it; the next is sent anyway
		}
	}()
	defer func() { cancel(); <-done }()
	if err := w.WaitUntil("the first messages to be delivered", func() bool { return w.EffectLog.Len() > 50 }); err != nil {
		t.Fatal(err)
	}
	if err := w.Partners[1].SetMode(testdouble.RefusingConnections, 1); err != nil {
		t.Fatal(err)
	}
	holder := -1
	if err := r.waitUntil(ctx, "a relay to see the partner as down and to hold its probing slot", func() bool {
		for n := range relays {
			if v, err := r.fetchChoices(n); err == nil {
				for _, d := range v.Destinations {
					if d.Destination == 1 && d.Down && d.Holds && d.Holders < len(relays) {
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
	was := w.EffectLog.Len()
	if err := w.Partners[1].SetMode(testdouble.Healthy, 1); err != nil {
		t.Fatal(err)
	}
	err := w.WaitUntil("the other relays to deliver in place of the stopped one", func() bool { return w.EffectLog.Len() >= was+100 })
	if cerr := relays[holder].Signal(syscall.SIGCONT); err != nil || cerr != nil {
		t.Fatal(err, cerr)
	}
	if err := w.WaitUntil("all relays to deliver", func() bool { return w.EffectLog.Len() >= was+200 }); err != nil {
		t.Fatal(err)
	}
	if twice := w.EffectLog.Duplicates("fee-charge"); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

// Twelve relays that share all choices face uneven load: one relay gets ten times the mean, one
// partner has a single endpoint, and a rate-limited partner lowers its limit to a tenth for 9 s.
// All rules hold, the relays agree in the end, and the partner rejects few calls.
func TestBusyAndLowered(t *testing.T) {
	t.Parallel()
	base, err := site.ReadSite("../../../lab/choices-fleet.textproto")
	if err != nil {
		t.Fatal(err)
	}
	d, err := base.DrawScenario(3)
	if err != nil {
		t.Fatal(err)
	}
	d.Name, d.HotRelayFactor, d.Length = "busy-and-lowered", 10, 36*time.Second
	d.Dests[2].Endpoints = d.Dests[2].Endpoints[:1]
	d.Kinds = append(d.Kinds, d.Kinds[d.Dests[1].Kind])
	d.Dests[1].Kind, d.Dests[1].Limit = len(d.Kinds)-1, 60
	// The partner sends no Retry-After: a relay applies one to itself alone, while the partner
	// counts the calls of all relays.
	limited := &d.Kinds[len(d.Kinds)-1]
	limited.Limit, limited.MaxBatch, limited.RetryAfter = emu.RateLimit, 1, 0
	d.Faults = []emu.Fault{{Kind: emu.LowerLimit, At: 14 * time.Second, Duration: 9 * time.Second, Intensity: 0.1, Dests: []int{1}}}
	if err := Playable(d); err != nil {
		t.Fatal(err)
	}
	res, err := Run(context.Background(), Config{Scenario: d, Seed: 3, RelayBinary: bin})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Verdict.Good() || res.Taken != res.Offered {
		t.Errorf("%+v, %d of %d accepted", res.Verdict, res.Taken, res.Offered)
	}
	if res.Refused == 0 || res.Refused > res.Offered/4 {
		t.Errorf("%d calls rejected for %d messages", res.Refused, res.Offered)
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
	d, err := base.DrawScenario(4)
	if err != nil {
		t.Fatal(err)
	}
	down := emu.Fault{Kind: emu.Crash, At: 14 * time.Second, Duration: 16 * time.Second}
	for e := range 6 {
		down.Endpoints = append(down.Endpoints, [2]int{0, e})
	}
	d.Name, d.Length, d.Faults = "subset-down", 32*time.Second, []emu.Fault{down}
	if err := Playable(d); err != nil {
		t.Fatal(err)
	}
	res, err := Run(context.Background(), Config{Scenario: d, Seed: 4, RelayBinary: bin})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Verdict.Good() || res.Taken != res.Offered || res.Ran < res.Taken*19/20 {
		t.Errorf("%+v, %d of %d accepted, %d ran", res.Verdict, res.Taken, res.Offered, res.Ran)
	}
	d.Faults[0].Kind = emu.RejectAll
	if Playable(d) == nil {
		t.Error("no error for single endpoints that reject all calls, which processes can't play")
	}
}
