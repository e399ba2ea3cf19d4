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

// The same verdict each time; -rapid.seed=N searches on.
func init() { flag.Set("rapid.seed", "20261201") }

var quiet = slog.New(slog.DiscardHandler)

var wall = time.UnixMicro(1_700_000_000_000_000)

// fate is what the journal has promised of a message.
type fate struct {
	msg   memory.Message
	out   bool // a step went out of which it is not proved that it did not run
	steps int
	owed  *memory.Notification
	over  bool
}

// life drives a journal as the host does, and keeps what was promised and what was on its way when the process died.
type life struct {
	j        *journal.Journal
	t        *memory.Table
	promised map[string]fate
	tried    map[string]fate // of this turn
	limbo    map[string]fate // of turns that the disk did not take: their ends wait, and hold with the next turn that it takes
	next     *int
	room     int // messages refused
}

func start(d journal.FS, budget int64) (*life, error) {
	j, t, err := journal.Open(journal.Config{FS: d, Budget: budget, Log: quiet, CompactInline: true})
	if err != nil {
		return nil, err
	}
	return &life{j: j, t: t, promised: map[string]fate{}, tried: map[string]fate{}, limbo: map[string]fate{}, next: new(int)}, nil
}

// held returns a message that is held and not ended, nil if there is none.
func (l *life) held(r *rand.Rand) *memory.Message {
	var all []*memory.Message
	for _, m := range l.t.All() {
		all = append(all, m)
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(a.Number) - int(b.Number) })
	return all[r.IntN(len(all))]
}

// turn does some steps and commits them; it tells whether the disk still lives.
func (l *life) turn(r *rand.Rand, body int) bool {
	clear(l.tried)
	var fresh []*memory.Message
	var outs []*memory.Message
	for range 1 + r.IntN(4) {
		m := l.held(r)
		if m == nil || r.IntN(3) == 0 {
			*l.next++
			m = &memory.Message{Number: l.t.NextNumber(), ID: fmt.Sprint("id", *l.next), Class: "fee-charge", IdempotencyKey: "key", Dest: 7, Deadline: wall, Body: make([]byte, r.IntN(body))}
			for i := range m.Body {
				m.Body[i] = byte(r.Uint32())
			}
			if r.IntN(8) == 0 {
				m.PluginNotes = []byte("notes")
			}
			if err := l.j.AppendAccepted(l.t, m, true); err != nil {
				l.room++
				continue
			}
			l.tried[m.ID] = fate{msg: *m}
			fresh = append(fresh, m)
			continue
		}
		if slices.Contains(fresh, m) || slices.Contains(outs, m) {
			continue // its client has not heard of it, or its step has not gone out
		}
		f := l.last(m.ID)
		switch {
		case m.Notification != nil || r.IntN(4) == 0 && m.InFlight == nil:
			l.t.Remove(m)
			l.j.AppendCompleted(m, false)
			f.over = true
		case m.InFlight == nil && r.IntN(5) == 0:
			n := memory.Notification{Returned: r.IntN(2) == 0, RetryAfter: time.Duration(r.IntN(3000)) * time.Millisecond}
			l.t.MarkUndelivered(m, n)
			l.j.AppendUndelivered(m)
			f.owed = &n
		case m.InFlight == nil:
			m.InFlight = &memory.Attempt{Number: m.Attempts, StartedAt: wall}
			m.Attempts++
			l.j.AppendAttempt(wall, []*memory.Message{m})
			outs = append(outs, m)
			f.steps, f.out = f.steps+1, true
		case r.IntN(2) == 0 && m.MayHaveRunSince.IsZero():
			m.InFlight = nil
			l.j.AppendNotRun(m)
			f.out = false
		default:
			if m.InFlight = nil; m.MayHaveRunSince.IsZero() {
				m.MayHaveRunSince = wall
			}
		}
		l.tried[m.ID] = f
	}
	taken, out := l.j.Commit()
	if errors.Is(taken, faultfs.ErrKilled) || errors.Is(out, faultfs.ErrKilled) {
		return false
	}
	for _, m := range fresh {
		if taken != nil {
			l.t.Remove(m)
			l.t.ForgetCompleted(m.ID)
			delete(l.tried, m.ID)
		}
	}
	for _, m := range outs {
		if out != nil {
			m.InFlight, m.Attempts = nil, m.Attempts-1
			delete(l.tried, m.ID)
		}
	}
	for id, f := range l.tried {
		l.limbo[id] = f
	}
	if taken == nil {
		for id, f := range l.limbo {
			l.promised[id] = f
		}
		clear(l.limbo)
	}
	clear(l.tried)
	return true
}

// last is the latest that is known of a message.
func (l *life) last(id string) fate {
	for _, known := range []map[string]fate{l.tried, l.limbo} {
		if f, ok := known[id]; ok {
			return f
		}
	}
	return l.promised[id]
}

// audit checks what a next life finds against what was promised; what was on its way may hold or not.
func (l *life) audit(t interface{ Fatalf(string, ...any) }, what string, found *memory.Table) {
	byID := map[string]*memory.Message{}
	for _, m := range found.All() {
		byID[m.ID] = m
	}
	for id, f := range l.promised {
		m, may := byID[id], l.last(id)
		switch {
		case f.over && m != nil:
			t.Fatalf("%s: %s came back after its end", what, id)
		case f.over && !found.RecentlyCompleted(id):
			t.Fatalf("%s: the id %s of a message that is over is forgotten", what, id)
		case f.over || m == nil && may.over:
			continue
		case m == nil:
			t.Fatalf("%s: %s is lost", what, id)
		}
		if m.Class != f.msg.Class || m.IdempotencyKey != f.msg.IdempotencyKey || m.Dest != f.msg.Dest || !m.Deadline.Equal(f.msg.Deadline) || string(m.PluginNotes) != string(f.msg.PluginNotes) ||
			m.Notification == nil && string(m.Body) != string(f.msg.Body) {
			t.Fatalf("%s: %s is not what was taken on: %+v", what, id, m)
		}
		if f.out && m.MayHaveRunSince.IsZero() && may.out {
			t.Fatalf("%s: %s may have run, which is forgotten", what, id)
		}
		if m.Attempts < f.steps {
			t.Fatalf("%s: %s has %d steps of %d", what, id, m.Attempts, f.steps)
		}
		if f.owed != nil && (m.Notification == nil || *m.Notification != *f.owed) {
			t.Fatalf("%s: the notice of %s is forgotten", what, id)
		}
	}
	for id := range byID {
		if _, ok := l.promised[id]; !ok {
			if l.last(id).msg.ID == "" {
				t.Fatalf("%s: %s from nowhere", what, id)
			}
		}
	}
}

const small = 256 << 10 // a budget in which segments of 64 KiB are cleaned all the time

// A recorded life is killed before, in and after each operation on its files: what was promised holds in the next life,
// also where that one is killed at each operation of its start.
func TestKilledAtEachOperation(t *testing.T) {
	const turns, seed = 400, 3
	play := func(d *faultfs.FS) *life {
		l, err := start(d, small)
		if err != nil {
			return nil
		}
		for r, n := rand.New(rand.NewPCG(seed, 0)), 0; n < turns && l.turn(r, 3000); n++ {
		}
		return l
	}
	whole := faultfs.New()
	l := play(whole)
	if s := l.j.Stats(); s.Compactions < 10 || l.room > turns {
		t.Fatalf("a life in which little is cleaned: %+v, %d refused", s, l.room)
	}
	faults := 0
	for n := 1; n <= whole.OperationCount(); n++ {
		for _, f := range []faultfs.Fault{faultfs.Kill, faultfs.Torn} {
			d := faultfs.New()
			d.InjectFault(n, f)
			l := play(d)
			if l == nil {
				l = &life{}
			}
			what := fmt.Sprintf("fault %d at operation %d of %d (%s)", f, n, whole.OperationCount(), d.OperationLog()[n-1])
			faults++
			next := d.Restart()
			j, found, err := journal.Open(journal.Config{FS: next, Budget: small, Log: quiet, CompactInline: true})
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			l.audit(t, what, found)
			j.Close()
			for m := 1; m <= next.OperationCount(); m++ { // killed in recovery, and again
				for _, g := range []faultfs.Fault{faultfs.Kill, faultfs.Torn} {
					again := d.Restart()
					again.InjectFault(m, g)
					journal.Open(journal.Config{FS: again, Budget: small, Log: quiet, CompactInline: true})
					faults++
					_, found, err := journal.Open(journal.Config{FS: again.Restart(), Budget: small, Log: quiet, CompactInline: true})
					if err != nil {
						t.Fatalf("%s, then %d of recovery: %v", what, m, err)
					}
					l.audit(t, fmt.Sprintf("%s, then %d of recovery", what, m), found)
				}
			}
		}
	}
	if faults < 10_000 {
		t.Errorf("only %d faults", faults)
	}
	t.Logf("%d faults at %d operations", faults, whole.OperationCount())
}

// Random lives with random faults, some that the process survives: what was promised holds over all of them.
func TestRandomLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faultfs.New()
		var l *life
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for n := range rapid.IntRange(1, 4).Draw(t, "lives") {
			next, err := start(d, small)
			if err != nil {
				t.Fatalf("life %d: %v", n, err)
			}
			if l != nil {
				l.audit(t, fmt.Sprint("life ", n), next.t)
				*next.next = *l.next
			}
			for _, m := range next.t.All() { // what is found is what is promised from now on
				next.promised[m.ID] = fate{msg: *m, out: !m.MayHaveRunSince.IsZero(), steps: m.Attempts, owed: m.Notification}
			}
			l = next
			for range rapid.IntRange(0, 6).Draw(t, "faults") {
				d.InjectFault(d.OperationCount()+rapid.IntRange(1, 200).Draw(t, "at"), rapid.SampledFrom([]faultfs.Fault{faultfs.Error, faultfs.Short, faultfs.Error, faultfs.Short, faultfs.Kill, faultfs.Torn}).Draw(t, "fault"))
			}
			for turns := rapid.IntRange(1, 80).Draw(t, "turns"); turns > 0 && l.turn(r, 3000); turns-- {
				if r.IntN(10) == 0 {
					l.j.Maintain()
				}
			}
			d = d.Restart()
		}
	})
}

// The disk is full: new work is refused and steps and ends of what is held are recorded all the same; once there is room again
// service comes back by itself.
func TestFullDisk(t *testing.T) {
	d := faultfs.New()
	l, err := start(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	take := func() (*memory.Message, error) {
		*l.next++
		m := &memory.Message{Number: l.t.NextNumber(), ID: fmt.Sprint("id", *l.next), Class: "c", Deadline: wall, Body: make([]byte, 2000)}
		if err := l.j.AppendAccepted(l.t, m, true); err != nil {
			return nil, err
		}
		taken, _ := l.j.Commit()
		if taken != nil {
			l.t.Remove(m)
			l.t.ForgetCompleted(m.ID)
		}
		return m, taken
	}
	var held []*memory.Message
	for range 100 {
		m, err := take()
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, m)
	}
	d.SetCapacity(d.UsedBytes())
	refused := 0
	for range 3 {
		if _, err := take(); err != nil {
			refused++
		}
		if _, err := take(); errors.Is(err, journal.ErrUnavailable) {
			refused++
		}
	}
	if refused < 5 { // the last block may have room for one
		t.Errorf("%d of 6 refused", refused)
	}
	for i, m := range held {
		m.InFlight = &memory.Attempt{StartedAt: wall}
		l.j.AppendAttempt(wall, []*memory.Message{m})
		if _, out := l.j.Commit(); out != nil {
			t.Fatalf("step %d of what is held: %v", i, out)
		}
		l.t.Remove(m)
		l.j.AppendCompleted(m, false)
		if taken, out := l.j.Commit(); taken != nil || out != nil {
			t.Fatalf("end %d of what is held: %v, %v", i, taken, out)
		}
	}
	_, found, err := journal.Open(journal.Config{FS: d.Restart(), Budget: 4 << 20, Log: quiet, CompactInline: true})
	if err == nil && len(found.All()) > 1 {
		t.Errorf("%d messages came back", len(found.All()))
	}
	d.SetCapacity(0)
	l.j.Maintain()
	if _, err := take(); err != nil {
		t.Errorf("with room again: %v", err)
	}
}

// A record or a length in the middle of an old segment is spoilt: what lies behind it is read, and the place is named. A body
// that holds records is no way to smuggle any in.
func TestCorruptMiddle(t *testing.T) {
	d := faultfs.New()
	l, err := start(d, 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	other := faultfs.New()
	smuggler, _ := start(other, 4<<20)
	smuggled := &memory.Message{Number: 1, ID: "smuggled", Class: "c", Deadline: wall}
	smuggler.j.AppendAccepted(smuggler.t, smuggled, true)
	smuggler.j.Commit()
	record, _ := other.Read("000000000001.seg")
	for n := range 10 {
		m := &memory.Message{Number: l.t.NextNumber(), ID: fmt.Sprint("id", n), Class: "c", Deadline: wall, Body: append([]byte("body"), record[24:]...)}
		if err := l.j.AppendAccepted(l.t, m, true); err != nil {
			t.Fatal(err)
		}
		l.j.Commit()
	}
	whole, _ := d.Read("000000000001.seg")
	at := len(whole) / 2
	for what, change := range map[string]func([]byte) []byte{
		"a byte":   func(b []byte) []byte { b[at] ^= 1; return b },
		"a length": func(b []byte) []byte { copy(b[24:], []byte{0xff, 0xff, 0xff, 0xff}); return b },
		"a hole":   func(b []byte) []byte { return append(b[:40:40], b[60:]...) },
	} {
		next := d.Restart()
		next.ModifyFile("000000000001.seg", change)
		in, err := journal.Inspect(next, nil)
		if err != nil || len(in.Faults) != 1 || in.Faults[0].File != "000000000001.seg" || in.Faults[0].Offset < 24 {
			t.Errorf("%s: %+v, %v", what, in, err)
		}
		_, found, err := journal.Open(journal.Config{FS: next, Budget: 4 << 20, Log: quiet, CompactInline: true})
		if err != nil || len(found.All()) != 9 {
			t.Errorf("%s: %v, %d messages", what, err, len(found.All()))
		}
		for _, m := range found.All() {
			if m.ID == "smuggled" {
				t.Errorf("%s: a record came out of a body", what)
			}
		}
	}
	if in, err := journal.Inspect(d, nil); err != nil || len(in.Faults) != 0 || len(in.Messages) != 10 {
		t.Errorf("whole: %+v, %v", in, err)
	}
}

// Bodies of 64 KiB: how many a budget of 3 MB holds, always within it, and that their room comes back.
func TestLargeBodies(t *testing.T) {
	d := faultfs.New()
	l, err := start(d, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for round := range 5 {
		var held []*memory.Message
		for {
			m := &memory.Message{Number: l.t.NextNumber(), ID: fmt.Sprint(round, "-", len(held)), Class: "c", Deadline: wall, Body: make([]byte, 64<<10)}
			if err := l.j.AppendAccepted(l.t, m, true); err != nil {
				break
			}
			if taken, _ := l.j.Commit(); taken != nil {
				t.Fatal(taken)
			}
			if held = append(held, m); d.UsedBytes() > 3e6 {
				t.Fatalf("%d bytes on disk", d.UsedBytes())
			}
		}
		most = max(most, len(held))
		for _, m := range held {
			l.t.Remove(m)
			l.j.AppendCompleted(m, false)
			l.j.Commit()
		}
		if len(held) < 35 {
			t.Errorf("round %d holds %d", round, len(held))
		}
	}
	t.Logf("3 MB hold %d bodies of 64 KiB", most)
}

// A journal is read in any split of its last segment: what is cut off is what was written last.
func TestTornTail(t *testing.T) {
	d := faultfs.New()
	l, _ := start(d, small)
	for r, n := rand.New(rand.NewPCG(1, 0)), 0; n < 40; n++ {
		l.turn(r, 100)
	}
	names, _ := d.List()
	last := names[len(names)-1]
	if !strings.HasSuffix(last, ".seg") {
		last = names[len(names)-2]
	}
	raw, _ := d.Read(last)
	before := -1
	for cut := 0; cut <= len(raw); cut++ {
		next := d.Restart()
		next.ModifyFile(last, func(b []byte) []byte { return b[:cut] })
		j, found, err := journal.Open(journal.Config{FS: next, Budget: small, Log: quiet, CompactInline: true})
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		j.Close()
		if in, err := journal.Inspect(next, nil); err != nil || len(in.Faults) != 0 {
			t.Fatalf("cut at %d: %v, %v", cut, in, err)
		}
		before = len(found.All())
	}
	if before != len(l.t.All()) {
		t.Errorf("%d messages of %d in the whole", before, len(l.t.All()))
	}
}

// Bodies past the bound are in the journal only: they are read again as they were, also once their segment was cleaned and in the next
// life; one that is spoilt is told of. Without room on the disk a body stays in memory only, and is gone with the process.
func TestBodiesInTiers(t *testing.T) {
	const bound = 16 << 10
	d := faultfs.New()
	open := func(d *faultfs.FS) (*journal.Journal, *memory.Table) {
		j, t2, err := journal.Open(journal.Config{FS: d, Budget: small, MaxBodyBytes: bound, Log: quiet, CompactInline: true})
		if err != nil {
			t.Fatal(err)
		}
		return j, t2
	}
	j, tab := open(d)
	take := func(n, size int, repeatable bool) *memory.Message {
		m := &memory.Message{Number: tab.NextNumber(), ID: fmt.Sprint("id", n), Class: "c", Deadline: wall, Body: []byte(strings.Repeat(string(rune('a'+n%26)), size))}
		if j.AppendAccepted(tab, m, repeatable) != nil {
			return nil
		}
		if taken, _ := j.Commit(); taken != nil {
			t.Fatal(taken)
		}
		j.LimitBodyMemory(tab, m)
		return m
	}
	check := func(what string, held []*memory.Message) {
		t.Helper()
		if kept, _ := tab.BodyBytes(); kept > bound {
			t.Errorf("%s: %d bytes of bodies in memory", what, kept)
		}
		for _, m := range held {
			body := m.Body
			if m.SpilledBytes > 0 {
				var err error
				if body, err = j.BodyLoader(m)(); err != nil || m.Body != nil {
					t.Fatalf("%s: %s: %v", what, m.ID, err)
				}
			}
			if len(body) != 2000 || strings.Trim(string(body), string(body[0])) != "" {
				t.Errorf("%s: %s: another body", what, m.ID)
			}
		}
	}
	var held []*memory.Message
	for n := range 300 { // nine of ten end at once, so that segments are cleaned round those that stay
		m := take(n, 2000, true)
		if m == nil {
			t.Fatal("no room")
		}
		if n%10 == 0 {
			held = append(held, m)
			continue
		}
		tab.Remove(m)
		j.AppendCompleted(m, false)
		j.Commit()
	}
	if s := j.Stats(); s.Compactions == 0 {
		t.Fatalf("nothing was cleaned: %+v", s)
	}
	check("first life", held)
	j, tab = open(d.Restart())
	held = held[:0]
	for _, m := range tab.All() {
		held = append(held, m)
	}
	if len(held) != 30 {
		t.Fatalf("%d held", len(held))
	}
	check("next life", held)

	spilled := held[slices.IndexFunc(held, func(m *memory.Message) bool { return m.SpilledBytes > 0 })]
	names, _ := d.List()
	next := d.Restart()
	j, tab = open(next)
	read := j.BodyLoader(tab.ByID(spilled.ID))
	for _, name := range names {
		next.ModifyFile(name, func(b []byte) []byte {
			if at := strings.Index(string(b), spilled.ID+string([]byte{1, 'c'})); at >= 0 {
				b[at+40] ^= 1
			}
			return b
		})
	}
	if _, err := read(); !errors.Is(err, journal.ErrBodyLost) {
		t.Errorf("a spoilt body: %v", err)
	}

	j, tab = open(faultfs.New())
	unkept := 0
	for n := range 200 {
		m := take(n, 8000, n%2 == 0)
		if m != nil && m.MemoryOnly {
			if unkept++; n%2 == 0 || m.SpilledBytes > 0 {
				t.Errorf("%+v", m)
			}
		}
	}
	if kept, other := tab.BodyBytes(); unkept == 0 || kept > bound || other > bound || other == 0 {
		t.Errorf("%d bodies not kept, %d and %d bytes in memory", unkept, kept, other)
	}
}
