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

// Day is everything that is fixed before the first message: the world, its troubles, and the seed of its chance. Times are virtual.
type Day struct {
	Name   string
	Seed   uint64
	Length time.Duration // messages come in until then
	Tail   time.Duration // and this long at most is waited for their ends
	Tick   time.Duration // shortest time between two steps of a relay

	Relays      int
	Slots, Hold int // of each relay
	MaxAttempts int
	Rate        float64 // messages a second that come in, in the mean over Shape 1
	Shape       []Point // multiple of Rate over time; none: 1
	Clumps      float64 // share of messages that come in clumps for one destination
	ClumpFor    time.Duration

	RTT, Client   time.Duration // relay to destination and back; client to relay
	Jitter        float64       // spread of each way, as a share
	Handshake     float64       // round trips that a new connection costs
	Idle, Connect time.Duration // connections unused so long close; one that does not come up so long has failed
	AnswerSlack   time.Duration

	Classes []Class
	Kinds   []Kind
	Dests   []Dest

	Retries        int           // of a client after a refusal
	Backoff        time.Duration // before the first, doubled before each further one
	Honour         float64       // share of clients that heed advice
	MaxAdvice      time.Duration
	Again          time.Duration // after which a dead relay's messages come to a live one
	FrontNotice    time.Duration // for how long new messages still go to a dead relay
	Notice, Spread time.Duration // of list news, and how much later the last relay hears it
	Cold           time.Duration // as the settings state it, at most
	ColdFrom       float64       // as the settings state it, at least
	FallMultiple   float64
	FallFor        time.Duration
	DrainGrace     time.Duration
	Prices         Prices
	Troubles       []Trouble
	Notes          bool           // relays tell one another what they see
	Alone          bool           // relays know that they may not tell one another anything; not with Notes
	NoteLoss       float64        // share of these that are lost
	Members        bool           // and ask one another who lives
	Settle         time.Duration  // relays run on for so long behind the last message, until all agree who lives; 0: not
	Zones          int            // of relays, dealt to them in turn; 0: 1
	Choices        choice.Options // that relays share; they need Members
	Sites          *sites.Plan    // that relays act on; nil: none
	Tallied        time.Duration  // classes count messages that come in from then on
	Busy           float64        // times the mean that clients hand in at relay 0; 0: once
}

// Point is a place of a curve.
type Point struct {
	At       time.Duration
	Multiple float64
}

// Class is a class of message.
type Class struct {
	policy.Class
	Share float64
	Work  time.Duration // at a destination of speed 1
	CV    float64       // spread of the work
	Noise float64       // and of each attempt's beside it
	Exp   bool          // exponential; else lognormal
}

// Limit says how a destination counts calls.
type Limit int

// The limits.
const (
	NoLimit Limit = iota
	RateLimit
	WindowLimit
)

// Kind is a kind of destination.
type Kind struct {
	Name           string
	Batch          int
	ItemCost       float64 // work of each further message of a call, as a share
	Limit          Limit
	Window         time.Duration
	RefusedCount   bool    // refused calls use up the limit
	Reports        bool    // answers tell what is left of the limit, and the limit
	SeparateRoutes bool    // each endpoint has an even part of the limit for itself, and outages of its own
	TellsWait      float64 // share of refusals that tell a wait
	Wait           time.Duration
	ColdFrom       float64
	Cold           time.Duration
	ErrorRate      float64
	CancelsQueued  bool // a call given up while it waits does not run
}

// Dest is a destination. Its number is its place in Day.Dests.
type Dest struct {
	Kind      int
	Share     float64 // of the traffic
	Limit     float64 // calls a second from all relays, over all its endpoints
	Zone      string
	Endpoints []Endpoint
	Mix       []Mix // of its messages; none: by the shares of the classes, at any relay
}

// Mix is a part of a destination's messages: of one class, handed in at the relays of one zone while any of them lives.
type Mix struct {
	Class int
	Zone  int // of relays, from 0
	Share float64
}

// Endpoint is one of a destination's endpoints.
type Endpoint struct {
	Workers int     // calls served at once
	Speed   float64 // work done in a unit of time by each
	Queue   int     // calls that wait at most
	Conns   int     // connections at most, idle ones counted; 0: any number
	Zone    string  // where it is not its destination's
}

// OnlyZone is the zone that all of a destination's endpoints name as theirs; empty: they name none, or several.
func (d *Dest) OnlyZone() string {
	for _, e := range d.Endpoints {
		if e.Zone != d.Endpoints[0].Zone {
			return ""
		}
	}
	return d.Endpoints[0].Zone
}

// TroubleKind is a kind of trouble.
type TroubleKind string

// The kinds of trouble. Size and Every mean what is said beside each.
const (
	Crash       TroubleKind = "crash"        // connections are refused; comes back cold
	Vanish      TroubleKind = "vanish"       // nothing answers; comes back cold
	Shut        TroubleKind = "shut"         // all calls are refused; comes back cold
	FastErrors  TroubleKind = "fast_errors"  // Size of the calls fail at once
	Pauses      TroubleKind = "pauses"       // stands still for Size seconds each Every
	Slow        TroubleKind = "slow"         // speed is Size of the usual
	Burst       TroubleKind = "burst"        // Size times the messages, those for Dests only if any are named
	Drain       TroubleKind = "drain"        // endpoints go, others come in their place
	NewsOutage  TroubleKind = "news_outage"  // the list's news wait for its end
	RelayCrash  TroubleKind = "relay_crash"  // relays die and start again after Len
	RelayStop   TroubleKind = "relay_stop"   // relays end as they are told, having said so, and start again after Len
	RelayStall  TroubleKind = "relay_stall"  // relays do nothing for Len; then their clocks have gone on by as much
	Lowered     TroubleKind = "lowered"      // the limit is Size of the usual
	Cut         TroubleKind = "cut"          // relays and all others don't hear one another
	Deaf        TroubleKind = "deaf"         // relays hear no other
	Mute        TroubleKind = "mute"         // relays are heard by no other
	PartnersCut TroubleKind = "partners_cut" // relays and all destinations, or those named, don't reach one another
	NotesLost   TroubleKind = "notes_lost"   // Size of the notes are lost
	NotesLate   TroubleKind = "notes_late"   // notes come up to Size seconds late, and so out of order
	NotesTwice  TroubleKind = "notes_twice"  // Size of the notes come twice
	SiteCut     TroubleKind = "site_cut"     // a zone's relays and endpoints reach one another, and nobody else reaches them
	AnswersLost TroubleKind = "answers_lost" // connections break after Size of the calls ran
)

// Trouble is something that goes wrong.
type Trouble struct {
	Kind    TroubleKind
	At, Len time.Duration
	Size    float64
	Every   time.Duration
	Dests   []int    // whole destinations
	Parts   [][2]int // single endpoints: destination and place in it
	Zone    string   // all endpoints of a zone
	Relays  []int
}

// OfRelays tells whether it is relays that a trouble befalls, or the ways between them.
func (t *Trouble) OfRelays() bool {
	switch t.Kind {
	case RelayCrash, RelayStop, RelayStall, PartnersCut, SiteCut, Cut, Deaf, Mute, NotesLost, NotesLate, NotesTwice:
		return true
	}
	return false
}

// Prices are taken off the result, each times its rate; see Result.
type Prices struct{ Waste, Handshake, LateFail, Refused, Note float64 }

// Check names the first setting that makes no day.
func (d *Day) Check() error {
	type figure struct {
		name     string
		v, least float64
		most     float64
	}
	inf := math.Inf(1)
	secs := time.Duration.Seconds
	figures := []figure{
		{"length", secs(d.Length), 0.1, 1e5}, {"tail", secs(d.Tail), 0, 1e5}, {"tick", secs(d.Tick), 1e-4, 10}, {"relays", float64(d.Relays), 1, 1e4},
		{"slots", float64(d.Slots), 1, 1e6}, {"hold", float64(d.Hold), 1, 1e7}, {"max_attempts", float64(d.MaxAttempts), 1, 1000}, {"rate", d.Rate, 0, 1e7},
		{"clumps", d.Clumps, 0, 1}, {"rtt", secs(d.RTT), 0, 100}, {"client", secs(d.Client), 0, 100}, {"jitter", d.Jitter, 0, 1}, {"handshake", d.Handshake, 0, 100},
		{"idle", secs(d.Idle), 0.01, inf}, {"connect", secs(d.Connect), 0.01, 100}, {"retries", float64(d.Retries), 0, 100}, {"backoff", secs(d.Backoff), 0.001, 1000},
		{"note_loss", d.NoteLoss, 0, 1}, {"zones of relays", float64(d.Zones), 0, 31}, {"honour", d.Honour, 0, 1}, {"notice", secs(d.Notice), 0, 1000}, {"cold_from", d.ColdFrom, 0, 1}, {"fall_multiple", d.FallMultiple, 0, 1e6},
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
		figures = append(figures, figure{at + "batch", float64(k.Batch), 1, 1000}, figure{at + "tells_wait", k.TellsWait, 0, 1}, figure{at + "cold_from", k.ColdFrom, 0.001, 1},
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
	for i, t := range d.Troubles {
		at := fmt.Sprintf("troubles[%d].", i)
		figures = append(figures, figure{at + "at", secs(t.At), 0, inf}, figure{at + "len", secs(t.Len), 0, inf}, figure{at + "size", t.Size, 0, 1e6})
		if t.Kind == Pauses {
			figures = append(figures, figure{at + "every", secs(t.Every), t.Size + 1e-3, 1e4})
		}
		if t.Kind == Slow || t.Kind == Lowered {
			figures = append(figures, figure{at + "size", t.Size, 1e-3, 1e3})
		}
		for _, n := range t.Dests {
			figures = append(figures, figure{at + "dests", float64(n), 0, float64(len(d.Dests) - 1)})
		}
		for _, p := range t.Parts {
			figures = append(figures, figure{at + "parts", float64(p[0]), 0, float64(len(d.Dests) - 1)})
			if p[0] >= 0 && p[0] < len(d.Dests) {
				figures = append(figures, figure{at + "parts", float64(p[1]), 0, float64(len(d.Dests[p[0]].Endpoints) - 1)})
			}
		}
		for _, n := range t.Relays {
			figures = append(figures, figure{at + "relays", float64(n), 0, float64(d.Relays - 1)})
		}
		switch t.Kind {
		case Crash, Vanish, Shut, FastErrors, Pauses, Slow, Lowered, Drain, AnswersLost:
			if len(t.Dests) == 0 && len(t.Parts) == 0 && t.Zone == "" {
				return fmt.Errorf("%sdests: names nothing that %s could hit", at, t.Kind)
			}
		case RelayCrash, RelayStop, RelayStall:
			if len(t.Relays) == 0 {
				return fmt.Errorf("%srelays: names none", at)
			}
		case SiteCut:
			if t.Zone == "" {
				return fmt.Errorf("%szone: names none", at)
			}
		case Cut, Deaf, Mute, PartnersCut:
			if len(t.Relays) == 0 && t.Zone == "" {
				return fmt.Errorf("%srelays: names none, and no zone", at)
			}
		case NotesLost, NotesTwice:
			figures = append(figures, figure{at + "size", t.Size, 0, 1})
		case NotesLate:
			figures = append(figures, figure{at + "size", t.Size, 0, 60})
		case Burst, NewsOutage:
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
func (d *Day) Settings() policy.Settings {
	set := policy.Settings{Relays: d.Relays, NoGossip: d.Alone, MaxConcurrentCalls: d.Slots, MaxPending: d.Hold, MaxAttempts: d.MaxAttempts, SendRetryAfter: true, MaxRetryAfter: d.MaxAdvice,
		Tick: d.Tick, IdleConnTimeout: d.Idle, ColdStartShare: d.ColdFrom, WarmUpTime: d.Cold, OverloadFactor: d.FallMultiple, OverloadTime: d.FallFor}
	for _, c := range d.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, k := range d.Kinds {
		set.Kinds = append(set.Kinds, policy.Kind{Name: k.Name, MaxBatch: k.Batch, SeparateRoutes: k.SeparateRoutes})
	}
	for _, z := range d.zones() {
		set.Zones = append(set.Zones, policy.Zone{Name: z})
	}
	return set
}

func (d *Day) zones() (all []string) {
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

// worth is what a message is worth that is delivered so long after it was first handed in.
func (c *Class) worth(after time.Duration) float64 {
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
