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

func (d scheduledEvent) before(o scheduledEvent) bool {
	return d.at < o.at || d.at == o.at && d.seq < o.seq
}

// schedule runs do at that time; a time that has passed is now.
func (e *engine) schedule(at time.Duration, do func()) {
	e.lastSeq++
	h := append(e.heap, scheduledEvent{max(at, e.now), e.lastSeq, do})
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !h[i].before(h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
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
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if h[c].before(h[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	e.heap = h
	e.now = first.at
	e.processed++
	first.run()
	return true
}

// newRand is a source for one purpose, so that what one part draws shifts nothing elsewhere: two arms of an experiment see
// the same arrivals.
func newRand(seed uint64, purpose string, of ...uint64) *rand.Rand {
	h := seed*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
	mix := func(v uint64) {
		h ^= v
		h *= 0xff51afd7ed558ccd
		h ^= h >> 33
	}
	for _, b := range []byte(purpose) {
		mix(uint64(b))
	}
	for _, v := range of {
		mix(v + 1)
	}
	return rand.New(rand.NewPCG(h, seed))
}

// drawFactor draws a factor of mean 1 whose standard deviation is cv.
func drawFactor(r *rand.Rand, cv float64, exp bool) float64 {
	switch {
	case exp:
		return r.ExpFloat64()
	case cv <= 0:
		return 1
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}

// scaleDuration is a share of a time.
func scaleDuration(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
