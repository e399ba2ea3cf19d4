package memory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// The legacy journal format is one segment of records, each framed by its length and a CRC-32. It
// is only read, when a relay starts for the first time after an upgrade from that format.
const (
	frameHeaderSize = 8       // length and checksum, four bytes each
	maxRecordSize   = 1 << 20 // bytes; a longer length is corrupt
)

// Record types.
const (
	legacyAccepted    byte = 'T' // a message was accepted, as received
	legacySnapshot    byte = 'K' // a snapshot of a message, written by compaction
	legacyPluginNotes byte = 'A' // plug-in notes on the preceding message
	legacyAttempt     byte = 'O' // an attempt starts; written before the first byte of the call
	legacyNotRun      byte = 'N' // the latest attempt for a message is known not to have run
	legacyUndelivered byte = 'E' // a message ended undelivered; its notification is outstanding
	legacyCompleted   byte = 'X' // a message is completed
)

// ReadLegacy replays a segment of the legacy format. It stops at an incomplete record at the end of
// the segment. A complete record that is invalid is skipped and reported to onError.
func ReadLegacy(raw []byte, onError func(offset int, err error)) *Table {
	table := NewTable()
	replayRecords(raw, table, func(offset int, _ []byte, err error) {
		if err != nil {
			onError(offset, err)
		}
	})
	return table
}

// errChecksum reports a complete record whose checksum does not match.
var errChecksum = errors.New("checksum mismatch")

// replayRecords applies each complete record of raw to table and calls visit for it, with an error
// if the record was skipped. It returns the offset behind the last complete record.
func replayRecords(raw []byte, table *Table, visit func(offset int, payload []byte, err error)) int {
	offset := 0
	inFlightSince := map[uint32]time.Time{} // start of the attempt in flight, by message number
	for len(raw)-offset >= frameHeaderSize {
		length := int(binary.LittleEndian.Uint32(raw[offset:]))
		if length == 0 || length > maxRecordSize || length > len(raw)-offset-frameHeaderSize {
			break
		}
		payload := raw[offset+frameHeaderSize : offset+frameHeaderSize+length]
		err := errChecksum // a corrupt record must not hide those after it
		if crc32.ChecksumIEEE(payload) == binary.LittleEndian.Uint32(raw[offset+4:]) {
			err = applyRecord(payload, table, inFlightSince)
		}
		visit(offset, payload, err)
		offset += frameHeaderSize + length
	}
	for number, since := range inFlightSince {
		if m := table.Get(number); m != nil && m.MayHaveRunSince.IsZero() {
			m.MayHaveRunSince = since // attempts in flight when the process ended may have run
		}
	}
	return offset
}

// applyRecord applies one record to table.
func applyRecord(payload []byte, table *Table, inFlightSince map[uint32]time.Time) error {
	r := &FieldReader{Rest: payload[1:]}
	kind := payload[0]
	var m *Message
	switch kind {
	case legacyAccepted, legacySnapshot:
		m = &Message{
			Number: uint32(r.Uint()), Deadline: time.UnixMicro(r.Int()), Dest: int(r.Int()), ID: string(r.Bytes()),
			Class: string(r.Bytes()), IdempotencyKey: string(r.Bytes()), Body: []byte(string(r.Bytes())),
		}
		var startedAt time.Time
		if kind == legacySnapshot {
			m.Attempts, m.MayHaveRunSince, startedAt = int(r.Uint()), TimeFromMicros(r.Int()), TimeFromMicros(r.Int())
			if len(r.Rest) > 0 {
				notification := r.Notification()
				m.Notification = &notification
			}
		}
		if r.Malformed || table.Get(m.Number) != nil {
			return fmt.Errorf("message record is truncated or duplicate")
		}
		table.Add(m)
		if !startedAt.IsZero() {
			inFlightSince[m.Number] = startedAt
		}
		return nil
	case legacyAttempt:
		startedAt := time.UnixMicro(r.Int())
		for len(r.Rest) > 0 && !r.Malformed {
			number := uint32(r.Uint())
			if m := table.Get(number); m != nil {
				markMayHaveRun(m, inFlightSince)
				m.Attempts++
				inFlightSince[number] = startedAt
			}
		}
		return nil
	}
	if m = table.Get(uint32(r.Uint())); m == nil || r.Malformed {
		return fmt.Errorf("record %q refers to an unknown message", kind)
	}
	switch kind {
	case legacyNotRun:
		delete(inFlightSince, m.Number)
	case legacyPluginNotes:
		m.PluginNotes = []byte(string(r.Bytes()))
		if r.Malformed {
			return fmt.Errorf("plug-in notes are truncated")
		}
	case legacyUndelivered:
		notification := r.Notification()
		if r.Malformed {
			return fmt.Errorf("notification is truncated")
		}
		table.MarkUndelivered(m, notification)
	case legacyCompleted:
		delete(inFlightSince, m.Number)
		table.Remove(m)
	default:
		return fmt.Errorf("unknown record type %q", kind)
	}
	return nil
}

// markMayHaveRun records that an earlier attempt of m, not known to have failed before it ran, may
// have run.
func markMayHaveRun(m *Message, inFlightSince map[uint32]time.Time) {
	if since, ok := inFlightSince[m.Number]; ok && m.MayHaveRunSince.IsZero() {
		m.MayHaveRunSince = since
	}
}
