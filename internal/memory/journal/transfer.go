package journal

import (
	"errors"
	"fmt"
	"io"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
)

// A transfer file, which one process passes to the next, has the format of a segment: snapshots of
// messages with their plug-in notes and terms, and as the last record metadata, which this package
// does not interpret.
const recordMetadata byte = 'W'

// ErrIncompleteTransfer is returned for a transfer file that is truncated or corrupt.
var ErrIncompleteTransfer = errors.New("journal: transfer file is incomplete")

// EncodeTransfer encodes messages in their current state, and metadata. Times are on timeScale,
// which both processes share. The messages have no attempt in flight, and their bodies must be in
// memory; those that were in memory only are included.
func EncodeTransfer(messages []*memory.Message, metadata []byte, timeScale clock.Scale) []byte {
	b := appendHeader(nil, 0, 0, 0)
	for _, m := range messages {
		snapshot := *m
		snapshot.MemoryOnly = false
		start := len(b)
		if b = finishFrame(
			appendSnapshot(append(beginFrame(b), recordSnapshot), &snapshot, timeScale), start,
		); len(m.PluginNotes) > 0 {
			start = len(b)
			b = finishFrame(appendText(beginPayload(beginFrame(b), recordPluginNotes, m.Number), m.PluginNotes), start)
		}
		if start = len(b); m.Terms != (memory.Terms{}) {
			b = finishFrame(appendTerms(beginPayload(beginFrame(b), recordTerms, m.Number), m.Terms), start)
		}
	}
	start := len(b)
	return finishFrame(append(append(beginFrame(b), recordMetadata), metadata...), start)
}

// DecodeTransfer decodes a transfer file into its messages, under the numbers of the sending
// process, and its metadata, which aliases raw. It returns ErrIncompleteTransfer unless the file is
// complete and valid.
func DecodeTransfer(
	raw []byte, timeScale clock.Scale,
) (messages []*memory.Message, metadata []byte, err error) {
	replay, complete := newReplayState(timeScale), false
	end := walkRecords(raw, func(_, _ int, payload []byte, badErr error) {
		switch {
		case badErr != nil:
			err = badErr
		case payload[0] == recordMetadata:
			metadata, complete = payload[1:], true
		default:
			if e := replay.apply(payload); e != nil {
				err = e
			} else if payload[0] == recordSnapshot {
				forEachNumber(payload, func(number uint32) { messages = append(messages, replay.table.Get(number)) })
			}
		}
	})
	if err != nil || !complete || end < len(raw) {
		return nil, nil, fmt.Errorf("%w: %w", ErrIncompleteTransfer, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return messages, metadata, nil
}

// AppendTransferred records a message that another process accepted, in its current state, and adds
// it to table. The record is never dropped: like a completion it is written as soon as the disk
// allows it.
func (j *Journal) AppendTransferred(table *memory.Table, m *memory.Message) {
	j.maxNumber = max(j.maxNumber, m.Number)
	j.reserves.add(m)
	j.beginRecord()
	j.arena = appendSnapshot(append(j.arena, recordSnapshot), m, j.config.TimeScale)
	if j.endRecord(entry{number: m.Number, accepts: true}); len(m.PluginNotes) > 0 {
		j.beginRecord()
		j.arena = appendText(beginPayload(j.arena, recordPluginNotes, m.Number), m.PluginNotes)
		j.endRecord(entry{number: m.Number})
	}
	if m.Terms != (memory.Terms{}) {
		j.beginRecord()
		j.arena = appendTerms(beginPayload(j.arena, recordTerms, m.Number), m.Terms)
		j.endRecord(entry{number: m.Number})
	}
	table.Add(m)
}

// HasUnwritten reports whether records wait to be written.
func (j *Journal) HasUnwritten() bool { return len(j.batch) > 0 }

// UsedBytes returns the space that the files of the journal use on disk.
func (j *Journal) UsedBytes() int64 { return j.usedBytes() }

// Unavailable reports whether the last commit with records failed to write them.
func (j *Journal) Unavailable() bool { return j.unavailable }
