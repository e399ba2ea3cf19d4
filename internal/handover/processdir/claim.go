package processdir

import (
	"slices"
	"strings"
)

// claimPrefix begins the word in the lock file of a room that another process is taking over. The name of that process's room follows.
const claimPrefix = "successor:"

// Claim notes in r, whose process is gone, that the process of successor takes it over. From then on messages of r may go on in successor: whoever
// comes after that process has to read both.
func (r *Dir) Claim(successor *Dir) error {
	r.successor, r.claimed = successor.Name, true
	return r.SetStatus(claimPrefix + successor.Name)
}

// Successor names the room of the process that was taking r over when it ended; false if none was.
func (r *Dir) Successor() (name string, claimed bool) { return r.successor, r.claimed }

// claim returns what Claim has noted in the room of that name. A room without a journal was taken over whole.
func (f *StateDir) claim(name string) (successor string, claimed bool) {
	successor, claimed = strings.CutPrefix(f.Status(name), claimPrefix)
	return successor, claimed && len(f.files(name)) > 0
}

// readable gives back the rooms that can't be read yet, and returns the others, each before the room of its successor. Guards against a room that
// its successor had emptied in part: what became of its messages is in the successor's own room, whose lock falls a moment later.
func (f *StateDir) readable(fallen []*Dir, held []string) []*Dir {
	fallen = slices.DeleteFunc(fallen, func(r *Dir) bool {
		early := r.claimed && slices.Contains(held, r.successor) && f.Status(r.successor) == StatusServing
		if early {
			r.lock.Close()
		}
		return early
	})
	slices.SortStableFunc(fallen, func(a, b *Dir) int { return successors(b, fallen) - successors(a, fallen) })
	return fallen
}

// successors counts the rooms among all that took r over, one after another.
func successors(r *Dir, all []*Dir) (n int) {
	for ; r.claimed && n < len(all); n++ {
		at := slices.IndexFunc(all, func(o *Dir) bool { return o.Name == r.successor })
		if at < 0 {
			return n
		}
		r = all[at]
	}
	return n
}
