package choice

import (
	"math"
	"time"
)

// SlotDuration is the length of a time slot. Others take over from a holder without messages in
// the next slot.
const SlotDuration = 2 * time.Second

const (
	probersPerSlot = 2    // relays that should probe a destination in one slot
	pendingSlots   = 3    // slots for which a message stays pending, roughly
	minBusyShare   = 0.02 // share of the relays with messages for it, at least
	slotSalt       = 0x74_75_72_6e
)

// SlotHolders returns how many relays hold the time slot of a destination, so that about
// probersPerSlot of them have messages for it. meanDemand is the mean number of messages per
// second that arrive for it at a relay.
func SlotHolders(live int, meanDemand float64) int {
	busyShare := max(minBusyShare, 1-math.Exp(-max(0, meanDemand)*pendingSlots*SlotDuration.Seconds()))
	return min(max(1, live), int(math.Ceil(probersPerSlot/busyShare)))
}

// SlotAt returns the time slot of a moment on the wall clock. Clock differences between relays
// change who holds a slot, but hardly how many do.
func SlotAt(wall time.Time) uint64 {
	return uint64(wall.UnixMilli()) / uint64(SlotDuration.Milliseconds())
}

// HoldsSlot reports whether a member holds the time slot of a key, such as a destination, among
// the live members. Its cost grows with the number of holders, not with the fleet.
func HoldsSlot(self int, live []bool, key, slot uint64, holders int) bool {
	if self < 0 || self >= len(live) {
		return true // not in a fleet
	}
	own, ahead := mix(slotSalt, key, slot, uint64(self)), 0
	// Starts after itself, so that most members find enough holders soon.
	for i := range live {
		if n := (self + i) % len(live); n != self && live[n] && mix(slotSalt, key, slot, uint64(n)) < own {
			if ahead++; ahead >= holders {
				return false
			}
		}
	}
	return true
}
