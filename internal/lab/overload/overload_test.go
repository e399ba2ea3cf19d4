package overload

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/rules"
	"oatfold/policy"
)

// pacedRelay is a policy engine that knows the limit. It sends one call per interval, as full as
// its pending messages allow, oldest first.
type pacedRelay struct {
	interval time.Duration
	batch    int
	next     time.Duration
	endpoint string
	waiting  []uint32
}

func (s *pacedRelay) Step(now time.Duration, events []policy.Event) (acts []policy.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case policy.EndpointListUpdate:
			s.endpoint = e.Entries[0].Address
		case policy.Submitted:
			s.waiting = append(s.waiting, e.ID)
		case policy.Withdrawn:
			s.forget(e.ID)
		}
	}
	if len(s.waiting) == 0 {
		return nil
	}
	if now >= s.next {
		acts = s.sendCall()
		s.next = max(s.next, now-s.interval) + s.interval
	}
	return append(acts, policy.SetTimer{Delay: max(s.next-now, time.Millisecond)})
}

// sendCall sends the oldest messages in one call.
func (s *pacedRelay) sendCall() (acts []policy.Action) {
	n := min(s.batch, len(s.waiting))
	for _, id := range s.waiting[:n] {
		acts = append(acts, policy.Send{ID: id, Endpoint: s.endpoint, Timeout: 5 * time.Second})
	}
	s.waiting = s.waiting[n:]
	return acts
}

func (s *pacedRelay) forget(id uint32) {
	for i, other := range s.waiting {
		if other == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// A single relay that knows the limit delivers all that is deliverable at each batch, load and kind
// of limit.
func TestSingleInformedRelayReachesCapacity(t *testing.T) {
	cells := FullMatrix()
	cells.Relays, cells.CountsRejected, cells.ReportsLimit, cells.Gossip = []int{1}, []bool{true}, []bool{false},
		[]bool{false}
	config := DefaultConfig()
	config.LoweredShare = 1 // the relay would not notice a lower limit
	for _, c := range cells.Cells() {
		row, err := Run(c, config, func(policy.Settings, int64) (emu.PolicyEngine, error) {
			return &pacedRelay{interval: time.Duration(float64(time.Second) / config.callLimit(c)), batch: c.Batch}, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if row.Goodput < 0.97 || row.Goodput > 1.06 {
			t.Errorf("%s: goodput %.3f", c, row.Goodput)
		}
		if row.Calls > 1.01*row.CallLimit {
			t.Errorf("%s: %.1f calls per second, limit %.1f", c, row.Calls, row.CallLimit)
		}
		if !row.Recovered || row.RecoverySeconds > 1 {
			t.Errorf("%s: never overloaded, but recovers after %.2f s", c, row.RecoverySeconds)
		}
	}
}

// The same cell and seed give the same row; another seed gives another.
func TestRunIsDeterministic(t *testing.T) {
	c := Cell{Batch: 5, Relays: 6, Load: 1.4, Limit: emu.RateLimit, CountsRejected: true, SendsRetryAfter: true,
		Routes: 2}
	row := func(seed uint64) Row {
		config := DefaultConfig()
		config.Seed = seed
		r, err := Run(c, config, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Seed = 0
		return r
	}
	if a, b := row(7), row(7); a != b {
		t.Errorf("two runs differ:\n%+v\n%+v", a, b)
	}
	if row(7) == row(8) {
		t.Error("two seeds do not differ")
	}
}

// A call counts once, in the bin in which it was sent, and so does its rejection, whatever its
// batch.
func TestSeriesCountsCalls(t *testing.T) {
	s := newSeries(time.Second)
	for id := range uint32(3) {
		s.observe(rules.Event{Kind: rules.Sent, Msg: id, Call: 9})
		s.observe(rules.Event{At: binWidth, Kind: rules.AttemptEnded, Msg: id, Call: 9, NotRun: true})
		s.observe(rules.Event{At: binWidth, Kind: rules.Sent, Msg: id, Call: 10})
		s.observe(rules.Event{At: 2 * binWidth, Kind: rules.AttemptEnded, Msg: id, Call: 10, Delivered: true})
		s.observe(rules.Event{At: time.Hour, Kind: rules.Sent, Msg: id, Call: 11}) // after the end
	}
	for name, c := range map[string]struct {
		bins []int
		want [3]int
	}{"calls": {s.calls, [3]int{1, 1, 0}}, "sent": {s.messagesSent, [3]int{3, 3, 0}},
		"refused": {s.rejected, [3]int{0, 1, 0}}, "delivered": {s.delivered, [3]int{0, 0, 3}}} {
		if got := [3]int(c.bins[:3]); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// The time to recover is the start of the first window with enough deliveries; a run without one
// has not recovered.
func TestRecovery(t *testing.T) {
	config := DefaultConfig()
	c := Cell{Batch: 1, Relays: 2, Load: 2, Routes: 1}
	end := int((config.Warmup + config.Steady + config.Overload) / binWidth)
	for _, want := range []float64{0, 4, -1} {
		s := newSeries(config.Duration())
		from := len(s.delivered)
		if want >= 0 {
			from = end + int(want/binWidth.Seconds())
		}
		for i := from; i < len(s.delivered); i++ {
			s.delivered[i] = int(config.callLimit(c) * binWidth.Seconds())
		}
		var r Row
		r.setRecovery(c, config, s)
		// MinGoodput is reached a bin or two before all of a window is full.
		if near := r.RecoverySeconds <= want && r.RecoverySeconds > want-0.5; r.Recovered != (want >= 0) ||
			want > 0 && !near || want == 0 && r.RecoverySeconds != 0 {
			t.Errorf("full goodput %g s after the overload: recovered %t after %g s", want, r.Recovered,
				r.RecoverySeconds)
		}
	}
}

// Values out of range are rejected by name.
func TestValidate(t *testing.T) {
	validCell := Cell{Batch: 1, Relays: 1, Load: 1, Limit: emu.RateLimit, Routes: 1}
	for name, c := range map[string]Cell{
		"batch": {Relays: 1, Load: 1, Routes: 1}, "senders": {Batch: 1, Load: 1, Routes: 1},
		"routes": {Batch: 1, Relays: 1, Load: 1}, "load": {Batch: 1, Relays: 1, Routes: 1},
	} {
		if _, err := Run(c, DefaultConfig(), nil); err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
	config := DefaultConfig()
	if config.LoweredShare = 0; config.Validate() == nil {
		t.Error("a limit lowered to zero is accepted")
	}
	if _, err := Run(validCell, config, nil); err == nil {
		t.Error("an invalid configuration is run")
	}
}

// The plot has a line for each batch and number of relays, with the worst row of each load, in
// order of load.
func TestPlot(t *testing.T) {
	rows := []Row{{Batch: 1, Relays: 2, Load: 2, Goodput: 0.5}, {Batch: 1, Relays: 2, Load: 1, Goodput: 1},
		{Batch: 1, Relays: 2, Load: 2, Goodput: 0.3}, {Batch: 5, Relays: 2, Load: 1, Goodput: 1}}
	lines := minGoodputByLoad(rows)
	if l := lines[plotGroup{1, 2}]; len(lines) != 2 || len(l) != 2 || l[0].X != 1 || l[1].Y != 0.3 {
		t.Errorf("%v", lines)
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	if err := Plot(file, rows); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(file); err != nil || !strings.Contains(string(raw), "batch 5, senders 2") {
		t.Errorf("%v, %d bytes", err, len(raw))
	}
}
