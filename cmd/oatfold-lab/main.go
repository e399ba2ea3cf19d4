// Command oatfold-lab is the laboratory, which `oatfold lab` starts. It is a separate program so
// that the relay does not contain its libraries.
package main

import (
	"os"

	"oatfold/internal/lab/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
