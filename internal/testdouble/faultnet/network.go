// Package link is the ways that notes take between relays on one machine: one for each pair and direction, which loses, delays, repeats or
// reorders what it carries, or cuts it. It needs no rights: each relay's configuration names a link's address for each other relay.
//
//	net, err := link.New([]string{listen0, listen1}, seed)
//	peers of relay 0: net.Peers(0)
//	net.Set(link.Ways{Deaf: map[int]bool{1: true}})
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// MaxMessageBytes is the most bytes of a note that a platform takes; a longer one is counted and goes no further.
const MaxMessageBytes = 256

// Faults is what holds on all ways. The zero value carries everything at once. One that is in force must not be changed.
type Faults struct {
	Partitions    []map[int]bool                  // groups that don't hear the others, nor are heard by them
	NoReceive     map[int]bool                    // these hear nobody
	NoSend        map[int]bool                    // these are heard by nobody
	BlockedPairs  map[[2]int]bool                 // from, to: this one way is cut
	LossRate      float64                         // share
	DuplicateRate float64                         // share
	MaxDelay      time.Duration                   // up to so much, drawn for each: notes come out of order
	OnSend        func(from, to int, note []byte) // not nil: told of each note that is sent
}

// allows tells whether anything gets from one relay to another.
func (f *Faults) allows(from, to int) bool {
	for _, group := range f.Partitions {
		if group[from] != group[to] {
			return false
		}
	}
	return !f.NoReceive[to] && !f.NoSend[from] && !f.BlockedPairs[[2]int{from, to}]
}

// Network is the ways between the relays of one fleet. Close ends it.
type Network struct {
	relayAddrs []netip.AddrPort
	sockets    [][]*net.UDPConn // [i][j]: where relay i reaches j, and hears it from
	faults     atomic.Pointer[Faults]
	forwarders sync.WaitGroup

	alias atomic.Pointer[map[int]netip.AddrPort]

	mu        sync.Mutex
	closed    bool
	rng       *rand.Rand
	sent      int
	delivered int
	bytes     int
	oversized int
	timers    map[*time.Timer]struct{}
}

// New opens the ways between relays that listen at these addresses.
func New(listen []string, seed uint64) (*Network, error) {
	n := &Network{rng: rand.New(rand.NewPCG(seed, 0x11e4)), timers: map[*time.Timer]struct{}{}}
	n.faults.Store(&Faults{})
	for _, a := range listen {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		n.relayAddrs = append(n.relayAddrs, at)
	}
	for i := range n.relayAddrs {
		row := make([]*net.UDPConn, len(n.relayAddrs))
		n.sockets = append(n.sockets, row)
		for j := range n.relayAddrs {
			if i == j {
				continue
			}
			sock, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				n.Close()
				return nil, fmt.Errorf("way from %d to %d: %w", i, j, err)
			}
			row[j] = sock
		}
	}
	for i := range n.sockets {
		for j, sock := range n.sockets[i] {
			if sock != nil {
				n.forwarders.Go(func() { n.forward(i, j, sock) })
			}
		}
	}
	return n, nil
}

// PeerAddrs are the addresses that relay i is told, by number: its own, and a link's for each other.
func (n *Network) PeerAddrs(relay int) (all []string) {
	for j, sock := range n.sockets[relay] {
		if j == relay {
			all = append(all, n.relayAddrs[relay].String())
			continue
		}
		all = append(all, sock.LocalAddr().String())
	}
	return all
}

// AddAlias has a further address stand for relay i, as if two processes had one number: it is heard as i, and hears what i hears.
func (n *Network) AddAlias(relay int, listen string) error {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	n.alias.Store(&map[int]netip.AddrPort{relay: at})
	return nil
}

// aliasOf is the second address of a relay, if there is one.
func (n *Network) aliasOf(relay int) (at netip.AddrPort, ok bool) {
	if all := n.alias.Load(); all != nil {
		at, ok = (*all)[relay]
	}
	return at, ok
}

// SetFaults puts ways in force. What is late already still comes.
func (n *Network) SetFaults(f Faults) { n.faults.Store(&f) }

// Faults are those in force.
func (n *Network) Faults() Faults { return *n.faults.Load() }

// Counts tells how many notes were sent, how many of them arrived, how many bytes were sent and how many notes were longer than may be.
func (n *Network) Counts() (sent, delivered, bytes, oversized int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.delivered, n.bytes, n.oversized
}

// Close ends all ways; what is late is lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for t := range n.timers {
		t.Stop()
	}
	n.mu.Unlock()
	for _, row := range n.sockets {
		for _, sock := range row {
			if sock != nil {
				sock.Close()
			}
		}
	}
	n.forwarders.Wait()
}

// forward passes on what relay i sends to j, until the way is closed. A stranger's note is not passed on.
func (n *Network) forward(from, to int, sock *net.UDPConn) {
	buf := make([]byte, 4*MaxMessageBytes)
	for {
		size, source, err := sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if alias, ok := n.aliasOf(from); source != n.relayAddrs[from] && !(ok && source == alias) {
			continue
		}
		faults := n.faults.Load()
		if faults.OnSend != nil {
			faults.OnSend(from, to, buf[:size])
		}
		for _, delay := range n.drawDelays(faults, from, to, size) {
			message := append([]byte(nil), buf[:size]...)
			if delay == 0 {
				n.deliver(from, to, message)
				continue
			}
			n.runAfter(delay, func() { n.deliver(from, to, message) })
		}
	}
}

// drawDelays draws how often a note arrives, and how late each time.
func (n *Network) drawDelays(faults *Faults, from, to, size int) (delays []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.bytes += size
	if size > MaxMessageBytes {
		n.oversized++
		return nil
	}
	if !faults.allows(from, to) || faults.LossRate > 0 && n.rng.Float64() < faults.LossRate {
		return nil
	}
	copies := 1
	if faults.DuplicateRate > 0 && n.rng.Float64() < faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(0)
		if faults.MaxDelay > 0 {
			delay = time.Duration(n.rng.Int64N(int64(faults.MaxDelay) + 1))
		}
		delays = append(delays, delay)
	}
	return delays
}

func (n *Network) runAfter(delay time.Duration, callback func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(delay, func() {
		n.mu.Lock()
		delete(n.timers, t)
		n.mu.Unlock()
		callback()
	})
	n.timers[t] = struct{}{}
}

// deliver writes a note to relay j, as from where it knows i.
func (n *Network) deliver(from, to int, message []byte) {
	if alias, ok := n.aliasOf(to); ok {
		n.sockets[to][from].WriteToUDPAddrPort(message, alias)
	}
	if _, err := n.sockets[to][from].WriteToUDPAddrPort(message, n.relayAddrs[to]); err == nil {
		n.mu.Lock()
		n.delivered++
		n.mu.Unlock()
	}
}
