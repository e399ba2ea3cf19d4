package keepalive

import (
	"testing"
	"time"
)

const most = 15 * time.Second

// Calls lost on idle connections cut the limit, which grows again; the same share of losses on fresh ones does not.
func TestLimitIsCutAndGrowsAgain(t *testing.T) {
	trust := &IdleLimiter{Max: most}
	now := time.Minute
	if trust.Limit(now) != most {
		t.Fatalf("at first %v", trust.Limit(now))
	}
	if trust.RecordCall(now, 4*time.Second, true) {
		t.Fatal("a single loss is put down to its connection")
	}
	if !trust.RecordCall(now, 4*time.Second, true) {
		t.Fatal("a second loss in a row is not")
	}
	if got := trust.Limit(now); got != 2*time.Second {
		t.Fatalf("cut to %v", got)
	}
	if got := trust.Limit(now + doubling); got != 4*time.Second {
		t.Fatalf("after a while %v", got)
	}
	if got := trust.Limit(now + time.Hour); got != most {
		t.Fatalf("at last %v", got)
	}
	both := &IdleLimiter{Max: most}
	for range 10 {
		both.RecordCall(now, 0, true)
		if both.RecordCall(now, 4*time.Second, true) || both.Limit(now) != most {
			t.Fatal("blamed idle connections while fresh ones lose as many")
		}
	}
}
