package members

import (
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"
)

// This file decides when a silent member becomes a suspect, and for how long it may refute that.

// requiredTimeouts returns how many pings in a row have to time out before a suspicion: more
// under loss, so that a network that drops half of all datagrams does not make everybody suspect
// everybody. The average reacts slowly to loss; timeouts of other recent probes show it at once.
func (l *List) requiredTimeouts() int {
	lossRate := max(l.lossRate, float64(bits.OnesCount8(l.recentTimeouts)-1)/8)
	if lossRate <= maxFalseSilence {
		return minProbeAttempts
	}
	return max(minProbeAttempts, min(maxProbeAttempts,
		int(math.Ceil(math.Log(maxFalseSilence)/math.Log(min(lossRate, 0.9))))))
}

// recordLoss and recordAnswer update the loss rate with a probe of a member that turned out to be
// alive. Silence of a member that is dead is no loss.
func (l *List) recordLoss()   { l.lossRate += (1 - l.lossRate) * lossWeight }
func (l *List) recordAnswer() { l.lossRate -= l.lossRate * lossWeight }

// suspectSilent handles the failed probe of a member and reports whether this relay suspects it.
func (l *List) suspectSilent(number int) (suspected bool) {
	m := &l.members[number]
	if since := l.now - l.lastReceivedAt; since >= Period && since < isolatedQuietTime ||
		l.now < l.quietUntil || m.state >= Dead {
		return false // isolated or just resumed: the silence may be due to this relay
	}
	l.counts.Suspicions++
	m.suspectedHere = true
	reason := fmt.Sprintf("no ack within %.1f s, directly or indirectly", probeTimeout.Seconds())
	if m.incarnation == 0 {
		reason = "no message ever received"
	}
	if m.state == Alive {
		l.setState(number, Suspect, true, reason)
	} else if !m.firstHand {
		m.firstHand = true
		l.disseminate(number)
	}
	l.recordAccuser(m, l.config.Self)
	return true
}

// recordAccuser records that a member suspects m at first hand. Each accuser counts once.
func (l *List) recordAccuser(m *member, from int) {
	if len(m.accusers) < 2*fullConfirmation && !slices.Contains(m.accusers, from) {
		m.accusers = append(m.accusers, from)
	}
}

// suspicionTimeout returns how long a suspect may refute: longer in larger fleets and under loss,
// shorter with each independent accuser.
func (l *List) suspicionTimeout(m *member) Time {
	size := float64(len(l.members))
	shortest := minSuspicionPeriods + suspicionPeriodsPerHop*math.Log(size)/math.Log(11)
	confirmations := float64(max(1, min(fullConfirmation, len(l.live)-1)))
	accusers := min(float64(max(1, len(m.accusers))), confirmations)
	periods := shortest
	if confirmations > 1 {
		periods += (maxSuspicionFactor - 1) * shortest * (1 - math.Log(accusers)/math.Log(confirmations))
	}
	periods *= 1 + lossSuspicionFactor*l.lossRate
	if l.Isolated() {
		periods *= isolatedSuspicionFactor
	}
	return time.Duration(periods * float64(Period))
}
