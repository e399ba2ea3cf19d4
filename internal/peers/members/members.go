// Package members decides who of a fleet lives. Each relay asks one other for an answer in a turn, has three more ask on its behalf where none
// comes, and passes on what it knows of others in the notes that go out anyway. Who is accused hears of it and answers under a higher
// incarnation; who does not is taken for away. What a note proves of its sender, at the address that it came from, goes before what others say.
//
// The package opens no socket, reads no clock and owns no goroutine: time is an argument, datagrams come in and go out. A List belongs to
// whoever calls it. What it costs is the same at ten relays and at a thousand, but for View and for what follows a change. It never does
// anything to messages or calls; who hears nothing goes on as if all lived.
package members

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a moment on the caller's monotonic clock, counted from any fixed start.
type Time = time.Duration

// Period is the time from one question of a relay to its next, in the mean. Bounds are counted in it.
const Period = 600 * time.Millisecond

// MaxPiggybackBytes is the most bytes that membership takes of a note which goes out anyway.
const MaxPiggybackBytes = 64

// MaxMembers is how many members a fleet may have.
const MaxMembers = 1 << 14

// Open values, chosen by measurement (docs/design/membership.md).
const (
	answerBy      = Period / 3       // then others are asked to ask
	accuseBy      = Period           // then the silence counts
	helpers       = 3                // members asked to ask
	least         = 4                // periods under suspicion at least, in a small fleet
	perHop        = 1.5              // and this many more for each hop that news take to all
	doubled       = 3                // times that span at most, while one member alone accuses
	voicesFor     = 3                // accusers at which it is the least
	lossSlows     = 3                // times the lost share of questions that a suspicion lasts longer
	surely        = 0.002            // chance at which lost notes may pass for silence
	leastTries    = 2                // questions in a row without an answer, at least
	mostTries     = 16               // and at most
	accuseTurn    = 2 * Period       // from one accusation of a relay to its next
	lossPart      = 0.1              // weight of the latest question in that share
	introductions = 2                // and of the mere presence of a member
	copies        = 12               // notes that carry a piece of news, more where notes are lost
	deafAfter     = 3 * Period       // without any note: this relay doubts itself
	deafFor       = 10 * Period      // and accuses nobody for so long
	deafSlows     = 4                // times that a suspicion lasts longer then
	joining       = 3 * Period       // for so long at most a relay asks for the fleet's state
	pause         = 2 * Period       // a gap of the own clock that is one
	afterward     = 3 * Period       // after a pause nobody is accused
	lately        = 2 * Period       // heard itself so lately, a member is not taken for dead on others' word
	answers       = 8                // in a period, and one more for each eight members, up to four times as many
	flood         = 24               // notes of one member in a period that are read
	lostTurn      = 4                // each such turn tells one that is away, where those are few
	leap          = 4096             // incarnations by which others' word may outdo what is known
	topInc        = 1 << 28          // of incarnations
	pending       = 3                // questions of this relay at once
	checks        = 8                // questions at once, up to which one that others doubt is asked as well
	onBehalf      = 32               // questions for others at once
	sharesOn      = 15 * time.Second // a member that is away may still be calling: it counts for so long
	leftOn        = 5 * time.Second  // and one that left
	cutShare      = 4                // one part in so many that is away at once is no single death
	rivalry       = 3                // times that another speaks under a number, in rivalSpan, that make two processes
	rivalSpan     = 20 * Period
	farBack       = 2048 // notes behind the last: more than a network keeps back, at some twenty a second
)

// doubtShare is the part of a zone, one in so many, that may be in doubt besides a member that is counted as dead.
const doubtShare = 12

// NoZone is the zone of a member that told none.
const NoZone = 31

// State is what a member is taken for.
type State uint8

// The states, in the order in which they outdo one another at one incarnation.
const (
	Alive   State = iota
	Suspect       // it gave no answer; it has time to contradict
	Dead          // it is dead, or can't be heard from here
	Left          // it said so
)

func (s State) String() string { return [...]string{"alive", "suspect", "away", "left"}[s&3] }

// Config is what a list is made from.
type Config struct {
	Self, FleetSize int
	Zone            int // its number; NoZone: not known
	Seed            int64
}

// Datagram is a note that holds nothing but membership, and whom it goes to.
type Datagram struct {
	To      int
	Payload []byte
}

// Change is a member's new state.
type Change struct {
	Number      int
	From, To    State
	Incarnation uint32
	Reason      string
}

// Counts is what the list has done so far.
type Counts struct {
	Probes, ProbeTimeouts, Suspicions, Refutations int // questions, those without an answer, members accused by this one, and own accusations contradicted
	Rejected                                       int // notes that were not taken
}

// member is what is known of one relay.
type member struct {
	state    State
	zone     uint8
	mine     bool   // this relay has accused it
	checked  bool   // this relay has asked it since it is doubted
	own      bool   // what is said against it is known at first hand
	lived    bool   // life and seq are known
	life     uint8  // tells its processes apart
	seq      uint16 // of the last note heard
	inc      uint32 // 0: nobody has heard of it
	left     int8   // notes that still carry the news
	issue    uint8  // of the news
	said     State  // Left: others say that it left
	since    Time
	heardAt  Time // itself; -1: never
	signAt   Time // the last note that shows that it lives, though not under the incarnation that it would need
	at       Time // suspicion began
	toldAt   Time // when it was last told what it is taken for
	voices   []int
	why      string
	bucket   int // notes read in the period of bucketAt
	bucketAt Time
	swaps    int // lives in turn, since swapAt
	swapAt   Time
}

// question is one that this relay waits for an answer to.
type question struct {
	to     int
	nonce  uint8
	tries  int // that had no answer
	at     Time
	helped bool
	check  bool // of one that others doubt
	origin int  // for whom; -1: for itself
	echo   uint8
}

// List is one relay's view of its fleet.
type List struct {
	set       Config
	rng       *rand.Rand
	now       Time
	begun     bool
	all       []member
	inc       uint32
	life      uint8
	seq       uint16
	nonce     uint8
	leaving   bool
	synced    bool // somebody has told the fleet's state
	ring      []int
	ringAt    int
	questions []question
	suspects  []int           // numbers, in no order
	live      []int           // neither away nor left, this one left out
	lost      []int           // the others
	place     []int           // of each in live or lost
	news      [queues][]entry // numbers to be passed on, the next first
	changes   []Change
	version   uint64
	counts    Counts
	loss      float64
	recent    uint8 // of the last eight members asked, those that did not answer the first question
	accusedAt Time
	turns     int
	heardAny  Time
	quietTil  Time
	budget    int // answers left in the period of budgetAt
	budgetAt  Time
	bumpAt    Time
	deafBump  Time
	rivals    int // times that another spoke under this number
	rivalAt   Time
	bornAt    Time
	sharing   int
	sharingAt Time
	countedAt Time
}

// New returns the list of one relay, which takes all for alive and has heard of nobody. A fleet of no sensible size has one member.
func New(set Config) *List {
	if set.FleetSize < 1 || set.FleetSize > MaxMembers || set.Self < 0 || set.Self >= set.FleetSize {
		set.Self, set.FleetSize = 0, 1
	}
	if set.Zone < 0 || set.Zone > NoZone {
		set.Zone = NoZone
	}
	rng := rand.New(rand.NewPCG(uint64(set.Seed), 0x3e3b))
	l := &List{set: set, rng: rng, inc: 1, life: uint8(rng.Uint32()), seq: uint16(rng.Uint32()), nonce: uint8(rng.Uint32()), all: make([]member, set.FleetSize),
		place: make([]int, set.FleetSize), sharing: set.FleetSize, version: 1, bumpAt: -Period, deafBump: -Period, accusedAt: -accuseTurn, budgetAt: -Period}
	for i := range l.all {
		l.all[i] = member{zone: NoZone, heardAt: -1, toldAt: -pause, why: "not heard of yet"}
		if i != set.Self {
			l.place[i] = len(l.live)
			l.live = append(l.live, i)
			l.ring = append(l.ring, i)
		}
	}
	l.all[set.Self] = member{zone: uint8(set.Zone), inc: 1, lived: true, why: "this relay"}
	l.shuffle()
	return l
}

func (l *List) shuffle() {
	l.rng.Shuffle(len(l.ring), func(i, j int) { l.ring[i], l.ring[j] = l.ring[j], l.ring[i] })
}

// advance moves the clock on. Risk: a process that stood still finds all answers overdue, and would accuse the fleet of its own pause.
func (l *List) advance(now Time) {
	if !l.begun {
		l.begun, l.now, l.heardAny, l.sharingAt, l.bornAt = true, now, now, now, now
		for i := range l.all {
			l.all[i].since = now
		}
		return
	}
	gap := now - l.now
	if gap <= 0 {
		return // a clock does not go back
	}
	l.now = now
	l.synced = l.synced || now-l.bornAt > joining
	if gap > pause {
		l.questions = l.questions[:0]
		for _, n := range l.suspects {
			l.all[n].at += gap
		}
		l.quietTil, l.heardAny = now+afterward, now
		l.bump(l.inc) // it may have been accused meanwhile
	}
}

// bump takes the next incarnation above inc.
func (l *List) bump(inc uint32) {
	if l.inc = max(l.inc, min(inc, topInc-1)) + 1; l.inc > topInc {
		l.inc = topInc
	}
	l.bumpAt = l.now
	l.all[l.set.Self].inc = l.inc
}

// Isolated tells whether nobody has been heard for so long that this relay doubts itself.
func (l *List) Isolated() bool { return len(l.all) > 1 && l.now-l.heardAny > deafAfter }

// DuplicateNumber tells whether another process speaks under this relay's number.
func (l *List) DuplicateNumber() bool { return l.rivals >= rivalry && l.now-l.rivalAt < rivalSpan }

// Counts tells what the list has done so far.
func (l *List) Counts() Counts { return l.counts }

// Incarnation is this relay's own.
func (l *List) Incarnation() uint32 { return l.inc }

// State tells what member n is taken for.
func (l *List) State(n int) State { return l.all[n].state }

// Changes returns the changes of state since the last call.
func (l *List) Changes() []Change {
	c := l.changes
	l.changes = nil
	return c
}

// Version grows with each change that View shows.
func (l *List) Version() uint64 { return l.version }

// set puts member n into a state, and has the news passed on.
func (l *List) become(n int, s State, own bool, why string) {
	m := &l.all[n]
	was := m.state
	if was != s {
		l.changes = append(l.changes, Change{n, was, s, m.inc, why})
		m.since = l.now
		if (was >= Dead) != (s >= Dead) {
			l.move(n, s >= Dead)
		}
		if s == Suspect {
			m.at, m.voices, m.checked = l.now, m.voices[:0], false
			l.suspects = append(l.suspects, n)
		} else if was == Suspect {
			i := slices.Index(l.suspects, n)
			l.suspects[i] = l.suspects[len(l.suspects)-1]
			l.suspects = l.suspects[:len(l.suspects)-1]
		}
	}
	if m.state, m.own, m.why = s, own, why; s == Alive {
		if m.mine && was == Suspect {
			l.missed() // it was there all the time
		}
		m.said, m.voices, m.mine = Alive, m.voices[:0], false
	}
	l.version++
	l.spread(n)
}

// move puts n from one of live and lost into the other.
func (l *List) move(n int, lost bool) {
	from, to := &l.lost, &l.live
	if lost {
		from, to = &l.live, &l.lost
	}
	i, last := l.place[n], (*from)[len(*from)-1]
	(*from)[i], l.place[last] = last, i
	*from = (*from)[:len(*from)-1]
	l.place[n] = len(*to)
	*to = append(*to, n)
}

// spread has what is known of n passed on. What nobody has heard of is not told.
func (l *List) spread(n int) {
	m := &l.all[n]
	if m.inc == 0 || m.state != Alive && l.Isolated() {
		return // nobody has heard of it; or a deaf relay's doubts, which are its own
	}
	l.queue(n, fresh, min(int(copies*(1+l.loss)), 4*(len(l.all)-1)))
}

// introduce has it passed on, behind all else, that a member is there and in which zone.
func (l *List) introduce(n int) {
	if m := &l.all[n]; m.left == 0 {
		l.queue(n, known, introductions)
	}
}

// The queues of what is passed on: what has not been told yet, what was told and is told again, and who is there at all.
const (
	fresh uint8 = iota
	again
	known
	queues
)

// entry is a place in a queue. It holds as long as nothing newer was queued of its member.
type entry struct {
	n     int
	issue uint8
}

// queue has news of n told so often, from now on.
func (l *List) queue(n int, where uint8, times int) {
	m := &l.all[n]
	m.issue++
	m.left = int8(times)
	l.news[where] = append(l.news[where], entry{n, m.issue})
}

// tell takes up to most pieces of news out of a queue, each to be told once more, and gives each to do.
func (l *List) tell(where uint8, most int, do func(n int)) {
	for looked := len(l.news[where]); looked > 0 && most > 0; looked-- {
		e := l.news[where][0]
		l.news[where] = l.news[where][1:]
		m := &l.all[e.n]
		if m.issue != e.issue || m.left == 0 {
			continue
		}
		if m.left--; m.left > 0 {
			to := where
			if where == fresh {
				to = again
			}
			l.news[to] = append(l.news[to], e)
		}
		do(e.n)
		most--
	}
}

// --- questions ---

// Target is a relay that a turn's note goes to; Ask says that it is asked for an answer.
type Target struct {
	To   int
	Ping bool
}

// GossipTargets begins a turn: whom its notes go to, up to so many, the one that is asked first. One that is away is among them, so that groups that
// lost sight of each other meet again.
func (l *List) GossipTargets(now Time, most int) (to []Target) {
	l.advance(now)
	if len(l.all) < 2 {
		return nil
	}
	if n, ok := l.nextToAsk(); ok && l.own() < pending && !l.leaving {
		to = append(to, Target{n, true})
	}
	has := func(n int) bool { return slices.ContainsFunc(to, func(t Target) bool { return t.To == n }) }
	if l.turns++; len(l.lost) > 0 && (l.turns%lostTurn == 0 || len(l.lost)*lostTurn*2 > len(l.all)) {
		to = append(to, Target{To: l.lost[l.rng.IntN(len(l.lost))]})
	}
	for tries := 0; len(to) < min(most, len(l.live)) && tries < 8*most; tries++ {
		if n := l.live[l.rng.IntN(len(l.live))]; !has(n) {
			to = append(to, Target{To: n})
		}
	}
	return to
}

// asking tells whether an own question to n waits for its answer, or only one that checks what others say.
func (l *List) asking(n int, check bool) bool {
	return slices.ContainsFunc(l.questions, func(q question) bool { return q.to == n && q.origin < 0 && (q.check || !check) })
}

// own counts this relay's own questions, but for those that check what others say.
func (l *List) own() (n int) {
	for _, q := range l.questions {
		if q.origin < 0 && !q.check {
			n++
		}
	}
	return n
}

// nextToAsk goes round the fleet in an order of its own, drawn anew each time: each is asked once a round.
func (l *List) nextToAsk() (int, bool) {
	for range min(len(l.ring), 64) {
		if l.ringAt >= len(l.ring) {
			l.ringAt = 0
			l.shuffle()
		}
		n := l.ring[l.ringAt]
		l.ringAt++
		if l.all[n].state < Dead && !l.asking(n, false) {
			return n, true
		}
	}
	return 0, false
}

// NextTick is when Tick wants to be called again.
func (l *List) NextTick() Time {
	at := l.now + Period
	for _, q := range l.questions {
		if !q.helped && !q.check && q.origin < 0 {
			at = min(at, q.at+answerBy)
		}
		at = min(at, q.at+accuseBy)
	}
	if len(l.suspects) > 0 {
		at = min(at, l.now+Period/4)
	}
	return max(at, l.now+Period/60)
}

// Tick does what is due: others are asked to ask, silence is held against a member, a suspicion ends.
func (l *List) Tick(now Time) (out []Datagram) {
	l.advance(now)
	kept := l.questions[:0]
	for _, q := range l.questions {
		switch {
		case l.now >= q.at+accuseBy && q.origin >= 0:
			continue
		case l.now >= q.at+accuseBy:
			if q.tries++; q.tries == 1 && !q.check {
				l.recent |= 1
			}
			if q.check && q.tries >= l.enough() {
				l.voice(&l.all[q.to], l.set.Self)
				continue
			}
			if q.tries >= l.enough() && l.now-l.accusedAt >= accuseTurn {
				if l.silent(q.to) {
					l.accusedAt = l.now
				}
				continue
			}
			l.nonce++
			q.nonce, q.at, q.helped = l.nonce, l.now, false
			out = append(out, Datagram{q.to, l.note(q.to, section{flags: flagAsk, nonce: q.nonce}, MaxPiggybackBytes)})
		case q.origin < 0 && !q.helped && !q.check && l.now >= q.at+answerBy:
			q.helped = true
			l.counts.ProbeTimeouts++
			for _, n := range l.helpersFor(q.to) {
				out = append(out, Datagram{n, l.note(n, section{flags: flagAsk | flagFor, nonce: q.nonce, about: q.to}, MaxDatagramBytes/2)})
			}
		}
		kept = append(kept, q)
	}
	l.questions = kept
	if l.Isolated() && l.now-l.deafBump >= 2*Period {
		// Risk: who hears nothing can't contradict what is said of it; so it contradicts unasked.
		l.deafBump = l.now
		l.bump(l.inc)
	}
	for i := len(l.suspects) - 1; i >= 0; i-- {
		n := l.suspects[i]
		m := &l.all[n]
		span := l.span(m)
		if l.now < l.quietTil || l.now-m.at < span/2 {
			continue
		}
		// Risk: news that clear a member miss one relay of a thousand. It asks for itself before it believes the others.
		if !m.checked && len(l.questions) < checks {
			if m.checked = true; !l.asking(n, false) {
				l.nonce++
				l.questions = append(l.questions, question{to: n, nonce: l.nonce, at: l.now, origin: -1, check: true})
				out = append(out, Datagram{n, l.note(n, section{flags: flagAsk, nonce: l.nonce}, MaxPiggybackBytes)})
			}
			continue
		} else if l.now-m.at < span || l.asking(n, true) {
			continue
		}
		switch {
		case m.said == Left:
			l.become(n, Left, false, "said to have left, and no sign of it since")
		case l.Isolated():
			l.become(n, Dead, false, "nobody is heard: this relay may be the one that is cut off")
		default:
			l.become(n, Dead, true, m.why+fmt.Sprintf(", and did not contradict for %.1f s", (l.now-m.at).Seconds()))
		}
	}
	return out
}

// enough is how many questions in a row have to stay without an answer: two where all come through, more where many are lost, so that a
// network that loses half of all notes does not have everybody accuse everybody. What is lost shows late in the usual share; that others
// asked at the same time did not answer either shows at once.
func (l *List) enough() int {
	lost := max(l.loss, float64(bits.OnesCount8(l.recent)-1)/8)
	if lost <= surely {
		return leastTries
	}
	return max(leastTries, min(mostTries, int(math.Ceil(math.Log(surely)/math.Log(min(lost, 0.9))))))
}

// helpersFor draws members that may reach n where this one does not.
func (l *List) helpersFor(n int) (to []int) {
	for tries := 0; len(to) < min(helpers, len(l.live)-1) && tries < 8*helpers; tries++ {
		if h := l.live[l.rng.IntN(len(l.live))]; h != n && !slices.Contains(to, h) {
			to = append(to, h)
		}
	}
	return to
}

// missed books that a question to a member that lives had no answer, answeredOnce that one had. Silence that turns out to be a death is no loss.
func (l *List) missed()       { l.loss += (1 - l.loss) * lossPart }
func (l *List) answeredOnce() { l.loss -= l.loss * lossPart }

// silent takes in that n gave no answer, neither itself nor through others, and tells whether this relay holds it against it.
func (l *List) silent(n int) (accused bool) {
	m := &l.all[n]
	if since := l.now - l.heardAny; since >= Period && since < deafFor || l.now < l.quietTil || m.state >= Dead {
		return false // a relay that is deaf or has just woken doubts itself first
	}
	l.counts.Suspicions++
	m.mine = true
	why := fmt.Sprintf("no answer in %.1f s, nor through others", accuseBy.Seconds())
	if m.inc == 0 {
		why = "never heard of"
	}
	if m.state == Alive {
		l.become(n, Suspect, true, why)
	} else if !m.own {
		m.own = true
		l.spread(n)
	}
	l.voice(m, l.set.Self)
	return true
}

// voice books that a member accuses m at first hand. Each counts once, however often it says so.
func (l *List) voice(m *member, from int) {
	if len(m.voices) < 2*voicesFor && !slices.Contains(m.voices, from) {
		m.voices = append(m.voices, from)
	}
}

// span is how long m may contradict: the longer the larger the fleet and the more is lost, the shorter the more members accuse it.
func (l *List) span(m *member) Time {
	n := float64(len(l.all))
	low := least + perHop*math.Log(n)/math.Log(11)
	enough := float64(max(1, min(voicesFor, len(l.live)-1)))
	v := min(float64(max(1, len(m.voices))), enough)
	periods := low
	if enough > 1 {
		periods += (doubled - 1) * low * (1 - math.Log(v)/math.Log(enough))
	}
	periods *= 1 + lossSlows*l.loss
	if l.Isolated() {
		periods *= deafSlows
	}
	return time.Duration(periods * float64(Period))
}

// Leave tells that this relay is about to end, or that it has been emptied.
func (l *List) Leave(now Time) {
	l.advance(now)
	l.leaving = true
	l.all[l.set.Self].state = Left
	l.version++
}

// CancelLeave takes that back.
func (l *List) CancelLeave(now Time) {
	l.advance(now)
	if l.leaving {
		l.leaving = false
		l.all[l.set.Self].state = Alive
		l.bump(l.inc)
		l.version++
	}
}
