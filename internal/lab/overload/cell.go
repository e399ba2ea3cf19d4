// Package overload measures how fleets of relays share the limit of one destination that is offered
// more than its capacity.
//
// Each run simulates one Cell: a number of relays, a batch, a load and a kind of limit. It has four
// phases in virtual time: warm-up, steady load, overload and recovery. The steady phase gives the
// goodput, the recovery phase the time to recover.
//
// The capacity of a destination, in messages per second, is its limit in calls per second times the
// batch. A single relay that knows the limit can deliver min(offered, capacity): it sends one call
// every 1/limit seconds, as full as its pending messages allow, and is never rejected. Goodput is
// relative to that optimum, which a fleet can approach but not exceed.
//
// A cell and a seed always give the same row. The package reads no clock and opens no socket.
package overload

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/policy"
)

// Cell is one point of the matrix: the fleet, the load and the kind of limit.
type Cell struct {
	Batch           int // maximum messages per call
	Relays          int
	Load            float64       // offered messages, as a multiple of the destination's capacity
	Limit           emu.LimitKind // emu.RateLimit or emu.WindowLimit
	CountsRejected  bool          // rejected calls use up the limit
	ReportsLimit    bool          // answers report the limit
	SendsRetryAfter bool          // Config.RetryAfterShare of the rejections carry a Retry-After
	Gossip          bool          // relays exchange gossip
	// Routes is the number of endpoints with an equal part of the limit each; 1: one limit for the
	// destination.
	Routes int
}

// LimitNames maps names to the limits that a cell may have.
var LimitNames = map[string]emu.LimitKind{"rate": emu.RateLimit, "window": emu.WindowLimit}

// LimitName returns the name of a limit, or "" if a cell cannot have it.
func LimitName(l emu.LimitKind) string {
	for name, v := range LimitNames {
		if v == l {
			return name
		}
	}
	return ""
}

// String describes the cell in one line.
func (c Cell) String() string {
	option := func(name string, enabled bool) string {
		if enabled {
			return " " + name
		}
		return ""
	}
	return fmt.Sprintf("batch %d, senders %d, load %g, %s%s%s%s%s, routes %d", c.Batch, c.Relays, c.Load,
		LimitName(c.Limit),
		option("counted", c.CountsRejected), option("report", c.ReportsLimit), option("wait", c.SendsRetryAfter),
		option("notes", c.Gossip), c.Routes)
}

// Matrix holds the values of each dimension; its cells are their product.
type Matrix struct {
	Batches, Relays, Routes                               []int
	Loads                                                 []float64
	Limits                                                []emu.LimitKind
	CountsRejected, ReportsLimit, SendsRetryAfter, Gossip []bool
}

// FullMatrix returns the whole matrix.
func FullMatrix() Matrix {
	both := []bool{false, true}
	return Matrix{
		Batches: []int{1, 5, 20, 50}, Relays: []int{2, 6, 30, 300}, Routes: []int{1}, Loads: []float64{0.7, 1, 1.4, 2},
		Limits:         []emu.LimitKind{emu.RateLimit, emu.WindowLimit},
		CountsRejected: both, ReportsLimit: both, SendsRetryAfter: both, Gossip: both,
	}
}

// QuickMatrix returns a small part of the matrix for a quick check.
func QuickMatrix() Matrix {
	return Matrix{
		Batches: []int{1, 20}, Relays: []int{2, 6, 30}, Routes: []int{1}, Loads: []float64{0.7, 2},
		Limits:         []emu.LimitKind{emu.RateLimit, emu.WindowLimit},
		CountsRejected: []bool{true}, ReportsLimit: []bool{false}, SendsRetryAfter: []bool{true}, Gossip: []bool{false},
	}
}

// Cells returns the product of all dimensions; the batch changes slowest and the load fastest.
func (m Matrix) Cells() []Cell {
	cells := []Cell{{}}
	cells = crossProduct(cells, m.Batches, func(c *Cell, v int) { c.Batch = v })
	cells = crossProduct(cells, m.Relays, func(c *Cell, v int) { c.Relays = v })
	cells = crossProduct(cells, m.Routes, func(c *Cell, v int) { c.Routes = v })
	cells = crossProduct(cells, m.Limits, func(c *Cell, v emu.LimitKind) { c.Limit = v })
	cells = crossProduct(cells, m.CountsRejected, func(c *Cell, v bool) { c.CountsRejected = v })
	cells = crossProduct(cells, m.ReportsLimit, func(c *Cell, v bool) { c.ReportsLimit = v })
	cells = crossProduct(cells, m.SendsRetryAfter, func(c *Cell, v bool) { c.SendsRetryAfter = v })
	cells = crossProduct(cells, m.Gossip, func(c *Cell, v bool) { c.Gossip = v })
	return crossProduct(cells, m.Loads, func(c *Cell, v float64) { c.Load = v })
}

// crossProduct returns a copy of each cell for each value.
func crossProduct[T any](cells []Cell, values []T, set func(*Cell, T)) []Cell {
	out := make([]Cell, 0, len(cells)*len(values))
	for _, c := range cells {
		for _, v := range values {
			set(&c, v)
			out = append(out, c)
		}
	}
	return out
}

// Config holds what all cells of an experiment have in common.
type Config struct {
	Seed uint64
	// Limit is the calls per second that the destination accepts over all its routes; 0:
	// DefaultLimit per route.
	Limit         float64
	TargetLatency time.Duration // a message has its full value until then
	Deadline      time.Duration // a message may be delivered until then
	ClientRetries int           // of a client after a rejection

	Warmup, Steady, Overload, Recovery time.Duration // the phases, in whole seconds

	LoweredShare    float64       // share of the limit that applies during the overload
	SurgeFactor     float64       // multiple of the offered load during the overload
	Window          time.Duration // of a window limit
	RetryAfterShare float64       // share of the rejections, if Cell.SendsRetryAfter is set
	RetryAfter      time.Duration // minimum mean; longer where capacity frees up later
}

// DefaultConfig returns the configuration that the bounds apply to. Its deadlines suit messages
// that may wait.
func DefaultConfig() Config {
	return Config{
		Seed:            1,
		TargetLatency:   3 * time.Second,
		Deadline:        20 * time.Second,
		ClientRetries:   2,
		Warmup:          10 * time.Second,
		Steady:          20 * time.Second,
		Overload:        10 * time.Second,
		Recovery:        12 * time.Second,
		LoweredShare:    0.3,
		SurgeFactor:     1,
		Window:          1500 * time.Millisecond,
		RetryAfterShare: 0.65,
		RetryAfter:      700 * time.Millisecond,
	}
}

// Parameters of the simulated fleet and its destination.
const (
	minLimit            = 8.0  // calls per second
	limitPerSqrtRelay   = 3.0  // calls per second, per square root of the number of relays
	pendingSeconds      = 8.0  // pending messages of a relay, in seconds of its share of the capacity
	minPendingCalls     = 2    // pending messages of a relay, in full calls
	minPending          = 8    // messages
	concurrencyHeadroom = 2.0  // relative to the calls in flight at load 1
	minConcurrentCalls  = 4    // calls
	itemCost            = 0.02 // work of each further message in a call, relative to the first
	maxAttempts         = 8
	serviceTime         = 150 * time.Millisecond // of the first message in a call
	serviceTimeSpread   = 0.4
	roundTrip           = 30 * time.Millisecond
	clientDelay         = time.Millisecond
	lastResubmit        = 6 * time.Second // after its deadline, a client may resubmit a message for this long
	tick                = 5 * time.Millisecond
)

// DefaultLimit returns the limit, in calls per second, of a destination that the given number of
// relays share.
//
// A rate limit is a token bucket that holds half a second of calls. Evenly paced calls of n relays
// with independent phases cluster in bursts of about the square root of n. With a smaller bucket,
// even relays that know their exact share would be rejected, and no pacing without gossip could
// meet the bounds.
func DefaultLimit(relays int) float64 {
	return max(minLimit, limitPerSqrtRelay*math.Sqrt(float64(relays)))
}

// callLimit returns the calls per second that the destination of a cell accepts over all its
// routes.
func (config Config) callLimit(c Cell) float64 {
	return cmp.Or(config.Limit, DefaultLimit(c.Relays)*float64(c.Routes))
}

// Capacity returns the messages per second that the destination of a cell accepts.
func (config Config) Capacity(c Cell) float64 { return config.callLimit(c) * float64(c.Batch) }

// Duration returns the time in which messages are submitted: the sum of all phases.
func (config Config) Duration() time.Duration {
	return config.Warmup + config.Steady + config.Overload + config.Recovery
}

// Validate returns an error that names the first value out of range.
func (config Config) Validate() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"limit", config.Limit, 0, 1e6}, {"aim", config.TargetLatency.Seconds(), 0.001, config.Deadline.Seconds()},
		{"deadline", config.Deadline.Seconds(), 0.1, 600},
		{"retries", float64(config.ClientRetries), 0, 100}, {"lowered", config.LoweredShare, 0.01, 1},
		{"surge", config.SurgeFactor, 1, 100}, {"wait share", config.RetryAfterShare, 0, 1},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g is not within %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	return nil
}

// Validate returns an error that names the first value out of range.
func (c Cell) Validate() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"batch", float64(c.Batch), 1, 1000}, {"senders", float64(c.Relays), 1, 2000},
		{"routes", float64(c.Routes), 1, 100}, {"load", c.Load, 0.01, 20},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g is not within %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	return nil
}

// scenario returns the scenario that simulates a cell.
func (config Config) scenario(c Cell) *emu.Scenario {
	limit, capacity := config.callLimit(c), config.Capacity(c)
	callTime := serviceTime.Seconds()*(1+itemCost*float64(c.Batch-1)) + roundTrip.Seconds()
	relayShare := 1 / float64(c.Relays)
	scenario := &emu.Scenario{
		Name:                   c.String(),
		Seed:                   config.Seed,
		Length:                 config.Duration(),
		Tail:                   config.Deadline + lastResubmit,
		Tick:                   tick,
		Relays:                 c.Relays,
		MaxConcurrentCalls:     max(minConcurrentCalls, int(math.Ceil(concurrencyHeadroom*limit*callTime*relayShare))),
		MaxPending:             max(minPending, minPendingCalls*c.Batch, int(pendingSeconds*capacity*relayShare)),
		MaxAttempts:            maxAttempts,
		Rate:                   c.Load * capacity,
		RTT:                    roundTrip,
		ClientDelay:            clientDelay,
		Jitter:                 0.2,
		HandshakeRTTs:          2,
		IdleTimeout:            15 * time.Second,
		ConnectTimeout:         1500 * time.Millisecond,
		AnswerSlack:            20 * time.Millisecond,
		ClientRetries:          config.ClientRetries,
		ClientBackoff:          500 * time.Millisecond,
		RetryAfterCompliance:   0.7,
		MaxRetryAfter:          3 * time.Second,
		ResubmitDelay:          time.Second,
		BalancerDetectionDelay: time.Second,
		DiscoveryDelay:         time.Second,
		DrainGrace:             time.Second,
		WarmUpTime:             10 * time.Second,
		ColdStartShare:         0.2,
		OverloadFactor:         2,
		OverloadTime:           3 * time.Second,
		Gossip:                 c.Gossip,
		NoGossip:               !c.Gossip,
		Zones:                  1,
	}
	scenario.Classes = []emu.Class{{
		Class: policy.Class{Name: "notice", Effect: policy.Safe, TargetLatency: config.TargetLatency,
			Deadline: config.Deadline, Value: 1, LateValue: 0.5},
		Share: 1, Work: serviceTime, CV: serviceTimeSpread, Noise: 0.2,
	}}
	scenario.Kinds = []emu.Kind{config.partnerKind(c)}
	scenario.Dests = []emu.Dest{config.destination(c, callTime)}
	scenario.Faults = config.faults()
	return scenario
}

// partnerKind returns the partner type of the cell's destination.
func (config Config) partnerKind(c Cell) emu.Kind {
	k := emu.Kind{
		Name:           "limited",
		MaxBatch:       c.Batch,
		ItemCost:       itemCost,
		Limit:          c.Limit,
		Window:         config.Window,
		CountsRejected: c.CountsRejected,
		ReportsLimit:   c.ReportsLimit,
		SeparateRoutes: c.Routes > 1,
		RetryAfter:     config.RetryAfter,
		ColdStartShare: 0.25,
		WarmUpTime:     9 * time.Second,
	}
	if c.SendsRetryAfter {
		k.RetryAfterShare = config.RetryAfterShare
	}
	return k
}

// destination returns the cell's destination. It has workers for four times its limit, so that only
// the limit rejects calls.
func (config Config) destination(c Cell, callTime float64) emu.Dest {
	limit := config.callLimit(c)
	workers := int(math.Ceil(4*limit*callTime/float64(c.Routes))) + 4
	endpoint := emu.Endpoint{Workers: workers, Speed: 1, QueueSize: workers}
	return emu.Dest{Share: 1, Limit: limit, Zone: "zone-1",
		Endpoints: slices.Repeat([]emu.Endpoint{endpoint}, c.Routes)}
}

// faults returns the faults of the overload phase.
func (config Config) faults() (all []emu.Fault) {
	at := config.Warmup + config.Steady
	if config.LoweredShare < 1 {
		all = append(all, emu.Fault{Kind: emu.LowerLimit, At: at, Duration: config.Overload,
			Intensity: config.LoweredShare, Dests: []int{0}})
	}
	if config.SurgeFactor > 1 {
		all = append(all, emu.Fault{Kind: emu.Burst, At: at, Duration: config.Overload, Intensity: config.SurgeFactor})
	}
	return all
}
