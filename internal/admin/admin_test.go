package admin

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testRelay is an admin server that records the requests to drain.
type testRelay struct {
	ln         net.Listener
	serving    atomic.Bool
	drainCalls atomic.Int64
	drained    atomic.Bool
}

func startTestRelay(t *testing.T) *testRelay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testRelay{ln: ln}
	r.serving.Store(true)
	s := Serve(ln, Handlers{Log: slog.New(slog.DiscardHandler), Serving: r.serving.Load,
		Stats:       func(b []byte) []byte { return append(b, "figure 1\n"...) },
		SetDraining: func(on bool) bool { r.drainCalls.Add(1); r.drained.Store(on); return r.serving.Load() }})
	t.Cleanup(func() { s.Close() })
	return r
}

// call sends raw bytes and returns the whole response.
func (r *testRelay) call(t *testing.T, raw string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second)) // bounds a hang; nothing is measured
	io.WriteString(c, raw)
	b, _ := io.ReadAll(bufio.NewReader(c))
	return string(b)
}

// Valid requests are answered and change the drain state; a process that can't serve answers 503.
func TestRequests(t *testing.T) {
	r := startTestRelay(t)
	for _, c := range []struct {
		raw, want string
		drained   bool
	}{
		{"GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n", "200", false},
		{"PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "200", true},
		{"PUT /healthcheck/fail HTTP/1.1\r\n\r\n", "200", true},
		{"GET /stats HTTP/1.1\r\n\r\n", "200", true},
		{"PUT /healthcheck/ok HTTP/1.1\r\n\r\n", "200", false},
	} {
		a := r.call(t, c.raw)
		if !strings.HasPrefix(a, "HTTP/1.1 "+c.want) || !strings.Contains(a, "Connection: close\r\n") ||
			r.drained.Load() != c.drained {
			t.Errorf("%q: drained %v, %q", c.raw, r.drained.Load(), a)
		}
	}
	if a := r.call(t, "GET /stats HTTP/1.1\r\n\r\n"); !strings.HasSuffix(a, "\r\n\r\nfigure 1\n") {
		t.Errorf("metrics: %q", a)
	}
	r.serving.Store(false)
	for _, raw := range []string{"GET /healthcheck HTTP/1.1\r\n\r\n", "PUT /healthcheck/fail HTTP/1.1\r\n\r\n",
		"PUT /healthcheck/ok HTTP/1.1\r\n\r\n"} {
		if a := r.call(t, raw); !strings.HasPrefix(a, "HTTP/1.1 503") {
			t.Errorf("not serving, %q: %q", raw, a)
		}
	}
}

// Invalid requests get the right status and change nothing.
func TestInvalidRequestsChangeNothing(t *testing.T) {
	r := startTestRelay(t)
	const fail = "PUT /healthcheck/fail HTTP/1.1\r\n"
	for raw, want := range map[string]string{
		"GET / HTTP/1.1\r\n\r\n":                                          "404",
		"PUT /healthcheck/failed HTTP/1.1\r\n\r\n":                        "404",
		"PUT /healthcheck/fail?x=1 HTTP/1.1\r\n\r\n":                      "404",
		"POST /healthcheck/fail HTTP/1.1\r\n\r\n":                         "405",
		"GET /healthcheck/fail HTTP/1.1\r\n\r\n":                          "405",
		"PUT /stats HTTP/1.1\r\n\r\n":                                     "405",
		fail + "Content-Length: 2\r\n\r\nno":                              "400",
		fail + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n":              "400",
		fail + "Content-Length: -1\r\n\r\n":                               "400",
		fail + "\r\n" + fail + "\r\n":                                     "400",
		fail + strings.Repeat("X: "+strings.Repeat("y", 4000)+"\r\n", 10): "400",
		"PUT /healthcheck/fail HTTP/2.0\r\n\r\n":                          "400",
		"nonsense\r\n\r\n":                                                "400",
	} {
		if a := r.call(t, raw); !strings.HasPrefix(a, "HTTP/1.1 "+want) {
			t.Errorf("%.40q: %q, want %s", raw, a, want)
		}
	}
	if n := r.drainCalls.Load(); n != 0 {
		t.Errorf("%d invalid requests changed the drain state", n)
	}
}

// A thousand clients that send nothing, or half a request, don't block the address.
func TestSilentClientsAreEvicted(t *testing.T) {
	r := startTestRelay(t)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := range 1000 {
		c, err := net.Dial("tcp", r.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if open = append(open, c); i%2 == 0 {
			fmt.Fprint(c, "PUT /healthcheck/fa")
		}
	}
	for range 3 {
		if a := r.call(t, "GET /stats HTTP/1.1\r\n\r\n"); !strings.HasPrefix(a, "HTTP/1.1 200") {
			t.Fatalf("with silent clients: %q", a)
		}
	}
	if n := r.drainCalls.Load(); n != 0 {
		t.Errorf("%d incomplete requests changed the drain state", n)
	}
}

// GET /members returns JSON, or 404 if membership is off.
func TestMembers(t *testing.T) {
	const get = "GET /members HTTP/1.1\r\n\r\n"
	if got := startTestRelay(t).call(t, get); !strings.Contains(got, " 404 ") ||
		!strings.Contains(got, "membership is off") {
		t.Errorf("%q", got)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(ln, Handlers{Log: slog.New(slog.DiscardHandler), Members: func() []byte { return []byte(`{"self":3}`) }})
	t.Cleanup(func() { s.Close() })
	r := &testRelay{ln: ln}
	if got := r.call(t, get); !strings.Contains(got, " 200 ") || !strings.Contains(got, "application/json") ||
		!strings.HasSuffix(got, `{"self":3}`) {
		t.Errorf("%q", got)
	}
	if got := r.call(t, "GET /choices HTTP/1.1\r\n\r\n"); !strings.Contains(got, " 404 ") ||
		!strings.Contains(got, "no choices are shared") {
		t.Errorf("choices: %s", got)
	}
	if got := r.call(t, "PUT /members HTTP/1.1\r\n\r\n"); !strings.Contains(got, " 405 ") {
		t.Errorf("%q", got)
	}
}

// GET /sites returns JSON if there is a plan. Commands for a site are forwarded, or rejected with
// the right status.
func TestSites(t *testing.T) {
	if got := startTestRelay(t).call(t, "PUT /sites/porto/out HTTP/1.1\r\n\r\n"); !strings.Contains(got, " 404 ") ||
		!strings.Contains(got, "no plan") {
		t.Errorf("without a plan: %q", got)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var actions []string
	capacity := true
	s := Serve(ln, Handlers{Log: slog.New(slog.DiscardHandler),
		Sites: func() []byte { return []byte(`{"home":"braga"}`) }, SetSite: func(zone string, out bool) (bool, bool) {
			actions = append(actions, fmt.Sprint(zone, out))
			return zone == "porto", capacity
		}})
	t.Cleanup(func() { s.Close() })
	r := &testRelay{ln: ln}
	for _, c := range []struct{ call, want string }{{"GET /sites", " 200 "}, {"PUT /sites", " 405 "},
		{"PUT /sites/porto/out", " 200 "}, {"PUT /sites/porto/in", " 200 "}, {"PUT /sites/lisboa/out", " 404 "},
		{"GET /sites/porto/out", " 405 "}, {"PUT /sites/porto/away", " 404 "}, {"PUT /sites//out",
			" 404 "}, {"PUT /sites/porto", " 404 "}} {
		if got := r.call(t, c.call+" HTTP/1.1\r\n\r\n"); !strings.Contains(got, c.want) {
			t.Errorf("%s: %q", c.call, got)
		}
	}
	if got := r.call(t, "PUT /sites/porto/out HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"); !strings.Contains(got,
		" 400 ") {
		t.Errorf("with a body: %q", got)
	}
	capacity = false
	if got := r.call(t, "PUT /sites/porto/out HTTP/1.1\r\n\r\n"); !strings.Contains(got, " 503 ") {
		t.Errorf("with a full queue: %q", got)
	}
	if got := strings.Join(actions, " "); got != "portotrue portofalse lisboatrue portotrue" {
		t.Error(got)
	}
}
