package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// endpointScript is what an endpoint does with one call: the bytes it writes, and whether it then
// closes.
type endpointScript struct {
	write  string
	close  bool
	silent bool // it neither answers nor closes
	stalls bool // it begins an answer, and neither completes it nor closes

	receipt      int  // a number in the answer, unlike that of any other; 0: none
	copyFirst    bool // a second copy of the answer before crosses the call
	ignoresClose bool // the answer to the last call on a connection does not say that it is the last

	outcomes   []policy.Outcome // expected, for one message or for three
	final      bool
	retryAfter bool
	reusable   bool
}

// httpResponse returns an answer with that status, followed by header lines, and that body.
func httpResponse(head string, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// oneOutcome and threeOutcomes list the outcome of each item.
func oneOutcome(o policy.Outcome) []policy.Outcome    { return []policy.Outcome{o} }
func threeOutcomes(o policy.Outcome) []policy.Outcome { return []policy.Outcome{o, o, o} }

// endpointScripts holds each way a call may end, and whether the connection can carry another.
var endpointScripts = []endpointScript{
	{write: httpResponse("200 OK", "hello"), outcomes: oneOutcome(policy.Delivered), reusable: true},
	// More than one answer.
	{write: httpResponse("503 X", "") + httpResponse("200 OK", ""), outcomes: oneOutcome(policy.Rejected)},
	{write: httpResponse("200 OK\r\nConnection: close", ""), outcomes: oneOutcome(policy.Delivered)},
	{write: httpResponse("429 X\r\nWait-Ms: 60000", ""), outcomes: oneOutcome(policy.Rejected), retryAfter: true,
		reusable: true},
	{write: httpResponse("503 X", ""), outcomes: oneOutcome(policy.Rejected), reusable: true},
	{write: httpResponse("503 X\r\nSlots-Taken: 1", ""), outcomes: oneOutcome(policy.Unsent), reusable: true},
	{write: httpResponse("504 X", ""), outcomes: oneOutcome(policy.Unsent), reusable: true},
	{write: httpResponse("410 X", ""), outcomes: oneOutcome(policy.Unsent), final: true, reusable: true},
	{write: httpResponse("500 X", "boom"), outcomes: oneOutcome(policy.Errored), reusable: true},
	{close: true, outcomes: oneOutcome(policy.ConnectionLost)},
	{write: "HTTP/1.1 200 OK\r\n", close: true, outcomes: oneOutcome(policy.Delivered)},
	{write: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", close: true, outcomes: oneOutcome(policy.Delivered)},
	{write: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", stalls: true,
		outcomes: oneOutcome(policy.Delivered)}, // the rest never comes
	{write: "HTTP/1.1 503 X\r\nWa", close: true, outcomes: oneOutcome(policy.Errored)},
	{write: "nonsense\r\n\r\n", outcomes: oneOutcome(policy.Errored)},
	{silent: true, outcomes: oneOutcome(policy.TimedOut)},
	{write: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		outcomes: oneOutcome(policy.Delivered), reusable: true},
	{write: httpResponse("200 OK", "closes while it stands idle"), close: true,
		outcomes: oneOutcome(policy.Delivered), reusable: true},
	{write: "HTTP/1.0 200 OK\r\n\r\nuntil the end", close: true, outcomes: oneOutcome(policy.Delivered)},

	{write: httpResponse("200 OK", `[{"id":"b","state":"later"},{"id":"a","state":"ok"},{"id":"c","state":"error"}]`),
		outcomes: []policy.Outcome{policy.Delivered, policy.Rejected, policy.Errored}, reusable: true},
	{write: httpResponse("200 OK\r\nWait-Ms: 60000", `[{"id":"a","state":"exhausted"},{"id":"b","state":"ok"}]`),
		outcomes: []policy.Outcome{policy.Unsent, policy.Delivered, policy.Errored}, retryAfter: true, reusable: true},
	{write: httpResponse("200 OK", `[{"id":`), outcomes: threeOutcomes(policy.Errored), reusable: true},
	{write: "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n[", close: true, outcomes: threeOutcomes(policy.Errored)},
	{write: httpResponse("429 X\r\nWait-Ms: 60000", ""), outcomes: threeOutcomes(policy.Rejected),
		retryAfter: true, reusable: true},
	{write: httpResponse("413 X", ""), outcomes: threeOutcomes(policy.Unsent), reusable: true},
	{silent: true, outcomes: threeOutcomes(policy.TimedOut)},

	// Malformed answers: the message may have run, unless a status line with 200 answers a single
	// one.
	{write: "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhel", stalls: true, outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 429 X\r\nContent-Length: 3000000000\r\n\r\nkeeps coming", outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 410 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhey",
		outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 504 X\r\nContent-Length: -1\r\n\r\n", outcomes: oneOutcome(policy.Errored)},
	// An endless body.
	{write: "HTTP/1.1 503 X\r\n\r\n" + strings.Repeat("x", maxBody+1), outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 503 X\r\nno colon\r\n\r\n", outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 503 X\r\nA: " + strings.Repeat("x", readBufferSize), outcomes: oneOutcome(policy.Errored)},
	{write: "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", outcomes: oneOutcome(policy.Delivered)},
	{write: "HTTP/1.1 200 OK\r\nA: b\r\n", stalls: true, outcomes: oneOutcome(policy.Delivered)}, // endless head
	{write: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n[", outcomes: threeOutcomes(policy.Errored)},
	{write: "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhel", stalls: true, outcomes: threeOutcomes(policy.Errored)},
	{write: strings.Repeat("HTTP/1.1 102 X\r\n\r\n", maxInterimResponses+1) + httpResponse("200 OK", ""),
		outcomes: oneOutcome(policy.Errored)},
	// A duplicate answer.
	{write: httpResponse("200 OK", "") + httpResponse("200 OK", ""), outcomes: oneOutcome(policy.Delivered)},
	{write: httpResponse("200 OK\r\nX-Backend-Load: x0=nan,x1=1e999", ""), outcomes: oneOutcome(policy.Delivered),
		reusable: true},
}

// answer returns what the endpoint writes. To the last call on a connection it says so, as HTTP has
// it.
func (s endpointScript) answer(last bool) string {
	fields := ""
	if s.receipt > 0 {
		fields = fmt.Sprintf("X-Receipt: %d\r\n", s.receipt)
	}
	if last && !s.ignoresClose {
		fields += "Connection: close\r\n"
	}
	firstLines := regexp.MustCompile(`HTTP/1\.1 [^\r]*\r\n`)
	return firstLines.ReplaceAllString(s.write, "${0}"+fields)
}

// serveScripts plays scripts on every connection and passes on what it read.
func serveScripts(ln net.Listener, scripts <-chan endpointScript, seen chan<- *head, bodies chan<- []byte) {
	for {
		sock, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer sock.Close()
			before := ""
			for r := bufio.NewReaderSize(sock, readBufferSize); ; {
				h, err := readHead(r)
				if err != nil {
					return
				}
				length, chunked, _ := h.framing()
				body, _ := readBody(r, length, chunked, maxListBody)
				s := <-scripts
				seen <- h
				bodies <- body
				if s.copyFirst {
					io.WriteString(sock, before)
				}
				before = s.answer(h.get("Connection") == "close")
				io.WriteString(sock, before)
				if s.close {
					return
				}
			}
		}()
	}
}

// stallingConn times out the read of a stalled answer at once, and records the timeout that the
// relay set for it. So the test does not depend on the machine's speed.
type stallingConn struct {
	*net.TCPConn
	stalls  bool          // the answer to the call in progress never ends
	timeout time.Duration // longest timeout that the relay set
	bounded bool          // the relay set a timeout
}

// SetReadDeadline is called by the relay once the first line of an answer was read.
func (c *stallingConn) SetReadDeadline(end time.Time) error {
	if c.stalls {
		c.bounded, c.timeout = true, max(c.timeout, time.Until(end))
		end = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(end)
}

// Bits of a step of FuzzRoute; the others select the script.
const (
	copyFirstBit = 0x80 // a second copy of the answer before crosses the call
	alikeBit     = 0x40 // in the first step: the endpoint's answers don't differ from one another
	scriptBits   = 0x3f
)

// FuzzRoute plays random scripts on one endpoint. Each message gets one result that claims no more
// than the stage proves, also if a copy of an earlier answer comes first, and a connection is reused
// only if it can be.
func FuzzRoute(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	f.Add([]byte{25, 0, 25, 1, 1, 0})
	f.Add([]byte{26, 0, 27, 28, 0, 29, 30, 31, 32, 0, 33, 34, 35, 36, 37, 38, 0, 39, 0})
	f.Add([]byte{13, 0, 14, 0, 15, 16, 0, 16, 18, 17, 0, 18, 19, 20, 21, 22, 23, 24, 0})
	f.Add([]byte{0, 0, 0, 0x80, 0, 4, 0x80, 4, 0, 0x84, 0, 0, 0x93, 0, 0x97, 0x83, 0, 0, 0x8a, 0, 0x89, 0, 0})
	f.Add([]byte{0x40, 0, 0x80, 4, 0x84, 19, 0x93, 23, 0x80, 0, 0x8a, 0, 0x80, 4, 4, 0x84})
	f.Fuzz(func(t *testing.T, steps []byte) {
		ln := listenLoopback(t)
		scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 1), make(chan []byte, 1)
		go serveScripts(ln, scripts, seen, bodies)
		ep := &endpoint{id: "e", addr: ln.Addr().String(), backoff: &backoff{}}
		c := &endpointConn{endpoint: ep, dialTimeout: 20 * time.Second}
		alike := len(steps) > 0 && steps[0]&alikeBit != 0
		if alike {
			ep.traits.variety.Store(answersRepeat)
		}
		stalls := false
		c.dial = func(addr string, limit time.Duration) (net.Conn, error) {
			sock, err := net.DialTimeout("tcp", addr, limit)
			if err != nil {
				return nil, err
			}
			return &stallingConn{TCPConn: sock.(*net.TCPConn), stalls: stalls}, nil
		}
		defer func() { c.close() }()
		for n, b := range steps[:min(len(steps), 24)] {
			s := endpointScripts[int(b&scriptBits)%len(endpointScripts)]
			if !alike {
				s.receipt = n + 1
			}
			reused := c.sock != nil && !stale(c.sock) &&
				!(ep.traits.ignoresClose.Load() && c.answers.mayRepeat(true, policy.Unsafe, &ep.traits))
			s.copyFirst = reused && b&copyFirstBit != 0 && !s.silent && !s.stalls
			cl := &call{endpoint: ep, timeout: 20 * time.Second, effect: policy.Unsafe}
			for i := range s.outcomes {
				cl.items = append(cl.items, callItem{id: string("abc"[i]), key: "k", body: []byte{0, '\n', b}})
			}
			cl.deadline = time.Now().Add(cl.timeout)
			if stalls = s.stalls; c.sock != nil {
				c.sock.(*stallingConn).stalls = stalls
			}
			scripts <- s
			done := make(chan callResult, 1)
			go func() { done <- c.makeCall(cl) }()
			h, body := <-seen, <-bodies
			if s.silent { // time out as soon as the call was read
				c.sock.SetReadDeadline(time.Unix(1, 0))
			}
			res := <-done
			if sock, _ := c.sock.(*stallingConn); s.stalls &&
				(sock == nil || !sock.bounded || sock.timeout > answerRestTimeout) {
				t.Fatalf("step %d: no bounded timeout for a stalled answer: %+v", b, sock)
			}
			if len(s.outcomes) == 1 && (h.firstLine[1] != "/hook" || h.get("X-Correlation-Id") != "a" ||
				h.get("Idempotency-Key") != "k" ||
				string(body) != string(cl.items[0].body)) {
				t.Fatalf("call %+v with body %q", h, body)
			}
			if list := gjson.ParseBytes(body).Array(); len(s.outcomes) == 3 &&
				(h.firstLine[1] != "/hook/batch" || len(list) != 3 ||
					list[2].Get("id").Str != "c" || list[2].Get("key").Str != "k" ||
					list[2].Get("body").Str != base64.StdEncoding.EncodeToString(cl.items[2].body)) {
				t.Fatalf("batch %+v with body %q", h, body)
			}
			var got []policy.Outcome
			for _, e := range res.results {
				got = append(got, e.outcome)
				if e.final != s.final {
					t.Fatalf("step %d: final %v", b, e.final)
				}
			}
			reusable := s.reusable && !s.copyFirst && h.get("Connection") != "close"
			if !slices.Equal(got, s.outcomes) || res.reusable != reusable ||
				(res.retryAfter > 0) != s.retryAfter || ep.backoff.active() != s.retryAfter {
				t.Fatalf("step %d: outcomes %v, reusable %v, Retry-After %v, error %v; want %+v", b, got,
					res.reusable, res.retryAfter, res.err, s)
			}
			var se *AttemptError
			if errors.As(res.err, &se) && se.Stage < Written {
				t.Fatalf("step %d: stage %d of a call that was read", b, se.Stage)
			}
			if s.retryAfter { // a further call meets the backoff, and nothing of it is written
				blocked := c.makeCall(cl)
				if blocked.results[0].outcome != policy.Unsent || !errors.Is(blocked.err, errBlocked) || len(seen) > 0 {
					t.Fatalf("sent despite a backoff: %+v", blocked)
				}
				c.close()
				ep.backoff.until.Store(0)
			} else if !res.reusable {
				c.close()
			} else if s.close {
				waitFor(t, "the close to be noticed", func() bool { return stale(c.sock) })
			}
		}
	})
}

// A 503 that closes a new connection means that the endpoint's connection limit is reached. On a
// used connection, with Wait-Ms, or without a close it is a rejection.
func TestConnectionLimitReached(t *testing.T) {
	full := httpResponse("503 X\r\nConnection: close", "")
	for name, c := range map[string]struct {
		before, answer string
		want           policy.Outcome
	}{
		"full":              {"", full, policy.ConnectFailed},
		"in use before":     {httpResponse("200 OK", ""), full, policy.Rejected},
		"with Wait-Ms":      {"", httpResponse("503 X\r\nWait-Ms: 9\r\nConnection: close", ""), policy.Rejected},
		"stays open":        {"", httpResponse("503 X", ""), policy.Rejected},
		"too many requests": {"", httpResponse("429 X\r\nConnection: close", ""), policy.Rejected},
		"no slot": {"", httpResponse("503 X\r\nSlots-Taken: 1\r\nConnection: close", ""),
			policy.Unsent},
		"spoilt": {"", "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 3000000000\r\n\r\n",
			policy.Errored},
		"new connection":          {"drop", full, policy.ConnectFailed},
		"after an interim answer": {"", "HTTP/1.1 102 X\r\n\r\n" + full, policy.ConnectFailed},
	} {
		ln := listenLoopback(t)
		scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 9), make(chan []byte, 9)
		go serveScripts(ln, scripts, seen, bodies)
		ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
		conn := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
		carry := func(answer string) callResult {
			scripts <- endpointScript{write: answer}
			return conn.makeCall(&call{endpoint: ep, items: []callItem{{id: "a"}},
				deadline: time.Now().Add(time.Minute)})
		}
		if c.before == "drop" {
			carry(httpResponse("200 OK", ""))
			conn.close()
		} else if c.before != "" {
			carry(c.before)
		}
		if res := carry(c.answer); res.results[0].outcome != c.want {
			t.Errorf("%s: outcome %v, %v", name, res.results[0].outcome, res.err)
		}
		conn.close()
	}
}

// The stage of an attempt separates calls that never ran from calls that may have run.
func TestAttemptErrorOutcomes(t *testing.T) {
	for _, c := range []struct {
		stage Stage
		err   error
		want  policy.Outcome
		never bool
	}{
		{Started, os.ErrDeadlineExceeded, policy.ConnectFailed, true},
		{Connected, io.ErrShortWrite, policy.ConnectFailed, true},
		{Connected, errBlocked, policy.Unsent, true}, {Written, os.ErrDeadlineExceeded, policy.TimedOut, false},
		{Written, io.EOF, policy.ConnectionLost, false}, {Answered, io.EOF, policy.Errored, false},
		{Written, errFirstLine, policy.Errored, false}, {Answered, os.ErrDeadlineExceeded, policy.Errored, false},
	} {
		e := &AttemptError{c.stage, c.err}
		if e.Outcome() != c.want || e.NeverRan() != c.never || !strings.Contains(e.Error(), c.err.Error()) {
			t.Errorf("%v: outcome %v, never ran %v", e, e.Outcome(), e.NeverRan())
		}
	}
}

// A refused connection, a drained endpoint and a panic each end the call once, as never run.
func TestCallsNeverRun(t *testing.T) {
	ln := listenLoopback(t)
	addr := ln.Addr().String()
	ln.Close()
	call := func(ep *endpoint) callResult {
		return (&endpointConn{endpoint: ep, dialTimeout: time.Second}).makeCall(&call{endpoint: ep,
			items: []callItem{{id: "a"}}, deadline: time.Now().Add(time.Minute)})
	}
	if got := call(&endpoint{addr: addr, backoff: &backoff{}}); got.results[0].outcome != policy.ConnectFailed ||
		got.reusable {
		t.Errorf("connection refused: %+v", got)
	}
	drained := &endpoint{addr: listenLoopback(t).Addr().String(), backoff: &backoff{}}
	drained.state.Store(int32(policy.Draining))
	if got := call(drained); got.results[0].outcome != policy.Unsent {
		t.Errorf("drained: %+v", got)
	}
	if got := call(&endpoint{
		addr: listenLoopback(t).Addr().String(),
	}); got.results[0].outcome != policy.ConnectFailed || !strings.Contains(got.err.Error(), "panic") {
		t.Errorf("panic: %+v", got)
	}
}

// Items whose time ran out while the call was dialed are not sent, and a call without items is not
// made.
func TestExpiredItemsAreNotSent(t *testing.T) {
	ln := listenLoopback(t)
	scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 9), make(chan []byte, 9)
	go serveScripts(ln, scripts, seen, bodies)
	now := time.Now()
	conn := &endpointConn{endpoint: &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}, dialTimeout: time.Minute}
	scripts <- endpointScript{write: httpResponse("200 OK", "")}
	res := conn.makeCall(&call{endpoint: conn.endpoint, deadline: now.Add(time.Minute),
		items: []callItem{{id: "late", writeBy: now}, {id: "kept", body: []byte("x"), writeBy: now.Add(time.Minute)}}})
	h, body := <-seen, <-bodies
	if h.firstLine[1] != "/hook" || h.get("X-Correlation-Id") != "kept" || string(body) != "x" {
		t.Errorf("sent %v with %q", h, body)
	}
	if res.results[0].outcome != policy.Unsent || res.results[1].outcome != policy.Delivered {
		t.Errorf("results %+v, %v", res.results, res.err)
	}
	res = conn.makeCall(&call{endpoint: conn.endpoint, deadline: now.Add(time.Minute),
		items: []callItem{{id: "late", writeBy: now}}})
	if res.results[0].outcome != policy.Unsent || len(seen) > 0 {
		t.Errorf("alone: %+v, %d calls seen", res.results, len(seen))
	}
	conn.close()
}

// A reset, or data, before the last byte of an unsafe call proves that it never ran. A reset of a
// new connection counts against the endpoint, one of a used connection does not.
func TestLastByteDelay(t *testing.T) {
	for name, c := range map[string]struct {
		answer        string
		close         bool
		served        bool          // the connection has carried a call before
		lastByteDelay time.Duration // a minute only bounds a hang
		want          policy.Outcome
	}{
		"holds":               {httpResponse("200 OK", ""), false, false, time.Millisecond, policy.Delivered},
		"cut":                 {"", true, false, time.Minute, policy.RequestIncomplete},
		"speaks":              {httpResponse("200 OK", ""), true, false, time.Minute, policy.Unsent},
		"served, then holds":  {httpResponse("200 OK", ""), false, true, time.Millisecond, policy.Delivered},
		"served, then cut":    {"", true, true, time.Minute, policy.Unsent},
		"served, then speaks": {httpResponse("200 OK", ""), true, true, time.Minute, policy.Unsent},
	} {
		ln, read := listenLoopback(t), make(chan string, 1)
		go func() {
			sock, err := ln.Accept()
			if err != nil {
				return
			}
			defer sock.Close()
			b := make([]byte, readBufferSize)
			if c.served {
				for all := ""; !strings.HasSuffix(all, "\r\n\r\nbefore"); {
					n, err := sock.Read(b)
					if all += string(b[:n]); err != nil {
						return
					}
				}
				io.WriteString(sock, httpResponse("200 OK", "before"))
			}
			n, _ := sock.Read(b) // all but the last byte, which follows only if the connection holds
			if !c.close {
				m, _ := io.ReadAtLeast(sock, b[n:], 1)
				n += m
			}
			read <- string(b[:n])
			io.WriteString(sock, c.answer)
		}()
		ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
		conn := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
		carry := func(id, body string, lastByteDelay time.Duration) callResult {
			return conn.makeCall(&call{endpoint: ep, lastByteDelay: lastByteDelay,
				items: []callItem{{id: id, body: []byte(body)}}, deadline: time.Now().Add(2 * time.Minute)})
		}
		if c.served {
			if res := carry("b", "before", 0); !res.reusable {
				t.Fatalf("%s: first call: %+v, %v", name, res.results, res.err)
			}
		}
		res := carry("a", "hello", c.lastByteDelay)
		conn.close()
		if got := <-read; res.results[0].outcome != c.want || strings.HasSuffix(got, "hello") == c.close {
			t.Errorf("%s: outcome %v, %v; read %q", name, res.results[0].outcome, res.err, got)
		}
	}
}
