package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A section decodes to what was encoded; malformed and oversized input is rejected.
func TestSectionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(2, 1000).Draw(t, "fleet")
		s := section{
			flags:       uint8(rapid.IntRange(0, flagRaiseIncarnation<<1-1).Draw(t, "flags")),
			runID:       rapid.Byte().Draw(t, "life"),
			seq:         rapid.Uint16().Draw(t, "seq"),
			zone:        uint8(rapid.IntRange(0, NoZone).Draw(t, "zone")),
			incarnation: rapid.Uint32Range(1, maxIncarnation).Draw(t, "inc"),
		}
		if s.flags&(flagPing|flagAck) != 0 {
			s.nonce = rapid.Byte().Draw(t, "nonce")
		}
		if s.flags&flagIndirect != 0 {
			s.subject = rapid.IntRange(0, fleet-1).Draw(t, "about")
		}
		for range rapid.IntRange(0, 8).Draw(t, "facts") {
			s.facts = append(s.facts, fact{
				rapid.IntRange(0, fleet-1).Draw(t, "number"),
				State(rapid.IntRange(0, 3).Draw(t, "state")),
				rapid.Bool().Draw(t, "own"),
				uint8(rapid.IntRange(0, NoZone).Draw(t, "of")),
				rapid.Uint32Range(1, maxIncarnation).Draw(t, "incarnation"),
			})
		}
		b := s.appendTo(nil, MaxDatagramBytes)
		got, err := decodeSection(b, fleet)
		if err != nil || got.flags != s.flags || got.runID != s.runID || got.seq != s.seq ||
			got.zone != s.zone || got.incarnation != s.incarnation || got.nonce != s.nonce ||
			got.subject != s.subject || len(got.facts) != len(s.facts) {
			t.Fatalf("encoded %+v, decoded %+v, err %v", s, got, err)
		}
		for i := range s.facts {
			if got.facts[i] != s.facts[i] {
				t.Fatalf("encoded fact %+v, decoded %+v", s.facts[i], got.facts[i])
			}
		}
		if limit := rapid.IntRange(20, 60).Draw(t, "room"); len(s.appendTo(nil, limit)) > max(limit, 14) {
			t.Fatalf("encoded %d bytes, limit %d", len(s.appendTo(nil, limit)), limit)
		}
		if _, err := decodeSection(append(b, make([]byte, MaxDatagramBytes)...), fleet); err == nil {
			t.Fatal("an oversized section is decoded")
		}
	})
}

// No input crashes a List or makes a member dead at once.
func FuzzHeard(f *testing.F) {
	l := New(Config{Self: 1, FleetSize: 5, Seed: 1})
	f.Add(l.encodeSection(0, section{flags: flagPing, nonce: 3}, MaxPiggybackBytes))
	f.Add(l.encodeSection(0, section{
		flags: flagPing | flagIndirect, subject: 2, facts: []fact{{2, Dead, true, 1, 7}},
	}, MaxPiggybackBytes))
	f.Add([]byte{0xff, 0, 0, 0, 0, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		l := New(Config{Self: 0, FleetSize: 5, Seed: 1})
		l.Tick(0)
		for range 3 {
			out, _ := l.Receive(time.Millisecond, 1, b)
			for _, o := range out {
				if len(o.Payload) > MaxDatagramBytes || o.To < 0 || o.To > 4 || o.To == 0 {
					t.Fatalf("invalid reply %+v", o)
				}
			}
		}
		for n := range 5 {
			if l.State(n) == Dead {
				t.Fatalf("one message makes member %d dead", n)
			}
		}
		l.View(time.Millisecond)
	})
}

// fleetModel is a small fleet whose messages and ticks are ordered by the test: messages may be
// lost, repeated and delayed; processes crash, restart and pause.
type fleetModel struct {
	lists        []*List
	up           []bool
	inFlight     [][]byte // receiver, sender, message
	now          Time
	incarnations map[[2]int]uint32 // highest incarnation that one member knew of another
	restarts     int
}

func newFleetModel(n int) *fleetModel {
	m := &fleetModel{incarnations: map[[2]int]uint32{}}
	for i := range n {
		m.up = append(m.up, true)
		m.lists = append(m.lists, New(Config{Self: i, FleetSize: n, Seed: int64(i) + 1}))
	}
	return m
}

func (m *fleetModel) send(from int, out []Datagram) {
	for _, o := range out {
		m.inFlight = append(m.inFlight, append([]byte{byte(o.To), byte(from)}, o.Payload...))
	}
}

func (m *fleetModel) tick(i int) {
	if !m.up[i] {
		return
	}
	l := m.lists[i]
	m.send(i, l.Tick(m.now))
	for _, t := range l.GossipTargets(m.now, 10) {
		m.send(i, []Datagram{{t.To, l.Section(t, MaxPiggybackBytes)}})
	}
}

// deliver delivers the k-th message in flight; with keep, it stays in flight and is delivered
// again later.
func (m *fleetModel) deliver(k int, keep bool) {
	if len(m.inFlight) == 0 {
		return
	}
	k %= len(m.inFlight)
	w := m.inFlight[k]
	if !keep {
		m.inFlight = append(m.inFlight[:k:k], m.inFlight[k+1:]...)
	}
	if to := int(w[0]); m.up[to] {
		out, _ := m.lists[to].Receive(m.now, int(w[1]), w[2:])
		m.send(to, out)
	}
}

// checkInvariants checks that known incarnations never decrease within a process and that the
// lists of a relay are consistent.
func (m *fleetModel) checkInvariants(t interface{ Fatalf(string, ...any) }) {
	for i, l := range m.lists {
		if len(l.live)+len(l.gone) != len(l.members)-1 {
			t.Fatalf("relay %d: %d live and %d gone of %d", i, len(l.live), len(l.gone), len(l.members))
		}
		for n := range l.members {
			key := [2]int{i, n}
			if inc := l.members[n].incarnation; inc < m.incarnations[key] {
				t.Fatalf("relay %d: incarnation of %d decreased from %d to %d", i, n, m.incarnations[key], inc)
			} else {
				m.incarnations[key] = inc
			}
			if suspected := l.members[n].state == Suspect; suspected != contains(l.suspects, n) {
				t.Fatalf("relay %d: member %d is suspect: %v, but in suspects: %v", i, n, suspected, !suspected)
			}
		}
	}
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// checkConvergence runs the fleet without loss for the given number of periods and checks that
// all live members agree.
func (m *fleetModel) checkConvergence(t interface{ Fatalf(string, ...any) }, periods int) {
	m.inFlight = nil
	for range periods * 4 {
		m.now += Period / 4
		for i := range m.lists {
			m.tick(i)
		}
		for n := 0; len(m.inFlight) > 0 && n < 2000; n++ {
			m.deliver(0, false)
		}
		m.checkInvariants(t)
	}
	for i, l := range m.lists {
		for n := range m.lists {
			if s := l.State(n); m.up[i] && i != n && (m.up[n] && s != Alive || !m.up[n] && s < Dead) {
				t.Fatalf("%d periods after the last fault relay %d has member %d (up: %v) as %v: %s",
					periods, i, n, m.up[n], s, l.members[n].reason)
			}
		}
	}
}

// convergencePeriods is the time, in periods, within which the fleet has to agree once links work
// again.
const convergencePeriods = 130

// Under any order of losses, duplicates, delays, crashes, restarts and pauses incarnations never
// decrease, and the fleet converges once links work again.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(rapid.IntRange(2, 4).Draw(t, "relays"))
		n := len(m.lists)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { m.tick(rapid.IntRange(0, n-1).Draw(t, "relay")) },
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
			},
			"pause":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second },
			"deliver": func(t *rapid.T) { m.deliver(rapid.IntRange(0, 50).Draw(t, "which"), false) },
			"repeat":  func(t *rapid.T) { m.deliver(rapid.IntRange(0, 50).Draw(t, "which"), true) },
			"lose": func(t *rapid.T) {
				if len(m.inFlight) > 0 {
					m.inFlight = m.inFlight[1:]
				}
			},
			"kill": func(t *rapid.T) { m.up[rapid.IntRange(0, n-1).Draw(t, "relay")] = false },
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "relay")
				m.restarts++
				m.up[i], m.lists[i] = true, New(Config{Self: i, FleetSize: n, Seed: int64(100 + m.restarts)})
				for k := range m.incarnations {
					if k[0] == i {
						delete(m.incarnations, k) // a new process starts without state
					}
				}
			},
			"leave": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "relay")
				if m.up[i] {
					m.lists[i].Leave(m.now)
					m.tick(i)
					m.up[i] = false
				}
			},
			"": func(t *rapid.T) { m.checkInvariants(t) },
		})
		m.checkConvergence(t, convergencePeriods)
	})
}

// Runs every sequence of a few faults on three members (one receives nothing, or its messages are
// lost; a broken link, a crash, a restart, a pause) and checks that the fleet converges after each.
func TestEveryFaultSequence(t *testing.T) {
	steps := 3
	if testing.Short() {
		steps = 2
	}
	sequences := 0
	var play func(prefix []int)
	play = func(prefix []int) {
		if len(prefix) == steps {
			sequences++
			m := newFleetModel(3)
			step := func(what int, periods int) {
				cut := func(from, to int) bool { return false }
				switch {
				case what >= 1 && what <= 3: // one member receives nothing
					cut = func(_, to int) bool { return to == what-1 }
				case what >= 4 && what <= 6: // messages of one member are lost
					cut = func(from, _ int) bool { return from == what-4 }
				case what == 7: // a link between two members is broken
					cut = func(from, to int) bool { return from+to == 1 }
				case what == 8:
					m.up[1] = false
				case what == 9:
					m.up[1], m.lists[1] = true, New(Config{Self: 1, FleetSize: 3, Seed: int64(1000 + len(prefix))})
					for k := range m.incarnations {
						if k[0] == 1 {
							delete(m.incarnations, k)
						}
					}
				case what == 10:
					m.now += 5 * time.Second // all processes pause
				}
				for range periods * 2 {
					m.now += Period / 2
					for i := range m.lists {
						m.tick(i)
					}
					for n := 0; len(m.inFlight) > 0 && n < 500; n++ {
						if w := m.inFlight[0]; cut(int(w[1]), int(w[0])) {
							m.inFlight = m.inFlight[1:]
							continue
						}
						m.deliver(0, false)
					}
					m.checkInvariants(t)
				}
			}
			step(0, 3)
			for _, what := range prefix {
				step(what, 12)
			}
			m.checkConvergence(t, convergencePeriods)
			return
		}
		for what := range 11 {
			play(append(prefix[:len(prefix):len(prefix)], what))
		}
	}
	play(nil)
	t.Logf("%d fault sequences", sequences)
}

// A process that draws the run ID of the one before under its number, and a later sequence number, is
// taken for it until it raises its incarnation, as the next process of an upgrade does.
func TestSameRunID(t *testing.T) {
	config := Config{Self: 1, FleetSize: 2, Seed: 1}
	receiver := New(Config{Self: 0, FleetSize: 2, Seed: 2})
	hear := func(l *List) {
		t.Helper()
		payload := l.encodeSection(0, section{flags: flagPing}, MaxPiggybackBytes)
		if _, err := receiver.Receive(0, 1, payload); err != nil {
			t.Fatal(err)
		}
	}
	previous, next := New(config), New(config)
	hear(previous)
	next.seq += 1000
	hear(next)
	if got := receiver.View(0).Members[1].Incarnation; got != previous.Incarnation() {
		t.Fatalf("incarnation %d, want that of the previous process", got)
	}
	next.RaiseAbove(previous.Incarnation())
	hear(next)
	if got := receiver.View(0).Members[1].Incarnation; got <= previous.Incarnation() {
		t.Errorf("incarnation %d, the previous process had %d", got, previous.Incarnation())
	}
}
