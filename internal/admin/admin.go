// Package admin serves the admin address, which answers operators. It handles one HTTP/1.1 request
// per connection, bounds the number of connections, and never waits for the relay's event loop:
// requests read counters and set switches.
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

// Bounds of connections.
const (
	MaxConns       = 16                     // at once
	requestTimeout = 2 * time.Second        // from accepting the connection to the end of the request
	writeTimeout   = 500 * time.Millisecond // for the response
	lingerTimeout  = 200 * time.Millisecond // for reading what a client still sends after an error response
	maxLingerBytes = 64 << 10               // read during lingerTimeout, at most
	minEvictionAge = 5 * time.Millisecond   // younger connections are not evicted: their request may be in flight
)

// Handlers are the functions behind the admin requests. None of them may block.
type Handlers struct {
	Serving     func() bool           // reports whether the process can serve
	Stats       func(b []byte) []byte // appends the metrics
	SetDraining func(on bool) bool    // starts or ends draining; false: not possible now
	Members     func() []byte         // the view of the fleet as JSON; nil: membership is off
	Choices     func() []byte         // the shared choices as JSON; nil: none are shared
	Sites       func() []byte         // the states of the sites as JSON; nil: there is no site plan

	// SetSite takes a site out of service or lets it return. known: the plan has such a zone; done:
	// the command was accepted.
	SetSite func(zone string, out bool) (known, done bool)
	Log     *slog.Logger
}

// respond handles one request and returns the status and the body of the response. Only requests
// that it answers with 200 change anything.
func (c *Handlers) respond(method, target string, hasBody bool) (status int, body []byte) {
	if rest, found := strings.CutPrefix(target, "/sites/"); found {
		return c.respondSite(method, rest, hasBody)
	}
	known := true
	switch method + " " + target {
	case "GET /healthcheck", "GET /stats", "GET /members", "GET /choices", "GET /sites", "PUT /healthcheck/fail",
		"PUT /healthcheck/ok":
	default:
		known = false
	}
	switch {
	case !known && (target == "/healthcheck" || target == "/stats" || target == "/members" || target == "/choices" ||
		target == "/sites" || target == "/healthcheck/fail" || target == "/healthcheck/ok"):
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
		if !c.SetDraining(true) {
			return 503, nil
		}
		c.Log.Info("operator started draining")
	case "/healthcheck/ok":
		if !c.SetDraining(false) {
			return 503, nil
		}
		c.Log.Info("operator ended draining")
	}
	return 200, nil
}

// noSitePlan is the body of the response if the relay has no site plan.
const noSitePlan = "no plan for sites is in force here\n"

// respondView returns the view that f renders, or 404 with the text none if there is no view.
func respondView(f func() []byte, none string) (int, []byte) {
	if f != nil {
		if b := f(); b != nil {
			return 200, b
		}
	}
	return 404, []byte(none)
}

// respondSite handles PUT /sites/ZONE/out, which takes a site out of service, and /in, which lets
// it return.
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
	c.Log.Info("operator changed a site", "zone", zone, "word", action)
	return 200, nil
}

// Server serves the admin address.
type Server struct {
	listener net.Listener
	handlers Handlers

	mu         sync.Mutex
	conns      map[net.Conn]time.Time // time of accepting each
	connClosed chan struct{}
}

// Serve starts a server that answers requests on ln until Close.
func Serve(ln net.Listener, handlers Handlers) *Server {
	s := &Server{listener: ln, handlers: handlers, conns: map[net.Conn]time.Time{}, connClosed: make(chan struct{}, 1)}
	go s.acceptLoop()
	return s
}

// Close closes the listener. Open connections are still answered.
func (s *Server) Close() error { return s.listener.Close() }

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		s.waitForCapacity()
		sock, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.handlers.Log.Warn("cannot accept a connection at the admin address", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[sock] = time.Now()
		s.mu.Unlock()
		go s.serveConn(sock)
	}
}

// waitForCapacity waits until another connection may be accepted. At the limit it evicts the oldest
// connection without unread bytes, or else the oldest of all, so that idle clients can't occupy the
// address.
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

// serveConn reads one request and writes the response.
func (s *Server) serveConn(sock net.Conn) {
	defer func() {
		if p := recover(); p != nil {
			s.handlers.Log.Error("panic while serving an admin connection", "panic", p)
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
		return // the request is incomplete: the client was too slow or has disconnected
	}
	b := append(strconv.AppendInt([]byte("HTTP/1.1 "), int64(status), 10), ' ')
	b = append(b, map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
		503: "Service Unavailable"}[status]...)
	contentType := "text/plain; version=0.0.4"
	if len(text) > 0 && text[0] == '{' {
		contentType = "application/json"
	}
	b = append(append(append(b, "\r\nContent-Type: "...), contentType...),
		"\r\nConnection: close\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(text)), 10), "\r\n\r\n"...)
	sock.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := sock.Write(append(b, text...)); err == nil && status != 200 {
		// Closing with unread data would send a reset, which can overtake the response.
		if t, ok := sock.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		sock.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, r, maxLingerBytes)
	}
}
