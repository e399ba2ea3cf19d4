package wire

import (
	"errors"
	"fmt"
	"os"

	"oatfold/internal/transient"
	"oatfold/policy"
)

// This file is about attempts that end without an answer, and what that means for a repeat.

// Stage is how far a route step had come.
type Stage int

// The stages of a route step.
const (
	Started  Stage = iota // no connection yet
	Dialled               // the connection is up, the last byte is not written
	Written               // the last byte is written: from here on the call may have run
	Answered              // the first line of the answer was read
)

// AttemptError is the end of a route step without an answer. What it means for a repeat follows from the stage.
type AttemptError struct {
	Stage Stage
	Err   error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"not dialled", "dialled", "written", "answered"}[e.Stage], e.Err)
}

func (e *AttemptError) Unwrap() error { return e.Err }

// NeverRan tells whether the error proves that the endpoint has not run the call.
func (e *AttemptError) NeverRan() bool { return e.Stage < Written }

// Outcome is what the module is told.
func (e *AttemptError) Outcome() policy.Outcome {
	switch {
	case errors.Is(e.Err, errBlocked), errors.Is(e.Err, errConnectionCut), e.Stage == Started && transient.IsResourceExhaustion(e.Err):
		return policy.Unsent // it tells nothing of the endpoint
	case errors.Is(e.Err, errNewConnectionCut):
		return policy.RequestIncomplete
	case e.NeverRan():
		return policy.ConnectFailed
	case e.Stage == Answered, malformedAnswer(e.Err):
		// An answer came, but it tells nothing: unlike a lost one it says nothing against idle connections.
		return policy.Errored
	case errors.Is(e.Err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.ConnectionLost
}

// malformedAnswer tells whether the bytes that came were no answer.
func malformedAnswer(err error) bool {
	for _, e := range []error{errFirstLine, errHeader, errLength, errBodyTooLong, errHeaderTooLong, errTooManyInterim} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// errBlocked ends a call whose destination told a wait, or whose endpoint was drained, while it was dialled.
var errBlocked = errors.New("destination may not be sent to now")

// errConnectionCut ends a call whose connection spoke before the last byte was written, or ended so and had served other calls. It tells of
// that connection, not of the endpoint's health.
var errConnectionCut = errors.New("connection cut before the last byte")

// errNewConnectionCut ends a call whose new connection ended before the last byte was written: nothing gets through to the endpoint.
var errNewConnectionCut = errors.New("new connection cut before the last byte")

// earlyEndError names what a connection's end, or first byte, before the last byte of a call tells. err is nil where the endpoint spoke.
// Risk: an endpoint that takes connections and resets each uses up all attempts of a charge within a moment, and is never taken for out.
func (c *endpointConn) earlyEndError(err error) error {
	if err != nil && c.lastAnswerAt.IsZero() {
		return errNewConnectionCut
	}
	return errConnectionCut
}

// errConnectionLimit ends a call whose endpoint holds as many connections as it can.
var errConnectionLimit = errors.New("endpoint takes no further connection")

// atConnectionLimit tells whether an answer, the first on its connection, says that the endpoint takes no more of them: it turns the call away,
// tells no wait and closes. Risk: taken for a refusal above the limit, it lengthens the slot, while the relays that hold idle
// connections keep the endpoint to themselves.
func atConnectionLimit(a *response) bool {
	return a.status == 503 && !a.reusable && a.get("Wait-Ms") == "" && a.get("Slots-Taken") == ""
}
