package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"oatfold/client"
)

// This file waits for the end of a run and judges it by the records of the test doubles and the
// logs of the relays.

// finish waits until all messages are completed and all relays agree, stops the relays and returns
// the result.
func (r *run) finish(ctx context.Context) (*Result, error) {
	result := &Result{Day: r.scenario.Name, Seed: r.config.Seed}
	var records Records
	completed := func() bool {
		records = r.records()
		return !slices.ContainsFunc(checkMessages(&records), mayResolve)
	}
	if err := r.waitUntil(ctx, "all messages to be completed", completed); err != nil && ctx.Err() != nil {
		return nil, err
	}
	agreeErr := r.waitUntil(ctx, "all relays to agree on who is alive", r.membersAgree)
	if r.config.InspectRelays != nil {
		if err := r.config.InspectRelays(r.relays); err != nil {
			r.reportFault("%v", err)
		}
	}
	for i, dest := range r.scenario.Dests {
		if dest.SingleZone() != "" && r.env.Partners[1+i].Collapsed() {
			r.reportFault("destination %d collapsed under overload as it recovered", 1+i)
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	disagreement := r.memberDisagreement()
	if r.scenario.Choices.SubsetSize > 0 {
		if r.waitUntil(ctx, "all relays to share endpoints evenly",
			func() bool { return len(r.choiceProblems()) == 0 }) != nil {
			for _, text := range r.choiceProblems() {
				r.reportFault("%s", text)
			}
		}
	}
	r.mu.Lock()
	result.Seconds = time.Since(r.startedAt).Seconds()
	changes := slices.Clone(r.changes)
	r.mu.Unlock()
	r.stopping.Store(true)
	var stops sync.WaitGroup
	for n, relay := range r.relays {
		if r.down[n] {
			continue
		}
		stops.Go(func() {
			if err := relay.Stop(); err != nil {
				r.reportFault("relay %d: stop: %v", n, err)
			}
		})
	}
	stops.Wait()
	// Changes are in order of arrival, which is the order of each relay. Timestamps of several
	// processes don't give that order when the wall clock is stepped.
	result.Verdict = checkMembers(r.scenario, changes)
	slices.SortStableFunc(changes, func(a, b Seen) int { return int(a.AtMs - b.AtMs) })
	for n := range r.down {
		result.Verdict.Gone = append(result.Verdict.Gone, n)
	}
	slices.Sort(result.Verdict.Gone)
	result.Verdict.Agreed = agreeErr == nil
	if agreeErr != nil {
		result.Verdict.Faults = append(result.Verdict.Faults, disagreement)
	}
	records = r.records()
	result.Verdict.Rules = append(result.Verdict.Rules, checkMessages(&records)...)
	result.Verdict.Faults = append(result.Verdict.Faults, r.faults...)
	result.Seen, result.Offered, result.Ran = changes, len(records.Submissions), len(records.Effects)
	for _, submission := range records.Submissions {
		if submission.Outcome == client.Taken {
			result.Taken++
		}
	}
	if result.Taken == 0 {
		result.Verdict.Faults = append(result.Verdict.Faults, "no message was accepted")
	}
	result.Sent, _, result.Bytes, _ = r.network.Counts()
	for _, partner := range r.env.Partners {
		result.Refused += partner.RejectedCalls()
	}
	for i, fault := range r.scenario.Faults {
		result.Troubles = append(result.Troubles,
			fmt.Sprintf("%d: %s of %v %s from %v for %v", i, fault.Kind, r.scenario.RelaysOf(&fault),
				fault.Zone, fault.At, fault.Duration))
	}
	return result, nil
}

// records returns what the test doubles have recorded so far.
func (r *run) records() (records Records) {
	r.mu.Lock()
	records.Submissions = slices.Clone(r.submissions)
	r.mu.Unlock()
	records.Effects, records.Notifications = r.env.EffectLog.Entries(), r.env.Platform.Notifications()
	for _, p := range r.env.Partners {
		records.EarlyCalls += p.EarlyCalls()
	}
	_, _, _, records.OversizedMessages = r.network.Counts()
	return records
}

// close stops the test doubles and the network, and closes the log files.
func (r *run) close() {
	if r.env != nil {
		r.env.Close()
	}
	if r.network != nil {
		r.network.Close()
	}
	for _, routes := range r.routes {
		for _, route := range routes {
			route.proxy.Close()
		}
	}
	for _, file := range r.logFiles {
		file.Close()
	}
}
