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

// A segment is a head and records. Head: magic, number of the segment, the largest message number before it, salt.
// Record: four bytes of length, four of checksum, the payload. The checksum is the lower half of xxhash64 of the payload,
// with the salt added by exclusive or. Guards against a body that holds records: nobody outside knows the salt.
const (
	magic     = "oatfold2"
	headSize  = len(magic) + 8 + 4 + 4
	frameHead = 8
	maxRecord = 1 << 20 // a longer length can only be garbage
)

// The kinds of record.
const (
	recTaken  byte = 'T' // a message was taken on, as it came
	recUnkept byte = 'U' // a message was taken on, and its body is not kept
	recKept   byte = 'K' // a message as an upgrade found it
	recNotes  byte = 'A' // what plug-ins noted about the message just before
	recTerms  byte = 'Q' // what that message was taken on under; a taken one has it at its own end
	recOut    byte = 'O' // a route step goes out: one or more messages, written before the call's first byte
	recNotRun byte = 'N' // the latest route step of a message is proved not to have run
	recOwed   byte = 'E' // a message is ended; its notice is owed
	recBatch  byte = 'B' // so many bytes of records follow that count together, or not at all
	recOver   byte = 'X' // nothing more is owed: ordinal, id (empty: it may be taken on again)
)

var (
	errChecksum = errors.New("checksum")
	errCut      = errors.New("record cut short")
	errHead     = errors.New("no head of a segment")
)

func appendHead(b []byte, no uint64, top, salt uint32) []byte {
	b = binary.LittleEndian.AppendUint64(append(b, magic...), no)
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, top), salt)
}

func readHead(b []byte) (top, salt uint32, err error) {
	if len(b) < headSize || string(b[:len(magic)]) != magic {
		return 0, 0, errHead
	}
	return binary.LittleEndian.Uint32(b[len(magic)+8:]), binary.LittleEndian.Uint32(b[len(magic)+12:]), nil
}

func sum(payload []byte) uint32 { return uint32(xxhash.Sum64(payload)) }

// begin leaves room for a frame's head; frame fills it once the payload is behind it, and salted adds the salt of the
// segment that it goes to.
func begin(b []byte) []byte { return append(b, make([]byte, frameHead)...) }

func salted(b []byte, salt uint32) {
	binary.LittleEndian.PutUint32(b[4:], binary.LittleEndian.Uint32(b[4:])^salt)
}

func frame(b []byte, at int) []byte {
	payload := b[at+frameHead:]
	binary.LittleEndian.PutUint32(b[at:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[at+4:], sum(payload))
	return b
}

// next reads the record at the head of b. size is 0 where none is whole there; err tells of a whole one that is bad.
func next(b []byte, salt uint32) (payload []byte, size int, err error) {
	if len(b) < frameHead {
		return nil, 0, nil
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n == 0 || n > maxRecord || n > len(b)-frameHead {
		return nil, 0, nil
	}
	if payload = b[frameHead : frameHead+n]; sum(payload)^salt != binary.LittleEndian.Uint32(b[4:]) {
		return nil, frameHead + n, errChecksum
	}
	return payload, frameHead + n, nil
}

// resyncMost bounds how far behind a bad place the next good record is looked for.
const resyncMost = 1 << 20

// walk tells of each record below the head: its place, its payload, or what is wrong there. It returns the end of the
// last good one. Guards against one bad length that hides all that follows: the next good record is looked for.
func walk(raw []byte, tell func(at, size int, payload []byte, err error)) (end int) {
	_, salt, err := readHead(raw)
	if err != nil {
		return 0
	}
	at := headSize
	for end = at; at < len(raw); {
		payload, size, err := next(raw[at:], salt)
		if size > 0 && err == nil {
			if payload[0] == recBatch && !wholeBatch(payload, len(raw)-at-size) {
				return end // a torn tail: nothing of it was promised
			}
			tell(at, size, payload, nil)
			at += size
			end = at
			continue
		}
		bad := at
		for at++; at < len(raw) && at-bad < resyncMost; at++ {
			if _, size, err := next(raw[at:], salt); size > 0 && err == nil {
				break
			}
		}
		if at >= len(raw) || at-bad >= resyncMost {
			if err == nil && at < len(raw) {
				err = errCut
			}
			if err != nil {
				tell(bad, len(raw)-bad, nil, err)
				return len(raw) // whole but bad: it stays, and is named again
			}
			return end // a torn tail
		}
		if err == nil {
			err = errCut
		}
		tell(bad, at-bad, nil, err)
	}
	return end
}

// appendBatch begins a batch of so many bytes. A version that knows no batches names it as bad and reads its records one by one.
func appendBatch(b []byte, bytes int, salt uint32) []byte {
	at := len(b)
	b = frame(binary.AppendUvarint(append(begin(b), recBatch), uint64(bytes)), at)
	salted(b[at:], salt)
	return b
}

// batchHead bounds what the beginning of a batch takes.
const batchHead = frameHead + 1 + binary.MaxVarintLen32

// wholeBatch tells whether all of a batch is among the bytes that follow its beginning.
func wholeBatch(payload []byte, follow int) bool {
	bytes, n := binary.Uvarint(payload[1:])
	return n > 0 && bytes <= uint64(follow)
}

// --- payloads ---

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendMessage(b []byte, m *memory.Message, dates clock.Scale) []byte {
	body := m.Body
	if m.MemoryOnly {
		body = nil
	}
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = binary.AppendVarint(b, dates.Date(m.Deadline))
	b = binary.AppendVarint(b, int64(m.Dest))
	b = appendText(appendText(appendText(b, m.ID), m.Class), m.IdempotencyKey)
	return appendText(b, body)
}

// appendTerms adds what a message was taken on under; nothing where that restricts nothing.
func appendTerms(b []byte, t memory.Terms) []byte {
	if t == (memory.Terms{}) {
		return b
	}
	effect := byte(t.Effect)
	if t.ZoneOnly {
		effect |= zoneOnly
	}
	b = binary.AppendUvarint(append(b, effect), uint64(t.RepeatWindow.Microseconds()))
	return appendText(appendText(b, t.Tenant), t.OrderingKey)
}

const zoneOnly = 0x80 // beside an effect

// terms takes what appendTerms has added, if anything.
func (r *fields) terms() (t memory.Terms) {
	if len(r.Rest) == 0 || r.Malformed {
		return t
	}
	effect := r.Rest[0]
	r.Rest = r.Rest[1:]
	t.Effect, t.ZoneOnly = policy.Effect(effect&^zoneOnly), effect&zoneOnly != 0
	t.RepeatWindow = time.Duration(r.Uint()) * time.Microsecond
	t.Tenant, t.OrderingKey = string(r.Bytes()), string(r.Bytes())
	if t.Effect > policy.Unsafe {
		t.Effect = policy.Unsafe // whatever it is: it is not run twice
	}
	return t
}

func appendNotice(b []byte, n memory.Notification) []byte {
	kind := byte(0)
	if n.Returned {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryAfter.Microseconds()))
}

// appendKept adds to a message what has happened to it. A step that is out counts as risk from its start on.
func appendKept(b []byte, m *memory.Message, dates clock.Scale) []byte {
	b = appendMessage(b, m, dates)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = binary.AppendVarint(b, dates.Date(m.MayHaveRunSince))
	if m.Notification != nil {
		b = appendNotice(b, *m.Notification)
	}
	return b
}

// fields takes a payload apart, whose dates are on that scale.
type fields struct {
	memory.FieldReader
	dates clock.Scale
}

func read(payload []byte, dates clock.Scale) *fields {
	return &fields{memory.FieldReader{Rest: payload[1:]}, dates}
}

func (r *fields) message() *memory.Message {
	return &memory.Message{Number: uint32(r.Uint()), Deadline: r.dates.Time(r.Int()), Dest: int(r.Int()), ID: string(r.Bytes()),
		Class: string(r.Bytes()), IdempotencyKey: string(r.Bytes()), Body: append([]byte(nil), r.Bytes()...)}
}

// state is what records add up to.
type state struct {
	table   *memory.Table
	dates   clock.Scale          // that records are dated on
	bound   int64                // bytes that bodies may take in memory; 0: any number
	pending map[uint32]time.Time // starts of route steps that are out
	overs   uint64               // ordinal of the last message that was over
	top     uint32               // largest message number met
}

func newState(dates clock.Scale) *state {
	return &state{table: memory.NewTable(), dates: dates, pending: map[uint32]time.Time{}}
}

// apply takes one record in. Records of messages that are not there are of those that were over and cleaned away.
func (s *state) apply(payload []byte) error {
	r := read(payload, s.dates)
	switch kind := payload[0]; kind {
	case recTaken, recUnkept, recKept:
		m := r.message()
		m.MemoryOnly, m.Recovered = kind == recUnkept, true
		if kind == recKept {
			if m.Attempts, m.MayHaveRunSince = int(r.Uint()), r.dates.Time(r.Int()); len(r.Rest) > 0 {
				n := r.Notification()
				m.Notification = &n
			}
		} else {
			m.Terms = r.terms()
		}
		if r.Malformed || s.table.Get(m.Number) != nil {
			return fmt.Errorf("message cut short or there already")
		}
		s.top = max(s.top, m.Number)
		s.table.Add(m)
		if kept, _ := s.table.BodyBytes(); s.bound > 0 && kept > s.bound {
			s.table.SpillBody(m)
		}
	case recOut:
		at := r.dates.Time(r.Int())
		for len(r.Rest) > 0 && !r.Malformed {
			n := uint32(r.Uint())
			s.top = max(s.top, n)
			if m := s.table.Get(n); m != nil {
				s.settle(m)
				m.Attempts++
				s.pending[n] = at
			}
		}
	case recNotes, recTerms, recNotRun, recOwed, recOver:
		n := uint32(r.Uint())
		s.top = max(s.top, n)
		m := s.table.Get(n)
		switch kind {
		case recNotes:
			if text := r.Bytes(); m != nil {
				m.PluginNotes = append([]byte(nil), text...)
			}
		case recTerms:
			if t := r.terms(); m != nil {
				m.Terms = t
			}
		case recNotRun:
			delete(s.pending, n)
		case recOwed:
			if notice := r.Notification(); m != nil && !r.Malformed {
				s.table.MarkUndelivered(m, notice)
			}
		case recOver:
			ordinal, id := r.Uint(), string(r.Bytes())
			if r.Malformed {
				break
			}
			s.overs = max(s.overs, ordinal)
			delete(s.pending, n)
			if m != nil {
				s.table.Remove(m) // which keeps its id
			}
			if id != "" {
				s.table.MarkCompleted(id)
			} else if m != nil {
				s.table.ForgetCompleted(m.ID)
			}
		}
	case recBatch: // walk has looked whether it is whole
	default:
		return fmt.Errorf("unknown kind %q", kind)
	}
	if r.Malformed {
		return errCut
	}
	return nil
}

// settle books an earlier step without a proof that it never ran as risk.
func (s *state) settle(m *memory.Message) {
	if since, ok := s.pending[m.Number]; ok && m.MayHaveRunSince.IsZero() {
		m.MayHaveRunSince = since
	}
}

// end books what was out as the process ended: it may have run.
func (s *state) end() {
	for n := range s.pending {
		if m := s.table.Get(n); m != nil {
			s.settle(m)
		}
	}
}

// nums calls f with each message that a record is of.
func nums(payload []byte, f func(num uint32)) {
	if payload[0] == recBatch {
		return
	}
	r := read(payload, clock.Scale{})
	if payload[0] != recOut {
		f(uint32(r.Uint()))
		return
	}
	for r.Int(); len(r.Rest) > 0 && !r.Malformed; {
		f(uint32(r.Uint()))
	}
}
