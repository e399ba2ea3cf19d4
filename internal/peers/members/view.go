package members

import "time"

// Member is one relay as a view shows it.
type Member struct {
	Number      int
	State       State
	Zone        int // NoZone: not known
	Incarnation uint32
	Since       Time
	Reason      string
}

// ZoneView is one zone as a view shows it.
type ZoneView struct {
	Zone          int
	Members, Dead int
	DeadOrSuspect int  // away, or suspect
	CutOff        bool // most of it is away at once: it is cut off, or lost as a whole
}

// View is who is taken for what at a moment. It does not change any more.
type View struct {
	At              Time
	Self            int
	Version         uint64
	Isolated        bool // this relay hears nobody, and doubts itself
	DuplicateNumber bool // another process speaks under its number
	PossibleCallers int  // members that may be calling
	Members         []Member
	Zones           []ZoneView
	Counts          Counts
}

// View tells who is taken for what.
func (l *List) View(now Time) *View {
	l.advance(now)
	v := &View{At: l.now, Self: l.set.Self, Version: l.version, Isolated: l.Isolated(), DuplicateNumber: l.DuplicateNumber(), Counts: l.counts, Members: make([]Member, len(l.all))}
	zones := l.zones()
	for i := range l.all {
		m := &l.all[i]
		v.Members[i] = Member{i, m.state, int(m.zone), m.inc, m.since, m.why}
		if m.state == Dead && zones[m.zone].CutOff {
			v.Members[i].Reason += "; so are most of its zone: cut off or lost as a whole"
		}
	}
	for _, z := range zones {
		if z.Members > 0 {
			v.Zones = append(v.Zones, z)
		}
	}
	v.PossibleCallers = l.share(zones)
	return v
}

// PossibleCallers is how many members may be calling, this one counted. It is worked out anew some times in a second at most.
func (l *List) PossibleCallers(now Time) int {
	l.advance(now)
	if l.now-l.countedAt >= Period || l.countedAt == 0 {
		l.countedAt = l.now
		l.share(l.zones())
	}
	return l.sharing
}

func (l *List) zones() (zones [NoZone + 1]ZoneView) {
	for i := range l.all {
		z := &zones[l.all[i].zone]
		z.Zone = int(l.all[i].zone)
		z.Members++
		switch l.all[i].state {
		case Dead:
			z.Dead++
			z.DeadOrSuspect++
		case Suspect:
			z.DeadOrSuspect++
		}
	}
	for i := range zones[:NoZone] {
		z := &zones[i]
		z.CutOff = z.Dead >= 2 && 2*z.Dead > z.Members
	}
	return zones
}

// share is how many members may be calling, this one counted. It goes up at once and down slowly: never below what is in doubt. Who is away
// for long does not count, but where many are away at once, or most of a zone, they may live and call out of sight.
func (l *List) share(zones [NoZone + 1]ZoneView) int {
	away, gone := 0, 0
	patience := sharesOn + 2*Period*time.Duration(len(l.all)/10) // a note of its own would have come twice, were it heard
	for _, n := range l.lost {
		m := &l.all[n]
		switch {
		case m.state == Left && l.now-m.since > leftOn:
			gone++
		case m.state == Dead && m.inc > 0: // one that nobody has heard of may call all the same
			// Risk: a zone that is heard and hears nothing falls into doubt one by one, and goes on calling.
			if away++; l.now-max(m.since, m.signAt, m.heardAt) > patience && !zones[m.zone].CutOff && zones[m.zone].DeadOrSuspect <= 1+zones[m.zone].Members/doubtShare {
				gone++
			}
		}
	}
	want := len(l.all) - gone
	if cutShare*away > len(l.all) || l.Isolated() {
		want = len(l.all)
	}
	if want >= l.sharing {
		l.sharing, l.sharingAt = want, l.now
		return l.sharing
	}
	// One part in sixteen each period at most.
	for step := time.Duration(0); l.sharing > want && l.now-l.sharingAt >= Period && step < 64; step++ {
		l.sharing -= max(1, l.sharing/16)
		l.sharingAt += Period
	}
	l.sharing, l.sharingAt = max(l.sharing, want), max(l.sharingAt, l.now-Period)
	return l.sharing
}

const (
	placedOn = 15 * time.Second // a member that is away keeps its place for so long: most come back
	cutOn    = time.Minute      // the same where many are away at once, who may live out of sight
)

// PlacementEligible tells of each member whether it is counted among those that share endpoints. That goes slower than who lives: a restart changes nothing.
func (l *List) PlacementEligible(now Time) []bool {
	l.advance(now)
	zones, away, all := l.zones(), 0, make([]bool, len(l.all))
	for i := range l.all {
		if l.all[i].state == Dead {
			away++
		}
	}
	for i := range l.all {
		m := &l.all[i]
		patience := placedOn
		if cutShare*away > len(l.all) || zones[m.zone].CutOff {
			patience = cutOn
		}
		gone := m.state == Left && l.now-m.since > leftOn || m.state == Dead && m.inc > 0 && l.now-max(m.since, m.signAt, m.heardAt) > patience
		all[i] = !gone || l.Isolated()
	}
	return all
}
