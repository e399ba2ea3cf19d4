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
	"strings"
	"sync"
	"time"

	"oatfold/client/decide"
)

// Effect says whether a message may be delivered twice. The zero value is Unsafe.
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
	Refused   = decide.Refused   // not accepted: rejected, and no retry is left
	Failed    = decide.Failed    // not accepted for another reason: another status, no relay reached, cancelled
	GivenUp   = decide.GivenUp   // not accepted: no time left for another attempt or the wait before it
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
	Class    string        // sent as the path: visible ASCII without / ? # %, 256 bytes at most
	Dest     int           // number of the destination
	Key      string        // idempotency key, 256 bytes at most; generated if empty, except for Safe
	Effect   Effect        // of a second delivery
	Window   time.Duration // Keyed: how long partners drop repeats; 0: DefaultWindow
	Deadline time.Time     // latest time of delivery; zero: see TimeLeft
	TimeLeft time.Duration // until the deadline, from Send or HandIn, if Deadline is zero; ctx may end earlier
	Body     []byte        // must not change before the result; 64 KiB at most
}

// Result is the final result of a message.
type Result struct {
	Outcome  Outcome
	HandIns  int             // attempts that sent at least one byte
	Waits    []time.Duration // after each rejection: Retry-After, or the library's own
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
	AnswerTimeout  time.Duration // to write a request and read its answer
	ConnectTimeout time.Duration // for a new connection
	IdleAfter      time.Duration // idle connections are closed after this; relays normally close theirs after 6 s
	MaxConns       int           // connections to one relay, at most
	MaxInFlight    int           // messages of HandIn without a result, at most
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

// validate fills in defaults of m and returns its deadline, which that of ctx bounds. It returns an
// error that wraps ErrMessage if no relay would accept m.
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

// randomHex returns count random bytes, 16 at most, in hexadecimal.
func randomHex(count int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:count])
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

// TryHandIn is like HandIn, but returns ErrFull where HandIn would block.
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
// meanwhile, and TryHandIn returns ErrFull.
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
// answer. Close returns when all messages of HandIn have their result; its error is always nil.
// Call Flush first to let waiting messages complete.
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
