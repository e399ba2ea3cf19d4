package wire

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"oatfold/internal/index"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/internal/transient"
	"oatfold/plugin/abi"
	"oatfold/policy"
)

// callResult is a connection's report of a completed call.
type callResult struct {
	conn       *endpointConn
	call       *call
	results    []itemResult // one per item
	retryAfter time.Duration
	report     *policy.LimitReport
	err        error
	reusable   bool // the connection can carry another call

	unboundAnswers int // answers that were passed over, since nothing showed that they belong to the call
}

// endpointConn is a connection to an endpoint. Its goroutine carries one call at a time.
type endpointConn struct {
	endpoint      *endpoint
	calls         chan *call
	sock          net.Conn
	reader        *bufio.Reader
	lastUsed      time.Time                  // owned by the host
	idleNode      *index.Node[*endpointConn] // position among idle connections; owned by the host
	lastAnswerAt  time.Time                  // when the last answer was read; zero: never
	answers       answerHistory              // of the socket
	dialTimeout   time.Duration
	lateListeners *atomic.Int32 // connections read after their call timed out; nil: not counted
	shutdown      *atomic.Int32 // a shutdownStage; nil: the process never shuts down

	// dial is set by tests only.
	dial func(addr string, limit time.Duration) (net.Conn, error)

	plugins *plugin.Holder
	metrics *metrics.Set // nil: none are recorded
	buf     []byte
}

// run makes calls until the channel is closed or the connection is no longer usable.
func (c *endpointConn) run(events chan<- any) {
	for cl := range c.calls {
		res := c.makeCall(cl)
		listen := !res.reusable && c.closeSending(res)
		if !res.reusable && !listen {
			c.close()
		}
		events <- res
		if listen {
			// A Retry-After that arrives just after the timeout still applies.
			if delay := c.readLateRetryAfter(); delay > 0 {
				events <- lateRetryAfter{c.endpoint, delay}
			}
			c.close()
			c.releaseListener()
		}
		if !res.reusable {
			return
		}
	}
	c.close()
}

// close closes the socket, if there is one. The next call dials again.
func (c *endpointConn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock, c.lastAnswerAt, c.answers = nil, time.Time{}, answerHistory{}
	}
}

// makeCall makes one call. A panic ends only this connection and this call.
func (c *endpointConn) makeCall(cl *call) (res callResult) {
	res = callResult{conn: c, call: cl}
	stage := Started
	fail := func(err error) {
		attemptErr := &AttemptError{stage, err}
		res.err, res.reusable, res.results = attemptErr, false,
			cl.markExcluded(uniformResults(cl, itemResult{outcome: attemptErr.Outcome()}))
	}
	defer func() {
		if p := recover(); p != nil {
			fail(fmt.Errorf("panic: %v", p))
		}
	}()
	plugins := c.plugins.Acquire()
	if plugins != nil {
		defer plugins.Release()
	}
	if sendable, err := cl.prepare(plugins); !sendable {
		res.results = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Unsent}))
		res.err, res.reusable = err, c.sock != nil
		return res
	}
	if err := c.connect(cl); err != nil {
		fail(err)
		return res
	}
	stage = Connected
	if err := c.writeCall(cl); err != nil {
		fail(err)
		return res
	}
	stage = Written
	c.metrics.CountAttempts(cl.includedCount())
	a, headErr, bodyErr := c.readAnswer(cl, &res)
	if a != nil {
		stage = Answered
	}
	// A complete status line with 200 proves the delivery of a single message.
	delivered := a != nil && a.status == 200 && cl.includedCount() == 1
	if headErr != nil {
		if fail(headErr); delivered {
			res.results = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.Delivered}))
		}
		return res
	}
	res.report = parseLoadReport(a.get("X-Backend-Load"))
	if bodyErr != nil && !delivered {
		// A rejection counts only if all of the answer could be read; else the message may have
		// run.
		fail(bodyErr)
		return res
	}
	c.applyAnswer(cl, a, bodyErr == nil, &res)
	if plugins != nil && bodyErr == nil && plugins.HasHook(abi.ReadAnswer) {
		if delay := cl.readAnswer(plugins, a, res.results, res.retryAfter); delay > res.retryAfter {
			res.retryAfter = delay
			cl.endpoint.backoff.extend(delay)
		}
	}
	return res
}

// connect makes sure that the connection can carry the call: it keeps the one that is open, or dials.
func (c *endpointConn) connect(cl *call) error {
	c.closeIfUnbindable()
	if c.sock != nil {
		// Surplus bytes after the last answer mostly arrive within this delay and make the connection
		// stale. Later ones are told from the answer to this call by answerHistory.
		time.Sleep(settleDelay - time.Since(c.lastAnswerAt))
	}
	if c.sock != nil && stale(c.sock) {
		// A request on a connection that the endpoint closed while it was idle would end in a
		// reset, and the message might have run.
		c.close()
	}
	if c.sock != nil {
		return nil
	}
	limit := min(c.dialTimeout, time.Until(cl.deadline))
	if limit <= 0 {
		return os.ErrDeadlineExceeded
	}
	sock, err := c.dialWithRetry(limit)
	if err != nil {
		return err
	}
	c.sock, c.reader = sock, bufio.NewReaderSize(sock, readBufferSize)
	return nil
}

// writeCall writes the request. Any error means that its last byte was not written.
func (c *endpointConn) writeCall(cl *call) error {
	if !cl.excludeExpired(time.Now()) {
		return errBlocked
	}
	c.sock.SetDeadline(cl.deadline)
	cl.last = c.answers.mayRepeat(cl.includedCount() == 1, cl.effect, &cl.endpoint.traits)
	// Dialing has used up part of the call's time: the request states what is left.
	c.buf = appendRequest(c.buf[:0], cl, time.Until(cl.deadline))
	// A Retry-After or a drain may have arrived while this call was dialed or built. A process that
	// shuts down leaves the call to the next start instead of being cut off after the last byte.
	if c.blocked(cl) {
		return errBlocked
	}
	if cl.lastByteDelay == 0 {
		_, err := c.sock.Write(c.buf)
		return err
	}
	last := len(c.buf) - 1
	if _, err := c.sock.Write(c.buf[:last]); err != nil {
		return err
	}
	// Until the last byte is written the call has not run. A reset that shows up now allows a
	// retry.
	c.sock.SetReadDeadline(time.Now().Add(cl.lastByteDelay))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return c.earlyEndError(err)
	}
	// A Retry-After, a drain or the shutdown may have come during the delay.
	if c.blocked(cl) {
		return errBlocked
	}
	c.sock.SetReadDeadline(cl.deadline)
	_, err := c.sock.Write(c.buf[last:])
	return err
}

// blocked reports whether the call must not be written now.
func (c *endpointConn) blocked(cl *call) bool {
	return c.blockedByShutdown(cl) || cl.endpoint.blocked()
}

// applyAnswer sets the results of the call by its answer. whole says that all of it was read.
func (c *endpointConn) applyAnswer(cl *call, a *response, whole bool, res *callResult) {
	firstAnswer := c.lastAnswerAt.IsZero()
	// Bytes after the answer must not be read as the answer to the next call.
	res.reusable = whole && a.reusable && res.unboundAnswers == 0 && c.reader.Buffered() == 0
	res.results, c.lastAnswerAt = cl.markExcluded(itemResults(cl, a)), time.Now()
	if !whole {
		return
	}
	c.recordAnswer(cl, a, res.results)
	if firstAnswer && atConnectionLimit(a) {
		res.results = cl.markExcluded(uniformResults(cl, itemResult{outcome: policy.ConnectFailed}))
		res.err = errConnectionLimit
	}
}

// dialRetryDelay is the pause after a transient failure of this machine.
const dialRetryDelay = 20 * time.Millisecond

// dialWithRetry dials within limit. It retries transient failures of this machine, which say
// nothing about the endpoint.
func (c *endpointConn) dialWithRetry(limit time.Duration) (net.Conn, error) {
	dial := c.dial
	if dial == nil {
		dial = func(addr string, limit time.Duration) (net.Conn, error) {
			return (&net.Dialer{Timeout: limit, KeepAlive: -1}).Dial("tcp", addr)
		}
	}
	for giveUpAt := time.Now().Add(limit); ; {
		sock, err := dial(c.endpoint.addr, limit)
		if limit = time.Until(giveUpAt); err == nil || !transient.Is(err) || limit <= dialRetryDelay {
			return sock, err
		}
		time.Sleep(dialRetryDelay)
		limit -= dialRetryDelay
	}
}

// shutdownStage is the progress of a planned shutdown.
type shutdownStage = int32

const (
	shutdownNone          shutdownStage = iota
	shutdownNoUnsafeCalls               // no call is written that must not run twice
	shutdownNoCalls                     // no call is written
)

// blockedByShutdown reports whether the shutdown forbids writing the call.
func (c *endpointConn) blockedByShutdown(cl *call) bool {
	if c.shutdown == nil {
		return false
	}
	stage := c.shutdown.Load()
	return stage >= shutdownNoCalls || stage >= shutdownNoUnsafeCalls && cl.lastByteDelay > 0
}

const (
	answerRestTimeout = 500 * time.Millisecond // for the rest of an answer after its first line
	lastByteDelay     = 4 * time.Millisecond   // before the last byte of a call that must not run twice
	settleDelay       = 10 * time.Millisecond  // from an answer to the next call on the same connection
)

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
