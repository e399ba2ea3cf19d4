package journal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/memory/journal/plan"
	"oatfold/internal/testdouble/faultfs"
)

// reclaimer hands messages to a journal one after another, each delivered before the next is
// accepted, so that nothing ever needs the space of the earlier ones.
type reclaimer struct {
	journal *journal.Journal
	table   *memory.Table
	next    int
	refused map[string]bool // ids of messages that were not accepted
}

func newReclaimer(t *testing.T, config journal.Config) *reclaimer {
	t.Helper()
	config.Log = quiet
	j, table, err := journal.Open(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return &reclaimer{journal: j, table: table, refused: map[string]bool{}}
}

// newMessage returns a message with a body of size bytes and an id of idBytes.
func (r *reclaimer) newMessage(size, idBytes int) *memory.Message {
	r.next++
	return &memory.Message{
		Number: r.table.NextNumber(), ID: fmt.Sprintf("%0*d", idBytes, r.next), Class: "price-alert", Dest: 7,
		Deadline: wall, Body: make([]byte, size),
	}
}

// accept hands in a message. While it is refused, the journal is maintained as often as a relay
// does within two minutes.
func (r *reclaimer) accept(size, idBytes int) (*memory.Message, error) {
	const maintenanceRuns = 120
	var err error
	for range maintenanceRuns {
		m := r.newMessage(size, idBytes)
		if err = r.journal.AppendAccepted(r.table, m, true); err == nil {
			if err, _ = r.journal.Commit(); err == nil {
				return m, nil
			}
			r.table.Remove(m)
			r.table.ForgetCompleted(m.ID)
		}
		r.refused[m.ID] = true
		r.journal.Commit()
		r.journal.Maintain()
		for r.journal.SpaceUse().Compacting {
			time.Sleep(50 * time.Microsecond)
			r.journal.Commit()
		}
	}
	return nil, err
}

// deliver records an attempt at m, and its completion.
func (r *reclaimer) deliver(m *memory.Message) {
	m.InFlight = &memory.Attempt{StartedAt: wall}
	r.journal.AppendAttempt(wall, []*memory.Message{m})
	r.journal.Commit()
	r.table.Remove(m)
	r.journal.AppendCompleted(m, false)
	r.journal.Commit()
}

// settle maintains the journal until compaction has nothing left to do.
func (r *reclaimer) settle(t *testing.T) {
	t.Helper()
	idle := 0
	for n := 0; idle < 20; n++ {
		if n == 20_000 {
			t.Fatalf("compaction does not come to an end: %+v", r.journal.SpaceUse())
		}
		compactions := r.journal.Stats().Compactions
		r.journal.Maintain()
		time.Sleep(100 * time.Microsecond)
		if idle++; r.journal.SpaceUse().Compacting || r.journal.Stats().Compactions > compactions {
			idle = 0
		}
	}
}

// run accepts and delivers messages one by one.
func (r *reclaimer) run(t *testing.T, messages, size, idBytes int) {
	t.Helper()
	for n := range messages {
		m, err := r.accept(size, idBytes)
		if err != nil {
			t.Fatalf("message %d of %d, all earlier ones are completed: %v: %+v", n, messages, err, r.journal.SpaceUse())
		}
		r.deliver(m)
	}
}

// Guards against a folder that stays full of completed messages since a full one makes no commits,
// and compaction was searched for only after commits.
func TestFullJournalIsCompactedWithoutCommits(t *testing.T) {
	t.Parallel()
	r := newReclaimer(t, journal.Config{FS: faultfs.New(), Budget: 3e6})
	r.run(t, 400, 64<<10, 16)
}

// Guards against a folder that fills with what compaction leaves: the ids of completed messages,
// which took a block of their own for each segment and were never merged.
func TestCompletionsAreMerged(t *testing.T) {
	t.Parallel()
	disk := faultfs.New()
	r := newReclaimer(t, journal.Config{FS: disk, Budget: 3e6})
	r.run(t, 5600, 64<<10, 16)
	r.settle(t)
	if use := r.journal.SpaceUse(); use.Segments > 2*plan.MinRun || use.Used > 3e6/4 {
		t.Errorf("%+v", use)
	}
	_, table, err := journal.Open(journal.Config{FS: disk.Restart(), Budget: 3e6, Log: quiet})
	if err != nil || len(table.All()) > 0 || table.CompletedCount() < memory.MaxCompletedIDs {
		t.Errorf("%d ids, %d messages after a restart: %v", table.CompletedCount(), len(table.All()), err)
	}
}

// With the smallest budget that the configuration accepts, as with larger ones, messages of every
// size are accepted again whenever all earlier ones are completed.
func TestSpaceIsReclaimedAtEverySize(t *testing.T) {
	for _, c := range []struct {
		budget   int64
		messages int
	}{{plan.MinBudget(6), 3000}, {2e6, 3500}, {16e6, 1500}} {
		for _, size := range []int{0, 212, 10_000, 30_000, 45_000, 62_500, 64 << 10} {
			for _, idBytes := range []int{16, 256} {
				t.Run(fmt.Sprintf("%d bytes, bodies of %d, ids of %d", c.budget, size, idBytes), func(t *testing.T) {
					t.Parallel()
					disk := faultfs.New()
					r := newReclaimer(t, journal.Config{FS: disk, Budget: c.budget, CompactInline: true})
					r.run(t, c.messages, size, idBytes)
					r.run(t, 1, 64<<10, 256)
					if disk.PeakBytes() > c.budget {
						t.Errorf("%d bytes on disk", disk.PeakBytes())
					}
				})
			}
		}
	}
}

// unwritableCopies is a file system that can refuse to write or remove segments beside the active
// one, as a full or faulty disk does.
type unwritableCopies struct {
	*faultfs.FS
	broken bool
}

func (fs *unwritableCopies) Create(name string) (journal.File, error) {
	if fs.broken && strings.HasSuffix(name, ".tmp") {
		return nil, syscall.ENOSPC
	}
	return fs.FS.Create(name)
}

func (fs *unwritableCopies) Remove(name string) error {
	if fs.broken {
		return syscall.EIO
	}
	return fs.FS.Remove(name)
}

// Guards against a folder that stays full after compactions that failed for a moment: they were put
// off until thousands of messages more had completed, which a full folder never accepts.
func TestFailedCompactionIsRetried(t *testing.T) {
	for _, size := range []int{200, 20_000, 64 << 10} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			disk := &unwritableCopies{FS: faultfs.New()}
			r := newReclaimer(t, journal.Config{FS: disk, Budget: 3e6, CompactInline: true})
			disk.broken = true
			for {
				m, err := r.accept(size, 16)
				if err != nil {
					break
				}
				r.deliver(m)
			}
			disk.broken = false
			r.run(t, 100, size, 16)
			if use := r.journal.SpaceUse(); use.Used > use.Budget/2 {
				t.Errorf("%+v", use)
			}
		})
	}
}

// Guards against a folder that stays full since a half-written record could not be truncated for a
// moment: compaction waited for that, and only a further write, which a full folder never makes,
// tried it again.
func TestPendingTruncationDoesNotStopCompaction(t *testing.T) {
	disk := &unwritableCopies{FS: faultfs.New()}
	r := newReclaimer(t, journal.Config{FS: disk, Budget: 3e6, CompactInline: true})
	disk.broken = true
	for {
		m, err := r.accept(64<<10, 16)
		if err != nil {
			break
		}
		r.deliver(m)
	}
	half := disk.OperationCount() + 1
	disk.InjectFault(half, faultfs.Short)
	for n := range 4 {
		disk.InjectFault(half+1+n, faultfs.Error)
	}
	if err := r.journal.AppendAccepted(r.table, r.newMessage(2000, 16), true); err != nil {
		t.Fatalf("no space for a small message: %v", err)
	}
	if acceptErr, _ := r.journal.Commit(); acceptErr == nil {
		t.Fatal("the write succeeded")
	}
	r.table.Remove(r.table.All()[uint32(r.next)])
	disk.broken = false
	r.run(t, 100, 64<<10, 16)
}

// Guards against a small folder that fills with the ids of completed messages: their number was
// bounded, their bytes were not, and ids are forgotten only as further messages complete.
func TestRememberedIDsLeaveSpace(t *testing.T) {
	for _, c := range []struct {
		budget        int64
		size, idBytes int
	}{{300e3, 4000, 16}, {300e3, 0, 256}, {500e3, 64 << 10, 256}, {1e6, 212, 256}} {
		t.Run(fmt.Sprintf("%d bytes, bodies of %d, ids of %d", c.budget, c.size, c.idBytes), func(t *testing.T) {
			t.Parallel()
			disk := faultfs.New()
			r := newReclaimer(t, journal.Config{FS: disk, Budget: c.budget})
			const messages = 5600
			r.run(t, messages, c.size, c.idBytes)
			_, table, err := journal.Open(journal.Config{FS: disk.Restart(), Budget: c.budget, Log: quiet})
			if err != nil {
				t.Fatal(err)
			}
			remembered := int(plan.CompletionLimit(c.budget)) / (c.idBytes + 24)
			for n := r.next - remembered/2; n <= r.next; n++ {
				if id := fmt.Sprintf("%0*d", c.idBytes, n); r.refused[id] == table.RecentlyCompleted(id) {
					t.Fatalf("id %d of %d after a restart: refused %t, remembered %t", n, r.next, r.refused[id], !r.refused[id])
				}
			}
		})
	}
}

// Guards against a small folder that stays full of completed messages in the active segment, which
// is never compacted, and is sealed only for a message that fits.
func TestActiveSegmentIsCompacted(t *testing.T) {
	for _, size := range []int{30_000, 45_000, 62_500} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			r := newReclaimer(t, journal.Config{FS: faultfs.New(), Budget: 205e3, CompactInline: true})
			r.run(t, 1500, size, 16)
		})
	}
}

// Guards against a folder that stays full after a reload with a smaller disk limit.
func TestSmallerBudgetIsReached(t *testing.T) {
	r := newReclaimer(t, journal.Config{FS: faultfs.New(), Budget: 16e6, CompactInline: true})
	r.run(t, 5000, 212, 256)
	r.journal.SetBudget(300e3)
	r.run(t, 200, 64<<10, 256)
	if use := r.journal.SpaceUse(); use.Used > use.Budget {
		t.Errorf("%+v", use)
	}
}

// Guards against a copy that takes the folder over its limit: clumps of large messages made segments
// of which compaction copied more than was reserved.
func TestCompactionStaysWithinBudget(t *testing.T) {
	const budget, clump, clumps = 3e6, 18, 120
	disk := faultfs.New()
	r := newReclaimer(t, journal.Config{FS: disk, Budget: budget, CompactInline: true})
	random := rand.New(rand.NewPCG(53, 0))
	var pending []*memory.Message
	accepted := 0
	for range clumps {
		for range clump {
			m := r.newMessage(60_000+random.IntN(5000), 16)
			if r.journal.AppendAccepted(r.table, m, true) == nil {
				pending = append(pending, m)
				accepted++
			}
		}
		if acceptErr, _ := r.journal.Commit(); acceptErr != nil {
			t.Fatal(acceptErr)
		}
		for range min(len(pending), random.IntN(2*clump)) {
			i := random.IntN(len(pending))
			r.deliver(pending[i])
			pending = slices.Delete(pending, i, i+1)
			r.journal.Maintain()
		}
	}
	if peak := disk.PeakBytes(); peak > budget || accepted < clump*clumps/2 {
		t.Errorf("%d bytes on disk at most, %d of %d accepted", peak, accepted, clump*clumps)
	}
	for _, m := range pending {
		r.deliver(m)
	}
	r.run(t, 200, 64<<10, 16)
}

// Guards against a folder over its limit: a folder full of small messages reserved less for each than
// its attempts and its end may take.
func TestAttemptsStayWithinBudget(t *testing.T) {
	const maxAttempts = 6
	for _, c := range []struct {
		budget, idBytes int
	}{{300_000, 16}, {300_000, 256}, {3_000_000, 16}} {
		t.Run(fmt.Sprintf("%d bytes, ids of %d", c.budget, c.idBytes), func(t *testing.T) {
			t.Parallel()
			disk := faultfs.New()
			r := newReclaimer(t, journal.Config{FS: disk, Budget: int64(c.budget), CompactInline: true})
			var pending []*memory.Message
			for full := false; !full; {
				for range 20 { // in one write
					m := r.newMessage(20, c.idBytes)
					if full = r.journal.AppendAccepted(r.table, m, true) != nil; full {
						break
					}
					pending = append(pending, m)
				}
				if err, _ := r.journal.Commit(); err != nil {
					t.Fatal(err)
				}
			}
			for range maxAttempts {
				for _, m := range pending {
					r.journal.AppendAttempt(wall, []*memory.Message{m})
					r.journal.AppendNotRun(m)
					r.journal.Commit()
				}
				r.journal.Maintain()
			}
			for _, m := range pending {
				r.table.MarkUndelivered(m, memory.Notification{Returned: true, RetryAfter: time.Hour})
				r.journal.AppendUndelivered(m)
				r.journal.Commit()
			}
			for _, m := range pending {
				r.table.Remove(m)
				r.journal.AppendCompleted(m, false)
				r.journal.Commit()
			}
			if peak := disk.PeakBytes(); peak > int64(c.budget) || len(pending) < 100 {
				t.Errorf("%d bytes on disk at most, %d messages", peak, len(pending))
			}
			r.run(t, 50, 64<<10, c.idBytes)
		})
	}
}

// Guards against a folder that fills since one old segment can't be read: the completions of all
// later messages were retained, in case it holds their accepted records.
func TestUnreadableSegmentDoesNotRetainCompletions(t *testing.T) {
	const budget = 600e3
	accepted := func(t *testing.T, disk *faultfs.FS) { // leaves a segment that is not compacted
		r := newReclaimer(t, journal.Config{FS: disk, Budget: budget, CompactInline: true})
		if _, err := r.accept(64<<10, 16); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("invalid header", func(t *testing.T) {
		t.Parallel()
		disk := faultfs.New()
		accepted(t, disk)
		disk.ModifyFile("000000000001.seg", func(b []byte) []byte { b[0]++; return b })
		newReclaimer(t, journal.Config{FS: disk, Budget: budget, CompactInline: true}).run(t, 15_000, 30_000, 16)
	})
	t.Run("file that can't be replaced", func(t *testing.T) {
		t.Parallel()
		disk := &stuckFile{FS: faultfs.New(), name: "000000000001.seg"}
		accepted(t, disk.FS)
		newReclaimer(t, journal.Config{FS: disk, Budget: budget, CompactInline: true}).run(t, 15_000, 30_000, 16)
	})
}

// stuckFile is a file system with a file that can't be removed or replaced.
type stuckFile struct {
	*faultfs.FS
	name string
}

func (fs *stuckFile) Remove(name string) error {
	if name == fs.name {
		return syscall.EIO
	}
	return fs.FS.Remove(name)
}

func (fs *stuckFile) Rename(from, to string) error {
	if to == fs.name {
		return syscall.EIO
	}
	return fs.FS.Rename(from, to)
}

// Guards against a relay that stays full on a disk smaller than its budget, with nothing pending: a
// write that fails counts as a lack of space, and gives back what completed messages hold.
func TestDiskSmallerThanBudget(t *testing.T) {
	for _, capacity := range []int64{250e3, 400e3, 1e6} {
		for _, size := range []int{0, 212, 10_000, 30_000, 62_500, 64 << 10} {
			t.Run(fmt.Sprintf("%d bytes, bodies of %d", capacity, size), func(t *testing.T) {
				t.Parallel()
				disk := faultfs.New()
				disk.SetCapacity(capacity)
				r := newReclaimer(t, journal.Config{FS: disk, Budget: 3e6, CompactInline: true})
				r.run(t, 6000, size, 16)
			})
		}
	}
}
