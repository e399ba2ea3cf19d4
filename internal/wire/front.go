package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatfold/internal/admission"
	"oatfold/internal/drain"
	"oatfold/internal/figures"
	"oatfold/internal/memory"
	"oatfold/internal/plugin"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// A client that sends nothing of use is owed an error or a close within 3 s of connecting; a connection without an
// open request may be closed after 2 s.
const (
	silentLimit = 2050 * time.Millisecond // for the first byte on a new connection
	crowdLimit  = 300 * time.Millisecond  // the same, while connections are short
	crowdSpan   = 2 * time.Second         // for so long after one had to give way
	roomTurn    = 20 * time.Millisecond   // between two looks for one that can give way
	readLimit   = 2400 * time.Millisecond // for a request, from its first byte on; the first: from connecting on
	writeLimit  = 600 * time.Millisecond  // for an answer
	crossLimit  = 30 * time.Millisecond   // for a request that crosses the end of a connection
	lingerLimit = 200 * time.Millisecond  // for a client to read its last answer and close
	lingerBytes = 256 << 10
	emptyMost   = 250 * time.Millisecond // for the accept queue, from when the listener is to close
	maxID       = 256                    // bytes of an id or key
)

// Front is the front socket: clients hand in messages here.
type Front struct {
	ln        net.Listener
	events    chan<- any
	classes   atomic.Pointer[map[string]policy.Class]
	tenants   atomic.Pointer[map[string]bool] // by name; empty: the settings name none
	log       *slog.Logger
	advice    atomic.Int64 // nanoseconds: when refused clients are to come again; 0: none is told
	plugins   *plugin.Holder
	view      atomic.Pointer[drain.View]
	figures   *figures.Set
	emptying  atomic.Bool   // the accept queue is emptied, then the listener closed
	readsOver atomic.Bool   // nothing is read any more: the process is about to end
	emptyTil  atomic.Int64  // so long after it began at the latest
	free      chan struct{} // told when a connection ends or may give way

	mu       sync.Mutex
	drain    drain.Machine
	turning  *time.Timer // to the drain's next view
	began    time.Time
	shut     bool // Drain was called
	most     int  // connections at once
	idle     int  // of these, between requests
	keep     admission.Keep
	conns    map[*frontConn]struct{}
	crowdTil time.Time
	last     uint32                     // number of the last connection
	serving  bool                       // the accept loop runs
	ends     func(*frontConn, endStage) // nil but in tests
	trace    trace
}

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

// handIn asks the host to take a message on.
type handIn struct {
	msg   *memory.Message
	reply chan verdict
}

// verdict is what the host says: taken, taken before, for no destination there is, or refused.
type verdict struct {
	taken, known, nowhere bool
	retry                 time.Duration
}

// handedIn tells the host that the client was answered, or could not be.
type handedIn struct {
	num  uint32
	told bool
}

// NewFront returns a front socket on ln that takes at most so many connections at once.
func NewFront(ln net.Listener, set *policy.Settings, most int, events chan<- any, log *slog.Logger) *Front {
	f := &Front{ln: ln, events: events, log: log, conns: map[*frontConn]struct{}{}, free: make(chan struct{}, 1)}
	f.view.Store(&drain.View{})
	f.began = time.Now()
	f.trace.began = f.began
	f.Configure(set, most)
	return f
}

// Plug has plug-ins asked about each message that comes in. It comes before Serve.
func (f *Front) Plug(h *plugin.Holder) { f.plugins = h }

// Count has ends that the front socket decides counted in s. It comes before Serve.
func (f *Front) Count(s *figures.Set) { f.figures = s }

// Configure puts the classes of set and a bound of connections in force, also while the front socket serves.
func (f *Front) Configure(set *policy.Settings, most int) {
	classes := map[string]policy.Class{}
	for _, c := range set.Classes {
		classes[c.Name] = c
	}
	f.classes.Store(&classes)
	tenants := map[string]bool{}
	for _, t := range set.Tenants {
		tenants[t.Name] = true
	}
	f.tenants.Store(&tenants)
	if f.advice.Store(0); set.RetryAdvice {
		f.advice.Store(int64(set.MaxRetryAdvice))
	}
	f.mu.Lock()
	f.most = most
	f.mu.Unlock()
}

// Serve accepts connections until Drain.
func (f *Front) Serve() {
	f.accepts(true)
	defer f.accepts(false)
	for {
		f.makeRoom()
		emptying := f.emptying.Load()
		if emptying {
			f.ln.(interface{ SetDeadline(time.Time) error }).SetDeadline(f.emptyBy(time.Now()))
		}
		sock, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Guards against a queue that this goroutine had no time to look at: only a look that began since counts.
			if emptying {
				f.ln.Close()
				return
			}
			continue
		}
		if err != nil {
			// Guards against a spin while descriptors are short: the listener keeps what waits.
			f.log.Warn("accept failed", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c := &frontConn{sock: sock, since: time.Now()}
		f.mu.Lock()
		f.last++
		c.no = f.last
		f.conns[c] = struct{}{}
		f.trace.note(c.no, traceAccept, int64(len(f.conns)), 0)
		limit := silentLimit
		if c.since.Before(f.crowdTil) {
			limit = crowdLimit // it may have waited long to be accepted
		}
		if f.view.Load().Idle {
			limit = min(limit, drain.SilentFor)
		}
		f.readUntil(c, c.since.Add(limit))
		f.mu.Unlock()
		go f.serve(c)
	}
}

// makeRoom waits until a further connection may be taken. Guards against crowds that connect and say nothing: those
// of them that had their time give way, then the kept connection that has been idle longest.
func (f *Front) makeRoom() {
	waits := time.Time{}
	for !f.view.Load().Shut && !f.emptying.Load() {
		f.mu.Lock()
		now, short := time.Now(), len(f.conns) >= f.most
		if short {
			var oldest *frontConn
			silent, fresh, idle := 0, 0, 0
			for c := range f.conns {
				switch c.state {
				case frontNew:
					fresh++
				case frontIdle:
					idle++
				}
				switch {
				case c.state == frontNew && now.Sub(c.since) >= crowdLimit:
					c.sock.SetReadDeadline(time.Unix(1, 0))
					f.trace.note(c.no, traceGiveWay, int64(c.state), 0)
					silent++
				case c.state == frontIdle && (oldest == nil || c.since.Before(oldest.since)):
					oldest = c
				}
			}
			if f.crowdTil = now.Add(crowdSpan); silent == 0 && oldest != nil {
				oldest.sock.SetReadDeadline(time.Unix(1, 0))
				f.trace.note(oldest.no, traceGiveWay, int64(oldest.state), 0)
			}
			if waits.IsZero() {
				waits = now
				f.trace.note(0, traceWait, int64(fresh), int64(idle))
			}
		}
		f.mu.Unlock()
		if !short {
			if !waits.IsZero() {
				f.trace.note(0, traceGone, now.Sub(waits).Microseconds(), 0)
			}
			return
		}
		select {
		case <-f.free:
		case <-time.After(roomTurn):
		}
	}
}

// tell wakes the accept loop, which may wait for a connection that can give way.
func (f *Front) tell() {
	select {
	case f.free <- struct{}{}:
	default:
	}
}

// Turn takes an event of the drain in, and follows the drain from there on. It may be called on any goroutine.
func (f *Front) Turn(e drain.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drain.Do(e, time.Since(f.began))
	f.follow()
}

// follow puts the drain's view in force, and comes back when it changes. It is called with mu held.
func (f *Front) follow() {
	now := time.Since(f.began)
	was, v := f.view.Load(), f.drain.View(now)
	if f.shut {
		v = drain.View{Stopping: v.Stopping, Close: true, Idle: true, Shut: true}
	}
	f.view.Store(&v)
	if v.Shut && !was.Shut {
		// Guards against a client whose connection waits to be accepted, perhaps with its request on it: a close would reset it.
		f.empty()
	}
	if v.Idle && !was.Idle {
		for c := range f.conns {
			if c.state != frontBusy {
				c.sock.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
	if f.turning != nil {
		f.turning.Stop()
	}
	if next := f.drain.Next(now); next > 0 && !f.shut {
		f.turning = time.AfterFunc(next, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.follow()
		})
	}
}

// Drained tells whether the operators have emptied the relay.
func (f *Front) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drain.Failed()
}

// Serving tells whether the front socket serves, drained or not, and is not about to end.
func (f *Front) Serving() bool { return f.view.Load().Serving }

// Drain empties the accept queue, closes the listener, and ends idle connections at once; what was begun is answered, then its connection ended.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shut = true
	f.follow()
}

// Busy counts the connections that are still open.
func (f *Front) Busy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Accepting tells whether further connections may still come.
func (f *Front) Accepting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serving
}

func (f *Front) accepts(on bool) {
	f.mu.Lock()
	f.serving = on
	f.mu.Unlock()
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
	io.CopyN(io.Discard, r, lingerBytes)
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

// one reads and answers one request; it tells whether the connection ends with it, and why.
func (f *Front) one(x *exchange) closeReason {
	h, err := readHead(x.r)
	if err != nil {
		return f.bad(x, err)
	}
	method, target, version := h.line[0], h.line[1], h.line[2]
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return f.bad(x, errLine)
	}
	length, chunked, err := h.framing()
	if err != nil {
		return f.bad(x, err)
	}
	if strings.EqualFold(h.get("Expect"), "100-continue") {
		x.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := readBody(x.r, length, chunked, maxBody)
	if err != nil {
		return f.bad(x, err)
	}
	x.last = h.closes(version)
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "GET" && path == "/ready":
		if f.view.Load().Ready {
			return x.reply(200, 0, nil)
		}
		return x.reply(503, 0, nil)
	case method != "POST":
		return x.reply(405, 0, nil)
	}
	m, left, err := f.message(h, path, query, body)
	if err != nil {
		f.log.Debug("request refused", "err", err)
		return x.reply(400, 0, err)
	}
	if a := f.ask(m, left); a.Verdict == abi.Reject {
		f.figures.Ended(m.Class, figures.Failed)
		return x.reply(422, 0, errors.New(a.Reason))
	} else if a.Verdict == abi.Refuse {
		advice := time.Duration(f.advice.Load())
		if a.Wait > 0 {
			advice = min(a.Wait, advice)
		}
		f.figures.Ended(m.Class, figures.TurnedAway)
		// Not 503: that says that the relay is full, and would keep its client from handing in anything else.
		return x.reply(429, advice, nil)
	}
	return f.take(x, m, x.began.Add(left))
}

// ask asks plug-ins about a message that comes in, on its connection's goroutine.
func (f *Front) ask(m *memory.Message, left time.Duration) plugin.Advice {
	set := f.plugins.Use()
	if set == nil {
		return plugin.Advice{Verdict: abi.Take}
	}
	defer set.Done()
	a := set.HandIn(&plugin.Message{Class: m.Class, ID: m.ID, Key: m.Key, Dest: m.Dest, Attempt: -1, Left: left, Body: m.Body})
	m.Notes = a.Notes
	return a
}

// take has the host take m on, answers the client and tells the host that it may begin.
func (f *Front) take(x *exchange, m *memory.Message, until time.Time) closeReason {
	m.Deadline = until
	reply := make(chan verdict, 1)
	f.events <- handIn{m, reply}
	v := <-reply
	if v.nowhere {
		f.figures.Ended(m.Class, figures.Failed)
		return x.reply(400, 0, fieldError("dest in Envelope: no such destination"))
	}
	if !v.taken {
		status := 503
		if v.known {
			status = 202
		} else {
			f.figures.Ended(m.Class, figures.TurnedAway)
		}
		return x.reply(status, v.retry, nil)
	}
	reason := x.reply(202, 0, nil)
	f.events <- handedIn{m.Num, reason != closedByClient}
	return reason
}

// fieldError names what a hand-in lacks or has in a form that can't be read.
type fieldError string

func (e fieldError) Error() string { return "missing or malformed: " + string(e) }

// unknownError names a class or tenant that the settings do not have.
type unknownError struct{ what, name string }

// Error shows at most 64 characters of the name, which the client chose.
func (e unknownError) Error() string {
	return fmt.Sprintf("unknown %s %.64q: the settings do not have it", e.what, e.name)
}

// message reads what the client hands in, and how long it may take.
func (f *Front) message(h *head, path, query string, body []byte) (*memory.Message, time.Duration, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := (*f.classes.Load())[name]
	id, badID := h.only("X-Correlation-Id")
	key, badKey := h.only("Idempotency-Key")
	text, badLeft := h.only("X-Time-Left-Ms")
	left, err := number(text)
	envelope, badDest := h.only("Envelope")
	dest := -1
	for _, part := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			if n, err := number(v); err != nil || dest >= 0 && n != dest {
				badDest = errTwice
			} else {
				dest = n
			}
		}
	}
	tenant, badTenant := h.only("X-Account")
	tenants := *f.tenants.Load()
	if len(tenants) == 0 {
		tenant, badTenant = "", nil // whatever it is, it is no name of ours
	}
	values, badQuery := url.ParseQuery(query)
	subject := values.Get("subject")
	limit := time.Duration(min(left, maxLeftMs)) * time.Millisecond // Guards against a figure that overflows
	switch {
	case !known:
		return nil, 0, unknownError{"class", name}
	case badID != nil || id == "" || len(id) > maxID || !plain(id):
		return nil, 0, fieldError("X-Correlation-Id")
	case badKey != nil || len(key) > maxID || !plain(key) || class.Effect == policy.Keyed && key == "":
		return nil, 0, fieldError("Idempotency-Key") // without it a repeat would not be dropped
	case badLeft != nil || err != nil || limit > leftSlack*class.Deadline:
		return nil, 0, fieldError("X-Time-Left-Ms")
	case badDest != nil || dest < 0:
		return nil, 0, fieldError("dest in Envelope")
	case badTenant != nil || len(tenant) > maxID || !plain(tenant):
		return nil, 0, fieldError("X-Account")
	case tenant != "" && !tenants[tenant]:
		return nil, 0, unknownError{"tenant", tenant} // a hand-in without one is nobody's share
	case class.Ordered && (badQuery != nil || len(values["subject"]) > 1 || len(subject) > maxID):
		return nil, 0, fieldError("subject in the query") // read as another, it would overtake its own
	}
	m := &memory.Message{ID: id, Class: name, Key: key, Dest: dest, Body: body}
	if m.Effect, m.Tenant = class.Effect, tenant; class.Effect == policy.Keyed {
		m.Window, m.ZoneOnly = class.Window, class.ZoneOnly
	}
	if class.Ordered {
		m.Subject = subject
	}
	return m, min(limit, class.Deadline), nil
}

const (
	maxLeftMs = 1 << 40
	leftSlack = 2 // times the class's deadline: no client has longer, also where a reload shortens it
)

// plain tells whether s is visible ASCII. Guards against an id or a key that an endpoint can't read, which would
// close on whatever else waits on that connection.
func plain(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
