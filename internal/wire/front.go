package wire

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oatfold/internal/memory"
	"oatfold/policy"
)

const (
	readLimit   = 5 * time.Second // for a request, from its first byte on
	writeLimit  = 2 * time.Second // for an answer
	lingerLimit = 200 * time.Millisecond
	lingerBytes = 256 << 10
	maxID       = 256 // bytes of an id or key
)

// Front is the front socket: clients hand in messages here.
type Front struct {
	ln      net.Listener
	events  chan<- any
	classes map[string]*policy.Class
	log     *slog.Logger
	most    int // connections at once
	ready   atomic.Bool
	closing atomic.Bool

	mu    sync.Mutex
	conns map[*frontConn]struct{}
	free  *sync.Cond
}

// The states of a client's connection.
type frontState int

const (
	frontIdle frontState = iota // between requests: may be closed
	frontBusy                   // a request has begun: it gets an answer
)

type frontConn struct {
	sock  net.Conn
	state frontState // under Front.mu
	since time.Time
}

// handIn asks the host to take a message on.
type handIn struct {
	msg   *memory.Message
	reply chan verdict
}

// verdict is what the host says: taken, taken before, or refused.
type verdict struct {
	taken, known bool
	retry        time.Duration
}

// handedIn tells the host that the client was answered, or could not be.
type handedIn struct {
	num  uint32
	told bool
}

// NewFront returns a front socket on ln that takes at most so many connections at once.
func NewFront(ln net.Listener, set *policy.Settings, most int, events chan<- any, log *slog.Logger) *Front {
	f := &Front{ln: ln, events: events, classes: map[string]*policy.Class{}, log: log, most: most,
		conns: map[*frontConn]struct{}{}}
	f.free = sync.NewCond(&f.mu)
	for i := range set.Classes {
		f.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	return f
}

// Serve accepts connections until Drain.
func (f *Front) Serve() {
	for {
		f.makeRoom()
		sock, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Guards against a spin while descriptors are short: the listener keeps what waits.
			f.log.Warn("accept failed", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c := &frontConn{sock: sock, since: time.Now()}
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		go f.serve(c)
	}
}

// makeRoom waits until a further connection may be taken; one that has been idle longest gives way.
func (f *Front) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.conns) >= f.most && !f.closing.Load() {
		var oldest *frontConn
		for c := range f.conns {
			if c.state == frontIdle && (oldest == nil || c.since.Before(oldest.since)) {
				oldest = c
			}
		}
		if oldest != nil {
			oldest.sock.SetReadDeadline(time.Unix(1, 0))
		}
		f.free.Wait()
	}
}

// Ready says whether GET /ready is answered with 200.
func (f *Front) Ready(yes bool) { f.ready.Store(yes) }

// Drain closes the listener and idle connections; what was begun is answered, then its connection closed.
func (f *Front) Drain() {
	f.closing.Store(true)
	f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.state == frontIdle {
			c.sock.SetReadDeadline(time.Unix(1, 0))
		}
	}
	f.free.Broadcast()
}

// Busy counts the connections that are still open.
func (f *Front) Busy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *Front) enter(c *frontConn, s frontState) {
	f.mu.Lock()
	c.state, c.since = s, time.Now()
	if s == frontIdle {
		f.free.Signal() // the accept loop may wait for one that can give way
	}
	f.mu.Unlock()
}

// serve reads one request after the other. A panic ends this connection only.
func (f *Front) serve(c *frontConn) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error("panic on a client's connection", "panic", p)
		}
		c.sock.Close()
		f.mu.Lock()
		delete(f.conns, c)
		f.free.Signal()
		f.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c.sock, maxLine)
	for {
		if _, err := r.Peek(1); err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && waiting(c.sock)) {
			return // closed by the client, or by us while idle: nothing was read
		}
		// Guards against closing an idle connection on which a request has just come in: it is answered.
		f.enter(c, frontBusy)
		c.sock.SetReadDeadline(time.Now().Add(readLimit))
		if !f.one(c.sock, r, time.Now()) || f.closing.Load() {
			return
		}
		f.enter(c, frontIdle)
		if c.sock.SetReadDeadline(time.Time{}); f.closing.Load() {
			return // Guards against a drain that looked at this connection while it was busy
		}
	}
}

// one reads and answers one request; it tells whether the connection goes on.
func (f *Front) one(sock net.Conn, r *bufio.Reader, began time.Time) bool {
	h, err := readHead(r)
	if err != nil {
		return f.bad(sock, r, err)
	}
	method, target, version := h.line[0], h.line[1], h.line[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return f.bad(sock, r, errLine)
	}
	length, chunked, err := h.framing()
	if err != nil {
		return f.bad(sock, r, err)
	}
	if strings.EqualFold(h.get("Expect"), "100-continue") {
		sock.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(r, length, chunked, maxBody)
	if err != nil {
		return f.bad(sock, r, err)
	}
	keep := !h.closes(version)
	path, _, _ := strings.Cut(target, "?")
	switch {
	case method == "GET" && path == "/ready":
		if f.ready.Load() && !f.closing.Load() {
			return f.reply(sock, 200, 0, keep, nil) == nil && keep
		}
		return f.reply(sock, 503, 0, keep, nil) == nil && keep
	case method != "POST":
		return f.reply(sock, 405, 0, keep, nil) == nil && keep
	}
	m, left, err := f.message(h, path, body)
	if err != nil {
		f.log.Debug("request refused", "err", err)
		return f.reply(sock, 400, 0, keep, err) == nil && keep
	}
	return f.take(sock, m, began.Add(left), keep)
}

// take has the host take m on, answers the client and tells the host that it may begin.
func (f *Front) take(sock net.Conn, m *memory.Message, until time.Time, keep bool) bool {
	m.Deadline = until
	reply := make(chan verdict, 1)
	f.events <- handIn{m, reply}
	v := <-reply
	if !v.taken {
		status := 503
		if v.known {
			status = 202
		}
		return f.reply(sock, status, v.retry, keep, nil) == nil && keep
	}
	err := f.reply(sock, 202, 0, keep, nil)
	f.events <- handedIn{m.Num, err == nil}
	return err == nil && keep
}

// fieldError names what a hand-in lacks or has in a form that can't be read.
type fieldError string

func (e fieldError) Error() string { return "missing or malformed: " + string(e) }

// message reads what the client hands in, and how long it may take.
func (f *Front) message(h *head, path string, body []byte) (*memory.Message, time.Duration, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class := f.classes[name]
	id, key := h.get("X-Correlation-Id"), h.get("Idempotency-Key")
	left, err := number(h.get("X-Time-Left-Ms"))
	dest, known := 0, false
	for _, part := range strings.FieldsFunc(h.get("Envelope"), func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := number(v)
			dest, known = n, err == nil
		}
	}
	switch {
	case class == nil:
		return nil, 0, fieldError("class in the path")
	case id == "" || len(id) > maxID:
		return nil, 0, fieldError("X-Correlation-Id")
	case len(key) > maxID || class.Effect == policy.Keyed && key == "":
		return nil, 0, fieldError("Idempotency-Key") // without it a repeat would not be dropped
	case err != nil:
		return nil, 0, fieldError("X-Time-Left-Ms")
	case !known:
		return nil, 0, fieldError("dest in Envelope")
	}
	// Guards against a figure that overflows, and against one beyond the class's patience.
	limit := min(time.Duration(min(left, int(time.Hour.Milliseconds())))*time.Millisecond, class.Deadline)
	return &memory.Message{ID: id, Class: name, Key: key, Dest: dest, Body: body}, limit, nil
}

// bad ends a connection on which the request could not be read; where the client still listens, it is told.
func (f *Front) bad(sock net.Conn, r *bufio.Reader, err error) bool {
	status := 0
	switch {
	case errors.Is(err, errLine), errors.Is(err, errHeader), errors.Is(err, errLength):
		status = 400
	case errors.Is(err, errTooLong):
		status = 413
	case errors.Is(err, errHead):
		status = 431
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	}
	if status != 0 && f.reply(sock, status, 0, false, err) == nil {
		// Guards against a reset that overtakes the answer: what the client still sends is read away.
		if t, ok := sock.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		sock.SetReadDeadline(time.Now().Add(lingerLimit))
		io.CopyN(io.Discard, r, lingerBytes)
	}
	return false
}

var reasons = map[int]string{200: "OK", 202: "Accepted", 400: "Bad Request", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable"}

// reply answers with a status, advice when to come again if there is any, and for a bad request what was wrong.
func (f *Front) reply(sock net.Conn, status int, retry time.Duration, keep bool, wrong error) error {
	b := make([]byte, 0, 128)
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reasons[status]...), "\r\n"...)
	if retry > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	if !keep || f.closing.Load() {
		b = appendField(b, "Connection", "close")
	}
	text := ""
	if wrong != nil {
		text = wrong.Error() + "\n"
	}
	sock.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := sock.Write(append(appendLength(b, len(text)), text...))
	return err
}
