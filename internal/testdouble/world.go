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

	set     Config
	dir     string
	news    *news
	mu      sync.Mutex
	relays  []*Relay
	closers []func()
}

// NewEnvironment starts the platform and the partners.
func NewEnvironment(set Config) (*Environment, error) {
	if set.Classes == nil {
		set.Classes = DefaultClasses
	}
	for v, fallback := range map[*int]int{&set.MaxConcurrentCalls: 32, &set.MaxPending: 1000, &set.MaxDescriptors: 1024, &set.FleetSize: 1} {
		if *v == 0 {
			*v = fallback
		}
	}
	if set.DiskMB == 0 {
		set.DiskMB = 16
	}
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	w := &Environment{set: set, dir: dir, news: newNews(), Partners: map[int]*Partner{}}
	w.EffectLog = newLedger(set.Classes, w.news)
	for i, p := range set.Partners {
		one, err := newPartner(p, set.Seed+uint64(i), w.EffectLog)
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Partners[p.Dest] = one
		w.closers = append(w.closers, one.close)
	}
	if w.Platform, err = newPlatform(w.Partners, w.news); err != nil {
		w.Close()
		return nil, err
	}
	w.closers = append(w.closers, w.Platform.close)
	return w, nil
}

// Close kills the relays and ends all stand-ins.
func (w *Environment) Close() {
	w.mu.Lock()
	relays := w.relays
	w.mu.Unlock()
	for _, r := range relays {
		r.Kill()
	}
	for _, f := range w.closers {
		f()
	}
	os.RemoveAll(w.dir)
}

// WaitUntil waits for cond, which is looked at after each thing that happens. The bound is there for a hang, not as a measure.
func (w *Environment) WaitUntil(what string, cond func() bool) error { return w.news.until(what, cond) }

// Notify makes Until look again, after something that the world can't see.
func (w *Environment) Notify() { w.news.tell() }

const hang = 60 * time.Second

// news wakes those who wait for something to happen.
type news struct {
	mu sync.Mutex
	ch chan struct{}
}

func newNews() *news { return &news{ch: make(chan struct{})} }

func (n *news) tell() {
	n.mu.Lock()
	close(n.ch)
	n.ch = make(chan struct{})
	n.mu.Unlock()
}

func (n *news) until(what string, cond func() bool) error {
	bound := time.NewTimer(hang)
	defer bound.Stop()
	for {
		n.mu.Lock()
		ch := n.ch
		n.mu.Unlock()
		if cond() {
			return nil
		}
		select {
		case <-ch:
		case <-bound.C:
			return fmt.Errorf("waited in vain for %s", what)
		}
	}
}

var hosts atomic.Uint32

// listen opens a listener at a loopback address of its own. Guards against strangers: who asks again at a port of
// 127.0.0.1 that has passed to a listener here, from any process, would be answered by a test's script.
func listen() (net.Listener, error) {
	n := int(hosts.Add(1)) // the next hundreds have a net of their own: an address comes again after 62,500
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
