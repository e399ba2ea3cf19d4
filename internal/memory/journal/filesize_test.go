package journal_test

import (
	"fmt"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/testdouble/faultfs"
)

// A bound of the system on the size of a file refuses nobody: what the segment does not take goes to a new one, and all is there at the next start.
func TestBoundedFileSize(t *testing.T) {
	d := faultfs.New()
	l, err := start(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	d.SetMaxFileSize(30_000)
	const messages, body = 100, 2000
	for n := range messages {
		m := &memory.Message{Number: l.t.NextNumber(), ID: fmt.Sprint("id", n), Class: "c", Deadline: wall, Body: make([]byte, body)}
		if err := l.j.AppendAccepted(l.t, m, true); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
		if taken, out := l.j.Commit(); taken != nil || out != nil {
			t.Fatalf("message %d: %v, %v", n, taken, out)
		}
	}
	if s := l.j.Stats(); s.Segments < messages*body/30_000 {
		t.Errorf("%d segments: the bound was not met", s.Segments)
	}
	next, err := start(d.Restart(), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	if found := len(next.t.All()); found != messages {
		t.Errorf("%d of %d messages are there", found, messages)
	}
}
