package share

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against processes of one relay that use more memory than it may together: one that was
// replaced while the one before it still left had the share of a process that was alone.
func TestMemoryOfAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alone := Memory{Limit: rapid.Int64Range(0, 1<<34).Draw(t, "limit"), Bodies: rapid.Int64Range(0, 1<<30).Draw(t, "bodies")}
		leaving := rapid.IntRange(0, 4).Draw(t, "leaving")
		used := alone.Successor(leaving)
		for n := range leaving {
			kept := alone.Successor(n).Leaving()
			used.Limit, used.Bodies = used.Limit+kept.Limit, used.Bodies+kept.Bodies
		}
		if used != alone {
			t.Fatalf("%+v with %d leaving processes, of %+v", used, leaving, alone)
		}
	})
}
