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

// outcome is the result of a request for its client.
type outcome int

// The outcomes of a request.
const (
	answered    outcome = iota
	unread              // connection reset: the relay has not read it, and the client may retry
	relayKilled         // the relay was killed meanwhile
	unanswered          // read, and the connection closed or kept open without a response
)

// The timeouts of clients.
const (
	responseTimeout = 8 * time.Second         // bounds a hang
	resetTimeout    = 1500 * time.Millisecond // from a close to the reset that shows unread data
)

// request is a request of a client and its result.
type request struct {
	id, class string
	timeLeft  time.Duration
	sentAt    time.Time
	relay     int
	pattern   string // name of the usage pattern
	outcome   outcome
	status    int
	failure   string // error text, if there was no response
}

// clients submit messages to the relays until stop is closed, each with its own usage pattern. They
// reuse connections for as long as these stay open.
type clients struct {
	scenario *scenario
	running  sync.WaitGroup
	stop     chan struct{}

	mu     sync.Mutex
	sent   []*request
	lastID int
}

// connection is a connection of one client to one relay.
type connection struct {
	*net.TCPConn
	r           *bufio.Reader
	relay       int
	incarnation int // of the relay when the connection was opened
}

// dial connects to a relay; it returns nil on failure.
func (c *clients) dial(relay int) *connection {
	sock, err := net.Dial("tcp", c.scenario.relays[relay].Addr)
	if err != nil {
		return nil
	}
	return &connection{sock.(*net.TCPConn), bufio.NewReader(sock), relay, c.scenario.incarnation(relay)}
}

// record adds a request that is about to be sent.
func (c *clients) record(pattern string, relay int, class string, timeLeft time.Duration) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	r := &request{id: fmt.Sprintf("m%d", c.lastID), class: class, timeLeft: timeLeft, sentAt: time.Now(),
		relay: relay, pattern: pattern}
	c.sent = append(c.sent, r)
	return r
}

// wireText returns the HTTP request.
func (r *request) wireText(dest int) string {
	body := fmt.Sprintf("%s/%s\n", r.class, r.id)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: %s\r\nIdempotency-Key: k-%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		r.class, r.id, r.id, r.timeLeft.Milliseconds(), dest, len(body), body)
}

// readResponse reads the response to r and reports whether the connection closes after it.
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

// classifyFailure sets the outcome of a request whose connection ended without a response.
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

// awaitReset reports whether a reset follows the close of a connection within resetTimeout.
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

// usagePatterns lists how clients use a connection.
var usagePatterns = []struct {
	name string
	use  func(*clients, *rand.Rand, *connection) bool // reports whether the connection stays usable
}{
	{"plain", (*clients).sendOne},
	{"crossing", (*clients).sendAfterClose},
	{"one packet", (*clients).pipelined},
	{"half", (*clients).sendPartial},
}

// run is one client, which sends requests until stop is closed.
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

// newRequest records a random request to a relay and returns it with its HTTP text.
func (c *clients) newRequest(pattern string, random *rand.Rand, relay int) (*request, string) {
	r := c.record(pattern, relay, []string{"price-alert", "order-relay", "fee-charge"}[random.IntN(3)],
		time.Duration(400+random.IntN(3000))*time.Millisecond)
	return r, r.wireText(1 + random.IntN(destinationCount))
}

// send writes text, whose first request is r, and reads the response to r. It reports whether the
// connection stays usable.
func (c *clients) send(conn *connection, r *request, text string) (keepOpen bool) {
	if _, err := io.WriteString(conn, text); err != nil {
		c.classifyFailure(conn, r, err)
		return false
	}
	return !c.readResponse(conn, r)
}

// sendOne sends one request and reads the response.
func (c *clients) sendOne(random *rand.Rand, conn *connection) bool {
	r, text := c.newRequest("plain", random, conn.relay)
	return c.send(conn, r, text)
}

// sendAfterClose waits for a while or until the relay closes the connection and sends a request all
// the same, like a client that the close has not reached yet.
func (c *clients) sendAfterClose(random *rand.Rand, conn *connection) bool {
	if !c.sendOne(random, conn) && random.IntN(2) == 0 {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(random.IntN(2000)) * time.Millisecond))
	_, err := conn.r.Peek(1)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false // reset: the client knows that the connection is closed
	}
	r, text := c.newRequest("crossing", random, conn.relay)
	return c.send(conn, r, text)
}

// pipelined sends two requests in one write.
func (c *clients) pipelined(random *rand.Rand, conn *connection) bool {
	first, firstText := c.newRequest("one packet, first", random, conn.relay)
	second, secondText := c.newRequest("one packet, second", random, conn.relay)
	if !c.send(conn, first, firstText+secondText) {
		if first.outcome == answered {
			_, err := conn.r.Peek(1)
			if err == nil { // the response announced a close, and yet more data follows
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

// sendPartial sends part of a request and waits: the relay must respond with an error or close the
// connection.
func (c *clients) sendPartial(random *rand.Rand, conn *connection) bool {
	_, text := c.newRequest("half", random, conn.relay)
	c.mu.Lock()
	c.sent = c.sent[:len(c.sent)-1] // an incomplete request is owed no response
	c.mu.Unlock()
	io.WriteString(conn, text[:1+random.IntN(len(text)-1)])
	startedAt := time.Now()
	conn.SetReadDeadline(startedAt.Add(responseTimeout))
	if _, err := io.Copy(io.Discard, conn.r); errors.Is(err, os.ErrDeadlineExceeded) &&
		!c.scenario.killed(conn.relay, conn.incarnation) {
		c.scenario.fail("the connection of an incomplete request stayed open for %v", time.Since(startedAt))
	}
	return false
}

// holdIdleConnections opens connections to a relay, sends nothing and closes them after duration.
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
