// Package daemon starts and stops the relay.
package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"oatfold/internal/daemon/config"
	"oatfold/internal/memory"
	"oatfold/internal/wire"
)

// The course of a planned stop, from SIGTERM on. SIGKILL follows after 3.7 s at the earliest.
const (
	serveOn  = 450 * time.Millisecond  // new connections keep coming for so long
	stepOn   = 2000 * time.Millisecond // then no route step begins
	leaveBy  = 3450 * time.Millisecond // what is out by then may have run
	lookTurn = 20 * time.Millisecond
)

// memoryShare of the limit is what the garbage collector aims to stay under.
const memoryShare = 0.6

// Run serves until SIGTERM or SIGINT.
func Run(c *config.Config, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * memoryShare))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	journal, table, err := memory.OpenJournal(c.State, c.DiskBytes, log)
	if err != nil {
		return fmt.Errorf("ROUTER_STATE: %w", err)
	}
	defer journal.Close()
	host, err := wire.NewHost(wire.HostConfig{Settings: c.Settings, Seed: c.Seed, ConnectTimeout: c.ConnectTimeout, IdleMost: c.Sockets / 4,
		Known: c.Known, Table: table, Journal: journal, Log: log})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := wire.NewFront(ln, &c.Settings, max(1, c.Sockets/2), host.Events(), log)
	host.Watch(c.Discovery)
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() { host.Run(ended); close(done) }()
	go front.Serve()
	front.Ready(true)
	log.Info("ready", "name", c.Name, "listen", c.Listen, "slots", c.Settings.Slots, "held_most", c.Settings.MaxHeld)

	<-stop
	stopping(host, front, log)
	close(ended)
	<-done
	return nil
}

// stopping serves on for a moment, closes the front socket, finishes the calls that are out and leaves the
// rest in the journal.
func stopping(host *wire.Host, front *wire.Front, log *slog.Logger) {
	began := time.Now()
	log.Info("stopping")
	time.Sleep(serveOn)
	front.Drain()
	quiet := false
	for time.Since(began) < leaveBy {
		held, out := host.Load()
		if out == 0 && front.Busy() == 0 && (held == 0 || quiet) {
			break
		}
		if !quiet && time.Since(began) >= stepOn {
			host.Quiet()
			quiet = true
		}
		time.Sleep(lookTurn)
	}
	held, out := host.Load()
	log.Info("stopped", "left_in_journal", held, "calls_out", out)
}
