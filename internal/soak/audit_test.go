package soak_test

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"time"

	"oatfold/internal/testdouble"
)

// timingSlack allows for the delay with which the test's own goroutines observe calls and
// notifications on a busy machine. Events within it count as simultaneous.
var timingSlack = flag.Duration("soak.slack", 2*time.Second, "tolerance for the timing of observed events")

// maxNotificationDelay bounds the time from a message's deadline to its outcome notification.
const maxNotificationDelay = 350 * time.Millisecond

// observations records what endpoints and the platform saw of messages, by message id.
type observations struct {
	mu         sync.Mutex
	calls      map[string][]time.Time
	notifiedAt map[string]time.Time // of the first notification
	outcomes   map[string]string
}

func newObservations() *observations {
	return &observations{calls: map[string][]time.Time{}, notifiedAt: map[string]time.Time{},
		outcomes: map[string]string{}}
}

// recordCall records the arrival of a call.
func (o *observations) recordCall(c testdouble.Call) {
	if c.Completed {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range c.IDs {
		o.calls[id] = append(o.calls[id], time.Now())
	}
}

// recordNotification records the first outcome notification of a message.
func (o *observations) recordNotification(n testdouble.Notification) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.notifiedAt[n.Message]; !known {
		o.notifiedAt[n.Message], o.outcomes[n.Message] = time.Now(), n.Outcome
	}
}

// check compares the responses to clients with what endpoints and the platform saw, and fails the
// test if a rule is broken.
func (s *scenario) check() {
	delivered := func() map[string]bool {
		ids := map[string]bool{}
		for _, e := range s.env.EffectLog.Entries() {
			ids[e.ID] = true
		}
		return ids
	}
	unfinished := func() (requests []*request) {
		effects := delivered()
		s.observed.mu.Lock()
		defer s.observed.mu.Unlock()
		for _, r := range s.clients.sent {
			if _, notified := s.observed.notifiedAt[r.id]; r.outcome == answered && r.status == 202 &&
				!notified && !effects[r.id] {
				requests = append(requests, r)
			}
		}
		return requests
	}
	if err := s.env.WaitUntil("all accepted messages to complete", func() bool {
		return len(unfinished()) == 0
	}); err != nil {
		for _, r := range unfinished() {
			s.fail("accepted and never completed: %v", r)
		}
	}
	counts, latest := map[string]int{}, time.Duration(0)
	s.observed.mu.Lock()
	for _, r := range s.clients.sent {
		calls, outcome := s.observed.calls[r.id], s.observed.outcomes[r.id]
		switch r.outcome {
		case answered:
			counts[statusName(r.status)]++
		case unread:
			counts["unread"]++
		case relayKilled:
			counts["relay killed"]++
		case unanswered:
			s.fail("read and never answered: %v", r)
		}
		if rejected := r.outcome == answered && r.status != 202; rejected && len(calls) > 0 {
			s.fail("rejected with %d and yet forwarded: %v", r.status, r)
		}
		if notifiedAt, notified := s.observed.notifiedAt[r.id]; notified &&
			slices.ContainsFunc(calls, func(at time.Time) bool { return at.After(notifiedAt.Add(*timingSlack)) }) {
			s.fail("forwarded after its completion (%s): %v", outcome, r)
		}
		if notifiedAt, notified := s.observed.notifiedAt[r.id]; notified && r.outcome == answered && r.status == 202 {
			deadline, allowed := r.sentAt.Add(r.timeLeft), maxNotificationDelay+*timingSlack
			excused := s.excused(r.relay, deadline) || s.excused(r.relay, deadline.Add(allowed))
			if late := notifiedAt.Sub(deadline); !excused {
				if latest = max(latest, late); late > allowed {
					s.fail("notification %v after the deadline: %v", late, r)
				}
			}
		}
		if r.class == "fee-charge" && outcome == "handed_back" && len(calls) > 0 &&
			r.outcome == answered && delivered()[r.id] {
			s.fail("returned to the client and yet run: %v", r)
		}
	}
	s.observed.mu.Unlock()
	for _, duplicate := range s.env.EffectLog.Duplicates("fee-charge") {
		s.fail("a charge ran more than once: %s", duplicate)
	}
	s.t.Logf("%d requests: %v; latest notification %v after its deadline; %d planned stops, %d of them killed",
		len(s.clients.sent), counts, latest.Round(time.Millisecond), s.plannedStops, s.killedStops)
	if counts["202"] < len(s.clients.sent)/10 {
		s.fail("only %d of %d requests were accepted", counts["202"], len(s.clients.sent))
	}
	if len(s.violations) > 0 {
		slices.Sort(s.violations)
		s.t.Errorf("broken rules:\n%s\ntimeline:\n%s", strings.Join(s.violations, "\n"), strings.Join(s.timeline, "\n"))
	}
}

// statusName groups response statuses for the summary.
func statusName(status int) string {
	switch {
	case status == 202:
		return "202"
	case status == 503 || status == 429:
		return "refused"
	}
	return "failed"
}
