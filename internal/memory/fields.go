package memory

import (
	"encoding/binary"
	"time"
)

// Fields takes a record of a journal apart; after the first field that is not there, Bad is set and nothing is left.
type Fields struct {
	B   []byte
	Bad bool
}

// Uint takes an unsigned number.
func (r *Fields) Uint() uint64 {
	v, n := binary.Uvarint(r.B)
	if n <= 0 {
		r.Bad, r.B = true, nil
		return 0
	}
	r.B = r.B[n:]
	return v
}

// Int takes a signed number.
func (r *Fields) Int() int64 {
	v, n := binary.Varint(r.B)
	if n <= 0 {
		r.Bad, r.B = true, nil
		return 0
	}
	r.B = r.B[n:]
	return v
}

// Text takes bytes and their length before them. They are the record's own.
func (r *Fields) Text() []byte {
	n := r.Uint()
	if r.Bad || n > uint64(len(r.B)) {
		r.Bad, r.B = true, nil
		return nil
	}
	s := r.B[:n]
	r.B = r.B[n:]
	return s
}

// Notice takes what a message's notice says.
func (r *Fields) Notice() Notice {
	if len(r.B) == 0 {
		r.Bad = true
		return Notice{}
	}
	refused := r.B[0] == 1
	r.B = r.B[1:]
	return Notice{Refused: refused, Advice: time.Duration(r.Uint()) * time.Microsecond}
}

// WallTime is a date in microseconds; 0 is none.
func WallTime(us int64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return time.UnixMicro(us)
}
