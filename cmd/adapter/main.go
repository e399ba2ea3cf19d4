// Command adapter runs relays of the policy engine on the simulator's wire, from standard input to
// standard output.
package main

import (
	"fmt"
	"os"

	"oatfold/internal/wire/sim"
)

func main() {
	if err := sim.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
