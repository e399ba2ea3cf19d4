package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/fleet"
)

// fleetCommand plays a day with processes, and in virtual time beside it.
func fleetCommand() *cobra.Command {
	var seed uint64
	var out, bin string
	var raw, alone bool
	cmd := &cobra.Command{Use: "fleet DAY.textproto", Short: "Play a fleet's day with real relays, and break what lies between them", Args: cobra.ExactArgs(1),
		Long: "Play a day with real relays in processes of their own, on loopback, and the same day in virtual time; compare the verdicts. Exit code 4: a rule was broken, the day was at fault, or the two differ.",
		RunE: func(cmd *cobra.Command, args []string) error {
			day, err := readDay(args[0], "", seed)
			if err != nil {
				return err
			}
			if bin == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				bin = filepath.Join(filepath.Dir(self), "oatfold")
			}
			if _, err := os.Stat(bin); err != nil {
				return fmt.Errorf("the relay: %w (--relay names it)", err)
			}
			if out != "" {
				if err := os.MkdirAll(out, 0o755); err != nil {
					return err
				}
			}
			res, err := fleet.Run(cmd.Context(), fleet.Config{Scenario: day, Seed: seed, RelayBinary: bin, OutDir: out})
			if err != nil {
				return err
			}
			if out != "" {
				if err := res.WriteFiles(out); err != nil {
					return err
				}
			}
			bad := !res.Verdict.Good()
			differ := error(nil)
			var virtual *fleet.Verdict
			if !alone {
				if virtual, _, err = fleet.RunVirtual(day); err != nil {
					return err
				}
				differ = res.Verdict.CheckSame(virtual)
				bad = bad || differ != nil
			}
			if raw {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				if err := e.Encode(struct {
					*fleet.Result
					Virtual *fleet.Verdict `json:",omitempty"`
				}{res, virtual}); err != nil {
					return err
				}
			} else {
				w := cmd.OutOrStdout()
				fmt.Fprintf(w, "%s, seed %d: %d relays, %.1f s; %d messages offered, %d taken on, %d effects; %d notes of %d bytes\n", res.Day, seed, day.Relays, res.Seconds,
					res.Offered, res.Taken, res.Ran, res.Sent, res.Bytes)
				res.WriteTimeline(w)
				fmt.Fprintf(w, "missed: %v; all agree in the end: %v\n", res.Verdict.Missed, res.Verdict.Agreed)
				for kind, list := range map[string][]string{"broken: ": res.Verdict.Rules, "false death: ": res.Verdict.False, "fault: ": res.Verdict.Faults} {
					for _, s := range list {
						fmt.Fprintln(w, kind+s)
					}
				}
				if differ != nil {
					fmt.Fprintln(w, "virtual time differs:", differ)
				}
			}
			if bad {
				return exit(exitBad)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().StringVar(&out, "out", "", "folder for logs, results.parquet and report.html")
	cmd.Flags().StringVar(&bin, "relay", "", "the relay's program (default: oatfold beside this one)")
	cmd.Flags().BoolVar(&raw, "json", false, "print all of it as JSON")
	cmd.Flags().BoolVar(&alone, "no-virtual", false, "do not play the day in virtual time as well")
	return cmd
}
