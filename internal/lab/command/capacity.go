package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/capacity"
)

// capacityCommand measures how a relay's state and traffic grow.
func capacityCommand() *cobra.Command {
	var names []string
	var seed uint64
	var short bool
	var out, plotFile, plotUnit string
	cmd := &cobra.Command{Use: "capacity",
		Short: "Measure what one more destination, message, ordering key or member costs a relay", Args: cobra.NoArgs}
	cmd.Flags().StringSliceVar(&names, "quantity", nil, "measure only the named quantities")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().BoolVar(&short, "short", false, "use small sizes")
	cmd.Flags().StringVar(&out, "out", "", "write a row for each measurement to a Parquet `file`")
	cmd.Flags().StringVar(&plotFile, "plot", "", "plot values over sizes as an SVG `file`")
	cmd.Flags().StringVar(&plotUnit, "plot-unit", "bytes", "unit of the quantities to plot")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		quantities, err := capacity.FindQuantities(names)
		if err != nil {
			return err
		}
		points, slopes, err := measureAll(quantities, short, seed, cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if err := writeRows(out, points); err != nil {
			return err
		}
		if plotFile != "" {
			if err := capacity.Plot(plotFile, plotUnit, points); err != nil {
				return err
			}
		}
		if over := printFits(cmd.OutOrStdout(), slopes); over > 0 {
			return exitCode(exitFailed)
		}
		return nil
	}
	return cmd
}

// measureAll measures the quantities one after another, since they share one heap.
func measureAll(quantities []capacity.Quantity, short bool, seed uint64, progress io.Writer) (points []capacity.Point,
	slopes []capacity.LinearFit, err error) {
	for _, q := range quantities {
		fmt.Fprintf(progress, "measuring %s ...\n", q.Name)
		sizes := q.Sizes
		if short {
			sizes = q.ShortSizes
		}
		measured, slope, err := capacity.Run(q, sizes, seed)
		if err != nil {
			return nil, nil, err
		}
		points, slopes = append(points, measured...), append(slopes, slope)
	}
	return points, slopes, nil
}

// printFits prints a line for each fit and returns the number of slopes above their bounds.
func printFits(out io.Writer, slopes []capacity.LinearFit) (over int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "quantity\tfrom\tto\tof\teach\tunit\tat none\tresidual\tbound\t")
	for _, s := range slopes {
		bound := "-"
		if s.MaxSlope > 0 {
			bound = fmt.Sprintf("%.1f", s.MaxSlope)
		}
		if s.CheckBound() != nil {
			over++
			bound += " OVER"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.3f\t%s\t%.0f\t%.2f\t%s\t\n", s.Name, s.MinSize, s.MaxSize, s.Per, s.Slope,
			s.Unit, s.Intercept, s.Residual, bound)
	}
	w.Flush()
	return over
}
