package sites

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(a)) }

var refuseOrder = []string{"alert", "order", "charge"}

// drawPlan draws a plan of up to four sites.
func drawPlan(t *rapid.T) *Plan {
	p := &Plan{RefuseFirst: refuseOrder}
	n := rapid.IntRange(2, 4).Draw(t, "sites")
	zone := func(i int) string { return fmt.Sprint("z", i) }
	for i := range n {
		s := Site{Zone: zone(i)}
		others := rapid.Permutation(slices.DeleteFunc([]string{"z0", "z1", "z2", "z3"}[:n], func(z string) bool {
			return z == s.Zone
		})).Draw(t, "tiers")
		cut := rapid.IntRange(0, len(others)).Draw(t, "cut")
		for _, zones := range [][]string{others[:cut], others[cut:]} {
			if len(zones) > 0 && rapid.IntRange(0, 4).Draw(t, "tier") > 0 {
				s.Tiers = append(s.Tiers, Tier{zones, rapid.Float64Range(0.1, 1).Draw(t, "spill")})
			}
		}
		p.Sites = append(p.Sites, s)
	}
	for d := range rapid.IntRange(1, 3).Draw(t, "destinations") {
		destination := Destination{Number: d, Capacity: map[string]float64{}, Demand: map[string]map[string]float64{}}
		for i := range n {
			if rapid.Bool().Draw(t, "there") {
				destination.Capacity[zone(i)] = rapid.Float64Range(1, 100).Draw(t, "takes")
			}
			destination.Demand[zone(i)] = map[string]float64{}
			for _, c := range refuseOrder {
				destination.Demand[zone(i)][c] = rapid.Float64Range(0, 60).Draw(t, "wanted")
			}
		}
		p.Destinations = append(p.Destinations, destination)
	}
	return p
}

// For any plan and loss: all demand is served or refused; no zone exceeds its capacity, or its
// spill fraction with other zones' load; nothing goes to the lost zone; load goes to the site's
// tiers only; and no class is refused for a zone's clients at a destination while one that is
// refused before it is spilled from there.
func TestForecastInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		lost := p.Sites[rapid.IntRange(0, len(p.Sites)-1).Draw(t, "lost")].Zone
		f, err := p.ForecastLoss(lost)
		if err != nil {
			t.Fatal(err)
		}
		wanted := 0.0
		for _, d := range p.Destinations {
			for _, by := range d.Demand {
				for _, n := range by {
					wanted += n
				}
			}
		}
		for _, shares := range [][]ClassShare{f.Before, f.After} {
			sum := 0.0
			for i, s := range shares {
				if sum += s.Served + s.Refused; s.Class != refuseOrder[i] || s.Refused < 0 {
					t.Fatalf("%+v", shares)
				}
			}
			if !approxEqual(sum, wanted) {
				t.Fatalf("%.3f demanded, %.3f served or refused", wanted, sum)
			}
		}
		for _, d := range p.Destinations {
			spilled, own := map[string]float64{}, map[string]float64{}
			for _, flow := range f.Flows {
				if flow.Destination != d.Number {
					continue
				}
				site := p.Sites[slices.IndexFunc(p.Sites, func(s Site) bool { return s.Zone == flow.From })]
				if flow.To == lost || flow.Tier < 1 || !slices.Contains(site.Tiers[flow.Tier-1].Zones, flow.To) {
					t.Fatalf("%+v", flow)
				}
				spilled[flow.To] += flow.Rate
			}
			for z, by := range d.Demand {
				for _, n := range by {
					own[z] += n
				}
			}
			for z, n := range spilled {
				maxFraction := 0.0
				for _, s := range p.Sites {
					for _, tier := range s.Tiers {
						if slices.Contains(tier.Zones, z) {
							maxFraction = max(maxFraction, tier.SpillFraction)
						}
					}
				}
				if n > maxFraction*max(0, d.Capacity[z]-own[z])+1e-6 {
					t.Fatalf("%.3f spilled to %s, which has %.3f of %.3f left, of which %.2f may be used",
						n, z, d.Capacity[z]-own[z], d.Capacity[z], maxFraction)
				}
			}
			for _, r := range f.Refused {
				for _, flow := range f.Flows {
					if r.Destination == d.Number && flow.Destination == d.Number && r.From == flow.From &&
						slices.Index(refuseOrder, flow.Class) < slices.Index(refuseOrder, r.Class) {
						t.Fatalf("%+v refused while %+v spilled", r, flow)
					}
				}
			}
		}
		// The order of sites in the plan does not matter.
		slices.Reverse(p.Sites)
		reversed, _ := p.ForecastLoss(lost)
		for i, s := range f.After {
			if !approxEqual(s.Served, reversed.After[i].Served) {
				t.Fatalf("%+v, and %+v with the sites in another order", f.After, reversed.After)
			}
		}
		for _, z := range f.Zones {
			if z.Zone != lost && z.After > z.Capacity+1e-6 {
				t.Fatalf("%+v exceeds its capacity", z)
			}
		}
	})
}

// An example with load in the first and second tier, refused load, and a destination without
// remaining endpoints.
func TestForecastLossExample(t *testing.T) {
	p := &Plan{
		RefuseFirst: refuseOrder,
		Ramp:        DefaultRamp,
		Sites:       []Site{{"a", []Tier{{[]string{"b"}, 0.5}, {[]string{"c"}, 1}}}, {"b", nil}, {"c", nil}},
		Destinations: []Destination{
			{
				1, map[string]float64{"a": 50, "b": 40, "c": 10},
				map[string]map[string]float64{
					"a": {"charge": 5, "order": 10, "alert": 20},
					"b": {"alert": 20},
				},
			},
			{2, map[string]float64{"a": 5}, map[string]map[string]float64{"c": {"order": 3}, "a": {"order": 1}}},
		},
	}
	f, err := p.ForecastLoss("a")
	if err != nil {
		t.Fatal(err)
	}
	// b may use 10 of its headroom of 20, c all of its 10: 20 for a's demand of 35.
	want := []Flow{
		{1, "a", "b", 1, "charge", 5},
		{1, "a", "b", 1, "order", 5},
		{1, "a", "c", 2, "order", 5},
		{1, "a", "c", 2, "alert", 5},
	}
	if !reflect.DeepEqual(f.Flows, want) || !slices.Equal(f.Unserved, []int{2}) || f.MinReturnSeconds != 30 {
		t.Errorf("%+v, unserved %v", f.Flows, f.Unserved)
	}
	if a := f.After; a[0].Served != 25 || a[0].Refused != 15 || a[1].Refused != 4 ||
		a[2].ServedFraction() != 1 || f.Before[1].Refused != 3 {
		t.Errorf("before %+v, after %+v", f.Before, a)
	}
	if _, err := p.ForecastLoss("d"); err == nil {
		t.Error("an unknown zone is lost")
	}
	if f, err := (&Plan{Sites: p.Sites}).ForecastLoss("b"); err != nil || len(f.Notes) != 1 {
		t.Errorf("without destinations: %v %+v", err, f)
	}
	// Sites that are full already take nothing, and a note says so.
	p.Destinations[0].Demand["b"]["alert"] = 39
	if f, _ := p.ForecastLoss("a"); f.Zones[1].After != 39.5 || len(f.Notes) != 2 {
		t.Errorf("%+v %v", f.Zones, f.Notes)
	}
}
