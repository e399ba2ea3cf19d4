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

func newCluster(t *testing.T, controls int, seed uint64) *cluster {
	o := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), published: map[uint64]Version{},
		nodes: make([]*Register, controls), up: make([]bool, controls), states: make([]PersistentState, controls)}
	for i := range controls {
		o.start(i)
	}
	return o
}

func (o *cluster) start(i int) {
	o.t.Helper()
	r, err := NewRegister(i, len(o.nodes), regionKey, int64(o.rng.Uint64()>>1), o.states[i])
	if err != nil {
		o.t.Fatal(err)
	}
	o.nodes[i], o.up[i] = r, true
}

// send saves the state that node i must have on disk, checks what it published, and queues its
// messages.
func (o *cluster) send(i int, out []Envelope) {
	r := o.nodes[i]
	o.states[i] = r.PersistentState()
	if m := r.Published(); m != nil {
		if known, found := o.published[m.Version.Number]; found && known != m.Version {
			o.t.Fatalf("maps %v and %v were both published as number %d", known, m.Version, m.Version.Number)
		}
		o.published[m.Version.Number] = m.Version
	}
	for _, e := range out {
		o.inFlight = append(o.inFlight, sentMessage{i, e})
	}
}

// deliver delivers the message at index n.
func (o *cluster) deliver(n int) {
	p := o.inFlight[n]
	o.inFlight = slices.Delete(o.inFlight, n, n+1)
	if o.up[p.To] {
		o.send(p.To, o.nodes[p.To].Receive(o.now, p.from, p.Message))
	}
}

// elect makes node i the publisher, independent of the others' timers, and delivers all messages.
func (o *cluster) elect(i int) {
	o.now += time.Minute
	r := o.nodes[i]
	r.electionAt = 1
	o.send(i, r.Tick(o.now))
	o.deliverAll()
}

func (o *cluster) deliverAll() {
	for len(o.inFlight) > 0 {
		o.deliver(0)
	}
}

func (o *cluster) propose(i int, m *Map) {
	o.t.Helper()
	out, ok := o.nodes[i].Propose(o.now, m)
	if !ok {
		o.t.Fatalf("node %d is not the publisher", i)
	}
	o.send(i, out)
}

// publish elects node i, publishes a map on it and delivers all messages.
func (o *cluster) publish(i int, m *Map) {
	o.t.Helper()
	o.elect(i)
	o.propose(i, m)
	o.deliverAll()
}

// Of two concurrent publishers, the one with the earlier term publishes nothing.
func TestSupersededPublisherPublishesNothing(t *testing.T) {
	o := newCluster(t, 5, 1)
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	o.publish(0, m)
	o.up[0] = false // partitioned: receives nothing of the election
	o.publish(1, m)
	o.up[0] = true
	late := o.nodes[0]
	if !late.Publishing() {
		t.Fatal("the superseded publisher has stepped down already")
	}
	before := late.Published().Version
	o.propose(0, m)
	o.deliverAll()
	if late.Publishing() || late.Published().Version == before {
		// It has stepped down, and learns the later publisher's map from its heartbeat.
		o.now += heartbeatInterval
		o.send(1, o.nodes[1].Tick(o.now))
		o.deliverAll()
	}
	want := o.nodes[1].Published().Version
	for i, r := range o.nodes {
		if r.Published().Version != want {
			t.Errorf("node %d has %v, the publisher %v", i, r.Published().Version, want)
		}
	}
}

// A map that a majority accepted before its publisher failed is published by the next one, and
// later maps are planned from it.
func TestAcceptedMapSurvivesPublisher(t *testing.T) {
	o := newCluster(t, 5, 1)
	members := rackLayout(40, 2)
	first := mustPlan(t, smallConfig, nil, members)
	members[3].State = Removed
	second := mustPlan(t, smallConfig, first, members)
	o.publish(0, first)
	o.propose(0, second)
	for len(o.inFlight) > 0 {
		if _, ok := o.inFlight[0].Message.(Accept); !ok {
			o.inFlight = o.inFlight[1:] // answers are lost
			continue
		}
		o.deliver(0)
	}
	o.up[0] = false
	o.elect(1)
	if got := o.nodes[1].Published(); got == nil || got.CountMoved(second) != 0 || got.Version.Number != 3 {
		t.Errorf("published %+v", got.Version)
	}
}

// A restarted node keeps its promises.
func TestPromisesSurviveRestart(t *testing.T) {
	o := newCluster(t, 3, 1)
	o.elect(0)
	old := o.nodes[0].term
	o.elect(1)
	o.start(2)
	out := o.nodes[2].Receive(o.now, 0, Accept{old, mustPlan(t, smallConfig, nil, rackLayout(40, 2)).withVersion(old, 1).Encode(regionKey)})
	if len(out) != 1 || out[0].Message != (Rejected{o.nodes[1].term}) {
		t.Errorf("%+v", out)
	}
}

// Invalid messages change nothing: truncated and forged maps, one of another term, one older than
// the accepted one.
func TestRegisterRejectsInvalidMessages(t *testing.T) {
	o := newCluster(t, 3, 1)
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	o.publish(0, m)
	r, term := o.nodes[1], o.nodes[0].term
	good := m.withVersion(term, 2).Encode(regionKey)
	for name, b := range map[string][]byte{
		"torn":         good[:len(good)-1],
		"forged":       m.withVersion(term, 2).Encode(Key("another")),
		"another term": m.withVersion(term+MaxControlNodes, 2).Encode(regionKey),
		"older":        m.withVersion(term, 0).Encode(regionKey),
	} {
		before := r.LatestAccepted()
		if out := r.Receive(o.now, 0, Accept{term, b}); len(out) > 0 || r.LatestAccepted() != before {
			t.Errorf("%s: %+v", name, out)
		}
	}
	if out := r.Receive(o.now, 0, Accept{term, good}); len(out) != 1 || out[0].Message != (Accepted{term, 2}) {
		t.Errorf("a valid map: %+v", out)
	}
	r.Receive(o.now, 0, Published{term, good[:10]})
	if r.Published().Version.Number != 1 {
		t.Error("a truncated map is published")
	}
	for _, n := range []int{0, -1, MaxControlNodes + 1} {
		if _, err := NewRegister(0, n, regionKey, 1, PersistentState{}); err == nil {
			t.Errorf("%d control nodes", n)
		}
	}
	if _, err := NewRegister(0, 3, regionKey, 1, PersistentState{AcceptedMap: good[:20]}); err == nil {
		t.Error("a truncated accepted map on disk is loaded")
	}
	if _, err := NewRegister(0, 3, regionKey, 1, PersistentState{PublishedMap: good[:20]}); err == nil {
		t.Error("a truncated published map on disk is loaded")
	}
}

// With lost, delayed and reordered messages, stopped and restarted nodes, no two different maps are
// published with the same number; after the faults, maps are published again.
func TestMapsAreTotallyOrdered(t *testing.T) {
	members := rackLayout(40, 2)
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := newCluster(t, 5, seed)
			maps := []*Map{mustPlan(t, smallConfig, nil, members)}
			gone := slices.Clone(members)
			gone[3].State = Removed
			maps = append(maps, mustPlan(t, smallConfig, maps[0], gone))
			for range 4000 {
				o.injectFault(maps)
			}
			for i, up := range o.up {
				if !up {
					o.start(i)
				}
			}
			before := len(o.published)
			for range 400 {
				o.runWithoutFaults(maps)
			}
			if len(o.published) <= before || before == 0 {
				t.Errorf("%d maps published with faults, %d after them", before, len(o.published)-before)
			}
		})
	}
}

// injectFault makes one random event happen.
func (o *cluster) injectFault(maps []*Map) {
	i := o.rng.IntN(len(o.nodes))
	switch draw := o.rng.IntN(100); {
	case draw < 60 && len(o.inFlight) > 0:
		o.deliver(o.rng.IntN(len(o.inFlight))) // reordered
	case draw < 70 && len(o.inFlight) > 0:
		o.inFlight = slices.Delete(o.inFlight, 0, 1) // lost
	case draw < 90 && o.up[i]:
		o.now += time.Duration(o.rng.IntN(100)) * time.Millisecond
		o.send(i, o.nodes[i].Tick(o.now))
	case draw < 97 && o.up[i] && o.nodes[i].Publishing():
		out, _ := o.nodes[i].Propose(o.now, maps[o.rng.IntN(len(maps))])
		o.send(i, out)
	case draw == 98:
		o.up[i] = false
	case draw == 99 && !o.up[i]:
		o.start(i)
	}
}

// runWithoutFaults ticks all nodes and delivers all messages.
func (o *cluster) runWithoutFaults(maps []*Map) {
	o.now += 50 * time.Millisecond
	for i, r := range o.nodes {
		o.send(i, r.Tick(o.now))
		o.deliverAll()
		if r.Publishing() {
			o.propose(i, maps[o.rng.IntN(len(maps))])
			o.deliverAll()
		}
	}
}
