package daemon

import (
	"errors"
	"slices"

	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
)

// This file adopts the journals of processes that no longer run.

// errSuccessorUnreadable means that some messages of a directory moved to one that can't be read.
var errSuccessorUnreadable = errors.New("the directory of the process that was taking it over can't be read")

// leftJournal is the directory of a process that no longer runs, and the content of its journal.
type leftJournal struct {
	dir     *processdir.Dir
	journal *journal.Journal
	table   *memory.Table
}

// adoptAll adopts the journals and removes their directories. This process keeps the lock of a
// directory that could not be adopted completely.
func (s *successor) adoptAll(journals []*leftJournal) {
	for _, j := range journals {
		if err := s.adopt(j); err != nil {
			s.logNotAdopted(j.dir, err)
		}
		j.journal.Close()
	}
}

func (s *successor) logNotAdopted(dir *processdir.Dir, err error) {
	s.log.Error("process directory not adopted", "room", dir.Path, "err", err)
}

// openJournals reads directories, each listed before its successor's, and keeps only the latest
// state of each message. A directory whose successor's directory can't be read is skipped as well,
// since its messages may have been sent. Those that are skipped are adopted later.
func (s *successor) openJournals(abandoned []*processdir.Dir) (journals []*leftJournal) {
	unreadable := map[string]bool{}
	var skipped []*processdir.Dir
	for _, dir := range slices.Backward(abandoned) {
		var err error
		j := &leftJournal{dir: dir}
		if successor, claimed := dir.Successor(); claimed && unreadable[successor] {
			err = errSuccessorUnreadable
		} else {
			err = s.retry("a process directory can't be read", func() (err error) {
				j.journal, j.table, err = journal.Open(journal.Config{FS: journal.Dir(dir.Path), Budget: s.diskBytes(),
					NoReserve: true, TimeScale: s.stateDir.TimeScale(), Log: s.log, CompactInline: true})
				return err
			})
		}
		if err != nil {
			unreadable[dir.Name] = true
			skipped = append(skipped, dir)
			if !s.finishing {
				s.logNotAdopted(dir, err)
			}
			continue
		}
		journals = append(journals, j)
	}
	slices.Reverse(skipped)
	s.keepUnadopted(skipped)
	slices.Reverse(journals)
	dropOutdated(journals)
	return journals
}

// dropOutdated keeps only the latest state of each message. A successor may have adopted and sent a
// message, and then died before removing it from the directory of the previous process.
func dropOutdated(journals []*leftJournal) {
	completed, latest := map[string]struct{}{}, map[string]*memory.Message{}
	for _, j := range journals {
		for _, id := range j.table.CompletedIDs() {
			completed[id] = struct{}{}
		}
		for _, m := range j.table.All() {
			if known := latest[m.ID]; known == nil || m.Supersedes(known) {
				latest[m.ID] = m
			}
		}
	}
	for _, j := range journals {
		for _, m := range j.table.All() {
			if _, isCompleted := completed[m.ID]; isCompleted || latest[m.ID] != m {
				j.remove(m)
			}
		}
	}
}

// remove deletes m without recording a completion of its own.
func (j *leftJournal) remove(m *memory.Message) {
	j.table.Remove(m)
	j.table.ForgetCompleted(m.ID)
	j.journal.AppendCompleted(m, true) // frees space for the next batch
}

// adopt adopts the messages of one directory in batches, and removes it.
func (s *successor) adopt(j *leftJournal) error {
	if err := j.dir.Claim(s.dir); err != nil {
		s.log.Warn("successor can't be recorded in the process directory", "room", j.dir.Path, "err", err)
	}
	remaining := s.withoutKnown(j.messagesInOrder())
	for len(remaining) > 0 {
		if err := s.ctx.Err(); err != nil {
			return err
		}
		n, batch := copyBatch(remaining, s.divideDisk(j))
		if !s.waitCommitted(s.host.Adopt(wire.Transfer{Messages: batch})) {
			return s.ctx.Err()
		}
		for _, m := range remaining[:n] {
			j.remove(m)
			s.unadopted.addKnown(m.ID)
		}
		if _, err := j.journal.Commit(); err != nil {
			s.log.Warn("journal of an adopted directory can't be written", "room", j.dir.Path, "err", err)
		}
		remaining = remaining[n:]
	}
	completed := j.table.CompletedIDs()
	if !s.waitCommitted(s.host.Adopt(wire.Transfer{CompletedIDs: completed})) {
		return s.ctx.Err()
	}
	s.unadopted.addKnown(completed...)
	err := s.stateDir.Remove(j.dir)
	if err != nil {
		s.keepLeftover(j.dir.Path, func() error { return s.stateDir.Remove(j.dir) })
	}
	return err
}

// messagesInOrder lists the messages in the order of their numbers.
func (j *leftJournal) messagesInOrder() (messages []*memory.Message) {
	for _, m := range j.table.All() {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	return messages
}

// copyBatch copies the first n messages, as many as have bodies of at most that many bytes
// together, but at least one. Copies are needed because the other journal gives them its own
// numbers.
func copyBatch(messages []*memory.Message, bytes int64) (n int, batch []*memory.Message) {
	for size := 0; n < len(messages) && (n == 0 || size+messages[n].BodySize() <= int(bytes)); n++ {
		m := *messages[n]
		batch, size = append(batch, &m), size+m.BodySize()
	}
	return n, batch
}
