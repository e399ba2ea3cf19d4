package cli

import (
	"strings"
	"testing"
)

// The tables show the endpoints used and who holds a time slot; --json prints the reply unchanged;
// a relay that shares nothing, or a malformed reply, sets the exit code.
func TestChoicesCommand(t *testing.T) {
	answer, status := `{"self":2,"choices":"subset=2,turns","place":5,"live":9,"subsets":[{"destination":7,"of":6,"endpoints":["a","b"],"why":"place 5"}],"destinations":[{"destination":7,"turn_holders":3,"only_holders_try":true,"wanted_mean":1.5,"wait_heard_ms":900,"why":"others try"},{"destination":8,"turn_holders":3,"turn_held":true,"only_holders_try":true},{"destination":9,"turn_holders":3}]}`, 200
	addr, call := startView(t, "choices", &answer, &status)
	code, out := call(addr)
	for _, want := range []string{"relay 2 shares subset=2,turns; place 5 among 9 live", "a b", "others (3)",
		"held (3)", "900 ms", "others try"} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("%d, no %q in %s", code, want, out)
		}
	}
	if code, out := call(addr, "--json"); code != exitOK || out != answer {
		t.Errorf("%d: %s", code, out)
	}
	answer = "{"
	if code, _ := call(addr); code != exitFault {
		t.Errorf("malformed JSON: %d", code)
	}
	status = 404
	if code, _ := call(addr); code != exitFault {
		t.Errorf("nothing shared: %d", code)
	}
}
