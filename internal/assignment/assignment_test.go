package assignment

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"time"
)

var testKey = Key("a region's key")

// places lays out relays over racks of two, and the racks over zones.
func places(relays, zones int) []Member {
	members := make([]Member, relays)
	for i := range members {
		rack := i / 2
		members[i] = Member{State: Live, Zone: Zone(rack % zones), Rack: uint16(rack)}
	}
	return members
}

func mustPlan(t *testing.T, shape MapConfig, previous *Map, members []Member) *Map {
	t.Helper()
	m, err := Plan(shape, previous, members, nil)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

var small = MapConfig{Region: 1, Partitions: 64, Replicas: 4}

// checkPlan looks whether replicas are in different racks, half of them in each of two zones, and loads are even.
func checkPlan(t *testing.T, m *Map, members []Member) {
	t.Helper()
	load := make([]int, len(members))
	for p := range m.Partitions() {
		racks, zones := map[uint16]bool{}, map[Zone]int{}
		for _, r := range m.Replicas(Partition(p)) {
			load[r]++
			racks[members[r].Rack] = true
			zones[members[r].Zone]++
		}
		if len(racks) != m.Replication || zones[0] != m.Replication/2 || zones[1] != m.Replication/2 {
			t.Fatalf("partition %d: replicas %v, zones %v", p, m.Replicas(Partition(p)), zones)
		}
	}
	for r, n := range load {
		if members[r].State == Removed && n > 0 {
			t.Errorf("relay %d is gone and serves %d partitions", r, n)
		}
	}
	if most, mean := slices.Max(load), len(m.replicas)/len(members); most > mean+mean/2+1 {
		t.Errorf("a relay serves %d partitions, %d in the mean", most, mean)
	}
}

func TestPlanKeepsApartAndEven(t *testing.T) {
	members := places(40, 2)
	m := mustPlan(t, small, nil, members)
	checkPlan(t, m, members)
	if m.Version != (Version{0, 1}) {
		t.Errorf("version %v", m.Version)
	}
	same := mustPlan(t, small, m, members)
	if same.CountMoved(m) != 0 {
		t.Errorf("%d replicas moved for nothing", same.CountMoved(m))
	}
	members[7].State = Unreachable
	if m := mustPlan(t, small, m, members); m.CountMoved(same) != 0 {
		t.Errorf("%d replicas moved for one that is away", m.CountMoved(same))
	}
	members[7].State = Removed
	gone := mustPlan(t, small, m, members)
	checkPlan(t, gone, members)
	members[7].State = Live
	checkPlan(t, mustPlan(t, small, gone, members), members)
}

// Where no two zones and racks are left, partitions are served all the same.
func TestPlanWithoutRoom(t *testing.T) {
	members := places(8, 2)
	m := mustPlan(t, small, nil, members)
	for i := range members {
		if members[i].Zone == 1 {
			members[i].State = Removed
		}
	}
	one := mustPlan(t, small, m, members)
	for p := range one.Partitions() {
		for _, r := range one.Replicas(Partition(p)) {
			if members[r].Zone == 1 {
				t.Fatalf("partition %d: %v", p, one.Replicas(Partition(p)))
			}
		}
	}
	members[0].State = Removed
	if _, err := Plan(small, one, members, nil); !errors.Is(err, ErrTooFewRelays) {
		t.Errorf("three relays, four replicas: %v", err)
	}
}

func TestPlanOutOfBounds(t *testing.T) {
	for _, shape := range []MapConfig{{}, {Partitions: 1}, {Partitions: MaxPartitions + 1, Replicas: 1}, {Partitions: 1, Replicas: MaxReplicas + 1}} {
		if _, err := Plan(shape, nil, places(40, 2), nil); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("%+v: %v", shape, err)
		}
	}
	if _, err := Plan(small, nil, places(MaxRelays+1, 2), nil); !errors.Is(err, ErrOutOfRange) {
		t.Errorf("relays: %v", err)
	}
	m := mustPlan(t, small, nil, places(40, 2))
	for _, shape := range []MapConfig{{1, 32, 4}, {1, 64, 3}, {2, 64, 4}} {
		if _, err := Plan(shape, m, places(40, 2), nil); !errors.Is(err, ErrConfigChanged) {
			t.Errorf("%+v: %v", shape, err)
		}
	}
}

// What is torn at any byte, changed in any bit, or of another key, kind or format is refused by name.
func TestTornAndForged(t *testing.T) {
	m := mustPlan(t, small, nil, places(40, 2))
	for name, c := range map[string]struct {
		whole  []byte
		decode func([]byte, Key) error
	}{
		"map":   {m.Encode(testKey), func(b []byte, k Key) error { _, err := DecodeMap(b, k); return err }},
		"slice": {m.Slice(3).Encode(testKey), func(b []byte, k Key) error { _, err := DecodeSlice(b, k); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			if err := c.decode(c.whole, testKey); err != nil {
				t.Fatal(err)
			}
			for n := range c.whole {
				if err := c.decode(c.whole[:n], testKey); !errors.Is(err, ErrTruncated) {
					t.Fatalf("%d of %d bytes: %v", n, len(c.whole), err)
				}
			}
			if err := c.decode(append(slices.Clone(c.whole), 0), testKey); !errors.Is(err, ErrTruncated) {
				t.Errorf("a byte too many: %v", err)
			}
			for bit := range 8 * len(c.whole) {
				b := slices.Clone(c.whole)
				b[bit/8] ^= 1 << (bit % 8)
				if err := c.decode(b, testKey); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrBadSignature) && !errors.Is(err, ErrFormat) {
					t.Fatalf("bit %d changed: %v", bit, err)
				}
			}
			if err := c.decode(c.whole, Key("another")); !errors.Is(err, ErrBadSignature) {
				t.Errorf("another key: %v", err)
			}
		})
	}
	if _, err := DecodeMap(m.Slice(3).Encode(testKey), testKey); !errors.Is(err, ErrFormat) {
		t.Errorf("a slice for a map: %v", err)
	}
}

// What is signed and still makes no sense is refused by name.
func TestSignedNonsense(t *testing.T) {
	good := func() *Slice {
		return &Slice{Region: 1, Version: Version{1, 1}, Relay: 3, Partitions: 64, Replication: 2, Assignments: []PartitionAssignment{{5, []Relay{1, 3}, []Relay{1, 3}}, {9, []Relay{3, 4}, []Relay{2, 4}}}}
	}
	if _, err := DecodeSlice(good().Encode(testKey), testKey); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Slice){
		"a partition beyond the last": func(s *Slice) { s.Assignments[1].Partition = 64 },
		"a partition twice":           func(s *Slice) { s.Assignments[1].Partition = 5 },
		"partitions out of order":     func(s *Slice) { s.Assignments[1].Partition = 4 },
		"somebody else's partition":   func(s *Slice) { s.Assignments[1].Replicas = []Relay{1, 4} },
		"a former replica twice":      func(s *Slice) { s.Assignments[1].Previous = []Relay{2, 2} },
		"a replica twice":             func(s *Slice) { s.Assignments[1].Replicas = []Relay{3, 3} },
		"a relay beyond the last":     func(s *Slice) { s.Assignments[1].Replicas = []Relay{3, MaxRelays} },
		"no partitions":               func(s *Slice) { s.Partitions = 0 },
		"too many partitions":         func(s *Slice) { s.Partitions = MaxPartitions + 1 },
	} {
		s := good()
		spoil(s)
		if _, err := DecodeSlice(s.Encode(testKey), testKey); !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSliceServes(t *testing.T) {
	m := mustPlan(t, small, nil, places(40, 2))
	for r := range Relay(40) {
		s := m.Slice(r)
		for destination := range uint64(500) {
			if want := m.Serves(r, m.PartitionOf(destination)); s.Serves(destination) != want {
				t.Fatalf("relay %d, destination %d: want %v", r, destination, want)
			}
		}
	}
}

// at returns the map as a later version.
func (m *Map) at(term, number uint64) *Map {
	next := *m
	next.Version = Version{term, number}
	return &next
}

// A slice that is older, of the same version and different, of another relay or region changes nothing and is named; so is
// the confirmation of an older one. What was kept on disk holds over a restart.
func TestFollowerRefuses(t *testing.T) {
	members := places(40, 2)
	m := mustPlan(t, small, nil, members).at(64, 7)
	members[3].State = Removed
	other := mustPlan(t, small, m, members)
	relay := Relay(0) // some slices of relay 0 differ in the two maps
	for ; m.Slice(relay).same(other.Slice(relay)); relay++ {
	}
	f := NewFollower(1, relay, testKey)
	take := func(b []byte, want error) {
		t.Helper()
		before := f.LatestVersion()
		_, err := f.HandleAnswer(time.Second, b)
		if !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
		if err != nil && f.LatestVersion() != before {
			t.Errorf("refused, and yet %v became %v", before, f.LatestVersion())
		}
	}
	confirm := func(v Version) []byte { return confirmation(1, v, relay, 64, testKey) }
	take(confirm(Version{64, 7}), ErrConflict) // nothing is there to be confirmed
	take(m.Slice(relay).Encode(testKey), nil)
	take(m.Slice(relay).Encode(testKey), nil) // twice
	take(other.at(64, 6).Slice(relay).Encode(testKey), ErrOlder)
	take(other.at(63, 900).Slice(relay).Encode(testKey), ErrOlder)
	take(other.at(64, 7).Slice(relay).Encode(testKey), ErrConflict)
	take(m.at(64, 8).Slice(relay+1).Encode(testKey), ErrOtherRelay)
	take(confirm(Version{64, 9}), nil)
	take(confirm(Version{64, 8}), ErrOlder)
	take(other.at(64, 8).Slice(relay).Encode(testKey), ErrOlder)
	take(m.at(64, 9).Slice(relay).Encode(testKey), nil) // the same once more
	elsewhere := m.at(65, 10)
	elsewhere.Region = 2
	take(elsewhere.Slice(relay).Encode(testKey), ErrOtherRegion)
	take(other.at(65, 10).Slice(relay).Encode(testKey), nil)
	kept := bytes.Clone(f.Encoded())

	again := NewFollower(1, relay, testKey)
	if err := again.Restore(kept[:len(kept)-1]); !errors.Is(err, ErrTruncated) || again.Current() != nil {
		t.Errorf("torn on disk: %v", err)
	}
	if err := again.Restore(kept); err != nil || again.LatestVersion() != (Version{65, 10}) || !again.ControlUnreachable(0) {
		t.Errorf("restored %v: %v", again.LatestVersion(), err)
	}
	f = again
	take(m.at(64, 9).Slice(relay).Encode(testKey), ErrOlder) // on disk is later
}

// A control machine confirms a slice only where it has seen all maps since the one that the relay has.
func TestDirectoryAnswers(t *testing.T) {
	members := places(40, 2)
	first := mustPlan(t, small, nil, members).at(64, 1)
	members[3].State = Removed
	second := mustPlan(t, small, first, members)
	third := first.at(64, 3) // all as it was
	d := NewDirectory(testKey)
	if _, err := d.Answer(SliceRequest{}); !errors.Is(err, ErrNoMap) {
		t.Errorf("no map: %v", err)
	}
	whole := func(d *Directory, a SliceRequest) bool {
		t.Helper()
		b, err := d.Answer(a)
		if err != nil {
			t.Fatal(err)
		}
		return b[kindAt] == kindSlice
	}
	d.Update(first)
	moved := Relay(0)
	for ; first.Slice(moved).same(second.Slice(moved)); moved++ {
	}
	kept := Relay(0)
	for ; !first.Slice(kept).same(second.Slice(kept)); kept++ {
	}
	if !whole(d, SliceRequest{Relay: moved}) || whole(d, SliceRequest{Relay: moved, HaveVersion: first.Version}) {
		t.Error("a slice for none, and a confirmation for the same: not so")
	}
	d.Update(second)
	d.Update(first) // late
	if !whole(d, SliceRequest{Relay: moved, HaveVersion: first.Version}) || whole(d, SliceRequest{Relay: kept, HaveVersion: first.Version}) {
		t.Error("one whose slice changed needs it, one whose did not does not: not so")
	}
	d.Update(third)
	if !whole(d, SliceRequest{Relay: moved, HaveVersion: first.Version}) {
		t.Error("a slice that changed and changed back was confirmed, though the relay may have the one between")
	}
	gap := NewDirectory(testKey)
	gap.Update(first)
	gap.Update(third)
	if !whole(gap, SliceRequest{Relay: moved, HaveVersion: second.Version}) {
		t.Error("confirmed across a map that it has not seen")
	}
	if _, err := d.Answer(SliceRequest{Relay: kept, HaveVersion: Version{64, 4}}); !errors.Is(err, ErrStale) {
		t.Errorf("a relay that is ahead: %v", err)
	}
	if _, err := d.Answer(SliceRequest{Relay: MaxRelays}); !errors.Is(err, ErrOutOfRange) {
		t.Errorf("no such relay: %v", err)
	}
}

// Who is away keeps its place for a minute, and longer where its zone is away as a whole and just comes back.
func TestHealth(t *testing.T) {
	at := places(40, 2)
	h := NewRelayHealth(at, nil, 0)
	if m := h.Members(0); m[0].State != Removed {
		t.Errorf("one that nobody has heard of and that serves nothing: %v", m[0].State)
	}
	hear := func(now time.Duration, but func(i int) bool) {
		for i := range at {
			if !but(i) {
				h.RecordContact(Relay(i), now)
			}
		}
	}
	nobody := func(int) bool { return false }
	one := func(i int) bool { return i == 6 } // of zone 1
	zone := func(i int) bool { return at[i].Zone == 1 }
	hear(0, nobody)
	hear(30*time.Second, one)
	if m := h.Members(30 * time.Second); m[6].State != Unreachable {
		t.Errorf("away for 30 s: %v", m[6].State)
	}
	hear(time.Minute, one)
	if m := h.Members(time.Minute); m[6].State != Removed {
		t.Errorf("away for a minute: %v", m[6].State)
	}
	h.RecordContact(6, time.Minute)
	if m := h.Members(time.Minute); m[6].State != Live {
		t.Errorf("back: %v", m[6].State)
	}
	now := 10 * time.Minute
	hear(now, zone)
	for i, m := range h.Members(now) {
		if want := map[bool]State{true: Unreachable, false: Live}[zone(i)]; m.State != want {
			t.Fatalf("relay %d is %v behind the loss of a zone", i, m.State)
		}
	}
	hear(now, one) // all but one of the zone are back
	if m := h.Members(now); m[6].State != Unreachable {
		t.Errorf("the last one of a zone that returns: %v", m[6].State)
	}
	hear(now+time.Minute, one)
	if m := h.Members(now + time.Minute); m[6].State != Removed {
		t.Errorf("a minute behind that: %v", m[6].State)
	}
	h.RecordContact(Relay(len(at)), now) // no relay's number
}

// Without an answer a relay soon asks another machine, a few times; then, and with an answer, it asks each PullEvery.
func TestFollowerAsksAgain(t *testing.T) {
	m := mustPlan(t, small, nil, places(40, 2))
	f := NewFollower(1, 3, testKey)
	var asked []time.Duration
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		if _, due := f.Poll(now); due {
			asked = append(asked, now/time.Millisecond)
		}
	}
	if want := []time.Duration{0, 120, 240, 360, 480, 600, 720, 840, 960, 1080, 1200, 1700}; !slices.Equal(asked, want) {
		t.Errorf("asked at %v ms, want %v", asked, want)
	}
	if _, err := f.HandleAnswer(1990*time.Millisecond, m.Slice(3).Encode(testKey)); err != nil || f.NextPoll() != 2200*time.Millisecond {
		t.Errorf("next at %v: %v", f.NextPoll(), err)
	}
	if _, due := f.Poll(f.NextPoll()); !due || f.NextPoll() != 2320*time.Millisecond {
		t.Errorf("behind an answer it asks again at %v", f.NextPoll())
	}
}
