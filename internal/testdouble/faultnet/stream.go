package faultnet

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// StreamFaults is what a stream's way does. The zero value passes all at once.
type StreamFaults struct {
	Refuse        bool          // connections that are open are reset, new ones as soon as they come
	BlockOutbound bool          // nothing gets there: what is written waits for the cut's end
	BlockInbound  bool          // nothing comes back: answers wait for it
	Delay         time.Duration // of each piece, on either way
}

// TCPProxy is the way from one relay to one other party over TCP: a partner's endpoint or the platform. What a cut holds back comes behind it, as
// it does where a network heals before either side gives up. Close ends it.
type TCPProxy struct {
	Addr string

	to     string
	ln     net.Listener
	course atomic.Pointer[StreamFaults]
	group  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	changed chan struct{} // closed as another course comes into force
	conns   map[net.Conn]struct{}
	opened  int
}

// NewTCPProxy opens a way to an address.
func NewTCPProxy(to string) (*TCPProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("way to %s: %w", to, err)
	}
	s := &TCPProxy{Addr: ln.Addr().String(), to: to, ln: ln, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	s.course.Store(&StreamFaults{})
	s.group.Go(s.accept)
	return s, nil
}

// SetFaults puts a course in force, also for connections that are open.
func (s *TCPProxy) SetFaults(c StreamFaults) {
	s.course.Store(&c)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	if c.Refuse {
		s.reset()
	}
}

// ConnectionCount counts the connections that came.
func (s *TCPProxy) ConnectionCount() int { s.mu.Lock(); defer s.mu.Unlock(); return s.opened }

// Close ends the way and all its connections.
func (s *TCPProxy) Close() {
	s.ln.Close()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.changed)
		s.reset()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// reset breaks all connections. The caller holds mu.
func (s *TCPProxy) reset() {
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (s *TCPProxy) accept() {
	for {
		near, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.opened++
		if s.closed || s.course.Load().Refuse {
			near.(*net.TCPConn).SetLinger(0)
			near.Close()
			s.mu.Unlock()
			continue
		}
		s.conns[near] = struct{}{}
		s.mu.Unlock()
		s.group.Go(func() { s.join(near) })
	}
}

// join carries one connection until either side ends it.
func (s *TCPProxy) join(near net.Conn) {
	defer s.drop(near)
	if !s.passes(func(c *StreamFaults) bool { return !c.BlockOutbound }) {
		return
	}
	far, err := net.Dial("tcp", s.to)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		far.Close()
		return
	}
	s.conns[far] = struct{}{}
	s.mu.Unlock()
	defer s.drop(far)
	var back sync.WaitGroup
	back.Go(func() {
		s.copy(near, far, func(c *StreamFaults) bool { return !c.BlockInbound })
		near.Close()
	})
	s.copy(far, near, func(c *StreamFaults) bool { return !c.BlockOutbound })
	far.Close()
	back.Wait()
}

func (s *TCPProxy) drop(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// passes waits until the course lets something through; false: the way is closed.
func (s *TCPProxy) passes(open func(*StreamFaults) bool) bool {
	for {
		s.mu.Lock()
		changed, closed := s.changed, s.closed
		s.mu.Unlock()
		if closed {
			return false
		}
		if open(s.course.Load()) {
			return true
		}
		<-changed
	}
}

func (s *TCPProxy) copy(to, from net.Conn, open func(*StreamFaults) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !s.passes(open) {
				return
			}
			if d := s.course.Load().Delay; d > 0 {
				time.Sleep(d)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			s.passes(open) // the end of a connection is held back as well
			return
		}
	}
}
