package main

import (
	"testing"
	"time"
)

// A notification reaches an agent that takes longer to reply than the relay's usual time limit.
// Prevents retries that cancel the attempt before them: an agent that drops the request of a client
// that has disconnected would never accept any.
func TestNotificationToSlowAgent(t *testing.T) {
	env := newTestEnv(t)
	env.notifyDelay = 250 * time.Millisecond
	env.start()
	env.submit(messageRequest("order-relay", "ends", "99", 500))
	env.waitUntil("the notification to be accepted", func() bool { return env.notified("ends", "") })
}
