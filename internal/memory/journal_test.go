package memory

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var quiet = slog.New(slog.DiscardHandler)

// snapshot is what a restart must find of t: a step that is out counts as risk.
func snapshot(t *Table) string {
	var lines []string
	for _, m := range t.All() {
		risk := m.RiskAt
		if m.Out != nil && risk.IsZero() {
			risk = m.Out.WallAt
		}
		line := fmt.Sprintf("%09d %s %s %s %d %d steps %d risk %d", m.Num, m.ID, m.Class, m.Key, m.Dest,
			m.Deadline.UnixMicro(), m.Steps, wallMicro(risk))
		if m.Owed != nil {
			line += fmt.Sprint(" owed ", *m.Owed)
		} else {
			line += fmt.Sprintf(" body %x", m.Body)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// play does one step on the journal as the host does, chosen by op.
func play(t *testing.T, j *Journal, tab *Table, op byte, rng *rand.Rand) {
	t.Helper()
	var all []*Message
	for _, m := range tab.All() {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Message) int { return int(a.Num) - int(b.Num) })
	at := time.UnixMicro(1_700_000_000_000_000 + rng.Int63n(1e9))
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	if op%6 == 0 || len(all) == 0 {
		n := tab.Next()
		body := make([]byte, rng.Intn(8000))
		rng.Read(body)
		m := &Message{Num: n, ID: fmt.Sprint("id", n), Class: "c", Key: "k", Dest: int(op), Deadline: at, Body: body}
		if err := j.Taken(tab, m); err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		return
	}
	m := all[rng.Intn(len(all))]
	switch op % 6 {
	case 1, 2:
		if m.Out == nil && m.Owed == nil {
			m.Out = &Out{Step: m.Steps, WallAt: at}
			m.Steps++
			must(j.Out(tab, at, []*Message{m}))
		}
	case 3:
		if m.Out != nil {
			m.Out = nil
			must(j.NotRun(tab, m))
		}
	case 4:
		if m.Out != nil && m.RiskAt.IsZero() {
			m.RiskAt = m.Out.WallAt
		}
		m.Out = nil
		if m.Owed == nil {
			tab.Owe(m, Notice{Refused: op&8 != 0, Advice: time.Duration(op) * time.Millisecond})
			must(j.Owed(tab, m))
		}
	case 5:
		tab.Remove(m)
		must(j.Over(tab, m))
	}
}

// Replay of a journal cut at any byte finds the state after the last whole record, and a journal goes on
// from there.
func TestReplayCutAtEveryByte(t *testing.T) {
	dir, rng := t.TempDir(), rand.New(rand.NewSource(1))
	j, tab, err := OpenJournal(dir, 3e6, quiet)
	if err != nil {
		t.Fatal(err)
	}
	type mark struct {
		size int64
		want string
	}
	marks := []mark{{0, ""}}
	for _, op := range []byte{0, 1, 3, 1, 6, 1, 4, 12, 1, 1, 3, 5, 18, 1, 4, 5, 24, 1} {
		play(t, j, tab, op, rng)
		if j.seq != 1 {
			t.Fatal("compacted: the marks are of no use")
		}
		marks = append(marks, mark{j.size, snapshot(tab)})
	}
	j.Close()
	raw, err := os.ReadFile(j.path(1, segmentExt))
	if err != nil {
		t.Fatal(err)
	}
	for cut, at := 0, 0; cut <= len(raw); cut++ {
		for at+1 < len(marks) && marks[at+1].size <= int64(cut) {
			at++
		}
		back := NewTable()
		if n := replay(raw[:cut], back, quiet); int64(n) != marks[at].size {
			t.Fatalf("cut at %d: %d bytes of whole records, want %d", cut, n, marks[at].size)
		}
		if got := snapshot(back); got != marks[at].want {
			t.Fatalf("cut at %d: got\n%s\nwant\n%s", cut, got, marks[at].want)
		}
	}
}

// A flipped byte costs its record only.
func TestBadRecordIsPassedOver(t *testing.T) {
	var raw []byte
	var starts []int
	for n := uint32(1); n <= 3; n++ {
		starts = append(starts, len(raw))
		raw = frame(raw, appendMessage([]byte{recTaken}, &Message{Num: n, ID: fmt.Sprint(n)}))
	}
	raw[starts[1]+frameHead+2] ^= 0x40
	back := NewTable()
	if n := replay(raw, back, quiet); n != len(raw) || back.Get(1) == nil || back.Get(2) != nil || back.Get(3) == nil {
		t.Fatalf("read %d of %d bytes, messages %v", n, len(raw), back.All())
	}
}

// A crash in the middle of a compaction leaves the old segment in force, one after the rename the new one.
func TestCrashInCompaction(t *testing.T) {
	for _, renamed := range []bool{false, true} {
		dir := t.TempDir()
		j, tab, err := OpenJournal(dir, 3e6, quiet)
		if err != nil {
			t.Fatal(err)
		}
		play(t, j, tab, 0, rand.New(rand.NewSource(2)))
		want, old := snapshot(tab), j.path(j.seq, segmentExt)
		raw, _ := os.ReadFile(old)
		if renamed {
			if err := j.Compact(tab); err != nil {
				t.Fatal(err)
			}
			os.WriteFile(old, raw[:frameHead+2], 0o600) // not removed yet
		} else {
			os.WriteFile(j.path(j.seq+1, tmpExt), raw[:len(raw)/2], 0o600)
		}
		j.Close()
		_, back, err := OpenJournal(dir, 3e6, quiet)
		if err != nil || snapshot(back) != want {
			t.Fatalf("renamed %v: %v, got\n%s\nwant\n%s", renamed, err, snapshot(back), want)
		}
		if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
			t.Errorf("renamed %v: left in the folder: %v", renamed, left)
		}
	}
}

// A folder that can't be written to costs an error, not a message told as taken.
func TestFailedWriteTakesNothing(t *testing.T) {
	j, tab, err := OpenJournal(t.TempDir(), 3e6, quiet)
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	if err := j.Taken(tab, &Message{Num: tab.Next(), ID: "x"}); err == nil || tab.Live() != 0 {
		t.Fatalf("error %v, %d messages", err, tab.Live())
	}
}

// Any order of steps, with compactions, survives a restart, and the folder stays within its budget at each step.
func FuzzJournal(f *testing.F) {
	f.Add(int64(1), []byte{0, 6, 12, 1, 1, 4, 5, 0, 0, 2, 3, 1})
	long := make([]byte, 600)
	rand.New(rand.NewSource(3)).Read(long)
	f.Add(int64(2), long)
	f.Add(int64(3), make([]byte, 100)) // more than the budget holds
	f.Fuzz(func(t *testing.T, seed int64, ops []byte) {
		const budget = 200_000
		dir, rng := t.TempDir(), rand.New(rand.NewSource(seed))
		j, tab, err := OpenJournal(dir, budget, quiet)
		if err != nil {
			t.Fatal(err)
		}
		for _, op := range ops {
			play(t, j, tab, op, rng)
			var used int64
			files, _ := os.ReadDir(dir)
			for _, e := range files {
				if info, err := e.Info(); err == nil {
					used += blocks(info.Size())
				}
			}
			if used > budget || used != blocks(j.size) || 2*blocks(j.liveB) > budget {
				t.Fatalf("%d bytes on disk, %d booked, %d live", used, j.size, j.liveB)
			}
		}
		j.Close()
		want := snapshot(tab)
		if _, back, err := OpenJournal(dir, budget, quiet); err != nil || snapshot(back) != want {
			t.Fatalf("%v, got\n%s\nwant\n%s", err, snapshot(back), want)
		}
	})
}
