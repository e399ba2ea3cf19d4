package wire

import (
	"errors"
	"runtime/debug"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/peers"
	"oatfold/policy"
)

// This file runs the steps of the policy engine: it passes on events, carries out the actions, and
// restarts the engine after a panic.

// exchangeGossip sends this relay's observations to the others when due, and reports the fleet's
// state to the policy engine.
func (h *Host) exchangeGossip(now policy.Time) {
	if !h.gossiper.Active() || h.stepsStopped || now < h.gossiper.NextTick() {
		return
	}
	out, ticked := h.gossiper.Tick(now)
	h.sendGossip(out)
	h.updateMembersView(now)
	if !ticked {
		return
	}
	update := policy.FleetUpdate{Routes: h.gossiper.FleetAverages(now, time.Now()),
		Relays: h.gossiper.PossibleCallers(now)}
	h.reportKeys.ResolveEndpoints(update.Routes)
	if len(update.Routes) > 0 || update.Relays != h.reportedRelays { // an update without content needs no step
		h.reportedRelays, h.pendingEvents = update.Relays, append(h.pendingEvents, update)
	}
	if h.siteWatch != nil {
		h.siteWatch.ApplyFleetStats(now, update.Routes)
	}
	h.updateSubsets(now)
}

// reportCallToFleet records the outcome of a call for the gossip.
func (h *Host) reportCallToFleet(result callResult) {
	if len(result.results) == 0 || errors.Is(result.err, errConnectionLimit) {
		return // the endpoint's connections are taken by other relays, which says nothing of its health
	}
	outcome := peers.Failed
	switch result.results[0].outcome {
	case policy.Delivered, policy.Errored:
		outcome = peers.Accepted
	case policy.Rejected:
		outcome = peers.Rejected
	case policy.Unsent:
		return // says nothing of the destination
	}
	h.gossiper.RecordCall(h.reportKeys.Key(result.call.endpoint.id, result.call.endpoint.dest), outcome)
}

// step runs one step of the policy engine with the pending events and carries out its actions.
func (h *Host) step(now policy.Time) {
	wall := time.Now()
	for _, m := range h.arrivals {
		h.unstepped.forget(m)
		if h.table.Get(m.Number) != m || m.Notification != nil {
			continue // completed before the policy engine received it
		}
		if m.Attempts == 0 {
			h.reportKeys.EachKey(m.Dest, h.gossiper.RecordArrival)
		}
		h.pendingEvents = append(h.pendingEvents, submittedEvent(m, wall))
	}
	events := h.pendingEvents
	h.pendingEvents, h.arrivals, h.lastStepAt = nil, nil, now
	actions, ok := h.runPolicyStep(now, events)
	if !ok {
		h.restartPolicy(now)
		return
	}
	h.metrics.SetEndpoints(len(h.endpoints), h.relay.SkippedEndpoints())
	var calls []*call
	open := map[string]*call{}
	for _, a := range actions {
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

// submittedEvent returns the event for a message, including its earlier attempts.
func submittedEvent(m *memory.Message, wall time.Time) policy.Submitted {
	// The client counts from when it sent the request, a little earlier than this relay. A final
	// answer at the very deadline would look late to it.
	left := m.Deadline.Sub(wall) - deadlineMargin
	a := policy.Submitted{ID: m.Number, Class: m.Class, Destination: m.Dest, TimeLeft: left,
		Attempts: m.Attempts, Recovered: m.Recovered, Tenant: m.Tenant, Key: m.OrderingKey,
		Terms: policy.Class{Effect: m.Effect, RepeatWindow: m.RepeatWindow, ZoneOnly: m.ZoneOnly}}
	if !m.MayHaveRunSince.IsZero() {
		if a.MayHaveRun, a.UncertainAge = true, wall.Sub(m.MayHaveRunSince); a.UncertainAge < 0 {
			// The clock was set back since that attempt, so its age is unknown and no partner can
			// be relied on to deduplicate a retry.
			a.UncertainAge = unknownAttemptAge
		}
	}
	return a
}

// runPolicyStep runs one step of the policy engine and recovers from a panic in it.
func (h *Host) runPolicyStep(now policy.Time, events []policy.Event) (actions []policy.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			h.log.Error("policy engine panicked; restarting it", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return h.relay.Step(now, events), true
}

// restartPolicy replaces the policy engine after a panic and passes it the messages of the table,
// as after a restart of the process. Steps wait until every Retry-After has passed. A message whose
// call is in flight follows when the call ends.
func (h *Host) restartPolicy(now policy.Time) {
	relay, err := policy.New(h.settings, now.Nanoseconds())
	if err != nil {
		return // cannot happen: the settings were valid at the start
	}
	h.relay, h.wakeAt, h.pendingEvents, h.arrivals, h.reportedRelays = relay, 0, nil, nil, 0
	list := policy.EndpointListUpdate{Kind: policy.ListRestored}
	for _, ep := range h.endpoints {
		list.Entries = append(list.Entries, policy.Endpoint{Address: ep.id, Destination: ep.dest,
			Kind: h.destKinds[ep.dest], Zone: ep.zone, State: policy.EndpointState(ep.state.Load()), Rate: ep.rate})
	}
	h.pendingEvents = append(h.pendingEvents, list)
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
	h.watchAllDeadlines()
}
