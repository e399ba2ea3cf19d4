// Package memory holds what a relay keeps: the message table, the pool config and the journal.
package memory

import (
	"time"

	"oatfold/policy"
)

// Message is one message that the relay owes its end, or has a route step out for.
type Message struct {
	Number         uint32 // its number towards the module, never used twice in a process
	ID             string // the client's correlation id
	Class          string
	IdempotencyKey string // idempotency key, passed on as it came
	Dest           int
	PluginNotes    []byte // what plug-ins noted as it came in, in their form
	Body           []byte
	SpilledBytes   int       // bytes of the body where it is in the journal only, and Body is nil
	MemoryOnly     bool      // the body is in memory only: it is lost with the process
	Deadline       time.Time // wall clock: outlives the process
	Terms                    // that it was taken on under
	Recovered      bool      // an earlier process took it on

	Attempts        int           // route steps begun, also in earlier lives
	MayHaveRunSince time.Time     // when the first step that may have run began; zero: none
	Unanswered      bool          // its client has not been answered yet
	Resubmitted     bool          // it was handed in once more
	InFlight        *Attempt      // the step that is out
	Notification    *Notification // the notice that is still to be taken by the platform
}

// Supersedes tells whether m is a later account than o of the same message, which two processes have held.
func (m *Message) Supersedes(o *Message) bool {
	return o.Notification == nil && (m.Notification != nil || m.Attempts > o.Attempts)
}

// Terms are what a message was taken on under. They bind it, whatever the settings say later.
type Terms struct {
	Effect       policy.Effect
	RepeatWindow time.Duration // Keyed: for how long partners drop repeats
	ZoneOnly     bool          // Keyed: only those of one zone do
	Tenant       string
	OrderingKey  string // of an ordered class: what it is about
}

// Attempt is one route step of one message that is out. Each gets exactly one end.
type Attempt struct {
	Number    int       // counted over all lives of the message
	StartedAt time.Time // when it began
}

// Notification ends a message that was taken on and is not delivered.
type Notification struct {
	Returned   bool          // handed back; else given up
	RetryAfter time.Duration // handed back: when to come again, 0 for no advice
}

// Table finds messages by number and by id. It is owned by one goroutine.
type Table struct {
	byNum map[uint32]*Message
	byID  map[string]*Message
	last  uint32
	live  int
	body  [2]int64          // bytes of bodies in memory: of those in the journal as well, and of those that are not
	over  map[string]uint64 // ids of the messages that were over last, and their ordinals
	order []over            // the same, oldest first; one whose ordinal is not the id's any more was forgotten
	overs uint64
	now   func() time.Time
	both  *SharedNumbering // two processes draw numbers; nil: this one alone
}

// over is one id of a message that is over, since at.
type over struct {
	id string
	no uint64
	at time.Time
}

// OverMost bounds the ids kept of messages that are over, and overFlood those that are younger than overKeep: a client whose connection was
// closed hands the same message in again within the time that it waits for an answer, 0.4 s. Guards against a flood of others that would
// have it taken on, and run, once more.
const (
	MaxCompletedIDs = 4096
	overKeep        = 2 * time.Second
	overFlood       = 1 << 16
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byNum: map[uint32]*Message{}, byID: map[string]*Message{}, over: map[string]uint64{}, now: time.Now}
}

// StartNumbersAfter makes numbers begin after n: those up to it may be in the journal.
func (t *Table) StartNumbersAfter(n uint32) { t.last = max(t.last, n) }

// MarkCompleted keeps id among those of the messages that were over last, some time ago.
func (t *Table) MarkCompleted(id string) { t.end(id, time.Time{}) }

// CompletedCount counts the ids that are kept of messages that are over.
func (t *Table) CompletedCount() int { return len(t.over) }

// NextNumber returns a number that no message of this table has had, larger than all that it returned before.
func (t *Table) NextNumber() uint32 {
	if t.last++; t.both != nil {
		t.last = t.both.draw(t.last)
	}
	return t.last
}

// Add enters m under its number and id.
func (t *Table) Add(m *Message) {
	t.byNum[m.Number], t.byID[m.ID] = m, m
	t.last = max(t.last, m.Number)
	t.body[m.place()] += int64(len(m.Body))
	if m.Notification == nil {
		t.live++
	}
}

// BodyBytes is how many bytes bodies in memory take: those that are in the journal as well, and those that are not kept.
func (t *Table) BodyBytes() (kept, unkept int64) { return t.body[0], t.body[1] }

func (m *Message) place() int {
	if m.MemoryOnly {
		return 1
	}
	return 0
}

// SpillBody lets go of the body of m, which is in the journal.
func (t *Table) SpillBody(m *Message) {
	t.body[m.place()] -= int64(len(m.Body))
	m.SpilledBytes, m.Body = len(m.Body), nil
}

// BodySize is how many bytes the body of m has, wherever it is.
func (m *Message) BodySize() int { return max(m.SpilledBytes, len(m.Body)) }

// Get returns the message of that number, nil if it is over.
func (t *Table) Get(num uint32) *Message { return t.byNum[num] }

// ByID returns the message of that correlation id, nil if it is not held.
func (t *Table) ByID(id string) *Message { return t.byID[id] }

// MarkUndelivered books that m is ended and only its notice is owed.
func (t *Table) MarkUndelivered(m *Message, n Notification) {
	if m.Notification == nil {
		t.live--
	}
	t.body[m.place()] -= int64(len(m.Body))
	m.Notification, m.Body, m.SpilledBytes = &n, nil, 0
}

// Remove forgets m: nothing more is owed.
func (t *Table) Remove(m *Message) {
	if t.byNum[m.Number] != m {
		return
	}
	delete(t.byNum, m.Number)
	t.body[m.place()] -= int64(len(m.Body))
	if t.byID[m.ID] == m {
		delete(t.byID, m.ID)
		t.end(m.ID, t.now())
	}
	if m.Notification == nil {
		t.live--
	}
}

// end keeps id among those of the messages that were over last.
func (t *Table) end(id string, now time.Time) {
	if _, there := t.over[id]; there {
		return
	}
	t.overs++
	t.over[id], t.order = t.overs, append(t.order, over{id, t.overs, now})
	for n := len(t.order); n > MaxCompletedIDs && (n > overFlood || t.now().Sub(t.order[0].at) > overKeep); n = len(t.order) {
		if old := t.order[0]; t.over[old.id] == old.no {
			delete(t.over, old.id)
		}
		t.order[0], t.order = over{}, t.order[1:]
	}
}

// RecentlyCompleted tells whether a message of that id was over a short while ago. Guards against taking on, and running, an id
// that somebody hands in again once its message is delivered.
func (t *Table) RecentlyCompleted(id string) bool {
	_, there := t.over[id]
	return there
}

// CompletedIDs lists the ids that are kept of messages that are over, the oldest first.
func (t *Table) CompletedIDs() (ids []string) {
	for _, o := range t.order {
		if t.over[o.id] == o.no {
			ids = append(ids, o.id)
		}
	}
	return ids
}

// ForgetCompleted drops id from those that are over: it may be taken on anew.
func (t *Table) ForgetCompleted(id string) { delete(t.over, id) } // its place stays until its turn

// PendingCount counts the messages that are not ended.
func (t *Table) PendingCount() int { return t.live }

// All returns every message, in no order.
func (t *Table) All() map[uint32]*Message { return t.byNum }
