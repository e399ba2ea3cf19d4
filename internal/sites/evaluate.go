package sites

import (
	"fmt"
	"slices"
	"time"
)

// Evaluation of a site's state from the evidence.

// setState changes the state of a site and records the change.
func (w *Watch) setState(now Time, s *site, to State, why string) {
	w.changes = append(w.changes, Change{s.name, s.state, to, why, false})
	downCount := func(st State) int {
		if st == Lost || st == Returning {
			return 1
		}
		return 0
	}
	w.lostSites += downCount(to) - downCount(s.state)
	from := s.state
	s.state, s.since, s.why, s.callCredit, s.degradedSince = to, now, why, 0, -1
	if to == Healthy {
		s.loadFraction, s.provenFraction, s.returned = 1, initialFraction, downCount(from) > 0
	}
	if to == Returning { // earlier failures say nothing about its return
		s.failureRun, s.silentRun = 0, 0
		s.recent = [bucketCount]counts{}
	}
	if to == Lost {
		s.loadFraction = 0
		s.nextProbeAt = now + w.probeDelay()
	}
}

// probeDelay returns the random time until this relay's next probe of a lost site. All relays
// together probe at one rate, independent of their number.
func (w *Watch) probeDelay() time.Duration {
	mean := float64(fleetProbeInterval) * float64(w.liveRelays)
	return time.Duration(mean * (0.5 + w.rng.Float64()))
}

// recentCounts sums the calls of all buckets.
func (s *site) recentCounts() (all counts) {
	for _, c := range s.recent {
		all.add(c)
	}
	return all
}

// isFailing reports whether no calls to a site's endpoints succeed, and why.
func (s *site) isFailing(now Time) (bool, string) {
	othersFail := s.othersFailedAt >= 0 && now-s.othersFailedAt < fleetStatsLifetime || s.lossReporters >= minReporters
	if s.failureRun == 0 || s.acceptedAt >= s.failureRunAt || s.failureRun < lossFailures && !othersFail {
		return false, ""
	}
	delay, why := lossDelay, fmt.Sprintf("%d calls failed, none taken", s.failureRun)
	if othersFail {
		why += ", as others see"
	}
	switch {
	case s.relays == 0:
	case s.relaysAlive*2 >= s.relays:
		delay, why = lossDelayRelaysAlive, why+fmt.Sprintf("; %d of %d relays live", s.relaysAlive, s.relays)
	default:
		why += fmt.Sprintf("; %d of %d relays are away", s.relays-s.relaysAlive, s.relays)
	}
	return now-s.failureRunAt >= delay, why
}

// evaluate updates the state of a site and the limits of its load. elapsed is the time since the
// previous tick.
func (w *Watch) evaluate(now Time, elapsed time.Duration, s *site) {
	recent := s.recentCounts()
	failing, why := s.isFailing(now)
	s.maybePartitioned = failing && s.silentRun == s.failureRun
	if s.manuallyOut {
		return
	}
	// Relays of a returning site that start with it have not seen its loss. The policy engine has
	// to treat endpoints of destinations without another site as cold.
	if fraction := s.reportedFraction(); !s.lossAnnounced && now-w.startedAt < startupPeriod &&
		s.state == Healthy && (s.lossReporters >= minReporters || fraction > 0 && fraction < 1) {
		s.lossAnnounced = true
		w.changes = append(w.changes, Change{
			s.name, Healthy, Healthy,
			fmt.Sprintf("%d relays say that it was lost", s.lossReporters+len(s.reportedFractions)), true,
		})
	}
	switch s.state {
	case Healthy, Degraded:
		if failing && s.othersAcceptedAt < s.failureRunAt+fleetStatsLifetime {
			w.setState(now, s, Lost, why)
			return
		}
		if s.endpoints == 0 && s.relays > 0 && s.relaysAlive == 0 && s.name != w.homeZone {
			w.setState(now, s, Lost, fmt.Sprintf("all of its %d relays are away, and it has no endpoints", s.relays))
			return
		}
		degradedWhy := ""
		switch {
		case failing:
			degradedWhy = why + "; others get through: it is cut off from here alone"
		case recent.failed >= degradedFailures && recent.failed >= recent.accepted:
			degradedWhy = fmt.Sprintf("%d of %d calls failed", recent.failed, recent.failed+recent.accepted)
		case s.relays > 1 && s.relaysAlive*2 < s.relays:
			degradedWhy = fmt.Sprintf(
				"%d of %d relays are away, its endpoints answer", s.relays-s.relaysAlive, s.relays)
		}
		switch {
		case degradedWhy == "" && s.state == Degraded && s.clearSince < 0:
			s.clearSince = now
		case degradedWhy == "" && s.state == Degraded && now-s.clearSince >= clearDelay:
			w.setState(now, s, Healthy, "nothing speaks against it any more")
		case degradedWhy == "":
			s.degradedSince = -1
		case s.degradedSince < 0:
			s.degradedSince, s.clearSince = now, -1
		case s.state == Healthy && now-s.degradedSince >= degradedDelay:
			s.clearSince = -1
			w.setState(now, s, Degraded, degradedWhy)
		default:
			s.clearSince = -1
		}
		if s.failedReturns > 0 && s.state == Healthy && now-s.since >= stableRamps*w.plan.Ramp {
			s.failedReturns = 0
		}
	case Lost:
		if s.endpoints == 0 && s.relaysAlive > 0 {
			w.setState(now, s, Healthy, "its relays are back, and it has no endpoints")
			return
		}
		if fraction := s.reportedFraction(); fraction > 0 && now >= s.holdDownUntil {
			s.loadFraction = fraction
			w.setState(now, s, Returning, fmt.Sprintf("%d relays get through", len(s.reportedFractions)))
			return
		}
		if now >= s.nextProbeAt && now >= s.holdDownUntil {
			s.probeTokens, s.nextProbeAt = 1, now+w.probeDelay()
		}
	case Returning:
		w.advanceRamp(now, elapsed, s, recent, failing, why)
	}
	w.updateSpillRate(elapsed, s, recent)
}

// reportedFraction returns the median load fraction that other relays give a site to which it
// answers, 0 if fewer than minReporters report one.
func (s *site) reportedFraction() float64 {
	if len(s.reportedFractions) < minReporters {
		return 0
	}
	sorted := slices.Clone(s.reportedFractions)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
