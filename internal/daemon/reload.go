package daemon

import (
	"context"
	"log/slog"

	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/handover/share"
	"oatfold/internal/plugin"
	"oatfold/internal/sites"
	"oatfold/internal/wire"
)

// This file reads the configuration sources, at the start and at each SIGHUP, and applies them.

// memoryTargetShare is the share of the process's memory limit that is set as the soft memory limit
// of the Go runtime.
const memoryTargetShare = 0.6

// ConfigSources loads a relay's configuration, at the start and at each SIGHUP.
type ConfigSources struct {
	LoadPlatform func() (*config.Config, error)
	LoadOperator func(*config.Config) (*operator.Config, error) // nil: there is no operator's file
}

// pluginLoadResult is the result of loading the operator's file and its plug-ins.
type pluginLoadResult struct {
	set   *plugin.Set
	sites *sites.Plan
	err   error
}

// loadPlugins loads the operator's file and its plug-ins in the background.
func (s ConfigSources) loadPlugins(ctx context.Context, c *config.Config,
	log *slog.Logger) <-chan pluginLoadResult {
	done := make(chan pluginLoadResult, 1)
	if s.LoadOperator == nil {
		done <- pluginLoadResult{}
		return done
	}
	go func() {
		var result pluginLoadResult
		result.err = retryTransient("operator's file or its plug-ins can't be read", reloadRetryLimit, func() bool {
			return ctx.Err() != nil
		}, log, func() (err error) {
			result.set.Release() // what an attempt that failed has loaded
			result, err = s.loadOperatorOnce(ctx, c, log)
			return err
		})
		done <- result
	}()
	return done
}

// loadOperatorOnce loads the operator's file and its plug-ins. With an error of a plug-in it
// returns the others, too.
func (s ConfigSources) loadOperatorOnce(ctx context.Context, c *config.Config, log *slog.Logger) (
	pluginLoadResult, error,
) {
	operatorConfig, err := s.LoadOperator(c)
	if err != nil {
		return pluginLoadResult{}, err
	}
	set, err := plugin.LoadSet(ctx, operatorConfig.Plugins, log)
	return pluginLoadResult{set: set, sites: operatorConfig.Sites}, err
}

// configuration returns the platform's configuration that is in force.
func (r *relay) configuration() *config.Config { return r.current.Load() }

// configReadResult is the result of reading the platform's configuration.
type configReadResult struct {
	config *config.Config
	err    error
}

// reloadOnRequest reloads after SIGHUP, and tells the other processes of the relay to do the same:
// in an upgrade one of them may have read the old configuration, and it may be the one that serves
// next.
func (r *relay) reloadOnRequest() {
	r.markReload() // first, so that whoever sees the mark reads a file that is at least as recent
	r.reload()
}

// markReload tells the other processes of the relay that the configuration is to be reloaded.
func (r *relay) markReload() {
	mark, err := r.stateDir.MarkReload()
	if r.reloadUnmarked = err != nil; err != nil {
		r.log.Warn("another process of this relay can't be told to reload now, retrying", "err", err)
		return
	}
	r.reloadMark = mark
}

// followReload reloads if another process of the relay was told to since the last call.
func (r *relay) followReload() {
	if r.reloadUnmarked {
		r.markReload()
	}
	mark, err := r.stateDir.ReloadMark()
	if err != nil || mark == r.reloadMark {
		return
	}
	r.reloadMark = mark
	r.log.Info("another process of this relay was told to reload")
	r.reload()
}

// reload starts reading the platform's configuration in the background, since reading a file may
// hang and must not delay a stop. If a read is in progress, another one follows it.
func (r *relay) reload() {
	r.log.Info("reloading")
	if r.configRead != nil {
		r.reloadAgain = true
		return
	}
	done := make(chan configReadResult, 1)
	go func() {
		var result configReadResult
		result.err = retryTransient("configuration can't be read", reloadRetryLimit, func() bool {
			return r.stopping.Load()
		}, r.log, func() (err error) {
			result.config, err = r.sources.LoadPlatform()
			return err
		})
		done <- result
	}()
	r.configRead = done
}

// applyReload applies a configuration that was read, and starts loading the operator's file.
func (r *relay) applyReload(ctx context.Context, result configReadResult) {
	r.configRead = nil
	r.current.Store(r.applyConfig(r.configuration(), result))
	r.applyLimits()
	r.updateJournalBudget()
	if r.reloadAgain {
		r.reloadAgain = false
		r.reload()
	}
	r.cancelPluginLoad() // an older file must not be applied after a newer one
	go discardPluginLoad(r.pluginLoad)
	var loadCtx context.Context
	loadCtx, r.cancelPluginLoad = context.WithCancel(ctx)
	r.pluginLoad = r.sources.loadPlugins(loadCtx, r.configuration(), r.log)
}

// discardPluginLoad waits for a load that is no longer needed and releases its plug-ins.
func discardPluginLoad(load <-chan pluginLoadResult) {
	if load != nil {
		(<-load).set.Release()
	}
}

// applyPlugins applies a reloaded operator's file; if it failed to load, the old one stays.
func (r *relay) applyPlugins(result pluginLoadResult) {
	if result.err != nil {
		r.log.Error("plug-ins not reloaded, the old ones stay", "err", result.err)
		result.set.Release()
		return
	}
	if result.set != nil {
		r.plugins.Replace(result.set)
		r.host.SetSitePlan(result.sites, r.home())
		r.log.Info("plug-ins reloaded", "count", len(result.set.Plugins()))
	}
}

// memoryTarget returns the soft memory limit of the Go runtime, in bytes.
func memoryTarget(c *config.Config) int64 { return int64(float64(c.MemoryBytes) * memoryTargetShare) }

// hostConfig returns the part of the host's configuration that comes from the platform's; a reload
// can change it. limits are those of this process's connections.
func hostConfig(c *config.Config, limits share.Connections) wire.HostConfig {
	return wire.HostConfig{Settings: c.Settings, Seed: c.Seed, ConnectTimeout: c.ConnectTimeout,
		LoadReports: c.LoadReports, MaxIdleConns: limits.Idle, KnownEndpoints: c.KnownEndpoints}
}

// applyConfig applies the result of a read and returns the configuration that is then in force. It
// was read and checked completely before anything changes; if that failed, the old one stays.
func (r *relay) applyConfig(old *config.Config, result configReadResult) *config.Config {
	c, err := result.config, result.err
	if err == nil {
		err = r.host.Reload(hostConfig(c, r.connections(c)), c.DiscoveryAddr)
	}
	if err != nil {
		r.log.Error("configuration not reloaded, the old one stays", "err", err)
		return old
	}
	if c.AdminAddr != old.AdminAddr {
		r.log.Warn("admin changes only at the next start", "admin", old.AdminAddr, "configured", c.AdminAddr)
		c.AdminAddr = old.AdminAddr
	}
	if c.ListenAddr != old.ListenAddr {
		r.log.Warn("listen changes only at the next start", "listen", old.ListenAddr, "configured", c.ListenAddr)
		c.ListenAddr = old.ListenAddr
	}
	warnRemovedNames(r.log, &old.Settings, &c.Settings)
	if server := r.server.Load(); server != nil {
		server.Configure(&c.Settings, r.connections(c).Clients)
	}
	r.log.Info("reloaded", "discovery", c.DiscoveryAddr, "slots", c.Settings.MaxConcurrentCalls,
		"held_most", c.Settings.MaxPending)
	return c
}
