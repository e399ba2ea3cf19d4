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

// carries tells whether anything gets from one relay to another.
func (w *Faults) carries(from, to int) bool {
	for _, group := range w.Partitions {
		if group[from] != group[to] {
			return false
		}
	}
	return !w.NoReceive[to] && !w.NoSend[from] && !w.BlockedPairs[[2]int{from, to}]
}

// Network is the ways between the relays of one fleet. Close ends it.
type Network struct {
	real  []netip.AddrPort
	ends  [][]*net.UDPConn // [i][j]: where relay i reaches j, and hears it from
	ways  atomic.Pointer[Faults]
	group sync.WaitGroup

	second atomic.Pointer[map[int]netip.AddrPort]

	mu      sync.Mutex
	closed  bool
	rng     *rand.Rand
	sent    int
	carried int
	bytes   int
	tooLong int
	timers  map[*time.Timer]struct{}
}

// New opens the ways between relays that listen at these addresses.
func New(listen []string, seed uint64) (*Network, error) {
	n := &Network{rng: rand.New(rand.NewPCG(seed, 0x11e4)), timers: map[*time.Timer]struct{}{}}
	n.ways.Store(&Faults{})
	for _, a := range listen {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		n.real = append(n.real, at)
	}
	for i := range n.real {
		row := make([]*net.UDPConn, len(n.real))
		n.ends = append(n.ends, row)
		for j := range n.real {
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
	for i := range n.ends {
		for j, sock := range n.ends[i] {
			if sock != nil {
				n.group.Go(func() { n.carry(i, j, sock) })
			}
		}
	}
	return n, nil
}

// PeerAddrs are the addresses that relay i is told, by number: its own, and a link's for each other.
func (n *Network) PeerAddrs(i int) (all []string) {
	for j, sock := range n.ends[i] {
		if j == i {
			all = append(all, n.real[i].String())
			continue
		}
		all = append(all, sock.LocalAddr().String())
	}
	return all
}

// AddAlias has a further address stand for relay i, as if two processes had one number: it is heard as i, and hears what i hears.
func (n *Network) AddAlias(i int, listen string) error {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	n.second.Store(&map[int]netip.AddrPort{i: at})
	return nil
}

// also is the second address of a relay, if there is one.
func (n *Network) also(i int) (at netip.AddrPort, ok bool) {
	if all := n.second.Load(); all != nil {
		at, ok = (*all)[i]
	}
	return at, ok
}

// SetFaults puts ways in force. What is late already still comes.
func (n *Network) SetFaults(w Faults) { n.ways.Store(&w) }

// Faults are those in force.
func (n *Network) Faults() Faults { return *n.ways.Load() }

// Counts tells how many notes were sent, how many of them arrived, how many bytes were sent and how many notes were longer than may be.
func (n *Network) Counts() (sent, carried, bytes, tooLong int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.carried, n.bytes, n.tooLong
}

// Close ends all ways; what is late is lost.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for t := range n.timers {
		t.Stop()
	}
	n.mu.Unlock()
	for _, row := range n.ends {
		for _, sock := range row {
			if sock != nil {
				sock.Close()
			}
		}
	}
	n.group.Wait()
}

// carry passes on what relay i sends to j, until the way is closed. A stranger's note is not passed on.
func (n *Network) carry(i, j int, sock *net.UDPConn) {
	buf := make([]byte, 4*MaxMessageBytes)
	for {
		size, from, err := sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if also, ok := n.also(i); from != n.real[i] && !(ok && from == also) {
			continue
		}
		w := n.ways.Load()
		if w.OnSend != nil {
			w.OnSend(i, j, buf[:size])
		}
		for _, late := range n.fate(w, i, j, size) {
			note := append([]byte(nil), buf[:size]...)
			if late == 0 {
				n.deliver(i, j, note)
				continue
			}
			n.later(late, func() { n.deliver(i, j, note) })
		}
	}
}

// fate draws how often a note arrives, and how late each time.
func (n *Network) fate(w *Faults, i, j, size int) (arrivals []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.bytes += size
	if size > MaxMessageBytes {
		n.tooLong++
		return nil
	}
	if !w.carries(i, j) || w.LossRate > 0 && n.rng.Float64() < w.LossRate {
		return nil
	}
	times := 1
	if w.DuplicateRate > 0 && n.rng.Float64() < w.DuplicateRate {
		times = 2
	}
	for range times {
		late := time.Duration(0)
		if w.MaxDelay > 0 {
			late = time.Duration(n.rng.Int64N(int64(w.MaxDelay) + 1))
		}
		arrivals = append(arrivals, late)
	}
	return arrivals
}

func (n *Network) later(after time.Duration, do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(after, func() {
		n.mu.Lock()
		delete(n.timers, t)
		n.mu.Unlock()
		do()
	})
	n.timers[t] = struct{}{}
}

// deliver writes a note to relay j, as from where it knows i.
func (n *Network) deliver(i, j int, note []byte) {
	if also, ok := n.also(j); ok {
		n.ends[j][i].WriteToUDPAddrPort(note, also)
	}
	if _, err := n.ends[j][i].WriteToUDPAddrPort(note, n.real[j]); err == nil {
		n.mu.Lock()
		n.carried++
		n.mu.Unlock()
	}
}
