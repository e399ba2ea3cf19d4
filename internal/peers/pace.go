package peers

import (
	"math"
	"time"

	"oatfold/policy"
)

// How an allowance follows the fleet's outcomes.
const (
	tightShare = 0.1                     // refused share of the fleet's calls that asks for fewer
	looseShare = 0.06                    // and that allows more
	leastCalls = 6                       // calls that tell something
	leastFew   = 2                       // refused ones among them that ask for fewer
	leastRaise = 3                       // calls since the last change that allow more
	settle     = 1200 * time.Millisecond // after a cut, until its effect shows
	deepest    = 0.5                     // of what was allowed, in one cut
	raise      = 1.2                     // with each look at news that allow more
	creep      = 1.04                    // the same about where refusals began last time
	nearEdge   = 0.85                    // of that, from which on it creeps
	binding    = 0.5                     // of what is allowed has to be called, or it is not what holds the calls back
	plenty     = 1.5                     // times what is wanted: no bound is needed any more
	kept       = 12 * time.Second        // after a cut at least: a destination that returns, cold, needs it most
	newcomer   = 5                       // looks at news in which a relay that starts anew takes what the others allow themselves
	seenLate   = 3                       // looks until news tell of calls made under an allowance
	tellers    = 3                       // relays that have to tell it
	retold     = 4                       // notes after which an allowance is told again
	toldChange = 0.06                    // share by which it has to change to be told sooner
)

// pace is how many calls a second each relay may make to a destination, as this relay makes it out of what the fleet sees. All relays see
// much the same and follow the same law; what they tell of their own allowance keeps them together, and gives a relay that starts anew
// what the others have learned.
type pace struct {
	allow float64           // 0: any number
	past  [seenLate]float64 // what was allowed at the looks before, oldest first
	edge  float64           // what was allowed as refusals began
	cutAt time.Duration     // the last cut
	seen  time.Duration     // when news last told of it
	told  float64
	age   int // notes since then

	// Calls of the fleet to a separate route that were heard of since the allowance last changed: a route takes a part of what
	// a destination does, and the latest news rarely hold enough calls to judge by. For destinations they stay at nought, since
	// waiting for calls there cost 0.03 of G as most of a fleet returns.
	calls, refused int
}

// book adds what one relay counted in a span that began at since.
func (p *pace) book(since time.Duration, c DestinationCounts) {
	if p.cutAt > 0 && since < p.cutAt {
		return // some of these calls were made before the cut
	}
	p.calls += c.Accepted + c.Rejected
	p.refused += c.Rejected
}

// changed begins to count anew.
func (p *pace) changed() { p.calls, p.refused = 0, 0 }

// tight tells whether the calls since the last change ask for fewer.
func (p *pace) tight() bool {
	return p.calls >= leastCalls && p.refused >= leastFew && float64(p.refused) > tightShare*float64(p.calls)
}

// follow takes in news, what the others allow themselves and how many of them told it, and whether this relay has just started, and returns what is allowed from now on.
//
// Cuts are in proportion to what is refused, and one is given time to show before the next. Raises are quick where nothing was refused
// yet and slow about the place where it began: where refused calls use up a limit, a little too much takes nearly all of it away.
func (p *pace) follow(now time.Duration, u policy.RouteStats, others float64, by int, young bool) float64 {
	copy(p.past[:], p.past[1:])
	p.past[seenLate-1] = p.allow
	calls := u.Accepted + u.Rejected
	refused := u.Rejected / max(calls, 1e-9)
	// Risk: a relay that starts while a destination is out, or as it returns, sees no refusals; many of them together push it over.
	if young && p.allow == 0 && by >= tellers {
		p.allow, p.cutAt = others, now
	}
	if u.Failed > calls {
		return p.allow // an outage tells nothing of the limit
	}
	// Risk: one relay's cut, by chance, goes round the fleet. Who sees no refusals does not follow.
	if others > 0 && p.allow == 0 && refused > looseShare {
		p.allow, p.cutAt = others, now
	} else if others > 0 && p.allow > 0 {
		p.allow = math.Sqrt(p.allow * others)
	}
	switch {
	case now-p.cutAt >= settle && (p.tight() ||
		refused > tightShare && u.Calls >= leastCalls && refused*float64(u.Calls) >= leastFew):
		if p.calls > 0 {
			refused = max(refused, float64(p.refused)/float64(p.calls))
		}
		if p.allow == 0 {
			p.allow = calls
		}
		p.edge, p.cutAt = p.allow, now
		if before := p.past[0]; before > 0 {
			p.edge = min(p.edge, before) // Risk: raises that nobody has seen the effect of yet count as what was taken
		}
		p.allow = min(p.allow, max(calls, p.allow*0.6)) * max(deepest, 1-refused)
		p.changed()
	case refused < looseShare && p.allow > 0 && now-p.cutAt >= settle:
		if p.allow > plenty*max(calls, u.Demand) && now-p.cutAt >= kept {
			p.allow = 0
		} else if calls < binding*p.allow || p.calls > 0 && p.calls < leastRaise {
			break
		} else if p.allow > nearEdge*p.edge && p.allow < p.edge/nearEdge {
			p.allow *= creep
			p.changed()
		} else {
			p.allow *= raise
			p.changed()
		}
	}
	return p.allow
}

// tells decides whether the next note tells the allowance: when it has changed, and now and then for those that did not hear it.
func (p *pace) tells() bool {
	if p.age++; p.allow == 0 || p.age < retold && math.Abs(p.allow-p.told) <= toldChange*p.told {
		return false
	}
	p.told, p.age = p.allow, 0
	return true
}
