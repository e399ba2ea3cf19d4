package journal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// What a start finds in the folder, and the upgrade of older folders.

// Open reads what the folder holds and begins a new segment.
func Open(set Config) (*Journal, *memory.Table, error) {
	j := &Journal{set: set, spots: map[uint32]spots{}}
	names, err := set.FS.List()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	s := newState(set.TimeScale)
	s.bound = set.MaxBodyBytes
	var legacy []string
	for _, name := range names {
		switch base, ext := split(name); ext {
		case tmpExt:
			set.FS.Remove(name) // half of a cleaning or of an upgrade
		case legacyExt:
			legacy = append(legacy, name)
		case segmentExt:
			if no, err := strconv.ParseUint(base, 10, 64); err == nil {
				j.segs = append(j.segs, &segment{no: no, nums: map[uint32]int64{}})
			}
		}
	}
	slices.SortFunc(j.segs, func(a, b *segment) int { return int(int64(a.no) - int64(b.no)) })
	if len(j.segs) == 0 && len(legacy) > 0 {
		if err := j.upgrade(legacy); err != nil {
			return nil, nil, err
		}
	}
	if len(j.segs) == 1 {
		for _, name := range legacy {
			set.FS.Remove(name) // its content is in that segment, whole
		}
	} else if len(legacy) > 0 {
		set.Log.Error("journal of the first form beside segments: it is not read", "files", legacy)
	}
	for i, g := range j.segs {
		if err := j.read(g, s, i == len(j.segs)-1); err != nil {
			return nil, nil, err
		}
	}
	j.segs = slices.DeleteFunc(j.segs, func(g *segment) bool { return g.size == 0 })
	s.end()
	j.overs, j.top = s.overs, max(j.top, s.top)
	s.table.StartNumbersAfter(j.top)
	j.live(s.table)
	err = j.rotate()
	if err != nil && set.FS.Remove(reserveName) == nil {
		err = j.rotate() // a full disk refuses no start while the reserve has room to give
	}
	if err != nil {
		return nil, nil, err
	}
	j.fill()
	if !set.CompactInline {
		j.jobs, j.done = make(chan job, 1), make(chan result, 1)
		go func() {
			for w := range j.jobs {
				rest := noRest
				if !w.hurry {
					rest = func() { time.Sleep(restFor) }
				}
				j.done <- w.run(set.FS, rest)
			}
			close(j.done)
		}()
	}
	return j, s.table, nil
}

func split(name string) (base, ext string) {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}

// read takes a segment in. The last one may end in half a record, which is cut.
func (j *Journal) read(g *segment, s *state, last bool) error {
	raw, err := j.set.FS.Read(g.name())
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	top, _, err := readHead(raw)
	if err != nil {
		if last && len(raw) < headSize {
			j.top = max(j.top, s.top)
			return j.set.FS.Remove(g.name()) // killed as it was begun: nothing is in it
		}
		j.set.Log.Error("journal segment bad", "segment", g.name(), "err", err)
		g.size, g.busy = int64(len(raw)), true // it stays for a person to look at
		return nil
	}
	j.top = max(j.top, top)
	end := walk(raw, func(at, size int, payload []byte, err error) {
		if err == nil {
			if err = s.apply(payload); err == nil {
				nums(payload, func(n uint32) { g.nums[n] += int64(size) })
				return
			}
		}
		j.set.Log.Error("journal record bad", "segment", g.name(), "at", at, "bytes", size, "err", err)
	})
	if end < len(raw) {
		j.set.Log.Warn("journal tail cut", "segment", g.name(), "bytes", len(raw)-end)
		if err := j.set.FS.Truncate(g.name(), int64(end)); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	g.size = int64(end)
	return nil
}

// live books which records are of messages that are live.
func (j *Journal) live(t *memory.Table) {
	for _, g := range j.segs {
		for n, bytes := range g.nums {
			if t.Get(n) == nil {
				delete(g.nums, n)
				continue
			}
			g.live += bytes
			j.note(n, spot{g, bytes})
		}
		j.total += plan.Blocks(g.size)
	}
}

// note enters a place of records of a message.
func (j *Journal) note(num uint32, at spot) {
	s, ok := j.spots[num]
	switch {
	case !ok:
		s.first = at
	case len(s.more) > 0 && s.more[len(s.more)-1].seg == at.seg:
		s.more[len(s.more)-1].bytes += at.bytes
	case len(s.more) == 0 && s.first.seg == at.seg:
		s.first.bytes += at.bytes
	default:
		s.more = append(s.more, at)
	}
	j.spots[num] = s
}

// grow books that a segment has another size.
func (j *Journal) grow(g *segment, size int64) {
	j.total += plan.Blocks(size) - plan.Blocks(g.size)
	g.size = size
}

// upgrade reads a journal of the first form and writes what is live in it into a segment.
func (j *Journal) upgrade(names []string) error {
	slices.Sort(names)
	name := names[len(names)-1] // older ones are left over from a crash
	raw, err := j.set.FS.Read(name)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	t := memory.ReadLegacy(raw, func(at int, err error) { j.set.Log.Error("journal record bad", "segment", name, "at", at, "err", err) })
	top := uint32(0)
	var all []*memory.Message
	for _, m := range t.All() {
		top, all = max(top, m.Number), append(all, m)
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	b := appendHead(nil, 1, top, 0)
	for _, m := range all {
		at := len(b)
		if b = frame(appendKept(append(begin(b), recKept), m, j.set.TimeScale), at); len(m.PluginNotes) > 0 {
			at = len(b)
			b = frame(appendText(head(begin(b), recNotes, m.Number), m.PluginNotes), at)
		}
	}
	g := &segment{no: 1, nums: map[uint32]int64{}}
	if err := writeWhole(j.set.FS, g.name(), b, noRest); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.segs = append(j.segs, g)
	j.set.Log.Info("journal upgraded", "from", name, "messages", len(all))
	return nil
}
