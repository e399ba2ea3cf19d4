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

// siteCommand forecasts the loss of a site and controls the sites of a relay.
func siteCommand() *cobra.Command {
	site := &cobra.Command{Use: "site", Short: "Plan for the loss of a whole site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Usage() }}
	var file, lost string
	var asJSON bool
	var relayAddrs []string
	plan := &cobra.Command{Use: "plan --operator FILE --lost ZONE",
		Short: "Forecast where load moves and what is rejected when a site is lost", Args: cobra.NoArgs,
		Long: "Forecast, from the sites and rates in an operator's file, where each destination's load moves when a site is lost, how full the others become, and what is rejected. The command changes nothing.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" || lost == "" {
				return usageError{fmt.Errorf("--operator and --lost are required")}
			}
			c, err := operator.Load(file, 0)
			if err != nil {
				return err
			}
			if c.Sites == nil {
				return fmt.Errorf("%s: sites: missing", file)
			}
			if len(relayAddrs) > 0 {
				if err := applyReportedRates(c.Sites, relayAddrs, get); err != nil {
					return err
				}
			}
			forecast, err := c.Sites.ForecastLoss(lost)
			if err != nil {
				return usageError{fmt.Errorf("--lost: %w", err)}
			}
			out := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				return e.Encode(forecast)
			}
			fmt.Fprintf(out, "%s is lost; messages per second\n\n", lost)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "zone\ttakes\tserves now\tserves then\tfull")
			for _, z := range forecast.Zones {
				if z.Zone == lost {
					fmt.Fprintf(w, "%s\tlost\t%.1f\t\t\n", z.Zone, z.Before)
					continue
				}
				fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.2f\n", z.Zone, z.Capacity, z.Before, z.After, z.Utilization)
			}
			fmt.Fprintln(w, "\nclass\tdemand\tserved now\tserved then\trefused then")
			for i, s := range forecast.After {
				fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", s.Class, s.Demand, forecast.Before[i].Served, s.Served,
					s.Refused)
			}
			fmt.Fprintln(w, "\ndestination\tclass\tclients of\tgo to\ttier\trate")
			for _, flow := range append(forecast.Flows, forecast.Refused...) {
				to, tier := flow.To, fmt.Sprint(flow.Tier)
				if to == "" {
					to, tier = "refused", ""
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%.1f\n", flow.Destination, flow.Class, flow.From, to, tier,
					flow.Rate)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(out, "\nreturn: its full share %.0f s after the first call that is served there, at least\n",
				forecast.MinReturnSeconds)
			for _, n := range forecast.Notes {
				fmt.Fprintln(out, "note:", n)
			}
			return nil
		}}
	plan.Flags().StringVar(&file, "operator", "", "the operator's `FILE`")
	plan.Flags().StringVar(&lost, "lost", "", "the `ZONE` that is lost")
	plan.Flags().BoolVar(&asJSON, "json", false, "print the forecast as JSON")
	plan.Flags().StringSliceVar(&relayAddrs, "figures", nil,
		"admin `ADDR`esses of relays, whose measured demand replaces the rates in the file")
	status := viewCommand("status", "Show the state of each site as a relay sees it, and why",
		"Ask a relay at its admin address for the state of the plan's sites.", sitesTable)
	status.RunE = printView("/sites", sitesTable)
	site.AddCommand(plan, status, siteActionCommand("out", "Take a site out of service, at one relay"),
		siteActionCommand("in", "Let a site return, with its ramp, at one relay"))
	return site
}

// siteActionCommand returns a command that takes a site out of service or lets it return, at one
// relay.
func siteActionCommand(action, short string) *cobra.Command {
	return &cobra.Command{Use: action + " ADDR ZONE", Short: short, Args: func(_ *cobra.Command, args []string) error {
		if len(args) != 2 {
			return usageError{fmt.Errorf("expected an address and a zone, got %d arguments", len(args))}
		}
		return nil
	},
		Long: short + ". Each relay decides for itself: run the command for all of them.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[1] == "" || strings.ContainsAny(args[1], "/ \r\n") {
				return usageError{fmt.Errorf("%q is not a zone", args[1])}
			}
			_, err := request(args[0], "PUT", "/sites/"+args[1]+"/"+action)
			return err
		}}
}

// sitesTable prints the reply of GET /sites.
func sitesTable(out io.Writer, doc gjson.Result) error {
	fmt.Fprintf(out, "relay of %s, %d ms ago\n", doc.Get("home").Str, doc.Get("age_ms").Int())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "zone\ttier\tstate\tsince\tload\trelays alive\tcalls accepted\trejected\tfailed\tfailed returns\twhy")
	for _, s := range doc.Get("sites").Array() {
		since := (time.Duration(s.Get("since_ms").Int()) * time.Millisecond).Round(100 * time.Millisecond)
		why := s.Get("why").Str
		if s.Get("cut_perhaps").Bool() {
			why += " (only silence: it may be alive but unreachable)"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%.2f\t%d of %d\t%d\t%d\t%d\t%d\t%s\n", s.Get("zone").Str, s.Get("tier").Int(),
			s.Get("state").Str, since, s.Get("level").Float(),
			s.Get("relays_alive").Int(), s.Get("relays").Int(), s.Get("calls_taken").Int(),
			s.Get("calls_refused").Int(), s.Get("calls_failed").Int(), s.Get("failed_returns").Int(), why)
	}
	return w.Flush()
}

// applyReportedRates replaces the file's rates by the demand that relays report for each
// destination. Relays don't count classes by destination, so each rate is divided among classes as
// in the file.
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
			return fmt.Errorf("%s: its zone %q is no site in the file", addr, zone)
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
			continue // its classes or its demand are unknown
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
