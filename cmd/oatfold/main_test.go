package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http" // an independent peer for the tests; the program has its own parsers
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

// The test binary is the program when it is started so: the restarts here are those of real processes.
func TestMain(m *testing.M) {
	if os.Getenv("OATFOLD_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testEnv is what lies round the relay: discovery with one endpoint, which answers as told.
type testEnv struct {
	sync.Mutex
	t             *testing.T
	state         string
	listen        string
	config        string
	agent         *httptest.Server
	endpoint      *httptest.Server
	blocked       chan struct{}     // while it is open, the endpoint does not answer
	calls         map[string]int    // by message
	keys          map[string]string // idempotency keys seen
	notices       []string
	notifyDelay   time.Duration // that the agent takes for a notice, which it drops if its sender goes away meanwhile
	listRequests  int           // whole lists
	watchRequests int           // changes
	relayLog      io.Writer     // of the relay; nil: the test's
}

func newTestEnv(t *testing.T) *testEnv {
	s := &testEnv{t: t, state: t.TempDir(), blocked: make(chan struct{}), calls: map[string]int{}, keys: map[string]string{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listen = ln.Addr().String()
	ln.Close()
	s.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		s.Lock()
		id := r.Header.Get("X-Correlation-Id")
		s.calls[id]++
		s.keys[id] = r.Header.Get("Idempotency-Key")
		hold := s.blocked
		s.Unlock()
		<-hold
	}))
	s.config = filepath.Join(t.TempDir(), "config.json")
	s.agent = s.startAgent(nil)
	s.configure(s.agent.Listener.Addr().String())
	t.Cleanup(func() {
		s.release()
		s.endpoint.CloseClientConnections()
		s.endpoint.Close()
	})
	return s
}

// configure writes the configuration file with that address of discovery.
func (s *testEnv) configure(discovery string) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "internal", "daemon", "config", "testdata", "config.json"))
	if err == nil {
		err = os.WriteFile(s.config, []byte(strings.Replace(string(raw), "{", fmt.Sprintf("{%q:%q,", "discovery", discovery), 1)), 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// startAgent starts a discovery that knows one endpoint, and a destination 99 that takes nothing new; on ln, if that is not nil.
func (s *testEnv) startAgent(ln net.Listener) *httptest.Server {
	end := make(chan struct{})
	agent := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if r.Method == "POST" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(s.notifyDelay):
			}
			s.Lock()
			s.notices = append(s.notices, strings.Fields(string(b))...)
			s.Unlock()
			w.WriteHeader(204)
		} else if r.URL.Query().Has("from") {
			s.Lock()
			s.watchRequests++
			s.Unlock()
			<-end
		} else {
			s.Lock()
			s.listRequests++
			s.Unlock()
			fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"porto-dc1",
				"machineType":"small-partner","cell":7,"lifecycle":"in_service","weight":1,"startedAtMs":0},
				{"instanceId":"s-99","hostPort":"127.0.0.1:1","machineType":"small-partner","cell":99,"lifecycle":"terminating"}]}`, s.endpoint.Listener.Addr())
		}
	}))
	if ln != nil {
		agent.Listener.Close()
		agent.Listener = ln
	}
	agent.Start()
	s.t.Cleanup(func() {
		close(end)
		agent.CloseClientConnections()
		agent.Close()
	})
	return agent
}

// release lets the endpoint answer from now on.
func (s *testEnv) release() {
	s.Lock()
	defer s.Unlock()
	select {
	case <-s.blocked:
	default:
		close(s.blocked)
	}
}

func (s *testEnv) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for range 20_000 { // a bound for a hang, not a measure
		s.Lock()
		done := ok()
		s.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("waited in vain for %s: calls %v, notices %v", what, s.calls, s.notices)
}

// start runs the relay until it is ready.
func (s *testEnv) start() *exec.Cmd {
	s.t.Helper()
	cmd := s.startProcess()
	s.waitUntil("the relay to be ready", func() bool { return s.send("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n") == "200" })
	return cmd
}

// startProcess starts it, and waits for nothing.
func (s *testEnv) startProcess() *exec.Cmd {
	s.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OATFOLD_AS_PROGRAM=1", "ROUTER_LISTEN="+s.listen, "ROUTER_STATE="+s.state,
		"ROUTER_DISCOVERY=127.0.0.1:1", "ROUTER_CONFIG="+s.config) // the file goes first
	if cmd.Stderr = s.t.Output(); s.relayLog != nil {
		cmd.Stderr = s.relayLog
	}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { cmd.Process.Kill() })
	return cmd
}

// send sends one request on a new connection and returns the status.
func (s *testEnv) send(request string) string {
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		return ""
	}
	defer c.Close()
	return sendOn(c, request)
}

func sendOn(c net.Conn, request string) string {
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, request)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(res.StatusCode)
}

func messageRequest(class, id, dest string, left int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nIdempotency-Key: key-%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%s\r\nContent-Length: 2\r\n\r\nhi",
		class, id, id, left, dest)
}

func (s *testEnv) submit(requests ...string) {
	s.t.Helper()
	for _, r := range requests {
		if got := s.send(r); got != "202" {
			s.t.Fatalf("answered %s", got)
		}
	}
}

func (s *testEnv) notified(id, outcome string) bool {
	return slices.ContainsFunc(s.notices, func(n string) bool { return strings.Contains(n, `"`+id+`"`) && strings.Contains(n, outcome) })
}

// After SIGKILL: what was out and must not run twice is given up and never sent again; what may be repeated
// goes again under its key; what ran out of time meanwhile gets its notice; nothing is lost.
func TestKilled(t *testing.T) {
	s := newTestEnv(t)
	cmd := s.start()
	s.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "order", "7", 19000))
	s.waitUntil("both calls", func() bool { return s.calls["fee"] == 1 && s.calls["order"] == 1 })
	s.submit(messageRequest("fee-charge", "nowhere", "99", 19000), messageRequest("price-alert", "late", "99", 1500))
	cmd.Process.Kill()
	cmd.Wait()
	s.release()
	time.Sleep(1600 * time.Millisecond) // the time of "late" is up before the relay is back
	s.start()
	s.waitUntil("all ends but one", func() bool { return s.calls["order"] == 2 && s.notified("fee", "given_up") && s.notified("late", "") })
	if s.calls["fee"] != 1 || s.keys["order"] != "key-order" || s.notified("order", "") || s.notified("nowhere", "") {
		t.Errorf("calls %v, keys %v, notices %v", s.calls, s.keys, s.notices)
	}
}

// After SIGTERM: connections are served on for a moment, the call that is out is finished, the rest is left to the next start,
// the exit is clean.
func TestPlannedStop(t *testing.T) {
	s := newTestEnv(t)
	cmd := s.start()
	kept, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	s.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("price-alert", "nowhere", "99", 6000))
	s.waitUntil("the call", func() bool { return s.calls["fee"] == 1 })
	cmd.Process.Signal(syscall.SIGTERM)
	if got := sendOn(kept, messageRequest("fee-charge", "more", "7", 19000)); got != "202" {
		t.Errorf("after SIGTERM a kept connection was answered %s", got)
	}
	s.release()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	if s.calls["fee"] != 1 || s.notified("fee", "") {
		t.Errorf("calls %v, notices %v", s.calls, s.notices)
	}
	s.start()
	s.waitUntil("the rest to end", func() bool { return s.calls["more"] == 1 && s.notified("nowhere", "handed_back") })
	if s.calls["fee"] != 1 || s.notified("fee", "") || s.notified("more", "") {
		t.Errorf("calls %v, notices %v", s.calls, s.notices)
	}
}

// After SIGHUP the relay goes on at the new address of discovery, with all that it holds; a file that is wrong changes
// nothing; SIGTERM soon after is a planned stop as any.
func TestReload(t *testing.T) {
	s := newTestEnv(t)
	cmd := s.start()
	s.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "held", "99", 2500))
	s.waitUntil("the call", func() bool { return s.calls["fee"] == 1 })
	if err := os.WriteFile(s.config, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	s.submit(messageRequest("order-relay", "more", "99", 2500))
	next := s.startAgent(nil)
	s.configure(next.Listener.Addr().String())
	asked := s.listRequests
	cmd.Process.Signal(syscall.SIGHUP)
	s.waitUntil("the new address to be asked", func() bool { return s.listRequests > asked })
	s.agent.CloseClientConnections()
	s.agent.Listener.Close()
	s.waitUntil("notices at the new address", func() bool { return s.notified("held", "handed_back") && s.notified("more", "handed_back") })
	cmd.Process.Signal(syscall.SIGTERM)
	s.release()
	if err := cmd.Wait(); err != nil || s.calls["fee"] != 1 || s.notified("fee", "") {
		t.Errorf("exit %v, calls %v, notices %v", err, s.calls, s.notices)
	}
}

// What is told wrong ends the start with one line that names the key.
func TestConfigurationErrorNamesTheKey(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OATFOLD_AS_PROGRAM=1", "ROUTER_STATE=/nonexistent")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "ROUTER_STATE") || strings.Count(string(out), "\n") != 1 {
		t.Errorf("%v: %s", err, out)
	}
}

// Killed outright again and again while messages come in and the configuration is reloaded: each that was told 202 ends, and no charge is sent twice.
func TestKilledAtAnyMoment(t *testing.T) {
	s := newTestEnv(t)
	s.release()
	var taken []string
	for round := range 6 {
		cmd := s.start()
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
			if s.send(messageRequest([]string{"fee-charge", "order-relay", "price-alert"}[n%3], id, "7", 19000)) == "202" {
				taken = append(taken, id)
			}
			if n == 2*round {
				cmd.Process.Signal(syscall.SIGHUP)
			}
			if n >= 5*round { // and on, while the kill is on its way
				kill()
			}
			select {
			case <-done:
				alive = false
			default:
			}
		}
	}
	s.start()
	s.waitUntil("all that was taken to end", func() bool {
		return !slices.ContainsFunc(taken, func(id string) bool { return s.calls[id] == 0 && !s.notified(id, "") })
	})
	for _, id := range taken {
		var n int
		fmt.Sscanf(id[strings.Index(id, "-")+1:], "%d", &n)
		if n%3 == 0 && s.calls[id] > 1 {
			t.Errorf("charge %s was sent %d times", id, s.calls[id])
		}
	}
	if len(taken) < 6 {
		t.Errorf("only %d taken", len(taken))
	}
}
