package share

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a relay that holds more messages than it may in an upgrade. In whatever order the
// old process accepts, transfers and ends messages, and the new one learns of it and accepts, both
// hold no more than the limit together.
func TestPendingOfBothProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 400).Draw(t, "limit")
		old, successor := rapid.IntRange(0, limit).Draw(t, "old"), 0
		kept := KeepPending(limit, old)
		type transfer struct{ messages, kept int }
		spool, told := []transfer{{0, kept}}, limit
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			count := rapid.IntRange(0, 40).Draw(t, "count")
			switch rapid.SampledFrom([]string{"accept", "end", "transfer", "lower", "adopt", "successor", "ends"}).Draw(t, "step") {
			case "accept":
				old += min(count, max(0, kept-old))
			case "end":
				old -= min(count, old)
			case "transfer":
				count = min(count, old)
				old, kept = old-count, kept-count
				spool = append(spool, transfer{count, kept})
			case "lower":
				kept = LowerPending(kept, old, count)
			case "adopt":
				if len(spool) > 0 {
					successor, told, spool = successor+spool[0].messages, spool[0].kept, spool[1:]
				}
			case "successor":
				successor += min(count, max(0, limit-told-successor))
			case "ends":
				successor -= min(count, successor)
			}
			held := old + successor
			for _, file := range spool {
				held += file.messages
			}
			if held > limit {
				t.Fatalf("%d messages with a limit of %d: %d and %d, %d kept, %d told", held, limit, old, successor, kept, told)
			}
		}
	})
}
