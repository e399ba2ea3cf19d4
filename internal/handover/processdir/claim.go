package processdir

import (
	"slices"
	"strings"
)

// claimPrefix starts the status of a directory that another process is taking over. The name of
// that process's directory follows.
const claimPrefix = "successor:"

// Claim records in an abandoned directory that the process of successor is taking it over. From
// then on some of its messages may have moved to successor, so a later process has to read both.
func (d *Dir) Claim(successor *Dir) error {
	d.successor, d.claimed = successor.Name, true
	return d.SetStatus(claimPrefix + successor.Name)
}

// Successor returns the name of the directory whose process was taking d over when it ended; false
// if there was none.
func (d *Dir) Successor() (name string, claimed bool) { return d.successor, d.claimed }

// readClaim returns the successor that Claim recorded. A directory without a journal has been
// adopted completely, and counts as not claimed.
func (s *StateDir) readClaim(name string) (successor string, claimed bool) {
	successor, claimed = strings.CutPrefix(s.Status(name), claimPrefix)
	return successor, claimed && len(s.journalFiles(name)) > 0
}

// readableDirs releases the directories that can't be read yet and returns the others, each before
// the directory of its successor. A directory that its successor had adopted in part can't be read
// until the lock of the successor's own directory is free, since that one tells what became of its
// messages.
func (s *StateDir) readableDirs(abandoned []*Dir, running []string) []*Dir {
	abandoned = slices.DeleteFunc(abandoned, func(dir *Dir) bool {
		successorRuns := dir.claimed && slices.Contains(running, dir.successor) &&
			s.Status(dir.successor) == StatusServing
		if successorRuns {
			dir.lockFile.Close()
		}
		return successorRuns
	})
	slices.SortStableFunc(abandoned, func(a, b *Dir) int {
		return countSuccessors(b, abandoned) - countSuccessors(a, abandoned)
	})
	return abandoned
}

// countSuccessors counts the directories among dirs that took dir over, one after another.
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
