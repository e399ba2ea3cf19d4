package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// This file handles a client connection, from its first byte to its close.

// connState is the state of a client connection.
type connState int

const (
	connNew     connState = iota // nothing was received yet; a close now would fail a first request on its way
	connIdle                     // between requests; may be closed
	connBusy                     // a request has begun; it is answered
	connClosing                  // closing; no request is read any more
)

// closeReason says why a client connection closes, which decides how bytes that still arrive are
// treated.
type closeReason int

const (
	staysOpen      closeReason = iota // the connection stays open
	closedByClient                    // the client closed or reset it
	closedIdle                        // idle timeout, eviction or drain; bytes that arrive are left unread
	closedByServer                    // the last response said Connection: close; bytes that arrive are left unread
	// the last request said Connection: close; bytes that arrive are no request and are discarded
	closedByRequest
	closedMalformed // the request was malformed; the rest is discarded
)

var closeReasonNames = [...]string{"none", "client", "resting", "closed by server", "closed by request", "bad request"}

// String returns the reason as the log shows it.
func (r closeReason) String() string { return closeReasonNames[r] }

// closeStage is a point in closing a client connection, for tests that force races with it.
type closeStage int

const (
	closeDecided closeStage = iota // no request that arrives from here on is accepted
	closeSent                      // the write side is closed, the client's side is not
	closeDone
)

// clientConn is an open connection of a client.
type clientConn struct {
	number       uint32 // in order of acceptance
	sock         net.Conn
	state        connState // guarded by Server.mu
	evicted      bool      // its reads expired, to free its descriptor; until its next state
	stateAtClose connState // state before connClosing
	stateSince   time.Time
}

// beginRequest marks c as busy with a request that has to be read by then.
func (s *Server) beginRequest(c *clientConn, readBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlive.RecordRequest(c.state == connNew, time.Since(s.startedAt))
	s.setState(c, connBusy)
	s.setReadDeadline(c, readBy)
}

// beginIdle marks c as between requests and sets its idle timeout.
func (s *Server) beginIdle(c *clientConn) {
	s.mu.Lock()
	s.setState(c, connIdle)
	s.setReadDeadline(c, c.stateSince.Add(s.keepAlive.IdleTimeout(s.idleConns, s.maxConns)))
	s.mu.Unlock()
	s.signalCapacity()
}

// setReadDeadline sets c's read deadline, or expires it if reads have stopped. mu must be held.
func (s *Server) setReadDeadline(c *clientConn, until time.Time) {
	if s.readsStopped.Load() {
		until = time.Unix(1, 0)
	}
	c.sock.SetReadDeadline(until)
}

// StopReads expires all reads: a partial request gets an error response, and unread bytes cause a
// reset. It is called after Shutdown, so that no request is read that the exiting process would not
// answer.
func (s *Server) StopReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsStopped.Store(true)
	for c := range s.conns {
		if c.state != connClosing { // it reads no request, and its client may still be reading the response
			c.sock.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// setState changes c's state. mu must be held.
func (s *Server) setState(c *clientConn, state connState) {
	if c.state == connIdle {
		s.idleConns--
	}
	c.evicted = false
	if c.state, c.stateSince = state, time.Now(); state == connIdle {
		s.idleConns++
	}
}

// serveConn handles the requests of one connection in turn. A panic closes only this connection.
func (s *Server) serveConn(c *clientConn) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic on a client connection", "panic", p)
		}
		c.sock.Close()
		s.reportCloseStage(c, closeDone)
		s.mu.Lock()
		delete(s.conns, c)
		if c.state == connIdle {
			s.idleConns--
		}
		if c.state != connClosing {
			c.stateAtClose = c.state
		}
		s.trace.record(c.number, traceClose, int64(c.stateAtClose), time.Since(c.stateSince).Microseconds())
		s.mu.Unlock()
		s.signalCapacity()
	}()
	r, acceptedAt := bufio.NewReaderSize(c.sock, readBufferSize), c.stateSince
	for first := true; ; first = false {
		if _, err := r.Peek(1); err != nil &&
			(s.readsStopped.Load() || !errors.Is(err, os.ErrDeadlineExceeded) || !HasUnreadBytes(c.sock)) {
			reason := closedByClient
			if errors.Is(err, os.ErrDeadlineExceeded) {
				reason = closedIdle
			}
			s.closeConn(c, r, reason)
			return
		}
		// A request that has arrived by the idle timeout is answered.
		s.trace.record(c.number, traceFirstByte, time.Since(c.stateSince).Microseconds(), 0)
		now := time.Now()
		readBy := now.Add(requestReadTimeout)
		if first {
			readBy = acceptedAt.Add(requestReadTimeout)
		}
		s.beginRequest(c, readBy)
		if reason := s.handleExchange(&exchange{
			Conn: c.sock, reader: r, server: s, connNumber: c.number, startedAt: now}); reason != staysOpen {
			s.closeConn(c, r, reason)
			return
		}
		s.beginIdle(c)
		if s.drainView.Load().CloseIdle {
			// The drain skipped this connection while it was busy. Its last response did not
			// announce a close, so the next request may be on its way.
			c.sock.SetReadDeadline(time.Now().Add(drainGracePeriod))
		}
	}
}

// closeConn closes the write side of c and then waits for the client. A request that was read has
// to be answered, so nothing that may be a request is read from here on: the client sees a reset,
// knows that the request was not read, and may retry it elsewhere. A reset may overtake the last
// response, so the socket is closed only after the client had time to read that.
func (s *Server) closeConn(c *clientConn, r *bufio.Reader, reason closeReason) {
	s.mu.Lock()
	previous := c.state
	s.setState(c, connClosing)
	c.stateAtClose = previous
	s.mu.Unlock()
	s.reportCloseStage(c, closeDecided)
	s.log.Debug("closing a client connection", "connection", c.number, "reason", reason, "buffered", r.Buffered())
	if reason == closedByClient || reason == closedIdle {
		return // the client has read the last response, or there was none
	}
	if t, ok := c.sock.(interface{ CloseWrite() error }); !ok || t.CloseWrite() != nil {
		return
	}
	s.reportCloseStage(c, closeSent)
	c.sock.SetReadDeadline(time.Now().Add(lingerTimeout))
	if reason == closedByServer {
		awaitClose(c.sock)
		return
	}
	if n, _ := io.CopyN(io.Discard, r, maxLingerBytes); n > 0 {
		s.log.Debug("discarded bytes on a closing client connection",
			"connection", c.number, "reason", reason, "bytes", n)
	}
}

// awaitClose waits until the peer closes or the read deadline passes, without reading what the peer
// sends.
func awaitClose(sock net.Conn) {
	sc, ok := sock.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	raw.Read(func(fd uintptr) bool {
		n, err := peekAt(int(fd))
		return n == 0 && err != syscall.EAGAIN // pending bytes hide a close, so wait for the deadline
	})
}

// reportCloseStage calls the test hook, if there is one.
func (s *Server) reportCloseStage(c *clientConn, stage closeStage) {
	if s.onCloseStage != nil {
		s.onCloseStage(c, stage)
	}
}
