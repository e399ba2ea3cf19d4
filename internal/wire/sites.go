package wire

import (
	"errors"

	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/internal/sites"
	"oatfold/policy"
)

const (
	sitesInterval        = members.Period / 4 // between checks of the sites, each of which publishes a view
	siteCommandQueueSize = 16                 // commands that may wait for a check
)

// SiteCommand is an operator's command to take a site out, or to let it return.
type SiteCommand struct {
	Zone string
	Out  bool
}

// Sites is the operators' view of the sites.
type Sites struct {
	At   policy.Time
	Home string
	All  []sites.Status
}

// applySitePlan puts a plan in force; nil: none. Sites that operators have taken out stay out.
func (h *Host) applySitePlan(plan *sites.Plan, home string) {
	previous := h.siteWatch
	if previous != nil && previous.HasPlan(plan, home) {
		return // keeps its observations, also during the loss of a site
	}
	if h.siteWatch = nil; plan == nil {
		h.sitesStatus.Store(nil)
		if previous != nil {
			h.pendingEvents = append(h.pendingEvents, policy.SitesUpdate{})
		}
		return
	}
	h.siteWatch, h.homeZone = sites.NewWatch(plan, home, h.seed^h.startedAt.UnixNano()), home
	list := policy.EndpointListUpdate{Kind: policy.ListSnapshot}
	for _, ep := range h.endpoints {
		list.Entries = append(list.Entries, policy.Endpoint{
			Address:     ep.id,
			Destination: ep.dest,
			Zone:        ep.zone,
			State:       policy.EndpointState(ep.state.Load()),
		})
	}
	h.siteWatch.ApplyEndpointList(list)
	if previous != nil {
		h.takeSitesOut(manuallyOut(previous))
	}
	h.pendingEvents = append(h.pendingEvents, policy.SitesUpdate{Plan: h.siteWatch})
	h.membersViewAt, h.nextSitesCheck = 0, 0
	h.updateSites(h.now())
}

// SetSitePlan puts a plan in force. It must not be called on the host's goroutine.
func (h *Host) SetSitePlan(plan *sites.Plan, home string) {
	h.Do(func(h *Host) { h.applySitePlan(plan, home) })
}

// updateSites processes operator commands, checks the sites and publishes a view.
func (h *Host) updateSites(now policy.Time) {
	if h.siteWatch == nil || now < h.nextSitesCheck {
		return
	}
	h.nextSitesCheck = now + sitesInterval
	h.applySiteCommands(now)
	if view := h.membersView.Load(); view != nil && view != h.sitesMembersView {
		h.sitesMembersView = view
		relays, alive := map[string]int{}, map[string]int{}
		for _, member := range view.Members {
			if member.Number == view.Self || member.Zone >= len(h.zoneNames) {
				continue
			}
			if relays[h.zoneNames[member.Zone]]++; member.State < members.Dead {
				alive[h.zoneNames[member.Zone]]++
			}
		}
		for zone, count := range relays {
			h.siteWatch.SetRelayCounts(zone, count, alive[zone])
		}
	}
	h.exchangeSiteReports(now)
	h.siteWatch.Tick(now)
	if changes := h.siteWatch.Changes(); len(changes) > 0 {
		for _, change := range changes {
			h.log.Warn("site", "zone", change.Zone,
				"state", change.To.String(), "was", change.From.String(), "why", change.Why)
			h.pendingEvents = append(h.pendingEvents, change.PolicyUpdate(h.siteWatch))
		}
	}
	h.sitesStatus.Store(&Sites{At: now, Home: h.homeZone, All: h.siteWatch.Statuses()})
}

// applySiteCommands carries out the operators' commands that wait.
func (h *Host) applySiteCommands(now policy.Time) {
	for {
		select {
		case command := <-h.siteCommands:
			h.siteWatch.SetManuallyOut(now, command.Zone, command.Out)
		default:
			return
		}
	}
}

// sitesOut returns the zones that operators have taken out, for the next process.
func (h *Host) sitesOut() []string {
	if h.siteWatch == nil {
		return nil
	}
	h.applySiteCommands(h.now())
	return manuallyOut(h.siteWatch)
}

// manuallyOut returns the zones that operators have taken out.
func manuallyOut(watch *sites.Watch) (zones []string) {
	for _, site := range watch.Statuses() {
		if site.ManuallyOut {
			zones = append(zones, site.Zone)
		}
	}
	return zones
}

// takeSitesOut takes out the sites that operators had taken out before a new plan, or at the
// process before.
func (h *Host) takeSitesOut(zones []string) {
	if h.siteWatch == nil {
		return
	}
	for _, zone := range zones {
		h.siteWatch.SetManuallyOut(h.now(), zone, true)
	}
}

// exchangeSiteReports takes in what other relays report about sites, and reports what this one
// observes.
func (h *Host) exchangeSiteReports(now policy.Time) {
	lost, levels := map[int]int{}, map[int][]float64{}
	h.gossiper.EachSiteReport(now, func(report peers.SiteReport) {
		if report.LoadFraction == 0 {
			lost[report.Zone]++
		} else {
			levels[report.Zone] = append(levels[report.Zone], report.LoadFraction)
		}
	})
	var reports []peers.SiteReport
	for zone, name := range h.zoneNames {
		h.siteWatch.SetPeerReports(name, lost[zone], levels[zone])
		if level, ok := h.siteWatch.OwnReport(name); ok {
			reports = append(reports, peers.SiteReport{Zone: zone, LoadFraction: level})
		}
	}
	h.gossiper.SetSiteReports(reports)
}

// recordSiteResult reports the result of a call to the site watch.
func (h *Host) recordSiteResult(completed callResult, now policy.Time) {
	if h.siteWatch == nil || len(completed.results) == 0 || errors.Is(completed.err, errConnectionLimit) {
		return
	}
	result := sites.Failed
	switch completed.results[0].outcome {
	case policy.Delivered, policy.Errored:
		result = sites.Accepted
	case policy.Rejected:
		result = sites.Rejected
	case policy.TimedOut:
		result = sites.NoResponse
	case policy.ConnectFailed:
		if now-completed.call.startedAt >= min(h.dialTimeout, completed.call.timeout) { // no refusal was received
			result = sites.NoResponse
		}
	case policy.Unsent:
		return
	}
	h.siteWatch.RecordCall(now, completed.call.startedAt, completed.call.endpoint.id, result)
}

// Sites returns the latest view; nil if no plan is in force. It may be called on any goroutine and
// does not block.
func (h *Host) Sites() *Sites { return h.sitesStatus.Load() }

// SubmitSiteCommand queues an operator's command without waiting for it. It returns false if the
// queue is full.
func (h *Host) SubmitSiteCommand(command SiteCommand) bool {
	select {
	case h.siteCommands <- command:
		return true
	default:
		return false
	}
}
