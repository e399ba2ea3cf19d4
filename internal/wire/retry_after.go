package wire

import (
	"errors"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"oatfold/internal/handover"
)

// This file handles the Wait-Ms header of endpoints. The delay counts from when the endpoint writes
// it, so it is read as early as possible, and also after the call has timed out.

const (
	maxRetryAfterMs = 600_000 // longer delays are cut to this

	// lateAnswerWindow is how long a connection is read after its call timed out and its sending
	// side was closed. An answer that was written before the endpoint saw that arrives within a
	// round trip.
	lateAnswerWindow = 200 * time.Millisecond
)

// MaxLateListeners is how many connections at once are read after their call timed out. Descriptors
// are reserved for them. Further ones are closed at once, and a late Retry-After is lost.
const MaxLateListeners = 16

// retryAfter returns the longest delay of the Wait-Ms fields, rounded up to a millisecond; 0: none.
func (h *head) retryAfter() time.Duration {
	var longest time.Duration
	for _, f := range h.fields {
		if strings.EqualFold(f.name, "Wait-Ms") {
			longest = max(longest, parseWaitMs(f.value))
		}
	}
	return longest
}

// parseWaitMs reads whole or decimal milliseconds; 0 if s is not such a number.
func parseWaitMs(s string) time.Duration {
	if strings.Trim(s, "0123456789.") != "" {
		return 0 // no sign, no exponent, no Inf or NaN
	}
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(math.Ceil(min(ms, maxRetryAfterMs))) * time.Millisecond
}

// lateRetryAfter is a Retry-After that arrived after its call timed out.
type lateRetryAfter struct {
	endpoint   *endpoint
	retryAfter time.Duration
}

// closeSending gives up a call that timed out by closing the sending side of its connection. It
// reports whether the other side may still be read.
func (c *endpointConn) closeSending(res callResult) bool {
	var attemptErr *AttemptError
	if !errors.As(res.err, &attemptErr) || attemptErr.Stage != Written ||
		!errors.Is(attemptErr.Err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.lateListeners != nil && c.lateListeners.Add(1) > MaxLateListeners {
		c.lateListeners.Add(-1)
		return false
	}
	sock, ok := c.sock.(interface{ CloseWrite() error })
	if !ok || sock.CloseWrite() != nil {
		c.releaseListener()
		return false
	}
	return true
}

// releaseListener lets another connection be read after its call.
func (c *endpointConn) releaseListener() {
	if c.lateListeners != nil {
		c.lateListeners.Add(-1)
	}
}

// readLateRetryAfter reads a connection whose sending side is closed. It applies and returns the
// Retry-After of the answer; 0: none. The rest of the answer is ignored, since its call has a
// result already.
func (c *endpointConn) readLateRetryAfter() time.Duration {
	c.sock.SetReadDeadline(time.Now().Add(lateAnswerWindow))
	a, _ := readResponseHead(c.reader)
	if a == nil {
		return 0
	}
	return c.endpoint.recordRetryAfter(&a.head)
}

// recordRetryAfter extends the backoff by the Retry-After of an answer's head, as far as it was
// read, and returns that delay.
func (ep *endpoint) recordRetryAfter(h *head) time.Duration {
	delay := h.retryAfter()
	if delay > 0 {
		ep.backoff.extend(delay)
	}
	return delay
}

// applyRetryAfter passes a Retry-After on to other relays, to the next process, and to the endpoint
// that is listed now: ep may have left the list during the call. The backoff of ep is extended
// already.
func (h *Host) applyRetryAfter(ep *endpoint, delay time.Duration) {
	if delay <= 0 {
		return
	}
	h.gossiper.RecordRetryAfter(h.now(), h.reportKeys.Key(ep.id, ep.dest), delay)
	if h.leavingProcess != nil {
		h.untransferredRetryAfters = append(h.untransferredRetryAfters,
			handover.RetryAfter{Endpoint: ep.id, Dest: ep.dest, Until: h.dateAfter(delay)})
	}
	listed := h.endpoints[ep.id]
	switch {
	case ep.backoff == h.destBackoffs[ep.dest]:
		// The destination's backoff outlives its endpoints.
	case listed == nil:
		h.removedRouteBackoffs[ep.id] = ep.backoff
	case listed.dest == ep.dest && listed.backoff != ep.backoff:
		listed.backoff.extend(delay)
	}
}

// handleLateRetryAfter reports a late Retry-After to the policy engine, which would otherwise use
// up attempts on an endpoint that is blocked.
func (h *Host) handleLateRetryAfter(late lateRetryAfter) {
	h.log.Debug("received Retry-After after the call timed out",
		"endpoint", late.endpoint.id, "dest", late.endpoint.dest, "wait", late.retryAfter)
	h.applyRetryAfter(late.endpoint, late.retryAfter)
	h.relay.ApplyRetryAfter(h.now(), late.endpoint.id, late.retryAfter)
}
