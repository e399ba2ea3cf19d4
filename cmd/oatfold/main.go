// Command oatfold is the relay: it accepts messages from clients over HTTP and delivers them to
// destinations. Its subcommands are tools for operators.
package main

import (
	"os"

	"oatfold/internal/cli"
)

// version is set by the build of a release.
var version = "0.2.0"

func main() { os.Exit(cli.Main(version, os.Args[1:])) }
