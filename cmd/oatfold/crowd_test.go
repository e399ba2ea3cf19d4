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

// crowdPause bounds how often a client of a crowd comes.
const crowdPause = 5 * time.Millisecond

// limitDescriptors sets what the configuration says of descriptors.
func (s *site) limitDescriptors(most int) {
	raw, err := os.ReadFile(s.config)
	if err == nil {
		told := strings.Replace(string(raw), `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, most), 1)
		err = os.WriteFile(s.config, []byte(told), 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// crowd is clients that rest on their connections.
type crowd struct {
	site  *site
	over  chan struct{}
	ended atomic.Int64 // connections that the relay ended after its answer
}

// crowd keeps that many clients at the relay until the test ends: each asks once, rests on its connection, and comes again on a new one as soon
// as the relay ends it. Guards against a crowd that the relay has emptied before anybody looked at it.
func (s *site) crowd(clients int) *crowd {
	c := &crowd{site: s, over: make(chan struct{})}
	var all sync.WaitGroup
	s.t.Cleanup(func() { close(c.over); all.Wait() })
	for range clients {
		all.Go(c.restAgain)
	}
	return c
}

// restAgain is one client of a crowd.
func (c *crowd) restAgain() {
	for {
		select {
		case <-c.over:
			return
		case <-time.After(crowdPause):
		}
		client, err := net.Dial("tcp", c.site.listen)
		if err != nil {
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			io.WriteString(client, "GET /ready HTTP/1.1\r\n\r\n")
			if answer, _ := io.Copy(io.Discard, client); answer > 0 {
				c.ended.Add(1)
			}
		}()
		select {
		case <-c.over:
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
	s := newSite(t)
	s.limitDescriptors(most)
	cmd := s.start()
	pid := cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil); err != nil {
		t.Fatal(err)
	}
	s.until("the first watch", func() bool { return s.watched == 1 })
	address := s.agent.Listener.Addr().String()
	s.agent.Listener.Close()
	s.agent.CloseClientConnections()
	s.take(hand("price-alert", "nowhere", "99", 1500))
	descriptors := func() int {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(open)
	}
	own := descriptors()
	resting := s.crowd(2 * most)
	// Guards against a bound on all descriptors that the relay's own move by one: clients have all that they may have once resting ones give way.
	s.until("the crowd to be let in", func() bool { return descriptors()-own >= most/3 && resting.ended.Load() > most })
	back, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.startAgent(back)
	s.until("the watch and the notice", func() bool { return s.watched > 1 && s.told("nowhere", "handed_back") })
}
