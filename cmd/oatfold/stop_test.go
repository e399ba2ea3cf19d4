package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logBuffer keeps the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// timeOf returns the time of the first line with that message.
func (l *logBuffer) timeOf(t *testing.T, msg string) time.Time {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, "msg="+msg) {
			at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(line)[0], "time="))
			if err != nil {
				t.Fatal(err)
			}
			return at
		}
	}
	t.Fatalf("no line %q in\n%s", msg, l.text.String())
	return time.Time{}
}

// A stop with calls in flight at an endpoint that hangs, idle clients, one that has sent nothing,
// one in the middle of a request, repeated signals, and a reload with an invalid file. The exit is
// clean and in time, complete requests are answered, idle connections are closed without a reset,
// and the next start completes the accepted messages.
func TestStopWithOpenConnectionsAndRepeatedSignals(t *testing.T) {
	env := newTestEnv(t)
	log := &logBuffer{}
	env.relayLog = log
	cmd := env.start()
	open := func(first string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", env.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		io.WriteString(c, first)
		return c, bufio.NewReader(c)
	}
	idle, idleReader := open("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if a, err := idleReader.ReadString('\n'); err != nil || !strings.Contains(a, " 200 ") {
		t.Fatalf("%q, %v", a, err)
	}
	env.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "order", "7", 19000))
	env.waitUntil("both calls", func() bool { return env.calls["fee"] == 1 && env.calls["order"] == 1 })
	env.submit(messageRequest("price-alert", "waits", "99", 4500))
	_, silentReader := open("")
	req := messageRequest("order-relay", "half", "99", 19000)
	half, halfReader := open(req[:len(req)-1])
	if err := os.WriteFile(env.config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		cmd.Process.Signal(sig)
	}
	if _, err := io.ReadAll(idleReader); err != nil {
		t.Errorf("an idle client sees %v, want EOF", err)
	}
	if b, err := io.ReadAll(silentReader); err != nil || len(b) > 0 {
		t.Errorf("a silent client sees %q, %v, want EOF", b, err)
	}
	io.WriteString(half, req[len(req)-1:])
	if a, err := halfReader.ReadString('\n'); err != nil || !strings.Contains(a, " 202 ") {
		t.Errorf("a request that had begun was answered %q, %v", a, err)
	}
	idle.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	// Measured from the log, so that waiting for a processor before the first line does not count.
	if duration := log.timeOf(t, "stopped").Sub(log.timeOf(t, "stopping")); duration > 3700*time.Millisecond {
		t.Errorf("the stop took %v", duration)
	}
	env.configure(env.agent.Listener.Addr().String())
	env.release()
	env.start()
	env.waitUntil("all to complete", func() bool {
		return env.notified("fee", "given_up") && env.calls["order"] >= 2 && env.notified("waits", "handed_back")
	})
	env.Lock()
	defer env.Unlock()
	if env.calls["fee"] != 1 || env.notified("order", "") {
		t.Errorf("calls %v, notifications %v", env.calls, env.notices)
	}
}

// A relay that is stopped as soon as it is ready exits cleanly, too.
func TestStopAsSoonAsReady(t *testing.T) {
	env := newTestEnv(t)
	env.release()
	for n := range 2 {
		log := &logBuffer{}
		env.relayLog = log
		cmd := env.start()
		env.submit(messageRequest("order-relay", fmt.Sprint("m", n), "99", 19000))
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Fatalf("exit: %v", err)
		}
		if n > 0 && !log.has(fmt.Sprintf("messages=%d ", n)) {
			t.Errorf("start %d does not recover what was left: %s", n, log.text.String())
		}
	}
}

// A relay that is stopped while it reads its journal exits cleanly afterwards, and the next start
// recovers the content of the folder. The test determines how long reading takes.
func TestStopWhileTheJournalIsRead(t *testing.T) {
	env := newTestEnv(t)
	env.release()
	log := &logBuffer{}
	env.relayLog = log
	cmd := env.start()
	env.submit(messageRequest("order-relay", "kept", "99", 19000))
	cmd.Process.Kill()
	cmd.Wait()
	slow := filepath.Join(env.state, "000000000000.seg") // read before all others
	if err := syscall.Mkfifo(slow, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = env.startProcess()
	pipe, err := os.OpenFile(slow, os.O_WRONLY, 0) // returns when the relay has opened its side
	if err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	pipe.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	os.Remove(slow)
	log = &logBuffer{}
	env.relayLog = log
	env.start()
	env.waitUntil("the accepted message to be recovered", func() bool { return log.has("messages=1 ") })
}
