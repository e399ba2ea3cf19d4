// Package memory holds the state of a relay: the message table and the endpoint list. The journal
// stores the messages on disk.
package memory

import (
	"time"

	"oatfold/policy"
)

// Message is an accepted message that is not completed yet, or whose attempt is still in flight.
type Message struct {
	Number         uint32 // identifies the message to the policy engine; never reused within a process
	ID             string // correlation id of the client
	Class          string
	IdempotencyKey string // idempotency key, forwarded unchanged
	Dest           int
	PluginNotes    []byte // notes of plug-ins on the request, opaque to the relay
	Body           []byte
	SpilledBytes   int       // size of a body that is only in the journal; Body is then nil
	MemoryOnly     bool      // the body is not in the journal and is lost with the process
	Deadline       time.Time // wall clock, valid across restarts
	Terms                    // conditions that the message was accepted under
	Recovered      bool      // accepted by an earlier process

	Attempts        int           // attempts started, including those of earlier processes
	MayHaveRunSince time.Time     // start of the first attempt that may have run; zero: none
	Unanswered      bool          // the client has not been answered yet
	Resubmitted     bool          // the client has submitted the message again
	InFlight        *Attempt      // attempt in flight; nil: none
	Notification    *Notification // outcome that the platform has yet to confirm; nil: none
}

// Supersedes reports whether m is a later state than other of the same message, which two processes
// have held.
func (m *Message) Supersedes(other *Message) bool {
	return other.Notification == nil && (m.Notification != nil || m.Attempts > other.Attempts)
}

// Terms are the conditions that a message was accepted under. They stay in force for it when the
// settings change.
type Terms struct {
	Effect       policy.Effect
	RepeatWindow time.Duration // Keyed: how long partners discard repeats
	ZoneOnly     bool          // Keyed: only endpoints in the same zone discard repeats
	Tenant       string
	OrderingKey  string // ordering key of a message of an ordered class
}

// Attempt is one attempt in flight for one message. Each attempt ends exactly once.
type Attempt struct {
	Number    int       // counts all attempts for the message, across restarts
	StartedAt time.Time // wall clock
}

// Notification reports to the platform that an accepted message was not delivered.
type Notification struct {
	Returned   bool          // returned to the client; otherwise given up
	RetryAfter time.Duration // for a returned message: delay before the client retries; 0: none given
}

// Table indexes messages by number and by id. It is not safe for concurrent use.
type Table struct {
	byNumber        map[uint32]*Message
	byID            map[string]*Message
	lastNumber      uint32
	pendingCount    int
	bodyBytes       [2]int64          // bytes of bodies in memory: [0] also in the journal, [1] in memory only
	completed       map[string]uint64 // sequence numbers of recently completed messages, by id
	completionOrder []completedID     // the same, oldest first; stale if the sequence numbers differ
	completedSeq    uint64
	now             func() time.Time
	shared          *SharedNumbering // set while two processes assign numbers; nil: only this one does
}

// completedID is the id of a completed message.
type completedID struct {
	id          string
	sequence    uint64
	completedAt time.Time
}

// Limits on the ids remembered of completed messages. A client whose connection was closed may
// submit the same message again while it waits for an answer, for 0.4 s. The larger limit applies
// to ids younger than completedRetention, so that a burst of other messages doesn't make the relay
// accept and run a message twice.
const (
	MaxCompletedIDs       = 4096
	completedRetention    = 2 * time.Second
	maxRecentCompletedIDs = 1 << 16
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byNumber: map[uint32]*Message{}, byID: map[string]*Message{}, completed: map[string]uint64{}, now: time.Now,
	}
}

// StartNumbersAfter makes the table assign numbers above n. Those up to n may be in the journal.
func (t *Table) StartNumbersAfter(n uint32) { t.lastNumber = max(t.lastNumber, n) }

// MarkCompleted remembers id as that of a message completed at an unknown time in the past.
func (t *Table) MarkCompleted(id string) { t.addCompleted(id, time.Time{}) }

// CompletedCount returns how many ids of completed messages are remembered.
func (t *Table) CompletedCount() int { return len(t.completed) }

// NextNumber returns a message number that is larger than all it returned before.
func (t *Table) NextNumber() uint32 {
	if t.lastNumber++; t.shared != nil {
		t.lastNumber = t.shared.next(t.lastNumber)
	}
	return t.lastNumber
}

// Add indexes m by its number and id.
func (t *Table) Add(m *Message) {
	t.byNumber[m.Number], t.byID[m.ID] = m, m
	t.lastNumber = max(t.lastNumber, m.Number)
	t.bodyBytes[m.bodyIndex()] += int64(len(m.Body))
	if m.Notification == nil {
		t.pendingCount++
	}
}

// BodyBytes returns the size of the bodies in memory: of those that are in the journal as well, and
// of those that are in memory only.
func (t *Table) BodyBytes() (journaled, memoryOnly int64) { return t.bodyBytes[0], t.bodyBytes[1] }

// bodyIndex returns the index of m in Table.bodyBytes.
func (m *Message) bodyIndex() int {
	if m.MemoryOnly {
		return 1
	}
	return 0
}

// SpillBody releases the body of m from memory. It must be in the journal.
func (t *Table) SpillBody(m *Message) {
	t.bodyBytes[m.bodyIndex()] -= int64(len(m.Body))
	m.SpilledBytes, m.Body = len(m.Body), nil
}

// BodySize returns the size of the body in bytes, whether or not it is in memory.
func (m *Message) BodySize() int { return max(m.SpilledBytes, len(m.Body)) }

// Get returns the message with that number, or nil if there is none.
func (t *Table) Get(number uint32) *Message { return t.byNumber[number] }

// ByID returns the message with that correlation id, or nil if there is none.
func (t *Table) ByID(id string) *Message { return t.byID[id] }

// MarkUndelivered ends m without delivery. Its notification is outstanding and its body is
// released.
func (t *Table) MarkUndelivered(m *Message, notification Notification) {
	if m.Notification == nil {
		t.pendingCount--
	}
	t.bodyBytes[m.bodyIndex()] -= int64(len(m.Body))
	m.Notification, m.Body, m.SpilledBytes = &notification, nil, 0
}

// Remove removes the completed message m and remembers its id.
func (t *Table) Remove(m *Message) {
	if t.byNumber[m.Number] != m {
		return
	}
	delete(t.byNumber, m.Number)
	t.bodyBytes[m.bodyIndex()] -= int64(len(m.Body))
	if t.byID[m.ID] == m {
		delete(t.byID, m.ID)
		t.addCompleted(m.ID, t.now())
	}
	if m.Notification == nil {
		t.pendingCount--
	}
}

// addCompleted remembers id as completed and drops the oldest ids beyond the limits.
func (t *Table) addCompleted(id string, completedAt time.Time) {
	if _, known := t.completed[id]; known {
		return
	}
	t.completedSeq++
	t.completed[id], t.completionOrder = t.completedSeq,
		append(t.completionOrder, completedID{id, t.completedSeq, completedAt})
	for n := len(t.completionOrder); n > MaxCompletedIDs && (n > maxRecentCompletedIDs ||
		t.now().Sub(t.completionOrder[0].completedAt) > completedRetention); n = len(t.completionOrder) {
		if oldest := t.completionOrder[0]; t.completed[oldest.id] == oldest.sequence {
			delete(t.completed, oldest.id)
		}
		t.completionOrder[0], t.completionOrder = completedID{}, t.completionOrder[1:]
	}
}

// RecentlyCompleted reports whether id is remembered as completed. It prevents a delivered message
// from being accepted and run again.
func (t *Table) RecentlyCompleted(id string) bool {
	_, known := t.completed[id]
	return known
}

// CompletedIDs lists the remembered ids of completed messages, oldest first.
func (t *Table) CompletedIDs() (ids []string) {
	for _, entry := range t.completionOrder {
		if t.completed[entry.id] == entry.sequence {
			ids = append(ids, entry.id)
		}
	}
	return ids
}

// ForgetCompleted forgets the completed id, so that a message with it may be accepted again. The
// stale entry in completionOrder is dropped later.
func (t *Table) ForgetCompleted(id string) { delete(t.completed, id) }

// PendingCount returns the number of messages that have not ended.
func (t *Table) PendingCount() int { return t.pendingCount }

// All returns all messages by number. The caller must not modify the map.
func (t *Table) All() map[uint32]*Message { return t.byNumber }
