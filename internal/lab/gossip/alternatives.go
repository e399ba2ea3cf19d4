package gossip

import (
	"math"
	"math/rand/v2"

	"oatfold/internal/peers/members"
)

// Alternative is a failure detector compared with the one in service. It is reduced to who receives
// whose heartbeats how often, and to the silence after which a relay is declared dead.
type Alternative string

// The alternatives.
const (
	AllToAllHeartbeats Alternative = "heartbeats to all" // every relay sends one to every other each period
	// gossip to ten random relays each period is the only sign of life
	GossipAsHeartbeats Alternative = "notes as heartbeats"
	// each relay sends to five watchers, which use a phi accrual detector
	PhiAccrualHeartbeats Alternative = "heartbeats to five, phi 8"
)

const (
	phiWatchers    = 5
	heartbeatBytes = 9 // relay, run id and sequence number
)

// Alternatives are all alternatives in the order of reports.
var Alternatives = []Alternative{AllToAllHeartbeats, GossipAsHeartbeats, PhiAccrualHeartbeats}

// Evaluation is the result for one alternative. Times are in periods.
type Evaluation struct {
	Alternative Alternative `json:"way"`
	Relays      int         `json:"relays"`
	Loss        float64     `json:"loss"`
	// mean silence of a dead relay until a watcher declares it dead
	DetectionPeriods   float64 `json:"detect"`
	FalseDeathsPerHour float64 `json:"false_hour"`   // live relays declared dead, per relay and hour
	BytesPerSecond     float64 `json:"bytes_second"` // sent by a relay for failure detection alone
}

// EvaluateAlternative simulates watchers of one relay each. The timeout of AllToAllHeartbeats and
// GossipAsHeartbeats is set as an operator would set it: without loss, one false death in a hundred
// hours of the whole fleet.
func EvaluateAlternative(alternative Alternative, relays int, loss float64, seed uint64) Evaluation {
	rng := rand.New(rand.NewPCG(seed, uint64(relays)))
	result := Evaluation{Alternative: alternative, Relays: relays, Loss: loss}
	periodsPerHour := 3600 / members.Period.Seconds()
	// receiveChance: that a watcher receives a heartbeat in a period; watchers: of one relay
	receiveChance, watchers := 1.0, float64(relays-1)
	switch alternative {
	case AllToAllHeartbeats:
		result.BytesPerSecond = heartbeatBytes * watchers / members.Period.Seconds()
	case GossipAsHeartbeats:
		receiveChance = min(1, 10/watchers)
	case PhiAccrualHeartbeats:
		watchers = min(phiWatchers, watchers)
		result.BytesPerSecond = heartbeatBytes * watchers / members.Period.Seconds()
	}
	timeout := 4.0 // periods
	if receiveChance < 1 {
		timeout = math.Ceil(math.Log(1/(100*periodsPerHour*float64(relays)*watchers)) / math.Log(1-receiveChance))
	}
	// Simulates the gaps that each watcher in the sample sees.
	const hours, watcherSample = 0.25, 400
	falseDeaths, timeouts := 0, []float64{}
	for range watcherSample {
		silence, mean, deviation, gaps := 0.0, 1/receiveChance, 0.3/receiveChance, 0.0
		for range int(hours * periodsPerHour) {
			silence++
			if rng.Float64() < receiveChance && rng.Float64() >= loss {
				gaps++
				delta := silence - mean
				mean += delta / min(gaps+1, 100)
				deviation += (math.Abs(silence-mean)*1.25 - deviation) / min(gaps+1, 100)
				silence = 0
				continue
			}
			if alternative == PhiAccrualHeartbeats {
				timeout = mean + phiDeviations*max(0.3, deviation)
			}
			if silence == math.Ceil(timeout) {
				falseDeaths++
			}
		}
		if alternative == PhiAccrualHeartbeats {
			timeout = mean + phiDeviations*max(0.3, deviation)
		}
		timeouts = append(timeouts, timeout)
	}
	sum := 0.0
	for _, timeout := range timeouts {
		sum += timeout
	}
	result.DetectionPeriods = sum / float64(len(timeouts))
	result.FalseDeathsPerHour = float64(falseDeaths) / watcherSample / hours * watchers
	return result
}

// phiDeviations is the number of standard deviations above the mean at which a normal distribution
// of gaps reaches a phi of 8.
const phiDeviations = 5.61
