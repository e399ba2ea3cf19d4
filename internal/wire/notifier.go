package wire

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"oatfold/internal/memory"
)

// A notification is due within 300 ms of its message's deadline. A connection may hang or come up
// late, and an agent may be slow, so another attempt is made in parallel with an unanswered one.
const (
	notificationHedgeDelay     = 120 * time.Millisecond // without an answer, until a parallel attempt starts
	maxNotificationAttempts    = 6                      // attempts in flight, each on its own connection
	notificationTimeout        = maxNotificationAttempts * notificationHedgeDelay
	notificationBackoff        = 20 * time.Millisecond // after a failure
	maxNotificationsPerRequest = 200                   // lines per request
)

// pendingNotification is an outcome notification that the platform has not accepted yet.
type pendingNotification struct {
	num uint32
	id  string
	memory.Notification
}

// notificationsAccepted tells the host which notifications the platform has accepted.
type notificationsAccepted struct{ nums []uint32 }

// notificationResult is the result of an attempt to send notifications.
type notificationResult struct {
	conn   *agentConn
	list   []pendingNotification
	status int // of the answer; 0: none
	err    error
}

// notifier sends notifications and repeats each until the platform accepts it. Repeats do no harm.
// One goroutine owns it.
type notifier struct {
	agentAddr   *atomic.Pointer[string]
	log         *slog.Logger
	queue       []pendingNotification // not accepted yet, the oldest first
	idle        *agentConn            // idle connection; nil: none
	inFlight    int                   // attempts
	results     chan notificationResult
	nextAttempt time.Time // earliest time of the next attempt
	batchLimit  int       // lines in the next request
	failing     bool
}

// runNotifier sends what arrives on in and never returns. The address may change at any time; what
// the old one has not accepted goes to the new one.
func runNotifier(
	agentAddr *atomic.Pointer[string], in <-chan pendingNotification, events chan<- any, log *slog.Logger,
) {
	n := &notifier{
		agentAddr:  agentAddr,
		log:        log,
		results:    make(chan notificationResult, maxNotificationAttempts),
		batchLimit: maxNotificationsPerRequest,
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var due <-chan time.Time // nil: nothing to send, or too many attempts in flight
		if len(n.queue) > 0 && n.inFlight < maxNotificationAttempts {
			timer.Reset(time.Until(n.nextAttempt))
			due = timer.C
		}
		select {
		case notification := <-in:
			n.queue = append(n.queue, notification)
		case result := <-n.results:
			if nums := n.handleResult(result); len(nums) > 0 {
				events <- notificationsAccepted{nums}
			}
		case <-due:
			n.drainInput(in)
			n.send()
		}
	}
}

// drainInput queues all that has arrived, so that it goes out in one request.
func (n *notifier) drainInput(in <-chan pendingNotification) {
	for {
		select {
		case notification := <-in:
			n.queue = append(n.queue, notification)
		default:
			return
		}
	}
}

// send starts an attempt with the oldest notifications.
func (n *notifier) send() {
	addr, conn := *n.agentAddr.Load(), n.idle
	if n.idle = nil; conn != nil && conn.addr != addr {
		conn.close()
		conn = nil
	}
	if conn == nil {
		conn = &agentConn{addr: addr}
	}
	batch := append([]pendingNotification(nil), n.queue[:min(len(n.queue), n.batchLimit)]...)
	n.inFlight++
	n.nextAttempt = time.Now().Add(notificationHedgeDelay)
	go func() {
		result := notificationResult{conn: conn, list: batch}
		a, err := conn.roundTrip(context.Background(), notificationRequest(conn.addr, batch), notificationTimeout)
		if result.err = err; err == nil {
			result.status = a.status
		}
		n.results <- result
	}()
}

// handleResult processes the result of an attempt. It returns the numbers of the messages whose
// notifications were accepted.
func (n *notifier) handleResult(result notificationResult) (nums []uint32) {
	n.inFlight--
	if n.idle != nil {
		n.idle.close() // one idle connection is enough
	}
	n.idle = result.conn
	switch {
	case result.status == 204:
		n.batchLimit = maxNotificationsPerRequest
		nums = n.removeAccepted(result.list)
	case result.status == 400 && len(result.list) == 1:
		// A line that the platform cannot read must not block all others.
		n.log.Error("notification rejected by the platform", "message", result.list[0].id)
		nums = n.removeAccepted(result.list)
	case result.status == 400:
		n.batchLimit, n.nextAttempt = 1, time.Time{} // find the malformed line
	default:
		n.recordFailure(result)
	}
	return nums
}

// removeAccepted removes accepted notifications from the queue and returns the numbers of their
// messages.
func (n *notifier) removeAccepted(batch []pendingNotification) (nums []uint32) {
	if n.failing {
		n.log.Info("notifications are accepted again", "owed", len(n.queue))
	}
	n.failing, n.nextAttempt = false, time.Time{}
	accepted := make(map[uint32]struct{}, len(batch))
	for _, notification := range batch {
		accepted[notification.num] = struct{}{}
	}
	remaining := n.queue[:0]
	for _, notification := range n.queue {
		if _, isAccepted := accepted[notification.num]; isAccepted {
			nums = append(nums, notification.num)
			continue
		}
		remaining = append(remaining, notification)
	}
	n.queue = remaining
	return nums
}

// recordFailure records an attempt without a usable answer.
func (n *notifier) recordFailure(result notificationResult) {
	if result.err == nil {
		result.err = fmt.Errorf("status %d", result.status)
	}
	if !n.failing {
		n.log.Warn("notifications failed and are retried", "err", result.err, "owed", len(n.queue))
	}
	n.failing = true
	if retryAt := time.Now().Add(notificationBackoff); retryAt.Before(n.nextAttempt) {
		n.nextAttempt = retryAt
	}
}

// notificationRequest returns the HTTP request for a batch, with one JSON object per line.
func notificationRequest(addr string, batch []pendingNotification) []byte {
	var body []byte
	for _, notification := range batch {
		body = gjson.AppendJSONString(append(body, `{"message":`...), notification.id)
		if notification.Returned {
			body = append(body, `,"outcome":"handed_back"`...)
			if ms := notification.RetryAfter.Milliseconds(); ms > 0 {
				body = strconv.AppendInt(append(body, `,"retry_in_ms":`...), ms, 10)
			}
		} else {
			body = append(body, `,"outcome":"given_up"`...)
		}
		body = append(body, "}\n"...)
	}
	b := fmt.Appendf(nil, "POST /v1/notices HTTP/1.1\r\nHost: %s\r\n", addr)
	return append(appendLength(b, len(body)), body...)
}
