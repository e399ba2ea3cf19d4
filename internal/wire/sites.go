package wire

import (
	"errors"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/internal/sites"
	"oatfold/policy"
)

const (
	sitesInterval        = members.Period / 4 // between two looks at sites, and two views that operators see
	siteCommandQueueSize = 16                 // words of operators that may wait for a look
)

// SiteCommand is the word of an operator that a site is out, or may come back.
type SiteCommand struct {
	Zone string
	Out  bool
}

// Sites is what this relay makes of sites, as operators see it.
type Sites struct {
	At   policy.Time
	Home string
	All  []sites.Status
}

// applySitePlan has the host act on a plan; nil: on none. Sites that operators have taken out stay out.
func (h *Host) applySitePlan(plan *sites.Plan, home string) {
	was := h.siteWatch
	if was != nil && was.HasPlan(plan, home) {
		return // what it has seen stays, also in the middle of a loss
	}
	if h.siteWatch = nil; plan == nil {
		h.sitesStatus.Store(nil)
		if was != nil {
			h.pendingEvents = append(h.pendingEvents, policy.SitesUpdate{})
		}
		return
	}
	h.siteWatch, h.homeZone = sites.NewWatch(plan, home, h.seed^h.startedAt.UnixNano()), home
	whole := policy.EndpointListUpdate{Kind: policy.ListSnapshot}
	for _, ep := range h.endpoints {
		whole.Entries = append(whole.Entries, policy.Endpoint{Address: ep.id, Destination: ep.dest, Zone: ep.zone, State: policy.EndpointState(ep.state.Load())})
	}
	h.siteWatch.ApplyEndpointList(whole)
	if was != nil {
		for _, s := range was.Statuses() {
			if s.ManuallyOut {
				h.siteWatch.SetManuallyOut(h.now(), s.Zone, true)
			}
		}
	}
	h.pendingEvents = append(h.pendingEvents, policy.SitesUpdate{Plan: h.siteWatch})
	h.membersViewAt, h.nextSitesCheck = 0, 0
	h.updateSites(h.now())
}

// SetSitePlan puts a plan in force. Anyone but the owner may call it.
func (h *Host) SetSitePlan(plan *sites.Plan, home string) {
	h.Do(func(h *Host) { h.applySitePlan(plan, home) })
}

// updateSites looks at sites, hears what operators say of them, and makes a view for those who ask.
func (h *Host) updateSites(now policy.Time) {
	if h.siteWatch == nil || now < h.nextSitesCheck {
		return
	}
	h.nextSitesCheck = now + sitesInterval
	for more := true; more; {
		select {
		case w := <-h.siteCommands:
			h.siteWatch.SetManuallyOut(now, w.Zone, w.Out)
		default:
			more = false
		}
	}
	if v := h.membersView.Load(); v != nil && v != h.sitesMembersView {
		h.sitesMembersView = v
		relays, alive := map[string]int{}, map[string]int{}
		for _, m := range v.Members {
			if m.Number == v.Self || m.Zone >= len(h.zoneNames) {
				continue
			}
			if relays[h.zoneNames[m.Zone]]++; m.State < members.Dead {
				alive[h.zoneNames[m.Zone]]++
			}
		}
		for z, n := range relays {
			h.siteWatch.SetRelayCounts(z, n, alive[z])
		}
	}
	h.exchangeSiteReports(now)
	h.siteWatch.Tick(now)
	if changes := h.siteWatch.Changes(); len(changes) > 0 {
		for _, c := range changes {
			h.log.Warn("site", "zone", c.Zone, "state", c.To.String(), "was", c.From.String(), "why", c.Why)
			h.pendingEvents = append(h.pendingEvents, c.PolicyUpdate(h.siteWatch))
		}
	}
	h.sitesStatus.Store(&Sites{At: now, Home: h.homeZone, All: h.siteWatch.Statuses()})
}

// exchangeSiteReports takes what others say of sites, and has this relay say what it sees.
func (h *Host) exchangeSiteReports(now policy.Time) {
	lost, levels := map[int]int{}, map[int][]float64{}
	h.gossiper.EachSiteReport(now, func(one peers.SiteReport) {
		if one.LoadFraction == 0 {
			lost[one.Zone]++
		} else {
			levels[one.Zone] = append(levels[one.Zone], one.LoadFraction)
		}
	})
	var mine []peers.SiteReport
	for z, name := range h.zoneNames {
		h.siteWatch.SetPeerReports(name, lost[z], levels[z])
		if level, ok := h.siteWatch.OwnReport(name); ok {
			mine = append(mine, peers.SiteReport{Zone: z, LoadFraction: level})
		}
	}
	h.gossiper.SetSiteReports(mine)
}

// recordSiteResult tells the watch how a call ended.
func (h *Host) recordSiteResult(e callResult, now policy.Time) {
	if h.siteWatch == nil || len(e.results) == 0 || errors.Is(e.err, errConnectionLimit) {
		return
	}
	how := sites.Failed
	switch e.results[0].outcome {
	case policy.Delivered, policy.Errored:
		how = sites.Accepted
	case policy.Rejected:
		how = sites.Rejected
	case policy.TimedOut:
		how = sites.NoResponse
	case policy.ConnectFailed:
		if now-e.call.startedAt >= min(h.dialTimeout, e.call.timeout) { // nobody said no
			how = sites.NoResponse
		}
	case policy.Unsent:
		return
	}
	h.siteWatch.RecordCall(now, e.call.startedAt, e.call.endpoint.id, how)
}

// Sites is the latest view; nil: no plan is in force. Anyone may call it: it waits for nothing.
func (h *Host) Sites() *Sites { return h.sitesStatus.Load() }

// SubmitSiteCommand hands an operator's word to the owner, without waiting for it; it is false where too many wait.
func (h *Host) SubmitSiteCommand(w SiteCommand) bool {
	select {
	case h.siteCommands <- w:
		return true
	default:
		return false
	}
}
