// Package daemon runs the relay: start, reload, handover to another process, and stop.
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

// bodyMemoryDivisor is what the memory limit is divided by to get the bytes that bodies of pending
// messages may take. Further bodies are kept in the journal only.
const bodyMemoryDivisor = 8

// ownDescriptors is the number of descriptors for the process itself: standard streams, journal,
// poll, listener, discovery.
const ownDescriptors = 24

// standbyDescriptors is the number of descriptors that a standby process takes. It counts only
// where operators can start one.
const standbyDescriptors = 16

// standbyCheckInterval is the time between two checks for standby processes.
const standbyCheckInterval = time.Second

// descriptorLimits returns how many client connections and how many idle connections to endpoints
// the relay may have. It divides the file descriptors that remain besides the process's own files,
// one for each concurrent call, and connections that are still read after the end of their call.
// Idle connections get up to a quarter of all descriptors, client connections up to half. Clients
// use about a third; the rest is a reserve for many silent clients, so that calls never lack a
// descriptor.
func descriptorLimits(c *config.Config) (clients, idle int) {
	reserved := ownDescriptors + wire.MaxLateListeners
	if c.AdminAddr != "" {
		reserved += admin.MaxConns + 1 + standbyDescriptors
	}
	remaining := max(2, c.MaxDescriptors-reserved-c.Settings.MaxConcurrentCalls)
	idle = min(c.MaxDescriptors/4, remaining/3)
	return max(1, min(c.MaxDescriptors/2, remaining-idle)), idle
}

// relay is one process of a relay.
type relay struct {
	sources ConfigSources
	config  *config.Config
	log     *slog.Logger
	// Separate channels, so that pending reloads never displace a stop. A pending signal stands for
	// all further ones of its kind.
	terminate, hangup chan os.Signal
	stateDir          *processdir.StateDir
	dir               *processdir.Dir
	host              *wire.Host
	runningHost       atomic.Pointer[wire.Host]   // nil before the host runs
	zoneNames         []string                    // as configured at the start
	server            atomic.Pointer[wire.Server] // nil before the relay serves
	standingBy        atomic.Bool                 // ready, waiting for the leader lock
	currentUnrecorded bool                        // the state folder does not name this process's directory yet
	gossip            *wire.GossipSocket
	plugins           *plugin.Holder
	metrics           *metrics.Set
	pluginLoad        <-chan pluginLoadResult // plug-ins of a reload
	configRead        <-chan configReadResult // configuration of a reload; nil: none is being read
	reloadAgain       bool                    // another reload was requested meanwhile

	takingOver       atomic.Bool // the previous process is still leaving
	drainRecordMu    sync.Mutex  // guards the drain record in the state folder
	stopping         atomic.Bool // a planned stop, which ends a drain
	announcedDrain   bool        // the fleet knows that this relay is drained and empty
	othersBytes      int64       // bytes of the state folder outside the own directory, as last seen
	cancelPluginLoad func()
}

// Run serves until SIGTERM or SIGINT. SIGHUP makes it reload its configuration sources, SIGUSR1
// write the server's latest events to standard error. While another process of the same relay
// serves, it stands by until that one leaves.
func Run(sources ConfigSources, log *slog.Logger) error {
	r := &relay{sources: sources, log: log, terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1),
		plugins: &plugin.Holder{}, metrics: &metrics.Set{}, cancelPluginLoad: func() {}}
	signal.Notify(r.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(r.hangup, syscall.SIGHUP)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1) // without a handler the signal would end the process
	var c *config.Config
	err := r.retryStart("configuration can't be read", func() (err error) {
		c, err = sources.LoadPlatform()
		return err
	})
	if err != nil {
		return r.startFailed(err)
	}
	r.config, r.zoneNames = c, c.ZoneNames
	debug.SetMemoryLimit(memoryTarget(c))
	// Admin requests are answered while the journal is being read, too.
	if c.AdminAddr != "" {
		var ln net.Listener
		err := r.retryStart("admin address can't be opened", func() (err error) {
			ln, err = net.Listen("tcp", c.AdminAddr)
			return err
		})
		if err != nil {
			return r.startFailed(fmt.Errorf("admin (ROUTER_ADMIN): %w", err))
		}
		defer admin.Serve(ln, r.adminCalls()).Close()
	}
	bodyBytes := c.MemoryBytes / bodyMemoryDivisor
	var plan *sites.Plan
	if sources.LoadOperator != nil {
		var operatorConfig *operator.Config
		err := r.retryStart("operator's file can't be read", func() (err error) {
			operatorConfig, err = sources.LoadOperator(c)
			return err
		})
		if err != nil {
			return r.startFailed(fmt.Errorf("operator's file: %w", err))
		}
		if operatorConfig.BodyMemoryBytes > 0 {
			bodyBytes = operatorConfig.BodyMemoryBytes
		}
		plan = operatorConfig.Sites
	}
	active, err := r.openStateDir()
	if err != nil {
		return r.startFailed(err)
	}
	budget := r.diskBytes() - r.stateDir.UsedBytes(r.dir)
	if !active {
		budget = handover.JournalBudget(r.diskBytes(), 0, r.stateDir.UsedBytes(r.dir))
	}
	var messageJournal *journal.Journal
	var table *memory.Table
	err = r.retryStart("journal can't be opened", func() (err error) {
		messageJournal, table, err = journal.Open(journal.Config{FS: journal.Dir(r.dir.Path), Budget: budget,
			MaxBodyBytes: bodyBytes, TimeScale: r.stateDir.TimeScale(), Log: log})
		return err
	})
	if err != nil {
		return r.startFailed(fmt.Errorf("ROUTER_STATE: %w", err))
	}
	defer messageJournal.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for load := sources.loadPlugins(ctx, c, log); load != nil; {
		select {
		case result := <-load:
			load = nil
			if result.set == nil && result.err != nil {
				return fmt.Errorf("operator's file: %w", result.err)
			}
			if result.err != nil {
				// The relay serves anyway: messages that need a missing plug-in follow its failure
				// rule.
				log.Error("plug-ins not loaded", "err", result.err)
			}
			r.plugins.Replace(result.set)
		case <-r.terminate: // a reload waits until the start is complete
			return nil
		}
	}
	hostSettings := hostConfig(c)
	hostSettings.ZoneNames, hostSettings.HomeZone, hostSettings.Sites = c.ZoneNames, r.home(), plan
	hostSettings.Plugins, hostSettings.Metrics = r.plugins, r.metrics
	hostSettings.Table, hostSettings.Journal, hostSettings.Log = table, messageJournal, log
	hostSettings.DateScale = r.stateDir.TimeScale()
	hostSettings.Standby = !active || r.leftByOthers()
	if active {
		if r.listenGossip(); r.gossip != nil {
			hostSettings.GossipSocket, hostSettings.Identity = r.gossip, fleetIdentity(c)
		}
	}
	if r.host, err = wire.NewHost(hostSettings); err != nil {
		return err
	}
	r.runningHost.Store(r.host)
	r.host.StartPlatformClient(c.DiscoveryAddr)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { r.host.Run(stop); close(done) }()
	stopHost := func() { close(stop); <-done }
	if !active {
		if leads, err := r.standBy(ctx); !leads {
			stopHost()
			messageJournal.Close()
			r.stateDir.Release(r.dir, true)
			return err
		}
	}
	stopTakeOver, err := r.serve(hostSettings.Standby)
	if err != nil {
		return r.startFailed(err)
	}
	defer func() {
		if r.gossip != nil {
			r.gossip.Close()
		}
	}()
	go func() {
		for range traces {
			if err := r.server.Load().Trace(os.Stderr); err != nil {
				log.Error("trace not written", "err", err)
			}
		}
	}()
	var standbyCheck <-chan time.Time // nil without operators, since then nobody starts a standby
	if c.AdminAddr != "" {
		ticker := time.NewTicker(standbyCheckInterval)
		defer ticker.Stop()
		standbyCheck = ticker.C
	}
	for running := true; running; {
		select {
		case <-r.terminate:
			running = false
		case <-r.hangup:
			r.reload()
		case result := <-r.configRead:
			r.applyReload(ctx, result)
		case <-standbyCheck:
			// Keeps the journal and the directory of a standby within the disk limit together.
			if used := r.stateDir.UsedBytes(r.dir); !r.takingOver.Load() && used != r.othersBytes {
				r.othersBytes = used
				r.updateJournalShare()
			}
			r.announceDrain()
		case result := <-r.pluginLoad:
			r.pluginLoad = nil
			r.applyPlugins(result)
		}
	}
	r.cancelPluginLoad()
	stopTakeOver()
	if !r.handOver() {
		r.stopping.Store(true)
		go r.saveDrain() // the next start is not drained
		stopPlanned(r.host, r.server.Load(), log)
	}
	stopHost()
	return nil
}

// openStateDir opens the state folder and locks a process directory. It reports whether this
// process holds the leader lock; otherwise it is a standby.
func (r *relay) openStateDir() (active bool, err error) {
	// A process of an earlier version holds no leader lock but has the address: its journal must
	// not be opened.
	if err := r.retryStart("address can't be checked", func() error {
		return wire.CheckAddress(r.config.ListenAddr)
	}); err != nil {
		return false, fmt.Errorf("listen: %w", err)
	}
	for _, step := range []func() error{
		func() (err error) { r.stateDir, err = processdir.Open(r.config.StateDir, r.log); return err },
		func() (err error) { active, err = r.stateDir.TryLeaderLock(); return err },
		func() (err error) { r.dir, err = r.stateDir.OpenOwn(active); return err },
		func() error {
			if !active {
				return nil
			}
			return r.stateDir.SetCurrent(r.dir)
		},
	} {
		if err := r.retryStart("state folder can't be opened", step); err != nil {
			return false, fmt.Errorf("ROUTER_STATE: %w", err)
		}
	}
	return active, nil
}

// startFailed returns the error that ends a start: none if the process was told to stop meanwhile
// and the error is transient.
func (r *relay) startFailed(err error) error {
	if len(r.terminate) > 0 && transient.Is(err) {
		r.log.Info("told to stop before the start was complete", "err", err)
		return nil
	}
	return err
}

// leftByOthers reports whether other processes left anything to take over.
func (r *relay) leftByOthers() bool {
	if len(r.stateDir.Transfers()) > 0 {
		return true
	}
	running, abandoned, err := r.stateDir.Others(r.dir)
	for _, dir := range abandoned {
		r.stateDir.Release(dir, false)
	}
	return err != nil || len(running)+len(abandoned) > 0
}

// diskBytes returns what the journals of all processes may take: the disk limit less the folder's
// small files.
func (r *relay) diskBytes() int64 { return r.config.DiskBytes - config.SmallFileBytes }

// updateJournalShare sets the journal's share of the disk limit after either has changed.
func (r *relay) updateJournalShare() {
	alone := r.server.Load() != nil && !r.takingOver.Load()
	r.host.SetJournalShare(r.diskBytes(), r.stateDir.UsedBytes(r.dir), alone)
}

// standBy waits for the leader lock and reports whether this process holds it; false if it received
// a stop signal.
func (r *relay) standBy(ctx context.Context) (bool, error) {
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	announced := make(chan error, 1)
	go func() { announced <- r.announceStandby(announceCtx) }()
	defer func() {
		stopAnnouncing()
		<-announced // it must not overwrite a later status
	}()
	leaderLock := make(chan error, 1)
	go func() { leaderLock <- r.retryStart("leader lock can't be waited for", r.stateDir.WaitLeaderLock) }()
	for {
		select {
		case err := <-leaderLock:
			if err != nil {
				return false, fmt.Errorf("ROUTER_STATE: %w", err)
			}
			if err := r.stateDir.SetCurrent(r.dir); err != nil {
				// Nobody else serves now. Until it is recorded, the next start takes the directory
				// for that of another process, and adopts it.
				r.log.Warn("the current directory can't be recorded yet", "room", r.dir.Name, "err", err)
				r.currentUnrecorded = true
			}
			return true, nil
		case <-r.terminate:
			return false, nil
		case <-r.hangup:
			r.reload()
		case result := <-r.configRead:
			r.applyReload(ctx, result)
		case result := <-r.pluginLoad:
			r.pluginLoad = nil
			r.applyPlugins(result)
		}
	}
}

// announceStandby writes to the state folder that this process stands by, as soon as the disk allows
// it.
func (r *relay) announceStandby(ctx context.Context) error {
	err := r.retryUntilDone(ctx, "status of the standby can't be written", func() error {
		return r.dir.SetStatus(processdir.StatusReady)
	})
	if err == nil {
		r.standingBy.Store(true)
		r.log.Info("standing by: another process of this relay serves", "room", r.dir.Name)
	}
	return err
}

// serve opens the clients' address. With takeOver it first takes over what other processes left,
// and continues in the background while one is still leaving; stopTakeOver ends that and waits for
// it.
func (r *relay) serve(takeOver bool) (stopTakeOver func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var takeOvers sync.WaitGroup
	stopTakeOver = func() { cancel(); takeOvers.Wait() }
	successor := newSuccessor(ctx, r)
	predecessorLeaving := false
	if takeOver {
		predecessorLeaving = successor.takeOver()
	}
	var ln net.Listener
	err = r.retryStart("address can't be opened", func() (err error) {
		ln, err = wire.Listen(r.config.ListenAddr)
		return err
	})
	if err != nil {
		return stopTakeOver, fmt.Errorf("listen: %w", err)
	}
	clients, _ := descriptorLimits(r.config)
	if predecessorLeaving {
		clients = max(1, clients/2)
	}
	server := wire.NewServer(ln, &r.config.Settings, clients, r.host.Events(), r.log)
	server.SetPlugins(r.plugins)
	server.SetMetrics(r.metrics)
	if r.host.Activate() || r.stateDir.Drained() {
		server.HandleDrainEvent(drain.HealthFail)
	}
	go server.Serve()
	if !predecessorLeaving {
		releaseStartupPages()
	}
	server.HandleDrainEvent(drain.Started)
	r.server.Store(server)
	if err := r.dir.SetStatus(processdir.StatusServing); err != nil {
		r.log.Warn("status can't be written to the state folder; a leaving process will not see that this one serves",
			"err", err)
		successor.keepStep("status", func() error { return r.dir.SetStatus(processdir.StatusServing) })
	}
	if r.currentUnrecorded {
		successor.keepStep("current directory", func() error { return r.stateDir.SetCurrent(r.dir) })
	}
	if !r.stateDir.ClockMarkSaved() {
		successor.keepStep("clock mark", r.stateDir.SaveClockMark)
	}
	r.log.Info("ready", "name", r.config.Name, "listen", r.config.ListenAddr, "discovery", r.config.DiscoveryAddr,
		"slots", r.config.Settings.MaxConcurrentCalls, "held_most", r.config.Settings.MaxPending)
	if predecessorLeaving {
		r.takingOver.Store(true)
		takeOvers.Go(successor.takeOverUntilLast)
	} else {
		takeOvers.Go(func() {
			successor.joinFleet()
			successor.finish()
		})
	}
	return stopTakeOver, nil
}

// adminCalls returns the handlers of the admin address. A drain request before the relay serves is
// rejected.
func (r *relay) adminCalls() admin.Handlers {
	return admin.Handlers{Log: r.log, Stats: r.stats, Members: r.members, Choices: r.choices,
		Sites: r.sites, SetSite: r.site,
		Serving: func() bool {
			server := r.server.Load()
			return server != nil && server.Serving() || server == nil && r.standingBy.Load()
		},
		SetDraining: func(drained bool) bool {
			server := r.server.Load()
			if server == nil {
				return false
			}
			event := drain.HealthOK
			if drained {
				event = drain.HealthFail
			}
			server.HandleDrainEvent(event)
			go r.saveDrain()
			return true
		}}
}
