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

	target     string
	ln         net.Listener
	faults     atomic.Pointer[StreamFaults]
	goroutines sync.WaitGroup

	mu              sync.Mutex
	closed          bool
	changed         chan struct{} // closed as another course comes into force
	conns           map[net.Conn]struct{}
	connectionCount int
}

// NewTCPProxy opens a way to an address.
func NewTCPProxy(target string) (*TCPProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("way to %s: %w", target, err)
	}
	p := &TCPProxy{Addr: ln.Addr().String(), target: target, ln: ln, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.faults.Store(&StreamFaults{})
	p.goroutines.Go(p.accept)
	return p, nil
}

// SetFaults puts a course in force, also for connections that are open.
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

// ConnectionCount counts the connections that came.
func (p *TCPProxy) ConnectionCount() int { p.mu.Lock(); defer p.mu.Unlock(); return p.connectionCount }

// Close ends the way and all its connections.
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

// resetAll breaks all connections. The caller holds mu.
func (p *TCPProxy) resetAll() {
	for c := range p.conns {
		if tcpConn, ok := c.(*net.TCPConn); ok {
			tcpConn.SetLinger(0)
		}
		c.Close()
	}
}

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

// proxy carries one connection until either side ends it.
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

func (p *TCPProxy) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// waitUntilOpen waits until the course lets something through; false: the way is closed.
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
			p.waitUntilOpen(open) // the end of a connection is held back as well
			return
		}
	}
}
