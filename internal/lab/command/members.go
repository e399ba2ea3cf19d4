package command

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"oatfold/internal/lab/gossip"
)

// membersCommand measures how fleets of growing sizes detect failures.
func membersCommand() *cobra.Command {
	var sizes []int
	var losses []float64
	var seed uint64
	var printJSON bool
	var plotFile string
	cmd := &cobra.Command{Use: "members",
		Short: "Measure failure detection in fleets: delay, false positives and traffic", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 2 || n > 4000 {
					return fmt.Errorf("relays: %d is not within 2 and 4000", n)
				}
			}
			for _, l := range losses {
				if !(l >= 0 && l < 1) {
					return fmt.Errorf("loss: %g is not within 0 and 1", l)
				}
			}
			measurements := make([]gossip.Measurement, len(sizes)*len(losses))
			var alternatives []gossip.Evaluation
			runParallel(len(measurements), func(i int) {
				n := sizes[i/len(losses)]
				measurements[i] = gossip.Measure(gossip.Config{Relays: n, Zones: 3, Loss: losses[i%len(losses)],
					Seed: seed}, max(1, n/10), time.Minute, 40*time.Second)
			})
			for _, n := range sizes {
				for _, l := range losses {
					for _, alternative := range gossip.Alternatives {
						alternatives = append(alternatives, gossip.EvaluateAlternative(alternative, n, l, seed))
					}
				}
			}
			if plotFile != "" {
				if err := plotMembers(plotFile, measurements); err != nil {
					return err
				}
			}
			out := cmd.OutOrStdout()
			if printJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				return e.Encode(struct {
					Members []gossip.Measurement `json:"members"`
					Others  []gossip.Evaluation  `json:"others"`
				}{measurements, alternatives})
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "relays\tloss\tdie\tfirst\tmedian\tp99\tnot known\tdoubted an hour\tfalse an hour\tbytes a s\tnotes a s\tbytes a s after\t")
			for _, m := range measurements {
				fmt.Fprintf(w, "%d\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t%.2f\t%.0f\t%.1f\t%.0f\t\n", m.Relays,
					m.Loss, m.Killed, m.FirstDetection, m.MedianDetection, m.P99Detection, m.Undetected,
					m.SuspicionsPerHour, m.FalseDeathsPerHour, m.BytesPerSecond, m.MessagesPerSecond,
					m.BytesPerSecondAfter)
			}
			w.Flush()
			fmt.Fprintln(out, "times in periods of 0.6 s; doubted and false: suspicions and false deaths per relay and hour")
			w = tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "other ways\trelays\tloss\tdetect\tfalse an hour\tbytes a s\t")
			for _, o := range alternatives {
				fmt.Fprintf(w, "%s\t%d\t%.2f\t%.1f\t%.2f\t%.0f\t\n", o.Alternative, o.Relays, o.Loss,
					o.DetectionPeriods, o.FalseDeathsPerHour, o.BytesPerSecond)
			}
			return w.Flush()
		}}
	cmd.Flags().IntSliceVar(&sizes, "relays", []int{3, 10, 80, 300, 1000}, "fleet sizes")
	cmd.Flags().Float64SliceVar(&losses, "loss", []float64{0, 0.1, 0.5}, "shares of gossip messages that are lost")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print the results as JSON")
	cmd.Flags().StringVar(&plotFile, "plot", "", "plot the time to detect over fleet sizes as an SVG `file`")
	return cmd
}

// plotMembers plots the median and the 99th percentile of the time to detect, with a pair of lines
// for each loss.
func plotMembers(file string, measurements []gossip.Measurement) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Time to detect the death of a tenth of the relays", "relays",
		"periods of 0.6 s"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	lines := map[float64][2]plotter.XYs{}
	var order []float64
	for _, m := range measurements {
		l, known := lines[m.Loss]
		if !known {
			order = append(order, m.Loss)
		}
		l[0], l[1] = append(l[0], plotter.XY{X: float64(m.Relays), Y: m.MedianDetection}),
			append(l[1], plotter.XY{X: float64(m.Relays), Y: m.P99Detection})
		lines[m.Loss] = l
	}
	var args []any
	for _, loss := range order {
		args = append(args, fmt.Sprintf("median, loss %.0f%%", 100*loss), lines[loss][0],
			fmt.Sprintf("p99, loss %.0f%%", 100*loss), lines[loss][1])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, file); err != nil {
		return err
	}
	_, err := os.Stat(file)
	return err
}
