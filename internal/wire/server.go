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

// Clients require an error or a close within 3 s of connecting when they send no complete request;
// a connection between requests may be closed after 2 s.
const (
	firstByteTimeout        = 2050 * time.Millisecond // first byte on a new connection
	crowdedFirstByteTimeout = 300 * time.Millisecond  // the same while the connection limit is reached
	crowdedPeriod           = 2 * time.Second         // how long the shorter limit applies after an eviction
	evictionInterval        = 20 * time.Millisecond   // between two searches for a connection to evict
	requestReadTimeout      = 2400 * time.Millisecond // for a request, from its first byte; for the first one, from accept
	responseWriteTimeout    = 600 * time.Millisecond  // for a response
	drainGracePeriod        = 30 * time.Millisecond   // for a request already on its way to a draining connection
	lingerTimeout           = 200 * time.Millisecond  // for a client to read its last response and close
	maxLingerBytes          = 256 << 10
	maxAcceptQueueDrain     = 250 * time.Millisecond // from the start of the shutdown
	maxIDBytes              = 256                    // of an id, a key or a tenant
)

// Server is the HTTP server that accepts messages from clients.
type Server struct {
	listener        net.Listener
	events          chan<- any
	classes         atomic.Pointer[map[string]policy.Class]
	tenants         atomic.Pointer[map[string]bool] // by name; empty: tenants are not configured
	log             *slog.Logger
	retryAdvice     atomic.Int64 // Retry-After of rejected requests in nanoseconds; 0: not sent
	plugins         *plugin.Holder
	drainView       atomic.Pointer[drain.View]
	metrics         *figures.Set
	drainingQueue   atomic.Bool   // the accept queue is drained before the listener closes
	readsStopped    atomic.Bool   // no further reads: the process is about to exit
	queueDrainUntil atomic.Int64  // latest end of the accept queue's drain, in nanoseconds since startedAt
	capacityFreed   chan struct{} // signalled when a connection closes or becomes idle

	mu             sync.Mutex
	drainMachine   drain.Machine
	drainTimer     *time.Timer // fires at the drain's next change of view
	startedAt      time.Time
	shutdown       bool // Shutdown was called
	maxConns       int  // limit of open connections
	idleConns      int  // open connections between requests
	keepAlive      admission.Keep
	conns          map[*clientConn]struct{}
	crowdedUntil   time.Time
	lastConnNumber uint32
	accepting      bool                          // the accept loop is running
	onCloseStage   func(*clientConn, closeStage) // test hook; nil otherwise
	trace          trace
}

// NewServer returns a server on ln with a limit of open connections.
func NewServer(ln net.Listener, set *policy.Settings, most int, events chan<- any, log *slog.Logger) *Server {
	f := &Server{listener: ln, events: events, log: log, conns: map[*clientConn]struct{}{}, capacityFreed: make(chan struct{}, 1)}
	f.drainView.Store(&drain.View{})
	f.startedAt = time.Now()
	f.trace.startedAt = f.startedAt
	f.Configure(set, most)
	return f
}

// SetPlugins has plug-ins consulted about each message. It is called before Serve.
func (f *Server) SetPlugins(h *plugin.Holder) { f.plugins = h }

// SetMetrics has rejections and failures at the server counted in s. It is called before Serve.
func (f *Server) SetMetrics(s *figures.Set) { f.metrics = s }

// Configure applies the classes and tenants of set and a limit of open connections, also while
// serving.
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

// Serve accepts connections until the listener is closed.
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
			// Only an Accept that began after the drain started shows that the queue is empty.
			if emptying {
				f.listener.Close()
				return
			}
			continue
		}
		if err != nil {
			// Avoids a busy loop while descriptors are exhausted; the listener keeps the queue.
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
			limit = crowdedFirstByteTimeout // it may have waited in the accept queue
		}
		if f.drainView.Load().Idle {
			limit = min(limit, drain.SilentFor)
		}
		f.setReadDeadline(c, c.stateSince.Add(limit))
		f.mu.Unlock()
		go f.serveConn(c)
	}
}

// waitForCapacity waits until another connection may be accepted. At the limit it evicts
// connections that sent nothing within their time, or else the one that has been idle longest.
func (f *Server) waitForCapacity() {
	waits := time.Time{}
	for !f.drainView.Load().Shut && !f.drainingQueue.Load() {
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

// signalCapacity wakes the accept loop, which may be waiting for capacity.
func (f *Server) signalCapacity() {
	select {
	case f.capacityFreed <- struct{}{}:
	default:
	}
}

// HandleDrainEvent applies an event of the drain and its effects. Safe for concurrent use.
func (f *Server) HandleDrainEvent(e drain.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainMachine.Do(e, time.Since(f.startedAt))
	f.applyDrainView()
}

// applyDrainView applies the drain's current view and schedules the next one. mu must be held.
func (f *Server) applyDrainView() {
	now := time.Since(f.startedAt)
	was, v := f.drainView.Load(), f.drainMachine.View(now)
	if f.shutdown {
		v = drain.View{Stopping: v.Stopping, Close: true, Idle: true, Shut: true}
	}
	f.drainView.Store(&v)
	if v.Shut && !was.Shut {
		// Closing the listener would reset connections in the accept queue, perhaps with a request
		// on them.
		f.drainAcceptQueue()
	}
	if v.Idle && !was.Idle {
		for c := range f.conns {
			if c.state == connNew || c.state == connIdle { // a closing one keeps its time to deliver the last response
				c.sock.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
	if f.drainTimer != nil {
		f.drainTimer.Stop()
	}
	if next := f.drainMachine.Next(now); next > 0 && !f.shutdown {
		f.drainTimer = time.AfterFunc(next, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applyDrainView()
		})
	}
}

// Drained reports whether the operators have drained the relay.
func (f *Server) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainMachine.Failed()
}

// Serving reports whether the server is serving, drained or not, and is not about to stop.
func (f *Server) Serving() bool { return f.drainView.Load().Serving }

// Shutdown drains the accept queue, closes the listener and closes idle connections at once.
// Requests that have begun are answered before their connection closes.
func (f *Server) Shutdown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shutdown = true
	f.applyDrainView()
}

// OpenConnections counts the open connections.
func (f *Server) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Accepting reports whether further connections may be accepted.
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
