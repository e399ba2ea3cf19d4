package daemon

import (
	"errors"
	"os"
	"time"
)

// This file removes adopted files whose removal failed. They take part of the disk limit.

// leftoverInterval is the time between two attempts to remove what is left.
const leftoverInterval = time.Second

// leftover is a file or directory that has been adopted but could not be removed.
type leftover struct {
	name   string
	remove func() error
}

// keepLeftover has remove tried again later.
func (s *successor) keepLeftover(name string, remove func() error) {
	s.leftovers = append(s.leftovers, leftover{name, remove})
}

// removeLeftovers tries once to remove what is left, and gives the space to this process's journal.
// It reports whether nothing is left.
func (s *successor) removeLeftovers() bool {
	remaining := s.leftovers[:0]
	for _, l := range s.leftovers {
		if err := l.remove(); err != nil && !errors.Is(err, os.ErrNotExist) {
			remaining = append(remaining, l)
			continue
		}
		s.log.Info("adopted files removed after all", "name", l.name)
	}
	if len(remaining) < len(s.leftovers) {
		s.host.SetJournalShare(s.diskBytes(), s.stateDir.UsedBytes(s.dir), true)
	}
	s.leftovers = remaining
	return len(remaining) == 0
}

// removeLeftoversUntilNone tries to remove what is left until nothing is, or until this process
// stops or hands over. No other process may be leaving.
func (s *successor) removeLeftoversUntilNone() {
	for len(s.leftovers) > 0 {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(leftoverInterval):
		}
		s.removeLeftovers()
	}
}
