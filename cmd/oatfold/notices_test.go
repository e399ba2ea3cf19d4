package main

import (
	"testing"
	"time"
)

// Users saw messages that were taken on and of whose end they never heard, while discovery's agent was crowded.
//
// Order of events: a message runs out of time, the relay tells the platform so, and the agent needs longer than 120 ms for it; the
// relay gives that request up, closes its connection, and sends the same on a new one, again and again. An agent that lets go of
// what its client has left never takes any of them.
//
// Evidence: one line in a relay's log of the run that failed, played again, "notices fail and are tried again ... i/o timeout", where all other runs have none; and here, an
// agent that takes 250 ms and each time finds the connection closed.
//
// Cause: a retry that cancels the attempt before it, with a time-out shorter than the other side may take.
func TestNoticeReachesASlowAgent(t *testing.T) {
	s := newTestEnv(t)
	s.notifyDelay = 250 * time.Millisecond
	s.start()
	s.submit(messageRequest("order-relay", "ends", "99", 500))
	s.waitUntil("the notice to be taken", func() bool { return s.notified("ends", "") })
}
