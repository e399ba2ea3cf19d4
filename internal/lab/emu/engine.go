package emu

import (
	"math"
	"math/rand/v2"
	"time"
)

// engine is virtual time: what is due, in order of time and, at one time, of entry.
type engine struct {
	now       time.Duration
	lastSeq   uint64
	heap      []scheduledEvent
	processed int
}

type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// schedule runs do at that time; a time that has passed is now.
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

func (e *engine) scheduleAfter(d time.Duration, do func()) { e.schedule(e.now+d, do) }

// runNext runs what is due next; false: nothing is.
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

// newRand is a source for one purpose, so that what one part draws shifts nothing elsewhere: two arms of an experiment see
// the same arrivals.
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

// drawFactor draws a factor of mean 1 whose standard deviation is cv.
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

// scaleDuration is a share of a time.
func scaleDuration(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
