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

// ending is how a request ended for its client.
type ending int

const (
	answered  ending = iota
	unread           // reset: nobody has read it, and it may be sent again
	cutByKill        // its relay was killed meanwhile
	unheard          // read, and its connection closed or kept with no answer
)

const (
	answerBy = 8 * time.Second         // a bound for a hang: clients wait 0.4 s, and give up then
	resetBy  = 1500 * time.Millisecond // behind the end of a connection, for the reset that tells that nobody read the rest
)

// request is one that a client sent, and what became of it.
type request struct {
	id, class string
	left      time.Duration
	at        time.Time
	relay     int
	how       string // of its client
	end       ending
	status    int
	why       string
}

// clients hand in at the relays, each in its own way, until they are told to stop. They keep their connections for as long as these stay open.
type clients struct {
	day  *day
	all  sync.WaitGroup
	stop chan struct{}

	mu   sync.Mutex
	sent []*request
	last int
}

// connection is one client's, to one relay.
type connection struct {
	*net.TCPConn
	r     *bufio.Reader
	relay int
	life  int // of the relay, as it was opened
}

func (c *clients) dial(relay int) *connection {
	sock, err := net.Dial("tcp", c.day.relays[relay].Addr)
	if err != nil {
		return nil
	}
	return &connection{sock.(*net.TCPConn), bufio.NewReader(sock), relay, c.day.life(relay)}
}

func (c *clients) note(how string, relay int, class string, left time.Duration) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	r := &request{id: fmt.Sprintf("m%d", c.last), class: class, left: left, at: time.Now(), relay: relay, how: how}
	c.sent = append(c.sent, r)
	return r
}

func (r *request) text(dest int) string {
	body := fmt.Sprintf("%s/%s\n", r.class, r.id)
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: %s\r\nIdempotency-Key: k-%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		r.class, r.id, r.id, r.left.Milliseconds(), dest, len(body), body)
}

// hear reads the answer to r; closes tells that the connection ends with it.
func (c *clients) hear(conn *connection, r *request) (closes bool) {
	conn.SetReadDeadline(time.Now().Add(answerBy))
	res, err := http.ReadResponse(conn.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err == nil {
		r.end, r.status = answered, res.StatusCode
		return res.Close
	}
	c.judge(conn, r, err)
	return true
}

// judge tells what the end of a connection with no answer means for a request that was sent on it.
func (c *clients) judge(conn *connection, r *request, err error) {
	r.why = err.Error()
	switch {
	case c.day.killed(conn.relay, conn.life):
		r.end = cutByKill
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.end = unread
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.end = unheard
	case reset(conn):
		r.end = unread
	case c.day.killed(conn.relay, conn.life):
		r.end = cutByKill
	default:
		r.end = unheard
	}
}

// reset waits for a reset behind the end of a connection.
func reset(conn *connection) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for by := time.Now().Add(resetBy); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		failure := 0
		raw.Control(func(fd uintptr) { failure, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
		if failure != 0 {
			return true
		}
	}
	return false
}

// ways are the ways in which clients use a connection.
var ways = []struct {
	name string
	use  func(*clients, *rand.Rand, *connection) bool // tells whether the connection goes on
}{{"plain", (*clients).plain}, {"crossing", (*clients).crossing}, {"one packet", (*clients).onePacket}, {"half", (*clients).half}}

// run is one client, which hands in until the end.
func (c *clients) run(random *rand.Rand) {
	defer c.all.Done()
	var conn *connection
	way := ways[min(random.IntN(6), len(ways)-1)%len(ways)]
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
			if conn = c.dial(random.IntN(len(c.day.relays))); conn == nil {
				continue
			}
		}
		if !way.use(c, random, conn) {
			conn.Close()
			conn = nil
		}
		if random.IntN(40) == 0 {
			way = ways[random.IntN(len(ways))]
		}
	}
}

func (c *clients) draw(how string, random *rand.Rand, relay int) (*request, string) {
	r := c.note(how, relay, []string{"price-alert", "order-relay", "fee-charge"}[random.IntN(3)], time.Duration(400+random.IntN(3000))*time.Millisecond)
	return r, r.text(1 + random.IntN(dests))
}

// send writes text on which r is due an answer, and reads that.
func (c *clients) send(conn *connection, r *request, text string) (goesOn bool) {
	if _, err := io.WriteString(conn, text); err != nil {
		c.judge(conn, r, err)
		return false
	}
	return !c.hear(conn, r)
}

func (c *clients) plain(random *rand.Rand, conn *connection) bool {
	r, text := c.draw("plain", random, conn.relay)
	return c.send(conn, r, text)
}

// crossing rests until the relay ends the connection, or for a while, and sends all the same: as one that the end has not reached yet.
func (c *clients) crossing(random *rand.Rand, conn *connection) bool {
	if !c.plain(random, conn) && random.IntN(2) == 0 {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(random.IntN(2000)) * time.Millisecond))
	_, err := conn.r.Peek(1)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false // reset: this client knows that it is closed
	}
	r, text := c.draw("crossing", random, conn.relay)
	return c.send(conn, r, text)
}

// onePacket sends two requests at once.
func (c *clients) onePacket(random *rand.Rand, conn *connection) bool {
	one, first := c.draw("one packet, first", random, conn.relay)
	two, second := c.draw("one packet, second", random, conn.relay)
	if !c.send(conn, one, first+second) {
		if one.end == answered {
			_, err := conn.r.Peek(1)
			if err == nil { // said to close, and yet it answers
				c.hear(conn, two)
				return false
			}
			c.judge(conn, two, err)
			return false
		}
		two.end, two.why = one.end, one.why
		return false
	}
	return !c.hear(conn, two)
}

// half stops in the middle of a request and stays: it is owed an error or a close within 3 s.
func (c *clients) half(random *rand.Rand, conn *connection) bool {
	_, text := c.draw("half", random, conn.relay)
	c.mu.Lock()
	c.sent = c.sent[:len(c.sent)-1] // it is no request
	c.mu.Unlock()
	io.WriteString(conn, text[:1+random.IntN(len(text)-1)])
	began := time.Now()
	conn.SetReadDeadline(began.Add(answerBy))
	if _, err := io.Copy(io.Discard, conn.r); errors.Is(err, os.ErrDeadlineExceeded) && !c.day.killed(conn.relay, conn.life) {
		c.day.fail("half a request was kept for %v", time.Since(began))
	}
	return false
}

// crowd connects, says nothing and stays for a while.
func (c *clients) crowd(relay, size int, stay time.Duration) {
	var all []net.Conn
	for range size {
		if conn, err := net.DialTimeout("tcp", c.day.relays[relay].Addr, time.Second); err == nil {
			all = append(all, conn)
		}
	}
	time.Sleep(stay)
	for _, conn := range all {
		conn.Close()
	}
}

func (r *request) String() string {
	return strings.Join([]string{r.id, r.class, r.how, fmt.Sprint("relay ", r.relay), r.why}, ", ")
}
