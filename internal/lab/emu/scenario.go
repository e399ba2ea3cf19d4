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

// Scenario is everything that is fixed before a run: clients, relays, destinations, faults and the
// random seed. All times are virtual.
type Scenario struct {
	Name   string
	Seed   uint64
	Length time.Duration // during which messages are submitted
	Tail   time.Duration // longest wait for open messages after Length
	Tick   time.Duration // shortest time between two steps of a relay

	Relays int

	MaxConcurrentCalls, MaxPending int // of each relay

	MaxAttempts   int
	Rate          float64       // mean messages per second where Shape is 1
	Shape         []LoadPoint   // multiple of Rate over time; empty: 1
	ClumpShare    float64       // share of messages that arrive in clumps for one destination
	ClumpDuration time.Duration // a clump is what the destination can take in this time

	RTT, ClientDelay time.Duration // relay to destination and back; client to relay
	Jitter           float64       // largest deviation of a one-way delay, as a share of it
	HandshakeRTTs    float64       // round trips that opening a connection takes
	IdleTimeout      time.Duration // after which unused connections are closed
	ConnectTimeout   time.Duration
	AnswerSlack      time.Duration // by which a final answer may follow the deadline

	Classes []Class
	Kinds   []Kind
	Dests   []Dest

	ClientRetries          int            // after a rejection
	ClientBackoff          time.Duration  // before the first retry, doubled before each further one
	RetryAfterCompliance   float64        // share of clients that heed Retry-After
	MaxRetryAfter          time.Duration  // longest Retry-After that clients heed
	ResubmitDelay          time.Duration  // after which messages of a dead relay are submitted to another one
	BalancerDetectionDelay time.Duration  // during which a dead relay still gets new messages
	DiscoveryDelay         time.Duration  // of updates of the endpoint list
	DiscoverySpread        time.Duration  // between the first and the last relay that receives an update
	WarmUpTime             time.Duration  // upper bound that the settings state
	ColdStartShare         float64        // lower bound that the settings state
	OverloadFactor         float64        // a cold destination fails when offered this multiple of its capacity ...
	OverloadTime           time.Duration  // ... over this time
	DrainGrace             time.Duration  // during which calls to a draining endpoint are still allowed
	Penalties              Penalties      // subtracted from the score
	Faults                 []Fault        // injected faults
	Gossip                 bool           // relays exchange what they observe
	NoGossip               bool           // relays know that they must not gossip; excludes Gossip
	GossipLoss             float64        // share of gossip messages that are lost
	Membership             bool           // relays run failure detection on one another
	SettleTime             time.Duration  // time after the last message for relays to agree on the members; 0: none
	Zones                  int            // of relays, assigned round-robin; 0: 1
	Choices                choice.Options // that relays share; they need Membership
	Sites                  *sites.Plan    // that relays act on; nil: none
	TallyFrom              time.Duration  // classes count messages that are submitted from then on
	HotRelayFactor         float64        // load of relay 0 as a multiple of the mean; 0: 1
}

// LoadPoint is one point of a load curve; values between points are interpolated linearly.
type LoadPoint struct {
	At       time.Duration
	Multiple float64
}

// Class is a class of messages.
type Class struct {
	policy.Class
	Share       float64       // of all messages
	Work        time.Duration // mean at a destination of speed 1
	CV          float64       // coefficient of variation of the work of messages
	Noise       float64       // coefficient of variation between attempts of one message
	Exponential bool          // work is distributed exponentially instead of lognormally
}

// LimitKind says how a destination limits calls.
type LimitKind int

// Kinds of limits.
const (
	NoLimit     LimitKind = iota
	RateLimit             // token bucket
	WindowLimit           // calls per fixed window
)

// Kind is a kind of destination.
type Kind struct {
	Name            string
	MaxBatch        int           // messages per call
	ItemCost        float64       // work of each further message of a call, as a share of its own
	Limit           LimitKind     // of calls
	Window          time.Duration // of a WindowLimit
	CountsRejected  bool          // rejected calls use up the limit
	ReportsLimit    bool          // answers report the limit and what is left of it
	SeparateRoutes  bool          // each endpoint has an equal part of the limit and fails separately
	RetryAfterShare float64       // share of rejections that carry a Retry-After
	RetryAfter      time.Duration // mean of these
	ColdStartShare  float64       // capacity right after an outage, as a share of the full one
	WarmUpTime      time.Duration // from ColdStartShare to full capacity
	ErrorRate       float64       // share of calls that are answered with an error
	CancelsQueued   bool          // queued calls that the relay has abandoned are not served
}

// Dest is a destination. Its number is its index in Scenario.Dests.
type Dest struct {
	Kind      int     // index in Scenario.Kinds
	Share     float64 // of the traffic
	Limit     float64 // calls per second from all relays to all its endpoints
	Zone      string
	Endpoints []Endpoint
	Mix       []TrafficShare // of its messages; empty: by the shares of the classes, at any relay
}

// TrafficShare is a part of a destination's messages: those of one class that are submitted to the
// relays of one zone while any of these is up.
type TrafficShare struct {
	Class int // index in Scenario.Classes
	Zone  int // of relays, from 0
	Share float64
}

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	Workers   int     // calls served at once
	Speed     float64 // of each worker; 1 does a second of work per second
	QueueSize int     // calls that wait at most
	MaxConns  int     // open connections, idle ones included; 0: no limit
	Zone      string  // empty: that of its destination
}

// SingleZone returns the zone that all endpoints of the destination name; empty if they name none
// or several.
func (d *Dest) SingleZone() string {
	for _, e := range d.Endpoints {
		if e.Zone != d.Endpoints[0].Zone {
			return ""
		}
	}
	return d.Endpoints[0].Zone
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. The comments say what Intensity and Period of the fault mean.
const (
	Crash                FaultKind = "crash"        // connections are refused; recovers cold
	Blackhole            FaultKind = "vanish"       // nothing answers; recovers cold
	RejectAll            FaultKind = "shut"         // all calls are rejected; recovers cold
	FastErrors           FaultKind = "fast_errors"  // a share Intensity of the calls fails at once
	Pauses               FaultKind = "pauses"       // processing stops for Intensity seconds each Period
	Slow                 FaultKind = "slow"         // speed is multiplied by Intensity
	Burst                FaultKind = "burst"        // traffic, or that of Dests if named, is multiplied by Intensity
	Drain                FaultKind = "drain"        // endpoints are drained and replaced
	DiscoveryOutage      FaultKind = "news_outage"  // updates of the endpoint list are delayed until its end
	RelayCrash           FaultKind = "relay_crash"  // relays die and restart after Duration
	RelayStop            FaultKind = "relay_stop"   // relays announce that they leave, stop and restart after Duration
	RelayStall           FaultKind = "relay_stall"  // relays do nothing for Duration while their clocks run on
	LowerLimit           FaultKind = "lowered"      // the limit is multiplied by Intensity
	Partition            FaultKind = "cut"          // relays and all others don't receive each other's gossip
	GossipReceiveLoss    FaultKind = "deaf"         // relays receive no gossip
	GossipSendLoss       FaultKind = "mute"         // gossip of the relays reaches nobody
	DestinationPartition FaultKind = "partners_cut" // relays and all destinations, or those named, don't reach each other
	GossipLoss           FaultKind = "notes_lost"   // a share Intensity of the gossip is lost
	GossipDelay          FaultKind = "notes_late"   // gossip is up to Intensity seconds late, so it is reordered
	GossipDuplication    FaultKind = "notes_twice"  // a share Intensity of the gossip arrives twice
	SitePartition        FaultKind = "site_cut"     // a zone's relays and endpoints reach each other and nobody else
	AnswerLoss           FaultKind = "answers_lost" // connections break after a share Intensity of the calls has run
)

// Fault is an injected fault.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Intensity    float64 // meaning and unit depend on Kind
	Period       time.Duration
	Dests        []int    // whole destinations
	Endpoints    [][2]int // single endpoints: destination and index in it
	Zone         string   // all endpoints of a zone, or its relays
	Relays       []int
}

// AffectsRelays reports whether the fault affects relays or the network between them.
func (f *Fault) AffectsRelays() bool {
	switch f.Kind {
	case RelayCrash, RelayStop, RelayStall, DestinationPartition, SitePartition, Partition,
		GossipReceiveLoss, GossipSendLoss, GossipLoss, GossipDelay, GossipDuplication:
		return true
	}
	return false
}

// Penalties are the weights of what is subtracted from Result.G.
type Penalties struct {
	WastedWork   float64 // times work without delivery, as a share of the work asked for
	Handshake    float64 // times new connections per request
	LateFailure  float64 // times the value that failed after its target latency, as a share of all
	RejectedCall float64 // times rejected calls per request
	Gossip       float64 // times 256-byte units of gossip per request
}

// Check returns an error that names the first invalid setting by its key.
func (s *Scenario) Check() error {
	type boundedSetting struct {
		name           string
		value, minimum float64
		maximum        float64
	}
	inf := math.Inf(1)
	inSeconds := time.Duration.Seconds
	settings := []boundedSetting{
		{"length", inSeconds(s.Length), 0.1, 1e5},
		{"tail", inSeconds(s.Tail), 0, 1e5},
		{"tick", inSeconds(s.Tick), 1e-4, 10},
		{"relays", float64(s.Relays), 1, 1e4},
		{"slots", float64(s.MaxConcurrentCalls), 1, 1e6},
		{"hold", float64(s.MaxPending), 1, 1e7},
		{"max_attempts", float64(s.MaxAttempts), 1, 1000},
		{"rate", s.Rate, 0, 1e7},
		{"clumps", s.ClumpShare, 0, 1},
		{"rtt", inSeconds(s.RTT), 0, 100},
		{"client", inSeconds(s.ClientDelay), 0, 100},
		{"jitter", s.Jitter, 0, 1},
		{"handshake", s.HandshakeRTTs, 0, 100},
		{"idle", inSeconds(s.IdleTimeout), 0.01, inf},
		{"connect", inSeconds(s.ConnectTimeout), 0.01, 100},
		{"retries", float64(s.ClientRetries), 0, 100},
		{"backoff", inSeconds(s.ClientBackoff), 0.001, 1000},
		{"note_loss", s.GossipLoss, 0, 1},
		{"zones of relays", float64(s.Zones), 0, 31},
		{"honour", s.RetryAfterCompliance, 0, 1},
		{"notice", inSeconds(s.DiscoveryDelay), 0, 1000},
		{"cold_from", s.ColdStartShare, 0, 1},
		{"fall_multiple", s.OverloadFactor, 0, 1e6},
		{"number of classes", float64(len(s.Classes)), 1, 100},
		{"number of kinds", float64(len(s.Kinds)), 1, 100},
		{"number of dests", float64(len(s.Dests)), 1, 1e6},
	}
	for i, class := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		settings = append(
			settings,
			boundedSetting{prefix + "share", class.Share, 0, inf},
			boundedSetting{prefix + "work", inSeconds(class.Work), 1e-6, 1e4},
			boundedSetting{prefix + "cv", class.CV, 0, 100},
			boundedSetting{prefix + "noise", class.Noise, 0, 100},
			boundedSetting{prefix + "worth", class.Value, 0, inf},
			boundedSetting{prefix + "late_worth", class.LateValue, 0, 1},
			boundedSetting{prefix + "aim", inSeconds(class.TargetLatency), 1e-3, inSeconds(class.Deadline)},
		)
	}
	for i, kind := range s.Kinds {
		prefix := fmt.Sprintf("kinds[%d].", i)
		settings = append(
			settings,
			boundedSetting{prefix + "batch", float64(kind.MaxBatch), 1, 1000},
			boundedSetting{prefix + "tells_wait", kind.RetryAfterShare, 0, 1},
			boundedSetting{prefix + "cold_from", kind.ColdStartShare, 0.001, 1},
			boundedSetting{prefix + "error_rate", kind.ErrorRate, 0, 1},
			boundedSetting{prefix + "item_cost", kind.ItemCost, 0, 100},
		)
		if kind.Limit == WindowLimit {
			settings = append(settings, boundedSetting{prefix + "window", inSeconds(kind.Window), 1e-3, 1e4})
		}
	}
	share := 0.0
	for i, dest := range s.Dests {
		prefix := fmt.Sprintf("dests[%d].", i)
		share += dest.Share
		settings = append(
			settings,
			boundedSetting{prefix + "kind", float64(dest.Kind), 0, float64(len(s.Kinds) - 1)},
			boundedSetting{prefix + "share", dest.Share, 0, inf},
			boundedSetting{prefix + "limit", dest.Limit, 0, inf},
			boundedSetting{prefix + "number of endpoints", float64(len(dest.Endpoints)), 1, 1e4},
		)
		if dest.Kind >= 0 && dest.Kind < len(s.Kinds) && s.Kinds[dest.Kind].Limit != NoLimit {
			settings = append(settings, boundedSetting{prefix + "limit", dest.Limit, 1e-3, inf})
		}
		for j, part := range dest.Mix {
			settings = append(
				settings,
				boundedSetting{fmt.Sprintf("%smix[%d].class", prefix, j), float64(part.Class), 0,
					float64(len(s.Classes) - 1)},
				boundedSetting{fmt.Sprintf("%smix[%d].zone", prefix, j), float64(part.Zone), 0, float64(max(1, s.Zones) - 1)},
				boundedSetting{fmt.Sprintf("%smix[%d].share", prefix, j), part.Share, 1e-9, inf},
			)
		}
		for j, endpoint := range dest.Endpoints {
			settings = append(
				settings,
				boundedSetting{fmt.Sprintf("%sendpoints[%d].speed", prefix, j), endpoint.Speed, 1e-6, 1e6},
				boundedSetting{fmt.Sprintf("%sendpoints[%d].workers", prefix, j), float64(endpoint.Workers), 1, 1e6},
			)
		}
	}
	for i, fault := range s.Faults {
		prefix := fmt.Sprintf("troubles[%d].", i)
		settings = append(
			settings,
			boundedSetting{prefix + "at", inSeconds(fault.At), 0, inf},
			boundedSetting{prefix + "len", inSeconds(fault.Duration), 0, inf},
			boundedSetting{prefix + "size", fault.Intensity, 0, 1e6},
		)
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
				settings = append(settings, boundedSetting{prefix + "parts", float64(ref[1]), 0,
					float64(len(s.Dests[ref[0]].Endpoints) - 1)})
			}
		}
		for _, n := range fault.Relays {
			settings = append(settings, boundedSetting{prefix + "relays", float64(n), 0, float64(s.Relays - 1)})
		}
		switch fault.Kind {
		case Crash, Blackhole, RejectAll, FastErrors, Pauses, Slow, LowerLimit, Drain, AnswerLoss:
			if len(fault.Dests) == 0 && len(fault.Endpoints) == 0 && fault.Zone == "" {
				return fmt.Errorf("%sdests: names nothing that %s can affect", prefix, fault.Kind)
			}
		case RelayCrash, RelayStop, RelayStall:
			if len(fault.Relays) == 0 {
				return fmt.Errorf("%srelays: names no relay", prefix)
			}
		case SitePartition:
			if fault.Zone == "" {
				return fmt.Errorf("%szone: is missing", prefix)
			}
		case Partition, GossipReceiveLoss, GossipSendLoss, DestinationPartition:
			if len(fault.Relays) == 0 && fault.Zone == "" {
				return fmt.Errorf("%srelays: names no relay and no zone", prefix)
			}
		case GossipLoss, GossipDuplication:
			settings = append(settings, boundedSetting{prefix + "size", fault.Intensity, 0, 1})
		case GossipDelay:
			settings = append(settings, boundedSetting{prefix + "size", fault.Intensity, 0, 60})
		case Burst, DiscoveryOutage:
		default:
			return fmt.Errorf("%skind: unknown kind %q", prefix, fault.Kind)
		}
	}
	for _, setting := range settings {
		if !(setting.value >= setting.minimum && setting.value <= setting.maximum) { // also true for NaN
			return fmt.Errorf("%s: %g is not between %g and %g", setting.name, setting.value, setting.minimum, setting.maximum)
		}
	}
	if share <= 0 {
		return errors.New("dests: no destination has a share of the traffic")
	}
	return nil
}

// Settings returns the policy settings of the relays of the scenario.
func (s *Scenario) Settings() policy.Settings {
	settings := policy.Settings{
		Relays:             s.Relays,
		NoGossip:           s.NoGossip,
		MaxConcurrentCalls: s.MaxConcurrentCalls,
		MaxPending:         s.MaxPending,
		MaxAttempts:        s.MaxAttempts,
		SendRetryAfter:     true,
		MaxRetryAfter:      s.MaxRetryAfter,
		Tick:               s.Tick,
		IdleConnTimeout:    s.IdleTimeout,
		ColdStartShare:     s.ColdStartShare,
		WarmUpTime:         s.WarmUpTime,
		OverloadFactor:     s.OverloadFactor,
		OverloadTime:       s.OverloadTime,
	}
	for _, class := range s.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for _, kind := range s.Kinds {
		settings.Kinds = append(settings.Kinds, policy.Kind{Name: kind.Name, MaxBatch: kind.MaxBatch,
			SeparateRoutes: kind.SeparateRoutes})
	}
	for _, zone := range s.endpointZones() {
		settings.Zones = append(settings.Zones, policy.Zone{Name: zone})
	}
	return settings
}

// endpointZones returns the zones of all endpoints in order of first use.
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

// valueAfter returns the value of a message that is delivered latency after its first submission.
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
