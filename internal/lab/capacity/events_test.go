package capacity

import (
	"errors"
	"testing"
)

// Survivors detect every kind of loss within the observation time, declare no live member on their
// side dead, and agree in the end, also when a tenth of the gossip is dropped.
func TestLossesAreDetectedByAll(t *testing.T) {
	for _, loss := range Losses {
		for _, gossipLoss := range []float64{0, 0.1} {
			out, err := RunLoss(loss, 64, gossipLoss, seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", out)
			if out.LostMembers == 0 || out.MedianSeconds < 0 || out.P99Seconds < out.MedianSeconds ||
				out.P99Seconds > deathObservation.Seconds() || out.AgreedSeconds < 0 || out.FalseDeaths > 0 {
				t.Errorf("%s, gossip loss %g: %+v", loss, gossipLoss, out)
			}
			if out.BytesPerSecondBefore <= 0 || out.BytesPerSecondAfter > 3000 {
				t.Errorf("%s: %.0f bytes per second before, %.0f after", loss, out.BytesPerSecondBefore,
					out.BytesPerSecondAfter)
			}
		}
	}
}

// Each kind of loss takes the expected number of members.
func TestLossMembers(t *testing.T) {
	for loss, want := range map[Loss]int{OneMember: 1, Rack: RackSize, Zone: 200, Region: 400} {
		if got := len(loss.lostMembers(1600)); got != want {
			t.Errorf("%s of 1600: %d, want %d", loss, got, want)
		}
	}
	if got := len(Rack.lostMembers(64)); got != 16 {
		t.Errorf("a rack of 64: %d, want a quarter", got)
	}
}

// The same seed gives the same outcome; an invalid loss or fleet size is rejected.
func TestLossErrors(t *testing.T) {
	a, errA := RunLoss(Zone, 32, 0.1, 7)
	b, errB := RunLoss(Zone, 32, 0.1, 7)
	if a != b || errA != nil || errB != nil {
		t.Errorf("%+v, %v and %+v, %v", a, errA, b, errB)
	}
	for _, size := range []int{0, MinFleetSize - 1} {
		if _, err := RunLoss(Zone, size, 0, 1); !errors.Is(err, ErrInvalidLoss) {
			t.Errorf("%d members: %v", size, err)
		}
	}
	if _, err := RunLoss("moon", 64, 0, 1); !errors.Is(err, ErrInvalidLoss) {
		t.Error(err)
	}
}
