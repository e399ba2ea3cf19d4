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
	"oatfold/internal/figures"
	"oatfold/internal/handover"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/plugin"
	"oatfold/internal/sites"
	"oatfold/internal/transient"
	"oatfold/internal/wire"
)

// bodyMemoryDivisor of the memory limit, one part in so many, is what bodies of held messages may take; beyond it they are in the
// journal only.
const bodyMemoryDivisor = 8

// smallFileBytes is what the state folder's files besides journals take: the baton, the mark of the clock, a lock for each room.
const smallFileBytes = 2560

// ownDescriptors is what descriptors the process needs for itself: standard ones, journal, poll, listener, discovery.
const ownDescriptors = 24

// standbyDescriptors is what a process that stands by holds, where operators are there to start one.
const standbyDescriptors = 16

// standbyCheckInterval is between two looks at who stands by.
const standbyCheckInterval = time.Second

// descriptorLimits shares the descriptors out: besides its own files, a connection for each slot and some that are listened to behind the end of
// their calls, up to a quarter may be idle
// connections to endpoints and up to half clients' connections. Clients use a third, the rest is for crowds that say
// nothing. Guards against calls that fail for want of a descriptor, where slots are many.
func descriptorLimits(c *config.Config) (clients, idle int) {
	reserved := ownDescriptors + wire.MaxLateListeners
	if c.AdminAddr != "" {
		reserved += admin.Most + 1 + standbyDescriptors
	}
	remaining := max(2, c.MaxDescriptors-reserved-c.Settings.MaxConcurrentCalls)
	idle = min(c.MaxDescriptors/4, remaining/3)
	return max(1, min(c.MaxDescriptors/2, remaining-idle)), idle
}

// relay is one process of a relay as it runs.
type relay struct {
	sources ConfigSources
	config  *config.Config
	log     *slog.Logger
	// A signal of its own for each: reloads that wait never push a stop out. One that waits stands for all that come meanwhile.
	terminate, hangup chan os.Signal
	stateDir          *processdir.StateDir
	dir               *processdir.Dir
	host              *wire.Host
	runningHost       atomic.Pointer[wire.Host]   // nil: there is none yet
	zoneNames         []string                    // names, as configured at the start
	server            atomic.Pointer[wire.Server] // nil: it does not serve yet
	standingBy        atomic.Bool                 // it could, and waits for the baton
	gossip            *wire.GossipSocket
	plugins           *plugin.Holder
	metrics           *figures.Set
	pluginLoad        <-chan pluginLoadResult // plug-ins of a reload
	configRead        <-chan configReadResult // the configuration of a reload; nil: none is read
	reloadAgain       bool                    // one was asked for while it was read

	takingOver       atomic.Bool // the process before is still leaving
	drainMark        sync.Mutex  // of what the state folder says of a drain
	stopping         atomic.Bool // a planned stop, which ends a drain
	announcedDrain   bool        // the fleet knows that this relay is drained and empty
	othersBytes      int64       // bytes of the state folder outside the own room, as of the last look
	cancelPluginLoad func()      // their loading
}

// Run serves until SIGTERM or SIGINT. SIGHUP makes it read its sources again and go on with what they say. Where another process of
// the same relay serves, it stands by until that one leaves.
func Run(sources ConfigSources, log *slog.Logger) error {
	r := &relay{sources: sources, log: log, terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1), plugins: &plugin.Holder{}, metrics: &figures.Set{}, cancelPluginLoad: func() {}}
	signal.Notify(r.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(r.hangup, syscall.SIGHUP)
	traces := make(chan os.Signal, 1)
	signal.Notify(traces, syscall.SIGUSR1) // from the start on: unheard it would end the process
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
	// The operators' calls are answered while a journal is read, too.
	if c.AdminAddr != "" {
		var ln net.Listener
		err := r.retryStart("admin address can't be had", func() (err error) {
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
		messageJournal, table, err = journal.Open(journal.Config{FS: journal.Dir(r.dir.Path), Budget: budget, MaxBodyBytes: bodyBytes, TimeScale: r.stateDir.TimeScale(), Log: log})
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
				// The relay serves all the same: messages that need a plug-in which is not there go by its rule.
				log.Error("plug-ins not loaded", "err", result.err)
			}
			r.plugins.Put(result.set)
		case <-r.terminate: // a reload waits until there is something to reload
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
	var standbyCheck <-chan time.Time // at who stands by; without operators nobody does
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
			// Guards against a disk limit that the journal here and the room of one that stands by go over together.
			if used := r.stateDir.UsedBytes(r.dir); !r.takingOver.Load() && used != r.othersBytes {
				r.othersBytes = used
				r.host.SetJournalShare(r.diskBytes(), used, true)
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
		go r.saveDrain() // the next start is at work
		stopPlanned(r.host, r.server.Load(), log)
	}
	stopHost()
	return nil
}

// openStateDir takes the baton and the room that goes with it, or a room to stand by in.
func (r *relay) openStateDir() (active bool, err error) {
	// Guards against a process of an earlier version, which knows no baton: its journal must not be opened beside it.
	if err := r.retryStart("address can't be looked at", func() error { return wire.CheckAddress(r.config.ListenAddr) }); err != nil {
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
		if err := r.retryStart("state folder can't be entered", step); err != nil {
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

// leftByOthers tells whether there is anything of other processes to take over.
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

// diskBytes is what all processes of the relay may write, less what the folder's own small files take.
func (r *relay) diskBytes() int64 { return r.config.DiskBytes - smallFileBytes }

// standBy waits until the relay is this process's, and tells whether it is.
func (r *relay) standBy(ctx context.Context) (bool, error) {
	if err := r.dir.SetStatus(processdir.StatusReady); err != nil {
		return false, fmt.Errorf("ROUTER_STATE: %w", err)
	}
	r.standingBy.Store(true)
	r.log.Info("standing by: another process of this relay serves", "room", r.dir.Name)
	leaderLock := make(chan error, 1)
	go func() { leaderLock <- r.retryStart("the baton can't be waited for", r.stateDir.WaitLeaderLock) }()
	for {
		select {
		case err := <-leaderLock:
			if err == nil {
				err = r.stateDir.SetCurrent(r.dir)
			}
			if err != nil {
				return false, fmt.Errorf("ROUTER_STATE: %w", err)
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

// serve opens the clients' address. Where there is something of other processes it takes that over; what it returns ends this.
func (r *relay) serve(takeOver bool) (stopTakeOver func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var takeOvers sync.WaitGroup
	stopTakeOver = func() { cancel(); takeOvers.Wait() }
	successor := &successor{r, ctx, map[string]bool{}, map[string]string{}}
	predecessorLeaving := false
	if takeOver {
		predecessorLeaving = successor.takeOver()
	}
	var ln net.Listener
	err = r.retryStart("address can't be had", func() (err error) {
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
		server.HandleDrainEvent(drain.Fail)
	}
	go server.Serve()
	if !predecessorLeaving {
		releaseStartupPages()
	}
	server.HandleDrainEvent(drain.Started)
	r.server.Store(server)
	if err := r.dir.SetStatus(processdir.StatusServing); err != nil {
		r.log.Warn("the state folder takes no word: an upgrade won't be seen", "err", err)
	}
	r.log.Info("ready", "name", r.config.Name, "listen", r.config.ListenAddr, "discovery", r.config.DiscoveryAddr, "slots", r.config.Settings.MaxConcurrentCalls, "held_most", r.config.Settings.MaxPending)
	if predecessorLeaving {
		r.takingOver.Store(true)
		takeOvers.Go(successor.takeOverUntilLast)
	}
	return stopTakeOver, nil
}

func fleetIdentity(c *config.Config) wire.FleetIdentity {
	return wire.FleetIdentity{Number: c.RelayNumber, MembershipEnabled: c.MembershipEnabled, Zone: c.Zone, Choices: c.Choices}
}

// listenGossip opens the socket between relays. Notes are a help: where it can't be had, the relay serves without.
func (r *relay) listenGossip() {
	if len(r.config.PeerAddrs) == 0 {
		return
	}
	var gossip *wire.GossipSocket
	err := retryTransient("no notes between relays", time.Second, func() bool { return len(r.terminate) > 0 }, r.log, func() (err error) {
		gossip, err = wire.ListenGossip(r.config.PeerListenAddr, r.config.PeerAddrs, r.log)
		return err
	})
	if err != nil {
		r.log.Warn("no notes between relays", "peer_listen", r.config.PeerListenAddr, "err", err)
		return
	}
	r.gossip = gossip
}

// adminCalls is what the operators can ask for. A drain that is told before the relay serves is answered with no.
func (r *relay) adminCalls() admin.Calls {
	return admin.Calls{Log: r.log, Stats: r.stats, Members: r.members, Choices: r.choices, Sites: r.sites, Site: r.site,
		Serving: func() bool {
			server := r.server.Load()
			return server != nil && server.Serving() || server == nil && r.standingBy.Load()
		},
		Drain: func(drained bool) bool {
			server := r.server.Load()
			if server == nil {
				return false
			}
			event := drain.OK
			if drained {
				event = drain.Fail
			}
			server.HandleDrainEvent(event)
			go r.saveDrain()
			return true
		}}
}
