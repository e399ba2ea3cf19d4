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

// postTogether hands messages in so that the module hears of all of them in one step.
func (w *testEnv) postTogether(reqs ...string) {
	w.t.Helper()
	w.host.Do(func(h *Host) { h.stepsBlockedUntil = h.now() + time.Hour })
	for _, req := range reqs {
		if status := w.post(req); status != 202 {
			w.t.Errorf("answered %d", status)
		}
	}
	waitFor(w.t, "the clients' answers", func() (all bool) {
		w.host.Do(func(h *Host) { all = len(h.arrivals) == len(reqs) })
		return all
	})
	w.host.Do(func(h *Host) { h.stepsBlockedUntil = 0 })
}

// A call tells how long it is waited for, and that is no longer than each of its messages has. Guards against a batch that runs on while one of its
// messages has had its final answer: with that one over, the answer is worth nothing to the others (brink days, lost messages).
func TestCallDoesNotOutlastItsMessages(t *testing.T) {
	const short, long = 2100, 20_000 // ms: over the line's lateness, and under what a charge waits
	left := map[string]int{"short": short, "long": long}
	told := make(chan error, 9)
	w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		wait, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
		ids := []string{r.Header.Get("X-Correlation-Id")}
		if r.URL.Path == "/hook/batch" {
			ids = nil
			for _, v := range gjson.Parse(body).Array() {
				ids = append(ids, v.Get("id").Str)
			}
		}
		for _, id := range ids {
			if wait >= left[id] {
				err = fmt.Errorf("%s has %d ms at most, a call of %v is waited for %d", id, left[id], ids, wait)
			}
		}
		told <- err
		answerOK(rw, r, body)
	})
	w.postTogether(requestText("fee", "long", "", "x", long), requestText("alert", "short", "", "x", short))
	w.waitEmpty()
	close(told)
	for err := range told {
		if err != nil {
			t.Error(err)
		}
	}
}

// What the module is told ends before the message's own time, so that its last answer is never taken from the moment in which the client's
// count has run out already.
func TestModuleEndsBeforeTheMessage(t *testing.T) {
	h := newTestHost(t)
	m, wall := h.addMessage("m", 7, 1), time.Now()
	m.Deadline = wall.Add(time.Second)
	if got := arrivedEvent(m, wall).TimeLeft; got > time.Second-deadlineMargin || got < time.Second-2*deadlineMargin {
		t.Errorf("told %v of a second", got)
	}
}

// A call states what is left of its time as it is written, and ends with the step's time-out, however long journal and dial took.
func TestCallStatesWhatIsLeft(t *testing.T) {
	ln := listenLoopback(t)
	scripts, seen, bodies := make(chan endpointScript, 1), make(chan *head, 1), make(chan []byte, 1)
	go serveScripts(ln, scripts, seen, bodies)
	rc := &endpointConn{endpoint: &endpoint{addr: ln.Addr().String(), backoff: &backoff{}}, dialTimeout: time.Minute}
	scripts <- endpointScript{write: httpResponse("200 OK", "")}
	cl := &call{endpoint: rc.endpoint, timeout: time.Hour, deadline: time.Now().Add(time.Minute), items: []callItem{{id: "a"}}}
	if res := rc.makeCall(cl); res.results[0].outcome != policy.Delivered {
		t.Fatalf("ends %+v, %v", res.results, res.err)
	}
	if n, err := strconv.Atoi((<-seen).get("X-Time-Left-Ms")); err != nil || n > 60_000 {
		t.Errorf("stated %d ms of a minute, %v", n, err)
	}
	rc.close()

	h := newTestHost(t)
	m := h.addMessage("m", 7, 1)
	began := h.now() - time.Second // the journal took a second
	one := h.planSend(began, time.Now(), policy.Send{ID: m.Number, Endpoint: "s-1", Timeout: 3 * time.Second}, map[string]*call{}, nil)[0]
	c := &endpointConn{endpoint: one.endpoint, calls: make(chan *call, 1)}
	one.endpoint.idle = append(one.endpoint.idle, c)
	c.idleNode = h.idleConns.Push(c)
	h.dispatch(one)
	if left := time.Until(one.deadline); left > 2*time.Second {
		t.Errorf("%v left of a call that began a second ago and has three", left)
	}
}
