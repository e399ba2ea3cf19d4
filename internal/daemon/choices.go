package daemon

import (
	"encoding/json"
	"fmt"
)

// choicesJSON is the reply to GET /choices.
type choicesJSON struct {
	Self           int               `json:"self"`
	Choices        string            `json:"choices"`
	Place          int               `json:"place"` // position among the live relays; -1: unknown
	Live           int               `json:"live"`  // live relays
	AgeMs          int64             `json:"age_ms"`
	Subsets        []subsetJSON      `json:"subsets"`
	OmittedSubsets int               `json:"subsets_beyond,omitempty"` // lower bound of the subsets that did not fit
	Destinations   []destinationJSON `json:"destinations"`
}

// subsetJSON is the subset of a destination's endpoints that this relay uses.
type subsetJSON struct {
	Destination int      `json:"destination"`
	Of          int      `json:"of"`
	Endpoints   []string `json:"endpoints"`
	Why         string   `json:"why"`
}

// destinationJSON is what the fleet knows of a destination, and what this relay makes of it.
type destinationJSON struct {
	Destination  int     `json:"destination"`
	AgeMs        int64   `json:"age_ms"`
	SlotHolders  int     `json:"turn_holders,omitempty"`
	HoldsSlot    bool    `json:"turn_held,omitempty"`
	Down         bool    `json:"only_holders_try,omitempty"`
	Allowed      float64 `json:"allowed_even,omitempty"` // calls per second at a fair share; absent: no limit
	DemandShare  float64 `json:"slice,omitempty"`        // this relay's share, as a factor of Allowed
	OwnDemand    float64 `json:"wanted_here,omitempty"`
	MeanDemand   float64 `json:"wanted_mean"`
	Reporters    int     `json:"relays_that_saw_failures,omitempty"`
	RetryAfterMs int64   `json:"wait_heard_ms,omitempty"`
	Why          string  `json:"why"`
}

// choices returns the reply to GET /choices; nil where relays share nothing.
func (r *relay) choices() []byte {
	host := r.runningHost.Load()
	if host == nil {
		return nil
	}
	view := host.Choices()
	if view == nil {
		return nil
	}
	now := host.Now()
	out := choicesJSON{Self: view.Me, Choices: view.Set.String(), Place: view.Place, Live: view.Live,
		AgeMs: max(0, now-view.At).Milliseconds(), Subsets: []subsetJSON{}, OmittedSubsets: view.Omitted,
		Destinations: []destinationJSON{}}
	for _, subset := range view.Subsets {
		row := subsetJSON{Destination: subset.Dest, Of: subset.Total, Why: fmt.Sprintf(
			"place %d of %d relays, %d of %d endpoints", view.Place, view.Live, len(subset.Endpoints), subset.Total)}
		for _, e := range subset.Endpoints {
			row.Endpoints = append(row.Endpoints, e.Address)
		}
		out.Subsets = append(out.Subsets, row)
	}
	for _, dest := range view.Destinations {
		row := destinationJSON{Destination: dest.Dest, AgeMs: max(0, now-dest.At).Milliseconds(),
			SlotHolders: dest.SlotHolders, HoldsSlot: dest.HoldsSlot, Down: dest.Down,
			Allowed: dest.Allowed, DemandShare: dest.DemandShare,
			OwnDemand: dest.OwnDemand, MeanDemand: dest.MeanDemand,
			Reporters: dest.Reporters, RetryAfterMs: dest.RetryAfter.Milliseconds()}
		switch {
		case dest.RetryAfter > 0:
			row.Why = "other relays received Retry-After"
		case dest.Down && !dest.HoldsSlot:
			row.Why = "destination is down: other relays probe it in this time slot"
		case dest.Down:
			row.Why = "destination is down: this relay probes it in this time slot"
		case dest.Allowed > 0 && dest.DemandShare > 0:
			row.Why = fmt.Sprintf("%.2f calls per second: %.2f times the fair share, by local demand",
				dest.Allowed*dest.DemandShare, dest.DemandShare)
		default:
			row.Why = "no limit from the fleet"
		}
		out.Destinations = append(out.Destinations, row)
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // cannot happen: all fields can be encoded
	}
	return append(b, '\n')
}
