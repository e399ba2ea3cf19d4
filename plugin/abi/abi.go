// Package abi defines version 1 of the binary interface between the relay and its plug-ins.
//
// A plug-in is a WebAssembly module that exports
//
//	memory
//	oatfold_abi() i32                  the version of the ABI it was built for: 1
//	oatfold_alloc(size i32) i32        address of size bytes, to which the host writes the next input
//	on_handin(at i32, size i32) i64    the hooks; those that are not configured are never called and may be missing
//	shape_request(at i32, size i32) i64
//	read_answer(at i32, size i32) i64
//
// and _initialize or _start if it needs initialisation. A hook receives its input at the address that oatfold_alloc
// returned. It returns the position of its output: the address in the upper half of the result, the size in the lower
// half; 0 is an empty output, which changes nothing. The host copies the output before the next call. A module may
// import wasi_snapshot_preview1, but has no arguments, environment variables, files or network, and clocks stand still.
//
// Input and output are sequences of fields: one byte with the number of the field, four bytes with the length of the
// value, little-endian, and the value. Numbers are eight bytes, little-endian. The order is arbitrary; headers and notes
// may repeat.
package abi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the version of the ABI.
const Version = 1

// Names of the exports.
const (
	ExportVersion = "oatfold_abi"
	ExportAlloc   = "oatfold_alloc"
)

// Hook is a point in the processing of a message at which a plug-in is called.
type Hook int

// The hooks.
const (
	OnHandIn     Hook   = iota // a message is submitted: reject it or attach notes
	ShapeRequest               // an attempt is about to be sent: change its body, add headers
	ReadAnswer                 // an answer was received: interpret it
	Hooks        = iota        // the number of hooks
)

// String returns the name of the hook's export.
func (h Hook) String() string { return [...]string{"on_handin", "shape_request", "read_answer"}[h] }

// Field is the number of a field.
type Field byte

// The fields. Every input has those of the message.
const (
	Class    Field = 1  // of the message
	Dest     Field = 2  // number of its destination
	Kind     Field = 3  // type of the destination
	ID       Field = 4  // correlation id; never in an output
	Key      Field = 5  // idempotency key; never in an output
	TimeLeft Field = 6  // milliseconds; never in an output
	Attempt  Field = 7  // number of the attempt, from 0; not in on_handin
	Note     Field = 8  // NAME=VALUE set by on_handin; output of on_handin
	Body     Field = 9  // of the message; in read_answer of the answer; output of shape_request
	Header   Field = 10 // NAME: VALUE, in read_answer of the answer; output of shape_request
	Status   Field = 11 // of the answer
	Outcome  Field = 12 // of the answer as the relay reads it, one of the outcomes below; output of read_answer
	WaitMs   Field = 13 // Retry-After of the answer; output of read_answer (a longer one) and of on_handin with Refuse
	Verdict  Field = 14 // output of on_handin: one of the verdicts below
	Reason   Field = 15 // text for the log; output of all hooks
	Setting  Field = 16 // the operator's text for this plug-in
)

// Verdicts of on_handin.
const (
	Take   = 0 // accept
	Refuse = 1 // reject for now: 429, the client may retry
	Reject = 2 // reject for good: 422
)

// Outcomes of an attempt.
const (
	Delivered = 0 // the message ran
	NeverRan  = 1 // rejected: the message did not run
	MayHave   = 2 // the message may have run
)

// ErrCut says that an input or output ends within a field.
var ErrCut = errors.New("truncated field")

// Append appends a field.
func Append[T string | []byte](b []byte, f Field, value T) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, byte(f)), uint32(len(value)))
	return append(b, value...)
}

// AppendNumber appends a field whose value is a number.
func AppendNumber(b []byte, f Field, v int64) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, byte(f)), 8)
	return binary.LittleEndian.AppendUint64(b, uint64(v))
}

// Number decodes the value of a field that is a number.
func Number(value []byte) (int64, error) {
	if len(value) != 8 {
		return 0, fmt.Errorf("number has %d bytes, not 8", len(value))
	}
	return int64(binary.LittleEndian.Uint64(value)), nil
}

// Each calls f with each field of b in order and stops at the first error. Values alias b.
func Each(b []byte, f func(Field, []byte) error) error {
	for len(b) > 0 {
		if len(b) < 5 {
			return ErrCut
		}
		n := binary.LittleEndian.Uint32(b[1:])
		if uint64(n) > uint64(len(b)-5) {
			return ErrCut
		}
		if err := f(Field(b[0]), b[5:5+n]); err != nil {
			return err
		}
		b = b[5+n:]
	}
	return nil
}

// Pack encodes the address and the size of an output as a hook's result.
func Pack(at, size uint32) uint64 { return uint64(at)<<32 | uint64(size) }

// Unpack decodes a hook's result.
func Unpack(v uint64) (at, size uint32) { return uint32(v >> 32), uint32(v) }
