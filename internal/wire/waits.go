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

// What endpoints tell this relay to wait for, however and whenever it comes. A wait counts from the moment in which
// the endpoint writes it, so it is read as early as it can be, and also behind the end of its call.

const (
	maxRetryAfterMs = 600_000 // a longer wait is taken for this one

	// lateAnswerWindow is for how long a call that timed out is listened to, from the end of our sending on. An answer that was
	// written before the endpoint saw that end arrives within a round trip.
	lateAnswerWindow = 200 * time.Millisecond
)

// MaxLateListeners is how many connections at once are listened to behind the end of their calls: descriptors that nothing else
// may count on. The next ones are closed at once, and a wait that crosses there is lost.
const MaxLateListeners = 16

// retryAfter is the longest wait that the fields of an answer tell, rounded up to a millisecond; 0: none.
func (h *head) retryAfter() time.Duration {
	var longest time.Duration
	for _, f := range h.fields {
		if strings.EqualFold(f.name, "Wait-Ms") {
			longest = max(longest, parseWaitMs(f.value))
		}
	}
	return longest
}

// parseWaitMs reads milliseconds, whole or decimal; 0 for what is no such number.
func parseWaitMs(s string) time.Duration {
	if strings.Trim(s, "0123456789.") != "" {
		return 0 // neither a sign nor an exponent, and no name of a number
	}
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(math.Ceil(min(ms, maxRetryAfterMs))) * time.Millisecond
}

// lateRetryAfter is a wait that came behind the end of its call.
type lateRetryAfter struct {
	endpoint   *endpoint
	retryAfter time.Duration
}

// closeSending gives up a call that timed out by ending our side of its connection, and tells whether the other side may
// still be listened to.
func (c *endpointConn) closeSending(res callResult) bool {
	var step *AttemptError
	if !errors.As(res.err, &step) || step.Stage != Written || !errors.Is(step.Err, os.ErrDeadlineExceeded) {
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

// releaseListener makes room for another connection to be listened to.
func (c *endpointConn) releaseListener() {
	if c.lateListeners != nil {
		c.lateListeners.Add(-1)
	}
}

// readLateRetryAfter listens to a connection whose sending was ended, closes the gate for a wait that its answer tells, and
// returns that wait; 0: none. The rest of such an answer proves nothing any more: its call has had its end.
func (c *endpointConn) readLateRetryAfter() time.Duration {
	c.sock.SetReadDeadline(time.Now().Add(lateAnswerWindow))
	a, _ := readResponseHead(c.reader)
	if a == nil {
		return 0
	}
	return c.endpoint.recordRetryAfter(&a.head)
}

// recordRetryAfter closes the gate for the wait that the head of an answer tells, as far as it was read, and returns that wait.
func (ep *endpoint) recordRetryAfter(h *head) time.Duration {
	wait := h.retryAfter()
	if wait > 0 {
		ep.backoff.extend(wait)
	}
	return wait
}

// applyRetryAfter passes a wait on: to other relays, to the process that takes this one's place, and to what stands in the
// list for ep now, which may have left it while its call was out. The gate is closed already.
func (h *Host) applyRetryAfter(ep *endpoint, wait time.Duration) {
	if wait <= 0 {
		return
	}
	h.gossiper.RecordRetryAfter(h.now(), h.targets.Key(ep.id, ep.dest), wait)
	if h.sendToSuccessor != nil {
		h.untransferredWaits = append(h.untransferredWaits, handover.RetryAfter{Endpoint: ep.id, Dest: ep.dest, Until: h.dateAfter(wait)})
	}
	listed := h.endpoints[ep.id]
	switch {
	case ep.backoff == h.destBackoffs[ep.dest]:
		// The destination's own gate outlasts its endpoints.
	case listed == nil:
		h.removedRouteBackoffs[ep.id] = ep.backoff
	case listed.dest == ep.dest && listed.backoff != ep.backoff:
		listed.backoff.extend(wait)
	}
}

// handleLateRetryAfter tells the module of a wait that came behind the end of its call. Guards against calls that it would send
// into the closed gate, each of which would use up an attempt.
func (h *Host) handleLateRetryAfter(e lateRetryAfter) {
	h.log.Debug("wait told behind the end of its call", "endpoint", e.endpoint.id, "dest", e.endpoint.dest, "wait", e.retryAfter)
	h.applyRetryAfter(e.endpoint, e.retryAfter)
	h.relay.ApplyRetryAfter(h.now(), e.endpoint.id, e.retryAfter)
}
