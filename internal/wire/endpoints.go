package wire

import (
	"maps"
	"slices"

	"oatfold/internal/memory"
	"oatfold/policy"
)

// What the host knows of endpoints: the pool config, and the connections to them that stand idle.

func (h *Host) applyEndpointList(pc memory.EndpointList, kind policy.ListUpdateKind) {
	news := policy.EndpointListUpdate{Kind: kind}
	named := map[string]bool{}
	if h.listGeneration = pc.Generation; pc.Generation == 0 && len(pc.Entries) == 0 {
		h.listGeneration = -1
	}
	h.warnUnknown(pc.Entries)
	for _, mb := range pc.Entries {
		named[mb.Address] = true
		news.Entries = append(news.Entries, mb.Endpoint)
		h.applyEndpoint(mb)
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
			h.targets.Remove(id, ep.dest)
			if maps.DeleteFunc(h.removedRouteBackoffs, func(_ string, g *backoff) bool { return !g.active() }); ep.backoff.active() && ep.backoff != h.destBackoffs[ep.dest] {
				h.removedRouteBackoffs[id] = ep.backoff
			}
		}
	}
	h.metrics.SetEndpoints(len(h.endpoints), h.relay.SkippedEndpoints())
	if pc.Skipped > 0 {
		h.log.Warn("pool config has entries that can't be read", "count", pc.Skipped, "generation", pc.Generation)
	}
	h.pendingEvents = append(h.pendingEvents, news)
	h.gossiper.UpdateEndpoints(news)
	if h.siteWatch != nil {
		h.siteWatch.ApplyEndpointList(news)
	}
	h.log.Debug("pool config", "generation", pc.Generation, "entries", len(pc.Entries), "whole", kind != policy.ListChanges)
}

// warnUnknown logs the kinds and zones that a list brings up and the settings do not have. Their endpoints are used all
// the same, with one message in a call, one route for a destination and no fee: a relay without them would lose messages.
func (h *Host) warnUnknown(members []memory.EndpointEntry) {
	kinds, zones := map[string]bool{}, map[string]bool{}
	for _, mb := range members {
		if mb.State == policy.Removed {
			continue
		}
		kind, listed := h.destKinds[mb.Destination]
		if _, known := h.kindSettings[mb.Kind]; !known && !(listed && kind == mb.Kind) {
			kinds[mb.Kind] = true
		}
		ep := h.endpoints[mb.Address]
		if !h.zoneKnown(mb.Zone) && !(ep != nil && ep.zone == mb.Zone) {
			zones[mb.Zone] = true
		}
	}
	if len(kinds) > 0 && len(h.kindSettings) > 0 {
		h.log.Warn("pool config has kinds that are not in the settings", "kinds", slices.Sorted(maps.Keys(kinds)))
	}
	if len(zones) > 0 && len(h.settings.Zones) > 0 {
		h.log.Warn("pool config has zones that are not in the settings", "zones", slices.Sorted(maps.Keys(zones)))
	}
}

// zoneKnown tells whether the settings name the zone.
func (h *Host) zoneKnown(name string) bool {
	return slices.ContainsFunc(h.settings.Zones, func(z policy.Zone) bool { return z.Name == name })
}

func (h *Host) applyEndpoint(mb memory.EndpointEntry) {
	ep := h.endpoints[mb.Address]
	if mb.State == policy.Removed {
		if ep != nil {
			ep.state.Store(int32(policy.Removed))
		}
		return
	}
	if ep != nil && mb.HostPort == "" {
		mb.HostPort = ep.addr // a change need not name it again
	}
	if ep == nil || ep.addr != mb.HostPort || ep.dest != mb.Destination {
		if ep != nil {
			ep.state.Store(int32(policy.Removed)) // its connections lead elsewhere now
			h.closeIdleConns(ep)
		}
		g := h.destBackoffs[mb.Destination]
		if ep != nil && ep.dest == mb.Destination {
			g = ep.backoff
		} else if h.kindSettings[mb.Kind].SeparateRoutes {
			// Where routes are apart, a wait binds the one endpoint, also if it leaves the list and comes back.
			if g = h.removedRouteBackoffs[mb.Address]; g == nil {
				g = &backoff{}
			}
		} else if g == nil {
			g = &backoff{}
			h.destBackoffs[mb.Destination] = g
		}
		delete(h.removedRouteBackoffs, mb.Address)
		ep = &endpoint{id: mb.Address, addr: mb.HostPort, dest: mb.Destination, backoff: g}
		h.endpoints[mb.Address] = ep
	}
	ep.zone, ep.rate = mb.Zone, mb.Rate
	ep.state.Store(int32(mb.State))
	if h.destKinds[mb.Destination] = mb.Kind; h.kindSettings[mb.Kind].SeparateRoutes {
		h.targets.Add(mb.Address, mb.Destination)
	}
}

func (ep *endpoint) removed() bool { return policy.EndpointState(ep.state.Load()) == policy.Removed }

// takeIdleConn takes the idle connection to ep that was used last, if there is one.
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

// closeOldestIdleConn closes the idle connection that was used longest ago. It is the first of its endpoint's.
func (h *Host) closeOldestIdleConn() {
	c := h.idleConns.First().Value
	h.idleConns.Remove(c.idleNode)
	c.endpoint.idle = c.endpoint.idle[1:]
	close(c.calls)
}

// limitIdleConns bounds the descriptors that idle connections hold.
func (h *Host) limitIdleConns() {
	if h.idleConns.Len() > h.maxIdleConns {
		h.closeOldestIdleConn()
	}
}
