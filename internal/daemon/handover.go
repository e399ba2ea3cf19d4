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
	"oatfold/internal/transient"
	"oatfold/internal/wire"
)

const (
	takeOverInterval    = 10 * time.Millisecond // between two scans for transfers of the previous process
	handOverInterval    = 5 * time.Millisecond  // between two checks in the leaving process
	maxPendingTransfers = 4                     // its own files in the spool at which the leaving process waits
)

// successor takes over what other processes of this relay leave. It waits for the disk: while a
// process is still leaving, it runs on a goroutine of its own.
type successor struct {
	*relay
	ctx        context.Context
	unreadable map[string]bool // files of the spool that can't be read; they stay for an operator
	// By sender: its latest file that was adopted. It stays in the spool without its messages, for
	// a successor that is restarted.
	latestTransfer map[string]string
	leaving        []string // directories of the processes that are leaving
	steps          []unfinishedStep
	unadopted      unadopted
	finishing      bool // the takeover is over but for what could not be read before
}

func newSuccessor(ctx context.Context, r *relay) *successor {
	return &successor{relay: r, ctx: ctx, unreadable: map[string]bool{}, latestTransfer: map[string]string{}}
}

// takeOverRetryLimit is how long reading is retried before what can't be read is left alone.
const takeOverRetryLimit = 5 * time.Second

// retry calls step until it succeeds, fails permanently, or this process is told to stop.
func (s *successor) retry(what string, step func() error) error {
	return retryTransient(what, takeOverRetryLimit, func() bool {
		return s.ctx.Err() != nil || len(s.terminate) > 0
	}, s.log, step)
}

// takeOver adopts what other processes have left so far, and reports whether one is still leaving.
func (s *successor) takeOver() (leaving bool) {
	s.host.BeginTransferScan()
	others := s.listOthers()
	s.leaving = s.leavingAmong(others.running)
	leaving = len(s.leaving) > 0
	// A message may be both in a directory and in a transfer: the transfer is read first. All
	// transfers of the process of an abandoned directory are there by now.
	s.adoptTransfers(leaving)
	s.adoptAll(s.openJournals(others.abandoned))
	if s.ctx.Err() != nil {
		return leaving // not complete: later messages of an ordering key must not overtake what is left
	}
	if !leaving {
		s.removeLatestTransfers()
		s.kept.forget()
		s.stateDir.RemovePartialTransfers()
		s.waitCommitted(s.host.Adopt(wire.Transfer{LastProcess: true}))
	} else if s.ctx.Err() == nil {
		s.host.EndTransferScan()
	}
	s.updateJournalShare()
	s.leavingProcesses.Store(int32(len(s.leaving)))
	s.applyLimits()
	return leaving
}

// otherProcesses are the directories of other processes, as far as they could be listed.
type otherProcesses struct {
	running   []string
	abandoned []*processdir.Dir // locked by this process
}

// listOthers lists the directories of other processes.
func (s *successor) listOthers() (others otherProcesses) {
	err := s.retry("directories of other processes can't be listed", func() (err error) {
		for _, dir := range others.abandoned {
			s.stateDir.Release(dir, false) // locked by an attempt that failed
		}
		others.running, others.abandoned, err = s.stateDir.Others(s.dir)
		return err
	})
	if s.unadopted.unlisted = err != nil; err != nil {
		s.beginUnadopted()
		s.log.Error("directories of other processes not listed", "err", err)
	}
	return others
}

// leavingAmong returns the directories of those running processes that are still leaving.
func (s *successor) leavingAmong(running []string) (leaving []string) {
	for _, name := range running {
		if s.stateDir.Status(name) == processdir.StatusServing {
			leaving = append(leaving, name)
		}
	}
	return leaving
}

// takeOverUntilLast opens gossip and repeats takeOver until no other process is leaving.
func (s *successor) takeOverUntilLast() {
	s.joinFleet(s.configuration())
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
	s.takingOver.Store(false)
	s.log.Info("the process before has left, all is taken over")
	s.finish()
}

// waitCommitted waits until adopted messages are in the journal, and reports whether they are. When
// this process has to stop it still waits, unless the journal can't be written: a message must not
// be sent from here while its old directory says that it was never attempted.
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

// adoptTransfers adopts the files of the spool. Unless a process is still leaving, all senders have
// ended, and only the numbering and the incarnation count of their updates.
func (s *successor) adoptTransfers(leaving bool) {
	s.unadopted.unreadTransfers = false
	for _, name := range s.stateDir.Transfers() {
		sender := processdir.TransferSender(name)
		if s.unreadable[name] || s.latestTransfer[sender] == name || s.ctx.Err() != nil {
			continue
		}
		var messages []*memory.Message
		var update *handover.Update
		var raw []byte
		err := s.retry("a transfer can't be read", func() (err error) {
			raw, err = s.stateDir.ReadTransfer(name)
			return err
		})
		if transient.Is(err) {
			s.unadopted.unreadTransfers = true
			s.beginUnadopted()
			continue
		}
		if err == nil {
			var text []byte
			if messages, text, err = journal.DecodeTransfer(raw, s.stateDir.TimeScale()); err == nil {
				update, err = handover.Decode(text)
			}
		}
		if err != nil {
			s.unreadable[name] = true
			s.log.Error("transfer not adopted", "file", name, "err", err)
			continue
		}
		if update.Drained != nil && !s.finishing { // by then this process has had orders of its own
			s.inheritDrain(*update.Drained)
		}
		if !leaving {
			// Its sender has ended, perhaps long ago.
			update = &handover.Update{Numbering: update.Numbering, Incarnation: update.Incarnation}
		}
		s.kept.tell(sender, update.Kept)
		messages = s.withoutKnown(messages)
		for _, m := range messages {
			s.unadopted.addKnown(m.ID)
		}
		if s.waitCommitted(s.host.Adopt(wire.Transfer{Sender: sender, Messages: messages, Update: update})) {
			s.keepLatestTransfer(name, sender, update.ForRestart(), len(raw))
		}
	}
}

// keepLatestTransfer removes a transfer that has been adopted. The latest one of each process stays
// without its messages: if this process is killed, the next one has to know what is still pending
// at the sender. size is that of its file, which may have more than that.
func (s *successor) keepLatestTransfer(name, sender string, update *handover.Update, size int) {
	if previous, ok := s.latestTransfer[sender]; ok {
		s.removeTransfer(previous)
	}
	s.latestTransfer[sender] = name
	content := journal.EncodeTransfer(nil, update.Encode(), s.stateDir.TimeScale())
	if len(content) == size {
		return
	}
	if err := s.stateDir.ReplaceTransfer(name, content); err != nil {
		s.log.Warn("update of the previous process can't be kept for a restart", "file", name, "err", err)
		s.removeTransfer(name)
		delete(s.latestTransfer, sender)
	}
}

// removeLatestTransfers removes the files that were kept for a restart while a process was leaving.
func (s *successor) removeLatestTransfers() {
	for _, name := range s.latestTransfer {
		s.removeTransfer(name)
	}
	clear(s.latestTransfer)
}

// removeTransfer removes a file of the spool. One that can't be removed now is not read again, and
// is removed later.
func (s *successor) removeTransfer(name string) {
	if err := s.stateDir.RemoveTransfer(name); err != nil {
		s.unreadable[name] = true
		s.log.Error("adopted transfer can't be removed", "file", name, "err", err)
		s.keepLeftover(name, func() error { return s.stateDir.RemoveTransfer(name) })
	}
}

// handOver hands the relay over to a standby process and waits until this one may exit. It returns
// false if no process stands by or the handover can't begin.
func (r *relay) handOver() bool {
	running, abandoned, err := r.stateDir.Others(r.dir)
	for _, dir := range abandoned {
		r.stateDir.Release(dir, false)
	}
	running = slices.DeleteFunc(running, func(name string) bool {
		return r.stateDir.Status(name) != processdir.StatusReady
	})
	if err != nil || len(running) == 0 {
		return false
	}
	began, server := time.Now(), r.server.Load()
	conns := r.beginLeaving(server)
	if r.host.HandOver(wire.Handover{Send: r.stateDir.WriteTransfer, ProcessDir: r.dir.Name,
		Use: wire.LeavingUse{Disk: r.diskUse(), ClientConns: conns.kept}, Drained: server.Drained()}) != nil {
		r.restoreLimits()
		return false
	}
	r.log.Info("handing over", "standing_by", running)
	if r.gossip != nil {
		r.gossip.Close()
		r.gossip = nil
	}
	if err := r.stateDir.ReleaseLeaderLock(); err != nil {
		r.log.Error("leader lock not released until this process ends", "err", err)
	}
	server.HandleDrainEvent(drain.HandOver)
	progress, listenerClosed, readsStopped := handover.Progress{}, false, false
	for {
		r.passOnReload()
		// Read in this order: once the listener is closed, no connection is added.
		progress.Listening = server.Accepting()
		progress.Elapsed, progress.ClientConns = time.Since(began), server.OpenConnections()
		conns.lower(progress.ClientConns, progress.Listening)
		r.host.TransferRemaining(wire.LeavingUse{Disk: r.diskUse(), ClientConns: conns.kept},
			r.stateDir.OwnTransfers() < maxPendingTransfers)
		if !readsStopped && progress.Elapsed >= stopReadsAfter {
			server.StopReads()
			readsStopped = true
		}
		progress.Pending, progress.CallsInFlight, progress.NotTransferable = r.host.Remaining()
		progress.SuccessorServing = progress.SuccessorServing || slices.ContainsFunc(running, func(name string) bool {
			return r.stateDir.Status(name) == processdir.StatusServing
		})
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

// passOnReload has the next process reload if this one was told to while it hands over. Its own
// configuration stays: it is about to end.
func (r *relay) passOnReload() {
	select {
	case <-r.hangup:
		r.reloadUnmarked = true
	default:
	}
	if r.reloadUnmarked {
		r.markReload()
	}
}
