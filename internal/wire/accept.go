package wire

import (
	"errors"
	"net"
	"os"
	"time"

	"oatfold/internal/drain"
)

// This file accepts client connections, up to the limit of open ones, until the listener closes.

const (
	crowdedPeriod        = 2 * time.Second        // how long the shorter limit applies after an eviction
	evictionInterval     = 20 * time.Millisecond  // between two searches for a connection to evict
	acceptRetryDelay     = 20 * time.Millisecond  // avoids a busy loop while descriptors are exhausted
	maxAcceptQueueDrain  = 250 * time.Millisecond // from the start of the drain
	acceptQueueQuietTime = 20 * time.Millisecond  // covers handshakes that began before the steering
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	s.setAccepting(true)
	defer s.setAccepting(false)
	for {
		if !s.waitForCapacity() {
			s.listener.Close()
			return
		}
		draining := s.drainingQueue.Load()
		if draining {
			s.listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(s.acceptQueueDeadline(time.Now()))
		}
		sock, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Only an Accept that began after the drain started shows that the queue is empty.
			if draining {
				s.listener.Close()
				return
			}
			continue
		}
		if err != nil {
			s.log.Warn("accept failed", "err", err) // the listener keeps the queue
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(s.addConn(sock))
	}
}

// addConn registers an accepted connection and sets the time limit for its first byte.
func (s *Server) addConn(sock net.Conn) *clientConn {
	c := &clientConn{sock: sock, stateSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnNumber++
	c.number = s.lastConnNumber
	s.conns[c] = struct{}{}
	s.trace.record(c.number, traceAccept, int64(len(s.conns)), 0)
	limit := firstByteTimeout
	if c.stateSince.Before(s.crowdedUntil) {
		limit = crowdedFirstByteTimeout // it may have waited in the accept queue
	}
	if s.drainView.Load().CloseIdle {
		limit = min(limit, drain.FirstRequestTimeout)
	}
	s.setReadDeadline(c, c.stateSince.Add(limit))
	return c
}

// waitForCapacity waits until another connection may be accepted and reports whether one may. It
// returns false once the time for draining the accept queue is over: the limit holds to the end of
// the process, and what is still queued then is reset with nothing of it read, so that its client
// knows that a retry elsewhere is safe.
func (s *Server) waitForCapacity() bool {
	waitingSince := time.Time{}
	for {
		s.mu.Lock()
		now, atLimit := time.Now(), len(s.conns) >= s.maxConns
		if atLimit {
			newConns := s.evictForCapacity(now)
			if waitingSince.IsZero() {
				waitingSince = now
				s.trace.record(0, traceWait, int64(newConns), int64(s.idleConns))
			}
		}
		s.mu.Unlock()
		if s.drainingQueue.Load() && !now.Before(s.acceptQueueDrainEnd()) {
			return false
		}
		if !atLimit {
			if !waitingSince.IsZero() {
				s.trace.record(0, traceWaitEnded, now.Sub(waitingSince).Microseconds(), 0)
			}
			return true
		}
		select {
		case <-s.capacityFreed:
		case <-time.After(evictionInterval):
		}
	}
}

// evictForCapacity evicts connections that sent nothing within their time, or else the one that has
// been idle longest. It returns the number of connections that have sent nothing yet. mu must be
// held.
func (s *Server) evictForCapacity(now time.Time) (newConns int) {
	evicted := 0
	for c := range s.conns {
		if c.state != connNew {
			continue
		}
		newConns++
		if now.Sub(c.stateSince) >= crowdedFirstByteTimeout {
			s.evict(c)
			evicted++
		}
	}
	if s.crowdedUntil = now.Add(crowdedPeriod); evicted == 0 {
		s.evictIdle(1)
	}
	return newConns
}

// evictIdle evicts connections between requests, those first that have been idle longest, until
// count of them are closing. mu must be held.
func (s *Server) evictIdle(count int) {
	for c := range s.conns {
		if c.state == connIdle && c.evicted {
			count--
		}
	}
	for ; count > 0; count-- {
		var oldest *clientConn
		for c := range s.conns {
			if c.state == connIdle && !c.evicted && (oldest == nil || c.stateSince.Before(oldest.stateSince)) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		s.evict(oldest)
	}
}

// evict expires the reads of a connection that is new or between requests, so that it closes unless
// a request is arriving. mu must be held.
func (s *Server) evict(c *clientConn) {
	c.evicted = true
	c.sock.SetReadDeadline(time.Unix(1, 0))
	s.trace.record(c.number, traceEvict, int64(c.state), 0)
}

// SetMaxConns sets the limit of open connections, also while serving. Idle ones above a lowered
// limit close; those with a request close once it is answered and others wait.
func (s *Server) SetMaxConns(limit int) {
	s.mu.Lock()
	s.maxConns = limit
	s.evictIdle(len(s.conns) - limit)
	s.mu.Unlock()
	s.signalCapacity()
}

// signalCapacity wakes the accept loop, which may be waiting for capacity.
func (s *Server) signalCapacity() {
	select {
	case s.capacityFreed <- struct{}{}:
	default:
	}
}

// Accepting reports whether further connections may be accepted.
func (s *Server) Accepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting
}

func (s *Server) setAccepting(on bool) {
	s.mu.Lock()
	s.accepting = on
	s.mu.Unlock()
}

// StopListening has Serve accept what is in the queue, then close the listener, while another
// process listens at the address.
func (s *Server) StopListening() {
	if err := steerToSecondListener(s.listener); err != nil {
		s.log.Debug("cannot steer new connections to the next process", "err", err)
	}
	s.drainAcceptQueue()
}

// drainAcceptQueue has Serve accept what is in the queue, for a limited time, then close the
// listener.
func (s *Server) drainAcceptQueue() {
	now := time.Now()
	s.queueDrainUntil.CompareAndSwap(0, int64(now.Add(maxAcceptQueueDrain).Sub(s.startedAt)))
	s.drainingQueue.Store(true)
	if d, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(s.acceptQueueDeadline(now))
	} else {
		s.listener.Close()
	}
	s.signalCapacity()
}

// acceptQueueDeadline returns when the accept queue counts as empty if no connection arrives.
func (s *Server) acceptQueueDeadline(now time.Time) time.Time {
	return earlier(now.Add(acceptQueueQuietTime), s.acceptQueueDrainEnd())
}

// acceptQueueDrainEnd returns when the listener closes at the latest, once the drain has begun.
func (s *Server) acceptQueueDrainEnd() time.Time {
	return s.startedAt.Add(time.Duration(s.queueDrainUntil.Load()))
}
