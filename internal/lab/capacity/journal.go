package capacity

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/policy"
)

// journalBudget bounds a measured journal on disk, in bytes.
const journalBudget = 4 << 30

// openJournal opens the journal in dir and compacts it on the caller's goroutine.
func openJournal(dir string) (*journal.Journal, *memory.Table, error) {
	return journal.Open(journal.Config{FS: journal.Dir(dir), Budget: journalBudget,
		Log: slog.New(slog.DiscardHandler), CompactInline: true})
}

// newMessage returns a message as a client submits it.
func newMessage(table *memory.Table) *memory.Message {
	num := table.NextNumber()
	return &memory.Message{Number: num, ID: fmt.Sprintf("%016x", num), Class: "charge",
		IdempotencyKey: fmt.Sprintf("%032x", num), Body: make([]byte, bodySize),
		Deadline: time.Unix(2_000_000_000, 0), Terms: memory.Terms{Effect: policy.Unsafe, Tenant: "customer",
			OrderingKey: fmt.Sprintf("%016x", num)}}
}

// fillJournal writes the given number of messages into a new journal in dir.
func fillJournal(dir string, messages int) (*journal.Journal, *memory.Table, error) {
	j, table, err := openJournal(dir)
	if err != nil {
		return nil, nil, err
	}
	for range messages {
		if err := j.AppendAccepted(table, newMessage(table), false); err != nil {
			return nil, nil, err
		}
		if err, _ := j.Commit(); err != nil {
			return nil, nil, err
		}
	}
	return j, table, nil
}

// inTempDir calls measure with a temporary directory and removes the directory afterwards.
func inTempDir(measure func(dir string) (float64, error)) (float64, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	return measure(dir)
}

// messageMemory measures the heap that pending messages take in the message table, the journal's
// index and the policy engine, bodies included.
func messageMemory(size int, seed uint64) (float64, error) {
	return inTempDir(func(dir string) (float64, error) {
		var j *journal.Journal
		bytes, err := measureHeap(func() (any, error) {
			var table *memory.Table
			var err error
			if j, table, err = fillJournal(dir, size); err != nil {
				return nil, err
			}
			relay, err := relayWithPending(size, false, seed)
			return []any{j, table, relay}, err
		})
		if j != nil {
			j.Close()
		}
		return bytes, err
	})
}

func messageDiskBytes(size int, _ uint64) (float64, error) {
	return inTempDir(func(dir string) (float64, error) {
		j, _, err := fillJournal(dir, size)
		if err != nil {
			return 0, err
		}
		defer j.Close()
		return float64(j.Stats().BytesWritten), nil
	})
}

// journalReadTime measures how long it takes to open a journal with that many messages.
func journalReadTime(size int, _ uint64) (float64, error) {
	return inTempDir(func(dir string) (float64, error) {
		j, _, err := fillJournal(dir, size)
		if err != nil {
			return 0, err
		}
		if err := j.Close(); err != nil {
			return 0, err
		}
		start := time.Now()
		reopened, table, err := openJournal(dir)
		elapsed := time.Since(start)
		if err != nil {
			return 0, err
		}
		defer reopened.Close()
		if table.PendingCount() != size {
			return 0, fmt.Errorf("%d of %d messages are pending after a restart", table.PendingCount(), size)
		}
		return float64(elapsed.Nanoseconds()), nil
	})
}
