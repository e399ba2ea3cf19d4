// Package gossip simulates fleets of relays in virtual time: the production membership lists and a
// network that loses, delays, duplicates and reorders messages or blocks them in one direction. It
// never waits, and a seed always gives the same result.
package gossip

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"oatfold/internal/peers/members"
)

// Config configures a fleet and its network.
type Config struct {
	Relays, Zones int
	Fanout        int     // relays that get a message in each gossip round; 0: 10
	Loss          float64 // share of messages lost
	DuplicateRate float64 // share of messages that arrive twice
	DelayRate     float64 // share of messages delayed by up to MaxExtraDelay
	MaxExtraDelay time.Duration
	Seed          uint64
}

// Node is a simulated relay.
type Node struct {
	List         *members.List
	Number       int
	Zone         int
	RunID        int
	BytesSent    int // since the start of the simulation, over all runs
	MessagesSent int
	running      bool
	pausedUntil  time.Duration // its clock goes on meanwhile
	queued       []datagram    // arrived while it was paused
	nextGossip   time.Duration
}

// datagram is a received message that waits for a paused relay.
type datagram struct {
	from    int
	payload []byte
}

// Event is a change of membership that one relay observed.
type Event struct {
	At       time.Duration
	Observer int
	members.Change
}

// Simulation is a simulated fleet. It is not safe for concurrent use.
type Simulation struct {
	Now      time.Duration
	Nodes    []*Node
	Loss     float64
	Blocked  func(from, to int) bool // links that carry nothing; nil: none
	OnChange func(Event)             // called for each change; optional
	// called for each message before the relay gets it; an error drops it; optional
	OnReceive func(from, to int, payload []byte) error
	config    Config
	rng       *rand.Rand
	tasks     taskQueue
	lastSeq   int
}

// task is a function to run at a time; seq orders the tasks of one time.
type task struct {
	at  time.Duration
	seq int
	run func()
}

// taskQueue is a heap ordered by time, and by sequence number at the same time.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = task{}
	*q = old[:len(old)-1]
	return x
}

// New starts all relays of a fleet within one period.
func New(config Config) *Simulation {
	if config.Fanout == 0 {
		config.Fanout = 10
	}
	config.Zones = max(1, config.Zones)
	sim := &Simulation{config: config, Loss: config.Loss, rng: rand.New(rand.NewPCG(config.Seed, 0x90551b))}
	for i := range config.Relays {
		sim.Nodes = append(sim.Nodes, &Node{Number: i, Zone: i % config.Zones})
		sim.Start(i)
	}
	return sim
}

// Schedule calls do at the given time, or now if that has passed.
func (sim *Simulation) Schedule(at time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.tasks, task{max(at, sim.Now), sim.lastSeq, do})
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

// RunUntil advances the simulation until cond holds, checked ten times per period, and reports
// whether it held by the deadline.
func (sim *Simulation) RunUntil(deadline time.Duration, cond func() bool) bool {
	for !cond() {
		if sim.Now >= deadline {
			return false
		}
		sim.Run(sim.Now + members.Period/10)
	}
	return true
}

// Start starts a new run of a relay, without memory of an earlier one.
func (sim *Simulation) Start(n int) {
	node := sim.Nodes[n]
	node.RunID++
	node.running, node.pausedUntil, node.queued = true, 0, nil
	node.List = members.New(
		members.Config{Self: n, FleetSize: sim.config.Relays, Zone: node.Zone,
			Seed: int64(sim.config.Seed)*1_000_003 + int64(n)*101 + int64(node.RunID)})
	node.nextGossip = sim.Now + time.Duration(sim.rng.Int64N(int64(members.Period)))
	sim.scheduleTick(node, sim.Now)
}

// Kill stops a relay without announcement.
func (sim *Simulation) Kill(n int) { sim.Nodes[n].running = false }

// Stop stops a relay that announces it in two gossip rounds.
func (sim *Simulation) Stop(n int) {
	node := sim.Nodes[n]
	node.List.Leave(sim.Now)
	sim.gossip(node)
	sim.gossip(node)
	sim.Kill(n)
}

// Up reports whether a relay is running.
func (sim *Simulation) Up(n int) bool { return sim.Nodes[n].running }

// Pause suspends a relay for the given duration. What arrives meanwhile is delivered when it
// resumes.
func (sim *Simulation) Pause(n int, duration time.Duration) {
	node := sim.Nodes[n]
	runID := node.RunID
	node.pausedUntil = sim.Now + duration
	sim.Schedule(node.pausedUntil, func() {
		if !node.running || node.RunID != runID {
			return
		}
		queued := node.queued
		node.queued = nil
		for _, arrived := range queued {
			sim.receive(node, arrived.from, arrived.payload)
		}
		sim.scheduleTick(node, sim.Now)
	})
}

// scheduleTick runs the relay's timers at the given time and schedules the next tick, while this
// run of the relay lasts.
func (sim *Simulation) scheduleTick(node *Node, at time.Duration) {
	runID := node.RunID
	sim.Schedule(at, func() {
		if !node.running || node.RunID != runID || sim.Now < node.pausedUntil {
			return
		}
		sim.send(node, node.List.Tick(sim.Now))
		if sim.Now >= node.nextGossip {
			sim.gossip(node)
			node.nextGossip = sim.Now + members.Period/2 + time.Duration(sim.rng.Int64N(int64(members.Period)))
		}
		sim.reportChanges(node)
		sim.scheduleTick(node, min(node.nextGossip, node.List.NextTick()))
	})
}

// gossip sends the relay's section of the membership list to the targets of one round.
func (sim *Simulation) gossip(node *Node) {
	for _, target := range node.List.GossipTargets(sim.Now, sim.config.Fanout) {
		sim.send(node, []members.Datagram{
			{To: target.To, Payload: node.List.Section(target, members.MaxPiggybackBytes)}})
	}
}

// reportChanges passes the relay's new changes to OnChange.
func (sim *Simulation) reportChanges(node *Node) {
	for _, change := range node.List.Changes() {
		if sim.OnChange != nil {
			sim.OnChange(Event{sim.Now, node.Number, change})
		}
	}
}

// send counts messages of the relay and transmits them.
func (sim *Simulation) send(node *Node, out []members.Datagram) {
	for _, datagram := range out {
		node.BytesSent += len(datagram.Payload)
		node.MessagesSent++
		sim.transmit(node.Number, datagram.To, datagram.Payload)
	}
}

// transmit sends a message through the network, which may lose, duplicate or delay it.
func (sim *Simulation) transmit(from, to int, payload []byte) {
	copies := 1
	if sim.config.DuplicateRate > 0 && sim.rng.Float64() < sim.config.DuplicateRate {
		copies = 2
	}
	for range copies {
		if sim.Loss > 0 && sim.rng.Float64() < sim.Loss || sim.Blocked != nil && sim.Blocked(from, to) {
			continue
		}
		delay := 2*time.Millisecond + time.Duration(sim.rng.Int64N(int64(29*time.Millisecond)))
		if sim.config.DelayRate > 0 && sim.rng.Float64() < sim.config.DelayRate {
			delay += time.Duration(sim.rng.Int64N(int64(sim.config.MaxExtraDelay) + 1))
		}
		sim.Schedule(sim.Now+delay, func() { sim.Deliver(from, to, payload) })
	}
}

// Deliver delivers a message to a relay as if another had sent it.
func (sim *Simulation) Deliver(from, to int, payload []byte) {
	node := sim.Nodes[to]
	switch {
	case !node.running:
	case sim.Now < node.pausedUntil:
		node.queued = append(node.queued, datagram{from, payload})
	default:
		sim.receive(node, from, payload)
	}
}

// receive has a relay process a message, and sends its answers.
func (sim *Simulation) receive(node *Node, from int, payload []byte) {
	if sim.OnReceive != nil && sim.OnReceive(from, node.Number, payload) != nil {
		return
	}
	out, _ := node.List.Receive(sim.Now, from, payload)
	sim.send(node, out)
	sim.reportChanges(node)
}

// CheckAgreement reports whether every running relay sees the running ones as alive and the others
// as dead or left. If not, it names a relay that doesn't and the member that it is wrong about;
// otherwise both are -1.
func (sim *Simulation) CheckAgreement() (ok bool, observer, member int) {
	for i, node := range sim.Nodes {
		if !node.running {
			continue
		}
		for n, other := range sim.Nodes {
			if state := node.List.State(n); i != n &&
				(other.running && state != members.Alive || !other.running && state < members.Dead) {
				return false, i, n
			}
		}
	}
	return true, -1, -1
}
