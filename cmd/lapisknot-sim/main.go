// Command lapisknot-sim hosts relays of the module on the simulator's wire, standard input to output.
package main

import (
	"fmt"
	"os"

	"lapisknot/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lapisknot-sim:", err)
		os.Exit(1)
	}
}
