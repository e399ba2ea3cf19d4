package journal_test

import (
	"fmt"
	"testing"

	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// Kills the process at each operation while segments of completions are merged: no completed
// message comes back, and no remembered id is lost.
func TestCrashWhileMerging(t *testing.T) {
	t.Parallel()
	const messages = 60
	run := func(disk *faultfs.FS) (stats journal.Stats, completed []string) {
		j, table, err := journal.Open(journal.Config{FS: disk, Budget: 1 << 20, Log: quiet, CompactInline: true})
		if err != nil {
			return stats, nil
		}
		r := &reclaimer{journal: j, table: table}
		for range messages {
			m := r.newMessage(60<<10, 16)
			if j.AppendAccepted(table, m, true) != nil {
				break
			}
			if acceptErr, _ := j.Commit(); acceptErr != nil {
				break
			}
			table.Remove(m)
			j.AppendCompleted(m, false)
			j.Commit()
			if j.HasUnwritten() {
				break
			}
			completed = append(completed, m.ID)
			if len(completed)%10 == 0 {
				j.Maintain()
			}
		}
		return j.Stats(), completed
	}
	recording := faultfs.New()
	if stats, completed := run(recording); stats.Merges < 2 || len(completed) < messages {
		t.Fatalf("%+v, %d completed", stats, len(completed))
	}
	for n := 1; n <= recording.OperationCount(); n++ {
		for _, fault := range []faultfs.Fault{faultfs.Kill, faultfs.Torn, faultfs.Error, faultfs.Short} {
			disk := faultfs.New()
			disk.InjectFault(n, fault)
			_, completed := run(disk)
			what := fmt.Sprintf("fault %d at operation %d (%s)", fault, n, recording.OperationLog()[n-1])
			_, found, err := journal.Open(journal.Config{FS: disk.Restart(), Budget: 1 << 20, Log: quiet, CompactInline: true})
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if len(found.All()) > 1 { // the one that was being completed
				t.Errorf("%s: %d messages after a restart", what, len(found.All()))
			}
			for _, id := range completed {
				if !found.RecentlyCompleted(id) || found.ByID(id) != nil {
					t.Errorf("%s: %s is forgotten or comes back", what, id)
				}
			}
		}
	}
}
