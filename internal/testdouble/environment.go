// Package testdouble provides scripted test doubles of the systems around a relay. They share no
// code with it: service discovery and outcome notifications (Platform), partners' endpoints
// (Partner) with a log of the messages that ran there (EffectLog), and a proxy that injects faults
// between clients and a relay (FaultProxy). The package also runs the real relay as a process
// (Relay). Everything listens on loopback.
//
//	env, err := testdouble.NewEnvironment(testdouble.Config{
//		Partners: []testdouble.PartnerConfig{{Dest: 7}},
//	})
//	defer env.Close()
//	relay, err := env.StartRelay(binary)
//	... submit messages at relay.Addr ...
//	duplicates := env.EffectLog.Duplicates("fee-charge")
//
// A message's name is the first line of its body, CLASS/ANYTHING; the effect log counts by name.
// Random numbers come from Config.Seed. Tests wait with WaitUntil, which is woken by events,
// instead of sleeping.
package testdouble

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Class is a message class of the relay's settings.
type Class struct {
	Name, Effect                          string // Effect is safe, keyed or unsafe
	TargetLatency, Deadline, RepeatWindow time.Duration
	Value, LateValue                      float64
	Ordered                               bool // messages with the same ordering key are sent one at a time
}

// DefaultClasses are the classes of an environment whose Config names none.
var DefaultClasses = []Class{
	{Name: "price-alert", Effect: "safe", TargetLatency: 1500 * time.Millisecond, Deadline: 6 * time.Second,
		RepeatWindow: 5 * time.Second, Value: 1},
	{Name: "order-relay", Effect: "keyed", TargetLatency: 3 * time.Second, Deadline: 20 * time.Second,
		RepeatWindow: 5 * time.Second, Value: 2, LateValue: 0.3},
	{Name: "fee-charge", Effect: "unsafe", TargetLatency: 2500 * time.Millisecond, Deadline: 20 * time.Second,
		RepeatWindow: 5 * time.Second, Value: 5, LateValue: 0.3},
}

// Config configures an environment. Zero values stand for the defaults given.
type Config struct {
	Seed               uint64
	Partners           []PartnerConfig
	Classes            []Class // nil: DefaultClasses
	MaxConcurrentCalls int     // of a relay, to endpoints; 0: 32
	MaxPending         int     // accepted, uncompleted messages of a relay; 0: 1000
	MaxDescriptors     int     // file descriptors of a relay; 0: 1024
	MemoryMB           int     // memory limit of a relay; 0: 192
	DiskMB             float64 // size limit of a relay's state directory; 0: 16
	FleetSize          int     // number of relays that the settings name; 0: 1
}

// Environment holds the relays of one test and the test doubles around them. Call Close when done.
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

// NewEnvironment starts the platform and the partners. It starts no relay.
func NewEnvironment(config Config) (*Environment, error) {
	if config.Classes == nil {
		config.Classes = DefaultClasses
	}
	for field, fallback := range map[*int]int{
		&config.MemoryMB: 192, &config.MaxConcurrentCalls: 32, &config.MaxPending: 1000, &config.MaxDescriptors: 1024, &config.FleetSize: 1,
	} {
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

// Close kills the relays and stops all test doubles.
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

// WaitUntil waits until cond returns true. It evaluates cond after each event and fails after
// maxWait, which only bounds a hang; what describes the condition in the error.
func (env *Environment) WaitUntil(what string, cond func() bool) error {
	return env.changes.waitUntil(what, cond)
}

// Notify makes WaitUntil evaluate its condition again, after an event outside the environment.
func (env *Environment) Notify() { env.changes.notify() }

// maxWait bounds waits that would otherwise hang a test.
const maxWait = 60 * time.Second

// changeSignal wakes goroutines that wait for a condition whenever something changes.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// newChangeSignal returns a signal that nobody waits for yet.
func newChangeSignal() *changeSignal { return &changeSignal{changed: make(chan struct{})} }

// notify wakes all waiters, which evaluate their conditions again.
func (s *changeSignal) notify() {
	s.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// waitUntil waits until cond returns true, for maxWait at most.
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
			return fmt.Errorf("timed out waiting for %s", what)
		}
	}
}

// hostCount numbers the loopback addresses of this process.
var hostCount atomic.Uint32

// listen opens a listener at a loopback address of its own, so that a client of another process
// which retries at an earlier port of 127.0.0.1 never reaches it.
func listen() (net.Listener, error) {
	n := int(hostCount.Add(1)) // 250 hosts in each of 250 networks: an address is reused after 62,500
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, (os.Getpid()/64+n/250)%250, 1+n%250))
}

// ReserveAddr returns a loopback address of its own for a listener that is opened and closed
// repeatedly. Outgoing connections come from 127.0.0.1 and can't take its port meanwhile. No
// process is started until the listener is closed: a child has it open until its own program runs,
// which could keep a relay from the address.
func ReserveAddr() (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
