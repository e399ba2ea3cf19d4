package emu

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oatfold/internal/lab/rules"
)

// Result is the outcome of a run. It is deterministic for a scenario and its seed.
type Result struct {
	Day  string
	Seed uint64

	G                              float64 // score of the run; see finish
	Whole, WorstWindow, WorstClass float64 // served share of the value: total, worst window, worst class

	Requests                      int            // without retries
	Delivered, InAim              int            // delivered requests, and those within their target latency
	GivenUp, HandedBack, Lost     int            // undelivered: failed, returned to the client, never answered
	HandIns, Refusals, TurnedAway int            // submissions: accepted, refused after that, rejected at MaxPending
	Unreached                     int            // submissions to a dead relay
	Calls, RefusedCalls           int            // calls sent, and those that endpoints rejected
	Connections                   int            // opened
	Probes                        int            // calls to destinations that were down
	Agreed                        bool           // at the end the members' views of all relays were correct
	Down                          []int          // relays that were down at the end
	Members                       []MemberChange `json:",omitempty"`
	Sites                         []SiteChange   `json:",omitempty"`
	NoteBytes                     int            // gossip, as delivered

	Steps, Notes, Events     int     // steps and log lines of policies; events of the simulation
	Overdue, Doubles, Fallen int     // unanswered in time; repeated unsafe messages; overloads while cold
	Work, Asked              float64 // seconds of work: done, submitted
	Useful                   float64 // seconds of work of delivered messages

	Seconds               []Second
	ByClass               []Tally
	Dests                 []DestTally
	Relays                []RelayTally
	FairRelays, FairDests float64                 // Jain's index of the served share of the value
	Latency               *hdrhistogram.Histogram `json:"-"` // of delivered messages, in microseconds
	Broken                map[rules.Name]int      // violations by rule
	Breaks                []rules.Violation       // the first ones
	Faults                []string                // errors of the policy, the scenario or the simulator

	lateFailureValue float64
}

// Second is the value that was submitted in a second, and what of it was served.
type Second struct{ Asked, Served float64 }

// MemberChange is a change of a relay's view of another one, or the start of the relay itself.
type MemberChange struct {
	At          time.Duration
	By, Number  int
	From, To    string
	Incarnation uint32
	Why         string
}

// SiteChange is a change of a relay's view of a site.
type SiteChange struct {
	At       time.Duration
	By       int
	Zone     string
	From, To string
	Why      string
}

// Tally counts the messages and the value of a class.
type Tally struct {
	Name                    string
	Requests, Delivered     int
	Asked, Served           float64
	GivenUp, Refused, InAim int
}

// DestTally counts the messages, calls and value of a destination.
type DestTally struct {
	Requests, Delivered, Calls, Refused int
	Asked, Served                       float64
}

// RelayTally is the value that a relay accepted, retried submissions included, and the value that
// it delivered.
type RelayTally struct{ Asked, Served float64 }

// jainIndex returns Jain's fairness index: 1 if all shares are equal, 1/n if one has everything.
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

// newResult returns an empty result of a scenario.
func newResult(scenario *Scenario) *Result {
	result := &Result{
		Day:     scenario.Name,
		Seed:    scenario.Seed,
		Seconds: make([]Second, int(scenario.Length/time.Second)+1),
		Dests:   make([]DestTally, len(scenario.Dests)),
		Relays:  make([]RelayTally, scenario.Relays),
		Latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
	for _, class := range scenario.Classes {
		result.ByClass = append(result.ByClass, Tally{Name: class.Name})
	}
	return result
}

// recordRequest counts a new request.
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

// recordCompletion counts the end of a request.
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

// worstWindowSeconds is the length of the windows among which the worst one is reported.
const worstWindowSeconds = 10

// finish computes the scores of the run and cross-checks the violations that the rule checker found
// with the simulation's own counts. A contradiction is an error of the simulator and is recorded.
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
	r.G = 0.5*r.Whole + 0.3*r.WorstWindow + 0.2*r.WorstClass -
		penalties.WastedWork*shareOrZero(max(0, r.Work-r.Useful), r.Asked) -
		penalties.Handshake*float64(r.Connections)/requests -
		penalties.LateFailure*shareOrZero(r.lateFailureValue, asked) -
		penalties.RejectedCall*float64(r.RefusedCalls)/requests -
		penalties.Gossip*float64(r.NoteBytes)/256/requests
	if unanswered := r.Broken[rules.Answer]; (unanswered > 0) != (r.Overdue > 0) && len(r.Faults) == 0 {
		r.Faults = append(r.Faults, "rule checker and simulation disagree on messages without an answer in time")
	}
	if (r.Broken[rules.Repeat] > 0) != (r.Doubles > 0) && r.Doubles > 0 {
		r.Faults = append(r.Faults,
			"rule checker and simulation disagree: a message ran twice without a violation of the repeat rule")
	}
	if r.Fallen == 0 && r.Broken[rules.RecoveryOverload] > 0 {
		r.Faults = append(r.Faults,
			"rule checker and simulation disagree: no destination was overloaded, but the recovery rule was violated")
	}
}

// shareOrOne returns part as a share of total; 1 if total is not positive.
func shareOrOne(part, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return part / total
}

// shareOrZero returns part as a share of total; 0 if total is not positive.
func shareOrZero(part, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return part / total
}

// Passed reports whether no rule was violated and no error occurred.
func (r *Result) Passed() bool { return len(r.Faults) == 0 && len(r.Breaks) == 0 }
