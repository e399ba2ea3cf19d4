package journal

import (
	"fmt"
	"slices"
	"strings"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
)

// Fault is something wrong in a state folder: where, and what.
type Fault struct {
	File   string
	Offset int
	Err    error
}

func (f Fault) String() string { return fmt.Sprintf("%s: offset %d: %v", f.File, f.Offset, f.Err) }

// Record is one record of a journal, for audits.
type Record struct {
	Segment string `json:"segment"`
	Offset  int    `json:"offset"`
	Bytes   int    `json:"bytes"`
	Kind    string `json:"kind"`
	Num     uint32 `json:"num,omitempty"`
	Nums    []int  `json:"nums,omitempty"` // of a route step with several
	ID      string `json:"id,omitempty"`
	Class   string `json:"class,omitempty"`
	Dest    *int   `json:"dest,omitempty"`
	Key     string `json:"key,omitempty"`
	AtUs    int64  `json:"at_us,omitempty"` // wall clock: a step's start, a message's deadline
	Outcome string `json:"outcome,omitempty"`
}

// Inspection is what a state folder holds, as the next start would read it.
type Inspection struct {
	Segments     int
	Bytes        int64
	Records      map[string]int    // by kind
	Messages     []*memory.Message // that are owed their end, or a notice of it, by number
	CompletedIDs int               // ids of messages that are over and known
	Faults       []Fault
}

var kindNames = map[byte]string{recTaken: "taken", recKept: "kept", recUnkept: "taken, body not kept", recNotes: "notes", recTerms: "terms", recOut: "out", recNotRun: "not run", recOwed: "owed", recOver: "over"}

// Inspect reads a folder and changes nothing, also while a relay writes to it. each is told of every whole record; nil: nobody.
func Inspect(fs FS, each func(Record) error) (*Inspection, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	in, s := &Inspection{Records: map[string]int{}}, newState(clock.Scale{})
	slices.Sort(names)
	fault := func(file string, at int, err error) { in.Faults = append(in.Faults, Fault{file, at, err}) }
	var told error
	for _, name := range names {
		switch _, ext := split(name); {
		case ext == segmentExt:
		case ext == legacyExt:
			fault(name, 0, fmt.Errorf("journal of the first form: the next start reads it if there are no segments"))
			continue
		case name == reserveName || strings.HasSuffix(name, tmpExt):
			continue
		case name == "baton" || name == "lock" || name == "spool" || name == "clock" || name == "drained" || strings.HasPrefix(name, "life-"):
			continue // what processes of one relay share
		default:
			fault(name, 0, fmt.Errorf("not part of the journal"))
			continue
		}
		raw, err := fs.Read(name)
		if err != nil {
			return nil, err
		}
		in.Segments++
		in.Bytes += int64(len(raw))
		if _, _, err := readHead(raw); err != nil {
			fault(name, 0, err)
			continue
		}
		end := walk(raw, func(at, size int, payload []byte, err error) {
			if err == nil && payload[0] == recBatch {
				return // it is of no message
			}
			if err == nil {
				in.Records[kindNames[payload[0]]]++
				err = s.apply(payload)
			}
			if err != nil {
				fault(name, at, err)
			} else if each != nil && told == nil {
				told = each(describe(name, at, size, payload))
			}
		})
		if end < len(raw) {
			fault(name, end, fmt.Errorf("%d bytes are no whole record; the next start cuts them", len(raw)-end))
		}
	}
	s.end()
	for _, m := range s.table.All() {
		in.Messages = append(in.Messages, m)
	}
	slices.SortFunc(in.Messages, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	in.CompletedIDs = s.table.CompletedCount()
	return in, told
}

// describe is a record as audits see it; bodies stay out.
func describe(name string, at, size int, payload []byte) Record {
	r := Record{Segment: name, Offset: at, Bytes: size, Kind: kindNames[payload[0]]}
	f := read(payload, clock.Scale{})
	switch payload[0] {
	case recTaken, recUnkept, recKept:
		m := f.message()
		r.Num, r.ID, r.Class, r.Dest, r.Key, r.AtUs = m.Number, m.ID, m.Class, &m.Dest, m.IdempotencyKey, m.Deadline.UnixMicro()
	case recOut:
		r.AtUs = f.Int()
		nums(payload, func(n uint32) { r.Nums = append(r.Nums, int(n)) })
		if len(r.Nums) == 1 {
			r.Num, r.Nums = uint32(r.Nums[0]), nil
		}
	case recOwed:
		r.Num = uint32(f.Uint())
		r.Outcome = map[bool]string{true: "handed_back", false: "given_up"}[f.Notification().Returned]
	case recOver:
		r.Num = uint32(f.Uint())
		f.Uint()
		r.ID = string(f.Bytes())
	default:
		r.Num = uint32(f.Uint())
	}
	return r
}
