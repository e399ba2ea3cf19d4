package client

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"oatfold/client/decide"
)

// Effect says what happens if a message is delivered twice. The zero value is Unsafe.
type Effect = decide.Effect

// The effects of delivering a message twice.
const (
	Unsafe = decide.Unsafe // must never take effect twice, like a fee charge
	Keyed  = decide.Keyed  // partners drop a repeat by its key within Message.Window, like an order
	Safe   = decide.Safe   // may take effect any number of times, like a price alert
)

// Outcome is the final result of a message; Stage is how far an attempt came.
type (
	Outcome = decide.Outcome
	Stage   = decide.Stage
)

// The outcomes of a message.
const (
	Taken     = decide.Taken     // a relay accepted it and is responsible for it
	Refused   = decide.Refused   // every allowed attempt was rejected
	Failed    = decide.Failed    // not accepted, and a retry would not help
	GivenUp   = decide.GivenUp   // the required wait is longer than the time left
	Uncertain = decide.Uncertain // it may have been accepted, and must not be retried
)

// The stages of an attempt.
const (
	NotConnected = decide.NotConnected // no byte was sent
	WrittenPart  = decide.WrittenPart  // the last byte was not sent: it was not accepted
	WrittenWhole = decide.WrittenWhole // no answer was read: it may have been accepted
	Answered     = decide.Answered     // the relay's status was read
)

// Message is one message to submit.
type Message struct {
	Class    string        // the first part of the path
	Dest     int           // number of the destination
	Key      string        // idempotency key of all attempts; generated if empty, except for Safe
	Effect   Effect        // of a second delivery
	Window   time.Duration // Keyed: how long partners drop repeats; 0: DefaultWindow
	Deadline time.Time     // latest time of delivery; zero: see TimeLeft
	TimeLeft time.Duration // until the deadline, counted from Send; the deadline of ctx applies as well
	Body     []byte        // must not change before the result; 64 KiB at most
}

// Result is the final result of a message.
type Result struct {
	Outcome  Outcome
	HandIns  int             // attempts that sent at least one byte
	Waits    []time.Duration // after rejections: Retry-After, or the library's own
	Key      string          // idempotency key of all attempts
	ID       string          // correlation id of the last attempt
	Relay    string          // address of the last attempt's relay
	Took     time.Duration   // from Send to the result
	Attempts []Attempt       // in order, including those that sent no byte
}

// Attempt is one attempt to submit a message to one relay.
type Attempt struct {
	ID, Relay, Mark string // correlation id, address, value of X-Repeat
	Stage           Stage
	Status          int           // HTTP status; 0 unless Stage is Answered
	Stated          time.Duration // value of X-Time-Left-Ms
	Err             error         // why there is no answer
}

// Defaults and bounds of Config.
const (
	DefaultAnswerTimeout  = 400 * time.Millisecond
	DefaultConnectTimeout = 400 * time.Millisecond
	DefaultIdleAfter      = 4 * time.Second
	DefaultMaxConns       = 64
	DefaultMaxInFlight    = 256
	DefaultRepeats        = 2
	DefaultSpread         = time.Second
	DefaultNewPerSecond   = 50
	DefaultNewBurst       = 16
	DefaultWindow         = 5 * time.Second

	// NoSpread as Config.Spread disables the delay and the rate limit of reconnects. It serves as
	// the baseline in measurements.
	NoSpread = -1

	maxBodyBytes = 64 << 10
	maxTextBytes = 256 // bytes of a class or key
)

// Config configures a client. Only Relays is required; zero values select the defaults.
type Config struct {
	Relays         []string      // host:port of each
	AnswerTimeout  time.Duration // for a relay's answer, counted from the last byte of the request
	ConnectTimeout time.Duration // for a new connection
	IdleAfter      time.Duration // idle connections are closed after this; relays close theirs after 6 s
	MaxConns       int           // connections to one relay
	MaxInFlight    int           // messages of HandIn without a result
	Repeats        int           // retries after lost answers; negative: none
	NoRefusals     bool          // no retry after a rejection; otherwise two are allowed
	Strict         bool          // Keyed: retry after a lost answer only if the first attempt expires within the window
	Spread         time.Duration // reconnects after a loss are spread over this span
	NewPerSecond   float64       // new connections per second; halved with each loss, grows back with answers
	NewBurst       float64       // new connections at once
	Observer       Observer      // receives events; nil: none
	Log            *slog.Logger  // nil: no logging
}

// Client submits messages to relays. It is safe for concurrent use.
type Client struct {
	config     Config
	rules      decide.Rules
	log        *slog.Logger
	inFlight   chan struct{} // semaphore: one entry for each message of HandIn without a result
	flushMu    sync.Mutex
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup // probes and messages of HandIn

	mu      sync.Mutex
	fleet   *decide.Fleet
	idle    [][]*conn     // by relay, most recently used last
	waiters int           // messages that wait for a connection
	changed chan struct{} // closed to wake the waiters
	reaper  *time.Timer
	closed  bool
}

// New returns a client of config.Relays. Connections are opened on demand. An error names the
// invalid field.
func New(config Config) (*Client, error) {
	if len(config.Relays) == 0 {
		return nil, errors.New("client: Relays is empty")
	}
	for _, relay := range config.Relays {
		if host, port, err := net.SplitHostPort(relay); err != nil || host == "" || port == "" ||
			!isVisibleASCII(relay, maxTextBytes) {
			return nil, fmt.Errorf("client: Relays: %q is not host:port", relay)
		}
	}
	if config.Spread < 0 && config.Spread != NoSpread {
		return nil, errors.New("client: Spread is negative")
	}
	for name, d := range map[string]time.Duration{"AnswerTimeout": config.AnswerTimeout,
		"ConnectTimeout": config.ConnectTimeout, "IdleAfter": config.IdleAfter} {
		if d < 0 {
			return nil, fmt.Errorf("client: %s is negative", name)
		}
	}
	setDefault(&config.AnswerTimeout, DefaultAnswerTimeout)
	setDefault(&config.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&config.IdleAfter, DefaultIdleAfter)
	setDefault(&config.MaxConns, DefaultMaxConns)
	setDefault(&config.MaxInFlight, DefaultMaxInFlight)
	setDefault(&config.Repeats, DefaultRepeats)
	setDefault(&config.Spread, DefaultSpread)
	setDefault(&config.NewPerSecond, DefaultNewPerSecond)
	setDefault(&config.NewBurst, DefaultNewBurst)
	if config.MaxConns < 1 || config.MaxInFlight < 1 || !(config.NewPerSecond >= 1) || !(config.NewBurst >= 1) {
		return nil, errors.New("client: MaxConns, MaxInFlight, NewPerSecond and NewBurst must be at least 1")
	}
	c := &Client{config: config, log: config.Log, inFlight: make(chan struct{}, config.MaxInFlight),
		idle:    make([][]*conn, len(config.Relays)),
		rules:   decide.Rules{Refusals: decide.MaxRefusals, Repeats: max(0, config.Repeats), Strict: config.Strict},
		changed: make(chan struct{})}
	if config.NoRefusals {
		c.rules.Refusals = 0
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	if c.config.Observer == nil {
		c.config.Observer = noopObserver{}
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	// Two processes must draw different numbers, even if they start at the same moment.
	var seed [16]byte
	crand.Read(seed[:])
	random := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
	c.fleet = decide.NewFleet(len(config.Relays),
		decide.Spread{Span: max(0, config.Spread), Rate: config.NewPerSecond, Burst: config.NewBurst}, random.Float64)
	return c, nil
}

// setDefault sets *v to value if it is zero.
func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// validate reports what no relay would accept in m, and fills in its defaults.
func (m *Message) validate(now time.Time, ctx context.Context) (deadline time.Time, err error) {
	switch {
	case m.Class == "" || !isVisibleASCII(m.Class, maxTextBytes) || strings.ContainsAny(m.Class, "/?#%"):
		return deadline, fmt.Errorf("%w: Class %q", ErrMessage, m.Class)
	case m.Dest < 0:
		return deadline, fmt.Errorf("%w: Dest %d is negative", ErrMessage, m.Dest)
	case !isVisibleASCII(m.Key, maxTextBytes):
		return deadline, fmt.Errorf("%w: Key is not visible ASCII of up to %d bytes", ErrMessage, maxTextBytes)
	case m.Effect < Unsafe || m.Effect > Safe:
		return deadline, fmt.Errorf("%w: Effect %d", ErrMessage, int(m.Effect))
	case m.Window < 0 || m.TimeLeft < 0:
		return deadline, fmt.Errorf("%w: Window or TimeLeft is negative", ErrMessage)
	case len(m.Body) > maxBodyBytes:
		return deadline, fmt.Errorf("%w: Body has %d bytes, over %d", ErrMessage, len(m.Body), maxBodyBytes)
	}
	if deadline = m.Deadline; deadline.IsZero() && m.TimeLeft > 0 {
		deadline = now.Add(m.TimeLeft)
	}
	if ctxDeadline, ok := ctx.Deadline(); ok && (deadline.IsZero() || ctxDeadline.Before(deadline)) {
		deadline = ctxDeadline
	}
	if deadline.IsZero() {
		return deadline, fmt.Errorf("%w: no Deadline, no TimeLeft and none in ctx", ErrMessage)
	}
	if m.Key == "" && m.Effect != Safe {
		m.Key = randomHex(16)
	}
	if m.Window == 0 {
		m.Window = DefaultWindow
	}
	return deadline, nil
}

// randomHex returns up to 16 random bytes in hexadecimal.
func randomHex(bytes int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:bytes])
}

// Send submits m until a relay accepts it or the rules allow no further attempt, and returns its
// result. The error is nil for Taken and an *Error otherwise; an invalid message yields an error
// that wraps ErrMessage. When ctx is cancelled, Send returns at once: with Uncertain if an attempt
// may have been accepted, else with Failed.
func (c *Client) Send(ctx context.Context, m Message) (Result, error) {
	startedAt := time.Now()
	deadline, err := m.validate(startedAt, ctx)
	if err != nil {
		return Result{Outcome: Failed}, err
	}
	s := submission{client: c, message: &m, course: decide.NewCourse(c.rules, m.Effect, m.Window, deadline)}
	verdict, err := s.run(ctx)
	s.result.Outcome, s.result.HandIns, s.result.Waits, s.result.Key = verdict.Outcome, s.course.HandIns,
		s.course.Waits, m.Key
	s.result.Took = time.Since(startedAt)
	c.config.Observer.Done(s.result)
	if verdict.Outcome == Taken {
		return s.result, nil
	}
	sendErr := &Error{Outcome: verdict.Outcome, Relay: s.result.Relay, Err: err}
	if n := len(s.result.Attempts); n > 0 {
		sendErr.Stage, sendErr.Status = s.result.Attempts[n-1].Stage, s.result.Attempts[n-1].Status
	}
	if n := len(s.result.Waits); n > 0 {
		sendErr.Wait = s.result.Waits[n-1]
	}
	c.log.Debug("message not accepted", "class", m.Class, "dest", m.Dest, "hand_ins", s.result.HandIns, "err", sendErr)
	return s.result, sendErr
}

// HandIn submits m in the background and passes the result to done on another goroutine. While
// MaxInFlight messages have no result it blocks until one completes or ctx ends. ctx also bounds
// the message, as in Send. If HandIn returns an error, done is never called.
func (c *Client) HandIn(ctx context.Context, m Message, done func(Result, error)) error {
	select {
	case c.inFlight <- struct{}{}:
		return c.startAsync(ctx, m, done)
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrClosed
	}
}

// TryHandIn is like HandIn but returns ErrFull instead of blocking.
func (c *Client) TryHandIn(ctx context.Context, m Message, done func(Result, error)) error {
	select {
	case c.inFlight <- struct{}{}:
		return c.startAsync(ctx, m, done)
	default:
		return ErrFull
	}
}

// startAsync sends m on a new goroutine. The caller has acquired an entry of inFlight.
func (c *Client) startAsync(ctx context.Context, m Message, done func(Result, error)) error {
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.background.Add(1)
	}
	c.mu.Unlock()
	if closed {
		<-c.inFlight
		return ErrClosed
	}
	if m.Deadline.IsZero() && m.TimeLeft > 0 {
		m.Deadline = time.Now().Add(m.TimeLeft)
	}
	go func() {
		defer c.background.Done()
		defer func() { <-c.inFlight }()
		done(c.Send(ctx, m))
	}()
	return nil
}

// Flush waits until every message of HandIn has its result, or until ctx ends. HandIn blocks
// meanwhile.
func (c *Client) Flush(ctx context.Context) error {
	c.flushMu.Lock() // two concurrent calls would deadlock, each with a part of inFlight
	defer c.flushMu.Unlock()
	for n := range cap(c.inFlight) {
		select {
		case c.inFlight <- struct{}{}:
			defer func() { <-c.inFlight }()
		case <-ctx.Done():
			return fmt.Errorf("messages without a result: %d: %w", cap(c.inFlight)-n, ctx.Err())
		}
	}
	return nil
}

// Close closes all connections. Waiting messages fail at once, attempts in flight still get their
// answer. Close returns when all messages of HandIn have their result. Call Flush first to let
// waiting messages complete.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	for i, list := range c.idle {
		for _, cn := range list {
			cn.sock.Close()
			c.fleet.Retired(i)
		}
		c.idle[i] = nil
	}
	if c.reaper != nil {
		c.reaper.Stop()
	}
	c.mu.Unlock()
	c.cancel()
	c.background.Wait()
	return nil
}

// submission is the state of one message while it is sent. One goroutine owns it.
type submission struct {
	client    *Client
	message   *Message
	course    *decide.Course
	result    Result
	notBefore time.Time // of the next attempt
	lastErr   error     // cause of the last attempt's failure
}

// run makes attempts until the message has its outcome. The error is the cause of the last failure.
func (s *submission) run(ctx context.Context) (decide.Verdict, error) {
	for {
		now := time.Now()
		if err := ctx.Err(); errors.Is(err, context.DeadlineExceeded) {
			return s.expire()
		} else if err != nil {
			return s.course.End(Failed), err
		}
		if s.client.ctx.Err() != nil {
			return s.course.End(Failed), ErrClosed
		}
		timeLeft := s.course.Left(now)
		if timeLeft < time.Millisecond {
			return s.expire()
		}
		if now.Before(s.notBefore) {
			s.client.waitUntil(ctx, s.notBefore, nil)
			continue
		}
		choice, cn, changed := s.client.chooseConn(now, s.message.Dest, s.course.Avoid, timeLeft)
		if choice.Relay < 0 {
			if !choice.At.Before(now.Add(timeLeft)) && choice.Why == decide.ToldWait {
				s.client.removeWaiter()
				return s.course.End(GivenUp), errRetryAfterTooLong
			}
			s.client.waitUntil(ctx, earlier(choice.At, now.Add(timeLeft)), changed)
			s.client.removeWaiter()
			continue
		}
		if v := s.attempt(ctx, choice, cn); v.Over {
			return v, s.lastErr
		} else {
			s.notBefore = v.NotBefore
		}
	}
}

// expire ends a message whose deadline has passed: Failed if no relay could be reached, else
// GivenUp.
func (s *submission) expire() (decide.Verdict, error) {
	if s.lastErr == nil {
		s.lastErr = errTimeUp
	}
	if s.course.HandIns == 0 && len(s.result.Attempts) > 0 {
		return s.course.End(Failed), s.lastErr
	}
	return s.course.End(GivenUp), s.lastErr
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attempt sends the message once, on cn or on a new connection if cn is nil.
func (s *submission) attempt(ctx context.Context, choice decide.Choice, cn *conn) decide.Verdict {
	c, relayAddr := s.client, s.client.config.Relays[choice.Relay]
	attempt := Attempt{ID: randomHex(8), Relay: relayAddr, Mark: s.course.Mark}
	var rep reply
	began := time.Now()
	if cn == nil {
		cn, rep.err = dial(ctx, choice.Relay, relayAddr, min(c.config.ConnectTimeout, s.course.Left(began)))
		c.config.Observer.Connection(relayAddr, rep.err)
	}
	if cn != nil {
		began = time.Now()
		if attempt.Stated = s.course.Begin(began); attempt.Stated > 0 {
			cn.buf = appendRequest(cn.buf[:0], relayAddr, attempt.ID, attempt.Mark, s.message, attempt.Stated)
			delayLastByte := s.message.Effect == Unsafe && began.Sub(cn.lastUsed) >= minIdleForDelay
			rep = cn.roundTrip(ctx, cn.buf, c.config.AnswerTimeout, delayLastByte)
		} else {
			rep.err = errTimeUp
		}
	}
	now, jitter := time.Now(), rand.Float64()
	rep.end = rep.end.Waiting(len(s.course.Waits), jitter)
	attempt.Stage, attempt.Status, attempt.Err = rep.end.Stage, rep.end.Status, rep.err
	s.result.Attempts, s.result.ID, s.result.Relay = append(s.result.Attempts, attempt), attempt.ID, relayAddr
	if attempt.Stage > NotConnected {
		c.config.Observer.HandIn(attempt, now.Sub(began))
	}
	c.recordAttempt(now, choice.Relay, s.message.Dest, cn, rep, ctx.Err() != nil)
	if s.lastErr = rep.err; attempt.Stage == Answered {
		s.lastErr = statusError(attempt.Status)
	} else if attempt.Stage == WrittenWhole && errors.Is(rep.err, os.ErrDeadlineExceeded) {
		s.lastErr = errNoAnswer
	}
	v := s.course.Ended(now, choice.Relay, rep.end, jitter)
	if err := ctx.Err(); err != nil && v.Outcome != Taken && !errors.Is(err, context.DeadlineExceeded) {
		if s.lastErr = err; !v.Over {
			return s.course.End(Failed)
		}
	}
	return v
}

// chooseConn picks the connection of the next attempt: an idle one, or nil if a new one is to be
// opened. It also starts due probes of relays that are down. If nothing can be chosen, the caller
// counts as a waiter and has to call removeWaiter.
func (c *Client) chooseConn(
	now time.Time, dest, avoid int, timeLeft time.Duration) (decide.Choice, *conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := c.fleet.Probe(now, timeLeft); i >= 0 && !c.closed; i = c.fleet.Probe(now, timeLeft) {
		c.background.Add(1)
		go c.probe(i)
	}
	for {
		ch := c.fleet.Choose(now, dest, avoid, c.config.MaxConns, timeLeft)
		if ch.Relay < 0 {
			c.waiters++
			return ch, nil, c.changed
		}
		if ch.New {
			return ch, nil, nil
		}
		last := len(c.idle[ch.Relay]) - 1
		cn := c.idle[ch.Relay][last]
		c.idle[ch.Relay] = c.idle[ch.Relay][:last]
		if !cn.closedByRelay() {
			return ch, cn, nil
		}
		cn.sock.Close()
		c.fleet.Stale(now, ch.Relay)
	}
}

// removeWaiter ends the waiting that chooseConn began.
func (c *Client) removeWaiter() {
	c.mu.Lock()
	c.waiters--
	c.mu.Unlock()
}

// signalWaiters wakes all messages that wait for a connection. The caller holds mu.
func (c *Client) signalWaiters() {
	if c.waiters > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// waitUntil waits until at, or until changed is closed or ctx or the client ends.
func (c *Client) waitUntil(ctx context.Context, at time.Time, changed <-chan struct{}) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

// recordAttempt records the result of an attempt and keeps its connection if it is reusable. An
// attempt that its caller has cancelled does not count as a failure of the relay.
func (c *Client) recordAttempt(now time.Time, relay, dest int, cn *conn, rep reply, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reusable := cn != nil && rep.reusable && !rep.stopping && !c.closed
	wasUp := c.fleet.Up(relay)
	if end := rep.end; cancelled && end.Stage < Answered {
		c.fleet.Cut(relay)
	} else {
		c.fleet.Ended(now, relay, dest, end, reusable, rep.stopping)
	}
	if up := c.fleet.Up(relay); wasUp && !up {
		c.log.Info("relay is down or stopping; no message is sent to it", "relay", c.config.Relays[relay], "stopping",
			rep.stopping, "err", rep.err)
	}
	if rep.stopping {
		c.closeIdle(relay)
	}
	if reusable {
		c.addIdle(cn)
	} else if cn != nil {
		cn.sock.Close()
	}
	c.signalWaiters()
}

// addIdle adds a connection to the idle ones. The fleet has already counted it. The caller holds
// mu.
func (c *Client) addIdle(cn *conn) {
	c.idle[cn.relay] = append(c.idle[cn.relay], cn)
	if c.reaper == nil {
		c.reaper = time.AfterFunc(c.config.IdleAfter, c.closeExpiredIdle)
	}
}

// closeIdle closes the idle connections to a stopping relay. The caller holds mu.
func (c *Client) closeIdle(relay int) {
	for _, cn := range c.idle[relay] {
		cn.sock.Close()
		c.fleet.Retired(relay)
	}
	c.idle[relay] = nil
}

// closeExpiredIdle closes connections that were idle for IdleAfter. The client closes them before
// the relay does, since a close by the relay could coincide with a request.
func (c *Client) closeExpiredIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reaper = nil
	if c.closed {
		return
	}
	next := time.Duration(-1)
	for i := range c.idle {
		for len(c.idle[i]) > 0 {
			remaining := c.config.IdleAfter - time.Since(c.idle[i][0].lastUsed)
			if remaining > 0 {
				if next < 0 || remaining < next {
					next = remaining
				}
				break
			}
			c.idle[i][0].sock.Close()
			c.idle[i] = c.idle[i][1:]
			c.fleet.Retired(i)
		}
	}
	if next >= 0 {
		c.reaper = time.AfterFunc(next, c.closeExpiredIdle)
	}
}

// probe checks whether a relay that was down is ready. Its connection is kept for the next attempt.
func (c *Client) probe(relay int) {
	defer c.background.Done()
	addr := c.config.Relays[relay]
	cn, err := dial(c.ctx, relay, addr, c.config.ConnectTimeout)
	c.config.Observer.Connection(addr, err)
	ready, reusable := false, false
	if err == nil {
		stop := context.AfterFunc(c.ctx, func() { cn.sock.SetDeadline(time.Unix(1, 0)) })
		ready, reusable = cn.checkReady(addr, c.config.AnswerTimeout)
		reusable = stop() && reusable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reusable = reusable && !c.closed
	c.fleet.Probed(time.Now(), relay, ready, reusable)
	if reusable {
		c.addIdle(cn)
	} else if cn != nil {
		cn.sock.Close()
	}
	if ready {
		c.log.Info("relay is ready again", "relay", addr)
	}
	c.signalWaiters()
}
