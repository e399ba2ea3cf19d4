package wire

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oatfold/policy"
)

// A second copy of an answer that crosses the next call on its way is never taken for the answer to
// that call: a copy of a 200 would end a message that is then refused, a copy of a 503 would send one
// again that is running. Where nothing but the copy comes, the call may have run.
func TestCopyOfEarlierAnswerIsPassedOver(t *testing.T) {
	delivered, refused := httpResponse("200 OK", "receipt 1"), httpResponse("503 X", "")
	batch := httpResponse("200 OK", `[{"id":"x","state":"ok"},{"id":"y","state":"ok"}]`)
	for name, c := range map[string]struct {
		before   string // the answer that is sent twice
		answer   endpointScript
		messages int // of the call
		want     policy.Outcome
	}{
		"200, then 503":                 {delivered, endpointScript{write: refused}, 1, policy.Rejected},
		"200, then 200":                 {delivered, endpointScript{write: httpResponse("200 OK", "receipt 2")}, 1, policy.Delivered},
		"200, then an equal 200":        {delivered, endpointScript{write: delivered}, 1, policy.Delivered},
		"503, then 200":                 {refused, endpointScript{write: delivered}, 1, policy.Delivered},
		"503, then an equal 503":        {refused, endpointScript{write: refused}, 1, policy.Rejected},
		"503, then 500":                 {refused, endpointScript{write: httpResponse("500 X", "")}, 1, policy.Errored},
		"a batch's, then a batch's":     {batch, endpointScript{write: httpResponse("200 OK", `[{"id":"a","state":"ok"},{"id":"b","state":"ok"}]`)}, 2, policy.Delivered},
		"a batch's, then 503":           {batch, endpointScript{write: refused}, 2, policy.Rejected},
		"a batch's, then 200":           {batch, endpointScript{write: delivered}, 1, policy.Delivered},
		"200, then the connection ends": {delivered, endpointScript{close: true}, 1, policy.ConnectionLost},
		"503, then the connection ends": {refused, endpointScript{close: true}, 1, policy.ConnectionLost},
		"503, then nothing":             {refused, endpointScript{silent: true}, 1, policy.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			conn := startScriptedConn(t)
			first := conn.call(t, time.Minute, endpointScript{write: c.before}, messagesBefore(c.before == batch)...)
			if !first.reusable {
				t.Fatalf("first call: %+v", first)
			}
			c.answer.copyFirst = true
			timeout := time.Minute
			if c.answer.silent {
				timeout = 200 * time.Millisecond
			}
			got := conn.call(t, timeout, c.answer, []string{"a", "b"}[:c.messages]...)
			if got.results[0].outcome != c.want || got.reusable || got.unboundAnswers != 1 {
				t.Errorf("outcome %v, reusable %v, %d passed over, %v", got.results[0].outcome, got.reusable,
					got.unboundAnswers, got.err)
			}
		})
	}
}

// A call whose messages may be repeated is given up by a rejection that may be a copy, with its
// connection: safe ones are rejected, others may have run. Nothing else that equals an earlier answer
// ends it.
func TestUnboundRejectionGivesTheCallUp(t *testing.T) {
	refused, delivered := httpResponse("503 X", ""), httpResponse("200 OK", "receipt 1")
	for name, c := range map[string]struct {
		before      string
		script      endpointScript
		safe, keyed policy.Outcome
		passed      int // answers that nothing binds
		reuses      bool
	}{
		"503, a copy of it, then 200": {refused, endpointScript{write: delivered, copyFirst: true}, policy.Rejected,
			policy.Errored, 1, false},
		"503, then an equal 503": {refused, endpointScript{write: refused}, policy.Rejected, policy.Errored, 1, false},
		"503, then 200":          {refused, endpointScript{write: delivered}, policy.Delivered, policy.Delivered, 0, true},
		"200, a copy of it, then 503": {delivered, endpointScript{write: refused, copyFirst: true}, policy.Rejected,
			policy.Rejected, 1, false},
	} {
		for effect, want := range map[policy.Effect]policy.Outcome{policy.Safe: c.safe, policy.Keyed: c.keyed} {
			t.Run(fmt.Sprintf("%s, effect %d", name, effect), func(t *testing.T) {
				conn := startScriptedConn(t)
				conn.effect = effect
				conn.call(t, time.Minute, endpointScript{write: c.before}, "x")
				conn.endpoint.traits.variety.Store(answersVary)
				got := conn.call(t, time.Minute, c.script, "a")
				if got.results[0].outcome != want || got.unboundAnswers != c.passed || got.reusable != c.reuses {
					t.Errorf("outcome %v, %d unbound, reusable %v, %v", got.results[0].outcome, got.unboundAnswers,
						got.reusable, got.err)
				}
				if conn.place != 1 {
					t.Error("the second call had a connection of its own")
				}
			})
		}
	}
}

// messagesBefore returns the ids of the first call of a test.
func messagesBefore(batch bool) []string {
	if batch {
		return []string{"x", "y"}
	}
	return []string{"x"}
}

// Connections carry further calls where answers differ from one another, and two calls where they
// don't: the second says that it is the last one. An endpoint that does not answer so gets one call
// on each connection.
func TestConnectionReuseByAnswers(t *testing.T) {
	ok, refused := httpResponse("200 OK", ""), httpResponse("503 X", "")
	for name, c := range map[string]struct {
		answers  []string
		receipts bool
		ignores  bool  // the endpoint does not answer that a call is the last one
		want     []int // of each call: its place on the connection, from 0
	}{
		"answers differ":         {[]string{ok, ok, ok, ok, ok, ok}, true, false, []int{0, 1, 0, 1, 2, 3}},
		"answers are alike":      {[]string{ok, ok, ok, ok, ok}, false, false, []int{0, 1, 0, 1, 0}},
		"a refusal":              {[]string{ok, ok, ok, refused, ok, ok}, true, false, []int{0, 1, 0, 1, 2, 0}},
		"alike, close unheeded":  {[]string{ok, ok, ok, ok}, false, true, []int{0, 1, 0, 0}},
		"differ, close unheeded": {[]string{ok, ok, ok, refused, ok}, true, true, []int{0, 1, 2, 3, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := startScriptedConn(t)
			var got []int
			for n, text := range c.answers {
				script := endpointScript{write: text, ignoresClose: c.ignores}
				if c.receipts {
					script.receipt = n + 1
				}
				conn.call(t, 300*time.Millisecond, script, "a")
				got = append(got, conn.place)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("places %v, want %v", got, c.want)
			}
		})
	}
}

// A connection that keeps sending earlier answers ends its call.
func TestEndlessCopiesEndTheCall(t *testing.T) {
	conn := startScriptedConn(t)
	refused := httpResponse("503 X", "")
	conn.call(t, time.Minute, endpointScript{write: refused}, "x")
	copies := ""
	for range maxUnboundAnswers + 1 {
		copies += refused
	}
	got := conn.call(t, time.Minute, endpointScript{write: copies, ignoresClose: true}, "a")
	if got.results[0].outcome != policy.Errored || got.reusable {
		t.Errorf("outcome %v, reusable %v, %v", got.results[0].outcome, got.reusable, got.err)
	}
}

// The date tells no answers apart, and neither does what follows from the call's place on its
// connection; the rest does.
func TestAnswerDigest(t *testing.T) {
	answer := func(body string, fields ...field) *response {
		return &response{head: head{firstLine: [3]string{"HTTP/1.1", "200", "OK"}, fields: fields}, status: 200,
			body: []byte(body)}
	}
	plain := answer("x", field{"Content-Length", "1"})
	for name, c := range map[string]struct {
		other *response
		equal bool
	}{
		"date":       {answer("x", field{"date", "Fri"}, field{"Content-Length", "1"}), true},
		"close":      {answer("x", field{"Content-Length", "1"}, field{"Connection", "close"}), true},
		"keep-alive": {answer("x", field{"Keep-Alive", "max=9"}, field{"Content-Length", "1"}), true},
		"body":       {answer("y", field{"Content-Length", "1"}), false},
		"field":      {answer("x", field{"Content-Length", "1"}, field{"X-Receipt", "1"}), false},
	} {
		if got := plain.digest() == c.other.digest(); got != c.equal {
			t.Errorf("%s: equal %v", name, got)
		}
	}
}

// scriptedConn is a connection to an endpoint that plays scripts.
type scriptedConn struct {
	*endpointConn
	scripts chan endpointScript
	seen    chan *head
	bodies  chan []byte
	effect  policy.Effect // of the messages of its calls
	place   int           // of the last call on its connection
}

func startScriptedConn(t *testing.T) *scriptedConn {
	t.Helper()
	ln := listenLoopback(t)
	c := &scriptedConn{scripts: make(chan endpointScript, 1), seen: make(chan *head, 1), bodies: make(chan []byte, 1),
		effect: policy.Unsafe, endpointConn: &endpointConn{endpoint: &endpoint{id: "e", addr: ln.Addr().String(), backoff: &backoff{}},
			dialTimeout: time.Minute}}
	go serveScripts(ln, c.scripts, c.seen, c.bodies)
	t.Cleanup(c.close)
	return c
}

// call makes a call with these messages, which the endpoint answers by a script. A connection that
// can't be reused is closed, as its owner does.
func (c *scriptedConn) call(t *testing.T, timeout time.Duration, script endpointScript, ids ...string) callResult {
	t.Helper()
	cl := &call{endpoint: c.endpoint, timeout: timeout, deadline: time.Now().Add(timeout), effect: c.effect}
	for _, id := range ids {
		cl.items = append(cl.items, callItem{id: id, body: []byte("b")})
	}
	before := c.sock
	c.scripts <- script
	result := c.makeCall(cl)
	<-c.seen
	<-c.bodies
	if c.place++; c.sock != before || before == nil {
		c.place = 0
	}
	if !result.reusable {
		c.close()
	}
	return result
}
