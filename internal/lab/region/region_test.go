package region

import (
	"errors"
	"slices"
	"testing"
	"time"

	"oatfold/internal/assignment"
)

// quarter is a region of the size that operators expect, with a tenth of all datagrams lost.
func quarter(number uint8) Config {
	return Config{Seed: 1, Number: number, Relays: 4000, Controls: 9, Zones: 2, RackSize: 40,
		Partitions: assignment.DefaultPartitions, Replicas: assignment.DefaultReplicas, Loss: 0.1}
}

// anywhere runs a test in one region. Regions share nothing, so one stands for all; the lab's
// command simulates all four.
func anywhere(t *testing.T, test func(t *testing.T, w *Simulation)) {
	t.Helper()
	w := settled(t, quarter(2))
	test(t, w)
	if len(w.Conflicts) > 0 {
		t.Errorf("conflicting maps: %v", w.Conflicts)
	}
}

// settled returns a region in which all relays hold the published map.
func settled(t *testing.T, c Config) *Simulation {
	t.Helper()
	w, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	w.settle(t, time.Minute)
	return w
}

// settle runs until all running relays hold the published map.
func (w *Simulation) settle(t *testing.T, most time.Duration) {
	t.Helper()
	if _, ok := w.RunUntil(w.Now+most, time.Second, func() bool {
		m := w.Published()
		return m != nil && len(w.Outdated(m)) == 0
	}); !ok {
		t.Fatalf("not settled at %v: %+v, publisher %d", w.Now, w.Coverage(), w.Publisher())
	}
}

// watch runs for the given span and samples the coverage every 250 ms.
func (w *Simulation) watch(span time.Duration, look func(Coverage)) {
	for end := w.Now + span; w.Now < end; {
		w.Run(w.Now + 250*time.Millisecond)
		look(w.Coverage())
	}
}

// inBothZones fails the test if a partition is not served in both zones.
func (w *Simulation) inBothZones(t *testing.T) func(Coverage) {
	return func(c Coverage) {
		t.Helper()
		if c.NoZone+c.OneZone > 0 {
			t.Fatalf("at %v %+v", w.Now, c)
		}
	}
}

// When a relay or a rack stops for good and when it comes back, at most twice its share moves, and
// every partition is served in both zones all the time.
func TestRelayAndRackGoAndReturn(t *testing.T) {
	for name, lost := range map[string]func(w *Simulation) []int{
		"relay": func(w *Simulation) []int { return []int{1234} },
		"rack":  func(w *Simulation) []int { return w.Rack(17) },
	} {
		t.Run(name, func(t *testing.T) {
			anywhere(t, func(t *testing.T, w *Simulation) {
				relays := lost(w)
				share := float64(len(relays)) / float64(w.Config.Relays)
				all := float64(w.Config.Partitions * w.Config.Replicas)
				inBoth := w.inBothZones(t)
				before := w.Published()
				w.StopAll(relays)
				w.watch(80*time.Second, inBoth)
				gone := w.Published()
				if moved := float64(gone.CountMoved(before)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays stopped", moved, share)
				}
				w.StartAll(relays)
				w.watch(20*time.Second, inBoth)
				back := w.Published()
				if moved := float64(back.CountMoved(gone)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays came back", moved, share)
				}
				if n := len(w.Outdated(back)); n > 0 {
					t.Errorf("%d relays differ from the latest map", n)
				}
			})
		})
	}
}

// A restart, of one relay or of 300 at once, moves nothing.
func TestRestartMovesNothing(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		before := w.Published()
		for i := range 300 {
			w.StopRelay(i * 13)
		}
		w.Run(w.Now + 40*time.Second)
		for i := range 300 {
			w.StartRelay(i * 13)
		}
		w.Run(w.Now + 80*time.Second)
		if after := w.Published(); after.Version != before.Version {
			t.Errorf("map %v became %v: %d replicas moved", before.Version, after.Version, after.CountMoved(before))
		}
	})
}

// When a zone stops for minutes and returns, nothing moves. Meanwhile every partition is served in
// the other zone, and in both again as soon as the zone is back, from the slices on disk.
func TestZoneGoesAndReturns(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		before := w.Published()
		lost := w.Zone(1)
		w.StopAll(lost)
		w.watch(150*time.Second, func(c Coverage) {
			if c.NoZone > 0 || c.OneZone != c.Partitions {
				t.Fatalf("at %v %+v", w.Now, c)
			}
		})
		w.StartAll(lost)
		if c := w.Coverage(); c.NoZone+c.OneZone > 0 {
			t.Errorf("with the zone back: %+v", c)
		}
		w.Run(w.Now + 30*time.Second)
		if after := w.Published(); after.CountMoved(before) > 0 {
			t.Errorf("%d replicas moved", after.CountMoved(before))
		}
	})
}

// A change is in force at 999 of 1,000 relays that it concerns within 3 s, with a tenth of all
// datagrams lost.
func TestChangeInForceWithin3s(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		w.StopAll(w.Rack(40))
		w.Run(w.Now + 55*time.Second)
		w.inForceIn3s(t)
	})
}

// inForceIn3s runs for 20 s, in which maps change, and checks how long they take to be in force.
func (w *Simulation) inForceIn3s(t *testing.T) {
	t.Helper()
	delays := w.ChangeDelays(20*time.Second, 50*time.Millisecond, func() {})
	late := 0
	for _, d := range delays {
		if d > 3*time.Second {
			late++
		}
	}
	if len(delays) < 100 || late*1000 > len(delays) {
		t.Errorf("not in force at %d of %d relays after 3 s, the last after %v", late, len(delays), slices.Max(delays))
	}
}

// With three control machines stopped, the publisher among them, maps change as before.
func TestThreeControlsDead(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		first := w.Publisher()
		for i := range 3 {
			w.StopControl((first + i) % w.Config.Controls)
		}
		before := w.Published()
		w.StopAll(w.Rack(3))
		w.Run(w.Now + 55*time.Second)
		w.inForceIn3s(t)
		if after := w.Published(); after.CountMoved(before) == 0 || len(w.Outdated(after)) > 0 {
			t.Errorf("%d replicas moved, %d relays differ from the map; publisher %d", after.CountMoved(before), len(w.Outdated(after)), w.Publisher())
		}
	})
}

// With all control machines stopped for ten minutes, relays keep the last map, also across a
// restart. Afterwards nothing moves.
func TestAllControlsDead(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		before := w.Published()
		for i := range w.Controls {
			w.StopControl(i)
		}
		for i := range 500 {
			w.StopRelay(i * 8)
			w.StartRelay(i * 8)
		}
		w.watch(10*time.Minute, func(c Coverage) {
			if c.NoZone+c.OneZone > 0 {
				t.Fatalf("at %v %+v", w.Now, c)
			}
		})
		if !w.Relays[0].Follower.ControlUnreachable(w.Now) {
			t.Error("no relay reports that control is unreachable")
		}
		for i := range w.Controls {
			if err := w.StartControl(i); err != nil {
				t.Fatal(err)
			}
		}
		w.Run(w.Now + 90*time.Second)
		if after := w.Published(); after.CountMoved(before) > 0 || len(w.Outdated(after)) > 0 {
			t.Errorf("%d replicas moved, %d relays differ from the map", after.CountMoved(before), len(w.Outdated(after)))
		}
		if w.Relays[0].Follower.ControlUnreachable(w.Now) {
			t.Error("control is back, and a relay reports it as unreachable")
		}
	})
}

// A publisher partitioned with three others publishes nothing, while the five others elect another
// publisher. After the partition all continue from its maps.
func TestTwoPublishers(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		first := w.Publisher()
		side := func(i int) bool { return (i-first+w.Config.Controls)%w.Config.Controls < 4 }
		cut := func(on bool) {
			for a := range w.Controls {
				for b := range w.Controls {
					if side(a) && !side(b) {
						w.PartitionControls(a, b, on)
					}
				}
			}
		}
		cut(true)
		w.StopAll(w.Rack(5))
		before := w.Published()
		w.Run(w.Now + 90*time.Second)
		after := w.Published()
		if after.CountMoved(before) == 0 || w.Publisher() == first {
			t.Fatalf("publisher %d, %d before; %d replicas moved", w.Publisher(), first, after.CountMoved(before))
		}
		if old := w.Controls[first].Node.Register().Published(); old.Version != before.Version {
			t.Errorf("the partitioned publisher published %v", old.Version)
		}
		cut(false)
		w.Run(w.Now + 10*time.Second)
		for i, c := range w.Controls {
			if got := c.Node.Register().Published(); got.Version.Compare(after.Version) < 0 {
				t.Errorf("control machine %d still has %v", i, got.Version)
			}
		}
		if n := len(w.Outdated(w.Published())); n > 0 {
			t.Errorf("%d relays differ from the map", n)
		}
	})
}

// A zone whose relays reach no control machine for minutes keeps its replicas, and gets the changes
// made meanwhile afterwards. A slice of another region is rejected.
func TestZoneCutFromControl(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		before := w.Published()
		for _, i := range w.Zone(0) {
			w.IsolateRelay(i, true)
		}
		w.StopAll(w.Rack(1))
		w.watch(3*time.Minute, func(c Coverage) {
			if c.NoZone+c.OneZone > 0 {
				t.Fatalf("at %v %+v", w.Now, c)
			}
		})
		for _, i := range w.Zone(0) {
			w.IsolateRelay(i, false)
		}
		w.settle(t, 10*time.Second)
		after := w.Published()
		for p := range after.Partitions() {
			for _, r := range before.Replicas(assignment.Partition(p)) {
				if w.Members[r].Zone == 0 && !after.Serves(r, assignment.Partition(p)) {
					t.Fatalf("partition %d moved away from relay %d, which reached no control machine", p, r)
				}
			}
		}
		other := assignment.NewFollower(w.Config.Number+1, 0, w.key)
		if _, err := other.HandleAnswer(0, w.Relays[0].Follower.Encoded()); !errors.Is(err, assignment.ErrOtherRegion) {
			t.Errorf("another region's relay: %v", err)
		}
	})
}

// Two thousand relays that start at once with empty disks have their slices within 3 s, and within
// the 3 KB per second that a relay may spend on control.
func TestMassStart(t *testing.T) {
	const budget = 3000 // bytes per second
	anywhere(t, func(t *testing.T, w *Simulation) {
		started := w.Zone(1)
		w.StopAll(started)
		w.Run(w.Now + 20*time.Second)
		for _, i := range started {
			w.Relays[i].disk = nil
			w.Relays[i].BytesSent, w.Relays[i].BytesReceived = 0, 0
			w.StartRelay(i)
		}
		w.Run(w.Now + 3*time.Second)
		without, most := 0, int64(0)
		for _, i := range started {
			r := w.Relays[i]
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
func TestPlay(t *testing.T) {
	c := Config{Seed: 1, Relays: 240, Controls: 5, Zones: 2, RackSize: 8, Partitions: 512, Replicas: 4, Loss: 0.1}
	for _, event := range Events {
		o, err := RunEvent(c, event)
		if err != nil {
			t.Fatal(event, err)
		}
		if o.NoZoneSeconds > 0 || o.P999Seconds > 3 || o.MaxRelayRate > 3000 || o.AffectedRelays == 0 {
			t.Errorf("%+v", o)
		}
		if most := map[Event]float64{LoseZone: 1, Restart: 0.05}[event]; o.MaxOneZoneShare > most {
			t.Errorf("%s: %.3f of partitions in one zone only", event, o.MaxOneZoneShare)
		}
		if share := float64(o.AffectedRelays) / float64(c.Relays); max(o.Moved, o.MovedBack) > 2*share {
			t.Errorf("%s: %.4f of replicas moved, and %.4f back", event, o.Moved, o.MovedBack)
		}
	}
	if _, err := RunEvent(c, "moon"); err == nil {
		t.Error("no error for an unknown event")
	}
}
