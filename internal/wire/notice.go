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

// A notice is due within 300 ms of its message's time. The platform answers at once, but a connection may hang or come up late, and an
// agent may be slow: a further attempt is made beside the one that is out, which may still be answered.
const (
	notificationPatience       = 120 * time.Millisecond // for an answer, until the next attempt goes out beside it
	maxNotificationAttempts    = 6                      // attempts that are out at once, each with a connection
	notificationTimeout        = maxNotificationAttempts * notificationPatience
	notificationBackoff        = 20 * time.Millisecond // after a failure
	maxNotificationsPerRequest = 200                   // lines in one request
)

// pendingNotification is a notice on its way to the platform.
type pendingNotification struct {
	num uint32
	id  string
	memory.Notification
}

// notificationsAccepted tells the host which notices the platform has taken.
type notificationsAccepted struct{ nums []uint32 }

// notificationResult is how an attempt to hand notices to the platform ended.
type notificationResult struct {
	conn   *agentConn
	list   []pendingNotification
	status int // of the answer; 0: there was none
	err    error
}

// notifier sends notices, each again until the platform has taken it, which does no harm. One goroutine owns it.
type notifier struct {
	agentAddr   *atomic.Pointer[string]
	log         *slog.Logger
	queue       []pendingNotification // not taken yet, the oldest first
	idle        *agentConn            // a connection that carries no attempt; nil: none
	inFlight    int                   // attempts
	results     chan notificationResult
	nextAttempt time.Time // no attempt before; while one is out, when the next goes out beside it
	batchLimit  int       // lines in the next request
	failing     bool
}

// runNotifier sends what comes in, for good. The address may change at any time; what the old one has not taken goes to the new one.
func runNotifier(at *atomic.Pointer[string], in <-chan pendingNotification, events chan<- any, log *slog.Logger) {
	n := &notifier{agentAddr: at, log: log, results: make(chan notificationResult, maxNotificationAttempts), batchLimit: maxNotificationsPerRequest}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var due <-chan time.Time // nil: there is nothing to send, or no lane for it
		if len(n.queue) > 0 && n.inFlight < maxNotificationAttempts {
			timer.Reset(time.Until(n.nextAttempt))
			due = timer.C
		}
		select {
		case one := <-in:
			n.queue = append(n.queue, one)
		case e := <-n.results:
			if nums := n.handleResult(e); len(nums) > 0 {
				events <- notificationsAccepted{nums}
			}
		case <-due:
			n.drainInput(in)
			n.send()
		}
	}
}

// drainInput takes in all that has come, so that it goes out in one request.
func (n *notifier) drainInput(in <-chan pendingNotification) {
	for {
		select {
		case one := <-in:
			n.queue = append(n.queue, one)
		default:
			return
		}
	}
}

// send makes an attempt with the oldest notices.
func (n *notifier) send() {
	addr, p := *n.agentAddr.Load(), n.idle
	if n.idle = nil; p != nil && p.addr != addr {
		p.close()
		p = nil
	}
	if p == nil {
		p = &agentConn{addr: addr}
	}
	list := append([]pendingNotification(nil), n.queue[:min(len(n.queue), n.batchLimit)]...)
	n.inFlight++
	n.nextAttempt = time.Now().Add(notificationPatience)
	go func() {
		e := notificationResult{conn: p, list: list}
		a, err := p.roundTrip(context.Background(), notificationRequest(p.addr, list), notificationTimeout)
		if e.err = err; err == nil {
			e.status = a.status
		}
		n.results <- e
	}()
}

// handleResult takes the end of an attempt in, and returns what the platform has taken with it.
func (n *notifier) handleResult(e notificationResult) (nums []uint32) {
	n.inFlight--
	if n.idle != nil {
		n.idle.close() // one is enough while nothing hangs
	}
	n.idle = e.conn
	switch {
	case e.status == 204:
		n.batchLimit = maxNotificationsPerRequest
		nums = n.removeAccepted(e.list)
	case e.status == 400 && len(e.list) == 1:
		// Guards against one line that the platform can't read blocking all others for good.
		n.log.Error("notice refused by the platform", "message", e.list[0].id)
		nums = n.removeAccepted(e.list)
	case e.status == 400:
		n.batchLimit, n.nextAttempt = 1, time.Time{} // find the line that can't be read
	default:
		n.recordFailure(e)
	}
	return nums
}

// removeAccepted takes what the platform has out of the queue.
func (n *notifier) removeAccepted(list []pendingNotification) (nums []uint32) {
	if n.failing {
		n.log.Info("notices are taken again", "owed", len(n.queue))
	}
	n.failing, n.nextAttempt = false, time.Time{}
	gone := make(map[uint32]struct{}, len(list))
	for _, one := range list {
		gone[one.num] = struct{}{}
	}
	left := n.queue[:0]
	for _, one := range n.queue {
		if _, taken := gone[one.num]; taken {
			nums = append(nums, one.num)
			continue
		}
		left = append(left, one)
	}
	n.queue = left
	return nums
}

// recordFailure books an attempt without an answer of use.
func (n *notifier) recordFailure(e notificationResult) {
	if e.err == nil {
		e.err = fmt.Errorf("status %d", e.status)
	}
	if !n.failing {
		n.log.Warn("notices fail and are tried again", "err", e.err, "owed", len(n.queue))
	}
	n.failing = true
	if again := time.Now().Add(notificationBackoff); again.Before(n.nextAttempt) {
		n.nextAttempt = again
	}
}

func notificationRequest(addr string, list []pendingNotification) []byte {
	var body []byte
	for _, n := range list {
		body = gjson.AppendJSONString(append(body, `{"message":`...), n.id)
		if n.Returned {
			body = append(body, `,"outcome":"handed_back"`...)
			if ms := n.RetryAfter.Milliseconds(); ms > 0 {
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
