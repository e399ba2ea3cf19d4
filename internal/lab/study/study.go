// Package study runs experiments: the same scenarios for each variant, in parallel, with a paired
// comparison of the variants. The result of each run is stored in its own file, so that an
// interrupted experiment can resume.
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

// Row is the result of one scenario under one variant: a row of results.parquet.
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

// Second is one second of a scenario under one variant: a row of seconds.parquet.
type Second struct {
	Arm    string  `parquet:"arm,dict" json:"-"`
	Day    string  `parquet:"day,dict" json:"-"`
	Seed   uint64  `parquet:"seed" json:"-"`
	At     int32   `parquet:"at" json:"at"`
	Asked  float64 `parquet:"asked" json:"asked"`
	Served float64 `parquet:"served" json:"served"`
}

// Dest is one destination of a scenario under one variant: a row of dests.parquet.
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

// runResult is the result of one scenario under one variant, as stored in its own file.
type runResult struct {
	Row     Row      `json:"row"`
	Seconds []Second `json:"seconds"`
	Dests   []Dest   `json:"dests"`
}

// ErrRunsFailed is returned when a rule was violated, or the policy engine or the simulation
// failed, in some run.
var ErrRunsFailed = errors.New("runs with violated rules or faults")

// PolicyFactories maps the policy names of an experiment's variants to policy engines.
var PolicyFactories = map[string]emu.PolicyFactory{
	"": emu.DefaultPolicy, "service": emu.DefaultPolicy,
	"half-share": withDestinationShare(0.5),
}

// withDestinationShare returns the default policy with another maximum share of the concurrency
// limit per destination.
func withDestinationShare(maxShare float64) emu.PolicyFactory {
	return func(settings policy.Settings, seed int64) (emu.PolicyEngine, error) {
		settings.MaxDestinationShare = maxShare
		return emu.DefaultPolicy(settings, seed)
	}
}

// Run runs the experiment described in file and writes the results into dir. It calls progress, if
// not nil, after each run. The same file and seed give the same results. If ctx is cancelled, it
// returns ctx.Err(), and a later call with the same arguments resumes. It returns an error if dir
// belongs to another experiment or seed.
func Run(ctx context.Context, file string, seed uint64, dir string, progress func(n, of int)) error {
	experiment, err := site.ReadExperiment(file)
	if err != nil {
		return err
	}
	baseSite, err := site.ReadSite(experiment.Site)
	if err != nil {
		return err
	}
	var scripts []*site.Script
	for _, name := range experiment.Script {
		script, err := site.ReadScript(name)
		if err != nil {
			return err
		}
		scripts = append(scripts, script)
	}
	for i, a := range experiment.Arm {
		if PolicyFactories[a.Module] == nil {
			return fmt.Errorf("%s: arm[%d].module: unknown policy %q", file, i, a.Module)
		}
	}
	runsDir := filepath.Join(dir, "days")
	if err := os.MkdirAll(runsDir, 0o755); err != nil {
		return err
	}
	// The runs of another experiment or seed must not be taken for those of this one.
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	header := fmt.Sprintf("seed %d\n%s", seed, raw)
	if existing, err := os.ReadFile(filepath.Join(dir, ExperimentFile)); err == nil && string(existing) != header {
		return fmt.Errorf("%s holds another experiment or seed", dir)
	}
	if err := os.WriteFile(filepath.Join(dir, ExperimentFile), []byte(header), 0o644); err != nil {
		return err
	}
	type job struct {
		variant *site.Arm
		script  int // index into scripts; -1: a random scenario of the site
		seed    uint64
		file    string
	}
	var jobs []job
	for n := range int(experiment.Repeats) {
		// Some readers of Parquet files treat integers as signed.
		scenarioSeed := rand.New(rand.NewPCG(seed, uint64(n))).Uint64() >> 1
		for i := range max(1, len(scripts)) {
			for _, a := range experiment.Arm {
				j := job{a, i, scenarioSeed, ""}
				if len(scripts) == 0 {
					j.script = -1
				}
				j.file = filepath.Join(runsDir, fmt.Sprintf("%04d-%02d-%s.json", n, i, a.Name))
				jobs = append(jobs, j)
			}
		}
	}
	results := make([]runResult, len(jobs))
	errs := make([]error, len(jobs))
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	next := make(chan int)
	for range min(runtime.GOMAXPROCS(0), len(jobs)) {
		wg.Go(func() {
			for i := range next {
				j := jobs[i]
				if raw, err := os.ReadFile(j.file); err != nil || json.Unmarshal(raw, &results[i]) != nil {
					var scenario *emu.Scenario
					if j.script >= 0 {
						scenario, err = scripts[j.script].DrawScenario(baseSite, j.seed)
					} else {
						scenario, err = drawScenario(experiment, baseSite, j.seed)
					}
					if err == nil {
						err = runVariant(scenario, j.variant, &results[i])
					}
					if err == nil {
						err = saveResult(j.file, &results[i])
					}
					errs[i] = err
				}
				mu.Lock()
				completed++
				if progress != nil {
					progress(completed, len(jobs))
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
	return writeResults(dir, results)
}

// drawScenario draws a random scenario of the site with some of the experiment's faults.
func drawScenario(experiment *site.Experiment, baseSite *site.Site, seed uint64) (*emu.Scenario, error) {
	scenario, err := baseSite.DrawScenario(seed)
	if err != nil {
		return nil, err
	}
	faults := experiment.Trouble
	if experiment.Troubles != nil {
		rng := rand.New(rand.NewPCG(seed, 77))
		to := experiment.Troubles.From
		if experiment.Troubles.To != nil {
			to = *experiment.Troubles.To
		}
		n := int(experiment.Troubles.From + (to-experiment.Troubles.From)*rng.Float64())
		faults = nil
		for _, i := range rng.Perm(len(experiment.Trouble))[:min(n, len(experiment.Trouble))] {
			faults = append(faults, experiment.Trouble[i])
		}
	}
	return scenario, site.AddFaults(scenario, faults, seed)
}

// runVariant runs a scenario with the changes of a variant and stores the outcome in result.
func runVariant(scenario *emu.Scenario, variant *site.Arm, result *runResult) error {
	for _, scaled := range []struct {
		factor float64
		value  *int
	}{{variant.SlotsTimes, &scenario.MaxConcurrentCalls}, {variant.HoldTimes, &scenario.MaxPending}} {
		if scaled.factor > 0 {
			*scaled.value = max(1, int(float64(*scaled.value)*scaled.factor))
		}
	}
	if variant.LoadTimes > 0 {
		scenario.Rate *= variant.LoadTimes
	}
	if variant.Choices != "" {
		var err error
		if scenario.Choices, err = choice.Parse(variant.Choices); err != nil {
			return fmt.Errorf("arm %q: choices: %w", variant.Name, err)
		}
	}
	if variant.OneSender { // a single relay with the capacity of the whole fleet
		scenario.MaxConcurrentCalls, scenario.MaxPending, scenario.Relays,
			scenario.HotRelayFactor, scenario.Membership, scenario.Gossip =
			scenario.MaxConcurrentCalls*scenario.Relays, scenario.MaxPending*scenario.Relays, 1,
			0, false, false
		scenario.Faults = slices.DeleteFunc(scenario.Faults, func(t emu.Fault) bool {
			return len(scenario.RelaysOf(&t)) > 0 && len(t.Dests)+len(t.Endpoints) == 0 && t.Zone == ""
		})
	}
	res, err := emu.Run(scenario, emu.Options{NewPolicy: PolicyFactories[variant.Module]})
	if err != nil {
		return fmt.Errorf("%s: %w", scenario.Name, err)
	}
	result.Row = NewRow(variant.Name, res)
	for i, s := range res.Seconds {
		result.Seconds = append(result.Seconds, Second{At: int32(i), Asked: s.Asked, Served: s.Served})
	}
	for i, d := range res.Dests {
		result.Dests = append(result.Dests, Dest{
			Dest:      int32(i),
			Requests:  int64(d.Requests),
			Delivered: int64(d.Delivered),
			Calls:     int64(d.Calls),
			Rejected:  int64(d.Refused),
			Asked:     d.Asked,
			Served:    d.Served,
		})
	}
	return nil
}

// NewRow returns the row of a scenario that ran under a variant.
func NewRow(variant string, res *emu.Result) Row {
	violations := int64(0)
	for _, n := range res.Broken {
		violations += int64(n)
	}
	row := Row{
		Arm:          variant,
		Day:          res.Day,
		Seed:         res.Seed,
		G:            res.G,
		Whole:        res.Whole,
		WorstWindow:  res.WorstWindow,
		WorstClass:   res.WorstClass,
		Requests:     int64(res.Requests),
		Delivered:    int64(res.Delivered),
		InAim:        int64(res.InAim),
		GivenUp:      int64(res.GivenUp),
		HandedBack:   int64(res.HandedBack),
		Lost:         int64(res.Lost),
		Refusals:     int64(res.Refusals),
		Calls:        int64(res.Calls),
		RefusedCalls: int64(res.RefusedCalls),
		Connections:  int64(res.Connections),
		P50Us:        res.Latency.ValueAtPercentile(50),
		P99Us:        res.Latency.ValueAtPercentile(99),
		Steps:        int64(res.Steps),
		Events:       int64(res.Events),
		Probes:       int64(res.Probes),
		NoteBytes:    int64(res.NoteBytes),
		FairRelays:   res.FairRelays,
		FairDests:    res.FairDests,
		Broken:       violations,
		Faults:       int64(len(res.Faults)),
	}
	if len(res.Breaks) > 0 {
		row.FirstOfBroken = res.Breaks[0].String()
	} else if len(res.Faults) > 0 {
		row.FirstOfBroken = res.Faults[0]
	}
	return row
}

// saveResult writes a file atomically, so that an interrupted run leaves no partial file.
func saveResult(file string, result *runResult) error {
	raw, err := json.Marshal(result)
	if err == nil {
		err = os.WriteFile(file+".tmp", raw, 0o644)
	}
	if err == nil {
		err = os.Rename(file+".tmp", file)
	}
	return err
}

// writeResults writes the Parquet files of all runs.
func writeResults(dir string, results []runResult) error {
	var rows []Row
	var seconds []Second
	var dests []Dest
	for _, result := range results {
		rows = append(rows, result.Row)
		for _, s := range result.Seconds {
			s.Arm, s.Day, s.Seed = result.Row.Arm, result.Row.Day, result.Row.Seed
			seconds = append(seconds, s)
		}
		for _, d := range result.Dests {
			d.Arm, d.Day, d.Seed = result.Row.Arm, result.Row.Day, result.Row.Seed
			dests = append(dests, d)
		}
	}
	return errors.Join(
		parquet.WriteFile(filepath.Join(dir, "results.parquet"), rows, parquet.Compression(&parquet.Zstd)),
		parquet.WriteFile(filepath.Join(dir, "seconds.parquet"), seconds, parquet.Compression(&parquet.Zstd)),
		parquet.WriteFile(filepath.Join(dir, "dests.parquet"), dests, parquet.Compression(&parquet.Zstd)),
	)
}

// Results holds the results that Run has written into a directory.
type Results struct {
	Rows    []Row
	Seconds []Second
	Dests   []Dest
}

// Read reads a directory of results. It returns an error if the experiment is not complete.
func Read(dir string) (*Results, error) {
	results, err := &Results{}, error(nil)
	if results.Rows, err = parquet.ReadFile[Row](filepath.Join(dir, "results.parquet")); err != nil {
		return nil, err
	}
	if results.Seconds, err = parquet.ReadFile[Second](filepath.Join(dir, "seconds.parquet")); err != nil {
		return nil, err
	}
	results.Dests, err = parquet.ReadFile[Dest](filepath.Join(dir, "dests.parquet"))
	return results, err
}

// Measure is a metric of a row.
type Measure struct {
	Name  string
	Value func(Row) float64
}

// Measures lists the metrics that variants are compared by.
var Measures = []Measure{
	{"G", func(r Row) float64 { return r.G }},
	{"value, whole scenario", func(r Row) float64 { return r.Whole }},
	{"value, worst 10 s", func(r Row) float64 { return r.WorstWindow }},
	{"value, worst class", func(r Row) float64 { return r.WorstClass }},
	{"rejected calls per message", func(r Row) float64 {
		return float64(r.RefusedCalls) / float64(max(1,
			r.Requests))
	}},
	{"calls per message", func(r Row) float64 { return float64(r.Calls) / float64(max(1, r.Requests)) }},
	{"p99 latency, s", func(r Row) float64 { return float64(r.P99Us) / 1e6 }},
	{"new connections per message",
		func(r Row) float64 { return float64(r.Connections) / float64(max(1, r.Requests)) }},
	{"calls to unavailable destinations per message",
		func(r Row) float64 { return float64(r.Probes) / float64(max(1, r.Requests)) }},
	{"gossip bytes per message", func(r Row) float64 { return float64(r.NoteBytes) / float64(max(1, r.Requests)) }},
	{"Jain's index over relays", func(r Row) float64 { return r.FairRelays }},
	{"Jain's index over destinations", func(r Row) float64 { return r.FairDests }},
	{"rules broken", func(r Row) float64 { return float64(r.Broken + r.Faults) }},
}

// Difference compares a variant with the baseline in one measure, over the scenarios that both have
// run.
type Difference struct {
	Measure, Arm string
	Base, Mean   float64 // of the baseline and of the variant
	Diff         float64 // mean of the paired differences
	Low, High    float64 // 95% bootstrap confidence interval of Diff
	Pairs        int
}

// bootstrapResamples is the number of resamples for a confidence interval.
const bootstrapResamples = 2000

// Compare pairs the rows of two variants by scenario and seed. Measures without a pair are left
// out.
func Compare(base, variant []Row) (differences []Difference) {
	type runKey struct {
		day  string
		seed uint64
	}
	baseByRun := map[runKey]Row{}
	for _, r := range base {
		baseByRun[runKey{r.Day, r.Seed}] = r
	}
	for _, m := range Measures {
		var a, b []float64
		for _, r := range variant {
			if baseRow, ok := baseByRun[runKey{r.Day, r.Seed}]; ok {
				a, b = append(a, m.Value(baseRow)), append(b, m.Value(r))
			}
		}
		if len(a) == 0 {
			continue
		}
		differences = append(differences, ComparePairs(m.Name, variant[0].Arm, a, b))
	}
	return differences
}

// ComparePairs compares the paired values of one measure. The slices must have the same length,
// above 0.
func ComparePairs(measure, variant string, base, compared []float64) Difference {
	diffs := make([]float64, len(base))
	for i := range base {
		diffs[i] = compared[i] - base[i]
	}
	difference := Difference{
		Measure: measure,
		Arm:     variant,
		Base:    stat.Mean(base, nil),
		Mean:    stat.Mean(compared, nil),
		Diff:    stat.Mean(diffs, nil),
		Pairs:   len(diffs),
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(diffs))))
	means, draw := make([]float64, bootstrapResamples), make([]float64, len(diffs))
	for i := range means {
		for j := range draw {
			draw[j] = diffs[rng.IntN(len(diffs))]
		}
		means[i] = stat.Mean(draw, nil)
	}
	sort.Float64s(means)
	difference.Low, difference.High = stat.Quantile(0.025, stat.Empirical, means, nil),
		stat.Quantile(0.975, stat.Empirical, means, nil)
	return difference
}

// GroupByVariant groups rows by variant. names has the variants in the order of their first row.
func GroupByVariant(rows []Row) (names []string, byVariant map[string][]Row) {
	byVariant = map[string][]Row{}
	for _, r := range rows {
		if !slices.Contains(names, r.Arm) {
			names = append(names, r.Arm)
		}
		byVariant[r.Arm] = append(byVariant[r.Arm], r)
	}
	return names, byVariant
}

// RankCorrelation returns Spearman's rank correlation of two series.
func RankCorrelation(a, b []float64) float64 {
	return stat.Correlation(averageRanks(a), averageRanks(b), nil)
}

// averageRanks returns the rank of each value, from 0.
func averageRanks(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return values[order[i]] < values[order[j]] })
	averaged := make([]float64, len(values))
	for i := 0; i < len(order); {
		j := i
		for j < len(order) && values[order[j]] == values[order[i]] {
			j++
		}
		for _, n := range order[i:j] { // equal values share their mean rank
			averaged[n] = float64(i+j-1) / 2
		}
		i = j
	}
	return averaged
}

// ExperimentFile is the name of the file in a results directory that holds the seed and the text of
// the experiment.
const ExperimentFile = "experiment.textproto"

// ParseTitle returns the name and the question of an experiment from the content of ExperimentFile.
// Without a valid experiment, the title is a placeholder.
func ParseTitle(raw []byte) (title, question string) {
	_, raw, _ = bytes.Cut(raw, []byte("\n")) // the line with the seed
	experiment := &site.Experiment{}
	if prototext.Unmarshal(raw, experiment) != nil {
		return "Experiment", ""
	}
	return experiment.Name, experiment.Question
}
