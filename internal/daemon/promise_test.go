package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"oatfold/client"
	"oatfold/internal/testdouble"
)

// promises is what became of the messages of a day, by their ids.
type promises struct {
	mu     sync.Mutex
	called map[string]int // in which order the first calls came
	ran    map[string]time.Time
	given  map[string]time.Time // notices
	out    int
	most   int // calls at once
}

func (p *promises) call(c testdouble.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Completed {
		p.out--
	} else {
		p.out++
		p.most = max(p.most, p.out)
	}
	for _, id := range c.IDs {
		if _, there := p.called[id]; !there {
			p.called[id] = len(p.called)
		}
		if c.Completed && c.OK {
			p.ran[id] = time.Now()
		}
	}
}

// A day with processes: a relay with many untried messages, and most of their time left, is killed twice. What it had taken on is tried, in
// its order and no more at once than it has slots; none whose destination takes calls is given up early without a call. Told beside it: how
// many are taken on, as their clients hear it, only after their delivery.
func TestTakenOnIsTried(t *testing.T) {
	const messages, lanes, slots, left = 280, 8, 4, 6 * time.Second
	p := &promises{called: map[string]int{}, ran: map[string]time.Time{}, given: map[string]time.Time{}}
	w, r := world(t, testdouble.Config{Seed: 5, MaxConcurrentCalls: slots, Partners: []testdouble.PartnerConfig{
		{Dest: 1, ServiceTime: 60 * time.Millisecond, OnCall: p.call}, {Dest: 2, ServiceTime: 60 * time.Millisecond, OnCall: p.call}}})
	w.Platform.OnNotification(func(n testdouble.Notification) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.given[n.Message] = time.Now()
	})
	type handed struct {
		client.Result
		began, told time.Time
	}
	results := make([]handed, messages)
	var all sync.WaitGroup
	for lane := range lanes {
		c, err := client.New(client.Config{Relays: []string{r.Addr}, NoRefusals: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		all.Go(func() {
			for n := lane; n < messages; n += lanes {
				h := handed{began: time.Now()}
				class := "price-alert"
				if n%10 == 0 {
					class = "fee-charge"
				}
				h.Result, _ = c.Send(context.Background(), client.Message{Class: class, Dest: 1 + n/lanes%2, TimeLeft: left, Body: fmt.Appendf(nil, "%s/%d\n", class, n)})
				h.told = time.Now()
				results[n] = h
			}
		})
	}
	all.Wait()
	for life := range 2 {
		if err := w.WaitUntil("calls of this life", func() bool { return w.EffectLog.Len() >= 10*(life+1) }); err != nil {
			t.Fatal(err)
		}
		r.Kill()
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.WaitUntil("all that was taken on to end", func() bool {
		did := w.EffectLog.CountByName()
		p.mu.Lock()
		defer p.mu.Unlock()
		for n, h := range results {
			_, told := p.given[h.ID]
			if h.Outcome == client.Taken && !told && did[fmt.Sprintf("price-alert/%d", n)]+did[fmt.Sprintf("fee-charge/%d", n)] == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, r.LogTail())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	taken, tried, early, late, cut, after := 0, 0, 0, 0, 0, 0
	for n, h := range results {
		if h.Outcome != client.Taken {
			continue
		}
		taken++
		ran, was := p.ran[h.ID]
		if was && ran.Before(h.told) {
			after++
		}
		_, called := p.called[h.ID]
		switch at, told := p.given[h.ID]; {
		case called:
			tried++
		case told && n%10 == 0:
			cut++ // killed between a charge's record and its call: it may have run
		case told && at.Before(h.began.Add(left*7/10)):
			early++
			t.Errorf("%d is given up %v after its hand-in, without a call", n, at.Sub(h.began))
		case told:
			late++
		}
	}
	t.Logf("taken on %d: tried %d, given up without a call early %d, late %d, as charges that were cut off %d; taken on only after their delivery %d", taken, tried, early, late, cut, after)
	if taken < messages*9/10 || tried+late+cut != taken || cut > 2*slots || tried < taken/2 || after > taken/2 {
		t.Errorf("of %d taken on %d are tried and %d late; %d only after their delivery", taken, tried, late, after)
	}
	if p.most > 2*slots { // those of the life before are still being run
		t.Errorf("%d calls at once with %d slots", p.most, slots)
	}
	if doubles := w.EffectLog.Duplicates("fee-charge"); len(doubles) > 0 {
		t.Errorf("charges ran twice: %v", doubles)
	}
}
