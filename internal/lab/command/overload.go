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

// overloadCommand measures how fleets share the limit of a destination that is asked for more than it takes.
func overloadCommand() *cobra.Command {
	var quick, failing bool
	var out, plotFile string
	set, cells := overload.DefaultConfig(), overload.FullMatrix()
	cmd := &cobra.Command{Use: "overload", Short: "How much of a destination's limit fleets use that are asked for more, and how soon they recover", Args: cobra.NoArgs}
	limits := matrixFlags(cmd.Flags(), &cells)
	configFlags(cmd.Flags(), &set)
	cmd.Flags().BoolVar(&quick, "quick", false, "a part of the matrix that takes a few seconds; dimensions that are given hold")
	cmd.Flags().BoolVar(&failing, "failing", false, "print only the cells that are out of bounds")
	cmd.Flags().StringVar(&out, "out", "", "write a row for each cell into a Parquet `file`")
	cmd.Flags().StringVar(&plotFile, "plot", "", "draw goodput over load into an SVG `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if quick {
			narrow(&cells, cmd.Flags())
		}
		if cmd.Flags().Changed("limit") {
			if err := setLimits(&cells, *limits); err != nil {
				return err
			}
		}
		rows, err := playCells(cells.Cells(), set)
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
			return exit(exitBad)
		}
		return nil
	}
	return cmd
}

// matrixFlags adds a flag for each dimension. The names of limits are returned: they become values when the command runs.
func matrixFlags(f *pflag.FlagSet, m *overload.Matrix) (limits *[]string) {
	f.IntSliceVar(&m.Batches, "batch", m.Batches, "messages in one call at most")
	f.IntSliceVar(&m.Relays, "senders", m.Relays, "relays")
	f.IntSliceVar(&m.Routes, "routes", m.Routes, "endpoints with a limit each; 1: one limit for the destination")
	f.Float64SliceVar(&m.Loads, "load", m.Loads, "messages offered, as multiples of what the destination takes")
	limits = f.StringSlice("limit", []string{"rate", "window"}, "how calls are counted: rate, window")
	f.BoolSliceVar(&m.CountsRejected, "counted", m.CountsRejected, "refused calls use up the limit")
	f.BoolSliceVar(&m.ReportsLimit, "report", m.ReportsLimit, "answers tell of the limit")
	f.BoolSliceVar(&m.SendsRetryAfter, "wait", m.SendsRetryAfter, "refusals tell a wait")
	f.BoolSliceVar(&m.Gossip, "notes", m.Gossip, "relays tell one another what they see")
	return limits
}

func configFlags(f *pflag.FlagSet, set *overload.Config) {
	f.Uint64Var(&set.Seed, "seed", set.Seed, "what chance is drawn from")
	f.Float64Var(&set.Limit, "calls", set.Limit, "calls a second that the destination takes, over all routes; 0: at each route 8, or 3 times the square root of the senders if that is more")
	f.DurationVar(&set.TargetLatency, "aim", set.TargetLatency, "messages are wanted within it")
	f.DurationVar(&set.Deadline, "deadline", set.Deadline, "and given up after it")
	f.IntVar(&set.ClientRetries, "retries", set.ClientRetries, "of a client after a refusal")
	f.Float64Var(&set.LoweredShare, "lowered", set.LoweredShare, "share of the limit that is in force during the overload")
	f.Float64Var(&set.SurgeFactor, "surge", set.SurgeFactor, "multiple of the load during the overload")
}

// narrow keeps to the quick matrix in all dimensions that no flag names.
func narrow(m *overload.Matrix, f *pflag.FlagSet) {
	quick, given := overload.QuickMatrix(), *m
	*m = quick
	for name, keep := range map[string]func(){
		"batch": func() { m.Batches = given.Batches }, "senders": func() { m.Relays = given.Relays }, "routes": func() { m.Routes = given.Routes },
		"load": func() { m.Loads = given.Loads }, "counted": func() { m.CountsRejected = given.CountsRejected }, "report": func() { m.ReportsLimit = given.ReportsLimit },
		"wait": func() { m.SendsRetryAfter = given.SendsRetryAfter }, "notes": func() { m.Gossip = given.Gossip },
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

// playCells plays all cells side by side; rows are in the order of the cells.
func playCells(cells []overload.Cell, set overload.Config) ([]overload.Row, error) {
	rows, errs := make([]overload.Row, len(cells)), make([]error, len(cells))
	each(len(cells), func(i int) { rows[i], errs[i] = overload.Run(cells[i], set, emu.DefaultPolicy) })
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", cells[i], err)
		}
	}
	return rows, nil
}

// printOverload prints a line for each row, or for each that is out of bounds, and how many are.
func printOverload(out io.Writer, rows []overload.Row, failing bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "batch\tsenders\troutes\tlimit\tcounted\treport\twait\tnotes\tload\tgoodput\tcalls a s\tof limit\tmessages a call\trefused a call\trecovery s\tbounds\t")
	bad := 0
	for _, r := range rows {
		state := "kept"
		if !r.WithinBounds() {
			bad++
			state = "OUT"
		} else if failing {
			continue
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%g\t%.3f\t%.1f\t%.2f\t%.1f\t%.2f\t%s\t%s\t\n", r.Batch, r.Relays, r.Routes, r.Limit,
			yesNo(r.CountsRejected), yesNo(r.ReportsLimit), yesNo(r.SendsRetryAfter), yesNo(r.Gossip), r.Load, r.Goodput, r.Calls, r.Calls/r.CallLimit,
			r.MessagesPerCall, r.RejectedPerCall, recoveryText(r), state)
	}
	w.Flush()
	fmt.Fprintf(out, "%d of %d cells are out of bounds: goodput at least %g, recovery within %v\n", bad, len(rows), overload.MinGoodput, overload.MaxRecovery)
	for _, r := range rows {
		if r.FirstProblem != "" {
			fmt.Fprintf(out, "broken: batch %d, senders %d, load %g: %s\n", r.Batch, r.Relays, r.Load, r.FirstProblem)
		}
	}
}

func recoveryText(r overload.Row) string {
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
