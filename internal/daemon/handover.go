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
	takeOverInterval    = 10 * time.Millisecond // between two looks at what the process before gives
	handOverInterval    = 5 * time.Millisecond  // of the one that leaves
	maxPendingTransfers = 4                     // files that wait in the spool: more would only take room
)

// successor takes over what other processes of this relay leave. It waits for disks, on a goroutine that nobody waits for.
type successor struct {
	*relay
	ctx        context.Context
	unreadable map[string]bool // files of the spool that can't be read: they stay, for a person to look at

	latestTransfer map[string]string // by process: the file that it gave last. It stays, without messages, for a process that has to start anew
}

// takeOverRetryLimit is for how long something that can't be read is tried again: what it holds is owed.
const takeOverRetryLimit = 5 * time.Second

func (s *successor) retry(what string, step func() error) error {
	return retryTransient(what, takeOverRetryLimit, func() bool { return s.ctx.Err() != nil || len(s.terminate) > 0 }, s.log, step)
}

// takeOver takes over what is there, and tells whether a process is still leaving.
func (s *successor) takeOver() (leaving bool) {
	s.host.BeginTransferScan()
	var running []string
	var abandoned []*processdir.Dir
	err := s.retry("rooms of other processes can't be looked at", func() (err error) {
		for _, dir := range abandoned {
			s.stateDir.Release(dir, false) // of a look that failed half way
		}
		running, abandoned, err = s.stateDir.Others(s.dir)
		return err
	})
	if err != nil {
		s.log.Error("rooms of other processes not looked at", "err", err)
	}
	for _, name := range running {
		leaving = leaving || s.stateDir.Status(name) == processdir.StatusServing
	}
	// Guards against a message that is in a room and was given as well: the gift is taken first. All that the process of a fallen room gave is there.
	s.adoptTransfers(leaving)
	s.adoptAll(s.openJournals(abandoned))
	if s.ctx.Err() != nil {
		return leaving // Guards against the word that all is here, which lets later messages of a subject pass what is left in a room
	}
	if !leaving {
		for _, name := range s.latestTransfer {
			s.removeTransfer(name)
		}
		clear(s.latestTransfer)
		s.stateDir.RemovePartialTransfers()
		s.waitCommitted(s.host.Adopt(wire.Transfer{LastProcess: true}))
	} else if s.ctx.Err() == nil {
		s.host.EndTransferScan()
	}
	s.host.SetJournalShare(s.diskBytes(), s.stateDir.UsedBytes(s.dir), !leaving)
	return leaving
}

// takeOverUntilLast goes on until nobody is leaving.
func (s *successor) takeOverUntilLast() {
	_, idle := descriptorLimits(s.config)
	s.host.SetMaxIdleConns(idle / 2)
	if s.listenGossip(); s.gossip != nil {
		s.host.StartGossip(s.gossip, fleetIdentity(s.config))
	}
	for s.takeOver() {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(takeOverInterval):
		}
	}
	if s.ctx.Err() != nil {
		return
	}
	clients, idle := descriptorLimits(s.config)
	s.host.SetMaxIdleConns(idle)
	s.server.Load().Configure(&s.config.Settings, clients)
	s.takingOver.Store(false)
	s.log.Info("the process before has left, all is taken over")
}

// waitCommitted waits until something taken over is in the journal. Where this process has to leave itself it waits on, but not for a disk that takes no
// records. Guards against a message that goes on from here while its room says that it was never tried.
func (s *successor) waitCommitted(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-s.ctx.Done():
	}
	for {
		writable := s.host.JournalWritable()
		select {
		case <-done:
			return true
		default:
		}
		if !writable {
			return false
		}
	}
}

// adoptTransfers takes over what was given.
func (s *successor) adoptTransfers(leaving bool) {
	for _, name := range s.stateDir.Transfers() {
		sender := processdir.TransferSender(name)
		if s.unreadable[name] || s.latestTransfer[sender] == name || s.ctx.Err() != nil {
			continue
		}
		var messages []*memory.Message
		var update *handover.Update
		var raw []byte
		err := s.retry("a given file can't be read", func() (err error) {
			raw, err = s.stateDir.ReadTransfer(name)
			return err
		})
		if err == nil {
			var text []byte
			if messages, text, err = journal.DecodeTransfer(raw, s.stateDir.TimeScale()); err == nil {
				update, err = handover.Decode(text)
			}
		}
		if err != nil {
			s.unreadable[name] = true
			s.log.Error("given file not taken over", "file", name, "err", err)
			continue
		}
		if !leaving {
			update = &handover.Update{Numbering: update.Numbering} // who gave it is gone, perhaps for long
		}
		if s.waitCommitted(s.host.Adopt(wire.Transfer{Sender: sender, Messages: messages, Update: update})) {
			s.keepLatestTransfer(name, sender, update, len(messages) > 0)
		}
	}
}

// keepLatestTransfer lets a file of the spool go that is taken over. The latest one of each process stays, without its messages: should this process be killed, the one
// that comes after it has to know what the other still owes.
func (s *successor) keepLatestTransfer(name, from string, update *handover.Update, hadMessages bool) {
	if previous, ok := s.latestTransfer[from]; ok {
		s.removeTransfer(previous)
	}
	s.latestTransfer[from] = name
	if !hadMessages {
		return
	}
	if err := s.stateDir.ReplaceTransfer(name, journal.EncodeTransfer(nil, update.Encode(), s.stateDir.TimeScale())); err != nil {
		s.log.Warn("news of the process before are not kept for another start", "file", name, "err", err)
		s.removeTransfer(name)
		delete(s.latestTransfer, from)
	}
}

// removeTransfer removes a file of the spool.
func (s *successor) removeTransfer(name string) {
	if err := s.stateDir.RemoveTransfer(name); err != nil {
		s.unreadable[name] = true
		s.log.Error("given file is taken over but stays", "file", name, "err", err)
	}
}

// freeBytes is what is free of the disk, over all processes.
func (r *relay) freeBytes() int64 { return r.config.DiskBytes - r.stateDir.UsedBytes(nil) }

// handOver leaves the relay to a process that stands by, and tells whether there was one that it could be left to.
func (r *relay) handOver() bool {
	running, abandoned, err := r.stateDir.Others(r.dir)
	for _, dir := range abandoned {
		r.stateDir.Release(dir, false)
	}
	running = slices.DeleteFunc(running, func(name string) bool { return r.stateDir.Status(name) != processdir.StatusReady })
	if err != nil || len(running) == 0 {
		return false
	}
	began, server := time.Now(), r.server.Load()
	r.host.SetJournalShare(r.diskBytes(), r.stateDir.UsedBytes(r.dir), false)
	if r.host.HandOver(r.stateDir.WriteTransfer, server.Drained(), handover.MaxTransferBytes(r.freeBytes())) != nil {
		return false
	}
	r.log.Info("handing over", "standing_by", running)
	if r.gossip != nil {
		r.gossip.Close()
		r.gossip = nil
	}
	if err := r.stateDir.ReleaseLeaderLock(); err != nil {
		r.log.Error("the baton is not given up before this process ends", "err", err)
	}
	server.HandleDrainEvent(drain.HandOver)
	progress, listenerClosed, readsStopped := handover.Progress{}, false, false
	for {
		if len(r.stateDir.Transfers()) < maxPendingTransfers {
			r.host.TransferRemaining(handover.MaxTransferBytes(r.freeBytes()))
		}
		// In this order: once nothing is accepted, no connection is added.
		progress.Listening = server.Accepting()
		progress.Elapsed, progress.ClientConns = time.Since(began), server.OpenConnections()
		if !readsStopped && progress.Elapsed >= stopReadsAfter {
			server.StopReads()
			readsStopped = true
		}
		progress.Pending, progress.CallsInFlight, progress.NotTransferable = r.host.Remaining()
		progress.SuccessorServing = progress.SuccessorServing || slices.ContainsFunc(running, func(name string) bool { return r.stateDir.Status(name) == processdir.StatusServing })
		switch handover.NextAction(progress) {
		case handover.Exit:
			r.log.Info("handed over", "left_in_room", progress.Pending, "calls_out", progress.CallsInFlight)
			return true
		case handover.StopListening:
			if !listenerClosed {
				server.StopListening()
			}
			listenerClosed = true
		}
		time.Sleep(handOverInterval)
	}
}
