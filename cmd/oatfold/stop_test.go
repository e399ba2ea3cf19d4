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

// logBuffer keeps a process's log.
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

// timeOf is the time of the first line with that message.
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

// A stop with all at once: calls out at an endpoint that hangs, clients that rest, one that says nothing, one in the middle of a request, told
// twice, and a reload behind it with a file that is wrong. The exit is clean and in time; whoever had sent a request whole is answered, who
// rests sees a plain end; and the next start ends what was taken on.
func TestStopUnderEverything(t *testing.T) {
	s := newTestEnv(t)
	log := &logBuffer{}
	s.relayLog = log
	cmd := s.start()
	open := func(first string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		io.WriteString(c, first)
		return c, bufio.NewReader(c)
	}
	rests, restsR := open("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if a, err := restsR.ReadString('\n'); err != nil || !strings.Contains(a, " 200 ") {
		t.Fatalf("%q, %v", a, err)
	}
	s.submit(messageRequest("fee-charge", "fee", "7", 19000), messageRequest("order-relay", "order", "7", 19000))
	s.waitUntil("both calls", func() bool { return s.calls["fee"] == 1 && s.calls["order"] == 1 })
	s.submit(messageRequest("price-alert", "waits", "99", 4500))
	_, silentR := open("")
	req := messageRequest("order-relay", "half", "99", 19000)
	half, halfR := open(req[:len(req)-1])
	if err := os.WriteFile(s.config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		cmd.Process.Signal(sig)
	}
	if _, err := io.ReadAll(restsR); err != nil {
		t.Errorf("who rests sees %v, want a plain end", err)
	}
	if b, err := io.ReadAll(silentR); err != nil || len(b) > 0 {
		t.Errorf("who says nothing sees %q, %v, want a plain end", b, err)
	}
	io.WriteString(half, req[len(req)-1:])
	if a, err := halfR.ReadString('\n'); err != nil || !strings.Contains(a, " 202 ") {
		t.Errorf("a request that had begun is answered %q, %v", a, err)
	}
	rests.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	// As the process saw it: it had not to wait for a processor before its first line.
	if took := log.timeOf(t, "stopped").Sub(log.timeOf(t, "stopping")); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
	s.configure(s.agent.Listener.Addr().String())
	s.release()
	s.start()
	s.waitUntil("all to end", func() bool {
		return s.notified("fee", "given_up") && s.calls["order"] >= 2 && s.notified("waits", "handed_back")
	})
	s.Lock()
	defer s.Unlock()
	if s.calls["fee"] != 1 || s.notified("order", "") {
		t.Errorf("calls %v, notices %v", s.calls, s.notices)
	}
}

// Told to end before it can serve, or as soon as it says that it is ready, it ends clean as well.
func TestStopAtTheStart(t *testing.T) {
	s := newTestEnv(t)
	s.release()
	for n := range 2 {
		log := &logBuffer{}
		s.relayLog = log
		cmd := s.start()
		s.submit(messageRequest("order-relay", fmt.Sprint("m", n), "99", 19000))
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Fatalf("exit: %v", err)
		}
		if n > 0 && !log.has(fmt.Sprintf("messages=%d ", n)) {
			t.Errorf("start %d finds something else than it left: %s", n, log.text.String())
		}
	}
}

// Told to end while its journal is read, which takes as long as the test says: it ends clean once that is over, and what the folder holds is
// there at the next start.
func TestStopWhileTheJournalIsRead(t *testing.T) {
	s := newTestEnv(t)
	s.release()
	log := &logBuffer{}
	s.relayLog = log
	cmd := s.start()
	s.submit(messageRequest("order-relay", "kept", "99", 19000))
	cmd.Process.Kill()
	cmd.Wait()
	slow := filepath.Join(s.state, "000000000000.seg") // read before all others
	if err := syscall.Mkfifo(slow, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = s.startProcess()
	pipe, err := os.OpenFile(slow, os.O_WRONLY, 0) // comes back when the relay has opened its side
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
	s.relayLog = log
	s.start()
	s.waitUntil("what was taken on to be there still", func() bool { return log.has("messages=1 ") })
}
