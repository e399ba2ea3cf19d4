// Package gossip plays fleets of members in virtual time: the lists that relays have in service, and between them a network that loses,
// delays, repeats and reorders notes or cuts ways in one direction. Nothing in it waits, and one seed gives the same result each time.
package gossip

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"oatfold/internal/peers/members"
)

// Config is a fleet and its network.
type Config struct {
	Relays, Zones int
	Fanout        int     // relays that a turn's notes go to; 0: 10
	Loss          float64 // share of notes
	DuplicateRate float64 // share that comes twice
	DelayRate     float64 // share that comes up to Lateness later
	MaxExtraDelay time.Duration
	Seed          uint64
}

// Node is one relay.
type Node struct {
	List         *members.List
	Number       int
	Zone         int
	RunID        int
	BytesSent    int // sent
	MessagesSent int
	up           bool
	paused       time.Duration // until then; its clock goes on
	waiting      []arrival     // that came meanwhile
	turnAt       time.Duration
}

type arrival struct {
	from int
	note []byte
}

// Event is a change that one relay saw.
type Event struct {
	At       time.Duration
	Observer int
	members.Change
}

// Simulation is a fleet at work.
type Simulation struct {
	Now       time.Duration
	Nodes     []*Node
	Loss      float64
	Blocked   func(from, to int) bool               // ways that carry nothing; nil: none
	OnChange  func(Event)                           // told of each change
	OnReceive func(from, to int, note []byte) error // told of each note that comes; an error drops it
	set       Config
	rng       *rand.Rand
	due       queue
	seq       int
}

type item struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*q = old[:len(old)-1]
	return x
}

// New starts all relays of a fleet within one period.
func New(set Config) *Simulation {
	if set.Fanout == 0 {
		set.Fanout = 10
	}
	set.Zones = max(1, set.Zones)
	w := &Simulation{set: set, Loss: set.Loss, rng: rand.New(rand.NewPCG(set.Seed, 0x90551b))}
	for i := range set.Relays {
		w.Nodes = append(w.Nodes, &Node{Number: i, Zone: i % set.Zones})
		w.Start(i)
	}
	return w
}

// Schedule runs do at that time.
func (w *Simulation) Schedule(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.due, item{max(at, w.Now), w.seq, do})
}

// Run goes on until then.
func (w *Simulation) Run(until time.Duration) {
	for len(w.due) > 0 && w.due[0].at <= until {
		x := heap.Pop(&w.due).(item)
		w.Now = x.at
		x.do()
	}
	w.Now = until
}

// RunUntil goes on until cond holds, looked at each tenth of a period, and tells whether it did by then.
func (w *Simulation) RunUntil(by time.Duration, cond func() bool) bool {
	for !cond() {
		if w.Now >= by {
			return false
		}
		w.Run(w.Now + members.Period/10)
	}
	return true
}

// Start begins a life of a relay, which knows nothing of an earlier one.
func (w *Simulation) Start(n int) {
	d := w.Nodes[n]
	d.RunID++
	d.up, d.paused, d.waiting = true, 0, nil
	d.List = members.New(members.Config{Self: n, FleetSize: w.set.Relays, Zone: d.Zone, Seed: int64(w.set.Seed)*1_000_003 + int64(n)*101 + int64(d.RunID)})
	d.turnAt = w.Now + time.Duration(w.rng.Int64N(int64(members.Period)))
	w.wake(d, w.Now)
}

// Kill ends a relay without a word.
func (w *Simulation) Kill(n int) { w.Nodes[n].up = false }

// Stop ends a relay that says so, in two turns.
func (w *Simulation) Stop(n int) {
	d := w.Nodes[n]
	d.List.Leave(w.Now)
	w.turn(d)
	w.turn(d)
	w.Kill(n)
}

// Up tells whether a relay lives.
func (w *Simulation) Up(n int) bool { return w.Nodes[n].up }

// Pause makes a relay stand still for so long. What comes meanwhile it finds then.
func (w *Simulation) Pause(n int, long time.Duration) {
	d := w.Nodes[n]
	life := d.RunID
	d.paused = w.Now + long
	w.Schedule(d.paused, func() {
		if !d.up || d.RunID != life {
			return
		}
		got := d.waiting
		d.waiting = nil
		for _, a := range got {
			w.hears(d, a.from, a.note)
		}
		w.wake(d, w.Now)
	})
}

// wake lets a relay do what is due, again and again while it lives and moves.
func (w *Simulation) wake(d *Node, at time.Duration) {
	life := d.RunID
	w.Schedule(at, func() {
		if !d.up || d.RunID != life || w.Now < d.paused {
			return
		}
		w.send(d, d.List.Tick(w.Now))
		if w.Now >= d.turnAt {
			w.turn(d)
			d.turnAt = w.Now + members.Period/2 + time.Duration(w.rng.Int64N(int64(members.Period)))
		}
		w.changes(d)
		w.wake(d, min(d.turnAt, d.List.NextTick()))
	})
}

func (w *Simulation) turn(d *Node) {
	for _, t := range d.List.GossipTargets(w.Now, w.set.Fanout) {
		w.send(d, []members.Datagram{{To: t.To, Payload: d.List.Section(t, members.MaxPiggybackBytes)}})
	}
}

func (w *Simulation) changes(d *Node) {
	for _, c := range d.List.Changes() {
		if w.OnChange != nil {
			w.OnChange(Event{w.Now, d.Number, c})
		}
	}
}

func (w *Simulation) send(d *Node, out []members.Datagram) {
	for _, o := range out {
		d.BytesSent += len(o.Payload)
		d.MessagesSent++
		w.carry(d.Number, o.To, o.Payload)
	}
}

// carry takes a note over the network.
func (w *Simulation) carry(from, to int, note []byte) {
	times := 1
	if w.set.DuplicateRate > 0 && w.rng.Float64() < w.set.DuplicateRate {
		times = 2
	}
	for range times {
		if w.Loss > 0 && w.rng.Float64() < w.Loss || w.Blocked != nil && w.Blocked(from, to) {
			continue
		}
		late := 2*time.Millisecond + time.Duration(w.rng.Int64N(int64(29*time.Millisecond)))
		if w.set.DelayRate > 0 && w.rng.Float64() < w.set.DelayRate {
			late += time.Duration(w.rng.Int64N(int64(w.set.MaxExtraDelay) + 1))
		}
		w.Schedule(w.Now+late, func() { w.Deliver(from, to, note) })
	}
}

// Deliver has a note come to a relay as if from another.
func (w *Simulation) Deliver(from, to int, note []byte) {
	d := w.Nodes[to]
	switch {
	case !d.up:
	case w.Now < d.paused:
		d.waiting = append(d.waiting, arrival{from, note})
	default:
		w.hears(d, from, note)
	}
}

func (w *Simulation) hears(d *Node, from int, note []byte) {
	if w.OnReceive != nil && w.OnReceive(from, d.Number, note) != nil {
		return
	}
	out, _ := d.List.Receive(w.Now, from, note)
	w.send(d, out)
	w.changes(d)
}

// CheckAgreement tells whether each relay that is up takes those that are up for alive and the others for away or left; else it names one that does not.
func (w *Simulation) CheckAgreement() (ok bool, by, of int) {
	for i, d := range w.Nodes {
		if !d.up {
			continue
		}
		for n, o := range w.Nodes {
			if s := d.List.State(n); i != n && (o.up && s != members.Alive || !o.up && s < members.Dead) {
				return false, i, n
			}
		}
	}
	return true, -1, -1
}
