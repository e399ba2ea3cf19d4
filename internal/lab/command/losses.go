package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/capacity"
)

// lossesCommand plays what a fleet may lose at once, and says when the others know and what it costs them.
func lossesCommand() *cobra.Command {
	var sizes []int
	var noteLosses []float64
	var kinds []string
	var seed uint64
	var out string
	cmd := &cobra.Command{Use: "losses", Short: "When fleets know that a member, a rack, a zone or a region is gone, and what it costs", Args: cobra.NoArgs}
	cmd.Flags().IntSliceVar(&sizes, "members", []int{64, 256, 1024}, "sizes of fleets")
	cmd.Flags().Float64SliceVar(&noteLosses, "loss", []float64{0, 0.1}, "shares of notes that are lost")
	cmd.Flags().StringSliceVar(&kinds, "kind", nil, "what is lost: member, rack, zone, region; all where none is named")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().StringVar(&out, "out", "", "write a row for each play into a Parquet `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, l := range noteLosses {
			if !(l >= 0 && l < 1) {
				return fmt.Errorf("loss: %g does not lie within 0 and 1", l)
			}
		}
		losses := capacity.Losses
		if len(kinds) > 0 {
			losses = nil
			for _, k := range kinds {
				losses = append(losses, capacity.Loss(k))
			}
		}
		outcomes, err := playLosses(losses, sizes, noteLosses, seed)
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

// playLosses plays every loss in every fleet, several at a time.
func playLosses(losses []capacity.Loss, sizes []int, noteLosses []float64, seed uint64) ([]capacity.Outcome, error) {
	outcomes := make([]capacity.Outcome, len(losses)*len(sizes)*len(noteLosses))
	errs := make([]error, len(outcomes))
	each(len(outcomes), func(i int) {
		loss, rest := losses[i%len(losses)], i/len(losses)
		size, noteLoss := sizes[rest/len(noteLosses)], noteLosses[rest%len(noteLosses)]
		outcomes[i], errs[i] = capacity.RunLoss(loss, size, noteLoss, seed)
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
			o.Members, o.Loss, o.LostMembers, o.GossipLoss, o.MedianSeconds, o.P99Seconds, o.AgreedSeconds, o.FalseDeaths, o.BytesPerSecondBefore, o.BytesPerSecondAfter)
	}
	return w.Flush()
}
