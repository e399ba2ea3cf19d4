package assignment

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of a valid, signed answer that is rejected.
var (
	ErrOlder       = errors.New("assignment: older than the slice in use")
	ErrConflict    = errors.New("assignment: conflicts with the slice in use of the same version")
	ErrOtherRegion = errors.New("assignment: of another region")
	ErrOtherRelay  = errors.New("assignment: of another relay")
)

const (
	// PollInterval is how often a relay asks a control node for changes.
	PollInterval = 500 * time.Millisecond
	// retryInterval is the delay before asking another node if one does not answer, for the first
	// maxQuickRetries requests; then it is PollInterval.
	retryInterval   = 120 * time.Millisecond
	maxQuickRetries = 10
	// controlTimeout is how long no control node may answer before a relay reports that it uses an
	// assignment that may be outdated.
	controlTimeout = 10 * PollInterval
)

// Follower holds the slice in use at one relay. It is not safe for concurrent use. The slice that
// Current returns may be read concurrently.
type Follower struct {
	region        uint8
	relay         Relay
	key           Key
	current       *Slice
	encoded       []byte  // the slice in use, as received
	latestVersion Version // confirmed by a control node, at least that of current
	lastAnswerAt  time.Duration
	lastPollAt    time.Duration
	nextPollAt    time.Duration
	unanswered    int // requests since the last answer
	leaving       bool
}

// NewFollower returns the follower of a relay that has no slice yet.
func NewFollower(region uint8, relay Relay, key Key) *Follower {
	return &Follower{region: region, relay: relay, key: key, lastAnswerAt: -controlTimeout}
}

// SliceRequest is a relay's request for its slice.
type SliceRequest struct {
	Relay       Relay
	HaveVersion Version // of the slice in use, or the latest for which it was confirmed
	Leaving     bool    // the relay wants to leave and to have its replicas reassigned
}

// Current returns the slice in use, nil before the first.
func (f *Follower) Current() *Slice { return f.current }

// LatestVersion returns the version up to which the slice in use is known to be valid.
func (f *Follower) LatestVersion() Version { return f.latestVersion }

// Encoded returns the slice in use as it has to be stored on disk, nil before the first. Restore
// loads it after a restart.
func (f *Follower) Encoded() []byte { return f.encoded }

// SetLeaving sets whether the relay's requests, from the next one on, say that it wants to leave.
// It is not set after a restart.
func (f *Follower) SetLeaving(leaving bool) { f.leaving = leaving }

// Released reports whether a leaving relay has no replicas any more. It may stop once its handovers
// are done too.
func (f *Follower) Released() bool {
	return f.leaving && f.current != nil &&
		!slices.ContainsFunc(f.current.Assignments, func(s PartitionAssignment) bool {
			return slices.Contains(s.Replicas, f.relay)
		})
}

// ControlUnreachable reports whether no control node has answered for controlTimeout, so that the
// slice in use may be outdated.
func (f *Follower) ControlUnreachable(now time.Duration) bool {
	return now-f.lastAnswerAt >= controlTimeout
}

// Poll returns the request that is due at now, if any.
func (f *Follower) Poll(now time.Duration) (SliceRequest, bool) {
	if now < f.nextPollAt {
		return SliceRequest{}, false
	}
	f.lastPollAt, f.nextPollAt = now, now+PollInterval
	if f.unanswered++; f.unanswered <= maxQuickRetries {
		f.nextPollAt = now + retryInterval
	}
	return SliceRequest{f.relay, f.latestVersion, f.leaving}, true
}

// NextPoll returns when the next request is due.
func (f *Follower) NextPoll() time.Duration { return f.nextPollAt }

// Restore loads the slice that was stored on disk before a restart. Its errors are those of
// HandleAnswer; the relay then starts without a slice and requests one.
func (f *Follower) Restore(encoded []byte) error {
	lastAnswerAt, nextPollAt := f.lastAnswerAt, f.nextPollAt
	_, err := f.HandleAnswer(lastAnswerAt, encoded)
	f.lastAnswerAt, f.nextPollAt = lastAnswerAt, nextPollAt // loading from disk is no contact with a control node
	return err
}

// HandleAnswer handles a control node's answer and reports whether the slice in use has changed. A
// rejected answer changes nothing; the error wraps ErrTruncated, ErrBadSignature, ErrFormat,
// ErrOlder, ErrConflict, ErrOtherRegion or ErrOtherRelay.
func (f *Follower) HandleAnswer(now time.Duration, answer []byte) (changed bool, err error) {
	h, body, err := verify(answer, f.key, kindSlice, kindConfirm)
	switch {
	case err != nil:
		return false, err
	case h.region != f.region:
		return false, fmt.Errorf("%w: %d, not %d", ErrOtherRegion, h.region, f.region)
	case h.relay != f.relay:
		return false, fmt.Errorf("%w: %d, not %d", ErrOtherRelay, h.relay, f.relay)
	case h.version.Compare(f.latestVersion) < 0:
		return false, fmt.Errorf("%w: %v, in use %v", ErrOlder, h.version, f.latestVersion)
	case h.kind == kindConfirm:
		if f.current == nil {
			return false, fmt.Errorf("%w: confirmation of %v without a slice", ErrConflict, h.version)
		}
	default:
		if changed, err = f.install(h, body, answer); err != nil {
			return false, err
		}
	}
	f.latestVersion, f.lastAnswerAt, f.unanswered, f.nextPollAt = h.version, now, 0, f.lastPollAt+PollInterval
	return changed, nil
}

// install puts a slice in use that is not older than the current one.
func (f *Follower) install(h header, body, encoded []byte) (changed bool, err error) {
	s, err := decodeSlice(h, body)
	if err != nil {
		return false, err
	}
	if f.current != nil && s.Version == f.latestVersion {
		if !s.same(f.current) {
			return false, fmt.Errorf("%w: %v", ErrConflict, s.Version)
		}
		return false, nil
	}
	changed = f.current == nil || !s.same(f.current)
	f.current, f.encoded = s, bytes.Clone(encoded)
	return changed, nil
}
