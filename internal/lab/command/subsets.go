package command

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/choice"
)

// subsetFigures are what a plan for a fleet is weighed by.
type subsetFigures struct {
	Way       string  `json:"way,omitempty"`
	Relays    int     `json:"relays"`
	Endpoints int     `json:"endpoints"`
	Subset    int     `json:"subset"`
	Zones     int     `json:"zones"`
	Dead      int     `json:"dead"`
	Seed      uint64  `json:"seed"`
	Max       int     `json:"max_per_endpoint"`
	Min       int     `json:"min_per_endpoint"`
	Mean      float64 `json:"mean_per_endpoint"`
	Spread    float64 `json:"spread"` // the farther of the two from the mean, as a part of it
	// Pairs of a relay and an endpoint, both unchanged, that are new; the most of all draws, and the mean.
	Join          int     `json:"moved_on_join"`
	Leave         int     `json:"moved_on_leave"`
	EndpointLeave int     `json:"moved_on_endpoint_leave"`
	JoinMean      float64 `json:"moved_on_join_mean"`
	LeaveMean     float64 `json:"moved_on_leave_mean"`
	EndpointMean  float64 `json:"moved_on_endpoint_leave_mean"`
	Lost          int     `json:"pairs_of_the_endpoint_that_left"` // the least that has to move then
	ZonesMissed   int     `json:"subsets_without_a_zone"`
}

// subsetPlan is a fleet and a destination.
type subsetPlan struct {
	way  subsetWay
	live []bool
	eps  []choice.Endpoint
	k    int
	seed uint64
}

// pairs are the endpoints that each relay keeps.
func (p *subsetPlan) pairs() []map[string]bool {
	return p.way.pairs(p)
}

// inService is the way that relays have.
func inService(p *subsetPlan) []map[string]bool {
	places, ring := choice.AssignPlaces(p.live, p.seed), choice.NewRing(p.eps, p.seed)
	all := make([]map[string]bool, len(p.live))
	for n, l := range p.live {
		if !l {
			continue
		}
		all[n] = map[string]bool{}
		for _, e := range ring.Subset(places.Of(n), p.k) {
			all[n][e.Address] = true
		}
	}
	return all
}

// moved counts the pairs of relays that live in both which the second has and the first has not.
func moved(a, b []map[string]bool) (n int) {
	for i := range min(len(a), len(b)) {
		if a[i] == nil {
			continue
		}
		for e := range b[i] {
			if !a[i][e] {
				n++
			}
		}
	}
	return n
}

// draws is how many relays, or endpoints, are let join and leave.
const draws = 8

func weighSubsets(way subsetWay, relays, endpoints, k, zones, dead int, seed uint64) subsetFigures {
	f := subsetFigures{Way: way.name, Relays: relays, Endpoints: endpoints, Subset: k, Zones: zones, Dead: dead, Seed: seed}
	p := subsetPlan{way: way, live: make([]bool, relays+dead), k: k, seed: seed}
	rng := rand.New(rand.NewPCG(seed, 25))
	for i := range p.live {
		p.live[i] = true
	}
	down := rng.Perm(relays + dead)
	for _, n := range down[:dead] {
		p.live[n] = false
	}
	for i := range endpoints {
		p.eps = append(p.eps, choice.Endpoint{Address: fmt.Sprintf("10.%d.%d.%d:443", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%d", 1+i%zones)})
	}
	base, per := p.pairs(), map[string]int{}
	for _, of := range base {
		missed := map[string]bool{}
		for e := range of {
			per[e]++
		}
		if of == nil || zones < 2 || k < zones {
			continue
		}
		for _, e := range p.eps {
			if of[e.Address] {
				missed[e.Zone] = true
			}
		}
		if len(missed) < zones {
			f.ZonesMissed++
		}
	}
	f.Min = relays
	sum := 0
	for _, e := range p.eps {
		f.Max, f.Min, sum = max(f.Max, per[e.Address]), min(f.Min, per[e.Address]), sum+per[e.Address]
	}
	f.Mean = float64(sum) / float64(endpoints)
	f.Spread = max(float64(f.Max)-f.Mean, f.Mean-float64(f.Min)) / f.Mean
	var joins, leaves, gone []int
	for i := range draws {
		// One joins: a number beyond the fleet, or one that was down.
		was := p.live
		if i%2 == 0 || dead == 0 {
			p.live = append(append([]bool{}, was...), true)
		} else {
			p.live = append([]bool{}, was...)
			p.live[down[i%dead]] = true
		}
		joins = append(joins, moved(base, p.pairs()))
		p.live = append([]bool{}, was...)
		p.live[down[dead+i%relays]] = false
		leaves = append(leaves, moved(base, p.pairs()))
		p.live = was
		eps := p.eps
		out := rng.IntN(endpoints)
		p.eps = append(append([]choice.Endpoint{}, eps[:out]...), eps[out+1:]...)
		gone = append(gone, moved(base, p.pairs()))
		f.Lost = max(f.Lost, per[eps[out].Address])
		p.eps = eps
	}
	f.Join, f.JoinMean = most(joins)
	f.Leave, f.LeaveMean = most(leaves)
	f.EndpointLeave, f.EndpointMean = most(gone)
	return f
}

func most(all []int) (top int, mean float64) {
	for _, n := range all {
		top, mean = max(top, n), mean+float64(n)/float64(len(all))
	}
	return top, mean
}

// subsetsCommand plans how many relays keep connections to an endpoint.
func subsetsCommand() *cobra.Command {
	var relays, endpoints, k, zones, dead int
	var seed uint64
	var raw, others bool
	cmd := &cobra.Command{Use: "subsets", Short: "How evenly relays share a partner's endpoints, and what a change moves", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, c := range []struct {
				name          string
				n, least, top int
			}{{"relays", relays, 2, 4000}, {"endpoints", endpoints, 2, 20000}, {"subset", k, 1, choice.MaxSubsetSize}, {"zones", zones, 1, 30}, {"dead", dead, 0, 4000}} {
				if c.n < c.least || c.n > c.top {
					return fmt.Errorf("%s: %d does not lie within %d and %d", c.name, c.n, c.least, c.top)
				}
			}
			ways := []subsetWay{{"in service", inService}}
			if others {
				ways = append(ways, subsetWays...)
			}
			all := make([]subsetFigures, len(ways))
			each(len(ways), func(i int) { all[i] = weighSubsets(ways[i], relays, endpoints, k, zones, dead, seed) })
			out := cmd.OutOrStdout()
			if raw {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				if !others {
					return e.Encode(all[0])
				}
				return e.Encode(all)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "way\trelays\tendpoints\tsubset\tleast\tmean\tmost\tspread\tjoin moves\tleave moves\tendpoint leave moves\tof them have to\t")
			for _, f := range all {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%.3f\t%d\t%d\t%d\t%d\t\n", f.Way, f.Relays, f.Endpoints, f.Subset, f.Min, f.Mean, f.Max, f.Spread, f.Join, f.Leave, f.EndpointLeave, f.Lost)
			}
			w.Flush()
			fmt.Fprintln(out, "least, mean and most: relays that keep connections to an endpoint; moves: new pairs of relays and endpoints that did not change themselves")
			return nil
		}}
	cmd.Flags().IntVar(&relays, "relays", 300, "relays that live")
	cmd.Flags().IntVar(&endpoints, "endpoints", 100, "endpoints of a partner")
	cmd.Flags().IntVar(&k, "subset", choice.DefaultSubsetSize, "endpoints that a relay keeps connections to")
	cmd.Flags().IntVar(&zones, "zones", 1, "zones that the endpoints lie in, evenly")
	cmd.Flags().IntVar(&dead, "dead", 0, "further relays that are down")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().BoolVar(&others, "others", false, "weigh other ways beside the one in service")
	cmd.Flags().BoolVar(&raw, "json", false, "print all figures as JSON")
	return cmd
}
