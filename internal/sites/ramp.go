package sites

import (
	"fmt"
	"slices"
	"time"
)

// Return of load to a site, and limits of the load that other sites take meanwhile.

// headroom returns the capacity of all endpoints in a zone beyond the demand of its own clients, as
// the plan has it; 0 if it has no figures.
func (p *Plan) headroom(zone string) (sum float64) {
	for _, d := range p.Destinations {
		demand := 0.0
		for _, n := range d.Demand[zone] {
			demand += n
		}
		sum += max(0, d.Capacity[zone]-demand)
	}
	return sum
}

// maxSpillFraction returns the largest part of a zone's headroom that any other site's load may
// take.
func (p *Plan) maxSpillFraction(zone string) (fraction float64) {
	for _, s := range p.Sites {
		for _, t := range s.Tiers {
			if slices.Contains(t.Zones, zone) {
				fraction = max(fraction, t.SpillFraction)
			}
		}
	}
	return fraction
}

// ownDemand returns the demand of a zone's clients on its own endpoints, up to their capacity.
func (p *Plan) ownDemand(zone string) (sum float64) {
	for _, d := range p.Destinations {
		demand := 0.0
		for _, n := range d.Demand[zone] {
			demand += n
		}
		sum += min(demand, d.Capacity[zone])
	}
	return sum
}

// advanceRamp grows the load fraction of a returning site while its endpoints answer. A new failure
// cuts it to half or to the proven fraction, whichever is smaller, and slows its further growth; if
// no calls succeed, the site is lost again.
func (w *Watch) advanceRamp(now Time, elapsed time.Duration, s *site, recent counts, failing bool, why string) {
	latest := s.recent[0]
	latest.add(s.recent[1])
	switch {
	case failing:
		s.failedReturns++
		s.provenFraction = max(minFraction, s.provenFraction/2)
		s.holdDownUntil = now + min(maxHoldDown, initialHoldDown<<min(s.failedReturns-1, 8))
		w.setState(now, s, Lost, "it failed in its return: "+why)
	case latest.failed >= 2 && latest.failed >= latest.accepted && s.loadFraction > minFraction:
		s.failedReturns++
		s.loadFraction = max(minFraction, min(s.provenFraction, s.loadFraction/2))
		s.provenFraction = s.loadFraction
		s.why = fmt.Sprintf("%d of %d calls failed in its return: it goes on from %.2f of its load",
			latest.failed, latest.failed+latest.accepted, s.loadFraction)
		w.changes = append(w.changes, Change{s.name, Returning, Returning, s.why, false})
		s.recent[0], s.recent[1] = counts{}, counts{} // handled: must not count again
	case (s.acceptedAt >= s.since || s.reportedFraction() > s.loadFraction) && s.failureRun == 0 &&
		latest.failed*5 <= latest.accepted && latest.rejected <= latest.accepted+1:
		s.provenFraction = max(s.provenFraction, s.loadFraction)
		slowdown := min(maxRampSlowdown, 1+s.failedReturns)
		if s.loadFraction += elapsed.Seconds() / (w.plan.Ramp.Seconds() * float64(slowdown)); s.loadFraction >= 1 {
			w.setState(now, s, Healthy, "it takes its full load")
		}
	}
}

// updateSpillRate updates how much may go from here to a site that serves while another is lost: at
// most its own clients' demand and a share of the plan's headroom. Rejections cut the rate, after
// which it grows slowly. Without figures in the plan there is no limit until calls are rejected.
func (w *Watch) updateSpillRate(elapsed time.Duration, s *site, recent counts) {
	calls, window := recent.accepted+recent.rejected, (bucketCount * bucketWidth).Seconds()
	if w.lostSites == 0 {
		s.baselineRate += (float64(calls)/window - s.baselineRate) * min(1, elapsed.Seconds()/baselineTime.Seconds())
	}
	if s.tier < 0 || w.lostSites == 0 || s.state == Lost || s.state == Returning {
		s.maxRate, s.tokens = 0, 0
		return
	}
	limit, starting := w.allowedRate(s), s.maxRate == 0
	if starting {
		s.maxRate, s.tokens = limit, 1
	}
	switch rejected := float64(recent.rejected) / float64(max(1, calls)); {
	case calls >= spillMinCalls && rejected > spillCutRejected:
		if bound := max(0.5, spillCutFactor*float64(recent.accepted)/window); s.maxRate == 0 || bound < s.maxRate {
			s.maxRate = bound
		}
	case rejected < spillGrowRejected:
		s.maxRate *= 1 + (spillGrowth-1)*elapsed.Seconds()
	}
	if limit > 0 {
		s.maxRate = min(s.maxRate, limit)
	}
	s.tokens = min(1+s.maxRate*burstTime.Seconds(), s.tokens+s.maxRate*elapsed.Seconds())
}

// allowedRate returns this relay's share of what may go to a site; 0 if the plan has no figures.
// Relays of a lost site that are still alive get the part of the others' headroom that is their
// part of the site's relays: its other clients use relays of other sites, which get the rest.
func (w *Watch) allowedRate(s *site) float64 {
	if s.ownDemand+s.spareCapacity == 0 {
		return 0
	}
	relays, alive := 0, 0 // relays of lost sites
	for _, other := range w.sites {
		if other.state == Lost || other.state == Returning {
			if relays += other.relays; other.state == Returning || w.lastTick-other.since >= deathDetectionTime {
				alive += other.relaysAlive // until then, dead relays may still count as alive
			}
			if other.tier == 0 {
				relays, alive = relays+1, alive+1
			}
		}
	}
	if home := w.byZone[w.homeZone]; home != nil && (home.state == Lost || home.state == Returning) {
		return withMargin(s.spareCapacity / float64(relays))
	}
	spillShare := s.spareCapacity / float64(max(1, w.liveRelays-alive))
	if relays > 0 {
		spillShare *= 1 - float64(alive)/float64(relays)
	}
	if s.tier == 0 {
		return withMargin(max(s.ownDemand/float64(s.relaysAlive+1), s.baselineRate) + spillShare)
	}
	return withMargin(max(spillShare, minSpillRate))
}

// withMargin raises an equal share of a rate, since demand differs between relays.
func withMargin(rate float64) float64 { return imbalanceFactor * rate }
