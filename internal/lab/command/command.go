// Package command is the laboratory's command line. It is a program of its own, which `oatfold lab` starts: what it links (plots,
// columnar files, statistics) has no place in the memory of a relay.
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

// The exit codes.
const (
	exitError = 1 // the message says what
	exitUsage = 2
	exitWorse = 3 // compare: an arm lost more than allowed
	exitBad   = 4 // a rule was broken, or a day was at fault
)

type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "oatfold lab", Short: "The laboratory: days in virtual time, experiments and reports", SilenceErrors: true, SilenceUsage: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		fmt.Fprintln(errOut, err)
		return exit(exitUsage)
	})
	root.AddCommand(dayCommand(), daysCommand(), runCommand(), reportCommand(), compareCommand(), agreeCommand(), growthCommand(), auditCommand(), loadCommand(), saturateCommand(), forwardCommand(), fleetCommand(), membersCommand(), subsetsCommand(), siteCommand(), overloadCommand(), capacityCommand(), lossesCommand(), assignmentCommand())
	err := root.ExecuteContext(ctx)
	var code exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintln(errOut, "oatfold lab:", err)
	return exitError
}

// readDay reads a script, or a day as the operators' simulator prints it.
func readDay(file, base string, seed uint64) (*emu.Scenario, error) {
	if strings.HasSuffix(file, ".json") {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		day, err := site.ReadSimulatorScenario(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		return day, nil
	}
	s, err := site.ReadScript(file)
	if err != nil {
		return nil, err
	}
	var on *site.Site
	if s.Site == "" || base != "" {
		if on, err = site.ReadSite(base); err != nil {
			return nil, err
		}
		s.Site = ""
	}
	day, err := s.DrawScenario(on, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return day, nil
}

func dayCommand() *cobra.Command {
	var seed uint64
	var base string
	var whole bool
	cmd := &cobra.Command{Use: "day FILE", Short: "Play one day: a script, or a day of the operators' simulator (.json)", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			day, err := readDay(args[0], base, seed)
			if err != nil {
				return err
			}
			began := time.Now()
			res, err := emu.Run(day, emu.Options{})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%.0f times as fast as the clock\n", day.Length.Seconds()/time.Since(began).Seconds())
			if whole {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				if err := e.Encode(res); err != nil {
					return err
				}
			} else {
				printDay(cmd.OutOrStdout(), day, res)
			}
			if !res.Passed() {
				return exit(exitBad)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().StringVar(&base, "site", "", "site in place of the script's own")
	cmd.Flags().BoolVar(&whole, "json", false, "print all figures")
	return cmd
}

func printDay(out io.Writer, day *emu.Scenario, r *emu.Result) {
	fmt.Fprintf(out, "%s, seed %d: %d relays of %d slots, %d destinations, %d messages\n", r.Day, r.Seed, day.Relays, day.MaxConcurrentCalls, len(day.Dests), r.Requests)
	fmt.Fprintf(out, "G %.4f: worth %.4f, worst 10 s %.4f, worst class %.4f\n", r.G, r.Whole, r.WorstWindow, r.WorstClass)
	fmt.Fprintf(out, "delivered %d (%d in their aim), handed back %d, given up %d, lost %d; refusals %d, turned away %d\n", r.Delivered, r.InAim, r.HandedBack, r.GivenUp, r.Lost, r.Refusals, r.TurnedAway)
	fmt.Fprintf(out, "calls %d (%d refused), connections %d; p50 %.3f s, p99 %.3f s\n", r.Calls, r.RefusedCalls, r.Connections,
		float64(r.Latency.ValueAtPercentile(50))/1e6, float64(r.Latency.ValueAtPercentile(99))/1e6)
	for _, f := range r.Floors(day) {
		under := ""
		if f.Missed() {
			under = ", neglected"
		}
		fmt.Fprintf(out, "%s: served %.3f, at least %.2f is wanted%s\n", f.Name, f.Served, f.Minimum, under)
	}
	for _, b := range r.Breaks {
		fmt.Fprintln(out, "broken:", b)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
}

func daysCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{Use: "days DIR", Short: "Play every script of a folder and print a line for each", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := filepath.Glob(filepath.Join(args[0], "*"+site.FileExt))
			if err == nil && len(files) == 0 {
				err = fmt.Errorf("%s: no scripts (*%s)", args[0], site.FileExt)
			}
			if err != nil {
				return err
			}
			type played struct {
				title string
				res   *emu.Result
				err   error
			}
			all := make([]played, len(files))
			each(len(files), func(i int) {
				s, err := site.ReadScript(files[i])
				if err == nil {
					var day *emu.Scenario
					if day, err = s.DrawScenario(nil, seed); err == nil {
						all[i].res, err = emu.Run(day, emu.Options{})
					}
					all[i].title = s.Title
				}
				all[i].err = err
			})
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "day\tG\tworst 10 s\thanded back\tgiven up\trefused calls\trules\twhat")
			bad := false
			for i, p := range all {
				if p.err != nil {
					return fmt.Errorf("%s: %w", files[i], p.err)
				}
				state := "kept"
				if !p.res.Passed() {
					bad, state = true, "BROKEN"
				}
				r := p.res
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%d\t%d\t%s\t%s\n", r.Day, r.G, r.WorstWindow, r.HandedBack, r.GivenUp, r.RefusedCalls, state, p.title)
			}
			if w.Flush(); bad {
				return exit(exitBad)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	return cmd
}

// each runs do for all numbers under n, side by side.
func each(n int, do func(i int)) {
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

func runCommand() *cobra.Command {
	var seed uint64
	var dir string
	cmd := &cobra.Command{Use: "run FILE --out DIR", Short: "Play an experiment; one that was interrupted goes on", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			const width = 40
			shown := -1
			err := study.Run(cmd.Context(), args[0], seed, dir, func(n, of int) {
				if bar := width * n / of; bar != shown {
					shown = bar
					fmt.Fprintf(cmd.ErrOrStderr(), "\r[%-*s] %d of %d days", width, strings.Repeat("#", bar), n, of)
				}
				if n == of {
					fmt.Fprintln(cmd.ErrOrStderr())
				}
			})
			if err != nil {
				return err
			}
			return table(cmd.OutOrStdout(), dir, "")
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().StringVar(&dir, "out", "", "folder for the results")
	cmd.MarkFlagRequired("out")
	return cmd
}

// table prints each arm beside the baseline.
func table(out io.Writer, dir, base string) error {
	res, err := study.Read(dir)
	if err != nil {
		return err
	}
	names, by := study.GroupByVariant(res.Rows)
	if base == "" {
		base = names[0]
	}
	bad := int64(0)
	for _, r := range res.Rows {
		if r.Broken+r.Faults > 0 {
			bad++
			fmt.Fprintf(out, "%s, %s, seed %d: %s\n", r.Arm, r.Day, r.Seed, r.FirstOfBroken)
		}
	}
	for _, n := range names {
		if n != base {
			differences(out, base, study.Compare(by[base], by[n]))
		}
	}
	if bad > 0 {
		return fmt.Errorf("%w: %d", study.ErrRunsFailed, bad)
	}
	return nil
}

func differences(out io.Writer, base string, all []study.Difference) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i, d := range all {
		if i == 0 {
			fmt.Fprintf(w, "measure\t%s\t%s\tdifference\t95 of 100\tpairs\t\n", base, d.Arm)
		}
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d\t\n", d.Measure, d.Base, d.Mean, d.Diff, d.Low, d.High, d.Pairs)
	}
	w.Flush()
}

func reportCommand() *cobra.Command {
	var file, base string
	cmd := &cobra.Command{Use: "report DIR --out FILE.html", Short: "Write results as one page of HTML", Args: cobra.ExactArgs(1),
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
	cmd.Flags().StringVar(&file, "out", "", "file to write")
	cmd.Flags().StringVar(&base, "baseline", "", "arm that the others are compared with (default the first)")
	cmd.MarkFlagRequired("out")
	return cmd
}

func compareCommand() *cobra.Command {
	var loss float64
	cmd := &cobra.Command{Use: "compare DIR DIR", Short: "Compare two runs of the same days; exit code 3 where the second lost more than allowed", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var rows [2][]study.Row
			for i, dir := range args {
				res, err := study.Read(dir)
				if err != nil {
					return err
				}
				rows[i] = res.Rows
			}
			names, was := study.GroupByVariant(rows[0])
			_, is := study.GroupByVariant(rows[1])
			worse, pairs := false, 0
			for _, n := range names {
				if len(is[n]) == 0 {
					continue
				}
				diffs := study.Compare(was[n], is[n])
				fmt.Fprintf(cmd.OutOrStdout(), "arm %s\n", n)
				differences(cmd.OutOrStdout(), "before", diffs)
				for _, d := range diffs {
					pairs += d.Pairs
					if d.Measure == "G" && d.Diff < -loss || d.Measure == "rules broken" && d.Diff > 0 {
						worse = true
					}
				}
			}
			if pairs == 0 {
				return errors.New("the two runs have no day in common")
			}
			if worse {
				return exit(exitWorse)
			}
			return nil
		}}
	cmd.Flags().Float64Var(&loss, "loss", 0.01, "the most that the mean G may lose")
	return cmd
}

// agreeCommand holds the emulator against the operators' simulator: for each day NAME.json there is its result, NAME.result.json.
func agreeCommand() *cobra.Command {
	return &cobra.Command{Use: "agree DIR", Short: "Compare results with the operators' simulator's, for days NAME.json beside NAME.result.json", Args: cobra.ExactArgs(1),
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
			each(len(files), func(i int) {
				name := strings.TrimSuffix(files[i], ".result.json")
				raw, err := os.ReadFile(files[i])
				if err == nil {
					var day *emu.Scenario
					if day, err = readDay(name+".json", "", 0); err == nil {
						var res *emu.Result
						if res, err = emu.Run(day, emu.Options{}); err == nil {
							all[i] = pair{name: filepath.Base(name), sim: gjson.GetBytes(raw, "g").Float(), emu: res.G, broken: len(res.Breaks) + len(res.Faults)}
						}
					}
				}
				errs[i] = err
			})
			if err := errors.Join(errs...); err != nil {
				return err
			}
			if len(all) < 3 {
				return fmt.Errorf("%s: %d days with results, at least 3 are needed", args[0], len(all))
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
			fmt.Fprintf(cmd.OutOrStdout(), "rank correlation %.3f over %d days\n", study.RankCorrelation(a, b), len(all))
			return nil
		}}
}

// growthCommand plays the same traffic a destination at growing sizes.
func growthCommand() *cobra.Command {
	var sizes []int
	var base string
	var relays int
	var perDest, length float64
	cmd := &cobra.Command{Use: "growth", Short: "How the emulator's time and memory grow with the number of destinations", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := site.ReadSite(base)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "destinations\trelays\tmessages\tsteps\treal s\tsimulated/real\tus a message\tMB in use\tG\t")
			for _, n := range sizes {
				r := max(2, relays*n/sizes[len(sizes)-1])
				s.Destinations, s.Relays, s.LengthS = &site.Range{From: float64(n)}, &site.Range{From: float64(r)}, &site.Range{From: length}
				s.Rate, s.Load, s.TailS = &site.Range{From: perDest / 0.8}, &site.Range{From: 0.8}, &site.Range{From: 30}
				day, err := s.DrawScenario(1)
				if err != nil {
					return err
				}
				runtime.GC()
				var peak runtime.MemStats
				began := time.Now()
				res, err := emu.Run(day, emu.Options{})
				if err != nil {
					return err
				}
				took := time.Since(began)
				runtime.ReadMemStats(&peak)
				fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.0f\t%.3f\t\n", n, r, res.Requests, res.Steps, took.Seconds(), length/took.Seconds(),
					float64(took.Microseconds())/float64(max(1, res.Requests)), float64(peak.HeapSys)/1e6, res.G)
				w.Flush()
			}
			return nil
		}}
	cmd.Flags().IntSliceVar(&sizes, "destinations", []int{30, 300, 3000, 10000}, "sizes, growing")
	cmd.Flags().IntVar(&relays, "relays", 200, "relays at the largest size; fewer in proportion before")
	cmd.Flags().StringVar(&base, "site", "lab/site.textproto", "site")
	cmd.Flags().Float64Var(&perDest, "rate", 2, "messages a second for a destination")
	cmd.Flags().Float64Var(&length, "length", 5, "simulated seconds")
	return cmd
}
