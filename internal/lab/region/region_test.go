package region

import (
	"errors"
	"slices"
	"testing"
	"time"

	"oatfold/internal/assignment"
)

// regionConfig is a region of the size that operators expect, with a tenth of all datagrams lost.
func regionConfig(number uint8) Config {
	return Config{Seed: 1, Number: number, Relays: 4000, Controls: 9, Zones: 2, RackSize: 40,
		Partitions: assignment.DefaultPartitions, Replicas: assignment.DefaultReplicas, Loss: 0.1}
}

// inRegion runs a test in one region. Regions share nothing, so one stands for all; the lab's
// command simulates all four.
func inRegion(t *testing.T, test func(t *testing.T, w *Simulation)) {
	t.Helper()
	sim := newSettled(t, regionConfig(2))
	test(t, sim)
	if len(sim.Conflicts) > 0 {
		t.Errorf("conflicting maps: %v", sim.Conflicts)
	}
}

// newSettled returns a region in which all relays hold the published map.
func newSettled(t *testing.T, c Config) *Simulation {
	t.Helper()
	sim, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	sim.settle(t, time.Minute)
	return sim
}

// settle runs until all running relays hold the published map.
func (sim *Simulation) settle(t *testing.T, most time.Duration) {
	t.Helper()
	if _, ok := sim.RunUntil(sim.Now+most, time.Second, func() bool {
		m := sim.Published()
		return m != nil && len(sim.Outdated(m)) == 0
	}); !ok {
		t.Fatalf("not settled at %v: %+v, publisher %d", sim.Now, sim.Coverage(), sim.Publisher())
	}
}

// watch runs for the given span and samples the coverage every 250 ms.
func (sim *Simulation) watch(span time.Duration, look func(Coverage)) {
	for end := sim.Now + span; sim.Now < end; {
		sim.Run(sim.Now + 250*time.Millisecond)
		look(sim.Coverage())
	}
}

// requireBothZones fails the test if a partition is not served in both zones.
func (sim *Simulation) requireBothZones(t *testing.T) func(Coverage) {
	return func(c Coverage) {
		t.Helper()
		if c.NoZone+c.OneZone > 0 {
			t.Fatalf("at %v %+v", sim.Now, c)
		}
	}
}

// When a relay or a rack stops for good and when it comes back, at most twice its share moves, and
// every partition is served in both zones all the time.
func TestRelayAndRackGoAndReturn(t *testing.T) {
	for name, lost := range map[string]func(sim *Simulation) []int{
		"relay": func(sim *Simulation) []int { return []int{1234} },
		"rack":  func(sim *Simulation) []int { return sim.Rack(17) },
	} {
		t.Run(name, func(t *testing.T) {
			inRegion(t, func(t *testing.T, sim *Simulation) {
				relays := lost(sim)
				share := float64(len(relays)) / float64(sim.Config.Relays)
				all := float64(sim.Config.Partitions * sim.Config.Replicas)
				inBoth := sim.requireBothZones(t)
				before := sim.Published()
				sim.StopAll(relays)
				sim.watch(80*time.Second, inBoth)
				gone := sim.Published()
				if moved := float64(gone.CountMoved(before)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays stopped", moved, share)
				}
				sim.StartAll(relays)
				sim.watch(20*time.Second, inBoth)
				back := sim.Published()
				if moved := float64(back.CountMoved(gone)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays came back", moved, share)
				}
				if n := len(sim.Outdated(back)); n > 0 {
					t.Errorf("%d relays differ from the latest map", n)
				}
			})
		})
	}
}

// A restart, of one relay or of 300 at once, moves nothing.
func TestRestartMovesNothing(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		before := sim.Published()
		for i := range 300 {
			sim.StopRelay(i * 13)
		}
		sim.Run(sim.Now + 40*time.Second)
		for i := range 300 {
			sim.StartRelay(i * 13)
		}
		sim.Run(sim.Now + 80*time.Second)
		if after := sim.Published(); after.Version != before.Version {
			t.Errorf("map %v became %v: %d replicas moved", before.Version, after.Version, after.CountMoved(before))
		}
	})
}

// When a zone stops for minutes and returns, nothing moves. Meanwhile every partition is served in
// the other zone, and in both again as soon as the zone is back, from the slices on disk.
func TestZoneGoesAndReturns(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		before := sim.Published()
		lost := sim.Zone(1)
		sim.StopAll(lost)
		sim.watch(150*time.Second, func(c Coverage) {
			if c.NoZone > 0 || c.OneZone != c.Partitions {
				t.Fatalf("at %v %+v", sim.Now, c)
			}
		})
		sim.StartAll(lost)
		if c := sim.Coverage(); c.NoZone+c.OneZone > 0 {
			t.Errorf("with the zone back: %+v", c)
		}
		sim.Run(sim.Now + 30*time.Second)
		if after := sim.Published(); after.CountMoved(before) > 0 {
			t.Errorf("%d replicas moved", after.CountMoved(before))
		}
	})
}

// A change is in force at 999 of 1,000 relays that it concerns within 3 s, with a tenth of all
// datagrams lost.
func TestChangeInForceWithin3s(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		sim.StopAll(sim.Rack(40))
		sim.Run(sim.Now + 55*time.Second)
		sim.inForceIn3s(t)
	})
}

// inForceIn3s runs for 20 s, in which maps change, and checks how long they take to be in force.
func (sim *Simulation) inForceIn3s(t *testing.T) {
	t.Helper()
	delays := sim.ChangeDelays(20*time.Second, 50*time.Millisecond, func() {})
	late := 0
	for _, d := range delays {
		if d > 3*time.Second {
			late++
		}
	}
	if len(delays) < 100 || late*1000 > len(delays) {
		t.Errorf("not in force at %d of %d relays after 3 s, the last after %v", late, len(delays),
			slices.Max(delays))
	}
}

// With three control machines stopped, the publisher among them, maps change as before.
func TestThreeControlsDead(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		first := sim.Publisher()
		for i := range 3 {
			sim.StopControl((first + i) % sim.Config.Controls)
		}
		before := sim.Published()
		sim.StopAll(sim.Rack(3))
		sim.Run(sim.Now + 55*time.Second)
		sim.inForceIn3s(t)
		if after := sim.Published(); after.CountMoved(before) == 0 || len(sim.Outdated(after)) > 0 {
			t.Errorf("%d replicas moved, %d relays differ from the map; publisher %d", after.CountMoved(before),
				len(sim.Outdated(after)), sim.Publisher())
		}
	})
}

// With all control machines stopped for ten minutes, relays keep the last map, also across a
// restart. Afterwards nothing moves.
func TestAllControlsDead(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		before := sim.Published()
		for i := range sim.Controls {
			sim.StopControl(i)
		}
		for i := range 500 {
			sim.StopRelay(i * 8)
			sim.StartRelay(i * 8)
		}
		sim.watch(10*time.Minute, func(c Coverage) {
			if c.NoZone+c.OneZone > 0 {
				t.Fatalf("at %v %+v", sim.Now, c)
			}
		})
		if !sim.Relays[0].Follower.ControlUnreachable(sim.Now) {
			t.Error("no relay reports that control is unreachable")
		}
		for i := range sim.Controls {
			if err := sim.StartControl(i); err != nil {
				t.Fatal(err)
			}
		}
		sim.Run(sim.Now + 90*time.Second)
		if after := sim.Published(); after.CountMoved(before) > 0 || len(sim.Outdated(after)) > 0 {
			t.Errorf("%d replicas moved, %d relays differ from the map", after.CountMoved(before),
				len(sim.Outdated(after)))
		}
		if sim.Relays[0].Follower.ControlUnreachable(sim.Now) {
			t.Error("control is back, and a relay reports it as unreachable")
		}
	})
}

// A publisher partitioned with three others publishes nothing, while the five others elect another
// publisher. After the partition all continue from its maps.
func TestTwoPublishers(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		first := sim.Publisher()
		isolatedSide := func(i int) bool { return (i-first+sim.Config.Controls)%sim.Config.Controls < 4 }
		setPartition := func(on bool) {
			for a := range sim.Controls {
				for b := range sim.Controls {
					if isolatedSide(a) && !isolatedSide(b) {
						sim.PartitionControls(a, b, on)
					}
				}
			}
		}
		setPartition(true)
		sim.StopAll(sim.Rack(5))
		before := sim.Published()
		sim.Run(sim.Now + 90*time.Second)
		after := sim.Published()
		if after.CountMoved(before) == 0 || sim.Publisher() == first {
			t.Fatalf("publisher %d, %d before; %d replicas moved", sim.Publisher(), first, after.CountMoved(before))
		}
		if old := sim.Controls[first].Node.Register().Published(); old.Version != before.Version {
			t.Errorf("the partitioned publisher published %v", old.Version)
		}
		setPartition(false)
		sim.Run(sim.Now + 10*time.Second)
		for i, c := range sim.Controls {
			if got := c.Node.Register().Published(); got.Version.Compare(after.Version) < 0 {
				t.Errorf("control machine %d still has %v", i, got.Version)
			}
		}
		if n := len(sim.Outdated(sim.Published())); n > 0 {
			t.Errorf("%d relays differ from the map", n)
		}
	})
}

// A zone whose relays reach no control machine for minutes keeps its replicas, and gets the changes
// made meanwhile afterwards. A slice of another region is rejected.
func TestZoneCutFromControl(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		before := sim.Published()
		for _, i := range sim.Zone(0) {
			sim.IsolateRelay(i, true)
		}
		sim.StopAll(sim.Rack(1))
		sim.watch(3*time.Minute, func(c Coverage) {
			if c.NoZone+c.OneZone > 0 {
				t.Fatalf("at %v %+v", sim.Now, c)
			}
		})
		for _, i := range sim.Zone(0) {
			sim.IsolateRelay(i, false)
		}
		sim.settle(t, 10*time.Second)
		after := sim.Published()
		for p := range after.Partitions() {
			for _, r := range before.Replicas(assignment.Partition(p)) {
				if sim.Members[r].Zone == 0 && !after.Serves(r, assignment.Partition(p)) {
					t.Fatalf("partition %d moved away from relay %d, which reached no control machine", p, r)
				}
			}
		}
		other := assignment.NewFollower(sim.Config.Number+1, 0, sim.key)
		if _, err := other.HandleAnswer(0, sim.Relays[0].Follower.Encoded()); !errors.Is(
			err, assignment.ErrOtherRegion,
		) {
			t.Errorf("another region's relay: %v", err)
		}
	})
}

// Two thousand relays that start at once with empty disks have their slices within 3 s, and within
// the 3 KB per second that a relay may spend on control.
func TestMassStart(t *testing.T) {
	const budget = 3000 // bytes per second
	inRegion(t, func(t *testing.T, sim *Simulation) {
		started := sim.Zone(1)
		sim.StopAll(started)
		sim.Run(sim.Now + 20*time.Second)
		for _, i := range started {
			sim.Relays[i].disk = nil
			sim.Relays[i].BytesSent, sim.Relays[i].BytesReceived = 0, 0
			sim.StartRelay(i)
		}
		sim.Run(sim.Now + 3*time.Second)
		without, most := 0, int64(0)
		for _, i := range started {
			r := sim.Relays[i]
			most = max(most, r.BytesSent+r.BytesReceived)
			if r.Follower.Current() == nil {
				without++
			}
		}
		if without*1000 > len(started) {
			t.Errorf("%d of %d have no slice after 3 s", without, len(started))
		}
		if most > 3*budget {
			t.Errorf("one relay spent %d bytes in 3 s", most)
		}
		t.Logf("at most %d bytes in 3 s", most)
	})
}

// Every event can be simulated, and an unknown event is rejected.
func TestRunEvent(t *testing.T) {
	c := Config{Seed: 1, Relays: 240, Controls: 5, Zones: 2, RackSize: 8, Partitions: 512, Replicas: 4, Loss: 0.1}
	for _, event := range Events {
		outcome, err := RunEvent(c, event)
		if err != nil {
			t.Fatal(event, err)
		}
		if outcome.NoZoneSeconds > 0 || outcome.P999Seconds > 3 || outcome.MaxRelayRate > 3000 ||
			outcome.AffectedRelays == 0 {
			t.Errorf("%+v", outcome)
		}
		if most := map[Event]float64{LoseZone: 1, Restart: 0.05}[event]; outcome.MaxOneZoneShare > most {
			t.Errorf("%s: %.3f of partitions in one zone only", event, outcome.MaxOneZoneShare)
		}
		if share := float64(outcome.AffectedRelays) / float64(c.Relays); max(
			outcome.Moved, outcome.MovedBack,
		) > 2*share {
			t.Errorf("%s: %.4f of replicas moved, and %.4f back", event, outcome.Moved, outcome.MovedBack)
		}
	}
	if _, err := RunEvent(c, "moon"); err == nil {
		t.Error("no error for an unknown event")
	}
}
