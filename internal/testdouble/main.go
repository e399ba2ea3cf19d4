package testdouble

import (
	"fmt"
	"os"
)

// RunTests runs the tests of a package with the real relay, built once, at *bin, and returns the exit code.
func RunTests(tests interface{ Run() int }, bin *string) int {
	dir, err := os.MkdirTemp("", "relay")
	if err == nil {
		defer os.RemoveAll(dir)
		*bin, err = BuildRelay(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests.Run()
}
