package peers

import (
	"math"
	"time"

	"oatfold/policy"
)

// Parameters of the allowance control.
const (
	reduceShare         = 0.1                     // rejected share of the fleet's calls above which the rate is reduced
	raiseShare          = 0.06                    // rejected share below which the rate is raised
	minCallsToReduce    = 6                       // calls needed to judge the rejected share
	minRejectedToReduce = 2                       // rejected calls among them
	minCallsToRaise     = 3                       // calls since the last change, for separate routes
	settleTime          = 1200 * time.Millisecond // after a reduction, until its effect is visible
	minReductionFactor  = 0.5                     // of one reduction
	raiseFactor         = 1.2                     // of each raise
	slowRaiseFactor     = 1.04                    // of each raise near the estimated limit
	nearLimitShare      = 0.85                    // of the estimated limit, from which raises are slow
	minUsedShare        = 0.5                     // of the rate: if less is used, it is not what bounds the calls, and is not raised
	unneededFactor      = 1.5                     // of the demand: a rate this high bounds nothing and is dropped
	minBoundTime        = 12 * time.Second        // after a reduction: a destination that returns needs the bound most
	newcomerRounds      = 5                       // rounds in which a new relay adopts the rate of the others
	feedbackRounds      = 3                       // rounds until reports cover calls made at a rate
	minAnnouncers       = 3                       // relays that have to announce a rate for a new relay to adopt it
	announceEvery       = 4                       // an unchanged rate is announced in one report in N
	announceChange      = 0.06                    // relative change that is announced sooner
)

// allowance is the number of calls per second that each relay may make to a destination, derived
// from what the fleet observes. All relays observe about the same and follow the same rules. They
// announce their own rates, which keeps the rates close and lets a new relay adopt what the
// others have learned.
type allowance struct {
	rate                  float64                 // 0: no bound
	pastRates             [feedbackRounds]float64 // at the previous rounds, oldest first
	limitEstimate         float64                 // rate at which rejections began
	reducedAt             time.Duration           // latest reduction
	seenAt                time.Duration           // latest report about the destination
	announcedRate         float64
	reportsSinceAnnounced int

	// Calls of the fleet to a separate route since the last change of the rate: the latest
	// reports alone rarely hold enough calls to a single route. Zero for destinations: waiting for
	// calls there cost 0.03 of the score as most of a fleet returned.
	calls, rejected int
}

// recordCalls adds the calls that one relay counted in a time span that began at since.
func (a *allowance) recordCalls(since time.Duration, c DestinationCounts) {
	if a.reducedAt > 0 && since < a.reducedAt {
		return // includes calls made before the reduction
	}
	a.calls += c.Accepted + c.Rejected
	a.rejected += c.Rejected
}

func (a *allowance) resetCalls() { a.calls, a.rejected = 0, 0 }

// overLimit reports whether the calls since the last change require a reduction.
func (a *allowance) overLimit() bool {
	return a.calls >= minCallsToReduce && a.rejected >= minRejectedToReduce &&
		float64(a.rejected) > reduceShare*float64(a.calls)
}

// update computes the rate from fleet averages, the rate that other relays allow themselves (0:
// none is known), how many of them announced one, and whether this relay has just started. It
// returns the new rate in calls per second; 0 means no bound.
//
// Reductions are proportional to the rejected share, and each is given time to take effect. Raises
// are fast until rejections occur and slow near the rate at which they began, since at a
// destination that counts rejected calls too a small excess costs most of the throughput.
func (a *allowance) update(
	now time.Duration, u policy.RouteStats, othersRate float64, announcers int, newcomer bool,
) float64 {
	copy(a.pastRates[:], a.pastRates[1:])
	a.pastRates[feedbackRounds-1] = a.rate
	callRate := u.Accepted + u.Rejected
	rejectedShare := u.Rejected / max(callRate, 1e-9)
	// A relay that starts during an outage, or at its end, sees no rejections; many of them
	// together would overload the destination.
	if newcomer && a.rate == 0 && announcers >= minAnnouncers {
		a.rate, a.reducedAt = othersRate, now
	}
	if u.Failed > callRate {
		return a.rate // an outage says nothing about the limit
	}
	// A relay that sees no rejections does not follow others, or one accidental reduction would
	// spread through the fleet.
	if othersRate > 0 && a.rate == 0 && rejectedShare > raiseShare {
		a.rate, a.reducedAt = othersRate, now
	} else if othersRate > 0 && a.rate > 0 {
		a.rate = math.Sqrt(a.rate * othersRate)
	}
	switch {
	case now-a.reducedAt >= settleTime && (a.overLimit() ||
		rejectedShare > reduceShare && u.Calls >= minCallsToReduce &&
			rejectedShare*float64(u.Calls) >= minRejectedToReduce):
		if a.calls > 0 {
			rejectedShare = max(rejectedShare, float64(a.rejected)/float64(a.calls))
		}
		if a.rate == 0 {
			a.rate = callRate
		}
		a.limitEstimate, a.reducedAt = a.rate, now
		if earlier := a.pastRates[0]; earlier > 0 {
			a.limitEstimate = min(a.limitEstimate, earlier) // raises whose effect is not visible yet do not count
		}
		a.rate = min(a.rate, max(callRate, a.rate*0.6)) * max(minReductionFactor, 1-rejectedShare)
		a.resetCalls()
	case rejectedShare < raiseShare && a.rate > 0 && now-a.reducedAt >= settleTime:
		if a.rate > unneededFactor*max(callRate, u.Demand) && now-a.reducedAt >= minBoundTime {
			a.rate = 0
		} else if callRate < minUsedShare*a.rate || a.calls > 0 && a.calls < minCallsToRaise {
			break
		} else if a.rate > nearLimitShare*a.limitEstimate && a.rate < a.limitEstimate/nearLimitShare {
			a.rate *= slowRaiseFactor
			a.resetCalls()
		} else {
			a.rate *= raiseFactor
			a.resetCalls()
		}
	}
	return a.rate
}

// shouldAnnounce reports whether the next report includes the rate: after a change, and
// periodically for relays that missed it.
func (a *allowance) shouldAnnounce() bool {
	if a.reportsSinceAnnounced++; a.rate == 0 ||
		a.reportsSinceAnnounced < announceEvery && math.Abs(a.rate-a.announcedRate) <= announceChange*a.announcedRate {
		return false
	}
	a.announcedRate, a.reportsSinceAnnounced = a.rate, 0
	return true
}
