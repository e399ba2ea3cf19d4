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

// inheritance is the room of a process that is gone, and what its journal holds.
type inheritance struct {
	room    *processdir.Dir
	journal *journal.Journal
	table   *memory.Table
}

// inherit takes over rooms that were read. The lock of one that is not taken over whole stays with this process.
func (h *successor) inherit(all []*inheritance) {
	for _, i := range all {
		if err := h.adopt(i); err != nil {
			h.notTaken(i.room, err)
		}
		i.journal.Close()
	}
}

func (h *successor) notTaken(r *processdir.Dir, err error) {
	h.log.Error("a room is not taken over", "room", r.Path, "err", err)
}

// read reads rooms, each of which comes before its successor's, and leaves the latest account of each message. A room whose successor's room can't be
// read is left out as well: its messages may have run.
func (h *successor) read(fallen []*processdir.Dir) (all []*inheritance) {
	unread := map[string]bool{}
	for _, r := range slices.Backward(fallen) {
		var err error
		i := &inheritance{room: r}
		if by, claimed := r.Successor(); claimed && unread[by] {
			err = errSuccessorUnread
		} else {
			err = h.patiently("a room can't be read", func() (err error) {
				i.journal, i.table, err = journal.Open(journal.Config{FS: journal.Dir(r.Path), Budget: h.disk() - h.folder.UsedBytes(r), TimeScale: h.folder.TimeScale(), Log: h.log, CompactInline: true})
				return err
			})
		}
		if err != nil {
			unread[r.Name] = true
			h.notTaken(r, err)
			continue
		}
		all = append(all, i)
	}
	slices.Reverse(all)
	dropOutdated(all)
	return all
}

// dropOutdated leaves the latest account of each message only. Guards against a message that a successor had taken on and run when it died, and not
// yet booked off the room that it came from.
func dropOutdated(all []*inheritance) {
	over, latest := map[string]struct{}{}, map[string]*memory.Message{}
	for _, i := range all {
		for _, id := range i.table.CompletedIDs() {
			over[id] = struct{}{}
		}
		for _, m := range i.table.All() {
			if have := latest[m.ID]; have == nil || m.Supersedes(have) {
				latest[m.ID] = m
			}
		}
	}
	for _, i := range all {
		for _, m := range i.table.All() {
			if _, ended := over[m.ID]; ended || latest[m.ID] != m {
				i.remove(m)
			}
		}
	}
}

// remove books m off, without an end of its own.
func (i *inheritance) remove(m *memory.Message) {
	i.table.Remove(m)
	i.table.ForgetCompleted(m.ID)
	i.journal.AppendCompleted(m, true) // so that its room gives way to the next part
}

// adopt takes one room over, part by part, and clears it.
func (h *successor) adopt(i *inheritance) error {
	if err := i.room.Claim(h.room); err != nil {
		h.log.Warn("a room takes no word of who takes it over", "room", i.room.Path, "err", err)
	}
	left := i.ordered()
	for len(left) > 0 {
		if err := h.ctx.Err(); err != nil {
			return err
		}
		n, part := copyPart(left, handover.MaxTransferBytes(h.free()))
		if !h.wait(h.host.Adopt(wire.Transfer{Messages: part})) {
			return h.ctx.Err()
		}
		for _, m := range left[:n] {
			i.remove(m)
		}
		if _, err := i.journal.Commit(); err != nil {
			h.log.Warn("a room's journal takes no records as it is taken over", "room", i.room.Path, "err", err)
		}
		left = left[n:]
	}
	if !h.wait(h.host.Adopt(wire.Transfer{CompletedIDs: i.table.CompletedIDs()})) {
		return h.ctx.Err()
	}
	return h.folder.Remove(i.room)
}

// ordered lists the messages in the order of their numbers.
func (i *inheritance) ordered() (all []*memory.Message) {
	for _, m := range i.table.All() {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	return all
}

// copyPart copies the first messages, one at least, whose bodies take up to so many bytes: the other journal has numbers of its own for them.
func copyPart(all []*memory.Message, bytes int64) (n int, part []*memory.Message) {
	for size := 0; n < len(all) && (n == 0 || size+all[n].BodySize() <= int(bytes)); n++ {
		m := *all[n]
		part, size = append(part, &m), size+m.BodySize()
	}
	return n, part
}
