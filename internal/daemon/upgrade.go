package daemon

import (
	"context"
	"slices"
	"time"

	"oatfold/internal/drain"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/wire"
)

const (
	heirTurn  = 10 * time.Millisecond // between two looks at what the process before gives
	leaveTurn = 5 * time.Millisecond  // of the one that leaves
	givenMost = 4                     // files that wait in the spool: more would only take room
)

// successor takes over what other processes of this relay leave. It waits for disks, on a goroutine that nobody waits for.
type successor struct {
	*relay
	ctx context.Context
	bad map[string]bool // files of the spool that can't be read: they stay, for a person to look at

	latest map[string]string // by process: the file that it gave last. It stays, without messages, for a process that has to start anew
}

// takePatience is for how long something that can't be read is tried again: what it holds is owed.
const takePatience = 5 * time.Second

func (h *successor) patiently(what string, step func() error) error {
	return patiently(what, takePatience, func() bool { return h.ctx.Err() != nil || len(h.terminate) > 0 }, h.log, step)
}

// take takes over what is there, and tells whether a process is still leaving.
func (h *successor) take() (leaving bool) {
	h.host.BeginTransferScan()
	var held []string
	var fallen []*processdir.Dir
	err := h.patiently("rooms of other processes can't be looked at", func() (err error) {
		for _, f := range fallen {
			h.folder.Release(f, false) // of a look that failed half way
		}
		held, fallen, err = h.folder.Others(h.room)
		return err
	})
	if err != nil {
		h.log.Error("rooms of other processes not looked at", "err", err)
	}
	for _, name := range held {
		leaving = leaving || h.folder.Status(name) == processdir.StatusServing
	}
	// Guards against a message that is in a room and was given as well: the gift is taken first. All that the process of a fallen room gave is there.
	h.spool(leaving)
	h.inherit(h.read(fallen))
	if h.ctx.Err() != nil {
		return leaving // Guards against the word that all is here, which lets later messages of a subject pass what is left in a room
	}
	if !leaving {
		for _, name := range h.latest {
			h.done(name)
		}
		clear(h.latest)
		h.folder.RemovePartialTransfers()
		h.wait(h.host.Adopt(wire.Transfer{LastProcess: true}))
	} else if h.ctx.Err() == nil {
		h.host.EndTransferScan()
	}
	h.host.SetJournalShare(h.disk(), h.folder.UsedBytes(h.room), !leaving)
	return leaving
}

// follow goes on until nobody is leaving.
func (h *successor) follow() {
	_, idle := sockets(h.c)
	h.host.SetMaxIdleConns(idle / 2)
	if h.listenNotes(); h.notes != nil {
		h.host.StartGossip(h.notes, among(h.c))
	}
	for h.take() {
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(heirTurn):
		}
	}
	if h.ctx.Err() != nil {
		return
	}
	clients, idle := sockets(h.c)
	h.host.SetMaxIdleConns(idle)
	h.front.Load().Configure(&h.c.Settings, clients)
	h.inheriting.Store(false)
	h.log.Info("the process before has left, all is taken over")
}

// wait waits until something taken over is in the journal. Where this process has to leave itself it waits on, but not for a disk that takes no
// records. Guards against a message that goes on from here while its room says that it was never tried.
func (h *successor) wait(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-h.ctx.Done():
	}
	for {
		records := h.host.JournalWritable()
		select {
		case <-done:
			return true
		default:
		}
		if !records {
			return false
		}
	}
}

// spool takes over what was given.
func (h *successor) spool(leaving bool) {
	for _, name := range h.folder.Transfers() {
		from := processdir.TransferSender(name)
		if h.bad[name] || h.latest[from] == name || h.ctx.Err() != nil {
			continue
		}
		var msgs []*memory.Message
		var news *handover.Update
		var raw []byte
		err := h.patiently("a given file can't be read", func() (err error) {
			raw, err = h.folder.ReadTransfer(name)
			return err
		})
		if err == nil {
			var text []byte
			if msgs, text, err = journal.DecodeTransfer(raw, h.folder.TimeScale()); err == nil {
				news, err = handover.Decode(text)
			}
		}
		if err != nil {
			h.bad[name] = true
			h.log.Error("given file not taken over", "file", name, "err", err)
			continue
		}
		if !leaving {
			news = &handover.Update{Numbering: news.Numbering} // who gave it is gone, perhaps for long
		}
		if h.wait(h.host.Adopt(wire.Transfer{Sender: from, Messages: msgs, Update: news})) {
			h.adopted(name, from, news, len(msgs) > 0)
		}
	}
}

// adopted lets a file of the spool go that is taken over. The latest one of each process stays, without its messages: should this process be killed, the one
// that comes after it has to know what the other still owes.
func (h *successor) adopted(name, from string, news *handover.Update, messages bool) {
	if before, some := h.latest[from]; some {
		h.done(before)
	}
	h.latest[from] = name
	if !messages {
		return
	}
	if err := h.folder.ReplaceTransfer(name, journal.EncodeTransfer(nil, news.Encode(), h.folder.TimeScale())); err != nil {
		h.log.Warn("news of the process before are not kept for another start", "file", name, "err", err)
		h.done(name)
		delete(h.latest, from)
	}
}

// done removes a file of the spool.
func (h *successor) done(name string) {
	if err := h.folder.RemoveTransfer(name); err != nil {
		h.bad[name] = true
		h.log.Error("given file is taken over but stays", "file", name, "err", err)
	}
}

// free is what is free of the disk, over all processes.
func (r *relay) free() int64 { return r.c.DiskBytes - r.folder.UsedBytes(nil) }

// handOver leaves the relay to a process that stands by, and tells whether there was one that it could be left to.
func (r *relay) handOver() bool {
	held, fallen, err := r.folder.Others(r.room)
	for _, f := range fallen {
		r.folder.Release(f, false)
	}
	held = slices.DeleteFunc(held, func(name string) bool { return r.folder.Status(name) != processdir.StatusReady })
	if err != nil || len(held) == 0 {
		return false
	}
	began, front := time.Now(), r.front.Load()
	r.host.SetJournalShare(r.disk(), r.folder.UsedBytes(r.room), false)
	if r.host.HandOver(r.folder.WriteTransfer, front.Drained(), handover.MaxTransferBytes(r.free())) != nil {
		return false
	}
	r.log.Info("handing over", "standing_by", held)
	if r.notes != nil {
		r.notes.Close()
		r.notes = nil
	}
	if err := r.folder.ReleaseLeaderLock(); err != nil {
		r.log.Error("the baton is not given up before this process ends", "err", err)
	}
	front.HandleDrainEvent(drain.HandOver)
	facts, letGo, read := handover.Progress{}, false, false
	for {
		if len(r.folder.Transfers()) < givenMost {
			r.host.TransferRemaining(handover.MaxTransferBytes(r.free()))
		}
		// In this order: once nothing is accepted, no connection is added.
		facts.Listening = front.Accepting()
		facts.Elapsed, facts.ClientConns = time.Since(began), front.OpenConnections()
		if !read && facts.Elapsed >= readOn {
			front.StopReads()
			read = true
		}
		facts.Pending, facts.CallsInFlight, facts.NotTransferable = r.host.Remaining()
		facts.SuccessorServing = facts.SuccessorServing || slices.ContainsFunc(held, func(name string) bool { return r.folder.Status(name) == processdir.StatusServing })
		switch handover.NextAction(facts) {
		case handover.Exit:
			r.log.Info("handed over", "left_in_room", facts.Pending, "calls_out", facts.CallsInFlight)
			return true
		case handover.StopListening:
			if !letGo {
				front.StopListening()
			}
			letGo = true
		}
		time.Sleep(leaveTurn)
	}
}
