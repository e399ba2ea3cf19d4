package journal

import (
	"io"
	"slices"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// Compaction: sealed segments are rewritten without the records of completed messages.

// Compaction pauses after each chunk, so that it leaves processor time to the event loop.
const (
	compactionChunk = 64 << 10 // bytes
	compactionPause = 50 * time.Microsecond
)

func noPause() {}

// writeFileAtomic writes a temporary file in chunks, calling pause after each, and renames it to
// name.
func writeFileAtomic(fs FS, name string, content []byte, pause func()) error {
	tmp := name + tmpExt
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	for len(content) > 0 && err == nil {
		part := content[:min(len(content), compactionChunk)]
		var n int
		if n, err = f.Write(part); err == nil && n < len(part) {
			err = io.ErrShortWrite
		}
		content = content[len(part):]
		pause()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = fs.Rename(tmp, name)
	}
	if err != nil {
		fs.Remove(tmp)
	}
	return err
}

// compactionJob describes a segment to compact. It holds all that is needed, since it runs on
// another goroutine.
type compactionJob struct {
	segment           *segment
	name              string
	liveNumbers       []uint32 // numbers of pending messages with records in the segment
	retainFromSeq     uint64   // completion records from this sequence number on are retained
	hasEarlierRecords bool     // an older segment may still hold the accepted record of a message
	activeNumber      uint64   // number of the active segment when the job was created
	completedSeq      uint64   // of the journal at the same time
	urgent            bool     // space is short: run without pauses
}

// compactionResult is the outcome of a compactionJob.
type compactionResult struct {
	compactionJob
	retainsCompletions bool // some completion records are retained for the sake of an older segment
	// size is that of the new file; 0: it was empty and is removed. retainedBytes are those in it
	// that belong to no pending message.
	size, retainedBytes int64
	err                 error
}

// commitsPerCompactionCheck is the number of commits between two searches for a segment to compact,
// unless one is wanted earlier.
const commitsPerCompactionCheck = 8

// compactIfDue searches for a segment to compact if one is wanted, or some commits after the last
// search.
func (j *Journal) compactIfDue() {
	if j.compactionWanted || j.config.CompactInline ||
		j.stats.Commits-j.lastCompactionCheck >= commitsPerCompactionCheck {
		j.compact()
	}
}

// compact starts the compaction of a segment if that is worthwhile.
func (j *Journal) compact() {
	if j.compacting || j.needsTruncate {
		return
	}
	j.compactionWanted, j.lastCompactionCheck = false, j.stats.Commits
	candidates := j.candidates[:0]
	for i, seg := range j.segments {
		if seg.retainedBytes > 0 && j.completedSeq-seg.retainedAtSeq > memory.MaxCompletedIDs ||
			seg.retainsCompletions && !j.hasEarlierRecords(i) {
			seg.retainedBytes, seg.retainsCompletions = 0, false // the retained records are no longer needed
		}
		candidates = append(candidates, plan.Segment{
			Size: seg.size, LiveBytes: seg.liveBytes, RetainedBytes: seg.retainedBytes,
			Busy: seg.busy || i == len(j.segments)-1,
		})
	}
	j.candidates = candidates
	i := plan.ChooseSegment(j.config.Budget, j.usedBytes(), len(j.locations), candidates)
	if i < 0 {
		return
	}
	seg := j.segments[i]
	job := compactionJob{
		segment:      seg,
		name:         seg.name(),
		liveNumbers:  make([]uint32, 0, len(seg.messageBytes)),
		activeNumber: j.segments[len(j.segments)-1].number,
		completedSeq: j.completedSeq,
		urgent:       plan.Urgent(j.config.Budget, j.usedBytes(), candidates),
	}
	for number := range seg.messageBytes {
		job.liveNumbers = append(job.liveNumbers, number)
	}
	job.retainFromSeq = j.completedSeq - min(j.completedSeq, memory.MaxCompletedIDs) + 1
	job.hasEarlierRecords = j.hasEarlierRecords(i)
	seg.busy, j.compacting = true, true
	if j.config.CompactInline {
		j.finishCompaction(job.run(j.config.FS, noPause))
		return
	}
	j.jobs <- job
}

// hasEarlierRecords reports whether an older segment may still hold the accepted record of a
// message that is completed in segment index: one that was not compacted since that segment was
// sealed.
func (j *Journal) hasEarlierRecords(index int) bool {
	for _, earlier := range j.segments[:index] {
		if earlier.compactedAt <= j.segments[index].number {
			return true
		}
	}
	return false
}

// pollCompaction handles a finished compaction, if there is one.
func (j *Journal) pollCompaction() {
	select {
	case r := <-j.results:
		j.finishCompaction(r)
	default:
	}
}

// finishCompaction updates the journal after the compaction of a segment.
func (j *Journal) finishCompaction(result compactionResult) {
	seg := result.segment
	seg.busy, j.compacting = false, false
	if result.err != nil {
		j.config.Log.Error("journal segment compaction failed", "segment", result.name, "err", result.err)
		seg.retainedBytes, seg.retainedAtSeq = seg.size-seg.liveBytes, j.completedSeq // don't retry soon
		return
	}
	j.compactionWanted = true // others may have waited
	j.stats.Compactions++
	j.stats.CompactedBytes += result.size
	seg.compactedAt = result.activeNumber
	if result.size == 0 {
		j.setSegmentSize(seg, 0)
		j.segments = slices.DeleteFunc(j.segments, func(s *segment) bool { return s == seg })
		return
	}
	j.setSegmentSize(seg, result.size)
	seg.retainedBytes, seg.retainedAtSeq, seg.retainsCompletions =
		result.retainedBytes, result.completedSeq, result.retainsCompletions
}

// run rewrites the segment without the records that are no longer needed, by an atomic rename.
// Corrupt records, which were reported when the journal was opened, are removed as well.
func (job compactionJob) run(fs FS, pause func()) (result compactionResult) {
	result.compactionJob = job
	raw, err := fs.Read(job.name)
	pause()
	if err != nil {
		result.err = err
		return result
	}
	slices.Sort(job.liveNumbers)
	compacted := append([]byte(nil), raw[:headerSize]...)
	// The completion records of messages accepted in this segment are removed with them.
	accepted := map[uint32]struct{}{}
	pausedAt := 0
	walkRecords(raw, func(offset, size int, payload []byte, err error) {
		if offset-pausedAt > compactionChunk {
			pausedAt = offset
			pause()
		}
		if err != nil {
			return
		}
		live, retain := false, false
		if payload[0] == recordAccepted || payload[0] == recordAcceptedMemoryOnly || payload[0] == recordSnapshot {
			forEachNumber(payload, func(number uint32) { accepted[number] = struct{}{} })
		}
		if payload[0] == recordCompleted {
			reader := newRecordReader(payload, clock.Scale{})
			number, sequence, id := uint32(reader.Uint()), reader.Uint(), reader.Bytes()
			_, acceptedHere := accepted[number]
			acceptedEarlier := job.hasEarlierRecords && !acceptedHere
			result.retainsCompletions = result.retainsCompletions || acceptedEarlier
			retain = acceptedEarlier || sequence >= job.retainFromSeq && len(id) > 0
		} else {
			forEachNumber(payload, func(number uint32) {
				_, found := slices.BinarySearch(job.liveNumbers, number)
				live = live || found
			})
		}
		if retain {
			result.retainedBytes += int64(size)
		}
		if live || retain {
			compacted = append(compacted, raw[offset:offset+size]...)
		}
	})
	if len(compacted) == headerSize {
		result.err = fs.Remove(job.name)
		return result
	}
	result.retainedBytes += int64(headerSize)
	if result.err = writeFileAtomic(fs, job.name, compacted, pause); result.err == nil {
		result.size = int64(len(compacted))
	}
	return result
}
