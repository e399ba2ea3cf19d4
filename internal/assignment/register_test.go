package assignment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// office is control machines whose messages the test delivers.
type office struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	registers []*Register
	up        []bool
	disks     []PersistentState
	published map[uint64]Version
	mail      []posted
}

type posted struct {
	from int
	Envelope
}

func newOffice(t *testing.T, controls int, seed uint64) *office {
	o := &office{t: t, rng: rand.New(rand.NewPCG(seed, 1)), published: map[uint64]Version{},
		registers: make([]*Register, controls), up: make([]bool, controls), disks: make([]PersistentState, controls)}
	for i := range controls {
		o.start(i)
	}
	return o
}

func (o *office) start(i int) {
	o.t.Helper()
	r, err := NewRegister(i, len(o.registers), testKey, int64(o.rng.Uint64()>>1), o.disks[i])
	if err != nil {
		o.t.Fatal(err)
	}
	o.registers[i], o.up[i] = r, true
}

// post saves what machine i must have on disk, checks what it published, and takes its messages for delivery.
func (o *office) post(i int, out []Envelope) {
	r := o.registers[i]
	o.disks[i] = r.PersistentState()
	if m := r.Published(); m != nil {
		if known, found := o.published[m.Version.Number]; found && known != m.Version {
			o.t.Fatalf("maps %v and %v were both published as number %d", known, m.Version, m.Version.Number)
		}
		o.published[m.Version.Number] = m.Version
	}
	for _, e := range out {
		o.mail = append(o.mail, posted{i, e})
	}
}

// deliver hands over the message at index n.
func (o *office) deliver(n int) {
	p := o.mail[n]
	o.mail = slices.Delete(o.mail, n, n+1)
	if o.up[p.To] {
		o.post(p.To, o.registers[p.To].Receive(o.now, p.from, p.Message))
	}
}

// elect makes machine i the publisher, whatever the others' clocks say, and delivers all.
func (o *office) elect(i int) {
	o.now += time.Minute
	r := o.registers[i]
	r.electAt = 1
	o.post(i, r.Tick(o.now))
	o.settle()
}

func (o *office) settle() {
	for len(o.mail) > 0 {
		o.deliver(0)
	}
}

func (o *office) propose(i int, m *Map) {
	o.t.Helper()
	out, ok := o.registers[i].Propose(o.now, m)
	if !ok {
		o.t.Fatalf("machine %d is not the publisher", i)
	}
	o.post(i, out)
}

// publish elects machine i and has it publish a map, which all hear of.
func (o *office) publish(i int, m *Map) {
	o.t.Helper()
	o.elect(i)
	o.propose(i, m)
	o.settle()
}

// Two publishers at once: the earlier one, which has not heard of the later, proposes and publishes nothing.
func TestEarlierPublisherPublishesNothing(t *testing.T) {
	o := newOffice(t, 5, 1)
	m := mustPlan(t, small, nil, places(40, 2))
	o.publish(0, m)
	o.up[0] = false // cut off: hears nothing of the election
	o.publish(1, m)
	o.up[0] = true
	late := o.registers[0]
	if !late.Publishing() {
		t.Fatal("the earlier publisher has heard of the later")
	}
	before := late.Published().Version
	o.propose(0, m)
	o.settle()
	if late.Publishing() || late.Published().Version == before {
		// It has stepped down, and knows the later one's map from its heartbeat.
		o.now += heartbeatEvery
		o.post(1, o.registers[1].Tick(o.now))
		o.settle()
	}
	want := o.registers[1].Published().Version
	for i, r := range o.registers {
		if r.Published().Version != want {
			t.Errorf("machine %d has %v, the publisher %v", i, r.Published().Version, want)
		}
	}
}

// A map that a majority accepted before its publisher died is published by the next one, though nobody was told of it; it is
// the ground of all later ones.
func TestAcceptedMapOutlivesItsPublisher(t *testing.T) {
	o := newOffice(t, 5, 1)
	members := places(40, 2)
	first := mustPlan(t, small, nil, members)
	members[3].State = Removed
	second := mustPlan(t, small, first, members)
	o.publish(0, first)
	o.propose(0, second)
	for len(o.mail) > 0 {
		if _, ok := o.mail[0].Message.(Accept); !ok {
			o.mail = o.mail[1:] // no answer comes back
			continue
		}
		o.deliver(0)
	}
	o.up[0] = false
	o.elect(1)
	if got := o.registers[1].Published(); got == nil || got.CountMoved(second) != 0 || got.Version.Number != 3 {
		t.Errorf("published %+v", got.Version)
	}
}

// A machine that starts anew keeps the promises that it gave before.
func TestPromisesOutliveARestart(t *testing.T) {
	o := newOffice(t, 3, 1)
	o.elect(0)
	old := o.registers[0].term
	o.elect(1)
	o.start(2)
	out := o.registers[2].Receive(o.now, 0, Accept{old, mustPlan(t, small, nil, places(40, 2)).at(old, 1).Encode(testKey)})
	if len(out) != 1 || out[0].Message != (Rejected{o.registers[1].term}) {
		t.Errorf("%+v", out)
	}
}

// Bad messages change nothing: torn and forged maps, one of another term, one older than what was accepted.
func TestAcceptRefuses(t *testing.T) {
	o := newOffice(t, 3, 1)
	m := mustPlan(t, small, nil, places(40, 2))
	o.publish(0, m)
	r, term := o.registers[1], o.registers[0].term
	good := m.at(term, 2).Encode(testKey)
	for name, b := range map[string][]byte{
		"torn":         good[:len(good)-1],
		"forged":       m.at(term, 2).Encode(Key("another")),
		"another term": m.at(term+MaxControlNodes, 2).Encode(testKey),
		"older":        m.at(term, 0).Encode(testKey),
	} {
		before := r.LatestAccepted()
		if out := r.Receive(o.now, 0, Accept{term, b}); len(out) > 0 || r.LatestAccepted() != before {
			t.Errorf("%s: %+v", name, out)
		}
	}
	if out := r.Receive(o.now, 0, Accept{term, good}); len(out) != 1 || out[0].Message != (Accepted{term, 2}) {
		t.Errorf("the good one: %+v", out)
	}
	r.Receive(o.now, 0, Published{term, good[:10]})
	if r.Published().Version.Number != 1 {
		t.Error("a torn map is published")
	}
	for _, n := range []int{0, -1, MaxControlNodes + 1} {
		if _, err := NewRegister(0, n, testKey, 1, PersistentState{}); err == nil {
			t.Errorf("%d control machines", n)
		}
	}
	if _, err := NewRegister(0, 3, testKey, 1, PersistentState{AcceptedMap: good[:20]}); err == nil {
		t.Error("a torn map on disk is taken")
	}
	if _, err := NewRegister(0, 3, testKey, 1, PersistentState{PublishedMap: good[:20]}); err == nil {
		t.Error("a torn published map on disk is taken")
	}
}

// Whatever is lost, late, out of order, cut or restarted, no two different maps are published under one number; and with the
// trouble over, maps are published again.
func TestMapsFormOneLine(t *testing.T) {
	members := places(40, 2)
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := newOffice(t, 5, seed)
			maps := []*Map{mustPlan(t, small, nil, members)}
			gone := slices.Clone(members)
			gone[3].State = Removed
			maps = append(maps, mustPlan(t, small, maps[0], gone))
			for range 4000 {
				o.trouble(maps)
			}
			for i, up := range o.up {
				if !up {
					o.start(i)
				}
			}
			before := len(o.published)
			for range 400 {
				o.calm(maps)
			}
			if len(o.published) <= before || before == 0 {
				t.Errorf("%d maps published in trouble, %d after it", before, len(o.published)-before)
			}
		})
	}
}

// trouble lets something happen, drawn at random.
func (o *office) trouble(maps []*Map) {
	i := o.rng.IntN(len(o.registers))
	switch draw := o.rng.IntN(100); {
	case draw < 60 && len(o.mail) > 0:
		o.deliver(o.rng.IntN(len(o.mail))) // in any order
	case draw < 70 && len(o.mail) > 0:
		o.mail = slices.Delete(o.mail, 0, 1) // lost
	case draw < 90 && o.up[i]:
		o.now += time.Duration(o.rng.IntN(100)) * time.Millisecond
		o.post(i, o.registers[i].Tick(o.now))
	case draw < 97 && o.up[i] && o.registers[i].Publishing():
		out, _ := o.registers[i].Propose(o.now, maps[o.rng.IntN(len(maps))])
		o.post(i, out)
	case draw == 98:
		o.up[i] = false
	case draw == 99 && !o.up[i]:
		o.start(i)
	}
}

// calm gives all the time, and delivers all that is sent.
func (o *office) calm(maps []*Map) {
	o.now += 50 * time.Millisecond
	for i, r := range o.registers {
		o.post(i, r.Tick(o.now))
		o.settle()
		if r.Publishing() {
			o.propose(i, maps[o.rng.IntN(len(maps))])
			o.settle()
		}
	}
}
