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

// informed is a sender that knows the limit: a call each interval, as full as the messages at hand allow, the longest waiting first.
type informed struct {
	interval time.Duration
	batch    int
	next     time.Duration
	endpoint string
	waiting  []uint32
}

func (s *informed) Step(now time.Duration, events []policy.Event) (acts []policy.Action) {
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
		acts = s.call()
		s.next = max(s.next, now-s.interval) + s.interval
	}
	return append(acts, policy.SetTimer{Delay: max(s.next-now, time.Millisecond)})
}

// call sends one call.
func (s *informed) call() (acts []policy.Action) {
	n := min(s.batch, len(s.waiting))
	for _, id := range s.waiting[:n] {
		acts = append(acts, policy.Send{ID: id, Endpoint: s.endpoint, Timeout: 5 * time.Second})
	}
	s.waiting = s.waiting[n:]
	return acts
}

func (s *informed) forget(id uint32) {
	for i, other := range s.waiting {
		if other == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// The yardstick is within reach: a single sender that knows the limit delivers what is due, at each batch, load and kind of limit.
func TestYardstick(t *testing.T) {
	cells := FullMatrix()
	cells.Relays, cells.CountsRejected, cells.ReportsLimit, cells.Gossip = []int{1}, []bool{true}, []bool{false}, []bool{false}
	set := DefaultConfig()
	set.LoweredShare = 1 // it does not notice that the limit is lowered
	for _, c := range cells.Cells() {
		row, err := Run(c, set, func(policy.Settings, int64) (emu.PolicyEngine, error) {
			return &informed{interval: time.Duration(float64(time.Second) / set.limit(c)), batch: c.Batch}, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if row.Goodput < 0.97 || row.Goodput > 1.06 {
			t.Errorf("%s: %.3f of what is due", c, row.Goodput)
		}
		if row.Calls > 1.01*row.CallLimit {
			t.Errorf("%s: %.1f calls a second of %.1f", c, row.Calls, row.CallLimit)
		}
		if !row.Recovered || row.RecoverySeconds > 1 {
			t.Errorf("%s: was never overloaded, and recovers in %.2f s", c, row.RecoverySeconds)
		}
	}
}

// One cell and seed, one row; another seed, another.
func TestSameRow(t *testing.T) {
	c := Cell{Batch: 5, Relays: 6, Load: 1.4, Limit: emu.RateLimit, CountsRejected: true, SendsRetryAfter: true, Routes: 2}
	row := func(seed uint64) Row {
		set := DefaultConfig()
		set.Seed = seed
		r, err := Run(c, set, nil)
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

// A call is counted once, in the bin in which it was sent, and its refusal once, whatever its batch.
func TestSeriesCountsCalls(t *testing.T) {
	s := newSeries(time.Second)
	for id := range uint32(3) {
		s.observe(rules.Event{Kind: rules.Sent, Msg: id, Call: 9})
		s.observe(rules.Event{At: binWidth, Kind: rules.AttemptEnded, Msg: id, Call: 9, NotRun: true})
		s.observe(rules.Event{At: binWidth, Kind: rules.Sent, Msg: id, Call: 10})
		s.observe(rules.Event{At: 2 * binWidth, Kind: rules.AttemptEnded, Msg: id, Call: 10, Delivered: true})
		s.observe(rules.Event{At: time.Hour, Kind: rules.Sent, Msg: id, Call: 11}) // past the end
	}
	for name, c := range map[string]struct {
		bins []int
		want [3]int
	}{"calls": {s.calls, [3]int{1, 1, 0}}, "sent": {s.sent, [3]int{3, 3, 0}}, "refused": {s.refused, [3]int{0, 1, 0}}, "delivered": {s.delivered, [3]int{0, 0, 3}}} {
		if got := [3]int(c.bins[:3]); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// The time to recover is that of the first span in which enough was delivered, and a run without one says so.
func TestRecovery(t *testing.T) {
	set := DefaultConfig()
	c := Cell{Batch: 1, Relays: 2, Load: 2, Routes: 1}
	end := int((set.Warmup + set.Steady + set.Overload) / binWidth)
	for _, want := range []float64{0, 4, -1} {
		s := newSeries(set.Duration())
		from := len(s.delivered)
		if want >= 0 {
			from = end + int(want/binWidth.Seconds())
		}
		for i := from; i < len(s.delivered); i++ {
			s.delivered[i] = int(set.limit(c) * binWidth.Seconds())
		}
		var r Row
		r.recovery(c, set, s)
		// Nine tenths of a span are enough, so that it is found a bin or two before all of it is full.
		if near := r.RecoverySeconds <= want && r.RecoverySeconds > want-0.5; r.Recovered != (want >= 0) || want > 0 && !near || want == 0 && r.RecoverySeconds != 0 {
			t.Errorf("full again %g s after the overload: recovered %t, in %g s", want, r.Recovered, r.RecoverySeconds)
		}
	}
}

// What makes no run is named.
func TestCheck(t *testing.T) {
	good := Cell{Batch: 1, Relays: 1, Load: 1, Limit: emu.RateLimit, Routes: 1}
	for name, c := range map[string]Cell{
		"batch": {Relays: 1, Load: 1, Routes: 1}, "senders": {Batch: 1, Load: 1, Routes: 1}, "routes": {Batch: 1, Relays: 1, Load: 1}, "load": {Batch: 1, Relays: 1, Routes: 1},
	} {
		if _, err := Run(c, DefaultConfig(), nil); err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
	set := DefaultConfig()
	if set.LoweredShare = 0; set.Validate() == nil {
		t.Error("a limit that is lowered to nothing is taken")
	}
	if _, err := Run(good, set, nil); err == nil {
		t.Error("a run without a limit is played")
	}
}

// The plot has a line for each batch and number of senders: its worst rows, in order of load.
func TestPlot(t *testing.T) {
	rows := []Row{{Batch: 1, Relays: 2, Load: 2, Goodput: 0.5}, {Batch: 1, Relays: 2, Load: 1, Goodput: 1}, {Batch: 1, Relays: 2, Load: 2, Goodput: 0.3}, {Batch: 5, Relays: 2, Load: 1, Goodput: 1}}
	lines := leastGoodput(rows)
	if l := lines[group{1, 2}]; len(lines) != 2 || len(l) != 2 || l[0].X != 1 || l[1].Y != 0.3 {
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
