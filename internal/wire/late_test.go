package wire

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oatfold/policy"
)

// A connection that comes up after its call became invalid is closed, and nothing is written on it.
// If the call is still valid, it is made.
func TestLateConnection(t *testing.T) {
	// crossing is a call whose connection is being opened while something else happens.
	type crossing struct {
		conn *endpointConn
		cl   *call
	}
	for name, c := range map[string]struct {
		lastByteDelay time.Duration
		event         func(*crossing)
		sent          bool
	}{
		"nothing":       {0, func(*crossing) {}, true},
		"a Retry-After": {0, func(x *crossing) { x.conn.endpoint.backoff.extend(time.Hour) }, false},
		"the endpoint drains": {0,
			func(x *crossing) { x.conn.endpoint.state.Store(int32(policy.Draining)) }, false},
		"the endpoint is removed": {0,
			func(x *crossing) { x.conn.endpoint.state.Store(int32(policy.Removed)) }, false},
		"the message expired": {0, func(x *crossing) { x.cl.items[0].writeBy = time.Now() }, false},
		"the call timed out":  {0, func(x *crossing) { x.cl.deadline = time.Now() }, false},
		"no unsafe calls, unsafe": {time.Millisecond,
			func(x *crossing) { x.conn.shutdown.Store(shutdownNoUnsafeCalls) }, false},
		"no unsafe calls, safe": {0, func(x *crossing) { x.conn.shutdown.Store(shutdownNoUnsafeCalls) }, true},
		"no calls, safe":        {0, func(x *crossing) { x.conn.shutdown.Store(shutdownNoCalls) }, false},
		"no calls, unsafe": {time.Millisecond,
			func(x *crossing) { x.conn.shutdown.Store(shutdownNoCalls) }, false},
		"the repeat window has closed": {0,
			func(x *crossing) { x.cl.items[0].writeBy = time.Now().Add(minTimeLeft / 2) }, false},
		"the repeat window is still open": {0,
			func(x *crossing) { x.cl.items[0].writeBy = time.Now().Add(time.Minute) }, true},
	} {
		ln := listenLoopback(t)
		scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 1), make(chan []byte, 1)
		go serveScripts(ln, scripts, seen, bodies)
		scripts <- endpointScript{write: httpResponse("200 OK", "")}
		ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
		dialling, up := make(chan struct{}), make(chan struct{})
		var sock *net.TCPConn
		x := &crossing{&endpointConn{endpoint: ep, shutdown: &atomic.Int32{}, dialTimeout: time.Minute}, nil}
		x.conn.dial = func(addr string, _ time.Duration) (net.Conn, error) {
			close(dialling)
			<-up
			made, err := net.Dial("tcp", addr)
			if err == nil {
				sock = made.(*net.TCPConn)
			}
			return made, err
		}
		x.cl = &call{endpoint: ep, lastByteDelay: c.lastByteDelay,
			items: []callItem{{id: "m", body: []byte("x")}}, deadline: time.Now().Add(time.Minute)}
		ended := make(chan callResult)
		go func() {
			res := x.conn.makeCall(x.cl)
			if !res.reusable {
				x.conn.close()
			}
			ended <- res
		}()
		<-dialling
		c.event(x)
		close(up)
		res := <-ended
		if c.sent {
			if res.results[0].outcome != policy.Delivered {
				t.Errorf("%s: %+v, %v", name, res.results, res.err)
			}
			x.conn.close()
			continue
		}
		if o := res.results[0].outcome; o != policy.Unsent && o != policy.ConnectFailed {
			t.Errorf("%s: outcome %v, %v, want one that never ran", name, o, res.err)
		}
		if len(seen) > 0 {
			t.Errorf("%s: a call was written", name)
		}
		if err := sock.SetDeadline(time.Time{}); err == nil {
			t.Errorf("%s: its descriptor was not closed", name)
		}
	}
}

// scriptedAgent answers the requests of a watch in order, and reports each.
type scriptedAgent struct {
	ln       net.Listener
	requests chan string
	answers  chan func(net.Conn)
}

// startScriptedAgent listens and answers each request with the next of its answers.
func startScriptedAgent(t *testing.T) *scriptedAgent {
	s := &scriptedAgent{listenLoopback(t), make(chan string, 9), make(chan func(net.Conn), 9)}
	go func() {
		for {
			sock, err := s.ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, readBufferSize)
				for {
					n, err := sock.Read(b)
					if err != nil {
						return
					}
					s.requests <- strings.Fields(string(b[:n]))[1]
					(<-s.answers)(sock)
				}
			}()
		}
	}()
	return s
}

// respondWithList answers with 200 and that endpoint list.
func respondWithList(text string) func(net.Conn) {
	return func(sock net.Conn) {
		fmt.Fprintf(sock, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// silenceableConn is a connection of a watch whose read a test can time out.
type silenceableConn struct {
	*net.TCPConn
	read    atomic.Int64 // bytes that the watch has read
	allowed atomic.Int64 // timeout of its last request, in nanoseconds
}

func (c *silenceableConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c *silenceableConn) SetDeadline(end time.Time) error {
	c.allowed.Store(int64(time.Until(end)))
	return c.TCPConn.SetDeadline(end)
}

// fallSilent waits until the watch has read that many bytes in all, then times out its read.
func (c *silenceableConn) fallSilent(t *testing.T, read int64) {
	t.Helper()
	waitFor(t, "the watch to read all data", func() bool { return c.read.Load() == read })
	if allowed := time.Duration(c.allowed.Load()); allowed <= 0 || allowed > watchHold+watchAnswerMargin {
		t.Errorf("the watch allows %v for an answer", allowed)
	}
	c.TCPConn.SetDeadline(time.Unix(1, 0))
}

// A watch without an answer, or with a part of one, is reopened with the same request. Late data on
// the old connection is ignored, and each list is reported once.
func TestSilentWatchIsReopened(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	// The usual backoff would grow with each silence and delay updates once the agent is back.
	pause := func(d time.Duration) {
		if d > 2*silentWatchBackoff {
			t.Errorf("a pause of %v after silence", d)
		}
	}
	conns := make(chan *silenceableConn, 9)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		sock, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &silenceableConn{TCPConn: sock.(*net.TCPConn)}
		conns <- c
		return c, nil
	}
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 300,
		onPause: pause, dial: dial}, events, discardLog)
	old := make(chan net.Conn, 3)
	silent := func(said string) func(net.Conn) {
		return func(sock net.Conn) {
			io.WriteString(sock, said)
			old <- sock
		}
	}
	list := func(generation int) string {
		return "\n {\n\t" + strings.TrimPrefix(endpointListJSON("127.0.0.1:1", "in_service", generation), "{")
	}
	for _, half := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"gen"} {
		s.answers <- silent(half)
		if got := <-s.requests; got != "/v1/endpoints" {
			t.Errorf("requested %s", got)
		}
		(<-conns).fallSilent(t, int64(len(half)))
	}
	s.answers <- func(sock net.Conn) {
		for range 3 {
			fmt.Fprint(<-old, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // too late
		}
		respondWithList(list(41))(sock)
	}
	if got := <-s.requests; got != "/v1/endpoints" {
		t.Errorf("requested %s", got)
	}
	if n := (<-events).(endpointListUpdate); n.Generation != 41 || !n.Complete || len(n.Entries) != 1 {
		t.Errorf("got update %+v", n)
	}
	current, half := <-conns, "HTTP/1.1 200 OK\r\nContent-Len"
	whole := current.read.Load()
	s.answers <- silent(half)
	if got := <-s.requests; !strings.Contains(got, "from=41&") {
		t.Errorf("requested %s, want the changes since 41", got)
	}
	current.fallSilent(t, whole+int64(len(half)))
	s.answers <- respondWithList(`{"generation":42,"reset":false,"instances":[]}`)
	s.answers <- respondWithList(list(43))
	for i, want := range []string{"from=41&", "from=42&"} {
		if got := <-s.requests; !strings.Contains(got, want) {
			t.Errorf("request %d: %s, want %s", i, got, want)
		}
	}
	if n := (<-events).(endpointListUpdate); n.Generation != 43 {
		t.Errorf("got update %+v, want 43 and none between", n)
	}
}

// Changes with a lower generation are ignored, and the whole list is requested. A whole list with a
// lower generation is a restart of discovery.
func TestLowerGeneration(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 1}, events, discardLog)
	old := strings.Replace(endpointListJSON("127.0.0.1:1", "in_service", 7), `"reset":true`, `"reset":false`, 1)
	s.answers <- respondWithList(endpointListJSON("127.0.0.1:1", "terminating", 41))
	s.answers <- respondWithList(old)
	s.answers <- respondWithList(endpointListJSON("127.0.0.1:1", "terminating", 42))
	s.answers <- respondWithList(endpointListJSON("127.0.0.1:1", "in_service", 3))
	for _, want := range []int64{41, 42, 3} {
		if n := (<-events).(endpointListUpdate); n.Generation != want || !n.Complete {
			t.Errorf("got update %+v, want %d", n, want)
		}
	}
	for i, want := range []string{"/v1/endpoints", "from=41", "/v1/endpoints", "from=42"} {
		if got := <-s.requests; !strings.Contains(got, want) || !strings.HasPrefix(want, "from") &&
			strings.Contains(got, "from") {
			t.Errorf("request %d: %s, want %s", i, got, want)
		}
	}
}

// After a silence the watch is reopened quickly, however large the fleet.
func TestPauseAfterSilentWatch(t *testing.T) {
	w := listWatcher{fleetSize: 300, seed: 7}
	w.firstDelay()
	seen := map[time.Duration]bool{}
	for range 20 {
		d := w.silenceBackoff.NextDelay()
		if seen[d] = true; d > 2*silentWatchBackoff {
			t.Errorf("a pause of %v after silence", d)
		}
	}
	if len(seen) < 10 {
		t.Error("pauses have no jitter")
	}
}

// A discovery that rejects requests, closes connections or sends malformed answers is retried soon:
// every pause is bounded.
func TestUpdateAfterManyFailures(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	pause := func(d time.Duration) {
		if d > time.Second {
			t.Errorf("a pause of %v", d)
		}
	}
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 300,
		onPause: pause}, events, discardLog)
	for _, fails := range []string{httpResponse("503 X", ""), "", httpResponse("200 OK", "{"),
		"HTTP/1.1 200 OK\r\nConten"} {
		s.answers <- func(sock net.Conn) {
			io.WriteString(sock, fails)
			sock.Close()
		}
		<-s.requests
	}
	s.answers <- respondWithList(endpointListJSON("127.0.0.1:1", "in_service", 41))
	if n := (<-events).(endpointListUpdate); n.Generation != 41 || !n.Complete {
		t.Errorf("got update %+v", n)
	}
}

// firstLineWriter passes on the first line of a log.
type firstLineWriter struct{ first chan string }

func (s firstLineWriter) Write(b []byte) (int, error) {
	select {
	case s.first <- string(b):
	default:
	}
	return len(b), nil
}

// An agent that starts after the relay, at its known address, is found.
func TestAgentStartsLater(t *testing.T) {
	ln := listenLoopback(t)
	addr := ln.Addr().String()
	ln.Close()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events, log := make(chan any), firstLineWriter{make(chan string, 1)}
	go watchEndpointList(ctx, listWatcher{addr: addr, generation: -1, fleetSize: 300}, events,
		slog.New(slog.NewTextHandler(log, nil)))
	if line := <-log.first; !strings.Contains(line, "discovery request failed") || !strings.Contains(line, addr) {
		t.Errorf("logged %s", line)
	}
	back, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	go func() {
		for {
			sock, err := back.Accept()
			if err != nil {
				return
			}
			go func() {
				defer sock.Close()
				if _, err := sock.Read(make([]byte, readBufferSize)); err == nil {
					respondWithList(endpointListJSON("127.0.0.1:1", "in_service", 5))(sock)
				}
			}()
		}
	}()
	if n := (<-events).(endpointListUpdate); n.Generation != 5 || !n.Complete {
		t.Errorf("got update %+v", n)
	}
}
