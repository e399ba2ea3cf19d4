package capacity

import "runtime"

// measureHeap returns the bytes of heap that the value returned by build keeps alive. Nothing else
// may allocate concurrently.
func measureHeap(build func() (any, error)) (float64, error) {
	before := liveHeap()
	kept, err := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), err
}

// liveHeap collects garbage and returns the remaining bytes. The second collection frees what
// finalizers retained in the first.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
