package memory

import (
	"encoding/binary"
	"time"
)

// FieldReader takes a record of a journal apart; after the first field that is not there, Bad is set and nothing is left.
type FieldReader struct {
	Rest      []byte
	Malformed bool
}

// Uint takes an unsigned number.
func (r *FieldReader) Uint() uint64 {
	v, n := binary.Uvarint(r.Rest)
	if n <= 0 {
		r.Malformed, r.Rest = true, nil
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Int takes a signed number.
func (r *FieldReader) Int() int64 {
	v, n := binary.Varint(r.Rest)
	if n <= 0 {
		r.Malformed, r.Rest = true, nil
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Bytes takes bytes and their length before them. They are the record's own.
func (r *FieldReader) Bytes() []byte {
	n := r.Uint()
	if r.Malformed || n > uint64(len(r.Rest)) {
		r.Malformed, r.Rest = true, nil
		return nil
	}
	s := r.Rest[:n]
	r.Rest = r.Rest[n:]
	return s
}

// Notification takes what a message's notice says.
func (r *FieldReader) Notification() Notification {
	if len(r.Rest) == 0 {
		r.Malformed = true
		return Notification{}
	}
	refused := r.Rest[0] == 1
	r.Rest = r.Rest[1:]
	return Notification{Returned: refused, RetryAfter: time.Duration(r.Uint()) * time.Microsecond}
}

// TimeFromMicros is a date in microseconds; 0 is none.
func TimeFromMicros(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}
