package daemon

import (
	"encoding/json"
	"fmt"
)

// choicesJSON is what GET /choices answers.
type choicesJSON struct {
	Self           int               `json:"self"`
	Choices        string            `json:"choices"`
	Place          int               `json:"place"` // -1: not known yet
	Live           int               `json:"live"`  // relays that have one
	AgeMs          int64             `json:"age_ms"`
	Subsets        []subsetJSON      `json:"subsets"`
	OmittedSubsets int               `json:"subsets_beyond,omitempty"` // that did not fit, at least
	Destinations   []destinationJSON `json:"destinations"`
}

type subsetJSON struct {
	Destination int      `json:"destination"`
	Of          int      `json:"of"`
	Endpoints   []string `json:"endpoints"`
	Why         string   `json:"why"`
}

type destinationJSON struct {
	Destination  int     `json:"destination"`
	AgeMs        int64   `json:"age_ms"`
	SlotHolders  int     `json:"turn_holders,omitempty"`
	HoldsSlot    bool    `json:"turn_held,omitempty"`
	Down         bool    `json:"only_holders_try,omitempty"`
	Allowed      float64 `json:"allowed_even,omitempty"` // calls a second that each relay may make; none: any number
	DemandShare  float64 `json:"slice,omitempty"`        // this relay's, in parts of that
	OwnDemand    float64 `json:"wanted_here,omitempty"`
	MeanDemand   float64 `json:"wanted_mean"`
	Reporters    int     `json:"relays_that_saw_failures,omitempty"`
	RetryAfterMs int64   `json:"wait_heard_ms,omitempty"`
	Why          string  `json:"why"`
}

// choices writes what this relay made of what it knows of the fleet; nil where nothing is shared.
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
	out := choicesJSON{Self: view.Me, Choices: view.Set.String(), Place: view.Place, Live: view.Live, AgeMs: max(0, now-view.At).Milliseconds(), Subsets: []subsetJSON{}, OmittedSubsets: view.Omitted, Destinations: []destinationJSON{}}
	for _, subset := range view.Subsets {
		row := subsetJSON{Destination: subset.Dest, Of: subset.Total, Why: fmt.Sprintf("place %d of %d relays, %d of %d endpoints", view.Place, view.Live, len(subset.Endpoints), subset.Total)}
		for _, e := range subset.Endpoints {
			row.Endpoints = append(row.Endpoints, e.Address)
		}
		out.Subsets = append(out.Subsets, row)
	}
	for _, dest := range view.Destinations {
		row := destinationJSON{Destination: dest.Dest, AgeMs: max(0, now-dest.At).Milliseconds(), SlotHolders: dest.SlotHolders, HoldsSlot: dest.HoldsSlot, Down: dest.Down, Allowed: dest.Allowed, DemandShare: dest.DemandShare,
			OwnDemand: dest.OwnDemand, MeanDemand: dest.MeanDemand, Reporters: dest.Reporters, RetryAfterMs: dest.RetryAfter.Milliseconds()}
		switch {
		case dest.RetryAfter > 0:
			row.Why = "other relays were told to wait"
		case dest.Down && !dest.HoldsSlot:
			row.Why = "nobody gets through: others try it in this turn"
		case dest.Down:
			row.Why = "nobody gets through: this relay is one of those that try it in this turn"
		case dest.Allowed > 0 && dest.DemandShare > 0:
			row.Why = fmt.Sprintf("%.2f calls a second: %.2f of an even part, by what comes in here", dest.Allowed*dest.DemandShare, dest.DemandShare)
		default:
			row.Why = "nothing holds it back"
		}
		out.Destinations = append(out.Destinations, row)
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // plain values
	}
	return append(b, '\n')
}
