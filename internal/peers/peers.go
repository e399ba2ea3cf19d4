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
	MaxNote = members.MaxNote // bytes; the platform takes none that is longer
	Least   = 8               // relays; a smaller fleet sees enough by itself, and tells nothing

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

// Count is what became of messages and calls for one destination.
type Count struct {
	Wanted  int // messages that came in
	Taken   int // calls that were taken
	Refused int // calls that were turned away
	Failed  int // calls that did not come through, or had no answer

	Allowed float64       // calls a second that the relay allows itself; 0: any
	Wait    time.Duration // that it was told to keep, and still has to
}

// account is what one relay told, or saw, of a span that ended at at.
type account struct {
	from   int
	at     time.Duration
	span   time.Duration
	counts map[int]Count
}

// Pool gathers what one relay sees and what it hears.
type Pool struct {
	me, fleet int
	rng       *rand.Rand
	life      uint8 // tells this life's notes from an earlier one's
	seq       uint16
	mine      map[int]Count
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
func New(me, fleet int, seed int64) *Pool {
	rng := rand.New(rand.NewPCG(uint64(seed), 0x9ee2))
	p := &Pool{me: me, fleet: fleet, rng: rng, life: uint8(rng.Uint32()), mine: map[int]Count{}, paces: map[int]*pace{}, last: map[int]mark{}}
	if me < 0 || me >= fleet || fleet > math.MaxUint16 {
		p.fleet = 0 // what does not fit together is no fleet
	}
	p.next = time.Duration(rng.Int64N(int64(turn)))
	return p
}

// Join has the pool ask who lives, from its first note on. zone is this relay's own. seed has to differ from that of any other process under this
// relay's number: it is what tells their notes apart.
func (p *Pool) Join(zone int, seed int64) {
	if p.fleet > 1 {
		p.list = members.New(members.Config{Me: p.me, Fleet: p.fleet, Zone: zone, Seed: seed})
	}
}

// Members is who lives, as far as this relay knows; nil: it is not asked.
func (p *Pool) Members() *members.List { return p.list }

// counts tells whether the fleet is large enough for counts to be worth their bytes.
func (p *Pool) counts() bool { return p.fleet >= Least }

// Active tells whether the pool tells and hears anything.
func (p *Pool) Active() bool { return p.counts() || p.list != nil }

// Wanted books a message that came in.
func (p *Pool) Wanted(dest int) {
	c := p.mine[dest]
	c.Wanted++
	p.mine[dest] = c
}

// End is how a call ended.
type End int

// The ends of a call.
const (
	Taken   End = iota // whatever became of it then
	Refused            // turned away
	Failed             // it did not come through, or had no answer
)

// Ended books the end of a call.
func (p *Pool) Ended(dest int, how End) {
	c := p.mine[dest]
	switch how {
	case Taken:
		c.Taken++
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	}
	p.mine[dest] = c
}

// Next is when the pool wants to tell again.
func (p *Pool) Next() time.Duration {
	if p.list != nil {
		return min(p.next, p.list.Next())
	}
	return p.next
}

// Turn returns what goes out now, to whom, and whether that was a turn, behind which News is to be asked; nothing before Next.
func (p *Pool) Turn(now time.Duration) (out []members.Out, turned bool) {
	if p.list != nil {
		out = bareNotes(p.list.Tick(now))
	}
	if !p.Active() || now < p.next {
		return out, false
	}
	out = append(out, p.tellWords()...)
	note, to := p.Tell(now)
	if p.list == nil {
		for _, n := range to {
			out = append(out, members.Out{To: n, Note: note})
		}
		return out, true
	}
	most := fan
	if note == nil {
		most = quietFan
	}
	for _, t := range p.list.Turn(now, most) {
		if note == nil || p.list.State(t.To) >= members.Away { // counts are of no use to one that does not hear
			out = append(out, members.Out{To: t.To, Note: append([]byte{bare}, p.list.Section(t, members.Room)...)})
			continue
		}
		about := p.list.Section(t, min(members.Room, MaxNote-2-len(note)))
		out = append(out, members.Out{To: t.To, Note: slices.Concat([]byte{both, byte(len(about))}, about, note)})
	}
	return out, true
}

func bareNotes(out []members.Out) []members.Out {
	for i, o := range out {
		out[i].Note = append([]byte{bare}, o.Note...)
	}
	return out
}

// Leave has the fleet told, with the next note and at once, that this relay ends or is empty; Stay takes it back.
func (p *Pool) Leave(now time.Duration) {
	if p.list != nil {
		p.list.Leave(now)
		p.next = now
	}
}

// Stay takes it back.
func (p *Pool) Stay(now time.Duration) {
	if p.list != nil {
		p.list.Stay(now)
		p.next = now
	}
}

// Sharing is how many relays may be calling; 0: nobody asks.
func (p *Pool) Sharing(now time.Duration) int {
	if p.list == nil {
		return 0
	}
	return p.list.Sharing(now)
}

// Hear takes any note of another relay, and returns what goes out at once.
func (p *Pool) Hear(now time.Duration, from int, note []byte) (out []members.Out, err error) {
	switch {
	case len(note) == 0 || len(note) > MaxNote:
		return nil, errNote
	case note[0] == version || note[0] == waiting:
		return nil, p.Heard(now, from, note)
	case note[0] == ofSites && p.Active():
		return nil, p.hearWords(now, from, note)
	case p.list == nil || note[0] != bare && note[0] != both:
		return nil, errNote
	case note[0] == bare:
		out, err = p.list.Heard(now, from, note[1:])
		return bareNotes(out), err
	case len(note) < 2 || len(note) < 2+int(note[1]):
		return nil, errNote
	}
	about, counts := note[2:2+int(note[1])], note[2+int(note[1]):]
	if out, err = p.list.Heard(now, from, about); err == nil && p.counts() {
		err = p.Heard(now, from, counts)
	}
	return bareNotes(out), err
}

// Tell returns the note of counts that is due and the numbers of the relays that it goes to; none before its time.
func (p *Pool) Tell(now time.Duration) (note []byte, to []int) {
	if !p.Active() || now < p.next {
		return nil, nil
	}
	p.next = now + turn/2 + time.Duration(p.rng.Int64N(int64(turn)))
	a := account{from: p.me, at: now, span: min(now-p.since, longest), counts: p.mine}
	p.booked(now, now-p.since)
	p.mine, p.since = map[int]Count{}, now
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
		return encode(p.life, p.seq, a, MaxNote-2-leastRoom), nil
	}
	return encode(p.life, p.seq, a, MaxNote), p.draw()
}

// quietOf tells whether the last notes of this relay told of nothing either.
func (p *Pool) quietOf(now time.Duration) bool {
	for _, a := range p.all {
		if a.from == p.me && a.at > now-memory && a.at < now && len(a.counts) > 0 {
			return false
		}
	}
	return true
}

// draw picks some other relays.
func (p *Pool) draw() (to []int) {
	for len(to) < min(fan, p.fleet-1) {
		if n := p.rng.IntN(p.fleet); n != p.me && !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	return to
}

// Heard takes a note of counts of another relay. One that can't be read, is not newer than the last of its sender, or comes from nobody of the
// fleet, changes nothing.
func (p *Pool) Heard(now time.Duration, from int, note []byte) error {
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
func (p *Pool) keep(a account) {
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

// News is what the relays heard of see in the mean, in order of destinations, and what each may make of it. It comes once after each Tell; nothing
// is told while fewer than a few relays are heard of. wall is the time of day, by which turns go.
func (p *Pool) News(now time.Duration, wall time.Time) (out []policy.Usual) {
	relays, spans := map[int]bool{}, 0.0
	told := map[int][]said{} // by destination, one of each relay
	for _, a := range p.all {
		if a.at < now-memory || p.list != nil && a.from != p.me && p.list.State(a.from) >= members.Away {
			continue
		}
		relays[a.from] = true
		spans += a.span.Seconds()
		for d, c := range a.counts {
			told[d] = add(told[d], a, c, now)
		}
	}
	if len(relays) < Least/2 || spans <= 0 {
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
			own.seen, u.Allowed = now, own.follow(now, u, others, by, p.looks <= newcomer)
		}
		p.choose(now, wall, &u, len(relays))
		out = append(out, u)
	}
	maps.DeleteFunc(p.paces, func(_ int, own *pace) bool { return now-own.seen > forgotten })
	maps.DeleteFunc(p.sharing.down, func(_ int, at time.Duration) bool { return now-at > forgotten })
	maps.DeleteFunc(p.sharing.shown, func(_ int, o Shown) bool { return now-o.At > forgotten })
	slices.SortFunc(out, func(a, b policy.Usual) int { return a.Destination - b.Destination })
	return out
}

// encode writes: version, life, number, span in 50 ms, then destinations with their counts. A note without told waits has the form that relays
// which know of none read.
func encode(life uint8, seq uint16, a account, room int) []byte {
	b := []byte{version, life}
	for _, c := range a.counts {
		if c.Wait > 0 {
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
		rare := []int{c.Failed, int(math.Round(c.Allowed * allowUnit)), int(c.Wait / waitUnit)}
		if b[0] == version {
			rare = rare[:2]
		}
		has := 0
		for _, n := range rare {
			has |= min(1, n)
		}
		for _, n := range append([]int{c.Wanted, c.Taken, c.Refused<<1 | has}, rare[:len(rare)*has]...) {
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
	if len(b) < 5 || len(b) > MaxNote || b[0] != version && b[0] != waiting {
		return 0, 0, a, errNote
	}
	a.span, a.counts = time.Duration(b[4])*50*time.Millisecond, map[int]Count{}
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
		a.counts[int(v[0])] = Count{int(v[1]), int(v[2]), int(v[3]), int(v[4]), float64(v[5]) / allowUnit, time.Duration(v[6]) * waitUnit}
	}
	return life, seq, a, nil
}
