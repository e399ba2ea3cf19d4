package memory

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Ids of messages that are over outlast a flood of others for as long as a client may hand one in again, and memory stays bounded.
func TestOversOutlastAFlood(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.now = func() time.Time { return now }
	over := func(id string) {
		m := &Message{Number: table.NextNumber(), ID: id}
		table.Add(m)
		table.Remove(m)
	}
	over("charge")
	for i := range 5 * MaxCompletedIDs {
		over(fmt.Sprint(i))
	}
	if !table.RecentlyCompleted("charge") {
		t.Error("a flood makes it forget what may still be handed in again")
	}
	now = now.Add(overKeep + 1)
	over("later")
	if table.RecentlyCompleted("charge") || !table.RecentlyCompleted("later") || table.CompletedCount() != MaxCompletedIDs {
		t.Errorf("%d ids are kept, the old one: %v", table.CompletedCount(), table.RecentlyCompleted("charge"))
	}
	for i := range 2 * overFlood {
		over(fmt.Sprint("flood", i))
	}
	if table.CompletedCount() > overFlood || len(table.order) > overFlood {
		t.Errorf("%d ids are kept", table.CompletedCount())
	}
}

// What is forgotten may be over once more, and its first place in the order takes nothing from the second.
func TestForgottenAndOverAgain(t *testing.T) {
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
	table.MarkCompleted("b") // the first place goes
	if ids := table.CompletedIDs(); !table.RecentlyCompleted("a") || len(ids) != MaxCompletedIDs || !slices.Equal(ids[MaxCompletedIDs-2:], []string{"a", "b"}) {
		t.Errorf("%d ids, over %v, last %v", len(ids), table.RecentlyCompleted("a"), ids[len(ids)-2:])
	}
}
