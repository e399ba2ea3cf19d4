package faultnet

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// StreamFaults describes the faults of a TCPProxy. The zero value passes everything at once.
type StreamFaults struct {
	Refuse        bool          // resets open connections, and new ones when they are accepted
	BlockOutbound bool          // holds data to the target back while set
	BlockInbound  bool          // holds data from the target back while set
	Delay         time.Duration // of each chunk, in both directions
}

// TCPProxy forwards TCP connections from a relay to one target, such as a partner's endpoint or the
// platform, and injects faults. Blocked data is delivered when the block ends, as after a network
// partition that heals before either side times out. Call Close when done.
type TCPProxy struct {
	Addr string // host:port that it listens at

	target     string
	ln         net.Listener
	faults     atomic.Pointer[StreamFaults]
	goroutines sync.WaitGroup

	mu              sync.Mutex
	closed          bool
	changed         chan struct{} // closed and replaced when the faults change
	conns           map[net.Conn]struct{}
	connectionCount int
}

// NewTCPProxy starts a proxy to the target address.
func NewTCPProxy(target string) (*TCPProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for target %s: %w", target, err)
	}
	p := &TCPProxy{Addr: ln.Addr().String(), target: target, ln: ln, changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}}
	p.faults.Store(&StreamFaults{})
	p.goroutines.Go(p.accept)
	return p, nil
}

// SetFaults replaces the faults, also for open connections.
func (p *TCPProxy) SetFaults(faults StreamFaults) {
	p.faults.Store(&faults)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
	if faults.Refuse {
		p.resetAll()
	}
}

// ConnectionCount returns the number of connections accepted so far, reset ones included.
func (p *TCPProxy) ConnectionCount() int { p.mu.Lock(); defer p.mu.Unlock(); return p.connectionCount }

// Close stops the proxy and resets all its connections.
func (p *TCPProxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.changed)
		p.resetAll()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// resetAll resets all connections. The caller holds mu.
func (p *TCPProxy) resetAll() {
	for c := range p.conns {
		if tcpConn, ok := c.(*net.TCPConn); ok {
			tcpConn.SetLinger(0)
		}
		c.Close()
	}
}

// accept takes connections until the listener is closed.
func (p *TCPProxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.connectionCount++
		if p.closed || p.faults.Load().Refuse {
			client.(*net.TCPConn).SetLinger(0)
			client.Close()
			p.mu.Unlock()
			continue
		}
		p.conns[client] = struct{}{}
		p.mu.Unlock()
		p.goroutines.Go(func() { p.proxy(client) })
	}
}

// proxy forwards one connection in both directions until it is closed.
func (p *TCPProxy) proxy(client net.Conn) {
	defer p.closeConn(client)
	if !p.waitUntilOpen(func(c *StreamFaults) bool { return !c.BlockOutbound }) {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		server.Close()
		return
	}
	p.conns[server] = struct{}{}
	p.mu.Unlock()
	defer p.closeConn(server)
	var replies sync.WaitGroup
	replies.Go(func() {
		p.copy(client, server, func(c *StreamFaults) bool { return !c.BlockInbound })
		client.Close()
	})
	p.copy(server, client, func(c *StreamFaults) bool { return !c.BlockOutbound })
	server.Close()
	replies.Wait()
}

// closeConn closes a connection and forgets it.
func (p *TCPProxy) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// waitUntilOpen waits until open returns true for the faults. It returns false once the proxy is
// closed.
func (p *TCPProxy) waitUntilOpen(open func(*StreamFaults) bool) bool {
	for {
		p.mu.Lock()
		changed, closed := p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if open(p.faults.Load()) {
			return true
		}
		<-changed
	}
}

// copy copies one direction, subject to the faults, until an error or the end of the stream.
func (p *TCPProxy) copy(to, from net.Conn, open func(*StreamFaults) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitUntilOpen(open) {
				return
			}
			if d := p.faults.Load().Delay; d > 0 {
				time.Sleep(d)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.waitUntilOpen(open) // a close is held back like data
			return
		}
	}
}
