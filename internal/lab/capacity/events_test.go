package capacity

import (
	"errors"
	"testing"
)

// Whatever a fleet of 64 loses at once, with and without a tenth of its notes lost: those that stay know within the time that they are
// watched, nobody accuses one on its own side, and all agree in the end.
func TestLossesAreNoticedByAll(t *testing.T) {
	for _, loss := range Losses {
		for _, noteLoss := range []float64{0, 0.1} {
			out, err := RunLoss(loss, 64, noteLoss, seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", out)
			if out.LostMembers == 0 || out.MedianSeconds < 0 || out.P99Seconds < out.MedianSeconds || out.P99Seconds > deathWatch.Seconds() || out.AgreedSeconds < 0 || out.FalseDeaths > 0 {
				t.Errorf("%s, %g of the notes lost: %+v", loss, noteLoss, out)
			}
			if out.BytesPerSecondBefore <= 0 || out.BytesPerSecondAfter > 3000 {
				t.Errorf("%s: %.0f bytes a second before, %.0f after", loss, out.BytesPerSecondBefore, out.BytesPerSecondAfter)
			}
		}
	}
}

// Losses take the members that they say.
func TestLossMembers(t *testing.T) {
	for loss, want := range map[Loss]int{OneMember: 1, Rack: RackSize, Zone: 200, Region: 400} {
		if got := len(loss.members(1600)); got != want {
			t.Errorf("%s of 1600: %d, want %d", loss, got, want)
		}
	}
	if got := len(Rack.members(64)); got != 16 {
		t.Errorf("a rack of 64: %d, want a quarter", got)
	}
}

// One seed gives one outcome; what can't be played is refused by name.
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
