package admission

import (
	"testing"
	"time"
)

func TestKeep(t *testing.T) {
	const ms = time.Millisecond
	var k KeepAlive
	now := time.Duration(0)
	come := func(n int, first bool) {
		for range n {
			now += 8 * ms
			k.RecordRequest(first, now)
		}
	}
	check := func(what string, idle int, want time.Duration) {
		t.Helper()
		if got := k.IdleTimeout(idle, 192); got != want {
			t.Errorf("%s, %d idle: %v, want %v", what, idle, got, want)
		}
	}
	check("nothing yet", 100, LongIdleTimeout)
	come(10, true)
	check("usual clients begin", 10, LongIdleTimeout)
	come(200, false)
	check("usual clients go on", 100, LongIdleTimeout)
	come(200, true)
	check("each message on a connection of its own", 24, LongIdleTimeout)
	check("each message on a connection of its own", 25, ShortIdleTimeout)
	come(60, false)
	come(60, true)
	come(70, false)
	check("they come back to those that they have", 100, LongIdleTimeout)
	come(1, true)
	now += time.Hour
	come(1, true)
	check("long after", 100, ShortIdleTimeout)
	come(2, false)
	check("long after, come back to", 100, LongIdleTimeout)
}
