package assignment

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of a request that can't be answered.
var (
	ErrNoMap = errors.New("assignment: no map is published yet")
	ErrStale = errors.New("assignment: the relay has a later map than this control node")
)

// Directory answers relays' requests from the published map. It is not safe for concurrent use.
type Directory struct {
	key       Key
	current   *Map
	byRelay   [][]Partition // partitions that concern each relay
	changedIn []Version     // by relay: version in which its slice last changed
}

// NewDirectory returns a directory without a map.
func NewDirectory(key Key) *Directory { return &Directory{key: key} }

// Update switches to a map, if it is later than the current one.
func (d *Directory) Update(m *Map) {
	if m == nil || d.current != nil && m.Version.Compare(d.current.Version) <= 0 {
		return
	}
	previous, oldByRelay, oldChangedIn := d.current, d.byRelay, d.changedIn
	d.current, d.byRelay, d.changedIn = m, m.ByRelay(), make([]Version, MaxRelays)
	consecutive := previous != nil && m.Version.Number == previous.Version.Number+1 &&
		m.Partitions() == previous.Partitions()
	for r := range d.changedIn {
		// If versions were missed, a slice may have changed and changed back, so all count as
		// changed.
		if consecutive && sameSlice(previous, m, oldByRelay[r], d.byRelay[r]) {
			d.changedIn[r] = oldChangedIn[r]
		} else {
			d.changedIn[r] = m.Version
		}
	}
}

// sameSlice reports whether a relay's slice is the same in two maps.
func sameSlice(a, b *Map, inA, inB []Partition) bool {
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

// Answer returns the encoded answer to a relay's request: its slice, or a confirmation that the one
// it has is still valid. The error is ErrNoMap, wraps ErrStale (the relay should ask another node),
// or wraps ErrOutOfRange for an impossible relay number.
func (d *Directory) Answer(request SliceRequest) ([]byte, error) {
	switch {
	case d.current == nil:
		return nil, ErrNoMap
	case request.Relay >= MaxRelays:
		return nil, fmt.Errorf("%w: relay %d", ErrOutOfRange, request.Relay)
	case request.HaveVersion.Compare(d.current.Version) > 0:
		return nil, fmt.Errorf("%w: %v, here %v", ErrStale, request.HaveVersion, d.current.Version)
	case request.HaveVersion != Version{} && request.HaveVersion.Compare(d.changedIn[request.Relay]) >= 0:
		return confirmation(d.current.Region, d.current.Version, request.Relay, d.current.Partitions(), d.key), nil
	}
	return d.current.slice(request.Relay, d.byRelay[request.Relay]).Encode(d.key), nil
}
