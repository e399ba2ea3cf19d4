package command

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/choice"
)

// subsetMetrics describes how balanced and stable an assignment of endpoints to relays is.
type subsetMetrics struct {
	Method    string  `json:"way,omitempty"`
	Relays    int     `json:"relays"`
	Endpoints int     `json:"endpoints"`
	Subset    int     `json:"subset"`
	Zones     int     `json:"zones"`
	Dead      int     `json:"dead"`
	Seed      uint64  `json:"seed"`
	Max       int     `json:"max_per_endpoint"`
	Min       int     `json:"min_per_endpoint"`
	Mean      float64 `json:"mean_per_endpoint"`
	Spread    float64 `json:"spread"` // largest distance of Max or Min from Mean, relative to Mean
	// New pairs of a relay and an endpoint that were both present before and after a change:
	// maximum and mean over all trials.
	MovedOnJoin              int     `json:"moved_on_join"`
	MovedOnLeave             int     `json:"moved_on_leave"`
	MovedOnEndpointLeave     int     `json:"moved_on_endpoint_leave"`
	MeanMovedOnJoin          float64 `json:"moved_on_join_mean"`
	MeanMovedOnLeave         float64 `json:"moved_on_leave_mean"`
	MeanMovedOnEndpointLeave float64 `json:"moved_on_endpoint_leave_mean"`
	// RemovedPairs is the number of pairs that must move when an endpoint leaves.
	RemovedPairs       int `json:"pairs_of_the_endpoint_that_left"`
	SubsetsMissingZone int `json:"subsets_without_a_zone"`
}

// subsetProblem is a fleet of relays and the endpoints of a destination.
type subsetProblem struct {
	method    subsetMethod
	live      []bool
	endpoints []choice.Endpoint
	size      int
	seed      uint64
}

// assign returns the endpoints of each relay.
func (p *subsetProblem) assign() []map[string]bool {
	return p.method.assign(p)
}

// productionSubsets is the method that relays use.
func productionSubsets(p *subsetProblem) []map[string]bool {
	positions, ring := choice.AssignPlaces(p.live, p.seed), choice.NewRing(p.endpoints, p.seed)
	assigned := make([]map[string]bool, len(p.live))
	for n, alive := range p.live {
		if !alive {
			continue
		}
		assigned[n] = map[string]bool{}
		for _, e := range ring.Subset(positions.Of(n), p.size) {
			assigned[n][e.Address] = true
		}
	}
	return assigned
}

// countNewPairs counts the pairs in after that are not in before, of relays that are alive in both.
func countNewPairs(before, after []map[string]bool) (n int) {
	for i := range min(len(before), len(after)) {
		if before[i] == nil {
			continue
		}
		for e := range after[i] {
			if !before[i][e] {
				n++
			}
		}
	}
	return n
}

// changeTrials is the number of simulated joins, leaves and endpoint removals.
const changeTrials = 8

// measureSubsets assigns the endpoints with a method and repeats it after small changes of the fleet
// and of the endpoints.
func measureSubsets(method subsetMethod, relays, endpoints, size, zones, dead int, seed uint64) subsetMetrics {
	f := subsetMetrics{Method: method.name, Relays: relays, Endpoints: endpoints, Subset: size, Zones: zones,
		Dead: dead, Seed: seed}
	p := subsetProblem{method: method, live: make([]bool, relays+dead), size: size, seed: seed}
	rng := rand.New(rand.NewPCG(seed, 25))
	for i := range p.live {
		p.live[i] = true
	}
	down := rng.Perm(relays + dead)
	for _, n := range down[:dead] {
		p.live[n] = false
	}
	for i := range endpoints {
		p.endpoints = append(p.endpoints, choice.Endpoint{
			Address: fmt.Sprintf("10.%d.%d.%d:443", i>>16, i>>8&255, i&255),
			Zone:    fmt.Sprintf("zone-%d", 1+i%zones),
		})
	}
	base, relaysPerEndpoint := p.assign(), map[string]int{}
	for _, subset := range base {
		zonesCovered := map[string]bool{}
		for e := range subset {
			relaysPerEndpoint[e]++
		}
		if subset == nil || zones < 2 || size < zones {
			continue
		}
		for _, e := range p.endpoints {
			if subset[e.Address] {
				zonesCovered[e.Zone] = true
			}
		}
		if len(zonesCovered) < zones {
			f.SubsetsMissingZone++
		}
	}
	f.Min = relays
	sum := 0
	for _, e := range p.endpoints {
		f.Max, f.Min, sum = max(f.Max, relaysPerEndpoint[e.Address]), min(f.Min, relaysPerEndpoint[e.Address]),
			sum+relaysPerEndpoint[e.Address]
	}
	f.Mean = float64(sum) / float64(endpoints)
	f.Spread = max(float64(f.Max)-f.Mean, f.Mean-float64(f.Min)) / f.Mean
	var joins, leaves, endpointLeaves []int
	for i := range changeTrials {
		// One relay joins: a new number, or one that was dead.
		liveBefore := p.live
		if i%2 == 0 || dead == 0 {
			p.live = append(append([]bool{}, liveBefore...), true)
		} else {
			p.live = append([]bool{}, liveBefore...)
			p.live[down[i%dead]] = true
		}
		joins = append(joins, countNewPairs(base, p.assign()))
		p.live = append([]bool{}, liveBefore...)
		p.live[down[dead+i%relays]] = false
		leaves = append(leaves, countNewPairs(base, p.assign()))
		p.live = liveBefore
		endpointsBefore := p.endpoints
		removed := rng.IntN(endpoints)
		p.endpoints = append(append([]choice.Endpoint{}, endpointsBefore[:removed]...), endpointsBefore[removed+1:]...)
		endpointLeaves = append(endpointLeaves, countNewPairs(base, p.assign()))
		f.RemovedPairs = max(f.RemovedPairs, relaysPerEndpoint[endpointsBefore[removed].Address])
		p.endpoints = endpointsBefore
	}
	f.MovedOnJoin, f.MeanMovedOnJoin = maxAndMean(joins)
	f.MovedOnLeave, f.MeanMovedOnLeave = maxAndMean(leaves)
	f.MovedOnEndpointLeave, f.MeanMovedOnEndpointLeave = maxAndMean(endpointLeaves)
	return f
}

// maxAndMean returns the maximum and the mean of a list.
func maxAndMean(all []int) (top int, mean float64) {
	for _, n := range all {
		top, mean = max(top, n), mean+float64(n)/float64(len(all))
	}
	return top, mean
}

// subsetsCommand measures how evenly relays share the endpoints of a partner.
func subsetsCommand() *cobra.Command {
	var relays, endpoints, size, zones, dead int
	var seed uint64
	var printJSON, others bool
	cmd := &cobra.Command{Use: "subsets",
		Short: "Measure how evenly relays share a partner's endpoints, and what a change moves", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, c := range []struct {
				name          string
				n, least, top int
			}{{"relays", relays, 2, 4000}, {"endpoints", endpoints, 2, 20000},
				{"subset", size, 1, choice.MaxSubsetSize}, {"zones", zones, 1, 30}, {"dead", dead, 0, 4000}} {
				if c.n < c.least || c.n > c.top {
					return fmt.Errorf("%s: %d is not within %d and %d", c.name, c.n, c.least, c.top)
				}
			}
			methods := []subsetMethod{{"in service", productionSubsets}}
			if others {
				methods = append(methods, alternativeMethods...)
			}
			metrics := make([]subsetMetrics, len(methods))
			runParallel(len(methods), func(i int) {
				metrics[i] = measureSubsets(methods[i], relays, endpoints, size, zones, dead, seed)
			})
			out := cmd.OutOrStdout()
			if printJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				if !others {
					return e.Encode(metrics[0])
				}
				return e.Encode(metrics)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "way\trelays\tendpoints\tsubset\tleast\tmean\tmost\tspread\tjoin moves\tleave moves\tendpoint leave moves\tof them have to\t")
			for _, f := range metrics {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%.3f\t%d\t%d\t%d\t%d\t\n", f.Method, f.Relays,
					f.Endpoints, f.Subset, f.Min, f.Mean, f.Max, f.Spread, f.MovedOnJoin, f.MovedOnLeave,
					f.MovedOnEndpointLeave, f.RemovedPairs)
			}
			w.Flush()
			fmt.Fprintln(out, "least, mean and most: relays with connections to an endpoint; moves: new pairs of relays and endpoints that are present before and after the change")
			return nil
		}}
	cmd.Flags().IntVar(&relays, "relays", 300, "live relays")
	cmd.Flags().IntVar(&endpoints, "endpoints", 100, "endpoints of the partner")
	cmd.Flags().IntVar(&size, "subset", choice.DefaultSubsetSize, "endpoints that a relay keeps connections to")
	cmd.Flags().IntVar(&zones, "zones", 1, "zones that the endpoints are spread over evenly")
	cmd.Flags().IntVar(&dead, "dead", 0, "additional relays that are dead")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().BoolVar(&others, "others", false, "also measure alternatives to the method in service")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print the results as JSON")
	return cmd
}
