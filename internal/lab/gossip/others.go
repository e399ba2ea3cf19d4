package gossip

import (
	"math"
	"math/rand/v2"

	"oatfold/internal/peers/members"
)

// Alternative is a way to find out who lives that was weighed against the one in service. Each is reduced to what decides: who hears whose heartbeats how
// often, and after how long a silence one is taken for dead.
type Alternative string

// The ways.
const (
	AllToAllHeartbeats   Alternative = "heartbeats to all"         // each tells all each period
	GossipAsHeartbeats   Alternative = "notes as heartbeats"       // the notes of counts, to ten drawn anew each period, are the only sign of life
	PhiAccrualHeartbeats Alternative = "heartbeats to five, phi 8" // each tells five that watch it, who judge by the spread of the gaps that they saw
)

const (
	fewOf = 5
	beat  = 9 // bytes of a heartbeat: who, life, number
)

// Alternatives are all of them.
var Alternatives = []Alternative{AllToAllHeartbeats, GossipAsHeartbeats, PhiAccrualHeartbeats}

// Evaluation is what came of one of them. Times are in periods.
type Evaluation struct {
	Alternative        Alternative `json:"way"`
	Relays             int         `json:"relays"`
	Loss               float64     `json:"loss"`
	DetectionPeriods   float64     `json:"detect"`       // median silence of a dead relay until a watcher takes it for dead
	FalseDeathsPerHour float64     `json:"false_hour"`   // live relays taken for dead, a relay and hour, by that silence
	BytesPerSecond     float64     `json:"bytes_second"` // sent by a relay for it alone
}

// EvaluateAlternative plays watchers of one relay each. The silence of ToAll and Implied is set as an operator would: so that without loss one false death comes in a hundred
// hours of the whole fleet.
func EvaluateAlternative(way Alternative, relays int, loss float64, seed uint64) Evaluation {
	rng := rand.New(rand.NewPCG(seed, uint64(relays)))
	w := Evaluation{Alternative: way, Relays: relays, Loss: loss}
	hour := 3600 / members.Period.Seconds()
	hears, watchers := 1.0, float64(relays-1) // chance that a watcher is told in a period; watchers of one relay
	switch way {
	case AllToAllHeartbeats:
		w.BytesPerSecond = beat * watchers / members.Period.Seconds()
	case GossipAsHeartbeats:
		hears = min(1, 10/watchers)
	case PhiAccrualHeartbeats:
		watchers = min(fewOf, watchers)
		w.BytesPerSecond = beat * watchers / members.Period.Seconds()
	}
	patience := 4.0 // periods
	if hears < 1 {
		patience = math.Ceil(math.Log(1/(100*hour*float64(relays)*watchers)) / math.Log(1-hears))
	}
	// Each watcher's gaps, an hour of them or a thousand watchers, whichever is less.
	const hours, sample = 0.25, 400
	deaths, detect := 0, []float64{}
	for range sample {
		silent, mean, spread, gaps := 0.0, 1/hears, 0.3/hears, 0.0
		for range int(hours * hour) {
			silent++
			if rng.Float64() < hears && rng.Float64() >= loss {
				gaps++
				delta := silent - mean
				mean += delta / min(gaps+1, 100)
				spread += (math.Abs(silent-mean)*1.25 - spread) / min(gaps+1, 100)
				silent = 0
				continue
			}
			if way == PhiAccrualHeartbeats {
				patience = mean + phiWait*max(0.3, spread)
			}
			if silent == math.Ceil(patience) {
				deaths++
			}
		}
		if way == PhiAccrualHeartbeats {
			patience = mean + phiWait*max(0.3, spread)
		}
		detect = append(detect, patience)
	}
	sum := 0.0
	for _, d := range detect {
		sum += d
	}
	w.DetectionPeriods = sum / float64(len(detect))
	w.FalseDeathsPerHour = float64(deaths) / sample / hours * watchers
	return w
}

// phiWait is how many spreads beyond the mean a gap has at phi of 8, where gaps are spread as a normal distribution.
const phiWait = 5.61
