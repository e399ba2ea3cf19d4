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

// A dial that comes up late, behind whatever has ended its call meanwhile: nothing is written, nothing has run, no descriptor is left. Where
// nothing has ended it, it goes.
func TestDialComesUpLate(t *testing.T) {
	type crossing struct {
		rc *endpointConn
		cl *call
	}
	for name, c := range map[string]struct {
		careful time.Duration
		meant   func(*crossing)
		goes    bool
	}{
		"nothing":                         {0, func(*crossing) {}, true},
		"a told wait":                     {0, func(x *crossing) { x.rc.endpoint.backoff.extend(time.Hour) }, false},
		"the endpoint drains":             {0, func(x *crossing) { x.rc.endpoint.state.Store(int32(policy.Draining)) }, false},
		"the endpoint is gone":            {0, func(x *crossing) { x.rc.endpoint.state.Store(int32(policy.Removed)) }, false},
		"the message's time is up":        {0, func(x *crossing) { x.cl.items[0].writeBy = time.Now() }, false},
		"the call's time is up":           {0, func(x *crossing) { x.cl.deadline = time.Now() }, false},
		"the process ends, charge":        {time.Millisecond, func(x *crossing) { x.rc.shutdown.Store(shutdownNoUnsafeCalls) }, false},
		"the process ends, alert":         {0, func(x *crossing) { x.rc.shutdown.Store(shutdownNoUnsafeCalls) }, true},
		"the process is quiet, alert":     {0, func(x *crossing) { x.rc.shutdown.Store(shutdownNoCalls) }, false},
		"the process is quiet, charge":    {time.Millisecond, func(x *crossing) { x.rc.shutdown.Store(shutdownNoCalls) }, false},
		"the repeat window has closed":    {0, func(x *crossing) { x.cl.items[0].writeBy = time.Now().Add(minTimeLeft / 2) }, false},
		"the repeat window is still open": {0, func(x *crossing) { x.cl.items[0].writeBy = time.Now().Add(time.Minute) }, true},
	} {
		ln := listenLoopback(t)
		scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 1), make(chan []byte, 1)
		go serveScripts(ln, scripts, seen, bodies)
		scripts <- endpointScript{write: httpResponse("200 OK", "")}
		ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
		dialling, up := make(chan struct{}), make(chan struct{})
		var sock *net.TCPConn
		x := &crossing{&endpointConn{endpoint: ep, shutdown: &atomic.Int32{}, dialTimeout: time.Minute}, nil}
		x.rc.dial = func(addr string, _ time.Duration) (net.Conn, error) {
			close(dialling)
			<-up
			made, err := net.Dial("tcp", addr)
			if err == nil {
				sock = made.(*net.TCPConn)
			}
			return made, err
		}
		x.cl = &call{endpoint: ep, lastByteDelay: c.careful, items: []callItem{{id: "m", body: []byte("x")}}, deadline: time.Now().Add(time.Minute)}
		ended := make(chan callResult)
		go func() {
			res := x.rc.makeCall(x.cl)
			if !res.reusable {
				x.rc.close()
			}
			ended <- res
		}()
		<-dialling
		c.meant(x)
		close(up)
		res := <-ended
		if c.goes {
			if res.results[0].outcome != policy.Delivered {
				t.Errorf("%s: %+v, %v", name, res.results, res.err)
			}
			x.rc.close()
			continue
		}
		if o := res.results[0].outcome; o != policy.Unsent && o != policy.ConnectFailed {
			t.Errorf("%s: outcome %v, %v: it never ran", name, o, res.err)
		}
		if len(seen) > 0 {
			t.Errorf("%s: a call was written", name)
		}
		if err := sock.SetDeadline(time.Time{}); err == nil {
			t.Errorf("%s: its descriptor is open", name)
		}
	}
}

// scriptedAgent answers the questions of a watch in order, and tells of each.
type scriptedAgent struct {
	ln    net.Listener
	asked chan string
	say   chan func(net.Conn)
}

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
					s.asked <- strings.Fields(string(b[:n]))[1]
					(<-s.say)(sock)
				}
			}()
		}
	}()
	return s
}

func respondWithList(text string) func(net.Conn) {
	return func(sock net.Conn) {
		fmt.Fprintf(sock, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// silenceableConn is a watch's connection that a test ends the wait on, so that no clock does.
type silenceableConn struct {
	*net.TCPConn
	read    atomic.Int64 // bytes that the watch has read
	allowed atomic.Int64 // nanoseconds that it allows for the answer to its last question
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

// fallSilent waits until the watch has read so many bytes in all, then ends its wait for more as its own limit would.
func (c *silenceableConn) fallSilent(t *testing.T, read int64) {
	t.Helper()
	waitFor(t, "the watch to read what there is", func() bool { return c.read.Load() == read })
	if allowed := time.Duration(c.allowed.Load()); allowed <= 0 || allowed > watchHold+watchAnswerMargin {
		t.Errorf("the watch allows %v for an answer", allowed)
	}
	c.TCPConn.SetDeadline(time.Unix(1, 0))
}

// A watch that falls silent, at the first question, behind half a line, or later on, is opened anew with the same question; what the old one
// says then is heard by nobody, and each list is told once.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	// Risk: the usual pause would be longer with each silence, up to 2 s for such a fleet; an agent that comes back meanwhile is not heard.
	pause := func(d time.Duration) {
		if d > 2*silentWatchBackoff {
			t.Errorf("a pause of %v after silence", d)
		}
	}
	dialled := make(chan *silenceableConn, 9)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		sock, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &silenceableConn{TCPConn: sock.(*net.TCPConn)}
		dialled <- c
		return c, nil
	}
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 300, onPause: pause, dial: dial}, events, discardLog)
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
		s.say <- silent(half)
		if got := <-s.asked; got != "/v1/endpoints" {
			t.Errorf("asks %s", got)
		}
		(<-dialled).fallSilent(t, int64(len(half)))
	}
	s.say <- func(sock net.Conn) {
		for range 3 {
			fmt.Fprint(<-old, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // too late
		}
		respondWithList(list(41))(sock)
	}
	if got := <-s.asked; got != "/v1/endpoints" {
		t.Errorf("asks %s", got)
	}
	if n := (<-events).(endpointListUpdate); n.Generation != 41 || !n.Complete || len(n.Entries) != 1 {
		t.Errorf("hears %+v", n)
	}
	kept, half := <-dialled, "HTTP/1.1 200 OK\r\nContent-Len"
	whole := kept.read.Load()
	s.say <- silent(half)
	if got := <-s.asked; !strings.Contains(got, "from=41&") {
		t.Errorf("asks %s, want what came behind 41", got)
	}
	kept.fallSilent(t, whole+int64(len(half)))
	s.say <- respondWithList(`{"generation":42,"reset":false,"instances":[]}`)
	s.say <- respondWithList(list(43))
	for i, want := range []string{"from=41&", "from=42&"} {
		if got := <-s.asked; !strings.Contains(got, want) {
			t.Errorf("question %d: %s, want %s", i, got, want)
		}
	}
	if n := (<-events).(endpointListUpdate); n.Generation != 43 {
		t.Errorf("hears %+v, want 43 and nothing between", n)
	}
}

// Changes of a lower generation than what is known change nothing; the whole list is asked for. A whole list of a lower one is a new start.
func TestLowerGeneration(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 1}, events, discardLog)
	old := strings.Replace(endpointListJSON("127.0.0.1:1", "in_service", 7), `"reset":true`, `"reset":false`, 1)
	s.say <- respondWithList(endpointListJSON("127.0.0.1:1", "terminating", 41))
	s.say <- respondWithList(old)
	s.say <- respondWithList(endpointListJSON("127.0.0.1:1", "terminating", 42))
	s.say <- respondWithList(endpointListJSON("127.0.0.1:1", "in_service", 3))
	for _, want := range []int64{41, 42, 3} {
		if n := (<-events).(endpointListUpdate); n.Generation != want || !n.Complete {
			t.Errorf("hears %+v, want %d", n, want)
		}
	}
	for i, want := range []string{"/v1/endpoints", "from=41", "/v1/endpoints", "from=42"} {
		if got := <-s.asked; !strings.Contains(got, want) || !strings.HasPrefix(want, "from") && strings.Contains(got, "from") {
			t.Errorf("question %d: %s, want %s", i, got, want)
		}
	}
}

// After silence the watch is asked anew at once, however large the fleet: an agent that comes back has its news count as told.
func TestPauseAfterSilence(t *testing.T) {
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

// A discovery that turns questions away, ends them or answers nonsense, one after the other, is heard as soon as it answers: no pause before
// that is longer than the bound.
func TestNewsBehindManyFailures(t *testing.T) {
	s := startScriptedAgent(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events := make(chan any)
	pause := func(d time.Duration) {
		if d > time.Second {
			t.Errorf("a pause of %v", d)
		}
	}
	go watchEndpointList(ctx, listWatcher{addr: s.ln.Addr().String(), generation: -1, fleetSize: 300, onPause: pause}, events, discardLog)
	for _, fails := range []string{httpResponse("503 X", ""), "", httpResponse("200 OK", "{"), "HTTP/1.1 200 OK\r\nConten"} {
		s.say <- func(sock net.Conn) {
			io.WriteString(sock, fails)
			sock.Close()
		}
		<-s.asked
	}
	s.say <- respondWithList(endpointListJSON("127.0.0.1:1", "in_service", 41))
	if n := (<-events).(endpointListUpdate); n.Generation != 41 || !n.Complete {
		t.Errorf("hears %+v", n)
	}
}

// firstLineWriter tells of the first line that a log says.
type firstLineWriter struct{ first chan string }

func (s firstLineWriter) Write(b []byte) (int, error) {
	select {
	case s.first <- string(b):
	default:
	}
	return len(b), nil
}

// An agent that nobody answers for at the start, and that is back later at its address, is heard then.
func TestAgentComesLater(t *testing.T) {
	ln := listenLoopback(t)
	addr := ln.Addr().String()
	ln.Close()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	events, log := make(chan any), firstLineWriter{make(chan string, 1)}
	go watchEndpointList(ctx, listWatcher{addr: addr, generation: -1, fleetSize: 300}, events, slog.New(slog.NewTextHandler(log, nil)))
	if line := <-log.first; !strings.Contains(line, "discovery fails") || !strings.Contains(line, addr) {
		t.Errorf("says %s", line)
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
		t.Errorf("hears %+v", n)
	}
}
