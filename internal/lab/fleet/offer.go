package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oatfold/client"
)

// This file hands a day's messages in, and begins and ends its troubles with counted ones.

// step is a beginning or an end of a trouble, due with a counted message.
type step struct {
	at      int
	trouble int
	begins  bool
}

// offer hands the day's messages in, one after the other, and lets troubles begin and end with those that are their turn.
func (r *run) offer(ctx context.Context) error {
	// A client that does well keeps to one relay: so there is one for each.
	clients := make([]*client.Client, len(r.relays))
	for n, relay := range r.relays {
		c, err := client.New(client.Config{Relays: []string{relay.Addr}, Spread: 50 * time.Millisecond, NoRefusals: true})
		if err != nil {
			return err
		}
		defer c.Close()
		clients[n] = c
	}
	total := int(r.day.Rate * (r.day.Length - whole).Seconds())
	count := func(at time.Duration) int { return int(r.day.Rate * (at - whole).Seconds()) }
	var steps []step
	for i, t := range r.day.Faults {
		steps = append(steps, step{count(t.At), i, true}, step{max(count(t.At)+1, count(t.At+t.Duration)), i, false})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at - b.at })
	turn := time.NewTicker(time.Duration(float64(time.Second) / r.day.Rate))
	defer turn.Stop()
	for n := range total {
		for len(steps) > 0 && steps[0].at <= n {
			if err := r.do(steps[0]); err != nil {
				return err
			}
			steps = steps[1:]
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-turn.C:
		}
		class := r.day.Classes[n%len(r.day.Classes)]
		name := fmt.Sprintf("%s/%d", class.Name, n)
		m := client.Message{Class: class.Name, Dest: 1 + n%len(r.day.Dests), Effect: client.Effect(map[int]client.Effect{0: client.Safe, 1: client.Keyed, 2: client.Unsafe}[int(class.Effect)]),
			Window: class.RepeatWindow, TimeLeft: class.Deadline * 9 / 10, Body: []byte(name + "\n")}
		if err := clients[r.upFrom(n)].HandIn(ctx, m, func(res client.Result, _ error) {
			r.mu.Lock()
			r.hands = append(r.hands, Hand{name, class.Name, res.ID, res.Outcome})
			r.mu.Unlock()
		}); err != nil {
			return err
		}
	}
	for _, s := range steps {
		// What lasts beyond the day ends with it, but for what is for good.
		if t := r.day.Faults[s.trouble]; !s.begins && t.At < r.day.Length && t.At+t.Duration <= r.day.Length+settle {
			if err := r.do(s); err != nil {
				return err
			}
		}
	}
	flush, cancel := context.WithTimeout(ctx, hang)
	defer cancel()
	for _, c := range clients {
		if err := c.Flush(flush); err != nil {
			return err
		}
	}
	return nil
}

// upFrom is a relay that is neither to be down nor standing still, the nth of all in turn or the next. To the busy one of a day more is handed in.
func (r *run) upFrom(n int) int {
	if more := int(r.day.HotRelayFactor) - 1; more > 0 {
		if n %= len(r.relays) + more; n >= len(r.relays) {
			n = 0
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.relays {
		if at := (n + i) % len(r.relays); !r.down[at] && r.stalled[at] == 0 {
			return at
		}
	}
	return n % len(r.relays)
}
