package load

import (
	"sync"
	"time"

	"oatfold/internal/lab/rules"
	"oatfold/internal/testdouble"
)

// Recorder converts what clients, partners and the platform observe of one relay on real sockets
// into the event log of package rules, and checks it. Unlike the emulator, it does not see calls
// that reach no partner, nor drains.
type Recorder struct {
	mu           sync.Mutex
	start        time.Time
	checker      *rules.Checker
	messages     map[string]*trackedMessage
	lastNumber   uint32
	lastCall     uint64
	attemptEnded *sync.Cond // signals the end of an attempt
}

// trackedMessage is the state of a message in the log.
type trackedMessage struct {
	number    uint32
	dest      int
	attempts  int
	inFlight  int
	completed bool
	class     Class
	deadline  time.Duration
	attempt   int // the one in flight
	call      uint64
}

// NewRecorder returns a recorder for a relay with the given concurrency limit.
func NewRecorder(maxConcurrentCalls int) *Recorder {
	r := &Recorder{start: time.Now(), messages: map[string]*trackedMessage{},
		checker: rules.New(rules.Config{
			AnswerSlack: 300 * time.Millisecond, MaxConcurrentCalls: maxConcurrentCalls, MaxAttempts: 6,
			RetryAfterGrace: 100 * time.Millisecond, ClockSlack: 50 * time.Millisecond})}
	r.attemptEnded = sync.NewCond(&r.mu)
	return r
}

// log checks an event, dated now.
func (r *Recorder) log(event rules.Event) {
	event.At = time.Since(r.start)
	r.checker.Check(event)
}

// MessageSent records a message as it is sent: a relay may call a partner before the client has
// read the answer.
func (r *Recorder) MessageSent(id string, class Class, dest int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	m := &trackedMessage{number: r.lastNumber, dest: dest, class: class,
		deadline: time.Since(r.start) + class.TimeLeft}
	r.messages[id] = m
	r.log(rules.Event{Kind: rules.Accepted, Msg: m.number, Dest: dest, Effect: class.Effect,
		RepeatWindow: class.RepeatWindow, Deadline: m.deadline})
}

// MessageAnswered completes a message that was not accepted.
func (r *Recorder) MessageAnswered(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.messages[id]
	switch {
	case status == 200 || status == 202:
	case status == 429 || status == 503:
		m.completed = true
		r.log(rules.Event{Kind: rules.Returned, Msg: m.number})
	default:
		m.completed = true
		r.log(rules.Event{Kind: rules.Withdrawn, Msg: m.number})
	}
}

// NotificationReceived records an outcome notification to the platform. It ignores one for a
// completed message.
func (r *Recorder) NotificationReceived(notification testdouble.Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.messages[notification.Message]
	if m == nil || m.completed {
		return
	}
	m.completed = true
	kind := rules.Failed
	if notification.Outcome == "handed_back" {
		kind = rules.Returned
	}
	r.log(rules.Event{Kind: kind, Msg: m.number})
}

// closeDetectionDelay is how long a partner may take to notice that a relay has closed a
// connection.
const closeDetectionDelay = 50 * time.Millisecond

// CallObserved records the start and the end of a call at a partner.
func (r *Recorder) CallObserved(call testdouble.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !call.Completed {
		// Prevents a false report of two copies: the relay may have given up the first attempt
		// before its partner has noticed.
		timer := time.AfterFunc(closeDetectionDelay, r.attemptEnded.Broadcast)
		for deadline := time.Now().Add(closeDetectionDelay); r.anyInFlight(call.IDs) && time.Now().Before(deadline); {
			r.attemptEnded.Wait()
		}
		timer.Stop()
		r.lastCall++
	}
	for _, id := range call.IDs {
		m := r.messages[id]
		if m == nil {
			m = &trackedMessage{} // nobody sent it, and no message has the number 0
		}
		if !call.Completed {
			m.attempt, m.call, m.inFlight = m.attempts, r.lastCall, m.inFlight+1
			m.attempts++
			r.log(rules.Event{Kind: rules.Sent, Msg: m.number, Attempt: m.attempt, Call: m.call, Dest: call.Dest})
			continue
		}
		m.inFlight--
		delivered := call.OK && !m.completed
		m.completed = m.completed || call.OK
		r.log(rules.Event{Kind: rules.AttemptEnded, Msg: m.number, Attempt: m.attempt, Call: m.call,
			Dest: call.Dest, NotRun: !call.MayHaveRun, Delivered: delivered, RetryAfter: call.RetryAfter})
	}
	r.attemptEnded.Broadcast()
}

// anyInFlight reports whether an attempt of any of the messages is in flight.
func (r *Recorder) anyInFlight(ids []string) bool {
	for _, id := range ids {
		if m := r.messages[id]; m != nil && m.inFlight > 0 {
			return true
		}
	}
	return false
}

// PendingCount returns the number of messages without an outcome.
func (r *Recorder) PendingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checker.PendingCount()
}

// Finish ends the log and returns the violations and their number by rule.
func (r *Recorder) Finish() ([]rules.Violation, map[rules.Name]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(rules.Event{Kind: rules.LogEnded})
	return r.checker.Violations, r.checker.Counts
}
