package testdouble

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Fault tells a FaultProxy how to treat one request.
type Fault struct {
	Kind   FaultKind
	Status int         // for Respond
	Header http.Header // for Respond
}

// FaultKind selects the treatment of a request.
type FaultKind int

// The kinds of faults.
const (
	Forward         FaultKind = iota // forwarded to the relay; the response is returned
	Respond                          // answered by the proxy with Status and Header
	DropResponse                     // forwarded; the client's connection is closed without the response
	HoldResponse                     // forwarded; the response is returned after ReleaseResponses
	IgnoreRequest                    // neither forwarded nor answered until the client closes
	ResetConnection                  // the connection is reset after the request's header
)

// RecordedRequest is a POST that a FaultProxy received.
type RecordedRequest struct {
	Path, ID, Key, RepeatMark, TimeLeft string
	Name                                string // of the message; empty if the body was not read
	Status                              int    // of the relay's response; 0: none
	At                                  time.Time
}

// FaultProxy is an HTTP proxy between clients and a relay that records each request and injects
// faults by a script. It counts requests on the wire, independently of the client library.
type FaultProxy struct {
	Addr string // host:port that clients connect to

	target  string
	script  func(n int, path string) Fault
	changes *changeSignal
	ln      net.Listener

	mu              sync.Mutex
	requests        []RecordedRequest
	connectionTimes []time.Time
	conns           map[net.Conn]struct{}
	released        chan struct{}
}

// StartFaultProxy starts a proxy to the relay at target until Close. The script is called for each
// POST with the number of earlier ones and the path; a nil script forwards everything. With an
// empty target, the proxy answers each request itself, with status 200 unless the fault sets one.
func (env *Environment) StartFaultProxy(target string, script func(n int, path string) Fault) (*FaultProxy, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	if script == nil {
		script = func(int, string) Fault { return Fault{} }
	}
	p := &FaultProxy{Addr: ln.Addr().String(), target: target, script: script, changes: env.changes, ln: ln,
		conns: map[net.Conn]struct{}{}, released: make(chan struct{})}
	env.mu.Lock()
	env.closers = append(env.closers, p.close)
	env.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.connectionTimes = append(p.connectionTimes, time.Now())
			p.conns[c] = struct{}{}
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p, nil
}

// close stops the proxy, closes its connections and ends waiting responses.
func (p *FaultProxy) close() {
	p.ln.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.ReleaseResponses()
}

// ReleaseResponses returns the responses that HoldResponse has delayed so far.
func (p *FaultProxy) ReleaseResponses() {
	p.mu.Lock()
	close(p.released)
	p.released = make(chan struct{})
	p.mu.Unlock()
}

// Requests returns the POST requests received so far, in order.
func (p *FaultProxy) Requests() []RecordedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// ConnectionTimes returns the time at which each connection was accepted.
func (p *FaultProxy) ConnectionTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.connectionTimes)
}

// serve handles the requests of one client connection in order.
func (p *FaultProxy) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		p.changes.notify()
	}()
	r := bufio.NewReader(conn)
	var upstream net.Conn
	var upstreamReader *bufio.Reader
	defer func() {
		if upstream != nil {
			upstream.Close()
		}
	}()
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fault, index := Fault{}, -1
		if req.Method == "POST" {
			p.mu.Lock()
			index = len(p.requests)
			h := req.Header
			p.requests = append(p.requests, RecordedRequest{Path: req.URL.Path,
				ID: h.Get("X-Correlation-Id"), Key: h.Get("Idempotency-Key"),
				RepeatMark: h.Get("X-Repeat"), TimeLeft: h.Get("X-Time-Left-Ms"), At: time.Now()})
			p.mu.Unlock()
			fault = p.script(index, req.URL.Path)
			p.changes.notify()
		}
		if fault.Kind == ResetConnection {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if index >= 0 {
			p.mu.Lock()
			p.requests[index].Name = MessageName(body)
			p.mu.Unlock()
			p.changes.notify()
		}
		switch {
		case fault.Kind == IgnoreRequest:
			r.Peek(1) // until the client closes
			return
		case fault.Kind == Respond || p.target == "":
			if p.target == "" && fault.Status == 0 {
				fault.Status = 200
			}
			fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n", fault.Status, http.StatusText(fault.Status))
			fault.Header.Write(conn)
			io.WriteString(conn, "Content-Length: 0\r\n\r\n")
			continue
		}
		if upstream == nil {
			if upstream, err = net.Dial("tcp", p.target); err != nil {
				return
			}
			upstreamReader = bufio.NewReader(upstream)
		}
		p.mu.Lock()
		released := p.released
		p.mu.Unlock()
		fmt.Fprintf(upstream, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.Path, p.target)
		req.Header.Write(upstream)
		fmt.Fprintf(upstream, "Content-Length: %d\r\n\r\n%s", len(body), body)
		res, err := http.ReadResponse(upstreamReader, req)
		if err != nil {
			return
		}
		io.Copy(io.Discard, res.Body)
		if index >= 0 {
			p.mu.Lock()
			p.requests[index].Status = res.StatusCode
			p.mu.Unlock()
			p.changes.notify()
		}
		switch fault.Kind {
		case DropResponse:
			return
		case HoldResponse:
			<-released
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\n", res.Status)
		res.Header.Del("Content-Length")
		res.Header.Write(conn)
		io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	}
}
