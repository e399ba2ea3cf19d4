package journal

import (
	"io"
	"math"
	"slices"
	"time"

	"oatfold/internal/clock"
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

// compactionJob describes segments to compact into one. It holds all that is needed, since it runs
// on another goroutine.
type compactionJob struct {
	segments       []*segment // oldest first; the result replaces the last one
	names          []string
	liveNumbers    []uint32      // numbers of pending messages with records in the segments
	retainFromSeq  uint64        // completion records from this sequence number on are retained
	acceptedBefore []numberRange // of messages whose accepted records an older segment may still hold
	activeNumber   uint64        // number of the active segment when the job was created
	urgent         bool          // space is short: run without pauses
}

// compactionResult is the outcome of a compactionJob.
type compactionResult struct {
	compactionJob
	size            int64               // of the new file; 0: it was empty and is removed
	retained        retainedCompletions // in the new file
	accepted        numberRange         // of the messages whose accepted records are in the new file
	completionsOnly bool                // all records of the new file are completions
	removed         []*segment          // whose files are removed
	err             error
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

// compact starts a compaction if one is worthwhile. If messages are refused and no sealed segment
// would give space back, the active one is sealed for it.
func (j *Journal) compact() {
	if j.compacting || len(j.segments) == 0 {
		return
	}
	j.compactionWanted, j.lastCompactionCheck = false, j.stats.Commits
	j.listCandidates()
	first, end := plan.ChooseCompaction(j.space(), j.candidates)
	if first == end && plan.ShouldSealActive(j.space(), j.candidates[len(j.candidates)-1]) && j.sealActive() {
		j.listCandidates()
		first, end = plan.ChooseCompaction(j.space(), j.candidates)
	}
	if first == end {
		return
	}
	job := j.newCompactionJob(first, end)
	job.urgent = plan.Urgent(j.config.Budget, j.usedBytes(), j.candidates)
	j.compacting, j.copyBytes = true, 0
	for _, seg := range job.segments {
		j.copyBytes += seg.copyBytes()
	}
	if j.config.CompactInline {
		j.finishCompaction(job.run(j.config.FS, noPause))
		return
	}
	j.jobs <- job
}

// listCandidates lists the segments for the choice of a compaction.
func (j *Journal) listCandidates() {
	j.candidates = j.candidates[:0]
	for i, seg := range j.segments {
		j.candidates = append(j.candidates, plan.Segment{
			Size: seg.size, LiveBytes: seg.liveBytes, RetainedBytes: j.retainedBytes(i),
			Busy:            seg.busy || seg.retryAt > j.maintenanceRuns || i == len(j.segments)-1,
			CopyBytes:       seg.copyBytes(),
			CompletionsOnly: seg.completionsOnly && !seg.merged,
		})
	}
}

// sealActive starts a new segment and reports whether that succeeded. It fails on a faulty disk, and
// while the active segment is still to be truncated; a later search tries again.
func (j *Journal) sealActive() bool { return !j.needsTruncate && j.rotate() == nil }

// retainedBytes returns the bytes of segment index that compaction would have to retain beside the
// records of pending messages.
func (j *Journal) retainedBytes(index int) int64 {
	seg := j.segments[index]
	hasEarlier := seg.retained.earlierBytes > 0 &&
		slices.ContainsFunc(j.acceptedBefore(index), seg.retained.earlier.overlaps)
	return seg.retainedBytes(j.remembered.RetainFrom(), hasEarlier)
}

// newCompactionJob returns the job that compacts segments first to end-1 into one.
func (j *Journal) newCompactionJob(first, end int) compactionJob {
	job := compactionJob{
		segments:       slices.Clone(j.segments[first:end]),
		retainFromSeq:  j.remembered.RetainFrom(),
		acceptedBefore: j.acceptedBefore(end - 1),
		activeNumber:   j.segments[len(j.segments)-1].number,
	}
	for _, seg := range job.segments {
		seg.busy = true
		job.names = append(job.names, seg.name())
		for number := range seg.messageBytes {
			job.liveNumbers = append(job.liveNumbers, number)
		}
	}
	if job.segments[0].merged {
		job.retainFromSeq, job.acceptedBefore = math.MaxUint64, nil // a later segment has its records
	}
	return job
}

// acceptedBefore returns the numbers of the messages, some of which are completed in segment index,
// whose accepted records an older segment may still hold: one that was not compacted since that
// segment was sealed. An older one that can't be compacted keeps only its own messages alive.
func (j *Journal) acceptedBefore(index int) (accepted []numberRange) {
	for _, earlier := range j.segments[:index] {
		if earlier.accepted.last > 0 && earlier.compactedAt <= j.segments[index].number {
			accepted = append(accepted, earlier.accepted)
		}
	}
	return accepted
}

// pollCompaction handles a finished compaction, if there is one.
func (j *Journal) pollCompaction() {
	select {
	case r := <-j.results:
		j.finishCompaction(r)
	default:
	}
}

// finishCompaction updates the journal after a compaction.
func (j *Journal) finishCompaction(result compactionResult) {
	j.compacting, j.copyBytes = false, 0
	for _, seg := range result.segments {
		seg.busy = false
	}
	target := result.segments[len(result.segments)-1]
	if result.err != nil {
		j.putOffCompaction(result)
		return
	}
	j.compactionWanted = true // others may have waited
	j.stats.Compactions++
	j.stats.CompactedBytes += result.size
	if len(result.segments) > 1 {
		j.stats.Merges++
	}
	for _, seg := range result.segments {
		seg.merged = true
	}
	target.merged, target.retryAt = false, 0
	target.compactedAt = result.activeNumber
	if result.size > 0 {
		j.setSegmentSize(target, result.size)
		target.accepted, target.retained = result.accepted, result.retained
		target.completionsOnly = result.completionsOnly
		target.completionBytes = result.retained.idBytes + result.retained.earlierBytes
	}
	j.removeSegments(result.removed)
}

// failedCompactionDelay is how many runs of Maintain a segment waits after a failed compaction.
const failedCompactionDelay = 2

// putOffCompaction has the segments of a failed compaction tried again later. Others go on: the
// cause may lie in one file.
func (j *Journal) putOffCompaction(result compactionResult) {
	j.compactionWanted = true
	for i, seg := range result.segments {
		if seg.retryAt == 0 {
			j.config.Log.Error("journal segment compaction failed", "segment", result.names[i], "err", result.err)
		}
		seg.retryAt = j.maintenanceRuns + failedCompactionDelay
	}
}

// removeSegments forgets segments whose files are removed.
func (j *Journal) removeSegments(removed []*segment) {
	for _, seg := range removed {
		j.setSegmentSize(seg, 0)
	}
	j.segments = slices.DeleteFunc(j.segments, func(seg *segment) bool { return slices.Contains(removed, seg) })
}

// run rewrites the segments as one, without the records that are no longer needed, and replaces the
// last one by an atomic rename. Only then the others are removed: after a crash in between their
// records are there twice. That does no harm to completions, the only records of segments that are
// merged. Corrupt records, which were reported when the journal was opened, are removed as well.
func (job compactionJob) run(fs FS, pause func()) (result compactionResult) {
	result.compactionJob = job
	contents := make([][]byte, len(job.names))
	for i, name := range job.names {
		if contents[i], result.err = fs.Read(name); result.err != nil {
			return result
		}
		pause()
	}
	slices.Sort(job.liveNumbers)
	last := len(job.names) - 1
	compacted := result.filter(contents, pause)
	if len(compacted) > headerSize {
		result.err = writeFileAtomic(fs, job.names[last], compacted, pause)
		result.size = int64(len(compacted))
	} else if result.err = fs.Remove(job.names[last]); result.err == nil {
		result.removed = append(result.removed, job.segments[last])
	}
	if result.err != nil {
		return result
	}
	for i, seg := range job.segments[:last] {
		if fs.Remove(job.names[i]) == nil { // otherwise it is compacted, and then removed, later
			result.removed = append(result.removed, seg)
		}
	}
	return result
}

// filter returns a segment with the header of the last of contents and those records of all that
// are still needed.
func (result *compactionResult) filter(contents [][]byte, pause func()) []byte {
	compacted := slices.Clone(contents[len(contents)-1][:headerSize])
	_, salt, _ := readHeader(compacted)
	result.completionsOnly = true
	// The completion records of messages accepted in these segments are removed with them.
	accepted := map[uint32]struct{}{}
	for _, raw := range contents {
		_, rawSalt, _ := readHeader(raw)
		pausedAt := 0
		walkRecords(raw, func(offset, size int, payload []byte, err error) {
			if offset-pausedAt > compactionChunk {
				pausedAt = offset
				pause()
			}
			if err != nil || !result.needed(payload, accepted, int64(size)) {
				return
			}
			start := len(compacted)
			compacted = append(compacted, raw[offset:offset+size]...)
			applySalt(compacted[start:], rawSalt^salt)
		})
	}
	return compacted
}

// needed reports whether a record of size bytes is still needed. accepted collects the numbers of
// the messages whose accepted records were passed to it.
func (result *compactionResult) needed(payload []byte, accepted map[uint32]struct{}, size int64) bool {
	switch payload[0] {
	case recordCompleted:
		reader := newRecordReader(payload, clock.Scale{})
		number, sequence, id := uint32(reader.Uint()), reader.Uint(), reader.Bytes()
		_, acceptedHere := accepted[number]
		acceptedEarlier := !acceptedHere && slices.ContainsFunc(result.acceptedBefore,
			func(r numberRange) bool { return r.contains(number) })
		remembered := sequence >= result.retainFromSeq && len(id) > 0
		if remembered || acceptedEarlier {
			result.retained.add(number, sequence, size, remembered)
		}
		return remembered || acceptedEarlier
	case recordAccepted, recordAcceptedMemoryOnly, recordSnapshot:
		forEachNumber(payload, func(number uint32) {
			accepted[number] = struct{}{}
			if result.isLive(number) {
				result.accepted.add(number)
			}
		})
	}
	live := false
	forEachNumber(payload, func(number uint32) { live = live || result.isLive(number) })
	result.completionsOnly = result.completionsOnly && !live
	return live
}

// isLive reports whether the message with that number was pending when the job was created.
func (job *compactionJob) isLive(number uint32) bool {
	_, found := slices.BinarySearch(job.liveNumbers, number)
	return found
}
