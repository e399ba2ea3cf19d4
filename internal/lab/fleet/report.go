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

// WriteFiles writes results.parquet and report.html into a directory.
func (res *Result) WriteFiles(dir string) error {
	file, err := os.Create(filepath.Join(dir, "results.parquet"))
	if err != nil {
		return err
	}
	writer := parquet.NewGenericWriter[Seen](file, parquet.Compression(&parquet.Zstd))
	_, err = writer.Write(res.Seen)
	if err = errors.Join(err, writer.Close(), file.Close()); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	return errors.Join(res.writeReport(page), page.Close())
}

// WriteTimeline writes one line of text for each change.
func (res *Result) WriteTimeline(out io.Writer) {
	for _, change := range res.Seen {
		if change.To == started {
			fmt.Fprintf(out, "%7.2f s  relay %d starts\n", float64(change.AtMs)/1000, change.By)
			continue
		}
		fmt.Fprintf(out, "%7.2f s  relay %d sees %d as %s (was %s, incarnation %d): %s\n",
			float64(change.AtMs)/1000, change.By, change.Number, change.To, change.From, change.Incarnation,
			change.Why)
	}
}

// stateInterval is a time in which one relay saw another in one state, in pixels of the chart.
type stateInterval struct {
	X, W int
	What string
	Why  string
}

// pairRow is a row of the chart: the states of relay Number as relay By saw it.
type pairRow struct {
	By, Number int
	Y          int
	Stretches  []stateInterval
}

// Sizes of the chart, in pixels.
const (
	chartWidth = 900
	rowHeight  = 9
)

// pairRows returns a row for each pair of relays with a change, with the intervals in which the
// state was not alive.
func (res *Result) pairRows() (rows []pairRow) {
	end := int64(res.Seconds*1000) + 1
	position := func(ms int64) int { return int(max(0, min(ms, end)) * chartWidth / end) }
	index := map[[2]int32]int{}
	last := map[[2]int32]Seen{}
	closeInterval := func(key [2]int32, until int64) {
		previous, ok := last[key]
		if !ok || previous.To == "alive" || previous.To == started {
			return
		}
		row := &rows[index[key]]
		row.Stretches = append(row.Stretches,
			stateInterval{position(previous.AtMs), max(1, position(until)-position(previous.AtMs)), previous.To,
				previous.Why})
	}
	for _, s := range res.Seen {
		key := [2]int32{s.Number, s.By}
		if _, ok := index[key]; !ok {
			index[key] = len(rows)
			rows = append(rows, pairRow{By: int(s.By), Number: int(s.Number)})
		}
		closeInterval(key, s.AtMs)
		last[key] = s
	}
	for key := range index {
		closeInterval(key, end)
	}
	for i := range rows {
		rows[i].Y = i * rowHeight
	}
	return rows
}

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"join": strings.Join,
	"secs": func(ms int64) string { return fmt.Sprintf("%.2f", float64(ms)/1000) },
}).Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Day}}, seed {{.Seed}}</title>
<style>body{font:14px sans-serif;max-width:1100px;margin:2em auto}td,th{padding:2px 8px;text-align:left}.suspect{fill:#ff7f0e}.away{fill:#d62728}.left{fill:#7f7f7f}.bad{color:#d62728}svg text{font-size:8px}</style>
<h1>{{.Day}}, seed {{.Seed}}</h1>
<p>{{if .Verdict.Good}}No rule was violated; in the end all relays agreed on who is alive.{{else}}<b class="bad">Failed.</b>{{end}}
{{.Offered}} messages submitted, {{.Taken}} accepted, {{.Ran}} effects; {{.Sent}} gossip messages of {{.Bytes}} bytes; {{printf "%.1f" .Seconds}} s.</p>
<ul>{{range .Troubles}}<li>{{.}}</li>{{end}}</ul>
{{range .Verdict.Rules}}<p class="bad">rule: {{.}}</p>{{end}}{{range .Verdict.False}}<p class="bad">false death: {{.}}</p>{{end}}{{range .Verdict.Faults}}<p class="bad">fault: {{.}}</p>{{end}}
<h2>States of members</h2>
<p>A row for each member that was not alive to a relay, and that relay; orange: suspect, red: away, grey: left.</p>
<svg width="1000" height="{{.Height}}">{{range .Rows}}{{$y := .Y}}<text x="0" y="{{.Y}}" dy="7">{{.Number}}, by {{.By}}</text>{{range .Stretches}}<rect class="{{.What}}" x="{{.X}}" y="{{$y}}" width="{{.W}}" height="8" transform="translate(60 0)"><title>{{.What}}: {{.Why}}</title></rect>{{end}}{{end}}</svg>
<h2>Timeline</h2>
<table><tr><th>s<th>relay<th>member<th>was<th>state<th>incarnation<th>why<th>faults</tr>{{range .Seen}}<tr><td>{{secs .AtMs}}<td>{{.By}}<td>{{.Number}}<td>{{.From}}<td>{{.To}}<td>{{.Incarnation}}<td>{{.Why}}<td>{{.Troubles}}</tr>{{end}}</table>
`))

// writeReport writes the report as a page of HTML.
func (res *Result) writeReport(out io.Writer) error {
	rows := res.pairRows()
	return reportTemplate.Execute(out, struct {
		*Result
		Rows   []pairRow
		Height int
	}{res, rows, len(rows)*rowHeight + rowHeight})
}
