// Package sites works out, before anything fails, what becomes of a fleet's load when a whole site is lost: where each destination's load goes, how
// full the others become, and which classes are refused. A site is a zone with its relays, its partners' endpoints, or both.
//
// It is free of I/O: what the operators wrote goes in, a forecast comes out. Nothing here moves a message.
package sites

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Plan is what operators have written.
type Plan struct {
	Sites        []Site
	RefuseFirst  []string      // classes, in the order in which they are refused
	Ramp         time.Duration // in which a site that is back takes its full share again
	Destinations []Destination
}

// Site is one site.
type Site struct {
	Zone  string
	Tiers []Tier // where its load goes, the first before the second
}

// Tier is a set of sites that take load in proportion to their headroom.
type Tier struct {
	Zones         []string
	SpillFraction float64 // part of their headroom that the load of others may take
}

// Destination is what a partner takes and is asked for.
type Destination struct {
	Number   int
	Capacity map[string]float64            // messages a second, by zone of its endpoints
	Demand   map[string]map[string]float64 // messages a second that clients hand in, by zone and class
}

// UsualSpill and UsualRamp are used where the file says nothing.
const (
	DefaultSpillFraction = 0.8
	DefaultRamp          = 30 * time.Second
	slack                = 1e-9
)

// ClassShare is what becomes of one class.
type ClassShare struct {
	Class   string  `json:"class"`
	Demand  float64 `json:"wanted"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
}

// ServedFraction is the served part.
func (s ClassShare) ServedFraction() float64 {
	if s.Demand <= 0 {
		return 1
	}
	return s.Served / s.Demand
}

// Flow is load that goes from one zone's clients to another zone's endpoints of a destination.
type Flow struct {
	Destination int     `json:"destination"`
	From        string  `json:"from"`
	To          string  `json:"to"`
	Tier        int     `json:"tier"` // 0: its own zone
	Class       string  `json:"class"`
	Rate        float64 `json:"rate"`
}

// ZoneLoad is how full a zone's endpoints become.
type ZoneLoad struct {
	Zone        string  `json:"zone"`
	Capacity    float64 `json:"takes"`
	Before      float64 `json:"before"` // messages a second that they serve with all sites there
	After       float64 `json:"after"`
	Utilization float64 `json:"full"` // After as a part of Takes
}

// Forecast is what a loss comes to.
type Forecast struct {
	Lost             string       `json:"lost"`
	Zones            []ZoneLoad   `json:"zones"`
	Flows            []Flow       `json:"flows"` // that are not in their own zone
	Before           []ClassShare `json:"before"`
	After            []ClassShare `json:"after"`
	Refused          []Flow       `json:"refused"`  // From: where its clients are; no To
	Unserved         []int        `json:"nowhere"`  // destinations that nothing is left of
	MinReturnSeconds float64      `json:"return_s"` // from the first call that is served there to its full share, at least
	Notes            []string     `json:"notes"`
}

// HasZone tells whether the plan has a site of that name.
func (p *Plan) HasZone(zone string) bool {
	return slices.ContainsFunc(p.Sites, func(s Site) bool { return s.Zone == zone })
}

// Zones names the sites.
func (p *Plan) Zones() (all []string) {
	for _, s := range p.Sites {
		all = append(all, s.Zone)
	}
	return all
}

// ForecastLoss works out what becomes of the load when a zone is lost with its relays and its endpoints: its clients come to the relays of others.
func (p *Plan) ForecastLoss(zone string) (*Forecast, error) {
	if !p.HasZone(zone) {
		return nil, fmt.Errorf("%q is no site of the file; there are %s", zone, strings.Join(p.Zones(), ", "))
	}
	f := &Forecast{Lost: zone, MinReturnSeconds: p.Ramp.Seconds()}
	before, after := p.route(""), p.route(zone)
	f.Before, f.After = p.shares(before), p.shares(after)
	for _, s := range p.Sites {
		fill := ZoneLoad{Zone: s.Zone, Before: before.load[s.Zone], After: after.load[s.Zone]}
		for _, d := range p.Destinations {
			if s.Zone != zone {
				fill.Capacity += d.Capacity[s.Zone]
			}
		}
		if fill.Capacity > 0 {
			fill.Utilization = fill.After / fill.Capacity
		}
		f.Zones = append(f.Zones, fill)
		if s.Zone != zone && fill.Capacity > 0 && fill.Before > 0.9*fill.Capacity {
			f.Notes = append(f.Notes, fmt.Sprintf("%s is %.0f of 100 full before anything is lost", s.Zone, 100*fill.Before/fill.Capacity))
		}
	}
	for _, fl := range after.flows {
		if fl.To == "" {
			f.Refused = append(f.Refused, fl)
		} else if fl.From != fl.To {
			f.Flows = append(f.Flows, fl)
		}
	}
	for _, d := range p.Destinations {
		left := 0.0
		for z, n := range d.Capacity {
			if z != zone {
				left += n
			}
		}
		if left <= 0 && len(d.Demand) > 0 {
			f.Unserved = append(f.Unserved, d.Number)
			f.Notes = append(f.Notes, fmt.Sprintf("destination %d has endpoints in %s only", d.Number, zone))
		}
	}
	if len(p.Destinations) == 0 {
		f.Notes = append(f.Notes, "the file names no destination: there is nothing to forecast from")
	}
	return f, nil
}

// routed is where all load goes.
type routed struct {
	flows []Flow
	load  map[string]float64
}

// classes are those of the plan, the one that is refused last first. What the order does not name is refused before all others.
func (p *Plan) classes() (all []string) {
	for _, d := range p.Destinations {
		for _, by := range d.Demand {
			for c := range by {
				if !slices.Contains(all, c) {
					all = append(all, c)
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(slices.Index(p.RefuseFirst, b)-slices.Index(p.RefuseFirst, a), cmp.Compare(a, b))
	})
	return all
}

// route sends what each zone's clients hand in to endpoints, while one zone is lost. A class that is refused last is placed first, so that nothing of it is
// refused while one that is refused before it has room. Its own zone's endpoints come first, then the tiers; what spills takes its part of the headroom
// that zones have beyond all that their own clients want, and is dealt out in proportion to it.
func (p *Plan) route(lost string) routed {
	r := routed{load: map[string]float64{}}
	order := p.classes()
	for _, d := range p.Destinations {
		room := map[string]float64{}  // of endpoints, for anybody
		spare := map[string]float64{} // for the load of others: headroom beyond the zone's own
		for _, s := range p.Sites {
			if s.Zone == lost {
				continue
			}
			room[s.Zone] = d.Capacity[s.Zone]
			own := 0.0
			for _, n := range d.Demand[s.Zone] {
				own += n
			}
			spare[s.Zone] = max(0, d.Capacity[s.Zone]-own)
		}
		send := func(from, to string, tier int, class string, n float64) {
			r.load[to] += n
			room[to] -= n
			same := func(f Flow) bool {
				return f.Destination == d.Number && f.From == from && f.To == to && f.Tier == tier && f.Class == class
			}
			if i := slices.IndexFunc(r.flows, same); i >= 0 {
				r.flows[i].Rate += n
				return
			}
			r.flows = append(r.flows, Flow{d.Number, from, to, tier, class, n})
		}
		// Own zones first, for all classes: no zone's clients give way to another's.
		left := map[string]map[string]float64{}
		for _, s := range p.Sites {
			left[s.Zone] = map[string]float64{}
			for _, c := range order {
				n := d.Demand[s.Zone][c]
				if here := min(n, room[s.Zone]); here > slack {
					send(s.Zone, s.Zone, 0, c, here)
					n -= here
				}
				left[s.Zone][c] = n
			}
		}
		used := map[string]float64{} // by spill
		for _, c := range order {
			for tier := 0; tier < mostTiers; tier++ {
				for range spillRounds { // what one zone of a tier has no room for goes to the others
					moved := 0.0
					p.spill(c, tier, lost, left, spare, used, func(from, to string, n float64) { moved += n; send(from, to, tier+1, c, n) })
					if moved <= slack {
						break
					}
				}
			}
			for _, s := range p.Sites {
				if n := left[s.Zone][c]; n > slack {
					r.flows = append(r.flows, Flow{Destination: d.Number, From: s.Zone, Class: c, Rate: n})
				}
			}
		}
	}
	return r
}

const (
	mostTiers   = 8
	spillRounds = 200
)

// spill sends what is left of a class from each zone to the zones of one of its tiers. Where several zones spill to the same, each has its part by what it has
// left, so that the order of the file does not matter.
func (p *Plan) spill(class string, tier int, lost string, left map[string]map[string]float64, spare, used map[string]float64, send func(from, to string, n float64)) {
	type ask struct {
		from, to string
		n        float64
	}
	var asks []ask
	sum := map[string]float64{}
	bound := map[string]float64{}
	for _, s := range p.Sites {
		n := left[s.Zone][class]
		if tier >= len(s.Tiers) || n <= slack {
			continue
		}
		t, all := s.Tiers[tier], 0.0
		free := func(z string) float64 {
			if z == lost {
				return 0
			}
			return max(0, t.SpillFraction*spare[z]-used[z])
		}
		for _, z := range t.Zones {
			all += free(z)
		}
		if all <= slack {
			continue
		}
		for _, z := range t.Zones {
			if f := free(z); f > slack {
				a := ask{s.Zone, z, min(n*f/all, f)}
				asks, sum[z], bound[z] = append(asks, a), sum[z]+a.n, max(bound[z], f)
			}
		}
	}
	for _, a := range asks {
		n := a.n * min(1, bound[a.to]/sum[a.to])
		send(a.from, a.to, n)
		left[a.from][class] -= n
		used[a.to] += n
	}
}

func (p *Plan) shares(r routed) (all []ClassShare) {
	for _, c := range p.classes() {
		s := ClassShare{Class: c}
		for _, f := range r.flows {
			if f.Class == c && f.To != "" {
				s.Served += f.Rate
			} else if f.Class == c {
				s.Refused += f.Rate
			}
		}
		s.Demand = s.Served + s.Refused
		if math.Abs(s.Refused) < slack {
			s.Refused = 0
		}
		all = append(all, s)
	}
	slices.Reverse(all) // the one that is refused first stands first
	return all
}
