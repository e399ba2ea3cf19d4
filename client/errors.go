package client

import (
	"errors"
	"fmt"
	"time"
)

// What errors.Is finds in an error of this package.
var (
	ErrRefused      = errors.New("refused by relays")
	ErrFailed       = errors.New("not taken on")
	ErrGivenUp      = errors.New("given up: no time left")
	ErrUncertain    = errors.New("may have been taken on")
	ErrNotConnected = errors.New("no relay could be reached")

	ErrMessage = errors.New("client: message can't be handed in")  // the message itself is at fault
	ErrFull    = errors.New("client: too many messages in flight") // of TryHandIn
	ErrClosed  = errors.New("client: closed")
)

var (
	errNoAnswer          = errors.New("no answer in time")
	errTimeUp            = errors.New("time is up")
	errRetryAfterTooLong = errors.New("the wait that was told is longer than the time left")
)

// statusError is the cause of an answer that did not take the message on.
type statusError int

func (e statusError) Error() string {
	return fmt.Sprintf("status %d", int(e))
}

// Error is the end of a message that no relay is known to have taken on. Stage is how far its last hand-in came;
// Uncertain may also stem from an earlier one.
type Error struct {
	Outcome Outcome
	Stage   Stage
	Status  int           // that the relay answered, if it did
	Relay   string        // of the last hand-in
	Wait    time.Duration // that the last refusal told
	Err     error         // the last cause
}

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

// Unwrap returns the last cause.
func (e *Error) Unwrap() error { return e.Err }

// Is matches the sentinel of the outcome, and ErrNotConnected where no byte of the last hand-in went out.
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
