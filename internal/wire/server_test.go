package wire

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http" // an independent HTTP implementation
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatfold/internal/admission"
	"oatfold/internal/drain"
	"oatfold/policy"
)

var discardLog = slog.New(slog.DiscardHandler)

func testSettings() policy.Settings {
	return policy.Settings{Relays: 1, MaxConcurrentCalls: 4, MaxPending: 8, MaxAttempts: 6, SendRetryAfter: true,
		MaxRetryAfter: 3 * time.Second,
		Tick:          time.Millisecond, IdleConnTimeout: 15 * time.Second, ColdStartShare: 0.2,
		WarmUpTime:     time.Second,
		OverloadFactor: 2,
		OverloadTime:   3 * time.Second, Classes: []policy.Class{
			{Name: "alert", Effect: policy.Safe, TargetLatency: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
			{Name: "order", Effect: policy.Keyed, RepeatWindow: 5 * time.Second, TargetLatency: 3 * time.Second,
				Deadline: 20 * time.Second, Value: 2},
			{Name: "fee", Effect: policy.Unsafe, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 5}},
		Kinds: []policy.Kind{{Name: "broker", MaxBatch: 5}, {Name: "small", MaxBatch: 1}},
		Zones: []policy.Zone{{Name: "z"}}}
}

// ownLoopback returns a loopback address that no other process uses. A client of another process
// that retries at a reused port of 127.0.0.1 would be answered by the test.
func ownLoopback() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1" // other systems configure only 127.0.0.1
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// listenLoopback opens a loopback listener that closes with the test.
func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(ownLoopback(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func dialListener(t testing.TB, ln net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // only bounds a hang
	return c, bufio.NewReader(c)
}

// waitFor polls until ok; the limit only bounds a hang.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 20_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

// fakeHost accepts messages up to its capacity.
type fakeHost struct {
	sync.Mutex
	capacity           int
	accepted, answered int
	events             chan any
	lastBody           string
	seen               map[string]bool
}

func startServer(t testing.TB, capacity, maxConns int) (*Server, *fakeHost, net.Listener) {
	ln := listenLoopback(t)
	server, h := startServerOn(t, ln, capacity, maxConns)
	return server, h, ln
}

func startServerOn(t testing.TB, ln net.Listener, capacity, maxConns int) (*Server, *fakeHost) {
	h := &fakeHost{capacity: capacity, events: make(chan any), seen: map[string]bool{}}
	set := testSettings()
	server := NewServer(ln, &set, maxConns, h.events, discardLog)
	done := make(chan struct{})
	t.Cleanup(func() { server.Shutdown(); close(done) })
	go server.Serve()
	go func() {
		for {
			select {
			case <-done:
				return
			case e := <-h.events:
				h.Lock()
				switch e := e.(type) {
				case submitRequest:
					result := submitResult{duplicate: h.seen[e.message.ID], retryAfter: time.Second}
					if e.message.Dest == 404 {
						result = submitResult{unknownDest: true}
					} else if !result.duplicate && h.accepted < h.capacity {
						h.accepted, h.lastBody, h.seen[e.message.ID], result = h.accepted+1, string(e.message.Body),
							true,
							submitResult{accepted: true}
					}
					e.reply <- result
				case submitAnswered:
					h.answered++
				}
				h.Unlock()
			}
		}
	}()
	return server, h
}

func validRequest(id, body string) string {
	return fmt.Sprintf("POST /alert HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 480\r\nEnvelope: dest=7\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// Checks random requests on a client connection against a model: the status of each response, and
// whether the connection stays open.
func FuzzFront(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7}, uint8(3))
	f.Add([]byte{1, 1, 8, 1, 9, 1, 10, 1, 11, 1, 12, 13, 1, 14, 1, 15}, uint8(1))
	f.Add([]byte{23, 1, 22, 1, 21, 5, 20, 19, 18}, uint8(90))
	f.Add([]byte{24, 1, 25, 26, 27, 1, 28, 29, 30, 31, 1}, uint8(40))
	f.Add([]byte{1, 16, 17, 1, 18, 19, 20, 1, 1, 1, 1, 1, 1}, uint8(255))
	f.Fuzz(func(t *testing.T, steps []byte, split uint8) {
		const capacity = 4
		server, host, ln := startServer(t, capacity, 10)
		server.HandleDrainEvent(drain.Started)
		var c net.Conn
		var r *bufio.Reader
		acceptedCount, ids := 0, 0
		for _, s := range steps[:min(len(steps), 24)] {
			if c == nil {
				c, r = dialListener(t, ln)
			}
			ids++
			id := fmt.Sprint("m", ids)
			type step struct {
				send   string
				status int
				open   bool
			}
			post := func(line, with string) string {
				req := validRequest(id, "body")
				if line != "" {
					_, rest, _ := strings.Cut(req, "\r\n")
					req = line + "\r\n" + rest
				}
				return strings.Replace(req, "\r\n\r\n", "\r\n"+with+"\r\n", 1)
			}
			drop := func(name string) string { return strings.Replace(validRequest(id, "body"), name, "X-Other", 1) }
			accepted := 202
			if acceptedCount >= capacity {
				accepted = 503
			}
			model := []step{
				{"GET /ready HTTP/1.1\r\n\r\n", 200, true},
				{validRequest(id, "body"), accepted, true},
				{post("", "Connection: close\r\n"), accepted, false},
				{post("POST /alert HTTP/1.0", ""), accepted, false},
				{post("POST /alert/x?y=1 HTTP/1.1", "X-Repeat: again\r\n"), accepted, true},
				{strings.Replace(
					strings.Replace(post("", "Transfer-Encoding: chunked\r\n"), "Content-Length: 4\r\n", "", 1),
					"\r\n\r\nbody", "\r\n\r\n3;x=1\r\nbod\r\n1\r\ny\r\n0\r\nT: 1\r\n\r\n", 1), accepted, true},
				{post("POST /nobody HTTP/1.1", ""), 400, true},
				{drop("X-Correlation-Id"), 400, true},
				{drop("X-Time-Left-Ms"), 400, true},
				{strings.Replace(validRequest(id, "body"), "480", "-1", 1), 400, true},
				{strings.Replace(validRequest(id, "body"), "dest=7", "dest=x", 1), 400, true},
				{post("POST /order HTTP/1.1", ""), 400, true}, // keyed, without a key
				{post("POST /order HTTP/1.1", "Idempotency-Key: k\r\n"), accepted, true},
				{"PUT /alert HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, true},
				{"nonsense\r\n\r\n", 400, false},
				{"POST /alert HTTP/2.0\r\n\r\n", 400, false},
				{post("", "bad header\r\n"), 400, false},
				{post("", " folded: x\r\n"), 400, false},
				{post("", "Content-Length: 5\r\n"), 400, false},
				{post("", "Transfer-Encoding: chunked\r\n"), 400, false},
				{fmt.Sprintf("POST /alert HTTP/1.1\r\nContent-Length: %d\r\n\r\n", maxBody+1), 413, false},
				{"GET /" + strings.Repeat("x", readBufferSize) + " HTTP/1.1\r\n\r\n", 431, false},
				{"GET /ready HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxFields+1) + "\r\n", 431, false},
				{validRequest(id, strings.Repeat("b", maxBody)), accepted, true},
				{post("", "X-Correlation-Id: other\r\n"), 400, true},
				{post("", "X-Time-Left-Ms: 481\r\n"), 400, true},
				{post("", "Envelope: dest=7\r\n"), accepted, true},
				{post("", "Envelope: dest=8\r\n"), 400, true},
				{strings.Replace(validRequest(id, "body"), "dest=7", "dest=7;dest=8", 1), 400, true},
				{strings.Replace(validRequest(id, "body"), "dest=7", "dest=404", 1), 400, true}, // in no endpoint list
				{strings.Replace(validRequest(id, "body"), "480", "99999999", 1), 400, true},
				{post("POST /order HTTP/1.1", "Idempotency-Key: \x7f\r\n"), 400, true},
			}
			m := model[int(s)%len(model)]
			at := int(split) % len(m.send)
			io.WriteString(c, m.send[:at])
			io.WriteString(c, m.send[at:])
			a, err := readResponseHead(r)
			if err == nil {
				err = a.readRemaining(r, maxBody)
			}
			if err != nil || a.status != m.status || a.reusable != m.open {
				t.Fatalf("step %d: %.80q: %+v, %v; want %d, open %v", s, m.send, a, err, m.status, m.open)
			}
			if (a.status == 503) != (a.get("Retry-After") != "") {
				t.Fatalf("step %d: %d with Retry-After %q", s, a.status, a.get("Retry-After"))
			}
			if (a.status == 400 || a.status == 413 || a.status == 431) != (len(a.body) > 0) {
				t.Fatalf("step %d: %d with text %q", s, a.status, a.body)
			}
			if a.status == 202 {
				acceptedCount++
			}
			if !m.open {
				if _, err := r.ReadByte(); err != io.EOF {
					t.Fatalf("step %d: the connection is still open: %v", s, err)
				}
				c.Close()
				c = nil
			}
		}
		server.Shutdown()
		waitFor(t, "each accepted message to be answered once", func() bool {
			host.Lock()
			defer host.Unlock()
			return server.OpenConnections() == 0 && host.accepted == acceptedCount && host.answered == acceptedCount
		})
	})
}

// A message submitted again under the same id on a new connection is accepted once.
func TestDuplicateRequest(t *testing.T) {
	_, host, ln := startServer(t, 8, 10)
	for range 2 {
		c, r := dialListener(t, ln)
		io.WriteString(c, validRequest("same", "hello"))
		if a, err := readResponseHead(r); err != nil || a.status != 202 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if host.Lock(); host.accepted != 1 || host.lastBody != "hello" {
		t.Errorf("accepted %d times, body %q", host.accepted, host.lastBody)
	}
	host.Unlock()
}

// A request that has begun is answered after a shutdown; an idle connection closes.
func TestShutdownAnswersBegunRequests(t *testing.T) {
	server, _, ln := startServer(t, 8, 10)
	c, r := dialListener(t, ln)
	req := validRequest("slow", "hello")
	io.WriteString(c, req[:20])
	idle, idleReader := dialListener(t, ln)
	waitFor(t, "one connection to be busy", func() (busy bool) {
		server.mu.Lock()
		defer server.mu.Unlock()
		for fc := range server.conns {
			busy = busy || fc.state == connBusy
		}
		return busy && len(server.conns) == 2
	})
	server.Shutdown()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection %v: %v", idle.LocalAddr(), err)
	}
	io.WriteString(c, req[20:])
	if a, err := readResponseHead(r); err != nil || a.status != 202 || !a.closesConnection("HTTP/1.1") {
		t.Errorf("%+v, %v", a, err)
	}
}

// At the connection limit the connection that has been idle longest is evicted.
func TestIdleConnectionEvicted(t *testing.T) {
	server, _, ln := startServer(t, 8, 2)
	server.HandleDrainEvent(drain.Started)
	ask := func(c net.Conn, r *bufio.Reader) error {
		io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
		a, err := readResponseHead(r)
		if err == nil {
			err = a.readRemaining(r, maxBody)
		}
		return err
	}
	var first *bufio.Reader
	for i := range 4 {
		c, r := dialListener(t, ln)
		if err := ask(c, r); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		if i == 0 {
			first = r
		}
	}
	if _, err := first.ReadByte(); err != io.EOF {
		t.Errorf("the oldest is still open: %v", err)
	}
}

// Connections without a request are closed, and don't keep another client from being answered.
func TestSilentConnectionsEvicted(t *testing.T) {
	server, _, ln := startServer(t, 8, 4)
	server.HandleDrainEvent(drain.Started)
	var silent []*bufio.Reader
	for range 12 {
		_, r := dialListener(t, ln)
		silent = append(silent, r)
	}
	c, r := dialListener(t, ln)
	io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
	if a, err := readResponseHead(r); err != nil || a.status != 200 {
		t.Fatalf("%+v, %v", a, err)
	}
	for _, r := range silent {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("still open: %v", err)
		}
	}
}

// timedListener accepts connections whose read deadlines the test expires, independent of the
// clock.
type timedListener struct {
	*net.TCPListener
	accepted chan *timedConn
}

func (l *timedListener) Accept() (net.Conn, error) {
	sock, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &timedConn{TCPConn: sock}
	l.accepted <- c
	return c, nil
}

// timedConn records the timeout of each read deadline.
type timedConn struct {
	*net.TCPConn
	read atomic.Int64 // read by the server

	mu       sync.Mutex
	timeouts []time.Duration
}

func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c *timedConn) SetReadDeadline(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts = append(c.timeouts, time.Until(end))
	return c.TCPConn.SetReadDeadline(end)
}

// expireRead waits until the server has read that many bytes and set a deadline for each of limits,
// checks each timeout against its limit, and expires the last one.
func (c *timedConn) expireRead(t *testing.T, read int, limits ...time.Duration) {
	t.Helper()
	waitFor(t, "the server to wait", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.read.Load() == int64(read) && len(c.timeouts) == len(limits)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, limit := range limits {
		if c.timeouts[i] <= 0 || c.timeouts[i] > limit {
			t.Errorf("timeout %d is %v, want up to %v", i, c.timeouts[i], limit)
		}
	}
	c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// A partial request is answered with an error after a timeout; an idle connection closes after its
// own.
func TestRequestAndIdleTimeouts(t *testing.T) {
	ln := &timedListener{listenLoopback(t).(*net.TCPListener), make(chan *timedConn, 2)}
	startServerOn(t, ln, 8, 10)
	partial, partialReader := dialListener(t, ln)
	request := validRequest("half", "hello")[:40]
	io.WriteString(partial, request)
	(<-ln.accepted).expireRead(t, len(request), firstByteTimeout, requestReadTimeout)
	if a, err := readResponseHead(partialReader); err != nil || a.status != 408 {
		t.Fatalf("%+v, %v", a, err)
	}
	kept, keptReader := dialListener(t, ln)
	request = validRequest("kept", "hello")
	io.WriteString(kept, request)
	if a, err := readResponseHead(keptReader); err != nil || a.status != 202 {
		t.Fatalf("%+v, %v", a, err)
	}
	(<-ln.accepted).expireRead(t, len(request), firstByteTimeout, requestReadTimeout, admission.LongIdleTimeout)
	if _, err := keptReader.ReadByte(); err != io.EOF {
		t.Fatalf("still open: %v", err)
	}
}

// During a planned stop each response says so and GET /ready fails; messages are still accepted.
func TestPlannedStopIsAnnounced(t *testing.T) {
	server, host, ln := startServer(t, 4, 10)
	server.HandleDrainEvent(drain.Started)
	c, r := dialListener(t, ln)
	for _, s := range []struct {
		leave          bool
		request, state string
		status         int
	}{{false, "GET /ready HTTP/1.1\r\n\r\n", "", 200}, {true, "GET /ready HTTP/1.1\r\n\r\n", "stopping", 503},
		{true, validRequest("m1", "body"), "stopping", 202}} {
		if s.leave {
			server.HandleDrainEvent(drain.Stop)
		}
		io.WriteString(c, s.request)
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != s.status || res.Header.Get("X-Relay-State") != s.state {
			t.Errorf("%q: %v, %v", s.request, res, err)
		}
	}
	if host.Lock(); host.accepted != 1 {
		t.Errorf("accepted %d", host.accepted)
	}
	host.Unlock()
}

// Idle connections of clients that open one for each request close early; the first few stay.
func TestUnusedIdleConnectionsCloseEarly(t *testing.T) {
	_, _, ln := startServer(t, 4, 16) // two may always stay idle for the long timeout
	var conns []net.Conn
	var readers []*bufio.Reader
	ask := func(c net.Conn, r *bufio.Reader) {
		t.Helper()
		io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
		if res, err := http.ReadResponse(r, nil); err != nil || res.Close {
			t.Fatalf("%v, %v", res, err)
		}
	}
	for range 6 {
		c, r := dialListener(t, ln)
		ask(c, r)
		conns, readers = append(conns, c), append(readers, r)
	}
	// Which two stay depends on how long it took to open them.
	type looked struct {
		i   int
		err error
	}
	looks := make(chan looked, len(readers))
	for i, r := range readers {
		go func() {
			_, err := r.Peek(1)
			looks <- looked{i, err}
		}()
	}
	open := []int{0, 1, 2, 3, 4, 5}
	next := func() (l looked) {
		select {
		case l = <-looks:
		case <-time.After(20 * time.Second):
			t.Fatalf("still open: %v", open)
		}
		return l
	}
	for range 4 {
		l := next()
		if l.err != io.EOF {
			t.Fatal(l)
		}
		open = slices.DeleteFunc(open, func(n int) bool { return n == l.i })
	}
	for _, i := range open {
		io.WriteString(conns[i], "GET /ready HTTP/1.1\r\n\r\n")
	}
	for range open {
		if l := next(); l.err != nil {
			t.Fatal(l)
		}
	}
	for _, i := range open {
		if res, err := http.ReadResponse(readers[i], nil); err != nil || res.Close {
			t.Fatalf("%v, %v", res, err)
		}
	}
}

// A drain shows on each response at once and closes idle and new connections; later clients are
// still served, and the drain can be ended.
func TestDrainAndResume(t *testing.T) {
	server, host, ln := startServer(t, 4, 10)
	server.HandleDrainEvent(drain.Started)
	busy, busyReader := dialListener(t, ln)
	_, idleReader := dialListener(t, ln)
	waitFor(t, "both connections", func() bool { return server.OpenConnections() == 2 })
	server.HandleDrainEvent(drain.HealthFail)
	io.WriteString(busy, validRequest("m1", "body"))
	if res, err := http.ReadResponse(busyReader, nil); err != nil || res.StatusCode != 202 || !res.Close {
		t.Fatalf("connection in use: %v, %v", res, err)
	}
	for _, r := range []*bufio.Reader{busyReader, idleReader} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("still open: %v", err)
		}
	}
	ask := func(request string) (status int, closes bool) {
		c, r := dialListener(t, ln)
		io.WriteString(c, request)
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, res.Close
	}
	if status, closes := ask("GET /ready HTTP/1.1\r\n\r\n"); status != 503 || !closes || !server.Serving() {
		t.Errorf("GET /ready: %d, close %v, serving %v", status, closes, server.Serving())
	}
	if status, closes := ask(validRequest("m2", "body")); status != 202 || !closes {
		t.Errorf("new client: %d, close %v", status, closes)
	}
	server.HandleDrainEvent(drain.HealthOK)
	if status, closes := ask("GET /ready HTTP/1.1\r\n\r\n"); status != 200 || closes {
		t.Errorf("after the drain: %d, close %v", status, closes)
	}
	if host.Lock(); host.accepted != 2 {
		t.Errorf("accepted %d", host.accepted)
	}
	host.Unlock()
}

// The trace shows each connection's events, oldest first, and drops the oldest when full.
func TestTrace(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ln, &policy.Settings{}, 10, make(chan any, 1), discardLog)
	server.HandleDrainEvent(drain.Started)
	go server.Serve()
	sock, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		fmt.Fprint(sock, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(sock), nil); err != nil {
			t.Fatal(err)
		}
	}
	sock.Close()
	for server.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	server.Shutdown()
	names := func() (all []string) {
		var out strings.Builder
		if err := server.Trace(&out); err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(out.String()) {
			w := strings.Fields(line)
			if len(w) != 6 || w[0] != "trace" || w[2] != "c1" {
				t.Fatalf("line %q", line)
			}
			all = append(all, w[3]+" "+w[4])
		}
		return all
	}
	got := names()
	for i, want := range []string{"accept 1", "first", "answer 200", "first", "answer 200", "close 1"} {
		if i >= len(got) || !strings.HasPrefix(got[i], want) {
			t.Fatalf("trace %q, want %q at %d", got, want, i)
		}
	}
	for range traceCapacity - 1 {
		server.trace.record(1, traceClose, 2, 0)
	}
	if all := names(); len(all) != traceCapacity || all[0] != "close 1" || all[traceCapacity-1] != "close 2" {
		t.Errorf("%d events, from %q to %q", len(all), all[0], all[len(all)-1])
	}
}
