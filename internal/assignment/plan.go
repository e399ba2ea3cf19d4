package assignment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// State is a relay's state as the planner sees it.
type State uint8

const (
	Removed     State = iota // serves nothing; its replicas are reassigned
	Live                     // serves
	Unreachable              // no recent contact: keeps its replicas and gets no more
	Leaving                  // serves until its replicas have been reassigned
)

// Member is a relay of a region, with its failure domains.
type Member struct {
	State State
	Zone  Zone
	Rack  uint16 // numbered across the whole region
}

// MapConfig is what an operator sets of a region's map.
type MapConfig struct {
	Region     uint8
	Partitions int // 1 to MaxPartitions
	Replicas   int // 1 to MaxReplicas
}

// Errors of Plan.
var (
	ErrOutOfRange    = errors.New("assignment: partitions, replicas or relays out of range")
	ErrTooFewRelays  = errors.New("assignment: fewer relays serve than a partition has replicas")
	ErrConfigChanged = errors.New("assignment: the previous map has another shape (region, partitions or replicas)")
)

// Plan computes the next map of a region from the previous one, nil for the first. The member at
// index i is relay i. Each partition's replicas are in different racks, and at most half of them in
// one zone, as far as there are relays to choose from.
//
// Replicas stay where they are, except those of relays that are removed or leaving and those that
// underloaded relays take over, so that the share of replicas that move is about the share of
// relays that left or joined. A partition whose latest change is not settled does not change again:
// settled reports that per partition; nil means that all are settled. Relays that still serve a
// partition hand over at most one of its replicas per map.
func Plan(config MapConfig, previous *Map, members []Member, settled func(Partition) bool) (*Map, error) {
	if err := config.check(len(members)); err != nil {
		return nil, err
	}
	p := newPlanner(config, members)
	if p.serving < config.Replicas {
		return nil, fmt.Errorf("%w: %d relays, %d replicas", ErrTooFewRelays, p.serving, config.Replicas)
	}
	if previous != nil {
		if previous.Partitions() != config.Partitions || previous.Replication != config.Replicas ||
			previous.Region != config.Region {
			return nil, ErrConfigChanged
		}
		p.retain(previous, settled)
	}
	for partition := range p.replicas {
		p.fill(Partition(partition))
	}
	p.balance()
	return p.buildMap(previous), nil
}

func (s MapConfig) check(members int) error {
	if s.Partitions < 1 || s.Partitions > MaxPartitions ||
		s.Replicas < 1 || s.Replicas > MaxReplicas || members > MaxRelays {
		return fmt.Errorf("%w: %d partitions, %d replicas, %d relays", ErrOutOfRange, s.Partitions, s.Replicas, members)
	}
	return nil
}

// planner holds a map under construction.
type planner struct {
	config    MapConfig
	members   []Member
	replicas  [][]Relay // of each partition
	frozen    []bool    // partitions that don't change
	reassigns []bool    // partitions of which a serving relay hands over a replica
	load      []int     // partitions of each relay
	live      [][]Relay // relays that are Live, by zone
	serving   int       // relays that are not Removed
	zones     int       // zones with such a relay
}

func newPlanner(config MapConfig, members []Member) *planner {
	p := &planner{
		config: config, members: members, replicas: make([][]Relay, config.Partitions),
		frozen: make([]bool, config.Partitions), reassigns: make([]bool, config.Partitions),
		load: make([]int, len(members)),
	}
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

// retain keeps the replicas of relays that are not removed, and all replicas of partitions that
// don't change.
func (p *planner) retain(previous *Map, settled func(Partition) bool) {
	for partition := range p.replicas {
		if settled != nil && !settled(Partition(partition)) {
			p.frozen[partition] = true
			p.replicas[partition] = slices.Clone(previous.Replicas(Partition(partition)))
			p.addLoad(p.replicas[partition])
			continue
		}
		for _, r := range previous.Replicas(Partition(partition)) {
			if p.retains(Partition(partition), r) {
				p.add(Partition(partition), r)
			}
		}
	}
}

// retains reports whether a replica of the previous map stays. Only one leaving relay per partition
// hands over at a time: if both replicas of a zone did, nobody would serve there until the new ones
// have the map.
func (p *planner) retains(partition Partition, r Relay) bool {
	switch {
	case int(r) >= len(p.members) || p.members[r].State == Removed:
		return false
	case p.members[r].State == Leaving && !p.reassigns[partition]:
		p.reassigns[partition] = true
		return false
	}
	return true
}

// addLoad counts the load of replicas that stay whatever the state of their relays.
func (p *planner) addLoad(replicas []Relay) {
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
	for len(p.replicas[partition]) < p.config.Replicas {
		r, ok := p.pickRanked(partition)
		if !ok {
			r = p.pickAny(partition)
		}
		p.add(partition, r)
	}
}

// pickRanked returns the least loaded of the relays that rank highest for the partition, among
// those whose zone and rack may have another replica of it.
func (p *planner) pickRanked(partition Partition) (best Relay, found bool) {
	const maxCandidates = 8 // more candidates balance the load better and cost more time
	var candidates [maxCandidates]struct {
		score uint64
		relay Relay
	}
	n := 0
	for zone, relays := range p.live {
		if !p.zoneHasCapacity(partition, Zone(zone)) {
			continue
		}
		for _, r := range relays {
			score := rank(partition, r)
			if n == maxCandidates && score <= candidates[n-1].score || !p.inNewRack(partition, r) {
				continue
			}
			if n < maxCandidates {
				n++
			}
			at := n - 1
			for ; at > 0 && candidates[at-1].score < score; at-- {
				candidates[at] = candidates[at-1]
			}
			candidates[at].score, candidates[at].relay = score, r
		}
	}
	for _, candidate := range candidates[:n] {
		if !found || p.load[candidate.relay] < p.load[best] {
			best, found = candidate.relay, true
		}
	}
	return best, found
}

// pickAny returns the least loaded relay that does not serve the partition yet, in any zone and
// rack, for when pickRanked finds none. Unreachable and leaving relays come last.
func (p *planner) pickAny(partition Partition) Relay {
	best := -1
	for i, m := range p.members {
		if m.State == Removed || slices.Contains(p.replicas[partition], Relay(i)) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(m.State, p.members[best].State), cmp.Compare(p.load[i], p.load[best])) < 0 {
			best = i
		}
	}
	return Relay(best) // there is one: at least Replicas relays serve
}

// zoneHasCapacity reports whether another replica of the partition may be in the zone.
func (p *planner) zoneHasCapacity(partition Partition, zone Zone) bool {
	if p.zones < 2 {
		return true
	}
	n := 0
	for _, r := range p.replicas[partition] {
		if p.members[r].Zone == zone {
			n++
		}
	}
	return n < (p.config.Replicas+1)/2
}

// inNewRack reports whether neither r nor another relay of its rack serves the partition.
func (p *planner) inNewRack(partition Partition, r Relay) bool {
	for _, other := range p.replicas[partition] {
		if other == r || p.members[other].Rack == p.members[r].Rack {
			return false
		}
	}
	return true
}

// balance moves partitions from the most loaded relays of a zone to its underloaded ones, as long
// as that evens out the load.
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
		var underloaded []Relay
		for _, r := range relays {
			if p.load[r] < mean-mean/8 {
				underloaded = append(underloaded, r)
			}
		}
		for _, r := range underloaded {
			p.takeOver(r, mean)
		}
	}
}

// takeOver moves partitions to r, up to mean, from relays of its zone that have more. Partitions for
// which r ranks highest come first.
func (p *planner) takeOver(r Relay, mean int) {
	order := make([]Partition, len(p.replicas))
	for i := range order {
		order[i] = Partition(i)
	}
	slices.SortFunc(order, func(a, b Partition) int { return cmp.Compare(rank(b, r), rank(a, r)) })
	for _, partition := range order {
		if p.load[r] >= mean {
			return
		}
		from, ok := p.mostLoaded(partition, r, mean)
		if !ok {
			continue
		}
		at := slices.Index(p.replicas[partition], from)
		p.replicas[partition][at], p.reassigns[partition] = r, true
		p.load[from]--
		p.load[r]++
	}
}

// mostLoaded returns the replica of a partition to hand over to r: the most loaded one in r's zone, if
// it has at least mean partitions and no other replica is in r's rack.
func (p *planner) mostLoaded(partition Partition, r Relay, mean int) (from Relay, found bool) {
	if p.frozen[partition] || p.reassigns[partition] || slices.Contains(p.replicas[partition], r) {
		return 0, false
	}
	for _, other := range p.replicas[partition] {
		if p.members[other].Zone != p.members[r].Zone || p.load[other] < max(mean, p.load[r]+2) ||
			!p.inOtherRack(partition, other, r) {
			continue
		}
		if !found || p.load[other] > p.load[from] {
			from, found = other, true
		}
	}
	return from, found
}

// inOtherRack reports whether r's rack differs from those of all replicas of the partition except
// from, which it replaces.
func (p *planner) inOtherRack(partition Partition, from, r Relay) bool {
	for _, other := range p.replicas[partition] {
		if other != from && p.members[other].Rack == p.members[r].Rack {
			return false
		}
	}
	return true
}

// buildMap returns the planned map, numbered one after the previous one.
func (p *planner) buildMap(previous *Map) *Map {
	m := &Map{Region: p.config.Region, Replication: p.config.Replicas}
	if previous != nil {
		m.Version = previous.Version
	}
	m.Version.Number++
	for partition, replicas := range p.replicas {
		slices.Sort(replicas)
		m.replicas = append(m.replicas, replicas...)
		m.previous = append(m.previous, p.previous(previous, Partition(partition))...)
	}
	return m
}

// previous returns the replicas of a partition before its latest change.
func (p *planner) previous(old *Map, partition Partition) []Relay {
	switch {
	case old == nil:
		return p.replicas[partition]
	case p.frozen[partition]:
		return old.Previous(partition)
	}
	return old.Replicas(partition)
}

// rank orders relays for a partition (rendezvous hashing).
func rank(p Partition, r Relay) uint64 { return Mix(uint64(p)<<32 | uint64(r) + 1) }
