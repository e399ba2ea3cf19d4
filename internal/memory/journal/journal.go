// Package journal stores the messages of a relay in append-only segments. The records of one
// event-loop iteration are written with one write. Sealed segments are compacted in the background:
// each is rewritten without the records of completed messages and replaced by an atomic rename, so
// that the directory always holds all committed records. Writes are not synced: they survive the
// process but not a crash of the machine.
//
// A Journal is not safe for concurrent use. Only Close waits for compaction.
package journal

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// ErrFull is returned when a record would exceed the disk budget.
var ErrFull = errors.New("journal: disk budget exceeded")

// ErrUnavailable is returned while records cannot be written, or the reserve file cannot be
// created. Each Commit with records retries the write.
var ErrUnavailable = errors.New("journal: records cannot be written")

const (
	segmentExt  = ".seg"
	legacyExt   = ".log"
	tmpExt      = ".tmp"
	reserveName = "reserve"
)

// Config holds the parameters of a journal.
type Config struct {
	FS            FS
	Budget        int64       // bytes that all files together may use
	NoReserve     bool        // no reserve file until EnableReserve: no message is accepted yet
	MaxBodyBytes  int64       // bytes that journaled message bodies may use in memory; 0: no limit
	TimeScale     clock.Scale // time scale of the records; the zero value is the wall clock
	Log           *slog.Logger
	CompactInline bool // compact on the caller's goroutine, for tests that count operations
}

// Journal is the journal of one relay process. It is not safe for concurrent use.
type Journal struct {
	config              Config
	segments            []*segment // by number; the last one is active
	activeFile          File       // file of the active segment; nil: none could be created yet
	salt                uint32     // checksum salt of the active segment
	validSize           int64      // bytes of the active segment that hold complete records
	needsTruncate       bool       // data after validSize is still to be truncated
	writeRefused        bool       // a write to the active segment failed: the next goes to a new one
	segmentBytes        int64      // bytes on disk of all segments, in whole blocks
	locations           map[uint32]locations
	reserves            reserves // for the remaining records of pending messages
	batch               []entry  // records not written yet
	batchBytes          int64
	arena               []byte // encoded records of batch
	writeBuffer         []byte
	candidates          []plan.Segment
	maintenanceRuns     int64  // number of calls of Maintain
	lastCompactionCheck int64  // commit count at the last search for a segment to compact
	completedSeq        uint64 // sequence number of the last completed message
	remembered          *plan.CompletionWindow
	maxNumber           uint32 // largest message number
	fullBudget          int64  // config.Budget, unless that is a share of it
	unavailable         bool   // the last write failed
	reserveSize         int64  // size of the reserve file; 0: there is none
	reserveDeferred     bool   // the last Maintain left the reserve's space to a compaction
	jobs                chan compactionJob
	results             chan compactionResult
	compacting          bool  // a compaction is running
	copyBytes           int64 // that it writes, at most
	compactionWanted    bool  // search for a segment to compact with the next Commit
	refused             bool  // the latest message was refused, or is in memory only, for lack of space
	refusedForSpace     int   // messages refused or kept in memory only since the last Maintain
	stats               Stats
}

// Stats counts events since the journal was opened. Segments and UsedBytes are current values.
type Stats struct {
	BytesWritten, Commits, Records, Failures int64
	Compactions, CompactedBytes              int64 // compactions, and bytes written for them
	Merges                                   int64 // compactions that merged several segments
	Segments                                 int
	UsedBytes                                int64
}

// Close stops compaction and closes the active segment. Records that were not committed are lost.
func (j *Journal) Close() error {
	if j.jobs != nil {
		close(j.jobs)
		for range j.results {
		}
		j.jobs = nil
	}
	if j.activeFile == nil {
		return nil
	}
	return j.activeFile.Close()
}

// SetBudget sets the disk budget in bytes. Existing messages are kept.
func (j *Journal) SetBudget(budget int64) {
	j.fullBudget = budget
	j.remembered.SetLimit(plan.CompletionLimit(budget))
	j.config.Budget = budget
}

// SetShare sets the disk budget in bytes for as long as another process needs the rest. Unlike
// SetBudget it forgets no completion and keeps the reserve file.
func (j *Journal) SetShare(budget int64) { j.config.Budget = budget }

// EnableReserve creates the reserve file, if there is none and the budget has room for one. Without
// it no message is accepted.
func (j *Journal) EnableReserve() {
	j.config.NoReserve = false
	if j.reserveSize == 0 && !j.unavailable && j.activeFile != nil {
		j.createReserve() // if that fails, Maintain tries again
	}
}

// SetMaxAttempts sets the limit of attempts for a message, whose records are reserved for.
func (j *Journal) SetMaxAttempts(limit int) { j.reserves.maxAttempts = limit }

// Stats returns the current statistics.
func (j *Journal) Stats() Stats {
	j.stats.Segments, j.stats.UsedBytes = len(j.segments), j.usedBytes()
	return j.stats
}

// beginPayload appends the record type and the message number.
func beginPayload(b []byte, kind byte, number uint32) []byte {
	return binary.AppendUvarint(append(b, kind), uint64(number))
}

// AppendAccepted records that m is accepted and adds it to table. The client may be answered only
// after Commit succeeds; if it fails, the caller removes m from the table. If there is no space for
// the body, a message that is not repeatable may be accepted with its body in memory only;
// m.MemoryOnly is then set. AppendAccepted returns ErrFull or ErrUnavailable if m can't be
// accepted.
func (j *Journal) AppendAccepted(table *memory.Table, m *memory.Message, repeatable bool) error {
	if j.unavailable || j.reserveSize == 0 && plan.ReserveFileSize(j.config.Budget) > 0 {
		return ErrUnavailable // without the reserve there may be no space for the completion
	}
	recordSize := int64(frameHeaderSize + 40 + len(m.ID) + len(m.Class) + len(m.IdempotencyKey) + len(m.Body) +
		len(m.PluginNotes) + len(m.Tenant) + len(m.OrderingKey))
	used := j.usedBytes() + j.batchBytes + plan.CopyReserve(j.config.Budget, j.copyBytes)
	reserved := j.reserves.bytes() + plan.MessageReserve(j.reserves.maxAttempts, len(m.ID))
	kind := recordAccepted
	journaledBytes, memoryOnlyBytes := table.BodyBytes()
	switch plan.ChooseBodyStorage(journaledBytes, memoryOnlyBytes, j.config.MaxBodyBytes, int64(len(m.Body)),
		plan.Fits(j.config.Budget, used, reserved, recordSize),
		plan.Fits(j.config.Budget, used, reserved, recordSize-int64(len(m.Body))), repeatable) {
	case plan.MemoryAndJournal, plan.JournalOnly:
		j.refused = false
	case plan.NotStored:
		j.noteRefusedForSpace()
		return ErrFull
	case plan.MemoryOnly:
		j.noteRefusedForSpace()
		kind, m.MemoryOnly = recordAcceptedMemoryOnly, true
	}
	j.maxNumber = max(j.maxNumber, m.Number)
	j.reserves.add(m)
	j.beginRecord()
	j.arena = appendTerms(appendMessage(append(j.arena, kind), m, j.config.TimeScale), m.Terms)
	if j.endRecord(entry{number: m.Number, kind: entryAccepted, accepts: true}); len(m.PluginNotes) > 0 {
		j.beginRecord()
		j.arena = appendText(beginPayload(j.arena, recordPluginNotes, m.Number), m.PluginNotes)
		j.endRecord(entry{number: m.Number, kind: entryAccepted})
	}
	table.Add(m)
	return nil
}

// AppendAttempt records that an attempt starts with these messages, one at least. The first byte of
// the call may be sent only after Commit succeeds.
func (j *Journal) AppendAttempt(startedAt time.Time, messages []*memory.Message) {
	j.beginRecord()
	j.arena = binary.AppendVarint(append(j.arena, recordAttempt), j.config.TimeScale.Date(startedAt))
	e := entry{number: messages[0].Number, kind: entryAttempt}
	for _, m := range messages {
		j.arena = binary.AppendUvarint(j.arena, uint64(m.Number))
		if len(messages) > 1 {
			e.number, e.numbers = 0, append(e.numbers, m.Number)
		}
	}
	j.endRecord(e)
}

// AppendNotRun records that the latest attempt for m did not run.
func (j *Journal) AppendNotRun(m *memory.Message) {
	j.beginRecord()
	j.arena = beginPayload(j.arena, recordNotRun, m.Number)
	j.endRecord(entry{number: m.Number})
}

// AppendUndelivered records that m was not delivered, with m.Notification outstanding.
func (j *Journal) AppendUndelivered(m *memory.Message) {
	j.beginRecord()
	j.arena = appendNotification(beginPayload(j.arena, recordUndelivered, m.Number), *m.Notification)
	j.endRecord(entry{number: m.Number})
}

// AppendCompleted records that m is completed. Its id is remembered, also by later processes, until
// memory.MaxCompletedIDs later ones are, or a quarter of the budget holds later ones; unless the
// message is resubmittable: it may then be accepted again.
func (j *Journal) AppendCompleted(m *memory.Message, resubmittable bool) {
	j.completedSeq++
	id := m.ID
	if resubmittable {
		id = ""
	}
	j.beginRecord()
	j.arena = appendText(binary.AppendUvarint(beginPayload(j.arena, recordCompleted, m.Number), j.completedSeq), id)
	j.endRecord(entry{completed: m.Number})
	size := 0
	if id != "" {
		latest := j.batch[len(j.batch)-1]
		size = latest.end - latest.start
	}
	j.remembered.Add(j.completedSeq, int64(size))
}

// Maintain is to be called at intervals, even when nothing is written. It handles finished
// compactions, repeats what a faulty disk refused, and detects that a full disk has space again.
func (j *Journal) Maintain() {
	j.maintenanceRuns++
	j.pollCompaction()
	// If one of these fails, the next write or call tries again.
	j.truncateActive()
	if j.activeFile == nil {
		j.rotate()
	}
	j.compact()
	// On a full disk a compaction may need the space of the reserve for its copy. It gets that
	// every other time only: it may fail again and again.
	j.reserveDeferred = j.unavailable && j.compacting && !j.reserveDeferred
	if !j.reserveDeferred && j.createReserve() && j.unavailable && j.activeFile != nil {
		j.markWritable()
		j.config.Log.Info("journal can be written again; accepting new messages")
	}
	j.reportFull()
}
