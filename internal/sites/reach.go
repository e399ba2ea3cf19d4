package sites

import (
	"slices"

	"oatfold/policy"
)

// What the decision module asks of sites is answered here: which endpoints calls may go to, and what is refused first.

var _ policy.SitePlan = (*Watch)(nil)

// Allows tells whether a call for a destination may go to a zone's endpoint now. Where all that is left of a destination is there, its own trickle and ramp are bound enough.
func (w *Watch) Allows(dest int, zone string, unsafe bool) bool {
	s := w.by[zone]
	if w.lost == 0 || s == nil {
		return true
	}
	if s.out {
		return false
	}
	switch s.state {
	case Lost:
		return !w.elsewhere(dest, zone) || !unsafe && s.probes >= 1
	case Returning:
		return !w.elsewhere(dest, zone) || s.credit >= 1 && (!unsafe || s.level >= chargeFrom)
	}
	return s.rate == 0 || s.tokens >= 1
}

// elsewhere tells whether a destination has endpoints in a zone that is neither lost nor returns.
func (w *Watch) elsewhere(dest int, zone string) bool {
	for z := range w.dests[dest] {
		if s := w.by[z]; z != zone && (s == nil || s.state == Healthy || s.state == Degraded) {
			return true
		}
	}
	return false
}

// CallSent books a call. A returning site has its part of each destination's calls, by how many of its endpoints are there: so the ramps of all relays follow their demand.
func (w *Watch) CallSent(dest int, zone string) {
	if w.lost == 0 {
		return
	}
	all := 0
	for _, n := range w.dests[dest] {
		all += n
	}
	for z, n := range w.dests[dest] {
		if s := w.by[z]; s != nil && s.state == Returning {
			s.credit = min(2, s.credit+s.level*float64(n)/float64(max(1, all)))
		}
	}
	if s := w.by[zone]; s != nil {
		switch s.state {
		case Lost:
			s.probes = 0
		case Returning:
			s.credit = max(0, s.credit-1)
		default:
			s.tokens = max(0, s.tokens-1)
		}
	}
}

// EndpointCost is what an endpoint of a zone costs beside others, in parts of the slots. Only while a site is lost, when what goes to each zone is bounded: preferred without a bound, the
// endpoints of a zone to which another's clients have come fill up while others stand idle.
func (w *Watch) EndpointCost(zone string) float64 {
	s := w.by[zone]
	switch {
	case s == nil || w.lost == 0:
		return 0
	case s.state == Lost && s.probes >= 1 && !s.out:
		return dueCost
	case s.state == Returning && s.credit >= 1:
		return backCost
	}
	return tierCost * float64(max(0, s.tier))
}

// ShedPriority is how soon a class is refused where not all can be served, while a site is lost; larger is sooner, 0: by worth alone.
func (w *Watch) ShedPriority(class string) float64 {
	if w.lost == 0 || len(w.plan.RefuseFirst) == 0 {
		return 0
	}
	if i := slices.Index(w.plan.RefuseFirst, class); i >= 0 {
		return float64(len(w.plan.RefuseFirst) - 1 - i)
	}
	return float64(len(w.plan.RefuseFirst))
}

// MaxAttempts is how many attempts a message has: half while a site is lost, two at least. What has endpoints at lost sites only takes nothing from survivors, and keeps all of them until those are back.
func (w *Watch) MaxAttempts(dest, most int) int {
	if w.lost == 0 || !w.elsewhere(dest, "") {
		return most
	}
	return min(most, max(2, (most+1)/2))
}

// SiteLost tells whether a site is lost or returns: advice when to come again is drawn apart.
func (w *Watch) SiteLost() bool { return w.lost > 0 }
