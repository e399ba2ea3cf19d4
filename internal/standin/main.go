package standin

import (
	"fmt"
	"os"
)

// Main runs the tests of a package with the real relay, built once, at *bin, and returns the exit code.
func Main(tests interface{ Run() int }, bin *string) int {
	dir, err := os.MkdirTemp("", "relay")
	if err == nil {
		defer os.RemoveAll(dir)
		*bin, err = Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests.Run()
}
