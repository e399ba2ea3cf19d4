package assignment

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"time"
)

var regionKey = Key("a region's key")

// rackLayout places relays in racks of two, and the racks in zones.
func rackLayout(relays, zones int) []Member {
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

var smallConfig = MapConfig{Region: 1, Partitions: 64, Replicas: 4}

// checkPlan checks that replicas are in different racks, half of them in each of two zones, and
// loads are even.
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
			t.Errorf("relay %d is removed and serves %d partitions", r, n)
		}
	}
	if most, mean := slices.Max(load), len(m.replicas)/len(members); most > mean+mean/2+1 {
		t.Errorf("a relay serves %d partitions, the mean is %d", most, mean)
	}
}

func TestPlanSpreadsReplicasAndBalancesLoad(t *testing.T) {
	members := rackLayout(40, 2)
	m := mustPlan(t, smallConfig, nil, members)
	checkPlan(t, m, members)
	if m.Version != (Version{0, 1}) {
		t.Errorf("version %v", m.Version)
	}
	same := mustPlan(t, smallConfig, m, members)
	if same.CountMoved(m) != 0 {
		t.Errorf("%d replicas moved without a change of members", same.CountMoved(m))
	}
	members[7].State = Unreachable
	if m := mustPlan(t, smallConfig, m, members); m.CountMoved(same) != 0 {
		t.Errorf("%d replicas moved for an unreachable relay", m.CountMoved(same))
	}
	members[7].State = Removed
	withoutRelay7 := mustPlan(t, smallConfig, m, members)
	checkPlan(t, withoutRelay7, members)
	members[7].State = Live
	checkPlan(t, mustPlan(t, smallConfig, withoutRelay7, members), members)
}

// Partitions are served even if there are too few zones and racks.
func TestPlanWithTooFewZones(t *testing.T) {
	members := rackLayout(8, 2)
	m := mustPlan(t, smallConfig, nil, members)
	for i := range members {
		if members[i].Zone == 1 {
			members[i].State = Removed
		}
	}
	oneZone := mustPlan(t, smallConfig, m, members)
	for p := range oneZone.Partitions() {
		for _, r := range oneZone.Replicas(Partition(p)) {
			if members[r].Zone == 1 {
				t.Fatalf("partition %d: %v", p, oneZone.Replicas(Partition(p)))
			}
		}
	}
	members[0].State = Removed
	if _, err := Plan(smallConfig, oneZone, members, nil); !errors.Is(err, ErrTooFewRelays) {
		t.Errorf("three relays, four replicas: %v", err)
	}
}

func TestPlanOutOfBounds(t *testing.T) {
	for _, config := range []MapConfig{
		{}, {Partitions: 1}, {Partitions: MaxPartitions + 1, Replicas: 1}, {Partitions: 1, Replicas: MaxReplicas + 1},
	} {
		if _, err := Plan(config, nil, rackLayout(40, 2), nil); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("%+v: %v", config, err)
		}
	}
	if _, err := Plan(smallConfig, nil, rackLayout(MaxRelays+1, 2), nil); !errors.Is(err, ErrOutOfRange) {
		t.Errorf("relays: %v", err)
	}
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	for _, config := range []MapConfig{{1, 32, 4}, {1, 64, 3}, {2, 64, 4}} {
		if _, err := Plan(config, m, rackLayout(40, 2), nil); !errors.Is(err, ErrConfigChanged) {
			t.Errorf("%+v: %v", config, err)
		}
	}
}

// An encoding that is truncated or changed in any bit, or of another key or kind, is rejected with
// the right error.
func TestDecodeRejectsTruncatedAndForged(t *testing.T) {
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	for name, c := range map[string]struct {
		encoded []byte
		decode  func([]byte, Key) error
	}{
		"map": {m.Encode(regionKey), func(b []byte, k Key) error {
			_, err := DecodeMap(b, k)
			return err
		}},
		"slice": {m.Slice(3).Encode(regionKey), func(b []byte, k Key) error {
			_, err := DecodeSlice(b, k)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if err := c.decode(c.encoded, regionKey); err != nil {
				t.Fatal(err)
			}
			for n := range c.encoded {
				if err := c.decode(c.encoded[:n], regionKey); !errors.Is(err, ErrTruncated) {
					t.Fatalf("%d of %d bytes: %v", n, len(c.encoded), err)
				}
			}
			if err := c.decode(append(slices.Clone(c.encoded), 0), regionKey); !errors.Is(err, ErrTruncated) {
				t.Errorf("a byte too many: %v", err)
			}
			for bit := range 8 * len(c.encoded) {
				b := slices.Clone(c.encoded)
				b[bit/8] ^= 1 << (bit % 8)
				if err := c.decode(b, regionKey); !errors.Is(err, ErrTruncated) &&
					!errors.Is(err, ErrBadSignature) && !errors.Is(err, ErrFormat) {
					t.Fatalf("bit %d changed: %v", bit, err)
				}
			}
			if err := c.decode(c.encoded, Key("another")); !errors.Is(err, ErrBadSignature) {
				t.Errorf("another key: %v", err)
			}
		})
	}
	if _, err := DecodeMap(m.Slice(3).Encode(regionKey), regionKey); !errors.Is(err, ErrFormat) {
		t.Errorf("a slice decoded as a map: %v", err)
	}
}

// A signed but invalid slice is rejected with ErrFormat.
func TestDecodeRejectsInvalidSignedSlice(t *testing.T) {
	validSlice := func() *Slice {
		return &Slice{
			Region: 1, Version: Version{1, 1}, Relay: 3, Partitions: 64, Replication: 2,
			Assignments: []PartitionAssignment{
				{5, []Relay{1, 3}, []Relay{1, 3}},
				{9, []Relay{3, 4}, []Relay{2, 4}},
			},
		}
	}
	if _, err := DecodeSlice(validSlice().Encode(regionKey), regionKey); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Slice){
		"a partition beyond the last": func(s *Slice) { s.Assignments[1].Partition = 64 },
		"a partition twice":           func(s *Slice) { s.Assignments[1].Partition = 5 },
		"partitions out of order":     func(s *Slice) { s.Assignments[1].Partition = 4 },
		"another relay's partition":   func(s *Slice) { s.Assignments[1].Replicas = []Relay{1, 4} },
		"a previous replica twice":    func(s *Slice) { s.Assignments[1].Previous = []Relay{2, 2} },
		"a replica twice":             func(s *Slice) { s.Assignments[1].Replicas = []Relay{3, 3} },
		"a relay beyond the last":     func(s *Slice) { s.Assignments[1].Replicas = []Relay{3, MaxRelays} },
		"no partitions":               func(s *Slice) { s.Partitions = 0 },
		"too many partitions":         func(s *Slice) { s.Partitions = MaxPartitions + 1 },
	} {
		s := validSlice()
		corrupt(s)
		if _, err := DecodeSlice(s.Encode(regionKey), regionKey); !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSliceServes(t *testing.T) {
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	for r := range Relay(40) {
		s := m.Slice(r)
		for destination := range uint64(500) {
			if want := m.Serves(r, m.PartitionOf(destination)); s.Serves(destination) != want {
				t.Fatalf("relay %d, destination %d: want %v", r, destination, want)
			}
		}
	}
}

// withVersion returns a copy of the map with another version.
func (m *Map) withVersion(term, number uint64) *Map {
	next := *m
	next.Version = Version{term, number}
	return &next
}

// An answer that is older, conflicting, or of another relay or region is rejected with the right
// error and changes nothing. A slice on disk stays valid across a restart.
func TestFollowerRejectsStaleAndForeignAnswers(t *testing.T) {
	members := rackLayout(40, 2)
	m := mustPlan(t, smallConfig, nil, members).withVersion(64, 7)
	members[3].State = Removed
	other := mustPlan(t, smallConfig, m, members)
	relay := Relay(0) // the first relay whose slices differ in the two maps
	for ; m.Slice(relay).same(other.Slice(relay)); relay++ {
	}
	f := NewFollower(1, relay, regionKey)
	handle := func(b []byte, want error) {
		t.Helper()
		before := f.LatestVersion()
		_, err := f.HandleAnswer(time.Second, b)
		if !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
		if err != nil && f.LatestVersion() != before {
			t.Errorf("rejected, but %v became %v", before, f.LatestVersion())
		}
	}
	confirm := func(v Version) []byte { return confirmation(1, v, relay, 64, regionKey) }
	handle(confirm(Version{64, 7}), ErrConflict) // there is no slice to confirm
	handle(m.Slice(relay).Encode(regionKey), nil)
	handle(m.Slice(relay).Encode(regionKey), nil) // repeated
	handle(other.withVersion(64, 6).Slice(relay).Encode(regionKey), ErrOlder)
	handle(other.withVersion(63, 900).Slice(relay).Encode(regionKey), ErrOlder)
	handle(other.withVersion(64, 7).Slice(relay).Encode(regionKey), ErrConflict)
	handle(m.withVersion(64, 8).Slice(relay+1).Encode(regionKey), ErrOtherRelay)
	handle(confirm(Version{64, 9}), nil)
	handle(confirm(Version{64, 8}), ErrOlder)
	handle(other.withVersion(64, 8).Slice(relay).Encode(regionKey), ErrOlder)
	handle(m.withVersion(64, 9).Slice(relay).Encode(regionKey), nil) // unchanged slice of a later version
	elsewhere := m.withVersion(65, 10)
	elsewhere.Region = 2
	handle(elsewhere.Slice(relay).Encode(regionKey), ErrOtherRegion)
	handle(other.withVersion(65, 10).Slice(relay).Encode(regionKey), nil)
	stored := bytes.Clone(f.Encoded())

	restarted := NewFollower(1, relay, regionKey)
	if err := restarted.Restore(stored[:len(stored)-1]); !errors.Is(err, ErrTruncated) || restarted.Current() != nil {
		t.Errorf("truncated on disk: %v", err)
	}
	if err := restarted.Restore(stored); err != nil || restarted.LatestVersion() != (Version{65, 10}) ||
		!restarted.ControlUnreachable(0) {
		t.Errorf("restored %v: %v", restarted.LatestVersion(), err)
	}
	f = restarted
	handle(m.withVersion(64, 9).Slice(relay).Encode(regionKey), ErrOlder) // the slice on disk is later
}

// A control node confirms a slice only if it has seen all maps since the one that the relay has.
func TestDirectoryAnswers(t *testing.T) {
	members := rackLayout(40, 2)
	first := mustPlan(t, smallConfig, nil, members).withVersion(64, 1)
	members[3].State = Removed
	second := mustPlan(t, smallConfig, first, members)
	third := first.withVersion(64, 3) // same replicas as in first
	d := NewDirectory(regionKey)
	if _, err := d.Answer(SliceRequest{}); !errors.Is(err, ErrNoMap) {
		t.Errorf("no map: %v", err)
	}
	answersSlice := func(d *Directory, a SliceRequest) bool {
		t.Helper()
		b, err := d.Answer(a)
		if err != nil {
			t.Fatal(err)
		}
		return b[kindAt] == kindSlice
	}
	d.Update(first)
	changed := Relay(0)
	for ; first.Slice(changed).same(second.Slice(changed)); changed++ {
	}
	unchanged := Relay(0)
	for ; !first.Slice(unchanged).same(second.Slice(unchanged)); unchanged++ {
	}
	if !answersSlice(d, SliceRequest{Relay: changed}) ||
		answersSlice(d, SliceRequest{Relay: changed, HaveVersion: first.Version}) {
		t.Error("wrong: no slice for a relay without one, or no confirmation for an up-to-date one")
	}
	d.Update(second)
	d.Update(first) // an outdated update
	if !answersSlice(d, SliceRequest{Relay: changed, HaveVersion: first.Version}) ||
		answersSlice(d, SliceRequest{Relay: unchanged, HaveVersion: first.Version}) {
		t.Error("wrong: no slice for a relay whose slice changed, or a slice for one whose slice did not")
	}
	d.Update(third)
	if !answersSlice(d, SliceRequest{Relay: changed, HaveVersion: first.Version}) {
		t.Error("a slice that changed and changed back was confirmed, though the relay may have the one in between")
	}
	gap := NewDirectory(regionKey)
	gap.Update(first)
	gap.Update(third)
	if !answersSlice(gap, SliceRequest{Relay: changed, HaveVersion: second.Version}) {
		t.Error("confirmed across a map that it has not seen")
	}
	if _, err := d.Answer(SliceRequest{Relay: unchanged, HaveVersion: Version{64, 4}}); !errors.Is(err, ErrStale) {
		t.Errorf("a relay with a later version: %v", err)
	}
	if _, err := d.Answer(SliceRequest{Relay: MaxRelays}); !errors.Is(err, ErrOutOfRange) {
		t.Errorf("invalid relay: %v", err)
	}
}

// An unreachable relay keeps its replicas for a minute, and longer during and after an outage of
// its zone.
func TestRelayHealth(t *testing.T) {
	members := rackLayout(40, 2)
	h := NewRelayHealth(members, nil, 0)
	if m := h.Members(0); m[0].State != Removed {
		t.Errorf("a relay without contact or partitions: %v", m[0].State)
	}
	contact := func(now time.Duration, except func(i int) bool) {
		for i := range members {
			if !except(i) {
				h.RecordContact(Relay(i), now)
			}
		}
	}
	none := func(int) bool { return false }
	isRelay6 := func(i int) bool { return i == 6 } // of zone 1
	inZone1 := func(i int) bool { return members[i].Zone == 1 }
	contact(0, none)
	contact(30*time.Second, isRelay6)
	if m := h.Members(30 * time.Second); m[6].State != Unreachable {
		t.Errorf("unreachable for 30 s: %v", m[6].State)
	}
	contact(time.Minute, isRelay6)
	if m := h.Members(time.Minute); m[6].State != Removed {
		t.Errorf("unreachable for a minute: %v", m[6].State)
	}
	h.RecordContact(6, time.Minute)
	if m := h.Members(time.Minute); m[6].State != Live {
		t.Errorf("in contact again: %v", m[6].State)
	}
	now := 10 * time.Minute
	contact(now, inZone1)
	for i, m := range h.Members(now) {
		if want := map[bool]State{true: Unreachable, false: Live}[inZone1(i)]; m.State != want {
			t.Fatalf("relay %d is %v after the loss of a zone", i, m.State)
		}
	}
	contact(now, isRelay6) // all other relays of the zone have returned
	if m := h.Members(now); m[6].State != Unreachable {
		t.Errorf("the last relay of a returning zone: %v", m[6].State)
	}
	contact(now+time.Minute, isRelay6)
	if m := h.Members(now + time.Minute); m[6].State != Removed {
		t.Errorf("a minute later: %v", m[6].State)
	}
	h.RecordContact(Relay(len(members)), now) // not a relay
}

// Without an answer a relay soon asks another node, a limited number of times; otherwise it asks
// every PollInterval.
func TestFollowerRetries(t *testing.T) {
	m := mustPlan(t, smallConfig, nil, rackLayout(40, 2))
	f := NewFollower(1, 3, regionKey)
	var polls []time.Duration
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		if _, due := f.Poll(now); due {
			polls = append(polls, now/time.Millisecond)
		}
	}
	if want := []time.Duration{
		0, 120, 240, 360, 480, 600, 720, 840, 960, 1080, 1200, 1700,
	}; !slices.Equal(polls, want) {
		t.Errorf("asked at %v ms, want %v", polls, want)
	}
	if _, err := f.HandleAnswer(1990*time.Millisecond, m.Slice(3).Encode(regionKey)); err != nil ||
		f.NextPoll() != 2200*time.Millisecond {
		t.Errorf("next at %v: %v", f.NextPoll(), err)
	}
	if _, due := f.Poll(f.NextPoll()); !due || f.NextPoll() != 2320*time.Millisecond {
		t.Errorf("after an answer the retry is at %v", f.NextPoll())
	}
}
