package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// reconnectPause is the least time between two connections of an idle client.
const reconnectPause = 5 * time.Millisecond

// limitDescriptors sets the limit of descriptors in the configuration file.
func (e *testEnv) limitDescriptors(limit int) {
	raw, err := os.ReadFile(e.config)
	if err == nil {
		text := strings.Replace(string(raw), `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, limit), 1)
		err = os.WriteFile(e.config, []byte(text), 0o600)
	}
	if err != nil {
		e.t.Fatal(err)
	}
}

// idleClients is a set of clients that stay idle on their connections.
type idleClients struct {
	env    *testEnv
	done   chan struct{}
	closed atomic.Int64 // connections that the relay closed after its reply
}

// startIdleClients keeps that many clients connected until the test ends. Each sends one request,
// stays idle, and reconnects as soon as the relay closes its connection, so that the relay never
// runs out of idle clients.
func (e *testEnv) startIdleClients(clients int) *idleClients {
	c := &idleClients{env: e, done: make(chan struct{})}
	var running sync.WaitGroup
	e.t.Cleanup(func() { close(c.done); running.Wait() })
	for range clients {
		running.Go(c.reconnect)
	}
	return c
}

// reconnect runs one idle client.
func (c *idleClients) reconnect() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(reconnectPause):
		}
		client, err := net.Dial("tcp", c.env.listen)
		if err != nil {
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			io.WriteString(client, "GET /ready HTTP/1.1\r\n\r\n")
			if answer, _ := io.Copy(io.Discard, client); answer > 0 {
				c.closed.Add(1)
			}
		}()
		select {
		case <-c.done:
		case <-ended:
		}
		client.Close()
		<-ended
	}
}

// While discovery is down, idle clients take all descriptors that they can get. When it returns,
// the list watch and the notifications still get one each.
func TestDiscoveryReconnectsAtDescriptorLimit(t *testing.T) {
	const limit = 96 // descriptors
	env := newTestEnv(t)
	env.limitDescriptors(limit)
	cmd := env.start()
	pid := cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil); err != nil {
		t.Fatal(err)
	}
	env.waitUntil("the first watch", func() bool { return env.watchRequests == 1 })
	address := env.agent.Listener.Addr().String()
	env.agent.Listener.Close()
	env.agent.CloseClientConnections()
	env.submit(messageRequest("price-alert", "nowhere", "99", 1500))
	descriptors := func() int {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(open)
	}
	ownDescriptors := descriptors()
	idle := env.startIdleClients(2 * limit)
	// The relay's own descriptors vary by one, so the bound is on those of clients: they have all
	// that they may have once idle ones are closed.
	env.waitUntil("the idle clients to be accepted", func() bool {
		return descriptors()-ownDescriptors >= limit/3 && idle.closed.Load() > limit
	})
	restored, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	env.startAgent(restored)
	env.waitUntil("the watch and the notification", func() bool {
		return env.watchRequests > 1 && env.notified("nowhere", "handed_back")
	})
}
