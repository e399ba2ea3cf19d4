package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"oatfold/client"
)

// This file waits for a day's end, and judges it from the books of the test doubles and the relays' logs.

// finish waits until all has ended and all agree, ends the relays and judges.
func (r *run) finish(ctx context.Context) (*Result, error) {
	res := &Result{Day: r.day.Name, Seed: r.set.Seed}
	var books Books
	ended := func() bool {
		books = r.books()
		return !slices.ContainsFunc(judgeMessages(&books), endless)
	}
	if err := r.until(ctx, "all messages to end", ended); err != nil && ctx.Err() != nil {
		return nil, err
	}
	agreed := r.until(ctx, "all relays to agree who lives", r.agreed)
	if r.set.InspectRelays != nil {
		if err := r.set.InspectRelays(r.relays); err != nil {
			r.fault("%v", err)
		}
	}
	for i, d := range r.day.Dests {
		if d.SingleZone() != "" && r.world.Partners[1+i].Collapsed() {
			r.fault("destination %d was pushed over as it returned", 1+i)
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	why := r.disagreement()
	if r.day.Choices.SubsetSize > 0 {
		if r.until(ctx, "all relays to share endpoints alike", func() bool { return len(r.unshared()) == 0 }) != nil {
			for _, text := range r.unshared() {
				r.fault("%s", text)
			}
		}
	}
	r.mu.Lock()
	res.Seconds = time.Since(r.since).Seconds()
	seen := slices.Clone(r.seen)
	r.mu.Unlock()
	r.ending.Store(true)
	var all sync.WaitGroup
	for n, relay := range r.relays {
		if r.down[n] {
			continue
		}
		all.Go(func() {
			if err := relay.Stop(); err != nil {
				r.fault("relay %d ended with %v", n, err)
			}
		})
	}
	all.Wait()
	// In the order of arrival, which is each relay's own: dates of several processes don't give it where a wall clock is stepped.
	res.Verdict = judgeMembers(r.day, seen)
	slices.SortStableFunc(seen, func(a, b Seen) int { return int(a.AtMs - b.AtMs) })
	for n := range r.down {
		res.Verdict.Gone = append(res.Verdict.Gone, n)
	}
	slices.Sort(res.Verdict.Gone)
	res.Verdict.Agreed = agreed == nil
	if agreed != nil {
		res.Verdict.Faults = append(res.Verdict.Faults, why)
	}
	books = r.books()
	res.Verdict.Rules = append(res.Verdict.Rules, judgeMessages(&books)...)
	res.Verdict.Faults = append(res.Verdict.Faults, r.faults...)
	res.Seen, res.Offered, res.Ran = seen, len(books.Hands), len(books.Effects)
	for _, h := range books.Hands {
		if h.Outcome == client.Taken {
			res.Taken++
		}
	}
	if res.Taken == 0 {
		res.Verdict.Faults = append(res.Verdict.Faults, "no message was taken on")
	}
	res.Sent, _, res.Bytes, _ = r.net.Counts()
	for _, p := range r.world.Partners {
		res.Refused += p.RejectedCalls()
	}
	for i, t := range r.day.Faults {
		res.Troubles = append(res.Troubles, fmt.Sprintf("%d: %s of %v %s from %v for %v", i, t.Kind, r.day.RelaysOf(&t), t.Zone, t.At, t.Duration))
	}
	return res, nil
}

func (r *run) books() (b Books) {
	r.mu.Lock()
	b.Hands = slices.Clone(r.hands)
	r.mu.Unlock()
	b.Effects, b.Notices = r.world.EffectLog.Entries(), r.world.Platform.Notifications()
	for _, p := range r.world.Partners {
		b.Early += p.EarlyCalls()
	}
	_, _, _, b.TooLong = r.net.Counts()
	return b
}

func (r *run) close() {
	if r.world != nil {
		r.world.Close()
	}
	if r.net != nil {
		r.net.Close()
	}
	for _, all := range r.routes {
		for _, one := range all {
			one.way.Close()
		}
	}
	for _, f := range r.logs {
		f.Close()
	}
}
