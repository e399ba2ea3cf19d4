package wire

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"oatfold/internal/drain"
)

// countingListener counts its open connections.
type countingListener struct {
	*net.TCPListener
	open, most atomic.Int64
}

type countedConn struct {
	*net.TCPConn
	closed sync.Once
	open   *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	sock, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.most.Store(max(l.most.Load(), l.open.Add(1)))
	return &countedConn{TCPConn: sock.(*net.TCPConn), open: &l.open}, nil
}

func (c *countedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.TCPConn.Close()
}

const unfinishedRequest = "POST /alert HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"

// Guards against a process that goes over its connection limit as it ends: a crowd that waits in
// the accept queue was accepted whole, whatever the limit. Requests on connections that are open
// are answered all the same.
func TestConnectionLimitHoldsWhileEnding(t *testing.T) {
	const limit, crowd = 4, 40
	for name, end := range map[string]func(*Server){
		"planned stop": func(s *Server) { s.HandleDrainEvent(drain.Stop) },
		"shutdown":     (*Server).Shutdown,
		"upgrade": func(s *Server) {
			s.HandleDrainEvent(drain.HandOver)
			s.StopListening()
		},
		"drained, then stopped": func(s *Server) {
			s.HandleDrainEvent(drain.HealthFail)
			s.HandleDrainEvent(drain.Stop)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := &countingListener{TCPListener: listenLoopback(t).(*net.TCPListener)}
			server, _ := startServerOn(t, ln, 100, limit)
			open, answers := dialListener(t, ln)
			fmt.Fprint(open, unfinishedRequest)
			waitFor(t, "the request to begin", func() bool { return countConns(server, connBusy) == 1 })
			for range crowd {
				sock, _ := dialListener(t, ln)
				fmt.Fprint(sock, unfinishedRequest)
			}
			waitFor(t, "the limit to be reached", func() bool { return server.OpenConnections() == limit })
			end(server)
			waitFor(t, "the listener to close", func() bool { return !server.Accepting() })
			if most := ln.most.Load(); most > limit {
				t.Errorf("%d connections were open, the limit is %d", most, limit)
			}
			fmt.Fprint(open, "12345")
			answer, err := http.ReadResponse(answers, nil)
			if err != nil || answer.StatusCode != 400 {
				t.Errorf("answered %v, %v: the request on the open connection lacks its answer", answer, err)
			}
		})
	}
}

// Guards against requests that are read and then closed with no answer where the limit keeps them
// out: what waits in the accept queue of a full process that ends is reset unread.
func TestQueuedRequestsAreResetUnread(t *testing.T) {
	server, host, ln := startServer(t, 100, 1)
	holder, _ := dialListener(t, ln)
	fmt.Fprint(holder, unfinishedRequest)
	waitFor(t, "the request to begin", func() bool { return countConns(server, connBusy) == 1 })
	queued, answers := dialListener(t, ln)
	fmt.Fprint(queued, validRequest("queued", "body"))
	server.Shutdown()
	if answer, err := http.ReadResponse(answers, nil); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("answered %v, %v, want a reset", answer, err)
	}
	host.Lock()
	defer host.Unlock()
	if host.accepted > 0 {
		t.Error("a request was accepted above the limit")
	}
}

// Guards against a connection limit that a reload lowers and that binds only later: idle
// connections above it close at once.
func TestLoweredConnectionLimitClosesIdleOnes(t *testing.T) {
	server, _, ln := startServer(t, 100, 8)
	var clients []*bufio.Reader
	for range 5 {
		sock, answers := dialListener(t, ln)
		fmt.Fprint(sock, readyRequest)
		if answer, err := http.ReadResponse(answers, nil); err != nil || answer.Body.Close() != nil {
			t.Fatal(err)
		}
		clients = append(clients, answers)
		waitFor(t, "an idle connection", func() bool { return countConns(server, connIdle) == len(clients) })
	}
	settings := testSettings()
	server.Configure(&settings, 2)
	waitFor(t, "the limit to be kept", func() bool { return server.OpenConnections() == 2 })
	for _, answers := range clients[:3] {
		expectEOF(t, answers)
	}
}

// countConns counts the connections in a state.
func countConns(s *Server, state connState) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == state {
			count++
		}
	}
	return count
}

// Within the limit a process that ends answers all that waits in its accept queue.
func TestAcceptQueueIsServedWithinLimit(t *testing.T) {
	const limit = 32
	server, host, ln := startServer(t, 100, limit)
	var answers []*bufio.Reader
	for n := range limit {
		sock, r := dialListener(t, ln)
		fmt.Fprint(sock, validRequest(fmt.Sprint("m", n), "body"))
		answers = append(answers, r)
	}
	server.HandleDrainEvent(drain.HandOver)
	server.StopListening()
	for _, r := range answers {
		expectStatus(t, r, 202)
	}
	waitFor(t, "the listener to close", func() bool { return !server.Accepting() })
	host.Lock()
	defer host.Unlock()
	if host.accepted != limit {
		t.Errorf("%d of %d accepted", host.accepted, limit)
	}
}
