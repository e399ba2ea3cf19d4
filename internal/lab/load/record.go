package load

import (
	"sync"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/internal/testdouble"
)

// Recorder turns what clients, partners and the platform see of one relay on real sockets into the rules' log, and has it checked.
// It sees less than the emulator: no call that did not come through, and no drain.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	check *rules.Checker
	msgs  map[string]*recorded
	last  uint32
	calls uint64
	moved *sync.Cond // an attempt has ended
}

type recorded struct {
	num     uint32
	dest    int
	tries   int
	live    int
	over    bool
	class   Class
	until   time.Duration
	attempt int // the one that is out
	call    uint64
}

// NewRecorder returns a recorder for a relay with so many slots.
func NewRecorder(slots int) *Recorder {
	r := &Recorder{start: time.Now(), msgs: map[string]*recorded{}, check: rules.New(rules.Config{AnswerSlack: 300 * time.Millisecond, MaxConcurrentCalls: slots, MaxAttempts: 6,
		RetryAfterGrace: 100 * time.Millisecond, ClockSlack: 50 * time.Millisecond})}
	r.moved = sync.NewCond(&r.mu)
	return r
}

func (r *Recorder) log(e rules.Event) {
	e.At = time.Since(r.start)
	r.check.Check(e)
}

// MessageSent books a message as it is sent: a relay may call a partner before its client has read the answer.
func (r *Recorder) MessageSent(id string, class Class, dest int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	m := &recorded{num: r.last, dest: dest, class: class, until: time.Since(r.start) + class.TimeLeft}
	r.msgs[id] = m
	r.log(rules.Event{Kind: rules.Accepted, Msg: m.num, Dest: dest, Effect: class.Effect, RepeatWindow: class.RepeatWindow, Deadline: m.until})
}

// MessageAnswered ends what was not taken on.
func (r *Recorder) MessageAnswered(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.msgs[id]
	switch {
	case status == 200 || status == 202:
	case status == 429 || status == 503:
		m.over = true
		r.log(rules.Event{Kind: rules.Returned, Msg: m.num})
	default:
		m.over = true
		r.log(rules.Event{Kind: rules.Withdrawn, Msg: m.num})
	}
}

// NotificationReceived is a notice to the platform. One of what is over does no harm.
func (r *Recorder) NotificationReceived(n testdouble.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.msgs[n.Message]
	if m == nil || m.over {
		return
	}
	m.over = true
	kind := rules.Failed
	if n.Outcome == "handed_back" {
		kind = rules.Returned
	}
	r.log(rules.Event{Kind: kind, Msg: m.num})
}

// settle is how long a partner may take to see that a relay has closed a connection.
const settle = 50 * time.Millisecond

// CallObserved is a call at a partner, as it comes and as it ends.
func (r *Recorder) CallObserved(c testdouble.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.Completed {
		// Guards against a second copy that is none: the relay has given the first up, and its partner has not seen it yet.
		wake := time.AfterFunc(settle, r.moved.Broadcast)
		for end := time.Now().Add(settle); r.anyLive(c.IDs) && time.Now().Before(end); {
			r.moved.Wait()
		}
		wake.Stop()
		r.calls++
	}
	for _, id := range c.IDs {
		m := r.msgs[id]
		if m == nil {
			m = &recorded{} // nobody handed it in: number 0 is held by nobody
		}
		if !c.Completed {
			m.attempt, m.call, m.live = m.tries, r.calls, m.live+1
			m.tries++
			r.log(rules.Event{Kind: rules.Sent, Msg: m.num, Attempt: m.attempt, Call: m.call, Dest: c.Dest})
			continue
		}
		m.live--
		ok := c.OK && !m.over
		m.over = m.over || c.OK
		r.log(rules.Event{Kind: rules.AttemptEnded, Msg: m.num, Attempt: m.attempt, Call: m.call, Dest: c.Dest, NotRun: !c.MayHaveRun, Delivered: ok, RetryAfter: c.RetryAfter})
	}
	r.moved.Broadcast()
}

func (r *Recorder) anyLive(ids []string) bool {
	for _, id := range ids {
		if m := r.msgs[id]; m != nil && m.live > 0 {
			return true
		}
	}
	return false
}

// PendingCount is how many messages have had no end yet.
func (r *Recorder) PendingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.check.PendingCount()
}

// Finish ends the log and returns what was broken, and how often each rule was.
func (r *Recorder) Finish() ([]rules.Violation, map[rules.Name]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(rules.Event{Kind: rules.LogEnded})
	return r.check.Violations, r.check.Counts
}
