package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"oatfold/internal/memory"
)

// The legacy journal, kept as the baseline of benchmarks and to create directories for upgrade
// tests: a single segment, one write for each record, and compaction of all pending messages on the
// caller's goroutine.

const (
	legacyBlockSize     = 512 // files use whole blocks
	legacySegmentExt    = ".log"
	legacyTmpExt        = ".tmp"
	minCompactionGrowth = 64 << 10 // bytes that a segment grows before it is compacted
)

// legacyJournal is a journal in the legacy format. It is not safe for concurrent use.
type legacyJournal struct {
	dir         string
	budget      int64 // bytes that all segments together may use
	log         *slog.Logger
	file        *os.File
	number      int
	size        int64            // bytes of the segment
	liveSizes   map[uint32]int64 // bytes of each pending message after compaction
	liveBytes   int64
	writeBuffer []byte
	compactAt   int64 // size at which to compact next
}

// openLegacy replays the journal in dir and starts a new segment with the pending messages.
func openLegacy(dir string, budget int64, log *slog.Logger) (*legacyJournal, *memory.Table, error) {
	j := &legacyJournal{dir: dir, budget: budget, log: log, liveSizes: map[uint32]int64{}}
	numbers, err := j.segments()
	if err != nil {
		return nil, nil, err
	}
	table := memory.NewTable()
	if n := len(numbers); n > 0 {
		j.number = numbers[n-1]
		raw, err := os.ReadFile(j.path(j.number, legacySegmentExt))
		if err != nil {
			return nil, nil, err
		}
		j.size = int64(len(raw))
		table = memory.ReadLegacy(raw, func(int, error) {})
	}
	for _, m := range table.All() {
		j.addLive(m)
	}
	// Older segments and temporary files are left by a crash during compaction.
	for _, number := range numbers[:max(0, len(numbers)-1)] {
		os.Remove(j.path(number, legacySegmentExt))
	}
	if tmp, _ := filepath.Glob(filepath.Join(dir, "*"+legacyTmpExt)); len(tmp) > 0 {
		for _, name := range tmp {
			os.Remove(name)
		}
	}
	if err := j.Compact(table); err != nil {
		return nil, nil, err
	}
	return j, table, nil
}

func (j *legacyJournal) path(number int, ext string) string {
	return filepath.Join(j.dir, fmt.Sprintf("%08d%s", number, ext))
}

// segments lists the numbers of the complete segments in order.
func (j *legacyJournal) segments() ([]int, error) {
	entries, err := os.ReadDir(j.dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	var numbers []int
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), legacySegmentExt); ok {
			if n, err := strconv.Atoi(name); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// SetBudget sets the disk budget in bytes. Existing data is kept.
func (j *legacyJournal) SetBudget(budget int64) {
	j.budget = budget
	j.compactAt = min(j.compactAt, budget)
}

// Close closes the segment.
func (j *legacyJournal) Close() error { return j.file.Close() }

func legacyDiskSize(n int64) int64 {
	return (n + legacyBlockSize - 1) / legacyBlockSize * legacyBlockSize
}

// Fits reports whether m fits. All pending messages must fit twice, since the old segment and the
// new one exist side by side during compaction.
func (j *legacyJournal) Fits(m *memory.Message) bool {
	return 2*legacyDiskSize(j.liveBytes+legacySnapshotSize(m)) <= j.budget*9/10
}

// AppendAccepted records that m is accepted and adds it to the table.
func (j *legacyJournal) AppendAccepted(table *memory.Table, m *memory.Message) error {
	if !j.Fits(m) {
		return ErrFull
	}
	records := [][]byte{legacyMessage([]byte{recordAccepted}, m)}
	if len(m.PluginNotes) > 0 {
		records = append(records, legacyText(legacyPayload(recordPluginNotes, m), string(m.PluginNotes)))
	}
	if err := j.appendRecords(records...); err != nil {
		return err
	}
	table.Add(m)
	j.addLive(m)
	j.compactIfNeeded(table)
	return nil
}

// AppendAttempt records that an attempt starts with these messages, whose InFlight is set.
func (j *legacyJournal) AppendAttempt(table *memory.Table, startedAt time.Time, messages []*memory.Message) error {
	b := binary.AppendVarint([]byte{recordAttempt}, startedAt.UnixMicro())
	for _, m := range messages {
		b = binary.AppendUvarint(b, uint64(m.Number))
	}
	return j.appendRecord(table, b)
}

// AppendNotRun records that the latest attempt for m, whose InFlight is cleared, did not run.
func (j *legacyJournal) AppendNotRun(table *memory.Table, m *memory.Message) error {
	return j.appendRecord(table, legacyPayload(recordNotRun, m))
}

// AppendUndelivered records that m, already marked in the table, ended undelivered.
func (j *legacyJournal) AppendUndelivered(table *memory.Table, m *memory.Message) error {
	j.addLive(m)
	return j.appendRecord(table, legacyNotification(legacyPayload(recordUndelivered, m), *m.Notification))
}

// AppendCompleted records that m, already removed from the table, is completed.
func (j *legacyJournal) AppendCompleted(table *memory.Table, m *memory.Message) error {
	j.liveBytes -= j.liveSizes[m.Number]
	delete(j.liveSizes, m.Number)
	return j.appendRecord(table, legacyPayload(recordCompleted, m))
}

func (j *legacyJournal) appendRecord(table *memory.Table, payload []byte) error {
	err := j.appendRecords(payload)
	j.compactIfNeeded(table)
	return err
}

func legacyPayload(kind byte, m *memory.Message) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(m.Number))
}

func (j *legacyJournal) addLive(m *memory.Message) {
	j.liveBytes += legacySnapshotSize(m) - j.liveSizes[m.Number]
	j.liveSizes[m.Number] = legacySnapshotSize(m)
}

// legacySnapshotSize is an upper bound of what compaction writes for m.
func legacySnapshotSize(m *memory.Message) int64 {
	n := frameHeaderSize + 8*binary.MaxVarintLen64 + len(m.ID) + len(m.Class) + len(m.IdempotencyKey) + len(m.Body)
	if len(m.PluginNotes) > 0 {
		n += frameHeaderSize + 1 + 2*binary.MaxVarintLen64 + len(m.PluginNotes)
	}
	return int64(n)
}

func legacyFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

// appendRecords writes all records with one write.
func (j *legacyJournal) appendRecords(payloads ...[]byte) error {
	grown := j.size
	for _, p := range payloads {
		grown += int64(frameHeaderSize + len(p))
	}
	if legacyDiskSize(grown)+legacyDiskSize(j.liveBytes) > j.budget {
		return ErrFull
	}
	j.writeBuffer = j.writeBuffer[:0]
	for _, p := range payloads {
		j.writeBuffer = legacyFrame(j.writeBuffer, p)
	}
	n, err := j.file.Write(j.writeBuffer)
	if err != nil {
		// An incomplete record would hide those after it.
		if n > 0 && j.file.Truncate(j.size) == nil {
			j.file.Seek(j.size, io.SeekStart)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size = grown
	return nil
}

// compactIfNeeded compacts once the segment has grown enough, or before the old segment and a new
// one no longer fit side by side. It must follow the record and the change of the table, so that
// the new segment has both.
func (j *legacyJournal) compactIfNeeded(table *memory.Table) {
	if j.size <= j.compactAt && legacyDiskSize(j.size)+legacyDiskSize(j.liveBytes) <= j.budget*9/10 {
		return
	}
	if err := j.Compact(table); err != nil {
		j.log.Error("journal compaction failed", "err", err)
	}
}

// Compact writes the pending messages into the next segment and removes the old one.
func (j *legacyJournal) Compact(table *memory.Table) error {
	b := j.writeBuffer[:0]
	for _, m := range table.All() {
		b = legacyFrame(b, legacySnapshot([]byte{recordSnapshot}, m))
		if len(m.PluginNotes) > 0 {
			b = legacyFrame(b, legacyText(legacyPayload(recordPluginNotes, m), string(m.PluginNotes)))
		}
	}
	j.writeBuffer = b
	tmp, next := j.path(j.number+1, legacyTmpExt), j.path(j.number+1, legacySegmentExt)
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = f.Write(b); err == nil {
		err = os.Rename(tmp, next)
	}
	if err != nil {
		f.Close()
		os.Remove(tmp)
		return fmt.Errorf("journal: %w", err)
	}
	if j.file != nil {
		j.file.Close()
	}
	os.Remove(j.path(j.number, legacySegmentExt))
	j.file, j.size, j.number = f, int64(len(b)), j.number+1
	j.compactAt = min(j.size+max(j.size, minCompactionGrowth), j.budget)
	return nil
}

// --- records ---

func legacyText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func legacyMessage(b []byte, m *memory.Message) []byte {
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = binary.AppendVarint(b, m.Deadline.UnixMicro())
	b = binary.AppendVarint(b, int64(m.Dest))
	b = legacyText(legacyText(legacyText(b, m.ID), m.Class), m.IdempotencyKey)
	return legacyText(b, string(m.Body))
}

func legacyNotification(b []byte, n memory.Notification) []byte {
	kind := byte(0)
	if n.Returned {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryAfter.Microseconds()))
}

// legacySnapshot appends a message with its state. An attempt in flight counts as one that may have
// run, unless a later record says that it did not.
func legacySnapshot(b []byte, m *memory.Message) []byte {
	b = legacyMessage(b, m)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = binary.AppendVarint(b, microsOrZero(m.MayHaveRunSince))
	var startedAt time.Time
	if m.InFlight != nil {
		startedAt = m.InFlight.StartedAt
	}
	b = binary.AppendVarint(b, microsOrZero(startedAt))
	if m.Notification != nil {
		b = legacyNotification(b, *m.Notification)
	}
	return b
}

// microsOrZero encodes a time as the legacy format does.
func microsOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}
