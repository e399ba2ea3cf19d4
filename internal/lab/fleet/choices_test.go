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

// The judge finds a place that two have, an endpoint that too many share, and a subset of the wrong size.
func TestJudgeChoices(t *testing.T) {
	made := func(spoil func(all []*Chosen)) string {
		var all []*Chosen
		for n := range 6 {
			c := &Chosen{Self: n, Place: n, Live: 6}
			c.Subsets = append(c.Subsets, struct {
				Destination int
				Of          int
				Endpoints   []string
			}{1, 6, []string{fmt.Sprint(n), fmt.Sprint((n + 1) % 6)}})
			all = append(all, c)
		}
		spoil(all)
		return strings.Join(judgeChoices(all, map[int]int{1: 6, 2: 2}, 2), "; ")
	}
	for want, spoil := range map[string]func(all []*Chosen){
		"":                          func([]*Chosen) {},
		"has place 3":               func(all []*Chosen) { all[4].Place = 3 },
		"of 5; 6 relays are up":     func(all []*Chosen) { all[2].Live = 5 },
		"keeps 1 of 6":              func(all []*Chosen) { all[0].Subsets[0].Endpoints = []string{"0"} },
		"subsets of 0 destinations": func(all []*Chosen) { all[1].Subsets = nil },
		"0 to 6 relays on an endpoi": func(all []*Chosen) {
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

// Eight processes, a partner that is gone, and a relay that holds the turn to try it: it is stopped as the partner returns. The others try in its place, deliver while it
// still stands, and nothing runs twice.
func TestHolderStopped(t *testing.T) {
	t.Parallel()
	w, _, relays, _ := seated(t, 8, 8, "turns,signals")
	r := run{relays: relays}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.until(ctx, "all to know one another", r.agreed); err != nil {
		t.Fatalf("%v: %s", err, r.disagreement())
	}
	var to []*client.Client // one for each relay: a client keeps to one while it does well
	for _, relay := range relays {
		c, err := client.New(client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		to = append(to, c)
	}
	done := make(chan struct{})
	go func() { // charges among them: none may run twice
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
			to[n%len(to)].TryHandIn(ctx, m, func(client.Result, error) {}) // it may be full of what waits: the next is tried all the same
		}
	}()
	defer func() { cancel(); <-done }()
	if err := w.WaitUntil("the first to be delivered", func() bool { return w.EffectLog.Len() > 50 }); err != nil {
		t.Fatal(err)
	}
	if err := w.Partners[1].SetMode(testdouble.RefusingConnections, 1); err != nil {
		t.Fatal(err)
	}
	holder := -1
	if err := r.until(ctx, "a relay to know that nobody gets through, and to hold the turn", func() bool {
		for n := range relays {
			if v, err := r.chosen(n); err == nil {
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
	err := w.WaitUntil("the others to deliver in the place of the stopped one", func() bool { return w.EffectLog.Len() >= was+100 })
	if cerr := relays[holder].Signal(syscall.SIGCONT); err != nil || cerr != nil {
		t.Fatal(err, cerr)
	}
	if err := w.WaitUntil("all to deliver", func() bool { return w.EffectLog.Len() >= was+200 }); err != nil {
		t.Fatal(err)
	}
	if twice := w.EffectLog.Duplicates("fee-charge"); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

// With twelve processes that share all choices: one relay's clients hand in ten times the mean, one partner has a single endpoint, and one that limits calls takes a tenth for 9 s and all again. All
// rules are kept, all agree and share endpoints alike in the end, and what the limited partner turns away stays a small part.
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
	// It tells no wait: one that is told to a relay for its limit binds that relay alone, and the partner counts calls of all.
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
		t.Errorf("%+v, %d of %d taken on", res.Verdict, res.Taken, res.Offered)
	}
	if res.Refused == 0 || res.Refused > res.Offered/4 {
		t.Errorf("%d calls turned away of %d messages", res.Refused, res.Offered)
	}
}

// With twelve processes that keep connections to three of eight endpoints: six endpoints of one partner are gone for a while, and so are whole subsets. Calls go beyond them, nothing waits for
// the subset to return, and all share endpoints alike in the end.
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
		t.Errorf("%+v, %d of %d taken on, %d ran", res.Verdict, res.Taken, res.Offered, res.Ran)
	}
	d.Faults[0].Kind = emu.RejectAll
	if Playable(d) == nil {
		t.Error("single endpoints that are shut are played by nobody, and that is not said")
	}
}
