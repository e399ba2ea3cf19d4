package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A stop is not lost behind reloads that wait while one of them hangs on its file.
func TestStopWhileReloadHangs(t *testing.T) {
	for _, reloads := range []int{1, 9} {
		t.Run(fmt.Sprint(reloads), func(t *testing.T) {
			env := newTestEnv(t)
			env.release()
			cmd := env.start()
			env.submit(messageRequest("order-relay", "kept", "99", 19000))
			if err := os.Remove(env.config); err != nil {
				t.Fatal(err)
			}
			// Reading the file hangs: a pipe without a writer.
			if err := syscall.Mkfifo(env.config, 0o600); err != nil {
				t.Fatal(err)
			}
			log := &logBuffer{}
			for range reloads {
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(5 * time.Millisecond) // so that each signal is delivered separately
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
				t.Fatal("the stop had no effect")
			}
			os.Remove(env.config)
			env.configure(env.agent.Listener.Addr().String())
			env.relayLog = log
			env.start()
			env.waitUntil("the accepted message to be recovered", func() bool { return log.has("messages=1 ") })
		})
	}
}

// A reload whose file can't be opened for a moment is retried: operators send the signal only once.
func TestReloadRetriesUnreadableFile(t *testing.T) {
	env := newTestEnv(t)
	env.release()
	log := &logBuffer{}
	env.relayLog = log
	cmd := env.start()
	good, err := os.ReadFile(env.config)
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(env.config)
	if err := os.Symlink("/proc/self/mem", env.config); err != nil { // reading it fails with EIO
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	env.waitUntil("the reload to begin", func() bool { return log.has("reloading") })
	env.waitUntil("its failure to be logged", func() bool { return log.has("configuration can't be read now") })
	os.Remove(env.config)
	if err := os.WriteFile(env.config, good, 0o600); err != nil {
		t.Fatal(err)
	}
	env.waitUntil("the reload to pass", func() bool { return log.has("msg=reloaded") })
	if log.has("the old one stays") {
		t.Error("the reload was given up")
	}
	if strings.Contains(env.send("GET /ready HTTP/1.1\r\n\r\n"), "EOF") {
		t.Error("the relay no longer serves")
	}
}
