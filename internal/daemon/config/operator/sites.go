package operator

import (
	"fmt"
	"time"

	"oatfold/internal/sites"
)

const (
	mostSites = 30
	mostTiers = 8
	mostRamp  = 3600 // s
	mostRate  = 1e7  // messages a second
)

// sites checks what the file says of sites.
func (k *checker) sites(all *Sites) (*sites.Plan, error) {
	if all == nil {
		return nil, nil
	}
	k.at = "sites"
	p := &sites.Plan{Ramp: time.Duration(all.RampS) * time.Second}
	switch {
	case all.RampS > mostRamp:
		return nil, k.wrong("ramp_s", "%d is over %d", all.RampS, mostRamp)
	case all.RampS == 0:
		p.Ramp = sites.DefaultRamp
	}
	if len(all.Site) < 2 {
		return nil, k.wrong("site", "a plan needs two sites at least")
	}
	if len(all.Site) > mostSites {
		return nil, k.wrong("site", "more than %d", mostSites)
	}
	zones := map[string]bool{}
	for i, s := range all.Site {
		k.at = fmt.Sprintf("sites.site[%d]", i)
		if s.Zone == "" {
			return nil, k.wrong("zone", "missing")
		}
		if zones[s.Zone] {
			return nil, k.wrong("zone", "%q is there already", s.Zone)
		}
		zones[s.Zone] = true
	}
	for i, s := range all.Site {
		site, named := sites.Site{Zone: s.Zone}, map[string]bool{}
		if len(s.Tier) > mostTiers {
			k.at = fmt.Sprintf("sites.site[%d]", i)
			return nil, k.wrong("tier", "more than %d", mostTiers)
		}
		for j, t := range s.Tier {
			k.at = fmt.Sprintf("sites.site[%d].tier[%d]", i, j)
			tier := sites.Tier{SpillFraction: t.Spill}
			switch {
			case !(t.Spill >= 0 && t.Spill <= 1):
				return nil, k.wrong("spill", "%v does not lie over 0 and up to 1", t.Spill)
			case t.Spill == 0:
				tier.SpillFraction = sites.DefaultSpillFraction
			}
			if len(t.Zone) == 0 {
				return nil, k.wrong("zone", "a tier names one zone at least")
			}
			for _, z := range t.Zone {
				switch {
				case z == s.Zone:
					return nil, k.wrong("zone", "%q names itself", z)
				case !zones[z]:
					return nil, k.wrong("zone", "%q is no site", z)
				case named[z]:
					return nil, k.wrong("zone", "%q is in a tier of this site already", z)
				}
				named[z] = true
				tier.Zones = append(tier.Zones, z)
			}
			site.Tiers = append(site.Tiers, tier)
		}
		p.Sites = append(p.Sites, site)
	}
	k.at = "sites"
	classes := map[string]bool{}
	for i, c := range all.RefuseFirst {
		if classes[c] || c == "" {
			return nil, k.wrong(fmt.Sprintf("refuse_first[%d]", i), "%q is named twice, or empty", c)
		}
		classes[c] = true
	}
	p.RefuseFirst = all.RefuseFirst
	numbers := map[int32]bool{}
	for i, d := range all.Destination {
		k.at = fmt.Sprintf("sites.destination[%d]", i)
		if numbers[d.Number] {
			return nil, k.wrong("number", "%d is there already", d.Number)
		}
		numbers[d.Number] = true
		one := sites.Destination{Number: int(d.Number), Capacity: map[string]float64{}, Demand: map[string]map[string]float64{}}
		for j, t := range d.Takes {
			k.at = fmt.Sprintf("sites.destination[%d].takes[%d]", i, j)
			if _, twice := one.Capacity[t.Zone]; twice || !zones[t.Zone] {
				return nil, k.wrong("zone", "%q is no site, or named twice", t.Zone)
			}
			if !(t.Rate > 0 && t.Rate <= mostRate) {
				return nil, k.wrong("rate", "%v does not lie over 0 and up to %.0f", t.Rate, mostRate)
			}
			one.Capacity[t.Zone] = t.Rate
		}
		for j, w := range d.Wanted {
			k.at = fmt.Sprintf("sites.destination[%d].wanted[%d]", i, j)
			if !zones[w.Zone] {
				return nil, k.wrong("zone", "%q is no site", w.Zone)
			}
			if _, twice := one.Demand[w.Zone][w.Class]; twice || w.Class == "" {
				return nil, k.wrong("class", "%q is named twice for %s, or empty", w.Class, w.Zone)
			}
			if !(w.Rate >= 0 && w.Rate <= mostRate) {
				return nil, k.wrong("rate", "%v does not lie within 0 and %.0f", w.Rate, mostRate)
			}
			if one.Demand[w.Zone] == nil {
				one.Demand[w.Zone] = map[string]float64{}
			}
			one.Demand[w.Zone][w.Class] = w.Rate
		}
		p.Destinations = append(p.Destinations, one)
	}
	return p, nil
}
