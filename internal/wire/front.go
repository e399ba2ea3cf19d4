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
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/policy"
)

// A client that sends nothing of use is owed an error or a close within 3 s of connecting; a connection without an
// open request may be closed after 2 s.
const (
	firstByteTimeout        = 2050 * time.Millisecond // for the first byte on a new connection
	crowdedFirstByteTimeout = 300 * time.Millisecond  // the same, while connections are short
	crowdedPeriod           = 2 * time.Second         // for so long after one had to give way
	evictionInterval        = 20 * time.Millisecond   // between two looks for one that can give way
	requestReadTimeout      = 2400 * time.Millisecond // for a request, from its first byte on; the first: from connecting on
	responseWriteTimeout    = 600 * time.Millisecond  // for an answer
	drainGracePeriod        = 30 * time.Millisecond   // for a request that crosses the end of a connection
	lingerTimeout           = 200 * time.Millisecond  // for a client to read its last answer and close
	maxLingerBytes          = 256 << 10
	maxAcceptQueueDrain     = 250 * time.Millisecond // for the accept queue, from when the listener is to close
	maxIDBytes              = 256                    // bytes of an id or key
)

// Server is the front socket: clients hand in messages here.
type Server struct {
	listener        net.Listener
	events          chan<- any
	classes         atomic.Pointer[map[string]policy.Class]
	tenants         atomic.Pointer[map[string]bool] // by name; empty: the settings name none
	log             *slog.Logger
	retryAdvice     atomic.Int64 // nanoseconds: when refused clients are to come again; 0: none is told
	plugins         *plugin.Holder
	drainView       atomic.Pointer[drain.View]
	metrics         *metrics.Set
	drainingQueue   atomic.Bool   // the accept queue is emptied, then the listener closed
	readsStopped    atomic.Bool   // nothing is read any more: the process is about to end
	queueDrainUntil atomic.Int64  // so long after it began at the latest
	capacityFreed   chan struct{} // told when a connection ends or may give way

	mu             sync.Mutex
	drainMachine   drain.Machine
	drainTimer     *time.Timer // to the drain's next view
	startedAt      time.Time
	shutdown       bool // Drain was called
	maxConns       int  // connections at once
	idleConns      int  // of these, between requests
	keepAlive      admission.KeepAlive
	conns          map[*clientConn]struct{}
	crowdedUntil   time.Time
	lastConnNumber uint32                        // number of the last connection
	accepting      bool                          // the accept loop runs
	onCloseStage   func(*clientConn, closeStage) // nil but in tests
	trace          trace
}

// NewServer returns a front socket on ln that takes at most so many connections at once.
func NewServer(ln net.Listener, set *policy.Settings, most int, events chan<- any, log *slog.Logger) *Server {
	f := &Server{listener: ln, events: events, log: log, conns: map[*clientConn]struct{}{}, capacityFreed: make(chan struct{}, 1)}
	f.drainView.Store(&drain.View{})
	f.startedAt = time.Now()
	f.trace.startedAt = f.startedAt
	f.Configure(set, most)
	return f
}

// SetPlugins has plug-ins asked about each message that comes in. It comes before Serve.
func (f *Server) SetPlugins(h *plugin.Holder) { f.plugins = h }

// SetMetrics has ends that the front socket decides counted in s. It comes before Serve.
func (f *Server) SetMetrics(s *metrics.Set) { f.metrics = s }

// Configure puts the classes of set and a bound of connections in force, also while the front socket serves.
func (f *Server) Configure(set *policy.Settings, most int) {
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
	if f.retryAdvice.Store(0); set.SendRetryAfter {
		f.retryAdvice.Store(int64(set.MaxRetryAfter))
	}
	f.mu.Lock()
	f.maxConns = most
	f.mu.Unlock()
}

// Serve accepts connections until Drain.
func (f *Server) Serve() {
	f.setAccepting(true)
	defer f.setAccepting(false)
	for {
		f.waitForCapacity()
		emptying := f.drainingQueue.Load()
		if emptying {
			f.listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(f.acceptQueueDeadline(time.Now()))
		}
		sock, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Guards against a queue that this goroutine had no time to look at: only a look that began since counts.
			if emptying {
				f.listener.Close()
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
		c := &clientConn{sock: sock, stateSince: time.Now()}
		f.mu.Lock()
		f.lastConnNumber++
		c.number = f.lastConnNumber
		f.conns[c] = struct{}{}
		f.trace.record(c.number, traceAccept, int64(len(f.conns)), 0)
		limit := firstByteTimeout
		if c.stateSince.Before(f.crowdedUntil) {
			limit = crowdedFirstByteTimeout // it may have waited long to be accepted
		}
		if f.drainView.Load().CloseIdle {
			limit = min(limit, drain.FirstRequestTimeout)
		}
		f.setReadDeadline(c, c.stateSince.Add(limit))
		f.mu.Unlock()
		go f.serveConn(c)
	}
}

// waitForCapacity waits until a further connection may be taken. Guards against crowds that connect and say nothing: those
// of them that had their time give way, then the kept connection that has been idle longest.
func (f *Server) waitForCapacity() {
	waits := time.Time{}
	for !f.drainView.Load().StopAccepting && !f.drainingQueue.Load() {
		f.mu.Lock()
		now, short := time.Now(), len(f.conns) >= f.maxConns
		if short {
			var oldest *clientConn
			silent, fresh, idle := 0, 0, 0
			for c := range f.conns {
				switch c.state {
				case connNew:
					fresh++
				case connIdle:
					idle++
				}
				switch {
				case c.state == connNew && now.Sub(c.stateSince) >= crowdedFirstByteTimeout:
					c.sock.SetReadDeadline(time.Unix(1, 0))
					f.trace.record(c.number, traceEvict, int64(c.state), 0)
					silent++
				case c.state == connIdle && (oldest == nil || c.stateSince.Before(oldest.stateSince)):
					oldest = c
				}
			}
			if f.crowdedUntil = now.Add(crowdedPeriod); silent == 0 && oldest != nil {
				oldest.sock.SetReadDeadline(time.Unix(1, 0))
				f.trace.record(oldest.number, traceEvict, int64(oldest.state), 0)
			}
			if waits.IsZero() {
				waits = now
				f.trace.record(0, traceWait, int64(fresh), int64(idle))
			}
		}
		f.mu.Unlock()
		if !short {
			if !waits.IsZero() {
				f.trace.record(0, traceWaitEnded, now.Sub(waits).Microseconds(), 0)
			}
			return
		}
		select {
		case <-f.capacityFreed:
		case <-time.After(evictionInterval):
		}
	}
}

// signalCapacity wakes the accept loop, which may wait for a connection that can give way.
func (f *Server) signalCapacity() {
	select {
	case f.capacityFreed <- struct{}{}:
	default:
	}
}

// HandleDrainEvent takes an event of the drain in, and follows the drain from there on. It may be called on any goroutine.
func (f *Server) HandleDrainEvent(e drain.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainMachine.Handle(e, time.Since(f.startedAt))
	f.applyDrainView()
}

// applyDrainView puts the drain's view in force, and comes back when it changes. It is called with mu held.
func (f *Server) applyDrainView() {
	now := time.Since(f.startedAt)
	was, v := f.drainView.Load(), f.drainMachine.View(now)
	if f.shutdown {
		v = drain.View{Stopping: v.Stopping, CloseAfterResponse: true, CloseIdle: true, StopAccepting: true}
	}
	f.drainView.Store(&v)
	if v.StopAccepting && !was.StopAccepting {
		// Guards against a client whose connection waits to be accepted, perhaps with its request on it: a close would reset it.
		f.drainAcceptQueue()
	}
	if v.CloseIdle && !was.CloseIdle {
		for c := range f.conns {
			if c.state == connNew || c.state == connIdle { // one that is ending has its time to read its answer
				c.sock.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
	if f.drainTimer != nil {
		f.drainTimer.Stop()
	}
	if next := f.drainMachine.NextChange(now); next > 0 && !f.shutdown {
		f.drainTimer = time.AfterFunc(next, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applyDrainView()
		})
	}
}

// Drained tells whether the operators have emptied the relay.
func (f *Server) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainMachine.Draining()
}

// Serving tells whether the front socket serves, drained or not, and is not about to end.
func (f *Server) Serving() bool { return f.drainView.Load().Serving }

// Shutdown empties the accept queue, closes the listener, and ends idle connections at once; what was begun is answered, then its connection ended.
func (f *Server) Shutdown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shutdown = true
	f.applyDrainView()
}

// OpenConnections counts the connections that are still open.
func (f *Server) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Accepting tells whether further connections may still come.
func (f *Server) Accepting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting
}

func (f *Server) setAccepting(on bool) {
	f.mu.Lock()
	f.accepting = on
	f.mu.Unlock()
}
