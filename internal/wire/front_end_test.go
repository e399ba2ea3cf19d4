package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatfold/internal/drain"
	"oatfold/policy"
)

// blockingListener yields connections whose reads, and its own accepts, wait where the test says so.
type blockingListener struct {
	*net.TCPListener
	accept, read chan struct{} // nil: nobody waits
	bytesRead    atomic.Int64  // bytes read, of all connections
}

type blockingConn struct {
	*net.TCPConn
	read         chan struct{}
	bytesRead    *atomic.Int64
	readDeadline atomic.Int64 // the read deadline, in microseconds
}

func (c *blockingConn) SetReadDeadline(at time.Time) error {
	c.readDeadline.Store(at.UnixMicro())
	return c.TCPConn.SetReadDeadline(at)
}

func (l *blockingListener) Accept() (net.Conn, error) {
	if l.accept != nil {
		<-l.accept
	}
	sock, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockingConn{TCPConn: sock.(*net.TCPConn), read: l.read, bytesRead: &l.bytesRead}, nil
}

func (c *blockingConn) Read(b []byte) (int, error) {
	if c.read != nil {
		<-c.read
	}
	n, err := c.TCPConn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// closingServer is a front socket whose connections end in steps that the test takes.
type closingServer struct {
	*Server
	ln     *blockingListener
	events chan any
	stages chan closeStage
	resume chan struct{}
}

func startClosingServer(t *testing.T, ln *blockingListener) *closingServer {
	e := &closingServer{ln: ln, events: make(chan any, 9), stages: make(chan closeStage), resume: make(chan struct{})}
	ln.TCPListener = listenLoopback(t).(*net.TCPListener)
	set := &policy.Settings{Classes: []policy.Class{{Name: "alert", Deadline: time.Minute}}}
	e.Server = NewServer(ln, set, 10, e.events, discardLog)
	e.onCloseStage = func(_ *clientConn, s closeStage) {
		e.stages <- s
		<-e.resume
	}
	e.HandleDrainEvent(drain.Started)
	go e.Serve()
	return e
}

// waitStage waits until a connection has come to that stage of its end.
func (e *closingServer) waitStage(t *testing.T, want closeStage) {
	t.Helper()
	if got := <-e.stages; got != want {
		t.Fatalf("stage %d, want %d", got, want)
	}
}

func (e *closingServer) dial(t *testing.T) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	sock, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Close() })
	sock.SetDeadline(time.Now().Add(20 * time.Second))
	return sock.(*net.TCPConn), bufio.NewReader(sock)
}

func expectStatus(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != status {
		t.Fatalf("answered %v, %v, want %d", a, err, status)
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		t.Fatalf("the answer is cut: %v", err)
	}
}

// expectEOF reads to the end of our side, which is no reset.
func expectEOF(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%q is left, then %v: want a plain end", rest, err)
	}
}

const readyRequest = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"

// Bytes that nobody reads never reset the answer before them, whether they come before the end is decided, or between the decision and the
// close of our side, or after that; and nothing of them is taken on.
func TestUnreadBytesResetNoAnswer(t *testing.T) {
	more := strings.Repeat(requestText("alert", "late", "", "x", 1000), 200)
	for stage := closeDecided; stage <= closeDone; stage++ {
		e := startClosingServer(t, &blockingListener{})
		sock, r := e.dial(t)
		first := strings.Replace(readyRequest, "Host", "Connection: close\r\nHost", 1)
		if stage == closeDecided { // with the request itself, in one write
			first += more
		}
		fmt.Fprint(sock, first)
		e.waitStage(t, closeDecided)
		if stage == closeSent {
			fmt.Fprint(sock, more)
		}
		e.resume <- struct{}{}
		e.waitStage(t, closeSent)
		if stage == closeDone {
			fmt.Fprint(sock, more)
		}
		expectStatus(t, r, 200)
		e.resume <- struct{}{}
		expectEOF(t, r)
		sock.Close()
		e.waitStage(t, closeDone)
		e.resume <- struct{}{}
		if len(e.events) > 0 {
			t.Errorf("stage %d: %T after the end was decided", stage, <-e.events)
		}
		e.ln.Close()
	}
}

// A request that crosses the end of a resting connection: there before the decision it is answered; behind it, none of its bytes is
// read, and the connection is reset over them, which tells its client that nobody has.
func TestRequestCrossesTheEndOfARestingConnection(t *testing.T) {
	for _, when := range []string{"before", "decided", "closed"} {
		for _, bytes := range []string{"whole", "half", "one"} {
			t.Run(when+" "+bytes, func(t *testing.T) {
				read := make(chan struct{})
				e := startClosingServer(t, &blockingListener{read: read})
				defer e.ln.Close()
				sock, r := e.dial(t)
				fmt.Fprint(sock, readyRequest)
				read <- struct{}{}
				expectStatus(t, r, 200)
				waitFor(t, "the connection to rest", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.idleConns == 1 })
				req := map[string]string{"whole": readyRequest, "half": readyRequest[:len(readyRequest)/2], "one": "G"}[bytes]
				if when == "before" {
					fmt.Fprint(sock, req)
				}
				e.mu.Lock()
				var conn net.Conn
				for c := range e.conns { // as a drain, an eviction and the idle limit do
					conn = c.sock
					c.sock.SetReadDeadline(time.Unix(1, 0))
				}
				e.mu.Unlock()
				there := func() bool { return HasUnreadBytes(conn) }
				if when == "before" {
					waitFor(t, "the bytes to be there", there)
					close(read)
					if bytes != "whole" {
						fmt.Fprint(sock, readyRequest[len(req):]) // it has begun: it may be finished
					}
					expectStatus(t, r, 200)
					sock.Close()
					for s := range e.stages {
						e.resume <- struct{}{}
						if s == closeDone {
							return
						}
					}
				}
				close(read)
				e.waitStage(t, closeDecided)
				if when == "decided" {
					fmt.Fprint(sock, req)
					waitFor(t, "the bytes to be there", there)
				}
				e.resume <- struct{}{}
				e.waitStage(t, closeDone)
				if when == "closed" {
					fmt.Fprint(sock, req)
				}
				rest, err := io.ReadAll(r)
				if len(rest) > 0 || when == "decided" && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%q is left, then %v: want a reset over what was not read", rest, err)
				}
				if got := e.ln.bytesRead.Load(); got != int64(len(readyRequest)) {
					t.Errorf("%d bytes were read, want the %d of the first request alone", got, len(readyRequest))
				}
				e.resume <- struct{}{}
			})
		}
	}
}

// A request that comes in one packet with the one before it was read with it: it is answered too, although the connection is about to
// end; behind the last one it ends, and what comes then is not read.
func TestWhatIsReadIsAnsweredBeforeTheEnd(t *testing.T) {
	for _, half := range []bool{false, true} {
		e := startClosingServer(t, &blockingListener{})
		sock, r := e.dial(t)
		e.HandleDrainEvent(drain.HealthFail) // from here on each answer closes its connection
		sent := readyRequest + readyRequest
		if half {
			sent += readyRequest[:10]
		}
		fmt.Fprint(sock, sent)
		expectStatus(t, r, 503) // not ready any more
		expectStatus(t, r, 503)
		if half {
			fmt.Fprint(sock, readyRequest[10:])
			expectStatus(t, r, 503)
		}
		e.waitStage(t, closeDecided)
		got := e.ln.bytesRead.Load()
		fmt.Fprint(sock, readyRequest)
		e.resume <- struct{}{}
		e.waitStage(t, closeSent)
		expectEOF(t, r)
		sock.Close()
		e.resume <- struct{}{}
		e.waitStage(t, closeDone)
		if e.ln.bytesRead.Load() != got {
			t.Errorf("%d bytes were read behind the last answer", e.ln.bytesRead.Load()-got)
		}
		e.resume <- struct{}{}
		e.ln.Close()
	}
}

// Once reads have ended, half a request is answered so, one that is with the host gets its answer, and one that comes later is read
// and answered or not read at all.
func TestNothingIsReadBehindTheEndOfReads(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	e.onCloseStage = nil
	defer e.ln.Close()
	half, halfR := e.dial(t)
	fmt.Fprint(half, readyRequest[:10])
	waitFor(t, "half a request", func() bool { return e.ln.bytesRead.Load() == 10 })
	host, hostR := e.dial(t)
	request := requestText("alert", "m", "", "body", 1000)
	fmt.Fprint(host, request)
	in := (<-e.events).(submitRequest)
	late, lateR := e.dial(t)
	waitFor(t, "the third connection", func() bool { return e.OpenConnections() == 3 })
	e.StopReads()
	fmt.Fprint(late, readyRequest)
	expectStatus(t, halfR, 408)
	in.reply <- submitResult{accepted: true}
	expectStatus(t, hostR, 202)
	// A read that had begun may still take it, and then it is answered.
	want := 10 + len(request)
	if rest, _ := io.ReadAll(lateR); len(rest) > 0 {
		want += len(readyRequest)
	}
	if got := e.ln.bytesRead.Load(); got != int64(want) {
		t.Errorf("%d bytes were read, want the %d of what was answered", got, want)
	}
}

// A connection that waits to be accepted as the listener is to close, with its request on it, is answered.
func TestListenerClosesBehindWhoWaits(t *testing.T) {
	accept := make(chan struct{})
	ln := &blockingListener{accept: accept}
	e := startClosingServer(t, ln)
	e.onCloseStage = nil
	sock, r := e.dial(t)
	fmt.Fprint(sock, readyRequest)
	e.Shutdown()
	e.mu.Lock()
	e.queueDrainUntil.Store(int64(time.Since(e.startedAt) + time.Hour)) // the bound is not what is looked at
	e.mu.Unlock()
	ln.TCPListener.SetDeadline(time.Unix(1, 0)) // the accept loop had no time to look
	close(accept)
	expectStatus(t, r, 503) // not ready any more; any answer will do, only not a reset
	expectEOF(t, r)
	waitFor(t, "the listener to close", func() bool { return !e.Accepting() })
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the listener still takes connections: %v", err)
	}
}

// A client that has closed its side gets its answer: of a whole hand-in that it is taken on, of half a request that it can't be read.
func TestHalfClosedClients(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	e.onCloseStage = nil
	defer e.ln.Close()
	go func() {
		for ev := range e.events {
			if in, ok := ev.(submitRequest); ok {
				in.reply <- submitResult{accepted: true}
			}
		}
	}()
	whole := requestText("alert", "m", "", "body", 1000)
	for _, c := range []struct {
		sent   string
		status int
	}{{whole, 202}, {whole[:len(whole)-1], 400}, {whole[:30], 400}, {"G", 400}} {
		sock, r := e.dial(t)
		fmt.Fprint(sock, c.sent)
		sock.CloseWrite()
		expectStatus(t, r, c.status)
		expectEOF(t, r)
	}
}

// The end of a connection is bounded, however long its client goes on sending or says nothing.
func TestEndIsBounded(t *testing.T) {
	for _, flood := range []bool{false, true} {
		e := startClosingServer(t, &blockingListener{})
		e.onCloseStage = nil
		sock, r := e.dial(t)
		fmt.Fprint(sock, strings.Replace(readyRequest, "Host", "Connection: close\r\nHost", 1))
		expectStatus(t, r, 200)
		if flood {
			var once sync.WaitGroup
			once.Go(func() {
				for b := make([]byte, 64<<10); ; {
					if _, err := sock.Write(b); err != nil {
						return // the relay has read away enough
					}
				}
			})
			once.Wait()
		}
		waitFor(t, "the connection to be let go", func() bool { return e.OpenConnections() == 0 })
		e.ln.Close()
	}
}

// Small answers, calls, questions and notices are not held back by the system.
func TestNoDelayOnEverySocket(t *testing.T) {
	check := func(what string, sock net.Conn) {
		t.Helper()
		raw, err := sock.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
		if err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY %d, %v", what, on, err)
		}
	}
	e := startClosingServer(t, &blockingListener{})
	e.onCloseStage = nil
	defer e.ln.Close()
	sock, r := e.dial(t)
	fmt.Fprint(sock, readyRequest)
	expectStatus(t, r, 200)
	e.mu.Lock()
	for c := range e.conns {
		check("client", c.sock)
	}
	e.mu.Unlock()
	p := &agentConn{addr: e.ln.Addr().String()}
	if _, err := p.roundTrip(t.Context(), []byte(readyRequest), time.Minute); err != nil {
		t.Fatal(err)
	}
	check("platform", p.sock)
	p.close()
	c := &endpointConn{endpoint: &endpoint{addr: e.ln.Addr().String(), backoff: &backoff{}}, dialTimeout: time.Minute}
	res := c.makeCall(&call{endpoint: c.endpoint, items: []callItem{{id: "m"}}, deadline: time.Now().Add(time.Minute)})
	if c.sock == nil {
		t.Fatal(res.err)
	}
	check("endpoint", c.sock)
	c.close()
}

// A request that was read is answered also where reading it panics, which nothing is known to do; the next connection is served.
func TestPanicIsAnswered(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	e.onCloseStage = nil
	defer e.ln.Close()
	classes := e.classes.Swap(nil)
	sock, r := e.dial(t)
	fmt.Fprint(sock, requestText("alert", "m", "", "body", 1000))
	expectStatus(t, r, 500)
	expectEOF(t, r)
	e.classes.Store(classes)
	sock, r = e.dial(t)
	fmt.Fprint(sock, readyRequest)
	expectStatus(t, r, 200)
}

// failingListener fails some accepts before it takes the next connection.
type failingListener struct {
	*net.TCPListener
	errs chan error
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, &net.OpError{Op: "accept", Err: err}
	default:
		return l.TCPListener.Accept()
	}
}

// The accept loop outlasts every error that Linux documents for a moment, also while the accept queue is emptied.
func TestAcceptFailsForAMoment(t *testing.T) {
	set := &policy.Settings{Classes: []policy.Class{{Name: "alert", Deadline: time.Minute}}}
	for _, emptying := range []bool{false, true} {
		ln := &failingListener{listenLoopback(t).(*net.TCPListener), make(chan error, 9)}
		for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPROTO} {
			ln.errs <- errno
		}
		f := NewServer(ln, set, 10, make(chan any, 9), discardLog)
		f.HandleDrainEvent(drain.Started)
		sock, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(sock, readyRequest)
		if emptying {
			f.mu.Lock()
			f.drainAcceptQueue()
			f.mu.Unlock()
		}
		go f.Serve()
		sock.SetDeadline(time.Now().Add(20 * time.Second))
		expectStatus(t, bufio.NewReader(sock), 200)
		sock.Close()
		if emptying {
			waitFor(t, "the listener to close", func() bool { return !f.Accepting() })
		}
		ln.Close()
	}
}

// Found by reading: a drain that began as a connection was ending cut the time short that its client has to read its last answer, which a
// reset over further bytes could then overtake. It ends resting and silent connections only.
func TestDrainLeavesAnEndingConnectionItsTime(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	defer e.ln.Close()
	sock, r := e.dial(t)
	e.HandleDrainEvent(drain.HealthFail) // answers close their connections; resting ones have a second left
	fmt.Fprint(sock, readyRequest)
	expectStatus(t, r, 503)
	e.waitStage(t, closeDecided)
	e.resume <- struct{}{}
	e.waitStage(t, closeSent)
	e.mu.Lock()
	var conn *blockingConn
	for c := range e.conns {
		conn = c.sock.(*blockingConn)
	}
	e.mu.Unlock()
	before := conn.readDeadline.Load()
	e.Shutdown()
	if after := conn.readDeadline.Load(); after != before {
		t.Errorf("the drain set the read deadline of an ending connection to %v", time.UnixMicro(after))
	}
	e.resume <- struct{}{}
	sock.Close()
	e.waitStage(t, closeDone)
	e.resume <- struct{}{}
}
