// Package choice holds what each relay of a fleet decides for itself so that the sum comes out right: which endpoints it keeps connections to,
// whether it is its turn to do what all would do, how much of a partner's rate falls to it, and what to make of what others say they saw.
//
// All of it is pure: two relays that know the same come to the same answer without asking one another. Nothing here opens a socket, reads a
// clock or owns a goroutine. Nothing here ever makes a relay call sooner than it would alone.
package choice

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

// Options says which choices are shared. The zero value shares none.
type Options struct {
	SubsetSize   int  // endpoints of a destination that a relay keeps connections to; 0: all
	TimeSlots    bool // a few at a time try a destination that is out
	DemandShares bool // what a partner takes is dealt out by demand
	Signals      bool // told waits are passed on, and what others saw counts by how many saw it
}

// Bounds of Set.
const (
	DefaultSubsetSize = 8
	MinSubsetSize     = 2 // one endpoint that is down must not leave a relay with none
	MaxSubsetSize     = 1000
)

// Parse reads a Set: "off", "all", or some of "subset" or "subset=K", "turns", "slices", "signals", with commas.
func Parse(text string) (s Options, err error) {
	switch text {
	case "", "off":
		return s, nil
	case "all":
		return Options{DefaultSubsetSize, true, true, true}, nil
	}
	for word := range strings.SplitSeq(text, ",") {
		name, value, has := strings.Cut(word, "=")
		switch {
		case name == "subset":
			s.SubsetSize = DefaultSubsetSize
			if has {
				if s.SubsetSize, err = strconv.Atoi(value); err != nil || s.SubsetSize < MinSubsetSize || s.SubsetSize > MaxSubsetSize {
					return Options{}, fmt.Errorf("subset: %q is not a number from %d to %d", value, MinSubsetSize, MaxSubsetSize)
				}
			}
		case has:
			return Options{}, fmt.Errorf("%q: only subset takes a number", word)
		case name == "turns":
			s.TimeSlots = true
		case name == "slices":
			s.DemandShares = true
		case name == "signals":
			s.Signals = true
		default:
			return Options{}, fmt.Errorf("%q is none of off, all, subset, subset=K, turns, slices, signals", word)
		}
	}
	return s, nil
}

// Any tells whether anything is shared.
func (s Options) Any() bool { return s != Options{} }

func (s Options) String() string {
	var all []string
	if s.SubsetSize > 0 {
		all = append(all, fmt.Sprintf("subset=%d", s.SubsetSize))
	}
	for _, w := range []struct {
		on   bool
		name string
	}{{s.TimeSlots, "turns"}, {s.DemandShares, "slices"}, {s.Signals, "signals"}} {
		if w.on {
			all = append(all, w.name)
		}
	}
	if all == nil {
		return "off"
	}
	return strings.Join(all, ",")
}

// Time is a moment on the caller's monotonic clock, counted from any fixed start.
type Time = time.Duration

// mix draws a number from others, the same at every relay.
func mix(parts ...uint64) uint64 {
	h := uint64(0x51_7c_c1_b7_27_22_0a_95)
	for _, p := range parts {
		h ^= p
		h *= 0xff51afd7ed558ccd
		h ^= h >> 33
		h *= 0xc4ceb9fe1a85ec53
		h ^= h >> 29
	}
	return h
}

// scaled maps a number of 64 bits evenly to one below n.
func scaled(x uint64, n int) int {
	hi, _ := bits.Mul64(x, uint64(n))
	return int(hi)
}
