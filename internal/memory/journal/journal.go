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
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	MaxBodyBytes  int64       // bytes that journaled message bodies may use in memory; 0: no limit
	TimeScale     clock.Scale // time scale of the records; the zero value is the wall clock
	Log           *slog.Logger
	CompactInline bool // compact on the caller's goroutine, for tests that count operations
}

// Journal is the journal of one relay process. It is not safe for concurrent use.
type Journal struct {
	config              Config
	segments            []*segment // by number; the last one is active
	activeFile          File       // file of the active segment
	salt                uint32     // checksum salt of the active segment
	validSize           int64      // bytes of the active segment that hold complete records
	needsTruncate       bool       // data after validSize is still to be truncated
	writeRefused        bool       // a write to the active segment failed: the next goes to a new one
	segmentBytes        int64      // bytes on disk of all segments, in whole blocks
	locations           map[uint32]locations
	batch               []entry // records not written yet
	batchBytes          int64
	arena               []byte // encoded records of batch
	writeBuffer         []byte
	candidates          []plan.Segment
	maintenanceRuns     int64  // number of calls of Maintain
	lastCompactionCheck int64  // commit count at the last search for a segment to compact
	completedSeq        uint64 // sequence number of the last completed message
	remembered          *plan.CompletionWindow
	maxNumber           uint32 // largest message number
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

// location counts the bytes that the records of one message take in one segment. locations holds
// all of one message; the first is stored inline to save an allocation.
type (
	location struct {
		segment *segment
		bytes   int64
	}
	locations struct {
		first location
		rest  []location
	}
)

// entry is a record that waits for the next write.
type entry struct {
	start, end int      // offsets in the arena
	number     uint32   // message that the record belongs to; 0: see numbers and completed
	numbers    []uint32 // of an attempt with several messages
	kind       entryKind
	accepts    bool   // it is the accepted record of a message
	completed  uint32 // message that the record completes; 0: none
}

// entryKind selects what happens to a record that can't be written.
type entryKind int

const (
	entryRetained entryKind = iota // kept until it is written
	entryAccepted                  // dropped: its message is not accepted
	entryAttempt                   // dropped: its call is not made
)

// rotate seals the active segment and creates the next one.
func (j *Journal) rotate() error {
	seg := &segment{number: 1, messageBytes: map[uint32]int64{}}
	if n := len(j.segments); n > 0 {
		seg.number = j.segments[n-1].number + 1
	}
	f, err := j.config.FS.Create(seg.name())
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	salt := rand.Uint32()
	header := appendHeader(nil, seg.number, j.maxNumber, salt)
	if n, err := f.Write(header); err != nil || n < len(header) {
		f.Close()
		j.config.FS.Remove(seg.name())
		return fmt.Errorf("journal: %w", errors.Join(err, io.ErrShortWrite))
	}
	if j.activeFile != nil {
		j.activeFile.Close()
	}
	j.setSegmentSize(seg, int64(len(header)))
	j.activeFile, j.validSize, j.needsTruncate, j.writeRefused, j.salt = f, seg.size, false, false, salt
	j.segments = append(j.segments, seg)
	return nil
}

// createReserve creates the reserve file, whose space is released when the disk is full so that
// completions can still be written, or makes it smaller after the budget was lowered. If that fails,
// Maintain tries again.
func (j *Journal) createReserve() {
	size := plan.ReserveFileSize(j.config.Budget)
	if j.reserveSize > 0 && j.reserveSize <= size || size == j.reserveSize {
		return
	}
	if size == 0 {
		if j.config.FS.Remove(reserveName) == nil {
			j.reserveSize = 0
		}
		return
	}
	if err := writeFileAtomic(j.config.FS, reserveName, make([]byte, size), noPause); err == nil {
		j.reserveSize = size
	}
}

// Close stops compaction and closes the active segment. Records that were not committed are lost.
func (j *Journal) Close() error {
	if j.jobs != nil {
		close(j.jobs)
		for range j.results {
		}
		j.jobs = nil
	}
	return j.activeFile.Close()
}

// SetBudget sets the disk budget in bytes. Existing messages are kept.
func (j *Journal) SetBudget(budget int64) {
	j.config.Budget = budget
	j.remembered.SetLimit(plan.CompletionLimit(budget))
}

// usedBytes returns the space that all files use on disk.
func (j *Journal) usedBytes() int64 { return j.segmentBytes + j.reserveSize }

// Stats returns the current statistics.
func (j *Journal) Stats() Stats {
	j.stats.Segments, j.stats.UsedBytes = len(j.segments), j.usedBytes()
	return j.stats
}

// --- records ---

// beginRecord starts a record in the arena. The caller appends the payload, then calls endRecord.
func (j *Journal) beginRecord() { j.arena = beginFrame(j.arena) }

// endRecord finishes the record and adds it to the batch.
func (j *Journal) endRecord(e entry) {
	if n := len(j.batch); n > 0 {
		e.start = j.batch[n-1].end
	}
	e.end = len(j.arena)
	finishFrame(j.arena, e.start)
	j.batch = append(j.batch, e)
	j.batchBytes += int64(e.end - e.start)
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
	kind := recordAccepted
	journaledBytes, memoryOnlyBytes := table.BodyBytes()
	switch plan.ChooseBodyStorage(journaledBytes, memoryOnlyBytes, j.config.MaxBodyBytes, int64(len(m.Body)),
		plan.Fits(j.config.Budget, used, len(j.locations), recordSize),
		plan.Fits(j.config.Budget, used, len(j.locations), recordSize-int64(len(m.Body))), repeatable) {
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

// LimitBodyMemory releases the body of m, whose record is committed, if bodies exceed their memory
// limit.
func (j *Journal) LimitBodyMemory(table *memory.Table, m *memory.Message) {
	if journaled, _ := table.BodyBytes(); j.config.MaxBodyBytes > 0 && journaled > j.config.MaxBodyBytes &&
		!m.MemoryOnly && len(m.Body) > 0 {
		table.SpillBody(m)
	}
}

// ErrBodyLost is returned when a body can't be read back from the journal.
var ErrBodyLost = errors.New("journal: message body is not readable")

// BodyLoader returns a function that reads the body of m from the journal. The function blocks on
// disk I/O and may be called on any goroutine. It returns ErrBodyLost if the body can't be read.
func (j *Journal) BodyLoader(m *memory.Message) func() ([]byte, error) {
	recorded, ok := j.locations[m.Number]
	if !ok {
		return func() ([]byte, error) { return nil, ErrBodyLost }
	}
	// Compaction replaces the segment atomically: the name always leads to a file that holds the
	// record.
	name, fs, number, timeScale := recorded.first.segment.name(), j.config.FS, m.Number, j.config.TimeScale
	return func() (body []byte, err error) {
		raw, err := fs.Read(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBodyLost, err)
		}
		err = ErrBodyLost
		walkRecords(raw, func(_, _ int, payload []byte, bad error) {
			if bad == nil && err != nil && (payload[0] == recordAccepted || payload[0] == recordSnapshot) {
				if m := newRecordReader(payload, timeScale).message(); m.Number == number {
					body, err = m.Body, nil
				}
			}
		})
		return body, err
	}
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

// BatchFull reports whether the records that wait for Commit would fill a segment. More would make
// one that takes long to become free.
func (j *Journal) BatchFull() bool { return j.batchBytes >= plan.SegmentSize(j.config.Budget) }

// Commit writes the batch of records with one write. If acceptErr is set, the messages accepted
// since the last Commit are not accepted. If attemptErr is set, the attempts since the last Commit
// must not be made. Both wrap ErrUnavailable. Other records are kept and written as soon as the
// disk allows it.
func (j *Journal) Commit() (acceptErr, attemptErr error) {
	j.pollCompaction()
	if len(j.batch) == 0 {
		j.compactIfDue()
		return nil, nil
	}
	err := j.writeBatch()
	if err != nil && !j.unavailable && j.validSize > int64(headerSize) {
		err = j.writeBatch() // in a new segment, since the file size may be limited
	}
	if err == nil {
		j.unavailable = false
		j.compactIfDue()
		return nil, nil
	}
	if !j.unavailable {
		j.config.Log.Error("journal write failed; rejecting new messages", "err", err)
	}
	j.unavailable = true
	j.makeSpace()
	j.stats.Failures++
	acceptErr = fmt.Errorf("%w: %w", ErrUnavailable, err)
	// The reserve makes space for attempts and completions on a full disk. No message is accepted
	// until it can be created again.
	if j.dropEntries(entryAccepted); j.reserveSize > 0 && j.config.FS.Remove(reserveName) == nil {
		j.reserveSize = 0
	}
	defer j.compactIfDue() // it may use the space of the reserve as well
	if len(j.batch) > 0 && j.writeBatch() != nil {
		j.dropEntries(entryAttempt)
		return acceptErr, acceptErr
	}
	return acceptErr, nil
}

// Maintain is to be called at intervals, even when nothing is written. It handles finished
// compactions, repeats what a faulty disk refused, and detects that a full disk has space again.
func (j *Journal) Maintain() {
	j.maintenanceRuns++
	j.pollCompaction()
	j.truncateActive() // if it fails, the next write or call tries again
	j.compact()
	// On a full disk a compaction may need the space of the reserve for its copy. It gets that every
	// other time only: it may fail again and again.
	if j.reserveDeferred = j.unavailable && j.compacting && !j.reserveDeferred; !j.reserveDeferred {
		j.createReserve()
	}
	if j.unavailable && !j.reserveDeferred && j.reserveSize >= plan.ReserveFileSize(j.config.Budget) {
		j.unavailable = false
		j.remembered.SetLimit(plan.CompletionLimit(j.config.Budget))
		j.config.Log.Info("journal can be written again; accepting new messages")
	}
	j.reportFull()
}

// dropEntries removes the entries of one kind from the batch.
func (j *Journal) dropEntries(kind entryKind) {
	remaining, arena := j.batch[:0], j.arena[:0]
	for _, e := range j.batch {
		if e.kind != kind {
			start := len(arena)
			arena = append(arena, j.arena[e.start:e.end]...)
			e.start, e.end = start, len(arena)
			remaining = append(remaining, e)
		}
	}
	j.batch, j.arena, j.batchBytes = remaining, arena, int64(len(arena))
}

// writeBatch appends the batch to the active segment, or to a new one if that is full or refused
// the last write. If it fails, the batch is unchanged.
func (j *Journal) writeBatch() error {
	if err := j.truncateActive(); err != nil {
		return err
	}
	// After a failed write a new segment is used, since a limit on the file size would fail the
	// next write as well.
	if plan.ShouldSeal(j.config.Budget, j.validSize-int64(headerSize), j.batchBytes+maxBatchHeaderSize) ||
		j.writeRefused && j.validSize > int64(headerSize) {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	j.writeBuffer = j.writeBuffer[:0]
	if j.needsAtomicBatch() {
		j.writeBuffer = appendBatch(j.writeBuffer, len(j.arena), j.salt)
	}
	start := len(j.writeBuffer)
	j.writeBuffer = append(j.writeBuffer, j.arena...)
	for _, e := range j.batch {
		applySalt(j.writeBuffer[start+e.start:], j.salt)
	}
	n, err := j.activeFile.Write(j.writeBuffer)
	if err == nil && n < len(j.writeBuffer) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// Records whose write is reported as failed are removed before anything else is written.
		if j.writeRefused = true; n > 0 {
			j.needsTruncate = j.activeFile.Truncate(j.validSize) != nil
		}
		return err
	}
	seg := j.segments[len(j.segments)-1]
	for _, e := range j.batch {
		if e.accepts {
			seg.accepted.add(e.number)
		}
		if e.number != 0 {
			j.addRecordBytes(seg, e.number, int64(e.end-e.start))
		}
		for _, number := range e.numbers {
			j.addRecordBytes(seg, number, int64(e.end-e.start))
		}
		if e.completed != 0 {
			seg.completionBytes += int64(e.end - e.start)
			j.removeRecords(e.completed)
		}
	}
	j.validSize += int64(n)
	j.setSegmentSize(seg, j.validSize)
	j.stats.BytesWritten += int64(n)
	j.stats.Commits++
	j.stats.Records += int64(len(j.batch))
	j.batch, j.batchBytes, j.arena = j.batch[:0], 0, j.arena[:0]
	return nil
}

// truncateActive removes what a failed write left in the active segment, if that is still due.
func (j *Journal) truncateActive() error {
	if !j.needsTruncate {
		return nil
	}
	if err := j.activeFile.Truncate(j.validSize); err != nil {
		return err
	}
	j.needsTruncate = false
	return nil
}

// needsAtomicBatch reports whether the batch has several records, at least one of which is void if
// not all are written. It prevents a restart from accepting messages that were rejected because
// their write failed half way and could not be truncated.
func (j *Journal) needsAtomicBatch() bool {
	return len(j.batch) > 1 && slices.ContainsFunc(j.batch, func(e entry) bool { return e.kind != entryRetained })
}

// addRecordBytes counts bytes of seg as records of a pending message.
func (j *Journal) addRecordBytes(seg *segment, number uint32, bytes int64) {
	j.addLocation(number, location{seg, bytes})
	seg.messageBytes[number] += bytes
	seg.liveBytes += bytes
}

// removeRecords no longer counts the records of a message as those of a pending one.
func (j *Journal) removeRecords(number uint32) {
	known, ok := j.locations[number]
	if !ok {
		return
	}
	known.first.segment.liveBytes -= known.first.bytes
	delete(known.first.segment.messageBytes, number)
	for _, loc := range known.rest {
		loc.segment.liveBytes -= loc.bytes
		delete(loc.segment.messageBytes, number)
	}
	delete(j.locations, number)
}
