package wire

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// Tenant and subject come in as the platform names them, are in the journal with the effect and window that bind the message, and come back
// from it to the module.
func TestTermsOutliveTheProcess(t *testing.T) {
	dir, want := t.TempDir(), memory.Terms{Effect: policy.Keyed, RepeatWindow: 7 * time.Second, ZoneOnly: true, Tenant: "north", OrderingKey: "a/b"}
	j, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	for i, terms := range []memory.Terms{want, {}, {Effect: policy.Unsafe}} {
		m := &memory.Message{Number: table.NextNumber(), ID: fmt.Sprint("m", i), Class: "fee", Deadline: time.Now().Add(time.Minute), Terms: terms}
		if err := j.AppendAccepted(table, m, false); err != nil {
			t.Fatal(err)
		}
	}
	given, _, err := journal.DecodeTransfer(journal.EncodeTransfer([]*memory.Message{table.ByID("m0"), table.ByID("m1")}, nil, clock.Scale{}), clock.Scale{})
	if err != nil || len(given) != 2 || given[0].Terms != want || given[1].Terms != (memory.Terms{}) {
		t.Errorf("given to another process: %+v, %v", given, err)
	}
	if err, _ := j.Commit(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	j, table, err = journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	for i, terms := range []memory.Terms{want, {}, {Effect: policy.Unsafe}} {
		m := table.ByID(fmt.Sprint("m", i))
		if m == nil || m.Terms != terms || !m.Recovered {
			t.Fatalf("m%d comes back as %+v", i, m)
		}
	}
	a := arrivedEvent(table.ByID("m0"), time.Now())
	if a.Tenant != "north" || a.Key != "a/b" || a.Terms.Effect != policy.Keyed || a.Terms.RepeatWindow != want.RepeatWindow || !a.Terms.ZoneOnly || !a.Recovered {
		t.Errorf("the module is told %+v", a)
	}
}

// What the platform names tenant and subject is read, for the classes that have one; what can't be read is refused by name.
func TestTenantsAndSubjectsAreRead(t *testing.T) {
	set := &policy.Settings{Classes: []policy.Class{{Name: "posting", Effect: policy.Unsafe, Ordered: true, Deadline: time.Minute},
		{Name: "alert", Deadline: time.Minute}, {Name: "order", Effect: policy.Keyed, RepeatWindow: time.Second, ZoneOnly: true, Deadline: time.Minute}}, Tenants: []policy.Tenant{{Name: "north"}, {Name: "b"}}}
	f := NewServer(listenLoopback(t), set, 10, nil, discardLog)
	head := func(account string) *head {
		return &head{fields: []field{{"X-Correlation-Id", "i"}, {"X-Time-Left-Ms", "1000"}, {"Envelope", "dest=1"}, {"Idempotency-Key", "k"}, {"X-Account", account}}}
	}
	for _, c := range []struct {
		path, query, account string
		want                 memory.Terms
		bad                  string
	}{
		{"/posting", "subject=a%2Fb", "north", memory.Terms{Effect: policy.Unsafe, Tenant: "north", OrderingKey: "a/b"}, ""},
		{"/posting", "", "", memory.Terms{Effect: policy.Unsafe}, ""},
		{"/alert", "subject=x", "b", memory.Terms{Tenant: "b"}, ""},
		{"/alert", "%zz", "", memory.Terms{}, ""},
		{"/order", "", "", memory.Terms{Effect: policy.Keyed, RepeatWindow: time.Second, ZoneOnly: true}, ""},
		{"/posting", "subject=a&subject=b", "", memory.Terms{}, "subject"},
		{"/posting", "subject=%zz", "", memory.Terms{}, "subject"},
		{"/posting", "subject=" + strings.Repeat("x", maxIDBytes+1), "", memory.Terms{}, "subject"},
		{"/alert", "", "two words", memory.Terms{}, "X-Account"},
		{"/unheard-of", "", "", memory.Terms{}, "class"},
	} {
		m, _, err := f.parseMessage(head(c.account), c.path, c.query, nil)
		if c.bad != "" {
			if err == nil || !strings.Contains(err.Error(), c.bad) {
				t.Errorf("%s?%s of %q: %v, want %s named", c.path, c.query, c.account, err, c.bad)
			}
		} else if err != nil || m.Terms != c.want {
			t.Errorf("%s?%s of %q: %+v, %v", c.path, c.query, c.account, m, err)
		}
	}
	set.Tenants = nil // then the field is none of ours, whatever it holds
	f.Configure(set, 10)
	if m, _, err := f.parseMessage(head("two words"), "/alert", "", nil); err != nil || m.Tenant != "" {
		t.Errorf("without tenants: %+v, %v", m, err)
	}
}

// Messages of one subject go one at a time, in the order in which they were taken on. Guards against a relay that does not read the subject
// (the wide variant: 128 breaks of the rule on order in a day).
func TestOneSubjectOneAtATime(t *testing.T) {
	calls, goOn := make(chan string, 9), make(chan struct{})
	w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		calls <- r.Header.Get("X-Correlation-Id")
		<-goOn
		answerOK(rw, r, body)
	})
	t.Cleanup(func() { close(goOn) })
	w.host.Do(func(h *Host) {
		s := h.settings
		s.Classes = append([]policy.Class(nil), s.Classes...)
		for i := range s.Classes {
			s.Classes[i].Ordered = true
		}
		if err := h.relay.Reconfigure(s); err != nil {
			t.Error(err)
		}
		h.settings = s
		w.server.Configure(&s, 100)
	})
	for i := range 3 {
		if status := w.post(strings.Replace(requestText("fee", fmt.Sprint("m", i), "", "x", 20_000), "/fee", "/fee?subject=s", 1)); status != 202 {
			t.Fatalf("answered %d", status)
		}
	}
	for i := range 3 {
		if got := <-calls; got != fmt.Sprint("m", i) {
			t.Fatalf("call %d is of %s", i, got)
		}
		w.host.Do(func(*Host) {}) // whatever else would go out has gone by now
		if len(calls) > 0 {
			t.Fatalf("beside m%d goes %s", i, <-calls)
		}
		goOn <- struct{}{}
	}
	w.waitEmpty()
}

// What a restart finds of a class that the settings have lost is ended with an honest answer: handed back where it never ran, given up where it may have.
func TestClassLostOverARestart(t *testing.T) {
	h := newTestHost(t)
	for _, c := range []struct {
		risk time.Time
		want bool
	}{{time.Time{}, true}, {time.Now(), false}} {
		m := h.addMessage("m"+fmt.Sprint(c.want), 7, 1)
		m.Class, m.MayHaveRunSince, m.Effect = "gone", c.risk, policy.Unsafe
		if h.resume(m, time.Now()) || m.Notification == nil || m.Notification.Returned != c.want {
			t.Errorf("risk %v: ended by %+v, want handed back %v", c.risk, m.Notification, c.want)
		}
	}
}

// The answers to two hand-ins of one subject may overtake one another on their way back to the host; the module hears of them in the order
// in which they were taken on, also where one of the clients has gone.
func TestAnswersOvertakeNoSubject(t *testing.T) {
	for _, told := range []bool{true, false} {
		h := newTestHost(t)
		var msgs []*memory.Message
		for i, subject := range []string{"s", "other", "s", ""} {
			m := &memory.Message{ID: fmt.Sprint("m", i), Class: "fee", Dest: 7, Deadline: time.Now().Add(time.Minute)}
			m.OrderingKey = subject
			h.handleEvent(submitRequest{m, make(chan submitResult, 1)})
			msgs = append(msgs, m)
		}
		h.commit()
		heard := func(want ...string) {
			t.Helper()
			var got []string
			for _, m := range h.arrivals {
				got = append(got, m.ID)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("the module hears of %v, want %v", got, want)
			}
		}
		h.handleEvent(submitAnswered{msgs[2].Number, true})
		heard()
		h.handleEvent(submitAnswered{msgs[3].Number, true})
		h.handleEvent(submitAnswered{msgs[1].Number, true})
		heard("m3", "m1")
		if h.handleEvent(submitAnswered{msgs[0].Number, told}); told {
			heard("m3", "m1", "m0", "m2")
		} else {
			heard("m3", "m1", "m2")
		}
		if len(h.orderedQueues) > 0 {
			t.Errorf("%d subjects are still kept", len(h.orderedQueues))
		}
	}
}

// Two relays in one process, whose settings share their names and nothing else: each goes by its own, from effect and hold to what it refuses.
func TestNamesAreOnesOwn(t *testing.T) {
	cut := func(rw http.ResponseWriter, r *http.Request, body string) {
		panic(http.ErrAbortHandler) // the call has come whole: it may have run
	}
	a, b := startEnv(t, cut), startEnv(t, cut)
	configure := func(w *testEnv, change func(*policy.Settings)) {
		s := testSettings()
		change(&s)
		w.host.Do(func(h *Host) {
			if err := h.relay.Reconfigure(s); err != nil {
				t.Error(err)
			}
			h.settings = s
			h.indexSettings(s)
		})
		w.server.Configure(&s, 100)
	}
	configure(a, func(s *policy.Settings) {
		s.Classes = []policy.Class{{Name: "fee", Effect: policy.Safe, TargetLatency: time.Second, Deadline: 10 * time.Second, Value: 1}}
		s.MaxAttempts = 2
	})
	configure(b, func(s *policy.Settings) {
		s.Classes = []policy.Class{{Name: "fee", Effect: policy.Unsafe, TargetLatency: time.Second, Deadline: 10 * time.Second, Value: 1},
			{Name: "alert", Effect: policy.Keyed, RepeatWindow: time.Second, TargetLatency: time.Second, Deadline: 2 * time.Second, Value: 1}}
		s.MaxPending = 1
	})
	for w, calls := range map[*testEnv]int{a: 2, b: 1} {
		if status := w.post(requestText("fee", "m", "", "x", 9000)); status != 202 {
			t.Fatalf("answered %d", status)
		}
		w.waitUntil("the end", func() bool { return len(w.notifications) == 1 })
		w.Lock()
		if len(w.calls) != calls {
			t.Errorf("%d calls, want %d", len(w.calls), calls)
		}
		w.Unlock()
	}
	for _, c := range []struct {
		w      *testEnv
		req    string
		status int
	}{
		{a, requestText("alert", "n", "", "x", 1000), 400}, {b, requestText("alert", "n", "", "x", 1000), 400}, // of no class; of one that wants a key
		{b, requestText("alert", "o", "Idempotency-Key: k\r\n", "x", 5000), 400}, {a, requestText("fee", "o", "", "x", 15_000), 202},
	} {
		if status := c.w.post(c.req); status != c.status {
			t.Errorf("%q: answered %d, want %d", c.req[:12], status, c.status)
		}
	}
	full := 0
	b.host.Do(func(h *Host) { h.stepsBlockedUntil = h.now() + time.Hour })
	for i := range 3 {
		if b.post(requestText("fee", fmt.Sprint("f", i), "", "x", 9000)) == 503 {
			full++
		}
	}
	if full != 2 {
		t.Errorf("a hold of one turns %d of three away", full)
	}
}

// A wait that a route of its own told binds it also when it leaves the list and comes back; another in its place is free, and so is the same one
// once the wait is over.
func TestRouteKeepsItsWait(t *testing.T) {
	h := newTestHost(t)
	h.kindSettings["apart"] = policy.Kind{Name: "apart", SeparateRoutes: true}
	tell := func(id string, state policy.EndpointState) {
		h.applyEndpointList(memory.EndpointList{Generation: 2, Entries: []memory.EndpointEntry{{HostPort: "127.0.0.1:1",
			Endpoint: policy.Endpoint{Address: id, Destination: 8, Kind: "apart", State: state}}}}, policy.ListChanges)
	}
	tell("r1", policy.Listed)
	h.endpoints["r1"].backoff.extend(time.Hour)
	tell("r1", policy.Removed)
	tell("r2", policy.Listed)
	tell("r1", policy.Listed)
	if !h.endpoints["r1"].backoff.active() || h.endpoints["r2"].backoff.active() {
		t.Errorf("closed: r1 %v, r2 %v", h.endpoints["r1"].backoff.active(), h.endpoints["r2"].backoff.active())
	}
	h.endpoints["r1"].backoff.until.Store(0)
	tell("r1", policy.Removed)
	if len(h.removedRouteBackoffs) > 0 {
		t.Errorf("%d waits are kept that are over", len(h.removedRouteBackoffs))
	}
}
