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

	to     string
	script func(n int, path string) Fault
	news   *news
	ln     net.Listener

	mu      sync.Mutex
	seen    []RecordedRequest
	opened  []time.Time
	conns   map[net.Conn]struct{}
	release chan struct{}
}

// StartFaultProxy opens a gate to a relay's address. Script is asked for each POST, of which n came before; nil passes all. To may
// be empty where the script answers all itself.
func (w *Environment) StartFaultProxy(to string, script func(n int, path string) Fault) (*FaultProxy, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	if script == nil {
		script = func(int, string) Fault { return Fault{} }
	}
	g := &FaultProxy{Addr: ln.Addr().String(), to: to, script: script, news: w.news, ln: ln, conns: map[net.Conn]struct{}{}, release: make(chan struct{})}
	w.mu.Lock()
	w.closers = append(w.closers, g.close)
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.opened = append(g.opened, time.Now())
			g.conns[c] = struct{}{}
			g.mu.Unlock()
			go g.serve(c)
		}
	}()
	return g, nil
}

func (g *FaultProxy) close() {
	g.ln.Close()
	g.mu.Lock()
	for c := range g.conns {
		c.Close()
	}
	g.mu.Unlock()
	g.ReleaseResponses()
}

// ReleaseResponses lets held answers go.
func (g *FaultProxy) ReleaseResponses() {
	g.mu.Lock()
	close(g.release)
	g.release = make(chan struct{})
	g.mu.Unlock()
}

// Requests returns the requests that came, GET /ready left out.
func (g *FaultProxy) Requests() []RecordedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.seen)
}

// ConnectionTimes returns when each connection was opened.
func (g *FaultProxy) ConnectionTimes() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.opened)
}

func (g *FaultProxy) serve(c net.Conn) {
	defer func() {
		c.Close()
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
		g.news.tell()
	}()
	r := bufio.NewReader(c)
	var up net.Conn
	var upR *bufio.Reader
	defer func() {
		if up != nil {
			up.Close()
		}
	}()
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fault, at := Fault{}, -1
		if req.Method == "POST" {
			g.mu.Lock()
			at = len(g.seen)
			h := req.Header
			g.seen = append(g.seen, RecordedRequest{Path: req.URL.Path, ID: h.Get("X-Correlation-Id"), Key: h.Get("Idempotency-Key"),
				RepeatMark: h.Get("X-Repeat"), TimeLeft: h.Get("X-Time-Left-Ms"), At: time.Now()})
			g.mu.Unlock()
			fault = g.script(at, req.URL.Path)
			g.news.tell()
		}
		if fault.Kind == ResetConnection {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if at >= 0 {
			g.mu.Lock()
			g.seen[at].Name = MessageName(body)
			g.mu.Unlock()
			g.news.tell()
		}
		switch {
		case fault.Kind == IgnoreRequest:
			r.Peek(1) // until the client closes
			return
		case fault.Kind == Respond || g.to == "":
			if g.to == "" && fault.Status == 0 {
				fault.Status = 200
			}
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n", fault.Status, http.StatusText(fault.Status))
			fault.Header.Write(c)
			io.WriteString(c, "Content-Length: 0\r\n\r\n")
			continue
		}
		if up == nil {
			if up, err = net.Dial("tcp", g.to); err != nil {
				return
			}
			upR = bufio.NewReader(up)
		}
		g.mu.Lock()
		release := g.release
		g.mu.Unlock()
		fmt.Fprintf(up, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.Path, g.to)
		req.Header.Write(up)
		fmt.Fprintf(up, "Content-Length: %d\r\n\r\n%s", len(body), body)
		res, err := http.ReadResponse(upR, req)
		if err != nil {
			return
		}
		io.Copy(io.Discard, res.Body)
		if at >= 0 {
			g.mu.Lock()
			g.seen[at].Status = res.StatusCode
			g.mu.Unlock()
			g.news.tell()
		}
		switch fault.Kind {
		case DropResponse:
			return
		case HoldResponse:
			<-release
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n", res.Status)
		res.Header.Del("Content-Length")
		res.Header.Write(c)
		io.WriteString(c, "Content-Length: 0\r\n\r\n")
	}
}
