// Package standin holds what lies round a relay, written from the protocol alone and scripted: discovery and notices
// (Platform), partners' endpoints (Partner), a ledger of what took effect there (Ledger), the relay as a process
// (Relay) and a gate for faults between clients and relay (Gate). All of it is on loopback.
//
//	w, err := standin.NewWorld(standin.Config{Partners: []standin.PartnerConfig{{Dest: 7}}})
//	defer w.Close()
//	relay, err := w.StartRelay(binary)
//	... hand in at relay.Addr ...
//	doubles := w.Ledger.Doubles("fee-charge")
//
// A message's name is the first line of its body, CLASS/ANYTHING; the ledger counts effects by it. Draws come from
// Config.Seed. Nothing here sleeps to wait for something: Until is woken by what happens.
package testdouble

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a class of message as the relay's settings tell it.
type Class struct {
	Name, Effect                          string // safe, keyed or unsafe
	TargetLatency, Deadline, RepeatWindow time.Duration
	Value, LateValue                      float64
	Ordered                               bool // messages of one subject go one at a time
}

// DefaultClasses are those that a world has if it is not told any.
var DefaultClasses = []Class{
	{Name: "price-alert", Effect: "safe", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second, RepeatWindow: 5 * time.Second, Value: 1},
	{Name: "order-relay", Effect: "keyed", TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, RepeatWindow: 5 * time.Second, Value: 2, LateValue: 0.3},
	{Name: "fee-charge", Effect: "unsafe", TargetLatency: 2500 * time.Millisecond, Deadline: 20 * time.Second, RepeatWindow: 5 * time.Second, Value: 5, LateValue: 0.3},
}

// Config sets a world.
type Config struct {
	Seed               uint64
	Partners           []PartnerConfig
	Classes            []Class // nil: Classes
	MaxConcurrentCalls int     // calls that a relay may have out; 0: 32
	MaxPending         int     // messages that a relay may hold; 0: 1000
	MaxDescriptors     int     // descriptors of a relay; 0: 1024
	DiskMB             float64 // of a relay's folder; 0: 16
	FleetSize          int     // of the tier, as the settings tell it; 0: 1
}

// Environment is all that lies round the relays of one test. Close ends it.
type Environment struct {
	Platform  *Platform
	Partners  map[int]*Partner // by destination
	EffectLog *EffectLog

	config  Config
	dir     string
	changes *changeSignal
	mu      sync.Mutex
	relays  []*Relay
	closers []func()
}

// NewEnvironment starts the platform and the partners.
func NewEnvironment(config Config) (*Environment, error) {
	if config.Classes == nil {
		config.Classes = DefaultClasses
	}
	for field, fallback := range map[*int]int{&config.MaxConcurrentCalls: 32, &config.MaxPending: 1000, &config.MaxDescriptors: 1024, &config.FleetSize: 1} {
		if *field == 0 {
			*field = fallback
		}
	}
	if config.DiskMB == 0 {
		config.DiskMB = 16
	}
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	env := &Environment{config: config, dir: dir, changes: newChangeSignal(), Partners: map[int]*Partner{}}
	env.EffectLog = newEffectLog(config.Classes, env.changes)
	for i, partnerConfig := range config.Partners {
		partner, err := newPartner(partnerConfig, config.Seed+uint64(i), env.EffectLog)
		if err != nil {
			env.Close()
			return nil, err
		}
		env.Partners[partnerConfig.Dest] = partner
		env.closers = append(env.closers, partner.close)
	}
	if env.Platform, err = newPlatform(env.Partners, env.changes); err != nil {
		env.Close()
		return nil, err
	}
	env.closers = append(env.closers, env.Platform.close)
	return env, nil
}

// Close kills the relays and ends all stand-ins.
func (env *Environment) Close() {
	env.mu.Lock()
	relays := env.relays
	env.mu.Unlock()
	for _, r := range relays {
		r.Kill()
	}
	for _, f := range env.closers {
		f()
	}
	os.RemoveAll(env.dir)
}

// WaitUntil waits for cond, which is looked at after each thing that happens. The bound is there for a hang, not as a measure.
func (env *Environment) WaitUntil(what string, cond func() bool) error {
	return env.changes.waitUntil(what, cond)
}

// Notify makes Until look again, after something that the world can't see.
func (env *Environment) Notify() { env.changes.notify() }

const maxWait = 60 * time.Second

// changeSignal wakes those who wait for something to happen.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newChangeSignal() *changeSignal { return &changeSignal{changed: make(chan struct{})} }

func (s *changeSignal) notify() {
	s.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *changeSignal) waitUntil(what string, cond func() bool) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if cond() {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return fmt.Errorf("waited in vain for %s", what)
		}
	}
}

var hostCount atomic.Uint32

// listen opens a listener at a loopback address of its own. Guards against strangers: who asks again at a port of
// 127.0.0.1 that has passed to a listener here, from any process, would be answered by a test's script.
func listen() (net.Listener, error) {
	n := int(hostCount.Add(1)) // the next hundreds have a net of their own: an address comes again after 62,500
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, (os.Getpid()/64+n/250)%250, 1+n%250))
}

// ReserveAddr reserves a loopback address of its own for a listener that comes and goes. Guards against a port that an outgoing
// connection takes while the listener is down: those come from 127.0.0.1.
func ReserveAddr() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
