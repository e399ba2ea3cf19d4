package wire

import (
	"errors"
	"runtime/debug"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/peers"
	"oatfold/policy"
)

// This file carries the decision module: what it is told, the steps that it takes, and how it starts anew after a panic.

// exchangeGossip tells others what this relay saw, when that is due, and the module what all see.
func (h *Host) exchangeGossip(now policy.Time) {
	if !h.gossiper.Active() || h.stepsStopped || now < h.gossiper.NextTick() {
		return
	}
	out, turned := h.gossiper.Tick(now)
	h.sendGossip(out)
	h.updateMembersView(now)
	if !turned {
		return
	}
	news := policy.FleetUpdate{Routes: h.gossiper.FleetAverages(now, time.Now()), Relays: h.gossiper.PossibleCallers(now)}
	h.targets.ResolveEndpoints(news.Routes)
	if len(news.Routes) > 0 || news.Relays != h.reportedRelays { // no step for news of nothing
		h.reportedRelays, h.pendingEvents = news.Relays, append(h.pendingEvents, news)
	}
	if h.siteWatch != nil {
		h.siteWatch.ApplyFleetStats(now, news.Routes)
	}
	h.updateSubsets(now)
}

// reportCallToFleet books the end of a call for the notes.
func (h *Host) reportCallToFleet(e callResult) {
	if len(e.results) == 0 || errors.Is(e.err, errConnectionLimit) {
		return // that tells of other relays' idle connections only
	}
	how := peers.Failed
	switch e.results[0].outcome {
	case policy.Delivered, policy.Errored:
		how = peers.Accepted
	case policy.Rejected:
		how = peers.Rejected
	case policy.Unsent:
		return // it tells nothing of the destination
	}
	h.gossiper.RecordCall(h.targets.Key(e.call.endpoint.id, e.call.endpoint.dest), how)
}

func (h *Host) step(now policy.Time) {
	wall := time.Now()
	for _, m := range h.arrivals {
		if h.table.Get(m.Number) != m {
			continue // over before the module heard of it
		}
		if m.Attempts == 0 {
			h.targets.EachKey(m.Dest, h.gossiper.RecordArrival)
		}
		h.pendingEvents = append(h.pendingEvents, arrivedEvent(m, wall))
	}
	events := h.pendingEvents
	h.pendingEvents, h.arrivals, h.lastStepAt = nil, nil, now
	acts, ok := h.runPolicyStep(now, events)
	if !ok {
		h.restartPolicy(now)
		return
	}
	h.metrics.SetEndpoints(len(h.endpoints), h.relay.SkippedEndpoints())
	var calls []*call
	open := map[string]*call{}
	for _, a := range acts {
		switch a := a.(type) {
		case policy.Send:
			calls = h.planSend(now, wall, a, open, calls)
		case policy.Refuse:
			h.completeByNotification(a.ID, memory.Notification{Returned: true, RetryAfter: a.RetryAfter})
		case policy.Fail:
			h.completeByNotification(a.ID, memory.Notification{})
		case policy.SetTimer:
			h.wakeAt = now + a.Delay
		case policy.CloseIdle:
			if ep := h.endpoints[a.Endpoint]; ep != nil {
				h.closeIdleConns(ep)
			}
		case policy.LogLine:
			h.log.Info("module", "note", a.Text)
		}
	}
	for _, cl := range calls {
		h.registerCall(cl)
	}
}

// arrivedEvent is what the module is told of a message, with what earlier lives did with it.
func arrivedEvent(m *memory.Message, wall time.Time) policy.Submitted {
	// Guards against an answer in the very moment in which the time is up: whoever counts from when the client sent the message is a little
	// earlier than this relay, takes the answer for late, and waits for a notice that never comes.
	left := m.Deadline.Sub(wall) - deadlineMargin
	a := policy.Submitted{ID: m.Number, Class: m.Class, Destination: m.Dest, TimeLeft: left, Attempts: m.Attempts, Recovered: m.Recovered,
		Tenant: m.Tenant, Key: m.OrderingKey, Terms: policy.Class{Effect: m.Effect, RepeatWindow: m.RepeatWindow, ZoneOnly: m.ZoneOnly}}
	if !m.MayHaveRunSince.IsZero() {
		if a.MayHaveRun, a.UncertainAge = true, wall.Sub(m.MayHaveRunSince); a.UncertainAge < 0 {
			// Guards against a clock that was set back between two lives: how long ago it was is not known, so that no
			// partner can be counted on to drop a repeat.
			a.UncertainAge = unknownRiskAge
		}
	}
	return a
}

// runPolicyStep runs one step of the module; a panic there is not the process's end.
func (h *Host) runPolicyStep(now policy.Time, events []policy.Event) (acts []policy.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("the module panicked and starts anew", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return h.relay.Step(now, events), true
}

// restartPolicy starts the module anew with what the table holds, as after a restart, once all told waits are over.
// A message whose call is out is handed over when the call has ended.
func (h *Host) restartPolicy(now policy.Time) {
	relay, err := policy.New(h.settings, now.Nanoseconds())
	if err != nil {
		return // the settings were good at the start
	}
	h.relay, h.wakeAt, h.pendingEvents, h.arrivals, h.reportedRelays = relay, 0, nil, nil, 0
	whole := policy.EndpointListUpdate{Kind: policy.ListRestored}
	for _, ep := range h.endpoints {
		whole.Entries = append(whole.Entries, policy.Endpoint{Address: ep.id, Destination: ep.dest,
			Kind: h.destKinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate})
	}
	h.pendingEvents = append(h.pendingEvents, whole)
	h.gossiper.ResendSubsets()
	if h.siteWatch != nil {
		h.pendingEvents = append(h.pendingEvents, policy.SitesUpdate{Plan: h.siteWatch})
	}
	for _, ep := range h.endpoints {
		h.stepsBlockedUntil = max(h.stepsBlockedUntil, now+ep.backoff.remaining())
	}
	for cl := range h.calls {
		for i := range cl.items {
			cl.items[i].reported, cl.items[i].resubmit = true, true
		}
	}
	h.sequencer.DropHeld()
	h.restore(true)
}
