package members

import "time"

// Member is the state of one relay in a View.
type Member struct {
	Number      int
	State       State
	Zone        int // NoZone if unknown
	Incarnation uint32
	Since       Time // when it entered its state
	Reason      string
}

// ZoneView is the state of one zone in a View.
type ZoneView struct {
	Zone          int
	Members, Dead int
	DeadOrSuspect int
	CutOff        bool // most members dead at once: the zone is partitioned or lost
}

// View is an immutable snapshot of the fleet.
type View struct {
	At              Time
	Self            int
	Version         uint64
	Isolated        bool // this relay receives nothing and doubts itself
	DuplicateNumber bool // another process sends under this relay's number
	PossibleCallers int  // members that may be calling
	Members         []Member
	Zones           []ZoneView
	Counts          Counts
}

// View returns a snapshot of the fleet.
func (l *List) View(now Time) *View {
	l.advance(now)
	v := &View{
		At:              l.now,
		Self:            l.config.Self,
		Version:         l.version,
		Isolated:        l.Isolated(),
		DuplicateNumber: l.DuplicateNumber(),
		Counts:          l.counts,
		Members:         make([]Member, len(l.members)),
	}
	zones := l.zoneViews()
	for i := range l.members {
		m := &l.members[i]
		v.Members[i] = Member{i, m.state, int(m.zone), m.incarnation, m.since, m.reason}
		if m.state == Dead && zones[m.zone].CutOff {
			v.Members[i].Reason += "; most of its zone is dead too: partitioned or lost as a whole"
		}
	}
	for _, z := range zones {
		if z.Members > 0 {
			v.Zones = append(v.Zones, z)
		}
	}
	v.PossibleCallers = l.countCallers(zones)
	return v
}

// PossibleCallers returns how many members may be calling, including this one. It is recomputed
// once per period at most.
func (l *List) PossibleCallers(now Time) int {
	l.advance(now)
	if l.now-l.callersCountedAt >= Period || l.callersCountedAt == 0 {
		l.callersCountedAt = l.now
		l.countCallers(l.zoneViews())
	}
	return l.callers
}

// zoneViews counts the members of each zone by state.
func (l *List) zoneViews() (zones [NoZone + 1]ZoneView) {
	for i := range l.members {
		z := &zones[l.members[i].zone]
		z.Zone = int(l.members[i].zone)
		z.Members++
		switch l.members[i].state {
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

// countCallers computes how many members may be calling, including this one. The number rises at
// once and falls slowly, never below what is in doubt. A long-dead member does not count; but
// when many members are dead at once, or most of a zone, they may be alive and calling behind a
// partition.
func (l *List) countCallers(zones [NoZone + 1]ZoneView) int {
	dead, gone := 0, 0
	// Long enough for two messages of the member itself to arrive.
	retention := deadCallerTime + 2*Period*time.Duration(len(l.members)/10)
	for _, n := range l.gone {
		m := &l.members[n]
		switch {
		case m.state == Left && l.now-m.since > leftCallerTime:
			gone++
		case m.state == Dead && m.incarnation > 0: // a member never heard of may still be calling
			// Members of a zone that can send but not receive become suspect one by one and go on
			// calling.
			if dead++; l.now-max(m.since, m.signOfLifeAt, m.heardAt) > retention && !zones[m.zone].CutOff &&
				zones[m.zone].DeadOrSuspect <= 1+zones[m.zone].Members/zoneDoubtDivisor {
				gone++
			}
		}
	}
	target := len(l.members) - gone
	if massFailureDivisor*dead > len(l.members) || l.Isolated() {
		target = len(l.members)
	}
	if target >= l.callers {
		l.callers, l.callersAt = target, l.now
		return l.callers
	}
	// Decreases by a sixteenth per period at most.
	for step := time.Duration(0); l.callers > target && l.now-l.callersAt >= Period && step < 64; step++ {
		l.callers -= max(1, l.callers/16)
		l.callersAt += Period
	}
	l.callers, l.callersAt = max(l.callers, target), max(l.callersAt, l.now-Period)
	return l.callers
}

const (
	placeRetention       = 15 * time.Second // a dead member keeps its place for this long: most return
	outagePlaceRetention = time.Minute      // the same when many are dead at once and may be alive behind a partition
)

// PlacementEligible reports for each member whether it takes a place among the relays that share
// endpoints. Members keep their places through a restart.
func (l *List) PlacementEligible(now Time) []bool {
	l.advance(now)
	zones, dead, eligible := l.zoneViews(), 0, make([]bool, len(l.members))
	for i := range l.members {
		if l.members[i].state == Dead {
			dead++
		}
	}
	for i := range l.members {
		m := &l.members[i]
		retention := placeRetention
		if massFailureDivisor*dead > len(l.members) || zones[m.zone].CutOff {
			retention = outagePlaceRetention
		}
		gone := m.state == Left && l.now-m.since > leftCallerTime ||
			m.state == Dead && m.incarnation > 0 && l.now-max(m.since, m.signOfLifeAt, m.heardAt) > retention
		eligible[i] = !gone || l.Isolated()
	}
	return eligible
}
