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

// runResult is one day to play under one arm, and what came of it.
type runResult struct {
	Row     Row      `json:"row"`
	Seconds []Second `json:"seconds"`
	Dests   []Dest   `json:"dests"`
}

// ErrRunsFailed says that a rule was broken or that something else than the arms' figures went wrong on some day.
var ErrRunsFailed = errors.New("rules broken or days at fault")

// PolicyFactories are the modules that arms may name.
var PolicyFactories = map[string]emu.PolicyFactory{
	"": emu.DefaultPolicy, "service": emu.DefaultPolicy,
	"half-share": withDestinationShare(0.5),
}

// withDestinationShare makes the module in service with another share of the slots for one destination.
func withDestinationShare(maxShare float64) emu.PolicyFactory {
	return func(settings policy.Settings, seed int64) (emu.PolicyEngine, error) {
		settings.MaxDestinationShare = maxShare
		return emu.DefaultPolicy(settings, seed)
	}
}

// Run plays the experiment of a file into dir. done is told of each day that has ended; the same file and seed give the same files.
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
			return fmt.Errorf("%s: arm[%d].module: no variant is called %q", file, i, a.Module)
		}
	}
	runsDir := filepath.Join(dir, "days")
	if err := os.MkdirAll(runsDir, 0o755); err != nil {
		return err
	}
	// A folder belongs to one experiment and seed: another one's days must not be taken for its own.
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
		script  int // of scripts; -1: drawn
		seed    uint64
		file    string
	}
	var jobs []job
	for n := range int(experiment.Repeats) {
		scenarioSeed := rand.New(rand.NewPCG(seed, uint64(n))).Uint64() >> 1 // columns of results hold signed numbers in some readers
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

// drawScenario draws a day of the site with some of the experiment's troubles.
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
	if variant.OneSender { // who sees all that the fleet sees, and has its slots
		scenario.MaxConcurrentCalls, scenario.MaxPending, scenario.Relays, scenario.HotRelayFactor, scenario.Membership, scenario.Gossip = scenario.MaxConcurrentCalls*scenario.Relays, scenario.MaxPending*scenario.Relays, 1, 0, false, false
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
		result.Dests = append(result.Dests, Dest{Dest: int32(i), Requests: int64(d.Requests), Delivered: int64(d.Delivered), Calls: int64(d.Calls), Rejected: int64(d.Refused), Asked: d.Asked, Served: d.Served})
	}
	return nil
}

// NewRow is the row of a day that was played under an arm.
func NewRow(variant string, res *emu.Result) Row {
	violations := int64(0)
	for _, n := range res.Broken {
		violations += int64(n)
	}
	row := Row{Arm: variant, Day: res.Day, Seed: res.Seed, G: res.G, Whole: res.Whole, WorstWindow: res.WorstWindow, WorstClass: res.WorstClass,
		Requests: int64(res.Requests), Delivered: int64(res.Delivered), InAim: int64(res.InAim), GivenUp: int64(res.GivenUp), HandedBack: int64(res.HandedBack), Lost: int64(res.Lost),
		Refusals: int64(res.Refusals), Calls: int64(res.Calls), RefusedCalls: int64(res.RefusedCalls), Connections: int64(res.Connections),
		P50Us: res.Latency.ValueAtPercentile(50), P99Us: res.Latency.ValueAtPercentile(99), Steps: int64(res.Steps), Events: int64(res.Events),
		Probes: int64(res.Probes), NoteBytes: int64(res.NoteBytes), FairRelays: res.FairRelays, FairDests: res.FairDests,
		Broken: violations, Faults: int64(len(res.Faults))}
	if len(res.Breaks) > 0 {
		row.FirstOfBroken = res.Breaks[0].String()
	} else if len(res.Faults) > 0 {
		row.FirstOfBroken = res.Faults[0]
	}
	return row
}

// saveResult writes a file whole or not at all, so that an interrupted run leaves no half of one.
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

// bootstrapResamples is how often pairs are drawn anew for an interval.
const bootstrapResamples = 2000

// Compare pairs the rows of two arms by day and seed.
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

// ComparePairs holds a measure of an arm against the baseline's, pair by pair.
func ComparePairs(measure, variant string, base, compared []float64) Difference {
	diffs := make([]float64, len(base))
	for i := range base {
		diffs[i] = compared[i] - base[i]
	}
	difference := Difference{Measure: measure, Arm: variant, Base: stat.Mean(base, nil), Mean: stat.Mean(compared, nil), Diff: stat.Mean(diffs, nil), Pairs: len(diffs)}
	rng := rand.New(rand.NewPCG(1, uint64(len(diffs))))
	means, draw := make([]float64, bootstrapResamples), make([]float64, len(diffs))
	for i := range means {
		for j := range draw {
			draw[j] = diffs[rng.IntN(len(diffs))]
		}
		means[i] = stat.Mean(draw, nil)
	}
	sort.Float64s(means)
	difference.Low, difference.High = stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
	return difference
}

// GroupByVariant splits rows by arm, in the order of their first row.
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

// RankCorrelation is Spearman's rank correlation of two series.
func RankCorrelation(a, b []float64) float64 {
	return stat.Correlation(averageRanks(a), averageRanks(b), nil)
}

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
		for _, n := range order[i:j] { // equal values share the middle of their ranks
			averaged[n] = float64(i+j-1) / 2
		}
		i = j
	}
	return averaged
}

// ExperimentFile is the file of a folder of results that tells which experiment and seed they are of.
const ExperimentFile = "experiment.textproto"

// ParseTitle are the name and the question of an experiment, from its text.
func ParseTitle(raw []byte) (title, question string) {
	_, raw, _ = bytes.Cut(raw, []byte("\n")) // the line of the seed
	experiment := &site.Experiment{}
	if prototext.Unmarshal(raw, experiment) != nil {
		return "Experiment", ""
	}
	return experiment.Name, experiment.Question
}
