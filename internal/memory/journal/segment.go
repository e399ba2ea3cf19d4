package journal

import (
	"fmt"

	"oatfold/internal/memory/journal/plan"
)

// segment is the state of one segment file.
type segment struct {
	number          uint64
	size            int64
	liveBytes       int64            // bytes of records of pending messages
	messageBytes    map[uint32]int64 // the same by message number
	completionBytes int64            // bytes of completion records
	accepted        numberRange      // of the messages whose accepted records it holds
	retained        retainedCompletions
	completionsOnly bool   // it holds completion records and no others
	compactedAt     uint64 // number of the active segment at the last compaction; 0: never compacted
	merged          bool   // its records are in a later segment as well: its file is to be removed
	retryAt         int64  // run of Maintain from which on a failed compaction is tried again; 0: none failed
	busy            bool   // it is being compacted, or is unreadable
}

func (s *segment) name() string { return fmt.Sprintf("%012d%s", s.number, segmentExt) }

// copyBytes bounds the size of the file that compaction would write.
func (s *segment) copyBytes() int64 {
	if s.merged {
		return 0
	}
	return min(s.size, int64(headerSize)+s.liveBytes+s.completionBytes)
}

// retainedBytes returns the bytes that compaction would have to retain beside the records of pending
// messages, as far as an earlier compaction has told. Completions are remembered from
// rememberedFrom on; hasEarlier says that an older segment may still hold accepted records.
func (s *segment) retainedBytes(rememberedFrom uint64, hasEarlier bool) int64 {
	if s.compactedAt == 0 || s.merged {
		return 0
	}
	bytes := s.retained.rememberedBytes(rememberedFrom)
	if hasEarlier {
		bytes += s.retained.earlierBytes
	}
	if bytes == 0 && s.liveBytes == 0 {
		return 0 // the file can be removed
	}
	return bytes + int64(headerSize)
}

// retainedCompletions counts the completion records that a compaction retained.
type retainedCompletions struct {
	idBytes           int64       // bytes of those that are retained for their ids
	firstSeq, lastSeq uint64      // sequence numbers of these
	earlierBytes      int64       // bytes of those that are retained only for the accepted record in an older segment
	earlier           numberRange // of their messages
}

// add counts a record of size bytes. remembered says that it is retained for its id.
func (r *retainedCompletions) add(number uint32, sequence uint64, size int64, remembered bool) {
	if !remembered {
		r.earlierBytes += size
		r.earlier.add(number)
		return
	}
	if r.idBytes == 0 {
		r.firstSeq = sequence
	}
	r.idBytes += size
	r.firstSeq, r.lastSeq = min(r.firstSeq, sequence), max(r.lastSeq, sequence)
}

// rememberedBytes estimates the bytes of completions whose sequence number is from on or later.
// Records count as equally long.
func (r *retainedCompletions) rememberedBytes(from uint64) int64 {
	switch {
	case r.idBytes == 0 || from > r.lastSeq:
		return 0
	case from <= r.firstSeq:
		return r.idBytes
	}
	return r.idBytes * int64(r.lastSeq-from+1) / int64(r.lastSeq-r.firstSeq+1)
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

// addRecordBytes counts bytes of seg as records of a pending message.
func (j *Journal) addRecordBytes(seg *segment, number uint32, bytes int64) {
	j.addLocation(number, location{seg, bytes})
	seg.messageBytes[number] += bytes
	seg.liveBytes += bytes
}

// removeRecords no longer counts the records of a message as those of a pending one.
func (j *Journal) removeRecords(number uint32) {
	j.reserves.remove(number)
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

// addLocation adds bytes of records of a message in one segment.
func (j *Journal) addLocation(number uint32, loc location) {
	known, ok := j.locations[number]
	switch {
	case !ok:
		known.first = loc
	case len(known.rest) > 0 && known.rest[len(known.rest)-1].segment == loc.segment:
		known.rest[len(known.rest)-1].bytes += loc.bytes
	case len(known.rest) == 0 && known.first.segment == loc.segment:
		known.first.bytes += loc.bytes
	default:
		known.rest = append(known.rest, loc)
	}
	j.locations[number] = known
}

// setSegmentSize updates the size of a segment and the total.
func (j *Journal) setSegmentSize(seg *segment, size int64) {
	j.segmentBytes += plan.DiskSize(size) - plan.DiskSize(seg.size)
	seg.size = size
}

// numberRange is a range of message numbers. The zero value is empty: numbers begin at 1.
type numberRange struct{ first, last uint32 }

// add extends the range to number.
func (r *numberRange) add(number uint32) {
	if r.last == 0 {
		r.first = number
	}
	r.first, r.last = min(r.first, number), max(r.last, number)
}

func (r numberRange) contains(number uint32) bool {
	return r.last > 0 && r.first <= number && number <= r.last
}

func (r numberRange) overlaps(other numberRange) bool {
	return r.last > 0 && other.last > 0 && r.first <= other.last && other.first <= r.last
}
