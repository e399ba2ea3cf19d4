package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/policy"
)

// A segment is a header followed by records. Header: magic, segment number, largest message number
// of earlier segments, salt. Record: length (4 bytes), checksum (4 bytes), payload. The checksum is
// the lower half of xxhash64 of the payload, XORed with the salt. The salt, unknown to clients,
// prevents a message body that contains records from being read as such.
const (
	magic           = "oatfold2"
	headerSize      = len(magic) + 8 + 4 + 4
	frameHeaderSize = 8
	maxRecordSize   = 1 << 20 // bytes; a longer length is corrupt
)

// Record types.
const (
	recordAccepted           byte = 'T' // a message was accepted, as received
	recordAcceptedMemoryOnly byte = 'U' // a message was accepted, its body is in memory only
	recordSnapshot           byte = 'K' // a snapshot of a message, from an upgrade or a transfer
	recordPluginNotes        byte = 'A' // plug-in notes on the preceding message
	recordTerms              byte = 'Q' // terms of the preceding message (an accepted record includes them)
	recordAttempt            byte = 'O' // an attempt starts; written before the first byte of the call
	recordNotRun             byte = 'N' // the latest attempt for a message is known not to have run
	recordUndelivered        byte = 'E' // a message ended undelivered; its notification is outstanding
	recordBatch              byte = 'B' // size of the records that follow, valid only together
	recordCompleted          byte = 'X' // a message is completed; an empty id may be accepted again
)

var (
	errChecksum  = errors.New("checksum mismatch")
	errTruncated = errors.New("record is truncated")
	errHeader    = errors.New("segment header is missing or invalid")
)

func appendHeader(b []byte, number uint64, maxNumber, salt uint32) []byte {
	b = binary.LittleEndian.AppendUint64(append(b, magic...), number)
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, maxNumber), salt)
}

func readHeader(b []byte) (maxNumber, salt uint32, err error) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return 0, 0, errHeader
	}
	return binary.LittleEndian.Uint32(b[len(magic)+8:]), binary.LittleEndian.Uint32(b[len(magic)+12:]), nil
}

func checksum(payload []byte) uint32 { return uint32(xxhash.Sum64(payload)) }

// beginFrame reserves space for a frame header, and finishFrame fills it in once the payload is
// appended. applySalt adds the salt of the segment to the checksum.
func beginFrame(b []byte) []byte { return append(b, make([]byte, frameHeaderSize)...) }

func applySalt(b []byte, salt uint32) {
	binary.LittleEndian.PutUint32(b[4:], binary.LittleEndian.Uint32(b[4:])^salt)
}

func finishFrame(b []byte, start int) []byte {
	payload := b[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], checksum(payload))
	return b
}

// nextRecord reads the record at the start of b. size is 0 if there is no complete record; err is
// set for a complete but corrupt one.
func nextRecord(b []byte, salt uint32) (payload []byte, size int, err error) {
	if len(b) < frameHeaderSize {
		return nil, 0, nil
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length == 0 || length > maxRecordSize || length > len(b)-frameHeaderSize {
		return nil, 0, nil
	}
	if payload = b[frameHeaderSize : frameHeaderSize+length]; checksum(payload)^salt != binary.LittleEndian.Uint32(b[4:]) {
		return nil, frameHeaderSize + length, errChecksum
	}
	return payload, frameHeaderSize + length, nil
}

// maxResyncBytes limits the search for the next valid record behind a corrupt one.
const maxResyncBytes = 1 << 20

// walkRecords calls visit for each record behind the header, with its payload or what is wrong with
// it. It returns the end of the last valid record. Behind a corrupt length it searches for the next
// valid record, so that one does not hide all that follow.
func walkRecords(raw []byte, visit func(offset, size int, payload []byte, err error)) (end int) {
	_, salt, err := readHeader(raw)
	if err != nil {
		return 0
	}
	offset := headerSize
	for end = offset; offset < len(raw); {
		payload, size, err := nextRecord(raw[offset:], salt)
		if size > 0 && err == nil {
			if payload[0] == recordBatch && !batchComplete(payload, len(raw)-offset-size) {
				return end // incomplete batch: none of it was committed
			}
			visit(offset, size, payload, nil)
			offset += size
			end = offset
			continue
		}
		badStart := offset
		for offset++; offset < len(raw) && offset-badStart < maxResyncBytes; offset++ {
			if _, size, err := nextRecord(raw[offset:], salt); size > 0 && err == nil {
				break
			}
		}
		if offset >= len(raw) || offset-badStart >= maxResyncBytes {
			if err == nil && offset < len(raw) {
				err = errTruncated
			}
			if err != nil {
				visit(badStart, len(raw)-badStart, nil, err)
				return len(raw) // complete but corrupt: kept, and reported again
			}
			return end // incomplete record at the end
		}
		if err == nil {
			err = errTruncated
		}
		visit(badStart, offset-badStart, nil, err)
	}
	return end
}

// appendBatch starts a batch of records of size bytes. Versions without batches report it as
// corrupt and read its records one by one.
func appendBatch(b []byte, size int, salt uint32) []byte {
	start := len(b)
	b = finishFrame(binary.AppendUvarint(append(beginFrame(b), recordBatch), uint64(size)), start)
	applySalt(b[start:], salt)
	return b
}

// maxBatchHeaderSize is the maximum size of the record that starts a batch.
const maxBatchHeaderSize = frameHeaderSize + 1 + binary.MaxVarintLen32

// batchComplete reports whether the bytes behind the start of a batch hold all of it.
func batchComplete(payload []byte, remaining int) bool {
	size, n := binary.Uvarint(payload[1:])
	return n > 0 && size <= uint64(remaining)
}

// --- payloads ---

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendMessage(b []byte, m *memory.Message, timeScale clock.Scale) []byte {
	body := m.Body
	if m.MemoryOnly {
		body = nil
	}
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = binary.AppendVarint(b, timeScale.Date(m.Deadline))
	b = binary.AppendVarint(b, int64(m.Dest))
	b = appendText(appendText(appendText(b, m.ID), m.Class), m.IdempotencyKey)
	return appendText(b, body)
}

// appendTerms appends the terms of a message; nothing if they are the zero value.
func appendTerms(b []byte, terms memory.Terms) []byte {
	if terms == (memory.Terms{}) {
		return b
	}
	effect := byte(terms.Effect)
	if terms.ZoneOnly {
		effect |= zoneOnlyFlag
	}
	b = binary.AppendUvarint(append(b, effect), uint64(terms.RepeatWindow.Microseconds()))
	return appendText(appendText(b, terms.Tenant), terms.OrderingKey)
}

const zoneOnlyFlag = 0x80 // flag in the effect byte

// terms reads what appendTerms wrote, if anything.
func (r *recordReader) terms() (terms memory.Terms) {
	if len(r.Rest) == 0 || r.Malformed {
		return terms
	}
	effect := r.Rest[0]
	r.Rest = r.Rest[1:]
	terms.Effect, terms.ZoneOnly = policy.Effect(effect&^zoneOnlyFlag), effect&zoneOnlyFlag != 0
	terms.RepeatWindow = time.Duration(r.Uint()) * time.Microsecond
	terms.Tenant, terms.OrderingKey = string(r.Bytes()), string(r.Bytes())
	if terms.Effect > policy.Unsafe {
		terms.Effect = policy.Unsafe // unknown effect: never run twice
	}
	return terms
}

func appendNotification(b []byte, notification memory.Notification) []byte {
	kind := byte(0)
	if notification.Returned {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(notification.RetryAfter.Microseconds()))
}

// appendSnapshot appends a message with its state. An attempt in flight counts as one that may have
// run.
func appendSnapshot(b []byte, m *memory.Message, timeScale clock.Scale) []byte {
	b = appendMessage(b, m, timeScale)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = binary.AppendVarint(b, timeScale.Date(m.MayHaveRunSince))
	if m.Notification != nil {
		b = appendNotification(b, *m.Notification)
	}
	return b
}

// recordReader decodes a payload whose times are on timeScale.
type recordReader struct {
	memory.FieldReader
	timeScale clock.Scale
}

func newRecordReader(payload []byte, timeScale clock.Scale) *recordReader {
	return &recordReader{memory.FieldReader{Rest: payload[1:]}, timeScale}
}

func (r *recordReader) message() *memory.Message {
	return &memory.Message{
		Number: uint32(r.Uint()), Deadline: r.timeScale.Time(r.Int()), Dest: int(r.Int()), ID: string(r.Bytes()),
		Class: string(r.Bytes()), IdempotencyKey: string(r.Bytes()), Body: append([]byte(nil), r.Bytes()...),
	}
}

// replayState is the result of replaying records.
type replayState struct {
	table         *memory.Table
	timeScale     clock.Scale          // of the records
	maxBodyBytes  int64                // bytes that bodies may use in memory; 0: no limit
	inFlightSince map[uint32]time.Time // start of the attempt in flight, by message number
	completedSeq  uint64               // sequence number of the last completed message
	maxNumber     uint32               // largest message number seen
}

func newReplayState(timeScale clock.Scale) *replayState {
	return &replayState{table: memory.NewTable(), timeScale: timeScale, inFlightSince: map[uint32]time.Time{}}
}

// apply replays one record. Records of unknown messages belong to completed ones that compaction
// removed.
func (s *replayState) apply(payload []byte) error {
	r := newRecordReader(payload, s.timeScale)
	switch kind := payload[0]; kind {
	case recordAccepted, recordAcceptedMemoryOnly, recordSnapshot:
		m := r.message()
		m.MemoryOnly, m.Recovered = kind == recordAcceptedMemoryOnly, true
		if kind == recordSnapshot {
			if m.Attempts, m.MayHaveRunSince = int(r.Uint()), r.timeScale.Time(r.Int()); len(r.Rest) > 0 {
				notification := r.Notification()
				m.Notification = &notification
			}
		} else {
			m.Terms = r.terms()
		}
		if r.Malformed || s.table.Get(m.Number) != nil {
			return fmt.Errorf("message record is truncated or duplicate")
		}
		s.maxNumber = max(s.maxNumber, m.Number)
		s.table.Add(m)
		if journaled, _ := s.table.BodyBytes(); s.maxBodyBytes > 0 && journaled > s.maxBodyBytes {
			s.table.SpillBody(m)
		}
	case recordAttempt:
		startedAt := r.timeScale.Time(r.Int())
		for len(r.Rest) > 0 && !r.Malformed {
			number := uint32(r.Uint())
			s.maxNumber = max(s.maxNumber, number)
			if m := s.table.Get(number); m != nil {
				s.markMayHaveRun(m)
				m.Attempts++
				s.inFlightSince[number] = startedAt
			}
		}
	case recordPluginNotes, recordTerms, recordNotRun, recordUndelivered, recordCompleted:
		number := uint32(r.Uint())
		s.maxNumber = max(s.maxNumber, number)
		m := s.table.Get(number)
		switch kind {
		case recordPluginNotes:
			if text := r.Bytes(); m != nil {
				m.PluginNotes = append([]byte(nil), text...)
			}
		case recordTerms:
			if terms := r.terms(); m != nil {
				m.Terms = terms
			}
		case recordNotRun:
			delete(s.inFlightSince, number)
		case recordUndelivered:
			if notification := r.Notification(); m != nil && !r.Malformed {
				s.table.MarkUndelivered(m, notification)
			}
		case recordCompleted:
			sequence, id := r.Uint(), string(r.Bytes())
			if r.Malformed {
				break
			}
			s.completedSeq = max(s.completedSeq, sequence)
			delete(s.inFlightSince, number)
			if m != nil {
				s.table.Remove(m) // also remembers its id
			}
			if id != "" {
				s.table.MarkCompleted(id)
			} else if m != nil {
				s.table.ForgetCompleted(m.ID)
			}
		}
	case recordBatch: // walkRecords has checked that it is complete
	default:
		return fmt.Errorf("unknown record type %q", kind)
	}
	if r.Malformed {
		return errTruncated
	}
	return nil
}

// markMayHaveRun records that an earlier attempt of m, not known to have failed before it ran, may
// have run.
func (s *replayState) markMayHaveRun(m *memory.Message) {
	if since, ok := s.inFlightSince[m.Number]; ok && m.MayHaveRunSince.IsZero() {
		m.MayHaveRunSince = since
	}
}

// finish marks the attempts in flight when the process ended: they may have run.
func (s *replayState) finish() {
	for number := range s.inFlightSince {
		if m := s.table.Get(number); m != nil {
			s.markMayHaveRun(m)
		}
	}
}

// forEachNumber calls visit with the number of each message that a record belongs to.
func forEachNumber(payload []byte, visit func(number uint32)) {
	if payload[0] == recordBatch {
		return
	}
	r := newRecordReader(payload, clock.Scale{})
	if payload[0] != recordAttempt {
		visit(uint32(r.Uint()))
		return
	}
	for r.Int(); len(r.Rest) > 0 && !r.Malformed; {
		visit(uint32(r.Uint()))
	}
}
