// Package region simulates the control machines and relays of a region in virtual time: the
// production code that decides on assignment, without sockets and disks. It measures the cost of
// assignment, the time that changes take, and the replicas that move when machines, racks and zones
// fail and return. It reads no clock.
package region

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oatfold/internal/assignment"
)

// Sizes in bytes, counted for each datagram in addition to its payload.
const (
	datagramBytes = 28 // headers of UDP and IP
	requestBytes  = 20
)

const (
	controlTick = 50 * time.Millisecond
	minDelay    = time.Millisecond
	maxDelay    = 20 * time.Millisecond
	maxZones    = 64 // a bit each, in Coverage
)

// Config configures a simulated region.
type Config struct {
	Seed       int64
	Number     uint8 // the region's number
	Relays     int
	Controls   int
	Zones      int
	RackSize   int
	Partitions int
	Replicas   int
	Loss       float64 // share of datagrams lost, below 1
}

// check returns an error that names the first invalid setting.
func (c Config) check() error {
	switch {
	case !(c.Loss >= 0 && c.Loss < 1):
		return fmt.Errorf("loss: %g is not between 0 and 1", c.Loss)
	case c.RackSize < 1:
		return fmt.Errorf("rack: at least 1 relay required, got %d", c.RackSize)
	case c.Controls < 1 || c.Controls > assignment.MaxControlNodes:
		return fmt.Errorf("controls: %d is not between 1 and %d", c.Controls, assignment.MaxControlNodes)
	case c.Zones < 2 || c.Zones > maxZones:
		return fmt.Errorf("zones: %d is not between 2 and %d", c.Zones, maxZones)
	case c.Relays < 2*c.RackSize*c.Zones || c.Relays > assignment.MaxRelays:
		return fmt.Errorf("relays: %d; two racks for each of %d zones are required, and at most %d relays are supported",
			c.Relays, c.Zones, assignment.MaxRelays)
	case c.Partitions < 1 || c.Partitions > assignment.MaxPartitions:
		return fmt.Errorf("partitions: %d is not between 1 and %d", c.Partitions, assignment.MaxPartitions)
	case c.Replicas < 1 || c.Replicas > assignment.MaxReplicas:
		return fmt.Errorf("replicas: %d is not between 1 and %d", c.Replicas, assignment.MaxReplicas)
	}
	return nil
}

// Simulation is a simulated region. It is not safe for concurrent use.
type Simulation struct {
	Now      time.Duration
	Config   Config
	Members  []assignment.Member
	Relays   []*Relay
	Controls []*ControlMachine

	// History holds every published map by its number. Two different maps of one number are a
	// fault, which is added to Conflicts.
	History   map[uint64]*assignment.Map
	Conflicts []string

	key     assignment.Key
	rng     *rand.Rand
	tasks   taskQueue
	lastSeq uint64
}

// Relay is a simulated relay that only follows its assignment.
type Relay struct {
	Number        assignment.Relay
	Up            bool
	Follower      *assignment.Follower
	BytesSent     int64 // for control
	BytesReceived int64
	Rejected      int // answers and slices on disk that were rejected

	disk     []byte
	isolated bool // reaches no control machine
	runID    int
}

// ControlMachine is a simulated control machine.
type ControlMachine struct {
	Up         bool
	Node       *assignment.ControlNode
	RelayBytes int64 // sent to relays
	PeerBytes  int64 // sent to other control machines

	disk        assignment.PersistentState
	unreachable map[int]bool // other control machines
	runID       int
}

// New starts all relays and control machines of a region within one assignment.PollInterval. It
// returns an error for an invalid configuration.
func New(c Config) (*Simulation, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	sim := &Simulation{Config: c, History: map[uint64]*assignment.Map{}, key: assignment.Key("region"),
		rng: rand.New(rand.NewPCG(uint64(c.Seed), uint64(c.Number)))}
	for i := range c.Relays {
		rack := i / c.RackSize
		sim.Members = append(sim.Members,
			assignment.Member{State: assignment.Live, Zone: assignment.Zone(rack % c.Zones), Rack: uint16(rack)})
		sim.Relays = append(sim.Relays, &Relay{Number: assignment.Relay(i)})
	}
	for i := range c.Controls {
		sim.Controls = append(sim.Controls, &ControlMachine{unreachable: map[int]bool{}})
		if err := sim.StartControl(i); err != nil {
			return nil, err
		}
	}
	for i := range sim.Relays {
		sim.StartRelay(i)
	}
	return sim, nil
}

// StartRelay starts relay i with the state on its disk.
func (sim *Simulation) StartRelay(i int) {
	r := sim.Relays[i]
	r.Up, r.runID = true, r.runID+1
	r.Follower = assignment.NewFollower(sim.Config.Number, r.Number, sim.key)
	if r.disk != nil {
		if err := r.Follower.Restore(r.disk); err != nil {
			r.Rejected++
		}
	}
	runID := r.runID
	sim.ScheduleAfter(sim.randomDuration(assignment.PollInterval), func() { sim.poll(r, runID) })
}

// StopRelay stops relay i; its disk is kept.
func (sim *Simulation) StopRelay(i int) { sim.Relays[i].Up = false }

// StopAll stops relays.
func (sim *Simulation) StopAll(relays []int) {
	for _, i := range relays {
		sim.StopRelay(i)
	}
}

// StartAll starts relays, each with the state on its disk.
func (sim *Simulation) StartAll(relays []int) {
	for _, i := range relays {
		sim.StartRelay(i)
	}
}

// LeaveAll has relays announce that they leave, or take it back.
func (sim *Simulation) LeaveAll(relays []int, leave bool) {
	for _, i := range relays {
		sim.Relays[i].Follower.SetLeaving(leave)
	}
}

// StopReleased stops those of the relays that leave and have no replicas left, and returns their
// number.
func (sim *Simulation) StopReleased(relays []int) (stopped int) {
	for _, i := range relays {
		if sim.Relays[i].Up && sim.Relays[i].Follower.Released() {
			sim.StopRelay(i)
			stopped++
		}
	}
	return stopped
}

// Rack returns the relays of a rack.
func (sim *Simulation) Rack(number int) (relays []int) {
	for i, place := range sim.Members {
		if int(place.Rack) == number {
			relays = append(relays, i)
		}
	}
	return relays
}

// Zone returns the relays of a zone.
func (sim *Simulation) Zone(number assignment.Zone) (relays []int) {
	for i, place := range sim.Members {
		if place.Zone == number {
			relays = append(relays, i)
		}
	}
	return relays
}

// IsolateRelay cuts relay i off from all control machines, or reconnects it.
func (sim *Simulation) IsolateRelay(i int, cut bool) { sim.Relays[i].isolated = cut }

// StartControl starts control machine i with the state on its disk.
func (sim *Simulation) StartControl(i int) error {
	c := sim.Controls[i]
	register, err := assignment.NewRegister(i, sim.Config.Controls, sim.key, sim.Config.Seed+int64(c.runID), c.disk)
	if err != nil {
		return err
	}
	mapConfig := assignment.MapConfig{Region: sim.Config.Number, Partitions: sim.Config.Partitions,
		Replicas: sim.Config.Replicas}
	c.Node = assignment.NewControlNode(register, mapConfig, sim.Members, sim.key)
	c.Up, c.runID = true, c.runID+1
	runID := c.runID
	sim.ScheduleAfter(sim.randomDuration(controlTick), func() { sim.tickControl(i, runID) })
	return nil
}

// StopControl stops control machine i; its disk is kept.
func (sim *Simulation) StopControl(i int) { sim.Controls[i].Up = false }

// PartitionControls cuts two control machines off from each other, or reconnects them.
func (sim *Simulation) PartitionControls(a, b int, cut bool) {
	sim.Controls[a].unreachable[b], sim.Controls[b].unreachable[a] = cut, cut
}

// Publisher returns the control machine that publishes, or -1. If several claim to, it is the one
// with the latest term.
func (sim *Simulation) Publisher() (publisher int) {
	publisher = -1
	var term uint64
	for i, c := range sim.Controls {
		if c.Up && c.Node.Register().Publishing() && c.Node.Register().PersistentState().PromisedTerm >= term {
			publisher, term = i, c.Node.Register().PersistentState().PromisedTerm
		}
	}
	return publisher
}

// Published returns the latest map that any control machine knows as published, or nil before the
// first.
func (sim *Simulation) Published() (latest *assignment.Map) {
	for _, c := range sim.Controls {
		if m := c.Node.Register().Published(); m != nil && (latest == nil || m.Version.Compare(latest.Version) > 0) {
			latest = m
		}
	}
	return latest
}

// poll sends a request of the relay to a random control machine, if one is due, and schedules the
// next poll.
func (sim *Simulation) poll(r *Relay, runID int) {
	if !r.Up || r.runID != runID {
		return
	}
	if request, due := r.Follower.Poll(sim.Now); due {
		r.BytesSent += requestBytes + datagramBytes
		i := sim.rng.IntN(len(sim.Controls))
		sim.send(func() { sim.answer(r, runID, i, request) })
	}
	sim.Schedule(r.Follower.NextPoll(), func() { sim.poll(r, runID) })
}

// answer has control machine i answer a relay.
func (sim *Simulation) answer(r *Relay, runID, i int, request assignment.SliceRequest) {
	c := sim.Controls[i]
	if !c.Up || r.isolated {
		return
	}
	answer, err := c.Node.Answer(sim.Now, request)
	if err != nil {
		return // the relay asks another one
	}
	c.RelayBytes += int64(len(answer) + datagramBytes)
	sim.send(func() { sim.receiveAnswer(r, runID, answer) })
}

// receiveAnswer has a relay process an answer of a control machine and save its slice.
func (sim *Simulation) receiveAnswer(r *Relay, runID int, answer []byte) {
	if !r.Up || r.runID != runID || r.isolated {
		return
	}
	r.BytesReceived += int64(len(answer) + datagramBytes)
	if _, err := r.Follower.HandleAnswer(sim.Now, answer); err != nil {
		r.Rejected++
		return
	}
	r.disk = r.Follower.Encoded()
}

// tickControl runs the timers of a control machine and schedules the next tick.
func (sim *Simulation) tickControl(i, runID int) {
	c := sim.Controls[i]
	if !c.Up || c.runID != runID {
		return
	}
	sim.saveAndSend(i, c.Node.Tick(sim.Now))
	sim.ScheduleAfter(controlTick, func() { sim.tickControl(i, runID) })
}

// saveAndSend saves the state of control machine i to its disk, then sends its messages.
func (sim *Simulation) saveAndSend(i int, envelopes []assignment.Envelope) {
	from := sim.Controls[i]
	from.disk = from.Node.Register().PersistentState()
	sim.record(from.Node.Register().Published())
	for _, envelope := range envelopes {
		from.PeerBytes += datagramBytes + messageBytes(envelope.Message)
		if from.unreachable[envelope.To] {
			continue
		}
		sim.send(func() {
			if to := sim.Controls[envelope.To]; to.Up {
				sim.saveAndSend(envelope.To, to.Node.Receive(sim.Now, i, envelope.Message))
			}
		})
	}
}

// record adds a published map to the history, and checks that no other map has its number.
func (sim *Simulation) record(m *assignment.Map) {
	if m == nil {
		return
	}
	known, found := sim.History[m.Version.Number]
	switch {
	case !found:
		sim.History[m.Version.Number] = m
	case known != m && (known.Version != m.Version || m.CountMoved(known) != 0):
		sim.Conflicts = append(sim.Conflicts,
			fmt.Sprintf("number %d: terms %d and %d", m.Version.Number, known.Version.Term, m.Version.Term))
	}
}

// messageBytes returns the approximate encoded size of a message.
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

// send delivers a datagram after a random delay, unless it is lost.
func (sim *Simulation) send(deliver func()) {
	if sim.rng.Float64() >= sim.Config.Loss {
		sim.ScheduleAfter(minDelay+sim.randomDuration(maxDelay-minDelay), deliver)
	}
}

// randomDuration returns a random duration below the given one.
func (sim *Simulation) randomDuration(below time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(below)))
}

// Schedule calls run at the given time, or now if that has passed.
func (sim *Simulation) Schedule(at time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.tasks, task{max(at, sim.Now), sim.lastSeq, run})
}

// ScheduleAfter calls run after a delay.
func (sim *Simulation) ScheduleAfter(delay time.Duration, run func()) {
	sim.Schedule(sim.Now+delay, run)
}

// Run advances the simulation to the given time.
func (sim *Simulation) Run(until time.Duration) {
	for len(sim.tasks) > 0 && sim.tasks[0].at <= until {
		next := heap.Pop(&sim.tasks).(task)
		sim.Now = next.at
		next.run()
	}
	sim.Now = until
}

// RunUntil advances the simulation until the condition holds, checked at each interval, or until
// the end. It returns the time reached and whether the condition held.
func (sim *Simulation) RunUntil(end, interval time.Duration, condition func() bool) (time.Duration, bool) {
	for !condition() {
		if sim.Now >= end {
			return sim.Now, false
		}
		sim.Run(min(end, sim.Now+interval))
	}
	return sim.Now, true
}

// task is a function to run at a time; seq orders the tasks of one time.
type task struct {
	at  time.Duration
	seq uint64
	run func()
}

// taskQueue is a heap ordered by time, and by sequence number at the same time.
type taskQueue []task

func (e taskQueue) Len() int { return len(e) }
func (e taskQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e taskQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *taskQueue) Push(x any)   { *e = append(*e, x.(task)) }
func (e *taskQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
