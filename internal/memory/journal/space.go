package journal

import (
	"log/slog"

	"oatfold/internal/memory/journal/plan"
)

// SpaceUse says what the space of a journal is used for, in bytes.
type SpaceUse struct {
	Budget, Used, Reserve int64 // Used includes Reserve, the size of the reserve file
	Active                int64 // the segment that is written to
	Live                  int64 // records of pending messages
	Retained              int64 // records that the last compactions had to retain, and segment headers
	Dead                  int64 // what compaction would free of sealed segments
	Segments, Pending     int   // counts of segments and of pending messages
	Compacting            bool  // a compaction is running
}

// SpaceUse returns the current use of space. Its cost grows with the number of segments.
func (j *Journal) SpaceUse() SpaceUse {
	use := SpaceUse{
		Budget: j.config.Budget, Used: j.usedBytes(), Reserve: j.reserveSize,
		Segments: len(j.segments), Pending: len(j.locations), Compacting: j.compacting,
	}
	for i, seg := range j.segments {
		use.Live += seg.liveBytes
		if i == len(j.segments)-1 {
			use.Active = seg.size
			continue
		}
		retained := j.retainedBytes(i)
		use.Retained += retained
		use.Dead += plan.Segment{Size: seg.size, LiveBytes: seg.liveBytes, RetainedBytes: retained}.DeadBytes()
	}
	return use
}

// LogValue implements slog.LogValuer.
func (u SpaceUse) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("budget", u.Budget), slog.Int64("used", u.Used), slog.Int64("reserve", u.Reserve),
		slog.Int64("active", u.Active), slog.Int64("live", u.Live), slog.Int64("retained", u.Retained),
		slog.Int64("dead", u.Dead), slog.Int("segments", u.Segments), slog.Int("pending", u.Pending),
		slog.Bool("compacting", u.Compacting),
	)
}

// noteRefusedForSpace counts a message without space for its body, and has the next Commit search
// for space that compaction would free.
func (j *Journal) noteRefusedForSpace() {
	j.refusedForSpace++
	j.refused, j.compactionWanted = true, true
}

// space returns what the choice of a compaction depends on.
func (j *Journal) space() plan.Space {
	return plan.Space{
		Budget: j.config.Budget, Used: j.usedBytes(), Reserved: j.reserves.bytes(), Refused: j.refused || j.unavailable,
	}
}

// makeSpace has compaction give back what it can after a failed write: the disk may have less space
// than the budget. Fewer completions are remembered until writes succeed again.
func (j *Journal) makeSpace() {
	j.remembered.SetLimit(plan.CompletionLimit(max(j.usedBytes(), plan.MinBudget(j.reserves.maxAttempts))))
	j.compactionWanted = true
}

// markWritable ends what a failed write began.
func (j *Journal) markWritable() {
	if j.unavailable {
		j.unavailable = false
		j.remembered.SetLimit(plan.CompletionLimit(j.fullBudget))
	}
}

// reportFull logs why messages were refused since the last call, if any were.
func (j *Journal) reportFull() {
	if j.refusedForSpace == 0 {
		return
	}
	j.config.Log.Warn("journal is full", "refused", j.refusedForSpace, "space", j.SpaceUse(),
		"commits_since_compaction_check", j.stats.Commits-j.lastCompactionCheck)
	j.refusedForSpace = 0
}

// createReserve creates the reserve file, whose space is released when the disk is full so that
// completions can still be written. It makes it smaller after the budget was lowered, which a share
// of the budget does not, and larger once there is room. After a failed write it is written anew in
// any case, which shows whether the disk takes writes again. It reports whether the reserve is
// there; if not, Maintain tries again.
func (j *Journal) createReserve() bool {
	if j.config.NoReserve {
		return true
	}
	size := plan.ReserveFileSize(j.fullBudget)
	if j.config.Budget < j.fullBudget && j.reserveSize < size {
		size = max(j.reserveSize, plan.ReserveFileSize(j.config.Budget))
	}
	if !j.unavailable && j.reserveSize > 0 && j.reserveSize <= size &&
		!plan.Fits(j.config.Budget, j.usedBytes()+j.batchBytes, j.reserves.bytes(), size) {
		size = j.reserveSize // no room for a larger one beside it
	}
	if !j.unavailable && j.reserveSize == size {
		return true
	}
	if size == 0 {
		if j.reserveSize > 0 && j.config.FS.Remove(reserveName) != nil {
			return false
		}
		j.reserveSize = 0
		return true
	}
	if writeFileAtomic(j.config.FS, reserveName, make([]byte, size), noPause) != nil {
		return false
	}
	j.reserveSize = size
	return true
}

// CommittedBytes returns the space that the files use, with the records that are still to be
// written and the copy that a running compaction writes.
func (j *Journal) CommittedBytes() int64 {
	return j.usedBytes() + j.batchBytes + j.reserves.bytes() + plan.DiskSize(j.copyBytes)
}

// NeededBytes returns the smallest share with which the journal can write all records that may
// follow for the messages that it holds, and compact its segments, which were sealed under the disk
// limit.
func (j *Journal) NeededBytes(limit int64) int64 {
	return j.usedBytes() + j.batchBytes + plan.ReservedBytes(limit, j.reserves.bytes()) +
		plan.CopyReserve(limit, j.copyBytes)
}

// MessageReserve returns the space that is reserved for the records that may follow for a message
// with an id of that many bytes.
func (j *Journal) MessageReserve(idBytes int) int64 {
	return plan.MessageReserve(j.reserves.maxAttempts, idBytes)
}

// usedBytes returns the space that all files use on disk.
func (j *Journal) usedBytes() int64 { return j.segmentBytes + j.reserveSize }
