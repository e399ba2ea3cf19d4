package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/assignment"
	"oatfold/internal/lab/region"
)

const maxRegions = 255

// assignmentCommand simulates failures in regions whose relays are assigned by control machines.
func assignmentCommand() *cobra.Command {
	var base region.Config
	var regions int
	var names []string
	var out string
	cmd := &cobra.Command{Use: "assignment",
		Short: "Measure reassignment, its delay and its traffic as machines of a region leave and return",
		Args:  cobra.NoArgs}
	flags := cmd.Flags()
	flags.IntVar(&regions, "regions", 4, "regions, each with its own assignment and control machines")
	flags.IntVar(&base.Relays, "relays", 4000, "relays per region")
	flags.IntVar(&base.Controls, "controls", 9, "control machines per region")
	flags.IntVar(&base.Zones, "zones", 2, "zones per region")
	flags.IntVar(&base.RackSize, "rack", 40, "relays per rack")
	flags.IntVar(&base.Partitions, "partitions", assignment.DefaultPartitions, "partitions per region")
	flags.IntVar(&base.Replicas, "replicas", assignment.DefaultReplicas, "replicas per partition")
	flags.Float64Var(&base.Loss, "loss", 0.1, "share of datagrams that are lost")
	flags.StringSliceVar(&names, "event", nil,
		"events to simulate: relay, rack, zone, leave, restart, controls, \"all control\", \"mass start\" (default all)")
	flags.Int64Var(&base.Seed, "seed", 1, "random seed")
	flags.StringVar(&out, "out", "", "write a row for each region and event to a Parquet `file`")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if regions < 1 || regions > maxRegions {
			return fmt.Errorf("regions: %d is not within 1 and %d", regions, maxRegions)
		}
		events := region.Events
		if len(names) > 0 {
			events = nil
			for _, name := range names {
				events = append(events, region.Event(name))
			}
		}
		outcomes, err := runEvents(base, regions, events)
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

// runEvents simulates every event in every region, in parallel.
func runEvents(base region.Config, regions int, events []region.Event) ([]region.Outcome, error) {
	outcomes := make([]region.Outcome, regions*len(events))
	errs := make([]error, len(outcomes))
	runParallel(len(outcomes), func(i int) {
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
			o.Event, o.Region, o.Relays, o.AffectedRelays, 100*o.Moved, 100*o.MovedBack, o.ChangesObserved,
			o.MedianSeconds, o.P999Seconds, o.MaxSeconds, o.OneZoneSeconds, 100*o.MaxOneZoneShare,
			o.NoZoneSeconds, o.MeanRelayRate, o.MaxRelayRate, o.ControlRate)
	}
	return w.Flush()
}
