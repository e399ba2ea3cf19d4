package capacity

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

const seed = 1

// Slopes of quantities that do not depend on the machine's speed are within their bounds.
func TestSlopesAreWithinBounds(t *testing.T) {
	for _, q := range Quantities() {
		if q.Timed {
			continue
		}
		t.Run(q.Name, func(t *testing.T) {
			_, slope, err := Run(q, q.ShortSizes, seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%.2f %s for each of %s, residual %.2f", slope.Slope, q.Unit, q.Per, slope.Residual)
			if err := slope.CheckBound(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Timed quantities yield positive values; their slopes have no bound.
func TestTimedQuantitiesAreMeasured(t *testing.T) {
	for _, q := range Quantities() {
		if !q.Timed {
			continue
		}
		points, _, err := Run(q, q.ShortSizes[:2], seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range points {
			if !(p.Value > 0) || !p.Timed {
				t.Errorf("%s at %d: %g %s", q.Name, p.Size, p.Value, p.Unit)
			}
		}
	}
}

// Names are unique and lower case, sizes ascend, and only untimed quantities have a bound.
func TestQuantitiesAreValid(t *testing.T) {
	names := map[string]bool{}
	for _, q := range Quantities() {
		if names[q.Name] || q.Name != strings.ToLower(q.Name) {
			t.Errorf("name %q", q.Name)
		}
		names[q.Name] = true
		if !slices.IsSorted(q.Sizes) || !slices.IsSorted(q.ShortSizes) || len(q.Sizes) < 4 || len(q.ShortSizes) < 2 {
			t.Errorf("%s: sizes %v, short sizes %v", q.Name, q.Sizes, q.ShortSizes)
		}
		if q.Timed != (q.MaxSlope == 0) {
			t.Errorf("%s: timed %t, max slope %g", q.Name, q.Timed, q.MaxSlope)
		}
	}
}

// An exact line is recovered, and a point off the line raises the residual.
func TestFit(t *testing.T) {
	line := func(off float64) Quantity {
		return Quantity{Name: "line", Measure: func(size int, _ uint64) (float64, error) {
			value := 100 + 3*float64(size)
			if size == 40 {
				value *= 1 + off
			}
			return value, nil
		}}
	}
	_, exact, err := Run(line(0), []int{10, 40, 160, 640}, seed)
	if err != nil || math.Abs(exact.Slope-3) > 1e-9 || math.Abs(exact.Intercept-100) > 1e-6 || exact.Residual > 1e-9 {
		t.Errorf("%+v, %v", exact, err)
	}
	if got := exact.Predict(1000); math.Abs(got-3100) > 1e-6 {
		t.Errorf("predicted %g at 1000, want 3100", got)
	}
	if got := exact.Extrapolation(1280); got != 2 {
		t.Errorf("extrapolation to 1280 is %g, want 2", got)
	}
	_, bent, err := Run(line(0.5), []int{10, 40, 160, 640}, seed)
	if err != nil || bent.Residual < 0.1 {
		t.Errorf("%+v, %v", bent, err)
	}
}

// Errors name the size that failed, the slope above its bound, and the unknown quantity.
func TestErrors(t *testing.T) {
	broken := errors.New("broken")
	q := Quantity{Name: "some", Unit: "bytes", Per: "things", MaxSlope: 1,
		Measure: func(size int, _ uint64) (float64, error) {
			if size > 20 {
				return 0, broken
			}
			return 5 * float64(size), nil
		}}
	if _, _, err := Run(q, []int{10}, seed); !errors.Is(err, ErrTooFewSizes) {
		t.Error(err)
	}
	if _, _, err := Run(q, []int{10, 40}, seed); !errors.Is(err, broken) ||
		!strings.Contains(err.Error(), "some at 40 things") {
		t.Error(err)
	}
	_, slope, err := Run(q, []int{10, 20}, seed)
	if err != nil {
		t.Fatal(err)
	}
	if err := slope.CheckBound(); !errors.Is(err, ErrSlopeAboveBound) || !strings.Contains(err.Error(), "5.0 bytes") {
		t.Error(err)
	}
	if _, err := FindQuantities([]string{"endpoint", "nothing"}); err == nil ||
		!strings.Contains(err.Error(), `"nothing"`) {
		t.Error(err)
	}
	if found, err := FindQuantities([]string{"endpoint"}); err != nil || len(found) != 1 {
		t.Errorf("%v, %v", found, err)
	}
}
