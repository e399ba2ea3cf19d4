package share

// Connections are limits of a process's connections.
type Connections struct {
	Clients int // open connections of clients
	Idle    int // idle connections to endpoints
}

// KeepClients returns how many client connections a process that begins to leave keeps, of those
// that it may have alone: half, or as many as are open. It opens no further one above half.
func KeepClients(alone Connections, open int) int {
	return min(alone.Clients, max(MaxClientsLeaving(alone), open))
}

// MaxClientsLeaving returns the limit of client connections of a process that leaves.
func MaxClientsLeaving(alone Connections) int { return max(1, alone.Clients/2) }

// LowerClients returns how many of kept connections a leaving process still keeps: those that are
// open, and those that it may still accept, up to limit, while it listens.
func LowerClients(kept, open, limit int, listening bool) int {
	if listening {
		return min(kept, max(open, limit))
	}
	return min(kept, open)
}

// SuccessorConnections returns the limits of a process beside others that leave: of what one of
// them may have alone, the rest after the client connections that those keep and the descriptors
// that this process needs in any case. A leaving process keeps no idle connections to endpoints.
func SuccessorConnections(alone Connections, kept, fixed int) Connections {
	rest := max(0, alone.Clients+alone.Idle-kept-fixed)
	idle := min(alone.Idle, rest/3)
	return Connections{Clients: max(1, min(alone.Clients, rest-idle)), Idle: idle}
}

// UntoldConnections returns the limits of a process beside one of an earlier version, which does
// not tell what it keeps.
func UntoldConnections(alone Connections) Connections {
	return Connections{Clients: max(1, alone.Clients/2), Idle: alone.Idle / 2}
}
