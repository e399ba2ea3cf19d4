package gossip

import (
	"slices"
	"time"

	"oatfold/internal/peers/members"
)

// Measurement is the result for a fleet in which some relays die at once. Times are in periods,
// rates are per relay.
type Measurement struct {
	Relays              int     `json:"relays"`
	Loss                float64 `json:"loss"`
	Killed              int     `json:"killed"`
	FirstDetection      float64 `json:"first"`              // until the first relay knows, median over the dead
	MedianDetection     float64 `json:"median"`             // until a relay knows, over all pairs
	P99Detection        float64 `json:"p99"`                // until a relay knows, over all pairs
	Undetected          int     `json:"unknown"`            // pairs in which it was not known at the end
	SuspicionsPerHour   float64 `json:"suspected_hour"`     // suspicions of live relays, per relay and hour
	FalseDeathsPerHour  float64 `json:"false_hour"`         // live relays declared dead, per relay and hour
	BytesPerSecond      float64 `json:"bytes_second"`       // sent, before the deaths
	MessagesPerSecond   float64 `json:"notes_second"`       // sent, before the deaths
	BytesPerSecondAfter float64 `json:"bytes_second_after"` // sent, from the deaths to the end
}

// Measure runs a fleet for the time calm, kills killCount relays at once, and observes the others
// for the time after.
func Measure(config Config, killCount int, calm, after time.Duration) Measurement {
	sim := New(config)
	killed, firstDetection := map[int]bool{}, map[int]time.Duration{}
	var detectionTimes []time.Duration
	suspicions, falseDeaths := 0, 0
	const warmUp = 10 * members.Period
	killedAt := warmUp + calm
	sim.OnChange = func(e Event) {
		switch {
		case sim.Now < warmUp:
		case killed[e.Number] && e.To == members.Dead:
			if _, known := firstDetection[e.Number]; !known {
				firstDetection[e.Number] = e.At - killedAt
			}
			detectionTimes = append(detectionTimes, e.At-killedAt)
		case !killed[e.Number] && e.To == members.Suspect:
			suspicions++
		case !killed[e.Number] && e.To == members.Dead:
			falseDeaths++
		}
	}
	sent := func() (bytes, messages float64) {
		for _, node := range sim.Nodes {
			bytes, messages = bytes+float64(node.BytesSent), messages+float64(node.MessagesSent)
		}
		return bytes, messages
	}
	sim.Run(warmUp)
	bytesAtStart, messagesAtStart := sent()
	sim.Run(killedAt)
	bytesAtDeath, messagesAtDeath := sent()
	for _, n := range sim.rng.Perm(config.Relays)[:killCount] {
		killed[n] = true
		sim.Kill(n)
	}
	sim.Run(killedAt + after)
	bytesAtEnd, _ := sent()
	relays, survivors := float64(config.Relays), float64(config.Relays-killCount)
	m := Measurement{Relays: config.Relays, Loss: config.Loss, Killed: killCount,
		Undetected: killCount*(config.Relays-killCount) - len(detectionTimes)}
	m.BytesPerSecond, m.MessagesPerSecond, m.BytesPerSecondAfter =
		(bytesAtDeath-bytesAtStart)/relays/calm.Seconds(),
		(messagesAtDeath-messagesAtStart)/relays/calm.Seconds(),
		(bytesAtEnd-bytesAtDeath)/survivors/after.Seconds()
	hours := relays*calm.Hours() + survivors*after.Hours()
	m.SuspicionsPerHour, m.FalseDeathsPerHour = float64(suspicions)/hours, float64(falseDeaths)/hours
	periods := func(d time.Duration) float64 { return d.Seconds() / members.Period.Seconds() }
	if slices.Sort(detectionTimes); len(detectionTimes) > 0 {
		m.MedianDetection, m.P99Detection =
			periods(detectionTimes[len(detectionTimes)/2]), periods(detectionTimes[len(detectionTimes)*99/100])
		var all []time.Duration
		for _, at := range firstDetection {
			all = append(all, at)
		}
		slices.Sort(all)
		m.FirstDetection = periods(all[len(all)/2])
	}
	return m
}
