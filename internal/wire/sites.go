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
	All  []sites.Standing
}

// applySitePlan puts a plan in force; nil: none. Sites that operators have taken out stay out.
func (h *Host) applySitePlan(plan *sites.Plan, home string) {
	previous := h.watch
	if previous != nil && previous.Keeps(plan, home) {
		return // keeps its observations, also during the loss of a site
	}
	if h.watch = nil; plan == nil {
		h.sites.Store(nil)
		if previous != nil {
			h.pending = append(h.pending, policy.SitesUpdate{})
		}
		return
	}
	h.watch, h.sitesHome = sites.NewWatch(plan, home, h.seed^h.start.UnixNano()), home
	list := policy.EndpointListUpdate{Kind: policy.ListSnapshot}
	for _, ep := range h.endpoints {
		list.Entries = append(list.Entries, policy.Endpoint{
			Address:     ep.id,
			Destination: ep.dest,
			Zone:        ep.zone,
			State:       policy.EndpointState(ep.state.Load()),
		})
	}
	h.watch.List(list)
	if previous != nil {
		for _, site := range previous.Standings() {
			if site.Out {
				h.watch.ByHand(h.now(), site.Zone, true)
			}
		}
	}
	h.pending = append(h.pending, policy.SitesUpdate{Plan: h.watch})
	h.viewAt, h.sitesAt = 0, 0
	h.updateSites(h.now())
}

// SetSitePlan puts a plan in force. It must not be called on the host's goroutine.
func (h *Host) SetSitePlan(plan *sites.Plan, home string) {
	h.Do(func(h *Host) { h.applySitePlan(plan, home) })
}

// updateSites processes operator commands, checks the sites and publishes a view.
func (h *Host) updateSites(now policy.Time) {
	if h.watch == nil || now < h.sitesAt {
		return
	}
	h.sitesAt = now + sitesInterval
	for more := true; more; {
		select {
		case command := <-h.byHand:
			h.watch.ByHand(now, command.Zone, command.Out)
		default:
			more = false
		}
	}
	if view := h.view.Load(); view != nil && view != h.sitesView {
		h.sitesView = view
		relays, alive := map[string]int{}, map[string]int{}
		for _, member := range view.Members {
			if member.Number == view.Self || member.Zone >= len(h.zones) {
				continue
			}
			if relays[h.zones[member.Zone]]++; member.State < members.Dead {
				alive[h.zones[member.Zone]]++
			}
		}
		for zone, count := range relays {
			h.watch.Members(zone, count, alive[zone])
		}
	}
	h.exchangeSiteReports(now)
	h.watch.Turn(now)
	if changes := h.watch.Changes(); len(changes) > 0 {
		for _, change := range changes {
			h.log.Warn("site", "zone", change.Zone,
				"state", change.To.String(), "was", change.From.String(), "why", change.Why)
			h.pending = append(h.pending, change.News(h.watch))
		}
	}
	h.sites.Store(&Sites{At: now, Home: h.sitesHome, All: h.watch.Standings()})
}

// exchangeSiteReports takes in what other relays report about sites, and reports what this one
// observes.
func (h *Host) exchangeSiteReports(now policy.Time) {
	lost, levels := map[int]int{}, map[int][]float64{}
	h.pool.EachSiteReport(now, func(report peers.SiteReport) {
		if report.LoadFraction == 0 {
			lost[report.Zone]++
		} else {
			levels[report.Zone] = append(levels[report.Zone], report.LoadFraction)
		}
	})
	var reports []peers.SiteReport
	for zone, name := range h.zones {
		h.watch.Said(name, lost[zone], levels[zone])
		if level, ok := h.watch.Word(name); ok {
			reports = append(reports, peers.SiteReport{Zone: zone, LoadFraction: level})
		}
	}
	h.pool.SetSiteReports(reports)
}

// recordSiteResult reports the result of a call to the site watch.
func (h *Host) recordSiteResult(completed callResult, now policy.Time) {
	if h.watch == nil || len(completed.results) == 0 || errors.Is(completed.err, errConnectionLimit) {
		return
	}
	result := sites.Failed
	switch completed.results[0].outcome {
	case policy.Delivered, policy.Errored:
		result = sites.Taken
	case policy.Rejected:
		result = sites.Refused
	case policy.TimedOut:
		result = sites.Silent
	case policy.ConnectFailed:
		if now-completed.call.startedAt >= min(h.dialTimeout, completed.call.timeout) { // no refusal was received
			result = sites.Silent
		}
	case policy.Unsent:
		return
	}
	h.watch.Ended(now, completed.call.startedAt, completed.call.endpoint.id, result)
}

// Sites returns the latest view; nil if no plan is in force. It may be called on any goroutine and
// does not block.
func (h *Host) Sites() *Sites { return h.sites.Load() }

// SubmitSiteCommand queues an operator's command without waiting for it. It returns false if the
// queue is full.
func (h *Host) SubmitSiteCommand(command SiteCommand) bool {
	select {
	case h.byHand <- command:
		return true
	default:
		return false
	}
}
