package operator

import (
	"fmt"
	"time"

	"oatfold/internal/sites"
)

// Bounds of a site plan.
const (
	maxSites       = 30
	maxTiers       = 8
	maxRampSeconds = 3600
	maxRate        = 1e7 // messages per second
)

// sitePlan checks the sites of the file and returns the plan with defaults; nil if the file has
// none.
func (c *checker) sitePlan(file *Sites) (*sites.Plan, error) {
	if file == nil {
		return nil, nil
	}
	c.path = "sites"
	plan := &sites.Plan{Ramp: time.Duration(file.RampS) * time.Second}
	switch {
	case file.RampS > maxRampSeconds:
		return nil, c.errorAt("ramp_s", "%d is more than %d", file.RampS, maxRampSeconds)
	case file.RampS == 0:
		plan.Ramp = sites.DefaultRamp
	}
	if len(file.Site) < 2 {
		return nil, c.errorAt("site", "a plan needs at least two sites")
	}
	if len(file.Site) > maxSites {
		return nil, c.errorAt("site", "more than %d", maxSites)
	}
	zones := map[string]bool{}
	for i, s := range file.Site {
		c.path = fmt.Sprintf("sites.site[%d]", i)
		if s.Zone == "" {
			return nil, c.errorAt("zone", "missing")
		}
		if zones[s.Zone] {
			return nil, c.errorAt("zone", "%q is used already", s.Zone)
		}
		zones[s.Zone] = true
	}
	for i, s := range file.Site {
		site, named := sites.Site{Zone: s.Zone}, map[string]bool{}
		if len(s.Tier) > maxTiers {
			c.path = fmt.Sprintf("sites.site[%d]", i)
			return nil, c.errorAt("tier", "more than %d", maxTiers)
		}
		for j, t := range s.Tier {
			c.path = fmt.Sprintf("sites.site[%d].tier[%d]", i, j)
			tier := sites.Tier{SpillFraction: t.Spill}
			switch {
			case !(t.Spill >= 0 && t.Spill <= 1):
				return nil, c.errorAt("spill", "%v is not above 0 and at most 1", t.Spill)
			case t.Spill == 0:
				tier.SpillFraction = sites.DefaultSpillFraction
			}
			if len(t.Zone) == 0 {
				return nil, c.errorAt("zone", "a tier needs at least one zone")
			}
			for _, z := range t.Zone {
				switch {
				case z == s.Zone:
					return nil, c.errorAt("zone", "%q refers to itself", z)
				case !zones[z]:
					return nil, c.errorAt("zone", "%q is not a site", z)
				case named[z]:
					return nil, c.errorAt("zone", "%q is already in a tier of this site", z)
				}
				named[z] = true
				tier.Zones = append(tier.Zones, z)
			}
			site.Tiers = append(site.Tiers, tier)
		}
		plan.Sites = append(plan.Sites, site)
	}
	c.path = "sites"
	classes := map[string]bool{}
	for i, class := range file.RefuseFirst {
		if classes[class] || class == "" {
			return nil, c.errorAt(fmt.Sprintf("refuse_first[%d]", i), "%q is empty or a duplicate", class)
		}
		classes[class] = true
	}
	plan.RefuseFirst = file.RefuseFirst
	numbers := map[int32]bool{}
	for i, d := range file.Destination {
		c.path = fmt.Sprintf("sites.destination[%d]", i)
		if numbers[d.Number] {
			return nil, c.errorAt("number", "%d is used already", d.Number)
		}
		numbers[d.Number] = true
		dest := sites.Destination{Number: int(d.Number), Capacity: map[string]float64{},
			Demand: map[string]map[string]float64{}}
		for j, t := range d.Takes {
			c.path = fmt.Sprintf("sites.destination[%d].takes[%d]", i, j)
			if _, twice := dest.Capacity[t.Zone]; twice || !zones[t.Zone] {
				return nil, c.errorAt("zone", "%q is not a site, or a duplicate", t.Zone)
			}
			if !(t.Rate > 0 && t.Rate <= maxRate) {
				return nil, c.errorAt("rate", "%v is not above 0 and at most %.0f", t.Rate, maxRate)
			}
			dest.Capacity[t.Zone] = t.Rate
		}
		for j, w := range d.Wanted {
			c.path = fmt.Sprintf("sites.destination[%d].wanted[%d]", i, j)
			if !zones[w.Zone] {
				return nil, c.errorAt("zone", "%q is not a site", w.Zone)
			}
			if _, twice := dest.Demand[w.Zone][w.Class]; twice || w.Class == "" {
				return nil, c.errorAt("class", "%q is empty or a duplicate for %s", w.Class, w.Zone)
			}
			if !(w.Rate >= 0 && w.Rate <= maxRate) {
				return nil, c.errorAt("rate", "%v is not within 0 and %.0f", w.Rate, maxRate)
			}
			if dest.Demand[w.Zone] == nil {
				dest.Demand[w.Zone] = map[string]float64{}
			}
			dest.Demand[w.Zone][w.Class] = w.Rate
		}
		plan.Destinations = append(plan.Destinations, dest)
	}
	return plan, nil
}
