// Package report writes the results of an experiment as one page of HTML that needs nothing beside itself.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"oatfold/internal/lab/study"
)

//go:embed page.html
var page string

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure": func(v float64) string { return fmt.Sprintf("%.4g", v) },
	"signed": func(v float64) string { return fmt.Sprintf("%+.4f", v) },
	"clear":  func(d study.Difference) bool { return d.Low > 0 || d.High < 0 },
}).Parse(page))

var colors = []color.Color{color.RGBA{0x1f, 0x77, 0xb4, 255}, color.RGBA{0xd6, 0x27, 0x28, 255}, color.RGBA{0x2c, 0xa0, 0x2c, 255}, color.RGBA{0x94, 0x67, 0xbd, 255}, color.RGBA{0xff, 0x7f, 0x0e, 255}}

type view struct {
	Title, Question, Source string
	Base                    string
	Arms                    []arm
	Plots                   []chart
	Bad                     []study.Row
}

type arm struct {
	Name  string
	Days  int
	G     float64
	Diffs []study.Difference
}

type chart struct {
	Title, Note string
	SVG         template.HTML
}

// Write writes the page of a folder of results. base is the arm that the others are compared with; "": the first.
func Write(out io.Writer, res *study.Results, title, question, source, base string) error {
	names, by := study.GroupByVariant(res.Rows)
	if len(names) == 0 {
		return fmt.Errorf("no results")
	}
	if base == "" {
		base = names[0]
	}
	v := view{Title: title, Question: question, Source: source, Base: base}
	for _, n := range names {
		a := arm{Name: n, Days: len(by[n])}
		for _, r := range by[n] {
			a.G += r.G / float64(len(by[n]))
		}
		if n != base {
			a.Diffs = study.Compare(by[base], by[n])
		}
		v.Arms = append(v.Arms, a)
	}
	for _, r := range res.Rows {
		if r.Broken+r.Faults > 0 {
			v.Bad = append(v.Bad, r)
		}
	}
	for _, f := range []func(*study.Results, []string) (chart, error){overTime, perDay, latency, perDest} {
		c, err := f(res, names)
		if err != nil {
			return err
		}
		v.Plots = append(v.Plots, c)
	}
	return tmpl.Execute(out, v)
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func (c *chart) render(p *plot.Plot) error {
	canvas := vgsvg.New(18*vg.Centimeter, 7.5*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return err
	}
	// The file's own head (an XML declaration, comments) does not belong into a page.
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 {
		b.Next(i)
	}
	c.SVG = template.HTML(b.String()) // from numbers and names of arms, which vgsvg escapes
	return nil
}

func line(p *plot.Plot, name string, at int, pts plotter.XYs) error {
	l, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	l.Color, l.Width = colors[at%len(colors)], vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// overTime is the worth served of that asked for, second by second, over all days of an arm: also how a day recovers.
func overTime(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Worth over time", Note: "Share of the worth asked for that was served, by the second in which it was asked for, over all days of an arm. Smoothed over 3 s."}
	p := newPlot("second of the day", "share served")
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, n := range names {
		var asked, served []float64
		for _, s := range res.Seconds {
			if s.Arm != n {
				continue
			}
			for len(asked) <= int(s.At) {
				asked, served = append(asked, 0), append(served, 0)
			}
			asked[s.At] += s.Asked
			served[s.At] += s.Served
		}
		var pts plotter.XYs
		for t := range asked {
			a, s := 0.0, 0.0
			for k := max(0, t-1); k <= min(len(asked)-1, t+1); k++ {
				a += asked[k]
				s += served[k]
			}
			if a > 0 {
				pts = append(pts, plotter.XY{X: float64(t), Y: s / a})
			}
		}
		if len(pts) == 0 {
			continue
		}
		if err := line(p, n, i, pts); err != nil {
			return c, err
		}
	}
	return c, c.render(p)
}

// perDay is each day's result, days ordered by that of the first arm.
func perDay(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Result of each day", Note: "Days in the order of the first arm's result; a day has one place for all arms."}
	p := newPlot("day", "G")
	_, by := study.GroupByVariant(res.Rows)
	type key struct {
		day  string
		seed uint64
	}
	first := slices.Clone(by[names[0]])
	sort.SliceStable(first, func(i, j int) bool { return first[i].G < first[j].G })
	place := map[key]int{}
	for i, r := range first {
		place[key{r.Day, r.Seed}] = i
	}
	for i, n := range names {
		var pts plotter.XYs
		for _, r := range by[n] {
			if x, ok := place[key{r.Day, r.Seed}]; ok {
				pts = append(pts, plotter.XY{X: float64(x + 1), Y: r.G})
			}
		}
		s, err := plotter.NewScatter(pts)
		if err != nil {
			return c, err
		}
		s.Color, s.Radius, s.Shape = colors[i%len(colors)], vg.Points(2.5), draw.CircleGlyph{}
		p.Add(s)
		p.Legend.Add(n, s)
	}
	return c, c.render(p)
}

// latency is the share of days whose slow messages took no longer than so.
func latency(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Latency", Note: "Share of days whose 99th of a hundred delivered messages took at most so long."}
	p := newPlot("seconds", "share of days")
	p.Y.Min, p.Y.Max = 0, 1.02
	_, by := study.GroupByVariant(res.Rows)
	for i, n := range names {
		var v []float64
		for _, r := range by[n] {
			v = append(v, float64(r.P99Us)/1e6)
		}
		sort.Float64s(v)
		pts := plotter.XYs{{X: v[0], Y: 0}}
		for k, x := range v {
			pts = append(pts, plotter.XY{X: x, Y: float64(k+1) / float64(len(v))})
		}
		if err := line(p, n, i, pts); err != nil {
			return c, err
		}
	}
	return c, c.render(p)
}

// most is how many destinations the plot of them has.
const most = 30

// perDest is what the busiest destinations were sent and what they refused.
func perDest(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Calls and refusals by destination", Note: "Calls a message (lines) and of these refused (dashes), over all days; destinations by the messages for them, the busiest first."}
	p := newPlot("destination, by traffic", "calls a message")
	for i, n := range names {
		type day struct {
			day  string
			seed uint64
		}
		days := map[day][]study.Dest{}
		for _, d := range res.Dests {
			if d.Arm == n {
				k := day{d.Day, d.Seed}
				days[k] = append(days[k], d)
			}
		}
		var asked, calls, refused [most]float64
		for _, list := range days {
			sort.SliceStable(list, func(a, b int) bool { return list[a].Requests > list[b].Requests })
			for k, d := range list[:min(most, len(list))] {
				asked[k] += float64(d.Requests)
				calls[k] += float64(d.Calls)
				refused[k] += float64(d.Rejected)
			}
		}
		var sent, back plotter.XYs
		for k := range asked {
			if asked[k] > 0 {
				sent = append(sent, plotter.XY{X: float64(k + 1), Y: calls[k] / asked[k]})
				back = append(back, plotter.XY{X: float64(k + 1), Y: refused[k] / asked[k]})
			}
		}
		if len(sent) == 0 {
			continue
		}
		if err := line(p, n, i, sent); err != nil {
			return c, err
		}
		l, err := plotter.NewLine(back)
		if err != nil {
			return c, err
		}
		l.Color, l.Width, l.Dashes = colors[i%len(colors)], vg.Points(1), []vg.Length{vg.Points(3), vg.Points(2)}
		p.Add(l)
	}
	p.Y.Min = 0
	if math.IsInf(p.Y.Max, 0) || math.IsNaN(p.Y.Max) {
		p.Y.Max = 1
	}
	return c, c.render(p)
}
