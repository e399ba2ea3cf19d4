package emu

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oatfold/internal/lab/rules"
)

// Result is what came of a day. Of one day and one seed it is the same each time.
type Result struct {
	Day  string
	Seed uint64

	G                              float64 // as the operators count: see Score
	Whole, WorstWindow, WorstClass float64
	Requests                       int // first tries
	Delivered, InAim               int
	GivenUp, HandedBack, Lost      int // requests that ended undelivered: failed, refused for good, never answered
	HandIns, Refusals, TurnedAway  int
	Unreached                      int // hand-ins that found a dead relay
	Calls, RefusedCalls            int
	Connections                    int
	Probes                         int            // calls that went off to destinations which were out
	Agreed                         bool           // in the end all relays knew who lived
	Down                           []int          // relays that were down in the end
	Members                        []MemberChange `json:",omitempty"` // what relays came to think of one another
	Sites                          []SiteChange   `json:",omitempty"` // and of sites
	NoteBytes                      int            // of notes between relays, as they are delivered
	Steps, Notes, Events           int
	Overdue, Doubles, Fallen       int
	Work, Asked                    float64 // seconds of destinations' work, done and asked for
	Useful                         float64 // work of what was delivered
	Seconds                        []Second
	ByClass                        []Tally
	Dests                          []DestTally
	Relays                         []RelayTally
	FairRelays, FairDests          float64                 // Jain's index of the share of their worth that is served
	Latency                        *hdrhistogram.Histogram `json:"-"` // of delivered messages, in microseconds
	Broken                         map[rules.Name]int
	Breaks                         []rules.Violation
	Faults                         []string // of the module, of the day or of the laboratory itself
	lateFailureValue               float64
}

// Second is a second of arrivals: the worth that came in and what of it was served.
type Second struct{ Asked, Served float64 }

// MemberChange is what one relay came to think of another; of itself, that a process of it started.
type MemberChange struct {
	At          time.Duration
	By, Number  int
	From, To    string
	Incarnation uint32
	Why         string
}

// SiteChange is what a relay came to take a site for.
type SiteChange struct {
	At       time.Duration
	By       int
	Zone     string
	From, To string
	Why      string
}

// Tally is a class's.
type Tally struct {
	Name                    string
	Requests, Delivered     int
	Asked, Served           float64
	GivenUp, Refused, InAim int
}

// DestTally is a destination's.
type DestTally struct {
	Requests, Delivered, Calls, Refused int
	Asked, Served                       float64
}

// RelayTally is a relay's: worth that was handed in to it, hand-ins that came again among them, and worth that it delivered.
type RelayTally struct{ Asked, Served float64 }

// jainIndex is Jain's index of fairness: 1 where all have the same, 1/n where one has all.
func jainIndex(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range shares {
		sum, squares = sum+x, squares+x*x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func newResult(d *Scenario) *Result {
	r := &Result{Day: d.Name, Seed: d.Seed, Seconds: make([]Second, int(d.Length/time.Second)+1), Dests: make([]DestTally, len(d.Dests)), Relays: make([]RelayTally, d.Relays),
		Latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	for _, c := range d.Classes {
		r.ByClass = append(r.ByClass, Tally{Name: c.Name})
	}
	return r
}

func (r *Result) recordRequest(w *simulation, q *request) {
	worth := q.class.Value
	r.Seconds[int(q.submittedAt/time.Second)].Asked += worth
	if t := &r.ByClass[q.classIndex]; q.submittedAt >= w.scenario.TallyFrom {
		t.Requests++
		t.Asked += worth
	}
	r.Dests[q.dest.number].Requests++
	r.Dests[q.dest.number].Asked += worth
	r.Asked += q.workSeconds
}

func (r *Result) recordCompletion(w *simulation, q *request, how completion) {
	t, after := &r.ByClass[q.classIndex], w.now-q.submittedAt
	if q.submittedAt < w.scenario.TallyFrom {
		t = &Tally{}
	}
	switch how {
	case completedDelivered:
		worth := q.class.valueAfter(after)
		r.Seconds[int(q.submittedAt/time.Second)].Served += worth
		t.Served += worth
		t.Delivered++
		r.Delivered++
		if after <= q.class.TargetLatency {
			t.InAim++
			r.InAim++
		}
		r.Useful += q.workSeconds
		r.Dests[q.dest.number].Delivered++
		r.Dests[q.dest.number].Served += worth
		r.Latency.RecordValue(int64(after / time.Microsecond))
		return
	case completedFailed:
		r.GivenUp++
		t.GivenUp++
	case completedReturned:
		r.HandedBack++
		t.Refused++
	case completedLost:
		r.Lost++
	}
	if after > q.class.TargetLatency {
		r.lateFailureValue += q.class.Value
	}
}

// worstWindowSeconds is the time over which the worst stretch of a day is looked for.
const worstWindowSeconds = 10

// finish works out the figures of the whole day and holds the two accounts against each other: the log of the rules and the
// world's own. Where they disagree the laboratory is at fault, and says so.
func (r *Result) finish(w *simulation) {
	r.Events = w.processed
	r.Broken, r.Breaks = w.checker.Counts, w.checker.Violations
	asked, served := 0.0, 0.0
	for _, s := range r.Seconds {
		asked += s.Asked
		served += s.Served
	}
	r.Whole, r.WorstWindow, r.WorstClass = shareOrOne(served, asked), 1, 1
	for i := 0; i+worstWindowSeconds < len(r.Seconds) || i == 0; i++ {
		a, s := 0.0, 0.0
		for _, sec := range r.Seconds[i:min(i+worstWindowSeconds, len(r.Seconds))] {
			a += sec.Asked
			s += sec.Served
		}
		r.WorstWindow = min(r.WorstWindow, shareOrOne(s, a))
	}
	for _, t := range r.ByClass {
		r.WorstClass = min(r.WorstClass, shareOrOne(t.Served, t.Asked))
	}
	var relays, dests []float64
	for _, t := range r.Relays {
		if t.Asked > 0 {
			relays = append(relays, t.Served/t.Asked)
		}
	}
	for _, t := range r.Dests {
		if t.Asked > 0 {
			dests = append(dests, t.Served/t.Asked)
		}
	}
	r.FairRelays, r.FairDests = jainIndex(relays), jainIndex(dests)
	n, p := float64(max(1, r.Requests)), w.scenario.Penalties
	r.G = 0.5*r.Whole + 0.3*r.WorstWindow + 0.2*r.WorstClass - p.WastedWork*shareOrZero(max(0, r.Work-r.Useful), r.Asked) -
		p.Handshake*float64(r.Connections)/n - p.LateFailure*shareOrZero(r.lateFailureValue, asked) - p.RejectedCall*float64(r.RefusedCalls)/n - p.Gossip*float64(r.NoteBytes)/256/n
	if lost := r.Broken[rules.Answer]; (lost > 0) != (r.Overdue > 0) && len(r.Faults) == 0 {
		r.Faults = append(r.Faults, "the two accounts disagree on messages without an answer in time")
	}
	if (r.Broken[rules.Repeat] > 0) != (r.Doubles > 0) && r.Doubles > 0 {
		r.Faults = append(r.Faults, "the two accounts disagree: a message ran twice, and no rule on repeats was broken")
	}
	if r.Fallen == 0 && r.Broken[rules.RecoveryOverload] > 0 {
		r.Faults = append(r.Faults, "the two accounts disagree: no destination fell over, and the rule on returns was broken")
	}
}

func shareOrOne(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return part / of
}

func shareOrZero(part, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return part / of
}

// Passed tells whether no rule was broken and nothing else went wrong.
func (r *Result) Passed() bool { return len(r.Faults) == 0 && len(r.Breaks) == 0 }
