// Package capacity measures how a relay's memory, disk use and traffic grow with the number of
// destinations, endpoints, pending messages, ordering keys and members.
//
// Each quantity is measured at several sizes and fitted with a line. The slope is the cost of one
// more item, and the residual says how well the line fits. The package drives the real policy
// engine, journal and membership code without sockets.
//
// Sizes on disk, traffic and counts depend on the seed alone, and heap sizes vary little between
// runs. Quantities marked Timed also depend on the machine's speed, so tests put no bound on them.
package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Quantity describes something whose growth is measured.
type Quantity struct {
	Name     string  // unique, in lower case, such as "destination known"
	Unit     string  // unit of the value: "bytes", "bytes/s", "ns" or "s"
	Per      string  // what the sizes count, such as "destinations"
	Timed    bool    // the value depends on the machine's speed
	MaxSlope float64 // upper bound of the slope, in Unit per item; 0: no bound

	Sizes      []int // ascending, for a full run
	ShortSizes []int // ascending, for tests

	// Measure returns the value at a size.
	Measure func(size int, seed uint64) (float64, error)
}

// Point is one measurement: a row of the Parquet file.
type Point struct {
	Quantity string  `parquet:"quantity,dict"`
	Unit     string  `parquet:"unit,dict"`
	Per      string  `parquet:"per,dict"`
	Timed    bool    `parquet:"timed"`
	Size     int64   `parquet:"size"`
	Value    float64 `parquet:"value"`
	Seed     uint64  `parquet:"seed"`
}

// LinearFit is the line through the points of a quantity.
type LinearFit struct {
	Quantity
	MinSize, MaxSize int     // smallest and largest measured size
	Slope            float64 // value of one more item
	Intercept        float64 // value at size 0
	Residual         float64 // largest relative distance of a point from the line
}

// ErrTooFewSizes is returned for fewer than two sizes, which do not define a line.
var ErrTooFewSizes = errors.New("capacity: at least two sizes are needed")

// ErrSlopeAboveBound is returned when a slope exceeds the bound of its quantity.
var ErrSlopeAboveBound = errors.New("capacity: slope above its bound")

// Run measures a quantity at each size, in the given order, and fits a line through the points. It
// returns ErrTooFewSizes for fewer than two sizes, and otherwise the error of the first measurement
// that failed.
func Run(q Quantity, sizes []int, seed uint64) ([]Point, LinearFit, error) {
	if len(sizes) < 2 {
		return nil, LinearFit{}, fmt.Errorf("%w: %s has %d", ErrTooFewSizes, q.Name, len(sizes))
	}
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		value, err := q.Measure(size, seed)
		if err != nil {
			return nil, LinearFit{}, fmt.Errorf("measure %s at %d %s: %w", q.Name, size, q.Per, err)
		}
		points = append(points, Point{Quantity: q.Name, Unit: q.Unit, Per: q.Per, Timed: q.Timed, Size: int64(size),
			Value: value, Seed: seed})
	}
	return points, fit(q, points), nil
}

// fit returns the line with the least squared relative error, so that large sizes do not outweigh
// small ones.
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

// Predict returns the value on the line at a size, which may lie outside the measured range.
func (s LinearFit) Predict(size int) float64 { return s.Intercept + s.Slope*float64(size) }

// Extrapolation returns the size as a multiple of the largest measured size.
func (s LinearFit) Extrapolation(size int) float64 { return float64(size) / float64(s.MaxSize) }

// CheckBound returns ErrSlopeAboveBound, with both values, if the slope exceeds its bound.
func (s LinearFit) CheckBound() error {
	if s.MaxSlope > 0 && s.Slope > s.MaxSlope {
		return fmt.Errorf("%w: %s is %.1f %s for each of %s, at most %.1f allowed", ErrSlopeAboveBound, s.Name,
			s.Slope, s.Unit, s.Per, s.MaxSlope)
	}
	return nil
}

// FindQuantities returns the quantities with the given names, or all of them if there are no names.
// The error for an unknown name lists the known ones.
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
			return nil, fmt.Errorf("capacity: unknown quantity %q, known: %q", name, known)
		}
		found = append(found, all[i])
	}
	return found, nil
}
