package cli

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// startView starts an admin server for one view. call runs the command that requests it.
func startView(
	t *testing.T, name string, answer *string, status *int) (addr string, call func(args ...string) (int, string)) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/"+name {
			t.Errorf("request for %s", r.URL.Path)
		}
		w.WriteHeader(*status)
		w.Write([]byte(*answer))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), func(args ...string) (int, string) {
		cmd := command("test", append([]string{name}, args...))
		var out bytes.Buffer
		cmd.SetOut(&out)
		return exitCode(cmd.Execute()), out.String()
	}
}

// The table lists the relays and warns about the state of this one; --json prints the reply
// unchanged. The exit code tells an invalid address from a relay without membership and from a
// malformed reply.
func TestMembersCommand(t *testing.T) {
	answer, status := `{"self":2,"version":9,"sharing":3,"deaf":true,"rival":true,"zones_away":["b"],"members":[{"number":0,"state":"away","zone":"b","incarnation":4,"since_ms":5120,"why":"no answer"},{"number":1,"state":"alive"}]}`, 200
	addr, call := startView(t, "members", &answer, &status)
	code, out := call(addr)
	for _, want := range []string{"relay 2, version 9: 3 relays", "RECEIVES NOTHING", "ANOTHER PROCESS", `zone "b"`,
		"0       away   b     4            5.1s   no answer", "1       alive"} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("%d, no %q in %s", code, want, out)
		}
	}
	if code, out := call(addr, "--json"); code != exitOK || out != answer {
		t.Errorf("%d: %s", code, out)
	}
	if code, _ := call("nowhere"); code != exitUsage {
		t.Errorf("no address: %d", code)
	}
	if code, _ := call(); code != exitUsage {
		t.Errorf("no argument: %d", code)
	}
	for _, raw := range []string{"", "HTTP/1.1 2", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if c, err := ln.Accept(); err == nil {
				c.Read(make([]byte, 512))
				c.Write([]byte(raw))
				c.Close()
			}
		}()
		if code, out := call(ln.Addr().String()); code != exitFault {
			t.Errorf("%q: %d %s", raw, code, out)
		}
		ln.Close()
	}
	answer = "{"
	if code, _ := call(addr); code != exitFault {
		t.Errorf("malformed JSON: %d", code)
	}
	status = 404
	if code, _ := call(addr); code != exitFault {
		t.Errorf("membership off: %d", code)
	}
}
