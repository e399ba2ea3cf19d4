package assignment

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of a slice that is whole and signed, and yet not taken.
var (
	ErrOlder       = errors.New("assignment: older than the one in force")
	ErrConflict    = errors.New("assignment: another one of the version in force")
	ErrOtherRegion = errors.New("assignment: of another region")
	ErrOtherRelay  = errors.New("assignment: of another relay")
)

const (
	// PollInterval is how often a relay asks a control machine for changes.
	PollInterval = 500 * time.Millisecond
	// retryEvery is when it asks another one, where none answers; quickRetries is
	// how often it does before it is back to PullEvery.
	retryEvery   = 120 * time.Millisecond
	quickRetries = 10
	// silentAfter is how long no control machine has to answer before a relay says
	// that it goes on by the last assignment.
	silentAfter = 10 * PollInterval
)

// Follower keeps the slice that is in force at one relay. It is not safe for
// concurrent use. The slice that Current returns may be read by all.
type Follower struct {
	region  uint8
	relay   Relay
	key     Key
	current *Slice
	encoded []byte  // the slice in force, as it came
	latest  Version // that a control machine has confirmed, at least current's
	heardAt time.Duration
	askedAt time.Duration
	nextAt  time.Duration
	tries   int // questions since the last answer
	leaving bool
}

// NewFollower makes the follower of a relay that has no slice yet.
func NewFollower(region uint8, relay Relay, key Key) *Follower {
	return &Follower{region: region, relay: relay, key: key, heardAt: -silentAfter}
}

// SliceRequest is a relay's question for its slice.
type SliceRequest struct {
	Relay       Relay
	HaveVersion Version // of the slice in force, or the latest that it was confirmed for
	Leaving     bool    // it wants to go, and asks for its replicas to be given to others
}

// Current returns the slice in force, nil before the first.
func (f *Follower) Current() *Slice { return f.current }

// LatestVersion returns the version for which the slice in force is known to hold.
func (f *Follower) LatestVersion() Version { return f.latest }

// Encoded returns the slice in force as it has to be kept on disk, nil before the
// first. Restore takes it at the next start.
func (f *Follower) Encoded() []byte { return f.encoded }

// SetLeaving has the relay say from its next question on that it wants to go, or that
// it stays after all. A start begins with staying.
func (f *Follower) SetLeaving(leave bool) { f.leaving = leave }

// Released tells whether a relay that leaves has no replicas any more. It may go
// once its handovers are done as well.
func (f *Follower) Released() bool {
	return f.leaving && f.current != nil && !slices.ContainsFunc(f.current.Assignments, func(s PartitionAssignment) bool {
		return slices.Contains(s.Replicas, f.relay)
	})
}

// ControlUnreachable tells whether no control machine has answered for long, so that the
// slice in force may be out of date.
func (f *Follower) ControlUnreachable(now time.Duration) bool { return now-f.heardAt >= silentAfter }

// Poll returns the question that is due at now, if any.
func (f *Follower) Poll(now time.Duration) (SliceRequest, bool) {
	if now < f.nextAt {
		return SliceRequest{}, false
	}
	f.askedAt, f.nextAt = now, now+PollInterval
	if f.tries++; f.tries <= quickRetries {
		f.nextAt = now + retryEvery
	}
	return SliceRequest{f.relay, f.latest, f.leaving}, true
}

// NextPoll returns when Poll has the next question.
func (f *Follower) NextPoll() time.Duration { return f.nextAt }

// Restore takes the slice that was kept on disk before a restart. Its errors are
// those of Take; the relay then starts without a slice, and asks for one.
func (f *Follower) Restore(encoded []byte) error {
	heard, next := f.heardAt, f.nextAt
	_, err := f.HandleAnswer(heard, encoded)
	f.heardAt, f.nextAt = heard, next // a disk is no control machine
	return err
}

// HandleAnswer takes in a control machine's answer and tells whether the slice in force
// has changed. An answer that is refused changes nothing; the error wraps ErrTorn,
// ErrForged, ErrFormat, ErrOlder, ErrConflict, ErrOtherRegion or ErrOtherRelay.
func (f *Follower) HandleAnswer(now time.Duration, answer []byte) (changed bool, err error) {
	h, body, err := open(answer, f.key, kindSlice, kindConfirm)
	switch {
	case err != nil:
		return false, err
	case h.region != f.region:
		return false, fmt.Errorf("%w: %d, not %d", ErrOtherRegion, h.region, f.region)
	case h.relay != f.relay:
		return false, fmt.Errorf("%w: %d, not %d", ErrOtherRelay, h.relay, f.relay)
	case h.version.Compare(f.latest) < 0:
		return false, fmt.Errorf("%w: %v, in force %v", ErrOlder, h.version, f.latest)
	case h.kind == kindConfirm:
		if f.current == nil {
			return false, fmt.Errorf("%w: %v is confirmed, and there is none", ErrConflict, h.version)
		}
	default:
		if changed, err = f.offer(h, body, answer); err != nil {
			return false, err
		}
	}
	f.latest, f.heardAt, f.tries, f.nextAt = h.version, now, 0, f.askedAt+PollInterval
	return changed, nil
}

// offer puts a slice in force that is not older than the one that is.
func (f *Follower) offer(h header, body, encoded []byte) (changed bool, err error) {
	s, err := decodeSlice(h, body)
	if err != nil {
		return false, err
	}
	if f.current != nil && s.Version == f.latest {
		if !s.same(f.current) {
			return false, fmt.Errorf("%w: %v", ErrConflict, s.Version)
		}
		return false, nil
	}
	changed = f.current == nil || !s.same(f.current)
	f.current, f.encoded = s, bytes.Clone(encoded)
	return changed, nil
}
