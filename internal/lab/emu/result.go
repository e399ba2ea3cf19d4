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
	for _, share := range shares {
		sum, squares = sum+share, squares+share*share
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func newResult(scenario *Scenario) *Result {
	result := &Result{Day: scenario.Name, Seed: scenario.Seed, Seconds: make([]Second, int(scenario.Length/time.Second)+1), Dests: make([]DestTally, len(scenario.Dests)), Relays: make([]RelayTally, scenario.Relays),
		Latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	for _, class := range scenario.Classes {
		result.ByClass = append(result.ByClass, Tally{Name: class.Name})
	}
	return result
}

func (r *Result) recordRequest(sim *simulation, req *request) {
	value := req.class.Value
	r.Seconds[int(req.submittedAt/time.Second)].Asked += value
	if tally := &r.ByClass[req.classIndex]; req.submittedAt >= sim.scenario.TallyFrom {
		tally.Requests++
		tally.Asked += value
	}
	r.Dests[req.dest.number].Requests++
	r.Dests[req.dest.number].Asked += value
	r.Asked += req.workSeconds
}

func (r *Result) recordCompletion(sim *simulation, req *request, outcome completion) {
	tally, latency := &r.ByClass[req.classIndex], sim.now-req.submittedAt
	if req.submittedAt < sim.scenario.TallyFrom {
		tally = &Tally{}
	}
	switch outcome {
	case completedDelivered:
		value := req.class.valueAfter(latency)
		r.Seconds[int(req.submittedAt/time.Second)].Served += value
		tally.Served += value
		tally.Delivered++
		r.Delivered++
		if latency <= req.class.TargetLatency {
			tally.InAim++
			r.InAim++
		}
		r.Useful += req.workSeconds
		r.Dests[req.dest.number].Delivered++
		r.Dests[req.dest.number].Served += value
		r.Latency.RecordValue(int64(latency / time.Microsecond))
		return
	case completedFailed:
		r.GivenUp++
		tally.GivenUp++
	case completedReturned:
		r.HandedBack++
		tally.Refused++
	case completedLost:
		r.Lost++
	}
	if latency > req.class.TargetLatency {
		r.lateFailureValue += req.class.Value
	}
}

// worstWindowSeconds is the time over which the worst stretch of a day is looked for.
const worstWindowSeconds = 10

// finish works out the figures of the whole day and holds the two accounts against each other: the log of the rules and the
// world's own. Where they disagree the laboratory is at fault, and says so.
func (r *Result) finish(sim *simulation) {
	r.Events = sim.processed
	r.Broken, r.Breaks = sim.checker.Counts, sim.checker.Violations
	asked, served := 0.0, 0.0
	for _, second := range r.Seconds {
		asked += second.Asked
		served += second.Served
	}
	r.Whole, r.WorstWindow, r.WorstClass = shareOrOne(served, asked), 1, 1
	for i := 0; i+worstWindowSeconds < len(r.Seconds) || i == 0; i++ {
		windowAsked, windowServed := 0.0, 0.0
		for _, second := range r.Seconds[i:min(i+worstWindowSeconds, len(r.Seconds))] {
			windowAsked += second.Asked
			windowServed += second.Served
		}
		r.WorstWindow = min(r.WorstWindow, shareOrOne(windowServed, windowAsked))
	}
	for _, tally := range r.ByClass {
		r.WorstClass = min(r.WorstClass, shareOrOne(tally.Served, tally.Asked))
	}
	var relays, dests []float64
	for _, tally := range r.Relays {
		if tally.Asked > 0 {
			relays = append(relays, tally.Served/tally.Asked)
		}
	}
	for _, tally := range r.Dests {
		if tally.Asked > 0 {
			dests = append(dests, tally.Served/tally.Asked)
		}
	}
	r.FairRelays, r.FairDests = jainIndex(relays), jainIndex(dests)
	requests, penalties := float64(max(1, r.Requests)), sim.scenario.Penalties
	r.G = 0.5*r.Whole + 0.3*r.WorstWindow + 0.2*r.WorstClass - penalties.WastedWork*shareOrZero(max(0, r.Work-r.Useful), r.Asked) -
		penalties.Handshake*float64(r.Connections)/requests - penalties.LateFailure*shareOrZero(r.lateFailureValue, asked) - penalties.RejectedCall*float64(r.RefusedCalls)/requests - penalties.Gossip*float64(r.NoteBytes)/256/requests
	if unanswered := r.Broken[rules.Answer]; (unanswered > 0) != (r.Overdue > 0) && len(r.Faults) == 0 {
		r.Faults = append(r.Faults, "the two accounts disagree on messages without an answer in time")
	}
	if (r.Broken[rules.Repeat] > 0) != (r.Doubles > 0) && r.Doubles > 0 {
		r.Faults = append(r.Faults, "the two accounts disagree: a message ran twice, and no rule on repeats was broken")
	}
	if r.Fallen == 0 && r.Broken[rules.RecoveryOverload] > 0 {
		r.Faults = append(r.Faults, "the two accounts disagree: no destination fell over, and the rule on returns was broken")
	}
}

func shareOrOne(part, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return part / total
}

func shareOrZero(part, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return part / total
}

// Passed tells whether no rule was broken and nothing else went wrong.
func (r *Result) Passed() bool { return len(r.Faults) == 0 && len(r.Breaks) == 0 }
