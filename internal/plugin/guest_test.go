package plugin

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"oatfold/plugin/abi"
)

// buildExamples compiles the named examples to WebAssembly.
func buildExamples(t *testing.T, names ...string) map[string][]byte {
	t.Helper()
	dir, all := t.TempDir(), map[string][]byte{}
	for _, name := range names {
		out := filepath.Join(dir, name+".wasm")
		cmd := exec.Command("go", "build", "-buildmode=c-shared", "-ldflags=-s -w", "-o", out,
			"oatfold/plugin/examples/"+name)
		cmd.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm")
		if text, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v: %s", name, err, text)
		}
		code, err := os.ReadFile(out)
		if err != nil {
			t.Fatal(err)
		}
		all[name] = code
	}
	return all
}

// The example plug-ins work as documented and report failures.
func TestExamples(t *testing.T) {
	built := buildExamples(t, "brokerform", "softreject", "gatekeeper")
	start := func(name string, h abi.Hook, setting string) *Set {
		s := testSpec(t, built[name], h)
		s.Setting, s.Budget.MemoryPages, s.Budget.LoadTimeout = setting, 512, time.Minute
		s.Budget.Wall, s.Budget.CPU = 10*time.Second, 10*time.Second // this test does not measure speed
		set, err := LoadSet(context.Background(), []Spec{s}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(set.Release)
		return set
	}
	form := start("brokerform", abi.ShapeRequest, "amount=qty")
	m := testMessage("order-relay")
	m.Body = []byte(`{"amount":12,"side":"buy"}`)
	body, headers, failed := form.ShapeRequest(m)
	if failed != nil || string(body) != `{"order":{"qty":12,"side":"buy"},"ref":"id"}` || len(headers) != 2 ||
		headers[1] != [2]string{"X-Form-Version", "2"} {
		t.Errorf("%s, %v, %v", body, headers, failed)
	}
	m.Body = []byte("no JSON")
	if _, _, failed := form.ShapeRequest(m); failed == nil {
		t.Error("a body that is not JSON was accepted")
	}
	m.Body = []byte(`{"amount":13}`)
	if body, _, failed := form.ShapeRequest(m); failed != nil || string(body) != `{"order":{"qty":13},"ref":"id"}` {
		t.Errorf("call after a failed one: %s, %v", body, failed)
	}
	soft := start("softreject", abi.ReadAnswer, "")
	for said, want := range map[string]int{`{"status":"busy","retry_ms":800}`: abi.MayHave,
		`{"status":"done"}`: abi.Delivered, "": abi.Delivered} {
		o, wait := soft.ReadAnswer(m, Answer{Status: 200, Body: []byte(said), Outcome: abi.Delivered,
			Headers: [][2]string{{"X-A", "b"}}})
		if o != want || (wait == 800*time.Millisecond) != (want == abi.MayHave) {
			t.Errorf("%s: %d, %v", said, o, wait)
		}
	}
	gate := start("gatekeeper", abi.OnHandIn, "account,amount")
	for body, want := range map[string]int{`{"account":"x","amount":1}`: abi.Take, `{"account":"x"}`: abi.Reject,
		"x": abi.Reject} {
		m := testMessage("fee-charge")
		m.Body = []byte(body)
		a := gate.OnHandIn(m)
		if a.Verdict != want ||
			want == abi.Take && string(a.Notes) != string(abi.Append(nil, abi.Note, `account="x"`)) ||
			want == abi.Reject && a.Reason == "" {
			t.Errorf("%s: %+v", body, a)
		}
	}
}
