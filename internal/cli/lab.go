package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labProgram lies beside this one. It is a program of its own because a relay should not carry what it links.
const labProgram = "oatfold-lab"

func labCommand() *cobra.Command {
	return &cobra.Command{Use: "lab", Short: "The laboratory: days in virtual time, experiments, load", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error { return execLab(args...) }}
}

// execLab hands over to the laboratory; it returns only if that can't be started.
func execLab(args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	file := filepath.Join(filepath.Dir(self), labProgram)
	return fmt.Errorf("%s: %w", file, syscall.Exec(file, append([]string{"oatfold lab"}, args...), os.Environ()))
}
