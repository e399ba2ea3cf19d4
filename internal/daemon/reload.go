package daemon

import (
	"context"
	"log/slog"
	"runtime/debug"

	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/plugin"
	"oatfold/internal/sites"
	"oatfold/internal/wire"
)

// This file reads the relay's sources, at the start and at each SIGHUP, and puts what they say in force.

// memoryTargetShare of the limit is what the garbage collector aims to stay under.
const memoryTargetShare = 0.6

// ConfigSources is where a relay's configuration comes from, at the start and at each SIGHUP.
type ConfigSources struct {
	LoadPlatform func() (*config.Config, error)
	LoadOperator func(*config.Config) (*operator.Config, error) // nil: no operator's file
}

// pluginLoadResult is what a load of plug-ins came to.
type pluginLoadResult struct {
	set   *plugin.Set
	sites *sites.Plan
	err   error
}

// loadPlugins loads what the operator's file says, off the serving path.
func (s ConfigSources) loadPlugins(ctx context.Context, c *config.Config, log *slog.Logger) <-chan pluginLoadResult {
	done := make(chan pluginLoadResult, 1)
	if s.LoadOperator == nil {
		done <- pluginLoadResult{}
		return done
	}
	go func() {
		operatorConfig, err := s.LoadOperator(c)
		if err != nil {
			done <- pluginLoadResult{err: err}
			return
		}
		set, err := plugin.LoadSet(ctx, operatorConfig.Plugins, log)
		done <- pluginLoadResult{set, operatorConfig.Sites, err}
	}()
	return done
}

// configReadResult is what reading the platform's configuration came to.
type configReadResult struct {
	config *config.Config
	err    error
}

// reload begins to read the sources again, off the goroutine that hears of a stop: a file may hang as it is read. What is asked for while
// one is read comes behind it, since that one may be too old by then.
func (r *relay) reload() {
	r.log.Info("reloading")
	if r.configRead != nil {
		r.reloadAgain = true
		return
	}
	done := make(chan configReadResult, 1)
	go func() {
		var result configReadResult
		result.err = retryTransient("configuration can't be read", reloadRetryLimit, func() bool { return r.stopping.Load() }, r.log, func() (err error) {
			result.config, err = r.sources.LoadPlatform()
			return err
		})
		done <- result
	}()
	r.configRead = done
}

// applyReload puts a configuration that was read in force, and goes on with the operator's file.
func (r *relay) applyReload(ctx context.Context, result configReadResult) {
	r.configRead = nil
	r.config = applyConfig(r.config, result, r.host, r.server.Load(), r.log)
	if r.reloadAgain {
		r.reloadAgain = false
		r.reload()
	}
	r.cancelPluginLoad() // Guards against an older file that comes into force after a newer one
	go discardPluginLoad(r.pluginLoad)
	var loadCtx context.Context
	loadCtx, r.cancelPluginLoad = context.WithCancel(ctx)
	r.pluginLoad = r.sources.loadPlugins(loadCtx, r.config, r.log)
}

// discardPluginLoad lets go of plug-ins that nobody waits for any more.
func discardPluginLoad(load <-chan pluginLoadResult) {
	if load != nil {
		(<-load).set.Done()
	}
}

// applyPlugins brings a reloaded operator's file into force, or leaves all as it was.
func (r *relay) applyPlugins(result pluginLoadResult) {
	if result.err != nil {
		r.log.Error("plug-ins not reloaded, the old ones stay", "err", result.err)
		result.set.Done()
		return
	}
	if result.set != nil {
		r.plugins.Put(result.set)
		r.host.SetSitePlan(result.sites, r.home())
		r.log.Info("plug-ins reloaded", "count", len(result.set.Plugins()))
	}
}

func memoryTarget(c *config.Config) int64 { return int64(float64(c.MemoryBytes) * memoryTargetShare) }

func hostConfig(c *config.Config) wire.HostConfig {
	_, idle := descriptorLimits(c)
	return wire.HostConfig{Settings: c.Settings, Seed: c.Seed, ConnectTimeout: c.ConnectTimeout, LoadReports: c.LoadReports,
		MaxIdleConns: idle, KnownEndpoints: c.KnownEndpoints, JournalBytes: c.DiskBytes}
}

// applyConfig puts the configuration as it is now in force and returns it. Guards against a file that is wrong or half
// written: it is read and checked whole before anything changes, and the old one stays.
func applyConfig(old *config.Config, result configReadResult, host *wire.Host, server *wire.Server, log *slog.Logger) *config.Config {
	c, err := result.config, result.err
	if err == nil {
		err = host.Reload(hostConfig(c), c.DiscoveryAddr)
	}
	if err != nil {
		log.Error("configuration not reloaded, the old one stays", "err", err)
		return old
	}
	if c.AdminAddr != old.AdminAddr {
		log.Warn("admin changes with the next start only", "admin", old.AdminAddr, "configured", c.AdminAddr)
		c.AdminAddr = old.AdminAddr
	}
	if c.ListenAddr != old.ListenAddr {
		log.Warn("listen changes with the next start only", "listen", old.ListenAddr, "configured", c.ListenAddr)
		c.ListenAddr = old.ListenAddr
	}
	warnRemovedNames(log, &old.Settings, &c.Settings)
	debug.SetMemoryLimit(memoryTarget(c))
	if clients, _ := descriptorLimits(c); server != nil {
		server.Configure(&c.Settings, clients)
	}
	log.Info("reloaded", "discovery", c.DiscoveryAddr, "slots", c.Settings.MaxConcurrentCalls, "held_most", c.Settings.MaxPending)
	return c
}
