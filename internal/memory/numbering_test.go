package memory

import (
	"testing"
	"time"
)

// Two tables that share a numbering assign unique numbers in the order of time, above all earlier
// ones. Afterwards each one counts on by itself.
func TestSharedNumbering(t *testing.T) {
	now := 7 * time.Second
	clock := func() time.Duration { return now }
	predecessor, successor := NewTable(), NewTable()
	predecessor.StartNumbersAfter(1000)
	numbering := predecessor.NewSharedNumbering()
	numbering.now, numbering.StartedAt = clock, now
	predecessor.UseSharedNumbering(numbering)
	numbering.Odd = true
	successor.UseSharedNumbering(numbering)
	if !successor.CanKeepNumber(1000) || successor.CanKeepNumber(0) {
		t.Error("a number assigned before sharing cannot be kept")
	}
	last, seen := uint32(1000), map[uint32]bool{}
	for i := range 200 {
		table := []*Table{predecessor, successor}[i/3%2]
		number := table.NextNumber()
		if number <= last || seen[number] {
			t.Fatalf("number %d after %d", number, last)
		}
		if predecessor.CanKeepNumber(number) != (table == successor) ||
			successor.CanKeepNumber(number) != (table == predecessor) {
			t.Fatalf("number %d: wrong process can keep it", number)
		}
		last, seen[number] = number, true
		if i%3 == 2 {
			now += 10 * numberInterval // at least the time between two requests of one client
		}
	}
	now += 100 * time.Hour
	if got := successor.NextNumber(); got > numbering.Base+2*uint32(maxSharingTime/numberInterval)+2 {
		t.Errorf("an upgrade uses %d numbers", got-numbering.Base)
	}
	now = 0
	if a, b := successor.NextNumber(), successor.NextNumber(); b <= a {
		t.Errorf("number %d after %d", b, a)
	}
	successor.StopSharedNumbering()
	if a, b := successor.NextNumber(), successor.NextNumber(); b != a+1 || successor.CanKeepNumber(1000) {
		t.Errorf("after sharing: number %d after %d", b, a)
	}
}

func TestMonotonicClock(t *testing.T) {
	if a, b := monotonicClock(), monotonicClock(); a <= 0 || b < a {
		t.Errorf("%v, then %v", a, b)
	}
}
