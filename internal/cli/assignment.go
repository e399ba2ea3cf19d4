package cli

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/assignment"
)

// assignmentCommand plans and shows which relays of a region serve which destinations. Relays don't
// use these maps yet.
func assignmentCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "assignment", Short: "Plan and show which relays of a region serve which destinations",
		Args: cobra.NoArgs,
		Long: "Plan and show which relays of a region serve which destinations. Relays don't use these maps yet: the commands are for forecasts.",
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Usage() }}
	cmd.AddCommand(assignmentPlan(), assignmentShow())
	return cmd
}

// assignmentPlan makes the map of a region, or its successor, and prints what moves.
func assignmentPlan() *cobra.Command {
	var shape assignment.MapConfig
	var from, out, keyFile string
	cmd := &cobra.Command{Use: "plan MEMBERS --key FILE",
		Short: "Make a region's map, or the next one, from a list of its relays", Args: cobra.ExactArgs(1),
		Long: "Make a region's map, or with --from the next one, and print what moves. MEMBERS is a file with lines `relay,zone,rack,state`: three numbers, and live, leaving, away or gone."}
	flags := cmd.Flags()
	flags.Uint8Var(&shape.Region, "region", 0, "number of the region")
	flags.IntVar(&shape.Partitions, "partitions", assignment.DefaultPartitions,
		"partitions that destinations are hashed into")
	flags.IntVar(&shape.Replicas, "replicas", assignment.DefaultReplicas, "relays that serve each partition")
	flags.StringVar(&from, "from", "", "current map, a `file`")
	flags.StringVar(&out, "out", "", "write the map to a `file`")
	flags.StringVar(&keyFile, "key", "", "`file` with the region's key")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		key, err := readKey(keyFile)
		if err != nil {
			return err
		}
		members, err := readMembers(args[0])
		if err != nil {
			return err
		}
		var before *assignment.Map
		if from != "" {
			if before, err = readMap(from, key); err != nil {
				return err
			}
		}
		next, err := assignment.Plan(shape, before, members, nil)
		if err != nil {
			return err
		}
		if out != "" {
			if err := os.WriteFile(out, next.Encode(key), 0o600); err != nil {
				return err
			}
		}
		return printPlan(cmd.OutOrStdout(), next, before, members)
	}
	return cmd
}

// assignmentShow prints a map, the partitions of a relay, or the relays of a destination.
func assignmentShow() *cobra.Command {
	var keyFile string
	var relay uint16
	var destination uint64
	cmd := &cobra.Command{Use: "show MAP --key FILE",
		Short: "Show the summary of a map, a relay's partitions, or the relays of a destination",
		Args:  cobra.ExactArgs(1)}
	flags := cmd.Flags()
	flags.StringVar(&keyFile, "key", "", "`file` with the region's key")
	flags.Uint16Var(&relay, "relay", 0, "show the partitions of this relay")
	flags.Uint64Var(&destination, "destination", 0, "show the relays of this destination")
	cmd.MarkFlagsMutuallyExclusive("relay", "destination")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		key, err := readKey(keyFile)
		if err != nil {
			return err
		}
		m, err := readMap(args[0], key)
		if err != nil {
			return err
		}
		out := cmd.OutOrStdout()
		switch {
		case cmd.Flags().Changed("destination"):
			p := m.PartitionOf(destination)
			fmt.Fprintf(out, "destination %d: partition %d, relays %v, before %v\n", destination, p, m.Replicas(p),
				m.Previous(p))
		case cmd.Flags().Changed("relay"):
			return printSlice(out, m.Slice(assignment.Relay(relay)))
		default:
			fmt.Fprintf(out, "region %d, version %d.%d: %d partitions, %d replicas each\n", m.Region, m.Version.Term,
				m.Version.Number, m.Partitions(), m.Replication)
		}
		return nil
	}
	return cmd
}

// printPlan prints the size of a map, its balance, and what moves since the previous one.
func printPlan(out io.Writer, next, before *assignment.Map, members []assignment.Member) error {
	least, most, serving := next.Partitions(), 0, 0
	for r, partitions := range next.ByRelay()[:len(members)] {
		if members[r].State == assignment.Removed {
			continue
		}
		n := 0
		for _, p := range partitions {
			if next.Serves(assignment.Relay(r), p) {
				n++
			}
		}
		least, most, serving = min(least, n), max(most, n), serving+1
	}
	all := next.Partitions() * next.Replication
	fmt.Fprintf(out, "region %d, map %d: %d partitions, %d replicas each, %d relays\n", next.Region,
		next.Version.Number, next.Partitions(), next.Replication, serving)
	fmt.Fprintf(out, "partitions of a relay: %d to %d, %.1f in the mean\n", least, most,
		float64(all)/float64(max(1, serving)))
	if before != nil {
		moved := next.CountMoved(before)
		fmt.Fprintf(out, "moved: %d of %d replicas (%.3f %%)\n", moved, all, 100*float64(moved)/float64(all))
	}
	return nil
}

// printSlice prints the partitions of one relay.
func printSlice(out io.Writer, s *assignment.Slice) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "partition\treplicas\tbefore")
	for _, serving := range s.Assignments {
		fmt.Fprintf(w, "%d\t%v\t%v\n", serving.Partition, serving.Replicas, serving.Previous)
	}
	return w.Flush()
}

// readKey reads the region's key from a file, without surrounding white space.
func readKey(file string) (assignment.Key, error) {
	if file == "" {
		return nil, usageError{errors.New("--key is required")}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if b = bytes.TrimSpace(b); len(b) == 0 {
		return nil, fmt.Errorf("%s: the file contains no key", file)
	}
	return b, nil
}

// readMap reads a map and checks its signature.
func readMap(file string, key assignment.Key) (*assignment.Map, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	m, err := assignment.DecodeMap(b, key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return m, nil
}

// readMembers reads lines of relay, zone, rack and state. Relays without a line are gone.
func readMembers(file string) ([]assignment.Member, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord, r.TrimLeadingSpace, r.Comment = 4, true, '#'
	lines, err := r.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var members []assignment.Member
	named := map[int]bool{}
	for i, fields := range lines {
		number, member, err := readMember(fields)
		if err == nil && named[number] {
			err = fmt.Errorf("relay %d is listed twice", number)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: entry %d: %w", file, i+1, err)
		}
		named[number] = true
		for len(members) <= number {
			members = append(members, assignment.Member{})
		}
		members[number] = member
	}
	return members, nil
}

// readMember parses the fields of one line.
func readMember(fields []string) (number int, m assignment.Member, err error) {
	states := map[string]assignment.State{"live": assignment.Live, "away": assignment.Unreachable,
		"gone": assignment.Removed, "leaving": assignment.Leaving}
	relay, err := strconv.ParseUint(fields[0], 10, 16)
	if err != nil || relay >= assignment.MaxRelays {
		return 0, m, fmt.Errorf("relay: %q is not a number from 0 to %d", fields[0], assignment.MaxRelays-1)
	}
	zone, err := strconv.ParseUint(fields[1], 10, 8)
	if err != nil {
		return 0, m, fmt.Errorf("zone: %q is not a number from 0 to 255", fields[1])
	}
	rack, err := strconv.ParseUint(fields[2], 10, 16)
	if err != nil {
		return 0, m, fmt.Errorf("rack: %q is not a number from 0 to 65535", fields[2])
	}
	state, known := states[fields[3]]
	if !known {
		return 0, m, fmt.Errorf("state: %q is none of live, leaving, away and gone", fields[3])
	}
	return int(relay), assignment.Member{State: state, Zone: assignment.Zone(zone), Rack: uint16(rack)}, nil
}
