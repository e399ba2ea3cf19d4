package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/capacity"
)

// lossesCommand measures when fleets detect losses, and the traffic this takes.
func lossesCommand() *cobra.Command {
	var sizes []int
	var gossipLosses []float64
	var kinds []string
	var seed uint64
	var out string
	cmd := &cobra.Command{Use: "losses",
		Short: "Measure when fleets detect the loss of a member, rack, zone or region, and the traffic it takes",
		Args:  cobra.NoArgs}
	cmd.Flags().IntSliceVar(&sizes, "members", []int{64, 256, 1024}, "fleet sizes")
	cmd.Flags().Float64SliceVar(&gossipLosses, "loss", []float64{0, 0.1}, "shares of gossip messages that are lost")
	cmd.Flags().StringSliceVar(&kinds, "kind", nil, "losses to simulate: member, rack, zone, region (default all)")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().StringVar(&out, "out", "", "write a row for each loss to a Parquet `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, l := range gossipLosses {
			if !(l >= 0 && l < 1) {
				return fmt.Errorf("loss: %g is not within 0 and 1", l)
			}
		}
		losses := capacity.Losses
		if len(kinds) > 0 {
			losses = nil
			for _, k := range kinds {
				losses = append(losses, capacity.Loss(k))
			}
		}
		outcomes, err := runLosses(losses, sizes, gossipLosses, seed)
		if err != nil {
			return err
		}
		if err := writeRows(out, outcomes); err != nil {
			return err
		}
		return printLosses(cmd.OutOrStdout(), outcomes)
	}
	return cmd
}

// runLosses simulates every loss in every fleet, in parallel.
func runLosses(losses []capacity.Loss, sizes []int, gossipLosses []float64, seed uint64) ([]capacity.Outcome, error) {
	outcomes := make([]capacity.Outcome, len(losses)*len(sizes)*len(gossipLosses))
	errs := make([]error, len(outcomes))
	runParallel(len(outcomes), func(i int) {
		loss, rest := losses[i%len(losses)], i/len(losses)
		size, gossipLoss := sizes[rest/len(gossipLosses)], gossipLosses[rest%len(gossipLosses)]
		outcomes[i], errs[i] = capacity.RunLoss(loss, size, gossipLoss, seed)
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

func printLosses(out io.Writer, outcomes []capacity.Outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "members\tlost\t\tnotes lost\tmedian s\t99 of 100 s\tall agree s\tfalse\tbytes/s before\tafter\t")
	for _, o := range outcomes {
		fmt.Fprintf(w, "%d\t%s\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%d\t%.0f\t%.0f\t\n",
			o.Members, o.Loss, o.LostMembers, o.GossipLoss, o.MedianSeconds, o.P99Seconds, o.AgreedSeconds,
			o.FalseDeaths, o.BytesPerSecondBefore, o.BytesPerSecondAfter)
	}
	return w.Flush()
}
