package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Every request that the relay reads is answered; one that it does not read is reset, so that the
// client may retry it. Prevents requests that are read and discarded while a connection is being
// closed: on an idle connection, on one that has sent nothing yet, and for two requests in one
// packet.
func TestEveryReadRequestIsAnswered(t *testing.T) {
	t.Run("idle connection", func(t *testing.T) {
		env := newTestEnv(t)
		cmd := env.start()
		c, r := env.dial("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if status := readStatus(r); status != "200" {
			t.Fatalf("answered %s", status)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		sendAfterClose(t, c, r, messageRequest("order-relay", "crosses", "99", 19000))
	})
	t.Run("new connection", func(t *testing.T) {
		env := newTestEnv(t)
		env.start()
		c, r := env.dial("")
		sendAfterClose(t, c, r, messageRequest("order-relay", "crosses", "99", 19000))
	})
	t.Run("one packet", func(t *testing.T) {
		env := newTestEnv(t)
		cmd := env.start()
		// Its request has begun when the relay stops, so the connection stays open until it is
		// answered.
		first, second := messageRequest("order-relay", "first", "99", 19000),
			messageRequest("order-relay", "second", "99", 19000)
		c, r := env.dial(first[:1])
		idle, idleReader := env.dial("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if status := readStatus(idleReader); status != "200" {
			t.Fatalf("answered %s", status)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		io.Copy(io.Discard, idleReader) // idle connections are closed: from now on each reply closes its connection
		idle.Close()
		io.WriteString(c, first[1:]+second)
		for _, name := range []string{"first", "second"} {
			if status := readStatus(r); status != "202" && status != "503" {
				t.Errorf("the %s of two requests in one packet was answered %q", name, status)
			}
		}
	})
}

// dial connects to the relay and sends the first bytes of a client.
func (e *testEnv) dial(first string) (*net.TCPConn, *bufio.Reader) {
	e.t.Helper()
	c, err := net.Dial("tcp", e.listen)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(c, first)
	return c.(*net.TCPConn), bufio.NewReader(c)
}

// readStatus reads one reply and returns its status, or the error.
func readStatus(r *bufio.Reader) string {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err.Error()
	}
	io.Copy(io.Discard, res.Body)
	return fmt.Sprint(res.StatusCode)
}

// sendAfterClose sends a request after the relay has closed its side, as a client does that has not
// seen the close yet, and expects a reset: this is how TCP says that the request was not read.
func sendAfterClose(t *testing.T, c *net.TCPConn, r *bufio.Reader, request string) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Fatalf("%q, %v: want EOF", rest, err)
	}
	if _, err := io.WriteString(c, request); err != nil && !strings.Contains(err.Error(), "reset") &&
		!strings.Contains(err.Error(), "broken pipe") {
		t.Fatal(err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for range 2000 { // bounds the wait: a reset takes no longer than the end of the connection
		var failure int
		raw.Control(func(fd uintptr) {
			failure, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if err != nil {
			t.Fatal(err)
		}
		if failure != 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the request was read, and its connection closed without a reply")
}
