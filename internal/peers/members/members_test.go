package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What is written is read as it was; what is cut, too long, of a wrong fleet or senseless is not.
func TestSection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(2, 1000).Draw(t, "fleet")
		s := section{flags: uint8(rapid.IntRange(0, flagAbove<<1-1).Draw(t, "flags")), life: rapid.Byte().Draw(t, "life"), seq: rapid.Uint16().Draw(t, "seq"),
			zone: uint8(rapid.IntRange(0, NoZone).Draw(t, "zone")), inc: rapid.Uint32Range(1, topInc).Draw(t, "inc")}
		if s.flags&(flagAsk|flagAnswer) != 0 {
			s.nonce = rapid.Byte().Draw(t, "nonce")
		}
		if s.flags&flagFor != 0 {
			s.about = rapid.IntRange(0, fleet-1).Draw(t, "about")
		}
		for range rapid.IntRange(0, 8).Draw(t, "facts") {
			s.facts = append(s.facts, fact{rapid.IntRange(0, fleet-1).Draw(t, "number"), State(rapid.IntRange(0, 3).Draw(t, "state")), rapid.Bool().Draw(t, "own"),
				uint8(rapid.IntRange(0, NoZone).Draw(t, "of")), rapid.Uint32Range(1, topInc).Draw(t, "incarnation")})
		}
		b := s.append(nil, MaxDatagramBytes)
		got, err := read(b, fleet)
		if err != nil || got.flags != s.flags || got.life != s.life || got.seq != s.seq || got.zone != s.zone || got.inc != s.inc || got.nonce != s.nonce || got.about != s.about || len(got.facts) != len(s.facts) {
			t.Fatalf("%+v became %+v, %v", s, got, err)
		}
		for i := range s.facts {
			if got.facts[i] != s.facts[i] {
				t.Fatalf("fact %+v became %+v", s.facts[i], got.facts[i])
			}
		}
		if room := rapid.IntRange(20, 60).Draw(t, "room"); len(s.append(nil, room)) > max(room, 14) {
			t.Fatalf("%d bytes of %d", len(s.append(nil, room)), room)
		}
		if _, err := read(append(b, make([]byte, MaxDatagramBytes)...), fleet); err == nil {
			t.Fatal("a long one is read")
		}
	})
}

// No bytes end the process or change who is taken for alive at once.
func FuzzHeard(f *testing.F) {
	l := New(Config{Self: 1, FleetSize: 5, Seed: 1})
	f.Add(l.note(0, section{flags: flagAsk, nonce: 3}, MaxPiggybackBytes))
	f.Add(l.note(0, section{flags: flagAsk | flagFor, about: 2, facts: []fact{{2, Dead, true, 1, 7}}}, MaxPiggybackBytes))
	f.Add([]byte{0xff, 0, 0, 0, 0, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		l := New(Config{Self: 0, FleetSize: 5, Seed: 1})
		l.Tick(0)
		for range 3 {
			out, _ := l.Receive(time.Millisecond, 1, b)
			for _, o := range out {
				if len(o.Payload) > MaxDatagramBytes || o.To < 0 || o.To > 4 || o.To == 0 {
					t.Fatalf("answers %+v", o)
				}
			}
		}
		for n := range 5 {
			if l.State(n) == Dead {
				t.Fatalf("one note takes %d away", n)
			}
		}
		l.View(time.Millisecond)
	})
}

// machine is three members whose every note and tick the test orders: notes may be lost, repeated, held back; processes die, start anew and stand still.
type machine struct {
	lists []*List
	up    []bool
	ways  [][]byte // notes on their way: to, from, note
	now   Time
	inc   map[[2]int]uint32 // the highest incarnation that one held of another
	lives int
}

func newMachine(n int) *machine {
	m := &machine{inc: map[[2]int]uint32{}}
	for i := range n {
		m.up = append(m.up, true)
		m.lists = append(m.lists, New(Config{Self: i, FleetSize: n, Seed: int64(i) + 1}))
	}
	return m
}

func (m *machine) put(from int, out []Datagram) {
	for _, o := range out {
		m.ways = append(m.ways, append([]byte{byte(o.To), byte(from)}, o.Payload...))
	}
}

func (m *machine) tick(i int) {
	if !m.up[i] {
		return
	}
	l := m.lists[i]
	m.put(i, l.Tick(m.now))
	for _, t := range l.GossipTargets(m.now, 10) {
		m.put(i, []Datagram{{t.To, l.Section(t, MaxPiggybackBytes)}})
	}
}

// deliver takes the k-th note on its way to its end; keep leaves it there, to come again.
func (m *machine) deliver(k int, keep bool) {
	if len(m.ways) == 0 {
		return
	}
	k %= len(m.ways)
	w := m.ways[k]
	if !keep {
		m.ways = append(m.ways[:k:k], m.ways[k+1:]...)
	}
	if to := int(w[0]); m.up[to] {
		out, _ := m.lists[to].Receive(m.now, int(w[1]), w[2:])
		m.put(to, out)
	}
}

// holds checks what has to hold at any moment: what a process holds of another never goes back to a lower incarnation, and nobody is two things.
func (m *machine) holds(t interface{ Fatalf(string, ...any) }) {
	for i, l := range m.lists {
		if len(l.live)+len(l.lost) != len(l.all)-1 {
			t.Fatalf("relay %d: %d live and %d lost of %d", i, len(l.live), len(l.lost), len(l.all))
		}
		for n := range l.all {
			key := [2]int{i, n}
			if inc := l.all[n].inc; inc < m.inc[key] {
				t.Fatalf("relay %d: incarnation of %d went back from %d to %d", i, n, m.inc[key], inc)
			} else {
				m.inc[key] = inc
			}
			if suspected := l.all[n].state == Suspect; suspected != contains(l.suspects, n) {
				t.Fatalf("relay %d: %d is suspect: %v, and in the list: %v", i, n, suspected, !suspected)
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

// heals lets all run without loss for so many periods, and checks that all who live agree.
func (m *machine) heals(t interface{ Fatalf(string, ...any) }, periods int) {
	m.ways = nil
	for range periods * 4 {
		m.now += Period / 4
		for i := range m.lists {
			m.tick(i)
		}
		for n := 0; len(m.ways) > 0 && n < 2000; n++ {
			m.deliver(0, false)
		}
		m.holds(t)
	}
	for i, l := range m.lists {
		for n := range m.lists {
			if s := l.State(n); m.up[i] && i != n && (m.up[n] && s != Alive || !m.up[n] && s < Dead) {
				t.Fatalf("healed for %d periods, relay %d takes %d (up: %v) for %v: %s", periods, i, n, m.up[n], s, l.all[n].why)
			}
		}
	}
}

// healing is how many periods three members may take to agree once links heal.
const healing = 130

// Whatever is lost, repeated, held back, killed, started anew or paused: incarnations never go back, and once links heal all who live agree within a stated time.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(2, 4).Draw(t, "relays"))
		n := len(m.lists)
		t.Repeat(map[string]func(*rapid.T){
			"tick":    func(t *rapid.T) { m.tick(rapid.IntRange(0, n-1).Draw(t, "relay")) },
			"time":    func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond },
			"pause":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second },
			"deliver": func(t *rapid.T) { m.deliver(rapid.IntRange(0, 50).Draw(t, "which"), false) },
			"repeat":  func(t *rapid.T) { m.deliver(rapid.IntRange(0, 50).Draw(t, "which"), true) },
			"lose": func(t *rapid.T) {
				if len(m.ways) > 0 {
					m.ways = m.ways[1:]
				}
			},
			"kill": func(t *rapid.T) { m.up[rapid.IntRange(0, n-1).Draw(t, "relay")] = false },
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "relay")
				m.lives++
				m.up[i], m.lists[i] = true, New(Config{Self: i, FleetSize: n, Seed: int64(100 + m.lives)})
				for k := range m.inc {
					if k[0] == i {
						delete(m.inc, k) // a new process remembers nothing
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
			"": func(t *rapid.T) { m.holds(t) },
		})
		m.heals(t, healing)
	})
}

// A small model whole: three members and a budget of steps; at each step either time goes on and all take their turn with the notes of one way lost, or one of them
// dies or starts anew. All courses are played, and each has to heal.
func TestEveryCourse(t *testing.T) {
	steps := 3
	if testing.Short() {
		steps = 2
	}
	courses := 0
	var play func(prefix []int)
	play = func(prefix []int) {
		if len(prefix) == steps {
			courses++
			m := newMachine(3)
			step := func(what int, periods int) {
				cut := func(from, to int) bool { return false }
				switch {
				case what >= 1 && what <= 3: // one is deaf
					cut = func(_, to int) bool { return to == what-1 }
				case what >= 4 && what <= 6: // one is mute
					cut = func(from, _ int) bool { return from == what-4 }
				case what == 7: // two don't hear each other
					cut = func(from, to int) bool { return from+to == 1 }
				case what == 8:
					m.up[1] = false
				case what == 9:
					m.up[1], m.lists[1] = true, New(Config{Self: 1, FleetSize: 3, Seed: int64(1000 + len(prefix))})
					for k := range m.inc {
						if k[0] == 1 {
							delete(m.inc, k)
						}
					}
				case what == 10:
					m.now += 5 * time.Second // all stand still
				}
				for range periods * 2 {
					m.now += Period / 2
					for i := range m.lists {
						m.tick(i)
					}
					for n := 0; len(m.ways) > 0 && n < 500; n++ {
						if w := m.ways[0]; cut(int(w[1]), int(w[0])) {
							m.ways = m.ways[1:]
							continue
						}
						m.deliver(0, false)
					}
					m.holds(t)
				}
			}
			step(0, 3)
			for _, what := range prefix {
				step(what, 12)
			}
			m.heals(t, healing)
			return
		}
		for what := range 11 {
			play(append(prefix[:len(prefix):len(prefix)], what))
		}
	}
	play(nil)
	t.Logf("%d courses", courses)
}
