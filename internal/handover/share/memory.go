package share

// Memory is what a process may use of a relay's memory, in bytes.
type Memory struct {
	Limit  int64 // soft limit of the runtime
	Bodies int64 // bodies of pending messages
}

// Leaving returns what a process keeps that has m as it begins to leave. It has most of the
// connections and messages still.
func (m Memory) Leaving() Memory { return Memory{Limit: m.Limit / 3 * 2, Bodies: m.Bodies / 2} }

// Successor returns what a process may use beside others that leave, each of which replaced the one
// before, where a process that is alone may use m.
func (m Memory) Successor(leaving int) Memory {
	for range leaving {
		kept := m.Leaving()
		m = Memory{Limit: m.Limit - kept.Limit, Bodies: m.Bodies - kept.Bodies}
	}
	return m
}
