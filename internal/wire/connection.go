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
type frontState int

const (
	frontNew    frontState = iota // nothing has come yet: a first request on it would fail with a close
	frontIdle                     // between requests: may be closed
	frontBusy                     // a request has begun: it gets an answer
	frontEnding                   // its end is decided: no request is read any more
)

// closeReason says why a client's connection ends, and so what becomes of the bytes that still come on it.
type closeReason int

const (
	staysOpen      closeReason = iota // it does not end
	closedByClient                    // it closed or reset: there is nobody to tell
	closedResting                     // rested or said nothing for its time, evicted, drained: what comes is left unread
	closedByUs                        // our last answer said so: what comes is left unread
	closedAsAsked                     // the client's last request said so: what comes is no request, and is read away
	closedBad                         // what came is no request: the rest of it is read away
)

var closeReasons = [...]string{"none", "client", "resting", "told to close", "as asked", "bad request"}

func (r closeReason) String() string { return closeReasons[r] }

// endStage is a moment in the end of a client's connection, for tests that force what crosses it.
type endStage int

const (
	endDecided endStage = iota // nothing that comes from here on is taken on
	endSaid                    // our side is closed, the client's is not
	endClosed
)

type frontConn struct {
	no    uint32
	sock  net.Conn
	state frontState // under Front.mu
	last  frontState // the one that its end was decided in
	since time.Time
}

// begin books that a request has begun, which has to be read by then.
func (f *Front) begin(c *frontConn, readBy time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keep.Came(c.state == frontNew, time.Since(f.began))
	f.enter(c, frontBusy)
	f.readUntil(c, readBy)
}

// rest books that c is between requests, for as long as it may stay so.
func (f *Front) rest(c *frontConn) {
	f.mu.Lock()
	f.enter(c, frontIdle)
	f.readUntil(c, c.since.Add(f.keep.For(f.idle, f.most)))
	f.mu.Unlock()
	f.tell()
}

// readUntil sets until when c is read, unless the end of all reads has come. It is called with mu held.
func (f *Front) readUntil(c *frontConn, until time.Time) {
	if f.readsOver.Load() {
		until = time.Unix(1, 0)
	}
	c.sock.SetReadDeadline(until)
}

// EndReads has nothing read any more: half a request is answered so, and what was not read is left to be reset. Guards against a request
// that is read as the process ends, and never answered. It comes behind Drain.
func (f *Front) EndReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsOver.Store(true)
	for c := range f.conns {
		if c.state != frontEnding { // that one reads no request, and its time is its client's to read the answer
			c.sock.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// enter is called with mu held.
func (f *Front) enter(c *frontConn, s frontState) {
	if c.state == frontIdle {
		f.idle--
	}
	if c.state, c.since = s, time.Now(); s == frontIdle {
		f.idle++
	}
}

// serve reads one request after the other. A panic ends this connection only.
func (f *Front) serve(c *frontConn) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error("panic on a client's connection", "panic", p)
		}
		c.sock.Close()
		f.ended(c, endClosed)
		f.mu.Lock()
		delete(f.conns, c)
		if c.state == frontIdle {
			f.idle--
		}
		if c.state != frontEnding {
			c.last = c.state
		}
		f.trace.note(c.no, traceClose, int64(c.last), time.Since(c.since).Microseconds())
		f.mu.Unlock()
		f.tell()
	}()
	r, connected := bufio.NewReaderSize(c.sock, maxLine), c.since
	for first := true; ; first = false {
		if _, err := r.Peek(1); err != nil && (f.readsOver.Load() || !errors.Is(err, os.ErrDeadlineExceeded) || !Waiting(c.sock)) {
			reason := closedByClient
			if errors.Is(err, os.ErrDeadlineExceeded) {
				reason = closedResting
			}
			f.finish(c, r, reason)
			return
		}
		// Guards against closing an idle connection on which a request has just come in: it is answered.
		f.trace.note(c.no, traceFirst, time.Since(c.since).Microseconds(), 0)
		now := time.Now()
		readBy := now.Add(readLimit)
		if first {
			readBy = connected.Add(readLimit)
		}
		f.begin(c, readBy)
		if reason := f.carry(&exchange{Conn: c.sock, r: r, f: f, no: c.no, began: now}); reason != staysOpen {
			f.finish(c, r, reason)
			return
		}
		f.rest(c)
		if f.view.Load().Idle {
			// Guards against a drain that looked at this connection while it was busy. Its last answer did not say that it closes: the next request
			// may be on the way.
			c.sock.SetReadDeadline(time.Now().Add(crossLimit))
		}
	}
}

// finish ends our side of c. What has been read is owed an answer, so nothing that may be a request is read from here on: a client
// whose request crosses the end finds it reset, which tells that nobody read it, and hands it in elsewhere. A reset could overtake the
// last answer, so the connection is closed only once the client has had time to read that and close.
func (f *Front) finish(c *frontConn, r *bufio.Reader, reason closeReason) {
	f.mu.Lock()
	was := c.state
	f.enter(c, frontEnding)
	c.last = was
	f.mu.Unlock()
	f.ended(c, endDecided)
	f.log.Debug("client's connection ends", "connection", c.no, "reason", reason, "buffered", r.Buffered())
	if reason == closedByClient || reason == closedResting {
		return // the last answer was read, or there was none
	}
	if t, ok := c.sock.(interface{ CloseWrite() error }); !ok || t.CloseWrite() != nil {
		return
	}
	f.ended(c, endSaid)
	c.sock.SetReadDeadline(time.Now().Add(lingerLimit))
	if reason == closedByUs {
		awaitClose(c.sock)
		return
	}
	if n, _ := io.CopyN(io.Discard, r, lingerBytes); n > 0 {
		f.log.Debug("bytes of a client read away behind the end of its connection", "connection", c.no, "reason", reason, "bytes", n)
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

func (f *Front) ended(c *frontConn, s endStage) {
	if f.ends != nil {
		f.ends(c, s)
	}
}
