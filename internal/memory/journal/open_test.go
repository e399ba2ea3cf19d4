package journal_test

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// unwritableDisk is a file system that can refuse every change.
type unwritableDisk struct {
	*faultfs.FS
	refusal error // nil: it can be written
}

func (d *unwritableDisk) Create(name string) (journal.File, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return d.FS.Create(name)
}

func (d *unwritableDisk) Remove(name string) error {
	if d.refusal != nil {
		return d.refusal
	}
	return d.FS.Remove(name)
}

func (d *unwritableDisk) Truncate(name string, size int64) error {
	if d.refusal != nil {
		return d.refusal
	}
	return d.FS.Truncate(name, size)
}

// A journal opens while its disk can't be written: what it holds is not kept back. It refuses
// messages until the disk is healthy, and takes new ones then. Opening failed for good before, so a
// start ended, and the directory of a process that had died was not adopted.
func TestOpensWhileDiskIsUnwritable(t *testing.T) {
	for _, c := range []struct {
		name       string
		refusal    error
		tail       int  // bytes behind the last whole record
		halfHeader bool // the process died while it created the next segment
	}{{"full", syscall.ENOSPC, 0, false}, {"faulty", syscall.EIO, 0, false},
		{"half a record", syscall.EIO, 5, false}, {"half a header", syscall.EIO, 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			written := faultfs.New()
			first := newReclaimer(t, journal.Config{FS: written, Budget: 3e6})
			pending, err := first.accept(1000, 16)
			if err != nil {
				t.Fatal(err)
			}
			disk := &unwritableDisk{written.Restart(), c.refusal}
			if c.halfHeader {
				disk.ModifyFile("000000000002.seg", func([]byte) []byte { return []byte("oat") })
			}
			disk.ModifyFile("000000000001.seg", func(b []byte) []byte { return append(b, make([]byte, c.tail)...) })
			config := journal.Config{FS: disk, Budget: 3e6, CompactInline: true}
			next := newReclaimer(t, config)
			if next.table.ByID(pending.ID) == nil {
				t.Fatal("the pending message is not found")
			}
			if _, err := next.accept(1000, 17); !errors.Is(err, journal.ErrUnavailable) {
				t.Errorf("accepting on an unwritable disk: %v", err)
			}
			disk.refusal = nil
			accepted, err := next.accept(1000, 18)
			if err != nil {
				t.Fatalf("the disk is healthy again: %v", err)
			}
			next.journal.AppendCompleted(next.table.ByID(pending.ID), false)
			if err, _ := next.journal.Commit(); err != nil {
				t.Fatal(err)
			}
			config.FS, config.Log = disk.FS.Restart(), quiet
			_, found, err := journal.Open(config)
			if err != nil {
				t.Fatal(err)
			}
			if all := found.All(); len(all) != 1 || found.ByID(accepted.ID) == nil || !found.RecentlyCompleted(pending.ID) {
				t.Errorf("the next process finds %d pending messages, and the completed one: %t",
					len(all), found.RecentlyCompleted(pending.ID))
			}
		})
	}
}

// A directory that can't be written for another reason than a passing one still ends the start.
func TestOpenFailsForGood(t *testing.T) {
	disk := &unwritableDisk{faultfs.New(), os.ErrPermission}
	if _, _, err := journal.Open(journal.Config{FS: disk, Budget: 3e6, Log: quiet}); !errors.Is(err, os.ErrPermission) {
		t.Errorf("opened, or failed otherwise: %v", err)
	}
}

// Guards against a journal that refuses everything for good, with nothing pending, since its reserve
// file is smaller than a raised budget wants, and could not be removed when a write failed.
func TestWritableAgainAfterRaisedBudget(t *testing.T) {
	disk := &unwritableDisk{FS: faultfs.New()}
	r := newReclaimer(t, journal.Config{FS: disk, Budget: 300e3, CompactInline: true})
	r.run(t, 3, 1000, 16)
	r.journal.SetBudget(3e6)
	disk.refusal = syscall.EIO
	for n := range 4 {
		disk.InjectFault(disk.OperationCount()+1+n, faultfs.Error)
	}
	m := r.newMessage(1000, 17)
	if err := r.journal.AppendAccepted(r.table, m, true); err != nil {
		t.Fatal(err)
	}
	if err, _ := r.journal.Commit(); !errors.Is(err, journal.ErrUnavailable) {
		t.Fatalf("the write did not fail: %v", err)
	}
	r.table.Remove(m)
	disk.refusal = nil
	disk.ClearFaults()
	r.run(t, 3, 64<<10, 16)
}
