package sites

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(a)) }

var order = []string{"alert", "order", "charge"}

// drawPlan draws a plan of up to four sites.
func drawPlan(t *rapid.T) *Plan {
	p := &Plan{RefuseFirst: order}
	n := rapid.IntRange(2, 4).Draw(t, "sites")
	zone := func(i int) string { return fmt.Sprint("z", i) }
	for i := range n {
		s := Site{Zone: zone(i)}
		others := rapid.Permutation(slices.DeleteFunc([]string{"z0", "z1", "z2", "z3"}[:n], func(z string) bool { return z == s.Zone })).Draw(t, "tiers")
		cut := rapid.IntRange(0, len(others)).Draw(t, "cut")
		for _, zones := range [][]string{others[:cut], others[cut:]} {
			if len(zones) > 0 && rapid.IntRange(0, 4).Draw(t, "tier") > 0 {
				s.Tiers = append(s.Tiers, Tier{zones, rapid.Float64Range(0.1, 1).Draw(t, "spill")})
			}
		}
		p.Sites = append(p.Sites, s)
	}
	for d := range rapid.IntRange(1, 3).Draw(t, "destinations") {
		one := Destination{Number: d, Capacity: map[string]float64{}, Demand: map[string]map[string]float64{}}
		for i := range n {
			if rapid.Bool().Draw(t, "there") {
				one.Capacity[zone(i)] = rapid.Float64Range(1, 100).Draw(t, "takes")
			}
			one.Demand[zone(i)] = map[string]float64{}
			for _, c := range order {
				one.Demand[zone(i)][c] = rapid.Float64Range(0, 60).Draw(t, "wanted")
			}
		}
		p.Destinations = append(p.Destinations, one)
	}
	return p
}

// Whatever is planned and lost: all that is wanted is served or refused; no zone serves more than it takes, and of others' load no more than its part of the
// headroom; nothing goes to the lost one; load goes to tiers that the site names; and no class is refused for clients of a zone at a destination while one that
// is refused before it spilled from there.
func TestAnyPlan(t *testing.T) {
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
				if sum += s.Served + s.Refused; s.Class != order[i] || s.Refused < 0 {
					t.Fatalf("%+v", shares)
				}
			}
			if !near(sum, wanted) {
				t.Fatalf("%.3f wanted, %.3f served or refused", wanted, sum)
			}
		}
		for _, d := range p.Destinations {
			spilt, own := map[string]float64{}, map[string]float64{}
			for _, fl := range f.Flows {
				if fl.Destination != d.Number {
					continue
				}
				site := p.Sites[slices.IndexFunc(p.Sites, func(s Site) bool { return s.Zone == fl.From })]
				if fl.To == lost || fl.Tier < 1 || !slices.Contains(site.Tiers[fl.Tier-1].Zones, fl.To) {
					t.Fatalf("%+v", fl)
				}
				spilt[fl.To] += fl.Rate
			}
			for z, by := range d.Demand {
				for _, n := range by {
					own[z] += n
				}
			}
			for z, n := range spilt {
				most := 0.0
				for _, s := range p.Sites {
					for _, tier := range s.Tiers {
						if slices.Contains(tier.Zones, z) {
							most = max(most, tier.SpillFraction)
						}
					}
				}
				if n > most*max(0, d.Capacity[z]-own[z])+1e-6 {
					t.Fatalf("%.3f spilt to %s, which has %.3f of %.3f left and gives %.2f of it", n, z, d.Capacity[z]-own[z], d.Capacity[z], most)
				}
			}
			for _, r := range f.Refused {
				for _, fl := range f.Flows {
					if r.Destination == d.Number && fl.Destination == d.Number && r.From == fl.From && slices.Index(order, fl.Class) < slices.Index(order, r.Class) {
						t.Fatalf("%+v refused while %+v spilled", r, fl)
					}
				}
			}
		}
		// The order of the file does not matter.
		slices.Reverse(p.Sites)
		again, _ := p.ForecastLoss(lost)
		for i, s := range f.After {
			if !near(s.Served, again.After[i].Served) {
				t.Fatalf("%+v, and %+v with the sites in another order", f.After, again.After)
			}
		}
		for _, z := range f.Zones {
			if z.Zone != lost && z.After > z.Capacity+1e-6 {
				t.Fatalf("%+v serves more than it takes", z)
			}
		}
	})
}

// The example by hand: first tier, second tier, what is refused, and what has nowhere to go.
func TestLose(t *testing.T) {
	p := &Plan{RefuseFirst: order, Ramp: DefaultRamp, Sites: []Site{{"a", []Tier{{[]string{"b"}, 0.5}, {[]string{"c"}, 1}}}, {"b", nil}, {"c", nil}},
		Destinations: []Destination{{1, map[string]float64{"a": 50, "b": 40, "c": 10}, map[string]map[string]float64{"a": {"charge": 5, "order": 10, "alert": 20}, "b": {"alert": 20}}},
			{2, map[string]float64{"a": 5}, map[string]map[string]float64{"c": {"order": 3}, "a": {"order": 1}}}}}
	f, err := p.ForecastLoss("a")
	if err != nil {
		t.Fatal(err)
	}
	// b gives 10 of its 20 left, c all of its 10: 20 for 35 of a's clients.
	want := []Flow{{1, "a", "b", 1, "charge", 5}, {1, "a", "b", 1, "order", 5}, {1, "a", "c", 2, "order", 5}, {1, "a", "c", 2, "alert", 5}}
	if !reflect.DeepEqual(f.Flows, want) || !slices.Equal(f.Unserved, []int{2}) || f.MinReturnSeconds != 30 {
		t.Errorf("%+v, nowhere %v", f.Flows, f.Unserved)
	}
	if a := f.After; a[0].Served != 25 || a[0].Refused != 15 || a[1].Refused != 4 || a[2].ServedFraction() != 1 || f.Before[1].Refused != 3 {
		t.Errorf("before %+v, after %+v", f.Before, a)
	}
	if _, err := p.ForecastLoss("d"); err == nil {
		t.Error("a zone that there is not is lost")
	}
	if f, err := (&Plan{Sites: p.Sites}).ForecastLoss("b"); err != nil || len(f.Notes) != 1 {
		t.Errorf("no figures: %v %+v", err, f)
	}
	// Survivors that are full already take nothing, and it is said.
	p.Destinations[0].Demand["b"]["alert"] = 39
	if f, _ := p.ForecastLoss("a"); f.Zones[1].After != 39.5 || len(f.Notes) != 2 {
		t.Errorf("%+v %v", f.Zones, f.Notes)
	}
}
