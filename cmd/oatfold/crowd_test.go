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

// reconnectPause bounds how often a client of a crowd comes.
const reconnectPause = 5 * time.Millisecond

// limitDescriptors sets what the configuration says of descriptors.
func (s *testEnv) limitDescriptors(most int) {
	raw, err := os.ReadFile(s.config)
	if err == nil {
		told := strings.Replace(string(raw), `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, most), 1)
		err = os.WriteFile(s.config, []byte(told), 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// idleClients is clients that rest on their connections.
type idleClients struct {
	env    *testEnv
	done   chan struct{}
	closed atomic.Int64 // connections that the relay ended after its answer
}

// startIdleClients keeps that many clients at the relay until the test ends: each asks once, rests on its connection, and comes again on a new one as soon
// as the relay ends it. Guards against a crowd that the relay has emptied before anybody looked at it.
func (s *testEnv) startIdleClients(clients int) *idleClients {
	c := &idleClients{env: s, done: make(chan struct{})}
	var all sync.WaitGroup
	s.t.Cleanup(func() { close(c.done); all.Wait() })
	for range clients {
		all.Go(c.reconnect)
	}
	return c
}

// reconnect is one client of a crowd.
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

// While discovery is down, idle clients take all descriptors that they can get. As it comes back, the watch and the notices find one
// each all the same.
func TestDiscoveryReturnsToACrowd(t *testing.T) {
	const most = 96 // descriptors
	s := newTestEnv(t)
	s.limitDescriptors(most)
	cmd := s.start()
	pid := cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil); err != nil {
		t.Fatal(err)
	}
	s.waitUntil("the first watch", func() bool { return s.watchRequests == 1 })
	address := s.agent.Listener.Addr().String()
	s.agent.Listener.Close()
	s.agent.CloseClientConnections()
	s.submit(messageRequest("price-alert", "nowhere", "99", 1500))
	descriptors := func() int {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(open)
	}
	own := descriptors()
	resting := s.startIdleClients(2 * most)
	// Guards against a bound on all descriptors that the relay's own move by one: clients have all that they may have once resting ones give way.
	s.waitUntil("the crowd to be let in", func() bool { return descriptors()-own >= most/3 && resting.closed.Load() > most })
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.startAgent(back)
	s.waitUntil("the watch and the notice", func() bool { return s.watchRequests > 1 && s.notified("nowhere", "handed_back") })
}
