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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/drain"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/internal/sites"
	"oatfold/internal/transient"
	"oatfold/internal/wire"
)

// bodyShare of the memory limit, one part in so many, is what bodies of held messages may take; beyond it they are in the
// journal only.
const bodyShare = 8

// smallFiles is what the state folder's files besides journals take: the baton, the mark of the clock, a lock for each room.
const smallFiles = 2560

// ownFiles is what descriptors the process needs for itself: standard ones, journal, poll, listener, discovery.
const ownFiles = 24

// besides is what a process that stands by holds, where operators are there to start one.
const besides = 16

// besidesTurn is between two looks at who stands by.
const besidesTurn = time.Second

// sockets shares the descriptors out: besides its own files, a connection for each slot and some that are listened to behind the end of
// their calls, up to a quarter may be idle
// connections to endpoints and up to half clients' connections. Clients use a third, the rest is for crowds that say
// nothing. Guards against calls that fail for want of a descriptor, where slots are many.
func sockets(c *config.Config) (clients, idle int) {
	own := ownFiles + wire.MaxLateListeners
	if c.AdminAddr != "" {
		own += admin.MaxConns + 1 + besides
	}
	rest := max(2, c.MaxDescriptors-own-c.Settings.MaxConcurrentCalls)
	idle = min(c.MaxDescriptors/4, rest/3)
	return max(1, min(c.MaxDescriptors/2, rest-idle)), idle
}

// relay is one process of a relay as it runs.
type relay struct {
	from ConfigSources
	c    *config.Config
	log  *slog.Logger
	// A signal of its own for each: reloads that wait never push a stop out. One that waits stands for all that come meanwhile.
	terminate, hangup chan os.Signal
	folder            *processdir.StateDir
	room              *processdir.Dir
	host              *wire.Host
	serving           atomic.Pointer[wire.Host]   // nil: there is none yet
	zones             []string                    // names, as configured at the start
	front             atomic.Pointer[wire.Server] // nil: it does not serve yet
	standby           atomic.Bool                 // it could, and waits for the baton
	notes             *wire.GossipSocket
	holder            *plugin.Holder
	count             *metrics.Set
	loading           <-chan plug // plug-ins of a reload
	reading           <-chan read // the configuration of a reload; nil: none is read
	again             bool        // one was asked for while it was read

	inheriting atomic.Bool // the process before is still leaving
	marking    sync.Mutex  // of what the state folder says of a drain
	stopping   atomic.Bool // a planned stop, which ends a drain
	toldDrain  bool        // the fleet knows that this relay is drained and empty
	others     int64       // bytes of the state folder outside the own room, as of the last look
	stop       func()      // their loading
}

// Run serves until SIGTERM or SIGINT. SIGHUP makes it read its sources again and go on with what they say. Where another process of
// the same relay serves, it stands by until that one leaves.
func Run(from ConfigSources, log *slog.Logger) error {
	r := &relay{from: from, log: log, terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1), holder: &plugin.Holder{}, count: &metrics.Set{}, stop: func() {}}
	signal.Notify(r.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(r.hangup, syscall.SIGHUP)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1) // from the start on: unheard it would end the process
	var c *config.Config
	err := r.starting("configuration can't be read", func() (err error) {
		c, err = from.LoadPlatform()
		return err
	})
	if err != nil {
		return r.startFailed(err)
	}
	r.c, r.zones = c, c.ZoneNames
	debug.SetMemoryLimit(memoryAim(c))
	// The operators' calls are answered while a journal is read, too.
	if c.AdminAddr != "" {
		var ln net.Listener
		err := r.starting("admin address can't be had", func() (err error) {
			ln, err = net.Listen("tcp", c.AdminAddr)
			return err
		})
		if err != nil {
			return r.startFailed(fmt.Errorf("admin (ROUTER_ADMIN): %w", err))
		}
		defer admin.Serve(ln, r.calls()).Close()
	}
	bodies := c.MemoryBytes / bodyShare
	var plan *sites.Plan
	if from.LoadOperator != nil {
		var oc *operator.Config
		err := r.starting("operator's file can't be read", func() (err error) {
			oc, err = from.LoadOperator(c)
			return err
		})
		if err != nil {
			return r.startFailed(fmt.Errorf("operator's file: %w", err))
		}
		if oc.BodyMemoryBytes > 0 {
			bodies = oc.BodyMemoryBytes
		}
		plan = oc.Sites
	}
	active, err := r.enter()
	if err != nil {
		return r.startFailed(err)
	}
	budget := r.disk() - r.folder.UsedBytes(r.room)
	if !active {
		budget = handover.JournalBudget(r.disk(), 0, r.folder.UsedBytes(r.room))
	}
	var kept *journal.Journal
	var table *memory.Table
	err = r.starting("journal can't be opened", func() (err error) {
		kept, table, err = journal.Open(journal.Config{FS: journal.Dir(r.room.Path), Budget: budget, MaxBodyBytes: bodies, TimeScale: r.folder.TimeScale(), Log: log})
		return err
	})
	if err != nil {
		return r.startFailed(fmt.Errorf("ROUTER_STATE: %w", err))
	}
	defer kept.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
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
			r.holder.Replace(p.set)
		case <-r.terminate: // a reload waits until there is something to reload
			return nil
		}
	}
	set := hostConfig(c)
	set.ZoneNames, set.HomeZone, set.Sites = c.ZoneNames, r.home(), plan
	set.Plugins, set.Metrics = r.holder, r.count
	set.Table, set.Journal, set.Log = table, kept, log
	set.DateScale = r.folder.TimeScale()
	set.Standby = !active || r.shared()
	if active {
		if r.listenNotes(); r.notes != nil {
			set.GossipSocket, set.Identity = r.notes, among(c)
		}
	}
	if r.host, err = wire.NewHost(set); err != nil {
		return err
	}
	r.serving.Store(r.host)
	r.host.StartPlatformClient(c.DiscoveryAddr)
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() { r.host.Run(ended); close(done) }()
	end := func() { close(ended); <-done }
	if !active {
		if on, err := r.standBy(ctx); !on {
			end()
			kept.Close()
			r.folder.Release(r.room, true)
			return err
		}
	}
	follow, err := r.serve(set.Standby)
	if err != nil {
		return r.startFailed(err)
	}
	defer func() {
		if r.notes != nil {
			r.notes.Close()
		}
	}()
	go func() {
		for range traces {
			if err := r.front.Load().Trace(os.Stderr); err != nil {
				log.Error("trace not written", "err", err)
			}
		}
	}()
	var look <-chan time.Time // at who stands by; without operators nobody does
	if c.AdminAddr != "" {
		turn := time.NewTicker(besidesTurn)
		defer turn.Stop()
		look = turn.C
	}
	for serving := true; serving; {
		select {
		case <-r.terminate:
			serving = false
		case <-r.hangup:
			r.reload()
		case c := <-r.reading:
			r.apply(ctx, c)
		case <-look:
			// Guards against a disk limit that the journal here and the room of one that stands by go over together.
			if used := r.folder.UsedBytes(r.room); !r.inheriting.Load() && used != r.others {
				r.others = used
				r.host.SetJournalShare(r.disk(), used, true)
			}
			r.tellDrain()
		case p := <-r.loading:
			r.loading = nil
			r.swap(p)
		}
	}
	r.stop()
	follow()
	if !r.handOver() {
		r.stopping.Store(true)
		go r.markDrain() // the next start is at work
		stopping(r.host, r.front.Load(), log)
	}
	end()
	return nil
}

// enter takes the baton and the room that goes with it, or a room to stand by in.
func (r *relay) enter() (active bool, err error) {
	// Guards against a process of an earlier version, which knows no baton: its journal must not be opened beside it.
	if err := r.starting("address can't be looked at", func() error { return wire.CheckAddress(r.c.ListenAddr) }); err != nil {
		return false, fmt.Errorf("listen: %w", err)
	}
	for _, step := range []func() error{
		func() (err error) { r.folder, err = processdir.Open(r.c.StateDir, r.log); return err },
		func() (err error) { active, err = r.folder.TryLeaderLock(); return err },
		func() (err error) { r.room, err = r.folder.OpenOwn(active); return err },
		func() error {
			if !active {
				return nil
			}
			return r.folder.SetCurrent(r.room)
		},
	} {
		if err := r.starting("state folder can't be entered", step); err != nil {
			return false, fmt.Errorf("ROUTER_STATE: %w", err)
		}
	}
	return active, nil
}

// startFailed is what a start ends with that got no further: nothing is wrong where it was told to end meanwhile.
func (r *relay) startFailed(err error) error {
	if len(r.terminate) > 0 && transient.Is(err) {
		r.log.Info("told to end before the start was over", "err", err)
		return nil
	}
	return err
}

// shared tells whether there is anything of other processes to take over.
func (r *relay) shared() bool {
	if len(r.folder.Transfers()) > 0 {
		return true
	}
	held, fallen, err := r.folder.Others(r.room)
	for _, f := range fallen {
		r.folder.Release(f, false)
	}
	return err != nil || len(held)+len(fallen) > 0
}

// disk is what all processes of the relay may write, less what the folder's own small files take.
func (r *relay) disk() int64 { return r.c.DiskBytes - smallFiles }

// standBy waits until the relay is this process's, and tells whether it is.
func (r *relay) standBy(ctx context.Context) (bool, error) {
	if err := r.room.SetStatus(processdir.StatusReady); err != nil {
		return false, fmt.Errorf("ROUTER_STATE: %w", err)
	}
	r.standby.Store(true)
	r.log.Info("standing by: another process of this relay serves", "room", r.room.Name)
	baton := make(chan error, 1)
	go func() { baton <- r.starting("the baton can't be waited for", r.folder.WaitLeaderLock) }()
	for {
		select {
		case err := <-baton:
			if err == nil {
				err = r.folder.SetCurrent(r.room)
			}
			if err != nil {
				return false, fmt.Errorf("ROUTER_STATE: %w", err)
			}
			return true, nil
		case <-r.terminate:
			return false, nil
		case <-r.hangup:
			r.reload()
		case c := <-r.reading:
			r.apply(ctx, c)
		case p := <-r.loading:
			r.loading = nil
			r.swap(p)
		}
	}
}

// serve opens the clients' address. Where there is something of other processes it takes that over; what it returns ends this.
func (r *relay) serve(others bool) (follow func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	follow = func() { cancel(); work.Wait() }
	successor := &successor{r, ctx, map[string]bool{}, map[string]string{}}
	leaving := false
	if others {
		leaving = successor.take()
	}
	var ln net.Listener
	err = r.starting("address can't be had", func() (err error) {
		ln, err = wire.Listen(r.c.ListenAddr)
		return err
	})
	if err != nil {
		return follow, fmt.Errorf("listen: %w", err)
	}
	clients, _ := sockets(r.c)
	if leaving {
		clients = max(1, clients/2)
	}
	front := wire.NewServer(ln, &r.c.Settings, clients, r.host.Events(), r.log)
	front.SetPlugins(r.holder)
	front.SetMetrics(r.count)
	if r.host.Activate() || r.folder.Drained() {
		front.HandleDrainEvent(drain.HealthFail)
	}
	go front.Serve()
	if !leaving {
		giveBack()
	}
	front.HandleDrainEvent(drain.Started)
	r.front.Store(front)
	if err := r.room.SetStatus(processdir.StatusServing); err != nil {
		r.log.Warn("the state folder takes no word: an upgrade won't be seen", "err", err)
	}
	r.log.Info("ready", "name", r.c.Name, "listen", r.c.ListenAddr, "discovery", r.c.DiscoveryAddr, "slots", r.c.Settings.MaxConcurrentCalls, "held_most", r.c.Settings.MaxPending)
	if leaving {
		r.inheriting.Store(true)
		work.Go(successor.follow)
	}
	return follow, nil
}

func among(c *config.Config) wire.FleetIdentity {
	return wire.FleetIdentity{Number: c.RelayNumber, MembershipEnabled: c.MembershipEnabled, Zone: c.Zone, Choices: c.Choices}
}

// listenNotes opens the socket between relays. Notes are a help: where it can't be had, the relay serves without.
func (r *relay) listenNotes() {
	if len(r.c.PeerAddrs) == 0 {
		return
	}
	var notes *wire.GossipSocket
	err := patiently("no notes between relays", time.Second, func() bool { return len(r.terminate) > 0 }, r.log, func() (err error) {
		notes, err = wire.ListenGossip(r.c.PeerListenAddr, r.c.PeerAddrs, r.log)
		return err
	})
	if err != nil {
		r.log.Warn("no notes between relays", "peer_listen", r.c.PeerListenAddr, "err", err)
		return
	}
	r.notes = notes
}

// calls is what the operators can ask for. A drain that is told before the relay serves is answered with no.
func (r *relay) calls() admin.Handlers {
	return admin.Handlers{Log: r.log, Stats: r.stats, Members: r.members, Choices: r.choices, Sites: r.sites, SetSite: r.site,
		Serving: func() bool {
			f := r.front.Load()
			return f != nil && f.Serving() || f == nil && r.standby.Load()
		},
		SetDraining: func(on bool) bool {
			f := r.front.Load()
			if f == nil {
				return false
			}
			e := drain.HealthOK
			if on {
				e = drain.HealthFail
			}
			f.HandleDrainEvent(e)
			go r.markDrain()
			return true
		}}
}
