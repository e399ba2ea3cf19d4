//go:build !linux

package plugin

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// limitTime bounds the wall time only, which it also counts as CPU time: this system has no CPU
// clock of a thread.
func limitTime(b Budget, cpuUsed *atomic.Int64) (ctx context.Context, end func()) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeoutCause(context.Background(), b.Wall, fmt.Errorf("%v of wall time", b.Wall))
	return ctx, func() {
		cpuUsed.Add(int64(time.Since(startedAt)))
		cancel()
	}
}
