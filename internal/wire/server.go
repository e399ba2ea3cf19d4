package wire

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oatfold/internal/admission"
	"oatfold/internal/drain"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/policy"
)

// Clients require an error or a close within 3 s of connecting when they send no complete request;
// a connection between requests may be closed after 2 s.
const (
	firstByteTimeout        = 2050 * time.Millisecond // first byte on a new connection
	crowdedFirstByteTimeout = 300 * time.Millisecond  // the same while the connection limit is reached
	// for a request, from its first byte; for the first one, from accept
	requestReadTimeout   = 2400 * time.Millisecond
	responseWriteTimeout = 600 * time.Millisecond // for a response
	drainGracePeriod     = 30 * time.Millisecond  // for a request already on its way to a draining connection
	lingerTimeout        = 200 * time.Millisecond // for a client to read its last response and close
	maxLingerBytes       = 256 << 10              // discarded from a closing connection
	maxIDBytes           = 256                    // of an id, a key or a tenant
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
	metrics         *metrics.Set
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
	keepAlive      admission.KeepAlive
	conns          map[*clientConn]struct{}
	crowdedUntil   time.Time
	lastConnNumber uint32
	accepting      bool                          // the accept loop is running
	onCloseStage   func(*clientConn, closeStage) // test hook; nil otherwise
	trace          trace
}

// NewServer returns a server on listener with a limit of open connections.
func NewServer(listener net.Listener, settings *policy.Settings, maxConns int, events chan<- any,
	log *slog.Logger) *Server {
	s := &Server{listener: listener, events: events, log: log, conns: map[*clientConn]struct{}{},
		capacityFreed: make(chan struct{}, 1)}
	s.drainView.Store(&drain.View{})
	s.startedAt = time.Now()
	s.trace.startedAt = s.startedAt
	s.Configure(settings, maxConns)
	return s
}

// SetPlugins has plug-ins consulted about each message. It is called before Serve.
func (s *Server) SetPlugins(holder *plugin.Holder) { s.plugins = holder }

// SetMetrics has rejections and failures at the server counted in metrics. It is called before
// Serve.
func (s *Server) SetMetrics(metrics *metrics.Set) { s.metrics = metrics }

// Configure applies the classes and tenants of settings and a limit of open connections, also while
// serving.
func (s *Server) Configure(settings *policy.Settings, maxConns int) {
	classes := map[string]policy.Class{}
	for _, c := range settings.Classes {
		classes[c.Name] = c
	}
	s.classes.Store(&classes)
	tenants := map[string]bool{}
	for _, t := range settings.Tenants {
		tenants[t.Name] = true
	}
	s.tenants.Store(&tenants)
	if s.retryAdvice.Store(0); settings.SendRetryAfter {
		s.retryAdvice.Store(int64(settings.MaxRetryAfter))
	}
	s.SetMaxConns(maxConns)
}

// HandleDrainEvent applies an event of the drain and its effects. Safe for concurrent use.
func (s *Server) HandleDrainEvent(e drain.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainMachine.Handle(e, time.Since(s.startedAt))
	s.applyDrainView()
}

// applyDrainView applies the drain's current view and schedules the next one. mu must be held.
func (s *Server) applyDrainView() {
	now := time.Since(s.startedAt)
	previous, view := s.drainView.Load(), s.drainMachine.View(now)
	if s.shutdown {
		view = drain.View{Stopping: view.Stopping, CloseAfterResponse: true, CloseIdle: true, StopAccepting: true}
	}
	s.drainView.Store(&view)
	if view.StopAccepting && !previous.StopAccepting {
		// Closing the listener would reset connections in the accept queue, perhaps with a request
		// on them.
		s.drainAcceptQueue()
	}
	if view.CloseIdle && !previous.CloseIdle {
		for c := range s.conns {
			if c.state == connNew || c.state == connIdle { // a closing one keeps its time to deliver the last response
				c.sock.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
	if s.drainTimer != nil {
		s.drainTimer.Stop()
	}
	if next := s.drainMachine.NextChange(now); next > 0 && !s.shutdown {
		s.drainTimer = time.AfterFunc(next, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyDrainView()
		})
	}
}

// Drained reports whether the operators have drained the relay.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainMachine.Draining()
}

// Serving reports whether the server is serving, drained or not, and is not about to stop.
func (s *Server) Serving() bool { return s.drainView.Load().Serving }

// Shutdown drains the accept queue, closes the listener and closes idle connections at once.
// Requests that have begun are answered before their connection closes.
func (s *Server) Shutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutdown = true
	s.applyDrainView()
}

// OpenConnections counts the open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
