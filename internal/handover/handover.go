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

// News is what the process that leaves tells beside messages.
type News struct {
	Out     []policy.InheritedCall `json:"out,omitempty"`     // calls that it has out
	Waits   []Wait                 `json:"waits,omitempty"`   // told waits that are not over
	Known   []string               `json:"known,omitempty"`   // ids that it took on and keeps: their calls are out
	Learned *policy.LearnedState   `json:"learned,omitempty"` // what the module knows
	List    *List                  `json:"list,omitempty"`    // the pool config
	Drained bool                   `json:"drained,omitempty"` // the operators have emptied the relay

	Owes    []sequence.Message      `json:"owes,omitempty"`    // of ordered classes: all that it still owes and does not give here
	Numbers *memory.SharedNumbering `json:"numbers,omitempty"` // how both number messages from now on
}

// Wait is a told wait.
type Wait struct {
	Endpoint string    `json:"endpoint"`
	Dest     int       `json:"dest"`
	Until    time.Time `json:"until"` // wall clock: both processes read one
}

// List is the pool config as the process that leaves has it.
type List struct {
	Generation int64    `json:"generation"`
	Members    []Member `json:"members"`
}

// Member is an endpoint of it.
type Member struct {
	Endpoint policy.Endpoint `json:"endpoint"`
	HostPort string          `json:"at"`
}

// Encode writes news.
func (n *News) Encode() []byte {
	b, err := json.Marshal(n)
	if err != nil {
		panic(err) // plain values
	}
	return b
}

// Decode reads news.
func Decode(b []byte) (*News, error) {
	n := &News{}
	if err := json.Unmarshal(b, n); err != nil {
		return nil, fmt.Errorf("news of the process before: %w", err)
	}
	return n, nil
}

// Budget is what a process's journal may take of the disk while another has a room as well: what it takes already, and half
// of what neither does.
func Budget(all, mine, others int64) int64 { return mine + max(0, all-mine-others)/2 }

// Part is how much may be taken over at once where so much of the disk is free: it stands in two journals and the spool for a moment, beside the copy
// that cleaning makes.
func Part(free int64) int64 { return min(max(0, free)/8, partMost) }

const partMost = 64 << 10

// Times of the process that leaves, from SIGTERM on.
const (
	LetGoBy = 450 * time.Millisecond  // without a word of its successor it closes its listener then, as at any planned stop
	LeaveBy = 3450 * time.Millisecond // SIGKILL follows at 3.7 s
)

// Facts is what the process that leaves sees.
type Facts struct {
	Since       time.Duration // since SIGTERM
	Accepting   bool          // its listener is open
	Taken       bool          // its successor accepts clients
	Clients     int           // connections of clients
	Out, Held   int           // calls out, and messages that it still owes something for
	StaysBehind int           // of these, messages that can only be taken over with its room
}

// Step is what it does next.
type Step int

// The steps.
const (
	GoOn  Step = iota
	LetGo      // empty the accept queue and close the listener
	Exit
)

// Next decides it.
func Next(f Facts) Step {
	switch {
	case f.Since >= LeaveBy:
		return Exit
	case f.Accepting && (f.Taken || f.Since >= LetGoBy):
		return LetGo
	case !f.Accepting && f.Clients == 0 && f.Out == 0 && f.Held <= f.StaysBehind:
		return Exit
	}
	return GoOn
}
