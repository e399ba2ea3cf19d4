package client

import (
	"errors"
	"fmt"
	"time"
)

// Errors that errors.Is finds in an error of this package. The first five match an *Error by its
// outcome.
var (
	ErrRefused      = errors.New("rejected by relays")
	ErrFailed       = errors.New("not accepted")
	ErrGivenUp      = errors.New("given up: no time left")
	ErrUncertain    = errors.New("may have been accepted")
	ErrNotConnected = errors.New("no relay could be reached")

	ErrMessage = errors.New("client: invalid message")             // the message itself is at fault
	ErrFull    = errors.New("client: too many messages in flight") // returned by TryHandIn
	ErrClosed  = errors.New("client: closed")                      // Close was called
)

// Causes in the Err field of an Error.
var (
	errNoAnswer          = errors.New("no answer in time")
	errTimeUp            = errors.New("deadline exceeded")
	errRetryAfterTooLong = errors.New("Retry-After is longer than the time left")
)

// statusError is the status of an answer that did not accept the message.
type statusError int

// Error returns the text of the status.
func (e statusError) Error() string {
	return fmt.Sprintf("status %d", int(e))
}

// Error describes a message that no relay is known to have accepted. Stage is how far its last
// attempt came; the outcome Uncertain may also be due to an earlier attempt.
type Error struct {
	Outcome Outcome
	Stage   Stage
	Status  int           // HTTP status of the last attempt; 0 without an answer
	Relay   string        // address of the last attempt's relay
	Wait    time.Duration // after the last rejection
	Err     error         // the cause
}

// Error returns the outcome, the stage, the relay and the cause.

func (e *Error) Error() string {
	s := fmt.Sprintf("client: %s, %s", e.Outcome, e.Stage)
	if e.Relay != "" {
		s += " at " + e.Relay
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is matches the sentinel error of the outcome, and ErrNotConnected if the last attempt sent no
// byte.
func (e *Error) Is(target error) bool {
	switch target {
	case ErrRefused:
		return e.Outcome == Refused
	case ErrFailed:
		return e.Outcome == Failed
	case ErrGivenUp:
		return e.Outcome == GivenUp
	case ErrUncertain:
		return e.Outcome == Uncertain
	case ErrNotConnected:
		return e.Stage == NotConnected && e.Outcome == Failed
	}
	return false
}
