package memory

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Ids of completed messages survive a burst of others for as long as a client may retry, and their
// number is bounded.
func TestCompletedIDsSurviveFlood(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.now = func() time.Time { return now }
	complete := func(id string) {
		m := &Message{Number: table.NextNumber(), ID: id}
		table.Add(m)
		table.Remove(m)
	}
	complete("charge")
	for i := range 5 * MaxCompletedIDs {
		complete(fmt.Sprint(i))
	}
	if !table.RecentlyCompleted("charge") {
		t.Error("a burst drops an id that may still be submitted again")
	}
	now = now.Add(completedRetention + 1)
	complete("later")
	if table.RecentlyCompleted("charge") || !table.RecentlyCompleted("later") ||
		table.CompletedCount() != MaxCompletedIDs {
		t.Errorf("%d ids remembered, the old one: %v", table.CompletedCount(), table.RecentlyCompleted("charge"))
	}
	for i := range 2 * maxRecentCompletedIDs {
		complete(fmt.Sprint("flood", i))
	}
	if table.CompletedCount() > maxRecentCompletedIDs || len(table.completionOrder) > maxRecentCompletedIDs {
		t.Errorf("%d ids remembered", table.CompletedCount())
	}
}

// An id that was forgotten may complete again, and dropping its stale entry does not forget the new
// one.
func TestForgottenIDCompletedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.now = func() time.Time { return now }
	table.MarkCompleted("a")
	table.ForgetCompleted("a")
	now = now.Add(time.Minute)
	for i := range MaxCompletedIDs - 1 {
		table.MarkCompleted(fmt.Sprint(i))
	}
	table.MarkCompleted("a")
	table.MarkCompleted("b") // drops the stale entry
	if ids := table.CompletedIDs(); !table.RecentlyCompleted("a") || len(ids) != MaxCompletedIDs ||
		!slices.Equal(ids[MaxCompletedIDs-2:], []string{"a", "b"}) {
		t.Errorf("%d ids, completed %v, last %v", len(ids), table.RecentlyCompleted("a"), ids[len(ids)-2:])
	}
}
