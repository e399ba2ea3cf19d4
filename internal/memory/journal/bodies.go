package journal

import (
	"errors"
	"fmt"

	"oatfold/internal/memory"
)

// Bodies beyond the memory limit are only in the journal, and are read from there for each attempt.

// SetMaxBodyBytes changes the bytes that journaled bodies may use in memory, and those that are not
// in the journal. It counts for new messages.
func (j *Journal) SetMaxBodyBytes(limit int64) { j.config.MaxBodyBytes = limit }

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
