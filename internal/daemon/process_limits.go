package daemon

import (
	"runtime/debug"

	"oatfold/internal/admin"
	"oatfold/internal/daemon/config"
	"oatfold/internal/handover/share"
	"oatfold/internal/wire"
)

// This file divides the limits of descriptors, memory and messages: over the kinds of connections,
// and between the processes of one relay while one replaces the other.

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

// connections returns the limits of this process's connections. Beside processes that leave they
// are what those do not keep, less what each process in between needs in any case.
func (r *relay) connections(c *config.Config) share.Connections {
	alone := connectionsAlone(c)
	leaving := int(r.leavingProcesses.Load())
	if leaving == 0 {
		return alone
	}
	kept, _, told := r.kept.counts()
	if !told {
		return share.UntoldConnections(alone)
	}
	return share.SuccessorConnections(alone, kept, leaving*successorDescriptors)
}

// pendingElsewhere returns how many messages the processes that leave may still hold.
func (r *relay) pendingElsewhere(c *config.Config) int {
	if r.leavingProcesses.Load() == 0 {
		return 0
	}
	_, kept, told := r.kept.counts()
	if !told {
		return share.UntoldPending(c.Settings.MaxPending)
	}
	return kept
}

// memory returns the limits of this process's memory.
func (r *relay) memory(c *config.Config) share.Memory {
	alone := share.Memory{Limit: memoryTarget(c), Bodies: r.bodyBytes}
	return alone.Successor(int(r.leavingProcesses.Load()))
}

// processLimits are the limits of a process.
type processLimits struct {
	connections share.Connections
	memory      share.Memory
	pending     int          // messages that other processes may hold
	server      *wire.Server // that they were applied to; nil: none yet
}

// applyLimits applies the limits of connections and memory, if they have changed with the
// configuration or what another process keeps.
func (r *relay) applyLimits() {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	c := r.configuration()
	limits := processLimits{r.connections(c), r.memory(c), r.pendingElsewhere(c), r.server.Load()}
	if limits == r.limits {
		return
	}
	r.limits = limits
	r.host.SetMaxIdleConns(limits.connections.Idle)
	r.host.SetPendingElsewhere(limits.pending)
	if limits.server != nil {
		limits.server.SetMaxConns(limits.connections.Clients)
	}
	r.applyMemory(limits.memory)
}

func (r *relay) applyMemory(memory share.Memory) {
	debug.SetMemoryLimit(memory.Limit)
	r.host.SetBodyMemory(memory.Bodies)
}

// restoreLimits undoes beginLeaving, where the handover could not begin.
func (r *relay) restoreLimits() {
	r.limitsMu.Lock()
	r.limits = processLimits{}
	r.limitsMu.Unlock()
	r.applyLimits()
}

// leavingConns are the client connections of a process that leaves.
type leavingConns struct {
	kept int // that it keeps, as the next process is told
	most int // limit of open ones
}

// beginLeaving lowers the limits of this process to its share beside the one that replaces it.
// Beside another one that still leaves, that is a share of what this process had.
func (r *relay) beginLeaving(server *wire.Server) leavingConns {
	c := r.configuration()
	own := r.connections(c)
	conns := leavingConns{kept: share.KeepClients(own, server.OpenConnections()), most: share.MaxClientsLeaving(own)}
	server.SetMaxConns(conns.most)
	r.applyMemory(r.memory(c).Leaving())
	return conns
}

// lower takes account of the connections that are open now.
func (l *leavingConns) lower(open int, listening bool) {
	l.kept = share.LowerClients(l.kept, open, l.most, listening)
}
