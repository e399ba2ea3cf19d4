package assignment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// cluster is a set of control nodes whose messages the test delivers.
type cluster struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	nodes     []*Register
	up        []bool
	states    []PersistentState
	published map[uint64]Version
	inFlight  []sentMessage
}

type sentMessage struct {
	from int
	Envelope
}

func newCluster(t *testing.T, nodes int, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), published: map[uint64]Version{},
		nodes: make([]*Register, nodes), up: make([]bool, nodes), states: make([]PersistentState, nodes),
	}
	for i := range nodes {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.t.Helper()
	r, err := NewRegister(i, len(c.nodes), regionKey, int64(c.rng.Uint64()>>1), c.states[i])
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i], c.up[i] = r, true
}

// send saves the state that node i must have on disk, checks what it published, and queues its
// messages.
func (c *cluster) send(i int, out []Envelope) {
	r := c.nodes[i]
	c.states[i] = r.PersistentState()
	if m := r.Published(); m != nil {
		if known, found := c.published[m.Version.Number]; found && known != m.Version {
			c.t.Fatalf("maps %v and %v were both published as number %d", known, m.Version, m.Version.Number)
		}
		c.published[m.Version.Number] = m.Version
	}
	for _, e := range out {
		c.inFlight = append(c.inFlight, sentMessage{i, e})
	}
}

// deliver delivers the message at index n.
func (c *cluster) deliver(n int) {
	m := c.inFlight[n]
	c.inFlight = slices.Delete(c.inFlight, n, n+1)
	if c.up[m.To] {
		c.send(m.To, c.nodes[m.To].Receive(c.now, m.from, m.Message))
	}
}

// elect makes node i the publisher, independent of the others' timers, and delivers all messages.
func (c *cluster) elect(i int) {
	c.now += time.Minute
	r := c.nodes[i]
	r.electionAt = 1
	c.send(i, r.Tick(c.now))
	c.deliverAll()
}

func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
}

func (c *cluster) propose(i int, m *Map) {
	c.t.Helper()
	out, ok := c.nodes[i].Propose(c.now, m)
	if !ok {
		c.t.Fatalf("node %d is not the publisher", i)
	}
	c.send(i, out)
}

// publish elects node i, publishes a map on it and delivers all messages.
func (c *cluster) publish(i int, m *Map) {
	c.t.Helper()
	c.elect(i)
	c.propose(i, m)
	c.deliverAll()
}

// Of two concurrent publishers, the one with the earlier term publishes nothing.
func TestSupersededPublisherPublishesNothing(t *testing.T) {
	c := newCluster(t, 5, 1)
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	c.publish(0, m)
	c.up[0] = false // partitioned: receives nothing of the election
	c.publish(1, m)
	c.up[0] = true
	superseded := c.nodes[0]
	if !superseded.Publishing() {
		t.Fatal("the superseded publisher has stepped down already")
	}
	before := superseded.Published().Version
	c.propose(0, m)
	c.deliverAll()
	if superseded.Publishing() || superseded.Published().Version == before {
		// It has stepped down, and learns the later publisher's map from its heartbeat.
		c.now += heartbeatInterval
		c.send(1, c.nodes[1].Tick(c.now))
		c.deliverAll()
	}
	want := c.nodes[1].Published().Version
	for i, r := range c.nodes {
		if r.Published().Version != want {
			t.Errorf("node %d has %v, the publisher %v", i, r.Published().Version, want)
		}
	}
}

// A map that a majority accepted before its publisher failed is published by the next one, and
// later maps are planned from it.
func TestAcceptedMapSurvivesPublisher(t *testing.T) {
	c := newCluster(t, 5, 1)
	members := rackLayout(40, 2)
	first := mustPlan(t, smallConfig, nil, members)
	members[3].State = Removed
	second := mustPlan(t, smallConfig, first, members)
	c.publish(0, first)
	c.propose(0, second)
	for len(c.inFlight) > 0 {
		if _, ok := c.inFlight[0].Message.(Accept); !ok {
			c.inFlight = c.inFlight[1:] // answers are lost
			continue
		}
		c.deliver(0)
	}
	c.up[0] = false
	c.elect(1)
	if got := c.nodes[1].Published(); got == nil || got.CountMoved(second) != 0 || got.Version.Number != 3 {
		t.Errorf("published %+v", got.Version)
	}
}

// A restarted node keeps its promises.
func TestPromisesSurviveRestart(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.elect(0)
	oldTerm := c.nodes[0].term
	c.elect(1)
	c.start(2)
	out := c.nodes[2].Receive(c.now, 0, Accept{
		oldTerm, mustPlan(t, smallConfig, nil, rackLayout(40, 2)).withVersion(oldTerm, 1).Encode(regionKey),
	})
	if len(out) != 1 || out[0].Message != (Rejected{c.nodes[1].term}) {
		t.Errorf("%+v", out)
	}
}

// Invalid messages change nothing: truncated and forged maps, one of another term, one older than
// the accepted one.
func TestRegisterRejectsInvalidMessages(t *testing.T) {
	c := newCluster(t, 3, 1)
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	c.publish(0, m)
	r, term := c.nodes[1], c.nodes[0].term
	valid := m.withVersion(term, 2).Encode(regionKey)
	for name, b := range map[string][]byte{
		"torn":         valid[:len(valid)-1],
		"forged":       m.withVersion(term, 2).Encode(Key("another")),
		"another term": m.withVersion(term+MaxControlNodes, 2).Encode(regionKey),
		"older":        m.withVersion(term, 0).Encode(regionKey),
	} {
		before := r.LatestAccepted()
		if out := r.Receive(c.now, 0, Accept{term, b}); len(out) > 0 || r.LatestAccepted() != before {
			t.Errorf("%s: %+v", name, out)
		}
	}
	if out := r.Receive(c.now, 0, Accept{term, valid}); len(out) != 1 || out[0].Message != (Accepted{term, 2}) {
		t.Errorf("a valid map: %+v", out)
	}
	r.Receive(c.now, 0, Published{term, valid[:10]})
	if r.Published().Version.Number != 1 {
		t.Error("a truncated map is published")
	}
	for _, n := range []int{0, -1, MaxControlNodes + 1} {
		if _, err := NewRegister(0, n, regionKey, 1, PersistentState{}); err == nil {
			t.Errorf("%d control nodes", n)
		}
	}
	if _, err := NewRegister(0, 3, regionKey, 1, PersistentState{AcceptedMap: valid[:20]}); err == nil {
		t.Error("a truncated accepted map on disk is loaded")
	}
	if _, err := NewRegister(0, 3, regionKey, 1, PersistentState{PublishedMap: valid[:20]}); err == nil {
		t.Error("a truncated published map on disk is loaded")
	}
}

// With lost, delayed and reordered messages, stopped and restarted nodes, no two different maps are
// published with the same number; after the faults, maps are published again.
func TestMapsAreTotallyOrdered(t *testing.T) {
	members := rackLayout(40, 2)
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, 5, seed)
			maps := []*Map{mustPlan(t, smallConfig, nil, members)}
			withoutRelay3 := slices.Clone(members)
			withoutRelay3[3].State = Removed
			maps = append(maps, mustPlan(t, smallConfig, maps[0], withoutRelay3))
			for range 4000 {
				c.injectFault(maps)
			}
			for i, up := range c.up {
				if !up {
					c.start(i)
				}
			}
			before := len(c.published)
			for range 400 {
				c.runWithoutFaults(maps)
			}
			if len(c.published) <= before || before == 0 {
				t.Errorf("%d maps published with faults, %d after them", before, len(c.published)-before)
			}
		})
	}
}

// injectFault makes one random event happen.
func (c *cluster) injectFault(maps []*Map) {
	i := c.rng.IntN(len(c.nodes))
	switch draw := c.rng.IntN(100); {
	case draw < 60 && len(c.inFlight) > 0:
		c.deliver(c.rng.IntN(len(c.inFlight))) // reordered
	case draw < 70 && len(c.inFlight) > 0:
		c.inFlight = slices.Delete(c.inFlight, 0, 1) // lost
	case draw < 90 && c.up[i]:
		c.now += time.Duration(c.rng.IntN(100)) * time.Millisecond
		c.send(i, c.nodes[i].Tick(c.now))
	case draw < 97 && c.up[i] && c.nodes[i].Publishing():
		out, _ := c.nodes[i].Propose(c.now, maps[c.rng.IntN(len(maps))])
		c.send(i, out)
	case draw == 98:
		c.up[i] = false
	case draw == 99 && !c.up[i]:
		c.start(i)
	}
}

// runWithoutFaults ticks all nodes and delivers all messages.
func (c *cluster) runWithoutFaults(maps []*Map) {
	c.now += 50 * time.Millisecond
	for i, r := range c.nodes {
		c.send(i, r.Tick(c.now))
		c.deliverAll()
		if r.Publishing() {
			c.propose(i, maps[c.rng.IntN(len(maps))])
			c.deliverAll()
		}
	}
}
