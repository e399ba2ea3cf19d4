package wire

import (
	"maps"
	"slices"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// This file keeps the endpoint list and the idle connections to its endpoints.

// applyEndpointList applies a list or changes of discovery to the endpoints, and passes them on to
// the policy engine.
func (h *Host) applyEndpointList(list memory.EndpointList, kind policy.ListUpdateKind) {
	update := policy.EndpointListUpdate{Kind: kind}
	named := map[string]bool{}
	if h.listGeneration = list.Generation; list.Generation == 0 && len(list.Entries) == 0 {
		h.listGeneration = -1
	}
	h.warnUnknown(list.Entries)
	for _, entry := range list.Entries {
		named[entry.Address] = true
		update.Entries = append(update.Entries, entry.Endpoint)
		h.applyEndpoint(entry)
	}
	if kind != policy.ListChanges {
		for id, ep := range h.endpoints {
			if !named[id] {
				ep.state.Store(int32(policy.Removed))
			}
		}
	}
	for id, ep := range h.endpoints {
		if ep.removed() {
			h.closeIdleConns(ep)
			delete(h.endpoints, id)
			h.reportKeys.Remove(id, ep.dest)
			if maps.DeleteFunc(h.removedRouteBackoffs, func(_ string, b *backoff) bool {
				return !b.active()
			}); ep.backoff.active() && ep.backoff != h.destBackoffs[ep.dest] {
				h.removedRouteBackoffs[id] = ep.backoff
			}
		}
	}
	h.metrics.SetEndpoints(len(h.endpoints), h.relay.SkippedEndpoints())
	if list.Skipped > 0 {
		h.log.Warn("endpoint list has malformed entries", "count", list.Skipped, "generation", list.Generation)
	}
	h.pendingEvents = append(h.pendingEvents, update)
	h.gossiper.UpdateEndpoints(update)
	if h.siteWatch != nil {
		h.siteWatch.ApplyEndpointList(update)
	}
	h.log.Debug("endpoint list updated",
		"generation", list.Generation, "entries", len(list.Entries), "whole", kind != policy.ListChanges)
}

// warnUnknown logs the partner types and zones of a list that the settings do not name. Their
// endpoints are used nevertheless, with one message per call, one route per destination and no fee,
// so that no message is lost.
func (h *Host) warnUnknown(entries []memory.EndpointEntry) {
	kinds, zones := map[string]bool{}, map[string]bool{}
	for _, entry := range entries {
		if entry.State == policy.Removed {
			continue
		}
		kind, listed := h.destKinds[entry.Destination]
		if _, known := h.kindSettings[entry.Kind]; !known && !(listed && kind == entry.Kind) {
			kinds[entry.Kind] = true
		}
		ep := h.endpoints[entry.Address]
		if !h.zoneKnown(entry.Zone) && !(ep != nil && ep.zone == entry.Zone) {
			zones[entry.Zone] = true
		}
	}
	if len(kinds) > 0 && len(h.kindSettings) > 0 {
		h.log.Warn("endpoint list has kinds that are not in the settings", "kinds", slices.Sorted(maps.Keys(kinds)))
	}
	if len(zones) > 0 && len(h.settings.Zones) > 0 {
		h.log.Warn("endpoint list has zones that are not in the settings", "zones", slices.Sorted(maps.Keys(zones)))
	}
}

// zoneKnown reports whether the settings name the zone.
func (h *Host) zoneKnown(name string) bool {
	return slices.ContainsFunc(h.settings.Zones, func(z policy.Zone) bool { return z.Name == name })
}

// applyEndpoint adds, updates or removes one endpoint.
func (h *Host) applyEndpoint(entry memory.EndpointEntry) {
	ep := h.endpoints[entry.Address]
	if entry.State == policy.Removed {
		if ep != nil {
			ep.state.Store(int32(policy.Removed))
		}
		return
	}
	if ep != nil && entry.HostPort == "" {
		entry.HostPort = ep.addr // a change may omit it
	}
	if ep == nil || ep.addr != entry.HostPort || ep.dest != entry.Destination {
		if ep != nil {
			ep.state.Store(int32(policy.Removed)) // its connections go to the old address
			h.closeIdleConns(ep)
		}
		shared := h.destBackoffs[entry.Destination]
		if ep != nil && ep.dest == entry.Destination {
			shared = ep.backoff
		} else if h.kindSettings[entry.Kind].SeparateRoutes {
			// With separate routes, a backoff applies to one endpoint, also if it leaves the list
			// and returns.
			if shared = h.removedRouteBackoffs[entry.Address]; shared == nil {
				shared = &backoff{}
			}
		} else if shared == nil {
			shared = &backoff{}
			h.destBackoffs[entry.Destination] = shared
		}
		delete(h.removedRouteBackoffs, entry.Address)
		ep = &endpoint{id: entry.Address, addr: entry.HostPort, dest: entry.Destination, backoff: shared}
		h.endpoints[entry.Address] = ep
	}
	ep.zone, ep.rate = entry.Zone, entry.Rate
	ep.state.Store(int32(entry.State))
	if h.destKinds[entry.Destination] = entry.Kind; h.kindSettings[entry.Kind].SeparateRoutes {
		h.reportKeys.Add(entry.Address, entry.Destination)
	}
}

// removed reports whether the endpoint has left the list.
func (ep *endpoint) removed() bool { return policy.EndpointState(ep.state.Load()) == policy.Removed }

// takeIdleConn returns the idle connection to ep that was used last, or nil.
func (h *Host) takeIdleConn(ep *endpoint) *endpointConn {
	n := len(ep.idle)
	if n == 0 {
		return nil
	}
	c := ep.idle[n-1]
	ep.idle = ep.idle[:n-1]
	h.idleConns.Remove(c.idleNode)
	return c
}

// closeIdleConns closes the connections to ep that carry no call.
func (h *Host) closeIdleConns(ep *endpoint) {
	for _, c := range ep.idle {
		h.idleConns.Remove(c.idleNode)
		close(c.calls)
	}
	ep.idle = nil
}

// closeOldestIdleConn closes the idle connection that was used longest ago. It is the first in
// its endpoint's list.
func (h *Host) closeOldestIdleConn() {
	c := h.idleConns.First().Value
	h.idleConns.Remove(c.idleNode)
	c.endpoint.idle = c.endpoint.idle[1:]
	close(c.calls)
}

// limitIdleConns bounds the descriptors of idle connections.
func (h *Host) limitIdleConns() {
	for h.idleConns.Len() > h.maxIdleConns {
		h.closeOldestIdleConn()
	}
}
