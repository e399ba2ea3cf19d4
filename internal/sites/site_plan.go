package sites

import (
	"slices"

	"oatfold/policy"
)

// Implementation of policy.SitePlan: which endpoints may be called, and which messages are shed
// first.

var _ policy.SitePlan = (*Watch)(nil)

// Allows reports whether a call for a destination may go to a zone's endpoint now. unsafe says that
// it must not be repeated. If all remaining endpoints of a destination are at lost or returning
// sites, only the destination's own probing and ramp limit its calls.
func (w *Watch) Allows(dest int, zone string, unsafe bool) bool {
	s := w.byZone[zone]
	if w.lostSites == 0 || s == nil {
		return true
	}
	if s.manuallyOut {
		return false
	}
	switch s.state {
	case Lost:
		return !w.hasEndpointsElsewhere(dest, zone) || !unsafe && s.probeTokens >= 1
	case Returning:
		return !w.hasEndpointsElsewhere(dest, zone) ||
			s.callCredit >= 1 && (!unsafe || s.loadFraction >= unsafeCallFraction)
	}
	return s.maxRate == 0 || s.tokens >= 1
}

// hasEndpointsElsewhere reports whether a destination has endpoints in another zone that is neither
// lost nor returning.
func (w *Watch) hasEndpointsElsewhere(dest int, zone string) bool {
	for z := range w.endpointsByZone[dest] {
		if s := w.byZone[z]; z != zone && (s == nil || s.state == Healthy || s.state == Degraded) {
			return true
		}
	}
	return false
}

// CallSent records a call. A returning site gets its share of each destination's calls, by its
// share of the endpoints, so that the ramps of all relays follow their demand.
func (w *Watch) CallSent(dest int, zone string) {
	if w.lostSites == 0 {
		return
	}
	total := 0
	for _, n := range w.endpointsByZone[dest] {
		total += n
	}
	for z, n := range w.endpointsByZone[dest] {
		if s := w.byZone[z]; s != nil && s.state == Returning {
			s.callCredit = min(2, s.callCredit+s.loadFraction*float64(n)/float64(max(1, total)))
		}
	}
	if s := w.byZone[zone]; s != nil {
		switch s.state {
		case Lost:
			s.probeTokens = 0
		case Returning:
			s.callCredit = max(0, s.callCredit-1)
		default:
			s.tokens = max(0, s.tokens-1)
		}
	}
}

// EndpointCost returns the cost of an endpoint of a zone relative to others, in units of its
// concurrency limit. It is 0 unless a site is lost: only then are rates to zones limited, without
// which preferring one would overload its endpoints while others idle.
func (w *Watch) EndpointCost(zone string) float64 {
	s := w.byZone[zone]
	switch {
	case s == nil || w.lostSites == 0:
		return 0
	case s.state == Lost && s.probeTokens >= 1 && !s.manuallyOut:
		return probeDueCost
	case s.state == Returning && s.callCredit >= 1:
		return returningCost
	}
	return tierCost * float64(max(0, s.tier))
}

// ShedPriority returns how early a class is shed while a site is lost; larger is earlier, 0: by
// value alone.
func (w *Watch) ShedPriority(class string) float64 {
	if w.lostSites == 0 || len(w.plan.RefuseFirst) == 0 {
		return 0
	}
	if i := slices.Index(w.plan.RefuseFirst, class); i >= 0 {
		return float64(len(w.plan.RefuseFirst) - 1 - i)
	}
	return float64(len(w.plan.RefuseFirst))
}

// MaxAttempts returns the limit of attempts per message: half of most while a site is lost, but at
// least two. Destinations with endpoints at lost sites only keep all attempts, since they take no
// capacity from other sites.
func (w *Watch) MaxAttempts(dest, limit int) int {
	if w.lostSites == 0 || !w.hasEndpointsElsewhere(dest, "") {
		return limit
	}
	return min(limit, max(2, (limit+1)/2))
}

// SiteLost reports whether a site is lost or returning, in which case Retry-After times are
// randomized.
func (w *Watch) SiteLost() bool { return w.lostSites > 0 }
