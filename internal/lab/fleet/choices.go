package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Choices is a relay's answer to GET /choices: its place in the fleet, its endpoint subsets and the
// destinations that it probes.
type Choices struct {
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

// fetchChoices asks a relay for its choices.
func (r *run) fetchChoices(n int) (*Choices, error) {
	status, body, err := r.relays[n].CallAdmin("GET", "/choices")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("relay %d: status %d: %w", n, status, err)
	}
	choices := &Choices{}
	return choices, json.Unmarshal([]byte(body), choices)
}

// choiceProblems returns what is wrong with how the running relays share endpoints; it is empty
// when they agree on the live fleet.
func (r *run) choiceProblems() []string {
	r.mu.Lock()
	down := map[int]bool{}
	for n := range r.down {
		down[n] = true
	}
	r.mu.Unlock()
	var all []*Choices
	for n := range r.relays {
		if down[n] {
			continue
		}
		choices, err := r.fetchChoices(n)
		if err != nil {
			return []string{err.Error()}
		}
		all = append(all, choices)
	}
	endpointCounts := map[int]int{}
	for i, dest := range r.scenario.Dests {
		endpointCounts[1+i] = len(dest.Endpoints)
	}
	return checkChoices(all, endpointCounts, r.scenario.Choices.SubsetSize)
}

// checkChoices compares the choices of all running relays. Each must have a place of its own among
// as many places as there are relays and subsetSize endpoints of each large destination, and no
// endpoint may have many more relays than another.
func checkChoices(all []*Choices, endpointCounts map[int]int, subsetSize int) (problems []string) {
	var places []int
	relaysPerEndpoint := map[int]map[string]int{}
	for _, choices := range all {
		if choices.Live != len(all) || choices.Place < 0 || slices.Contains(places, choices.Place) {
			problems = append(problems,
				fmt.Sprintf("relay %d has place %d of %d; %d relays are up, with places %v so far",
					choices.Self, choices.Place, choices.Live, len(all), places))
		}
		places = append(places, choices.Place)
		surplus := 0
		for _, subset := range choices.Subsets {
			if subset.Of != endpointCounts[subset.Destination] || len(subset.Endpoints) != subsetSize {
				problems = append(problems,
					fmt.Sprintf("relay %d keeps %d of %d endpoints of destination %d", choices.Self,
						len(subset.Endpoints), subset.Of, subset.Destination))
			}
			surplus++
			if relaysPerEndpoint[subset.Destination] == nil {
				relaysPerEndpoint[subset.Destination] = map[string]int{}
			}
			for _, endpoint := range subset.Endpoints {
				relaysPerEndpoint[subset.Destination][endpoint]++
			}
		}
		for _, count := range endpointCounts {
			if count > subsetSize {
				surplus--
			}
		}
		if surplus != 0 {
			problems = append(problems,
				fmt.Sprintf("relay %d keeps subsets of %d destinations", choices.Self, len(choices.Subsets)))
		}
	}
	for dest, counts := range relaysPerEndpoint {
		fewest, most := len(all), 0
		for _, count := range counts {
			fewest, most = min(fewest, count), max(most, count)
		}
		if len(counts) < min(endpointCounts[dest], len(all)*subsetSize) {
			fewest = 0
		}
		if most-fewest > 2 && float64(most-fewest) > 0.3*float64(len(all)*subsetSize)/float64(endpointCounts[dest]) {
			problems = append(problems,
				fmt.Sprintf("destination %d: %d to %d relays on an endpoint", dest, fewest, most))
		}
	}
	slices.Sort(problems)
	return problems
}
