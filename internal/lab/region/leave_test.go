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
	for name, pick := range map[string]func(w *Simulation) []int{
		"relay": func(*Simulation) []int { return []int{1234} },
		"rack":  func(w *Simulation) []int { return w.Rack(17) },
	} {
		t.Run(name, func(t *testing.T) {
			anywhere(t, func(t *testing.T, w *Simulation) {
				relays := pick(w)
				share := float64(len(relays)) / float64(w.Config.Relays)
				all := float64(w.Config.Partitions * w.Config.Replicas)
				inBoth := w.inBothZones(t)
				before, began, stopped := w.Published(), w.Now, 0
				w.LeaveAll(relays, true)
				w.watch(leaveBy, func(c Coverage) {
					inBoth(c)
					if n := w.StopReleased(relays); n > 0 {
						stopped += n
						t.Logf("%d of %d relays stopped after %v", stopped, len(relays), w.Now-began)
					}
				})
				if stopped < len(relays) {
					t.Fatalf("%d of %d relays were released within %v", stopped, len(relays), leaveBy)
				}
				left := w.Published()
				if moved := float64(left.CountMoved(before)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays left", moved, share)
				}
				w.watch(80*time.Second, inBoth) // they must not be taken for failed as well
				if moved := w.Published().CountMoved(left); moved > 0 {
					t.Errorf("%d replicas moved again", moved)
				}
				w.StartAll(relays)
				w.watch(20*time.Second, inBoth)
				if moved := float64(w.Published().CountMoved(left)) / all; moved == 0 || moved > 2*share {
					t.Errorf("%.4f of replicas moved, %.4f of relays came back", moved, share)
				}
			})
		})
	}
}

// A zone that leaves as a whole is released an eighth at a time, and every partition stays in both
// zones. The publisher stops in between, and its successor goes on.
func TestZoneLeavesByParts(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		zone := w.Zone(1)
		w.LeaveAll(zone, true)
		inBoth := w.inBothZones(t)
		w.watch(2*leaveBy, inBoth)
		first := w.StopReleased(zone)
		if most := len(zone) / 8; first == 0 || first > most {
			t.Fatalf("%d of %d relays left at once, at most %d may", first, len(zone), most)
		}
		w.StopControl(w.Publisher())
		w.watch(90*time.Second, inBoth)
		second := w.StopReleased(zone)
		if most := len(zone) / 8; second == 0 || second > 2*most {
			t.Errorf("%d more relays left", second)
		}
		t.Logf("%d, then %d of %d relays left", first, second, len(zone))
	})
}

// Relays that take back their leave get a part again, and every partition stays in both zones.
func TestLeaveIsTakenBack(t *testing.T) {
	anywhere(t, func(t *testing.T, w *Simulation) {
		rack := w.Rack(17)
		w.LeaveAll(rack, true)
		w.Run(w.Now + 2*time.Second)
		w.LeaveAll(rack, false)
		w.watch(90*time.Second, w.inBothZones(t))
		if n := len(w.Outdated(w.Published())); n > 0 {
			t.Errorf("%d relays differ from the map", n)
		}
		load := map[assignment.Relay]int{}
		m := w.Published()
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
