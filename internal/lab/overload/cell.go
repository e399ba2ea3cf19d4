// Package overload measures how fleets of relays share the limit of one destination that is asked for more than it takes.
//
// Each run plays one Cell: a number of senders, a batch, a load and a kind of limit. It has four phases in virtual time: warm-up,
// steady load, an overload, and the time after it. The steady phase gives the goodput, the last phase the time to recover.
//
// What a destination takes is its limit in calls a second times the batch, in messages a second. A single sender that knows the
// limit could deliver min(offered, taken): it sends a call each 1/limit seconds, as full as the messages at hand allow, and is
// never refused. That is the yardstick for every figure here; a fleet of senders can come close to it and not pass it.
//
// One cell with one seed gives the same row each time. Nothing here reads a clock or opens a socket.
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

// Cell is one point of the matrix: the fleet, the load, and the kind of limit.
type Cell struct {
	Batch           int           // messages in one call at most
	Relays          int           // relays
	Load            float64       // messages offered, as a multiple of what the destination takes
	Limit           emu.LimitKind // emu.RateLimit or emu.WindowLimit
	CountsRejected  bool          // refused calls use up the limit
	ReportsLimit    bool          // answers tell of the limit
	SendsRetryAfter bool          // some refusals tell a wait: Config.WaitShare of them
	Gossip          bool          // relays tell one another what they see
	Routes          int           // 1: one limit for the destination; more: so many endpoints, each with an even part of it for itself
}

// LimitNames are the names of the limits that a cell may have.
var LimitNames = map[string]emu.LimitKind{"rate": emu.RateLimit, "window": emu.WindowLimit}

// LimitName is the name of a limit; empty if a cell can't have it.
func LimitName(l emu.LimitKind) string {
	for name, v := range LimitNames {
		if v == l {
			return name
		}
	}
	return ""
}

// String names the cell in a line.
func (c Cell) String() string {
	on := func(name string, is bool) string {
		if is {
			return " " + name
		}
		return ""
	}
	return fmt.Sprintf("batch %d, senders %d, load %g, %s%s%s%s%s, routes %d", c.Batch, c.Relays, c.Load, LimitName(c.Limit),
		on("counted", c.CountsRejected), on("report", c.ReportsLimit), on("wait", c.SendsRetryAfter), on("notes", c.Gossip), c.Routes)
}

// Matrix holds the values of each dimension; its cells are their product.
type Matrix struct {
	Batches, Relays, Routes                               []int
	Loads                                                 []float64
	Limits                                                []emu.LimitKind
	CountsRejected, ReportsLimit, SendsRetryAfter, Gossip []bool
}

// FullMatrix is the whole matrix.
func FullMatrix() Matrix {
	both := []bool{false, true}
	return Matrix{
		Batches: []int{1, 5, 20, 50}, Relays: []int{2, 6, 30, 300}, Routes: []int{1}, Loads: []float64{0.7, 1, 1.4, 2},
		Limits:         []emu.LimitKind{emu.RateLimit, emu.WindowLimit},
		CountsRejected: both, ReportsLimit: both, SendsRetryAfter: both, Gossip: both,
	}
}

// QuickMatrix is a part of the matrix that takes a few seconds on two cores.
func QuickMatrix() Matrix {
	return Matrix{
		Batches: []int{1, 20}, Relays: []int{2, 6, 30}, Routes: []int{1}, Loads: []float64{0.7, 2},
		Limits:         []emu.LimitKind{emu.RateLimit, emu.WindowLimit},
		CountsRejected: []bool{true}, ReportsLimit: []bool{false}, SendsRetryAfter: []bool{true}, Gossip: []bool{false},
	}
}

// Cells lists the product of all dimensions, the batch changing slowest and the load fastest.
func (m Matrix) Cells() []Cell {
	cells := []Cell{{}}
	cells = cross(cells, m.Batches, func(c *Cell, v int) { c.Batch = v })
	cells = cross(cells, m.Relays, func(c *Cell, v int) { c.Relays = v })
	cells = cross(cells, m.Routes, func(c *Cell, v int) { c.Routes = v })
	cells = cross(cells, m.Limits, func(c *Cell, v emu.LimitKind) { c.Limit = v })
	cells = cross(cells, m.CountsRejected, func(c *Cell, v bool) { c.CountsRejected = v })
	cells = cross(cells, m.ReportsLimit, func(c *Cell, v bool) { c.ReportsLimit = v })
	cells = cross(cells, m.SendsRetryAfter, func(c *Cell, v bool) { c.SendsRetryAfter = v })
	cells = cross(cells, m.Gossip, func(c *Cell, v bool) { c.Gossip = v })
	return cross(cells, m.Loads, func(c *Cell, v float64) { c.Load = v })
}

// cross returns each cell once for each value.
func cross[T any](cells []Cell, values []T, set func(*Cell, T)) []Cell {
	out := make([]Cell, 0, len(cells)*len(values))
	for _, c := range cells {
		for _, v := range values {
			set(&c, v)
			out = append(out, c)
		}
	}
	return out
}

// Config holds what is the same for all cells of an experiment.
type Config struct {
	Seed          uint64
	Limit         float64       // calls a second that the destination takes, over all its routes; 0: CallsFor the senders at each route
	TargetLatency time.Duration // a message has its full worth until then
	Deadline      time.Duration // and may be delivered until then
	ClientRetries int           // of a client after a refusal

	Warmup, Steady, Overload, Recovery time.Duration // the phases, in whole seconds

	LoweredShare    float64       // share of the limit that is in force during the overload
	SurgeFactor     float64       // multiple of the offered load that comes in during it
	Window          time.Duration // of a window limit
	RetryAfterShare float64       // share of the refusals that tell a wait, where the cell says that they do
	RetryAfter      time.Duration // told at least, in the mean; longer where room comes later
}

// DefaultConfig is the configuration that the goals are stated for. Its deadlines are those of a deployment whose messages may wait.
func DefaultConfig() Config {
	return Config{
		Seed: 1, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, ClientRetries: 2,
		Warmup: 10 * time.Second, Steady: 20 * time.Second, Overload: 10 * time.Second, Recovery: 12 * time.Second,
		LoweredShare: 0.3, SurgeFactor: 1, Window: 1500 * time.Millisecond, RetryAfterShare: 0.65, RetryAfter: 700 * time.Millisecond,
	}
}

// The figures of the modelled fleet and its destination.
const (
	leastLimit   = 8.0  // calls a second
	limitPerRoot = 3.0  // calls a second for each unit of the square root of the senders, where that makes a higher limit
	holdSeconds  = 8.0  // messages that a relay holds, in seconds of its part of what the destination takes
	holdBatches  = 2    // full calls that it holds at least
	leastHold    = 8    // messages
	slotRoom     = 2.0  // slots over the calls that load 1 keeps out at once
	leastSlots   = 4    // calls
	itemCost     = 0.02 // work of each further message of a call, as a share of the first
	maxAttempts  = 8
	workTime     = 150 * time.Millisecond // of the first message of a call
	workSpread   = 0.4
	roundTrip    = 30 * time.Millisecond
	clientTrip   = time.Millisecond
	lastHandIn   = 6 * time.Second // a client may come again so long after its deadline, to be turned away
	tick         = 5 * time.Millisecond
)

// DefaultLimit is the limit, in calls a second, of a destination that so many senders share. A rate limit is a token bucket of half a
// second. Calls of n senders that keep an even pace, each from a start of its own, come in clumps of about the square root of n. Risk:
// where the bucket is smaller than that, senders that know their share exactly are refused, too, and the bounds ask for what no rule of
// pacing can reach without word from the others.
func DefaultLimit(senders int) float64 {
	return max(leastLimit, limitPerRoot*math.Sqrt(float64(senders)))
}

// limit is the calls a second that the destination of a cell takes, over all its routes.
func (set Config) limit(c Cell) float64 {
	return cmp.Or(set.Limit, DefaultLimit(c.Relays)*float64(c.Routes))
}

// Capacity is the messages a second that the destination of a cell takes: the yardstick, see the package comment.
func (set Config) Capacity(c Cell) float64 { return set.limit(c) * float64(c.Batch) }

// Duration is how long messages come in: all phases.
func (set Config) Duration() time.Duration {
	return set.Warmup + set.Steady + set.Overload + set.Recovery
}

// Validate names the first figure that no run could be played with.
func (set Config) Validate() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"limit", set.Limit, 0, 1e6}, {"aim", set.TargetLatency.Seconds(), 0.001, set.Deadline.Seconds()}, {"deadline", set.Deadline.Seconds(), 0.1, 600},
		{"retries", float64(set.ClientRetries), 0, 100}, {"lowered", set.LoweredShare, 0.01, 1}, {"surge", set.SurgeFactor, 1, 100}, {"wait share", set.RetryAfterShare, 0, 1},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g does not lie within %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	return nil
}

// Validate names the first value that makes no cell.
func (c Cell) Validate() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{
		{"batch", float64(c.Batch), 1, 1000}, {"senders", float64(c.Relays), 1, 2000}, {"routes", float64(c.Routes), 1, 100}, {"load", c.Load, 0.01, 20},
	} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g does not lie within %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	return nil
}

// day is the day that a cell is played on.
func (set Config) day(c Cell) *emu.Scenario {
	limit, takes := set.limit(c), set.Capacity(c)
	callTime := workTime.Seconds()*(1+itemCost*float64(c.Batch-1)) + roundTrip.Seconds()
	perSender := 1 / float64(c.Relays)
	day := &emu.Scenario{
		Name: c.String(), Seed: set.Seed, Length: set.Duration(), Tail: set.Deadline + lastHandIn, Tick: tick,
		Relays:             c.Relays,
		MaxConcurrentCalls: max(leastSlots, int(math.Ceil(slotRoom*limit*callTime*perSender))),
		MaxPending:         max(leastHold, holdBatches*c.Batch, int(holdSeconds*takes*perSender)),
		MaxAttempts:        maxAttempts, Rate: c.Load * takes,
		RTT: roundTrip, ClientDelay: clientTrip, Jitter: 0.2, HandshakeRTTs: 2, IdleTimeout: 15 * time.Second, ConnectTimeout: 1500 * time.Millisecond,
		AnswerSlack: 20 * time.Millisecond, ClientRetries: set.ClientRetries, ClientBackoff: 500 * time.Millisecond, RetryAfterCompliance: 0.7, MaxRetryAfter: 3 * time.Second,
		ResubmitDelay: time.Second, BalancerDetectionDelay: time.Second, DiscoveryDelay: time.Second, DrainGrace: time.Second,
		WarmUpTime: 10 * time.Second, ColdStartShare: 0.2, OverloadFactor: 2, OverloadTime: 3 * time.Second,
		Gossip: c.Gossip, NoGossip: !c.Gossip, Zones: 1,
	}
	day.Classes = []emu.Class{{
		Class: policy.Class{Name: "notice", Effect: policy.Safe, TargetLatency: set.TargetLatency, Deadline: set.Deadline, Value: 1, LateValue: 0.5},
		Share: 1, Work: workTime, CV: workSpread, Noise: 0.2,
	}}
	day.Kinds = []emu.Kind{set.kind(c)}
	day.Dests = []emu.Dest{set.destination(c, callTime)}
	day.Faults = set.overload()
	return day
}

// kind is the kind of the cell's destination.
func (set Config) kind(c Cell) emu.Kind {
	k := emu.Kind{
		Name: "limited", MaxBatch: c.Batch, ItemCost: itemCost, Limit: c.Limit, Window: set.Window, CountsRejected: c.CountsRejected,
		ReportsLimit: c.ReportsLimit, SeparateRoutes: c.Routes > 1, RetryAfter: set.RetryAfter, ColdStartShare: 0.25, WarmUpTime: 9 * time.Second,
	}
	if c.SendsRetryAfter {
		k.RetryAfterShare = set.RetryAfterShare
	}
	return k
}

// destination has workers for four times its limit, so that the limit alone refuses calls.
func (set Config) destination(c Cell, callTime float64) emu.Dest {
	limit := set.limit(c)
	workers := int(math.Ceil(4*limit*callTime/float64(c.Routes))) + 4
	one := emu.Endpoint{Workers: workers, Speed: 1, QueueSize: workers}
	return emu.Dest{Share: 1, Limit: limit, Zone: "zone-1", Endpoints: slices.Repeat([]emu.Endpoint{one}, c.Routes)}
}

// overload is what goes wrong in the third phase.
func (set Config) overload() (all []emu.Fault) {
	at := set.Warmup + set.Steady
	if set.LoweredShare < 1 {
		all = append(all, emu.Fault{Kind: emu.LowerLimit, At: at, Duration: set.Overload, Intensity: set.LoweredShare, Dests: []int{0}})
	}
	if set.SurgeFactor > 1 {
		all = append(all, emu.Fault{Kind: emu.Burst, At: at, Duration: set.Overload, Intensity: set.SurgeFactor})
	}
	return all
}
