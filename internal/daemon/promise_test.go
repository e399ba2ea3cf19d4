package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/testdouble"
)

// messageTracker records what became of messages, by their ids.
type messageTracker struct {
	mu         sync.Mutex
	firstCalls map[string]int // order of the first calls
	delivered  map[string]time.Time
	notified   map[string]notice
	answered   []callSpan
	kills      []time.Time // of the relay
}

// notice is when the platform was told of the end of a message, and how it ended.
type notice struct {
	at      time.Time
	outcome string
}

// outcomeGivenUp is the outcome of a message that may have been executed.
const outcomeGivenUp = "given_up"

// callSpan is when a call arrived and when it was answered.
type callSpan struct{ from, to time.Time }

func (p *messageTracker) recordCall(c testdouble.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Completed && !c.GivenUp {
		p.answered = append(p.answered, callSpan{c.ArrivedAt, time.Now()})
	}
	for _, id := range c.IDs {
		if _, there := p.firstCalls[id]; !there {
			p.firstCalls[id] = len(p.firstCalls)
		}
		if c.Completed && c.OK {
			p.delivered[id] = time.Now()
		}
	}
}

// recordKill records that the relay is killed now.
func (p *messageTracker) recordKill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kills = append(p.kills, time.Now())
}

// maxConcurrentCalls returns how many of the answered calls were out at the same time. A call that
// the relay gave up does not count: a partner that was held up reads it long after, together with
// those that took its place. Nor does one that was out as the relay was killed. mu must be held.
func (p *messageTracker) maxConcurrentCalls() (most int) {
	type change struct {
		at    time.Time
		count int
	}
	var changes []change
	for _, call := range p.answered {
		if slices.ContainsFunc(p.kills, func(kill time.Time) bool {
			return call.from.Before(kill) && call.to.After(kill)
		}) {
			continue
		}
		changes = append(changes, change{call.from, 1}, change{call.to, -1})
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	concurrent := 0
	for _, change := range changes {
		concurrent += change.count
		most = max(most, concurrent)
	}
	return most
}

// A relay with many pending messages that have most of their time left is killed twice. Accepted
// messages are attempted, within the limit of concurrent calls; none whose destination works is
// given up early without a call.
func TestAcceptedMessagesAreAttempted(t *testing.T) {
	const messages, clients, concurrency, timeLeft = 280, 8, 4, 6 * time.Second
	p := &messageTracker{firstCalls: map[string]int{}, delivered: map[string]time.Time{},
		notified: map[string]notice{}}
	w, r := startWorld(t, testdouble.Config{Seed: 5, MaxConcurrentCalls: concurrency, Partners: []testdouble.PartnerConfig{
		{Dest: 1, ServiceTime: 60 * time.Millisecond, OnCall: p.recordCall},
		{Dest: 2, ServiceTime: 60 * time.Millisecond, OnCall: p.recordCall}}})
	w.Platform.OnNotification(func(n testdouble.Notification) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.notified[n.Message] = notice{time.Now(), n.Outcome}
	})
	type submission struct {
		client.Result
		submittedAt, repliedAt time.Time
	}
	results := make([]submission, messages)
	var running sync.WaitGroup
	for first := range clients {
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		running.Go(func() {
			for n := first; n < messages; n += clients {
				s := submission{submittedAt: time.Now()}
				class := "price-alert"
				if n%10 == 0 {
					class = "fee-charge"
				}
				s.Result, _ = c.Send(context.Background(), client.Message{Class: class, Dest: 1 + n/clients%2,
					TimeLeft: timeLeft, Body: fmt.Appendf(nil, "%s/%d\n", class, n)})
				s.repliedAt = time.Now()
				results[n] = s
			}
		})
	}
	running.Wait()
	for run := range 2 {
		if err := w.WaitUntil("calls of this run", func() bool { return w.EffectLog.Len() >= 10*(run+1) }); err != nil {
			t.Fatal(err)
		}
		p.recordKill()
		r.Kill()
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.WaitUntil("all accepted messages to complete", func() bool {
		effects := w.EffectLog.CountByName()
		p.mu.Lock()
		defer p.mu.Unlock()
		for n, s := range results {
			_, notified := p.notified[s.ID]
			if s.Outcome == client.Taken && !notified &&
				effects[fmt.Sprintf("price-alert/%d", n)]+effects[fmt.Sprintf("fee-charge/%d", n)] == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, r.LogTail())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, attempted, early, late, cutOff, repliedLate := 0, 0, 0, 0, 0, 0
	for n, s := range results {
		if s.Outcome != client.Taken {
			continue
		}
		accepted++
		deliveredAt, ok := p.delivered[s.ID]
		if ok && deliveredAt.Before(s.repliedAt) {
			repliedLate++
		}
		_, attempt := p.firstCalls[s.ID]
		switch end, notified := p.notified[s.ID]; {
		case attempt:
			attempted++
		case notified && n%10 == 0 && end.outcome == outcomeGivenUp:
			cutOff++ // killed between a charge's record and its call: it may have been executed
		case notified && end.at.Before(s.submittedAt.Add(timeLeft*7/10)):
			early++
			t.Errorf("%d was given up %v after its submission, without a call", n, end.at.Sub(s.submittedAt))
		case notified:
			late++
		}
	}
	t.Logf(
		"accepted %d: attempted %d, given up without a call early %d, late %d, charges cut off %d; replied after delivery %d",
		accepted, attempted, early, late, cutOff, repliedLate)
	if accepted < messages*9/10 || attempted+late+cutOff != accepted || cutOff > 2*concurrency ||
		attempted < accepted/2 || repliedLate > accepted/2 {
		t.Errorf("of %d accepted messages %d were attempted and %d given up late; %d replies came after delivery",
			accepted, attempted, late, repliedLate)
	}
	if calls := p.maxConcurrentCalls(); calls > concurrency || len(p.answered) == 0 {
		t.Errorf("%d concurrent calls with a limit of %d, of %d that were answered", calls, concurrency, len(p.answered))
	}
	if duplicates := w.EffectLog.Duplicates("fee-charge"); len(duplicates) > 0 {
		t.Errorf("charges were executed twice: %v", duplicates)
	}
}
