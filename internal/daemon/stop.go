package daemon

import (
	"log/slog"
	"time"

	"oatfold/internal/drain"
	"oatfold/internal/wire"
)

// This file is about how the relay leaves service: drains, and the course of a planned stop.

// The course of a planned stop, from SIGTERM on. SIGKILL follows after 3.7 s at the earliest.
const (
	stopRiskyAttemptsAfter = 2500 * time.Millisecond // then no route step begins whose end is needed: it may not be repeated
	stopAttemptsAfter      = 3100 * time.Millisecond // then none begins at all
	stopReadsAfter         = 3200 * time.Millisecond // then no request of a client is read any more
	exitAfter              = 3450 * time.Millisecond // what is out by then may have run
	stopCheckInterval      = 20 * time.Millisecond
)

// announceDrain tells the fleet that this relay has been emptied, once it is empty, or that it is back.
func (r *relay) announceDrain() {
	drained := r.server.Load().Drained()
	if drained == r.announcedDrain {
		return
	}
	if pending, _ := r.host.Load(); drained && pending > 0 {
		return // it still makes calls
	}
	r.announcedDrain = drained
	r.host.SetLeaving(drained)
}

// saveDrain keeps in the state folder whether the operators have emptied the relay, so that a crash does not end a drain. It waits for the disk, on a
// goroutine that nobody waits for. What holds when it gets there counts, whichever call came last.
func (r *relay) saveDrain() {
	r.drainMark.Lock()
	defer r.drainMark.Unlock()
	server := r.server.Load()
	if err := r.stateDir.SetDrained(server.Drained() && !r.stopping.Load()); err != nil {
		r.log.Warn("a drain, or its end, is not kept: a crash would undo it", "err", err)
	}
}

// stopPlanned serves on for a moment, closes the front socket, finishes the calls that are out and leaves the
// rest in the journal.
func stopPlanned(host *wire.Host, server *wire.Server, log *slog.Logger) {
	began := time.Now()
	log.Info("stopping")
	server.HandleDrainEvent(drain.Stop)
	host.SetLeaving(true)
	time.Sleep(drain.ServeOn)
	stopPrepared, attemptsStopped, readsStopped := false, false, false
	for time.Since(began) < exitAfter {
		pending, inFlight := host.Load()
		// Guards against a connection that is accepted between two looks: once nothing is accepted, none is added.
		if listening := server.Accepting(); !listening && server.OpenConnections() == 0 && inFlight == 0 && (pending == 0 || attemptsStopped) {
			break
		}
		if !stopPrepared && time.Since(began) >= stopRiskyAttemptsAfter {
			host.PrepareStop()
			stopPrepared = true
		}
		if !attemptsStopped && time.Since(began) >= stopAttemptsAfter {
			host.StopSteps()
			attemptsStopped = true
		}
		if !readsStopped && time.Since(began) >= stopReadsAfter {
			server.StopReads()
			readsStopped = true
		}
		time.Sleep(stopCheckInterval)
	}
	pending, inFlight := host.Load()
	log.Info("stopped", "left_in_journal", pending, "calls_out", inFlight)
}
