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

// memoryShare of the limit is what the garbage collector aims to stay under.
const memoryShare = 0.6

// ConfigSources is where a relay's configuration comes from, at the start and at each SIGHUP.
type ConfigSources struct {
	LoadPlatform func() (*config.Config, error)
	LoadOperator func(*config.Config) (*operator.Config, error) // nil: no operator's file
}

// plug is what a load of plug-ins came to.
type plug struct {
	set   *plugin.Set
	sites *sites.Plan
	err   error
}

// plugins loads what the operator's file says, off the serving path.
func (s ConfigSources) plugins(ctx context.Context, c *config.Config, log *slog.Logger) <-chan plug {
	done := make(chan plug, 1)
	if s.LoadOperator == nil {
		done <- plug{}
		return done
	}
	go func() {
		oc, err := s.LoadOperator(c)
		if err != nil {
			done <- plug{err: err}
			return
		}
		set, err := plugin.LoadSet(ctx, oc.Plugins, log)
		done <- plug{set, oc.Sites, err}
	}()
	return done
}

// read is what reading the platform's configuration came to.
type read struct {
	c   *config.Config
	err error
}

// reload begins to read the sources again, off the goroutine that hears of a stop: a file may hang as it is read. What is asked for while
// one is read comes behind it, since that one may be too old by then.
func (r *relay) reload() {
	r.log.Info("reloading")
	if r.reading != nil {
		r.again = true
		return
	}
	done := make(chan read, 1)
	go func() {
		var got read
		got.err = patiently("configuration can't be read", reloadPatience, func() bool { return r.stopping.Load() }, r.log, func() (err error) {
			got.c, err = r.from.LoadPlatform()
			return err
		})
		done <- got
	}()
	r.reading = done
}

// apply puts a configuration that was read in force, and goes on with the operator's file.
func (r *relay) apply(ctx context.Context, got read) {
	r.reading = nil
	r.c = reload(r.c, got, r.host, r.front.Load(), r.log)
	if r.again {
		r.again = false
		r.reload()
	}
	r.stop() // Guards against an older file that comes into force after a newer one
	go drop(r.loading)
	var now context.Context
	now, r.stop = context.WithCancel(ctx)
	r.loading = r.from.plugins(now, r.c, r.log)
}

// drop lets go of plug-ins that nobody waits for any more.
func drop(loading <-chan plug) {
	if loading != nil {
		(<-loading).set.Release()
	}
}

// swap brings a reloaded operator's file into force, or leaves all as it was.
func (r *relay) swap(p plug) {
	if p.err != nil {
		r.log.Error("plug-ins not reloaded, the old ones stay", "err", p.err)
		p.set.Release()
		return
	}
	if p.set != nil {
		r.holder.Replace(p.set)
		r.host.SetSitePlan(p.sites, r.home())
		r.log.Info("plug-ins reloaded", "count", len(p.set.Plugins()))
	}
}

func memoryAim(c *config.Config) int64 { return int64(float64(c.MemoryBytes) * memoryShare) }

func hostConfig(c *config.Config) wire.HostConfig {
	_, idle := sockets(c)
	return wire.HostConfig{Settings: c.Settings, Seed: c.Seed, ConnectTimeout: c.ConnectTimeout, LoadReports: c.LoadReports,
		MaxIdleConns: idle, KnownEndpoints: c.KnownEndpoints, JournalBytes: c.DiskBytes}
}

// reload puts the configuration as it is now in force and returns it. Guards against a file that is wrong or half
// written: it is read and checked whole before anything changes, and the old one stays.
func reload(old *config.Config, got read, host *wire.Host, front *wire.Server, log *slog.Logger) *config.Config {
	c, err := got.c, got.err
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
	warnGone(log, &old.Settings, &c.Settings)
	debug.SetMemoryLimit(memoryAim(c))
	if clients, _ := sockets(c); front != nil {
		front.Configure(&c.Settings, clients)
	}
	log.Info("reloaded", "discovery", c.DiscoveryAddr, "slots", c.Settings.MaxConcurrentCalls, "held_most", c.Settings.MaxPending)
	return c
}
