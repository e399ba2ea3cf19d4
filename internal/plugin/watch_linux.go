package plugin

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// threadClock returns the id of the CPU time clock of a thread of this process for
// clock_gettime(2): CPUCLOCK_SCHED of one thread.
func threadClock(tid int) int32 { return int32(^tid<<3 | 6) }

// threadCPUTime returns the CPU time of a thread so far.
func threadCPUTime(clock int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(clock, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// limitTime returns a context that ends when a call on this goroutine has used up its wall time or
// its CPU time. The goroutine is locked to its thread until it calls end, which also adds the CPU
// time to cpuUsed.
func limitTime(b Budget, cpuUsed *atomic.Int64) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, cancelWall := context.WithTimeoutCause(ctx, b.Wall, fmt.Errorf("%v of wall time", b.Wall))
	runtime.LockOSThread()
	clock := threadClock(unix.Gettid())
	usedBefore := threadCPUTime(clock)
	var timer *time.Timer
	if b.CPU < b.Wall {
		// A call can't use more CPU time than wall time, so the first check is due after b.CPU.
		timer = time.AfterFunc(time.Hour, func() {
			if remaining := b.CPU - (threadCPUTime(clock) - usedBefore); remaining > 0 {
				timer.Reset(max(remaining, time.Millisecond))
			} else {
				cancel(fmt.Errorf("%v of CPU time", b.CPU))
			}
		})
		timer.Reset(b.CPU) // not in AfterFunc, since the function uses timer
	}
	return ctx, func() {
		if timer != nil {
			timer.Stop()
		}
		cpuUsed.Add(int64(threadCPUTime(clock) - usedBefore))
		runtime.UnlockOSThread()
		cancelWall()
		cancel(nil)
	}
}
