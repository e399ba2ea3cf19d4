package journal_test

import (
	"fmt"
	"testing"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// Found by reading, after messages were forwarded that their clients had been refused: a commit of several hand-ins fails half way, the half that was
// written can't be cut off while the disk is in trouble, and the process is killed. Records counted one by one, so that
// the next life found some of the refused messages taken on, and forwarded them.
//
// Each operation behind the first half of the write fails in turn, and all from there on, before the kill.
func TestWhatWasRefusedIsNeverFound(t *testing.T) {
	for _, several := range []int{1, 2, 5} {
		for failing := 0; failing <= 6; failing++ {
			t.Run(fmt.Sprintf("%d messages, %d failures", several, failing), func(t *testing.T) {
				d := faultfs.New()
				l, err := start(d, 1<<20)
				if err != nil {
					t.Fatal(err)
				}
				kept := refusable(l, "kept", 10)
				if taken, _ := l.j.Commit(); taken != nil {
					t.Fatal(taken)
				}
				var refused []*memory.Message
				for n := range several {
					refused = append(refused, refusable(l, fmt.Sprint("refused", n), 100))
				}
				at := d.OperationCount() + 1
				d.InjectFault(at, faultfs.Short)
				for n := range failing {
					d.InjectFault(at+1+n, faultfs.Error)
				}
				taken, _ := l.j.Commit()
				if failing > 1 && several > 1 && taken == nil { // one failure is made good by a second cut
					t.Fatal("the commit has passed")
				}
				next, table, err := journal.Open(journal.Config{FS: d.Restart(), Budget: 1 << 20, Log: quiet, CompactInline: true})
				if err != nil {
					t.Fatal(err)
				}
				defer next.Close()
				if table.ByID(kept.ID) == nil {
					t.Error("what was taken on is gone")
				}
				for _, m := range refused {
					if found := table.ByID(m.ID) != nil; found != (taken == nil) {
						t.Errorf("%s: refused %t, found %t", m.ID, taken != nil, found)
					}
				}
			})
		}
	}
}

func refusable(l *life, id string, body int) *memory.Message {
	m := &memory.Message{Number: l.t.NextNumber(), ID: id, Class: "fee-charge", Dest: 7, Deadline: wall, Body: make([]byte, body)}
	if err := l.j.AppendAccepted(l.t, m, false); err != nil {
		panic(err)
	}
	return m
}
