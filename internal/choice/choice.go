// Package choice holds decisions that each relay of a fleet makes on its own so that the total
// comes out right: which endpoints to keep connections to, whether to probe a destination that is
// down, its share of a destination's rate, and how to combine the reports of other relays.
//
// All functions are pure: relays with the same view make the same decisions without coordination.
// The package opens no socket, reads no clock and starts no goroutine. No decision makes a relay
// call sooner than it would alone.
package choice

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

// Options selects the choices that relays share. The zero value selects none.
type Options struct {
	SubsetSize   int  // endpoints of a destination that a relay keeps connections to; 0: all
	TimeSlots    bool // a few relays at a time probe a destination that is down
	DemandShares bool // the rate of a destination is divided by demand
	Signals      bool // Retry-After times are shared, and each relay's reports count once
}

// Bounds of Options.SubsetSize.
const (
	DefaultSubsetSize = 8
	MinSubsetSize     = 2 // so that one endpoint that is down leaves another
	MaxSubsetSize     = 1000
)

// Parse parses Options: "off", "all", or a comma-separated list of "subset" or "subset=K",
// "turns", "slices" and "signals".
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
				if s.SubsetSize, err = strconv.Atoi(value); err != nil ||
					s.SubsetSize < MinSubsetSize || s.SubsetSize > MaxSubsetSize {
					return Options{}, fmt.Errorf("subset: %q is not a number from %d to %d",
						value, MinSubsetSize, MaxSubsetSize)
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

// Any reports whether any choice is shared.
func (s Options) Any() bool { return s != Options{} }

// String returns the options in the format of Parse.
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

// mix hashes numbers to one, the same at every relay.
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

// scaled maps 64 bits evenly to a number below n.
func scaled(x uint64, n int) int {
	hi, _ := bits.Mul64(x, uint64(n))
	return int(hi)
}
