package assignment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// State is what a relay is taken for by the planner.
type State uint8

const (
	Removed     State = iota // serves nothing; its replicas are given to others
	Live                     // serves
	Unreachable              // not heard of of late: keeps its replicas, and gets no more
	Leaving                  // serves until its replicas have been given to others
)

// Member is a relay of a region, with its failure domains.
type Member struct {
	State State
	Zone  Zone
	Rack  uint16 // numbered over the whole region
}

// MapConfig is what an operator sets of a region's map.
type MapConfig struct {
	Region     uint8
	Partitions int // 1 to MaxPartitions
	Replicas   int // 1 to MaxReplicas
}

// Errors of a plan that can't be made.
var (
	ErrOutOfRange    = errors.New("assignment: partitions, replicas or relays out of bounds")
	ErrTooFewRelays  = errors.New("assignment: fewer relays serve than a partition has replicas")
	ErrConfigChanged = errors.New("assignment: the map before has another shape")
)

// Plan makes the next map of a region from the one before, nil for the first.
// The member at index i is relay i. Each partition's replicas are in different
// racks, and at most half of them in one zone, as far as relays serve there.
//
// Replicas stay where they are, except those of relays that are gone or leave and
// those that relays without their part take over, so that the share of replicas that
// move is about the share of relays that went or came. A partition whose latest
// change is not settled does not change again: settled tells of each whether it is,
// nil that all are. Of a partition, relays that serve give one replica away with a map.
func Plan(shape MapConfig, previous *Map, members []Member, settled func(Partition) bool) (*Map, error) {
	if err := shape.check(len(members)); err != nil {
		return nil, err
	}
	p := newPlanner(shape, members)
	if p.serving < shape.Replicas {
		return nil, fmt.Errorf("%w: %d relays, %d replicas", ErrTooFewRelays, p.serving, shape.Replicas)
	}
	if previous != nil {
		if previous.Partitions() != shape.Partitions || previous.Replication != shape.Replicas || previous.Region != shape.Region {
			return nil, ErrConfigChanged
		}
		p.keep(previous, settled)
	}
	for partition := range p.replicas {
		p.fill(Partition(partition))
	}
	p.balance()
	return p.done(previous), nil
}

func (s MapConfig) check(members int) error {
	if s.Partitions < 1 || s.Partitions > MaxPartitions || s.Replicas < 1 || s.Replicas > MaxReplicas || members > MaxRelays {
		return fmt.Errorf("%w: %d partitions, %d replicas, %d relays", ErrOutOfRange, s.Partitions, s.Replicas, members)
	}
	return nil
}

// planner is a map in the making.
type planner struct {
	shape    MapConfig
	members  []Member
	replicas [][]Relay // of each partition
	frozen   []bool    // partitions that don't change
	gives    []bool    // partitions of which a relay that serves gives a replica away
	load     []int     // partitions of each relay
	live     [][]Relay // that are Live, by zone
	serving  int       // relays that are not Gone
	zones    int       // with a relay that is
}

func newPlanner(shape MapConfig, members []Member) *planner {
	p := &planner{shape: shape, members: members, replicas: make([][]Relay, shape.Partitions),
		frozen: make([]bool, shape.Partitions), gives: make([]bool, shape.Partitions), load: make([]int, len(members))}
	seen := map[Zone]bool{}
	for i, m := range members {
		if m.State == Removed {
			continue
		}
		p.serving++
		seen[m.Zone] = true
		if m.State == Live {
			for len(p.live) <= int(m.Zone) {
				p.live = append(p.live, nil)
			}
			p.live[m.Zone] = append(p.live[m.Zone], Relay(i))
		}
	}
	p.zones = len(seen)
	return p
}

// keep takes over the replicas of relays that are not gone, and all of partitions
// that don't change.
func (p *planner) keep(previous *Map, settled func(Partition) bool) {
	for partition := range p.replicas {
		if settled != nil && !settled(Partition(partition)) {
			p.frozen[partition] = true
			p.replicas[partition] = slices.Clone(previous.Replicas(Partition(partition)))
			p.count(p.replicas[partition])
			continue
		}
		for _, r := range previous.Replicas(Partition(partition)) {
			if p.stays(Partition(partition), r) {
				p.add(Partition(partition), r)
			}
		}
	}
}

// stays tells whether a replica of the map before goes on. Risk: two that are given
// away at once are those of one zone, where nobody serves until the new ones have
// the map.
func (p *planner) stays(partition Partition, r Relay) bool {
	switch {
	case int(r) >= len(p.members) || p.members[r].State == Removed:
		return false
	case p.members[r].State == Leaving && !p.gives[partition]:
		p.gives[partition] = true
		return false
	}
	return true
}

// count books the load of replicas that stay whatever their relays are taken for.
func (p *planner) count(replicas []Relay) {
	for _, r := range replicas {
		if int(r) < len(p.load) {
			p.load[r]++
		}
	}
}

func (p *planner) add(partition Partition, r Relay) {
	p.replicas[partition] = append(p.replicas[partition], r)
	p.load[r]++
}

// fill adds replicas to a partition until it has all of them.
func (p *planner) fill(partition Partition) {
	for len(p.replicas[partition]) < p.shape.Replicas {
		r, ok := p.pick(partition)
		if !ok {
			r = p.anyone(partition)
		}
		p.add(partition, r)
	}
}

// pick chooses the least loaded of the few relays that rank highest for the
// partition, of those in a zone and rack with room for another replica of it.
func (p *planner) pick(partition Partition) (best Relay, found bool) {
	const ranked = 8 // candidates; more of them even out the loads, and cost time
	var top [ranked]struct {
		score uint64
		relay Relay
	}
	n := 0
	for zone, relays := range p.live {
		if !p.zoneHasRoom(partition, Zone(zone)) {
			continue
		}
		for _, r := range relays {
			score := rank(partition, r)
			if n == ranked && score <= top[n-1].score || !p.mayServe(partition, r) {
				continue
			}
			if n < ranked {
				n++
			}
			at := n - 1
			for ; at > 0 && top[at-1].score < score; at-- {
				top[at] = top[at-1]
			}
			top[at].score, top[at].relay = score, r
		}
	}
	for _, c := range top[:n] {
		if !found || p.load[c.relay] < p.load[best] {
			best, found = c.relay, true
		}
	}
	return best, found
}

// anyone chooses the least loaded relay that does not serve the partition yet,
// wherever it is, where no zone and rack has room; one that is away or leaves if
// need be.
func (p *planner) anyone(partition Partition) Relay {
	best := -1
	for i, m := range p.members {
		if m.State == Removed || slices.Contains(p.replicas[partition], Relay(i)) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(m.State, p.members[best].State), cmp.Compare(p.load[i], p.load[best])) < 0 {
			best = i
		}
	}
	return Relay(best) // there is one: as many serve as a partition has replicas
}

// zoneHasRoom tells whether another replica of the partition may be in the zone.
func (p *planner) zoneHasRoom(partition Partition, zone Zone) bool {
	if p.zones < 2 {
		return true
	}
	n := 0
	for _, r := range p.replicas[partition] {
		if p.members[r].Zone == zone {
			n++
		}
	}
	return n < (p.shape.Replicas+1)/2
}

// mayServe tells whether r and its rack do not serve the partition yet.
func (p *planner) mayServe(partition Partition, r Relay) bool {
	for _, other := range p.replicas[partition] {
		if other == r || p.members[other].Rack == p.members[r].Rack {
			return false
		}
	}
	return true
}

// balance has relays with less than their part take partitions over from those
// of their zone that have most, as long as that evens the loads.
func (p *planner) balance() {
	for _, relays := range p.live {
		total := 0
		for _, r := range relays {
			total += p.load[r]
		}
		if len(relays) == 0 {
			continue
		}
		mean := total / len(relays)
		var poor []Relay
		for _, r := range relays {
			if p.load[r] < mean-mean/8 {
				poor = append(poor, r)
			}
		}
		for _, r := range poor {
			p.enrich(r, mean)
		}
	}
}

// enrich gives r up to mean partitions of relays in its zone that have more. Of
// those it takes the ones first for which it ranks highest.
func (p *planner) enrich(r Relay, mean int) {
	order := make([]Partition, len(p.replicas))
	for i := range order {
		order[i] = Partition(i)
	}
	slices.SortFunc(order, func(a, b Partition) int { return cmp.Compare(rank(b, r), rank(a, r)) })
	for _, partition := range order {
		if p.load[r] >= mean {
			return
		}
		from, ok := p.richest(partition, r, mean)
		if !ok {
			continue
		}
		at := slices.Index(p.replicas[partition], from)
		p.replicas[partition][at], p.gives[partition] = r, true
		p.load[from]--
		p.load[r]++
	}
}

// richest finds the replica of a partition that may best give it to r: one of its
// zone with at least mean partitions, the others in other racks than r.
func (p *planner) richest(partition Partition, r Relay, mean int) (from Relay, found bool) {
	if p.frozen[partition] || p.gives[partition] || slices.Contains(p.replicas[partition], r) {
		return 0, false
	}
	for _, other := range p.replicas[partition] {
		if p.members[other].Zone != p.members[r].Zone || p.load[other] < max(mean, p.load[r]+2) || !p.apart(partition, other, r) {
			continue
		}
		if !found || p.load[other] > p.load[from] {
			from, found = other, true
		}
	}
	return from, found
}

// apart tells whether r is in another rack than all replicas of the partition but
// the one that it takes over from.
func (p *planner) apart(partition Partition, from, r Relay) bool {
	for _, other := range p.replicas[partition] {
		if other != from && p.members[other].Rack == p.members[r].Rack {
			return false
		}
	}
	return true
}

// done makes the map; its version is the one before's with the next number.
func (p *planner) done(before *Map) *Map {
	m := &Map{Region: p.shape.Region, Replication: p.shape.Replicas}
	if before != nil {
		m.Version = before.Version
	}
	m.Version.Number++
	for partition, replicas := range p.replicas {
		slices.Sort(replicas)
		m.replicas = append(m.replicas, replicas...)
		m.previous = append(m.previous, p.previous(before, Partition(partition))...)
	}
	return m
}

// previous returns the replicas of a partition before its latest change.
func (p *planner) previous(before *Map, partition Partition) []Relay {
	switch {
	case before == nil:
		return p.replicas[partition]
	case p.frozen[partition]:
		return before.Previous(partition)
	}
	return before.Replicas(partition)
}

// rank is the order of relays for a partition (rendezvous hashing).
func rank(p Partition, r Relay) uint64 { return Mix(uint64(p)<<32 | uint64(r) + 1) }
