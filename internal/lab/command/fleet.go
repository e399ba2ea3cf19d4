package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/fleet"
)

// fleetCommand runs a scenario with real relay processes, and the same scenario in virtual time.
func fleetCommand() *cobra.Command {
	var seed uint64
	var outDir, relayBinary string
	var printJSON, noVirtual bool
	cmd := &cobra.Command{Use: "fleet DAY.textproto",
		Short: "Run a fleet scenario with real relays and network faults between them", Args: cobra.ExactArgs(1),
		Long: "Run a scenario with real relay processes on loopback, and the same scenario in virtual time, and compare the verdicts. Exit code 4: a rule was violated, a run had a fault, or the verdicts differ.",
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := readScenario(args[0], "", seed)
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
			res, err := fleet.Run(cmd.Context(), fleet.Config{Scenario: scenario, Seed: seed, RelayBinary: relayBinary,
				OutDir: outDir})
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
				if virtual, _, err = fleet.RunVirtual(scenario); err != nil {
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
				fmt.Fprintf(w, "%s, seed %d: %d relays, %.1f s; %d messages offered, %d accepted, %d effects; %d gossip messages of %d bytes\n",
					res.Day, seed, scenario.Relays, res.Seconds, res.Offered, res.Taken, res.Ran, res.Sent, res.Bytes)
				res.WriteTimeline(w)
				fmt.Fprintf(w, "missed: %v; all agree in the end: %v\n", res.Verdict.Missed, res.Verdict.Agreed)
				for kind, list := range map[string][]string{"broken: ": res.Verdict.Rules,
					"false death: ": res.Verdict.False, "fault: ": res.Verdict.Faults} {
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
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed")
	cmd.Flags().StringVar(&outDir, "out", "", "`directory` for logs, results.parquet and report.html")
	cmd.Flags().StringVar(&relayBinary, "relay", "", "relay `program` (default: oatfold next to this program)")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print the results as JSON")
	cmd.Flags().BoolVar(&noVirtual, "no-virtual", false, "do not run the scenario in virtual time as well")
	return cmd
}
