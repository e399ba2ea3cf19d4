package daemon

import (
	"errors"
	"os"
	"slices"
	"time"

	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
)

// This file finishes a takeover of which a step failed: it adopts what could not be read at first,
// and removes adopted files that could not be removed, which take part of the disk limit.

// unfinishedInterval is the time between two attempts to finish a takeover.
const unfinishedInterval = time.Second

// unadopted is what other processes left and could not be read yet.
type unadopted struct {
	unlisted        bool              // the directories of other processes could not be listed
	unreadTransfers bool              // files of the spool could not be read
	dirs            []*processdir.Dir // each before the directory of its successor
	// Ids of messages that were adopted, or known when something could not be read; nil: all was
	// read. The table forgets completed messages in time, and one of them must not be adopted
	// again.
	knownIDs map[string]struct{}
}

// remains reports whether anything is still to be adopted.
func (u *unadopted) remains() bool { return u.unlisted || u.unreadTransfers || len(u.dirs) > 0 }

// addKnown adds ids that must not be adopted again, if there is anything left to adopt.
func (u *unadopted) addKnown(ids ...string) {
	if u.knownIDs == nil {
		return
	}
	for _, id := range ids {
		u.knownIDs[id] = struct{}{}
	}
}

// isKnown reports whether a message that is adopted later than others must not be.
func (u *unadopted) isKnown(m *memory.Message) bool {
	_, known := u.knownIDs[m.ID]
	return known
}

// beginUnadopted is called when something can't be read and will be adopted later.
func (s *successor) beginUnadopted() {
	if s.unadopted.knownIDs == nil {
		s.unadopted.knownIDs = map[string]struct{}{}
		s.unadopted.addKnown(s.host.KnownIDs()...)
	}
}

// keepUnadopted keeps directories that can't be read, to be adopted later.
func (s *successor) keepUnadopted(dirs []*processdir.Dir) {
	if len(dirs) > 0 {
		s.beginUnadopted()
		s.unadopted.dirs = append(s.unadopted.dirs, dirs...)
	}
}

// adoptLater tries once more to adopt what could not be read. What a message went through since
// counts: one that is known by now is not adopted.
func (s *successor) adoptLater() {
	if !s.unadopted.remains() {
		return
	}
	s.finishing = true
	dirs := s.unadopted.dirs
	s.unadopted.dirs = nil
	if s.unadopted.unlisted {
		others := s.listOthers()
		dirs = append(dirs, others.abandoned...)
		s.unadopted.unlisted = s.unadopted.unlisted || len(s.leavingAmong(others.running)) > 0
	}
	s.adoptTransfers(false)
	if !s.unadopted.unlisted {
		s.removeLatestTransfers()
	}
	journals := s.openJournals(dirs)
	s.adoptAll(journals)
	for _, j := range journals {
		s.log.Info("process directory adopted after all", "room", j.dir.Path)
	}
	s.updateJournalShare()
}

// withoutKnown returns the messages that may be adopted now.
func (s *successor) withoutKnown(messages []*memory.Message) []*memory.Message {
	if !s.finishing {
		return messages // where there are several copies, the most recent counts
	}
	return slices.DeleteFunc(messages, s.unadopted.isKnown)
}

// unfinishedStep is a step that failed and is tried again.
type unfinishedStep struct {
	name string
	run  func() error
	done string // logged once it succeeds
}

// keepStep has a step tried again later.
func (s *successor) keepStep(name string, run func() error) {
	s.steps = append(s.steps, unfinishedStep{name, run, "step done after all"})
}

// keepLeftover has the removal of an adopted file or directory tried again later.
func (s *successor) keepLeftover(name string, remove func() error) {
	removed := func() error {
		if err := remove(); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil
	}
	s.steps = append(s.steps, unfinishedStep{name, removed, "adopted files removed after all"})
}

// runSteps tries each unfinished step once, and gives the space of removed files to this process's
// journal. It reports whether no step is left.
func (s *successor) runSteps() bool {
	remaining := s.steps[:0]
	for _, step := range s.steps {
		if step.run() != nil {
			remaining = append(remaining, step)
			continue
		}
		s.log.Info(step.done, "name", step.name)
	}
	if len(remaining) < len(s.steps) {
		s.updateJournalShare()
	}
	s.steps = remaining
	return len(remaining) == 0
}

// finish repeats what failed in a takeover until nothing is left, or until this process stops or
// hands over.
func (s *successor) finish() {
	for len(s.steps) > 0 || s.unadopted.remains() {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(unfinishedInterval):
		}
		s.adoptLater()
		s.runSteps()
	}
	s.unadopted.knownIDs = nil
}
