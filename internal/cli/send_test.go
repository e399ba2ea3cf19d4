package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"oatfold/internal/testdouble"
)

// runJSON runs a command line with --json and returns its exit code and the printed objects.
func runJSON(t *testing.T, in string, args ...string) (int, []sendOutcome) {
	t.Helper()
	cmd := command("test", append(args, "--json"))
	var out bytes.Buffer
	cmd.SetIn(strings.NewReader(in))
	cmd.SetOut(&out)
	code := exitCode(cmd.Execute())
	var all []sendOutcome
	for d := json.NewDecoder(&out); d.More(); {
		var o sendOutcome
		if err := d.Decode(&o); err != nil {
			t.Fatalf("%v in %q", err, out.String())
		}
		all = append(all, o)
	}
	return code, all
}

func startProxy(t *testing.T, script func(n int, path string) testdouble.Fault) *testdouble.FaultProxy {
	t.Helper()
	w, err := testdouble.NewEnvironment(testdouble.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	g, err := w.StartFaultProxy("", script)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func answerFault(status int, after string) testdouble.Fault {
	f := testdouble.Fault{Kind: testdouble.Respond, Status: status, Header: map[string][]string{}}
	if after != "" {
		f.Header.Set("Retry-After", after)
	}
	return f
}

// For one message, send reports its result and attempts and returns the right exit code.
func TestSendOne(t *testing.T) {
	accepted, mute := answerFault(202, ""), testdouble.Fault{Kind: testdouble.IgnoreRequest}
	for _, c := range []struct {
		what    string
		effect  string
		script  []testdouble.Fault // the last one is repeated
		result  string
		handIns int
		code    int
	}{
		{"accepted", "unsafe", []testdouble.Fault{accepted}, "taken", 1, exitOK},
		{"rejected once", "unsafe", []testdouble.Fault{answerFault(503, "0.01"), accepted}, "taken", 2, exitOK},
		{"rejected", "safe", []testdouble.Fault{answerFault(429, "0.01")}, "refused", 3, exitRefused},
		{"Retry-After too long", "safe", []testdouble.Fault{answerFault(503, "5")}, "given_up", 1, exitGivenUp},
		{"status 400", "safe", []testdouble.Fault{answerFault(400, "")}, "failed", 1, exitFailed},
		{"no answer to a charge", "unsafe", []testdouble.Fault{mute, accepted}, "uncertain", 1, exitUncertain},
		{"no answer to an order", "keyed", []testdouble.Fault{mute, accepted}, "taken", 2, exitOK},
		{"no answer to an alert", "safe", []testdouble.Fault{mute, accepted}, "taken", 2, exitOK},
	} {
		g := startProxy(t, func(n int, _ string) testdouble.Fault { return c.script[min(n, len(c.script)-1)] })
		code, out := runJSON(t, "CLASS/1\nbody", "send", "--relay", g.Addr, "--class", "some-class", "--dest", "7",
			"--time-left", "1500ms",
			"--effect", c.effect, "--answer-timeout", "100ms")
		if code != c.code || len(out) != 1 || out[0].Result != c.result || out[0].HandIns != c.handIns ||
			len(g.Requests()) != c.handIns {
			t.Errorf("%s: exit %d, %+v, %d on the wire", c.what, code, out, len(g.Requests()))
		}
		if s := g.Requests()[0]; s.Path != "/some-class" || s.TimeLeft == "" || s.TimeLeft > "1500" {
			t.Errorf("%s: %+v", c.what, s)
		}
	}
	down, err := testdouble.ReserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	code, out := runJSON(t, "", "send", "--relay", down, "--class", "c", "--dest", "7", "--time-left", "300ms")
	if code != exitFailed || len(out) != 1 || out[0].Result != "failed" || out[0].HandIns != 0 {
		t.Errorf("no relay: exit %d, %+v", code, out)
	}
}

// For a file, each line has its result, an invalid line fails alone, and the worst result sets the
// exit code.
func TestSendFile(t *testing.T) {
	g := startProxy(t, func(_ int, path string) testdouble.Fault {
		if path == "/bad" {
			return answerFault(400, "")
		}
		return answerFault(202, "")
	})
	file := filepath.Join(t.TempDir(), "messages.jsonl")
	lines := `{"class":"a","dest":1,"body":"one","effect":"safe"}
{"dest":2,"body_base64":"dHdv","key":"k2","time_left_ms":900}

{"class":"a","dest":
{"class":"bad","dest":3}
{"class":"a"}
`
	if err := os.WriteFile(file, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out := runJSON(t, "", "send", "--relay", g.Addr, "--class", "b", "--file", file, "--parallel", "1")
	slices.SortFunc(out, func(a, b sendOutcome) int { return a.Line - b.Line })
	if len(out) != 5 || code != exitFailed {
		t.Fatalf("exit %d, %+v", code, out)
	}
	for i, want := range []struct {
		line   int
		result string
		text   string
	}{{1, "taken", ""}, {2, "taken", ""}, {4, "failed", "JSON"}, {5, "failed", "400"}, {6, "failed", "dest"}} {
		if o := out[i]; o.Line != want.line || o.Result != want.result || !strings.Contains(o.Error, want.text) {
			t.Errorf("line %d: %+v", want.line, o)
		}
	}
	if s := g.Requests(); len(s) != 3 || s[1].Path != "/b" || s[1].Name != "two" || s[1].Key != "k2" ||
		s[0].Key != "" ||
		s[2].Key == "" {
		t.Errorf("on the wire: %+v", s)
	}
	if code, _ := runJSON(t, lines[:strings.Index(lines, "\n")], "send", "--relay", g.Addr, "--file", "-",
		"--progress", "on"); code != exitOK {
		t.Errorf("standard input: exit %d", code)
	}
}

// An invalid command line exits with 2 and submits nothing.
func TestUsage(t *testing.T) {
	g := startProxy(t, nil)
	good := []string{"send", "--relay", g.Addr, "--class", "c", "--dest", "7"}
	for _, args := range [][]string{{"nonsense"}, {"--nonsense"}, {"send", "--class", "c", "--dest", "7"},
		{"send", "--relay", g.Addr, "--dest", "7"},
		{"send", "--relay", g.Addr, "--class", "c"}, append(good, "--effect", "maybe"), append(good, "--time-left",
			"-1s"), append(good, "--time-left", "soon"),
		append(good, "more"), append(good, "--progress", "loud"), append(good, "--log", "loud"), {"send", "--relay",
			"nowhere", "--class", "c", "--dest", "7"}} {
		if code, out := runJSON(t, "", args...); code != exitUsage || len(out) > 0 {
			t.Errorf("%v: exit %d, %+v", args, code, out)
		}
	}
	if n := len(g.ConnectionTimes()); n > 0 {
		t.Errorf("%d connections", n)
	}
	if code, _ := runJSON(t, "", append(good, "--file", "/nonexistent")...); code != exitFault {
		t.Errorf("a missing file: exit %d", code)
	}
	if code := Main("test", []string{"-version"}); code != exitOK {
		t.Errorf("-version: exit %d", code)
	}
}
