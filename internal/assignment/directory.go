package assignment

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of a question that can't be answered.
var (
	ErrNoMap = errors.New("assignment: no map is published yet")
	ErrStale = errors.New("assignment: the relay has a later map than this control machine")
)

// Directory answers relays' questions from the published map. It is not safe for
// concurrent use.
type Directory struct {
	key     Key
	current *Map
	serving [][]Partition // that concern each relay
	changed []Version     // by relay: since when its slice is as it is now
}

// NewDirectory makes one that has no map yet.
func NewDirectory(key Key) *Directory { return &Directory{key: key} }

// Update goes over to a map, if it is later than the one before.
func (d *Directory) Update(m *Map) {
	if m == nil || d.current != nil && m.Version.Compare(d.current.Version) <= 0 {
		return
	}
	previous, before, changed := d.current, d.serving, d.changed
	d.current, d.serving, d.changed = m, m.ByRelay(), make([]Version, MaxRelays)
	next := previous != nil && m.Version.Number == previous.Version.Number+1 && m.Partitions() == previous.Partitions()
	for r := range d.changed {
		// Behind a gap a slice may have changed and changed back, so all count as new.
		if next && sameServing(previous, m, before[r], d.serving[r]) {
			d.changed[r] = changed[r]
		} else {
			d.changed[r] = m.Version
		}
	}
}

// sameServing tells whether a relay's slice is the same in two maps.
func sameServing(a, b *Map, inA, inB []Partition) bool {
	if len(inA) != len(inB) {
		return false
	}
	for i, p := range inA {
		if inB[i] != p || !slices.Equal(a.Replicas(p), b.Replicas(p)) || !slices.Equal(a.Previous(p), b.Previous(p)) {
			return false
		}
	}
	return true
}

// Answer returns the encoded answer to a relay's question: its slice, or that the
// one it has holds still. The error is ErrNoMap, wraps ErrBehind (the relay asks
// another machine), or wraps ErrShape for a number that no relay can have.
func (d *Directory) Answer(a SliceRequest) ([]byte, error) {
	switch {
	case d.current == nil:
		return nil, ErrNoMap
	case a.Relay >= MaxRelays:
		return nil, fmt.Errorf("%w: relay %d", ErrOutOfRange, a.Relay)
	case a.HaveVersion.Compare(d.current.Version) > 0:
		return nil, fmt.Errorf("%w: %v, here %v", ErrStale, a.HaveVersion, d.current.Version)
	case a.HaveVersion != Version{} && a.HaveVersion.Compare(d.changed[a.Relay]) >= 0:
		return confirmation(d.current.Region, d.current.Version, a.Relay, d.current.Partitions(), d.key), nil
	}
	return d.current.slice(a.Relay, d.serving[a.Relay]).Encode(d.key), nil
}
