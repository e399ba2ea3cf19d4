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

// Tenant, ordering key, effect and window of a message are stored in the journal and reported to
// the policy engine after a restart.
func TestTermsSurviveRestart(t *testing.T) {
	dir, want := t.TempDir(), memory.Terms{Effect: policy.Keyed, RepeatWindow: 7 * time.Second, ZoneOnly: true,
		Tenant: "north", OrderingKey: "a/b"}
	j, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 1 << 20, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	for i, terms := range []memory.Terms{want, {}, {Effect: policy.Unsafe}} {
		m := &memory.Message{Number: table.NextNumber(), ID: fmt.Sprint("m", i), Class: "fee",
			Deadline: time.Now().Add(time.Minute), Terms: terms}
		if err := j.AppendAccepted(table, m, false); err != nil {
			t.Fatal(err)
		}
	}
	transferred, _, err := journal.DecodeTransfer(journal.EncodeTransfer([]*memory.Message{table.ByID("m0"),
		table.ByID("m1")}, nil, clock.Scale{}), clock.Scale{})
	if err != nil || len(transferred) != 2 || transferred[0].Terms != want || transferred[1].Terms != (memory.Terms{}) {
		t.Errorf("transferred to another process: %+v, %v", transferred, err)
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
			t.Fatalf("m%d is recovered as %+v", i, m)
		}
	}
	a := submittedEvent(table.ByID("m0"), time.Now())
	if a.Tenant != "north" || a.Key != "a/b" || a.Terms.Effect != policy.Keyed ||
		a.Terms.RepeatWindow != want.RepeatWindow || !a.Terms.ZoneOnly || !a.Recovered {
		t.Errorf("the policy engine receives %+v", a)
	}
}

// Tenant and ordering key are parsed for the classes that have them; an error names the malformed
// field.
func TestParseTenantAndOrderingKey(t *testing.T) {
	set := &policy.Settings{Classes: []policy.Class{
		{Name: "posting", Effect: policy.Unsafe, Ordered: true, Deadline: time.Minute},
		{Name: "alert", Deadline: time.Minute},
		{Name: "order", Effect: policy.Keyed, RepeatWindow: time.Second, ZoneOnly: true, Deadline: time.Minute},
	}, Tenants: []policy.Tenant{{Name: "north"}, {Name: "b"}}}
	server := NewServer(listenLoopback(t), set, 10, nil, discardLog)
	head := func(account string) *head {
		return &head{fields: []field{{"X-Correlation-Id", "i"}, {"X-Time-Left-Ms", "1000"}, {"Envelope", "dest=1"},
			{"Idempotency-Key", "k"}, {"X-Account", account}}}
	}
	for _, c := range []struct {
		path, query, account string
		want                 memory.Terms
		bad                  string
	}{
		{"/posting", "subject=a%2Fb", "north",
			memory.Terms{Effect: policy.Unsafe, Tenant: "north", OrderingKey: "a/b"}, ""},
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
		m, _, err := server.parseMessage(head(c.account), c.path, c.query, nil)
		if c.bad != "" {
			if err == nil || !strings.Contains(err.Error(), c.bad) {
				t.Errorf("%s?%s of %q: %v, want %s named", c.path, c.query, c.account, err, c.bad)
			}
		} else if err != nil || m.Terms != c.want {
			t.Errorf("%s?%s of %q: %+v, %v", c.path, c.query, c.account, m, err)
		}
	}
	set.Tenants = nil // the header then belongs to others, whatever it holds
	server.Configure(set, 10)
	if m, _, err := server.parseMessage(head("two words"), "/alert", "", nil); err != nil || m.Tenant != "" {
		t.Errorf("without tenants: %+v, %v", m, err)
	}
}

// Messages of one ordering key are sent one at a time, in order of acceptance.
func TestOrderedMessagesSentOneByOne(t *testing.T) {
	calls, resume := make(chan string, 9), make(chan struct{})
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) {
		calls <- r.Header.Get("X-Correlation-Id")
		<-resume
		answerOK(rw, r, body)
	})
	t.Cleanup(func() { close(resume) })
	env.host.Do(func(h *Host) {
		s := h.settings
		s.Classes = append([]policy.Class(nil), s.Classes...)
		for i := range s.Classes {
			s.Classes[i].Ordered = true
		}
		if err := h.relay.Reconfigure(s); err != nil {
			t.Error(err)
		}
		h.settings = s
		env.server.Configure(&s, 100)
	})
	for i := range 3 {
		if status := env.post(strings.Replace(requestText("fee", fmt.Sprint("m", i), "", "x", 20_000), "/fee",
			"/fee?subject=s", 1)); status != 202 {
			t.Fatalf("answered %d", status)
		}
	}
	for i := range 3 {
		if got := <-calls; got != fmt.Sprint("m", i) {
			t.Fatalf("call %d is for %s", i, got)
		}
		env.host.Do(func(*Host) {}) // any other call has been made by now
		if len(calls) > 0 {
			t.Fatalf("while m%d is in flight, %s is sent", i, <-calls)
		}
		resume <- struct{}{}
	}
	env.waitEmpty()
}

// A recovered message of a removed class is returned to the client if it never ran, and given up if
// it may have.
func TestClassRemovedOverRestart(t *testing.T) {
	h := newTestHost(t)
	for _, c := range []struct {
		mayHaveRunSince time.Time
		want            bool
	}{{time.Time{}, true}, {time.Now(), false}} {
		m := h.addMessage("m"+fmt.Sprint(c.want), 7, 1)
		m.Class, m.MayHaveRunSince, m.Effect = "gone", c.mayHaveRunSince, policy.Unsafe
		if h.resume(m, time.Now()) || m.Notification == nil || m.Notification.Returned != c.want {
			t.Errorf("attempt at %v: completed by %+v, want returned to the client %v", c.mayHaveRunSince,
				m.Notification, c.want)
		}
	}
}

// Responses to two requests of one ordering key may finish in either order; the policy engine
// receives the messages in order of acceptance, also if a client is gone.
func TestResponsesKeepOrder(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		h := newTestHost(t)
		var msgs []*memory.Message
		for i, subject := range []string{"s", "other", "s", ""} {
			m := &memory.Message{ID: fmt.Sprint("m", i), Class: "fee", Dest: 7, Deadline: time.Now().Add(time.Minute)}
			m.OrderingKey = subject
			h.handleEvent(submitRequest{m, make(chan submitResult, 1)})
			msgs = append(msgs, m)
		}
		h.commit()
		expectArrivals := func(want ...string) {
			t.Helper()
			var got []string
			for _, m := range h.arrivals {
				got = append(got, m.ID)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("the policy engine receives %v, want %v", got, want)
			}
		}
		h.handleEvent(submitAnswered{msgs[2].Number, true})
		expectArrivals()
		h.handleEvent(submitAnswered{msgs[3].Number, true})
		h.handleEvent(submitAnswered{msgs[1].Number, true})
		expectArrivals("m3", "m1")
		if h.handleEvent(submitAnswered{msgs[0].Number, delivered}); delivered {
			expectArrivals("m3", "m1", "m0", "m2")
		} else {
			expectArrivals("m3", "m1", "m2")
		}
		if len(h.orderedQueues) > 0 {
			t.Errorf("%d ordering keys are still tracked", len(h.orderedQueues))
		}
	}
}

// Two relays in one process with the same names in their settings each apply their own.
func TestSettingsAreSeparate(t *testing.T) {
	cut := func(rw http.ResponseWriter, r *http.Request, body string) {
		panic(http.ErrAbortHandler) // the call was received, so it may have run
	}
	a, b := startEnv(t, cut), startEnv(t, cut)
	configure := func(env *testEnv, change func(*policy.Settings)) {
		s := testSettings()
		change(&s)
		env.host.Do(func(h *Host) {
			if err := h.relay.Reconfigure(s); err != nil {
				t.Error(err)
			}
			h.settings = s
			h.indexSettings(s)
		})
		env.server.Configure(&s, 100)
	}
	configure(a, func(s *policy.Settings) {
		s.Classes = []policy.Class{{Name: "fee", Effect: policy.Safe, TargetLatency: time.Second,
			Deadline: 10 * time.Second, Value: 1}}
		s.MaxAttempts = 2
	})
	configure(b, func(s *policy.Settings) {
		s.Classes = []policy.Class{{Name: "fee", Effect: policy.Unsafe, TargetLatency: time.Second,
			Deadline: 10 * time.Second, Value: 1},
			{Name: "alert", Effect: policy.Keyed, RepeatWindow: time.Second, TargetLatency: time.Second,
				Deadline: 2 * time.Second, Value: 1}}
		s.MaxPending = 1
	})
	for env, calls := range map[*testEnv]int{a: 2, b: 1} {
		if status := env.post(requestText("fee", "m", "", "x", 9000)); status != 202 {
			t.Fatalf("answered %d", status)
		}
		env.waitUntil("the completion", func() bool { return len(env.notifications) == 1 })
		env.Lock()
		if len(env.calls) != calls {
			t.Errorf("%d calls, want %d", len(env.calls), calls)
		}
		env.Unlock()
	}
	for _, c := range []struct {
		env    *testEnv
		req    string
		status int
	}{
		// unknown class; keyed without a key
		{a, requestText("alert", "n", "", "x", 1000), 400}, {b, requestText("alert", "n", "", "x", 1000), 400},
		{b, requestText("alert", "o", "Idempotency-Key: k\r\n", "x", 5000), 400},
		{a, requestText("fee", "o", "", "x", 15_000), 202},
	} {
		if status := c.env.post(c.req); status != c.status {
			t.Errorf("%q: answered %d, want %d", c.req[:12], status, c.status)
		}
	}
	rejected := 0
	b.host.Do(func(h *Host) { h.stepsBlockedUntil = h.now() + time.Hour })
	for i := range 3 {
		if b.post(requestText("fee", fmt.Sprint("f", i), "", "x", 9000)) == 503 {
			rejected++
		}
	}
	if rejected != 2 {
		t.Errorf("%d of three requests were rejected at a limit of one", rejected)
	}
}

// A Retry-After of a separate route stays in force when the endpoint leaves the list and returns,
// until it has passed; other endpoints are free.
func TestSeparateRouteKeepsRetryAfter(t *testing.T) {
	h := newTestHost(t)
	h.kindSettings["apart"] = policy.Kind{Name: "apart", SeparateRoutes: true}
	setState := func(id string, state policy.EndpointState) {
		h.applyEndpointList(memory.EndpointList{Generation: 2, Entries: []memory.EndpointEntry{{HostPort: "127.0.0.1:1",
			Endpoint: policy.Endpoint{Address: id, Destination: 8, Kind: "apart", State: state}}}}, policy.ListChanges)
	}
	setState("r1", policy.Listed)
	h.endpoints["r1"].backoff.extend(time.Hour)
	setState("r1", policy.Removed)
	setState("r2", policy.Listed)
	setState("r1", policy.Listed)
	if !h.endpoints["r1"].backoff.active() || h.endpoints["r2"].backoff.active() {
		t.Errorf("blocked: r1 %v, r2 %v", h.endpoints["r1"].backoff.active(), h.endpoints["r2"].backoff.active())
	}
	h.endpoints["r1"].backoff.until.Store(0)
	setState("r1", policy.Removed)
	if len(h.removedRouteBackoffs) > 0 {
		t.Errorf("%d expired Retry-After times are kept", len(h.removedRouteBackoffs))
	}
}
