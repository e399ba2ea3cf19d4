package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/handover/processdir"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/sites"
	"oatfold/internal/transient"
	"oatfold/internal/wire"
)

// This file has the steps of a start, in their order. Each retries what may pass.

// bodyMemoryDivisor is what the memory limit is divided by to get the bytes that bodies of pending
// messages may take. Further bodies are kept in the journal only.
const bodyMemoryDivisor = 8

// loadConfig reads the platform's configuration and applies its memory limit.
func (r *relay) loadConfig() error {
	var c *config.Config
	err := r.retryStart("configuration can't be read", func() (err error) {
		c, err = r.sources.LoadPlatform()
		return err
	})
	if err == nil {
		r.useConfig(c)
	}
	return err
}

// useConfig puts a configuration in force before the host runs.
func (r *relay) useConfig(c *config.Config) {
	r.current.Store(c)
	r.zoneNames = c.ZoneNames
	debug.SetMemoryLimit(memoryTarget(c))
}

// openAdmin serves the operators' address, if there is one, until the returned function is called.
func (r *relay) openAdmin() (closeAdmin func(), err error) {
	if r.configuration().AdminAddr == "" {
		return func() {}, nil
	}
	var ln net.Listener
	err = r.retryStart("admin address can't be opened", func() (err error) {
		ln, err = net.Listen("tcp", r.configuration().AdminAddr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("admin (ROUTER_ADMIN): %w", err)
	}
	server := admin.Serve(ln, r.adminCalls())
	return func() { server.Close() }, nil
}

// startOptions are the operators' settings that count at a start.
type startOptions struct {
	bodyBytes int64       // that bodies of pending messages may take in memory
	sitePlan  *sites.Plan // nil: none
}

// loadOperator reads the operator's file, if there is one.
func (r *relay) loadOperator() (startOptions, error) {
	options := startOptions{bodyBytes: r.configuration().MemoryBytes / bodyMemoryDivisor}
	if r.sources.LoadOperator == nil {
		return options, nil
	}
	var file *operator.Config
	err := r.retryStart("operator's file can't be read", func() (err error) {
		file, err = r.sources.LoadOperator(r.configuration())
		return err
	})
	if err != nil {
		return options, fmt.Errorf("operator's file: %w", err)
	}
	if file.BodyMemoryBytes > 0 {
		options.bodyBytes = file.BodyMemoryBytes
	}
	options.sitePlan = file.Sites
	return options, nil
}

// watchReloads follows the reloads of other processes from now on. If there are any, it reads the
// configuration sources once more, which may have changed since this process read them. If they
// can't be read, the first result stays.
func (r *relay) watchReloads(besideOthers bool, options startOptions) startOptions {
	mark, err := r.stateDir.ReloadMark()
	if err != nil {
		r.log.Warn("the state folder's reload mark can't be read", "err", err)
	}
	if r.reloadMark = mark; !besideOthers {
		return options
	}
	before := r.configuration()
	c, err := r.sources.LoadPlatform()
	if err != nil {
		r.log.Warn("configuration can't be read again; the first one stays", "err", err)
		return options
	}
	c.AdminAddr, c.ListenAddr, c.StateDir = before.AdminAddr, before.ListenAddr, before.StateDir
	r.useConfig(c)
	again, err := r.loadOperator()
	if err != nil {
		r.log.Warn("operator's file can't be read again; the first one stays", "err", err)
		r.useConfig(before)
		return options
	}
	return again
}

// openStateDir opens the state folder and locks a process directory. It reports whether this
// process holds the leader lock; otherwise it is a standby.
func (r *relay) openStateDir() (active bool, err error) {
	// A process of an earlier version holds no leader lock but has the address: its journal must
	// not be opened.
	if err := r.retryStart("address can't be checked", func() error {
		return wire.CheckAddress(r.configuration().ListenAddr)
	}); err != nil {
		return false, fmt.Errorf("listen: %w", err)
	}
	for _, step := range []func() error{
		func() (err error) { r.stateDir, err = processdir.Open(r.configuration().StateDir, r.log); return err },
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

// openedJournal is this process's journal and what it holds.
type openedJournal struct {
	journal *journal.Journal
	table   *memory.Table
}

// openJournal opens the journal in this process's directory with what is left of the disk limit.
// Beside others, whether it stands by or takes over, it writes no reserve file yet and keeps to
// what it has until the takeover knows what they keep.
func (r *relay) openJournal(besideOthers bool) (opened openedJournal, err error) {
	budget := share.SuccessorDisk(r.diskBytes(), r.stateDir.UsedBytes(r.dir))
	err = r.retryStart("journal can't be opened", func() (err error) {
		opened.journal, opened.table, err = journal.Open(journal.Config{FS: journal.Dir(r.dir.Path), Budget: budget,
			NoReserve: besideOthers, MaxBodyBytes: r.bodyBytes, TimeScale: r.stateDir.TimeScale(), Log: r.log})
		return err
	})
	if err != nil {
		return opened, fmt.Errorf("ROUTER_STATE: %w", err)
	}
	if besideOthers {
		opened.journal.SetShare(opened.journal.CommittedBytes())
	}
	return opened, nil
}

// loadPlugins loads the plug-ins and reports whether the start goes on: not if the operator's file
// is wrong, or if this process is told to stop meanwhile.
func (r *relay) loadPlugins(ctx context.Context) (loaded bool, err error) {
	load := r.sources.loadPlugins(ctx, r.configuration(), r.log)
	if load == nil {
		return true, nil
	}
	select {
	case result := <-load:
		if result.set == nil && result.err != nil {
			return false, fmt.Errorf("operator's file: %w", result.err)
		}
		if result.err != nil {
			// The relay serves anyway: messages that need a missing plug-in follow its failure
			// rule.
			r.log.Error("plug-ins not loaded", "err", result.err)
		}
		r.plugins.Replace(result.set)
		return true, nil
	case <-r.terminate: // a reload waits until the start is complete
		return false, nil
	}
}

// startHostConfig returns the configuration of the host. An active process opens gossip for it.
func (r *relay) startHostConfig(active, besideOthers bool, options startOptions, messages openedJournal) wire.HostConfig {
	settings := hostConfig(r.configuration(), r.connections(r.configuration()))
	settings.ZoneNames, settings.HomeZone, settings.Sites = r.zoneNames, r.home(), options.sitePlan
	settings.Plugins, settings.Metrics, settings.Log = r.plugins, r.metrics, r.log
	settings.Table, settings.Journal = messages.table, messages.journal
	settings.DateScale, settings.Standby = r.stateDir.TimeScale(), besideOthers
	if active {
		if r.listenGossip(r.configuration()); r.gossip != nil {
			settings.GossipSocket, settings.Identity = r.gossip, fleetIdentity(r.configuration())
		}
	}
	return settings
}

// startHost runs the host until the returned function is called, which waits for its end.
func (r *relay) startHost(settings wire.HostConfig) (stopHost func(), err error) {
	if r.host, err = wire.NewHost(settings); err != nil {
		return nil, err
	}
	r.runningHost.Store(r.host)
	r.host.StartPlatformClient(r.configuration().DiscoveryAddr)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { r.host.Run(stop); close(done) }()
	return func() { close(stop); <-done }, nil
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

// startFailed returns the error that ends a start: none if the process was told to stop meanwhile
// and the error is transient.
func (r *relay) startFailed(err error) error {
	if len(r.terminate) > 0 && transient.Is(err) {
		r.log.Info("told to stop before the start was complete", "err", err)
		return nil
	}
	return err
}
