package testdouble

import (
	"fmt"
	"os"
)

// RunTests builds the relay once, stores the path of the program in *bin, runs the tests of a
// package and returns the exit code for os.Exit. It is meant for TestMain.
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
