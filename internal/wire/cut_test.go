package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"oatfold/policy"
)

// completeAnswers is what an answer proves when all of it could be read.
var completeAnswers = []struct {
	write string
	items int
	want  policy.Outcome
	wait  bool
}{
	{httpResponse("200 OK", "done"), 1, policy.Delivered, false},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 1, policy.Delivered, false},
	{httpResponse("429 Slow\r\nWait-Ms: 60000", "no"), 1, policy.Rejected, true},
	{httpResponse("503 Full", "no"), 1, policy.Rejected, false},
	{httpResponse("503 Full\r\nSlots-Taken: 1", ""), 1, policy.Unsent, false},
	{httpResponse("410 Gone", "x"), 1, policy.Unsent, false},
	{"HTTP/1.1 102 X\r\n\r\n" + httpResponse("504 X", "no"), 1, policy.Unsent, false},
	{httpResponse("500 X", "boom"), 1, policy.Errored, false},
	{"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", 1, policy.Rejected, false},
	{httpResponse("200 OK", `[{"id":"a","state":"later"},{"id":"b","state":"later"}]`), 2, policy.Rejected, false},
	{httpResponse("429 X\r\nWait-Ms: 60000", "no"), 2, policy.Rejected, true},
}

// An answer that is cut at any byte, in its status line, head, length, chunk or body, proves nothing: the call may have run. Only a first line with
// 200 that came whole, to a call with one message, stands by itself. A wait binds from the byte on that ends its line, and not before; the
// connection is not used again.
func TestAnswerCutAtEachByte(t *testing.T) {
	for _, a := range completeAnswers {
		line := strings.Index(a.write, "200 OK\r\n")
		waitLine := "Wait-Ms: 60000\r\n"
		bound := strings.Index(a.write, waitLine) + len(waitLine)
		for n := range len(a.write) + 1 {
			ln := listenLoopback(t)
			go func() {
				sock, err := ln.Accept()
				if err != nil {
					return
				}
				defer sock.Close()
				r := bufio.NewReader(sock)
				h, err := readHead(r)
				if err != nil {
					return
				}
				length, _, _ := h.framing()
				readBody(r, length, false, maxResponseBody)
				io.WriteString(sock, a.write[:n])
			}()
			ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
			c := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
			cl := &call{endpoint: ep, items: []callItem{{id: "a"}, {id: "b"}}[:a.items], deadline: time.Now().Add(time.Minute)}
			res := c.makeCall(cl)
			c.close()
			ln.Close()
			got := res.results[0].outcome
			switch whole := n == len(a.write); {
			case whole && (got != a.want || (res.retryAfter > 0) != a.wait):
				t.Errorf("%q: outcome %v, wait %v", a.write, got, res.retryAfter)
			case whole:
			case a.items == 1 && line == len("HTTP/1.1 ") && n >= line+len("200 OK\r\n"):
				if got != policy.Delivered {
					t.Errorf("%q: outcome %v behind a first line with 200", a.write[:n], got)
				}
			case got != policy.Errored && got != policy.ConnectionLost:
				t.Errorf("%q: outcome %v of a cut answer", a.write[:n], got)
			case res.reusable:
				t.Errorf("%q: kept", a.write[:n])
			}
			if wait := a.wait && n >= bound; ep.backoff.active() != wait || (res.retryAfter > 0) != wait {
				t.Errorf("%q: gate closed %v, wait %v", a.write[:n], ep.backoff.active(), res.retryAfter)
			}
		}
	}
}

// The answer to several proves what it says of each message that it names once, and of no other: those that it leaves out, names twice or gives a
// state that nobody knows may have run.
func TestAnswerToSeveral(t *testing.T) {
	const ok, gone, later, may = policy.Delivered, policy.Unsent, policy.Rejected, policy.Errored
	for body, want := range map[string][]policy.Outcome{
		`[{"id":"a","state":"ok"},{"id":"b","state":"later"},{"id":"c","state":"gone"}]`:                             {ok, later, gone},
		`[{"id":"c","state":"ok"},{"id":"a","state":"later"}]`:                                                       {later, may, ok},
		`[{"id":"a","state":"ok"},{"id":"a","state":"later"},{"id":"b","state":"later"}]`:                            {may, later, may},
		`[{"id":"a","state":"later"},{"id":"b","state":"ok"},{"id":"a","state":"later"},{"id":"c","state":"later"}]`: {may, ok, later},
		`[{"id":"a","state":"later"},{"id":"a","state":"odd"},{"id":"b","state":"ok"}]`:                              {may, ok, may},
		`[{"id":"a","state":"later"},{"id":"a"},{"id":"b","state":"ok"}]`:                                            {may, ok, may},
		`[{"id":"x","state":"later"},{"id":"b","state":"later"},{"id":"y","state":"ok"}]`:                            {may, later, may},
		`[{"id":"a","state":"odd"},{"id":"b"},{"state":"later"}]`:                                                    {may, may, may},
		`[{"id":7,"state":"later"},null,"a",[]]`:                                                                     {may, may, may},
		`{"id":"a","state":"later"}`:                                                                                 {may, may, may},
		`[{"id":"a","state":"later"}`:                                                                                {may, may, may},
		`[]`:                                                                                                         {may, may, may},
		``:                                                                                                           {may, may, may},
	} {
		cl := &call{items: []callItem{{id: "a"}, {id: "b"}, {id: "c"}}}
		var got []policy.Outcome
		for _, e := range batchResults(cl, []byte(body)) {
			got = append(got, e.outcome)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", body, got, want)
		}
	}
}

// What is left over on a connection that stands idle, from one byte to a whole second answer, or its close, is never read as the answer to the next
// call: that goes on a connection of its own.
func TestLeftoverOfAnIdleConnection(t *testing.T) {
	second := httpResponse("200 OK", "")
	for _, left := range []string{"H", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", second, "close"} {
		ln := listenLoopback(t)
		socks := make(chan net.Conn, 2)
		answers := make(chan string, 2)
		go func() {
			for {
				sock, err := ln.Accept()
				if err != nil {
					return
				}
				socks <- sock
				go func() {
					for r := bufio.NewReader(sock); ; {
						if _, err := readHead(r); err != nil {
							return
						}
						io.WriteString(sock, <-answers)
					}
				}()
			}
		}()
		ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
		c := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
		carry := func(answer string) callResult {
			answers <- answer
			return c.makeCall(&call{endpoint: ep, items: []callItem{{id: "a"}}, deadline: time.Now().Add(time.Minute)})
		}
		if res := carry(httpResponse("200 OK", "")); !res.reusable {
			t.Fatalf("%q: %+v", left, res)
		}
		if sock := <-socks; left == "close" {
			sock.Close()
		} else {
			fmt.Fprint(sock, left)
		}
		waitFor(t, "what is left over to come", func() bool { return stale(c.sock) })
		if res := carry(httpResponse("503 X", "")); res.results[0].outcome != policy.Rejected {
			t.Errorf("%q: the next call ends as %v", left, res.results[0].outcome)
		}
		if len(socks) != 1 {
			t.Errorf("%q: the next call has no connection of its own", left)
		}
		c.close()
	}
}

// A time that is up against an answer, both in one turn and in both orders: each try has one end towards the module, and the message one end. The answer
// wins where it came first; where the time was first, its late answer changes nothing that was said.
func TestTimeAgainstAnswer(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		h := newTestHost(t)
		ep := h.endpoints["s-1"]
		m := h.addMessage("m", 7, 1)
		calls := h.planSend(h.now(), time.Now(), policy.Send{ID: m.Number, Endpoint: ep.id, Timeout: time.Hour}, map[string]*call{}, nil)
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		cl := calls[0]
		cl.items[0].expiresAt = h.now() + time.Millisecond
		cl.timeout = time.Hour
		h.registerCall(cl)
		h.uncommittedCalls, h.pendingEvents = nil, nil
		late := h.now() + time.Hour
		answer := func() { h.handleEvent(callResult{call: cl, results: []itemResult{{outcome: policy.Delivered}}}) }
		if answerFirst {
			answer()
			h.expireItems(late)
		} else {
			h.expireItems(late)
			answer()
		}
		var ends []policy.AttemptEnded
		for _, e := range h.pendingEvents {
			if e, ok := e.(policy.AttemptEnded); ok {
				ends = append(ends, e)
			}
		}
		want := policy.TimedOut
		if answerFirst {
			want = policy.Delivered
		}
		if len(ends) != 1 || ends[0].Outcome != want {
			t.Errorf("answer first %v: ends %+v", answerFirst, ends)
		}
		if h.table.Get(m.Number) != nil || len(h.unqueuedNotifications) > 0 || h.expiries.First() != nil {
			t.Errorf("answer first %v: held %v, notices %v", answerFirst, h.table.Get(m.Number), h.unqueuedNotifications)
		}
	}
}
