// Package peers exchanges between relays what they see of the destinations that they share. Where
// many relays serve few destinations, each calls a destination only every few seconds, too rarely
// to learn its limit alone. So each relay reports its arrivals and call results to a few others,
// drawn at random in each round, and averages the reports that it receives.
//
// The package decides what to send, to whom and when, and what follows from what is received. It
// opens no socket, reads no clock and starts no goroutine; a Gossiper is not safe for concurrent
// use. A relay that receives nothing goes on as if it were alone.
package peers

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oatfold/internal/peers/members"
	"oatfold/policy"
)

// Bounds of gossip messages and of the state kept from them.
const (
	MaxDatagramBytes = members.MaxDatagramBytes // bytes; larger datagrams are not received
	MinFleetSize     = 8                        // relays; a smaller fleet reports no counts

	roundInterval      = 600 * time.Millisecond // mean time between two rounds of a relay
	fanout             = 10                     // receivers in a round
	reportLifetime     = 1800 * time.Millisecond
	maxSpan            = 3 * time.Second  // a report about a longer time says little about the present
	maxDestinations    = 64               // in a report
	quietFanout        = 3                // receivers in a round without counts
	formCounts         = 1                // first byte of a message: counts follow
	formRetryAfter     = 4                // counts with Retry-After times
	formCombined       = 2                // length of the membership section, the section, then counts
	formMembership     = 3                // membership section alone
	minMembershipBytes = 40               // left for the membership section beside counts
	maxAllowances      = 256              // destinations with an allowance
	forgetAfter        = 30 * time.Second // without any report of a destination
	allowedUnit        = 100              // units in one call per second
	retryAfterUnit     = 100 * time.Millisecond
)

// DestinationCounts holds what happened to messages and calls for one destination in a report's
// time span.
type DestinationCounts struct {
	Arrived  int // messages accepted from clients
	Accepted int // calls that the destination accepted
	Rejected int // calls that the destination rejected
	Failed   int // calls that did not connect or got no answer

	Allowed    float64       // calls per second that the relay allows itself; 0: no bound
	RetryAfter time.Duration // remaining time of a Retry-After that the destination sent the relay
}

// report holds what one relay observed during span, which ended at the time at.
type report struct {
	from   int
	at     time.Duration
	span   time.Duration
	counts map[int]DestinationCounts
}

// Gossiper collects what one relay observes and what it receives from others.
type Gossiper struct {
	self, fleetSize int
	rng             *rand.Rand
	runID           uint8 // distinguishes the messages of this process from those of an earlier one
	seq             uint16
	ownCounts       map[int]DestinationCounts // since ownSince
	allowances      map[int]*allowance
	ownSince        time.Duration
	nextRound       time.Duration
	reports         []report // ordered by at
	latest          map[int]sequenceMark
	members         *members.List // nil if membership is disabled
	choices         choiceState
	sites           siteState
	averageRounds   int // rounds with fleet averages since the start
}

// sequenceMark identifies the latest message received from a relay.
type sequenceMark struct {
	runID uint8
	seq   uint16
	at    time.Duration
}

// New returns a Gossiper for relay self of a fleet. It sends and receives nothing in a fleet
// smaller than MinFleetSize without membership, or if the arguments are out of bounds.
func New(self, fleetSize int, seed int64) *Gossiper {
	rng := rand.New(rand.NewPCG(uint64(seed), 0x9ee2))
	g := &Gossiper{
		self:       self,
		fleetSize:  fleetSize,
		rng:        rng,
		runID:      uint8(rng.Uint32()),
		ownCounts:  map[int]DestinationCounts{},
		allowances: map[int]*allowance{},
		latest:     map[int]sequenceMark{},
	}
	if self < 0 || self >= fleetSize || fleetSize > math.MaxUint16 {
		g.fleetSize = 0 // out of bounds: no fleet
	}
	g.nextRound = time.Duration(rng.Int64N(int64(roundInterval)))
	return g
}

// EnableMembership has the relay track which members are alive; zone is its own zone. seed has to
// differ from that of any other process under this relay's number, since it distinguishes their
// messages.
func (g *Gossiper) EnableMembership(zone int, seed int64) {
	if g.fleetSize > 1 {
		g.members = members.New(members.Config{Self: g.self, FleetSize: g.fleetSize, Zone: zone, Seed: seed})
	}
}

// Members returns the membership list; nil if membership is disabled.
func (g *Gossiper) Members() *members.List { return g.members }

// countsEnabled reports whether the fleet is large enough for counts.
func (g *Gossiper) countsEnabled() bool { return g.fleetSize >= MinFleetSize }

// Active reports whether anything is sent and received.
func (g *Gossiper) Active() bool { return g.countsEnabled() || g.members != nil }

// RecordArrival counts a message accepted for a destination.
func (g *Gossiper) RecordArrival(dest int) {
	c := g.ownCounts[dest]
	c.Arrived++
	g.ownCounts[dest] = c
}

// CallResult is the result of a call, as far as it concerns the destination's limit.
type CallResult int

// Results of a call.
const (
	Accepted CallResult = iota // by the destination, whatever the outcome of the message
	Rejected                   // by the destination, to be retried
	Failed                     // no connection, or no answer
)

// RecordCall counts the result of a call.
func (g *Gossiper) RecordCall(dest int, result CallResult) {
	c := g.ownCounts[dest]
	switch result {
	case Accepted:
		c.Accepted++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	}
	g.ownCounts[dest] = c
}

// NextTick returns when Tick is due.
func (g *Gossiper) NextTick() time.Duration {
	if g.members != nil {
		return min(g.nextRound, g.members.NextTick())
	}
	return g.nextRound
}

// Tick returns the datagrams to be sent now; none before NextTick. newRound reports whether a
// gossip round was started, after which FleetAverages has new data.
func (g *Gossiper) Tick(now time.Duration) (out []members.Datagram, newRound bool) {
	if g.members != nil {
		out = membershipDatagrams(g.members.Tick(now))
	}
	if !g.Active() || now < g.nextRound {
		return out, false
	}
	out = append(out, g.siteDatagrams()...)
	payload, to := g.Report(now)
	if g.members == nil {
		for _, n := range to {
			out = append(out, members.Datagram{To: n, Payload: payload})
		}
		return out, true
	}
	limit := fanout
	if payload == nil {
		limit = quietFanout
	}
	for _, t := range g.members.GossipTargets(now, limit) {
		if payload == nil || g.members.State(t.To) >= members.Dead { // a dead member has no use for counts
			out = append(out, members.Datagram{
				To:      t.To,
				Payload: append([]byte{formMembership}, g.members.Section(t, members.MaxPiggybackBytes)...),
			})
			continue
		}
		section := g.members.Section(t, min(members.MaxPiggybackBytes, MaxDatagramBytes-2-len(payload)))
		out = append(out, members.Datagram{
			To:      t.To,
			Payload: slices.Concat([]byte{formCombined, byte(len(section))}, section, payload),
		})
	}
	return out, true
}

// membershipDatagrams puts the form of a membership section in front of each payload.
func membershipDatagrams(out []members.Datagram) []members.Datagram {
	for i, o := range out {
		out[i].Payload = append([]byte{formMembership}, o.Payload...)
	}
	return out
}

// Leave announces that this relay shuts down or has drained, in a round that is due at once.
func (g *Gossiper) Leave(now time.Duration) {
	if g.members != nil {
		g.members.Leave(now)
		g.nextRound = now
	}
}

// CancelLeave revokes Leave.
func (g *Gossiper) CancelLeave(now time.Duration) {
	if g.members != nil {
		g.members.CancelLeave(now)
		g.nextRound = now
	}
}

// PossibleCallers returns how many relays may be calling; 0 if membership is disabled.
func (g *Gossiper) PossibleCallers(now time.Duration) int {
	if g.members == nil {
		return 0
	}
	return g.members.PossibleCallers(now)
}

// Receive handles a gossip message from another relay and returns the replies.
func (g *Gossiper) Receive(now time.Duration, from int, payload []byte) (out []members.Datagram, err error) {
	switch {
	case len(payload) == 0 || len(payload) > MaxDatagramBytes:
		return nil, errMalformed
	case payload[0] == formCounts || payload[0] == formRetryAfter:
		return nil, g.ReceiveCounts(now, from, payload)
	case payload[0] == formSites && g.Active():
		return nil, g.receiveSites(now, from, payload)
	case g.members == nil || payload[0] != formMembership && payload[0] != formCombined:
		return nil, errMalformed
	case payload[0] == formMembership:
		out, err = g.members.Receive(now, from, payload[1:])
		return membershipDatagrams(out), err
	case len(payload) < 2 || len(payload) < 2+int(payload[1]):
		return nil, errMalformed
	}
	section, counts := payload[2:2+int(payload[1])], payload[2+int(payload[1]):]
	if out, err = g.members.Receive(now, from, section); err == nil && g.countsEnabled() {
		err = g.ReceiveCounts(now, from, counts)
	}
	return membershipDatagrams(out), err
}

// Report starts a round: it returns the encoded counts and, without membership, the numbers of
// their receivers. It returns nothing before the round is due.
func (g *Gossiper) Report(now time.Duration) (payload []byte, to []int) {
	if !g.Active() || now < g.nextRound {
		return nil, nil
	}
	g.nextRound = now + roundInterval/2 + time.Duration(g.rng.Int64N(int64(roundInterval)))
	own := report{from: g.self, at: now, span: min(now-g.ownSince, maxSpan), counts: g.ownCounts}
	g.prepareReport(now, now-g.ownSince)
	g.ownCounts, g.ownSince = map[int]DestinationCounts{}, now
	for dest, bound := range g.allowances {
		if bound.shouldAnnounce() {
			c := own.counts[dest]
			c.Allowed = bound.rate
			own.counts[dest] = c
		}
	}
	g.addReport(own)
	if len(own.counts) == 0 && g.nothingReported(now) || !g.countsEnabled() {
		return nil, nil // nothing new to report
	}
	g.seq++
	if g.members != nil {
		return encodeReport(g.runID, g.seq, own, MaxDatagramBytes-2-minMembershipBytes), nil
	}
	return encodeReport(g.runID, g.seq, own, MaxDatagramBytes), g.pickReceivers()
}

// nothingReported reports whether this relay's recent reports were empty.
func (g *Gossiper) nothingReported(now time.Duration) bool {
	for _, r := range g.reports {
		if r.from == g.self && r.at > now-reportLifetime && r.at < now && len(r.counts) > 0 {
			return false
		}
	}
	return true
}

// pickReceivers draws the relays that a report is sent to.
func (g *Gossiper) pickReceivers() (to []int) {
	for len(to) < min(fanout, g.fleetSize-1) {
		if n := g.rng.IntN(g.fleetSize); n != g.self && !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	return to
}

// ReceiveCounts handles a report of another relay. A report that is malformed, not newer than the
// latest of its sender or from outside the fleet changes nothing and returns an error.
func (g *Gossiper) ReceiveCounts(now time.Duration, from int, payload []byte) error {
	if !g.countsEnabled() {
		return errNoFleet
	}
	if from < 0 || from >= g.fleetSize || from == g.self {
		return errUnknownSender
	}
	runID, seq, r, err := decodeReport(payload)
	if err != nil {
		return err
	}
	previous, known := g.latest[from]
	// A restarted sender starts a new sequence under a new run ID.
	if known && previous.runID == runID && int16(seq-previous.seq) <= 0 {
		return errStale
	}
	g.latest[from] = sequenceMark{runID, seq, now}
	r.from, r.at = from, now
	g.addReport(r)
	return nil
}

// Reasons to reject a message.
var (
	errNoFleet       = errors.New("peers: counts are not exchanged in this fleet")
	errUnknownSender = errors.New("peers: sender is not in the fleet")
	errStale         = errors.New("peers: not newer than the latest message of its sender")
	errMalformed     = errors.New("peers: malformed gossip message")
)

// addReport stores a report and drops outdated ones.
func (g *Gossiper) addReport(r report) {
	outdated := 0
	for outdated < len(g.reports) && g.reports[outdated].at < r.at-reportLifetime {
		outdated++
	}
	g.reports = append(slices.Delete(g.reports, 0, outdated), r)
	for target, c := range r.counts {
		if bound := g.allowances[target]; bound != nil && target >= routeBase {
			bound.recordCalls(r.at-r.span, c)
		}
	}
}

// FleetAverages returns the mean of what the known relays observe for each destination, ordered
// by destination, and this relay's allowance for it. It is called once after each round, and
// returns nil while too few relays are known. wall is the time of day, which determines the time
// slot.
func (g *Gossiper) FleetAverages(now time.Duration, wall time.Time) (out []policy.RouteStats) {
	relays, spans := map[int]bool{}, 0.0
	summaries := map[int][]destinationSummary{} // by destination, one of each relay
	for _, r := range g.reports {
		if r.at < now-reportLifetime ||
			g.members != nil && r.from != g.self && g.members.State(r.from) >= members.Dead {
			continue
		}
		relays[r.from] = true
		spans += r.span.Seconds()
		for dest, c := range r.counts {
			summaries[dest] = addToSummaries(summaries[dest], r, c, now)
		}
	}
	if len(relays) < MinFleetSize/2 || spans <= 0 {
		return nil
	}
	g.averageRounds++
	for dest, summary := range summaries {
		othersRate, othersReports, announcers := 0.0, 0.0, 0
		for _, s := range summary {
			if s.from != g.self && s.allowedReports > 0 {
				othersRate, othersReports, announcers =
					othersRate+s.logAllowedSum, othersReports+s.allowedReports, announcers+1
			}
		}
		if othersReports > 0 {
			othersRate = math.Exp(othersRate / othersReports)
		}
		u := g.average(now, dest, summary, spans)
		// Bounded, since malformed reports may name any number of destinations.
		if g.allowances[dest] == nil && len(g.allowances) < maxAllowances {
			g.allowances[dest] = &allowance{}
		}
		if bound := g.allowances[dest]; bound != nil {
			bound.seenAt, u.Allowance = now,
				bound.update(now, u, othersRate, announcers, g.averageRounds <= newcomerRounds)
		}
		g.applyChoices(now, wall, &u, len(relays))
		out = append(out, u)
	}
	maps.DeleteFunc(g.allowances, func(_ int, bound *allowance) bool { return now-bound.seenAt > forgetAfter })
	maps.DeleteFunc(g.choices.downSeenAt, func(_ int, at time.Duration) bool { return now-at > forgetAfter })
	maps.DeleteFunc(g.choices.statuses, func(_ int, o DestinationStatus) bool { return now-o.At > forgetAfter })
	slices.SortFunc(out, func(a, b policy.RouteStats) int { return a.Destination - b.Destination })
	return out
}

// encodeReport encodes form, run ID, sequence number, time span in units of 50 ms, and the
// destinations with their counts, as many as fit into maxBytes. Reports without Retry-After times
// use formCounts, which older relays understand.
func encodeReport(runID uint8, seq uint16, r report, maxBytes int) []byte {
	buf := []byte{formCounts, runID}
	for _, c := range r.counts {
		if c.RetryAfter > 0 {
			buf[0] = formRetryAfter
		}
	}
	buf = binary.BigEndian.AppendUint16(buf, seq)
	buf = append(buf, byte(min(255, r.span/(50*time.Millisecond))))
	var dests []int
	for d := range r.counts {
		if d >= 0 {
			dests = append(dests, d)
		}
	}
	slices.Sort(dests)
	for _, d := range dests {
		c := r.counts[d]
		encoded := binary.AppendUvarint(nil, uint64(d))
		optional := []int{c.Failed, int(math.Round(c.Allowed * allowedUnit)), int(c.RetryAfter / retryAfterUnit)}
		if buf[0] == formCounts {
			optional = optional[:2]
		}
		hasOptional := 0
		for _, n := range optional {
			hasOptional |= min(1, n)
		}
		for _, n := range append(
			[]int{c.Arrived, c.Accepted, c.Rejected<<1 | hasOptional}, optional[:len(optional)*hasOptional]...) {
			encoded = binary.AppendUvarint(encoded, uint64(n))
		}
		if len(buf)+len(encoded) > maxBytes {
			break // the rest does not fit
		}
		buf = append(buf, encoded...)
	}
	return buf
}

// decodeReport decodes what encodeReport encodes.
func decodeReport(payload []byte) (runID uint8, seq uint16, r report, err error) {
	if len(payload) < 5 || len(payload) > MaxDatagramBytes || payload[0] != formCounts && payload[0] != formRetryAfter {
		return 0, 0, r, errMalformed
	}
	r.span, r.counts = time.Duration(payload[4])*50*time.Millisecond, map[int]DestinationCounts{}
	runID, seq = payload[1], binary.BigEndian.Uint16(payload[2:4])
	if r.span > maxSpan {
		return 0, 0, r, errMalformed
	}
	fields := 6
	if payload[0] == formRetryAfter {
		fields = 7
	}
	for payload = payload[5:]; len(payload) > 0; {
		var values [7]uint64
		for i := range fields {
			if i == 4 {
				if values[3], values[4] = values[3]>>1, values[3]&1; values[4] == 0 {
					break // no optional fields
				}
			}
			x, n := binary.Uvarint(payload)
			// Counts beyond what any relay handles would outweigh all others.
			if n <= 0 || x > math.MaxInt32 || i > 0 && x > 10_000 {
				return 0, 0, r, errMalformed
			}
			values[i], payload = x, payload[n:]
		}
		if _, repeated := r.counts[int(values[0])]; repeated || len(r.counts) >= maxDestinations {
			return 0, 0, r, errMalformed
		}
		r.counts[int(values[0])] = DestinationCounts{
			int(values[1]), int(values[2]), int(values[3]), int(values[4]),
			float64(values[5]) / allowedUnit, time.Duration(values[6]) * retryAfterUnit,
		}
	}
	return runID, seq, r, nil
}
