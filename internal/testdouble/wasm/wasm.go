// Package wasm assembles small WebAssembly plug-ins for tests, most of them faulty: modules of the
// ABI oatfold/plugin/abi whose hooks loop, trap, exhaust memory or return invalid output.
package wasm

import (
	"encoding/binary"

	"oatfold/plugin/abi"
)

// Module describes a plug-in to assemble. The zero value has the exports of the ABI and no hook.
type Module struct {
	Version    int32             // ABI version that it reports; 0: the supported one
	Pages      uint32            // initial memory in pages of 64 KiB; 0: 4
	Data       []byte            // stored at DataAddress
	Hooks      map[string][]byte // code by export name: (i32 at, i32 size) -> i64
	InitCode   []byte            // code of _initialize; nil: none
	OmitExport string            // name of an export to leave out
}

// DataAddress is the address of Module.Data.
const DataAddress = 1024

// inputAddress is where the host writes the input of a hook.
const inputAddress = 65536

// Opcodes and types.
const (
	opUnreachable, opLoop, opBr, opBrIf, opDrop, opEnd = 0x00, 0x03, 0x0c, 0x0d, 0x1a, 0x0b
	opConst32, opConst64, opStore8, opGrow, opNe       = 0x41, 0x42, 0x3a, 0x40, 0x47
	opLocalGet, opLocalTee, opSub, opClock             = 0x20, 0x22, 0x6b, 0x00
	i32, i64, void                                     = 0x7f, 0x7e, 0x40
)

// signedLEB128 encodes an integer as signed LEB128.
func signedLEB128(v int64) (b []byte) {
	for {
		c := byte(v & 0x7f)
		if v >>= 7; v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

// unsignedLEB128 encodes a non-negative integer as unsigned LEB128.
func unsignedLEB128(v int) []byte { return binary.AppendUvarint(nil, uint64(v)) }

// concat joins byte slices.
func concat(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// ReturnOutput returns code that returns an output with that address and size in bytes.
func ReturnOutput(at, size uint32) []byte {
	return append([]byte{opConst64}, signedLEB128(int64(abi.Pack(at, size)))...)
}

// InfiniteLoop returns code that never ends.
func InfiniteLoop() []byte { return []byte{opLoop, void, opBr, 0, opEnd, opUnreachable} }

// Trap returns code that traps.
func Trap() []byte { return []byte{opUnreachable} }

// WriteThenTrap returns code that writes a byte at DataAddress and traps.
func WriteThenTrap() []byte {
	return concat([]byte{opConst32}, signedLEB128(DataAddress), []byte{opConst32}, signedLEB128(1),
		[]byte{opStore8, 0, 0, opUnreachable})
}

// GrowUntilTrap returns code that grows the memory page by page until that fails, and traps.
func GrowUntilTrap() []byte {
	return concat([]byte{opLoop, void, opConst32}, signedLEB128(1), []byte{opGrow, 0, opConst32}, signedLEB128(-1),
		[]byte{opNe, opBrIf, 0, opEnd, opUnreachable})
}

// Bytes returns the module in the WebAssembly binary format.
func (m Module) Bytes() []byte {
	if m.Version == 0 {
		m.Version = abi.Version
	}
	if m.Pages == 0 {
		m.Pages = 4
	}
	type function struct {
		name      string
		typeIndex byte // index of its type in the type section
		code      []byte
	}
	functions := []function{{abi.ExportVersion, 0, append([]byte{opConst32}, signedLEB128(int64(m.Version))...)},
		{abi.ExportAlloc, 1, append([]byte{opConst32}, signedLEB128(inputAddress)...)}}
	for _, name := range []string{"on_handin", "shape_request", "read_answer"} {
		if code, ok := m.Hooks[name]; ok {
			functions = append(functions, function{name, 2, code})
		}
	}
	if m.InitCode != nil {
		functions = append(functions, function{"_initialize", 3, m.InitCode})
	}
	section := func(id byte, body []byte) []byte { return concat([]byte{id}, unsignedLEB128(len(body)), body) }
	types := concat(unsignedLEB128(4),
		[]byte{0x60, 0, 1, i32, 0x60, 1, i32, 1, i32, 0x60, 2, i32, i32, 1, i64, 0x60, 0, 0})
	typeIndexes, exports, codes, n := unsignedLEB128(len(functions)), []byte(nil), unsignedLEB128(len(functions)), 0
	for i, f := range functions {
		typeIndexes = append(typeIndexes, f.typeIndex)
		if f.name != m.OmitExport {
			exports = concat(exports, unsignedLEB128(len(f.name)), []byte(f.name), []byte{0}, unsignedLEB128(i))
			n++
		}
		body := concat([]byte{0}, f.code, []byte{opEnd})
		codes = concat(codes, unsignedLEB128(len(body)), body)
	}
	if m.OmitExport != "memory" {
		exports = concat(exports, unsignedLEB128(6), []byte("memory"), []byte{2, 0})
		n++
	}
	out := concat([]byte("\x00asm\x01\x00\x00\x00"), section(1, types), section(3, typeIndexes),
		section(5, concat([]byte{1, 0}, unsignedLEB128(int(m.Pages)))),
		section(7, concat(unsignedLEB128(n), exports)), section(10, codes))
	if len(m.Data) > 0 {
		out = concat(out, section(11, concat([]byte{1, 0, opConst32}, signedLEB128(DataAddress), []byte{opEnd},
			unsignedLEB128(len(m.Data)), m.Data)))
	}
	return out
}

// Returning returns a plug-in whose hook always returns these encoded fields.
func Returning(hook string, output []byte) Module {
	return Module{Data: output, Hooks: map[string][]byte{hook: ReturnOutput(DataAddress, uint32(len(output)))}}
}

// WithCode returns a plug-in whose hook runs that code.
func WithCode(hook string, code []byte) Module { return Module{Hooks: map[string][]byte{hook: code}} }

// Noop returns a plug-in whose hooks change nothing.
func Noop() Module {
	return Module{Hooks: map[string][]byte{"on_handin": ReturnOutput(0, 0), "shape_request": ReturnOutput(0, 0),
		"read_answer": ReturnOutput(0, 0)}}
}

// FaultyPlugins returns plug-ins with that hook, by the name of their fault. Each must fail every
// call or not load.
func FaultyPlugins(hook string) map[string]Module {
	body := make([]byte, 5)
	body[0] = byte(abi.Body)
	binary.LittleEndian.PutUint32(body[1:], 64<<10+1)
	oversized := Returning(hook, body)
	oversized.Hooks[hook] = ReturnOutput(DataAddress, 5+64<<10+1)
	return map[string]Module{
		"loops":            WithCode(hook, InfiniteLoop()),
		"traps":            WithCode(hook, Trap()),
		"traps halfway":    WithCode(hook, WriteThenTrap()),
		"grows":            WithCode(hook, GrowUntilTrap()),
		"body too long":    oversized,
		"output too long":  WithCode(hook, ReturnOutput(DataAddress, 1<<17)),
		"output outside":   WithCode(hook, ReturnOutput(4<<16-2, 8)),
		"output cut short": Returning(hook, []byte{byte(abi.Reason), 9, 0, 0, 0, 'x'}),
		"changes the id":   Returning(hook, abi.Append(nil, abi.ID, "another")),
		"changes the key":  Returning(hook, abi.Append(nil, abi.Key, "another")),
		"changes the dest": Returning(hook, abi.AppendNumber(nil, abi.Dest, 8)),
		"line end":         Returning(hook, abi.Append(nil, abi.Header, "X-A: b\r\nX-Correlation-Id: another")),
		"relay's header":   Returning(hook, abi.Append(nil, abi.Header, "Idempotency-Key: another")),
		"unknown field":    Returning(hook, abi.Append(nil, 99, "x")),
	}
}

// UnloadableModules returns modules, by the name of their fault, that must not load with that hook.
func UnloadableModules(hook string) map[string][]byte {
	build := func(f func(*Module)) []byte {
		m := WithCode(hook, ReturnOutput(0, 0))
		f(&m)
		return m.Bytes()
	}
	return map[string][]byte{
		"no WebAssembly": []byte("plug-in"),
		"empty":          {},
		"cut":            Noop().Bytes()[:40],
		"no hook":        build(func(m *Module) { m.OmitExport = hook }),
		"no alloc":       build(func(m *Module) { m.OmitExport = abi.ExportAlloc }),
		"no version":     build(func(m *Module) { m.OmitExport = abi.ExportVersion }),
		"no memory":      build(func(m *Module) { m.OmitExport = "memory" }),
		"other version":  build(func(m *Module) { m.Version = 2 }),
		"loops at start": build(func(m *Module) { m.InitCode = []byte{opLoop, void, opBr, 0, opEnd} }),
		"traps at start": build(func(m *Module) { m.InitCode = Trap() }),
		"needs too much": build(func(m *Module) { m.Pages = 60000 }),
	}
}
