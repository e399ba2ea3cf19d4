package overload

import (
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
)

// Bounds that every cell must meet.
const (
	MinGoodput  = 0.9             // share of the deliverable messages in the steady phase
	MaxRecovery = 5 * time.Second // after the overload
)

// Resolution of the time to recover.
const (
	binWidth       = 250 * time.Millisecond
	recoveryWindow = 3 * time.Second // over which deliveries are averaged: two windows of a window limit
)

// Row is the result of one cell: a row of the Parquet file. Rates are those of the steady phase.
type Row struct {
	Batch           int32   `parquet:"batch"`
	Relays          int32   `parquet:"senders"`
	Routes          int32   `parquet:"routes"`
	Limit           string  `parquet:"limit,dict"`
	CountsRejected  bool    `parquet:"refused_count"`
	ReportsLimit    bool    `parquet:"reports"`
	SendsRetryAfter bool    `parquet:"tells_wait"`
	Gossip          bool    `parquet:"notes"`
	Load            float64 `parquet:"load"`
	Seed            uint64  `parquet:"seed"`

	CallLimit       float64 `parquet:"limit_calls"`       // calls per second that the destination accepts
	Offered         int64   `parquet:"offered"`           // messages that clients submitted for the first time
	Delivered       int64   `parquet:"delivered"`         // messages
	Deliverable     float64 `parquet:"due"`               // messages: min(offered, capacity)
	Goodput         float64 `parquet:"goodput"`           // Delivered / Deliverable
	Calls           float64 `parquet:"calls"`             // per second
	MessagesPerCall float64 `parquet:"messages_per_call"` // mean
	RejectedPerCall float64 `parquet:"refused_per_call"`  // share of the calls
	Recovered       bool    `parquet:"recovered"`         // goodput recovered before the run ended
	RecoverySeconds float64 `parquet:"recovery_s"`        // after the overload; the whole phase if it did not recover
	Violations      int64   `parquet:"broken"`            // of the rules
	Faults          int64   `parquet:"faults"`            // of the policy engine or the simulation
	FirstProblem    string  `parquet:"first_of_broken"`
}

// WithinBounds reports whether the row meets both bounds.
func (r Row) WithinBounds() bool {
	return r.Goodput >= MinGoodput && r.Recovered && r.RecoverySeconds <= MaxRecovery.Seconds()
}

// series counts events in bins of virtual time.
type series struct {
	delivered, calls, rejected, messagesSent []int
	countedCalls                             map[uint64]bool
	countedRejections                        map[uint64]bool
}

// newSeries returns empty bins for a run of the given length.
func newSeries(length time.Duration) *series {
	n := int(length/binWidth) + 1
	return &series{
		delivered:         make([]int, n),
		calls:             make([]int, n),
		rejected:          make([]int, n),
		messagesSent:      make([]int, n),
		countedCalls:      map[uint64]bool{},
		countedRejections: map[uint64]bool{},
	}
}

// observe counts one event of the log. A call counts once, however many messages it carries.
func (s *series) observe(e rules.Event) {
	bin := int(e.At / binWidth)
	if bin >= len(s.calls) {
		return
	}
	switch {
	case e.Kind == rules.Sent && e.Call > 0:
		s.messagesSent[bin]++
		if !s.countedCalls[e.Call] {
			s.countedCalls[e.Call] = true
			s.calls[bin]++
		}
	case e.Kind == rules.AttemptEnded && e.Delivered:
		s.delivered[bin]++
	case e.Kind == rules.AttemptEnded && e.NotRun && s.countedCalls[e.Call] && !s.countedRejections[e.Call]:
		s.countedRejections[e.Call] = true
		s.rejected[bin]++
	}
}

// sumBetween sums the bins of a time span.
func sumBetween(bins []int, from, to time.Duration) (sum int) {
	for _, n := range bins[int(from/binWidth):min(len(bins), int(to/binWidth))] {
		sum += n
	}
	return sum
}

// Run simulates one cell. newPolicy makes the policy engine of each relay; nil: the default one. It
// returns an error for an invalid cell or configuration.
func Run(c Cell, config Config, newPolicy emu.PolicyFactory) (Row, error) {
	if err := c.Validate(); err != nil {
		return Row{}, err
	}
	if err := config.Validate(); err != nil {
		return Row{}, err
	}
	scenario := config.scenario(c)
	events := newSeries(scenario.Length)
	res, err := emu.Run(scenario, emu.Options{NewPolicy: newPolicy, Log: events.observe})
	if err != nil {
		return Row{}, err
	}
	row := Row{
		Batch:           int32(c.Batch),
		Relays:          int32(c.Relays),
		Routes:          int32(c.Routes),
		Limit:           LimitName(c.Limit),
		CountsRejected:  c.CountsRejected,
		ReportsLimit:    c.ReportsLimit,
		SendsRetryAfter: c.SendsRetryAfter,
		Gossip:          c.Gossip,
		Load:            c.Load,
		Seed:            config.Seed,
		CallLimit:       config.callLimit(c),
		Violations:      int64(len(res.Breaks)),
		Faults:          int64(len(res.Faults)),
	}
	if len(res.Breaks) > 0 {
		row.FirstProblem = res.Breaks[0].String()
	} else if len(res.Faults) > 0 {
		row.FirstProblem = res.Faults[0]
	}
	row.setSteadyMetrics(c, config, events, res)
	row.setRecovery(c, config, events)
	return row, nil
}

// setSteadyMetrics sets the metrics of the steady phase.
func (r *Row) setSteadyMetrics(c Cell, config Config, events *series, res *emu.Result) {
	from, to := config.Warmup, config.Warmup+config.Steady
	for _, s := range res.Seconds[int(from/time.Second):int(to/time.Second)] {
		r.Offered += int64(s.Asked) // each message has the value 1
	}
	r.Delivered = int64(sumBetween(events.delivered, from, to))
	r.Deliverable = min(float64(r.Offered), config.Capacity(c)*config.Steady.Seconds())
	r.Goodput = float64(r.Delivered) / max(r.Deliverable, 1)
	calls := float64(sumBetween(events.calls, from, to))
	r.Calls = calls / config.Steady.Seconds()
	r.MessagesPerCall = float64(sumBetween(events.messagesSent, from, to)) / max(calls, 1)
	r.RejectedPerCall = float64(sumBetween(events.rejected, from, to)) / max(calls, 1)
}

// setRecovery finds the first window after the overload in which MinGoodput of the expected
// messages was delivered.
func (r *Row) setRecovery(c Cell, config Config, events *series) {
	end := config.Warmup + config.Steady + config.Overload
	expected := min(c.Load, 1) * config.Capacity(c) * recoveryWindow.Seconds()
	r.RecoverySeconds = config.Recovery.Seconds()
	for at := end; at+recoveryWindow <= config.Duration(); at += binWidth {
		if float64(sumBetween(events.delivered, at, at+recoveryWindow)) >= MinGoodput*expected {
			r.Recovered, r.RecoverySeconds = true, (at - end).Seconds()
			return
		}
	}
}
