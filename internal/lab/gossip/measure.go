package gossip

import (
	"slices"
	"time"

	"oatfold/internal/peers/members"
)

// Measurement is what came of one fleet of which some die at once. Times are in periods, rates for each relay.
type Measurement struct {
	Relays              int     `json:"relays"`
	Loss                float64 `json:"loss"`
	Killed              int     `json:"killed"`
	FirstDetection      float64 `json:"first"`              // until the first relay knows, median over those killed
	MedianDetection     float64 `json:"median"`             // until a relay knows, over all pairs
	P99Detection        float64 `json:"p99"`                // the same
	Undetected          int     `json:"unknown"`            // pairs in which it was not known at the end
	SuspicionsPerHour   float64 `json:"suspected_hour"`     // relays that lived and were doubted, a relay and hour
	FalseDeathsPerHour  float64 `json:"false_hour"`         // and taken for away
	BytesPerSecond      float64 `json:"bytes_second"`       // sent, before the deaths
	MessagesPerSecond   float64 `json:"notes_second"`       // notes that held nothing but membership, and those that would have gone out anyway
	BytesPerSecondAfter float64 `json:"bytes_second_after"` // sent, while the deaths were news
}

// Measure lets a fleet run for calm, kills so many at once, and looks on for after.
func Measure(set Config, kill int, calm, after time.Duration) Measurement {
	w := New(set)
	dead, first := map[int]bool{}, map[int]time.Duration{}
	var took []time.Duration
	suspected, wrong := 0, 0
	const warm = 10 * members.Period
	died := warm + calm
	w.OnChange = func(e Event) {
		switch {
		case w.Now < warm:
		case dead[e.Number] && e.To == members.Dead:
			if _, known := first[e.Number]; !known {
				first[e.Number] = e.At - died
			}
			took = append(took, e.At-died)
		case !dead[e.Number] && e.To == members.Suspect:
			suspected++
		case !dead[e.Number] && e.To == members.Dead:
			wrong++
		}
	}
	sent := func() (b, n float64) {
		for _, d := range w.Nodes {
			b, n = b+float64(d.BytesSent), n+float64(d.MessagesSent)
		}
		return b, n
	}
	w.Run(warm)
	b0, n0 := sent()
	w.Run(died)
	b1, n1 := sent()
	for _, n := range w.rng.Perm(set.Relays)[:kill] {
		dead[n] = true
		w.Kill(n)
	}
	w.Run(died + after)
	b2, _ := sent()
	per, left := float64(set.Relays), float64(set.Relays-kill)
	m := Measurement{Relays: set.Relays, Loss: set.Loss, Killed: kill, Undetected: kill*(set.Relays-kill) - len(took)}
	m.BytesPerSecond, m.MessagesPerSecond, m.BytesPerSecondAfter = (b1-b0)/per/calm.Seconds(), (n1-n0)/per/calm.Seconds(), (b2-b1)/left/after.Seconds()
	hours := per*calm.Hours() + left*after.Hours()
	m.SuspicionsPerHour, m.FalseDeathsPerHour = float64(suspected)/hours, float64(wrong)/hours
	periods := func(d time.Duration) float64 { return d.Seconds() / members.Period.Seconds() }
	if slices.Sort(took); len(took) > 0 {
		m.MedianDetection, m.P99Detection = periods(took[len(took)/2]), periods(took[len(took)*99/100])
		var all []time.Duration
		for _, at := range first {
			all = append(all, at)
		}
		slices.Sort(all)
		m.FirstDetection = periods(all[len(all)/2])
	}
	return m
}
