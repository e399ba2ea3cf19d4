package region

import (
	"fmt"
	"slices"
	"time"

	"oatfold/internal/assignment"
)

// Event is something that happens to a region.
type Event string

const (
	LoseRelay      Event = "relay"       // one goes, and returns after its replicas were given to others
	LoseRack       Event = "rack"        // the same of a whole rack
	LoseZone       Event = "zone"        // the same of a zone, whose replicas stay
	LeaveRack      Event = "leave"       // a rack leaves as planned, goes, and returns
	Restart        Event = "restart"     // a tenth of all relays, away for 10 s
	LoseControls   Event = "controls"    // a third of the control machines and a rack
	LoseAllControl Event = "all control" // for ten minutes
	MassStart      Event = "mass start"  // a zone's relays start at once, with empty disks
)

// Events are all that can be played.
var Events = []Event{LoseRelay, LoseRack, LoseZone, LeaveRack, Restart, LoseControls, LoseAllControl, MassStart}

const (
	settleBy  = time.Minute            // for a new region to be whole
	lookEvery = 100 * time.Millisecond // at how partitions are served
	goneBy    = 75 * time.Second       // replicas of what is lost were given to others
	backBy    = 15 * time.Second       // and what returned has got its part
	controlIn = 10 * time.Minute       // all control machines are back
)

// Outcome is what an event came to in a region.
type Outcome struct {
	Region          int     `parquet:"region"`
	Event           string  `parquet:"event"`
	Relays          int     `parquet:"relays"`
	AffectedRelays  int     `parquet:"hit"`        // relays that went, or started
	Moved           float64 `parquet:"moved"`      // share of all replicas that moved as they went
	MovedBack       float64 `parquet:"moved_back"` // and as they returned
	ChangesObserved int     `parquet:"concerned"`  // relays that a change of the map concerned
	MedianSeconds   float64 `parquet:"median_s"`   // seconds until a change was in force at half of them
	P999Seconds     float64 `parquet:"late_s"`     // and at 999 of 1,000
	MaxSeconds      float64 `parquet:"last_s"`
	OneZoneSeconds  float64 `parquet:"one_zone_s"` // seconds in which some partition was served in one zone only
	MaxOneZoneShare float64 `parquet:"one_zone"`   // the greatest share of partitions that were at once
	NoZoneSeconds   float64 `parquet:"no_zone_s"`  // seconds in which some partition was not served
	MeanRelayRate   float64 `parquet:"relay_rate"` // bytes a second of a relay for control, both ways
	MaxRelayRate    float64 `parquet:"relay_most"` // of the relay that spent most
	ControlRate     float64 `parquet:"control"`    // bytes a second that a control machine sent
}

// play is an event under way.
type play struct {
	*Simulation
	Outcome
	delays  []time.Duration
	began   time.Duration
	covered time.Duration // until when coverage was looked at
}

// RunEvent plays an event in a region of its own, which is whole before it begins. The
// error names an unknown event, or says that the region never got whole.
func RunEvent(c Config, event Event) (Outcome, error) {
	if !slices.Contains(Events, event) {
		return Outcome{}, fmt.Errorf("unknown event %q", event)
	}
	w, err := New(c)
	if err != nil {
		return Outcome{}, err
	}
	whole := func() bool { m := w.Published(); return m != nil && len(w.Outdated(m)) == 0 }
	if _, ok := w.RunUntil(settleBy, time.Second, whole); !ok {
		return Outcome{}, fmt.Errorf("region %d: not whole after %v", c.Number, settleBy)
	}
	p := &play{Simulation: w, Outcome: Outcome{Region: int(c.Number), Event: string(event), Relays: c.Relays}, began: w.Now}
	w.clearCounts()
	if err := p.happen(event); err != nil {
		return Outcome{}, err
	}
	if len(w.Conflicts) > 0 {
		return Outcome{}, fmt.Errorf("region %d: maps that contradict each other: %v", c.Number, w.Conflicts)
	}
	return p.done(), nil
}

func (p *play) happen(event Event) error {
	switch event {
	case LoseRelay:
		p.goAndReturn([]int{p.Config.Relays / 3}, goneBy)
	case LoseRack:
		p.goAndReturn(p.Rack(p.Config.Zones), goneBy)
	case LoseZone:
		p.goAndReturn(p.Zone(1), 2*goneBy)
	case LeaveRack:
		p.leaveAndReturn(p.Rack(p.Config.Zones))
	case Restart:
		p.goAndReturn(p.tenth(), 10*time.Second)
	case LoseControls:
		for i := range p.Config.Controls / 3 {
			p.StopControl(i)
		}
		p.goAndReturn(p.Rack(p.Config.Zones), goneBy)
	case LoseAllControl:
		return p.loseAllControl()
	case MassStart:
		p.massStart()
	}
	return nil
}

// tenth returns every tenth relay.
func (p *play) tenth() (relays []int) {
	for i := 0; i < p.Config.Relays; i += 10 {
		relays = append(relays, i)
	}
	return relays
}

// goAndReturn has relays go for a while and return.
func (p *play) goAndReturn(relays []int, away time.Duration) {
	p.AffectedRelays = len(relays)
	first := p.Published()
	p.StopAll(relays)
	p.follow(away)
	second := p.Published()
	p.StartAll(relays)
	p.follow(backBy)
	p.Moved, p.MovedBack = p.share(second, first), p.share(p.Published(), second)
}

// leaveAndReturn has relays leave as planned, each go once it is free to, and
// return.
func (p *play) leaveAndReturn(relays []int) {
	p.AffectedRelays = len(relays)
	first := p.Published()
	p.LeaveAll(relays, true)
	for end := p.Now + goneBy; p.Now < end; {
		p.follow(time.Second)
		p.StopReleased(relays)
	}
	second := p.Published()
	p.StartAll(relays)
	p.follow(backBy)
	p.Moved, p.MovedBack = p.share(second, first), p.share(p.Published(), second)
}

// loseAllControl has every control machine go for ten minutes, and a tenth of the
// relays restart meanwhile.
func (p *play) loseAllControl() error {
	first := p.Published()
	for i := range p.Controls {
		p.StopControl(i)
	}
	restarted := p.tenth()
	p.AffectedRelays = len(restarted)
	p.StopAll(restarted)
	p.StartAll(restarted)
	p.follow(controlIn)
	for i := range p.Controls {
		if err := p.StartControl(i); err != nil {
			return err
		}
	}
	p.follow(goneBy)
	p.Moved = p.share(p.Published(), first)
	return nil
}

// massStart has a zone's relays start at once, which know nothing.
func (p *play) massStart() {
	relays := p.Zone(1)
	p.AffectedRelays = len(relays)
	p.StopAll(relays)
	p.Run(p.Now + backBy)
	p.clearCounts()
	p.began = p.Now
	for _, i := range relays {
		p.Simulation.Relays[i].disk = nil
	}
	p.StartAll(relays)
	waiting := map[int]bool{}
	for _, i := range relays {
		waiting[i] = true
	}
	for start := p.Now; p.Now < start+backBy; {
		p.Run(p.Now + lookEvery)
		for i := range waiting {
			if p.Simulation.Relays[i].Follower.Current() != nil {
				p.delays = append(p.delays, p.Now-start)
				delete(waiting, i)
			}
		}
	}
}

// follow plays for a while, and books how partitions are served and how long
// changes take.
func (p *play) follow(span time.Duration) {
	p.covered = p.Now
	p.delays = append(p.delays, p.ChangeDelays(span, lookEvery, p.look)...)
}

// look books how partitions were served since the last look.
func (p *play) look() {
	since := (p.Now - p.covered).Seconds()
	p.covered = p.Now
	c := p.Covered()
	if c.OneZone > 0 {
		p.OneZoneSeconds += since
		p.MaxOneZoneShare = max(p.MaxOneZoneShare, float64(c.OneZone)/float64(c.Partitions))
	}
	if c.NoZone > 0 {
		p.NoZoneSeconds += since
	}
}

// share is the share of all replicas that moved between two maps.
func (p *play) share(now, before *assignment.Map) float64 {
	return float64(now.CountMoved(before)) / float64(p.Config.Partitions*p.Config.Replicas)
}

// clearCounts begins to count bytes anew.
func (w *Simulation) clearCounts() {
	for _, r := range w.Relays {
		r.Sent, r.Heard = 0, 0
	}
	for _, c := range w.Controls {
		c.Sent, c.Peers = 0, 0
	}
}

func (p *play) done() Outcome {
	span := (p.Now - p.began).Seconds()
	for _, r := range p.Simulation.Relays {
		rate := float64(r.Sent+r.Heard) / span
		p.MeanRelayRate += rate / float64(len(p.Simulation.Relays))
		p.MaxRelayRate = max(p.MaxRelayRate, rate)
	}
	for _, c := range p.Controls {
		p.ControlRate += float64(c.Sent+c.Peers) / span / float64(len(p.Controls))
	}
	if p.ChangesObserved = len(p.delays); p.ChangesObserved > 0 {
		slices.Sort(p.delays)
		p.MedianSeconds = p.delays[(len(p.delays)-1)/2].Seconds()
		p.P999Seconds = p.delays[(len(p.delays)-1)*999/1000].Seconds()
		p.MaxSeconds = p.delays[len(p.delays)-1].Seconds()
	}
	return p.Outcome
}
