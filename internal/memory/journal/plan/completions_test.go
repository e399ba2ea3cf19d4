package plan

import "testing"

// The latest completions are retained, as many as the limits on number and bytes allow.
func TestCompletionWindow(t *testing.T) {
	w := NewCompletionWindow(10, 100)
	for _, c := range []struct {
		name     string
		sequence uint64
		size     int64
		from     uint64
	}{
		{"first", 1, 20, 1},
		{"skipped numbers need no bytes", 5, 20, 1},
		{"not later than the last one", 5, 90, 1},
		{"bytes at the limit", 6, 60, 1},
		{"bytes above the limit", 7, 10, 2},
		{"too many", 12, 0, 3},
		{"above the limit alone", 13, 101, 14},
		{"all earlier ones are too old", 500, 1, 500},
	} {
		if w.Add(c.sequence, c.size); w.RetainFrom() != c.from {
			t.Errorf("%s: retained from %d, want %d", c.name, w.RetainFrom(), c.from)
		}
	}
	w.Add(501, 50)
	if w.SetLimit(50); w.RetainFrom() != 501 {
		t.Errorf("lower limit: retained from %d", w.RetainFrom())
	}
	if w.SetLimit(100); w.RetainFrom() != 501 {
		t.Errorf("higher limit: retained from %d", w.RetainFrom())
	}
}

// Neighbours that hold nothing but completions are merged once there are enough of them, up to the
// size of a segment.
func TestChooseRun(t *testing.T) {
	const budget = 3e6 // segments of 125,000 bytes
	small, large := Segment{Size: 80, CompletionsOnly: true}, Segment{Size: 124_990, CompletionsOnly: true}
	messages, busy := Segment{Size: 80}, Segment{Size: 80, CompletionsOnly: true, Busy: true}
	repeat := func(n int, s Segment) (all []Segment) {
		for range n {
			all = append(all, s)
		}
		return all
	}
	concat := func(parts ...[]Segment) (all []Segment) {
		for _, part := range parts {
			all = append(all, part...)
		}
		return all
	}
	for _, c := range []struct {
		name       string
		used       int64
		all        []Segment
		first, end int
	}{
		{"no space for the copy", budget - BlockSize, repeat(MinRun, small), 0, 0},
		{"space for the copy", budget - 2*BlockSize, repeat(MinRun, small), 0, MinRun},
		{"too few", 0, repeat(MinRun-1, small), 0, 0},
		{"enough", 0, repeat(MinRun, small), 0, MinRun},
		{"not neighbours", 0, concat(repeat(MinRun-1, small), []Segment{messages}, repeat(MinRun-1, small)), 0, 0},
		{"busy", 0, concat(repeat(4, small), []Segment{busy}, repeat(MinRun, small)), 5, 5 + MinRun},
		{"behind a full one", 0, concat([]Segment{large}, repeat(MinRun, small)), 1, 1 + MinRun},
		{"the longer run", 0, concat(repeat(MinRun, small), []Segment{messages}, repeat(MinRun+1, small)),
			MinRun + 1, 2*MinRun + 2},
		{"bounded", 0, repeat(2*maxRun, small), 0, maxRun},
	} {
		if first, end, freed := ChooseRun(Space{Budget: budget, Used: c.used}, c.all); first != c.first || end != c.end || (freed > 0) != (end > 0) {
			t.Errorf("%s: %d to %d, %d freed", c.name, first, end, freed)
		}
	}
}
