package capacity

import (
	"time"

	"oatfold/internal/lab/gossip"
	"oatfold/internal/peers/members"
)

const (
	fleetZones      = 4
	steadyTime      = 15 * time.Second // before the death
	observationTime = 30 * time.Second // after the death
)

func memberMemory(size int, seed uint64) (float64, error) {
	return measureHeap(func() (any, error) {
		return members.New(members.Config{Self: 0, FleetSize: size, Zone: 0, Seed: int64(seed >> 1)}), nil
	})
}

// deathRun identifies a simulated fleet in which one member dies.
type deathRun struct {
	size int
	seed uint64
}

// deathMeasurements caches the measurements of each run, since several quantities read them.
var deathMeasurements = map[deathRun]gossip.Measurement{}

// measureDeath simulates a fleet in which one member dies. Results are cached without a lock, since
// quantities are measured one after another.
func measureDeath(size int, seed uint64) gossip.Measurement {
	run := deathRun{size, seed}
	if _, measured := deathMeasurements[run]; !measured {
		deathMeasurements[run] = gossip.Measure(gossip.Config{Relays: size, Zones: fleetZones, Seed: seed}, 1,
			steadyTime, observationTime)
	}
	return deathMeasurements[run]
}

// membershipTraffic returns the bytes per second that each member sends in a fleet without
// failures.
func membershipTraffic(size int, seed uint64) (float64, error) {
	return measureDeath(size, seed).BytesPerSecond, nil
}

// deathDetectionTime returns the seconds until the median member knows of a death.
func deathDetectionTime(size int, seed uint64) (float64, error) {
	return measureDeath(size, seed).MedianDetection * members.Period.Seconds(), nil
}
