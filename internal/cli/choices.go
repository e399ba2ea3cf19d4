package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"
)

// choicesCommand prints a relay's view of the shared choices.
func choicesCommand() *cobra.Command {
	return viewCommand("choices", "Show the endpoints, time slots and shares of limits that a relay uses",
		"Ask a relay at its admin address which choices it derives from its view of the fleet, and why.", choicesTable)
}

// choicesTable prints the reply of GET /choices.
func choicesTable(out io.Writer, doc gjson.Result) error {
	fmt.Fprintf(out, "relay %d shares %s; place %d among %d live relays\n", doc.Get("self").Int(),
		doc.Get("choices").Str, doc.Get("place").Int(), doc.Get("live").Int())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if subsets := doc.Get("subsets").Array(); len(subsets) > 0 {
		fmt.Fprintln(w, "destination\ttotal\tendpoints used\twhy")
		for _, s := range subsets {
			var all []string
			for _, e := range s.Get("endpoints").Array() {
				all = append(all, e.Str)
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\n", s.Get("destination").Int(), s.Get("of").Int(), strings.Join(all, " "),
				s.Get("why").Str)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	fmt.Fprintln(w, "destination\ttime slot\tallowed\tslice\tdemand here\tmean\tsaw failures\tretry after\twhy")
	for _, n := range doc.Get("destinations").Array() {
		turn := "-"
		if h := n.Get("turn_holders").Int(); h > 0 && n.Get("only_holders_try").Bool() {
			turn = fmt.Sprintf("others (%d)", h)
			if n.Get("turn_held").Bool() {
				turn = fmt.Sprintf("held (%d)", h)
			}
		}
		fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d ms\t%s\n", n.Get("destination").Int(), turn,
			n.Get("allowed_even").Num, n.Get("slice").Num, n.Get("wanted_here").Num,
			n.Get("wanted_mean").Num, n.Get("relays_that_saw_failures").Int(), n.Get("wait_heard_ms").Int(),
			n.Get("why").Str)
	}
	return w.Flush()
}
