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

// siteReport is what a rehearsal prints as JSON.
type siteReport struct {
	Lost   string                `json:"lost"`
	Seed   uint64                `json:"seed"`
	Agrees []rehearse.Comparison `json:"plan_and_rehearsal"`
	Return *siteReturn           `json:"return,omitempty"`
}

type siteReturn struct {
	Seconds  float64 `json:"to_whole_s"` // below 0: not by the day's end
	Fallen   int     `json:"pushed_over"`
	Overload float64 `json:"overload"`
	Served   float64 `json:"worth_served"`
}

func siteCommand() *cobra.Command {
	var file, kind string
	var set rehearse.Config
	var pairs, relays int
	var raw bool
	cmd := &cobra.Command{Use: "site --operator FILE --lost ZONE", Short: "Rehearse the loss of a site in virtual time, and say where plan and rehearsal differ", Args: cobra.NoArgs,
		Long: "Play the loss of a site with the figures of an operator's file. Without --pairs: the loss as it stays, held against the forecast, and the loss with its return. With --pairs: days with the plan against the same days without.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := operator.Load(file, 0)
			if err != nil {
				return err
			}
			if c.Sites == nil {
				return fmt.Errorf("%s: sites: missing", file)
			}
			set.Plan, set.Case, set.RelaysPerSite = c.Sites, rehearse.Case(kind), relays
			if pairs > 0 {
				return sitePairs(cmd, set, pairs)
			}
			set.UsePlan = true
			all, _, err := rehearse.CompareWithForecast(set)
			if err != nil {
				return err
			}
			out, err := rehearse.Run(set)
			if err != nil {
				return err
			}
			back := &siteReturn{out.RecoveredAfter.Seconds(), out.Result.Fallen, out.PeakOverload, out.Result.Whole}
			if out.RecoveredAfter < 0 {
				back.Seconds = -1
			}
			if raw {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(siteReport{set.LostZone, set.Seed, all, back})
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "class\tserved, plan\tserved, rehearsal\t")
			for _, a := range all {
				note := ""
				if !a.WithinTolerance {
					note = fmt.Sprintf("differs by more than %.2f", rehearse.Tolerance)
				}
				fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\n", a.Class, a.Forecast, a.Rehearsal, note)
			}
			w.Flush()
			fmt.Fprintf(cmd.OutOrStdout(), "\nloss and return: worth served %.3f, partners pushed over %d, survivors sent at most %.2f of what they take in any two seconds, whole again after %.1f s (-1: not by the day's end)\n",
				back.Served, back.Fallen, back.Overload, back.Seconds)
			return nil
		}}
	cmd.Flags().StringVar(&file, "operator", "", "the operator's `FILE`")
	cmd.Flags().StringVar(&set.LostZone, "lost", "", "the `ZONE` that is lost")
	cmd.Flags().Uint64Var(&set.Seed, "seed", 1, "what chance is drawn from")
	cmd.Flags().IntVar(&relays, "relays", 4, "relays of each site")
	cmd.Flags().StringVar(&kind, "case", string(rehearse.Plain), fmt.Sprintf("what happens: one of %v", rehearse.Cases()))
	cmd.Flags().Float64Var(&set.LoadFactor, "load", 1, "times what the plan says is wanted")
	cmd.Flags().IntVar(&pairs, "pairs", 0, "days to play with the plan and without")
	cmd.Flags().BoolVar(&raw, "json", false, "print the rehearsal as JSON")
	cmd.MarkFlagRequired("operator")
	cmd.MarkFlagRequired("lost")
	return cmd
}

// sitePairs plays days with the plan and without, on the same seeds.
func sitePairs(cmd *cobra.Command, set rehearse.Config, pairs int) error {
	outs := [2][]*rehearse.Outcome{make([]*rehearse.Outcome, pairs), make([]*rehearse.Outcome, pairs)}
	errs := make([]error, 2*pairs)
	lanes := make(chan struct{}, runtime.NumCPU())
	var all sync.WaitGroup
	for i := range pairs {
		for arm := range 2 {
			all.Go(func() {
				lanes <- struct{}{}
				defer func() { <-lanes }()
				one := set
				one.Seed, one.UsePlan = set.Seed+uint64(i), arm == 1
				outs[arm][i], errs[2*i+arm] = rehearse.Run(one)
			})
		}
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	var rows [2][]study.Row
	for arm, name := range []string{"without", "plan"} {
		for _, o := range outs[arm] {
			rows[arm] = append(rows[arm], study.NewRow(name, o.Result))
		}
	}
	diffs := study.Compare(rows[0], rows[1])
	for _, m := range []struct {
		name string
		of   func(*rehearse.Outcome) float64
	}{
		{"calls at the lost site", func(o *rehearse.Outcome) float64 { return float64(o.CallsToLostSite) }},
		{"overload of survivors", func(o *rehearse.Outcome) float64 { return o.PeakOverload }},
		{"partners pushed over", func(o *rehearse.Outcome) float64 { return float64(o.Result.Fallen) }},
	} {
		diffs = append(diffs, paired(m.name, outs, m.of))
	}
	for i, c := range outs[0][0].Result.ByClass {
		diffs = append(diffs, paired("not delivered, "+c.Name, outs, func(o *rehearse.Outcome) float64 {
			t := o.Result.ByClass[i]
			return 1 - float64(t.Delivered)/float64(max(1, t.Requests))
		}))
	}
	differences(cmd.OutOrStdout(), "without", diffs)
	back, late := 0.0, 0
	for _, o := range outs[1] {
		if o.RecoveredAfter < 0 {
			late++
		} else {
			back += o.RecoveredAfter.Seconds()
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "with the plan, from return to whole: %.1f s in the mean of %d days; not by the end of %d\n", back/float64(max(1, pairs-late)), pairs-late, late)
	return nil
}

func paired(name string, outs [2][]*rehearse.Outcome, of func(*rehearse.Outcome) float64) study.Difference {
	var a, b []float64
	for i := range outs[0] {
		a, b = append(a, of(outs[0][i])), append(b, of(outs[1][i]))
	}
	return study.ComparePairs(name, "plan", a, b)
}
