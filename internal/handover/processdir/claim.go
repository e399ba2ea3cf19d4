package processdir

import (
	"slices"
	"strings"
)

// claimPrefix begins the word in the lock file of a room that another process is taking over. The name of that process's room follows.
const claimPrefix = "successor:"

// Claim notes in r, whose process is gone, that the process of successor takes it over. From then on messages of r may go on in successor: whoever
// comes after that process has to read both.
func (d *Dir) Claim(successor *Dir) error {
	d.successor, d.claimed = successor.Name, true
	return d.SetStatus(claimPrefix + successor.Name)
}

// Successor names the room of the process that was taking r over when it ended; false if none was.
func (d *Dir) Successor() (name string, claimed bool) { return d.successor, d.claimed }

// readClaim returns what Claim has noted in the room of that name. A room without a journal was taken over whole.
func (s *StateDir) readClaim(name string) (successor string, claimed bool) {
	successor, claimed = strings.CutPrefix(s.Status(name), claimPrefix)
	return successor, claimed && len(s.journalFiles(name)) > 0
}

// readableDirs gives back the rooms that can't be read yet, and returns the others, each before the room of its successor. Guards against a room that
// its successor had emptied in part: what became of its messages is in the successor's own room, whose lock falls a moment later.
func (s *StateDir) readableDirs(abandoned []*Dir, running []string) []*Dir {
	abandoned = slices.DeleteFunc(abandoned, func(r *Dir) bool {
		successorRuns := r.claimed && slices.Contains(running, r.successor) && s.Status(r.successor) == StatusServing
		if successorRuns {
			r.lockFile.Close()
		}
		return successorRuns
	})
	slices.SortStableFunc(abandoned, func(a, b *Dir) int { return countSuccessors(b, abandoned) - countSuccessors(a, abandoned) })
	return abandoned
}

// countSuccessors counts the rooms among all that took r over, one after another.
func countSuccessors(dir *Dir, dirs []*Dir) (n int) {
	for ; dir.claimed && n < len(dirs); n++ {
		index := slices.IndexFunc(dirs, func(other *Dir) bool { return other.Name == dir.successor })
		if index < 0 {
			return n
		}
		dir = dirs[index]
	}
	return n
}
