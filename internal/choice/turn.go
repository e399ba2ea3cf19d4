package choice

import (
	"math"
	"time"
)

// SlotDuration is how long a turn lasts. Whoever holds one and can't use it is passed over when it ends.
const SlotDuration = 2 * time.Second

const (
	triers    = 2    // relays that shall try a destination in one epoch
	heldFor   = 3    // epochs that a message for it is held, about
	someWork  = 0.02 // share of the relays with work for it, at least
	epochSalt = 0x74_75_72_6e
)

// SlotHolders is how many relays hold the turn of a destination at once, so that about two of them have work for it: wanted is the messages a second
// that come in for it at the usual relay.
func SlotHolders(live int, wanted float64) int {
	working := max(someWork, 1-math.Exp(-max(0, wanted)*heldFor*SlotDuration.Seconds()))
	return min(max(1, live), int(math.Ceil(triers/working)))
}

// SlotAt is the epoch of a moment of the wall clock. Relays whose clocks differ take each other's turns: as many hold one as else.
func SlotAt(wall time.Time) uint64 {
	return uint64(wall.UnixMilli()) / uint64(SlotDuration.Milliseconds())
}

// HoldsSlot tells whether a member holds the turn for a thing in an epoch, among those that live. It costs about as much as there are holders,
// however large the fleet is.
func HoldsSlot(me int, live []bool, thing, epoch uint64, holders int) bool {
	if me < 0 || me >= len(live) {
		return true // not of the fleet: alone
	}
	mine, before := mix(epochSalt, thing, epoch, uint64(me)), 0
	// From a place of its own, so that members that do not hold it find out soon.
	for i := range live {
		if n := (me + i) % len(live); n != me && live[n] && mix(epochSalt, thing, epoch, uint64(n)) < mine {
			if before++; before >= holders {
				return false
			}
		}
	}
	return true
}
