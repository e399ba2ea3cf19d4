package journal

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"oatfold/internal/memory/journal/plan"
)

// Records wait in a batch, which Commit writes with one write to the active segment.

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
		j.markWritable()
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

// dropEntries removes the entries of one kind from the batch.
func (j *Journal) dropEntries(kind entryKind) {
	remaining, arena := j.batch[:0], j.arena[:0]
	for _, e := range j.batch {
		if e.kind == kind {
			if e.accepts {
				j.reserves.remove(e.number)
			}
		} else {
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
	if j.activeFile == nil || plan.ShouldSeal(j.config.Budget, j.validSize-int64(headerSize), j.batchBytes+maxBatchHeaderSize) ||
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

// needsAtomicBatch reports whether the batch has several records, at least one of which is void if
// not all are written. It prevents a restart from accepting messages that were rejected because
// their write failed half way and could not be truncated.
func (j *Journal) needsAtomicBatch() bool {
	return len(j.batch) > 1 && slices.ContainsFunc(j.batch, func(e entry) bool { return e.kind != entryRetained })
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
