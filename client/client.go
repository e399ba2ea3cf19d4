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

// Effect says what it does to hand a message in twice. The zero value is Unsafe.
type Effect = decide.Effect

// The effects of a repeat.
const (
	Unsafe = decide.Unsafe // must never take effect twice, like a fee charge
	Keyed  = decide.Keyed  // partners drop a repeat within Message.Window by its key, like an order
	Safe   = decide.Safe   // may be repeated freely, like a price alert
)

// Outcome is how a message ended; Stage is how far its last hand-in came.
type (
	Outcome = decide.Outcome
	Stage   = decide.Stage
)

// The outcomes of a message.
const (
	Taken     = decide.Taken     // a relay has taken it on and owes it its end
	Refused   = decide.Refused   // refused by every hand-in that the rules allow
	Failed    = decide.Failed    // not taken on, and a further hand-in would not help
	GivenUp   = decide.GivenUp   // what has to be waited for is longer than the time left
	Uncertain = decide.Uncertain // it may have been taken on, and may not be handed in again
)

// The stages of a hand-in.
const (
	NotConnected = decide.NotConnected // no byte went out
	WrittenPart  = decide.WrittenPart  // the last byte did not go out: it was not taken on
	WrittenWhole = decide.WrittenWhole // it may have been taken on
	Answered     = decide.Answered
)

// Message is what is handed in.
type Message struct {
	Class    string        // the first part of the path
	Dest     int           // number of the destination
	Key      string        // idempotency key for all hand-ins; made up if empty, but for Safe
	Effect   Effect        // of a repeat
	Window   time.Duration // Keyed: how long partners drop repeats; 0: DefaultWindow
	Deadline time.Time     // until when it may be delivered; zero: see TimeLeft
	TimeLeft time.Duration // the same, counted from Send; the deadline of ctx binds as well
	Body     []byte        // read until the result is there; 64 KiB at most
}

// Result is what became of a message.
type Result struct {
	Outcome  Outcome
	HandIns  int             // requests of which at least one byte went out
	Waits    []time.Duration // after refusals, as told or of our own
	Key      string          // idempotency key of all hand-ins
	ID       string          // correlation id of the last hand-in
	Relay    string          // of the last hand-in
	Took     time.Duration
	Attempts []Attempt // each hand-in in turn, also those of which no byte went out
}

// Attempt is one try to hand in.
type Attempt struct {
	ID, Relay, Mark string
	Stage           Stage
	Status          int
	Stated          time.Duration // X-Time-Left-Ms
	Err             error
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

	// NoSpread as Config.Spread opens connections as they are needed. It is there to measure against.
	NoSpread = -1

	maxBody = 64 << 10
	maxText = 256 // bytes of a class or key
)

// Config sets a client. Only Relays is needed.
type Config struct {
	Relays         []string      // host:port of each
	AnswerTimeout  time.Duration // for a relay's answer, from the last byte of the request on
	ConnectTimeout time.Duration
	IdleAfter      time.Duration // a connection is let go when idle for so long; relays close theirs after 6 s
	MaxConns       int           // connections to one relay
	MaxInFlight    int           // messages handed in by HandIn that have no result yet
	Repeats        int           // further hand-ins after lost answers; negative: none
	NoRefusals     bool          // no further hand-in after a refusal, where two are allowed
	Strict         bool          // Keyed: no repeat after a lost answer unless the stated time ends within the window
	Spread         time.Duration // over which reconnects after a loss are spread
	NewPerSecond   float64       // new connections a second; halved with each loss, growing back with answers
	NewBurst       float64       // new connections at once
	Observer       Observer      // told of all that happens; nil: nobody
	Log            *slog.Logger  // nil: silent
}

// Client hands messages in. It is safe for concurrent use.
type Client struct {
	set   Config
	rules decide.Rules
	log   *slog.Logger
	room  chan struct{} // a place for each message of HandIn
	flush sync.Mutex
	ctx   context.Context
	end   context.CancelFunc
	work  sync.WaitGroup // probes and messages of HandIn

	mu      sync.Mutex
	fleet   *decide.Fleet
	idle    [][]*conn // by relay, last used last
	waiting int
	changed chan struct{} // closed when there may be something to choose for those who wait
	reaper  *time.Timer
	closed  bool
}

// New returns a client of these relays. It opens no connection before one is needed. Errors name the field at fault.
func New(set Config) (*Client, error) {
	if len(set.Relays) == 0 {
		return nil, errors.New("client: Relays is empty")
	}
	for _, r := range set.Relays {
		if host, port, err := net.SplitHostPort(r); err != nil || host == "" || port == "" || !visible(r, maxText) {
			return nil, fmt.Errorf("client: Relays: %q is not host:port", r)
		}
	}
	if set.Spread < 0 && set.Spread != NoSpread {
		return nil, errors.New("client: Spread is negative")
	}
	for name, d := range map[string]time.Duration{"AnswerTimeout": set.AnswerTimeout, "ConnectTimeout": set.ConnectTimeout, "IdleAfter": set.IdleAfter} {
		if d < 0 {
			return nil, fmt.Errorf("client: %s is negative", name)
		}
	}
	orDefault(&set.AnswerTimeout, DefaultAnswerTimeout)
	orDefault(&set.ConnectTimeout, DefaultConnectTimeout)
	orDefault(&set.IdleAfter, DefaultIdleAfter)
	orDefault(&set.MaxConns, DefaultMaxConns)
	orDefault(&set.MaxInFlight, DefaultMaxInFlight)
	orDefault(&set.Repeats, DefaultRepeats)
	orDefault(&set.Spread, DefaultSpread)
	orDefault(&set.NewPerSecond, DefaultNewPerSecond)
	orDefault(&set.NewBurst, DefaultNewBurst)
	if set.MaxConns < 1 || set.MaxInFlight < 1 || !(set.NewPerSecond >= 1) || !(set.NewBurst >= 1) {
		return nil, errors.New("client: MaxConns, MaxInFlight, NewPerSecond and NewBurst must be at least 1")
	}
	c := &Client{set: set, log: set.Log, room: make(chan struct{}, set.MaxInFlight), idle: make([][]*conn, len(set.Relays)),
		rules:   decide.Rules{Refusals: decide.MaxRefusals, Repeats: max(0, set.Repeats), Strict: set.Strict},
		changed: make(chan struct{})}
	if set.NoRefusals {
		c.rules.Refusals = 0
	}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	if c.set.Observer == nil {
		c.set.Observer = nobody{}
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	// The draws of two processes must differ, also of two that start together.
	var seed [16]byte
	crand.Read(seed[:])
	own := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:]), binary.LittleEndian.Uint64(seed[8:])))
	c.fleet = decide.NewFleet(len(set.Relays), decide.Spread{Span: max(0, set.Spread), Rate: set.NewPerSecond, Burst: set.NewBurst}, own.Float64)
	return c, nil
}

func orDefault[T int | float64 | time.Duration](v *T, to T) {
	if *v == 0 {
		*v = to
	}
}

// check says what of m no relay could take, and completes it.
func (m *Message) check(now time.Time, ctx context.Context) (deadline time.Time, err error) {
	switch {
	case m.Class == "" || !visible(m.Class, maxText) || strings.ContainsAny(m.Class, "/?#%"):
		return deadline, fmt.Errorf("%w: Class %q", ErrMessage, m.Class)
	case m.Dest < 0:
		return deadline, fmt.Errorf("%w: Dest %d is negative", ErrMessage, m.Dest)
	case !visible(m.Key, maxText):
		return deadline, fmt.Errorf("%w: Key is not visible ASCII of up to %d bytes", ErrMessage, maxText)
	case m.Effect < Unsafe || m.Effect > Safe:
		return deadline, fmt.Errorf("%w: Effect %d", ErrMessage, int(m.Effect))
	case m.Window < 0 || m.TimeLeft < 0:
		return deadline, fmt.Errorf("%w: Window or TimeLeft is negative", ErrMessage)
	case len(m.Body) > maxBody:
		return deadline, fmt.Errorf("%w: Body has %d bytes, over %d", ErrMessage, len(m.Body), maxBody)
	}
	if deadline = m.Deadline; deadline.IsZero() && m.TimeLeft > 0 {
		deadline = now.Add(m.TimeLeft)
	}
	if by, ok := ctx.Deadline(); ok && (deadline.IsZero() || by.Before(deadline)) {
		deadline = by
	}
	if deadline.IsZero() {
		return deadline, fmt.Errorf("%w: no Deadline, no TimeLeft and none in ctx", ErrMessage)
	}
	if m.Key == "" && m.Effect != Safe {
		m.Key = token(16)
	}
	if m.Window == 0 {
		m.Window = DefaultWindow
	}
	return deadline, nil
}

// token is so many random bytes in hexadecimal.
func token(bytes int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:bytes])
}

// Send hands m in until a relay has taken it on or the rules allow no more, and returns its one result. The error is nil
// for Taken and an *Error else, but for a message that could not go out at all (ErrMessage, ErrClosed).
// Once ctx ends Send returns: with Uncertain if a hand-in may have been taken on, with Failed if not.
func (c *Client) Send(ctx context.Context, m Message) (Result, error) {
	began := time.Now()
	deadline, err := m.check(began, ctx)
	if err != nil {
		return Result{Outcome: Failed}, err
	}
	s := sending{c: c, m: &m, course: decide.NewCourse(c.rules, m.Effect, m.Window, deadline)}
	v, err := s.run(ctx)
	s.res.Outcome, s.res.HandIns, s.res.Waits, s.res.Key = v.Outcome, s.course.HandIns, s.course.Waits, m.Key
	s.res.Took = time.Since(began)
	c.set.Observer.Done(s.res)
	if v.Outcome == Taken {
		return s.res, nil
	}
	e := &Error{Outcome: v.Outcome, Relay: s.res.Relay, Err: err}
	if n := len(s.res.Attempts); n > 0 {
		e.Stage, e.Status = s.res.Attempts[n-1].Stage, s.res.Attempts[n-1].Status
	}
	if n := len(s.res.Waits); n > 0 {
		e.Wait = s.res.Waits[n-1]
	}
	c.log.Debug("message not taken on", "class", m.Class, "dest", m.Dest, "hand_ins", s.res.HandIns, "err", e)
	return s.res, e
}

// HandIn hands m in without waiting for its result, which goes to done on another goroutine. While MaxInFlight
// messages have no result it waits for room, until ctx ends: so it pushes back. ctx bounds the message as it does in
// Send. An error means that done is never called.
func (c *Client) HandIn(ctx context.Context, m Message, done func(Result, error)) error {
	select {
	case c.room <- struct{}{}:
		return c.start(ctx, m, done)
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrClosed
	}
}

// TryHandIn is HandIn that returns ErrFull where HandIn would wait.
func (c *Client) TryHandIn(ctx context.Context, m Message, done func(Result, error)) error {
	select {
	case c.room <- struct{}{}:
		return c.start(ctx, m, done)
	default:
		return ErrFull
	}
}

func (c *Client) start(ctx context.Context, m Message, done func(Result, error)) error {
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.work.Add(1)
	}
	c.mu.Unlock()
	if closed {
		<-c.room
		return ErrClosed
	}
	if m.Deadline.IsZero() && m.TimeLeft > 0 {
		m.Deadline = time.Now().Add(m.TimeLeft)
	}
	go func() {
		defer c.work.Done()
		defer func() { <-c.room }()
		done(c.Send(ctx, m))
	}()
	return nil
}

// Flush waits until every message of HandIn has its result, or until ctx ends. HandIn waits meanwhile.
func (c *Client) Flush(ctx context.Context) error {
	c.flush.Lock() // Guards against two that each hold a part of the room
	defer c.flush.Unlock()
	for n := range cap(c.room) {
		select {
		case c.room <- struct{}{}:
			defer func() { <-c.room }()
		case <-ctx.Done():
			return fmt.Errorf("messages without a result: %d: %w", cap(c.room)-n, ctx.Err())
		}
	}
	return nil
}

// Close lets go of all connections. Messages that wait end at once, hand-ins that are out get their answer first; it
// returns when all of HandIn have their result. Flush comes before it where none shall be cut short.
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
	c.end()
	c.work.Wait()
	return nil
}

// sending is one message on its way; one goroutine owns it.
type sending struct {
	c         *Client
	m         *Message
	course    *decide.Course
	res       Result
	notBefore time.Time
	lastErr   error
}

// run makes hand-ins until the message is over. The error is the last cause.
func (s *sending) run(ctx context.Context) (decide.Verdict, error) {
	for {
		now := time.Now()
		if err := ctx.Err(); errors.Is(err, context.DeadlineExceeded) {
			return s.outOfTime()
		} else if err != nil {
			return s.course.End(Failed), err
		}
		if s.c.ctx.Err() != nil {
			return s.course.End(Failed), ErrClosed
		}
		left := s.course.Left(now)
		if left < time.Millisecond {
			return s.outOfTime()
		}
		if now.Before(s.notBefore) {
			s.c.pause(ctx, s.notBefore, nil)
			continue
		}
		choice, cn, changed := s.c.choose(now, s.m.Dest, s.course.Avoid, left)
		if choice.Relay < 0 {
			if !choice.At.Before(now.Add(left)) && choice.Why == decide.ToldWait {
				s.c.unwait()
				return s.course.End(GivenUp), errWaitTooLong
			}
			s.c.pause(ctx, earlier(choice.At, now.Add(left)), changed)
			s.c.unwait()
			continue
		}
		if v := s.handIn(ctx, choice, cn); v.Over {
			return v, s.lastErr
		} else {
			s.notBefore = v.NotBefore
		}
	}
}

// outOfTime ends a message whose time is up: given up if it was ever refused, failed if no relay could be reached.
func (s *sending) outOfTime() (decide.Verdict, error) {
	if s.lastErr == nil {
		s.lastErr = errNoTime
	}
	if s.course.HandIns == 0 && len(s.res.Attempts) > 0 {
		return s.course.End(Failed), s.lastErr
	}
	return s.course.End(GivenUp), s.lastErr
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handIn makes one hand-in on cn, or on a new connection if it is nil.
func (s *sending) handIn(ctx context.Context, ch decide.Choice, cn *conn) decide.Verdict {
	c, addr := s.c, s.c.set.Relays[ch.Relay]
	at := Attempt{ID: token(8), Relay: addr, Mark: s.course.Mark}
	var rep reply
	began := time.Now()
	if cn == nil {
		cn, rep.err = dial(ctx, ch.Relay, addr, min(c.set.ConnectTimeout, s.course.Left(began)))
		c.set.Observer.Connection(addr, rep.err)
	}
	if cn != nil {
		began = time.Now()
		if at.Stated = s.course.Begin(began); at.Stated > 0 {
			cn.buf = appendRequest(cn.buf[:0], addr, at.ID, at.Mark, s.m, at.Stated)
			careful := s.m.Effect == Unsafe && began.Sub(cn.usedAt) >= lookAfter
			rep = cn.handIn(ctx, cn.buf, c.set.AnswerTimeout, careful)
		} else {
			rep.err = errNoTime
		}
	}
	now, jitter := time.Now(), rand.Float64()
	rep.end = rep.end.Waiting(len(s.course.Waits), jitter)
	at.Stage, at.Status, at.Err = rep.end.Stage, rep.end.Status, rep.err
	s.res.Attempts, s.res.ID, s.res.Relay = append(s.res.Attempts, at), at.ID, addr
	if at.Stage > NotConnected {
		c.set.Observer.HandIn(at, now.Sub(began))
	}
	c.ended(now, ch.Relay, s.m.Dest, cn, rep, ctx.Err() != nil)
	if s.lastErr = rep.err; at.Stage == Answered {
		s.lastErr = statusError(at.Status)
	} else if at.Stage == WrittenWhole && errors.Is(rep.err, os.ErrDeadlineExceeded) {
		s.lastErr = errNoAnswer
	}
	v := s.course.Ended(now, ch.Relay, rep.end, jitter)
	if err := ctx.Err(); err != nil && v.Outcome != Taken && !errors.Is(err, context.DeadlineExceeded) {
		if s.lastErr = err; !v.Over {
			return s.course.End(Failed)
		}
	}
	return v
}

// choose takes the connection for the next hand-in: an idle one, or none where a new one is booked. It starts a look
// at relays that are down. Where nothing can be chosen the caller counts as waiting until unwait.
func (c *Client) choose(now time.Time, dest, avoid int, left time.Duration) (decide.Choice, *conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := c.fleet.Probe(now, left); i >= 0 && !c.closed; i = c.fleet.Probe(now, left) {
		c.work.Add(1)
		go c.probe(i)
	}
	for {
		ch := c.fleet.Choose(now, dest, avoid, c.set.MaxConns, left)
		if ch.Relay < 0 {
			c.waiting++
			return ch, nil, c.changed
		}
		if ch.New {
			return ch, nil, nil
		}
		last := len(c.idle[ch.Relay]) - 1
		cn := c.idle[ch.Relay][last]
		c.idle[ch.Relay] = c.idle[ch.Relay][:last]
		if !cn.stale() {
			return ch, cn, nil
		}
		cn.sock.Close()
		c.fleet.Stale(now, ch.Relay)
	}
}

func (c *Client) unwait() {
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
}

// tell wakes whoever waits for something to choose. The caller holds mu.
func (c *Client) tell() {
	if c.waiting > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// pause waits until at, or until changed, ctx or the client ends.
func (c *Client) pause(ctx context.Context, at time.Time, changed <-chan struct{}) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

// ended books the end of a hand-in and keeps its connection if it is of use. A hand-in that its caller has cut short
// says nothing against the relay.
func (c *Client) ended(now time.Time, relay, dest int, cn *conn, rep reply, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := cn != nil && rep.keep && !rep.leaving && !c.closed
	was := c.fleet.Up(relay)
	if end := rep.end; cut && end.Stage < Answered {
		c.fleet.Cut(relay)
	} else {
		c.fleet.Ended(now, relay, dest, end, keep, rep.leaving)
	}
	if up := c.fleet.Up(relay); was && !up {
		c.log.Info("relay is left", "relay", c.set.Relays[relay], "stopping", rep.leaving, "err", rep.err)
	}
	if rep.leaving {
		c.letGo(relay)
	}
	if keep {
		c.keep(cn)
	} else if cn != nil {
		cn.sock.Close()
	}
	c.tell()
}

// keep puts a connection to the idle ones, whose number the fleet has booked. The caller holds mu.
func (c *Client) keep(cn *conn) {
	c.idle[cn.relay] = append(c.idle[cn.relay], cn)
	if c.reaper == nil {
		c.reaper = time.AfterFunc(c.set.IdleAfter, c.reap)
	}
}

// letGo closes the idle connections to a relay that stops. The caller holds mu.
func (c *Client) letGo(relay int) {
	for _, cn := range c.idle[relay] {
		cn.sock.Close()
		c.fleet.Retired(relay)
	}
	c.idle[relay] = nil
}

// reap closes what has been idle for long, before the relay does: a close of its own could cross a hand-in.
func (c *Client) reap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reaper = nil
	if c.closed {
		return
	}
	next := time.Duration(-1)
	for i := range c.idle {
		for len(c.idle[i]) > 0 {
			rest := c.set.IdleAfter - time.Since(c.idle[i][0].usedAt)
			if rest > 0 {
				if next < 0 || rest < next {
					next = rest
				}
				break
			}
			c.idle[i][0].sock.Close()
			c.idle[i] = c.idle[i][1:]
			c.fleet.Retired(i)
		}
	}
	if next >= 0 {
		c.reaper = time.AfterFunc(next, c.reap)
	}
}

// probe looks whether a relay that was down serves again; the connection is kept for the next hand-in.
func (c *Client) probe(relay int) {
	defer c.work.Done()
	addr := c.set.Relays[relay]
	cn, err := dial(c.ctx, relay, addr, c.set.ConnectTimeout)
	c.set.Observer.Connection(addr, err)
	ready, keep := false, false
	if err == nil {
		stop := context.AfterFunc(c.ctx, func() { cn.sock.SetDeadline(time.Unix(1, 0)) })
		ready, keep = cn.ready(addr, c.set.AnswerTimeout)
		keep = stop() && keep
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	keep = keep && !c.closed
	c.fleet.Probed(time.Now(), relay, ready, keep)
	if keep {
		c.keep(cn)
	} else if cn != nil {
		cn.sock.Close()
	}
	if ready {
		c.log.Info("relay serves again", "relay", addr)
	}
	c.tell()
}
