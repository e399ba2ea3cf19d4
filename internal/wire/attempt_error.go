package wire

import (
	"errors"
	"fmt"
	"os"

	"oatfold/internal/transient"
	"oatfold/policy"
)

// This file defines attempts that end without an answer, and what that means for a retry.

// Stage is the progress of an attempt.
type Stage int

// The stages of an attempt.
const (
	Started   Stage = iota // no connection yet
	Connected              // the connection is up, the last byte is not written
	Written                // the last byte is written: from here on the call may have run
	Answered               // the first line of the answer was read
)

// AttemptError is an attempt that ended without a usable answer. The stage decides what that means
// for a retry.
type AttemptError struct {
	Stage Stage
	Err   error
}

// Error returns the stage and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"not dialled", "dialled", "written", "answered"}[e.Stage], e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// NeverRan reports whether the endpoint certainly did not run the call.
func (e *AttemptError) NeverRan() bool { return e.Stage < Written }

// Outcome returns the outcome that is reported to the policy engine.
func (e *AttemptError) Outcome() policy.Outcome {
	switch {
	case errors.Is(e.Err, errBlocked), errors.Is(e.Err, errConnectionCut),
		e.Stage == Started && transient.IsResourceExhaustion(e.Err):
		return policy.Unsent // says nothing about the endpoint
	case errors.Is(e.Err, errNewConnectionCut):
		return policy.RequestIncomplete
	case e.NeverRan():
		return policy.ConnectFailed
	case e.Stage == Answered, malformedAnswer(e.Err):
		// Unlike a lost answer, an unusable one is no sign that idle connections fail.
		return policy.Errored
	case errors.Is(e.Err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.ConnectionLost
}

// malformedAnswer reports whether the bytes received are no valid answer.
func malformedAnswer(err error) bool {
	for _, e := range []error{errFirstLine, errHeader, errLength, errBodyTooLong, errHeaderTooLong, errTooManyInterim,
		errTooManyUnbound, errUnboundRejection} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// errBlocked ends a call that must not be written: its destination sent Retry-After, its endpoint
// was drained, or the process shuts down.
var errBlocked = errors.New("endpoint must not be called now")

// errConnectionCut ends a call whose connection received data before the last byte was written, or
// closed by then and had served other calls. It says nothing about the endpoint's health.
var errConnectionCut = errors.New("connection closed before the last byte")

// errNewConnectionCut ends a call whose new connection closed before the last byte was written: no
// call gets through to the endpoint.
var errNewConnectionCut = errors.New("new connection closed before the last byte")

// earlyEndError returns the error for a connection that closed, or received data, before the last
// byte of a call was written. err is nil if data was received. A new connection that closes counts
// as a failure of the endpoint: one that resets every connection would otherwise use up all
// attempts at once.
func (c *endpointConn) earlyEndError(err error) error {
	if err != nil && c.lastAnswerAt.IsZero() {
		return errNewConnectionCut
	}
	return errConnectionCut
}

// errConnectionLimit ends a call whose endpoint accepts no further connections.
var errConnectionLimit = errors.New("endpoint accepts no further connections")

// atConnectionLimit reports whether an answer, the first on its connection, says that the endpoint
// accepts no further connections: a 503 without Wait-Ms and Slots-Taken that closes the connection.
// It must not count as a rejection for exceeding the rate, or this relay would slow down while
// relays with idle connections keep the endpoint to themselves.
func atConnectionLimit(a *response) bool {
	return a.status == 503 && !a.reusable && a.get("Wait-Ms") == "" && a.get("Slots-Taken") == ""
}
