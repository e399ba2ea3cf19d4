package journal_test

import (
	"fmt"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// A commit of several messages fails half way, the part that was written can't be truncated, and
// the process is killed. None of the rejected messages may be recovered.
//
// The operations after the first half of the write fail, up to the given number, before the process
// is killed.
func TestRejectedMessagesAreNotRecovered(t *testing.T) {
	for _, messages := range []int{1, 2, 5} {
		for failures := 0; failures <= 6; failures++ {
			t.Run(fmt.Sprintf("%d messages, %d failures", messages, failures), func(t *testing.T) {
				d := faultfs.New()
				driver, err := startDriver(d, 1<<20)
				if err != nil {
					t.Fatal(err)
				}
				accepted := appendCharge(driver, "kept", 10)
				if acceptErr, _ := driver.journal.Commit(); acceptErr != nil {
					t.Fatal(acceptErr)
				}
				var rejected []*memory.Message
				for n := range messages {
					rejected = append(rejected, appendCharge(driver, fmt.Sprint("refused", n), 100))
				}
				operation := d.OperationCount() + 1
				d.InjectFault(operation, faultfs.Short)
				for n := range failures {
					d.InjectFault(operation+1+n, faultfs.Error)
				}
				acceptErr, _ := driver.journal.Commit()
				if failures > 1 && messages > 1 && acceptErr == nil { // after one failure the second truncation succeeds
					t.Fatal("the commit succeeded")
				}
				next, table, err := journal.Open(journal.Config{FS: d.Restart(), Budget: 1 << 20, Log: quiet, CompactInline: true})
				if err != nil {
					t.Fatal(err)
				}
				defer next.Close()
				if table.ByID(accepted.ID) == nil {
					t.Error("the accepted message is lost")
				}
				for _, m := range rejected {
					if found := table.ByID(m.ID) != nil; found != (acceptErr == nil) {
						t.Errorf("%s: rejected %t, recovered %t", m.ID, acceptErr != nil, found)
					}
				}
			})
		}
	}
}

func appendCharge(driver *journalDriver, id string, body int) *memory.Message {
	m := &memory.Message{
		Number: driver.table.NextNumber(), ID: id, Class: "fee-charge", Dest: 7, Deadline: wall,
		Body: make([]byte, body),
	}
	if err := driver.journal.AppendAccepted(driver.table, m, false); err != nil {
		panic(err)
	}
	return m
}
