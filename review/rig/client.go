package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// message is what a client hands in.
type message struct {
	id, class, key, subject string
	dest                    int
	left                    time.Duration
	body                    []byte
}

// clients hands messages in to one relay over kept connections, more when all are busy.
type clients struct {
	addr string
	rec  *record
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	sock   net.Conn
	reader *bufio.Reader
}

const answerTimeout = 400 * time.Millisecond // a client waits so long for an answer

// handIn hands m in once and returns the status of the answer; 0: none came.
func (c *clients) handIn(m *message) int {
	status, err := c.try(m)
	c.rec.add("hand-in %s class=%s dest=%d subject=%s bytes=%d: %d %v", m.id, m.class, m.dest, m.subject, len(m.body), status, err)
	return status
}

func (c *clients) try(m *message) (int, error) {
	until := time.Now().Add(answerTimeout)
	c.mu.Lock()
	var conn *clientConn
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
	}
	c.mu.Unlock()
	reused := conn != nil
	for {
		if conn == nil {
			sock, err := net.DialTimeout("tcp", c.addr, time.Until(until))
			if err != nil {
				return 0, err
			}
			conn = &clientConn{sock, bufio.NewReader(sock)}
		}
		status, keep, err := conn.roundTrip(c.addr, m, until)
		if err == nil && keep {
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return status, nil
		}
		conn.sock.Close()
		if err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) {
			// The relay's close crossed the request: once more on a new connection.
			conn, reused = nil, false
			continue
		}
		return status, err
	}
}

func (c *clientConn) roundTrip(host string, m *message, until time.Time) (status int, keep bool, err error) {
	path := "/" + m.class
	if m.subject != "" {
		path += "?subject=" + m.subject
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\n",
		path, host, m.id, m.left.Milliseconds(), m.dest)
	if m.key != "" {
		head += "Idempotency-Key: " + m.key + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(m.body))
	c.sock.SetDeadline(until)
	if _, err := c.sock.Write(append([]byte(head), m.body...)); err != nil {
		return 0, false, err
	}
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return a.StatusCode, false, nil
	}
	return a.StatusCode, !a.Close, nil
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.sock.Close()
	}
	c.idle = nil
}
