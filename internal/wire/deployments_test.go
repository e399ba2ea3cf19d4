package wire

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/daemon/config"
	"oatfold/internal/drain"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// loadDeployment returns the settings of one of two deployments that share no name: "alerts" has no tenants, "postings" has
// tenants, charges in order and routes apart.
func loadDeployment(t *testing.T, name string) policy.Settings {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "daemon", "config", "testdata", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	set, _, err := config.ParseSettings(gjson.GetBytes(raw, "settings").Raw)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// deploymentPairs is each deployment beside the other.
func deploymentPairs(t *testing.T) [2][2]policy.Settings {
	t.Helper()
	alerts, postings := loadDeployment(t, "alerts"), loadDeployment(t, "postings")
	return [2][2]policy.Settings{{alerts, postings}, {postings, alerts}}
}

// logBuffer is a log that the test reads.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) lines(with string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, with) {
			found = append(found, line)
		}
	}
	return found
}

func (l *logBuffer) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// requestAs is a whole hand-in of a class for a tenant; empty: it names none.
func requestAs(class, tenant, id string) string {
	more := "Idempotency-Key: k-" + id + "\r\n"
	if tenant != "" {
		more += "X-Account: " + tenant + "\r\n"
	}
	return requestText(class+"?subject="+url.QueryEscape("key "+id), id, more, "body", 480)
}

// A class or tenant of another deployment is refused with 400 and its name in the answer. The connection goes on, and what
// this deployment names is taken on over it. Where the settings name no tenants, X-Account is not read.
func TestNamesOfAnotherDeploymentAreRefused(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other := pair[0], pair[1]
		front, host, ln := startServer(t, 100, 10)
		front.Configure(&own, 10)
		front.HandleDrainEvent(drain.Started)
		sock, r := dialListener(t, ln)
		sent := 0
		ask := func(class, tenant string) (int, string) {
			t.Helper()
			sent++
			io.WriteString(sock, requestAs(class, tenant, fmt.Sprint("m", sent)))
			a, err := readResponseHead(r)
			if err == nil {
				err = a.readRemaining(r, maxBody)
			}
			if err != nil || !a.reusable {
				t.Fatalf("%s of %q: %+v, %v", class, tenant, a, err)
			}
			return a.status, string(a.body)
		}
		refused := func(class, tenant, name string) {
			t.Helper()
			if status, says := ask(class, tenant); status != 400 || !strings.Contains(says, fmt.Sprintf("%q", name)) {
				t.Errorf("%s of %q: answered %d, %q", class, tenant, status, says)
			}
		}
		accepted := 0
		takenOn := func(class, tenant string) {
			t.Helper()
			accepted++
			if status, says := ask(class, tenant); status != 202 {
				t.Errorf("%s of %q: answered %d, %q", class, tenant, status, says)
			}
		}
		for _, class := range other.Classes {
			refused(class.Name, "", class.Name)
		}
		for _, kind := range own.Kinds {
			refused(kind.Name, "", kind.Name) // a kind of partner is no class
		}
		for _, class := range own.Classes {
			for _, tenant := range other.Tenants {
				if len(own.Tenants) == 0 {
					takenOn(class.Name, tenant.Name)
				}
			}
			if len(own.Tenants) > 0 {
				refused(class.Name, "a-stranger", "a-stranger")
				refused(class.Name, own.Kinds[0].Name, own.Kinds[0].Name)
			}
			for _, tenant := range own.Tenants {
				takenOn(class.Name, tenant.Name)
			}
			takenOn(class.Name, "")
		}
		host.Lock()
		if host.accepted != accepted {
			t.Errorf("%d taken on, want %d", host.accepted, accepted)
		}
		host.Unlock()
	}
}

// A name that a client makes up is shown in parts, and quoted: it can't fill or forge a line of the log.
func TestUnknownNamesAreShownInParts(t *testing.T) {
	text := unknownNameError{"class", "a\nb" + strings.Repeat("x", readBufferSize)}.Error()
	if len(text) > 150 || strings.Contains(text, "\n") || !strings.Contains(text, `"a\nbxx`) {
		t.Errorf("%q", text)
	}
}

// newIdleHost is a host without its loop under these settings, with what the journal in dir holds.
func newIdleHost(t *testing.T, set policy.Settings, dir string, log *slog.Logger) *Host {
	t.Helper()
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kept.Close() })
	h, err := NewHost(HostConfig{Settings: set, Table: table, Journal: kept, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// listedEndpoint is an endpoint of destination 7 in the terms of a deployment.
func listedEndpoint(set policy.Settings) memory.EndpointEntry {
	return memory.EndpointEntry{HostPort: "127.0.0.1:1", Endpoint: policy.Endpoint{Address: "s-1", Destination: 7,
		Kind: set.Kinds[0].Name, Zone: set.Zones[0].Name, State: policy.Listed}}
}

// A list with kinds and zones of another deployment is named in the log, once, and its endpoints are used: one message in
// a call.
func TestKindsOfAnotherDeploymentAreNamedAndServed(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other, log := pair[0], pair[1], &logBuffer{}
		h := newIdleHost(t, own, t.TempDir(), log.logger())
		list := memory.EndpointList{Generation: 1, Complete: true, Entries: []memory.EndpointEntry{listedEndpoint(other)}}
		h.applyEndpointList(list, policy.ListSnapshot)
		h.applyEndpointList(list, policy.ListSnapshot)
		for key, name := range map[string]string{"kinds": other.Kinds[0].Name, "zones": other.Zones[0].Name} {
			lines := log.lines("pool config has " + key)
			if len(lines) != 1 || !strings.Contains(lines[0], name) {
				t.Errorf("%s: %q, want one line with %s", key, lines, name)
			}
		}
		for i := range 2 {
			m := &memory.Message{Number: h.table.NextNumber(), ID: fmt.Sprint("m", i), Class: own.Classes[0].Name, Dest: 7,
				Deadline: time.Now().Add(own.Classes[0].Deadline)}
			h.table.Add(m)
			h.arrivals = append(h.arrivals, m)
		}
		h.step(h.now())
		if len(h.uncommittedCalls) == 0 || len(h.unqueuedNotifications) > 0 {
			t.Errorf("%d calls, notices %v", len(h.uncommittedCalls), h.unqueuedNotifications)
		}
		for _, cl := range h.uncommittedCalls {
			if len(cl.items) != 1 {
				t.Errorf("%d messages in a call to a kind that is not in the settings", len(cl.items))
			}
		}
	}
}

// A restart under the settings of another deployment ends each message that the journal holds, once, by a notice, and
// names the class that is gone.
func TestRestartUnderAnotherDeploymentsSettings(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other, dir, log := pair[0], pair[1], t.TempDir(), &logBuffer{}
		kept, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
		if err != nil {
			t.Fatal(err)
		}
		for i, class := range own.Classes {
			m := &memory.Message{Number: table.NextNumber(), ID: fmt.Sprint("m", i), Class: class.Name, Dest: 7, Body: []byte("body"),
				Deadline: time.Now().Add(class.Deadline), Terms: memory.Terms{Effect: class.Effect, RepeatWindow: class.RepeatWindow}}
			if err := kept.AppendAccepted(table, m, false); err != nil {
				t.Fatal(err)
			}
		}
		if err, _ := kept.Commit(); err != nil {
			t.Fatal(err)
		}
		kept.Close()
		h := newIdleHost(t, other, dir, log.logger())
		h.applyEndpointList(memory.EndpointList{Generation: 1, Complete: true, Entries: []memory.EndpointEntry{listedEndpoint(other)}}, policy.ListSnapshot)
		h.step(h.now())
		if len(h.unqueuedNotifications) != len(own.Classes) || len(h.uncommittedCalls) > 0 {
			t.Errorf("%d notices and %d calls for %d messages", len(h.unqueuedNotifications), len(h.uncommittedCalls), len(own.Classes))
		}
		for _, class := range own.Classes {
			if lines := log.lines("class=" + class.Name); len(lines) != 1 {
				t.Errorf("%s is named in %q", class.Name, lines)
			}
		}
	}
}

// A reload to the settings of another deployment loses nothing of what is held: it goes out under the terms that it was
// taken on under, and each message ends once. New ones of the old classes are refused by name.
func TestReloadToAnotherDeploymentsSettings(t *testing.T) {
	release := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(release) })
	w := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; answerOK(rw, r, body) })
	t.Cleanup(goOn)
	old := testSettings().Classes
	for _, class := range old {
		more := "Idempotency-Key: k\r\n"
		if status := w.post(requestText(class.Name, class.Name, more, "b", int(class.Deadline.Milliseconds()))); status != 202 {
			t.Fatalf("%s: answered %d", class.Name, status)
		}
	}
	other := loadDeployment(t, "postings")
	if err := w.host.Reload(HostConfig{Settings: other, JournalBytes: 3e6, ConnectTimeout: time.Second, MaxIdleConns: 8}, w.platform.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	w.server.Configure(&other, 100)
	for _, class := range old {
		if status := w.post(requestAs(class.Name, "", "new-"+class.Name)); status != 400 {
			t.Errorf("%s: answered %d after the reload", class.Name, status)
		}
	}
	if status := w.post(requestText(other.Classes[1].Name+"?subject=s", "posting", "X-Account: reef-lab\r\n", "b", 19000)); status != 202 {
		t.Errorf("a class of the new settings: answered %d", status)
	}
	goOn()
	w.waitEmpty()
	w.Lock()
	defer w.Unlock()
	attempts, notices := map[string]int{}, map[string]int{}
	for _, id := range w.calls {
		attempts[id]++
	}
	for _, notice := range w.notifications {
		notices[gjson.Get(notice, "message").Str]++
	}
	for _, id := range []string{"alert", "order", "fee", "posting"} {
		unsafe := id == "fee" || id == "posting" // a slow machine may repeat the others, which is allowed
		if attempts[id] == 0 || notices[id] > 0 || unsafe && attempts[id] > 1 {
			t.Errorf("%s: calls %v, notices %v, want it delivered", id, w.calls, w.notifications)
		}
	}
}
