package choice

import (
	"cmp"
	"slices"
	"time"
)

// Limits on what the reports of a single relay count for.
const (
	trustedCalls             = 8                      // calls of one relay that always count in full
	maxMeanFactor            = 2                      // times the mean calls of the other relays: more are scaled down
	MaxUnconfirmedRetryAfter = 1 * time.Second        // reported by one relay only
	MaxRetryAfter            = 20 * time.Second       // reported by several relays
	MinRetryAfter            = 500 * time.Millisecond // shorter ones are not shared
)

// Report is what one relay observed of a destination.
type Report struct {
	Calls      int           // calls made
	Failed     int           // failed calls among them
	RetryAfter time.Duration // remaining time of a Retry-After that the destination sent
}

// CombinedReports is the result of combining the reports of several relays.
type CombinedReports struct {
	Weights          []float64     // of each report's counts, so that no relay dominates
	FailingReporters int           // relays with failed calls
	RetryAfter       time.Duration // confirmed by a second relay, or bounded by MaxUnconfirmedRetryAfter
}

// CombineReports combines the reports of several relays. A relay with disproportionately many
// calls counts like the others.
func CombineReports(reports []Report) (combined CombinedReports) {
	totalCalls := 0
	for _, r := range reports {
		totalCalls += r.Calls
		if r.Failed > 0 {
			combined.FailingReporters++
		}
	}
	var retryAfters []time.Duration
	for _, r := range reports {
		weight := 1.0
		if others := len(reports) - 1; others > 0 && r.Calls > trustedCalls {
			if limit := max(
				trustedCalls, maxMeanFactor*float64(totalCalls-r.Calls)/float64(others),
			); float64(r.Calls) > limit {
				weight = limit / float64(r.Calls)
			}
		}
		combined.Weights = append(combined.Weights, weight)
		if r.RetryAfter > 0 {
			retryAfters = append(retryAfters, r.RetryAfter)
		}
	}
	slices.SortFunc(retryAfters, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	switch len(retryAfters) {
	case 0:
	case 1:
		combined.RetryAfter = min(retryAfters[0], MaxUnconfirmedRetryAfter)
	default:
		combined.RetryAfter = min(max(retryAfters[1], min(retryAfters[0], MaxUnconfirmedRetryAfter)), MaxRetryAfter)
	}
	return combined
}
