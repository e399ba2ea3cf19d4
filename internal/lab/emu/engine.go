package emu

import (
	"math"
	"math/rand/v2"
	"time"
)

// engine runs events in virtual time, in order of their time and then of their insertion.
type engine struct {
	now       time.Duration
	lastSeq   uint64
	heap      []scheduledEvent // 4-ary
	processed int
}

// scheduledEvent is an event that has not run yet.
type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

// before reports whether e runs before other.
func (e scheduledEvent) before(other scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// schedule runs a function at a time; one in the past means now.
func (e *engine) schedule(at time.Duration, run func()) {
	e.lastSeq++
	h := append(e.heap, scheduledEvent{max(at, e.now), e.lastSeq, run})
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !h[i].before(h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	e.heap = h
}

// scheduleAfter runs a function after a delay.
func (e *engine) scheduleAfter(d time.Duration, do func()) { e.schedule(e.now+d, do) }

// runNext runs the next event; it returns false if there is none.
func (e *engine) runNext() bool {
	n := len(e.heap) - 1
	if n < 0 {
		return false
	}
	first, h := e.heap[0], e.heap
	h[0] = h[n]
	h[n] = scheduledEvent{}
	h = h[:n]
	for i := 0; ; {
		smallest := i
		for child := 4*i + 1; child <= 4*i+4 && child < n; child++ {
			if h[child].before(h[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
	e.heap = h
	e.now = first.at
	e.processed++
	first.run()
	return true
}

// newRand returns a random source of its own for one purpose, so that the number of draws for one
// purpose does not affect another: all variants of an experiment see the same arrivals.
func newRand(seed uint64, purpose string, parts ...uint64) *rand.Rand {
	hash := seed*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
	mix := func(v uint64) {
		hash ^= v
		hash *= 0xff51afd7ed558ccd
		hash ^= hash >> 33
	}
	for _, b := range []byte(purpose) {
		mix(uint64(b))
	}
	for _, v := range parts {
		mix(v + 1)
	}
	return rand.New(rand.NewPCG(hash, seed))
}

// drawFactor draws a factor with mean 1: exponential, or lognormal with standard deviation cv.
func drawFactor(r *rand.Rand, cv float64, exponential bool) float64 {
	switch {
	case exponential:
		return r.ExpFloat64()
	case cv <= 0:
		return 1
	}
	variance := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(variance) - variance/2)
}

// scaleDuration multiplies a duration by share.
func scaleDuration(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
