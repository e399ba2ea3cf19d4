package sites

import (
	"fmt"
	"slices"
	"time"
)

// How load returns to a site, and what others take on meanwhile.

// headroom is what all partners' endpoints in a zone take beyond what its own clients want, as the file has it; 0: it names none.
func (p *Plan) headroom(zone string) (sum float64) {
	for _, d := range p.Destinations {
		own := 0.0
		for _, n := range d.Demand[zone] {
			own += n
		}
		sum += max(0, d.Capacity[zone]-own)
	}
	return sum
}

// most is the largest part of a zone's headroom that any other site's load may take.
func (p *Plan) most(zone string) (spill float64) {
	for _, s := range p.Sites {
		for _, t := range s.Tiers {
			if slices.Contains(t.Zones, zone) {
				spill = max(spill, t.SpillFraction)
			}
		}
	}
	return spill
}

// own is what a zone's clients want of its own endpoints, as far as these take it.
func (p *Plan) own(zone string) (sum float64) {
	for _, d := range p.Destinations {
		own := 0.0
		for _, n := range d.Demand[zone] {
			own += n
		}
		sum += min(own, d.Capacity[zone])
	}
	return sum
}

// ramp moves a returning site on. What it is given grows while its endpoints answer; a fresh failure stops that, keeps what is proved and goes on lower, and slower each time.
func (w *Watch) ramp(now Time, span time.Duration, s *site, sum counts, dark bool, why string) {
	fresh := s.recent[0]
	fresh.add(s.recent[1])
	switch {
	case dark:
		s.flaps++
		s.proved = max(leastLevel, s.proved/2)
		s.holdTil = now + min(holdMost, holdFirst<<min(s.flaps-1, 8))
		w.become(now, s, Lost, "it failed in its return: "+why)
	case fresh.failed >= 2 && fresh.failed >= fresh.taken && s.level > leastLevel:
		s.flaps++
		s.level = max(leastLevel, min(s.proved, s.level/2))
		s.proved = s.level
		s.why = fmt.Sprintf("%d of %d calls failed in its return: it goes on from %.2f of its load", fresh.failed, fresh.failed+fresh.taken, s.level)
		w.changes = append(w.changes, Change{s.name, Returning, Returning, s.why, false})
		s.recent[0], s.recent[1] = counts{}, counts{} // seen, and answered
	case (s.tookAt >= s.since || s.said() > s.level) && s.run == 0 && fresh.failed*5 <= fresh.taken && fresh.refused <= fresh.taken+1:
		s.proved = max(s.proved, s.level)
		slow := min(slowest, 1+s.flaps)
		if s.level += span.Seconds() / (w.plan.Ramp.Seconds() * float64(slow)); s.level >= 1 {
			w.become(now, s, Healthy, "it takes its full load")
		}
	}
}

// spill moves how much may go to a site that lives while another is lost: what its own clients want, and a part of the plan's headroom, at most; less as soon as it refuses some, and slowly
// up again. Without figures in the file nothing bounds it until it refuses.
func (w *Watch) spill(span time.Duration, s *site, sum counts) {
	calls, over := sum.taken+sum.refused, (buckets * bucket).Seconds()
	if w.lost == 0 {
		s.usual += (float64(calls)/over - s.usual) * min(1, span.Seconds()/usualOver.Seconds())
	}
	if s.tier < 0 || w.lost == 0 || s.state == Lost || s.state == Returning {
		s.rate, s.tokens = 0, 0
		return
	}
	most, begins := w.part(s), s.rate == 0
	if begins {
		s.rate, s.tokens = most, 1
	}
	switch refused := float64(sum.refused) / float64(max(1, calls)); {
	case calls >= spillCalls && refused > spillCut:
		if bound := max(0.5, spillKeep*float64(sum.taken)/over); s.rate == 0 || bound < s.rate {
			s.rate = bound
		}
	case refused < spillLoose:
		s.rate *= 1 + (spillRaise-1)*span.Seconds()
	}
	if most > 0 {
		s.rate = min(s.rate, most)
	}
	s.tokens = min(1+s.rate*burst.Seconds(), s.tokens+s.rate*span.Seconds())
}

// part is this relay's part of what may go to a site; 0: the file names nothing. Relays of a lost site that live have as much of the others' headroom as they are of its relays: its other
// clients have come to the relays of other sites, and the rest of the headroom is theirs.
func (w *Watch) part(s *site) float64 {
	if s.own+s.spare == 0 {
		return 0
	}
	there, alive := 0, 0 // relays of lost sites
	for _, o := range w.sites {
		if o.state == Lost || o.state == Returning {
			if there += o.relays; o.state == Returning || w.turned-o.since >= believed {
				alive += o.alive // until then those that died may still be held for alive
			}
			if o.tier == 0 {
				there, alive = there+1, alive+1
			}
		}
	}
	if home := w.by[w.home]; home != nil && (home.state == Lost || home.state == Returning) {
		return roomy(s.spare / float64(there))
	}
	extra := s.spare / float64(max(1, w.live-alive))
	if there > 0 {
		extra *= 1 - float64(alive)/float64(there)
	}
	if s.tier == 0 {
		return roomy(max(s.own/float64(s.alive+1), s.usual) + extra)
	}
	return roomy(max(extra, leastSpill))
}

func roomy(rate float64) float64 { return uneven * rate }
