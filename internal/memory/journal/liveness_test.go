package journal_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/memory/journal/plan"
	"oatfold/internal/testdouble/faultfs"
)

// Whatever was accepted, refused, completed, failed on the disk, restarted and reloaded before: once
// the disk is healthy and all messages are completed, a message of the largest size is accepted
// again, and again.
func TestSpaceIsReclaimedAfterAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		budget := int64(rapid.IntRange(int(plan.MinBudget(6)), 3e6).Draw(t, "budget"))
		maxBody := rapid.SampledFrom([]int{100, 5000, 40_000, 64 << 10}).Draw(t, "body")
		idBytes := rapid.SampledFrom([]int{16, 60, 256}).Draw(t, "id")
		disk := faultfs.New()
		open := func(next *faultfs.FS) *reclaimer {
			disk = next
			j, table, err := journal.Open(journal.Config{
				FS: disk, Budget: budget, MaxBodyBytes: 1 << 20, Log: quiet, CompactInline: true,
			})
			if err != nil {
				t.Fatal(err)
			}
			return &reclaimer{journal: j, table: table, refused: map[string]bool{}}
		}
		r := open(disk)
		r.next = random.IntN(1 << 30) // ids of several processes differ
		pending := map[uint32]*memory.Message{}
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			runRandomTurn(r, random, pending, maxBody, idBytes)
			switch random.IntN(60) {
			case 0:
				for range random.IntN(30) {
					disk.InjectFault(disk.OperationCount()+1+random.IntN(40), []faultfs.Fault{faultfs.Error, faultfs.Short}[random.IntN(2)])
				}
			case 1:
				last, next := r.next, disk.Restart()
				for range random.IntN(2) * random.IntN(12) { // the disk fails while the journal opens, and for some time after
					next.InjectFault(1+random.IntN(12), []faultfs.Fault{faultfs.Error, faultfs.Short}[random.IntN(2)])
				}
				r = open(next)
				r.next = last
				clear(pending)
				for number, m := range r.table.All() {
					pending[number] = m
				}
			case 2:
				budget = plan.MinBudget(6) + random.Int64N(3e6-plan.MinBudget(6))
				r.journal.SetBudget(budget)
			}
		}
		disk.ClearFaults()
		for _, m := range pending {
			r.deliver(m)
		}
		if n := len(r.table.All()); n > 0 {
			t.Fatalf("%d messages are not completed", n)
		}
		for n := range 60 {
			m, err := r.accept(64<<10, 256)
			if err != nil {
				t.Fatalf("message %d: %v: %+v", n, err, r.journal.SpaceUse())
			}
			r.deliver(m)
		}
	})
}

// runRandomTurn accepts and completes some messages in one commit each, as a clump does.
func runRandomTurn(
	r *reclaimer, random *rand.Rand, pending map[uint32]*memory.Message, maxBody, idBytes int,
) {
	var accepted []*memory.Message
	for range random.IntN(12) {
		m := r.newMessage(random.IntN(maxBody+1), idBytes)
		if r.journal.AppendAccepted(r.table, m, random.IntN(2) == 0) == nil {
			accepted = append(accepted, m)
		}
	}
	if acceptErr, _ := r.journal.Commit(); acceptErr != nil {
		for _, m := range accepted {
			r.table.Remove(m)
			r.table.ForgetCompleted(m.ID)
		}
		accepted = nil
	}
	for _, m := range accepted {
		pending[m.Number] = m
	}
	numbers := make([]uint32, 0, len(pending))
	for number := range pending {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		if random.IntN(3) == 0 {
			r.deliver(pending[number])
			delete(pending, number)
		}
	}
	if random.IntN(4) == 0 {
		r.journal.Maintain()
	}
}
