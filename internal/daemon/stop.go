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
	riskOn   = 2500 * time.Millisecond // then no route step begins whose end is needed: it may not be repeated
	stepOn   = 3100 * time.Millisecond // then none begins at all
	readOn   = 3200 * time.Millisecond // then no request of a client is read any more
	leaveBy  = 3450 * time.Millisecond // what is out by then may have run
	lookTurn = 20 * time.Millisecond
)

// tellDrain tells the fleet that this relay has been emptied, once it is empty, or that it is back.
func (r *relay) tellDrain() {
	drained := r.front.Load().Drained()
	if drained == r.toldDrain {
		return
	}
	if held, _ := r.host.Load(); drained && held > 0 {
		return // it still makes calls
	}
	r.toldDrain = drained
	r.host.SetLeaving(drained)
}

// markDrain keeps in the state folder whether the operators have emptied the relay, so that a crash does not end a drain. It waits for the disk, on a
// goroutine that nobody waits for. What holds when it gets there counts, whichever call came last.
func (r *relay) markDrain() {
	r.marking.Lock()
	defer r.marking.Unlock()
	f := r.front.Load()
	if err := r.folder.SetDrained(f.Drained() && !r.stopping.Load()); err != nil {
		r.log.Warn("a drain, or its end, is not kept: a crash would undo it", "err", err)
	}
}

// stopping serves on for a moment, closes the front socket, finishes the calls that are out and leaves the
// rest in the journal.
func stopping(host *wire.Host, front *wire.Server, log *slog.Logger) {
	began := time.Now()
	log.Info("stopping")
	front.HandleDrainEvent(drain.Stop)
	host.SetLeaving(true)
	time.Sleep(drain.StopAcceptGrace)
	leaving, quiet, read := false, false, false
	for time.Since(began) < leaveBy {
		held, out := host.Load()
		// Guards against a connection that is accepted between two looks: once nothing is accepted, none is added.
		if accepting := front.Accepting(); !accepting && front.OpenConnections() == 0 && out == 0 && (held == 0 || quiet) {
			break
		}
		if !leaving && time.Since(began) >= riskOn {
			host.PrepareStop()
			leaving = true
		}
		if !quiet && time.Since(began) >= stepOn {
			host.StopSteps()
			quiet = true
		}
		if !read && time.Since(began) >= readOn {
			front.StopReads()
			read = true
		}
		time.Sleep(lookTurn)
	}
	held, out := host.Load()
	log.Info("stopped", "left_in_journal", held, "calls_out", out)
}
