package wire

import (
	"slices"

	"oatfold/internal/choice"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/policy"
)

const (
	choicesInterval = 2 * members.Period // between two views of choices that operators see
	maxChoices      = 256                // destinations in one
)

// Choices is what this relay made of what it knows of the fleet, as operators see it.
type Choices struct {
	Set          choice.Options
	Me           int
	Place        int // -1: not known
	Live         int
	At           policy.Time
	Subsets      []Subset
	Destinations []DestinationState
	Omitted      int // destinations that did not fit
}

// Subset is the subset of a destination.
type Subset struct {
	Dest, Total int
	Endpoints   []choice.Endpoint
}

// DestinationState is what was last made of a destination's news.
type DestinationState struct {
	Dest int
	peers.DestinationStatus
}

// updateSubsets tells the module which endpoints it keeps connections to, where that has changed.
func (h *Host) updateSubsets(now policy.Time) {
	for _, s := range h.gossiper.ChangedSubsets(now) {
		h.pendingEvents = append(h.pendingEvents, s)
	}
	if h.gossiper.Choices().Any() && now >= h.choicesViewAt+choicesInterval {
		h.choicesViewAt = now
		h.choicesView.Store(h.buildChoices(now))
	}
}

func (h *Host) buildChoices(now policy.Time) *Choices {
	c := &Choices{Set: h.gossiper.Choices(), Me: h.identity.Number, At: now}
	c.Place, c.Live = h.gossiper.Place()
	h.gossiper.EachSubset(func(dest int, mine []choice.Endpoint, of int) bool {
		if len(c.Subsets) == maxChoices {
			c.Omitted++
			return c.Omitted < maxChoices // no more than it takes to say that there are many
		}
		c.Subsets = append(c.Subsets, Subset{dest, of, mine})
		return true
	})
	for dest, s := range h.gossiper.DestinationStatuses() {
		c.Destinations = append(c.Destinations, DestinationState{dest, s})
	}
	slices.SortFunc(c.Subsets, func(a, b Subset) int { return a.Dest - b.Dest })
	slices.SortFunc(c.Destinations, func(a, b DestinationState) int { return a.Dest - b.Dest })
	return c
}

// Choices are the latest; nil: none are shared. Anyone may call it: it waits for nothing.
func (h *Host) Choices() *Choices { return h.choicesView.Load() }

// Now is the moment on the clock that views are dated by.
func (h *Host) Now() policy.Time { return h.now() }
