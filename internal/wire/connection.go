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

// This file is about one connection of a client, from its first byte to its end.

// The states of a client's connection.
type connState int

const (
	connNew     connState = iota // nothing has come yet: a first request on it would fail with a close
	connIdle                     // between requests: may be closed
	connBusy                     // a request has begun: it gets an answer
	connClosing                  // its end is decided: no request is read any more
)

// closeReason says why a client's connection ends, and so what becomes of the bytes that still come on it.
type closeReason int

const (
	staysOpen       closeReason = iota // it does not end
	closedByClient                     // it closed or reset: there is nobody to tell
	closedIdle                         // rested or said nothing for its time, evicted, drained: what comes is left unread
	closedByServer                     // our last answer said so: what comes is left unread
	closedByRequest                    // the client's last request said so: what comes is no request, and is read away
	closedMalformed                    // what came is no request: the rest of it is read away
)

var closeReasonNames = [...]string{"none", "client", "resting", "told to close", "as asked", "bad request"}

func (r closeReason) String() string { return closeReasonNames[r] }

// closeStage is a moment in the end of a client's connection, for tests that force what crosses it.
type closeStage int

const (
	closeDecided closeStage = iota // nothing that comes from here on is taken on
	closeSent                      // our side is closed, the client's is not
	closeDone
)

type clientConn struct {
	number       uint32
	sock         net.Conn
	state        connState // under Front.mu
	stateAtClose connState // the one that its end was decided in
	stateSince   time.Time
}

// beginRequest books that a request has begun, which has to be read by then.
func (f *Server) beginRequest(c *clientConn, readBy time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepAlive.RecordRequest(c.state == connNew, time.Since(f.startedAt))
	f.setState(c, connBusy)
	f.setReadDeadline(c, readBy)
}

// beginIdle books that c is between requests, for as long as it may stay so.
func (f *Server) beginIdle(c *clientConn) {
	f.mu.Lock()
	f.setState(c, connIdle)
	f.setReadDeadline(c, c.stateSince.Add(f.keepAlive.IdleTimeout(f.idleConns, f.maxConns)))
	f.mu.Unlock()
	f.signalCapacity()
}

// setReadDeadline sets until when c is read, unless the end of all reads has come. It is called with mu held.
func (f *Server) setReadDeadline(c *clientConn, until time.Time) {
	if f.readsStopped.Load() {
		until = time.Unix(1, 0)
	}
	c.sock.SetReadDeadline(until)
}

// StopReads has nothing read any more: half a request is answered so, and what was not read is left to be reset. Guards against a request
// that is read as the process ends, and never answered. It comes behind Drain.
func (f *Server) StopReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsStopped.Store(true)
	for c := range f.conns {
		if c.state != connClosing { // that one reads no request, and its time is its client's to read the answer
			c.sock.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// setState is called with mu held.
func (f *Server) setState(c *clientConn, s connState) {
	if c.state == connIdle {
		f.idleConns--
	}
	if c.state, c.stateSince = s, time.Now(); s == connIdle {
		f.idleConns++
	}
}

// serveConn reads one request after the other. A panic ends this connection only.
func (f *Server) serveConn(c *clientConn) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error("panic on a client's connection", "panic", p)
		}
		c.sock.Close()
		f.reportCloseStage(c, closeDone)
		f.mu.Lock()
		delete(f.conns, c)
		if c.state == connIdle {
			f.idleConns--
		}
		if c.state != connClosing {
			c.stateAtClose = c.state
		}
		f.trace.record(c.number, traceClose, int64(c.stateAtClose), time.Since(c.stateSince).Microseconds())
		f.mu.Unlock()
		f.signalCapacity()
	}()
	r, connected := bufio.NewReaderSize(c.sock, readBufferSize), c.stateSince
	for first := true; ; first = false {
		if _, err := r.Peek(1); err != nil && (f.readsStopped.Load() || !errors.Is(err, os.ErrDeadlineExceeded) || !HasUnreadBytes(c.sock)) {
			reason := closedByClient
			if errors.Is(err, os.ErrDeadlineExceeded) {
				reason = closedIdle
			}
			f.closeConn(c, r, reason)
			return
		}
		// Guards against closing an idle connection on which a request has just come in: it is answered.
		f.trace.record(c.number, traceFirstByte, time.Since(c.stateSince).Microseconds(), 0)
		now := time.Now()
		readBy := now.Add(requestReadTimeout)
		if first {
			readBy = connected.Add(requestReadTimeout)
		}
		f.beginRequest(c, readBy)
		if reason := f.handleExchange(&exchange{Conn: c.sock, reader: r, server: f, connNumber: c.number, startedAt: now}); reason != staysOpen {
			f.closeConn(c, r, reason)
			return
		}
		f.beginIdle(c)
		if f.drainView.Load().CloseIdle {
			// Guards against a drain that looked at this connection while it was busy. Its last answer did not say that it closes: the next request
			// may be on the way.
			c.sock.SetReadDeadline(time.Now().Add(drainGracePeriod))
		}
	}
}

// closeConn ends our side of c. What has been read is owed an answer, so nothing that may be a request is read from here on: a client
// whose request crosses the end finds it reset, which tells that nobody read it, and hands it in elsewhere. A reset could overtake the
// last answer, so the connection is closed only once the client has had time to read that and close.
func (f *Server) closeConn(c *clientConn, r *bufio.Reader, reason closeReason) {
	f.mu.Lock()
	was := c.state
	f.setState(c, connClosing)
	c.stateAtClose = was
	f.mu.Unlock()
	f.reportCloseStage(c, closeDecided)
	f.log.Debug("client's connection ends", "connection", c.number, "reason", reason, "buffered", r.Buffered())
	if reason == closedByClient || reason == closedIdle {
		return // the last answer was read, or there was none
	}
	if t, ok := c.sock.(interface{ CloseWrite() error }); !ok || t.CloseWrite() != nil {
		return
	}
	f.reportCloseStage(c, closeSent)
	c.sock.SetReadDeadline(time.Now().Add(lingerTimeout))
	if reason == closedByServer {
		awaitClose(c.sock)
		return
	}
	if n, _ := io.CopyN(io.Discard, r, maxLingerBytes); n > 0 {
		f.log.Debug("bytes of a client read away behind the end of its connection", "connection", c.number, "reason", reason, "bytes", n)
	}
}

// awaitClose waits until the other side has closed, without reading what it sends, or until the read deadline.
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
		return n == 0 && err != syscall.EAGAIN // bytes say nothing of a close: they wait until the deadline
	})
}

func (f *Server) reportCloseStage(c *clientConn, s closeStage) {
	if f.onCloseStage != nil {
		f.onCloseStage(c, s)
	}
}
