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
	noticePatience = 120 * time.Millisecond // for an answer, until the next attempt goes out beside it
	noticeLanes    = 6                      // attempts that are out at once, each with a connection
	noticeLimit    = noticeLanes * noticePatience
	noticeBackoff  = 20 * time.Millisecond // after a failure
	noticeMost     = 200                   // lines in one request
)

// owed is a notice on its way to the platform.
type owed struct {
	num uint32
	id  string
	memory.Notification
}

// noticed tells the host which notices the platform has taken.
type noticed struct{ nums []uint32 }

// noticeEnd is how an attempt to hand notices to the platform ended.
type noticeEnd struct {
	peer   *peer
	list   []owed
	status int // of the answer; 0: there was none
	err    error
}

// notifier sends notices, each again until the platform has taken it, which does no harm. One goroutine owns it.
type notifier struct {
	at      *atomic.Pointer[string]
	log     *slog.Logger
	queue   []owed // not taken yet, the oldest first
	idle    *peer  // a connection that carries no attempt; nil: none
	out     int    // attempts
	ends    chan noticeEnd
	next    time.Time // no attempt before; while one is out, when the next goes out beside it
	most    int       // lines in the next request
	failing bool
}

// notify sends what comes in, for good. The address may change at any time; what the old one has not taken goes to the new one.
func notify(at *atomic.Pointer[string], in <-chan owed, events chan<- any, log *slog.Logger) {
	n := &notifier{at: at, log: log, ends: make(chan noticeEnd, noticeLanes), most: noticeMost}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var due <-chan time.Time // nil: there is nothing to send, or no lane for it
		if len(n.queue) > 0 && n.out < noticeLanes {
			timer.Reset(time.Until(n.next))
			due = timer.C
		}
		select {
		case one := <-in:
			n.queue = append(n.queue, one)
		case e := <-n.ends:
			if nums := n.ended(e); len(nums) > 0 {
				events <- noticed{nums}
			}
		case <-due:
			n.fill(in)
			n.send()
		}
	}
}

// fill takes in all that has come, so that it goes out in one request.
func (n *notifier) fill(in <-chan owed) {
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
	addr, p := *n.at.Load(), n.idle
	if n.idle = nil; p != nil && p.addr != addr {
		p.close()
		p = nil
	}
	if p == nil {
		p = &peer{addr: addr}
	}
	list := append([]owed(nil), n.queue[:min(len(n.queue), n.most)]...)
	n.out++
	n.next = time.Now().Add(noticePatience)
	go func() {
		e := noticeEnd{peer: p, list: list}
		a, err := p.ask(context.Background(), noticeRequest(p.addr, list), noticeLimit)
		if e.err = err; err == nil {
			e.status = a.status
		}
		n.ends <- e
	}()
}

// ended takes the end of an attempt in, and returns what the platform has taken with it.
func (n *notifier) ended(e noticeEnd) (nums []uint32) {
	n.out--
	if n.idle != nil {
		n.idle.close() // one is enough while nothing hangs
	}
	n.idle = e.peer
	switch {
	case e.status == 204:
		n.most = noticeMost
		nums = n.taken(e.list)
	case e.status == 400 && len(e.list) == 1:
		// Guards against one line that the platform can't read blocking all others for good.
		n.log.Error("notice refused by the platform", "message", e.list[0].id)
		nums = n.taken(e.list)
	case e.status == 400:
		n.most, n.next = 1, time.Time{} // find the line that can't be read
	default:
		n.failed(e)
	}
	return nums
}

// taken takes what the platform has out of the queue.
func (n *notifier) taken(list []owed) (nums []uint32) {
	if n.failing {
		n.log.Info("notices are taken again", "owed", len(n.queue))
	}
	n.failing, n.next = false, time.Time{}
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

// failed books an attempt without an answer of use.
func (n *notifier) failed(e noticeEnd) {
	if e.err == nil {
		e.err = fmt.Errorf("status %d", e.status)
	}
	if !n.failing {
		n.log.Warn("notices fail and are tried again", "err", e.err, "owed", len(n.queue))
	}
	n.failing = true
	if again := time.Now().Add(noticeBackoff); again.Before(n.next) {
		n.next = again
	}
}

func noticeRequest(addr string, list []owed) []byte {
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
