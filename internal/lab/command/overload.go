package command

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oatfold/internal/lab/emu"
	"oatfold/internal/lab/overload"
)

// overloadCommand measures how fleets share the limit of a destination that is offered more than
// its capacity.
func overloadCommand() *cobra.Command {
	var quick, failing bool
	var out, plotFile string
	config, cells := overload.DefaultConfig(), overload.FullMatrix()
	cmd := &cobra.Command{Use: "overload",
		Short: "Measure how well fleets use the limit of an overloaded destination, and how fast they recover",
		Args:  cobra.NoArgs}
	limits := matrixFlags(cmd.Flags(), &cells)
	configFlags(cmd.Flags(), &config)
	cmd.Flags().BoolVar(&quick, "quick", false, "a small part of the matrix; dimensions set by flags are kept")
	cmd.Flags().BoolVar(&failing, "failing", false, "print only the cells that are out of bounds")
	cmd.Flags().StringVar(&out, "out", "", "write a row for each cell to a Parquet `file`")
	cmd.Flags().StringVar(&plotFile, "plot", "", "plot goodput over load as an SVG `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if quick {
			useQuickMatrix(&cells, cmd.Flags())
		}
		if cmd.Flags().Changed("limit") {
			if err := setLimits(&cells, *limits); err != nil {
				return err
			}
		}
		rows, err := runCells(cells.Cells(), config)
		if err != nil {
			return err
		}
		if err := writeRows(out, rows); err != nil {
			return err
		}
		if plotFile != "" {
			if err := overload.Plot(plotFile, rows); err != nil {
				return err
			}
		}
		printOverload(cmd.OutOrStdout(), rows, failing)
		if slices.ContainsFunc(rows, func(r overload.Row) bool { return r.Violations+r.Faults > 0 }) {
			return exitCode(exitFailed)
		}
		return nil
	}
	return cmd
}

// matrixFlags adds a flag for each dimension. It returns the names of limits, which are parsed when
// the command runs.
func matrixFlags(f *pflag.FlagSet, m *overload.Matrix) (limits *[]string) {
	f.IntSliceVar(&m.Batches, "batch", m.Batches, "maximum messages per call")
	f.IntSliceVar(&m.Relays, "senders", m.Relays, "relays")
	f.IntSliceVar(&m.Routes, "routes", m.Routes, "endpoints with a limit each; 1: one limit for the destination")
	f.Float64SliceVar(&m.Loads, "load", m.Loads, "offered messages, as multiples of the destination's capacity")
	limits = f.StringSlice("limit", []string{"rate", "window"}, "kinds of limit: rate, window")
	f.BoolSliceVar(&m.CountsRejected, "counted", m.CountsRejected, "rejected calls use up the limit")
	f.BoolSliceVar(&m.ReportsLimit, "report", m.ReportsLimit, "answers report the limit")
	f.BoolSliceVar(&m.SendsRetryAfter, "wait", m.SendsRetryAfter, "rejections carry a Retry-After")
	f.BoolSliceVar(&m.Gossip, "notes", m.Gossip, "relays exchange gossip")
	return limits
}

func configFlags(f *pflag.FlagSet, config *overload.Config) {
	f.Uint64Var(&config.Seed, "seed", config.Seed, "random seed")
	f.Float64Var(&config.Limit, "calls", config.Limit,
		"calls per second that the destination accepts over all routes; 0: at each route 8, or 3 times the square root of the number of relays if that is more")
	f.DurationVar(&config.TargetLatency, "aim", config.TargetLatency, "target latency of messages")
	f.DurationVar(&config.Deadline, "deadline", config.Deadline, "time after which messages are given up")
	f.IntVar(&config.ClientRetries, "retries", config.ClientRetries, "retries of a client after a rejection")
	f.Float64Var(&config.LoweredShare, "lowered", config.LoweredShare,
		"share of the limit that applies during the overload")
	f.Float64Var(&config.SurgeFactor, "surge", config.SurgeFactor, "multiple of the load during the overload")
}

// useQuickMatrix switches to the quick matrix in all dimensions that are not set by flags.
func useQuickMatrix(m *overload.Matrix, f *pflag.FlagSet) {
	quick, given := overload.QuickMatrix(), *m
	*m = quick
	for name, keep := range map[string]func(){
		"batch": func() { m.Batches = given.Batches }, "senders": func() { m.Relays = given.Relays },
		"routes": func() { m.Routes = given.Routes },
		"load":   func() { m.Loads = given.Loads }, "counted": func() { m.CountsRejected = given.CountsRejected },
		"report": func() { m.ReportsLimit = given.ReportsLimit },
		"wait":   func() { m.SendsRetryAfter = given.SendsRetryAfter }, "notes": func() { m.Gossip = given.Gossip },
	} {
		if f.Changed(name) {
			keep()
		}
	}
}

func setLimits(m *overload.Matrix, names []string) error {
	m.Limits = nil
	for _, name := range names {
		l, known := overload.LimitNames[name]
		if !known {
			return fmt.Errorf("limit: %q is neither rate nor window", name)
		}
		m.Limits = append(m.Limits, l)
	}
	return nil
}

// runCells runs all cells in parallel and returns their rows in the same order.
func runCells(cells []overload.Cell, config overload.Config) ([]overload.Row, error) {
	rows, errs := make([]overload.Row, len(cells)), make([]error, len(cells))
	runParallel(len(cells), func(i int) { rows[i], errs[i] = overload.Run(cells[i], config, emu.DefaultPolicy) })
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", cells[i], err)
		}
	}
	return rows, nil
}

// printOverload prints the rows, or only those out of bounds, with a summary and the rule
// violations.
func printOverload(out io.Writer, rows []overload.Row, failing bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "batch\tsenders\troutes\tlimit\tcounted\treport\twait\tnotes\tload\tgoodput\tcalls a s\tof limit\tmessages a call\trefused a call\trecovery s\tbounds\t")
	outOfBounds := 0
	for _, r := range rows {
		state := "kept"
		if !r.WithinBounds() {
			outOfBounds++
			state = "OUT"
		} else if failing {
			continue
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%g\t%.3f\t%.1f\t%.2f\t%.1f\t%.2f\t%s\t%s\t\n", r.Batch,
			r.Relays, r.Routes, r.Limit,
			yesNo(r.CountsRejected), yesNo(r.ReportsLimit), yesNo(r.SendsRetryAfter), yesNo(r.Gossip), r.Load,
			r.Goodput, r.Calls, r.Calls/r.CallLimit,
			r.MessagesPerCall, r.RejectedPerCall, formatRecovery(r), state)
	}
	w.Flush()
	fmt.Fprintf(out, "%d of %d cells are out of bounds: goodput at least %g, recovery within %v\n", outOfBounds,
		len(rows), overload.MinGoodput, overload.MaxRecovery)
	for _, r := range rows {
		if r.FirstProblem != "" {
			fmt.Fprintf(out, "violation: batch %d, senders %d, load %g: %s\n", r.Batch, r.Relays, r.Load,
				r.FirstProblem)
		}
	}
}

func formatRecovery(r overload.Row) string {
	if !r.Recovered {
		return "never"
	}
	return fmt.Sprintf("%.2f", time.Duration(r.RecoverySeconds*float64(time.Second)).Seconds())
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
