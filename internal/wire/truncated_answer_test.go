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

// completeAnswers holds what an answer proves if all of it can be read.
var completeAnswers = []struct {
	write      string
	items      int
	want       policy.Outcome
	retryAfter bool
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

// An answer that is truncated at any byte proves nothing, except for a whole status line with 200
// for a single message. Wait-Ms applies once its line is complete. The connection is not reused.
func TestAnswerTruncatedAtEachByte(t *testing.T) {
	for _, a := range completeAnswers {
		line := strings.Index(a.write, "200 OK\r\n")
		waitLine := "Wait-Ms: 60000\r\n"
		waitLineEnd := strings.Index(a.write, waitLine) + len(waitLine)
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
				readBody(r, length, false, maxListBody)
				io.WriteString(sock, a.write[:n])
			}()
			ep := &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}
			c := &endpointConn{endpoint: ep, dialTimeout: time.Minute}
			cl := &call{endpoint: ep, items: []callItem{{id: "a"}, {id: "b"}}[:a.items],
				deadline: time.Now().Add(time.Minute)}
			res := c.makeCall(cl)
			c.close()
			ln.Close()
			got := res.results[0].outcome
			switch whole := n == len(a.write); {
			case whole && (got != a.want || (res.retryAfter > 0) != a.retryAfter):
				t.Errorf("%q: outcome %v, Retry-After %v", a.write, got, res.retryAfter)
			case whole:
			case a.items == 1 && line == len("HTTP/1.1 ") && n >= line+len("200 OK\r\n"):
				if got != policy.Delivered {
					t.Errorf("%q: outcome %v after a status line with 200", a.write[:n], got)
				}
			case got != policy.Errored && got != policy.ConnectionLost:
				t.Errorf("%q: outcome %v of a truncated answer", a.write[:n], got)
			case res.reusable:
				t.Errorf("%q: the connection is reusable", a.write[:n])
			}
			if wantBackoff := a.retryAfter && n >= waitLineEnd; ep.backoff.active() != wantBackoff ||
				(res.retryAfter > 0) != wantBackoff {
				t.Errorf("%q: backoff %v, Retry-After %v", a.write[:n], ep.backoff.active(), res.retryAfter)
			}
		}
	}
}

// The answer to a batch proves the result of each message that it names once with a known state.
// All others may have run.
func TestBatchAnswer(t *testing.T) {
	const ok, gone, later, may = policy.Delivered, policy.Unsent, policy.Rejected, policy.Errored
	for body, want := range map[string][]policy.Outcome{
		`[{"id":"a","state":"ok"},{"id":"b","state":"later"},{"id":"c","state":"gone"}]`:  {ok, later, gone},
		`[{"id":"c","state":"ok"},{"id":"a","state":"later"}]`:                            {later, may, ok},
		`[{"id":"a","state":"ok"},{"id":"a","state":"later"},{"id":"b","state":"later"}]`: {may, later, may},
		`[{"id":"a","state":"later"},{"id":"b","state":"ok"},{"id":"a","state":"later"},{"id":"c","state":"later"}]`: {
			may, ok, later,
		},
		`[{"id":"a","state":"later"},{"id":"a","state":"odd"},{"id":"b","state":"ok"}]`:   {may, ok, may},
		`[{"id":"a","state":"later"},{"id":"a"},{"id":"b","state":"ok"}]`:                 {may, ok, may},
		`[{"id":"x","state":"later"},{"id":"b","state":"later"},{"id":"y","state":"ok"}]`: {may, later, may},
		`[{"id":"a","state":"odd"},{"id":"b"},{"state":"later"}]`:                         {may, may, may},
		`[{"id":7,"state":"later"},null,"a",[]]`:                                          {may, may, may},
		`{"id":"a","state":"later"}`:                                                      {may, may, may},
		`[{"id":"a","state":"later"}`:                                                     {may, may, may},
		`[]`:                                                                              {may, may, may},
		``:                                                                                {may, may, may},
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

// Surplus bytes or a close on an idle connection are never read as the answer to the next call,
// which gets a new connection.
func TestSurplusBytesOnIdleConnection(t *testing.T) {
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
		waitFor(t, "the surplus bytes to arrive", func() bool { return stale(c.sock) })
		if res := carry(httpResponse("503 X", "")); res.results[0].outcome != policy.Rejected {
			t.Errorf("%q: outcome %v of the next call", left, res.results[0].outcome)
		}
		if len(socks) != 1 {
			t.Errorf("%q: the next call got no new connection", left)
		}
		c.close()
	}
}

// A timeout and an answer in one iteration give the message one result: that of whichever came
// first.
func TestTimeoutAgainstAnswer(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		h := newTestHost(t)
		ep := h.endpoints["s-1"]
		m := h.addMessage("m", 7, 1)
		calls := h.planSend(h.now(), time.Now(), policy.Send{ID: m.Number, Endpoint: ep.id, Timeout: time.Hour},
			map[string]*call{}, nil)
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
			t.Errorf("answer first %v: results %+v", answerFirst, ends)
		}
		if h.table.Get(m.Number) != nil || len(h.waitingNotifications) > 0 || h.expiries.First() != nil {
			t.Errorf("answer first %v: pending %v, notifications %v", answerFirst, h.table.Get(m.Number),
				h.waitingNotifications)
		}
	}
}
