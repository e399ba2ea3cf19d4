package soak_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// outcome is how a request ended for its client.
type outcome int

const (
	answered    outcome = iota
	unread              // reset: nobody has read it, and it may be sent again
	relayKilled         // its relay was killed meanwhile
	unanswered          // read, and its connection closed or kept with no answer
)

const (
	responseTimeout = 8 * time.Second         // a bound for a hang: clients wait 0.4 s, and give up then
	resetTimeout    = 1500 * time.Millisecond // behind the end of a connection, for the reset that tells that nobody read the rest
)

// request is one that a client sent, and what became of it.
type request struct {
	id, class string
	timeLeft  time.Duration
	sentAt    time.Time
	relay     int
	pattern   string // of its client
	outcome   outcome
	status    int
	failure   string
}

// clients hand in at the relays, each in its own way, until they are told to stop. They keep their connections for as long as these stay open.
type clients struct {
	scenario *scenario
	running  sync.WaitGroup
	stop     chan struct{}

	mu     sync.Mutex
	sent   []*request
	lastID int
}

// connection is one client's, to one relay.
type connection struct {
	*net.TCPConn
	r           *bufio.Reader
	relay       int
	incarnation int // of the relay, as it was opened
}

func (c *clients) dial(relay int) *connection {
	sock, err := net.Dial("tcp", c.scenario.relays[relay].Addr)
	if err != nil {
		return nil
	}
	return &connection{sock.(*net.TCPConn), bufio.NewReader(sock), relay, c.scenario.incarnation(relay)}
}

func (c *clients) record(pattern string, relay int, class string, timeLeft time.Duration) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	r := &request{id: fmt.Sprintf("m%d", c.lastID), class: class, timeLeft: timeLeft, sentAt: time.Now(), relay: relay, pattern: pattern}
	c.sent = append(c.sent, r)
	return r
}

func (r *request) wireText(dest int) string {
	body := fmt.Sprintf("%s/%s\n", r.class, r.id)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: %s\r\nIdempotency-Key: k-%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		r.class, r.id, r.id, r.timeLeft.Milliseconds(), dest, len(body), body)
}

// readResponse reads the answer to r; closes tells that the connection ends with it.
func (c *clients) readResponse(conn *connection, r *request) (closes bool) {
	conn.SetReadDeadline(time.Now().Add(responseTimeout))
	res, err := http.ReadResponse(conn.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err == nil {
		r.outcome, r.status = answered, res.StatusCode
		return res.Close
	}
	c.classifyFailure(conn, r, err)
	return true
}

// classifyFailure tells what the end of a connection with no answer means for a request that was sent on it.
func (c *clients) classifyFailure(conn *connection, r *request, err error) {
	r.failure = err.Error()
	switch {
	case c.scenario.killed(conn.relay, conn.incarnation):
		r.outcome = relayKilled
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.outcome = unread
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.outcome = unanswered
	case awaitReset(conn):
		r.outcome = unread
	case c.scenario.killed(conn.relay, conn.incarnation):
		r.outcome = relayKilled
	default:
		r.outcome = unanswered
	}
}

// awaitReset waits for a reset behind the end of a connection.
func awaitReset(conn *connection) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(resetTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		failure := 0
		raw.Control(func(fd uintptr) { failure, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
		if failure != 0 {
			return true
		}
	}
	return false
}

// usagePatterns are the ways in which clients use a connection.
var usagePatterns = []struct {
	name string
	use  func(*clients, *rand.Rand, *connection) bool // tells whether the connection goes on
}{{"plain", (*clients).sendOne}, {"crossing", (*clients).sendAfterClose}, {"one packet", (*clients).pipelined}, {"half", (*clients).sendPartial}}

// run is one client, which hands in until the end.
func (c *clients) run(random *rand.Rand) {
	defer c.running.Done()
	var conn *connection
	pattern := usagePatterns[min(random.IntN(6), len(usagePatterns)-1)%len(usagePatterns)]
	for {
		select {
		case <-c.stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(time.Duration(2+random.IntN(60)) * time.Millisecond):
		}
		if conn == nil {
			if conn = c.dial(random.IntN(len(c.scenario.relays))); conn == nil {
				continue
			}
		}
		if !pattern.use(c, random, conn) {
			conn.Close()
			conn = nil
		}
		if random.IntN(40) == 0 {
			pattern = usagePatterns[random.IntN(len(usagePatterns))]
		}
	}
}

func (c *clients) newRequest(pattern string, random *rand.Rand, relay int) (*request, string) {
	r := c.record(pattern, relay, []string{"price-alert", "order-relay", "fee-charge"}[random.IntN(3)], time.Duration(400+random.IntN(3000))*time.Millisecond)
	return r, r.wireText(1 + random.IntN(destinationCount))
}

// send writes text on which r is due an answer, and reads that.
func (c *clients) send(conn *connection, r *request, text string) (keepOpen bool) {
	if _, err := io.WriteString(conn, text); err != nil {
		c.classifyFailure(conn, r, err)
		return false
	}
	return !c.readResponse(conn, r)
}

func (c *clients) sendOne(random *rand.Rand, conn *connection) bool {
	r, text := c.newRequest("plain", random, conn.relay)
	return c.send(conn, r, text)
}

// sendAfterClose rests until the relay ends the connection, or for a while, and sends all the same: as one that the end has not reached yet.
func (c *clients) sendAfterClose(random *rand.Rand, conn *connection) bool {
	if !c.sendOne(random, conn) && random.IntN(2) == 0 {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(random.IntN(2000)) * time.Millisecond))
	_, err := conn.r.Peek(1)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false // reset: this client knows that it is closed
	}
	r, text := c.newRequest("crossing", random, conn.relay)
	return c.send(conn, r, text)
}

// pipelined sends two requests at once.
func (c *clients) pipelined(random *rand.Rand, conn *connection) bool {
	first, firstText := c.newRequest("one packet, first", random, conn.relay)
	second, secondText := c.newRequest("one packet, second", random, conn.relay)
	if !c.send(conn, first, firstText+secondText) {
		if first.outcome == answered {
			_, err := conn.r.Peek(1)
			if err == nil { // said to close, and yet it answers
				c.readResponse(conn, second)
				return false
			}
			c.classifyFailure(conn, second, err)
			return false
		}
		second.outcome, second.failure = first.outcome, first.failure
		return false
	}
	return !c.readResponse(conn, second)
}

// sendPartial stops in the middle of a request and stays: it is owed an error or a close within 3 s.
func (c *clients) sendPartial(random *rand.Rand, conn *connection) bool {
	_, text := c.newRequest("half", random, conn.relay)
	c.mu.Lock()
	c.sent = c.sent[:len(c.sent)-1] // it is no request
	c.mu.Unlock()
	io.WriteString(conn, text[:1+random.IntN(len(text)-1)])
	startedAt := time.Now()
	conn.SetReadDeadline(startedAt.Add(responseTimeout))
	if _, err := io.Copy(io.Discard, conn.r); errors.Is(err, os.ErrDeadlineExceeded) && !c.scenario.killed(conn.relay, conn.incarnation) {
		c.scenario.fail("half a request was kept for %v", time.Since(startedAt))
	}
	return false
}

// holdIdleConnections connects, says nothing and stays for a while.
func (c *clients) holdIdleConnections(relay, count int, duration time.Duration) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", c.scenario.relays[relay].Addr, time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(duration)
	for _, conn := range conns {
		conn.Close()
	}
}

func (r *request) String() string {
	return strings.Join([]string{r.id, r.class, r.pattern, fmt.Sprint("relay ", r.relay), r.failure}, ", ")
}
