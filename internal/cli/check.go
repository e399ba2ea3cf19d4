package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oatfold/internal/daemon/config/operator"
	"oatfold/internal/plugin"
)

// exactArg requires exactly one argument; usage is its name.
func exactArg(usage string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("expected one argument: %s", usage)}
		}
		return nil
	}
}

// checkCommand checks an operator's file and the plug-ins that it names.
func checkCommand(o *options) *cobra.Command {
	memory := 0.0
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file and load its plug-ins",
		Long:  "Check an operator's file as a relay does at its start. The exit code is 0 only if the file is valid and every plug-in loads.",
		Args:  exactArg("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := operator.Load(args[0], int64(memory*1e6))
			if err != nil {
				return err
			}
			set, err := plugin.LoadSet(context.Background(), c.Plugins, o.log())
			defer set.Release()
			if err != nil {
				return err
			}
			planned := ""
			if c.Sites != nil {
				planned = fmt.Sprintf(", %d sites", len(c.Sites.Sites))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good, %d plug-ins%s\n", args[0], len(c.Plugins), planned)
			return nil
		},
	}
	cmd.Flags().Float64Var(&memory, "memory-mb", 192, "memory limit of the relay, which bounds the memory of plug-ins")
	return cmd
}
