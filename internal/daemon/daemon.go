// Package daemon starts and stops the relay.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/drain"
	"oatfold/internal/figures"
	"oatfold/internal/memory/journal"
	"oatfold/internal/plugin"
	"oatfold/internal/wire"
)

// The course of a planned stop, from SIGTERM on. SIGKILL follows after 3.7 s at the earliest.
const (
	riskOn   = 2500 * time.Millisecond // then no route step begins whose end is needed: it may not be repeated
	stepOn   = 3100 * time.Millisecond // then none begins at all
	leaveBy  = 3450 * time.Millisecond // what is out by then may have run
	lookTurn = 20 * time.Millisecond
)

// memoryShare of the limit is what the garbage collector aims to stay under.
const memoryShare = 0.6

// bodyShare of the memory limit, one part in so many, is what bodies of held messages may take; beyond it they are in the
// journal only.
const bodyShare = 8

// ownFiles is what descriptors the process needs for itself: standard ones, journal, poll, listener, discovery.
const ownFiles = 24

// sockets shares the descriptors out: besides its own files and a connection for each slot, up to a quarter may be idle
// connections to endpoints and up to half clients' connections. Clients use a third, the rest is for crowds that say
// nothing. Guards against calls that fail for want of a descriptor, where slots are many.
func sockets(c *config.Config) (clients, idle int) {
	own := ownFiles
	if c.Admin != "" {
		own += admin.Most + 1
	}
	rest := max(2, c.Sockets-own-c.Settings.Slots)
	idle = min(c.Sockets/4, rest/3)
	return max(1, min(c.Sockets/2, rest-idle)), idle
}

// Sources is where a relay's configuration comes from, at the start and at each SIGHUP.
type Sources struct {
	Platform func() (*config.Config, error)
	Operator func(*config.Config) (*operator.Config, error) // nil: no operator's file
}

// plug is what a load of plug-ins came to.
type plug struct {
	set *plugin.Set
	err error
}

// plugins loads what the operator's file says, off the serving path.
func (s Sources) plugins(ctx context.Context, c *config.Config, log *slog.Logger) <-chan plug {
	done := make(chan plug, 1)
	if s.Operator == nil {
		done <- plug{}
		return done
	}
	go func() {
		oc, err := s.Operator(c)
		if err != nil {
			done <- plug{err: err}
			return
		}
		set, err := plugin.LoadSet(ctx, oc.Plugins, log)
		done <- plug{set, err}
	}()
	return done
}

// Run serves until SIGTERM or SIGINT. SIGHUP makes it read its sources again and go on with what they say.
func Run(from Sources, log *slog.Logger) error {
	load := from.Platform
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1) // from the start on: unheard it would end the process
	c, err := load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryAim(c))
	// The operators' calls are answered while a journal is read, too.
	var front atomic.Pointer[wire.Front]
	count := &figures.Set{}
	if c.Admin != "" {
		ln, err := net.Listen("tcp", c.Admin)
		if err != nil {
			return fmt.Errorf("admin (ROUTER_ADMIN): %w", err)
		}
		defer admin.Serve(ln, calls(&front, count, log)).Close()
	}
	bodies := c.MemoryBytes / bodyShare
	if from.Operator != nil {
		oc, err := from.Operator(c)
		if err != nil {
			return fmt.Errorf("operator's file: %w", err)
		}
		if oc.Bodies > 0 {
			bodies = oc.Bodies
		}
	}
	kept, table, err := journal.Open(journal.Config{FS: journal.Dir(c.State), Budget: c.DiskBytes, Bodies: bodies, Log: log})
	if err != nil {
		return fmt.Errorf("ROUTER_STATE: %w", err)
	}
	defer kept.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := &plugin.Holder{}
	for first := from.plugins(ctx, c, log); first != nil; {
		select {
		case p := <-first:
			first = nil
			if p.set == nil && p.err != nil {
				return fmt.Errorf("operator's file: %w", p.err)
			}
			if p.err != nil {
				// The relay serves all the same: messages that need a plug-in which is not there go by its rule.
				log.Error("plug-ins not loaded", "err", p.err)
			}
			holder.Put(p.set)
		case sig := <-signals:
			if sig != syscall.SIGHUP { // what it asks for is being read
				return nil
			}
		}
	}
	set := hostConfig(c)
	set.Plugins, set.Figures = holder, count
	set.Table, set.Journal, set.Log = table, kept, log
	// Notes between relays are a help: where their socket can't be had, the relay serves without.
	if len(c.Peers) > 0 {
		notes, err := wire.ListenNotes(c.PeerListen, c.Peers, log)
		if err != nil {
			log.Warn("no notes between relays", "peer_listen", c.PeerListen, "err", err)
		} else {
			defer notes.Close()
			set.Notes, set.Me = notes, c.Me
		}
	}
	host, err := wire.NewHost(set)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	clients, _ := sockets(c)
	sock := wire.NewFront(ln, &c.Settings, clients, host.Events(), log)
	sock.Plug(holder)
	sock.Count(count)
	go func() {
		for range traces {
			if err := sock.Trace(os.Stderr); err != nil {
				log.Error("trace not written", "err", err)
			}
		}
	}()
	host.Watch(c.Discovery)
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() { host.Run(ended); close(done) }()
	go sock.Serve()
	giveBack()
	sock.Turn(drain.Started)
	front.Store(sock)
	log.Info("ready", "name", c.Name, "listen", c.Listen, "discovery", c.Discovery, "slots", c.Settings.Slots, "held_most", c.Settings.MaxHeld)

	var loading <-chan plug // of a reload
	stopLoading := func() {}
	for serving := true; serving; {
		select {
		case sig := <-signals:
			if serving = sig == syscall.SIGHUP; serving {
				c = reload(c, load, host, sock, log)
				stopLoading() // Guards against an older file that comes into force after a newer one
				go drop(loading)
				var now context.Context
				now, stopLoading = context.WithCancel(ctx)
				loading = from.plugins(now, c, log)
			}
		case p := <-loading:
			loading = nil
			swap(p, holder, log)
		}
	}
	stopLoading()
	stopping(host, sock, log)
	close(ended)
	<-done
	return nil
}

// calls is what the operators can ask for. A drain that is told before the relay serves is answered with no.
func calls(front *atomic.Pointer[wire.Front], count *figures.Set, log *slog.Logger) admin.Calls {
	return admin.Calls{Log: log, Stats: count.Append,
		Serving: func() bool { f := front.Load(); return f != nil && f.Serving() },
		Drain: func(on bool) bool {
			f := front.Load()
			if f == nil {
				return false
			}
			e := drain.OK
			if on {
				e = drain.Fail
			}
			f.Turn(e)
			return true
		}}
}

// drop lets go of plug-ins that nobody waits for any more.
func drop(loading <-chan plug) {
	if loading != nil {
		(<-loading).set.Done()
	}
}

// swap brings reloaded plug-ins into force, or leaves all as it was.
func swap(p plug, holder *plugin.Holder, log *slog.Logger) {
	if p.err != nil {
		log.Error("plug-ins not reloaded, the old ones stay", "err", p.err)
		p.set.Done()
		return
	}
	if p.set != nil {
		holder.Put(p.set)
		log.Info("plug-ins reloaded", "count", len(p.set.Plugins()))
	}
}

func memoryAim(c *config.Config) int64 { return int64(float64(c.MemoryBytes) * memoryShare) }

func hostConfig(c *config.Config) wire.HostConfig {
	_, idle := sockets(c)
	return wire.HostConfig{Settings: c.Settings, Seed: c.Seed, ConnectTimeout: c.ConnectTimeout, Reports: c.Reports,
		IdleMost: idle, Known: c.Known, DiskBytes: c.DiskBytes}
}

// reload puts the configuration as it is now in force and returns it. Guards against a file that is wrong or half
// written: it is read and checked whole before anything changes, and the old one stays.
func reload(old *config.Config, load func() (*config.Config, error), host *wire.Host, front *wire.Front, log *slog.Logger) *config.Config {
	log.Info("reloading")
	c, err := load()
	if err == nil {
		err = host.Reload(hostConfig(c), c.Discovery)
	}
	if err != nil {
		log.Error("configuration not reloaded, the old one stays", "err", err)
		return old
	}
	if c.Admin != old.Admin {
		log.Warn("admin changes with the next start only", "admin", old.Admin, "configured", c.Admin)
		c.Admin = old.Admin
	}
	if c.Listen != old.Listen {
		log.Warn("listen changes with the next start only", "listen", old.Listen, "configured", c.Listen)
		c.Listen = old.Listen
	}
	debug.SetMemoryLimit(memoryAim(c))
	clients, _ := sockets(c)
	front.Configure(&c.Settings, clients)
	log.Info("reloaded", "discovery", c.Discovery, "slots", c.Settings.Slots, "held_most", c.Settings.MaxHeld)
	return c
}

// stopping serves on for a moment, closes the front socket, finishes the calls that are out and leaves the
// rest in the journal.
func stopping(host *wire.Host, front *wire.Front, log *slog.Logger) {
	began := time.Now()
	log.Info("stopping")
	front.Turn(drain.Stop)
	time.Sleep(drain.ServeOn)
	leaving, quiet := false, false
	for time.Since(began) < leaveBy {
		held, out := host.Load()
		if out == 0 && front.Busy() == 0 && (held == 0 || quiet) {
			break
		}
		if !leaving && time.Since(began) >= riskOn {
			host.Leave()
			leaving = true
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
