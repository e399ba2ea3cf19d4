package journal_test

import (
	"fmt"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/testdouble/faultfs"
)

// A system limit on the file size rejects no message: the journal continues in a new segment, and
// all messages are recovered.
func TestFileSizeLimit(t *testing.T) {
	d := faultfs.New()
	driver, err := startDriver(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	d.SetMaxFileSize(30_000)
	const messages, body = 100, 2000
	for n := range messages {
		m := &memory.Message{
			Number: driver.table.NextNumber(), ID: fmt.Sprint("id", n), Class: "c",
			Deadline: wall, Body: make([]byte, body),
		}
		if err := driver.journal.AppendAccepted(driver.table, m, true); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
		if acceptErr, attemptErr := driver.journal.Commit(); acceptErr != nil || attemptErr != nil {
			t.Fatalf("message %d: %v, %v", n, acceptErr, attemptErr)
		}
	}
	if s := driver.journal.Stats(); s.Segments < messages*body/30_000 {
		t.Errorf("%d segments: the file size limit was never reached", s.Segments)
	}
	next, err := startDriver(d.Restart(), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	if found := len(next.table.All()); found != messages {
		t.Errorf("%d of %d messages recovered", found, messages)
	}
}
