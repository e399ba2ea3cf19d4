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

// blockingListener accepts connections whose reads, and its own accepts, wait for the test.
type blockingListener struct {
	*net.TCPListener
	accept, read chan struct{} // nil: don't block
	bytesRead    atomic.Int64  // on all connections
}

type blockingConn struct {
	*net.TCPConn
	read         chan struct{}
	bytesRead    *atomic.Int64
	readDeadline atomic.Int64 // in microseconds since 1970
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

// closingServer is a server whose connections close in steps that the test releases.
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

// waitStage waits until a connection has reached a stage of its close.
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
		t.Fatalf("the response is cut short: %v", err)
	}
}

// expectEOF checks that the connection ends without a reset or further bytes.
func expectEOF(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("read %q, then %v, want io.EOF", rest, err)
	}
}

const readyRequest = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"

// Unread bytes never cause a reset that overtakes the last response, whether they arrive before the
// close is decided, between that and the close of the write side, or later; no request among them
// is accepted.
func TestUnreadBytesDoNotResetResponse(t *testing.T) {
	more := strings.Repeat(requestText("alert", "late", "", "x", 1000), 200)
	for stage := closeDecided; stage <= closeDone; stage++ {
		e := startClosingServer(t, &blockingListener{})
		sock, r := e.dial(t)
		first := strings.Replace(readyRequest, "Host", "Connection: close\r\nHost", 1)
		if stage == closeDecided { // in one write with the request
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
			t.Errorf("stage %d: %T after the close was decided", stage, <-e.events)
		}
		e.ln.Close()
	}
}

// A request that races with the close of an idle connection is answered if it arrives before the
// decision. After that none of its bytes is read, and the client sees a reset.
func TestRequestRacesWithIdleClose(t *testing.T) {
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
				waitFor(t, "the connection to be idle", func() bool {
					e.mu.Lock()
					defer e.mu.Unlock()
					return e.idleConns == 1
				})
				req := map[string]string{"whole": readyRequest, "half": readyRequest[:len(readyRequest)/2],
					"one": "G"}[bytes]
				if when == "before" {
					fmt.Fprint(sock, req)
				}
				e.mu.Lock()
				var conn net.Conn
				for c := range e.conns { // as a drain, an eviction and the idle timeout do
					conn = c.sock
					c.sock.SetReadDeadline(time.Unix(1, 0))
				}
				e.mu.Unlock()
				there := func() bool { return HasUnreadBytes(conn) }
				if when == "before" {
					waitFor(t, "the bytes to arrive", there)
					close(read)
					if bytes != "whole" {
						fmt.Fprint(sock, readyRequest[len(req):]) // it has begun and may be completed
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
					waitFor(t, "the bytes to arrive", there)
				}
				e.resume <- struct{}{}
				e.waitStage(t, closeDone)
				if when == "closed" {
					fmt.Fprint(sock, req)
				}
				rest, err := io.ReadAll(r)
				if len(rest) > 0 || when == "decided" && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("read %q, then %v, want a reset for unread bytes", rest, err)
				}
				if got := e.ln.bytesRead.Load(); got != int64(len(readyRequest)) {
					t.Errorf("%d bytes were read, want only the first request's %d", got, len(readyRequest))
				}
				e.resume <- struct{}{}
			})
		}
	}
}

// A request that was read together with the one before is answered before the connection closes;
// later ones are not read.
func TestReadRequestsAnsweredBeforeClose(t *testing.T) {
	for _, partial := range []bool{false, true} {
		e := startClosingServer(t, &blockingListener{})
		sock, r := e.dial(t)
		e.HandleDrainEvent(drain.HealthFail) // each response from here on closes its connection
		sent := readyRequest + readyRequest
		if partial {
			sent += readyRequest[:10]
		}
		fmt.Fprint(sock, sent)
		expectStatus(t, r, 503) // not ready
		expectStatus(t, r, 503)
		if partial {
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
			t.Errorf("%d bytes were read after the last response", e.ln.bytesRead.Load()-got)
		}
		e.resume <- struct{}{}
		e.ln.Close()
	}
}

// After StopReads, a partial request gets an error, a submitted one gets its response, and a later
// one is either answered or not read.
func TestStopReads(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	e.onCloseStage = nil
	defer e.ln.Close()
	half, halfR := e.dial(t)
	fmt.Fprint(half, readyRequest[:10])
	waitFor(t, "the partial request", func() bool { return e.ln.bytesRead.Load() == 10 })
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
	// A read that had begun may still receive it; it is answered then.
	want := 10 + len(request)
	if rest, _ := io.ReadAll(lateR); len(rest) > 0 {
		want += len(readyRequest)
	}
	if got := e.ln.bytesRead.Load(); got != int64(want) {
		t.Errorf("%d bytes were read, want %d of the answered requests", got, want)
	}
}

// A connection in the accept queue at shutdown, with its request on it, is answered.
func TestShutdownServesAcceptQueue(t *testing.T) {
	accept := make(chan struct{})
	ln := &blockingListener{accept: accept}
	e := startClosingServer(t, ln)
	e.onCloseStage = nil
	sock, r := e.dial(t)
	fmt.Fprint(sock, readyRequest)
	e.Shutdown()
	e.mu.Lock()
	e.queueDrainUntil.Store(int64(time.Since(e.startedAt) + time.Hour)) // the time limit is not tested here
	e.mu.Unlock()
	ln.TCPListener.SetDeadline(time.Unix(1, 0)) // expires before the accept loop has looked
	close(accept)
	expectStatus(t, r, 503) // not ready; anything but a reset will do
	expectEOF(t, r)
	waitFor(t, "the listener to close", func() bool { return !e.Accepting() })
	if _, err := net.Dial("tcp", ln.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the listener still accepts connections: %v", err)
	}
}

// A client that has closed its write side gets its response: 202 for a complete request, 400 for a
// partial one.
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

// The close of a connection takes limited time, whether its client floods it or is silent.
func TestCloseIsBounded(t *testing.T) {
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
						return // the server has discarded its limit
					}
				}
			})
			once.Wait()
		}
		waitFor(t, "the connection to close", func() bool { return e.OpenConnections() == 0 })
		e.ln.Close()
	}
}

// Every socket has TCP_NODELAY, so that small messages are not delayed.
func TestNoDelayOnEverySocket(t *testing.T) {
	check := func(what string, sock net.Conn) {
		t.Helper()
		raw, err := sock.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		raw.Control(func(fd uintptr) {
			on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP,
				syscall.TCP_NODELAY)
		})
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

// A request that causes a panic is answered, and the next connection is served.
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

// failingListener fails some accepts before it accepts the next connection.
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

// The accept loop survives the transient errors that Linux documents, also while it drains the
// accept queue.
func TestTransientAcceptErrors(t *testing.T) {
	set := &policy.Settings{Classes: []policy.Class{{Name: "alert", Deadline: time.Minute}}}
	for _, draining := range []bool{false, true} {
		ln := &failingListener{listenLoopback(t).(*net.TCPListener), make(chan error, 9)}
		for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.EINTR, syscall.EPROTO} {
			ln.errs <- errno
		}
		f := NewServer(ln, set, 10, make(chan any, 9), discardLog)
		f.HandleDrainEvent(drain.Started)
		sock, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(sock, readyRequest)
		if draining {
			f.mu.Lock()
			f.drainAcceptQueue()
			f.mu.Unlock()
		}
		go f.Serve()
		sock.SetDeadline(time.Now().Add(20 * time.Second))
		expectStatus(t, bufio.NewReader(sock), 200)
		sock.Close()
		if draining {
			waitFor(t, "the listener to close", func() bool { return !f.Accepting() })
		}
		ln.Close()
	}
}

// A shutdown does not shorten the time that a closing connection has to deliver its last response;
// it expires idle and new connections only.
func TestShutdownKeepsLingerTimeout(t *testing.T) {
	e := startClosingServer(t, &blockingListener{})
	defer e.ln.Close()
	sock, r := e.dial(t)
	e.HandleDrainEvent(drain.HealthFail) // responses close their connections; idle ones have a second left
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
		t.Errorf("the shutdown set the read deadline of a closing connection to %v", time.UnixMicro(after))
	}
	e.resume <- struct{}{}
	sock.Close()
	e.waitStage(t, closeDone)
	e.resume <- struct{}{}
}
