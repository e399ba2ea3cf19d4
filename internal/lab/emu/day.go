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
func (f *Fault) AffectsRelays() bool {
	switch f.Kind {
	case RelayCrash, RelayStop, RelayStall, DestinationPartition, SitePartition, Partition, GossipReceiveLoss, GossipSendLoss, GossipLoss, GossipDelay, GossipDuplication:
		return true
	}
	return false
}

// Penalties are taken off the result, each times its rate; see Result.
type Penalties struct{ WastedWork, Handshake, LateFailure, RejectedCall, Gossip float64 }

// Check names the first setting that makes no day.
func (s *Scenario) Check() error {
	type boundedSetting struct {
		name           string
		value, minimum float64
		maximum        float64
	}
	inf := math.Inf(1)
	inSeconds := time.Duration.Seconds
	settings := []boundedSetting{
		{"length", inSeconds(s.Length), 0.1, 1e5}, {"tail", inSeconds(s.Tail), 0, 1e5}, {"tick", inSeconds(s.Tick), 1e-4, 10}, {"relays", float64(s.Relays), 1, 1e4},
		{"slots", float64(s.MaxConcurrentCalls), 1, 1e6}, {"hold", float64(s.MaxPending), 1, 1e7}, {"max_attempts", float64(s.MaxAttempts), 1, 1000}, {"rate", s.Rate, 0, 1e7},
		{"clumps", s.ClumpShare, 0, 1}, {"rtt", inSeconds(s.RTT), 0, 100}, {"client", inSeconds(s.ClientDelay), 0, 100}, {"jitter", s.Jitter, 0, 1}, {"handshake", s.HandshakeRTTs, 0, 100},
		{"idle", inSeconds(s.IdleTimeout), 0.01, inf}, {"connect", inSeconds(s.ConnectTimeout), 0.01, 100}, {"retries", float64(s.ClientRetries), 0, 100}, {"backoff", inSeconds(s.ClientBackoff), 0.001, 1000},
		{"note_loss", s.GossipLoss, 0, 1}, {"zones of relays", float64(s.Zones), 0, 31}, {"honour", s.RetryAfterCompliance, 0, 1}, {"notice", inSeconds(s.DiscoveryDelay), 0, 1000}, {"cold_from", s.ColdStartShare, 0, 1}, {"fall_multiple", s.OverloadFactor, 0, 1e6},
		{"number of classes", float64(len(s.Classes)), 1, 100}, {"number of kinds", float64(len(s.Kinds)), 1, 100}, {"number of dests", float64(len(s.Dests)), 1, 1e6},
	}
	for i, class := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		settings = append(settings, boundedSetting{prefix + "share", class.Share, 0, inf}, boundedSetting{prefix + "work", inSeconds(class.Work), 1e-6, 1e4}, boundedSetting{prefix + "cv", class.CV, 0, 100},
			boundedSetting{prefix + "noise", class.Noise, 0, 100}, boundedSetting{prefix + "worth", class.Value, 0, inf}, boundedSetting{prefix + "late_worth", class.LateValue, 0, 1},
			boundedSetting{prefix + "aim", inSeconds(class.TargetLatency), 1e-3, inSeconds(class.Deadline)})
	}
	for i, kind := range s.Kinds {
		prefix := fmt.Sprintf("kinds[%d].", i)
		settings = append(settings, boundedSetting{prefix + "batch", float64(kind.MaxBatch), 1, 1000}, boundedSetting{prefix + "tells_wait", kind.RetryAfterShare, 0, 1}, boundedSetting{prefix + "cold_from", kind.ColdStartShare, 0.001, 1},
			boundedSetting{prefix + "error_rate", kind.ErrorRate, 0, 1}, boundedSetting{prefix + "item_cost", kind.ItemCost, 0, 100})
		if kind.Limit == WindowLimit {
			settings = append(settings, boundedSetting{prefix + "window", inSeconds(kind.Window), 1e-3, 1e4})
		}
	}
	share := 0.0
	for i, dest := range s.Dests {
		prefix := fmt.Sprintf("dests[%d].", i)
		share += dest.Share
		settings = append(settings, boundedSetting{prefix + "kind", float64(dest.Kind), 0, float64(len(s.Kinds) - 1)}, boundedSetting{prefix + "share", dest.Share, 0, inf},
			boundedSetting{prefix + "limit", dest.Limit, 0, inf}, boundedSetting{prefix + "number of endpoints", float64(len(dest.Endpoints)), 1, 1e4})
		if dest.Kind >= 0 && dest.Kind < len(s.Kinds) && s.Kinds[dest.Kind].Limit != NoLimit {
			settings = append(settings, boundedSetting{prefix + "limit", dest.Limit, 1e-3, inf})
		}
		for j, part := range dest.Mix {
			settings = append(settings, boundedSetting{fmt.Sprintf("%smix[%d].class", prefix, j), float64(part.Class), 0, float64(len(s.Classes) - 1)},
				boundedSetting{fmt.Sprintf("%smix[%d].zone", prefix, j), float64(part.Zone), 0, float64(max(1, s.Zones) - 1)}, boundedSetting{fmt.Sprintf("%smix[%d].share", prefix, j), part.Share, 1e-9, inf})
		}
		for j, endpoint := range dest.Endpoints {
			settings = append(settings, boundedSetting{fmt.Sprintf("%sendpoints[%d].speed", prefix, j), endpoint.Speed, 1e-6, 1e6},
				boundedSetting{fmt.Sprintf("%sendpoints[%d].workers", prefix, j), float64(endpoint.Workers), 1, 1e6})
		}
	}
	for i, fault := range s.Faults {
		prefix := fmt.Sprintf("troubles[%d].", i)
		settings = append(settings, boundedSetting{prefix + "at", inSeconds(fault.At), 0, inf}, boundedSetting{prefix + "len", inSeconds(fault.Duration), 0, inf}, boundedSetting{prefix + "size", fault.Intensity, 0, 1e6})
		if fault.Kind == Pauses {
			settings = append(settings, boundedSetting{prefix + "every", inSeconds(fault.Period), fault.Intensity + 1e-3, 1e4})
		}
		if fault.Kind == Slow || fault.Kind == LowerLimit {
			settings = append(settings, boundedSetting{prefix + "size", fault.Intensity, 1e-3, 1e3})
		}
		for _, n := range fault.Dests {
			settings = append(settings, boundedSetting{prefix + "dests", float64(n), 0, float64(len(s.Dests) - 1)})
		}
		for _, ref := range fault.Endpoints {
			settings = append(settings, boundedSetting{prefix + "parts", float64(ref[0]), 0, float64(len(s.Dests) - 1)})
			if ref[0] >= 0 && ref[0] < len(s.Dests) {
				settings = append(settings, boundedSetting{prefix + "parts", float64(ref[1]), 0, float64(len(s.Dests[ref[0]].Endpoints) - 1)})
			}
		}
		for _, n := range fault.Relays {
			settings = append(settings, boundedSetting{prefix + "relays", float64(n), 0, float64(s.Relays - 1)})
		}
		switch fault.Kind {
		case Crash, Blackhole, RejectAll, FastErrors, Pauses, Slow, LowerLimit, Drain, AnswerLoss:
			if len(fault.Dests) == 0 && len(fault.Endpoints) == 0 && fault.Zone == "" {
				return fmt.Errorf("%sdests: names nothing that %s could hit", prefix, fault.Kind)
			}
		case RelayCrash, RelayStop, RelayStall:
			if len(fault.Relays) == 0 {
				return fmt.Errorf("%srelays: names none", prefix)
			}
		case SitePartition:
			if fault.Zone == "" {
				return fmt.Errorf("%szone: names none", prefix)
			}
		case Partition, GossipReceiveLoss, GossipSendLoss, DestinationPartition:
			if len(fault.Relays) == 0 && fault.Zone == "" {
				return fmt.Errorf("%srelays: names none, and no zone", prefix)
			}
		case GossipLoss, GossipDuplication:
			settings = append(settings, boundedSetting{prefix + "size", fault.Intensity, 0, 1})
		case GossipDelay:
			settings = append(settings, boundedSetting{prefix + "size", fault.Intensity, 0, 60})
		case Burst, DiscoveryOutage:
		default:
			return fmt.Errorf("%skind: %q is not known", prefix, fault.Kind)
		}
	}
	for _, setting := range settings {
		if !(setting.value >= setting.minimum && setting.value <= setting.maximum) { // also where it is not a number
			return fmt.Errorf("%s: %g does not lie within %g and %g", setting.name, setting.value, setting.minimum, setting.maximum)
		}
	}
	if share <= 0 {
		return errors.New("dests: no destination has a share of the traffic")
	}
	return nil
}

// Settings are what the relays of the day are told.
func (s *Scenario) Settings() policy.Settings {
	settings := policy.Settings{Relays: s.Relays, NoGossip: s.NoGossip, MaxConcurrentCalls: s.MaxConcurrentCalls, MaxPending: s.MaxPending, MaxAttempts: s.MaxAttempts, SendRetryAfter: true, MaxRetryAfter: s.MaxRetryAfter,
		Tick: s.Tick, IdleConnTimeout: s.IdleTimeout, ColdStartShare: s.ColdStartShare, WarmUpTime: s.WarmUpTime, OverloadFactor: s.OverloadFactor, OverloadTime: s.OverloadTime}
	for _, class := range s.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for _, kind := range s.Kinds {
		settings.Kinds = append(settings.Kinds, policy.Kind{Name: kind.Name, MaxBatch: kind.MaxBatch, SeparateRoutes: kind.SeparateRoutes})
	}
	for _, zone := range s.endpointZones() {
		settings.Zones = append(settings.Zones, policy.Zone{Name: zone})
	}
	return settings
}

func (s *Scenario) endpointZones() (all []string) {
	seen := map[string]bool{}
	add := func(zone string) {
		if !seen[zone] {
			seen[zone] = true
			all = append(all, zone)
		}
	}
	for _, dest := range s.Dests {
		for _, endpoint := range dest.Endpoints {
			add(cmp.Or(endpoint.Zone, dest.Zone))
		}
	}
	return all
}

// valueAfter is what a message is worth that is delivered so long after it was first handed in.
func (c *Class) valueAfter(latency time.Duration) float64 {
	switch {
	case latency <= c.TargetLatency:
		return c.Value
	case latency > c.Deadline:
		return 0
	case c.Deadline == c.TargetLatency:
		return c.Value
	}
	return c.Value * (1 - (1-c.LateValue)*float64(latency-c.TargetLatency)/float64(c.Deadline-c.TargetLatency))
}
