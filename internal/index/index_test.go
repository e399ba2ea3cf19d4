package index

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

// Compares the heap and the list with slices, over random insertions and removals, including
// repeated removals.
func TestAgainstSlices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heap Heap[int]
		var list List[int]
		type item struct {
			n  int
			at time.Duration
			e  *Entry[int]
			l  *Node[int]
		}
		var model, removed []item
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case action <= 1:
				at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
				model = append(model, item{n, at, heap.Push(at, n), list.Push(n)})
			case action == 2 && len(model) > 0:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "which")
				heap.Remove(model[i].e)
				list.Remove(model[i].l)
				removed = append(removed, model[i])
				model = slices.Delete(model, i, i+1)
			case len(removed) > 0:
				heap.Remove(removed[0].e)
				list.Remove(removed[0].l)
			}
			if heap.Len() != len(model) || list.Len() != len(model) {
				t.Fatalf("lengths %d and %d, want %d", heap.Len(), list.Len(), len(model))
			}
			if len(model) == 0 {
				if heap.First() != nil || list.First() != nil {
					t.Fatal("an empty heap or list has a first entry")
				}
				continue
			}
			// Of equal times this is the one that was inserted first.
			first := slices.MinFunc(model, func(a, b item) int { return int(a.at - b.at) })
			if got := heap.First(); got.Value != first.n || got.At() != first.at {
				t.Fatalf("heap: first is %d at %d, want %d at %d", got.Value, got.At(), first.n, first.at)
			}
			if got := list.First().Value; got != model[0].n {
				t.Fatalf("list: first is %d, want %d", got, model[0].n)
			}
		}
		heap.Remove(nil)
		list.Remove(nil)
	})
}
