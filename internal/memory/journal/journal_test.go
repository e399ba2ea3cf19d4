package journal_test

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/testdouble/faultfs"
)

// A fixed seed makes the result repeatable; -rapid.seed=N tries others.
func init() { flag.Set("rapid.seed", "20261201") }

var quiet = slog.New(slog.DiscardHandler)

var wall = time.UnixMicro(1_700_000_000_000_000)

// expectation is what the journal must hold of a message.
type expectation struct {
	message      memory.Message
	mayHaveRun   bool // an attempt was made that is not known not to have run
	attempts     int
	notification *memory.Notification
	completed    bool
}

// journalDriver drives a journal as the relay does, and tracks what was committed and what was in
// progress when the process died.
type journalDriver struct {
	journal     *journal.Journal
	table       *memory.Table
	committed   map[string]expectation
	uncommitted map[string]expectation // of this iteration
	unwritten   map[string]expectation // of iterations whose write failed; written with a later commit
	lastID      *int
	rejected    int // number of rejected messages
}

func startDriver(d journal.FS, budget int64) (*journalDriver, error) {
	j, table, err := journal.Open(journal.Config{FS: d, Budget: budget, Log: quiet, CompactInline: true})
	if err != nil {
		return nil, err
	}
	return &journalDriver{
		journal: j, table: table, committed: map[string]expectation{}, uncommitted: map[string]expectation{},
		unwritten: map[string]expectation{}, lastID: new(int),
	}, nil
}

// randomMessage returns a message of the table, nil if there is none.
func (driver *journalDriver) randomMessage(r *rand.Rand) *memory.Message {
	var all []*memory.Message
	for _, m := range driver.table.All() {
		all = append(all, m)
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(a.Number) - int(b.Number) })
	return all[r.IntN(len(all))]
}

// runIteration appends some records and commits them. It reports whether the disk still works.
func (driver *journalDriver) runIteration(r *rand.Rand, body int) bool {
	clear(driver.uncommitted)
	var accepted []*memory.Message
	var attempted []*memory.Message
	for range 1 + r.IntN(4) {
		m := driver.randomMessage(r)
		if m == nil || r.IntN(3) == 0 {
			*driver.lastID++
			m = &memory.Message{
				Number: driver.table.NextNumber(), ID: fmt.Sprint("id", *driver.lastID),
				Class: "fee-charge", IdempotencyKey: "key", Dest: 7, Deadline: wall,
				Body: make([]byte, r.IntN(body)),
			}
			for i := range m.Body {
				m.Body[i] = byte(r.Uint32())
			}
			if r.IntN(8) == 0 {
				m.PluginNotes = []byte("notes")
			}
			if err := driver.journal.AppendAccepted(driver.table, m, true); err != nil {
				driver.rejected++
				continue
			}
			driver.uncommitted[m.ID] = expectation{message: *m}
			accepted = append(accepted, m)
			continue
		}
		if slices.Contains(accepted, m) || slices.Contains(attempted, m) {
			continue // its client is not answered yet, or its attempt is not made yet
		}
		expected := driver.latest(m.ID)
		switch {
		case m.Notification != nil || r.IntN(4) == 0 && m.InFlight == nil:
			driver.table.Remove(m)
			driver.journal.AppendCompleted(m, false)
			expected.completed = true
		case m.InFlight == nil && r.IntN(5) == 0:
			notification := memory.Notification{
				Returned: r.IntN(2) == 0, RetryAfter: time.Duration(r.IntN(3000)) * time.Millisecond,
			}
			driver.table.MarkUndelivered(m, notification)
			driver.journal.AppendUndelivered(m)
			expected.notification = &notification
		case m.InFlight == nil:
			m.InFlight = &memory.Attempt{Number: m.Attempts, StartedAt: wall}
			m.Attempts++
			driver.journal.AppendAttempt(wall, []*memory.Message{m})
			attempted = append(attempted, m)
			expected.attempts, expected.mayHaveRun = expected.attempts+1, true
		case r.IntN(2) == 0 && m.MayHaveRunSince.IsZero():
			m.InFlight = nil
			driver.journal.AppendNotRun(m)
			expected.mayHaveRun = false
		default:
			if m.InFlight = nil; m.MayHaveRunSince.IsZero() {
				m.MayHaveRunSince = wall
			}
		}
		driver.uncommitted[m.ID] = expected
	}
	acceptErr, attemptErr := driver.journal.Commit()
	if errors.Is(acceptErr, faultfs.ErrKilled) || errors.Is(attemptErr, faultfs.ErrKilled) {
		return false
	}
	for _, m := range accepted {
		if acceptErr != nil {
			driver.table.Remove(m)
			driver.table.ForgetCompleted(m.ID)
			delete(driver.uncommitted, m.ID)
		}
	}
	for _, m := range attempted {
		if attemptErr != nil {
			m.InFlight, m.Attempts = nil, m.Attempts-1
			delete(driver.uncommitted, m.ID)
		}
	}
	for id, expected := range driver.uncommitted {
		driver.unwritten[id] = expected
	}
	if acceptErr == nil {
		for id, expected := range driver.unwritten {
			driver.committed[id] = expected
		}
		clear(driver.unwritten)
	}
	clear(driver.uncommitted)
	return true
}

// latest returns the latest expectation of a message.
func (driver *journalDriver) latest(id string) expectation {
	for _, expectations := range []map[string]expectation{driver.uncommitted, driver.unwritten} {
		if expected, ok := expectations[id]; ok {
			return expected
		}
	}
	return driver.committed[id]
}

// checkRecovered compares what a restart finds with what was committed. Changes in progress may or
// may not be there.
func (driver *journalDriver) checkRecovered(t interface{ Fatalf(string, ...any) }, what string, found *memory.Table) {
	byID := map[string]*memory.Message{}
	for _, m := range found.All() {
		byID[m.ID] = m
	}
	for id, expected := range driver.committed {
		m, latest := byID[id], driver.latest(id)
		switch {
		case expected.completed && m != nil:
			t.Fatalf("%s: completed message %s was recovered", what, id)
		case expected.completed && !found.RecentlyCompleted(id):
			t.Fatalf("%s: completed id %s is forgotten", what, id)
		case expected.completed || m == nil && latest.completed:
			continue
		case m == nil:
			t.Fatalf("%s: %s is lost", what, id)
		}
		if m.Class != expected.message.Class || m.IdempotencyKey != expected.message.IdempotencyKey ||
			m.Dest != expected.message.Dest || !m.Deadline.Equal(expected.message.Deadline) ||
			string(m.PluginNotes) != string(expected.message.PluginNotes) ||
			m.Notification == nil && string(m.Body) != string(expected.message.Body) {
			t.Fatalf("%s: %s differs from the accepted message: %+v", what, id, m)
		}
		if expected.mayHaveRun && m.MayHaveRunSince.IsZero() && latest.mayHaveRun {
			t.Fatalf("%s: %s may have run, but this is not recorded", what, id)
		}
		if m.Attempts < expected.attempts {
			t.Fatalf("%s: %s has %d attempts of %d", what, id, m.Attempts, expected.attempts)
		}
		if expected.notification != nil && (m.Notification == nil || *m.Notification != *expected.notification) {
			t.Fatalf("%s: the notification of %s is lost", what, id)
		}
	}
	for id := range byID {
		if _, ok := driver.committed[id]; !ok {
			if driver.latest(id).message.ID == "" {
				t.Fatalf("%s: %s was never accepted", what, id)
			}
		}
	}
}

const smallBudget = 256 << 10 // bytes; segments of 64 KiB are compacted all the time

// Kills the process before, during and after each operation on its files, and again at each
// operation of the recovery: what was committed is always recovered.
func TestCrashAtEveryOperation(t *testing.T) {
	const iterations, seed = 400, 3
	run := func(d *faultfs.FS) *journalDriver {
		driver, err := startDriver(d, smallBudget)
		if err != nil {
			return nil
		}
		for r, n := rand.New(rand.NewPCG(seed, 0)), 0; n < iterations && driver.runIteration(r, 3000); n++ {
		}
		return driver
	}
	recording := faultfs.New()
	driver := run(recording)
	if s := driver.journal.Stats(); s.Compactions < 10 || driver.rejected > iterations {
		t.Fatalf("too few compactions: %+v, %d rejected", s, driver.rejected)
	}
	injected := 0
	for n := 1; n <= recording.OperationCount(); n++ {
		for _, fault := range []faultfs.Fault{faultfs.Kill, faultfs.Torn} {
			d := faultfs.New()
			d.InjectFault(n, fault)
			driver := run(d)
			if driver == nil {
				driver = &journalDriver{}
			}
			what := fmt.Sprintf("fault %d at operation %d of %d (%s)", fault, n, recording.OperationCount(), d.OperationLog()[n-1])
			injected++
			next := d.Restart()
			j, found, err := journal.Open(journal.Config{FS: next, Budget: smallBudget, Log: quiet, CompactInline: true})
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			driver.checkRecovered(t, what, found)
			j.Close()
			for operation := 1; operation <= next.OperationCount(); operation++ { // crash during recovery
				for _, recoveryFault := range []faultfs.Fault{faultfs.Kill, faultfs.Torn} {
					recovering := d.Restart()
					recovering.InjectFault(operation, recoveryFault)
					journal.Open(journal.Config{FS: recovering, Budget: smallBudget, Log: quiet, CompactInline: true})
					injected++
					_, found, err := journal.Open(journal.Config{
						FS: recovering.Restart(), Budget: smallBudget, Log: quiet, CompactInline: true,
					})
					if err != nil {
						t.Fatalf("%s, then crash at operation %d of recovery: %v", what, operation, err)
					}
					driver.checkRecovered(t, fmt.Sprintf("%s, then crash at operation %d of recovery", what, operation), found)
				}
			}
		}
	}
	if injected < 10_000 {
		t.Errorf("only %d faults injected", injected)
	}
	t.Logf("%d faults at %d operations", injected, recording.OperationCount())
}

// Random restarts with random faults, some of which the process survives: what was committed is
// recovered each time.
func TestRandomLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faultfs.New()
		var driver *journalDriver
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for n := range rapid.IntRange(1, 4).Draw(t, "lives") {
			next, err := startDriver(d, smallBudget)
			if err != nil {
				t.Fatalf("restart %d: %v", n, err)
			}
			if driver != nil {
				driver.checkRecovered(t, fmt.Sprint("restart ", n), next.table)
				*next.lastID = *driver.lastID
			}
			for _, m := range next.table.All() { // the recovered state is what must be kept from now on
				next.committed[m.ID] = expectation{
					message: *m, mayHaveRun: !m.MayHaveRunSince.IsZero(), attempts: m.Attempts,
					notification: m.Notification,
				}
			}
			driver = next
			for range rapid.IntRange(0, 6).Draw(t, "faults") {
				d.InjectFault(d.OperationCount()+rapid.IntRange(1, 200).Draw(t, "at"), rapid.SampledFrom([]faultfs.Fault{
					faultfs.Error, faultfs.Short, faultfs.Error, faultfs.Short, faultfs.Kill, faultfs.Torn,
				}).Draw(t, "fault"))
			}
			for iterations := rapid.IntRange(1, 80).Draw(t, "turns"); iterations > 0 &&
				driver.runIteration(r, 3000); iterations-- {
				if r.IntN(10) == 0 {
					driver.journal.Maintain()
				}
			}
			d = d.Restart()
		}
	})
}

// On a full disk new messages are rejected, while attempts and completions of pending ones are
// still recorded. Once there is space, messages are accepted again.
func TestFullDisk(t *testing.T) {
	d := faultfs.New()
	driver, err := startDriver(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	accept := func() (*memory.Message, error) {
		*driver.lastID++
		m := &memory.Message{
			Number: driver.table.NextNumber(), ID: fmt.Sprint("id", *driver.lastID), Class: "c",
			Deadline: wall, Body: make([]byte, 2000),
		}
		if err := driver.journal.AppendAccepted(driver.table, m, true); err != nil {
			return nil, err
		}
		acceptErr, _ := driver.journal.Commit()
		if acceptErr != nil {
			driver.table.Remove(m)
			driver.table.ForgetCompleted(m.ID)
		}
		return m, acceptErr
	}
	var pending []*memory.Message
	for range 100 {
		m, err := accept()
		if err != nil {
			t.Fatal(err)
		}
		pending = append(pending, m)
	}
	d.SetCapacity(d.UsedBytes())
	rejected := 0
	for range 3 {
		if _, err := accept(); err != nil {
			rejected++
		}
		if _, err := accept(); errors.Is(err, journal.ErrUnavailable) {
			rejected++
		}
	}
	if rejected < 5 { // the last block may have space for one
		t.Errorf("%d of 6 rejected", rejected)
	}
	for i, m := range pending {
		m.InFlight = &memory.Attempt{StartedAt: wall}
		driver.journal.AppendAttempt(wall, []*memory.Message{m})
		if _, attemptErr := driver.journal.Commit(); attemptErr != nil {
			t.Fatalf("attempt %d of a pending message: %v", i, attemptErr)
		}
		driver.table.Remove(m)
		driver.journal.AppendCompleted(m, false)
		if acceptErr, attemptErr := driver.journal.Commit(); acceptErr != nil || attemptErr != nil {
			t.Fatalf("completion %d of a pending message: %v, %v", i, acceptErr, attemptErr)
		}
	}
	_, found, err := journal.Open(journal.Config{FS: d.Restart(), Budget: 4 << 20, Log: quiet, CompactInline: true})
	if err == nil && len(found.All()) > 1 {
		t.Errorf("%d completed messages recovered", len(found.All()))
	}
	d.SetCapacity(0)
	driver.journal.Maintain()
	if _, err := accept(); err != nil {
		t.Errorf("with space again: %v", err)
	}
}

// With a corrupt record or length in the middle of a segment, the records behind it are read and
// the fault is reported. Records inside a message body are never read as such.
func TestCorruptSegment(t *testing.T) {
	d := faultfs.New()
	driver, err := startDriver(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	other := faultfs.New()
	source, _ := startDriver(other, 4<<20)
	embedded := &memory.Message{Number: 1, ID: "smuggled", Class: "c", Deadline: wall}
	source.journal.AppendAccepted(source.table, embedded, true)
	source.journal.Commit()
	record, _ := other.Read("000000000001.seg")
	for n := range 10 {
		m := &memory.Message{
			Number: driver.table.NextNumber(), ID: fmt.Sprint("id", n), Class: "c",
			Deadline: wall, Body: append([]byte("body"), record[24:]...),
		}
		if err := driver.journal.AppendAccepted(driver.table, m, true); err != nil {
			t.Fatal(err)
		}
		driver.journal.Commit()
	}
	intact, _ := d.Read("000000000001.seg")
	middle := len(intact) / 2
	for name, change := range map[string]func([]byte) []byte{
		"a byte":   func(b []byte) []byte { b[middle] ^= 1; return b },
		"a length": func(b []byte) []byte { copy(b[24:], []byte{0xff, 0xff, 0xff, 0xff}); return b },
		"a hole":   func(b []byte) []byte { return append(b[:40:40], b[60:]...) },
	} {
		next := d.Restart()
		next.ModifyFile("000000000001.seg", change)
		inspection, err := journal.Inspect(next, nil)
		if err != nil || len(inspection.Faults) != 1 || inspection.Faults[0].File != "000000000001.seg" ||
			inspection.Faults[0].Offset < 24 {
			t.Errorf("%s: %+v, %v", name, inspection, err)
		}
		_, found, err := journal.Open(journal.Config{FS: next, Budget: 4 << 20, Log: quiet, CompactInline: true})
		if err != nil || len(found.All()) != 9 {
			t.Errorf("%s: %v, %d messages", name, err, len(found.All()))
		}
		for _, m := range found.All() {
			if m.ID == "smuggled" {
				t.Errorf("%s: a record inside a message body was read", name)
			}
		}
	}
	if in, err := journal.Inspect(d, nil); err != nil || len(in.Faults) != 0 || len(in.Messages) != 10 {
		t.Errorf("intact journal: %+v, %v", in, err)
	}
}

// Bodies of 64 KiB stay within a budget of 3 MB, and their space is reused.
func TestLargeBodies(t *testing.T) {
	d := faultfs.New()
	driver, err := startDriver(d, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	maxFitting := 0
	for round := range 5 {
		var pending []*memory.Message
		for {
			m := &memory.Message{
				Number: driver.table.NextNumber(), ID: fmt.Sprint(round, "-", len(pending)),
				Class: "c", Deadline: wall, Body: make([]byte, 64<<10),
			}
			if err := driver.journal.AppendAccepted(driver.table, m, true); err != nil {
				break
			}
			if acceptErr, _ := driver.journal.Commit(); acceptErr != nil {
				t.Fatal(acceptErr)
			}
			if pending = append(pending, m); d.UsedBytes() > 3e6 {
				t.Fatalf("%d bytes on disk", d.UsedBytes())
			}
		}
		maxFitting = max(maxFitting, len(pending))
		for _, m := range pending {
			driver.table.Remove(m)
			driver.journal.AppendCompleted(m, false)
			driver.journal.Commit()
		}
		if len(pending) < 35 {
			t.Errorf("round %d: %d messages fit", round, len(pending))
		}
	}
	t.Logf("3 MB are enough for %d bodies of 64 KiB", maxFitting)
}

// A last segment truncated at any offset can be read: only the records written last are lost.
func TestTornTail(t *testing.T) {
	d := faultfs.New()
	driver, _ := startDriver(d, smallBudget)
	for r, n := rand.New(rand.NewPCG(1, 0)), 0; n < 40; n++ {
		driver.runIteration(r, 100)
	}
	names, _ := d.List()
	lastSegment := names[len(names)-1]
	if !strings.HasSuffix(lastSegment, ".seg") {
		lastSegment = names[len(names)-2]
	}
	raw, _ := d.Read(lastSegment)
	recovered := -1
	for size := 0; size <= len(raw); size++ {
		next := d.Restart()
		next.ModifyFile(lastSegment, func(b []byte) []byte { return b[:size] })
		j, found, err := journal.Open(journal.Config{FS: next, Budget: smallBudget, Log: quiet, CompactInline: true})
		if err != nil {
			t.Fatalf("cut at %d: %v", size, err)
		}
		j.Close()
		if in, err := journal.Inspect(next, nil); err != nil || len(in.Faults) != 0 {
			t.Fatalf("cut at %d: %v, %v", size, in, err)
		}
		recovered = len(found.All())
	}
	if recovered != len(driver.table.All()) {
		t.Errorf("%d messages of %d in the complete journal", recovered, len(driver.table.All()))
	}
}

// Bodies beyond the memory limit are read back from the journal, also after compaction and a
// restart; a corrupt one is reported. Without space on the disk a body is in memory only.
func TestBodyStorage(t *testing.T) {
	const limit = 16 << 10
	d := faultfs.New()
	open := func(d *faultfs.FS) (*journal.Journal, *memory.Table) {
		j, table, err := journal.Open(journal.Config{
			FS: d, Budget: smallBudget, MaxBodyBytes: limit, Log: quiet, CompactInline: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		return j, table
	}
	j, table := open(d)
	accept := func(n, size int, repeatable bool) *memory.Message {
		m := &memory.Message{
			Number: table.NextNumber(), ID: fmt.Sprint("id", n), Class: "c", Deadline: wall,
			Body: []byte(strings.Repeat(string(rune('a'+n%26)), size)),
		}
		if j.AppendAccepted(table, m, repeatable) != nil {
			return nil
		}
		if acceptErr, _ := j.Commit(); acceptErr != nil {
			t.Fatal(acceptErr)
		}
		j.LimitBodyMemory(table, m)
		return m
	}
	check := func(what string, pending []*memory.Message) {
		t.Helper()
		if journaled, _ := table.BodyBytes(); journaled > limit {
			t.Errorf("%s: %d bytes of bodies in memory", what, journaled)
		}
		for _, m := range pending {
			body := m.Body
			if m.SpilledBytes > 0 {
				var err error
				if body, err = j.BodyLoader(m)(); err != nil || m.Body != nil {
					t.Fatalf("%s: %s: %v", what, m.ID, err)
				}
			}
			if len(body) != 2000 || strings.Trim(string(body), string(body[0])) != "" {
				t.Errorf("%s: %s: body differs", what, m.ID)
			}
		}
	}
	var pending []*memory.Message
	for n := range 300 { // nine of ten complete at once, so that segments are compacted around the others
		m := accept(n, 2000, true)
		if m == nil {
			t.Fatal("message does not fit")
		}
		if n%10 == 0 {
			pending = append(pending, m)
			continue
		}
		table.Remove(m)
		j.AppendCompleted(m, false)
		j.Commit()
	}
	if s := j.Stats(); s.Compactions == 0 {
		t.Fatalf("nothing was compacted: %+v", s)
	}
	check("first process", pending)
	j, table = open(d.Restart())
	pending = pending[:0]
	for _, m := range table.All() {
		pending = append(pending, m)
	}
	if len(pending) != 30 {
		t.Fatalf("%d pending", len(pending))
	}
	check("after restart", pending)

	spilled := pending[slices.IndexFunc(pending, func(m *memory.Message) bool { return m.SpilledBytes > 0 })]
	names, _ := d.List()
	next := d.Restart()
	j, table = open(next)
	read := j.BodyLoader(table.ByID(spilled.ID))
	for _, name := range names {
		next.ModifyFile(name, func(b []byte) []byte {
			if at := strings.Index(string(b), spilled.ID+string([]byte{1, 'c'})); at >= 0 {
				b[at+40] ^= 1
			}
			return b
		})
	}
	if _, err := read(); !errors.Is(err, journal.ErrBodyLost) {
		t.Errorf("a corrupt body: %v", err)
	}

	j, table = open(faultfs.New())
	memoryOnly := 0
	for n := range 200 {
		m := accept(n, 8000, n%2 == 0)
		if m != nil && m.MemoryOnly {
			if memoryOnly++; n%2 == 0 || m.SpilledBytes > 0 {
				t.Errorf("%+v", m)
			}
		}
	}
	if journaled, unjournaled := table.BodyBytes(); memoryOnly == 0 || journaled > limit || unjournaled > limit ||
		unjournaled == 0 {
		t.Errorf("%d bodies in memory only, %d and %d bytes in memory", memoryOnly, journaled, unjournaled)
	}
}
