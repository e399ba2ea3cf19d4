package keepalive

import (
	"testing"
	"time"
)

const maxIdle = 15 * time.Second

// Losses on idle connections cut the limit, which then recovers; the same loss rate on fresh
// connections does not cut it.
func TestLimitIsCutAndRecovers(t *testing.T) {
	limiter := &IdleLimiter{Max: maxIdle}
	now := time.Minute
	if limiter.Limit(now) != maxIdle {
		t.Fatalf("initially %v", limiter.Limit(now))
	}
	if limiter.RecordCall(now, 4*time.Second, true) {
		t.Fatal("a single loss is attributed to the idle time")
	}
	if !limiter.RecordCall(now, 4*time.Second, true) {
		t.Fatal("a second loss in a row is not")
	}
	if got := limiter.Limit(now); got != 2*time.Second {
		t.Fatalf("cut to %v", got)
	}
	if got := limiter.Limit(now + limitDoublingTime); got != 4*time.Second {
		t.Fatalf("after doubling %v", got)
	}
	if got := limiter.Limit(now + time.Hour); got != maxIdle {
		t.Fatalf("after an hour %v", got)
	}
	lossy := &IdleLimiter{Max: maxIdle}
	for range 10 {
		lossy.RecordCall(now, 0, true)
		if lossy.RecordCall(now, 4*time.Second, true) || lossy.Limit(now) != maxIdle {
			t.Fatal("idle connections are blamed though fresh ones lose as many calls")
		}
	}
}
