// Package plan makes the decisions of the journal: which messages fit, when a segment is full,
// which one to compact. It does no I/O and reads no clock. Sizes and budgets are in bytes.
package plan

// Sizes in bytes.
const (
	BlockSize         = 512      // files use whole blocks
	MinSegmentSize    = 64 << 10 // smallest size at which a segment is sealed
	MaxSegmentSize    = 1 << 20  // bounds the work of the event loop for one segment
	MinDeadBytes      = 4 << 10  // dead bytes that make a partly live segment worth compacting
	segmentsPerBudget = 24       // the budget divided by this is the size of a segment
	attemptReserve    = 40       // for the records of an attempt, and that it did not run
	endReserve        = 56       // for the records of a notification and a completion, without the id
	maxIDBytes        = 256      // of a message
)

// MessageReserve bounds the bytes of the records that may follow the accepted one of a message.
func MessageReserve(maxAttempts, idBytes int) int64 {
	return int64(maxAttempts*attemptReserve + endReserve + idBytes)
}

// DiskSize returns the space that a file of n bytes uses on disk.
func DiskSize(n int64) int64 { return (n + BlockSize - 1) / BlockSize * BlockSize }

// SegmentSize returns the size at which a segment is sealed.
func SegmentSize(budget int64) int64 {
	return min(max(budget/segmentsPerBudget, MinSegmentSize), MaxSegmentSize)
}

// Segment describes one segment of the journal.
type Segment struct {
	Size          int64 // size of the file
	LiveBytes     int64 // records of pending messages
	RetainedBytes int64 // other records that the last compaction had to retain
	Busy          bool  // active, or being compacted
	CopyBytes     int64 // size of the file that compaction would write, at most
	// CompletionsOnly says that all records are completions, so that it may be merged.
	CompletionsOnly bool
}

// DeadBytes returns the number of bytes that compaction would free.
func (s Segment) DeadBytes() int64 { return s.Size - s.LiveBytes - s.RetainedBytes }

// ReservedBytes returns the part of the budget that is kept free for the remaining records of
// pending messages, which take reserved bytes, and for the copy that compaction makes of a segment.
func ReservedBytes(budget, reserved int64) int64 { return reservedForCopy(budget) + reserved }

// reservedForCopy returns the bytes that are always reserved for a copy: at most half the budget,
// so that a small one still accepts messages.
func reservedForCopy(budget int64) int64 { return min(DiskSize(SegmentSize(budget)), budget/2) }

// Fits reports whether a message with a record of that many bytes may be accepted. used is the
// space that all files use, reserved that of the remaining records of all pending messages with
// this one.
func Fits(budget, used, reserved, record int64) bool {
	return used+DiskSize(record)+ReservedBytes(budget, reserved) <= budget
}

// MaxMessageBytes bounds the records of one message of the largest size: a body of 64 KiB, id, key,
// tenant, ordering key and class, and the notes of plug-ins.
const MaxMessageBytes = 68 << 10

// ReserveFileSize returns the size of the file whose space is released when the disk is full; 0 if
// the budget is too small for one.
func ReserveFileSize(budget int64) int64 {
	return min(max(0, budget)/64, 256<<10) / BlockSize * BlockSize
}

// MinBudget returns the smallest budget, in whole KiB, in which a message of MaxMessageBytes fits
// whenever no other is pending, however many were completed before. maxAttempts is the limit of
// attempts for a message.
func MinBudget(maxAttempts int) int64 {
	budget := int64(MaxMessageBytes)
	for !Fits(budget, settledSize(budget), MessageReserve(maxAttempts, maxIDBytes), MaxMessageBytes) {
		budget += 1 << 10
	}
	return budget
}

// settledSize bounds the space that all files use once all messages are completed and compaction
// has nothing left to do: the reserve file, the remembered completions in files of which fewer than
// MinRun wait to be merged, and the active segment. Of each file almost two blocks may be dead.
func settledSize(budget int64) int64 {
	completions := CompletionLimit(budget)
	files := MinRun * (1 + 2*completions/SegmentSize(budget))
	return ReserveFileSize(budget) + completions + (files+1)*2*BlockSize
}

// BodyStorage says where the body of a message is stored.
type BodyStorage int

// Places to store a body.
const (
	MemoryAndJournal BodyStorage = iota // in memory and in the journal
	JournalOnly                         // read from the journal for each attempt
	MemoryOnly                          // lost with the process, which the platform is then notified of
	NotStored                           // the message is rejected
)

// ChooseBodyStorage decides where the body of a new message is stored. journaledBytes and
// memoryOnlyBytes are the sizes of the bodies in memory that are in the journal and that are not;
// limit applies to each of the two. If limit is 0, journaled bodies have no limit and no body is in
// memory only. fitsWithBody and fitsWithoutBody tell whether the record fits on disk with and
// without the body. A repeatable message is rejected rather than stored in memory only, since its
// client can safely retry.
func ChooseBodyStorage(
	journaledBytes, memoryOnlyBytes, limit, size int64, fitsWithBody, fitsWithoutBody, repeatable bool,
) BodyStorage {
	switch {
	case fitsWithBody && (limit <= 0 || journaledBytes+size <= limit):
		return MemoryAndJournal
	case fitsWithBody:
		return JournalOnly
	case fitsWithoutBody && limit > 0 && memoryOnlyBytes+size <= limit && !repeatable:
		return MemoryOnly
	}
	return NotStored
}

// ShouldSeal reports whether a segment of that size is full before more bytes are added.
func ShouldSeal(budget, size, more int64) bool { return size > 0 && size+more > SegmentSize(budget) }

// ShouldSealActive reports whether the active segment is to be sealed, though it is not full, so
// that it can be compacted: messages are refused, and that frees more than the new segment's header
// takes.
func ShouldSealActive(space Space, active Segment) bool {
	return space.Refused && active.DeadBytes() >= 2*BlockSize
}

// Space is what the choice of a compaction depends on beside the segments.
type Space struct {
	Budget, Used int64 // Used is the space that all files use
	Reserved     int64 // for the remaining records of pending messages
	Refused      bool  // the latest message was refused, or is in memory only, for lack of space
}

// short reports whether little space is left beside what is reserved.
func (s Space) short() bool {
	return s.Used+ReservedBytes(s.Budget, s.Reserved)+2*SegmentSize(s.Budget) > s.Budget
}

// ChooseSegment returns the index of the segment to compact, or -1: the one with the most dead
// bytes of those that are worth it, the oldest among equals.
func ChooseSegment(space Space, segments []Segment) int {
	best, mostDead := -1, int64(0)
	for i, segment := range segments {
		if dead := segment.DeadBytes(); dead > mostDead && worthCompacting(space, segment) && space.mayCopy(segment) {
			best, mostDead = i, dead
		}
	}
	return best
}

// fits reports whether a copy of that many bytes stays within the budget.
func (s Space) fits(copyBytes int64) bool { return s.Used+DiskSize(copyBytes) <= s.Budget }

// CopyReserve returns the bytes to keep free for a copy that is being written, beyond those that
// are always reserved for one.
func CopyReserve(budget, copyBytes int64) int64 {
	return max(0, DiskSize(copyBytes)-reservedForCopy(budget))
}

// mayCopy reports whether there is space for the copy of a segment. Once messages are refused, one
// without pending messages is compacted in any case: its copy is small, and if all messages are
// completed, nothing but that gives space back.
func (s Space) mayCopy(segment Segment) bool {
	return s.fits(segment.CopyBytes) || s.Refused && segment.LiveBytes == 0
}

// worthCompacting reports whether a segment that is not busy holds no pending message, or has at
// least BlockSize dead bytes, and half of it and MinDeadBytes are dead or space is short.
// Completions are rewritten if half of them are dead, or messages are refused: they expire one by
// one, and would be rewritten for each few of them.
func worthCompacting(space Space, segment Segment) bool {
	dead := segment.DeadBytes()
	needed := segment.LiveBytes + segment.RetainedBytes
	switch {
	case segment.Busy:
		return false
	case needed == 0:
		return true
	case segment.LiveBytes == 0 && !segment.CompletionsOnly:
		return true // what is left can be merged
	case dead < BlockSize:
		return false
	case segment.CompletionsOnly:
		return 2*dead >= segment.Size || space.Refused
	}
	return 2*dead >= segment.Size && dead >= MinDeadBytes || space.short()
}

// ChooseCompaction returns the segments to compact into one: first to end-1, none if both are
// equal. It chooses between one segment and a run that is worth merging by what that frees.
func ChooseCompaction(space Space, segments []Segment) (first, end int) {
	first, end, freed := ChooseRun(space, segments)
	if i := ChooseSegment(space, segments); i >= 0 && segments[i].DeadBytes() >= freed {
		return i, i + 1
	}
	return first, end
}

// Number of segments that are merged at once.
const (
	MinRun = 8
	maxRun = 256
)

// ChooseRun returns a run of segments to merge, first to end-1, and the bytes that this frees on
// disk; none if first and end are equal. Each file uses whole blocks, so that many small ones, of
// which completions are all that is left, take far more space than one. A run is worth merging if
// it has MinRun segments, and together they have at most the size of a full one.
func ChooseRun(space Space, segments []Segment) (first, end int, freed int64) {
	from, size, onDisk := 0, int64(0), int64(0)
	for i, segment := range segments {
		if segment.Busy || !segment.CompletionsOnly {
			from, size, onDisk = i+1, 0, 0
			continue
		}
		if size+segment.Size > SegmentSize(space.Budget) || i-from == maxRun {
			from, size, onDisk = i, 0, 0
		}
		size, onDisk = size+segment.Size, onDisk+DiskSize(segment.Size)
		if n := onDisk - DiskSize(size); i+1-from >= MinRun && n > freed && space.fits(size) {
			first, end, freed = from, i+1, n
		}
	}
	return first, end, freed
}

// maxBacklog is the number of mostly dead segments that may wait for compaction.
const maxBacklog = 2

// Urgent reports whether compaction has to run without pauses: more than half the budget is used,
// or too many segments are mostly dead.
func Urgent(budget, used int64, segments []Segment) bool {
	backlog := 0
	for _, segment := range segments {
		if !segment.Busy && segment.Size-segment.LiveBytes-segment.RetainedBytes > segment.Size/2 {
			backlog++
		}
	}
	return used > budget/2 || backlog > maxBacklog
}
