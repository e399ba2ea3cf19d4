// Package peers is what relays tell one another of the destinations that they share. Where many relays serve few destinations, each sees a
// call to one only every few seconds: alone, none can tell in time how much the destination takes. Each tells a few others,
// drawn anew each time, what it was asked for and how its calls fared; from the few that it hears each makes out what the usual
// relay does.
//
// The package decides what to tell, to whom and when, and what to make of what is heard. It opens no socket, reads no clock and owns no
// goroutine; a Pool belongs to whoever calls it. It never holds anything back and never asks for anything: a relay that hears nothing
// goes on as if it were alone.
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

// Bounds of the notes.
const (
	MaxDatagramBytes = members.MaxDatagramBytes // bytes; the platform takes none that is longer
	MinFleetSize     = 8                        // relays; a smaller fleet sees enough by itself, and tells nothing

	turn      = 600 * time.Millisecond // from one note of a relay to its next, in the mean
	fan       = 10                     // relays that it goes to
	memory    = 1800 * time.Millisecond
	longest   = 3 * time.Second // a note about a longer time tells nothing of now
	most      = 64              // destinations in a note, and heard of one relay
	quietFan  = 3               // the same where there is nothing to tell but that this relay lives
	version   = 1
	waiting   = 4                // version with told waits
	both      = 2                // membership, its length before it, and a note of version
	bare      = 3                // membership alone
	leastRoom = 40               // bytes for membership in a note that is full of counts
	mostPaces = 256              // destinations that allowances are kept for
	forgotten = 30 * time.Second // after which one that nobody tells of is
	allowUnit = 100              // parts of a call a second
	waitUnit  = 100 * time.Millisecond
)

// DestinationCounts is what became of messages and calls for one destination.
type DestinationCounts struct {
	Arrived  int // messages that came in
	Accepted int // calls that were taken
	Rejected int // calls that were turned away
	Failed   int // calls that did not come through, or had no answer

	Allowed    float64       // calls a second that the relay allows itself; 0: any
	RetryAfter time.Duration // that it was told to keep, and still has to
}

// account is what one relay told, or saw, of a span that ended at at.
type account struct {
	from   int
	at     time.Duration
	span   time.Duration
	counts map[int]DestinationCounts
}

// Gossiper gathers what one relay sees and what it hears.
type Gossiper struct {
	me, fleet int
	rng       *rand.Rand
	life      uint8 // tells this life's notes from an earlier one's
	seq       uint16
	mine      map[int]DestinationCounts
	paces     map[int]*pace
	since     time.Duration // when mine began
	next      time.Duration
	all       []account // in order of at
	last      map[int]mark
	list      *members.List // nil: who lives is not asked
	sharing   sharing       // of choices
	words     words         // of sites
	looks     int           // at news, since the start
}

// mark is the last note that was heard of a relay.
type mark struct {
	life uint8
	seq  uint16
	at   time.Duration
}

// New returns a pool for relay me of a fleet. A fleet that is too small to need it, or of no sensible size, tells and hears nothing.
func New(me, fleet int, seed int64) *Gossiper {
	rng := rand.New(rand.NewPCG(uint64(seed), 0x9ee2))
	p := &Gossiper{me: me, fleet: fleet, rng: rng, life: uint8(rng.Uint32()), mine: map[int]DestinationCounts{}, paces: map[int]*pace{}, last: map[int]mark{}}
	if me < 0 || me >= fleet || fleet > math.MaxUint16 {
		p.fleet = 0 // what does not fit together is no fleet
	}
	p.next = time.Duration(rng.Int64N(int64(turn)))
	return p
}

// EnableMembership has the pool ask who lives, from its first note on. zone is this relay's own. seed has to differ from that of any other process under this
// relay's number: it is what tells their notes apart.
func (p *Gossiper) EnableMembership(zone int, seed int64) {
	if p.fleet > 1 {
		p.list = members.New(members.Config{Self: p.me, FleetSize: p.fleet, Zone: zone, Seed: seed})
	}
}

// Members is who lives, as far as this relay knows; nil: it is not asked.
func (p *Gossiper) Members() *members.List { return p.list }

// counts tells whether the fleet is large enough for counts to be worth their bytes.
func (p *Gossiper) counts() bool { return p.fleet >= MinFleetSize }

// Active tells whether the pool tells and hears anything.
func (p *Gossiper) Active() bool { return p.counts() || p.list != nil }

// RecordArrival books a message that came in.
func (p *Gossiper) RecordArrival(dest int) {
	c := p.mine[dest]
	c.Arrived++
	p.mine[dest] = c
}

// CallResult is how a call ended.
type CallResult int

// The ends of a call.
const (
	Accepted CallResult = iota // whatever became of it then
	Rejected                   // turned away
	Failed                     // it did not come through, or had no answer
)

// RecordCall books the end of a call.
func (p *Gossiper) RecordCall(dest int, how CallResult) {
	c := p.mine[dest]
	switch how {
	case Accepted:
		c.Accepted++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	}
	p.mine[dest] = c
}

// NextTick is when the pool wants to tell again.
func (p *Gossiper) NextTick() time.Duration {
	if p.list != nil {
		return min(p.next, p.list.NextTick())
	}
	return p.next
}

// Tick returns what goes out now, to whom, and whether that was a turn, behind which News is to be asked; nothing before Next.
func (p *Gossiper) Tick(now time.Duration) (out []members.Datagram, turned bool) {
	if p.list != nil {
		out = bareNotes(p.list.Tick(now))
	}
	if !p.Active() || now < p.next {
		return out, false
	}
	out = append(out, p.tellWords()...)
	note, to := p.Report(now)
	if p.list == nil {
		for _, n := range to {
			out = append(out, members.Datagram{To: n, Payload: note})
		}
		return out, true
	}
	most := fan
	if note == nil {
		most = quietFan
	}
	for _, t := range p.list.GossipTargets(now, most) {
		if note == nil || p.list.State(t.To) >= members.Dead { // counts are of no use to one that does not hear
			out = append(out, members.Datagram{To: t.To, Payload: append([]byte{bare}, p.list.Section(t, members.MaxPiggybackBytes)...)})
			continue
		}
		about := p.list.Section(t, min(members.MaxPiggybackBytes, MaxDatagramBytes-2-len(note)))
		out = append(out, members.Datagram{To: t.To, Payload: slices.Concat([]byte{both, byte(len(about))}, about, note)})
	}
	return out, true
}

func bareNotes(out []members.Datagram) []members.Datagram {
	for i, o := range out {
		out[i].Payload = append([]byte{bare}, o.Payload...)
	}
	return out
}

// Leave has the fleet told, with the next note and at once, that this relay ends or is empty; Stay takes it back.
func (p *Gossiper) Leave(now time.Duration) {
	if p.list != nil {
		p.list.Leave(now)
		p.next = now
	}
}

// CancelLeave takes it back.
func (p *Gossiper) CancelLeave(now time.Duration) {
	if p.list != nil {
		p.list.CancelLeave(now)
		p.next = now
	}
}

// PossibleCallers is how many relays may be calling; 0: nobody asks.
func (p *Gossiper) PossibleCallers(now time.Duration) int {
	if p.list == nil {
		return 0
	}
	return p.list.PossibleCallers(now)
}

// Receive takes any note of another relay, and returns what goes out at once.
func (p *Gossiper) Receive(now time.Duration, from int, note []byte) (out []members.Datagram, err error) {
	switch {
	case len(note) == 0 || len(note) > MaxDatagramBytes:
		return nil, errNote
	case note[0] == version || note[0] == waiting:
		return nil, p.ReceiveCounts(now, from, note)
	case note[0] == ofSites && p.Active():
		return nil, p.hearWords(now, from, note)
	case p.list == nil || note[0] != bare && note[0] != both:
		return nil, errNote
	case note[0] == bare:
		out, err = p.list.Receive(now, from, note[1:])
		return bareNotes(out), err
	case len(note) < 2 || len(note) < 2+int(note[1]):
		return nil, errNote
	}
	about, counts := note[2:2+int(note[1])], note[2+int(note[1]):]
	if out, err = p.list.Receive(now, from, about); err == nil && p.counts() {
		err = p.ReceiveCounts(now, from, counts)
	}
	return bareNotes(out), err
}

// Report returns the note of counts that is due and the numbers of the relays that it goes to; none before its time.
func (p *Gossiper) Report(now time.Duration) (note []byte, to []int) {
	if !p.Active() || now < p.next {
		return nil, nil
	}
	p.next = now + turn/2 + time.Duration(p.rng.Int64N(int64(turn)))
	a := account{from: p.me, at: now, span: min(now-p.since, longest), counts: p.mine}
	p.booked(now, now-p.since)
	p.mine, p.since = map[int]DestinationCounts{}, now
	for d, v := range p.paces {
		if v.tells() {
			c := a.counts[d]
			c.Allowed = v.allow
			a.counts[d] = c
		}
	}
	p.keep(a)
	if len(a.counts) == 0 && p.quietOf(now) || !p.counts() {
		return nil, nil // nothing to tell that was not told
	}
	p.seq++
	if p.list != nil {
		return encode(p.life, p.seq, a, MaxDatagramBytes-2-leastRoom), nil
	}
	return encode(p.life, p.seq, a, MaxDatagramBytes), p.draw()
}

// quietOf tells whether the last notes of this relay told of nothing either.
func (p *Gossiper) quietOf(now time.Duration) bool {
	for _, a := range p.all {
		if a.from == p.me && a.at > now-memory && a.at < now && len(a.counts) > 0 {
			return false
		}
	}
	return true
}

// draw picks some other relays.
func (p *Gossiper) draw() (to []int) {
	for len(to) < min(fan, p.fleet-1) {
		if n := p.rng.IntN(p.fleet); n != p.me && !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	return to
}

// ReceiveCounts takes a note of counts of another relay. One that can't be read, is not newer than the last of its sender, or comes from nobody of the
// fleet, changes nothing.
func (p *Gossiper) ReceiveCounts(now time.Duration, from int, note []byte) error {
	if !p.counts() {
		return errIdle
	}
	if from < 0 || from >= p.fleet || from == p.me {
		return errNobody
	}
	life, seq, a, err := decode(note)
	if err != nil {
		return err
	}
	was, known := p.last[from]
	// A sender that starts anew counts from one again, under another life.
	if known && was.life == life && int16(seq-was.seq) <= 0 {
		return errOld
	}
	p.last[from] = mark{life, seq, now}
	a.from, a.at = from, now
	p.keep(a)
	return nil
}

// Reasons why a note changes nothing.
var (
	errIdle   = errors.New("peers: no fleet")
	errNobody = errors.New("peers: from nobody of the fleet")
	errOld    = errors.New("peers: not newer than the last")
	errNote   = errors.New("peers: can't be read")
)

// keep remembers an account and forgets what is old.
func (p *Gossiper) keep(a account) {
	old := 0
	for old < len(p.all) && p.all[old].at < a.at-memory {
		old++
	}
	p.all = append(slices.Delete(p.all, 0, old), a)
	for target, c := range a.counts {
		if own := p.paces[target]; own != nil && target >= routeBase {
			own.book(a.at-a.span, c)
		}
	}
}

// FleetAverages is what the relays heard of see in the mean, in order of destinations, and what each may make of it. It comes once after each Tell; nothing
// is told while fewer than a few relays are heard of. wall is the time of day, by which turns go.
func (p *Gossiper) FleetAverages(now time.Duration, wall time.Time) (out []policy.RouteStats) {
	relays, spans := map[int]bool{}, 0.0
	told := map[int][]said{} // by destination, one of each relay
	for _, a := range p.all {
		if a.at < now-memory || p.list != nil && a.from != p.me && p.list.State(a.from) >= members.Dead {
			continue
		}
		relays[a.from] = true
		spans += a.span.Seconds()
		for d, c := range a.counts {
			told[d] = add(told[d], a, c, now)
		}
	}
	if len(relays) < MinFleetSize/2 || spans <= 0 {
		return nil
	}
	p.looks++
	for d, all := range told {
		others, n, by := 0.0, 0.0, 0
		for _, s := range all {
			if s.from != p.me && s.allowing > 0 {
				others, n, by = others+s.allowed, n+s.allowing, by+1
			}
		}
		if n > 0 {
			others = math.Exp(others / n)
		}
		u := p.usual(now, d, all, spans)
		// Risk: senseless notes name ever new destinations, and what is made of them is told on.
		if p.paces[d] == nil && len(p.paces) < mostPaces {
			p.paces[d] = &pace{}
		}
		if own := p.paces[d]; own != nil {
			own.seen, u.Allowance = now, own.follow(now, u, others, by, p.looks <= newcomer)
		}
		p.choose(now, wall, &u, len(relays))
		out = append(out, u)
	}
	maps.DeleteFunc(p.paces, func(_ int, own *pace) bool { return now-own.seen > forgotten })
	maps.DeleteFunc(p.sharing.down, func(_ int, at time.Duration) bool { return now-at > forgotten })
	maps.DeleteFunc(p.sharing.shown, func(_ int, o DestinationStatus) bool { return now-o.At > forgotten })
	slices.SortFunc(out, func(a, b policy.RouteStats) int { return a.Destination - b.Destination })
	return out
}

// encode writes: version, life, number, span in 50 ms, then destinations with their counts. A note without told waits has the form that relays
// which know of none read.
func encode(life uint8, seq uint16, a account, room int) []byte {
	b := []byte{version, life}
	for _, c := range a.counts {
		if c.RetryAfter > 0 {
			b[0] = waiting
		}
	}
	b = binary.BigEndian.AppendUint16(b, seq)
	b = append(b, byte(min(255, a.span/(50*time.Millisecond))))
	var dests []int
	for d := range a.counts {
		if d >= 0 {
			dests = append(dests, d)
		}
	}
	slices.Sort(dests)
	for _, d := range dests {
		c := a.counts[d]
		one := binary.AppendUvarint(nil, uint64(d))
		rare := []int{c.Failed, int(math.Round(c.Allowed * allowUnit)), int(c.RetryAfter / waitUnit)}
		if b[0] == version {
			rare = rare[:2]
		}
		has := 0
		for _, n := range rare {
			has |= min(1, n)
		}
		for _, n := range append([]int{c.Arrived, c.Accepted, c.Rejected<<1 | has}, rare[:len(rare)*has]...) {
			one = binary.AppendUvarint(one, uint64(n))
		}
		if len(b)+len(one) > room {
			break // the rest is not told: the note is full
		}
		b = append(b, one...)
	}
	return b
}

func decode(b []byte) (life uint8, seq uint16, a account, err error) {
	if len(b) < 5 || len(b) > MaxDatagramBytes || b[0] != version && b[0] != waiting {
		return 0, 0, a, errNote
	}
	a.span, a.counts = time.Duration(b[4])*50*time.Millisecond, map[int]DestinationCounts{}
	life, seq = b[1], binary.BigEndian.Uint16(b[2:4])
	if a.span > longest {
		return 0, 0, a, errNote
	}
	fields := 6
	if b[0] == waiting {
		fields = 7
	}
	for b = b[5:]; len(b) > 0; {
		var v [7]uint64
		for i := range fields {
			if i == 4 {
				if v[3], v[4] = v[3]>>1, v[3]&1; v[4] == 0 {
					break // nothing rare
				}
			}
			x, n := binary.Uvarint(b)
			// Guards against a note that lies about more than any relay does: it would drown all others.
			if n <= 0 || x > math.MaxInt32 || i > 0 && x > 10_000 {
				return 0, 0, a, errNote
			}
			v[i], b = x, b[n:]
		}
		if _, twice := a.counts[int(v[0])]; twice || len(a.counts) >= most {
			return 0, 0, a, errNote
		}
		a.counts[int(v[0])] = DestinationCounts{int(v[1]), int(v[2]), int(v[3]), int(v[4]), float64(v[5]) / allowUnit, time.Duration(v[6]) * waitUnit}
	}
	return life, seq, a, nil
}
