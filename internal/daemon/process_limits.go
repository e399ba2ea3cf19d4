package daemon

import (
	"runtime/debug"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/handover/share"
	"oatfold/internal/wire"
)

// This file divides the limits of descriptors and memory: over the kinds of connections, and
// between the processes of one relay while one replaces the other.

// ownDescriptors is the number of descriptors for the process itself: standard streams, journal,
// poll, listener, discovery.
const ownDescriptors = 24

// standbyDescriptors is the number of descriptors that a standby process takes. It counts only
// where operators can start one.
const standbyDescriptors = 16

// successorDescriptors is the number of descriptors that a process takes beside a leaving one, in
// addition to those of a standby, for its own files, operators and late answers. Calls of both
// processes share one limit.
const successorDescriptors = ownDescriptors + admin.MaxConns + 1 + wire.MaxLateListeners - standbyDescriptors

// Shares of the soft memory limit while one process replaces another. The leaving one has most of
// the connections and messages.
const (
	leavingMemoryShare   = 2.0 / 3
	successorMemoryShare = 1 - leavingMemoryShare
	overlapBodyDivisor   = 2 // of the memory for bodies, for each of the two
)

// connectionsAlone returns how many client connections and how many idle connections to endpoints a
// relay of one process may have. It divides the file descriptors that remain besides the process's
// own files, one for each concurrent call, and connections that are still read after the end of
// their call. Idle connections get up to a quarter of all descriptors, client connections up to
// half. Clients use about a third; the rest is a reserve for many silent clients, so that calls
// never lack a descriptor.
func connectionsAlone(c *config.Config) share.Connections {
	reserved := ownDescriptors + wire.MaxLateListeners
	if c.AdminAddr != "" {
		reserved += admin.MaxConns + 1 + standbyDescriptors
	}
	remaining := max(2, c.MaxDescriptors-reserved-c.Settings.MaxConcurrentCalls)
	idle := min(c.MaxDescriptors/4, remaining/3)
	return share.Connections{Clients: max(1, min(c.MaxDescriptors/2, remaining-idle)), Idle: idle}
}

// connections returns the limits of this process's connections. Beside a process that leaves they
// are what that one does not keep.
func (r *relay) connections(c *config.Config) share.Connections {
	alone := connectionsAlone(c)
	if !r.overlapping.Load() {
		return alone
	}
	kept, told := r.kept.clientConns()
	if !told {
		return share.UntoldConnections(alone)
	}
	return share.SuccessorConnections(alone, kept, successorDescriptors)
}

// processLimits are the limits of a process.
type processLimits struct {
	connections share.Connections
	memoryBytes int64        // soft limit of the runtime
	bodyBytes   int64        // that bodies of pending messages may take in memory
	server      *wire.Server // that they were applied to; nil: none yet
}

// applyLimits applies the limits of connections and memory, if they have changed with the
// configuration or what another process keeps.
func (r *relay) applyLimits() {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	c := r.configuration()
	limits := processLimits{r.connections(c), memoryTarget(c), r.bodyBytes, r.server.Load()}
	if r.overlapping.Load() {
		limits.memoryBytes = int64(float64(limits.memoryBytes) * successorMemoryShare)
		limits.bodyBytes /= overlapBodyDivisor
	}
	if limits == r.limits {
		return
	}
	r.limits = limits
	r.host.SetMaxIdleConns(limits.connections.Idle)
	if limits.server != nil {
		limits.server.SetMaxConns(limits.connections.Clients)
	}
	debug.SetMemoryLimit(limits.memoryBytes)
	r.host.SetBodyMemory(limits.bodyBytes)
}

// restoreLimits undoes beginLeaving, where the handover could not begin.
func (r *relay) restoreLimits() {
	r.limitsMu.Lock()
	r.limits = processLimits{}
	r.limitsMu.Unlock()
	r.applyLimits()
}

// beginLeaving lowers the limits of this process to its share beside the one that replaces it, and
// returns how many client connections it keeps.
func (r *relay) beginLeaving(server *wire.Server) (kept int) {
	c := r.configuration()
	alone := connectionsAlone(c)
	kept = share.KeepClients(alone, server.OpenConnections())
	server.SetMaxConns(share.MaxClientsLeaving(alone))
	debug.SetMemoryLimit(int64(float64(memoryTarget(c)) * leavingMemoryShare))
	r.host.SetBodyMemory(r.bodyBytes / overlapBodyDivisor)
	return kept
}
