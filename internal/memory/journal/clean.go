package journal

import (
	"io"
	"slices"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// Cleaning: segments that are no longer written to are rewritten without what is over.

// stepBytes is how much cleaning does in one go; then it rests for a moment. Guards against an owner whose thread is kept off its
// processor by the cleaner's: the turns that were longest had waited for just that.
const (
	stepBytes = 64 << 10
	restFor   = 50 * time.Microsecond
)

func noRest() {}

// writeWhole writes a file under another name, in steps, and renames it.
func writeWhole(fs FS, name string, b []byte, rest func()) error {
	tmp := name + tmpExt
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	for len(b) > 0 && err == nil {
		part := b[:min(len(b), stepBytes)]
		var n int
		if n, err = f.Write(part); err == nil && n < len(part) {
			err = io.ErrShortWrite
		}
		b = b[len(part):]
		rest()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = fs.Rename(tmp, name)
	}
	if err != nil {
		fs.Remove(tmp)
	}
	return err
}

// --- cleaning ---

// job is a segment to be cleaned, with all that is needed for it: it runs beside the owner.
type job struct {
	seg      *segment
	name     string
	live     []uint32 // numbers of live messages with records in it
	keepOver uint64   // ordinals from this one on are kept
	allOver  bool     // an older segment may still have the message
	active   uint64
	overs    uint64
	hurry    bool // room is needed: no rests
}

type result struct {
	job
	waits      bool  // some of what is kept waits for an older segment
	size, kept int64 // of the copy, and of records in it that are of no live message; size 0: nothing was left, the file is gone
	err        error
}

// lookTurn is after how many commits a segment to clean is looked for.
const lookTurn = 8

// clean starts the cleaning of a segment that is worth it.
func (j *Journal) clean() {
	if j.busy || j.torn || j.stats.Commits-j.looked < lookTurn && !j.set.CompactInline {
		return
	}
	j.looked = j.stats.Commits
	all := j.plan[:0]
	for i, g := range j.segs {
		if g.floor > 0 && j.overs-g.floorAt > memory.MaxCompletedIDs || g.waits && !j.older(i) {
			g.floor, g.waits = 0, false // what it kept need not be kept any more
		}
		all = append(all, plan.Segment{Size: g.size, Live: g.live, Floor: g.floor, Busy: g.busy || i == len(j.segs)-1})
	}
	j.plan = all
	i := plan.Clean(j.set.Budget, j.used(), len(j.spots), all)
	if i < 0 {
		return
	}
	g := j.segs[i]
	w := job{seg: g, name: g.name(), live: make([]uint32, 0, len(g.nums)), active: j.segs[len(j.segs)-1].no, overs: j.overs, hurry: plan.Hurry(j.set.Budget, j.used(), all)}
	for n := range g.nums {
		w.live = append(w.live, n)
	}
	w.keepOver = j.overs - min(j.overs, memory.MaxCompletedIDs) + 1
	w.allOver = j.older(i)
	g.busy, j.busy = true, true
	if j.set.CompactInline {
		j.cleaned(w.run(j.set.FS, noRest))
		return
	}
	j.jobs <- w
}

// older tells whether the record that took a message on may still be there when its end is in segment i: in an older
// one that was not cleaned since i was sealed.
func (j *Journal) older(i int) bool {
	for _, g := range j.segs[:i] {
		if g.cleaned <= j.segs[i].no {
			return true
		}
	}
	return false
}

// poll takes the end of a cleaning in.
func (j *Journal) poll() {
	select {
	case r := <-j.done:
		j.cleaned(r)
	default:
	}
}

func (j *Journal) cleaned(r result) {
	g := r.seg
	g.busy, j.busy = false, false
	if r.err != nil {
		j.set.Log.Error("journal segment not cleaned", "segment", r.name, "err", r.err)
		g.floor, g.floorAt = g.size-g.live, j.overs // not again before long
		return
	}
	j.stats.Compactions++
	j.stats.CompactedBytes += r.size
	g.cleaned = r.active
	if r.size == 0 {
		j.grow(g, 0)
		j.segs = slices.DeleteFunc(j.segs, func(s *segment) bool { return s == g })
		return
	}
	j.grow(g, r.size)
	g.floor, g.floorAt, g.waits = r.kept, r.overs, r.waits
}

// run rewrites the segment without records of messages that are over, and renames the copy over it. Records that are
// bad are left out too: they have been named when the journal was opened.
func (w job) run(fs FS, rest func()) (r result) {
	r.job = w
	raw, err := fs.Read(w.name)
	rest()
	if err != nil {
		r.err = err
		return r
	}
	slices.Sort(w.live)
	out := append([]byte(nil), raw[:headSize]...)
	taken := map[uint32]struct{}{} // taken on in this segment: their ends go with them
	rested := 0
	walk(raw, func(at, size int, payload []byte, err error) {
		if at-rested > stepBytes {
			rested = at
			rest()
		}
		if err != nil {
			return
		}
		keep, needed := false, false
		if payload[0] == recTaken || payload[0] == recUnkept || payload[0] == recKept {
			nums(payload, func(n uint32) { taken[n] = struct{}{} })
		}
		if payload[0] == recOver {
			f := read(payload, clock.Scale{})
			num, ordinal, id := uint32(f.Uint()), f.Uint(), f.Bytes()
			_, here := taken[num]
			waits := w.allOver && !here
			r.waits = r.waits || waits
			needed = waits || ordinal >= w.keepOver && len(id) > 0
		} else {
			nums(payload, func(n uint32) {
				_, live := slices.BinarySearch(w.live, n)
				keep = keep || live
			})
		}
		if needed {
			r.kept += int64(size)
		}
		if keep || needed {
			out = append(out, raw[at:at+size]...)
		}
	})
	if len(out) == headSize {
		r.err = fs.Remove(w.name)
		return r
	}
	r.kept += int64(headSize)
	if r.err = writeWhole(fs, w.name, out, rest); r.err == nil {
		r.size = int64(len(out))
	}
	return r
}
