package capacity

import (
	"cmp"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the points of quantities with the given unit into an SVG file, one line per quantity,
// with logarithmic axes. Values that are not positive are left out, since a logarithmic axis cannot
// show them.
func Plot(file, unit string, points []Point) error {
	p := plot.New()
	p.Title.Text = "Growth of a relay's state and traffic"
	p.X.Label.Text, p.Y.Label.Text = "number of items", unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	lines := map[string]plotter.XYs{}
	for _, point := range points {
		if point.Unit == unit && point.Value > 0 {
			lines[point.Quantity] = append(lines[point.Quantity], plotter.XY{X: float64(point.Size), Y: point.Value})
		}
	}
	var args []any
	for name, xys := range lines {
		slices.SortFunc(xys, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		args = append(args, name)
	}
	slices.SortFunc(args, func(a, b any) int { return cmp.Compare(a.(string), b.(string)) })
	var named []any
	for _, name := range args {
		named = append(named, name, lines[name.(string)])
	}
	if err := plotutil.AddLinePoints(p, named...); err != nil {
		return err
	}
	p.Legend.Left, p.Legend.Top = true, true
	return p.Save(24*vg.Centimeter, 18*vg.Centimeter, file)
}
