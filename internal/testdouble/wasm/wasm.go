// Package wasm assembles small plug-ins for tests, most of them faulty: modules of the ABI (oatfold/plugin/abi) whose hooks
// loop, trap, grow, or return what no plug-in may.
package wasm

import (
	"encoding/binary"

	"oatfold/plugin/abi"
)

// Module is a plug-in to be assembled. The zero value has the ABI's exports and no hook.
type Module struct {
	Version    int32             // that it says it is for; 0: the right one
	Pages      uint32            // of memory at the start; 0: 4
	Data       []byte            // at address At
	Hooks      map[string][]byte // code by export name: (i32 at, i32 size) -> i64
	InitCode   []byte            // code of _initialize; nil: none
	OmitExport string            // an export that is left out
}

// DataAddress is where Data lies. Input is written from 65536 on.
const DataAddress = 1024

const input = 65536

// Op codes.
const (
	opUnreachable, opLoop, opBr, opBrIf, opDrop, opEnd = 0x00, 0x03, 0x0c, 0x0d, 0x1a, 0x0b
	opConst32, opConst64, opStore8, opGrow, opNe       = 0x41, 0x42, 0x3a, 0x40, 0x47
	opLocalGet, opLocalTee, opSub, opClock             = 0x20, 0x22, 0x6b, 0x00
	i32, i64, void                                     = 0x7f, 0x7e, 0x40
)

func sleb(v int64) (b []byte) {
	for {
		c := byte(v & 0x7f)
		if v >>= 7; v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func uleb(v int) []byte { return binary.AppendUvarint(nil, uint64(v)) }

func join(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// ReturnOutput returns an output of that address and size.
func ReturnOutput(at, size uint32) []byte {
	return append([]byte{opConst64}, sleb(int64(abi.Pack(at, size)))...)
}

// InfiniteLoop loops without end.
func InfiniteLoop() []byte { return []byte{opLoop, void, opBr, 0, opEnd, opUnreachable} }

// Trap ends a call by a trap.
func Trap() []byte { return []byte{opUnreachable} }

// WriteThenTrap writes a byte where the output would lie, and traps.
func WriteThenTrap() []byte {
	return join([]byte{opConst32}, sleb(DataAddress), []byte{opConst32}, sleb(1), []byte{opStore8, 0, 0, opUnreachable})
}

// GrowUntilTrap takes memory, a page at a time, until there is no more, and traps.
func GrowUntilTrap() []byte {
	return join([]byte{opLoop, void, opConst32}, sleb(1), []byte{opGrow, 0, opConst32}, sleb(-1), []byte{opNe, opBrIf, 0, opEnd, opUnreachable})
}

// Bytes assembles the module.
func (m Module) Bytes() []byte {
	if m.Version == 0 {
		m.Version = abi.Version
	}
	if m.Pages == 0 {
		m.Pages = 4
	}
	type function struct {
		name string
		kind byte // index of its type
		code []byte
	}
	functions := []function{{abi.ExportVersion, 0, append([]byte{opConst32}, sleb(int64(m.Version))...)},
		{abi.ExportAlloc, 1, append([]byte{opConst32}, sleb(input)...)}}
	for _, name := range []string{"on_handin", "shape_request", "read_answer"} {
		if code, ok := m.Hooks[name]; ok {
			functions = append(functions, function{name, 2, code})
		}
	}
	if m.InitCode != nil {
		functions = append(functions, function{"_initialize", 3, m.InitCode})
	}
	section := func(id byte, body []byte) []byte { return join([]byte{id}, uleb(len(body)), body) }
	types := join(uleb(4), []byte{0x60, 0, 1, i32, 0x60, 1, i32, 1, i32, 0x60, 2, i32, i32, 1, i64, 0x60, 0, 0})
	kinds, exports, code, n := uleb(len(functions)), []byte(nil), uleb(len(functions)), 0
	for i, f := range functions {
		kinds = append(kinds, f.kind)
		if f.name != m.OmitExport {
			exports = join(exports, uleb(len(f.name)), []byte(f.name), []byte{0}, uleb(i))
			n++
		}
		body := join([]byte{0}, f.code, []byte{opEnd})
		code = join(code, uleb(len(body)), body)
	}
	if m.OmitExport != "memory" {
		exports = join(exports, uleb(6), []byte("memory"), []byte{2, 0})
		n++
	}
	out := join([]byte("\x00asm\x01\x00\x00\x00"), section(1, types), section(3, kinds), section(5, join([]byte{1, 0}, uleb(int(m.Pages)))),
		section(7, join(uleb(n), exports)), section(10, code))
	if len(m.Data) > 0 {
		out = join(out, section(11, join([]byte{1, 0, opConst32}, sleb(DataAddress), []byte{opEnd}, uleb(len(m.Data)), m.Data)))
	}
	return out
}

// Returning is a plug-in whose hook always returns these fields.
func Returning(hook string, output []byte) Module {
	return Module{Data: output, Hooks: map[string][]byte{hook: ReturnOutput(DataAddress, uint32(len(output)))}}
}

// WithCode is a plug-in whose hook has that code.
func WithCode(hook string, code []byte) Module { return Module{Hooks: map[string][]byte{hook: code}} }

// Noop is a plug-in whose hooks change nothing.
func Noop() Module {
	return Module{Hooks: map[string][]byte{"on_handin": ReturnOutput(0, 0), "shape_request": ReturnOutput(0, 0), "read_answer": ReturnOutput(0, 0)}}
}

// FaultyPlugins are faulty plug-ins by name, each with that hook: all of them must fail every call, or not load.
func FaultyPlugins(hook string) map[string]Module {
	body := make([]byte, 5)
	body[0] = byte(abi.Body)
	binary.LittleEndian.PutUint32(body[1:], 64<<10+1)
	big := Returning(hook, body)
	big.Hooks[hook] = ReturnOutput(DataAddress, 5+64<<10+1)
	return map[string]Module{
		"loops":            WithCode(hook, InfiniteLoop()),
		"traps":            WithCode(hook, Trap()),
		"traps halfway":    WithCode(hook, WriteThenTrap()),
		"grows":            WithCode(hook, GrowUntilTrap()),
		"body too long":    big,
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

// UnloadableModules are modules that must not load with that hook.
func UnloadableModules(hook string) map[string][]byte {
	with := func(f func(*Module)) []byte {
		m := WithCode(hook, ReturnOutput(0, 0))
		f(&m)
		return m.Bytes()
	}
	return map[string][]byte{
		"no WebAssembly": []byte("plug-in"),
		"empty":          {},
		"cut":            Noop().Bytes()[:40],
		"no hook":        with(func(m *Module) { m.OmitExport = hook }),
		"no alloc":       with(func(m *Module) { m.OmitExport = abi.ExportAlloc }),
		"no version":     with(func(m *Module) { m.OmitExport = abi.ExportVersion }),
		"no memory":      with(func(m *Module) { m.OmitExport = "memory" }),
		"other version":  with(func(m *Module) { m.Version = 2 }),
		"loops at start": with(func(m *Module) { m.InitCode = []byte{opLoop, void, opBr, 0, opEnd} }),
		"traps at start": with(func(m *Module) { m.InitCode = Trap() }),
		"needs too much": with(func(m *Module) { m.Pages = 60000 }),
	}
}
