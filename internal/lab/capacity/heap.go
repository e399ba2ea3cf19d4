package capacity

import "runtime"

// measureHeap returns the bytes of heap that what build returns keeps alive. Nothing else may allocate meanwhile.
func measureHeap(build func() (any, error)) (float64, error) {
	before := liveHeap()
	kept, err := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), err
}

// liveHeap collects garbage and returns the bytes that stay. A second collection frees what finalizers held in the first.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
