// Package faultnet injects network faults between processes on one machine, without privileges:
// Network carries the gossip datagrams of relays and loses, delays, duplicates, reorders or blocks
// them; TCPProxy delays, holds back or resets TCP connections. Each relay's configuration names
// proxy addresses in place of its peers'.
//
//	network, err := faultnet.New([]string{listen0, listen1}, seed)
//	peers := network.PeerAddrs(0) // for relay 0
//	network.SetFaults(faultnet.Faults{NoReceive: map[int]bool{1: true}})
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

// MaxMessageBytes is the size limit of a gossip message; a larger one is counted and dropped.
const MaxMessageBytes = 256

// Faults describes the faults of a Network. The zero value delivers everything at once. A value
// must not be changed after SetFaults. Rates are probabilities from 0 to 1.
type Faults struct {
	Partitions    []map[int]bool  // groups that exchange no messages with the other relays
	NoReceive     map[int]bool    // relays that receive nothing
	NoSend        map[int]bool    // relays whose messages are all dropped
	BlockedPairs  map[[2]int]bool // sender and receiver; blocks that direction
	LossRate      float64
	DuplicateRate float64
	MaxDelay      time.Duration                      // each message has a random delay up to it, which reorders messages
	OnSend        func(from, to int, message []byte) // called with each message sent; may be nil
}

// allows reports whether messages pass from one relay to another.
func (f *Faults) allows(from, to int) bool {
	for _, group := range f.Partitions {
		if group[from] != group[to] {
			return false
		}
	}
	return !f.NoReceive[to] && !f.NoSend[from] && !f.BlockedPairs[[2]int{from, to}]
}

// Network carries the gossip messages between the relays of one fleet. Call Close when done.
type Network struct {
	relayAddrs []netip.AddrPort
	sockets    [][]*net.UDPConn // [i][j]: stands for relay j towards relay i
	faults     atomic.Pointer[Faults]
	forwarders sync.WaitGroup

	// alias maps a relay to a second address with the same number.
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

// New opens sockets for each pair of the relays that listen at these addresses, and starts to
// forward.
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
				return nil, fmt.Errorf("open socket from relay %d to %d: %w", i, j, err)
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

// PeerAddrs returns the peer addresses for the configuration of a relay, by number: its own, and a
// socket of the network for each other relay.
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

// AddAlias adds a second address for a relay, as if two processes had its number: messages from
// there count as the relay's, and it receives what the relay receives. A network has one alias at a
// time.
func (n *Network) AddAlias(relay int, listen string) error {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	n.alias.Store(&map[int]netip.AddrPort{relay: at})
	return nil
}

// aliasOf returns the second address of a relay, if there is one.
func (n *Network) aliasOf(relay int) (at netip.AddrPort, ok bool) {
	if all := n.alias.Load(); all != nil {
		at, ok = (*all)[relay]
	}
	return at, ok
}

// SetFaults replaces the faults. Messages that are delayed already still arrive.
func (n *Network) SetFaults(f Faults) { n.faults.Store(&f) }

// Faults returns the present faults.
func (n *Network) Faults() Faults { return *n.faults.Load() }

// Counts returns the numbers of messages sent, messages delivered, bytes sent and oversized
// messages.
func (n *Network) Counts() (sent, delivered, bytes, oversized int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.delivered, n.bytes, n.oversized
}

// Close closes all sockets and drops delayed messages.
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

// forward carries messages from one relay to another until the socket is closed. It drops datagrams
// from other sources.
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

// drawDelays returns a random delay for each copy of a message that is to arrive.
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

// runAfter calls callback after delay, unless the network is closed first.
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

// deliver sends a message to a relay, from the address under which it knows the sender.
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
