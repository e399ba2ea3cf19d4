package overload

import (
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
)

// What must hold in every cell.
const (
	MinGoodput  = 0.9             // of what is due, in the steady phase
	MaxRecovery = 5 * time.Second // after the overload
)

// How the time to recover is found.
const (
	binWidth     = 250 * time.Millisecond
	recoverySpan = 3 * time.Second // over which deliveries are averaged: two windows of a window limit
)

// Row is what came of one cell, as the Parquet file has it. Rates are those of the steady phase.
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

	CallLimit       float64 `parquet:"limit_calls"`       // calls a second that the destination takes
	Offered         int64   `parquet:"offered"`           // messages that clients handed in for the first time
	Delivered       int64   `parquet:"delivered"`         // messages
	Deliverable     float64 `parquet:"due"`               // messages: min(offered, what the destination takes)
	Goodput         float64 `parquet:"goodput"`           // Delivered / Due
	Calls           float64 `parquet:"calls"`             // a second
	MessagesPerCall float64 `parquet:"messages_per_call"` // sent in a call, in the mean
	RejectedPerCall float64 `parquet:"refused_per_call"`  // share of the calls that were refused
	Recovered       bool    `parquet:"recovered"`         // goodput came back before the run ended
	RecoverySeconds float64 `parquet:"recovery_s"`        // seconds after the overload until then; the whole phase if it did not
	Violations      int64   `parquet:"broken"`            // rules broken
	Faults          int64   `parquet:"faults"`            // of the module or of the laboratory
	FirstProblem    string  `parquet:"first_of_broken"`
}

// WithinBounds tells whether the row keeps to both bounds.
func (r Row) WithinBounds() bool {
	return r.Goodput >= MinGoodput && r.Recovered && r.RecoverySeconds <= MaxRecovery.Seconds()
}

// series counts what happened in each bin of virtual time.
type series struct {
	delivered, calls, refused, sent []int
	seen                            map[uint64]bool // calls that were counted
	turnedAway                      map[uint64]bool // calls whose refusal was counted
}

func newSeries(length time.Duration) *series {
	n := int(length/binWidth) + 1
	return &series{delivered: make([]int, n), calls: make([]int, n), refused: make([]int, n), sent: make([]int, n),
		seen: map[uint64]bool{}, turnedAway: map[uint64]bool{}}
}

// observe takes in one event of the log. A call is counted once, however many messages it carries.
func (s *series) observe(e rules.Event) {
	bin := int(e.At / binWidth)
	if bin >= len(s.calls) {
		return
	}
	switch {
	case e.Kind == rules.Sent && e.Call > 0:
		s.sent[bin]++
		if !s.seen[e.Call] {
			s.seen[e.Call] = true
			s.calls[bin]++
		}
	case e.Kind == rules.AttemptEnded && e.Delivered:
		s.delivered[bin]++
	case e.Kind == rules.AttemptEnded && e.NotRun && s.seen[e.Call] && !s.turnedAway[e.Call]:
		s.turnedAway[e.Call] = true
		s.refused[bin]++
	}
}

// between sums the bins of a span.
func between(bins []int, from, to time.Duration) (sum int) {
	for _, n := range bins[int(from/binWidth):min(len(bins), int(to/binWidth))] {
		sum += n
	}
	return sum
}

// Run plays one cell. make is the module of each relay; nil: the one in service.
func Run(c Cell, set Config, make emu.PolicyFactory) (Row, error) {
	if err := c.Validate(); err != nil {
		return Row{}, err
	}
	if err := set.Validate(); err != nil {
		return Row{}, err
	}
	day := set.day(c)
	log := newSeries(day.Length)
	res, err := emu.Run(day, emu.Options{NewPolicy: make, Log: log.observe})
	if err != nil {
		return Row{}, err
	}
	row := Row{
		Batch: int32(c.Batch), Relays: int32(c.Relays), Routes: int32(c.Routes), Limit: LimitName(c.Limit), CountsRejected: c.CountsRejected,
		ReportsLimit: c.ReportsLimit, SendsRetryAfter: c.SendsRetryAfter, Gossip: c.Gossip, Load: c.Load, Seed: set.Seed, CallLimit: set.limit(c),
		Violations: int64(len(res.Breaks)), Faults: int64(len(res.Faults)),
	}
	if len(res.Breaks) > 0 {
		row.FirstProblem = res.Breaks[0].String()
	} else if len(res.Faults) > 0 {
		row.FirstProblem = res.Faults[0]
	}
	row.steady(c, set, log, res)
	row.recovery(c, set, log)
	return row, nil
}

// steady fills in the figures of the steady phase.
func (r *Row) steady(c Cell, set Config, log *series, res *emu.Result) {
	from, to := set.Warmup, set.Warmup+set.Steady
	for _, s := range res.Seconds[int(from/time.Second):int(to/time.Second)] {
		r.Offered += int64(s.Asked) // each message is worth 1
	}
	r.Delivered = int64(between(log.delivered, from, to))
	r.Deliverable = min(float64(r.Offered), set.Capacity(c)*set.Steady.Seconds())
	r.Goodput = float64(r.Delivered) / max(r.Deliverable, 1)
	calls := float64(between(log.calls, from, to))
	r.Calls = calls / set.Steady.Seconds()
	r.MessagesPerCall = float64(between(log.sent, from, to)) / max(calls, 1)
	r.RejectedPerCall = float64(between(log.refused, from, to)) / max(calls, 1)
}

// recovery finds the first span after the overload in which LeastGoodput of what is due was delivered.
func (r *Row) recovery(c Cell, set Config, log *series) {
	end := set.Warmup + set.Steady + set.Overload
	due := min(c.Load, 1) * set.Capacity(c) * recoverySpan.Seconds()
	r.RecoverySeconds = set.Recovery.Seconds()
	for at := end; at+recoverySpan <= set.Duration(); at += binWidth {
		if float64(between(log.delivered, at, at+recoverySpan)) >= MinGoodput*due {
			r.Recovered, r.RecoverySeconds = true, (at - end).Seconds()
			return
		}
	}
}
