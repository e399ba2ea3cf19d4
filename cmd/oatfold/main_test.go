package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http" // independent of the program, which has its own parsers
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program itself if the environment says so: the tests restart real processes.
func TestMain(m *testing.M) {
	if os.Getenv("OATFOLD_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testEnv is the environment of the relay: discovery and one endpoint.
type testEnv struct {
	sync.Mutex
	t             *testing.T
	state         string
	listen        string
	config        string
	agent         *httptest.Server
	endpoint      *httptest.Server
	blocked       chan struct{}     // while it is open, the endpoint does not reply
	calls         map[string]int    // by message id
	keys          map[string]string // idempotency keys by message id
	notices       []string
	notifyDelay   time.Duration // the agent's delay for a notification, which it drops if the sender disconnects
	listRequests  int           // requests for the whole list
	watchRequests int           // requests for changes
	relayLog      io.Writer     // nil: the output of the test
}

// newTestEnv starts the discovery agent and the endpoint, which does not reply until release.
func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{
		t: t, state: t.TempDir(), blocked: make(chan struct{}), calls: map[string]int{}, keys: map[string]string{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.listen = ln.Addr().String()
	ln.Close()
	e.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		e.Lock()
		id := r.Header.Get("X-Correlation-Id")
		e.calls[id]++
		e.keys[id] = r.Header.Get("Idempotency-Key")
		blocked := e.blocked
		e.Unlock()
		<-blocked
	}))
	e.config = filepath.Join(t.TempDir(), "config.json")
	e.agent = e.startAgent(nil)
	e.configure(e.agent.Listener.Addr().String())
	t.Cleanup(func() {
		e.release()
		e.endpoint.CloseClientConnections()
		e.endpoint.Close()
	})
	return e
}

// configure writes the configuration file with that discovery address.
func (e *testEnv) configure(discovery string) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "internal", "daemon", "config", "testdata", "config.json"))
	if err == nil {
		err = os.WriteFile(e.config, []byte(strings.Replace(string(raw), "{",
			fmt.Sprintf("{%q:%q,", "discovery", discovery), 1)), 0o600)
	}
	if err != nil {
		e.t.Fatal(err)
	}
}

// startAgent starts a discovery agent that lists one endpoint, and a destination 99 that accepts
// nothing new. It listens on ln if that is not nil.
func (e *testEnv) startAgent(ln net.Listener) *httptest.Server {
	end := make(chan struct{})
	agent := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if r.Method == "POST" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(e.notifyDelay):
			}
			e.Lock()
			e.notices = append(e.notices, strings.Fields(string(b))...)
			e.Unlock()
			w.WriteHeader(204)
		} else if r.URL.Query().Has("from") {
			e.Lock()
			e.watchRequests++
			e.Unlock()
			<-end
		} else {
			e.Lock()
			e.listRequests++
			e.Unlock()
			fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"porto-dc1",
				"machineType":"small-partner","cell":7,"lifecycle":"in_service","weight":1,"startedAtMs":0},
				{"instanceId":"s-99","hostPort":"127.0.0.1:1","machineType":"small-partner","cell":99,"lifecycle":"terminating"}]}`, e.endpoint.Listener.Addr())
		}
	}))
	if ln != nil {
		agent.Listener.Close()
		agent.Listener = ln
	}
	agent.Start()
	e.t.Cleanup(func() {
		close(end)
		agent.CloseClientConnections()
		agent.Close()
	})
	return agent
}

// release lets the endpoint reply from now on.
func (e *testEnv) release() {
	e.Lock()
	defer e.Unlock()
	select {
	case <-e.blocked:
	default:
		close(e.blocked)
	}
}

// waitUntil waits until ok returns true, which it calls with the lock held. what names the
// condition in the error.
func (e *testEnv) waitUntil(what string, ok func() bool) {
	e.t.Helper()
	for range 20_000 { // bounds the wait if the test fails
		e.Lock()
		done := ok()
		e.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	e.t.Fatalf("timed out waiting for %s: calls %v, notifications %v", what, e.calls, e.notices)
}

// start runs the relay and waits until it is ready.
func (e *testEnv) start() *exec.Cmd {
	e.t.Helper()
	cmd := e.startProcess()
	e.waitUntil("the relay to be ready", func() bool {
		return e.send("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n") == "200"
	})
	return cmd
}

// startProcess runs the relay and waits for nothing.
func (e *testEnv) startProcess() *exec.Cmd {
	e.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OATFOLD_AS_PROGRAM=1", "ROUTER_LISTEN="+e.listen, "ROUTER_STATE="+e.state,
		"ROUTER_DISCOVERY=127.0.0.1:1", "ROUTER_CONFIG="+e.config) // the file takes precedence
	if cmd.Stderr = e.t.Output(); e.relayLog != nil {
		cmd.Stderr = e.relayLog
	}
	if err := cmd.Start(); err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { cmd.Process.Kill() })
	return cmd
}

// send sends one request on a new connection and returns the status.
func (e *testEnv) send(request string) string {
	c, err := net.Dial("tcp", e.listen)
	if err != nil {
		return ""
	}
	defer c.Close()
	return sendOn(c, request)
}

// sendOn sends one request on c and returns the status, or the error.
func sendOn(c net.Conn, request string) string {
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, request)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(res.StatusCode)
}

// messageRequest returns the request that submits a message with left milliseconds of its time
// left.
func messageRequest(class, id, dest string, left int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nIdempotency-Key: key-%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%s\r\nContent-Length: 2\r\n\r\nhi",
		class, id, id, left, dest)
}

// submit sends requests that have to be accepted.
func (e *testEnv) submit(requests ...string) {
	e.t.Helper()
	for _, r := range requests {
		if got := e.send(r); got != "202" {
			e.t.Fatalf("answered %s", got)
		}
	}
}

// notified reports whether the platform was notified of that outcome of a message; "" is any
// outcome.
func (e *testEnv) notified(id, outcome string) bool {
	return slices.ContainsFunc(e.notices, func(n string) bool {
		return strings.Contains(n, `"`+id+`"`) && strings.Contains(n, outcome)
	})
}

// After SIGKILL: a message that was in flight and must not be repeated is given up, one that may be
// repeated is sent again with its key, an expired one is notified, and none is lost.
func TestMessagesSurviveKill(t *testing.T) {
	env := newTestEnv(t)
	cmd := env.start()
	env.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "order", "7", 19000))
	env.waitUntil("both calls", func() bool { return env.calls["fee"] == 1 && env.calls["order"] == 1 })
	env.submit(messageRequest("fee-charge", "nowhere", "99", 19000), messageRequest("price-alert", "late", "99", 1500))
	cmd.Process.Kill()
	cmd.Wait()
	env.release()
	time.Sleep(1600 * time.Millisecond) // "late" expires while the relay is down
	env.start()
	env.waitUntil("all but one to complete", func() bool {
		return env.calls["order"] == 2 && env.notified("fee", "given_up") && env.notified("late", "")
	})
	if env.calls["fee"] != 1 || env.keys["order"] != "key-order" || env.notified("order", "") ||
		env.notified("nowhere", "") {
		t.Errorf("calls %v, keys %v, notifications %v", env.calls, env.keys, env.notices)
	}
}

// After SIGTERM: connections are served for a short time, the call in flight is completed, the rest
// is left for the next start, and the exit code is 0.
func TestPlannedStop(t *testing.T) {
	env := newTestEnv(t)
	cmd := env.start()
	conn, err := net.Dial("tcp", env.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	env.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("price-alert", "nowhere", "99", 6000))
	env.waitUntil("the call", func() bool { return env.calls["fee"] == 1 })
	cmd.Process.Signal(syscall.SIGTERM)
	if got := sendOn(conn, messageRequest("fee-charge", "more", "7", 19000)); got != "202" {
		t.Errorf("after SIGTERM an open connection was answered %s", got)
	}
	env.release()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	if env.calls["fee"] != 1 || env.notified("fee", "") {
		t.Errorf("calls %v, notifications %v", env.calls, env.notices)
	}
	env.start()
	env.waitUntil("the rest to complete", func() bool {
		return env.calls["more"] == 1 && env.notified("nowhere", "handed_back")
	})
	if env.calls["fee"] != 1 || env.notified("fee", "") || env.notified("more", "") {
		t.Errorf("calls %v, notifications %v", env.calls, env.notices)
	}
}

// After SIGHUP the relay continues with the new discovery address and all pending messages; an
// invalid file changes nothing; SIGTERM soon after is a planned stop like any other.
func TestReload(t *testing.T) {
	env := newTestEnv(t)
	cmd := env.start()
	env.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "held", "99", 2500))
	env.waitUntil("the call", func() bool { return env.calls["fee"] == 1 })
	if err := os.WriteFile(env.config, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	env.submit(messageRequest("order-relay", "more", "99", 2500))
	next := env.startAgent(nil)
	env.configure(next.Listener.Addr().String())
	asked := env.listRequests
	cmd.Process.Signal(syscall.SIGHUP)
	env.waitUntil("a request at the new address", func() bool { return env.listRequests > asked })
	env.agent.CloseClientConnections()
	env.agent.Listener.Close()
	env.waitUntil("notifications at the new address", func() bool {
		return env.notified("held", "handed_back") && env.notified("more", "handed_back")
	})
	cmd.Process.Signal(syscall.SIGTERM)
	env.release()
	if err := cmd.Wait(); err != nil || env.calls["fee"] != 1 || env.notified("fee", "") {
		t.Errorf("exit %v, calls %v, notifications %v", err, env.calls, env.notices)
	}
}

// An invalid configuration ends the start with one line that names the key.
func TestConfigurationErrorNamesTheKey(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OATFOLD_AS_PROGRAM=1", "ROUTER_STATE=/nonexistent")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "ROUTER_STATE") || strings.Count(string(out), "\n") != 1 {
		t.Errorf("%v: %s", err, out)
	}
}

// The relay is killed repeatedly while messages arrive and the configuration is reloaded: each
// message answered with 202 completes, and no charge is sent twice.
func TestKilledAtAnyMoment(t *testing.T) {
	env := newTestEnv(t)
	env.release()
	var accepted []string
	for round := range 6 {
		cmd := env.start()
		done := make(chan struct{})
		kill := sync.OnceFunc(func() {
			go func() {
				cmd.Process.Kill()
				cmd.Wait()
				close(done)
			}()
		})
		for n, alive := 0, true; alive; n++ {
			id := fmt.Sprintf("m%d-%d", round, n)
			if env.send(messageRequest([]string{"fee-charge", "order-relay", "price-alert"}[n%3], id, "7", 19000)) == "202" {
				accepted = append(accepted, id)
			}
			if n == 2*round {
				cmd.Process.Signal(syscall.SIGHUP)
			}
			if n >= 5*round { // continues until the kill takes effect
				kill()
			}
			select {
			case <-done:
				alive = false
			default:
			}
		}
	}
	env.start()
	env.waitUntil("all accepted messages to complete", func() bool {
		return !slices.ContainsFunc(accepted, func(id string) bool { return env.calls[id] == 0 && !env.notified(id, "") })
	})
	for _, id := range accepted {
		var n int
		fmt.Sscanf(id[strings.Index(id, "-")+1:], "%d", &n)
		if n%3 == 0 && env.calls[id] > 1 {
			t.Errorf("charge %s was sent %d times", id, env.calls[id])
		}
	}
	if len(accepted) < 6 {
		t.Errorf("only %d accepted", len(accepted))
	}
}
