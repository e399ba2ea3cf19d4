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
	var outDir, relayBinary string
	var printJSON, noVirtual bool
	cmd := &cobra.Command{Use: "fleet DAY.textproto", Short: "Play a fleet's day with real relays, and break what lies between them", Args: cobra.ExactArgs(1),
		Long: "Play a day with real relays in processes of their own, on loopback, and the same day in virtual time; compare the verdicts. Exit code 4: a rule was broken, the day was at fault, or the two differ.",
		RunE: func(cmd *cobra.Command, args []string) error {
			day, err := readScenario(args[0], "", seed)
			if err != nil {
				return err
			}
			if relayBinary == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				relayBinary = filepath.Join(filepath.Dir(self), "oatfold")
			}
			if _, err := os.Stat(relayBinary); err != nil {
				return fmt.Errorf("the relay: %w (--relay names it)", err)
			}
			if outDir != "" {
				if err := os.MkdirAll(outDir, 0o755); err != nil {
					return err
				}
			}
			res, err := fleet.Run(cmd.Context(), fleet.Config{Scenario: day, Seed: seed, RelayBinary: relayBinary, OutDir: outDir})
			if err != nil {
				return err
			}
			if outDir != "" {
				if err := res.WriteFiles(outDir); err != nil {
					return err
				}
			}
			failed := !res.Verdict.Good()
			mismatch := error(nil)
			var virtual *fleet.Verdict
			if !noVirtual {
				if virtual, _, err = fleet.RunVirtual(day); err != nil {
					return err
				}
				mismatch = res.Verdict.CheckSame(virtual)
				failed = failed || mismatch != nil
			}
			if printJSON {
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
				if mismatch != nil {
					fmt.Fprintln(w, "virtual time differs:", mismatch)
				}
			}
			if failed {
				return exitCode(exitFailed)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().StringVar(&outDir, "out", "", "folder for logs, results.parquet and report.html")
	cmd.Flags().StringVar(&relayBinary, "relay", "", "the relay's program (default: oatfold beside this one)")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print all of it as JSON")
	cmd.Flags().BoolVar(&noVirtual, "no-virtual", false, "do not play the day in virtual time as well")
	return cmd
}
