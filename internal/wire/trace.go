package wire

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// traceKind is an event of the server.
type traceKind uint8

const (
	traceAccept    traceKind = iota // a: open connections
	traceWait                       // the connection limit is reached; a: new connections, b: idle ones
	traceWaitEnded                  // the wait is over; a: microseconds
	traceFirstByte                  // the first byte of a request; a: microseconds since accept or the last response
	traceAnswer                     // a: status, negative if not written; b: microseconds since the first byte
	traceClose                      // a: its state before; b: microseconds in that state
	traceEvict                      // closed to make capacity; a: its state
)

var traceNames = [...]string{"accept", "wait", "waited", "first", "answer", "close", "give-way"}

// traceCapacity is the number of events kept, about 160 KB.
const traceCapacity = 4096

// traceEvent is an event with two values, which traceKind describes.
type traceEvent struct {
	at   time.Duration // since the server started
	conn uint32
	kind traceKind
	a, b int64
}

// trace keeps the server's last events. Events are formatted only when the trace is written.
type trace struct {
	mu        sync.Mutex
	startedAt time.Time
	next      int
	full      bool
	ring      [traceCapacity]traceEvent
}

// record adds an event, in place of the oldest one if the trace is full.
func (t *trace) record(conn uint32, kind traceKind, a, b int64) {
	at := time.Since(t.startedAt)
	t.mu.Lock()
	t.ring[t.next] = traceEvent{at, conn, kind, a, b}
	if t.next++; t.next == traceCapacity {
		t.next, t.full = 0, true
	}
	t.mu.Unlock()
}

// write prints the kept events, oldest first, as seconds, connection, event and two values.
func (t *trace) write(out io.Writer) error {
	t.mu.Lock()
	var events []traceEvent
	if t.full {
		events = append(events, t.ring[t.next:]...)
	}
	events = append(events, t.ring[:t.next]...)
	t.mu.Unlock()
	w := bufio.NewWriter(out)
	for _, e := range events {
		fmt.Fprintf(w, "trace %.6f c%d %s %d %d\n", e.at.Seconds(), e.conn, traceNames[e.kind], e.a, e.b)
	}
	return w.Flush()
}

// Trace writes the server's last events, one per line. Safe for concurrent use.
func (s *Server) Trace(out io.Writer) error { return s.trace.write(out) }
