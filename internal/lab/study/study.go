// Package study plays experiments: the same days for each arm, side by side on the machine's cores, each result kept as a file
// of its own so that a run that was interrupted goes on where it was, and compared in pairs with intervals.
package study

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"sync"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/encoding/prototext"

	"oatfold/internal/choice"
	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/site"
	"oatfold/policy"
)

// Row is one day under one arm, as results.parquet has it.
type Row struct {
	Arm           string  `parquet:"arm,dict" json:"arm"`
	Day           string  `parquet:"day,dict" json:"day"`
	Seed          uint64  `parquet:"seed" json:"seed"`
	G             float64 `parquet:"g" json:"g"`
	Whole         float64 `parquet:"whole" json:"whole"`
	WorstWindow   float64 `parquet:"worst_window" json:"worst_window"`
	WorstClass    float64 `parquet:"worst_class" json:"worst_class"`
	Requests      int64   `parquet:"requests" json:"requests"`
	Delivered     int64   `parquet:"delivered" json:"delivered"`
	InAim         int64   `parquet:"in_aim" json:"in_aim"`
	GivenUp       int64   `parquet:"given_up" json:"given_up"`
	HandedBack    int64   `parquet:"handed_back" json:"handed_back"`
	Lost          int64   `parquet:"lost" json:"lost"`
	Refusals      int64   `parquet:"refusals" json:"refusals"`
	Calls         int64   `parquet:"calls" json:"calls"`
	RefusedCalls  int64   `parquet:"refused_calls" json:"refused_calls"`
	Connections   int64   `parquet:"connections" json:"connections"`
	P50Us         int64   `parquet:"p50_us" json:"p50_us"`
	P99Us         int64   `parquet:"p99_us" json:"p99_us"`
	Steps         int64   `parquet:"steps" json:"steps"`
	Events        int64   `parquet:"events" json:"events"`
	Probes        int64   `parquet:"probes" json:"probes"`
	NoteBytes     int64   `parquet:"note_bytes" json:"note_bytes"`
	FairRelays    float64 `parquet:"fair_relays" json:"fair_relays"`
	FairDests     float64 `parquet:"fair_dests" json:"fair_dests"`
	Broken        int64   `parquet:"broken" json:"broken"`
	Faults        int64   `parquet:"faults" json:"faults"`
	FirstOfBroken string  `parquet:"first_of_broken" json:"first_of_broken"`
}

// Second is one second of one day under one arm, as seconds.parquet has it.
type Second struct {
	Arm    string  `parquet:"arm,dict" json:"-"`
	Day    string  `parquet:"day,dict" json:"-"`
	Seed   uint64  `parquet:"seed" json:"-"`
	At     int32   `parquet:"at" json:"at"`
	Asked  float64 `parquet:"asked" json:"asked"`
	Served float64 `parquet:"served" json:"served"`
}

// Dest is one destination of one day under one arm, as dests.parquet has it.
type Dest struct {
	Arm       string  `parquet:"arm,dict" json:"-"`
	Day       string  `parquet:"day,dict" json:"-"`
	Seed      uint64  `parquet:"seed" json:"-"`
	Dest      int32   `parquet:"dest" json:"dest"`
	Requests  int64   `parquet:"requests" json:"requests"`
	Delivered int64   `parquet:"delivered" json:"delivered"`
	Calls     int64   `parquet:"calls" json:"calls"`
	Rejected  int64   `parquet:"refused" json:"refused"`
	Asked     float64 `parquet:"asked" json:"asked"`
	Served    float64 `parquet:"served" json:"served"`
}

// unit is one day to play under one arm, and what came of it.
type unit struct {
	Row     Row      `json:"row"`
	Seconds []Second `json:"seconds"`
	Dests   []Dest   `json:"dests"`
}

// ErrRunsFailed says that a rule was broken or that something else than the arms' figures went wrong on some day.
var ErrRunsFailed = errors.New("rules broken or days at fault")

// PolicyFactories are the modules that arms may name.
var PolicyFactories = map[string]emu.PolicyFactory{
	"": emu.DefaultPolicy, "service": emu.DefaultPolicy,
	"half-share": share(0.5),
}

// share makes the module in service with another share of the slots for one destination.
func share(of float64) emu.PolicyFactory {
	return func(set policy.Settings, seed int64) (emu.PolicyEngine, error) {
		set.MaxDestinationShare = of
		return emu.DefaultPolicy(set, seed)
	}
}

// Run plays the experiment of a file into dir. done is told of each day that has ended; the same file and seed give the same files.
func Run(ctx context.Context, file string, seed uint64, dir string, done func(n, of int)) error {
	ex, err := site.ReadExperiment(file)
	if err != nil {
		return err
	}
	base, err := site.ReadSite(ex.Site)
	if err != nil {
		return err
	}
	var scripts []*site.Script
	for _, name := range ex.Script {
		s, err := site.ReadScript(name)
		if err != nil {
			return err
		}
		scripts = append(scripts, s)
	}
	for i, a := range ex.Arm {
		if PolicyFactories[a.Module] == nil {
			return fmt.Errorf("%s: arm[%d].module: no variant is called %q", file, i, a.Module)
		}
	}
	parts := filepath.Join(dir, "days")
	if err := os.MkdirAll(parts, 0o755); err != nil {
		return err
	}
	// A folder belongs to one experiment and seed: another one's days must not be taken for its own.
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	mark := fmt.Sprintf("seed %d\n%s", seed, raw)
	if had, err := os.ReadFile(filepath.Join(dir, ExperimentFile)); err == nil && string(had) != mark {
		return fmt.Errorf("%s holds another experiment or seed", dir)
	}
	if err := os.WriteFile(filepath.Join(dir, ExperimentFile), []byte(mark), 0o644); err != nil {
		return err
	}
	type job struct {
		arm  *site.Arm
		day  int // of scripts; -1: drawn
		seed uint64
		name string
	}
	var jobs []job
	for n := range int(ex.Repeats) {
		at := rand.New(rand.NewPCG(seed, uint64(n))).Uint64() >> 1 // columns of results hold signed numbers in some readers
		for i := range max(1, len(scripts)) {
			for _, a := range ex.Arm {
				j := job{a, i, at, ""}
				if len(scripts) == 0 {
					j.day = -1
				}
				j.name = filepath.Join(parts, fmt.Sprintf("%04d-%02d-%s.json", n, i, a.Name))
				jobs = append(jobs, j)
			}
		}
	}
	units := make([]unit, len(jobs))
	errs := make([]error, len(jobs))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	next := make(chan int)
	for range min(runtime.GOMAXPROCS(0), len(jobs)) {
		wg.Go(func() {
			for i := range next {
				j := jobs[i]
				if raw, err := os.ReadFile(j.name); err != nil || json.Unmarshal(raw, &units[i]) != nil {
					var day *emu.Scenario
					if j.day >= 0 {
						day, err = scripts[j.day].DrawScenario(base, j.seed)
					} else {
						day, err = drawn(ex, base, j.seed)
					}
					if err == nil {
						err = play(day, j.arm, &units[i])
					}
					if err == nil {
						err = keep(j.name, &units[i])
					}
					errs[i] = err
				}
				mu.Lock()
				ended++
				if done != nil {
					done(ended, len(jobs))
				}
				mu.Unlock()
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wg.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return err
	}
	return write(dir, units)
}

// drawn draws a day of the site with some of the experiment's troubles.
func drawn(ex *site.Experiment, base *site.Site, seed uint64) (*emu.Scenario, error) {
	day, err := base.DrawScenario(seed)
	if err != nil {
		return nil, err
	}
	list := ex.Trouble
	if ex.Troubles != nil {
		rng := rand.New(rand.NewPCG(seed, 77))
		to := ex.Troubles.From
		if ex.Troubles.To != nil {
			to = *ex.Troubles.To
		}
		n := int(ex.Troubles.From + (to-ex.Troubles.From)*rng.Float64())
		list = nil
		for _, i := range rng.Perm(len(ex.Trouble))[:min(n, len(ex.Trouble))] {
			list = append(list, ex.Trouble[i])
		}
	}
	return day, site.AddFaults(day, list, seed)
}

func play(day *emu.Scenario, arm *site.Arm, u *unit) error {
	for _, o := range []struct {
		times float64
		at    *int
	}{{arm.SlotsTimes, &day.MaxConcurrentCalls}, {arm.HoldTimes, &day.MaxPending}} {
		if o.times > 0 {
			*o.at = max(1, int(float64(*o.at)*o.times))
		}
	}
	if arm.LoadTimes > 0 {
		day.Rate *= arm.LoadTimes
	}
	if arm.Choices != "" {
		var err error
		if day.Choices, err = choice.Parse(arm.Choices); err != nil {
			return fmt.Errorf("arm %q: choices: %w", arm.Name, err)
		}
	}
	if arm.OneSender { // who sees all that the fleet sees, and has its slots
		day.MaxConcurrentCalls, day.MaxPending, day.Relays, day.HotRelayFactor, day.Membership, day.Gossip = day.MaxConcurrentCalls*day.Relays, day.MaxPending*day.Relays, 1, 0, false, false
		day.Faults = slices.DeleteFunc(day.Faults, func(t emu.Fault) bool {
			return len(day.RelaysOf(&t)) > 0 && len(t.Dests)+len(t.Endpoints) == 0 && t.Zone == ""
		})
	}
	res, err := emu.Run(day, emu.Options{NewPolicy: PolicyFactories[arm.Module]})
	if err != nil {
		return fmt.Errorf("%s: %w", day.Name, err)
	}
	u.Row = NewRow(arm.Name, res)
	for i, s := range res.Seconds {
		u.Seconds = append(u.Seconds, Second{At: int32(i), Asked: s.Asked, Served: s.Served})
	}
	for i, d := range res.Dests {
		u.Dests = append(u.Dests, Dest{Dest: int32(i), Requests: int64(d.Requests), Delivered: int64(d.Delivered), Calls: int64(d.Calls), Rejected: int64(d.Refused), Asked: d.Asked, Served: d.Served})
	}
	return nil
}

// NewRow is the row of a day that was played under an arm.
func NewRow(arm string, res *emu.Result) Row {
	broken := int64(0)
	for _, n := range res.Broken {
		broken += int64(n)
	}
	row := Row{Arm: arm, Day: res.Day, Seed: res.Seed, G: res.G, Whole: res.Whole, WorstWindow: res.WorstWindow, WorstClass: res.WorstClass,
		Requests: int64(res.Requests), Delivered: int64(res.Delivered), InAim: int64(res.InAim), GivenUp: int64(res.GivenUp), HandedBack: int64(res.HandedBack), Lost: int64(res.Lost),
		Refusals: int64(res.Refusals), Calls: int64(res.Calls), RefusedCalls: int64(res.RefusedCalls), Connections: int64(res.Connections),
		P50Us: res.Latency.ValueAtPercentile(50), P99Us: res.Latency.ValueAtPercentile(99), Steps: int64(res.Steps), Events: int64(res.Events),
		Probes: int64(res.Probes), NoteBytes: int64(res.NoteBytes), FairRelays: res.FairRelays, FairDests: res.FairDests,
		Broken: broken, Faults: int64(len(res.Faults))}
	if len(res.Breaks) > 0 {
		row.FirstOfBroken = res.Breaks[0].String()
	} else if len(res.Faults) > 0 {
		row.FirstOfBroken = res.Faults[0]
	}
	return row
}

// keep writes a file whole or not at all, so that an interrupted run leaves no half of one.
func keep(name string, u *unit) error {
	raw, err := json.Marshal(u)
	if err == nil {
		err = os.WriteFile(name+".tmp", raw, 0o644)
	}
	if err == nil {
		err = os.Rename(name+".tmp", name)
	}
	return err
}

func write(dir string, units []unit) error {
	var rows []Row
	var seconds []Second
	var dests []Dest
	for _, u := range units {
		rows = append(rows, u.Row)
		for _, s := range u.Seconds {
			s.Arm, s.Day, s.Seed = u.Row.Arm, u.Row.Day, u.Row.Seed
			seconds = append(seconds, s)
		}
		for _, d := range u.Dests {
			d.Arm, d.Day, d.Seed = u.Row.Arm, u.Row.Day, u.Row.Seed
			dests = append(dests, d)
		}
	}
	return errors.Join(parquet.WriteFile(filepath.Join(dir, "results.parquet"), rows, parquet.Compression(&parquet.Zstd)),
		parquet.WriteFile(filepath.Join(dir, "seconds.parquet"), seconds, parquet.Compression(&parquet.Zstd)),
		parquet.WriteFile(filepath.Join(dir, "dests.parquet"), dests, parquet.Compression(&parquet.Zstd)))
}

// Results are those of a folder that Run has written.
type Results struct {
	Rows    []Row
	Seconds []Second
	Dests   []Dest
}

// Read reads a folder of results.
func Read(dir string) (*Results, error) {
	r, err := &Results{}, error(nil)
	if r.Rows, err = parquet.ReadFile[Row](filepath.Join(dir, "results.parquet")); err != nil {
		return nil, err
	}
	if r.Seconds, err = parquet.ReadFile[Second](filepath.Join(dir, "seconds.parquet")); err != nil {
		return nil, err
	}
	r.Dests, err = parquet.ReadFile[Dest](filepath.Join(dir, "dests.parquet"))
	return r, err
}

// Measure is a figure of a row.
type Measure struct {
	Name  string
	Value func(Row) float64
}

// Measures are what arms are compared by.
var Measures = []Measure{
	{"G", func(r Row) float64 { return r.G }},
	{"worth, whole day", func(r Row) float64 { return r.Whole }},
	{"worth, worst 10 s", func(r Row) float64 { return r.WorstWindow }},
	{"worth, worst class", func(r Row) float64 { return r.WorstClass }},
	{"refused calls a message", func(r Row) float64 { return float64(r.RefusedCalls) / float64(max(1, r.Requests)) }},
	{"calls a message", func(r Row) float64 { return float64(r.Calls) / float64(max(1, r.Requests)) }},
	{"p99 latency, s", func(r Row) float64 { return float64(r.P99Us) / 1e6 }},
	{"new connections a message", func(r Row) float64 { return float64(r.Connections) / float64(max(1, r.Requests)) }},
	{"calls to what is out a message", func(r Row) float64 { return float64(r.Probes) / float64(max(1, r.Requests)) }},
	{"bytes of notes a message", func(r Row) float64 { return float64(r.NoteBytes) / float64(max(1, r.Requests)) }},
	{"Jain's index over relays", func(r Row) float64 { return r.FairRelays }},
	{"Jain's index over destinations", func(r Row) float64 { return r.FairDests }},
	{"rules broken", func(r Row) float64 { return float64(r.Broken + r.Faults) }},
}

// Difference is what an arm has over the baseline in a measure, over the days that both have played.
type Difference struct {
	Measure, Arm string
	Base, Mean   float64 // of the baseline, and of the arm
	Diff         float64 // the mean of the pairs' differences
	Low, High    float64 // of it, 95 of 100, by bootstrap over the pairs
	Pairs        int
}

// resamples is how often pairs are drawn anew for an interval.
const resamples = 2000

// Compare pairs the rows of two arms by day and seed.
func Compare(base, arm []Row) (all []Difference) {
	type key struct {
		day  string
		seed uint64
	}
	of := map[key]Row{}
	for _, r := range base {
		of[key{r.Day, r.Seed}] = r
	}
	for _, m := range Measures {
		var a, b []float64
		for _, r := range arm {
			if o, ok := of[key{r.Day, r.Seed}]; ok {
				a, b = append(a, m.Value(o)), append(b, m.Value(r))
			}
		}
		if len(a) == 0 {
			continue
		}
		all = append(all, ComparePairs(m.Name, arm[0].Arm, a, b))
	}
	return all
}

// ComparePairs holds a measure of an arm against the baseline's, pair by pair.
func ComparePairs(measure, arm string, a, b []float64) Difference {
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Measure: measure, Arm: arm, Base: stat.Mean(a, nil), Mean: stat.Mean(b, nil), Diff: stat.Mean(diffs, nil), Pairs: len(diffs)}
	rng := rand.New(rand.NewPCG(1, uint64(len(diffs))))
	means, draw := make([]float64, resamples), make([]float64, len(diffs))
	for i := range means {
		for j := range draw {
			draw[j] = diffs[rng.IntN(len(diffs))]
		}
		means[i] = stat.Mean(draw, nil)
	}
	sort.Float64s(means)
	d.Low, d.High = stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
	return d
}

// GroupByVariant splits rows by arm, in the order of their first row.
func GroupByVariant(rows []Row) (names []string, by map[string][]Row) {
	by = map[string][]Row{}
	for _, r := range rows {
		if !slices.Contains(names, r.Arm) {
			names = append(names, r.Arm)
		}
		by[r.Arm] = append(by[r.Arm], r)
	}
	return names, by
}

// RankCorrelation is Spearman's rank correlation of two series.
func RankCorrelation(a, b []float64) float64 { return stat.Correlation(ranks(a), ranks(b), nil) }

func ranks(v []float64) []float64 {
	order := make([]int, len(v))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return v[order[i]] < v[order[j]] })
	out := make([]float64, len(v))
	for i := 0; i < len(order); {
		j := i
		for j < len(order) && v[order[j]] == v[order[i]] {
			j++
		}
		for _, n := range order[i:j] { // equal values share the middle of their ranks
			out[n] = float64(i+j-1) / 2
		}
		i = j
	}
	return out
}

// ExperimentFile is the file of a folder of results that tells which experiment and seed they are of.
const ExperimentFile = "experiment.textproto"

// ParseTitle are the name and the question of an experiment, from its text.
func ParseTitle(raw []byte) (title, question string) {
	_, raw, _ = bytes.Cut(raw, []byte("\n")) // the line of the seed
	ex := &site.Experiment{}
	if prototext.Unmarshal(raw, ex) != nil {
		return "Experiment", ""
	}
	return ex.Name, ex.Question
}
