// Package region plays a region's control machines and hollow relays in virtual
// time: the real packages that decide, with no sockets and no disks. It counts
// what assignment costs, how long changes take, and what moves when machines,
// racks and zones go and return. One goroutine owns a World; it reads no clock.
package region

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oatfold/internal/assignment"
)

// Sizes that are counted for each datagram beside what it carries, in bytes.
const (
	datagramBytes = 28 // of the headers of UDP and IP
	askBytes      = 20
)

const (
	controlTick = 50 * time.Millisecond
	leastDelay  = time.Millisecond
	mostDelay   = 20 * time.Millisecond
	mostZones   = 64 // a bit each, in Covered
)

// Config is a region to play.
type Config struct {
	Seed       int64
	Number     uint8 // of the region
	Relays     int
	Controls   int
	Zones      int
	RackSize   int
	Partitions int
	Replicas   int
	Loss       float64 // share of datagrams that get lost, below 1
}

// check names what can't be played.
func (c Config) check() error {
	switch {
	case !(c.Loss >= 0 && c.Loss < 1):
		return fmt.Errorf("loss: %g does not lie within 0 and 1", c.Loss)
	case c.RackSize < 1:
		return fmt.Errorf("rack: %d relays", c.RackSize)
	case c.Controls < 1 || c.Controls > assignment.MaxControlNodes:
		return fmt.Errorf("controls: %d, 1 to %d wanted", c.Controls, assignment.MaxControlNodes)
	case c.Zones < 2 || c.Zones > mostZones:
		return fmt.Errorf("zones: %d, 2 to %d wanted", c.Zones, mostZones)
	case c.Relays < 2*c.RackSize*c.Zones || c.Relays > assignment.MaxRelays:
		return fmt.Errorf("relays: %d, two racks for each of %d zones wanted, and %d relays at most", c.Relays, c.Zones, assignment.MaxRelays)
	case c.Partitions < 1 || c.Partitions > assignment.MaxPartitions:
		return fmt.Errorf("partitions: %d, 1 to %d wanted", c.Partitions, assignment.MaxPartitions)
	case c.Replicas < 1 || c.Replicas > assignment.MaxReplicas:
		return fmt.Errorf("replicas: %d, 1 to %d wanted", c.Replicas, assignment.MaxReplicas)
	}
	return nil
}

// Simulation is a region at a moment. It is not safe for concurrent use.
type Simulation struct {
	Now      time.Duration
	Config   Config
	Places   []assignment.Member
	Relays   []*Relay
	Controls []*Control

	// History is every map that was published, by its number. Two of one number
	// would be a fault; they go to Conflicts.
	History   map[uint64]*assignment.Map
	Conflicts []string

	key   assignment.Key
	rng   *rand.Rand
	queue events
	issue uint64
}

// Relay is a hollow relay.
type Relay struct {
	Number   assignment.Relay
	Up       bool
	Follower *assignment.Follower
	Sent     int64 // bytes for control
	Heard    int64
	Refused  int // answers

	disk []byte
	cut  bool // no control machine reaches it
	life int
}

// Control is a control machine.
type Control struct {
	Up      bool
	Control *assignment.ControlNode
	Sent    int64 // bytes, to relays
	Peers   int64 // bytes, to other control machines

	disk assignment.PersistentState
	cut  map[int]bool // control machines that it does not reach
	life int
}

// New makes a region in which everything starts at once, within one PullEvery.
// The error names what of the configuration can't be played.
func New(c Config) (*Simulation, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	w := &Simulation{Config: c, History: map[uint64]*assignment.Map{}, key: assignment.Key("region"), rng: rand.New(rand.NewPCG(uint64(c.Seed), uint64(c.Number)))}
	for i := range c.Relays {
		rack := i / c.RackSize
		w.Places = append(w.Places, assignment.Member{State: assignment.Live, Zone: assignment.Zone(rack % c.Zones), Rack: uint16(rack)})
		w.Relays = append(w.Relays, &Relay{Number: assignment.Relay(i)})
	}
	for i := range c.Controls {
		w.Controls = append(w.Controls, &Control{cut: map[int]bool{}})
		if err := w.StartControl(i); err != nil {
			return nil, err
		}
	}
	for i := range w.Relays {
		w.StartRelay(i)
	}
	return w, nil
}

// StartRelay starts relay i, with what it had on disk.
func (w *Simulation) StartRelay(i int) {
	r := w.Relays[i]
	r.Up, r.life = true, r.life+1
	r.Follower = assignment.NewFollower(w.Config.Number, r.Number, w.key)
	if r.disk != nil {
		if err := r.Follower.Restore(r.disk); err != nil {
			r.Refused++
		}
	}
	life := r.life
	w.After(w.draw(assignment.PollInterval), func() { w.poll(r, life) })
}

// StopRelay ends relay i; what it has on disk stays.
func (w *Simulation) StopRelay(i int) { w.Relays[i].Up = false }

// StopAll ends relays.
func (w *Simulation) StopAll(relays []int) {
	for _, i := range relays {
		w.StopRelay(i)
	}
}

// StartAll starts relays, each with what it had on disk.
func (w *Simulation) StartAll(relays []int) {
	for _, i := range relays {
		w.StartRelay(i)
	}
}

// LeaveAll has relays say that they leave, or that they stay after all.
func (w *Simulation) LeaveAll(relays []int, leave bool) {
	for _, i := range relays {
		w.Relays[i].Follower.SetLeaving(leave)
	}
}

// StopReleased ends the relays among these that leave and have no replicas any
// more, and counts them.
func (w *Simulation) StopReleased(relays []int) (stopped int) {
	for _, i := range relays {
		if w.Relays[i].Up && w.Relays[i].Follower.Released() {
			w.StopRelay(i)
			stopped++
		}
	}
	return stopped
}

// Rack returns the relays of a rack.
func (w *Simulation) Rack(number int) (relays []int) {
	for i, place := range w.Places {
		if int(place.Rack) == number {
			relays = append(relays, i)
		}
	}
	return relays
}

// Zone returns the relays of a zone.
func (w *Simulation) Zone(number assignment.Zone) (relays []int) {
	for i, place := range w.Places {
		if place.Zone == number {
			relays = append(relays, i)
		}
	}
	return relays
}

// CutRelay has no control machine reach relay i, or reach it again.
func (w *Simulation) CutRelay(i int, cut bool) { w.Relays[i].cut = cut }

// StartControl starts control machine i, with what it had on disk.
func (w *Simulation) StartControl(i int) error {
	c := w.Controls[i]
	register, err := assignment.NewRegister(i, w.Config.Controls, w.key, w.Config.Seed+int64(c.life), c.disk)
	if err != nil {
		return err
	}
	shape := assignment.MapConfig{Region: w.Config.Number, Partitions: w.Config.Partitions, Replicas: w.Config.Replicas}
	c.Control = assignment.NewControlNode(register, shape, w.Places, w.key)
	c.Up, c.life = true, c.life+1
	life := c.life
	w.After(w.draw(controlTick), func() { w.tick(i, life) })
	return nil
}

// StopControl ends control machine i; what it has on disk stays.
func (w *Simulation) StopControl(i int) { w.Controls[i].Up = false }

// CutControls has two control machines not reach one another, or reach again.
func (w *Simulation) CutControls(a, b int, cut bool) {
	w.Controls[a].cut[b], w.Controls[b].cut[a] = cut, cut
}

// Publisher returns the control machine that publishes, -1 if none does. Of two
// that think so it is the one whose term is later.
func (w *Simulation) Publisher() (publisher int) {
	publisher = -1
	var term uint64
	for i, c := range w.Controls {
		if c.Up && c.Control.Register().Publishing() && c.Control.Register().PersistentState().PromisedTerm >= term {
			publisher, term = i, c.Control.Register().PersistentState().PromisedTerm
		}
	}
	return publisher
}

// Published returns the latest map that any control machine knows as published,
// nil before the first.
func (w *Simulation) Published() (latest *assignment.Map) {
	for _, c := range w.Controls {
		if m := c.Control.Register().Published(); m != nil && (latest == nil || m.Version.Compare(latest.Version) > 0) {
			latest = m
		}
	}
	return latest
}

// poll sends a relay's question to a control machine drawn for it.
func (w *Simulation) poll(r *Relay, life int) {
	if !r.Up || r.life != life {
		return
	}
	if ask, due := r.Follower.Poll(w.Now); due {
		r.Sent += askBytes + datagramBytes
		i := w.rng.IntN(len(w.Controls))
		w.send(func() { w.answer(r, life, i, ask) })
	}
	w.At(r.Follower.NextPoll(), func() { w.poll(r, life) })
}

// answer has control machine i answer a relay.
func (w *Simulation) answer(r *Relay, life, i int, ask assignment.SliceRequest) {
	c := w.Controls[i]
	if !c.Up || r.cut {
		return
	}
	answer, err := c.Control.Answer(w.Now, ask)
	if err != nil {
		return // the relay asks another
	}
	c.Sent += int64(len(answer) + datagramBytes)
	w.send(func() { w.take(r, life, answer) })
}

func (w *Simulation) take(r *Relay, life int, answer []byte) {
	if !r.Up || r.life != life || r.cut {
		return
	}
	r.Heard += int64(len(answer) + datagramBytes)
	if _, err := r.Follower.HandleAnswer(w.Now, answer); err != nil {
		r.Refused++
		return
	}
	r.disk = r.Follower.Encoded()
}

// tick gives a control machine the time.
func (w *Simulation) tick(i, life int) {
	c := w.Controls[i]
	if !c.Up || c.life != life {
		return
	}
	w.post(i, c.Control.Tick(w.Now))
	w.After(controlTick, func() { w.tick(i, life) })
}

// post saves what control machine i must have on disk, and sends its messages.
func (w *Simulation) post(i int, out []assignment.Envelope) {
	from := w.Controls[i]
	from.disk = from.Control.Register().PersistentState()
	w.record(from.Control.Register().Published())
	for _, e := range out {
		from.Peers += datagramBytes + messageBytes(e.Message)
		if from.cut[e.To] {
			continue
		}
		w.send(func() {
			if to := w.Controls[e.To]; to.Up {
				w.post(e.To, to.Control.Receive(w.Now, i, e.Message))
			}
		})
	}
}

// record keeps a published map, and checks that no other had its number.
func (w *Simulation) record(m *assignment.Map) {
	if m == nil {
		return
	}
	known, found := w.History[m.Version.Number]
	switch {
	case !found:
		w.History[m.Version.Number] = m
	case known != m && (known.Version != m.Version || m.CountMoved(known) != 0):
		w.Conflicts = append(w.Conflicts, fmt.Sprintf("number %d: terms %d and %d", m.Version.Number, known.Version.Term, m.Version.Term))
	}
}

// messageBytes is about what a message takes on its way.
func messageBytes(m assignment.Message) int64 {
	const fixed = 24
	switch m := m.(type) {
	case assignment.Promise:
		return int64(fixed + len(m.Map))
	case assignment.Accept:
		return int64(fixed + len(m.Map))
	case assignment.Published:
		return int64(fixed + len(m.Map))
	case assignment.ContactReport:
		return int64(fixed + 8*(len(m.Relays)+len(m.Leaving)))
	}
	return fixed
}

// send delivers something after a delay, unless it is lost.
func (w *Simulation) send(deliver func()) {
	if w.rng.Float64() >= w.Config.Loss {
		w.After(leastDelay+w.draw(mostDelay-leastDelay), deliver)
	}
}

func (w *Simulation) draw(below time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(below)))
}

// At has something happen at a time, or now if that is over.
func (w *Simulation) At(at time.Duration, do func()) {
	w.issue++
	heap.Push(&w.queue, event{max(at, w.Now), w.issue, do})
}

// After has something happen after a delay.
func (w *Simulation) After(delay time.Duration, do func()) { w.At(w.Now+delay, do) }

// Run plays until a time.
func (w *Simulation) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// RunUntil plays until a condition holds, looked at every so often, and returns
// when it did; false if it did not by the end.
func (w *Simulation) RunUntil(end, every time.Duration, holds func() bool) (time.Duration, bool) {
	for !holds() {
		if w.Now >= end {
			return w.Now, false
		}
		w.Run(min(end, w.Now+every))
	}
	return w.Now, true
}

type event struct {
	at    time.Duration
	issue uint64
	do    func()
}

// events is a heap by time, and by issue at the same time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].issue < e[j].issue
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
