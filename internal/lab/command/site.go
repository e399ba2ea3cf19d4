package command

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/lab/rehearse"
	"oatfold/internal/lab/study"
)

// siteReport is the JSON output of a rehearsal.
type siteReport struct {
	Lost        string                `json:"lost"`
	Seed        uint64                `json:"seed"`
	Comparisons []rehearse.Comparison `json:"plan_and_rehearsal"`
	Recovery    *siteRecovery         `json:"return,omitempty"`
}

// siteRecovery is the outcome of a loss with the return of the site.
type siteRecovery struct {
	Seconds            float64 `json:"to_whole_s"` // below 0: not recovered by the end of the scenario
	OverloadedPartners int     `json:"pushed_over"`
	Overload           float64 `json:"overload"`
	ServedValue        float64 `json:"worth_served"`
}

// siteCommand rehearses the loss of a site.
func siteCommand() *cobra.Command {
	var file, caseName string
	var config rehearse.Config
	var pairs, relays int
	var printJSON bool
	cmd := &cobra.Command{Use: "site --operator FILE --lost ZONE",
		Short: "Rehearse the loss of a site in virtual time, and compare it with the forecast", Args: cobra.NoArgs,
		Long: "Simulate the loss of a site with the capacities of an operator's file. Without --pairs: a permanent loss, compared with the forecast, and a loss with the return of the site. With --pairs: scenarios with the plan, compared with the same scenarios without it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := operator.Load(file, 0)
			if err != nil {
				return err
			}
			if c.Sites == nil {
				return fmt.Errorf("%s: sites: missing", file)
			}
			config.Plan, config.Case, config.RelaysPerSite = c.Sites, rehearse.Case(caseName), relays
			if pairs > 0 {
				return compareWithoutPlan(cmd, config, pairs)
			}
			config.UsePlan = true
			comparisons, _, err := rehearse.CompareWithForecast(config)
			if err != nil {
				return err
			}
			outcome, err := rehearse.Run(config)
			if err != nil {
				return err
			}
			recovery := &siteRecovery{outcome.RecoveredAfter.Seconds(), outcome.Result.Fallen, outcome.PeakOverload,
				outcome.Result.Whole}
			if outcome.RecoveredAfter < 0 {
				recovery.Seconds = -1
			}
			if printJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(siteReport{config.LostZone, config.Seed, comparisons, recovery})
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "class\tserved, plan\tserved, rehearsal\t")
			for _, a := range comparisons {
				note := ""
				if !a.WithinTolerance {
					note = fmt.Sprintf("differs by more than %.2f", rehearse.Tolerance)
				}
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\n", a.Class, a.Forecast, a.Rehearsal, note)
			}
			w.Flush()
			fmt.Fprintf(cmd.OutOrStdout(), "\nloss and return: value delivered %.3f, partners overloaded %d, peak load of the survivors %.2f of their capacity over two seconds, recovered after %.1f s (-1: not by the end)\n",
				recovery.ServedValue, recovery.OverloadedPartners, recovery.Overload, recovery.Seconds)
			return nil
		}}
	cmd.Flags().StringVar(&file, "operator", "", "operator's `FILE`")
	cmd.Flags().StringVar(&config.LostZone, "lost", "", "`ZONE` that is lost")
	cmd.Flags().Uint64Var(&config.Seed, "seed", 1, "random seed")
	cmd.Flags().IntVar(&relays, "relays", 4, "relays per site")
	cmd.Flags().StringVar(&caseName, "case", string(rehearse.Plain),
		fmt.Sprintf("case to rehearse: one of %v", rehearse.Cases()))
	cmd.Flags().Float64Var(&config.LoadFactor, "load", 1, "load, as a multiple of the plan's demand")
	cmd.Flags().IntVar(&pairs, "pairs", 0, "pairs of scenarios to run with and without the plan")
	cmd.Flags().BoolVar(&printJSON, "json", false, "print the rehearsal as JSON")
	cmd.MarkFlagRequired("operator")
	cmd.MarkFlagRequired("lost")
	return cmd
}

// compareWithoutPlan runs scenarios with and without the plan on the same seeds and prints the
// differences.
func compareWithoutPlan(cmd *cobra.Command, config rehearse.Config, pairs int) error {
	outcomes := [2][]*rehearse.Outcome{make([]*rehearse.Outcome, pairs), make([]*rehearse.Outcome, pairs)}
	errs := make([]error, 2*pairs)
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i := range pairs {
		for variant := range 2 {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				run := config
				run.Seed, run.UsePlan = config.Seed+uint64(i), variant == 1
				outcomes[variant][i], errs[2*i+variant] = rehearse.Run(run)
			})
		}
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	var rows [2][]study.Row
	for variant, name := range []string{"without", "plan"} {
		for _, o := range outcomes[variant] {
			rows[variant] = append(rows[variant], study.NewRow(name, o.Result))
		}
	}
	diffs := study.Compare(rows[0], rows[1])
	for _, m := range []struct {
		name string
		of   func(*rehearse.Outcome) float64
	}{
		{"calls to the lost site", func(o *rehearse.Outcome) float64 { return float64(o.CallsToLostSite) }},
		{"peak overload of survivors", func(o *rehearse.Outcome) float64 { return o.PeakOverload }},
		{"partners overloaded", func(o *rehearse.Outcome) float64 { return float64(o.Result.Fallen) }},
	} {
		diffs = append(diffs, comparePairs(m.name, outcomes, m.of))
	}
	for i, c := range outcomes[0][0].Result.ByClass {
		diffs = append(diffs, comparePairs("not delivered, "+c.Name, outcomes, func(o *rehearse.Outcome) float64 {
			t := o.Result.ByClass[i]
			return 1 - float64(t.Delivered)/float64(max(1, t.Requests))
		}))
	}
	printDifferences(cmd.OutOrStdout(), "without", diffs)
	recoverySum, unrecovered := 0.0, 0
	for _, o := range outcomes[1] {
		if o.RecoveredAfter < 0 {
			unrecovered++
		} else {
			recoverySum += o.RecoveredAfter.Seconds()
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "with the plan, mean time from return to recovery: %.1f s over %d scenarios; not recovered in %d\n",
		recoverySum/float64(max(1, pairs-unrecovered)), pairs-unrecovered, unrecovered)
	return nil
}

// comparePairs compares a metric of the outcomes without and with the plan.
func comparePairs(name string, outcomes [2][]*rehearse.Outcome,
	value func(*rehearse.Outcome) float64) study.Difference {
	var a, b []float64
	for i := range outcomes[0] {
		a, b = append(a, value(outcomes[0][i])), append(b, value(outcomes[1][i]))
	}
	return study.ComparePairs(name, "plan", a, b)
}
