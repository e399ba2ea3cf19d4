// Package sites plans for and handles the loss of a whole site: a zone with its relays, its
// partners' endpoints, or both. A Plan forecasts where each destination's load goes, how full the
// other sites become, and which classes are refused. A Watch decides, at one relay, which sites are
// lost and how load returns to them.
//
// The package does no I/O and reads no clock: the operators' plan and observations go in, forecasts
// and decisions come out.
package sites

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Plan is the operators' plan for the loss of a site.
type Plan struct {
	Sites        []Site
	RefuseFirst  []string      // classes, in the order in which they are refused
	Ramp         time.Duration // until a site that has returned takes its full share of load
	Destinations []Destination
}

// Site is a zone that can be lost as a whole.
type Site struct {
	Zone  string
	Tiers []Tier // where its load goes, by preference
}

// Tier is a set of sites that take load in proportion to their headroom.
type Tier struct {
	Zones         []string
	SpillFraction float64 // part of their headroom that the load of other sites may take
}

// Destination is a partner's capacity and the demand for it.
type Destination struct {
	Number   int
	Capacity map[string]float64            // messages per second, by zone of its endpoints
	Demand   map[string]map[string]float64 // messages per second that clients submit, by zone and class
}

// Defaults for a plan that does not set them.
const (
	DefaultSpillFraction = 0.8
	DefaultRamp          = 30 * time.Second
	epsilon              = 1e-9
)

// ClassShare is what is served and refused of a class, in messages per second.
type ClassShare struct {
	Class   string  `json:"class"`
	Demand  float64 `json:"wanted"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
}

// ServedFraction returns the served part of the demand, 1 if there is none.
func (s ClassShare) ServedFraction() float64 {
	if s.Demand <= 0 {
		return 1
	}
	return s.Served / s.Demand
}

// Flow is load from one zone's clients to another zone's endpoints of a destination, in messages
// per second.
type Flow struct {
	Destination int     `json:"destination"`
	From        string  `json:"from"`
	To          string  `json:"to"`
	Tier        int     `json:"tier"` // 0: its own zone
	Class       string  `json:"class"`
	Rate        float64 `json:"rate"`
}

// ZoneLoad is the load of a zone's endpoints, in messages per second.
type ZoneLoad struct {
	Zone        string  `json:"zone"`
	Capacity    float64 `json:"takes"`
	Before      float64 `json:"before"` // while no site is lost
	After       float64 `json:"after"`
	Utilization float64 `json:"full"` // After as a fraction of Capacity
}

// Forecast is the effect of a loss.
type Forecast struct {
	Lost             string       `json:"lost"`
	Zones            []ZoneLoad   `json:"zones"`
	Flows            []Flow       `json:"flows"` // to other zones
	Before           []ClassShare `json:"before"`
	After            []ClassShare `json:"after"`
	Refused          []Flow       `json:"refused"`  // From: the zone of its clients; To is empty
	Unserved         []int        `json:"nowhere"`  // destinations without remaining endpoints
	MinReturnSeconds float64      `json:"return_s"` // minimum time until the full share
	Notes            []string     `json:"notes"`
}

// HasZone reports whether the plan has a site of that zone.
func (p *Plan) HasZone(zone string) bool {
	return slices.ContainsFunc(p.Sites, func(s Site) bool { return s.Zone == zone })
}

// Zones returns the zones of all sites.
func (p *Plan) Zones() (all []string) {
	for _, s := range p.Sites {
		all = append(all, s.Zone)
	}
	return all
}

// ForecastLoss computes the effect of losing a zone with its relays and endpoints, while its
// clients use the relays of other zones. It fails if the plan has no such site.
func (p *Plan) ForecastLoss(zone string) (*Forecast, error) {
	if !p.HasZone(zone) {
		return nil, fmt.Errorf("%q is no site of the file; there are %s", zone, strings.Join(p.Zones(), ", "))
	}
	f := &Forecast{Lost: zone, MinReturnSeconds: p.Ramp.Seconds()}
	before, after := p.routeLoad(""), p.routeLoad(zone)
	f.Before, f.After = p.classShares(before), p.classShares(after)
	for _, s := range p.Sites {
		load := ZoneLoad{Zone: s.Zone, Before: before.load[s.Zone], After: after.load[s.Zone]}
		for _, d := range p.Destinations {
			if s.Zone != zone {
				load.Capacity += d.Capacity[s.Zone]
			}
		}
		if load.Capacity > 0 {
			load.Utilization = load.After / load.Capacity
		}
		f.Zones = append(f.Zones, load)
		if s.Zone != zone && load.Capacity > 0 && load.Before > 0.9*load.Capacity {
			f.Notes = append(f.Notes, fmt.Sprintf(
				"%s is %.0f of 100 full before anything is lost", s.Zone, 100*load.Before/load.Capacity))
		}
	}
	for _, flow := range after.flows {
		if flow.To == "" {
			f.Refused = append(f.Refused, flow)
		} else if flow.From != flow.To {
			f.Flows = append(f.Flows, flow)
		}
	}
	for _, d := range p.Destinations {
		remaining := 0.0
		for z, n := range d.Capacity {
			if z != zone {
				remaining += n
			}
		}
		if remaining <= 0 && len(d.Demand) > 0 {
			f.Unserved = append(f.Unserved, d.Number)
			f.Notes = append(f.Notes, fmt.Sprintf("destination %d has endpoints in %s only", d.Number, zone))
		}
	}
	if len(p.Destinations) == 0 {
		f.Notes = append(f.Notes, "the file names no destination: there is nothing to forecast from")
	}
	return f, nil
}

// routing is where all load goes.
type routing struct {
	flows []Flow
	load  map[string]float64
}

// classesByPriority returns the plan's classes, the one that is refused last first. Classes that
// RefuseFirst does not list are refused before all others.
func (p *Plan) classesByPriority() (all []string) {
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

// routeLoad assigns the demand of each zone's clients to endpoints while one zone is lost, none if
// empty. Classes that are refused last are placed first, so that nothing of them is refused while
// one that is refused before them is served. A zone's own endpoints come first, then the tiers.
// Spilled load takes its fraction of the headroom that zones have beyond the demand of their own
// clients, in proportion to that headroom.
func (p *Plan) routeLoad(lost string) routing {
	r := routing{load: map[string]float64{}}
	order := p.classesByPriority()
	for _, d := range p.Destinations {
		capacity := map[string]float64{} // of endpoints, for any load
		headroom := map[string]float64{} // for the load of other zones: capacity beyond the zone's own demand
		for _, s := range p.Sites {
			if s.Zone == lost {
				continue
			}
			capacity[s.Zone] = d.Capacity[s.Zone]
			ownDemand := 0.0
			for _, n := range d.Demand[s.Zone] {
				ownDemand += n
			}
			headroom[s.Zone] = max(0, d.Capacity[s.Zone]-ownDemand)
		}
		send := func(from, to string, tier int, class string, n float64) {
			r.load[to] += n
			capacity[to] -= n
			sameFlow := func(f Flow) bool {
				return f.Destination == d.Number && f.From == from && f.To == to && f.Tier == tier && f.Class == class
			}
			if i := slices.IndexFunc(r.flows, sameFlow); i >= 0 {
				r.flows[i].Rate += n
				return
			}
			r.flows = append(r.flows, Flow{d.Number, from, to, tier, class, n})
		}
		// Own zones first, for all classes: no zone's clients are refused in favour of another's.
		unserved := map[string]map[string]float64{}
		for _, s := range p.Sites {
			unserved[s.Zone] = map[string]float64{}
			for _, c := range order {
				n := d.Demand[s.Zone][c]
				if local := min(n, capacity[s.Zone]); local > epsilon {
					send(s.Zone, s.Zone, 0, c, local)
					n -= local
				}
				unserved[s.Zone][c] = n
			}
		}
		spilled := map[string]float64{} // by other zones' load
		for _, c := range order {
			for tier := 0; tier < maxTiers; tier++ {
				for range spillRounds { // load that exceeds the headroom of one zone of a tier goes to the others
					moved := 0.0
					p.spillClass(c, tier, lost, unserved, headroom, spilled, func(from, to string, n float64) {
						moved += n
						send(from, to, tier+1, c, n)
					})
					if moved <= epsilon {
						break
					}
				}
			}
			for _, s := range p.Sites {
				if n := unserved[s.Zone][c]; n > epsilon {
					r.flows = append(r.flows, Flow{Destination: d.Number, From: s.Zone, Class: c, Rate: n})
				}
			}
		}
	}
	return r
}

const (
	maxTiers    = 8
	spillRounds = 200
)

// spillClass sends the unserved load of a class from each zone to the zones of one of its tiers.
// Zones that spill to the same zone share its headroom in proportion to their requests, so that the
// order of sites in the plan does not matter.
func (p *Plan) spillClass(
	class string, tier int, lost string, unserved map[string]map[string]float64,
	headroom, spilled map[string]float64, send func(from, to string, n float64),
) {
	type spillRequest struct {
		from, to string
		n        float64
	}
	var requests []spillRequest
	requested := map[string]float64{}
	available := map[string]float64{}
	for _, s := range p.Sites {
		n := unserved[s.Zone][class]
		if tier >= len(s.Tiers) || n <= epsilon {
			continue
		}
		tierPlan, tierHeadroom := s.Tiers[tier], 0.0
		free := func(z string) float64 {
			if z == lost {
				return 0
			}
			return max(0, tierPlan.SpillFraction*headroom[z]-spilled[z])
		}
		for _, z := range tierPlan.Zones {
			tierHeadroom += free(z)
		}
		if tierHeadroom <= epsilon {
			continue
		}
		for _, z := range tierPlan.Zones {
			if f := free(z); f > epsilon {
				request := spillRequest{s.Zone, z, min(n*f/tierHeadroom, f)}
				requests, requested[z], available[z] = append(requests, request), requested[z]+request.n, max(available[z], f)
			}
		}
	}
	for _, request := range requests {
		n := request.n * min(1, available[request.to]/requested[request.to])
		send(request.from, request.to, n)
		unserved[request.from][class] -= n
		spilled[request.to] += n
	}
}

// classShares sums a routing by class.
func (p *Plan) classShares(r routing) (all []ClassShare) {
	for _, c := range p.classesByPriority() {
		s := ClassShare{Class: c}
		for _, f := range r.flows {
			if f.Class == c && f.To != "" {
				s.Served += f.Rate
			} else if f.Class == c {
				s.Refused += f.Rate
			}
		}
		s.Demand = s.Served + s.Refused
		if math.Abs(s.Refused) < epsilon {
			s.Refused = 0
		}
		all = append(all, s)
	}
	slices.Reverse(all) // the class that is refused first comes first
	return all
}
