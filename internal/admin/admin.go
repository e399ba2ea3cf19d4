// Package admin answers the operators: one HTTP/1.1 call a connection, at an address of its own. It owns that listener and its
// connections, whose number is bounded, and never waits for the relay's owner goroutine: calls read counters and turn switches.
package admin

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"oatfold/internal/wire"
)

// Bounds of what callers hold.
const (
	MaxConns = 16                     // connections at once
	headFor  = 2 * time.Second        // a call, from connecting on
	writeFor = 500 * time.Millisecond // its answer
	lingerOn = 200 * time.Millisecond // for what a caller still sends behind a bad call
	lingerBy = 64 << 10
	youngFor = 5 * time.Millisecond // one that connected so lately gives no way: its call may be on the way
)

// Handlers is what operators can ask for. None of them may wait.
type Handlers struct {
	Serving     func() bool           // the process can serve
	Stats       func(b []byte) []byte // appends the figures
	SetDraining func(on bool) bool    // empty the relay, or go back to work
	Members     func() []byte         // who lives, as JSON; nil: who lives is not asked
	Choices     func() []byte         // what is shared of choices, as JSON; nil: nothing
	Sites       func() []byte         // what sites are taken for, as JSON; nil: no plan is in force
	SetSite     func(zone string, out bool) (known, done bool)
	Log         *slog.Logger
}

// answer decides about one call: its status, and the body that goes with it. A call that is not yes changes nothing.
func (c *Handlers) answer(method, target string, more bool) (status int, body []byte) {
	if rest, found := strings.CutPrefix(target, "/sites/"); found {
		return c.site(method, rest, more)
	}
	known := true
	switch method + " " + target {
	case "GET /healthcheck", "GET /stats", "GET /members", "GET /choices", "GET /sites", "PUT /healthcheck/fail", "PUT /healthcheck/ok":
	default:
		known = false
	}
	switch {
	case !known && (target == "/healthcheck" || target == "/stats" || target == "/members" || target == "/choices" || target == "/sites" || target == "/healthcheck/fail" || target == "/healthcheck/ok"):
		return 405, nil
	case !known:
		return 404, nil
	case more:
		return 400, []byte("a call has no body, and one comes alone\n")
	}
	switch target {
	case "/healthcheck":
		if !c.Serving() {
			return 503, nil
		}
	case "/stats":
		return 200, c.Stats(nil)
	case "/members":
		return view(c.Members, "membership is off here\n")
	case "/choices":
		return view(c.Choices, "no choices are shared here\n")
	case "/sites":
		return view(c.Sites, noSites)
	case "/healthcheck/fail":
		c.Log.Info("told to empty the relay")
		if !c.SetDraining(true) {
			return 503, nil
		}
	case "/healthcheck/ok":
		c.Log.Info("told to go back to work")
		if !c.SetDraining(false) {
			return 503, nil
		}
	}
	return 200, nil
}

const noSites = "no plan for sites is in force here\n"

// view answers with what f has to show.
func view(f func() []byte, none string) (int, []byte) {
	if f != nil {
		if b := f(); b != nil {
			return 200, b
		}
	}
	return 404, []byte(none)
}

// site takes a site out by hand, or lets it come back: PUT /sites/ZONE/out and /in.
func (c *Handlers) site(method, rest string, more bool) (int, []byte) {
	zone, word, _ := strings.Cut(rest, "/")
	switch {
	case word != "out" && word != "in" || zone == "":
		return 404, nil
	case method != "PUT":
		return 405, nil
	case more:
		return 400, []byte("a call has no body, and one comes alone\n")
	case c.SetSite == nil || c.Sites == nil || c.Sites() == nil:
		return 404, []byte(noSites)
	}
	known, done := c.SetSite(zone, word == "out")
	switch {
	case !known:
		return 404, []byte("the plan has no such site\n")
	case !done:
		return 503, nil
	}
	c.Log.Info("told of a site", "zone", zone, "word", word)
	return 200, nil
}

// Server is the operators' listener.
type Server struct {
	ln    net.Listener
	calls Handlers

	mu    sync.Mutex
	conns map[net.Conn]time.Time // since when
	free  chan struct{}
}

// Serve answers calls on ln until it is closed.
func Serve(ln net.Listener, calls Handlers) *Server {
	s := &Server{ln: ln, calls: calls, conns: map[net.Conn]time.Time{}, free: make(chan struct{}, 1)}
	go s.accept()
	return s
}

// Close ends the listener. Calls that were begun are answered.
func (s *Server) Close() error { return s.ln.Close() }

func (s *Server) accept() {
	for {
		s.makeRoom()
		sock, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.calls.Log.Warn("accept failed at the operators' address", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[sock] = time.Now()
		s.mu.Unlock()
		go s.serve(sock)
	}
}

// makeRoom waits until a further connection may be taken. Guards against callers that say nothing, or half a call, and stay: the
// oldest of those without a byte to read gives way, or else the oldest of all.
func (s *Server) makeRoom() {
	for {
		s.mu.Lock()
		full := len(s.conns) >= MaxConns
		if full {
			var silent, oldest net.Conn
			for c, since := range s.conns {
				if time.Since(since) < youngFor {
					continue
				}
				if oldest == nil || since.Before(s.conns[oldest]) {
					oldest = c
				}
				if (silent == nil || since.Before(s.conns[silent])) && !wire.HasUnreadBytes(c) {
					silent = c
				}
			}
			if silent == nil {
				silent = oldest
			}
			if silent != nil {
				silent.SetReadDeadline(time.Unix(1, 0))
			}
		}
		s.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-s.free:
		case <-time.After(youngFor):
		}
	}
}

func (s *Server) serve(sock net.Conn) {
	defer func() {
		if p := recover(); p != nil {
			s.calls.Log.Error("panic on an operator's connection", "panic", p)
		}
		sock.Close()
		s.mu.Lock()
		delete(s.conns, sock)
		s.mu.Unlock()
		select {
		case s.free <- struct{}{}:
		default:
		}
	}()
	sock.SetReadDeadline(time.Now().Add(headFor))
	r := bufio.NewReader(sock)
	method, target, body, err := wire.ReadRequestHead(r)
	status, text := 400, []byte(nil)
	switch {
	case err == nil:
		status, text = s.calls.answer(method, target, body || r.Buffered() > 0)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return // it said too little in its time, or went away
	}
	b := append(strconv.AppendInt([]byte("HTTP/1.1 "), int64(status), 10), ' ')
	b = append(b, map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}[status]...)
	kind := "text/plain; version=0.0.4"
	if len(text) > 0 && text[0] == '{' {
		kind = "application/json"
	}
	b = append(append(append(b, "\r\nContent-Type: "...), kind...), "\r\nConnection: close\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(text)), 10), "\r\n\r\n"...)
	sock.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := sock.Write(append(b, text...)); err == nil && status != 200 {
		// Guards against a reset that overtakes the answer: what the caller still sends is read away.
		if t, ok := sock.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		sock.SetReadDeadline(time.Now().Add(lingerOn))
		io.CopyN(io.Discard, r, lingerBy)
	}
}
