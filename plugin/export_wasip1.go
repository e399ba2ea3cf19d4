package plugin

import (
	"unsafe"

	"oatfold/plugin/abi"
)

// input and output are package variables so that the garbage collector keeps them while the host
// reads or writes them. The host makes one call at a time.
var input, output []byte

//go:wasmexport oatfold_abi
func exportVersion() uint32 { return abi.Version }

//go:wasmexport oatfold_alloc
func exportAlloc(size uint32) uint32 {
	if uint32(cap(input)) < size {
		input = make([]byte, size, size+size/2)
	}
	input = input[:size]
	return address(input)
}

// address returns where b lies in the memory of the module.
func address(b []byte) uint32 { return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(b)))) }

//go:wasmexport on_handin
func exportOnHandIn(at, size uint32) uint64 { return runExport(abi.OnHandIn, size) }

//go:wasmexport shape_request
func exportShapeRequest(at, size uint32) uint64 { return runExport(abi.ShapeRequest, size) }

//go:wasmexport read_answer
func exportReadAnswer(at, size uint32) uint64 { return runExport(abi.ReadAnswer, size) }

// runExport runs a hook on the first size bytes of input and returns the packed position of its
// output.
func runExport(h abi.Hook, size uint32) uint64 {
	out, err := runHook(h, input[:size])
	if err != nil {
		panic(err) // ends the instance; the host counts the call as failed
	}
	if output = out; len(output) == 0 {
		return 0
	}
	return abi.Pack(address(output), uint32(len(output)))
}
