package share

// KeepPending returns how many messages a process that begins to leave may still hold, of those
// that it might up to then: what it holds, and half of what is free.
func KeepPending(limit, pending int) int { return pending + max(0, limit-pending)/2 }

// LowerPending returns how many of kept messages a leaving process may still hold: those that it
// holds, and one that may come from each of its clients' connections.
func LowerPending(kept, pending, clientConns int) int { return min(kept, pending+clientConns) }

// UntoldPending returns how many messages a process leaves to one of an earlier version, which does
// not tell what it keeps.
func UntoldPending(limit int) int { return limit / 2 }
