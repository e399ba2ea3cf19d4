package faultnet

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer returns the address of a server that sends back what it receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// The proxy forwards data, holds blocked data back until the block ends, delays data and resets
// connections; Close does not wait for blocked data.
func TestTCPProxy(t *testing.T) {
	proxy, err := NewTCPProxy(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", proxy.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	ask := func(c net.Conn, r *bufio.Reader, within time.Duration) (string, error) {
		c.SetDeadline(time.Now().Add(within))
		if _, err := io.WriteString(c, "x\n"); err != nil {
			return "", err
		}
		return r.ReadString('\n')
	}
	c, r := dial()
	if got, err := ask(c, r, 20*time.Second); got != "x\n" {
		t.Fatal(got, err)
	}
	for _, faults := range []StreamFaults{
		{BlockOutbound: true}, {BlockInbound: true}, {BlockOutbound: true, BlockInbound: true},
	} {
		proxy.SetFaults(faults)
		if got, err := ask(c, r, 100*time.Millisecond); err == nil {
			t.Errorf("%+v: %q passes", faults, got)
		}
		proxy.SetFaults(StreamFaults{})
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if got, err := r.ReadString('\n'); got != "x\n" {
			t.Errorf("%+v: %q, %v after the block", faults, got, err)
		}
	}
	proxy.SetFaults(StreamFaults{Delay: 30 * time.Millisecond})
	startedAt := time.Now()
	if got, err := ask(c, r, 20*time.Second); got != "x\n" || time.Since(startedAt) < 60*time.Millisecond {
		t.Errorf("%q, %v after %v", got, err, time.Since(startedAt))
	}
	proxy.SetFaults(StreamFaults{Refuse: true})
	if got, err := ask(c, r, 20*time.Second); err == nil {
		t.Errorf("an open connection still answers %q", got)
	}
	if c, err := net.Dial("tcp", proxy.Addr); err == nil { // the reset may come before the dial has returned
		if got, err := ask(c, bufio.NewReader(c), 20*time.Second); err == nil {
			t.Errorf("a new connection answers %q", got)
		}
		c.Close()
	}
	proxy.SetFaults(StreamFaults{})
	c, r = dial()
	if got, err := ask(c, r, 20*time.Second); got != "x\n" || proxy.ConnectionCount() != 3 {
		t.Errorf("%q, %v, %d opened", got, err, proxy.ConnectionCount())
	}
	proxy.SetFaults(StreamFaults{BlockOutbound: true}) // Close must not wait for blocked data
}
