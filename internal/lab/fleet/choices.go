package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Chosen is what a relay answers when it is asked for the choices that it shares.
type Chosen struct {
	Self    int
	Place   int
	Live    int
	Subsets []struct {
		Destination int
		Of          int
		Endpoints   []string
	}
	Destinations []struct {
		Destination int
		Holders     int  `json:"turn_holders"`
		Holds       bool `json:"turn_held"`
		Down        bool `json:"only_holders_try"`
	}
}

// chosen asks a relay for its choices.
func (r *run) chosen(n int) (*Chosen, error) {
	status, body, err := r.relays[n].CallAdmin("GET", "/choices")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("relay %d: status %d: %w", n, status, err)
	}
	c := &Chosen{}
	return c, json.Unmarshal([]byte(body), c)
}

// unshared names what is amiss in how the relays that are up share endpoints; nothing: all know of the same that live.
func (r *run) unshared() []string {
	r.mu.Lock()
	down := map[int]bool{}
	for n := range r.down {
		down[n] = true
	}
	r.mu.Unlock()
	var all []*Chosen
	for n := range r.relays {
		if down[n] {
			continue
		}
		c, err := r.chosen(n)
		if err != nil {
			return []string{err.Error()}
		}
		all = append(all, c)
	}
	eps := map[int]int{}
	for i, d := range r.day.Dests {
		eps[1+i] = len(d.Endpoints)
	}
	return judgeChoices(all, eps, r.day.Choices.SubsetSize)
}

// judgeChoices holds the choices of the relays that are up against one another: each has a place of its own among as many as there are, and k of a
// destination's endpoints, and no endpoint has many more relays than another.
func judgeChoices(all []*Chosen, eps map[int]int, k int) (bad []string) {
	var places []int
	per := map[int]map[string]int{}
	for _, c := range all {
		if c.Live != len(all) || c.Place < 0 || slices.Contains(places, c.Place) {
			bad = append(bad, fmt.Sprintf("relay %d has place %d of %d; %d relays are up, with places %v so far", c.Self, c.Place, c.Live, len(all), places))
		}
		places = append(places, c.Place)
		had := 0
		for _, s := range c.Subsets {
			if s.Of != eps[s.Destination] || len(s.Endpoints) != k {
				bad = append(bad, fmt.Sprintf("relay %d keeps %d of %d endpoints of destination %d", c.Self, len(s.Endpoints), s.Of, s.Destination))
			}
			had++
			if per[s.Destination] == nil {
				per[s.Destination] = map[string]int{}
			}
			for _, e := range s.Endpoints {
				per[s.Destination][e]++
			}
		}
		for _, m := range eps {
			if m > k {
				had--
			}
		}
		if had != 0 {
			bad = append(bad, fmt.Sprintf("relay %d keeps subsets of %d destinations", c.Self, len(c.Subsets)))
		}
	}
	for d, counts := range per {
		least, most := len(all), 0
		for _, n := range counts {
			least, most = min(least, n), max(most, n)
		}
		if len(counts) < min(eps[d], len(all)*k) {
			least = 0
		}
		if most-least > 2 && float64(most-least) > 0.3*float64(len(all)*k)/float64(eps[d]) {
			bad = append(bad, fmt.Sprintf("destination %d: %d to %d relays on an endpoint", d, least, most))
		}
	}
	slices.Sort(bad)
	return bad
}
