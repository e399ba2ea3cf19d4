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

// journalCommand inspects the journal in a state directory.
func journalCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "journal", Short: "Inspect a relay's state directory, read-only", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(&cobra.Command{
		Use: "verify DIR", Short: "Report faults in a state directory by file and offset", Args: exactArg("DIR"),
		Long: "Read the journal as the relay does at its start. The exit code is 0 only without faults. If a relay is running in the directory, the last record may be incomplete.",
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
			fmt.Fprintf(cmd.OutOrStdout(), "good: %d segments of %d bytes, records %v, %d messages, %d ids of completed messages\n",
				in.Segments, in.Bytes, in.Records, len(in.Messages), in.CompletedIDs)
			return nil
		},
	}, exportCommand(), &cobra.Command{
		Use: "list DIR", Short: "Print a JSON object for each pending message", Args: exactArg("DIR"),
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

// exportCommand prints the records of a journal as JSON, or writes them to a Parquet file.
func exportCommand() *cobra.Command {
	var columns string
	cmd := &cobra.Command{
		Use: "export DIR", Short: "Print a JSON object for each record, for audits, without bodies",
		Args: exactArg("DIR"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if columns != "" { // the Parquet library is linked into the laboratory only
				return execLab("journal-export", args[0], "--out", columns)
			}
			e := json.NewEncoder(cmd.OutOrStdout())
			_, err := inspect(args[0], func(r journal.Record) error { return e.Encode(r) })
			return err
		},
	}
	cmd.Flags().StringVar(&columns, "parquet", "", "write a Parquet `file` instead of JSON")
	return cmd
}

// inspect reads the journal in dir and calls each, if set, for each record.
func inspect(dir string, each func(journal.Record) error) (*journal.Inspection, error) {
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", dir)
	}
	return journal.Inspect(journal.Dir(dir), each)
}

// listedMessage returns what list prints of a message: everything except its body.
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
