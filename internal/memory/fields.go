package memory

import (
	"encoding/binary"
	"time"
)

// FieldReader decodes the fields of a journal record in order. After the first field that is
// missing or malformed, Malformed is set and Rest is empty.
type FieldReader struct {
	Rest      []byte
	Malformed bool
}

// Uint reads an unsigned varint.
func (r *FieldReader) Uint() uint64 {
	value, n := binary.Uvarint(r.Rest)
	if n <= 0 {
		r.Malformed, r.Rest = true, nil
		return 0
	}
	r.Rest = r.Rest[n:]
	return value
}

// Int reads a signed varint.
func (r *FieldReader) Int() int64 {
	value, n := binary.Varint(r.Rest)
	if n <= 0 {
		r.Malformed, r.Rest = true, nil
		return 0
	}
	r.Rest = r.Rest[n:]
	return value
}

// Bytes reads a length-prefixed byte string. The result aliases the record.
func (r *FieldReader) Bytes() []byte {
	length := r.Uint()
	if r.Malformed || length > uint64(len(r.Rest)) {
		r.Malformed, r.Rest = true, nil
		return nil
	}
	value := r.Rest[:length]
	r.Rest = r.Rest[length:]
	return value
}

// Notification reads an outcome notification.
func (r *FieldReader) Notification() Notification {
	if len(r.Rest) == 0 {
		r.Malformed = true
		return Notification{}
	}
	returned := r.Rest[0] == 1
	r.Rest = r.Rest[1:]
	return Notification{Returned: returned, RetryAfter: time.Duration(r.Uint()) * time.Microsecond}
}

// TimeFromMicros converts Unix microseconds to a time. 0 gives the zero time.
func TimeFromMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
