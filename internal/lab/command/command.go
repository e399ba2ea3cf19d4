// Package command is the command line of the laboratory. It is a separate program, started by
// `oatfold lab`, so that relays do not load plotting, Parquet and statistics packages.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/report"
	"oatfold/internal/lab/site"
	"oatfold/internal/lab/study"
)

// Exit codes.
const (
	exitError      = 1 // with a message
	exitUsage      = 2
	exitRegression = 3 // compare: a variant regressed by more than allowed
	exitFailed     = 4 // a rule was violated, or a run had a fault
)

// exitCode is an error that sets the exit code and prints no message.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "oatfold lab", Short: "Run scenarios in virtual time, experiments and reports",
		SilenceErrors: true, SilenceUsage: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		fmt.Fprintln(errOut, err)
		return exitCode(exitUsage)
	})
	root.AddCommand(dayCommand(), daysCommand(), runCommand(), reportCommand(), compareCommand(), agreeCommand(),
		growthCommand(), journalExportCommand(), loadCommand(), saturateCommand(), forwardCommand(), fleetCommand(),
		membersCommand(), subsetsCommand(), siteCommand(), overloadCommand(), capacityCommand(), lossesCommand(),
		assignmentCommand())
	err := root.ExecuteContext(ctx)
	var code exitCode
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintln(errOut, "oatfold lab:", err)
	return exitError
}

// readScenario reads a script, or a scenario in the JSON format of the operators' simulator. base
// replaces the script's own site.
func readScenario(file, base string, seed uint64) (*emu.Scenario, error) {
	if strings.HasSuffix(file, ".json") {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		scenario, err := site.ReadSimulatorScenario(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return scenario, nil
	}
	script, err := site.ReadScript(file)
	if err != nil {
		return nil, err
	}
	var baseSite *site.Site
	if script.Site == "" || base != "" {
		if baseSite, err = site.ReadSite(base); err != nil {
			return nil, err
		}
		script.Site = ""
	}
	scenario, err := script.DrawScenario(baseSite, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return scenario, nil
}

// dayCommand runs one scenario.
func dayCommand() *cobra.Command {
	var seed uint64
	var base string
	var printJSON bool
	cmd := &cobra.Command{Use: "day FILE",
		Short: "Run one scenario: a script, or a scenario of the operators' simulator (.json)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := readScenario(args[0], base, seed)
			if err != nil {
				return err
			}
			start := time.Now()
			res, err := emu.Run(scenario, emu.Options{})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%.0f times real time\n",
				scenario.Length.Seconds()/time.Since(start).Seconds())
			if printJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				if err := e.Encode(res); err != nil {
					return err
				}
			} else {
				printScenario(cmd.OutOrStdout(), scenario, res)
			}
			if !res.Passed() {
				return exitCode(exitFailed)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().StringVar(&base, "site", "", "site `file` to use in place of the script's own")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print all results as JSON")
	return cmd
}

// printScenario prints a summary of a scenario run.
func printScenario(out io.Writer, scenario *emu.Scenario, r *emu.Result) {
	fmt.Fprintf(out, "%s, seed %d: %d relays with %d concurrent calls each, %d destinations, %d messages\n", r.Day,
		r.Seed, scenario.Relays, scenario.MaxConcurrentCalls, len(scenario.Dests), r.Requests)
	fmt.Fprintf(out, "G %.4f: value %.4f, worst 10 s %.4f, worst class %.4f\n", r.G, r.Whole, r.WorstWindow,
		r.WorstClass)
	fmt.Fprintf(out, "delivered %d (%d within their target latency), returned to the client %d, given up %d, lost %d; refusals %d, rejected %d\n",
		r.Delivered, r.InAim, r.HandedBack, r.GivenUp, r.Lost, r.Refusals, r.TurnedAway)
	fmt.Fprintf(out, "calls %d (%d rejected), connections %d; p50 %.3f s, p99 %.3f s\n",
		r.Calls, r.RefusedCalls, r.Connections,
		float64(r.Latency.ValueAtPercentile(50))/1e6, float64(r.Latency.ValueAtPercentile(99))/1e6)
	for _, f := range r.Floors(scenario) {
		missed := ""
		if f.Missed() {
			missed = ", missed"
		}
		fmt.Fprintf(out, "%s: served %.3f, wanted at least %.2f%s\n", f.Name, f.Served, f.Minimum, missed)
	}
	for _, b := range r.Breaks {
		fmt.Fprintln(out, "broken:", b)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
}

// daysCommand runs the scripts of a directory.
func daysCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{Use: "days DIR", Short: "Run every script of a directory and print a line for each",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := filepath.Glob(filepath.Join(args[0], "*"+site.FileExt))
			if err == nil && len(files) == 0 {
				err = fmt.Errorf("%s: no scripts (*%s)", args[0], site.FileExt)
			}
			if err != nil {
				return err
			}
			type scriptRun struct {
				title string
				res   *emu.Result
				err   error
			}
			runs := make([]scriptRun, len(files))
			runParallel(len(files), func(i int) {
				script, err := site.ReadScript(files[i])
				if err == nil {
					var scenario *emu.Scenario
					if scenario, err = script.DrawScenario(nil, seed); err == nil {
						runs[i].res, err = emu.Run(scenario, emu.Options{})
					}
					runs[i].title = script.Title
				}
				runs[i].err = err
			})
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "day\tG\tworst 10 s\thanded back\tgiven up\trefused calls\trules\twhat")
			failed := false
			for i, p := range runs {
				if p.err != nil {
					return fmt.Errorf("%s: %w", files[i], p.err)
				}
				state := "kept"
				if !p.res.Passed() {
					failed, state = true, "BROKEN"
				}
				result := p.res
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%d\t%d\t%s\t%s\n", result.Day, result.G, result.WorstWindow,
					result.HandedBack, result.GivenUp, result.RefusedCalls, state, p.title)
			}
			if w.Flush(); failed {
				return exitCode(exitFailed)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	return cmd
}

// runParallel calls do for each number below n, on all CPUs.
func runParallel(n int, do func(i int)) {
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

// runCommand runs an experiment.
func runCommand() *cobra.Command {
	var seed uint64
	var dir string
	cmd := &cobra.Command{Use: "run FILE --out DIR", Short: "Run an experiment, or resume an interrupted one",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			const width = 40
			shown := -1
			err := study.Run(cmd.Context(), args[0], seed, dir, func(n, of int) {
				if bar := width * n / of; bar != shown {
					shown = bar
					fmt.Fprintf(cmd.ErrOrStderr(), "\r[%-*s] %d of %d runs", width, strings.Repeat("#", bar), n, of)
				}
				if n == of {
					fmt.Fprintln(cmd.ErrOrStderr())
				}
			})
			if err != nil {
				return err
			}
			return printComparison(cmd.OutOrStdout(), dir, "")
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().StringVar(&dir, "out", "", "results `directory`")
	cmd.MarkFlagRequired("out")
	return cmd
}

// printComparison prints the failed runs and a comparison of each variant with the baseline. It
// returns study.ErrRunsFailed if a run failed.
func printComparison(out io.Writer, dir, base string) error {
	res, err := study.Read(dir)
	if err != nil {
		return err
	}
	names, byVariant := study.GroupByVariant(res.Rows)
	if base == "" {
		base = names[0]
	}
	failed := int64(0)
	for _, r := range res.Rows {
		if r.Broken+r.Faults > 0 {
			failed++
			fmt.Fprintf(out, "%s, %s, seed %d: %s\n", r.Arm, r.Day, r.Seed, r.FirstOfBroken)
		}
	}
	for _, n := range names {
		if n != base {
			printDifferences(out, base, study.Compare(byVariant[base], byVariant[n]))
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d", study.ErrRunsFailed, failed)
	}
	return nil
}

// printDifferences prints a table of differences to the baseline.
func printDifferences(out io.Writer, base string, all []study.Difference) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i, d := range all {
		if i == 0 {
			fmt.Fprintf(w, "measure\t%s\t%s\tdifference\t95 of 100\tpairs\t\n", base, d.Arm)
		}
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d\t\n", d.Measure, d.Base, d.Mean, d.Diff, d.Low,
			d.High, d.Pairs)
	}
	w.Flush()
}

// reportCommand writes the HTML report of an experiment.
func reportCommand() *cobra.Command {
	var file, base string
	cmd := &cobra.Command{Use: "report DIR --out FILE.html", Short: "Write results as one HTML page",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := study.Read(args[0])
			if err != nil {
				return err
			}
			raw, err := os.ReadFile(filepath.Join(args[0], study.ExperimentFile))
			if err != nil {
				return err
			}
			title, question := study.ParseTitle(raw)
			f, err := os.Create(file)
			if err != nil {
				return err
			}
			err = report.Write(f, res, title, question, string(raw), base)
			return errors.Join(err, f.Close())
		}}
	cmd.Flags().StringVar(&file, "out", "", "output `file`")
	cmd.Flags().StringVar(&base, "baseline", "", "variant that the others are compared with (default the first)")
	cmd.MarkFlagRequired("out")
	return cmd
}

// compareCommand compares two runs of the same experiment.
func compareCommand() *cobra.Command {
	var loss float64
	cmd := &cobra.Command{Use: "compare DIR DIR",
		Short: "Compare two runs of the same scenarios; exit code 3 if the second regressed by more than allowed",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var rows [2][]study.Row
			for i, dir := range args {
				res, err := study.Read(dir)
				if err != nil {
					return err
				}
				rows[i] = res.Rows
			}
			names, before := study.GroupByVariant(rows[0])
			_, after := study.GroupByVariant(rows[1])
			regressed, pairs := false, 0
			for _, n := range names {
				if len(after[n]) == 0 {
					continue
				}
				diffs := study.Compare(before[n], after[n])
				fmt.Fprintf(cmd.OutOrStdout(), "variant %s\n", n)
				printDifferences(cmd.OutOrStdout(), "before", diffs)
				for _, d := range diffs {
					pairs += d.Pairs
					if d.Measure == "G" && d.Diff < -loss || d.Measure == "rules broken" && d.Diff > 0 {
						regressed = true
					}
				}
			}
			if pairs == 0 {
				return errors.New("the two runs have no scenario in common")
			}
			if regressed {
				return exitCode(exitRegression)
			}
			return nil
		}}
	cmd.Flags().Float64Var(&loss, "loss", 0.01, "largest regression of the mean G that is allowed")
	return cmd
}

// agreeCommand compares the emulator with the operators' simulator. Each scenario NAME.json needs
// the simulator's result in NAME.result.json.
func agreeCommand() *cobra.Command {
	return &cobra.Command{Use: "agree DIR",
		Short: "Compare results with those of the operators' simulator, for scenarios NAME.json with NAME.result.json",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := filepath.Glob(filepath.Join(args[0], "*.result.json"))
			if err != nil {
				return err
			}
			type pair struct {
				name     string
				sim, emu float64
				broken   int
			}
			all, errs := make([]pair, len(files)), make([]error, len(files))
			runParallel(len(files), func(i int) {
				name := strings.TrimSuffix(files[i], ".result.json")
				raw, err := os.ReadFile(files[i])
				if err == nil {
					var scenario *emu.Scenario
					if scenario, err = readScenario(name+".json", "", 0); err == nil {
						var res *emu.Result
						if res, err = emu.Run(scenario, emu.Options{}); err == nil {
							all[i] = pair{name: filepath.Base(name), sim: gjson.GetBytes(raw, "g").Float(),
								emu: res.G, broken: len(res.Breaks) + len(res.Faults)}
						}
					}
				}
				errs[i] = err
			})
			if err := errors.Join(errs...); err != nil {
				return err
			}
			if len(all) < 3 {
				return fmt.Errorf("%s: %d scenarios with results, at least 3 needed", args[0], len(all))
			}
			var a, b []float64
			for _, p := range all {
				a, b = append(a, p.sim), append(b, p.emu)
			}
			sort.SliceStable(all, func(i, j int) bool { return all[i].sim < all[j].sim })
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "day\tsimulator\temulator\tdifference\tbroken")
			for _, p := range all {
				fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%d\n", p.name, p.sim, p.emu, p.emu-p.sim, p.broken)
			}
			w.Flush()
			fmt.Fprintf(cmd.OutOrStdout(), "rank correlation %.3f over %d scenarios\n", study.RankCorrelation(a, b),
				len(all))
			return nil
		}}
}

// growthCommand runs the same traffic per destination at growing numbers of destinations.
func growthCommand() *cobra.Command {
	var sizes []int
	var base string
	var relays int
	var perDest, length float64
	cmd := &cobra.Command{Use: "growth",
		Short: "Measure how the emulator's time and memory grow with the number of destinations", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			baseSite, err := site.ReadSite(base)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "destinations\trelays\tmessages\tsteps\treal s\tsimulated/real\tus a message\tMB in use\tG\t")
			for _, n := range sizes {
				relayCount := max(2, relays*n/sizes[len(sizes)-1])
				baseSite.Destinations, baseSite.Relays, baseSite.LengthS = &site.Range{From: float64(n)},
					&site.Range{From: float64(relayCount)}, &site.Range{From: length}
				baseSite.Rate, baseSite.Load, baseSite.TailS = &site.Range{From: perDest / 0.8},
					&site.Range{From: 0.8}, &site.Range{From: 30}
				scenario, err := baseSite.DrawScenario(1)
				if err != nil {
					return err
				}
				runtime.GC()
				var peak runtime.MemStats
				start := time.Now()
				res, err := emu.Run(scenario, emu.Options{})
				if err != nil {
					return err
				}
				elapsed := time.Since(start)
				runtime.ReadMemStats(&peak)
				fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.0f\t%.3f\t\n", n, relayCount, res.Requests,
					res.Steps, elapsed.Seconds(), length/elapsed.Seconds(),
					float64(elapsed.Microseconds())/float64(max(1, res.Requests)), float64(peak.HeapSys)/1e6, res.G)
				w.Flush()
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&sizes, "destinations", []int{30, 300, 3000, 10000}, "numbers of destinations, ascending")
	cmd.Flags().IntVar(&relays, "relays", 200, "relays at the largest size; proportionally fewer below")
	cmd.Flags().StringVar(&base, "site", "lab/site.textproto", "site")
	cmd.Flags().Float64Var(&perDest, "rate", 2, "messages per second and destination")
	cmd.Flags().Float64Var(&length, "length", 5, "simulated seconds")
	return cmd
}
