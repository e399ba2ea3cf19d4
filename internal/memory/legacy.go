package memory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// The first form of the journal was one segment of records, each framed by its length and a CRC-32. It is only read, when
// a relay of this form starts for the first time.
const (
	frameHead = 8       // length and checksum, four bytes each
	maxRecord = 1 << 20 // a longer length can only be garbage
)

// The kinds of record.
const (
	recTaken  byte = 'T' // a message was taken on, as it came
	recKept   byte = 'K' // a message as compaction found it
	recNotes  byte = 'A' // what plug-ins noted about the message just before
	recOut    byte = 'O' // a route step goes out: one or more messages, written before the call's first byte
	recNotRun byte = 'N' // the latest route step of a message is proved not to have run
	recOwed   byte = 'E' // a message is ended; its notice is owed
	recOver   byte = 'X' // nothing more is owed
)

// ReadLegacy takes the records of a segment of the first form. It stops at a torn tail; a whole record that makes no
// sense is told of and passed over.
func ReadLegacy(raw []byte, bad func(at int, err error)) *Table {
	t := NewTable()
	walk(raw, t, func(at int, _ []byte, err error) {
		if err != nil {
			bad(at, err)
		}
	})
	return t
}

// errChecksum is the error of a whole record whose checksum does not fit.
var errChecksum = errors.New("checksum")

// walk is replay that tells of each whole record, with an error if it was passed over.
func walk(raw []byte, t *Table, tell func(at int, payload []byte, err error)) int {
	at := 0
	pending := map[uint32]time.Time{} // starts of route steps that are out
	for len(raw)-at >= frameHead {
		n := int(binary.LittleEndian.Uint32(raw[at:]))
		if n == 0 || n > maxRecord || n > len(raw)-at-frameHead {
			break
		}
		payload := raw[at+frameHead : at+frameHead+n]
		err := errChecksum // A flipped byte in one record must not hide those after it.
		if crc32.ChecksumIEEE(payload) == binary.LittleEndian.Uint32(raw[at+4:]) {
			err = apply(payload, t, pending)
		}
		tell(at, payload, err)
		at += frameHead + n
	}
	for n, since := range pending {
		if m := t.Get(n); m != nil && m.MayHaveRunSince.IsZero() {
			m.MayHaveRunSince = since // what was out as the process ended may have run
		}
	}
	return at
}

func apply(payload []byte, t *Table, pending map[uint32]time.Time) error {
	r := &FieldReader{Rest: payload[1:]}
	kind := payload[0]
	var m *Message
	switch kind {
	case recTaken, recKept:
		m = &Message{Number: uint32(r.Uint()), Deadline: time.UnixMicro(r.Int()), Dest: int(r.Int()), ID: string(r.Bytes()),
			Class: string(r.Bytes()), IdempotencyKey: string(r.Bytes()), Body: []byte(string(r.Bytes()))}
		var out time.Time
		if kind == recKept {
			m.Attempts, m.MayHaveRunSince, out = int(r.Uint()), TimeFromMicros(r.Int()), TimeFromMicros(r.Int())
			if len(r.Rest) > 0 {
				n := r.Notification()
				m.Notification = &n
			}
		}
		if r.Malformed || t.Get(m.Number) != nil {
			return fmt.Errorf("message cut short or there already")
		}
		t.Add(m)
		if !out.IsZero() {
			pending[m.Number] = out
		}
		return nil
	case recOut:
		at := time.UnixMicro(r.Int())
		for len(r.Rest) > 0 && !r.Malformed {
			n := uint32(r.Uint())
			if m := t.Get(n); m != nil {
				settle(m, pending)
				m.Attempts++
				pending[n] = at
			}
		}
		return nil
	}
	if m = t.Get(uint32(r.Uint())); m == nil || r.Malformed {
		return fmt.Errorf("record %q of no message", kind)
	}
	switch kind {
	case recNotRun:
		delete(pending, m.Number)
	case recNotes:
		m.PluginNotes = []byte(string(r.Bytes()))
		if r.Malformed {
			return fmt.Errorf("notes cut short")
		}
	case recOwed:
		n := r.Notification()
		if r.Malformed {
			return fmt.Errorf("notice cut short")
		}
		t.MarkUndelivered(m, n)
	case recOver:
		delete(pending, m.Number)
		t.Remove(m)
	default:
		return fmt.Errorf("unknown kind %q", kind)
	}
	return nil
}

// settle books an earlier step without a proof that it never ran as risk.
func settle(m *Message, pending map[uint32]time.Time) {
	if since, ok := pending[m.Number]; ok && m.MayHaveRunSince.IsZero() {
		m.MayHaveRunSince = since
	}
}
