// Package fleet runs scenarios with real relays in processes of their own, all on loopback: a
// network between them that loses, delays and blocks messages, scripted partners and platform, and
// clients of the client library. internal/lab/emu runs the same scenarios in virtual time.
//
// The clock of a run is the number of messages submitted: a fault begins and ends with a given
// message, so that a busy machine runs the scenario more slowly and with the same outcome. The
// relays are judged by the effect logs of the test doubles and by their own logs.
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

// Bounds of scenarios that processes can play.
const (
	minRelays, maxRelays = 2, 40
	maxRate              = 200.0 // messages per second
	maxMessages          = 20_000

	fleetStartTime   = 20 * members.Period // virtual time in which a starting fleet must agree
	singleZoneRate   = 60.0                // calls per second that a partner in a single zone accepts
	singleZoneWarmUp = 6 * time.Second

	settleTime  = 90 * time.Second // virtual time in which all must agree after the scenario
	waitTimeout = 60 * time.Second // the same for processes; it bounds a hang
)

// Config configures a run.
type Config struct {
	Scenario    *emu.Scenario
	Seed        uint64
	RelayBinary string // path of the relay's program
	OutDir      string // directory for logs and results; none are kept if empty

	OperatorFile  string                          // operator's file for the relays; optional
	InspectRelays func([]*testdouble.Relay) error // checks the relays after the last message is completed; optional
}

// Result is the result of a run.
type Result struct {
	Day      string
	Seed     uint64
	Verdict  Verdict
	Seen     []Seen
	Offered  int
	Taken    int
	Ran      int
	Refused  int     // calls that partners rejected above their limits
	Sent     int     // gossip messages
	Bytes    int     // of gossip messages
	Seconds  float64 // from the complete fleet to the end of the run
	Troubles []string
}

// Playable returns an error that names the first part of a scenario that processes can't play.
func Playable(scenario *emu.Scenario) error {
	if scenario.Relays < minRelays || scenario.Relays > maxRelays {
		return fmt.Errorf("relays: %d is not between %d and %d", scenario.Relays, minRelays, maxRelays)
	}
	if !scenario.Membership {
		return errors.New("members: the scenario must enable membership")
	}
	if scenario.Rate <= 0 || scenario.Rate > maxRate || scenario.Rate*scenario.Length.Seconds() > maxMessages {
		return fmt.Errorf("rate: %.0f messages per second for %v: no messages, or more than %.0f per second or %d in total",
			scenario.Rate, scenario.Length, maxRate, maxMessages)
	}
	for i, fault := range scenario.Faults {
		switch fault.Kind {
		case emu.Blackhole, emu.RejectAll, emu.Crash, emu.LowerLimit:
			if len(fault.Endpoints) > 0 && fault.Kind != emu.Crash {
				return fmt.Errorf("troubles[%d].parts: single endpoints can only crash", i)
			}
		default:
			if !fault.AffectsRelays() {
				return fmt.Errorf("troubles[%d].kind: %q is supported in virtual time only", i, fault.Kind)
			}
		}
		if fault.At < fleetStartTime {
			return fmt.Errorf("troubles[%d].at: %v: a fleet takes up to %v to start", i, fault.At, fleetStartTime)
		}
	}
	return nil
}

// run is the state of a running scenario.
type run struct {
	config   Config
	scenario *emu.Scenario
	env      *testdouble.Environment
	network  *faultnet.Network
	relays   []*testdouble.Relay
	routes   [][]proxyRoute // by relay
	logFiles []*os.File

	mu           sync.Mutex
	changes      []Seen
	startedAt    time.Time // when the fleet was complete; zero before
	submissions  []Submission
	activeFaults map[int]bool // by index
	down         map[int]bool // relays that are meant to be stopped
	stallCounts  map[int]int
	faults       []string
	stopping     atomic.Bool // the relays are being stopped
}

// Run runs a scenario and judges it.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := Playable(config.Scenario); err != nil {
		return nil, err
	}
	r := &run{config: config, scenario: config.Scenario, activeFaults: map[int]bool{}, down: map[int]bool{},
		stallCounts: map[int]int{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.waitUntil(ctx, "all relays to know one another", r.membersAgree); err != nil {
		return nil, fmt.Errorf("%w: %s", err, r.memberDisagreement())
	}
	r.mu.Lock()
	r.startedAt, r.changes = time.Now(), nil
	r.mu.Unlock()
	if err := r.submitMessages(ctx); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

// reportFault adds a fault to the verdict.
func (r *run) reportFault(format string, args ...any) {
	r.mu.Lock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// partners returns the scenario's destinations as test doubles.
func (r *run) partners() (all []testdouble.PartnerConfig) {
	for i, dest := range r.scenario.Dests {
		kind := r.scenario.Kinds[dest.Kind]
		partner := testdouble.PartnerConfig{Dest: 1 + i, Endpoints: len(dest.Endpoints),
			ServiceTime: 3 * time.Millisecond, Zone: dest.Zone}
		if kind.MaxBatch > 1 {
			partner.Kind = "broker"
		}
		if dest.Endpoints[0].Zone != "" {
			for _, endpoint := range dest.Endpoints {
				partner.EndpointZones = append(partner.EndpointZones, endpoint.Zone)
			}
		}
		if zone := dest.SingleZone(); zone != "" {
			partner.Rate, partner.Burst, partner.ColdRateShare, partner.WarmUpTime, partner.OverloadFactor =
				singleZoneRate, singleZoneRate, kind.ColdStartShare, singleZoneWarmUp, r.scenario.OverloadFactor
		}
		if kind.Limit == emu.RateLimit {
			partner.Rate, partner.Burst, partner.RetryAfter = dest.Limit, max(1, dest.Limit/2), kind.RetryAfter
		}
		all = append(all, partner)
	}
	return all
}

// classes returns the scenario's classes for the relays' settings.
func (r *run) classes() (all []testdouble.Class) {
	for _, class := range r.scenario.Classes {
		all = append(all, testdouble.Class{Name: class.Name,
			Effect: []string{"safe", "keyed", "unsafe"}[class.Effect], TargetLatency: class.TargetLatency,
			Deadline: class.Deadline, RepeatWindow: max(class.RepeatWindow, time.Second),
			Value: class.Value, LateValue: class.LateValue})
	}
	return all
}

// start starts the test doubles, then all relays in parallel.
func (r *run) start() (err error) {
	if r.env, err = testdouble.NewEnvironment(
		testdouble.Config{Seed: r.config.Seed, Partners: r.partners(), Classes: r.classes(),
			FleetSize: r.scenario.Relays, MaxPending: 500}); err != nil {
		return err
	}
	var listen []string
	for range r.scenario.Relays {
		addr, err := testdouble.ReserveAddr() // not on 127.0.0.1, whose ports the proxies' sockets use
		if err != nil {
			return err
		}
		listen = append(listen, addr)
	}
	if r.network, err = faultnet.New(listen, r.config.Seed); err != nil {
		return err
	}
	var zones []string
	for z := range max(1, r.scenario.Zones) {
		zones = append(zones, fmt.Sprintf("zone-%d", 1+z))
	}
	errs := make([]error, r.scenario.Relays)
	var starts sync.WaitGroup
	r.routes = make([][]proxyRoute, r.scenario.Relays)
	for n := range r.scenario.Relays {
		discovery, err := r.openProxies(n)
		if err != nil {
			return err
		}
		fleetConfig := &testdouble.FleetConfig{Number: n, PeerListen: listen[n], Peers: r.network.PeerAddrs(n),
			Zone: zones[r.scenario.ZoneOf(n)], Zones: zones, Members: "on",
			Choices: r.scenario.Choices.String(), DiscoveryAddr: discovery}
		if r.config.OutDir != "" {
			file, err := os.Create(filepath.Join(r.config.OutDir, fmt.Sprintf("relay-%02d.log", n)))
			if err != nil {
				return err
			}
			r.logFiles = append(r.logFiles, file)
			fleetConfig.OnLogLine = func(line string) { fmt.Fprintln(file, line); r.observeLogLine(n, line) }
		} else {
			fleetConfig.OnLogLine = func(line string) { r.observeLogLine(n, line) }
		}
		args := []string{"--log", "debug"}
		if r.config.OperatorFile != "" {
			args = append(args, "--operator", r.config.OperatorFile)
		}
		relay, err := r.env.NewFleetRelay(r.config.RelayBinary, fleetConfig, args...)
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		starts.Go(func() { errs[n] = relay.Start() })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// observeLogLine adds a change of membership in a line of a relay's log to the timeline.
func (r *run) observeLogLine(by int, line string) {
	change, at, ok := parseLogLine(by, line)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok && strings.Contains(line, "msg=ready ") {
		change, at, ok = Seen{By: int32(by), Number: int32(by), To: started}, time.Now(), true
	}
	if !ok || r.stopping.Load() {
		return
	}
	for i := range r.scenario.Faults {
		if r.activeFaults[i] {
			change.Troubles += fmt.Sprintf("%d ", i)
		}
	}
	change.AtMs = at.Sub(r.startedAt).Milliseconds()
	r.changes = append(r.changes, change)
}

// proxyRoute is the proxy that one relay uses to reach one endpoint of a destination.
type proxyRoute struct {
	dest, endpoint int // indexes in the scenario
	proxy          *faultnet.TCPProxy
}

// openProxies opens the proxies of one relay to all endpoints and returns the address at which the
// platform lists them.
func (r *run) openProxies(n int) (string, error) {
	proxyAddrs := map[string]string{}
	for dest := range r.scenario.Dests {
		for endpoint, addr := range r.env.Partners[1+dest].Addresses() {
			proxy, err := faultnet.NewTCPProxy(addr)
			if err != nil {
				return "", err
			}
			r.routes[n] = append(r.routes[n], proxyRoute{dest, endpoint, proxy})
			proxyAddrs[addr] = proxy.Addr
		}
	}
	return r.env.Platform.ServeWithAddresses(proxyAddrs)
}
