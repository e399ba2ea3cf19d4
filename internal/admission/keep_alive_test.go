package admission

import (
	"testing"
	"time"
)

func TestKeepAlive(t *testing.T) {
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
	check("no requests yet", 100, LongIdleTimeout)
	come(10, true)
	check("clients connect", 10, LongIdleTimeout)
	come(200, false)
	check("clients reuse connections", 100, LongIdleTimeout)
	come(200, true)
	check("one connection per message", 24, LongIdleTimeout)
	check("one connection per message", 25, ShortIdleTimeout)
	come(60, false)
	come(60, true)
	come(70, false)
	check("clients reuse connections again", 100, LongIdleTimeout)
	come(1, true)
	now += time.Hour
	come(1, true)
	check("an hour later, new connections", 100, ShortIdleTimeout)
	come(2, false)
	check("an hour later, reused connections", 100, LongIdleTimeout)
}
