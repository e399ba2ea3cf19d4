package daemon

import (
	"log/slog"
	"time"

	"oatfold/internal/drain"
	"oatfold/internal/handover"
	"oatfold/internal/wire"
)

// This file takes the relay out of service: drains and planned stops.

// Phases of a planned stop, counted from SIGTERM. SIGKILL follows after 3.7 s at the earliest.
const (
	stopRiskyAttemptsAfter = 2500 * time.Millisecond // no more attempts that must not be repeated
	stopAttemptsAfter      = 3100 * time.Millisecond // no more attempts at all
	stopReadsAfter         = 3200 * time.Millisecond // no more client requests are read
	exitAfter              = handover.ExitAfter      // calls still in flight may have been executed
	stopCheckInterval      = 20 * time.Millisecond
)

// announceDrain announces to the fleet when this relay is drained and empty, and when it is back.
func (r *relay) announceDrain() {
	drained := r.server.Load().Drained()
	if drained == r.announcedDrain {
		return
	}
	if pending, _ := r.host.Load(); drained && pending > 0 {
		return // it is still sending
	}
	r.announcedDrain = drained
	r.host.SetLeaving(drained)
}

// stopPlanned serves for drain.StopAcceptGrace, closes the listener, and waits for pending messages
// and client connections, at most until exitAfter. What is still pending stays in the journal.
func stopPlanned(host *wire.Host, server *wire.Server, log *slog.Logger) {
	began := time.Now()
	log.Info("stopping")
	server.HandleDrainEvent(drain.Stop)
	host.SetLeaving(true)
	time.Sleep(drain.StopAcceptGrace)
	stopPrepared, attemptsStopped, readsStopped := false, false, false
	for time.Since(began) < exitAfter {
		pending, inFlight := host.Load()
		// Read in this order: once the listener is closed, no connection is added.
		if listening := server.Accepting(); !listening && server.OpenConnections() == 0 && inFlight == 0 &&
			(pending == 0 || attemptsStopped) {
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
