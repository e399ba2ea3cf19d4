package region

import (
	"fmt"
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// Event is a failure or an operation in a region.
type Event string

const (
	LoseRelay      Event = "relay"       // one relay stops, and returns after its replicas were reassigned
	LoseRack       Event = "rack"        // the same for a whole rack
	LoseZone       Event = "zone"        // the same for a zone, whose replicas are not reassigned
	LeaveRack      Event = "leave"       // a rack leaves as planned, stops, and returns
	Restart        Event = "restart"     // a tenth of all relays, down for 10 s
	LoseControls   Event = "controls"    // a third of the control machines and a rack
	LoseAllControl Event = "all control" // all control machines, for ten minutes
	MassStart      Event = "mass start"  // a zone's relays start at once, with empty disks
)

// Events are all events that can be simulated.
var Events = []Event{LoseRelay, LoseRack, LoseZone, LeaveRack, Restart, LoseControls, LoseAllControl, MassStart}

const (
	settleTimeout  = time.Minute            // for all relays to hold the first map
	sampleInterval = 100 * time.Millisecond // between samples of the coverage
	reassignTime   = 75 * time.Second       // until the replicas of stopped relays are reassigned
	rejoinTime     = 15 * time.Second       // until relays that returned have their part
	controlOutage  = 10 * time.Minute       // until all control machines are back
)

// Outcome is the result of an event in a region.
type Outcome struct {
	Region          int     `parquet:"region"`
	Event           string  `parquet:"event"`
	Relays          int     `parquet:"relays"`
	AffectedRelays  int     `parquet:"hit"`        // relays that stopped, left or started
	Moved           float64 `parquet:"moved"`      // share of all replicas that moved as they stopped
	MovedBack       float64 `parquet:"moved_back"` // share of all replicas that moved as they returned
	ChangesObserved int     `parquet:"concerned"`  // pairs of a changed map and a relay that it concerns
	MedianSeconds   float64 `parquet:"median_s"`   // until a change was in force, the median over all pairs
	P999Seconds     float64 `parquet:"late_s"`     // the same, at 999 of 1,000
	MaxSeconds      float64 `parquet:"last_s"`
	OneZoneSeconds  float64 `parquet:"one_zone_s"` // time in which some partition was served in one zone only
	MaxOneZoneShare float64 `parquet:"one_zone"`   // greatest share of partitions at one time
	NoZoneSeconds   float64 `parquet:"no_zone_s"`  // time in which some partition was not served
	MeanRelayRate   float64 `parquet:"relay_rate"` // bytes per second of a relay for control, in both directions
	MaxRelayRate    float64 `parquet:"relay_most"` // of the relay with the most
	ControlRate     float64 `parquet:"control"`    // bytes per second that a control machine sent
}

// eventRun is a simulation of one event.
type eventRun struct {
	*Simulation
	Outcome
	delays     []time.Duration
	startedAt  time.Duration
	lastSample time.Duration // time of the latest sample of the coverage
}

// RunEvent simulates an event in a new region, after all relays hold the first map. It returns an
// error for an unknown event, if the region does not settle, and if published maps contradict each
// other.
func RunEvent(config Config, event Event) (Outcome, error) {
	if !slices.Contains(Events, event) {
		return Outcome{}, fmt.Errorf("unknown event %q", event)
	}
	sim, err := New(config)
	if err != nil {
		return Outcome{}, err
	}
	settled := func() bool { m := sim.Published(); return m != nil && len(sim.Outdated(m)) == 0 }
	if _, ok := sim.RunUntil(settleTimeout, time.Second, settled); !ok {
		return Outcome{}, fmt.Errorf("region %d: not settled after %v", config.Number, settleTimeout)
	}
	run := &eventRun{Simulation: sim,
		Outcome: Outcome{Region: int(config.Number), Event: string(event), Relays: config.Relays}, startedAt: sim.Now}
	sim.clearCounts()
	if err := run.apply(event); err != nil {
		return Outcome{}, err
	}
	if len(sim.Conflicts) > 0 {
		return Outcome{}, fmt.Errorf("region %d: conflicting maps: %v", config.Number, sim.Conflicts)
	}
	return run.outcome(), nil
}

// apply causes the event and runs the simulation until its effects are over.
func (run *eventRun) apply(event Event) error {
	switch event {
	case LoseRelay:
		run.stopAndRestart([]int{run.Config.Relays / 3}, reassignTime)
	case LoseRack:
		run.stopAndRestart(run.Rack(run.Config.Zones), reassignTime)
	case LoseZone:
		run.stopAndRestart(run.Zone(1), 2*reassignTime)
	case LeaveRack:
		run.leaveAndRejoin(run.Rack(run.Config.Zones))
	case Restart:
		run.stopAndRestart(run.everyTenthRelay(), 10*time.Second)
	case LoseControls:
		for i := range run.Config.Controls / 3 {
			run.StopControl(i)
		}
		run.stopAndRestart(run.Rack(run.Config.Zones), reassignTime)
	case LoseAllControl:
		return run.loseAllControl()
	case MassStart:
		run.massStart()
	}
	return nil
}

// everyTenthRelay returns every tenth relay.
func (run *eventRun) everyTenthRelay() (relays []int) {
	for i := 0; i < run.Config.Relays; i += 10 {
		relays = append(relays, i)
	}
	return relays
}

// stopAndRestart stops relays and restarts them after the outage.
func (run *eventRun) stopAndRestart(relays []int, outage time.Duration) {
	run.AffectedRelays = len(relays)
	first := run.Published()
	run.StopAll(relays)
	run.observe(outage)
	second := run.Published()
	run.StartAll(relays)
	run.observe(rejoinTime)
	run.Moved, run.MovedBack = run.movedShare(second, first), run.movedShare(run.Published(), second)
}

// leaveAndRejoin has relays leave as planned, stops each one when it is released, and restarts
// them.
func (run *eventRun) leaveAndRejoin(relays []int) {
	run.AffectedRelays = len(relays)
	first := run.Published()
	run.LeaveAll(relays, true)
	for end := run.Now + reassignTime; run.Now < end; {
		run.observe(time.Second)
		run.StopReleased(relays)
	}
	second := run.Published()
	run.StartAll(relays)
	run.observe(rejoinTime)
	run.Moved, run.MovedBack = run.movedShare(second, first), run.movedShare(run.Published(), second)
}

// loseAllControl stops all control machines for ten minutes, and restarts a tenth of the relays
// meanwhile.
func (run *eventRun) loseAllControl() error {
	first := run.Published()
	for i := range run.Controls {
		run.StopControl(i)
	}
	restarted := run.everyTenthRelay()
	run.AffectedRelays = len(restarted)
	run.StopAll(restarted)
	run.StartAll(restarted)
	run.observe(controlOutage)
	for i := range run.Controls {
		if err := run.StartControl(i); err != nil {
			return err
		}
	}
	run.observe(reassignTime)
	run.Moved = run.movedShare(run.Published(), first)
	return nil
}

// massStart starts a zone's relays at once, with empty disks.
func (run *eventRun) massStart() {
	relays := run.Zone(1)
	run.AffectedRelays = len(relays)
	run.StopAll(relays)
	run.Run(run.Now + rejoinTime)
	run.clearCounts()
	run.startedAt = run.Now
	for _, i := range relays {
		run.Simulation.Relays[i].disk = nil
	}
	run.StartAll(relays)
	unassigned := map[int]bool{}
	for _, i := range relays {
		unassigned[i] = true
	}
	for start := run.Now; run.Now < start+rejoinTime; {
		run.Run(run.Now + sampleInterval)
		for i := range unassigned {
			if run.Simulation.Relays[i].Follower.Current() != nil {
				run.delays = append(run.delays, run.Now-start)
				delete(unassigned, i)
			}
		}
	}
}

// observe runs for the given duration, and records the coverage and the delays of changes.
func (run *eventRun) observe(duration time.Duration) {
	run.lastSample = run.Now
	run.delays = append(run.delays, run.ChangeDelays(duration, sampleInterval, run.recordCoverage)...)
}

// recordCoverage records the coverage since the latest sample.
func (run *eventRun) recordCoverage() {
	since := (run.Now - run.lastSample).Seconds()
	run.lastSample = run.Now
	coverage := run.Coverage()
	if coverage.OneZone > 0 {
		run.OneZoneSeconds += since
		run.MaxOneZoneShare = max(run.MaxOneZoneShare, float64(coverage.OneZone)/float64(coverage.Partitions))
	}
	if coverage.NoZone > 0 {
		run.NoZoneSeconds += since
	}
}

// movedShare returns the share of all replicas that moved between two maps.
func (run *eventRun) movedShare(after, before *assignment.Map) float64 {
	return float64(after.CountMoved(before)) / float64(run.Config.Partitions*run.Config.Replicas)
}

// clearCounts resets the counters of bytes.
func (sim *Simulation) clearCounts() {
	for _, r := range sim.Relays {
		r.BytesSent, r.BytesReceived = 0, 0
	}
	for _, c := range sim.Controls {
		c.RelayBytes, c.PeerBytes = 0, 0
	}
}

// outcome computes the rates and delays and returns the outcome.
func (run *eventRun) outcome() Outcome {
	span := (run.Now - run.startedAt).Seconds()
	for _, r := range run.Simulation.Relays {
		rate := float64(r.BytesSent+r.BytesReceived) / span
		run.MeanRelayRate += rate / float64(len(run.Simulation.Relays))
		run.MaxRelayRate = max(run.MaxRelayRate, rate)
	}
	for _, c := range run.Controls {
		run.ControlRate += float64(c.RelayBytes+c.PeerBytes) / span / float64(len(run.Controls))
	}
	if run.ChangesObserved = len(run.delays); run.ChangesObserved > 0 {
		slices.Sort(run.delays)
		run.MedianSeconds = run.delays[(len(run.delays)-1)/2].Seconds()
		run.P999Seconds = run.delays[(len(run.delays)-1)*999/1000].Seconds()
		run.MaxSeconds = run.delays[len(run.delays)-1].Seconds()
	}
	return run.Outcome
}
