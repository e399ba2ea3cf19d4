package memory

import (
	"testing"
	"time"
)

// Two tables that share a numbering draw numbers in the order of time, none twice, above all that was drawn before; alone, each counts on.
func TestNumbersOfTwoProcesses(t *testing.T) {
	now := 7 * time.Second
	clock := func() time.Duration { return now }
	old, successor := NewTable(), NewTable()
	old.StartNumbersAfter(1000)
	n := old.NewSharedNumbering()
	n.now, n.StartedAt = clock, now
	old.UseSharedNumbering(n)
	n.Odd = true
	successor.UseSharedNumbering(n)
	if !successor.CanKeepNumber(1000) || successor.CanKeepNumber(0) {
		t.Error("what was drawn before is not kept")
	}
	last, seen := uint32(1000), map[uint32]bool{}
	for i := range 200 {
		table := []*Table{old, successor}[i/3%2]
		num := table.NextNumber()
		if num <= last || seen[num] {
			t.Fatalf("%d after %d", num, last)
		}
		if old.CanKeepNumber(num) != (table == successor) || successor.CanKeepNumber(num) != (table == old) {
			t.Fatalf("%d: kept by the process that drew it, or not by the other", num)
		}
		last, seen[num] = num, true
		if i%3 == 2 {
			now += 10 * numberUnit // at least what an answer and the next hand-in take
		}
	}
	now += 100 * time.Hour
	if got := successor.NextNumber(); got > n.Base+2*uint32(numberSpan/numberUnit)+2 {
		t.Errorf("an upgrade takes %d numbers", got-n.Base)
	}
	now = 0
	if a, b := successor.NextNumber(), successor.NextNumber(); b <= a {
		t.Errorf("%d after %d", b, a)
	}
	successor.StopSharedNumbering()
	if a, b := successor.NextNumber(), successor.NextNumber(); b != a+1 || successor.CanKeepNumber(1000) {
		t.Errorf("alone: %d after %d", b, a)
	}
}

func TestMachineClockGoesOn(t *testing.T) {
	if a, b := machineClock(), machineClock(); a <= 0 || b < a {
		t.Errorf("%v, then %v", a, b)
	}
}
