package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labProgram is the laboratory, a program in the same directory. It is separate to keep its
// dependencies out of relays.
const labProgram = "oatfold-lab"

// labCommand runs the laboratory with all further arguments.
func labCommand() *cobra.Command {
	return &cobra.Command{Use: "lab", Short: "The laboratory: simulated scenarios, experiments, load tests",
		DisableFlagParsing: true,
		RunE:               func(_ *cobra.Command, args []string) error { return execLab(args...) }}
}

// execLab replaces this process by the laboratory. It returns only if that fails.
func execLab(args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	file := filepath.Join(filepath.Dir(self), labProgram)
	return fmt.Errorf("%s: %w", file, syscall.Exec(file, append([]string{"oatfold lab"}, args...), os.Environ()))
}
