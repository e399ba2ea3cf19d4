package capacity

import (
	"time"

	"oatfold/internal/lab/gossip"
	"oatfold/internal/peers/members"
)

const (
	fleetZones      = 4
	steadyTime      = 15 * time.Second // before a member dies
	observationTime = 30 * time.Second // after it
)

func memberMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) {
		return members.New(members.Config{Self: 0, FleetSize: size, Zone: 0, Seed: int64(seed >> 1)}), nil
	})
}

// deathRun is a fleet in which one member dies.
type deathRun struct {
	size int
	seed uint64
}

// deathMeasurements keeps what was measured of each play, since several quantities are read from it.
var deathMeasurements = map[deathRun]gossip.Measurement{}

// measureDeath plays a fleet in which one member dies, unless it was played before. Quantities are measured one after another.
func measureDeath(size int, seed uint64) gossip.Measurement {
	run := deathRun{size, seed}
	if _, measured := deathMeasurements[run]; !measured {
		deathMeasurements[run] = gossip.Measure(gossip.Config{Relays: size, Zones: fleetZones, Seed: seed}, 1, steadyTime, observationTime)
	}
	return deathMeasurements[run]
}

// membershipTraffic is what each member sends for membership in a calm fleet.
func membershipTraffic(size int, seed uint64) (float64, error) {
	return measureDeath(size, seed).BytesPerSecond, nil
}

// deathDetectionTime is when the median member knows that one has died.
func deathDetectionTime(size int, seed uint64) (float64, error) {
	return measureDeath(size, seed).MedianDetection * members.Period.Seconds(), nil
}
