package wire

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oatfold/internal/admission"
	"oatfold/internal/drain"
	"oatfold/internal/figures"
	"oatfold/internal/plugin"
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
	if f.advice.Store(0); set.SendRetryAfter {
		f.advice.Store(int64(set.MaxRetryAfter))
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
			if c.state == frontNew || c.state == frontIdle { // one that is ending has its time to read its answer
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
