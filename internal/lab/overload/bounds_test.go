package overload

import (
	"testing"
	"time"

	"oatfold/internal/lab/emu"
)

// partnerCase is a kind of limit that fleets are tested against.
type partnerCase struct {
	name                                                  string
	limit                                                 emu.LimitKind
	countsRejected, reportsLimit, sendsRetryAfter, gossip bool
	routes                                                int
}

func (p partnerCase) cell(f fleetCase) Cell {
	return Cell{Batch: f.batch, Relays: f.relays, Load: f.load, Limit: p.limit, CountsRejected: p.countsRejected,
		ReportsLimit: p.reportsLimit, SendsRetryAfter: p.sendsRetryAfter, Gossip: p.gossip, Routes: p.routes}
}

// fleetCase is a number of relays under a load, and what they have to deliver.
type fleetCase struct {
	batch, relays int
	calls         float64 // per second, accepted by each route
	load          float64
	minGoodput    float64 // share of the deliverable messages
	maxRecovery   time.Duration
}

const recoveryBound = 5 * time.Second

// overloadCases offer twice the capacity of the destination for each batch and number of relays. At
// least 0.9 of the capacity must be delivered, and the fleet must recover within 5 s of a 10 s
// overload. Limits are within reach of relays that exchange no gossip; see
// TestUncoordinatedRelaysMeetBounds. Slower cells (30 relays with a batch of 50, and 300 relays
// with batches) are left to the command.
var overloadCases = []fleetCase{
	{1, 2, 8, 2, 0.9, recoveryBound}, {1, 6, 8, 2, 0.9, recoveryBound}, {1, 30, 16, 2, 0.9, recoveryBound},
	{1, 300, 30, 2, 0.9, recoveryBound},
	{5, 2, 8, 2, 0.9, recoveryBound}, {5, 6, 8, 2, 0.9, recoveryBound}, {5, 30, 16, 2, 0.9, recoveryBound},
	{20, 2, 4, 2, 0.9, recoveryBound}, {20, 6, 8, 2, 0.9, recoveryBound}, {20, 30, 16, 2, 0.9, recoveryBound},
	{50, 2, 4, 2, 0.9, recoveryBound}, {50, 6, 8, 2, 0.9, recoveryBound},
}

// loadCases offer loads below and around the limit.
var loadCases = []fleetCase{
	{1, 6, 8, 0.7, 0.9, recoveryBound}, {1, 6, 8, 1, 0.9, recoveryBound}, {1, 6, 8, 1.4, 0.9, recoveryBound},
	{20, 2, 4, 0.7, 0.9, recoveryBound}, {20, 2, 4, 1, 0.9, recoveryBound}, {20, 2, 4, 1.4, 0.9, recoveryBound},
	{20, 6, 8, 0.7, 0.9, recoveryBound},
}

// sampleCases is a shorter table for further kinds of partner.
var sampleCases = []fleetCase{
	{1, 2, 8, 2, 0.9, recoveryBound}, {1, 6, 8, 2, 0.9, recoveryBound}, {1, 30, 16, 2, 0.9, recoveryBound},
	{5, 2, 8, 2, 0.9, recoveryBound}, {5, 6, 8, 2, 0.9, recoveryBound},
}

// checkBounds runs each fleet against a partner and reports those that are out of bounds.
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
				t.Errorf("goodput %.3f, want at least %g: %.2f calls per call allowed by the limit, %.2f of them rejected, %.1f messages per call",
					row.Goodput, f.minGoodput, row.Calls/row.CallLimit, row.RejectedPerCall, row.MessagesPerCall)
			}
			if !row.Recovered || row.RecoverySeconds > f.maxRecovery.Seconds() {
				t.Errorf("recovered %t after %.2f s, want at most %v", row.Recovered, row.RecoverySeconds,
					f.maxRecovery)
			}
			if row.FirstProblem != "" {
				t.Error(row.FirstProblem)
			}
		})
	}
}

// Rejected calls use up a rate limit, so what a fleet sends above it reduces what is delivered.
func TestCountedRateLimit(t *testing.T) {
	withRetryAfter := partnerCase{name: "wait told", limit: emu.RateLimit, countsRejected: true,
		sendsRetryAfter: true, routes: 1}
	checkBounds(t, withRetryAfter, overloadCases)
	checkBounds(t, withRetryAfter, loadCases)
	for _, p := range []partnerCase{
		{name: "nothing told", limit: emu.RateLimit, countsRejected: true, routes: 1},
		{name: "report", limit: emu.RateLimit, countsRejected: true, reportsLimit: true, sendsRetryAfter: true,
			routes: 1},
		{name: "separate routes", limit: emu.RateLimit, countsRejected: true, sendsRetryAfter: true, routes: 2},
		{name: "notes", limit: emu.RateLimit, countsRejected: true, sendsRetryAfter: true, gossip: true, routes: 1},
	} {
		checkBounds(t, p, sampleCases)
	}
}

// Rejected calls do not use up the rate limit, so a call above it costs only itself.
func TestUncountedRateLimit(t *testing.T) {
	checkBounds(t, partnerCase{name: "wait told", limit: emu.RateLimit, sendsRetryAfter: true, routes: 1}, sampleCases)
	checkBounds(t, partnerCase{name: "nothing told", limit: emu.RateLimit, routes: 1}, sampleCases)
}

// Rejected calls are forgotten with their window, and the next window serves the calls that come
// first.
func TestWindowLimit(t *testing.T) {
	checkBounds(t, partnerCase{name: "wait told", limit: emu.WindowLimit, countsRejected: true, sendsRetryAfter: true,
		routes: 1}, sampleCases)
	checkBounds(t, partnerCase{name: "nothing told", limit: emu.WindowLimit, countsRejected: true, routes: 1},
		sampleCases)
}
