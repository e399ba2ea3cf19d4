// Package report writes the results of an experiment as one self-contained HTML page.
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
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure": func(v float64) string { return fmt.Sprintf("%.4g", v) },
	"signed": func(v float64) string { return fmt.Sprintf("%+.4f", v) },
	"clear":  func(d study.Difference) bool { return d.Low > 0 || d.High < 0 },
}).Parse(pageText))

// colors of the variants, in their order.
var colors = []color.Color{color.RGBA{0x1f, 0x77, 0xb4, 255}, color.RGBA{0xd6, 0x27, 0x28, 255},
	color.RGBA{0x2c, 0xa0, 0x2c, 255}, color.RGBA{0x94, 0x67, 0xbd, 255}, color.RGBA{0xff, 0x7f, 0x0e, 255}}

// pageData is the input of page.html.
type pageData struct {
	Title, Question, Source string
	Base                    string
	Arms                    []variant
	Plots                   []chart
	Bad                     []study.Row
}

// variant is a variant's mean result, with its differences to the baseline.
type variant struct {
	Name  string
	Days  int
	G     float64
	Diffs []study.Difference
}

// chart is a plot with its caption.
type chart struct {
	Title, Note string
	SVG         template.HTML
}

// Write writes the report page of a directory of results. The other variants are compared with
// base; "": the first variant. It returns an error if there are no results.
func Write(out io.Writer, res *study.Results, title, question, source, base string) error {
	names, byVariant := study.GroupByVariant(res.Rows)
	if len(names) == 0 {
		return fmt.Errorf("no results")
	}
	if base == "" {
		base = names[0]
	}
	data := pageData{Title: title, Question: question, Source: source, Base: base}
	for _, name := range names {
		summary := variant{Name: name, Days: len(byVariant[name])}
		for _, r := range byVariant[name] {
			summary.G += r.G / float64(len(byVariant[name]))
		}
		if name != base {
			summary.Diffs = study.Compare(byVariant[base], byVariant[name])
		}
		data.Arms = append(data.Arms, summary)
	}
	for _, r := range res.Rows {
		if r.Broken+r.Faults > 0 {
			data.Bad = append(data.Bad, r)
		}
	}
	for _, plotChart := range []func(*study.Results, []string) (chart, error){
		valueOverTime, resultPerScenario, latencyDistribution, callsPerDestination,
	} {
		c, err := plotChart(res, names)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, c)
	}
	return pageTemplate.Execute(out, data)
}

// newPlot returns an empty plot with axis labels.
func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// render draws the plot into the chart as inline SVG.
func (c *chart) render(p *plot.Plot) error {
	canvas := vgsvg.New(18*vg.Centimeter, 7.5*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return err
	}
	// An XML declaration and comments do not belong in an HTML page.
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 {
		b.Next(i)
	}
	c.SVG = template.HTML(b.String()) // numbers and variant names, which vgsvg escapes
	return nil
}

// addLine adds a line in the color of the variant with this index.
func addLine(p *plot.Plot, name string, index int, pts plotter.XYs) error {
	l, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	l.Color, l.Width = colors[index%len(colors)], vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// valueOverTime plots the share of the offered value that was delivered, by second, over all
// scenarios of a variant.
func valueOverTime(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Value over time",
		Note: "Share of the value of the submitted messages that was delivered, by the second of submission, over all scenarios of a variant. Smoothed over 3 s."}
	p := newPlot("second of the scenario", "share delivered")
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, name := range names {
		var asked, served []float64
		for _, s := range res.Seconds {
			if s.Arm != name {
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
		if err := addLine(p, name, i, pts); err != nil {
			return c, err
		}
	}
	return c, c.render(p)
}

// resultPerScenario plots the result of each scenario, ordered by the results of the first variant.
func resultPerScenario(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Result of each scenario",
		Note: "Scenarios in the order of the first variant's results; a scenario has the same position for all variants."}
	p := newPlot("day", "G")
	_, byVariant := study.GroupByVariant(res.Rows)
	type runKey struct {
		scenario string
		seed     uint64
	}
	first := slices.Clone(byVariant[names[0]])
	sort.SliceStable(first, func(i, j int) bool { return first[i].G < first[j].G })
	position := map[runKey]int{}
	for i, r := range first {
		position[runKey{r.Day, r.Seed}] = i
	}
	for i, name := range names {
		var pts plotter.XYs
		for _, r := range byVariant[name] {
			if x, ok := position[runKey{r.Day, r.Seed}]; ok {
				pts = append(pts, plotter.XY{X: float64(x + 1), Y: r.G})
			}
		}
		s, err := plotter.NewScatter(pts)
		if err != nil {
			return c, err
		}
		s.Color, s.Radius, s.Shape = colors[i%len(colors)], vg.Points(2.5), draw.CircleGlyph{}
		p.Add(s)
		p.Legend.Add(name, s)
	}
	return c, c.render(p)
}

// latencyDistribution plots the distribution of the scenarios' 99th percentile latency.
func latencyDistribution(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Latency",
		Note: "Share of scenarios whose 99th percentile latency of delivered messages is at most the given time."}
	p := newPlot("seconds", "share of scenarios")
	p.Y.Min, p.Y.Max = 0, 1.02
	_, byVariant := study.GroupByVariant(res.Rows)
	for i, name := range names {
		var v []float64
		for _, r := range byVariant[name] {
			v = append(v, float64(r.P99Us)/1e6)
		}
		sort.Float64s(v)
		pts := plotter.XYs{{X: v[0], Y: 0}}
		for k, x := range v {
			pts = append(pts, plotter.XY{X: x, Y: float64(k+1) / float64(len(v))})
		}
		if err := addLine(p, name, i, pts); err != nil {
			return c, err
		}
	}
	return c, c.render(p)
}

// maxDestinations bounds the destinations in the plot.
const maxDestinations = 30

// callsPerDestination plots the calls and rejected calls of the busiest destinations.
func callsPerDestination(res *study.Results, names []string) (chart, error) {
	c := chart{Title: "Calls and rejections by destination",
		Note: "Calls per message (solid) and rejected calls per message (dashed), over all scenarios; destinations by traffic, busiest first."}
	p := newPlot("destination, by traffic", "calls per message")
	for i, name := range names {
		type runKey struct {
			scenario string
			seed     uint64
		}
		destsByRun := map[runKey][]study.Dest{}
		for _, d := range res.Dests {
			if d.Arm == name {
				k := runKey{d.Day, d.Seed}
				destsByRun[k] = append(destsByRun[k], d)
			}
		}
		var asked, calls, rejected [maxDestinations]float64
		for _, list := range destsByRun {
			sort.SliceStable(list, func(a, b int) bool { return list[a].Requests > list[b].Requests })
			for k, d := range list[:min(maxDestinations, len(list))] {
				asked[k] += float64(d.Requests)
				calls[k] += float64(d.Calls)
				rejected[k] += float64(d.Rejected)
			}
		}
		var sent, rejections plotter.XYs
		for k := range asked {
			if asked[k] > 0 {
				sent = append(sent, plotter.XY{X: float64(k + 1), Y: calls[k] / asked[k]})
				rejections = append(rejections, plotter.XY{X: float64(k + 1), Y: rejected[k] / asked[k]})
			}
		}
		if len(sent) == 0 {
			continue
		}
		if err := addLine(p, name, i, sent); err != nil {
			return c, err
		}
		l, err := plotter.NewLine(rejections)
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
