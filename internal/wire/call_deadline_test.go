package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/policy"
)

// postTogether submits messages so that the policy engine receives all of them in one step.
func (env *testEnv) postTogether(reqs ...string) {
	env.t.Helper()
	env.host.Do(func(h *Host) { h.stepsBlockedUntil = h.now() + time.Hour })
	for _, req := range reqs {
		if status := env.post(req); status != 202 {
			env.t.Errorf("answered %d", status)
		}
	}
	waitFor(env.t, "the clients' responses", func() (all bool) {
		env.host.Do(func(h *Host) { all = len(h.arrivals) == len(reqs) })
		return all
	})
	env.host.Do(func(h *Host) { h.stepsBlockedUntil = 0 })
}

// A call states its timeout, which is shorter than the time left of each of its messages: a batch
// must not run on after one of them has had its final answer.
func TestCallDoesNotOutlastItsMessages(t *testing.T) {
	const short, long = 2100, 20_000 // milliseconds
	left := map[string]int{"short": short, "long": long}
	results := make(chan error, 9)
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		stated, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
		ids := []string{r.Header.Get("X-Correlation-Id")}
		if r.URL.Path == "/hook/batch" {
			ids = nil
			for _, v := range gjson.Parse(body).Array() {
				ids = append(ids, v.Get("id").Str)
			}
		}
		for _, id := range ids {
			if stated >= left[id] {
				err = fmt.Errorf("%s has at most %d ms left, but a call with %v states %d", id, left[id], ids, stated)
			}
		}
		results <- err
		answerOK(rw, r, body)
	})
	env.postTogether(requestText("fee", "long", "", "x", long), requestText("alert", "short", "", "x", short))
	env.waitEmpty()
	close(results)
	for err := range results {
		if err != nil {
			t.Error(err)
		}
	}
}

// The policy engine's deadline precedes the message's own by a margin, so that a final answer never
// looks late to the client.
func TestPolicyDeadlineMargin(t *testing.T) {
	h := newTestHost(t)
	m, wall := h.addMessage("m", 7, 1), time.Now()
	m.Deadline = wall.Add(time.Second)
	if got := submittedEvent(m, wall).TimeLeft; got > time.Second-deadlineMargin || got < time.Second-2*deadlineMargin {
		t.Errorf("%v left of a second", got)
	}
}

// A call states its remaining time as it is written and ends with the attempt's timeout, however
// long the journal and the dial took.
func TestCallStatesTimeLeft(t *testing.T) {
	ln := listenLoopback(t)
	scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 1), make(chan []byte, 1)
	go serveScripts(ln, scripts, seen, bodies)
	conn := &endpointConn{endpoint: &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}, dialTimeout: time.Minute}
	scripts <- endpointScript{write: httpResponse("200 OK", "")}
	cl := &call{endpoint: conn.endpoint, timeout: time.Hour, deadline: time.Now().Add(time.Minute),
		items: []callItem{{id: "a"}}}
	if res := conn.makeCall(cl); res.results[0].outcome != policy.Delivered {
		t.Fatalf("ended as %+v, %v", res.results, res.err)
	}
	if n, err := strconv.Atoi((<-seen).get("X-Time-Left-Ms")); err != nil || n > 60_000 {
		t.Errorf("stated %d ms of a minute, %v", n, err)
	}
	conn.close()

	h := newTestHost(t)
	m := h.addMessage("m", 7, 1)
	began := h.now() - time.Second // the journal write took a second
	planned := h.planSend(began, time.Now(), policy.Send{ID: m.Number, Endpoint: "s-1", Timeout: 3 * time.Second},
		map[string]*call{}, nil)[0]
	c := &endpointConn{endpoint: planned.endpoint, calls: make(chan *call, 1)}
	planned.endpoint.idle = append(planned.endpoint.idle, c)
	c.idleNode = h.idleConns.Push(c)
	h.dispatch(planned)
	if left := time.Until(planned.deadline); left > 2*time.Second {
		t.Errorf("%v left of a call that began a second ago and has three", left)
	}
}
