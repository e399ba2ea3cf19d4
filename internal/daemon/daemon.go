// Package daemon runs the relay: start, reload, handover to another process, and stop.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/drain"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/handover/share"
	"oatfold/internal/metrics"
	"oatfold/internal/plugin"
	"oatfold/internal/wire"
)

// standbyCheckInterval is the time between two checks for standby processes.
const standbyCheckInterval = time.Second

// reloadCheckInterval is the time between two checks of a standby process for a reload that the
// serving one was told to make.
const reloadCheckInterval = 100 * time.Millisecond

// relay is one process of a relay.
type relay struct {
	sources ConfigSources
	current atomic.Pointer[config.Config] // see configuration
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
	reloadMark        int64                   // in the state folder, as last seen
	reloadUnmarked    bool                    // the state folder does not tell the latest reload yet

	takingOver       atomic.Bool  // the previous process is still leaving
	leavingProcesses atomic.Int32 // that still have a share of the limits
	limitsMu         sync.Mutex
	limits           processLimits // as applied last; guarded by limitsMu
	bodyBytes        int64         // that bodies of pending messages may take in memory
	stopping         atomic.Bool   // a planned stop, which ends a drain
	announcedDrain   bool          // the fleet knows that this relay is drained and empty
	othersBytes      int64         // bytes of the state folder outside the own directory, as last seen
	kept             keptShares    // what leaving processes keep of the limits
	orders           *orders       // of the operators
	inheritedDrain   *bool         // whether the process before was drained; nil: the state folder tells
	cancelPluginLoad func()
}

// Run serves until SIGTERM or SIGINT. SIGHUP makes it reload its configuration sources, SIGUSR1
// write the server's latest events to standard error. While another process of the same relay
// serves, it stands by until that one leaves.
func Run(sources ConfigSources, log *slog.Logger) error {
	r := &relay{sources: sources, log: log, terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1),
		plugins: &plugin.Holder{}, metrics: &metrics.Set{}, orders: newOrders(), cancelPluginLoad: func() {}}
	signal.Notify(r.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(r.hangup, syscall.SIGHUP)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1) // without a handler the signal would end the process
	if err := r.loadConfig(); err != nil {
		return r.startFailed(err)
	}
	// Admin requests are answered while the journal is being read, too.
	closeAdmin, err := r.openAdmin()
	if err != nil {
		return r.startFailed(err)
	}
	defer closeAdmin()
	options, err := r.loadOperator()
	if err != nil {
		return r.startFailed(err)
	}
	active, err := r.openStateDir()
	if err != nil {
		return r.startFailed(err)
	}
	besideOthers := !active || r.leftByOthers()
	options = r.watchReloads(besideOthers, options)
	r.bodyBytes = options.bodyBytes
	messages, err := r.openJournal(besideOthers)
	if err != nil {
		return r.startFailed(err)
	}
	defer messages.journal.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if loaded, err := r.loadPlugins(ctx); !loaded {
		return err
	}
	hostSettings := r.startHostConfig(active, besideOthers, options, messages)
	stopHost, err := r.startHost(hostSettings)
	if err != nil {
		return err
	}
	if !active {
		if leads, err := r.standBy(ctx); !leads {
			stopHost()
			messages.journal.Close()
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
	go r.writeTraces(traces)
	r.runUntilTerminated(ctx)
	r.cancelPluginLoad()
	stopTakeOver()
	r.closeOrders()
	if !r.handOver() {
		r.stopping.Store(true)
		go r.saveDrain(context.Background()) // the next start is not drained
		stopPlanned(r.host, r.server.Load(), log)
	}
	stopHost()
	return nil
}

// writeTraces writes the server's latest events to standard error at each signal.
func (r *relay) writeTraces(signals <-chan os.Signal) {
	for range signals {
		if err := r.server.Load().Trace(os.Stderr); err != nil {
			r.log.Error("trace not written", "err", err)
		}
	}
}

// runUntilTerminated reloads the configuration on request and keeps to the disk limit, until this
// process is told to stop.
func (r *relay) runUntilTerminated(ctx context.Context) {
	var standbyCheck <-chan time.Time // nil without operators, since then nobody starts a standby
	if r.configuration().AdminAddr != "" {
		ticker := time.NewTicker(standbyCheckInterval)
		defer ticker.Stop()
		standbyCheck = ticker.C
	}
	for {
		select {
		case <-r.terminate:
			return
		case <-r.hangup:
			r.reloadOnRequest()
		case result := <-r.configRead:
			r.applyReload(ctx, result)
		case <-standbyCheck:
			r.followReload()
			// Keeps the journal and the directory of a standby within the disk limit together.
			if used := r.stateDir.UsedBytes(r.dir); used != r.othersBytes {
				r.othersBytes = used
				r.updateJournalBudget()
			}
			r.announceDrain()
		case result := <-r.pluginLoad:
			r.pluginLoad = nil
			r.applyPlugins(result)
		}
	}
}

// diskBytes returns what the journals of all processes may take: the disk limit less the folder's
// small files.
func (r *relay) diskBytes() int64 { return r.configuration().DiskBytes - config.SmallFileBytes }

// updateJournalBudget sets the journal's budget after the disk limit or the use of the disk has
// changed. A standby accepts no messages, and a takeover sets the budget itself.
func (r *relay) updateJournalBudget() {
	if r.server.Load() != nil && !r.takingOver.Load() {
		r.host.SetJournalBudget(share.SuccessorDisk(r.diskBytes(), r.stateDir.UsedBytes(r.dir)))
	}
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
	reloadCheck := time.NewTicker(reloadCheckInterval)
	defer reloadCheck.Stop()
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
			r.followReload() // the result is applied as soon as it serves
			return true, nil
		case <-r.terminate:
			return false, nil
		case <-r.hangup:
			r.reloadOnRequest()
		case <-reloadCheck.C:
			r.followReload()
		case result := <-r.configRead:
			r.applyReload(ctx, result)
		case result := <-r.pluginLoad:
			r.pluginLoad = nil
			r.applyPlugins(result)
		}
	}
}

// announceStandby writes to the state folder that this process stands by, as soon as the disk
// allows it.
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
		ln, err = wire.Listen(r.configuration().ListenAddr)
		return err
	})
	if err != nil {
		return stopTakeOver, fmt.Errorf("listen: %w", err)
	}
	limits := r.connections(r.configuration())
	server := wire.NewServer(ln, &r.configuration().Settings, limits.Clients, r.host.Events(), r.log)
	server.SetPlugins(r.plugins)
	server.SetMetrics(r.metrics)
	r.host.Activate()
	if inherited := r.inheritedDrain; inherited != nil && *inherited || inherited == nil && r.stateDir.Drained() {
		server.HandleDrainEvent(drain.HealthFail)
	}
	go server.Serve()
	if !predecessorLeaving {
		releaseStartupPages()
	}
	server.HandleDrainEvent(drain.Started)
	r.server.Store(server)
	if r.inheritedDrain != nil {
		go r.saveDrain(r.orders.open) // where the folder could not be written before
	}
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
	r.log.Info("ready", "name", r.configuration().Name, "listen", r.configuration().ListenAddr, "discovery", r.configuration().DiscoveryAddr,
		"slots", r.configuration().Settings.MaxConcurrentCalls, "held_most", r.configuration().Settings.MaxPending)
	if predecessorLeaving {
		r.takingOver.Store(true)
		takeOvers.Go(successor.takeOverUntilLast)
	} else {
		c := r.configuration() // a reload may replace it meanwhile
		takeOvers.Go(func() {
			successor.joinFleet(c)
			successor.finish()
		})
	}
	return stopTakeOver, nil
}

// adminCalls returns the handlers of the admin address.
func (r *relay) adminCalls() admin.Handlers {
	return admin.Handlers{Log: r.log, Stats: r.stats, Members: r.members, Choices: r.choices,
		Sites: r.sites, SetSite: r.site,
		Serving: func() bool {
			server := r.server.Load()
			return server != nil && server.Serving() || server == nil && r.standingBy.Load()
		},
		SetDraining: r.setDraining}
}
