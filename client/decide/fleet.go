package decide

import "time"

// Bounds of the spreading.
const (
	maxSpreadDoublings = 3                     // the spread is doubled so many times at most
	connectWaitDivisor = 4                     // a message waits no more than one part in so many of its time for a connection
	minReconnectDelay  = 50 * time.Millisecond // between two tries to connect to a relay that is down
	lossesUntilDown    = 2                     // lost answers in a row after which a relay counts as down
	maxRelayWait       = 10 * time.Minute      // the longest wait that binds messages which it was not told for
	maxBlockedDests    = 1024                  // told waits of destinations that are kept
	minConnectRate     = 1.0                   // new connections a second, however many fail
)

// Spread sets how connections are spread.
type Spread struct {
	Span  time.Duration // over which a client waits at random before the first new connection after a loss; 0: no spreading
	Rate  float64       // new connections a second at most
	Burst float64       // new connections at once at most
}

// Fleet is what one client knows of its relays, and its budget of new connections.
type Fleet struct {
	spread       Spread
	random       func() float64
	relays       []relay
	blockedDests map[int]time.Time // until when a destination's refusals told to wait

	connectRate, tokens float64
	refilledAt          time.Time
}

type relay struct {
	down         bool // no message goes there before a connection and GET /ready have succeeded
	probing      bool
	lostAnswers  int // answers lost in a row
	failureLevel int // failures to connect in a row, up to maxLevel
	lostAt       time.Time
	jitter       float64   // of this loss: which part of the span this client waits
	blockedUntil time.Time // until when it told to wait
	inFlight     int       // hand-ins out
	idleConns    int       // connections that stand idle
}

// NewFleet returns the knowledge of n relays, of which nothing is known. Random returns values in [0,1).
func NewFleet(n int, s Spread, random func() float64) *Fleet {
	return &Fleet{spread: s, random: random, relays: make([]relay, n), blockedDests: map[int]time.Time{}, connectRate: s.Rate, tokens: s.Burst}
}

// Why a message has to wait.
type Why int

// The reasons to wait.
const (
	Nothing  Why = iota // it need not
	ToldWait            // a relay or the destination told to wait
	Down                // no relay is up, or none takes a new connection yet
	Budget              // the budget of new connections is spent
	Busy                // all connections are busy
)

// Choice is where the next hand-in goes.
type Choice struct {
	Relay int       // -1: none now
	New   bool      // on a new connection, which is booked
	Why   Why       // if none
	At    time.Time // when to look again, if none
}

// Choose picks the relay of the next hand-in of a message to dest, of which left remains: one with an idle connection
// that it does not avoid if there is one, of two drawn the one with fewer hand-ins out. most bounds connections to a relay.
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
			waitFor(now.Add(timeLeft), Down) // the look's end wakes whoever waits
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
		// A draw breaks ties, so that clients that start alike do not all go to the first.
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

// nextToken says when the budget allows a new connection: now, or later.
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

// takeToken takes one new connection from the budget, or says when there will be one.
func (f *Fleet) takeToken(now time.Time) time.Time {
	at := f.nextToken(now)
	if !at.After(now) && f.spread.Span > 0 {
		f.tokens--
	}
	return at
}

// connectAt is when a new connection to r may be opened for a message of which left remains. Guards against all clients
// of a relay that restarts connecting at once: each waits its own part of the span, which doubles with each failure.
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

// Probe returns a relay that is down and due to be looked at for a message of which left remains, and books that it
// is looked at; -1 if there is none.
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

// Probed books what a look at the relay found; a connection that is kept is idle from now on.
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

// recordLoss notes trouble with connections to r: this client draws its part of the span anew.
func (f *Fleet) recordLoss(now time.Time, r *relay) {
	r.lostAt, r.jitter = now, f.random()
	f.connectRate = max(minConnectRate, f.connectRate/2)
}

// Ended books the end of a hand-in at relay i; kept: its connection is idle now; fresh: it was opened for this
// hand-in; leaving: the relay says that it stops.
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
		} else if at := now.Add(addJitter(wait, 2*wait, f.random())); e.Status == 503 && wait > 0 && at.After(r.blockedUntil) {
			r.blockedUntil = at // Guards against a short wait that ends a longer one
		}
	}
	if leaving && !r.down {
		f.recordLoss(now, r)
		r.down = true
	}
}

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

// Retired books that an idle connection of relay i was closed because it had been idle for long.
func (f *Fleet) Retired(index int) { f.relays[index].idleConns-- }

// Stale books that the connection of relay i which a hand-in had chosen was closed by the relay. Guards against a rush
// of all clients whose connections a relay's end has cut: a client lets go of what is idle before its relay does, so
// that this tells of a restart or of a relay short of room.
func (f *Fleet) Stale(now time.Time, index int) {
	r := &f.relays[index]
	r.inFlight--
	if r.idleConns == 0 {
		f.recordLoss(now, r)
	}
}

// Cut books a hand-in that its caller cut short: it says nothing of the relay.
func (f *Fleet) Cut(index int) { f.relays[index].inFlight-- }

// Up tells whether relay i counts as up.
func (f *Fleet) Up(index int) bool { return !f.relays[index].down }
