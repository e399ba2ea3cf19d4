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

// Fault is what a gate does with one request.
type Fault struct {
	Kind   FaultKind
	Status int         // Answer
	Header http.Header // Answer
}

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults.
const (
	Forward         FaultKind = iota // to the relay and back
	Respond                          // answered by the gate itself
	DropResponse                     // the relay answers, the client's connection ends without
	HoldResponse                     // the relay answers, the client hears it after Release
	IgnoreRequest                    // nothing is passed on or said until the client closes
	ResetConnection                  // the connection is reset after the request's head
)

// RecordedRequest is a request that came to a gate.
type RecordedRequest struct {
	Path, ID, Key, RepeatMark, TimeLeft string
	Name                                string // of the message; empty where the body was not read
	Status                              int    // that the relay answered; 0: none
	At                                  time.Time
}

// FaultProxy stands between clients and a relay, sees each request and does faults by a script. It counts what is on the wire
// without help of the client's library.
type FaultProxy struct {
	Addr string

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

// StartFaultProxy opens a gate to a relay's address. Script is asked for each POST, of which n came before; nil passes all. To may
// be empty where the script answers all itself.
func (env *Environment) StartFaultProxy(target string, script func(n int, path string) Fault) (*FaultProxy, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	if script == nil {
		script = func(int, string) Fault { return Fault{} }
	}
	p := &FaultProxy{Addr: ln.Addr().String(), target: target, script: script, changes: env.changes, ln: ln, conns: map[net.Conn]struct{}{}, released: make(chan struct{})}
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

func (p *FaultProxy) close() {
	p.ln.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.ReleaseResponses()
}

// ReleaseResponses lets held answers go.
func (p *FaultProxy) ReleaseResponses() {
	p.mu.Lock()
	close(p.released)
	p.released = make(chan struct{})
	p.mu.Unlock()
}

// Requests returns the requests that came, GET /ready left out.
func (p *FaultProxy) Requests() []RecordedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// ConnectionTimes returns when each connection was opened.
func (p *FaultProxy) ConnectionTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.connectionTimes)
}

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
			p.requests = append(p.requests, RecordedRequest{Path: req.URL.Path, ID: h.Get("X-Correlation-Id"), Key: h.Get("Idempotency-Key"),
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
