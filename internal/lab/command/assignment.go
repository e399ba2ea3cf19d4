package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/assignment"
	"oatfold/internal/lab/region"
)

const mostRegions = 255

// assignmentCommand plays what may happen to regions whose relays are assigned by control machines.
func assignmentCommand() *cobra.Command {
	var base region.Config
	var regions int
	var names []string
	var out string
	cmd := &cobra.Command{Use: "assignment", Short: "What moves, how soon and for how many bytes as machines of a region go and return", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.IntVar(&regions, "regions", 4, "regions, each with a map and control machines of its own")
	flags.IntVar(&base.Relays, "relays", 4000, "relays of each region")
	flags.IntVar(&base.Controls, "controls", 9, "control machines of each region")
	flags.IntVar(&base.Zones, "zones", 2, "zones of each region")
	flags.IntVar(&base.RackSize, "rack", 40, "relays of a rack")
	flags.IntVar(&base.Partitions, "partitions", assignment.DefaultPartitions, "partitions of each region")
	flags.IntVar(&base.Replicas, "replicas", assignment.DefaultReplicas, "replicas of each partition")
	flags.Float64Var(&base.Loss, "loss", 0.1, "share of datagrams that are lost")
	flags.StringSliceVar(&names, "event", nil, "what happens: relay, rack, zone, leave, restart, controls, \"all control\", \"mass start\"; all where none is named")
	flags.Int64Var(&base.Seed, "seed", 1, "what chance is drawn from")
	flags.StringVar(&out, "out", "", "write a row for each region and event into a Parquet `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if regions < 1 || regions > mostRegions {
			return fmt.Errorf("regions: %d, 1 to %d wanted", regions, mostRegions)
		}
		events := region.Events
		if len(names) > 0 {
			events = nil
			for _, name := range names {
				events = append(events, region.Event(name))
			}
		}
		outcomes, err := playEvents(base, regions, events)
		if err != nil {
			return err
		}
		if err := writeRows(out, outcomes); err != nil {
			return err
		}
		return printEvents(cmd.OutOrStdout(), outcomes)
	}
	return cmd
}

// playEvents plays every event in every region, several at a time.
func playEvents(base region.Config, regions int, events []region.Event) ([]region.Outcome, error) {
	outcomes := make([]region.Outcome, regions*len(events))
	errs := make([]error, len(outcomes))
	each(len(outcomes), func(i int) {
		c := base
		c.Number = uint8(i % regions)
		outcomes[i], errs[i] = region.RunEvent(c, events[i/regions])
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

func printEvents(out io.Writer, outcomes []region.Outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "event\tregion\trelays\thit\tmoved %\tback %\tconcerned\tmedian s\t999 of 1,000 s\tlast s\tone zone s\tof %\tno zone s\trelay bytes/s\tmost\tcontrol bytes/s\t")
	for _, o := range outcomes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			o.Event, o.Region, o.Relays, o.AffectedRelays, 100*o.Moved, 100*o.MovedBack, o.ChangesObserved, o.MedianSeconds, o.P999Seconds, o.MaxSeconds, o.OneZoneSeconds, 100*o.MaxOneZoneShare, o.NoZoneSeconds, o.MeanRelayRate, o.MaxRelayRate, o.ControlRate)
	}
	return w.Flush()
}
