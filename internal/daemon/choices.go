package daemon

import (
	"encoding/json"
	"fmt"
)

// choicesJSON is what GET /choices answers.
type choicesJSON struct {
	Self    int          `json:"self"`
	Choices string       `json:"choices"`
	Place   int          `json:"place"` // -1: not known yet
	Live    int          `json:"live"`  // relays that have one
	AgeMs   int64        `json:"age_ms"`
	Subsets []subsetJSON `json:"subsets"`
	Beyond  int          `json:"subsets_beyond,omitempty"` // that did not fit, at least
	News    []newsJSON   `json:"destinations"`
}

type subsetJSON struct {
	Destination int      `json:"destination"`
	Of          int      `json:"of"`
	Endpoints   []string `json:"endpoints"`
	Why         string   `json:"why"`
}

type newsJSON struct {
	Destination int     `json:"destination"`
	AgeMs       int64   `json:"age_ms"`
	Holders     int     `json:"turn_holders,omitempty"`
	Holds       bool    `json:"turn_held,omitempty"`
	Down        bool    `json:"only_holders_try,omitempty"`
	Allowed     float64 `json:"allowed_even,omitempty"` // calls a second that each relay may make; none: any number
	Slice       float64 `json:"slice,omitempty"`        // this relay's, in parts of that
	Own         float64 `json:"wanted_here,omitempty"`
	Mean        float64 `json:"wanted_mean"`
	Voices      int     `json:"relays_that_saw_failures,omitempty"`
	WaitMs      int64   `json:"wait_heard_ms,omitempty"`
	Why         string  `json:"why"`
}

// choices writes what this relay made of what it knows of the fleet; nil where nothing is shared.
func (r *relay) choices() []byte {
	host := r.serving.Load()
	if host == nil {
		return nil
	}
	c := host.Choices()
	if c == nil {
		return nil
	}
	now := host.Now()
	out := choicesJSON{Self: c.Me, Choices: c.Set.String(), Place: c.Place, Live: c.Live, AgeMs: max(0, now-c.At).Milliseconds(), Subsets: []subsetJSON{}, Beyond: c.Omitted, News: []newsJSON{}}
	for _, k := range c.Subsets {
		s := subsetJSON{Destination: k.Dest, Of: k.Total, Why: fmt.Sprintf("place %d of %d relays, %d of %d endpoints", c.Place, c.Live, len(k.Endpoints), k.Total)}
		for _, e := range k.Endpoints {
			s.Endpoints = append(s.Endpoints, e.Address)
		}
		out.Subsets = append(out.Subsets, s)
	}
	for _, s := range c.Destinations {
		n := newsJSON{Destination: s.Dest, AgeMs: max(0, now-s.At).Milliseconds(), Holders: s.SlotHolders, Holds: s.HoldsSlot, Down: s.Down, Allowed: s.Allowed, Slice: s.DemandShare,
			Own: s.OwnDemand, Mean: s.MeanDemand, Voices: s.Reporters, WaitMs: s.RetryAfter.Milliseconds()}
		switch {
		case s.RetryAfter > 0:
			n.Why = "other relays were told to wait"
		case s.Down && !s.HoldsSlot:
			n.Why = "nobody gets through: others try it in this turn"
		case s.Down:
			n.Why = "nobody gets through: this relay is one of those that try it in this turn"
		case s.Allowed > 0 && s.DemandShare > 0:
			n.Why = fmt.Sprintf("%.2f calls a second: %.2f of an even part, by what comes in here", s.Allowed*s.DemandShare, s.DemandShare)
		default:
			n.Why = "nothing holds it back"
		}
		out.News = append(out.News, n)
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil // plain values
	}
	return append(b, '\n')
}
