// Package capacity measures how a relay's state and traffic grow with the number of destinations, endpoints, held messages, keys and
// members. Each quantity is measured at several sizes and fitted with a line: its slope is what one more of them costs, its residual
// says how far the line can be trusted. The package drives the real packages for decisions, journal and membership, without sockets.
//
// Sizes in bytes and counts depend on the seed alone. Quantities that are timed depend on the machine as well; they carry Timed, and
// belong into reports only, not into a test's verdict.
package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Quantity is something whose growth is measured.
type Quantity struct {
	Name     string  // unique, in lower case: "destination known"
	Unit     string  // of its value: "bytes", "bytes/s", "ns", "s"
	Per      string  // what sizes count: "destinations"
	Timed    bool    // its value depends on the machine's speed
	MaxSlope float64 // the most that the slope may be, in Unit for each of Per; 0: no bound

	Sizes      []int // of a full run, ascending
	ShortSizes []int // of a run in tests, ascending

	// Measure returns the value at a size.
	Measure func(size int, seed uint64) (float64, error)
}

// Point is one measurement, a row of the results file.
type Point struct {
	Quantity string  `parquet:"quantity,dict"`
	Unit     string  `parquet:"unit,dict"`
	Per      string  `parquet:"per,dict"`
	Timed    bool    `parquet:"timed"`
	Size     int64   `parquet:"size"`
	Value    float64 `parquet:"value"`
	Seed     uint64  `parquet:"seed"`
}

// LinearFit is the line through a quantity's points.
type LinearFit struct {
	Quantity
	MinSize, MaxSize int     // sizes that were measured
	Slope            float64 // value for each one more
	Intercept        float64 // value at size 0
	Residual         float64 // greatest distance of a point from the line, as a share of the point's value
}

// ErrTooFewSizes says that a line needs at least two sizes.
var ErrTooFewSizes = errors.New("capacity: at least two sizes are needed")

// ErrSlopeAboveBound says that a slope is above its quantity's bound.
var ErrSlopeAboveBound = errors.New("capacity: slope above its bound")

// Run measures a quantity at each size, in the order given, and fits a line through the points.
func Run(q Quantity, sizes []int, seed uint64) ([]Point, LinearFit, error) {
	if len(sizes) < 2 {
		return nil, LinearFit{}, fmt.Errorf("%w: %s has %d", ErrTooFewSizes, q.Name, len(sizes))
	}
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		value, err := q.Measure(size, seed)
		if err != nil {
			return nil, LinearFit{}, fmt.Errorf("%s at %d %s: %w", q.Name, size, q.Per, err)
		}
		points = append(points, Point{Quantity: q.Name, Unit: q.Unit, Per: q.Per, Timed: q.Timed, Size: int64(size), Value: value, Seed: seed})
	}
	return points, fit(q, points), nil
}

// fit draws the line through the points that has the least square distances relative to the sizes: large sizes do not outweigh small ones.
func fit(q Quantity, points []Point) LinearFit {
	var sizes, values, weights []float64
	for _, p := range points {
		sizes = append(sizes, float64(p.Size))
		values = append(values, p.Value)
		weights = append(weights, 1/float64(p.Size)/float64(p.Size))
	}
	s := LinearFit{Quantity: q, MinSize: int(points[0].Size), MaxSize: int(points[len(points)-1].Size)}
	s.Intercept, s.Slope = stat.LinearRegression(sizes, values, weights, false)
	for _, p := range points {
		off := math.Abs(s.Predict(int(p.Size))-p.Value) / math.Max(math.Abs(p.Value), 1)
		s.Residual = math.Max(s.Residual, off)
	}
	return s
}

// Predict is what the line says for a size, also outside of those measured.
func (s LinearFit) Predict(size int) float64 { return s.Intercept + s.Slope*float64(size) }

// Extrapolation tells how many times larger than any measured size a size is; 1 or less where it is among them.
func (s LinearFit) Extrapolation(size int) float64 { return float64(size) / float64(s.MaxSize) }

// CheckBound returns ErrOverBound, with the figures, if the slope is above the quantity's bound.
func (s LinearFit) CheckBound() error {
	if s.MaxSlope > 0 && s.Slope > s.MaxSlope {
		return fmt.Errorf("%w: %s is %.1f %s for each of %s, at most %.1f", ErrSlopeAboveBound, s.Name, s.Slope, s.Unit, s.Per, s.MaxSlope)
	}
	return nil
}

// FindQuantities returns the quantities of these names, all of them for no names.
// An unknown name is an error that lists the known ones.
func FindQuantities(names []string) ([]Quantity, error) {
	all := Quantities()
	if len(names) == 0 {
		return all, nil
	}
	var known []string
	for _, q := range all {
		known = append(known, q.Name)
	}
	var found []Quantity
	for _, name := range names {
		i := slices.Index(known, name)
		if i < 0 {
			return nil, fmt.Errorf("capacity: unknown quantity %q, known are %q", name, known)
		}
		found = append(found, all[i])
	}
	return found, nil
}
