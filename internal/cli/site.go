package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/sites"
)

func siteCommand() *cobra.Command {
	site := &cobra.Command{Use: "site", Short: "Plan for the loss of a whole site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Usage() }}
	var file, lost string
	var raw bool
	var from []string
	plan := &cobra.Command{Use: "plan --operator FILE --lost ZONE", Short: "Forecast where load goes and what is refused when a site is lost", Args: cobra.NoArgs,
		Long: "Forecast, from the sites and figures of an operator's file, where each destination's load goes when a site is lost, how full the others become, and what is refused. Nothing is changed.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" || lost == "" {
				return usageError{fmt.Errorf("--operator and --lost are needed")}
			}
			c, err := operator.Load(file, 0)
			if err != nil {
				return err
			}
			if c.Sites == nil {
				return fmt.Errorf("%s: sites: missing", file)
			}
			if len(from) > 0 {
				if err := applyReportedRates(c.Sites, from, get); err != nil {
					return err
				}
			}
			f, err := c.Sites.ForecastLoss(lost)
			if err != nil {
				return usageError{fmt.Errorf("--lost: %w", err)}
			}
			out := cmd.OutOrStdout()
			if raw {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				return e.Encode(f)
			}
			fmt.Fprintf(out, "%s is lost; messages a second\n\n", lost)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "zone\ttakes\tserves now\tserves then\tfull")
			for _, z := range f.Zones {
				if z.Zone == lost {
					fmt.Fprintf(w, "%s\tlost\t%.1f\t\t\n", z.Zone, z.Before)
					continue
				}
				fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.2f\n", z.Zone, z.Capacity, z.Before, z.After, z.Utilization)
			}
			fmt.Fprintln(w, "\nclass\twanted\tserved now\tserved then\trefused then")
			for i, s := range f.After {
				fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", s.Class, s.Demand, f.Before[i].Served, s.Served, s.Refused)
			}
			fmt.Fprintln(w, "\ndestination\tclass\tclients of\tgo to\ttier\trate")
			for _, flow := range append(f.Flows, f.Refused...) {
				to, tier := flow.To, fmt.Sprint(flow.Tier)
				if to == "" {
					to, tier = "refused", ""
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%.1f\n", flow.Destination, flow.Class, flow.From, to, tier, flow.Rate)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(out, "\nreturn: its full share %.0f s after the first call that is served there, at least\n", f.MinReturnSeconds)
			for _, n := range f.Notes {
				fmt.Fprintln(out, "note:", n)
			}
			return nil
		}}
	plan.Flags().StringVar(&file, "operator", "", "the operator's `FILE`")
	plan.Flags().StringVar(&lost, "lost", "", "the `ZONE` that is lost")
	plan.Flags().BoolVar(&raw, "json", false, "print the forecast as JSON")
	plan.Flags().StringSliceVar(&from, "figures", nil, "operators' `ADDR`esses of relays: what clients want comes from them, in place of the file's")
	status := viewCommand("status", "Tell what a relay takes each site for, and why", "Ask the operators' address of a relay what it makes of the plan's sites.", sitesTable)
	status.RunE = printView("/sites", sitesTable)
	site.AddCommand(plan, status, siteActionCommand("out", "Take a site out by hand, at one relay"), siteActionCommand("in", "Let a site come back, by its ramp, at one relay"))
	return site
}

// siteActionCommand tells a relay that a site is out, or may come back.
func siteActionCommand(action, short string) *cobra.Command {
	return &cobra.Command{Use: action + " ADDR ZONE", Short: short, Args: func(_ *cobra.Command, args []string) error {
		if len(args) != 2 {
			return usageError{fmt.Errorf("an address and a zone are needed, %d arguments are there", len(args))}
		}
		return nil
	},
		Long: short + ". Each relay decides by itself: tell all of them.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[1] == "" || strings.ContainsAny(args[1], "/ \r\n") {
				return usageError{fmt.Errorf("%q is no zone", args[1])}
			}
			_, err := request(args[0], "PUT", "/sites/"+args[1]+"/"+action)
			return err
		}}
}

func sitesTable(out io.Writer, doc gjson.Result) error {
	fmt.Fprintf(out, "relay of %s, %d ms ago\n", doc.Get("home").Str, doc.Get("age_ms").Int())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "zone\ttier\tstate\tsince\tload\trelays alive\tcalls taken\trefused\tfailed\tfailed returns\twhy")
	for _, s := range doc.Get("sites").Array() {
		since := (time.Duration(s.Get("since_ms").Int()) * time.Millisecond).Round(100 * time.Millisecond)
		why := s.Get("why").Str
		if s.Get("cut_perhaps").Bool() {
			why += " (only silence: it may be cut off, and live)"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%.2f\t%d of %d\t%d\t%d\t%d\t%d\t%s\n", s.Get("zone").Str, s.Get("tier").Int(), s.Get("state").Str, since, s.Get("level").Float(),
			s.Get("relays_alive").Int(), s.Get("relays").Int(), s.Get("calls_taken").Int(), s.Get("calls_refused").Int(), s.Get("calls_failed").Int(), s.Get("failed_returns").Int(), why)
	}
	return w.Flush()
}

// applyReportedRates puts what relays say comes in for each destination in the place of the file's rates. Relays don't count classes by destination: these are dealt out as in the file.
func applyReportedRates(plan *sites.Plan, addrs []string, get func(addr, path string) ([]byte, error)) error {
	wanted := map[int]map[string]float64{}
	for _, addr := range addrs {
		members, err := get(addr, "/members")
		if err != nil {
			return err
		}
		choices, err := get(addr, "/choices")
		if err != nil {
			return err
		}
		self, zone := gjson.GetBytes(members, "self").Int(), ""
		for _, m := range gjson.GetBytes(members, "members").Array() {
			if m.Get("number").Int() == self {
				zone = m.Get("zone").Str
			}
		}
		if !plan.HasZone(zone) {
			return fmt.Errorf("%s: its zone %q is no site of the file", addr, zone)
		}
		for _, d := range gjson.GetBytes(choices, "destinations").Array() {
			n := int(d.Get("destination").Int())
			if wanted[n] == nil {
				wanted[n] = map[string]float64{}
			}
			wanted[n][zone] += d.Get("wanted_here").Float()
		}
	}
	for i := range plan.Destinations {
		d := &plan.Destinations[i]
		mix, all := map[string]float64{}, 0.0
		for _, by := range d.Demand {
			for c, n := range by {
				mix[c], all = mix[c]+n, all+n
			}
		}
		if all <= 0 || len(wanted[d.Number]) == 0 {
			continue // nothing is known of its classes, or of what comes in
		}
		d.Demand = map[string]map[string]float64{}
		for zone, n := range wanted[d.Number] {
			d.Demand[zone] = map[string]float64{}
			for c, share := range mix {
				d.Demand[zone][c] = n * share / all
			}
		}
	}
	return nil
}
