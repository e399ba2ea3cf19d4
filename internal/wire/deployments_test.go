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

// loadDeployment returns the settings of one of two deployments that share no name: "alerts" has no
// tenants, "postings" has tenants, ordered charges and separate routes.
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

// deploymentPairs returns each deployment with the other one.
func deploymentPairs(t *testing.T) [2][2]policy.Settings {
	t.Helper()
	alerts, postings := loadDeployment(t, "alerts"), loadDeployment(t, "postings")
	return [2][2]policy.Settings{{alerts, postings}, {postings, alerts}}
}

// logBuffer collects log lines for a test.
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

// requestAs returns a client's request of a class for a tenant; empty: it names none.
func requestAs(class, tenant, id string) string {
	more := "Idempotency-Key: k-" + id + "\r\n"
	if tenant != "" {
		more += "X-Account: " + tenant + "\r\n"
	}
	return requestText(class+"?subject="+url.QueryEscape("key "+id), id, more, "body", 480)
}

// A class or tenant that the settings do not have is rejected with 400 and its name, and the
// connection goes on. Without tenants in the settings, X-Account is ignored.
func TestUnknownNamesAreRejected(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other := pair[0], pair[1]
		server, host, ln := startServer(t, 100, 10)
		server.Configure(&own, 10)
		server.HandleDrainEvent(drain.Started)
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
		reject := func(class, tenant, name string) {
			t.Helper()
			if status, text := ask(class, tenant); status != 400 || !strings.Contains(text, fmt.Sprintf("%q", name)) {
				t.Errorf("%s of %q: answered %d, %q", class, tenant, status, text)
			}
		}
		accepted := 0
		accept := func(class, tenant string) {
			t.Helper()
			accepted++
			if status, text := ask(class, tenant); status != 202 {
				t.Errorf("%s of %q: answered %d, %q", class, tenant, status, text)
			}
		}
		for _, class := range other.Classes {
			reject(class.Name, "", class.Name)
		}
		for _, kind := range own.Kinds {
			reject(kind.Name, "", kind.Name) // a partner type is no class
		}
		for _, class := range own.Classes {
			for _, tenant := range other.Tenants {
				if len(own.Tenants) == 0 {
					accept(class.Name, tenant.Name)
				}
			}
			if len(own.Tenants) > 0 {
				reject(class.Name, "a-stranger", "a-stranger")
				reject(class.Name, own.Kinds[0].Name, own.Kinds[0].Name)
			}
			for _, tenant := range own.Tenants {
				accept(class.Name, tenant.Name)
			}
			accept(class.Name, "")
		}
		host.Lock()
		if host.accepted != accepted {
			t.Errorf("%d accepted, want %d", host.accepted, accepted)
		}
		host.Unlock()
	}
}

// Unknown names are quoted and truncated, so that a client can neither fill the log nor forge a
// line of it.
func TestUnknownNamesAreTruncated(t *testing.T) {
	text := unknownNameError{"class", "a\nb" + strings.Repeat("x", readBufferSize)}.Error()
	if len(text) > 150 || strings.Contains(text, "\n") || !strings.Contains(text, `"a\nbxx`) {
		t.Errorf("%q", text)
	}
}

// newIdleHost returns a host with these settings and the journal in dir. Its event loop does not
// run.
func newIdleHost(t *testing.T, set policy.Settings, dir string, log *slog.Logger) *Host {
	t.Helper()
	store, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	h, err := NewHost(HostConfig{Settings: set, Table: table, Journal: store, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// listedEndpoint returns an endpoint of destination 7 with a partner type and a zone of a
// deployment.
func listedEndpoint(set policy.Settings) memory.EndpointEntry {
	return memory.EndpointEntry{HostPort: "127.0.0.1:1", Endpoint: policy.Endpoint{Address: "s-1", Destination: 7,
		Kind: set.Kinds[0].Name, Zone: set.Zones[0].Name, State: policy.Listed}}
}

// Unknown partner types and zones of a list are logged once. Their endpoints are used, with one
// message per call.
func TestUnknownKindsAreLoggedAndServed(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other, log := pair[0], pair[1], &logBuffer{}
		h := newIdleHost(t, own, t.TempDir(), log.logger())
		list := memory.EndpointList{Generation: 1, Complete: true,
			Entries: []memory.EndpointEntry{listedEndpoint(other)}}
		h.applyEndpointList(list, policy.ListSnapshot)
		h.applyEndpointList(list, policy.ListSnapshot)
		for key, name := range map[string]string{"kinds": other.Kinds[0].Name, "zones": other.Zones[0].Name} {
			lines := log.lines("endpoint list has " + key)
			if len(lines) != 1 || !strings.Contains(lines[0], name) {
				t.Errorf("%s: %q, want one line with %s", key, lines, name)
			}
		}
		for i := range 2 {
			m := &memory.Message{
				Number:   h.table.NextNumber(),
				ID:       fmt.Sprint("m", i),
				Class:    own.Classes[0].Name,
				Dest:     7,
				Deadline: time.Now().Add(own.Classes[0].Deadline),
			}
			h.table.Add(m)
			h.arrivals = append(h.arrivals, m)
		}
		h.step(h.now())
		if len(h.uncommittedCalls) == 0 || len(h.waitingNotifications) > 0 {
			t.Errorf("%d calls, notifications %v", len(h.uncommittedCalls), h.waitingNotifications)
		}
		for _, cl := range h.uncommittedCalls {
			if len(cl.items) != 1 {
				t.Errorf("%d messages in a call to an unknown partner type", len(cl.items))
			}
		}
	}
}

// After a restart with settings that lack its class, each recovered message completes once, by a
// notification, and the log names the class.
func TestRestartWithOtherSettings(t *testing.T) {
	for _, pair := range deploymentPairs(t) {
		own, other, dir, log := pair[0], pair[1], t.TempDir(), &logBuffer{}
		store, table, err := journal.Open(journal.Config{FS: journal.Dir(dir), Budget: 3e6, Log: discardLog})
		if err != nil {
			t.Fatal(err)
		}
		for i, class := range own.Classes {
			m := &memory.Message{
				Number:   table.NextNumber(),
				ID:       fmt.Sprint("m", i),
				Class:    class.Name,
				Dest:     7,
				Body:     []byte("body"),
				Deadline: time.Now().Add(class.Deadline),
				Terms:    memory.Terms{Effect: class.Effect, RepeatWindow: class.RepeatWindow},
			}
			if err := store.AppendAccepted(table, m, false); err != nil {
				t.Fatal(err)
			}
		}
		if err, _ := store.Commit(); err != nil {
			t.Fatal(err)
		}
		store.Close()
		h := newIdleHost(t, other, dir, log.logger())
		h.applyEndpointList(memory.EndpointList{Generation: 1, Complete: true,
			Entries: []memory.EndpointEntry{listedEndpoint(other)}}, policy.ListSnapshot)
		h.step(h.now())
		if len(h.waitingNotifications) != len(own.Classes) || len(h.uncommittedCalls) > 0 {
			t.Errorf("%d notifications and %d calls for %d messages", len(h.waitingNotifications),
				len(h.uncommittedCalls), len(own.Classes))
		}
		for _, class := range own.Classes {
			if lines := log.lines("class=" + class.Name); len(lines) != 1 {
				t.Errorf("class %s is logged in %q, want one line", class.Name, lines)
			}
		}
	}
}

// After a reload to other settings, pending messages are sent under the terms that they were
// accepted with, and each completes once. New messages of the old classes are rejected.
func TestReloadToOtherSettings(t *testing.T) {
	release := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(release) })
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request, body string) { <-release; answerOK(rw, r, body) })
	t.Cleanup(goOn)
	old := testSettings().Classes
	for _, class := range old {
		more := "Idempotency-Key: k\r\n"
		if status := env.post(requestText(class.Name, class.Name, more, "b",
			int(class.Deadline.Milliseconds()))); status != 202 {
			t.Fatalf("%s: answered %d", class.Name, status)
		}
	}
	other := loadDeployment(t, "postings")
	if err := env.host.Reload(HostConfig{Settings: other, ConnectTimeout: time.Second,
		MaxIdleConns: 8},
		env.platform.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	env.server.Configure(&other, 100)
	for _, class := range old {
		if status := env.post(requestAs(class.Name, "", "new-"+class.Name)); status != 400 {
			t.Errorf("%s: answered %d after the reload", class.Name, status)
		}
	}
	if status := env.post(requestText(other.Classes[1].Name+"?subject=s", "posting", "X-Account: reef-lab\r\n", "b",
		19000)); status != 202 {
		t.Errorf("a class of the new settings: answered %d", status)
	}
	goOn()
	env.waitEmpty()
	env.Lock()
	defer env.Unlock()
	attempts, notifications := map[string]int{}, map[string]int{}
	for _, id := range env.calls {
		attempts[id]++
	}
	for _, notification := range env.notifications {
		notifications[gjson.Get(notification, "message").Str]++
	}
	for _, id := range []string{"alert", "order", "fee", "posting"} {
		unsafe := id == "fee" || id == "posting" // a slow machine may repeat the others, which is allowed
		if attempts[id] == 0 || notifications[id] > 0 || unsafe && attempts[id] > 1 {
			t.Errorf("%s: calls %v, notifications %v, want it delivered", id, env.calls, env.notifications)
		}
	}
}
