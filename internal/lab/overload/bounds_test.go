package overload

import (
	"testing"
	"time"

	"oatfold/internal/lab/emu"
)

// partnerCase is a kind of limit that fleets meet.
type partnerCase struct {
	name                                                  string
	limit                                                 emu.LimitKind
	countsRejected, reportsLimit, sendsRetryAfter, gossip bool
	routes                                                int
}

func (p partnerCase) cell(f fleetCase) Cell {
	return Cell{Batch: f.batch, Relays: f.relays, Load: f.load, Limit: p.limit, CountsRejected: p.countsRejected, ReportsLimit: p.reportsLimit, SendsRetryAfter: p.sendsRetryAfter, Gossip: p.gossip, Routes: p.routes}
}

// fleetCase is a number of senders under a load, and what it has to deliver.
type fleetCase struct {
	batch, relays int
	calls         float64 // that each route takes, a second
	load          float64
	minGoodput    float64       // of what is due, at least
	maxRecovery   time.Duration // at most
}

const recoveryBound = 5 * time.Second

// overloadCases is the table of bounds: twice what the destination takes, at every batch and number of senders, with 0.9 of what it
// takes delivered and the fleet back within 5 s of a 10 s overload. Limits are such as TestReach has shown to be within reach
// of senders that hear nothing of one another. What plays longer than a second or two is left to the command: 30 senders with
// a batch of 50, and 300 with batches.
var overloadCases = []fleetCase{
	{1, 2, 8, 2, 0.9, recoveryBound}, {1, 6, 8, 2, 0.9, recoveryBound}, {1, 30, 16, 2, 0.9, recoveryBound}, {1, 300, 30, 2, 0.9, recoveryBound},
	{5, 2, 8, 2, 0.9, recoveryBound}, {5, 6, 8, 2, 0.9, recoveryBound}, {5, 30, 16, 2, 0.9, recoveryBound},
	{20, 2, 4, 2, 0.9, recoveryBound}, {20, 6, 8, 2, 0.9, recoveryBound}, {20, 30, 16, 2, 0.9, recoveryBound},
	{50, 2, 4, 2, 0.9, recoveryBound}, {50, 6, 8, 2, 0.9, recoveryBound},
}

// loadCases are the loads below and about the limit: all that is offered, or all that the destination takes, is due.
var loadCases = []fleetCase{
	{1, 6, 8, 0.7, 0.9, recoveryBound}, {1, 6, 8, 1, 0.9, recoveryBound}, {1, 6, 8, 1.4, 0.9, recoveryBound},
	{20, 2, 4, 0.7, 0.9, recoveryBound}, {20, 2, 4, 1, 0.9, recoveryBound}, {20, 2, 4, 1.4, 0.9, recoveryBound}, {20, 6, 8, 0.7, 0.9, recoveryBound},
}

// sampleCases is a part of the table for further kinds of partner.
var sampleCases = []fleetCase{
	{1, 2, 8, 2, 0.9, recoveryBound}, {1, 6, 8, 2, 0.9, recoveryBound}, {1, 30, 16, 2, 0.9, recoveryBound}, {5, 2, 8, 2, 0.9, recoveryBound}, {5, 6, 8, 2, 0.9, recoveryBound},
}

// checkBounds plays each fleet against a partner and names those that are out of bounds.
func checkBounds(t *testing.T, p partnerCase, fleets []fleetCase) {
	for _, f := range fleets {
		config := DefaultConfig()
		config.Limit, config.Steady, config.Recovery = f.calls*float64(p.routes), 15*time.Second, 8*time.Second
		t.Run(p.name+"/"+p.cell(f).String(), func(t *testing.T) {
			t.Parallel()
			row, err := Run(p.cell(f), config, nil)
			if err != nil {
				t.Fatal(err)
			}
			if row.Goodput < f.minGoodput {
				t.Errorf("goodput %.3f, at least %g is due: %.2f calls for each that the limit takes, %.2f of them refused, %.1f messages in each",
					row.Goodput, f.minGoodput, row.Calls/row.CallLimit, row.RejectedPerCall, row.MessagesPerCall)
			}
			if !row.Recovered || row.RecoverySeconds > f.maxRecovery.Seconds() {
				t.Errorf("recovered %t, after %.2f s of at most %v", row.Recovered, row.RecoverySeconds, f.maxRecovery)
			}
			if row.FirstProblem != "" {
				t.Error(row.FirstProblem)
			}
		})
	}
}

// Refused calls use up a rate limit: what a fleet sends above it takes away from what is delivered.
func TestCountedRateLimit(t *testing.T) {
	withRetryAfter := partnerCase{name: "wait told", limit: emu.RateLimit, countsRejected: true, sendsRetryAfter: true, routes: 1}
	checkBounds(t, withRetryAfter, overloadCases)
	checkBounds(t, withRetryAfter, loadCases)
	for _, p := range []partnerCase{
		{name: "nothing told", limit: emu.RateLimit, countsRejected: true, routes: 1},
		{name: "report", limit: emu.RateLimit, countsRejected: true, reportsLimit: true, sendsRetryAfter: true, routes: 1},
		{name: "separate routes", limit: emu.RateLimit, countsRejected: true, sendsRetryAfter: true, routes: 2},
		{name: "notes", limit: emu.RateLimit, countsRejected: true, sendsRetryAfter: true, gossip: true, routes: 1},
	} {
		checkBounds(t, p, sampleCases)
	}
}

// Refused calls are forgotten: a rate limit gives its rate to whoever asks often enough, and asking costs calls only.
func TestUncountedRateLimit(t *testing.T) {
	checkBounds(t, partnerCase{name: "wait told", limit: emu.RateLimit, sendsRetryAfter: true, routes: 1}, sampleCases)
	checkBounds(t, partnerCase{name: "nothing told", limit: emu.RateLimit, routes: 1}, sampleCases)
}

// Refused calls are forgotten with their window, and the next one gives its calls to those that come first.
func TestWindowLimit(t *testing.T) {
	checkBounds(t, partnerCase{name: "wait told", limit: emu.WindowLimit, countsRejected: true, sendsRetryAfter: true, routes: 1}, sampleCases)
	checkBounds(t, partnerCase{name: "nothing told", limit: emu.WindowLimit, countsRejected: true, routes: 1}, sampleCases)
}
