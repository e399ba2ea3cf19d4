package capacity

import (
	"time"

	"oatfold/internal/lab/gossip"
	"oatfold/internal/peers/members"
)

const (
	fleetZones = 4
	calmTime   = 15 * time.Second // before a member dies
	watchTime  = 30 * time.Second // after it
)

func membersKnown(size int, seed uint64) (float64, error) {
	return heapOf(func() (any, error) {
		return members.New(members.Config{Self: 0, FleetSize: size, Zone: 0, Seed: int64(seed >> 1)}), nil
	})
}

// play is a fleet in which one member dies.
type play struct {
	size int
	seed uint64
}

// deaths keeps what was measured of each play, since several quantities are read from it.
var deaths = map[play]gossip.Measurement{}

// oneDeath plays a fleet in which one member dies, unless it was played before. Quantities are measured one after another.
func oneDeath(size int, seed uint64) gossip.Measurement {
	p := play{size, seed}
	if _, played := deaths[p]; !played {
		deaths[p] = gossip.Measure(gossip.Config{Relays: size, Zones: fleetZones, Seed: seed}, 1, calmTime, watchTime)
	}
	return deaths[p]
}

// membershipNotes is what each member sends for membership in a calm fleet.
func membershipNotes(size int, seed uint64) (float64, error) {
	return oneDeath(size, seed).BytesPerSecond, nil
}

// deathDetected is when the median member knows that one has died.
func deathDetected(size int, seed uint64) (float64, error) {
	return oneDeath(size, seed).MedianDetection * members.Period.Seconds(), nil
}
