package choice

import (
	"cmp"
	"slices"
	"time"
)

// What one relay's word counts for.
const (
	alone                    = 8                // calls of one relay that are believed whatever others say
	drown                    = 2                // times what the other relays called in the mean, and no more
	MaxUnconfirmedRetryAfter = 1 * time.Second  // of a wait that one relay alone tells of
	MaxRetryAfter            = 20 * time.Second // of any wait that others tell of
	MinRetryAfter            = 500 * time.Millisecond
)

// Report is what one relay says of a destination.
type Report struct {
	Calls      int           // that it made
	Failed     int           // of them that did not come through
	RetryAfter time.Duration // that it was told to keep, and still has to
}

// CombinedReports is what many say together.
type CombinedReports struct {
	Weights          []float64     // of each voice's counts: no one outweighs the others
	FailingReporters int           // voices that saw calls fail
	RetryAfter       time.Duration // to keep: as long as a second voice confirms, or a short one where there is none
}

// CombineReports makes out what many voices say. A relay that says much counts as one.
func CombineReports(voices []Report) (h CombinedReports) {
	all := 0
	for _, v := range voices {
		all += v.Calls
		if v.Failed > 0 {
			h.FailingReporters++
		}
	}
	var waits []time.Duration
	for _, v := range voices {
		w := 1.0
		if others := len(voices) - 1; others > 0 && v.Calls > alone {
			if most := max(alone, drown*float64(all-v.Calls)/float64(others)); float64(v.Calls) > most {
				w = most / float64(v.Calls)
			}
		}
		h.Weights = append(h.Weights, w)
		if v.RetryAfter > 0 {
			waits = append(waits, v.RetryAfter)
		}
	}
	slices.SortFunc(waits, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	switch len(waits) {
	case 0:
	case 1:
		h.RetryAfter = min(waits[0], MaxUnconfirmedRetryAfter)
	default:
		h.RetryAfter = min(max(waits[1], min(waits[0], MaxUnconfirmedRetryAfter)), MaxRetryAfter)
	}
	return h
}
