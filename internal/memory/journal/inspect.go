package journal

import (
	"fmt"
	"slices"
	"strings"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
)

// Fault is a problem found in a state directory.
type Fault struct {
	File   string
	Offset int
	Err    error
}

func (f Fault) String() string { return fmt.Sprintf("%s: offset %d: %v", f.File, f.Offset, f.Err) }

// Record describes one record of a journal, for audits.
type Record struct {
	Segment string `json:"segment"`
	Offset  int    `json:"offset"`
	Bytes   int    `json:"bytes"`
	Kind    string `json:"kind"`
	Num     uint32 `json:"num,omitempty"`
	Nums    []int  `json:"nums,omitempty"` // of an attempt with several messages
	ID      string `json:"id,omitempty"`
	Class   string `json:"class,omitempty"`
	Dest    *int   `json:"dest,omitempty"`
	Key     string `json:"key,omitempty"`
	AtUs    int64  `json:"at_us,omitempty"` // wall clock: start of an attempt, deadline of a message
	Outcome string `json:"outcome,omitempty"`
}

// Inspection is the content of a state directory, as the next start would read it.
type Inspection struct {
	Segments     int
	Bytes        int64
	Records      map[string]int    // by record type
	Messages     []*memory.Message // pending or awaiting a notification, by number
	CompletedIDs int               // number of remembered ids of completed messages
	Faults       []Fault
}

// recordKindNames are the names of record types in exports, whose format is stable.
var recordKindNames = map[byte]string{
	recordAccepted:           "taken",
	recordSnapshot:           "kept",
	recordAcceptedMemoryOnly: "taken, body not kept",
	recordPluginNotes:        "notes",
	recordTerms:              "terms",
	recordAttempt:            "out",
	recordNotRun:             "not run",
	recordUndelivered:        "owed",
	recordCompleted:          "over",
}

// Inspect reads a state directory without changing it, also while a relay writes to it. visit, if
// not nil, is called for each valid record; after its first error, which Inspect returns, it is not
// called again.
func Inspect(fs FS, visit func(Record) error) (*Inspection, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	inspection, replay := &Inspection{Records: map[string]int{}}, newReplayState(clock.Scale{})
	slices.Sort(names)
	addFault := func(file string, offset int, err error) {
		inspection.Faults = append(inspection.Faults, Fault{file, offset, err})
	}
	var visitErr error
	for _, name := range names {
		switch _, ext := splitExt(name); {
		case ext == segmentExt:
		case ext == legacyExt:
			addFault(name, 0, fmt.Errorf("legacy journal: the next start reads it only if there are no segments"))
			continue
		case name == reserveName || strings.HasSuffix(name, tmpExt):
			continue
		case name == "baton" || name == "lock" || name == "spool" || name == "clock" ||
			name == "drained" || strings.HasPrefix(name, "life-"):
			continue // shared by the processes of one relay
		default:
			addFault(name, 0, fmt.Errorf("not part of the journal"))
			continue
		}
		raw, err := fs.Read(name)
		if err != nil {
			return nil, err
		}
		inspection.Segments++
		inspection.Bytes += int64(len(raw))
		if _, _, err := readHeader(raw); err != nil {
			addFault(name, 0, err)
			continue
		}
		end := walkRecords(raw, func(offset, size int, payload []byte, err error) {
			if err == nil && payload[0] == recordBatch {
				return // it belongs to no message
			}
			if err == nil {
				inspection.Records[recordKindNames[payload[0]]]++
				err = replay.apply(payload)
			}
			if err != nil {
				addFault(name, offset, err)
			} else if visit != nil && visitErr == nil {
				visitErr = visit(describeRecord(name, offset, size, payload))
			}
		})
		if end < len(raw) {
			addFault(name, end, fmt.Errorf("%d bytes are not a whole record; the next start truncates them", len(raw)-end))
		}
	}
	replay.finish()
	for _, m := range replay.table.All() {
		inspection.Messages = append(inspection.Messages, m)
	}
	slices.SortFunc(inspection.Messages, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	inspection.CompletedIDs = replay.table.CompletedCount()
	return inspection, visitErr
}

// describeRecord converts a record for audits, without the message body.
func describeRecord(name string, offset, size int, payload []byte) Record {
	record := Record{Segment: name, Offset: offset, Bytes: size, Kind: recordKindNames[payload[0]]}
	reader := newRecordReader(payload, clock.Scale{})
	switch payload[0] {
	case recordAccepted, recordAcceptedMemoryOnly, recordSnapshot:
		m := reader.message()
		record.Num, record.ID, record.Class, record.Dest, record.Key, record.AtUs =
			m.Number, m.ID, m.Class, &m.Dest, m.IdempotencyKey, m.Deadline.UnixMicro()
	case recordAttempt:
		record.AtUs = reader.Int()
		forEachNumber(payload, func(number uint32) { record.Nums = append(record.Nums, int(number)) })
		if len(record.Nums) == 1 {
			record.Num, record.Nums = uint32(record.Nums[0]), nil
		}
	case recordUndelivered:
		record.Num = uint32(reader.Uint())
		record.Outcome = map[bool]string{true: "handed_back", false: "given_up"}[reader.Notification().Returned]
	case recordCompleted:
		record.Num = uint32(reader.Uint())
		reader.Uint()
		record.ID = string(reader.Bytes())
	default:
		record.Num = uint32(reader.Uint())
	}
	return record
}
