package plan

import "testing"

// The body of a message is stored where memory and disk have space for it.
func TestChooseBodyStorage(t *testing.T) {
	for _, c := range []struct {
		name                                      string
		used, limit, size                         int64
		fitsWithBody, fitsWithoutBody, repeatable bool
		want                                      BodyStorage
	}{
		{"space in memory and on disk", 0, 100, 50, true, true, true, MemoryAndJournal},
		{"no memory limit", 1 << 40, 0, 50, true, true, true, MemoryAndJournal},
		{"memory full", 80, 100, 50, true, true, false, JournalOnly},
		{"disk full, repeatable message", 0, 100, 50, false, true, true, NotStored},
		{"disk full, unrepeatable message", 0, 100, 50, false, true, false, MemoryOnly},
		{"disk and memory full, unrepeatable message", 80, 100, 50, false, true, false, NotStored},
		{"disk full, no memory limit", 0, 0, 50, false, true, false, NotStored},
		{"record without body does not fit", 0, 100, 50, false, false, false, NotStored},
	} {
		if got := ChooseBodyStorage(
			c.used, c.used, c.limit, c.size, c.fitsWithBody, c.fitsWithoutBody, c.repeatable,
		); got != c.want {
			t.Errorf("%s: body storage %d, want %d", c.name, got, c.want)
		}
	}
}

// The reserved space allows every accepted message to complete and one segment to be copied, for
// any budget.
func TestFits(t *testing.T) {
	for _, budget := range []int64{100 << 10, 256 << 10, 3e6, 64 << 20} {
		used, live, reserve := int64(0), int64(0), MessageReserve(6, 16)
		for Fits(budget, used, (live+1)*reserve, 2000) {
			used, live = used+DiskSize(2000), live+1
		}
		if used+ReservedBytes(budget, live*reserve) > budget || live == 0 ||
			budget-used < min(SegmentSize(budget), budget/2)+live*reserve {
			t.Errorf("budget %d: %d live, %d used", budget, live, used)
		}
	}
}

// The segment with the most dead bytes is compacted, and only if it is worthwhile or space is
// short.
func TestChooseSegment(t *testing.T) {
	const budget = 3e6
	mostlyLive, halfDead, allDead := Segment{Size: 100_000, LiveBytes: 99_000},
		Segment{Size: 100_000, LiveBytes: 40_000}, Segment{Size: 90_000}
	busy, retained := Segment{Size: 100_000, Busy: true}, Segment{Size: 10_000, RetainedBytes: 10_000, CompletionsOnly: true}
	expired := Segment{Size: 10_000, RetainedBytes: 9000, CompletionsOnly: true}
	halfExpired := Segment{Size: 10_000, RetainedBytes: 5000, CompletionsOnly: true}
	for _, c := range []struct {
		name    string
		used    int64
		refused bool
		all     []Segment
		want    int
	}{
		{"nothing to free", 1e6, true, []Segment{mostlyLive, busy, retained}, -1},
		{"half dead", 1e6, false, []Segment{mostlyLive, halfDead}, 1},
		{"more dead", 1e6, false, []Segment{halfDead, allDead, busy}, 1},
		{"space short", 2.9e6, false, []Segment{retained, mostlyLive}, 1},
		{"few bytes of a completed message", 1e6, false,
			[]Segment{mostlyLive, {Size: 600, RetainedBytes: 500}, retained}, 1},
		{"header only", 1e6, false, []Segment{{Size: 24}, mostlyLive}, 0},
		{"some completions expired", 2.9e6, false, []Segment{retained, expired}, -1},
		{"half of the completions expired", 1e6, false, []Segment{expired, halfExpired}, 1},
		{"some completions expired, messages are refused", 1e6, true, []Segment{retained, expired}, 1},
	} {
		if got := ChooseSegment(Space{Budget: budget, Used: c.used, Reserved: 100 * MessageReserve(6, 16), Refused: c.refused}, c.all); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// A copy never takes the files over the budget, but for segments of completed messages while others
// are refused.
func TestCopyStaysWithinBudget(t *testing.T) {
	const budget = 3e6
	halfLive := Segment{Size: 1_200_000, LiveBytes: 500_000, CopyBytes: 510_000}
	completed := Segment{Size: 130_000, CopyBytes: 120_000}
	for _, c := range []struct {
		used    int64
		refused bool
		all     []Segment
		want    int
	}{
		{2.4e6, true, []Segment{completed, halfLive}, 1},
		{2.6e6, true, []Segment{completed, halfLive}, 0},
		{2.6e6, false, []Segment{completed, halfLive}, 0},
		{2.9e6, false, []Segment{completed, halfLive}, -1},
		{2.9e6, true, []Segment{completed, halfLive}, 0},
		{2.9e6, true, []Segment{halfLive}, -1},
	} {
		if got := ChooseSegment(Space{Budget: budget, Used: c.used, Refused: c.refused}, c.all); got != c.want {
			t.Errorf("%d used, refused %t: %d, want %d", c.used, c.refused, got, c.want)
		}
	}
	if CopyReserve(budget, SegmentSize(budget)) != 0 || CopyReserve(budget, 500_224) != 500_224-DiskSize(SegmentSize(budget)) {
		t.Error("a large copy is not reserved for")
	}
}

// Compaction pauses while there is space and it keeps up.
func TestUrgent(t *testing.T) {
	mostlyDead, mostlyLive, busy := Segment{Size: 100, LiveBytes: 10}, Segment{Size: 100, LiveBytes: 60},
		Segment{Size: 100, Busy: true}
	for _, c := range []struct {
		used int64
		all  []Segment
		want bool
	}{
		{500, []Segment{mostlyDead, mostlyDead, mostlyLive, mostlyLive, busy}, false},
		{501, nil, true},
		{10, []Segment{mostlyDead, mostlyDead, mostlyDead}, true},
		{10, []Segment{mostlyLive, mostlyLive, mostlyLive, busy, busy, busy, {Size: 100, RetainedBytes: 100}}, false},
	} {
		if got := Urgent(1000, c.used, c.all); got != c.want {
			t.Errorf("%d used, %v: %v", c.used, c.all, got)
		}
	}
}
