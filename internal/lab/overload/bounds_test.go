package overload

import (
	"testing"
	"time"

	"oatfold/internal/lab/emu"
)

// partner is a kind of limit that fleets meet.
type partner struct {
	name                         string
	limit                        emu.LimitKind
	counted, reports, told, note bool
	routes                       int
}

func (p partner) cell(f fleet) Cell {
	return Cell{Batch: f.batch, Relays: f.senders, Load: f.load, Limit: p.limit, CountsRejected: p.counted, ReportsLimit: p.reports, SendsRetryAfter: p.told, Gossip: p.note, Routes: p.routes}
}

// fleet is a number of senders under a load, and what it has to deliver.
type fleet struct {
	batch, senders int
	calls          float64 // that each route takes, a second
	load           float64
	goodput        float64       // of what is due, at least
	recovery       time.Duration // at most
}

const inTime = 5 * time.Second

// overloaded is the table of bounds: twice what the destination takes, at every batch and number of senders, with 0.9 of what it
// takes delivered and the fleet back within 5 s of a 10 s overload. Limits are such as TestReach has shown to be within reach
// of senders that hear nothing of one another. What plays longer than a second or two is left to the command: 30 senders with
// a batch of 50, and 300 with batches.
var overloaded = []fleet{
	{1, 2, 8, 2, 0.9, inTime}, {1, 6, 8, 2, 0.9, inTime}, {1, 30, 16, 2, 0.9, inTime}, {1, 300, 30, 2, 0.9, inTime},
	{5, 2, 8, 2, 0.9, inTime}, {5, 6, 8, 2, 0.9, inTime}, {5, 30, 16, 2, 0.9, inTime},
	{20, 2, 4, 2, 0.9, inTime}, {20, 6, 8, 2, 0.9, inTime}, {20, 30, 16, 2, 0.9, inTime},
	{50, 2, 4, 2, 0.9, inTime}, {50, 6, 8, 2, 0.9, inTime},
}

// loaded are the loads below and about the limit: all that is offered, or all that the destination takes, is due.
var loaded = []fleet{
	{1, 6, 8, 0.7, 0.9, inTime}, {1, 6, 8, 1, 0.9, inTime}, {1, 6, 8, 1.4, 0.9, inTime},
	{20, 2, 4, 0.7, 0.9, inTime}, {20, 2, 4, 1, 0.9, inTime}, {20, 2, 4, 1.4, 0.9, inTime}, {20, 6, 8, 0.7, 0.9, inTime},
}

// sample is a part of the table for further kinds of partner.
var sample = []fleet{
	{1, 2, 8, 2, 0.9, inTime}, {1, 6, 8, 2, 0.9, inTime}, {1, 30, 16, 2, 0.9, inTime}, {5, 2, 8, 2, 0.9, inTime}, {5, 6, 8, 2, 0.9, inTime},
}

// holds plays each fleet against a partner and names those that are out of bounds.
func holds(t *testing.T, p partner, fleets []fleet) {
	for _, f := range fleets {
		set := DefaultConfig()
		set.Limit, set.Steady, set.Recovery = f.calls*float64(p.routes), 15*time.Second, 8*time.Second
		t.Run(p.name+"/"+p.cell(f).String(), func(t *testing.T) {
			t.Parallel()
			row, err := Run(p.cell(f), set, nil)
			if err != nil {
				t.Fatal(err)
			}
			if row.Goodput < f.goodput {
				t.Errorf("goodput %.3f, at least %g is due: %.2f calls for each that the limit takes, %.2f of them refused, %.1f messages in each",
					row.Goodput, f.goodput, row.Calls/row.CallLimit, row.RejectedPerCall, row.MessagesPerCall)
			}
			if !row.Recovered || row.RecoverySeconds > f.recovery.Seconds() {
				t.Errorf("recovered %t, after %.2f s of at most %v", row.Recovered, row.RecoverySeconds, f.recovery)
			}
			if row.FirstProblem != "" {
				t.Error(row.FirstProblem)
			}
		})
	}
}

// Refused calls use up a rate limit: what a fleet sends above it takes away from what is delivered.
func TestCountedRateLimit(t *testing.T) {
	told := partner{name: "wait told", limit: emu.RateLimit, counted: true, told: true, routes: 1}
	holds(t, told, overloaded)
	holds(t, told, loaded)
	for _, p := range []partner{
		{name: "nothing told", limit: emu.RateLimit, counted: true, routes: 1},
		{name: "report", limit: emu.RateLimit, counted: true, reports: true, told: true, routes: 1},
		{name: "separate routes", limit: emu.RateLimit, counted: true, told: true, routes: 2},
		{name: "notes", limit: emu.RateLimit, counted: true, told: true, note: true, routes: 1},
	} {
		holds(t, p, sample)
	}
}

// Refused calls are forgotten: a rate limit gives its rate to whoever asks often enough, and asking costs calls only.
func TestUncountedRateLimit(t *testing.T) {
	holds(t, partner{name: "wait told", limit: emu.RateLimit, told: true, routes: 1}, sample)
	holds(t, partner{name: "nothing told", limit: emu.RateLimit, routes: 1}, sample)
}

// Refused calls are forgotten with their window, and the next one gives its calls to those that come first.
func TestWindowLimit(t *testing.T) {
	holds(t, partner{name: "wait told", limit: emu.WindowLimit, counted: true, told: true, routes: 1}, sample)
	holds(t, partner{name: "nothing told", limit: emu.WindowLimit, counted: true, routes: 1}, sample)
}
