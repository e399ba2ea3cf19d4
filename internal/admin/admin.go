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
	MaxConns       = 16                     // connections at once
	requestTimeout = 2 * time.Second        // a call, from connecting on
	writeTimeout   = 500 * time.Millisecond // its answer
	lingerTimeout  = 200 * time.Millisecond // for what a caller still sends behind a bad call
	maxLingerBytes = 64 << 10
	minEvictionAge = 5 * time.Millisecond // one that connected so lately gives no way: its call may be on the way
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

// respond decides about one call: its status, and the body that goes with it. A call that is not yes changes nothing.
func (c *Handlers) respond(method, target string, hasBody bool) (status int, body []byte) {
	if rest, found := strings.CutPrefix(target, "/sites/"); found {
		return c.respondSite(method, rest, hasBody)
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
	case hasBody:
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
		return respondView(c.Members, "membership is off here\n")
	case "/choices":
		return respondView(c.Choices, "no choices are shared here\n")
	case "/sites":
		return respondView(c.Sites, noSitePlan)
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

const noSitePlan = "no plan for sites is in force here\n"

// respondView answers with what f has to show.
func respondView(f func() []byte, none string) (int, []byte) {
	if f != nil {
		if b := f(); b != nil {
			return 200, b
		}
	}
	return 404, []byte(none)
}

// respondSite takes a site out by hand, or lets it come back: PUT /sites/ZONE/out and /in.
func (c *Handlers) respondSite(method, rest string, hasBody bool) (int, []byte) {
	zone, action, _ := strings.Cut(rest, "/")
	switch {
	case action != "out" && action != "in" || zone == "":
		return 404, nil
	case method != "PUT":
		return 405, nil
	case hasBody:
		return 400, []byte("a call has no body, and one comes alone\n")
	case c.SetSite == nil || c.Sites == nil || c.Sites() == nil:
		return 404, []byte(noSitePlan)
	}
	known, done := c.SetSite(zone, action == "out")
	switch {
	case !known:
		return 404, []byte("the plan has no such site\n")
	case !done:
		return 503, nil
	}
	c.Log.Info("told of a site", "zone", zone, "word", action)
	return 200, nil
}

// Server is the operators' listener.
type Server struct {
	listener net.Listener
	handlers Handlers

	mu         sync.Mutex
	conns      map[net.Conn]time.Time // since when
	connClosed chan struct{}
}

// Serve answers calls on ln until it is closed.
func Serve(ln net.Listener, handlers Handlers) *Server {
	s := &Server{listener: ln, handlers: handlers, conns: map[net.Conn]time.Time{}, connClosed: make(chan struct{}, 1)}
	go s.acceptLoop()
	return s
}

// Close ends the listener. Calls that were begun are answered.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) acceptLoop() {
	for {
		s.waitForCapacity()
		sock, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.handlers.Log.Warn("accept failed at the operators' address", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[sock] = time.Now()
		s.mu.Unlock()
		go s.serveConn(sock)
	}
}

// waitForCapacity waits until a further connection may be taken. Guards against callers that say nothing, or half a call, and stay: the
// oldest of those without a byte to read gives way, or else the oldest of all.
func (s *Server) waitForCapacity() {
	for {
		s.mu.Lock()
		full := len(s.conns) >= MaxConns
		if full {
			var silent, oldest net.Conn
			for c, since := range s.conns {
				if time.Since(since) < minEvictionAge {
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
		case <-s.connClosed:
		case <-time.After(minEvictionAge):
		}
	}
}

func (s *Server) serveConn(sock net.Conn) {
	defer func() {
		if p := recover(); p != nil {
			s.handlers.Log.Error("panic on an operator's connection", "panic", p)
		}
		sock.Close()
		s.mu.Lock()
		delete(s.conns, sock)
		s.mu.Unlock()
		select {
		case s.connClosed <- struct{}{}:
		default:
		}
	}()
	sock.SetReadDeadline(time.Now().Add(requestTimeout))
	r := bufio.NewReader(sock)
	method, target, body, err := wire.ReadRequestHead(r)
	status, text := 400, []byte(nil)
	switch {
	case err == nil:
		status, text = s.handlers.respond(method, target, body || r.Buffered() > 0)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return // it said too little in its time, or went away
	}
	b := append(strconv.AppendInt([]byte("HTTP/1.1 "), int64(status), 10), ' ')
	b = append(b, map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}[status]...)
	contentType := "text/plain; version=0.0.4"
	if len(text) > 0 && text[0] == '{' {
		contentType = "application/json"
	}
	b = append(append(append(b, "\r\nContent-Type: "...), contentType...), "\r\nConnection: close\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(text)), 10), "\r\n\r\n"...)
	sock.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := sock.Write(append(b, text...)); err == nil && status != 200 {
		// Guards against a reset that overtakes the answer: what the caller still sends is read away.
		if t, ok := sock.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		sock.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, r, maxLingerBytes)
	}
}
