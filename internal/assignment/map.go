package assignment

import (
	"cmp"
	"slices"
)

// Relay is the number of a relay in its region, from 0 to MaxRelays-1.
type Relay uint16

// Zone is the number of a zone in its region.
type Zone uint8

// Partition is the number of a group of destinations that have the same replicas.
type Partition uint16

const (
	MaxRelays     = 1 << 14 // relays in a region
	MaxPartitions = 1 << 14 // partitions in a region
	MaxReplicas   = 8       // replicas of a partition

	// DefaultPartitions suits a region of 4,000 relays: eight partitions per relay, each with about
	// 64 of its 525,000 destinations.
	DefaultPartitions = 1 << 13
	// DefaultReplicas leaves one replica in each of two zones after the loss of any rack.
	DefaultReplicas = 4
)

// Version orders the maps of a region. It grows with each map, whoever publishes it.
type Version struct {
	Term   uint64 // of the publisher; a later publisher has a higher one
	Number uint64 // of the map, counted across all terms
}

// Compare returns -1, 0 or 1 if v is before, the same as or after other. A later term is always
// after an earlier one.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Term, other.Term), cmp.Compare(v.Number, other.Number))
}

// Map assigns the partitions of a region to relays. It is immutable once published.
type Map struct {
	Region      uint8
	Version     Version
	Replication int // replicas of each partition, 1 to MaxReplicas

	replicas []Relay // Replication entries per partition, ascending
	previous []Relay // the same before the latest change, until that is settled
}

// Partitions returns the number of partitions.
func (m *Map) Partitions() int { return len(m.replicas) / max(1, m.Replication) }

// Replicas returns the relays that serve a partition below Partitions, in ascending order. The
// caller must not modify them.
func (m *Map) Replicas(p Partition) []Relay {
	at := int(p) * m.Replication
	return m.replicas[at : at+m.Replication : at+m.Replication]
}

// Previous returns the replicas that a partition had before its latest change, while their pending
// messages may not all be delivered; after that it equals Replicas. The caller must not modify
// them.
func (m *Map) Previous(p Partition) []Relay {
	at := int(p) * m.Replication
	return m.previous[at : at+m.Replication : at+m.Replication]
}

// Settled reports whether the latest change of p is complete: Replicas and Previous are equal.
func (m *Map) Settled(p Partition) bool { return slices.Equal(m.Replicas(p), m.Previous(p)) }

// Serves reports whether relay r is a replica of p.
func (m *Map) Serves(r Relay, p Partition) bool { return slices.Contains(m.Replicas(p), r) }

// PartitionOf returns the partition of a destination. It is the same in all maps with the same
// number of partitions.
func (m *Map) PartitionOf(destination uint64) Partition {
	return Partition(Mix(destination) % uint64(m.Partitions()))
}

// Slice returns the part of the map that concerns relay r.
func (m *Map) Slice(r Relay) *Slice { return m.slice(r, m.ByRelay()[r]) }

// slice returns the part of the map that concerns relay r, given its partitions.
func (m *Map) slice(r Relay, partitions []Partition) *Slice {
	s := &Slice{Region: m.Region, Version: m.Version, Relay: r, Partitions: m.Partitions(), Replication: m.Replication}
	for _, p := range partitions {
		s.Assignments = append(s.Assignments, PartitionAssignment{p, m.Replicas(p), m.Previous(p)})
	}
	return s
}

// ByRelay lists for each relay, up to MaxRelays, the partitions that concern it, in ascending
// order: those of which it is a replica, or was one before the latest change.
func (m *Map) ByRelay() [][]Partition {
	concerned := make([][]Partition, MaxRelays)
	for p := range m.Partitions() {
		for _, r := range m.Replicas(Partition(p)) {
			concerned[r] = append(concerned[r], Partition(p))
		}
		for _, r := range m.Previous(Partition(p)) {
			if !m.Serves(r, Partition(p)) {
				concerned[r] = append(concerned[r], Partition(p))
			}
		}
	}
	return concerned
}

// CountMoved counts the replicas of m that were not replicas of the same partition in previous. It
// counts all of them if the maps differ in partitions or replication.
func (m *Map) CountMoved(previous *Map) (moved int) {
	if previous == nil || previous.Partitions() != m.Partitions() || previous.Replication != m.Replication {
		return len(m.replicas)
	}
	for p := range m.Partitions() {
		before := previous.Replicas(Partition(p))
		for _, r := range m.Replicas(Partition(p)) {
			if !slices.Contains(before, r) {
				moved++
			}
		}
	}
	return moved
}

// same reports whether two maps of the same size have the same replicas.
func (m *Map) same(other *Map) bool {
	return slices.Equal(m.replicas, other.replicas) && slices.Equal(m.previous, other.previous)
}

// Slice is the part of a map that concerns one relay.
type Slice struct {
	Region      uint8
	Version     Version
	Relay       Relay
	Partitions  int // of the whole map
	Replication int
	Assignments []PartitionAssignment // ascending by partition
}

// PartitionAssignment is a partition that concerns a relay: one that it serves, or that it served
// until the latest change and may have pending messages for.
type PartitionAssignment struct {
	Partition Partition
	Replicas  []Relay // ascending
	Previous  []Relay // before the latest change, ascending; equal to Replicas once that is settled
}

// Serves reports whether the relay serves a destination.
func (s *Slice) Serves(destination uint64) bool {
	p := Partition(Mix(destination) % uint64(s.Partitions))
	at, found := slices.BinarySearchFunc(s.Assignments, p, func(a PartitionAssignment, p Partition) int {
		return cmp.Compare(a.Partition, p)
	})
	return found && slices.Contains(s.Assignments[at].Replicas, s.Relay)
}

// same reports whether two slices have the same partitions with the same replicas.
func (s *Slice) same(other *Slice) bool {
	return s.Partitions == other.Partitions &&
		slices.EqualFunc(s.Assignments, other.Assignments, func(a, b PartitionAssignment) bool {
			return a.Partition == b.Partition &&
				slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Previous, b.Previous)
		})
}

// Mix hashes x, spreading its bits evenly (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
