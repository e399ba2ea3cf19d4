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

// group is what one line of the plot stands for: all cells of a batch and a number of senders.
type group struct{ batch, senders int32 }

func (g group) String() string { return fmt.Sprintf("batch %d, senders %d", g.batch, g.senders) }

// Plot draws the least goodput over load into an SVG file, a line for each batch and number of senders. The least is that over
// all kinds of limit among the rows: the bound holds where it holds for every kind.
func Plot(file string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Goodput of the worst kind of limit"
	p.X.Label.Text, p.Y.Label.Text = "offered load, as a multiple of what the destination takes", "delivered / due"
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Add(plotter.NewGrid(), plotter.NewFunction(func(float64) float64 { return MinGoodput }))
	lines := leastGoodput(rows)
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

// leastGoodput finds the worst row of each group and load, in order of load.
func leastGoodput(rows []Row) map[group]plotter.XYs {
	lines := map[group]plotter.XYs{}
	for _, r := range rows {
		g := group{r.Batch, r.Relays}
		at, known := slices.BinarySearchFunc(lines[g], r.Load, func(p plotter.XY, load float64) int { return cmp.Compare(p.X, load) })
		if known {
			lines[g][at].Y = min(lines[g][at].Y, r.Goodput)
			continue
		}
		lines[g] = slices.Insert(lines[g], at, plotter.XY{X: r.Load, Y: r.Goodput})
	}
	return lines
}

func sortedGroups(lines map[group]plotter.XYs) (all []group) {
	for g := range lines {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.batch, b.batch), cmp.Compare(a.senders, b.senders))
	})
	return all
}
