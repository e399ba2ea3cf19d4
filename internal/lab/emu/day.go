package emu

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"oatfold/internal/choice"
	"oatfold/internal/sites"
	"oatfold/policy"
)

// Scenario is everything that is fixed before the first message: the world, its troubles, and the seed of its chance. Times are virtual.
type Scenario struct {
	Name   string
	Seed   uint64
	Length time.Duration // messages come in until then
	Tail   time.Duration // and this long at most is waited for their ends
	Tick   time.Duration // shortest time between two steps of a relay

	Relays                         int
	MaxConcurrentCalls, MaxPending int // of each relay
	MaxAttempts                    int
	Rate                           float64     // messages a second that come in, in the mean over Shape 1
	Shape                          []LoadPoint // multiple of Rate over time; none: 1
	ClumpShare                     float64     // share of messages that come in clumps for one destination
	ClumpDuration                  time.Duration

	RTT, ClientDelay            time.Duration // relay to destination and back; client to relay
	Jitter                      float64       // spread of each way, as a share
	HandshakeRTTs               float64       // round trips that a new connection costs
	IdleTimeout, ConnectTimeout time.Duration // connections unused so long close; one that does not come up so long has failed
	AnswerSlack                 time.Duration

	Classes []Class
	Kinds   []Kind
	Dests   []Dest

	ClientRetries                   int           // of a client after a refusal
	ClientBackoff                   time.Duration // before the first, doubled before each further one
	RetryAfterCompliance            float64       // share of clients that heed advice
	MaxRetryAfter                   time.Duration
	ResubmitDelay                   time.Duration // after which a dead relay's messages come to a live one
	BalancerDetectionDelay          time.Duration // for how long new messages still go to a dead relay
	DiscoveryDelay, DiscoverySpread time.Duration // of list news, and how much later the last relay hears it
	WarmUpTime                      time.Duration // as the settings state it, at most
	ColdStartShare                  float64       // as the settings state it, at least
	OverloadFactor                  float64
	OverloadTime                    time.Duration
	DrainGrace                      time.Duration
	Penalties                       Penalties
	Faults                          []Fault
	Gossip                          bool           // relays tell one another what they see
	NoGossip                        bool           // relays know that they may not tell one another anything; not with Notes
	GossipLoss                      float64        // share of these that are lost
	Membership                      bool           // and ask one another who lives
	SettleTime                      time.Duration  // relays run on for so long behind the last message, until all agree who lives; 0: not
	Zones                           int            // of relays, dealt to them in turn; 0: 1
	Choices                         choice.Options // that relays share; they need Members
	Sites                           *sites.Plan    // that relays act on; nil: none
	TallyFrom                       time.Duration  // classes count messages that come in from then on
	HotRelayFactor                  float64        // times the mean that clients hand in at relay 0; 0: once
}

// LoadPoint is a place of a curve.
type LoadPoint struct {
	At       time.Duration
	Multiple float64
}

// Class is a class of message.
type Class struct {
	policy.Class
	Share       float64
	Work        time.Duration // at a destination of speed 1
	CV          float64       // spread of the work
	Noise       float64       // and of each attempt's beside it
	Exponential bool          // exponential; else lognormal
}

// LimitKind says how a destination counts calls.
type LimitKind int

// The limits.
const (
	NoLimit LimitKind = iota
	RateLimit
	WindowLimit
)

// Kind is a kind of destination.
type Kind struct {
	Name            string
	MaxBatch        int
	ItemCost        float64 // work of each further message of a call, as a share
	Limit           LimitKind
	Window          time.Duration
	CountsRejected  bool    // refused calls use up the limit
	ReportsLimit    bool    // answers tell what is left of the limit, and the limit
	SeparateRoutes  bool    // each endpoint has an even part of the limit for itself, and outages of its own
	RetryAfterShare float64 // share of refusals that tell a wait
	RetryAfter      time.Duration
	ColdStartShare  float64
	WarmUpTime      time.Duration
	ErrorRate       float64
	CancelsQueued   bool // a call given up while it waits does not run
}

// Dest is a destination. Its number is its place in Day.Dests.
type Dest struct {
	Kind      int
	Share     float64 // of the traffic
	Limit     float64 // calls a second from all relays, over all its endpoints
	Zone      string
	Endpoints []Endpoint
	Mix       []TrafficShare // of its messages; none: by the shares of the classes, at any relay
}

// TrafficShare is a part of a destination's messages: of one class, handed in at the relays of one zone while any of them lives.
type TrafficShare struct {
	Class int
	Zone  int // of relays, from 0
	Share float64
}

// Endpoint is one of a destination's endpoints.
type Endpoint struct {
	Workers   int     // calls served at once
	Speed     float64 // work done in a unit of time by each
	QueueSize int     // calls that wait at most
	MaxConns  int     // connections at most, idle ones counted; 0: any number
	Zone      string  // where it is not its destination's
}

// SingleZone is the zone that all of a destination's endpoints name as theirs; empty: they name none, or several.
func (d *Dest) SingleZone() string {
	for _, e := range d.Endpoints {
		if e.Zone != d.Endpoints[0].Zone {
			return ""
		}
	}
	return d.Endpoints[0].Zone
}

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds of trouble. Size and Every mean what is said beside each.
const (
	Crash                FaultKind = "crash"        // connections are refused; comes back cold
	Blackhole            FaultKind = "vanish"       // nothing answers; comes back cold
	RejectAll            FaultKind = "shut"         // all calls are refused; comes back cold
	FastErrors           FaultKind = "fast_errors"  // Size of the calls fail at once
	Pauses               FaultKind = "pauses"       // stands still for Size seconds each Every
	Slow                 FaultKind = "slow"         // speed is Size of the usual
	Burst                FaultKind = "burst"        // Size times the messages, those for Dests only if any are named
	Drain                FaultKind = "drain"        // endpoints go, others come in their place
	DiscoveryOutage      FaultKind = "news_outage"  // the list's news wait for its end
	RelayCrash           FaultKind = "relay_crash"  // relays die and start again after Len
	RelayStop            FaultKind = "relay_stop"   // relays end as they are told, having said so, and start again after Len
	RelayStall           FaultKind = "relay_stall"  // relays do nothing for Len; then their clocks have gone on by as much
	LowerLimit           FaultKind = "lowered"      // the limit is Size of the usual
	Partition            FaultKind = "cut"          // relays and all others don't hear one another
	GossipReceiveLoss    FaultKind = "deaf"         // relays hear no other
	GossipSendLoss       FaultKind = "mute"         // relays are heard by no other
	DestinationPartition FaultKind = "partners_cut" // relays and all destinations, or those named, don't reach one another
	GossipLoss           FaultKind = "notes_lost"   // Size of the notes are lost
	GossipDelay          FaultKind = "notes_late"   // notes come up to Size seconds late, and so out of order
	GossipDuplication    FaultKind = "notes_twice"  // Size of the notes come twice
	SitePartition        FaultKind = "site_cut"     // a zone's relays and endpoints reach one another, and nobody else reaches them
	AnswerLoss           FaultKind = "answers_lost" // connections break after Size of the calls ran
)

// Fault is something that goes wrong.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Intensity    float64
	Period       time.Duration
	Dests        []int    // whole destinations
	Endpoints    [][2]int // single endpoints: destination and place in it
	Zone         string   // all endpoints of a zone
	Relays       []int
}

// AffectsRelays tells whether it is relays that a trouble befalls, or the ways between them.
func (t *Fault) AffectsRelays() bool {
	switch t.Kind {
	case RelayCrash, RelayStop, RelayStall, DestinationPartition, SitePartition, Partition, GossipReceiveLoss, GossipSendLoss, GossipLoss, GossipDelay, GossipDuplication:
		return true
	}
	return false
}

// Penalties are taken off the result, each times its rate; see Result.
type Penalties struct{ WastedWork, Handshake, LateFailure, RejectedCall, Gossip float64 }

// Check names the first setting that makes no day.
func (d *Scenario) Check() error {
	type figure struct {
		name     string
		v, least float64
		most     float64
	}
	inf := math.Inf(1)
	secs := time.Duration.Seconds
	figures := []figure{
		{"length", secs(d.Length), 0.1, 1e5}, {"tail", secs(d.Tail), 0, 1e5}, {"tick", secs(d.Tick), 1e-4, 10}, {"relays", float64(d.Relays), 1, 1e4},
		{"slots", float64(d.MaxConcurrentCalls), 1, 1e6}, {"hold", float64(d.MaxPending), 1, 1e7}, {"max_attempts", float64(d.MaxAttempts), 1, 1000}, {"rate", d.Rate, 0, 1e7},
		{"clumps", d.ClumpShare, 0, 1}, {"rtt", secs(d.RTT), 0, 100}, {"client", secs(d.ClientDelay), 0, 100}, {"jitter", d.Jitter, 0, 1}, {"handshake", d.HandshakeRTTs, 0, 100},
		{"idle", secs(d.IdleTimeout), 0.01, inf}, {"connect", secs(d.ConnectTimeout), 0.01, 100}, {"retries", float64(d.ClientRetries), 0, 100}, {"backoff", secs(d.ClientBackoff), 0.001, 1000},
		{"note_loss", d.GossipLoss, 0, 1}, {"zones of relays", float64(d.Zones), 0, 31}, {"honour", d.RetryAfterCompliance, 0, 1}, {"notice", secs(d.DiscoveryDelay), 0, 1000}, {"cold_from", d.ColdStartShare, 0, 1}, {"fall_multiple", d.OverloadFactor, 0, 1e6},
		{"number of classes", float64(len(d.Classes)), 1, 100}, {"number of kinds", float64(len(d.Kinds)), 1, 100}, {"number of dests", float64(len(d.Dests)), 1, 1e6},
	}
	for i, c := range d.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		figures = append(figures, figure{at + "share", c.Share, 0, inf}, figure{at + "work", secs(c.Work), 1e-6, 1e4}, figure{at + "cv", c.CV, 0, 100},
			figure{at + "noise", c.Noise, 0, 100}, figure{at + "worth", c.Value, 0, inf}, figure{at + "late_worth", c.LateValue, 0, 1},
			figure{at + "aim", secs(c.TargetLatency), 1e-3, secs(c.Deadline)})
	}
	for i, k := range d.Kinds {
		at := fmt.Sprintf("kinds[%d].", i)
		figures = append(figures, figure{at + "batch", float64(k.MaxBatch), 1, 1000}, figure{at + "tells_wait", k.RetryAfterShare, 0, 1}, figure{at + "cold_from", k.ColdStartShare, 0.001, 1},
			figure{at + "error_rate", k.ErrorRate, 0, 1}, figure{at + "item_cost", k.ItemCost, 0, 100})
		if k.Limit == WindowLimit {
			figures = append(figures, figure{at + "window", secs(k.Window), 1e-3, 1e4})
		}
	}
	share := 0.0
	for i, t := range d.Dests {
		at := fmt.Sprintf("dests[%d].", i)
		share += t.Share
		figures = append(figures, figure{at + "kind", float64(t.Kind), 0, float64(len(d.Kinds) - 1)}, figure{at + "share", t.Share, 0, inf},
			figure{at + "limit", t.Limit, 0, inf}, figure{at + "number of endpoints", float64(len(t.Endpoints)), 1, 1e4})
		if t.Kind >= 0 && t.Kind < len(d.Kinds) && d.Kinds[t.Kind].Limit != NoLimit {
			figures = append(figures, figure{at + "limit", t.Limit, 1e-3, inf})
		}
		for j, m := range t.Mix {
			figures = append(figures, figure{fmt.Sprintf("%smix[%d].class", at, j), float64(m.Class), 0, float64(len(d.Classes) - 1)},
				figure{fmt.Sprintf("%smix[%d].zone", at, j), float64(m.Zone), 0, float64(max(1, d.Zones) - 1)}, figure{fmt.Sprintf("%smix[%d].share", at, j), m.Share, 1e-9, inf})
		}
		for j, e := range t.Endpoints {
			figures = append(figures, figure{fmt.Sprintf("%sendpoints[%d].speed", at, j), e.Speed, 1e-6, 1e6},
				figure{fmt.Sprintf("%sendpoints[%d].workers", at, j), float64(e.Workers), 1, 1e6})
		}
	}
	for i, t := range d.Faults {
		at := fmt.Sprintf("troubles[%d].", i)
		figures = append(figures, figure{at + "at", secs(t.At), 0, inf}, figure{at + "len", secs(t.Duration), 0, inf}, figure{at + "size", t.Intensity, 0, 1e6})
		if t.Kind == Pauses {
			figures = append(figures, figure{at + "every", secs(t.Period), t.Intensity + 1e-3, 1e4})
		}
		if t.Kind == Slow || t.Kind == LowerLimit {
			figures = append(figures, figure{at + "size", t.Intensity, 1e-3, 1e3})
		}
		for _, n := range t.Dests {
			figures = append(figures, figure{at + "dests", float64(n), 0, float64(len(d.Dests) - 1)})
		}
		for _, p := range t.Endpoints {
			figures = append(figures, figure{at + "parts", float64(p[0]), 0, float64(len(d.Dests) - 1)})
			if p[0] >= 0 && p[0] < len(d.Dests) {
				figures = append(figures, figure{at + "parts", float64(p[1]), 0, float64(len(d.Dests[p[0]].Endpoints) - 1)})
			}
		}
		for _, n := range t.Relays {
			figures = append(figures, figure{at + "relays", float64(n), 0, float64(d.Relays - 1)})
		}
		switch t.Kind {
		case Crash, Blackhole, RejectAll, FastErrors, Pauses, Slow, LowerLimit, Drain, AnswerLoss:
			if len(t.Dests) == 0 && len(t.Endpoints) == 0 && t.Zone == "" {
				return fmt.Errorf("%sdests: names nothing that %s could hit", at, t.Kind)
			}
		case RelayCrash, RelayStop, RelayStall:
			if len(t.Relays) == 0 {
				return fmt.Errorf("%srelays: names none", at)
			}
		case SitePartition:
			if t.Zone == "" {
				return fmt.Errorf("%szone: names none", at)
			}
		case Partition, GossipReceiveLoss, GossipSendLoss, DestinationPartition:
			if len(t.Relays) == 0 && t.Zone == "" {
				return fmt.Errorf("%srelays: names none, and no zone", at)
			}
		case GossipLoss, GossipDuplication:
			figures = append(figures, figure{at + "size", t.Intensity, 0, 1})
		case GossipDelay:
			figures = append(figures, figure{at + "size", t.Intensity, 0, 60})
		case Burst, DiscoveryOutage:
		default:
			return fmt.Errorf("%skind: %q is not known", at, t.Kind)
		}
	}
	for _, f := range figures {
		if !(f.v >= f.least && f.v <= f.most) { // also where it is not a number
			return fmt.Errorf("%s: %g does not lie within %g and %g", f.name, f.v, f.least, f.most)
		}
	}
	if share <= 0 {
		return errors.New("dests: no destination has a share of the traffic")
	}
	return nil
}

// Settings are what the relays of the day are told.
func (d *Scenario) Settings() policy.Settings {
	set := policy.Settings{Relays: d.Relays, NoGossip: d.NoGossip, MaxConcurrentCalls: d.MaxConcurrentCalls, MaxPending: d.MaxPending, MaxAttempts: d.MaxAttempts, SendRetryAfter: true, MaxRetryAfter: d.MaxRetryAfter,
		Tick: d.Tick, IdleConnTimeout: d.IdleTimeout, ColdStartShare: d.ColdStartShare, WarmUpTime: d.WarmUpTime, OverloadFactor: d.OverloadFactor, OverloadTime: d.OverloadTime}
	for _, c := range d.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, k := range d.Kinds {
		set.Kinds = append(set.Kinds, policy.Kind{Name: k.Name, MaxBatch: k.MaxBatch, SeparateRoutes: k.SeparateRoutes})
	}
	for _, z := range d.endpointZones() {
		set.Zones = append(set.Zones, policy.Zone{Name: z})
	}
	return set
}

func (d *Scenario) endpointZones() (all []string) {
	seen := map[string]bool{}
	add := func(zone string) {
		if !seen[zone] {
			seen[zone] = true
			all = append(all, zone)
		}
	}
	for _, t := range d.Dests {
		for _, e := range t.Endpoints {
			add(cmp.Or(e.Zone, t.Zone))
		}
	}
	return all
}

// valueAfter is what a message is worth that is delivered so long after it was first handed in.
func (c *Class) valueAfter(after time.Duration) float64 {
	switch {
	case after <= c.TargetLatency:
		return c.Value
	case after > c.Deadline:
		return 0
	case c.Deadline == c.TargetLatency:
		return c.Value
	}
	return c.Value * (1 - (1-c.LateValue)*float64(after-c.TargetLatency)/float64(c.Deadline-c.TargetLatency))
}
