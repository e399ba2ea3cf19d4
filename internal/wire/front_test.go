package wire

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http" // an independent peer; the program has its own parsers
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
	return policy.Settings{Relays: 1, MaxConcurrentCalls: 4, MaxPending: 8, MaxAttempts: 6, SendRetryAfter: true, MaxRetryAfter: 3 * time.Second,
		Tick: time.Millisecond, IdleConnTimeout: 15 * time.Second, ColdStartShare: 0.2, WarmUpTime: time.Second, OverloadFactor: 2,
		OverloadTime: 3 * time.Second, Classes: []policy.Class{
			{Name: "alert", Effect: policy.Safe, TargetLatency: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
			{Name: "order", Effect: policy.Keyed, RepeatWindow: 5 * time.Second, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 2},
			{Name: "fee", Effect: policy.Unsafe, TargetLatency: 3 * time.Second, Deadline: 20 * time.Second, Value: 5}},
		Kinds: []policy.Kind{{Name: "broker", MaxBatch: 5}, {Name: "small", MaxBatch: 1}}, Zones: []policy.Zone{{Name: "z"}}}
}

// ownLoopback is a loopback address that no other process listens on. Guards against strangers: whoever asks again at a
// port of 127.0.0.1 that has passed to a listener of ours is answered by the test's script, and the test hangs.
func ownLoopback() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1" // elsewhere the others of 127.0.0.0/8 are not there unless somebody adds them
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// listenLoopback opens a loopback socket that closes with the test.
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
	c.SetDeadline(time.Now().Add(20 * time.Second)) // a bound for a hang, not a measure
	return c, bufio.NewReader(c)
}

// waitFor waits for something that must come, with a bound for a hang only.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 20_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("waited in vain for %s", what)
}

// fakeHost takes hand-ins as a host with so much room would.
type fakeHost struct {
	sync.Mutex
	capacity           int
	accepted, answered int
	events             chan any
	lastBody           string
	seen               map[string]bool
}

func startServer(t testing.TB, room, most int) (*Server, *fakeHost, net.Listener) {
	ln := listenLoopback(t)
	f, h := startServerOn(t, ln, room, most)
	return f, h, ln
}

func startServerOn(t testing.TB, ln net.Listener, room, most int) (*Server, *fakeHost) {
	h := &fakeHost{capacity: room, events: make(chan any), seen: map[string]bool{}}
	set := testSettings()
	f := NewServer(ln, &set, most, h.events, discardLog)
	done := make(chan struct{})
	t.Cleanup(func() { f.Shutdown(); close(done) })
	go f.Serve()
	go func() {
		for {
			select {
			case <-done:
				return
			case e := <-h.events:
				h.Lock()
				switch e := e.(type) {
				case submitRequest:
					v := submitResult{duplicate: h.seen[e.message.ID], retryAfter: time.Second}
					if e.message.Dest == 404 {
						v = submitResult{unknownDest: true}
					} else if !v.duplicate && h.accepted < h.capacity {
						h.accepted, h.lastBody, h.seen[e.message.ID], v = h.accepted+1, string(e.message.Body), true, submitResult{accepted: true}
					}
					e.reply <- v
				case submitAnswered:
					h.answered++
				}
				h.Unlock()
			}
		}
	}()
	return f, h
}

func validRequest(id, body string) string {
	return fmt.Sprintf("POST /alert HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 480\r\nEnvelope: dest=7\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// The model of a client's connection: what a request is answered with, and whether the connection goes on.
// Random steps are checked against it.
func FuzzFront(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7}, uint8(3))
	f.Add([]byte{1, 1, 8, 1, 9, 1, 10, 1, 11, 1, 12, 13, 1, 14, 1, 15}, uint8(1))
	f.Add([]byte{23, 1, 22, 1, 21, 5, 20, 19, 18}, uint8(90))
	f.Add([]byte{24, 1, 25, 26, 27, 1, 28, 29, 30, 31, 1}, uint8(40))
	f.Add([]byte{1, 16, 17, 1, 18, 19, 20, 1, 1, 1, 1, 1, 1}, uint8(255))
	f.Fuzz(func(t *testing.T, steps []byte, split uint8) {
		const room = 4
		front, host, ln := startServer(t, room, 10)
		front.HandleDrainEvent(drain.Started)
		var c net.Conn
		var r *bufio.Reader
		taken, ids := 0, 0
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
			if taken >= room {
				accepted = 503
			}
			model := []step{
				{"GET /ready HTTP/1.1\r\n\r\n", 200, true},
				{validRequest(id, "body"), accepted, true},
				{post("", "Connection: close\r\n"), accepted, false},
				{post("POST /alert HTTP/1.0", ""), accepted, false},
				{post("POST /alert/x?y=1 HTTP/1.1", "X-Repeat: again\r\n"), accepted, true},
				{strings.Replace(strings.Replace(post("", "Transfer-Encoding: chunked\r\n"), "Content-Length: 4\r\n", "", 1),
					"\r\n\r\nbody", "\r\n\r\n3;x=1\r\nbod\r\n1\r\ny\r\n0\r\nT: 1\r\n\r\n", 1), accepted, true},
				{post("POST /nobody HTTP/1.1", ""), 400, true},
				{drop("X-Correlation-Id"), 400, true},
				{drop("X-Time-Left-Ms"), 400, true},
				{strings.Replace(validRequest(id, "body"), "480", "-1", 1), 400, true},
				{strings.Replace(validRequest(id, "body"), "dest=7", "dest=x", 1), 400, true},
				{post("POST /order HTTP/1.1", ""), 400, true}, // keyed, without its key
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
				{strings.Replace(validRequest(id, "body"), "dest=7", "dest=404", 1), 400, true}, // in no pool config
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
				t.Fatalf("step %d: %d with advice %q", s, a.status, a.get("Retry-After"))
			}
			if (a.status == 400 || a.status == 413 || a.status == 431) != (len(a.body) > 0) {
				t.Fatalf("step %d: %d with text %q", s, a.status, a.body)
			}
			if a.status == 202 {
				taken++
			}
			if !m.open {
				if _, err := r.ReadByte(); err != io.EOF {
					t.Fatalf("step %d: the connection goes on: %v", s, err)
				}
				c.Close()
				c = nil
			}
		}
		front.Shutdown()
		waitFor(t, "hand-ins to begin, each told 202 once", func() bool {
			host.Lock()
			defer host.Unlock()
			return front.OpenConnections() == 0 && host.accepted == taken && host.answered == taken
		})
	})
}

// A message handed in again under the same id on a new connection is not taken twice.
func TestSameHandInTwice(t *testing.T) {
	_, host, ln := startServer(t, 8, 10)
	for range 2 {
		c, r := dialListener(t, ln)
		io.WriteString(c, validRequest("same", "hello"))
		if a, err := readResponseHead(r); err != nil || a.status != 202 {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if host.Lock(); host.accepted != 1 || host.lastBody != "hello" {
		t.Errorf("taken %d times, body %q", host.accepted, host.lastBody)
	}
	host.Unlock()
}

// A request that crosses the drain is answered or not read at all; one that was begun is always answered.
func TestDrainAnswersWhatWasBegun(t *testing.T) {
	front, _, ln := startServer(t, 8, 10)
	c, r := dialListener(t, ln)
	req := validRequest("slow", "hello")
	io.WriteString(c, req[:20])
	idle, idleR := dialListener(t, ln)
	waitFor(t, "one connection to be busy", func() (busy bool) {
		front.mu.Lock()
		defer front.mu.Unlock()
		for fc := range front.conns {
			busy = busy || fc.state == connBusy
		}
		return busy && len(front.conns) == 2
	})
	front.Shutdown()
	if _, err := idleR.ReadByte(); err != io.EOF {
		t.Errorf("idle connection %v: %v", idle.LocalAddr(), err)
	}
	io.WriteString(c, req[20:])
	if a, err := readResponseHead(r); err != nil || a.status != 202 || !a.closesConnection("HTTP/1.1") {
		t.Errorf("%+v, %v", a, err)
	}
}

// With all connections taken, the one that has been idle longest gives way to a new one.
func TestIdleGivesWay(t *testing.T) {
	front, _, ln := startServer(t, 8, 2)
	front.HandleDrainEvent(drain.Started)
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

// A crowd that connects and says nothing is closed, and does not keep a client that asks from being answered.
func TestSilentCrowd(t *testing.T) {
	front, _, ln := startServer(t, 8, 4)
	front.HandleDrainEvent(drain.Started)
	var crowd []*bufio.Reader
	for range 12 {
		_, r := dialListener(t, ln)
		crowd = append(crowd, r)
	}
	c, r := dialListener(t, ln)
	io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
	if a, err := readResponseHead(r); err != nil || a.status != 200 {
		t.Fatalf("%+v, %v", a, err)
	}
	for _, r := range crowd {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("still open: %v", err)
		}
	}
}

// timedListener hands out connections on which a test ends the relay's waits, so that no clock does.
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

// timedConn keeps how long each wait for bytes was to last.
type timedConn struct {
	*net.TCPConn
	read atomic.Int64 // bytes that the relay has read

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

// expireRead waits until the relay has read so many bytes and is in the wait after the last of limits, checks each wait
// against its limit, and ends the one that lasts.
func (c *timedConn) expireRead(t *testing.T, read int, limits ...time.Duration) {
	t.Helper()
	waitFor(t, "the relay to wait", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.read.Load() == int64(read) && len(c.timeouts) == len(limits)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, limit := range limits {
		if c.timeouts[i] <= 0 || c.timeouts[i] > limit {
			t.Errorf("wait %d lasts %v, want up to %v", i, c.timeouts[i], limit)
		}
	}
	c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// Half a request and then silence is an error, not a connection for good; so is a kept one without a next request.
func TestUnfinishedRequests(t *testing.T) {
	ln := &timedListener{listenLoopback(t).(*net.TCPListener), make(chan *timedConn, 2)}
	startServerOn(t, ln, 8, 10)
	half, halfR := dialListener(t, ln)
	request := validRequest("half", "hello")[:40]
	io.WriteString(half, request)
	(<-ln.accepted).expireRead(t, len(request), firstByteTimeout, requestReadTimeout)
	if a, err := readResponseHead(halfR); err != nil || a.status != 408 {
		t.Fatalf("%+v, %v", a, err)
	}
	kept, keptR := dialListener(t, ln)
	request = validRequest("kept", "hello")
	io.WriteString(kept, request)
	if a, err := readResponseHead(keptR); err != nil || a.status != 202 {
		t.Fatalf("%+v, %v", a, err)
	}
	(<-ln.accepted).expireRead(t, len(request), firstByteTimeout, requestReadTimeout, admission.LongIdleTimeout)
	if _, err := keptR.ReadByte(); err != io.EOF {
		t.Fatalf("still open: %v", err)
	}
}

// Once a planned stop has begun each answer tells so, and GET /ready is refused; hand-ins are still taken.
func TestLeavingIsTold(t *testing.T) {
	front, host, ln := startServer(t, 4, 10)
	front.HandleDrainEvent(drain.Started)
	c, r := dialListener(t, ln)
	for _, s := range []struct {
		leave         bool
		request, says string
		status        int
	}{{false, "GET /ready HTTP/1.1\r\n\r\n", "", 200}, {true, "GET /ready HTTP/1.1\r\n\r\n", "stopping", 503}, {true, validRequest("m1", "body"), "stopping", 202}} {
		if s.leave {
			front.HandleDrainEvent(drain.Stop)
		}
		io.WriteString(c, s.request)
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != s.status || res.Header.Get("X-Relay-State") != s.says {
			t.Errorf("%q: %v, %v", s.request, res, err)
		}
	}
	if host.Lock(); host.accepted != 1 {
		t.Errorf("%d taken", host.accepted)
	}
	host.Unlock()
}

// Clients that open a connection for each request and leave the old ones open don't keep all of them: the first few stay.
func TestIdleOnesOfThoseWhoDoNotComeBackEndSoon(t *testing.T) {
	_, _, ln := startServer(t, 4, 16) // two may stand idle for long in any case
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
	// Which two stay depends on how long the six took to come.
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

// A drain is told at once on each answer, idle and silent connections go, who still comes is served, and ok ends it.
func TestDrainAndBack(t *testing.T) {
	front, host, ln := startServer(t, 4, 10)
	front.HandleDrainEvent(drain.Started)
	used, usedR := dialListener(t, ln)
	_, idleR := dialListener(t, ln)
	waitFor(t, "both connections", func() bool { return front.OpenConnections() == 2 })
	front.HandleDrainEvent(drain.HealthFail)
	io.WriteString(used, validRequest("m1", "body"))
	if res, err := http.ReadResponse(usedR, nil); err != nil || res.StatusCode != 202 || !res.Close {
		t.Fatalf("in use: %v, %v", res, err)
	}
	for _, r := range []*bufio.Reader{usedR, idleR} {
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
	if status, closes := ask("GET /ready HTTP/1.1\r\n\r\n"); status != 503 || !closes || !front.Serving() {
		t.Errorf("ready: %d, close %v, serving %v", status, closes, front.Serving())
	}
	if status, closes := ask(validRequest("m2", "body")); status != 202 || !closes {
		t.Errorf("who still comes: %d, close %v", status, closes)
	}
	front.HandleDrainEvent(drain.HealthOK)
	if status, closes := ask("GET /ready HTTP/1.1\r\n\r\n"); status != 200 || closes {
		t.Errorf("back: %d, close %v", status, closes)
	}
	if host.Lock(); host.accepted != 2 {
		t.Errorf("%d taken", host.accepted)
	}
	host.Unlock()
}

// The trace tells what became of each connection, the oldest event first, and forgets the oldest when it is full.
func TestTrace(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := NewServer(ln, &policy.Settings{}, 10, make(chan any, 1), discardLog)
	f.HandleDrainEvent(drain.Started)
	go f.Serve()
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
	for f.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.Shutdown()
	names := func() (all []string) {
		var out strings.Builder
		if err := f.Trace(&out); err != nil {
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
		f.trace.record(1, traceClose, 2, 0)
	}
	if all := names(); len(all) != traceCapacity || all[0] != "close 1" || all[traceCapacity-1] != "close 2" {
		t.Errorf("%d events, from %q to %q", len(all), all[0], all[len(all)-1])
	}
}
