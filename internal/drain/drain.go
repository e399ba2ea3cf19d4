// Package drain decides how a relay drains its HTTP server: on an operator's request, for a planned
// stop, and for a handover to the next process. It does no I/O and reads no clock, and a Machine is
// not safe for concurrent use.
package drain

import "time"

// Phases of a drain, counted from its start.
const (
	StopAcceptGrace     = 450 * time.Millisecond // planned stop: new connections are still accepted
	IdleGrace           = time.Second            // drain and handover: idle connections stay open
	FirstRequestTimeout = 300 * time.Millisecond // for the first request on a new connection, once idle ones are closed
)

// Event is an input of the state machine.
type Event int

// The events. HealthFail and HealthOK are the operators' and can be reversed; Stop and HandOver
// can't.
const (
	Started    Event = iota // the relay is ready to serve
	HealthFail              // drain the relay
	HealthOK                // end the drain
	Stop                    // the process exits without a successor
	HandOver                // the process exits, and another one serves at its address
)

// View is the required behaviour of the server at a moment.
type View struct {
	Ready              bool // GET /ready succeeds
	Serving            bool // the process serves and is not about to exit
	Stopping           bool // clients are told that the process exits soon
	CloseAfterResponse bool // each response closes its connection
	CloseIdle          bool // idle connections are closed, new ones after FirstRequestTimeout
	StopAccepting      bool // no connections are accepted any more
}

// Machine is the drain state machine of one relay. The zero value has not started.
type Machine struct {
	started, draining    bool
	ending               Event // Stop or HandOver; 0: neither
	drainingAt, endingAt time.Duration
}

// Handle applies an event at now, on any monotonic clock.
func (m *Machine) Handle(e Event, now time.Duration) {
	switch e {
	case Started:
		m.started = true
	case HealthFail:
		if !m.draining { // a repeated request must not extend the drain
			m.draining, m.drainingAt = true, now
		}
	case HealthOK:
		m.draining = false
	case Stop, HandOver:
		if m.ending == 0 {
			m.ending, m.endingAt = e, now
		}
	}
}

// Draining reports whether operators have drained the relay.
func (m *Machine) Draining() bool { return m.draining }

// View returns the required behaviour at now.
func (m *Machine) View(now time.Duration) View {
	// During a handover the next process serves at the same address, and is ready.
	v := View{
		Ready:    m.started && !m.draining && m.ending != Stop,
		Serving:  m.started && m.ending == 0,
		Stopping: m.ending == Stop,
	}
	if m.draining {
		v.CloseAfterResponse, v.CloseIdle = true, now-m.drainingAt >= IdleGrace
	}
	switch m.ending {
	case Stop:
		if now-m.endingAt >= StopAcceptGrace {
			v.CloseAfterResponse, v.CloseIdle, v.StopAccepting = true, true, true
		}
	case HandOver:
		v.CloseAfterResponse, v.CloseIdle = true, v.CloseIdle || now-m.endingAt >= IdleGrace
	}
	return v
}

// NextChange returns the time until the view changes without an event; 0: it does not.
func (m *Machine) NextChange(now time.Duration) (next time.Duration) {
	for _, change := range []struct {
		on bool
		at time.Duration
	}{
		{m.draining, m.drainingAt + IdleGrace},
		{m.ending == Stop, m.endingAt + StopAcceptGrace},
		{m.ending == HandOver, m.endingAt + IdleGrace},
	} {
		if d := change.at - now; change.on && d > 0 && (next == 0 || d < next) {
			next = d
		}
	}
	return next
}
