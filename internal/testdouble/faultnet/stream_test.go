package faultnet

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
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

// A stream passes, holds back what a cut of either direction stops and lets it go behind it, delays, refuses and breaks what is open; closing it ends all.
func TestStream(t *testing.T) {
	s, err := NewTCPProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", s.Addr)
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
	for _, cut := range []StreamFaults{{BlockOutbound: true}, {BlockInbound: true}, {BlockOutbound: true, BlockInbound: true}} {
		s.SetFaults(cut)
		if got, err := ask(c, r, 100*time.Millisecond); err == nil {
			t.Errorf("%+v: %q comes through", cut, got)
		}
		s.SetFaults(StreamFaults{})
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if got, err := r.ReadString('\n'); got != "x\n" {
			t.Errorf("%+v: %q, %v behind the cut", cut, got, err)
		}
	}
	s.SetFaults(StreamFaults{Delay: 30 * time.Millisecond})
	began := time.Now()
	if got, err := ask(c, r, 20*time.Second); got != "x\n" || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%q, %v after %v", got, err, time.Since(began))
	}
	s.SetFaults(StreamFaults{Refuse: true})
	if got, err := ask(c, r, 20*time.Second); err == nil {
		t.Errorf("an open connection still says %q", got)
	}
	if c, err := net.Dial("tcp", s.Addr); err == nil { // the reset may come before the dial has returned
		if got, err := ask(c, bufio.NewReader(c), 20*time.Second); err == nil {
			t.Errorf("a new one says %q", got)
		}
		c.Close()
	}
	s.SetFaults(StreamFaults{})
	c, r = dial()
	if got, err := ask(c, r, 20*time.Second); got != "x\n" || s.ConnectionCount() != 3 {
		t.Errorf("%q, %v, %d opened", got, err, s.ConnectionCount())
	}
	s.SetFaults(StreamFaults{BlockOutbound: true}) // closing waits for nothing that is held back
}
