package overload

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotGroup identifies a line of the plot: all cells with the same batch and number of relays.
type plotGroup struct{ batch, relays int32 }

func (g plotGroup) String() string { return fmt.Sprintf("batch %d, senders %d", g.batch, g.relays) }

// Plot draws the lowest goodput over load into an SVG file, a line for each batch and number of
// relays. The lowest is taken over all kinds of limit among the rows, since each must meet the
// bound.
func Plot(file string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Goodput of the worst kind of limit"
	p.X.Label.Text, p.Y.Label.Text = "offered load, as a multiple of the destination's capacity",
		"delivered / deliverable"
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Add(plotter.NewGrid(), plotter.NewFunction(func(float64) float64 { return MinGoodput }))
	lines := minGoodputByLoad(rows)
	var args []any
	for _, g := range sortedGroups(lines) {
		args = append(args, g.String(), lines[g])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	p.Legend.Left = true
	return p.Save(24*vg.Centimeter, 18*vg.Centimeter, file)
}

// minGoodputByLoad returns the lowest goodput of each group and load, in order of load.
func minGoodputByLoad(rows []Row) map[plotGroup]plotter.XYs {
	lines := map[plotGroup]plotter.XYs{}
	for _, r := range rows {
		g := plotGroup{r.Batch, r.Relays}
		at, known := slices.BinarySearchFunc(lines[g], r.Load,
			func(p plotter.XY, load float64) int { return cmp.Compare(p.X, load) })
		if known {
			lines[g][at].Y = min(lines[g][at].Y, r.Goodput)
			continue
		}
		lines[g] = slices.Insert(lines[g], at, plotter.XY{X: r.Load, Y: r.Goodput})
	}
	return lines
}

func sortedGroups(lines map[plotGroup]plotter.XYs) (all []plotGroup) {
	for g := range lines {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b plotGroup) int {
		return cmp.Or(cmp.Compare(a.batch, b.batch), cmp.Compare(a.relays, b.relays))
	})
	return all
}
