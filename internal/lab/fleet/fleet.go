// Package fleet plays days with real relays in processes of their own: links between them that lose, delay and cut, scripted partners and
// platform, and clients from the library, all on loopback. The days are those that internal/lab/emu plays in virtual time.
//
// A day's clock is the messages that clients have offered: a trouble begins and ends with a counted one, so that a machine that is busy
// plays the day slower, and to the same end. What relays did is judged from the ledgers of the stand-ins and the relays' logs.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oatfold/internal/lab/emu"
	"oatfold/internal/peers/members"
	"oatfold/internal/testdouble"
	"oatfold/internal/testdouble/faultnet"
)

// Bounds of a day that processes can play.
const (
	leastRelays, mostRelays = 2, 40
	mostRate                = 200.0 // messages a second
	mostMessages            = 20_000

	whole    = 20 * members.Period // virtual time: how long a fleet may take to know itself
	coldRate = 60.0                // calls a second that a partner takes that is in one site alone, and comes back cold with it
	coldFor  = 6 * time.Second

	settle = 90 * time.Second // virtual time, for all to agree behind a day's end
	hang   = 60 * time.Second // of a process's side of the same; it bounds a hang and measures nothing
)

// Config sets a run.
type Config struct {
	Scenario    *emu.Scenario
	Seed        uint64
	RelayBinary string // the relay
	OutDir      string // folder for logs and results; empty: none are kept

	OperatorFile  string                          // file that the relays are started with; empty: none
	InspectRelays func([]*testdouble.Relay) error // asked of the relays when the day's messages have ended; nil: nothing
}

// Result is what came of a run.
type Result struct {
	Day      string
	Seed     uint64
	Verdict  Verdict
	Seen     []Seen
	Offered  int
	Taken    int
	Ran      int
	Refused  int     // calls that partners turned away above their limits
	Sent     int     // notes
	Bytes    int     // of notes
	Seconds  float64 // from the fleet's being whole to the day's end
	Troubles []string
}

// Playable names the first thing for which a day can't be played with processes.
func Playable(d *emu.Scenario) error {
	if d.Relays < leastRelays || d.Relays > mostRelays {
		return fmt.Errorf("relays: %d does not lie within %d and %d", d.Relays, leastRelays, mostRelays)
	}
	if !d.Membership {
		return errors.New("members: a fleet's day asks who lives")
	}
	if d.Rate <= 0 || d.Rate > mostRate || d.Rate*d.Length.Seconds() > mostMessages {
		return fmt.Errorf("rate: %.0f messages a second for %v are none, or more than %.0f a second or %d in all", d.Rate, d.Length, mostRate, mostMessages)
	}
	for i, t := range d.Faults {
		switch t.Kind {
		case emu.Blackhole, emu.RejectAll, emu.Crash, emu.LowerLimit:
			if len(t.Endpoints) > 0 && t.Kind != emu.Crash {
				return fmt.Errorf("troubles[%d].parts: single endpoints can crash only", i)
			}
		default:
			if !t.AffectsRelays() {
				return fmt.Errorf("troubles[%d].kind: %q is played in virtual time only", i, t.Kind)
			}
		}
		if t.At < whole {
			return fmt.Errorf("troubles[%d].at: %v: a fleet takes up to %v to know itself", i, t.At, whole)
		}
	}
	return nil
}

// run is a day at work.
type run struct {
	set    Config
	day    *emu.Scenario
	world  *testdouble.Environment
	net    *faultnet.Network
	relays []*testdouble.Relay
	routes [][]route // of each relay
	logs   []*os.File

	mu      sync.Mutex
	seen    []Seen
	since   time.Time // the fleet is whole; zero: not yet
	hands   []Hand
	holding map[int]bool // troubles that hold now
	down    map[int]bool // relays that are to be down now
	stalled map[int]int
	faults  []string
	ending  atomic.Bool // the relays are told to end
}

// Run plays a day and judges it.
func Run(ctx context.Context, set Config) (*Result, error) {
	if err := Playable(set.Scenario); err != nil {
		return nil, err
	}
	r := &run{set: set, day: set.Scenario, holding: map[int]bool{}, down: map[int]bool{}, stalled: map[int]int{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.until(ctx, "all relays to know one another", r.agreed); err != nil {
		return nil, fmt.Errorf("%w: %s", err, r.disagreement())
	}
	r.mu.Lock()
	r.since, r.seen = time.Now(), nil
	r.mu.Unlock()
	if err := r.offer(ctx); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// partners are the day's destinations as stand-ins.
func (r *run) partners() (all []testdouble.PartnerConfig) {
	for i, d := range r.day.Dests {
		k := r.day.Kinds[d.Kind]
		p := testdouble.PartnerConfig{Dest: 1 + i, Endpoints: len(d.Endpoints), ServiceTime: 3 * time.Millisecond, Zone: d.Zone}
		if k.MaxBatch > 1 {
			p.Kind = "broker"
		}
		if d.Endpoints[0].Zone != "" {
			for _, e := range d.Endpoints {
				p.EndpointZones = append(p.EndpointZones, e.Zone)
			}
		}
		if one := d.SingleZone(); one != "" {
			p.Rate, p.Burst, p.ColdRateShare, p.WarmUpTime, p.OverloadFactor = coldRate, coldRate, k.ColdStartShare, coldFor, r.day.OverloadFactor
		}
		if k.Limit == emu.RateLimit {
			p.Rate, p.Burst, p.RetryAfter = d.Limit, max(1, d.Limit/2), k.RetryAfter
		}
		all = append(all, p)
	}
	return all
}

func (r *run) classes() (all []testdouble.Class) {
	for _, c := range r.day.Classes {
		all = append(all, testdouble.Class{Name: c.Name, Effect: []string{"safe", "keyed", "unsafe"}[c.Effect], TargetLatency: c.TargetLatency, Deadline: c.Deadline, RepeatWindow: max(c.RepeatWindow, time.Second),
			Value: c.Value, LateValue: c.LateValue})
	}
	return all
}

// start starts the world and its relays, side by side.
func (r *run) start() (err error) {
	if r.world, err = testdouble.NewEnvironment(testdouble.Config{Seed: r.set.Seed, Partners: r.partners(), Classes: r.classes(), FleetSize: r.day.Relays, MaxPending: 500}); err != nil {
		return err
	}
	var listen []string
	for range r.day.Relays {
		addr, err := testdouble.ReserveAddr() // of an address of its own: the ways' sockets take ports of 127.0.0.1
		if err != nil {
			return err
		}
		listen = append(listen, addr)
	}
	if r.net, err = faultnet.New(listen, r.set.Seed); err != nil {
		return err
	}
	var zones []string
	for z := range max(1, r.day.Zones) {
		zones = append(zones, fmt.Sprintf("zone-%d", 1+z))
	}
	errs := make([]error, r.day.Relays)
	var all sync.WaitGroup
	r.routes = make([][]route, r.day.Relays)
	for n := range r.day.Relays {
		discovery, err := r.reach(n)
		if err != nil {
			return err
		}
		seat := &testdouble.FleetConfig{Number: n, PeerListen: listen[n], Peers: r.net.PeerAddrs(n), Zone: zones[r.day.ZoneOf(n)], Zones: zones, Members: "on", Choices: r.day.Choices.String(), DiscoveryAddr: discovery}
		if r.set.OutDir != "" {
			f, err := os.Create(filepath.Join(r.set.OutDir, fmt.Sprintf("relay-%02d.log", n)))
			if err != nil {
				return err
			}
			r.logs = append(r.logs, f)
			seat.OnLogLine = func(line string) { fmt.Fprintln(f, line); r.tap(n, line) }
		} else {
			seat.OnLogLine = func(line string) { r.tap(n, line) }
		}
		args := []string{"--log", "debug"}
		if r.set.OperatorFile != "" {
			args = append(args, "--operator", r.set.OperatorFile)
		}
		relay, err := r.world.NewFleetRelay(r.set.RelayBinary, seat, args...)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		all.Go(func() { errs[n] = relay.Start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// tap reads a line of a relay's log.
func (r *run) tap(by int, line string) {
	s, at, ok := parse(by, line)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok && strings.Contains(line, "msg=ready ") {
		s, at, ok = Seen{By: int32(by), Number: int32(by), To: started}, time.Now(), true
	}
	if !ok || r.ending.Load() {
		return
	}
	for i := range r.day.Faults {
		if r.holding[i] {
			s.Troubles += fmt.Sprintf("%d ", i)
		}
	}
	s.AtMs = at.Sub(r.since).Milliseconds()
	r.seen = append(r.seen, s)
}

// route is a relay's own way to an endpoint of a destination.
type route struct {
	dest, end int // their places in the day
	way       *faultnet.TCPProxy
}

// reach opens a relay's own ways to all partners and to the platform, and returns the platform's address for it.
func (r *run) reach(n int) (string, error) {
	at := map[string]string{}
	for i := range r.day.Dests {
		for e, addr := range r.world.Partners[1+i].Addresses() {
			way, err := faultnet.NewTCPProxy(addr)
			if err != nil {
				return "", err
			}
			r.routes[n] = append(r.routes[n], route{i, e, way})
			at[addr] = way.Addr
		}
	}
	return r.world.Platform.ServeWithAddresses(at)
}
