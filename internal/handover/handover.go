// Package handover is what two processes of one relay agree on as one takes the other's place: what is passed on, how the disk
// is shared out meanwhile, and the course of the one that leaves. It does no I/O and reads no clock.
package handover

import (
	"encoding/json"
	"fmt"
	"time"

	"oatfold/internal/handover/sequence"
	"oatfold/internal/memory"
	"oatfold/policy"
)

// Update is what the process that leaves tells beside messages.
type Update struct {
	InFlightCalls []policy.InheritedCall `json:"out,omitempty"`     // calls that it has out
	RetryAfters   []RetryAfter           `json:"waits,omitempty"`   // told waits that are not over
	OwnedIDs      []string               `json:"known,omitempty"`   // ids that it took on and keeps: their calls are out
	LearnedState  *policy.LearnedState   `json:"learned,omitempty"` // what the module knows
	EndpointList  *EndpointList          `json:"list,omitempty"`    // the pool config
	Drained       bool                   `json:"drained,omitempty"` // the operators have emptied the relay

	PendingOrdered []sequence.Message      `json:"owes,omitempty"`    // of ordered classes: all that it still owes and does not give here
	Numbering      *memory.SharedNumbering `json:"numbers,omitempty"` // how both number messages from now on
}

// RetryAfter is a told wait.
type RetryAfter struct {
	Endpoint string    `json:"endpoint"`
	Dest     int       `json:"dest"`
	Until    time.Time `json:"until"` // wall clock: both processes read one
}

// EndpointList is the pool config as the process that leaves has it.
type EndpointList struct {
	Generation int64            `json:"generation"`
	Endpoints  []ListedEndpoint `json:"members"`
}

// ListedEndpoint is an endpoint of it.
type ListedEndpoint struct {
	Endpoint policy.Endpoint `json:"endpoint"`
	HostPort string          `json:"at"`
}

// Encode writes news.
func (u *Update) Encode() []byte {
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // plain values
	}
	return b
}

// Decode reads news.
func Decode(b []byte) (*Update, error) {
	update := &Update{}
	if err := json.Unmarshal(b, update); err != nil {
		return nil, fmt.Errorf("news of the process before: %w", err)
	}
	return update, nil
}

// JournalBudget is what a process's journal may take of the disk while another has a room as well: what it takes already, and half
// of what neither does.
func JournalBudget(total, own, others int64) int64 { return own + max(0, total-own-others)/2 }

// MaxTransferBytes is how much may be taken over at once where so much of the disk is free: it stands in two journals and the spool for a moment, beside the copy
// that cleaning makes.
func MaxTransferBytes(free int64) int64 { return min(max(0, free)/8, maxTransferBytes) }

const maxTransferBytes = 64 << 10

// Times of the process that leaves, from SIGTERM on.
const (
	StopListeningAfter = 450 * time.Millisecond  // without a word of its successor it closes its listener then, as at any planned stop
	ExitAfter          = 3450 * time.Millisecond // SIGKILL follows at 3.7 s
)

// Progress is what the process that leaves sees.
type Progress struct {
	Elapsed                time.Duration // since SIGTERM
	Listening              bool          // its listener is open
	SuccessorServing       bool          // its successor accepts clients
	ClientConns            int           // connections of clients
	CallsInFlight, Pending int           // calls out, and messages that it still owes something for
	NotTransferable        int           // of these, messages that can only be taken over with its room
}

// Action is what it does next.
type Action int

// The steps.
const (
	Continue      Action = iota
	StopListening        // empty the accept queue and close the listener
	Exit
)

// NextAction decides it.
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
