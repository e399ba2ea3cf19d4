// Package journal is the relay's lasting memory: segments of records that are only appended. Records of one turn of the
// owner go out in one write; segments that are no longer written to are cleaned beside the traffic, each rewritten
// without what is over and renamed over itself. At each byte the folder holds all that was promised. What was written
// outlasts the process without a sync, which is what it is for; it does not outlast the machine.
//
// One goroutine owns a Journal. It never waits for cleaning.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// ErrFull says that a record would go over the disk budget.
var ErrFull = errors.New("journal: over the disk budget")

// ErrUnavailable says that the disk does not take records now; it is tried again with each commit that has something to write.
var ErrUnavailable = errors.New("journal: the disk takes no records")

const (
	segmentExt  = ".seg"
	legacyExt   = ".log"
	tmpExt      = ".tmp"
	reserveName = "reserve"
)

// Config is what a journal is made from.
type Config struct {
	FS            FS
	Budget        int64       // bytes that all files together may take
	MaxBodyBytes  int64       // bytes that bodies of held messages may take in memory; 0: any number
	TimeScale     clock.Scale // that records are dated on; the zero one is the wall clock
	Log           *slog.Logger
	CompactInline bool // clean on the owner's goroutine: for tests that count operations
}

// Journal is owned by one goroutine.
type Journal struct {
	set    Config
	segs   []*segment // by number; the last one is written to
	file   File       // of the last one
	salt   uint32     // of its checksums
	good   int64      // bytes of it that are whole records
	torn   bool       // something lies behind them that could not be cut yet
	over   bool       // it refused a write: the next goes to a new segment
	total  int64      // bytes that the segments take, in whole blocks
	spots  map[uint32]spots
	batch  []entry // records of this turn
	batchB int64
	arena  []byte // their bytes
	buf    []byte
	plan   []plan.Segment
	looked int64  // commits when a segment to clean was looked for last
	overs  uint64 // ordinal of the last message that was over
	top    uint32 // largest message number
	sick   bool   // the last write failed
	keep   int64  // bytes of the reserve file; 0: it is used up
	jobs   chan job
	done   chan result
	busy   bool // a cleaning is out
	stats  Stats
}

// Stats counts since the journal was opened.
type Stats struct {
	BytesWritten, Commits, Records, Failures int64
	Compactions, CompactedBytes              int64 // segments, and bytes that their copies took
	Segments                                 int
	UsedBytes                                int64
}

type segment struct {
	no      uint64
	size    int64
	live    int64
	floor   int64
	floorAt uint64           // overs as it was set
	cleaned uint64           // number of the segment that was written to when it was last cleaned; 0: never
	waits   bool             // it keeps ends of messages that an older segment may still have
	nums    map[uint32]int64 // bytes of records of live messages
	busy    bool             // it is being cleaned, or can't be read
}

func (s *segment) name() string { return fmt.Sprintf("%012d%s", s.no, segmentExt) }

// spot is where records of a live message lie; spots are all of them, the first in place.
type (
	spot struct {
		seg   *segment
		bytes int64
	}
	spots struct {
		first spot
		more  []spot
	}
)

// entry is a record that waits for the turn's write.
type entry struct {
	from, to int      // in the arena
	num      uint32   // the message that it is of; 0: see more
	more     []uint32 // of a route step with several
	kind     entryKind
	over     uint32 // the message that it ends
}

// entryKind says what becomes of a record that can't be written.
type entryKind int

const (
	entryEnd   entryKind = iota // it is kept until it could be
	entryTaken                  // its message is not taken on
	entryOut                    // its call does not go out
)

// rotate seals the segment that is written to and begins the next.
func (j *Journal) rotate() error {
	g := &segment{no: 1, nums: map[uint32]int64{}}
	if n := len(j.segs); n > 0 {
		g.no = j.segs[n-1].no + 1
	}
	f, err := j.set.FS.Create(g.name())
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	salt := rand.Uint32()
	head := appendHead(nil, g.no, j.top, salt)
	if n, err := f.Write(head); err != nil || n < len(head) {
		f.Close()
		j.set.FS.Remove(g.name())
		return fmt.Errorf("journal: %w", errors.Join(err, io.ErrShortWrite))
	}
	if j.file != nil {
		j.file.Close()
	}
	j.grow(g, int64(len(head)))
	j.file, j.good, j.torn, j.over, j.salt = f, g.size, false, false, salt
	j.segs = append(j.segs, g)
	return nil
}

// fill makes the reserve file, which gives way when the disk is full so that ends can still be recorded.
func (j *Journal) fill() {
	size := j.reserve()
	if j.keep > 0 || size == 0 {
		return
	}
	if err := writeWhole(j.set.FS, reserveName, make([]byte, size), noRest); err == nil {
		j.keep = size
	}
}

// reserve is how large the reserve file should be; 0 where the budget is too small for one.
func (j *Journal) reserve() int64 { return min(j.set.Budget/64, 256<<10) / plan.Block * plan.Block }

// Close gives the file back and ends cleaning. What was not committed is lost.
func (j *Journal) Close() error {
	if j.jobs != nil {
		close(j.jobs)
		for range j.done {
		}
		j.jobs = nil
	}
	return j.file.Close()
}

// SetBudget sets a new budget; what is there stays.
func (j *Journal) SetBudget(budget int64) { j.set.Budget = budget }

// used is what all files take.
func (j *Journal) used() int64 { return j.total + j.keep }

// Stats returns the counts so far.
func (j *Journal) Stats() Stats {
	j.stats.Segments, j.stats.UsedBytes = len(j.segs), j.used()
	return j.stats
}

// --- records ---

// open begins a record, whose payload is appended to the arena; shut ends it.
func (j *Journal) open() { j.arena = begin(j.arena) }

func (j *Journal) shut(e entry) {
	if n := len(j.batch); n > 0 {
		e.from = j.batch[n-1].to
	}
	e.to = len(j.arena)
	frame(j.arena, e.from)
	j.batch = append(j.batch, e)
	j.batchB += int64(e.to - e.from)
}

func head(b []byte, kind byte, num uint32) []byte {
	return binary.AppendUvarint(append(b, kind), uint64(num))
}

// AppendAccepted adds that m is taken on, and enters it into t. It holds once Commit has succeeded: only then may its client hear of it.
// If Commit fails, the caller takes m out of the table again. Where there is no room for its body, a message that is
// not repeatable may be taken on with its body in memory only: m.Unkept tells. The others' bodies may be let go by Settle.
func (j *Journal) AppendAccepted(t *memory.Table, m *memory.Message, repeatable bool) error {
	if j.sick || j.keep == 0 && j.reserve() > 0 {
		return ErrUnavailable // also while the reserve is used up: what is taken on must be able to end
	}
	size := int64(frameHead + 40 + len(m.ID) + len(m.Class) + len(m.IdempotencyKey) + len(m.Body) + len(m.PluginNotes) + len(m.Tenant) + len(m.OrderingKey))
	used := j.used() + j.batchB
	kind := recTaken
	keptB, unkeptB := t.BodyBytes()
	switch plan.Body(keptB, unkeptB, j.set.MaxBodyBytes, int64(len(m.Body)), plan.Room(j.set.Budget, used, len(j.spots), size),
		plan.Room(j.set.Budget, used, len(j.spots), size-int64(len(m.Body))), repeatable) {
	case plan.None:
		return ErrFull
	case plan.Unkept:
		kind, m.MemoryOnly = recUnkept, true
	}
	j.top = max(j.top, m.Number)
	j.open()
	j.arena = appendTerms(appendMessage(append(j.arena, kind), m, j.set.TimeScale), m.Terms)
	if j.shut(entry{num: m.Number, kind: entryTaken}); len(m.PluginNotes) > 0 {
		j.open()
		j.arena = appendText(head(j.arena, recNotes, m.Number), m.PluginNotes)
		j.shut(entry{num: m.Number, kind: entryTaken})
	}
	t.Add(m)
	return nil
}

// LimitBodyMemory lets go of the body of m, whose record is committed, while bodies take more memory than they may.
func (j *Journal) LimitBodyMemory(t *memory.Table, m *memory.Message) {
	if kept, _ := t.BodyBytes(); j.set.MaxBodyBytes > 0 && kept > j.set.MaxBodyBytes && !m.MemoryOnly && len(m.Body) > 0 {
		t.SpillBody(m)
	}
}

// ErrBodyLost says that a body that was let go can't be read again.
var ErrBodyLost = errors.New("journal: body lost")

// BodyLoader returns what reads the body of m again. It may be called on any goroutine, once, and waits for the disk.
func (j *Journal) BodyLoader(m *memory.Message) func() ([]byte, error) {
	at, ok := j.spots[m.Number]
	if !ok {
		return func() ([]byte, error) { return nil, ErrBodyLost }
	}
	// Cleaning renames a copy over the segment: under its name there is always one that has the record.
	name, fs, num, dates := at.first.seg.name(), j.set.FS, m.Number, j.set.TimeScale
	return func() (body []byte, err error) {
		raw, err := fs.Read(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBodyLost, err)
		}
		err = ErrBodyLost
		walk(raw, func(_, _ int, payload []byte, bad error) {
			if bad == nil && err != nil && (payload[0] == recTaken || payload[0] == recKept) {
				if m := read(payload, dates).message(); m.Number == num {
					body, err = m.Body, nil
				}
			}
		})
		return body, err
	}
}

// AppendAttempt adds that a route step goes out with these messages. Only after Commit may the call's first byte go out.
func (j *Journal) AppendAttempt(at time.Time, msgs []*memory.Message) {
	j.open()
	j.arena = binary.AppendVarint(append(j.arena, recOut), j.set.TimeScale.Date(at))
	e := entry{num: msgs[0].Number, kind: entryOut}
	for _, m := range msgs {
		j.arena = binary.AppendUvarint(j.arena, uint64(m.Number))
		if len(msgs) > 1 {
			e.num, e.more = 0, append(e.more, m.Number)
		}
	}
	j.shut(e)
}

// AppendNotRun adds that the latest route step of m never ran.
func (j *Journal) AppendNotRun(m *memory.Message) {
	j.open()
	j.arena = head(j.arena, recNotRun, m.Number)
	j.shut(entry{num: m.Number})
}

// AppendUndelivered adds that m, whose Owed is set, is ended by a notice.
func (j *Journal) AppendUndelivered(m *memory.Message) {
	j.open()
	j.arena = appendNotice(head(j.arena, recOwed, m.Number), *m.Notification)
	j.shut(entry{num: m.Number})
}

// AppendCompleted adds that nothing more is owed for m. Its id is kept for a while, unless it may be taken on anew.
func (j *Journal) AppendCompleted(m *memory.Message, anew bool) {
	j.overs++
	id := m.ID
	if anew {
		id = ""
	}
	j.open()
	j.arena = appendText(binary.AppendUvarint(head(j.arena, recOver, m.Number), j.overs), id)
	j.shut(entry{over: m.Number})
}

// Commit writes the records of this turn at once. Where taken is an error, what was taken on in this turn does not hold; where
// out is one, what was to go out does not. Ends are kept and written as soon as the disk takes them.
func (j *Journal) Commit() (taken, out error) {
	j.poll()
	if len(j.batch) == 0 {
		return nil, nil
	}
	err := j.write()
	if err != nil && !j.sick && j.good > int64(headSize) {
		err = j.write() // in a new segment: only the size of the old one may be bounded
	}
	if err == nil {
		j.sick = false
		j.clean()
		return nil, nil
	}
	if !j.sick {
		j.set.Log.Error("journal takes no records: nothing new is taken on", "err", err)
	}
	j.sick = true
	j.stats.Failures++
	taken = fmt.Errorf("%w: %w", ErrUnavailable, err)
	// Guards against steps and ends that a full disk keeps out: the reserve gives its room to them, and nothing new is
	// taken on until it could be made again.
	if j.drop(entryTaken); j.keep > 0 && j.set.FS.Remove(reserveName) == nil {
		j.keep = 0
	}
	if len(j.batch) > 0 && j.write() != nil {
		j.drop(entryOut)
		return taken, taken
	}
	return taken, nil
}

// Maintain is called now and then, also while nothing is written: it takes the end of a cleaning in, and finds out whether a disk that was
// full takes records again.
func (j *Journal) Maintain() {
	j.poll()
	if j.fill(); j.sick && (j.keep > 0 || j.reserve() == 0) {
		j.sick = false
		j.set.Log.Info("journal takes records again")
	}
	j.clean()
}

// drop takes what does not hold out of the batch.
func (j *Journal) drop(kind entryKind) {
	kept, arena := j.batch[:0], j.arena[:0]
	for _, e := range j.batch {
		if e.kind != kind {
			from := len(arena)
			arena = append(arena, j.arena[e.from:e.to]...)
			e.from, e.to = from, len(arena)
			kept = append(kept, e)
		}
	}
	j.batch, j.arena, j.batchB = kept, arena, int64(len(arena))
}

// write writes the batch behind the good bytes of the segment, in a new one if that is full.
func (j *Journal) write() error {
	if j.torn {
		if err := j.file.Truncate(j.good); err != nil {
			return err
		}
		j.torn = false
	}
	// A segment that refused a write is left: a bound on the size of a file would refuse the next one as well.
	if plan.Seal(j.set.Budget, j.good-int64(headSize), j.batchB+batchHead) || j.over && j.good > int64(headSize) {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	j.buf = j.buf[:0]
	if j.refusable() {
		j.buf = appendBatch(j.buf, len(j.arena), j.salt)
	}
	from := len(j.buf)
	j.buf = append(j.buf, j.arena...)
	for _, e := range j.batch {
		salted(j.buf[from+e.from:], j.salt)
	}
	n, err := j.file.Write(j.buf)
	if err == nil && n < len(j.buf) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// Guards against records that were promised to nobody and yet are there: they are cut before anything else is written.
		if j.over = true; n > 0 {
			j.torn = j.file.Truncate(j.good) != nil
		}
		return err
	}
	g := j.segs[len(j.segs)-1]
	for _, e := range j.batch {
		if e.num != 0 {
			j.book(g, e.num, int64(e.to-e.from))
		}
		for _, num := range e.more {
			j.book(g, num, int64(e.to-e.from))
		}
		if e.over != 0 {
			j.unbook(e.over)
		}
	}
	j.good += int64(n)
	j.grow(g, j.good)
	j.stats.BytesWritten += int64(n)
	j.stats.Commits++
	j.stats.Records += int64(len(j.batch))
	j.batch, j.batchB, j.arena = j.batch[:0], 0, j.arena[:0]
	return nil
}

// refusable tells whether the batch has several records, and one that does not hold if not all of them are written. Guards against the half
// of a write that failed, could not be cut off, and is found by the next life: what was refused would be taken on.
func (j *Journal) refusable() bool {
	return len(j.batch) > 1 && slices.ContainsFunc(j.batch, func(e entry) bool { return e.kind != entryEnd })
}

func (j *Journal) book(g *segment, num uint32, bytes int64) {
	j.note(num, spot{g, bytes})
	g.nums[num] += bytes
	g.live += bytes
}

func (j *Journal) unbook(num uint32) {
	s, ok := j.spots[num]
	if !ok {
		return
	}
	s.first.seg.live -= s.first.bytes
	delete(s.first.seg.nums, num)
	for _, at := range s.more {
		at.seg.live -= at.bytes
		delete(at.seg.nums, num)
	}
	delete(j.spots, num)
}
