package wire

import (
	"slices"

	"oatfold/internal/choice"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

const (
	choicesInterval = 2 * members.Period // between published views
	maxChoices      = 256                // destinations per view
)

// Choices is the operators' view of how this relay shares destinations with the fleet.
type Choices struct {
	Set          choice.Options
	Me           int
	Place        int // of this relay among the live ones; -1: unknown
	Live         int // number of live relays
	At           policy.Time
	Subsets      []Subset
	Destinations []DestinationState
	Omitted      int // subsets that were left out, counted up to maxChoices
}

// Subset lists the endpoints of a destination that this relay keeps connections to.
type Subset struct {
	Dest, Total int
	Endpoints   []choice.Endpoint
}

// DestinationState is what the fleet last reported of a destination.
type DestinationState struct {
	Dest int
	peers.DestinationStatus
}

// updateSubsets tells the policy engine which endpoints to keep connections to, where that has
// changed.
func (h *Host) updateSubsets(now policy.Time) {
	for _, subset := range h.gossiper.ChangedSubsets(now) {
		h.pendingEvents = append(h.pendingEvents, subset)
	}
	if h.gossiper.Choices().Any() && now >= h.choicesViewAt+choicesInterval {
		h.choicesViewAt = now
		h.choicesView.Store(h.buildChoices(now))
	}
}

// buildChoices returns the current view.
func (h *Host) buildChoices(now policy.Time) *Choices {
	view := &Choices{Set: h.gossiper.Choices(), Me: h.identity.Number, At: now}
	view.Place, view.Live = h.gossiper.Place()
	h.gossiper.EachSubset(func(dest int, endpoints []choice.Endpoint, total int) bool {
		if len(view.Subsets) == maxChoices {
			view.Omitted++
			return view.Omitted < maxChoices // bounds the time spent on counting
		}
		view.Subsets = append(view.Subsets, Subset{dest, total, endpoints})
		return true
	})
	for dest, state := range h.gossiper.DestinationStatuses() {
		view.Destinations = append(view.Destinations, DestinationState{dest, state})
	}
	slices.SortFunc(view.Subsets, func(a, b Subset) int { return a.Dest - b.Dest })
	slices.SortFunc(view.Destinations, func(a, b DestinationState) int { return a.Dest - b.Dest })
	return view
}

// Choices returns the latest view; nil if nothing is shared. It may be called on any goroutine and
// does not block.
func (h *Host) Choices() *Choices { return h.choicesView.Load() }

// Now returns the time on the clock that dates the views.
func (h *Host) Now() policy.Time { return h.now() }
