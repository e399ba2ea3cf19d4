package share

import (
	"math/rand/v2"
	"slices"
	"testing"

	"oatfold/internal/memory/journal/plan"
)

// journalModel is the journal of one process: what takes space in it, in whole blocks.
type journalModel struct {
	live     []int64 // sizes of the records of pending messages
	dead     int64   // bytes of completed and transferred messages
	copying  int64   // bytes that a running compaction has written
	budget   int64
	reserved int64
}

const messageReserve = 512

func (j *journalModel) used() (bytes int64) {
	for _, size := range j.live {
		bytes += size
	}
	return bytes + j.dead
}

func (j *journalModel) add(sizes ...int64) {
	j.live = append(j.live, sizes...)
	j.reserved += int64(len(sizes)) * messageReserve
}

// accept accepts a message if it fits, as the journal does.
func (j *journalModel) accept(size int64) {
	if plan.Fits(j.budget, j.used()+plan.CopyReserve(j.budget, j.copying), j.reserved+messageReserve, size) {
		j.add(size)
	}
}

// end has up to count of the oldest messages end here.
func (j *journalModel) end(count int) (sizes []int64) {
	sizes = slices.Clone(j.live[:min(count, len(j.live))])
	j.live = j.live[len(sizes):]
	j.reserved -= int64(len(sizes)) * messageReserve
	for _, size := range sizes {
		j.dead += size
	}
	return sizes
}

// compact starts the copy of a segment if it fits, or ends a running one.
func (j *journalModel) compact(limit int64) {
	if j.copying > 0 {
		j.dead, j.copying = max(0, j.dead-plan.DiskSize(plan.SegmentSize(limit))), 0
		return
	}
	if size := plan.DiskSize(plan.SegmentSize(limit)); j.dead > 0 && j.used()+size <= j.budget {
		j.copying = size
	}
}

// transferModel is a file in the spool.
type transferModel struct {
	messages       []int64
	size, metadata int64
	kept           int64
}

// upgradeModel is a relay in an upgrade. The successor is a process that may be killed and started
// again; what it knows of the other one it reads from the spool.
type upgradeModel struct {
	limit          int64
	old, successor journalModel
	leaving        bool
	share          LeavingDisk
	spool          []transferModel // those that the successor has not read
	latest         transferModel   // the last one that it read, without its messages
	told           int64           // what it knows of the other one's share; -1: nothing yet
	copied         int64           // of the latest one, while it is replaced
	largest        int64           // size of a message
	random         *rand.Rand
	seed           uint64
	t              *testing.T
}

func (m *upgradeModel) total() int64 {
	sum := m.old.used() + m.old.copying + m.successor.used() + m.successor.copying + m.latest.size + m.copied
	for _, file := range m.spool {
		sum += file.size
	}
	return sum
}

func (m *upgradeModel) check(after string) {
	m.t.Helper()
	if total := m.total(); total > m.limit {
		m.t.Fatalf("seed %d: %d bytes of %d after %s", m.seed, total, m.limit, after)
	}
}

// use is what the leaving process sees.
func (m *upgradeModel) use() DiskUse {
	spooled := m.latest.size + m.copied
	for _, file := range m.spool {
		spooled += file.size
	}
	return DiskUse{Limit: m.limit, Others: m.successor.used() + m.successor.copying, Spooled: spooled,
		Needed: m.old.used() + plan.ReservedBytes(m.limit, m.old.reserved) + plan.CopyReserve(m.limit, m.old.copying)}
}

// send passes on as many of the oldest messages as there is room for.
func (m *upgradeModel) send(metadata int64) {
	transfer := Transfer{File: metadata, Kept: metadata}
	capacity := m.share.MessageCapacity(m.use(), transfer)
	count := 0
	for _, size := range m.old.live {
		if transfer.Messages+size+messageReserve*int64(count+1) > capacity {
			break
		}
		transfer.File, transfer.Messages = transfer.File+size, transfer.Messages+size
		count++
	}
	if transfer.Reserve = int64(count) * messageReserve; m.share.Fits(m.use(), transfer) {
		m.share.Pass(transfer)
		m.spool = append(m.spool, transferModel{messages: m.old.end(count), size: transfer.File, metadata: metadata,
			kept: m.share.Bytes()})
		m.old.budget = m.share.JournalBudget(m.use())
	}
}

// read has the successor adopt the oldest file, and keep its metadata in place of the one before.
func (m *upgradeModel) read() {
	if len(m.spool) == 0 {
		return
	}
	file := m.spool[0]
	m.successor.add(file.messages...)
	m.check("adopting a transfer")
	m.copied = file.metadata
	m.check("writing a transfer without its messages")
	m.spool, m.copied = m.spool[1:], 0
	m.latest, m.told = transferModel{size: file.metadata, kept: file.kept}, file.kept
}

// updateSuccessor sets the successor's budget by what it knows.
func (m *upgradeModel) updateSuccessor() {
	switch {
	case m.told >= 0 && m.leaving:
		m.successor.budget = SuccessorDisk(m.limit, max(m.told, m.use().Spooled+m.old.used()))
	case m.told >= 0 && len(m.old.live) == 0 && m.old.dead == 0:
		m.successor.budget = SuccessorDisk(m.limit, 2*m.use().Spooled) // unread ones are adopted yet
	}
}

// restartSuccessor kills the successor and starts it again. It knows what the spool says once it
// has scanned that, which it does before it serves.
func (m *upgradeModel) restartSuccessor() {
	m.successor.copying, m.successor.budget, m.told = 0, 0, -1
	if m.latest.size > 0 {
		m.told = m.latest.kept
	}
}

// adopt adopts a batch of the ended process's journal, while the successor goes on accepting.
func (m *upgradeModel) adopt() {
	if m.old.copying = 0; len(m.spool) > 0 {
		return // transfers are read first
	}
	committed := m.successor.used() + m.successor.reserved + m.successor.copying
	division := DivideForAdoption(m.limit, m.use().Spooled, m.old.used(), committed)
	m.successor.budget, m.old.budget = division.Successor, division.Adopted
	for bytes := int64(0); len(m.old.live) > 0 && bytes+m.old.live[0] <= division.Batch; {
		bytes += m.old.live[0]
		m.successor.add(m.old.end(1)...)
	}
	m.check("adopting a batch")
	m.old.compact(m.limit)
	m.check("the adopted journal's compaction")
	if m.old.compact(m.limit); len(m.old.live) == 0 {
		m.old = journalModel{} // its directory is removed
	}
}

// Guards against a folder over its limit in an upgrade: the same room was given out to the leaving
// process, to its successor and to the copies of an adoption. Whatever the order in which both
// accept, transfer, compact, look at the disk, end or start again, the files stay within the limit.
func TestUpgradeStaysWithinDiskLimit(t *testing.T) {
	const plays = 2000
	for seed := range uint64(plays) {
		m := &upgradeModel{told: -1, t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 59))}
		m.limit = 220_000 + m.random.Int64N(4_000_000)
		m.largest = []int64{4 << 10, 16 << 10, 64 << 10}[m.random.IntN(3)]
		m.old.budget = m.limit
		m.fill(&m.old, m.random.IntN(2000))
		m.check("the start")
		m.share, m.leaving = KeepDisk(m.use()), true
		m.old.budget = m.share.JournalBudget(m.use())
		m.send(plan.BlockSize)
		for leavesAfter, n := m.random.IntN(400), 0; n < 500; n++ {
			steps := slices.Concat(leavingSteps, successorSteps)
			if m.leaving = n < leavesAfter; !m.leaving {
				steps = slices.Concat(successorSteps, []string{"adoption", "adoption"})
			}
			step := steps[m.random.IntN(len(steps))]
			m.play(step)
			if m.check(step); m.random.IntN(50) == 0 {
				m.restartSuccessor()
			}
		}
	}
}

var (
	leavingSteps   = []string{"old accepts", "old looks", "old sends", "old ends", "old compacts"}
	successorSteps = []string{"successor reads", "successor looks", "successor accepts", "successor ends",
		"successor compacts"}
)

// fill has a journal accept up to count messages, as far as they fit.
func (m *upgradeModel) fill(j *journalModel, count int) {
	for range count {
		j.accept(plan.BlockSize * (1 + m.random.Int64N(m.largest/plan.BlockSize)))
	}
}

// play plays one step of one of the processes.
func (m *upgradeModel) play(step string) {
	switch step {
	case "old accepts":
		m.fill(&m.old, 1+m.random.IntN(100))
	case "old looks":
		m.share.Lower(m.use())
		m.old.budget = m.share.JournalBudget(m.use())
	case "old sends":
		m.send(plan.BlockSize * (1 + m.random.Int64N(8)))
	case "old ends":
		m.old.end(m.random.IntN(8))
	case "old compacts":
		m.old.compact(m.limit)
	case "successor reads":
		m.read()
	case "successor looks":
		m.updateSuccessor()
	case "successor accepts":
		m.fill(&m.successor, 1+m.random.IntN(100))
	case "successor ends":
		m.successor.end(m.random.IntN(8))
	case "successor compacts":
		m.successor.compact(m.limit)
	case "adoption":
		m.adopt()
	}
}

// The shares of the formulas that are compared with the limit directly.
func TestShares(t *testing.T) {
	use := DiskUse{Limit: 3_000_000, Others: 100_000, Spooled: 0, Needed: 900_000}
	keeps := KeepDisk(use)
	if keeps.Bytes() != 1_900_000 {
		t.Errorf("it keeps %d bytes: what it needs, and half of what is free", keeps.Bytes())
	}
	if got := keeps.JournalBudget(use); got != 1_900_000-2*MaxTransferBytes {
		t.Errorf("budget of %d bytes beside the room for transfers", got)
	}
	update := Transfer{File: 900_000, Kept: 512}
	if !keeps.Fits(use, update) || keeps.Fits(use, Transfer{File: 1_000_000, Kept: 512}) {
		t.Error("a large update takes what is free of the share, once")
	}
	if got := keeps.MessageCapacity(use, update); got != (1_000_000-900_096-2*plan.BlockSize)/2 {
		t.Errorf("room for %d bytes of messages beside a large update", got)
	}
	if got := keeps.MessageCapacity(use, Transfer{File: 512, Kept: 512}); got != MaxTransferBytes {
		t.Errorf("room for %d bytes of messages where there is more", got)
	}
	messages := Transfer{File: 99_000, Messages: 98_000, Kept: 512, Reserve: 1000}
	passed := messages.Passed()
	keeps.Pass(messages)
	if use.Needed, use.Others = 800_000, 200_000; keeps.Bytes() != 1_900_000-passed || passed < 99_512 {
		t.Errorf("it keeps %d bytes of 1,900,000 after it passed on %d", keeps.Bytes(), passed)
	}
	keeps.Lower(use)
	use.Others = 0
	if keeps.Lower(use); keeps.Bytes() != 1_900_000-passed {
		t.Errorf("its share grew to %d bytes", keeps.Bytes())
	}
	if keeps.Restore(messages); keeps.Bytes() != 1_900_000 {
		t.Errorf("it keeps %d bytes after a transfer failed", keeps.Bytes())
	}
	use.Spooled = 1_100_000
	if got := keeps.MessageCapacity(use, Transfer{}); got != 0 {
		t.Errorf("room for %d bytes of messages with a full spool", got)
	}
	if got := UntoldDisk(1000, 100, 300); got != 400 {
		t.Errorf("%d bytes beside a process that tells nothing", got)
	}
}
