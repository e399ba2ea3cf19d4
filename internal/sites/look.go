package sites

import (
	"fmt"
	"slices"
	"time"
)

// What becomes of a site: whether it is dark, and what it is taken for.

func (w *Watch) become(now Time, s *site, to State, why string) {
	w.changes = append(w.changes, Change{s.name, s.state, to, why, false})
	down := func(st State) int {
		if st == Lost || st == Returning {
			return 1
		}
		return 0
	}
	w.lost += down(to) - down(s.state)
	was := s.state
	s.state, s.since, s.why, s.credit, s.thinAt = to, now, why, 0, -1
	if to == Healthy {
		s.level, s.proved, s.returned = 1, firstLevel, down(was) > 0
	}
	if to == Returning { // what failed before tells nothing of its return
		s.run, s.silent = 0, 0
		s.recent = [buckets]counts{}
	}
	if to == Lost {
		s.level = 0
		s.probeAt = now + w.pause()
	}
}

// pause is until this relay's next try of a lost site: all relays together try at one rate, whatever their number.
func (w *Watch) pause() time.Duration {
	mean := float64(probeTurn) * float64(w.live)
	return time.Duration(mean * (0.5 + w.rng.Float64()))
}

func (s *site) sum() (all counts) {
	for _, c := range s.recent {
		all.add(c)
	}
	return all
}

// dark tells whether nothing gets through to a site's endpoints, and why.
func (s *site) dark(now Time) (bool, string) {
	others := s.othersNo >= 0 && now-s.othersNo < newsFor || s.lostSaid >= voices
	if s.run == 0 || s.tookAt >= s.runAt || s.run < darkCalls && !others {
		return false, ""
	}
	patience, why := darkFor, fmt.Sprintf("%d calls failed, none taken", s.run)
	if others {
		why += ", as others see"
	}
	switch {
	case s.relays == 0:
	case s.alive*2 >= s.relays:
		patience, why = darkAlone, why+fmt.Sprintf("; %d of %d relays live", s.alive, s.relays)
	default:
		why += fmt.Sprintf("; %d of %d relays are away", s.relays-s.alive, s.relays)
	}
	return now-s.runAt >= patience, why
}

func (w *Watch) look(now Time, span time.Duration, s *site) {
	sum := s.sum()
	dark, why := s.dark(now)
	s.cut = dark && s.silent == s.run
	if s.out {
		return
	}
	// Risk: relays of a returning site that start with it know nothing of its loss, and send to those that are there alone as to warm ones.
	if level := s.said(); !s.told && now-w.began < youngFor && s.state == Healthy && (s.lostSaid >= voices || level > 0 && level < 1) {
		s.told = true
		w.changes = append(w.changes, Change{s.name, Healthy, Healthy, fmt.Sprintf("%d relays say that it was lost", s.lostSaid+len(s.levels)), true})
	}
	switch s.state {
	case Healthy, Degraded:
		if dark && s.othersOK < s.runAt+newsFor {
			w.become(now, s, Lost, why)
			return
		}
		if s.eps == 0 && s.relays > 0 && s.alive == 0 && s.name != w.home {
			w.become(now, s, Lost, fmt.Sprintf("all of its %d relays are away, and it has no endpoints", s.relays))
			return
		}
		thin := ""
		switch {
		case dark:
			thin = why + "; others get through: it is cut off from here alone"
		case sum.failed >= thinCalls && sum.failed >= sum.taken:
			thin = fmt.Sprintf("%d of %d calls failed", sum.failed, sum.failed+sum.taken)
		case s.relays > 1 && s.alive*2 < s.relays:
			thin = fmt.Sprintf("%d of %d relays are away, its endpoints answer", s.relays-s.alive, s.relays)
		}
		switch {
		case thin == "" && s.state == Degraded && s.clearAt < 0:
			s.clearAt = now
		case thin == "" && s.state == Degraded && now-s.clearAt >= clearFor:
			w.become(now, s, Healthy, "nothing speaks against it any more")
		case thin == "":
			s.thinAt = -1
		case s.thinAt < 0:
			s.thinAt, s.clearAt = now, -1
		case s.state == Healthy && now-s.thinAt >= thinFor:
			s.clearAt = -1
			w.become(now, s, Degraded, thin)
		default:
			s.clearAt = -1
		}
		if s.flaps > 0 && s.state == Healthy && now-s.since >= calmFor*w.plan.Ramp {
			s.flaps = 0
		}
	case Lost:
		if s.eps == 0 && s.alive > 0 {
			w.become(now, s, Healthy, "its relays are back, and it has no endpoints")
			return
		}
		if level := s.said(); level > 0 && now >= s.holdTil {
			s.level = level
			w.become(now, s, Returning, fmt.Sprintf("%d relays get through", len(s.levels)))
			return
		}
		if now >= s.probeAt && now >= s.holdTil {
			s.probes, s.probeAt = 1, now+w.pause()
		}
	case Returning:
		w.ramp(now, span, s, sum, dark, why)
	}
	w.spill(span, s, sum)
}

// said is what part of its load others give a site to which it answers, where enough of them say so; 0: too few do.
func (s *site) said() float64 {
	if len(s.levels) < voices {
		return 0
	}
	all := slices.Clone(s.levels)
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
