package daemon

import (
	"errors"
	"slices"

	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
)

// This file takes over the rooms of processes that are gone.

// errSuccessorUnread says that a room's messages went on in one that can't be read.
var errSuccessorUnread = errors.New("the room of the process that was taking it over can't be read")

// leftJournal is the room of a process that is gone, and what its journal holds.
type leftJournal struct {
	dir     *processdir.Dir
	journal *journal.Journal
	table   *memory.Table
}

// adoptAll takes over rooms that were read. The lock of one that is not taken over whole stays with this process.
func (s *successor) adoptAll(journals []*leftJournal) {
	for _, j := range journals {
		if err := s.adopt(j); err != nil {
			s.logNotAdopted(j.dir, err)
		}
		j.journal.Close()
	}
}

func (s *successor) logNotAdopted(dir *processdir.Dir, err error) {
	s.log.Error("a room is not taken over", "room", dir.Path, "err", err)
}

// openJournals reads rooms, each of which comes before its successor's, and leaves the latest account of each message. A room whose successor's room can't be
// read is left out as well: its messages may have run.
func (s *successor) openJournals(abandoned []*processdir.Dir) (journals []*leftJournal) {
	unreadable := map[string]bool{}
	for _, dir := range slices.Backward(abandoned) {
		var err error
		j := &leftJournal{dir: dir}
		if successor, claimed := dir.Successor(); claimed && unreadable[successor] {
			err = errSuccessorUnread
		} else {
			err = s.retry("a room can't be read", func() (err error) {
				j.journal, j.table, err = journal.Open(journal.Config{FS: journal.Dir(dir.Path), Budget: s.diskBytes() - s.stateDir.UsedBytes(dir), TimeScale: s.stateDir.TimeScale(), Log: s.log, CompactInline: true})
				return err
			})
		}
		if err != nil {
			unreadable[dir.Name] = true
			s.logNotAdopted(dir, err)
			continue
		}
		journals = append(journals, j)
	}
	slices.Reverse(journals)
	dropOutdated(journals)
	return journals
}

// dropOutdated leaves the latest account of each message only. Guards against a message that a successor had taken on and run when it died, and not
// yet booked off the room that it came from.
func dropOutdated(journals []*leftJournal) {
	completed, latest := map[string]struct{}{}, map[string]*memory.Message{}
	for _, j := range journals {
		for _, id := range j.table.CompletedIDs() {
			completed[id] = struct{}{}
		}
		for _, m := range j.table.All() {
			if have := latest[m.ID]; have == nil || m.Supersedes(have) {
				latest[m.ID] = m
			}
		}
	}
	for _, j := range journals {
		for _, m := range j.table.All() {
			if _, ended := completed[m.ID]; ended || latest[m.ID] != m {
				j.remove(m)
			}
		}
	}
}

// remove books m off, without an end of its own.
func (j *leftJournal) remove(m *memory.Message) {
	j.table.Remove(m)
	j.table.ForgetCompleted(m.ID)
	j.journal.AppendCompleted(m, true) // so that its room gives way to the next part
}

// adopt takes one room over, part by part, and clears it.
func (s *successor) adopt(j *leftJournal) error {
	if err := j.dir.Claim(s.dir); err != nil {
		s.log.Warn("a room takes no word of who takes it over", "room", j.dir.Path, "err", err)
	}
	remaining := j.messagesInOrder()
	for len(remaining) > 0 {
		if err := s.ctx.Err(); err != nil {
			return err
		}
		n, batch := copyBatch(remaining, handover.MaxTransferBytes(s.freeBytes()))
		if !s.waitCommitted(s.host.Adopt(wire.Transfer{Messages: batch})) {
			return s.ctx.Err()
		}
		for _, m := range remaining[:n] {
			j.remove(m)
		}
		if _, err := j.journal.Commit(); err != nil {
			s.log.Warn("a room's journal takes no records as it is taken over", "room", j.dir.Path, "err", err)
		}
		remaining = remaining[n:]
	}
	if !s.waitCommitted(s.host.Adopt(wire.Transfer{CompletedIDs: j.table.CompletedIDs()})) {
		return s.ctx.Err()
	}
	return s.stateDir.Remove(j.dir)
}

// messagesInOrder lists the messages in the order of their numbers.
func (j *leftJournal) messagesInOrder() (messages []*memory.Message) {
	for _, m := range j.table.All() {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	return messages
}

// copyBatch copies the first messages, one at least, whose bodies take up to so many bytes: the other journal has numbers of its own for them.
func copyBatch(messages []*memory.Message, bytes int64) (n int, batch []*memory.Message) {
	for size := 0; n < len(messages) && (n == 0 || size+messages[n].BodySize() <= int(bytes)); n++ {
		m := *messages[n]
		batch, size = append(batch, &m), size+m.BodySize()
	}
	return n, batch
}
