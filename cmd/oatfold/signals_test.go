package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Found by reading, after requests went unanswered at planned restarts: reloads and a stop shared a queue of four signals. Four reloads that wait, as
// while one hangs on its file, pushed the stop out, and the relay served on until it was killed.
func TestStopIsNotPushedOutByReloads(t *testing.T) {
	for _, reloads := range []int{1, 9} {
		t.Run(fmt.Sprint(reloads), func(t *testing.T) {
			s := newTestEnv(t)
			s.release()
			cmd := s.start()
			s.submit(messageRequest("order-relay", "kept", "99", 19000))
			if err := os.Remove(s.config); err != nil {
				t.Fatal(err)
			}
			// A file that hangs as it is read: a pipe that nobody writes to.
			if err := syscall.Mkfifo(s.config, 0o600); err != nil {
				t.Fatal(err)
			}
			log := &logBuffer{}
			for range reloads {
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(5 * time.Millisecond) // each is delivered by itself
			}
			cmd.Process.Signal(syscall.SIGTERM)
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Fatalf("exit: %v", err)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the stop was not heard")
			}
			os.Remove(s.config)
			s.configure(s.agent.Listener.Addr().String())
			s.relayLog = log
			s.start()
			s.waitUntil("what was taken on to be there still", func() bool { return log.has("messages=1 ") })
		})
	}
}

// A reload whose file can't be opened for a moment is not forgotten: the operators have said it once, and say it no more.
func TestReloadOutlastsAMomentOfTrouble(t *testing.T) {
	s := newTestEnv(t)
	s.release()
	log := &logBuffer{}
	s.relayLog = log
	cmd := s.start()
	good, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(s.config)
	if err := os.Symlink("/proc/self/mem", s.config); err != nil { // reading it fails with EIO
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	s.waitUntil("the reload to begin", func() bool { return log.has("reloading") })
	s.waitUntil("its trouble to be told", func() bool { return log.has("configuration can't be read now") })
	os.Remove(s.config)
	if err := os.WriteFile(s.config, good, 0o600); err != nil {
		t.Fatal(err)
	}
	s.waitUntil("the reload to pass", func() bool { return log.has("msg=reloaded") })
	if log.has("the old one stays") {
		t.Error("told to stay with the old one")
	}
	if strings.Contains(s.send("GET /ready HTTP/1.1\r\n\r\n"), "EOF") {
		t.Error("it serves no more")
	}
}
