package region

import (
	"testing"
	"time"

	"oatfold/internal/assignment"
)

// leaveBy bounds a planned leave, with a tenth of the datagrams lost.
const leaveBy = 5 * time.Second

// A relay or a rack that leaves as planned is released within seconds, its share moves once, and
// every partition stays in both zones.
func TestPlannedLeave(t *testing.T) {
	for name, pick := range map[string]func(sim *Simulation) []int{
		"relay": func(*Simulation) []int { return []int{1234} },
		"rack":  func(sim *Simulation) []int { return sim.Rack(17) },
	} {
		t.Run(name, func(t *testing.T) {
			inRegion(t, func(t *testing.T, sim *Simulation) {
				relays := pick(sim)
				share := float64(len(relays)) / float64(sim.Config.Relays)
				all := float64(sim.Config.Partitions * sim.Config.Replicas)
				inBoth := sim.requireBothZones(t)
				before, began, stopped := sim.Published(), sim.Now, 0
				sim.LeaveAll(relays, true)
				sim.watch(leaveBy, func(c Coverage) {
					inBoth(c)
					if n := sim.StopReleased(relays); n > 0 {
						stopped += n
						t.Logf("%d of %d relays stopped after %v", stopped, len(relays), sim.Now-began)
					}
				})
				if stopped < len(relays) {
					t.Fatalf("%d of %d relays were released within %v", stopped, len(relays), leaveBy)
				}
				left := sim.Published()
				if moved := float64(left.CountMoved(before)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays left", moved, share)
				}
				sim.watch(80*time.Second, inBoth) // they must not be taken for failed as well
				if moved := sim.Published().CountMoved(left); moved > 0 {
					t.Errorf("%d replicas moved again", moved)
				}
				sim.StartAll(relays)
				sim.watch(20*time.Second, inBoth)
				if moved := float64(sim.Published().CountMoved(left)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays came back", moved, share)
				}
			})
		})
	}
}

// A zone that leaves as a whole is released an eighth at a time, and every partition stays in both
// zones. The publisher stops in between, and its successor goes on.
func TestZoneLeavesByParts(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		zone := sim.Zone(1)
		sim.LeaveAll(zone, true)
		inBoth := sim.requireBothZones(t)
		sim.watch(2*leaveBy, inBoth)
		first := sim.StopReleased(zone)
		if most := len(zone) / 8; first == 0 || first > most {
			t.Fatalf("%d of %d relays left at once, at most %d may", first, len(zone), most)
		}
		sim.StopControl(sim.Publisher())
		sim.watch(90*time.Second, inBoth)
		second := sim.StopReleased(zone)
		if most := len(zone) / 8; second == 0 || second > 2*most {
			t.Errorf("%d more relays left", second)
		}
		t.Logf("%d, then %d of %d relays left", first, second, len(zone))
	})
}

// Relays that take back their leave get a part again, and every partition stays in both zones.
func TestLeaveIsTakenBack(t *testing.T) {
	inRegion(t, func(t *testing.T, sim *Simulation) {
		rack := sim.Rack(17)
		sim.LeaveAll(rack, true)
		sim.Run(sim.Now + 2*time.Second)
		sim.LeaveAll(rack, false)
		sim.watch(90*time.Second, sim.requireBothZones(t))
		if n := len(sim.Outdated(sim.Published())); n > 0 {
			t.Errorf("%d relays differ from the map", n)
		}
		load := map[assignment.Relay]int{}
		m := sim.Published()
		for p := range m.Partitions() {
			for _, r := range m.Replicas(assignment.Partition(p)) {
				load[r]++
			}
		}
		for _, i := range rack {
			if load[assignment.Relay(i)] == 0 {
				t.Errorf("relay %d serves nothing", i)
			}
		}
	})
}
