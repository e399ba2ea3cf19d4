package fleet

import (
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// WriteFiles puts results.parquet, the timeline and the report into a folder.
func (res *Result) WriteFiles(dir string) error {
	f, err := os.Create(filepath.Join(dir, "results.parquet"))
	if err != nil {
		return err
	}
	w := parquet.NewGenericWriter[Seen](f, parquet.Compression(&parquet.Zstd))
	_, err = w.Write(res.Seen)
	if err = errors.Join(err, w.Close(), f.Close()); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	return errors.Join(res.report(page), page.Close())
}

// WriteTimeline writes a line for each change: when, who, of whom, what and why.
func (res *Result) WriteTimeline(out io.Writer) {
	for _, s := range res.Seen {
		if s.To == started {
			fmt.Fprintf(out, "%7.2f s  relay %d starts\n", float64(s.AtMs)/1000, s.By)
			continue
		}
		fmt.Fprintf(out, "%7.2f s  relay %d holds %d for %s (was %s, incarnation %d): %s\n", float64(s.AtMs)/1000, s.By, s.Number, s.To, s.From, s.Incarnation, s.Why)
	}
}

// stretch is a time in which one relay held another for something.
type stretch struct {
	X, W int
	What string
	Why  string
}

type row struct {
	By, Number int
	Y          int
	Stretches  []stretch
}

const (
	width     = 900
	rowHeight = 9
)

// rows are the pairs of relays of which something was seen, each with its stretches.
func (res *Result) rows() (all []row) {
	end := int64(res.Seconds*1000) + 1
	at := func(ms int64) int { return int(max(0, min(ms, end)) * width / end) }
	index := map[[2]int32]int{}
	last := map[[2]int32]Seen{}
	close := func(key [2]int32, until int64) {
		was, ok := last[key]
		if !ok || was.To == "alive" || was.To == started {
			return
		}
		r := &all[index[key]]
		r.Stretches = append(r.Stretches, stretch{at(was.AtMs), max(1, at(until)-at(was.AtMs)), was.To, was.Why})
	}
	for _, s := range res.Seen {
		key := [2]int32{s.Number, s.By}
		if _, ok := index[key]; !ok {
			index[key] = len(all)
			all = append(all, row{By: int(s.By), Number: int(s.Number)})
		}
		close(key, s.AtMs)
		last[key] = s
	}
	for key := range index {
		close(key, end)
	}
	for i := range all {
		all[i].Y = i * rowHeight
	}
	return all
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"join": strings.Join, "secs": func(ms int64) string { return fmt.Sprintf("%.2f", float64(ms)/1000) }}).Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Day}}, seed {{.Seed}}</title>
<style>body{font:14px sans-serif;max-width:1100px;margin:2em auto}td,th{padding:2px 8px;text-align:left}.suspect{fill:#ff7f0e}.away{fill:#d62728}.left{fill:#7f7f7f}.bad{color:#d62728}svg text{font-size:8px}</style>
<h1>{{.Day}}, seed {{.Seed}}</h1>
<p>{{if .Verdict.Good}}All rules kept; in the end all relays knew who lived.{{else}}<b class="bad">At fault.</b>{{end}}
{{.Offered}} messages offered, {{.Taken}} taken on, {{.Ran}} effects; {{.Sent}} notes of {{.Bytes}} bytes; {{printf "%.1f" .Seconds}} s.</p>
<ul>{{range .Troubles}}<li>{{.}}</li>{{end}}</ul>
{{range .Verdict.Rules}}<p class="bad">rule: {{.}}</p>{{end}}{{range .Verdict.False}}<p class="bad">false death: {{.}}</p>{{end}}{{range .Verdict.Faults}}<p class="bad">fault: {{.}}</p>{{end}}
<h2>Who held whom for what</h2>
<p>A row for each relay that was doubted and each that doubted it; orange: suspect, red: away, grey: left.</p>
<svg width="1000" height="{{.Height}}">{{range .Rows}}{{$y := .Y}}<text x="0" y="{{.Y}}" dy="7">{{.Number}}, by {{.By}}</text>{{range .Stretches}}<rect class="{{.What}}" x="{{.X}}" y="{{$y}}" width="{{.W}}" height="8" transform="translate(60 0)"><title>{{.What}}: {{.Why}}</title></rect>{{end}}{{end}}</svg>
<h2>Timeline</h2>
<table><tr><th>s<th>relay<th>of<th>was<th>holds it for<th>incarnation<th>why<th>troubles</tr>{{range .Seen}}<tr><td>{{secs .AtMs}}<td>{{.By}}<td>{{.Number}}<td>{{.From}}<td>{{.To}}<td>{{.Incarnation}}<td>{{.Why}}<td>{{.Troubles}}</tr>{{end}}</table>
`))

func (res *Result) report(out io.Writer) error {
	rows := res.rows()
	return page.Execute(out, struct {
		*Result
		Rows   []row
		Height int
	}{res, rows, len(rows)*rowHeight + rowHeight})
}
