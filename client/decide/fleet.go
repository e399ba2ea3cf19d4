package decide

import "time"

// Bounds of reconnects and waits.
const (
	maxSpreadDoublings = 3                     // of Spread.Span
	connectWaitDivisor = 4                     // a message waits at most its time left divided by this to connect
	minReconnectDelay  = 50 * time.Millisecond // between two attempts to connect to a relay that is down
	lossesUntilDown    = 2                     // consecutive lost answers after which a relay counts as down
	maxRelayWait       = 10 * time.Minute      // Retry-After of one message that other messages honour
	maxBlockedDests    = 1024                  // destinations whose Retry-After is remembered
	minConnectRate     = 1.0                   // new connections per second, however many fail
)

// Spread configures the delay and the rate limit of new connections.
type Spread struct {
	Span  time.Duration // a random part of it is the delay of reconnects; 0: neither delay nor rate limit
	Rate  float64       // new connections per second, at most
	Burst float64       // new connections at once, at most
}

// Fleet is what one client knows about its relays, and its token bucket for new connections.
type Fleet struct {
	spread       Spread
	random       func() float64 // in [0,1)
	relays       []relay
	blockedDests map[int]time.Time // by destination: end of the Retry-After of its 429

	connectRate, tokens float64
	refilledAt          time.Time
}

// relay is the state of one relay.
type relay struct {
	down         bool // no message goes there until a probe succeeds
	probing      bool
	lostAnswers  int       // consecutive
	failureLevel int       // consecutive failures to connect, up to maxSpreadDoublings
	lostAt       time.Time // last loss; zero: none
	jitter       float64   // part of the span to wait after the last loss, in [0,1)
	blockedUntil time.Time // end of its Retry-After
	inFlight     int       // attempts
	idleConns    int
}

// NewFleet returns the state of n relays, all up and without connections. random returns values in
// [0,1).
func NewFleet(n int, s Spread, random func() float64) *Fleet {
	return &Fleet{spread: s, random: random, relays: make([]relay, n), blockedDests: map[int]time.Time{},
		connectRate: s.Rate, tokens: s.Burst}
}

// Why a message has to wait.
type Why int

// The reasons to wait.
const (
	Nothing  Why = iota // it does not have to wait
	ToldWait            // Retry-After of the relays or of the destination
	Down                // no relay is up, or a new connection has to wait
	Budget              // the rate limit on new connections is reached
	Busy                // all connections are in use
)

// Choice says where the next attempt goes.
type Choice struct {
	Relay int       // index; -1: none now
	New   bool      // on a new connection, which is already counted
	Why   Why       // without a relay: why
	At    time.Time // without a relay: when to choose again
}

// Choose picks the relay of the next attempt of a message to dest that has timeLeft: the one with
// the fewest attempts in flight and lost answers, preferring other relays to avoid and idle
// connections to new ones. maxConns bounds the connections to one relay.
func (f *Fleet) Choose(now time.Time, dest, avoid, maxConns int, timeLeft time.Duration) Choice {
	none := Choice{Relay: -1}
	waitFor := func(at time.Time, why Why) {
		if none.Why == Nothing || at.Before(none.At) {
			none.At, none.Why = at, why
		}
	}
	if at, ok := f.blockedDests[dest]; ok && now.Before(at) {
		return Choice{Relay: -1, Why: ToldWait, At: at}
	}
	best, bestScore, bestIdle := -1, 0.0, -1
	for i := range f.relays {
		r := &f.relays[i]
		switch {
		case now.Before(r.blockedUntil):
			waitFor(r.blockedUntil, ToldWait)
			continue
		case r.down && r.probing:
			waitFor(now.Add(timeLeft), Down) // the end of the probe wakes the waiters
			continue
		case r.down:
			if at := f.connectAt(r, timeLeft); now.Before(at) {
				waitFor(at, Down)
			} else {
				waitFor(f.nextToken(now), Down)
			}
			continue
		case r.idleConns == 0 && r.inFlight >= maxConns:
			waitFor(now.Add(timeLeft), Busy)
			continue
		case r.idleConns == 0 && now.Before(f.connectAt(r, timeLeft)):
			waitFor(f.connectAt(r, timeLeft), Down)
			continue
		}
		if r.idleConns > 0 && (bestIdle < 0 || bestIdle == avoid) {
			bestIdle = i
		}
		// A random number breaks ties, so that identical clients don't all choose the first relay.
		score := float64(r.inFlight+4*r.lostAnswers) + f.random()
		if i == avoid {
			score += 1000
		}
		if r.idleConns == 0 {
			score += 1 // a new connection costs more than a short queue
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return none
	}
	if f.relays[best].idleConns == 0 {
		at := f.takeToken(now)
		if !at.After(now) {
			f.relays[best].inFlight++
			return Choice{Relay: best, New: true}
		}
		if best = bestIdle; best < 0 {
			return Choice{Relay: -1, Why: Budget, At: at}
		}
	}
	f.relays[best].idleConns--
	f.relays[best].inFlight++
	return Choice{Relay: best}
}

// nextToken returns when the rate limit allows a new connection: now or later.
func (f *Fleet) nextToken(now time.Time) time.Time {
	if f.spread.Span == 0 {
		return now
	}
	if !f.refilledAt.IsZero() {
		f.tokens = min(f.spread.Burst, f.tokens+f.connectRate*now.Sub(f.refilledAt).Seconds())
	}
	if f.refilledAt = now; f.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1-f.tokens)/f.connectRate*float64(time.Second)) + time.Microsecond)
}

// takeToken takes one token for a new connection if it returns now; otherwise it returns when there
// will be one.
func (f *Fleet) takeToken(now time.Time) time.Time {
	at := f.nextToken(now)
	if !at.After(now) && f.spread.Span > 0 {
		f.tokens--
	}
	return at
}

// connectAt returns when a new connection to r may be opened for a message that has timeLeft. Each
// client waits its own random part of the span, which doubles with each failure, so that the
// clients of a restarted relay don't all connect at once.
func (f *Fleet) connectAt(r *relay, timeLeft time.Duration) time.Time {
	if r.lostAt.IsZero() {
		return time.Time{}
	}
	span := min(f.spread.Span<<r.failureLevel, timeLeft/connectWaitDivisor)
	pause := time.Duration(r.jitter * float64(span))
	if r.failureLevel > 0 {
		pause = max(pause, minReconnectDelay)
	}
	return r.lostAt.Add(pause)
}

// Probe returns the index of a relay that is down and due to be probed for a message that has
// timeLeft, and records the probe; -1 if there is none.
func (f *Fleet) Probe(now time.Time, timeLeft time.Duration) int {
	for i := range f.relays {
		r := &f.relays[i]
		if r.down && !r.probing && !now.Before(f.connectAt(r, timeLeft)) && !f.takeToken(now).After(now) {
			r.probing = true
			return i
		}
	}
	return -1
}

// Probed records the result of a probe. If kept, its connection is now idle.
func (f *Fleet) Probed(now time.Time, index int, ready, kept bool) {
	r := &f.relays[index]
	r.probing = false
	if !ready {
		f.recordLoss(now, r)
		r.failureLevel = min(r.failureLevel+1, maxSpreadDoublings)
		return
	}
	*r = relay{blockedUntil: r.blockedUntil, inFlight: r.inFlight, idleConns: r.idleConns}
	if kept {
		r.idleConns++
	}
}

// recordLoss records the loss of a connection to r, or a failure to connect: it draws a new jitter
// and halves the rate of new connections.
func (f *Fleet) recordLoss(now time.Time, r *relay) {
	r.lostAt, r.jitter = now, f.random()
	f.connectRate = max(minConnectRate, f.connectRate/2)
}

// Ended records the end of an attempt at the relay. If kept, its connection is now idle; if
// leaving, the relay announced that it is stopping.
func (f *Fleet) Ended(now time.Time, index, dest int, e End, kept, leaving bool) {
	r := &f.relays[index]
	if r.inFlight--; kept {
		r.idleConns++
	}
	switch {
	case e.Stage == NotConnected:
		f.recordLoss(now, r)
		r.down, r.failureLevel = true, min(r.failureLevel+1, maxSpreadDoublings)
	case e.Stage < Answered:
		f.recordLoss(now, r)
		if r.lostAnswers++; r.lostAnswers >= lossesUntilDown {
			r.down = true
		}
	default:
		r.lostAnswers, r.failureLevel = 0, 0
		f.connectRate = min(f.spread.Rate, f.connectRate+1)
		if wait := min(e.Wait, maxRelayWait); e.Status == 429 && wait > 0 {
			f.blockDest(now, dest, wait)
		} else if at := now.Add(addJitter(wait, 2*wait, f.random())); e.Status == 503 && wait > 0 &&
			at.After(r.blockedUntil) {
			r.blockedUntil = at
		}
	}
	if leaving && !r.down {
		f.recordLoss(now, r)
		r.down = true
	}
}

// blockDest records that 429 asked to wait for dest. It never shortens an earlier wait.
func (f *Fleet) blockDest(now time.Time, dest int, wait time.Duration) {
	if len(f.blockedDests) >= maxBlockedDests {
		for d, at := range f.blockedDests {
			if !now.Before(at) {
				delete(f.blockedDests, d)
			}
		}
	}
	if len(f.blockedDests) < maxBlockedDests && now.Add(wait).After(f.blockedDests[dest]) {
		f.blockedDests[dest] = now.Add(wait)
	}
}

// Retired records that the client closed an idle connection of the relay.
func (f *Fleet) Retired(index int) { f.relays[index].idleConns-- }

// Stale records that the connection which Choose had picked was already closed by the relay.
// Clients close idle connections before relays do, so this is the sign of a restart or of a relay
// out of capacity: if no idle connection is left, the next one waits like after a loss.
func (f *Fleet) Stale(now time.Time, index int) {
	r := &f.relays[index]
	r.inFlight--
	if r.idleConns == 0 {
		f.recordLoss(now, r)
	}
}

// Cut records the end of an attempt that its caller cancelled: it does not count as a failure of
// the relay.
func (f *Fleet) Cut(index int) { f.relays[index].inFlight-- }

// Up reports whether the relay counts as up.
func (f *Fleet) Up(index int) bool { return !f.relays[index].down }
