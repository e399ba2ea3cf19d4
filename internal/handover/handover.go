// Package handover defines what two processes of one relay agree on while one replaces the other:
// the state that is transferred, and what the leaving process does when. Package share divides
// their limits meanwhile. It does no I/O and reads no clock.
package handover

import (
	"encoding/json"
	"fmt"
	"time"

	"oatfold/internal/handover/sequence"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
	"oatfold/policy"
)

// Update is the state that the leaving process sends in addition to messages.
type Update struct {
	InFlightCalls []policy.InheritedCall `json:"out,omitempty"`     // calls that it has in flight
	RetryAfters   []RetryAfter           `json:"waits,omitempty"`   // Retry-After intervals still running
	OwnedIDs      []string               `json:"known,omitempty"`   // ids of accepted messages in flight at the sender
	LearnedState  *policy.LearnedState   `json:"learned,omitempty"` // what its policy engine has learned
	EndpointList  *EndpointList          `json:"list,omitempty"`
	Drained       *bool                  `json:"drained,omitempty"`     // operators have drained the relay; nil: not told
	Incarnation   uint32                 `json:"incarnation,omitempty"` // in the fleet; 0: members are not tracked

	SitesOut []string `json:"sites_out,omitempty"` // zones that operators have taken out

	Kept *share.Kept `json:"kept,omitempty"` // what the sender keeps of the limits; nil: an earlier version

	PendingOrdered []sequence.Message      `json:"owes,omitempty"`    // pending messages of ordered classes
	Numbering      *memory.SharedNumbering `json:"numbers,omitempty"` // how both processes number messages from now on
}

// RetryAfter is a Retry-After interval of an endpoint.
type RetryAfter struct {
	Endpoint string    `json:"endpoint"`
	Dest     int       `json:"dest"`
	Until    time.Time `json:"until"` // wall-clock time, which both processes share
}

// EndpointList is the endpoint list of the leaving process.
type EndpointList struct {
	Generation int64            `json:"generation"`
	Endpoints  []ListedEndpoint `json:"members"`
}

// ListedEndpoint is one endpoint of an EndpointList.
type ListedEndpoint struct {
	Endpoint policy.Endpoint `json:"endpoint"`
	HostPort string          `json:"at"`
}

// ForRestart returns the part of an adopted update that a successor which is killed and starts
// again has to know: what is still pending at the sender, and what that one keeps. All else is
// older by then than what the relay has seen or was ordered since.
func (u *Update) ForRestart() *Update {
	kept := *u
	kept.Drained, kept.SitesOut, kept.EndpointList, kept.LearnedState = nil, nil, nil, nil
	return &kept
}

// Encode returns the update as JSON.
func (u *Update) Encode() []byte {
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return b
}

// Decode reads an update that Encode wrote.
func Decode(b []byte) (*Update, error) {
	update := &Update{}
	if err := json.Unmarshal(b, update); err != nil {
		return nil, fmt.Errorf("update of the previous process: %w", err)
	}
	return update, nil
}

// Times of the leaving process, counted from SIGTERM.
const (
	StopListeningAfter = 450 * time.Millisecond  // when the listener closes even if no successor serves
	ExitAfter          = 3450 * time.Millisecond // SIGKILL follows 3.7 s after SIGTERM
)

// Progress is what the leaving process observes.
type Progress struct {
	Elapsed                time.Duration // since SIGTERM
	Listening              bool          // the listener is open
	SuccessorServing       bool          // the successor accepts clients
	ClientConns            int           // open client connections
	CallsInFlight, Pending int           // calls, and messages that still need work here
	NotTransferable        int           // pending messages that can only be adopted with their process directory
}

// Action is what the leaving process does next.
type Action int

// Actions of the leaving process.
const (
	Continue      Action = iota
	StopListening        // accept what is queued, then close the listener
	Exit
)

// NextAction returns what the leaving process does next.
func NextAction(p Progress) Action {
	switch {
	case p.Elapsed >= ExitAfter:
		return Exit
	case p.Listening && (p.SuccessorServing || p.Elapsed >= StopListeningAfter):
		return StopListening
	case !p.Listening && p.ClientConns == 0 && p.CallsInFlight == 0 && p.Pending <= p.NotTransferable:
		return Exit
	}
	return Continue
}
