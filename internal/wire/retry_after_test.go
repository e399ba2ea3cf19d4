package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// acceptOneCall accepts one connection, reads a call without a body from it, and passes the
// connection on.
func acceptOneCall(t *testing.T) (addr string, called <-chan net.Conn) {
	ln, socks := listenLoopback(t), make(chan net.Conn, 1)
	go func() {
		defer close(socks)
		sock, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { sock.Close() })
		h, err := readHead(bufio.NewReaderSize(sock, readBufferSize))
		if err == nil && h.firstLine[0] == "POST" {
			socks <- sock
		}
	}()
	return ln.Addr().String(), socks
}

// startTestCall makes one call with an empty body to ep on a new connection, which wrap may
// replace.
func startTestCall(
	ep *endpoint, listening *atomic.Int32, wrap func(net.Conn) net.Conn,
) (c *endpointConn, events chan any) {
	events = make(chan any, 9)
	c = &endpointConn{endpoint: ep, calls: make(chan *call, 1), dialTimeout: time.Minute, lateListeners: listening}
	c.dial = func(addr string, _ time.Duration) (net.Conn, error) {
		sock, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		return wrap(sock), nil
	}
	go c.run(events)
	c.calls <- &call{endpoint: ep, items: []callItem{{id: "a"}}, deadline: time.Now().Add(time.Minute)}
	return c, events
}

func unwrappedConn(sock net.Conn) net.Conn { return sock }

// nextEvent returns the next event, which has to arrive and to be an E.
func nextEvent[E any](t *testing.T, events <-chan any) (e E) {
	t.Helper()
	select {
	case got := <-events:
		e, ok := got.(E)
		if !ok {
			t.Fatalf("got %T, want %T", got, e)
		}
		return e
	case <-time.After(20 * time.Second): // only bounds a hang
		t.Fatalf("no %T arrived", e)
	}
	return e
}

// chunkedReadConn is a connection on which each read returns the next part of an answer.
type chunkedReadConn struct {
	net.Conn
	parts chan string
}

func (p chunkedReadConn) Read(b []byte) (int, error) { return copy(b, <-p.parts), nil }

// Wait-Ms applies once its line has arrived, however long the body takes.
func TestRetryAfterAppliesBeforeBody(t *testing.T) {
	for _, line := range []string{"200 OK", "429 X", "503 X", "500 X"} {
		addr, _ := acceptOneCall(t)
		ep := &endpoint{addr: addr, backoff: &backoff{}}
		parts := make(chan string, 1)
		c, events := startTestCall(ep, nil, func(sock net.Conn) net.Conn { return chunkedReadConn{sock, parts} })
		parts <- "HTTP/1.1 " + line + "\r\nWait-Ms: 60000\r\nContent-Length: 4\r\n\r\nbo"
		waitFor(t, "the backoff to start", ep.backoff.active)
		parts <- "dy"
		res := nextEvent[callResult](t, events)
		if res.retryAfter != time.Minute || !res.reusable {
			t.Errorf("%s: Retry-After %v, reusable %v, %v", line, res.retryAfter, res.reusable, res.err)
		}
		close(c.calls)
	}
}

// Wait-Ms applies even if the rest of the answer is malformed.
func TestRetryAfterOfMalformedAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"head cut":             "",
		"no colon":             "no colon\r\n\r\n",
		"two lengths":          "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhey",
		"no length":            "Content-Length: -1\r\n\r\n",
		"too long":             "Content-Length: 3000000000\r\n\r\n",
		"body cut":             "Content-Length: 9\r\n\r\nhel",
		"chunk cut":            "Transfer-Encoding: chunked\r\n\r\n9\r\nhel",
		"more than one answer": "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		addr, called := acceptOneCall(t)
		ep := &endpoint{addr: addr, backoff: &backoff{}}
		_, events := startTestCall(ep, nil, unwrappedConn)
		sock := <-called
		io.WriteString(sock, "HTTP/1.1 429 X\r\nWait-Ms: 60000\r\n"+rest)
		sock.Close()
		res := nextEvent[callResult](t, events)
		if res.retryAfter != time.Minute || !ep.backoff.active() || res.reusable {
			t.Errorf("%s: Retry-After %v, backoff %v, reusable %v", name, res.retryAfter, ep.backoff.active(),
				res.reusable)
		}
	}
}

// A call that times out is given up at once, and Wait-Ms in its late answer still applies.
func TestRetryAfterAfterTimeout(t *testing.T) {
	addr, called := acceptOneCall(t)
	ep := &endpoint{addr: addr, backoff: &backoff{}}
	conns := make(chan net.Conn, 1)
	var listening atomic.Int32
	_, events := startTestCall(ep, &listening, func(sock net.Conn) net.Conn {
		conns <- sock
		return sock
	})
	sock := <-called
	(<-conns).SetReadDeadline(time.Unix(1, 0))
	res := nextEvent[callResult](t, events)
	if res.results[0].outcome != policy.TimedOut || res.reusable || ep.backoff.active() {
		t.Fatalf("%+v, backoff %v", res, ep.backoff.active())
	}
	if _, err := sock.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the call was not given up: %v", err)
	}
	io.WriteString(sock, httpResponse("429 X\r\nWait-Ms: 60000", ""))
	if late := nextEvent[lateRetryAfter](t, events); late.retryAfter != time.Minute || late.endpoint != ep ||
		!ep.backoff.active() {
		t.Errorf("%+v, backoff %v", late, ep.backoff.active())
	}
	if n, err := sock.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("the connection is still open: %d bytes, %v", n, err)
	}
	waitFor(t, "its descriptor to be released", func() bool { return listening.Load() == 0 })
}

// A bounded number of connections is read after the call timed out. The next one is closed.
func TestLateListenersAreBounded(t *testing.T) {
	addr, called := acceptOneCall(t)
	var listening atomic.Int32
	listening.Store(MaxLateListeners)
	conns := make(chan net.Conn, 1)
	_, events := startTestCall(&endpoint{addr: addr, backoff: &backoff{}}, &listening, func(sock net.Conn) net.Conn {
		conns <- sock
		return sock
	})
	<-called
	ours := <-conns
	ours.SetReadDeadline(time.Unix(1, 0))
	if res := nextEvent[callResult](t, events); res.results[0].outcome != policy.TimedOut {
		t.Errorf("%+v", res)
	}
	if ours.SetDeadline(time.Time{}) == nil || listening.Load() != MaxLateListeners {
		t.Errorf("its descriptor is open, or %d listeners are counted", listening.Load())
	}
}

// deadlineHookConn calls a hook for each deadline that is set, for both directions or for reads
// only.
type deadlineHookConn struct {
	net.Conn
	both, reads func()
}

func (h deadlineHookConn) SetDeadline(at time.Time) error { h.both(); return h.Conn.SetDeadline(at) }
func (h deadlineHookConn) SetReadDeadline(at time.Time) error {
	h.reads()
	return h.Conn.SetReadDeadline(at)
}

// A Retry-After or a drain that arrives while the call is built, or before the last byte of an
// unsafe call, keeps that byte back: the call never ran.
func TestRetryAfterDuringWrite(t *testing.T) {
	none := func() {}
	for name, block := range map[string]func(*endpoint){
		"wait":  func(ep *endpoint) { ep.backoff.extend(time.Hour) },
		"drain": func(ep *endpoint) { ep.state.Store(int32(policy.Draining)) },
	} {
		for _, lastByteDelay := range []time.Duration{0, time.Millisecond} {
			addr, called := acceptOneCall(t)
			ep := &endpoint{addr: addr, backoff: &backoff{}}
			hook := deadlineHookConn{both: func() { block(ep) }, reads: none}
			if lastByteDelay > 0 {
				hook.both, hook.reads = none, hook.both
			}
			c := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
			c.dial = func(addr string, _ time.Duration) (net.Conn, error) {
				sock, err := net.Dial("tcp", addr)
				hook.Conn = sock
				return hook, err
			}
			cl := &call{endpoint: ep, lastByteDelay: lastByteDelay, items: []callItem{{id: "a"}},
				deadline: time.Now().Add(time.Minute)}
			go func() {
				if sock := <-called; sock != nil {
					io.WriteString(sock, httpResponse("200 OK", ""))
				}
			}()
			res := c.makeCall(cl)
			c.close()
			if res.results[0].outcome != policy.Unsent || !errors.Is(res.err, errBlocked) || res.reusable {
				t.Errorf("%s, last byte delay %v: %+v", name, lastByteDelay, res)
			}
		}
	}
}

// Wait-Ms may hold whole or decimal milliseconds, repeat, exceed the maximum or be malformed.
func TestParseWaitMs(t *testing.T) {
	for fields, want := range map[string]time.Duration{
		"":                                 0,
		"Wait-Ms: 250\r\n":                 250 * time.Millisecond,
		"wait-ms:  250 \r\n":               250 * time.Millisecond,
		"Wait-Ms: 0\r\n":                   0,
		"Wait-Ms: 0250\r\n":                250 * time.Millisecond,
		"Wait-Ms: 250.0\r\n":               250 * time.Millisecond,
		"Wait-Ms: 250.01\r\n":              251 * time.Millisecond,
		"Wait-Ms: .5\r\n":                  time.Millisecond,
		"Wait-Ms: 250\r\nWait-Ms: 900\r\n": 900 * time.Millisecond,
		"Wait-Ms: 900\r\nWait-Ms: x\r\n":   900 * time.Millisecond,
		"Wait-Ms: 600001\r\n":              maxRetryAfterMs * time.Millisecond,
		"Wait-Ms: 1" + strings.Repeat("0", 400) + "\r\n": maxRetryAfterMs * time.Millisecond,
		"Wait-Ms: -5\r\n":    0,
		"Wait-Ms: +5\r\n":    0,
		"Wait-Ms: 1e3\r\n":   0,
		"Wait-Ms: inf\r\n":   0,
		"Wait-Ms: nan\r\n":   0,
		"Wait-Ms: 0x10\r\n":  0,
		"Wait-Ms: 1.2.3\r\n": 0,
		"Wait-Ms: .\r\n":     0,
		"Wait-Ms:\r\n":       0,
		"Retry-After: 3\r\n": 0,
	} {
		a, err := readResponseHead(bufio.NewReader(strings.NewReader("HTTP/1.1 429 X\r\n" + fields + "\r\n")))
		if err != nil || a.retryAfter() != want {
			t.Errorf("%.60q: %v, %v, want %v", fields, a.retryAfter(), err, want)
		}
	}
}

// setSeparateRoute sets the state of an endpoint with a route of its own, and returns the endpoint.
func setSeparateRoute(h *Host, id string, state policy.EndpointState) *endpoint {
	h.kindSettings["apart"] = policy.Kind{Name: "apart", SeparateRoutes: true}
	h.applyEndpointList(memory.EndpointList{Generation: 2, Entries: []memory.EndpointEntry{{HostPort: "127.0.0.1:1",
		Endpoint: policy.Endpoint{Address: id, Destination: 8, Kind: "apart", State: state}}}}, policy.ListChanges)
	return h.endpoints[id]
}

// A Retry-After for an endpoint that left the list during the call applies when it returns, whether
// the result or a late answer carries it.
func TestRetryAfterForRemovedEndpoint(t *testing.T) {
	for _, relisted := range []string{"before", "behind"} {
		for _, late := range []bool{false, true} {
			h := newTestHost(t)
			was := setSeparateRoute(h, "r1", policy.Listed)
			cl := &call{endpoint: was}
			setSeparateRoute(h, "r1", policy.Removed)
			if relisted == "before" {
				setSeparateRoute(h, "r1", policy.Listed)
			}
			was.backoff.extend(time.Hour) // as its connection does
			if late {
				h.handleEvent(lateRetryAfter{was, time.Hour})
			} else {
				h.handleEvent(callResult{call: cl, retryAfter: time.Hour})
			}
			if relisted == "behind" {
				setSeparateRoute(h, "r1", policy.Listed)
			}
			if ep := h.endpoints["r1"]; ep == was || !ep.backoff.active() {
				t.Errorf("listed again %s the result, late %v: backoff %v", relisted, late, ep.backoff.active())
			}
			if other := setSeparateRoute(h, "r2", policy.Listed); other.backoff.active() {
				t.Errorf("listed again %s the result, late %v: another endpoint backs off", relisted, late)
			}
		}
	}
}

// The policy engine learns of a late Retry-After and spends no attempt on a blocked endpoint.
func TestPolicyReceivesLateRetryAfter(t *testing.T) {
	h := newTestHost(t)
	h.step(h.now()) // the policy engine takes in the list
	ep := h.endpoints["s-1"]
	ep.backoff.extend(time.Hour)
	h.handleEvent(lateRetryAfter{ep, time.Hour})
	m := h.addMessage("m", ep.dest, 1)
	h.arrivals = append(h.arrivals, m)
	h.step(h.now())
	if len(h.uncommittedCalls) > 0 || m.Attempts > 0 {
		t.Errorf("%d calls to a blocked endpoint", len(h.uncommittedCalls))
	}
}
