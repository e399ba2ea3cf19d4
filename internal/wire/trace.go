package wire

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// traceKind is what happened on the front socket.
type traceKind uint8

const (
	traceAccept    traceKind = iota // a: connections that are open now
	traceWait                       // the bound is reached and the next one waits; a: of the open ones, new; b: idle
	traceWaitEnded                  // it waited no longer; a: microseconds
	traceFirstByte                  // the first byte of a request; a: microseconds since the connection was accepted or last answered
	traceAnswer                     // a: status; b: microseconds since the request's first byte
	traceClose                      // a: the state it was in; b: microseconds in that state
	traceEvict                      // it was told to close for others; a: the state it was in
)

var traceNames = [...]string{"accept", "wait", "waited", "first", "answer", "close", "give-way"}

// traceCapacity is how many events are kept. Some 160 KB.
const traceCapacity = 4096

type traceEvent struct {
	at   time.Duration // since the front socket began
	conn uint32
	kind traceKind
	a, b int64
}

// trace keeps the last events of the front socket. It costs a lock and a copy an event; nothing is formatted until it is asked for.
type trace struct {
	mu        sync.Mutex
	startedAt time.Time
	next      int
	full      bool
	ring      [traceCapacity]traceEvent
}

func (t *trace) record(conn uint32, kind traceKind, a, b int64) {
	at := time.Since(t.startedAt)
	t.mu.Lock()
	t.ring[t.next] = traceEvent{at, conn, kind, a, b}
	if t.next++; t.next == traceCapacity {
		t.next, t.full = 0, true
	}
	t.mu.Unlock()
}

// write writes what is kept, the oldest first: seconds, connection, event, and its two figures.
func (t *trace) write(out io.Writer) error {
	t.mu.Lock()
	var all []traceEvent
	if t.full {
		all = append(all, t.ring[t.next:]...)
	}
	all = append(all, t.ring[:t.next]...)
	t.mu.Unlock()
	w := bufio.NewWriter(out)
	for _, e := range all {
		fmt.Fprintf(w, "trace %.6f c%d %s %d %d\n", e.at.Seconds(), e.conn, traceNames[e.kind], e.a, e.b)
	}
	return w.Flush()
}

// Trace writes the last events of the front socket, a line each. It may be called on any goroutine.
func (f *Server) Trace(out io.Writer) error { return f.trace.write(out) }
