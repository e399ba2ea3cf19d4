// Package drain decides how a relay empties its front socket: for the operators, for a planned stop, and for the process that takes its
// place. It does no I/O and reads no clock; whoever holds a Machine keeps it from concurrent use.
package drain

import "time"

// Times of a drain, from its beginning on.
const (
	StopAcceptGrace     = 450 * time.Millisecond // planned stop: new connections keep coming for so long
	IdleGrace           = time.Second            // drain and upgrade: clients may use the connections that they have for so long
	FirstRequestTimeout = 300 * time.Millisecond // a new connection may say nothing, once idle ones are closed
)

// Event is what happens to a relay.
type Event int

// The events. Fail and OK are the operators'; a stop of either kind can't be taken back.
const (
	Started    Event = iota // it can serve
	HealthFail              // empty the relay
	HealthOK                // back to work
	Stop                    // the process ends, and nobody takes its place
	HandOver                // the process ends, and another serves at its address
)

// View is what holds at a moment.
type View struct {
	Ready              bool // GET /ready says yes
	Serving            bool // the process serves, and is not about to end
	Stopping           bool // clients are told that the process ends soon
	CloseAfterResponse bool // each answer closes its connection
	CloseIdle          bool // connections without a request are closed, new ones after SilentFor
	StopAccepting      bool // nothing is accepted any more
}

// Machine is the state of one relay's front socket.
type Machine struct {
	started, failed bool
	ending          Event // Stop or HandOver; 0: neither
	failedAt, endAt time.Duration
}

// Handle takes an event in at now, on any clock that does not go back.
func (m *Machine) Handle(e Event, now time.Duration) {
	switch e {
	case Started:
		m.started = true
	case HealthFail:
		if !m.failed { // Guards against calls that are repeated and put the end off
			m.failed, m.failedAt = true, now
		}
	case HealthOK:
		m.failed = false
	case Stop, HandOver:
		if m.ending == 0 {
			m.ending, m.endAt = e, now
		}
	}
}

// Draining tells whether the operators have emptied the relay.
func (m *Machine) Draining() bool { return m.failed }

// View tells what holds at now.
func (m *Machine) View(now time.Duration) View {
	// While another process serves at the address, it is the one that a yes is for.
	v := View{Ready: m.started && !m.failed && m.ending != Stop, Serving: m.started && m.ending == 0, Stopping: m.ending == Stop}
	if m.failed {
		v.CloseAfterResponse, v.CloseIdle = true, now-m.failedAt >= IdleGrace
	}
	switch m.ending {
	case Stop:
		if now-m.endAt >= StopAcceptGrace {
			v.CloseAfterResponse, v.CloseIdle, v.StopAccepting = true, true, true
		}
	case HandOver:
		v.CloseAfterResponse, v.CloseIdle = true, v.CloseIdle || now-m.endAt >= IdleGrace
	}
	return v
}

// NextChange tells in how much time the view changes by itself; 0: not at all.
func (m *Machine) NextChange(now time.Duration) (next time.Duration) {
	for _, at := range []struct {
		on bool
		at time.Duration
	}{{m.failed, m.failedAt + IdleGrace}, {m.ending == Stop, m.endAt + StopAcceptGrace}, {m.ending == HandOver, m.endAt + IdleGrace}} {
		if d := at.at - now; at.on && d > 0 && (next == 0 || d < next) {
			next = d
		}
	}
	return next
}
