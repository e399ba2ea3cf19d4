package admission

import (
	"testing"
	"time"
)

func TestKeepAlive(t *testing.T) {
	const ms = time.Millisecond
	var k KeepAlive
	now := time.Duration(0)
	request := func(n int, first bool) {
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
	request(10, true)
	check("clients connect", 10, LongIdleTimeout)
	request(200, false)
	check("clients reuse connections", 100, LongIdleTimeout)
	request(200, true)
	check("one connection per message", 24, LongIdleTimeout)
	check("one connection per message", 25, ShortIdleTimeout)
	request(60, false)
	request(60, true)
	request(70, false)
	check("clients reuse connections again", 100, LongIdleTimeout)
	request(1, true)
	now += time.Hour
	request(1, true)
	check("an hour later, new connections", 100, ShortIdleTimeout)
	request(2, false)
	check("an hour later, reused connections", 100, LongIdleTimeout)
}
