package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
)

func journalCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "journal", Short: "Look into a relay's state folder, read-only", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(&cobra.Command{
		Use: "verify DIR", Short: "Tell what is wrong in a state folder, by file and offset", Args: exactArg("DIR"),
		Long: "Read the journal as the next start would. Exit code 0 only if nothing is wrong. On a live folder the last record may be half written.",
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := inspect(args[0], nil)
			if err != nil {
				return err
			}
			for _, f := range in.Faults {
				fmt.Fprintln(cmd.OutOrStdout(), f)
			}
			if len(in.Faults) > 0 {
				return exitError(exitFault)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "good: %d segments of %d bytes, records %v, %d messages, %d ids of messages that are over\n",
				in.Segments, in.Bytes, in.Records, len(in.Messages), in.CompletedIDs)
			return nil
		},
	}, exportCommand(), &cobra.Command{
		Use: "list DIR", Short: "Print a JSON object for each message that is owed its end", Args: exactArg("DIR"),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := inspect(args[0], nil)
			if err != nil {
				return err
			}
			e := json.NewEncoder(cmd.OutOrStdout())
			for _, m := range in.Messages {
				if err := e.Encode(listedMessage(m)); err != nil {
					return err
				}
			}
			return nil
		},
	})
	return cmd
}

func exportCommand() *cobra.Command {
	var columns string
	cmd := &cobra.Command{
		Use: "export DIR", Short: "Print a JSON object for each record, for audits; bodies stay out", Args: exactArg("DIR"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if columns != "" { // the library for such files is not linked into the relay
				return execLab("journal-export", args[0], "--out", columns)
			}
			e := json.NewEncoder(cmd.OutOrStdout())
			_, err := inspect(args[0], func(r journal.Record) error { return e.Encode(r) })
			return err
		},
	}
	cmd.Flags().StringVar(&columns, "parquet", "", "write a Parquet `file` instead")
	return cmd
}

func inspect(dir string, each func(journal.Record) error) (*journal.Inspection, error) {
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return nil, fmt.Errorf("%s is no folder", dir)
	}
	return journal.Inspect(journal.Dir(dir), each)
}

// listedMessage is a message as list prints it; its body stays out.
func listedMessage(m *memory.Message) any {
	o := struct {
		Num      uint32     `json:"num"`
		ID       string     `json:"id"`
		Class    string     `json:"class"`
		Dest     int        `json:"dest"`
		Key      string     `json:"key,omitempty"`
		Deadline time.Time  `json:"deadline"`
		Bytes    int        `json:"body_bytes"`
		Steps    int        `json:"steps"`
		RiskAt   *time.Time `json:"may_have_run_since,omitempty"`
		Owed     string     `json:"notice_owed,omitempty"`
	}{m.Number, m.ID, m.Class, m.Dest, m.IdempotencyKey, m.Deadline.UTC(), len(m.Body), m.Attempts, nil, ""}
	if !m.MayHaveRunSince.IsZero() {
		at := m.MayHaveRunSince.UTC()
		o.RiskAt = &at
	}
	if m.Notification != nil {
		o.Owed = map[bool]string{true: "handed_back", false: "given_up"}[m.Notification.Returned]
	}
	return o
}
