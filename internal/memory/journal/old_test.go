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

// The first form of the journal, kept here to be measured against and to make folders that are upgraded: one segment at
// a time, a write for each record, and compaction of all that is live on the owner's goroutine.

const (
	blockSize = 512 // files count in whole blocks
	oldExt    = ".log"
	oldTmp    = ".tmp"
	leastTurn = 64 << 10 // a segment is not compacted before it has grown by so much
)

// Journal is the relay's lasting memory. It is owned by one goroutine.
type oldJournal struct {
	dir    string
	budget int64 // bytes that all segments together may take
	log    *slog.Logger
	file   *os.File
	seq    int
	size   int64            // of the segment
	live   map[uint32]int64 // bytes that each live message takes after compaction
	liveB  int64
	buf    []byte
	turnAt int64 // size at which the next compaction is worth while
}

// openOld replays what dir holds and starts a new segment with what is live in it.
func openOld(dir string, budget int64, log *slog.Logger) (*oldJournal, *memory.Table, error) {
	j := &oldJournal{dir: dir, budget: budget, log: log, live: map[uint32]int64{}}
	segs, err := j.segments()
	if err != nil {
		return nil, nil, err
	}
	t := memory.NewTable()
	if n := len(segs); n > 0 {
		j.seq = segs[n-1]
		raw, err := os.ReadFile(j.path(j.seq, oldExt))
		if err != nil {
			return nil, nil, err
		}
		j.size = int64(len(raw))
		t = memory.ReadLegacy(raw, func(int, error) {})
	}
	for _, m := range t.All() {
		j.book(m)
	}
	// Guards against a crash between rename and removal, or in the middle of a compaction: older segments
	// and half-written ones are dropped before anything is written.
	for _, s := range segs[:max(0, len(segs)-1)] {
		os.Remove(j.path(s, oldExt))
	}
	if tmp, _ := filepath.Glob(filepath.Join(dir, "*"+oldTmp)); len(tmp) > 0 {
		for _, name := range tmp {
			os.Remove(name)
		}
	}
	if err := j.Compact(t); err != nil {
		return nil, nil, err
	}
	return j, t, nil
}

func (j *oldJournal) path(seq int, ext string) string {
	return filepath.Join(j.dir, fmt.Sprintf("%08d%s", seq, ext))
}

// segments lists the numbers of the whole segments in order.
func (j *oldJournal) segments() ([]int, error) {
	entries, err := os.ReadDir(j.dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	var out []int
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), oldExt); ok {
			if n, err := strconv.Atoi(name); err == nil {
				out = append(out, n)
			}
		}
	}
	slices.Sort(out)
	return out, nil
}

// Resize sets a new budget; what is there stays.
func (j *oldJournal) Resize(budget int64) {
	j.budget = budget
	j.turnAt = min(j.turnAt, budget)
}

// Close gives the file back.
func (j *oldJournal) Close() error { return j.file.Close() }

func oldBlocks(n int64) int64 { return (n + blockSize - 1) / blockSize * blockSize }

// Room tells whether a further message with so many bytes fits: what is live must fit twice, since the old
// segment stands beside the new one during compaction.
func (j *oldJournal) Room(m *memory.Message) bool {
	return 2*oldBlocks(j.liveB+keptSize(m)) <= j.budget*9/10
}

// Taken records that m is taken on and adds it to the table. Without it there is no 202.
func (j *oldJournal) Taken(t *memory.Table, m *memory.Message) error {
	if !j.Room(m) {
		return ErrFull
	}
	records := [][]byte{oldMessage([]byte{recTaken}, m)}
	if len(m.PluginNotes) > 0 {
		records = append(records, oldText(oldNum(recNotes, m), string(m.PluginNotes)))
	}
	if err := j.append(records...); err != nil {
		return err
	}
	t.Add(m)
	j.book(m)
	j.turn(t)
	return nil
}

// Out records that a route step goes out with these messages, whose Out is set. Without it there is no call.
func (j *oldJournal) Out(t *memory.Table, at time.Time, msgs []*memory.Message) error {
	b := binary.AppendVarint([]byte{recOut}, at.UnixMicro())
	for _, m := range msgs {
		b = binary.AppendUvarint(b, uint64(m.Number))
	}
	return j.record(t, b)
}

// NotRun records that the latest route step of m, whose Out is cleared, never ran.
func (j *oldJournal) NotRun(t *memory.Table, m *memory.Message) error {
	return j.record(t, oldNum(recNotRun, m))
}

// Owed records that m, which the table shows as owed, is ended by a notice.
func (j *oldJournal) Owed(t *memory.Table, m *memory.Message) error {
	j.book(m)
	return j.record(t, oldNotice(oldNum(recOwed, m), *m.Notification))
}

// Over records that nothing more is owed for m, which the table holds no longer.
func (j *oldJournal) Over(t *memory.Table, m *memory.Message) error {
	j.liveB -= j.live[m.Number]
	delete(j.live, m.Number)
	return j.record(t, oldNum(recOver, m))
}

func (j *oldJournal) record(t *memory.Table, payload []byte) error {
	err := j.append(payload)
	j.turn(t)
	return err
}

func oldNum(kind byte, m *memory.Message) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(m.Number))
}

func (j *oldJournal) book(m *memory.Message) {
	j.liveB += keptSize(m) - j.live[m.Number]
	j.live[m.Number] = keptSize(m)
}

// keptSize bounds what compaction writes for m.
func keptSize(m *memory.Message) int64 {
	n := frameHead + 8*binary.MaxVarintLen64 + len(m.ID) + len(m.Class) + len(m.IdempotencyKey) + len(m.Body)
	if len(m.PluginNotes) > 0 {
		n += frameHead + 1 + 2*binary.MaxVarintLen64 + len(m.PluginNotes)
	}
	return int64(n)
}

func oldFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

// append writes records at once, in one write.
func (j *oldJournal) append(payloads ...[]byte) error {
	grown := j.size
	for _, p := range payloads {
		grown += int64(frameHead + len(p))
	}
	if oldBlocks(grown)+oldBlocks(j.liveB) > j.budget {
		return ErrFull
	}
	j.buf = j.buf[:0]
	for _, p := range payloads {
		j.buf = oldFrame(j.buf, p)
	}
	n, err := j.file.Write(j.buf)
	if err != nil {
		// Guards against a half-written record in the middle of a segment: what follows it would be lost.
		if n > 0 && j.file.Truncate(j.size) == nil {
			j.file.Seek(j.size, io.SeekStart)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size = grown
	return nil
}

// turn compacts when it pays, or when the old segment and a new one could soon no longer stand side by side.
// It comes after the record and the table's change, so that the new segment has both.
func (j *oldJournal) turn(t *memory.Table) {
	if j.size <= j.turnAt && oldBlocks(j.size)+oldBlocks(j.liveB) <= j.budget*9/10 {
		return
	}
	if err := j.Compact(t); err != nil {
		j.log.Error("journal compaction failed", "err", err)
	}
}

// Compact writes what is live into the next segment and drops the old one.
func (j *oldJournal) Compact(t *memory.Table) error {
	b := j.buf[:0]
	for _, m := range t.All() {
		b = oldFrame(b, oldKept([]byte{recKept}, m))
		if len(m.PluginNotes) > 0 {
			b = oldFrame(b, oldText(oldNum(recNotes, m), string(m.PluginNotes)))
		}
	}
	j.buf = b
	tmp, next := j.path(j.seq+1, oldTmp), j.path(j.seq+1, oldExt)
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
	os.Remove(j.path(j.seq, oldExt))
	j.file, j.size, j.seq = f, int64(len(b)), j.seq+1
	j.turnAt = min(j.size+max(j.size, leastTurn), j.budget)
	return nil
}

// --- records ---

func oldText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func oldMessage(b []byte, m *memory.Message) []byte {
	b = binary.AppendUvarint(b, uint64(m.Number))
	b = binary.AppendVarint(b, m.Deadline.UnixMicro())
	b = binary.AppendVarint(b, int64(m.Dest))
	b = oldText(oldText(oldText(b, m.ID), m.Class), m.IdempotencyKey)
	return oldText(b, string(m.Body))
}

func oldNotice(b []byte, n memory.Notification) []byte {
	kind := byte(0)
	if n.Returned {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryAfter.Microseconds()))
}

// appendKept adds to the message what has happened to it: steps, risk, notice. A step that is out counts as
// risk from its start on; should it be proved not to have run, that is recorded after.
func oldKept(b []byte, m *memory.Message) []byte {
	b = oldMessage(b, m)
	b = binary.AppendUvarint(b, uint64(m.Attempts))
	b = binary.AppendVarint(b, wallMicro(m.MayHaveRunSince))
	var out time.Time
	if m.InFlight != nil {
		out = m.InFlight.StartedAt
	}
	b = binary.AppendVarint(b, wallMicro(out))
	if m.Notification != nil {
		b = oldNotice(b, *m.Notification)
	}
	return b
}

// wallMicro is how the first form wrote dates.
func wallMicro(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}
